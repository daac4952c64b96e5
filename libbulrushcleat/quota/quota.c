#include "quota/quota_internal.h"

#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	const char *help;
} metrics[] = {
	{"bulrushcleat_quota_admitted_total", "Operations of limited accounts that were admitted."},
	{"bulrushcleat_quota_refused_total", "Operations refused because of an account's limit."},
	{"bulrushcleat_quota_carried_total", "Operations admitted without the counter's answer."},
	{"bulrushcleat_quota_requests_total", "Requests for tokens sent to counters."},
	{"bulrushcleat_quota_tokens_asked_total", "Tokens asked for."},
	{"bulrushcleat_quota_tokens_received_total", "Tokens received in time."},
	{"bulrushcleat_quota_tokens_returned_total", "Tokens not used and available again."},
	{"bulrushcleat_quota_tokens_granted_total", "Tokens granted by this proxy as a counter."},
	{"bulrushcleat_quota_claims", "Shards that this proxy counts."},
};

/* Returns an account's shard. */
uint32_t qta_shard(const char *account)
{
	return (uint32_t)(bc_hash(account) % QTA_SHARDS);
}

/*
 * Returns the time without an answer after which an origin may carry on: that of two operations,
 * within bounds, so that the gaps between its operations are not taken for silence.
 */
uint64_t qta_carry_after_us(uint32_t carry_milli)
{
	uint64_t after_us =
		carry_milli ? 2 * 1000 * BC_US_PER_S / carry_milli : QTA_CARRY_AFTER_MAX_US;

	if (after_us < QTA_CARRY_AFTER_US)
		return QTA_CARRY_AFTER_US;
	return after_us < QTA_CARRY_AFTER_MAX_US ? after_us : QTA_CARRY_AFTER_MAX_US;
}

/* Creates the state of a proxy, without accounts. Returns NULL when out of memory. */
struct qta_state *qta_create(struct bc_ctx *ctx, struct bc_timers *timers, const char *self,
			     uint64_t incarnation, const struct qta_ops *ops, void *data,
			     uint64_t now_us)
{
	struct qta_state *state = calloc(1, sizeof(*state));
	uint32_t i;

	if (!state)
		return NULL;
	state->ctx = ctx;
	state->timers = timers;
	snprintf(state->self, sizeof(state->self), "%s", self);
	state->incarnation = incarnation;
	state->ops = *ops;
	state->data = data;
	state->created_us = now_us;
	state->members_dirty = true;
	apr_pool_create(&state->pool, NULL);
	state->accounts = apr_hash_make(state->pool);
	state->waiters = apr_hash_make(state->pool);
	for (i = 0; i < QTA_SHARDS; i++) {
		struct qta_shard *shard = &state->shards[i];

		shard->state = state;
		shard->number = i;
		qta_claim_init(shard);
		qta_origin_init(shard);
	}
	for (i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++)
		bc_metric_describe(ctx, metrics[i].name, metrics[i].help);
	return state;
}

/* Frees the state; waiting operations get no answer. NULL is allowed. */
void qta_destroy(struct qta_state *state)
{
	apr_hash_index_t *index;
	uint32_t i;

	if (!state)
		return;
	for (index = apr_hash_first(NULL, state->waiters); index; index = apr_hash_next(index)) {
		void *waiter;

		apr_hash_this(index, NULL, NULL, &waiter);
		free(waiter);
	}
	for (index = apr_hash_first(NULL, state->accounts); index; index = apr_hash_next(index)) {
		void *account;

		apr_hash_this(index, NULL, NULL, &account);
		qta_bucket_clear(account);
		free(account);
	}
	for (i = 0; i < QTA_SHARDS; i++) {
		bc_timer_cancel(state->timers, &state->shards[i].request_timer);
		bc_timer_cancel(state->timers, &state->shards[i].claim_timer);
	}
	apr_pool_destroy(state->pool);
	free(state);
}

