#include "limit/limit_internal.h"

/*
 * How often a proxy reads the rows: every 4 to 6 s while part of its share is unused, to learn what
 * others want; half as often while all of it is in use; every 1 to 3 s while it wants more than it
 * has. Together with LIM_IDLE_US and LIM_RECLAIM_US, an idle share moves to another proxy within
 * 20 s.
 */
#define READ_HOLDING_US (4 * BC_US_PER_S)
#define READ_HOLDING_SPREAD_US (2 * BC_US_PER_S)
#define READ_WANTING_US (1 * BC_US_PER_S)
#define READ_WANTING_DOUBLINGS_MAX 1U

#define PLAN_PERIOD_US (500 * BC_US_PER_MS)
#define PLAN_REDUCTION_US (100 * BC_US_PER_MS)

/* Delay after consecutive conflicts of conditional writes, doubled each time. */
#define CONFLICT_DELAY_US (10 * BC_US_PER_MS)
#define CONFLICT_DOUBLINGS_MAX 7U

/*
 * Returns the share usable now. Base counts while this proxy is in the platform's list; extra
 * counts only under the uninterrupted lease in which it was acquired. A write that may have lowered
 * the row counts as if it had.
 */
uint32_t lim_usable_share(const struct lim_state *state, const struct lim_customer *customer,
			  uint64_t now_us)
{
	uint32_t base = customer->row.base;
	uint32_t extra = customer->row.extra;

	if (base > customer->base_cap)
		base = customer->base_cap;
	if (extra > customer->extra_cap)
		extra = customer->extra_cap;
	if (!state->listed)
		base = 0;
	if (!lim_lease_valid(state, now_us) || customer->extra_epoch != state->lease.epoch)
		extra = 0;
	return base + extra < customer->limit ? base + extra : customer->limit;
}

/* Calls ops.share_grown if more connections may be admitted than at the last refusal. */
static void notify_if_grown(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	uint32_t usable = lim_usable_share(state, customer, now_us);

	if (usable > customer->admission_cap)
		usable = customer->admission_cap;
	if (!customer->awaiting_growth || usable <= customer->refused_share ||
	    usable <= customer->in_use)
		return;
	customer->awaiting_growth = false;
	customer->refusals = 0;
	state->ops.share_grown(state->data, customer->name);
}

/* Records whether the customer needs the lease, and counts those that do. */
static void set_needs_lease(struct lim_state *state, struct lim_customer *customer, bool needs)
{
	if (needs && !customer->needs_lease)
		state->lease.user_count++;
	if (!needs && customer->needs_lease)
		state->lease.user_count--;
	customer->needs_lease = needs;
}

/* Stores a value received from the store as the newest. Returns false if it is malformed. */
static bool accept_value(struct lim_state *state, struct lim_customer *customer, uint64_t version,
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
	customer->value_seq = ++state->last_seq;
	customer->row = lim_row_read(value, state->proxy);
	/* A conditional write can take effect only as long as its version is the newest. */
	if (customer->write_unresolved && version > customer->unresolved_version)
		customer->write_unresolved = false;
	if (!customer->write_unresolved) {
		customer->base_cap = LIM_NO_CAP;
		customer->extra_cap = LIM_NO_CAP;
	}
	return true;
}

/* Writes the planned row. From now on, no more than the new row is used. */
static void write_row(struct lim_state *state, struct lim_customer *customer,
		      const struct lim_plan *plan, uint64_t now_us)
{
	customer->sent_row = plan->row;
	customer->sent_value = lim_plan_value(state, customer, plan, now_us);
	customer->sent_epoch = lim_lease_valid(state, now_us) ? state->lease.epoch : 0;
	if (customer->base_cap > plan->row.base)
		customer->base_cap = plan->row.base;
	if (customer->extra_cap > plan->row.extra)
		customer->extra_cap = plan->row.extra;
	customer->plan_due_us = LIM_NEVER;
	lim_call_send(state, &customer->call, LIM_PUT, "shares", customer->name, customer->version,
		      customer->sent_value, now_us);
}

/* Schedules a read after least_us plus up to spread_us, unless an earlier one is scheduled. */
static void schedule_read(struct lim_state *state, struct lim_customer *customer, uint64_t now_us,
			  uint64_t least_us, uint64_t spread_us)
{
	uint64_t due_us = now_us + least_us + bc_random_below(state->ctx, spread_us);

	if (customer->read_due_us > due_us)
		customer->read_due_us = due_us;
}

/* Schedules the next plan and read after a plan that changes nothing. */
static void schedule_plan_and_read(struct lim_state *state, struct lim_customer *customer,
				   const struct lim_plan *plan, uint64_t now_us)
{
	const struct lim_row *row = &customer->row;
	uint32_t all_used = lim_update_peak(customer, now_us) >= row->base + row->extra;
	uint64_t read_us = READ_WANTING_US << customer->polls;

	customer->plan_due_us = LIM_NEVER;
	if (row->extra || row->wants || customer->refusals || plan->wants_lease)
		customer->plan_due_us = now_us + PLAN_PERIOD_US;
	if (plan->admission_cap != LIM_NO_CAP && row->base + row->extra > plan->admission_cap)
		customer->plan_due_us = now_us + PLAN_REDUCTION_US;
	if (row->wants)
		schedule_read(state, customer, now_us, read_us, read_us / 2);
	else if (row->base + row->extra && (!state->watched || plan->others_short))
		schedule_read(state, customer, now_us, READ_HOLDING_US << all_used,
			      READ_HOLDING_SPREAD_US << all_used);
	if (!row->wants)
		customer->polls = 0;
}

