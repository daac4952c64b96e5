#include "follow/follow.h"

#include "member/member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Consistent watches end early, because a watch can miss changes when the store drops its history,
 * an answer is lost or the connection falls silent. A configuration has to be in force within 3 s;
 * a leaving endpoint may be used for 7 s, in which another leader has to be promoted too.
 */
#define WATCH_CONFIG_US BC_US_PER_S
#define WATCH_ENDPOINTS_US (2 * BC_US_PER_S)
/* Stale watches: without confirmations this proxy becomes a fallback, which ends them. */
#define WATCH_STALE_US (25 * BC_US_PER_S)
/*
 * Mean interval of the lists of a proxy without watch duty, in case the watchers are unreachable.
 * Each interval differs by up to a quarter, so that a fleet that started together does not list in
 * step.
 */
#define LIST_PERIODIC_US (20 * BC_US_PER_S)
#define LIST_PERIODIC_SPREAD_US (10 * BC_US_PER_S)
/* Delay before such a list is repeated if the store does not answer; a refused call costs as much.
 */
#define LIST_RETRY_US (10 * BC_US_PER_S)
/*
 * The proxies are listed for the second time when all that started together have written their
 * entries. After that the membership protocol spreads new members, and a list only finds proxies
 * that no member knows.
 */
#define LIST_PROXIES_SECOND_US (2 * BC_US_PER_S)
#define LIST_PROXIES_SECOND_SPREAD_US (4 * BC_US_PER_S)
#define LIST_PROXIES_LATER_US (30 * BC_US_PER_S)
/*
 * The store answers a consistent watcher at least every WATCH_CONFIG_US, or 400 ms later if it
 * is slow, and the watcher confirms this to the others. A proxy that knows of no answer in this
 * time watches consistently as a fallback: the consistent watchers may be alive but cut off from
 * the store, and no other proxy may be able to reach it.
 */
#define CONFIRMATION_MAX_AGE_US (1600 * BC_US_PER_MS)
/* Minimum interval at which a proxy confirms to the others that the store answers it. */
#define CONFIRMATION_INTERVAL_US (500 * BC_US_PER_MS)
/* A domain gets up to this many confirmations from its forwarders in CONFIRMATION_INTERVAL_US. */
#define FORWARDS_PER_INTERVAL 2U
/*
 * The proxies with a rank for the watch duty of their failure domain fall back first. The others
 * wait this much longer for one of them to confirm, and those without a rank at least twice as
 * much, so that a fleet does not read the configuration all at once.
 */
#define FALLBACK_DELAY_US (200 * BC_US_PER_MS)
/*
 * Proxies without a rank that fall back at first; each later wave has twice as many. The interval
 * is enough for an answer of the store to be confirmed to the next wave.
 */
#define FALLBACK_FIRST_WAVE 16U
#define FALLBACK_WAVE_INTERVAL_US (100 * BC_US_PER_MS)
/* In a larger fleet only about as many of the proxies without a rank fall back. */
#define FALLBACK_PROXIES_MAX 100U
/* Minimum time as a fallback while only proxies of a lower precedence confirm. */
#define FALLBACK_MIN_US (5 * BC_US_PER_S)
/* Repeated calls of all fallback watchers together while the store answers none of them. */
#define FALLBACK_RETRIES_PER_S 64U
/*
 * A proxy that has just started knows few others and would choose itself as a consistent watcher,
 * as all proxies would after a power failure. The members are known within this time.
 */
#define STARTUP_US BC_US_PER_S
#define WATCH_RANKS 2
/*
 * When all proxies start at once, one in FIRST_READERS, the seeds and those with a fast link list
 * the store at once. The others wait for the copies of one in their failure domain, which are
 * compressed and do not use the link between regions; they list the store only if none arrives in
 * time.
 */
#define FIRST_READERS 8U
#define START_DELAY_US (300 * BC_US_PER_MS)
#define START_DELAY_SPREAD_US (300 * BC_US_PER_MS)

