#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Endpoint entries can expire while the store is unavailable. A live endpoint's entry is back
 * within two seconds of the store's return, so an endpoint whose entry was deleted stays in use
 * that long.
 */
#define REMOVAL_DELAY_US (2500 * BC_US_PER_MS)
/*
 * Every call to the store has a cost, and sending a large configuration to each proxy saturates the
 * links between regions. So only a few proxies use consistent watches, which return each change at
 * once. These watches time out early, because a watch can miss changes when the store drops its
 * history or an answer is lost. Two proxies of each failure domain watch copies of the store that
 * may lag, at a tenth of the cost. The others get changes from these watchers, and list the store
 * at long intervals in case the watchers are unreachable.
 */
#define WATCH_CONSISTENT_US BC_US_PER_S
#define WATCH_LONG_US (25 * BC_US_PER_S)
#define LIST_PERIODIC_US (20 * BC_US_PER_S)
/*
 * The store answers a consistent watcher at least every WATCH_CONSISTENT_US, or 400 ms later if it
 * is slow, and the watcher confirms this to the others. A proxy that knows of no answer in this
 * time watches consistently as a fallback: the consistent watchers may be alive but cut off from
 * the store, and no other proxy may be able to reach it.
 */
#define CONFIRMATION_MAX_AGE_US (1600 * BC_US_PER_MS)
/*
 * The proxies with a rank for the watch duty of their failure domain fall back first. The others
 * wait this much longer for one of them to confirm, and those without a rank twice as much, so that
 * a fleet does not read the configuration all at once.
 */
#define FALLBACK_DELAY_US (200 * BC_US_PER_MS)
/* In a larger fleet only about as many of the proxies without a rank fall back. */
#define FALLBACK_PROXIES_MAX 100U
/* Minimum time as a fallback, so that two fallback watchers do not stop each other at once. */
#define FALLBACK_MIN_US (5 * BC_US_PER_S)
/*
 * A proxy that has just started knows few others and would choose itself as a consistent watcher,
 * as all proxies would after a power failure. The members are known within this time.
 */
#define STARTUP_US BC_US_PER_S
#define WATCH_DUTY "watch-store"
#define WATCH_RANKS 2
/*
 * The proxies are listed for the second time when all that started together have written their
 * entries. After that the membership protocol spreads new members, and a list only finds proxies
 * that no member knows.
 */
#define LIST_PROXIES_SECOND_US (2 * BC_US_PER_S)
#define LIST_PROXIES_LATER_US (30 * BC_US_PER_S)

/* The delayed removal of an endpoint whose entry was deleted. */
struct pending_removal {
	struct ent_entry *entry;
	char endpoint_id[BC_ID_BYTES];
	struct bc_timer timer;
};

/* Returns the route of a database in the configuration in force, or NULL. */
const struct stm_route *ent_route(const struct ent_entry *entry, const char *database)
{
	return entry->routes ? apr_hash_get(entry->routes, database, APR_HASH_KEY_STRING) : NULL;
}

static void config_free(struct ent_config *config)
{
	free(config->routes);
	free(config->services);
	memset(config, 0, sizeof(*config));
}

/* Indexes the routes by database. */
static void index_routes(struct ent_entry *entry)
{
	size_t i;

	if (entry->routes_pool)
		apr_pool_destroy(entry->routes_pool);
	apr_pool_create(&entry->routes_pool, NULL);
	entry->routes = apr_hash_make(entry->routes_pool);
	for (i = 0; i < entry->config.route_count; i++)
		apr_hash_set(entry->routes, entry->config.routes[i].database, APR_HASH_KEY_STRING,
			     &entry->config.routes[i]);
}

