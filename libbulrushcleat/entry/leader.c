#include "entry/entry_internal.h"

#include <stdio.h>
#include <string.h>

static void on_look(void *data, const char *group)
{
	struct ent_entry *entry = data;

	entry->ports.look(entry->ports.data, group);
}

static void on_claim(void *data, const char *group, uint64_t revision)
{
	struct ent_entry *entry = data;
	json_t *spec =
		json_pack("{s:s,s:I,s:I}", "holder", entry->settings.id, "incarnation",
			  (json_int_t)entry->settings.incarnation, "after", (json_int_t)revision);

	entry->ports.claim(entry->ports.data, group, revision, spec);
	json_decref(spec);
}

static void on_status(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, endpoint_id);
	struct tko_status status = {0};

	if (!endpoint)
		return;
	if (code == SQL_OK && result && result->has_status) {
		status.answered = true;
		status.leads = result->leads;
		status.term = result->status_term;
		status.received = result->received;
	}
	bc_log(entry->ctx, BC_LOG_INFO, "endpoint_status", "{s:s,s:s,s:b,s:I,s:I}", "endpoint",
	       endpoint_id, "code", sql_code_name(code), "leads", status.leads, "term",
	       (json_int_t)status.received.term, "received", (json_int_t)status.received.pos);
	tko_surveyed(entry->takeover, endpoint->group->name, endpoint_id, &status, now_us);
}

static void on_survey(void *data, struct grp_endpoint *endpoint, uint64_t timeout_us,
		      uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_status_ask(entry->statements, endpoint, timeout_us, on_status, entry, now_us);
}

static void on_order(void *data, const char *group, const char *endpoint_id, uint64_t token)
{
	struct ent_entry *entry = data;

	bc_count(entry->ctx, "bulrushcleat_promotions_ordered_total", NULL, 1);
	entry->ports.order(entry->ports.data, group, endpoint_id, token);
}

static int32_t on_rank(void *data, const char *group)
{
	struct ent_entry *entry = data;
	const struct grp_group *known = grp_find(entry->groups, group);

	/* Only those that connect to the leader see whether it answers. */
	if (known && known->leader)
		return ent_holder_rank(entry, known->leader);
	return mem_duty_rank(entry->members, group, NULL);
}

static void on_ask_peers(void *data, struct grp_group *group)
{
	ent_peer_ask_leader(data, group);
}

static bool on_may_act(void *data, struct grp_group *group)
{
	struct ent_entry *entry = data;

	if (!group->leader || ent_has_vanished(entry, group->leader->info.id))
		return true;
	return ent_peers_mostly_answer(entry, group);
}

/* Creates the takeover of this proxy. */
struct tko_state *ent_takeover_create(struct ent_entry *entry)
{
	static const struct tko_ops ops = {on_look, on_claim,	  on_survey, on_order,
					   on_rank, on_ask_peers, on_may_act};

	return tko_create(entry->ctx, entry->timers, entry->groups, &ops, entry);
}

/* Begins a planned takeover if the leader is leaving. */
void ent_leader_check(struct ent_entry *entry, struct grp_group *group, uint64_t now_us)
{
	if (group->leader && group->leader->info.leaving)
		tko_leaving(entry->takeover, group, now_us);
}
