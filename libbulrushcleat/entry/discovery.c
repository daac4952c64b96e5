#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Entries can lapse while the store is away and are back within two seconds of its return if the
 * endpoint lives, so an endpoint whose entry vanished stays in use that long.
 */
#define DEPARTURE_US (2500 * BC_US_PER_MS)
/*
 * Every call to the store has its price, and a large configuration sent to each proxy fills the
 * links between regions. So few proxies watch closely: their watches see each change at once, and
 * end shortly, since a watch can be silent although there are changes, when the store drops its
 * history or an answer is lost. Two proxies of each failure domain watch copies that may lag, for a
 * tenth of the price. The others take over what those have, and list rarely in case all others
 * are cut off.
 */
#define WATCH_CLOSE_US BC_US_PER_S
#define WATCH_LONG_US (25 * BC_US_PER_S)
#define LIST_RARELY_US (20 * BC_US_PER_S)
/*
 * A close watcher tells the others that the store answers it. A watcher that has heard no such word
 * for this long takes part in the duty: the close watchers may have lost the store without being
 * lost themselves, and a lagging copy is seconds behind. Its answers come each WATCH_CLOSE_US.
 */
#define CURRENT_US (1500 * BC_US_PER_MS)
/* It goes on for some time, so that two that stand in do not make each other stop at once. */
#define STAND_IN_US (5 * BC_US_PER_S)
/*
 * A proxy that has just started knows few others and would take itself for a close watcher, as all
 * would after a loss of power. The members are known within this time.
 */
#define SETTLE_US BC_US_PER_S
#define WATCH_DUTY "watch-store"
#define WATCH_RANKS 2
/*
 * The proxies are listed again once all that start together have announced themselves; later the
 * members tell each other, and a listing only finds those that nobody knows.
 */
#define LIST_SECOND_US (2 * BC_US_PER_S)
#define LIST_LATER_US (30 * BC_US_PER_S)

/* An endpoint whose entry has vanished. */
struct departure {
	struct ent_entry *entry;
	char endpoint_id[BC_ID_BYTES];
	struct bc_timer timer;
};

/* The route of a database in the configuration in force, or NULL. */
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

	if (!spec || entry->ports.decode_config(entry->ports.data, spec, &config) != BC_OK) {
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
	grp_mark(entry->groups);
	for (i = 0; i < config.service_count; i++)
		grp_set(entry->groups, config.services[i].name, config.services[i].max_connections,
			config.services[i].sync_replicas);
	grp_sweep(entry->groups);
	stm_transaction_idle_set(entry->statements, config.transaction_idle_us);
	ent_allowances_set(entry);
	bc_log(entry->ctx, BC_LOG_INFO, "config_in_force", "{s:I,s:I,s:i,s:I}", "version",
	       (json_int_t)config.version, "before", (json_int_t)before, "routes",
	       (int)config.route_count, "revision", (json_int_t)revision);
	bc_gauge(entry->ctx, "bulrushcleat_config_version", NULL, (double)config.version);
}

static void departure_cancel(struct ent_entry *entry, const char *endpoint_id)
{
	struct departure *departure =
		apr_hash_get(entry->departures, endpoint_id, APR_HASH_KEY_STRING);

	if (!departure)
		return;
	apr_hash_set(entry->departures, departure->endpoint_id, APR_HASH_KEY_STRING, NULL);
	bc_timer_cancel(entry->timers, &departure->timer);
	free(departure);
}

static void on_departed(void *data, uint64_t now_us)
{
	struct departure *departure = data;
	struct ent_entry *entry = departure->entry;
	char endpoint_id[BC_ID_BYTES];

	snprintf(endpoint_id, sizeof(endpoint_id), "%s", departure->endpoint_id);
	departure_cancel(entry, endpoint_id);
	grp_endpoint_remove(entry->groups, endpoint_id, now_us);
}

