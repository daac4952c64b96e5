#ifndef STE_DATABASE_INTERNAL_H
#define STE_DATABASE_INTERNAL_H

/* Shared by ste_database.c and ste_replay.c. */

#include "standin/ste_database.h"

struct ste_database {
	struct bc_ctx *ctx;
	char name[BC_ID_BYTES];
	char self[BC_ID_BYTES];
	struct ste_sql writer; /* runs write transactions and applies entries */
	struct ste_sql reader; /* reads committed data only */
	struct ste_log *log;
	struct ste_role role;
	uint64_t applied;	/* number of the last executed entry */
	uint64_t rebuilt_until; /* after a truncation: reads are refused up to this entry */
	json_t *pending_writes; /* write statements of the open transaction */
	bool in_transaction;
	bool is_new;
	bool apply_failed;
};

enum bc_status ste_db_set_number(struct ste_database *database, const char *key, uint64_t value);
enum bc_status ste_db_begin(struct ste_database *database);
enum bc_status ste_db_finish(struct ste_database *database, enum bc_status status);
enum bc_status ste_db_run_all(struct ste_sql *sql, const json_t *statements, json_t *pending_writes,
			      struct ste_outcome *outcome);

#endif
