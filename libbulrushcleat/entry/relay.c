#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Which proxies connect to an endpoint. An endpoint limits the connections of all proxies together.
 * If an equal share is at least CONNECTIONS_DIRECT_MIN, each proxy connects directly. Otherwise a
 * few proxies near the endpoint, its relays, share the connections and run the statements of the
 * others. All proxies compute the same relays from the members that they know.
 */

/*
 * One in this many of an endpoint's connections is used. The rest is left for proxies that restart,
 * because an endpoint keeps the connections of VMs that lost power for some seconds.
 */
#define USABLE_CONNECTIONS_DIVISOR 2U
/* With fewer connections, a transaction that pauses blocks the proxy's other statements. */
#define CONNECTIONS_DIRECT_MIN 2U
/* Enough to keep an endpoint's slots busy while some connections hold paused transactions. */
#define CONNECTIONS_PER_RELAY 4U
/*
 * The same if there are accounts, also the minimum for direct connections then. Fewer relays with
 * more connections each keep connections of more accounts open, and leave more of them free beside
 * paused transactions.
 */
#define CONNECTIONS_PER_RELAY_BY_ACCOUNT 8U
/*
 * Links of all proxies, per slot of the endpoint, that may run statements before more links are
 * opened. Statements beyond one per slot wait at the endpoint, and keep its slots busy while others
 * are in transit.
 */
#define RUNNING_LINKS_PER_SLOT 8U
/* Minimum for one proxy, so that a slow statement does not block the others. */
#define RUNNING_LINKS_MIN 2U
/* For an endpoint whose entry has no slot count; the sites have 2 and 3. */
#define DEFAULT_SLOTS 2U
/* The distance to another region; see distance(). */
#define DISTANCE_MAX 2U
/* Enough for one endpoint to have relays in several failure domains. */
#define RELAYS_MAX 8U
/* A relay that failed to reach the endpoint is not chosen for it again for this time. */
#define PATH_RETRY_US (1200 * BC_US_PER_MS)
/*
 * Probe interval for an unresponsive proxy, while there are statements that it could relay. It gets
 * no statement before it has answered, since each statement that is lost in a partition costs its
 * caller 0.4 s.
 */
#define PROBE_INTERVAL_US (400 * BC_US_PER_MS)
/* After a reply from a proxy, other members' suspicion of it is ignored for this time. */
#define REPLY_TRUST_US (2 * BC_US_PER_S)
/*
 * A checked relay without an answer is avoided from this long after the check on, longer than the
 * longest round trip: relays fall silent together when the network is partitioned, and statements
 * that were sent through one of them are to go elsewhere only once.
 */
#define CHECK_ANSWER_US (40 * BC_US_PER_MS)
/* A checked relay that has not answered after this time is unresponsive. */
#define CHECK_FAILED_US (400 * BC_US_PER_MS)
/* A relay that has answered is not checked again before this. */
#define CHECK_INTERVAL_US (600 * BC_US_PER_MS)
/* A proxy id, a space, and an endpoint id or nothing. */
#define PATH_KEY_BYTES (2 * BC_ID_BYTES)

/* The state of a path that has failed: to a proxy, or to an endpoint through a proxy. */
struct relay_path {
	uint64_t retry_us; /* path to an endpoint: not used before this */
	/* The path to the proxy itself: */
	bool unresponsive;
	uint64_t unresponsive_since_us; /* until a message sent later than this is answered */
	uint64_t next_probe_us;
	uint64_t last_reply_us; /* last reply since the first failure or check */
	uint64_t checked_us;	/* last check while another relay of the endpoint was slow */
	char key[PATH_KEY_BYTES];
};

