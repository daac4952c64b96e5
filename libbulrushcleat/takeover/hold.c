#include "takeover/takeover_internal.h"

#include <stdio.h>
#include <string.h>

/* Commits that are on their way to a copy arrive within some round trips between regions. */
#define CATCH_UP_POLL_US (50 * BC_US_PER_MS)
/* A copy that does not get what others have by then is itself cut off from the leader. */
#define CATCH_UP_US BC_US_PER_S

static bool is_held(const struct takeover *takeover, const char *endpoint_id)
{
	uint32_t i;

	for (i = 0; i < takeover->held_count; i++)
		if (strcmp(takeover->held[i].endpoint_id, endpoint_id) == 0)
			return true;
	return false;
}

/* Forgets what is held without telling the copies. */
void tko_forget_held(struct takeover *takeover)
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
void tko_release_held(struct takeover *takeover, uint64_t now_us)
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
	tko_forget_held(takeover);
}

/* An order was not carried out in its time: the leader is still the same. */
void tko_release_due(void *data, uint64_t now_us)
{
	struct takeover *takeover = data;

	if (takeover->step == STEP_IDLE)
		tko_release_held(takeover, now_us);
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
bool tko_hold_new(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *told[GRP_ENDPOINTS_MAX];
	struct grp_endpoint *endpoint;
	uint64_t term = next_term(takeover);
	uint32_t count = 0;
	uint32_t i;

	for (endpoint = grp_first(takeover->group); endpoint; endpoint = grp_next(endpoint)) {
		if (!tko_is_asked(takeover, endpoint) || is_held(takeover, endpoint->info.id) ||
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

/* Begins anew without an order. */
static void give_up_hold(struct takeover *takeover, const char *reason, uint64_t now_us)
{
	takeover->any_target = true;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_not_held", "{s:s,s:s,s:s}", "group",
	       takeover->group->name, "endpoint", takeover->target, "reason", reason);
	if (!takeover->ordered)
		tko_release_held(takeover, now_us);
	tko_enter(takeover, STEP_TURN, RECHECK_US, now_us);
}

/* Orders once the target has received all that the others had; they receive nothing more. */
void tko_order_when_caught_up(struct takeover *takeover, struct bc_position received,
			      uint64_t now_us)
{
	uint32_t missing;
	struct bc_position position = held_position(takeover, &missing);

	if (bc_position_compare(received, position) >= 0)
		tko_order(takeover, now_us);
}

/* What the target had received when it was asked. */
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
void tko_hold_ended(struct takeover *takeover, uint64_t now_us)
{
	uint32_t missing;

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	held_position(takeover, &missing);
	if (missing >= takeover->group->sync_replicas) {
		give_up_hold(takeover, "no_answer", now_us);
		return;
	}
	tko_enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	tko_order_when_caught_up(takeover, target_position(takeover), now_us);
}

/* Asks the target again whether it has what the others had, until CATCH_UP_US is over. */
void tko_catch_up_poll(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *target = grp_endpoint_find(takeover->state->groups, takeover->target);

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!target || now_us - takeover->held_us >= CATCH_UP_US) {
		give_up_hold(takeover, "behind", now_us);
		return;
	}
	tko_enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	takeover->state->ops.survey(takeover->state->data, target, CATCH_UP_POLL_US, now_us);
}

/*
 * Holds the other copies before the order. The leader goes on until the platform has carried the
 * order out, and each commit that a copy acknowledges meanwhile has to be in the target's log.
 */
void tko_hold_others(struct takeover *takeover, uint64_t now_us)
{
	if (!takeover->ordered)
		takeover->held_count = 0;
	takeover->held_asked = 0;
	takeover->held_us = now_us;
	tko_enter(takeover, STEP_HOLD, SURVEY_US + RECHECK_US, now_us);
	if (!tko_hold_new(takeover, now_us))
		tko_hold_ended(takeover, now_us);
}

/* The answer of a copy that was told to receive nothing more. */
void tko_held(struct tko_state *state, const char *group, const char *endpoint_id,
	      const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);
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
		tko_hold_ended(takeover, now_us);
}