static void config_changed(struct ent_entry *entry, const char *name, uint64_t revision,
			   const json_t *spec)
{
	struct ent_config config = {0};
	uint64_t before = entry->config.version;
	size_t i;

	if (!spec || entry->ops.decode_config(entry->ops.data, spec, &config) != BC_OK) {
		bc_log(entry->ctx, BC_LOG_ERROR, "config_rejected", "{s:s,s:I,s:s}", "object", name,
		       "revision", (json_int_t)revision, "reason",
		       spec ? bc_last_message(entry->ctx) : "deleted");
		config_free(&config);
		return;
	}
	if (config.version < before) {
		bc_log(entry->ctx, BC_LOG_WARN, "config_older", "{s:I,s:I}", "version",
		       (json_int_t)config.version, "in_force", (json_int_t)before);
		config_free(&config);
		return;
	}
	config_free(&entry->config);
	entry->config = config;
	index_routes(entry);
	grp_config_begin(entry->groups);
	for (i = 0; i < config.service_count; i++)
		grp_set(entry->groups, config.services[i].name, config.services[i].max_connections,
			config.services[i].sync_replicas);
	grp_config_end(entry->groups);
	stm_transaction_idle_set(entry->statements, config.transaction_idle_us);
	ent_allowances_set(entry);
	bc_log(entry->ctx, BC_LOG_INFO, "config_in_force", "{s:I,s:I,s:i,s:I,s:s}", "version",
	       (json_int_t)config.version, "before", (json_int_t)before, "routes",
	       (int)config.route_count, "revision", (json_int_t)revision, "source",
	       entry->document_sender[0] ? entry->document_sender : "store");
	bc_gauge_set(entry->ctx, "bulrushcleat_config_version", NULL, (double)config.version);
}

static void removal_cancel(struct ent_entry *entry, const char *endpoint_id)
{
	struct pending_removal *pending_removal =
		apr_hash_get(entry->pending_removals, endpoint_id, APR_HASH_KEY_STRING);

	if (!pending_removal)
		return;
	apr_hash_set(entry->pending_removals, pending_removal->endpoint_id, APR_HASH_KEY_STRING,
		     NULL);
	bc_timer_cancel(entry->timers, &pending_removal->timer);
	free(pending_removal);
}

static void on_removal_due(void *data, uint64_t now_us)
{
	struct pending_removal *pending_removal = data;
	struct ent_entry *entry = pending_removal->entry;
	char endpoint_id[BC_ID_BYTES];

	snprintf(endpoint_id, sizeof(endpoint_id), "%s", pending_removal->endpoint_id);
	removal_cancel(entry, endpoint_id);
	grp_endpoint_remove(entry->groups, endpoint_id, now_us);
}

static void removal_schedule(struct ent_entry *entry, const char *name, uint64_t now_us)
{
	struct pending_removal *pending_removal;

	if (!grp_endpoint_find(entry->groups, name))
		return;
	removal_cancel(entry, name);
	pending_removal = calloc(1, sizeof(*pending_removal));
	if (!pending_removal)
		return;
	pending_removal->entry = entry;
	snprintf(pending_removal->endpoint_id, sizeof(pending_removal->endpoint_id), "%s", name);
	bc_timer_init(&pending_removal->timer, on_removal_due, pending_removal);
	apr_hash_set(entry->pending_removals, pending_removal->endpoint_id, APR_HASH_KEY_STRING,
		     pending_removal);
	bc_timer_set(entry->timers, &pending_removal->timer, now_us + REMOVAL_DELAY_US);
	bc_log(entry->ctx, BC_LOG_WARN, "endpoint_entry_deleted", "{s:s,s:I}", "endpoint", name,
	       "removal_delay_ms", (json_int_t)(REMOVAL_DELAY_US / BC_US_PER_MS));
}

static void endpoint_deleted(struct ent_entry *entry, const char *name, uint64_t now_us)
{
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, name);

	if (endpoint && endpoint->info.leaving)
		grp_endpoint_remove(entry->groups, name, now_us);
	else
		removal_schedule(entry, name, now_us);
}

/* Returns whether the endpoint's entry was deleted and the endpoint waits for its removal. */
bool ent_removal_is_pending(const struct ent_entry *entry, const char *endpoint_id)
{
	return apr_hash_get(entry->pending_removals, endpoint_id, APR_HASH_KEY_STRING) != NULL;
}

/* Cancels and frees the pending removals. */
void ent_pending_removals_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->pending_removals))) {
		char endpoint_id[BC_ID_BYTES];

		snprintf(endpoint_id, sizeof(endpoint_id), "%s",
			 (const char *)apr_hash_this_key(it));
		removal_cancel(entry, endpoint_id);
	}
}

