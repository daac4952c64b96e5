#include "quorum/quorum_internal.h"

#include <string.h>

/* Returns the group of a database, or NULL. */
struct quo_group *quo_group_find(const struct quo_state *state, const char *database)
{
	return apr_hash_get(state->groups, database, APR_HASH_KEY_STRING);
}

/* Returns the index of the group's member on that endpoint, or the number of members. */
size_t quo_member_index(const struct quo_group *group, const char *endpoint)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (strcmp(group->members[i].id, endpoint) == 0)
			break;
	return i;
}

/* Returns the progress of a term, or NULL. */
struct quo_progress *quo_progress_find(struct quo_group *group, uint64_t term)
{
	size_t i;

	for (i = 0; i < group->progress_count; i++)
		if (group->progress_by_term[i].term == term)
			return &group->progress_by_term[i];
	return NULL;
}

/*
 * Finds or adds the progress of a term, dropping that of the oldest term if all are in use. Returns
 * NULL for term 0, and if the term is older than all that are in use.
 */
struct quo_progress *quo_progress_get(struct quo_group *group, uint64_t term)
{
	struct quo_progress *progress = quo_progress_find(group, term);
	size_t i;

	if (progress || term == 0)
		return progress;
	for (i = 0; i < group->progress_count; i++)
		if (group->progress_by_term[i].term < term)
			break;
	if (i == QUO_TERMS_MAX)
		return NULL;
	if (group->progress_count < QUO_TERMS_MAX)
		group->progress_count++;
	memmove(&group->progress_by_term[i + 1], &group->progress_by_term[i],
		(group->progress_count - i - 1) * sizeof(group->progress_by_term[0]));
	memset(&group->progress_by_term[i], 0, sizeof(group->progress_by_term[0]));
	group->progress_by_term[i].term = term;
	return &group->progress_by_term[i];
}

/* Returns the greatest value that a majority of the group's members has reached. */
static uint64_t majority_value(const struct quo_group *group, const uint64_t *values)
{
	uint64_t sorted[RTE_GROUP_ENDPOINTS_MAX];
	size_t i;
	size_t k;

	for (i = 0; i < group->count; i++) {
		for (k = i; k > 0 && sorted[k - 1] < values[i]; k--)
			sorted[k] = sorted[k - 1];
		sorted[k] = values[i];
	}
	return group->count ? sorted[group->count / 2] : 0;
}

/* Recomputes what a majority of the members has reached. */
void quo_progress_update(const struct quo_group *group, struct quo_progress *progress)
{
	uint64_t confirmed = majority_value(group, progress->held);

	/* A position held by a majority stays confirmed, whatever the members report later. */
	if (confirmed > progress->confirmed)
		progress->confirmed = confirmed;
	progress->majority_unfenced_us = majority_value(group, progress->unfenced_us);
}

/* Records that a member holds a position. {0, 0} is ignored. */
void quo_held_record(struct quo_group *group, size_t index, struct bc_position position)
{
	struct quo_progress *progress = quo_progress_get(group, position.term);

	if (!progress || progress->held[index] >= position.pos)
		return;
	progress->held[index] = position.pos;
	quo_progress_update(group, progress);
}
