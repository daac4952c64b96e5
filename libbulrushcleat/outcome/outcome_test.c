#include "outcome/outcome.h"

#include <CUnit/Basic.h>
#include <sqlite3.h>
#include <string.h>

/* Guards against "not_run" for a write that may have run, and "unknown" for a read. */
static void test_classify(void)
{
	static const struct {
		enum out_end end;
		enum out_outcome write;
		enum out_outcome read;
	} cases[] = {
		{OUT_END_NOT_SENT, OUT_NOT_RUN, OUT_NOT_RUN},
		{OUT_END_REFUSED, OUT_NOT_RUN, OUT_NOT_RUN},
		{OUT_END_DUPLICATE, OUT_UNKNOWN, OUT_NOT_RUN},
		{OUT_END_ERROR, OUT_NOT_RUN, OUT_NOT_RUN},
		{OUT_END_LOST, OUT_UNKNOWN, OUT_NOT_RUN},
		{OUT_END_UNCONFIRMED, OUT_UNKNOWN, OUT_NOT_RUN},
		{OUT_END_OK, OUT_RAN, OUT_RAN},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(out_classify(cases[i].end, true), cases[i].write);
		CU_ASSERT_EQUAL(out_classify(cases[i].end, false), cases[i].read);
	}
	CU_ASSERT_STRING_EQUAL(out_outcome_name(OUT_NOT_RUN), "not_run");
}

/* Guards against retries that may run a write twice, and against unlimited retries. */
static void test_retry_decide(void)
{
	static const struct {
		uint64_t deadline_us;
		enum out_end end;
		struct out_attempts attempts;
		bool retry;
	} cases[] = {
		{1000000, OUT_END_NOT_SENT, {1, true, false, false}, true},
		{1000000, OUT_END_REFUSED, {1, true, false, false}, true},
		{1000000, OUT_END_REFUSED, {2, true, false, true}, false},
		{1000000, OUT_END_LOST, {1, true, false, true}, false},
		{1000000, OUT_END_NOT_SENT, {2, true, false, true}, false},
		{1000000, OUT_END_LOST, {1, true, true, true}, true},
		{1000000, OUT_END_DUPLICATE, {1, true, true, true}, true},
		{1000000, OUT_END_ERROR, {1, true, true, false}, false},
		{1000000, OUT_END_OK, {1, true, true, false}, false},
		{1000000, OUT_END_LOST, {1, false, false, false}, true},
		{1000000, OUT_END_LOST, {2, false, false, false}, true},
		{1000000, OUT_END_LOST, {3, false, false, false}, false},
		{1000, OUT_END_LOST, {1, false, false, false}, false},
		{999, OUT_END_LOST, {1, false, false, false}, false},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct out_budget *budget = out_budget_create(ctx);
	uint64_t delay_us;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(out_retry_decide(budget, &cases[i].attempts, cases[i].end,
						 "orange-barn", 1000, cases[i].deadline_us,
						 &delay_us),
				cases[i].retry);
		CU_ASSERT(delay_us <= OUT_BACKOFF_FIRST_US * cases[i].attempts.made);
	}
	out_budget_destroy(budget);
	bc_ctx_destroy(ctx);
}

/* Guards against retries that multiply the load on an endpoint that is already failing. */
static void test_budget(void)
{
	static const struct {
		uint32_t first_attempts;
		uint32_t retries; /* allowed after these */
	} cases[] = {{0, 10}, {9, 0}, {1, 1}, {35, 3}, {1000, 10}};
	const struct out_attempts attempts = {1, false, false, false};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct out_budget *budget = out_budget_create(ctx);
	uint64_t delay_us;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t retries = 0;
		uint32_t j;

		for (j = 0; j < cases[i].first_attempts; j++)
			out_budget_deposit(budget, "orange-barn");
		while (out_retry_decide(budget, &attempts, OUT_END_LOST, "orange-barn", 0, 1000000,
					&delay_us))
			retries++;
		CU_ASSERT_EQUAL(retries, cases[i].retries);
	}
	CU_ASSERT(out_retry_decide(budget, &attempts, OUT_END_LOST, "derby-b", 0, 1000000,
				   &delay_us));
	CU_ASSERT(
		out_retry_decide(budget, &attempts, OUT_END_NOT_SENT, NULL, 0, 1000000, &delay_us));
	out_budget_destroy(budget);
	bc_ctx_destroy(ctx);
}

