#ifndef BC_FAILOVER_H
#define BC_FAILOVER_H

/* Detects a failed primary and orders promotions and planned hand-overs. */

#include "route/route.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FOV_SILENCE_US (600 * BC_US_PER_MS)
#define FOV_RANK_DELAY_US (400 * BC_US_PER_MS)
#define FOV_UNREACHABLE_US (5 * BC_US_PER_S)
#define FOV_CALL_TIMEOUT_US (500 * BC_US_PER_MS)
#define FOV_NO_RANK (-1)

/* Orders sent to endpoints. The answers go to fov_answer(). */
enum fov_order { FOV_FENCE, FOV_PROMOTE, FOV_FOLLOW, FOV_STEP_DOWN, FOV_POSITION };

struct fov_call {
	uint64_t id;
	enum fov_order order;
	const char *database;
	const char *endpoint;
	uint64_t term;
	const char *primary;	     /* FOV_FOLLOW: the endpoint to follow */
	struct bc_position at_least; /* FOV_POSITION: wait until it is held */
	uint32_t wait_ms;	     /* FOV_POSITION */
};

struct fov_ops {
	void (*call)(void *data, const struct fov_call *call);
	/* A promotion ordered by this proxy is complete. */
	void (*promoted)(void *data, const char *database, uint64_t term, const char *primary,
			 uint64_t gap_us);
};

struct fov_state;

/* `candidate` is this proxy's id, to which endpoints bind their promises. */
struct fov_state *fov_create(struct bc_ctx *ctx, const char *candidate, const struct fov_ops *ops,
			     void *data);
void fov_destroy(struct fov_state *state);
void fov_group_set(struct fov_state *state, const char *database, const char *const *endpoints,
		   size_t count);
/* This proxy's rank among the group's promoters: 0, 1, 2, or FOV_NO_RANK. */
void fov_rank_set(struct fov_state *state, const char *database, int32_t rank);
/* An endpoint is leaving: a primary on it is handed over. */
void fov_leaving_set(struct fov_state *state, const char *endpoint, bool leaving);
/* How many live proxies, this one included, cannot reach the group's primary. */
void fov_peers_set(struct fov_state *state, const char *database, uint32_t unreachable,
		   uint32_t live);
/* The answer to a probe sent at `sent_us`; row is NULL if there was none. */
void fov_report(struct fov_state *state, const char *database, const char *endpoint,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us);
/* The answer to a call: `ok` for granted or done; row is NULL if there was no answer. */
void fov_answer(struct fov_state *state, uint64_t call, bool ok, const struct rte_row *row,
		uint64_t now_us);
void fov_tick(struct fov_state *state, uint64_t now_us);
/* Whether this proxy has not reached the primary for FOV_SILENCE_US (told to peers). */
bool fov_primary_silent(const struct fov_state *state, const char *database, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
