#ifndef BC_QUORUM_H
#define BC_QUORUM_H

/* Confirms that a majority of a group's endpoints holds a log position. */

#include "route/route.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long an endpoint may delay the answer to a poll until it holds the position. */
#define QUO_POLL_WAIT_MS 500U

struct quo_ops {
	/*
	 * Asks the endpoint for its row. It answers when it holds entry `at_least.pos` of term
	 * `at_least.term`, or after `wait_ms`. The answer is passed to quo_report(), then to
	 * quo_poll_ended(). At most one poll for each (database, endpoint) is outstanding.
	 */
	void (*poll)(void *data, const char *database, const char *endpoint,
		     struct bc_position at_least, uint32_t wait_ms);
	/* Called once per waiter. BC_OK: confirmed; BC_ETIMEOUT: not confirmed by the deadline. */
	void (*done)(void *data, uint64_t waiter, enum bc_status status);
};

/* A request to be called back when a majority holds a position. */
struct quo_wait {
	uint64_t waiter; /* the caller's id for this request */
	const char *database;
	struct bc_position position; /* must be held by a majority */
	/*
	 * The primary that wrote the entry in term `position.term`; it counts as holding it. NULL
	 * for a position read on a replica, which may have received the entry after it promised a
	 * greater term.
	 */
	const char *holder;
	/*
	 * For a read on the primary of term `position.term`: a majority must also report, in answer
	 * to polls sent at or after this time, that it has promised no greater term. 0: not needed.
	 */
	uint64_t primary_check_since_us;
	uint64_t deadline_us;
};

struct quo_state;

struct quo_state *quo_create(struct bc_ctx *ctx, const struct quo_ops *ops, void *data);
void quo_destroy(struct quo_state *state);
/* Sets a group's members. Waiters of the group are evaluated against the new members. */
void quo_group_set(struct quo_state *state, const char *database, const char *const *endpoints,
		   size_t count);
/* Adds a waiter. May call ops->done before it returns. */
void quo_wait_add(struct quo_state *state, const struct quo_wait *wait, uint64_t now_us);
/*
 * Records a row reported by an endpoint in answer to a poll or probe sent at `sent_us`. `held` is a
 * position that the endpoint reports its log to contain ({0, 0} if none was asked for); row->log
 * counts for its own term. Neither counts if the row shows a greater term, promised or followed.
 */
void quo_report(struct quo_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, struct bc_position held, uint64_t sent_us,
		uint64_t now_us);
/* Ends the outstanding poll to an endpoint, answered or not, so that the next one may be sent. */
void quo_poll_ended(struct quo_state *state, const char *database, const char *endpoint,
		    bool answered, uint64_t now_us);
/* Ends waiters past their deadline and retries failed polls. */
void quo_tick(struct quo_state *state, uint64_t now_us);
/* Returns the number of waiters. */
size_t quo_waiting(const struct quo_state *state);

#ifdef __cplusplus
}
#endif

#endif
