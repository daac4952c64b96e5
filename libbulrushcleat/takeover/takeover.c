#include "takeover/takeover_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for peers to report that they reach the leader: an inter-region round trip and queueing. */
#define CONFIRM_US (120 * BC_US_PER_MS)
/* Each further rank waits this much longer, so that usually only one proxy claims. */
#define RANK_DELAY_US (300 * BC_US_PER_MS)
/* Longer than the fourth rank's delay: an earlier claim would only conflict with that rank's. */
#define NO_RANK_DELAY_US (1300 * BC_US_PER_MS)
/* A peer's report that the leader answers is valid this long. */
#define PEER_REPORT_VALID_US (500 * BC_US_PER_MS)
/* A slow order takes about 1 s. After this time it is sent again under the same token. */
#define ORDER_TIMEOUT_US (1500 * BC_US_PER_MS)
/* Another claim may replace one that has not led to a new leader in this time. */
#define CLAIM_WAIT_US (1500 * BC_US_PER_MS)
/* Time for the target to lead after an order; the platform needs up to about 1 s. */
#define LEAD_WAIT_US (3 * BC_US_PER_S)
/* Allows 12 status queries in LEAD_WAIT_US; traffic may show the new leader earlier. */
#define LEAD_POLL_US (250 * BC_US_PER_MS)
/* After this many unsuccessful orders under one token the attempt starts over. */
#define ORDERS_MAX 3U
/* Minimum time between two takeovers, in which endpoints and proxies learn of the new leader. */
#define SETTLE_US (500 * BC_US_PER_MS)

/* Bits of a fencing token; the sum stays exact where a platform reads numbers as doubles. */
#define TOKEN_REVISION_BITS 40
#define TOKEN_ERA_BITS 13

static void on_timer(void *data, uint64_t now_us);

/* Creates a state without takeovers; NULL when out of memory. */
struct tko_state *tko_create(struct bc_ctx *ctx, struct bc_timers *timers, struct grp_state *groups,
			     const struct tko_ops *ops, void *data)
{
	struct tko_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->ctx = ctx;
	state->timers = timers;
	state->groups = groups;
	state->ops = *ops;
	state->data = data;
	state->takeovers = apr_hash_make(state->pool);
	return state;
}

/* Frees the state without undoing orders or resuming paused replicas. NULL is ignored. */
void tko_destroy(struct tko_state *state)
{
	apr_hash_index_t *it;

	if (!state)
		return;
	for (it = apr_hash_first(NULL, state->takeovers); it; it = apr_hash_next(it)) {
		struct takeover *takeover = apr_hash_this_val(it);

		bc_timer_cancel(state->timers, &takeover->timer);
		bc_timer_cancel(state->timers, &takeover->resume_timer);
		free(takeover);
	}
	apr_pool_destroy(state->pool);
	free(state);
}

/* Returns the takeover of a group; NULL if there has been none. */
struct takeover *tko_find(const struct tko_state *state, const char *group)
{
	return apr_hash_get(state->takeovers, group, APR_HASH_KEY_STRING);
}

static struct takeover *takeover_get(struct tko_state *state, struct grp_group *group)
{
	struct takeover *takeover = tko_find(state, group->name);

	if (takeover)
		return takeover;
	takeover = calloc(1, sizeof(*takeover));
	if (!takeover)
		return NULL;
	takeover->state = state;
	takeover->group = group;
	bc_timer_init(&takeover->timer, on_timer, takeover);
	bc_timer_init(&takeover->resume_timer, tko_resume_due, takeover);
	apr_hash_set(state->takeovers, group->name, APR_HASH_KEY_STRING, takeover);
	return takeover;
}

/* Enters a step that times out after the delay. */
void tko_enter(struct takeover *takeover, enum step step, uint64_t delay_us, uint64_t now_us)
{
	takeover->step = step;
	bc_timer_set(takeover->state->timers, &takeover->timer, now_us + delay_us);
}

