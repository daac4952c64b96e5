#include "group/group.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a suspect endpoint is tried again; doubled with each failure. */
#define RETRY_FIRST_US (50 * BC_US_PER_MS)
#define RETRY_MAX_US (800 * BC_US_PER_MS)
/* A sample taken sooner after the last one replaces it, so that the ring spans enough time. */
#define SAMPLE_SPACING_US (40 * BC_US_PER_MS)
/* An answer younger than this shows that the endpoint is up although a connection broke. */
#define RECENT_ANSWER_US (150 * BC_US_PER_MS)
/* Interval for asking a leader whether it has applied its log. */
#define CATCH_UP_CHECK_US (40 * BC_US_PER_MS)
/* Each latency has 1/8 of the weight in the mean, so that one slow answer does not divert reads. */
#define LATENCY_WEIGHT 8U
/* Time for which a replica that lacked a position is penalized; doubled with each refusal. */
#define BEHIND_FIRST_US (20 * BC_US_PER_MS)
/* Up to 16 times the first delay, about the lag at which a replica is of little use. */
#define BEHIND_DOUBLINGS_MAX 4U

/*
 * A report may be known this late: a watch that has fallen silent ends after 2.6 s, and a statement
 * waits for its connection after an endpoint was chosen.
 */
#define REPORT_DELAY_MAX_US (3 * BC_US_PER_S)
/*
 * The time for an endpoint that was leaving when this proxy first listed it: since when is not
 * known.
 */
#define LEAVING_SINCE_UNKNOWN_US (3 * BC_US_PER_S)

APR_RING_HEAD(grp_group_ring, grp_group);

struct grp_state {
	struct bc_ctx *ctx;
	struct grp_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *groups; /* name -> struct grp_group */
	struct grp_group_ring ring;
	apr_hash_t *endpoints;	   /* id -> struct grp_endpoint */
	uint64_t leaving_limit_us; /* how long a leaving endpoint may get new work; 0: no limit */
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	enum grp_balance balance;
};

/* Creates an empty state for a proxy in this failure domain; NULL when out of memory. */
struct grp_state *grp_create(struct bc_ctx *ctx, const char *domain, const char *region,
			     const struct grp_ops *ops, void *data)
{
	struct grp_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->ctx = ctx;
	state->ops = *ops;
	state->data = data;
	state->groups = apr_hash_make(state->pool);
	APR_RING_INIT(&state->ring, grp_group, entry);
	state->endpoints = apr_hash_make(state->pool);
	snprintf(state->domain, sizeof(state->domain), "%s", domain);
	snprintf(state->region, sizeof(state->region), "%s", region);
	return state;
}

/* Sets how long after its report an endpoint that is leaving may get new work. */
void grp_leaving_limit_set(struct grp_state *state, uint64_t limit_us)
{
	state->leaving_limit_us = limit_us;
}

/* Sets how reads are balanced over the endpoints of each group. */
void grp_balance_set(struct grp_state *state, enum grp_balance balance)
{
	state->balance = balance;
	if (balance != GRP_BALANCE_SPREAD)
		return;
	bc_metric_describe(state->ctx, "bulrushcleat_balance_choices_total",
			   "Endpoints chosen for reads, by reason.");
	bc_metric_describe(state->ctx, "bulrushcleat_load_report_age_seconds",
			   "Age of the load report of the endpoint chosen for a read.");
}

/* Returns how reads are balanced. */
enum grp_balance grp_balance_get(const struct grp_state *state)
{
	return state->balance;
}

static void group_free(struct grp_group *group)
{
	struct grp_endpoint *endpoint = grp_first(group);

	while (endpoint) {
		struct grp_endpoint *next = grp_next(endpoint);

		free(endpoint);
		endpoint = next;
	}
	free(group);
}

/* Frees the state with its groups and endpoints. NULL is ignored. */
void grp_destroy(struct grp_state *state)
{
	struct grp_group *group;

	if (!state)
		return;
	group = grp_group_first(state);
	while (group) {
		struct grp_group *next = grp_group_next(state, group);

		group_free(group);
		group = next;
	}
	apr_pool_destroy(state->pool);
	free(state);
}

/* Returns the group of this name, or NULL. */
struct grp_group *grp_find(const struct grp_state *state, const char *name)
{
	return apr_hash_get(state->groups, name, APR_HASH_KEY_STRING);
}

/* Returns the first known group, or NULL. Includes groups no longer in the configuration. */
struct grp_group *grp_group_first(const struct grp_state *state)
{
	return APR_RING_EMPTY(&state->ring, grp_group, entry) ? NULL : APR_RING_FIRST(&state->ring);
}

