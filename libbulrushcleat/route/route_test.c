#include "route/route.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MS BC_US_PER_MS
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char groups_text[] =
	"{\"endpoints\":["
	"{\"id\":\"e0\",\"address\":\"10.0.0.1:1\",\"domain\":\"d0\",\"region\":\"r0\","
	"\"slots\":2,\"connections\":16},"
	"{\"id\":\"e1\",\"address\":\"10.0.0.2:1\",\"domain\":\"d1\",\"region\":\"r0\","
	"\"slots\":2,\"connections\":16},"
	"{\"id\":\"e2\",\"address\":\"10.0.0.3:1\",\"domain\":\"d2\",\"region\":\"r1\","
	"\"slots\":2,\"connections\":16}],"
	"\"groups\":[{\"database\":\"db\",\"members\":[\"e0\",\"e1\",\"e2\"]}]}";

static const char *const ids[] = {"e0", "e1", "e2"};

static enum bc_status load(struct rte_table *table, const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	enum bc_status status = rte_groups_load(table, json);

	json_decref(json);
	return status;
}

struct row_spec {
	bool is_primary;
	uint64_t term;
	uint64_t promised;
	struct bc_position log;
	struct bc_position applied;
	const char *primary;
};

static void report(struct rte_table *table, size_t endpoint, const struct row_spec *spec,
		   uint64_t sent_us)
{
	struct rte_row row = {.is_primary = spec->is_primary,
			      .term = spec->term,
			      .promised = spec->promised,
			      .log = spec->log,
			      .applied = spec->applied};

	snprintf(row.primary, sizeof(row.primary), "%s", spec->primary ? spec->primary : "");
	rte_report(table, ids[endpoint], "db", &row, sent_us, sent_us + MS);
}

/* Guards against accepting a malformed row of an endpoint's status. */
static void test_row_parse(void)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"{\"role\":\"primary\",\"term\":2,\"promised\":3,\"log\":{\"term\":2,\"pos\":9},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":\"e0\",\"contact_ms\":7,"
		 "\"lag_ms\":1}",
		 true},
		{"{\"role\":\"primary\",\"term\":2,\"promised\":3,\"log\":{\"term\":2,\"pos\":9},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":null,\"contact_ms\":7}",
		 true},
		{"{\"role\":\"primary\",\"term\":2,\"promised\":3,\"log\":{\"term\":2,\"pos\":9},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":5,\"contact_ms\":7}",
		 false},
		{"{\"role\":\"primary\",\"term\":-2,\"promised\":3,\"log\":{\"term\":2,\"pos\":9},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":\"\",\"contact_ms\":7}",
		 false},
		{"{\"role\":\"primary\",\"term\":2,\"promised\":\"3\",\"log\":{\"term\":2,"
		 "\"pos\":9},\"applied\":{\"term\":2,\"pos\":8},\"primary\":\"\",\"contact_ms\":7}",
		 false},
		{"{\"role\":\"primary\",\"term\":2,\"promised\":3,\"log\":{\"term\":2},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":\"\",\"contact_ms\":7}",
		 false},
		{"{\"term\":2,\"promised\":3,\"log\":{\"term\":2,\"pos\":9},"
		 "\"applied\":{\"term\":2,\"pos\":8},\"primary\":\"\",\"contact_ms\":7}",
		 false},
		{"[]", false},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		json_t *json = json_loads(cases[i].text, 0, NULL);
		enum bc_status expected = cases[i].valid ? BC_OK : BC_EINVAL;
		struct rte_row row;

		CU_ASSERT_EQUAL(rte_row_parse(ctx, json, &row), expected);
		if (cases[i].valid)
			CU_ASSERT(row.is_primary && row.term == 2 && row.promised == 3 &&
				  row.log.pos == 9 && row.applied.pos == 8 && row.contact_ms == 7);
		json_decref(json);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against an invalid groups object replacing a valid one, and a reload losing state. */
