#include "standin/stp_platform.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_HTTP_CONNECTIONS 8192U
#define FILE_MAX_BYTES ((size_t)64 * 1024 * 1024)

struct options {
	const char *listen;
	const char *load_file;
	uint64_t vm_lag_ms;
};

static const struct argp_option option_table[] = {
	{"listen", 'l', "IP:PORT", 0, "Address to serve on", 0},
	{"load", 'f', "FILE", 0, "JSON file {\"objects\":{NAME:VALUE},\"vms\":[...]} to start with",
	 0},
	{"vm-lag-ms", 'g', "MS", 0, "Time from a change of a VM to its appearance (0)", 0},
	{0}};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;
	char *end;

	switch (key) {
	case 'l':
		options->listen = arg;
		return 0;
	case 'f':
		options->load_file = arg;
		return 0;
	case 'g':
		options->vm_lag_ms = strtoull(arg, &end, 10);
		if (arg[0] < '0' || arg[0] > '9' || *end)
			argp_error(state, "--vm-lag-ms: \"%s\" is not a number", arg);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		if (!options->listen)
			argp_error(state, "--listen is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static enum bc_status load_objects(struct stp_platform *platform, json_t *objects)
{
	const char *name;
	json_t *value;
	uint64_t version;
	enum bc_status status = BC_OK;

	json_object_foreach(objects, name, value)
	{
		if (!stp_store_name_valid(name))
			return bc_fail(platform->ctx, BC_EINVAL, "\"%s\" is not an object name",
				       name);
		status = stp_store_put(platform->store, name, 0, value, &version);
		if (status != BC_OK)
			return status;
	}
	return status;
}

static enum bc_status load_file(struct stp_platform *platform, const char *path)
{
	json_error_t error;
	char *text = NULL;
	json_t *json;
	enum bc_status status = io_file_read(platform->ctx, path, FILE_MAX_BYTES, &text, NULL);

	if (status != BC_OK)
		return status;
	json = json_loads(text, 0, &error);
	free(text);
	if (!json_is_object(json)) {
		json_decref(json);
		return bc_fail(platform->ctx, BC_EINVAL, "%s:%d:%d: %s", path, error.line,
			       error.column, json ? "not a JSON object" : error.text);
	}
	status = load_objects(platform, json_object_get(json, "objects"));
	if (status == BC_OK)
		status = stp_vms_load(platform->vms, json_object_get(json, "vms"));
	json_decref(json);
	return status;
}

static void on_terminate(void *data)
{
	io_loop_stop(data);
}

static enum bc_status start(struct stp_platform *platform, const struct options *options)
{
	struct bc_ctx *ctx = platform->ctx;

	platform->loop = io_loop_create(ctx);
	if (!platform->loop)
		return BC_EIO;
	platform->gate = sta_gate_create(platform->loop);
	platform->store = stp_store_create(ctx);
	platform->vms = stp_vms_create(platform);
	if (options->load_file && load_file(platform, options->load_file) != BC_OK)
		return BC_EINVAL;
	stp_vms_lag_set(platform->vms, options->vm_lag_ms);
	if (io_loop_on_signal(platform->loop, SIGTERM, on_terminate, platform->loop) != BC_OK ||
	    io_loop_on_signal(platform->loop, SIGINT, on_terminate, platform->loop) != BC_OK)
		return BC_EIO;
	platform->server = io_http_server_create(ctx, platform->loop, options->listen,
						 MAX_HTTP_CONNECTIONS, stp_serve, platform);
	return platform->server ? BC_OK : BC_EIO;
}

int main(int argc, char **argv)
{
	static const struct argp parser = {
		option_table, parse_option,
		NULL,	      "The platform's object store and VM list. A stand-in for tests.",
		NULL,	      NULL,
		NULL};
	static struct stp_platform platform;
	struct options options = {0};

	argp_err_exit_status = 2;
	argp_parse(&parser, argc, argv, 0, NULL, &options);
	io_fd_limit_raise(2 * MAX_HTTP_CONNECTIONS);
	platform.ctx = bc_ctx_create(1);
	if (!platform.ctx)
		return 1;
	if (io_log_open(platform.ctx, BC_LOG_INFO, "bc-platform") != BC_OK ||
	    start(&platform, &options) != BC_OK) {
		fprintf(stderr, "bc-platform: %s\n", bc_last_message(platform.ctx));
		return 2;
	}
	bc_log(platform.ctx, BC_LOG_INFO, "started", "{s:i}", "port",
	       (int)io_http_server_port(platform.server));
	io_loop_run(platform.loop);
	bc_log(platform.ctx, BC_LOG_INFO, "stopped", NULL);
	/* Watches may still be waiting for their answers, so the server cannot be destroyed. */
	fflush(NULL);
	_exit(0);
}
