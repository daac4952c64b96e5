#include "takeover/takeover.h"

#include <apr_hash.h>
#include <apr_pools.h>
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
/* After a contradiction: soon, since the one who contradicts may have lost the leader since. */
#define RECHECK_US (200 * BC_US_PER_MS)
/* An endpoint that has not told its position by then is not a candidate. */
#define SURVEY_US (250 * BC_US_PER_MS)
/* A slow order takes about 1 s; it is repeated under the same token. */
#define ORDER_TIMEOUT_US (1500 * BC_US_PER_MS)
/* A claim that did not lead to a new leader in this time may be replaced by another. */
#define CLAIM_WAIT_US (1500 * BC_US_PER_MS)
/* Time after an order in which the endpoint is to lead; the platform needs up to about 1 s. */
#define LEAD_WAIT_US (3 * BC_US_PER_S)
/* A handful of questions within LEAD_WAIT_US, besides what traffic shows. */
#define LEAD_POLL_US (250 * BC_US_PER_MS)
/* Commits that are on their way to a copy arrive within some round trips between regions. */
#define CATCH_UP_POLL_US (50 * BC_US_PER_MS)
/* A copy that does not get what others have by then is itself cut off from the leader. */
#define CATCH_UP_US BC_US_PER_S
/* An order that was lost as often is not repeated; the takeover begins anew. */
#define ORDERS_MAX 3U
/* After a takeover another one is not begun at once: endpoints and proxies have to settle. */
#define SETTLE_US (500 * BC_US_PER_MS)

enum step {
	STEP_IDLE,
	STEP_TURN,    /* waits for the proxies that act first */
	STEP_CONFIRM, /* has asked the others, waits for contradiction */
	STEP_CLAIM,
	STEP_SURVEY,
	STEP_HOLD,     /* the other copies are told to receive nothing more */
	STEP_CATCH_UP, /* waits until the endpoint has what the others had then */
	STEP_ORDER,
	STEP_LEAD, /* ordered; waits until the endpoint leads */
	STEP_WAIT, /* another proxy has claimed */
};

struct answer {
	char endpoint_id[BC_ID_BYTES];
	struct tko_status status;
};

struct takeover {
	struct tko_state *state;
	struct grp_group *group;
	enum step step;
	char replaced[BC_ID_BYTES]; /* the leader as it was known at the start; "" if none */
	uint64_t since_us;
	uint64_t peer_word_us;
	bool looked;	   /* the claim object was read since the takeover is considered */
	uint64_t revision; /* of the claim object then, or as written */
	uint64_t token;
	uint32_t orders;
	uint64_t ordered_us;
	char target[BC_ID_BYTES];
	uint64_t settled_us;
	uint32_t asked;
	uint32_t answer_count;
	struct answer answers[GRP_ENDPOINTS_MAX];
	/* Copies that receive nothing more; only where copies acknowledge commits. */
	struct answer held[GRP_ENDPOINTS_MAX];
	uint32_t held_count;
	uint32_t held_asked; /* of those, the ones whose answer has not come */
	uint64_t held_us;    /* since when */
	bool ordered;	     /* an order was given, which may still be carried out */
	bool any_target;     /* the preferred target did not catch up */
	bool contested;	     /* another proxy has claimed, and may have held copies */
	struct bc_timer timer;
	struct bc_timer release_timer;
};

struct tko_state {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct tko_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *takeovers; /* group -> struct takeover */
};

static void on_timer(void *data, uint64_t now_us);
static void on_release_timer(void *data, uint64_t now_us);

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

static struct takeover *takeover_find(const struct tko_state *state, const char *group)
{
	return apr_hash_get(state->takeovers, group, APR_HASH_KEY_STRING);
}

static struct takeover *takeover_get(struct tko_state *state, struct grp_group *group)
{
	struct takeover *takeover = takeover_find(state, group->name);

	if (takeover)
		return takeover;
	takeover = calloc(1, sizeof(*takeover));
	if (!takeover)
		return NULL;
	takeover->state = state;
	takeover->group = group;
	bc_timer_init(&takeover->timer, on_timer, takeover);
	bc_timer_init(&takeover->release_timer, on_release_timer, takeover);
	apr_hash_set(state->takeovers, group->name, APR_HASH_KEY_STRING, takeover);
	return takeover;
}

static void enter(struct takeover *takeover, enum step step, uint64_t delay_us, uint64_t now_us)
{
	takeover->step = step;
	bc_timer_set(takeover->state->timers, &takeover->timer, now_us + delay_us);
}

