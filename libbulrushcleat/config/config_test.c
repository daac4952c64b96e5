#include "config/config.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLANS "plans:\n- {name: gold, connections: 8, replica_reads: true}\n"
#define CUSTOMERS "customers:\n- {name: acme, plan: gold, databases: [jobs]}\n"
#define KEYS "keys: [{id: 1, file: a.key, signing: true}]\nfleet_key_file: fleet.key\n"
#define LISTEN "listen: {callers: 127.0.0.1:80, peers: 127.0.0.1:81}\n"
#define IDENTITY "id: a\ndomain: b\nregion: c\nplatform: 127.0.0.1:9\n"

#define EXPECTED_MAX 5

static struct bc_ctx *ctx;

/* Whether a finding has this line, column and part of its message. */
static bool has_finding_at(const struct bc_findings *findings, int line, int column,
			   const char *part)
{
	json_t *list = bc_findings_json(findings);
	bool found = false;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *f = json_array_get(list, i);

		if (json_integer_value(json_object_get(f, "line")) == line &&
		    json_integer_value(json_object_get(f, "column")) == column &&
		    strstr(json_string_value(json_object_get(f, "message")), part))
			found = true;
	}
	json_decref(list);
	return found;
}

struct expected_finding {
	int line;
	int column;
	const char *part;
};

struct invalid_case {
	const char *text;
	const char *text2;
	struct expected_finding expected_findings[EXPECTED_MAX];
};

static void check_findings(const struct bc_findings *findings, const struct invalid_case *invalid)
{
	char *text = bc_findings_text(findings);
	size_t expected = 0;
	size_t i;

	for (i = 0; i < EXPECTED_MAX && invalid->expected_findings[i].part; i++) {
		const struct expected_finding *expected_finding = &invalid->expected_findings[i];
		bool found = has_finding_at(findings, expected_finding->line,
					    expected_finding->column, expected_finding->part);

		if (!found)
			printf("\nexpected %d:%d %s in:\n%s", expected_finding->line,
			       expected_finding->column, expected_finding->part, text);
		CU_ASSERT_TRUE(found);
		expected++;
	}
	CU_ASSERT_EQUAL(bc_findings_count(findings), expected);
	free(text);
}

/* Guards against invalid lists that are accepted or reported without line and column. */
static void test_lists_findings(void)
{
	static const struct invalid_case cases[] = {
		{"plans:\n- {name: gold, connections: 8, replica_reads: true, extra: 1}\n",
		 CUSTOMERS,
		 {{2, 53, "unknown key"}}},
		{"plans:\n- {name: gold, connections: many, replica_reads: yes}\n- {name: a b}\n",
		 CUSTOMERS,
		 {{2, 29, "whole number from 1"},
		  {2, 50, "true or false"},
		  {3, 10, "expected 1 to 63"},
		  {3, 3, "connections is missing"},
		  {3, 3, "replica_reads is missing"}}},
		{"plans:\n- {name: gold, connections: 0, replica_reads: \"true\"}\n",
		 CUSTOMERS,
		 {{2, 29, "whole number"}, {2, 47, "true or false"}}},
		{"plans:\n- {name: g, connections: 1, replica_reads: true}\n"
		 "- {name: g, connections: 2, replica_reads: true}\n",
		 "customers: []\n",
		 {{3, 10, "another plan"}}},
		{PLANS,
		 "customers:\n- {name: acme, plan: silver, databases: [jobs, jobs]}\n",
		 {{2, 22, "expected a plan"}, {2, 41, "given twice"}}},
		{PLANS,
		 CUSTOMERS "- {name: acme, plan: gold, databases: []}\n",
		 {{3, 10, "another customer"}, {3, 39, "1 to 32 items"}}},
		{PLANS, "customers: {name: acme}\n", {{1, 12, "expected a list"}}},
		{PLANS, "customers:\n- acme\n", {{2, 3, "expected a mapping"}}},
		{PLANS, "", {{1, 1, "empty"}}},
		{PLANS, "- a\n", {{1, 1, "expected a mapping"}}},
		{PLANS, "customers: [}\n", {{1, 13, "not YAML"}}},
		{PLANS, "customers: \xff\n", {{1, 12, "unreadable"}}},
		{"plans: &p []\nother: *p\n", "customers: []\n", {{2, 8, "aliases"}}},
		{"plans: [[[[[[[[[[]]]]]]]]]]\n", "customers: []\n", {{1, 15, "nested too deep"}}},
		{"plans: []\n---\nplans: []\n", "customers: []\n", {{2, 1, "one document"}}},
		{"plans: []\nplans: []\n", "customers: []\n", {{2, 1, "given twice"}}},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_findings *findings = bc_findings_create();
		json_t *lists = NULL;

		CU_ASSERT_EQUAL(cfg_lists_parse(ctx, "plans.yaml", cases[i].text,
						strlen(cases[i].text), "customers.yaml",
						cases[i].text2, strlen(cases[i].text2), &lists,
						findings),
				BC_EINVAL);
		CU_ASSERT_PTR_NULL(lists);
		check_findings(findings, &cases[i]);
		bc_findings_destroy(findings);
	}
}

