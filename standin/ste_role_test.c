#include "standin/ste_role.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const struct ste_role primary = {true, 3, 3, "p1", "self", ""};
static const struct ste_role replica = {false, 3, 3, "p1", "e1", "1.2.3.4:5"};
static const struct ste_role fenced = {false, 3, 4, "p1", "", ""};

/* Guards against one term being promised to two candidates, and against lost promises. */
static void test_fence(void)
{
	static const struct {
		const struct ste_role *before;
		uint64_t term;
		const char *candidate;
		bool granted;
		bool is_primary;
		const char *known_primary;
	} cases[] = {
		{&primary, 2, "p1", false, true, "self"}, {&primary, 3, "p2", false, true, "self"},
		{&primary, 3, "p1", true, true, "self"},  {&primary, 4, "p2", true, false, ""},
		{&replica, 4, "p1", true, false, ""},	  {&replica, 3, "p1", true, false, "e1"},
		{&fenced, 4, "p1", true, false, ""},	  {&fenced, 4, "p2", false, false, ""},
		{&fenced, 3, "p1", false, false, ""},	  {&fenced, 9, "p2", true, false, ""},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct ste_role role = *cases[i].before;

		CU_ASSERT_EQUAL(ste_role_fence(&role, cases[i].term, cases[i].candidate),
				cases[i].granted);
		CU_ASSERT_EQUAL(role.is_primary, cases[i].is_primary);
		CU_ASSERT_STRING_EQUAL(role.primary, cases[i].known_primary);
		CU_ASSERT_EQUAL(role.promised,
				cases[i].granted ? cases[i].term : cases[i].before->promised);
		CU_ASSERT_EQUAL(role.term, cases[i].before->term);
	}
}

/* Guards against a promotion without the latest promise, and two primaries in one term. */
static void test_promote(void)
{
	static const struct {
		const struct ste_role *before;
		uint64_t term;
		const char *candidate;
		bool granted;
	} cases[] = {
		{&fenced, 4, "p1", true},   {&fenced, 4, "p2", false}, {&fenced, 3, "p1", false},
		{&fenced, 5, "p1", false},  {&primary, 3, "p1", true}, {&replica, 3, "p1", false},
		{&primary, 2, "p1", false},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct ste_role role = *cases[i].before;

		CU_ASSERT_EQUAL(ste_role_promote(&role, cases[i].term, cases[i].candidate, "self"),
				cases[i].granted);
		CU_ASSERT_EQUAL(role.is_primary, cases[i].granted || cases[i].before->is_primary);
		if (cases[i].granted)
			CU_ASSERT_EQUAL(role.term, cases[i].term);
	}
}

/* Guards against following a replaced primary, and against a primary following its own term. */
static void test_follow(void)
{
	static const struct {
		const struct ste_role *before;
		uint64_t term;
		const char *to;
		bool granted;
		bool is_primary;
		uint64_t promised;
	} cases[] = {
		{&fenced, 4, "e2", true, false, 4},   {&fenced, 3, "e1", false, false, 4},
		{&fenced, 5, "e2", true, false, 5},   {&fenced, 4, "self", false, false, 4},
		{&primary, 3, "e2", false, true, 3},  {&primary, 3, "self", true, true, 3},
		{&primary, 4, "e2", true, false, 4},  {&replica, 3, "e2", true, false, 3},
		{&replica, 2, "e2", false, false, 3},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct ste_role role = *cases[i].before;

		CU_ASSERT_EQUAL(
			ste_role_follow(&role, cases[i].term, cases[i].to, "1.1.1.1:1", "self"),
			cases[i].granted);
		CU_ASSERT_EQUAL(role.is_primary, cases[i].is_primary);
		CU_ASSERT_EQUAL(role.promised, cases[i].promised);
	}
}

/* Guards against a fenced copy that accepts entries of a lower term or restarts as primary. */
static void test_receive_and_restart(void)
{
	static const struct {
		struct ste_role role;
		uint64_t from_term;
		bool may_receive;
		bool primary_after_restart;
	} cases[] = {
		{{false, 3, 3, "p1", "e1", ""}, 3, true, false},
		{{false, 3, 3, "p1", "e1", ""}, 2, false, false},
		{{false, 3, 4, "p1", "", ""}, 3, false, false},
		{{false, 3, 4, "p1", "e1", ""}, 3, false, false},
		{{true, 3, 3, "p1", "self", ""}, 3, false, true},
		{{true, 3, 4, "p1", "self", ""}, 3, false, false},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct ste_role role = cases[i].role;

		CU_ASSERT_EQUAL(ste_role_may_receive(&role, cases[i].from_term),
				cases[i].may_receive);
		ste_role_restart(&role);
		CU_ASSERT_EQUAL(role.is_primary, cases[i].primary_after_restart);
	}
}

/* Guards against a role that differs after it is stored and parsed again. */
static void test_store(void)
{
	static const struct ste_role *const roles[] = {&primary, &replica, &fenced};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ste_role parsed = {0};
	size_t i;

	for (i = 0; i < COUNT(roles); i++) {
		json_t *json = ste_role_json(roles[i]);
		char *text = json_dumps(json, JSON_COMPACT);

		CU_ASSERT_EQUAL(ste_role_parse(ctx, text, &parsed), BC_OK);
		CU_ASSERT_TRUE(ste_role_equal(&parsed, roles[i]));
		free(text);
		json_decref(json);
	}
	CU_ASSERT_EQUAL(ste_role_parse(ctx, "{\"term\":1}", &parsed), BC_EINVAL);
	CU_ASSERT_EQUAL(ste_role_parse(ctx, "", &parsed), BC_EINVAL);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"fence", test_fence},	 {"promote", test_promote},
		{"follow", test_follow}, {"receive_and_restart", test_receive_and_restart},
		{"store", test_store},	 CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"ste_role", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
