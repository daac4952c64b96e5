#include "balance/balance.h"

/* Fractions are numbers of this many parts. */
#define WHOLE 1024ULL
/* Callers do not notice a difference below this; it is less than the leader's penalty. */
#define NOTICEABLE_US (4 * BC_US_PER_MS)
/* Endpoints whose costs differ by less share the reads: with fresh reports, and without any. */
#define EQUAL_FRESH_US (1 * BC_US_PER_MS)
#define EQUAL_UNKNOWN_US NOTICEABLE_US
/* A report of this age counts half: queues at endpoints last about as long. */
#define REPORT_HALF_AGE_US (100 * BC_US_PER_MS)
/* A latency above the lowest counts half after each such time, so that a slow endpoint is retried.
 */
#define LATENCY_HALF_LIFE_US BC_US_PER_S
#define HALF_LIVES_MAX 32U
/* Assumed of an endpoint without answers, unless others are faster; reads take 12 to 19 ms. */
#define LATENCY_DEFAULT_US (20 * BC_US_PER_MS)
/* An endpoint gets its full share of reads after this time in use, and FIRST_SHARE at first. */
#define START_US BC_US_PER_S
#define FIRST_SHARE (WHOLE / 8)

/* What is derived of the candidates. */
struct costs {
	uint64_t cost_us[BAL_CANDIDATES_MAX];
	uint64_t trust[BAL_CANDIDATES_MAX]; /* in the report, of WHOLE */
	uint64_t share[BAL_CANDIDATES_MAX]; /* of a started endpoint's reads, of WHOLE */
	uint64_t nearest_us;
	uint64_t lowest_us;
};

/* How much a report of this age counts, of WHOLE. */
static uint64_t trust_in_report(const struct bal_candidate *c)
{
	if (!c->has_report)
		return 0;
	return WHOLE * REPORT_HALF_AGE_US / (REPORT_HALF_AGE_US + c->report_age_us);
}

static uint64_t share_of_started(const struct bal_candidate *c)
{
	uint64_t share = c->in_use_us >= START_US ? WHOLE : WHOLE * c->in_use_us / START_US;

	return share > FIRST_SHARE ? share : FIRST_SHARE;
}

/* The lowest latency measured or assumed. */
static uint64_t lowest_latency_us(const struct bal_candidate *candidates, uint32_t count)
{
	uint64_t lowest_us = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!candidates[i].has_latency && LATENCY_DEFAULT_US < lowest_us)
			lowest_us = LATENCY_DEFAULT_US;
		else if (candidates[i].has_latency && candidates[i].latency_us < lowest_us)
			lowest_us = candidates[i].latency_us;
	return lowest_us ? lowest_us : 1;
}

/* The latency expected now; that of an endpoint without answers is the lowest of all. */
static uint64_t latency_us(const struct bal_candidate *c, uint64_t lowest_us)
{
	uint64_t half_lives = c->latency_age_us / LATENCY_HALF_LIFE_US;

	if (!c->has_latency || c->latency_us <= lowest_us || half_lives >= HALF_LIVES_MAX)
		return lowest_us;
	return lowest_us + ((c->latency_us - lowest_us) >> half_lives);
}

/*
 * Mean number of statements in the reports, in parts of WHOLE. An endpoint without a report counts
 * as idle, as far as its report is not trusted, so that it is tried while the others are loaded.
 */
static uint64_t mean_reported(const struct bal_candidate *candidates, uint32_t count,
			      const struct costs *costs)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		sum += costs->trust[i] * candidates[i].reported;
	return count ? sum / count : 0;
}

/*
 * Computes the expected time of the read at each candidate. The older a report is, the more the
 * mean of the reports takes its place, so that an old report does not distinguish an endpoint.
 */
static void compute(const struct bal_candidate *candidates, uint32_t count, struct costs *costs)
{
	uint64_t lowest_us = lowest_latency_us(candidates, count);
	uint64_t mean;
	uint32_t i;

	costs->nearest_us = UINT64_MAX;
	costs->lowest_us = UINT64_MAX;
	for (i = 0; i < count; i++)
		costs->trust[i] = trust_in_report(&candidates[i]);
	mean = mean_reported(candidates, count, costs);
	for (i = 0; i < count; i++) {
		const struct bal_candidate *c = &candidates[i];
		uint64_t expected_us = latency_us(c, lowest_us);
		uint64_t load = c->in_flight * WHOLE + costs->trust[i] * c->reported +
				(WHOLE - costs->trust[i]) * mean / WHOLE;

		costs->share[i] = share_of_started(c);
		costs->cost_us[i] = c->distance_us + expected_us +
				    expected_us * load / (c->slots ? c->slots : 1) / WHOLE;
		if (c->distance_us < costs->nearest_us)
			costs->nearest_us = c->distance_us;
		if (costs->cost_us[i] < costs->lowest_us)
			costs->lowest_us = costs->cost_us[i];
	}
}

