#include "io/stream.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define INPUT_MAX_BYTES ((size_t)4096)
/* What a stream reads at once. */
#define READ_BYTES ((size_t)32 * 1024)
#define ROUNDS 50

/* A connection that a stream has adopted, and what the stream has passed on. */
struct connection {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_stream *stream;
	int peer_fd;
	size_t consumes; /* bytes that the owner consumes of the next input */
	size_t offered;	 /* the most that was passed at once */
	size_t received;
	bool closed;
};

static size_t on_input(void *data, const char *bytes, size_t length)
{
	struct connection *connection = data;
	size_t used = length < connection->consumes ? length : connection->consumes;

	(void)bytes;
	connection->received += used;
	if (length > connection->offered)
		connection->offered = length;
	io_loop_stop(connection->loop);
	return used;
}

static void on_closed(void *data, const char *reason, size_t unacknowledged_bytes)
{
	struct connection *connection = data;

	(void)reason;
	(void)unacknowledged_bytes;
	connection->closed = true;
}

static void connection_open(struct connection *connection)
{
	static const struct io_stream_ops ops = {NULL, on_input, on_closed};
	static const struct io_stream_limits limits = {0, 1000000, INPUT_MAX_BYTES, 4096};
	int fds[2] = {-1, -1};

	memset(connection, 0, sizeof(*connection));
	connection->ctx = bc_ctx_create(1);
	connection->loop = io_loop_create(connection->ctx);
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	connection->peer_fd = fds[1];
	connection->stream = io_stream_adopt(connection->ctx, connection->loop, fds[0], &limits,
					     &ops, connection);
}

static void connection_close(struct connection *connection)
{
	io_stream_close(connection->stream);
	close(connection->peer_fd);
	io_loop_destroy(connection->loop);
	bc_ctx_destroy(connection->ctx);
}

/*
 * Guards against closing an idle connection whose next request has arrived but was not read yet: a
 * proxy that stops closes thousands of idle sessions in one step, and the close resets the request.
 */
static void test_unread_input(void)
{
	static const struct {
		size_t sent;
		bool read; /* the loop has read what was sent */
		size_t consumed;
		bool has_input;
	} cases[] = {{0, false, 0, false},
		     {10, false, 0, true},
		     {10, true, 4, true},
		     {10, true, 10, false}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct connection connection;

		connection_open(&connection);
		connection.consumes = cases[i].consumed;
		CU_ASSERT_EQUAL(send(connection.peer_fd, "0123456789", cases[i].sent, 0),
				(ssize_t)cases[i].sent);
		if (cases[i].read)
			io_loop_run(connection.loop);
		CU_ASSERT_EQUAL(connection.received, cases[i].consumed);
		CU_ASSERT_EQUAL(io_stream_has_input(connection.stream), cases[i].has_input);
		connection_close(&connection);
	}
}

static void on_timeout(void *data)
{
	struct connection *connection = data;

	io_loop_stop(connection->loop);
}

/* Sends as much of the bytes as the socket takes, and lets the loop run for a moment. */
static size_t send_some(struct connection *connection, const char *bytes, size_t length)
{
	ssize_t sent = send(connection->peer_fd, bytes, length, MSG_NOSIGNAL);

	io_timer_add(connection->loop, 1000, on_timeout, connection);
	io_loop_run(connection->loop);
	return sent > 0 ? (size_t)sent : 0;
}

/*
 * Guards against closing a connection whose peer sends more than the owner handles at once: a
 * caller that sends statements ahead lost the answer of the one at work.
 */
static void test_input_limit(void)
{
	static const struct {
		size_t sent;
		size_t kept_max; /* what the stream keeps at most until its owner consumes it */
	} cases[] = {{INPUT_MAX_BYTES, INPUT_MAX_BYTES},
		     {INPUT_MAX_BYTES + 1, INPUT_MAX_BYTES + READ_BYTES},
		     {200000, INPUT_MAX_BYTES + READ_BYTES}};
	static const char bytes[200000];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct connection connection;
		size_t sent = 0;
		int round;

		connection_open(&connection);
		for (round = 0; round < ROUNDS; round++)
			sent += send_some(&connection, bytes, cases[i].sent - sent);
		CU_ASSERT_EQUAL(connection.received, 0);
		CU_ASSERT(connection.offered <= cases[i].kept_max);
		connection.consumes = sizeof(bytes);
		for (round = 0; round < ROUNDS && !connection.closed; round++) {
			io_stream_redeliver(connection.stream);
			sent += send_some(&connection, bytes, cases[i].sent - sent);
		}
		CU_ASSERT_FALSE(connection.closed);
		CU_ASSERT_EQUAL(connection.received, cases[i].sent);
		if (!connection.closed)
			connection_close(&connection);
	}
}

