#include "standin/check.h"

#include <apr_strings.h>
#include <string.h>

/* Reported ages are truncated to whole milliseconds. */
#define AGE_ROUNDING_US 1000

/* The operations of one session: a range of the sorted history. */
struct session_range {
	size_t first;
	size_t count;
};

struct checker {
	const struct chk_history *history;
	json_t *report;
	apr_hash_t *sessions;	/* name -> struct range */
	apr_hash_t *last_reads; /* "READER|OWNER" -> const struct chk_op */
};

/* The rows that a read returned; those above this seq are complete despite the read's limit. */
struct read_rows {
	const json_t *rows;
	int64_t complete_above_seq;
};

static bool ran(const struct chk_op *op)
{
	return strcmp(op->outcome, "ran") == 0;
}

static const char *row_value(const json_t *rows, size_t index)
{
	return json_string_value(json_array_get(json_array_get(rows, index), 1));
}

static int64_t row_seq(const json_t *rows, size_t index)
{
	return json_integer_value(json_array_get(json_array_get(rows, index), 0));
}

static bool has_value(const json_t *rows, const char *value)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const char *other = row_value(rows, i);

		if (other && strcmp(other, value) == 0)
			return true;
	}
	return false;
}

/* Whether the value is a write of the session: "SESSION:SEQ" or "SESSION:SEQ/STATEMENT". */
static bool belongs_to(const char *value, const char *session)
{
	size_t length = strlen(session);

	return value && strncmp(value, session, length) == 0 && value[length] == ':';
}

static void check_request_ids(const struct checker *checker, const struct chk_op *op)
{
	const json_t *answers = json_object_get(op->line, "answers");
	size_t i;

	for (i = 0; i < json_array_size(answers); i++) {
		const json_t *answer = json_array_get(answers, i);
		const char *sent = json_string_value(json_array_get(answer, 0));
		const char *reply = json_string_value(json_array_get(answer, 1));

		if (sent && reply && strcmp(sent, reply) != 0)
			chk_report_op(checker->report, "foreign_answer", op,
				      "request %s was answered as %s", sent, reply);
	}
}

/* Sets `result` to the read's rows; false if there are none. Reports rows of other sessions. */
static bool check_rows(const struct checker *checker, const struct chk_op *op, const char *owner,
		       struct read_rows *result)
{
	size_t limit = (size_t)json_integer_value(json_object_get(op->line, "limit"));
	size_t count;
	size_t i;

	result->rows = json_object_get(op->line, "rows");
	result->complete_above_seq = -1;
	if (!json_is_array(result->rows)) {
		chk_report_op(checker->report, "malformed_answer", op,
			      "the read has no array of rows");
		return false;
	}
	count = json_array_size(result->rows);
	for (i = 0; i < count; i++) {
		const char *value = row_value(result->rows, i);

		if (!belongs_to(value, owner))
			chk_report_op(checker->report, "foreign_rows", op,
				      "rows of %s have the value %s", owner,
				      value ? value : "(none)");
		/* The limit of a full answer may exclude some rows of its least seq. */
		if (limit && count >= limit &&
		    (i == 0 || row_seq(result->rows, i) < result->complete_above_seq))
			result->complete_above_seq = row_seq(result->rows, i);
	}
	return true;
}

/*
 * Reports acknowledged writes of the owner that ended before `before_us` and are missing in the
 * rows. A session runs one operation at a time, so in its range both end times and seqs increase.
 */
