#include "io/io.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the kernel buffers for a caller that does not read. */
#define REPLY_BYTES ((size_t)16 * 1024 * 1024)
#define WINDOW_BYTES 4096

struct fixture {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_server *server;
	uint32_t requests;
};

static void on_request(void *data, struct io_http_request *request)
{
	struct fixture *fixture = data;
	char *body = malloc(REPLY_BYTES + 1);

	if (!body)
		abort();
	memset(body, 'x', REPLY_BYTES);
	body[REPLY_BYTES] = '\0';
	io_http_request_id_set(request, "r1");
	io_http_reply(request, 200, NULL, body);
	free(body);
	fixture->requests++;
}

static void on_timer(void *data)
{
	io_loop_stop(data);
}

static void run_for(struct fixture *fixture, uint64_t ms)
{
	io_timer_add(fixture->loop, ms * BC_US_PER_MS, on_timer, fixture->loop);
	io_loop_run(fixture->loop);
}

static int connect_and_request(uint16_t port)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	int window = WINDOW_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL(send(fd, request, sizeof(request) - 1, 0), (ssize_t)sizeof(request) - 1);
	return fd;
}

/* Reads what is there without waiting; returns the bytes. */
static size_t read_available(int fd)
{
	static char buffer[64 * 1024];
	size_t total = 0;
	ssize_t got;

	while ((got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
		total += (size_t)got;
	return total;
}

static bool counted(struct bc_ctx *ctx, const char *metric)
{
	char *text = bc_metrics_text(ctx);
	bool found = text && strstr(text, metric);

	free(text);
	return found;
}

/*
 * Guards against a caller that gets part of a reply without a trace in the metrics: the caller
 * closes its connection, or the server stops.
 */
static void test_unanswered_requests(void)
{
	static const struct {
		bool caller_closes;
		const char *metric;
	} cases[] = {
		{true,
		 "bulrushcleat_requests_unanswered_total{reason=\"error\",step=\"sending\"} 1"},
		{false,
		 "bulrushcleat_requests_unanswered_total{reason=\"stopped\",step=\"sending\"} 1"},
	};
	size_t n;

	for (n = 0; n < sizeof(cases) / sizeof(cases[0]); n++) {
		struct fixture fixture = {.ctx = bc_ctx_create(1)};
		uint32_t i;
		int fd;

		fixture.loop = io_loop_create(fixture.ctx);
		fixture.server = io_http_server_create(fixture.ctx, fixture.loop, "127.0.0.1:0", 8,
						       on_request, &fixture);
		CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.server);
		fd = connect_and_request(io_http_server_port(fixture.server));
		for (i = 0; i < 100 && !fixture.requests; i++)
			run_for(&fixture, 10);
		run_for(&fixture, 50);
		if (cases[n].caller_closes)
			close(fd);
		for (i = 0;
		     i < 100 && cases[n].caller_closes && io_http_server_unsent(fixture.server);
		     i++)
			run_for(&fixture, 10);
		io_http_server_destroy(fixture.server);
		CU_ASSERT_TRUE(counted(fixture.ctx, cases[n].metric));
		if (!cases[n].caller_closes)
			close(fd);
		io_loop_destroy(fixture.loop);
		bc_ctx_destroy(fixture.ctx);
	}
}

/* Sends a request and then, as far as the kernel takes it, one that is too long for its buffers. */
static int connect_and_pipeline(uint16_t port)
{
	static const char requests[] =
		"GET / HTTP/1.1\r\nHost: test\r\n\r\n"
		"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 900000\r\n\r\n";
	static char body[900000];
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	int window = WINDOW_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL(send(fd, requests, sizeof(requests) - 1, 0), (ssize_t)sizeof(requests) - 1);
	CU_ASSERT_TRUE(send(fd, body, sizeof(body), MSG_DONTWAIT) > 0);
	return fd;
}

/*
 * Guards against a reply whose end is lost, since its connection is closed while a further request
 * of the caller has arrived that nobody reads: the kernel then drops what it has not sent.
 */
static void test_close_with_unread_request(void)
{
	struct fixture fixture = {.ctx = bc_ctx_create(1)};
	size_t received = 0;
	uint32_t i;
	int fd;

	fixture.loop = io_loop_create(fixture.ctx);
	fixture.server = io_http_server_create(fixture.ctx, fixture.loop, "127.0.0.1:0", 8,
					       on_request, &fixture);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.server);
	io_http_server_close_after_replies(fixture.server);
	fd = connect_and_pipeline(io_http_server_port(fixture.server));
	for (i = 0; i < 2000 && received <= REPLY_BYTES; i++) {
		run_for(&fixture, 1);
		received += read_available(fd);
	}
	CU_ASSERT_TRUE(received > REPLY_BYTES);
	close(fd);
	io_http_server_destroy(fixture.server);
	io_loop_destroy(fixture.loop);
	bc_ctx_destroy(fixture.ctx);
}

