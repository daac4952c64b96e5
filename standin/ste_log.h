#ifndef STE_LOG_H
#define STE_LOG_H

/*
 * The replicated log of one database: entries (pos, term, statements of one transaction) in a
 * table of the database's own sqlite file, and an index of their terms in memory.
 */

#include "core/core.h"

#include <sqlite3.h>

struct ste_log;

struct ste_log *ste_log_open(struct bc_ctx *ctx, sqlite3 *sqlite);
void ste_log_close(struct ste_log *log);
struct bc_position ste_log_last(const struct ste_log *log);
uint64_t ste_log_term_at(const struct ste_log *log, uint64_t pos);
uint64_t ste_log_received_us(const struct ste_log *log, uint64_t pos);
bool ste_log_contains(const struct ste_log *log, struct bc_position position);
bool ste_log_covers(const struct ste_log *log, struct bc_position want);
struct bc_position ste_log_last_up_to(const struct ste_log *log, struct bc_position bound);
enum bc_status ste_log_write(struct ste_log *log, struct bc_position position,
			     const char *statements);
enum bc_status ste_log_push(struct ste_log *log, struct bc_position position, uint64_t now_us);
enum bc_status ste_log_delete_after(struct ste_log *log, uint64_t pos);
void ste_log_pop_after(struct ste_log *log, uint64_t pos);
json_t *ste_log_entries(struct ste_log *log, uint64_t after, size_t limit, size_t max_bytes);

#endif
