#include "quorum/quorum_internal.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct quo_waiter *waiter_by_deadline(struct quo_node *node)
{
	return node ? (struct quo_waiter *)((char *)node - offsetof(struct quo_waiter, by_deadline))
		    : NULL;
}

/* Creates the state; ops and data are used until it is destroyed. NULL if out of memory. */
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

/* Frees the state without calling back for the waiters left. NULL is allowed. */
void quo_destroy(struct quo_state *state)
{
	if (!state)
		return;
	while (state->deadlines) {
		struct quo_waiter *waiter = waiter_by_deadline(state->deadlines);

		quo_node_remove(&state->deadlines, &waiter->by_deadline);
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
	if (!group->active_link || group->unconfirmed || group->unproven)
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

	waiter->by_state.key[0] = waiter->position.term;
	waiter->by_state.key[1] = waiter->confirmed ? waiter->since_us : waiter->position.pos;
	waiter->by_state.key[2] = ++group->state->sequence;
	quo_node_insert(waiter->confirmed ? &group->unproven : &group->unconfirmed,
			&waiter->by_state, bc_random(group->state->ctx));
}

static void waiter_dequeue(struct quo_waiter *waiter)
{
	quo_node_remove(waiter->confirmed ? &waiter->group->unproven : &waiter->group->unconfirmed,
			&waiter->by_state);
}

/* Removes a waiter and calls back. The callback may add waiters. */
static void waiter_end(struct quo_waiter *waiter, enum bc_status status)
{
	struct quo_state *state = waiter->group->state;
	uint64_t id = waiter->id;

	waiter_dequeue(waiter);
	quo_node_remove(&state->deadlines, &waiter->by_deadline);
	active_remove(waiter->group);
	state->waiting--;
	free(waiter);
	state->ops.done(state->data, id, status);
}

/* The first waiter of that term in the set whose second key is at most `limit`, or NULL. */
static struct quo_waiter *waiter_ready(struct quo_node *root, uint64_t term, uint64_t limit)
{
	const uint64_t key[3] = {term, 0, 0};
	struct quo_node *node = quo_node_at_least(root, key);

	if (!node || node->key[0] != term || node->key[1] > limit)
		return NULL;
	return quo_waiter_by_state(node);
}

/* Ends the waiters of a term that its track allows. Callbacks may change the tracks. */
static void term_finish(struct quo_group *group, uint64_t term)
{
	struct quo_track *track;
	struct quo_waiter *waiter;

	while ((track = quo_track_find(group, term)) != NULL) {
		waiter = waiter_ready(group->unconfirmed, term, track->confirmed);
		if (waiter) {
			waiter_dequeue(waiter);
			waiter->confirmed = true;
			waiter_enqueue(waiter);
			continue;
		}
		waiter = waiter_ready(group->unproven, term, track->majority_unreplaced_us);
		if (!waiter)
			return;
		waiter_end(waiter, BC_OK);
	}
}

static void group_finish(struct quo_group *group)
{
	uint64_t terms[QUO_TERMS_MAX];
	size_t count = group->track_count;
	size_t i;

	for (i = 0; i < count; i++)
		terms[i] = group->tracks[i].term;
	for (i = 0; i < count; i++)
		term_finish(group, terms[i]);
}

/* Moves what is known of a member from its old to its new place in the group. */
static void member_move(struct quo_group *group, size_t to, const struct quo_group *old,
			size_t from)
{
	size_t i;

	group->members[to] = old->members[from];
	for (i = 0; i < group->track_count; i++) {
		group->tracks[i].held[to] = old->tracks[i].held[from];
		group->tracks[i].unreplaced_us[to] = old->tracks[i].unreplaced_us[from];
	}
}

/*
 * Sets the members of a group. The waiters are judged by the new set at the next report. A change
 * of members is safe only while no promotion runs; that is for the owner of the groups to ensure.
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
	for (i = 0; i < group->track_count; i++) {
		memset(group->tracks[i].held, 0, sizeof(group->tracks[i].held));
		memset(group->tracks[i].unreplaced_us, 0, sizeof(group->tracks[i].unreplaced_us));
	}
	for (i = 0; i < count; i++) {
		size_t from = quo_member_index(&old, endpoints[i]);

		if (from < old.count)
			member_move(group, i, &old, from);
		else
			snprintf(group->members[i].id, BC_ID_BYTES, "%s", endpoints[i]);
	}
	for (i = 0; i < group->track_count; i++) {
		group->tracks[i].confirmed = 0;
		quo_track_update(group, &group->tracks[i]);
	}
}

/*
 * Adds a waiter. It ends with ops->done, before this returns if the position is already confirmed.
 * A waiter for an unknown database ends with BC_ETIMEOUT at once. Position {0, 0} is that of an
 * empty log and needs no confirmation.
 */
void quo_wait_add(struct quo_state *state, const struct quo_wait *wait, uint64_t now_us)
{
	struct quo_group *group = quo_group_find(state, wait->database);
	struct quo_waiter *waiter;
	size_t index;

	if (wait->position.term == 0 && wait->not_replaced_since_us == 0) {
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
	waiter->since_us = wait->not_replaced_since_us;
	waiter_enqueue(waiter);
	waiter->by_deadline.key[0] = wait->deadline_us;
	waiter->by_deadline.key[1] = ++state->sequence;
	quo_node_insert(&state->deadlines, &waiter->by_deadline, bc_random(state->ctx));
	state->waiting++;
	active_add(group);
	index = wait->holder ? quo_member_index(group, wait->holder) : group->count;
	if (index < group->count)
		quo_held_add(group, index, wait->position);
	else
		quo_track_get(group, wait->position.term);
	term_finish(group, wait->position.term);
	quo_group_poll(group, now_us);
}

/*
 * Takes a row, from a poll or a probe, that was asked for at `sent_us`. Reports may be repeated.
 *
 * What an endpoint holds counts for a term only if it has promised no greater one. It may have got
 * the entry later, as a replica of a primary of a greater term. Between the two, a third term may
 * have had a primary without the entry, and the log of that primary wins the next promotion.
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
		quo_held_add(group, index, row->log);
	if (newest_term <= held.term)
		quo_held_add(group, index, held);
	for (i = 0; i < group->track_count; i++) {
		struct quo_track *track = &group->tracks[i];

		if (newest_term > track->term || sent_us <= track->unreplaced_us[index])
			continue;
		track->unreplaced_us[index] = sent_us;
		quo_track_update(group, track);
	}
	group_finish(group);
	quo_group_poll(group, now_us);
}

/*
 * Ends the waiters past their deadline and polls again after failures. The cost is that of the
 * waiters that end, plus the number of groups that have waiters.
 */
void quo_tick(struct quo_state *state, uint64_t now_us)
{
	struct quo_node *node;
	struct quo_group *group;
	struct quo_group *next;

	while ((node = quo_node_first(state->deadlines)) != NULL && node->key[0] <= now_us)
		waiter_end(waiter_by_deadline(node), BC_ETIMEOUT);
	for (group = state->active; group; group = next) {
		next = group->active_next;
		quo_group_poll(group, now_us);
	}
}

/* The number of waiters. */
size_t quo_waiting(const struct quo_state *state)
{
	return state->waiting;
}
