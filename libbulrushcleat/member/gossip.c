#include "member/member_internal.h"

#include <string.h>

/* SWIM sends an update a multiple of log2(n) times, to reach all n members most likely. */
#define SENDS_PER_LOG2_MEMBERS 3U
/* Members repeated in every message in rotation, so that a lost update is sent again in time. */
#define ROTATION_MEMBERS 2U
/*
 * Messages to a member that joined less than this ago are filled up with members it may not know.
 * It receives about 52 of them a second, in this time three times 5,200. A fleet of 5,200 members
 * needs that many, since the senders repeat each other's.
 */
#define NEW_MEMBER_US (300 * BC_US_PER_S)
/* An incarnation is raised by one at each refutation; a value near 2^64 could not be refuted. */
#define INCARNATION_MAX ((uint64_t)INT64_MAX)

/* Whether a failure domain or region is valid; that of a seed may be empty until it answers. */
static bool location_valid(const char *name)
{
	return name[0] == '\0' || bc_id_valid(name);
}

/* Whether an update could be forwarded: the bounds are those of wire_pack(). */
bool mem_update_valid(const struct mem_update *update)
{
	return bc_id_valid(update->id) && update->address[0] && location_valid(update->domain) &&
	       location_valid(update->region) && (unsigned int)update->health <= MEM_DEAD &&
	       update->incarnation <= INCARNATION_MAX;
}

static uint32_t sends_needed(size_t members)
{
	uint32_t log2 = 1;

	while (members >> log2)
		log2++;
	return SENDS_PER_LOG2_MEMBERS * log2;
}

static void queue_update(struct mem_state *state, struct member *member, uint32_t sends)
{
	if (member->sends_left)
		TAILQ_REMOVE(&state->updates, member, queue);
	member->sends_left = sends;
	TAILQ_INSERT_HEAD(&state->updates, member, queue);
}

/* Queues a member's state before all other updates, to be sent about 3 * log2(n) times. */
void mem_queue_update(struct mem_state *state, struct member *member)
{
	queue_update(state, member, sends_needed(state->all.count));
}

/* Raises this proxy's incarnation above one in which it was reported suspect, dead or different. */
static void refute(struct mem_state *state, uint64_t incarnation)
{
	state->self->info.incarnation = incarnation + 1;
	bc_counter_add(state->ctx, "bulrushcleat_member_refutations_total", NULL, 1);
	bc_log(state->ctx, BC_LOG_INFO, "member_refuted", "{s:I}", "incarnation",
	       (json_int_t)state->self->info.incarnation);
	mem_queue_update(state, state->self);
}

static bool same_attributes(const struct mem_update *a, const struct mem_update *b)
{
	return strcmp(a->address, b->address) == 0 && strcmp(a->domain, b->domain) == 0 &&
	       strcmp(a->region, b->region) == 0 && a->leaving == b->leaving;
}

/*
 * Handles an update that does not override the known state. The known state is sent at least once
 * more if the update considers a dead member alive, or if it comes from the member itself after a
 * restart with a lower incarnation: the member then receives it and refutes it. With the same
 * incarnation, the member's own address and failure domain replace those of the list or a seed.
 */
static void apply_stale(struct mem_state *state, const char *from, const struct mem_update *update,
			struct member *member, uint64_t now_us)
{
	bool from_member = strcmp(from, update->id) == 0;
	struct mem_update info = *update;

	if ((member->info.health == MEM_DEAD && update->health != MEM_DEAD) ||
	    (from_member && update->incarnation < member->info.incarnation)) {
		queue_update(state, member, member->sends_left ? member->sends_left : 1);
		return;
	}
	if (!from_member || update->incarnation != member->info.incarnation ||
	    same_attributes(update, &member->info))
		return;
	info.health = member->info.health;
	mem_set_state(state, member, &info, now_us);
	mem_queue_update(state, member);
}

/*
 * Applies an update that overrides the known state. A member that is alive here and is reported
 * dead only becomes suspect. Usually the suspicion has arrived before the report; otherwise, as
 * after a healed partition, the member gets the time to refute, and half of the fleet does not lose
 * its duties for a moment. The first update of a member that only confirms the platform's list is
 * not forwarded; a fleet that starts would queue thousands of them.
 */
static void apply_newer(struct mem_state *state, const struct mem_update *update,
			struct member *member, uint64_t now_us)
{
	struct mem_update info = *update;
	bool matches_list = !member->update_received && member->info.health == MEM_ALIVE &&
			    info.health == MEM_ALIVE && same_attributes(&info, &member->info);

