#include "takeover/takeover_internal.h"

#include <string.h>

static bool is_leaving(const struct takeover *takeover, const struct answer *answer)
{
	const struct grp_endpoint *endpoint =
		grp_endpoint_find(takeover->state->groups, answer->endpoint_id);

	return !endpoint || endpoint->info.leaving;
}

/*
 * Returns whether `answer` is a better candidate than `best`: it has received more, or as much and
 * is not leaving. While a leaving leader still answers, it sends the missing commits, so a
 * replica that is not leaving is preferred even if it has received less. Equal candidates are
 * ordered by id, so that a proxy that claims next orders the same one.
 */
static bool is_better_candidate(const struct takeover *takeover, const struct answer *answer,
				const struct answer *best)
{
	int position_order = bc_position_compare(answer->status.received, best->status.received);
	int leaving_order = (int)is_leaving(takeover, best) - (int)is_leaving(takeover, answer);

	if (leaving_order && tko_is_planned(takeover) && !takeover->group->leader->suspect &&
	    !takeover->prefer_most_received)
		return leaving_order > 0;
	if (position_order == 0 && leaving_order == 0)
		return strcmp(answer->endpoint_id, best->endpoint_id) < 0;
	return position_order > 0 || (position_order == 0 && leaving_order > 0);
}

/* Returns whether the log of the replica that has answered may have commits rolled back since. */
static bool is_outdated(const struct takeover *takeover, const struct answer *answer)
{
	const struct grp_endpoint *endpoint =
		grp_endpoint_find(takeover->state->groups, answer->endpoint_id);
	struct grp_info info = {0};

	if (endpoint)
		info = endpoint->info;
	memcpy(info.id, answer->endpoint_id, sizeof(info.id));
	return grp_is_outdated(takeover->group, &info, answer->status.term);
}

/* Returns the answer of the replica to promote, or NULL if there is no candidate. */
const struct answer *tko_best_answer(const struct takeover *takeover)
{
	const struct answer *best = NULL;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++) {
		const struct answer *answer = &takeover->answers[i];

		if (!answer->status.answered)
			continue;
		/* An outdated replica is promoted only if it is the only one. */
		if (takeover->queried_count > 1 && is_outdated(takeover, answer))
			continue;
		if (!best || is_better_candidate(takeover, answer, best))
			best = answer;
	}
	return best;
}

/* Returns how many of the queried replicas have answered. */
uint32_t tko_answered_count(const struct takeover *takeover)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		count += takeover->answers[i].status.answered;
	return count;
}

/*
 * Returns whether promoting the best candidate may lose a commit that replicas have acknowledged. A
 * replica that did not answer, or one that has ended since, may have been the only one with that
 * commit. The old leader still has it and may come back, unless it is gone.
 */
bool tko_may_lose_commits(const struct takeover *takeover, const struct answer *best,
			  uint32_t missing)
{
	const struct grp_group *group = takeover->group;

	if (!group->sync_replicas)
		return false;
	if (missing >= group->sync_replicas)
		return true;
	return bc_position_compare(best->status.received, group->replicated) < 0 &&
	       !tko_is_planned(takeover) &&
	       !takeover->state->ops.is_leader_gone(takeover->state->data, takeover->group);
}
