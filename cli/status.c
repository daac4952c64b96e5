#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>

static bool is_usable(const struct cli_answer *answer)
{
	return answer->outcome == IO_HTTP_COMPLETE && answer->status == 200 && answer->body;
}

static const char *failure_reason(const struct cli_answer *answer)
{
	if (answer->outcome != IO_HTTP_COMPLETE)
		return answer->error[0] ? answer->error : "no answer";
	return "invalid answer";
}

static void print_text(const char *proxy, const struct cli_answer *answer)
{
	const char *key;
	json_t *value;

	if (!is_usable(answer)) {
		printf("%s: %s\n", proxy, failure_reason(answer));
		return;
	}
	printf("%s:\n", proxy);
	json_object_foreach(answer->body, key, value)
	{
		char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

		printf("  %s: %s\n", key, text ? text : "");
		free(text);
	}
}

static json_t *answer_json(const char *proxy, const struct cli_answer *answer)
{
	if (is_usable(answer))
		return json_pack("{s:s,s:O,s:n}", "proxy", proxy, "status", answer->body, "error");
	return json_pack("{s:s,s:n,s:s}", "proxy", proxy, "status", "error",
			 failure_reason(answer));
}

/* status: prints /v1/status of each proxy; fails if a proxy gives no valid answer. */
enum cli_exit cli_status(struct cli *cli)
{
	struct cli_answer *answers = calloc(cli->proxy_count, sizeof(*answers));
	enum cli_exit code = CLI_OK;
	json_t *list = json_array();
	uint32_t i;

	if (!answers)
		return cli_error(CLI_FAILURE, "out of memory");
	cli_http_all(cli, cli->proxies, cli->proxy_count, "/v1/status", answers);
	for (i = 0; i < cli->proxy_count; i++) {
		if (cli->json)
			json_array_append_new(list, answer_json(cli->proxies[i], &answers[i]));
		else
			print_text(cli->proxies[i], &answers[i]);
		if (!is_usable(&answers[i]))
			code = CLI_FAILURE;
		json_decref(answers[i].body);
	}
	if (cli->json)
		cli_print_json(json_pack("{s:O}", "proxies", list));
	json_decref(list);
	free(answers);
	return code;
}
