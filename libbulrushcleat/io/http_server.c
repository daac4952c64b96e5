#include "io/io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_TIMEOUT_S 300U
/* Limits the accepting of connections that wait, if they come as fast as they are accepted. */
#define QUIESCE_RUNS_MAX 1000U
#define CONNECTION_MEMORY_BYTES ((size_t)16 * 1024)

struct io_http_server {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct MHD_Daemon *daemon;
	struct io_watch *watch;
	struct io_timer *timer;
	io_http_handler handler;
	void *data;
	uint16_t port;
	uint32_t unsent;  /* replies that have not been sent completely */
	bool run_pending; /* a connection was resumed: MHD_run() must be called */
	bool quiesced;
	bool closing; /* each reply ends its connection */
};

struct io_http_request {
	struct io_http_server *server;
	struct MHD_Connection *connection;
	const char *method;
	char *path;
	char *body;
	size_t body_bytes;
	size_t body_capacity;
	bool too_large;
	bool dispatched; /* passed to the handler; the connection is suspended */
	bool replied;
	/* Of the connection when the reply was made, see caller_state_note(). */
	bool caller_ended;
	bool connection_lost;
	bool more_arrived;
	struct MHD_Response *response;
	uint32_t status;
	uint64_t dispatched_us;
	char id[BC_ID_BYTES]; /* for the log; empty: the request's end is not logged */
};

static void run_daemon(struct io_http_server *server);

static enum MHD_Result append_body(struct io_http_request *request, const char *data, size_t bytes)
{
	size_t wanted = request->body_bytes + bytes + 1;

	if (wanted > IO_HTTP_BODY_MAX_BYTES + 1) {
		request->too_large = true;
		return MHD_YES;
	}
	if (wanted > request->body_capacity) {
		size_t size = wanted < 512 ? 512 : 2 * wanted;
		char *body = realloc(request->body, size);

		if (!body)
			return MHD_NO;
		request->body = body;
		request->body_capacity = size;
	}
	memcpy(request->body + request->body_bytes, data, bytes);
	request->body_bytes += bytes;
	request->body[request->body_bytes] = '\0';
	return MHD_YES;
}

static enum MHD_Result queue_response(struct io_http_request *request)
{
	enum MHD_Result result;

	/* On a close with unread input the kernel drops what it has not sent of the reply. */
	if (request->server->closing && !request->more_arrived)
		MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(request->connection, request->status, request->response);
	MHD_destroy_response(request->response);
	request->response = NULL;
	return result;
}

static struct io_http_request *new_request(struct io_http_server *server,
					   struct MHD_Connection *connection, const char *url,
					   const char *method)
{
	struct io_http_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->server = server;
	request->connection = connection;
	request->method = method;
	request->path = strdup(url);
	return request;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *upload_data,
				  size_t *upload_data_size, void **con_cls)
{
	struct io_http_server *server = cls;
	struct io_http_request *request = *con_cls;

	(void)version;
	if (!request) {
		*con_cls = new_request(server, connection, url, method);
		return *con_cls ? MHD_YES : MHD_NO;
	}
	if (*upload_data_size) {
		enum MHD_Result result = append_body(request, upload_data, *upload_data_size);

		*upload_data_size = 0;
		return result;
	}
	if (request->response)
		return queue_response(request);
	if (request->dispatched)
		return MHD_YES;
	request->dispatched = true;
	request->dispatched_us = io_now_us();
	MHD_suspend_connection(connection);
	if (request->too_large)
		io_http_reply(request, MHD_HTTP_CONTENT_TOO_LARGE, NULL,
			      "{\"error\":{\"code\":\"body_too_large\","
			      "\"message\":\"the body exceeds 1 MiB\"},\"outcome\":\"not_run\"}");
	else
		server->handler(server->data, request);
	return MHD_YES;
}

