#include "takeover/takeover_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for the peers to contradict a suspicion: a round trip between regions and some queueing. */
#define CONFIRM_US (120 * BC_US_PER_MS)
/* Each later rank waits this much longer, so that mostly one proxy claims. */
#define RANK_DELAY_US (300 * BC_US_PER_MS)
/* Longer than the delay of the fourth rank, whose claims it would only contest. */
#define NO_RANK_DELAY_US (1300 * BC_US_PER_MS)
/* A peer's word that the leader answers counts this long. */
#define PEER_WORD_US (500 * BC_US_PER_MS)
/* A slow order takes about 1 s; it is repeated under the same token. */
#define ORDER_TIMEOUT_US (1500 * BC_US_PER_MS)
/* A claim that did not lead to a new leader in this time may be replaced by another. */
#define CLAIM_WAIT_US (1500 * BC_US_PER_MS)
/* Time after an order in which the endpoint is to lead; the platform needs up to about 1 s. */
#define LEAD_WAIT_US (3 * BC_US_PER_S)
/* A handful of questions within LEAD_WAIT_US, besides what traffic shows. */
#define LEAD_POLL_US (250 * BC_US_PER_MS)
/* An order that was lost as often is not repeated; the takeover begins anew. */
#define ORDERS_MAX 3U
/* After a takeover another one is not begun at once: endpoints and proxies have to settle. */
#define SETTLE_US (500 * BC_US_PER_MS)

static void on_timer(void *data, uint64_t now_us);

/* Creates a state in which all groups are idle. */
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

/* Frees the state; what is under way is left as it is. NULL is allowed. */
void tko_destroy(struct tko_state *state)
{
	apr_hash_index_t *it;

	if (!state)
		return;
	for (it = apr_hash_first(NULL, state->takeovers); it; it = apr_hash_next(it)) {
		struct takeover *takeover = apr_hash_this_val(it);

		bc_timer_cancel(state->timers, &takeover->timer);
		bc_timer_cancel(state->timers, &takeover->release_timer);
		free(takeover);
	}
	apr_pool_destroy(state->pool);
	free(state);
}

/* The takeover of a group; NULL if there has been none. */
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
	bc_timer_init(&takeover->release_timer, tko_release_due, takeover);
	apr_hash_set(state->takeovers, group->name, APR_HASH_KEY_STRING, takeover);
	return takeover;
}

/* Goes to a step, whose time is over after the delay. */
void tko_enter(struct takeover *takeover, enum step step, uint64_t delay_us, uint64_t now_us)
{
	takeover->step = step;
	bc_timer_set(takeover->state->timers, &takeover->timer, now_us + delay_us);
}

static void stop(struct takeover *takeover, const char *reason, uint64_t now_us)
{
	struct grp_endpoint *leader = takeover->group->leader;

	bc_log(takeover->state->ctx, BC_LOG_INFO, "takeover_ended", "{s:s,s:s,s:s,s:I}", "group",
	       takeover->group->name, "reason", reason, "leader", leader ? leader->info.id : "",
	       "after_ms", (json_int_t)((now_us - takeover->since_us) / BC_US_PER_MS));
	takeover->step = STEP_IDLE;
	takeover->settled_us = now_us;
	bc_timer_cancel(takeover->state->timers, &takeover->timer);
	/* The leader may answer again while an order is being carried out. */
	if (takeover->ordered)
		bc_timer_set(takeover->state->timers, &takeover->release_timer,
			     now_us + LEAD_WAIT_US);
	else
		tko_release_held(takeover, now_us);
}

/* Whether the group needs no other leader. */
static bool leader_fine(const struct grp_group *group)
{
	return group->leader && !group->leader->suspect && !group->leader->info.leaving;
}

/* Whether the leader is to end by itself, so that it is replaced although it answers. */
bool tko_is_planned(const struct takeover *takeover)
{
	return takeover->group->leader && takeover->group->leader->info.leaving;
}

static uint64_t rank_delay_us(struct takeover *takeover)
{
	int32_t rank = takeover->state->ops.rank(takeover->state->data, takeover->group->name);

	return rank == TKO_NO_RANK ? NO_RANK_DELAY_US : (uint64_t)rank * RANK_DELAY_US;
}

