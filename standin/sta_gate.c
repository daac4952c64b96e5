#include "standin/sta_gate.h"

#include <stdlib.h>
#include <string.h>

/*
 * libmicrohttpd cannot drop a request, so the answer to a dropped one is delayed for longer than
 * any caller waits. It is then a 504, which leaves open whether the request ran.
 */
#define DROPPED_ANSWER_DELAY_MS 30000U

struct sta_gate {
	struct io_loop *loop;
	json_t *cut;
	uint64_t delay_ms;
	uint64_t bytes_out;
};

struct delayed_answer {
	struct sta_gate *gate;
	struct io_http_request *request;
	uint32_t status;
	json_t *body;
};

/* Creates a gate that neither delays nor drops answers. */
struct sta_gate *sta_gate_create(struct io_loop *loop)
{
	struct sta_gate *gate = calloc(1, sizeof(*gate));

	if (!gate)
		return NULL;
	gate->loop = loop;
	gate->cut = json_array();
	return gate;
}

/* Frees the gate. Answers still delayed are lost. NULL is allowed. */
void sta_gate_destroy(struct sta_gate *gate)
{
	if (!gate)
		return;
	json_decref(gate->cut);
	free(gate);
}

/* Sets the ids of the nodes that are cut off; copies `ids`, a JSON array of strings. */
void sta_gate_cut_set(struct sta_gate *gate, json_t *ids)
{
	json_decref(gate->cut);
	gate->cut = json_deep_copy(ids);
}

/* Whether the node with this id is cut off; false for NULL. */
bool sta_gate_is_cut(const struct sta_gate *gate, const char *id)
{
	const json_t *value;
	size_t i;

	if (!id)
		return false;
	json_array_foreach(gate->cut, i, value)
	{
		if (json_is_string(value) && strcmp(json_string_value(value), id) == 0)
			return true;
	}
	return false;
}

/* Sets the delay of all later answers. */
void sta_gate_delay_set(struct sta_gate *gate, uint64_t delay_ms)
{
	gate->delay_ms = delay_ms;
}

static void send_answer(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
			json_t *body)
{
	static const struct io_http_header headers[] = {{"Content-Type", "application/json"},
							{NULL, NULL}};
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	gate->bytes_out += text ? strlen(text) : 0;
	io_http_reply(request, status, headers, text ? text : "{}");
	free(text);
}

static void send_delayed_answer(void *data)
{
	struct delayed_answer *answer = data;

	send_answer(answer->gate, answer->request, answer->status, answer->body);
	free(answer);
}

static void answer_after_delay(struct sta_gate *gate, struct io_http_request *request,
			       uint32_t status, json_t *body, uint64_t delay_ms)
{
	struct delayed_answer *answer = calloc(1, sizeof(*answer));

	if (!answer) {
		send_answer(gate, request, status, body);
		return;
	}
	*answer = (struct delayed_answer){gate, request, status, body};
	io_timer_add(gate->loop, delay_ms * BC_US_PER_MS, send_delayed_answer, answer);
}

/* Answers with 504 after answer_delay_ms; if that is 0, after DROPPED_ANSWER_DELAY_MS. */
void sta_gate_drop(struct sta_gate *gate, struct io_http_request *request, uint64_t answer_delay_ms)
{
	answer_after_delay(gate, request, 504,
			   json_pack("{s:{s:s,s:s}}", "error", "code", "dropped", "message",
				     "the stand-in withheld this answer"),
			   answer_delay_ms ? answer_delay_ms : DROPPED_ANSWER_DELAY_MS);
}

/* Drops the request if its sender is cut off; after true the caller must not use it any more. */
bool sta_gate_drop_if_cut(struct sta_gate *gate, struct io_http_request *request)
{
	if (!sta_gate_is_cut(gate, io_http_header(request, STA_NODE_HEADER)))
		return false;
	sta_gate_drop(gate, request, 0);
	return true;
}

/* Drops the request if its sender is cut off, else answers after the set delay. Releases `body`. */
void sta_gate_answer(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		     json_t *body)
{
	if (sta_gate_drop_if_cut(gate, request)) {
		json_decref(body);
		return;
	}
	if (gate->delay_ms)
		answer_after_delay(gate, request, status, body, gate->delay_ms);
	else
		send_answer(gate, request, status, body);
}

/* Answers with {"error": {"code", "message"}}. */
void sta_gate_error(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		    const char *code, const char *message)
{
	sta_gate_answer(gate, request, status,
			json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", message));
}

/* Total bytes of the answers sent. */
uint64_t sta_gate_bytes_out(const struct sta_gate *gate)
{
	return gate->bytes_out;
}
