#include "pool/pool_internal.h"

#include <stdlib.h>

/* Endpoints close a connection after 10 s without a call; one idle for this long is not lent. */
#define IDLE_MAX_US (8 * BC_US_PER_S)

/* One proxy's fair share of the endpoint's connections, at least 1. */
uint32_t pool_share(const struct pool_state *state, const struct pool_endpoint *endpoint)
{
	uint32_t share = endpoint->limit / (state->proxies ? state->proxies : 1);

	return share ? share : 1;
}

/*
 * The number of connections that this proxy may use: its share, or as many as it has if these are
 * more; after a failed open only those that it has. At least 1.
 */
uint32_t pool_allowance(const struct pool_state *state, const struct pool_endpoint *endpoint)
{
	uint32_t current = endpoint->lent + endpoint->idle;
	uint32_t share = endpoint->failures ? 1 : pool_share(state, endpoint);

	return current > share ? current : share;
}

/* How many of the allowed connections may be lent to reads on a primary at once: all but one. */
uint32_t pool_capped_max(uint32_t allowed)
{
	return allowed > 1 ? allowed - 1 : 1;
}

/* Removes the waiter from the queue and frees it. `served`: its customer's turn is used. */
void pool_waiter_remove(struct pool_state *state, struct pool_waiter *waiter, bool served)
{
	struct pool_endpoint *endpoint = waiter->endpoint;

	apr_hash_set(state->waiters, &waiter->id, sizeof(waiter->id), NULL);
	pool_queue_remove(&endpoint->queue, waiter, served);
	waiter->account->waiting--;
	pool_account_put(endpoint, waiter->account);
	free(waiter);
}

/* Removes the waiter from the queue and reports the status to it. */
void pool_reject(struct pool_state *state, struct pool_waiter *waiter, enum bc_status status)
{
	uint64_t id = waiter->id;

	pool_waiter_remove(state, waiter, false);
	bc_counter_add(state->ctx, "bulrushcleat_pool_rejected_total", NULL, 1);
	state->ops.rejected(state->data, id, status);
}

/* Rejects the waiters that are queued now, but none that callbacks add meanwhile. */
void pool_reject_all(struct pool_state *state, struct pool_endpoint *endpoint,
		     enum bc_status status)
{
	uint32_t left = pool_queue_length(&endpoint->queue);
	struct pool_waiter *waiter;

	while (left-- && (waiter = pool_queue_next(&endpoint->queue, true, false)))
		pool_reject(state, waiter, status);
}

/* Closes an idle connection. */
void pool_close_idle(struct pool_state *state, struct pool_endpoint *endpoint,
		     struct pool_connection *connection)
{
	APR_RING_REMOVE(connection, link);
	apr_hash_set(endpoint->connections, connection->id, APR_HASH_KEY_STRING, NULL);
	endpoint->idle--;
	connection->account->idle--;
	pool_account_put(endpoint, connection->account);
	state->ops.close(state->data, endpoint->name, connection->id);
	free(connection);
}

/* Lends the connection to the waiter. */
void pool_grant(struct pool_state *state, struct pool_endpoint *endpoint,
		struct pool_connection *connection, struct pool_waiter *waiter, uint64_t now_us)
{
	uint64_t id = waiter->id;

	APR_RING_REMOVE(connection, link);
	connection->lent = true;
	connection->capped = waiter->class == POOL_CAPPED;
	connection->since_us = now_us;
	endpoint->idle--;
	endpoint->lent++;
	connection->account->idle--;
	connection->account->lent++;
	endpoint->lent_capped += connection->capped;
	pool_waiter_remove(state, waiter, true);
	state->ops.granted(state->data, id, endpoint->name, connection->id);
}

/*
 * Lends one idle connection, rejects one waiter past its deadline, or closes one connection that
 * has been idle too long. False if there is nothing to do.
 */
