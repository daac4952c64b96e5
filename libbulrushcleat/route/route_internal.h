#ifndef BC_ROUTE_INTERNAL_H
#define BC_ROUTE_INTERNAL_H

#include "route/route.h"

#include <apr_hash.h>
#include <apr_pools.h>

#define RTE_SAMPLES_MAX 256U
#define RTE_SAMPLES_DENSE (RTE_SAMPLES_MAX / 2)
#define RTE_SAMPLE_SPACING_US (100 * BC_US_PER_MS)

/* At `as_of_us` the log of the primary of `position.term` ended at or before `position`. */
struct rte_sample {
	uint64_t as_of_us;
	struct bc_position position;
};

/* A ring ordered by time, and so by position. Grows up to RTE_SAMPLES_MAX. */
struct rte_samples {
	struct rte_sample *entries;
	uint32_t capacity;
	uint32_t start;
	uint32_t count;
};

struct rte_node {
	struct rte_endpoint endpoint;
	uint64_t leaving_since_us; /* first choice after it began to leave; 0: not leaving */
	uint32_t distance;	   /* 0 own failure domain, 1 own region, 2 another region */
	uint32_t in_flight;
	bool unreachable;
};

struct rte_member {
	struct rte_node *node;
	bool reported;
	bool learned; /* named as the primary by others since its own last report */
	struct rte_row row;
	uint64_t row_sent_us;
	uint64_t unreplaced_us; /* newest ask time of a report that promised no term above known */
	bool fresh;
	uint64_t fresh_us; /* the copy has every write confirmed by then */
};

struct rte_group {
	char database[BC_ID_BYTES];
	uint64_t term; /* greatest known */
	char primary[BC_ID_BYTES];
	size_t count;
	struct rte_member members[RTE_GROUP_ENDPOINTS_MAX];
	struct rte_samples samples;
};

/* One loaded groups object; all but the samples lives in its pool. */
struct rte_view {
	apr_pool_t *pool;
	struct rte_node *nodes;
	size_t node_count;
	struct rte_group *groups;
	size_t group_count;
	apr_hash_t *node_by_id;
	apr_hash_t *group_by_database;
};

struct rte_table {
	struct bc_ctx *ctx;
	char own_domain[BC_ID_BYTES];
	char own_region[BC_ID_BYTES];
	struct rte_view view;
};

struct rte_group *rte_group_find(const struct rte_table *table, const char *database);
struct rte_node *rte_node_find(const struct rte_table *table, const char *id);
struct rte_member *rte_member_find(struct rte_group *group, const char *endpoint);

enum bc_status rte_view_build(struct rte_table *table, struct rte_view *view, const json_t *groups);
void rte_view_carry_over(struct rte_view *view, struct rte_view *old);
void rte_view_free(struct rte_view *view);

void rte_samples_take(struct rte_group *group);
void rte_member_prove(const struct rte_group *group, struct rte_member *member);
uint64_t rte_member_age(const struct rte_member *member, uint64_t now_us);

#endif
