#ifndef BC_DRAIN_H
#define BC_DRAIN_H

/* Graceful shutdown of a proxy: refuses new requests and lets those in flight finish. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The load balancer sees "not ready" for this long before the proxy refuses new requests. */
#define DRN_NOTICE_US (500 * BC_US_PER_MS)

enum drn_phase {
	DRN_SERVING,
	DRN_NOTICE,   /* reports not ready, still admits requests */
	DRN_CLOSING,  /* closes idle sessions, still admits requests; skipped if it has no length */
	DRN_DRAINING, /* admits only requests of open transactions */
	DRN_DONE,
};

/* Stable lower-case names, for logs. */
const char *drn_phase_name(enum drn_phase phase);

struct drn_ops {
	/*
	 * Called on entering a phase. In DRN_DONE, `unfinished` counts the requests and
	 * transactions that the timeout cut off; otherwise it is 0.
	 */
	void (*phase)(void *data, enum drn_phase phase, uint32_t unfinished);
};

struct drn_state;

struct drn_state *drn_create(struct bc_ctx *ctx, uint64_t timeout_us, const struct drn_ops *ops,
			     void *data);
void drn_destroy(struct drn_state *state);
/* Sets the length of DRN_NOTICE. */
void drn_notice_set(struct drn_state *state, uint64_t notice_us);
/* Sets the length of DRN_CLOSING, which is 0 otherwise. */
void drn_closing_set(struct drn_state *state, uint64_t closing_us);
/* For owners that count the requests and transactions in flight themselves. */
void drn_in_flight_set(struct drn_state *state, uint32_t requests, uint32_t transactions,
		       uint64_t now_us);
void drn_begin(struct drn_state *state, uint64_t now_us);
enum drn_phase drn_phase(const struct drn_state *state);
/* Whether a request is admitted now; see drn_request_start(). */
bool drn_admits(const struct drn_state *state, bool in_transaction);
/* Returns false if refused; requests of open transactions are admitted until DRN_DONE. */
bool drn_request_start(struct drn_state *state, bool in_transaction);
void drn_request_end(struct drn_state *state, uint64_t now_us);
void drn_transaction_start(struct drn_state *state);
void drn_transaction_end(struct drn_state *state, uint64_t now_us);
void drn_tick(struct drn_state *state, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
