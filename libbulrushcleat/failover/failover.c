#include "failover/failover_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Creates the state; `ops` and `data` are used until it is destroyed. `candidate` must differ
 * between two runs of the same proxy: an endpoint grants a term again to the candidate that it was
 * promised to, and a restarted proxy does not know which endpoint it promoted in that term. Returns
 * NULL if out of memory.
 */
struct fov_state *fov_create(struct bc_ctx *ctx, const char *candidate, const struct fov_ops *ops,
			     void *data)
{
	struct fov_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ctx = ctx;
	snprintf(state->candidate, sizeof(state->candidate), "%s", candidate);
	state->ops = *ops;
	state->data = data;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->groups = apr_hash_make(state->pool);
	state->endpoints = apr_hash_make(state->pool);
	state->calls = apr_hash_make(state->pool);
	return state;
}

static void free_values(apr_pool_t *pool, apr_hash_t *hash)
{
	apr_hash_index_t *index;

	for (index = apr_hash_first(pool, hash); index; index = apr_hash_next(index)) {
		void *value;

		apr_hash_this(index, NULL, NULL, &value);
		free(value);
	}
}

/* Frees the state; outstanding calls need no answer. NULL is allowed. */
void fov_destroy(struct fov_state *state)
{
	if (!state)
		return;
	free_values(state->pool, state->calls);
	free_values(state->pool, state->groups);
	free_values(state->pool, state->endpoints);
	apr_pool_destroy(state->pool);
	free(state);
}

static struct fov_group *group_find(const struct fov_state *state, const char *database)
{
	return apr_hash_get(state->groups, database, APR_HASH_KEY_STRING);
}

static int32_t member_index(const struct fov_group *group, const char *endpoint)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (strcmp(group->members[i].endpoint->id, endpoint) == 0)
			return (int32_t)i;
	return FOV_NO_MEMBER;
}

static struct fov_endpoint *endpoint_get(struct fov_state *state, const char *id)
{
	struct fov_endpoint *endpoint = apr_hash_get(state->endpoints, id, APR_HASH_KEY_STRING);

	if (endpoint)
		return endpoint;
	endpoint = calloc(1, sizeof(*endpoint));
	if (!endpoint)
		return NULL;
	snprintf(endpoint->id, sizeof(endpoint->id), "%s", id);
	apr_hash_set(state->endpoints, endpoint->id, APR_HASH_KEY_STRING, endpoint);
	return endpoint;
}

/* Frees an endpoint that no group uses and that is not leaving. */
static void endpoint_release(struct fov_state *state, struct fov_endpoint *endpoint)
{
	if (endpoint->refcount || endpoint->leaving)
		return;
	apr_hash_set(state->endpoints, endpoint->id, APR_HASH_KEY_STRING, NULL);
	free(endpoint);
}

static void ranked_remove(struct fov_group *group)
{
	if (!group->link)
		return;
	*group->link = group->next;
	if (group->next)
		group->next->link = group->link;
	group->link = NULL;
	group->next = NULL;
}

static void ranked_add(struct fov_group *group)
{
	struct fov_state *state = group->state;

	if (group->link)
		return;
	group->next = state->ranked;
	group->link = &state->ranked;
	if (state->ranked)
		state->ranked->link = &group->next;
	state->ranked = group;
}

static struct fov_group *group_get(struct fov_state *state, const char *database)
{
	struct fov_group *group = group_find(state, database);

	if (group)
		return group;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	group->state = state;
	group->rank = FOV_NO_RANK;
	group->primary = FOV_NO_MEMBER;
	snprintf(group->database, sizeof(group->database), "%s", database);
	apr_hash_set(state->groups, group->database, APR_HASH_KEY_STRING, group);
	return group;
}

static void follow_calls_drop(struct fov_group *group)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		fov_pending_call_drop(group->state, &group->members[i].follow_call);
}

static bool members_equal(const struct fov_group *group, const char *const *endpoints, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (member_index(group, endpoints[i]) != (int32_t)i)
			return false;
	return group->count == count;
}

/*
 * Sets a group's members. The state of members that stay is kept, and an attempt in progress is
 * aborted. Without members the group is removed.
 */
