#include "standin/ste_database.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct bc_ctx *ctx;
static char directory[] = "/tmp/ste_database_test.XXXXXX";

static void remove_files(const char *name)
{
	static const char *const suffixes[] = {"", "-wal", "-shm"};
	char path[128];
	size_t i;

	for (i = 0; i < COUNT(suffixes); i++) {
		snprintf(path, sizeof(path), "%s/%s.sqlite%s", directory, name, suffixes[i]);
		unlink(path);
	}
}

static struct ste_database *open_database(const char *self)
{
	return ste_database_open(ctx, directory, self, self);
}

/* Creates a database named after its endpoint; endpoint "p" is the primary of term 1. */
static struct ste_database *new_database(const char *self)
{
	struct ste_database *database;

	remove_files(self);
	database = open_database(self);
	CU_ASSERT_EQUAL(ste_database_start(database, "p", ""), BC_OK);
	return database;
}

static bool write_sql(struct ste_database *database, const char *sql, bool commit)
{
	json_t *statements = json_pack("[{s:s}]", "sql", sql);
	struct ste_outcome outcome = {0};

	ste_database_write(database, statements, commit, 1, &outcome);
	json_decref(statements);
	json_decref(outcome.results);
	return outcome.ok;
}

/* All values of table t as text, or "error". */
static char *column_values(struct ste_database *database)
{
	json_t *statements = json_pack("[{s:s}]", "sql",
				       "SELECT group_concat(v) FROM (SELECT v FROM t "
				       "ORDER BY rowid)");
	struct ste_outcome outcome = {0};
	const char *text = NULL;
	char *copy;

	ste_database_read(database, statements, &outcome);
	if (outcome.ok)
		json_unpack(outcome.results, "[{s:[[s]]}]", "rows", &text);
	copy = strdup(text ? text : outcome.ok ? "" : "error");
	json_decref(outcome.results);
	json_decref(statements);
	return copy;
}

static void assert_values(struct ste_database *database, const char *expected)
{
	char *text = column_values(database);

	CU_ASSERT_STRING_EQUAL(text, expected);
	free(text);
}

static enum bc_status copy_entries(struct ste_database *from, struct ste_database *to,
				   struct bc_position after)
{
	json_t *entries = ste_log_entries(ste_database_log(from), after.pos, 100, SIZE_MAX);
	enum bc_status status = ste_database_receive(to, after, entries, 1);

	json_decref(entries);
	return status;
}

/* Guards against reads of uncommitted data, and data or log entries of failed transactions. */
static void test_transactions(void)
{
	struct ste_database *p = new_database("p");
	uint64_t last;

	CU_ASSERT_TRUE(write_sql(p, "CREATE TABLE t (v TEXT UNIQUE)", true));
	CU_ASSERT_TRUE(write_sql(p, "INSERT INTO t VALUES ('a')", false));
	assert_values(p, "");
	CU_ASSERT_TRUE(write_sql(p, "INSERT INTO t VALUES ('b')", true));
	assert_values(p, "a,b");
	last = ste_log_last(ste_database_log(p)).pos;
	CU_ASSERT_EQUAL(last, 3);
	CU_ASSERT_TRUE(write_sql(p, "INSERT INTO t VALUES ('c')", false));
	CU_ASSERT_FALSE(write_sql(p, "INSERT INTO t VALUES ('a')", true));
	CU_ASSERT_FALSE(ste_database_in_transaction(p));
	assert_values(p, "a,b");
	CU_ASSERT_EQUAL(ste_log_last(ste_database_log(p)).pos, last);
	ste_database_close(p);
}

/* Guards against callers using internal tables, transaction control or random functions. */
static void test_denied(void)
{
	static const char *const denied[] = {
		"DELETE FROM standin_log",
		"SELECT * FROM standin_state",
		"DROP TABLE standin_state",
		"CREATE TABLE standin_x (a)",
		"COMMIT",
		"SAVEPOINT s",
		"PRAGMA user_version = 3",
		"ATTACH 'x' AS y",
		"SELECT random()",
		"SELECT 1; SELECT 2",
		"",
	};
	struct ste_database *p = new_database("p");
	size_t i;

	for (i = 0; i < COUNT(denied); i++)
		CU_ASSERT_FALSE(write_sql(p, denied[i], true));
	CU_ASSERT_EQUAL(ste_log_last(ste_database_log(p)).pos, 1);
	ste_database_close(p);
}

