#include "pool/pool.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define STRIDE 7919U
#define TICK_US (50 * BC_US_PER_MS)
#define CONNECTIONS 16U

struct names {
	char text[BC_ID_BYTES];
};

static struct names *names_make(const char *prefix, uint32_t count)
{
	struct names *names = calloc(count, sizeof(*names));
	uint32_t i;

	for (i = 0; i < count; i++)
		snprintf(names[i].text, BC_ID_BYTES, "%s-%u", prefix, i);
	return names;
}

struct pool {
	struct bc_ctx *ctx;
	struct pool_state *state;
	struct names *endpoints;
	struct names *customers;
	uint32_t size;
	uint64_t now_us;
	uint64_t opened;
	const char *opening; /* endpoint of a pending open call, NULL if there is none */
	char granted[POOL_CONNECTION_BYTES];
};

static void on_open(void *data, const char *endpoint, const char *account)
{
	struct pool *pool = data;

	(void)account;
	pool->opening = endpoint;
}

static void on_close(void *data, const char *endpoint, const char *connection)
{
	(void)data;
	(void)endpoint;
	(void)connection;
}

static void on_granted(void *data, uint64_t waiter, const char *endpoint, const char *connection)
{
	struct pool *pool = data;

	(void)waiter;
	(void)endpoint;
	snprintf(pool->granted, sizeof(pool->granted), "%s", connection);
}

static void on_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	(void)data;
	(void)waiter;
	(void)status;
	abort();
}

/* Acquires a connection, which is opened first if none is idle, and releases it. */
static void acquire_release(void *data, uint64_t index)
{
	struct pool *pool = data;
	uint32_t number = (uint32_t)(index * STRIDE % pool->size);
	const struct pool_request want = {.waiter = index + 1,
					  .endpoint = pool->endpoints[number].text,
					  .customer = pool->customers[number].text,
					  .deadline_us = pool->now_us + BC_US_PER_S};
	char connection[POOL_CONNECTION_BYTES];

	pool->granted[0] = '\0';
	pool->opening = NULL;
	pool_acquire(pool->state, &want, pool->now_us);
	if (pool->opening) {
		snprintf(connection, sizeof(connection), "c-%llu",
			 (unsigned long long)++pool->opened);
		pool_opened(pool->state, want.endpoint, "", BC_OK, connection, pool->now_us);
	}
	if (!pool->granted[0])
		abort();
	memcpy(connection, pool->granted, sizeof(connection));
	pool_release(pool->state, want.endpoint, connection, true, pool->now_us);
}

static void *pool_setup(uint32_t size)
{
	static const struct pool_ops ops = {
		.open = on_open, .close = on_close, .granted = on_granted, .rejected = on_rejected};
	struct pool *pool = calloc(1, sizeof(*pool));
	uint32_t i;

	pool->ctx = bc_ctx_create(1);
	pool->size = size;
	pool->now_us = BC_US_PER_S;
	pool->endpoints = names_make("endpoint", size);
	pool->customers = names_make("customer", size);
	pool->state = pool_create(pool->ctx, &ops, pool);
	pool_proxies_set(pool->state, 1);
	for (i = 0; i < size; i++)
		pool_endpoint_set(pool->state, pool->endpoints[i].text, CONNECTIONS);
	for (i = 0; i < size; i++)
		acquire_release(pool, i);
	return pool;
}

static void pool_teardown(void *data)
{
	struct pool *pool = data;

	pool_destroy(pool->state);
	bc_ctx_destroy(pool->ctx);
	free(pool->endpoints);
	free(pool->customers);
	free(pool);
}

static void pool_idle_tick(void *data, uint64_t index)
{
	struct pool *pool = data;

	(void)index;
	pool->now_us += TICK_US;
	pool_tick(pool->state, pool->now_us);
}

/* The size is the number of endpoints and that of customers. */
static const struct bch_case cases[] = {
	{"pool.acquire_release", {3, 300, 5200}, true, pool_setup, acquire_release, pool_teardown},
	{"pool.tick", {3, 300, 5200}, true, pool_setup, pool_idle_tick, pool_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
