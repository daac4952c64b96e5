#include "standin/ste_log.h"

#include <stdlib.h>
#include <string.h>

struct entry {
	uint64_t term;
	uint64_t received_us;
};

struct ste_log {
	struct bc_ctx *ctx;
	sqlite3 *sqlite;
	struct entry *entries; /* entries[i] is position i + 1 */
	size_t count;
	size_t size;
	sqlite3_stmt *insert;
	sqlite3_stmt *select;
};

static enum bc_status sqlite_failed(struct ste_log *log, const char *what)
{
	return bc_fail(log->ctx, BC_EIO, "cannot %s the log: %s", what,
		       sqlite3_errmsg(log->sqlite));
}

static enum bc_status load(struct ste_log *log)
{
	sqlite3_stmt *statement = NULL;
	enum bc_status status = BC_OK;
	struct bc_position position;

	if (sqlite3_prepare_v2(log->sqlite, "SELECT pos, term FROM standin_log ORDER BY pos", -1,
			       &statement, NULL) != SQLITE_OK)
		return sqlite_failed(log, "read");
	while (status == BC_OK && sqlite3_step(statement) == SQLITE_ROW) {
		position.pos = (uint64_t)sqlite3_column_int64(statement, 0);
		position.term = (uint64_t)sqlite3_column_int64(statement, 1);
		status = ste_log_push(log, position, 0);
	}
	sqlite3_finalize(statement);
	return status;
}

/* Creates the table if needed and loads the index. On failure NULL, with the last message set. */
struct ste_log *ste_log_open(struct bc_ctx *ctx, sqlite3 *sqlite)
{
	struct ste_log *log = calloc(1, sizeof(*log));

	if (!log)
		return NULL;
	log->ctx = ctx;
	log->sqlite = sqlite;
	if (sqlite3_exec(sqlite,
			 "CREATE TABLE IF NOT EXISTS standin_log (pos INTEGER PRIMARY KEY, "
			 "term INTEGER NOT NULL, statements TEXT NOT NULL)",
			 NULL, NULL, NULL) != SQLITE_OK ||
	    sqlite3_prepare_v2(sqlite, "INSERT INTO standin_log VALUES (?, ?, ?)", -1, &log->insert,
			       NULL) != SQLITE_OK ||
	    sqlite3_prepare_v2(sqlite,
			       "SELECT pos, term, statements FROM standin_log WHERE pos > ? "
			       "ORDER BY pos LIMIT ?",
			       -1, &log->select, NULL) != SQLITE_OK) {
		sqlite_failed(log, "open");
		ste_log_close(log);
		return NULL;
	}
	if (load(log) != BC_OK) {
		ste_log_close(log);
		return NULL;
	}
	return log;
}

/* Frees the index and the prepared statements, not the sqlite handle. NULL is allowed. */
void ste_log_close(struct ste_log *log)
{
	if (!log)
		return;
	sqlite3_finalize(log->insert);
	sqlite3_finalize(log->select);
	free(log->entries);
	free(log);
}

/* The position of the last entry, {0, 0} for an empty log. */
struct bc_position ste_log_last(const struct ste_log *log)
{
	struct bc_position last = {0, 0};

	if (log->count) {
		last.pos = log->count;
		last.term = log->entries[log->count - 1].term;
	}
	return last;
}

/* The term of the entry at `pos`, 0 if there is none. */
uint64_t ste_log_term_at(const struct ste_log *log, uint64_t pos)
{
	return pos && pos <= log->count ? log->entries[pos - 1].term : 0;
}

/* Time at which this process received the entry; 0 for an entry loaded from the file. */
uint64_t ste_log_received_us(const struct ste_log *log, uint64_t pos)
{
	return pos && pos <= log->count ? log->entries[pos - 1].received_us : 0;
}

/*
 * Whether the log has an entry of exactly this position. True for {0, 0}, the position of the empty
 * log, which is a prefix of every log.
 */
bool ste_log_contains(const struct ste_log *log, struct bc_position position)
{
	return position.pos <= log->count && ste_log_term_at(log, position.pos) == position.term;
}

/*
 * Whether the log agrees up to want.pos with the log of the primary of term want.term. A term has
 * one primary, so an entry of that term proves that all entries before it are from that primary's
 * log. Entries of a later term prove nothing: that log may have diverged before want.pos.
 */
