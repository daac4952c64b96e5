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
	size_t capacity = array->capacity ? array->capacity : 16;
	struct member **items;

	while (capacity < count)
		capacity *= 2;
	if (capacity == array->capacity)
		return true;
	items = realloc(array->items, capacity * sizeof(struct member *));
	if (!items)
		return false;
	array->items = items;
	array->capacity = capacity;
	return true;
}

static void probe_order_put(struct mem_state *state, size_t index, struct member *member)
{
	state->probe_order.items[index] = member;
	member->probe_index = index;
}

static void probe_order_swap(struct mem_state *state, size_t a, size_t b)
{
	struct member *first = state->probe_order.items[a];

	probe_order_put(state, a, state->probe_order.items[b]);
	probe_order_put(state, b, first);
}

/* Adds a member at a random position among those not yet pinged in this round. */
static void probe_order_add(struct mem_state *state, struct member *member)
{
	size_t last = state->probe_order.count++;
	size_t left = state->probe_order.count - state->probe_cursor;

	probe_order_put(state, last, member);
	probe_order_swap(state, last, state->probe_cursor + bc_random_below(state->ctx, left));
}

/*
 * Removes a member. The gap is filled from the same side of the cursor, so that no member is pinged
 * twice in a round.
 */
static void probe_order_remove(struct mem_state *state, struct member *member)
{
	size_t gap = member->probe_index;

	if (gap < state->probe_cursor) {
		state->probe_cursor--;
		probe_order_put(state, gap, state->probe_order.items[state->probe_cursor]);
		gap = state->probe_cursor;
	}
	state->probe_order.count--;
	/* If the gap is at the end, its slot holds a member that has already been moved. */
	if (gap != state->probe_order.count)
		probe_order_put(state, gap, state->probe_order.items[state->probe_order.count]);
}

/*
 * Returns the next member to ping, or NULL if there are no others. Each round visits every member
 * once in random order. The shuffle is done one step per call, so that all calls cost the same.
 */
struct member *mem_next_probe_target(struct mem_state *state)
{
	size_t left;

	if (state->probe_order.count == 0)
		return NULL;
	if (state->probe_cursor >= state->probe_order.count)
		state->probe_cursor = 0;
	left = state->probe_order.count - state->probe_cursor;
	probe_order_swap(state, state->probe_cursor,
			 state->probe_cursor + bc_random_below(state->ctx, left));
	return state->probe_order.items[state->probe_cursor++];
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

static struct member_queue *timeout_queue(struct mem_state *state, const struct member *member)
{
	return member->info.health == MEM_DEAD ? &state->tombstones : &state->suspects;
}

static void timeout_stop(struct mem_state *state, struct member *member)
{
	if (!member->timeout_pending)
		return;
	TAILQ_REMOVE(timeout_queue(state, member), member, timeout_link);
	member->timeout_pending = false;
}

/* Starts a member's timeout. Both queues stay in order, as all timeouts in one are equally long. */
static void timeout_start(struct mem_state *state, struct member *member, uint64_t now_us)
{
	member->timeout_start_us = now_us;
	member->timeout_pending = true;
	TAILQ_INSERT_TAIL(timeout_queue(state, member), member, timeout_link);
}

/* Records a change of the set of live members, for the check of cached ranks. */
static void record_live_change(struct mem_state *state, const struct member *member)
{
	struct mem_change *change = &state->changes[state->version++ % MEM_CHANGES_KEPT];

	change->id_hash = member->id_hash;
	memcpy(change->domain, member->info.domain, sizeof(change->domain));
}

/* Removes a member from all indexes that depend on its state. */
static void unindex(struct mem_state *state, struct member *member)
{
	timeout_stop(state, member);
	if (mem_is_live(&member->info)) {
		state->live--;
		record_live_change(state, member);
	}
	if (member == state->self)
		return;
	if (member->info.health != MEM_DEAD)
		probe_order_remove(state, member);
	else if (member->listed)
		dead_remove(state, member);
}

static void reindex(struct mem_state *state, struct member *member, uint64_t now_us)
{
	if (mem_is_live(&member->info)) {
		state->live++;
		record_live_change(state, member);
	}
	if (member == state->self)
		return;
	if (member->info.health != MEM_DEAD)
		probe_order_add(state, member);
	else if (member->listed)
		dead_add(state, member);
	if (member->info.health != MEM_ALIVE)
		timeout_start(state, member, now_us);
}

/* Returns a member by its id, or NULL. */
struct member *mem_lookup(const struct mem_state *state, const char *id)
{
	return apr_hash_get(state->by_id, id, APR_HASH_KEY_STRING);
}

/*
 * Adds a member whose id is not known yet. Returns NULL when out of memory or if there are
 * MEM_MEMBERS_MAX members.
 */
struct member *mem_insert(struct mem_state *state, const struct mem_update *info, uint64_t now_us)
{
	size_t count = state->all.count + 1;
	struct member *member;

	/* All arrays are extended here, so that a change of state cannot fail. */
	if (count > MEM_MEMBERS_MAX || !array_reserve(&state->all, count) ||
	    !array_reserve(&state->probe_order, count) || !array_reserve(&state->dead, count)) {
		bc_counter_add(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
		return NULL;
	}
	member = calloc(1, sizeof(*member));
	if (!member)
		return NULL;
	member->info = *info;
	member->id_hash = bc_hash(info->id);
	member->joined_us = now_us;
	member->all_index = state->all.count;
	state->all.items[state->all.count++] = member;
	apr_hash_set(state->by_id, member->info.id, APR_HASH_KEY_STRING, member);
	if (!state->self)
		state->self = member;
	reindex(state, member, now_us);
	state->changed = true;
	return member;
}

/* Removes and frees a member. */
void mem_forget(struct mem_state *state, struct member *member)
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

/* Whether a change from one state to the other affects the indexes or the live members. */
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

	bc_counter_add(state->ctx, "bulrushcleat_member_changes_total", labels[health], 1);
	bc_log(state->ctx, BC_LOG_INFO, events[health], "{s:s,s:I}", "member", member->info.id,
	       "incarnation", (json_int_t)member->info.incarnation);
}

/* Sets a member's state. A new suspicion or tombstone starts at now_us. */
void mem_set_state(struct mem_state *state, struct member *member, const struct mem_update *info,
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
		member->joined_us = now_us;
	if (health_changed)
		log_health(state, member);
	state->changed = true;
}

/*
 * Records whether a member is in the platform's list or a seed. A dead one that is removed from the
 * list is forgotten MEM_TOMBSTONE_US later.
 */
void mem_set_listed(struct mem_state *state, struct member *member, bool listed, uint64_t now_us)
{
	if (member->listed == listed || member == state->self)
		return;
	if (member->info.health != MEM_DEAD) {
		member->listed = listed;
		return;
	}
	timeout_stop(state, member);
	if (listed)
		dead_add(state, member);
	else
		dead_remove(state, member);
	member->listed = listed;
	timeout_start(state, member, now_us);
}
