#ifndef BC_OUTCOME_H
#define BC_OUTCOME_H

/* What a caller is told of its request, when a proxy may repeat it, and idempotency keys. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OUT_ATTEMPTS_MAX 3U
#define OUT_BACKOFF_FIRST_US (20 * BC_US_PER_MS)
#define OUT_BACKOFF_MAX_US (500 * BC_US_PER_MS)
#define OUT_BUDGET_PERCENT 10U
#define OUT_BUDGET_SAVED_MAX 10U
#define OUT_KEY_ACCEPTED_S (6 * 86400ULL)
#define OUT_KEY_KEPT_S (7 * 86400ULL)
#define OUT_KEY_MAX_BYTES 128
#define OUT_FINGERPRINT_BYTES 33

enum out_outcome { OUT_RAN, OUT_NOT_RUN, OUT_UNKNOWN };

/* How an attempt ended. */
enum out_end {
	OUT_END_NOT_SENT,    /* queue, limit, no endpoint, or no connection to it */
	OUT_END_REFUSED,     /* the endpoint answered that nothing ran */
	OUT_END_DUPLICATE,   /* the endpoint had this request id before */
	OUT_END_ERROR,	     /* the statement failed and was rolled back */
	OUT_END_LOST,	     /* sent, no whole or no matching answer */
	OUT_END_UNCONFIRMED, /* ran, but no majority confirmed it in time */
	OUT_END_OK,	     /* ran, and confirmed where needed */
};

const char *out_outcome_name(enum out_outcome outcome);
/* The outcome if no further attempt is made. Reads that got no answer are "not_run". */
enum out_outcome out_classify(enum out_end end, bool write);

struct out_attempts {
	uint32_t made;
	bool write;
	bool repeatable; /* marked repeatable, or has an idempotency key */
	bool maybe_ran;	 /* an earlier attempt ended in "unknown" */
};

/* Records an attempt's end; gives the outcome over all attempts so far. */
enum out_outcome out_attempt_end(struct out_attempts *attempts, enum out_end end);

/* Retry budgets, one for each endpoint. */
struct out_budget;

struct out_budget *out_budget_create(struct bc_ctx *ctx);
void out_budget_destroy(struct out_budget *budget);
/* Counts a first attempt on the endpoint: earns OUT_BUDGET_PERCENT of a retry. */
void out_budget_earn(struct out_budget *budget, const char *endpoint);
/*
 * Decides whether another attempt is allowed after `end` on `endpoint`, and after which delay.
 * Spends from the endpoint's budget when it says yes.
 */
bool out_retry_decide(struct out_budget *budget, const struct out_attempts *attempts,
		      enum out_end end, const char *endpoint, uint64_t now_us, uint64_t deadline_us,
		      uint64_t *delay_us);

/* BC_EINVAL: not SECONDS-RANDOM; BC_ETIMEOUT: older than OUT_KEY_ACCEPTED_S or in the future. */
enum bc_status out_key_check(struct bc_ctx *ctx, const char *key, uint64_t unix_now_s);
/* Fingerprint of a request, 32 hex digits. */
void out_fingerprint(const char *database, const char *sql, const json_t *params,
		     char fingerprint[OUT_FINGERPRINT_BYTES]);

/*
 * The statements that guard a keyed write, as {"sql","params"} objects (new references): they
 * create the key table, insert the key row, read a stored row, store the result, remove old rows.
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