static void endpoint_changed(struct ent_entry *entry, const char *name, uint64_t revision,
			     const json_t *spec, uint64_t now_us)
{
	struct grp_info info = {0};
	struct grp_endpoint *endpoint;

	if (!spec) {
		endpoint_deleted(entry, name, now_us);
		return;
	}
	if (entry->ops.decode_endpoint(entry->ops.data, name, revision, spec, &info) != BC_OK) {
		/* A malformed entry is ignored; the last valid one stays in use. */
		bc_log(entry->ctx, BC_LOG_WARN, "endpoint_rejected", "{s:s,s:I,s:s}", "object",
		       name, "revision", (json_int_t)revision, "reason",
		       bc_last_message(entry->ctx));
		return;
	}
	removal_cancel(entry, name);
	grp_endpoint_set(entry->groups, &info, now_us);
	endpoint = grp_endpoint_find(entry->groups, info.id);
	if (endpoint)
		ent_planned_takeover_check(entry, endpoint->group, now_us);
}

static void proxy_changed(struct ent_entry *entry, const char *name, const json_t *spec,
			  uint64_t now_us)
{
	const char *address = json_string_value(json_object_get(spec, "address"));
	const char *domain = json_string_value(json_object_get(spec, "domain"));
	const char *region = json_string_value(json_object_get(spec, "region"));
	struct mem_update member = {.health = MEM_ALIVE};

	if (strcmp(name, entry->settings.id) == 0) {
		entry->own_entry_stored = spec && ent_own_entry_matches(entry, spec);
		/* A deleted entry is written again. */
		entry->registration_started &= spec != NULL;
		return;
	}
	if (!spec) {
		mem_remove(entry->members, name, now_us);
		return;
	}
	if (!address || !domain || !region || !bc_id_valid(name)) {
		bc_log(entry->ctx, BC_LOG_WARN, "proxy_rejected", "{s:s}", "object", name);
		return;
	}
	snprintf(member.id, sizeof(member.id), "%s", name);
	snprintf(member.address, sizeof(member.address), "%s", address);
	snprintf(member.domain, sizeof(member.domain), "%s", domain);
	snprintf(member.region, sizeof(member.region), "%s", region);
	member.incarnation = (uint64_t)json_integer_value(json_object_get(spec, "incarnation"));
	mem_add(entry->members, &member, now_us);
}

static bool has_watch_duty(const struct ent_entry *entry, const char *domain)
{
	int32_t rank = mem_duty_rank(entry->members, WATCH_DUTY, domain);

	return rank != MEM_NO_RANK && rank < WATCH_RANKS;
}

/* Returns how this proxy follows the store, by its watch duty rank among the live proxies. */
enum ent_follow_mode ent_follow_mode(const struct ent_entry *entry)
{
	if (!entry->startup_done)
		return ENT_WATCH_STALE;
	if (entry->fallback_watcher || has_watch_duty(entry, NULL))
		return ENT_WATCH_CONSISTENT;
	return has_watch_duty(entry, entry->settings.domain) ? ENT_WATCH_STALE : ENT_LIST_PERIODIC;
}

/*
 * Returns whether the store has confirmed this proxy's configuration within
 * CONFIRMATION_MAX_AGE_US.
 */
bool ent_store_is_confirmed(const struct ent_entry *entry, uint64_t now_us)
{
	return entry->store_confirmed_us &&
	       now_us - entry->store_confirmed_us < CONFIRMATION_MAX_AGE_US;
}

/* Records a peer's report that the store answered it this long ago. */
void ent_confirmation_received(struct ent_entry *entry, const char *peer, uint64_t age_us,
			       uint64_t now_us)
{
	if (age_us > now_us || now_us - age_us <= entry->peer_confirmed_us)
		return;
	entry->peer_confirmed_us = now_us - age_us;
	snprintf(entry->confirmation_sender, sizeof(entry->confirmation_sender), "%s", peer);
}

/*
 * Returns how long after CONFIRMATION_MAX_AGE_US this proxy becomes a fallback; BC_TIMER_NEVER if
 * it leaves that to others.
 */
