#include "cli/cli.h"
#include "cli/rpt.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINE(second, event, fields)                                                                \
	"{\"time\":\"2026-12-04T10:00:" second ".5Z\",\"event\":\"" event "\",\"fields\":{" fields \
	"}}"
#define STATEMENT(second, route, verb, outcome, endpoint, for_proxy, reason, took_us)              \
	LINE(second, "statement",                                                                  \
	     "\"route\":\"" route "\",\"verb\":\"" verb "\",\"outcome\":\"" outcome                \
	     "\",\"endpoint\":\"" endpoint "\",\"for\":\"" for_proxy "\",\"reason\":\"" reason     \
	     "\",\"took_us\":" took_us)

/* A line, whether it is counted, and the totals after it. */
static const struct {
	const char *line;
	bool counted;
	uint64_t statements;
	uint64_t failed;
	uint64_t refused;
	uint64_t leader_reads;
	uint64_t replica_reads;
	uint64_t promotions;
} cases[] = {
	{LINE("00", "leader_changed", "\"from\":\"\",\"to\":\"e1\""), true, 0, 0, 0, 0, 0, 0},
	{STATEMENT("01", "aged", "read", "ok", "e2", "", "cheapest", "5000"), true, 1, 0, 0, 0, 1,
	 0},
	{STATEMENT("01", "newest", "read", "ok", "e1", "", "newest_wanted", "7000"), true, 2, 0, 0,
	 1, 1, 0},
	{"  12.5 proxy-1 " STATEMENT("01", "newest", "write", "ok", "e1", "", "leader", "9000"),
	 true, 3, 0, 0, 1, 1, 0},
	{STATEMENT("01", "newest", "read", "ok", "e1", "p2", "relayed", "100"), true, 3, 0, 0, 1, 1,
	 0},
	{LINE("02", "refused", "\"reason\":\"busy\""), true, 3, 0, 1, 1, 1, 0},
	{STATEMENT("02", "aged", "read", "busy", "e2", "", "cheapest", "50"), true, 4, 1, 1, 1, 1,
	 0},
	{LINE("02", "takeover_ordered", "\"endpoint\":\"e2\""), true, 4, 1, 1, 1, 1, 1},
	{LINE("03", "leader_changed", "\"from\":\"e1\",\"to\":\"e2\""), true, 4, 1, 1, 1, 1, 1},
	{STATEMENT("03", "aged", "read", "ok", "e2", "", "cheapest", "5000"), true, 5, 1, 1, 2, 1,
	 1},
	{"no JSON", false, 5, 1, 1, 2, 1, 1},
	{"{\"time\":\"yesterday\",\"event\":\"statement\"}", false, 5, 1, 1, 2, 1, 1},
	{"{\"time\":\"2031-12-04T10:00:00Z\",\"event\":\"statement\"}", false, 5, 1, 1, 2, 1, 1},
	{"{\"time\":", false, 5, 1, 1, 2, 1, 1},
	{"", false, 5, 1, 1, 2, 1, 1},
};

/* Guards against counting a relayed statement twice, and stopping at a malformed line. */
static void test_lines(void)
{
	struct rpt_series *series = rpt_create();
	uint64_t skipped = 0;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct rpt_totals totals;

		CU_ASSERT_EQUAL(rpt_add_line(series, cases[i].line), cases[i].counted);
		skipped += !cases[i].counted;
		totals = rpt_totals_get(series);
		CU_ASSERT_EQUAL(totals.lines, i + 1);
		CU_ASSERT_EQUAL(totals.skipped, skipped);
		CU_ASSERT_EQUAL(totals.statements, cases[i].statements);
		CU_ASSERT_EQUAL(totals.failed, cases[i].failed);
		CU_ASSERT_EQUAL(totals.refused, cases[i].refused);
		CU_ASSERT_EQUAL(totals.leader_reads, cases[i].leader_reads);
		CU_ASSERT_EQUAL(totals.replica_reads, cases[i].replica_reads);
		CU_ASSERT_EQUAL(totals.promotions, cases[i].promotions);
	}
	rpt_destroy(series);
}

/* Guards against a wrong median, and a value in the wrong second or column. */
static void test_tables(void)
{
	struct rpt_series *series = rpt_create();
	char *text = NULL;
	size_t length = 0;
	FILE *out;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		rpt_add_line(series, cases[i].line);
	out = open_memstream(&text, &length);
	rpt_write_latency(series, out);
	rpt_write_refusals(series, out);
	rpt_write_reads(series, out);
	rpt_write_events(series, out);
	fclose(out);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\n1\t7.000\t7.000\t5.000\t5.000\tnan\tnan\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "second\tbusy\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\n2\t1\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\n3\t0\t1\t0\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "second\ttakeover_ordered\t"));
	free(text);
	rpt_destroy(series);
}

/* Guards against an empty or missing log giving a report that shows no failures. */
static void test_bad_logs(void)
{
	static const struct {
		const char *content; /* NULL: no file */
		enum cli_exit expected;
	} logs[] = {{NULL, CLI_BAD_INPUT}, {"", CLI_BAD_INPUT}, {"text\n", CLI_BAD_INPUT}};
	char file[] = "/tmp/report_test.XXXXXX";
	size_t i;

	close(mkstemp(file));
	for (i = 0; i < sizeof(logs) / sizeof(logs[0]); i++) {
		struct cli cli = {.positional = {logs[i].content ? file : "/nonexistent/log",
						 "/nonexistent/report"}};
		FILE *out = fopen(file, "w");

		fputs(logs[i].content ? logs[i].content : "", out);
		fclose(out);
		CU_ASSERT_EQUAL(cli_report(&cli), logs[i].expected);
	}
	unlink(file);
}

int main(void)
{
	CU_TestInfo tests[] = {{"lines", test_lines},
			       {"tables", test_tables},
			       {"bad_logs", test_bad_logs},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"report", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
