#include "entry/entry_internal.h"

#include "core/entries.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Resolution of the membership timers; the shortest of them takes some hundred milliseconds. */
#define MEMBER_TICK_US (100 * BC_US_PER_MS)
/* Interval for requesting copies from other proxies while the store is unreachable. */
#define PULL_INTERVAL_US (300 * BC_US_PER_MS)
/* Two, since one may be cut off as well; not more, since each may send a full copy. */
#define PULL_PEERS 2U
/* Proxies that are asked about a leader; in a larger fleet they are a sample of the others. */
#define LEADER_QUERY_PEERS 15U
/* A leader that answered within this time is reported as reachable to a peer that asks. */
#define LEADER_ANSWER_MAX_AGE_US (400 * BC_US_PER_MS)
/* A watch normally returns a change within this time; after it a peer in the domain is asked. */
#define PULL_DELAY_US (250 * BC_US_PER_MS)
/* Delay of a proxy without a watch, which learns of changes from its domain's watchers first. */
#define PULL_DELAY_LISTING_US (5 * BC_US_PER_MS)
/*
 * Delay of a proxy that has just started and has no copy: long enough to choose among several peers
 * of its domain, so that a fleet that starts does not ask the first one all at once.
 */
#define PULL_DELAY_FIRST_US (15 * BC_US_PER_MS)
/* Traffic from other domains has a cost; a copy from the own domain mostly arrives before this. */
#define PULL_DELAY_REMOTE_US (400 * BC_US_PER_MS)
/*
 * Limit for the uncompressed text of full copies that a proxy sends. Compressed to about a seventh,
 * it takes half the bandwidth of the sites' slowest link, 10 Mbit/s.
 */
#define COPIES_BYTES_PER_S (4ULL * 1024 * 1024)
/* Proxies that are notified of a new version directly; these notify others. */
#define VERSION_PUSH_PEERS 8U
/* Level at which the specs in a document {"objects":[{"spec":{}}]} open. */
#define DOCUMENT_SPEC_LEVEL 4U

static void message_init(struct ent_entry *entry, struct wire_message *message, enum wire_kind kind)
{
	int i;

	memset(message, 0, sizeof(*message));
	message->kind = kind;
	for (i = 0; i < SYN_KINDS; i++) {
		struct bc_version version = syn_version(entry->sync, (enum syn_kind)i);

		message->versions[i] = version.revision;
		message->eras[i] = version.era;
	}
}

/* Returns the sender's version of a document. */
static struct bc_version peer_version(const struct wire_message *message, uint32_t document)
{
	struct bc_version version = {message->eras[document], message->versions[document]};

	return version;
}

static bool same_domain(const struct ent_entry *entry, const struct mem_update *member)
{
	return strcmp(member->domain, entry->settings.domain) == 0;
}

static void on_member_send(void *data, const char *id, const char *address,
			   const struct mem_message *member)
{
	struct ent_entry *entry = data;
	const struct mem_update *to = mem_find(entry->members, id);
	struct wire_message message;

	message_init(entry, &message, WIRE_MEMBER);
	message.member = *member;
	message.compress = to && !same_domain(entry, to);
	entry->ops.peer_send(entry->ops.data, address, &message);
}

static void on_members_changed(void *data)
{
	struct ent_entry *entry = data;

	entry->members_changed = true;
}

/*
 * Applies the changes of the members since the last call. Many members change at once when a fleet
 * starts or is partitioned, and on a small VM recomputing the connection allowances of all
 * endpoints for each change would take longer than the rest of a start.
 */
void ent_members_apply(struct ent_entry *entry)
{
	if (!entry->members_changed || !entry->statements)
		return;
	entry->members_changed = false;
	ent_limits_members(entry);
	if (mem_live_count(entry->members) != entry->live_proxies) {
		bc_log(entry->ctx, BC_LOG_INFO, "proxies_changed", "{s:i,s:i}", "live",
		       (int)mem_live_count(entry->members), "before", (int)entry->live_proxies);
		ent_allowances_set(entry);
		entry->duty_changed = true;
	}
}

