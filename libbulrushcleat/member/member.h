#ifndef BC_MEMBER_H
#define BC_MEMBER_H

/* SWIM membership of the entry VMs, and duties by rendezvous hashing over the live ones. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEM_PERIOD_US (500 * BC_US_PER_MS)
#define MEM_PING_TIMEOUT_US (150 * BC_US_PER_MS)
#define MEM_SUSPICION_US (2 * BC_US_PER_S)
#define MEM_INDIRECT 3U
#define MEM_UPDATES_MAX 16U /* updates carried by one message */
#define MEM_DUTY_RANKS 3U
#define MEM_NO_RANK (-1)

enum mem_health { MEM_ALIVE, MEM_SUSPECT, MEM_DEAD };

/* One member, as told between proxies. */
struct mem_update {
	char id[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint64_t incarnation;
	enum mem_health health;
	bool leaving;
};

enum mem_kind { MEM_PING, MEM_ACK, MEM_PING_REQUEST };

struct mem_message {
	enum mem_kind kind;
	uint64_t sequence;
	char target[BC_ID_BYTES]; /* MEM_PING_REQUEST: whom to ping */
	uint32_t update_count;
	struct mem_update updates[MEM_UPDATES_MAX];
};

struct mem_ops {
	/* Sends to a member; may be lost. */
	void (*send)(void *data, const char *id, const char *address,
		     const struct mem_message *message);
	/* The set of live members, or a member's state, has changed. */
	void (*changed)(void *data);
};

struct mem_state;

struct mem_state *mem_create(struct bc_ctx *ctx, const struct mem_update *self,
			     const struct mem_ops *ops, void *data);
void mem_destroy(struct mem_state *state);
/* Adds members from the platform's list or the seeds; those known stay as they are. */
void mem_add(struct mem_state *state, const struct mem_update *member, uint64_t now_us);
/* A VM has left the platform's list: it does not run any more. */
void mem_remove(struct mem_state *state, const char *id, uint64_t now_us);
/* Tells the others that this proxy is leaving. */
void mem_leave(struct mem_state *state, uint64_t now_us);
void mem_receive(struct mem_state *state, const char *from, const struct mem_message *message,
		 uint64_t now_us);
void mem_tick(struct mem_state *state, uint64_t now_us);

size_t mem_count(const struct mem_state *state); /* all known, this proxy included */
const struct mem_update *mem_at(const struct mem_state *state, size_t index);
const struct mem_update *mem_find(const struct mem_state *state, const char *id);
/* Members that are alive or suspect and not leaving, this proxy included. */
uint32_t mem_live_count(const struct mem_state *state);
/* Grows with each change of the live members or of what is known of them. */
uint64_t mem_version(const struct mem_state *state);
/*
 * This proxy's rank for a duty among the MEM_DUTY_RANKS members chosen for it, in different
 * failure domains where there are enough, or MEM_NO_RANK. `domain` limits the choice to a failure
 * domain, or is NULL.
 */
int32_t mem_duty_rank(const struct mem_state *state, const char *duty, const char *domain);
/* Up to `count` random live members other than this one. Returns how many. */
size_t mem_sample(struct mem_state *state, size_t count, const struct mem_update **out);

#ifdef __cplusplus
}
#endif

#endif
