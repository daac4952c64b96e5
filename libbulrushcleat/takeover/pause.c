#include "takeover/takeover_internal.h"

#include <stdio.h>
#include <string.h>

/* Commits in transit reach a replica within a few round trips between regions. */
#define CATCH_UP_POLL_US (50 * BC_US_PER_MS)
/* A replica that has not caught up with the others by then is itself cut off from the leader. */
#define CATCH_UP_US BC_US_PER_S

static bool is_paused(const struct takeover *takeover, const char *endpoint_id)
{
	uint32_t i;

	for (i = 0; i < takeover->paused_count; i++)
		if (strcmp(takeover->paused[i].endpoint_id, endpoint_id) == 0)
			return true;
	return false;
}

/* Clears the record of paused replicas without resuming them. */
void tko_clear_paused(struct takeover *takeover)
{
	takeover->paused_count = 0;
	takeover->contested = false;
	takeover->order_outstanding = false;
	bc_timer_cancel(takeover->state->timers, &takeover->resume_timer);
}

/*
 * Resumes replication on the paused replicas unless another leader was promoted: a promotion
 * resumes it by itself, and by then replicas may be paused for the next one. If another proxy
 * claimed without promoting a leader, all replicas are resumed, since that proxy may have paused
 * some and ended.
 */
void tko_resume_paused(struct takeover *takeover, uint64_t now_us)
{
	const struct grp_endpoint *leader = takeover->group->leader;
	struct grp_endpoint *endpoint = grp_first(takeover->group);
	bool all = takeover->contested && takeover->group->sync_replicas;
	bool promoted = !leader || strcmp(leader->info.id, takeover->old_leader) != 0;

	while (endpoint && !promoted) {
		struct grp_endpoint *next = grp_next(endpoint);

		if (endpoint != leader && !endpoint->removed &&
		    (all || is_paused(takeover, endpoint->info.id)))
			takeover->state->ops.resume(takeover->state->data, endpoint, now_us);
		endpoint = next;
	}
	tko_clear_paused(takeover);
}

/* Timer callback: the order was not carried out in time, and the leader is still the same. */
void tko_resume_due(void *data, uint64_t now_us)
{
	struct takeover *takeover = data;

	if (takeover->step == STEP_IDLE)
		tko_resume_paused(takeover, now_us);
}

/* Returns a term above the newest known one and those of all answers. */
static uint64_t next_term(const struct takeover *takeover)
{
	uint64_t term = takeover->group->term;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		if (takeover->answers[i].status.term > term)
			term = takeover->answers[i].status.term;
	return term + 1;
}

/* Pauses the replicas that are not paused yet, except the target; false if there are none. */
bool tko_pause_new(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *new_replicas[GRP_ENDPOINTS_MAX];
	struct grp_endpoint *endpoint;
	uint64_t term = next_term(takeover);
	uint32_t count = 0;
	uint32_t i;

	for (endpoint = grp_first(takeover->group); endpoint; endpoint = grp_next(endpoint)) {
		if (!tko_is_queried(takeover, endpoint) || is_paused(takeover, endpoint->info.id) ||
		    strcmp(endpoint->info.id, takeover->target) == 0 ||
		    takeover->paused_count == GRP_ENDPOINTS_MAX)
			continue;
		new_replicas[count++] = endpoint;
		takeover->paused[takeover->paused_count] = (struct answer){0};
		snprintf(takeover->paused[takeover->paused_count++].endpoint_id, BC_ID_BYTES, "%s",
			 endpoint->info.id);
	}
	takeover->pauses_pending += count;
	/* The callback may deliver the answer before it returns. */
	for (i = 0; i < count; i++)
		takeover->state->ops.pause(takeover->state->data, new_replicas[i], term,
					   STATUS_TIMEOUT_US, now_us);
	return count > 0;
}

/* Returns the newest position that paused replicas have; counts those without an answer. */
static struct bc_position paused_position(const struct takeover *takeover, uint32_t *missing)
{
	struct bc_position position = {0};
	uint32_t i;

