#include "daemon/driver.h"

#include "io/io.h"
#include "io/io_budget.h"
#include "io/peers.h"
#include "node/node.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* File descriptors besides those of callers: for endpoints, peers, the platform and the log. */
#define RESERVED_DESCRIPTORS 1024U
/* Time after the drain, at least, for sending the last replies and store calls. */
#define FINAL_SENDS_US (300 * BC_US_PER_MS)
/* Of that, the part without a listening socket, for the requests of the last connections. */
#define LAST_REQUESTS_US (100 * BC_US_PER_MS)
/* How often the last replies are checked for being sent. */
#define FINAL_SENDS_INTERVAL_US (20 * BC_US_PER_MS)
/* Connections are opened ahead of requests; they are closed for this only at the limit. */
#define STARTUP_US (300 * BC_US_PER_S)
#define BYTES_PER_MB ((uint64_t)1000000)

/* An HTTP call to an endpoint or the platform that has not finished. */
struct call {
	uint64_t id;
	struct drv_driver *driver;
	struct io_http_call *http;
};

/* A caller's HTTP request that waits for the node's reply. */
struct caller_request {
	uint64_t id;
	struct io_http_request *http;
};

struct drv_driver {
	struct bc_ctx *ctx;
	struct cfg_settings settings;
	apr_pool_t *pool;
	struct io_loop *loop;
	struct io_http_server *server;
	struct io_http_client *client;
	struct io_peers *peers;
	struct nod_node *node;
	apr_hash_t *calls;    /* id -> struct call */
	apr_hash_t *requests; /* id -> struct caller_request */
	uint64_t last_request_id;
	uint32_t cut_off; /* requests without a reply when the drain timed out */
	uint64_t stop_us; /* when the process ends even with unsent replies; 0: no drain */
	struct io_timer *tick_timer;
};

static void reply_text(struct io_http_request *http, uint32_t status, const char *type,
		       const char *text)
{
	struct io_http_header headers[] = {{"Content-Type", type}, {NULL, NULL}};

	io_http_reply(http, status, headers, text);
}

static void reply_metrics(struct drv_driver *driver, struct io_http_request *http)
{
	uint64_t sent_bytes;
	uint64_t received_bytes;
	char *text;

	nod_gauges_update(driver->node, io_now_us());
	io_budget_gauges(io_http_server_budget(driver->server));
	io_peers_traffic(driver->peers, &sent_bytes, &received_bytes);
	bc_gauge_set(driver->ctx, "bulrushcleat_peer_sent_bytes", NULL, (double)sent_bytes);
	bc_gauge_set(driver->ctx, "bulrushcleat_peer_received_bytes", NULL, (double)received_bytes);
	bc_gauge_set(driver->ctx, "bulrushcleat_caller_connections", NULL,
		     io_http_server_connections(driver->server));
	text = bc_metrics_text(driver->ctx);
	reply_text(http, 200, "text/plain; version=0.0.4", text ? text : "");
	free(text);
}

/* Serves the paths for operators and the load balancer; false if the path is none of them. */
static bool reply_operator_path(struct drv_driver *driver, struct io_http_request *http)
{
	const char *path = io_http_path(http);

	if (strcmp(path, "/healthz") == 0) {
		reply_text(http, 200, "text/plain", "ok\n");
		return true;
	}
	if (strcmp(path, "/readyz") == 0) {
		bool ready = nod_ready(driver->node);

		reply_text(http, ready ? 200 : 503, "text/plain",
			   ready ? "ready\n" : "not ready\n");
		return true;
	}
	if (strcmp(path, "/metrics") == 0) {
		reply_metrics(driver, http);
		return true;
	}
	if (strcmp(path, "/v1/status") == 0) {
		io_http_reply_json(http, 200, NULL, nod_status(driver->node, io_now_us()));
		return true;
	}
	return false;
}