static void endpoint_vanished(struct ent_entry *entry, const char *name, uint64_t now_us)
{
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, name);
	struct departure *departure;

	if (!endpoint)
		return;
	if (endpoint->info.leaving) {
		grp_endpoint_remove(entry->groups, name, now_us);
		return;
	}
	departure_cancel(entry, name);
	departure = calloc(1, sizeof(*departure));
	if (!departure)
		return;
	departure->entry = entry;
	snprintf(departure->endpoint_id, sizeof(departure->endpoint_id), "%s", name);
	bc_timer_init(&departure->timer, on_departed, departure);
	apr_hash_set(entry->departures, departure->endpoint_id, APR_HASH_KEY_STRING, departure);
	bc_timer_set(entry->timers, &departure->timer, now_us + DEPARTURE_US);
	bc_log(entry->ctx, BC_LOG_WARN, "endpoint_vanished", "{s:s,s:I}", "endpoint", name,
	       "kept_ms", (json_int_t)(DEPARTURE_US / BC_US_PER_MS));
}

/* Whether the endpoint's entry has vanished a moment ago. */
bool ent_has_vanished(const struct ent_entry *entry, const char *endpoint_id)
{
	return apr_hash_get(entry->departures, endpoint_id, APR_HASH_KEY_STRING) != NULL;
}

/* Frees the departures that are pending. */
void ent_departures_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->departures))) {
		char endpoint_id[BC_ID_BYTES];

		snprintf(endpoint_id, sizeof(endpoint_id), "%s",
			 (const char *)apr_hash_this_key(it));
		departure_cancel(entry, endpoint_id);
	}
}

static void endpoint_changed(struct ent_entry *entry, const char *name, uint64_t revision,
			     const json_t *spec, uint64_t now_us)
{
	struct grp_info info = {0};
	struct grp_endpoint *endpoint;

	if (!spec) {
		endpoint_vanished(entry, name, now_us);
		return;
	}
	if (entry->ports.decode_endpoint(entry->ports.data, name, revision, spec, &info) != BC_OK) {
		/* An entry that can't be read names no endpoint; the last good one holds. */
		bc_log(entry->ctx, BC_LOG_WARN, "endpoint_rejected", "{s:s,s:I,s:s}", "object",
		       name, "revision", (json_int_t)revision, "reason",
		       bc_last_message(entry->ctx));
		return;
	}
	departure_cancel(entry, name);
	grp_endpoint_set(entry->groups, &info, now_us);
	endpoint = grp_endpoint_find(entry->groups, info.id);
	if (endpoint)
		ent_leader_check(entry, endpoint->group, now_us);
}