/* Returns the group after this one, or NULL. */
struct grp_group *grp_group_next(const struct grp_state *state, const struct grp_group *group)
{
	struct grp_group *next = APR_RING_NEXT(group, entry);

	return next == APR_RING_SENTINEL(&state->ring, grp_group, entry) ? NULL : next;
}

static struct grp_group *find_or_add_group(struct grp_state *state, const char *name)
{
	struct grp_group *group = grp_find(state, name);

	if (group)
		return group;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	snprintf(group->name, sizeof(group->name), "%s", name);
	APR_RING_INIT(&group->endpoints, grp_endpoint, link);
	APR_RING_INSERT_TAIL(&state->ring, group, grp_group, entry);
	apr_hash_set(state->groups, group->name, APR_HASH_KEY_STRING, group);
	return group;
}

/* Adds or changes a group of the configuration; NULL when out of memory. */
struct grp_group *grp_set(struct grp_state *state, const char *name, uint32_t max_connections,
			  uint32_t sync_replicas)
{
	struct grp_group *group = find_or_add_group(state, name);

	if (!group)
		return NULL;
	group->max_connections = max_connections;
	group->sync_replicas = sync_replicas;
	group->listed = true;
	return group;
}

/* Begins a new configuration: no group is in it yet. */
void grp_config_begin(struct grp_state *state)
{
	struct grp_group *group;

	for (group = grp_group_first(state); group; group = grp_group_next(state, group))
		group->listed = false;
}

/*
 * Ends a new configuration. Groups that are not in it stay known, since they may return, but their
 * connection limit is 0.
 */
void grp_config_end(struct grp_state *state)
{
	struct grp_group *group;

	for (group = grp_group_first(state); group; group = grp_group_next(state, group))
		if (!group->listed)
			group->max_connections = 0;
}

/* Returns the group's first endpoint, or NULL. */
struct grp_endpoint *grp_first(const struct grp_group *group)
{
	return APR_RING_EMPTY(&group->endpoints, grp_endpoint, link)
		       ? NULL
		       : APR_RING_FIRST(&group->endpoints);
}

/* Returns the endpoint after this one in its group, or NULL. */
struct grp_endpoint *grp_next(const struct grp_endpoint *endpoint)
{
	struct grp_endpoint *next = APR_RING_NEXT(endpoint, link);

	return next == APR_RING_SENTINEL(&endpoint->group->endpoints, grp_endpoint, link) ? NULL
											  : next;
}

/* Returns the endpoint with this id, or NULL. */
struct grp_endpoint *grp_endpoint_find(const struct grp_state *state, const char *id)
{
	return apr_hash_get(state->endpoints, id, APR_HASH_KEY_STRING);
}

static struct grp_former_leader *former_leader_find(struct grp_group *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < GRP_FORMER_LEADERS_MAX; i++)
		if (strcmp(group->former_leaders[i].id, id) == 0)
			return &group->former_leaders[i];
	return NULL;
}

/*
 * Records the current leader and remembers the one before with its term. A former leader that was
 * cut off reports that it leads until it learns of its successor, so its reports are ignored here.
 */
static void record_leader(struct grp_group *group, const struct grp_info *leader)
{
	struct grp_former_leader *former = &group->former_leaders[group->next_former_leader];

	if (strcmp(group->last_leader, leader->id) == 0 || former_leader_find(group, leader->id))
		return;
	if (group->last_leader[0]) {
		memcpy(former->id, group->last_leader, sizeof(former->id));
		memcpy(former->address, group->last_leader_address, sizeof(former->address));
		former->term = group->lead_term;
		if (group->last_leader_deposed && group->deposed_term > former->term)
			former->term = group->deposed_term;
		group->next_former_leader =
			(group->next_former_leader + 1) % GRP_FORMER_LEADERS_MAX;
		group->lead_term++;
	}
	memcpy(group->last_leader, leader->id, sizeof(group->last_leader));
	memcpy(group->last_leader_address, leader->address, sizeof(group->last_leader_address));
	if (group->lead_term < group->term)
		group->lead_term = group->term;
}

/* Whether the endpoint has this id, or is a later instance at this address. */
static bool has_log_of(const struct grp_info *info, const char *id, const char *address)
{
	return id[0] && (strcmp(info->id, id) == 0 || strcmp(info->address, address) == 0);
}

