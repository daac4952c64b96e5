#ifndef BC_CORE_H
#define BC_CORE_H

/*
 * Shared by all modules: the text of the last error, log events, metrics, random numbers, positions
 * in a database group's log, findings and traces.
 */

#include "bulrushcleat.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longest id of a VM, endpoint, customer, plan or database, NUL included. */
#define BC_ID_BYTES 64
#define BC_ADDRESS_BYTES 64 /* "IP:PORT", NUL included */

/*
 * A place in the history of a store. The era rises when the store is restored from an older copy of
 * itself; revisions then go back and are given out again, so they have an order within one era
 * only.
 */
struct bc_version {
	uint64_t era;
	uint64_t revision;
};

/* Term and number of a log entry. Positions are ordered by term, then by number. */
struct bc_position {
	uint64_t term;
	uint64_t pos;
};

enum bc_status bc_fail(struct bc_ctx *ctx, enum bc_status status, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Logs an event. `fields` is a json_pack() format such as "{s:s,s:I}"; its values follow. */
void bc_log(struct bc_ctx *ctx, enum bc_log_level level, const char *event, const char *fields,
	    ...);

/* A 64-bit number from the context's seeded generator; the same seed gives the same numbers. */
uint64_t bc_random(struct bc_ctx *ctx);
/* A number in [0, bound); 0 if bound is 0. */
uint64_t bc_random_below(struct bc_ctx *ctx, uint64_t bound);

int bc_position_compare(struct bc_position a, struct bc_position b);
/* Whether a replica whose last entry is `have` contains `want`, which a majority holds. */
bool bc_position_covers(struct bc_position have, struct bc_position want);

/* Compares the eras first: revisions of different eras have no order. */
int bc_version_compare(struct bc_version a, struct bc_version b);

uint64_t bc_hash(const char *text);
uint64_t bc_hash_seeded(const char *text, uint64_t seed);
uint64_t bc_hash2(const char *a, const char *b);

/* An id consists of 1 to 63 characters of [A-Za-z0-9._-]. */
bool bc_id_valid(const char *id);

/* Metrics, named as in the Prometheus text format; labels like `outcome="ran"`, or NULL. */
void bc_counter_add(struct bc_ctx *ctx, const char *name, const char *labels, uint64_t add);
void bc_gauge_set(struct bc_ctx *ctx, const char *name, const char *labels, double value);
/* Adds a value to a histogram with fixed bucket bounds from 100 us to 30 s. */
void bc_histogram_observe_us(struct bc_ctx *ctx, const char *name, const char *labels,
			     uint64_t value_us);
/* Registers the help text of a metric (shown as # HELP). */
void bc_metric_describe(struct bc_ctx *ctx, const char *name, const char *help);
uint64_t bc_counter_value(struct bc_ctx *ctx, const char *name, const char *labels);
/* All metrics in the Prometheus text format, to be freed with free(). */
char *bc_metrics_text(struct bc_ctx *ctx);

/* Findings: problems in files with their line and column, collected and reported together. */
struct bc_findings;
struct bc_findings *bc_findings_create(void);
void bc_findings_destroy(struct bc_findings *findings);
void bc_findings_add(struct bc_findings *findings, const char *file, uint32_t line, uint32_t column,
		     const char *value, const char *format, ...)
	__attribute__((format(printf, 6, 7)));
size_t bc_findings_count(const struct bc_findings *findings);
/* One line per finding: FILE:LINE:COLUMN: "VALUE": MESSAGE. To be freed with free(). */
char *bc_findings_text(const struct bc_findings *findings);
/* A JSON array of {file,line,column,value,message}; a new reference. */
json_t *bc_findings_json(const struct bc_findings *findings);

/* A span of a trace, as in the W3C traceparent header "00-<32 hex>-<16 hex>-<2 hex>". */
struct bc_trace {
	char trace_id[33];
	char span_id[17];
	char parent_id[17]; /* empty for a root span */
};
/* Continues the trace in `header`, or starts one if it is NULL or malformed; sets a new span id. */
void bc_trace_start(struct bc_ctx *ctx, const char *header, struct bc_trace *trace);
void bc_trace_child(struct bc_ctx *ctx, const struct bc_trace *parent, struct bc_trace *child);
void bc_trace_header(const struct bc_trace *trace, char out[56]);
/* Logs a finished span as event "span" at debug level and observes its duration by hop. */
void bc_trace_end(struct bc_ctx *ctx, const struct bc_trace *trace, const char *hop,
		  uint64_t start_us, uint64_t end_us, const char *result);

#ifdef __cplusplus
}
#endif

#endif
