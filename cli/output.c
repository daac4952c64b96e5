#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>

/* Prints a value as indented JSON on stdout and releases it. */
void cli_print_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
	json_decref(value);
}

/* Prints findings as lines on stderr or as JSON on stdout. CLI_BAD_INPUT if there are any. */
enum cli_exit cli_print_findings(const struct cli *cli, const struct bc_findings *findings)
{
	char *text;

	if (cli->json)
		cli_print_json(json_pack("{s:o}", "findings", bc_findings_json(findings)));
	if (bc_findings_count(findings) == 0)
		return CLI_OK;
	if (!cli->json) {
		text = bc_findings_text(findings);
		fputs(text ? text : "", stderr);
		free(text);
	}
	return CLI_BAD_INPUT;
}

/* Prints a heading and one line for each difference. */
void cli_print_diff(const char *heading, const json_t *diff)
{
	size_t i;

	puts(heading);
	for (i = 0; i < json_array_size(diff); i++) {
		const json_t *change = json_array_get(diff, i);
		char *from = json_dumps(json_object_get(change, "from"), JSON_ENCODE_ANY);
		char *to = json_dumps(json_object_get(change, "to"), JSON_ENCODE_ANY);

		printf("  %s %s: %s\n    from %s\n    to   %s\n",
		       json_string_value(json_object_get(change, "list")),
		       json_string_value(json_object_get(change, "name")),
		       json_string_value(json_object_get(change, "change")), from ? from : "",
		       to ? to : "");
		free(from);
		free(to);
	}
	if (json_array_size(diff) == 0)
		puts("  none");
}

/* Prints a message on stderr and returns the exit code. */
enum cli_exit cli_error(enum cli_exit code, const char *format, ...)
{
	va_list args;

	fputs("bulrushcleat: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	return code;
}
