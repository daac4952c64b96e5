#include "quota/quota_internal.h"

#include <string.h>

#define RENEW_US (2 * BC_US_PER_S)
/* Between the candidates' claims, so that two of them seldom write at the same time. */
#define RANK_DELAY_US (300 * BC_US_PER_MS)
/* After a start, until the other members are known and the candidates are the same everywhere. */
#define START_DELAY_US (500 * BC_US_PER_MS)
#define START_DELAY_ALONE_US BC_US_PER_S
/* The same while the number of members does not change, and when an origin asks. */
#define START_SETTLED_US (50 * BC_US_PER_MS)
/* How long a request of an origin counts as a reason to claim. */
#define ASKED_US BC_US_PER_S
#define RETRY_US (300 * BC_US_PER_MS)
#define RETRY_MAX_US (2 * BC_US_PER_S)
/* Between two reads of a claim; other proxies' answers can cause reads all the time. */
#define REREAD_US (500 * BC_US_PER_MS)
/* The origins' next requests come within this time and give their rights to carry on back. */
#define RELEASE_DELAY_US (300 * BC_US_PER_MS)
#define RELEASE_ATTEMPTS 5U

static void on_claim_timer(void *data, uint64_t now_us)
{
	qta_claim_check(data, now_us);
}

/* Initializes the claim of a shard. */
void qta_claim_init(struct qta_shard *shard)
{
	bc_timer_init(&shard->claim_timer, on_claim_timer, shard);
}

/* Returns whether this proxy's claim to the shard is valid. */
bool qta_is_counter(const struct qta_shard *shard, uint64_t now_us)
{
	return now_us < shard->valid_until_us && !shard->releasing;
}

static void check_at(struct qta_shard *shard, uint64_t due_us)
{
	bc_timer_reduce(shard->state->timers, &shard->claim_timer, due_us);
}

/* Returns whether a proxy is a live member that is not leaving. */
bool qta_is_live(const struct qta_state *state, const char *member)
{
	uint32_t count = state->ops.member_count(state->data);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (strcmp(state->ops.member_at(state->data, i), member) == 0)
			return true;
	return false;
}

static bool held_by_self(const struct qta_shard *shard)
{
	return strcmp(shard->claim.holder, shard->state->self) == 0;
}

static void claim_write(struct qta_shard *shard, enum qta_call call, bool carried, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_claim claim = {.incarnation = state->incarnation,
				  .serial = ++shard->serial,
				  .released = call == QTA_RELEASING,
				  .carried = carried};

	snprintf(claim.holder, sizeof(claim.holder), "%s", state->self);
	shard->call = call;
	shard->call_sent_us = now_us;
	state->ops.write_claim(state->data, shard->number, shard->revision, &claim);
}

static void claims_gauge_set(const struct qta_state *state, uint64_t now_us)
{
	uint32_t held = 0;
	uint32_t i;

	for (i = 0; i < QTA_SHARDS; i++)
		held += qta_is_counter(&state->shards[i], now_us);
	bc_gauge_set(state->ctx, "bulrushcleat_quota_claims", NULL, held);
}

static void log_claim(struct qta_shard *shard, enum bc_log_level level, const char *event)
{
	bc_log(shard->state->ctx, level, event, "{s:i,s:I,s:s}", "shard", (int)shard->number,
	       "revision", (json_int_t)shard->revision, "holder", shard->claim.holder);
}

/* Ends a claim whose validity is over. */
static void claim_end_if_lapsed(struct qta_shard *shard, uint64_t now_us)
{
	if (!shard->valid_until_us || now_us < shard->valid_until_us)
		return;
	shard->valid_until_us = 0;
	log_claim(shard, BC_LOG_WARN, "quota_claim_lapsed");
	claims_gauge_set(shard->state, now_us);
}

static void drain_step(struct qta_shard *shard, uint64_t now_us)
{
	bool carried;

	if (!shard->valid_until_us || shard->failures >= RELEASE_ATTEMPTS)
		return;
	shard->releasing = true;
	claims_gauge_set(shard->state, now_us);
	/* Until then, rights of an earlier term may remain that are not known here. */
	carried = now_us < shard->half_until_us || qta_rights_remain(shard, now_us);
	claim_write(shard, QTA_RELEASING, carried, now_us);
}

