#ifndef BC_TAKEOVER_INTERNAL_H
#define BC_TAKEOVER_INTERNAL_H

/*
 * Shared by the files of the slice: takeover.c (the steps of a takeover), choose.c (which copy is
 * to lead), hold.c (copies that receive nothing more while one is made the leader).
 */

#include "takeover/takeover.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* After a contradiction: soon, since the one who contradicts may have lost the leader since. */
#define RECHECK_US (200 * BC_US_PER_MS)
/* An endpoint that has not told its position by then is not a candidate. */
#define SURVEY_US (250 * BC_US_PER_MS)

enum step {
	STEP_IDLE,
	STEP_TURN,    /* waits for the proxies that act first */
	STEP_CONFIRM, /* has asked the others, waits for contradiction */
	STEP_CLAIM,
	STEP_SURVEY,
	STEP_HOLD,     /* the other copies are told to receive nothing more */
	STEP_CATCH_UP, /* waits until the endpoint has what the others had then */
	STEP_ORDER,
	STEP_LEAD, /* ordered; waits until the endpoint leads */
	STEP_WAIT, /* another proxy has claimed */
};

struct answer {
	char endpoint_id[BC_ID_BYTES];
	struct tko_status status;
};

struct takeover {
	struct tko_state *state;
	struct grp_group *group;
	enum step step;
	char replaced[BC_ID_BYTES]; /* the leader as it was known at the start; "" if none */
	uint64_t since_us;
	uint64_t peer_word_us;
	bool looked;	   /* the claim object was read since the takeover is considered */
	uint64_t revision; /* of the claim object then, or as written */
	uint64_t token;
	uint32_t orders;
	uint64_t ordered_us;
	char target[BC_ID_BYTES];
	uint64_t settled_us;
	uint32_t asked;
	uint32_t answer_count;
	struct answer answers[GRP_ENDPOINTS_MAX];
	/* Copies that receive nothing more; only where copies acknowledge commits. */
	struct answer held[GRP_ENDPOINTS_MAX];
	uint32_t held_count;
	uint32_t held_asked; /* of those, the ones whose answer has not come */
	uint64_t held_us;    /* since when */
	bool ordered;	     /* an order was given, which may still be carried out */
	bool any_target;     /* the preferred target did not catch up */
	bool contested;	     /* another proxy has claimed, and may have held copies */
	struct bc_timer timer;
	struct bc_timer release_timer;
};

struct tko_state {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct tko_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *takeovers; /* group -> struct takeover */
};

/* takeover.c */
void tko_enter(struct takeover *takeover, enum step step, uint64_t delay_us, uint64_t now_us);
bool tko_stop_if_obsolete(struct takeover *takeover, uint64_t now_us);
bool tko_is_planned(const struct takeover *takeover);
bool tko_is_asked(const struct takeover *takeover, const struct grp_endpoint *endpoint);
struct takeover *tko_find(const struct tko_state *state, const char *group);
void tko_order(struct takeover *takeover, uint64_t now_us);

/* choose.c */
const struct answer *tko_best_answer(const struct takeover *takeover);
bool tko_may_lose(const struct takeover *takeover, const struct answer *best, uint32_t missing);
uint32_t tko_answered_count(const struct takeover *takeover);

/* hold.c */
void tko_hold_others(struct takeover *takeover, uint64_t now_us);
bool tko_hold_new(struct takeover *takeover, uint64_t now_us);
void tko_hold_ended(struct takeover *takeover, uint64_t now_us);
void tko_catch_up_poll(struct takeover *takeover, uint64_t now_us);
void tko_order_when_caught_up(struct takeover *takeover, struct bc_position received,
			      uint64_t now_us);
void tko_forget_held(struct takeover *takeover);
void tko_release_held(struct takeover *takeover, uint64_t now_us);
void tko_release_due(void *data, uint64_t now_us);

#endif