struct flw_state {
	struct bc_ctx *ctx;
	struct flw_ops ops;
	void *data;
	char id[BC_ID_BYTES];
	uint64_t created_us;
	bool startup_done;	   /* STARTUP_US is over: the other proxies are known */
	uint64_t store_us;	   /* when the store last answered this proxy; 0: not yet */
	uint64_t peer_us;	   /* when it last answered another one, as far as known */
	uint64_t precedence_us;	   /* the same, of proxies that precede this one as a fallback */
	uint64_t heard_us;	   /* when any message of another proxy last arrived */
	uint64_t domain_us;	   /* newest answer that the own failure domain was told of */
	char origin[BC_ID_BYTES];  /* proxy that was answered at peer_us; empty: none yet */
	uint64_t sent_us;	   /* when this proxy last sent a confirmation */
	uint64_t sent_for_us;	   /* store_us of that one */
	bool confirming;	   /* as of the last tick */
	bool fallback;		   /* watches consistently, since no confirmation arrives */
	uint64_t fallback_us;	   /* last change of `fallback` */
	uint32_t proxy_list_count; /* lists of the proxies so far */
	enum flw_mode modes[SYN_KINDS]; /* of the watch or list last started */
};

/* Creates the state of a proxy that has just started. Returns NULL when out of memory. */
struct flw_state *flw_create(struct bc_ctx *ctx, const char *id, const struct flw_ops *ops,
			     void *data, uint64_t now_us)
{
	struct flw_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	snprintf(state->id, sizeof(state->id), "%s", id);
	state->created_us = now_us;
	/* The time of the start counts as an answer, so that the others have time to confirm. */
	state->peer_us = now_us;
	state->heard_us = now_us;
	return state;
}

/* Frees the state. NULL is allowed. */
void flw_destroy(struct flw_state *state)
{
	free(state);
}

/* Returns how long after its start this proxy begins to list the store; 0 with `at_once`. */
uint64_t flw_start_delay_us(const struct flw_state *state, bool at_once)
{
	if (at_once || (bc_hash(state->id) >> 32) % FIRST_READERS == 0)
		return 0;
	return START_DELAY_US + bc_random_below(state->ctx, START_DELAY_SPREAD_US);
}

static bool has_watch_duty(const struct flw_state *state, bool fleet)
{
	int32_t rank = state->ops.rank(state->data, fleet);

	return rank != MEM_NO_RANK && rank < WATCH_RANKS;
}

/*
 * Returns how this proxy follows a kind, by its rank for the watch duty among the live proxies. Of
 * the endpoints, whose changes are many and reach all proxies through the watchers of each failure
 * domain, a fallback without watch duty needs no watch of its own.
 */
enum flw_mode flw_mode_get(const struct flw_state *state, enum syn_kind kind)
{
	bool domain_duty;

	if (!state->startup_done)
		return FLW_WATCH_STALE;
	if (has_watch_duty(state, true))
		return FLW_WATCH_CONSISTENT;
	domain_duty = has_watch_duty(state, false);
	if (state->fallback && (domain_duty || kind == SYN_CONFIG))
		return FLW_WATCH_CONSISTENT;
	return domain_duty ? FLW_WATCH_STALE : FLW_LIST_PERIODIC;
}

/* Returns whether this proxy is a fallback for the consistent watchers. */
bool flw_is_fallback(const struct flw_state *state)
{
	return state->fallback;
}

/* Returns whether this proxy has just started and does not know the others yet. */
bool flw_in_startup(const struct flw_state *state)
{
	return !state->startup_done;
}

static void mode_set(struct flw_state *state, enum syn_kind kind, enum flw_mode mode,
		     struct bc_version version)
{
	static const char *const names[] = {[FLW_WATCH_CONSISTENT] = "watch_consistent",
					    [FLW_WATCH_STALE] = "watch_stale",
					    [FLW_LIST_PERIODIC] = "list_periodic"};

	if (mode == state->modes[kind])
		return;
	bc_log(state->ctx, BC_LOG_INFO, "store_follow_changed", "{s:s,s:s,s:s,s:I}", "kind",
	       syn_kind_name(kind), "mode", names[mode], "before", names[state->modes[kind]],
	       "revision", (json_int_t)version.revision);
	state->modes[kind] = mode;
}

/* The fallback watchers without a rank that there can be. */
static uint32_t fallback_proxies(const struct flw_state *state)
{
	uint32_t live = state->ops.live(state->data);

	return live < FALLBACK_PROXIES_MAX ? live : FALLBACK_PROXIES_MAX;
}

/*
 * Returns how this proxy is to follow a kind of object from now on. `version` of the kind's copy is
 * for the log.
 */
