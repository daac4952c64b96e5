#include "balance/balance.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MS BC_US_PER_MS
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define CANDIDATES 3U
#define DRAWS 256U /* random numbers, evenly spaced */

/* Distances with penalties, as of the group module. */
#define HOME 400
#define NEXT 2000
#define LEADER 8000
#define FAR 36000

/* What is known of an endpoint; it has 4 slots and, unless stated otherwise, started long ago. */
struct known {
	uint32_t distance_us, latency_ms, in_flight;
	int reported; /* below 0: no report */
	uint32_t report_age_ms, latency_age_ms;
	bool just_started;
};

struct choice_case {
	const char *failure; /* the failure that the case guards against */
	struct known known[CANDIDATES];
	uint32_t least[CANDIDATES], most[CANDIDATES]; /* percent of the draws */
	enum bal_reason reason;
};

static const struct choice_case choice_cases[] = {
	{"a near replica left for no reason",
	 {{HOME, 15, 0, -1, 0, 0, false},
	  {NEXT, 15, 0, -1, 0, 0, false},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"a near replica left for noise in reports and latencies",
	 {{HOME, 16, 0, 1, 0, 0, false},
	  {NEXT, 15, 0, 0, 0, 0, false},
	  {LEADER, 13, 0, 0, 0, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"reads kept on a loaded near replica",
	 {{HOME, 15, 0, 8, 0, 0, false},
	  {NEXT, 15, 0, 0, 0, 0, false},
	  {LEADER, 15, 0, 0, 0, 0, false}},
	 {0, 100, 0},
	 {0, 100, 0},
	 BAL_SPREAD},
	{"reads kept on a loaded near replica while the others are unknown",
	 {{HOME, 15, 0, 8, 0, 0, false},
	  {NEXT, 0, 0, -1, 0, 0, false},
	  {LEADER, 0, 0, -1, 0, 0, false}},
	 {0, 100, 0},
	 {0, 100, 0},
	 BAL_SPREAD},
	{"reads kept on a slow near replica while the others are unknown",
	 {{HOME, 150, 0, -1, 0, 0, false},
	  {NEXT, 0, 0, -1, 0, 0, false},
	  {LEADER, 0, 0, -1, 0, 0, false}},
	 {0, 100, 0},
	 {0, 100, 0},
	 BAL_SPREAD},
	{"an old report taken for the present load",
	 {{HOME, 15, 0, 8, 5000, 0, false},
	  {NEXT, 15, 0, 0, 5000, 0, false},
	  {LEADER, 15, 0, 0, 5000, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"a replica avoided for good because it was slow once",
	 {{HOME, 150, 0, -1, 0, 6000, false},
	  {NEXT, 15, 0, -1, 0, 0, false},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"all proxies on the same of two equal replicas",
	 {{NEXT, 15, 0, -1, 0, 0, false},
	  {NEXT, 15, 0, -1, 0, 0, false},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {45, 45, 0},
	 {55, 55, 0},
	 BAL_RANDOM},
	{"a slight difference of old reports that decides for all",
	 {{NEXT, 15, 0, 1, 1000, 0, false},
	  {NEXT, 15, 0, 0, 1000, 0, false},
	  {LEADER, 15, 0, 0, 1000, 0, false}},
	 {40, 50, 0},
	 {50, 60, 0},
	 BAL_RANDOM},
	{"a fresh report that does not count",
	 {{NEXT, 15, 0, 2, 0, 0, false},
	  {NEXT, 15, 0, 0, 0, 0, false},
	  {LEADER, 15, 0, 0, 0, 0, false}},
	 {0, 100, 0},
	 {0, 100, 0},
	 BAL_RANDOM},
	{"own statements in flight that do not count without reports",
	 {{NEXT, 15, 1, -1, 0, 0, false},
	  {NEXT, 15, 0, -1, 0, 0, false},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {0, 80, 0},
	 {20, 100, 0},
	 BAL_RANDOM},
	{"a flood on a replica that has just started",
	 {{NEXT, 15, 0, -1, 0, 0, false},
	  {NEXT, 0, 0, -1, 0, 0, true},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {85, 5, 0},
	 {95, 15, 0},
	 BAL_RANDOM},
	{"a flood on a near replica that has just started",
	 {{HOME, 0, 0, -1, 0, 0, true},
	  {NEXT, 15, 0, -1, 0, 0, false},
	  {LEADER, 15, 0, -1, 0, 0, false}},
	 {1, 75, 0},
	 {25, 99, 0},
	 BAL_SPREAD},
	{"all endpoints avoided after the proxy's start",
	 {{NEXT, 0, 0, -1, 0, 0, true},
	  {NEXT, 0, 0, -1, 0, 0, true},
	  {LEADER, 0, 0, -1, 0, 0, true}},
	 {45, 45, 0},
	 {55, 55, 0},
	 BAL_RANDOM},
	{"reads on the leader while the only replica is hardly loaded",
	 {{NEXT, 15, 0, 1, 0, 0, false},
	  {LEADER, 13, 0, 0, 0, 0, false},
	  {FAR, 12, 0, 0, 0, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"reads in another region while those of this one are loaded a little",
	 {{NEXT, 15, 1, 3, 0, 0, false},
	  {LEADER, 15, 1, 3, 0, 0, false},
	  {FAR, 12, 0, 0, 0, 0, false}},
	 {100, 0, 0},
	 {100, 0, 0},
	 BAL_NEAR},
	{"reads kept in a region that is overrun",
	 {{NEXT, 15, 0, 40, 0, 0, false},
	  {LEADER, 15, 0, 40, 0, 0, false},
	  {FAR, 15, 0, 0, 0, 0, false}},
	 {0, 0, 100},
	 {0, 0, 100},
	 BAL_SPREAD},
};

static struct bal_candidate candidate(const struct known *known)
{
	return (struct bal_candidate){.distance_us = known->distance_us,
				      .has_latency = known->latency_ms != 0,
				      .latency_us = known->latency_ms * MS,
				      .latency_age_us = known->latency_age_ms * MS,
				      .slots = 4,
				      .in_flight = known->in_flight,
				      .has_report = known->reported >= 0,
				      .reported = known->reported < 0 ? 0 : known->reported,
				      .report_age_us = known->report_age_ms * MS,
				      .in_use_us = known->just_started ? 0 : 60 * BC_US_PER_S};
}

/* Guards against reads that go to the wrong endpoints, or to the right ones in a wrong share. */
static void test_choices(void)
{
	size_t c;
	uint32_t i;

	for (c = 0; c < COUNT(choice_cases); c++) {
		const struct choice_case *cc = &choice_cases[c];
		struct bal_candidate candidates[CANDIDATES];
		uint32_t chosen[CANDIDATES] = {0};
		struct bal_choice choice = {0};
		bool good = true;

		for (i = 0; i < CANDIDATES; i++)
			candidates[i] = candidate(&cc->known[i]);
		for (i = 0; i < DRAWS; i++) {
			choice = bal_choose(candidates, CANDIDATES, BAL_RANDOM_BOUND / DRAWS * i);
			chosen[choice.index]++;
		}
		for (i = 0; i < CANDIDATES; i++)
			good = good && chosen[i] * 100 >= cc->least[i] * DRAWS &&
			       chosen[i] * 100 <= cc->most[i] * DRAWS;
		if (!good || choice.reason != cc->reason)
			printf("\n%s: %u %u %u of %u, %s\n", cc->failure, chosen[0], chosen[1],
			       chosen[2], DRAWS, bal_reason_name(choice.reason));
		CU_ASSERT_TRUE(good);
		CU_ASSERT_EQUAL(choice.reason, cc->reason);
	}
}

/* Guards against an index beyond the candidates, and an overflow, with extreme values. */
static void test_extremes(void)
{
	struct bal_candidate candidates[BAL_CANDIDATES_MAX];
	uint32_t i;

	for (i = 0; i < BAL_CANDIDATES_MAX; i++)
		candidates[i] = (struct bal_candidate){.distance_us = 1000 * BC_US_PER_S,
						       .has_latency = i % 2,
						       .latency_us = i % 4 * 1000 * BC_US_PER_S,
						       .in_flight = 1000000,
						       .has_report = true,
						       .reported = 4096,
						       .report_age_us = i * BC_US_PER_S};
	for (i = 1; i <= BAL_CANDIDATES_MAX; i++) {
		CU_ASSERT_TRUE(bal_choose(candidates, i, 0).index < i);
		CU_ASSERT_TRUE(bal_choose(candidates, i, BAL_RANDOM_BOUND - 1).index < i);
	}
}

int main(void)
{
	unsigned int failures;
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("balance_choose", NULL, NULL);
	CU_add_test(suite, "choices", test_choices);
	CU_add_test(suite, "extremes", test_extremes);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
