#include "account/account.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
/* SHA-256 of "abc", from FIPS 180-2. */
#define ABC_DIGEST "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
#define MANY 1000U

struct text_case {
	const char *failure; /* the failure that the case guards against */
	const char *text;
	bool valid;
};

static const struct text_case digest_cases[] = {
	{"a digest not read", ABC_DIGEST, true},
	{"upper-case digits not read",
	 "sha256:BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD", true},
	{"a key taken for a digest", "k-31f0", false},
	{"an empty text taken for a digest", "", false},
	{"another algorithm accepted",
	 "sha512:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", false},
	{"a short digest accepted",
	 "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015a", false},
	{"a long digest accepted", ABC_DIGEST "0", false},
	{"a character that is no digit accepted",
	 "sha256:ga7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", false},
	{"a missing text read", NULL, false},
};

static void test_digests(void)
{
	struct acc_digest abc;
	char text[ACC_DIGEST_TEXT_BYTES];
	size_t i;

	acc_digest_key("abc", &abc);
	acc_digest_format(&abc, text);
	CU_ASSERT_STRING_EQUAL(text, ABC_DIGEST);
	for (i = 0; i < COUNT(digest_cases); i++) {
		const struct text_case *c = &digest_cases[i];
		struct acc_digest digest;
		bool right = acc_digest_parse(c->text, &digest) == c->valid &&
			     (!c->valid || memcmp(&digest, &abc, sizeof(abc)) == 0);

		if (!right)
			printf("\n%s\n", c->failure);
		CU_ASSERT_TRUE(right);
	}
}

static const struct text_case name_cases[] = {
	{"a usual name refused", "mill-7", true},
	{"an empty name accepted", "", false},
	{"a name that ends a field", "mill 7", false},
	{"a name that ends a message", "mill\r\nQUERY", false},
	{"a control character accepted", "mill\x7f", false},
	{"a name too long to be copied",
	 "0123456789012345678901234567890123456789012345678901234567890123", false},
	{"the longest name refused",
	 "012345678901234567890123456789012345678901234567890123456789012", true},
};

static void test_names(void)
{
	size_t i;

	for (i = 0; i < COUNT(name_cases); i++) {
		if (acc_name_valid(name_cases[i].text) != name_cases[i].valid)
			printf("\n%s\n", name_cases[i].failure);
		CU_ASSERT_EQUAL(acc_name_valid(name_cases[i].text), name_cases[i].valid);
	}
}

enum step_kind { ADD, ADD_KEY };

struct step {
	const char *failure;
	enum step_kind kind;
	const char *account;
	const char *key;
	enum bc_status status;
};

static const struct step steps[] = {
	{"an account not added", ADD, "mill", NULL, BC_OK},
	{"a second account not added", ADD, "farm", NULL, BC_OK},
	{"an account replaced by another", ADD, "mill", NULL, BC_ECONFLICT},
	{"an account without a name", ADD, "", NULL, BC_EINVAL},
	{"a key not added", ADD_KEY, "mill", "one", BC_OK},
	{"a second key not added", ADD_KEY, "mill", "two", BC_OK},
	{"a key listed twice refused", ADD_KEY, "mill", "one", BC_OK},
	{"a key that identifies two accounts", ADD_KEY, "farm", "one", BC_ECONFLICT},
	{"a key of no account", ADD_KEY, "barn", "four", BC_ENOTFOUND},
};

static void test_table(void)
{
	struct acc_table *table = acc_create();
	struct acc_digest digest;
	size_t i;

	for (i = 0; i < COUNT(steps); i++) {
		struct acc_account account = {.priority = 2, .rate_per_s = 30, .burst = 15};
		enum bc_status status;

		snprintf(account.name, sizeof(account.name), "%s", steps[i].account);
		if (steps[i].key)
			acc_digest_key(steps[i].key, &digest);
		status = steps[i].kind == ADD ? acc_add(table, &account)
					      : acc_add_key(table, account.name, &digest);
		if (status != steps[i].status)
			printf("\n%s\n", steps[i].failure);
		CU_ASSERT_EQUAL(status, steps[i].status);
	}
	CU_ASSERT_EQUAL(acc_count(table), 2);
	CU_ASSERT_STRING_EQUAL(acc_at(table, 1)->name, "farm");
	CU_ASSERT_EQUAL(acc_find(table, "mill")->rate_per_s, 30);
	CU_ASSERT_PTR_NULL(acc_find(table, "barn"));
	acc_digest_key("two", &digest);
	CU_ASSERT_PTR_EQUAL(acc_find_key(table, &digest), acc_find(table, "mill"));
	acc_digest_key("three", &digest);
	CU_ASSERT_PTR_NULL(acc_find_key(table, &digest));
	acc_destroy(table);
	acc_destroy(NULL);
}

/* Guards against accounts that move or are lost as the table grows. */
static void test_growth(void)
{
	struct acc_table *table = acc_create();
	const struct acc_account *first = NULL;
	uint32_t i;

	for (i = 0; i < MANY; i++) {
		struct acc_account account = {.burst = i};
		struct acc_digest digest;

		snprintf(account.name, sizeof(account.name), "a-%u", i);
		acc_digest_key(account.name, &digest);
		CU_ASSERT_EQUAL(acc_add(table, &account), BC_OK);
		CU_ASSERT_EQUAL(acc_add_key(table, account.name, &digest), BC_OK);
		if (!first)
			first = acc_at(table, 0);
	}
	CU_ASSERT_PTR_EQUAL(acc_at(table, 0), first);
	for (i = 0; i < MANY; i++) {
		struct acc_digest digest;
		char name[BC_ID_BYTES];

		snprintf(name, sizeof(name), "a-%u", i);
		acc_digest_key(name, &digest);
		CU_ASSERT_PTR_EQUAL(acc_find(table, name), acc_at(table, i));
		CU_ASSERT_PTR_EQUAL(acc_find_key(table, &digest), acc_at(table, i));
		CU_ASSERT_EQUAL(acc_at(table, i)->burst, i);
	}
	acc_destroy(table);
}

int main(void)
{
	CU_TestInfo tests[] = {{"digests", test_digests},
			       {"names", test_names},
			       {"table", test_table},
			       {"growth", test_growth},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"account", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