static void proxy_changed(struct ent_entry *entry, const char *name, const json_t *spec,
			  uint64_t now_us)
{
	const char *address = json_string_value(json_object_get(spec, "address"));
	const char *domain = json_string_value(json_object_get(spec, "domain"));
	const char *region = json_string_value(json_object_get(spec, "region"));
	struct mem_update member = {.health = MEM_ALIVE};

	if (strcmp(name, entry->settings.id) == 0) {
		entry->listed = spec && ent_announced_as(entry, spec);
		/* An entry that was removed is written again. */
		entry->announcing &= spec != NULL;
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

static bool has_duty(const struct ent_entry *entry, const char *domain)
{
	int32_t rank = mem_duty_rank(entry->members, WATCH_DUTY, domain);

	return rank != MEM_NO_RANK && rank < WATCH_RANKS;
}

/* This proxy's part in following the store, by its place among the live proxies. */
enum ent_watching ent_watching(const struct ent_entry *entry)
{
	if (!entry->settled)
		return ENT_WATCHES;
	if (has_duty(entry, NULL))
		return ENT_WATCHES_CLOSELY;
	if (!has_duty(entry, entry->settings.domain))
		return ENT_LISTS;
	return entry->stands_in ? ENT_WATCHES_CLOSELY : ENT_WATCHES;
}

/* Whether the store has confirmed this proxy's configuration a moment ago. */
bool ent_is_current(const struct ent_entry *entry, uint64_t now_us)
{
	return entry->watching[SYN_CONFIG] == ENT_WATCHES_CLOSELY && entry->confirmed_us &&
	       now_us - entry->confirmed_us < CURRENT_US;
}

/* Decides whether this proxy stands in for the close watchers; true if that has changed. */
bool ent_stands_in_check(struct ent_entry *entry, uint64_t now_us)
{
	bool heard = now_us - entry->current_heard_us < CURRENT_US;

	if (heard != entry->stands_in ||
	    (entry->stands_in && now_us - entry->stood_in_us < STAND_IN_US))
		return false;
	entry->stands_in = !heard;
	entry->stood_in_us = now_us;
	bc_log(entry->ctx, heard ? BC_LOG_INFO : BC_LOG_WARN, "watch_stands_in", "{s:b,s:I}",
	       "stands_in", entry->stands_in, "last_word_age_ms",
	       (json_int_t)((now_us - entry->current_heard_us) / BC_US_PER_MS));
	return true;
}

/* How this proxy follows a kind. */
struct syn_wait ent_discovery_wait(void *data, enum syn_kind kind)
{
	struct ent_entry *entry = data;
	struct syn_wait wait = {.wait_us = WATCH_LONG_US};
	enum ent_watching watching = ent_watching(entry);

	if (kind == SYN_PROXIES) {
		wait.list = true;
		wait.may_lag = true;
		wait.wait_us = entry->listings++ ? LIST_LATER_US : LIST_SECOND_US;
		return wait;
	}
	entry->watching[kind] = watching;
	wait.may_lag = watching != ENT_WATCHES_CLOSELY;
	if (watching == ENT_LISTS) {
		wait.list = true;
		wait.wait_us = LIST_RARELY_US;
	} else if (kind == SYN_CONFIG && watching == ENT_WATCHES_CLOSELY) {
		wait.wait_us = WATCH_CLOSE_US;
	}
	return wait;
}

/* Notes when the start is over, so that the proxy takes its part in following the store. */
void ent_settle_check(struct ent_entry *entry, uint64_t now_us)
{
	if (entry->settled || now_us - entry->created_us < SETTLE_US)
		return;
	entry->settled = true;
	entry->duty_changed = true;
	if (ent_watching(entry) != ENT_LISTS)
		return;
	syn_unwatch(entry->sync, SYN_CONFIG, now_us);
	syn_unwatch(entry->sync, SYN_ENDPOINTS, now_us);
}

/* Takes over the duty of a proxy that has gone. */
void ent_watch_duty_check(struct ent_entry *entry, uint64_t now_us)
{
	enum ent_watching watching = ent_watching(entry);

	if (watching < entry->watching[SYN_CONFIG])
		syn_rewatch(entry->sync, SYN_CONFIG, now_us);
	if (watching < entry->watching[SYN_ENDPOINTS])
		syn_rewatch(entry->sync, SYN_ENDPOINTS, now_us);
}

/* An object of the store has changed. */
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

/* A copy is complete or newer: the other proxies learn its revision. */
void ent_discovery_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	struct ent_entry *entry = data;

	(void)revision;
	if (kind != SYN_PROXIES) {
		ent_peer_push_versions(entry);
		return;
	}
	ent_members_apply(entry);
	ent_announce_check(entry, now_us);
	ent_absences_check(entry, now_us);
}

/* The store answers or not; without it, the other proxies are asked. */
void ent_discovery_reachable(void *data, bool reachable, uint64_t now_us)
{
	struct ent_entry *entry = data;

	bc_gauge(entry->ctx, "bulrushcleat_store_reachable", NULL, reachable ? 1 : 0);
	if (!reachable)
		ent_peer_pull_start(entry, now_us);
}
