#include "quota/quota_internal.h"

#include <stdlib.h>
#include <string.h>

/* Between two requests for a shard, also while operations wait. */
#define SPACING_US (10 * BC_US_PER_MS)
/* A request without an answer is repeated after this time if operations wait for it. */
#define REPEAT_US (40 * BC_US_PER_MS)
/* The same when several requests in a row had no answer; the candidates are small VMs. */
#define REPEAT_SLOW_US (250 * BC_US_PER_MS)
#define ATTEMPTS_FAST 4U
#define ATTEMPTS_MEDIUM 12U
/* After this time without operations the right to carry on is given back. */
#define IDLE_US (2 * BC_US_PER_S)
/* Below this rate each operation asks for its own token. */
#define PREFETCH_MIN_MILLI 5000U
/* Use for which tokens are requested in advance: the interval and the way of a request. */
#define PREFETCH_MS 130U
/* Tokens that end earlier than this are replaced. */
#define PREFETCH_LEFT_US (60 * BC_US_PER_MS)
#define RATE_WINDOW_US (500 * BC_US_PER_MS)
/* Without an answer for this time, operations are refused at once if they cannot be carried. */
#define UNANSWERED_US (500 * BC_US_PER_MS)
/* Stated to refused callers when it is not known when the next token comes. */
#define RETRY_UNKNOWN_US (300 * BC_US_PER_MS)
#define RETRY_SPREAD_US BC_US_PER_S
/* Operations that a right to carry on allows at once, as a part of a second's. */
#define CARRY_CREDIT_DIVISOR 4U
#define BILLION 1000000000ULL
/* Log lines about refusals, for each account and for all. */
#define LOG_INTERVAL_US BC_US_PER_S
#define LOG_LINES_PER_S 10U

static void request_send(struct qta_shard *shard, uint64_t now_us);

static uint32_t live_tokens(const struct qta_account *account, uint64_t at_us, uint64_t epoch)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < QTA_BATCHES; i++)
		if (account->batches[i].until_us > at_us && account->batches[i].epoch == epoch)
			count += account->batches[i].count;
	return count;
}

static bool has_token(const struct qta_account *account, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < QTA_BATCHES; i++)
		if (account->batches[i].count && account->batches[i].until_us > now_us)
			return true;
	return false;
}

/* Starts to count the use anew if the account was last used under another counter. */
static void epoch_sync(const struct qta_shard *shard, struct qta_account *account)
{
	if (account->epoch == shard->epoch)
		return;
	account->epoch = shard->epoch;
	account->used = 0;
	account->reported_held = 0;
	account->carry_milli = 0;
	account->dropping = false;
}

static void rate_count(struct qta_account *account, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - account->rate_from_us;

	if (elapsed_us >= RATE_WINDOW_US) {
		account->rate_milli = (account->rate_milli +
				       account->rate_count * 1000 * BC_US_PER_S / elapsed_us) /
				      2;
		account->rate_from_us = now_us;
		account->rate_count = 0;
	}
	account->rate_count++;
}

/* Takes the token that ends first. */
static bool token_take(struct qta_account *account, uint64_t now_us)
{
	struct qta_batch *first = NULL;
	uint32_t i;

	for (i = 0; i < QTA_BATCHES; i++) {
		struct qta_batch *batch = &account->batches[i];

		if (batch->count && batch->until_us > now_us &&
		    (!first || batch->until_us < first->until_us))
			first = batch;
	}
	if (!first)
		return false;
	first->count--;
	if (first->epoch == account->epoch)
		account->used++;
	return true;
}

/* Adds tokens; those of another batch that end earlier may be joined with them. */
static void tokens_add(struct qta_account *account, uint32_t count, uint64_t until_us,
		       uint64_t now_us)
{
	struct qta_batch *slot = &account->batches[0];
	uint32_t i;

	for (i = 0; i < QTA_BATCHES; i++) {
		struct qta_batch *batch = &account->batches[i];

		if (!batch->count || batch->until_us <= now_us) {
			slot = batch;
			slot->count = 0;
			break;
		}
		if (batch->until_us < slot->until_us)
			slot = batch;
	}
	if (slot->count && slot->epoch != account->epoch)
		slot->count = 0;
	if (!slot->count || slot->until_us > until_us)
		slot->until_us = until_us;
	slot->epoch = account->epoch;
	slot->count += count;
}

