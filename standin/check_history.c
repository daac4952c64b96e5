#include "standin/check.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/* Prepares an empty history. */
void chk_history_init(struct chk_history *history)
{
	*history = (struct chk_history){0};
	apr_initialize();
	apr_pool_create(&history->pool, NULL);
	history->complete_runs = apr_hash_make(history->pool);
}

/* Frees the operations. */
void chk_history_free(struct chk_history *history)
{
	size_t i;

	for (i = 0; i < history->count; i++)
		json_decref(history->ops[i].line);
	free(history->ops);
	apr_pool_destroy(history->pool);
}

static bool is_one_of(const char *text, const char *a, const char *b, const char *c)
{
	return text && (strcmp(text, a) == 0 || strcmp(text, b) == 0 || strcmp(text, c) == 0);
}

/* Whether this is an array of strings and not empty. */
static bool is_string_list(const json_t *array)
{
	size_t i;

	for (i = 0; i < json_array_size(array); i++)
		if (!json_is_string(json_array_get(array, i)))
			return false;
	return json_array_size(array) > 0;
}

/* Sets the operation's fields from its line; false if one is missing or has another type. */
static bool parse_op(struct chk_op *op)
{
	const json_t *start = json_object_get(op->line, "start_us");
	const json_t *end = json_object_get(op->line, "end_us");
	const json_t *seq = json_object_get(op->line, "seq");

	op->session = json_string_value(json_object_get(op->line, "session"));
	op->outcome = json_string_value(json_object_get(op->line, "outcome"));
	op->start_us = json_integer_value(start);
	op->end_us = json_integer_value(end);
	op->seq = json_is_integer(seq) ? json_integer_value(seq) : -1;
	if (!op->session || !json_is_integer(start) || !json_is_integer(end) ||
	    !is_one_of(op->outcome, "ran", "not_run", "unknown") ||
	    !is_one_of(op->op, "read", "write", "transaction"))
		return false;
	if (strcmp(op->op, "read") == 0)
		return json_is_string(json_object_get(op->line, "of"));
	return op->seq >= 0 && is_string_list(json_object_get(op->line, "values"));
}

static bool append_op(struct chk_history *history, const struct chk_op *op)
{
	if (history->count == history->capacity) {
		size_t capacity = history->capacity ? 2 * history->capacity : 1024;
		struct chk_op *ops = realloc(history->ops, capacity * sizeof(*ops));

		if (!ops)
			return false;
		history->ops = ops;
		history->capacity = capacity;
	}
	history->ops[history->count++] = *op;
	return true;
}

static bool read_line(struct chk_history *history, const char *text, size_t bytes, const char *file,
		      uint32_t number)
{
	struct chk_op op = {.file = file, .line_number = number};
	const char *run;

	op.line = json_loadb(text, bytes, 0, NULL);
	op.op = json_string_value(json_object_get(op.line, "op"));
	if (op.op && strcmp(op.op, "end") == 0) {
		run = json_string_value(json_object_get(op.line, "run"));
		if (run) {
			const char *key = apr_pstrdup(history->pool, run);

			apr_hash_set(history->complete_runs, key, APR_HASH_KEY_STRING, key);
		}
		json_decref(op.line);
		return run != NULL;
	}
	if (op.op && parse_op(&op) && append_op(history, &op))
		return true;
	json_decref(op.line);
	return false;
}

/* Reads a history of JSON lines. BC_EINVAL: a line is malformed; the last message names it. */
enum bc_status chk_history_read(struct bc_ctx *ctx, struct chk_history *history, FILE *in,
				const char *file)
{
	const char *name = apr_pstrdup(history->pool, file);
	enum bc_status status = BC_OK;
	uint32_t number = 0;
	char *line = NULL;
	size_t capacity = 0;
	ssize_t length;

	while (status == BC_OK && (length = getline(&line, &capacity, in)) > 0) {
		number++;
		if (!read_line(history, line, (size_t)length, name, number))
			status = bc_fail(ctx, BC_EINVAL, "%s:%u: not a valid history record", file,
					 number);
	}
	free(line);
	return status;
}

static int compare_ops(const void *a, const void *b)
{
	const struct chk_op *x = a;
	const struct chk_op *y = b;
	int order = strcmp(x->session, y->session);

	if (order)
		return order;
	if (x->start_us != y->start_us)
		return x->start_us < y->start_us ? -1 : 1;
	return x->end_us < y->end_us ? -1 : x->end_us > y->end_us;
}

/* Sorts the operations by session and start time. */
void chk_history_sort(struct chk_history *history)
{
	if (history->count)
		qsort(history->ops, history->count, sizeof(*history->ops), compare_ops);
}