static bool lend_one(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us)
{
	uint32_t allowed = pool_allowance(state, endpoint);
	struct pool_connection *connection;
	struct pool_waiter *waiter;

	if (endpoint->removed || endpoint->idle == 0)
		return false;
	waiter = pool_queue_next(&endpoint->queue, endpoint->lent_capped < pool_capped_max(allowed),
				 allowed == 1);
	if (!waiter)
		return false;
	connection = APR_RING_FIRST(&endpoint->idle_ring);
	if (waiter->deadline_us <= now_us)
		pool_reject(state, waiter, BC_ETIMEOUT);
	else if (now_us - connection->since_us >= IDLE_MAX_US)
		pool_close_idle(state, endpoint, connection);
	else
		pool_grant(state, endpoint, connection, waiter, now_us);
	return true;
}

/*
 * How many connections to open now: at most one for each waiter that could use one, within the
 * endpoint's limits, and only a single one after a failure.
 */
static uint32_t open_count(const struct pool_state *state, const struct pool_endpoint *endpoint,
			   uint64_t now_us)
{
	uint32_t total = endpoint->lent + endpoint->idle + endpoint->opening;
	uint32_t capped = pool_capped_max(endpoint->limit);
	uint32_t wanted = endpoint->queue.count[POOL_CAPPED];
	uint32_t room;

	if (endpoint->removed || total >= endpoint->limit)
		return 0;
	capped = capped > endpoint->lent_capped ? capped - endpoint->lent_capped : 0;
	wanted = endpoint->queue.count[POOL_UNCAPPED] + (wanted < capped ? wanted : capped);
	if (endpoint->failures) {
		if (now_us < endpoint->retry_us)
			return 0;
		wanted = wanted ? 1 : 0;
	}
	wanted = wanted > endpoint->opening ? wanted - endpoint->opening : 0;
	if (wanted && endpoint->running_max) {
		uint32_t running = state->ops.running(state->data, endpoint->name);

		room = running < endpoint->running_max ? endpoint->running_max - running : 0;
		wanted = wanted < room ? wanted : room;
	}
	return wanted < endpoint->limit - total ? wanted : endpoint->limit - total;
}

/*
 * Lends idle connections to waiters and opens further ones as needed. The caller holds a reference
 * in `refs`, since the callbacks may change or remove the endpoint.
 */
void pool_dispatch(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us)
{
	uint32_t count;

	if (pool_by_account(endpoint)) {
		pool_dispatch_by_account(state, endpoint, now_us);
		return;
	}
	while (lend_one(state, endpoint, now_us))
		continue;
	count = open_count(state, endpoint, now_us);
	endpoint->opening += count;
	endpoint->unnamed.opening += count;
	endpoint->unnamed.opening_since_us = now_us;
	while (count--)
		state->ops.open(state->data, endpoint->name, "");
}

/* Whether to close the least recently used idle connection. */
static bool should_close_oldest(const struct pool_state *state,
				const struct pool_endpoint *endpoint, uint64_t now_us)
{
	uint64_t idle_us = now_us - APR_RING_LAST(&endpoint->idle_ring)->since_us;
	uint32_t current = endpoint->lent + endpoint->idle;
	uint32_t share = pool_share(state, endpoint);
	uint32_t after = current - 1 > share ? current - 1 : share;

	if (pool_by_account(endpoint))
		return pool_closes_by_account(state, endpoint, now_us);
	if (idle_us >= IDLE_MAX_US)
		return true;
	if (idle_us >= 5 * POOL_IDLE_US && endpoint->idle > 1)
		return true;
	/* Keep one connection for writes, which reads on a primary must leave free. */
	return idle_us >= POOL_IDLE_US && current > share && endpoint->lent_capped < after;
}

/* Closes idle connections that are no longer needed, least recently used first. */
void pool_shrink(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us)
{
	while (endpoint->idle && should_close_oldest(state, endpoint, now_us))
		pool_close_idle(state, endpoint, APR_RING_LAST(&endpoint->idle_ring));
}
