#include "limit/limit_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* Minimum time between two plans of a customer that refusals trigger. */
#define REFUSAL_PLAN_INTERVAL_US (20 * BC_US_PER_MS)

/* Creates the state of a proxy without customers. Returns NULL when out of memory. */
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

static void customer_free(struct lim_state *state, struct lim_customer *customer)
{
	apr_hash_set(state->customers, customer->name, APR_HASH_KEY_STRING, NULL);
	APR_RING_REMOVE(customer, link);
	bc_timer_cancel(state->timers, &customer->timer);
	if (customer->needs_lease)
		state->lease.user_count--;
	json_decref(customer->value);
	json_decref(customer->sent_value);
	free(customer);
}

/* Frees the state without releasing the shares in the store. NULL is allowed. */
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

/* Whether this proxy has a row of the customer in the store, or may have one after a lost reply. */
static bool customer_holds(const struct lim_customer *customer)
{
	return customer->row.base + customer->row.extra + customer->row.wants > 0 ||
	       customer->write_unresolved || customer->call.id;
}

/* Makes the store call that is due. Frees a customer without a limit, row and connections. */
static void on_customer_timer(void *data, uint64_t now_us)
{
	struct lim_customer *customer = data;
	struct lim_state *state = customer->state;

	lim_shares_step(state, customer, now_us);
	if (!customer->limit && !customer->in_use && !customer_holds(customer))
		customer_free(state, customer);
	else
		lim_shares_set_timer(state, customer, now_us);
}

/* Adds a customer whose rows are not known yet. Returns NULL when out of memory. */
static struct lim_customer *customer_add(struct lim_state *state, const char *name)
{
	struct lim_customer *customer = calloc(1, sizeof(*customer));

	if (!customer)
		return NULL;
	customer->state = state;
	bc_timer_init(&customer->timer, on_customer_timer, customer);
	snprintf(customer->name, sizeof(customer->name), "%s", name);
	customer->base_cap = LIM_NO_CAP;
	customer->extra_cap = LIM_NO_CAP;
	customer->admission_cap = LIM_NO_CAP;
	customer->plan_due_us = LIM_NEVER;
	customer->read_due_us = LIM_NEVER;
	customer->call.kind = LIM_CALL_SHARES;
	customer->call.owner = customer;
	APR_RING_INSERT_TAIL(&state->customer_ring, customer, lim_customer, link);
	apr_hash_set(state->customers, customer->name, APR_HASH_KEY_STRING, customer);
	return customer;
}

/*
 * Sets a customer's connection limit. When it is lowered, the rows are read again and lowered
 * first. With 0, the customer is removed once its row is released and no connection is in use.
 */
void lim_customer_set(struct lim_state *state, const char *customer, uint32_t limit)
{
	struct lim_customer *record = customer_get(state, customer);

	if (!record && limit)
		record = customer_add(state, customer);
	if (!record || record->limit == limit)
		return;
	if (limit < record->limit && customer_holds(record))
		record->read_due_us = 0;
	if (limit > record->limit || customer_holds(record))
		record->plan_due_us = 0;
	record->limit = limit;
	/* The next tick handles the customer, also to remove it. */
	bc_timer_set(state->timers, &record->timer, 0);
}

/* Sets the entry VMs in the platform's list. A later call must not pass an older list. */
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
		peer->unlisted_since_us = 0;
	}
	peer = lim_peer_get(state, state->proxy);
	state->listed = peer && peer->listed;
	state->fleet_size = (uint32_t)count;
}

