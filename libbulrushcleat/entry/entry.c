#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/* Interval for counting the remaining work; short beside the shortest grace of some seconds. */
#define DRAIN_TICK_US (50 * BC_US_PER_MS)
/* In a fleet up to this size, a proxy announces a new leader to all others. */
#define LEADER_BROADCAST_MAX_PROXIES 16U
/*
 * On a link of this rate first copies of a large fleet, some hundred KB, arrive in a few ms. On a
 * slower one it is worth while to wait for compressed copies from another proxy.
 */
#define FAST_LINK_BITS_PER_S 100000000ULL
/* A refusal may be short; the delay doubles so that a fleet's retries do not overload the store. */
#define REGISTRATION_RETRY_US (300 * BC_US_PER_MS)
#define REGISTRATION_RETRY_MAX_US (3 * BC_US_PER_S)

static void on_answer(void *data, void *caller, const struct sql_result *result)
{
	struct ent_entry *entry = data;

	entry->ops.statements.answer(entry->ops.data, caller, result);
}

static void on_link_open(void *data, struct stm_link *link, const struct grp_endpoint *endpoint)
{
	struct ent_entry *entry = data;

	entry->ops.statements.link_open(entry->ops.data, link, endpoint);
}

static void on_link_send(void *data, struct stm_link *link, const struct sql_statement *statement)
{
	struct ent_entry *entry = data;

	entry->ops.statements.link_send(entry->ops.data, link, statement);
}

static void on_link_flush(void *data, struct stm_link *link)
{
	struct ent_entry *entry = data;

	entry->ops.statements.link_flush(entry->ops.data, link);
}

static void on_link_close(void *data, struct stm_link *link)
{
	struct ent_entry *entry = data;

	entry->ops.statements.link_close(entry->ops.data, link);
}

static const struct stm_route *on_route(void *data, const char *database)
{
	return ent_route(data, database);
}

static void on_leader_unavailable(void *data, struct grp_group *group, uint64_t now_us)
{
	struct ent_entry *entry = data;

	tko_leader_lost(entry->takeover, group, now_us);
}

static void on_work_ended(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct stm_stats stats;

	if (drn_phase(entry->drain) == DRN_SERVING)
		return;
	stats = stm_stats_get(entry->statements);
	if (entry->ops.callers_without_session)
		stats.sessions += entry->ops.callers_without_session(entry->ops.data);
	drn_in_flight_set(entry->drain, stats.sessions, stats.transactions, now_us);
}

static void on_endpoint_added(void *data, struct grp_endpoint *endpoint)
{
	ent_allowance_set(data, endpoint);
}

static void on_endpoint_gone(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct ent_entry *entry = data;

	/* A leader that is leaving serves writes until another endpoint is promoted. */
	if (!endpoint->removed && endpoint->group->leader == endpoint)
		return;
	stm_endpoint_retire(entry->statements, endpoint, now_us);
}

static void on_leader_changed(void *data, struct grp_group *group, uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct grp_endpoint *endpoint;

	/* In a larger fleet the others learn of it through discovery. */
	if (entry->live_proxies <= LEADER_BROADCAST_MAX_PROXIES)
		ent_peer_announce_leader(entry, group);
	/* A former leader that is leaving gets no more work. */
	for (endpoint = grp_first(group); endpoint; endpoint = grp_next(endpoint)) {
		if (endpoint->info.leaving && endpoint != group->leader && !endpoint->removed)
			stm_endpoint_retire(entry->statements, endpoint, now_us);
	}
}

static void on_drain_phase(void *data, enum drn_phase phase, uint32_t left)
{
	struct ent_entry *entry = data;

	(void)left;
	if (phase == DRN_DRAINING)
		stm_new_work_refuse(entry->statements);
	entry->ops.draining(entry->ops.data, phase);
}

static void on_drain_timer(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;

	on_work_ended(entry, now_us);
	if (drn_phase(entry->drain) != DRN_DONE)
		bc_timer_set(entry->timers, &entry->drain_timer, now_us + DRAIN_TICK_US);
}

