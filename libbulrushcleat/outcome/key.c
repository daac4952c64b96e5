#include "outcome/outcome.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

/*
 * How far a key's time may be ahead of this proxy's clock. Clocks differ by less than a day, and a
 * caller whose clock is slightly fast must not be rejected.
 */
#define KEY_AHEAD_MAX_S 86400ULL

/* Most rows deleted by one statement, so that pruning never blocks the writes of a primary. */
#define PRUNE_ROWS_MAX 500

/* Parses SECONDS of a key; false if the key is too long or not of the form SECONDS-RANDOM. */
static bool key_time_parse(const char *key, uint64_t *seconds)
{
	size_t digits = strspn(key, "0123456789");
	size_t length = strnlen(key, OUT_KEY_MAX_BYTES);
	size_t random;

	if (digits == 0 || key[digits] != '-' || length == OUT_KEY_MAX_BYTES)
		return false;
	random = strspn(key + digits + 1, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
					  "0123456789._-");
	if (random == 0 || digits + 1 + random != length)
		return false;
	errno = 0;
	*seconds = strtoull(key, NULL, 10);
	return errno == 0;
}

/*
 * Checks a key against the Unix time. BC_EINVAL if it is not of the form SECONDS-RANDOM or too
 * long, BC_ETIMEOUT if it is older than OUT_KEY_AGE_MAX_S or more than a day in the future.
 */
enum bc_status out_key_check(struct bc_ctx *ctx, const char *key, uint64_t unix_now_s)
{
	uint64_t seconds;

	if (!key || !key_time_parse(key, &seconds))
		return bc_fail(ctx, BC_EINVAL, "an idempotency key has the form SECONDS-RANDOM");
	if (seconds < unix_now_s && unix_now_s - seconds > OUT_KEY_AGE_MAX_S)
		return bc_fail(ctx, BC_ETIMEOUT, "the idempotency key is older than 6 days");
	if (seconds > unix_now_s && seconds - unix_now_s > KEY_AHEAD_MAX_S)
		return bc_fail(ctx, BC_ETIMEOUT, "the idempotency key is from the future");
	return BC_OK;
}

/* Adds a text preceded by its length, so that the boundaries between texts count. */
static void digest_add(EVP_MD_CTX *digest, const char *text)
{
	char length[24];

	snprintf(length, sizeof(length), "%zu:", strlen(text));
	EVP_DigestUpdate(digest, length, strlen(length));
	EVP_DigestUpdate(digest, text, strlen(text));
}

/*
 * The first 128 bits of SHA-256 over database, statement and parameters, as 32 hex digits.
 * Parameters of NULL count as an empty array. The fingerprint is empty if memory is exhausted.
 */
void out_fingerprint(const char *database, const char *sql, const json_t *params,
		     char fingerprint[OUT_FINGERPRINT_BYTES])
{
	static const char digits[] = "0123456789abcdef";
	char *text = params ? json_dumps(params, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY)
			    : strdup("[]");
	EVP_MD_CTX *digest = EVP_MD_CTX_new();
	unsigned char hash[EVP_MAX_MD_SIZE];
	size_t i;

	fingerprint[0] = '\0';
	if (text && digest && EVP_DigestInit_ex(digest, EVP_sha256(), NULL)) {
		digest_add(digest, database);
		digest_add(digest, sql);
		digest_add(digest, text);
		EVP_DigestFinal_ex(digest, hash, NULL);
		for (i = 0; i < OUT_FINGERPRINT_BYTES / 2; i++) {
			fingerprint[2 * i] = digits[hash[i] >> 4];
			fingerprint[2 * i + 1] = digits[hash[i] & 15];
		}
		fingerprint[OUT_FINGERPRINT_BYTES - 1] = '\0';
	}
	EVP_MD_CTX_free(digest);
	free(text);
}

/*
 * Creates the key table if it does not exist. The UNIQUE constraint follows from the primary key;
 * it is there for its index, with which pruning finds old rows without a table scan.
 */
json_t *out_key_sql_create_table(void)
{
	return json_pack("{s:s,s:[]}", "sql",
			 "CREATE TABLE IF NOT EXISTS bulrushcleat_keys("
			 "customer TEXT NOT NULL, key TEXT NOT NULL, fingerprint TEXT NOT NULL, "
			 "created_s INTEGER NOT NULL, result TEXT, PRIMARY KEY(customer, key), "
			 "UNIQUE(created_s, customer, key))",
			 "params");
}

/*
 * Inserts the key's row without a result; fails if the row exists. The row has the key's time if
 * that is ahead of this proxy's clock: the row must not be deleted while the key is still accepted.
 */
json_t *out_key_sql_insert(const char *customer, const char *key, const char *fingerprint,
			   uint64_t unix_now_s)
{
	uint64_t created_s = 0;

	if (!key_time_parse(key, &created_s) || created_s < unix_now_s)
		created_s = unix_now_s;
	return json_pack("{s:s,s:[s,s,s,I]}", "sql",
			 "INSERT INTO bulrushcleat_keys(customer, key, fingerprint, created_s) "
			 "VALUES(?, ?, ?, ?)",
			 "params", customer, key, fingerprint, (json_int_t)created_s);
}

/* Reads the fingerprint and the result in the key's row. */
json_t *out_key_sql_lookup(const char *customer, const char *key)
{
	return json_pack("{s:s,s:[s,s]}", "sql",
			 "SELECT fingerprint, result FROM bulrushcleat_keys "
			 "WHERE customer = ? AND key = ?",
			 "params", customer, key);
}

/* Stores the result, a JSON text, in the key's row. */
json_t *out_key_sql_store(const char *customer, const char *key, const char *result_json)
{
	return json_pack("{s:s,s:[s,s,s]}", "sql",
			 "UPDATE bulrushcleat_keys SET result = ? WHERE customer = ? AND key = ?",
			 "params", result_json, customer, key);
}

/* Deletes the oldest rows older than OUT_KEY_RETENTION_S, at most PRUNE_ROWS_MAX of them. */
json_t *out_key_sql_prune(uint64_t unix_now_s)
{
	uint64_t before_s = unix_now_s > OUT_KEY_RETENTION_S ? unix_now_s - OUT_KEY_RETENTION_S : 0;

	return json_pack("{s:s,s:[I,i]}", "sql",
			 "DELETE FROM bulrushcleat_keys WHERE rowid IN ("
			 "SELECT rowid FROM bulrushcleat_keys WHERE created_s < ? "
			 "ORDER BY created_s, customer, key LIMIT ?)",
			 "params", (json_int_t)before_s, PRUNE_ROWS_MAX);
}