/* The relays of an endpoint, by descending score, and the values that they were computed from. */
struct relays {
	char endpoint_id[BC_ID_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	uint32_t usable_connections;
	bool by_account;
	uint64_t members_version;
	const struct mem_update *members[RELAYS_MAX];
	uint64_t scores[RELAYS_MAX];
	uint32_t count;
};

static uint32_t usable_connections(const struct grp_endpoint *endpoint)
{
	uint32_t usable = endpoint->group->max_connections / USABLE_CONNECTIONS_DIVISOR;

	return usable ? usable : 1;
}

static bool has_accounts(const struct ent_entry *entry)
{
	return entry->config.accounts != NULL;
}

static bool connects_directly(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t proxies = entry->live_proxies ? entry->live_proxies : 1;

	return usable_connections(endpoint) / proxies >=
	       (has_accounts(entry) ? CONNECTIONS_PER_RELAY_BY_ACCOUNT : CONNECTIONS_DIRECT_MIN);
}

/* 0: same failure domain, 1: same region, 2: another region. */
static uint32_t distance(const struct ent_roster_domain *domain,
			 const struct grp_endpoint *endpoint)
{
	if (strcmp(domain->name, endpoint->info.domain) == 0)
		return 0;
	return strcmp(domain->region, endpoint->info.region) == 0 ? 1 : 2;
}

/* Inserts a member by descending score; drops the last one beyond max_relays. */
static void insert_by_score(struct relays *relays, uint32_t max_relays,
			    const struct mem_update *member, uint64_t score)
{
	uint32_t index = relays->count;
	uint32_t i;

	while (index > 0 && score > relays->scores[index - 1])
		index--;
	if (index >= max_relays)
		return;
	if (relays->count < max_relays)
		relays->count++;
	for (i = relays->count - 1; i > index; i--) {
		relays->members[i] = relays->members[i - 1];
		relays->scores[i] = relays->scores[i - 1];
	}
	relays->members[index] = member;
	relays->scores[index] = score;
}

static void insert_domain(struct relays *relays, uint32_t max_relays,
			  const struct ent_roster_domain *domain, uint32_t domain_distance,
			  uint64_t seed)
{
	/* The two upper bits hold the proximity, so that it takes precedence over the hash. */
	const uint64_t proximity = (uint64_t)(DISTANCE_MAX - domain_distance) << 62;
	uint32_t i;

	for (i = 0; i < domain->count; i++)
		insert_by_score(relays, max_relays, domain->members[i],
				proximity | bc_hash_seeded(domain->members[i]->id, seed) >> 2);
}

/*
 * Chooses live members by proximity, then by a hash of both ids. More distant domains are only
 * searched if the nearer ones have too few members.
 */
static void choose_relays(const struct ent_entry *entry, const struct grp_endpoint *endpoint,
			  struct relays *relays)
{
	const uint64_t seed = bc_hash(endpoint->info.id);
	uint32_t max_relays =
		relays->usable_connections /
		(relays->by_account ? CONNECTIONS_PER_RELAY_BY_ACCOUNT : CONNECTIONS_PER_RELAY);
	const struct ent_roster_domain *domains;
	uint32_t count;
	uint32_t at_distance;
	uint32_t i;

	if (max_relays < 2)
		max_relays = 2;
	if (max_relays > RELAYS_MAX)
		max_relays = RELAYS_MAX;
	relays->count = 0;
	domains = ent_roster_domains(entry, &count);
	for (at_distance = 0; at_distance <= DISTANCE_MAX && relays->count < max_relays;
	     at_distance++)
		for (i = 0; i < count; i++)
			if (distance(&domains[i], endpoint) == at_distance)
				insert_domain(relays, max_relays, &domains[i], at_distance, seed);
}

static struct relays *relays_get(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	struct relays *relays = apr_hash_get(entry->relays, endpoint->info.id, APR_HASH_KEY_STRING);

	if (relays)
		return relays;
	/* Not freed before the pool; endpoints rarely change, so the pool grows slowly. */
	relays = apr_pcalloc(entry->pool, sizeof(*relays));
	memcpy(relays->endpoint_id, endpoint->info.id, sizeof(relays->endpoint_id));
	apr_hash_set(entry->relays, relays->endpoint_id, APR_HASH_KEY_STRING, relays);
	return relays;
}

/*
 * Returns the relays of an endpoint. Each statement needs them, so they are only recomputed after a
 * change of the live members, the endpoint's domain or region, or its connections, and when the
 * first account is configured or the last one removed.
 */
static const struct relays *find_relays(const struct ent_entry *entry,
					const struct grp_endpoint *endpoint)
{
	struct relays *relays = relays_get(entry, endpoint);
	uint64_t version = mem_version(entry->members);
	uint32_t usable = usable_connections(endpoint);

	if (relays->usable_connections == usable && relays->members_version == version &&
	    relays->by_account == has_accounts(entry) &&
	    strcmp(relays->domain, endpoint->info.domain) == 0 &&
	    strcmp(relays->region, endpoint->info.region) == 0)
		return relays;
	relays->usable_connections = usable;
	relays->by_account = has_accounts(entry);
	relays->members_version = version;
	memcpy(relays->domain, endpoint->info.domain, sizeof(relays->domain));
	memcpy(relays->region, endpoint->info.region, sizeof(relays->region));
	choose_relays(entry, endpoint, relays);
	return relays;
}

static bool is_self(const struct ent_entry *entry, const struct mem_update *member)
{
	return strcmp(member->id, entry->settings.id) == 0;
}

/*
 * Returns this proxy's rank among the endpoint's relays, or for the group's duty if all proxies
 * connect directly. MEM_NO_RANK: none.
 */
int32_t ent_relay_rank(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	const struct relays *relays;
	uint32_t i;

	if (connects_directly(entry, endpoint))
		return mem_duty_rank(entry->members, endpoint->group->name, NULL);
	relays = find_relays(entry, endpoint);
	for (i = 0; i < relays->count; i++)
		if (is_self(entry, relays->members[i]))
			return (int32_t)i;
	return MEM_NO_RANK;
}

/*
 * Returns this proxy's share of an endpoint's connections. If all proxies connect directly, this is
 * an equal share, plus one of the remainder for the proxies with the lowest hashes; otherwise it is
 * the share of a relay.
 */
static uint32_t allowance(const struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t usable = usable_connections(endpoint);
	uint32_t proxies = entry->live_proxies ? entry->live_proxies : 1;
	uint64_t own_hash = bc_hash2(endpoint->info.id, entry->settings.id);
	const struct relays *relays;
	uint32_t lower_hashes = 0;
	size_t i;

	if (!connects_directly(entry, endpoint)) {
		relays = find_relays(entry, endpoint);
		return usable / (relays->count ? relays->count : 1);
	}
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && !member->leaving &&
		    bc_hash2(endpoint->info.id, member->id) < own_hash)
			lower_hashes++;
	}
	return usable / proxies + (lower_hashes < usable % proxies);
}

