#include "group/group.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a suspect endpoint is tried again; doubled at each failure. */
#define RETRY_FIRST_US (50 * BC_US_PER_MS)
#define RETRY_MAX_US (800 * BC_US_PER_MS)
/* Samples closer together than this replace each other, so that the ring spans enough time. */
#define SAMPLE_SPACING_US (40 * BC_US_PER_MS)
/* An answer not older than this shows that an endpoint lives although a connection broke. */
#define ANSWERED_LATELY_US (150 * BC_US_PER_MS)
/* A leader that has not applied its log is asked again after this. */
#define CATCH_UP_CHECK_US (40 * BC_US_PER_MS)
/* One answer moves the mean by this part, so that a single slow one does not turn reads away. */
#define LATENCY_WEIGHT 8U
/* A copy that lacked a position is passed over this long at first, doubled each time. */
#define BEHIND_FIRST_US (20 * BC_US_PER_MS)
/* 16 times the first delay, about the lag at which a copy is of little use. */
#define BEHIND_DOUBLED_MAX 4U

APR_RING_HEAD(grp_group_ring, grp_group);

struct grp_state {
	struct bc_ctx *ctx;
	struct grp_ops ops;
	void *data;
	apr_pool_t *pool;
	apr_hash_t *groups; /* name -> struct grp_group */
	struct grp_group_ring ring;
	apr_hash_t *endpoints; /* id -> struct grp_endpoint */
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
};

/* Creates an empty state for a proxy in this failure domain. */
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

/* Frees groups and endpoints. NULL is allowed. */
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

/* The group of this name, or NULL. */
struct grp_group *grp_find(const struct grp_state *state, const char *name)
{
	return apr_hash_get(state->groups, name, APR_HASH_KEY_STRING);
}

/* The first of the groups known, also of those that left the configuration; or NULL. */
struct grp_group *grp_group_first(const struct grp_state *state)
{
	return APR_RING_EMPTY(&state->ring, grp_group, entry) ? NULL : APR_RING_FIRST(&state->ring);
}

/* The group after this one, or NULL. */
struct grp_group *grp_group_next(const struct grp_state *state, const struct grp_group *group)
{
	struct grp_group *next = APR_RING_NEXT(group, entry);

	return next == APR_RING_SENTINEL(&state->ring, grp_group, entry) ? NULL : next;
}

static struct grp_group *group_get(struct grp_state *state, const char *name)
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
	struct grp_group *group = group_get(state, name);

	if (!group)
		return NULL;
	group->max_connections = max_connections;
	group->sync_replicas = sync_replicas;
	group->listed = true;
	return group;
}

/* Begins a new configuration. */
void grp_mark(struct grp_state *state)
{
	struct grp_group *group;

	for (group = grp_group_first(state); group; group = grp_group_next(state, group))
		group->listed = false;
}

/* Ends a new configuration. Groups without an entry stay known, since they may come back. */
void grp_sweep(struct grp_state *state)
{
	struct grp_group *group;

	for (group = grp_group_first(state); group; group = grp_group_next(state, group))
		if (!group->listed)
			group->max_connections = 0;
}

/* The group's first endpoint, or NULL. */
struct grp_endpoint *grp_first(const struct grp_group *group)
{
	return APR_RING_EMPTY(&group->endpoints, grp_endpoint, link)
		       ? NULL
		       : APR_RING_FIRST(&group->endpoints);
}

/* The endpoint after this one in its group, or NULL. */
struct grp_endpoint *grp_next(const struct grp_endpoint *endpoint)
{
	struct grp_endpoint *next = APR_RING_NEXT(endpoint, link);

	return next == APR_RING_SENTINEL(&endpoint->group->endpoints, grp_endpoint, link) ? NULL
											  : next;
}

/* The endpoint with this id, or NULL. */
struct grp_endpoint *grp_endpoint_find(const struct grp_state *state, const char *id)
{
	return apr_hash_get(state->endpoints, id, APR_HASH_KEY_STRING);
}

static struct grp_former *former_find(struct grp_group *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < GRP_FORMERS; i++)
		if (strcmp(group->formers[i].id, id) == 0)
			return &group->formers[i];
	return NULL;
}

/*
 * Notes who leads now; the one before has led in an older term. A former leader that was cut off
 * reports itself as the leader until it hears of its successor, so its report changes nothing here.
 */
