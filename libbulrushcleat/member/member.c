#include "member/member_internal.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

/*
 * Interval of pings to dead members, so that the sides of a healed partition find each other again.
 * One member at a time, since a failure domain may stay down.
 */
#define DEAD_PING_INTERVAL_US (5 * BC_US_PER_S)
/* A longer gap between calls is a pause of this process, in which it received no messages. */
#define STALL_MIN_US BC_US_PER_S

/*
 * Returns the local time in microseconds: the caller's clock without the pauses of this process.
 * After a pause, it would otherwise declare members dead whose answers it did not read in time.
 */
static uint64_t local_time_us(struct mem_state *state, uint64_t now_us)
{
	if (!state->clock_started) {
		state->clock_started = true;
		state->next_probe_us = now_us + bc_random_below(state->ctx, MEM_PERIOD_US);
		state->next_dead_ping_us =
			now_us + bc_random_below(state->ctx, DEAD_PING_INTERVAL_US);
	} else if (now_us > state->last_call_us + STALL_MIN_US) {
		state->stalled_us += now_us - state->last_call_us;
		bc_counter_add(state->ctx, "bulrushcleat_member_stalls_total", NULL, 1);
	}
	state->last_call_us = now_us;
	return now_us - state->stalled_us;
}

static void report_changes(struct mem_state *state)
{
	if (!state->changed)
		return;
	state->changed = false;
	bc_gauge_set(state->ctx, "bulrushcleat_members_live", NULL, state->live);
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
 * Creates the membership with this proxy as its only member. Returns NULL if `self` is not valid or
 * when out of memory. A process that restarts on the same VM passes a higher incarnation than
 * before; with a lower one its updates count only after others have sent it the one they know.
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
	/* Acks of pings sent by an earlier process on this VM must not match. */
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
	free(state->probe_order.items);
	free(state->dead.items);
	mem_duties_destroy(state->duties);
	apr_pool_destroy(state->pool);
	free(state);
}

/*
 * Adds a member from the platform's list or a seed, which is kept and pinged occasionally even when
 * dead. Invalid ones are counted and ignored. No update about it is sent: the member sends its own.
 */
