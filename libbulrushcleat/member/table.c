#include "member/member_internal.h"

#include <stdlib.h>
#include <string.h>

/* Whether a member counts as live: alive or suspect, and not leaving. */
bool mem_is_live(const struct mem_update *info)
{
	return info->health != MEM_DEAD && !info->leaving;
}

static bool array_reserve(struct member_array *array, size_t count)
{
	size_t size = array->size ? array->size : 16;
	struct member **items;

	while (size < count)
		size *= 2;
	if (size == array->size)
		return true;
	items = realloc(array->items, size * sizeof(struct member *));
	if (!items)
		return false;
	array->items = items;
	array->size = size;
	return true;
}

static void order_put(struct mem_state *state, size_t index, struct member *member)
{
	state->order.items[index] = member;
	member->order_index = index;
}

static void order_swap(struct mem_state *state, size_t a, size_t b)
{
	struct member *first = state->order.items[a];

	order_put(state, a, state->order.items[b]);
	order_put(state, b, first);
}

/* Adds at a random place among those not yet pinged in this round. */
static void order_add(struct mem_state *state, struct member *member)
{
	size_t last = state->order.count++;
	size_t left = state->order.count - state->cursor;

	order_put(state, last, member);
	order_swap(state, last, state->cursor + bc_random_below(state->ctx, left));
}

/* Fills the gap from the same side of the cursor, so that nobody is pinged twice in a round. */
static void order_remove(struct mem_state *state, struct member *member)
{
	size_t gap = member->order_index;

	if (gap < state->cursor) {
		state->cursor--;
		order_put(state, gap, state->order.items[state->cursor]);
		gap = state->cursor;
	}
	state->order.count--;
	/* At the end, the slot still holds the member that was moved to the first gap. */
	if (gap != state->order.count)
		order_put(state, gap, state->order.items[state->order.count]);
}

/*
 * The next member to ping, or NULL if there are no others. Each round visits every member once in
 * random order: the shuffle is done one step at a time, so that no call costs more than another.
 */
struct member *mem_next_in_order(struct mem_state *state)
{
	size_t left;

	if (state->order.count == 0)
		return NULL;
	if (state->cursor >= state->order.count)
		state->cursor = 0;
	left = state->order.count - state->cursor;
	order_swap(state, state->cursor, state->cursor + bc_random_below(state->ctx, left));
	return state->order.items[state->cursor++];
}

static void dead_add(struct mem_state *state, struct member *member)
{
	member->dead_index = state->dead.count;
	state->dead.items[state->dead.count++] = member;
}

static void dead_remove(struct mem_state *state, struct member *member)
{
	struct member *last = state->dead.items[--state->dead.count];

	state->dead.items[member->dead_index] = last;
	last->dead_index = member->dead_index;
}

static struct member_queue *timing_queue(struct mem_state *state, const struct member *member)
{
	return member->info.health == MEM_DEAD ? &state->tombstones : &state->suspects;
}

static void timing_stop(struct mem_state *state, struct member *member)
{
	if (!member->timed)
		return;
	TAILQ_REMOVE(timing_queue(state, member), member, timing);
	member->timed = false;
}

/* Both queues are ordered by time, since all waits in a queue have the same length. */
static void timing_start(struct mem_state *state, struct member *member, uint64_t now_us)
{
	member->state_us = now_us;
	member->timed = true;
	TAILQ_INSERT_TAIL(timing_queue(state, member), member, timing);
}

static void live_changed(struct mem_state *state, const struct member *member)
{
	struct mem_change *change = &state->changes[state->version++ % MEM_CHANGES];

	change->id_hash = member->id_hash;
	memcpy(change->domain, member->info.domain, sizeof(change->domain));
}

/* Takes the member out of all indexes that depend on its state. */
static void unindex(struct mem_state *state, struct member *member)
{
	timing_stop(state, member);
	if (mem_is_live(&member->info)) {
		state->live--;
		live_changed(state, member);
	}
	if (member == state->self)
		return;
	if (member->info.health != MEM_DEAD)
		order_remove(state, member);
	else if (member->listed)
		dead_remove(state, member);
}

static void reindex(struct mem_state *state, struct member *member, uint64_t now_us)
{
	if (mem_is_live(&member->info)) {
		state->live++;
		live_changed(state, member);
	}
	if (member == state->self)
		return;
	if (member->info.health != MEM_DEAD)
		order_add(state, member);
	else if (member->listed)
		dead_add(state, member);
	if (member->info.health != MEM_ALIVE)
		timing_start(state, member, now_us);
}

