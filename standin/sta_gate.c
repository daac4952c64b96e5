#include "standin/sta_gate.h"

#include <stdlib.h>
#include <string.h>

/*
 * libmicrohttpd cannot drop a request, so one that is cut off is held for longer than any caller
 * waits and then answered with 504, which says nothing about whether it ran.
 */
#define DROP_HOLD_MS 30000U

struct sta_gate {
	struct io_loop *loop;
	json_t *cut;
	uint64_t delay_ms;
	uint64_t bytes_out;
};

struct held {
	struct sta_gate *gate;
	struct io_http_request *request;
	uint32_t status;
	json_t *body;
};

/* Creates a gate that lets everything pass at once. */
struct sta_gate *sta_gate_create(struct io_loop *loop)
{
	struct sta_gate *gate = calloc(1, sizeof(*gate));

	if (!gate)
		return NULL;
	gate->loop = loop;
	gate->cut = json_array();
	return gate;
}

/* Frees the gate. Answers still held are lost. NULL is allowed. */
void sta_gate_destroy(struct sta_gate *gate)
{
	if (!gate)
		return;
	json_decref(gate->cut);
	free(gate);
}

/* Sets the ids that are cut off; `ids` is a JSON array of strings, of which a copy is kept. */
void sta_gate_cut_set(struct sta_gate *gate, json_t *ids)
{
	json_decref(gate->cut);
	gate->cut = json_deep_copy(ids);
}

/* Whether this node is cut off. NULL is never cut off. */
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

/* Delays all later answers, in milliseconds. */
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

static void on_held(void *data)
{
	struct held *held = data;

	send_answer(held->gate, held->request, held->status, held->body);
	free(held);
}

static void hold(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		 json_t *body, uint64_t delay_ms)
{
	struct held *held = calloc(1, sizeof(*held));

	if (!held) {
		send_answer(gate, request, status, body);
		return;
	}
	*held = (struct held){gate, request, status, body};
	io_timer_add(gate->loop, delay_ms * BC_US_PER_MS, on_held, held);
}

/* Gives no answer for hold_ms, or for a time beyond every caller's patience if that is 0. */
void sta_gate_drop(struct sta_gate *gate, struct io_http_request *request, uint64_t hold_ms)
{
	hold(gate, request, 504,
	     json_pack("{s:{s:s,s:s}}", "error", "code", "dropped", "message",
		       "the stand-in kept this answer back"),
	     hold_ms ? hold_ms : DROP_HOLD_MS);
}

/* Drops the request if its sender is cut off. It must not be used afterwards if true. */
bool sta_gate_drops(struct sta_gate *gate, struct io_http_request *request)
{
	if (!sta_gate_is_cut(gate, io_http_header(request, STA_NODE_HEADER)))
		return false;
	sta_gate_drop(gate, request, 0);
	return true;
}

/* Answers after the set delay, unless the sender is cut off by now. Releases `body`. */
void sta_gate_answer(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		     json_t *body)
{
	if (sta_gate_drops(gate, request)) {
		json_decref(body);
		return;
	}
	if (gate->delay_ms)
		hold(gate, request, status, body, gate->delay_ms);
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

/* Bytes of all answers sent. */
uint64_t sta_gate_bytes_out(const struct sta_gate *gate)
{
	return gate->bytes_out;
}
