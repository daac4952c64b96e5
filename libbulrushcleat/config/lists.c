#include "config/cfg_lists.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Compares plans or customers; both structures begin with the name. */
static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* Sorts both lists by name, as cfg_lists_plan() and cfg_lists_customer() need. */
void cfg_lists_sort(struct cfg_lists *lists)
{
	if (lists->plan_count)
		qsort(lists->plans, lists->plan_count, sizeof(*lists->plans), compare_names);
	if (lists->customer_count)
		qsort(lists->customers, lists->customer_count, sizeof(*lists->customers),
		      compare_names);
}

/* The plan with this name in sorted lists, or NULL. */
const struct cfg_plan *cfg_lists_plan(const struct cfg_lists *lists, const char *name)
{
	if (!lists->plan_count)
		return NULL;
	return bsearch(name, lists->plans, lists->plan_count, sizeof(*lists->plans), compare_names);
}

/* The customer with this name in sorted lists, or NULL. */
const struct cfg_customer *cfg_lists_customer(const struct cfg_lists *lists, const char *name)
{
	if (!lists->customer_count)
		return NULL;
	return bsearch(name, lists->customers, lists->customer_count, sizeof(*lists->customers),
		       compare_names);
}

/* Frees the arrays and leaves both lists empty. */
void cfg_lists_free(struct cfg_lists *lists)
{
	free(lists->plans);
	free(lists->customers);
	*lists = (struct cfg_lists){0};
}

static bool load_id(const json_t *object, const char *key, char out[BC_ID_BYTES])
{
	const json_t *text = json_object_get(object, key);
	const char *id = json_string_value(text);

	if (!bc_id_valid(id) || strlen(id) != json_string_length(text))
		return false;
	snprintf(out, BC_ID_BYTES, "%s", id);
	return true;
}

