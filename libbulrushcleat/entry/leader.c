#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A proxy's report that it reaches a leader is valid this long; it is asked again within that. */
#define PEER_REACH_TTL_US (800 * BC_US_PER_MS)

/* A replica that does not answer in this time is down; it resumes replication when it starts. */
#define RESUME_TIMEOUT_US BC_US_PER_S

static void on_read_claim(void *data, const char *group)
{
	struct ent_entry *entry = data;

	entry->ops.read_claim(entry->ops.data, group);
}

static void on_claim(void *data, const char *group, uint64_t revision)
{
	struct ent_entry *entry = data;
	json_t *spec =
		json_pack("{s:s,s:I,s:I}", "holder", entry->settings.id, "incarnation",
			  (json_int_t)entry->settings.incarnation, "after", (json_int_t)revision);

	entry->ops.write_claim(entry->ops.data, group, revision, spec);
	json_decref(spec);
}

/* Converts and logs the status in an endpoint's answer; `request` names the request in the log. */
static struct tko_status read_status(struct ent_entry *entry, const char *request,
				     const char *endpoint_id, enum sql_code code,
				     const struct sql_result *result)
{
	struct tko_status status = {0};

	if (code == SQL_OK && result && result->has_status) {
		status.answered = true;
		status.leads = result->leads;
		status.term = result->status_term;
		status.received = result->received;
	}
	bc_log(entry->ctx, BC_LOG_INFO, "endpoint_status", "{s:s,s:s,s:s,s:b,s:I,s:I}", "endpoint",
	       endpoint_id, "request", request, "code", sql_code_name(code), "leads", status.leads,
	       "term", (json_int_t)status.received.term, "received",
	       (json_int_t)status.received.pos);
	return status;
}

static void on_status(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, endpoint_id);
	struct tko_status status = read_status(entry, "status", endpoint_id, code, result);

	if (endpoint && status.answered && !status.leads)
		grp_replicated(endpoint->group, status.received);
	if (endpoint)
		tko_status_received(entry->takeover, endpoint->group->name, endpoint_id, &status,
				    now_us);
}

static void on_paused(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, endpoint_id);
	struct tko_status status = read_status(entry, "pause", endpoint_id, code, result);

	if (endpoint)
		tko_paused(entry->takeover, endpoint->group->name, endpoint_id, &status, now_us);
}

static void on_resumed(void *data, const char *endpoint_id, enum sql_code code,
		       const struct sql_result *result, uint64_t now_us)
{
	(void)now_us;
	read_status(data, "resume", endpoint_id, code, result);
}

static void on_pause(void *data, struct grp_endpoint *endpoint, uint64_t term, uint64_t timeout_us,
		     uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_replication_pause(entry->statements, endpoint, term, timeout_us, on_paused, entry,
			      now_us);
}

static void on_resume(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_replication_resume(entry->statements, endpoint, RESUME_TIMEOUT_US, on_resumed, entry,
			       now_us);
}

static void on_query_status(void *data, struct grp_endpoint *endpoint, uint64_t timeout_us,
			    uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_status_request(entry->statements, endpoint, timeout_us, on_status, entry, now_us);
}

static void on_promote(void *data, const char *group, const char *endpoint_id, uint64_t token)
{
	struct ent_entry *entry = data;

	bc_counter_add(entry->ctx, "bulrushcleat_promotions_ordered_total", NULL, 1);
	entry->ops.promote(entry->ops.data, group, endpoint_id, token);
}

static int32_t on_rank(void *data, const char *group)
{
	struct ent_entry *entry = data;
	const struct grp_group *known = grp_find(entry->groups, group);

	/* Only proxies that connect to the leader can see whether it answers. */
	if (known && known->leader)
		return ent_relay_rank(entry, known->leader);
	return mem_duty_rank(entry->members, group, NULL);
}

static void on_ask_peers(void *data, struct grp_group *group)
{
	ent_peer_query_leader(data, group);
}

static bool on_is_leader_gone(void *data, struct grp_group *group)
{
	struct ent_entry *entry = data;

	return !group->leader || ent_removal_is_pending(entry, group->leader->info.id);
}

static bool on_may_take_over(void *data, struct grp_group *group)
{
	struct ent_entry *entry = data;

	/* A deposed leader has a successor, which other proxies may know. */
	if (!group->leader && !group->deposed)
		return true;
	if (group->leader && ent_removal_is_pending(entry, group->leader->info.id))
		return true;
	return ent_majority_replied(entry, group);
}

/* Creates this proxy's takeover state. */
struct tko_state *ent_takeover_create(struct ent_entry *entry)
{
	static const struct tko_ops ops = {.read_claim = on_read_claim,
					   .claim = on_claim,
					   .query_status = on_query_status,
					   .pause = on_pause,
					   .resume = on_resume,
					   .promote = on_promote,
					   .rank = on_rank,
					   .ask_peers = on_ask_peers,
					   .is_leader_gone = on_is_leader_gone,
					   .may_take_over = on_may_take_over};

	return tko_create(entry->ctx, entry->timers, entry->groups, &ops, entry);
}

/* Starts a planned takeover if the leader is leaving. */
void ent_planned_takeover_check(struct ent_entry *entry, struct grp_group *group, uint64_t now_us)
{
	if (group->leader && group->leader->info.leaving)
		tko_leader_leaving(entry->takeover, group, now_us);
}

/* Returns the poll of the other proxies about the group's leader. NULL when out of memory. */
struct ent_leader_poll *ent_leader_poll(struct ent_entry *entry, const struct grp_group *group)
{
	struct ent_leader_poll *poll =
		apr_hash_get(entry->leader_polls, group->name, APR_HASH_KEY_STRING);

	if (poll)
		return poll;
	poll = calloc(1, sizeof(*poll));
	if (!poll)
		return NULL;
	snprintf(poll->group, sizeof(poll->group), "%s", group->name);
	apr_hash_set(entry->leader_polls, poll->group, APR_HASH_KEY_STRING, poll);
	return poll;
}

/* Records that the group's leader, which does not answer this proxy, answers another one. */
void ent_leader_reached_by_peer(struct ent_entry *entry, const char *proxy, struct grp_group *group,
				uint64_t now_us)
{
	struct ent_leader_poll *poll = ent_leader_poll(entry, group);

	if (!poll)
		return;
	/* One proxy is kept while its report is valid, so that statements stay on one path. */
	if (now_us >= poll->reached_until_us)
		snprintf(poll->reaching_proxy, sizeof(poll->reaching_proxy), "%s", proxy);
	if (strcmp(poll->reaching_proxy, proxy) != 0)
		return;
	poll->reached_until_us = now_us + PEER_REACH_TTL_US;
	grp_leader_reached_by_peer(group, poll->reached_until_us);
}

/*
 * Returns whether more than half of the polled proxies, this one included, have replied: then this
 * proxy is on the majority's side of a partition.
 */
bool ent_majority_replied(struct ent_entry *entry, const struct grp_group *group)
{
	const struct ent_leader_poll *poll = ent_leader_poll(entry, group);

	return poll && 2 * (poll->replied + 1) > poll->asked + 1;
}

/* Frees the polls. */
void ent_leader_polls_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->leader_polls))) {
		struct ent_leader_poll *poll = apr_hash_this_val(it);

		apr_hash_set(entry->leader_polls, poll->group, APR_HASH_KEY_STRING, NULL);
		free(poll);
	}
}