/*
 * Returns when this proxy may write the claim as it is known: at once if it is released, missing or
 * this proxy's own; otherwise when it has been unchanged for longer than it can be valid.
 */
static uint64_t takeover_us(const struct qta_shard *shard)
{
	if (!shard->revision || shard->claim.released || held_by_self(shard))
		return 0;
	return shard->observed_us + QTA_CLAIM_US + QTA_MARGIN_US;
}

/* Whether the first candidate has to act on its own, without the request of an origin. */
static bool is_vacant(const struct qta_shard *shard)
{
	return !shard->seen || !takeover_us(shard) ||
	       !qta_is_live(shard->state, shard->claim.holder);
}

/*
 * Returns when this proxy may act as a candidate after its start. An origin that asks has chosen it
 * by the members that it knows, so that changes of their number need not end first.
 */
static uint64_t start_us(const struct qta_state *state, bool asked)
{
	uint64_t latest_us = state->created_us +
			     (state->candidate_count > 1 ? START_DELAY_US : START_DELAY_ALONE_US);
	uint64_t known_us = asked ? state->members_known_us : state->members_changed_us;

	if (known_us && known_us + START_SETTLED_US < latest_us)
		return known_us + START_SETTLED_US;
	return latest_us;
}

static void candidate_step(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	uint32_t rank = qta_own_rank(state, shard->number);
	bool asked = shard->asked_us && now_us < shard->asked_us + ASKED_US;
	uint64_t due_us;

	/* Another proxy has read that the claim is this proxy's own. */
	if (shard->seen && shard->revision && held_by_self(shard)) {
		claim_write(shard, QTA_WRITING, false, now_us);
		return;
	}
	/*
	 * A proxy that is asked although it is no candidate may have been the counter before its
	 * restart: the claim is its own then.
	 */
	if (rank == QTA_CANDIDATES) {
		if (!asked || (shard->seen && !held_by_self(shard)))
			return;
		rank = 0;
	}
	if (!asked && (rank || !is_vacant(shard)))
		return;
	due_us = start_us(state, asked);
	if (rank && shard->asked_since_us + rank * RANK_DELAY_US > due_us)
		due_us = shard->asked_since_us + rank * RANK_DELAY_US;
	if (shard->seen && takeover_us(shard) > due_us)
		due_us = takeover_us(shard);
	if (!shard->seen && shard->read_us && now_us < shard->read_us + REREAD_US &&
	    due_us < shard->read_us + REREAD_US)
		due_us = shard->read_us + REREAD_US;
	if (now_us < due_us) {
		check_at(shard, due_us);
	} else if (shard->seen) {
		claim_write(shard, QTA_WRITING, false, now_us);
	} else {
		shard->call = QTA_READING;
		shard->call_sent_us = now_us;
		shard->read_us = now_us;
		state->ops.read_claim(state->data, shard->number);
	}
}

/* Makes the store call that is due, if any, and sets the timer for the next one. */
void qta_claim_check(struct qta_shard *shard, uint64_t now_us)
{
	claim_end_if_lapsed(shard, now_us);
	if (shard->call != QTA_IDLE)
		return;
	if (shard->failures && now_us < shard->call_sent_us + RETRY_US) {
		check_at(shard, shard->call_sent_us + RETRY_US);
		return;
	}
	if (shard->state->draining) {
		drain_step(shard, now_us);
	} else if (shard->limited && shard->valid_until_us) {
		if (now_us >= shard->renew_us)
			claim_write(shard, QTA_WRITING, false, now_us);
		else
			check_at(shard, shard->renew_us);
	} else if (shard->limited) {
		candidate_step(shard, now_us);
	}
}

