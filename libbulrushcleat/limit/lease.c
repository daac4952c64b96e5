#include "limit/limit_internal.h"

/* Whether the lease is valid at this time. */
bool lim_lease_valid(const struct lim_state *state, uint64_t now_us)
{
	return state->lease.valid && now_us < state->lease.until_us;
}

/* Returns the counter in a holder object's value, or 0 if there is none. */
static uint64_t counter_read(const json_t *value)
{
	return (uint64_t)json_integer_value(json_object_get(value, "counter"));
}

/* Makes a plan due for each customer that needs the lease. */
static void replan_lease_waiters(struct lim_state *state, uint64_t now_us)
{
	struct lim_customer *customer;

	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		if (customer->needs_lease && customer->plan_due_us > now_us) {
			customer->plan_due_us = now_us;
			lim_shares_set_timer(state, customer, now_us);
		}
	}
}

/*
 * Renews the lease while a customer needs it. After a renewal without an answer, the object is read
 * first.
 */
void lim_lease_step(struct lim_state *state, uint64_t now_us)
{
	struct lim_lease *lease = &state->lease;
	json_t *value;

	if (lease->valid && now_us >= lease->until_us)
		lease->valid = false;
	if (lease->user_count == 0 || lease->call.id || now_us < lease->backoff.until_us)
		return;
	if (lease->must_read) {
		lim_call_send(state, &lease->call, LIM_GET, "holders", state->proxy, 0, NULL,
			      now_us);
		return;
	}
	if (lease->valid && now_us < lease->renew_us)
		return;
	value = json_pack("{s:I}", "counter", (json_int_t)lease->counter + 1);
	lim_call_send(state, &lease->call, LIM_PUT, "holders", state->proxy, lease->version, value,
		      now_us);
	json_decref(value);
}

/*
 * Handles a successful renewal. The lease period begins when the renewal was sent. If the previous
 * lease has expired in the meantime, this is a new one, even if no call noticed the expiry.
 */
static void lease_renewed(struct lim_state *state, uint64_t version, uint64_t now_us)
{
	struct lim_lease *lease = &state->lease;
	uint64_t until_us = lease->call.sent_us + LIM_LEASE_US;

	lease->counter++;
	lease->version = version;
	lease->renew_us = lease->call.sent_us + LIM_RENEW_US;
	if (lease->valid && now_us >= lease->until_us)
		lease->valid = false;
	if (now_us >= until_us)
		return;
	lease->until_us = until_us;
	if (lease->valid)
		return;
	lease->valid = true;
	lease->epoch++;
	replan_lease_waiters(state, now_us);
}

/* Handles the answer to a store call for this proxy's own holder object. */
void lim_lease_result(struct lim_state *state, enum bc_status status, uint64_t version,
		      json_t *value, uint64_t now_us)
{
	struct lim_lease *lease = &state->lease;

	if (lim_call_failed(status)) {
		lease->must_read = true;
		lim_backoff_increase(state, &lease->backoff, now_us);
		return;
	}
	lease->must_read = false;
	lease->backoff = (struct lim_backoff){0, 0};
	lim_store_answered(state, now_us);
	if (lease->call.op == LIM_PUT && status == BC_OK) {
		lease_renewed(state, version, now_us);
		return;
	}
	lease->version = status == BC_ENOTFOUND ? 0 : version;
	lease->counter = counter_read(value);
	lim_lease_step(state, now_us);
}
