#ifndef BC_ACCOUNT_H
#define BC_ACCOUNT_H

/*
 * Client accounts, and the keys by which callers are identified. Only the SHA-256 digest of a key
 * is kept.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ACC_DIGEST_BYTES 32
/* "sha256:" and 64 hex digits, with NUL. */
#define ACC_DIGEST_TEXT_BYTES 72

struct acc_digest {
	uint8_t bytes[ACC_DIGEST_BYTES];
};

struct acc_account {
	char name[BC_ID_BYTES];
	uint32_t priority;   /* 0 is the most urgent */
	uint64_t rate_per_s; /* operations per second over all proxies; 0: no limit */
	uint64_t burst;	     /* operations beyond the rate that may start at once */
};

/* Not changed once it is in force; pointers to its accounts are valid until it is destroyed. */
struct acc_table;

/* Whether a text can be an account's name: not too long, without blanks and control characters. */
bool acc_name_valid(const char *name);

struct acc_table *acc_create(void);
void acc_destroy(struct acc_table *table);
/* BC_EINVAL if the name is not valid, BC_ECONFLICT if there is an account of this name. */
enum bc_status acc_add(struct acc_table *table, const struct acc_account *account);
/*
 * BC_ENOTFOUND if there is no such account, BC_ECONFLICT if the key is another account's. A key
 * that the account has already is accepted.
 */
enum bc_status acc_add_key(struct acc_table *table, const char *account,
			   const struct acc_digest *digest);
/* NULL if there is no such account or key. */
const struct acc_account *acc_find(const struct acc_table *table, const char *name);
const struct acc_account *acc_find_key(const struct acc_table *table,
				       const struct acc_digest *digest);
size_t acc_count(const struct acc_table *table);
/* The accounts in the order in which they were added. */
const struct acc_account *acc_at(const struct acc_table *table, size_t index);

/* The SHA-256 digest of a key. */
void acc_digest_key(const char *key, struct acc_digest *out);
/* Parses "sha256:<64 hex digits>"; false if the text has another form. */
bool acc_digest_parse(const char *text, struct acc_digest *out);
void acc_digest_format(const struct acc_digest *digest, char out[ACC_DIGEST_TEXT_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
