#include "standin/check.h"

#include <apr_strings.h>
#include <string.h>

/* The stated age is cut to whole milliseconds. */
#define AGE_ROUNDING_US 1000

/* The operations of one session: a range of the sorted history. */
struct range {
	size_t first;
	size_t count;
};

struct checker {
	const struct chk_history *history;
	json_t *report;
	apr_hash_t *sessions;	/* name -> struct range */
	apr_hash_t *last_reads; /* "READER|OF" -> const struct chk_op */
};

/* The rows of a read, and the least seq that the read's limit has surely not cut off. */
struct window {
	const json_t *rows;
	int64_t from_seq;
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

static void check_answers(const struct checker *checker, const struct chk_op *op)
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

static bool check_rows(const struct checker *checker, const struct chk_op *op, const char *of,
		       struct window *window)
{
	size_t limit = (size_t)json_integer_value(json_object_get(op->line, "limit"));
	size_t count;
	size_t i;

	window->rows = json_object_get(op->line, "rows");
	window->from_seq = -1;
	if (!json_is_array(window->rows)) {
		chk_report_op(checker->report, "malformed_answer", op, "a read without rows");
		return false;
	}
	count = json_array_size(window->rows);
	for (i = 0; i < count; i++) {
		const char *value = row_value(window->rows, i);

		if (!belongs_to(value, of))
			chk_report_op(checker->report, "foreign_rows", op,
				      "rows of %s have the value %s", of, value ? value : "(none)");
		/* Rows of the least seq of a full answer may be cut off. */
		if (limit && count >= limit &&
		    (i == 0 || row_seq(window->rows, i) < window->from_seq))
			window->from_seq = row_seq(window->rows, i);
	}
	return true;
}

/*
 * Reports writes of a session that ended before `before_us` and are missing in the rows. A session
 * has one operation at a time, so ends and seqs both grow in its range.
 */
static void check_writes(const struct checker *checker, const struct chk_op *read,
			 const struct window *window, const char *of, int64_t before_us,
			 const char *rule)
{
	const struct range *range = apr_hash_get(checker->sessions, of, APR_HASH_KEY_STRING);
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

		if (ops[low].seq >= 0 && ops[low].seq <= window->from_seq)
			return;
		if (ops[low].seq < 0 || !ran(&ops[low]))
			continue;
		for (j = 0; j < json_array_size(values); j++) {
			const char *value = json_string_value(json_array_get(values, j));

			if (!has_value(window->rows, value))
				chk_report_op(checker->report, rule, read,
					      "%s, acknowledged at %s:%u %lld us before the read, "
					      "is missing",
					      value, ops[low].file, ops[low].line_number,
					      (long long)(read->start_us - ops[low].end_us));
		}
	}
}

static void check_monotonic(struct checker *checker, const struct chk_op *op,
			    const struct window *window, const char *of)
{
	char *key = apr_pstrcat(checker->history->pool, op->session, "|", of, NULL);
	const struct chk_op *last = apr_hash_get(checker->last_reads, key, APR_HASH_KEY_STRING);
	const json_t *rows;
	size_t i;

	apr_hash_set(checker->last_reads, key, APR_HASH_KEY_STRING, op);
	if (!last)
		return;
	rows = json_object_get(last->line, "rows");
	for (i = 0; i < json_array_size(rows); i++) {
		const char *value = row_value(rows, i);

		if (value && row_seq(rows, i) > window->from_seq && !has_value(window->rows, value))
			chk_report_op(checker->report, "read_went_back", op,
				      "%s, read before at %s:%u, is missing", value, last->file,
				      last->line_number);
	}
}

static void check_read(struct checker *checker, const struct chk_op *op)
{
	const char *of = json_string_value(json_object_get(op->line, "of"));
	const json_t *age = json_object_get(op->line, "age_ms");
	bool strong = json_is_true(json_object_get(op->line, "strong"));
	struct window window;
	int64_t age_us;

	if (!ran(op) || !check_rows(checker, op, of, &window))
		return;
	check_monotonic(checker, op, &window, of);
	if (strcmp(of, op->session) == 0) {
		check_writes(checker, op, &window, of, op->start_us, "own_write_not_read");
		return;
	}
	if (!strong && !json_is_number(age))
		return;
	age_us = strong ? 0 : (int64_t)(json_number_value(age) * 1000) + AGE_ROUNDING_US;
	check_writes(checker, op, &window, of, op->start_us - age_us, "stale_read");
}

static void index_sessions(struct checker *checker)
{
	const struct chk_history *history = checker->history;
	struct range *range = NULL;
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
 * Checks each answer's request id and, for reads: foreign rows, the session's own writes, rows that
 * an earlier read of the session had, and for rows of other sessions the stated age. The history
 * must be sorted; times of all files must come from one clock.
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
		check_answers(&checker, &history->ops[i]);
		if (strcmp(history->ops[i].op, "read") == 0)
			check_read(&checker, &history->ops[i]);
	}
}