static void test_groups_load(void)
{
	static const char *const bad[] = {
		"{}",
		"{\"endpoints\":[{\"id\":\"a/b\"}],\"groups\":[]}",
		"{\"endpoints\":[],\"groups\":[{\"database\":\"db\",\"members\":[\"e0\"]}]}",
		"{\"endpoints\":[],\"groups\":[{\"database\":\"db\",\"members\":[]}]}",
		"{\"endpoints\":[{\"id\":\"e0\",\"address\":\"a:1\",\"domain\":\"d\","
		"\"region\":\"r\",\"slots\":0,\"connections\":1}],\"groups\":[]}",
		"{\"endpoints\":[{\"id\":\"e0\",\"address\":\"a:1\",\"domain\":\"d\","
		"\"region\":\"r\",\"slots\":1,\"connections\":1}],"
		"\"groups\":[{\"database\":\"db\",\"members\":[\"e0\",\"e0\"]}]}",
	};
	const struct row_spec primary = {true, 2, 2, {2, 9}, {2, 9}, "e0"};
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct rte_table *table = rte_create(ctx, "d0", "r0");
	char id[BC_ID_BYTES] = "";
	uint64_t term = 0;
	size_t i;

	CU_ASSERT_EQUAL(load(table, groups_text), BC_OK);
	report(table, 0, &primary, 1000 * MS);
	rte_leaving_set(table, "e2", true);
	for (i = 0; i < COUNT(bad); i++) {
		CU_ASSERT_EQUAL(load(table, bad[i]), BC_EINVAL);
		CU_ASSERT_EQUAL(rte_endpoint_count(table), 3);
	}
	CU_ASSERT_EQUAL(load(table, groups_text), BC_OK);
	CU_ASSERT(rte_primary_get(table, "db", id, &term) && term == 2);
	CU_ASSERT_STRING_EQUAL(id, "e0");
	CU_ASSERT(rte_endpoint_find(table, "e2")->leaving);
	CU_ASSERT_EQUAL(rte_group_members(table, "db", members), 3);
	CU_ASSERT_EQUAL(rte_group_members(table, "other", members), 0);
	rte_destroy(table);
	bc_ctx_destroy(ctx);
}

#define CRITERIA(replicas, age_us, ...)                                                            \
	{                                                                                          \
		.database = "db", .replicas_allowed = (replicas), .max_age_us = (age_us),          \
		__VA_ARGS__                                                                        \
	}
#define ANY_AGE(...) CRITERIA(true, RTE_AGE_ANY, __VA_ARGS__)
#define PRIMARY_ROW                                                                                \
	{                                                                                          \
		true, 1, 1, {1, 9}, {1, 9}, "e0"                                                   \
	}
#define REPLICA_ROW(pos)                                                                           \
	{                                                                                          \
		false, 1, 1, {1, pos}, {1, pos}, "e0"                                              \
	}

