#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void on_adopted(void *data, uint64_t revision)
{
	struct nod_node *node = data;
	size_t i;

	bc_log(node->ctx, BC_LOG_INFO, "config_in_force", "{s:I}", "revision",
	       (json_int_t)revision);
	node->share_claim_due = true;
	for (i = 0; i < cfg_customer_count(node->config); i++) {
		const struct cfg_customer *customer = cfg_customer_at(node->config, i);
		const struct cfg_plan *plan = cfg_plan_find(node->config, customer->plan);

		lim_customer_set(node->limits, customer->name, plan ? plan->connections : 0);
	}
}

static const struct cfg_ops config_ops = {on_adopted};

static void on_phase(void *data, enum drn_phase phase, uint32_t remaining)
{
	struct nod_node *node = data;

	bc_log(node->ctx, BC_LOG_INFO, "drain", "{s:s,s:i}", "phase", drn_phase_name(phase), "left",
	       (int)remaining);
	if (phase != DRN_DONE)
		return;
	lim_release_shares(node->limits, node->now_us);
	node->callbacks.stopped(node->callbacks.data, remaining);
}

static const struct drn_ops drain_ops = {on_phase};

static void describe_metrics(struct bc_ctx *ctx)
{
	static const char *const help[][2] = {
		{"bulrushcleat_requests_total", "Requests of callers by kind and outcome."},
		{"bulrushcleat_refused_total", "Requests refused before any work, by code."},
		{"bulrushcleat_requests_unanswered_total",
		 "Requests whose caller did not get the whole reply, by reason and step."},
		{"bulrushcleat_request_seconds", "Time from arrival to answer."},
		{"bulrushcleat_hop_seconds", "Time spent in each hop of a request."},
		{"bulrushcleat_reads_total", "Reads served, by role of the endpoint."},
		{"bulrushcleat_retries_total", "Attempts repeated by this proxy."},
		{"bulrushcleat_promotions_total", "Promotions ordered, by result."},
		{"bulrushcleat_probe_failures_total", "Probes of endpoints without an answer."},
		{"bulrushcleat_protocol_doubts_total", "Answers that did not match their request."},
		{"bulrushcleat_store_calls_total", "Calls to the platform's store."},
		{"bulrushcleat_store_failures_total", "Watches of the store that failed."},
		{"bulrushcleat_admission_waits_total", "Requests that waited for a plan's share."},
		{"bulrushcleat_config_revision", "Revision of the configuration in force."},
		{"bulrushcleat_members_live", "Live proxies known, this one included."},
		{"bulrushcleat_connections", "Connections to an endpoint, by state."},
		{"bulrushcleat_jobs", "Requests in this proxy."},
	};
	size_t i;

	for (i = 0; i < sizeof(help) / sizeof(help[0]); i++)
		bc_metric_describe(ctx, help[i][0], help[i][1]);
}

static void create_tables(struct nod_node *node)
{
	node->calls = apr_hash_make(node->pool);
	node->jobs = apr_hash_make(node->pool);
	node->transactions = apr_hash_make(node->pool);
	node->admissions = apr_hash_make(node->pool);
	node->databases = apr_hash_make(node->pool);
	node->probes = apr_hash_make(node->pool);
	node->key_table_known = apr_hash_make(node->pool);
}

static void describe_self(const struct cfg_settings *settings, uint64_t incarnation,
			  struct mem_update *self)
{
	memset(self, 0, sizeof(*self));
	snprintf(self->id, sizeof(self->id), "%s", settings->id);
	snprintf(self->address, sizeof(self->address), "%s",
		 settings->advertised_peers[0] ? settings->advertised_peers
					       : settings->listen_peers);
	snprintf(self->domain, sizeof(self->domain), "%s", settings->domain);
	snprintf(self->region, sizeof(self->region), "%s", settings->region);
	self->incarnation = incarnation;
}

static bool create_modules(struct nod_node *node, uint64_t incarnation)
{
	const struct cfg_settings *settings = &node->settings;
	struct bc_ctx *ctx = node->ctx;
	struct mem_update self;

	describe_self(settings, incarnation, &self);
	node->config = cfg_create(ctx, &config_ops, node);
	node->route = rte_create(ctx, settings->domain, settings->region);
	node->quorum = quo_create(ctx, &nod_quorum_ops, node);
	node->failover = fov_create(ctx, node->candidate, &nod_failover_ops, node);
	node->members = mem_create(ctx, &self, &nod_member_ops, node);
	node->limits = lim_create(ctx, settings->id, &nod_limit_ops, node);
	node->connections = pool_create(ctx, &nod_pool_ops, node);
	node->budget = out_budget_create(ctx);
	node->drain = drn_create(ctx, settings->drain_timeout_ms * BC_US_PER_MS, &drain_ops, node);
	return node->config && node->route && node->quorum && node->failover && node->members &&
	       node->limits && node->connections && node->budget && node->drain;
}