static void on_list(void *data, enum syn_kind kind, const char *after, bool stale_ok)
{
	struct ent_entry *entry = data;

	entry->ops.list(entry->ops.data, kind, after, stale_ok);
}

static void on_watch(void *data, enum syn_kind kind, uint64_t revision,
		     const struct syn_refresh *refresh)
{
	struct ent_entry *entry = data;

	entry->ops.watch(entry->ops.data, kind, revision, refresh);
}

static void on_cancel(void *data, enum syn_kind kind)
{
	struct ent_entry *entry = data;

	entry->ops.cancel_read(entry->ops.data, kind);
}

/*
 * Returns whether the proxy's entry in the store has its current address, domain and region. The
 * incarnation is not compared, since members learn it from membership messages.
 */
bool ent_own_entry_matches(const struct ent_entry *entry, const json_t *spec)
{
	const struct {
		const char *field;
		const char *value;
	} expected[] = {{"address", entry->settings.peer_address},
			{"domain", entry->settings.domain},
			{"region", entry->settings.region}};
	size_t i;

	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		const char *value = json_string_value(json_object_get(spec, expected[i].field));

		if (!value || strcmp(value, expected[i].value) != 0)
			return false;
	}
	return true;
}

static void register_proxy(struct ent_entry *entry)
{
	json_t *spec = json_pack("{s:s,s:s,s:s,s:I}", "address", entry->settings.peer_address,
				 "domain", entry->settings.domain, "region", entry->settings.region,
				 "incarnation", (json_int_t)entry->settings.incarnation);

	entry->registration_started = true;
	entry->ops.register_proxy(entry->ops.data, entry->settings.id, spec);
	json_decref(spec);
}

static void on_registration_timer(void *data, uint64_t now_us)
{
	(void)now_us;
	register_proxy(data);
}

/*
 * Writes this proxy's entry unless the store has it already. After a power failure all proxies
 * start at once, each with its previous address, and need not write.
 */
void ent_registration_check(struct ent_entry *entry, uint64_t now_us)
{
	if (entry->own_entry_stored || entry->registration_started)
		return;
	bc_timer_set(entry->timers, &entry->registration_timer, now_us);
	entry->registration_started = true;
}

/*
 * Completes the write of this proxy's entry. A failed write is retried, since other proxies learn
 * of this one through its entry.
 */
void ent_proxy_registered(struct ent_entry *entry, enum bc_status status, uint64_t now_us)
{
	uint64_t delay_us = REGISTRATION_RETRY_US;
	uint32_t i;

	if (status == BC_OK)
		return;
	bc_log(entry->ctx, BC_LOG_WARN, "announce_failed", "{s:s}", "status",
	       bc_status_name(status));
	for (i = 0; i < entry->registration_failures && delay_us < REGISTRATION_RETRY_MAX_US; i++)
		delay_us *= 2;
	entry->registration_failures++;
	bc_timer_set(entry->timers, &entry->registration_timer,
		     now_us + delay_us / 2 + bc_random_below(entry->ctx, delay_us));
}

