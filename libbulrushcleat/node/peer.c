#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void fill_versions(struct nod_node *node, struct wire_message *message)
{
	int i;

	for (i = 0; i < DOC_COUNT; i++)
		message->versions[i] = node->documents[i].version;
}

static void add_hint(struct nod_node *node, struct wire_message *message, const char *database,
		     bool unreachable)
{
	struct wire_hint *hint = &message->hints[message->hint_count];
	uint64_t term;

	if (message->hint_count == WIRE_HINTS_MAX ||
	    !rte_primary_get(node->route, database, hint->primary, &term))
		return;
	snprintf(hint->database, sizeof(hint->database), "%s", database);
	hint->term = term;
	hint->unreachable = unreachable;
	message->hint_count++;
}

static void add_hints(struct nod_node *node, struct wire_message *message)
{
	struct probe *probe;
	uint32_t i;
	int k;

	for (i = 0; i < NOD_ANNOUNCEMENTS_MAX; i++) {
		if (!node->announcements[i].sends_left)
			continue;
		node->announcements[i].sends_left--;
		add_hint(node, message, node->announcements[i].database, false);
	}
	for (probe = node->active_probes; probe; probe = probe->next_active)
		for (k = 0; k < probe->databases->nelts; k++) {
			const char *database = APR_ARRAY_IDX(probe->databases, k, const char *);
			char primary[BC_ID_BYTES];
			uint64_t term;

			if (rte_primary_get(node->route, database, primary, &term) &&
			    strcmp(primary, probe->endpoint) == 0 &&
			    fov_primary_silent(node->failover, database, node->now_us))
				add_hint(node, message, database, true);
		}
}

static void on_member_send(void *data, const char *id, const char *address,
			   const struct mem_message *member)
{
	struct nod_node *node = data;
	struct wire_message message = {.kind = WIRE_MEMBER};

	(void)id;
	message.member = *member;
	fill_versions(node, &message);
	add_hints(node, &message);
	node->callbacks.peers.send(node->callbacks.data, address, &message);
}

static void on_members_changed(void *data)
{
	((struct nod_node *)data)->members_changed = true;
}

const struct mem_ops nod_member_ops = {on_member_send, on_members_changed};

static void send_document(struct nod_node *node, const char *address, enum document document)
{
	struct wire_message message = {.kind = WIRE_PUSH};

	fill_versions(node, &message);
	message.document = document;
	message.version = node->documents[document].version;
	message.content = json_dumps(node->documents[document].value, JSON_COMPACT);
	if (message.content)
		node->callbacks.peers.send(node->callbacks.data, address, &message);
	wire_message_clear(&message);
}

/* Sends a document to a few random peers, which forward it if it is new to them. */
void nod_peer_push(struct nod_node *node, enum document document)
{
	const struct mem_update *peers[NOD_PUSH_FANOUT];
	size_t count = mem_sample(node->members, NOD_PUSH_FANOUT, peers);
	size_t i;

	for (i = 0; i < count; i++)
		send_document(node, peers[i]->address, document);
}

static void request_document(struct nod_node *node, const char *address, enum document document)
{
	struct wire_message message = {.kind = WIRE_PULL};

	if (node->now_us < node->last_pull_us[document] + NOD_PULL_INTERVAL_US &&
	    node->last_pull_us[document])
		return;
	node->last_pull_us[document] = node->now_us;
	fill_versions(node, &message);
	message.document = document;
	node->callbacks.peers.send(node->callbacks.data, address, &message);
}

static void record_silent_report(struct nod_node *node, const char *database, const char *peer)
{
	struct database_state *state = nod_database_get(node, database);
	struct silent_report *oldest = &state->silent_reports[0];
	uint32_t i;

	for (i = 0; i < NOD_SILENT_REPORTS_MAX; i++) {
		struct silent_report *report = &state->silent_reports[i];

		if (strcmp(report->peer, peer) == 0) {
			report->received_us = node->now_us;
			return;
		}
		if (report->received_us < oldest->received_us)
			oldest = report;
	}
	snprintf(oldest->peer, sizeof(oldest->peer), "%s", peer);
	oldest->received_us = node->now_us;
}

