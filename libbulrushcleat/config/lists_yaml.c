#include "config/cfg_lists.h"
#include "config/cfg_yaml.h"

#include <stdlib.h>
#include <string.h>

#define PLAN_AT(member) offsetof(struct cfg_plan, member)
#define CUSTOMER_AT(member) offsetof(struct cfg_customer, member)
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define ROWS_MAX 1000000
/* Room in the object for revision, writer and CFG_HISTORY_MAX updates of about 80 bytes each. */
#define ENVELOPE_BYTES 2048

/* The lists while they are read. */
struct reading {
	struct cfg_lists lists;
	json_t *plan_names;	/* name -> true */
	json_t *customer_names; /* name -> true */
	size_t plans_size;
	size_t customers_size;
	bool plans_valid; /* no finding in the list of plans */
	bool out_of_memory;
};

static const struct cfg_field plan_fields[] = {
	{.key = "name", .type = CFG_ID, .required = true, .offset = PLAN_AT(name)},
	{.key = "connections",
	 .type = CFG_UINT,
	 .required = true,
	 .offset = PLAN_AT(connections),
	 .min = 1,
	 .max = CFG_PLAN_CONNECTIONS_MAX},
	{.key = "replica_reads",
	 .type = CFG_BOOL,
	 .required = true,
	 .offset = PLAN_AT(replica_reads)},
	{.key = "max_staleness_ms",
	 .type = CFG_UINT,
	 .offset = PLAN_AT(max_staleness_ms),
	 .max = CFG_STALENESS_MAX_MS},
};
static const struct cfg_schema plan_schema = {plan_fields, COUNT(plan_fields)};

static const struct cfg_items database_items = {CFG_ID, BC_ID_BYTES, CUSTOMER_AT(database_count)};

static const struct cfg_field customer_fields[] = {
	{.key = "name", .type = CFG_ID, .required = true, .offset = CUSTOMER_AT(name)},
	{.key = "plan", .type = CFG_ID, .required = true, .offset = CUSTOMER_AT(plan)},
	{.key = "databases",
	 .type = CFG_LIST,
	 .required = true,
	 .offset = CUSTOMER_AT(databases),
	 .min = 1,
	 .max = CFG_DATABASES_MAX,
	 .items = &database_items},
};
static const struct cfg_schema customer_schema = {customer_fields, COUNT(customer_fields)};

/* Makes room for one more row; returns a zeroed row, or NULL when out of memory. */
static void *append_row(void **rows, size_t *count, size_t *size, size_t row_bytes)
{
	char *row;

	if (*count == *size) {
		size_t wanted = *size ? 2 * *size : 64;
		void *grown = realloc(*rows, wanted * row_bytes);

		if (!grown)
			return NULL;
		*rows = grown;
		*size = wanted;
	}
	row = (char *)*rows + (*count)++ * row_bytes;
	memset(row, 0, row_bytes);
	return row;
}

static void check_name(struct cfg_doc *doc, yaml_node_t *node, json_t *names, const char *name,
		       const char *kind)
{
	yaml_node_t *place = cfg_yaml_child(doc, node, "name");

	if (!place || !*name)
		return;
	if (json_object_get(names, name))
		cfg_yaml_report(doc, place, "name: another %s has this name", kind);
	json_object_set_new(names, name, json_true());
}

static void read_plan(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	struct reading *reading = out;
	struct cfg_plan *plan =
		append_row((void **)&reading->lists.plans, &reading->lists.plan_count,
			   &reading->plans_size, sizeof(*plan));

	if (!plan) {
		reading->out_of_memory = true;
		return;
	}
	cfg_yaml_map(doc, node, &plan_schema, plan);
	check_name(doc, node, reading->plan_names, plan->name, "plan");
}

static void read_customer(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	struct reading *reading = out;
	struct cfg_customer *customer =
		append_row((void **)&reading->lists.customers, &reading->lists.customer_count,
			   &reading->customers_size, sizeof(*customer));
	yaml_node_t *plan;
	uint32_t i;
	uint32_t j;

	if (!customer) {
		reading->out_of_memory = true;
		return;
	}
	cfg_yaml_map(doc, node, &customer_schema, customer);
	check_name(doc, node, reading->customer_names, customer->name, "customer");
	plan = cfg_yaml_child(doc, node, "plan");
	/* An unreadable list of plans would make every customer's plan unknown. */
	if (plan && *customer->plan && reading->plans_valid &&
	    !json_object_get(reading->plan_names, customer->plan))
		cfg_yaml_report(doc, plan, "plan: expected a plan of the other list");
	for (i = 0; i < customer->database_count; i++)
		for (j = 0; j < i; j++)
			if (*customer->databases[i] &&
			    strcmp(customer->databases[i], customer->databases[j]) == 0)
				cfg_yaml_report(doc, cfg_yaml_child(doc, node, "databases"),
						"databases: %s is given twice",
						customer->databases[i]);
}

static const struct cfg_field plans_fields[] = {
	{.key = "plans", .type = CFG_EACH, .required = true, .max = ROWS_MAX, .each = read_plan},
};
static const struct cfg_schema plans_schema = {plans_fields, COUNT(plans_fields)};

static const struct cfg_field customers_fields[] = {
	{.key = "customers",
	 .type = CFG_EACH,
	 .required = true,
	 .max = ROWS_MAX,
	 .each = read_customer},
};
static const struct cfg_schema customers_schema = {customers_fields, COUNT(customers_fields)};

/* The object's size as the platform counts it, in bytes. */
static size_t json_bytes(const json_t *value)
{
	return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/*
 * Reads both lists and checks them as a whole. BC_EINVAL with findings, or BC_ENOMEM. On BC_OK
 * *lists is a new reference.
 */
enum bc_status cfg_lists_parse(struct bc_ctx *ctx, const char *plans_file, const char *plans_text,
			       size_t plans_bytes, const char *customers_file,
			       const char *customers_text, size_t customers_bytes, json_t **lists,
			       struct bc_findings *findings)
{
	struct reading reading = {.plan_names = json_object(), .customer_names = json_object()};
	size_t before = bc_findings_count(findings);
	json_t *value = NULL;
	size_t bytes;

	cfg_yaml_read(plans_file, plans_text, plans_bytes, &plans_schema, &reading, findings);
	reading.plans_valid = bc_findings_count(findings) == before;
	cfg_yaml_read(customers_file, customers_text, customers_bytes, &customers_schema, &reading,
		      findings);
	json_decref(reading.plan_names);
	json_decref(reading.customer_names);
	if (bc_findings_count(findings) == before && !reading.out_of_memory) {
		cfg_lists_sort(&reading.lists);
		value = cfg_lists_json(&reading.lists);
		bytes = json_bytes(value) + ENVELOPE_BYTES;
		if (bytes > CFG_OBJECT_MAX_BYTES)
			bc_findings_add(findings, customers_file, 1, 1, NULL,
					"both lists take %zu bytes, expected at most %u", bytes,
					CFG_OBJECT_MAX_BYTES);
	}
	cfg_lists_free(&reading.lists);
	if (reading.out_of_memory)
		return bc_fail(ctx, BC_ENOMEM, "out of memory reading the lists");
	if (bc_findings_count(findings) > before) {
		json_decref(value);
		return bc_fail(ctx, BC_EINVAL, "%s, %s: %zu findings", plans_file, customers_file,
			       bc_findings_count(findings) - before);
	}
	*lists = value;
	return BC_OK;
}
