#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The word of a proxy that reaches a leader holds this long; it is asked again meanwhile. */
#define REACH_US (800 * BC_US_PER_MS)

/* A copy that does not answer by then is down, and receives again when it starts. */
#define RESUME_TIMEOUT_US BC_US_PER_S

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

/* Takes over and logs what an endpoint has said of itself; `asked` is a stable word for the log. */
static struct tko_status status_take(struct ent_entry *entry, const char *asked,
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
	       endpoint_id, "asked", asked, "code", sql_code_name(code), "leads", status.leads,
	       "term", (json_int_t)status.received.term, "received",
	       (json_int_t)status.received.pos);
	return status;
}

static void on_status(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, endpoint_id);
	struct tko_status status = status_take(entry, "status", endpoint_id, code, result);

	if (endpoint && status.answered && !status.leads)
		grp_kept(endpoint->group, status.received);
	if (endpoint)
		tko_surveyed(entry->takeover, endpoint->group->name, endpoint_id, &status, now_us);
}

static void on_paused(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(entry->groups, endpoint_id);
	struct tko_status status = status_take(entry, "pause", endpoint_id, code, result);

	if (endpoint)
		tko_held(entry->takeover, endpoint->group->name, endpoint_id, &status, now_us);
}

static void on_resumed(void *data, const char *endpoint_id, enum sql_code code,
		       const struct sql_result *result, uint64_t now_us)
{
	(void)now_us;
	status_take(data, "resume", endpoint_id, code, result);
}

static void on_hold(void *data, struct grp_endpoint *endpoint, uint64_t term, uint64_t timeout_us,
		    uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_replication_pause(entry->statements, endpoint, term, timeout_us, on_paused, entry,
			      now_us);
}

static void on_release(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_replication_resume(entry->statements, endpoint, RESUME_TIMEOUT_US, on_resumed, entry,
			       now_us);
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

static bool on_is_gone(void *data, struct grp_group *group)
{
	struct ent_entry *entry = data;

	return !group->leader || ent_has_vanished(entry, group->leader->info.id);
}

static bool on_may_act(void *data, struct grp_group *group)
{
	struct ent_entry *entry = data;

	/* One that was deposed has a successor, which others may know. */
	if (!group->leader && !group->deposed)
		return true;
	if (group->leader && ent_has_vanished(entry, group->leader->info.id))
		return true;
	return ent_peers_mostly_answer(entry, group);
}

/* Creates the takeover of this proxy. */
struct tko_state *ent_takeover_create(struct ent_entry *entry)
{
	static const struct tko_ops ops = {.look = on_look,
					   .claim = on_claim,
					   .survey = on_survey,
					   .hold = on_hold,
					   .release = on_release,
					   .order = on_order,
					   .rank = on_rank,
					   .ask_peers = on_ask_peers,
					   .is_gone = on_is_gone,
					   .may_act = on_may_act};

	return tko_create(entry->ctx, entry->timers, entry->groups, &ops, entry);
}

/* Begins a planned takeover if the leader is leaving. */
void ent_leader_check(struct ent_entry *entry, struct grp_group *group, uint64_t now_us)
{
	if (group->leader && group->leader->info.leaving)
		tko_leaving(entry->takeover, group, now_us);
}

/* What was answered about the group's leader; NULL when out of memory. */
struct ent_leader_word *ent_leader_word(struct ent_entry *entry, const struct grp_group *group)
{
	struct ent_leader_word *word = apr_hash_get(entry->words, group->name, APR_HASH_KEY_STRING);

	if (word)
		return word;
	word = calloc(1, sizeof(*word));
	if (!word)
		return NULL;
	snprintf(word->group, sizeof(word->group), "%s", group->name);
	apr_hash_set(entry->words, word->group, APR_HASH_KEY_STRING, word);
	return word;
}

/* A proxy has told that the group's leader, which does not answer this one, answers it. */
void ent_peer_reaches(struct ent_entry *entry, const char *proxy, struct grp_group *group,
		      uint64_t now_us)
{
	struct ent_leader_word *word = ent_leader_word(entry, group);

	if (!word)
		return;
	/* One peer is kept while it answers, so that statements do not change their way. */
	if (now_us >= word->until_us)
		snprintf(word->proxy, sizeof(word->proxy), "%s", proxy);
	if (strcmp(word->proxy, proxy) != 0)
		return;
	word->until_us = now_us + REACH_US;
	grp_leader_reached_by_peer(group, word->until_us);
}

/* Whether more than half of the proxies that were asked, with this one, are on its side. */
bool ent_peers_mostly_answer(struct ent_entry *entry, const struct grp_group *group)
{
	const struct ent_leader_word *word = ent_leader_word(entry, group);

	return word && 2 * (word->heard + 1) > word->asked + 1;
}

/* Frees what other proxies have answered. */
void ent_leader_words_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->words))) {
		struct ent_leader_word *word = apr_hash_this_val(it);

		apr_hash_set(entry->words, word->group, APR_HASH_KEY_STRING, NULL);
		free(word);
	}
}
