#include "limit/limit_internal.h"

#include <string.h>

/* Refusals count as demand up to this, or up to the connections in use if these are more. */
#define REFUSALS_COUNTED_MIN 8U

/* Minimum to ask for: a first refusal is mostly followed by others, and this saves their writes. */
#define WANTS_MIN 4U

/* After the share has grown, `wants` stays for this long in case refusals continue. */
#define WANTS_HOLD_US (500 * BC_US_PER_MS)

/* Sums over the rows of the other proxies, less what may be reclaimed from them. */
struct others {
	uint32_t total;
	uint32_t wants;
	uint32_t claimants;	      /* rows with a share or with `wants` */
	uint32_t least_wanting_share; /* smallest share of a proxy that wants more */
};

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Returns a - b, or 0 if that is negative. */
static uint32_t saturating_sub(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

/* Moves on to the current period. Returns the most connections in use in the last LIM_IDLE_US. */
uint32_t lim_update_peak(struct lim_customer *customer, uint64_t now_us)
{
	uint64_t slot = now_us / LIM_PEAK_SLOT_US;
	uint32_t peak = 0;
	uint32_t i;

	if (slot > customer->peak_slot + LIM_PEAK_SLOTS)
		customer->peak_slot = slot - LIM_PEAK_SLOTS;
	while (customer->peak_slot < slot)
		customer->peaks[++customer->peak_slot % LIM_PEAK_SLOTS] = customer->in_use;
	i = (uint32_t)(slot % LIM_PEAK_SLOTS);
	customer->peaks[i] = max_u32(customer->peaks[i], customer->in_use);
	for (i = 0; i < LIM_PEAK_SLOTS; i++)
		peak = max_u32(peak, customer->peaks[i]);
	return peak;
}

/* Whether the member is absent, or a number in the range of a share. */
static bool count_valid(const json_t *row, const char *member)
{
	const json_t *number = json_object_get(row, member);

	return !number || (json_is_integer(number) && json_integer_value(number) >= 0 &&
			   json_integer_value(number) <= INT32_MAX);
}

/* Whether the value has valid rows. Malformed rows must not count as 0. */
bool lim_value_valid(const json_t *value)
{
	json_t *rows = json_object_get(value, "rows");
	const char *proxy;
	json_t *row;

	if (!json_is_object(rows))
		return false;
	json_object_foreach(rows, proxy, row)
	{
		if (!json_is_object(row) || !count_valid(row, "base") ||
		    !count_valid(row, "extra") || !count_valid(row, "wants"))
			return false;
	}
	return true;
}

static uint32_t count_read(const json_t *row, const char *member)
{
	return (uint32_t)json_integer_value(json_object_get(row, member));
}

static struct lim_row row_parse(const json_t *row)
{
	struct lim_row parsed = {count_read(row, "base"), count_read(row, "extra"),
				 count_read(row, "wants")};

	return parsed;
}

/* Returns the proxy's row in a valid value; zeros if it has none. */
struct lim_row lim_row_read(const json_t *value, const char *proxy)
{
	return row_parse(json_object_get(json_object_get(value, "rows"), proxy));
}

/* Returns another proxy's row without what may be reclaimed from it. */
static struct lim_row row_after_reclaim(struct lim_state *state, struct lim_customer *customer,
					const char *proxy, const json_t *json, bool reclaim,
					uint64_t now_us)
{
	struct lim_row row = row_parse(json);
	struct lim_row none = {0, 0, 0};

	if (lim_peer_departed(state, proxy, now_us))
		return none;
	/* Nothing is reserved for a proxy that may not be running. */
	if (!lim_peer_listed(state, proxy))
		row.wants = 0;
	if (row.extra && reclaim && lim_peer_expired(state, proxy, customer->value_seq, now_us))
		row.extra = 0;
	return row;
}

static struct others sum_others(struct lim_state *state, struct lim_customer *customer,
				bool reclaim, uint64_t now_us)
{
	struct others others = {0, 0, 0, UINT32_MAX};
	const char *proxy;
	json_t *json;

	json_object_foreach(json_object_get(customer->value, "rows"), proxy, json)
	{
		struct lim_row row;

		if (strcmp(proxy, state->proxy) == 0)
			continue;
		row = row_after_reclaim(state, customer, proxy, json, reclaim, now_us);
		others.total += row.base + row.extra;
		others.wants += row.wants;
		others.claimants += row.base + row.extra + row.wants > 0;
		if (row.wants)
			others.least_wanting_share =
				min_u32(others.least_wanting_share, row.base + row.extra);
	}
	return others;
}

/* Returns the base of a proxy in the platform's list: half the limit split equally, at least 1. */
static uint32_t base_target(const struct lim_state *state, const struct lim_customer *customer)
{
	if (!state->listed || !state->fleet_size || !customer->limit)
		return 0;
	return max_u32(1, customer->limit / 2 / state->fleet_size);
}

/* Returns the connections that callers ask for: the recent peak use plus recent refusals. */
static uint32_t current_demand(struct lim_customer *customer, uint32_t peak, uint64_t now_us)
{
	if (customer->refusals && now_us - customer->refused_us >= LIM_IDLE_US) {
		customer->refusals = 0;
		customer->awaiting_growth = false;
	}
	return peak + min_u32(customer->refusals, max_u32(REFUSALS_COUNTED_MIN, customer->in_use));
}

/*
 * Returns the share to aim at while the sum is within the limit. It grows when refusals or the use
 * require more, with a quarter to spare. It shrinks by the shortage of the other proxies, or to the
 * recent use; base is kept unless others are short.
 */
static uint32_t target_share(const struct lim_customer *customer, uint32_t peak, uint32_t demand,
			     uint32_t shortage, uint32_t base, uint64_t now_us)
{
	uint32_t own = customer->row.base + customer->row.extra;
	uint32_t spare = shortage || !peak ? 0 : max_u32(1, peak / 4);
	uint32_t keep = now_us < customer->requested_until_us
				? max_u32(demand, customer->requested_share)
				: demand;
	uint32_t target;

	if (demand > own || (spare && peak >= own))
		return shortage ? demand : max_u32(demand + spare, base);
	if (shortage)
		return own - min_u32(saturating_sub(own, keep), shortage);
	target = max_u32(keep + spare, min_u32(own, base));
	/* Small surpluses are kept, to save writes under a varying load. */
	if (target >= own || (peak && own - target < max_u32(1, own / 8)))
		return own;
	return target;
}

/*
 * Lowers the target to what the limit and the other proxies allow. If the sum is above the limit,
 * all proxies lower their shares in proportion, but not below an equal part: a partitioned proxy
 * with more than that lowers its share only when it is back, and must not leave the others with
 * nothing until then. What is free is left to a proxy that has less than an equal part and wants
 * more, and proxies with more than their part give some of it up.
 */
static uint32_t bound_share(const struct lim_customer *customer, const struct others *others,
			    uint32_t target, uint32_t shortage, uint32_t *admission_cap)
{
	uint32_t own = customer->row.base + customer->row.extra;
	uint32_t sum = others->total + own;
	uint32_t fair = max_u32(1, customer->limit / (others->claimants + 1));
	uint32_t free = saturating_sub(customer->limit, others->total);

	*admission_cap = LIM_NO_CAP;
	if (sum > customer->limit) {
		uint32_t part = customer->limit / (others->claimants + 1);
		uint32_t lowered = (uint32_t)((uint64_t)own * customer->limit / sum);

		*admission_cap = min_u32(target, max_u32(lowered, min_u32(own, part)));
		return *admission_cap;
	}
	if (others->wants && others->least_wanting_share < fair && target > fair) {
		uint32_t kept = own - min_u32(saturating_sub(own, fair), shortage);

		target = min_u32(target,
				 max_u32(max_u32(kept, fair), saturating_sub(free, others->wants)));
		if (target < own)
			*admission_cap = target;
	}
	return min_u32(target, free);
}

/* Splits the target into base and extra. Without a lease, extra is not raised. */
static struct lim_row split_share(const struct lim_customer *customer, uint32_t target,
				  uint32_t base, bool lease)
{
	struct lim_row row = {min_u32(target, base), 0, 0};

	if (lease) {
		row.extra = target - row.base;
		return row;
	}
	row.base = max_u32(row.base, min_u32(customer->row.base, target));
	row.extra = min_u32(customer->row.extra, target - row.base);
	return row;
}

/*
 * Returns the connections to ask for beyond the target. To save writes, it asks for WANTS_MIN or
 * more, and keeps the number already written if it is right within a factor of 2.
 */
static uint32_t wants_to_publish(const struct lim_customer *customer, uint32_t demand,
				 uint32_t target, uint64_t now_us)
{
	uint32_t old = customer->row.wants;
	uint32_t wants = customer->refusals ? saturating_sub(demand, target) : 0;

	if (wants)
		wants = max_u32(wants, WANTS_MIN);
	else if (now_us - customer->refused_us < WANTS_HOLD_US)
		return old;
	return wants && old && wants <= 2 * old && old <= 2 * wants ? old : wants;
}

/* Plans this proxy's row of the customer from the newest known value. */
void lim_plan_make(struct lim_state *state, struct lim_customer *customer, uint64_t now_us,
		   struct lim_plan *plan)
{
	const struct lim_row *row = &customer->row;
	uint32_t own = row->base + row->extra;
	uint32_t base = base_target(state, customer);
	uint32_t peak = lim_update_peak(customer, now_us);
	uint32_t demand = current_demand(customer, peak, now_us);
	bool lease = lim_lease_valid(state, now_us);
	struct others others;
	uint32_t shortage;
	uint32_t target = 0;

	/* Reading holders' counters costs store calls; done only while share growth is awaited. */
	plan->reclaim = customer->awaiting_growth;
	others = sum_others(state, customer, plan->reclaim, now_us);
	shortage =
		saturating_sub(others.wants, saturating_sub(customer->limit, others.total + own));
	plan->others_short = shortage > 0;
	plan->admission_cap = 0;
	if (!state->closing && customer->limit) {
		target = target_share(customer, peak, demand, shortage, base, now_us);
		target = bound_share(customer, &others, min_u32(target, customer->limit), shortage,
				     &plan->admission_cap);
	}
	/* A row is never lowered below the connections in use. */
	target = max_u32(target, min_u32(customer->in_use, own));
	plan->row = split_share(customer, target, base, lease);
	if (!state->closing && customer->limit)
		plan->row.wants = wants_to_publish(customer, demand, target, now_us);
	plan->wants_lease = target > plan->row.base + plan->row.extra;
	plan->changed = plan->row.base != row->base || plan->row.extra != row->extra ||
			plan->row.wants != row->wants || customer->write_unresolved ||
			(plan->row.extra && lease && customer->extra_epoch != state->lease.epoch);
}

/* Sets a proxy's row, or removes it if all its numbers are 0. */
static void row_set(json_t *rows, const char *proxy, struct lim_row row)
{
	json_t *json;

	if (row.base + row.extra + row.wants == 0) {
		json_object_del(rows, proxy);
		return;
	}
	json = json_pack("{s:i,s:i}", "base", (int)row.base, "extra", (int)row.extra);
	if (row.wants)
		json_object_set_new(json, "wants", json_integer(row.wants));
	json_object_set_new(rows, proxy, json);
}

/* Returns the object's value with the planned row and without what may be reclaimed. */
json_t *lim_plan_value(struct lim_state *state, struct lim_customer *customer,
		       const struct lim_plan *plan, uint64_t now_us)
{
	json_t *rows = json_object();
	const char *proxy;
	json_t *json;

	json_object_foreach(json_object_get(customer->value, "rows"), proxy, json)
	{
		if (strcmp(proxy, state->proxy) != 0)
			row_set(rows, proxy,
				row_after_reclaim(state, customer, proxy, json, plan->reclaim,
						  now_us));
	}
	row_set(rows, state->proxy, plan->row);
	return json_pack("{s:i,s:o}", "limit", (int)customer->limit, "rows", rows);
}