static bool is_held(const struct takeover *takeover, const char *endpoint_id)
{
	uint32_t i;

	for (i = 0; i < takeover->held_count; i++)
		if (strcmp(takeover->held[i].endpoint_id, endpoint_id) == 0)
			return true;
	return false;
}

static void forget_held(struct takeover *takeover)
{
	takeover->held_count = 0;
	takeover->contested = false;
	takeover->ordered = false;
	bc_timer_cancel(takeover->state->timers, &takeover->release_timer);
}

/*
 * Lets copies receive again if nothing was promoted; a promotion does it by itself, and copies may
 * be held for the next one by then. After another proxy's claim that came to nothing all are told:
 * it may have held some and ended.
 */
static void release_held(struct takeover *takeover, uint64_t now_us)
{
	const struct grp_endpoint *leader = takeover->group->leader;
	struct grp_endpoint *endpoint = grp_first(takeover->group);
	bool all = takeover->contested && takeover->group->sync_replicas;
	bool promoted = !leader || strcmp(leader->info.id, takeover->replaced) != 0;

	while (endpoint && !promoted) {
		struct grp_endpoint *next = grp_next(endpoint);

		if (endpoint != leader && !endpoint->removed &&
		    (all || is_held(takeover, endpoint->info.id)))
			takeover->state->ops.release(takeover->state->data, endpoint, now_us);
		endpoint = next;
	}
	forget_held(takeover);
}

/* An order was not carried out in its time: the leader is still the same. */
static void on_release_timer(void *data, uint64_t now_us)
{
	struct takeover *takeover = data;

	if (takeover->step == STEP_IDLE)
		release_held(takeover, now_us);
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
		release_held(takeover, now_us);
}

/* Whether the group needs no other leader. */
static bool leader_fine(const struct grp_group *group)
{
	return group->leader && !group->leader->suspect && !group->leader->info.leaving;
}

/* Whether the leader is to end by itself, so that it is replaced although it answers. */
static bool is_planned(const struct takeover *takeover)
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
		forget_held(takeover);
	takeover->any_target = false;
	snprintf(takeover->replaced, sizeof(takeover->replaced), "%s",
		 leader ? leader->info.id : "");
	takeover->peer_word_us = 0;
	takeover->looked = false;
	bc_log(state->ctx, BC_LOG_WARN, "takeover_considered", "{s:s,s:s,s:b,s:I}", "group",
	       takeover->group->name, "leader", takeover->replaced, "planned", is_planned(takeover),
	       "term", (json_int_t)takeover->group->term);
	state->ops.look(state->data, takeover->group->name);
	enter(takeover, STEP_TURN, delay_us + rank_delay_us(takeover), now_us);
}

/*
 * Ends the takeover if the leader answers. If the leader is another one than the one to be
 * replaced, what was known then says nothing about it: the takeover begins anew.
 */
static bool stop_if_obsolete(struct takeover *takeover, uint64_t now_us)
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
	struct takeover *takeover = takeover_find(state, group->name);

	if (takeover)
		takeover->peer_word_us = now_us;
}

static void claim(struct takeover *takeover, uint64_t now_us)
{
	enter(takeover, STEP_CLAIM, CLAIM_WAIT_US, now_us);
	takeover->state->ops.claim(takeover->state->data, takeover->group->name,
				   takeover->revision);
}

/* Asks the others whether the leader answers them, unless it is known to leave. */
static void ask(struct takeover *takeover, uint64_t now_us)
{
	struct tko_state *state = takeover->state;

	if (stop_if_obsolete(takeover, now_us))
		return;
	if (!takeover->looked)
		state->ops.look(state->data, takeover->group->name);
	if (!is_planned(takeover))
		state->ops.ask_peers(state->data, takeover->group);
	enter(takeover, STEP_CONFIRM, is_planned(takeover) && takeover->looked ? 0 : CONFIRM_US,
	      now_us);
}

static void confirm(struct takeover *takeover, uint64_t now_us)
{
	if (stop_if_obsolete(takeover, now_us))
		return;
	if (!is_planned(takeover) && takeover->peer_word_us &&
	    now_us - takeover->peer_word_us < PEER_WORD_US) {
		/* Only this proxy's path is bad: ask again, since that can change. */
		enter(takeover, STEP_TURN, RECHECK_US, now_us);
		return;
	}
	if (takeover->looked &&
	    (is_planned(takeover) ||
	     takeover->state->ops.may_act(takeover->state->data, takeover->group)))
		claim(takeover, now_us);
	else
		enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/*
 * Whether an endpoint is asked for its position. One that is leaving will not lead for long, but
 * acknowledges commits until it ends: it may be the only one that has them.
 */
static bool is_asked(const struct takeover *takeover, const struct grp_endpoint *endpoint)
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
		if (is_asked(takeover, endpoint) && count < GRP_ENDPOINTS_MAX)
			asked[count++] = endpoint;
	}
	takeover->asked = count;
	enter(takeover, STEP_SURVEY, SURVEY_US + RECHECK_US, now_us);
	/* The answers may come before the call returns. */
	for (i = 0; i < count && takeover->step == STEP_SURVEY; i++)
		takeover->state->ops.survey(takeover->state->data, asked[i], SURVEY_US, now_us);
}

