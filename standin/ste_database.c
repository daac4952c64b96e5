#include "standin/ste_database_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A position as {"term","pos"}; a new reference. */
json_t *ste_position_json(struct bc_position position)
{
	return json_pack("{s:I,s:I}", "term", (json_int_t)position.term, "pos",
			 (json_int_t)position.pos);
}

static enum bc_status state_set(struct ste_database *database, const char *key, const char *value)
{
	char *text =
		sqlite3_mprintf("INSERT OR REPLACE INTO standin_state VALUES (%Q, %Q)", key, value);
	enum bc_status status = ste_sql_run_internal(database->ctx, &database->writer, text);

	sqlite3_free(text);
	return status;
}

/* Stores a number under a key, in the open transaction if there is one. */
enum bc_status ste_db_set_number(struct ste_database *database, const char *key, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	return state_set(database, key, text);
}

static enum bc_status save_role(struct ste_database *database)
{
	json_t *json = ste_role_json(&database->role);
	char *text = json_dumps(json, JSON_COMPACT);
	enum bc_status status = state_set(database, "role", text ? text : "");

	free(text);
	json_decref(json);
	return status;
}

static char *state_get(struct ste_database *database, const char *key)
{
	sqlite3_stmt *select = NULL;
	char *value = NULL;

	sqlite3_prepare_v2(database->writer.sqlite, "SELECT value FROM standin_state WHERE key = ?",
			   -1, &select, NULL);
	sqlite3_bind_text(select, 1, key, -1, SQLITE_STATIC);
	if (sqlite3_step(select) == SQLITE_ROW)
		value = strdup((const char *)sqlite3_column_text(select, 0));
	sqlite3_finalize(select);
	return value;
}

static uint64_t state_get_number(struct ste_database *database, const char *key)
{
	char *text = state_get(database, key);
	uint64_t value = text ? strtoull(text, NULL, 10) : 0;

	free(text);
	return value;
}

static enum bc_status load_state(struct ste_database *database)
{
	char *role = state_get(database, "role");
	enum bc_status status = BC_OK;

	database->is_new = role == NULL;
	if (role)
		status = ste_role_parse(database->ctx, role, &database->role);
	free(role);
	ste_role_restart(&database->role);
	database->applied = state_get_number(database, "applied");
	database->rebuilt_until = state_get_number(database, "rebuilt_until");
	return status;
}

static enum bc_status open_files(struct ste_database *database, const char *directory)
{
	struct bc_ctx *ctx = database->ctx;
	char path[4096];

	if ((size_t)snprintf(path, sizeof(path), "%s/%s.sqlite", directory, database->name) >=
	    sizeof(path))
		return bc_fail(ctx, BC_EINVAL, "the data directory's name is too long");
	if (ste_sql_open(ctx, path, &database->writer) != BC_OK ||
	    ste_sql_run_internal(ctx, &database->writer,
				 "CREATE TABLE IF NOT EXISTS standin_state (key TEXT PRIMARY KEY, "
				 "value TEXT NOT NULL)") != BC_OK)
		return BC_EIO;
	database->log = ste_log_open(ctx, database->writer.sqlite);
	if (!database->log)
		return BC_EIO;
	return ste_sql_open(ctx, path, &database->reader);
}

/* Opens DIRECTORY/NAME.sqlite, creating it if needed. NULL with the last message on failure. */
struct ste_database *ste_database_open(struct bc_ctx *ctx, const char *directory, const char *name,
				       const char *self)
{
	struct ste_database *database = calloc(1, sizeof(*database));

	if (!database)
		return NULL;
	database->ctx = ctx;
	snprintf(database->name, sizeof(database->name), "%s", name);
	snprintf(database->self, sizeof(database->self), "%s", self);
	database->pending_writes = json_array();
	if (open_files(database, directory) != BC_OK || load_state(database) != BC_OK) {
		ste_database_close(database);
		return NULL;
	}
	return database;
}

/* Rolls back an open transaction and closes the files. NULL is allowed. */
void ste_database_close(struct ste_database *database)
{
	if (!database)
		return;
	ste_log_close(database->log);
	if (database->reader.sqlite)
		ste_sql_close(&database->reader);
	if (database->writer.sqlite)
		ste_sql_close(&database->writer);
	json_decref(database->pending_writes);
	free(database);
}

const char *ste_database_name(const struct ste_database *database)
{
	return database->name;
}

