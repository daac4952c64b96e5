#include "route/route_internal.h"

#include <stdlib.h>
#include <string.h>

/* Copies a string of at most `size` - 1 bytes; false if it is absent or longer. */
static bool copy_text(char *to, size_t size, const json_t *json)
{
	const char *text = json_string_value(json);

	if (!text || strlen(text) >= size)
		return false;
	memcpy(to, text, strlen(text) + 1);
	return true;
}

static bool copy_id(char to[BC_ID_BYTES], const json_t *json)
{
	return bc_id_valid(json_string_value(json)) && copy_text(to, BC_ID_BYTES, json);
}

static bool copy_count(uint32_t *to, const json_t *json)
{
	json_int_t value = json_integer_value(json);

	if (!json_is_integer(json) || value < 1 || value > UINT32_MAX)
		return false;
	*to = (uint32_t)value;
	return true;
}

static enum bc_status node_parse(struct rte_table *table, struct rte_node *node, const json_t *json)
{
	struct rte_endpoint *endpoint = &node->endpoint;

	if (!copy_id(endpoint->id, json_object_get(json, "id")))
		return bc_fail(table->ctx, BC_EINVAL, "groups: an endpoint has no valid id");
	if (!copy_text(endpoint->address, BC_ADDRESS_BYTES, json_object_get(json, "address")) ||
	    !copy_id(endpoint->domain, json_object_get(json, "domain")) ||
	    !copy_id(endpoint->region, json_object_get(json, "region")))
		return bc_fail(table->ctx, BC_EINVAL,
			       "groups: endpoint %s: address, domain or region is not valid",
			       endpoint->id);
	if (!copy_count(&endpoint->slots, json_object_get(json, "slots")) ||
	    !copy_count(&endpoint->connections, json_object_get(json, "connections")))
		return bc_fail(
			table->ctx, BC_EINVAL,
			"groups: endpoint %s: slots or connections is not a positive integer",
			endpoint->id);
	node->distance = 2;
	if (strcmp(endpoint->region, table->own_region) == 0)
		node->distance = 1;
	if (strcmp(endpoint->domain, table->own_domain) == 0)
		node->distance = 0;
	return BC_OK;
}

static enum bc_status nodes_build(struct rte_table *table, struct rte_topology *topology,
				  const json_t *list)
{
	size_t i;

	topology->node_count = json_array_size(list);
	topology->nodes =
		apr_pcalloc(topology->pool, (topology->node_count + 1) * sizeof(*topology->nodes));
	for (i = 0; i < topology->node_count; i++) {
		struct rte_node *node = &topology->nodes[i];
		enum bc_status status = node_parse(table, node, json_array_get(list, i));

		if (status != BC_OK)
			return status;
		if (apr_hash_get(topology->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING))
			return bc_fail(table->ctx, BC_EINVAL, "groups: endpoint %s is listed twice",
				       node->endpoint.id);
		apr_hash_set(topology->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING, node);
	}
	return BC_OK;
}

static enum bc_status group_parse(struct rte_table *table, struct rte_topology *topology,
				  struct rte_group *group, const json_t *json)
{
	const json_t *list = json_object_get(json, "members");
	size_t i;

	if (!copy_id(group->database, json_object_get(json, "database")))
		return bc_fail(table->ctx, BC_EINVAL, "groups: a group has no valid database id");
	if (json_array_size(list) < 1 || json_array_size(list) > RTE_GROUP_ENDPOINTS_MAX)
		return bc_fail(table->ctx, BC_EINVAL, "groups: group %s must have 1 to %d members",
			       group->database, RTE_GROUP_ENDPOINTS_MAX);
	for (i = 0; i < json_array_size(list); i++) {
		const char *id = json_string_value(json_array_get(list, i));
		struct rte_node *node =
			id ? apr_hash_get(topology->node_by_id, id, APR_HASH_KEY_STRING) : NULL;

		if (!node || rte_member_find(group, id))
			return bc_fail(table->ctx, BC_EINVAL,
				       "groups: group %s: member %s is unknown or listed twice",
				       group->database, id ? id : "?");
		group->members[group->count++].node = node;
	}
	return BC_OK;
}

