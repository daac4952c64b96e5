#ifndef BC_QUORUM_INTERNAL_H
#define BC_QUORUM_INTERNAL_H

#include "quorum/treap.h"
#include "quorum/quorum.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* Terms tracked per group. Waiters of older terms are not confirmed and time out. */
#define QUO_TERMS_MAX 4

/* The log positions of one term that the members are known to hold. */
struct quo_progress {
	uint64_t term;
	uint64_t held[RTE_GROUP_ENDPOINTS_MAX];	       /* greatest position held */
	uint64_t unfenced_us[RTE_GROUP_ENDPOINTS_MAX]; /* newest time without a greater promise */
	uint64_t confirmed;			       /* greatest position that a majority holds */
	uint64_t majority_unfenced_us; /* newest time without a greater promise by a majority */
};

struct quo_member {
	char id[BC_ID_BYTES];
	bool polling;
	bool checks_primary;	      /* the poll checks that the primary was not replaced */
	struct bc_position requested; /* position that the outstanding poll asks for */
	uint64_t poll_sent_us;
	uint64_t retry_at_us;
};

struct quo_group {
	struct quo_state *state;
	char database[BC_ID_BYTES];
	size_t count;
	struct quo_member members[RTE_GROUP_ENDPOINTS_MAX];
	size_t progress_count;
	struct quo_progress progress_by_term[QUO_TERMS_MAX]; /* by descending term */
	struct quo_node *unconfirmed;			     /* waiters by term, position */
	struct quo_node *primary_unconfirmed; /* confirmed waiters by term, check time */
	struct quo_group *active_next;	      /* groups with waiters */
	struct quo_group **active_link;
};

/* A quo_wait that has not ended. It is first in `unconfirmed`, then in `primary_unconfirmed`. */
struct quo_waiter {
	struct quo_node queue_node; /* in `unconfirmed` or `primary_unconfirmed` */
	struct quo_node deadline_node;
	struct quo_group *group;
	uint64_t id;
	struct bc_position position;
	uint64_t primary_check_since_us; /* copied from quo_wait */
	bool confirmed;			 /* a majority holds the position */
};

struct quo_state {
	struct bc_ctx *ctx;
	struct quo_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *groups;
	struct quo_group *active;   /* list of the groups with waiters */
	struct quo_node *deadlines; /* waiters by deadline */
	uint64_t sequence;	    /* makes the keys of the waiters unique */
	size_t waiting;		    /* number of waiters */
};

struct quo_waiter *quo_waiter_from_queue_node(struct quo_node *node);
struct quo_group *quo_group_find(const struct quo_state *state, const char *database);
size_t quo_member_index(const struct quo_group *group, const char *endpoint);
struct quo_progress *quo_progress_find(struct quo_group *group, uint64_t term);
struct quo_progress *quo_progress_get(struct quo_group *group, uint64_t term);
void quo_progress_update(const struct quo_group *group, struct quo_progress *progress);
void quo_held_record(struct quo_group *group, size_t index, struct bc_position position);
void quo_group_poll(struct quo_group *group, uint64_t now_us);

#endif