/* The current role, term and promised term. */
const struct ste_role *ste_database_role(const struct ste_database *database)
{
	return &database->role;
}

/* The replicated log; callers only read it. */
struct ste_log *ste_database_log(struct ste_database *database)
{
	return database->log;
}

/* Whether the file holds no role yet, so that ste_database_start() must be called. */
bool ste_database_is_new(const struct ste_database *database)
{
	return database->is_new;
}

/* Position of the last entry executed. */
struct bc_position ste_database_applied(const struct ste_database *database)
{
	return (struct bc_position){ste_log_term_at(database->log, database->applied),
				    database->applied};
}

/* Whether the data is being replayed after a truncation and must not be read. */
bool ste_database_rebuilding(const struct ste_database *database)
{
	return database->applied < database->rebuilt_until;
}

static void roll_back(struct ste_database *database)
{
	if (!sqlite3_get_autocommit(database->writer.sqlite))
		ste_sql_run_internal(database->ctx, &database->writer, "ROLLBACK");
	database->in_transaction = false;
	json_array_clear(database->pending_writes);
}

enum bc_status ste_db_begin(struct ste_database *database)
{
	return ste_sql_run_internal(database->ctx, &database->writer, "BEGIN IMMEDIATE");
}

/* Commits the transaction if `status` is BC_OK; rolls back otherwise or if the commit fails. */
enum bc_status ste_db_finish(struct ste_database *database, enum bc_status status)
{
	if (status == BC_OK)
		status = ste_sql_run_internal(database->ctx, &database->writer, "COMMIT");
	if (status == BC_OK)
		return BC_OK;
	bc_log(database->ctx, BC_LOG_ERROR, "transaction_failed", "{s:s,s:s}", "database",
	       database->name, "error", bc_last_message(database->ctx));
	roll_back(database);
	return status;
}

static struct bc_position next_position(const struct ste_database *database)
{
	return (struct bc_position){database->role.term, ste_log_last(database->log).pos + 1};
}

/* Writes the next log entry and the number of the last applied entry in the open transaction. */
static enum bc_status write_new_entry(struct ste_database *database, const char *statements)
{
	struct bc_position position = next_position(database);
	enum bc_status status = ste_log_write(database->log, position, statements);

	return status == BC_OK ? ste_db_set_number(database, "applied", position.pos) : status;
}

static enum bc_status index_new_entry(struct ste_database *database, uint64_t now_us)
{
	enum bc_status status = ste_log_push(database->log, next_position(database), now_us);

	database->applied = ste_log_last(database->log).pos;
	return status;
}

/* Stores the new role durably; keeps the old one if that fails. */
static bool change_role(struct ste_database *database, const struct ste_role *role,
			bool first_entry)
{
	struct ste_role before = database->role;
	enum bc_status status;

	roll_back(database);
	database->role = *role;
	status = ste_db_begin(database);
	if (status == BC_OK)
		status = save_role(database);
	if (status == BC_OK && first_entry)
		status = write_new_entry(database, "[]");
	if (ste_db_finish(database, status) != BC_OK) {
		database->role = before;
		return false;
	}
	if (first_entry)
		index_new_entry(database, 0);
	return true;
}

/*
 * Initializes a new database in term 1: as primary if `primary` is this endpoint's id, else as a
 * replica of `primary`, which is empty if there is none yet.
 */
enum bc_status ste_database_start(struct ste_database *database, const char *primary,
				  const char *address)
{
	struct ste_role role = {.term = 1, .promised = 1};

	role.is_primary = strcmp(primary, database->self) == 0;
	snprintf(role.primary, sizeof(role.primary), "%s", primary);
	snprintf(role.address, sizeof(role.address), "%s", address);
	database->is_new = false;
	return change_role(database, &role, role.is_primary) ? BC_OK : BC_EIO;
}

/*
 * Promises a term; a granted promise is durable. Rolls back the open transaction unless the role
 * stays as it is.
 */
bool ste_database_fence(struct ste_database *database, uint64_t term, const char *candidate)
{
	struct ste_role role = database->role;

	if (!ste_role_fence(&role, term, candidate))
		return false;
	if (ste_role_equal(&role, &database->role))
		return true;
	return change_role(database, &role, false);
}