static bool create_modules(struct ent_entry *entry, uint64_t now_us)
{
	static const struct stm_ops statement_ops = {.answer = on_answer,
						     .link_open = on_link_open,
						     .link_send = on_link_send,
						     .link_flush = on_link_flush,
						     .link_close = on_link_close,
						     .route = on_route,
						     .has_accounts = ent_has_accounts,
						     .admit = ent_admit,
						     .admission_cancel = ent_admission_cancel,
						     .account = ent_account,
						     .leader_unavailable = on_leader_unavailable,
						     .choose_relay = ent_choose_relay,
						     .choose_sample_relay = ent_choose_sample_relay,
						     .order_send = ent_order_send,
						     .reply_send = ent_reply_send,
						     .relay_failed = ent_relay_failed,
						     .relay_slow = ent_relay_slow,
						     .relay_answered = ent_relay_answered,
						     .work_ended = on_work_ended};
	static const struct grp_ops group_ops = {on_endpoint_added, on_endpoint_gone,
						 on_leader_changed};
	static const struct syn_ops sync_ops = {on_list,
						on_watch,
						on_cancel,
						ent_discovery_refresh,
						ent_discovery_changed,
						ent_discovery_lost,
						ent_discovery_is_outdated,
						ent_discovery_restored,
						ent_discovery_complete,
						ent_discovery_confirmed,
						ent_discovery_reachable};
	static const struct drn_ops drain_ops = {on_drain_phase};

	entry->timers = bc_timers_create();
	entry->groups = grp_create(entry->ctx, entry->settings.domain, entry->settings.region,
				   &group_ops, entry);
	if (!entry->timers || !entry->groups)
		return false;
	grp_leaving_limit_set(entry->groups, entry->settings.endpoint_leaving_us);
	grp_balance_set(entry->groups, entry->settings.balance);
	bc_timer_init(&entry->drain_timer, on_drain_timer, entry);
	bc_timer_init(&entry->registration_timer, on_registration_timer, entry);
	entry->sync = syn_create(entry->ctx, entry->timers, &sync_ops, entry);
	entry->follow = ent_follow_create(entry, now_us);
	entry->takeover = ent_takeover_create(entry);
	entry->drain = drn_create(entry->ctx, entry->settings.drain_timeout_us, &drain_ops, entry);
	if (entry->sync && entry->drain)
		ent_peers_init(entry, now_us);
	entry->statements =
		stm_create(entry->ctx, entry->timers, entry->groups, &statement_ops, entry);
	if (!entry->takeover || !entry->members || !entry->statements || !entry->follow)
		return false;
	if (!ent_limits_create(entry, now_us))
		return false;
	drn_notice_set(entry->drain, entry->settings.drain_notice_us);
	if (entry->settings.drain_refuse_us > entry->settings.drain_notice_us)
		drn_closing_set(entry->drain,
				entry->settings.drain_refuse_us - entry->settings.drain_notice_us);
	return true;
}

/* Whether the proxy lists the store as soon as it starts, so that it can send copies to others. */
static bool lists_at_once(const struct ent_settings *settings)
{
	uint32_t i;

	if (!settings->link_bits_per_s || settings->link_bits_per_s >= FAST_LINK_BITS_PER_S)
		return true;

	for (i = 0; i < settings->seed_count; i++)
		if (strcmp(settings->seeds[i], settings->peer_address) == 0)
			return true;
	return false;
}

/* Creates a proxy and starts to read the store. Returns NULL when out of memory. */
struct ent_entry *ent_create(struct bc_ctx *ctx, const struct ent_settings *settings,
			     const struct ent_ops *ops, uint64_t now_us)
{
	struct ent_entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	entry->ctx = ctx;
	entry->settings = *settings;
	entry->ops = *ops;
	apr_pool_create(&entry->pool, NULL);
	entry->created_us = now_us;
	entry->pending_removals = apr_hash_make(entry->pool);
	entry->dead_members = apr_hash_make(entry->pool);
	entry->relays = apr_hash_make(entry->pool);
	entry->relay_paths = apr_hash_make(entry->pool);
	entry->leader_polls = apr_hash_make(entry->pool);
	entry->roster = ent_roster_create();
	if (!entry->roster || !create_modules(entry, now_us)) {
		ent_destroy(entry);
		return NULL;
	}
	syn_start(entry->sync, flw_start_delay_us(entry->follow, lists_at_once(&entry->settings)),
		  now_us);
	ent_peer_pull_start(entry, now_us);
	return entry;
}

/* Frees the proxy; pending statements are not answered. NULL is allowed. */
void ent_destroy(struct ent_entry *entry)
{
	if (!entry)
		return;
	ent_pending_removals_free(entry);
	ent_dead_members_free(entry);
	ent_leader_polls_free(entry);
	ent_limits_destroy(entry);
	stm_destroy(entry->statements);
	tko_destroy(entry->takeover);
	syn_destroy(entry->sync);
	flw_destroy(entry->follow);
	drn_destroy(entry->drain);
	mem_destroy(entry->members);
	grp_destroy(entry->groups);
	ent_relay_paths_free(entry);
	ent_roster_destroy(entry->roster);
	bc_timers_destroy(entry->timers);
	free(entry->config.routes);
	free(entry->config.services);
	acc_destroy(entry->config.accounts);
	if (entry->routes_pool)
		apr_pool_destroy(entry->routes_pool);
	apr_pool_destroy(entry->pool);
	free(entry);
}

