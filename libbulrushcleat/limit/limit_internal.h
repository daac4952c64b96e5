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

/* The connections in use during the last LIM_IDLE_US are kept as the peaks of short periods. */
#define LIM_PEAK_SLOTS 5
#define LIM_PEAK_SLOT_US (LIM_IDLE_US / (LIM_PEAK_SLOTS - 1))

enum lim_call_kind { LIM_CALL_SHARES, LIM_CALL_LEASE, LIM_CALL_PEER };

/* A store call in flight, embedded in its owner; id 0 if there is none. */
struct lim_call {
	uint64_t id;
	uint64_t sent_us;
	uint64_t sent_seq; /* sequence number among sends and receipts */
	enum lim_call_kind kind;
	enum lim_store_op op;
	void *owner;
};

/* The delay of calls after failures. */
struct lim_backoff {
	uint32_t failures;
	uint64_t until_us;
};

/* A proxy's row in the object shares/CUSTOMER. */
struct lim_row {
	uint32_t base;	/* usable while the proxy is in the platform's list */
	uint32_t extra; /* usable under the lease in which it was acquired */
	uint32_t wants; /* connections needed beyond these */
};

/* The planned row of this proxy for a customer, and what follows from it. */
struct lim_plan {
	struct lim_row row;
	uint32_t admission_cap; /* admit at most this while the row is lowered, else LIM_NO_CAP */
	bool wants_lease;	/* more extra is wanted, but there is no lease */
	bool reclaim;		/* the extra of holders with an expired lease counts as free */
	bool others_short;	/* other proxies want more than is free */
	bool changed;		/* the row is to be written */
};

struct lim_customer {
	APR_RING_ENTRY(lim_customer) link;
	struct lim_state *state;
	struct bc_timer timer; /* for the next store call or plan */
	char name[BC_ID_BYTES];
	uint32_t limit;
	uint32_t in_use;
	uint64_t peak_slot;
	uint32_t peaks[LIM_PEAK_SLOTS];
	uint32_t refusals;	  /* since the share last grew */
	uint32_t refused_share;	  /* share at the last refusal */
	uint32_t requested_share; /* share of the last plan that raised the row */
	uint64_t refused_us;
	uint64_t requested_until_us; /* requested_share is kept until then */

	json_t *value; /* newest known value of the object, NULL if none is known */
	uint64_t version;
	uint64_t value_seq;	     /* sequence number of the value's receipt */
	uint64_t extra_epoch;	     /* lease epoch in which the extra was acquired */
	uint64_t unresolved_version; /* version on which the unresolved write was conditional */
	struct lim_row row;	     /* own row in the value */
	uint32_t base_cap;  /* limits the base used while a write is in flight or unresolved */
	uint32_t extra_cap; /* the same for extra */
	uint32_t admission_cap;

	struct lim_call call;
	json_t *sent_value;
	uint64_t sent_epoch;
	struct lim_row sent_row;
	uint32_t conflicts; /* consecutive ones */
	struct lim_backoff backoff;
	uint64_t planned_us; /* time of the last plan */
	uint64_t plan_due_us;
	uint64_t read_due_us;
	uint32_t polls;	       /* reads since it wants more and did not get it */
	bool awaiting_growth;  /* a connection was refused since the last ops.share_grown */
	bool write_unresolved; /* it is unknown whether a write took effect */
	bool needs_lease;      /* has extra or waits for it */
	bool must_read;	       /* before anything else, since the last call failed */
};

APR_RING_HEAD(lim_customer_ring, lim_customer);

/* A proxy: whether it is in the platform's list, and the counter in its holder object. */
struct lim_peer {
	APR_RING_ENTRY(lim_peer) link;
	char name[BC_ID_BYTES];
	bool listed;
	bool was_listed;
	uint64_t unlisted_since_us; /* when first found missing from the list, or 0 */
	uint64_t last_wanted_us;    /* when its extra was last wanted */
	bool counter_known;
	uint64_t counter;
	uint64_t counter_since_us; /* when this counter was first received */
	uint64_t expired_seq; /* send of a read that confirmed its lease as expired; 0 if none */
	bool recheck;	      /* a newer confirmation is needed */
	struct lim_call call;
	struct lim_backoff backoff;
};

APR_RING_HEAD(lim_peer_ring, lim_peer);

/* This proxy's holder object and the lease that its counter keeps. */
struct lim_lease {
	uint64_t version;
	uint64_t counter;
	bool valid; /* until until_us; cleared when the expiry is noticed */
	uint64_t until_us;
	uint64_t epoch; /* number of the uninterrupted lease, from 1 */
	uint64_t renew_us;
	uint32_t user_count; /* customers that need the lease */
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
	uint64_t last_call_id;
	uint64_t last_seq;
	uint32_t fleet_size; /* proxies in the platform's list, 0 while it is not known */
	bool listed;	     /* this proxy is in the list */
	bool watched;	     /* row changes are reported through lim_changed() */
	bool failing;	     /* a store call failed since the last success */
	bool closing;	     /* lim_release_shares() was called */
	struct lim_lease lease;
};

/* calls.c */
void lim_call_send(struct lim_state *state, struct lim_call *call, enum lim_store_op op,
		   const char *prefix, const char *name, uint64_t if_version, json_t *value,
		   uint64_t now_us);
void lim_backoff_increase(struct lim_state *state, struct lim_backoff *backoff, uint64_t now_us);
void lim_store_answered(struct lim_state *state, uint64_t now_us);
bool lim_call_failed(enum bc_status status);

/* plan.c */
uint32_t lim_update_peak(struct lim_customer *customer, uint64_t now_us);
bool lim_value_valid(const json_t *value);
struct lim_row lim_row_read(const json_t *value, const char *proxy);
void lim_plan_make(struct lim_state *state, struct lim_customer *customer, uint64_t now_us,
		   struct lim_plan *plan);
json_t *lim_plan_value(struct lim_state *state, struct lim_customer *customer,
		       const struct lim_plan *plan, uint64_t now_us);

/* shares.c */
uint32_t lim_usable_share(const struct lim_state *state, const struct lim_customer *customer,
			  uint64_t now_us);
void lim_shares_step(struct lim_state *state, struct lim_customer *customer, uint64_t now_us);
void lim_shares_set_timer(struct lim_state *state, struct lim_customer *customer, uint64_t now_us);
void lim_shares_read_later(struct lim_state *state, struct lim_customer *customer, uint64_t now_us);
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
bool lim_peer_expired(struct lim_state *state, const char *name, uint64_t value_seq,
		      uint64_t now_us);
void lim_peers_step(struct lim_state *state, uint64_t now_us);
void lim_peer_result(struct lim_state *state, struct lim_peer *peer, enum bc_status status,
		     json_t *value, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
