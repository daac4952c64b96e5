#include "failover/failover.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define ENDPOINTS 3U
#define STRIDE 7919U
#define TICK_US (50 * BC_US_PER_MS)
/*
 * Number of groups for which this proxy may promote: about 3 at any size, since the groups are
 * distributed over all proxies.
 */
#define DUTIES 3U

static const char *const members[ENDPOINTS] = {"a", "b", "c"};

struct groups {
	struct bc_ctx *ctx;
	struct fov_state *state;
	uint32_t size;
	uint64_t now_us;
	char (*names)[BC_ID_BYTES];
};

static void on_call(void *data, const struct fov_call *call)
{
	(void)data;
	(void)call;
	abort();
}

static void on_promoted(void *data, const char *database, uint64_t term, const char *primary,
			uint64_t gap_us)
{
	(void)data;
	(void)database;
	(void)term;
	(void)primary;
	(void)gap_us;
}

static void report(struct groups *groups, uint32_t group, uint32_t member)
{
	struct rte_row row = {.is_primary = member == 0,
			      .term = 1,
			      .promised = 1,
			      .log = {1, 100},
			      .applied = {1, 100},
			      .primary = "a"};

	fov_report(groups->state, groups->names[group], members[member], &row, groups->now_us,
		   groups->now_us + 1000);
}

static void *groups_setup(uint32_t size)
{
	static const struct fov_ops ops = {on_call, on_promoted};
	struct groups *groups = calloc(1, sizeof(*groups));
	uint32_t i;
	uint32_t j;

	groups->ctx = bc_ctx_create(1);
	groups->size = size;
	groups->now_us = BC_US_PER_S;
	groups->names = calloc(size, sizeof(*groups->names));
	groups->state = fov_create(groups->ctx, "entry-0", &ops, groups);
	for (i = 0; i < size; i++) {
		snprintf(groups->names[i], BC_ID_BYTES, "database-%u", i);
		fov_group_set(groups->state, groups->names[i], members, ENDPOINTS);
		fov_rank_set(groups->state, groups->names[i], i < DUTIES ? 0 : FOV_NO_RANK);
		for (j = 0; j < ENDPOINTS; j++)
			report(groups, i, j);
	}
	return groups;
}

static void groups_teardown(void *data)
{
	struct groups *groups = data;

	fov_destroy(groups->state);
	bc_ctx_destroy(groups->ctx);
	free(groups->names);
	free(groups);
}

static void receive_report(void *data, uint64_t index)
{
	struct groups *groups = data;

	groups->now_us += 100;
	report(groups, (uint32_t)(index / ENDPOINTS * STRIDE % groups->size),
	       (uint32_t)(index % ENDPOINTS));
}

/* Ticks after each group that this proxy watches has sent a report. */
static void tick(void *data, uint64_t index)
{
	struct groups *groups = data;
	uint32_t i;

	groups->now_us += TICK_US;
	for (i = 0; i < DUTIES; i++)
		report(groups, i, (uint32_t)(index % ENDPOINTS));
	fov_tick(groups->state, groups->now_us);
}

static const struct bch_case cases[] = {
	{"failover.report",
	 {3, 30, 300, 3000, 5200},
	 true,
	 groups_setup,
	 receive_report,
	 groups_teardown},
	{"failover.tick", {3, 30, 300, 3000, 5200}, true, groups_setup, tick, groups_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
