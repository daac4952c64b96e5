#ifndef BC_IO_H
#define BC_IO_H

/*
 * I/O: event loop, HTTP server and client, logging. Used by the daemons, the test servers in
 * standin/ and the command-line tool, but not by the modules that contain the decision logic.
 */

#include "core/core.h"

#include <netinet/in.h>
#include <signal.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Parses an IPv4 "IP:PORT"; port 0 is valid. False if it is malformed. */
bool io_address_parse(const char *text, struct sockaddr_in *out);

/* --- Event loop: one thread, APR pollset --- */

struct io_loop;
struct io_watch;
struct io_timer;

#define IO_READ 1U
#define IO_WRITE 2U

typedef void (*io_fd_fn)(void *data, int fd, uint32_t events);
typedef void (*io_callback_fn)(void *data);

uint64_t io_now_us(void);
struct io_loop *io_loop_create(struct bc_ctx *ctx);
void io_loop_destroy(struct io_loop *loop);
struct io_watch *io_watch_add(struct io_loop *loop, int fd, uint32_t events, io_fd_fn fn,
			      void *data);
void io_watch_set(struct io_watch *watch, uint32_t events);
void io_watch_remove(struct io_watch *watch);
/* Calls fn once after delay_us. The handle is invalid once fn is called. */
struct io_timer *io_timer_add(struct io_loop *loop, uint64_t delay_us, io_callback_fn fn,
			      void *data);
void io_timer_cancel(struct io_timer *timer);
/* Calls fn at the end of every iteration of the loop, for batched work. */
void io_loop_on_iteration(struct io_loop *loop, io_callback_fn fn, void *data);
enum bc_status io_loop_on_signal(struct io_loop *loop, int signal_number, io_callback_fn fn,
				 void *data);
void io_loop_run(struct io_loop *loop);
void io_loop_stop(struct io_loop *loop);

/* --- HTTP/1.1 server: libmicrohttpd --- */

struct io_http_server;
struct io_http_request;

struct io_http_header {
	const char *name;
	const char *value;
};

/* Called with the complete request. io_http_reply() must be called once, now or later. */
typedef void (*io_http_handler)(void *data, struct io_http_request *request);

#define IO_HTTP_BODY_MAX_BYTES (1024U * 1024U)

/* `address` is "IP:PORT"; port 0 selects a free one, see io_http_server_port(). */
struct io_http_server *io_http_server_create(struct bc_ctx *ctx, struct io_loop *loop,
					     const char *address, uint32_t max_connections,
					     io_http_handler handler, void *data);
void io_http_server_destroy(struct io_http_server *server);
struct bud_limits;
struct io_budget;
/* Counts what is held for callers in a budget. Called before the loop runs. */
enum bc_status io_http_server_limit(struct io_http_server *server, const struct bud_limits *limits);
/* The budget, or NULL. */
struct io_budget *io_http_server_budget(struct io_http_server *server);
uint16_t io_http_server_port(const struct io_http_server *server);
uint32_t io_http_server_connections(const struct io_http_server *server);
/* Returns the number of replies that have not been sent completely. */
uint32_t io_http_server_unsent(const struct io_http_server *server);
/* Closes the listening socket; connections made before are still served. */
void io_http_server_quiesce(struct io_http_server *server);
/* Makes each later reply end its connection, unless a further request has arrived on it. */
void io_http_server_close_after_replies(struct io_http_server *server);
const char *io_http_method(const struct io_http_request *request);
const char *io_http_path(const struct io_http_request *request);
/* Return a header or query parameter, or NULL. */
const char *io_http_header(const struct io_http_request *request, const char *name);
const char *io_http_query(const struct io_http_request *request, const char *name);
/* Returns the body, NUL-terminated, never NULL. */
const char *io_http_body(const struct io_http_request *request, size_t *length_bytes);
/*
 * Sets the request's id. If its caller does not get the whole reply, that is logged with this id
 * and counted; requests without an id are not.
 */
