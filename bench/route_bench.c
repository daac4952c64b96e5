#include "quorum/quorum.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENDPOINTS 3U
#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
/* A prime, so that consecutive operations visit groups that are far apart in memory. */
#define STRIDE 7919U

struct names {
	char text[BC_ID_BYTES];
};

struct table {
	struct bc_ctx *ctx;
	struct rte_table *table;
	uint32_t size;
	struct names *databases;
	struct names *endpoints;
	json_t *groups;
	uint64_t now_us;
	uint64_t pos;
};

static json_t *groups_json(const struct table *table)
{
	json_t *endpoints = json_array();
	json_t *groups = json_array();
	uint32_t i;
	uint32_t j;

	for (i = 0; i < table->size; i++) {
		char domain[BC_ID_BYTES];
		json_t *members = json_array();

		snprintf(domain, sizeof(domain), "domain-%u", i % 10);
		json_array_append_new(endpoints, json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id",
							   table->endpoints[i].text, "address",
							   "10.0.0.1:9000", "domain", domain,
							   "region", i % 3 ? "east" : "west",
							   "slots", 2, "connections", 16));
		for (j = 0; j < ENDPOINTS; j++)
			json_array_append_new(
				members, json_string(table->endpoints[(i + j) % table->size].text));
		json_array_append_new(groups,
				      json_pack("{s:s,s:o}", "database", table->databases[i].text,
						"members", members));
	}
	return json_pack("{s:o,s:o}", "endpoints", endpoints, "groups", groups);
}

static void report(struct table *table, uint32_t group, uint32_t member)
{
	const char *primary = table->endpoints[group].text;
	struct rte_row row = {.is_primary = member == 0,
			      .term = 1,
			      .promised = 1,
			      .log = {1, table->pos},
			      .applied = {1, table->pos}};

	snprintf(row.primary, sizeof(row.primary), "%s", primary);
	rte_report(table->table, table->endpoints[(group + member) % table->size].text,
		   table->databases[group].text, &row, table->now_us, table->now_us + 1000);
}

static void *table_setup(uint32_t size)
{
	struct table *table = calloc(1, sizeof(*table));
	uint32_t i;
	uint32_t j;

	table->ctx = bc_ctx_create(1);
	table->size = size;
	table->databases = calloc(size, sizeof(*table->databases));
	table->endpoints = calloc(size, sizeof(*table->endpoints));
	for (i = 0; i < size; i++) {
		snprintf(table->databases[i].text, BC_ID_BYTES, "database-%u", i);
		snprintf(table->endpoints[i].text, BC_ID_BYTES, "endpoint-%u", i);
	}
	table->table = rte_create(table->ctx, "domain-1", "east");
	table->groups = groups_json(table);
	if (rte_groups_load(table->table, table->groups) != BC_OK)
		abort();
	table->now_us = BC_US_PER_S;
	table->pos = 1;
	for (i = 0; i < size; i++)
		for (j = 0; j < ENDPOINTS; j++)
			report(table, i, j);
	return table;
}

static void table_teardown(void *data)
{
	struct table *table = data;

	json_decref(table->groups);
	rte_destroy(table->table);
	bc_ctx_destroy(table->ctx);
	free(table->databases);
	free(table->endpoints);
	free(table);
}

/* Also prints the size of the groups object, which changes when an endpoint is added or moved. */
static void *groups_setup(uint32_t size)
{
	struct table *table = table_setup(size);
	char *text = json_dumps(table->groups, JSON_COMPACT);

	printf("{\"bench\":\"route.groups_object\",\"n\":%u,\"object_bytes\":%zu}\n", size,
	       strlen(text));
	free(text);
	return table;
}

static void groups_load(void *data, uint64_t index)
{
	struct table *table = data;

	(void)index;
	if (rte_groups_load(table->table, table->groups) != BC_OK)
		abort();
}

