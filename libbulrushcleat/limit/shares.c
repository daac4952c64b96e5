#include "limit/limit_internal.h"

/*
 * How often a proxy reads the rows: every 4 to 6 s while it has some share to spare, to see what
 * others want, half as often while it uses all; every 1 to 3 s while it lacks. Together with
 * LIM_IDLE_US and LIM_RECLAIM_US an idle share changes hands within 20 s.
 */
#define READ_HOLDING_US (4 * BC_US_PER_S)
#define READ_HOLDING_SPREAD_US (2 * BC_US_PER_S)
#define READ_LACKING_US (1 * BC_US_PER_S)
#define READ_LACKING_POLLS_MAX 1U

#define PLAN_PERIOD_US (500 * BC_US_PER_MS)
#define PLAN_LOWERING_US (100 * BC_US_PER_MS)

/* Delay after losing conditional updates in a row, doubled each time. */
#define CONFLICT_DELAY_US (10 * BC_US_PER_MS)
#define CONFLICTS_DOUBLED_MAX 7U

/*
 * The share usable now. Base counts while this proxy is in the platform's list; extra counts only
 * under the uninterrupted lease in which it was acquired. A write that may have lowered the row
 * counts as if it had.
 */
uint32_t lim_usable(const struct lim_state *state, const struct lim_customer *customer,
		    uint64_t now_us)
{
	uint32_t base = customer->row.base;
	uint32_t extra = customer->row.extra;

	if (base > customer->cap_base)
		base = customer->cap_base;
	if (extra > customer->cap_extra)
		extra = customer->cap_extra;
	if (!state->listed)
		base = 0;
	if (!lim_lease_valid(state, now_us) || customer->extra_epoch != state->lease.epoch)
		extra = 0;
	return base + extra < customer->limit ? base + extra : customer->limit;
}

/* Tells that more may be admitted than at the last refusal. */
static void check_grown(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	uint32_t usable = lim_usable(state, customer, now_us);

	if (usable > customer->shed_cap)
		usable = customer->shed_cap;
	if (!customer->waiting || usable <= customer->refused_share || usable <= customer->in_use)
		return;
	customer->waiting = false;
	customer->refused = 0;
	state->ops.grown(state->data, customer->name);
}

/* Counts the customers that need the lease. */
static void set_needs_lease(struct lim_state *state, struct lim_customer *customer, bool needs)
{
	if (needs && !customer->needs_lease)
		state->lease.users++;
	if (!needs && customer->needs_lease)
		state->lease.users--;
	customer->needs_lease = needs;
}

/* Takes over a value received from the store. False if it can't be read. */
static bool adopt(struct lim_state *state, struct lim_customer *customer, uint64_t version,
		  json_t *value)
{
	if (value && !lim_value_valid(value)) {
		bc_log(state->ctx, BC_LOG_ERROR, "shares_malformed", "{s:s}", "customer",
		       customer->name);
		return false;
	}
	json_decref(customer->value);
	customer->value = json_incref(value);
	customer->version = version;
	customer->value_order = ++state->order;
	customer->row = lim_row_read(value, state->proxy);
	/* A conditional write can take effect only as long as its version is the newest. */
	if (customer->unresolved && version > customer->unresolved_at)
		customer->unresolved = false;
	if (!customer->unresolved) {
		customer->cap_base = LIM_NO_CAP;
		customer->cap_extra = LIM_NO_CAP;
	}
	return true;
}

/* Writes the planned row. From now on it is not used beyond the new row. */
static void write_row(struct lim_state *state, struct lim_customer *customer,
		      const struct lim_plan *plan, uint64_t now_us)
{
	customer->sent_row = plan->row;
	customer->sent_value = lim_plan_value(state, customer, plan, now_us);
	customer->sent_epoch = lim_lease_valid(state, now_us) ? state->lease.epoch : 0;
	if (customer->cap_base > plan->row.base)
		customer->cap_base = plan->row.base;
	if (customer->cap_extra > plan->row.extra)
		customer->cap_extra = plan->row.extra;
	customer->plan_due_us = LIM_NEVER;
	lim_call_send(state, &customer->call, LIM_PUT, "shares", customer->name, customer->version,
		      customer->sent_value, now_us);
}

/* Sets a time at which to read, unless an earlier one is set. */
static void read_within(struct lim_state *state, struct lim_customer *customer, uint64_t now_us,
			uint64_t least_us, uint64_t spread_us)
{
	uint64_t due_us = now_us + least_us + bc_random_below(state->ctx, spread_us);

	if (customer->read_due_us > due_us)
		customer->read_due_us = due_us;
}

/* Sets when to plan and to read again after a plan that changes nothing. */
static void schedule(struct lim_state *state, struct lim_customer *customer,
		     const struct lim_plan *plan, uint64_t now_us)
{
	const struct lim_row *row = &customer->row;
	uint32_t all_used = lim_use_peak(customer, now_us) >= row->base + row->extra;
	uint64_t read_us = READ_LACKING_US << customer->polls;

	customer->plan_due_us = LIM_NEVER;
	if (row->extra || row->wants || customer->refused || plan->wants_lease)
		customer->plan_due_us = now_us + PLAN_PERIOD_US;
	if (plan->shed_cap != LIM_NO_CAP && row->base + row->extra > plan->shed_cap)
		customer->plan_due_us = now_us + PLAN_LOWERING_US;
	if (row->wants)
		read_within(state, customer, now_us, read_us, read_us / 2);
	else if (row->base + row->extra && (!state->watched || plan->others_lack))
		read_within(state, customer, now_us, READ_HOLDING_US << all_used,
			    READ_HOLDING_SPREAD_US << all_used);
	if (!row->wants)
		customer->polls = 0;
}