/* Returns whether the endpoint is a former leader whose log may have commits rolled back since. */
bool grp_is_outdated(const struct grp_group *group, const struct grp_info *info,
		     uint64_t known_term)
{
	uint32_t i;

	/* A deposed leader has a successor, even if this proxy has not learned of it. */
	if (group->last_leader_deposed &&
	    has_log_of(info, group->last_leader, group->last_leader_address) &&
	    (!group->deposed_term || known_term <= group->deposed_term))
		return true;
	for (i = 0; i < GRP_FORMER_LEADERS_MAX; i++) {
		const struct grp_former_leader *former = &group->former_leaders[i];

		if (has_log_of(info, former->id, former->address) && known_term <= former->term)
			return true;
	}
	return false;
}

/* Changes the group's leader. There is one at a time, so new evidence overrides older evidence. */
static void set_leader(struct grp_state *state, struct grp_group *group,
		       struct grp_endpoint *leader, const char *reason, uint64_t now_us)
{
	if (group->leader == leader)
		return;
	bc_log(state->ctx, BC_LOG_INFO, "leader_changed", "{s:s,s:s,s:s,s:I,s:s}", "group",
	       group->name, "from", group->leader ? group->leader->info.id : "", "to",
	       leader ? leader->info.id : "", "term", (json_int_t)group->term, "reason", reason);
	group->leader = leader;
	if (leader) {
		leader->caught_up = false;
		leader->caught_up_check_us = 0;
		leader->denied_lead = false;
		record_leader(group, &leader->info);
		group->deposed = false;
		group->last_leader_deposed = false;
	}
	group->reached_by_peer_until_us = 0;
	state->ops.leader_changed(state->data, group, now_us);
}

/* Clears the leader if it is this endpoint; it stays unknown until there is new evidence. */
static void clear_leader(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
			 uint64_t now_us)
{
	if (endpoint->group->leader == endpoint)
		set_leader(state, endpoint->group, NULL, reason, now_us);
}

static void endpoint_free(struct grp_endpoint *endpoint)
{
	endpoint->group->used_indexes &= ~(1U << endpoint->index);
	APR_RING_REMOVE(endpoint, link);
	free(endpoint);
}

/* Takes a reference, which keeps the endpoint allocated until grp_endpoint_unref(). */
void grp_endpoint_ref(struct grp_endpoint *endpoint)
{
	endpoint->refs++;
}

/* Drops a reference; a removed endpoint without references is freed. */
void grp_endpoint_unref(struct grp_endpoint *endpoint)
{
	if (--endpoint->refs == 0 && endpoint->removed)
		endpoint_free(endpoint);
}

/* Removes an endpoint that discovery no longer lists. */
void grp_endpoint_remove(struct grp_state *state, const char *id, uint64_t now_us)
{
	struct grp_endpoint *endpoint = grp_endpoint_find(state, id);

	if (!endpoint)
		return;
	apr_hash_set(state->endpoints, endpoint->info.id, APR_HASH_KEY_STRING, NULL);
	endpoint->removed = true;
	bc_log(state->ctx, BC_LOG_INFO, "endpoint_removed", "{s:s,s:s}", "group",
	       endpoint->group->name, "endpoint", id);
	endpoint->refs++;
	clear_leader(state, endpoint, "endpoint_removed", now_us);
	state->ops.endpoint_gone(state->data, endpoint, now_us);
	grp_endpoint_unref(endpoint);
}

static uint32_t free_index(const struct grp_group *group)
{
	uint32_t index;

	for (index = 0; index < GRP_ENDPOINTS_MAX; index++)
		if (!(group->used_indexes & 1U << index))
			return index;
	return GRP_ENDPOINTS_MAX;
}

static struct grp_endpoint *endpoint_add(struct grp_state *state, const struct grp_info *info)
{
	struct grp_group *group = find_or_add_group(state, info->group);
	struct grp_endpoint *endpoint = calloc(1, sizeof(*endpoint));
	uint32_t index = group ? free_index(group) : GRP_ENDPOINTS_MAX;

	if (!endpoint || index == GRP_ENDPOINTS_MAX) {
		bc_log(state->ctx, BC_LOG_ERROR, "endpoint_not_added", "{s:s,s:s}", "group",
		       info->group, "endpoint", info->id);
		free(endpoint);
		return NULL;
	}
	endpoint->info = *info;
	endpoint->group = group;
	endpoint->index = index;
	group->used_indexes |= 1U << index;
	APR_RING_INSERT_TAIL(&group->endpoints, endpoint, grp_endpoint, link);
	apr_hash_set(state->endpoints, endpoint->info.id, APR_HASH_KEY_STRING, endpoint);
	return endpoint;
}

