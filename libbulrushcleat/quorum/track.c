#include "quorum/quorum_internal.h"

#include <string.h>

/* The group of a database, or NULL. */
struct quo_group *quo_group_find(const struct quo_state *state, const char *database)
{
	return apr_hash_get(state->groups, database, APR_HASH_KEY_STRING);
}

/* The index of the group's member on that endpoint, or the number of members. */
size_t quo_member_index(const struct quo_group *group, const char *endpoint)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (strcmp(group->members[i].id, endpoint) == 0)
			break;
	return i;
}

/* The track of a term, or NULL. */
struct quo_track *quo_track_find(struct quo_group *group, uint64_t term)
{
	size_t i;

	for (i = 0; i < group->track_count; i++)
		if (group->tracks[i].term == term)
			return &group->tracks[i];
	return NULL;
}

/* Finds or adds the track of a term, dropping the oldest one; NULL if the term is older still. */
struct quo_track *quo_track_get(struct quo_group *group, uint64_t term)
{
	struct quo_track *track = quo_track_find(group, term);
	size_t i;

	if (track || term == 0)
		return track;
	for (i = 0; i < group->track_count; i++)
		if (group->tracks[i].term < term)
			break;
	if (i == QUO_TERMS_MAX)
		return NULL;
	if (group->track_count < QUO_TERMS_MAX)
		group->track_count++;
	memmove(&group->tracks[i + 1], &group->tracks[i],
		(group->track_count - i - 1) * sizeof(group->tracks[0]));
	memset(&group->tracks[i], 0, sizeof(group->tracks[0]));
	group->tracks[i].term = term;
	return &group->tracks[i];
}

/* The greatest value that a majority of the group's members reaches. */
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
void quo_track_update(const struct quo_group *group, struct quo_track *track)
{
	uint64_t confirmed = majority_value(group, track->held);

	/* A position that a majority held stays confirmed, whatever the members report later. */
	if (confirmed > track->confirmed)
		track->confirmed = confirmed;
	track->majority_unreplaced_us = majority_value(group, track->unreplaced_us);
}

/* Records that a member holds a position. {0, 0} is ignored. */
void quo_held_add(struct quo_group *group, size_t index, struct bc_position position)
{
	struct quo_track *track = quo_track_get(group, position.term);

	if (!track || track->held[index] >= position.pos)
		return;
	track->held[index] = position.pos;
	quo_track_update(group, track);
}
