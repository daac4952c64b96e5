#include "limit/limit_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* Least time between two plans of a customer that refusals cause. */
#define PLAN_AGAIN_US (20 * BC_US_PER_MS)

/* Creates the state of a proxy without customers, or returns NULL if memory is exhausted. */
struct lim_state *lim_create(struct bc_ctx *ctx, const char *proxy, const struct lim_ops *ops,
			     void *data)
{
	struct lim_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	snprintf(state->proxy, sizeof(state->proxy), "%s", proxy);
	state->customers = apr_hash_make(state->pool);
	state->peers = apr_hash_make(state->pool);
	state->calls = apr_hash_make(state->pool);
	state->timers = bc_timers_create();
	if (!state->timers) {
		apr_pool_destroy(state->pool);
		free(state);
		return NULL;
	}
	APR_RING_INIT(&state->customer_ring, lim_customer, link);
	APR_RING_INIT(&state->peer_ring, lim_peer, link);
	state->lease.call.kind = LIM_CALL_LEASE;
	return state;
}

/* Frees a customer. */
static void customer_free(struct lim_state *state, struct lim_customer *customer)
{
	apr_hash_set(state->customers, customer->name, APR_HASH_KEY_STRING, NULL);
	APR_RING_REMOVE(customer, link);
	bc_timer_cancel(state->timers, &customer->timer);
	if (customer->needs_lease)
		state->lease.users--;
	json_decref(customer->value);
	json_decref(customer->sent_value);
	free(customer);
}

/* Frees the state without giving anything back. NULL is allowed. */
void lim_destroy(struct lim_state *state)
{
	struct lim_customer *customer;
	struct lim_customer *next;
	struct lim_peer *peer;
	struct lim_peer *next_peer;

	if (!state)
		return;
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = next) {
		next = APR_RING_NEXT(customer, link);
		customer_free(state, customer);
	}
	for (peer = APR_RING_FIRST(&state->peer_ring);
	     peer != APR_RING_SENTINEL(&state->peer_ring, lim_peer, link); peer = next_peer) {
		next_peer = APR_RING_NEXT(peer, link);
		free(peer);
	}
	bc_timers_destroy(state->timers);
	apr_pool_destroy(state->pool);
	free(state);
}

static struct lim_customer *customer_get(const struct lim_state *state, const char *name)
{
	return apr_hash_get(state->customers, name, APR_HASH_KEY_STRING);
}

/* Whether this proxy holds a row of the customer or may do so after a lost reply. */
static bool customer_holds(const struct lim_customer *customer)
{
	return customer->row.base + customer->row.extra + customer->row.wants > 0 ||
	       customer->unresolved || customer->call.id;
}

/* Makes the call that is due; forgets a customer without limit, row and connections. */
static void on_due(void *data, uint64_t now_us)
{
	struct lim_customer *customer = data;
	struct lim_state *state = customer->state;

	lim_shares_step(state, customer, now_us);
	if (!customer->limit && !customer->in_use && !customer_holds(customer))
		customer_free(state, customer);
	else
		lim_shares_due(state, customer, now_us);
}

/* Adds a customer that nothing is known of; NULL if memory is exhausted. */
static struct lim_customer *customer_add(struct lim_state *state, const char *name)
{
	struct lim_customer *customer = calloc(1, sizeof(*customer));

	if (!customer)
		return NULL;
	customer->state = state;
	bc_timer_init(&customer->timer, on_due, customer);
	snprintf(customer->name, sizeof(customer->name), "%s", name);
	customer->cap_base = LIM_NO_CAP;
	customer->cap_extra = LIM_NO_CAP;
	customer->shed_cap = LIM_NO_CAP;
	customer->plan_due_us = LIM_NEVER;
	customer->read_due_us = LIM_NEVER;
	customer->call.kind = LIM_CALL_SHARES;
	customer->call.owner = customer;
	APR_RING_INSERT_TAIL(&state->customer_ring, customer, lim_customer, link);
	apr_hash_set(state->customers, customer->name, APR_HASH_KEY_STRING, customer);
	return customer;
}

/*
 * Sets a customer's entitlement. When it is lowered, the rows are read again and lowered first;
 * with 0, the customer is forgotten once its row is given back and nothing is in use.
 */
void lim_customer_set(struct lim_state *state, const char *customer, uint32_t limit)
{
	struct lim_customer *held = customer_get(state, customer);

	if (!held && limit)
		held = customer_add(state, customer);
	if (!held || held->limit == limit)
		return;
	if (limit < held->limit && customer_holds(held))
		held->read_due_us = 0;
	if (limit > held->limit || customer_holds(held))
		held->plan_due_us = 0;
	held->limit = limit;
	/* The next tick looks at it, also to forget it. */
	bc_timer_set(state->timers, &held->timer, 0);
}

