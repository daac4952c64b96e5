#ifndef STE_DATABASE_H
#define STE_DATABASE_H

/* One copy of a database: its sqlite file, replicated log, role and transactions. */

#include "standin/ste_log.h"
#include "standin/ste_role.h"
#include "standin/ste_sql.h"

struct ste_database;

/* Result of running a list of statements. */
struct ste_outcome {
	bool ok;
	json_t *results;
	struct bc_position position;
	struct ste_sql_error error;
};

struct ste_database *ste_database_open(struct bc_ctx *ctx, const char *directory, const char *name,
				       const char *self);
void ste_database_close(struct ste_database *database);
const char *ste_database_name(const struct ste_database *database);
const struct ste_role *ste_database_role(const struct ste_database *database);
struct ste_log *ste_database_log(struct ste_database *database);
bool ste_database_is_new(const struct ste_database *database);
enum bc_status ste_database_start(struct ste_database *database, const char *primary,
				  const char *address);

struct bc_position ste_database_applied(const struct ste_database *database);
bool ste_database_rebuilding(const struct ste_database *database);

bool ste_database_fence(struct ste_database *database, uint64_t term, const char *candidate);
bool ste_database_promote(struct ste_database *database, uint64_t term, const char *candidate);
bool ste_database_follow(struct ste_database *database, uint64_t term, const char *primary,
			 const char *address);

bool ste_database_has_write(struct ste_database *database, const json_t *statements);
bool ste_database_is_read(struct ste_database *database, const json_t *statements);
void ste_database_read(struct ste_database *database, const json_t *statements,
		       struct ste_outcome *outcome);
bool ste_database_in_transaction(const struct ste_database *database);
void ste_database_write(struct ste_database *database, const json_t *statements, bool commit,
			uint64_t now_us, struct ste_outcome *outcome);
void ste_database_rollback(struct ste_database *database);

enum bc_status ste_database_receive(struct ste_database *database, struct bc_position after,
				    const json_t *entries, uint64_t now_us);
size_t ste_database_apply(struct ste_database *database, size_t limit, uint64_t received_by_us);

json_t *ste_position_json(struct bc_position position);

#endif