/* The claim object was written, or holds another revision. */
void tko_claimed(struct tko_state *state, const char *group, enum bc_status status,
		 uint64_t revision, uint64_t now_us)
{
	struct takeover *takeover = takeover_find(state, group);

	if (!takeover || takeover->step != STEP_CLAIM)
		return;
	if (status == BC_OK) {
		takeover->revision = revision;
		takeover->token = revision;
		takeover->orders = 0;
		bc_log(state->ctx, BC_LOG_INFO, "takeover_claimed", "{s:s,s:I}", "group", group,
		       "token", (json_int_t)revision);
		if (!stop_if_obsolete(takeover, now_us))
			survey(takeover, now_us);
		return;
	}
	if (status == BC_ECONFLICT) {
		takeover->revision = revision;
		bc_log(state->ctx, BC_LOG_INFO, "takeover_claim_lost", "{s:s,s:I}", "group", group,
		       "revision", (json_int_t)revision);
		/* Another proxy has claimed since this one looked: it has its time. */
		takeover->contested = true;
		enter(takeover, STEP_WAIT, CLAIM_WAIT_US, now_us);
		return;
	}
	bc_log(state->ctx, BC_LOG_WARN, "takeover_claim_failed", "{s:s,s:s}", "group", group,
	       "status", bc_status_name(status));
	/* The write may have been made: its revision is learned by looking again. */
	takeover->looked = false;
	enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/* The claim object's revision, as it is while the takeover is considered. */
void tko_looked(struct tko_state *state, const char *group, enum bc_status status,
		uint64_t revision, uint64_t now_us)
{
	struct takeover *takeover = takeover_find(state, group);

	(void)now_us;
	if (!takeover || takeover->looked || (status != BC_OK && status != BC_ENOTFOUND))
		return;
	takeover->looked = true;
	takeover->revision = status == BC_OK ? revision : 0;
}

static void order(struct takeover *takeover, uint64_t now_us)
{
	takeover->orders++;
	takeover->ordered = true;
	takeover->ordered_us = now_us;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_ordered", "{s:s,s:s,s:I,s:i}", "group",
	       takeover->group->name, "endpoint", takeover->target, "token",
	       (json_int_t)takeover->token, "attempt", (int)takeover->orders);
	enter(takeover, STEP_ORDER, ORDER_TIMEOUT_US, now_us);
	takeover->state->ops.order(takeover->state->data, takeover->group->name, takeover->target,
				   takeover->token);
}

static bool is_leaving(const struct takeover *takeover, const struct answer *answer)
{
	const struct grp_endpoint *endpoint =
		grp_endpoint_find(takeover->state->groups, answer->endpoint_id);

	return !endpoint || endpoint->info.leaving;
}

/*
 * Whether an answer makes a better leader: it has received more, or as much and stays. While the
 * leader answers, what is missing is on its way, and one that stays is better in any case. Among
 * equals the id decides, so that another proxy which claims next orders the same one.
 */
static bool is_better(const struct takeover *takeover, const struct answer *answer,
		      const struct answer *best)
{
	int order = bc_position_compare(answer->status.received, best->status.received);
	int stays = (int)is_leaving(takeover, best) - (int)is_leaving(takeover, answer);

	if (stays && is_planned(takeover) && !takeover->group->leader->suspect &&
	    !takeover->any_target)
		return stays > 0;
	if (order == 0 && stays == 0)
		return strcmp(answer->endpoint_id, best->endpoint_id) < 0;
	return order > 0 || (order == 0 && stays > 0);
}

/* The endpoint to make the leader; NULL if none answered. */
static const struct answer *best_answer(const struct takeover *takeover)
{
	const struct answer *best = NULL;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++) {
		const struct answer *answer = &takeover->answers[i];

		if (!answer->status.answered)
			continue;
		/* As the only copy that is left it is better than none. */
		if (takeover->asked > 1 &&
		    grp_is_outdated(takeover->group, answer->endpoint_id, answer->status.term))
			continue;
		if (!best || is_better(takeover, answer, best))
			best = answer;
	}
	return best;
}