/* Guards against invalid settings that are accepted or reported without line and column. */
static void test_settings_findings(void)
{
	static const struct invalid_case cases[] = {
		{IDENTITY LISTEN KEYS "log_level: loud\ndrain_timeout_ms: -1\n",
		 NULL,
		 {{8, 12, "debug, info"}, {9, 19, "whole number from 10"}}},
		{IDENTITY LISTEN KEYS "memory_mb: 1\nbudget_mb: 7\ntransfer_ms: 1\n",
		 NULL,
		 {{8, 12, "whole number from 16"},
		  {9, 12, "whole number from 8"},
		  {10, 14, "whole number from 10"}}},
		{IDENTITY KEYS "listen: {callers: here:80}\n",
		 NULL,
		 {{7, 19, "IP:PORT"}, {7, 9, "peers is missing"}}},
		{IDENTITY LISTEN "fleet_key_file: f\nkeys:\n- {id: 1, file: a, signing: true}\n"
				 "- {id: 1, file: b, signing: true}\n",
		 NULL,
		 {{9, 8, "another key"}, {9, 29, "key 1 is already the signing key"}}},
		{IDENTITY LISTEN "fleet_key_file: f\nkeys:\n- {id: 1, file: a}\n",
		 NULL,
		 {{8, 1, "one key with signing"}}},
		{IDENTITY LISTEN KEYS "seeds: [127.0.0.1:0, 1.2.3:5, \"127.0.0.1:70000\"]\n",
		 NULL,
		 {{8, 9, "IP:PORT"}, {8, 22, "IP:PORT"}, {8, 31, "IP:PORT"}}},
		{"id: a\nregion: c\nplatform: 127.0.0.1:9\n" LISTEN KEYS,
		 NULL,
		 {{1, 1, "domain is missing"}}},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_findings *findings = bc_findings_create();
		struct cfg_settings settings;

		CU_ASSERT_EQUAL(cfg_settings_parse(ctx, "s.yaml", cases[i].text,
						   strlen(cases[i].text), &settings, findings),
				BC_EINVAL);
		check_findings(findings, &cases[i]);
		bc_findings_destroy(findings);
	}
}

/* Guards against values stored in the wrong field, and defaults that are not applied. */
static void test_settings_values(void)
{
	static const char text[] = IDENTITY "listen: {callers: 127.0.0.1:80, peers: 127.0.0.1:81, "
					    "advertised_peers: 127.0.0.3:82}\n"
					    "seeds: [127.0.0.1:5, 127.0.0.2:6]\nkeys:\n"
					    "- {id: 7, file: new.key, signing: true}\n"
					    "- {id: 4000000000, file: old.key}\n"
					    "fleet_key_file: fleet.key\nlog_level: warn\n";
	struct bc_findings *findings = bc_findings_create();
	struct cfg_settings s;

	CU_ASSERT_EQUAL(cfg_settings_parse(ctx, "s.yaml", text, strlen(text), &s, findings), BC_OK);
	CU_ASSERT_STRING_EQUAL(s.id, "a");
	CU_ASSERT_STRING_EQUAL(s.domain, "b");
	CU_ASSERT_STRING_EQUAL(s.region, "c");
	CU_ASSERT_STRING_EQUAL(s.listen_callers, "127.0.0.1:80");
	CU_ASSERT_STRING_EQUAL(s.listen_peers, "127.0.0.1:81");
	CU_ASSERT_STRING_EQUAL(s.advertised_peers, "127.0.0.3:82");
	CU_ASSERT_EQUAL(s.seed_count, 2);
	CU_ASSERT_STRING_EQUAL(s.seeds[1], "127.0.0.2:6");
	CU_ASSERT_EQUAL(s.key_count, 2);
	CU_ASSERT_TRUE(s.keys[0].signing);
	CU_ASSERT_FALSE(s.keys[1].signing);
	CU_ASSERT_EQUAL(s.keys[1].id, 4000000000U);
	CU_ASSERT_STRING_EQUAL(s.keys[1].file, "old.key");
	CU_ASSERT_EQUAL(s.log_level, BC_LOG_WARN);
	CU_ASSERT_EQUAL(s.request_timeout_ms, 5000);
	bc_findings_destroy(findings);
}

static json_t *parse_lists(const char *plans, const char *customers)
{
	struct bc_findings *findings = bc_findings_create();
	json_t *lists = NULL;

	CU_ASSERT_EQUAL(cfg_lists_parse(ctx, "p", plans, strlen(plans), "c", customers,
					strlen(customers), &lists, findings),
			BC_OK);
	bc_findings_destroy(findings);
	return lists;
}