/* Fills the stream's socket until some output is unsent. */
static void fill_output(struct connection *connection)
{
	static const char bytes[1024];
	int i;

	for (i = 0; i < 10000 && !io_stream_unsent_bytes(connection->stream); i++) {
		io_stream_write(connection->stream, bytes, sizeof(bytes));
		io_stream_flush(connection->stream);
	}
	CU_ASSERT(io_stream_unsent_bytes(connection->stream) > 0);
}

/*
 * Guards against input that is never passed again: its owner waited for the output to be sent, and
 * a write of the owner sent the rest, instead of the event loop.
 */
static void test_input_after_flush(void)
{
	static char buffer[65536];
	struct connection connection;

	connection_open(&connection);
	fill_output(&connection);
	CU_ASSERT_EQUAL(send(connection.peer_fd, "0123456789", 10, 0), 10);
	io_loop_run(connection.loop);
	CU_ASSERT_EQUAL(connection.offered, 10);
	while (recv(connection.peer_fd, buffer, sizeof(buffer), 0) > 0)
		;
	io_stream_flush(connection.stream);
	CU_ASSERT_EQUAL(io_stream_unsent_bytes(connection.stream), 0);
	connection.consumes = 10;
	io_timer_add(connection.loop, 100000, on_timeout, &connection);
	io_loop_run(connection.loop);
	CU_ASSERT_EQUAL(connection.received, 10);
	connection_close(&connection);
}

/* Connects two sockets over loopback TCP; the peer has a small window. */
static void connect_tcp(int fds[2])
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int window = 4096;

	CU_ASSERT_EQUAL_FATAL(bind(listener, (struct sockaddr *)&address, length), 0);
	CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fds[1], SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	CU_ASSERT_EQUAL_FATAL(connect(fds[1], (struct sockaddr *)&address, length), 0);
	fds[0] = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	close(listener);
}

/*
 * Guards against disconnecting a peer that reads slowly but steadily in the middle of an answer,
 * and against keeping one that does not read at all.
 */
static void test_slow_peer(void)
{
	static const struct {
		bool reads;
		uint32_t run_ms;
		bool closed;
	} cases[] = {{true, 15000, false}, {false, 5000, true}};
	static const struct io_stream_ops ops = {NULL, on_input, on_closed};
	static const struct io_stream_limits limits = {0, 1000000, INPUT_MAX_BYTES, 16 << 20};
	static char bytes[8 << 20];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct connection connection = {.ctx = bc_ctx_create(1)};
		uint64_t end_us = io_now_us() + cases[i].run_ms * BC_US_PER_MS;
		char chunk[4096];
		int fds[2];

		connection.loop = io_loop_create(connection.ctx);
		connect_tcp(fds);
		connection.stream = io_stream_adopt(connection.ctx, connection.loop, fds[0],
						    &limits, &ops, &connection);
		io_stream_write(connection.stream, bytes, sizeof(bytes));
		io_stream_flush(connection.stream);
		while (io_now_us() < end_us && !connection.closed) {
			io_timer_add(connection.loop, 32000, on_timeout, &connection);
			io_loop_run(connection.loop);
			if (cases[i].reads)
				recv(fds[1], chunk, sizeof(chunk), MSG_DONTWAIT);
		}
		CU_ASSERT_EQUAL(connection.closed, cases[i].closed);
		if (!connection.closed)
			io_stream_close(connection.stream);
		close(fds[1]);
		io_loop_destroy(connection.loop);
		bc_ctx_destroy(connection.ctx);
	}
}

int main(void)
{
	unsigned int failures;
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("io stream", NULL, NULL);
	CU_add_test(suite, "unread_input", test_unread_input);
	CU_add_test(suite, "input_limit", test_input_limit);
	CU_add_test(suite, "input_after_flush", test_input_after_flush);
	CU_add_test(suite, "slow_peer", test_slow_peer);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
