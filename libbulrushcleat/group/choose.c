#include "group/group.h"

#include "balance/balance.h"

#include <stdio.h>
#include <string.h>

_Static_assert(BAL_CANDIDATES_MAX >= GRP_ENDPOINTS_MAX, "a group has more endpoints");

/* Round-trip times by distance, as the sites specify them. */
#define SAME_DOMAIN_US (400ULL)
#define SAME_REGION_US (2 * BC_US_PER_MS)
#define OTHER_REGION_US (16 * BC_US_PER_MS)
/* Added to the cost of the leader, so that reads leave it to writes up to this difference. */
#define LEADER_PENALTY_US (6 * BC_US_PER_MS)
/*
 * Added to the cost of endpoints in other regions, so that reads stay in their region up to this
 * difference: the link between regions is narrow, charged per byte and needed for the writes from
 * other regions.
 */
#define OTHER_REGION_PENALTY_US (20 * BC_US_PER_MS)
/* Added to the cost of a replica that recently lacked a position: it is likely to refuse again. */
#define BEHIND_PENALTY_US (60 * BC_US_PER_MS)
/* Minimum latency assumed for a statement, so that an endpoint without answers does not cost 0. */
#define LATENCY_MIN_US (2 * BC_US_PER_MS)
/* The measured latency is halved after each such time, so that a slow endpoint is tried again. */
#define LATENCY_HALF_LIFE_US BC_US_PER_S
/* A sample is dropped this long before it reaches the maximum age: the read takes time to start. */
#define SAMPLE_MARGIN_US (30 * BC_US_PER_MS)
/* Minimum time without an answer after which an endpoint is silent. */
#define SILENT_MIN_US (350 * BC_US_PER_MS)
/* The same in mean latencies; a statement queued at a full endpoint waits less than that. */
#define SILENT_LATENCY_FACTOR 8U

static bool is_usable(const struct grp_endpoint *endpoint, uint64_t now_us)
{
	if (endpoint->removed || endpoint->info.leaving)
		return false;
	if (endpoint == endpoint->group->leader &&
	    now_us < endpoint->group->reached_by_peer_until_us)
		return true;
	return !endpoint->suspect || now_us >= endpoint->retry_us;
}

/* Returns whether the endpoint has not answered for so long that it is taken for silent. */
bool grp_is_silent(const struct grp_endpoint *endpoint, uint64_t now_us)
{
	uint64_t limit_us = SILENT_LATENCY_FACTOR * endpoint->latency_us;

	if (limit_us < SILENT_MIN_US)
		limit_us = SILENT_MIN_US;
	return endpoint->waiting_since_us && now_us - endpoint->waiting_since_us >= limit_us;
}

/* Returns whether the endpoint has been leaving for so long that it gets no new work. */
bool grp_leaving_limit_passed(const struct grp_endpoint *endpoint, uint64_t now_us)
{
	return endpoint->leaving_until_us && now_us >= endpoint->leaving_until_us;
}

/*
 * Chooses the endpoint to write to. A leaving leader is used until another one is promoted, but not
 * beyond its limit.
 */
struct grp_choice grp_choose_leader(struct grp_group *group, uint64_t now_us)
{
	struct grp_choice choice = {.reason = "leader"};
	struct grp_endpoint *leader = group->leader;

	if (!leader) {
		choice.reason = "no_leader";
		return choice;
	}
	if (grp_leaving_limit_passed(leader, now_us)) {
		choice.reason = "leader_leaving";
		return choice;
	}
	if (leader->suspect && now_us < leader->retry_us &&
	    now_us >= group->reached_by_peer_until_us) {
		choice.reason = "leader_lost";
		return choice;
	}
	choice.endpoint = leader;
	return choice;
}

/* Round-trip time to the endpoint, plus the penalty for other regions. */
static uint64_t distance_us(const struct grp_endpoint *endpoint, const char *domain,
			    const char *region)
{
	if (strcmp(endpoint->info.domain, domain) == 0)
		return SAME_DOMAIN_US;
	if (strcmp(endpoint->info.region, region) == 0)
		return SAME_REGION_US;
	return OTHER_REGION_US + OTHER_REGION_PENALTY_US;
}

