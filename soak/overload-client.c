#include "io/io.h"

#include <arpa/inet.h>
#include <argp.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A crowd of misbehaving callers on connections of one process. Each sends a prefix, some copies of
 * a text, and filler bytes, in pieces, and reads the answers at a limited rate or not at all. A
 * connection that is closed by the proxy is opened again. Prints "sent" once each connection has
 * sent everything or was closed at least once, and at the end the number of closed connections.
 *
 *     overload-client [OPTION...] IP PORT
 */

#define CONNECTIONS_MAX 8192U
#define CHUNK_BYTES 65536U
#define REOPEN_US (200 * BC_US_PER_MS)
#define TICK_MS 10
/* More at once overflow the queue of the listening socket. */
#define OPENS_PER_ROUND 64U
/* Small, so that the answers stay with the proxy. */
#define RECEIVE_BUFFER_BYTES 4096

struct options {
	const char *ip;
	uint16_t port;
	uint32_t connections;
	uint32_t seconds;
	const char *prefix;
	const char *text;
	uint64_t copies;
	uint64_t fill_bytes;
	uint64_t piece_bytes; /* 0: as much as the socket takes */
	uint64_t pause_us;
	uint64_t read_bytes_per_s;
};

struct connection {
	int fd; /* -1: closed */
	uint64_t sent_bytes;
	uint64_t next_send_us;
	uint64_t opened_us;
	uint64_t closed_us;
	uint64_t read_bytes;
	bool was_closed;
	bool was_opened;
};

static struct connection connections[CONNECTIONS_MAX];
static struct pollfd polled[CONNECTIONS_MAX];
static uint64_t closed_count;

static uint64_t message_bytes(const struct options *options)
{
	return strlen(options->prefix) + options->copies * strlen(options->text) +
	       options->fill_bytes;
}

/* Copies the bytes that follow the first `at` bytes of what a connection sends. */
static size_t next_bytes(const struct options *options, uint64_t at, char *out, size_t size)
{
	uint64_t prefix = strlen(options->prefix);
	uint64_t text = strlen(options->text);
	uint64_t left = message_bytes(options) - at;
	size_t i;

	for (i = 0; i < size && i < left; i++) {
		uint64_t position = at + i;

		if (position < prefix)
			out[i] = options->prefix[position];
		else if (position < prefix + options->copies * text)
			out[i] = options->text[(position - prefix) % text];
		else
			out[i] = 'x';
	}
	return i;
}

static void connection_close(struct connection *connection, uint64_t now_us)
{
	close(connection->fd);
	connection->fd = -1;
	connection->closed_us = now_us;
	connection->was_closed = true;
	closed_count++;
}