	*missing = 0;
	for (i = 0; i < takeover->paused_count; i++) {
		const struct tko_status *status = &takeover->paused[i].status;

		if (!status->answered)
			(*missing)++;
		else if (bc_position_compare(status->received, position) > 0)
			position = status->received;
	}
	return position;
}

/* Drops the target without an order and restarts the attempt. */
static void abandon_target(struct takeover *takeover, const char *reason, uint64_t now_us)
{
	takeover->prefer_most_received = true;
	bc_log(takeover->state->ctx, BC_LOG_WARN, "takeover_target_abandoned", "{s:s,s:s,s:s}",
	       "group", takeover->group->name, "endpoint", takeover->target, "reason", reason);
	if (!takeover->order_outstanding)
		tko_resume_paused(takeover, now_us);
	tko_enter(takeover, STEP_RANK_DELAY, RECHECK_US, now_us);
}

/* Orders the promotion once the target has received all that the paused replicas have. */
void tko_order_when_caught_up(struct takeover *takeover, struct bc_position received,
			      uint64_t now_us)
{
	uint32_t missing;
	struct bc_position position = paused_position(takeover, &missing);

	if (bc_position_compare(received, position) >= 0)
		tko_order(takeover, now_us);
}

/* Returns the position that the target had received when it was queried. */
static struct bc_position target_position(const struct takeover *takeover)
{
	struct bc_position none = {0};
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		if (strcmp(takeover->answers[i].endpoint_id, takeover->target) == 0)
			return takeover->answers[i].status.received;
	return none;
}

/* Ends the pause step once all paused replicas have answered or the timeout has passed. */
void tko_pause_ended(struct takeover *takeover, uint64_t now_us)
{
	uint32_t missing;

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	paused_position(takeover, &missing);
	if (missing >= takeover->group->sync_replicas) {
		abandon_target(takeover, "no_answer", now_us);
		return;
	}
	tko_enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	tko_order_when_caught_up(takeover, target_position(takeover), now_us);
}

/* Queries the target again until it has caught up or CATCH_UP_US has passed. */
void tko_catch_up_poll(struct takeover *takeover, uint64_t now_us)
{
	struct grp_endpoint *target = grp_endpoint_find(takeover->state->groups, takeover->target);

	if (tko_stop_if_obsolete(takeover, now_us))
		return;
	if (!target || now_us - takeover->pause_start_us >= CATCH_UP_US) {
		abandon_target(takeover, "behind", now_us);
		return;
	}
	tko_enter(takeover, STEP_CATCH_UP, CATCH_UP_POLL_US, now_us);
	takeover->state->ops.query_status(takeover->state->data, target, CATCH_UP_POLL_US, now_us);
}

/*
 * Pauses replication on the other replicas before the order. The old leader keeps committing until
 * the platform has carried out the order, and each commit that a replica acknowledges meanwhile has
 * to be in the target's log.
 */
void tko_pause_others(struct takeover *takeover, uint64_t now_us)
{
	if (!takeover->order_outstanding)
		takeover->paused_count = 0;
	takeover->pauses_pending = 0;
	takeover->pause_start_us = now_us;
	tko_enter(takeover, STEP_PAUSE, STATUS_TIMEOUT_US + RECHECK_US, now_us);
	if (!tko_pause_new(takeover, now_us))
		tko_pause_ended(takeover, now_us);
}

/* Takes a replica's answer to the request to pause replication. */
void tko_paused(struct tko_state *state, const char *group, const char *endpoint_id,
		const struct tko_status *status, uint64_t now_us)
{
	struct takeover *takeover = tko_find(state, group);
	uint32_t i;

	if (!takeover)
		return;
	for (i = 0; i < takeover->paused_count; i++) {
		if (strcmp(takeover->paused[i].endpoint_id, endpoint_id) != 0)
			continue;
		takeover->paused[i].status = *status;
		if (takeover->pauses_pending)
			takeover->pauses_pending--;
	}
	if (takeover->step == STEP_PAUSE && !takeover->pauses_pending)
		tko_pause_ended(takeover, now_us);
}
