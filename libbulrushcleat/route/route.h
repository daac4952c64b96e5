#ifndef BC_ROUTE_H
#define BC_ROUTE_H

/* What this proxy knows of each database group, and the choice of an endpoint. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RTE_GROUP_ENDPOINTS_MAX 7
#define RTE_WAIT_US (20 * BC_US_PER_MS)
#define RTE_AGE_ANY UINT64_MAX
#define RTE_LEAVING_GRACE_US (3 * BC_US_PER_S)

/* One database on one endpoint, as the endpoint reported it. */
struct rte_row {
	bool is_primary;
	uint64_t term;
	uint64_t promised;
	struct bc_position log;
	struct bc_position applied;
	char primary[BC_ID_BYTES]; /* empty if not known */
	uint32_t contact_ms;	   /* since it last heard from its primary */
};

struct rte_endpoint {
	char id[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint32_t slots;
	uint32_t connections;
	bool leaving;
};

struct rte_want {
	const char *database;
	bool write;
	bool strong;		 /* a read of the primary, confirmed afterwards */
	bool replicas_allowed;	 /* by the customer's plan */
	uint64_t max_age_us;	 /* RTE_AGE_ANY for no limit */
	struct bc_position mark; /* the session's mark */
	const char *exclude[RTE_GROUP_ENDPOINTS_MAX]; /* endpoints already tried; NULL ends */
};

struct rte_choice {
	char endpoint[BC_ID_BYTES];
	uint64_t term;	 /* term of the group, for a statement that needs the primary */
	bool is_primary; /* the endpoint is the primary */
	uint64_t age_us; /* proven age of the data; RTE_AGE_ANY if not proven */
};

enum rte_verdict {
	RTE_CHOSEN,
	RTE_WAIT, /* no endpoint now, one may do after RTE_WAIT_US */
	RTE_NONE, /* no endpoint is known to serve this */
};

struct rte_table;

struct rte_table *rte_create(struct bc_ctx *ctx, const char *own_domain, const char *own_region);
void rte_destroy(struct rte_table *table);

/*
 * Takes the platform's groups object: {"endpoints":[{"id","address","domain","region","slots",
 * "connections"}], "groups":[{"database","members":[ID]}]}. Knowledge of endpoints and groups that
 * stay is kept. BC_EINVAL leaves the table unchanged.
 */
enum bc_status rte_groups_load(struct rte_table *table, const json_t *groups);

size_t rte_endpoint_count(const struct rte_table *table);
const struct rte_endpoint *rte_endpoint_at(const struct rte_table *table, size_t index);
const struct rte_endpoint *rte_endpoint_find(const struct rte_table *table, const char *id);
size_t rte_group_count(const struct rte_table *table);
const char *rte_group_at(const struct rte_table *table, size_t index);
/* Fills `members` and returns their number; 0 for an unknown database. */
size_t rte_group_members(const struct rte_table *table, const char *database,
			 const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX]);

/*
 * Sets the leaving flag. A leaving endpoint is not chosen for new work while another may do, and
 * not at all once RTE_LEAVING_GRACE_US have passed.
 */
void rte_leaving_set(struct rte_table *table, const char *endpoint, bool leaving);

/* Parses one row of the endpoints' JSON. BC_EINVAL if a field is missing or of another type. */
enum bc_status rte_row_parse(struct bc_ctx *ctx, const json_t *json, struct rte_row *row);
/* A report sent for at `sent_us` and received at `now_us`. */
void rte_report(struct rte_table *table, const char *endpoint, const char *database,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us);
/* The endpoint did not answer; it is not chosen until it reports again. */
void rte_unreachable(struct rte_table *table, const char *endpoint, uint64_t now_us);
/* A primary learned from a peer or from a refused statement; ignored if the term is not newer. */
void rte_primary_learn(struct rte_table *table, const char *database, uint64_t term,
		       const char *endpoint);
/* The known primary and its term; false if none. */
bool rte_primary_get(const struct rte_table *table, const char *database, char primary[BC_ID_BYTES],
		     uint64_t *term);
/* The proven age of an endpoint's copy, or RTE_AGE_ANY. */
uint64_t rte_age(const struct rte_table *table, const char *endpoint, const char *database,
		 uint64_t now_us);

/* Statements in flight, for the choice among equals. */
void rte_started(struct rte_table *table, const char *endpoint);
void rte_finished(struct rte_table *table, const char *endpoint);

enum rte_verdict rte_choose(struct rte_table *table, const struct rte_want *want, uint64_t now_us,
			    struct rte_choice *choice);

#ifdef __cplusplus
}
#endif

#endif
