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

/* The message is already a complete JSON object. */
static const char *format_json(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	snprintf(line, sizeof(line), "%s\n", event->evt_msg);
	return line;
}

static const log4c_layout_type_t json_layout = {"bulrushcleat_json", format_json};

/* log4c's stream appenders prefix each line with the appender's name, so it would not be JSON. */
static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

/* The token bucket and the output buffer of io_log_limit_rate(). */
#define PENDING_BYTES ((size_t)256 * 1024)
static struct {
	uint32_t lines_per_s;
	double tokens; /* lines that may be written now */
	uint64_t refilled_us;
	uint64_t dropped;
	char pending[PENDING_BYTES];
	size_t pending_bytes;
} limiter;

/* Writes as much of the buffer as standard output accepts without blocking. */
static void write_pending(void)
{
	size_t written = 0;

	while (written < limiter.pending_bytes) {
		ssize_t count = write(STDOUT_FILENO, limiter.pending + written,
				      limiter.pending_bytes - written);

		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			break;
		written += (size_t)count;
	}
	memmove(limiter.pending, limiter.pending + written, limiter.pending_bytes - written);
	limiter.pending_bytes -= written;
}

static bool take_token(void)
{
	uint64_t now_us = io_now_us();
	double burst_max = 2.0 * limiter.lines_per_s;

	limiter.tokens +=
		(double)(now_us - limiter.refilled_us) * limiter.lines_per_s / BC_US_PER_S;
	limiter.refilled_us = now_us;
	if (limiter.tokens > burst_max)
		limiter.tokens = burst_max;
	if (limiter.tokens < 1)
		return false;
	limiter.tokens -= 1;
	return true;
}

static bool queue_line(const char *text, size_t length)
{
	if (limiter.pending_bytes + length > PENDING_BYTES)
		return false;
	memcpy(limiter.pending + limiter.pending_bytes, text, length);
	limiter.pending_bytes += length;
	return true;
}

/* Queues a line for standard output, or counts it as dropped. */
static int append_limited(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	char drop_notice[96];
	int length;

	(void)appender;
	if (!take_token() ||
	    !queue_line(event->evt_rendered_msg, strlen(event->evt_rendered_msg))) {
		limiter.dropped++;
		write_pending();
		return 0;
	}
	if (limiter.dropped) {
		length = snprintf(drop_notice, sizeof(drop_notice),
				  "{\"event\":\"log_dropped\",\"fields\":{\"lines\":%llu}}\n",
				  (unsigned long long)limiter.dropped);
		if (queue_line(drop_notice, (size_t)length))
			limiter.dropped = 0;
	}
	write_pending();
	return 0;
}

static const log4c_appender_type_t limited_appender = {"bulrushcleat_stdout", NULL, append_limited,
						       NULL};

static const log4c_appender_type_t line_appender = {"bulrushcleat_stderr", NULL, append_line, NULL};

static void write_event(void *data, enum bc_log_level level, const char *event,
			const char *fields_json)
{
	char message[LINE_BYTES - 2];
	char timestamp[32];
	struct timespec now;
	struct tm utc;

	(void)data;
	if (!log4c_category_is_priority_enabled(category, priorities[level]))
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
	if ((size_t)snprintf(message, sizeof(message),
			     "{\"time\":\"%s.%06ldZ\",\"level\":\"%s\",\"program\":\"%s\","
			     "\"event\":\"%s\",\"fields\":%s}",
			     timestamp, now.tv_nsec / 1000, level_names[level], program_name, event,
			     fields_json) >= sizeof(message))
		snprintf(message, sizeof(message),
			 "{\"time\":\"%s.%06ldZ\",\"level\":\"%s\",\"program\":\"%s\","
			 "\"event\":\"%s\",\"fields\":{\"truncated\":true}}",
			 timestamp, now.tv_nsec / 1000, level_names[level], program_name, event);
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

/* Sends the log to standard output without blocking, at a limited rate. */
enum bc_status io_log_limit_rate(struct bc_ctx *ctx, uint32_t lines_per_s)
{
	log4c_appender_t *appender = log4c_appender_get("bulrushcleat_stderr");
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	limiter.lines_per_s = lines_per_s;
	limiter.tokens = lines_per_s;
	limiter.refilled_us = io_now_us();
	log4c_appender_type_set(&limited_appender);
	log4c_appender_set_type(appender, &limited_appender);
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0)
		return bc_fail(ctx, BC_EIO, "standard output cannot be made non-blocking");
	return BC_OK;
}

void io_log_close(void)
{
	log4c_fini();
}
