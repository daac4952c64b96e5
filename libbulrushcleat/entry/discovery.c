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
#define WATCH_DUTY "watch-store"

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

/* Returns whether the configuration in force has accounts. */
bool ent_has_accounts(void *data)
{
	const struct ent_entry *entry = data;

	return entry->config.accounts != NULL;
}

/* Returns the account in force that has a key, or NULL. */
const struct acc_account *ent_account(void *data, const struct acc_digest *key)
{
	const struct ent_entry *entry = data;

	return entry->config.accounts ? acc_find_key(entry->config.accounts, key) : NULL;
}

static void config_free(struct ent_config *config)
{
	free(config->routes);
	free(config->services);
	acc_destroy(config->accounts);
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
			   const json_t *spec, uint64_t now_us)
{
	struct ent_config config = {0};
	struct ent_config replaced = entry->config;
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
	entry->config = config;
	index_routes(entry);
	grp_config_begin(entry->groups);
	for (i = 0; i < config.service_count; i++)
		grp_set(entry->groups, config.services[i].name, config.services[i].max_connections,
			config.services[i].sync_replicas);
	grp_config_end(entry->groups);
	stm_transaction_idle_set(entry->statements, config.transaction_idle_us);
	ent_allowances_set(entry);
	ent_limits_config(entry, now_us);
	/* Sessions hold copies of routes and of accounts' names only. */
	config_free(&replaced);
	bc_log(entry->ctx, BC_LOG_INFO, "config_in_force", "{s:I,s:I,s:i,s:i,s:I,s:s}", "version",
	       (json_int_t)config.version, "before", (json_int_t)before, "routes",
	       (int)config.route_count, "accounts",
	       config.accounts ? (int)acc_count(config.accounts) : 0, "revision",
	       (json_int_t)revision, "source",
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

static int32_t on_rank(void *data, bool fleet)
{
	const struct ent_entry *entry = data;

	return mem_duty_rank(entry->members, WATCH_DUTY, fleet ? NULL : entry->settings.domain);
}

static uint32_t on_live(void *data)
{
	const struct ent_entry *entry = data;

	return mem_live_count(entry->members);
}

/* Creates the state that decides how this proxy follows the store; NULL when out of memory. */
struct flw_state *ent_follow_create(struct ent_entry *entry, uint64_t now_us)
{
	static const struct flw_ops ops = {on_rank, on_live, ent_peer_confirm_store};

	return flw_create(entry->ctx, entry->settings.id, &ops, entry, now_us);
}

/* Returns how this proxy follows a kind of object after it has listed it. */
struct syn_refresh ent_discovery_refresh(void *data, enum syn_kind kind)
{
	struct ent_entry *entry = data;

	return flw_refresh(entry->follow, kind, syn_version(entry->sync, kind));
}

/*
 * Restarts the watch of a kind if it has to be followed more closely than before, as after the loss
 * of a watcher, and stops it if listing is enough.
 */
static void follow_check(struct ent_entry *entry, enum syn_kind kind, uint64_t now_us)
{
	if (flw_mode_improved(entry->follow, kind))
		syn_watch_restart(entry->sync, kind, now_us);
	else if (flw_mode_get(entry->follow, kind) == FLW_LIST_PERIODIC)
		syn_watch_recheck(entry->sync, kind, now_us);
}

/* Decides anew how this proxy follows the store, after a change of its rank or as a fallback. */
void ent_follow_check(struct ent_entry *entry, uint64_t now_us)
{
	follow_check(entry, SYN_CONFIG, now_us);
	follow_check(entry, SYN_ENDPOINTS, now_us);
}

/* Handles the change of an object in the store. */
void ent_discovery_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			   const json_t *spec, uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (kind == SYN_CONFIG)
		config_changed(entry, name, revision, spec, now_us);
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
	/* The copies were complete before the proxies were known that may need them. */
	if (flw_in_startup(entry->follow))
		ent_peer_push_versions(entry);
	ent_registration_check(entry, now_us);
	ent_dead_members_check(entry, now_us);
}

/* Records that the store has confirmed a kind's copy. */
void ent_discovery_confirmed(void *data, enum syn_kind kind, uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (kind == SYN_CONFIG)
		flw_store_answered(entry->follow, now_us);
}

/* Records whether the store is reachable; if not, requests copies from other proxies. */
void ent_discovery_reachable(void *data, bool reachable, uint64_t now_us)
{
	struct ent_entry *entry = data;

	bc_gauge_set(entry->ctx, "bulrushcleat_store_reachable", NULL, reachable ? 1 : 0);
	if (!reachable)
		ent_peer_pull_start(entry, now_us);
}