static void on_http_request(void *data, struct io_http_request *http)
{
	struct drv_driver *driver = data;
	struct nod_request request = {0};
	struct caller_request *caller_request;
	uint64_t id;

	if (reply_operator_path(driver, http))
		return;
	caller_request = calloc(1, sizeof(*caller_request));
	if (!caller_request) {
		reply_text(http, 503, "application/json", "{\"outcome\":\"not_run\"}");
		return;
	}
	id = ++driver->last_request_id;
	caller_request->id = id;
	caller_request->http = http;
	apr_hash_set(driver->requests, &caller_request->id, sizeof(caller_request->id),
		     caller_request);
	/* The analyzer does not see that the hash keeps caller_request. */
	request.method = io_http_method(http); /* NOLINT(clang-analyzer-unix.Malloc) */
	request.path = io_http_path(http);
	request.authorization = io_http_header(http, "Authorization");
	request.session_token = io_http_header(http, "Session-Token");
	request.idempotency_key = io_http_header(http, "Idempotency-Key");
	request.traceparent = io_http_header(http, "traceparent");
	request.request_id = io_http_header(http, "X-Request-Id");
	request.body = io_http_body(http, NULL);
	nod_request(driver->node, id, &request, (uint64_t)time(NULL), io_now_us());
}

static void on_reply(void *data, uint64_t request, const struct nod_reply *reply)
{
	struct drv_driver *driver = data;
	struct caller_request *caller_request =
		apr_hash_get(driver->requests, &request, sizeof(request));
	struct io_http_header headers[3] = {{NULL, NULL}};
	const char *id = json_string_value(json_object_get(reply->body, "request"));
	size_t count = 0;

	if (!caller_request)
		return;
	if (id)
		io_http_request_id_set(caller_request->http, id);
	apr_hash_set(driver->requests, &request, sizeof(request), NULL);
	if (reply->session_token)
		headers[count++] = (struct io_http_header){"Session-Token", reply->session_token};
	if (reply->traceparent)
		headers[count++] = (struct io_http_header){"traceparent", reply->traceparent};
	io_http_reply_json(caller_request->http, reply->status, headers, json_incref(reply->body));
	free(caller_request);
}

static void on_call_done(void *data, const struct io_http_result *result)
{
	static const enum nod_call_result node_ends[] = {NOD_CALL_ANSWERED, NOD_CALL_NOT_SENT,
							 NOD_CALL_LOST};
	struct call *call = data;
	struct drv_driver *driver = call->driver;
	struct nod_answer answer = {.result = node_ends[result->outcome],
				    .status = result->status,
				    .body = result->body};
	uint64_t id = call->id;

	apr_hash_set(driver->calls, &call->id, sizeof(call->id), NULL);
	free(call);
	nod_answer(driver->node, id, &answer, io_now_us());
}

static void on_call(void *data, const struct nod_call *node_call)
{
	struct drv_driver *driver = data;
	struct io_http_header headers[] = {
		{"X-Node", driver->settings.id},
		{node_call->traceparent ? "traceparent" : NULL, node_call->traceparent},
		{NULL, NULL}};
	struct call *call = calloc(1, sizeof(*call));
	char url[1024];

	if (!call)
		return;
	call->id = node_call->id;
	call->driver = driver;
	snprintf(url, sizeof(url), "http://%s%s", node_call->address, node_call->path);
	apr_hash_set(driver->calls, &call->id, sizeof(call->id), call);
	call->http = io_http_send(driver->client, node_call->method, url, headers, node_call->body,
				  node_call->timeout_us, on_call_done, call);
}

static void on_cancel(void *data, uint64_t id)
{
	struct drv_driver *driver = data;
	struct call *call = apr_hash_get(driver->calls, &id, sizeof(id));

	if (!call)
		return;
	apr_hash_set(driver->calls, &id, sizeof(id), NULL);
	io_http_cancel(call->http);
	free(call);
}

static void on_peer_send(void *data, const char *address, const struct wire_message *message)
{
	struct drv_driver *driver = data;

	io_peers_send(driver->peers, address, message);
}

