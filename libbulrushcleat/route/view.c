#include "route/route_internal.h"

#include <stdlib.h>
#include <string.h>

/* Copies a text of at most `size` - 1 bytes; false if it is absent or longer. */
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
		return bc_fail(table->ctx, BC_EINVAL,
			       "groups: endpoint %s: slots or connections is not a positive number",
			       endpoint->id);
	node->distance = 2;
	if (strcmp(endpoint->region, table->own_region) == 0)
		node->distance = 1;
	if (strcmp(endpoint->domain, table->own_domain) == 0)
		node->distance = 0;
	return BC_OK;
}

static enum bc_status nodes_build(struct rte_table *table, struct rte_view *view,
				  const json_t *list)
{
	size_t i;

	view->node_count = json_array_size(list);
	view->nodes = apr_pcalloc(view->pool, (view->node_count + 1) * sizeof(*view->nodes));
	for (i = 0; i < view->node_count; i++) {
		struct rte_node *node = &view->nodes[i];
		enum bc_status status = node_parse(table, node, json_array_get(list, i));

		if (status != BC_OK)
			return status;
		if (apr_hash_get(view->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING))
			return bc_fail(table->ctx, BC_EINVAL, "groups: endpoint %s is listed twice",
				       node->endpoint.id);
		apr_hash_set(view->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING, node);
	}
	return BC_OK;
}

static enum bc_status group_parse(struct rte_table *table, struct rte_view *view,
				  struct rte_group *group, const json_t *json)
{
	const json_t *list = json_object_get(json, "members");
	size_t i;

	if (!copy_id(group->database, json_object_get(json, "database")))
		return bc_fail(table->ctx, BC_EINVAL, "groups: a group has no valid database");
	if (json_array_size(list) < 1 || json_array_size(list) > RTE_GROUP_ENDPOINTS_MAX)
		return bc_fail(table->ctx, BC_EINVAL, "groups: group %s must have 1 to %d members",
			       group->database, RTE_GROUP_ENDPOINTS_MAX);
	for (i = 0; i < json_array_size(list); i++) {
		const char *id = json_string_value(json_array_get(list, i));
		struct rte_node *node =
			id ? apr_hash_get(view->node_by_id, id, APR_HASH_KEY_STRING) : NULL;

		if (!node || rte_member_find(group, id))
			return bc_fail(table->ctx, BC_EINVAL,
				       "groups: group %s: member %s is unknown or listed twice",
				       group->database, id ? id : "?");
		group->members[group->count++].node = node;
	}
	return BC_OK;
}

static enum bc_status groups_build(struct rte_table *table, struct rte_view *view,
				   const json_t *list)
{
	size_t i;

	view->group_count = json_array_size(list);
	view->groups = apr_pcalloc(view->pool, (view->group_count + 1) * sizeof(*view->groups));
	for (i = 0; i < view->group_count; i++) {
		struct rte_group *group = &view->groups[i];
		enum bc_status status = group_parse(table, view, group, json_array_get(list, i));

		if (status != BC_OK)
			return status;
		if (apr_hash_get(view->group_by_database, group->database, APR_HASH_KEY_STRING))
			return bc_fail(table->ctx, BC_EINVAL, "groups: group %s is listed twice",
				       group->database);
		apr_hash_set(view->group_by_database, group->database, APR_HASH_KEY_STRING, group);
	}
	return BC_OK;
}

/* Builds a view of the groups object. On failure the view must still be freed. */
enum bc_status rte_view_build(struct rte_table *table, struct rte_view *view, const json_t *groups)
{
	const json_t *endpoint_list = json_object_get(groups, "endpoints");
	const json_t *group_list = json_object_get(groups, "groups");
	enum bc_status status;

	memset(view, 0, sizeof(*view));
	if (!json_is_array(endpoint_list) || !json_is_array(group_list))
		return bc_fail(table->ctx, BC_EINVAL, "groups: endpoints or groups is not a list");
	if (apr_pool_create(&view->pool, NULL) != APR_SUCCESS)
		return bc_fail(table->ctx, BC_ENOMEM, "groups: out of memory");
	view->node_by_id = apr_hash_make(view->pool);
	view->group_by_database = apr_hash_make(view->pool);
	status = nodes_build(table, view, endpoint_list);
	if (status != BC_OK)
		return status;
	return groups_build(table, view, group_list);
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

/* Moves what is known of the endpoints and groups that both views have into the new view. */
void rte_view_carry_over(struct rte_view *view, struct rte_view *old)
{
	size_t i;

	if (!old->pool)
		return;
	for (i = 0; i < view->node_count; i++) {
		struct rte_node *node = &view->nodes[i];
		const struct rte_node *known =
			apr_hash_get(old->node_by_id, node->endpoint.id, APR_HASH_KEY_STRING);

		if (!known)
			continue;
		node->endpoint.leaving = known->endpoint.leaving;
		node->leaving_since_us = known->leaving_since_us;
		node->in_flight = known->in_flight;
		node->unreachable = known->unreachable;
	}
	for (i = 0; i < view->group_count; i++) {
		struct rte_group *group = &view->groups[i];
		struct rte_group *known =
			apr_hash_get(old->group_by_database, group->database, APR_HASH_KEY_STRING);

		if (known)
			group_carry_over(group, known);
	}
}

/* Frees a view; one that was never built is allowed. */
void rte_view_free(struct rte_view *view)
{
	size_t i;

	for (i = 0; i < view->group_count && view->groups; i++)
		free(view->groups[i].samples.entries);
	if (view->pool)
		apr_pool_destroy(view->pool);
	memset(view, 0, sizeof(*view));
}
