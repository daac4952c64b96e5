#include "route/route_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the group of a database, or NULL. */
struct rte_group *rte_group_find(const struct rte_table *table, const char *database)
{
	if (!table->topology.pool || !database)
		return NULL;
	return apr_hash_get(table->topology.group_by_database, database, APR_HASH_KEY_STRING);
}

/* Returns the endpoint with that id, or NULL. */
struct rte_node *rte_node_find(const struct rte_table *table, const char *id)
{
	if (!table->topology.pool || !id)
		return NULL;
	return apr_hash_get(table->topology.node_by_id, id, APR_HASH_KEY_STRING);
}

/* Returns the group's member on that endpoint, or NULL. */
struct rte_member *rte_member_find(struct rte_group *group, const char *endpoint)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (strcmp(group->members[i].node->endpoint.id, endpoint) == 0)
			return &group->members[i];
	return NULL;
}

/* Creates an empty table for a proxy in that failure domain and region; NULL if out of memory. */
struct rte_table *rte_create(struct bc_ctx *ctx, const char *own_domain, const char *own_region)
{
	struct rte_table *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	table->ctx = ctx;
	snprintf(table->own_domain, sizeof(table->own_domain), "%s", own_domain);
	snprintf(table->own_region, sizeof(table->own_region), "%s", own_region);
	return table;
}

/* Frees the table. NULL is allowed. */
void rte_destroy(struct rte_table *table)
{
	if (!table)
		return;
	rte_topology_free(&table->topology);
	free(table);
}

/*
 * Replaces the endpoints and groups; the state of those that are still listed is kept. Pointers
 * from earlier calls become invalid. BC_EINVAL or BC_ENOMEM leaves the table unchanged. The cost is
 * linear in the size of the object.
 */
enum bc_status rte_groups_load(struct rte_table *table, const json_t *groups)
{
	struct rte_topology topology;
	enum bc_status status = rte_topology_build(table, &topology, groups);

	if (status != BC_OK) {
		rte_topology_free(&topology);
		return status;
	}
	rte_topology_inherit(&topology, &table->topology);
	rte_topology_free(&table->topology);
	table->topology = topology;
	return BC_OK;
}

/* Returns the number of endpoints. */
size_t rte_endpoint_count(const struct rte_table *table)
{
	return table->topology.node_count;
}

/* Returns the endpoint at an index, or NULL past the last one. Valid until the next load. */
const struct rte_endpoint *rte_endpoint_at(const struct rte_table *table, size_t index)
{
	return index < table->topology.node_count ? &table->topology.nodes[index].endpoint : NULL;
}

/* Returns the endpoint with that id, or NULL. Valid until the next load. */
const struct rte_endpoint *rte_endpoint_find(const struct rte_table *table, const char *id)
{
	const struct rte_node *node = rte_node_find(table, id);

	return node ? &node->endpoint : NULL;
}

/* Returns the number of groups. */
size_t rte_group_count(const struct rte_table *table)
{
	return table->topology.group_count;
}

/* Returns the database of the group at an index below rte_group_count(), or NULL. */
const char *rte_group_at(const struct rte_table *table, size_t index)
{
	return index < table->topology.group_count ? table->topology.groups[index].database : NULL;
}

/* Fills in the endpoints of a group and returns their number; 0 for an unknown database. */
size_t rte_group_members(const struct rte_table *table, const char *database,
			 const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX])
{
	const struct rte_group *group = rte_group_find(table, database);
	size_t i;

	for (i = 0; group && i < group->count; i++)
		members[i] = &group->members[i].node->endpoint;
	return group ? group->count : 0;
}

/* Sets whether an endpoint is leaving. An unknown endpoint is ignored. */
void rte_leaving_set(struct rte_table *table, const char *endpoint, bool leaving)
{
	struct rte_node *node = rte_node_find(table, endpoint);

	if (node)
		node->endpoint.leaving = leaving;
	if (node && !leaving)
		node->leaving_seen_us = 0;
}

static bool parse_number(const json_t *json, uint64_t *number)
{
	if (!json_is_integer(json) || json_integer_value(json) < 0)
		return false;
	*number = (uint64_t)json_integer_value(json);
	return true;
}

static bool parse_position(const json_t *json, struct bc_position *position)
{
	return parse_number(json_object_get(json, "term"), &position->term) &&
	       parse_number(json_object_get(json, "pos"), &position->pos);
}

/*
 * Parses one database's row of an endpoint's status. `primary` is null or empty if it is not known.
 * Returns BC_EINVAL, with `row` undefined, if a field is missing or invalid.
 */
enum bc_status rte_row_parse(struct bc_ctx *ctx, const json_t *json, struct rte_row *row)
{
	const char *role = json_string_value(json_object_get(json, "role"));
	const json_t *primary = json_object_get(json, "primary");
	uint64_t contact_ms = 0;

