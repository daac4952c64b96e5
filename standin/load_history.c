#include "standin/load.h"

#include <stdlib.h>

static json_t *text_or_null(const char *text)
{
	return text ? json_string(text) : json_null();
}

static void add_read(json_t *line, const struct ld_session *session, const struct ld_answer *answer)
{
	const struct ld_op *op = &session->op;
	json_t *rows = json_object_get(answer->body, "rows");

	json_object_set_new(line, "of", json_string(session->load->sessions[op->owner].name));
	json_object_set_new(line, "strong", json_boolean(op->strong));
	json_object_set_new(line, "limit", json_integer(LD_READ_LIMIT));
	json_object_set(line, "rows", json_is_array(rows) ? rows : json_null());
	json_object_set_new(line, "age_ms",
			    answer->age_ms >= 0 ? json_integer(answer->age_ms) : json_null());
}

static void add_write(json_t *line, const struct ld_op *op)
{
	json_t *values = json_array();
	char value[LD_VALUE_BYTES + 16];
	uint32_t i;

	for (i = 0; op->kind == LD_TRANSACTION && i < op->statements; i++) {
		snprintf(value, sizeof(value), "%s/%u", op->value, i);
		json_array_append_new(values, json_string(value));
	}
	if (op->kind == LD_WRITE)
		json_array_append_new(values, json_string(op->value));
	json_object_set_new(line, "seq", json_integer(op->seq));
	json_object_set_new(line, "values", values);
	json_object_set_new(line, "key", op->key[0] ? json_string(op->key) : json_null());
}

/*
 * Writes one operation as a JSON line. "answers" has, for each attempt or step, the request id
 * sent, the request id in the answer, the outcome and the HTTP status (0: no answer).
 */
void ld_history_add(FILE *file, const struct ld_session *session, enum ld_outcome outcome,
		    const struct ld_answer *answer, uint64_t now_us)
{
	const struct ld_op *op = &session->op;
	json_t *line;

	if (!file)
		return;
	line = json_pack("{s:s,s:s,s:s,s:I,s:I,s:s,s:o,s:o,s:O}", "op", ld_kind_names[op->kind],
			 "session", session->name, "outcome", ld_outcome_names[outcome], "start_us",
			 (json_int_t)op->start_us, "end_us", (json_int_t)now_us, "proxy",
			 session->load->options->proxies[op->proxy], "served_by",
			 text_or_null(answer->served_by), "error", text_or_null(answer->error),
			 "answers", op->answers);
	if (op->kind == LD_READ)
		add_read(line, session, answer);
	else
		add_write(line, op);
	json_dumpf(line, file, JSON_COMPACT);
	fputc('\n', file);
	json_decref(line);
}
