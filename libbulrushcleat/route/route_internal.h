#ifndef BC_ROUTE_INTERNAL_H
#define BC_ROUTE_INTERNAL_H

#include "route/route.h"

#include <apr_hash.h>
#include <apr_pools.h>

#define RTE_SAMPLES_MAX 256U
/* With this many samples or more, new ones are kept at least RTE_SAMPLE_SPACING_US apart. */
#define RTE_SAMPLES_THINNING_MIN (RTE_SAMPLES_MAX / 2)
#define RTE_SAMPLE_SPACING_US (100 * BC_US_PER_MS)

/* At `as_of_us` the log of the primary of `position.term` ended at or before `position`. */
struct rte_sample {
	uint64_t as_of_us;
	struct bc_position position;
};

/* A ring buffer in order of time, and therefore of position. Grows up to RTE_SAMPLES_MAX. */
struct rte_samples {
	struct rte_sample *entries;
	uint32_t capacity;
	uint32_t start;
	uint32_t count;
};

/* An endpoint with this proxy's state for it, shared by the groups that have a member on it. */
struct rte_node {
	struct rte_endpoint endpoint;
	uint64_t leaving_seen_us; /* first rte_choose() that saw it leaving; 0: none yet */
	uint32_t distance;	  /* 0: own failure domain, 1: own region, 2: another region */
	uint32_t in_flight;
	bool unreachable;
};

/* A group's copy of the database on one endpoint. */
struct rte_member {
	struct rte_node *node;
	bool reported;
	bool learned; /* named as primary by a peer or a refused statement after its last report */
	struct rte_row row;
	uint64_t row_sent_us; /* when `row` was requested */
	uint64_t unfenced_us; /* newest request time of a report that promises no greater term */
	bool has_fresh_as_of;
	uint64_t fresh_as_of_us; /* the copy has all writes that were confirmed by then */
};

struct rte_group {
	char database[BC_ID_BYTES];
	uint64_t term; /* greatest known */
	char primary[BC_ID_BYTES];
	size_t count;
	struct rte_member members[RTE_GROUP_ENDPOINTS_MAX];
	struct rte_samples samples;
};

/* A loaded groups object. Its memory comes from the pool, except for the samples. */
struct rte_topology {
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
	struct rte_topology topology;
};

struct rte_group *rte_group_find(const struct rte_table *table, const char *database);
struct rte_node *rte_node_find(const struct rte_table *table, const char *id);
struct rte_member *rte_member_find(struct rte_group *group, const char *endpoint);

enum bc_status rte_topology_build(struct rte_table *table, struct rte_topology *topology,
				  const json_t *groups);
void rte_topology_inherit(struct rte_topology *topology, struct rte_topology *old);
void rte_topology_free(struct rte_topology *topology);

void rte_samples_update(struct rte_group *group);
void rte_member_update_fresh(const struct rte_group *group, struct rte_member *member);
uint64_t rte_member_age(const struct rte_member *member, uint64_t now_us);

#endif
