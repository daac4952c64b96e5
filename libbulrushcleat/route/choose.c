#include "route/route_internal.h"

#include <string.h>

static bool is_excluded(const struct rte_want *want, const char *endpoint)
{
	size_t i;

	for (i = 0; i < RTE_GROUP_ENDPOINTS_MAX && want->exclude[i]; i++)
		if (strcmp(want->exclude[i], endpoint) == 0)
			return true;
	return false;
}

/* A leaving endpoint may be used for a while, until another one can take over its work. */
static bool has_left(const struct rte_node *node, uint64_t now_us)
{
	return node->endpoint.leaving && node->leaving_since_us &&
	       now_us >= node->leaving_since_us + RTE_LEAVING_GRACE_US;
}

static bool may_be_tried(const struct rte_want *want, const struct rte_member *member,
			 uint64_t now_us)
{
	return !member->node->unreachable && !has_left(member->node, now_us) &&
	       !is_excluded(want, member->node->endpoint.id);
}

/*
 * Whether the member is the primary of the known term as far as is known. A session whose mark has
 * a greater term shows that the known primary was replaced. A primary that promised a greater term
 * takes no writes.
 */
static bool primary_serves(const struct rte_group *group, const struct rte_want *want,
			   const struct rte_member *member, uint64_t now_us)
{
	if (!may_be_tried(want, member, now_us) || want->mark.term > group->term)
		return false;
	if (member->learned)
		return true;
	if (!member->reported || !member->row.is_primary || member->row.term != group->term)
		return false;
	return !want->write || member->row.promised <= member->row.term;
}

/*
 * Whether the member may serve this read as a replica. A copy that ends in an older term may hold
 * entries that were never confirmed; it serves only with a proven age. A replaced primary never
 * does.
 */
static bool replica_serves(const struct rte_group *group, const struct rte_want *want,
			   const struct rte_member *member, uint64_t now_us)
{
	uint64_t age_us = rte_member_age(member, now_us);

	if (!member->reported || member->row.is_primary || !may_be_tried(want, member, now_us))
		return false;
	if (!bc_position_covers(member->row.applied, want->mark))
		return false;
	if (member->row.applied.term != group->term && age_us == RTE_AGE_ANY)
		return false;
	return want->max_age_us == RTE_AGE_ANY || age_us <= want->max_age_us;
}

/* Whether `a` is preferred to `b`: the nearer one, then the one with less in flight. */
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

static const struct rte_member *replica_find(const struct rte_group *group,
					     const struct rte_want *want,
					     const struct rte_member *primary, uint64_t now_us)
{
	const struct rte_member *best = NULL;
	size_t i;

	if (want->write || want->strong || !want->replicas_allowed)
		return NULL;
	for (i = 0; i < group->count; i++) {
		const struct rte_member *member = &group->members[i];

		if (member != primary && replica_serves(group, want, member, now_us) &&
		    is_preferred(member, best))
			best = member;
	}
	return best;
}

/* Whether waiting can help: writes and strong reads may get a new primary, others any member. */
static enum rte_verdict verdict_without_choice(const struct rte_group *group,
					       const struct rte_want *want)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (!is_excluded(want, group->members[i].node->endpoint.id))
			return RTE_WAIT;
	return RTE_NONE;
}

static void note_leaving(struct rte_group *group, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		struct rte_node *node = group->members[i].node;

		if (node->endpoint.leaving && !node->leaving_since_us)
			node->leaving_since_us = now_us;
	}
}

/*
 * Chooses an endpoint for a statement among the members of its group. Replicas are preferred for
 * reads that may use them; the primary serves what no replica can. Returns RTE_WAIT while a
 * promotion, a report or replication may still make a member eligible, and RTE_NONE for an unknown
 * database or when all members are excluded. `choice` is set only with RTE_CHOSEN.
 */
enum rte_verdict rte_choose(struct rte_table *table, const struct rte_want *want, uint64_t now_us,
			    struct rte_choice *choice)
{
	struct rte_group *group = rte_group_find(table, want->database);
	const struct rte_member *primary;
	const struct rte_member *chosen;

	if (!group)
		return RTE_NONE;
	note_leaving(group, now_us);
	primary = rte_member_find(group, group->primary);
	chosen = replica_find(group, want, primary, now_us);
	if (primary && primary_serves(group, want, primary, now_us) &&
	    (!chosen || (chosen->node->endpoint.leaving && !primary->node->endpoint.leaving)))
		chosen = primary;
	if (!chosen)
		return verdict_without_choice(group, want);
	memcpy(choice->endpoint, chosen->node->endpoint.id, sizeof(choice->endpoint));
	choice->term = group->term;
	choice->is_primary = chosen == primary;
	/* A primary that was replaced out of this proxy's sight shows by its age too. */
	choice->age_us = rte_member_age(chosen, now_us);
	return RTE_CHOSEN;
}
