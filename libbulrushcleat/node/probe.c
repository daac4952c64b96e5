#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

static struct probe *probe_get(struct nod_node *node, const char *endpoint)
{
	struct probe *probe = apr_hash_get(node->probes, endpoint, APR_HASH_KEY_STRING);

	if (probe)
		return probe;
	probe = apr_pcalloc(node->pool, sizeof(*probe));
	snprintf(probe->endpoint, sizeof(probe->endpoint), "%s", endpoint);
	probe->databases = apr_array_make(node->pool, 4, sizeof(const char *));
	apr_hash_set(node->probes, probe->endpoint, APR_HASH_KEY_STRING, probe);
	return probe;
}

static void probe_activate(struct nod_node *node, struct probe *probe)
{
	if (probe->active)
		return;
	probe->active = true;
	probe->next_us = 0;
	probe->next_active = node->active_probes;
	node->active_probes = probe;
}

/* Extends the time for which a group's endpoints are probed, after a request for the group. */
void nod_probe_extend(struct nod_node *node, const char *database)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	struct database_state *state = nod_database_get(node, database);
	size_t count;
	size_t i;

	if (state->probe_until_us > node->now_us + NOD_PROBE_AFTER_REQUEST_US / 2)
		return;
	state->probe_until_us = node->now_us + NOD_PROBE_AFTER_REQUEST_US;
	count = rte_group_members(node->route, database, members);
	for (i = 0; i < count; i++) {
		struct probe *probe = probe_get(node, members[i]->id);

		probe->served_until_us = state->probe_until_us;
		probe_activate(node, probe);
	}
}

/* Passes the groups on to the other modules after their document has changed. */
void nod_probe_groups_changed(struct nod_node *node)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	const char *ids[RTE_GROUP_ENDPOINTS_MAX];
	size_t i;
	size_t k;

	for (i = 0; i < rte_endpoint_count(node->route); i++) {
		const struct rte_endpoint *endpoint = rte_endpoint_at(node->route, i);

		apr_array_clear(probe_get(node, endpoint->id)->databases);
		pool_endpoint_set(node->connections, endpoint->id, endpoint->connections);
	}
	for (i = 0; i < rte_group_count(node->route); i++) {
		const char *database =
			nod_database_get(node, rte_group_at(node->route, i))->database;
		size_t count = rte_group_members(node->route, database, members);

		for (k = 0; k < count; k++) {
			ids[k] = members[k]->id;
			APR_ARRAY_PUSH(probe_get(node, ids[k])->databases, const char *) = database;
		}
		quo_group_set(node->quorum, database, ids, count);
		fov_group_set(node->failover, database, ids, count);
	}
	nod_promoter_ranks_update(node);
}

/*
 * Determines for which groups this proxy is a promoter, and its rank there. Called after a change
 * of members or groups; computes one rank for each group.
 */
void nod_promoter_ranks_update(struct nod_node *node)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	size_t groups = rte_group_count(node->route);
	size_t i;
	size_t k;

	for (i = 0; i < rte_endpoint_count(node->route); i++)
		probe_get(node, rte_endpoint_at(node->route, i)->id)->promoter = false;
	for (i = 0; i < groups; i++) {
		const char *database = rte_group_at(node->route, i);
		char duty[BC_ID_BYTES + 16];
		int32_t rank;
		size_t count;

		snprintf(duty, sizeof(duty), "promote/%s", database);
		rank = mem_duty_rank(node->members, duty, NULL);
		fov_rank_set(node->failover, database, rank == MEM_NO_RANK ? FOV_NO_RANK : rank);
		if (rank == MEM_NO_RANK)
			continue;
		count = rte_group_members(node->route, database, members);
		for (k = 0; k < count; k++) {
			struct probe *probe = probe_get(node, members[k]->id);

			probe->promoter = true;
			probe_activate(node, probe);
		}
	}
}