/* Returns when operations may start without the counter, or QTA_NEVER. */
static uint64_t carry_start_us(const struct qta_shard *shard, const struct qta_account *account)
{
	uint64_t start_us = shard->answer_received_us + qta_carry_after_us(account->carry_milli);

	if (!account->carry_milli || account->epoch != shard->epoch || !shard->unanswered_us)
		return QTA_NEVER;
	if (start_us < shard->unanswered_us + QTA_POLL_US)
		start_us = shard->unanswered_us + QTA_POLL_US;
	return start_us < account->carry_until_us ? start_us : QTA_NEVER;
}

static void carry_begun(struct qta_shard *shard, uint64_t now_us)
{
	if (shard->carrying)
		return;
	shard->carrying = true;
	bc_log(shard->state->ctx, BC_LOG_WARN, "quota_carrying", "{s:i,s:s,s:I,s:I}", "shard",
	       (int)shard->number, "counter", shard->counter, "silent_ms",
	       (json_int_t)((now_us - shard->answer_received_us) / BC_US_PER_MS), "claim_left_ms",
	       (json_int_t)((shard->claim_until_us > now_us ? shard->claim_until_us - now_us : 0) /
			    BC_US_PER_MS));
}

/* Takes one operation of the right to carry on. The credit is empty when carrying on begins. */
static bool carry_take(struct qta_shard *shard, struct qta_account *account, uint64_t now_us)
{
	uint64_t start_us = carry_start_us(shard, account);
	uint64_t max = (uint64_t)account->carry_milli * BC_US_PER_S / CARRY_CREDIT_DIVISOR;

	if (start_us == QTA_NEVER || now_us < start_us || now_us >= account->carry_until_us)
		return false;
	if (account->carry_from_us < start_us) {
		account->carry_from_us = start_us;
		account->carry_credit = 0;
	}
	account->carry_credit += account->carry_milli * (now_us - account->carry_from_us);
	account->carry_from_us = now_us;
	if (max < BILLION)
		max = BILLION;
	if (account->carry_credit > max)
		account->carry_credit = max;
	if (account->carry_credit < BILLION)
		return false;
	account->carry_credit -= BILLION;
	account->used++;
	carry_begun(shard, now_us);
	bc_counter_add(shard->state->ctx, "bulrushcleat_quota_carried_total", NULL, 1);
	return true;
}

static bool operation_take(struct qta_shard *shard, struct qta_account *account, uint64_t now_us)
{
	if (!token_take(account, now_us) && !carry_take(shard, account, now_us))
		return false;
	rate_count(account, now_us);
	bc_counter_add(shard->state->ctx, "bulrushcleat_quota_admitted_total", NULL, 1);
	return true;
}

/* Returns the expected time between two operations of the account at this proxy. */
static uint64_t interval_us(const struct qta_account *account)
{
	uint64_t rate_milli = account->rate * 1000 / 4;

	if (account->rate_milli > rate_milli)
		rate_milli = account->rate_milli;
	return rate_milli ? BILLION / rate_milli : BC_US_PER_S;
}

/*
 * Returns when an operation can start that `ahead` others precede: now if it is not known that the
 * counter has no token, QTA_NEVER if no counter answers.
 */
static uint64_t expected_us(const struct qta_shard *shard, const struct qta_account *account,
			    uint32_t ahead, uint64_t now_us)
{
	uint64_t carry_us = carry_start_us(shard, account);
	uint64_t from_us = now_us;

	if (account->carry_milli && carry_us != QTA_NEVER && now_us >= carry_us &&
	    now_us < account->carry_until_us)
		return now_us +
		       ((ahead + 1) * BILLION -
			(account->carry_credit < BILLION ? account->carry_credit : BILLION)) /
			       account->carry_milli;
	if (shard->unanswered_us && now_us >= shard->unanswered_us + UNANSWERED_US)
		return QTA_NEVER;
	if (account->next_token_us <= now_us)
		return now_us;
	if (account->next_token_us > from_us)
		from_us = account->next_token_us;
	return from_us + ahead * interval_us(account);
}