/* A member by its id, or NULL. */
struct member *mem_lookup(const struct mem_state *state, const char *id)
{
	return apr_hash_get(state->by_id, id, APR_HASH_KEY_STRING);
}

/* Adds a member whose id is not known yet. NULL when out of memory or at MEM_MEMBERS_MAX. */
struct member *mem_insert(struct mem_state *state, const struct mem_update *info, uint64_t now_us)
{
	size_t count = state->all.count + 1;
	struct member *member;

	/* All arrays are extended here, so that a change of state cannot fail. */
	if (count > MEM_MEMBERS_MAX || !array_reserve(&state->all, count) ||
	    !array_reserve(&state->order, count) || !array_reserve(&state->dead, count)) {
		bc_count(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
		return NULL;
	}
	member = calloc(1, sizeof(*member));
	if (!member)
		return NULL;
	member->info = *info;
	member->id_hash = bc_hash(info->id);
	member->known_us = now_us;
	member->all_index = state->all.count;
	state->all.items[state->all.count++] = member;
	apr_hash_set(state->by_id, member->info.id, APR_HASH_KEY_STRING, member);
	if (!state->self)
		state->self = member;
	reindex(state, member, now_us);
	state->changed = true;
	return member;
}

/* Forgets a member. Its pointer is invalid afterwards. */
void mem_delete(struct mem_state *state, struct member *member)
{
	struct member *last = state->all.items[--state->all.count];

	state->all.items[member->all_index] = last;
	last->all_index = member->all_index;
	unindex(state, member);
	if (member->sends_left)
		TAILQ_REMOVE(&state->updates, member, queue);
	if (state->probe.target == member)
		state->probe.target = NULL;
	apr_hash_set(state->by_id, member->info.id, APR_HASH_KEY_STRING, NULL);
	free(member);
	state->changed = true;
}

/* Whether the indexes or the live set depend on what differs between two states. */
static bool indexes_differ(const struct mem_update *a, const struct mem_update *b)
{
	return a->health != b->health || a->leaving != b->leaving ||
	       strcmp(a->domain, b->domain) != 0 ||
	       (a->health != MEM_ALIVE && a->incarnation != b->incarnation);
}

static void log_health(struct mem_state *state, const struct member *member)
{
	static const char *const events[] = {"member_alive", "member_suspect", "member_dead"};
	static const char *const labels[] = {"state=\"alive\"", "state=\"suspect\"",
					     "state=\"dead\""};
	enum mem_health health = member->info.health;

	bc_count(state->ctx, "bulrushcleat_member_changes_total", labels[health], 1);
	bc_log(state->ctx, BC_LOG_INFO, events[health], "{s:s,s:I}", "member", member->info.id,
	       "incarnation", (json_int_t)member->info.incarnation);
}

/* Gives a member a new state. A wait for death or oblivion starts at now_us if the state does. */
void mem_set(struct mem_state *state, struct member *member, const struct mem_update *info,
	     uint64_t now_us)
{
	struct mem_update next = *info;
	bool revived = member->info.health == MEM_DEAD && next.health != MEM_DEAD;
	bool health_changed = member->info.health != next.health;

	/* The hash index uses the stored id as its key. */
	memcpy(next.id, member->info.id, sizeof(next.id));
	if (indexes_differ(&member->info, &next)) {
		unindex(state, member);
		member->info = next;
		reindex(state, member, now_us);
	} else {
		member->info = next;
	}
	if (revived)
		member->known_us = now_us;
	if (health_changed)
		log_health(state, member);
	state->changed = true;
}

/*
 * Notes whether a member is in the platform's list or a seed. A dead one that is taken off the list
 * is forgotten after MEM_TOMBSTONE_US from then.
 */
void mem_set_listed(struct mem_state *state, struct member *member, bool listed, uint64_t now_us)
{
	if (member->listed == listed || member == state->self)
		return;
	if (member->info.health != MEM_DEAD) {
		member->listed = listed;
		return;
	}
	timing_stop(state, member);
	if (listed)
		dead_add(state, member);
	else
		dead_remove(state, member);
	member->listed = listed;
	timing_start(state, member, now_us);
}