static uint32_t answered_count(const struct takeover *takeover)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		count += takeover->answers[i].status.answered;
	return count;
}

/* A newer term than all that were told, and known before. */
static uint64_t next_term(const struct takeover *takeover)
{
	uint64_t term = takeover->group->term;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		if (takeover->answers[i].status.term > term)
			term = takeover->answers[i].status.term;
	return term + 1;
}

/* Holds the copies that are not held yet; false if there is none besides the target. */
static bool hold_new(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *told[GRP_ENDPOINTS_MAX];
	struct grp_endpoint *endpoint;
	uint64_t term = next_term(takeover);
	uint32_t count = 0;
	uint32_t i;

	for (endpoint = grp_first(takeover->group); endpoint; endpoint = grp_next(endpoint)) {
		if (!is_asked(takeover, endpoint) || is_held(takeover, endpoint->info.id) ||
		    strcmp(endpoint->info.id, takeover->target) == 0 ||
		    takeover->held_count == GRP_ENDPOINTS_MAX)
			continue;
		told[count++] = endpoint;
		takeover->held[takeover->held_count] = (struct answer){0};
		snprintf(takeover->held[takeover->held_count++].endpoint_id, BC_ID_BYTES, "%s",
			 endpoint->info.id);
	}
	takeover->held_asked += count;
	/* The answers may come before the call returns. */
	for (i = 0; i < count; i++)
		takeover->state->ops.hold(takeover->state->data, told[i], term, SURVEY_US, now_us);
	return count > 0;
}

/* What the other copies had received when they were held. */
static struct bc_position held_position(const struct takeover *takeover, uint32_t *missing)
{
	struct bc_position position = {0};
	uint32_t i;

	*missing = 0;
	for (i = 0; i < takeover->held_count; i++) {
		const struct tko_status *status = &takeover->held[i].status;

		if (!status->answered)
			(*missing)++;
		else if (bc_position_compare(status->received, position) > 0)
			position = status->received;
	}
	return position;
}

static void give_up_hold(struct takeover *takeover, const char *reason, uint64_t now_us)
{
	takeover->any_target = true;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_not_held", "{s:s,s:s,s:s}", "group",
	       takeover->group->name, "endpoint", takeover->target, "reason", reason);
	if (!takeover->ordered)
		release_held(takeover, now_us);
	enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/* Orders once the target has received all that the others had; they receive nothing more. */
static void order_when_caught_up(struct takeover *takeover, struct bc_position received,
				 uint64_t now_us)
{
	uint32_t missing;
	struct bc_position position = held_position(takeover, &missing);

	if (bc_position_compare(received, position) >= 0)
		order(takeover, now_us);
}

static struct bc_position target_position(const struct takeover *takeover)
{
	struct bc_position none = {0};
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		if (strcmp(takeover->answers[i].endpoint_id, takeover->target) == 0)
			return takeover->answers[i].status.received;
	return none;
}

/* The other copies have answered, or their time is over. */
static void held(struct takeover *takeover, uint64_t now_us)
{
	uint32_t missing;

	if (stop_if_obsolete(takeover, now_us))
		return;
	held_position(takeover, &missing);
	if (missing >= takeover->group->sync_replicas) {
		give_up_hold(takeover, "no_answer", now_us);
		return;
	}
	enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	order_when_caught_up(takeover, target_position(takeover), now_us);
}

static void poll_caught_up(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *target = grp_endpoint_find(takeover->state->groups, takeover->target);

	if (stop_if_obsolete(takeover, now_us))
		return;
	if (!target || now_us - takeover->held_us >= CATCH_UP_US) {
		give_up_hold(takeover, "behind", now_us);
		return;
	}
	enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	takeover->state->ops.survey(takeover->state->data, target, CATCH_UP_POLL_US, now_us);
}

/*
 * Holds the other copies before the order. The leader goes on until the platform has carried the
 * order out, and each commit that a copy acknowledges meanwhile has to be in the target's log.
 */
static void hold_others(struct takeover *takeover, uint64_t now_us)
{
	if (!takeover->ordered)
		takeover->held_count = 0;
	takeover->held_asked = 0;
	takeover->held_us = now_us;
	enter(takeover, STEP_HOLD, SURVEY_US + RECHECK_US, now_us);
	if (!hold_new(takeover, now_us))
		held(takeover, now_us);
}