/* Round-trip time to the endpoint, plus penalties. */
static uint64_t penalized_distance_us(const struct grp_endpoint *endpoint,
				      const struct grp_chooser *chooser, bool behind)
{
	uint64_t cost_us = distance_us(endpoint, chooser->domain, chooser->region);

	if (endpoint->group->leader == endpoint)
		cost_us += LEADER_PENALTY_US;
	if (behind)
		cost_us += BEHIND_PENALTY_US;
	return cost_us;
}

/* Expected time of a read in microseconds, plus penalties. */
static uint64_t read_cost_us(const struct grp_endpoint *endpoint, const struct grp_chooser *chooser,
			     bool behind, uint64_t now_us)
{
	uint64_t age_us = now_us - endpoint->latency_updated_us;
	uint64_t half_lives = age_us / LATENCY_HALF_LIFE_US;
	uint64_t latency_us = endpoint->latency_us >> (half_lives < 16 ? half_lives : 16);
	uint32_t slots = endpoint->info.slots ? endpoint->info.slots : 1;

	if (latency_us < LATENCY_MIN_US)
		latency_us = LATENCY_MIN_US;
	return penalized_distance_us(endpoint, chooser, behind) + latency_us +
	       latency_us * (endpoint->inflight + endpoint->inflight_relayed) / slots;
}

/*
 * Finds the oldest sample of the newest term that is young enough for the read: replicas are more
 * likely to have its position. A sample of an older term is skipped, since its position may have
 * been rolled back by the promotion. Returns false if there is none.
 */
static bool oldest_sample(const struct grp_group *group, const struct grp_read_bounds *bounds,
			  struct grp_sample *out)
{
	bool found = false;
	uint32_t i;

	if (bounds->max_age_us <= SAMPLE_MARGIN_US)
		return false;
	for (i = 0; i < group->sample_count; i++) {
		const struct grp_sample *sample =
			&group->samples[(group->sample_last + GRP_SAMPLES - i) % GRP_SAMPLES];

		if (sample->sent_us + bounds->max_age_us - SAMPLE_MARGIN_US < bounds->started_us ||
		    sample->position.term < group->samples[group->sample_last].position.term)
			break;
		*out = *sample;
		found = true;
	}
	return found;
}

/*
 * Returns the position that a replica must have. The newest sample replaces the session's last
 * commit if that is of an older term: the sample includes the commits of the old term that were
 * kept, and the others were rolled back.
 */
static struct bc_position required_position(const struct grp_read_bounds *bounds,
					    const struct grp_sample *oldest,
					    const struct grp_sample *newest)
{
	struct bc_position position = oldest->position;

	if (!bounds->has_last_commit)
		return position;
	if (bounds->last_commit.term < newest->position.term)
		return newest->position;
	return bc_position_compare(bounds->last_commit, position) > 0 ? bounds->last_commit
								      : position;
}

/* The endpoints that may serve a read. */
struct eligible {
	struct grp_endpoint *endpoints[GRP_ENDPOINTS_MAX];
	bool behind[GRP_ENDPOINTS_MAX];
	uint32_t count;
};

static void find_eligible(struct grp_group *group, const struct grp_read_bounds *bounds,
			  struct bc_position required, uint64_t now_us, struct eligible *out)
{
	struct grp_endpoint *endpoint;

	out->count = 0;
	for (endpoint = grp_first(group); endpoint; endpoint = grp_next(endpoint)) {
		if (!is_usable(endpoint, now_us) || bounds->tried_endpoints & 1U << endpoint->index)
			continue;
		out->behind[out->count] =
			endpoint != group->leader && now_us < endpoint->behind_until_us &&
			bc_position_compare(endpoint->reported_position, required) < 0;
		out->endpoints[out->count++] = endpoint;
	}
}

static struct grp_endpoint *cheapest_endpoint(const struct eligible *eligible,
					      const struct grp_chooser *chooser, uint64_t now_us)
{
	struct grp_endpoint *best = NULL;
	uint64_t best_cost_us = 0;
	uint32_t i;

	for (i = 0; i < eligible->count; i++) {
		uint64_t cost_us =
			read_cost_us(eligible->endpoints[i], chooser, eligible->behind[i], now_us);

		if (best && cost_us >= best_cost_us)
			continue;
		best = eligible->endpoints[i];
		best_cost_us = cost_us;
	}
	return best;
}