static bool may_log(struct qta_state *state, struct qta_account *account, uint64_t now_us)
{
	account->refused_since_log++;
	if (account->logged_us && now_us < account->logged_us + LOG_INTERVAL_US)
		return false;
	if (now_us >= state->log_window_us + LOG_INTERVAL_US) {
		state->log_window_us = now_us;
		state->logged = 0;
	}
	return state->logged++ < LOG_LINES_PER_S;
}

/*
 * Returns the time after which a refused caller should retry. The callers are given successive
 * times, at most RETRY_SPREAD_US after the first time at which there can be a token.
 */
static uint64_t refusal_us(struct qta_shard *shard, struct qta_account *account, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	uint64_t first_us = expected_us(shard, account, account->waiting, now_us);
	uint64_t retry_us;

	if (first_us == QTA_NEVER)
		first_us = now_us + RETRY_UNKNOWN_US;
	if (account->promised_us < first_us)
		account->promised_us = first_us;
	account->promised_us += interval_us(account);
	if (account->promised_us > first_us + RETRY_SPREAD_US) {
		account->promised_us = first_us + RETRY_SPREAD_US;
		retry_us = first_us + bc_random_below(state->ctx, RETRY_SPREAD_US) - now_us;
	} else {
		retry_us = account->promised_us - now_us;
	}
	bc_counter_add(state->ctx, "bulrushcleat_quota_refused_total", NULL, 1);
	if (may_log(state, account, now_us)) {
		bc_log(state->ctx, BC_LOG_INFO, "over_limit", "{s:s,s:i,s:s,s:I,s:I,s:I,s:i}",
		       "account", account->name, "shard", (int)shard->number, "counter",
		       shard->counter, "next_token_ms",
		       (json_int_t)((first_us - now_us) / BC_US_PER_MS), "retry_after_ms",
		       (json_int_t)(retry_us / BC_US_PER_MS), "refused",
		       (json_int_t)account->refused_since_log, "waiting", (int)account->waiting);
		account->logged_us = now_us;
		account->refused_since_log = 0;
	}
	return retry_us;
}

static void waiter_remove(struct qta_state *state, struct qta_waiter *waiter)
{
	struct qta_account *account = waiter->account;

	APR_RING_REMOVE(waiter, link);
	apr_hash_set(state->waiters, &waiter->id, sizeof(waiter->id), NULL);
	account->waiting--;
	if (account->waiting_asked > account->waiting)
		account->waiting_asked = account->waiting;
}

/* Ends the wait of an operation. For the one that qta_admit() is asked for, it returns this. */
static void waiter_end(struct qta_state *state, struct qta_waiter *waiter, enum qta_verdict verdict,
		       uint64_t retry_us, uint64_t now_us)
{
	uint64_t id = waiter->id;

	waiter_remove(state, waiter);
	if (state->admitting == waiter) {
		state->admitting = NULL;
		state->verdict = verdict;
		state->verdict_retry_us = retry_us;
		qta_waiter_free(waiter);
		return;
	}
	qta_waiter_free(waiter);
	if (verdict == QTA_ADMITTED)
		state->ops.admitted(state->data, id, now_us);
	else
		state->ops.refused(state->data, id, retry_us, now_us);
}

static void waiter_insert(struct qta_state *state, struct qta_waiter *waiter)
{
	struct qta_account *account = waiter->account;
	struct qta_waiter *before = APR_RING_LAST(&account->waiters);

	while (before != APR_RING_SENTINEL(&account->waiters, qta_waiter, link) &&
	       before->priority > waiter->priority)
		before = APR_RING_PREV(before, link);
	APR_RING_INSERT_AFTER(before, waiter, link);
	apr_hash_set(state->waiters, &waiter->id, sizeof(waiter->id), waiter);
	account->waiting++;
}

/*
 * Serves waiting operations, and refuses those that cannot be served in time. A callback may cancel
 * or add operations, so each step starts from the first one.
 */