static void check_writes(const struct checker *checker, const struct chk_op *read,
			 const struct read_rows *result, const char *owner, int64_t before_us,
			 const char *rule)
{
	const struct session_range *range =
		apr_hash_get(checker->sessions, owner, APR_HASH_KEY_STRING);
	const struct chk_op *ops;
	size_t low = 0;
	size_t high;
	size_t j;

	if (!range)
		return;
	ops = checker->history->ops + range->first;
	high = range->count;
	while (low < high) {
		size_t middle = (low + high) / 2;

		if (ops[middle].end_us < before_us)
			low = middle + 1;
		else
			high = middle;
	}
	while (low-- > 0) {
		const json_t *values = json_object_get(ops[low].line, "values");

		if (ops[low].seq >= 0 && ops[low].seq <= result->complete_above_seq)
			return;
		if (ops[low].seq < 0 || !ran(&ops[low]))
			continue;
		for (j = 0; j < json_array_size(values); j++) {
			const char *value = json_string_value(json_array_get(values, j));

			if (!has_value(result->rows, value))
				chk_report_op(checker->report, rule, read,
					      "%s, acknowledged at %s:%u %lld us before the read, "
					      "is missing",
					      value, ops[low].file, ops[low].line_number,
					      (long long)(read->start_us - ops[low].end_us));
		}
	}
}

static void check_monotonic(struct checker *checker, const struct chk_op *op,
			    const struct read_rows *result, const char *owner)
{
	char *key = apr_pstrcat(checker->history->pool, op->session, "|", owner, NULL);
	const struct chk_op *last = apr_hash_get(checker->last_reads, key, APR_HASH_KEY_STRING);
	const json_t *rows;
	size_t i;

	apr_hash_set(checker->last_reads, key, APR_HASH_KEY_STRING, op);
	if (!last)
		return;
	rows = json_object_get(last->line, "rows");
	for (i = 0; i < json_array_size(rows); i++) {
		const char *value = row_value(rows, i);

		if (value && row_seq(rows, i) > result->complete_above_seq &&
		    !has_value(result->rows, value))
			chk_report_op(checker->report, "read_went_back", op,
				      "%s, read before at %s:%u, is missing", value, last->file,
				      last->line_number);
	}
}

static void check_read(struct checker *checker, const struct chk_op *op)
{
	const char *owner = json_string_value(json_object_get(op->line, "of"));
	const json_t *age = json_object_get(op->line, "age_ms");
	bool strong = json_is_true(json_object_get(op->line, "strong"));
	struct read_rows result;
	int64_t age_us;

	if (!ran(op) || !check_rows(checker, op, owner, &result))
		return;
	check_monotonic(checker, op, &result, owner);
	if (strcmp(owner, op->session) == 0) {
		check_writes(checker, op, &result, owner, op->start_us, "own_write_not_read");
		return;
	}
	if (!strong && !json_is_number(age))
		return;
	age_us = strong ? 0 : (int64_t)(json_number_value(age) * 1000) + AGE_ROUNDING_US;
	check_writes(checker, op, &result, owner, op->start_us - age_us, "stale_read");
}

static void index_sessions(struct checker *checker)
{
	const struct chk_history *history = checker->history;
	struct session_range *range = NULL;
	size_t i;

	for (i = 0; i < history->count; i++) {
		const char *session = history->ops[i].session;

		if (!range || strcmp(history->ops[range->first].session, session) != 0) {
			range = apr_pcalloc(history->pool, sizeof(*range));
			range->first = i;
			apr_hash_set(checker->sessions, session, APR_HASH_KEY_STRING, range);
		}
		range->count++;
	}
}

/*
 * Checks the request id of each answer. Of reads it checks that all rows are of the selected
 * session, that the session's own writes and the rows of its earlier reads are present, and, for
 * rows of other sessions, that the reported age holds. The history must be sorted, and the times of
 * all files must come from one clock.
 */
void chk_sessions(const struct chk_history *history, json_t *report)
{
	struct checker checker = {.history = history,
				  .report = report,
				  .sessions = apr_hash_make(history->pool),
				  .last_reads = apr_hash_make(history->pool)};
	size_t i;

	index_sessions(&checker);
	for (i = 0; i < history->count; i++) {
		check_request_ids(&checker, &history->ops[i]);
		if (strcmp(history->ops[i].op, "read") == 0)
			check_read(&checker, &history->ops[i]);
	}
}
