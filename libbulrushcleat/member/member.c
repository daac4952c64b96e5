#include "member/member_internal.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

/* So that a healed partition joins again; one member at a time, since a domain may stay down. */
#define DEAD_PING_US (5 * BC_US_PER_S)
/* A longer gap between calls is a pause of this process, in which it could hear nobody. */
#define STALL_US BC_US_PER_S

/*
 * Local time in microseconds: the caller's clock without the pauses of this process. A process that
 * wakes up would otherwise hold everyone for dead whose answer it could not read in time.
 */
static uint64_t advance(struct mem_state *state, uint64_t now_us)
{
	if (!state->ticked) {
		state->ticked = true;
		state->next_probe_us = now_us + bc_random_below(state->ctx, MEM_PERIOD_US);
		state->next_dead_us = now_us + bc_random_below(state->ctx, DEAD_PING_US);
	} else if (now_us > state->last_us + STALL_US) {
		state->stall_us += now_us - state->last_us;
		bc_count(state->ctx, "bulrushcleat_member_stalls_total", NULL, 1);
	}
	state->last_us = now_us;
	return now_us - state->stall_us;
}

static void report_changes(struct mem_state *state)
{
	if (!state->changed)
		return;
	state->changed = false;
	bc_gauge(state->ctx, "bulrushcleat_members_live", NULL, state->live);
	if (state->ops->changed)
		state->ops->changed(state->data);
}

static void describe_metrics(struct bc_ctx *ctx)
{
	bc_metric_describe(ctx, "bulrushcleat_members_live", "Live proxies, this one included.");
	bc_metric_describe(ctx, "bulrushcleat_member_changes_total",
			   "Changes of other members' state as seen here.");
	bc_metric_describe(ctx, "bulrushcleat_member_messages_total", "Membership messages sent.");
	bc_metric_describe(ctx, "bulrushcleat_member_refutations_total",
			   "Reports of this proxy's death that it has refuted.");
	bc_metric_describe(ctx, "bulrushcleat_member_refused_total",
			   "Invalid updates and members over the bound.");
	bc_metric_describe(ctx, "bulrushcleat_member_stalls_total",
			   "Pauses of this process of over a second.");
}

/*
 * Creates the membership with this proxy as its only member. NULL if `self` is not valid or when
 * out of memory. A process that restarts on the same VM gives a higher incarnation than before;
 * with a lower one it is heard only after others have told it theirs.
 */
struct mem_state *mem_create(struct bc_ctx *ctx, const struct mem_update *self,
			     const struct mem_ops *ops, void *data)
{
	struct mem_state *state;

	if (!mem_update_valid(self) || self->health != MEM_ALIVE) {
		bc_fail(ctx, BC_EINVAL, "own id, address or incarnation is not valid");
		return NULL;
	}
	state = calloc(1, sizeof(*state));
	if (!state)
		return NULL;
	apr_initialize();
	state->ctx = ctx;
	state->ops = ops;
	state->data = data;
	TAILQ_INIT(&state->updates);
	TAILQ_INIT(&state->suspects);
	TAILQ_INIT(&state->tombstones);
	apr_pool_create(&state->pool, NULL);
	state->by_id = apr_hash_make(state->pool);
	state->duties = mem_duties_create();
	/* Answers to pings of an earlier process of this VM must not match. */
	state->sequence = bc_random(ctx);
	describe_metrics(ctx);
	if (!state->duties || !mem_insert(state, self, 0)) {
		mem_destroy(state);
		return NULL;
	}
	return state;
}

/* Frees the membership. NULL is allowed. */
void mem_destroy(struct mem_state *state)
{
	size_t i;

	if (!state)
		return;
	for (i = 0; i < state->all.count; i++)
		free(state->all.items[i]);
	free(state->all.items);
	free(state->order.items);
	free(state->dead.items);
	mem_duties_destroy(state->duties);
	apr_pool_destroy(state->pool);
	free(state);
}

/*
 * Adds a member of the platform's list or a seed, which is kept and pinged now and then even when
 * dead. Invalid ones are counted and ignored. It is not told to others: the member does that.
 */
