#include "standin/ste_endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_TIMEOUT_US (10 * BC_US_PER_S)
/* How long a closed connection's request ids are kept to recognize late duplicates. */
#define CLOSED_RETENTION_US (30 * BC_US_PER_S)
#define SWEEP_INTERVAL_US (250 * BC_US_PER_MS)

struct pending_open {
	struct ste_connection *connection;
	struct io_http_request *request;
};

static struct ste_connection *new_connection(struct ste_endpoint *endpoint, const char *proxy)
{
	struct ste_connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->endpoint = endpoint;
	connection->opening = true;
	connection->seen_requests = json_object();
	connection->last_call_us = io_now_us();
	snprintf(connection->id, sizeof(connection->id), "%s-%llu", endpoint->start_id,
		 (unsigned long long)++endpoint->connection_serial);
	snprintf(connection->proxy, sizeof(connection->proxy), "%s", proxy);
	connection->next = endpoint->connections;
	endpoint->connections = connection;
	endpoint->connection_count++;
	if (endpoint->connection_count > endpoint->counters.peak_connections)
		endpoint->counters.peak_connections = endpoint->connection_count;
	return connection;
}

static void on_opened(void *data)
{
	struct pending_open *pending = data;
	struct ste_connection *connection = pending->connection;

	connection->opening = false;
	connection->last_call_us = io_now_us();
	connection->endpoint->counters.opened++;
	sta_gate_answer(connection->endpoint->gate, pending->request, 200,
			json_pack("{s:s}", "connection", connection->id));
	free(pending);
}

/*
 * POST /v1/connections: answers after the connect cost. A connection that is still opening counts
 * towards the limit.
 */
void ste_connection_open(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	json_t *body = json_loads(io_http_body(request, NULL), 0, NULL);
	const char *proxy = json_string_value(json_object_get(body, "proxy"));
	struct pending_open *pending;

	if (!proxy || !bc_id_valid(proxy)) {
		json_decref(body);
		sta_gate_error(endpoint->gate, request, 400, "bad_request",
			       "the body needs a valid id in proxy");
		return;
	}
	if (endpoint->connection_count >= endpoint->settings.connections) {
		json_decref(body);
		endpoint->counters.open_refused++;
		sta_gate_error(endpoint->gate, request, 503, "connections_exhausted",
			       "all connections are in use");
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (pending) {
		pending->request = request;
		pending->connection = new_connection(endpoint, proxy);
		io_timer_add(endpoint->loop, endpoint->settings.connect_cost_us, on_opened,
			     pending);
	}
	json_decref(body);
}

/* The connection with this id, which may be closed but still remembered, or NULL. */
struct ste_connection *ste_connection_find(struct ste_endpoint *endpoint, const char *id)
{
	struct ste_connection *connection;

	for (connection = endpoint->connections; connection; connection = connection->next)
		if (!connection->opening && strcmp(connection->id, id) == 0)
			return connection;
	return NULL;
}

/*
 * Closes the connection and rolls back its transaction. A pending request is answered as refused
 * with `code`: its statements have not run, since they run at the end of the service time.
 */
void ste_connection_close(struct ste_connection *connection, const char *code)
{
	struct ste_host *host = connection->host;

	if (connection->closed)
		return;
	connection->closed = true;
	connection->last_call_us = io_now_us();
	connection->endpoint->connection_count--;
	if (host) {
		ste_database_rollback(host->database);
		connection->host = NULL;
	}
	if (connection->job) {
		struct ste_job *job = connection->job;

		host = job->writes ? job->host : host;
		ste_job_cancel(job);
		ste_job_refuse(job, code);
	}
	if (host && host->lock_holder == connection)
		ste_lock_release(host);
}

/* DELETE /v1/connections/ID */
void ste_connection_delete(struct ste_endpoint *endpoint, struct io_http_request *request,
			   const char *id)
{
	struct ste_connection *connection = ste_connection_find(endpoint, id);

	if (!connection || connection->closed) {
		sta_gate_error(endpoint->gate, request, 404, "no_such_connection",
			       "the connection is closed");
		return;
	}
	ste_connection_close(connection, "connection_closed");
	sta_gate_answer(endpoint->gate, request, 200, json_pack("{s:b}", "closed", 1));
}

static void free_connection(struct ste_connection *connection)
{
	json_decref(connection->seen_requests);
	free(connection);
}

static void sweep_connections(void *data)
{
	struct ste_endpoint *endpoint = data;
	struct ste_connection **link = &endpoint->connections;
	uint64_t now_us = io_now_us();

	while (*link) {
		struct ste_connection *connection = *link;
		uint64_t idle_us = now_us - connection->last_call_us;

		if (!connection->closed && !connection->opening && !connection->job &&
		    idle_us >= IDLE_TIMEOUT_US) {
			endpoint->counters.closed_idle++;
			bc_log(endpoint->ctx, BC_LOG_INFO, "connection_idle", "{s:s,s:s,s:b}",
			       "connection", connection->id, "proxy", connection->proxy,
			       "in_transaction", connection->host != NULL);
			ste_connection_close(connection, "connection_closed");
		}
		if (connection->closed &&
		    now_us - connection->last_call_us >= CLOSED_RETENTION_US) {
			*link = connection->next;
			free_connection(connection);
			continue;
		}
		link = &connection->next;
	}
	io_timer_add(endpoint->loop, SWEEP_INTERVAL_US, sweep_connections, endpoint);
}

/* Starts the periodic check that closes connections without calls for 10 s. */
void ste_connections_start_sweep(struct ste_endpoint *endpoint)
{
	io_timer_add(endpoint->loop, SWEEP_INTERVAL_US, sweep_connections, endpoint);
}