/* Records that an endpoint VM is leaving or no longer is, whichever source reports it. */
void nod_leaving_set(struct nod_node *node, const char *endpoint, bool leaving)
{
	const struct rte_endpoint *known = rte_endpoint_find(node->route, endpoint);

	if (!known || known->leaving == leaving)
		return;
	bc_log(node->ctx, BC_LOG_INFO, "endpoint_leaving", "{s:s,s:b}", "endpoint", endpoint,
	       "leaving", (int)leaving);
	rte_leaving_set(node->route, endpoint, leaving);
	fov_leaving_set(node->failover, endpoint, leaving);
}

/*
 * Called after a group's state was updated. If its primary is newer than the one last seen,
 * announces it to peers and retries the jobs that wait for the old one.
 */
void nod_primary_announce_if_newer(struct nod_node *node, const char *database)
{
	struct database_state *state = nod_database_get(node, database);
	char primary[BC_ID_BYTES];
	uint64_t term;
	struct primary_announcement *announcement;

	if (!rte_primary_get(node->route, database, primary, &term) || term <= state->term)
		return;
	state->term = term;
	announcement = &node->announcements[node->announcement_cursor++ % NOD_ANNOUNCEMENTS_MAX];
	snprintf(announcement->database, sizeof(announcement->database), "%s", database);
	announcement->sends_left = NOD_ANNOUNCEMENT_SENDS;
	bc_log(node->ctx, BC_LOG_INFO, "primary_known", "{s:s,s:s,s:I}", "database", database,
	       "primary", primary, "term", (json_int_t)term);
	nod_jobs_new_primary(node, database);
}

static void apply_status_row(struct nod_node *node, const struct pending_call *pending,
			     const char *database, const json_t *json)
{
	struct bc_position none = {0, 0};
	struct rte_row row;

	if (rte_row_parse(node->ctx, json, &row) != BC_OK) {
		bc_log(node->ctx, BC_LOG_WARN, "bad_status_row", "{s:s,s:s,s:s}", "endpoint",
		       pending->endpoint, "database", database, "error",
		       bc_last_message(node->ctx));
		return;
	}
	rte_report(node->route, pending->endpoint, database, &row, pending->sent_us, node->now_us);
	quo_report(node->quorum, database, pending->endpoint, &row, none, pending->sent_us,
		   node->now_us);
	fov_report(node->failover, database, pending->endpoint, &row, pending->sent_us,
		   node->now_us);
	nod_primary_announce_if_newer(node, database);
}

static void probe_failed(struct nod_node *node, const struct pending_call *pending,
			 struct probe *probe)
{
	int i;

	rte_unreachable(node->route, probe->endpoint, node->now_us);
	for (i = 0; i < probe->databases->nelts; i++)
		fov_report(node->failover, APR_ARRAY_IDX(probe->databases, i, const char *),
			   probe->endpoint, NULL, pending->sent_us, node->now_us);
	nod_jobs_endpoint_lost(node, probe->endpoint);
	bc_counter_add(node->ctx, "bulrushcleat_probe_failures_total", NULL, 1);
}

static void on_probe_answer(struct nod_node *node, const struct pending_call *pending,
			    const struct nod_answer *answer)
{
	struct probe *probe = probe_get(node, pending->endpoint);
	json_t *body = NULL;
	const char *database;
	json_t *row;

	probe->outstanding = false;
	if (answer->result == NOD_CALL_ANSWERED && answer->status == 200)
		body = json_loads(answer->body, 0, NULL);
	if (!body) {
		probe_failed(node, pending, probe);
		return;
	}
	json_object_foreach(json_object_get(body, "databases"), database, row)
	{
		apply_status_row(node, pending, database, row);
	}
	if (json_is_true(json_object_get(body, "leaving")))
		nod_leaving_set(node, probe->endpoint, true);
	json_decref(body);
}

static void probe_send(struct nod_node *node, struct probe *probe)
{
	struct pending_call pending = {.destination = NOD_TO_ENDPOINT, .done = on_probe_answer};

	if (!rte_endpoint_find(node->route, probe->endpoint))
		return;
	probe->next_us = node->now_us + NOD_PROBE_INTERVAL_US;
	if (probe->outstanding)
		return;
	probe->outstanding = true;
	nod_pending_endpoint(&pending, probe->endpoint, NULL);
	nod_call_send(node, &pending, "GET", "/v1/status", NULL, NULL, NOD_PROBE_TIMEOUT_US);
}