/* Why a caller may not have the whole reply, for the log; NULL if it has. */
static const char *unanswered_reason(const struct io_http_request *request,
				     enum MHD_RequestTerminationCode code)
{
	static const char *const reasons[] = {
		[MHD_REQUEST_TERMINATED_WITH_ERROR] = "error",
		[MHD_REQUEST_TERMINATED_TIMEOUT_REACHED] = "timeout",
		[MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN] = "stopped",
		[MHD_REQUEST_TERMINATED_READ_ERROR] = "closed_by_caller",
		[MHD_REQUEST_TERMINATED_CLIENT_ABORT] = "closed_by_caller",
	};

	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		return request->caller_ended ? "closed_by_caller" : NULL;
	if (request->connection_lost)
		return "connection_lost";
	if ((size_t)code >= sizeof(reasons) / sizeof(reasons[0]))
		return "error";
	return reasons[code];
}

/* Logs and counts a request whose connection ended before its caller had the whole reply. */
static void log_unanswered(const struct io_http_request *request,
			   enum MHD_RequestTerminationCode code)
{
	struct bc_ctx *ctx = request->server->ctx;
	const char *reason = unanswered_reason(request, code);
	bool waiting = request->response || request->connection_lost;
	const char *step = waiting ? "waiting" : "sending";
	char labels[64];

	if (!reason || !request->id[0])
		return;
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		step = "sent";
	snprintf(labels, sizeof(labels), "reason=\"%s\",step=\"%s\"", reason, step);
	bc_counter_add(ctx, "bulrushcleat_requests_unanswered_total", labels, 1);
	bc_log(ctx, BC_LOG_WARN, "request_unanswered", "{s:s,s:s,s:s,s:i,s:I}", "id", request->id,
	       "reason", reason, "step", step, "status", (int)request->status, "took_us",
	       (json_int_t)(io_now_us() - request->dispatched_us));
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct io_http_request *request = *con_cls;

	(void)cls;
	(void)connection;
	if (!request)
		return;
	log_unanswered(request, code);
	if (request->replied)
		request->server->unsent--;
	if (request->response)
		MHD_destroy_response(request->response);
	free(request->path);
	free(request->body);
	free(request);
	*con_cls = NULL;
}

static void on_timer(void *data)
{
	struct io_http_server *server = data;

	server->timer = NULL;
	run_daemon(server);
}

static void run_daemon(struct io_http_server *server)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	do {
		server->run_pending = false;
		MHD_run(server->daemon);
	} while (server->run_pending);
	io_timer_cancel(server->timer);
	server->timer = NULL;
	if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES)
		server->timer = io_timer_add(server->loop, (uint64_t)timeout_ms * BC_US_PER_MS,
					     on_timer, server);
}

static void on_readable(void *data, int fd, uint32_t events)
{
	(void)fd;
	(void)events;
	run_daemon(data);
}

static void on_iteration_end(void *data)
{
	struct io_http_server *server = data;

	if (server->daemon && server->run_pending)
		run_daemon(server);
}

/* Starts a server, or returns NULL with the last message set. */
struct io_http_server *io_http_server_create(struct bc_ctx *ctx, struct io_loop *loop,
					     const char *address, uint32_t max_connections,
					     io_http_handler handler, void *data)
{
	struct io_http_server *server;
	const union MHD_DaemonInfo *info;
	struct sockaddr_in sin = {0};

	if (!io_address_parse(address, &sin)) {
		bc_fail(ctx, BC_EINVAL, "address %s is not IP:PORT", address);
		return NULL;
	}
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	server->ctx = ctx;
	server->loop = loop;
	server->handler = handler;
	server->data = data;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ntohs(sin.sin_port), NULL, NULL,
		on_request, server, MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)max_connections, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_END);
	if (!server->daemon) {
		bc_fail(ctx, BC_EIO, "cannot listen on %s", address);
		free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
	server->port = info ? info->port : ntohs(sin.sin_port);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->watch = io_watch_add(loop, info->epoll_fd, IO_READ, on_readable, server);
	io_loop_on_iteration(loop, on_iteration_end, server);
	return server;
}

/* Closes all connections and frees the server. NULL is allowed. Call it after io_loop_run(). */
void io_http_server_destroy(struct io_http_server *server)
{
	struct MHD_Daemon *daemon;

	if (!server)
		return;
	io_watch_remove(server->watch);
	io_timer_cancel(server->timer);
	daemon = server->daemon;
	server->daemon = NULL;
	MHD_stop_daemon(daemon);
	free(server);
}