static void end_takeover(struct takeover *takeover, const char *reason, uint64_t now_us)
{
	struct grp_endpoint *leader = takeover->group->leader;

	bc_log(takeover->state->ctx, BC_LOG_INFO, "takeover_ended", "{s:s,s:s,s:s,s:I}", "group",
	       takeover->group->name, "reason", reason, "leader", leader ? leader->info.id : "",
	       "after_ms", (json_int_t)((now_us - takeover->start_us) / BC_US_PER_MS));
	takeover->step = STEP_IDLE;
	takeover->ended_us = now_us;
	bc_timer_cancel(takeover->state->timers, &takeover->timer);
	/*
	 * The takeover may end because the old leader answers again, while the order is still being
	 * carried out: replicas stay paused until then.
	 */
	if (takeover->order_outstanding)
		bc_timer_set(takeover->state->timers, &takeover->resume_timer,
			     now_us + LEAD_WAIT_US);
	else
		tko_resume_paused(takeover, now_us);
}

/* Returns whether the leader answers and is not leaving. */
static bool leader_is_healthy(const struct grp_group *group)
{
	return group->leader && !group->leader->suspect && !group->leader->info.leaving;
}

/* Returns whether the leader is leaving, so that it is replaced even if it answers. */
bool tko_is_planned(const struct takeover *takeover)
{
	return takeover->group->leader && takeover->group->leader->info.leaving;
}

static uint64_t rank_delay_us(struct takeover *takeover)
{
	int32_t rank = takeover->state->ops.rank(takeover->state->data, takeover->group->name);

	return rank == TKO_NO_RANK ? NO_RANK_DELAY_US : (uint64_t)rank * RANK_DELAY_US;
}

/* Starts an attempt to replace the current leader. */
static void begin_attempt(struct takeover *takeover, uint64_t delay_us, uint64_t now_us)
{
	struct tko_state *state = takeover->state;
	const struct grp_endpoint *leader = takeover->group->leader;

	/* Replicas that were paused to replace the same leader stay paused. */
	if (!leader || strcmp(leader->info.id, takeover->old_leader) != 0)
		tko_clear_paused(takeover);
	takeover->prefer_most_received = false;
	snprintf(takeover->old_leader, sizeof(takeover->old_leader), "%s",
		 leader ? leader->info.id : "");
	takeover->peer_reached_leader_us = 0;
	takeover->claim_read = false;
	bc_log(state->ctx, BC_LOG_WARN, "takeover_attempt_started", "{s:s,s:s,s:b,s:I}", "group",
	       takeover->group->name, "leader", takeover->old_leader, "planned",
	       tko_is_planned(takeover), "term", (json_int_t)takeover->group->term);
	state->ops.read_claim(state->data, takeover->group->name);
	tko_enter(takeover, STEP_RANK_DELAY, delay_us + rank_delay_us(takeover), now_us);
}

/*
 * Ends the takeover if the leader answers. Starts a new attempt if the leader has changed, since
 * the evidence gathered so far is about the old one. Returns whether it did either.
 */
bool tko_stop_if_obsolete(struct takeover *takeover, uint64_t now_us)
{
	const struct grp_endpoint *leader = takeover->group->leader;

	if (leader_is_healthy(takeover->group)) {
		end_takeover(takeover, "leader_answers", now_us);
		return true;
	}
	if (!leader || strcmp(leader->info.id, takeover->old_leader) == 0)
		return false;
	begin_attempt(takeover, SETTLE_US, now_us);
	return true;
}

static void start(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	struct takeover *takeover = takeover_get(state, group);

	if (!takeover || takeover->step != STEP_IDLE ||
	    (takeover->ended_us && now_us - takeover->ended_us < SETTLE_US))
		return;
	takeover->start_us = now_us;
	begin_attempt(takeover, 0, now_us);
}

/* Starts a takeover if the leader does not answer, is leaving or is not known. */
void tko_leader_lost(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	if (leader_is_healthy(group))
		return;
	start(state, group, now_us);
}

/* Starts a planned takeover of a leader that is leaving. */
void tko_leader_leaving(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	start(state, group, now_us);
}

/* Records another proxy's report that the leader answers it. */
void tko_peer_reaches_leader(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group->name);

	if (takeover)
		takeover->peer_reached_leader_us = now_us;
}

