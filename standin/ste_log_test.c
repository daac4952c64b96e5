#include "standin/ste_log.h"

#include <CUnit/Basic.h>
#include <stdlib.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct bc_ctx *ctx;
static sqlite3 *sqlite;

/* Creates a log whose entry at position i + 1 has term terms[i]; a 0 ends the list. */
static struct ste_log *make_log(const uint64_t *terms)
{
	struct ste_log *log;
	uint64_t pos;

	sqlite3_open(":memory:", &sqlite);
	log = ste_log_open(ctx, sqlite);
	for (pos = 1; terms[pos - 1]; pos++) {
		struct bc_position position = {terms[pos - 1], pos};

		CU_ASSERT_EQUAL(ste_log_write(log, position, "[]"), BC_OK);
		CU_ASSERT_EQUAL(ste_log_push(log, position, pos), BC_OK);
	}
	return log;
}

static void free_log(struct ste_log *log)
{
	ste_log_close(log);
	sqlite3_close(sqlite);
}

static const uint64_t three_terms[] = {1, 1, 2, 2, 4, 0};
static const uint64_t empty[] = {0};

/* Guards against a write being confirmed by a replica whose log diverged before it. */
static void test_covers(void)
{
	static const struct {
		const uint64_t *terms;
		struct bc_position want;
		bool covers;
	} cases[] = {
		{three_terms, {1, 1}, true},  {three_terms, {1, 2}, true},
		{three_terms, {1, 3}, false}, {three_terms, {2, 1}, true},
		{three_terms, {2, 4}, true},  {three_terms, {2, 5}, false},
		{three_terms, {3, 1}, false}, {three_terms, {4, 5}, true},
		{three_terms, {4, 6}, false}, {three_terms, {5, 1}, false},
		{empty, {1, 1}, false},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct ste_log *log = make_log(cases[i].terms);

		CU_ASSERT_EQUAL(ste_log_covers(log, cases[i].want), cases[i].covers);
		free_log(log);
	}
}

/* Guards against a replica appending to a log that is not a prefix of the primary's. */
static void test_contains(void)
{
	static const struct {
		struct bc_position position;
		bool contains;
	} cases[] = {
		{{0, 0}, true}, {{1, 2}, true},	 {{2, 2}, false}, {{2, 3}, true},
		{{4, 5}, true}, {{4, 6}, false}, {{0, 6}, false}, {{0, 1}, false},
	};
	struct ste_log *log = make_log(three_terms);
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(ste_log_contains(log, cases[i].position), cases[i].contains);
	free_log(log);
}

/* Guards against a search for the last common entry that skips it or never ends. */
static void test_last_up_to(void)
{
	static const struct {
		struct bc_position bound;
		struct bc_position expected;
	} cases[] = {
		{{4, 9}, {4, 5}}, {{3, 9}, {2, 4}}, {{2, 3}, {2, 3}}, {{1, 5}, {1, 2}},
		{{0, 5}, {0, 0}}, {{9, 0}, {0, 0}}, {{9, 1}, {1, 1}},
	};
	struct ste_log *log = make_log(three_terms);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct bc_position found = ste_log_last_up_to(log, cases[i].bound);

		CU_ASSERT_EQUAL(bc_position_compare(found, cases[i].expected), 0);
	}
	free_log(log);
}

/* Guards against gaps and decreasing terms in the log. */
static void test_push(void)
{
	static const struct {
		struct bc_position position;
		enum bc_status status;
	} cases[] = {
		{{4, 7}, BC_EINVAL}, {{4, 5}, BC_EINVAL}, {{3, 6}, BC_EINVAL},
		{{4, 6}, BC_OK},     {{9, 7}, BC_OK},	  {{8, 8}, BC_EINVAL},
	};
	struct ste_log *log = make_log(three_terms);
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(ste_log_push(log, cases[i].position, 0), cases[i].status);
	free_log(log);
}

/* Guards against truncated entries that reappear, and entries lost when the log is reopened. */
static void test_truncate(void)
{
	struct ste_log *log = make_log(three_terms);
	json_t *entries;

	CU_ASSERT_EQUAL(ste_log_delete_after(log, 3), BC_OK);
	ste_log_pop_after(log, 3);
	CU_ASSERT_EQUAL(ste_log_last(log).pos, 3);
	CU_ASSERT_EQUAL(ste_log_last(log).term, 2);
	ste_log_close(log);
	log = ste_log_open(ctx, sqlite);
	CU_ASSERT_EQUAL(ste_log_last(log).pos, 3);
	CU_ASSERT_EQUAL(ste_log_last(log).term, 2);
	entries = ste_log_entries(log, 1, 10, SIZE_MAX);
	CU_ASSERT_EQUAL(json_array_size(entries), 2);
	json_decref(entries);
	entries = ste_log_entries(log, 0, 10, 1);
	CU_ASSERT_EQUAL(json_array_size(entries), 1);
	json_decref(entries);
	free_log(log);
}

int main(void)
{
	CU_TestInfo tests[] = {{"covers", test_covers},		{"contains", test_contains},
			       {"last_up_to", test_last_up_to}, {"push", test_push},
			       {"truncate", test_truncate},	CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"ste_log", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
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