/* Returns the statement engine, for the code that handles connections of callers and endpoints. */
struct stm_engine *ent_statements(const struct ent_entry *entry)
{
	return entry->statements;
}

/* Completes a list or watch. */
void ent_sync_answer(struct ent_entry *entry, enum syn_kind kind, enum bc_status status,
		     const struct syn_page *page, uint64_t now_us)
{
	syn_answer(entry->sync, kind, status, page, now_us);
}

/* Completes the read of a group's claim object. */
void ent_claim_read(struct ent_entry *entry, const char *group, enum bc_status status,
		    struct bc_version version, uint64_t now_us)
{
	tko_claim_read(entry->takeover, group, status, version, now_us);
}

/* Completes the write of a group's claim object. */
void ent_claim_written(struct ent_entry *entry, const char *group, enum bc_status status,
		       struct bc_version version, uint64_t now_us)
{
	tko_claim_written(entry->takeover, group, status, version, now_us);
}

/* Completes a promotion request with the platform's answer. */
void ent_promotion_answered(struct ent_entry *entry, const char *group, enum bc_status status,
			    uint64_t now_us)
{
	tko_promotion_answered(entry->takeover, group, status, now_us);
}

/* Returns whether a configuration is in force. */
bool ent_configured(const struct ent_entry *entry)
{
	return entry->routes != NULL;
}

/* Returns the version of the configuration in force; 0 if there is none. */
uint64_t ent_config_version(const struct ent_entry *entry)
{
	return entry->config.version;
}

/* Returns whether the configuration and the endpoints are known and no drain has begun. */
bool ent_ready(const struct ent_entry *entry)
{
	return ent_configured(entry) && syn_is_complete(entry->sync, SYN_ENDPOINTS) &&
	       drn_phase(entry->drain) == DRN_SERVING;
}

/* Returns whether sessions are closed as soon as they are idle. */
bool ent_is_closing(const struct ent_entry *entry)
{
	return drn_phase(entry->drain) >= DRN_CLOSING;
}

/* Returns whether sessions may be opened. */
bool ent_admits_sessions(const struct ent_entry *entry)
{
	return drn_admits(entry->drain, false);
}

/* Starts the drain. */
void ent_drain(struct ent_entry *entry, uint64_t now_us)
{
	mem_leave(entry->members, now_us);
	ent_limits_drain(entry, now_us);
	drn_begin(entry->drain, now_us);
	on_work_ended(entry, now_us);
	bc_timer_set(entry->timers, &entry->drain_timer, now_us + DRAIN_TICK_US);
}

/* Finds a member by its address, for a connection that was lost before the peer sent its id. */
static const struct mem_update *member_at(const struct ent_entry *entry, const char *address)
{
	size_t i;

	for (i = 0; i < mem_count(entry->members); i++)
		if (strcmp(mem_at(entry->members, i)->address, address) == 0)
			return mem_at(entry->members, i);
	return NULL;
}

/* Handles the loss of the connection to a peer, and of the statements relayed over it. */
void ent_peer_lost(struct ent_entry *entry, const char *peer, const char *address, bool unsent,
		   uint64_t now_us)
{
	const struct mem_update *member =
		peer[0] ? mem_find(entry->members, peer) : member_at(entry, address);

	if (!member)
		return;
	ent_relay_failed(entry, member->id, NULL, now_us);
	stm_proxy_lost(entry->statements, member->id, unsent, now_us);
}

/* Returns the time of the next timer. */
uint64_t ent_next_due(const struct ent_entry *entry)
{
	return bc_timers_next(entry->timers);
}

/* Runs the expired timers. */
void ent_run_due(struct ent_entry *entry, uint64_t now_us)
{
	bc_timers_run(entry->timers, now_us);
}
