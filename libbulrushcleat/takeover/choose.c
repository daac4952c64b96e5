#include "takeover/takeover_internal.h"

#include <string.h>

static bool is_leaving(const struct takeover *takeover, const struct answer *answer)
{
	const struct grp_endpoint *endpoint =
		grp_endpoint_find(takeover->state->groups, answer->endpoint_id);

	return !endpoint || endpoint->info.leaving;
}

/*
 * Whether an answer makes a better leader: it has received more, or as much and stays. While the
 * leader answers, what is missing is on its way, and one that stays is better in any case. Among
 * equals the id decides, so that another proxy which claims next orders the same one.
 */
static bool is_better(const struct takeover *takeover, const struct answer *answer,
		      const struct answer *best)
{
	int order = bc_position_compare(answer->status.received, best->status.received);
	int stays = (int)is_leaving(takeover, best) - (int)is_leaving(takeover, answer);

	if (stays && tko_is_planned(takeover) && !takeover->group->leader->suspect &&
	    !takeover->any_target)
		return stays > 0;
	if (order == 0 && stays == 0)
		return strcmp(answer->endpoint_id, best->endpoint_id) < 0;
	return order > 0 || (order == 0 && stays > 0);
}

/* The endpoint to make the leader; NULL if none answered. */
const struct answer *tko_best_answer(const struct takeover *takeover)
{
	const struct answer *best = NULL;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++) {
		const struct answer *answer = &takeover->answers[i];

		if (!answer->status.answered)
			continue;
		/* As the only copy that is left it is better than none. */
		if (takeover->asked > 1 &&
		    grp_is_outdated(takeover->group, answer->endpoint_id, answer->status.term))
			continue;
		if (!best || is_better(takeover, answer, best))
			best = answer;
	}
	return best;
}

/* How many of those that were asked have answered. */
uint32_t tko_answered_count(const struct takeover *takeover)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < takeover->answer_count; i++)
		count += takeover->answers[i].status.answered;
	return count;
}

/*
 * Whether making the best copy the leader may lose a commit that copies have acknowledged: one that
 * did not answer, or one that has ended since, might be the only one that has it. The leader still
 * has it, and may come back, unless it is gone.
 */
bool tko_may_lose(const struct takeover *takeover, const struct answer *best, uint32_t missing)
{
	const struct grp_group *group = takeover->group;

	if (!group->sync_replicas)
		return false;
	if (missing >= group->sync_replicas)
		return true;
	return bc_position_compare(best->status.received, group->kept) < 0 &&
	       !tko_is_planned(takeover) &&
	       !takeover->state->ops.is_gone(takeover->state->data, takeover->group);
}
