#include "cli/cli.h"

#include <string.h>

/* Attempts to reach the platform, in all. With the pauses they span an outage of about 6 s. */
#define ATTEMPTS_MAX 6

/* The platform's object "config" as read. */
struct config_object {
	uint64_t version;
	uint64_t revision;
	json_t *value; /* NULL if there is no object */
};

/* Reads the object; retries while there is no answer. BC_EIO if all attempts get none. */
static enum bc_status read_current(struct bc_ctx *ctx, const struct cli_store *store,
				   struct config_object *current)
{
	const json_t *revision;
	enum bc_status status = BC_EIO;
	uint32_t attempt;

	*current = (struct config_object){0};
	for (attempt = 1; attempt <= ATTEMPTS_MAX && status == BC_EIO; attempt++) {
		if (attempt > 1)
			store->pause(store->data, attempt - 1);
		status = store->get(store->data, &current->version, &current->value);
	}
	if (status == BC_ENOTFOUND) {
		*current = (struct config_object){0};
		return BC_OK;
	}
	if (status != BC_OK)
		return status;
	revision = json_object_get(current->value, "revision");
	if (!json_is_integer(revision) || json_integer_value(revision) <= 0)
		return bc_fail(ctx, BC_EINVAL, "the platform's object config has no revision");
	current->revision = (uint64_t)json_integer_value(revision);
	return BC_OK;
}

static bool has_writer(const json_t *value, const char *writer)
{
	const json_t *history = json_object_get(value, "history");
	size_t i;

	for (i = 0; i < json_array_size(history); i++) {
		const char *other =
			json_string_value(json_object_get(json_array_get(history, i), "writer"));

		if (other && strcmp(other, writer) == 0)
			return true;
	}
	return false;
}

/* Makes the next value: the new lists, the next revision, and the history of the latest updates. */
static json_t *next_value(const struct config_object *current, const struct cli_update *update)
{
	const json_t *old = json_object_get(current->value, "history");
	json_int_t revision = (json_int_t)current->revision + 1;
	json_t *history = json_array();
	size_t count = json_array_size(old);
	size_t i = count >= CFG_HISTORY_MAX ? count - CFG_HISTORY_MAX + 1 : 0;

	for (; i < count; i++)
		json_array_append(history, json_array_get(old, i));
	json_array_append_new(
		history, json_pack("{s:I,s:s}", "revision", revision, "writer", update->writer));
	return json_pack("{s:I,s:s,s:o,s:O,s:O}", "revision", revision, "writer", update->writer,
			 "history", history, "plans", json_object_get(update->lists, "plans"),
			 "customers", json_object_get(update->lists, "customers"));
}

static enum bc_status report_conflict(struct bc_ctx *ctx, struct cli_update *update,
				      const json_t *base, const struct config_object *now)
{
	update->revision = now->revision;
	if (base)
		update->theirs = cfg_lists_diff(base, now->value);
	update->ours = cfg_lists_diff(now->value, update->lists);
	return bc_fail(ctx, BC_ECONFLICT, "another update came first; revision %llu is in force",
		       (unsigned long long)now->revision);
}

/*
 * Finds out whether an update without a positive answer was applied. BC_EAGAIN: not so far; since
 * it is conditional on the version, sending it again cannot apply it twice.
 */
static enum bc_status resolve_outcome(struct bc_ctx *ctx, const struct cli_store *store,
				      struct cli_update *update, const struct config_object *base)
{
	struct config_object now;
	enum bc_status status = read_current(ctx, store, &now);

	if (status == BC_OK) {
		if (has_writer(now.value, update->writer))
			status = BC_OK;
		else if (now.version == base->version)
			status = BC_EAGAIN;
		else
			status = report_conflict(ctx, update, base->value, &now);
	}
	json_decref(now.value);
	return status;
}

static enum bc_status send_update(struct bc_ctx *ctx, const struct cli_store *store,
				  struct cli_update *update, const struct config_object *base)
{
	json_t *value = next_value(base, update);
	enum bc_status status = BC_EAGAIN;
	uint32_t attempt;

	update->revision = base->revision + 1;
	for (attempt = 1; attempt <= ATTEMPTS_MAX && status == BC_EAGAIN; attempt++) {
		if (attempt > 1)
			store->pause(store->data, attempt - 1);
		status = store->put(store->data, base->version, value);
		/* libcurl may have sent it twice; the conflict can be with this same update. */
		if (status == BC_EIO || status == BC_ECONFLICT)
			status = resolve_outcome(ctx, store, update, base);
	}
	json_decref(value);
	if (status == BC_EAGAIN || status == BC_EIO) {
		update->maybe_applied = true;
		return bc_fail(ctx, BC_EIO,
			       "the platform does not answer; the update may have been applied");
	}
	return status;
}

/*
 * Stores the lists as the next revision. BC_ECONFLICT: another update came first, see `theirs` and
 * `ours`. BC_EIO: the platform cannot be reached. BC_EINVAL: the object is invalid, or the update
 * was rejected.
 */
enum bc_status cli_update_run(struct bc_ctx *ctx, const struct cli_store *store,
			      struct cli_update *update)
{
	enum bc_status status;
	struct config_object base;
	json_t *diff;

	status = read_current(ctx, store, &base);
	if (status == BC_EIO)
		status = bc_fail(ctx, BC_EIO, "the platform cannot be reached; nothing changed");
	if (status != BC_OK) {
		json_decref(base.value);
		return status;
	}
	diff = cfg_lists_diff(base.value, update->lists);
	if (update->if_revision >= 0 && (uint64_t)update->if_revision != base.revision) {
		status = report_conflict(ctx, update, NULL, &base);
	} else if (base.value && json_array_size(diff) == 0) {
		update->unchanged = true;
		update->revision = base.revision;
	} else {
		status = send_update(ctx, store, update, &base);
	}
	json_decref(diff);
	json_decref(base.value);
	return status;
}

/* Releases the results. */
void cli_update_free(struct cli_update *update)
{
	json_decref(update->theirs);
	json_decref(update->ours);
	update->theirs = NULL;
	update->ours = NULL;
}
