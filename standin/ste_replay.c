#include "standin/ste_database_internal.h"

#include <stdlib.h>

static enum bc_status truncate_tables(struct ste_database *database, uint64_t pos)
{
	enum bc_status status = ste_log_delete_after(database->log, pos);

	if (status != BC_OK || database->applied <= pos)
		return status;
	status = ste_sql_drop_caller_objects(database->ctx, &database->writer);
	if (status == BC_OK)
		status = ste_db_set_number(database, "applied", 0);
	return status == BC_OK ? ste_db_set_number(database, "rebuilt_until", pos) : status;
}

static enum bc_status write_entries(struct ste_database *database, const json_t *entries)
{
	const json_t *entry;
	enum bc_status status = BC_OK;
	size_t i;

	json_array_foreach(entries, i, entry)
	{
		struct bc_position position = {
			(uint64_t)json_integer_value(json_object_get(entry, "term")),
			(uint64_t)json_integer_value(json_object_get(entry, "pos"))};
		char *text = json_dumps(json_object_get(entry, "statements"), JSON_COMPACT);

		status = ste_log_write(database->log, position, text ? text : "[]");
		free(text);
		if (status != BC_OK)
			break;
	}
	return status;
}

static void push_entries(struct ste_database *database, const json_t *entries, uint64_t now_us)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(entries, i, entry)
	{
		struct bc_position position = {
			(uint64_t)json_integer_value(json_object_get(entry, "term")),
			(uint64_t)json_integer_value(json_object_get(entry, "pos"))};

		ste_log_push(database->log, position, now_us);
	}
}

static bool in_order(struct bc_position after, const json_t *entries)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(entries, i, entry)
	{
		json_int_t pos = json_integer_value(json_object_get(entry, "pos"));
		json_int_t term = json_integer_value(json_object_get(entry, "term"));

		if ((uint64_t)pos != after.pos + 1 || (uint64_t)term < after.term)
			return false;
		after = (struct bc_position){(uint64_t)term, (uint64_t)pos};
	}
	return true;
}

/*
 * Appends entries that follow `after`, which the primary has confirmed to be in its log. Entries of
 * this copy beyond `after` have diverged: they are deleted, and the data is rebuilt if they were
 * already applied. All changes are made in one transaction.
 */
enum bc_status ste_database_receive(struct ste_database *database, struct bc_position after,
				    const json_t *entries, uint64_t now_us)
{
	bool truncates = ste_log_last(database->log).pos > after.pos;
	enum bc_status status;

	if (!ste_log_contains(database->log, after) || !in_order(after, entries))
		return bc_fail(database->ctx, BC_EINVAL, "entries do not follow the log");
	if (!truncates && json_array_size(entries) == 0)
		return BC_OK;
	status = ste_db_begin(database);
	if (status == BC_OK && truncates)
		status = truncate_tables(database, after.pos);
	if (status == BC_OK)
		status = write_entries(database, entries);
	status = ste_db_finish(database, status);
	if (status != BC_OK)
		return status;
	if (truncates) {
		bc_log(database->ctx, BC_LOG_INFO, "log_truncated", "{s:s,s:I,s:I}", "database",
		       database->name, "from", (json_int_t)ste_log_last(database->log).pos, "to",
		       (json_int_t)after.pos);
		ste_log_pop_after(database->log, after.pos);
		if (database->applied > after.pos) {
			database->applied = 0;
			database->rebuilt_until = after.pos;
			database->apply_failed = false;
		}
	}
	push_entries(database, entries, now_us);
	return BC_OK;
}

static enum bc_status apply_entry(struct ste_database *database, const json_t *entry)
{
	struct ste_outcome outcome = {0};
	enum bc_status status = ste_db_run_all(
		&database->writer, json_object_get(entry, "statements"), NULL, &outcome);

	json_decref(outcome.results);
	if (status != BC_OK)
		return bc_fail(database->ctx, BC_EIO, "cannot apply entry %lld: %s",
			       (long long)json_integer_value(json_object_get(entry, "pos")),
			       outcome.error.message);
	return BC_OK;
}

/* Counts the entries after `applied` that were received by the given time, up to `limit`. */
static size_t due_entries(const struct ste_database *database, size_t limit,
			  uint64_t received_by_us)
{
	uint64_t last = ste_log_last(database->log).pos;
	size_t count = 0;

	while (count < limit && database->applied + count < last) {
		uint64_t pos = database->applied + count + 1;

		/* Entries that were applied before a truncation are replayed without a delay. */
		if (pos > database->rebuilt_until &&
		    ste_log_received_us(database->log, pos) > received_by_us)
			break;
		count++;
	}
	return count;
}

/*
 * Executes up to `limit` entries received by the given time, in one transaction, and returns their
 * number. A failure is logged, and nothing more is applied until the log is truncated.
 */
size_t ste_database_apply(struct ste_database *database, size_t limit, uint64_t received_by_us)
{
	size_t count = due_entries(database, limit, received_by_us);
	enum bc_status status;
	json_t *entries;
	const json_t *entry;
	size_t i;

	if (!count || database->apply_failed || database->in_transaction)
		return 0;
	entries = ste_log_entries(database->log, database->applied, count, SIZE_MAX);
	status = ste_db_begin(database);
	json_array_foreach(entries, i, entry)
	{
		if (status == BC_OK)
			status = apply_entry(database, entry);
	}
	if (status == BC_OK)
		status = ste_db_set_number(database, "applied", database->applied + count);
	status = ste_db_finish(database, status);
	json_decref(entries);
	database->apply_failed = status != BC_OK;
	if (status != BC_OK)
		return 0;
	database->applied += count;
	return count;
}
