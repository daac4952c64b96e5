#include "member/member_internal.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bounds the cache, which is cleared when full. Today there are 9 duties, later about 5,200. */
#define DUTIES_MAX 16384U
#define KEY_BYTES 256U

/* This proxy's cached rank for a duty, as computed for the set of live members at `version`. */
struct duty {
	bool computed;
	uint64_t version;
	uint64_t lowest_score; /* score of the last chosen member */
	bool all_ranks_filled; /* if no domain is given, by members of different failure domains */
	int32_t rank;
};

struct mem_duties {
	apr_pool_t *pool;
	apr_hash_t *by_key;
};

struct candidate {
	const struct member *member;
	uint64_t score;
};

struct choice {
	struct candidate ranks[MEM_DUTY_RANKS];
	size_t count;
};

/* Creates an empty cache of ranks. Returns NULL when out of memory. */
struct mem_duties *mem_duties_create(void)
{
	struct mem_duties *duties = calloc(1, sizeof(*duties));

	if (!duties)
		return NULL;
	apr_pool_create(&duties->pool, NULL);
	duties->by_key = apr_hash_make(duties->pool);
	return duties;
}

/* Frees the cache. NULL is allowed. */
void mem_duties_destroy(struct mem_duties *duties)
{
	if (!duties)
		return;
	apr_pool_destroy(duties->pool);
	free(duties);
}

/*
 * Returns the score of a member for a duty: the finalizer of SplitMix64 over both hashes, which is
 * cheaper than hashing both strings for each pair and still depends on every bit.
 */
static uint64_t duty_score(uint64_t duty_hash, uint64_t id_hash)
{
	uint64_t mixed = duty_hash ^ id_hash;

	mixed = (mixed ^ mixed >> 30) * 0xbf58476d1ce4e5b9ULL;
	mixed = (mixed ^ mixed >> 27) * 0x94d049bb133111ebULL;
	return mixed ^ mixed >> 31;
}

static bool ranks_before(const struct candidate *a, const struct candidate *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return strcmp(a->member->info.id, b->member->info.id) < 0;
}

static bool same_domain(const struct candidate *a, const struct candidate *b)
{
	return strcmp(a->member->info.domain, b->member->info.domain) == 0;
}

static void choice_insert(struct choice *choice, size_t index, struct candidate candidate)
{
	if (choice->count < MEM_DUTY_RANKS)
		choice->count++;
	memmove(&choice->ranks[index + 1], &choice->ranks[index],
		(choice->count - index - 1) * sizeof(candidate));
	choice->ranks[index] = candidate;
}

static void choice_remove(struct choice *choice, size_t index)
{
	choice->count--;
	memmove(&choice->ranks[index], &choice->ranks[index + 1],
		(choice->count - index) * sizeof(choice->ranks[0]));
}

/*
 * Inserts a candidate if it is among the best, which are kept in order of score. With `distinct`,
 * only the best of each failure domain is kept.
 */
static void choice_consider(struct choice *choice, struct candidate candidate, bool distinct)
{
	size_t position = choice->count;
	size_t i;

	while (position > 0 && ranks_before(&candidate, &choice->ranks[position - 1]))
		position--;
	if (position == MEM_DUTY_RANKS)
		return;
	for (i = 0; distinct && i < choice->count; i++) {
		if (!same_domain(&candidate, &choice->ranks[i]))
			continue;
		if (i < position)
			return;
		choice_remove(choice, i);
		break;
	}
	choice_insert(choice, position, candidate);
}

/* Fills the ranks for which there are too few failure domains with the best remaining members. */
static void choice_fill(struct choice *choice, const struct choice *any)
{
	size_t i;
	size_t j;

	for (i = 0; i < any->count && choice->count < MEM_DUTY_RANKS; i++) {
		for (j = 0; j < choice->count; j++)
			if (choice->ranks[j].member == any->ranks[i].member)
				break;
		if (j == choice->count)
			choice_insert(choice, choice->count, any->ranks[i]);
	}
}

static void duty_compute(const struct mem_state *state, uint64_t duty_hash, const char *domain,
			 struct duty *duty)
{
	struct choice distinct = {0};
	struct choice any = {0};
	size_t i;

	for (i = 0; i < state->all.count; i++) {
		const struct member *member = state->all.items[i];
		struct candidate candidate = {member, duty_score(duty_hash, member->id_hash)};

		if (!mem_is_live(&member->info) ||
		    (domain && strcmp(member->info.domain, domain) != 0))
			continue;
		choice_consider(&any, candidate, false);
		choice_consider(&distinct, candidate, true);
	}
	duty->all_ranks_filled = (domain ? any.count : distinct.count) == MEM_DUTY_RANKS;
	choice_fill(&distinct, &any);
	duty->computed = true;
	duty->version = state->version;
	duty->rank = MEM_NO_RANK;
	for (i = 0; i < distinct.count; i++) {
		duty->lowest_score = distinct.ranks[i].score;
		if (distinct.ranks[i].member == state->self)
			duty->rank = (int32_t)i;
	}
}

/*
 * Whether a rank is still valid after the changes since it was computed. The ranks are in order of
 * score, so a member that came or went with a lower score than the last of them has no effect.
 */
static bool duty_rank_valid(const struct mem_state *state, uint64_t duty_hash, const char *domain,
			    const struct duty *duty)
{
	uint64_t version = duty->version;

	if (!duty->computed || state->version - version > MEM_CHANGES_KEPT)
		return false;
	for (; version != state->version; version++) {
		const struct mem_change *change = &state->changes[version % MEM_CHANGES_KEPT];

		if (domain && strcmp(change->domain, domain) != 0)
			continue;
		if (!duty->all_ranks_filled ||
		    duty_score(duty_hash, change->id_hash) >= duty->lowest_score)
			return false;
	}
	return true;
}

static struct duty *duty_get(struct mem_duties *duties, const char *key)
{
	struct duty *duty = apr_hash_get(duties->by_key, key, APR_HASH_KEY_STRING);

	if (duty)
		return duty;
	if (apr_hash_count(duties->by_key) >= DUTIES_MAX) {
		apr_pool_clear(duties->pool);
		duties->by_key = apr_hash_make(duties->pool);
	}
	duty = apr_pcalloc(duties->pool, sizeof(*duty));
	apr_hash_set(duties->by_key, apr_pstrdup(duties->pool, key), APR_HASH_KEY_STRING, duty);
	return duty;
}

/*
 * Returns this proxy's rank for a duty, 0 to MEM_DUTY_RANKS - 1, or MEM_NO_RANK; see member.h. The
 * result is cached for each duty and domain. After changes of the live members, a call computes one
 * score for each change since the last call. It scans all members only if the score of a changed
 * member reaches the chosen ones (probability about 3 in n), if there are too few members or
 * failure domains to fill the ranks, or after more than MEM_CHANGES_KEPT changes.
 */
int32_t mem_duty_rank(const struct mem_state *state, const char *duty, const char *domain)
{
	uint64_t duty_hash = bc_hash(duty);
	struct duty uncached = {0};
	struct duty *entry = &uncached;
	char key[KEY_BYTES];
	int length = snprintf(key, sizeof(key), "%s/%s", domain ? domain : "", duty);

	if (length >= 0 && (size_t)length < sizeof(key))
		entry = duty_get(state->duties, key);
	if (!duty_rank_valid(state, duty_hash, domain, entry))
		duty_compute(state, duty_hash, domain, entry);
	else
		entry->version = state->version;
	return entry->rank;
}
