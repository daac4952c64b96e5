#ifndef BC_OUTCOME_H
#define BC_OUTCOME_H

/* The outcome of a request as reported to its caller, retries, and idempotency keys. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OUT_ATTEMPTS_MAX 3U
#define OUT_BACKOFF_FIRST_US (20 * BC_US_PER_MS)
#define OUT_BACKOFF_MAX_US (500 * BC_US_PER_MS)
#define OUT_BUDGET_PERCENT 10U
#define OUT_BUDGET_RETRIES_MAX 10U
#define OUT_KEY_AGE_MAX_S (6 * 86400ULL)
#define OUT_KEY_RETENTION_S (7 * 86400ULL)
#define OUT_KEY_MAX_BYTES 128
#define OUT_FINGERPRINT_BYTES 33

enum out_outcome { OUT_RAN, OUT_NOT_RUN, OUT_UNKNOWN };

/* How an attempt ended. */
enum out_end {
	OUT_END_NOT_SENT,    /* rejected by a queue or limit, no endpoint, or no connection to it */
	OUT_END_REFUSED,     /* the endpoint answered that it ran nothing */
	OUT_END_DUPLICATE,   /* the endpoint had received this request id before */
	OUT_END_ERROR,	     /* the statement failed and was rolled back */
	OUT_END_LOST,	     /* sent, but no complete or no matching answer */
	OUT_END_UNCONFIRMED, /* ran, but no majority confirmed it in time */
	OUT_END_OK,	     /* ran, and was confirmed where needed */
};

const char *out_outcome_name(enum out_outcome outcome);
/* The outcome if no further attempt is made. A read without an answer is "not_run". */
enum out_outcome out_classify(enum out_end end, bool write);

struct out_attempts {
	uint32_t made;
	bool write;
	bool repeatable; /* marked repeatable, or has an idempotency key */
	bool maybe_ran;	 /* an earlier attempt ended in "unknown" */
};

/* Records how an attempt ended and returns the outcome over all attempts so far. */
enum out_outcome out_attempt_record(struct out_attempts *attempts, enum out_end end);

/* Retry budgets, one for each endpoint. */
struct out_budget;

struct out_budget *out_budget_create(struct bc_ctx *ctx);
void out_budget_destroy(struct out_budget *budget);
/* Adds OUT_BUDGET_PERCENT of a retry to the endpoint's budget, for a first attempt on it. */
void out_budget_deposit(struct out_budget *budget, const char *endpoint);
/*
 * Decides whether to make another attempt after `end` on `endpoint`, and after which delay. If so,
 * takes one retry from the endpoint's budget.
 */
bool out_retry_decide(struct out_budget *budget, const struct out_attempts *attempts,
		      enum out_end end, const char *endpoint, uint64_t now_us, uint64_t deadline_us,
		      uint64_t *delay_us);

/* BC_EINVAL: malformed; BC_ETIMEOUT: older than OUT_KEY_AGE_MAX_S, or too far in the future. */
enum bc_status out_key_check(struct bc_ctx *ctx, const char *key, uint64_t unix_now_s);
/* Computes the fingerprint of a request, 32 hex digits. */
void out_fingerprint(const char *database, const char *sql, const json_t *params,
		     char fingerprint[OUT_FINGERPRINT_BYTES]);

/*
 * The SQL statements that keep a write with an idempotency key from running twice, as
 * {"sql","params"} objects (new references): they create the key table, insert the key's row, read
 * it, store the result in it, and delete old rows.
 */
json_t *out_key_sql_create_table(void);
json_t *out_key_sql_insert(const char *customer, const char *key, const char *fingerprint,
			   uint64_t unix_now_s);
json_t *out_key_sql_lookup(const char *customer, const char *key);
json_t *out_key_sql_store(const char *customer, const char *key, const char *result_json);
json_t *out_key_sql_prune(uint64_t unix_now_s);

#ifdef __cplusplus
}
#endif

#endif
