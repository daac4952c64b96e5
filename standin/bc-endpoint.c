#include "standin/ste_options.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_HTTP_CONNECTIONS 4096U

static int fail(struct bc_ctx *ctx)
{
	fprintf(stderr, "bc-endpoint: %s\n", bc_last_message(ctx));
	return 2;
}

static const char *peer_address(const struct ste_settings *settings, const char *id)
{
	size_t i;

	for (i = 0; i < settings->peer_count; i++)
		if (strcmp(settings->peers[i].id, id) == 0)
			return settings->peers[i].address;
	return "";
}

static enum bc_status open_host(struct ste_endpoint *endpoint, const struct ste_options *options,
				size_t index)
{
	struct ste_host *host = &endpoint->hosts[index];
	const char *primary = options->primaries[index];

	host->endpoint = endpoint;
	host->contact_us = io_now_us();
	host->database = ste_database_open(endpoint->ctx, endpoint->settings.data,
					   options->databases[index], endpoint->settings.id);
	if (!host->database)
		return BC_EIO;
	endpoint->host_count = index + 1;
	if (!ste_database_is_new(host->database))
		return BC_OK;
	return ste_database_start(host->database, primary,
				  peer_address(&endpoint->settings, primary));
}

static enum bc_status open_hosts(struct ste_endpoint *endpoint, const struct ste_options *options)
{
	enum bc_status status = BC_OK;
	size_t i;

	for (i = 0; status == BC_OK && i < options->database_count; i++)
		status = open_host(endpoint, options, i);
	for (i = 0; status == BC_OK && i < options->database_count; i++) {
		ste_pull_restart(&endpoint->hosts[i]);
		ste_apply_due(&endpoint->hosts[i]);
	}
	return status;
}

static void on_terminate(void *data)
{
	io_loop_stop(data);
}

static enum bc_status start(struct ste_endpoint *endpoint, const struct ste_options *options)
{
	struct bc_ctx *ctx = endpoint->ctx;

	snprintf(endpoint->start_id, sizeof(endpoint->start_id), "%016llx",
		 (unsigned long long)bc_random(ctx));
	endpoint->loop = io_loop_create(ctx);
	if (!endpoint->loop)
		return BC_EIO;
	endpoint->gate = sta_gate_create(endpoint->loop);
	endpoint->client = io_http_client_create(ctx, endpoint->loop);
	if (!endpoint->client ||
	    io_http_client_bind(endpoint->client, endpoint->settings.listen) != BC_OK)
		return BC_EIO;
	if (io_loop_on_signal(endpoint->loop, SIGTERM, on_terminate, endpoint->loop) != BC_OK ||
	    io_loop_on_signal(endpoint->loop, SIGINT, on_terminate, endpoint->loop) != BC_OK)
		return BC_EIO;
	if (open_hosts(endpoint, options) != BC_OK)
		return BC_EIO;
	endpoint->server = io_http_server_create(ctx, endpoint->loop, endpoint->settings.listen,
						 MAX_HTTP_CONNECTIONS, ste_serve, endpoint);
	return endpoint->server ? BC_OK : BC_EIO;
}

int main(int argc, char **argv)
{
	static struct ste_options options;
	static struct ste_endpoint endpoint;
	size_t i;

	ste_options_parse(&options, argc, argv);
	io_fd_limit_raise(2 * MAX_HTTP_CONNECTIONS);
	endpoint.settings = options.settings;
	endpoint.ctx = bc_ctx_create(io_now_us() ^ (uint64_t)getpid() << 40);
	if (!endpoint.ctx)
		return 1;
	if (io_log_open(endpoint.ctx, BC_LOG_INFO, "bc-endpoint") != BC_OK ||
	    start(&endpoint, &options) != BC_OK)
		return fail(endpoint.ctx);
	ste_connections_start_sweep(&endpoint);
	bc_log(endpoint.ctx, BC_LOG_INFO, "started", "{s:s,s:i}", "id", endpoint.settings.id,
	       "port", (int)io_http_server_port(endpoint.server));
	io_loop_run(endpoint.loop);
	bc_log(endpoint.ctx, BC_LOG_INFO, "stopped", "{s:s}", "id", endpoint.settings.id);
	for (i = 0; i < endpoint.host_count; i++)
		ste_database_close(endpoint.hosts[i].database);
	/* Requests may still be waiting for their answers, so the server cannot be destroyed. */
	fflush(NULL);
	_exit(0);
}
