#include "group/group.h"

#include <string.h>

/* Round trips by distance, as the sites state them. */
#define SAME_DOMAIN_US (400ULL)
#define SAME_REGION_US (2 * BC_US_PER_MS)
#define OTHER_REGION_US (16 * BC_US_PER_MS)
/* Reads leave the leader to writes while a copy costs no more than this on top. */
#define LEADER_EXTRA_US (6 * BC_US_PER_MS)
/*
 * Reads stay in their region while a copy there costs no more than this on top: the link between
 * regions is narrow, has a price for each byte, and is what writes from other regions need.
 */
#define OTHER_REGION_EXTRA_US (20 * BC_US_PER_MS)
/* Cost of a copy that lacked a position a moment ago: it is likely to refuse again. */
#define BEHIND_EXTRA_US (60 * BC_US_PER_MS)
/* Least latency assumed of a statement; an endpoint without answers is not taken as instant. */
#define LATENCY_MIN_US (2 * BC_US_PER_MS)
/* An old latency counts half after each of these, so that a slow endpoint is tried again. */
#define LATENCY_HALF_LIFE_US BC_US_PER_S
/* A sample is not used in its last part, for the time that the read takes to start. */
#define SAMPLE_MARGIN_US (30 * BC_US_PER_MS)
/* An endpoint is silent when nothing has come for this long, or many times its latency. */
#define SILENT_MIN_US (350 * BC_US_PER_MS)
/* A queue of a full endpoint stays below this many mean latencies. */
#define SILENT_LATENCIES 8U

static bool usable(const struct grp_endpoint *endpoint, uint64_t now_us)
{
	if (endpoint->removed || endpoint->info.leaving)
		return false;
	if (endpoint == endpoint->group->leader && now_us < endpoint->group->reach_us)
		return true;
	return !endpoint->suspect || now_us >= endpoint->retry_us;
}

/* Whether a wait for an answer is long enough to take the endpoint for silent. */
bool grp_is_silent(const struct grp_endpoint *endpoint, uint64_t now_us)
{
	uint64_t limit_us = SILENT_LATENCIES * endpoint->latency_us;

	if (limit_us < SILENT_MIN_US)
		limit_us = SILENT_MIN_US;
	return endpoint->waiting_us && now_us - endpoint->waiting_us >= limit_us;
}

/* The endpoint to write to. One that is leaving still leads until another is promoted. */
struct grp_choice grp_choose_leader(struct grp_group *group, uint64_t now_us)
{
	struct grp_choice choice = {.reason = "leader"};
	struct grp_endpoint *leader = group->leader;

	if (!leader) {
		choice.reason = "no_leader";
		return choice;
	}
	if (leader->suspect && now_us < leader->retry_us && now_us >= group->reach_us) {
		choice.reason = "leader_lost";
		return choice;
	}
	choice.endpoint = leader;
	return choice;
}

/* Round trip to the endpoint, with the preference for the own region added. */
static uint64_t distance_us(const struct grp_endpoint *endpoint, const char *domain,
			    const char *region)
{
	if (strcmp(endpoint->info.domain, domain) == 0)
		return SAME_DOMAIN_US;
	if (strcmp(endpoint->info.region, region) == 0)
		return SAME_REGION_US;
	return OTHER_REGION_US + OTHER_REGION_EXTRA_US;
}

/* Expected time of a read in microseconds, with the preferences added. */
static uint64_t read_cost_us(const struct grp_endpoint *endpoint, const char *domain,
			     const char *region, bool behind, uint64_t now_us)
{
	uint64_t age_us = now_us - endpoint->latency_at_us;
	uint64_t halves = age_us / LATENCY_HALF_LIFE_US;
	uint64_t latency_us = endpoint->latency_us >> (halves < 16 ? halves : 16);
	uint32_t slots = endpoint->info.slots ? endpoint->info.slots : 1;
	uint64_t cost_us;

	if (latency_us < LATENCY_MIN_US)
		latency_us = LATENCY_MIN_US;
	cost_us = distance_us(endpoint, domain, region) + latency_us +
		  latency_us * (endpoint->inflight + endpoint->inflight_via) / slots;
	if (endpoint->group->leader == endpoint)
		cost_us += LEADER_EXTRA_US;
	if (behind)
		cost_us += BEHIND_EXTRA_US;
	return cost_us;
}

