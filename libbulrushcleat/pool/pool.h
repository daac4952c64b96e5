#ifndef BC_POOL_H
#define BC_POOL_H

/*
 * Connection pool: opens connections to endpoints, lends each for one transaction, and queues
 * requests with deadlines.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define POOL_QUEUE_MAX 128U
/* A connection above this proxy's share is closed after being idle for this time. */
#define POOL_IDLE_US (1 * BC_US_PER_S)
/*
 * Endpoints of deployments with accounts close a connection after 60 s without a call. A connection
 * idle for this long is closed, if the endpoint is used by accounts.
 */
#define POOL_ACCOUNT_IDLE_US (50 * BC_US_PER_S)
#define POOL_CONNECTION_BYTES 64 /* longest connection id with NUL */

struct pool_ops {
	/*
	 * Opens a connection under the name of the account, or without one if this is empty. The
	 * result is passed to pool_opened().
	 */
	void (*open)(void *data, const char *endpoint, const char *account);
	/* Closes a connection; no result is reported. */
	void (*close)(void *data, const char *endpoint, const char *connection);
	/* Lends the connection to the waiter until pool_release(). */
	void (*granted)(void *data, uint64_t waiter, const char *endpoint, const char *connection);
	/*
	 * No connection is granted, and nothing was sent to the endpoint. BC_ELIMIT: the queue is
	 * full, the waiter was shed from it, or the wait would outlast the deadline; BC_ETIMEOUT:
	 * the deadline has passed; BC_EIO: the endpoint is unknown, removed or does not answer;
	 * BC_EINVAL: a waiter with this id is already queued; BC_ENOMEM.
	 */
	void (*rejected)(void *data, uint64_t waiter, enum bc_status status);
	/* Number of the endpoint's connections that run a statement or are being opened. */
	uint32_t (*running)(void *data, const char *endpoint);
};

struct pool_request {
	uint64_t waiter; /* id chosen by the caller, passed to ops->granted or ops->rejected */
	const char *endpoint;
	const char *customer; /* customers of one priority are served round-robin */
	/*
	 * The account under whose name the connection must have been opened; "": without an
	 * account. NULL: any connection will do; a new one is opened without an account.
	 */
	const char *account;
	bool reserved;	      /* a write: may use the connection that reads leave free */
	bool on_primary;      /* reads on a primary must leave one connection free for writes */
	uint64_t deadline_us; /* must be granted before this */
	uint32_t priority;    /* 0 comes first */
};

struct pool_state;

struct pool_state *pool_create(struct bc_ctx *ctx, const struct pool_ops *ops, void *data);
void pool_destroy(struct pool_state *state);
/* Adds an endpoint, or changes the number of connections it accepts from all proxies together. */
void pool_endpoint_set(struct pool_state *state, const char *endpoint, uint32_t connections);
/*
 * Stops opening connections while ops->running() reports this many or more; 0, the default, sets no
 * limit.
 */
void pool_running_max_set(struct pool_state *state, const char *endpoint, uint32_t running_max);
/* Removes an endpoint: rejects its waiters and closes its connections once they are idle. */
void pool_endpoint_remove(struct pool_state *state, const char *endpoint, uint64_t now_us);
/* Sets the number of live proxies, among which an endpoint's connections are shared. */
void pool_proxies_set(struct pool_state *state, uint32_t proxies);
/* Requests a connection. May call ops->granted or ops->rejected before it returns. */
void pool_acquire(struct pool_state *state, const struct pool_request *request, uint64_t now_us);
/* Cancels a queued request; false if the waiter is not, or no longer, queued. */
bool pool_cancel(struct pool_state *state, uint64_t waiter, uint64_t now_us);
/* Returns a connection; one that is not clean is closed and never reused. */
void pool_release(struct pool_state *state, const char *endpoint, const char *connection,
		  bool clean, uint64_t now_us);
/* Closes a broken connection, lent or idle. Its holder must not release it. */
void pool_connection_lost(struct pool_state *state, const char *endpoint, const char *connection,
			  uint64_t now_us);
/*
 * Reports the result of ops->open, with the account that it was called with. BC_OK: opened, with
 * the connection's id; BC_ELIMIT: the endpoint has no free connection; BC_EIO: it does not answer.
 */
void pool_opened(struct pool_state *state, const char *endpoint, const char *account,
		 enum bc_status status, const char *connection, uint64_t now_us);
void pool_tick(struct pool_state *state, uint64_t now_us);

struct pool_stats {
	uint32_t lent;
	uint32_t idle;
	uint32_t opening;
	uint32_t queued;
};
struct pool_stats pool_stats_get(const struct pool_state *state, const char *endpoint);

#ifdef __cplusplus
}
#endif

#endif
