#ifndef BC_CHECK_H
#define BC_CHECK_H

/* Checks histories of the load tool against each other and against an endpoint's log. */

#include "core/core.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>

/* One operation; the strings are owned by `line`, except `file`, which the pool holds. */
struct chk_op {
	json_t *line;
	const char *file;
	const char *op;
	const char *session;
	const char *outcome;
	uint32_t line_number;
	int64_t seq; /* of writes; -1 for reads */
	int64_t start_us;
	int64_t end_us;
};

struct chk_history {
	apr_pool_t *pool;
	struct chk_op *ops;
	size_t count;
	size_t capacity;
	apr_hash_t *complete_runs; /* set of runs whose history has its end record */
};

/* --- check_history.c --- */

void chk_history_init(struct chk_history *history);
void chk_history_free(struct chk_history *history);
/* Reads JSON lines. BC_EINVAL if one is malformed; the last message names the line. */
enum bc_status chk_history_read(struct bc_ctx *ctx, struct chk_history *history, FILE *in,
				const char *file);
/* Sorts by session and start time; must precede the checks. */
void chk_history_sort(struct chk_history *history);

/* --- check_report.c --- */

/* Adds {"rule","place","detail"} to a JSON array. */
void chk_report_add(json_t *report, const char *rule, const char *place, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
/* As chk_report_add(), with the operation's FILE:LINE as the place. */
void chk_report_op(json_t *report, const char *rule, const struct chk_op *op, const char *format,
		   ...) __attribute__((format(printf, 4, 5)));

/* --- check_session.c --- */

/* Checks request ids, the sessions of rows, own writes, monotonic reads and reported ages. */
void chk_sessions(const struct chk_history *history, json_t *report);

/* --- check_log.c --- */

/* Compares the writes with a log {"entries":[{"pos","term","statements":[{"sql","params"}]}]}. */
enum bc_status chk_log(struct bc_ctx *ctx, const struct chk_history *history, const json_t *log,
		       json_t *report);

#endif
