#include "cli/cli.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* The wait before a retry grows by this with each retry. */
#define RETRY_WAIT_STEP_MS 400

/*
 * Maps an unsuccessful answer to a status. A 4xx answer is final, except 429 (the platform's rate
 * limit); after anything else the effect is unknown.
 */
static enum bc_status fail_call(struct cli *cli, const struct cli_answer *answer)
{
	if (answer->outcome == IO_HTTP_COMPLETE && answer->status >= 400 && answer->status < 500 &&
	    answer->status != 429)
		return bc_fail(cli->ctx, BC_EINVAL, "the platform rejected the request: HTTP %u",
			       answer->status);
	return bc_fail(cli->ctx, BC_EIO, "platform %s: %s", cli->platform,
		       answer->outcome == IO_HTTP_COMPLETE ? "invalid answer" : answer->error);
}

static enum bc_status get_config(void *data, uint64_t *version, json_t **value)
{
	struct cli *cli = data;
	struct cli_answer answer;
	enum bc_status status = BC_OK;
	const json_t *number;

	cli_http(cli, "GET", cli->platform, "/v1/objects/config", NULL, &answer);
	number = json_object_get(answer.body, "version");
	if (answer.outcome == IO_HTTP_COMPLETE && answer.status == 404)
		status = BC_ENOTFOUND;
	else if (answer.status != 200 || !json_is_integer(number))
		status = fail_call(cli, &answer);
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
	if (answer.outcome == IO_HTTP_COMPLETE && answer.status == 409)
		status = BC_ECONFLICT;
	else if (answer.outcome != IO_HTTP_COMPLETE || answer.status / 100 != 2)
		status = fail_call(cli, &answer);
	json_decref(answer.body);
	json_decref(body);
	return status;
}

static void pause_before_retry(void *data, uint32_t retry)
{
	struct timespec wait = {0, (long)(RETRY_WAIT_STEP_MS * BC_US_PER_MS * 1000)};

	(void)data;
	while (retry--)
		nanosleep(&wait, NULL);
}

/* Accesses the object "config" of the platform at --platform. */
struct cli_store cli_platform_store(struct cli *cli)
{
	return (struct cli_store){get_config, put_config, pause_before_retry, cli};
}
