#include "standin/load.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static void on_progress(void *data)
{
	struct ld_load *load = data;

	ld_stats_progress(load->stats, io_now_us(), stderr);
	load->progress_timer = io_timer_add(load->loop, BC_US_PER_S, on_progress, load);
}

/* Ends the run early; operations in flight still finish and are recorded. */
static void on_interrupt(void *data)
{
	struct ld_load *load = data;

	load->end_us = io_now_us();
	if (!load->stats) { /* the setup is still running */
		io_loop_stop(load->loop);
		return;
	}
	ld_arrivals_schedule(load);
}

static bool open_history(struct ld_load *load)
{
	if (!load->options->history)
		return true;
	load->history = fopen(load->options->history, "we");
	if (!load->history)
		fprintf(stderr, "bc-load: cannot write %s: %s\n", load->options->history,
			strerror(errno));
	return load->history != NULL;
}

static bool make_sessions(struct ld_load *load)
{
	uint32_t count = load->options->sessions;
	uint32_t i;

	load->sessions = calloc(count, sizeof(*load->sessions));
	load->idle = calloc(count, sizeof(*load->idle));
	if (!load->sessions || !load->idle)
		return false;
	for (i = 0; i < count; i++) {
		struct ld_session *session = &load->sessions[i];

		session->load = load;
		session->index = i;
		session->proxy = i % load->options->proxy_count;
		snprintf(session->name, sizeof(session->name), "%s.%u", load->run, i);
		load->idle[load->idle_count++] = i;
	}
	return true;
}

static enum bc_status make_authorization(struct ld_load *load)
{
	char made[LD_CREDENTIAL_BYTES];
	const char *credential = load->options->credential;
	enum bc_status status;

	if (!credential) {
		status = ld_credential_make(load->ctx, load->options, made);
		if (status != BC_OK)
			return status;
		credential = made;
	}
	snprintf(load->authorization, sizeof(load->authorization), "Bearer %s", credential);
	return BC_OK;
}

static bool prepare(struct ld_load *load)
{
	/* Unique to this run, so that rows of earlier runs are not taken for its own. */
	snprintf(load->run, sizeof(load->run), "%llx.%llx.%x",
		 (unsigned long long)load->options->seed, (unsigned long long)time(NULL),
		 (unsigned int)getpid());
	io_fd_limit_raise(65536);
	load->loop = io_loop_create(load->ctx);
	if (!load->loop)
		return false;
	load->client = io_http_client_create(load->ctx, load->loop);
	load->send_once_client = io_http_client_create(load->ctx, load->loop);
	if (!load->client || !load->send_once_client)
		return false;
	if (load->options->source &&
	    (io_http_client_bind(load->client, load->options->source) != BC_OK ||
	     io_http_client_bind(load->send_once_client, load->options->source) != BC_OK))
		return false;
	io_http_client_disable_reuse(load->send_once_client);
	if (make_authorization(load) != BC_OK || !make_sessions(load))
		return false;
	if (io_loop_on_signal(load->loop, SIGINT, on_interrupt, load) != BC_OK ||
	    io_loop_on_signal(load->loop, SIGTERM, on_interrupt, load) != BC_OK)
		return false;
	return !load->options->setup || ld_setup(load) == BC_OK;
}

static void run(struct ld_load *load)
{
	json_t *summary;

	load->begin_us = io_now_us();
	load->end_us = load->begin_us + load->options->duration_s * BC_US_PER_S;
	load->stats = ld_stats_create(load->begin_us);
	load->progress_timer = io_timer_add(load->loop, BC_US_PER_S, on_progress, load);
	ld_arrivals_schedule(load);
	io_loop_run(load->loop);
	if (load->history)
		fprintf(load->history, "{\"op\":\"end\",\"run\":\"%s\"}\n", load->run);
	summary = ld_stats_json(load->stats, io_now_us());
	json_object_set_new(summary, "not_started",
			    json_integer((json_int_t)ld_arrivals_not_started(load)));
	if (load->options->json) {
		json_dumpf(summary, stdout, JSON_INDENT(2));
		putchar('\n');
	} else {
		ld_stats_print(summary, stdout);
	}
	json_decref(summary);
	ld_stats_destroy(load->stats);
}

int main(int argc, char **argv)
{
	struct ld_options options;
	struct ld_load load = {.options = &options};
	int code = 1;

	ld_args_parse(argc, argv, &options);
	load.ctx = bc_ctx_create(options.seed);
	if (!load.ctx || !open_history(&load))
		return 1;
	if (prepare(&load)) {
		run(&load);
		code = 0;
	} else {
		fprintf(stderr, "bc-load: %s\n", bc_last_message(load.ctx));
	}
	if (load.history && fclose(load.history) != 0) {
		fprintf(stderr, "bc-load: cannot write %s\n", options.history);
		code = 1;
	}
	io_http_client_destroy(load.client);
	io_http_client_destroy(load.send_once_client);
	io_loop_destroy(load.loop);
	free(load.sessions);
	free(load.idle);
	bc_ctx_destroy(load.ctx);
	return code;
}
