#include "limit/limit_internal.h"

#include <stdio.h>
#include <stdlib.h>

/*
 * How long a proxy that was never in the list may hold a row before it counts as having left: the
 * list lags, so a new proxy can have a row before others see it there.
 */
#define UNLISTED_MAX_US (60 * BC_US_PER_S)

/* A holder's counter is read for this long after its extra was last wanted. */
#define HOLDER_WATCH_US (5 * BC_US_PER_S)

/* Minimum time between two reads that confirm an expired counter. */
#define CONFIRM_INTERVAL_US (200 * BC_US_PER_MS)

/* Returns the record of a proxy, added if there is none, or NULL when out of memory. */
struct lim_peer *lim_peer_get(struct lim_state *state, const char *name)
{
	struct lim_peer *peer = apr_hash_get(state->peers, name, APR_HASH_KEY_STRING);

	if (peer)
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	snprintf(peer->name, sizeof(peer->name), "%s", name);
	peer->call.kind = LIM_CALL_PEER;
	peer->call.owner = peer;
	APR_RING_INSERT_TAIL(&state->peer_ring, peer, lim_peer, link);
	apr_hash_set(state->peers, peer->name, APR_HASH_KEY_STRING, peer);
	return peer;
}

/* Whether the proxy is in the platform's list. */
bool lim_peer_listed(struct lim_state *state, const char *name)
{
	const struct lim_peer *peer = lim_peer_get(state, name);

	return peer && peer->listed;
}

/*
 * Whether the proxy has left the platform's list and therefore does not run. The lists passed to
 * lim_fleet_set() must not go back to older ones.
 */
bool lim_peer_departed(struct lim_state *state, const char *name, uint64_t now_us)
{
	struct lim_peer *peer = lim_peer_get(state, name);

	if (!peer || peer->listed || !state->fleet_size)
		return false;
	if (peer->was_listed)
		return true;
	if (peer->unlisted_since_us == 0)
		peer->unlisted_since_us = now_us;
	return now_us - peer->unlisted_since_us >= UNLISTED_MAX_US;
}

/*
 * Whether the extra in a value received at `value_seq` may be reclaimed: the holder's counter has
 * not changed for LIM_RECLAIM_US, confirmed by a read sent after the value was received. Such an
 * extra was acquired under a lease that has expired: acquiring it again would have changed the
 * value. Also keeps the holder's counter being read for HOLDER_WATCH_US.
 */
bool lim_peer_expired(struct lim_state *state, const char *name, uint64_t value_seq,
		      uint64_t now_us)
{
	struct lim_peer *peer = lim_peer_get(state, name);

	if (!peer)
		return false;
	peer->last_wanted_us = now_us;
	if (!peer->expired_seq)
		return false;
	peer->recheck = peer->expired_seq < value_seq;
	return !peer->recheck;
}

/* Whether a read of the holder's counter is due. */
static bool peer_due(const struct lim_peer *peer, uint64_t now_us)
{
	if (peer->call.id || now_us < peer->backoff.until_us || !peer->last_wanted_us ||
	    now_us - peer->last_wanted_us > HOLDER_WATCH_US)
		return false;
	if (!peer->counter_known)
		return true;
	if (now_us < peer->counter_since_us + LIM_RECLAIM_US)
		return false;
	return !peer->expired_seq ||
	       (peer->recheck && now_us >= peer->call.sent_us + CONFIRM_INTERVAL_US);
}

/* Whether the record is no longer needed: a departed proxy's id is never used again. */
static bool peer_stale(const struct lim_peer *peer, uint64_t now_us)
{
	return !peer->listed && !peer->call.id && peer->was_listed &&
	       now_us > peer->last_wanted_us + 10 * UNLISTED_MAX_US &&
	       now_us > peer->unlisted_since_us + 10 * UNLISTED_MAX_US;
}

/* Reads the counters that are due, and frees the records of proxies that left long ago. */
void lim_peers_step(struct lim_state *state, uint64_t now_us)
{
	struct lim_peer *peer = APR_RING_FIRST(&state->peer_ring);

	while (peer != APR_RING_SENTINEL(&state->peer_ring, lim_peer, link)) {
		struct lim_peer *next = APR_RING_NEXT(peer, link);

		if (!peer->listed && !peer->unlisted_since_us)
			peer->unlisted_since_us = now_us;
		if (peer_due(peer, now_us)) {
			lim_call_send(state, &peer->call, LIM_GET, "holders", peer->name, 0, NULL,
				      now_us);
		} else if (peer_stale(peer, now_us)) {
			apr_hash_set(state->peers, peer->name, APR_HASH_KEY_STRING, NULL);
			APR_RING_REMOVE(peer, link);
			free(peer);
		}
		peer = next;
	}
}

/* Makes a plan due for each customer with a refusal since its share last grew. */
static void replan_refused_customers(struct lim_state *state, uint64_t now_us)
{
	struct lim_customer *customer;

	for (customer = APR_RING_FIRST(&state->customer_ring);
	     customer != APR_RING_SENTINEL(&state->customer_ring, lim_customer, link);
	     customer = APR_RING_NEXT(customer, link)) {
		if (customer->awaiting_growth && customer->plan_due_us > now_us) {
			customer->plan_due_us = now_us;
			lim_shares_set_timer(state, customer, now_us);
		}
	}
}

/* Handles the answer to a read of a holder's counter. */
void lim_peer_result(struct lim_state *state, struct lim_peer *peer, enum bc_status status,
		     json_t *value, uint64_t now_us)
{
	uint64_t counter;

	if (lim_call_failed(status)) {
		lim_backoff_increase(state, &peer->backoff, now_us);
		return;
	}
	peer->backoff = (struct lim_backoff){0, 0};
	lim_store_answered(state, now_us);
	counter = status == BC_OK ? (uint64_t)json_integer_value(json_object_get(value, "counter"))
				  : 0;
	if (!peer->counter_known || counter != peer->counter) {
		peer->counter_known = true;
		peer->counter = counter;
		peer->counter_since_us = now_us;
		peer->expired_seq = 0;
		return;
	}
	if (peer->call.sent_us < peer->counter_since_us + LIM_RECLAIM_US)
		return;
	peer->expired_seq = peer->call.sent_seq;
	replan_refused_customers(state, now_us);
}
