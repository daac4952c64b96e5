#ifndef BC_QUORUM_H
#define BC_QUORUM_H

/* Confirms that a majority of a group's endpoints holds a log position. */

#include "route/route.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUO_POLL_WAIT_MS 500U

struct quo_ops {
	/*
	 * Asks the endpoint for its row, answered when it holds entry `at_least.pos` of term
	 * `at_least.term`, or after wait_ms. The answer goes to quo_report(), then to
	 * quo_poll_ended().
	 * At most one poll for each (database, endpoint) is outstanding.
	 */
	void (*poll)(void *data, const char *database, const char *endpoint,
		     struct bc_position at_least, uint32_t wait_ms);
	/* BC_OK: confirmed; BC_ETIMEOUT: not confirmed by the deadline. Called once a waiter. */
	void (*done)(void *data, uint64_t waiter, enum bc_status status);
};

struct quo_wait {
	uint64_t waiter; /* the caller's id for it */
	const char *database;
	struct bc_position position; /* must be held by a majority */
	/*
	 * The primary that ran it in term `position.term`; NULL for a position read on a replica,
	 * which may have got the entry after it promised a greater term.
	 */
	const char *holder;
	/*
	 * For a read on the primary of term `position.term`: a majority must also report, to polls
	 * sent at or after this time, that it has promised no greater term. 0: not needed.
	 */
	uint64_t not_replaced_since_us;
	uint64_t deadline_us;
};

struct quo_state;

struct quo_state *quo_create(struct bc_ctx *ctx, const struct quo_ops *ops, void *data);
void quo_destroy(struct quo_state *state);
/* Sets a group's members. Waiters of a group whose members change are judged by the new set. */
void quo_group_set(struct quo_state *state, const char *database, const char *const *endpoints,
		   size_t count);
/* May call ops->done before it returns. */
void quo_wait_add(struct quo_state *state, const struct quo_wait *wait, uint64_t now_us);
/*
 * A row reported by an endpoint, from a poll or a probe sent at `sent_us`. `held` is a position
 * that the endpoint says its log contains ({0, 0}: none asked); row->log counts for its own term.
 * Neither counts for a term below one that the row shows as promised or followed.
 */
void quo_report(struct quo_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, struct bc_position held, uint64_t sent_us,
		uint64_t now_us);
/* The poll to this endpoint has ended (answered or not); lets the next one be sent. */
void quo_poll_ended(struct quo_state *state, const char *database, const char *endpoint,
		    bool answered, uint64_t now_us);
/* Ends waiters past their deadline and sends polls again after failures. */
void quo_tick(struct quo_state *state, uint64_t now_us);
size_t quo_waiting(const struct quo_state *state);

#ifdef __cplusplus
}
#endif

#endif
