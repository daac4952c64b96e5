#include "io/io.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MS BC_US_PER_MS
#define CHUNKS 5U
#define CHUNK "0123456789"

/* A server that sends the response to one request in chunks. */
struct server {
	int fd;
	uint16_t port;
	uint32_t pause_ms; /* before each chunk */
	void *(*serve)(void *server);
	pthread_t thread;
};

static void *serve_in_chunks(void *data)
{
	struct server *server = data;
	int fd = accept(server->fd, NULL, NULL);
	char buffer[1024];
	uint32_t i;

	if (read(fd, buffer, sizeof(buffer)) <= 0)
		return NULL;
	i = (uint32_t)snprintf(buffer, sizeof(buffer),
			       "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			       CHUNKS * strlen(CHUNK));
	if (write(fd, buffer, i) < 0)
		return NULL;
	for (i = 0; i < CHUNKS; i++) {
		usleep(server->pause_ms * 1000);
		/* In some cases the client closes the connection early. */
		if (send(fd, CHUNK, strlen(CHUNK), MSG_NOSIGNAL) < 0)
			break;
	}
	close(fd);
	return NULL;
}

static bool server_start(struct server *server)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t length = sizeof(sin);

	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(server->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(server->fd, 8) != 0 ||
	    getsockname(server->fd, (struct sockaddr *)&sin, &length) != 0)
		return false;
	server->port = ntohs(sin.sin_port);
	return pthread_create(&server->thread, NULL, server->serve, server) == 0;
}

struct outcome {
	struct io_loop *loop;
	enum io_http_outcome end;
	size_t bytes;
	uint32_t count;
};

static void on_done(void *data, const struct io_http_result *result)
{
	struct outcome *outcome = data;

	outcome->end = result->outcome;
	outcome->bytes = result->body_bytes;
	outcome->count++;
	io_loop_stop(outcome->loop);
}

/*
 * Load pattern: many proxies read a large configuration over one link. Guards against a timeout of
 * a response that arrives slowly, and against waiting for one that has stalled.
 */
static void test_load_of_slow_answers(void)
{
	static const struct {
		const char *name;
		uint32_t pause_ms; /* between the chunks of the response */
		uint32_t timeout_ms;
		uint32_t stall_ms; /* 0: the timeout covers the whole response */
		enum io_http_outcome expected;
	} cases[] = {{"quick", 1, 2000, 0, IO_HTTP_COMPLETE},
		     {"slow, timeout for the whole response", 500, 1200, 0, IO_HTTP_INCOMPLETE},
		     {"slow, within the stall timeout", 500, 2000, 2000, IO_HTTP_COMPLETE},
		     {"stalled", 1000, 3000, 300, IO_HTTP_INCOMPLETE}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_ctx *ctx = bc_ctx_create(1);
		struct server server = {.pause_ms = cases[i].pause_ms, .serve = serve_in_chunks};
		struct outcome outcome = {.loop = io_loop_create(ctx)};
		struct io_http_client *client = io_http_client_create(ctx, outcome.loop);
		char url[64];

		CU_ASSERT_TRUE_FATAL(server_start(&server));
		if (cases[i].stall_ms)
			io_http_client_set_stall_timeout(client, cases[i].stall_ms * MS);
		snprintf(url, sizeof(url), "http://127.0.0.1:%u/", server.port);
		io_http_send(client, "GET", url, NULL, NULL, cases[i].timeout_ms * MS, on_done,
			     &outcome);
		io_loop_run(outcome.loop);
		if (outcome.end != cases[i].expected)
			printf("\n%s: %d\n", cases[i].name, (int)outcome.end);
		CU_ASSERT_EQUAL(outcome.end, cases[i].expected);
		if (cases[i].expected == IO_HTTP_COMPLETE)
			CU_ASSERT_EQUAL(outcome.bytes, CHUNKS * strlen(CHUNK));
		pthread_join(server.thread, NULL);
		close(server.fd);
		io_http_client_destroy(client);
		io_loop_destroy(outcome.loop);
		bc_ctx_destroy(ctx);
	}
}

/* Serves one request on each of two connections; the first one is silent after that. */
static void *serve_then_silent(void *data)
{
	static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	struct server *server = data;
	int fds[2] = {-1, -1};
	char buffer[1024];
	size_t i;

	for (i = 0; i < 2; i++) {
		fds[i] = accept(server->fd, NULL, NULL);
		if (read(fds[i], buffer, sizeof(buffer)) <= 0 ||
		    write(fds[i], response, sizeof(response) - 1) < 0)
			break;
	}
	for (i = 0; i < 2; i++)
		close(fds[i]);
	return NULL;
}

/*
 * Guards against a call on a connection that has fallen silent while it was idle: the call costs
 * its timeout, and the next one may find another such connection.
 */
static void test_idle_limit(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct server server = {.serve = serve_then_silent};
	struct outcome outcome = {.loop = io_loop_create(ctx)};
	struct io_http_client *client = io_http_client_create(ctx, outcome.loop);
	char url[64];
	uint32_t i;

	CU_ASSERT_TRUE_FATAL(server_start(&server));
	io_http_client_set_idle_limit(client, 1);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", server.port);
	for (i = 0; i < 2; i++) {
		outcome.end = IO_HTTP_NOT_SENT;
		io_http_send(client, "GET", url, NULL, NULL, 1000 * MS, on_done, &outcome);
		io_loop_run(outcome.loop);
		CU_ASSERT_EQUAL(outcome.end, IO_HTTP_COMPLETE);
		if (i == 0)
			sleep(2);
	}
	shutdown(server.fd, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.fd);
	io_http_client_destroy(client);
	io_loop_destroy(outcome.loop);
	bc_ctx_destroy(ctx);
}