static void connection_open(const struct options *options, struct connection *connection,
			    uint64_t now_us)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(options->port)};
	int buffer_bytes = RECEIVE_BUFFER_BYTES;

	memset(connection, 0, offsetof(struct connection, was_closed));
	connection->was_opened = true;
	connection->opened_us = now_us;
	connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connection->fd < 0) {
		connection->closed_us = now_us;
		return;
	}
	setsockopt(connection->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
	inet_pton(AF_INET, options->ip, &address.sin_addr);
	if (connect(connection->fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS)
		connection_close(connection, now_us);
}

/* Sends the next piece. */
static void send_piece(const struct options *options, struct connection *connection,
		       uint64_t now_us)
{
	char bytes[CHUNK_BYTES];
	size_t size = options->piece_bytes && options->piece_bytes < CHUNK_BYTES
			      ? options->piece_bytes
			      : CHUNK_BYTES;
	size_t length = next_bytes(options, connection->sent_bytes, bytes, size);
	ssize_t sent = send(connection->fd, bytes, length, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		connection_close(connection, now_us);
	else if (sent > 0)
		connection->sent_bytes += (uint64_t)sent;
	connection->next_send_us = now_us + options->pause_us;
}

/* Reads what the rate admits, and detects that the proxy has closed the connection. */
static void read_answer(const struct options *options, struct connection *connection,
			uint64_t now_us)
{
	char bytes[CHUNK_BYTES];
	uint64_t allowed =
		(now_us - connection->opened_us) * options->read_bytes_per_s / BC_US_PER_S -
		connection->read_bytes;
	ssize_t got;

	if (!allowed)
		return;
	got = recv(connection->fd, bytes, allowed < CHUNK_BYTES ? allowed : CHUNK_BYTES, 0);
	if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
		connection_close(connection, now_us);
	else if (got > 0)
		connection->read_bytes += (uint64_t)got;
}

/* One round over all connections. Returns whether each has sent everything or was closed. */
static bool run_round(const struct options *options, uint64_t now_us)
{
	uint64_t total = message_bytes(options);
	uint32_t opens = OPENS_PER_ROUND;
	bool all_sent = true;
	uint32_t i;

	for (i = 0; i < options->connections; i++) {
		struct connection *connection = &connections[i];
		bool sending;

		if (connection->fd < 0 && opens && now_us - connection->closed_us >= REOPEN_US) {
			connection_open(options, connection, now_us);
			opens--;
		}
		sending = connection->fd >= 0 && connection->sent_bytes < total;
		polled[i].fd = connection->fd;
		polled[i].events = sending && connection->next_send_us <= now_us ? POLLOUT : 0;
		all_sent =
			all_sent && connection->was_opened && (!sending || connection->was_closed);
	}
	poll(polled, options->connections, TICK_MS);
	for (i = 0; i < options->connections; i++) {
		struct connection *connection = &connections[i];

		if (connection->fd >= 0 && polled[i].revents & (POLLERR | POLLHUP))
			connection_close(connection, now_us);
		if (connection->fd >= 0 && polled[i].revents & POLLOUT)
			send_piece(options, connection, now_us);
		if (connection->fd >= 0)
			read_answer(options, connection, now_us);
	}
	return all_sent;
}

enum { OPTION_PREFIX = 'p', OPTION_TEXT = 't', OPTION_COPIES = 'c' };

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'n':
		options->connections = (uint32_t)strtoul(arg, NULL, 10);
		if (options->connections > CONNECTIONS_MAX)
			argp_error(state, "at most %u connections", CONNECTIONS_MAX);
		return 0;
	case 's':
		options->seconds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPTION_PREFIX:
		options->prefix = arg;
		return 0;
	case OPTION_TEXT:
		options->text = arg;
		return 0;
	case OPTION_COPIES:
		options->copies = strtoull(arg, NULL, 10);
		return 0;
	case 'f':
		options->fill_bytes = strtoull(arg, NULL, 10);
		return 0;
	case 'b':
		options->piece_bytes = strtoull(arg, NULL, 10);
		return 0;
	case 'w':
		options->pause_us = strtoull(arg, NULL, 10) * BC_US_PER_MS;
		return 0;
	case 'r':
		options->read_bytes_per_s = strtoull(arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			options->ip = arg;
		else if (state->arg_num == 1)
			options->port = (uint16_t)strtoul(arg, NULL, 10);
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (state->arg_num != 2)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"connections", 'n', "N", 0, "Connections, 60 if not given", 0},
	{"seconds", 's', "N", 0, "Time to run, 5 if not given", 0},
	{"prefix", OPTION_PREFIX, "TEXT", 0, "Sent first", 0},
	{"text", OPTION_TEXT, "TEXT", 0, "Sent after the prefix", 0},
	{"copies", OPTION_COPIES, "N", 0, "Copies of the text", 0},
	{"fill", 'f', "BYTES", 0, "Filler bytes sent last", 0},
	{"piece", 'b', "BYTES", 0, "Size of the pieces that are sent", 0},
	{"pause", 'w', "MS", 0, "Time between the pieces", 0},
	{"read", 'r', "BYTES", 0, "Bytes to read in a second, none if not given", 0},
	{0},
};
static const struct argp argp = {argp_options, parse_option, "IP PORT", NULL, NULL, NULL, NULL};

int main(int argc, char **argv)
{
	struct options options = {.connections = 60, .seconds = 5, .prefix = "", .text = ""};
	uint64_t end_us;
	bool all_sent = false;
	uint32_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	end_us = io_now_us() + options.seconds * BC_US_PER_S;
	for (i = 0; i < options.connections; i++)
		connections[i].fd = -1;
	while (io_now_us() < end_us) {
		bool sent = run_round(&options, io_now_us());

		if (sent && !all_sent)
			printf("sent\n");
		all_sent = all_sent || sent;
		fflush(stdout);
	}
	printf("closed %llu\n", (unsigned long long)closed_count);
	return 0;
}
