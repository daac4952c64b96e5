#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Who connects to an endpoint. Endpoints allow few connections over all proxies. Where an equal
 * part is at least CONNECTIONS_DIRECT_MIN, each proxy connects by itself. Otherwise a few proxies
 * near the endpoint, its holders, share the connections, and the others send them statements. All
 * proxies compute the holders alike from the members that they know.
 */

/*
 * Part of an endpoint's connections that is used. The rest is left for proxies that start anew: an
 * endpoint keeps the connections of VMs that have lost power for some seconds.
 */
#define USED_CONNECTIONS_PART 2U
/* With fewer, transactions that pause block the proxy's other statements. */
#define CONNECTIONS_DIRECT_MIN 2U
/* Connections of a holder: enough to keep an endpoint's slots busy beside paused transactions. */
#define CONNECTIONS_OF_HOLDER 4U
/*
 * Statements of all proxies that may run at an endpoint for each of its slots before connections
 * are opened for more. Those beyond one wait at the endpoint; they keep its slots busy while others
 * are on their way.
 */
#define RUNNING_PER_SLOT 8U
/* Of one proxy, so that a statement that takes long does not hold up the others. */
#define RUNNING_MIN 2U
/* Of an endpoint whose entry names none; the sites have 2 and 3. */
#define SLOTS_ASSUMED 2U
/* Another region; see distance(). */
#define FARTHEST 2U
/* So that one endpoint has holders in several failure domains. */
#define HOLDERS_MAX 8U
/* A proxy that did not reach the endpoint is not asked for it again for this time. */
#define BAD_WAY_US (1200 * BC_US_PER_MS)
/*
 * A silent proxy is asked for a sign of life this often while statements could use it, and gets
 * none before it has answered: each statement that is sent into a partition costs its caller 0.4 s.
 */
#define ASK_AGAIN_US (400 * BC_US_PER_MS)
/* An answer to this proxy outweighs others' suspicion for this time. */
#define PROVED_US (2 * BC_US_PER_S)
/* A proxy and an endpoint. */
#define KEY_BYTES (2 * BC_ID_BYTES)

struct bad_way {
	uint64_t until_us; /* the proxy does not reach the endpoint */
	/* Of a proxy alone: */
	bool silent;
	uint64_t silent_us; /* when that was noticed; an answer to a later question ends it */
	uint64_t ask_us;    /* not asked again before this */
	uint64_t proved_us; /* last answer since it was doubted */
	char key[KEY_BYTES];
};

/* The holders of an endpoint, the first ones preferred, and what they were computed from. */
struct holders {
	char endpoint_id[BC_ID_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint32_t used;
	uint64_t members_version;
	const struct mem_update *members[HOLDERS_MAX];
	uint64_t scores[HOLDERS_MAX];
	uint32_t count;
};

static uint32_t used_connections(const struct grp_endpoint *endpoint)
{
	uint32_t used = endpoint->group->max_connections / USED_CONNECTIONS_PART;

	return used ? used : 1;
}

static bool connects_directly(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t proxies = entry->proxies ? entry->proxies : 1;

	return used_connections(endpoint) / proxies >= CONNECTIONS_DIRECT_MIN;
}

/* 0: same failure domain, 1: same region, 2: another region. */
static uint32_t distance(const struct ent_roster_domain *domain,
			 const struct grp_endpoint *endpoint)
{
	if (strcmp(domain->name, endpoint->info.domain) == 0)
		return 0;
	return strcmp(domain->region, endpoint->info.region) == 0 ? 1 : 2;
}

/* Inserts a member in the order of scores; the last one falls out when there are too many. */
static void offer(struct holders *holders, uint32_t most, const struct mem_update *member,
		  uint64_t score)
{
	uint32_t place = holders->count;
	uint32_t i;

	while (place > 0 && score > holders->scores[place - 1])
		place--;
	if (place >= most)
		return;
	if (holders->count < most)
		holders->count++;
	for (i = holders->count - 1; i > place; i--) {
		holders->members[i] = holders->members[i - 1];
		holders->scores[i] = holders->scores[i - 1];
	}
	holders->members[place] = member;
	holders->scores[place] = score;
}

static void offer_domain(struct holders *holders, uint32_t most,
			 const struct ent_roster_domain *domain, uint32_t far, uint64_t seed)
{
	/* The upper bits hold the nearness, which counts before the hash. */
	const uint64_t near = (uint64_t)(FARTHEST - far) << 62;
	uint32_t i;

	for (i = 0; i < domain->count; i++)
		offer(holders, most, domain->members[i],
		      near | bc_hash_seeded(domain->members[i]->id, seed) >> 2);
}

/*
 * Chooses live members, near ones before far ones, then by a hash of both ids. Far ones are not
 * looked at where near ones suffice.
 */
static void compute(const struct ent_entry *entry, const struct grp_endpoint *endpoint,
		    struct holders *holders)
{
	const uint64_t seed = bc_hash(endpoint->info.id);
	uint32_t most = holders->used / CONNECTIONS_OF_HOLDER;
	const struct ent_roster_domain *domains;
	uint32_t count;
	uint32_t far;
	uint32_t i;