/* Considers the replacement of the leader as it is known now. */
static void consider(struct takeover *takeover, uint64_t delay_us, uint64_t now_us)
{
	struct tko_state *state = takeover->state;
	const struct grp_endpoint *leader = takeover->group->leader;

	/* What was held for an order to replace the same leader stays so. */
	if (!leader || strcmp(leader->info.id, takeover->replaced) != 0)
		tko_forget_held(takeover);
	takeover->any_target = false;
	snprintf(takeover->replaced, sizeof(takeover->replaced), "%s",
		 leader ? leader->info.id : "");
	takeover->peer_word_us = 0;
	takeover->looked = false;
	bc_log(state->ctx, BC_LOG_WARN, "takeover_considered", "{s:s,s:s,s:b,s:I}", "group",
	       takeover->group->name, "leader", takeover->replaced, "planned",
	       tko_is_planned(takeover), "term", (json_int_t)takeover->group->term);
	state->ops.look(state->data, takeover->group->name);
	tko_enter(takeover, STEP_TURN, delay_us + rank_delay_us(takeover), now_us);
}

/*
 * Ends the takeover if the leader answers. If the leader is another one than the one to be
 * replaced, what was known then says nothing about it: the takeover begins anew.
 */
bool tko_stop_if_obsolete(struct takeover *takeover, uint64_t now_us)
{
	const struct grp_endpoint *leader = takeover->group->leader;

	if (leader_fine(takeover->group)) {
		stop(takeover, "leader_answers", now_us);
		return true;
	}
	if (!leader || strcmp(leader->info.id, takeover->replaced) == 0)
		return false;
	consider(takeover, SETTLE_US, now_us);
	return true;
}

static void start(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	struct takeover *takeover = takeover_get(state, group);

	if (!takeover || takeover->step != STEP_IDLE ||
	    (takeover->settled_us && now_us - takeover->settled_us < SETTLE_US))
		return;
	takeover->since_us = now_us;
	consider(takeover, 0, now_us);
}

/* The leader does not answer, or is not known. */
void tko_missed(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	if (leader_fine(group))
		return;
	start(state, group, now_us);
}

/* The leader is going to end. */
void tko_leaving(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	start(state, group, now_us);
}

/* Another proxy has had an answer from the leader. */
void tko_peer_sees(struct tko_state *state, struct grp_group *group, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group->name);

	if (takeover)
		takeover->peer_word_us = now_us;
}

static void claim(struct takeover *takeover, uint64_t now_us)
{
	tko_enter(takeover, STEP_CLAIM, CLAIM_WAIT_US, now_us);
	takeover->state->ops.claim(takeover->state->data, takeover->group->name,
				   takeover->revision);
}

/* Asks the others whether the leader answers them, unless it is known to leave. */
static void ask(struct takeover *takeover, uint64_t now_us)
{
	struct tko_state *state = takeover->state;

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!takeover->looked)
		state->ops.look(state->data, takeover->group->name);
	if (!tko_is_planned(takeover))
		state->ops.ask_peers(state->data, takeover->group);
	tko_enter(takeover, STEP_CONFIRM,
		  tko_is_planned(takeover) && takeover->looked ? 0 : CONFIRM_US, now_us);
}

static void confirm(struct takeover *takeover, uint64_t now_us)
{
	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!tko_is_planned(takeover) && takeover->peer_word_us &&
	    now_us - takeover->peer_word_us < PEER_WORD_US) {
		/* Only this proxy's path is bad: ask again, since that can change. */
		tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
		return;
	}
	if (takeover->looked &&
	    (tko_is_planned(takeover) ||
	     takeover->state->ops.may_act(takeover->state->data, takeover->group)))
		claim(takeover, now_us);
	else
		tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/*
 * Whether an endpoint is asked for its position. One that is leaving will not lead for long, but
 * acknowledges commits until it ends: it may be the only one that has them.
 */
bool tko_is_asked(const struct takeover *takeover, const struct grp_endpoint *endpoint)
{
	if (endpoint->removed || endpoint == takeover->group->leader)
		return false;
	return !endpoint->info.leaving || takeover->group->sync_replicas;
}

