#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sets the endpoint and the database that a call is about. The database may be NULL. */
void nod_pending_endpoint(struct pending *pending, const char *endpoint, const char *database)
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
 * Sends a call described by a copy of `pending` and returns its id; 0 when out of memory. The
 * answer goes to pending->done, once, unless the call is cancelled.
 */
uint64_t nod_call_send(struct nod_node *node, struct pending *pending, const char *method,
		       const char *path, const char *body, const struct bc_trace *trace,
		       uint64_t timeout_us)
{
	struct pending *kept = malloc(sizeof(*kept));
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
	if (kept->port == NOD_PORT_ENDPOINT) {
		call.target = kept->endpoint;
		call.address = endpoint_address(node, kept->endpoint);
		ops = &node->ports.endpoints;
	} else {
		/* The analyzer does not see that the hash keeps the call. */
		call.address = node->settings.platform; /* NOLINT(clang-analyzer-unix.Malloc) */
		ops = &node->ports.platform;
		bc_count(node->ctx, "bulrushcleat_store_calls_total", NULL, 1);
	}
	ops->call(node->ports.data, &call);
	return call.id;
}

/* Forgets a call; a late answer is dropped by the driver. */
void nod_call_cancel(struct nod_node *node, uint64_t call)
{
	struct pending *pending = apr_hash_get(node->calls, &call, sizeof(call));

	if (!pending)
		return;
	apr_hash_set(node->calls, &call, sizeof(call), NULL);
	if (pending->port == NOD_PORT_ENDPOINT)
		node->ports.endpoints.cancel(node->ports.data, call);
	else
		node->ports.platform.cancel(node->ports.data, call);
	free(pending);
}

/* Frees all outstanding calls at the end of the node. */
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

/* Takes the answer to a call. An unknown id belongs to a cancelled call and is dropped. */
void nod_answer(struct nod_node *node, uint64_t call, const struct nod_answer *answer,
		uint64_t now_us)
{
	struct pending *pending = apr_hash_get(node->calls, &call, sizeof(call));

	node->now_us = now_us;
	if (!pending)
		return;
	apr_hash_set(node->calls, &call, sizeof(call), NULL);
	pending->done(node, pending, answer);
	free(pending);
}