/*
 * Returns how many of this proxy's links may run statements before another one is opened, if this
 * many proxies connect. A handshake occupies a slot of the endpoint at least as long as a
 * statement.
 */
static uint32_t running_links(const struct grp_endpoint *endpoint, uint32_t proxies)
{
	uint32_t slots = endpoint->info.slots ? endpoint->info.slots : DEFAULT_SLOTS;
	uint32_t running = slots * RUNNING_LINKS_PER_SLOT / (proxies ? proxies : 1);

	return running < RUNNING_LINKS_MIN ? RUNNING_LINKS_MIN : running;
}

/* Sets how many links this proxy may open to an endpoint. */
void ent_allowance_set(struct ent_entry *entry, const struct grp_endpoint *endpoint)
{
	uint32_t links;
	uint32_t running;

	if (endpoint->removed || endpoint->info.leaving)
		return;
	links = ent_relay_rank(entry, endpoint) != MEM_NO_RANK || connects_directly(entry, endpoint)
			? allowance(entry, endpoint)
			: 1;
	if (!links)
		links = 1;
	running = running_links(endpoint, usable_connections(endpoint) / links);
	stm_link_limits_set(entry->statements, endpoint, links, running);
}

/* Recomputes the allowances of all endpoints after a change of the proxies or the configuration. */
void ent_allowances_set(struct ent_entry *entry)
{
	struct grp_group *group;

	entry->live_proxies = mem_live_count(entry->members);
	for (group = grp_group_first(entry->groups); group;
	     group = grp_group_next(entry->groups, group)) {
		struct grp_endpoint *endpoint;

		for (endpoint = grp_first(group); endpoint; endpoint = grp_next(endpoint))
			ent_allowance_set(entry, endpoint);
	}
}

static void path_key(const char *proxy, const struct grp_endpoint *endpoint,
		     char out[PATH_KEY_BYTES])
{
	snprintf(out, PATH_KEY_BYTES, "%s %s", proxy, endpoint ? endpoint->info.id : "");
}

static struct relay_path *path_find(const struct ent_entry *entry, const char *proxy,
				    const struct grp_endpoint *endpoint)
{
	char key[PATH_KEY_BYTES];

	path_key(proxy, endpoint, key);
	return apr_hash_get(entry->relay_paths, key, APR_HASH_KEY_STRING);
}

static struct relay_path *path_get(struct ent_entry *entry, const char *proxy,
				   const struct grp_endpoint *endpoint)
{
	struct relay_path *path = path_find(entry, proxy, endpoint);

	if (path)
		return path;
	path = calloc(1, sizeof(*path));
	if (!path)
		return NULL;
	path_key(proxy, endpoint, path->key);
	apr_hash_set(entry->relay_paths, path->key, APR_HASH_KEY_STRING, path);
	/* The analyzer does not see that the hash keeps the pointer. */
	return path; /* NOLINT(clang-analyzer-unix.Malloc) */
}

