#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Calls that are still open; the loop stops after the last one. */
struct waiting {
	struct io_loop *loop;
	uint32_t open;
};

struct cli_call {
	struct waiting *waiting;
	struct cli_answer *answer;
};

static void on_done(void *data, const struct io_http_result *result)
{
	struct cli_call *call = data;
	struct cli_answer *answer = call->answer;

	answer->end = result->end;
	answer->status = result->status;
	snprintf(answer->error, sizeof(answer->error), "%s", result->error);
	if (result->end == IO_HTTP_ANSWERED)
		answer->body = json_loadb(result->body, result->body_bytes, 0, NULL);
	if (--call->waiting->open == 0)
		io_loop_stop(call->waiting->loop);
}

static void send_one(struct cli *cli, struct cli_call *call, const char *method,
		     const char *address, const char *path, const char *body)
{
	char url[256];

	*call->answer = (struct cli_answer){.end = IO_HTTP_NOT_SENT};
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	if (io_http_send(cli->client, method, url, NULL, body, CLI_TIMEOUT_MS * BC_US_PER_MS,
			 on_done, call))
		call->waiting->open++;
	else
		snprintf(call->answer->error, sizeof(call->answer->error), "out of memory");
}

/* Sends one request and waits for its end, at most CLI_TIMEOUT_MS. */
void cli_http(struct cli *cli, const char *method, const char *address, const char *path,
	      const json_t *body, struct cli_answer *answer)
{
	struct waiting waiting = {cli->loop, 0};
	struct cli_call call = {&waiting, answer};
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	send_one(cli, &call, method, address, path, text);
	if (waiting.open)
		io_loop_run(cli->loop);
	free(text);
}

/* Sends the same GET to all addresses at once and waits for all, at most CLI_TIMEOUT_MS. */
void cli_http_all(struct cli *cli, const char *const *addresses, uint32_t count, const char *path,
		  struct cli_answer *answers)
{
	struct waiting waiting = {cli->loop, 0};
	struct cli_call *calls = calloc(count, sizeof(*calls));
	uint32_t i;

	if (!calls)
		return;
	for (i = 0; i < count; i++) {
		calls[i] = (struct cli_call){&waiting, &answers[i]};
		send_one(cli, &calls[i], "GET", addresses[i], path, NULL);
	}
	if (waiting.open)
		io_loop_run(cli->loop);
	free(calls);
}
