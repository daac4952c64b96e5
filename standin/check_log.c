#include "standin/check.h"

#include <apr_strings.h>
#include <string.h>
#include <strings.h>

#define INSERT_PREFIX "INSERT INTO load("

/* A value that an operation writes, and its place in the log. */
struct written_value {
	const struct chk_op *op;
	uint32_t occurrences; /* in the log */
	json_int_t pos;	      /* of the first occurrence, as is `term` */
	json_int_t term;
};

struct log_check {
	const struct chk_history *history;
	apr_hash_t *values; /* text -> struct written_value */
	json_t *report;
};

static void index_values(struct log_check *check)
{
	size_t i;
	size_t j;

	for (i = 0; i < check->history->count; i++) {
		const struct chk_op *op = &check->history->ops[i];
		const json_t *values = json_object_get(op->line, "values");

		for (j = 0; j < json_array_size(values); j++) {
			struct written_value *value =
				apr_pcalloc(check->history->pool, sizeof(*value));

			value->op = op;
			apr_hash_set(check->values, json_string_value(json_array_get(values, j)),
				     APR_HASH_KEY_STRING, value);
		}
	}
}

/* The value that a statement inserts into the load table, or NULL. */
static const char *inserted_value(const json_t *statement)
{
	const char *sql = json_string_value(json_object_get(statement, "sql"));
	const json_t *params = json_object_get(statement, "params");

	if (!sql || strncasecmp(sql, INSERT_PREFIX, strlen(INSERT_PREFIX)) != 0)
		return NULL;
	return json_string_value(json_array_get(params, 2));
}

/*
 * Whether the value's run has a complete history, so that all its values are known. A value is
 * "RUN.INDEX:SEQ", with "/STATEMENT" appended in a transaction.
 */
static bool is_run_complete(const struct log_check *check, const char *text)
{
	const char *colon = strchr(text, ':');
	const char *dot = colon ? memrchr(text, '.', (size_t)(colon - text)) : NULL;

	return dot && apr_hash_get(check->history->complete_runs, text, dot - text);
}

static void check_value(struct log_check *check, const char *text, const char *place,
			json_int_t pos, json_int_t term)
{
	struct written_value *value = apr_hash_get(check->values, text, APR_HASH_KEY_STRING);

	if (!value) {
		if (is_run_complete(check, text))
			chk_report_add(check->report, "unasked_write", place, "%s is in no history",
				       text);
		return;
	}
	if (value->occurrences++ > 0) {
		chk_report_add(check->report, "write_doubled", place,
			       "%s of %s:%u is at position %lld/%lld already", text,
			       value->op->file, value->op->line_number, (long long)value->term,
			       (long long)value->pos);
		return;
	}
	value->pos = pos;
	value->term = term;
}

/* Whether two values are of one operation, i.e. are equal up to a "/". */
static bool same_operation(const char *a, const char *b)
{
	size_t length = strcspn(a, "/");

	return length == strcspn(b, "/") && strncmp(a, b, length) == 0;
}

static void check_entry(struct log_check *check, const json_t *entry)
{
	const json_t *statements = json_object_get(entry, "statements");
	json_int_t pos = json_integer_value(json_object_get(entry, "pos"));
	json_int_t term = json_integer_value(json_object_get(entry, "term"));
	const char *first = NULL;
	char place[64];
	size_t i;

	snprintf(place, sizeof(place), "log:%lld/%lld", (long long)term, (long long)pos);
	for (i = 0; i < json_array_size(statements); i++) {
		const char *text = inserted_value(json_array_get(statements, i));

		if (!text)
			continue;
		if (first && !same_operation(first, text))
			chk_report_add(check->report, "mixed_entry", place,
				       "one log entry has values of two operations, %s and %s",
				       first, text);
		if (!first)
			first = text;
		check_value(check, text, place, pos, term);
	}
}

/* Compares the outcome of one operation with its values in the log. */
static void check_op(struct log_check *check, const struct chk_op *op)
{
	const json_t *values = json_object_get(op->line, "values");
	const struct written_value *first = NULL;
	size_t present = 0;
	size_t i;

	for (i = 0; i < json_array_size(values); i++) {
		const char *text = json_string_value(json_array_get(values, i));
		const struct written_value *value =
			apr_hash_get(check->values, text, APR_HASH_KEY_STRING);

		if (!value || !value->occurrences) {
			if (strcmp(op->outcome, "ran") == 0)
				chk_report_op(check->report, "acknowledged_write_missing", op,
					      "%s is not in the log", text);
			continue;
		}
		if (strcmp(op->outcome, "not_run") == 0)
			chk_report_op(check->report, "not_run_write_present", op,
				      "%s is at position %lld/%lld", text, (long long)value->term,
				      (long long)value->pos);
		if (first && (first->pos != value->pos || first->term != value->term))
			chk_report_op(check->report, "split_transaction", op,
				      "%s is in another entry than the statements before", text);
		first = value;
		present++;
	}
	if (present && present < json_array_size(values))
		chk_report_op(check->report, "split_transaction", op,
			      "the log has %zu of %zu statements", present,
			      json_array_size(values));
}

/* Compares the writes of the history with a log. BC_EINVAL: the log is malformed. */
enum bc_status chk_log(struct bc_ctx *ctx, const struct chk_history *history, const json_t *log,
		       json_t *report)
{
	struct log_check check = {history, apr_hash_make(history->pool), report};
	const json_t *entries = json_object_get(log, "entries");
	size_t i;

	if (!json_is_array(entries))
		return bc_fail(ctx, BC_EINVAL, "the log has no array \"entries\"");
	index_values(&check);
	for (i = 0; i < json_array_size(entries); i++) {
		const json_t *entry = json_array_get(entries, i);

		if (!json_is_integer(json_object_get(entry, "pos")) ||
		    !json_is_integer(json_object_get(entry, "term")))
			return bc_fail(ctx, BC_EINVAL, "log entry %zu has no integer pos and term",
				       i);
		check_entry(&check, entry);
	}
	for (i = 0; i < history->count; i++)
		check_op(&check, &history->ops[i]);
	return BC_OK;
}
