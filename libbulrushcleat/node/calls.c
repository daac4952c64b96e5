#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sets a call's endpoint and the database it concerns, which may be NULL. */
void nod_pending_endpoint(struct pending_call *pending, const char *endpoint, const char *database)
{
	snprintf(pending->endpoint, sizeof(pending->endpoint), "%s", endpoint);
	snprintf(pending->database, sizeof(pending->database), "%s", database ? database : "");
}

static const char *endpoint_address(struct nod_node *node, const char *endpoint)
{
	const struct rte_endpoint *found = rte_endpoint_find(node->route, endpoint);

	return found ? found->address : "";
}

/*
 * Sends a call and keeps a copy of `pending` for its answer. Returns the call's id, or 0 when out
 * of memory. pending->done is called once with the answer, unless the call is cancelled.
 */
uint64_t nod_call_send(struct nod_node *node, struct pending_call *pending, const char *method,
		       const char *path, const char *body, const struct bc_trace *trace,
		       uint64_t timeout_us)
{
	struct pending_call *kept = malloc(sizeof(*kept));
	const struct nod_call_ops *ops;
	struct nod_call call = {0};
	char traceparent[56];

	if (!kept)
		return 0;
	*kept = *pending;
	kept->id = ++node->next_id;
	kept->sent_us = node->now_us;
	apr_hash_set(node->calls, &kept->id, sizeof(kept->id), kept);
	call.id = kept->id;
	call.method = method;
	call.path = path;
	call.body = body;
	call.timeout_us = timeout_us;
	if (trace) {
		bc_trace_header(trace, traceparent);
		call.traceparent = traceparent;
	}
	if (kept->destination == NOD_TO_ENDPOINT) {
		call.target = kept->endpoint;
		call.address = endpoint_address(node, kept->endpoint);
		ops = &node->callbacks.endpoints;
	} else {
		/* False positive of the analyzer: the hash table keeps the pointer. */
		call.address = node->settings.platform; /* NOLINT(clang-analyzer-unix.Malloc) */
		ops = &node->callbacks.platform;
		bc_counter_add(node->ctx, "bulrushcleat_store_calls_total", NULL, 1);
	}
	ops->call(node->callbacks.data, &call);
	return call.id;
}

/* Cancels a call; its answer is not passed on even if it arrives. */
void nod_call_cancel(struct nod_node *node, uint64_t call)
{
	struct pending_call *pending = apr_hash_get(node->calls, &call, sizeof(call));

	if (!pending)
		return;
	apr_hash_set(node->calls, &call, sizeof(call), NULL);
	if (pending->destination == NOD_TO_ENDPOINT)
		node->callbacks.endpoints.cancel(node->callbacks.data, call);
	else
		node->callbacks.platform.cancel(node->callbacks.data, call);
	free(pending);
}

/* Frees all outstanding calls without cancelling them. */
void nod_calls_free(struct nod_node *node)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, node->calls); it; it = apr_hash_next(it)) {
		void *pending;

		apr_hash_this(it, NULL, NULL, &pending);
		free(pending);
	}
	apr_hash_clear(node->calls);
}

/* Handles the answer to a call. An unknown id belongs to a cancelled call and is ignored. */
void nod_answer(struct nod_node *node, uint64_t call, const struct nod_answer *answer,
		uint64_t now_us)
{
	struct pending_call *pending = apr_hash_get(node->calls, &call, sizeof(call));

	node->now_us = now_us;
	if (!pending)
		return;
	apr_hash_set(node->calls, &call, sizeof(call), NULL);
	pending->done(node, pending, answer);
	free(pending);
}