static void mark_unresponsive(struct relay_path *path, uint64_t now_us)
{
	path->unresponsive = true;
	path->unresponsive_since_us = now_us;
	path->next_probe_us = now_us;
}

/*
 * Returns whether the proxy is believed to respond. A proxy that did not answer, or that other
 * members suspect, is probed here, and statements take another path until it replies.
 */
static bool check_responsive(struct ent_entry *entry, const struct mem_update *member,
			     const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct relay_path *path = path_find(entry, member->id, NULL);

	if (member->health == MEM_SUSPECT &&
	    (!path || (!path->unresponsive && now_us - path->last_reply_us >= REPLY_TRUST_US))) {
		path = path_get(entry, member->id, NULL);
		if (path)
			mark_unresponsive(path, now_us);
	}
	if (path && !path->unresponsive && path->checked_us > path->last_reply_us &&
	    now_us - path->checked_us >= CHECK_FAILED_US)
		mark_unresponsive(path, now_us);
	if (!path || !path->unresponsive)
		return true;
	if (now_us >= path->next_probe_us) {
		path->next_probe_us = now_us + PROBE_INTERVAL_US;
		stm_proxy_probe(entry->statements, member->id, endpoint, now_us);
	}
	return false;
}

static bool path_works(const struct ent_entry *entry, const char *proxy,
		       const struct grp_endpoint *endpoint, uint64_t now_us)
{
	const struct relay_path *path = path_find(entry, proxy, endpoint);

	return !path || now_us >= path->retry_us;
}

/* Returns a proxy that reaches a leader which this proxy cannot reach, or NULL. */
static const char *leader_relay(struct ent_entry *entry, const struct grp_endpoint *endpoint,
				uint64_t now_us)
{
	const struct ent_leader_poll *poll;
	const struct mem_update *member;

	if (!endpoint->suspect || endpoint->group->leader != endpoint)
		return NULL;
	poll = apr_hash_get(entry->leader_polls, endpoint->group->name, APR_HASH_KEY_STRING);
	member = poll && now_us < poll->reached_until_us
			 ? mem_find(entry->members, poll->reaching_proxy)
			 : NULL;
	return member && check_responsive(entry, member, endpoint, now_us) ? poll->reaching_proxy
									   : NULL;
}

/* Returns whether the proxy has not answered a recent check yet, though it could have. */
static bool check_unanswered(const struct ent_entry *entry, const char *proxy, uint64_t now_us)
{
	const struct relay_path *path = path_find(entry, proxy, NULL);

	return path && path->checked_us > path->last_reply_us &&
	       now_us - path->checked_us >= CHECK_ANSWER_US;
}

/*
 * Sends a probe to the other relays of the endpoint, so that a statement that is sent again goes
 * through one that answers.
 */
void ent_relay_slow(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		    uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct relays *relays;
	uint32_t i;

	if (connects_directly(entry, endpoint))
		return;
	relays = find_relays(entry, endpoint);
	for (i = 0; i < relays->count; i++) {
		const char *id = relays->members[i]->id;
		struct relay_path *path;

		if (is_self(entry, relays->members[i]) || strcmp(id, proxy) == 0)
			continue;
		path = path_get(entry, id, NULL);
		if (!path || path->unresponsive || now_us - path->checked_us < CHECK_INTERVAL_US)
			continue;
		path->checked_us = now_us;
		stm_proxy_probe(entry->statements, id, endpoint, now_us);
	}
}

/*
 * Returns the relay for the account: the one with the highest hash of account, endpoint and member
 * of those that respond. All proxies choose the same one, so the account needs connections at one
 * relay only. NULL: this proxy itself, or no relay responds.
 */
static const char *choose_account_relay(struct ent_entry *entry, const struct relays *relays,
					const struct grp_endpoint *endpoint, const char *account,
					uint64_t now_us)
{
	const uint64_t seed = bc_hash2(account, endpoint->info.id);
	const struct mem_update *best = NULL;
	bool best_unanswered = false;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < relays->count; i++) {
		const struct mem_update *member = relays->members[i];
		uint64_t score = bc_hash_seeded(member->id, seed);
		bool unanswered = check_unanswered(entry, member->id, now_us);

		if (best && (unanswered > best_unanswered ||
			     (unanswered == best_unanswered && score <= best_score)))
			continue;
		if (!is_self(entry, member) &&
		    (!check_responsive(entry, member, endpoint, now_us) ||
		     !path_works(entry, member->id, endpoint, now_us)))
			continue;
		best = member;
		best_score = score;
		best_unanswered = unanswered;
	}
	return best && !is_self(entry, best) ? best->id : NULL;
}