#define OK_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define OLD_CONNECTIONS 3
#define CONNECTIONS_MAX 16

/* Answers one request on each of the first connections, which are silent then, and all on others.
 */
static void *serve_old_silent(void *data)
{
	struct server *server = data;
	struct pollfd fds[CONNECTIONS_MAX] = {{.fd = server->fd, .events = POLLIN}};
	char buffer[1024];
	int count = 1;
	int i;

	while (poll(fds, (nfds_t)count, -1) > 0 && !(fds[0].revents & POLLHUP)) {
		for (i = 1; i < count; i++) {
			if (!(fds[i].revents & POLLIN))
				continue;
			if (read(fds[i].fd, buffer, sizeof(buffer)) <= 0 ||
			    send(fds[i].fd, OK_RESPONSE, strlen(OK_RESPONSE), MSG_NOSIGNAL) < 0 ||
			    i <= OLD_CONNECTIONS)
				fds[i].events = 0;
		}
		if ((fds[0].revents & POLLIN) && count < CONNECTIONS_MAX)
			fds[count++] = (struct pollfd){accept(server->fd, NULL, NULL), POLLIN, 0};
	}
	while (--count)
		close(fds[count].fd);
	return NULL;
}

static enum io_http_outcome call_server(struct io_http_client *client, struct outcome *outcome,
					uint16_t port)
{
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	outcome->end = IO_HTTP_NOT_SENT;
	io_http_send(client, "GET", url, NULL, NULL, 300 * MS, on_done, outcome);
	io_loop_run(outcome->loop);
	return outcome->end;
}

/*
 * Guards against calls that find one silent connection after another: when all of a proxy's
 * connections to the store fell silent, a configuration was in force after 3.2 s.
 */
static void test_old_connections(void)
{
	static const struct {
		const char *name;
		uint32_t pause_ms; /* after the call that had no answer */
	} cases[] = {{"at once", 0}, {"after the time for new connections only", 2300}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_ctx *ctx = bc_ctx_create(1);
		struct server server = {.serve = serve_old_silent};
		struct outcome outcome = {.loop = io_loop_create(ctx)};
		struct io_http_client *client = io_http_client_create(ctx, outcome.loop);
		char url[64];
		int call;

		CU_ASSERT_TRUE_FATAL(server_start(&server));
		snprintf(url, sizeof(url), "http://127.0.0.1:%u/", server.port);
		/* Calls at the same time use a connection each. */
		for (call = 0; call < OLD_CONNECTIONS; call++)
			io_http_send(client, "GET", url, NULL, NULL, 1000 * MS, on_done, &outcome);
		while (outcome.count < OLD_CONNECTIONS)
			io_loop_run(outcome.loop);
		CU_ASSERT_EQUAL(call_server(client, &outcome, server.port), IO_HTTP_INCOMPLETE);
		usleep(cases[i].pause_ms * 1000);
		for (call = 0; call < 2; call++) {
			enum io_http_outcome end = call_server(client, &outcome, server.port);

			if (end != IO_HTTP_COMPLETE)
				printf("\n%s: call %d: %d\n", cases[i].name, call, (int)end);
			CU_ASSERT_EQUAL(end, IO_HTTP_COMPLETE);
		}
		shutdown(server.fd, SHUT_RDWR);
		io_http_client_destroy(client);
		pthread_join(server.thread, NULL);
		close(server.fd);
		io_loop_destroy(outcome.loop);
		bc_ctx_destroy(ctx);
	}
}

struct escape_case {
	const char *failure; /* the failure that the case guards against */
	const char *text;
	const char *escaped;
};

static const struct escape_case escape_cases[] = {
	{"a usual name changed", "frontend-barn-1", "frontend-barn-1"},
	{"a name that ends a query's value or adds another", "a&stale_ok=1", "a%26stale_ok%3D1"},
	{"a name that ends the path", "a?b#c/d", "a%3Fb%23c%2Fd"},
	{"a name that ends the request line", "a b\r\nc", "a%20b%0D%0Ac"},
	{"a name that is decoded to another one", "a%41", "a%2541"},
	{"an empty name", "", ""},
};

/* Guards against names of objects that change a request to the store, such as a listing's next
 * page. */
static void test_escape(void)
{
	size_t i;

	for (i = 0; i < sizeof(escape_cases) / sizeof(escape_cases[0]); i++) {
		const struct escape_case *c = &escape_cases[i];
		char escaped[64];
		size_t length = io_http_escape(escaped, sizeof(escaped), c->text);

		if (strcmp(escaped, c->escaped) != 0)
			printf("\n%s: %s\n", c->failure, escaped);
		CU_ASSERT_STRING_EQUAL(escaped, c->escaped);
		CU_ASSERT_EQUAL(length, strlen(c->escaped));
	}
}

int main(void)
{
	CU_TestInfo tests[] = {{"load_of_slow_answers", test_load_of_slow_answers},
			       {"idle_limit", test_idle_limit},
			       {"old_connections", test_old_connections},
			       {"escape", test_escape},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"http_client", NULL, NULL, NULL, NULL, tests},
				 CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