void mem_add(struct mem_state *state, const struct mem_update *member, uint64_t now_us)
{
	uint64_t local_us = advance(state, now_us);
	struct mem_update info = *member;
	struct member *known;

	info.health = MEM_ALIVE;
	if (!mem_update_valid(&info)) {
		bc_count(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
		return;
	}
	known = mem_lookup(state, info.id);
	if (!known)
		known = mem_insert(state, &info, local_us);
	if (known)
		mem_set_listed(state, known, true, local_us);
	report_changes(state);
}

static void set_health(struct mem_state *state, struct member *member, enum mem_health health,
		       uint64_t local_us)
{
	struct mem_update info = member->info;

	info.health = health;
	mem_set(state, member, &info, local_us);
	mem_announce(state, member);
}

/* Takes a member off the list and holds it for dead, unless it shows otherwise. */
void mem_remove(struct mem_state *state, const char *id, uint64_t now_us)
{
	uint64_t local_us = advance(state, now_us);
	struct member *member = mem_lookup(state, id);

	if (!member || member == state->self)
		return;
	mem_set_listed(state, member, false, local_us);
	if (member->info.health != MEM_DEAD)
		set_health(state, member, MEM_DEAD, local_us);
	report_changes(state);
}

/* Announces that this proxy is leaving; it stays a member until it stops. */
void mem_leave(struct mem_state *state, uint64_t now_us)
{
	uint64_t local_us = advance(state, now_us);
	struct mem_update info = state->self->info;

	if (info.leaving)
		return;
	info.leaving = true;
	info.incarnation++;
	mem_set(state, state->self, &info, local_us);
	mem_announce(state, state->self);
	report_changes(state);
}

static void ping(struct mem_state *state, struct member *target, uint64_t sequence,
		 uint64_t local_us)
{
	struct mem_message message = {.kind = MEM_PING, .sequence = sequence};

	mem_send(state, target, &message, NULL, local_us);
}

static void ack(struct mem_state *state, struct member *to, uint64_t sequence, uint64_t local_us)
{
	struct mem_message message = {.kind = MEM_ACK, .sequence = sequence};

	mem_send(state, to, &message, NULL, local_us);
}

/* Pings the target for another member; its ack is passed on under the requester's sequence. */
static void on_ping_request(struct mem_state *state, struct member *from,
			    const struct mem_message *message, uint64_t local_us)
{
	struct member *target = mem_lookup(state, message->target);
	uint64_t sequence = ++state->sequence;
	struct mem_relay *relay = &state->relays[sequence % MEM_RELAYS];

	if (!target || target == state->self)
		return;
	relay->sequence = sequence;
	relay->their_sequence = message->sequence;
	memcpy(relay->requester, from->info.id, sizeof(relay->requester));
	ping(state, target, sequence, local_us);
}

static void on_ack(struct mem_state *state, const struct member *from,
		   const struct mem_message *message, uint64_t local_us)
{
	struct mem_probe *probe = &state->probe;
	struct mem_relay *relay = &state->relays[message->sequence % MEM_RELAYS];
	struct member *requester;

	if (probe->target && message->sequence == probe->sequence) {
		if (from == probe->target || probe->indirect)
			probe->target = NULL;
		return;
	}
	if (!relay->requester[0] || relay->sequence != message->sequence)
		return;
	requester = mem_lookup(state, relay->requester);
	relay->requester[0] = '\0';
	if (requester)
		ack(state, requester, relay->their_sequence, local_us);
}

/*
 * Takes a message from the authenticated member `from`. A ping is answered at once. A message
 * without a valid update about an unknown sender is dropped: there is no address to answer to.
 */
void mem_receive(struct mem_state *state, const char *from, const struct mem_message *message,
		 uint64_t now_us)
{
	uint64_t local_us = advance(state, now_us);
	struct member *sender;
	uint32_t i;

	if (message->update_count > MEM_UPDATES_MAX || strcmp(from, state->self->info.id) == 0)
		return;
	for (i = 0; i < message->update_count; i++)
		mem_apply(state, from, &message->updates[i], local_us);
	sender = mem_lookup(state, from);
	if (sender) {
		if (message->kind == MEM_PING)
			ack(state, sender, message->sequence, local_us);
		else if (message->kind == MEM_PING_REQUEST)
			on_ping_request(state, sender, message, local_us);
		else
			on_ack(state, sender, message, local_us);
	}
	report_changes(state);
}

static void ask_others(struct mem_state *state, uint64_t local_us)
{
	const struct mem_update *helpers[MEM_INDIRECT + 1];
	struct mem_message message = {.kind = MEM_PING_REQUEST, .sequence = state->probe.sequence};
	/* One more than needed, since the target itself may be among them. */
	size_t count = mem_sample(state, MEM_INDIRECT + 1, helpers);
	size_t asked = 0;
	size_t i;

	state->probe.indirect = true;
	memcpy(message.target, state->probe.target->info.id, sizeof(message.target));
	for (i = 0; i < count && asked < MEM_INDIRECT; i++) {
		struct member *helper = mem_lookup(state, helpers[i]->id);

		if (helper == state->probe.target)
			continue;
		mem_send(state, helper, &message, state->probe.target, local_us);
		asked++;
	}
}

/* The ping that follows tells the suspect at once, so that it need not wait to hear of it. */
static void suspect(struct mem_state *state, struct member *member, uint64_t local_us)
{
	if (member->info.health != MEM_ALIVE)
		return;
	set_health(state, member, MEM_SUSPECT, local_us);
	ping(state, member, ++state->sequence, local_us);
}

static void start_probe(struct mem_state *state, uint64_t local_us)
{
	struct mem_probe *probe = &state->probe;

	probe->target = mem_next_in_order(state);
	probe->sequence = ++state->sequence;
	probe->start_us = local_us;
	probe->indirect = false;
	state->next_probe_us = local_us + MEM_PERIOD_US;
	if (probe->target)
		ping(state, probe->target, probe->sequence, local_us);
}

static void run_probe(struct mem_state *state, uint64_t local_us)
{
	struct member *target = state->probe.target;

	if (target && !state->probe.indirect &&
	    local_us - state->probe.start_us >= MEM_PING_TIMEOUT_US)
		ask_others(state, local_us);
	if (local_us < state->next_probe_us)
		return;
	state->probe.target = NULL;
	if (target)
		suspect(state, target, local_us);
	start_probe(state, local_us);
}

static void expire_suspects(struct mem_state *state, uint64_t local_us)
{
	struct member *member;

	while ((member = TAILQ_FIRST(&state->suspects)) != NULL &&
	       local_us - member->state_us >= MEM_SUSPICION_US)
		set_health(state, member, MEM_DEAD, local_us);
}

static void expire_tombstones(struct mem_state *state, uint64_t local_us)
{
	struct member *member;

	while ((member = TAILQ_FIRST(&state->tombstones)) != NULL &&
	       local_us - member->state_us >= MEM_TOMBSTONE_US) {
		if (!member->listed) {
			mem_delete(state, member);
			continue;
		}
		TAILQ_REMOVE(&state->tombstones, member, timing);
		member->timed = false;
	}
}

static void ping_dead(struct mem_state *state, uint64_t local_us)
{
	if (local_us < state->next_dead_us)
		return;
	state->next_dead_us = local_us + DEAD_PING_US;
	if (state->dead.count == 0)
		return;
	state->dead_cursor = (state->dead_cursor + 1) % state->dead.count;
	ping(state, state->dead.items[state->dead_cursor], ++state->sequence, local_us);
}

/*
 * Runs what is due; to be called at least every 50 ms. Costs a fixed amount, plus one for each
 * member whose suspicion or oblivion is due; it does not grow with the number of members.
 */
void mem_tick(struct mem_state *state, uint64_t now_us)
{
	uint64_t local_us = advance(state, now_us);

	expire_suspects(state, local_us);
	expire_tombstones(state, local_us);
	run_probe(state, local_us);
	ping_dead(state, local_us);
	report_changes(state);
}

/* The number of known members, this proxy and those held for dead included. */
size_t mem_count(const struct mem_state *state)
{
	return state->all.count;
}

/* The member at an index below mem_count(), or NULL. Valid until the next call that may change it.
 */
const struct mem_update *mem_at(const struct mem_state *state, size_t index)
{
	return index < state->all.count ? &state->all.items[index]->info : NULL;
}

/* A member by its id, or NULL. Valid as long as that of mem_at(). */
const struct mem_update *mem_find(const struct mem_state *state, const char *id)
{
	const struct member *member = mem_lookup(state, id);

	return member ? &member->info : NULL;
}

/* The number of changes of the live members so far. */
uint64_t mem_version(const struct mem_state *state)
{
	return state->version;
}

/* The number of members that are alive or suspect and not leaving, this proxy included. */
uint32_t mem_live_count(const struct mem_state *state)
{
	return state->live;
}

/*
 * Up to `count` different live members other than this one; returns how many. They are neighbours
 * in the shuffled order from a random place on, so that a call costs as much as members are asked
 * for, unless most are leaving.
 */
size_t mem_sample(struct mem_state *state, size_t count, const struct mem_update **out)
{
	size_t total = state->order.count;
	size_t start = bc_random_below(state->ctx, total);
	size_t found = 0;
	size_t i;

	for (i = 0; i < total && found < count; i++) {
		const struct member *member = state->order.items[(start + i) % total];

		if (mem_is_live(&member->info))
			out[found++] = &member->info;
	}
	return found;
}
