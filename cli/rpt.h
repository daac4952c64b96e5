#ifndef BC_RPT_H
#define BC_RPT_H

/* Statistics per second from the logs of one or more proxies. */

#include "core/core.h"

#include <stdio.h>

/* Routes, as the logs name them. */
enum rpt_route { RPT_NEWEST, RPT_AGED, RPT_SESSION, RPT_ROUTES };

struct rpt_series;

struct rpt_series *rpt_create(void);
void rpt_destroy(struct rpt_series *series);
/* Adds one log line; text before its JSON object is skipped. False if the line is not counted. */
bool rpt_add_line(struct rpt_series *series, const char *line);

struct rpt_totals {
	uint64_t lines;
	uint64_t skipped; /* lines without a JSON object or event, or without a time in range */
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
/* Tables for plots, separated by tabs: a line of column names, then one line per second. */
void rpt_write_latency(struct rpt_series *series, FILE *out);
void rpt_write_refusals(const struct rpt_series *series, FILE *out);
void rpt_write_reads(const struct rpt_series *series, FILE *out);
void rpt_write_events(const struct rpt_series *series, FILE *out);
/* Number of refusal reasons: the columns after "second" in the table of refusals. */
uint32_t rpt_reason_count(const struct rpt_series *series);

#endif
