#include "quorum/quorum_internal.h"

#include <stddef.h>

/* Delay before the next poll of an endpoint whose last one failed or ended early without news. */
#define QUO_RETRY_US (50 * BC_US_PER_MS)

/* The waiter that embeds the node, or NULL. */
struct quo_waiter *quo_waiter_by_state(struct quo_node *node)
{
	return node ? (struct quo_waiter *)((char *)node - offsetof(struct quo_waiter, by_state))
		    : NULL;
}

/* Whether a member's report to a new poll can bring a waiter of the unproven set nearer its end. */
static bool proof_needed(struct quo_group *group, size_t index)
{
	const struct quo_waiter *waiter = quo_waiter_by_state(quo_node_last(group->unproven));
	const struct quo_track *track =
		waiter ? quo_track_find(group, waiter->position.term) : NULL;

	return track && track->unreplaced_us[index] < waiter->since_us;
}

/*
 * Sends a poll to a member that may help. It asks for the greatest position waiting; if a read
 * waits for proof that its primary was not replaced, the poll does not wait for the position.
 */
static void member_poll(struct quo_group *group, size_t index, uint64_t now_us)
{
	struct quo_state *state = group->state;
	struct quo_member *member = &group->members[index];
	const struct quo_waiter *highest = quo_waiter_by_state(quo_node_last(group->unconfirmed));
	const struct quo_track *track =
		highest ? quo_track_find(group, highest->position.term) : NULL;
	bool proof = proof_needed(group, index);

	if (member->polling || now_us < member->retry_at_us)
		return;
	if (!proof && (!track || track->held[index] >= highest->position.pos))
		return;
	if (!track)
		highest = quo_waiter_by_state(quo_node_last(group->unproven));
	member->polling = true;
	member->asked = highest->position;
	member->poll_sent_us = now_us;
	member->proof = proof;
	state->ops.poll(state->data, group->database, member->id, member->asked,
			proof ? 0 : QUO_POLL_WAIT_MS);
}

/* Sends the polls that may help the group's waiters. */
void quo_group_poll(struct quo_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		member_poll(group, i, now_us);
}

/*
 * Ends the outstanding poll to an endpoint. After a failure, or an answer that came early and
 * without what was asked for, the next poll is delayed, so that polls never run in a tight loop.
 */
void quo_poll_ended(struct quo_state *state, const char *database, const char *endpoint,
		    bool answered, uint64_t now_us)
{
	struct quo_group *group = quo_group_find(state, database);
	size_t index = group ? quo_member_index(group, endpoint) : 0;
	const struct quo_track *track;
	struct quo_member *member;
	bool useful;

	if (!group || index == group->count || !group->members[index].polling)
		return;
	member = &group->members[index];
	member->polling = false;
	track = quo_track_find(group, member->asked.term);
	useful = track && (track->held[index] >= member->asked.pos ||
			   (member->proof && track->unreplaced_us[index] >= member->poll_sent_us));
	if (!answered || (!useful && now_us < member->poll_sent_us + QUO_RETRY_US))
		member->retry_at_us = now_us + QUO_RETRY_US;
	quo_group_poll(group, now_us);
}
