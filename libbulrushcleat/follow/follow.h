#ifndef BC_FOLLOW_H
#define BC_FOLLOW_H

/*
 * Decides how a proxy follows the store: which proxies watch it, how the others learn that it still
 * answers, and who asks it while no answer is known. It has no socket and no clock.
 *
 * Every call to the store has a cost, so two proxies of the fleet watch it consistently. They
 * confirm each of its answers to their own failure domain and to a few proxies of each other
 * domain, which forward the confirmation within theirs (a two-level broadcast: a proxy sends to its
 * domain at most, whatever the size of the fleet). A proxy that knows of no recent answer becomes a
 * fallback watcher, in waves that stop as soon as one of them is answered; their calls share a
 * retry budget of the fleet.
 */

#include "sync/sync.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How a proxy follows a kind, the most up to date first; the modes are compared by order. */
enum flw_mode {
	FLW_WATCH_CONSISTENT, /* watches the store itself */
	FLW_WATCH_STALE,      /* watches a copy of the store that may lag by some seconds */
	FLW_LIST_PERIODIC,    /* lists at long intervals; gets changes from its peers */
};

/* Proxies of each other failure domain that receive a confirmation from its origin. */
#define FLW_FORWARDERS 2U

struct flw_ops {
	/*
	 * This proxy's rank for the watch duty among the live proxies of its failure domain or,
	 * with `fleet`, of all; MEM_NO_RANK if it has none.
	 */
	int32_t (*rank)(void *data, bool fleet);
	/* Number of live proxies, this one included. */
	uint32_t (*live)(void *data);
	/*
	 * Tells the other proxies of the own failure domain and, with `fleet`, FLW_FORWARDERS
	 * proxies of each other domain that the store answered `origin` this long ago.
	 */
	void (*confirm)(void *data, const char *origin, uint64_t age_us, bool fleet);
};

struct flw_state;

struct flw_state *flw_create(struct bc_ctx *ctx, const char *id, const struct flw_ops *ops,
			     void *data, uint64_t now_us);
void flw_destroy(struct flw_state *state);
uint64_t flw_start_delay_us(const struct flw_state *state, bool at_once);
enum flw_mode flw_mode_get(const struct flw_state *state, enum syn_kind kind);
bool flw_is_fallback(const struct flw_state *state);
bool flw_in_startup(const struct flw_state *state);
struct syn_refresh flw_refresh(struct flw_state *state, enum syn_kind kind,
			       struct bc_version version);
void flw_peer_heard(struct flw_state *state, uint64_t now_us);
void flw_store_answered(struct flw_state *state, uint64_t now_us);
void flw_confirmation_received(struct flw_state *state, const char *origin, bool same_domain,
			       uint64_t age_us, uint64_t now_us);
bool flw_tick(struct flw_state *state, struct bc_version version, uint64_t now_us);
bool flw_mode_improved(const struct flw_state *state, enum syn_kind kind);

#ifdef __cplusplus
}
#endif

#endif
