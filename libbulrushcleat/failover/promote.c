#include "failover/failover_internal.h"

#include <string.h>

/*
 * Bounds of the random delay after a failed attempt. The upper bound starts at the initial maximum
 * and doubles with each consecutive failure, up to the maximum.
 */
#define FOV_BACKOFF_MIN_US (50 * BC_US_PER_MS)
#define FOV_BACKOFF_INITIAL_MAX_US (200 * BC_US_PER_MS)
#define FOV_BACKOFF_MAX_US (2 * BC_US_PER_S)
/* Below FOV_CALL_TIMEOUT_US, so that an endpoint that has not caught up can answer in time. */
#define FOV_POSITION_WAIT_MS 400U

static const char *const reason_names[] = {
	[FOV_NO_REASON] = "none",
	[FOV_SILENT] = "primary_silent",
	[FOV_UNREACHABLE] = "primary_unreachable",
	[FOV_FENCED] = "fenced_without_primary",
	[FOV_PARTLY_FENCED] = "replica_fenced",
	[FOV_LEAVING] = "primary_leaving",
};

static void attempt_end(struct fov_group *group)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		fov_pending_call_drop(group->state, &group->members[i].attempt_call);
		group->members[i].granted = false;
	}
	group->phase = FOV_IDLE;
}

/* Ends the attempt, if any, without a result. */
void fov_attempt_abort(struct fov_group *group)
{
	attempt_end(group);
}

/* Ends the attempt and sets a random delay, so that competing proxies do not collide again. */
static void attempt_fail(struct fov_group *group, const char *why, uint64_t now_us)
{
	struct bc_ctx *ctx = group->state->ctx;
	uint64_t max_us = FOV_BACKOFF_INITIAL_MAX_US << (group->failures < 4 ? group->failures : 4);

	if (max_us > FOV_BACKOFF_MAX_US)
		max_us = FOV_BACKOFF_MAX_US;
	bc_log(ctx, BC_LOG_WARN, "promotion_failed", "{s:s,s:I,s:s}", "database", group->database,
	       "term", (json_int_t)group->attempt_term, "reason", why);
	bc_counter_add(ctx, "bulrushcleat_promotions_total", "result=\"failed\"", 1);
	attempt_end(group);
	group->failures++;
	group->next_try_us =
		now_us + FOV_BACKOFF_MIN_US + bc_random_below(ctx, max_us - FOV_BACKOFF_MIN_US);
}

static void send_order(struct fov_group *group, size_t member, enum fov_order order, uint64_t term,
		       uint64_t now_us)
{
	struct fov_call call = {.order = order, .term = term};

	fov_call_send(group, member, &call, now_us);
}

/* Sends FOV_POSITION to the members that may succeed the primary; false if there are none. */
static bool ask_successors(struct fov_group *group, struct bc_position position, uint64_t now_us)
{
	bool asked = false;
	size_t i;

	for (i = 0; i < group->count; i++) {
		struct fov_call call = {.order = FOV_POSITION,
					.term = position.term,
					.at_least = position,
					.wait_ms = FOV_POSITION_WAIT_MS};

		if ((int32_t)i == group->primary || group->members[i].endpoint->leaving ||
		    !fov_member_responds(&group->members[i], now_us))
			continue;
		asked = true;
		fov_call_send(group, i, &call, now_us);
	}
	return asked;
}

/* Returns a term above all that the members have promised and all that this proxy asked for. */
static uint64_t next_term(const struct fov_group *group)
{
	uint64_t term =
		group->term > group->last_requested_term ? group->term : group->last_requested_term;
	size_t i;

	for (i = 0; i < group->count; i++)
		if (group->members[i].promised > term)
			term = group->members[i].promised;
	return term + 1;
}