/* Guards against choices that violate a mark, an age limit, a plan or the order of preference. */
static void test_choose(void)
{
	static const struct {
		const char *name;
		struct row_spec rows[3];
		struct rte_criteria criteria;
		const char *leaving;
		const char *unreachable;
		const char *busy;
		enum rte_choose_result result;
		const char *endpoint;
	} cases[] = {
		{"write",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.write = true),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"strong",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.strong = true),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"own region first",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e1"},
		{"load does not outweigh distance",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(),
		 "",
		 "",
		 "e1",
		 RTE_CHOSEN,
		 "e1"},
		{"leaving last",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(),
		 "e1",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e2"},
		{"leaving replicas",
		 {PRIMARY_ROW, REPLICA_ROW(9), {0}},
		 ANY_AGE(),
		 "e1",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"unreachable",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(),
		 "",
		 "e1",
		 "",
		 RTE_CHOSEN,
		 "e2"},
		{"plan without replicas",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 CRITERIA(false, RTE_AGE_ANY),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"mark",
		 {PRIMARY_ROW, REPLICA_ROW(7), REPLICA_ROW(8)},
		 ANY_AGE(.mark = {1, 8}),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e2"},
		{"mark on no replica",
		 {PRIMARY_ROW, REPLICA_ROW(7), REPLICA_ROW(7)},
		 ANY_AGE(.mark = {1, 8}),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"mark within reach",
		 {PRIMARY_ROW, REPLICA_ROW(7), REPLICA_ROW(7)},
		 ANY_AGE(.mark = {1, 8}),
		 "",
		 "e0",
		 "",
		 RTE_WAIT,
		 ""},
		{"mark of a newer term",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.mark = {2, 5}),
		 "",
		 "",
		 "",
		 RTE_WAIT,
		 ""},
		{"write after a newer mark",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.write = true, .mark = {2, 5}),
		 "",
		 "",
		 "",
		 RTE_WAIT,
		 ""},
		{"age proven",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(8)},
		 CRITERIA(true, 50 * MS),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e1"},
		{"age not proven",
		 {PRIMARY_ROW, REPLICA_ROW(8), REPLICA_ROW(8)},
		 CRITERIA(true, 50 * MS),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"fenced primary takes no write",
		 {{true, 1, 2, {1, 9}, {1, 9}, "e0"}, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.write = true),
		 "",
		 "",
		 "",
		 RTE_WAIT,
		 ""},
		{"replaced primary",
		 {PRIMARY_ROW, {true, 2, 2, {2, 10}, {2, 10}, "e1"}, REPLICA_ROW(8)},
		 ANY_AGE(.write = true),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e1"},
		{"replaced primary serves no read",
		 {PRIMARY_ROW, {true, 2, 2, {2, 10}, {2, 10}, "e1"}, {0}},
		 ANY_AGE(),
		 "",
		 "e1",
		 "",
		 RTE_WAIT,
		 ""},
		{"replica of an older term without proof",
		 {REPLICA_ROW(9), {true, 2, 2, {2, 10}, {2, 10}, "e1"}, REPLICA_ROW(8)},
		 ANY_AGE(),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e1"},
		{"already tried",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.exclude = {"e1", "e2"}),
		 "",
		 "",
		 "",
		 RTE_CHOSEN,
		 "e0"},
		{"all tried",
		 {PRIMARY_ROW, REPLICA_ROW(9), REPLICA_ROW(9)},
		 ANY_AGE(.exclude = {"e1", "e2", "e0"}),
		 "",
		 "",
		 "",
		 RTE_NONE,
		 ""},
		{"nothing known",
		 {{0}, {0}, {0}},
		 ANY_AGE(.write = true),
		 "",
		 "",
		 "",
		 RTE_WAIT,
		 ""},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;
	size_t k;

	for (i = 0; i < COUNT(cases); i++) {
		struct rte_table *table = rte_create(ctx, "d0", "r0");
		struct rte_choice choice = {0};

		load(table, groups_text);
		for (k = 0; k < 3; k++)
			if (cases[i].rows[k].term)
				report(table, k, &cases[i].rows[k], 1000 * MS);
		rte_leaving_set(table, cases[i].leaving, true);
		rte_unreachable(table, cases[i].unreachable, 1002 * MS);
		rte_statement_started(table, cases[i].busy);
		CU_ASSERT_EQUAL(rte_choose(table, &cases[i].criteria, 1010 * MS, &choice),
				cases[i].result);
		CU_ASSERT_STRING_EQUAL(choice.endpoint, cases[i].endpoint);
		if (strcmp(choice.endpoint, cases[i].endpoint) != 0)
			printf("\n  case %s: %s\n", cases[i].name, choice.endpoint);
		rte_destroy(table);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against new work for an endpoint more than RTE_LEAVING_GRACE_US after it began leaving. */
static void test_leaving_grace(void)
{
	static const struct {
		uint64_t at_ms;
		bool leaving;
		enum rte_choose_result result;
	} cases[] = {
		{1010, true, RTE_CHOSEN}, {4000, true, RTE_CHOSEN},  {4010, true, RTE_WAIT},
		{9000, true, RTE_WAIT},	  {9010, false, RTE_CHOSEN}, {9020, true, RTE_CHOSEN},
	};
	static const struct row_spec primary = PRIMARY_ROW;
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct rte_table *table = rte_create(ctx, "d0", "r0");
	struct rte_criteria criteria = ANY_AGE(.write = true);
	size_t i;

	load(table, groups_text);
	report(table, 0, &primary, 1000 * MS);
	for (i = 0; i < COUNT(cases); i++) {
		struct rte_choice choice = {0};

		rte_leaving_set(table, "e0", cases[i].leaving);
		CU_ASSERT_EQUAL(rte_choose(table, &criteria, cases[i].at_ms * MS, &choice),
				cases[i].result);
	}
	rte_destroy(table);
	bc_ctx_destroy(ctx);
}

/* Guards against an age below what the reports prove. Ages are computed at 1000 ms. */
static void test_age(void)
{
	static const struct {
		const char *name;
		struct {
			size_t endpoint;
			struct row_spec row;
			uint64_t sent_ms;
		} reports[5];
		uint64_t age_ms[3]; /* UINT64_MAX: not proven */
	} cases[] = {
		{"no majority", {{0, PRIMARY_ROW, 900}}, {UINT64_MAX, UINT64_MAX, UINT64_MAX}},
		{"majority",
		 {{0, PRIMARY_ROW, 900}, {1, REPLICA_ROW(9), 890}},
		 {110, 110, UINT64_MAX}},
		{"primary asked first",
		 {{0, PRIMARY_ROW, 800}, {1, REPLICA_ROW(9), 900}, {2, REPLICA_ROW(8), 900}},
		 {200, 200, UINT64_MAX}},
		{"promise of a greater term",
		 {{0, PRIMARY_ROW, 900}, {1, {false, 1, 2, {1, 9}, {1, 9}, "e0"}, 900}},
		 {UINT64_MAX, UINT64_MAX, UINT64_MAX}},
		{"promise seen later keeps the earlier proof",
		 {{0, PRIMARY_ROW, 800},
		  {1, REPLICA_ROW(9), 800},
		  {1, {false, 1, 2, {1, 9}, {1, 9}, "e0"}, 900},
		  {0, PRIMARY_ROW, 900}},
		 {200, 200, UINT64_MAX}},
		{"catches up with an older sample",
		 {{0, PRIMARY_ROW, 700},
		  {1, REPLICA_ROW(9), 700},
		  {0, {true, 1, 1, {1, 20}, {1, 20}, "e0"}, 900},
		  {1, REPLICA_ROW(12), 900},
		  {2, REPLICA_ROW(15), 950}},
		 {100, 300, 300}},
		{"late report does not count as newer",
		 {{0, PRIMARY_ROW, 900},
		  {1, REPLICA_ROW(9), 900},
		  {2, REPLICA_ROW(9), 900},
		  {0, PRIMARY_ROW, 800},
		  {1, REPLICA_ROW(9), 800}},
		 {100, 100, 100}},
		{"old primary after a promotion",
		 {{1, {true, 2, 2, {2, 9}, {2, 9}, "e1"}, 900},
		  {2, {false, 2, 2, {2, 9}, {2, 9}, "e1"}, 900},
		  {0, {true, 1, 1, {1, 30}, {1, 30}, "e0"}, 950}},
		 {UINT64_MAX, 100, 100}},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;
	size_t k;

	for (i = 0; i < COUNT(cases); i++) {
		struct rte_table *table = rte_create(ctx, "d0", "r0");

		load(table, groups_text);
		for (k = 0; k < 5 && cases[i].reports[k].row.term; k++)
			report(table, cases[i].reports[k].endpoint, &cases[i].reports[k].row,
			       cases[i].reports[k].sent_ms * MS);
		for (k = 0; k < 3; k++) {
			uint64_t age_us = rte_age(table, ids[k], "db", 1000 * MS);
			uint64_t age_ms = age_us == RTE_AGE_ANY ? UINT64_MAX : age_us / MS;

			CU_ASSERT_EQUAL(age_ms, cases[i].age_ms[k]);
			if (age_ms != cases[i].age_ms[k])
				printf("\n  case %s: e%zu %llu\n", cases[i].name, k,
				       (unsigned long long)age_ms);
		}
		rte_destroy(table);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against a sample ring too short to prove the age of a replica that lags by seconds. */
static void test_age_of_lagging_replica(void)
{
	static const struct {
		uint64_t lag_ms;
		uint64_t most_ms; /* lag, greatest sample spacing and one probe interval */
	} cases[] = {{0, 20}, {500, 640}, {5000, 5140}, {20000, 20140}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct rte_table *table = rte_create(ctx, "d0", "r0");
		uint64_t age_us;
		uint64_t ms;

		load(table, groups_text);
		for (ms = 100; ms <= 60000; ms += 20) {
			uint64_t behind = ms > cases[i].lag_ms ? ms - cases[i].lag_ms : 0;
			struct row_spec primary = {true, 1, 1, {1, ms}, {1, ms}, "e0"};
			struct row_spec replica = {false, 1, 1, {1, ms}, {1, behind}, "e0"};

			report(table, 0, &primary, ms * MS);
			report(table, 1, &replica, ms * MS);
		}
		age_us = rte_age(table, "e1", "db", 60000 * MS);
		CU_ASSERT(age_us >= cases[i].lag_ms * MS);
		CU_ASSERT(age_us <= cases[i].most_ms * MS);
		rte_destroy(table);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against a late message replacing the known primary by an older one. */
static void test_primary_learn(void)
{
	static const struct {
		uint64_t term;
		const char *endpoint;
		uint64_t known_term;
		const char *known;
	} steps[] = {
		{3, "e1", 3, "e1"}, {2, "e0", 3, "e1"}, {3, "e2", 3, "e1"},
		{4, "", 3, NULL},   {4, "e2", 4, "e2"},
	};
	const struct rte_criteria write = {.database = "db", .write = true};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct rte_table *table = rte_create(ctx, "d0", "r0");
	size_t i;

	load(table, groups_text);
	for (i = 0; i < COUNT(steps); i++) {
		char id[BC_ID_BYTES] = "";
		struct rte_choice choice = {0};
		uint64_t term = 0;
		bool known;

		rte_primary_learn(table, "db", steps[i].term, steps[i].endpoint);
		known = rte_primary_get(table, "db", id, &term);
		CU_ASSERT_EQUAL(known, steps[i].known != NULL);
		if (!known)
			continue;
		CU_ASSERT_EQUAL(term, steps[i].known_term);
		CU_ASSERT_STRING_EQUAL(id, steps[i].known);
		CU_ASSERT_EQUAL(rte_choose(table, &write, 0, &choice), RTE_CHOSEN);
		CU_ASSERT_STRING_EQUAL(choice.endpoint, steps[i].known);
	}
	rte_destroy(table);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"row_parse", test_row_parse},
			       {"groups_load", test_groups_load},
			       {"choose", test_choose},
			       {"leaving_grace", test_leaving_grace},
			       {"age", test_age},
			       {"age_of_lagging_replica", test_age_of_lagging_replica},
			       {"primary_learn", test_primary_learn},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"route", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