/* Sets the tolerance of the limits. */
void qta_tolerance_set(struct qta_state *state, const struct qta_tolerance *tolerance)
{
	state->tolerance = *tolerance;
}

static void account_set(struct qta_state *state, const struct acc_account *from, uint64_t now_us)
{
	struct qta_account *account =
		apr_hash_get(state->accounts, from->name, APR_HASH_KEY_STRING);
	uint64_t rate = from->rate_per_s < QTA_RATE_MAX ? from->rate_per_s : QTA_RATE_MAX;
	uint64_t burst = from->burst < QTA_RATE_MAX ? from->burst : QTA_RATE_MAX;

	qta_tolerance_apply(&state->tolerance, &rate, &burst);
	if (!account) {
		account = calloc(1, sizeof(*account));
		if (!account)
			abort();
		snprintf(account->name, sizeof(account->name), "%s", from->name);
		account->shard = qta_shard(from->name);
		account->rate = rate;
		account->burst = burst;
		qta_origin_account_init(account);
		qta_bucket_init(account, now_us);
		apr_hash_set(state->accounts, account->name, APR_HASH_KEY_STRING, account);
	} else if (account->rate != rate || account->burst != burst) {
		uint64_t before = account->rate;

		qta_bucket_limit(&state->shards[account->shard], account, rate, burst, now_us);
		qta_origin_lowered(account, before);
	}
	account->generation = state->generation;
}

/*
 * Sets the accounts. The bucket and the tokens of an account that stays are kept. The waiting
 * operations of an account whose limit is removed are admitted.
 */
void qta_accounts_set(struct qta_state *state, const struct acc_table *accounts, uint64_t now_us)
{
	apr_hash_index_t *index;
	size_t i;

	state->generation++;
	for (i = 0; accounts && i < acc_count(accounts); i++)
		if (acc_at(accounts, i)->rate_per_s)
			account_set(state, acc_at(accounts, i), now_us);
	for (i = 0; i < QTA_SHARDS; i++)
		state->shards[i].limited = 0;
	for (index = apr_hash_first(NULL, state->accounts); index; index = apr_hash_next(index)) {
		struct qta_account *account;

		apr_hash_this(index, NULL, NULL, (void **)&account);
		if (account->generation == state->generation) {
			state->shards[account->shard].limited++;
			continue;
		}
		/* First, since the callbacks may ask for operations of the account. */
		apr_hash_set(state->accounts, account->name, APR_HASH_KEY_STRING, NULL);
		qta_origin_account_end(state, account, now_us);
		qta_bucket_clear(account);
		free(account);
	}
	for (i = 0; i < QTA_SHARDS; i++)
		qta_claim_check(&state->shards[i], now_us);
}

static uint64_t candidate_score(const char *member, uint32_t shard)
{
	return bc_hash_seeded(member, shard + 1);
}

/* Inserts a member into a shard's candidates if it is among the best. */
static void candidate_insert(struct qta_state *state, uint32_t shard, uint32_t count,
			     const char *member)
{
	uint64_t score = candidate_score(member, shard);
	uint32_t i = count < QTA_CANDIDATES ? count : QTA_CANDIDATES;

	while (i && candidate_score(state->candidates[shard][i - 1], shard) < score) {
		if (i < QTA_CANDIDATES)
			memcpy(state->candidates[shard][i], state->candidates[shard][i - 1],
			       BC_ID_BYTES);
		i--;
	}
	if (i < QTA_CANDIDATES)
		snprintf(state->candidates[shard][i], BC_ID_BYTES, "%s", member);
}

static void candidates_update(struct qta_state *state)
{
	uint32_t count;
	uint32_t i;
	uint32_t shard;

	if (!state->members_dirty)
		return;
	state->members_dirty = false;
	count = state->ops.member_count(state->data);
	for (i = 0; i < count; i++)
		for (shard = 0; shard < QTA_SHARDS; shard++)
			candidate_insert(state, shard, i, state->ops.member_at(state->data, i));
	state->candidate_count = count < QTA_CANDIDATES ? count : QTA_CANDIDATES;
}

