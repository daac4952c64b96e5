#include "pool/pool_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay before the next open after a failure; doubled with each failure up to the maximum. */
#define BACKOFF_FIRST_US (20 * BC_US_PER_MS)
#define BACKOFF_MAX_US (500 * BC_US_PER_MS)

/* The moving average of the time a connection is lent moves by 1/8 towards a new value. */
#define LENT_AVERAGE_DIVISOR 8

/* Creates a pool without endpoints, or returns NULL if memory is exhausted. */
struct pool_state *pool_create(struct bc_ctx *ctx, const struct pool_ops *ops, void *data)
{
	struct pool_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	state->proxies = 1;
	state->endpoints = apr_hash_make(state->pool);
	state->waiters = apr_hash_make(state->pool);
	APR_RING_INIT(&state->active, pool_endpoint, link);
	return state;
}

/* Frees an endpoint with its waiters and connections, without callbacks. */
static void endpoint_free(struct pool_state *state, struct pool_endpoint *endpoint)
{
	struct pool_waiter *waiter;
	apr_hash_index_t *i;

	while ((waiter = pool_queue_next(&endpoint->queue, true, false)))
		pool_waiter_remove(state, waiter, false);
	for (i = apr_hash_first(endpoint->pool, endpoint->connections); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	pool_accounts_free(endpoint);
	if (endpoint->active)
		APR_RING_REMOVE(endpoint, link);
	apr_hash_set(state->endpoints, endpoint->name, APR_HASH_KEY_STRING, NULL);
	apr_pool_destroy(endpoint->pool);
	free(endpoint);
}

/* Frees the pool without answering waiters or closing connections. NULL is allowed. */
void pool_destroy(struct pool_state *state)
{
	apr_hash_index_t *i;

	if (!state)
		return;
	while ((i = apr_hash_first(state->pool, state->endpoints)))
		endpoint_free(state, apr_hash_this_val(i));
	apr_pool_destroy(state->pool);
	free(state);
}

static struct pool_endpoint *endpoint_get(const struct pool_state *state, const char *name)
{
	return apr_hash_get(state->endpoints, name, APR_HASH_KEY_STRING);
}

/* Adds an empty endpoint; NULL if memory is exhausted. */
static struct pool_endpoint *endpoint_add(struct pool_state *state, const char *name)
{
	struct pool_endpoint *endpoint = calloc(1, sizeof(*endpoint));

	if (!endpoint)
		return NULL;
	if (apr_pool_create(&endpoint->pool, NULL) != APR_SUCCESS) {
		free(endpoint);
		return NULL;
	}
	snprintf(endpoint->name, sizeof(endpoint->name), "%s", name);
	endpoint->connections = apr_hash_make(endpoint->pool);
	pool_queue_init(&endpoint->queue, endpoint->pool);
	pool_accounts_init(endpoint);
	APR_RING_INIT(&endpoint->idle_ring, pool_connection, link);
	apr_hash_set(state->endpoints, endpoint->name, APR_HASH_KEY_STRING, endpoint);
	return endpoint;
}

/* Takes a reference, which keeps the endpoint allocated during callbacks. */
static struct pool_endpoint *endpoint_ref(struct pool_endpoint *endpoint)
{
	endpoint->refs++;
	return endpoint;
}

/*
 * Drops a reference at the end of a call: adds the endpoint to the ring that pool_tick() visits or
 * takes it out, and frees it if it has been removed and is no longer in use.
 */
static void endpoint_unref(struct pool_state *state, struct pool_endpoint *endpoint)
{
	bool active = endpoint->idle > 0 || pool_queue_length(&endpoint->queue) > 0;

	if (active && !endpoint->active) {
		APR_RING_INSERT_TAIL(&state->active, endpoint, pool_endpoint, link);
		endpoint->tick = state->tick;
	} else if (!active && endpoint->active) {
		APR_RING_REMOVE(endpoint, link);
	}
	endpoint->active = active;
	endpoint->refs--;
	if (endpoint->refs == 0 && endpoint->removed && !active && endpoint->lent == 0 &&
	    endpoint->opening == 0)
		endpoint_free(state, endpoint);
}

/* Adds an endpoint, or changes the number of connections it accepts from all proxies together. */
void pool_endpoint_set(struct pool_state *state, const char *endpoint, uint32_t connections)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);

	if (!target)
		target = endpoint_add(state, endpoint);
	if (!target)
		return;
	target->limit = connections;
	target->removed = false;
}