static void on_peer_message(void *data, const char *peer, const struct wire_message *message)
{
	struct drv_driver *driver = data;

	nod_peer_message(driver->node, peer, message, io_now_us());
}

/* Ends the process once the last replies are sent, or the time of the drain is over. */
static void on_final_sends(void *data)
{
	struct drv_driver *driver = data;

	if (io_http_server_unsent(driver->server) && io_now_us() < driver->stop_us)
		io_timer_add(driver->loop, FINAL_SENDS_INTERVAL_US, on_final_sends, driver);
	else
		io_loop_stop(driver->loop);
}

/* Replies that the outcome is unknown: requests that the drain timeout cut off may have run. */
static void reply_to_unfinished(struct drv_driver *driver)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, driver->requests))) {
		struct caller_request *caller_request = apr_hash_this_val(it);
		const char *id = io_http_header(caller_request->http, "X-Request-Id");

		io_http_request_id_set(caller_request->http, id ? id : "-");
		apr_hash_set(driver->requests, &caller_request->id, sizeof(caller_request->id),
			     NULL);
		reply_text(caller_request->http, 503, "application/json",
			   "{\"outcome\":\"unknown\"}");
		free(caller_request);
	}
}

/* Refuses connections: one made at the end of the process would be closed without a reply. */
static void on_listening_end(void *data)
{
	struct drv_driver *driver = data;

	io_http_server_quiesce(driver->server);
	io_timer_add(driver->loop, LAST_REQUESTS_US, on_final_sends, driver);
}

static void on_reply_to_unfinished(void *data)
{
	struct drv_driver *driver = data;

	reply_to_unfinished(driver);
	io_timer_add(driver->loop, FINAL_SENDS_US - LAST_REQUESTS_US, on_listening_end, driver);
}

static void on_stopped(void *data, uint32_t unfinished)
{
	struct drv_driver *driver = data;

	driver->cut_off = unfinished;
	/* Deferred, since the last request may be ending, and its reply follows. */
	io_timer_add(driver->loop, 0, on_reply_to_unfinished, driver);
}

static void on_tick(void *data)
{
	struct drv_driver *driver = data;

	nod_tick(driver->node, io_now_us());
	driver->tick_timer = io_timer_add(driver->loop, NOD_TICK_US, on_tick, driver);
}

static void on_terminate(void *data)
{
	struct drv_driver *driver = data;

	if (!driver->stop_us)
		driver->stop_us = io_now_us() + driver->settings.drain_timeout_ms * BC_US_PER_MS +
				  FINAL_SENDS_US;
	io_http_server_close_after_replies(driver->server);
	nod_drain(driver->node, io_now_us());
}

/* Settings are read at the start only. Without a handler a hangup would end the process at once. */
static void on_hangup(void *data)
{
	struct drv_driver *driver = data;

	bc_log(driver->ctx, BC_LOG_INFO, "hangup_ignored", "{}");
}

static uint64_t incarnation_now(void)
{
	/* A restarted process needs a greater incarnation than its predecessor had. */
	return (uint64_t)time(NULL);
}

/* Limits what is held for callers, as the settings have it. */
static enum bc_status limit_memory(struct drv_driver *driver)
{
	const struct cfg_settings *settings = &driver->settings;
	uint64_t memory_bytes = settings->memory_mb ? settings->memory_mb * BYTES_PER_MB
						    : io_memory_machine_bytes();
	struct bud_limits limits;

	bud_limits_default(settings->budget_mb ? settings->budget_mb * BYTES_PER_MB
					       : bud_default_bytes(memory_bytes),
			   &limits);
	limits.transfer_us = settings->transfer_ms * BC_US_PER_MS;
	limits.transfer_bytes_per_s = settings->transfer_bytes_per_s;
	limits.startup_us = STARTUP_US;
	limits.startup_max = UINT32_MAX;
	limits.connections_max = settings->max_caller_connections;
	return io_http_server_limit(driver->server, &limits);
}

