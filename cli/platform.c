#include "cli/cli.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define PAUSE_MS 400

/*
 * Maps an answer that is no success. 4xx is final, but for 429 (the platform's rate limit); the
 * effect of anything else is unknown.
 */
static enum bc_status failure(struct cli *cli, const struct cli_answer *answer)
{
	if (answer->end == IO_HTTP_ANSWERED && answer->status >= 400 && answer->status < 500 &&
	    answer->status != 429)
		return bc_fail(cli->ctx, BC_EINVAL, "the platform refuses: HTTP %u",
			       answer->status);
	return bc_fail(cli->ctx, BC_EIO, "platform %s: %s", cli->platform,
		       answer->end == IO_HTTP_ANSWERED ? "unusable answer" : answer->error);
}

static enum bc_status get_config(void *data, uint64_t *version, json_t **value)
{
	struct cli *cli = data;
	struct cli_answer answer;
	enum bc_status status = BC_OK;
	const json_t *number;

	cli_http(cli, "GET", cli->platform, "/v1/objects/config", NULL, &answer);
	number = json_object_get(answer.body, "version");
	if (answer.end == IO_HTTP_ANSWERED && answer.status == 404)
		status = BC_ENOTFOUND;
	else if (answer.status != 200 || !json_is_integer(number))
		status = failure(cli, &answer);
	if (status == BC_OK) {
		*version = (uint64_t)json_integer_value(number);
		*value = json_incref(json_object_get(answer.body, "value"));
	}
	json_decref(answer.body);
	return status;
}

static enum bc_status put_config(void *data, uint64_t if_version, const json_t *value)
{
	struct cli *cli = data;
	json_t *body = json_pack("{s:I,s:O}", "if_version", (json_int_t)if_version, "value", value);
	struct cli_answer answer;
	enum bc_status status = BC_OK;

	cli_http(cli, "PUT", cli->platform, "/v1/objects/config", body, &answer);
	if (answer.end == IO_HTTP_ANSWERED && answer.status == 409)
		status = BC_ECONFLICT;
	else if (answer.end != IO_HTTP_ANSWERED || answer.status / 100 != 2)
		status = failure(cli, &answer);
	json_decref(answer.body);
	json_decref(body);
	return status;
}

static void pause_before(void *data, uint32_t attempt)
{
	struct timespec wait = {0, (long)(PAUSE_MS * BC_US_PER_MS * 1000)};

	(void)data;
	while (attempt--)
		nanosleep(&wait, NULL);
}

/* The object "config" at --platform. */
struct cli_store cli_platform_store(struct cli *cli)
{
	return (struct cli_store){get_config, put_config, pause_before, cli};
}