/*
 * Rejects the endpoint's waiters with BC_EIO and closes its idle connections; those lent are
 * closed when they are returned.
 */
void pool_endpoint_remove(struct pool_state *state, const char *endpoint, uint64_t now_us)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);

	(void)now_us;
	if (!target)
		return;
	endpoint_ref(target)->removed = true;
	while (target->idle)
		pool_close_idle(state, target, APR_RING_FIRST(&target->idle_ring));
	pool_reject_all(state, target, BC_EIO);
	endpoint_unref(state, target);
}

/*
 * Stops opening connections to the endpoint while ops->running() reports this many or more; 0: no
 * limit.
 */
void pool_running_max_set(struct pool_state *state, const char *endpoint, uint32_t running_max)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);

	if (target)
		target->running_max = running_max;
}

/* Sets the number of live proxies, among which the endpoints' connections are shared. */
void pool_proxies_set(struct pool_state *state, uint32_t proxies)
{
	state->proxies = proxies;
}

/*
 * Returns BC_OK if the request may be queued, or the reason why not. A request is rejected if the
 * waiters ahead of it, at the average lending time, would take until its deadline, or if no
 * connection is open and the next attempt to open one comes after the deadline. The waiters of its
 * own account only have the connections that one account may hold.
 */
static enum bc_status admit(const struct pool_endpoint *endpoint,
			    const struct pool_request *request, uint64_t now_us)
{
	uint32_t usable = endpoint->lent + endpoint->idle + endpoint->opening;
	uint32_t account_max = pool_account_max(endpoint->limit);
	uint64_t ahead;
	uint32_t own;

	if (request->deadline_us <= now_us)
		return BC_ETIMEOUT;
	if (usable == 0 && endpoint->failures && endpoint->retry_us >= request->deadline_us)
		return endpoint->last_failure;
	ahead = pool_queue_ahead(&endpoint->queue, request, &own);
	if (ahead * endpoint->average_lent_us / (usable ? usable : 1) >=
	    request->deadline_us - now_us)
		return BC_ELIMIT;
	if (request->account && pool_by_account(endpoint) &&
	    own * endpoint->average_lent_us / account_max >= request->deadline_us - now_us)
		return BC_ELIMIT;
	return BC_OK;
}

/* Sheds a waiter from a full queue; false if the new request is the one to be rejected. */
static bool make_room(struct pool_state *state, struct pool_endpoint *endpoint,
		      const struct pool_request *request, enum pool_class class)
{
	struct pool_waiter *victim;

	if (pool_queue_length(&endpoint->queue) < POOL_QUEUE_MAX)
		return true;
	victim = pool_queue_victim(&endpoint->queue, request, class);
	if (!victim)
		return false;
	pool_reject(state, victim, BC_ELIMIT);
	return pool_queue_length(&endpoint->queue) < POOL_QUEUE_MAX && !endpoint->removed;
}

/* Queues the request; BC_ELIMIT or BC_ENOMEM if that fails. */
static enum bc_status enqueue(struct pool_state *state, struct pool_endpoint *endpoint,
			      const struct pool_request *request)
{
	enum pool_class class =
		request->on_primary && !request->reserved ? POOL_CAPPED : POOL_UNCAPPED;
	struct pool_waiter *waiter;

	if (!make_room(state, endpoint, request, class))
		return BC_ELIMIT;
	waiter = calloc(1, sizeof(*waiter));
	if (!waiter)
		return BC_ENOMEM;
	waiter->id = request->waiter;
	waiter->deadline_us = request->deadline_us;
	waiter->endpoint = endpoint;
	waiter->class = class;
	waiter->any_account = !request->account;
	waiter->account = pool_account_get(endpoint, request->account ? request->account : "");
	if (!waiter->account) {
		free(waiter);
		return BC_ENOMEM;
	}
	if (!pool_queue_add(&endpoint->queue, waiter, request->customer, request->priority)) {
		pool_account_put(endpoint, waiter->account);
		free(waiter);
		return BC_ENOMEM;
	}
	waiter->account->waiting++;
	apr_hash_set(state->waiters, &waiter->id, sizeof(waiter->id), waiter);
	return BC_OK;
}

/* Counts a request that is not served at once, by the reason. */
static void count_wait(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t id)
{
	const struct pool_waiter *waiter = apr_hash_get(state->waiters, &id, sizeof(id));

	if (waiter)
		bc_counter_add(state->ctx, "bulrushcleat_pool_waits_total",
			       pool_wait_reason(endpoint, waiter), 1);
}