static void waiters_serve(struct qta_shard *shard, struct qta_account *account, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_waiter *waiter;
	struct qta_waiter *late;
	uint32_t ahead;

	/* Within qta_admit() only its own operation is decided; the timer serves the others. */
	if (state->deciding) {
		waiter = APR_RING_FIRST(&account->waiters);
		if (waiter == state->admitting && operation_take(shard, account, now_us))
			waiter_end(state, waiter, QTA_ADMITTED, 0, now_us);
		return;
	}
	while (!APR_RING_EMPTY(&account->waiters, qta_waiter, link) &&
	       operation_take(shard, account, now_us))
		waiter_end(state, APR_RING_FIRST(&account->waiters), QTA_ADMITTED, 0, now_us);
	do {
		late = NULL;
		ahead = 0;
		for (waiter = APR_RING_FIRST(&account->waiters);
		     waiter != APR_RING_SENTINEL(&account->waiters, qta_waiter, link);
		     waiter = APR_RING_NEXT(waiter, link)) {
			if (waiter->wait_until_us <= now_us ||
			    expected_us(shard, account, ahead, now_us) > waiter->wait_until_us) {
				late = waiter;
				break;
			}
			ahead++;
		}
		if (late)
			waiter_end(state, late, QTA_REFUSED, refusal_us(shard, account, now_us),
				   now_us);
	} while (late);
}

static void unlist(struct qta_account *account)
{
	if (account->ring != QTA_UNLISTED)
		APR_RING_REMOVE(account, link);
	account->ring = QTA_UNLISTED;
}

static void activate(struct qta_shard *shard, struct qta_account *account)
{
	if (account->ring == QTA_ACTIVE)
		return;
	unlist(account);
	account->ring = QTA_ACTIVE;
	APR_RING_INSERT_TAIL(&shard->active, account, qta_account, link);
}

static void rest(struct qta_shard *shard, struct qta_account *account)
{
	unlist(account);
	account->ring = QTA_RESTING;
	APR_RING_INSERT_TAIL(&shard->resting, account, qta_account, link);
}

/* Returns the time after which a request without an answer is repeated. */
static uint64_t repeat_us(const struct qta_shard *shard)
{
	if (shard->attempts < ATTEMPTS_FAST)
		return REPEAT_US;
	return shard->attempts < ATTEMPTS_MEDIUM ? QTA_POLL_US : REPEAT_SLOW_US;
}

/* Whether tokens are requested in advance, or some are held or not reported yet. */
static bool polls(const struct qta_shard *shard, const struct qta_account *account, uint64_t now_us)
{
	if (account->rate_milli >= PREFETCH_MIN_MILLI && now_us < account->arrived_us + BC_US_PER_S)
		return true;
	return account->reported_held || live_tokens(account, now_us, shard->epoch);
}

/* Returns when the next request for an account that needs one is due. */
static uint64_t account_due_us(const struct qta_shard *shard, const struct qta_account *account)
{
	uint64_t spaced_us = shard->sent_us + SPACING_US;

	if (shard->attempts >= ATTEMPTS_FAST)
		return shard->sent_us + repeat_us(shard);
	if (account->waiting > account->waiting_asked)
		return account->next_token_us > spaced_us ? account->next_token_us : spaced_us;
	return shard->sent_us + (account->waiting ? REPEAT_US : QTA_POLL_US);
}

/* Whether a regular request is useful: not for an account whose operations ask for themselves. */
static bool needs_request(const struct qta_shard *shard, const struct qta_account *account,
			  uint64_t now_us)
{
	return account->waiting || account->dropping || polls(shard, account, now_us) ||
	       (shard->unanswered_us && now_us < account->arrived_us + IDLE_US);
}

/* Returns the time of the account's next event: a request, the end of a wait, a carried one. */
static uint64_t account_event_us(const struct qta_shard *shard, const struct qta_account *account,
				 uint64_t now_us)
{
	const struct qta_waiter *waiter;
	uint64_t due_us = QTA_NEVER;
	uint64_t carry_us = carry_start_us(shard, account);

	if (needs_request(shard, account, now_us))
		due_us = account_due_us(shard, account);
	for (waiter = APR_RING_FIRST(&account->waiters);
	     waiter != APR_RING_SENTINEL(&account->waiters, qta_waiter, link);
	     waiter = APR_RING_NEXT(waiter, link))
		if (waiter->wait_until_us < due_us)
			due_us = waiter->wait_until_us;
	if (account->waiting && has_token(account, now_us))
		due_us = now_us;
	if (account->waiting && carry_us != QTA_NEVER) {
		uint64_t next_us =
			now_us < carry_us ? carry_us : expected_us(shard, account, 0, now_us);

		if (next_us < due_us)
			due_us = next_us;
	}
	return due_us;
}

