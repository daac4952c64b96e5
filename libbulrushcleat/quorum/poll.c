#include "quorum/quorum_internal.h"

#include <stddef.h>

/* Delay before the next poll after one that failed or ended early without progress. */
#define QUO_RETRY_US (50 * BC_US_PER_MS)

/* Returns the waiter that embeds the node, or NULL. */
struct quo_waiter *quo_waiter_from_queue_node(struct quo_node *node)
{
	return node ? (struct quo_waiter *)((char *)node - offsetof(struct quo_waiter, queue_node))
		    : NULL;
}

/* Whether a new report of the member can help confirm the primary for a waiting read. */
static bool primary_check_needed(struct quo_group *group, size_t index)
{
	const struct quo_waiter *waiter =
		quo_waiter_from_queue_node(quo_node_last(group->primary_unconfirmed));
	const struct quo_progress *progress =
		waiter ? quo_progress_find(group, waiter->position.term) : NULL;

	return progress && progress->unfenced_us[index] < waiter->primary_check_since_us;
}

/*
 * Sends a poll to a member if its answer can help a waiter. The poll asks for the greatest position
 * that a waiter needs. If a read needs to know that its primary was not replaced, the endpoint
 * answers without waiting for the position.
 */
static void member_poll(struct quo_group *group, size_t index, uint64_t now_us)
{
	struct quo_state *state = group->state;
	struct quo_member *member = &group->members[index];
	const struct quo_waiter *highest =
		quo_waiter_from_queue_node(quo_node_last(group->unconfirmed));
	const struct quo_progress *progress =
		highest ? quo_progress_find(group, highest->position.term) : NULL;
	bool checks_primary = primary_check_needed(group, index);

	if (member->polling || now_us < member->retry_at_us)
		return;
	if (!checks_primary && (!progress || progress->held[index] >= highest->position.pos))
		return;
	if (!progress)
		highest = quo_waiter_from_queue_node(quo_node_last(group->primary_unconfirmed));
	member->polling = true;
	member->requested = highest->position;
	member->poll_sent_us = now_us;
	member->checks_primary = checks_primary;
	state->ops.poll(state->data, group->database, member->id, member->requested,
			checks_primary ? 0 : QUO_POLL_WAIT_MS);
}

/* Polls the members whose answers can help the group's waiters. */
void quo_group_poll(struct quo_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		member_poll(group, i, now_us);
}

/*
 * Ends the outstanding poll to an endpoint. After a failure, or an early answer without the
 * requested information, the next poll is delayed, so that polls never run in a tight loop.
 */
void quo_poll_ended(struct quo_state *state, const char *database, const char *endpoint,
		    bool answered, uint64_t now_us)
{
	struct quo_group *group = quo_group_find(state, database);
	size_t index = group ? quo_member_index(group, endpoint) : 0;
	const struct quo_progress *progress;
	struct quo_member *member;
	bool useful;

	if (!group || index == group->count || !group->members[index].polling)
		return;
	member = &group->members[index];
	member->polling = false;
	progress = quo_progress_find(group, member->requested.term);
	useful = progress &&
		 (progress->held[index] >= member->requested.pos ||
		  (member->checks_primary && progress->unfenced_us[index] >= member->poll_sent_us));
	if (!answered || (!useful && now_us < member->poll_sent_us + QUO_RETRY_US))
		member->retry_at_us = now_us + QUO_RETRY_US;
	quo_group_poll(group, now_us);
}