/* Plans the row, and writes it if it is to change. */
static void plan_row(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	struct lim_plan plan;

	customer->planned_us = now_us;
	lim_plan_make(state, customer, now_us, &plan);
	customer->shed_cap = plan.shed_cap;
	set_needs_lease(state, customer, plan.wants_lease || plan.row.extra || customer->row.extra);
	if (plan.row.base + plan.row.extra > customer->row.base + customer->row.extra) {
		customer->held_need = plan.row.base + plan.row.extra;
		customer->held_until_us = now_us + LIM_IDLE_US;
	}
	if (plan.changed) {
		write_row(state, customer, &plan, now_us);
		return;
	}
	schedule(state, customer, &plan, now_us);
	check_grown(state, customer, now_us);
}

/* Sets the timer to when the next call or plan of the customer is due. */
void lim_shares_due(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	uint64_t due_us = customer->plan_due_us;

	if (customer->call.id) {
		bc_timer_cancel(state->timers, &customer->timer);
		return;
	}
	if (customer->read_due_us < due_us)
		due_us = customer->read_due_us;
	if (customer->must_read)
		due_us = now_us;
	if (due_us < customer->backoff.until_us)
		due_us = customer->backoff.until_us;
	if (due_us == LIM_NEVER)
		bc_timer_cancel(state->timers, &customer->timer);
	else
		bc_timer_set(state->timers, &customer->timer, due_us);
}

/* Reads the rows, of which this proxy holds some, in a while: others may want a part of them. */
void lim_shares_expect_changes(struct lim_state *state, struct lim_customer *customer,
			       uint64_t now_us)
{
	read_within(state, customer, now_us, READ_HOLDING_US, READ_HOLDING_SPREAD_US);
	lim_shares_due(state, customer, now_us);
}

/* Makes the call that is due for the customer, if any. */
void lim_shares_step(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	if (customer->call.id || now_us < customer->backoff.until_us)
		return;
	if (customer->must_read || now_us >= customer->read_due_us) {
		if (customer->row.wants && customer->polls < READ_LACKING_POLLS_MAX)
			customer->polls++;
		customer->read_due_us = LIM_NEVER;
		lim_call_send(state, &customer->call, LIM_GET, "shares", customer->name, 0, NULL,
			      now_us);
		return;
	}
	if (now_us >= customer->plan_due_us)
		plan_row(state, customer, now_us);
}

/* Handles a write that succeeded: the row is as it was sent. */
static void written(struct lim_customer *customer, uint64_t version)
{
	if (customer->sent_row.base + customer->sent_row.extra >
	    customer->row.base + customer->row.extra)
		customer->polls = 0;
	json_decref(customer->value);
	customer->value = json_incref(customer->sent_value);
	customer->version = version;
	/*
	 * value_order stays: the rows of others are as they were received before, since the write
	 * was conditional on that version.
	 */
	customer->row = customer->sent_row;
	customer->extra_epoch = customer->sent_epoch;
	customer->unresolved = false;
	customer->cap_base = LIM_NO_CAP;
	customer->cap_extra = LIM_NO_CAP;
	customer->conflicts = 0;
}

/*
 * Delays the next write after conflicts in a row, so that the writers do not stay in step. Every
 * other attempt is made at once: under steady writes by others, only a fresh version can win.
 */
static void conflicted(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	uint32_t doubled = customer->conflicts < CONFLICTS_DOUBLED_MAX ? customer->conflicts
								       : CONFLICTS_DOUBLED_MAX;

	if (customer->conflicts++ % 2 == 1)
		customer->backoff.until_us =
			now_us + bc_random_below(state->ctx, CONFLICT_DELAY_US << doubled);
}

/* The answer to a call on the customer's rows. */
void lim_shares_result(struct lim_state *state, struct lim_customer *customer,
		       enum bc_status status, uint64_t version, json_t *value, uint64_t now_us)
{
	bool put = customer->call.op == LIM_PUT;
	bool understood = true;

	if (lim_call_failed(status)) {
		if (put) {
			customer->unresolved = true;
			customer->unresolved_at = customer->version;
		}
	} else if (put && status == BC_OK) {
		written(customer, version);
	} else if (status == BC_ENOTFOUND) {
		understood = adopt(state, customer, 0, NULL);
	} else {
		understood = value && adopt(state, customer, version, value);
	}
	json_decref(customer->sent_value);
	customer->sent_value = NULL;
	if (lim_call_failed(status) || !understood) {
		customer->must_read = true;
		lim_backoff_fail(state, &customer->backoff, now_us);
		lim_shares_due(state, customer, now_us);
		return;
	}
	customer->must_read = false;
	customer->backoff = (struct lim_backoff){0, 0};
	if (status == BC_ECONFLICT)
		conflicted(state, customer, now_us);
	lim_store_ok(state, now_us);
	customer->plan_due_us = now_us;
	check_grown(state, customer, now_us);
	lim_shares_step(state, customer, now_us);
	if (customer->limit || customer->in_use)
		lim_shares_due(state, customer, now_us);
	else
		bc_timer_set(state->timers, &customer->timer, now_us);
}
