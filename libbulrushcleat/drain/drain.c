#include "drain/drain.h"

#include <stdlib.h>

struct drn_state {
	struct bc_ctx *ctx;
	struct drn_ops ops;
	void *data;
	uint64_t timeout_us;
	uint64_t notice_us;
	uint64_t closing_us;
	uint64_t shutdown_start_us;
	enum drn_phase phase;
	uint32_t requests;
	uint32_t transactions;
};

/*
 * Creates the drain state of a serving proxy. `timeout_us` is counted from drn_begin(). Returns
 * NULL when out of memory.
 */
struct drn_state *drn_create(struct bc_ctx *ctx, uint64_t timeout_us, const struct drn_ops *ops,
			     void *data)
{
	struct drn_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	state->timeout_us = timeout_us;
	state->notice_us = DRN_NOTICE_US;
	return state;
}

/* Frees the drain state; NULL is ignored. */
void drn_destroy(struct drn_state *state)
{
	free(state);
}

/* The phase's name in logs. */
const char *drn_phase_name(enum drn_phase phase)
{
	static const char *const names[] = {[DRN_SERVING] = "serving",
					    [DRN_NOTICE] = "notice",
					    [DRN_CLOSING] = "closing",
					    [DRN_DRAINING] = "draining",
					    [DRN_DONE] = "done"};

	return names[phase];
}

/* Changes the phase, logs it and calls the owner's phase callback. */
static void enter_phase(struct drn_state *state, enum drn_phase phase)
{
	uint32_t unfinished = phase == DRN_DONE ? state->requests + state->transactions : 0;

	state->phase = phase;
	bc_log(state->ctx, BC_LOG_INFO, "drain_phase", "{s:s,s:i,s:i}", "phase",
	       drn_phase_name(phase), "requests", (int)state->requests, "transactions",
	       (int)state->transactions);
	state->ops.phase(state->data, phase, unfinished);
}

/* Completes the drain when no request or transaction is in flight. */
static void check_done(struct drn_state *state)
{
	if ((state->phase == DRN_CLOSING || state->phase == DRN_DRAINING) && state->requests == 0 &&
	    state->transactions == 0)
		enter_phase(state, DRN_DONE);
}

/* Sets how long the proxy keeps all sessions open after drn_begin(). */
void drn_notice_set(struct drn_state *state, uint64_t notice_us)
{
	state->notice_us = notice_us;
}

/* Sets how long after the notice the proxy goes on admitting requests, closing idle sessions. */
void drn_closing_set(struct drn_state *state, uint64_t closing_us)
{
	state->closing_us = closing_us;
}

/* Replaces the counts of requests and transactions in flight. */
void drn_in_flight_set(struct drn_state *state, uint32_t requests, uint32_t transactions,
		       uint64_t now_us)
{
	state->requests = requests;
	state->transactions = transactions;
	drn_tick(state, now_us);
}

/* Starts the shutdown; a second call changes nothing. */
void drn_begin(struct drn_state *state, uint64_t now_us)
{
	if (state->phase != DRN_SERVING)
		return;
	state->shutdown_start_us = now_us;
	enter_phase(state, DRN_NOTICE);
}

/* Returns the current phase. */
enum drn_phase drn_phase(const struct drn_state *state)
{
	return state->phase;
}

/* Whether a request is admitted now. While draining, only those of open transactions are. */
bool drn_admits(const struct drn_state *state, bool in_transaction)
{
	return state->phase != DRN_DONE && (state->phase != DRN_DRAINING || in_transaction);
}

/*
 * Admits or refuses a request. The caller ends each admitted request with drn_request_end().
 */
bool drn_request_start(struct drn_state *state, bool in_transaction)
{
	if (!drn_admits(state, in_transaction))
		return false;
	state->requests++;
	return true;
}

/* Ends an admitted request. */
void drn_request_end(struct drn_state *state, uint64_t now_us)
{
	if (state->requests)
		state->requests--;
	drn_tick(state, now_us);
}

/* Counts a transaction that a request has opened; it stays open between its requests. */
void drn_transaction_start(struct drn_state *state)
{
	state->transactions++;
}

/* Ends a transaction by commit, rollback or loss of its connection. */
void drn_transaction_end(struct drn_state *state, uint64_t now_us)
{
	if (state->transactions)
		state->transactions--;
	drn_tick(state, now_us);
}

/*
 * Enters the next phase when its time has come. The timeout ends the shutdown even if requests or
 * transactions are in flight; their number is reported to the phase callback.
 */
void drn_tick(struct drn_state *state, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - state->shutdown_start_us;

	if (state->phase == DRN_NOTICE && elapsed_us >= state->notice_us)
		enter_phase(state, state->closing_us ? DRN_CLOSING : DRN_DRAINING);
	check_done(state);
	if (state->phase == DRN_CLOSING && elapsed_us >= state->notice_us + state->closing_us)
		enter_phase(state, DRN_DRAINING);
	if (state->phase != DRN_SERVING && state->phase != DRN_DONE &&
	    elapsed_us >= state->timeout_us)
		enter_phase(state, DRN_DONE);
}
