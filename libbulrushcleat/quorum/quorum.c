#include "quorum/quorum_internal.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct quo_waiter *waiter_from_deadline_node(struct quo_node *node)
{
	return node ? (struct quo_waiter *)((char *)node -
					    offsetof(struct quo_waiter, deadline_node))
		    : NULL;
}

/*
 * Creates the state; `ops` and `data` are used until it is destroyed. Returns NULL if out of
 * memory.
 */
struct quo_state *quo_create(struct bc_ctx *ctx, const struct quo_ops *ops, void *data)
{
	struct quo_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->groups = apr_hash_make(state->pool);
	return state;
}

/* Frees the state without calling back for the remaining waiters. NULL is allowed. */
void quo_destroy(struct quo_state *state)
{
	if (!state)
		return;
	while (state->deadlines) {
		struct quo_waiter *waiter = waiter_from_deadline_node(state->deadlines);

		quo_node_remove(&state->deadlines, &waiter->deadline_node);
		free(waiter);
	}
	apr_pool_destroy(state->pool);
	free(state);
}

static void active_add(struct quo_group *group)
{
	struct quo_state *state = group->state;

	if (group->active_link)
		return;
	group->active_next = state->active;
	group->active_link = &state->active;
	if (state->active)
		state->active->active_link = &group->active_next;
	state->active = group;
}

static void active_remove(struct quo_group *group)
{
	if (!group->active_link || group->unconfirmed || group->primary_unconfirmed)
		return;
	*group->active_link = group->active_next;
	if (group->active_next)
		group->active_next->active_link = group->active_link;
	group->active_link = NULL;
	group->active_next = NULL;
}

static void waiter_enqueue(struct quo_waiter *waiter)
{
	struct quo_group *group = waiter->group;

	waiter->queue_node.key[0] = waiter->position.term;
	waiter->queue_node.key[1] =
		waiter->confirmed ? waiter->primary_check_since_us : waiter->position.pos;
	waiter->queue_node.key[2] = ++group->state->sequence;
	quo_node_insert(waiter->confirmed ? &group->primary_unconfirmed : &group->unconfirmed,
			&waiter->queue_node, bc_random(group->state->ctx));
}

static void waiter_dequeue(struct quo_waiter *waiter)
{
	quo_node_remove(waiter->confirmed ? &waiter->group->primary_unconfirmed
					  : &waiter->group->unconfirmed,
			&waiter->queue_node);
}

/* Removes a waiter and calls ops->done, which may add waiters. */
static void waiter_complete(struct quo_waiter *waiter, enum bc_status status)
{
	struct quo_state *state = waiter->group->state;
	uint64_t id = waiter->id;

	waiter_dequeue(waiter);
	quo_node_remove(&state->deadlines, &waiter->deadline_node);
	active_remove(waiter->group);
	state->waiting--;
	free(waiter);
	state->ops.done(state->data, id, status);
}

/* Returns the first waiter of that term if its second key is at most `limit`, or NULL. */
static struct quo_waiter *waiter_first_ready(struct quo_node *root, uint64_t term, uint64_t limit)
{
	const uint64_t key[3] = {term, 0, 0};
	struct quo_node *node = quo_node_at_least(root, key);

	if (!node || node->key[0] != term || node->key[1] > limit)
		return NULL;
	return quo_waiter_from_queue_node(node);
}

/*
 * Completes the waiters of a term whose conditions are met. Callbacks may change progress_by_term,
 * so the term is looked up again for each waiter.
 */
static void term_complete_waiters(struct quo_group *group, uint64_t term)
{
	struct quo_progress *progress;
	struct quo_waiter *waiter;

	while ((progress = quo_progress_find(group, term)) != NULL) {
		waiter = waiter_first_ready(group->unconfirmed, term, progress->confirmed);
		if (waiter) {
			waiter_dequeue(waiter);
			waiter->confirmed = true;
			waiter_enqueue(waiter);
			continue;
		}
		waiter = waiter_first_ready(group->primary_unconfirmed, term,
					    progress->majority_unfenced_us);
		if (!waiter)
			return;
		waiter_complete(waiter, BC_OK);
	}
}

static void group_complete_waiters(struct quo_group *group)
{
	uint64_t terms[QUO_TERMS_MAX];
	size_t count = group->progress_count;
	size_t i;

	for (i = 0; i < count; i++)
		terms[i] = group->progress_by_term[i].term;
	for (i = 0; i < count; i++)
		term_complete_waiters(group, terms[i]);
}

/* Copies the state of a member from its old index to its new index in the group. */
static void member_move(struct quo_group *group, size_t to, const struct quo_group *old,
			size_t from)
{
	size_t i;

	group->members[to] = old->members[from];
	for (i = 0; i < group->progress_count; i++) {
		group->progress_by_term[i].held[to] = old->progress_by_term[i].held[from];
		group->progress_by_term[i].unfenced_us[to] =
			old->progress_by_term[i].unfenced_us[from];
	}
}

/*
 * Sets the members of a group. Waiters are evaluated against the new members at the next report. A
 * change of members is safe only while no promotion is in progress; the caller must ensure that.
 */
