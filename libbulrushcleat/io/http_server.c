#include "io/io.h"
#include "io/io_budget.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <linux/tcp.h>
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
/* Of a connection in the budget: libmicrohttpd's memory, the socket and the request. */
#define CONNECTION_OVERHEAD_BYTES (CONNECTION_MEMORY_BYTES + (size_t)8 * 1024)
/* A larger body grows by a quarter, a smaller one to twice the size. */
#define LARGE_BODY_BYTES ((size_t)64 * 1024)
/* Of a body: its parsed document, the statement and the call to the endpoint. */
#define BODY_COPIES 3U
#define RETRY_AFTER_S "1"

struct io_http_server {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct MHD_Daemon *daemon;
	struct io_watch *watch;
	struct io_timer *timer;
	io_http_handler handler;
	void *data;
	struct io_budget *budget; /* NULL: what is held is not limited */
	uint16_t port;
	uint32_t unsent;  /* replies that have not been sent completely */
	bool run_pending; /* a connection was resumed: MHD_run() must be called */
	bool quiesced;
	bool closing; /* each reply ends its connection */
};

/* A caller's connection in the budget. */
struct http_connection {
	struct io_http_server *server;
	struct bud_holder *holder;
	struct io_sample sample; /* of the reply */
	int fd;
	uint64_t reply_start_bytes; /* acknowledged before the reply */
	struct io_http_request *request;
};

struct io_http_request {
	struct io_http_server *server;
	struct http_connection *budgeted; /* NULL: no budget */
	uint64_t received_bytes;	  /* of the body, also if it is dropped */
	bool over_budget;		  /* the body is dropped */
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

/* Counts the bytes that a request has for one use. */
static void count_bytes(const struct io_http_request *request, enum bud_use use, uint64_t bytes)
{
	if (request->budgeted)
		bud_set(request->budgeted->holder, use, bytes);
}

static void drop_body(struct io_http_request *request)
{
	free(request->body);
	request->body = NULL;
	request->body_bytes = 0;
	request->body_capacity = 0;
	count_bytes(request, BUD_INPUT, 0);
}

/* Drops the body of a request that the budget does not admit; the request is refused at its end. */
static void refuse_body(struct io_http_request *request, uint64_t bytes)
{
	struct bc_ctx *ctx = request->server->ctx;

	request->over_budget = true;
	bc_counter_add(ctx, "bulrushcleat_budget_refused_total", "what=\"body\"", 1);
	bc_log(ctx, BC_LOG_WARN, "budget_refused", "{s:s,s:I,s:I,s:I}", "what", "body", "bytes",
	       (json_int_t)bytes, "received_bytes", (json_int_t)request->received_bytes,
	       "held_bytes", (json_int_t)bud_total_bytes(io_budget_state(request->server->budget)));
	drop_body(request);
}

static enum MHD_Result append_body(struct io_http_request *request, const char *data, size_t bytes)
{
	size_t wanted = request->body_bytes + bytes + 1;