/* Sets the timer for the next event of the shard's accounts; forgets those without operations. */
static void shard_plan(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_account *account = APR_RING_FIRST(&shard->active);
	uint64_t due_us = QTA_NEVER;

	while (account != APR_RING_SENTINEL(&shard->active, qta_account, link)) {
		struct qta_account *next = APR_RING_NEXT(account, link);
		uint64_t event_us = account_event_us(shard, account, now_us);

		if (event_us == QTA_NEVER && account->carry_milli)
			rest(shard, account);
		else if (event_us == QTA_NEVER)
			unlist(account);
		else if (event_us < due_us)
			due_us = event_us;
		account = next;
	}
	if (APR_RING_EMPTY(&shard->active, qta_account, link)) {
		/* The next operation waits for an answer again, rather than being refused at once.
		 */
		shard->unanswered_us = 0;
		shard->in_flight = false;
	}
	account = APR_RING_FIRST(&shard->resting);
	if (account != APR_RING_SENTINEL(&shard->resting, qta_account, link) &&
	    account->arrived_us + IDLE_US < due_us)
		due_us = account->arrived_us + IDLE_US;
	if (due_us == QTA_NEVER)
		bc_timer_cancel(shard->state->timers, &shard->request_timer);
	else
		bc_timer_set(shard->state->timers, &shard->request_timer,
			     due_us > now_us ? due_us : now_us + 1);
}

/* Gives the right to carry on back when there were no operations for some time. */
static void drop_if_idle(struct qta_account *account, uint64_t now_us)
{
	if (account->dropping) {
		if (now_us >= account->carry_until_us)
			account->dropping = false;
		return;
	}
	if (!account->carry_milli || account->waiting || now_us < account->arrived_us + IDLE_US)
		return;
	account->dropping = now_us < account->carry_until_us;
	account->dropped_us = now_us;
	account->carry_milli = 0;
}

/* Makes the accounts active that have rested for so long that they give their right back. */
static void wake_idle(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_account *account = APR_RING_FIRST(&shard->resting);

	while (account != APR_RING_SENTINEL(&shard->resting, qta_account, link) &&
	       now_us >= account->arrived_us + IDLE_US) {
		activate(shard, account);
		account = APR_RING_FIRST(&shard->resting);
	}
}

static void on_request_timer(void *data, uint64_t now_us)
{
	struct qta_shard *shard = data;
	struct qta_account *account;
	uint32_t count = 0;
	bool due = false;

	wake_idle(shard, now_us);
	APR_RING_FOREACH(account, &shard->active, qta_account, link)
	count++;
	/* A callback may ask for operations, which can move any account to another ring. */
	while (count-- && !APR_RING_EMPTY(&shard->active, qta_account, link)) {
		account = APR_RING_FIRST(&shard->active);
		APR_RING_REMOVE(account, link);
		APR_RING_INSERT_TAIL(&shard->active, account, qta_account, link);
		waiters_serve(shard, account, now_us);
		drop_if_idle(account, now_us);
		due = due || (needs_request(shard, account, now_us) &&
			      account_due_us(shard, account) <= now_us);
	}
	if (due)
		request_send(shard, now_us);
	shard_plan(shard, now_us);
}

/* Initializes the requests of a shard. */
void qta_origin_init(struct qta_shard *shard)
{
	APR_RING_INIT(&shard->active, qta_account, link);
	APR_RING_INIT(&shard->resting, qta_account, link);
	bc_timer_init(&shard->request_timer, on_request_timer, shard);
}

/* Forgets the counter if it is no longer a live member, so that the candidates are asked. */
void qta_origin_members_changed(struct qta_shard *shard)
{
	if (!shard->counter[0] || qta_is_live(shard->state, shard->counter))
		return;
	shard->counter[0] = '\0';
	shard->attempts = 0;
}