/* Guards against accepting a key whose row may have been deleted, so that the write runs again. */
static void test_key_check(void)
{
	static const struct {
		const char *key;
		enum bc_status status;
	} cases[] = {
		{"1000000-a", BC_OK},
		{"1000000-A_b.c-9", BC_OK},
		{"481600-a", BC_OK},
		{"481599-a", BC_ETIMEOUT},
		{"1086400-a", BC_OK},
		{"1086401-a", BC_ETIMEOUT},
		{"99999999999999999999-a", BC_EINVAL},
		{"1000000", BC_EINVAL},
		{"1000000-", BC_EINVAL},
		{"1000000-a b", BC_EINVAL},
		{"-a", BC_EINVAL},
		{"+1000000-a", BC_EINVAL},
		{"", BC_EINVAL},
		{NULL, BC_EINVAL},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	char longest[OUT_KEY_MAX_BYTES + 1];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(out_key_check(ctx, cases[i].key, 1000000), cases[i].status);
	memset(longest, '1', sizeof(longest));
	memcpy(longest, "1000000-", 8);
	longest[OUT_KEY_MAX_BYTES] = '\0';
	CU_ASSERT_EQUAL(out_key_check(ctx, longest, 1000000), BC_EINVAL);
	longest[OUT_KEY_MAX_BYTES - 1] = '\0';
	CU_ASSERT_EQUAL(out_key_check(ctx, longest, 1000000), BC_OK);
	bc_ctx_destroy(ctx);
}

/* Guards against the same fingerprint for two different requests. */
static void test_fingerprint(void)
{
	static const struct {
		const char *database;
		const char *sql;
		const char *params;
		bool same;
	} cases[] = {
		{"a", "bc", "[1]", true},  {"a", "bc", " [ 1 ] ", true},  {"ab", "c", "[1]", false},
		{"a", "bc", "[2]", false}, {"a", "bc", "[\"1\"]", false}, {"a", "bc", NULL, false},
	};
	char first[OUT_FINGERPRINT_BYTES];
	char other[OUT_FINGERPRINT_BYTES];
	json_t *params = json_pack("[i]", 1);
	size_t i;

	out_fingerprint("a", "bc", params, first);
	CU_ASSERT_EQUAL(strlen(first), 32);
	json_decref(params);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		params = cases[i].params ? json_loads(cases[i].params, 0, NULL) : NULL;
		out_fingerprint(cases[i].database, cases[i].sql, params, other);
		CU_ASSERT_EQUAL(strcmp(first, other) == 0, cases[i].same);
		json_decref(params);
	}
}

/* Runs a statement; returns SQLite's code and stores the first row's first column, if any. */
static int run(sqlite3 *db, json_t *statement, char column[64])
{
	json_t *params = json_object_get(statement, "params");
	sqlite3_stmt *prepared = NULL;
	size_t i;
	int code;

	column[0] = '\0';
	CU_ASSERT_EQUAL(sqlite3_prepare_v2(db, json_string_value(json_object_get(statement, "sql")),
					   -1, &prepared, NULL),
			SQLITE_OK);
	for (i = 0; i < json_array_size(params); i++) {
		const json_t *param = json_array_get(params, i);

		if (json_is_integer(param))
			sqlite3_bind_int64(prepared, (int)i + 1, json_integer_value(param));
		else
			sqlite3_bind_text(prepared, (int)i + 1, json_string_value(param), -1,
					  SQLITE_TRANSIENT);
	}
	code = sqlite3_step(prepared);
	if (code == SQLITE_ROW && sqlite3_column_text(prepared, 0))
		sqlite3_snprintf(64, column, "%s", sqlite3_column_text(prepared, 0));
	sqlite3_finalize(prepared);
	json_decref(statement);
	return code;
}

/* Guards against a key row that does not stop a second attempt, or is deleted too early. */
static void test_key_sql(void)
{
	sqlite3 *db;
	char column[64];

	CU_ASSERT_EQUAL(sqlite3_open(":memory:", &db), SQLITE_OK);
	CU_ASSERT_EQUAL(run(db, out_key_sql_create_table(), column), SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_create_table(), column), SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("shop", "90-a"), column), SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_insert("shop", "90-a", "f1", 100), column),
			SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_insert("shop", "90-a", "f1", 100), column),
			SQLITE_CONSTRAINT);
	CU_ASSERT_EQUAL(run(db, out_key_sql_insert("habit", "110-a", "f2", 100), column),
			SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_store("shop", "90-a", "{\"rows\":[]}"), column),
			SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("shop", "90-a"), column), SQLITE_ROW);
	CU_ASSERT_STRING_EQUAL(column, "f1");
	run(db, out_key_sql_prune(OUT_KEY_RETENTION_S + 100), column);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("shop", "90-a"), column), SQLITE_ROW);
	run(db, out_key_sql_prune(OUT_KEY_RETENTION_S + 101), column);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("shop", "90-a"), column), SQLITE_DONE);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("habit", "110-a"), column), SQLITE_ROW);
	run(db, out_key_sql_prune(0), column);
	CU_ASSERT_EQUAL(run(db, out_key_sql_lookup("habit", "110-a"), column), SQLITE_ROW);
	sqlite3_close(db);
}

int main(void)
{
	CU_TestInfo tests[] = {{"classify", test_classify},
			       {"retry_decide", test_retry_decide},
			       {"budget", test_budget},
			       {"key_check", test_key_check},
			       {"fingerprint", test_fingerprint},
			       {"key_sql", test_key_sql},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"outcome", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