static void claim(struct takeover *takeover, uint64_t now_us)
{
	tko_enter(takeover, STEP_CLAIM, CLAIM_WAIT_US, now_us);
	takeover->state->ops.claim(takeover->state->data, takeover->group->name,
				   takeover->claim.revision);
}

/* Asks the other proxies whether the leader answers them, unless it is leaving. */
static void start_confirmation(struct takeover *takeover, uint64_t now_us)
{
	struct tko_state *state = takeover->state;

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!takeover->claim_read)
		state->ops.read_claim(state->data, takeover->group->name);
	if (!tko_is_planned(takeover))
		state->ops.ask_peers(state->data, takeover->group);
	tko_enter(takeover, STEP_CONFIRM,
		  tko_is_planned(takeover) && takeover->claim_read ? 0 : CONFIRM_US, now_us);
}

static void end_confirmation(struct takeover *takeover, uint64_t now_us)
{
	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!tko_is_planned(takeover) && takeover->peer_reached_leader_us &&
	    now_us - takeover->peer_reached_leader_us < PEER_REPORT_VALID_US) {
		/* Only this proxy's path to the leader fails. Asks again, since that can change. */
		tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
		return;
	}
	if (takeover->claim_read &&
	    (tko_is_planned(takeover) ||
	     takeover->state->ops.may_take_over(takeover->state->data, takeover->group)))
		claim(takeover, now_us);
	else
		tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
}

/*
 * Returns whether an endpoint is queried for its position. A leaving replica is a poor leader, but
 * where replicas acknowledge commits it does so until it ends, and may be the only one with some of
 * them.
 */
bool tko_is_queried(const struct takeover *takeover, const struct grp_endpoint *endpoint)
{
	if (endpoint->removed || endpoint == takeover->group->leader)
		return false;
	return !endpoint->info.leaving || takeover->group->sync_replicas;
}

static void query_endpoints(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *queried[GRP_ENDPOINTS_MAX];
	struct grp_endpoint *endpoint;
	uint32_t count = 0;
	uint32_t i;

	takeover->answer_count = 0;
	for (endpoint = grp_first(takeover->group); endpoint; endpoint = grp_next(endpoint)) {
		if (tko_is_queried(takeover, endpoint) && count < GRP_ENDPOINTS_MAX)
			queried[count++] = endpoint;
	}
	takeover->queried_count = count;
	tko_enter(takeover, STEP_QUERY_STATUS, STATUS_TIMEOUT_US + RECHECK_US, now_us);
	/* The callback may deliver the answer before it returns. */
	for (i = 0; i < count && takeover->step == STEP_QUERY_STATUS; i++)
		takeover->state->ops.query_status(takeover->state->data, queried[i],
						  STATUS_TIMEOUT_US, now_us);
}

/*
 * Makes the fencing token of a claim, which is greater than that of each earlier claim, also of one
 * that the store has forgotten. Returns 0 if the version is out of range.
 */
static uint64_t token_of(struct bc_version claim)
{
	if (claim.revision >> TOKEN_REVISION_BITS || claim.era >> TOKEN_ERA_BITS)
		return 0;
	return claim.era << TOKEN_REVISION_BITS | claim.revision;
}

/* Reads the claim again, since what is known of it is of no use. */
static void reread_claim(struct takeover *takeover, uint64_t now_us)
{
	takeover->claim_read = false;
	tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
}

static void claim_won(struct takeover *takeover, struct bc_version version, uint64_t now_us)
{
	struct tko_state *state = takeover->state;
	uint64_t token = token_of(version);

	/*
	 * The store was restored since the claim was read, so the condition of the write compared
	 * revisions of two histories. The claim stands, but another proxy's may have been replaced.
	 */
	if (version.era != takeover->claim.era || !token) {
		bc_log(state->ctx, BC_LOG_WARN, "takeover_claim_unusable", "{s:s,s:I,s:I,s:I}",
		       "group", takeover->group->name, "read_era", (json_int_t)takeover->claim.era,
		       "era", (json_int_t)version.era, "revision", (json_int_t)version.revision);
		reread_claim(takeover, now_us);
		return;
	}
	takeover->claim = version;
	takeover->token = token;
	takeover->orders = 0;
	bc_log(state->ctx, BC_LOG_INFO, "takeover_claimed", "{s:s,s:I,s:I,s:I}", "group",
	       takeover->group->name, "token", (json_int_t)token, "era", (json_int_t)version.era,
	       "revision", (json_int_t)version.revision);
	if (!tko_stop_if_obsolete(takeover, now_us))
		query_endpoints(takeover, now_us);
}