/*
 * Requests a connection. The result is reported by ops->granted or ops->rejected, possibly before
 * this returns. The id must not be that of a waiter still queued (BC_EINVAL).
 */
void pool_acquire(struct pool_state *state, const struct pool_request *request, uint64_t now_us)
{
	struct pool_endpoint *endpoint = endpoint_get(state, request->endpoint);
	enum bc_status status = BC_EIO;

	if (apr_hash_get(state->waiters, &request->waiter, sizeof(request->waiter))) {
		state->ops.rejected(state->data, request->waiter, BC_EINVAL);
		return;
	}
	if (!endpoint || endpoint->removed) {
		state->ops.rejected(state->data, request->waiter, BC_EIO);
		return;
	}
	endpoint_ref(endpoint);
	status = admit(endpoint, request, now_us);
	if (status == BC_OK)
		status = enqueue(state, endpoint, request);
	if (status == BC_OK) {
		pool_dispatch(state, endpoint, now_us);
		count_wait(state, endpoint, request->waiter);
	} else {
		bc_counter_add(state->ctx, "bulrushcleat_pool_rejected_total", NULL, 1);
		state->ops.rejected(state->data, request->waiter, status);
	}
	endpoint_unref(state, endpoint);
}

/* Cancels a queued request without a callback; false if the waiter is not queued. */
bool pool_cancel(struct pool_state *state, uint64_t id, uint64_t now_us)
{
	struct pool_waiter *waiter = apr_hash_get(state->waiters, &id, sizeof(id));
	struct pool_endpoint *endpoint;

	(void)now_us;
	if (!waiter)
		return false;
	endpoint = endpoint_ref(waiter->endpoint);
	pool_waiter_remove(state, waiter, false);
	endpoint_unref(state, endpoint);
	return true;
}

/* Makes a connection idle and the next one to be lent. */
static void make_idle(struct pool_endpoint *endpoint, struct pool_connection *connection,
		      uint64_t now_us)
{
	connection->lent = false;
	connection->since_us = now_us;
	endpoint->idle++;
	connection->account->idle++;
	APR_RING_INSERT_HEAD(&endpoint->idle_ring, connection, pool_connection, link);
}

/*
 * Returns a lent connection. One that is not clean, or whose endpoint was removed, is closed. A
 * connection that is not lent is ignored.
 */
void pool_release(struct pool_state *state, const char *endpoint, const char *connection,
		  bool clean, uint64_t now_us)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);
	struct pool_connection *entry =
		target ? apr_hash_get(target->connections, connection, APR_HASH_KEY_STRING) : NULL;
	uint64_t lent_us;

	if (!entry || !entry->lent) {
		bc_log(state->ctx, BC_LOG_WARN, "pool_release_unknown", "{s:s}", "endpoint",
		       endpoint);
		return;
	}
	endpoint_ref(target)->lent--;
	entry->account->lent--;
	target->lent_capped -= entry->capped;
	lent_us = now_us - entry->since_us;
	target->average_lent_us = (target->average_lent_us * (LENT_AVERAGE_DIVISOR - 1) + lent_us) /
				  LENT_AVERAGE_DIVISOR;
	target->typical_lent_us = pool_typical(target->typical_lent_us, lent_us);
	make_idle(target, entry, now_us);
	if (!clean || target->removed)
		pool_close_idle(state, target, entry);
	pool_dispatch(state, target, now_us);
	endpoint_unref(state, target);
}

/* Closes a broken connection. One that is lent counts as returned. */
void pool_connection_lost(struct pool_state *state, const char *endpoint, const char *connection,
			  uint64_t now_us)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);
	struct pool_connection *entry =
		target ? apr_hash_get(target->connections, connection, APR_HASH_KEY_STRING) : NULL;

	if (!entry)
		return;
	if (entry->lent) {
		pool_release(state, endpoint, connection, false, now_us);
		return;
	}
	endpoint_ref(target);
	pool_close_idle(state, target, entry);
	pool_dispatch(state, target, now_us);
	endpoint_unref(state, target);
}

/*
 * Delays the next attempt to open, with exponential backoff. Several failures within one delay, of
 * opens sent before it began, count as one.
 */
static void back_off(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us)
{
	uint64_t delay_us = BACKOFF_FIRST_US;
	uint32_t i;

	if (endpoint->failures && now_us < endpoint->retry_us)
		return;
	for (i = 0; i < endpoint->failures && delay_us < BACKOFF_MAX_US; i++)
		delay_us *= 2;
	if (delay_us > BACKOFF_MAX_US)
		delay_us = BACKOFF_MAX_US;
	endpoint->failures++;
	endpoint->retry_us = now_us + delay_us / 2 + bc_random_below(state->ctx, delay_us / 2 + 1);
}