/*
 * Returns the relay through which this proxy reaches the endpoint for an account (empty: none).
 * NULL: it connects directly, as no relay responds, or it is a relay itself; with an account, the
 * relay for it.
 */
const char *ent_choose_relay(void *data, const struct grp_endpoint *endpoint, const char *account,
			     uint64_t now_us)
{
	struct ent_entry *entry = data;
	const char *best = leader_relay(entry, endpoint, now_us);
	const struct relays *relays;
	bool best_unanswered = false;
	uint64_t best_score = 0;
	uint32_t i;

	if (best)
		return best;
	if (connects_directly(entry, endpoint))
		return NULL;
	relays = find_relays(entry, endpoint);
	if (account[0])
		return choose_account_relay(entry, relays, endpoint, account, now_us);
	for (i = 0; i < relays->count; i++) {
		const struct mem_update *member = relays->members[i];
		bool unanswered;
		uint64_t score;

		if (is_self(entry, member))
			return NULL;
		/* Distributes the proxies over the relays. */
		score = bc_hash2(entry->settings.id, member->id) ^ bc_hash(endpoint->info.id);
		unanswered = check_unanswered(entry, member->id, now_us);
		if ((best && (unanswered > best_unanswered ||
			      (unanswered == best_unanswered && score <= best_score))) ||
		    !check_responsive(entry, member, endpoint, now_us) ||
		    !path_works(entry, member->id, endpoint, now_us))
			continue;
		best = member->id;
		best_score = score;
		best_unanswered = unanswered;
	}
	return best;
}

/* Returns the proxy that samples a group's positions for all proxies of this failure domain. */
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
		if (!is_self(entry, member) && !check_responsive(entry, member, endpoint, now_us))
			continue;
		best = member;
		best_score = score;
	}
	return best;
}

/*
 * Returns the proxy that this one asks for a position of the endpoint's group. One proxy of each
 * failure domain asks the leader's relay and the others ask that proxy, since traffic within a
 * failure domain is free.
 */
const char *ent_choose_sample_relay(void *data, const struct grp_endpoint *endpoint,
				    uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct mem_update *sampler;

	if (connects_directly(entry, endpoint) ||
	    strcmp(endpoint->info.domain, entry->settings.domain) == 0)
		return ent_choose_relay(data, endpoint, "", now_us);
	sampler = domain_sampler(entry, endpoint, now_us);
	if (!sampler || is_self(entry, sampler))
		return ent_choose_relay(data, endpoint, "", now_us);
	return sampler->id;
}

/* Records that a proxy does not answer or, with an endpoint, that it cannot reach the endpoint. */
void ent_relay_failed(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		      uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct relay_path *path = path_get(entry, proxy, endpoint);

	if (!path)
		return;
	if (endpoint ? now_us >= path->retry_us : !path->unresponsive)
		bc_log(entry->ctx, BC_LOG_WARN, "relay_unreachable", "{s:s,s:s,s:I}", "proxy",
		       proxy, "endpoint", endpoint ? endpoint->info.id : "", "for_ms",
		       (json_int_t)(endpoint ? PATH_RETRY_US / BC_US_PER_MS : 0));
	if (endpoint)
		path->retry_us = now_us + PATH_RETRY_US;
	else if (!path->unresponsive)
		mark_unresponsive(path, now_us);
}

/* Records a proxy's answer to a message that was sent at sent_us. */
void ent_relay_answered(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us)
{
	struct ent_entry *entry = data;
	struct relay_path *path = path_find(entry, proxy, NULL);

	/* The answer to a message from before the failure may be delayed, so it proves nothing. */
	if (!path || sent_us < path->unresponsive_since_us)
		return;
	path->last_reply_us = now_us;
	if (!path->unresponsive)
		return;
	path->unresponsive = false;
	bc_log(entry->ctx, BC_LOG_INFO, "relay_reachable", "{s:s,s:I}", "proxy", proxy, "after_ms",
	       (json_int_t)((now_us - path->unresponsive_since_us) / BC_US_PER_MS));
}

/* Frees the state of the failed paths. */
void ent_relay_paths_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->relay_paths))) {
		struct relay_path *path = apr_hash_this_val(it);

		apr_hash_set(entry->relay_paths, path->key, APR_HASH_KEY_STRING, NULL);
		free(path);
	}
}