/* Initializes an account without tokens and waiting operations. */
void qta_origin_account_init(struct qta_account *account)
{
	APR_RING_INIT(&account->waiters, qta_waiter, link);
	account->most_urgent = UINT32_MAX;
}

/* Admits the waiting operations of an account that has no limit any more. */
void qta_origin_account_end(struct qta_state *state, struct qta_account *account, uint64_t now_us)
{
	unlist(account);
	while (!APR_RING_EMPTY(&account->waiters, qta_waiter, link))
		waiter_end(state, APR_RING_FIRST(&account->waiters), QTA_ADMITTED, 0, now_us);
}

/* Lowers the right to carry on with a lowered rate. */
void qta_origin_lowered(struct qta_account *account, uint64_t rate_before)
{
	if (account->rate < rate_before)
		account->carry_milli =
			(uint32_t)(account->carry_milli * account->rate / rate_before);
	account->next_token_us = 0;
}

/* Chooses the proxy to ask: the known counter, and candidates in turn while it does not answer. */
static const char *request_target(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	bool known = shard->counter[0] != '\0';
	uint32_t rank = known ? (shard->attempts - 3) / 2 : shard->attempts;
	const char *candidate;

	if (qta_is_counter(shard, now_us))
		return state->self;
	if (known && (shard->attempts < 3 || shard->attempts % 2))
		return shard->counter;
	candidate = qta_candidate(state, shard->number, rank);
	if (!candidate || strcmp(candidate, state->self) != 0)
		return candidate;
	/* Other members may not be known yet; alone, a proxy claims without being asked. */
	if (state->candidate_count > 1)
		qta_claim_asked(shard, now_us);
	return qta_candidate(state, shard->number, rank + 1);
}

static uint32_t tokens_in_advance(const struct qta_shard *shard, const struct qta_account *account,
				  uint64_t now_us)
{
	uint64_t wanted;
	uint32_t held;

	if (account->rate_milli < PREFETCH_MIN_MILLI || now_us >= account->arrived_us + BC_US_PER_S)
		return 0;
	wanted = account->rate_milli * PREFETCH_MS / 1000000 + 1;
	held = live_tokens(account, now_us + PREFETCH_LEFT_US, shard->epoch);
	return wanted > held ? (uint32_t)(wanted - held) : 0;
}

static void item_fill(const struct qta_shard *shard, struct qta_account *account, bool repeated,
		      struct qta_item *item, uint64_t now_us)
{
	const struct qta_waiter *waiter;

	memset(item, 0, sizeof(*item));
	snprintf(item->account, sizeof(item->account), "%s", account->name);
	item->wanted = account->waiting;
	for (waiter = APR_RING_FIRST(&account->waiters);
	     waiter != APR_RING_SENTINEL(&account->waiters, qta_waiter, link);
	     waiter = APR_RING_NEXT(waiter, link))
		item->urgent += waiter->priority == account->most_urgent;
	if (repeated)
		item->wanted += tokens_in_advance(shard, account, now_us);
	else
		item->wanted -= account->waiting_asked;
	if (item->urgent > item->wanted)
		item->urgent = item->wanted;
	account->waiting_asked = account->waiting;
	item->held = live_tokens(account, now_us, shard->epoch);
	item->used = account->used;
	item->carries = !account->dropping;
	if (account->reported_held > item->held)
		bc_counter_add(shard->state->ctx, "bulrushcleat_quota_tokens_returned_total", NULL,
			       account->reported_held - item->held);
	account->reported_held = item->held;
	bc_counter_add(shard->state->ctx, "bulrushcleat_quota_tokens_asked_total", NULL,
		       item->wanted);
}