/* Schedules the next attempt after a failed call. */
static void retry_later(struct qta_shard *shard, uint64_t now_us)
{
	uint64_t delay_us = RETRY_US;
	uint32_t i;

	for (i = 0; i < shard->failures && delay_us < RETRY_MAX_US; i++)
		delay_us *= 2;
	shard->failures++;
	check_at(shard, now_us + delay_us / 2 + bc_random_below(shard->state->ctx, delay_us / 2));
	if (shard->valid_until_us)
		check_at(shard, shard->valid_until_us);
}

/* Records that another proxy counts the shard with this revision of the claim. */
void qta_claim_observed(struct qta_shard *shard, const char *holder, uint64_t revision,
			uint64_t now_us)
{
	if (shard->valid_until_us || shard->call != QTA_IDLE ||
	    (shard->seen && revision <= shard->revision))
		return;
	shard->seen = true;
	shard->revision = revision;
	shard->observed_us = now_us;
	memset(&shard->claim, 0, sizeof(shard->claim));
	snprintf(shard->claim.holder, sizeof(shard->claim.holder), "%s", holder);
}

/* Tells the holder of a claim that has been read; after a restart it need not read it itself. */
static void holder_tell(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_message news = {
		.is_answer = true, .shard = shard->number, .revision = shard->revision};

	if (!shard->revision || shard->claim.released || held_by_self(shard) ||
	    !qta_is_live(state, shard->claim.holder))
		return;
	snprintf(news.counter, sizeof(news.counter), "%s", shard->claim.holder);
	qta_send(state, shard->claim.holder, &news, now_us);
}

/*
 * Records that another proxy has read this proxy's claim. If this proxy has not been the counter
 * since its start, it is the claim of an earlier one.
 */
void qta_claim_told(struct qta_shard *shard, uint64_t revision, uint64_t now_us)
{
	if (shard->own_epoch || shard->seen || shard->call != QTA_IDLE || !revision)
		return;
	shard->seen = true;
	shard->revision = revision;
	shard->observed_us = now_us;
	memset(&shard->claim, 0, sizeof(shard->claim));
	snprintf(shard->claim.holder, sizeof(shard->claim.holder), "%s", shard->state->self);
	qta_claim_check(shard, now_us);
}

/* Passes the answer to a read. */
void qta_claim_read(struct qta_state *state, uint32_t number, enum bc_status status,
		    uint64_t revision, const struct qta_claim *claim, uint64_t now_us)
{
	struct qta_shard *shard = &state->shards[number % QTA_SHARDS];

	if (shard->call != QTA_READING)
		return;
	shard->call = QTA_IDLE;
	if (status != BC_OK && status != BC_ENOTFOUND) {
		retry_later(shard, now_us);
		return;
	}
	shard->failures = 0;
	/* A claim that is read again unchanged has been observed since the first time. */
	if (shard->revision != revision || !shard->observed_us || status == BC_ENOTFOUND) {
		shard->observed_us = now_us;
		shard->revision = status == BC_OK ? revision : 0;
		memset(&shard->claim, 0, sizeof(shard->claim));
		if (claim && status == BC_OK)
			shard->claim = *claim;
	}
	shard->seen = true;
	if (!held_by_self(shard) || shard->claim.incarnation != state->incarnation) {
		shard->own_epoch = 0;
		shard->valid_until_us = 0;
	}
	holder_tell(shard, now_us);
	qta_claim_check(shard, now_us);
}

/* Starts a term of office, unless this proxy was the counter before and no other since then. */
static void term_begin(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	uint64_t end_us = 0;

	if (shard->own_epoch && held_by_self(shard) &&
	    shard->claim.incarnation == state->incarnation)
		return;
	/* The origins' rights from an earlier start of this proxy cannot outlast its claim. */
	if (held_by_self(shard) && !shard->claim.released)
		end_us = state->created_us + QTA_CLAIM_US + QTA_MARGIN_US;
	else if (shard->claim.released && shard->claim.carried)
		end_us = now_us + QTA_CLAIM_US + QTA_MARGIN_US;
	shard->half_until_us = end_us;
	shard->own_epoch = shard->revision;
	qta_counter_begin(shard, now_us);
}