static bool same_instance(const struct grp_info *a, const struct grp_info *b)
{
	return strcmp(a->group, b->group) == 0 && strcmp(a->address, b->address) == 0 &&
	       a->started_ms == b->started_ms;
}

/* Returns when an endpoint that reports that it is leaving gets no new work; 0: never. */
static uint64_t leaving_until_us(const struct grp_state *state, bool is_new, uint64_t now_us)
{
	uint64_t limit_us = state->leaving_limit_us > 2 * REPORT_DELAY_MAX_US
				    ? state->leaving_limit_us - REPORT_DELAY_MAX_US
				    : state->leaving_limit_us / 2;

	if (!state->leaving_limit_us)
		return 0;
	return now_us + (is_new && limit_us > LEAVING_SINCE_UNKNOWN_US ? LEAVING_SINCE_UNKNOWN_US
								       : limit_us);
}

/* Adds or updates an endpoint as discovery reports it. */
void grp_endpoint_set(struct grp_state *state, const struct grp_info *info, uint64_t now_us)
{
	struct grp_endpoint *endpoint = grp_endpoint_find(state, info->id);
	bool is_new = false;
	bool reported_lead_before;
	bool leaving_before;

	if (endpoint && !same_instance(&endpoint->info, info)) {
		grp_endpoint_remove(state, info->id, now_us);
		endpoint = NULL;
	}
	if (!endpoint) {
		endpoint = endpoint_add(state, info);
		if (!endpoint)
			return;
		is_new = true;
		endpoint->in_use_since_us = now_us;
		bc_log(state->ctx, BC_LOG_INFO, "endpoint_added", "{s:s,s:s,s:s,s:s,s:b,s:b}",
		       "group", info->group, "endpoint", info->id, "address", info->address,
		       "domain", info->domain, "leads", info->reports_lead, "leaving",
		       info->leaving);
	}
	reported_lead_before = !is_new && endpoint->info.reports_lead;
	leaving_before = !is_new && endpoint->info.leaving;
	endpoint->info = *info;
	if (is_new)
		state->ops.endpoint_added(state->data, endpoint);
	if (info->reports_lead && !reported_lead_before)
		set_leader(state, endpoint->group, endpoint, "reported", now_us);
	else if (!info->reports_lead && reported_lead_before)
		clear_leader(state, endpoint, "reported", now_us);
	if (!info->leaving)
		endpoint->leaving_until_us = 0;
	if (info->leaving && !leaving_before) {
		endpoint->leaving_until_us = leaving_until_us(state, is_new, now_us);
		bc_log(state->ctx, BC_LOG_INFO, "endpoint_leaving", "{s:s,s:s}", "group",
		       info->group, "endpoint", info->id);
		state->ops.endpoint_gone(state->data, endpoint, now_us);
	}
}

/* Records a statement sent to the endpoint. */
void grp_sent(struct grp_endpoint *endpoint, uint64_t now_us)
{
	if (endpoint->inflight++ == 0 || !endpoint->waiting_since_us)
		endpoint->waiting_since_us = now_us;
}

/* Records that the endpoint answers; it is no longer suspect. */
static void record_answer(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us)
{
	endpoint->answered_us = now_us;
	endpoint->failures = 0;
	if (!endpoint->suspect)
		return;
	endpoint->suspect = false;
	endpoint->in_use_since_us = now_us;
	bc_log(state->ctx, BC_LOG_INFO, "endpoint_recovered", "{s:s,s:s,s:I}", "group",
	       endpoint->group->name, "endpoint", endpoint->info.id, "after_ms",
	       (json_int_t)((now_us - endpoint->suspect_us) / BC_US_PER_MS));
}

static uint64_t moving_average(uint64_t average, uint64_t value)
{
	return (average * (LATENCY_WEIGHT - 1) + value) / LATENCY_WEIGHT;
}

static void update_latency(struct grp_endpoint *endpoint, uint64_t latency_us, uint64_t now_us)
{
	endpoint->latency_us = moving_average(endpoint->latency_us, latency_us);
	endpoint->mean_latency_us = endpoint->mean_latency_us
					    ? moving_average(endpoint->mean_latency_us, latency_us)
					    : latency_us;
	endpoint->latency_updated_us = now_us;
	endpoint->behind_count = 0;
}