/* Plans the row and writes it if it changes. */
static void plan_row(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	struct lim_plan plan;

	customer->planned_us = now_us;
	lim_plan_make(state, customer, now_us, &plan);
	customer->admission_cap = plan.admission_cap;
	set_needs_lease(state, customer, plan.wants_lease || plan.row.extra || customer->row.extra);
	if (plan.row.base + plan.row.extra > customer->row.base + customer->row.extra) {
		customer->requested_share = plan.row.base + plan.row.extra;
		customer->requested_until_us = now_us + LIM_IDLE_US;
	}
	if (plan.changed) {
		write_row(state, customer, &plan, now_us);
		return;
	}
	schedule_plan_and_read(state, customer, &plan, now_us);
	notify_if_grown(state, customer, now_us);
}

/* Sets the timer to the customer's next store call or plan. Stops it while a call is in flight. */
void lim_shares_set_timer(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
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

/* Schedules a read of rows in which this proxy has a share, since others may want a part of it. */
void lim_shares_read_later(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	schedule_read(state, customer, now_us, READ_HOLDING_US, READ_HOLDING_SPREAD_US);
	lim_shares_set_timer(state, customer, now_us);
}

/* Makes the store call that is due for the customer, if any. */
void lim_shares_step(struct lim_state *state, struct lim_customer *customer, uint64_t now_us)
{
	if (customer->call.id || now_us < customer->backoff.until_us)
		return;
	if (customer->must_read || now_us >= customer->read_due_us) {
		if (customer->row.wants && customer->polls < READ_WANTING_DOUBLINGS_MAX)
			customer->polls++;
		customer->read_due_us = LIM_NEVER;
		lim_call_send(state, &customer->call, LIM_GET, "shares", customer->name, 0, NULL,
			      now_us);
		return;
	}
	if (now_us >= customer->plan_due_us)
		plan_row(state, customer, now_us);
}

/* Handles a successful write: the row is now as it was sent. */
static void write_succeeded(struct lim_customer *customer, uint64_t version)
{
	if (customer->sent_row.base + customer->sent_row.extra >
	    customer->row.base + customer->row.extra)
		customer->polls = 0;
	json_decref(customer->value);
	customer->value = json_incref(customer->sent_value);
	customer->version = version;
	/*
	 * value_seq is not changed: the rows of others are as received before, since the write was
	 * conditional on that version.
	 */
	customer->row = customer->sent_row;
	customer->extra_epoch = customer->sent_epoch;
	customer->write_unresolved = false;
	customer->base_cap = LIM_NO_CAP;
	customer->extra_cap = LIM_NO_CAP;
	customer->conflicts = 0;
}

/*
 * Delays the next write after consecutive conflicts, so that the writers do not stay synchronized.
 * Every other attempt is made at once: under steady writes by others, a write can succeed only on
 * a version that was just read.
 */
static void write_conflicted(struct lim_state *state, struct lim_customer *customer,
			     uint64_t now_us)
{
	uint32_t doublings = customer->conflicts < CONFLICT_DOUBLINGS_MAX ? customer->conflicts
									  : CONFLICT_DOUBLINGS_MAX;

	if (customer->conflicts++ % 2 == 1)
		customer->backoff.until_us =
			now_us + bc_random_below(state->ctx, CONFLICT_DELAY_US << doublings);
}

/* Handles the answer to a store call for the customer's rows. */
void lim_shares_result(struct lim_state *state, struct lim_customer *customer,
		       enum bc_status status, uint64_t version, json_t *value, uint64_t now_us)
{
	bool put = customer->call.op == LIM_PUT;
	bool value_accepted = true;

	if (lim_call_failed(status)) {
		if (put) {
			customer->write_unresolved = true;
			customer->unresolved_version = customer->version;
		}
	} else if (put && status == BC_OK) {
		write_succeeded(customer, version);
	} else if (status == BC_ENOTFOUND) {
		value_accepted = accept_value(state, customer, 0, NULL);
	} else {
		value_accepted = value && accept_value(state, customer, version, value);
	}
	json_decref(customer->sent_value);
	customer->sent_value = NULL;
	if (lim_call_failed(status) || !value_accepted) {
		customer->must_read = true;
		lim_backoff_increase(state, &customer->backoff, now_us);
		lim_shares_set_timer(state, customer, now_us);
		return;
	}
	customer->must_read = false;
	customer->backoff = (struct lim_backoff){0, 0};
	if (status == BC_ECONFLICT)
		write_conflicted(state, customer, now_us);
	lim_store_answered(state, now_us);
	customer->plan_due_us = now_us;
	notify_if_grown(state, customer, now_us);
	lim_shares_step(state, customer, now_us);
	if (customer->limit || customer->in_use)
		lim_shares_set_timer(state, customer, now_us);
	else
		bc_timer_set(state->timers, &customer->timer, now_us);
}
