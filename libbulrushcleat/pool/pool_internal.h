#ifndef BC_POOL_INTERNAL_H
#define BC_POOL_INTERNAL_H

#include "pool/pool.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>

/* Waiters of both classes are queued apart: reads on a primary can be held back by writes. */
enum pool_class { POOL_FREE, POOL_CAPPED, POOL_CLASSES };

/* A name with a 32-bit number before it. */
#define POOL_KEY_BYTES (BC_ID_BYTES + 12)

struct pool_customer;
struct pool_endpoint;

struct pool_waiter {
	APR_RING_ENTRY(pool_waiter) link;
	uint64_t id;
	uint64_t deadline_us;
	struct pool_endpoint *endpoint;
	struct pool_customer *customer;
	enum pool_class class;
};

APR_RING_HEAD(pool_waiter_ring, pool_waiter);

/* The waiters of one customer and priority at one endpoint, by deadline. */
struct pool_customer {
	APR_RING_ENTRY(pool_customer) link;
	struct pool_waiter_ring waiters[POOL_CLASSES];
	uint32_t priority; /* 0 comes first */
	uint32_t count;
	char key[POOL_KEY_BYTES]; /* priority and name */
};

APR_RING_HEAD(pool_customer_ring, pool_customer);

/* Queue of an endpoint; the customers are in the order of their next turn. */
struct pool_queue {
	struct pool_customer_ring turns;
	apr_hash_t *customers; /* key -> struct pool_customer with waiters */
	uint32_t count[POOL_CLASSES];
};

struct pool_connection {
	APR_RING_ENTRY(pool_connection) link; /* in the idle ring while not lent */
	uint64_t since_us;		      /* lent or idle since */
	bool lent;
	bool capped; /* lent to a read on a primary */
	char id[POOL_CONNECTION_BYTES];
};

APR_RING_HEAD(pool_connection_ring, pool_connection);

struct pool_endpoint {
	APR_RING_ENTRY(pool_endpoint) link; /* in the active ring while `active` */
	bool active;			    /* has waiters or idle connections */
	bool removed;
	uint32_t users;	      /* calls in progress that still need it */
	uint64_t tick;	      /* last tick that visited it */
	uint32_t limit;	      /* connections that the endpoint allows over all proxies */
	uint32_t running_max; /* no opens while so many run; 0: no bound */
	uint32_t lent;
	uint32_t lent_capped;
	uint32_t idle;
	uint32_t opening;
	uint32_t failures; /* failed opens in a row */
	enum bc_status last_failure;
	uint64_t retry_us; /* no open before this while failures > 0 */
	uint64_t hold_us;  /* moving average of how long a connection is lent */
	struct pool_queue queue;
	apr_pool_t *pool;
	apr_hash_t *connections;	       /* id -> struct pool_connection */
	struct pool_connection_ring idle_ring; /* the one used last comes first */
	char name[BC_ID_BYTES];
};

APR_RING_HEAD(pool_endpoint_ring, pool_endpoint);

struct pool_state {
	struct bc_ctx *ctx;
	struct pool_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *endpoints; /* name -> struct pool_endpoint */
	apr_hash_t *waiters;   /* id -> struct pool_waiter */
	struct pool_endpoint_ring active;
	uint32_t proxies;
	uint64_t tick;
};

void pool_queue_init(struct pool_queue *queue, apr_pool_t *pool);
uint32_t pool_queue_length(const struct pool_queue *queue);
bool pool_queue_add(struct pool_queue *queue, struct pool_waiter *waiter, const char *name,
		    uint32_t priority);
void pool_queue_remove(struct pool_queue *queue, struct pool_waiter *waiter, bool turn_taken);
struct pool_waiter *pool_queue_next(const struct pool_queue *queue, bool capped_allowed,
				    bool capped_last);
struct pool_waiter *pool_queue_expired(const struct pool_queue *queue, uint64_t now_us);
struct pool_waiter *pool_queue_victim(const struct pool_queue *queue, const char *name,
				      uint32_t priority, enum pool_class class);
uint32_t pool_queue_ahead(const struct pool_queue *queue, const char *name, uint32_t priority,
			  uint64_t deadline_us);

uint32_t pool_share(const struct pool_state *state, const struct pool_endpoint *endpoint);
void pool_reject(struct pool_state *state, struct pool_waiter *waiter, enum bc_status status);
void pool_reject_all(struct pool_state *state, struct pool_endpoint *endpoint,
		     enum bc_status status);
void pool_close_idle(struct pool_state *state, struct pool_endpoint *endpoint,
		     struct pool_connection *connection);
void pool_pump(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us);
void pool_shrink(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us);

#endif