/* Records a complete answer. The latency counts only if the statement ran. */
void grp_answered(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t latency_us,
		  bool ran, uint64_t now_us)
{
	if (endpoint->inflight)
		endpoint->inflight--;
	endpoint->waiting_since_us = endpoint->inflight ? now_us : 0;
	record_answer(state, endpoint, now_us);
	if (ran)
		update_latency(endpoint, latency_us, now_us);
}

/* Records a statement sent to the endpoint through another proxy. */
void grp_relay_sent(struct grp_endpoint *endpoint)
{
	endpoint->inflight_relayed++;
}

/* Records the other proxy's answer, or that this proxy no longer waits for it. */
void grp_relay_answered(struct grp_endpoint *endpoint, uint64_t latency_us, bool ran,
			uint64_t now_us)
{
	if (endpoint->inflight_relayed)
		endpoint->inflight_relayed--;
	if (ran)
		update_latency(endpoint, latency_us, now_us);
}

/* Records a relay's count of the statements running and waiting at the endpoint. */
void grp_load_reported(struct grp_endpoint *endpoint, uint32_t statements, uint64_t counted_us)
{
	if (counted_us <= endpoint->load_reported_us)
		return;
	endpoint->reported_load = statements;
	endpoint->load_reported_us = counted_us;
}

/* Records that a connection could not be opened, broke or got no answer. */
void grp_failed(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
		uint64_t now_us)
{
	uint64_t delay_us = RETRY_FIRST_US << (endpoint->failures < 4 ? endpoint->failures : 4);

	endpoint->failures++;
	endpoint->waiting_since_us = endpoint->inflight ? now_us : 0;
	if (delay_us > RETRY_MAX_US)
		delay_us = RETRY_MAX_US;
	endpoint->retry_us = now_us + delay_us / 2 + bc_random_below(state->ctx, delay_us / 2 + 1);
	if (endpoint->suspect)
		return;
	endpoint->suspect = true;
	endpoint->caught_up = false;
	endpoint->suspect_us = now_us;
	bc_log(state->ctx, BC_LOG_WARN, "endpoint_lost", "{s:s,s:s,s:s,s:b,s:I}", "group",
	       endpoint->group->name, "endpoint", endpoint->info.id, "reason", reason, "leads",
	       endpoint->group->leader == endpoint, "last_answer_age_ms",
	       (json_int_t)(endpoint->answered_us ? (now_us - endpoint->answered_us) / BC_US_PER_MS
						  : 0));
}

/*
 * Records that an open connection broke. The endpoint does not become suspect if it has just
 * answered on another connection: if it has crashed, the next connection attempt fails.
 */
void grp_connection_broken(struct grp_state *state, struct grp_endpoint *endpoint,
			   const char *reason, uint64_t now_us)
{
	if (now_us - endpoint->answered_us >= RECENT_ANSWER_US) {
		grp_failed(state, endpoint, reason, now_us);
		return;
	}
	bc_counter_add(state->ctx, "bulrushcleat_connections_broken_total", NULL, 1);
	bc_log(state->ctx, BC_LOG_INFO, "connection_broken", "{s:s,s:s,s:s}", "group",
	       endpoint->group->name, "endpoint", endpoint->info.id, "reason", reason);
}

/* Records a position that a replica has received, or that was acknowledged. */
void grp_replicated(struct grp_group *group, struct bc_position position)
{
	if (bc_position_compare(position, group->replicated) > 0)
		group->replicated = position;
}

/* Records the position that the endpoint reported. */
void grp_reported(struct grp_endpoint *endpoint, struct bc_position position, uint64_t now_us)
{
	if (bc_position_compare(position, endpoint->reported_position) >= 0 || position.term)
		endpoint->reported_position = position;
	endpoint->position_reported_us = now_us;
	if (endpoint != endpoint->group->leader)
		grp_replicated(endpoint->group, position);
	if (position.term > endpoint->group->term)
		endpoint->group->term = position.term;
}

static void sample_add(struct grp_group *group, struct bc_position position, uint64_t sent_us)
{
	/* The ring is in order of time, and positions of leaders only grow. */
	struct grp_sample *last = &group->samples[group->sample_last];

	if (group->sample_count) {
		const struct grp_sample *before =
			&group->samples[(group->sample_last + GRP_SAMPLES - 1) % GRP_SAMPLES];

		if (sent_us <= last->sent_us || bc_position_compare(position, last->position) < 0)
			return;
		if (group->sample_count > 1 &&
		    last->sent_us - before->sent_us < SAMPLE_SPACING_US) {
			*last = (struct grp_sample){sent_us, position};
			return;
		}
		group->sample_last = (group->sample_last + 1) % GRP_SAMPLES;
	}
	group->samples[group->sample_last] = (struct grp_sample){sent_us, position};
	if (group->sample_count < GRP_SAMPLES)
		group->sample_count++;
}