/* Takes the result of writing the claim object. */
void tko_claim_written(struct tko_state *state, const char *group, enum bc_status status,
		       struct bc_version version, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	if (!takeover || takeover->step != STEP_CLAIM)
		return;
	if (status == BC_OK) {
		claim_won(takeover, version, now_us);
		return;
	}
	if (status == BC_ECONFLICT) {
		takeover->claim = version;
		bc_log(state->ctx, BC_LOG_INFO, "takeover_claim_lost", "{s:s,s:I,s:I}", "group",
		       group, "era", (json_int_t)version.era, "revision",
		       (json_int_t)version.revision);
		/* Another proxy has claimed since the read. Gives it time to promote. */
		takeover->contested = true;
		tko_enter(takeover, STEP_CLAIM_LOST, CLAIM_WAIT_US, now_us);
		return;
	}
	bc_log(state->ctx, BC_LOG_WARN, "takeover_claim_failed", "{s:s,s:s}", "group", group,
	       "status", bc_status_name(status));
	/* The claim may have been written: reads its version again to find out. */
	reread_claim(takeover, now_us);
}

/* Takes the claim object's version, read at the start of the attempt. */
void tko_claim_read(struct tko_state *state, const char *group, enum bc_status status,
		    struct bc_version version, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	(void)now_us;
	if (!takeover || takeover->claim_read || (status != BC_OK && status != BC_ENOTFOUND))
		return;
	takeover->claim_read = true;
	takeover->claim = version;
	if (status == BC_ENOTFOUND)
		takeover->claim.revision = 0;
}

/* Orders the platform to promote the target, under the token of the claim. */
void tko_order(struct takeover *takeover, uint64_t now_us)
{
	takeover->orders++;
	takeover->order_outstanding = true;
	takeover->ordered_us = now_us;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_ordered", "{s:s,s:s,s:I,s:i}", "group",
	       takeover->group->name, "endpoint", takeover->target, "token",
	       (json_int_t)takeover->token, "attempt", (int)takeover->orders);
	tko_enter(takeover, STEP_ORDER, ORDER_TIMEOUT_US, now_us);
	takeover->state->ops.promote(takeover->state->data, takeover->group->name, takeover->target,
				     takeover->token);
}

/* Chooses the replica to promote after the status queries. */
static void choose_target(struct takeover *takeover, uint64_t now_us)
{
	const struct answer *best = tko_best_answer(takeover);
	uint32_t missing = takeover->queried_count - tko_answered_count(takeover);

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!best || tko_may_lose_commits(takeover, best, missing)) {
		bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_no_candidate", "{s:s,s:i,s:i}",
		       "group", takeover->group->name, "asked", (int)takeover->queried_count,
		       "missing", (int)missing);
		tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
		return;
	}
	snprintf(takeover->target, sizeof(takeover->target), "%s", best->endpoint_id);
	if (takeover->group->sync_replicas)
		tko_pause_others(takeover, now_us);
	else
		tko_order(takeover, now_us);
}

/*
 * Ends the takeover if the group has a healthy leader. A new leader that is suspect or leaving has
 * to be replaced as well.
 */
static bool ended_by_new_leader(struct takeover *takeover, uint64_t now_us)
{
	if (!leader_is_healthy(takeover->group))
		return tko_stop_if_obsolete(takeover, now_us);
	end_takeover(takeover, "new_leader", now_us);
	return true;
}

