#ifndef BC_FAILOVER_INTERNAL_H
#define BC_FAILOVER_INTERNAL_H

#include "failover/failover.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* In place of a member's index. */
#define FOV_NO_MEMBER (-1)

enum fov_phase {
	FOV_IDLE,
	FOV_PREPARING, /* hand-over: a replica catches up while the primary still accepts writes */
	FOV_STEPPING_DOWN, /* hand-over: the primary stops accepting writes */
	FOV_CATCHING_UP,   /* hand-over: a replica catches up to the last position */
	FOV_FENCING,	   /* the members are asked to promise a new term */
	FOV_PROMOTING,	   /* a member is ordered to become the primary */
};

enum fov_reason {
	FOV_NO_REASON,
	FOV_SILENT,	   /* neither this proxy nor most members have contact with the primary */
	FOV_UNREACHABLE,   /* at least half of the proxies cannot reach the primary */
	FOV_FENCED,	   /* the primary or a majority promised a term that has no primary */
	FOV_PARTLY_FENCED, /* a minority did, and cannot follow the primary */
	FOV_LEAVING,	   /* the primary's VM is leaving */
};

/* An endpoint, shared by the groups that have a member on it. */
struct fov_endpoint {
	char id[BC_ID_BYTES];
	bool leaving;
	uint32_t refcount; /* members on it */
};

/* An order sent to an endpoint and not yet answered. */
struct fov_pending_call {
	uint64_t id;
	struct fov_group *group;
	size_t member;
	enum fov_order order;
	uint64_t term;
	uint64_t sent_us;
};

struct fov_member {
	struct fov_endpoint *endpoint;
	bool reported;
	bool last_probe_answered;
	struct rte_row row;
	uint64_t row_sent_us;		       /* when `row` was requested */
	uint64_t promised;		       /* greatest promised term that was reported */
	uint64_t outdated_since_us;	       /* follows an older term or no primary; 0 if not */
	uint64_t next_follow_us;	       /* earliest time of the next FOV_FOLLOW */
	struct fov_pending_call *follow_call;  /* outstanding FOV_FOLLOW */
	struct fov_pending_call *attempt_call; /* outstanding order of the promotion attempt */
	bool granted;			       /* promised the attempt's term */
	struct bc_position granted_log;	       /* last log entry at the time of the promise */
};

struct fov_group {
	struct fov_state *state;
	char database[BC_ID_BYTES];
	size_t count;
	struct fov_member members[RTE_GROUP_ENDPOINTS_MAX];
	int32_t rank;
	struct fov_group *next;	 /* in the list of groups with a rank */
	struct fov_group **link; /* pointer to this group in that list; NULL if not in it */

	bool observed;		     /* a member has reported */
	uint64_t term;		     /* greatest known */
	int32_t primary;	     /* its primary, or FOV_NO_MEMBER */
	uint64_t primary_contact_us; /* last report of the primary, or start of its grace period */
	uint32_t unreachable;	     /* live proxies that cannot reach the primary */
	uint32_t live;		     /* live proxies */
	/* The time since which a condition has held continuously; 0 if it does not hold. */
	uint64_t unreachable_since_us;
	uint64_t fenced_since_us;
	uint64_t partly_fenced_since_us;
	uint64_t leaving_since_us;

	enum fov_phase phase;
	enum fov_reason reason;
	uint64_t base_term;	      /* value of `term` when the attempt began */
	uint64_t attempt_term;	      /* term that the members are asked to promise */
	uint64_t last_requested_term; /* greatest term that this proxy has asked for */
	int32_t least_preferred; /* replaced primary, used only if the others are no majority */
	int32_t successor;	 /* member to be promoted */
	uint64_t outage_since_us;
	uint32_t failures; /* consecutive failed attempts */
	uint64_t next_try_us;
};

struct fov_state {
	struct bc_ctx *ctx;
	char candidate[BC_ID_BYTES];
	struct fov_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *groups;
	apr_hash_t *endpoints;
	apr_hash_t *calls;	  /* by id */
	struct fov_group *ranked; /* list of the groups with a rank */
	uint64_t last_call;	  /* id of the last call */
};

void fov_row_record(struct fov_group *group, size_t index, const struct rte_row *row,
		    uint64_t sent_us, uint64_t now_us);

enum fov_reason fov_reason_find(struct fov_group *group, uint64_t now_us);
void fov_timers_update(struct fov_group *group, uint64_t now_us);
bool fov_member_responds(const struct fov_member *member, uint64_t now_us);
void fov_members_redirect(struct fov_group *group, uint64_t now_us);

void fov_attempt_start(struct fov_group *group, enum fov_reason reason, uint64_t now_us);
void fov_attempt_answer(struct fov_group *group, size_t member, enum fov_order order, bool ok,
			const struct rte_row *row, uint64_t now_us);
void fov_attempt_check_term(struct fov_group *group, uint64_t now_us);
void fov_attempt_abort(struct fov_group *group);

void fov_call_send(struct fov_group *group, size_t member, const struct fov_call *call,
		   uint64_t now_us);
void fov_pending_call_drop(struct fov_state *state, struct fov_pending_call **call);

#endif
