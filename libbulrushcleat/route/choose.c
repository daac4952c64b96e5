#include "route/route_internal.h"

#include <string.h>

static bool is_excluded(const struct rte_criteria *criteria, const char *endpoint)
{
	size_t i;

	for (i = 0; i < RTE_GROUP_ENDPOINTS_MAX && criteria->exclude[i]; i++)
		if (strcmp(criteria->exclude[i], endpoint) == 0)
			return true;
	return false;
}

/* A leaving endpoint stays usable for a grace period, so that another one can take over. */
static bool leaving_grace_over(const struct rte_node *node, uint64_t now_us)
{
	return node->endpoint.leaving && node->leaving_seen_us &&
	       now_us >= node->leaving_seen_us + RTE_LEAVING_GRACE_US;
}

static bool is_available(const struct rte_criteria *criteria, const struct rte_member *member,
			 uint64_t now_us)
{
	return !member->node->unreachable && !leaving_grace_over(member->node, now_us) &&
	       !is_excluded(criteria, member->node->endpoint.id);
}

/*
 * Whether the member can serve as the primary of the known term. A session mark of a greater term
 * shows that the known primary has been replaced. A primary that promised a greater term accepts no
 * writes.
 */
static bool primary_is_eligible(const struct rte_group *group, const struct rte_criteria *criteria,
				const struct rte_member *member, uint64_t now_us)
{
	if (!is_available(criteria, member, now_us) || criteria->mark.term > group->term)
		return false;
	if (member->learned)
		return true;
	if (!member->reported || !member->row.is_primary || member->row.term != group->term)
		return false;
	return !criteria->write || member->row.promised <= member->row.term;
}

/*
 * Whether the member may serve this read as a replica. A copy whose last entry is of an older term
 * may hold entries that were never confirmed, so it is eligible only if its age is proven. A
 * replaced primary is never eligible.
 */
static bool replica_is_eligible(const struct rte_group *group, const struct rte_criteria *criteria,
				const struct rte_member *member, uint64_t now_us)
{
	uint64_t age_us = rte_member_age(member, now_us);

	if (!member->reported || member->row.is_primary || !is_available(criteria, member, now_us))
		return false;
	if (!bc_position_covers(member->row.applied, criteria->mark))
		return false;
	if (member->row.applied.term != group->term && age_us == RTE_AGE_ANY)
		return false;
	return criteria->max_age_us == RTE_AGE_ANY || age_us <= criteria->max_age_us;
}

/* Whether `a` is preferred to `b`: not leaving, then nearer, then fewer statements in flight. */
static bool is_preferred(const struct rte_member *a, const struct rte_member *b)
{
	if (!b)
		return true;
	if (a->node->endpoint.leaving != b->node->endpoint.leaving)
		return !a->node->endpoint.leaving;
	if (a->node->distance != b->node->distance)
		return a->node->distance < b->node->distance;
	return a->node->in_flight < b->node->in_flight;
}

static const struct rte_member *replica_choose(const struct rte_group *group,
					       const struct rte_criteria *criteria,
					       const struct rte_member *primary, uint64_t now_us)
{
	const struct rte_member *best = NULL;
	size_t i;

	if (criteria->write || criteria->strong || !criteria->replicas_allowed)
		return NULL;
	for (i = 0; i < group->count; i++) {
		const struct rte_member *member = &group->members[i];

		if (member != primary && replica_is_eligible(group, criteria, member, now_us) &&
		    is_preferred(member, best))
			best = member;
	}
	return best;
}

/* Waiting can help as long as a member is not excluded: it may become eligible. */
static enum rte_choose_result result_without_choice(const struct rte_group *group,
						    const struct rte_criteria *criteria)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (!is_excluded(criteria, group->members[i].node->endpoint.id))
			return RTE_WAIT;
	return RTE_NONE;
}

static void record_leaving_times(struct rte_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		struct rte_node *node = group->members[i].node;

		if (node->endpoint.leaving && !node->leaving_seen_us)
			node->leaving_seen_us = now_us;
	}
}

/*
 * Chooses an endpoint for a statement among the members of its group. Replicas are preferred for
 * reads that may use them; the primary serves what no replica can. Returns RTE_WAIT while a
 * promotion, a report or replication may still make a member eligible, and RTE_NONE for an unknown
 * database or when all members are excluded. `choice` is set only with RTE_CHOSEN.
 */
enum rte_choose_result rte_choose(struct rte_table *table, const struct rte_criteria *criteria,
				  uint64_t now_us, struct rte_choice *choice)
{
	struct rte_group *group = rte_group_find(table, criteria->database);
	const struct rte_member *primary;
	const struct rte_member *chosen;

	if (!group)
		return RTE_NONE;
	record_leaving_times(group, now_us);
	primary = rte_member_find(group, group->primary);
	chosen = replica_choose(group, criteria, primary, now_us);
	if (primary && primary_is_eligible(group, criteria, primary, now_us) &&
	    (!chosen || (chosen->node->endpoint.leaving && !primary->node->endpoint.leaving)))
		chosen = primary;
	if (!chosen)
		return result_without_choice(group, criteria);
	memcpy(choice->endpoint, chosen->node->endpoint.id, sizeof(choice->endpoint));
	choice->term = group->term;
	choice->is_primary = chosen == primary;
	/* If the primary was replaced without this proxy knowing, its age grows too. */
	choice->age_us = rte_member_age(chosen, now_us);
	return RTE_CHOSEN;
}