/* Returns the candidate of this rank (modulo their number) for a shard's counter, or NULL. */
const char *qta_candidate(struct qta_state *state, uint32_t shard, uint32_t rank)
{
	candidates_update(state);
	if (!state->candidate_count)
		return NULL;
	return state->candidates[shard][rank % state->candidate_count];
}

/* Returns this proxy's rank among a shard's candidates; QTA_CANDIDATES if it is none. */
uint32_t qta_own_rank(struct qta_state *state, uint32_t shard)
{
	uint32_t i;

	candidates_update(state);
	for (i = 0; i < state->candidate_count; i++)
		if (strcmp(state->candidates[shard][i], state->self) == 0)
			return i;
	return QTA_CANDIDATES;
}

/* Sends a message; one to this proxy itself is handled at once. */
void qta_send(struct qta_state *state, const char *proxy, const struct qta_message *message,
	      uint64_t now_us)
{
	if (strcmp(proxy, state->self) == 0)
		/* `proxy` may be a field that the message changes. */
		qta_message(state, state->self, message, now_us);
	else
		state->ops.send(state->data, proxy, message);
}

/* Frees an operation that no longer waits. */
void qta_waiter_free(struct qta_waiter *waiter)
{
	free(waiter);
}

/* Asks for an operation of an account; see quota.h. */
enum qta_verdict qta_admit(struct qta_state *state, const char *account, uint32_t priority,
			   uint64_t wait_until_us, uint64_t waiter, uint64_t *retry_after_us,
			   uint64_t now_us)
{
	struct qta_account *found = apr_hash_get(state->accounts, account, APR_HASH_KEY_STRING);
	struct qta_waiter *added;

	*retry_after_us = 0;
	if (!found)
		return QTA_ADMITTED;
	added = calloc(1, sizeof(*added));
	if (!added) {
		*retry_after_us = BC_US_PER_S;
		return QTA_REFUSED;
	}
	added->account = found;
	added->id = waiter;
	added->priority = priority;
	added->wait_until_us = wait_until_us;
	return qta_origin_admit(state, found, added, retry_after_us, now_us);
}

/* Withdraws a waiting operation, if it still waits. */
void qta_cancel(struct qta_state *state, uint64_t waiter)
{
	struct qta_waiter *found = apr_hash_get(state->waiters, &waiter, sizeof(waiter));

	if (found)
		qta_origin_cancel(state, found);
}

/* Handles a message of another proxy. */
void qta_message(struct qta_state *state, const char *from, const struct qta_message *message,
		 uint64_t now_us)
{
	struct qta_shard *shard;

	if (message->shard >= QTA_SHARDS || message->count > QTA_ITEMS_MAX)
		return;
	shard = &state->shards[message->shard];
	if (message->is_answer)
		qta_origin_answer(shard, from, message, now_us);
	else
		qta_counter_request(shard, from, message, now_us);
}

/* Considers claims again after the live members have changed. */
void qta_members_changed(struct qta_state *state, uint64_t now_us)
{
	uint32_t count = state->ops.member_count(state->data);
	uint32_t i;

	state->members_dirty = true;
	if (count > 1 && count != state->member_count) {
		state->members_changed_us = now_us;
		if (!state->members_known_us)
			state->members_known_us = now_us;
	}
	state->member_count = count;
	for (i = 0; i < QTA_SHARDS; i++)
		if (state->shards[i].limited) {
			qta_origin_members_changed(&state->shards[i]);
			qta_claim_check(&state->shards[i], now_us);
		}
}

/* Hands the claims over, once the origins have had the time to give their rights back. */
void qta_drain(struct qta_state *state, uint64_t now_us)
{
	uint32_t i;

	state->draining = true;
	state->members_dirty = true;
	for (i = 0; i < QTA_SHARDS; i++)
		qta_claim_drain(&state->shards[i], now_us);
}