/* Sends one request for all of the shard's accounts that need one. */
static void request_send(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_item items[QTA_ITEMS_MAX];
	struct qta_message message = {.shard = shard->number, .items = items};
	struct qta_state *state = shard->state;
	/* While an answer may still come, only what the request in flight lacks is requested. */
	bool repeated = !shard->in_flight || now_us >= shard->sent_us + repeat_us(shard);
	struct qta_account *account;
	const char *target;
	uint32_t passed = 0;

	if (shard->in_flight && repeated)
		shard->attempts++;
	target = request_target(shard, now_us);
	if (!target) {
		shard->sent_us = now_us;
		return;
	}
	for (account = APR_RING_FIRST(&shard->active);
	     account != APR_RING_SENTINEL(&shard->active, qta_account, link);
	     account = APR_RING_NEXT(account, link)) {
		if (message.count == QTA_ITEMS_MAX)
			break;
		passed++;
		epoch_sync(shard, account);
		if (needs_request(shard, account, now_us))
			item_fill(shard, account, repeated, &items[message.count++], now_us);
	}
	/* The accounts that found no room come first next time. */
	while (message.count == QTA_ITEMS_MAX && passed--) {
		account = APR_RING_FIRST(&shard->active);
		APR_RING_REMOVE(account, link);
		APR_RING_INSERT_TAIL(&shard->active, account, qta_account, link);
	}
	message.sent_us = now_us > shard->sent_us ? now_us : shard->sent_us + 1;
	message.epoch = shard->epoch;
	message.incarnation = state->incarnation;
	message.answered_us = shard->acked_us;
	shard->sent_us = message.sent_us;
	shard->in_flight = true;
	if (!shard->unanswered_us)
		shard->unanswered_us = message.sent_us;
	bc_counter_add(state->ctx, "bulrushcleat_quota_requests_total", NULL, 1);
	qta_send(state, target, &message, now_us);
}

/* Asks for an operation; see qta_admit(). Takes the waiter over. */
enum qta_verdict qta_origin_admit(struct qta_state *state, struct qta_account *account,
				  struct qta_waiter *waiter, uint64_t *retry_after_us,
				  uint64_t now_us)
{
	struct qta_shard *shard = &state->shards[account->shard];
	bool first =
		!account->waiting || waiter->priority < APR_RING_FIRST(&account->waiters)->priority;

	epoch_sync(shard, account);
	account->arrived_us = now_us;
	account->dropping = false;
	if (waiter->priority < account->most_urgent)
		account->most_urgent = waiter->priority;
	state->verdict = QTA_WAITING;
	state->verdict_retry_us = 0;
	activate(shard, account);
	if (first && operation_take(shard, account, now_us)) {
		qta_waiter_free(waiter);
		bc_timer_reduce(state->timers, &shard->request_timer,
				account_event_us(shard, account, now_us));
		return QTA_ADMITTED;
	}
	waiter_insert(state, waiter);
	state->deciding = true;
	state->admitting = waiter;
	if (expected_us(shard, account, account->waiting - 1, now_us) > waiter->wait_until_us)
		waiter_end(state, waiter, QTA_REFUSED, refusal_us(shard, account, now_us), now_us);
	if (needs_request(shard, account, now_us) && account_due_us(shard, account) <= now_us)
		request_send(shard, now_us);
	state->admitting = NULL;
	state->deciding = false;
	bc_timer_reduce(state->timers, &shard->request_timer,
			account_event_us(shard, account, now_us));
	*retry_after_us = state->verdict_retry_us;
	return state->verdict;
}

/* Withdraws a waiting operation. */
void qta_origin_cancel(struct qta_state *state, struct qta_waiter *waiter)
{
	waiter_remove(state, waiter);
	qta_waiter_free(waiter);
}

/* Handles the answer of a proxy that does not count the shard. */
static void referral(struct qta_shard *shard, const char *from, const struct qta_message *answer,
		     uint64_t now_us)
{
	struct qta_state *state = shard->state;
	bool was_counter = strcmp(shard->counter, from) == 0;

	if (strcmp(answer->counter, state->self) == 0)
		qta_claim_told(shard, answer->revision, now_us);
	else if (answer->revision && strcmp(answer->counter, from) == 0)
		qta_claim_observed(shard, from, answer->revision, now_us);
	if (answer->counter[0] && strcmp(answer->counter, state->self) != 0 &&
	    strcmp(answer->counter, shard->counter) != 0) {
		snprintf(shard->counter, sizeof(shard->counter), "%s", answer->counter);
		shard->attempts = 0;
	} else if (was_counter) {
		shard->counter[0] = '\0';
		shard->attempts = 0;
	}
	if (was_counter || strcmp(shard->claim.holder, from) == 0)
		qta_claim_given_up(shard, now_us);
	/* The next request goes to another proxy soon, without waiting for the repetition. */
	if (answer->sent_us == shard->sent_us && shard->in_flight) {
		struct qta_account *account;
		uint64_t due_us =
			shard->sent_us + (answer->counter[0] ? SPACING_US : repeat_us(shard));

		shard->in_flight = false;
		if (!answer->counter[0])
			shard->attempts++;
		for (account = APR_RING_FIRST(&shard->active);
		     account != APR_RING_SENTINEL(&shard->active, qta_account, link);
		     account = APR_RING_NEXT(account, link))
			account->waiting_asked = 0;
		if (!APR_RING_EMPTY(&shard->active, qta_account, link))
			bc_timer_reduce(state->timers, &shard->request_timer,
					due_us > now_us ? due_us : now_us + 1);
	}
}