/* Adds an opened connection; false if its id is missing, too long or in use, or memory is
 * exhausted. */
static bool connection_add(struct pool_endpoint *endpoint, struct pool_account *account,
			   const char *id, uint64_t now_us)
{
	struct pool_connection *connection;

	if (!id || strnlen(id, POOL_CONNECTION_BYTES) == POOL_CONNECTION_BYTES ||
	    apr_hash_get(endpoint->connections, id, APR_HASH_KEY_STRING))
		return false;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		return false;
	snprintf(connection->id, sizeof(connection->id), "%s", id);
	connection->account = account;
	connection->opened_us = now_us;
	make_idle(endpoint, connection, now_us);
	apr_hash_set(endpoint->connections, connection->id, APR_HASH_KEY_STRING, connection);
	return true;
}

/* Ends an open for the account; false if none is in progress. */
static bool end_opening(struct pool_endpoint *endpoint, struct pool_account *account,
			enum bc_status status, uint64_t now_us)
{
	if (!account || account->opening == 0)
		return false;
	endpoint->opening--;
	account->opening--;
	if (endpoint->replacing == account)
		endpoint->replacing = NULL;
	if (status == BC_OK)
		endpoint->typical_open_us =
			pool_typical(endpoint->typical_open_us, now_us - account->opening_since_us);
	return true;
}

/*
 * Handles the result of ops->open. After BC_ELIMIT, waiters stay queued; after any other failure
 * they are rejected with BC_EIO if no connection to the endpoint is left.
 */
void pool_opened(struct pool_state *state, const char *endpoint, const char *account,
		 enum bc_status status, const char *connection, uint64_t now_us)
{
	struct pool_endpoint *target = endpoint_get(state, endpoint);
	struct pool_account *owner = target ? pool_account_find(target, account) : NULL;
	bool failed = false;

	if (!target || !end_opening(target, owner, status, now_us)) {
		if (status == BC_OK && connection)
			state->ops.close(state->data, endpoint, connection);
		return;
	}
	endpoint_ref(target);
	if (status == BC_OK && target->removed && connection) {
		state->ops.close(state->data, endpoint, connection);
	} else if (status == BC_OK && connection_add(target, owner, connection, now_us)) {
		target->failures = 0;
		bc_counter_add(state->ctx, "bulrushcleat_pool_opened_total", NULL, 1);
	} else {
		failed = true;
		target->last_failure = status == BC_ELIMIT ? BC_ELIMIT : BC_EIO;
		back_off(state, target, now_us);
	}
	pool_account_put(target, owner);
	if (failed && status != BC_ELIMIT && target->lent + target->idle == 0)
		pool_reject_all(state, target, BC_EIO);
	pool_dispatch(state, target, now_us);
	endpoint_unref(state, target);
}

/*
 * Rejects waiters past their deadline, opens connections whose backoff delay is over, and closes
 * surplus idle ones. Visits only endpoints with waiters or idle connections.
 */
void pool_tick(struct pool_state *state, uint64_t now_us)
{
	struct pool_endpoint *endpoint;
	struct pool_waiter *waiter;

	state->tick++;
	while (!APR_RING_EMPTY(&state->active, pool_endpoint, link)) {
		endpoint = APR_RING_FIRST(&state->active);
		if (endpoint->tick == state->tick)
			return;
		endpoint->tick = state->tick;
		APR_RING_REMOVE(endpoint, link);
		APR_RING_INSERT_TAIL(&state->active, endpoint, pool_endpoint, link);
		endpoint_ref(endpoint);
		while ((waiter = pool_queue_expired(&endpoint->queue, now_us)))
			pool_reject(state, waiter, BC_ETIMEOUT);
		pool_dispatch(state, endpoint, now_us);
		pool_shrink(state, endpoint, now_us);
		endpoint_unref(state, endpoint);
	}
}

/* Returns an endpoint's current counts; all 0 if it is unknown. */
struct pool_stats pool_stats_get(const struct pool_state *state, const char *endpoint)
{
	const struct pool_endpoint *target = endpoint_get(state, endpoint);
	struct pool_stats stats = {0};

	if (!target)
		return stats;
	stats.lent = target->lent;
	stats.idle = target->idle;
	stats.opening = target->opening;
	stats.queued = pool_queue_length(&target->queue);
	return stats;
}