void mem_add(struct mem_state *state, const struct mem_update *member, uint64_t now_us)
{
	uint64_t local_us = local_time_us(state, now_us);
	struct mem_update info = *member;
	struct member *known;

	info.health = MEM_ALIVE;
	if (!mem_update_valid(&info)) {
		bc_counter_add(state->ctx, "bulrushcleat_member_refused_total", NULL, 1);
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
	mem_set_state(state, member, &info, local_us);
	mem_queue_update(state, member);
}

/* Removes a member from the platform's list and considers it dead until it refutes that. */
void mem_remove(struct mem_state *state, const char *id, uint64_t now_us)
{
	uint64_t local_us = local_time_us(state, now_us);
	struct member *member = mem_lookup(state, id);

	if (!member || member == state->self)
		return;
	mem_set_listed(state, member, false, local_us);
	if (member->info.health != MEM_DEAD)
		set_health(state, member, MEM_DEAD, local_us);
	report_changes(state);
}

/* Reports to the others that this proxy is leaving. It stays a member until it stops. */
void mem_leave(struct mem_state *state, uint64_t now_us)
{
	uint64_t local_us = local_time_us(state, now_us);
	struct mem_update info = state->self->info;

	if (info.leaving)
		return;
	info.leaving = true;
	info.incarnation++;
	mem_set_state(state, state->self, &info, local_us);
	mem_queue_update(state, state->self);
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

/* Pings the target for another member. on_ack() relays its ack with the requester's sequence. */
static void on_ping_request(struct mem_state *state, struct member *from,
			    const struct mem_message *message, uint64_t local_us)
{
	struct member *target = mem_lookup(state, message->target);
	uint64_t sequence = ++state->sequence;
	struct mem_relay *relay = &state->relays[sequence % MEM_RELAYS_MAX];

	if (!target || target == state->self)
		return;
	relay->sequence = sequence;
	relay->requester_sequence = message->sequence;
	memcpy(relay->requester, from->info.id, sizeof(relay->requester));
	ping(state, target, sequence, local_us);
}

static void on_ack(struct mem_state *state, const struct member *from,
		   const struct mem_message *message, uint64_t local_us)
{
	struct mem_probe *probe = &state->probe;
	struct mem_relay *relay = &state->relays[message->sequence % MEM_RELAYS_MAX];
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
		ack(state, requester, relay->requester_sequence, local_us);
}

/*
 * Handles a message from the authenticated member `from`. A ping is answered at once. A message
 * from an unknown sender is dropped if it has no valid update about the sender, since there is no
 * address to answer to.
 */
void mem_receive(struct mem_state *state, const char *from, const struct mem_message *message,
		 uint64_t now_us)
{
	uint64_t local_us = local_time_us(state, now_us);
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

/* Asks MEM_INDIRECT_PROBES random members to ping the target of the current probe. */
static void send_ping_requests(struct mem_state *state, uint64_t local_us)
{
	const struct mem_update *helpers[MEM_INDIRECT_PROBES + 1];
	struct mem_message message = {.kind = MEM_PING_REQUEST, .sequence = state->probe.sequence};
	/* One more than needed, since the target itself may be among them. */
	size_t count = mem_sample(state, MEM_INDIRECT_PROBES + 1, helpers);
	size_t asked = 0;
	size_t i;

	state->probe.indirect = true;
	memcpy(message.target, state->probe.target->info.id, sizeof(message.target));
	for (i = 0; i < count && asked < MEM_INDIRECT_PROBES; i++) {
		struct member *helper = mem_lookup(state, helpers[i]->id);

		if (helper == state->probe.target)
			continue;
		mem_send(state, helper, &message, state->probe.target, local_us);
		asked++;
	}
}

/* Marks a member as suspect and pings it, so that it learns of that at once and can refute it. */
static void mark_suspect(struct mem_state *state, struct member *member, uint64_t local_us)
{
	if (member->info.health != MEM_ALIVE)
		return;
	set_health(state, member, MEM_SUSPECT, local_us);
	ping(state, member, ++state->sequence, local_us);
}

static void start_probe(struct mem_state *state, uint64_t local_us)
{
	struct mem_probe *probe = &state->probe;

	probe->target = mem_next_probe_target(state);
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
		send_ping_requests(state, local_us);
	if (local_us < state->next_probe_us)
		return;
	state->probe.target = NULL;
	if (target)
		mark_suspect(state, target, local_us);
	start_probe(state, local_us);
}

static void expire_suspects(struct mem_state *state, uint64_t local_us)
{
	struct member *member;

	while ((member = TAILQ_FIRST(&state->suspects)) != NULL &&
	       local_us - member->timeout_start_us >= MEM_SUSPICION_US)
		set_health(state, member, MEM_DEAD, local_us);
}

static void expire_tombstones(struct mem_state *state, uint64_t local_us)
{
	struct member *member;

	while ((member = TAILQ_FIRST(&state->tombstones)) != NULL &&
	       local_us - member->timeout_start_us >= MEM_TOMBSTONE_US) {
		if (!member->listed) {
			mem_forget(state, member);
			continue;
		}
		TAILQ_REMOVE(&state->tombstones, member, timeout_link);
		member->timeout_pending = false;
	}
}

/* Pings the next of the dead members that are in the platform's list or seeds. */
static void ping_dead(struct mem_state *state, uint64_t local_us)
{
	if (local_us < state->next_dead_ping_us)
		return;
	state->next_dead_ping_us = local_us + DEAD_PING_INTERVAL_US;
	if (state->dead.count == 0)
		return;
	state->dead_cursor = (state->dead_cursor + 1) % state->dead.count;
	ping(state, state->dead.items[state->dead_cursor], ++state->sequence, local_us);
}

/*
 * Runs what is due; to be called at least every 50 ms. The cost is constant plus a step for each
 * suspicion or tombstone that expires; it does not grow with the number of members.
 */
void mem_tick(struct mem_state *state, uint64_t now_us)
{
	uint64_t local_us = local_time_us(state, now_us);

	expire_suspects(state, local_us);
	expire_tombstones(state, local_us);
	run_probe(state, local_us);
	ping_dead(state, local_us);
	report_changes(state);
}

/* Returns the number of known members, including this proxy and dead ones. */
size_t mem_count(const struct mem_state *state)
{
	return state->all.count;
}

/*
 * Returns the member at an index below mem_count(), or NULL. Valid until the next call that may
 * change the membership.
 */
const struct mem_update *mem_at(const struct mem_state *state, size_t index)
{
	return index < state->all.count ? &state->all.items[index]->info : NULL;
}

/* Returns a member by its id, or NULL. Valid as long as the result of mem_at(). */
const struct mem_update *mem_find(const struct mem_state *state, const char *id)
{
	const struct member *member = mem_lookup(state, id);

	return member ? &member->info : NULL;
}

/* Returns the number of changes of the live members so far. */
uint64_t mem_version(const struct mem_state *state)
{
	return state->version;
}

/* Returns the number of members that are alive or suspect and not leaving, including this proxy. */
uint32_t mem_live_count(const struct mem_state *state)
{
	return state->live;
}

/*
 * Returns up to `count` different live members other than this one in `out`, and how many. They are
 * consecutive in the shuffled probe order from a random position, so that the cost is proportional
 * to `count` unless most members are leaving.
 */
size_t mem_sample(struct mem_state *state, size_t count, const struct mem_update **out)
{
	size_t total = state->probe_order.count;
	size_t start = bc_random_below(state->ctx, total);
	size_t found = 0;
	size_t i;

	for (i = 0; i < total && found < count; i++) {
		const struct member *member = state->probe_order.items[(start + i) % total];

		if (mem_is_live(&member->info))
			out[found++] = &member->info;
	}
	return found;
}