static void released(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_message news = {.is_answer = true, .shard = shard->number};
	uint32_t i;

	shard->valid_until_us = 0;
	log_claim(shard, BC_LOG_INFO, "quota_claim_released");
	for (i = 0; i < 2; i++) {
		const char *to = qta_candidate(state, shard->number, i);

		if (to && strcmp(to, state->self) != 0)
			qta_send(state, to, &news, now_us);
	}
}

/* Tells the other candidates, so that they need not read the claim when origins ask them. */
static void candidates_tell(struct qta_shard *shard, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_message news = {
		.is_answer = true, .shard = shard->number, .revision = shard->revision};
	uint32_t i;

	snprintf(news.counter, sizeof(news.counter), "%s", state->self);
	for (i = 0; i < state->candidate_count; i++)
		if (strcmp(state->candidates[shard->number][i], state->self) != 0)
			qta_send(state, state->candidates[shard->number][i], &news, now_us);
}

static void written(struct qta_shard *shard, uint64_t revision, uint64_t now_us)
{
	struct qta_state *state = shard->state;
	bool was_counter = shard->valid_until_us != 0;

	shard->revision = revision;
	shard->observed_us = now_us;
	shard->valid_until_us = shard->call_sent_us + QTA_CLAIM_US;
	term_begin(shard, now_us);
	memset(&shard->claim, 0, sizeof(shard->claim));
	snprintf(shard->claim.holder, sizeof(shard->claim.holder), "%s", state->self);
	shard->claim.incarnation = state->incarnation;
	if (!was_counter) {
		log_claim(shard, BC_LOG_INFO, "quota_claim_taken");
		candidates_tell(shard, now_us);
		claims_gauge_set(state, now_us);
	}
	shard->renew_us = shard->call_sent_us + RENEW_US;
	check_at(shard, shard->renew_us);
}

/* Passes the answer to a write. Only an answered write gives a claim. */
void qta_claim_written(struct qta_state *state, uint32_t number, enum bc_status status,
		       uint64_t revision, uint64_t now_us)
{
	struct qta_shard *shard = &state->shards[number % QTA_SHARDS];
	enum qta_call call = shard->call;

	if (call != QTA_WRITING && call != QTA_RELEASING)
		return;
	shard->call = QTA_IDLE;
	claim_end_if_lapsed(shard, now_us);
	if (status == BC_OK) {
		shard->failures = 0;
		if (call == QTA_RELEASING)
			released(shard, now_us);
		else
			written(shard, revision, now_us);
	} else if (status == BC_ECONFLICT) {
		/* An earlier write of this proxy, or another candidate's, was executed. */
		shard->seen = false;
		shard->failures = 0;
		if (call == QTA_RELEASING) {
			shard->valid_until_us = 0;
		} else if (shard->valid_until_us) {
			shard->call = QTA_READING;
			shard->call_sent_us = now_us;
			state->ops.read_claim(state->data, number);
		} else {
			qta_claim_check(shard, now_us);
		}
	} else {
		retry_later(shard, now_us);
	}
	if (state->draining && shard->valid_until_us)
		check_at(shard, now_us);
}

/* Records that an origin asks here because it gets no answer from a counter. */
void qta_claim_asked(struct qta_shard *shard, uint64_t now_us)
{
	if (!shard->asked_us || now_us >= shard->asked_us + ASKED_US)
		shard->asked_since_us = now_us;
	shard->asked_us = now_us;
	qta_claim_check(shard, now_us);
}

/* Records that the counter has given up its claim, so that the first candidate reads it. */
void qta_claim_given_up(struct qta_shard *shard, uint64_t now_us)
{
	shard->seen = shard->seen && shard->call != QTA_IDLE;
	qta_claim_check(shard, now_us);
}

/* Schedules the release of this proxy's claim. */
void qta_claim_drain(struct qta_shard *shard, uint64_t now_us)
{
	bc_timer_cancel(shard->state->timers, &shard->claim_timer);
	shard->failures = 0;
	check_at(shard, now_us + RELEASE_DELAY_US);
}
