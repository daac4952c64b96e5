#ifndef BC_BUDGET_H
#define BC_BUDGET_H

/*
 * The memory that a proxy holds for its callers: decides which connections are read, refused or
 * closed. Without sockets and clock: the driver reports sizes and carries out the actions.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bud_limits {
	uint64_t total_bytes;
	uint64_t reserve_bytes;	       /* part of the total for small holders only */
	uint64_t small_bytes;	       /* a holder of at most this, beside its overhead, is small */
	uint64_t transfer_us;	       /* a transfer may take this at any rate */
	uint64_t transfer_bytes_per_s; /* minimum in each such period of a longer one */
	uint64_t startup_us;	       /* a connection has to be started within this time */
	uint32_t startup_max;	       /* connections that are not started */
	uint32_t connections_max;
};

/* What a holder's bytes are used for. */
enum bud_use {
	BUD_OVERHEAD, /* of the connection itself */
	BUD_INPUT,
	BUD_OUTPUT,
	BUD_KERNEL, /* unread and unacknowledged bytes in the socket's buffers */
	BUD_STATEMENT,
	BUD_VALUES,
	BUD_USES
};

enum bud_transfer { BUD_MESSAGE, BUD_ANSWER, BUD_TRANSFERS };

enum bud_action {
	BUD_NONE,
	BUD_CLOSE,  /* close the holder's connection */
	BUD_RESUME, /* read from the holder again */
};

enum bud_verdict {
	BUD_ACCEPTED,
	BUD_REFUSED,
	BUD_LATER,   /* not yet: too many connections are not started */
	BUD_REPLACE, /* close the connection that is returned, and ask again */
};

struct bud_budget;
struct bud_holder;

/* The usual limits for a budget of so many bytes; the caller sets the other limits. */
void bud_limits_default(uint64_t total_bytes, struct bud_limits *limits);
/* The default budget on a machine with so many bytes of memory. */
uint64_t bud_default_bytes(uint64_t memory_bytes);

struct bud_budget *bud_create(const struct bud_limits *limits);
void bud_destroy(struct bud_budget *budget);
/* Whether a further connection of a caller with this overhead is accepted. */
enum bud_verdict bud_accept(struct bud_budget *budget, uint64_t overhead_bytes, uint64_t now_us,
			    struct bud_holder **replaced, const char **reason);
/*
 * Adds a holder. A caller's is read and closed as the budget decides; other holders, such as the
 * connections to endpoints, count but are never named by an action. NULL when out of memory.
 */
struct bud_holder *bud_add(struct bud_budget *budget, bool is_caller, uint64_t overhead_bytes,
			   void *data, uint64_t now_us);
void bud_remove(struct bud_holder *holder);
void *bud_data(const struct bud_holder *holder);
/* Sets the bytes that the holder has for one use. */
void bud_set(struct bud_holder *holder, enum bud_use use, uint64_t bytes);
uint64_t bud_bytes(const struct bud_holder *holder, enum bud_use use);
/* Whether the holder may hold so many bytes more. */
bool bud_admits(const struct bud_holder *holder, uint64_t bytes);
/*
 * Whether so many bytes may be read. If not, the caller is stopped until BUD_RESUME. Holders that
 * are no callers are always read.
 */
bool bud_may_read(struct bud_holder *holder, uint64_t bytes);
/* The caller has sent something, and so is not replaced; and its message that starts is whole. */
void bud_spoke(struct bud_holder *holder);
void bud_started(struct bud_holder *holder);
/*
 * Reports a transfer: the bytes that have been moved since it began, or that it is over. It begins
 * with the first report after the end of the one before.
 */
void bud_transfer_moved(struct bud_holder *holder, enum bud_transfer transfer, uint64_t moved_bytes,
			uint64_t now_us);
void bud_transfer_end(struct bud_holder *holder, enum bud_transfer transfer);
/* The next action, its holder and, for a close, a reason of one word; repeat it until BUD_NONE. */
enum bud_action bud_next(struct bud_budget *budget, uint64_t now_us, struct bud_holder **holder,
			 const char **reason);
/* The process did not run for this time, which does not count against its callers. */
void bud_delayed(struct bud_budget *budget, uint64_t lost_us, uint64_t now_us);
uint64_t bud_total_bytes(const struct bud_budget *budget);
uint32_t bud_connections(const struct bud_budget *budget);
uint32_t bud_starting(const struct bud_budget *budget);
const struct bud_limits *bud_limits(const struct bud_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
