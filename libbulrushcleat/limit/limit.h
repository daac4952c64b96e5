#ifndef BC_LIMIT_H
#define BC_LIMIT_H

/* Shares of each customer's endpoint connections over all proxies, and admission by them. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LIM_RENEW_US (3 * BC_US_PER_S)
#define LIM_LEASE_US (10 * BC_US_PER_S)
#define LIM_RECLAIM_US (12 * BC_US_PER_S)
#define LIM_IDLE_US (2 * BC_US_PER_S)

enum lim_store_op { LIM_GET, LIM_PUT };

struct lim_ops {
	/*
	 * Reads an object, or writes it if its version is `if_version` (0: must not exist). `value`
	 * is borrowed. The answer goes to lim_store_result() with the same call id.
	 */
	void (*store)(void *data, uint64_t call, enum lim_store_op op, const char *name,
		      uint64_t if_version, json_t *value);
	/* More may be admitted for the customer than at its last refusal. */
	void (*grown)(void *data, const char *customer);
};

struct lim_state;

struct lim_state *lim_create(struct bc_ctx *ctx, const char *proxy, const struct lim_ops *ops,
			     void *data);
void lim_destroy(struct lim_state *state);
/* Sets a customer's entitlement, summed over all proxies; 0 forgets the customer. */
void lim_customer_set(struct lim_state *state, const char *customer, uint32_t limit);
/* Entry VMs in the platform's list. Rows of proxies that have left it may be taken away. */
void lim_fleet_set(struct lim_state *state, const char *const *proxies, size_t count);

/*
 * Whether changes of the rows are told by lim_changed(). While they are not, the rows that this
 * proxy holds are read again and again.
 */
void lim_watch_set(struct lim_state *state, bool in_force, uint64_t now_us);
/* The customer's rows have this version in the store. */
void lim_changed(struct lim_state *state, const char *customer, uint64_t version, uint64_t now_us);

/* Takes one connection of the customer's share; false if the share in force is used up. */
bool lim_admit(struct lim_state *state, const char *customer, uint64_t now_us);
void lim_release(struct lim_state *state, const char *customer, uint64_t now_us);
/* The share usable now: base, plus extra while the lease lasts. */
uint32_t lim_share(const struct lim_state *state, const char *customer, uint64_t now_us);
uint32_t lim_in_use(const struct lim_state *state, const char *customer);

/*
 * BC_OK with version and value (value NULL for a write that succeeded); BC_ENOTFOUND;
 * BC_ECONFLICT with the current version and value; BC_EIO or BC_ETIMEOUT: may have taken effect.
 */
void lim_store_result(struct lim_state *state, uint64_t call, enum bc_status status,
		      uint64_t version, json_t *value, uint64_t now_us);
void lim_tick(struct lim_state *state, uint64_t now_us);
/* Gives everything back before this proxy ends. */
void lim_give_back(struct lim_state *state, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