	if (most < 2)
		most = 2;
	if (most > HOLDERS_MAX)
		most = HOLDERS_MAX;
	holders->count = 0;
	domains = ent_roster_domains(entry, &count);
	for (far = 0; far <= FARTHEST && holders->count < most; far++)
		for (i = 0; i < count; i++)
			if (distance(&domains[i], endpoint) == far)
				offer_domain(holders, most, &domains[i], far, seed);
}

static struct holders *holders_get(const struct ent_entry *entry,
				   const struct grp_endpoint *endpoint)
{
	struct holders *holders =
		apr_hash_get(entry->holders, endpoint->info.id, APR_HASH_KEY_STRING);

	if (holders)
		return holders;
	/* Endpoints come and go seldom, so the pool grows slowly. */
	holders = apr_pcalloc(entry->pool, sizeof(*holders));
	memcpy(holders->endpoint_id, endpoint->info.id, sizeof(holders->endpoint_id));
	apr_hash_set(entry->holders, holders->endpoint_id, APR_HASH_KEY_STRING, holders);
	return holders;
}

/*
 * The holders of an endpoint. Each statement asks for them, so they are computed anew only when the
 * live members, the endpoint's place or its connections have changed.
 */
static const struct holders *find_holders(const struct ent_entry *entry,
					  const struct grp_endpoint *endpoint)
{
	struct holders *holders = holders_get(entry, endpoint);
	uint64_t version = mem_version(entry->members);
	uint32_t used = used_connections(endpoint);

	if (holders->used == used && holders->members_version == version &&
	    strcmp(holders->domain, endpoint->info.domain) == 0 &&
	    strcmp(holders->region, endpoint->info.region) == 0)
		return holders;
	holders->used = used;
	holders->members_version = version;
	memcpy(holders->domain, endpoint->info.domain, sizeof(holders->domain));
	memcpy(holders->region, endpoint->info.region, sizeof(holders->region));
	compute(entry, endpoint, holders);
	return holders;
}

static bool is_self(const struct ent_entry *entry, const struct mem_update *member)
{
	return strcmp(member->id, entry->settings.id) == 0;
}

/* This proxy's place among the holders, or MEM_NO_RANK. */
int32_t ent_holder_rank(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	const struct holders *holders;
	uint32_t i;

	if (connects_directly(entry, endpoint))
		return mem_duty_rank(entry->members, endpoint->group->name, NULL);
	holders = find_holders(entry, endpoint);
	for (i = 0; i < holders->count; i++)
		if (is_self(entry, holders->members[i]))
			return (int32_t)i;
	return MEM_NO_RANK;
}

/*
 * This proxy's part of an endpoint's connections: an equal part, and one of the rest for the
 * proxies that a hash puts first; or a holder's part.
 */
static uint32_t allowance(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t used = used_connections(endpoint);
	uint32_t proxies = entry->proxies ? entry->proxies : 1;
	uint64_t own = bc_hash2(endpoint->info.id, entry->settings.id);
	const struct holders *holders;
	uint32_t before = 0;
	size_t i;

	if (!connects_directly(entry, endpoint)) {
		holders = find_holders(entry, endpoint);
		return used / (holders->count ? holders->count : 1);
	}
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && !member->leaving &&
		    bc_hash2(endpoint->info.id, member->id) < own)
			before++;
	}
	return used / proxies + (before < used % proxies);
}

/*
 * How many of this proxy's links may run statements before another one is opened, where so many
 * proxies connect. A handshake takes a slot of the endpoint as long as a statement or longer.
 */
