#include "standin/ste_sql.h"

#include <stdio.h>
#include <string.h>

#define INTERNAL_TABLE_PREFIX "standin_"

static bool is_internal_table(const char *name)
{
	return name && strncmp(name, INTERNAL_TABLE_PREFIX, sizeof(INTERNAL_TABLE_PREFIX) - 1) == 0;
}

/* Replicas execute the statements again, so their results must be deterministic. */
static bool is_random(const char *function)
{
	return function && (strcmp(function, "random") == 0 || strcmp(function, "randomblob") == 0);
}

/* Denies callers transaction control, other files and the endpoint's internal tables. */
static int authorize(void *data, int action, const char *a, const char *b, const char *database,
		     const char *trigger)
{
	const struct ste_sql *sql = data;

	(void)database;
	(void)trigger;
	if (!sql->restricted)
		return SQLITE_OK;
	switch (action) {
	case SQLITE_TRANSACTION:
	case SQLITE_SAVEPOINT:
	case SQLITE_ATTACH:
	case SQLITE_DETACH:
	case SQLITE_PRAGMA:
		return SQLITE_DENY;
	case SQLITE_FUNCTION:
		return is_random(b) ? SQLITE_DENY : SQLITE_OK;
	default:
		return is_internal_table(a) || is_internal_table(b) ? SQLITE_DENY : SQLITE_OK;
	}
}

/* Opens a handle in WAL mode without fsync; the data survives a killed process. */
enum bc_status ste_sql_open(struct bc_ctx *ctx, const char *path, struct ste_sql *sql)
{
	if (sqlite3_open(path, &sql->sqlite) != SQLITE_OK)
		return bc_fail(ctx, BC_EIO, "cannot open %s: %s", path,
			       sqlite3_errmsg(sql->sqlite));
	sql->restricted = false;
	sqlite3_set_authorizer(sql->sqlite, authorize, sql);
	return ste_sql_run_internal(ctx, sql, "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF");
}

void ste_sql_close(struct ste_sql *sql)
{
	sqlite3_close_v2(sql->sqlite);
	sql->sqlite = NULL;
}

/* Runs statements of the endpoint itself, unrestricted. BC_EIO with sqlite's message on failure. */
enum bc_status ste_sql_run_internal(struct bc_ctx *ctx, struct ste_sql *sql, const char *text)
{
	char *message = NULL;
	enum bc_status status = BC_OK;

	if (sqlite3_exec(sql->sqlite, text, NULL, NULL, &message) != SQLITE_OK)
		status = bc_fail(ctx, BC_EIO, "%s: %s", text, message ? message : "failed");
	sqlite3_free(message);
	return status;
}

enum access { ACCESS_READS, ACCESS_WRITES, ACCESS_UNKNOWN };

/* Prepares a statement to see whether it writes; unknown if it cannot be prepared. */
static enum access statement_access(struct ste_sql *sql, const json_t *statement)
{
	const char *text = json_string_value(json_object_get(statement, "sql"));
	sqlite3_stmt *prepared = NULL;
	enum access access;

	sql->restricted = true;
	if (text)
		sqlite3_prepare_v2(sql->sqlite, text, -1, &prepared, NULL);
	sql->restricted = false;
	if (!prepared)
		return ACCESS_UNKNOWN;
	access = sqlite3_stmt_readonly(prepared) ? ACCESS_READS : ACCESS_WRITES;
	sqlite3_finalize(prepared);
	return access;
}

/*
 * Whether all statements only read. One that cannot be prepared counts as a write: it may need a
 * table that an earlier statement creates.
 */
bool ste_sql_is_read(struct ste_sql *sql, const json_t *statements)
{
	const json_t *statement;
	size_t i;

	json_array_foreach(statements, i, statement)
	{
		if (statement_access(sql, statement) != ACCESS_READS)
			return false;
	}
	return true;
}

/* Whether at least one statement is known to write. */
bool ste_sql_has_write(struct ste_sql *sql, const json_t *statements)
{
	const json_t *statement;
	size_t i;

	json_array_foreach(statements, i, statement)
	{
		if (statement_access(sql, statement) == ACCESS_WRITES)
			return true;
	}
	return false;
}

static int bind_value(sqlite3_stmt *prepared, int index, const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_NULL:
		return sqlite3_bind_null(prepared, index);
	case JSON_TRUE:
	case JSON_FALSE:
		return sqlite3_bind_int(prepared, index, json_is_true(value));
	case JSON_INTEGER:
		return sqlite3_bind_int64(prepared, index, json_integer_value(value));
	case JSON_REAL:
		return sqlite3_bind_double(prepared, index, json_real_value(value));
	case JSON_STRING:
		return sqlite3_bind_text(prepared, index, json_string_value(value), -1,
					 SQLITE_TRANSIENT);
	default:
		return SQLITE_MISMATCH;
	}
}

static json_t *column_json(sqlite3_stmt *prepared, int column)
{
	json_t *text;

	switch (sqlite3_column_type(prepared, column)) {
	case SQLITE_INTEGER:
		return json_integer(sqlite3_column_int64(prepared, column));
	case SQLITE_FLOAT:
		return json_real(sqlite3_column_double(prepared, column));
	case SQLITE_NULL:
		return json_null();
	default:
		text = json_string((const char *)sqlite3_column_text(prepared, column));
		return text ? text : json_null();
	}
}

