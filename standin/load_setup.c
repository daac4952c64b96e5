#include "standin/load.h"

#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 60
#define RETRY_DELAY_US (500 * BC_US_PER_MS)

static const char *const statements[] = {
	"CREATE TABLE IF NOT EXISTS load(session TEXT, seq INTEGER, request TEXT)",
	"CREATE INDEX IF NOT EXISTS load_session ON load(session, seq)",
};

struct setup {
	struct ld_load *load;
	size_t statement;
	uint32_t attempt;
	enum bc_status status;
};

static void send_statement(void *data);

static void on_answer(void *data, const struct io_http_result *result)
{
	struct setup *setup = data;
	struct ld_answer answer;

	ld_answer_parse(result, &answer);
	if (answer.outcome == LD_RAN)
		setup->statement++;
	else
		bc_fail(setup->load->ctx, BC_ETIMEOUT, "setup: %s, HTTP %u, %s",
			ld_outcome_names[answer.outcome], answer.status,
			answer.error ? answer.error : "no error code");
	json_decref(answer.body);
	if (setup->statement == sizeof(statements) / sizeof(statements[0])) {
		setup->status = BC_OK;
		io_loop_stop(setup->load->loop);
	} else if (++setup->attempt == ATTEMPTS_MAX) {
		io_loop_stop(setup->load->loop);
	} else {
		io_timer_add(setup->load->loop, answer.outcome == LD_RAN ? 0 : RETRY_DELAY_US,
			     send_statement, setup);
	}
}

static void send_statement(void *data)
{
	struct setup *setup = data;
	const struct ld_options *options = setup->load->options;
	struct io_http_header headers[] = {{"Authorization", setup->load->authorization},
					   {NULL, NULL}};
	json_t *body =
		json_pack("{s:s,s:[],s:s,s:b,s:i}", "sql", statements[setup->statement], "params",
			  "kind", "write", "repeatable", 1, "timeout_ms", (int)options->timeout_ms);
	char *text = json_dumps(body, JSON_COMPACT);
	char url[448];

	snprintf(url, sizeof(url), "http://%s/v1/databases/%s/statements",
		 options->proxies[setup->attempt % options->proxy_count], options->database);
	io_http_send(setup->load->client, "POST", url, headers, text,
		     options->timeout_ms * BC_US_PER_MS, on_answer, setup);
	free(text);
	json_decref(body);
}

/* Creates the table and its index, trying the proxies in turn. BC_ETIMEOUT after 60 attempts. */
enum bc_status ld_setup(struct ld_load *load)
{
	struct setup setup = {.load = load, .status = BC_ETIMEOUT};

	send_statement(&setup);
	io_loop_run(load->loop);
	return setup.status;
}
