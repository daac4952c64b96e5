#include "route/route_internal.h"

#include <stdlib.h>

static struct rte_sample *sample_at(const struct rte_samples *samples, uint32_t index)
{
	return &samples->entries[(samples->start + index) % samples->capacity];
}

/*
 * Makes room for one more sample, dropping the oldest one at the maximum size. Below that size the
 * ring never wraps, so realloc() keeps its order. Returns false if out of memory.
 */
static bool samples_reserve(struct rte_samples *samples)
{
	uint32_t capacity = samples->capacity ? samples->capacity * 2 : 8;
	struct rte_sample *entries;

	if (samples->count < samples->capacity)
		return true;
	if (samples->capacity == RTE_SAMPLES_MAX) {
		samples->start = (samples->start + 1) % samples->capacity;
		samples->count--;
		return true;
	}
	entries = realloc(samples->entries, capacity * sizeof(*entries));
	if (!entries)
		return false;
	samples->entries = entries;
	samples->capacity = capacity;
	return true;
}

/*
 * Whether a new sample replaces the last one. At the same position the newer sample proves more. In
 * a ring that is at least half full, the last sample is replaced if it is less than
 * RTE_SAMPLE_SPACING_US newer than the one before it. A ring full of samples with
 * that spacing spans at least 25 s.
 */
static bool replaces_last(const struct rte_samples *samples, const struct rte_sample *sample)
{
	const struct rte_sample *last;

	if (samples->count == 0)
		return false;
	last = sample_at(samples, samples->count - 1);
	if (bc_position_compare(last->position, sample->position) == 0)
		return true;
	if (samples->count < RTE_SAMPLES_THINNING_MIN)
		return false;
	return last->as_of_us - sample_at(samples, samples->count - 2)->as_of_us <
	       RTE_SAMPLE_SPACING_US;
}

static bool samples_add(struct rte_samples *samples, const struct rte_sample *sample)
{
	if (!replaces_last(samples, sample)) {
		if (!samples_reserve(samples))
			return false;
		samples->count++;
	}
	*sample_at(samples, samples->count - 1) = *sample;
	return true;
}

/* Returns the newest time at which a majority had promised no term above the known one, or 0. */
static uint64_t majority_unfenced_us(const struct rte_group *group)
{
	uint64_t times[RTE_GROUP_ENDPOINTS_MAX];
	size_t i;
	size_t k;

	for (i = 0; i < group->count; i++) {
		uint64_t time_us = group->members[i].unfenced_us;

		for (k = i; k > 0 && times[k - 1] < time_us; k--)
			times[k] = times[k - 1];
		times[k] = time_us;
	}
	return group->count ? times[group->count / 2] : 0;
}

static void member_set_fresh(struct rte_member *member, uint64_t as_of_us)
{
	if (member->has_fresh_as_of && member->fresh_as_of_us >= as_of_us)
		return;
	member->has_fresh_as_of = true;
	member->fresh_as_of_us = as_of_us;
}

/*
 * Adds a sample if the reports so far prove a newer one. At the sample's time a majority had
 * promised no greater term, so no write of a greater term had been confirmed. The primary reported
 * its position later, so each write of this term confirmed by then is at or below that position.
 */
void rte_samples_update(struct rte_group *group)
{
	const struct rte_member *primary = rte_member_find(group, group->primary);
	struct rte_sample sample;
	size_t i;

	if (!primary || !primary->reported || !primary->row.is_primary ||
	    primary->row.term != group->term || primary->row.log.term != group->term)
		return;
	sample.as_of_us = majority_unfenced_us(group);
	if (primary->row_sent_us < sample.as_of_us)
		sample.as_of_us = primary->row_sent_us;
	sample.position = primary->row.log;
	if (sample.as_of_us == 0)
		return;
	if (group->samples.count) {
		const struct rte_sample *last =
			sample_at(&group->samples, group->samples.count - 1);

		if (last->as_of_us >= sample.as_of_us ||
		    bc_position_compare(last->position, sample.position) > 0)
			return;
	}
	if (!samples_add(&group->samples, &sample))
		return;
	for (i = 0; i < group->count; i++) {
		struct rte_member *member = &group->members[i];

		if (member->reported && bc_position_covers(member->row.applied, sample.position))
			member_set_fresh(member, sample.as_of_us);
	}
}

/* Advances a member's fresh_as_of_us to the newest sample that its reported position covers. */
void rte_member_update_fresh(const struct rte_group *group, struct rte_member *member)
{
	const struct rte_samples *samples = &group->samples;
	uint32_t low = 0;
	uint32_t high = samples->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (bc_position_compare(sample_at(samples, middle)->position,
					member->row.applied) <= 0)
			low = middle + 1;
		else
			high = middle;
	}
	/* After a change of term, samples of the old term may have greater positions. */
	while (low > 0 &&
	       !bc_position_covers(member->row.applied, sample_at(samples, low - 1)->position))
		low--;
	if (low > 0)
		member_set_fresh(member, sample_at(samples, low - 1)->as_of_us);
}

/* Returns the proven upper bound of the age of the member's copy in us, or RTE_AGE_ANY. */
uint64_t rte_member_age(const struct rte_member *member, uint64_t now_us)
{
	if (!member->has_fresh_as_of)
		return RTE_AGE_ANY;
	return now_us > member->fresh_as_of_us ? now_us - member->fresh_as_of_us : 0;
}
