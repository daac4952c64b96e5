#include "standin/load.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Guards against an answer without a definite outcome being recorded as "ran" or "not_run". */
static void test_answer(void)
{
	static const struct {
		const char *body;
		enum io_http_outcome end;
		uint32_t status;
		enum ld_outcome outcome;
		int64_t age_ms;
	} cases[] = {
		{"{\"outcome\":\"ran\",\"age_ms\":7}", IO_HTTP_COMPLETE, 200, LD_RAN, 7},
		{"{\"outcome\":\"ran\",\"age_ms\":null}", IO_HTTP_COMPLETE, 200, LD_RAN, -1},
		{"{\"outcome\":\"not_run\"}", IO_HTTP_COMPLETE, 503, LD_NOT_RUN, -1},
		{"{\"outcome\":\"unknown\"}", IO_HTTP_COMPLETE, 504, LD_UNKNOWN, -1},
		{"{\"outcome\":\"maybe\"}", IO_HTTP_COMPLETE, 200, LD_UNKNOWN, -1},
		{"{\"transaction\":\"t1\"}", IO_HTTP_COMPLETE, 201, LD_RAN, -1},
		{"{\"transaction\":\"t1\"}", IO_HTTP_COMPLETE, 500, LD_UNKNOWN, -1},
		{"{}", IO_HTTP_COMPLETE, 200, LD_UNKNOWN, -1},
		{"<html>", IO_HTTP_COMPLETE, 502, LD_UNKNOWN, -1},
		{"", IO_HTTP_INCOMPLETE, 0, LD_UNKNOWN, -1},
		{"", IO_HTTP_NOT_SENT, 0, LD_NOT_RUN, -1},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct io_http_result result = {.outcome = cases[i].end,
						.status = cases[i].status,
						.body = cases[i].body,
						.body_bytes = strlen(cases[i].body),
						.error = ""};
		struct ld_answer answer;

		ld_answer_parse(&result, &answer);
		CU_ASSERT_EQUAL(answer.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(answer.age_ms, cases[i].age_ms);
		json_decref(answer.body);
	}
}

static double number_at(const json_t *value, const char *first, const char *second)
{
	value = json_object_get(value, first);
	return json_number_value(second ? json_object_get(value, second) : value);
}

/* Guards against a gap, a percentile or a share of replica reads that is computed wrongly. */
static void test_stats(void)
{
	struct ld_stats *stats = ld_stats_create(0);
	json_t *summary;
	uint64_t i;

	for (i = 1; i <= 100; i++)
		ld_stats_add(stats, LD_READ, LD_RAN, 0, i * 1000);
	ld_stats_add(stats, LD_WRITE, LD_RAN, 0, 100000);
	ld_stats_add(stats, LD_WRITE, LD_UNKNOWN, 0, 300000);
	ld_stats_add(stats, LD_TRANSACTION, LD_RAN, 0, 700000);
	ld_stats_served(stats, LD_WRITE, "a", -1);
	ld_stats_served(stats, LD_READ, "a", 0);
	ld_stats_served(stats, LD_READ, "b", 30);
	ld_stats_served(stats, LD_READ, "c", 50);
	summary = ld_stats_json(stats, 800000);
	CU_ASSERT_DOUBLE_EQUAL(number_at(summary, "write_gap_ms", NULL), 600, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(summary, "write_gap_at_s", NULL), 0.1, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(summary, "replica_share", NULL), 2.0 / 3, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(summary, "replica_age_ms", "max"), 50, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(json_object_get(summary, "latency_ms"), "read", "p50"), 50,
			       0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(json_object_get(summary, "latency_ms"), "read", "p99"), 99,
			       0.001);
	CU_ASSERT_DOUBLE_EQUAL(number_at(json_object_get(summary, "outcomes"), "write", "unknown"),
			       1, 0.001);
	json_decref(summary);
	ld_stats_destroy(stats);
}

int main(void)
{
	CU_TestInfo tests[] = {{"answer", test_answer}, {"stats", test_stats}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"load", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