/* Creates a proxy, or returns NULL when out of memory. */
struct nod_node *nod_create(struct bc_ctx *ctx, const struct cfg_settings *settings,
			    struct ses_keyring *ring, uint64_t incarnation,
			    const struct nod_callbacks *callbacks, uint64_t now_us)
{
	struct nod_node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	node->ctx = ctx;
	node->settings = *settings;
	/* Endpoints bind promises to it; a new process must not use those of the last one. */
	snprintf(node->candidate, sizeof(node->candidate), "%.40s.%016llx", settings->id,
		 (unsigned long long)bc_random(ctx));
	node->ring = ring;
	node->callbacks = *callbacks;
	node->now_us = now_us;
	node->started_us = now_us;
	apr_pool_create(&node->pool, NULL);
	create_tables(node);
	describe_metrics(ctx);
	if (!create_modules(node, incarnation)) {
		nod_destroy(node);
		return NULL;
	}
	node->members_changed = true;
	return node;
}

static void free_all(apr_hash_t *hash, void (*release)(void *))
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, hash); it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		release(value);
	}
}

static void release_job(void *value)
{
	struct job *job = value;

	json_decref(job->params);
	json_decref(job->result);
	free(job->sql);
	free(job->key);
	free(job);
}

/* Frees the proxy; requests in progress get no reply. NULL is allowed. */
void nod_destroy(struct nod_node *node)
{
	int i;

	if (!node)
		return;
	free_all(node->jobs, release_job);
	free_all(node->transactions, free);
	nod_calls_free(node);
	for (i = 0; i < DOC_COUNT; i++)
		json_decref(node->documents[i].value);
	drn_destroy(node->drain);
	out_budget_destroy(node->budget);
	pool_destroy(node->connections);
	lim_destroy(node->limits);
	mem_destroy(node->members);
	fov_destroy(node->failover);
	quo_destroy(node->quorum);
	rte_destroy(node->route);
	cfg_destroy(node->config);
	apr_pool_destroy(node->pool);
	free(node);
}

/*
 * Claims a base share for every customer, so that a proxy that is cut off later can serve customers
 * it has not served before. With more than NOD_CLAIM_CUSTOMERS_MAX customers, shares are claimed on
 * first use instead.
 */
static void preclaim_shares(struct nod_node *node)
{
	size_t count = cfg_customer_count(node->config);
	size_t i;

	if (!node->share_claim_due || !node->documents[DOC_VMS].version)
		return;
	node->share_claim_due = false;
	for (i = 0; i < count && count <= NOD_CLAIM_CUSTOMERS_MAX; i++) {
		const char *customer = cfg_customer_at(node->config, i)->name;

		if (lim_admit(node->limits, customer, node->now_us))
			lim_release(node->limits, customer, node->now_us);
	}
}

static void slow_tick(struct nod_node *node)
{
	if (node->now_us < node->next_slow_tick_us)
		return;
	node->next_slow_tick_us = node->now_us + NOD_SLOW_TICK_US;
	if (node->members_changed) {
		node->members_changed = false;
		pool_proxies_set(node->connections, mem_live_count(node->members));
		nod_promoter_ranks_update(node);
	}
	preclaim_shares(node);
	nod_transactions_tick(node);
	nod_peer_count_silent_reports(node);
	nod_peer_contact_seeds(node);
}

/* Runs the timers of all modules. */
void nod_tick(struct nod_node *node, uint64_t now_us)
{
	node->now_us = now_us;
	mem_tick(node->members, now_us);
	nod_store_tick(node);
	nod_probe_tick(node);
	fov_tick(node->failover, now_us);
	quo_tick(node->quorum, now_us);
	if (now_us >= node->next_limit_tick_us) {
		node->next_limit_tick_us = now_us + NOD_LIMIT_TICK_US;
		lim_tick(node->limits, now_us);
	}
	pool_tick(node->connections, now_us);
	drn_tick(node->drain, now_us);
	nod_jobs_tick(node);
	slow_tick(node);
}

/* Begins a graceful shutdown: announces to peers that this proxy leaves, then drains. */
void nod_drain(struct nod_node *node, uint64_t now_us)
{
	node->now_us = now_us;
	mem_leave(node->members, now_us);
	drn_begin(node->drain, now_us);
}