struct syn_refresh flw_refresh(struct flw_state *state, enum syn_kind kind,
			       struct bc_version version)
{
	struct syn_refresh refresh = {.wait_us = WATCH_STALE_US};
	enum flw_mode mode = flw_mode_get(state, kind);

	if (kind == SYN_PROXIES) {
		refresh.relist = true;
		refresh.stale_ok = true;
		refresh.wait_us = LIST_PROXIES_LATER_US;
		if (!state->proxy_list_count++)
			refresh.wait_us =
				LIST_PROXIES_SECOND_US +
				bc_random_below(state->ctx, LIST_PROXIES_SECOND_SPREAD_US);
		return refresh;
	}
	mode_set(state, kind, mode, version);
	refresh.stale_ok = mode != FLW_WATCH_CONSISTENT;
	if (mode == FLW_LIST_PERIODIC) {
		refresh.relist = true;
		refresh.wait_us = LIST_PERIODIC_US - LIST_PERIODIC_SPREAD_US / 2 +
				  bc_random_below(state->ctx, LIST_PERIODIC_SPREAD_US);
		refresh.retry_min_us = LIST_RETRY_US;
	} else if (mode == FLW_WATCH_CONSISTENT) {
		refresh.wait_us = kind == SYN_CONFIG ? WATCH_CONFIG_US : WATCH_ENDPOINTS_US;
	}
	if (state->fallback && mode == FLW_WATCH_CONSISTENT && !has_watch_duty(state, true))
		refresh.retry_min_us =
			fallback_proxies(state) * BC_US_PER_S / FALLBACK_RETRIES_PER_S;
	return refresh;
}

/* Returns whether the kind needs to be followed more closely than by the watch or list last
 * started. */
bool flw_mode_improved(const struct flw_state *state, enum syn_kind kind)
{
	return flw_mode_get(state, kind) < state->modes[kind];
}

static bool is_confirming(const struct flw_state *state, uint64_t now_us)
{
	return state->store_us && now_us - state->store_us < CONFIRMATION_MAX_AGE_US;
}

/* Confirms the store's last answer to the others, unless a confirmation was sent just before. */
static void send_confirmation(struct flw_state *state, uint64_t now_us)
{
	if (!is_confirming(state, now_us) || state->store_us == state->sent_for_us ||
	    (state->sent_us && now_us - state->sent_us < CONFIRMATION_INTERVAL_US))
		return;
	/* Of several fallback watchers, the one that precedes the others is enough. */
	if (state->fallback && state->store_us < state->precedence_us + CONFIRMATION_INTERVAL_US)
		return;
	state->sent_us = now_us;
	state->sent_for_us = state->store_us;
	if (state->store_us > state->domain_us)
		state->domain_us = state->store_us;
	state->ops.confirm(state->data, state->id, now_us - state->store_us, true);
}

/* Records that a message of another proxy has arrived. */
void flw_peer_heard(struct flw_state *state, uint64_t now_us)
{
	state->heard_us = now_us;
}

/*
 * Records that the store has just answered a watch or list of the configuration consistently. A
 * fallback confirms this at once, since others wait to become fallbacks too.
 */
void flw_store_answered(struct flw_state *state, uint64_t now_us)
{
	state->store_us = now_us;
	if (state->fallback)
		send_confirmation(state, now_us);
}

/* Whether another proxy's answers make this one needless as a fallback, and not the reverse. */
static bool precedes(const struct flw_state *state, const char *origin)
{
	uint64_t other = bc_hash(origin);
	uint64_t own = bc_hash(state->id);

	return other != own ? other > own : strcmp(origin, state->id) > 0;
}

/*
 * Records another proxy's report that the store answered `origin` this long ago. One from another
 * failure domain is forwarded to the own domain, unless that has been told of an answer nearly as
 * recent.
 */