/* Sends a message to all other proxies of the own failure domain, those that are leaving too. */
static void send_to_own_domain(struct ent_entry *entry, const struct wire_message *message)
{
	size_t i;

	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && same_domain(entry, member) &&
		    strcmp(member->id, entry->settings.id) != 0)
			entry->ops.peer_send(entry->ops.data, member->address, message);
	}
}

/* Sends a message to FLW_FORWARDERS random proxies of each other failure domain. */
static void send_to_forwarders(struct ent_entry *entry, const struct wire_message *message)
{
	const struct ent_roster_domain *domains;
	uint32_t count;
	uint32_t i;
	uint32_t j;

	domains = ent_roster_domains(entry, &count);
	for (i = 0; i < count; i++) {
		const struct ent_roster_domain *domain = &domains[i];
		uint32_t first = (uint32_t)bc_random_below(entry->ctx, domain->count);

		if (strcmp(domain->name, entry->settings.domain) == 0)
			continue;
		for (j = 0; j < FLW_FORWARDERS && j < domain->count; j++)
			entry->ops.peer_send(entry->ops.data,
					     domain->members[(first + j) % domain->count]->address,
					     message);
	}
}

/*
 * Tells the other proxies of the own failure domain that the store answered `origin` this long ago;
 * with `fleet` also some of each other domain, which forward it.
 */
void ent_peer_confirm_store(void *data, const char *origin, uint64_t age_us, bool fleet)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	message_init(entry, &message, WIRE_MEMBER);
	message.member.kind = MEM_ACK;
	message.config_confirmed = true;
	message.config_confirmed_age_ms = (uint32_t)(age_us / BC_US_PER_MS);
	if (strcmp(origin, entry->settings.id) != 0)
		snprintf(message.config_confirmed_for, sizeof(message.config_confirmed_for), "%s",
			 origin);
	send_to_own_domain(entry, &message);
	if (fleet)
		send_to_forwarders(entry, &message);
}

static void on_confirmation(struct ent_entry *entry, const char *peer,
			    const struct wire_message *message, uint64_t now_us)
{
	const struct mem_update *sender = mem_find(entry->members, peer);
	const char *origin =
		message->config_confirmed_for[0] ? message->config_confirmed_for : peer;

	flw_confirmation_received(entry->follow, origin,
				  sender && strcmp(sender->domain, entry->settings.domain) == 0,
				  message->config_confirmed_age_ms * BC_US_PER_MS, now_us);
}

static void on_member_timer(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;

	mem_tick(entry->members, now_us);
	ent_members_apply(entry);
	entry->duty_changed |=
		flw_tick(entry->follow, syn_version(entry->sync, SYN_CONFIG), now_us);
	if (entry->duty_changed)
		ent_follow_check(entry, now_us);
	entry->duty_changed = false;
	bc_timer_set(entry->timers, &entry->member_timer, now_us + MEMBER_TICK_US);
}

/* Asks a peer for the changes since a revision; 0: for the full copy. */
static void pull_since(struct ent_entry *entry, const char *address, enum syn_kind kind,
		       uint64_t since)
{
	struct wire_message message;

	message_init(entry, &message, WIRE_PULL);
	message.document = kind;
	message.since = since;
	entry->ops.peer_send(entry->ops.data, address, &message);
}

static void pull_from(struct ent_entry *entry, const char *address, enum syn_kind kind)
{
	pull_since(entry, address, kind, syn_version(entry->sync, kind).revision);
}

/*
 * Chooses the peers to ask for copies: one proxy of the own domain if there is one, since full
 * copies for all proxies of a domain would saturate the links from other domains; otherwise random
 * ones. Returns their number.
 */
static size_t choose_pull_peers(struct ent_entry *entry, const struct mem_update **peers)
{
	const size_t count = mem_count(entry->members);
	const size_t first = bc_random_below(entry->ctx, count);
	size_t i;

	for (i = 0; i < count; i++) {
		const struct mem_update *member = mem_at(entry->members, (first + i) % count);

		if (member->health == MEM_DEAD || !same_domain(entry, member) ||
		    strcmp(member->id, entry->settings.id) == 0)
			continue;
		peers[0] = member;
		return 1;
	}
	return mem_sample(entry->members, PULL_PEERS, peers);
}

