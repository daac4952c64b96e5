#ifndef BC_TAKEOVER_H
#define BC_TAKEOVER_H

/*
 * Replacement of a group's leader: after a crash, or planned when the leader is leaving. A proxy
 * claims the takeover by writing the group's claim object in the platform's store. The object's
 * version, which grows with each claim, is the fencing token of the promotion order, so that only
 * the newest claim takes effect. The token begins with the era: after a restore of the store
 * revisions are given out again.
 */

#include "core/timer.h"
#include "group/group.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A proxy without a rank claims only after the ranked proxies have had time to claim. */
#define TKO_NO_RANK (-1)

/* An endpoint's answer to a status query. */
struct tko_status {
	bool answered;
	bool leads;
	uint64_t term;
	struct bc_position received;
};

struct tko_ops {
	/* Reads the version of the group's claim object. Answered by tko_claim_read(). */
	void (*read_claim)(void *data, const char *group);
	/*
	 * Writes the group's claim object if its revision is still this one (0: does not exist).
	 * Answered by tko_claim_written().
	 */
	void (*claim)(void *data, const char *group, uint64_t revision);
	/* Queries an endpoint's status. Answered by tko_status_received(). */
	void (*query_status)(void *data, struct grp_endpoint *endpoint, uint64_t timeout_us,
			     uint64_t now_us);
	/* Pauses replication on a replica, under this term. Answered by tko_paused(). */
	void (*pause)(void *data, struct grp_endpoint *endpoint, uint64_t term, uint64_t timeout_us,
		      uint64_t now_us);
	/* Resumes replication on a replica. */
	void (*resume)(void *data, struct grp_endpoint *endpoint, uint64_t now_us);
	/* Orders the platform to promote the endpoint. Answered by tko_promotion_answered(). */
	void (*promote)(void *data, const char *group, const char *endpoint_id, uint64_t token);
	/* This proxy's place in the order in which proxies claim, from 0; or TKO_NO_RANK. */
	int32_t (*rank)(void *data, const char *group);
	/* Asks the other proxies whether the leader answers them. */
	void (*ask_peers)(void *data, struct grp_group *group);
	/* Whether the platform no longer lists the leader, or none is known. */
	bool (*is_leader_gone)(void *data, struct grp_group *group);
	/*
	 * Whether this proxy is on the side of a partition that may take over: most of the proxies
	 * that it queried have answered, or the platform no longer lists the leader.
	 */
	bool (*may_take_over)(void *data, struct grp_group *group);
};

struct tko_state;

struct tko_state *tko_create(struct bc_ctx *ctx, struct bc_timers *timers, struct grp_state *groups,
			     const struct tko_ops *ops, void *data);
void tko_destroy(struct tko_state *state);
/* Reports that the group's leader does not answer this proxy, or is not known. */
void tko_leader_lost(struct tko_state *state, struct grp_group *group, uint64_t now_us);
/* Reports that the group's leader is leaving, which starts a planned takeover. */
void tko_leader_leaving(struct tko_state *state, struct grp_group *group, uint64_t now_us);
/* Reports that another proxy has had an answer from the leader recently. */
void tko_peer_reaches_leader(struct tko_state *state, struct grp_group *group, uint64_t now_us);
/*
 * BC_OK with the version; BC_ENOTFOUND: there is no claim yet in this era; others: the read failed.
 */
void tko_claim_read(struct tko_state *state, const char *group, enum bc_status status,
		    struct bc_version version, uint64_t now_us);
/* BC_OK or BC_ECONFLICT with the object's version; others: the claim may have been written. */
void tko_claim_written(struct tko_state *state, const char *group, enum bc_status status,
		       struct bc_version version, uint64_t now_us);
/* Delivers an endpoint's answer to a status query. */
void tko_status_received(struct tko_state *state, const char *group, const char *endpoint_id,
			 const struct tko_status *status, uint64_t now_us);
/* Delivers a replica's answer to the request to pause replication. */
void tko_paused(struct tko_state *state, const char *group, const char *endpoint_id,
		const struct tko_status *status, uint64_t now_us);
/* BC_OK; BC_ECONFLICT: a newer token, or the endpoint does not run; BC_EAGAIN: refused. */
void tko_promotion_answered(struct tko_state *state, const char *group, enum bc_status status,
			    uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
