#ifndef BC_GROUP_H
#define BC_GROUP_H

/*
 * What this proxy knows of the endpoints of each database group: who leads, how fresh each copy
 * is, how fast and whether it answers; and the choice of an endpoint from that.
 */

#include "core/core.h"

#include <apr_ring.h>

#ifdef __cplusplus
extern "C" {
#endif

/* At their least spacing they span nearly 4 s of positions. */
#define GRP_SAMPLES 96U
#define GRP_ENDPOINTS_MAX 16U /* of one group */

/* Former leaders that are remembered; each promotion adds one. */
#define GRP_FORMERS 4U

/* An endpoint as discovery describes it. */
struct grp_info {
	char id[BC_ID_BYTES];
	char group[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint32_t slots;
	bool leaving;
	bool claims_lead;  /* by its own report, which may be outdated */
	uint64_t revision; /* of the report */
	uint64_t born_ms;  /* Unix time of its start; a change means that it knows nothing */
};

struct grp_group;

struct grp_endpoint {
	APR_RING_ENTRY(grp_endpoint) link;
	struct grp_info info;
	struct grp_group *group;
	bool removed;
	uint32_t users; /* connections that refer to it */
	uint32_t index; /* in the group, for sets of tried endpoints */
	uint32_t inflight;
	uint32_t inflight_via; /* statements that other proxies run there for this one */
	uint64_t latency_us;   /* moving average of answered statements */
	uint64_t latency_at_us;
	uint64_t answered_us; /* last whole answer */
	uint64_t waiting_us;  /* since when something is outstanding without any answer; 0 if not */
	bool suspect;	      /* does not answer */
	uint64_t suspect_us;  /* since when */
	uint64_t retry_us;    /* not before this, while suspect */
	uint32_t failures;    /* in a row */
	/*
	 * As the leader, it has applied all that its log holds. A promoted copy leads, and
	 * acknowledges commits, before it has applied what it had received.
	 */
	bool caught_up;
	bool refused_lead;	 /* it has said that it does not lead */
	uint64_t refused_term;	 /* newest term known then */
	uint64_t check_us;	 /* when it may be asked again whether it has */
	struct bc_position seen; /* newest position that it has reported */
	uint64_t seen_us;
	uint32_t behind_count; /* refusals for lack of a position, in a row */
	uint64_t behind_until_us;
};

APR_RING_HEAD(grp_endpoint_ring, grp_endpoint);

/* A position that the leader had when a request was sent to it. */
struct grp_sample {
	uint64_t sent_us;
	struct bc_position position;
};

/* A former leader, by its id: it may start anew with the log of its time. */
struct grp_former {
	char id[BC_ID_BYTES];
	uint64_t term; /* in which it led, or an older one */
};

struct grp_group {
	APR_RING_ENTRY(grp_group) entry;
	char name[BC_ID_BYTES];
	struct grp_endpoint_ring endpoints;
	struct grp_endpoint *leader; /* NULL while unknown */
	uint64_t term;		     /* newest term seen */
	uint64_t reach_us;	     /* until then another proxy is taken to reach the leader */
	uint32_t max_connections;
	uint32_t sync_replicas;
	/*
	 * The newest position that is known to be in a copy's log or to have been acknowledged.
	 * Where copies acknowledge commits, a leader without it would lose some.
	 */
	struct bc_position kept;
	char last_leader[BC_ID_BYTES]; /* the leader, or the one known before */
	uint64_t lead_term;	       /* of that leader, at least */
	struct grp_former formers[GRP_FORMERS];
	uint32_t next_former;
	bool deposed; /* the leader known last has said that it does not lead */
	/* It was last_leader; newest term seen then, 0: none. */
	bool last_deposed;
	uint64_t deposed_term;
	bool listed; /* in the configuration */
	uint32_t used_indexes;
	struct grp_sample samples[GRP_SAMPLES]; /* a ring, the newest at sample_last */
	uint32_t sample_last;
	uint32_t sample_count;
	uint64_t wanted_us; /* when a read last needed a sample */
};

struct grp_ops {
	void (*endpoint_added)(void *data, struct grp_endpoint *endpoint);
	/* Leaving, removed or moved to another address: no new work goes there. */
	void (*endpoint_gone)(void *data, struct grp_endpoint *endpoint, uint64_t now_us);
	void (*leader_changed)(void *data, struct grp_group *group, uint64_t now_us);
};

struct grp_state;

struct grp_state *grp_create(struct bc_ctx *ctx, const char *domain, const char *region,
			     const struct grp_ops *ops, void *data);
void grp_destroy(struct grp_state *state);
/* Adds or changes a group of the configuration. */
struct grp_group *grp_set(struct grp_state *state, const char *name, uint32_t max_connections,
			  uint32_t sync_replicas);
/* Groups that are not set again until grp_sweep() leave the configuration. */
void grp_mark(struct grp_state *state);
void grp_sweep(struct grp_state *state);
struct grp_group *grp_find(const struct grp_state *state, const char *name);
/* The groups in turn; NULL after the last. */
struct grp_group *grp_group_first(const struct grp_state *state);
struct grp_group *grp_group_next(const struct grp_state *state, const struct grp_group *group);
/* The endpoints of a group in turn; NULL after the last. */
struct grp_endpoint *grp_first(const struct grp_group *group);
struct grp_endpoint *grp_next(const struct grp_endpoint *endpoint);
struct grp_endpoint *grp_endpoint_find(const struct grp_state *state, const char *id);
/* Adds or changes an endpoint; an endpoint whose id, address or start differs replaces the old. */
void grp_endpoint_set(struct grp_state *state, const struct grp_info *info, uint64_t now_us);
void grp_endpoint_remove(struct grp_state *state, const char *id, uint64_t now_us);
void grp_endpoint_use(struct grp_endpoint *endpoint);
void grp_endpoint_unuse(struct grp_endpoint *endpoint);

/* Evidence from traffic. */
void grp_sent(struct grp_endpoint *endpoint, uint64_t now_us);
void grp_answered(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t latency_us,
		  bool ran, uint64_t now_us);
/* The same for statements that go through another proxy, which watches the endpoint itself. */
void grp_sent_via(struct grp_endpoint *endpoint);
void grp_answered_via(struct grp_endpoint *endpoint, uint64_t latency_us, bool ran,
		      uint64_t now_us);
/* A connection was refused, reset or silent. */
void grp_failed(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
		uint64_t now_us);
/* An open connection broke while an answer was due. */
void grp_connection_broke(struct grp_state *state, struct grp_endpoint *endpoint,
			  const char *reason, uint64_t now_us);
void grp_reported(struct grp_endpoint *endpoint, struct bc_position position, uint64_t now_us);
/*
 * Whether the endpoint led before the leader known last, or has said that it does not lead any
 * more, and knows no newer term: its log may hold commits that were rolled back.
 */
bool grp_is_outdated(const struct grp_group *group, const char *id, uint64_t known_term);
/* A commit was acknowledged, or a copy has received it. */
void grp_kept(struct grp_group *group, struct bc_position position);
/* The endpoint led when a request that was sent at sent_us ran, and had this position. */
void grp_leads(struct grp_state *state, struct grp_endpoint *endpoint, struct bc_position position,
	       uint64_t sent_us, uint64_t now_us);
/* The same as another proxy has told it. */
void grp_sample_told(struct grp_group *group, struct bc_position position, uint64_t sent_us);
/* Another proxy or the taker-over says that it leads. */
void grp_hint_leader(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t term,
		     uint64_t now_us);
void grp_refused_lead(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us);
void grp_leader_reached_by_peer(struct grp_group *group, uint64_t until_us);
/* What the leader said about itself: whether it has applied all that it holds. */
void grp_caught_up(struct grp_state *state, struct grp_endpoint *endpoint, bool caught_up,
		   uint64_t now_us);
void grp_behind(struct grp_endpoint *endpoint, uint64_t now_us);

/* What a read may see. */
struct grp_want {
	uint64_t max_age_us; /* of the read's view; 0: everything committed */
	uint64_t from_us;    /* when the request came, by which the age counts */
	bool has_mark;
	struct bc_position mark; /* the session's own newest commit */
	uint32_t tried;		 /* bit set of endpoint indexes not to choose again */
};

struct grp_choice {
	struct grp_endpoint *endpoint; /* NULL: none can serve now */
	bool guard;		       /* its lead must be proven first, by a plain transaction */
	bool has_after;		       /* must hold this position */
	struct bc_position after;
	uint64_t sample_age_us;
	const char *reason; /* why this one, or why none; a stable word for logs */
};

/* The endpoint to write to. */
struct grp_choice grp_choose_leader(struct grp_group *group, uint64_t now_us);
/* The endpoint to read from. */
struct grp_choice grp_choose_read(struct grp_state *state, struct grp_group *group,
				  const struct grp_want *want, uint64_t now_us);
/* The same, seen from a failure domain. */
struct grp_choice grp_choose_read_from(struct grp_group *group, const struct grp_want *want,
				       const char *domain, const char *region, uint64_t now_us);
/* The newest sample; false if there is none. */
bool grp_newest_sample(const struct grp_group *group, struct grp_sample *out);
/* Whether a wait for an answer is long enough to take the endpoint for silent. */
bool grp_is_silent(const struct grp_endpoint *endpoint, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