static uint32_t running_links(const struct grp_endpoint *endpoint, uint32_t proxies)
{
	uint32_t slots = endpoint->info.slots ? endpoint->info.slots : SLOTS_ASSUMED;
	uint32_t running = slots * RUNNING_PER_SLOT / (proxies ? proxies : 1);

	return running < RUNNING_MIN ? RUNNING_MIN : running;
}

/* Sets how many links this proxy may hold to an endpoint. */
void ent_allowance_set(struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t links;
	uint32_t running;

	if (endpoint->removed || endpoint->info.leaving)
		return;
	links = ent_holder_rank(entry, endpoint) != MEM_NO_RANK ||
				connects_directly(entry, endpoint)
			? allowance(entry, endpoint)
			: 1;
	if (!links)
		links = 1;
	running = running_links(endpoint, used_connections(endpoint) / links);
	stm_allowance_set(entry->statements, endpoint, links, running);
}

/* Sets the allowances of all endpoints anew, after a change of the proxies or configuration. */
void ent_allowances_set(struct ent_entry *entry)
{
	struct grp_group *group;

	entry->proxies = mem_live_count(entry->members);
	for (group = grp_group_first(entry->groups); group;
	     group = grp_group_next(entry->groups, group)) {
		struct grp_endpoint *endpoint;

		for (endpoint = grp_first(group); endpoint; endpoint = grp_next(endpoint))
			ent_allowance_set(entry, endpoint);
	}
}

static void way_key(const char *proxy, const struct grp_endpoint *endpoint, char out[KEY_BYTES])
{
	snprintf(out, KEY_BYTES, "%s %s", proxy, endpoint ? endpoint->info.id : "");
}

static struct bad_way *way_find(const struct ent_entry *entry, const char *proxy,
				const struct grp_endpoint *endpoint)
{
	char key[KEY_BYTES];

	way_key(proxy, endpoint, key);
	return apr_hash_get(entry->bad_ways, key, APR_HASH_KEY_STRING);
}

static struct bad_way *way_get(struct ent_entry *entry, const char *proxy,
			       const struct grp_endpoint *endpoint)
{
	struct bad_way *way = way_find(entry, proxy, endpoint);

	if (way)
		return way;
	way = calloc(1, sizeof(*way));
	if (!way)
		return NULL;
	way_key(proxy, endpoint, way->key);
	apr_hash_set(entry->bad_ways, way->key, APR_HASH_KEY_STRING, way);
	/* The analyzer does not see that the hash keeps the way. */
	return way; /* NOLINT(clang-analyzer-unix.Malloc) */
}

static void fall_silent(struct bad_way *way, uint64_t now_us)
{
	way->silent = true;
	way->silent_us = now_us;
	way->ask_us = now_us;
}

/*
 * Whether the proxy answers, as far as is known. One that was silent, or that others suspect, is
 * asked for a sign of life; until that comes, statements take another way.
 */
static bool answers(struct ent_entry *entry, const struct mem_update *member,
		    const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct bad_way *way = way_find(entry, member->id, NULL);

	if (member->health == MEM_SUSPECT &&
	    (!way || (!way->silent && now_us - way->proved_us >= PROVED_US))) {
		way = way_get(entry, member->id, NULL);
		if (way)
			fall_silent(way, now_us);
	}
	if (!way || !way->silent)
		return true;
	if (now_us >= way->ask_us) {
		way->ask_us = now_us + ASK_AGAIN_US;
		stm_proxy_ask(entry->statements, member->id, endpoint, now_us);
	}
	return false;
}

static bool reaches(const struct ent_entry *entry, const char *proxy,
		    const struct grp_endpoint *endpoint, uint64_t now_us)
{
	const struct bad_way *way = way_find(entry, proxy, endpoint);

	return !way || now_us >= way->until_us;
}

/* The proxy that reaches a leader which this one does not reach, or NULL. */
static const char *reaching_proxy(struct ent_entry *entry, const struct grp_endpoint *endpoint,
				  uint64_t now_us)
{
	const struct ent_leader_word *word;
	const struct mem_update *member;

	if (!endpoint->suspect || endpoint->group->leader != endpoint)
		return NULL;
	word = apr_hash_get(entry->words, endpoint->group->name, APR_HASH_KEY_STRING);
	member = word && now_us < word->until_us ? mem_find(entry->members, word->proxy) : NULL;
	return member && answers(entry, member, endpoint, now_us) ? word->proxy : NULL;
}