/* Adds a sample from another proxy: the leader had this position at sent_us or later. */
void grp_peer_sample(struct grp_group *group, struct bc_position position, uint64_t sent_us)
{
	if (position.term < group->term)
		return;
	group->term = position.term;
	/* The first term learned is that of the leader reported by discovery. */
	if (!group->lead_term && group->last_leader[0])
		group->lead_term = position.term;
	sample_add(group, position, sent_us);
}

/* Records proof that the endpoint led, with this position, after sent_us. */
void grp_leader_proved(struct grp_state *state, struct grp_endpoint *endpoint,
		       struct bc_position position, uint64_t sent_us, uint64_t now_us)
{
	struct grp_group *group = endpoint->group;
	struct grp_former_leader *former;

	if (position.term < group->term)
		return;
	group->term = position.term;
	former = former_leader_find(group, endpoint->info.id);
	if (former && position.term > former->term)
		former->id[0] = '\0';
	record_leader(group, &endpoint->info);
	sample_add(group, position, sent_us);
	if (!endpoint->removed)
		set_leader(state, group, endpoint, "proved", now_us);
	if (group->leader == endpoint)
		group->lead_term = position.term;
}

/*
 * Accepts a report from elsewhere that the endpoint leads in this term. Ignores it if a newer term
 * is known, or a leader of the same term that is not suspect.
 */
void grp_hint_leader(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t term,
		     uint64_t now_us)
{
	struct grp_group *group = endpoint->group;

	if (endpoint->removed || term < group->term || group->leader == endpoint)
		return;
	/* The source may not know yet that the endpoint was deposed. */
	if (endpoint->denied_lead && term <= endpoint->denied_term)
		return;
	if (term == group->term && group->leader && !group->leader->suspect)
		return;
	group->term = term;
	set_leader(state, group, endpoint, "reported_by_peer", now_us);
}

/* Records that the endpoint has denied being the leader. */
void grp_denied_lead(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct grp_group *group = endpoint->group;

	endpoint->denied_lead = true;
	endpoint->denied_term = group->term;
	if (group->leader == endpoint) {
		group->deposed = true;
		group->last_leader_deposed = strcmp(group->last_leader, endpoint->info.id) == 0;
		group->deposed_term = group->term;
	}
	clear_leader(state, endpoint, "refused", now_us);
}

/* Records that another proxy reaches the leader, so that statements can go through that proxy. */
void grp_leader_reached_by_peer(struct grp_group *group, uint64_t until_us)
{
	group->reached_by_peer_until_us = until_us;
}

/* Records whether the leader has applied its whole log. */
void grp_caught_up(struct grp_state *state, struct grp_endpoint *endpoint, bool caught_up,
		   uint64_t now_us)
{
	if (!caught_up)
		endpoint->caught_up_check_us = now_us + CATCH_UP_CHECK_US;
	if (caught_up != endpoint->caught_up)
		bc_log(state->ctx, BC_LOG_INFO, "leader_caught_up", "{s:s,s:s,s:b}", "group",
		       endpoint->group->name, "endpoint", endpoint->info.id, "caught_up",
		       caught_up);
	endpoint->caught_up = caught_up;
}

/* Records that the endpoint refused a read because its log lacks the required position. */
void grp_behind(struct grp_endpoint *endpoint, uint64_t now_us)
{
	endpoint->behind_until_us = now_us + (BEHIND_FIRST_US << endpoint->behind_count);
	if (endpoint->behind_count < BEHIND_DOUBLINGS_MAX)
		endpoint->behind_count++;
}

/* Gets the newest sample; false if there is none. */
bool grp_newest_sample(const struct grp_group *group, struct grp_sample *out)
{
	if (!group->sample_count)
		return false;
	*out = group->samples[group->sample_last];
	return true;
}

/* Chooses the endpoint to read from, with costs as seen from this proxy's failure domain. */
struct grp_choice grp_choose_read(struct grp_state *state, struct grp_group *group,
				  const struct grp_read_bounds *bounds, uint64_t now_us)
{
	struct grp_chooser chooser = {state->ctx, state->domain, state->region, state->balance};

	return grp_choose_read_from(group, bounds, &chooser, now_us);
}