/*
 * Returns whether the read stays with the nearest candidates: one of them is not noticeably slower
 * than the fastest candidate, and has started, or no endpoint that has started is about as near.
 */
static bool stays_near(const struct bal_candidate *candidates, uint32_t count,
		       const struct costs *costs)
{
	uint64_t nearest_share = 0;
	uint64_t about_as_near_share = 0;
	bool fast = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint64_t beyond_us = candidates[i].distance_us - costs->nearest_us;

		if (!beyond_us && costs->cost_us[i] < costs->lowest_us + NOTICEABLE_US)
			fast = true;
		if (!beyond_us && costs->share[i] > nearest_share)
			nearest_share = costs->share[i];
		if (beyond_us < NOTICEABLE_US && costs->share[i] > about_as_near_share)
			about_as_near_share = costs->share[i];
	}
	return fast && nearest_share == about_as_near_share;
}

/*
 * The cost difference within which these candidates share the reads. Nearest endpoints are told
 * apart the better, the fresher their reports are. Endpoints at different distances share reads up
 * to a noticeable difference, so that the reads of many proxies do not all move at once.
 */
static uint64_t equal_us(const struct costs *costs, uint32_t count, bool near, const bool *eligible)
{
	uint64_t trust = WHOLE;
	uint32_t i;

	if (!near)
		return NOTICEABLE_US;
	for (i = 0; i < count; i++)
		if (eligible[i] && costs->trust[i] < trust)
			trust = costs->trust[i];
	return EQUAL_UNKNOWN_US - (EQUAL_UNKNOWN_US - EQUAL_FRESH_US) * trust / WHOLE;
}

/*
 * The lowest cost among the eligible candidates with the largest share: one that has just started
 * does not draw the reads of the others by seeming idle.
 */
static uint64_t lowest_started_us(const struct costs *costs, uint32_t count, const bool *eligible)
{
	uint64_t lowest_us = UINT64_MAX;
	uint64_t share = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!eligible[i] || costs->share[i] < share)
			continue;
		if (costs->share[i] > share || costs->cost_us[i] < lowest_us)
			lowest_us = costs->cost_us[i];
		share = costs->share[i];
	}
	return lowest_us;
}

/*
 * Chooses one of the candidates, with a weight that falls with the cost. `random` is below
 * BAL_RANDOM_BOUND; `count` is at least 1 and at most BAL_CANDIDATES_MAX.
 */
struct bal_choice bal_choose(const struct bal_candidate *candidates, uint32_t count,
			     uint64_t random)
{
	uint64_t weight[BAL_CANDIDATES_MAX] = {0};
	bool eligible[BAL_CANDIDATES_MAX] = {false};
	uint32_t eligible_count = 0;
	struct bal_choice choice = {0};
	uint64_t lowest_us;
	uint64_t band_us;
	struct costs costs;
	uint64_t sum = 0;
	bool near;
	uint32_t i;

	compute(candidates, count, &costs);
	near = stays_near(candidates, count, &costs);
	for (i = 0; i < count; i++) {
		eligible[i] = !near || candidates[i].distance_us == costs.nearest_us;
		eligible_count += eligible[i];
	}
	band_us = equal_us(&costs, count, near, eligible);
	lowest_us = lowest_started_us(&costs, count, eligible);
	for (i = 0; i < count; i++) {
		uint64_t cost_us = costs.cost_us[i] > lowest_us ? costs.cost_us[i] : lowest_us;

		if (eligible[i] && cost_us < lowest_us + band_us)
			weight[i] = (lowest_us + band_us - cost_us) * costs.share[i];
		sum += weight[i];
	}
	choice.reason = !near ? BAL_SPREAD : eligible_count == 1 ? BAL_NEAR : BAL_RANDOM;
	random = random * sum / BAL_RANDOM_BOUND;
	while (random >= weight[choice.index])
		random -= weight[choice.index++];
	return choice;
}

/* The name of a reason, for labels of metrics and logs. */
const char *bal_reason_name(enum bal_reason reason)
{
	static const char *const names[BAL_REASONS] = {"near", "random", "spread"};

	return names[reason];
}
