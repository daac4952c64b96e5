#ifndef BC_TAKEOVER_INTERNAL_H
#define BC_TAKEOVER_INTERNAL_H

/*
 * Shared by takeover.c (the steps of a takeover), choose.c (choice of the replica to promote) and
 * pause.c (pausing replication on the other replicas during a promotion).
 */

#include "takeover/takeover.h"

#include <apr_hash.h>
#include <apr_pools.h>

/*
 * Delay before a blocked attempt continues. It is short, because a peer that could reach the leader
 * may no longer be able to.
 */
#define RECHECK_US (200 * BC_US_PER_MS)
/* An endpoint that has not answered a status query by then is not a candidate. */
#define STATUS_TIMEOUT_US (250 * BC_US_PER_MS)

enum step {
	STEP_IDLE,
	STEP_RANK_DELAY,   /* waits for proxies of earlier ranks, or before it tries again */
	STEP_CONFIRM,	   /* has asked the other proxies whether the leader answers them */
	STEP_CLAIM,	   /* writes the claim object */
	STEP_QUERY_STATUS, /* queries the replicas' positions */
	STEP_PAUSE,	   /* pauses replication on the other replicas */
	STEP_CATCH_UP,	   /* waits until the target has received all that they have */
	STEP_ORDER,	   /* waits for the platform's answer to the order */
	STEP_AWAIT_LEAD,   /* the order was accepted; waits until the target leads */
	STEP_CLAIM_LOST,   /* another proxy has claimed; gives it time to promote */
};

/* A replica's answer to a status query or to a pause. */
struct answer {
	char endpoint_id[BC_ID_BYTES];
	struct tko_status status;
};

struct takeover {
	struct tko_state *state;
	struct grp_group *group;
	enum step step;
	char old_leader[BC_ID_BYTES]; /* the leader to replace; "" if none was known */
	uint64_t start_us;
	uint64_t peer_reached_leader_us; /* when a peer last reported that; 0: not yet */
	bool claim_read;		 /* the claim object's version is known in this attempt */
	struct bc_version claim;	 /* version of the claim object, as read or written */
	uint64_t token;	 /* fencing token of the order: the version of the own claim */
	uint32_t orders; /* sent under this token */
	uint64_t ordered_us;
	char target[BC_ID_BYTES];
	uint64_t ended_us; /* when the last takeover ended; 0: none */
	uint32_t queried_count;
	uint32_t answer_count;
	struct answer answers[GRP_ENDPOINTS_MAX];
	/* Replicas with paused replication; only used if replicas acknowledge commits. */
	struct answer paused[GRP_ENDPOINTS_MAX];
	uint32_t paused_count;
	uint32_t pauses_pending;   /* paused replicas whose answer is outstanding */
	uint64_t pause_start_us;   /* when the pause step began */
	bool order_outstanding;	   /* an order was sent, which may still be carried out */
	bool prefer_most_received; /* even if leaving; set when a target is abandoned */
	bool contested;		   /* another proxy has claimed, and may have paused replicas */
	struct bc_timer timer;
	struct bc_timer resume_timer;
};

struct tko_state {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct tko_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *takeovers; /* group -> struct takeover */
};

/* takeover.c */
void tko_enter(struct takeover *takeover, enum step step, uint64_t delay_us, uint64_t now_us);
bool tko_stop_if_obsolete(struct takeover *takeover, uint64_t now_us);
bool tko_is_planned(const struct takeover *takeover);
bool tko_is_queried(const struct takeover *takeover, const struct grp_endpoint *endpoint);
struct takeover *tko_find(const struct tko_state *state, const char *group);
void tko_order(struct takeover *takeover, uint64_t now_us);

/* choose.c */
const struct answer *tko_best_answer(const struct takeover *takeover);
bool tko_may_lose_commits(const struct takeover *takeover, const struct answer *best,
			  uint32_t missing);
uint32_t tko_answered_count(const struct takeover *takeover);

/* pause.c */
void tko_pause_others(struct takeover *takeover, uint64_t now_us);
bool tko_pause_new(struct takeover *takeover, uint64_t now_us);
void tko_pause_ended(struct takeover *takeover, uint64_t now_us);
void tko_catch_up_poll(struct takeover *takeover, uint64_t now_us);
void tko_order_when_caught_up(struct takeover *takeover, struct bc_position received,
			      uint64_t now_us);
void tko_clear_paused(struct takeover *takeover);
void tko_resume_paused(struct takeover *takeover, uint64_t now_us);
void tko_resume_due(void *data, uint64_t now_us);

#endif