/* Plans again after a refusal: at once, or REFUSAL_PLAN_INTERVAL_US after the last plan. */
static void on_refusal(struct lim_state *state, struct lim_customer *customer, uint32_t share,
		       uint64_t now_us)
{
	customer->refusals++;
	customer->refused_us = now_us;
	customer->refused_share = share;
	customer->awaiting_growth = true;
	bc_counter_add(state->ctx, "bulrushcleat_limit_refused_total", NULL, 1);
	if (!customer->planned_us || now_us - customer->planned_us >= REFUSAL_PLAN_INTERVAL_US) {
		customer->plan_due_us = now_us;
		lim_shares_step(state, customer, now_us);
	} else if (customer->plan_due_us > customer->planned_us + REFUSAL_PLAN_INTERVAL_US) {
		customer->plan_due_us = customer->planned_us + REFUSAL_PLAN_INTERVAL_US;
	}
	lim_shares_set_timer(state, customer, now_us);
}

/* Takes one connection of the customer's share. Returns false if the usable share is in use. */
bool lim_admit(struct lim_state *state, const char *customer, uint64_t now_us)
{
	struct lim_customer *record = customer_get(state, customer);
	uint32_t share;

	if (!record || !record->limit)
		return false;
	share = lim_usable_share(state, record, now_us);
	if (share > record->admission_cap)
		share = record->admission_cap;
	if (record->in_use >= share) {
		if (!state->closing)
			on_refusal(state, record, share, now_us);
		return false;
	}
	record->in_use++;
	lim_update_peak(record, now_us);
	if (record->in_use == share && record->plan_due_us > now_us) {
		record->plan_due_us = now_us;
		lim_shares_set_timer(state, record, now_us);
	}
	return true;
}

/* Returns a connection that was admitted. */
void lim_release(struct lim_state *state, const char *customer, uint64_t now_us)
{
	struct lim_customer *record = customer_get(state, customer);

	if (!record || record->in_use == 0)
		return;
	lim_update_peak(record, now_us);
	record->in_use--;
	if (!record->limit && !record->in_use)
		bc_timer_set(state->timers, &record->timer, now_us);
}

/* Records whether row changes are reported. While they are not, rows with a share are polled. */
void lim_watch_set(struct lim_state *state, bool active, uint64_t now_us)
{
	struct lim_customer *customer;

	if (state->watched == active)
		return;
	state->watched = active;
	if (active)
		return;
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		if (customer->row.base + customer->row.extra)
			lim_shares_read_later(state, customer, now_us);
	}
}

/* Schedules a read of the rows if they are newer than the known ones and this proxy has a share. */
void lim_changed(struct lim_state *state, const char *customer, uint64_t version, uint64_t now_us)
{
	struct lim_customer *record = customer_get(state, customer);

	if (record && version > record->version && record->row.base + record->row.extra)
		lim_shares_read_later(state, record, now_us);
}

/* Returns the share usable now, or 0 if the customer is not known. */
uint32_t lim_share(const struct lim_state *state, const char *customer, uint64_t now_us)
{
	const struct lim_customer *record = customer_get(state, customer);

	return record ? lim_usable_share(state, record, now_us) : 0;
}

/* Returns the connections admitted and not released, or 0 if the customer is not known. */
uint32_t lim_in_use(const struct lim_state *state, const char *customer)
{
	const struct lim_customer *record = customer_get(state, customer);

	return record ? record->in_use : 0;
}

/* Handles the answer to a store call. Answers to calls that are not in flight are ignored. */
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

/* Makes the store calls that are due. To be called at least every 100 ms. */
void lim_tick(struct lim_state *state, uint64_t now_us)
{
	lim_lease_step(state, now_us);
	lim_peers_step(state, now_us);
	bc_timers_run(state->timers, now_us);
}

/*
 * Releases all shares before this proxy stops: no more connections are admitted, and rows are
 * lowered as connections are released. Needs further ticks until all rows are removed.
 */
void lim_release_shares(struct lim_state *state, uint64_t now_us)
{
	struct lim_customer *customer;

	state->closing = true;
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		customer->admission_cap = 0;
		if (customer_holds(customer))
			customer->plan_due_us = now_us;
		lim_shares_set_timer(state, customer, now_us);
	}
	lim_tick(state, now_us);
}