void fov_group_set(struct fov_state *state, const char *database, const char *const *endpoints,
		   size_t count)
{
	struct fov_group *group =
		count <= RTE_GROUP_ENDPOINTS_MAX ? group_get(state, database) : NULL;
	struct fov_group old;
	size_t i;

	if (!group || (count && members_equal(group, endpoints, count)))
		return;
	fov_attempt_abort(group);
	follow_calls_drop(group);
	old = *group;
	memset(group->members, 0, sizeof(group->members));
	group->count = 0;
	group->primary = FOV_NO_MEMBER;
	for (i = 0; i < count; i++) {
		struct fov_endpoint *endpoint = endpoint_get(state, endpoints[i]);
		int32_t from = member_index(&old, endpoints[i]);

		if (!endpoint)
			break;
		if (from != FOV_NO_MEMBER)
			group->members[i] = old.members[from];
		if (from != FOV_NO_MEMBER && from == old.primary)
			group->primary = (int32_t)i;
		group->members[i].endpoint = endpoint;
		endpoint->refcount++;
		group->count++;
	}
	for (i = 0; i < old.count; i++) {
		old.members[i].endpoint->refcount--;
		endpoint_release(state, old.members[i].endpoint);
	}
	if (count)
		return;
	ranked_remove(group);
	apr_hash_set(state->groups, group->database, APR_HASH_KEY_STRING, NULL);
	free(group);
}

/* Sets this proxy's rank among the group's promoters; FOV_NO_RANK aborts an attempt. */
void fov_rank_set(struct fov_state *state, const char *database, int32_t rank)
{
	struct fov_group *group = group_find(state, database);

	if (!group)
		return;
	group->rank = rank < 0 ? FOV_NO_RANK : rank;
	if (group->rank != FOV_NO_RANK) {
		ranked_add(group);
		return;
	}
	fov_attempt_abort(group);
	follow_calls_drop(group);
	ranked_remove(group);
}

/* Sets whether an endpoint is leaving. It need not be a member of a group yet. */
void fov_leaving_set(struct fov_state *state, const char *endpoint, bool leaving)
{
	struct fov_endpoint *known = endpoint_get(state, endpoint);

	if (!known)
		return;
	known->leaving = leaving;
	endpoint_release(state, known);
}

/* Sets how many live proxies, including this one, cannot reach the group's primary. */
void fov_peer_counts_set(struct fov_state *state, const char *database, uint32_t unreachable,
			 uint32_t live)
{
	struct fov_group *group = group_find(state, database);

	if (!group)
		return;
	group->unreachable = unreachable;
	group->live = live;
}

/* Sends an order. The id, database and endpoint of `call` are filled in here. */
void fov_call_send(struct fov_group *group, size_t member, const struct fov_call *call,
		   uint64_t now_us)
{
	struct fov_state *state = group->state;
	struct fov_member *target = &group->members[member];
	struct fov_pending_call *pending = calloc(1, sizeof(*pending));
	struct fov_call complete = *call;

	if (!pending)
		return;
	pending->id = ++state->last_call;
	pending->group = group;
	pending->member = member;
	pending->order = call->order;
	pending->term = call->term;
	pending->sent_us = now_us;
	apr_hash_set(state->calls, &pending->id, sizeof(pending->id), pending);
	if (call->order == FOV_FOLLOW)
		target->follow_call = pending;
	else
		target->attempt_call = pending;
	complete.id = pending->id;
	complete.database = group->database;
	complete.endpoint = target->endpoint->id;
	state->ops.call(state->data, &complete);
}

/* Removes an outstanding call, so that a later answer to it is ignored. */
void fov_pending_call_drop(struct fov_state *state, struct fov_pending_call **call)
{
	if (!*call)
		return;
	apr_hash_set(state->calls, &(*call)->id, sizeof((*call)->id), NULL);
	free(*call);
	*call = NULL;
}

/* Records a term and its primary ("" if not known). A new primary has a full contact timeout. */
static void term_learn(struct fov_group *group, uint64_t term, const char *primary, uint64_t now_us)
{
	int32_t index = member_index(group, primary);

	if (term < group->term || (term == group->term && group->primary != FOV_NO_MEMBER))
		return;
	if (term == group->term && index == FOV_NO_MEMBER)
		return;
	group->term = term;
	group->primary = index;
	group->primary_contact_us = now_us;
	group->unreachable = 0;
	group->unreachable_since_us = 0;
	group->leaving_since_us = 0;
	fov_attempt_check_term(group, now_us);
}