/* Guards against a difference that leaves out changes, such as those of another operator. */
static void test_lists_diff(void)
{
	json_t *from = parse_lists(PLANS, CUSTOMERS "- {name: b, plan: gold, databases: [jobs]}\n");
	json_t *to = parse_lists("plans:\n- {name: gold, connections: 9, replica_reads: true}\n",
				 CUSTOMERS "- {name: c, plan: gold, databases: [jobs]}\n");
	json_t *diff = cfg_lists_diff(from, to);
	char *text = json_dumps(diff, JSON_COMPACT);

	CU_ASSERT_EQUAL(json_array_size(diff), 3);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"name\":\"gold\",\"change\":\"changed\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"name\":\"b\",\"change\":\"removed\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"name\":\"c\",\"change\":\"added\""));
	free(text);
	json_decref(diff);
	json_decref(from);
	json_decref(to);
}

static void add_revision(void *data, uint64_t revision)
{
	*(uint64_t *)data += revision;
}

/* Guards against a return to an older revision and the adoption of a malformed value. */
static void test_offer(void)
{
	static const struct cfg_ops ops = {add_revision};
	static const struct {
		const char *value;
		enum bc_status status;
		uint64_t revision;
	} cases[] = {
		{"{}", BC_EINVAL, 0},
		{"{'revision':0,'plans':[],'customers':[]}", BC_EINVAL, 0},
		{"{'revision':3,'plans':[]}", BC_EINVAL, 0},
		{"{'revision':3,'plans':[{'name':'g','connections':4,'replica_reads':true,"
		 "'max_staleness_ms':5}],'customers':[{'name':'a','plan':'g','databases':['d']}]}",
		 BC_OK, 3},
		{"{'revision':2,'plans':[],'customers':[]}", BC_EAGAIN, 3},
		{"{'revision':3,'plans':[],'customers':[]}", BC_EAGAIN, 3},
		{"{'revision':4,'plans':[],'customers':[{'name':'a','plan':'g','databases':['d']}]"
		 "}",
		 BC_EINVAL, 3},
		{"{'revision':4,'plans':[{'name':'g','connections':'4'}],'customers':[]}",
		 BC_EINVAL, 3},
		{"{'revision':'4','plans':[],'customers':[]}", BC_EINVAL, 3},
	};
	uint64_t adopted = 0;
	struct cfg_state *state = cfg_create(ctx, &ops, &adopted);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char text[512];
		char *quote;
		json_t *value;

		snprintf(text, sizeof(text), "%s", cases[i].value);
		while ((quote = strchr(text, '\'')))
			*quote = '"';
		value = json_loads(text, 0, NULL);
		CU_ASSERT_EQUAL(cfg_adopt(state, value), cases[i].status);
		CU_ASSERT_EQUAL(cfg_revision(state), cases[i].revision);
		json_decref(value);
	}
	CU_ASSERT_EQUAL(adopted, 3);
	CU_ASSERT_EQUAL(cfg_plan_find(state, "g")->connections, 4);
	CU_ASSERT_TRUE(cfg_customer_may_use_database(cfg_customer_find(state, "a"), "d"));
	CU_ASSERT_FALSE(cfg_customer_may_use_database(cfg_customer_find(state, "a"), "e"));
	CU_ASSERT_PTR_NULL(cfg_customer_find(state, "b"));
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(cfg_value(state), "revision")), 3);
	cfg_destroy(state);
}

/* Guards against input that takes unbounded time or memory. */
static void test_too_long(void)
{
	struct bc_findings *findings = bc_findings_create();
	size_t bytes = CFG_OBJECT_MAX_BYTES + 1;
	char *text = malloc(bytes + 1);
	struct cfg_settings settings;

	memset(text, 'a', bytes);
	text[bytes] = '\0';
	CU_ASSERT_EQUAL(cfg_settings_parse(ctx, "s", text, bytes, &settings, findings), BC_EINVAL);
	CU_ASSERT_TRUE(has_finding_at(findings, 1, 1, "at most 1048576 bytes"));
	CU_ASSERT_EQUAL(cfg_settings_parse(ctx, "s", text, 5000, &settings, findings), BC_EINVAL);
	CU_ASSERT_TRUE(has_finding_at(findings, 1, 1, "longer than 1024 bytes"));
	free(text);
	bc_findings_destroy(findings);
}

int main(void)
{
	CU_TestInfo tests[] = {{"lists_findings", test_lists_findings},
			       {"settings_findings", test_settings_findings},
			       {"settings_values", test_settings_values},
			       {"lists_diff", test_lists_diff},
			       {"offer", test_offer},
			       {"too_long", test_too_long},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"config", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	ctx = bc_ctx_create(1);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	bc_ctx_destroy(ctx);
	return failures ? 1 : 0;
}
