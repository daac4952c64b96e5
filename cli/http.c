#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Counts the unfinished calls; the loop stops after the last one. */
struct pending {
	struct io_loop *loop;
	uint32_t count;
};

struct cli_call {
	struct pending *pending;
	struct cli_answer *answer;
};

static void on_call_done(void *data, const struct io_http_result *result)
{
	struct cli_call *call = data;
	struct cli_answer *answer = call->answer;

	answer->outcome = result->outcome;
	answer->status = result->status;
	snprintf(answer->error, sizeof(answer->error), "%s", result->error);
	if (result->outcome == IO_HTTP_COMPLETE)
		answer->body = json_loadb(result->body, result->body_bytes, 0, NULL);
	if (--call->pending->count == 0)
		io_loop_stop(call->pending->loop);
}

static void start_call(struct cli *cli, struct cli_call *call, const char *method,
		       const char *address, const char *path, const char *body)
{
	char url[256];

	*call->answer = (struct cli_answer){.outcome = IO_HTTP_NOT_SENT};
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	if (io_http_send(cli->client, method, url, NULL, body, CLI_TIMEOUT_MS * BC_US_PER_MS,
			 on_call_done, call))
		call->pending->count++;
	else
		snprintf(call->answer->error, sizeof(call->answer->error), "out of memory");
}

/* Sends one request and waits for the result, at most CLI_TIMEOUT_MS. */
void cli_http(struct cli *cli, const char *method, const char *address, const char *path,
	      const json_t *body, struct cli_answer *answer)
{
	struct pending pending = {cli->loop, 0};
	struct cli_call call = {&pending, answer};
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	start_call(cli, &call, method, address, path, text);
	if (pending.count)
		io_loop_run(cli->loop);
	free(text);
}

/* Sends GET requests to all addresses at once and waits for all, at most CLI_TIMEOUT_MS. */
void cli_http_all(struct cli *cli, const char *const *addresses, uint32_t count, const char *path,
		  struct cli_answer *answers)
{
	struct pending pending = {cli->loop, 0};
	struct cli_call *calls = calloc(count, sizeof(*calls));
	uint32_t i;

	if (!calls)
		return;
	for (i = 0; i < count; i++) {
		calls[i] = (struct cli_call){&pending, &answers[i]};
		start_call(cli, &calls[i], "GET", addresses[i], path, NULL);
	}
	if (pending.count)
		io_loop_run(cli->loop);
	free(calls);
}
