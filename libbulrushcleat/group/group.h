#ifndef BC_GROUP_H
#define BC_GROUP_H

/*
 * State of the endpoints of each database group as seen by this proxy: which one leads, how far
 * each replica has replicated, its latency and whether it answers. Chooses endpoints for reads and
 * writes from that.
 */

#include "core/core.h"

#include <apr_ring.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Samples kept per group; at the minimum spacing of 40 ms they span nearly 4 s. */
#define GRP_SAMPLES 96U
#define GRP_ENDPOINTS_MAX 16U /* of one group */

/* Former leaders remembered per group; each promotion adds one. */
#define GRP_FORMER_LEADERS_MAX 4U

/* An endpoint as discovery describes it. */
struct grp_info {
	char id[BC_ID_BYTES];
	char group[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint32_t slots;
	bool leaving;
	bool reports_lead;	/* reports that it leads; may be outdated */
	uint64_t revision;	/* of the report */
	uint64_t report_number; /* of the report, counted since the endpoint's start */
	uint64_t started_ms; /* Unix time of its start; a change means a new instance, without state
			      */
};

struct grp_group;

struct grp_endpoint {
	APR_RING_ENTRY(grp_endpoint) link;
	struct grp_info info;
	struct grp_group *group;
	bool removed;
	uint32_t refs;	/* references to it, such as of connections */
	uint32_t index; /* in the group; bit number in sets of endpoints */
	uint32_t inflight;
	uint32_t inflight_relayed; /* sent through other proxies */
	uint64_t latency_us;	   /* moving average over statements that ran */
	uint64_t latency_updated_us;
	uint64_t mean_latency_us;  /* the same, from the first one on; 0: none ran */
	uint32_t reported_load;	   /* statements running and waiting, by a relay's count */
	uint64_t load_reported_us; /* when the relay counted; 0: no report */
	uint64_t in_use_since_us;  /* when it was listed, or answered again after a failure */
	uint64_t answered_us;	   /* last complete answer */
	uint64_t waiting_since_us; /* waiting for an answer since then; 0: not waiting */
	bool suspect;		   /* a connection to it failed, or got no answer */
	uint64_t suspect_us;	   /* since when */
	uint64_t retry_us;	   /* not before this, while suspect */
	uint32_t failures;	   /* consecutive */
	/*
	 * The leader has applied its whole log. A promoted replica leads and acknowledges commits
	 * before it has applied all that it had received.
	 */
	bool caught_up;
	uint64_t leaving_until_us;	      /* gets no new work from then on; 0: no limit */
	bool denied_lead;		      /* has denied being the leader */
	uint64_t denied_term;		      /* newest term known then */
	uint64_t caught_up_check_us;	      /* not asked before this whether it has caught up */
	struct bc_position reported_position; /* by the endpoint */
	uint64_t position_reported_us;
	uint32_t behind_count; /* consecutive refusals for lack of a position */
	uint64_t behind_until_us;
};

APR_RING_HEAD(grp_endpoint_ring, grp_endpoint);

/* A position that the leader had when a request was sent to it. */
struct grp_sample {
	uint64_t sent_us;
	struct bc_position position;
};

/*
 * A former leader. It may restart with the log of the time when it led, under its id or under a new
 * one at its address.
 */
struct grp_former_leader {
	char id[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	uint64_t term; /* in which it led, or an older one */
};

struct grp_group {
	APR_RING_ENTRY(grp_group) entry;
	char name[BC_ID_BYTES];
	struct grp_endpoint_ring endpoints;
	struct grp_endpoint *leader;	   /* NULL while unknown */
	uint64_t term;			   /* newest term seen */
	uint64_t reached_by_peer_until_us; /* a peer reaches the leader until then */
	uint32_t max_connections;
	uint32_t sync_replicas;
	/*
	 * The newest position known to be in a replica's log or to have been acknowledged. Where
	 * replicas acknowledge commits, promoting one without it would lose commits.
	 */
	struct bc_position replicated;
	char last_leader[BC_ID_BYTES]; /* the leader, or the last one known */
	char last_leader_address[BC_ADDRESS_BYTES];
	uint64_t lead_term; /* lower bound of last_leader's term */
	struct grp_former_leader former_leaders[GRP_FORMER_LEADERS_MAX];
	uint32_t next_former_leader;
	bool deposed;		  /* the last known leader has denied being the leader */
	bool last_leader_deposed; /* the deposed leader was last_leader */
	uint64_t deposed_term;	  /* newest term known at that time; 0: none */
	bool listed;		  /* in the configuration */
	uint32_t used_indexes;
	struct grp_sample samples[GRP_SAMPLES]; /* a ring, the newest at sample_last */
	uint32_t sample_last;
	uint32_t sample_count;
	uint64_t sample_wanted_us; /* when a read last needed a sample */
};

struct grp_ops {
	void (*endpoint_added)(void *data, struct grp_endpoint *endpoint);
	/* The endpoint is leaving, was removed or has moved: nothing new is sent to it. */
	void (*endpoint_gone)(void *data, struct grp_endpoint *endpoint, uint64_t now_us);
	void (*leader_changed)(void *data, struct grp_group *group, uint64_t now_us);
};

struct grp_state;

struct grp_state *grp_create(struct bc_ctx *ctx, const char *domain, const char *region,
			     const struct grp_ops *ops, void *data);
void grp_destroy(struct grp_state *state);
/*
 * Sets how long after its report an endpoint that is leaving may get new work, by the platform's
 * bound; 0: without limit.
 */
void grp_leaving_limit_set(struct grp_state *state, uint64_t limit_us);
/* How reads are balanced; the default is GRP_BALANCE_COST. */
enum grp_balance {
	GRP_BALANCE_COST,   /* the endpoint with the lowest expected time */
	GRP_BALANCE_SPREAD, /* as bal_choose() decides; relays report their load */
};
void grp_balance_set(struct grp_state *state, enum grp_balance balance);
enum grp_balance grp_balance_get(const struct grp_state *state);
/* Adds or changes a group of the configuration. */
struct grp_group *grp_set(struct grp_state *state, const char *name, uint32_t max_connections,
			  uint32_t sync_replicas);
/* Groups that are not set again until grp_config_end() leave the configuration. */
void grp_config_begin(struct grp_state *state);
void grp_config_end(struct grp_state *state);
struct grp_group *grp_find(const struct grp_state *state, const char *name);
/* Iterate over the groups; NULL after the last. */
struct grp_group *grp_group_first(const struct grp_state *state);
struct grp_group *grp_group_next(const struct grp_state *state, const struct grp_group *group);
/* Iterate over the endpoints of a group; NULL after the last. */
struct grp_endpoint *grp_first(const struct grp_group *group);
struct grp_endpoint *grp_next(const struct grp_endpoint *endpoint);
struct grp_endpoint *grp_endpoint_find(const struct grp_state *state, const char *id);
/* Adds or updates an endpoint; one with a new group, address or start time replaces the old. */
void grp_endpoint_set(struct grp_state *state, const struct grp_info *info, uint64_t now_us);
void grp_endpoint_remove(struct grp_state *state, const char *id, uint64_t now_us);
void grp_endpoint_ref(struct grp_endpoint *endpoint);
void grp_endpoint_unref(struct grp_endpoint *endpoint);

/* The functions from here to grp_behind() record what the traffic with an endpoint shows. */
void grp_sent(struct grp_endpoint *endpoint, uint64_t now_us);
void grp_answered(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t latency_us,
		  bool ran, uint64_t now_us);
/* The same for statements relayed by another proxy, which itself monitors the endpoint. */
void grp_relay_sent(struct grp_endpoint *endpoint);
void grp_relay_answered(struct grp_endpoint *endpoint, uint64_t latency_us, bool ran,
			uint64_t now_us);
/* A relay counted this many statements running and waiting there, at counted_us. */
void grp_load_reported(struct grp_endpoint *endpoint, uint32_t statements, uint64_t counted_us);
/* A connection was refused, reset or silent. */
void grp_failed(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
		uint64_t now_us);
/* An open connection broke while an answer was due. */
void grp_connection_broken(struct grp_state *state, struct grp_endpoint *endpoint,
			   const char *reason, uint64_t now_us);
void grp_reported(struct grp_endpoint *endpoint, struct bc_position position, uint64_t now_us);
/*
 * Returns whether the endpoint, or another instance at its address, led before the last known
 * leader or was deposed, and it knows no newer term than that: its log may have commits that were
 * rolled back.
 */
bool grp_is_outdated(const struct grp_group *group, const struct grp_info *info,
		     uint64_t known_term);
/* A commit was acknowledged, or a replica has received it. */
void grp_replicated(struct grp_group *group, struct bc_position position);
/* The endpoint led when a request that was sent at sent_us ran, and had this position. */
void grp_leader_proved(struct grp_state *state, struct grp_endpoint *endpoint,
		       struct bc_position position, uint64_t sent_us, uint64_t now_us);
/* The same, as reported by another proxy. */
void grp_peer_sample(struct grp_group *group, struct bc_position position, uint64_t sent_us);
/* Another proxy, or a status query of the takeover, reports that the endpoint leads. */
void grp_hint_leader(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t term,
		     uint64_t now_us);
void grp_denied_lead(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us);
void grp_leader_reached_by_peer(struct grp_group *group, uint64_t until_us);
/* The leader reported whether it has applied its whole log. */
void grp_caught_up(struct grp_state *state, struct grp_endpoint *endpoint, bool caught_up,
		   uint64_t now_us);
void grp_behind(struct grp_endpoint *endpoint, uint64_t now_us);

/* What a read requires. */
struct grp_read_bounds {
	uint64_t max_age_us; /* staleness allowed; 0: must see all commits */
	uint64_t started_us; /* when the request arrived; ages are relative to it */
	bool has_last_commit;
	struct bc_position last_commit; /* position of the session's newest commit */
	uint32_t tried_endpoints;	/* bit set of indexes of endpoints already tried */
};

struct grp_choice {
	struct grp_endpoint *endpoint; /* NULL: none is usable now */
	bool prove_leader;	       /* must first prove by a plain transaction that it leads */
	bool has_position;	       /* `position` is the position that its log must have */
	struct bc_position position;
	uint64_t sample_age_us;
	const char *reason; /* of the choice, or why there is none; stable, for logs */
};

/* Returns whether the endpoint has been leaving for so long that it gets no new work. */
bool grp_leaving_limit_passed(const struct grp_endpoint *endpoint, uint64_t now_us);
/* Chooses the endpoint to write to. */
struct grp_choice grp_choose_leader(struct grp_group *group, uint64_t now_us);
/* Chooses the endpoint to read from, as seen from this proxy. */
struct grp_choice grp_choose_read(struct grp_state *state, struct grp_group *group,
				  const struct grp_read_bounds *bounds, uint64_t now_us);
/* Where and how a proxy chooses. */
struct grp_chooser {
	struct bc_ctx *ctx;
	const char *domain;
	const char *region;
	enum grp_balance balance;
};
/* The same, as seen from elsewhere. */
struct grp_choice grp_choose_read_from(struct grp_group *group,
				       const struct grp_read_bounds *bounds,
				       const struct grp_chooser *chooser, uint64_t now_us);
/* Gets the newest sample; false if there is none. */
bool grp_newest_sample(const struct grp_group *group, struct grp_sample *out);
/* Returns whether the endpoint has not answered for so long that it is taken for silent. */
bool grp_is_silent(const struct grp_endpoint *endpoint, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
