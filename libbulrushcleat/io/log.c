#include "io/io.h"

#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_BYTES 8192

static log4c_category_t *category;
static char program_name[32];
static char line[LINE_BYTES];

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static const int priorities[] = {LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN,
				 LOG4C_PRIORITY_ERROR};

/* The message is a whole JSON object already. */
static const char *format_json(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	snprintf(line, sizeof(line), "%s\n", event->evt_msg);
	return line;
}

static const log4c_layout_type_t json_layout = {"bulrushcleat_json", format_json};

/* The stream types of log4c put the appender's name before each line, which is then not JSON. */
static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_appender_type_t line_appender = {"bulrushcleat_stderr", NULL, append_line, NULL};

static void write_event(void *data, enum bc_log_level level, const char *event,
			const char *fields_json)
{
	char message[LINE_BYTES - 2];
	char stamp[32];
	struct timespec now;
	struct tm utc;

	(void)data;
	if (!log4c_category_is_priority_enabled(category, priorities[level]))
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	if ((size_t)snprintf(message, sizeof(message),
			     "{\"time\":\"%s.%06ldZ\",\"level\":\"%s\",\"program\":\"%s\","
			     "\"event\":\"%s\",\"fields\":%s}",
			     stamp, now.tv_nsec / 1000, level_names[level], program_name, event,
			     fields_json) >= sizeof(message))
		snprintf(message, sizeof(message),
			 "{\"time\":\"%s.%06ldZ\",\"level\":\"%s\",\"program\":\"%s\","
			 "\"event\":\"%s\",\"fields\":{\"truncated\":true}}",
			 stamp, now.tv_nsec / 1000, level_names[level], program_name, event);
	log4c_category_log(category, priorities[level], "%s", message);
}

/* Sends the context's log events to log4c, as JSON lines on stderr. */
enum bc_status io_log_open(struct bc_ctx *ctx, enum bc_log_level level, const char *program)
{
	log4c_appender_t *appender;

	if (log4c_init() != 0)
		return bc_fail(ctx, BC_EIO, "cannot start log4c");
	snprintf(program_name, sizeof(program_name), "%s", program);
	log4c_layout_type_set(&json_layout);
	log4c_layout_set_type(log4c_layout_get("bulrushcleat_json"), &json_layout);
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("bulrushcleat_stderr");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, log4c_layout_get("bulrushcleat_json"));
	category = log4c_category_get("bulrushcleat");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priorities[level]);
	bc_ctx_set_log(ctx, write_event, NULL);
	return BC_OK;
}

/* Ends logging. */
void io_log_close(void)
{
	log4c_fini();
}
