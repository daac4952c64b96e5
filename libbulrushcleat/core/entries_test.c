#include "core/entries.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GOOD "{\"meta\":{\"name\":\"a\"},\"spec\":{\"x\":\"]}\\\"\"}}"

/*
 * Guards against a list of entries that cannot be read because of one of them, and against the loss
 * of its name, which the last valid entry is kept by.
 */
static void test_odd_entries(void)
{
	static const struct {
		const char *entry; /* beside two valid ones */
		uint32_t replaced;
		const char *name; /* of the odd entry; NULL: none */
	} cases[] = {
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"slots\":2}}", 0, "o"},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"slots\":99999999999999999999999}}", 1,
		 "o"},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"slots\":1e999}}", 1, "o"},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"zone\":\"\xff\xfe\"}}", 1, "o"},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"zone\":\"\\ud800\"}}", 1, "o"},
		{"{\"meta\":{\"name\":\"o\",\"revision\":99999999999999999999999},\"spec\":{}}", 1,
		 NULL},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":99999999999999999999999}", 1, NULL},
		{"{\"meta\":{\"name\":\"o\"},\"spec\":{\"zone\":\"a\nb\"}}", 1, "o"},
		{"{\"meta\":}", 1, NULL},
		{"7", 0, NULL},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint32_t replaced = 99;
		const json_t *items;
		json_t *document;
		char text[512];
		const char *name;
		int bytes = snprintf(text, sizeof(text), "{\"items\":[%s,%s,%s],\"read_rev\":7}",
				     GOOD, cases[i].entry, GOOD);

		document = bc_entries_load(text, (size_t)bytes, 4, &replaced);
		items = json_object_get(document, "items");
		CU_ASSERT_EQUAL(json_array_size(items), 3);
		CU_ASSERT_EQUAL(replaced, cases[i].replaced);
		CU_ASSERT_EQUAL(json_integer_value(json_object_get(document, "read_rev")), 7);
		name = json_string_value(
			json_object_get(json_object_get(json_array_get(items, 1), "meta"), "name"));
		if (!!name != !!cases[i].name)
			printf("\n%s\n", cases[i].entry);
		CU_ASSERT_EQUAL(!!name, !!cases[i].name);
		json_decref(document);
	}
}

/* Guards against an entry with thousands of levels, which recursive code cannot take. */
static void test_deep_entries(void)
{
	static const struct {
		uint32_t levels; /* of "spec" */
		uint32_t replaced;
	} cases[] = {{60, 0}, {64, 0}, {65, 1}, {2000, 1}, {50000, 1}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		size_t bytes = 2 * cases[i].levels + 256;
		char *nested = calloc(1, 2 * cases[i].levels + 1);
		char *text = calloc(1, bytes);
		uint32_t replaced = 99;
		json_t *document;

		/* The analyzer does not know that fatal assertions do not return. */
		if (!nested || !text) {
			CU_FAIL("out of memory");
			free(nested);
			free(text);
			return;
		}
		memset(nested, '[', cases[i].levels);
		memset(nested + cases[i].levels, ']', cases[i].levels);
		snprintf(text, bytes, "{\"items\":[%s,{\"meta\":{\"name\":\"o\"},\"spec\":%s}]}",
			 GOOD, nested);
		document = bc_entries_load(text, strlen(text), 4, &replaced);
		CU_ASSERT_EQUAL(json_array_size(json_object_get(document, "items")), 2);
		CU_ASSERT_EQUAL(replaced, cases[i].replaced);
		json_decref(document);
		free(text);
		free(nested);
	}
}

/* Guards against reading beyond the text, and against accepting what is no document. */
static void test_malformed_documents(void)
{
	static const char *const cases[] = {"", "{", "]]", "{\"a\":\"", "{\"a\":[{\"b\":1}", "\\"};
	uint32_t replaced;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_PTR_NULL(bc_entries_load(cases[i], strlen(cases[i]), 4, &replaced));
}

int main(void)
{
	CU_TestInfo tests[] = {{"odd_entries", test_odd_entries},
			       {"deep_entries", test_deep_entries},
			       {"malformed_documents", test_malformed_documents},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"entries", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