static void apply_hints(struct nod_node *node, const char *peer, const struct wire_message *message)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	uint32_t i;

	for (i = 0; i < message->hint_count; i++) {
		const struct wire_hint *hint = &message->hints[i];
		char primary[BC_ID_BYTES];
		uint64_t term = 0;

		if (!rte_group_members(node->route, hint->database, members))
			continue;
		rte_primary_learn(node->route, hint->database, hint->term, hint->primary);
		nod_primary_announce_if_newer(node, hint->database);
		if (hint->unreachable &&
		    rte_primary_get(node->route, hint->database, primary, &term) &&
		    term == hint->term)
			record_silent_report(node, hint->database, peer);
	}
}

static void receive_push(struct nod_node *node, const struct wire_message *message)
{
	json_t *value;

	if (message->document >= DOC_COUNT || !message->content ||
	    message->version <= node->documents[message->document].version)
		return;
	value = json_loads(message->content, 0, NULL);
	if (!value) {
		bc_log(node->ctx, BC_LOG_WARN, "bad_push", "{s:i}", "document",
		       (int)message->document);
		return;
	}
	nod_document_update(node, (enum document)message->document, message->version, value);
	json_decref(value);
}

/* Handles a message from an authenticated peer. */
void nod_peer_message(struct nod_node *node, const char *peer, const struct wire_message *message,
		      uint64_t now_us)
{
	const struct mem_update *member;
	int i;

	node->now_us = now_us;
	if (message->kind == WIRE_MEMBER)
		mem_receive(node->members, peer, &message->member, now_us);
	if (message->kind == WIRE_PUSH)
		receive_push(node, message);
	apply_hints(node, peer, message);
	member = mem_find(node->members, peer);
	if (!member)
		return;
	if (message->kind == WIRE_PULL && message->document < DOC_COUNT &&
	    node->documents[message->document].version)
		send_document(node, member->address, (enum document)message->document);
	for (i = 0; i < DOC_COUNT; i++)
		if (message->versions[i] > node->documents[i].version)
			request_document(node, member->address, (enum document)i);
}

/* For each primary that does not answer this proxy, counts the proxies that report the same. */
void nod_peer_count_silent_reports(struct nod_node *node)
{
	struct probe *probe;
	uint32_t i;
	int k;

	for (probe = node->active_probes; probe; probe = probe->next_active)
		for (k = 0; k < probe->databases->nelts; k++) {
			const char *database = APR_ARRAY_IDX(probe->databases, k, const char *);
			struct database_state *state;
			uint32_t silent = 1;

			if (!fov_primary_silent(node->failover, database, node->now_us)) {
				fov_peer_counts_set(node->failover, database, 0,
						    mem_live_count(node->members));
				continue;
			}
			state = nod_database_get(node, database);
			for (i = 0; i < NOD_SILENT_REPORTS_MAX; i++)
				if (state->silent_reports[i].received_us &&
				    node->now_us - state->silent_reports[i].received_us <
					    NOD_SILENT_REPORT_TTL_US)
					silent++;
			fov_peer_counts_set(node->failover, database, silent,
					    mem_live_count(node->members));
		}
}

/*
 * Contacts the seed addresses of the settings while no other member is known, so that a proxy can
 * join while the platform's list of VMs cannot be read.
 */
void nod_peer_contact_seeds(struct nod_node *node)
{
	struct wire_message message = {.kind = WIRE_MEMBER};
	uint32_t i;

	if (mem_count(node->members) > 1 || node->now_us < node->next_seed_contact_us)
		return;
	node->next_seed_contact_us = node->now_us + BC_US_PER_S;
	message.member.kind = MEM_PING;
	message.member.update_count = 1;
	message.member.updates[0] = *mem_find(node->members, node->settings.id);
	fill_versions(node, &message);
	for (i = 0; i < node->settings.seed_count; i++)
		if (strcmp(node->settings.seeds[i], node->settings.listen_peers) != 0)
			node->callbacks.peers.send(node->callbacks.data, node->settings.seeds[i],
						   &message);
}
