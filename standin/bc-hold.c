#include "io/io.h"

#include <argp.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 20000U
#define DESCRIPTORS_RESERVED 64U
#define ANSWER_BYTES 4096

/*
 * Opens connections to a proxy as callers do, sends one request on each and keeps them idle. Prints
 * "open N" with the number that were opened, and at the end how many are still open.
 */

struct options {
	const char *address;
	uint32_t connections;
	uint32_t seconds;
};

const char *argp_program_version = "bc-hold " BC_VERSION;

static uint32_t parse_number(struct argp_state *state, const char *text, unsigned long long max)
{
	char *end;
	unsigned long long value = strtoull(text, &end, 10);

	if (text[0] < '0' || text[0] > '9' || *end || value > max)
		argp_error(state, "\"%s\" is not a number of at most %llu", text, max);
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'n':
		options->connections = parse_number(state, arg, CONNECTIONS_MAX);
		return 0;
	case 't':
		options->seconds = parse_number(state, arg, UINT32_MAX);
		return 0;
	case ARGP_KEY_ARG:
		options->address = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->address)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"connections", 'n', "N", 0, "Connections to open (100)", 0},
	{"seconds", 't', "N", 0, "Time to hold them (10)", 0},
	{0},
};

static const struct argp argp = {
	argp_options, parse_option, "IP:PORT", "Hold idle connections to a proxy.",
	NULL,	      NULL,	    NULL};

/* Opens a connection and waits for the answer to one request on it. Returns -1 on failure. */
static int connection_open(const struct sockaddr_in *address)
{
	static const char request[] = "GET /healthz HTTP/1.1\r\nHost: proxy\r\n\r\n";
	const struct timeval timeout = {.tv_sec = 5};
	char answer[ANSWER_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) !=
		    (ssize_t)(sizeof(request) - 1) ||
	    recv(fd, answer, sizeof(answer), 0) <= 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool is_open(int fd)
{
	char byte;

	return recv(fd, &byte, sizeof(byte), MSG_DONTWAIT) != 0;
}

int main(int argc, char **argv)
{
	struct options options = {.connections = 100, .seconds = 10};
	struct sockaddr_in address = {0};
	uint32_t open = 0;
	uint32_t i;
	int *fds;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (!io_address_parse(options.address, &address)) {
		fprintf(stderr, "bc-hold: %s is not IP:PORT\n", options.address);
		return 2;
	}
	io_fd_limit_raise(options.connections + DESCRIPTORS_RESERVED);
	fds = calloc(options.connections + 1, sizeof(*fds));
	if (!fds)
		return 1;
	for (i = 0; i < options.connections; i++) {
		fds[i] = connection_open(&address);
		open += fds[i] >= 0;
	}
	printf("open %u\n", open);
	fflush(stdout);
	sleep(options.seconds);
	for (i = 0, open = 0; i < options.connections; i++)
		open += fds[i] >= 0 && is_open(fds[i]);
	printf("still open %u\n", open);
	free(fds);
	return open == options.connections ? 0 : 1;
}