static void survey(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *asked[GRP_ENDPOINTS_MAX];
	struct grp_endpoint *endpoint;
	uint32_t count = 0;
	uint32_t i;

	takeover->answer_count = 0;
	for (endpoint = grp_first(takeover->group); endpoint; endpoint = grp_next(endpoint)) {
		if (tko_is_asked(takeover, endpoint) && count < GRP_ENDPOINTS_MAX)
			asked[count++] = endpoint;
	}
	takeover->asked = count;
	tko_enter(takeover, STEP_SURVEY, SURVEY_US + RECHECK_US, now_us);
	/* The answers may come before the call returns. */
	for (i = 0; i < count && takeover->step == STEP_SURVEY; i++)
		takeover->state->ops.survey(takeover->state->data, asked[i], SURVEY_US, now_us);
}

/* The claim object was written, or holds another revision. */
void tko_claimed(struct tko_state *state, const char *group, enum bc_status status,
		 uint64_t revision, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	if (!takeover || takeover->step != STEP_CLAIM)
		return;
	if (status == BC_OK) {
		takeover->revision = revision;
		takeover->token = revision;
		takeover->orders = 0;
		bc_log(state->ctx, BC_LOG_INFO, "takeover_claimed", "{s:s,s:I}", "group", group,
		       "token", (json_int_t)revision);
		if (!tko_stop_if_obsolete(takeover, now_us))
			survey(takeover, now_us);
		return;
	}
	if (status == BC_ECONFLICT) {
		takeover->revision = revision;
		bc_log(state->ctx, BC_LOG_INFO, "takeover_claim_lost", "{s:s,s:I}", "group", group,
		       "revision", (json_int_t)revision);
		/* Another proxy has claimed since this one looked: it has its time. */
		takeover->contested = true;
		tko_enter(takeover, STEP_WAIT, CLAIM_WAIT_US, now_us);
		return;
	}
	bc_log(state->ctx, BC_LOG_WARN, "takeover_claim_failed", "{s:s,s:s}", "group", group,
	       "status", bc_status_name(status));
	/* The write may have been made: its revision is learned by looking again. */
	takeover->looked = false;
	tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/* The claim object's revision, as it is while the takeover is considered. */
void tko_looked(struct tko_state *state, const char *group, enum bc_status status,
		uint64_t revision, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	(void)now_us;
	if (!takeover || takeover->looked || (status != BC_OK && status != BC_ENOTFOUND))
		return;
	takeover->looked = true;
	takeover->revision = status == BC_OK ? revision : 0;
}

/* Orders the platform to make the target lead, under the token of the claim. */
void tko_order(struct takeover *takeover, uint64_t now_us)
{
	takeover->orders++;
	takeover->ordered = true;
	takeover->ordered_us = now_us;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_ordered", "{s:s,s:s,s:I,s:i}", "group",
	       takeover->group->name, "endpoint", takeover->target, "token",
	       (json_int_t)takeover->token, "attempt", (int)takeover->orders);
	tko_enter(takeover, STEP_ORDER, ORDER_TIMEOUT_US, now_us);
	takeover->state->ops.order(takeover->state->data, takeover->group->name, takeover->target,
				   takeover->token);
}

/* Chooses after a survey. */
static void decide(struct takeover *takeover, uint64_t now_us)
{
	const struct answer *best = tko_best_answer(takeover);
	uint32_t missing = takeover->asked - tko_answered_count(takeover);

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!best || tko_may_lose(takeover, best, missing)) {
		bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_no_candidate", "{s:s,s:i,s:i}",
		       "group", takeover->group->name, "asked", (int)takeover->asked, "missing",
		       (int)missing);
		tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
		return;
	}
	snprintf(takeover->target, sizeof(takeover->target), "%s", best->endpoint_id);
	if (takeover->group->sync_replicas)
		tko_hold_others(takeover, now_us);
	else
		tko_order(takeover, now_us);
}

/* Ends the takeover if its work is done: another leader is known. That one may have to go as well.
 */