/* The answer of a copy that was told to receive nothing more. */
void tko_held(struct tko_state *state, const char *group, const char *endpoint_id,
	      const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = takeover_find(state, group);
	uint32_t i;

	if (!takeover)
		return;
	for (i = 0; i < takeover->held_count; i++) {
		if (strcmp(takeover->held[i].endpoint_id, endpoint_id) != 0)
			continue;
		takeover->held[i].status = *status;
		if (takeover->held_asked)
			takeover->held_asked--;
	}
	if (takeover->step == STEP_HOLD && !takeover->held_asked)
		held(takeover, now_us);
}

/*
 * Whether making the best copy the leader may lose a commit that copies have acknowledged: one that
 * did not answer, or one that has ended since, might be the only one that has it. The leader still
 * has it, and may come back, unless it is gone.
 */
static bool may_lose(const struct takeover *takeover, const struct answer *best, uint32_t missing)
{
	const struct grp_group *group = takeover->group;

	if (!group->sync_replicas)
		return false;
	if (missing >= group->sync_replicas)
		return true;
	return bc_position_compare(best->status.received, group->kept) < 0 &&
	       !is_planned(takeover) &&
	       !takeover->state->ops.is_gone(takeover->state->data, takeover->group);
}

/* Chooses after a survey. */
static void decide(struct takeover *takeover, uint64_t now_us)
{
	const struct answer *best = best_answer(takeover);
	uint32_t missing = takeover->asked - answered_count(takeover);

	if (stop_if_obsolete(takeover, now_us))
		return;
	if (!best || may_lose(takeover, best, missing)) {
		bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_no_candidate", "{s:s,s:i,s:i}",
		       "group", takeover->group->name, "asked", (int)takeover->asked, "missing",
		       (int)missing);
		enter(takeover, STEP_TURN, RECHECK_US, now_us);
		return;
	}
	snprintf(takeover->target, sizeof(takeover->target), "%s", best->endpoint_id);
	if (takeover->group->sync_replicas)
		hold_others(takeover, now_us);
	else
		order(takeover, now_us);
}

/* Ends the takeover if its work is done: another leader is known. That one may have to go as well.
 */
static bool ended_by_new_leader(struct takeover *takeover, uint64_t now_us)
{
	if (!leader_fine(takeover->group))
		return stop_if_obsolete(takeover, now_us);
	stop(takeover, "new_leader", now_us);
	return true;
}

/* A survey's answer, or a look at whether the ordered endpoint leads. */
void tko_surveyed(struct tko_state *state, const char *group, const char *endpoint_id,
		  const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = takeover_find(state, group);
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
		order_when_caught_up(takeover, status->received, now_us);
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
		enter(takeover, STEP_TURN, 0, now_us);
		return;
	}
	enter(takeover, STEP_LEAD, LEAD_POLL_US, now_us);
	/* Copies that have joined since acknowledge commits as well. */
	if (takeover->group->sync_replicas)
		hold_new(takeover, now_us);
	takeover->state->ops.survey(takeover->state->data, target, LEAD_POLL_US, now_us);
}

/* The platform's answer to the order. */
void tko_ordered(struct tko_state *state, const char *group, enum bc_status status, uint64_t now_us)
{
	struct takeover *takeover = takeover_find(state, group);

	if (!takeover || takeover->step != STEP_ORDER)
		return;
	bc_log(state->ctx, BC_LOG_INFO, "takeover_order_answered", "{s:s,s:s,s:s,s:I}", "group",
	       group, "endpoint", takeover->target, "status", bc_status_name(status), "token",
	       (json_int_t)takeover->token);
	if (status == BC_OK) {
		enter(takeover, STEP_LEAD, LEAD_POLL_US, now_us);
	} else if (status == BC_ECONFLICT) {
		/* The token is never used again: the next attempt claims a newer one. */
		takeover->looked = false;
		enter(takeover, STEP_TURN, RECHECK_US, now_us);
	} else if (takeover->orders < ORDERS_MAX) {
		/* The same order under the same token has no other effect than the first. */
		enter(takeover, STEP_ORDER, RECHECK_US, now_us);
	} else {
		enter(takeover, STEP_TURN, RECHECK_US, now_us);
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
		enter(takeover, STEP_TURN, 0, now_us);
		return;
	case STEP_SURVEY:
		decide(takeover, now_us);
		return;
	case STEP_HOLD:
		held(takeover, now_us);
		return;
	case STEP_CATCH_UP:
		poll_caught_up(takeover, now_us);
		return;
	case STEP_ORDER:
		if (takeover->orders < ORDERS_MAX)
			order(takeover, now_us);
		else
			enter(takeover, STEP_TURN, 0, now_us);
		return;
	case STEP_LEAD:
		poll_target(takeover, now_us);
		return;
	}
}
