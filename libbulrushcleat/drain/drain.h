#ifndef BC_DRAIN_H
#define BC_DRAIN_H

/* Graceful shutdown of a proxy: no new work, requests in flight end first. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time in which the balancer sees "not ready" while requests are still taken. */
#define DRN_NOTICE_US (500 * BC_US_PER_MS)

enum drn_phase {
	DRN_SERVING,
	DRN_NOTICE,   /* not ready, still takes requests */
	DRN_DRAINING, /* takes no new request or transaction; those in flight go on */
	DRN_DONE,
};

struct drn_ops {
	/* Entered a phase. In DRN_DONE, `left` counts requests cut off by the timeout. */
	void (*phase)(void *data, enum drn_phase phase, uint32_t left);
};

struct drn_state;

struct drn_state *drn_create(struct bc_ctx *ctx, uint64_t timeout_us, const struct drn_ops *ops,
			     void *data);
void drn_destroy(struct drn_state *state);
/* Sets the time between the start and the end of DRN_NOTICE. */
void drn_notice_set(struct drn_state *state, uint64_t notice_us);
/* For owners that count by themselves: what is in progress now. */
void drn_load_set(struct drn_state *state, uint32_t requests, uint32_t transactions,
		  uint64_t now_us);
void drn_begin(struct drn_state *state, uint64_t now_us);
enum drn_phase drn_phase(const struct drn_state *state);
/* Whether a new request is taken; one that belongs to an open transaction is taken until done. */
bool drn_request_start(struct drn_state *state, bool in_transaction);
void drn_request_end(struct drn_state *state, uint64_t now_us);
void drn_transaction_start(struct drn_state *state);
void drn_transaction_end(struct drn_state *state, uint64_t now_us);
void drn_tick(struct drn_state *state, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