/*
 * The holder through which this proxy reaches the endpoint; NULL: it connects by itself, as a
 * holder or since no holder answers.
 */
const char *ent_via(void *data, const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const char *best = reaching_proxy(entry, endpoint, now_us);
	const struct holders *holders;
	uint64_t best_score = 0;
	uint32_t i;

	if (best)
		return best;
	if (connects_directly(entry, endpoint))
		return NULL;
	holders = find_holders(entry, endpoint);
	for (i = 0; i < holders->count; i++) {
		const struct mem_update *member = holders->members[i];
		uint64_t score;

		if (is_self(entry, member))
			return NULL;
		/* Spreads the proxies over the holders. */
		score = bc_hash2(entry->settings.id, member->id) ^ bc_hash(endpoint->info.id);
		if ((best && score <= best_score) || !answers(entry, member, endpoint, now_us) ||
		    !reaches(entry, member->id, endpoint, now_us))
			continue;
		best = member->id;
		best_score = score;
	}
	return best;
}

/* The proxy of this failure domain that asks for a group's positions on behalf of the others. */
static const struct mem_update *domain_sampler(struct ent_entry *entry,
					       const struct grp_endpoint *endpoint, uint64_t now_us)
{
	const uint64_t seed = bc_hash(endpoint->group->name);
	const struct mem_update *best = NULL;
	const struct ent_roster_domain *own;
	uint64_t best_score = 0;
	uint32_t count;
	uint32_t i;

	for (own = ent_roster_domains(entry, &count); count; own++, count--)
		if (strcmp(own->name, entry->settings.domain) == 0)
			break;
	for (i = 0; count && i < own->count; i++) {
		const struct mem_update *member = own->members[i];
		uint64_t score = bc_hash_seeded(member->id, seed);

		if (best && score <= best_score)
			continue;
		if (!is_self(entry, member) && !answers(entry, member, endpoint, now_us))
			continue;
		best = member;
		best_score = score;
	}
	return best;
}

/*
 * Whom this proxy asks for a position of the endpoint's group. One proxy of a failure domain asks
 * the leader's holder, the others ask that one: bytes within a failure domain cost nothing.
 */
const char *ent_sample_via(void *data, const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct mem_update *sampler;

	if (connects_directly(entry, endpoint) ||
	    strcmp(endpoint->info.domain, entry->settings.domain) == 0)
		return ent_via(data, endpoint, now_us);
	sampler = domain_sampler(entry, endpoint, now_us);
	if (!sampler || is_self(entry, sampler))
		return ent_via(data, endpoint, now_us);
	return sampler->id;
}

/* A holder is silent, or does not reach the endpoint. */
void ent_via_failed(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		    uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct bad_way *way = way_get(entry, proxy, endpoint);

	if (!way)
		return;
	if (endpoint ? now_us >= way->until_us : !way->silent)
		bc_log(entry->ctx, BC_LOG_WARN, "way_lost", "{s:s,s:s,s:I}", "proxy", proxy,
		       "endpoint", endpoint ? endpoint->info.id : "", "for_ms",
		       (json_int_t)(endpoint ? BAD_WAY_US / BC_US_PER_MS : 0));
	if (endpoint)
		way->until_us = now_us + BAD_WAY_US;
	else if (!way->silent)
		fall_silent(way, now_us);
}

/* A proxy has answered what was sent to it at sent_us. */
void ent_via_answered(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct bad_way *way = way_find(entry, proxy, NULL);

	/* What was sent before it fell silent proves nothing: the answer may have been held up. */
	if (!way || sent_us < way->silent_us)
		return;
	way->proved_us = now_us;
	if (!way->silent)
		return;
	way->silent = false;
	bc_log(entry->ctx, BC_LOG_INFO, "way_regained", "{s:s,s:I}", "proxy", proxy, "after_ms",
	       (json_int_t)((now_us - way->silent_us) / BC_US_PER_MS));
}

/* Frees what is known of ways that failed. */
void ent_holders_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->bad_ways))) {
		struct bad_way *way = apr_hash_this_val(it);

		apr_hash_set(entry->bad_ways, way->key, APR_HASH_KEY_STRING, NULL);
		free(way);
	}
}
