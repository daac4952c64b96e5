#ifndef BC_MEMBER_INTERNAL_H
#define BC_MEMBER_INTERNAL_H

/*
 * Shared by the files of the module: table.c (members and their indexes), gossip.c (updates and
 * messages), member.c (probes and the public functions), duty.c (ranks).
 */

#include "member/member.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <sys/queue.h>

/* A dead member stays known for this long, so that older updates do not make it alive again. */
#define MEM_TOMBSTONE_US (60 * BC_US_PER_S)
/* Bounds the memory that a faulty peer can make us use. The fleet is to grow to 5,200 members. */
#define MEM_MEMBERS_MAX 16384U
/* Recent changes of the live members that are kept to check if cached ranks are still valid. */
#define MEM_CHANGES_KEPT 256U
/* Outstanding pings on behalf of other members; about 3 a second are expected. */
#define MEM_RELAYS_MAX 256U

struct member {
	struct mem_update info;
	uint64_t id_hash;
	bool listed;	      /* in the platform's list or a seed */
	bool update_received; /* known from an update, not only from the list */
	size_t all_index;     /* in all[] */
	size_t probe_index;   /* in probe_order[], while alive or suspect */
	size_t dead_index;    /* in dead[], while dead and listed */
	uint64_t joined_us;   /* first known or last alive again; new members get fuller messages */
	uint64_t timeout_start_us; /* of the suspicion or tombstone */
	uint32_t sends_left;
	bool timeout_pending;		  /* in suspects or tombstones */
	TAILQ_ENTRY(member) queue;	  /* in updates, while sends_left > 0 */
	TAILQ_ENTRY(member) timeout_link; /* in suspects or tombstones */
};

TAILQ_HEAD(member_queue, member);

struct member_array {
	struct member **items;
	size_t count;
	size_t capacity;
};

/* A member has entered or left the set of live members of a failure domain. */
struct mem_change {
	uint64_t id_hash;
	char domain[BC_ID_BYTES];
};

struct mem_probe {
	struct member *target; /* NULL if none is outstanding */
	uint64_t sequence;
	uint64_t start_us;
	bool indirect;
};

/* A ping made on behalf of another member. */
struct mem_relay {
	uint64_t sequence; /* of our ping */
	uint64_t requester_sequence;
	char requester[BC_ID_BYTES]; /* empty if free */
};

struct mem_state {
	struct bc_ctx *ctx;
	const struct mem_ops *ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *by_id;
	struct member *self;
	struct member_array all;
	/* Alive and suspect others; those in [0, probe_cursor) were pinged in this round. */
	struct member_array probe_order;
	struct member_array dead; /* dead and listed */
	size_t probe_cursor;
	size_t dead_cursor;
	size_t rotation_cursor;
	uint32_t live;
	struct member_queue updates;	/* to be sent to others, the most recent first */
	struct member_queue suspects;	/* by time of suspicion */
	struct member_queue tombstones; /* dead, by time of death */
	struct mem_probe probe;
	struct mem_relay relays[MEM_RELAYS_MAX];
	uint64_t sequence;
	bool clock_started;
	uint64_t last_call_us;
	uint64_t stalled_us; /* time in which this process did not run */
	uint64_t next_probe_us;
	uint64_t next_dead_ping_us;
	bool changed;
	uint64_t version; /* number of changes of the live members */
	struct mem_change changes[MEM_CHANGES_KEPT];
	struct mem_duties *duties;
};

/* table.c */
struct member *mem_lookup(const struct mem_state *state, const char *id);
struct member *mem_insert(struct mem_state *state, const struct mem_update *info, uint64_t now_us);
void mem_forget(struct mem_state *state, struct member *member);
void mem_set_state(struct mem_state *state, struct member *member, const struct mem_update *info,
		   uint64_t now_us);
void mem_set_listed(struct mem_state *state, struct member *member, bool listed, uint64_t now_us);
struct member *mem_next_probe_target(struct mem_state *state);
bool mem_is_live(const struct mem_update *info);

/* gossip.c */
bool mem_update_valid(const struct mem_update *update);
void mem_queue_update(struct mem_state *state, struct member *member);
void mem_apply(struct mem_state *state, const char *from, const struct mem_update *update,
	       uint64_t now_us);
void mem_send(struct mem_state *state, struct member *to, struct mem_message *message,
	      struct member *subject, uint64_t now_us);

/* duty.c */
struct mem_duties *mem_duties_create(void);
void mem_duties_destroy(struct mem_duties *duties);

#endif