static bool load_uint(const json_t *object, const char *key, uint32_t min, uint32_t max,
		      uint32_t *out)
{
	const json_t *number = json_object_get(object, key);
	json_int_t value = json_integer_value(number);

	if (!json_is_integer(number) || value < min || value > max)
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool load_plan(const json_t *object, struct cfg_plan *plan)
{
	const json_t *replica_reads = json_object_get(object, "replica_reads");

	plan->replica_reads = json_is_true(replica_reads);
	return json_is_boolean(replica_reads) && load_id(object, "name", plan->name) &&
	       load_uint(object, "connections", 1, CFG_PLAN_CONNECTIONS_MAX, &plan->connections) &&
	       load_uint(object, "max_staleness_ms", 0, CFG_STALENESS_MAX_MS,
			 &plan->max_staleness_ms);
}

static bool load_customer(const json_t *object, struct cfg_customer *customer)
{
	const json_t *databases = json_object_get(object, "databases");
	size_t count = json_array_size(databases);
	size_t i;

	if (count == 0 || count > CFG_DATABASES_MAX || !load_id(object, "name", customer->name) ||
	    !load_id(object, "plan", customer->plan))
		return false;
	for (i = 0; i < count; i++) {
		const json_t *item = json_array_get(databases, i);

		if (!bc_id_valid(json_string_value(item)))
			return false;
		snprintf(customer->databases[i], BC_ID_BYTES, "%s", json_string_value(item));
	}
	customer->database_count = (uint32_t)count;
	return true;
}

static enum bc_status load_arrays(struct bc_ctx *ctx, const json_t *value, struct cfg_lists *lists)
{
	const json_t *plans = json_object_get(value, "plans");
	const json_t *customers = json_object_get(value, "customers");
	size_t i;

	if (!json_is_array(plans) || !json_is_array(customers))
		return bc_fail(ctx, BC_EINVAL, "configuration: plans or customers is not an array");
	lists->plans = calloc(json_array_size(plans) + 1, sizeof(*lists->plans));
	lists->customers = calloc(json_array_size(customers) + 1, sizeof(*lists->customers));
	if (!lists->plans || !lists->customers)
		return bc_fail(ctx, BC_ENOMEM, "configuration: out of memory");
	for (i = 0; i < json_array_size(plans); i++)
		if (!load_plan(json_array_get(plans, i), &lists->plans[lists->plan_count++]))
			return bc_fail(ctx, BC_EINVAL, "configuration: plan %zu is malformed", i);
	for (i = 0; i < json_array_size(customers); i++)
		if (!load_customer(json_array_get(customers, i),
				   &lists->customers[lists->customer_count++]))
			return bc_fail(ctx, BC_EINVAL, "configuration: customer %zu is malformed",
				       i);
	return BC_OK;
}

/* Checks sorted lists: names are unique, and every customer's plan exists. */
static enum bc_status check_names(struct bc_ctx *ctx, const struct cfg_lists *lists)
{
	size_t i;

	for (i = 1; i < lists->plan_count; i++)
		if (strcmp(lists->plans[i - 1].name, lists->plans[i].name) == 0)
			return bc_fail(ctx, BC_EINVAL, "configuration: plan %s is given twice",
				       lists->plans[i].name);
	for (i = 0; i < lists->customer_count; i++) {
		const struct cfg_customer *customer = &lists->customers[i];

		if (i && strcmp(lists->customers[i - 1].name, customer->name) == 0)
			return bc_fail(ctx, BC_EINVAL, "configuration: customer %s is given twice",
				       customer->name);
		if (!cfg_lists_plan(lists, customer->plan))
			return bc_fail(ctx, BC_EINVAL,
				       "configuration: customer %s has unknown plan %s",
				       customer->name, customer->plan);
	}
	return BC_OK;
}

/* Loads and checks the lists of a JSON object. On BC_EINVAL or BC_ENOMEM *lists is empty. */
enum bc_status cfg_lists_load(struct bc_ctx *ctx, const json_t *value, struct cfg_lists *lists)
{
	enum bc_status status;

	*lists = (struct cfg_lists){0};
	status = load_arrays(ctx, value, lists);
	if (status == BC_OK) {
		cfg_lists_sort(lists);
		status = check_names(ctx, lists);
	}
	if (status != BC_OK)
		cfg_lists_free(lists);
	return status;
}

static json_t *customer_json(const struct cfg_customer *customer)
{
	json_t *databases = json_array();
	uint32_t i;

	for (i = 0; i < customer->database_count; i++)
		json_array_append_new(databases, json_string(customer->databases[i]));
	return json_pack("{s:s,s:s,s:o}", "name", customer->name, "plan", customer->plan,
			 "databases", databases);
}

/* The lists as in the platform's object, without revision, writer and history. */
json_t *cfg_lists_json(const struct cfg_lists *lists)
{
	json_t *customers = json_array();
	json_t *plans = json_array();
	size_t i;

	for (i = 0; i < lists->plan_count; i++) {
		const struct cfg_plan *plan = &lists->plans[i];

		json_array_append_new(plans, json_pack("{s:s,s:I,s:b,s:I}", "name", plan->name,
						       "connections", (json_int_t)plan->connections,
						       "replica_reads", (int)plan->replica_reads,
						       "max_staleness_ms",
						       (json_int_t)plan->max_staleness_ms));
	}
	for (i = 0; i < lists->customer_count; i++)
		json_array_append_new(customers, customer_json(&lists->customers[i]));
	return json_pack("{s:o,s:o}", "plans", plans, "customers", customers);
}

/* An object that maps names to the items of an array; a new reference. */
static json_t *index_by_name(const json_t *array)
{
	json_t *index = json_object();
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		json_t *item = json_array_get(array, i);
		const char *name = json_string_value(json_object_get(item, "name"));

		if (name)
			json_object_set(index, name, item);
	}
	return index;
}

static void append_change(json_t *changes, const char *list, const char *name, const char *change,
			  const json_t *from, const json_t *to)
{
	json_t *from_value = from ? json_deep_copy(from) : json_null();
	json_t *to_value = to ? json_deep_copy(to) : json_null();

	json_array_append_new(changes,
			      json_pack("{s:s,s:s,s:s,s:o,s:o}", "list", list, "name", name,
					"change", change, "from", from_value, "to", to_value));
}

static void diff_list(json_t *changes, const char *list, const json_t *from, const json_t *to)
{
	json_t *from_index = index_by_name(from);
	json_t *to_index = index_by_name(to);
	const char *name;
	json_t *item;

	json_object_foreach(from_index, name, item)
	{
		const json_t *other = json_object_get(to_index, name);

		if (!other)
			append_change(changes, list, name, "removed", item, NULL);
		else if (!json_equal(item, other))
			append_change(changes, list, name, "changed", item, other);
	}
	json_object_foreach(to_index, name, item)
	{
		if (!json_object_get(from_index, name))
			append_change(changes, list, name, "added", NULL, item);
	}
	json_decref(from_index);
	json_decref(to_index);
}

/* The differences by name, plans first; a new reference. NULL is treated as empty lists. */
json_t *cfg_lists_diff(const json_t *from, const json_t *to)
{
	json_t *changes = json_array();

	diff_list(changes, "plans", json_object_get(from, "plans"), json_object_get(to, "plans"));
	diff_list(changes, "customers", json_object_get(from, "customers"),
		  json_object_get(to, "customers"));
	return changes;
}
