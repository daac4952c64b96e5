#ifndef BC_FAILOVER_H
#define BC_FAILOVER_H

/* Detects failed primaries, and orders promotions and planned hand-overs. */

#include "route/route.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A primary not heard from for this long counts as silent, and a member as not responding. */
#define FOV_CONTACT_TIMEOUT_US (600 * BC_US_PER_MS)
/* Each rank waits this much longer than the one before it, so that the promoters do not compete. */
#define FOV_RANK_DELAY_US (400 * BC_US_PER_MS)
/* Time for which half of the proxies must not reach the primary before it is replaced. */
#define FOV_UNREACHABLE_US (5 * BC_US_PER_S)
#define FOV_CALL_TIMEOUT_US (500 * BC_US_PER_MS)
/* This proxy is not one of the group's promoters. */
#define FOV_NO_RANK (-1)

/* Orders that are sent to endpoints. Their answers are passed to fov_answer(). */
enum fov_order { FOV_FENCE, FOV_PROMOTE, FOV_FOLLOW, FOV_STEP_DOWN, FOV_POSITION };

struct fov_call {
	uint64_t id;
	enum fov_order order;
	const char *database;
	const char *endpoint;
	uint64_t term;
	const char *primary;	     /* FOV_FOLLOW: the endpoint to follow */
	struct bc_position at_least; /* FOV_POSITION: answer when this position is reached */
	uint32_t wait_ms;	     /* FOV_POSITION: or after this time */
};

struct fov_ops {
	/* Sends an order. */
	void (*call)(void *data, const struct fov_call *call);
	/*
	 * Reports that a promotion ordered by this proxy is complete, `gap_us` after the outage
	 * began.
	 */
	void (*promoted)(void *data, const char *database, uint64_t term, const char *primary,
			 uint64_t gap_us);
};

struct fov_state;

/* `candidate` identifies this run of the proxy; endpoints promise a term to one candidate. */
struct fov_state *fov_create(struct bc_ctx *ctx, const char *candidate, const struct fov_ops *ops,
			     void *data);
void fov_destroy(struct fov_state *state);
void fov_group_set(struct fov_state *state, const char *database, const char *const *endpoints,
		   size_t count);
/* Sets this proxy's rank among the group's promoters: 0, 1, 2, or FOV_NO_RANK. */
void fov_rank_set(struct fov_state *state, const char *database, int32_t rank);
/* Sets whether an endpoint is leaving. A primary on a leaving endpoint is handed over. */
void fov_leaving_set(struct fov_state *state, const char *endpoint, bool leaving);
/*
 * Sets how many proxies are live, and how many of them cannot reach the group's primary; both
 * counts include this proxy.
 */
void fov_peer_counts_set(struct fov_state *state, const char *database, uint32_t unreachable,
			 uint32_t live);
/* Records the answer to a probe sent at `sent_us`; `row` is NULL if there was none. */
void fov_report(struct fov_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us);
/* Processes the answer to a call: `ok` if granted or done; `row` is NULL if there was none. */
void fov_answer(struct fov_state *state, uint64_t call, bool ok, const struct rte_row *row,
		uint64_t now_us);
void fov_tick(struct fov_state *state, uint64_t now_us);
/* Whether this proxy has not reached the primary for FOV_CONTACT_TIMEOUT_US; reported to peers. */
bool fov_primary_silent(const struct fov_state *state, const char *database, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
