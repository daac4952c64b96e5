#include "core/core.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define TRACEPARENT_LENGTH 55

/* Whether the text is lower-case hex and not all zeros, which the W3C format forbids for ids. */
static bool is_nonzero_hex(const char *text, size_t length)
{
	bool nonzero = false;
	size_t i;

	for (i = 0; i < length; i++) {
		if (!isdigit((unsigned char)text[i]) && (text[i] < 'a' || text[i] > 'f'))
			return false;
		nonzero |= text[i] != '0';
	}
	return nonzero;
}

static bool traceparent_valid(const char *header)
{
	if (strnlen(header, TRACEPARENT_LENGTH + 1) != TRACEPARENT_LENGTH)
		return false;
	if (strncmp(header, "00-", 3) != 0 || header[35] != '-' || header[52] != '-')
		return false;
	return is_nonzero_hex(header + 3, 32) && is_nonzero_hex(header + 36, 16);
}

/* The lowest bit is set because an id of all zeros is not valid. */
static void new_span_id(struct bc_ctx *ctx, char out[17])
{
	snprintf(out, 17, "%016llx", (unsigned long long)(bc_random(ctx) | 1));
}

/* Takes the trace id from the header, or generates one; always generates a new span id. */
void bc_trace_start(struct bc_ctx *ctx, const char *header, struct bc_trace *trace)
{
	memset(trace, 0, sizeof(*trace));
	new_span_id(ctx, trace->span_id);
	if (header && traceparent_valid(header)) {
		memcpy(trace->trace_id, header + 3, 32);
		memcpy(trace->parent_id, header + 36, 16);
		return;
	}
	snprintf(trace->trace_id, sizeof(trace->trace_id), "%016llx%016llx",
		 (unsigned long long)bc_random(ctx), (unsigned long long)(bc_random(ctx) | 1));
}

/* Starts a child span of `parent`; `child` may be the same object. */
void bc_trace_child(struct bc_ctx *ctx, const struct bc_trace *parent, struct bc_trace *child)
{
	struct bc_trace span = {0};

	memcpy(span.trace_id, parent->trace_id, sizeof(span.trace_id));
	memcpy(span.parent_id, parent->span_id, sizeof(span.parent_id));
	new_span_id(ctx, span.span_id);
	*child = span;
}

/* Writes the value of the traceparent header. */
void bc_trace_header(const struct bc_trace *trace, char out[56])
{
	snprintf(out, 56, "00-%.32s-%.16s-01", trace->trace_id, trace->span_id);
}

/* Logs the finished span and observes its duration by hop. */
void bc_trace_end(struct bc_ctx *ctx, const struct bc_trace *trace, const char *hop,
		  uint64_t start_us, uint64_t end_us, const char *result)
{
	char labels[48];

	bc_log(ctx, BC_LOG_DEBUG, "span", "{s:s,s:s,s:s,s:s,s:I,s:s}", "trace_id", trace->trace_id,
	       "span_id", trace->span_id, "parent_id", trace->parent_id, "hop", hop, "duration_us",
	       (json_int_t)(end_us - start_us), "result", result);
	snprintf(labels, sizeof(labels), "hop=\"%s\"", hop);
	bc_histogram_observe_us(ctx, "bulrushcleat_hop_seconds", labels, end_us - start_us);
}