/* Takes a replica's answer to a status query; an answer may show that it leads. */
void tko_status_received(struct tko_state *state, const char *group, const char *endpoint_id,
			 const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);
	struct grp_endpoint *endpoint = grp_endpoint_find(state->groups, endpoint_id);

	if (!takeover || !endpoint)
		return;
	if (status->answered && status->leads && status->term >= takeover->group->term &&
	    (takeover->step == STEP_QUERY_STATUS || takeover->step == STEP_CATCH_UP ||
	     takeover->step == STEP_AWAIT_LEAD)) {
		grp_hint_leader(state->groups, endpoint, status->term, now_us);
		if (ended_by_new_leader(takeover, now_us))
			return;
	}
	if (takeover->step == STEP_CATCH_UP && status->answered &&
	    strcmp(endpoint_id, takeover->target) == 0) {
		tko_order_when_caught_up(takeover, status->received, now_us);
		return;
	}
	if (takeover->step != STEP_QUERY_STATUS || takeover->answer_count == GRP_ENDPOINTS_MAX)
		return;
	snprintf(takeover->answers[takeover->answer_count].endpoint_id, BC_ID_BYTES, "%s",
		 endpoint_id);
	takeover->answers[takeover->answer_count++].status = *status;
	if (takeover->answer_count == takeover->queried_count)
		choose_target(takeover, now_us);
}

static void poll_target(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *target = grp_endpoint_find(takeover->state->groups, takeover->target);

	if (ended_by_new_leader(takeover, now_us))
		return;
	if (!target || now_us - takeover->ordered_us >= LEAD_WAIT_US) {
		tko_enter(takeover, STEP_RANK_DELAY, 0, now_us);
		return;
	}
	tko_enter(takeover, STEP_AWAIT_LEAD, LEAD_POLL_US, now_us);
	/* Replicas that have joined since the order acknowledge commits as well. */
	if (takeover->group->sync_replicas)
		tko_pause_new(takeover, now_us);
	takeover->state->ops.query_status(takeover->state->data, target, LEAD_POLL_US, now_us);
}

/* Takes the platform's answer to the order. */
void tko_promotion_answered(struct tko_state *state, const char *group, enum bc_status status,
			    uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	if (!takeover || takeover->step != STEP_ORDER)
		return;
	bc_log(state->ctx, BC_LOG_INFO, "takeover_order_result", "{s:s,s:s,s:s,s:I}", "group",
	       group, "endpoint", takeover->target, "status", bc_status_name(status), "token",
	       (json_int_t)takeover->token);
	if (status == BC_OK) {
		tko_enter(takeover, STEP_AWAIT_LEAD, LEAD_POLL_US, now_us);
	} else if (status == BC_ECONFLICT) {
		/* A refused token is never used again: the next attempt claims a newer one. */
		takeover->claim_read = false;
		tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
	} else if (takeover->orders < ORDERS_MAX) {
		/* Orders are idempotent under the same token. */
		tko_enter(takeover, STEP_ORDER, RECHECK_US, now_us);
	} else {
		tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
	}
}

static void on_timer(void *data, uint64_t now_us)
{
	struct takeover *takeover = data;

	switch (takeover->step) {
	case STEP_IDLE:
		return;
	case STEP_RANK_DELAY:
	case STEP_CLAIM_LOST:
		start_confirmation(takeover, now_us);
		return;
	case STEP_CONFIRM:
		end_confirmation(takeover, now_us);
		return;
	case STEP_CLAIM:
		takeover->claim_read = false;
		tko_enter(takeover, STEP_RANK_DELAY, 0, now_us);
		return;
	case STEP_QUERY_STATUS:
		choose_target(takeover, now_us);
		return;
	case STEP_PAUSE:
		tko_pause_ended(takeover, now_us);
		return;
	case STEP_CATCH_UP:
		tko_catch_up_poll(takeover, now_us);
		return;
	case STEP_ORDER:
		if (takeover->orders < ORDERS_MAX)
			tko_order(takeover, now_us);
		else
			tko_enter(takeover, STEP_RANK_DELAY, 0, now_us);
		return;
	case STEP_AWAIT_LEAD:
		poll_target(takeover, now_us);
		return;
	}
}
