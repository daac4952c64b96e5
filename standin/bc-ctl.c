#include "io/io.h"

#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADERS_MAX 8
#define PORTS_MAX 256
#define BODY_MAX_BYTES ((size_t)8 * 1024 * 1024)

/*
 * Sends one HTTP request for a test script. Prints the body and exits with 0 for a 2xx answer, 1
 * for any other, 3 if there is none. With --ports N it prints N free TCP ports instead.
 */

struct options {
	const char *method;
	const char *url;
	const char *body;
	struct io_http_header headers[HEADERS_MAX + 1];
	size_t header_count;
	bool show_status;
	bool show_session;
	int ports;
	uint64_t timeout_us;
};

struct exchange {
	struct io_loop *loop;
	const struct options *options;
	int code;
};

const char *argp_program_version = "bc-ctl " BC_VERSION;

static void add_header(struct options *options, char *text, struct argp_state *state)
{
	char *colon = strchr(text, ':');

	if (!colon || options->header_count == HEADERS_MAX)
		argp_error(state, "bad header: %s", text);
	else {
		*colon = '\0';
		options->headers[options->header_count++] =
			(struct io_http_header){text, colon + 1 + strspn(colon + 1, " ")};
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'H':
		add_header(options, arg, state);
		return 0;
	case 's':
		options->show_status = true;
		return 0;
	case 'i':
		options->show_session = true;
		return 0;
	case 'p':
		options->ports = atoi(arg);
		return 0;
	case 't':
		options->timeout_us = strtoull(arg, NULL, 10) * BC_US_PER_MS;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			options->method = arg;
		else if (state->arg_num == 1)
			options->url = arg;
		else if (state->arg_num == 2)
			options->body = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!options->url && !options->ports)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"header", 'H', "NAME:VALUE", 0, "Add a header", 0},
	{"status", 's', NULL, 0, "Print the status before the body", 0},
	{"session", 'i', NULL, 0, "Print the answer's Session-Token before the body", 0},
	{"timeout-ms", 't', "N", 0, "Give up after N ms (5000)", 0},
	{"ports", 'p', "N", 0, "Print N free TCP ports of 127.0.0.1 and end", 0},
	{0},
};

/* The body's text, read from FILE if it is "@FILE". NULL if that fails, with an error on stderr. */
static char *read_body(struct bc_ctx *ctx, const char *body)
{
	char *text;

	if (body[0] != '@')
		return strdup(body);
	if (io_file_read(ctx, body + 1, BODY_MAX_BYTES, &text, NULL) == BC_OK)
		return text;
	fprintf(stderr, "bc-ctl: %s\n", bc_last_message(ctx));
	return NULL;
}

static const struct argp argp = {
	argp_options, parse_option, "METHOD URL [BODY]", "Send one HTTP request.", NULL,
	NULL,	      NULL};

static int print_free_ports(int count)
{
	int fds[PORTS_MAX];
	int opened;
	int i;

	if (count > PORTS_MAX)
		return 2;
	for (opened = 0; opened < count; opened++) {
		struct sockaddr_in address = {.sin_family = AF_INET};
		socklen_t length = sizeof(address);

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fds[opened] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (fds[opened] < 0 ||
		    bind(fds[opened], (struct sockaddr *)&address, sizeof(address)) != 0 ||
		    getsockname(fds[opened], (struct sockaddr *)&address, &length) != 0)
			return 1;
		printf("%u\n", ntohs(address.sin_port));
	}
	for (i = 0; i < opened; i++)
		close(fds[i]);
	return 0;
}

static void on_done(void *data, const struct io_http_result *result)
{
	struct exchange *exchange = data;

	if (result->outcome != IO_HTTP_COMPLETE) {
		fprintf(stderr, "bc-ctl: %s: %s\n", exchange->options->url, result->error);
		exchange->code = 3;
	} else {
		const char *token = io_http_result_header(result, "Session-Token");

		if (exchange->options->show_session && token)
			printf("Session-Token: %s\n", token);
		if (exchange->options->show_status)
			printf("%u ", result->status);
		printf("%s\n", result->body);
		exchange->code = result->status / 100 == 2 ? 0 : 1;
	}
	io_loop_stop(exchange->loop);
}

int main(int argc, char **argv)
{
	struct options options = {.timeout_us = 5 * BC_US_PER_S};
	struct exchange exchange = {.options = &options, .code = 3};
	struct io_http_client *client;
	struct bc_ctx *ctx;
	char *body = NULL;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (options.ports)
		return print_free_ports(options.ports);
	ctx = bc_ctx_create(1);
	if (options.body && !(body = read_body(ctx, options.body)))
		return 2;
	exchange.loop = io_loop_create(ctx);
	client = io_http_client_create(ctx, exchange.loop);
	io_http_send(client, options.method, options.url, options.headers, body, options.timeout_us,
		     on_done, &exchange);
	io_loop_run(exchange.loop);
	io_http_client_destroy(client);
	io_loop_destroy(exchange.loop);
	free(body);
	bc_ctx_destroy(ctx);
	return exchange.code;
}
