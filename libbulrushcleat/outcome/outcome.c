#include "outcome/outcome.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>

/* Budgets are counted in tokens of a hundredth of a retry. */
#define RETRY_TOKENS 100U
#define BUCKET_TOKENS_MAX (OUT_BUDGET_RETRIES_MAX * RETRY_TOKENS)

/* Token bucket with an endpoint's retry budget. Full buckets are not stored. */
struct bucket {
	struct bucket *next; /* in the list of unused buckets */
	uint32_t tokens;
	char endpoint[BC_ID_BYTES];
};

struct out_budget {
	struct bc_ctx *ctx;
	apr_pool_t *pool;
	apr_hash_t *buckets;   /* endpoint -> struct bucket */
	struct bucket *unused; /* buckets to be reused */
};

/* Returns the outcome's name in responses, logs and metrics. */
const char *out_outcome_name(enum out_outcome outcome)
{
	switch (outcome) {
	case OUT_RAN:
		return "ran";
	case OUT_NOT_RUN:
		return "not_run";
	case OUT_UNKNOWN:
	default:
		return "unknown";
	}
}

/*
 * Returns the outcome of a single attempt. A read without an answer had no effect, so it counts as
 * "not_run".
 */
enum out_outcome out_classify(enum out_end end, bool write)
{
	switch (end) {
	case OUT_END_OK:
		return OUT_RAN;
	case OUT_END_NOT_SENT:
	case OUT_END_REFUSED:
	case OUT_END_ERROR:
		return OUT_NOT_RUN;
	case OUT_END_DUPLICATE:
	case OUT_END_LOST:
	case OUT_END_UNCONFIRMED:
	default:
		return write ? OUT_UNKNOWN : OUT_NOT_RUN;
	}
}

/*
 * Records an attempt and returns the outcome over all attempts so far: once an attempt may have
 * run, a later one that did not run does not prove that nothing ran.
 */
enum out_outcome out_attempt_record(struct out_attempts *attempts, enum out_end end)
{
	enum out_outcome outcome = out_classify(end, attempts->write);

	attempts->made++;
	if (outcome == OUT_UNKNOWN)
		attempts->maybe_ran = true;
	if (outcome == OUT_NOT_RUN && attempts->maybe_ran)
		return OUT_UNKNOWN;
	return outcome;
}

/* Creates the retry budgets, full for all endpoints, or returns NULL if memory is exhausted. */
struct out_budget *out_budget_create(struct bc_ctx *ctx)
{
	struct out_budget *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return NULL;
	budget->ctx = ctx;
	if (apr_pool_create(&budget->pool, NULL) != APR_SUCCESS) {
		free(budget);
		return NULL;
	}
	budget->buckets = apr_hash_make(budget->pool);
	return budget;
}

/* Frees the budgets. NULL is allowed. */
void out_budget_destroy(struct out_budget *budget)
{
	if (!budget)
		return;
	apr_pool_destroy(budget->pool);
	free(budget);
}

/* Adds OUT_BUDGET_PERCENT of a retry to the endpoint's budget, for a first attempt on it. */
void out_budget_deposit(struct out_budget *budget, const char *endpoint)
{
	struct bucket *bucket = apr_hash_get(budget->buckets, endpoint, APR_HASH_KEY_STRING);

	if (!bucket)
		return;
	bucket->tokens += OUT_BUDGET_PERCENT * RETRY_TOKENS / 100;
	if (bucket->tokens < BUCKET_TOKENS_MAX)
		return;
	apr_hash_set(budget->buckets, bucket->endpoint, APR_HASH_KEY_STRING, NULL);
	bucket->next = budget->unused;
	budget->unused = bucket;
}

/* Adds a full bucket for the endpoint; NULL if its name is too long or memory is exhausted. */
static struct bucket *bucket_add(struct out_budget *budget, const char *endpoint)
{
	struct bucket *bucket = budget->unused;
	size_t length = strnlen(endpoint, BC_ID_BYTES);

	if (length == BC_ID_BYTES)
		return NULL;
	if (bucket)
		budget->unused = bucket->next;
	else
		bucket = apr_palloc(budget->pool, sizeof(*bucket));
	if (!bucket)
		return NULL;
	bucket->next = NULL;
	bucket->tokens = BUCKET_TOKENS_MAX;
	memcpy(bucket->endpoint, endpoint, length + 1);
	apr_hash_set(budget->buckets, bucket->endpoint, APR_HASH_KEY_STRING, bucket);
	return bucket;
}

/* Takes one retry from the endpoint's budget; false if less than one is left. */
static bool budget_withdraw(struct out_budget *budget, const char *endpoint)
{
	struct bucket *bucket = apr_hash_get(budget->buckets, endpoint, APR_HASH_KEY_STRING);

	if (!bucket)
		bucket = bucket_add(budget, endpoint);
	if (!bucket)
		return false;
	if (bucket->tokens < RETRY_TOKENS)
		return false;
	bucket->tokens -= RETRY_TOKENS;
	return true;
}

/*
 * Whether another attempt is safe and useful after `end`. A statement that failed would only fail
 * again, and a write that is not repeatable must not be sent again once it may have run.
 */
static bool retry_safe(const struct out_attempts *attempts, enum out_end end)
{
	if (end == OUT_END_OK || end == OUT_END_ERROR)
		return false;
	if (!attempts->write || attempts->repeatable)
		return true;
	return (end == OUT_END_NOT_SENT || end == OUT_END_REFUSED) && !attempts->maybe_ran;
}

/*
 * Decides on another attempt after out_attempt_record() and sets its delay: full jitter of up to 20
 * ms for the first retry, doubled for each further one. Also false if the retry could not start
 * before the deadline, or the endpoint's budget is used up. A retry after an attempt without an
 * endpoint (NULL), which put no load on any, uses no budget.
 */
bool out_retry_decide(struct out_budget *budget, const struct out_attempts *attempts,
		      enum out_end end, const char *endpoint, uint64_t now_us, uint64_t deadline_us,
		      uint64_t *delay_us)
{
	uint64_t max_delay_us = OUT_BACKOFF_FIRST_US;
	uint32_t i;

	*delay_us = 0;
	if (attempts->made >= OUT_ATTEMPTS_MAX || !retry_safe(attempts, end))
		return false;
	for (i = 1; i < attempts->made && max_delay_us < OUT_BACKOFF_MAX_US; i++)
		max_delay_us *= 2;
	if (max_delay_us > OUT_BACKOFF_MAX_US)
		max_delay_us = OUT_BACKOFF_MAX_US;
	*delay_us = bc_random_below(budget->ctx, max_delay_us + 1);
	if (now_us >= deadline_us || *delay_us >= deadline_us - now_us)
		return false;
	if (endpoint && !budget_withdraw(budget, endpoint)) {
		bc_counter_add(budget->ctx, "bulrushcleat_retries_over_budget_total", NULL, 1);
		return false;
	}
	return true;
}
