#ifndef BC_QUORUM_INTERNAL_H
#define BC_QUORUM_INTERNAL_H

#include "quorum/ordered.h"
#include "quorum/quorum.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* Terms tracked at once in a group; waiters of still older terms end at their deadline. */
#define QUO_TERMS_MAX 4
/* What the members are known to hold of one term's log. */
struct quo_track {
	uint64_t term;
	uint64_t held[RTE_GROUP_ENDPOINTS_MAX];		 /* greatest number held */
	uint64_t unreplaced_us[RTE_GROUP_ENDPOINTS_MAX]; /* newest ask time without a greater
							    promise */
	uint64_t confirmed;				 /* greatest number that a majority holds */
	uint64_t majority_unreplaced_us;
};

struct quo_member {
	char id[BC_ID_BYTES];
	bool polling;
	bool proof; /* the poll is to show that the primary was not replaced */
	struct bc_position asked;
	uint64_t poll_sent_us;
	uint64_t retry_at_us;
};

struct quo_group {
	struct quo_state *state;
	char database[BC_ID_BYTES];
	size_t count;
	struct quo_member members[RTE_GROUP_ENDPOINTS_MAX];
	size_t track_count;
	struct quo_track tracks[QUO_TERMS_MAX]; /* by descending term */
	struct quo_node *unconfirmed;		/* waiters by term, number */
	struct quo_node *unproven;     /* confirmed waiters by term, not_replaced_since_us */
	struct quo_group *active_next; /* groups with waiters */
	struct quo_group **active_link;
};

struct quo_waiter {
	struct quo_node by_state; /* in `unconfirmed` or `unproven` */
	struct quo_node by_deadline;
	struct quo_group *group;
	uint64_t id;
	struct bc_position position;
	uint64_t since_us;
	bool confirmed;
};

struct quo_state {
	struct bc_ctx *ctx;
	struct quo_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *groups;
	struct quo_group *active;
	struct quo_node *deadlines;
	uint64_t sequence;
	size_t waiting;
};

struct quo_waiter *quo_waiter_by_state(struct quo_node *node);
struct quo_group *quo_group_find(const struct quo_state *state, const char *database);
size_t quo_member_index(const struct quo_group *group, const char *endpoint);
struct quo_track *quo_track_find(struct quo_group *group, uint64_t term);
struct quo_track *quo_track_get(struct quo_group *group, uint64_t term);
void quo_track_update(const struct quo_group *group, struct quo_track *track);
void quo_held_add(struct quo_group *group, size_t index, struct bc_position position);
void quo_group_poll(struct quo_group *group, uint64_t now_us);

#endif