/* Becomes primary of a promised term: executes the log, then writes the term's first entry. */
bool ste_database_promote(struct ste_database *database, uint64_t term, const char *candidate)
{
	struct ste_role role = database->role;
	uint64_t last = ste_log_last(database->log).pos;

	if (!ste_role_promote(&role, term, candidate, database->self))
		return false;
	if (database->role.is_primary && database->role.term == term)
		return true;
	ste_database_apply(database, last, UINT64_MAX);
	if (database->applied != last)
		return false;
	return change_role(database, &role, true);
}

/* Follows a primary; see ste_role_follow(). */
bool ste_database_follow(struct ste_database *database, uint64_t term, const char *primary,
			 const char *address)
{
	struct ste_role role = database->role;

	if (!ste_role_follow(&role, term, primary, address, database->self))
		return false;
	if (ste_role_equal(&role, &database->role))
		return true;
	return change_role(database, &role, false);
}

/* Whether the statements only read. */
bool ste_database_is_read(struct ste_database *database, const json_t *statements)
{
	return ste_sql_is_read(&database->reader, statements);
}

/* Whether a statement is known to write; a malformed one is not. */
bool ste_database_has_write(struct ste_database *database, const json_t *statements)
{
	return ste_sql_has_write(&database->reader, statements);
}

/* Runs statements in order until one fails; appends those that write to `pending_writes`. */
enum bc_status ste_db_run_all(struct ste_sql *sql, const json_t *statements, json_t *pending_writes,
			      struct ste_outcome *outcome)
{
	const json_t *statement;
	enum bc_status status;
	size_t i;

	outcome->results = json_array();
	json_array_foreach(statements, i, statement)
	{
		json_t *result = NULL;
		bool wrote = false;

		status = ste_sql_run(sql, statement, &result, &wrote, &outcome->error);
		if (status != BC_OK)
			return status;
		json_array_append_new(outcome->results, result);
		if (wrote && pending_writes)
			json_array_append(pending_writes, (json_t *)(uintptr_t)statement);
	}
	return BC_OK;
}

/* Runs read-only statements on one snapshot of the committed data. */
void ste_database_read(struct ste_database *database, const json_t *statements,
		       struct ste_outcome *outcome)
{
	outcome->position = ste_database_applied(database);
	ste_sql_run_internal(database->ctx, &database->reader, "BEGIN");
	outcome->ok = ste_db_run_all(&database->reader, statements, NULL, outcome) == BC_OK;
	ste_sql_run_internal(database->ctx, &database->reader, "COMMIT");
}

/* Whether a write transaction is open. */
bool ste_database_in_transaction(const struct ste_database *database)
{
	return database->in_transaction;
}

static void set_failed(struct ste_database *database, struct ste_outcome *outcome)
{
	snprintf(outcome->error.code, sizeof(outcome->error.code), "database_error");
	snprintf(outcome->error.message, sizeof(outcome->error.message), "%s",
		 bc_last_message(database->ctx));
}

static bool commit(struct ste_database *database, uint64_t now_us, struct ste_outcome *outcome)
{
	bool has_entry = json_array_size(database->pending_writes) > 0;
	enum bc_status status = BC_OK;

	if (has_entry) {
		char *text = json_dumps(database->pending_writes, JSON_COMPACT);

		status = write_new_entry(database, text ? text : "[]");
		free(text);
	}
	if (ste_db_finish(database, status) != BC_OK) {
		set_failed(database, outcome);
		return false;
	}
	database->in_transaction = false;
	json_array_clear(database->pending_writes);
	if (has_entry)
		index_new_entry(database, now_us);
	return true;
}

/*
 * Runs statements in the open write transaction, or in a new one; commits if `commit_after`.
 * After a failed statement the whole transaction is rolled back.
 */
void ste_database_write(struct ste_database *database, const json_t *statements, bool commit_after,
			uint64_t now_us, struct ste_outcome *outcome)
{
	outcome->ok = false;
	if (!database->in_transaction && ste_db_begin(database) != BC_OK) {
		set_failed(database, outcome);
		return;
	}
	database->in_transaction = true;
	if (ste_db_run_all(&database->writer, statements, database->pending_writes, outcome) !=
	    BC_OK)
		roll_back(database);
	else
		outcome->ok = !commit_after || commit(database, now_us, outcome);
	outcome->position = ste_database_applied(database);
}

/* Rolls back the open write transaction, if there is one. */
void ste_database_rollback(struct ste_database *database)
{
	roll_back(database);
}