void quo_group_set(struct quo_state *state, const char *database, const char *const *endpoints,
		   size_t count)
{
	struct quo_group *group = quo_group_find(state, database);
	struct quo_group old;
	size_t i;

	if (count > RTE_GROUP_ENDPOINTS_MAX)
		return;
	if (!group) {
		group = apr_pcalloc(state->pool, sizeof(*group));
		group->state = state;
		snprintf(group->database, sizeof(group->database), "%s", database);
		apr_hash_set(state->groups, group->database, APR_HASH_KEY_STRING, group);
	}
	old = *group;
	group->count = count;
	memset(group->members, 0, sizeof(group->members));
	for (i = 0; i < group->progress_count; i++) {
		memset(group->progress_by_term[i].held, 0, sizeof(group->progress_by_term[i].held));
		memset(group->progress_by_term[i].unfenced_us, 0,
		       sizeof(group->progress_by_term[i].unfenced_us));
	}
	for (i = 0; i < count; i++) {
		size_t from = quo_member_index(&old, endpoints[i]);

		if (from < old.count)
			member_move(group, i, &old, from);
		else
			snprintf(group->members[i].id, BC_ID_BYTES, "%s", endpoints[i]);
	}
	for (i = 0; i < group->progress_count; i++) {
		group->progress_by_term[i].confirmed = 0;
		quo_progress_update(group, &group->progress_by_term[i]);
	}
}

/*
 * Adds a waiter. ops->done is called when it ends, before this returns if its conditions are
 * already met. A waiter for an unknown database ends with BC_ETIMEOUT at once. Position {0, 0} is
 * that of an empty log and needs no confirmation.
 */
void quo_wait_add(struct quo_state *state, const struct quo_wait *wait, uint64_t now_us)
{
	struct quo_group *group = quo_group_find(state, wait->database);
	struct quo_waiter *waiter;
	size_t index;

	if (wait->position.term == 0 && wait->primary_check_since_us == 0) {
		state->ops.done(state->data, wait->waiter, BC_OK);
		return;
	}
	waiter = group ? calloc(1, sizeof(*waiter)) : NULL;
	if (!waiter) {
		state->ops.done(state->data, wait->waiter, BC_ETIMEOUT);
		return;
	}
	waiter->group = group;
	waiter->id = wait->waiter;
	waiter->position = wait->position;
	waiter->primary_check_since_us = wait->primary_check_since_us;
	waiter_enqueue(waiter);
	waiter->deadline_node.key[0] = wait->deadline_us;
	waiter->deadline_node.key[1] = ++state->sequence;
	quo_node_insert(&state->deadlines, &waiter->deadline_node, bc_random(state->ctx));
	state->waiting++;
	active_add(group);
	index = wait->holder ? quo_member_index(group, wait->holder) : group->count;
	if (index < group->count)
		quo_held_record(group, index, wait->position);
	else
		quo_progress_get(group, wait->position.term);
	term_complete_waiters(group, wait->position.term);
	quo_group_poll(group, now_us);
}

/*
 * Records a row that was requested at `sent_us` by a poll or a probe. Reports may be repeated.
 *
 * A position counts for its term only if the endpoint has promised no greater term. Otherwise the
 * endpoint may have received the entry later, as a replica of a primary of a greater term. A term
 * between the two may have had a primary without the entry, and the log of that primary wins the
 * next promotion.
 */
void quo_report(struct quo_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, struct bc_position held, uint64_t sent_us,
		uint64_t now_us)
{
	struct quo_group *group = quo_group_find(state, database);
	size_t index = group ? quo_member_index(group, endpoint) : 0;
	uint64_t newest_term = row->promised > row->term ? row->promised : row->term;
	size_t i;

	if (!group || index == group->count)
		return;
	if (newest_term <= row->log.term)
		quo_held_record(group, index, row->log);
	if (newest_term <= held.term)
		quo_held_record(group, index, held);
	for (i = 0; i < group->progress_count; i++) {
		struct quo_progress *progress = &group->progress_by_term[i];

		if (newest_term > progress->term || sent_us <= progress->unfenced_us[index])
			continue;
		progress->unfenced_us[index] = sent_us;
		quo_progress_update(group, progress);
	}
	group_complete_waiters(group);
	quo_group_poll(group, now_us);
}

/*
 * Ends the waiters past their deadline and retries failed polls. The cost is that of the waiters
 * that end, plus a poll check for each group with waiters.
 */
void quo_tick(struct quo_state *state, uint64_t now_us)
{
	struct quo_node *node;
	struct quo_group *group;
	struct quo_group *next;

	while ((node = quo_node_first(state->deadlines)) != NULL && node->key[0] <= now_us)
		waiter_complete(waiter_from_deadline_node(node), BC_ETIMEOUT);
	for (group = state->active; group; group = next) {
		next = group->active_next;
		quo_group_poll(group, now_us);
	}
}

/* Returns the number of waiters. */
size_t quo_waiting(const struct quo_state *state)
{
	return state->waiting;
}
