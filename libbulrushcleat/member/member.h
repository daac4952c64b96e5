#ifndef BC_MEMBER_H
#define BC_MEMBER_H

/*
 * SWIM membership of the entry VMs. Duties, which are tasks that only a few proxies do, are
 * assigned to live members by rendezvous hashing.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEM_PERIOD_US (500 * BC_US_PER_MS)	 /* between two probes */
#define MEM_PING_TIMEOUT_US (150 * BC_US_PER_MS) /* until the target is probed indirectly */
#define MEM_SUSPICION_US (2 * BC_US_PER_S)	 /* from suspect to dead */
#define MEM_INDIRECT_PROBES 3U			 /* members asked to ping the target */
#define MEM_UPDATES_MAX 16U			 /* updates in one message */
#define MEM_DUTY_RANKS 3U			 /* members chosen for a duty */
#define MEM_NO_RANK (-1)

enum mem_health { MEM_ALIVE, MEM_SUSPECT, MEM_DEAD };

/* The state of a member, as sent between proxies. */
struct mem_update {
	char id[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint64_t incarnation;
	enum mem_health health;
	bool leaving;
};

enum mem_message_kind { MEM_PING, MEM_ACK, MEM_PING_REQUEST };

struct mem_message {
	enum mem_message_kind kind;
	uint64_t sequence;
	char target[BC_ID_BYTES]; /* MEM_PING_REQUEST: whom to ping */
	uint32_t update_count;
	struct mem_update updates[MEM_UPDATES_MAX];
};

struct mem_ops {
	/* Sends a message to a member. It may get lost. */
	void (*send)(void *data, const char *id, const char *address,
		     const struct mem_message *message);
	/* The set of live members, or a member's state, has changed. */
	void (*changed)(void *data);
};

struct mem_state;

struct mem_state *mem_create(struct bc_ctx *ctx, const struct mem_update *self,
			     const struct mem_ops *ops, void *data);
void mem_destroy(struct mem_state *state);
/* Adds a member from the platform's list or a seed. The state of a known member is kept. */
void mem_add(struct mem_state *state, const struct mem_update *member, uint64_t now_us);
/* Marks a member as dead whose VM has left the platform's list and no longer runs. */
void mem_remove(struct mem_state *state, const char *id, uint64_t now_us);
/* Reports to the others that this proxy is leaving. */
void mem_leave(struct mem_state *state, uint64_t now_us);
void mem_receive(struct mem_state *state, const char *from, const struct mem_message *message,
		 uint64_t now_us);
void mem_tick(struct mem_state *state, uint64_t now_us);

size_t mem_count(const struct mem_state *state); /* all known, including this proxy */
const struct mem_update *mem_at(const struct mem_state *state, size_t index);
const struct mem_update *mem_find(const struct mem_state *state, const char *id);
/* Returns the number of members that are alive or suspect and not leaving, including this proxy. */
uint32_t mem_live_count(const struct mem_state *state);
/* Increases when a live member joins, leaves, or changes its health or failure domain. */
uint64_t mem_version(const struct mem_state *state);
/*
 * Returns this proxy's rank for a duty among the MEM_DUTY_RANKS members chosen for it, in different
 * failure domains where there are enough, or MEM_NO_RANK. `domain` limits the choice to a failure
 * domain, or is NULL.
 */
int32_t mem_duty_rank(const struct mem_state *state, const char *duty, const char *domain);
/* Chooses up to `count` random live members other than this one. Returns how many. */
size_t mem_sample(struct mem_state *state, size_t count, const struct mem_update **out);

#ifdef __cplusplus
}
#endif

#endif
