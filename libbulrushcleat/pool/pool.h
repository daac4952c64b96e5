#ifndef BC_POOL_H
#define BC_POOL_H

/* Connections to endpoints: opening, lending for one transaction, queues with deadlines. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define POOL_QUEUE_MAX 128U
#define POOL_IDLE_US (1 * BC_US_PER_S)
#define POOL_CONNECTION_BYTES 64 /* longest connection id with NUL */

struct pool_ops {
	/* Opens a connection; the answer goes to pool_opened(). */
	void (*open)(void *data, const char *endpoint);
	/* Closes a connection; nothing is answered. */
	void (*close)(void *data, const char *endpoint, const char *connection);
	/* The waiter has the connection until pool_release(). */
	void (*granted)(void *data, uint64_t waiter, const char *endpoint, const char *connection);
	/* Not granted, nothing was sent: BC_ELIMIT queue full or shed, BC_ETIMEOUT, BC_EIO. */
	void (*rejected)(void *data, uint64_t waiter, enum bc_status status);
	/* Connections that run a statement or are being opened; for pool_running_set(). */
	uint32_t (*running)(void *data, const char *endpoint);
};

struct pool_want {
	uint64_t waiter;
	const char *endpoint;
	const char *customer;
	bool reserved;	      /* a write: may use the connection that reads leave free */
	bool on_primary;      /* reads on a primary leave one connection free */
	uint64_t deadline_us; /* must be granted before this */
	uint32_t priority;    /* 0 comes first */
};

struct pool_state;

struct pool_state *pool_create(struct bc_ctx *ctx, const struct pool_ops *ops, void *data);
void pool_destroy(struct pool_state *state);
/* Adds or changes an endpoint and the connections that it allows over all proxies. */
void pool_endpoint_set(struct pool_state *state, const char *endpoint, uint32_t connections);
/*
 * Opens no connection while this many run a statement or are being opened; 0, as at first: any
 * number.
 */
void pool_running_set(struct pool_state *state, const char *endpoint, uint32_t most);
/* Closes its connections as they become idle and rejects its waiters. */
void pool_endpoint_remove(struct pool_state *state, const char *endpoint, uint64_t now_us);
/* Number of live proxies, for the fair share of connections. */
void pool_fleet_set(struct pool_state *state, uint32_t proxies);
/* May call ops->granted or ops->rejected before it returns. */
void pool_acquire(struct pool_state *state, const struct pool_want *want, uint64_t now_us);
/* Gives up waiting; false if the waiter is not queued (any more). */
bool pool_cancel(struct pool_state *state, uint64_t waiter, uint64_t now_us);
/* Returns a connection; one that is not clean is closed and never lent on. */
void pool_release(struct pool_state *state, const char *endpoint, const char *connection,
		  bool clean, uint64_t now_us);
/* A connection broke, lent or not. It is closed; whoever had it must not release it. */
void pool_lost(struct pool_state *state, const char *endpoint, const char *connection,
	       uint64_t now_us);
/* BC_OK with the connection's id; BC_ELIMIT: the endpoint is full; BC_EIO: it does not answer. */
void pool_opened(struct pool_state *state, const char *endpoint, enum bc_status status,
		 const char *connection, uint64_t now_us);
void pool_tick(struct pool_state *state, uint64_t now_us);

struct pool_figures {
	uint32_t lent;
	uint32_t idle;
	uint32_t opening;
	uint32_t queued;
};
struct pool_figures pool_figures_get(const struct pool_state *state, const char *endpoint);

#ifdef __cplusplus
}
#endif

#endif