/* Sets the entry VMs in the platform's list. A later call must not give an older list. */
void lim_fleet_set(struct lim_state *state, const char *const *proxies, size_t count)
{
	struct lim_peer *peer;
	size_t i;

	for (peer = APR_RING_FIRST(&state->peer_ring);
	     peer != APR_RING_SENTINEL(&state->peer_ring, lim_peer, link);
	     peer = APR_RING_NEXT(peer, link))
		peer->listed = false;
	for (i = 0; i < count; i++) {
		peer = lim_peer_get(state, proxies[i]);
		if (!peer)
			continue;
		peer->listed = true;
		peer->was_listed = true;
		peer->absent_since_us = 0;
	}
	peer = lim_peer_get(state, state->proxy);
	state->listed = peer && peer->listed;
	state->fleet = (uint32_t)count;
}

/* Asks for more after a refusal, at once unless it was asked a moment ago. */
static void refused(struct lim_state *state, struct lim_customer *customer, uint32_t share,
		    uint64_t now_us)
{
	customer->refused++;
	customer->refused_us = now_us;
	customer->refused_share = share;
	customer->waiting = true;
	bc_count(state->ctx, "bulrushcleat_limit_refused_total", NULL, 1);
	if (!customer->planned_us || now_us - customer->planned_us >= PLAN_AGAIN_US) {
		customer->plan_due_us = now_us;
		lim_shares_step(state, customer, now_us);
	} else if (customer->plan_due_us > customer->planned_us + PLAN_AGAIN_US) {
		customer->plan_due_us = customer->planned_us + PLAN_AGAIN_US;
	}
	lim_shares_due(state, customer, now_us);
}

/* Takes one connection of the customer's share; false if the share in force is used up. */
bool lim_admit(struct lim_state *state, const char *customer, uint64_t now_us)
{
	struct lim_customer *held = customer_get(state, customer);
	uint32_t share;

	if (!held || !held->limit)
		return false;
	share = lim_usable(state, held, now_us);
	if (share > held->shed_cap)
		share = held->shed_cap;
	if (held->in_use >= share) {
		if (!state->closing)
			refused(state, held, share, now_us);
		return false;
	}
	held->in_use++;
	lim_use_peak(held, now_us);
	if (held->in_use == share && held->plan_due_us > now_us) {
		held->plan_due_us = now_us;
		lim_shares_due(state, held, now_us);
	}
	return true;
}

/* Returns a connection that was admitted. */
void lim_release(struct lim_state *state, const char *customer, uint64_t now_us)
{
	struct lim_customer *held = customer_get(state, customer);

	if (!held || held->in_use == 0)
		return;
	lim_use_peak(held, now_us);
	held->in_use--;
	if (!held->limit && !held->in_use)
		bc_timer_set(state->timers, &held->timer, now_us);
}

/* Notes whether changes are told. Without that, the rows that are held are read as before. */
void lim_watch_set(struct lim_state *state, bool in_force, uint64_t now_us)
{
	struct lim_customer *customer;

	if (state->watched == in_force)
		return;
	state->watched = in_force;
	if (in_force)
		return;
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		if (customer->row.base + customer->row.extra)
			lim_shares_expect_changes(state, customer, now_us);
	}
}

/* Reads the rows after a while if they are newer than known and this proxy has a share to give. */
void lim_changed(struct lim_state *state, const char *customer, uint64_t version, uint64_t now_us)
{
	struct lim_customer *held = customer_get(state, customer);

	if (held && version > held->version && held->row.base + held->row.extra)
		lim_shares_expect_changes(state, held, now_us);
}

/* The share usable now; 0 if the customer is not known. */
uint32_t lim_share(const struct lim_state *state, const char *customer, uint64_t now_us)
{
	const struct lim_customer *held = customer_get(state, customer);

	return held ? lim_usable(state, held, now_us) : 0;
}

/* Connections admitted and not returned; 0 if the customer is not known. */
uint32_t lim_in_use(const struct lim_state *state, const char *customer)
{
	const struct lim_customer *held = customer_get(state, customer);

	return held ? held->in_use : 0;
}

/* The answer to a store call. Answers to calls that are not in flight are ignored. */
void lim_store_result(struct lim_state *state, uint64_t call, enum bc_status status,
		      uint64_t version, json_t *value, uint64_t now_us)
{
	struct lim_call *found = apr_hash_get(state->calls, &call, sizeof(call));

	if (!found)
		return;
	apr_hash_set(state->calls, &found->id, sizeof(found->id), NULL);
	found->id = 0;
	if (found->kind == LIM_CALL_SHARES)
		lim_shares_result(state, found->owner, status, version, value, now_us);
	else if (found->kind == LIM_CALL_LEASE)
		lim_lease_result(state, status, version, value, now_us);
	else
		lim_peer_result(state, found->owner, status, value, now_us);
}

/* Makes the store calls that are due. Needs a call every 100 ms or more often. */
void lim_tick(struct lim_state *state, uint64_t now_us)
{
	lim_lease_step(state, now_us);
	lim_peers_step(state, now_us);
	bc_timers_run(state->timers, now_us);
}

/*
 * Gives everything back before this proxy ends: nothing more is admitted, and rows are lowered as
 * connections are returned. Needs further ticks until all rows are gone.
 */
void lim_give_back(struct lim_state *state, uint64_t now_us)
{
	struct lim_customer *customer;

	state->closing = true;
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		customer->shed_cap = 0;
		if (customer_holds(customer))
			customer->plan_due_us = now_us;
		lim_shares_due(state, customer, now_us);
	}
	lim_tick(state, now_us);
}