/*
 * A node is ready when it is not draining and has a configuration and groups. A node that has not
 * reached the store first waits for its peers' documents, so that it does not serve with an older
 * revision.
 */
bool nod_ready(const struct nod_node *node)
{
	bool asked = node->documents[DOC_CONFIG].store_answered ||
		     node->now_us >= node->started_us + NOD_START_WAIT_US;

	return asked && drn_phase(node->drain) == DRN_SERVING && cfg_revision(node->config) &&
	       rte_group_count(node->route);
}

static json_t *groups_status(struct nod_node *node)
{
	json_t *groups = json_object();
	size_t i;

	for (i = 0; i < rte_group_count(node->route); i++) {
		const char *database = rte_group_at(node->route, i);
		char primary[BC_ID_BYTES] = "";
		uint64_t term = 0;

		rte_primary_get(node->route, database, primary, &term);
		json_object_set_new(
			groups, database,
			json_pack("{s:s,s:I}", "primary", primary, "term", (json_int_t)term));
	}
	return groups;
}

static json_t *members_status(struct nod_node *node)
{
	static const char *const health[] = {"alive", "suspect", "dead"};
	json_t *members = json_array();
	size_t i;

	for (i = 0; i < mem_count(node->members); i++) {
		const struct mem_update *member = mem_at(node->members, i);

		json_array_append_new(members,
				      json_pack("{s:s,s:s,s:s,s:s,s:b}", "id", member->id,
						"address", member->address, "domain",
						member->domain, "health", health[member->health],
						"leaving", (int)member->leaving));
	}
	return members;
}

static json_t *pools_status(struct nod_node *node)
{
	json_t *pools = json_object();
	size_t i;

	for (i = 0; i < rte_endpoint_count(node->route); i++) {
		const struct rte_endpoint *endpoint = rte_endpoint_at(node->route, i);
		struct pool_stats figures = pool_stats_get(node->connections, endpoint->id);

		json_object_set_new(pools, endpoint->id,
				    json_pack("{s:i,s:i,s:i,s:i,s:b}", "lent", (int)figures.lent,
					      "idle", (int)figures.idle, "opening",
					      (int)figures.opening, "queued", (int)figures.queued,
					      "leaving", (int)endpoint->leaving));
	}
	return pools;
}

static json_t *shares_status(struct nod_node *node)
{
	json_t *shares = json_object();
	size_t i;

	for (i = 0; i < cfg_customer_count(node->config); i++) {
		const char *customer = cfg_customer_at(node->config, i)->name;

		json_object_set_new(shares, customer,
				    json_pack("{s:i,s:i}", "share",
					      (int)lim_share(node->limits, customer, node->now_us),
					      "in_use", (int)lim_in_use(node->limits, customer)));
	}
	return shares;
}

/* The proxy's state for operators, as a new reference. */
json_t *nod_status(struct nod_node *node, uint64_t now_us)
{
	node->now_us = now_us;
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:o,s:o,s:o,s:o}", "id", node->settings.id,
			 "domain", node->settings.domain, "region", node->settings.region,
			 "version", BC_VERSION, "ready", (int)nod_ready(node), "config_revision",
			 (json_int_t)cfg_revision(node->config), "jobs",
			 (json_int_t)apr_hash_count(node->jobs), "groups", groups_status(node),
			 "members", members_status(node), "pools", pools_status(node), "shares",
			 shares_status(node));
}

/* Updates the gauges. */
void nod_gauges_update(struct nod_node *node, uint64_t now_us)
{
	struct bc_ctx *ctx = node->ctx;
	size_t i;

	node->now_us = now_us;
	bc_gauge_set(ctx, "bulrushcleat_config_revision", NULL, (double)cfg_revision(node->config));
	bc_gauge_set(ctx, "bulrushcleat_members_live", NULL, mem_live_count(node->members));
	bc_gauge_set(ctx, "bulrushcleat_jobs", NULL, apr_hash_count(node->jobs));
	for (i = 0; i < rte_endpoint_count(node->route); i++) {
		const char *id = rte_endpoint_at(node->route, i)->id;
		struct pool_stats figures = pool_stats_get(node->connections, id);
		char labels[128];

		snprintf(labels, sizeof(labels), "endpoint=\"%s\",state=\"lent\"", id);
		bc_gauge_set(ctx, "bulrushcleat_connections", labels, figures.lent);
		snprintf(labels, sizeof(labels), "endpoint=\"%s\",state=\"idle\"", id);
		bc_gauge_set(ctx, "bulrushcleat_connections", labels, figures.idle);
	}
}
