#ifndef BC_LIMIT_INTERNAL_H
#define BC_LIMIT_INTERNAL_H

#include "core/timer.h"
#include "limit/limit.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>

#ifdef __cplusplus
extern "C" {
#endif

#define LIM_NEVER UINT64_MAX
#define LIM_NO_CAP UINT32_MAX
#define LIM_NAME_BYTES (BC_ID_BYTES + 16) /* longest object name with NUL */

/* The use of the last LIM_IDLE_US is kept as the peaks of short periods. */
#define LIM_PEAK_SLOTS 5
#define LIM_PEAK_SLOT_US (LIM_IDLE_US / (LIM_PEAK_SLOTS - 1))

enum lim_call_kind { LIM_CALL_SHARES, LIM_CALL_LEASE, LIM_CALL_PEER };

/* A store call in flight, embedded in its owner; id 0 if there is none. */
struct lim_call {
	uint64_t id;
	uint64_t sent_us;
	uint64_t sent_order; /* place in the order of sends and receipts */
	enum lim_call_kind kind;
	enum lim_store_op op;
	void *owner;
};

/* Delays after failures. */
struct lim_backoff {
	uint32_t failures;
	uint64_t until_us;
};

struct lim_row {
	uint32_t base;
	uint32_t extra;
	uint32_t wants;
};

/* What this proxy wants its row of a customer to be. */
struct lim_plan {
	struct lim_row row;
	uint32_t shed_cap; /* admit no more than this, LIM_NO_CAP if it does not lower */
	bool wants_lease;  /* more extra is wanted, but there is no lease */
	bool reclaim;	   /* what lapsed holders left is counted as free */
	bool others_lack;  /* more than is free */
	bool changed;
};

struct lim_customer {
	APR_RING_ENTRY(lim_customer) link;
	struct lim_state *state;
	struct bc_timer timer; /* the next call or plan that is due */
	char name[BC_ID_BYTES];
	uint32_t limit;
	uint32_t in_use;
	uint64_t peak_slot;
	uint32_t peaks[LIM_PEAK_SLOTS];
	uint32_t refused;	/* refusals since the last growth */
	uint32_t refused_share; /* share at the last refusal */
	uint32_t held_need;	/* what was asked for last, kept until held_until_us */
	uint64_t refused_us;
	uint64_t held_until_us;

	json_t *value; /* newest known value of the object, NULL if none is known */
	uint64_t version;
	uint64_t value_order;	/* when the value was received */
	uint64_t extra_epoch;	/* lease epoch in which the extra was acquired */
	uint64_t unresolved_at; /* version that an unresolved write was conditional on */
	struct lim_row row;	/* own row in the value */
	uint32_t cap_base;	/* a write that may have taken effect lowers to this */
	uint32_t cap_extra;	/* the same */
	uint32_t shed_cap;

	struct lim_call call;
	json_t *sent_value;
	uint64_t sent_epoch;
	struct lim_row sent_row;
	uint32_t conflicts; /* in a row */
	struct lim_backoff backoff;
	uint64_t planned_us; /* last plan */
	uint64_t plan_due_us;
	uint64_t read_due_us;
	uint32_t polls;	  /* readings without success while it lacks */
	bool waiting;	  /* refused since the last ops->grown */
	bool unresolved;  /* it is not known whether a write took effect */
	bool needs_lease; /* holds or waits for extra */
	bool must_read;
};

APR_RING_HEAD(lim_customer_ring, lim_customer);

/* Another proxy: whether it is in the platform's list, and its holder counter. */
struct lim_peer {
	APR_RING_ENTRY(lim_peer) link;
	char name[BC_ID_BYTES];
	bool listed;
	bool was_listed;
	uint64_t absent_since_us; /* first noticed as never listed; 0 if not */
	uint64_t interest_us;	  /* last time that its extra was wanted */
	bool seen;
	uint64_t counter;
	uint64_t seen_us;	/* receipt of the first reading with this counter */
	uint64_t expired_order; /* sending of a reading that confirmed it; 0 if none */
	bool recheck;		/* a newer confirmation is wanted */
	struct lim_call call;
	struct lim_backoff backoff;
};

APR_RING_HEAD(lim_peer_ring, lim_peer);

/* The own holder counter and the lease that it keeps. */
struct lim_lease {
	uint64_t version;
	uint64_t counter;
	bool valid; /* until until_us, and not noticed as lapsed */
	uint64_t until_us;
	uint64_t epoch; /* counts the uninterrupted leases, from 1 */
	uint64_t renew_us;
	uint32_t users; /* customers that need the lease */
	bool must_read;
	struct lim_call call;
	struct lim_backoff backoff;
};

struct lim_state {
	struct bc_ctx *ctx;
	struct lim_ops ops;
	void *data;
	apr_pool_t *pool;
	char proxy[BC_ID_BYTES];
	apr_hash_t *customers; /* name -> struct lim_customer */
	apr_hash_t *peers;     /* name -> struct lim_peer */
	apr_hash_t *calls;     /* id -> struct lim_call */
	struct bc_timers *timers;
	struct lim_customer_ring customer_ring;
	struct lim_peer_ring peer_ring;
	uint64_t last_call;
	uint64_t order;
	uint32_t fleet; /* proxies in the platform's list, 0 while it is not known */
	bool listed;	/* this proxy is in the list */
	bool watched;	/* changes of rows are told */
	bool failing;	/* a store call failed since the last success */
	bool closing;
	struct lim_lease lease;
};

/* calls.c */
void lim_call_send(struct lim_state *state, struct lim_call *call, enum lim_store_op op,
		   const char *prefix, const char *name, uint64_t if_version, json_t *value,
		   uint64_t now_us);
void lim_backoff_fail(struct lim_state *state, struct lim_backoff *backoff, uint64_t now_us);
void lim_store_ok(struct lim_state *state, uint64_t now_us);
bool lim_call_failed(enum bc_status status);

/* plan.c */
uint32_t lim_use_peak(struct lim_customer *customer, uint64_t now_us);
bool lim_value_valid(const json_t *value);
struct lim_row lim_row_read(const json_t *value, const char *proxy);
void lim_plan_make(struct lim_state *state, struct lim_customer *customer, uint64_t now_us,
		   struct lim_plan *plan);
json_t *lim_plan_value(struct lim_state *state, struct lim_customer *customer,
		       const struct lim_plan *plan, uint64_t now_us);

/* shares.c */
uint32_t lim_usable(const struct lim_state *state, const struct lim_customer *customer,
		    uint64_t now_us);
void lim_shares_step(struct lim_state *state, struct lim_customer *customer, uint64_t now_us);
void lim_shares_due(struct lim_state *state, struct lim_customer *customer, uint64_t now_us);
void lim_shares_expect_changes(struct lim_state *state, struct lim_customer *customer,
			       uint64_t now_us);
void lim_shares_result(struct lim_state *state, struct lim_customer *customer,
		       enum bc_status status, uint64_t version, json_t *value, uint64_t now_us);

/* lease.c */
bool lim_lease_valid(const struct lim_state *state, uint64_t now_us);
void lim_lease_step(struct lim_state *state, uint64_t now_us);
void lim_lease_result(struct lim_state *state, enum bc_status status, uint64_t version,
		      json_t *value, uint64_t now_us);

/* peers.c */
struct lim_peer *lim_peer_get(struct lim_state *state, const char *name);
bool lim_peer_listed(struct lim_state *state, const char *name);
bool lim_peer_departed(struct lim_state *state, const char *name, uint64_t now_us);
bool lim_peer_expired(struct lim_state *state, const char *name, uint64_t value_order,
		      uint64_t now_us);
void lim_peers_step(struct lim_state *state, uint64_t now_us);
void lim_peer_result(struct lim_state *state, struct lim_peer *peer, enum bc_status status,
		     json_t *value, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
