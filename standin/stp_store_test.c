#include "standin/stp_store.h"

#include <CUnit/Basic.h>
#include <stdlib.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Guards against a lost update, and against a version that is reused after a deletion. */
static void test_conditional_update(void)
{
	static const struct {
		const char *name;
		uint64_t if_version;
		uint64_t version; /* of the object afterwards */
		enum bc_status status;
		bool deletes;
	} steps[] = {
		{"a", 1, 0, BC_ECONFLICT, false}, {"a", 0, 1, BC_OK, false},
		{"a", 0, 1, BC_ECONFLICT, false}, {"b", 0, 2, BC_OK, false},
		{"a", 1, 3, BC_OK, false},	  {"a", 1, 3, BC_ECONFLICT, false},
		{"a", 1, 3, BC_ECONFLICT, true},  {"a", 3, 0, BC_OK, true},
		{"a", 3, 0, BC_ENOTFOUND, true},  {"a", 3, 0, BC_ECONFLICT, false},
		{"a", 0, 5, BC_OK, false},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct stp_store *store = stp_store_create(ctx);
	json_t *value = json_integer(7);
	size_t i;

	for (i = 0; i < COUNT(steps); i++) {
		uint64_t version = 0;
		enum bc_status status =
			steps[i].deletes
				? stp_store_delete(store, steps[i].name, steps[i].if_version)
				: stp_store_put(store, steps[i].name, steps[i].if_version, value,
						&version);

		CU_ASSERT_EQUAL(status, steps[i].status);
		CU_ASSERT_EQUAL(stp_store_version(store, steps[i].name), steps[i].version);
		if (status == BC_OK && !steps[i].deletes)
			CU_ASSERT_EQUAL(version, steps[i].version);
	}
	json_decref(value);
	stp_store_destroy(store);
	bc_ctx_destroy(ctx);
}

/* Guards against a listing that misses objects or returns those of another prefix. */
static void test_list(void)
{
	static const struct {
		const char *prefix;
		size_t count;
	} cases[] = {{"shares/", 2}, {"shares/a", 1}, {"", 3}, {"x", 0}, {"config", 1}};
	static const char *const names[] = {"shares/a", "shares/b", "config"};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct stp_store *store = stp_store_create(ctx);
	json_t *value = json_true();
	uint64_t version;
	size_t i;

	for (i = 0; i < COUNT(names); i++)
		stp_store_put(store, names[i], 0, value, &version);
	for (i = 0; i < COUNT(cases); i++) {
		json_t *list = stp_store_list(store, cases[i].prefix);

		CU_ASSERT_EQUAL(json_array_size(list), cases[i].count);
		json_decref(list);
	}
	stp_store_destroy(store);
	bc_ctx_destroy(ctx);
}

/* Guards against a watch on a prefix that misses changes, repeats them or has other prefixes'. */
static void test_changes(void)
{
	static const struct {
		const char *prefix;
		uint64_t after;
		size_t count;
		json_int_t version;
	} cases[] = {{"shares/", 0, 2, 4},
		     {"shares/", 2, 1, 4},
		     {"shares/", 4, 0, 4},
		     {"config", 0, 1, 3},
		     {"x", 7, 0, 7}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct stp_store *store = stp_store_create(ctx);
	json_t *value = json_true();
	uint64_t version;
	size_t i;

	stp_store_put(store, "shares/a", 0, value, &version);
	stp_store_put(store, "shares/b", 0, value, &version);
	stp_store_put(store, "config", 0, value, &version);
	stp_store_put(store, "shares/a", 1, value, &version);
	CU_ASSERT_EQUAL(stp_store_newest(store, "shares/"), 4);
	for (i = 0; i < COUNT(cases); i++) {
		json_t *changes = stp_store_changes(store, cases[i].prefix, cases[i].after);

		CU_ASSERT_EQUAL(json_array_size(json_object_get(changes, "objects")),
				cases[i].count);
		CU_ASSERT_EQUAL(json_integer_value(json_object_get(changes, "version")),
				cases[i].version);
		json_decref(changes);
	}
	stp_store_destroy(store);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"conditional_update", test_conditional_update},
			       {"list", test_list},
			       {"changes", test_changes},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"stp_store", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