void flw_confirmation_received(struct flw_state *state, const char *origin, bool same_domain,
			       uint64_t age_us, uint64_t now_us)
{
	uint64_t answered_us = now_us - age_us;

	if (age_us > now_us || strcmp(origin, state->id) == 0)
		return;
	if (answered_us > state->peer_us) {
		state->peer_us = answered_us;
		snprintf(state->origin, sizeof(state->origin), "%s", origin);
	}
	if (answered_us > state->precedence_us && precedes(state, origin))
		state->precedence_us = answered_us;
	if (same_domain) {
		if (answered_us > state->domain_us)
			state->domain_us = answered_us;
		return;
	}
	if (age_us >= CONFIRMATION_MAX_AGE_US ||
	    answered_us < state->domain_us + CONFIRMATION_INTERVAL_US / FORWARDS_PER_INTERVAL)
		return;
	state->domain_us = answered_us;
	state->ops.confirm(state->data, origin, age_us, false);
}

/*
 * Returns how long after CONFIRMATION_MAX_AGE_US this proxy becomes a fallback; BC_TIMER_NEVER if
 * it leaves that to others. One that no other proxy reaches leaves it to nobody.
 */
static uint64_t fallback_delay_us(const struct flw_state *state, uint64_t now_us)
{
	int32_t rank = state->ops.rank(state->data, false);
	uint64_t delay_us = 2 * FALLBACK_DELAY_US;
	uint64_t wave_end = FALLBACK_FIRST_WAVE;
	uint64_t position;

	if (rank != MEM_NO_RANK)
		return rank < WATCH_RANKS ? 0 : FALLBACK_DELAY_US;
	/* The hash as a fraction of its range: it chooses the same proxies while members fail. */
	position = (bc_hash(state->id) >> 32) * state->ops.live(state->data) >> 32;
	if (position >= FALLBACK_PROXIES_MAX)
		return now_us - state->heard_us < CONFIRMATION_MAX_AGE_US ? BC_TIMER_NEVER
									  : delay_us;
	for (; position >= wave_end; wave_end = 2 * wave_end + FALLBACK_FIRST_WAVE)
		delay_us += FALLBACK_WAVE_INTERVAL_US;
	return delay_us;
}

/* Whether this proxy, as a fallback, is no longer needed. */
static bool may_end_fallback(const struct flw_state *state, uint64_t now_us)
{
	if (now_us - state->precedence_us < CONFIRMATION_MAX_AGE_US)
		return true;
	return now_us - state->peer_us < CONFIRMATION_MAX_AGE_US &&
	       now_us - state->fallback_us >= FALLBACK_MIN_US;
}

/* Begins or ends this proxy's time as a fallback. Returns whether that has changed. */
static bool check_fallback(struct flw_state *state, struct bc_version version, uint64_t now_us)
{
	uint64_t answered_us = state->store_us > state->peer_us ? state->store_us : state->peer_us;
	uint64_t age_us = now_us - answered_us;

	if (state->fallback
		    ? !may_end_fallback(state, now_us)
		    : age_us < CONFIRMATION_MAX_AGE_US ||
			      age_us - CONFIRMATION_MAX_AGE_US < fallback_delay_us(state, now_us))
		return false;
	state->fallback = !state->fallback;
	state->fallback_us = now_us;
	bc_log(state->ctx, state->fallback ? BC_LOG_WARN : BC_LOG_INFO, "watch_fallback_changed",
	       "{s:b,s:I,s:s,s:I}", "fallback", state->fallback, "confirmation_age_ms",
	       (json_int_t)(age_us / BC_US_PER_MS), "confirmed_by", state->origin, "revision",
	       (json_int_t)version.revision);
	return true;
}

static void log_confirming(struct flw_state *state, struct bc_version version, uint64_t now_us)
{
	if (state->confirming == is_confirming(state, now_us))
		return;
	state->confirming = !state->confirming;
	bc_log(state->ctx, BC_LOG_INFO, "store_confirmation_changed", "{s:b,s:I,s:I}", "confirming",
	       state->confirming, "answer_age_ms",
	       (json_int_t)((now_us - state->store_us) / BC_US_PER_MS), "revision",
	       (json_int_t)version.revision);
}

/*
 * Runs what is due; to be called about every 100 ms. `version` of the configuration is for the log.
 * Returns whether the mode of a kind may have changed.
 */
bool flw_tick(struct flw_state *state, struct bc_version version, uint64_t now_us)
{
	bool changed = false;

	if (!state->startup_done && now_us - state->created_us >= STARTUP_US) {
		state->startup_done = true;
		changed = true;
	}
	log_confirming(state, version, now_us);
	send_confirmation(state, now_us);
	return check_fallback(state, version, now_us) || changed;
}