bool ste_log_covers(const struct ste_log *log, struct bc_position want)
{
	size_t low = 0;
	size_t high = log->count;

	/* Terms never decrease along the log: search for the end of the entries up to want.term. */
	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (log->entries[middle].term <= want.term)
			low = middle + 1;
		else
			high = middle;
	}
	return low > 0 && log->entries[low - 1].term == want.term && low >= want.pos;
}

/*
 * Position of the last entry with neither term nor number above the bound, {0, 0} if there is
 * none. If `bound` is the last entry of another log, the two logs have no common entry after it.
 */
struct bc_position ste_log_last_up_to(const struct ste_log *log, struct bc_position bound)
{
	struct bc_position found = {0, 0};
	uint64_t pos = bound.pos < log->count ? bound.pos : log->count;

	while (pos && ste_log_term_at(log, pos) > bound.term)
		pos--;
	if (pos) {
		found.pos = pos;
		found.term = ste_log_term_at(log, pos);
	}
	return found;
}

/* Writes an entry to the table, in the caller's transaction. */
enum bc_status ste_log_write(struct ste_log *log, struct bc_position position,
			     const char *statements)
{
	int code;

	sqlite3_bind_int64(log->insert, 1, (sqlite3_int64)position.pos);
	sqlite3_bind_int64(log->insert, 2, (sqlite3_int64)position.term);
	sqlite3_bind_text(log->insert, 3, statements, -1, SQLITE_TRANSIENT);
	code = sqlite3_step(log->insert);
	sqlite3_reset(log->insert);
	return code == SQLITE_DONE ? BC_OK : sqlite_failed(log, "write");
}

/* Adds a committed entry to the index: the next number, and a term not below the last one. */
enum bc_status ste_log_push(struct ste_log *log, struct bc_position position, uint64_t now_us)
{
	struct bc_position last = ste_log_last(log);

	if (position.pos != last.pos + 1 || position.term < last.term)
		return bc_fail(log->ctx, BC_EINVAL, "log entry out of order");
	if (log->count == log->size) {
		size_t size = log->size ? 2 * log->size : 256;
		struct entry *entries = realloc(log->entries, size * sizeof(*entries));

		if (!entries)
			return bc_fail(log->ctx, BC_ENOMEM, "out of memory for the log");
		log->entries = entries;
		log->size = size;
	}
	log->entries[log->count++] = (struct entry){position.term, now_us};
	return BC_OK;
}

/* Deletes the entries after `pos` from the table, in the caller's transaction. */
enum bc_status ste_log_delete_after(struct ste_log *log, uint64_t pos)
{
	sqlite3_stmt *statement = NULL;
	int code;

	if (sqlite3_prepare_v2(log->sqlite, "DELETE FROM standin_log WHERE pos > ?", -1, &statement,
			       NULL) != SQLITE_OK)
		return sqlite_failed(log, "truncate");
	sqlite3_bind_int64(statement, 1, (sqlite3_int64)pos);
	code = sqlite3_step(statement);
	sqlite3_finalize(statement);
	return code == SQLITE_DONE ? BC_OK : sqlite_failed(log, "truncate");
}

/* Removes the entries after `pos` from the index, once their deletion is committed. */
void ste_log_pop_after(struct ste_log *log, uint64_t pos)
{
	if (pos < log->count)
		log->count = pos;
}

static json_t *entry_json(sqlite3_stmt *select, size_t *bytes)
{
	const char *text = (const char *)sqlite3_column_text(select, 2);
	json_t *statements = text ? json_loads(text, 0, NULL) : NULL;

	*bytes += text ? strlen(text) + 32 : 32;
	return json_pack("{s:I,s:I,s:o}", "pos", (json_int_t)sqlite3_column_int64(select, 0),
			 "term", (json_int_t)sqlite3_column_int64(select, 1), "statements",
			 statements ? statements : json_array());
}

/*
 * Up to `limit` entries after number `after`, as a JSON array of {pos, term, statements}. Stops
 * once max_bytes are reached, so that at least one entry is returned if there is one. A new
 * reference.
 */
json_t *ste_log_entries(struct ste_log *log, uint64_t after, size_t limit, size_t max_bytes)
{
	json_t *entries = json_array();
	size_t bytes = 0;

	sqlite3_bind_int64(log->select, 1, (sqlite3_int64)after);
	sqlite3_bind_int64(log->select, 2, (sqlite3_int64)limit);
	while (bytes < max_bytes && sqlite3_step(log->select) == SQLITE_ROW)
		json_array_append_new(entries, entry_json(log->select, &bytes));
	sqlite3_reset(log->select);
	return entries;
}