static void fence_start(struct fov_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		fov_pending_call_drop(group->state, &group->members[i].attempt_call);
	group->phase = FOV_FENCING;
	group->attempt_term = next_term(group);
	group->last_requested_term = group->attempt_term;
	for (i = 0; i < group->count && group->phase == FOV_FENCING; i++)
		send_order(group, i, FOV_FENCE, group->attempt_term, now_us);
}

/* Starts an attempt. A hand-over first lets a replica catch up; others fence at once. */
void fov_attempt_start(struct fov_group *group, enum fov_reason reason, uint64_t now_us)
{
	bool keep_primary = reason == FOV_FENCED || reason == FOV_PARTLY_FENCED;

	bc_log(group->state->ctx, BC_LOG_INFO, "promotion_started", "{s:s,s:s,s:s}", "database",
	       group->database, "reason", reason_names[reason], "candidate",
	       group->state->candidate);
	group->reason = reason;
	group->base_term = group->term;
	group->least_preferred = keep_primary ? FOV_NO_MEMBER : group->primary;
	group->successor = FOV_NO_MEMBER;
	group->outage_since_us = now_us;
	if (reason == FOV_SILENT)
		group->outage_since_us = group->primary_contact_us;
	if (reason == FOV_FENCED)
		group->outage_since_us = group->fenced_since_us;
	if (reason != FOV_LEAVING) {
		fence_start(group, now_us);
		return;
	}
	group->phase = FOV_PREPARING;
	if (!ask_successors(group, group->members[group->primary].row.log, now_us))
		attempt_fail(group, "no replica may take over", now_us);
}

static bool any_attempt_call_pending(const struct fov_group *group, bool responsive_only)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (group->members[i].attempt_call &&
		    (!responsive_only || group->members[i].last_probe_answered))
			return true;
	return false;
}

/*
 * Whether member `a` is to be promoted rather than `b`. The log that is further ahead wins. Among
 * equal logs, the least preferred member comes last, then leaving ones, and the current primary
 * comes first.
 */
static bool is_better(const struct fov_group *group, int32_t a, int32_t b)
{
	const struct fov_member *first = &group->members[a];
	const struct fov_member *second;
	int order;

	if (b == FOV_NO_MEMBER)
		return true;
	second = &group->members[b];
	order = bc_position_compare(first->granted_log, second->granted_log);
	if (order != 0)
		return order > 0;
	if ((a == group->least_preferred) != (b == group->least_preferred))
		return b == group->least_preferred;
	if (first->endpoint->leaving != second->endpoint->leaving)
		return second->endpoint->leaving;
	return a == group->primary;
}

static int32_t best_granted(const struct fov_group *group, int32_t except, size_t *count)
{
	int32_t best = FOV_NO_MEMBER;
	int32_t i;

	*count = 0;
	for (i = 0; i < (int32_t)group->count; i++) {
		if (i == except || !group->members[i].granted)
			continue;
		(*count)++;
		if (is_better(group, i, best))
			best = i;
	}
	return best;
}

/*
 * Promotes once a majority has promised the term. A majority that does not include the primary
 * being replaced is used at once; one that includes it, only when no responsive member has yet to
 * answer.
 */
static void fence_evaluate(struct fov_group *group, uint64_t now_us)
{
	size_t count;
	int32_t successor = best_granted(group, group->least_preferred, &count);

	if (count <= group->count / 2) {
		if (any_attempt_call_pending(group, true))
			return;
		successor = best_granted(group, FOV_NO_MEMBER, &count);
	}
	if (count > group->count / 2) {
		size_t i;

		for (i = 0; i < group->count; i++)
			fov_pending_call_drop(group->state, &group->members[i].attempt_call);
		group->successor = successor;
		group->phase = FOV_PROMOTING;
		send_order(group, (size_t)successor, FOV_PROMOTE, group->attempt_term, now_us);
		return;
	}
	if (!any_attempt_call_pending(group, false))
		attempt_fail(group, "no majority promised the term", now_us);
}

