#include "standin/check.h"

/* Adds a violation to the report. */
void chk_report_add(json_t *report, const char *rule, const char *place, const char *format, ...)
{
	char detail[512];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	json_array_append_new(
		report, json_pack("{s:s,s:s,s:s}", "rule", rule, "place", place, "detail", detail));
}

/* Adds a violation at an operation's line. */
void chk_report_op(json_t *report, const char *rule, const struct chk_op *op, const char *format,
		   ...)
{
	char detail[512];
	char place[320];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	snprintf(place, sizeof(place), "%s:%u", op->file, op->line_number);
	chk_report_add(report, rule, place, "%s %s: %s", op->op, op->session, detail);
}
