#include "account/account.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <openssl/sha.h>

#define DIGEST_PREFIX "sha256:"
#define DIGEST_PREFIX_BYTES (sizeof(DIGEST_PREFIX) - 1)
#define HEX_DIGITS "0123456789abcdef"

_Static_assert(ACC_DIGEST_BYTES == SHA256_DIGEST_LENGTH, "a digest is one of SHA-256");
_Static_assert(ACC_DIGEST_TEXT_BYTES == DIGEST_PREFIX_BYTES + 2 * ACC_DIGEST_BYTES + 1,
	       "a digest's text is the prefix and two hex digits for each byte");

struct acc_table {
	apr_pool_t *pool;
	apr_hash_t *by_name; /* name -> struct acc_account */
	apr_hash_t *by_key;  /* digest -> struct acc_account */
	struct acc_account **accounts;
	size_t count;
	size_t capacity;
};

/*
 * Whether a text can be an account's name. The name is a field of messages to endpoints, which a
 * blank or a control character would end.
 */
bool acc_name_valid(const char *name)
{
	const unsigned char *c = (const unsigned char *)name;

	for (; *c; c++)
		if (*c <= ' ' || *c == 0x7f)
			return false;
	return name[0] && strlen(name) < BC_ID_BYTES;
}

/* Creates an empty table; NULL when out of memory. */
struct acc_table *acc_create(void)
{
	struct acc_table *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	if (apr_initialize() != APR_SUCCESS) {
		free(table);
		return NULL;
	}
	if (apr_pool_create(&table->pool, NULL) != APR_SUCCESS) {
		apr_terminate();
		free(table);
		return NULL;
	}
	table->by_name = apr_hash_make(table->pool);
	table->by_key = apr_hash_make(table->pool);
	return table;
}

/* Frees the table with its accounts. NULL is allowed. */
void acc_destroy(struct acc_table *table)
{
	if (!table)
		return;
	apr_pool_destroy(table->pool);
	apr_terminate();
	free((void *)table->accounts);
	free(table);
}

/* Makes room for one more account; false when out of memory. */
static bool reserve(struct acc_table *table)
{
	size_t capacity = table->capacity ? 2 * table->capacity : 16;
	struct acc_account **accounts;

	if (table->count < table->capacity)
		return true;
	accounts = (struct acc_account **)realloc((void *)table->accounts,
						  capacity * sizeof(*accounts));
	if (!accounts)
		return false;
	table->accounts = accounts;
	table->capacity = capacity;
	return true;
}

/* Adds a copy of an account without keys. */
enum bc_status acc_add(struct acc_table *table, const struct acc_account *account)
{
	struct acc_account *copy;

	if (!acc_name_valid(account->name))
		return BC_EINVAL;
	if (acc_find(table, account->name))
		return BC_ECONFLICT;
	if (!reserve(table))
		return BC_ENOMEM;
	copy = apr_pmemdup(table->pool, account, sizeof(*account));
	if (!copy)
		return BC_ENOMEM;
	table->accounts[table->count++] = copy;
	apr_hash_set(table->by_name, copy->name, APR_HASH_KEY_STRING, copy);
	return BC_OK;
}

/* Adds a key to an account. */
enum bc_status acc_add_key(struct acc_table *table, const char *account,
			   const struct acc_digest *digest)
{
	const struct acc_account *owner = acc_find(table, account);
	const struct acc_account *present = acc_find_key(table, digest);
	struct acc_digest *copy;

	if (!owner)
		return BC_ENOTFOUND;
	if (present)
		return present == owner ? BC_OK : BC_ECONFLICT;
	copy = apr_pmemdup(table->pool, digest, sizeof(*digest));
	if (!copy)
		return BC_ENOMEM;
	apr_hash_set(table->by_key, copy->bytes, sizeof(copy->bytes), owner);
	return BC_OK;
}

/* Finds an account by its name; NULL if there is none. */
const struct acc_account *acc_find(const struct acc_table *table, const char *name)
{
	return apr_hash_get(table->by_name, name, APR_HASH_KEY_STRING);
}

/* Finds the account that has a key; NULL if none has it. */
const struct acc_account *acc_find_key(const struct acc_table *table,
				       const struct acc_digest *digest)
{
	return apr_hash_get(table->by_key, digest->bytes, sizeof(digest->bytes));
}

/* The number of accounts. */
size_t acc_count(const struct acc_table *table)
{
	return table->count;
}

/* The account at an index below acc_count(), in the order in which they were added. */
const struct acc_account *acc_at(const struct acc_table *table, size_t index)
{
	return table->accounts[index];
}

/* Computes the digest of a key. */
void acc_digest_key(const char *key, struct acc_digest *out)
{
	/* Only a lack of memory makes this fail; a wrong digest could identify another caller. */
	if (!SHA256((const unsigned char *)key, strlen(key), out->bytes))
		abort();
}

/* The value of a hex digit of either case; -1 if the character is none. */
static int hex_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	if (digit >= 'A' && digit <= 'F')
		return digit - 'A' + 10;
	return -1;
}

/* Parses the text of a digest; false if it does not have exactly this form. */
bool acc_digest_parse(const char *text, struct acc_digest *out)
{
	size_t i;

	if (!text || strncmp(text, DIGEST_PREFIX, DIGEST_PREFIX_BYTES) != 0 ||
	    strlen(text) != ACC_DIGEST_TEXT_BYTES - 1)
		return false;
	text += DIGEST_PREFIX_BYTES;
	for (i = 0; i < ACC_DIGEST_BYTES; i++) {
		int high = hex_value(text[2 * i]);
		int low = hex_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		out->bytes[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

/* Writes the text of a digest, with lower-case digits. */
void acc_digest_format(const struct acc_digest *digest, char out[ACC_DIGEST_TEXT_BYTES])
{
	char *cursor = out + DIGEST_PREFIX_BYTES;
	size_t i;

	memcpy(out, DIGEST_PREFIX, DIGEST_PREFIX_BYTES);
	for (i = 0; i < ACC_DIGEST_BYTES; i++) {
		*cursor++ = HEX_DIGITS[digest->bytes[i] >> 4];
		*cursor++ = HEX_DIGITS[digest->bytes[i] & 0xf];
	}
	*cursor = '\0';
}
