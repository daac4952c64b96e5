#ifndef BC_POOL_INTERNAL_H
#define BC_POOL_INTERNAL_H

#include "pool/pool.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>

/*
 * Reads on a primary are capped, so that they leave a connection for writes. They are queued apart
 * from all other waiters, since they may have to wait while those are served.
 */
enum pool_class { POOL_UNCAPPED, POOL_CAPPED, POOL_CLASSES };

/* Size of a customer queue's key: a 32-bit priority, the customer and the account, with spaces. */
#define POOL_KEY_BYTES (2 * BC_ID_BYTES + 13)

struct pool_customer_queue;
struct pool_endpoint;

/* The connections to one endpoint that were opened under one name, and the waiters for them. */
struct pool_account {
	uint32_t lent;
	uint32_t idle;
	uint32_t opening;
	uint32_t waiting;	   /* of the connections without an account, also waiters for any */
	uint64_t opening_since_us; /* start of the latest open */
	char name[BC_ID_BYTES];
};

struct pool_waiter {
	APR_RING_ENTRY(pool_waiter) link;
	uint64_t id;
	uint64_t deadline_us;
	struct pool_endpoint *endpoint;
	struct pool_customer_queue *customer;
	struct pool_account *account;
	bool any_account; /* any connection will do; `account` is the one without a name */
	enum pool_class class;
};

APR_RING_HEAD(pool_waiter_ring, pool_waiter);

/* The waiters of one customer, account and priority at one endpoint, by deadline. */
struct pool_customer_queue {
	APR_RING_ENTRY(pool_customer_queue) link;
	struct pool_waiter_ring waiters[POOL_CLASSES];
	struct pool_account *account;
	bool any_account;
	uint32_t priority; /* 0 comes first */
	uint32_t count;
	char key[POOL_KEY_BYTES];
};

APR_RING_HEAD(pool_customer_queue_ring, pool_customer_queue);

/* The waiters of an endpoint, served round-robin over the customer queues. */
struct pool_queue {
	struct pool_customer_queue_ring round_robin;
	apr_hash_t *customers; /* key -> struct pool_customer_queue, none empty */
	uint32_t count[POOL_CLASSES];
};

struct pool_connection {
	APR_RING_ENTRY(pool_connection) link; /* in the idle ring while not lent */
	struct pool_account *account;	      /* under whose name it was opened */
	uint64_t opened_us;
	uint64_t since_us; /* start of the current lent or idle time */
	bool lent;
	bool capped; /* lent to a read on a primary */
	char id[POOL_CONNECTION_BYTES];
};

APR_RING_HEAD(pool_connection_ring, pool_connection);

struct pool_endpoint {
	APR_RING_ENTRY(pool_endpoint) link; /* in the active ring while `active` */
	bool active;			    /* has waiters or idle connections */
	bool removed;
	uint32_t refs;	      /* references held by calls in progress */
	uint64_t tick;	      /* number of the last pool_tick() that visited it */
	uint32_t limit;	      /* connections accepted from all proxies together */
	uint32_t running_max; /* open none while ops->running() reports this many; 0: no limit */
	uint32_t lent;
	uint32_t lent_capped;
	uint32_t idle;
	uint32_t opening;
	uint32_t failures; /* consecutive failed opens */
	enum bc_status last_failure;
	uint64_t retry_us;	  /* while failures > 0: time of the next open */
	uint64_t average_lent_us; /* moving average of the time a connection is lent */
	/* Moving averages in which a value counts at most as twice the average so far. */
	uint64_t typical_lent_us;
	uint64_t typical_open_us;
	/* The account for which a connection of another one was closed and one is being opened. */
	struct pool_account *replacing;
	struct pool_account unnamed; /* connections without an account */
	apr_hash_t *accounts;	     /* name -> struct pool_account; only those in use */
	struct pool_queue queue;
	apr_pool_t *pool;
	apr_hash_t *connections;	       /* id -> struct pool_connection */
	struct pool_connection_ring idle_ring; /* most recently used first */
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
typedef bool (*pool_customer_fn)(void *data, const struct pool_customer_queue *customer);
struct pool_waiter *pool_queue_find(const struct pool_queue *queue, bool capped_allowed,
				    pool_customer_fn eligible, void *data);
void pool_queue_remove(struct pool_queue *queue, struct pool_waiter *waiter, bool served);
struct pool_waiter *pool_queue_next(const struct pool_queue *queue, bool capped_allowed,
				    bool capped_last);
struct pool_waiter *pool_queue_expired(const struct pool_queue *queue, uint64_t now_us);
struct pool_waiter *pool_queue_victim(const struct pool_queue *queue,
				      const struct pool_request *request, enum pool_class class);
uint32_t pool_queue_ahead(const struct pool_queue *queue, const struct pool_request *request,
			  uint32_t *own);

uint32_t pool_share(const struct pool_state *state, const struct pool_endpoint *endpoint);
uint32_t pool_allowance(const struct pool_state *state, const struct pool_endpoint *endpoint);
uint32_t pool_capped_max(uint32_t allowed);
void pool_waiter_remove(struct pool_state *state, struct pool_waiter *waiter, bool served);
void pool_grant(struct pool_state *state, struct pool_endpoint *endpoint,
		struct pool_connection *connection, struct pool_waiter *waiter, uint64_t now_us);
void pool_reject(struct pool_state *state, struct pool_waiter *waiter, enum bc_status status);
void pool_reject_all(struct pool_state *state, struct pool_endpoint *endpoint,
		     enum bc_status status);
void pool_close_idle(struct pool_state *state, struct pool_endpoint *endpoint,
		     struct pool_connection *connection);
void pool_dispatch(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us);
void pool_shrink(struct pool_state *state, struct pool_endpoint *endpoint, uint64_t now_us);

/* by_account.c */
void pool_accounts_init(struct pool_endpoint *endpoint);
void pool_accounts_free(struct pool_endpoint *endpoint);
struct pool_account *pool_account_get(struct pool_endpoint *endpoint, const char *name);
struct pool_account *pool_account_find(struct pool_endpoint *endpoint, const char *name);
void pool_account_put(struct pool_endpoint *endpoint, struct pool_account *account);
bool pool_by_account(const struct pool_endpoint *endpoint);
uint32_t pool_account_max(uint32_t allowed);
uint64_t pool_typical(uint64_t typical_us, uint64_t value_us);
void pool_dispatch_by_account(struct pool_state *state, struct pool_endpoint *endpoint,
			      uint64_t now_us);
bool pool_closes_by_account(const struct pool_state *state, const struct pool_endpoint *endpoint,
			    uint64_t now_us);
const char *pool_wait_reason(const struct pool_endpoint *endpoint,
			     const struct pool_waiter *waiter);

#endif
