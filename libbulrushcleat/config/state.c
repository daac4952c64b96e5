#include "config/cfg_lists.h"

#include <stdlib.h>
#include <string.h>

struct cfg_state {
	struct bc_ctx *ctx;
	const struct cfg_ops *ops;
	void *data;
	uint64_t revision;
	json_t *value;
	struct cfg_lists lists;
};

/* Creates a state without a configuration; NULL when out of memory. `ops` must outlive it. */
struct cfg_state *cfg_create(struct bc_ctx *ctx, const struct cfg_ops *ops, void *data)
{
	struct cfg_state *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ctx = ctx;
	state->ops = ops;
	state->data = data;
	return state;
}

/* Frees the state. NULL is allowed. */
void cfg_destroy(struct cfg_state *state)
{
	if (!state)
		return;
	json_decref(state->value);
	cfg_lists_free(&state->lists);
	free(state);
}

/* The revision in force, or 0. */
uint64_t cfg_revision(const struct cfg_state *state)
{
	return state->revision;
}

/*
 * Adopts a value if it is valid and its revision is greater than the one in force. BC_EAGAIN: it is
 * not greater. On any error the configuration in force stays.
 */
enum bc_status cfg_adopt(struct cfg_state *state, const json_t *value)
{
	const json_t *number = json_object_get(value, "revision");
	json_int_t revision = json_integer_value(number);
	struct cfg_lists lists;
	enum bc_status status;
	json_t *copy;

	if (!json_is_integer(number) || revision <= 0)
		return bc_fail(state->ctx, BC_EINVAL,
			       "configuration: revision is not a positive integer");
	if ((uint64_t)revision <= state->revision)
		return bc_fail(state->ctx, BC_EAGAIN,
			       "configuration: revision %lld is not greater than %llu",
			       (long long)revision, (unsigned long long)state->revision);
	status = cfg_lists_load(state->ctx, value, &lists);
	if (status != BC_OK)
		return status;
	copy = json_deep_copy(value);
	if (!copy) {
		cfg_lists_free(&lists);
		return bc_fail(state->ctx, BC_ENOMEM, "configuration: out of memory");
	}
	json_decref(state->value);
	cfg_lists_free(&state->lists);
	state->value = copy;
	state->lists = lists;
	state->revision = (uint64_t)revision;
	bc_gauge_set(state->ctx, "bulrushcleat_config_revision", NULL, (double)revision);
	if (state->ops && state->ops->adopted)
		state->ops->adopted(state->data, state->revision);
	return BC_OK;
}

/* The value in force (borrowed), or NULL. */
const json_t *cfg_value(const struct cfg_state *state)
{
	return state->value;
}

/* The customer with this name, or NULL. Valid until the next configuration is adopted. */
const struct cfg_customer *cfg_customer_find(const struct cfg_state *state, const char *name)
{
	return cfg_lists_customer(&state->lists, name);
}

/* The plan with this name, or NULL. Valid until the next configuration is adopted. */
const struct cfg_plan *cfg_plan_find(const struct cfg_state *state, const char *name)
{
	return cfg_lists_plan(&state->lists, name);
}

/* Whether the database is in the customer's list of databases. */
bool cfg_customer_may_use_database(const struct cfg_customer *customer, const char *database)
{
	uint32_t i;

	for (i = 0; i < customer->database_count; i++)
		if (strcmp(customer->databases[i], database) == 0)
			return true;
	return false;
}

/* The number of customers. */
size_t cfg_customer_count(const struct cfg_state *state)
{
	return state->lists.customer_count;
}

/* The customer at an index below cfg_customer_count(), in the order of names. */
const struct cfg_customer *cfg_customer_at(const struct cfg_state *state, size_t index)
{
	return &state->lists.customers[index];
}