/*
 * The oldest sample of the newest term that is young enough: copies are more likely to hold it. A
 * sample of an older term may name a position that the promotion rolled back. False if there is
 * none.
 */
static bool oldest_sample(const struct grp_group *group, const struct grp_want *want,
			  struct grp_sample *out)
{
	bool found = false;
	uint32_t i;

	if (want->max_age_us <= SAMPLE_MARGIN_US)
		return false;
	for (i = 0; i < group->sample_count; i++) {
		const struct grp_sample *sample =
			&group->samples[(group->sample_last + GRP_SAMPLES - i) % GRP_SAMPLES];

		if (sample->sent_us + want->max_age_us - SAMPLE_MARGIN_US < want->from_us ||
		    sample->position.term < group->samples[group->sample_last].position.term)
			break;
		*out = *sample;
		found = true;
	}
	return found;
}

/*
 * The position that a copy must hold. A mark of an older term gives way to a sample of a newer
 * one: what survived of the old term is in it, the rest was rolled back.
 */
static struct bc_position needed(const struct grp_want *want, const struct grp_sample *oldest,
				 const struct grp_sample *newest)
{
	struct bc_position position = oldest->position;

	if (!want->has_mark)
		return position;
	if (want->mark.term < newest->position.term)
		return newest->position;
	return bc_position_compare(want->mark, position) > 0 ? want->mark : position;
}

static struct grp_endpoint *cheapest(struct grp_group *group, const struct grp_want *want,
				     struct bc_position after, const char *domain,
				     const char *region, uint64_t now_us)
{
	struct grp_endpoint *endpoint;
	struct grp_endpoint *best = NULL;
	uint64_t best_us = 0;

	for (endpoint = grp_first(group); endpoint; endpoint = grp_next(endpoint)) {
		bool behind = endpoint != group->leader && now_us < endpoint->behind_until_us &&
			      bc_position_compare(endpoint->seen, after) < 0;
		uint64_t cost_us;

		if (!usable(endpoint, now_us) || want->tried & 1U << endpoint->index)
			continue;
		cost_us = read_cost_us(endpoint, domain, region, behind, now_us);
		if (best && cost_us >= best_us)
			continue;
		best = endpoint;
		best_us = cost_us;
	}
	return best;
}

/* The endpoint to read from, and what has to be checked there. */
struct grp_choice grp_choose_read_from(struct grp_group *group, const struct grp_want *want,
				       const char *domain, const char *region, uint64_t now_us)
{
	struct grp_choice choice = {0};
	struct grp_sample oldest = {0};
	struct grp_sample newest = {0};

	group->wanted_us = now_us;
	if (!oldest_sample(group, want, &oldest)) {
		choice = grp_choose_leader(group, now_us);
		choice.guard = true;
		if (choice.endpoint)
			choice.reason = want->max_age_us ? "no_sample" : "newest_wanted";
		return choice;
	}
	grp_newest_sample(group, &newest);
	choice.after = needed(want, &oldest, &newest);
	choice.has_after = true;
	choice.sample_age_us = want->from_us > oldest.sent_us ? want->from_us - oldest.sent_us : 0;
	choice.endpoint = cheapest(group, want, choice.after, domain, region, now_us);
	choice.reason = choice.endpoint ? "cheapest" : "none_usable";
	/* The last resort after all copies lacked the position: the leader under proof. */
	if (!choice.endpoint && group->leader && want->tried & 1U << group->leader->index &&
	    usable(group->leader, now_us)) {
		choice.endpoint = group->leader;
		choice.has_after = false;
		choice.guard = true;
		choice.reason = "leader_proof";
	}
	return choice;
}
