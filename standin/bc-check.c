#include "standin/check.h"

#include "io/io.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_US (30 * BC_US_PER_S)

enum check_exit { CHECK_OK = 0, CHECK_VIOLATIONS = 1, CHECK_BAD_INPUT = 2 };

struct check_options {
	char *const *files;
	int file_count;
	const char *endpoint;
	const char *database;
	const char *log;
	bool json;
};

struct fetch {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	json_t *body;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct check_options *options = state->input;

	switch (key) {
	case 'e':
		options->endpoint = arg;
		return 0;
	case 'd':
		options->database = arg;
		return 0;
	case 'l':
		options->log = arg;
		return 0;
	case 'j':
		options->json = true;
		return 0;
	case ARGP_KEY_ARGS:
		options->files = state->argv + state->next;
		options->file_count = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "expected a history");
		return 0;
	case ARGP_KEY_END:
		if (options->endpoint && !options->database)
			argp_error(state, "expected --database");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_fetched(void *data, const struct io_http_result *result)
{
	struct fetch *fetch = data;

	if (result->outcome != IO_HTTP_COMPLETE || result->status != 200)
		bc_fail(fetch->ctx, BC_EIO, "cannot read the log: HTTP %u %s", result->status,
			result->error);
	else
		fetch->body = json_loadb(result->body, result->body_bytes, 0, NULL);
	io_loop_stop(fetch->loop);
}

static json_t *fetch_log(struct bc_ctx *ctx, const struct check_options *options)
{
	struct fetch fetch = {.ctx = ctx, .loop = io_loop_create(ctx)};
	struct io_http_client *client;
	char url[256];

	if (!fetch.loop)
		return NULL;
	/* Remains the last message if the answer is not JSON; other failures replace it. */
	bc_fail(ctx, BC_EINVAL, "the log is not JSON");
	client = io_http_client_create(ctx, fetch.loop);
	snprintf(url, sizeof(url), "http://%s/control/log?database=%s", options->endpoint,
		 options->database);
	if (client &&
	    io_http_send(client, "GET", url, NULL, NULL, FETCH_TIMEOUT_US, on_fetched, &fetch))
		io_loop_run(fetch.loop);
	io_http_client_destroy(client);
	io_loop_destroy(fetch.loop);
	return fetch.body;
}

static enum bc_status read_histories(struct bc_ctx *ctx, const struct check_options *options,
				     struct chk_history *history)
{
	enum bc_status status = BC_OK;
	int i;

	for (i = 0; i < options->file_count && status == BC_OK; i++) {
		FILE *in = fopen(options->files[i], "re");

		if (!in)
			return bc_fail(ctx, BC_EINVAL, "cannot open %s: %s", options->files[i],
				       strerror(errno));
		status = chk_history_read(ctx, history, in, options->files[i]);
		fclose(in);
	}
	chk_history_sort(history);
	return status;
}

static enum bc_status check_log(struct bc_ctx *ctx, const struct check_options *options,
				const struct chk_history *history, json_t *report)
{
	json_error_t error;
	enum bc_status status;
	json_t *log;

	if (!options->endpoint && !options->log)
		return BC_OK;
	if (options->endpoint) {
		log = fetch_log(ctx, options);
	} else {
		log = json_load_file(options->log, 0, &error);
		if (!log)
			bc_fail(ctx, BC_EINVAL, "%s:%d:%d: %s", options->log, error.line,
				error.column, error.text);
	}
	if (!log)
		return BC_EINVAL;
	status = chk_log(ctx, history, log, report);
	json_decref(log);
	return status;
}

static void print_report(const struct check_options *options, const struct chk_history *history,
			 json_t *report)
{
	size_t i;

	if (options->json) {
		json_t *value = json_pack("{s:I,s:O}", "operations", (json_int_t)history->count,
					  "violations", report);

		json_dumpf(value, stdout, JSON_INDENT(2));
		putchar('\n');
		json_decref(value);
		return;
	}
	for (i = 0; i < json_array_size(report); i++) {
		const json_t *violation = json_array_get(report, i);

		printf("%s: %s: %s\n", json_string_value(json_object_get(violation, "place")),
		       json_string_value(json_object_get(violation, "rule")),
		       json_string_value(json_object_get(violation, "detail")));
	}
	printf("%zu operations, %zu violations\n", history->count, json_array_size(report));
}

static enum check_exit run(struct bc_ctx *ctx, const struct check_options *options)
{
	enum check_exit code = CHECK_BAD_INPUT;
	json_t *report = json_array();
	struct chk_history history;

	chk_history_init(&history);
	if (read_histories(ctx, options, &history) == BC_OK &&
	    check_log(ctx, options, &history, report) == BC_OK) {
		chk_sessions(&history, report);
		print_report(options, &history, report);
		code = json_array_size(report) ? CHECK_VIOLATIONS : CHECK_OK;
	} else {
		fprintf(stderr, "bc-check: %s\n", bc_last_message(ctx));
	}
	json_decref(report);
	chk_history_free(&history);
	return code;
}

int main(int argc, char **argv)
{
	static const struct argp_option arg_options[] = {
		{"endpoint", 'e', "IP:PORT", 0, "Endpoint whose log is the final content", 0},
		{"database", 'd', "NAME", 0, "Database of the histories", 0},
		{"log", 'l', "FILE", 0, "Dump of the log, instead of --endpoint", 0},
		{"json", 'j', NULL, 0, "Print JSON", 0},
		{0},
	};
	static const struct argp argp = {
		arg_options,
		parse_option,
		"HISTORY...",
		"Checks histories of bc-load. Exits with 0 if nothing is wrong, 1 if there are "
		"violations, 2 on bad input.",
		NULL,
		NULL,
		NULL};
	struct check_options options = {0};
	struct bc_ctx *ctx;
	enum check_exit code;

	argp_err_exit_status = CHECK_BAD_INPUT;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	ctx = bc_ctx_create(1);
	code = run(ctx, &options);
	bc_ctx_destroy(ctx);
	return (int)code;
}
