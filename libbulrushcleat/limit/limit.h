#ifndef BC_LIMIT_H
#define BC_LIMIT_H

/*
 * Divides each customer's endpoint connections among all proxies, and admits connections within
 * this proxy's share. The store has one object per customer, shares/CUSTOMER, with a row for each
 * proxy: `base`, usable while the proxy is in the platform's list; `extra`, usable only under the
 * proxy's lease; and `wants`, the connections it needs beyond these. A proxy keeps its lease by
 * raising the counter in its object holders/PROXY.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LIM_RENEW_US (3 * BC_US_PER_S)	  /* interval between lease renewals */
#define LIM_LEASE_US (10 * BC_US_PER_S)	  /* validity, from when the renewal was sent */
#define LIM_RECLAIM_US (12 * BC_US_PER_S) /* without a renewal, until others may take the extra */
#define LIM_IDLE_US (2 * BC_US_PER_S)	  /* how long the use of a share counts as recent */

enum lim_store_op { LIM_GET, LIM_PUT };

struct lim_ops {
	/*
	 * Reads an object, or writes it if its version is `if_version` (0: must not exist). `value`
	 * is borrowed. The answer goes to lim_store_result() with the same call id.
	 */
	void (*store)(void *data, uint64_t call, enum lim_store_op op, const char *name,
		      uint64_t if_version, json_t *value);
	/* The customer's usable share is larger than at its last refusal. */
	void (*share_grown)(void *data, const char *customer);
};

struct lim_state;

struct lim_state *lim_create(struct bc_ctx *ctx, const char *proxy, const struct lim_ops *ops,
			     void *data);
void lim_destroy(struct lim_state *state);
/* Sets a customer's connection limit, summed over all proxies; 0 removes the customer. */
void lim_customer_set(struct lim_state *state, const char *customer, uint32_t limit);
/* Sets the entry VMs in the platform's list. Rows of proxies that left it may be reclaimed. */
void lim_fleet_set(struct lim_state *state, const char *const *proxies, size_t count);

/*
 * Sets whether row changes are reported through lim_changed(). While they are not, the rows of
 * which this proxy has a share are polled.
 */
void lim_watch_set(struct lim_state *state, bool active, uint64_t now_us);
/* Reports that the customer's rows have this version in the store. */
void lim_changed(struct lim_state *state, const char *customer, uint64_t version, uint64_t now_us);

/* Takes one connection of the customer's share. Returns false if the usable share is in use. */
bool lim_admit(struct lim_state *state, const char *customer, uint64_t now_us);
void lim_release(struct lim_state *state, const char *customer, uint64_t now_us);
/* Returns the share usable now: base, plus extra while the lease is valid. */
uint32_t lim_share(const struct lim_state *state, const char *customer, uint64_t now_us);
uint32_t lim_in_use(const struct lim_state *state, const char *customer);

/*
 * Passes the answer to a store call: BC_OK with version and value (value NULL for a successful
 * write); BC_ENOTFOUND; BC_ECONFLICT with the current version and value; BC_EIO or BC_ETIMEOUT if a
 * write may have taken effect.
 */
void lim_store_result(struct lim_state *state, uint64_t call, enum bc_status status,
		      uint64_t version, json_t *value, uint64_t now_us);
void lim_tick(struct lim_state *state, uint64_t now_us);
/* Releases all shares before this proxy stops. */
void lim_release_shares(struct lim_state *state, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
