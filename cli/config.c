#include "cli/cli.h"

#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITER_ID_BYTES 16

/* Reads a file; adds a finding if it cannot be read. */
static char *read_input(struct cli *cli, const char *path, struct bc_findings *findings,
			size_t *bytes)
{
	char *text = NULL;

	if (io_file_read(cli->ctx, path, CFG_OBJECT_MAX_BYTES, &text, bytes) != BC_OK)
		bc_findings_add(findings, path, 1, 1, NULL, "%s", bc_last_message(cli->ctx));
	return text;
}

/* Reads the two lists named on the command line. Prints findings; NULL if there are any. */
static json_t *read_lists(struct cli *cli)
{
	struct bc_findings *findings = bc_findings_create();
	size_t bytes[2] = {0, 0};
	char *plans = read_input(cli, cli->positional[0], findings, &bytes[0]);
	char *customers = read_input(cli, cli->positional[1], findings, &bytes[1]);
	json_t *lists = NULL;

	if (plans && customers)
		cfg_lists_parse(cli->ctx, cli->positional[0], plans, bytes[0], cli->positional[1],
				customers, bytes[1], &lists, findings);
	if (!lists)
		cli_print_findings(cli, findings);
	free(plans);
	free(customers);
	bc_findings_destroy(findings);
	return lists;
}

/* config check: prints the findings of both lists, or of one configuration. */
enum cli_exit cli_config_check(struct cli *cli)
{
	json_t *lists;

	if (cli->positional_count == 1)
		return cli_object_check(cli);
	if (cli->against)
		return cli_error(CLI_BAD_INPUT, "--against is for a check of one file");
	lists = read_lists(cli);
	if (!lists)
		return CLI_BAD_INPUT;
	if (cli->json)
		cli_print_json(json_pack("{s:[]}", "findings"));
	else
		printf("%zu plans, %zu customers, no findings\n",
		       json_array_size(json_object_get(lists, "plans")),
		       json_array_size(json_object_get(lists, "customers")));
	json_decref(lists);
	return CLI_OK;
}

/* settings check: prints the findings of one settings file. */
enum cli_exit cli_settings_check(struct cli *cli)
{
	struct bc_findings *findings = bc_findings_create();
	struct cfg_settings settings;
	enum cli_exit code;
	size_t bytes = 0;
	char *text = read_input(cli, cli->positional[0], findings, &bytes);

	if (text)
		cfg_settings_parse(cli->ctx, cli->positional[0], text, bytes, &settings, findings);
	code = cli_print_findings(cli, findings);
	if (code == CLI_OK && !cli->json)
		puts("no findings");
	free(text);
	bc_findings_destroy(findings);
	return code;
}

/* Makes a random id, in hexadecimal, that identifies this update. */
static bool make_writer_id(char writer[2 * WRITER_ID_BYTES + 1])
{
	unsigned char bytes[WRITER_ID_BYTES];
	size_t i;

	if (RAND_bytes(bytes, sizeof(bytes)) != 1)
		return false;
	for (i = 0; i < sizeof(bytes); i++)
		snprintf(writer + 2 * i, 3, "%02x", bytes[i]);
	return true;
}

static void print_applied(const struct cli *cli, const struct cli_update *update)
{
	if (cli->json)
		cli_print_json(json_pack("{s:s,s:I,s:s}", "result",
					 update->unchanged ? "unchanged" : "applied", "revision",
					 (json_int_t)update->revision, "writer", update->writer));
	else
		printf("revision %llu %s\n", (unsigned long long)update->revision,
		       update->unchanged ? "has these lists already" : "accepted");
}

static void print_conflict(const struct cli *cli, const struct cli_update *update)
{
	if (cli->json) {
		cli_print_json(json_pack("{s:s,s:I,s:o,s:o}", "result", "conflict", "revision",
					 (json_int_t)update->revision, "theirs",
					 update->theirs ? json_incref(update->theirs) : json_null(),
					 "ours", json_incref(update->ours)));
		return;
	}
	if (update->theirs)
		cli_print_diff("Changed by another update in the meantime:", update->theirs);
	cli_print_diff("Changes from the configuration in force to these lists:", update->ours);
}