/* Asks peers for copies, and a seed as well while a copy is missing. */
static void on_pull_timer(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;
	const struct mem_update *peers[PULL_PEERS];
	size_t count = choose_pull_peers(entry, peers);
	const uint32_t seeds = entry->settings.seed_count;
	const char *seed = seeds ? entry->settings.seeds[bc_random_below(entry->ctx, seeds)] : "";
	bool complete = syn_is_complete(entry->sync, SYN_CONFIG) &&
			syn_is_complete(entry->sync, SYN_ENDPOINTS);
	size_t i;
	int kind;

	if (syn_is_reachable(entry->sync) && complete)
		return;
	for (kind = 0; kind < SYN_KINDS; kind++) {
		/* While the store is reachable, it provides the changes to a complete copy. */
		if (syn_is_reachable(entry->sync) &&
		    syn_is_complete(entry->sync, (enum syn_kind)kind))
			continue;
		for (i = 0; i < count; i++)
			pull_from(entry, peers[i]->address, (enum syn_kind)kind);
		if (!complete && seed[0] && strcmp(seed, entry->settings.peer_address) != 0)
			pull_from(entry, seed, (enum syn_kind)kind);
	}
	bc_timer_set(entry->timers, &entry->pull_timer, now_us + PULL_INTERVAL_US);
}

/* Starts to ask other proxies for their copies, until the store is reachable. */
void ent_peer_pull_start(struct ent_entry *entry, uint64_t now_us)
{
	if (!bc_timer_is_set(&entry->pull_timer))
		bc_timer_set(entry->timers, &entry->pull_timer, now_us);
}

/* Sends this proxy's revisions to other proxies, so that they request newer ones. */
void ent_peer_push_versions(struct ent_entry *entry)
{
	const struct mem_update *peers[VERSION_PUSH_PEERS];
	size_t count = mem_sample(entry->members, VERSION_PUSH_PEERS, peers);
	struct wire_message message;
	size_t i;

	/* An acknowledgement without a ping carries the versions and is otherwise ignored. */
	message_init(entry, &message, WIRE_MEMBER);
	message.member.kind = MEM_ACK;
	/* Receivers that have just started too do not know this proxy's address. */
	if (flw_in_startup(entry->follow)) {
		message.member.updates[0] = *mem_find(entry->members, entry->settings.id);
		message.member.update_count = 1;
	}
	for (i = 0; i < count; i++)
		if (!same_domain(entry, peers[i]))
			entry->ops.peer_send(entry->ops.data, peers[i]->address, &message);
	/* Proxies that do not watch the store rely on the watchers of their domain. */
	if (flw_mode_get(entry->follow, SYN_CONFIG) != FLW_LIST_PERIODIC)
		send_to_own_domain(entry, &message);
}

static void hint_init(struct ent_entry *entry, struct wire_message *message,
		      const struct wire_hint *hint)
{
	message_init(entry, message, WIRE_MEMBER);
	message->member.kind = MEM_ACK;
	message->hint_count = 1;
	message->hints[0] = *hint;
}

static void broadcast_hint(struct ent_entry *entry, const struct wire_hint *hint)
{
	struct wire_message message;
	size_t i;

	hint_init(entry, &message, hint);
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && strcmp(member->id, entry->settings.id) != 0)
			entry->ops.peer_send(entry->ops.data, member->address, &message);
	}
}

static void hint_fill(struct wire_hint *hint, const struct grp_group *group, bool unreachable)
{
	memset(hint, 0, sizeof(*hint));
	snprintf(hint->database, sizeof(hint->database), "%s", group->name);
	hint->term = group->term ? group->term : 1;
	if (group->leader)
		snprintf(hint->primary, sizeof(hint->primary), "%s", group->leader->info.id);
	hint->unreachable = unreachable;
}

/*
 * Asks other proxies whether the group's leader answers them, or which endpoint leads if none is
 * known. Dead members are asked too, since in a partition this proxy sees all members of the other
 * side as dead.
 */