static void attempt_succeed(struct fov_group *group, uint64_t now_us)
{
	struct fov_state *state = group->state;
	const char *primary = group->members[group->successor].endpoint->id;
	uint64_t term = group->attempt_term;
	uint64_t gap_us = now_us - group->outage_since_us;
	size_t i;

	attempt_end(group);
	group->failures = 0;
	for (i = 0; i < group->count; i++) {
		struct fov_call call = {.order = FOV_FOLLOW, .term = term, .primary = primary};

		if ((int32_t)i == group->successor)
			continue;
		fov_pending_call_drop(state, &group->members[i].follow_call);
		fov_call_send(group, i, &call, now_us);
	}
	bc_log(state->ctx, BC_LOG_INFO, "promoted", "{s:s,s:s,s:I,s:s,s:I}", "database",
	       group->database, "primary", primary, "term", (json_int_t)term, "reason",
	       reason_names[group->reason], "gap_us", (json_int_t)gap_us);
	bc_counter_add(state->ctx, "bulrushcleat_promotions_total", "result=\"done\"", 1);
	bc_histogram_observe_us(state->ctx, "bulrushcleat_failover_gap_seconds", NULL, gap_us);
	if (state->ops.promoted)
		state->ops.promoted(state->data, group->database, term, primary, gap_us);
}

/*
 * Called when the known term has increased. An attempt whose promotion took effect has succeeded,
 * even if the answer was lost; any other attempt has failed.
 */
void fov_attempt_check_term(struct fov_group *group, uint64_t now_us)
{
	if (group->phase == FOV_IDLE || group->term == group->base_term)
		return;
	if (group->phase == FOV_PROMOTING && group->term == group->attempt_term) {
		if (group->primary == group->successor)
			attempt_succeed(group, now_us);
		return;
	}
	attempt_fail(group, "a newer term is known", now_us);
}

/* Continues a hand-over after an answer, or fails it if no more answers are outstanding. */
static void handover_answer(struct fov_group *group, bool ok, const struct rte_row *row,
			    uint64_t now_us)
{
	size_t i;

	if (!ok || (group->phase == FOV_STEPPING_DOWN && !row)) {
		if (!any_attempt_call_pending(group, false))
			attempt_fail(group, "the hand-over was not answered in time", now_us);
		return;
	}
	for (i = 0; i < group->count; i++)
		fov_pending_call_drop(group->state, &group->members[i].attempt_call);
	switch (group->phase) {
	case FOV_PREPARING:
		group->phase = FOV_STEPPING_DOWN;
		group->outage_since_us = now_us;
		send_order(group, (size_t)group->primary, FOV_STEP_DOWN, group->term, now_us);
		return;
	case FOV_STEPPING_DOWN:
		group->phase = FOV_CATCHING_UP;
		if (!ask_successors(group, row->log, now_us))
			attempt_fail(group, "no replica may take over", now_us);
		return;
	default:
		fence_start(group, now_us);
	}
}

/* Processes the answer to an order of the attempt; `row` is NULL if there was none. */
void fov_attempt_answer(struct fov_group *group, size_t member, enum fov_order order, bool ok,
			const struct rte_row *row, uint64_t now_us)
{
	switch (order) {
	case FOV_FENCE:
		if (ok && row) {
			group->members[member].granted = true;
			group->members[member].granted_log = row->log;
		}
		fence_evaluate(group, now_us);
		return;
	case FOV_PROMOTE:
		if (!ok || !row) {
			attempt_fail(group, "the promotion was refused or not answered", now_us);
			return;
		}
		if (group->term <= group->attempt_term) {
			group->term = group->attempt_term;
			group->primary = group->successor;
			group->primary_contact_us = now_us;
		}
		fov_attempt_check_term(group, now_us);
		return;
	case FOV_POSITION:
	case FOV_STEP_DOWN:
		handover_answer(group, ok, row, now_us);
		return;
	default:
		return;
	}
}
