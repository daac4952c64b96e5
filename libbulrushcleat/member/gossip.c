#include "member/member_internal.h"

#include <string.h>

/* SWIM needs a multiple of log2(n) transmissions for an update to reach everyone with high odds. */
#define SENDS_PER_LOG2 3U
/* Members repeated in every message, so that an update lost by chance is made up for in time. */
#define SYNC_FEW 2U
/*
 * Messages to a member known for less than this are filled up with members it may not know: about
 * 52 a second, of which 5,200 members need three times as many, since the senders do not agree.
 */
#define NEWCOMER_US (300 * BC_US_PER_S)
/* An incarnation is raised by one at each refutation; a value near 2^64 could not be refuted. */
#define INCARNATION_MAX ((uint64_t)INT64_MAX)

/* The place of a seed may be unknown until it answers. */
static bool place_valid(const char *name)
{
	return name[0] == '\0' || bc_id_valid(name);
}

/* Whether an update could be sent on: the bounds are those of wire_pack(). */
bool mem_update_valid(const struct mem_update *update)
{
	return bc_id_valid(update->id) && update->address[0] && place_valid(update->domain) &&
	       place_valid(update->region) && (unsigned int)update->health <= MEM_DEAD &&
	       update->incarnation <= INCARNATION_MAX;
}

static uint32_t sends_for(size_t members)
{
	uint32_t log2 = 1;

	while (members >> log2)
		log2++;
	return SENDS_PER_LOG2 * log2;
}

static void announce(struct mem_state *state, struct member *member, uint32_t sends)
{
	if (member->sends_left)
		TAILQ_REMOVE(&state->updates, member, queue);
	member->sends_left = sends;
	TAILQ_INSERT_HEAD(&state->updates, member, queue);
}

/* Puts a member's state before all other updates, to be sent about 3 log2 n times. */
void mem_announce(struct mem_state *state, struct member *member)
{
	announce(state, member, sends_for(state->all.count));
}

/* Takes an incarnation above one in which this proxy was reported as suspect, dead or different. */
static void refute(struct mem_state *state, uint64_t incarnation)
{
	state->self->info.incarnation = incarnation + 1;
	bc_count(state->ctx, "bulrushcleat_member_refutations_total", NULL, 1);
	bc_log(state->ctx, BC_LOG_INFO, "member_refuted", "{s:I}", "incarnation",
	       (json_int_t)state->self->info.incarnation);
	mem_announce(state, state->self);
}

static bool same_place(const struct mem_update *a, const struct mem_update *b)
{
	return strcmp(a->address, b->address) == 0 && strcmp(a->domain, b->domain) == 0 &&
	       strcmp(a->region, b->region) == 0 && a->leaving == b->leaving;
}

/*
 * An update that does not override what is known. The sender is told the known state once if it
 * considers a dead member alive, or if it is the member itself and has started again with a lower
 * incarnation: the member then hears of it and refutes. Of the same incarnation, the member itself
 * knows its address and failure domain better than a seed in the settings.
 */
static void apply_old(struct mem_state *state, const char *from, const struct mem_update *update,
		      struct member *member, uint64_t now_us)
{
	bool first_hand = strcmp(from, update->id) == 0;
	struct mem_update info = *update;

	if ((member->info.health == MEM_DEAD && update->health != MEM_DEAD) ||
	    (first_hand && update->incarnation < member->info.incarnation)) {
		announce(state, member, member->sends_left ? member->sends_left : 1);
		return;
	}
	if (!first_hand || update->incarnation != member->info.incarnation ||
	    same_place(update, &member->info))
		return;
	info.health = member->info.health;
	mem_set(state, member, &info, now_us);
	mem_announce(state, member);
}

/*
 * A report of death about a member that is alive here only makes it suspect. Usually the suspicion
 * has arrived before the report; otherwise, as after a healed partition, the member gets the time
 * to refute, and half of the fleet does not lose its duties for a moment. The first incarnation of
 * a member that is as the list says is no news; otherwise a fleet that starts has thousands of
 * them.
 */