void ent_peer_query_leader(struct ent_entry *entry, const struct grp_group *group)
{
	struct ent_leader_poll *poll = ent_leader_poll(entry, group);
	const size_t count = mem_count(entry->members);
	const size_t first = bc_random_below(entry->ctx, count);
	struct wire_message message;
	struct wire_hint hint;
	size_t i;

	if (!poll)
		return;
	poll->asked = 0;
	poll->replied = 0;
	hint_fill(&hint, group, true);
	hint_init(entry, &message, &hint);
	for (i = 0; i < count && poll->asked < LEADER_QUERY_PEERS; i++) {
		const struct mem_update *member = mem_at(entry->members, (first + i) % count);

		if (member->leaving || strcmp(member->id, entry->settings.id) == 0)
			continue;
		poll->asked++;
		entry->ops.peer_send(entry->ops.data, member->address, &message);
	}
}

/* Announces the group's leader to the other proxies. */
void ent_peer_announce_leader(struct ent_entry *entry, const struct grp_group *group)
{
	struct wire_hint hint;

	if (!group->leader)
		return;
	hint_fill(&hint, group, false);
	broadcast_hint(entry, &hint);
}

static const char *peer_address(const struct ent_entry *entry, const char *peer)
{
	const struct mem_update *member = mem_find(entry->members, peer);

	return member ? member->address : NULL;
}

/* Sends a statement or a result; these are most of the traffic between proxies. */
static void send_relay_message(struct ent_entry *entry, const char *proxy,
			       struct wire_message *message)
{
	const struct mem_update *member = mem_find(entry->members, proxy);

	if (!member)
		return;
	message->compress = !same_domain(entry, member);
	entry->ops.peer_send(entry->ops.data, member->address, message);
}

/* Sends a statement to the proxy that relays it to the endpoint. */
void ent_order_send(void *data, const char *proxy, const struct sql_order *order)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	message_init(entry, &message, WIRE_ORDER);
	message.order = *order;
	send_relay_message(entry, proxy, &message);
}

/* Sends a result to the proxy that sent the statement. */
void ent_reply_send(void *data, const char *proxy, const struct sql_reply *reply)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	message_init(entry, &message, WIRE_REPLY);
	message.reply = *reply;
	send_relay_message(entry, proxy, &message);
}

static bool leader_answers(const struct grp_group *group, const char *leader_id, uint64_t now_us)
{
	const struct grp_endpoint *leader = group->leader;

	return leader && !leader->suspect && strcmp(leader->info.id, leader_id) == 0 &&
	       now_us - leader->answered_us <= LEADER_ANSWER_MAX_AGE_US;
}

/* Answers a proxy that asks about a leader: whether it answers this proxy, or which one leads. */
static void reply_to_query(struct ent_entry *entry, const char *peer, struct grp_group *group,
			   const struct wire_hint *hint, uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	struct wire_hint reply = *hint;
	struct wire_message message;

	if (!address)
		return;
	if (group->leader && strcmp(group->leader->info.id, hint->primary) != 0)
		hint_fill(&reply, group, false);
	else if (leader_answers(group, hint->primary, now_us))
		reply.unreachable = false;
	/* The term 0 marks a reply, which must not be answered. */
	if (reply.unreachable)
		reply.term = 0;
	hint_init(entry, &message, &reply);
	entry->ops.peer_send(entry->ops.data, address, &message);
}

static void on_hint(struct ent_entry *entry, const char *peer, const struct wire_hint *hint,
		    uint64_t now_us)
{
	struct grp_group *group = grp_find(entry->groups, hint->database);
	struct ent_leader_poll *poll = group ? ent_leader_poll(entry, group) : NULL;
	struct grp_endpoint *endpoint;

	if (!poll)
		return;
	if (hint->unreachable && hint->term) {
		reply_to_query(entry, peer, group, hint, now_us);
		return;
	}
	poll->replied++;
	endpoint = grp_endpoint_find(entry->groups, hint->primary);
	if (hint->unreachable || !endpoint || endpoint->group != group)
		return;
	if (endpoint == group->leader) {
		tko_peer_reaches_leader(entry->takeover, group, now_us);
		ent_leader_reached_by_peer(entry, peer, group, now_us);
	} else {
		grp_hint_leader(entry->groups, endpoint, hint->term, now_us);
	}
}