static void item_take(struct qta_shard *shard, const struct qta_item *item,
		      const struct qta_message *answer, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_account *account =
		apr_hash_get(state->accounts, item->account, APR_HASH_KEY_STRING);
	uint64_t until_us = answer->sent_us + QTA_TOKEN_US;

	if (!account || account->shard != shard->number)
		return;
	epoch_sync(shard, account);
	if (item->granted && now_us < until_us) {
		tokens_add(account, item->granted, until_us, now_us);
		activate(shard, account);
		bc_counter_add(state->ctx, "bulrushcleat_quota_tokens_received_total", NULL,
			       item->granted);
	}
	if (answer->sent_us > account->dropped_us) {
		account->carry_milli = item->carry_milli;
		account->carry_until_us =
			answer->sent_us + (uint64_t)answer->claim_left_ms * BC_US_PER_MS;
	}
	if (answer->sent_us >= account->dropped_us)
		account->dropping = false;
	account->next_token_us =
		item->retry_after_ms ? now_us + (uint64_t)item->retry_after_ms * BC_US_PER_MS : 0;
	if (answer->sent_us == shard->sent_us)
		account->waiting_asked = 0;
	waiters_serve(shard, account, now_us);
}

/* Whether the answer is newer than those handled, and not of a term of office that is over. */
static bool is_news(const struct qta_shard *shard, const struct qta_message *answer,
		    uint64_t now_us)
{
	if (answer->sent_us > now_us && answer->sent_us > shard->sent_us)
		return false;
	if (answer->epoch == shard->epoch)
		return answer->answered_us > shard->acked_us;
	return answer->epoch > shard->epoch || now_us >= shard->claim_until_us;
}

static void answered(struct qta_shard *shard, const struct qta_message *answer, uint64_t now_us)
{
	if (shard->carrying)
		bc_log(shard->state->ctx, BC_LOG_INFO, "quota_carry_ended", "{s:i,s:s,s:I}",
		       "shard", (int)shard->number, "counter", answer->counter, "silent_ms",
		       (json_int_t)((now_us - shard->answer_received_us) / BC_US_PER_MS));
	shard->carrying = false;
	shard->answer_received_us = now_us;
	shard->attempts = 0;
	if (answer->sent_us >= shard->sent_us) {
		shard->in_flight = false;
		shard->unanswered_us = 0;
	} else {
		shard->unanswered_us = shard->sent_us;
	}
}

/* Handles an answer. */
void qta_origin_answer(struct qta_shard *shard, const char *from, const struct qta_message *answer,
		       uint64_t now_us)
{
	uint32_t i;

	if (!answer->is_counter) {
		referral(shard, from, answer, now_us);
		return;
	}
	if (!is_news(shard, answer, now_us))
		return;
	if (answer->epoch != shard->epoch) {
		shard->epoch = answer->epoch;
		shard->claim_until_us = 0;
	}
	shard->acked_us = answer->answered_us;
	shard->claim_until_us = answer->sent_us + (uint64_t)answer->claim_left_ms * BC_US_PER_MS;
	snprintf(shard->counter, sizeof(shard->counter), "%s", from);
	answered(shard, answer, now_us);
	if (strcmp(from, shard->state->self) != 0)
		qta_claim_observed(shard, from, answer->revision, now_us);
	for (i = 0; i < answer->count; i++)
		item_take(shard, &answer->items[i], answer, now_us);
	shard_plan(shard, now_us);
}