static void set_error(struct ste_sql *sql, struct ste_sql_error *error, const char *code,
		      const char *message)
{
	snprintf(error->code, sizeof(error->code), "%s", code);
	snprintf(error->message, sizeof(error->message), "%s",
		 message ? message : sqlite3_errmsg(sql->sqlite));
}

static const char *error_code(struct ste_sql *sql)
{
	switch (sqlite3_errcode(sql->sqlite)) {
	case SQLITE_CONSTRAINT:
		return "constraint";
	case SQLITE_AUTH:
		return "not_allowed";
	case SQLITE_ERROR:
		return "sql_error";
	default:
		return "database_error";
	}
}

/* Whether text follows the first statement; sqlite would ignore a second one silently. */
static bool has_tail(const char *tail)
{
	return tail && tail[strspn(tail, " \t\r\n;")] != '\0';
}

static int bind_params(sqlite3_stmt *prepared, const json_t *params)
{
	size_t i;
	const json_t *value;

	if ((size_t)sqlite3_bind_parameter_count(prepared) != json_array_size(params))
		return SQLITE_RANGE;
	json_array_foreach(params, i, value)
	{
		int code = bind_value(prepared, (int)i + 1, value);

		if (code != SQLITE_OK)
			return code;
	}
	return SQLITE_OK;
}

static json_t *step_rows(sqlite3_stmt *prepared, int *code)
{
	json_t *rows = json_array();
	int columns = sqlite3_column_count(prepared);
	int i;

	while ((*code = sqlite3_step(prepared)) == SQLITE_ROW) {
		json_t *row = json_array();

		for (i = 0; i < columns; i++)
			json_array_append_new(row, column_json(prepared, i));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *column_names(sqlite3_stmt *prepared)
{
	json_t *names = json_array();
	int columns = sqlite3_column_count(prepared);
	int i;

	for (i = 0; i < columns; i++)
		json_array_append_new(names, json_string(sqlite3_column_name(prepared, i)));
	return names;
}

static enum bc_status run_restricted(struct ste_sql *sql, const json_t *statement, json_t **result,
				     bool *wrote, struct ste_sql_error *error)
{
	const char *text = json_string_value(json_object_get(statement, "sql"));
	const char *tail = NULL;
	sqlite3_stmt *prepared = NULL;
	json_t *rows;
	int code;
	int before;

	if (!text || sqlite3_prepare_v2(sql->sqlite, text, -1, &prepared, &tail) != SQLITE_OK ||
	    !prepared) {
		set_error(sql, error, text ? error_code(sql) : "sql_error",
			  text ? NULL : "a statement needs the text field sql");
		return BC_EINVAL;
	}
	if (has_tail(tail)) {
		sqlite3_finalize(prepared);
		set_error(sql, error, "sql_error", "only one statement is allowed in sql");
		return BC_EINVAL;
	}
	if (bind_params(prepared, json_object_get(statement, "params")) != SQLITE_OK) {
		sqlite3_finalize(prepared);
		set_error(sql, error, "bad_params",
			  "params must match the statement's parameters and be plain values");
		return BC_EINVAL;
	}
	before = sqlite3_total_changes(sql->sqlite);
	rows = step_rows(prepared, &code);
	if (code != SQLITE_DONE) {
		set_error(sql, error, error_code(sql), NULL);
		json_decref(rows);
		sqlite3_finalize(prepared);
		return BC_EINVAL;
	}
	*wrote = !sqlite3_stmt_readonly(prepared);
	*result = json_pack("{s:o,s:o,s:i}", "columns", column_names(prepared), "rows", rows,
			    "changes", sqlite3_total_changes(sql->sqlite) - before);
	sqlite3_finalize(prepared);
	return BC_OK;
}

/*
 * Runs one statement {"sql","params"} and returns {"columns","rows","changes"}. `wrote` is set
 * for a statement that is not read-only. BC_EINVAL with `error` filled in on failure.
 */
enum bc_status ste_sql_run(struct ste_sql *sql, const json_t *statement, json_t **result,
			   bool *wrote, struct ste_sql_error *error)
{
	enum bc_status status;

	sql->restricted = true;
	status = run_restricted(sql, statement, result, wrote, error);
	sql->restricted = false;
	return status;
}

static bool drop_next_object(struct bc_ctx *ctx, struct ste_sql *sql, enum bc_status *status)
{
	sqlite3_stmt *select = NULL;
	char *drop = NULL;

	/* Views and triggers come first, so that none of them refers to a dropped table. */
	sqlite3_prepare_v2(sql->sqlite,
			   "SELECT type, name FROM sqlite_master WHERE type IN "
			   "('view','trigger','table') AND name NOT LIKE 'sqlite\\_%' ESCAPE '\\' "
			   "AND name NOT LIKE 'standin\\_%' ESCAPE '\\' ORDER BY type DESC LIMIT 1",
			   -1, &select, NULL);
	if (sqlite3_step(select) == SQLITE_ROW)
		drop = sqlite3_mprintf("DROP %s \"%w\"", sqlite3_column_text(select, 0),
				       sqlite3_column_text(select, 1));
	sqlite3_finalize(select);
	if (!drop)
		return false;
	*status = ste_sql_run_internal(ctx, sql, drop);
	sqlite3_free(drop);
	return *status == BC_OK;
}

/* Drops all tables, views and triggers that callers created, in the open transaction. */
enum bc_status ste_sql_drop_caller_objects(struct bc_ctx *ctx, struct ste_sql *sql)
{
	enum bc_status status = BC_OK;

	while (drop_next_object(ctx, sql, &status))
		continue;
	return status;
}