/*
 * Guards against connections that are accepted and closed without a reply when a process ends:
 * those made before the end of listening are served, later ones are refused.
 */
static void test_end_of_listening(void)
{
	enum { CONNECTIONS = 30 };
	struct fixture fixture = {.ctx = bc_ctx_create(1)};
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fds[CONNECTIONS];
	uint32_t i;
	int late;

	fixture.loop = io_loop_create(fixture.ctx);
	fixture.server = io_http_server_create(fixture.ctx, fixture.loop, "127.0.0.1:0", 64,
					       on_request, &fixture);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.server);
	for (i = 0; i < CONNECTIONS; i++)
		fds[i] = connect_and_request(io_http_server_port(fixture.server));
	io_http_server_quiesce(fixture.server);
	late = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	address.sin_port = htons(io_http_server_port(fixture.server));
	CU_ASSERT_NOT_EQUAL(connect(late, (struct sockaddr *)&address, sizeof(address)), 0);
	close(late);
	for (i = 0; i < 100 && fixture.requests < CONNECTIONS; i++)
		run_for(&fixture, 10);
	CU_ASSERT_EQUAL(fixture.requests, CONNECTIONS);
	for (i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
	io_http_server_destroy(fixture.server);
	io_loop_destroy(fixture.loop);
	bc_ctx_destroy(fixture.ctx);
}

/*
 * Guards against ending a process while a reply is partly sent: it must count as unsent until the
 * kernel has taken all of it.
 */
static void test_unsent_replies(void)
{
	struct fixture fixture = {.ctx = bc_ctx_create(1)};
	size_t received = 0;
	uint32_t i;
	int fd;

	fixture.loop = io_loop_create(fixture.ctx);
	fixture.server = io_http_server_create(fixture.ctx, fixture.loop, "127.0.0.1:0", 8,
					       on_request, &fixture);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.server);
	CU_ASSERT_EQUAL(io_http_server_unsent(fixture.server), 0);
	fd = connect_and_request(io_http_server_port(fixture.server));
	for (i = 0; i < 100 && !fixture.requests; i++)
		run_for(&fixture, 10);
	run_for(&fixture, 50);
	CU_ASSERT_EQUAL(io_http_server_unsent(fixture.server), 1);
	for (i = 0; i < 100000 && io_http_server_unsent(fixture.server); i++) {
		received += read_available(fd);
		run_for(&fixture, 1);
	}
	CU_ASSERT_EQUAL(io_http_server_unsent(fixture.server), 0);
	/* The rest is in the kernel and arrives although the server is gone. */
	io_http_server_destroy(fixture.server);
	for (i = 0; i < 100000 && received < REPLY_BYTES; i++) {
		received += read_available(fd);
		usleep(100);
	}
	CU_ASSERT_TRUE(received > REPLY_BYTES);
	CU_ASSERT_FALSE(counted(fixture.ctx, "bulrushcleat_requests_unanswered_total"));
	close(fd);
	io_loop_destroy(fixture.loop);
	bc_ctx_destroy(fixture.ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"unsent_replies", test_unsent_replies},
			       {"unanswered_requests", test_unanswered_requests},
			       {"end_of_listening", test_end_of_listening},
			       {"close_with_unread_request", test_close_with_unread_request},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"http_server", NULL, NULL, NULL, NULL, tests},
				 CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