static void choose(struct table *table, uint64_t index, bool write)
{
	uint32_t group = (uint32_t)(index * STRIDE % table->size);
	struct rte_criteria want = {.database = table->databases[group].text,
				    .write = write,
				    .replicas_allowed = true,
				    .max_age_us = BC_US_PER_S,
				    .mark = {1, 1}};
	struct rte_choice choice;

	if (rte_choose(table->table, &want, table->now_us + 1000, &choice) != RTE_CHOSEN)
		abort();
}

static void choose_read(void *data, uint64_t index)
{
	choose(data, index, false);
}

static void choose_write(void *data, uint64_t index)
{
	choose(data, index, true);
}

static void receive_report(void *data, uint64_t index)
{
	struct table *table = data;
	uint32_t group = (uint32_t)(index / ENDPOINTS * STRIDE % table->size);

	if (index % ENDPOINTS == 0) {
		table->now_us += 200;
		table->pos++;
	}
	report(table, group, (uint32_t)(index % ENDPOINTS));
}

struct quorum {
	struct bc_ctx *ctx;
	struct quo_state *state;
	uint64_t done;
};

static void on_poll(void *data, const char *database, const char *endpoint,
		    struct bc_position at_least, uint32_t wait_ms)
{
}

static void on_done(void *data, uint64_t waiter, enum bc_status status)
{
	struct quorum *quorum = data;

	(void)status;
	(void)waiter;
	quorum->done++;
}

static void wait_add(struct quorum *quorum, uint64_t pos, uint64_t now_us)
{
	const struct quo_wait wait = {.waiter = pos,
				      .database = "orders",
				      .position = {1, pos},
				      .holder = "a",
				      .deadline_us = 1ULL << 60};

	quo_wait_add(quorum->state, &wait, now_us);
}

/*
 * Adds size - 1 waiters that stay pending, since their positions are far above those that confirm()
 * reports.
 */
static void *quorum_setup(uint32_t size)
{
	static const struct quo_ops ops = {.poll = on_poll, .done = on_done};
	static const char *const members[] = {"a", "b", "c"};
	struct quorum *quorum = calloc(1, sizeof(*quorum));
	uint32_t i;

	quorum->ctx = bc_ctx_create(1);
	quorum->state = quo_create(quorum->ctx, &ops, quorum);
	quo_group_set(quorum->state, "orders", members, ENDPOINTS);
	for (i = 1; i < size; i++)
		wait_add(quorum, (1ULL << 40) + i, 1);
	return quorum;
}

static void quorum_teardown(void *data)
{
	struct quorum *quorum = data;

	quo_destroy(quorum->state);
	bc_ctx_destroy(quorum->ctx);
	free(quorum);
}

static void confirm(void *data, uint64_t index)
{
	struct quorum *quorum = data;
	const struct rte_row row = {.term = 1, .promised = 1, .log = {1, index + 1}};
	uint64_t done = quorum->done;

	wait_add(quorum, index + 1, index);
	quo_report(quorum->state, "orders", "b", &row, (struct bc_position){0, 0}, index, index);
	quo_poll_ended(quorum->state, "orders", "b", true, index);
	if (quorum->done != done + 1)
		abort();
}

static const struct bch_case cases[] = {
	{"route.choose_read",
	 {3, 30, 300, 3000, 5200},
	 true,
	 table_setup,
	 choose_read,
	 table_teardown},
	{"route.choose_write",
	 {3, 30, 300, 3000, 5200},
	 true,
	 table_setup,
	 choose_write,
	 table_teardown},
	{"route.report",
	 {3, 30, 300, 3000, 5200},
	 true,
	 table_setup,
	 receive_report,
	 table_teardown},
	/* Unbounded: reads all groups, but only once for each change of the groups object. */
	{"route.groups_load",
	 {3, 30, 300, 3000, 5200},
	 false,
	 groups_setup,
	 groups_load,
	 table_teardown},
	{"quorum.add_and_confirm", {1, 100, 10000}, true, quorum_setup, confirm, quorum_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