void io_http_request_id_set(struct io_http_request *request, const char *id);
/* Sends a response. `headers` ends with a NULL name or is NULL. Invalidates the request. */
void io_http_reply(struct io_http_request *request, uint32_t status,
		   const struct io_http_header *headers, const char *body);
/* Sends a JSON response and drops the reference to `body`. */
void io_http_reply_json(struct io_http_request *request, uint32_t status,
			const struct io_http_header *headers, json_t *body);

/* --- HTTP/1.1 client: libcurl's multi interface --- */

struct io_http_client;
struct io_http_call;

enum io_http_outcome {
	IO_HTTP_COMPLETE,   /* the complete response has arrived */
	IO_HTTP_NOT_SENT,   /* nothing can have reached the server */
	IO_HTTP_INCOMPLETE, /* sent, at least in part, without a complete response */
};

struct io_http_result {
	enum io_http_outcome outcome;
	uint32_t status;
	const char *body; /* NUL-terminated; valid during the callback */
	size_t body_bytes;
	const char *error; /* libcurl's message, empty on success */
	struct io_http_call *call;
};

typedef void (*io_http_done_fn)(void *data, const struct io_http_result *result);

struct io_http_client *io_http_client_create(struct bc_ctx *ctx, struct io_loop *loop);
void io_http_client_destroy(struct io_http_client *client);
/*
 * Opens a new connection for every request. libcurl resends a request only when a reused connection
 * turns out to be closed, so this client sends each request at most once.
 */
void io_http_client_disable_reuse(struct io_http_client *client);
/* Sets the connect timeout; the default is 1 s. */
void io_http_client_set_connect_timeout(struct io_http_client *client, uint64_t connect_timeout_us);
/* Lets a response that has begun exceed its timeout, with pauses of up to stall_timeout_us. */
void io_http_client_set_stall_timeout(struct io_http_client *client, uint64_t stall_timeout_us);
/*
 * Closes connections that were idle for longer than idle_s seconds instead of using them again:
 * they may have fallen silent, which costs the next call its timeout. The default is 118 s.
 */
void io_http_client_set_idle_limit(struct io_http_client *client, uint32_t idle_s);
/* Sets the source IP from `address`, "IP:PORT" or "IP"; a wildcard address has no effect. */
enum bc_status io_http_client_bind(struct io_http_client *client, const char *address);
/*
 * Sends a request; `body` may be NULL. libcurl may resend a request when a reused connection turns
 * out to be closed, so a request that must not run twice carries an id that the server checks.
 */
struct io_http_call *io_http_send(struct io_http_client *client, const char *method,
				  const char *url, const struct io_http_header *headers,
				  const char *body, uint64_t timeout_us, io_http_done_fn done,
				  void *data);
/*
 * Percent-encodes a text for a path segment or a query value of a URL. Returns the length that the
 * whole result has; what does not fit into `bytes` is cut off.
 */
size_t io_http_escape(char *out, size_t bytes, const char *text);
/* Returns a header of the response, or NULL; valid during the callback. */
const char *io_http_result_header(const struct io_http_result *result, const char *name);
/* Cancels a call; its callback is not invoked. */
void io_http_cancel(struct io_http_call *call);

/* --- Logging: log4c, JSON lines on stderr --- */

/* Sends the context's log events to log4c. Events below `level` are discarded. */
enum bc_status io_log_open(struct bc_ctx *ctx, enum bc_log_level level, const char *program);
/*
 * Sends the log to standard output instead, at most lines_per_s lines a second on average. Writing
 * never blocks: lines that exceed the rate or the buffer are dropped, and their number is logged
 * when there is room again.
 */
enum bc_status io_log_limit_rate(struct bc_ctx *ctx, uint32_t lines_per_s);
void io_log_close(void);

/* Reads a small file (a secret, a list) into a NUL-terminated buffer to be freed with free(). */
enum bc_status io_file_read(struct bc_ctx *ctx, const char *path, size_t max_bytes, char **out,
			    size_t *length_bytes);
/* Raises the soft limit on open files, at most to the hard limit; returns the new limit. */
uint64_t io_fd_limit_raise(uint64_t wanted);

#ifdef __cplusplus
}
#endif

#endif