static enum cli_exit exit_code(enum bc_status status)
{
	return status == BC_EIO		? CLI_UNREACHABLE
	       : status == BC_ECONFLICT ? CLI_CONFLICT
					: CLI_FAILURE;
}

/* config apply: stores the lists as the next revision. */
enum cli_exit cli_config_apply(struct cli *cli)
{
	struct cli_store store = cli_platform_store(cli);
	char writer[2 * WRITER_ID_BYTES + 1];
	struct cli_update update = {.writer = writer, .if_revision = cli->if_revision};
	json_t *lists = read_lists(cli);
	enum cli_exit code = CLI_OK;
	enum bc_status status;

	if (!lists)
		return CLI_BAD_INPUT;
	if (!make_writer_id(writer)) {
		json_decref(lists);
		return cli_error(CLI_FAILURE, "cannot generate random bytes");
	}
	update.lists = lists;
	status = cli_update_run(cli->ctx, &store, &update);
	if (status == BC_OK) {
		print_applied(cli, &update);
	} else {
		if (status == BC_ECONFLICT)
			print_conflict(cli, &update);
		else if (cli->json)
			cli_print_json(json_pack("{s:s,s:b}", "result", "failed", "maybe_applied",
						 (int)update.maybe_applied));
		code = cli_error(exit_code(status), "%s", bc_last_message(cli->ctx));
	}
	cli_update_free(&update);
	json_decref(lists);
	return code;
}

/* Reads the object "config" of the platform; prints an error if that fails. */
static enum cli_exit read_object(struct cli *cli, json_t **value)
{
	struct cli_store store = cli_platform_store(cli);
	uint64_t version = 0;
	enum bc_status status = store.get(store.data, &version, value);

	if (status == BC_ENOTFOUND)
		return cli_error(CLI_FAILURE, "the platform has no configuration yet");
	if (status != BC_OK)
		return cli_error(exit_code(status), "%s", bc_last_message(cli->ctx));
	return CLI_OK;
}

static void print_lists(const json_t *value)
{
	const json_t *plans = json_object_get(value, "plans");
	const json_t *customers = json_object_get(value, "customers");
	size_t i;

	printf("revision %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(value, "revision")));
	for (i = 0; i < json_array_size(plans); i++) {
		char *text = json_dumps(json_array_get(plans, i), JSON_COMPACT);

		printf("plan %s\n", text);
		free(text);
	}
	for (i = 0; i < json_array_size(customers); i++) {
		char *text = json_dumps(json_array_get(customers, i), JSON_COMPACT);

		printf("customer %s\n", text);
		free(text);
	}
}

/* config show: prints the configuration stored by the platform. */
enum cli_exit cli_config_show(struct cli *cli)
{
	json_t *value = NULL;
	enum cli_exit code = read_object(cli, &value);

	if (code != CLI_OK)
		return code;
	if (cli->json) {
		cli_print_json(value);
		return CLI_OK;
	}
	print_lists(value);
	json_decref(value);
	return CLI_OK;
}

/* config diff: prints what applying the lists would change. */
enum cli_exit cli_config_diff(struct cli *cli)
{
	json_t *lists = read_lists(cli);
	json_t *value = NULL;
	enum cli_exit code;
	json_t *diff;

	if (!lists)
		return CLI_BAD_INPUT;
	code = read_object(cli, &value);
	if (code != CLI_OK) {
		json_decref(lists);
		return code;
	}
	diff = cfg_lists_diff(value, lists);
	if (cli->json)
		cli_print_json(json_pack("{s:O,s:O}", "revision",
					 json_object_get(value, "revision"), "differences", diff));
	else
		cli_print_diff("Changes from the configuration in force to these lists:", diff);
	json_decref(diff);
	json_decref(value);
	json_decref(lists);
	return CLI_OK;
}
