#ifndef BC_CFG_LISTS_H
#define BC_CFG_LISTS_H

/* The lists of plans and customers, as arrays sorted by name. */

#include "config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CFG_PLAN_CONNECTIONS_MAX 100000
#define CFG_STALENESS_MAX_MS 86400000

struct cfg_lists {
	struct cfg_plan *plans;
	size_t plan_count;
	struct cfg_customer *customers;
	size_t customer_count;
};

/* Loads and checks "plans" and "customers" of an object. On an error *lists is left empty. */
enum bc_status cfg_lists_load(struct bc_ctx *ctx, const json_t *value, struct cfg_lists *lists);
void cfg_lists_free(struct cfg_lists *lists);
const struct cfg_plan *cfg_lists_plan(const struct cfg_lists *lists, const char *name);
const struct cfg_customer *cfg_lists_customer(const struct cfg_lists *lists, const char *name);
/* Returns {"plans":[...], "customers":[...]} as a new reference. */
json_t *cfg_lists_json(const struct cfg_lists *lists);
void cfg_lists_sort(struct cfg_lists *lists);

#ifdef __cplusplus
}
#endif

#endif
