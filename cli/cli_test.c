#include "cli/cli.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static struct bc_ctx *ctx;

/*
 * A store with scripted faults. Each put takes the next step:
 * k: applied; l: applied, answer lost; n: not applied, no answer; o: another update is applied
 * first; a: applied, answer lost, then another update; t: applied, but answered as a conflict
 * because the request was sent twice; u: not applied, and the store is down from then on.
 */
struct fake_store {
	const char *steps;
	uint32_t failing_gets;
	uint64_t version;
	json_t *value;
	uint32_t updates; /* applied puts of the writer "me" */
	bool down;
};

static enum bc_status fake_get(void *data, uint64_t *version, json_t **value)
{
	struct fake_store *fake = data;

	if (fake->down || (fake->failing_gets && fake->failing_gets--))
		return BC_EIO;
	if (!fake->value)
		return BC_ENOTFOUND;
	*version = fake->version;
	*value = json_incref(fake->value);
	return BC_OK;
}

static void store_value(struct fake_store *fake, const json_t *value)
{
	json_decref(fake->value);
	fake->value = json_deep_copy(value);
	fake->version++;
}

/* Applies another operator's update to the current value. */
static void apply_other_update(struct fake_store *fake)
{
	json_t *value = fake->value ? json_deep_copy(fake->value) : json_object();
	json_int_t revision = json_integer_value(json_object_get(value, "revision")) + 1;

	json_object_set_new(value, "revision", json_integer(revision));
	json_object_set_new(value, "writer", json_string("other"));
	json_object_set_new(value, "plans", json_pack("[{s:s}]", "name", "theirs"));
	store_value(fake, value);
	json_decref(value);
}

static enum bc_status fake_put(void *data, uint64_t if_version, const json_t *value)
{
	struct fake_store *fake = data;
	char step = *fake->steps ? *fake->steps++ : 'k';

	if (step == 'u')
		fake->down = true;
	if (step == 'u' || step == 'n')
		return BC_EIO;
	if (step == 'o')
		apply_other_update(fake);
	if (if_version != fake->version)
		return BC_ECONFLICT;
	store_value(fake, value);
	fake->updates++;
	if (step == 'a')
		apply_other_update(fake);
	return step == 'k' ? BC_OK : step == 't' ? BC_ECONFLICT : BC_EIO;
}

static void fake_pause(void *data, uint32_t retry)
{
	(void)data;
	(void)retry;
}

/* Guards against an update that is lost, applied twice, overwrites another or is misreported. */
static void test_update(void)
{
	static const struct {
		const char *steps;
		int64_t if_revision;
		uint32_t failing_gets;
		enum bc_status status;
		uint32_t updates;
		bool exists;
		bool maybe_applied;
	} cases[] = {
		{"k", -1, 0, BC_OK, 1, true, false},
		{"k", -1, 0, BC_OK, 1, false, false},
		{"k", 1, 0, BC_OK, 1, true, false},
		{"k", 0, 0, BC_OK, 1, false, false},
		{"k", -1, 3, BC_OK, 1, true, false},
		{"l", -1, 0, BC_OK, 1, true, false},
		{"n", -1, 0, BC_OK, 1, true, false},
		{"nnl", -1, 0, BC_OK, 1, true, false},
		{"a", -1, 0, BC_OK, 1, true, false},
		{"t", -1, 0, BC_OK, 1, true, false},
		{"o", -1, 0, BC_ECONFLICT, 0, true, false},
		{"no", -1, 0, BC_ECONFLICT, 0, true, false},
		{"o", -1, 0, BC_ECONFLICT, 0, false, false},
		{"k", 7, 0, BC_ECONFLICT, 0, true, false},
		{"k", 0, 0, BC_ECONFLICT, 0, true, false},
		{"k", -1, 99, BC_EIO, 0, true, false},
		{"u", -1, 0, BC_EIO, 0, true, true},
		{"nnnnnnnn", -1, 0, BC_EIO, 0, true, true},
	};
	json_t *lists = json_pack("{s:[{s:s}],s:[]}", "plans", "name", "mine", "customers");
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fake_store fake = {.steps = cases[i].steps,
					  .failing_gets = cases[i].failing_gets};
		struct cli_store store = {fake_get, fake_put, fake_pause, &fake};
		struct cli_update update = {
			.lists = lists, .writer = "me", .if_revision = cases[i].if_revision};

		if (cases[i].exists)
			apply_other_update(&fake);
		CU_ASSERT_EQUAL(cli_update_run(ctx, &store, &update), cases[i].status);
		CU_ASSERT_EQUAL(fake.updates, cases[i].updates);
		CU_ASSERT_EQUAL(update.maybe_applied, cases[i].maybe_applied);
		if (cases[i].status == BC_OK)
			CU_ASSERT_EQUAL(update.revision, cases[i].exists ? 2 : 1);
		if (cases[i].status == BC_ECONFLICT)
			CU_ASSERT_EQUAL(json_array_size(update.ours), 2);
		cli_update_free(&update);
		json_decref(fake.value);
	}
	json_decref(lists);
}

/* Guards against a new revision without a change, and a history without a size limit. */
static void test_update_repeated(void)
{
	struct fake_store fake = {.steps = ""};
	struct cli_store store = {fake_get, fake_put, fake_pause, &fake};
	uint32_t i;

	for (i = 0; i < 40; i++) {
		json_t *lists = json_pack("{s:[{s:s,s:i}],s:[]}", "plans", "name", "a", "n",
					  (int)i / 2, "customers");
		struct cli_update update = {.lists = lists, .writer = "me", .if_revision = -1};

		CU_ASSERT_EQUAL(cli_update_run(ctx, &store, &update), BC_OK);
		CU_ASSERT_EQUAL(update.unchanged, i % 2 == 1);
		CU_ASSERT_EQUAL(update.revision, i / 2 + 1);
		cli_update_free(&update);
		json_decref(lists);
	}
	CU_ASSERT_EQUAL(json_array_size(json_object_get(fake.value, "history")), CFG_HISTORY_MAX);
	json_decref(fake.value);
}

/* Guards against a key id that is truncated to 32 bits, and a missing file name. */
static void test_key_split(void)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"1:a", true}, {"4294967295:/k", true}, {"4294967296:a", false}, {"0:a", false},
		{"1:", false}, {":a", false},		{"-1:a", false},	 {"a", false},
	};
	const char *file;
	uint32_t id;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(cli_key_split(cases[i].text, &id, &file), cases[i].valid);
}

/* Guards against a key that others can read, and an existing key being overwritten. */
static void test_key_write(void)
{
	char path[] = "/tmp/bc-key-XXXXXX";
	struct stat info;
	int fd = mkstemp(path);

	CU_ASSERT_TRUE(fd >= 0);
	close(fd);
	CU_ASSERT_EQUAL(cli_key_write(ctx, path), BC_ECONFLICT);
	CU_ASSERT_EQUAL(stat(path, &info), 0);
	CU_ASSERT_EQUAL(info.st_size, 0);
	unlink(path);
	CU_ASSERT_EQUAL(cli_key_write(ctx, path), BC_OK);
	CU_ASSERT_EQUAL(stat(path, &info), 0);
	CU_ASSERT_EQUAL(info.st_size, 32);
	CU_ASSERT_EQUAL(info.st_mode & 0777, 0600);
	unlink(path);
}

int main(void)
{
	CU_TestInfo tests[] = {{"update", test_update},
			       {"update_repeated", test_update_repeated},
			       {"key_split", test_key_split},
			       {"key_write", test_key_write},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"cli", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
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