static uint64_t fallback_delay_us(const struct ent_entry *entry)
{
	int32_t rank = mem_duty_rank(entry->members, WATCH_DUTY, entry->settings.domain);
	uint64_t live = mem_live_count(entry->members);

	if (rank != MEM_NO_RANK)
		return rank < WATCH_RANKS ? 0 : FALLBACK_DELAY_US;
	/* The hash as a fraction of its range: it chooses the same proxies while members fail. */
	if ((bc_hash(entry->settings.id) >> 32) * live >> 32 >= FALLBACK_PROXIES_MAX)
		return BC_TIMER_NEVER;
	return 2 * FALLBACK_DELAY_US;
}

/*
 * Decides whether this proxy is a fallback for the consistent watchers. Returns true if that has
 * changed.
 */
bool ent_fallback_watcher_check(struct ent_entry *entry, uint64_t now_us)
{
	uint64_t age_us = now_us - entry->peer_confirmed_us;
	bool confirmed = age_us < CONFIRMATION_MAX_AGE_US;

	if (confirmed != entry->fallback_watcher ||
	    (entry->fallback_watcher && now_us - entry->fallback_changed_us < FALLBACK_MIN_US))
		return false;
	if (!confirmed && age_us - CONFIRMATION_MAX_AGE_US < fallback_delay_us(entry))
		return false;
	entry->fallback_watcher = !confirmed;
	entry->fallback_changed_us = now_us;
	bc_log(entry->ctx, confirmed ? BC_LOG_INFO : BC_LOG_WARN, "watch_fallback_changed",
	       "{s:b,s:I,s:s,s:I}", "fallback", entry->fallback_watcher, "confirmation_age_ms",
	       (json_int_t)(age_us / BC_US_PER_MS), "confirmed_by", entry->confirmation_sender,
	       "revision", (json_int_t)syn_version(entry->sync, SYN_CONFIG).revision);
	return true;
}

static void follow_mode_set(struct ent_entry *entry, enum syn_kind kind, enum ent_follow_mode mode)
{
	static const char *const names[] = {[ENT_WATCH_CONSISTENT] = "watch_consistent",
					    [ENT_WATCH_STALE] = "watch_stale",
					    [ENT_LIST_PERIODIC] = "list_periodic"};

	if (mode == entry->follow_mode[kind])
		return;
	bc_log(entry->ctx, BC_LOG_INFO, "store_follow_changed", "{s:s,s:s,s:s,s:I}", "kind",
	       syn_kind_name(kind), "mode", names[mode], "before", names[entry->follow_mode[kind]],
	       "revision", (json_int_t)syn_version(entry->sync, kind).revision);
	entry->follow_mode[kind] = mode;
}

/* Returns how this proxy follows a kind of object after it has listed it. */
struct syn_refresh ent_discovery_refresh(void *data, enum syn_kind kind)
{
	struct ent_entry *entry = data;
	struct syn_refresh refresh = {.wait_us = WATCH_LONG_US};
	enum ent_follow_mode follow_mode = ent_follow_mode(entry);

	if (kind == SYN_PROXIES) {
		refresh.relist = true;
		refresh.stale_ok = true;
		refresh.wait_us =
			entry->proxy_list_count++ ? LIST_PROXIES_LATER_US : LIST_PROXIES_SECOND_US;
		return refresh;
	}
	follow_mode_set(entry, kind, follow_mode);
	refresh.stale_ok = follow_mode != ENT_WATCH_CONSISTENT;
	if (follow_mode == ENT_LIST_PERIODIC) {
		refresh.relist = true;
		refresh.wait_us = LIST_PERIODIC_US;
	} else if (kind == SYN_CONFIG && follow_mode == ENT_WATCH_CONSISTENT) {
		refresh.wait_us = WATCH_CONSISTENT_US;
	}
	return refresh;
}

/* Ends the startup phase after STARTUP_US; from then on the proxy's rank decides its mode. */
void ent_startup_check(struct ent_entry *entry, uint64_t now_us)
{
	if (entry->startup_done || now_us - entry->created_us < STARTUP_US)
		return;
	entry->startup_done = true;
	entry->duty_changed = true;
	if (ent_follow_mode(entry) != ENT_LIST_PERIODIC)
		return;
	syn_watch_recheck(entry->sync, SYN_CONFIG, now_us);
	syn_watch_recheck(entry->sync, SYN_ENDPOINTS, now_us);
}

