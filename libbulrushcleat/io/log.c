#include "io/io.h"

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

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

/* Lines that are not written yet, and what limits them; only with io_log_bound(). */
#define PENDING_BYTES ((size_t)256 * 1024)
static struct {
	uint32_t lines_per_s;
	double tokens; /* lines that may be written now */
	uint64_t refilled_us;
	uint64_t dropped;
	char pending[PENDING_BYTES];
	size_t pending_bytes;
} bound;

/* Writes what standard output takes at once. */
static void write_pending(void)
{
	size_t written = 0;

	while (written < bound.pending_bytes) {
		ssize_t count = write(STDOUT_FILENO, bound.pending + written,
				      bound.pending_bytes - written);

		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			break;
		written += (size_t)count;
	}
	memmove(bound.pending, bound.pending + written, bound.pending_bytes - written);
	bound.pending_bytes -= written;
}

static bool take_token(void)
{
	uint64_t now_us = io_now_us();
	double most = 2.0 * bound.lines_per_s;

	bound.tokens += (double)(now_us - bound.refilled_us) * bound.lines_per_s / BC_US_PER_S;
	bound.refilled_us = now_us;
	if (bound.tokens > most)
		bound.tokens = most;
	if (bound.tokens < 1)
		return false;
	bound.tokens -= 1;
	return true;
}

static bool keep_line(const char *text, size_t length)
{
	if (bound.pending_bytes + length > PENDING_BYTES)
		return false;
	memcpy(bound.pending + bound.pending_bytes, text, length);
	bound.pending_bytes += length;
	return true;
}

/* Appends a line to standard output, or counts it as dropped. */
static int append_bounded(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	char note[96];
	int length;

	(void)appender;
	if (!take_token() || !keep_line(event->evt_rendered_msg, strlen(event->evt_rendered_msg))) {
		bound.dropped++;
		write_pending();
		return 0;
	}
	if (bound.dropped) {
		length = snprintf(note, sizeof(note),
				  "{\"event\":\"log_dropped\",\"fields\":{\"lines\":%llu}}\n",
				  (unsigned long long)bound.dropped);
		if (keep_line(note, (size_t)length))
			bound.dropped = 0;
	}
	write_pending();
	return 0;
}

static const log4c_appender_type_t bounded_appender = {"bulrushcleat_stdout", NULL, append_bounded,
						       NULL};

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

/* Sends the log to standard output, without ever waiting for its reader. */
enum bc_status io_log_bound(struct bc_ctx *ctx, uint32_t lines_per_s)
{
	log4c_appender_t *appender = log4c_appender_get("bulrushcleat_stderr");
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	bound.lines_per_s = lines_per_s;
	bound.tokens = lines_per_s;
	bound.refilled_us = io_now_us();
	log4c_appender_type_set(&bounded_appender);
	log4c_appender_set_type(appender, &bounded_appender);
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0)
		return bc_fail(ctx, BC_EIO, "standard output cannot be made non-blocking");
	return BC_OK;
}

/* Ends logging. */
void io_log_close(void)
{
	log4c_fini();
}
