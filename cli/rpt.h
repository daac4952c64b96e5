#ifndef BC_RPT_H
#define BC_RPT_H

/* What the logs of some proxies say of a span of time, second by second. */

#include "core/core.h"

#include <stdio.h>

/* Kinds of routes, as the logs name them. */
enum rpt_route { RPT_NEWEST, RPT_AGED, RPT_SESSION, RPT_ROUTES };

struct rpt_series;

struct rpt_series *rpt_create(void);
void rpt_destroy(struct rpt_series *series);
/* Takes one line of a log; text before its JSON object is skipped. False if there is none. */
bool rpt_line(struct rpt_series *series, const char *line);

struct rpt_totals {
	uint64_t lines;
	uint64_t skipped; /* lines without a JSON object, a time or an event */
	uint64_t statements;
	uint64_t failed;
	uint64_t refused;
	uint64_t leader_reads;
	uint64_t replica_reads;
	uint64_t promotions;
	uint32_t seconds;
	char from[32]; /* time of the first line */
};

struct rpt_totals rpt_totals_get(const struct rpt_series *series);
/* Tables for a plot: a line of column names, then a line a second, separated by tabs. */
void rpt_write_latency(struct rpt_series *series, FILE *out);
void rpt_write_refusals(const struct rpt_series *series, FILE *out);
void rpt_write_reads(const struct rpt_series *series, FILE *out);
void rpt_write_events(const struct rpt_series *series, FILE *out);
/* Number of refusal columns after the second. */
uint32_t rpt_reasons(const struct rpt_series *series);

#endif
