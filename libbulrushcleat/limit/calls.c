#include "limit/limit_internal.h"

#include <stdio.h>

#define BACKOFF_FIRST_US (100 * BC_US_PER_MS)
#define BACKOFF_MAX_US (5 * BC_US_PER_S)

/* Once the store answers again, the delayed calls are made at random times within this period. */
#define RECOVERY_SPREAD_US (200 * BC_US_PER_MS)

/* Whether a store call failed so that it is unknown if a write took effect. */
bool lim_call_failed(enum bc_status status)
{
	return status != BC_OK && status != BC_ECONFLICT && status != BC_ENOTFOUND;
}

/* Sends a store call for the object PREFIX/NAME. The answer may arrive before this returns. */
void lim_call_send(struct lim_state *state, struct lim_call *call, enum lim_store_op op,
		   const char *prefix, const char *name, uint64_t if_version, json_t *value,
		   uint64_t now_us)
{
	char object[LIM_NAME_BYTES];

	snprintf(object, sizeof(object), "%s/%s", prefix, name);
	call->id = ++state->last_call_id;
	call->op = op;
	call->sent_us = now_us;
	call->sent_seq = ++state->last_seq;
	apr_hash_set(state->calls, &call->id, sizeof(call->id), call);
	bc_counter_add(state->ctx, "bulrushcleat_limit_store_calls_total",
		       op == LIM_GET ? "op=\"get\"" : "op=\"put\"", 1);
	state->ops.store(state->data, call->id, op, object, if_version, value);
}

/* Delays further calls: 100 ms, doubled up to 5 s, of which up to half is left out at random. */
void lim_backoff_increase(struct lim_state *state, struct lim_backoff *backoff, uint64_t now_us)
{
	uint64_t delay_us = BACKOFF_FIRST_US;
	uint32_t i;

	for (i = 0; i < backoff->failures && delay_us < BACKOFF_MAX_US; i++)
		delay_us *= 2;
	if (delay_us > BACKOFF_MAX_US)
		delay_us = BACKOFF_MAX_US;
	backoff->failures++;
	backoff->until_us = now_us + delay_us / 2 + bc_random_below(state->ctx, delay_us / 2 + 1);
	state->failing = true;
}

/* Ends a delay within RECOVERY_SPREAD_US. */
static void shorten_backoff(struct lim_state *state, struct lim_backoff *backoff, uint64_t now_us)
{
	uint64_t until_us = now_us + bc_random_below(state->ctx, RECOVERY_SPREAD_US);

	if (backoff->until_us > until_us)
		backoff->until_us = until_us;
}

static void shorten_customer_backoff(struct lim_state *state, struct lim_customer *customer,
				     uint64_t now_us)
{
	if (customer->backoff.until_us <= now_us)
		return;
	shorten_backoff(state, &customer->backoff, now_us);
	lim_shares_set_timer(state, customer, now_us);
}

/* Records that the store answered. After an outage, shortens the delays of all calls. */
void lim_store_answered(struct lim_state *state, uint64_t now_us)
{
	struct lim_customer *customer;
	struct lim_peer *peer;

	if (!state->failing)
		return;
	state->failing = false;
	shorten_backoff(state, &state->lease.backoff, now_us);
	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link))
		shorten_customer_backoff(state, customer, now_us);
	for (peer = APR_RING_FIRST(&state->peer_ring);
	     peer != APR_RING_SENTINEL(&state->peer_ring, lim_peer, link);
	     peer = APR_RING_NEXT(peer, link))
		shorten_backoff(state, &peer->backoff, now_us);
}