	request->received_bytes += bytes;
	if (request->budgeted)
		bud_transfer_moved(request->budgeted->holder, BUD_MESSAGE, request->received_bytes,
				   io_now_us());
	if (request->too_large || request->over_budget)
		return MHD_YES;
	if (wanted > IO_HTTP_BODY_MAX_BYTES + 1) {
		request->too_large = true;
		drop_body(request);
		return MHD_YES;
	}
	if (wanted > request->body_capacity) {
		size_t size = wanted < LARGE_BODY_BYTES ? 2 * wanted : wanted + wanted / 4;
		char *body;

		if (request->budgeted &&
		    !bud_may_read(request->budgeted->holder, size - request->body_capacity)) {
			refuse_body(request, size);
			return MHD_YES;
		}
		body = realloc(request->body, size);
		if (!body)
			return MHD_NO;
		request->body = body;
		request->body_capacity = size;
		count_bytes(request, BUD_INPUT, size);
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
	if (server->budget) {
		const union MHD_ConnectionInfo *info =
			MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

		request->budgeted = info ? info->socket_context : NULL;
	}
	if (request->budgeted) {
		request->budgeted->request = request;
		bud_started(request->budgeted->holder);
		bud_transfer_moved(request->budgeted->holder, BUD_MESSAGE, 0, io_now_us());
	}
	return request;
}

/* Whether the budget admits the copies of the body with which the request is handled. */
static bool budget_admits_request(struct io_http_request *request)
{
	uint64_t bytes = BODY_COPIES * (uint64_t)request->body_bytes;

	if (!request->budgeted)
		return true;
	bud_transfer_end(request->budgeted->holder, BUD_MESSAGE);
	if (!request->over_budget && !bud_admits(request->budgeted->holder, bytes))
		refuse_body(request, bytes);
	if (request->over_budget)
		return false;
	count_bytes(request, BUD_STATEMENT, bytes);
	return true;
}

static void reply_over_budget(struct io_http_request *request)
{
	static const struct io_http_header headers[] = {
		{"Content-Type", "application/json"}, {"Retry-After", RETRY_AFTER_S}, {NULL, NULL}};

	io_http_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, headers,
		      "{\"outcome\":\"not_run\",\"error\":{\"code\":\"over_limit\","
		      "\"message\":\"the proxy's memory for callers is in use\"}}");
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *upload_data,
				  size_t *upload_data_size, void **con_cls)
{
	struct io_http_server *server = cls;
	struct io_http_request *request = *con_cls;
	bool admitted;

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
	admitted = budget_admits_request(request);
	MHD_suspend_connection(connection);
	if (request->too_large)
		io_http_reply(request, MHD_HTTP_CONTENT_TOO_LARGE, NULL,
			      "{\"error\":{\"code\":\"body_too_large\","
			      "\"message\":\"the body exceeds 1 MiB\"},\"outcome\":\"not_run\"}");
	else if (!admitted)
		reply_over_budget(request);
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
	if (request->budgeted) {
		count_bytes(request, BUD_INPUT, 0);
		count_bytes(request, BUD_STATEMENT, 0);
		count_bytes(request, BUD_OUTPUT, 0);
		bud_transfer_end(request->budgeted->holder, BUD_MESSAGE);
		bud_transfer_end(request->budgeted->holder, BUD_ANSWER);
		io_budget_sample_remove(request->server->budget, &request->budgeted->sample);
		request->budgeted->request = NULL;
	}
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
	if (server->budget)
		io_budget_run(server->budget);
}

/* The bytes of a connection that its peer's host has acknowledged. */
static uint64_t acknowledged_bytes(const struct http_connection *connection)
{
	struct tcp_info info = {0};
	socklen_t length = sizeof(info);

	if (getsockopt(connection->fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
		return connection->reply_start_bytes;
	return info.tcpi_bytes_acked;
}

/* Measures how fast a reply is read, until it is sent. */
static bool on_measure(void *data, uint64_t now_us)
{
	struct http_connection *connection = data;
	uint64_t acknowledged = acknowledged_bytes(connection);

	bud_transfer_moved(connection->holder, BUD_ANSWER,
			   acknowledged - connection->reply_start_bytes, now_us);
	return true;
}

/* Refuses a connection for which the budget has no room. */
static enum MHD_Result on_accept(void *cls, const struct sockaddr *address, socklen_t length)
{
	struct io_http_server *server = cls;
	struct bud_holder *oldest;
	const char *reason;

	(void)address;
	(void)length;
	if (!server->budget ||
	    bud_accept(io_budget_state(server->budget), CONNECTION_OVERHEAD_BYTES, io_now_us(),
		       &oldest, &reason) != BUD_REFUSED ||
	    strcmp(reason, "memory") != 0)
		return MHD_YES;
	bc_counter_add(server->ctx, "bulrushcleat_callers_refused_total", "reason=\"memory\"", 1);
	bc_log(server->ctx, BC_LOG_WARN, "callers_refused", "{s:s,s:i}", "reason", reason,
	       "connections", (int)bud_connections(io_budget_state(server->budget)));
	return MHD_NO;
}

/* Logs a connection that the budget closes, and ends it; libmicrohttpd then closes it. */
static void on_budget_close(void *data, void *holder_data, const char *reason)
{
	struct io_http_server *server = data;
	struct http_connection *connection = holder_data;
	struct io_http_request *request = connection->request;
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	char ip[BC_ADDRESS_BYTES] = "";
	char labels[64];

	if (getpeername(connection->fd, (struct sockaddr *)&address, &length) == 0)
		inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	bc_counter_add(server->ctx, "bulrushcleat_callers_closed_total", labels, 1);
	bc_log(server->ctx, BC_LOG_WARN, "caller_closed", "{s:s,s:s,s:I,s:I,s:I}", "reason", reason,
	       "ip", ip, "input_bytes", (json_int_t)bud_bytes(connection->holder, BUD_INPUT),
	       "output_bytes", (json_int_t)bud_bytes(connection->holder, BUD_OUTPUT), "held_bytes",
	       (json_int_t)bud_total_bytes(io_budget_state(server->budget)));
	shutdown(connection->fd, SHUT_RDWR);
	/* What is left is freed when libmicrohttpd reports the end of the request. */
	if (request && !request->dispatched) {
		request->over_budget = true;
		drop_body(request);
	}
	bud_set(connection->holder, BUD_INPUT, 0);
	bud_set(connection->holder, BUD_STATEMENT, 0);
	bud_set(connection->holder, BUD_OUTPUT, 0);
	bud_transfer_end(connection->holder, BUD_MESSAGE);
	bud_transfer_end(connection->holder, BUD_ANSWER);
	io_budget_sample_remove(server->budget, &connection->sample);
	bud_started(connection->holder);
}

/* The next request of the connection is read again. */
static void on_budget_resume(void *data, void *holder_data)
{
	(void)data;
	(void)holder_data;
}

/* At the limit of connections, the oldest one that has sent no request is closed for others. */
static void make_room(struct io_http_server *server)
{
	struct bud_holder *oldest;
	const char *reason;

	if (bud_accept(io_budget_state(server->budget), 0, io_now_us(), &oldest, &reason) ==
	    BUD_REPLACE)
		on_budget_close(server, bud_data(oldest), "silent");
}

/* Counts a connection from its start to its end. */
static void on_connection(void *cls, struct MHD_Connection *mhd_connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct io_http_server *server = cls;
	struct http_connection *connection = *context;
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!server->budget)
		return;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (connection) {
			io_budget_sample_remove(server->budget, &connection->sample);
			bud_remove(connection->holder);
		}
		free(connection);
		*context = NULL;
		return;
	}
	connection = calloc(1, sizeof(*connection));
	if (!connection || !info) {
		free(connection);
		return;
	}
	connection->server = server;
	connection->fd = info->connect_fd;
	connection->sample.measure = on_measure;
	connection->sample.data = connection;
	connection->holder = bud_add(io_budget_state(server->budget), true,
				     CONNECTION_OVERHEAD_BYTES, connection, io_now_us());
	if (!connection->holder) {
		free(connection);
		return;
	}
	*context = connection;
	make_room(server);
}

/* Counts what is held for callers in a budget. */
enum bc_status io_http_server_limit(struct io_http_server *server, const struct bud_limits *limits)
{
	static const struct io_budget_ops ops = {on_budget_close, on_budget_resume};

	server->budget = io_budget_create(server->ctx, server->loop, limits, &ops, server);
	return server->budget ? BC_OK : bc_fail(server->ctx, BC_ENOMEM, "out of memory");
}

/* The budget, or NULL. */
struct io_budget *io_http_server_budget(struct io_http_server *server)
{
	return server->budget;
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
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ntohs(sin.sin_port), on_accept, server,
		on_request, server, MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)max_connections, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_END);
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
	io_budget_destroy(server->budget);
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

/* Measures from now on how fast the reply is read. */
static void watch_reply(struct io_http_request *request, size_t bytes)
{
	struct http_connection *connection = request->budgeted;

	count_bytes(request, BUD_STATEMENT, 0);
	count_bytes(request, BUD_OUTPUT, bytes);
	if (!connection)
		return;
	connection->reply_start_bytes = acknowledged_bytes(connection);
	io_budget_sample_add(request->server->budget, &connection->sample);
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
	watch_reply(request, strlen(body));
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
