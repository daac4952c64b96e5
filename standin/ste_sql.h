#ifndef STE_SQL_H
#define STE_SQL_H

/* Runs callers' SQL statements on a sqlite handle, with JSON parameters and results. */

#include "core/core.h"

#include <sqlite3.h>

#define STE_SQL_ERROR_BYTES 256

struct ste_sql_error {
	char code[32];
	char message[STE_SQL_ERROR_BYTES];
};

/* A sqlite handle with the access rights of the statement that runs on it. */
struct ste_sql {
	sqlite3 *sqlite;
	bool restricted; /* a caller's statement is running, which authorize() restricts */
};

enum bc_status ste_sql_open(struct bc_ctx *ctx, const char *path, struct ste_sql *sql);
void ste_sql_close(struct ste_sql *sql);
enum bc_status ste_sql_run_internal(struct bc_ctx *ctx, struct ste_sql *sql, const char *text);
bool ste_sql_has_write(struct ste_sql *sql, const json_t *statements);
bool ste_sql_is_read(struct ste_sql *sql, const json_t *statements);
enum bc_status ste_sql_run(struct ste_sql *sql, const json_t *statement, json_t **result,
			   bool *wrote, struct ste_sql_error *error);
enum bc_status ste_sql_drop_caller_objects(struct bc_ctx *ctx, struct ste_sql *sql);

#endif