static void on_push(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		    uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	const char *content = message->content ? message->content : "";
	uint32_t replaced;
	json_t *document =
		bc_entries_load(content, strlen(content), DOCUMENT_SPEC_LEVEL, &replaced);
	enum bc_status status;

	if (!document) {
		bc_log(entry->ctx, BC_LOG_WARN, "peer_document_malformed", "{s:s}", "error",
		       "not JSON");
		return;
	}
	if (replaced)
		bc_log(entry->ctx, BC_LOG_WARN, "objects_unreadable", "{s:s,s:i}", "peer", peer,
		       "count", (int)replaced);
	snprintf(entry->document_sender, sizeof(entry->document_sender), "%s", peer);
	status =
		syn_document_apply(entry->sync, (enum syn_kind)message->document, document, now_us);
	entry->document_sender[0] = '\0';
	if (status == BC_EINVAL)
		bc_log(entry->ctx, BC_LOG_WARN, "peer_document_malformed", "{s:s}", "error",
		       bc_last_message(entry->ctx));
	if (status == BC_ECONFLICT) {
		bc_log(entry->ctx, BC_LOG_INFO, "peer_changes_incomplete", "{s:s,s:i,s:I}", "peer",
		       peer, "document", (int)message->document, "version",
		       (json_int_t)message->version);
		if (address)
			pull_since(entry, address, (enum syn_kind)message->document, 0);
	}
	json_decref(document);
}

/*
 * Returns whether a full copy may be sent now, within COPIES_BYTES_PER_S. After a start no proxy
 * has a copy and all ask the seeds repeatedly; those that have received one can send it to others.
 */
static bool may_send_copy(struct ent_entry *entry, size_t bytes, uint64_t now_us)
{
	if (entry->copies_budget_used_until_us > now_us)
		return false;
	if (entry->copies_budget_used_until_us + BC_US_PER_S < now_us)
		entry->copies_budget_used_until_us = now_us - BC_US_PER_S;
	entry->copies_budget_used_until_us += bytes * BC_US_PER_S / COPIES_BYTES_PER_S;
	return true;
}

static void on_pull(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		    uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	struct wire_message reply;
	struct bc_version version;
	const char *document;
	uint64_t since;

	if (!address || message->document >= SYN_KINDS)
		return;
	version = syn_version(entry->sync, (enum syn_kind)message->document);
	if (bc_version_compare(version, peer_version(message, message->document)) <= 0)
		return;
	/* The changes since a revision of another era are not known. */
	since = message->eras[message->document] == version.era ? message->since : 0;
	document = syn_document(entry->sync, (enum syn_kind)message->document, since);
	if (!document)
		return;
	if (!since && !may_send_copy(entry, strlen(document), now_us)) {
		bc_counter_add(entry->ctx, "bulrushcleat_copies_postponed_total", NULL, 1);
		return;
	}
	message_init(entry, &reply, WIRE_PUSH);
	reply.document = message->document;
	reply.version = version.revision;
	/* The message only borrows the text, so it is not cleared. */
	reply.content = (char *)document;
	entry->ops.peer_send(entry->ops.data, address, &reply);
}

static void on_pending_pull_timer(void *data, uint64_t now_us)
{
	struct ent_pending_pull *pending_pull = data;

	(void)now_us;
	if (bc_version_compare(pending_pull->version,
			       syn_version(pending_pull->entry->sync, pending_pull->kind)) > 0)
		pull_from(pending_pull->entry, pending_pull->address, pending_pull->kind);
}

static uint64_t pull_delay_us(const struct ent_entry *entry, const struct mem_update *member,
			      enum syn_kind kind)
{
	if (!same_domain(entry, member))
		return PULL_DELAY_REMOTE_US;
	if (!syn_is_complete(entry->sync, kind))
		return PULL_DELAY_FIRST_US;
	return flw_mode_get(entry->follow, SYN_CONFIG) == FLW_LIST_PERIODIC ? PULL_DELAY_LISTING_US
									    : PULL_DELAY_US;
}

/* Whether this offer of a first copy replaces the one before, so that each is as likely. */
static bool prefers_offer(struct ent_entry *entry, struct ent_pending_pull *pending_pull,
			  const struct mem_update *member)
{
	if (syn_is_complete(entry->sync, pending_pull->kind) || !same_domain(entry, member))
		return false;
	return bc_random_below(entry->ctx, ++pending_pull->offers) == 0;
}

/*
 * Schedules requests for the copies that are newer at the peer. The delay leaves time for the watch
 * to return the change first, as it mostly does.
 */