/* Sends the probes that are due and stops probing endpoints that no longer need it. */
void nod_probe_tick(struct nod_node *node)
{
	struct probe **link = &node->active_probes;

	while (*link) {
		struct probe *probe = *link;

		if (!probe->promoter && probe->served_until_us <= node->now_us) {
			probe->active = false;
			*link = probe->next_active;
			continue;
		}
		if (probe->next_us <= node->now_us)
			probe_send(node, probe);
		link = &probe->next_active;
	}
}

static void on_failover_answer(struct nod_node *node, const struct pending_call *pending,
			       const struct nod_answer *answer)
{
	struct rte_row row;
	json_t *body = NULL;
	bool ok = false;
	bool parsed = false;

	if (answer->result == NOD_CALL_ANSWERED)
		body = json_loads(answer->body, 0, NULL);
	if (body)
		parsed = rte_row_parse(node->ctx, body, &row) == BC_OK;
	if (parsed && answer->status == 200)
		ok = !json_is_false(json_object_get(body, "granted")) &&
		     !json_is_false(json_object_get(body, "has"));
	if (parsed)
		rte_report(node->route, pending->endpoint, pending->database, &row,
			   pending->sent_us, node->now_us);
	fov_answer(node->failover, pending->context_id, ok, parsed ? &row : NULL, node->now_us);
	if (parsed)
		nod_primary_announce_if_newer(node, pending->database);
	json_decref(body);
}

static json_t *failover_call_body(struct nod_node *node, const struct fov_call *call)
{
	const struct rte_endpoint *primary;

	switch (call->order) {
	case FOV_FENCE:
	case FOV_PROMOTE:
		return json_pack("{s:I,s:s}", "term", (json_int_t)call->term, "candidate",
				 node->candidate);
	case FOV_FOLLOW:
		primary = rte_endpoint_find(node->route, call->primary);
		return json_pack("{s:I,s:s,s:s}", "term", (json_int_t)call->term, "primary",
				 call->primary, "address", primary ? primary->address : "");
	case FOV_STEP_DOWN:
		return json_pack("{s:I}", "term", (json_int_t)call->term);
	case FOV_POSITION:
		break;
	}
	return NULL;
}

static void on_call(void *data, const struct fov_call *call)
{
	static const char *const verbs[] = {"fence", "promote", "follow", "step_down", "position"};
	struct nod_node *node = data;
	struct pending_call pending = {
		.destination = NOD_TO_ENDPOINT, .done = on_failover_answer, .context_id = call->id};
	json_t *body = failover_call_body(node, call);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	uint64_t timeout_us = FOV_CALL_TIMEOUT_US;
	char path[256];

	nod_pending_endpoint(&pending, call->endpoint, call->database);
	pending.position = call->at_least;
	if (call->order == FOV_POSITION) {
		snprintf(path, sizeof(path),
			 "/v1/databases/%s/position?term=%llu&at_least=%llu&wait_ms=%u",
			 call->database, (unsigned long long)call->at_least.term,
			 (unsigned long long)call->at_least.pos, call->wait_ms);
		timeout_us += call->wait_ms * BC_US_PER_MS;
	} else {
		snprintf(path, sizeof(path), "/v1/databases/%s/%s", call->database,
			 verbs[call->order]);
	}
	bc_log(node->ctx, BC_LOG_INFO, "failover_order", "{s:s,s:s,s:s,s:I}", "order",
	       verbs[call->order], "database", call->database, "endpoint", call->endpoint, "term",
	       (json_int_t)call->term);
	nod_call_send(node, &pending, text ? "POST" : "GET", path, text, NULL, timeout_us);
	free(text);
	json_decref(body);
}

static void on_promoted(void *data, const char *database, uint64_t term, const char *primary,
			uint64_t gap_us)
{
	struct nod_node *node = data;

	(void)gap_us;
	rte_primary_learn(node->route, database, term, primary);
	nod_primary_announce_if_newer(node, database);
}

const struct fov_ops nod_failover_ops = {on_call, on_promoted};