/* Returns the listening port. */
uint16_t io_http_server_port(const struct io_http_server *server)
{
	return server->port;
}

/* Returns the number of open connections. */
uint32_t io_http_server_connections(const struct io_http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

/* Returns the number of replies that the kernel has not accepted completely. */
uint32_t io_http_server_unsent(const struct io_http_server *server)
{
	return server->unsent;
}

/* Whether a connection waits to be accepted. */
static bool has_backlog(const struct io_http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd listener = {.events = POLLIN};

	if (!info)
		return false;
	listener.fd = info->listen_fd;
	return poll(&listener, 1, 0) == 1;
}

/*
 * Accepts the connections that wait, and closes the listening socket: further ones are refused by
 * the kernel. Open connections are still served.
 */
void io_http_server_quiesce(struct io_http_server *server)
{
	uint32_t runs;
	int listen_fd;

	if (server->quiesced)
		return;
	server->quiesced = true;
	/* Each run accepts a few. At the limit of connections none is accepted. */
	for (runs = 0; runs < QUIESCE_RUNS_MAX && has_backlog(server); runs++)
		MHD_run(server->daemon);
	listen_fd = MHD_quiesce_daemon(server->daemon);
	if (listen_fd >= 0)
		close(listen_fd);
	server->run_pending = true;
}

/*
 * From now on each reply announces that its connection closes, and closes it, unless a further
 * request has arrived on it: that one gets its own reply.
 */
void io_http_server_close_after_replies(struct io_http_server *server)
{
	server->closing = true;
}

const char *io_http_method(const struct io_http_request *request)
{
	return request->method;
}

/* Returns the path without the query. */
const char *io_http_path(const struct io_http_request *request)
{
	return request->path;
}

/* Returns a header's value, or NULL. */
const char *io_http_header(const struct io_http_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);
}

/* Returns a query parameter's value, or NULL. */
const char *io_http_query(const struct io_http_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the body, NUL-terminated, never NULL. */
const char *io_http_body(const struct io_http_request *request, size_t *length_bytes)
{
	if (length_bytes)
		*length_bytes = request->body_bytes;
	return request->body ? request->body : "";
}

/* Sets the id with which the log names the request if its caller does not get the whole reply. */
void io_http_request_id_set(struct io_http_request *request, const char *id)
{
	snprintf(request->id, sizeof(request->id), "%s", id);
}

/*
 * Notes what is known of the caller when the reply is made: it has sent more, it has closed its
 * direction and sent nothing more, or the connection is lost.
 */
static void caller_state_note(struct io_http_request *request)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	ssize_t got;
	char byte;

	if (!info)
		return;
	got = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	request->caller_ended = got == 0;
	request->more_arrived = got > 0;
	request->connection_lost = got < 0 && errno != EAGAIN && errno != EINTR;
}

/* Queues the response, which is sent at the end of this loop iteration. */
void io_http_reply(struct io_http_request *request, uint32_t status,
		   const struct io_http_header *headers, const char *body)
{
	if (request->replied)
		return;
	request->replied = true;
	request->server->unsent++;
	request->status = status;
	caller_state_note(request);
	request->response = MHD_create_response_from_buffer(strlen(body), (void *)(uintptr_t)body,
							    MHD_RESPMEM_MUST_COPY);
	if (headers)
		for (; headers->name; headers++)
			MHD_add_response_header(request->response, headers->name, headers->value);
	MHD_resume_connection(request->connection);
	request->server->run_pending = true;
}

/* Sends a JSON response and drops the reference to `body`. */
void io_http_reply_json(struct io_http_request *request, uint32_t status,
			const struct io_http_header *headers, json_t *body)
{
	struct io_http_header with_type[8] = {{"Content-Type", "application/json"}};
	char *text = json_dumps(body, JSON_COMPACT);
	size_t count = 1;

	for (; headers && headers->name && count < 7; headers++)
		with_type[count++] = *headers;
	io_http_reply(request, status, with_type, text ? text : "{}");
	free(text);
	json_decref(body);
}
