#include "cli/cli.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JSON_AND_PLATFORM (CLI_OPT_JSON | CLI_OPT_PLATFORM)

static const struct cli_command commands[] = {
	{"config", "check", "FILE | PLANS CUSTOMERS", 1, 2, CLI_OPT_JSON | CLI_OPT_AGAINST, 0,
	 cli_config_check,
	 "Check a configuration of bulrushcleat-entry (FILE), or the two lists, and report every "
	 "finding with its place. With FILE, exits with 1 if there are findings."},
	{"config", "apply", "PLANS CUSTOMERS", 2, 2, JSON_AND_PLATFORM | CLI_OPT_IF_REVISION,
	 CLI_OPT_PLATFORM, cli_config_apply,
	 "Make the two lists the configuration in force. Exits with 4 and shows the differences if "
	 "another update came first."},
	{"config", "show", "", 0, 0, JSON_AND_PLATFORM, CLI_OPT_PLATFORM, cli_config_show,
	 "Show the configuration in force."},
	{"config", "diff", "PLANS CUSTOMERS", 2, 2, JSON_AND_PLATFORM, CLI_OPT_PLATFORM,
	 cli_config_diff, "Show what applying the two lists would change."},
	{"settings", "check", "FILE", 1, 1, CLI_OPT_JSON, 0, cli_settings_check,
	 "Check the settings of a proxy and report every finding with file and line."},
	{NULL, "status", "", 0, 0, CLI_OPT_JSON | CLI_OPT_PROXY, CLI_OPT_PROXY, cli_status,
	 "Show the status of proxies."},
	{"session", "show", "TOKEN", 1, 1, CLI_OPT_JSON | CLI_OPT_KEY | CLI_OPT_CUSTOMER,
	 CLI_OPT_KEY, cli_session_show, "Verify a session token and show its content."},
	{"customer", "credential", "NAME", 1, 1, CLI_OPT_JSON | CLI_OPT_KEY, CLI_OPT_KEY,
	 cli_customer_credential, "Print the credential of a customer."},
	{"key", "generate", "FILE", 1, 1, CLI_OPT_JSON, 0, cli_key_generate,
	 "Write a random key of 32 bytes into a new file of mode 0600."},
	{NULL, "report", "LOG DIRECTORY", 2, 2, 0, 0, cli_report,
	 "Summarize the proxy logs in a file (-: standard input) per second in tables, plots and "
	 "an HTML page: latency, refusals, reads, promotions. Plots need gnuplot."},
	{NULL, "version", "", 0, 0, CLI_OPT_JSON, 0, cli_version, "Show the version."},
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

const char *argp_program_version = "bulrushcleat " BC_VERSION;

/* version: prints the library's version. */
enum cli_exit cli_version(struct cli *cli)
{
	if (cli->json)
		cli_print_json(json_pack("{s:s}", "version", BC_VERSION));
	else
		puts("bulrushcleat " BC_VERSION);
	return CLI_OK;
}

/* Finds the command that the arguments name. Sets `words` to the number of words in its name. */
static const struct cli_command *find_command(int argc, char **argv, int *words)
{
	size_t i;

	for (i = 0; i < COMMANDS; i++) {
		const struct cli_command *command = &commands[i];

		*words = command->group ? 2 : 1;
		if (argc <= *words)
			continue;
		if (command->group && strcmp(argv[1], command->group) != 0)
			continue;
		if (strcmp(argv[*words], command->name) == 0)
			return command;
	}
	return NULL;
}

/* Adds the list of commands to the end of the help. */
static char *filter_help(int key, const char *text, void *input)
{
	char *out = NULL;
	size_t length;
	FILE *stream;
	size_t i;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	stream = open_memstream(&out, &length);
	if (!stream)
		return (char *)text;
	fputs("Commands:\n", stream);
	for (i = 0; i < COMMANDS; i++)
		fprintf(stream, "  %s%s%s %s\n", commands[i].group ? commands[i].group : "",
			commands[i].group ? " " : "", commands[i].name, commands[i].positional_doc);
	fputs("\nCOMMAND --help shows the options of a command. Exit codes: 0 success, 1 failure, "
	      "2 bad input, 3 platform unreachable, 4 conflict with another update.",
	      stream);
	fclose(stream);
	return out;
}

static bool is_group(const char *word)
{
	size_t i;

	for (i = 0; i < COMMANDS; i++)
		if (commands[i].group && strcmp(commands[i].group, word) == 0)
			return true;
	return false;
}

/* Handles an unknown first word or a group without a command. "GROUP --help" shows the help. */
static void reject_command(struct argp_state *state, const char *word)
{
	const char *next = state->next < state->argc ? state->argv[state->next] : "";

	if (!is_group(word))
		argp_error(state, "%s: unknown command", word);
	if (strcmp(next, "--help") == 0 || strcmp(next, "-?") == 0)
		argp_state_help(state, stdout, ARGP_HELP_STD_HELP);
	if (strcmp(next, "--usage") == 0)
		argp_state_help(state, stdout, ARGP_HELP_USAGE | ARGP_HELP_EXIT_OK);
	argp_error(state, "%s: expected one of its commands", word);
}

static error_t parse_command(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_ARG)
		reject_command(state, arg);
	if (key == ARGP_KEY_NO_ARGS)
		argp_error(state, "expected a command");
	return ARGP_ERR_UNKNOWN;
}

static enum cli_exit run(struct cli *cli, const struct cli_command *command)
{
	enum cli_exit code = CLI_FAILURE;

	cli->ctx = bc_ctx_create(io_now_us());
	if (!cli->ctx)
		return cli_error(CLI_FAILURE, "out of memory");
	cli->loop = io_loop_create(cli->ctx);
	if (cli->loop)
		cli->client = io_http_client_create(cli->ctx, cli->loop);
	if (cli->client)
		code = command->run(cli);
	else
		cli_error(CLI_FAILURE, "cannot start: %s", bc_last_message(cli->ctx));
	io_http_client_destroy(cli->client);
	io_loop_destroy(cli->loop);
	bc_ctx_destroy(cli->ctx);
	if (fflush(stdout) != 0)
		return cli_error(CLI_FAILURE, "cannot write the output");
	return code;
}

int main(int argc, char **argv)
{
	static const struct argp top = {NULL,
					parse_command,
					"COMMAND [ARGUMENT...]",
					"The operators' command of bulrushcleat.\v",
					NULL,
					filter_help,
					NULL};
	struct cli cli = {.if_revision = -1};
	int words = 0;
	const struct cli_command *command = find_command(argc, argv, &words);

	argp_err_exit_status = CLI_BAD_INPUT;
	if (!command) {
		argp_parse(&top, argc, argv, ARGP_IN_ORDER, NULL, NULL);
		return CLI_BAD_INPUT;
	}
	cli_args_parse(&cli, command, argc - words, argv + words);
	return (int)run(&cli, command);
}
