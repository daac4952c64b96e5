#ifndef BC_FAILOVER_INTERNAL_H
#define BC_FAILOVER_INTERNAL_H

#include "failover/failover.h"

#include <apr_hash.h>
#include <apr_pools.h>

#define FOV_NOBODY (-1)

enum fov_phase {
	FOV_IDLE,
	FOV_PREPARING,	   /* hand-over: a replica catches up while the primary still writes */
	FOV_STEPPING_DOWN, /* hand-over: the primary stops */
	FOV_CATCHING_UP,   /* hand-over: a replica reaches the last position */
	FOV_FENCING,
	FOV_PROMOTING,
};

enum fov_reason {
	FOV_NO_REASON,
	FOV_SILENT,	   /* neither this proxy nor most replicas hear the primary */
	FOV_UNREACHABLE,   /* half of the proxies do not reach it */
	FOV_FENCED,	   /* the primary or a majority promised a term without a primary */
	FOV_PARTLY_FENCED, /* fewer did, and cannot follow the primary */
	FOV_LEAVING,	   /* the primary's VM is leaving */
};

/* Shared by the groups that have a member on it. */
struct fov_endpoint {
	char id[BC_ID_BYTES];
	bool leaving;
	uint32_t users;
};

/* An order sent to an endpoint and not yet answered. */
struct fov_order_call {
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
	bool answers; /* the newest probe was answered */
	struct rte_row row;
	uint64_t row_sent_us;
	uint64_t promised; /* greatest reported */
	uint64_t stray_since_us;
	uint64_t follow_after_us;
	struct fov_order_call *follow; /* outstanding FOV_FOLLOW */
	struct fov_order_call *step;   /* outstanding order of the attempt */
	bool granted;
	struct bc_position granted_log; /* last entry when it promised */
};

struct fov_group {
	struct fov_state *state;
	char database[BC_ID_BYTES];
	size_t count;
	struct fov_member members[RTE_GROUP_ENDPOINTS_MAX];
	int32_t rank;
	struct fov_group *next; /* groups with a rank */
	struct fov_group **link;

	bool observed;
	uint64_t term;	 /* greatest known */
	int32_t primary; /* its primary, or FOV_NOBODY */
	uint64_t heard_us;
	uint32_t unreachable;
	uint32_t live;
	/* Since when a condition holds without a break; 0 if it does not. */
	uint64_t unreachable_since_us;
	uint64_t fenced_since_us;
	uint64_t partly_fenced_since_us;
	uint64_t leaving_since_us;

	enum fov_phase phase;
	enum fov_reason reason;
	uint64_t base_term; /* known when the attempt began */
	uint64_t attempt_term;
	uint64_t last_asked_term;
	int32_t avoided; /* promoted only if the others do not suffice */
	int32_t winner;
	uint64_t outage_since_us;
	uint32_t failures;
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
	apr_hash_t *calls; /* by id */
	struct fov_group *ranked;
	uint64_t last_call;
};

void fov_row_take(struct fov_group *group, size_t index, const struct rte_row *row,
		  uint64_t sent_us, uint64_t now_us);

enum fov_reason fov_reason_find(struct fov_group *group, uint64_t now_us);
void fov_timers_update(struct fov_group *group, uint64_t now_us);
bool fov_member_responds(const struct fov_member *member, uint64_t now_us);
void fov_repair(struct fov_group *group, uint64_t now_us);

void fov_attempt_start(struct fov_group *group, enum fov_reason reason, uint64_t now_us);
void fov_attempt_answer(struct fov_group *group, size_t member, enum fov_order order, bool ok,
			const struct rte_row *row, uint64_t now_us);
void fov_attempt_check_term(struct fov_group *group, uint64_t now_us);
void fov_attempt_abort(struct fov_group *group);

void fov_call_send(struct fov_group *group, size_t member, const struct fov_call *call,
		   uint64_t now_us);
void fov_call_drop(struct fov_state *state, struct fov_order_call **call);

#endif