static enum bc_status groups_build(struct rte_table *table, struct rte_topology *topology,
				   const json_t *list)
{
	size_t i;

	topology->group_count = json_array_size(list);
	topology->groups = apr_pcalloc(topology->pool,
				       (topology->group_count + 1) * sizeof(*topology->groups));
	for (i = 0; i < topology->group_count; i++) {
		struct rte_group *group = &topology->groups[i];
		enum bc_status status =
			group_parse(table, topology, group, json_array_get(list, i));

		if (status != BC_OK)
			return status;
		if (apr_hash_get(topology->group_by_database, group->database, APR_HASH_KEY_STRING))
			return bc_fail(table->ctx, BC_EINVAL, "groups: group %s is listed twice",
				       group->database);
		apr_hash_set(topology->group_by_database, group->database, APR_HASH_KEY_STRING,
			     group);
	}
	return BC_OK;
}

/* Builds a topology from the groups object. On failure it must still be freed. */
enum bc_status rte_topology_build(struct rte_table *table, struct rte_topology *topology,
				  const json_t *groups)
{
	const json_t *endpoint_list = json_object_get(groups, "endpoints");
	const json_t *group_list = json_object_get(groups, "groups");
	enum bc_status status;

	memset(topology, 0, sizeof(*topology));
	if (!json_is_array(endpoint_list) || !json_is_array(group_list))
		return bc_fail(table->ctx, BC_EINVAL,
			       "groups: endpoints or groups is not an array");
	if (apr_pool_create(&topology->pool, NULL) != APR_SUCCESS)
		return bc_fail(table->ctx, BC_ENOMEM, "groups: out of memory");
	topology->node_by_id = apr_hash_make(topology->pool);
	topology->group_by_database = apr_hash_make(topology->pool);
	status = nodes_build(table, topology, endpoint_list);
	if (status != BC_OK)
		return status;
	return groups_build(table, topology, group_list);
}

static void group_carry_over(struct rte_group *group, struct rte_group *old)
{
	size_t i;

	group->term = old->term;
	memcpy(group->primary, old->primary, sizeof(group->primary));
	group->samples = old->samples;
	memset(&old->samples, 0, sizeof(old->samples));
	for (i = 0; i < group->count; i++) {
		struct rte_member *member = &group->members[i];
		struct rte_node *node = member->node;
		const struct rte_member *known = rte_member_find(old, node->endpoint.id);

		if (!known)
			continue;
		*member = *known;
		member->node = node;
	}
}

/* Moves the state of the endpoints and groups that are in both topologies to the new one. */
void rte_topology_inherit(struct rte_topology *topology, struct rte_topology *old)
{
	size_t i;

	if (!old->pool)
		return;
	for (i = 0; i < topology->node_count; i++) {
		struct rte_node *node = &topology->nodes[i];
		const struct rte_node *known =
			apr_hash_get(old->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING);

		if (!known)
			continue;
		node->endpoint.leaving = known->endpoint.leaving;
		node->leaving_seen_us = known->leaving_seen_us;
		node->in_flight = known->in_flight;
		node->unreachable = known->unreachable;
	}
	for (i = 0; i < topology->group_count; i++) {
		struct rte_group *group = &topology->groups[i];
		struct rte_group *known =
			apr_hash_get(old->group_by_database, group->database, APR_HASH_KEY_STRING);

		if (known)
			group_carry_over(group, known);
	}
}

/* Frees a topology. A zeroed one is allowed. */
void rte_topology_free(struct rte_topology *topology)
{
	size_t i;

	for (i = 0; i < topology->group_count && topology->groups; i++)
		free(topology->groups[i].samples.entries);
	if (topology->pool)
		apr_pool_destroy(topology->pool);
	memset(topology, 0, sizeof(*topology));
}
