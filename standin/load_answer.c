#include "standin/load.h"

#include <string.h>

const char *const ld_kind_names[LD_KINDS] = {"read", "write", "transaction"};
const char *const ld_outcome_names[LD_OUTCOMES] = {"ran", "not_run", "unknown"};

static enum ld_outcome parse_outcome(const char *text)
{
	int i;

	for (i = 0; text && i < LD_OUTCOMES; i++)
		if (strcmp(text, ld_outcome_names[i]) == 0)
			return (enum ld_outcome)i;
	return LD_UNKNOWN;
}

/*
 * Parses an answer. A request that was never sent has not run; the outcome of a missing or
 * unreadable answer, or of one without the field "outcome", is unknown. The answer to opening a
 * transaction has the transaction's id instead of an outcome.
 */
void ld_answer_parse(const struct io_http_result *result, struct ld_answer *answer)
{
	const json_t *error;
	const json_t *age;

	*answer = (struct ld_answer){.outcome = LD_UNKNOWN, .age_ms = -1};
	if (result->outcome == IO_HTTP_NOT_SENT) {
		answer->outcome = LD_NOT_RUN;
		answer->error = "not_sent";
		return;
	}
	if (result->outcome != IO_HTTP_COMPLETE) {
		answer->error = "no_answer";
		return;
	}
	answer->status = result->status;
	answer->body = json_loadb(result->body, result->body_bytes, 0, NULL);
	answer->request_id = json_string_value(json_object_get(answer->body, "request"));
	answer->served_by = json_string_value(json_object_get(answer->body, "served_by"));
	answer->transaction_id = json_string_value(json_object_get(answer->body, "transaction"));
	answer->outcome =
		parse_outcome(json_string_value(json_object_get(answer->body, "outcome")));
	if (answer->transaction_id && result->status / 100 == 2)
		answer->outcome = LD_RAN;
	answer->replayed = json_is_true(json_object_get(answer->body, "replayed"));
	age = json_object_get(answer->body, "age_ms");
	if (json_is_number(age))
		answer->age_ms = (int64_t)json_number_value(age);
	error = json_object_get(answer->body, "error");
	answer->error = json_string_value(json_object_get(error, "code"));
	if (!answer->body)
		answer->error = "unreadable_answer";
}