	memset(row, 0, sizeof(*row));
	if (!role)
		return bc_fail(ctx, BC_EINVAL, "row: role is not a string");
	row->is_primary = strcmp(role, "primary") == 0;
	if (!parse_number(json_object_get(json, "term"), &row->term) ||
	    !parse_number(json_object_get(json, "promised"), &row->promised) ||
	    !parse_number(json_object_get(json, "contact_ms"), &contact_ms))
		return bc_fail(ctx, BC_EINVAL,
			       "row: term, promised or contact_ms is not an integer of 0 or more");
	row->contact_ms = contact_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)contact_ms;
	if (!parse_position(json_object_get(json, "log"), &row->log) ||
	    !parse_position(json_object_get(json, "applied"), &row->applied))
		return bc_fail(ctx, BC_EINVAL,
			       "row: log or applied is not an object with integers term and pos");
	if (json_is_null(primary))
		return BC_OK;
	if (!json_is_string(primary) || json_string_length(primary) >= sizeof(row->primary))
		return bc_fail(ctx, BC_EINVAL,
			       "row: primary is neither null nor a string of valid length");
	snprintf(row->primary, sizeof(row->primary), "%s", json_string_value(primary));
	return BC_OK;
}

/* Updates the time at which the member is known to have promised no term above the group's. */
static void member_update_unfenced(const struct rte_group *group, struct rte_member *member)
{
	if (member->reported && member->row.promised <= group->term &&
	    member->row_sent_us > member->unfenced_us)
		member->unfenced_us = member->row_sent_us;
}

/* Records a term and its primary ("" if not known). Returns whether either was new. */
static bool term_learn(struct rte_group *group, uint64_t term, const char *primary)
{
	size_t i;

	if (term < group->term || term == 0)
		return false;
	if (term == group->term && (group->primary[0] || !primary[0]))
		return false;
	snprintf(group->primary, sizeof(group->primary), "%s", primary);
	group->term = term;
	for (i = 0; i < group->count; i++) {
		group->members[i].learned = false;
		member_update_unfenced(group, &group->members[i]);
	}
	return true;
}

/*
 * Records a report that was requested at `sent_us` and received at `now_us`. The term of every
 * report is used; its row is ignored if a report requested later was already recorded.
 */
void rte_report(struct rte_table *table, const char *endpoint, const char *database,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us)
{
	struct rte_group *group = rte_group_find(table, database);
	struct rte_member *member = group ? rte_member_find(group, endpoint) : NULL;

	(void)now_us;
	if (!member)
		return;
	member->node->unreachable = false;
	term_learn(group, row->term, row->is_primary ? endpoint : row->primary);
	if (member->reported && sent_us < member->row_sent_us)
		return;
	member->reported = true;
	member->learned = false;
	member->row = *row;
	member->row_sent_us = sent_us;
	member_update_unfenced(group, member);
	rte_member_update_fresh(group, member);
	rte_samples_update(group);
}

/* Marks an endpoint as unreachable, in all its groups, until its next report. */
void rte_unreachable(struct rte_table *table, const char *endpoint, uint64_t now_us)
{
	struct rte_node *node = rte_node_find(table, endpoint);

	(void)now_us;
	if (node)
		node->unreachable = true;
}

/*
 * Records a primary named by a peer or in the refusal of a statement. It may be chosen at once,
 * before its own next report: statements carry the term, so an endpoint that is not the primary of
 * that term refuses them.
 */
void rte_primary_learn(struct rte_table *table, const char *database, uint64_t term,
		       const char *endpoint)
{
	struct rte_group *group = rte_group_find(table, database);
	struct rte_member *member;

	if (!group || !term_learn(group, term, endpoint ? endpoint : ""))
		return;
	member = rte_member_find(group, group->primary);
	if (member)
		member->learned = true;
}

/* Copies the known primary and sets its term; false, with nothing set, if none is known. */
bool rte_primary_get(const struct rte_table *table, const char *database, char primary[BC_ID_BYTES],
		     uint64_t *term)
{
	const struct rte_group *group = rte_group_find(table, database);

	if (!group || !group->primary[0])
		return false;
	memcpy(primary, group->primary, sizeof(group->primary));
	*term = group->term;
	return true;
}

/* Returns the proven upper bound of the age of an endpoint's copy in us, or RTE_AGE_ANY. */
uint64_t rte_age(const struct rte_table *table, const char *endpoint, const char *database,
		 uint64_t now_us)
{
	struct rte_group *group = rte_group_find(table, database);
	const struct rte_member *member = group ? rte_member_find(group, endpoint) : NULL;

	return member ? rte_member_age(member, now_us) : RTE_AGE_ANY;
}

/* Counts a statement in flight on an endpoint. */
void rte_statement_started(struct rte_table *table, const char *endpoint)
{
	struct rte_node *node = rte_node_find(table, endpoint);

	if (node)
		node->in_flight++;
}

/* Uncounts a statement counted by rte_statement_started(). */
void rte_statement_finished(struct rte_table *table, const char *endpoint)
{
	struct rte_node *node = rte_node_find(table, endpoint);

	if (node && node->in_flight)
		node->in_flight--;
}