/* Restarts the watches if the mode became more up to date, as after the loss of a watcher. */
void ent_watch_duty_check(struct ent_entry *entry, uint64_t now_us)
{
	enum ent_follow_mode follow_mode = ent_follow_mode(entry);

	if (follow_mode < entry->follow_mode[SYN_CONFIG])
		syn_watch_restart(entry->sync, SYN_CONFIG, now_us);
	if (follow_mode < entry->follow_mode[SYN_ENDPOINTS])
		syn_watch_restart(entry->sync, SYN_ENDPOINTS, now_us);
}

/* Handles the change of an object in the store. */
void ent_discovery_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			   const json_t *spec, uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (kind == SYN_CONFIG)
		config_changed(entry, name, revision, spec);
	else if (kind == SYN_ENDPOINTS)
		endpoint_changed(entry, name, revision, spec, now_us);
	else
		proxy_changed(entry, name, spec, now_us);
}

/*
 * Handles an object that a restored store does not have. Live endpoints and proxies write their
 * entries again; the configuration in force stays until the operators write one.
 */
void ent_discovery_lost(void *data, enum syn_kind kind, const char *name, uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (kind == SYN_ENDPOINTS)
		removal_schedule(entry, name, now_us);
}

static bool config_is_outdated(struct ent_entry *entry, const json_t *listed, const json_t *held)
{
	struct ent_config listed_config = {0};
	struct ent_config held_config = {0};
	bool outdated;

	outdated = entry->ops.decode_config(entry->ops.data, held, &held_config) == BC_OK &&
		   entry->ops.decode_config(entry->ops.data, listed, &listed_config) == BC_OK &&
		   listed_config.version < held_config.version;
	config_free(&listed_config);
	config_free(&held_config);
	return outdated;
}

static bool endpoint_is_outdated(struct ent_entry *entry, const char *name, const json_t *listed,
				 const json_t *held)
{
	struct grp_info listed_info = {0};
	struct grp_info held_info = {0};

	if (entry->ops.decode_endpoint(entry->ops.data, name, 0, held, &held_info) != BC_OK ||
	    entry->ops.decode_endpoint(entry->ops.data, name, 0, listed, &listed_info) != BC_OK)
		return false;
	return listed_info.started_ms < held_info.started_ms ||
	       (listed_info.started_ms == held_info.started_ms &&
		listed_info.report_number < held_info.report_number);
}

/* Whether a restored store lists an older state of an object than the one held. */
bool ent_discovery_is_outdated(void *data, enum syn_kind kind, const char *name,
			       const json_t *listed, const json_t *held)
{
	struct ent_entry *entry = data;

	if (kind == SYN_CONFIG)
		return config_is_outdated(entry, listed, held);
	return kind == SYN_ENDPOINTS && endpoint_is_outdated(entry, name, listed, held);
}

/* Checks with the next list of the proxies whether the store still has this proxy's entry. */
void ent_discovery_restored(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;

	(void)now_us;
	entry->own_entry_stored = false;
	if (!bc_timer_is_set(&entry->registration_timer))
		entry->registration_started = false;
}

/* Handles a complete or newer copy: sends its revision to peers, or applies the proxy list. */
void ent_discovery_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	struct ent_entry *entry = data;

	(void)revision;
	if (kind != SYN_PROXIES) {
		ent_peer_push_versions(entry);
		return;
	}
	ent_members_apply(entry);
	ent_registration_check(entry, now_us);
	ent_dead_members_check(entry, now_us);
}

/* Records that the store has confirmed a kind's copy. */
void ent_discovery_confirmed(void *data, enum syn_kind kind, uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (kind == SYN_CONFIG)
		entry->store_confirmed_us = now_us;
}

/* Records whether the store is reachable; if not, requests copies from other proxies. */
void ent_discovery_reachable(void *data, bool reachable, uint64_t now_us)
{
	struct ent_entry *entry = data;

	bc_gauge_set(entry->ctx, "bulrushcleat_store_reachable", NULL, reachable ? 1 : 0);
	if (!reachable)
		ent_peer_pull_start(entry, now_us);
}