static void note_leader(struct grp_group *group, const char *id)
{
	struct grp_former *former = &group->formers[group->next_former];

	if (strcmp(group->last_leader, id) == 0 || former_find(group, id))
		return;
	if (group->last_leader[0]) {
		memcpy(former->id, group->last_leader, sizeof(former->id));
		former->term = group->lead_term;
		if (group->last_deposed && group->deposed_term > former->term)
			former->term = group->deposed_term;
		group->next_former = (group->next_former + 1) % GRP_FORMERS;
		group->lead_term++;
	}
	snprintf(group->last_leader, sizeof(group->last_leader), "%s", id);
	if (group->lead_term < group->term)
		group->lead_term = group->term;
}

/* Whether the endpoint's log may hold what was rolled back when it was replaced as the leader. */
bool grp_is_outdated(const struct grp_group *group, const char *id, uint64_t known_term)
{
	uint32_t i;

	/* An endpoint that has lost the lead has a successor, even if nobody has told of it here.
	 */
	if (group->last_deposed && strcmp(group->last_leader, id) == 0 &&
	    (!group->deposed_term || known_term <= group->deposed_term))
		return true;
	for (i = 0; i < GRP_FORMERS; i++)
		if (strcmp(group->formers[i].id, id) == 0 && known_term <= group->formers[i].term)
			return true;
	return false;
}

/* New evidence of a leader ends all older evidence: there is one leader at a time. */
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
		leader->check_us = 0;
		leader->refused_lead = false;
		note_leader(group, leader->info.id);
		group->deposed = false;
		group->last_deposed = false;
	}
	group->reach_us = 0;
	state->ops.leader_changed(state->data, group, now_us);
}