static bool open_sockets(struct drv_driver *driver, const void *fleet_key, size_t key_bytes)
{
	const struct cfg_settings *settings = &driver->settings;
	uint64_t wanted = (uint64_t)settings->max_caller_connections + RESERVED_DESCRIPTORS;
	uint64_t file_limit = io_fd_limit_raise(wanted);

	if (file_limit < wanted) {
		bc_fail(driver->ctx, BC_ELIMIT,
			"max_caller_connections needs %llu open files, the limit is %llu",
			(unsigned long long)wanted, (unsigned long long)file_limit);
		return false;
	}
	driver->loop = io_loop_create(driver->ctx);
	if (!driver->loop)
		return false;
	/* Before anything listens, so that a signal never ends the process without a drain. */
	io_loop_on_signal(driver->loop, SIGTERM, on_terminate, driver);
	io_loop_on_signal(driver->loop, SIGINT, on_terminate, driver);
	io_loop_on_signal(driver->loop, SIGHUP, on_hangup, driver);
	driver->client = io_http_client_create(driver->ctx, driver->loop);
	driver->server =
		io_http_server_create(driver->ctx, driver->loop, settings->listen_callers,
				      settings->max_caller_connections, on_http_request, driver);
	if (!driver->client || !driver->server || limit_memory(driver) != BC_OK ||
	    io_http_client_bind(driver->client, settings->listen_callers) != BC_OK)
		return false;
	driver->peers =
		io_peers_create(driver->ctx, driver->loop, settings->id, settings->listen_peers,
				fleet_key, key_bytes, on_peer_message, driver);
	if (!driver->peers)
		return false;
	io_peers_set_budget(driver->peers, io_budget_state(io_http_server_budget(driver->server)));
	return true;
}

/* Opens all sockets and creates the node. NULL with the last message set if that fails. */
struct drv_driver *drv_create(struct bc_ctx *ctx, const struct cfg_settings *settings,
			      struct ses_keyring *ring, const void *fleet_key, size_t key_bytes)
{
	struct drv_driver *driver = calloc(1, sizeof(*driver));
	struct nod_callbacks ports = {
		.callers = {on_reply},
		.endpoints = {on_call, on_cancel},
		.platform = {on_call, on_cancel},
		.peers = {on_peer_send},
		.stopped = on_stopped,
		.data = driver,
	};

	if (!driver)
		return NULL;
	driver->ctx = ctx;
	driver->settings = *settings;
	apr_pool_create(&driver->pool, NULL);
	driver->calls = apr_hash_make(driver->pool);
	driver->requests = apr_hash_make(driver->pool);
	if (open_sockets(driver, fleet_key, key_bytes))
		driver->node =
			nod_create(ctx, settings, ring, incarnation_now(), &ports, io_now_us());
	if (!driver->node) {
		drv_destroy(driver);
		return NULL;
	}
	return driver;
}

static void free_values(apr_hash_t *hash)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, hash); it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		free(value);
	}
}

/* Closes all sockets and frees the driver. NULL is allowed. */
void drv_destroy(struct drv_driver *driver)
{
	if (!driver)
		return;
	reply_to_unfinished(driver);
	nod_destroy(driver->node);
	io_http_client_destroy(driver->client);
	io_peers_destroy(driver->peers);
	io_http_server_destroy(driver->server);
	io_timer_cancel(driver->tick_timer);
	io_loop_destroy(driver->loop);
	free_values(driver->calls);
	free_values(driver->requests);
	apr_pool_destroy(driver->pool);
	free(driver);
}

/* Serves until drained. False if the drain timeout cut off requests. */
bool drv_run(struct drv_driver *driver)
{
	bc_log(driver->ctx, BC_LOG_INFO, "started", "{s:s,s:s,s:s}", "id", driver->settings.id,
	       "callers", driver->settings.listen_callers, "peers", driver->settings.listen_peers);
	on_tick(driver);
	io_loop_run(driver->loop);
	bc_log(driver->ctx, BC_LOG_INFO, "stopped", "{s:i}", "cut_off", (int)driver->cut_off);
	return driver->cut_off == 0;
}
