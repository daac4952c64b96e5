#include "cli/cli.h"

#include "config/cfg_yaml.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPTIONS 7

struct parse {
	struct cli *cli;
	const struct cli_command *command;
	uint32_t seen; /* CLI_OPT_ bits of the options given */
};

static const struct {
	uint32_t bit;
	struct argp_option option;
} all_options[OPTIONS] = {
	{CLI_OPT_JSON, {"json", 'j', NULL, 0, "Print JSON", 0}},
	{CLI_OPT_PLATFORM, {"platform", 'p', "IP:PORT", 0, "Address of the platform", 0}},
	{CLI_OPT_PROXY, {"proxy", 'x', "IP:PORT", 0, "Address of a proxy; may be repeated", 0}},
	{CLI_OPT_IF_REVISION,
	 {"if-revision", 'r', "N", 0, "Refuse unless N is the revision in force (0: none)", 0}},
	{CLI_OPT_KEY, {"key", 'k', "ID:FILE", 0, "Id and file of a key", 0}},
	{CLI_OPT_CUSTOMER, {"customer", 'c', "NAME", 0, "Name of a customer", 0}},
	{CLI_OPT_AGAINST,
	 {"against", 'a', "FILE", 0, "Also show the changes from FILE, the configuration in force",
	  0}},
};

/* Splits "ID:FILE"; the id is from 1 to 4294967295. */
bool cli_key_split(const char *text, uint32_t *id, const char **file)
{
	char *end;
	unsigned long long value = strtoull(text, &end, 10);

	if (text[0] < '0' || text[0] > '9' || *end != ':' || end[1] == '\0' || value == 0 ||
	    value > UINT32_MAX)
		return false;
	*id = (uint32_t)value;
	*file = end + 1;
	return true;
}

static void parse_address(struct argp_state *state, const char *arg, const char **out)
{
	if (!cfg_address_valid(arg, 1))
		argp_error(state, "%s: expected an address IP:PORT", arg);
	*out = arg;
}

static void parse_revision(struct argp_state *state, const char *arg, int64_t *out)
{
	char *end;
	long long value = strtoll(arg, &end, 10);

	if (arg[0] < '0' || arg[0] > '9' || *end)
		argp_error(state, "%s: expected a revision", arg);
	*out = value;
}

static void add_positional(struct argp_state *state, const struct parse *parse, const char *arg)
{
	struct cli *cli = parse->cli;

	if (cli->positional_count == parse->command->positional_max)
		argp_error(state, "%s: unexpected argument", arg);
	cli->positional[cli->positional_count++] = arg;
}

static void check_complete(struct argp_state *state, const struct parse *parse)
{
	uint32_t missing = parse->command->required & ~parse->seen;
	size_t i;

	if (parse->cli->positional_count < parse->command->positional_min)
		argp_error(state, "expected %s", parse->command->positional_doc);
	for (i = 0; i < OPTIONS; i++)
		if (missing & all_options[i].bit)
			argp_error(state, "expected --%s", all_options[i].option.name);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse *parse = state->input;
	struct cli *cli = parse->cli;
	size_t i;

	for (i = 0; i < OPTIONS; i++)
		if (all_options[i].option.key == key)
			parse->seen |= all_options[i].bit;
	switch (key) {
	case 'j':
		cli->json = true;
		return 0;
	case 'p':
		parse_address(state, arg, &cli->platform);
		return 0;
	case 'x':
		if (cli->proxy_count == CLI_PROXIES_MAX)
			argp_error(state, "at most %d proxies", CLI_PROXIES_MAX);
		parse_address(state, arg, &cli->proxies[cli->proxy_count++]);
		return 0;
	case 'r':
		parse_revision(state, arg, &cli->if_revision);
		return 0;
	case 'k':
		if (!cli_key_split(arg, &cli->key_id, &cli->key_file))
			argp_error(state, "%s: expected ID:FILE", arg);
		return 0;
	case 'c':
		cli->customer = arg;
		return 0;
	case 'a':
		cli->against = arg;
		return 0;
	case ARGP_KEY_ARG:
		add_positional(state, parse, arg);
		return 0;
	case ARGP_KEY_END:
		check_complete(state, parse);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Parses the arguments after the command name; exits with CLI_BAD_INPUT if they are invalid. */
void cli_args_parse(struct cli *cli, const struct cli_command *command, int argc, char **argv)
{
	struct argp_option options[OPTIONS + 1] = {{0}};
	struct argp argp = {options, parse_option, command->positional_doc, command->doc, NULL,
			    NULL,    NULL};
	struct parse parse = {cli, command, 0};
	char name[64];
	size_t count = 0;
	size_t i;

	for (i = 0; i < OPTIONS; i++)
		if (command->options & all_options[i].bit)
			options[count++] = all_options[i].option;
	snprintf(name, sizeof(name), "bulrushcleat %s%s%s", command->group ? command->group : "",
		 command->group ? " " : "", command->name);
	argv[0] = name;
	argp_err_exit_status = CLI_BAD_INPUT;
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
}