static void schedule_pulls(struct ent_entry *entry, const struct mem_update *member,
			   const struct wire_message *message, uint64_t now_us)
{
	int kind;

	for (kind = 0; kind < SYN_KINDS; kind++) {
		struct ent_pending_pull *pending_pull = &entry->pending_pull[kind];
		uint64_t due_us = now_us + pull_delay_us(entry, member, pending_pull->kind);

		if (bc_version_compare(peer_version(message, (uint32_t)kind),
				       syn_version(entry->sync, pending_pull->kind)) <= 0)
			continue;
		if (!bc_timer_is_set(&pending_pull->timer))
			pending_pull->offers = 1;
		else if (pending_pull->timer.due_us > due_us)
			bc_timer_cancel(entry->timers, &pending_pull->timer);
		else if (!prefers_offer(entry, pending_pull, member))
			continue;
		pending_pull->version = peer_version(message, (uint32_t)kind);
		snprintf(pending_pull->address, sizeof(pending_pull->address), "%s",
			 member->address);
		if (!bc_timer_is_set(&pending_pull->timer))
			bc_timer_set(entry->timers, &pending_pull->timer, due_us);
	}
}

/* Handles a message from another proxy. */
void ent_peer_message(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		      uint64_t now_us)
{
	const struct mem_update *member;
	uint32_t i;

	flw_peer_heard(entry->follow, now_us);
	if (message->config_confirmed)
		on_confirmation(entry, peer, message, now_us);
	if (message->kind == WIRE_PUSH)
		on_push(entry, peer, message, now_us);
	else if (message->kind == WIRE_PULL)
		on_pull(entry, peer, message, now_us);
	else if (message->kind == WIRE_ORDER)
		stm_order(entry->statements, peer, &message->order, now_us);
	else if (message->kind == WIRE_REPLY)
		stm_reply(entry->statements, peer, &message->reply, now_us);
	else if (message->kind == WIRE_QUOTA)
		ent_limits_message(entry, peer, &message->quota, now_us);
	else if (message->member.kind != MEM_ACK || message->member.sequence ||
		 message->member.update_count)
		mem_receive(entry->members, peer, &message->member, now_us);
	for (i = 0; i < message->hint_count; i++)
		on_hint(entry, peer, &message->hints[i], now_us);
	member = mem_find(entry->members, peer);
	if (member && message->kind != WIRE_PUSH)
		schedule_pulls(entry, member, message, now_us);
}

/* Sends a request for tokens or its answer to a proxy, if it is known. */
void ent_quota_send(struct ent_entry *entry, const char *proxy, const struct qta_message *message)
{
	const char *address = peer_address(entry, proxy);
	struct wire_message out;

	if (!address)
		return;
	message_init(entry, &out, WIRE_QUOTA);
	/* The items are borrowed, so the message is not cleared. */
	out.quota = *message;
	entry->ops.peer_send(entry->ops.data, address, &out);
}

/* Creates the membership state with this proxy as its only member, and the peer timers. */
void ent_peers_init(struct ent_entry *entry, uint64_t now_us)
{
	static const struct mem_ops ops = {on_member_send, on_members_changed};
	struct mem_update self = {.incarnation = entry->settings.incarnation, .health = MEM_ALIVE};
	int kind;

	snprintf(self.id, sizeof(self.id), "%s", entry->settings.id);
	snprintf(self.address, sizeof(self.address), "%s", entry->settings.peer_address);
	snprintf(self.domain, sizeof(self.domain), "%s", entry->settings.domain);
	snprintf(self.region, sizeof(self.region), "%s", entry->settings.region);
	entry->members = mem_create(entry->ctx, &self, &ops, entry);
	bc_timer_init(&entry->member_timer, on_member_timer, entry);
	bc_timer_init(&entry->pull_timer, on_pull_timer, entry);
	for (kind = 0; kind < SYN_KINDS; kind++) {
		entry->pending_pull[kind].entry = entry;
		entry->pending_pull[kind].kind = (enum syn_kind)kind;
		bc_timer_init(&entry->pending_pull[kind].timer, on_pending_pull_timer,
			      &entry->pending_pull[kind]);
	}
	bc_timer_set(entry->timers, &entry->member_timer, now_us + MEMBER_TICK_US);
}