static void apply_new(struct mem_state *state, const struct mem_update *update,
		      struct member *member, uint64_t now_us)
{
	struct mem_update info = *update;
	bool as_listed = !member->heard && member->info.health == MEM_ALIVE &&
			 info.health == MEM_ALIVE && same_place(&info, &member->info);

	if (info.health == MEM_DEAD && member->info.health == MEM_ALIVE)
		info.health = MEM_SUSPECT;
	mem_set(state, member, &info, now_us);
	member->heard = true;
	if (!as_listed)
		mem_announce(state, member);
}

static bool overrides(const struct mem_update *a, const struct mem_update *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->health > b->health;
}

/* Applies an update received from member `from`. The cost does not depend on the fleet's size. */
void mem_apply(struct mem_state *state, const char *from, const struct mem_update *update,
	       uint64_t now_us)
{
	const struct mem_update *self = &state->self->info;
	struct member *member;

	if (!mem_update_valid(update)) {
		bc_count(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
		return;
	}
	if (strcmp(update->id, self->id) == 0) {
		if (overrides(update, self))
			refute(state, update->incarnation);
		return;
	}
	member = mem_lookup(state, update->id);
	if (member && overrides(update, &member->info)) {
		apply_new(state, update, member, now_us);
		return;
	}
	if (member) {
		apply_old(state, from, update, member, now_us);
		return;
	}
	/* The death of an unknown member changes nothing; told on, it would never be forgotten. */
	if (update->health == MEM_DEAD)
		return;
	member = mem_insert(state, update, now_us);
	if (!member)
		return;
	member->heard = true;
	mem_announce(state, member);
}

static bool carries(const struct mem_message *message, const struct member *member)
{
	uint32_t i;

	for (i = 0; i < message->update_count; i++)
		if (strcmp(message->updates[i].id, member->info.id) == 0)
			return true;
	return false;
}

static bool carry(struct mem_message *message, const struct member *member)
{
	if (message->update_count == MEM_UPDATES_MAX || carries(message, member))
		return false;
	message->updates[message->update_count++] = member->info;
	return true;
}

/*
 * The most recent first, until they have been sent often enough: were sent ones put behind the
 * others, a death would wait for the hundreds of updates that the start of a fleet leaves behind.
 */
static void carry_updates(struct mem_state *state, struct mem_message *message)
{
	struct member *member = TAILQ_FIRST(&state->updates);

	while (member && message->update_count < MEM_UPDATES_MAX) {
		struct member *next = TAILQ_NEXT(member, queue);

		carry(message, member);
		member->sends_left--;
		if (!member->sends_left)
			TAILQ_REMOVE(&state->updates, member, queue);
		member = next;
	}
}

/* Adds members in rotation. The dead are left out, or their tombstones would be passed on. */
static void carry_members(struct mem_state *state, struct mem_message *message, uint32_t count)
{
	size_t steps = state->all.count;

	if (steps > 2 * MEM_UPDATES_MAX)
		steps = 2 * MEM_UPDATES_MAX;
	for (; steps > 0 && count > 0; steps--) {
		const struct member *member;

		if (state->sync_cursor >= state->all.count)
			state->sync_cursor = 0;
		member = state->all.items[state->sync_cursor++];
		if (member->info.health != MEM_DEAD && carry(message, member))
			count--;
	}
}

/*
 * Adds updates to a message and sends it: our own state, so that a receiver that does not know us
 * can answer; the state of `about` (or NULL); the receiver's own state if it is to refute it;
 * recent updates; members in rotation, as many as fit for a newcomer.
 */
void mem_send(struct mem_state *state, struct member *to, struct mem_message *message,
	      struct member *about, uint64_t now_us)
{
	bool newcomer = now_us - to->known_us < NEWCOMER_US;

	message->update_count = 0;
	carry(message, state->self);
	if (about)
		carry(message, about);
	if (to->info.health != MEM_ALIVE)
		carry(message, to);
	carry_updates(state, message);
	carry_members(state, message, newcomer ? MEM_UPDATES_MAX : SYNC_FEW);
	bc_count(state->ctx, "bulrushcleat_member_messages_total", NULL, 1);
	state->ops->send(state->data, to->info.id, to->info.address, message);
}