	if (info.health == MEM_DEAD && member->info.health == MEM_ALIVE)
		info.health = MEM_SUSPECT;
	mem_set_state(state, member, &info, now_us);
	member->update_received = true;
	if (!matches_list)
		mem_queue_update(state, member);
}

static bool overrides(const struct mem_update *a, const struct mem_update *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->health > b->health;
}

/* Applies an update received from member `from`. The cost is independent of the fleet size. */
void mem_apply(struct mem_state *state, const char *from, const struct mem_update *update,
	       uint64_t now_us)
{
	const struct mem_update *self = &state->self->info;
	struct member *member;

	if (!mem_update_valid(update)) {
		bc_counter_add(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
		return;
	}
	if (strcmp(update->id, self->id) == 0) {
		if (overrides(update, self))
			refute(state, update->incarnation);
		return;
	}
	member = mem_lookup(state, update->id);
	if (member && overrides(update, &member->info)) {
		apply_newer(state, update, member, now_us);
		return;
	}
	if (member) {
		apply_stale(state, from, update, member, now_us);
		return;
	}
	/* The death of an unknown member is ignored; if forwarded, it would circulate for ever. */
	if (update->health == MEM_DEAD)
		return;
	member = mem_insert(state, update, now_us);
	if (!member)
		return;
	member->update_received = true;
	mem_queue_update(state, member);
}

static bool has_update(const struct mem_message *message, const struct member *member)
{
	uint32_t i;

	for (i = 0; i < message->update_count; i++)
		if (strcmp(message->updates[i].id, member->info.id) == 0)
			return true;
	return false;
}

/* Adds a member's state. Returns false if the message is full or has it already. */
static bool add_update(struct mem_message *message, const struct member *member)
{
	if (message->update_count == MEM_UPDATES_MAX || has_update(message, member))
		return false;
	message->updates[message->update_count++] = member->info;
	return true;
}

/*
 * Adds queued updates, the most recent first, until each has been sent often enough. If they moved
 * to the end of the queue after a send, a death would wait behind the hundreds of updates that the
 * start of a fleet leaves in it.
 */
static void add_queued_updates(struct mem_state *state, struct mem_message *message)
{
	struct member *member = TAILQ_FIRST(&state->updates);

	while (member && message->update_count < MEM_UPDATES_MAX) {
		struct member *next = TAILQ_NEXT(member, queue);

		add_update(message, member);
		member->sends_left--;
		if (!member->sends_left)
			TAILQ_REMOVE(&state->updates, member, queue);
		member = next;
	}
}

/* Adds members in rotation. Dead ones are left out, or their tombstones would be forwarded. */
static void add_rotating_members(struct mem_state *state, struct mem_message *message,
				 uint32_t count)
{
	size_t steps = state->all.count;

	if (steps > 2 * MEM_UPDATES_MAX)
		steps = 2 * MEM_UPDATES_MAX;
	for (; steps > 0 && count > 0; steps--) {
		const struct member *member;

		if (state->rotation_cursor >= state->all.count)
			state->rotation_cursor = 0;
		member = state->all.items[state->rotation_cursor++];
		if (member->info.health != MEM_DEAD && add_update(message, member))
			count--;
	}
}

/*
 * Whether messages to the member are filled up. In another region they are not: the link between
 * regions is narrow and billed by volume, and the member learns as much from those of its own.
 */
static bool fills_messages(const struct mem_state *state, const struct member *to, uint64_t now_us)
{
	if (now_us - to->joined_us >= NEW_MEMBER_US)
		return false;
	return !to->info.region[0] || strcmp(to->info.region, state->self->info.region) == 0;
}

/*
 * Adds updates to a message and sends it: this proxy's state, so that a receiver that does not know
 * it can answer; the state of `subject`, which may be NULL; the receiver's state if it is suspect
 * or dead, so that it can refute it; queued updates; and members in rotation, as many as fit if the
 * receiver is a new member of this region.
 */
void mem_send(struct mem_state *state, struct member *to, struct mem_message *message,
	      struct member *subject, uint64_t now_us)
{
	message->update_count = 0;
	add_update(message, state->self);
	if (subject)
		add_update(message, subject);
	if (to->info.health != MEM_ALIVE)
		add_update(message, to);
	add_queued_updates(state, message);
	add_rotating_members(state, message,
			     fills_messages(state, to, now_us) ? MEM_UPDATES_MAX
							       : ROTATION_MEMBERS);
	bc_counter_add(state->ctx, "bulrushcleat_member_messages_total", NULL, 1);
	state->ops->send(state->data, to->info.id, to->info.address, message);
}
