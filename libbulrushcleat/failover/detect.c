#include "failover/failover_internal.h"

#include <string.h>

/* Minimum time between two FOV_FOLLOW orders to the same endpoint. */
#define FOV_FOLLOW_RETRY_US (500 * BC_US_PER_MS)

/* Whether the member answered a probe that was sent at most FOV_CONTACT_TIMEOUT_US ago. */
bool fov_member_responds(const struct fov_member *member, uint64_t now_us)
{
	return member->reported && member->last_probe_answered &&
	       now_us <= member->row_sent_us + FOV_CONTACT_TIMEOUT_US;
}

static bool is_majority(const struct fov_group *group, size_t count)
{
	return count > group->count / 2;
}

static size_t count_responding(const struct fov_group *group, int32_t except, uint64_t now_us)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < group->count; i++)
		if ((int32_t)i != except && fov_member_responds(&group->members[i], now_us))
			count++;
	return count;
}

/* Whether the member reports contact with the known primary within FOV_CONTACT_TIMEOUT_US. */
static bool has_primary_contact(const struct fov_group *group, const struct fov_member *member)
{
	const struct rte_row *row = &member->row;

	if (group->primary == FOV_NO_MEMBER || row->is_primary || row->term != group->term)
		return false;
	return strcmp(row->primary, group->members[group->primary].endpoint->id) == 0 &&
	       row->contact_ms * BC_US_PER_MS < FOV_CONTACT_TIMEOUT_US;
}

/*
 * Whether a majority of the responding members has lost contact with the primary. This keeps a
 * proxy that only lost its own connection to the primary from deposing it. The responding members
 * must be a majority of the group: fewer cannot confirm a new term, and their promises would only
 * keep them from following the primary.
 */
static bool majority_lost_primary(const struct fov_group *group, uint64_t now_us)
{
	size_t respond = 0;
	size_t missing = 0;
	size_t i;

	for (i = 0; i < group->count; i++) {
		if (!fov_member_responds(&group->members[i], now_us))
			continue;
		respond++;
		if (!has_primary_contact(group, &group->members[i]))
			missing++;
	}
	return is_majority(group, respond) && missing > respond / 2;
}

static void timer_update(uint64_t *since_us, bool holds, uint64_t now_us)
{
	if (!holds)
		*since_us = 0;
	else if (*since_us == 0)
		*since_us = now_us;
}

/* Whether another member could take over from a leaving primary. */
static bool successor_exists(const struct fov_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		const struct fov_member *member = &group->members[i];

		if ((int32_t)i != group->primary && !member->endpoint->leaving &&
		    fov_member_responds(member, now_us) && has_primary_contact(group, member))
			return true;
	}
	return false;
}

/* Updates the times since which the conditions for a promotion hold. Called at each tick. */
void fov_timers_update(struct fov_group *group, uint64_t now_us)
{
	const struct fov_member *primary =
		group->primary == FOV_NO_MEMBER ? NULL : &group->members[group->primary];
	size_t fenced = 0;
	size_t responding_fenced = 0;
	size_t i;

	for (i = 0; i < group->count; i++) {
		if (group->members[i].promised <= group->term)
			continue;
		fenced++;
		if (fov_member_responds(&group->members[i], now_us))
			responding_fenced++;
	}
	timer_update(&group->fenced_since_us,
		     is_majority(group, fenced) || (primary && primary->promised > group->term),
		     now_us);
	timer_update(&group->partly_fenced_since_us, responding_fenced > 0, now_us);
	/*
	 * An isolated proxy knows no other live proxy, so its own count must not suffice. It also
	 * has to reach a majority of the group without the primary.
	 */
	timer_update(&group->unreachable_since_us,
		     primary && group->unreachable > 0 && 2 * group->unreachable >= group->live &&
			     is_majority(group, count_responding(group, group->primary, now_us)),
		     now_us);
	timer_update(&group->leaving_since_us,
		     primary && primary->endpoint->leaving && successor_exists(group, now_us),
		     now_us);
}

static bool held_for(uint64_t since_us, uint64_t time_us, uint64_t now_us)
{
	return since_us != 0 && now_us >= since_us + time_us;
}

/* Returns why this proxy should order a promotion now, if at all. Each rank adds a delay. */
enum fov_reason fov_reason_find(struct fov_group *group, uint64_t now_us)
{
	uint64_t delay_us = (uint64_t)group->rank * FOV_RANK_DELAY_US;

	if (!is_majority(group, count_responding(group, FOV_NO_MEMBER, now_us)))
		return FOV_NO_REASON;
	if (held_for(group->primary_contact_us, FOV_CONTACT_TIMEOUT_US + delay_us, now_us) &&
	    majority_lost_primary(group, now_us))
		return FOV_SILENT;
	if (held_for(group->fenced_since_us, FOV_CONTACT_TIMEOUT_US + delay_us, now_us))
		return FOV_FENCED;
	if (held_for(group->unreachable_since_us, FOV_UNREACHABLE_US + delay_us, now_us))
		return FOV_UNREACHABLE;
	if (held_for(group->leaving_since_us, delay_us, now_us))
		return FOV_LEAVING;
	/*
	 * Members that promised a greater term can follow a primary only in a newer term. Starting
	 * one interrupts writes, so a promotion by another proxy is given time to complete first.
	 */
	if (held_for(group->partly_fenced_since_us, FOV_UNREACHABLE_US + delay_us, now_us))
		return FOV_PARTLY_FENCED;
	return FOV_NO_REASON;
}

static bool is_outdated(const struct fov_group *group, size_t index)
{
	const struct fov_member *member = &group->members[index];

	if ((int32_t)index == group->primary || member->promised > group->term)
		return false;
	return member->row.is_primary || member->row.term != group->term ||
	       strcmp(member->row.primary, group->members[group->primary].endpoint->id) != 0;
}

/* Orders members that follow an older term or no primary to follow the known primary. */
void fov_members_redirect(struct fov_group *group, uint64_t now_us)
{
	size_t i;

	if (group->primary == FOV_NO_MEMBER)
		return;
	for (i = 0; i < group->count; i++) {
		struct fov_member *member = &group->members[i];
		struct fov_call call = {.order = FOV_FOLLOW,
					.term = group->term,
					.primary = group->members[group->primary].endpoint->id};

		timer_update(&member->outdated_since_us,
			     fov_member_responds(member, now_us) && is_outdated(group, i), now_us);
		if (!held_for(member->outdated_since_us, (uint64_t)group->rank * FOV_RANK_DELAY_US,
			      now_us) ||
		    member->follow_call || now_us < member->next_follow_us)
			continue;
		member->next_follow_us = now_us + FOV_FOLLOW_RETRY_US;
		fov_call_send(group, i, &call, now_us);
	}
}
