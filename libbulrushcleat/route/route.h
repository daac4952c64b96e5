#ifndef BC_ROUTE_H
#define BC_ROUTE_H

/* Keeps the reported state of each database group and chooses the endpoint for a statement. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RTE_GROUP_ENDPOINTS_MAX 7
/* Time after which rte_choose() is worth calling again when it returned RTE_WAIT. */
#define RTE_WAIT_US (20 * BC_US_PER_MS)
/* As a limit: any age is accepted. As an age: no upper bound is proven. */
#define RTE_AGE_ANY UINT64_MAX
/* A leaving endpoint stays usable this long if no other one is available. */
#define RTE_LEAVING_GRACE_US (3 * BC_US_PER_S)

/* State of one database on one endpoint, as reported by the endpoint. */
struct rte_row {
	bool is_primary;
	uint64_t term;
	uint64_t promised;	/* greatest term that the endpoint has promised to a candidate */
	struct bc_position log; /* last log entry */
	struct bc_position applied; /* last applied log entry */
	char primary[BC_ID_BYTES];  /* empty if not known */
	uint32_t contact_ms;	    /* time since the last message from its primary */
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

/* The requirements of one statement. */
struct rte_criteria {
	const char *database;
	bool write;
	bool strong; /* read that only the primary may serve; confirmed by a majority afterwards */
	bool replicas_allowed;	 /* according to the customer's plan */
	uint64_t max_age_us;	 /* RTE_AGE_ANY for no limit */
	struct bc_position mark; /* position that the data must include for session consistency */
	const char *exclude[RTE_GROUP_ENDPOINTS_MAX]; /* already tried; ends at the first NULL */
};

struct rte_choice {
	char endpoint[BC_ID_BYTES];
	uint64_t term;	 /* term of the group; sent with statements that need the primary */
	bool is_primary; /* the endpoint is the primary */
	uint64_t age_us; /* proven upper bound of the age of the data, or RTE_AGE_ANY */
};

enum rte_choose_result {
	RTE_CHOSEN,
	RTE_WAIT, /* no endpoint is eligible now; try again after RTE_WAIT_US */
	RTE_NONE, /* unknown database, or all members are excluded */
};

struct rte_table;

struct rte_table *rte_create(struct bc_ctx *ctx, const char *own_domain, const char *own_region);
void rte_destroy(struct rte_table *table);

/*
 * Loads the platform's groups object: {"endpoints":[{"id","address","domain","region","slots",
 * "connections"}], "groups":[{"database","members":[ID]}]}. The state of endpoints and groups that
 * are still listed is kept. BC_EINVAL leaves the table unchanged.
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
 * Sets the leaving flag. A leaving endpoint is chosen for new work only if no other one is
 * eligible, and no longer at all after RTE_LEAVING_GRACE_US.
 */
void rte_leaving_set(struct rte_table *table, const char *endpoint, bool leaving);

/* Parses one database's row of an endpoint's status. BC_EINVAL if a field is missing or invalid. */
enum bc_status rte_row_parse(struct bc_ctx *ctx, const json_t *json, struct rte_row *row);
/* Records a report that was requested at `sent_us` and received at `now_us`. */
void rte_report(struct rte_table *table, const char *endpoint, const char *database,
		const struct rte_row *row, uint64_t sent_us, uint64_t now_us);
/* Records that the endpoint did not answer. It is not chosen until its next report. */
void rte_unreachable(struct rte_table *table, const char *endpoint, uint64_t now_us);
/*
 * Records a primary named by a peer or in the refusal of a statement. Ignored for an older term and
 * for the known term once its primary is known.
 */
void rte_primary_learn(struct rte_table *table, const char *database, uint64_t term,
		       const char *endpoint);
/* Gets the known primary and its term; false if none is known. */
bool rte_primary_get(const struct rte_table *table, const char *database, char primary[BC_ID_BYTES],
		     uint64_t *term);
/* Returns the proven upper bound of the age of an endpoint's copy, or RTE_AGE_ANY. */
uint64_t rte_age(const struct rte_table *table, const char *endpoint, const char *database,
		 uint64_t now_us);

/* Count the statements in flight, which decide between otherwise equal endpoints. */
void rte_statement_started(struct rte_table *table, const char *endpoint);
void rte_statement_finished(struct rte_table *table, const char *endpoint);

enum rte_choose_result rte_choose(struct rte_table *table, const struct rte_criteria *criteria,
				  uint64_t now_us, struct rte_choice *choice);

#ifdef __cplusplus
}
#endif

#endif