/*
 * Records a row that was requested at `sent_us`. Its term and promise are used even if a row that
 * was requested later is already known.
 */
void fov_row_record(struct fov_group *group, size_t index, const struct rte_row *row,
		    uint64_t sent_us, uint64_t now_us)
{
	struct fov_member *member = &group->members[index];

	if (!group->observed) {
		group->observed = true;
		group->primary_contact_us = now_us;
	}
	if (row->promised > member->promised)
		member->promised = row->promised;
	if (!member->reported || sent_us >= member->row_sent_us) {
		member->reported = true;
		member->last_probe_answered = true;
		member->row = *row;
		member->row_sent_us = sent_us;
	}
	term_learn(group, row->term, row->is_primary ? member->endpoint->id : row->primary, now_us);
	if (row->is_primary && row->term == group->term && (int32_t)index == group->primary)
		group->primary_contact_us = now_us;
}

/* Records the answer to a probe; `row` is NULL if there was none. */
void fov_report(struct fov_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us)
{
	struct fov_group *group = group_find(state, database);
	int32_t index = group ? member_index(group, endpoint) : FOV_NO_MEMBER;

	if (index == FOV_NO_MEMBER)
		return;
	if (row)
		fov_row_record(group, (size_t)index, row, sent_us, now_us);
	else if (sent_us >= group->members[index].row_sent_us)
		group->members[index].last_probe_answered = false;
}

static void call_end(struct fov_pending_call *call, bool ok, const struct rte_row *row,
		     uint64_t now_us)
{
	struct fov_pending_call ended = *call;
	struct fov_group *group = ended.group;
	struct fov_member *member = &group->members[ended.member];
	uint64_t term = group->attempt_term;

	fov_pending_call_drop(group->state, ended.order == FOV_FOLLOW ? &member->follow_call
								      : &member->attempt_call);
	if (row)
		fov_row_record(group, ended.member, row, ended.sent_us, now_us);
	/* Recording the row may have failed or completed the attempt. */
	if (ended.order == FOV_FOLLOW || group->phase == FOV_IDLE || group->attempt_term != term)
		return;
	fov_attempt_answer(group, ended.member, ended.order, ok, row, now_us);
}

/* Processes the answer to a call; an unknown, late or repeated answer is ignored. */
void fov_answer(struct fov_state *state, uint64_t call, bool ok, const struct rte_row *row,
		uint64_t now_us)
{
	struct fov_pending_call *pending = apr_hash_get(state->calls, &call, sizeof(call));

	if (pending)
		call_end(pending, ok, row, now_us);
}

static void calls_expire(struct fov_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		struct fov_member *member = &group->members[i];

		if (member->follow_call &&
		    now_us >= member->follow_call->sent_us + FOV_CALL_TIMEOUT_US)
			call_end(member->follow_call, false, NULL, now_us);
		if (member->attempt_call &&
		    now_us >= member->attempt_call->sent_us + FOV_CALL_TIMEOUT_US)
			call_end(member->attempt_call, false, NULL, now_us);
	}
}

/*
 * Expires unanswered calls, starts promotions and redirects outdated members. The cost is linear in
 * the number of groups for which this proxy has a rank, not in the number of all groups.
 */
void fov_tick(struct fov_state *state, uint64_t now_us)
{
	struct fov_group *group;
	struct fov_group *next;

	for (group = state->ranked; group; group = next) {
		enum fov_reason reason;

		next = group->next;
		calls_expire(group, now_us);
		if (!group->observed)
			continue;
		fov_timers_update(group, now_us);
		if (group->phase != FOV_IDLE)
			continue;
		fov_members_redirect(group, now_us);
		if (now_us < group->next_try_us)
			continue;
		reason = fov_reason_find(group, now_us);
		if (reason != FOV_NO_REASON)
			fov_attempt_start(group, reason, now_us);
	}
}

/* Whether the primary has been silent for FOV_CONTACT_TIMEOUT_US; false before the first report. */
bool fov_primary_silent(const struct fov_state *state, const char *database, uint64_t now_us)
{
	const struct fov_group *group = group_find(state, database);

	return group && group->observed &&
	       now_us >= group->primary_contact_us + FOV_CONTACT_TIMEOUT_US;
}
