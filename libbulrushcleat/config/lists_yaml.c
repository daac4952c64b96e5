#include "config/cfg_lists.h"
#include "config/cfg_yaml.h"

#include <stdlib.h>
#include <string.h>

#define PLAN_OFFSET(member) offsetof(struct cfg_plan, member)
#define CUSTOMER_OFFSET(member) offsetof(struct cfg_customer, member)
#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))
#define ITEMS_MAX 1000000
/* Reserved for revision, writer and CFG_HISTORY_MAX updates of about 80 bytes each. */
#define METADATA_MAX_BYTES 2048

/* State while both lists are read. */
struct lists_parser {
	struct cfg_lists lists;
	json_t *plan_names;	/* name -> true */
	json_t *customer_names; /* name -> true */
	size_t plans_capacity;
	size_t customers_capacity;
	bool plans_valid; /* there are no findings in the list of plans */
	bool out_of_memory;
};

static const struct cfg_field plan_fields[] = {
	{.key = "name", .type = CFG_ID, .required = true, .offset = PLAN_OFFSET(name)},
	{.key = "connections",
	 .type = CFG_UINT,
	 .required = true,
	 .offset = PLAN_OFFSET(connections),
	 .min = 1,
	 .max = CFG_PLAN_CONNECTIONS_MAX},
	{.key = "replica_reads",
	 .type = CFG_BOOL,
	 .required = true,
	 .offset = PLAN_OFFSET(replica_reads)},
	{.key = "max_staleness_ms",
	 .type = CFG_UINT,
	 .offset = PLAN_OFFSET(max_staleness_ms),
	 .max = CFG_STALENESS_MAX_MS},
};
static const struct cfg_schema plan_schema = {plan_fields, ARRAY_SIZE(plan_fields)};

static const struct cfg_list_storage database_items = {CFG_ID, BC_ID_BYTES,
						       CUSTOMER_OFFSET(database_count)};

static const struct cfg_field customer_fields[] = {
	{.key = "name", .type = CFG_ID, .required = true, .offset = CUSTOMER_OFFSET(name)},
	{.key = "plan", .type = CFG_ID, .required = true, .offset = CUSTOMER_OFFSET(plan)},
	{.key = "databases",
	 .type = CFG_STRING_LIST,
	 .required = true,
	 .offset = CUSTOMER_OFFSET(databases),
	 .min = 1,
	 .max = CFG_DATABASES_MAX,
	 .storage = &database_items},
};
static const struct cfg_schema customer_schema = {customer_fields, ARRAY_SIZE(customer_fields)};

/* Appends a zeroed item to a growing array and returns it; NULL when out of memory. */
static void *append_item(void **items, size_t *count, size_t *capacity, size_t item_bytes)
{
	char *item;

	if (*count == *capacity) {
		size_t new_capacity = *capacity ? 2 * *capacity : 64;
		void *new_items = realloc(*items, new_capacity * item_bytes);

		if (!new_items)
			return NULL;
		*items = new_items;
		*capacity = new_capacity;
	}
	item = (char *)*items + (*count)++ * item_bytes;
	memset(item, 0, item_bytes);
	return item;
}

static void check_name_unique(struct cfg_doc *doc, yaml_node_t *node, json_t *names,
			      const char *name, const char *kind)
{
	yaml_node_t *name_node = cfg_yaml_lookup(doc, node, "name");

	if (!name_node || !*name)
		return;
	if (json_object_get(names, name))
		cfg_yaml_report(doc, name_node, "name: another %s has this name", kind);
	json_object_set_new(names, name, json_true());
}

static void read_plan(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	struct lists_parser *parser = out;
	struct cfg_plan *plan =
		append_item((void **)&parser->lists.plans, &parser->lists.plan_count,
			    &parser->plans_capacity, sizeof(*plan));

	if (!plan) {
		parser->out_of_memory = true;
		return;
	}
	cfg_yaml_map(doc, node, &plan_schema, plan);
	check_name_unique(doc, node, parser->plan_names, plan->name, "plan");
}