static uint64_t age_us(uint64_t now_us, uint64_t since_us)
{
	return now_us > since_us ? now_us - since_us : 0;
}

static void count_choice(const struct grp_chooser *chooser, enum bal_reason reason,
			 const struct bal_candidate *chosen)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", bal_reason_name(reason));
	bc_counter_add(chooser->ctx, "bulrushcleat_balance_choices_total", labels, 1);
	if (chosen->has_report)
		bc_histogram_observe_us(chooser->ctx, "bulrushcleat_load_report_age_seconds", NULL,
					chosen->report_age_us);
}

/* Chooses one of the endpoints by their load; NULL if there is none. */
static struct grp_endpoint *balanced_endpoint(const struct eligible *eligible,
					      const struct grp_chooser *chooser, uint64_t now_us,
					      const char **reason)
{
	struct bal_candidate candidates[BAL_CANDIDATES_MAX] = {0};
	struct bal_choice choice;
	uint32_t i;

	if (!eligible->count)
		return NULL;
	for (i = 0; i < eligible->count; i++) {
		const struct grp_endpoint *endpoint = eligible->endpoints[i];

		candidates[i] = (struct bal_candidate){
			.distance_us =
				penalized_distance_us(endpoint, chooser, eligible->behind[i]),
			.has_latency = endpoint->mean_latency_us != 0,
			.latency_us = endpoint->mean_latency_us,
			.latency_age_us = age_us(now_us, endpoint->latency_updated_us),
			.slots = endpoint->info.slots,
			.in_flight = endpoint->inflight + endpoint->inflight_relayed,
			.has_report = endpoint->load_reported_us != 0,
			.reported = endpoint->reported_load,
			.report_age_us = age_us(now_us, endpoint->load_reported_us),
			.in_use_us = age_us(now_us, endpoint->in_use_since_us),
		};
	}
	choice = bal_choose(candidates, eligible->count,
			    bc_random_below(chooser->ctx, BAL_RANDOM_BOUND));
	count_choice(chooser, choice.reason, &candidates[choice.index]);
	*reason = bal_reason_name(choice.reason);
	return eligible->endpoints[choice.index];
}

/* Chooses the endpoint to read from, and the position or proof of leadership to require there. */
struct grp_choice grp_choose_read_from(struct grp_group *group,
				       const struct grp_read_bounds *bounds,
				       const struct grp_chooser *chooser, uint64_t now_us)
{
	struct grp_choice choice = {0};
	struct grp_sample oldest = {0};
	struct grp_sample newest = {0};
	struct eligible eligible;

	group->sample_wanted_us = now_us;
	if (!oldest_sample(group, bounds, &oldest)) {
		choice = grp_choose_leader(group, now_us);
		choice.prove_leader = true;
		if (choice.endpoint)
			choice.reason = bounds->max_age_us ? "no_sample" : "newest_wanted";
		return choice;
	}
	grp_newest_sample(group, &newest);
	choice.position = required_position(bounds, &oldest, &newest);
	choice.has_position = true;
	choice.sample_age_us =
		bounds->started_us > oldest.sent_us ? bounds->started_us - oldest.sent_us : 0;
	choice.reason = "cheapest";
	find_eligible(group, bounds, choice.position, now_us, &eligible);
	if (chooser->balance == GRP_BALANCE_SPREAD)
		choice.endpoint = balanced_endpoint(&eligible, chooser, now_us, &choice.reason);
	else
		choice.endpoint = cheapest_endpoint(&eligible, chooser, now_us);
	if (!choice.endpoint)
		choice.reason = "none_usable";
	/*
	 * Last resort after all replicas lacked the position: the leader, which has to prove that
	 * it still leads.
	 */
	if (!choice.endpoint && group->leader &&
	    bounds->tried_endpoints & 1U << group->leader->index &&
	    is_usable(group->leader, now_us)) {
		choice.endpoint = group->leader;
		choice.has_position = false;
		choice.prove_leader = true;
		choice.reason = "leader_proof";
	}
	return choice;
}