static bool ended_by_new_leader(struct takeover *takeover, uint64_t now_us)
{
	if (!leader_fine(takeover->group))
		return tko_stop_if_obsolete(takeover, now_us);
	stop(takeover, "new_leader", now_us);
	return true;
}

/* A survey's answer, or a look at whether the ordered endpoint leads. */
void tko_surveyed(struct tko_state *state, const char *group, const char *endpoint_id,
		  const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);
	struct grp_endpoint *endpoint = grp_endpoint_find(state->groups, endpoint_id);

	if (!takeover || !endpoint)
		return;
	if (status->answered && status->leads && status->term >= takeover->group->term &&
	    (takeover->step == STEP_SURVEY || takeover->step == STEP_CATCH_UP ||
	     takeover->step == STEP_LEAD)) {
		grp_hint_leader(state->groups, endpoint, status->term, now_us);
		if (ended_by_new_leader(takeover, now_us))
			return;
	}
	if (takeover->step == STEP_CATCH_UP && status->answered &&
	    strcmp(endpoint_id, takeover->target) == 0) {
		tko_order_when_caught_up(takeover, status->received, now_us);
		return;
	}
	if (takeover->step != STEP_SURVEY || takeover->answer_count == GRP_ENDPOINTS_MAX)
		return;
	snprintf(takeover->answers[takeover->answer_count].endpoint_id, BC_ID_BYTES, "%s",
		 endpoint_id);
	takeover->answers[takeover->answer_count++].status = *status;
	if (takeover->answer_count == takeover->asked)
		decide(takeover, now_us);
}

static void poll_target(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *target = grp_endpoint_find(takeover->state->groups, takeover->target);

	if (ended_by_new_leader(takeover, now_us))
		return;
	if (!target || now_us - takeover->ordered_us >= LEAD_WAIT_US) {
		tko_enter(takeover, STEP_TURN, 0, now_us);
		return;
	}
	tko_enter(takeover, STEP_LEAD, LEAD_POLL_US, now_us);
	/* Copies that have joined since acknowledge commits as well. */
	if (takeover->group->sync_replicas)
		tko_hold_new(takeover, now_us);
	takeover->state->ops.survey(takeover->state->data, target, LEAD_POLL_US, now_us);
}

/* The platform's answer to the order. */
void tko_ordered(struct tko_state *state, const char *group, enum bc_status status, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);

	if (!takeover || takeover->step != STEP_ORDER)
		return;
	bc_log(state->ctx, BC_LOG_INFO, "takeover_order_answered", "{s:s,s:s,s:s,s:I}", "group",
	       group, "endpoint", takeover->target, "status", bc_status_name(status), "token",
	       (json_int_t)takeover->token);
	if (status == BC_OK) {
		tko_enter(takeover, STEP_LEAD, LEAD_POLL_US, now_us);
	} else if (status == BC_ECONFLICT) {
		/* The token is never used again: the next attempt claims a newer one. */
		takeover->looked = false;
		tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
	} else if (takeover->orders < ORDERS_MAX) {
		/* The same order under the same token has no other effect than the first. */
		tko_enter(takeover, STEP_ORDER, RECHECK_US, now_us);
	} else {
		tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
	}
}

static void on_timer(void *data, uint64_t now_us)
{
	struct takeover *takeover = data;

	switch (takeover->step) {
	case STEP_IDLE:
		return;
	case STEP_TURN:
	case STEP_WAIT:
		ask(takeover, now_us);
		return;
	case STEP_CONFIRM:
		confirm(takeover, now_us);
		return;
	case STEP_CLAIM:
		takeover->looked = false;
		tko_enter(takeover, STEP_TURN, 0, now_us);
		return;
	case STEP_SURVEY:
		decide(takeover, now_us);
		return;
	case STEP_HOLD:
		tko_hold_ended(takeover, now_us);
		return;
	case STEP_CATCH_UP:
		tko_catch_up_poll(takeover, now_us);
		return;
	case STEP_ORDER:
		if (takeover->orders < ORDERS_MAX)
			tko_order(takeover, now_us);
		else
			tko_enter(takeover, STEP_TURN, 0, now_us);
		return;
	case STEP_LEAD:
		poll_target(takeover, now_us);
		return;
	}
}