/* The endpoint does not lead any more; nobody is known to until new evidence comes. */
static void no_leader(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
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

/* Keeps the endpoint's memory until grp_endpoint_unuse(). */
void grp_endpoint_use(struct grp_endpoint *endpoint)
{
	endpoint->users++;
}

/* Ends a use; a removed endpoint without users is freed. */
void grp_endpoint_unuse(struct grp_endpoint *endpoint)
{
	if (--endpoint->users == 0 && endpoint->removed)
		endpoint_free(endpoint);
}

/* Forgets an endpoint that discovery does not list any more. */
void grp_endpoint_remove(struct grp_state *state, const char *id, uint64_t now_us)
{
	struct grp_endpoint *endpoint = grp_endpoint_find(state, id);

	if (!endpoint)
		return;
	apr_hash_set(state->endpoints, endpoint->info.id, APR_HASH_KEY_STRING, NULL);
	endpoint->removed = true;
	bc_log(state->ctx, BC_LOG_INFO, "endpoint_removed", "{s:s,s:s}", "group",
	       endpoint->group->name, "endpoint", id);
	endpoint->users++;
	no_leader(state, endpoint, "endpoint_removed", now_us);
	state->ops.endpoint_gone(state->data, endpoint, now_us);
	grp_endpoint_unuse(endpoint);
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
	struct grp_group *group = group_get(state, info->group);
	struct grp_endpoint *endpoint = calloc(1, sizeof(*endpoint));
	uint32_t index = group ? free_index(group) : GRP_ENDPOINTS_MAX;

	if (!endpoint || index == GRP_ENDPOINTS_MAX) {
		bc_log(state->ctx, BC_LOG_ERROR, "endpoint_ignored", "{s:s,s:s}", "group",
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
	       a->born_ms == b->born_ms;
}

/* Takes over what discovery reports of an endpoint. */
void grp_endpoint_set(struct grp_state *state, const struct grp_info *info, uint64_t now_us)
{
	struct grp_endpoint *endpoint = grp_endpoint_find(state, info->id);
	bool added = false;
	bool claimed;
	bool leaving;

	if (endpoint && !same_instance(&endpoint->info, info)) {
		grp_endpoint_remove(state, info->id, now_us);
		endpoint = NULL;
	}
	if (!endpoint) {
		endpoint = endpoint_add(state, info);
		if (!endpoint)
			return;
		added = true;
		bc_log(state->ctx, BC_LOG_INFO, "endpoint_added", "{s:s,s:s,s:s,s:s,s:b,s:b}",
		       "group", info->group, "endpoint", info->id, "address", info->address,
		       "domain", info->domain, "leads", info->claims_lead, "leaving",
		       info->leaving);
	}
	claimed = !added && endpoint->info.claims_lead;
	leaving = !added && endpoint->info.leaving;
	endpoint->info = *info;
	if (added)
		state->ops.endpoint_added(state->data, endpoint);
	if (info->claims_lead && !claimed)
		set_leader(state, endpoint->group, endpoint, "reported", now_us);
	else if (!info->claims_lead && claimed)
		no_leader(state, endpoint, "reported", now_us);
	if (info->leaving && !leaving) {
		bc_log(state->ctx, BC_LOG_INFO, "endpoint_leaving", "{s:s,s:s}", "group",
		       info->group, "endpoint", info->id);
		state->ops.endpoint_gone(state->data, endpoint, now_us);
	}
}

/* A statement has been sent. */
void grp_sent(struct grp_endpoint *endpoint, uint64_t now_us)
{
	if (endpoint->inflight++ == 0 || !endpoint->waiting_us)
		endpoint->waiting_us = now_us;
}

/* The endpoint answers again, or still. */
static void alive(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us)
{
	endpoint->answered_us = now_us;
	endpoint->failures = 0;
	if (!endpoint->suspect)
		return;
	endpoint->suspect = false;
	bc_log(state->ctx, BC_LOG_INFO, "endpoint_regained", "{s:s,s:s,s:I}", "group",
	       endpoint->group->name, "endpoint", endpoint->info.id, "after_ms",
	       (json_int_t)((now_us - endpoint->suspect_us) / BC_US_PER_MS));
}

static void measured(struct grp_endpoint *endpoint, uint64_t latency_us, uint64_t now_us)
{
	endpoint->latency_us =
		(endpoint->latency_us * (LATENCY_WEIGHT - 1) + latency_us) / LATENCY_WEIGHT;
	endpoint->latency_at_us = now_us;
	endpoint->behind_count = 0;
}

/* A whole answer has come. `ran`: the latency is that of work done. */
void grp_answered(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t latency_us,
		  bool ran, uint64_t now_us)
{
	if (endpoint->inflight)
		endpoint->inflight--;
	endpoint->waiting_us = endpoint->inflight ? now_us : 0;
	alive(state, endpoint, now_us);
	if (ran)
		measured(endpoint, latency_us, now_us);
}

/* A statement has been sent to another proxy. */
void grp_sent_via(struct grp_endpoint *endpoint)
{
	endpoint->inflight_via++;
}

/* Another proxy has answered, or is not waited for any more. */
void grp_answered_via(struct grp_endpoint *endpoint, uint64_t latency_us, bool ran, uint64_t now_us)
{
	if (endpoint->inflight_via)
		endpoint->inflight_via--;
	if (ran)
		measured(endpoint, latency_us, now_us);
}

/* A connection could not be opened, broke, or stayed silent. */
void grp_failed(struct grp_state *state, struct grp_endpoint *endpoint, const char *reason,
		uint64_t now_us)
{
	uint64_t delay_us = RETRY_FIRST_US << (endpoint->failures < 4 ? endpoint->failures : 4);

	endpoint->failures++;
	endpoint->waiting_us = endpoint->inflight ? now_us : 0;
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
 * An open connection broke. An endpoint that has just answered on another one is not lost: if it
 * has crashed, the next attempt to connect is refused.
 */
void grp_connection_broke(struct grp_state *state, struct grp_endpoint *endpoint,
			  const char *reason, uint64_t now_us)
{
	if (now_us - endpoint->answered_us >= ANSWERED_LATELY_US) {
		grp_failed(state, endpoint, reason, now_us);
		return;
	}
	bc_count(state->ctx, "bulrushcleat_connections_broken_total", NULL, 1);
	bc_log(state->ctx, BC_LOG_INFO, "connection_broke", "{s:s,s:s,s:s}", "group",
	       endpoint->group->name, "endpoint", endpoint->info.id, "reason", reason);
}

/* Notes a position that a copy has received, or that was acknowledged. */
void grp_kept(struct grp_group *group, struct bc_position position)
{
	if (bc_position_compare(position, group->kept) > 0)
		group->kept = position;
}

/* Notes the position that the endpoint reported. */
void grp_reported(struct grp_endpoint *endpoint, struct bc_position position, uint64_t now_us)
{
	if (bc_position_compare(position, endpoint->seen) >= 0 || position.term)
		endpoint->seen = position;
	endpoint->seen_us = now_us;
	if (endpoint != endpoint->group->leader)
		grp_kept(endpoint->group, position);
	if (position.term > endpoint->group->term)
		endpoint->group->term = position.term;
}

static void sample_add(struct grp_group *group, struct bc_position position, uint64_t sent_us)
{
	/* The ring is in the order of time, and a leader's positions only grow. */
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

/* Another proxy knows a position of the leader at sent_us or later. */
void grp_sample_told(struct grp_group *group, struct bc_position position, uint64_t sent_us)
{
	if (position.term < group->term)
		return;
	group->term = position.term;
	/* The first term that is known is that of the leader that discovery has reported. */
	if (!group->lead_term && group->last_leader[0])
		group->lead_term = position.term;
	sample_add(group, position, sent_us);
}

/* The endpoint has proved that it led after sent_us. */
void grp_leads(struct grp_state *state, struct grp_endpoint *endpoint, struct bc_position position,
	       uint64_t sent_us, uint64_t now_us)
{
	struct grp_group *group = endpoint->group;
	struct grp_former *former;

	if (position.term < group->term)
		return;
	group->term = position.term;
	former = former_find(group, endpoint->info.id);
	if (former && position.term > former->term)
		former->id[0] = '\0';
	note_leader(group, endpoint->info.id);
	sample_add(group, position, sent_us);
	if (!endpoint->removed)
		set_leader(state, group, endpoint, "proved", now_us);
	if (group->leader == endpoint)
		group->lead_term = position.term;
}

/* Takes another proxy's word for the leader of a newer term. */
void grp_hint_leader(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t term,
		     uint64_t now_us)
{
	struct grp_group *group = endpoint->group;

	if (endpoint->removed || term < group->term || group->leader == endpoint)
		return;
	/* Others may not know yet that it was deposed. */
	if (endpoint->refused_lead && term <= endpoint->refused_term)
		return;
	if (term == group->term && group->leader && !group->leader->suspect)
		return;
	group->term = term;
	set_leader(state, group, endpoint, "told", now_us);
}

/* The endpoint has said that it does not lead. */
void grp_refused_lead(struct grp_state *state, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct grp_group *group = endpoint->group;

	endpoint->refused_lead = true;
	endpoint->refused_term = group->term;
	if (group->leader == endpoint) {
		group->deposed = true;
		group->last_deposed = strcmp(group->last_leader, endpoint->info.id) == 0;
		group->deposed_term = group->term;
	}
	no_leader(state, endpoint, "refused", now_us);
}

/* Another proxy has had an answer from the leader: statements may go through that one. */
void grp_leader_reached_by_peer(struct grp_group *group, uint64_t until_us)
{
	group->reach_us = until_us;
}

/* The leader has told whether it has applied all that its log holds. */
void grp_caught_up(struct grp_state *state, struct grp_endpoint *endpoint, bool caught_up,
		   uint64_t now_us)
{
	if (!caught_up)
		endpoint->check_us = now_us + CATCH_UP_CHECK_US;
	if (caught_up != endpoint->caught_up)
		bc_log(state->ctx, BC_LOG_INFO, "leader_caught_up", "{s:s,s:s,s:b}", "group",
		       endpoint->group->name, "endpoint", endpoint->info.id, "caught_up",
		       caught_up);
	endpoint->caught_up = caught_up;
}

/* The endpoint's log lacks a position that a read needs. */
void grp_behind(struct grp_endpoint *endpoint, uint64_t now_us)
{
	endpoint->behind_until_us = now_us + (BEHIND_FIRST_US << endpoint->behind_count);
	if (endpoint->behind_count < BEHIND_DOUBLED_MAX)
		endpoint->behind_count++;
}

/* The newest sample; false if there is none. */
bool grp_newest_sample(const struct grp_group *group, struct grp_sample *out)
{
	if (!group->sample_count)
		return false;
	*out = group->samples[group->sample_last];
	return true;
}

/* The endpoint to read from, seen from this proxy's failure domain. */
struct grp_choice grp_choose_read(struct grp_state *state, struct grp_group *group,
				  const struct grp_want *want, uint64_t now_us)
{
	return grp_choose_read_from(group, want, state->domain, state->region, now_us);
}
