#include "core/core.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

/* Guards against the longer log of a replaced primary being treated as the newer one. */
static void test_position_covers(void)
{
	static const struct {
		struct bc_position have;
		struct bc_position want;
		bool covers;
	} cases[] = {
		{{1, 5}, {1, 5}, true},	 {{1, 4}, {1, 5}, false}, {{2, 6}, {1, 5}, true},
		{{1, 9}, {2, 5}, false}, {{2, 4}, {1, 5}, false}, {{0, 0}, {0, 0}, true},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(bc_position_covers(cases[i].have, cases[i].want), cases[i].covers);
}

/* Guards against ids that could break out of a path, a label or a header. */
static void test_id_valid(void)
{
	static const struct {
		const char *id;
		bool valid;
	} cases[] = {
		{"orange-barn", true},
		{"a", true},
		{"", false},
		{"a b", false},
		{"a/b", false},
		{"a\"", false},
		{NULL, false},
		{"A.b_c-9", true},
		{"0123456789012345678901234567890123456789012345678901234567890123", false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(bc_id_valid(cases[i].id), cases[i].valid);
}

/* Guards against a malformed traceparent being passed on and a valid one being dropped. */
static void test_trace_start(void)
{
	static const struct {
		const char *header;
		bool keeps_trace_id;
	} cases[] = {
		{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true},
		{"00-00000000000000000000000000000000-00f067aa0ba902b7-01", false},
		{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7", false},
		{"00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", false},
		{"", false},
		{NULL, false},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_trace trace;

		bc_trace_start(ctx, cases[i].header, &trace);
		CU_ASSERT_EQUAL(strlen(trace.trace_id), 32);
		CU_ASSERT_EQUAL(strlen(trace.span_id), 16);
		CU_ASSERT_EQUAL(strcmp(trace.trace_id, "4bf92f3577b34da6a3ce929d0e0e4736") == 0,
				cases[i].keeps_trace_id);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against metrics output that a Prometheus scraper would reject. */
static void test_metrics_text(void)
{
	static const char *const expected[] = {
		"# HELP a_total Things done.\n# TYPE a_total counter\na_total 3\n",
		"b{x=\"y\"} 2.5\n",
		"c_seconds_bucket{le=\"0.0001\"} 0\n",
		"c_seconds_bucket{le=\"+Inf\"} 1\n",
		"c_seconds_count{} 1\n",
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	char *text;
	size_t i;

	bc_metric_describe(ctx, "a_total", "Things done.");
	bc_counter_add(ctx, "a_total", NULL, 3);
	bc_gauge_set(ctx, "b", "x=\"y\"", 2.5);
	bc_histogram_observe_us(ctx, "c_seconds", NULL, 200);
	text = bc_metrics_text(ctx);
	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(text, expected[i]));
	free(text);
	bc_ctx_destroy(ctx);
}

/* Guards against findings that are lost or reported without line and column. */
static void test_findings(void)
{
	struct bc_findings *findings = bc_findings_create();
	char *text;

	bc_findings_add(findings, "a.yaml", 3, 7, "x", "expected %d", 1);
	bc_findings_add(findings, "a.yaml", 4, 1, NULL, "missing");
	text = bc_findings_text(findings);
	CU_ASSERT_EQUAL(bc_findings_count(findings), 2);
	CU_ASSERT_STRING_EQUAL(text, "a.yaml:3:7: \"x\": expected 1\na.yaml:4:1: \"\": missing\n");
	free(text);
	bc_findings_destroy(findings);
}

int main(void)
{
	CU_TestInfo tests[] = {{"position_covers", test_position_covers},
			       {"id_valid", test_id_valid},
			       {"trace_start", test_trace_start},
			       {"metrics_text", test_metrics_text},
			       {"findings", test_findings},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"core", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