static void read_customer(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	struct lists_parser *parser = out;
	struct cfg_customer *customer =
		append_item((void **)&parser->lists.customers, &parser->lists.customer_count,
			    &parser->customers_capacity, sizeof(*customer));
	yaml_node_t *plan;
	uint32_t i;
	uint32_t j;

	if (!customer) {
		parser->out_of_memory = true;
		return;
	}
	cfg_yaml_map(doc, node, &customer_schema, customer);
	check_name_unique(doc, node, parser->customer_names, customer->name, "customer");
	plan = cfg_yaml_lookup(doc, node, "plan");
	/* Without a valid list of plans, every customer's plan would be reported. */
	if (plan && *customer->plan && parser->plans_valid &&
	    !json_object_get(parser->plan_names, customer->plan))
		cfg_yaml_report(doc, plan, "plan: expected a plan from the list of plans");
	for (i = 0; i < customer->database_count; i++)
		for (j = 0; j < i; j++)
			if (*customer->databases[i] &&
			    strcmp(customer->databases[i], customer->databases[j]) == 0)
				cfg_yaml_report(doc, cfg_yaml_lookup(doc, node, "databases"),
						"databases: %s is given twice",
						customer->databases[i]);
}

static const struct cfg_field plans_fields[] = {
	{.key = "plans",
	 .type = CFG_CALLBACK_LIST,
	 .required = true,
	 .max = ITEMS_MAX,
	 .on_item = read_plan},
};
static const struct cfg_schema plans_schema = {plans_fields, ARRAY_SIZE(plans_fields)};

static const struct cfg_field customers_fields[] = {
	{.key = "customers",
	 .type = CFG_CALLBACK_LIST,
	 .required = true,
	 .max = ITEMS_MAX,
	 .on_item = read_customer},
};
static const struct cfg_schema customers_schema = {customers_fields, ARRAY_SIZE(customers_fields)};

/* The size in bytes as the platform counts it. */
static size_t json_bytes(const json_t *value)
{
	return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/*
 * Reads both lists and checks them, also against each other. BC_EINVAL if there are findings, or
 * BC_ENOMEM. On BC_OK *lists is a new reference.
 */
enum bc_status cfg_lists_parse(struct bc_ctx *ctx, const char *plans_file, const char *plans_text,
			       size_t plans_bytes, const char *customers_file,
			       const char *customers_text, size_t customers_bytes, json_t **lists,
			       struct bc_findings *findings)
{
	struct lists_parser parser = {.plan_names = json_object(), .customer_names = json_object()};
	size_t before = bc_findings_count(findings);
	json_t *value = NULL;
	size_t bytes;

	cfg_yaml_read(plans_file, plans_text, plans_bytes, &plans_schema, &parser, findings);
	parser.plans_valid = bc_findings_count(findings) == before;
	cfg_yaml_read(customers_file, customers_text, customers_bytes, &customers_schema, &parser,
		      findings);
	json_decref(parser.plan_names);
	json_decref(parser.customer_names);
	if (bc_findings_count(findings) == before && !parser.out_of_memory) {
		cfg_lists_sort(&parser.lists);
		value = cfg_lists_json(&parser.lists);
		bytes = json_bytes(value) + METADATA_MAX_BYTES;
		if (bytes > CFG_OBJECT_MAX_BYTES)
			bc_findings_add(findings, customers_file, 1, 1, NULL,
					"both lists take %zu bytes, expected at most %u", bytes,
					CFG_OBJECT_MAX_BYTES);
	}
	cfg_lists_free(&parser.lists);
	if (parser.out_of_memory)
		return bc_fail(ctx, BC_ENOMEM, "out of memory reading the lists");
	if (bc_findings_count(findings) > before) {
		json_decref(value);
		return bc_fail(ctx, BC_EINVAL, "%s, %s: %zu findings", plans_file, customers_file,
			       bc_findings_count(findings) - before);
	}
	*lists = value;
	return BC_OK;
}