/* Guards against divergent entries that stay in the log or the data, also after a restart. */
static void test_truncate_and_rebuild(void)
{
	struct ste_database *p = new_database("p");
	struct ste_database *r = new_database("r");
	struct bc_position none = {0, 0};
	struct bc_position common;
	struct bc_position found;

	write_sql(p, "CREATE TABLE t (v TEXT)", true);
	write_sql(p, "INSERT INTO t VALUES ('a')", true);
	CU_ASSERT_EQUAL(copy_entries(p, r, none), BC_OK);
	common = ste_log_last(ste_database_log(r));
	write_sql(p, "INSERT INTO t VALUES ('lost')", true);
	CU_ASSERT_TRUE(ste_database_fence(r, 2, "c"));
	CU_ASSERT_TRUE(ste_database_promote(r, 2, "c"));
	assert_values(r, "a");
	write_sql(r, "INSERT INTO t VALUES ('b')", true);

	CU_ASSERT_TRUE(ste_database_follow(p, 2, "r", ""));
	assert_values(p, "a,lost");
	/* A pull after p's last entry is answered with a mismatch and the last common entry. */
	found = ste_log_last(ste_database_log(p));
	CU_ASSERT_FALSE(ste_log_contains(ste_database_log(r), found));
	found = ste_log_last_up_to(ste_database_log(r), found);
	CU_ASSERT_EQUAL(bc_position_compare(found, common), 0);
	CU_ASSERT_EQUAL(copy_entries(r, p, ste_log_last(ste_database_log(r))), BC_EINVAL);
	CU_ASSERT_EQUAL(copy_entries(r, p, common), BC_OK);
	CU_ASSERT_TRUE(ste_database_rebuilding(p));
	ste_database_close(p);
	p = open_database("p");
	CU_ASSERT_TRUE(ste_database_rebuilding(p));
	CU_ASSERT_EQUAL(ste_database_apply(p, 2, UINT64_MAX), 2);
	CU_ASSERT_TRUE(ste_database_rebuilding(p));
	CU_ASSERT_EQUAL(ste_database_apply(p, 100, UINT64_MAX), 3);
	CU_ASSERT_FALSE(ste_database_rebuilding(p));
	assert_values(p, "a,b");
	CU_ASSERT_EQUAL(
		bc_position_compare(ste_database_applied(p), ste_log_last(ste_database_log(r))), 0);
	ste_database_close(p);
	ste_database_close(r);
}

/* Guards against entries being executed before the apply delay, or twice. */
static void test_apply(void)
{
	struct ste_database *p = new_database("p");
	struct ste_database *r = new_database("r");
	struct bc_position none = {0, 0};

	write_sql(p, "CREATE TABLE t (v TEXT)", true);
	write_sql(p, "INSERT INTO t VALUES ('a')", true);
	CU_ASSERT_EQUAL(copy_entries(p, r, none), BC_OK);
	CU_ASSERT_EQUAL(copy_entries(p, r, none), BC_OK);
	CU_ASSERT_EQUAL(ste_log_last(ste_database_log(r)).pos, 3);
	CU_ASSERT_EQUAL(ste_database_apply(r, 100, 0), 0);
	assert_values(r, "error");
	CU_ASSERT_EQUAL(ste_database_apply(r, 100, 1), 3);
	CU_ASSERT_EQUAL(ste_database_apply(r, 100, 1), 0);
	assert_values(r, "a");
	ste_database_close(p);
	ste_database_close(r);
}

/* Guards against a fence that leaves a transaction open or is forgotten by a restart. */
static void test_fence(void)
{
	struct ste_database *p = new_database("p");

	write_sql(p, "CREATE TABLE t (v TEXT)", true);
	write_sql(p, "INSERT INTO t VALUES ('open')", false);
	CU_ASSERT_FALSE(ste_database_fence(p, 1, "c"));
	CU_ASSERT_TRUE(ste_database_in_transaction(p));
	CU_ASSERT_TRUE(ste_database_fence(p, 2, "c"));
	CU_ASSERT_FALSE(ste_database_in_transaction(p));
	assert_values(p, "");
	ste_database_close(p);
	p = open_database("p");
	CU_ASSERT_FALSE(ste_database_role(p)->is_primary);
	CU_ASSERT_FALSE(ste_database_fence(p, 2, "other"));
	CU_ASSERT_TRUE(ste_database_promote(p, 2, "c"));
	CU_ASSERT_EQUAL(ste_log_last(ste_database_log(p)).term, 2);
	ste_database_close(p);
	p = open_database("p");
	CU_ASSERT_TRUE(ste_database_role(p)->is_primary);
	ste_database_close(p);
}

int main(void)
{
	CU_TestInfo tests[] = {{"transactions", test_transactions},
			       {"denied", test_denied},
			       {"truncate_and_rebuild", test_truncate_and_rebuild},
			       {"apply", test_apply},
			       {"fence", test_fence},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"ste_database", NULL, NULL, NULL, NULL, tests},
				 CU_SUITE_INFO_NULL};
	unsigned int failures;

	if (!mkdtemp(directory))
		return 1;
	ctx = bc_ctx_create(1);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	bc_ctx_destroy(ctx);
	remove_files("p");
	remove_files("r");
	rmdir(directory);
	return failures ? 1 : 0;
}
