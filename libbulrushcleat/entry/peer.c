#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Resolution of the membership timers, of which the shortest is some hundred milliseconds. */
#define MEMBER_TICK_US (100 * BC_US_PER_MS)
/* While the store is away, copies are asked of other proxies this often. */
#define PULL_US (300 * BC_US_PER_MS)
/* Two, since one may be cut off as well; each answer may hold a whole copy. */
#define PULL_PEERS 2U
/* Proxies that are asked about a leader; in a larger fleet they stand for the others. */
#define ASK_PEERS 15U
/* A leader's answer not older than this contradicts a peer's suspicion. */
#define LEADER_SEEN_US (400 * BC_US_PER_MS)
/* A watch brings a change within this time; then a newer copy is asked of a peer. */
#define NEWER_US (250 * BC_US_PER_MS)
/* Without a watch, the watchers of the own domain are the first to tell. */
#define NEWER_LISTING_US (5 * BC_US_PER_MS)
/* Copies from other domains cost; those of the own domain mostly come before this. */
#define NEWER_FAR_US (400 * BC_US_PER_MS)
/* A close watcher tells the others this often that the store answers it. */
#define CURRENT_TELL_US (500 * BC_US_PER_MS)
/* So many are told each time; the largest fleet that was measured is smaller. */
#define CURRENT_TELL_MAX 128U
/*
 * Text of whole copies that a proxy sends, over a second. Deflated to about a seventh, it is half
 * of what the narrowest link of the sites carries, 10 Mbit/s.
 */
#define COPIES_BYTES_PER_S (4ULL * 1024 * 1024)
/* Proxies that are told of a new configuration at once; those tell others. */
#define PUSH_PEERS 8U

static void message_init(struct ent_entry *entry, struct wire_message *message, enum wire_kind kind)
{
	int i;

	memset(message, 0, sizeof(*message));
	message->kind = kind;
	for (i = 0; i < SYN_KINDS; i++)
		message->versions[i] = syn_revision(entry->sync, (enum syn_kind)i);
}

static void on_member_send(void *data, const char *id, const char *address,
			   const struct mem_message *member)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	(void)id;
	message_init(entry, &message, WIRE_MEMBER);
	message.member = *member;
	entry->ports.peer_send(entry->ports.data, address, &message);
}

static void on_members_changed(void *data)
{
	struct ent_entry *entry = data;

	entry->members_changed = true;
}

/*
 * Takes over the changes of the members. Many change at once when a fleet starts or is cut in two,
 * and computing the parts of all endpoints' connections for each of them would take longer than
 * the rest of a start on a small VM.
 */
void ent_members_apply(struct ent_entry *entry)
{
	if (!entry->members_changed || !entry->statements)
		return;
	entry->members_changed = false;
	if (mem_live_count(entry->members) != entry->proxies) {
		bc_log(entry->ctx, BC_LOG_INFO, "proxies_changed", "{s:i,s:i}", "live",
		       (int)mem_live_count(entry->members), "before", (int)entry->proxies);
		ent_allowances_set(entry);
		entry->duty_changed = true;
	}
}

/* Tells the others that the store answers this proxy. */
static void tell_current(struct ent_entry *entry, uint64_t now_us)
{
	const size_t count = mem_count(entry->members);
	const size_t first = bc_random_below(entry->ctx, count);
	struct wire_message message;
	uint32_t told = 0;
	size_t i;

	if (!ent_is_current(entry, now_us) || now_us - entry->current_told_us < CURRENT_TELL_US)
		return;
	entry->current_told_us = now_us;
	message_init(entry, &message, WIRE_MEMBER);
	message.member.kind = MEM_ACK;
	message.current = true;
	for (i = 0; i < count && told < CURRENT_TELL_MAX; i++) {
		const struct mem_update *member = mem_at(entry->members, (first + i) % count);

		if (member->health == MEM_DEAD || strcmp(member->id, entry->settings.id) == 0)
			continue;
		told++;
		entry->ports.peer_send(entry->ports.data, member->address, &message);
	}
}

static void on_member_timer(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;

	mem_tick(entry->members, now_us);
	ent_members_apply(entry);
	ent_settle_check(entry, now_us);
	tell_current(entry, now_us);
	entry->duty_changed |= ent_stands_in_check(entry, now_us);
	if (entry->duty_changed)
		ent_watch_duty_check(entry, now_us);
	entry->duty_changed = false;
	bc_timer_set(entry->timers, &entry->member_timer, now_us + MEMBER_TICK_US);
}

/* Asks a peer for what is newer than a revision; 0: for the whole copy. */
static void pull_since(struct ent_entry *entry, const char *address, enum syn_kind kind,
		       uint64_t since)
{
	struct wire_message message;

	message_init(entry, &message, WIRE_PULL);
	message.document = kind;
	message.since = since;
	entry->ports.peer_send(entry->ports.data, address, &message);
}

static void pull_from(struct ent_entry *entry, const char *address, enum syn_kind kind)
{
	pull_since(entry, address, kind, syn_revision(entry->sync, kind));
}

static bool same_domain(const struct ent_entry *entry, const struct mem_update *member)
{
	return strcmp(member->domain, entry->settings.domain) == 0;
}

/*
 * Whom to ask for copies: one proxy of the own domain where there is one, since whole copies for
 * all proxies of a domain fill the links from other domains; else random ones. Returns how many.
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

/* Asks peers near by and, while a copy is lacking, a seed. */
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
		/* While the store answers, it brings what is newer. */
		if (syn_is_reachable(entry->sync) &&
		    syn_is_complete(entry->sync, (enum syn_kind)kind))
			continue;
		for (i = 0; i < count; i++)
			pull_from(entry, peers[i]->address, (enum syn_kind)kind);
		if (!complete && seed[0] && strcmp(seed, entry->settings.peer_address) != 0)
			pull_from(entry, seed, (enum syn_kind)kind);
	}
	bc_timer_set(entry->timers, &entry->pull_timer, now_us + PULL_US);
}

/* Asks other proxies for their copies until the store answers. */
void ent_peer_pull_start(struct ent_entry *entry, uint64_t now_us)
{
	if (!bc_timer_is_set(&entry->pull_timer))
		bc_timer_set(entry->timers, &entry->pull_timer, now_us);
}

/* Tells some other proxies which revisions this one has, so that they ask for what they lack. */
void ent_peer_push_versions(struct ent_entry *entry)
{
	const struct mem_update *peers[PUSH_PEERS];
	size_t count = mem_sample(entry->members, PUSH_PEERS, peers);
	struct wire_message message;
	size_t i;

	/* An acknowledgement of no ping carries the versions and is otherwise ignored. */
	message_init(entry, &message, WIRE_MEMBER);
	message.member.kind = MEM_ACK;
	for (i = 0; i < count; i++)
		if (!same_domain(entry, peers[i]))
			entry->ports.peer_send(entry->ports.data, peers[i]->address, &message);
	/* Those that do not watch the store themselves rely on the watchers of their domain. */
	if (ent_watching(entry) == ENT_LISTS)
		return;
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && same_domain(entry, member) &&
		    strcmp(member->id, entry->settings.id) != 0)
			entry->ports.peer_send(entry->ports.data, member->address, &message);
	}
}

static void hint_init(struct ent_entry *entry, struct wire_message *message,
		      const struct wire_hint *hint)
{
	message_init(entry, message, WIRE_MEMBER);
	message->member.kind = MEM_ACK;
	message->hint_count = 1;
	message->hints[0] = *hint;
}

static void send_to_all(struct ent_entry *entry, const struct wire_hint *hint)
{
	struct wire_message message;
	size_t i;

	hint_init(entry, &message, hint);
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && strcmp(member->id, entry->settings.id) != 0)
			entry->ports.peer_send(entry->ports.data, member->address, &message);
	}
}

static void hint_fill(struct wire_hint *hint, const struct grp_group *group, bool silent)
{
	memset(hint, 0, sizeof(*hint));
	snprintf(hint->database, sizeof(hint->database), "%s", group->name);
	hint->term = group->term ? group->term : 1;
	if (group->leader)
		snprintf(hint->primary, sizeof(hint->primary), "%s", group->leader->info.id);
	hint->silent = silent;
}

/*
 * Asks other proxies whether the group's leader answers them, or who leads if none is known.
 * Members that were declared dead a moment ago are asked too: behind a partition, all of the other
 * side are.
 */
void ent_peer_ask_leader(struct ent_entry *entry, const struct grp_group *group)
{
	struct ent_leader_word *word = ent_leader_word(entry, group);
	const size_t count = mem_count(entry->members);
	const size_t first = bc_random_below(entry->ctx, count);
	struct wire_message message;
	struct wire_hint hint;
	size_t i;

	if (!word)
		return;
	word->asked = 0;
	word->heard = 0;
	hint_fill(&hint, group, true);
	hint_init(entry, &message, &hint);
	for (i = 0; i < count && word->asked < ASK_PEERS; i++) {
		const struct mem_update *member = mem_at(entry->members, (first + i) % count);

		if (member->leaving || strcmp(member->id, entry->settings.id) == 0)
			continue;
		word->asked++;
		entry->ports.peer_send(entry->ports.data, member->address, &message);
	}
}

/* Tells the other proxies who leads the group. */
void ent_peer_tell_leader(struct ent_entry *entry, const struct grp_group *group)
{
	struct wire_hint hint;

	if (!group->leader)
		return;
	hint_fill(&hint, group, false);
	send_to_all(entry, &hint);
}

static const char *peer_address(const struct ent_entry *entry, const char *peer)
{
	const struct mem_update *member = mem_find(entry->members, peer);

	return member ? member->address : NULL;
}

/* Sends a statement or a result, which are the bulk of what proxies send each other. */
static void send_relayed(struct ent_entry *entry, const char *proxy, struct wire_message *message)
{
	const struct mem_update *member = mem_find(entry->members, proxy);

	if (!member)
		return;
	message->narrow = !same_domain(entry, member);
	entry->ports.peer_send(entry->ports.data, member->address, message);
}

/* Sends a statement to the proxy that holds the connections. */
void ent_order_send(void *data, const char *proxy, const struct sql_order *order)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	message_init(entry, &message, WIRE_ORDER);
	message.order = *order;
	send_relayed(entry, proxy, &message);
}

/* Sends a result to the proxy that asked. */
void ent_reply_send(void *data, const char *proxy, const struct sql_reply *reply)
{
	struct ent_entry *entry = data;
	struct wire_message message;

	message_init(entry, &message, WIRE_REPLY);
	message.reply = *reply;
	send_relayed(entry, proxy, &message);
}

static bool leader_answers(const struct grp_group *group, const char *leader_id, uint64_t now_us)
{
	const struct grp_endpoint *leader = group->leader;

	return leader && !leader->suspect && strcmp(leader->info.id, leader_id) == 0 &&
	       now_us - leader->answered_us <= LEADER_SEEN_US;
}

/* Answers a proxy that asks for a leader: whether it answers this one. */
static void answer_ask(struct ent_entry *entry, const char *peer, struct grp_group *group,
		       const struct wire_hint *hint, uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	struct wire_hint answer = *hint;
	struct wire_message message;

	if (!address)
		return;
	if (group->leader && strcmp(group->leader->info.id, hint->primary) != 0)
		hint_fill(&answer, group, false);
	else if (leader_answers(group, hint->primary, now_us))
		answer.silent = false;
	/* The term 0 marks an answer, which is not answered in turn. */
	if (answer.silent)
		answer.term = 0;
	hint_init(entry, &message, &answer);
	entry->ports.peer_send(entry->ports.data, address, &message);
}

static void on_hint(struct ent_entry *entry, const char *peer, const struct wire_hint *hint,
		    uint64_t now_us)
{
	struct grp_group *group = grp_find(entry->groups, hint->database);
	struct ent_leader_word *word = group ? ent_leader_word(entry, group) : NULL;
	struct grp_endpoint *endpoint;

	if (!word)
		return;
	if (hint->silent && hint->term) {
		answer_ask(entry, peer, group, hint, now_us);
		return;
	}
	word->heard++;
	endpoint = grp_endpoint_find(entry->groups, hint->primary);
	if (hint->silent || !endpoint || endpoint->group != group)
		return;
	if (endpoint == group->leader) {
		tko_peer_sees(entry->takeover, group, now_us);
		ent_peer_reaches(entry, peer, group, now_us);
	} else {
		grp_hint_leader(entry->groups, endpoint, hint->term, now_us);
	}
}

static void on_push(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		    uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	json_error_t error;
	json_t *document = json_loads(message->content ? message->content : "", 0, &error);
	enum bc_status status;

	if (!document) {
		bc_log(entry->ctx, BC_LOG_WARN, "peer_document_malformed", "{s:s,s:i}", "error",
		       error.text, "place", error.position);
		return;
	}
	status =
		syn_document_offer(entry->sync, (enum syn_kind)message->document, document, now_us);
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
 * Whether a whole copy may be sent now. After a start all proxies lack one and ask the seeds again
 * and again; those that have got one can send it in turn.
 */
static bool may_send_copy(struct ent_entry *entry, size_t bytes, uint64_t now_us)
{
	if (entry->copies_paid_us > now_us)
		return false;
	if (entry->copies_paid_us + BC_US_PER_S < now_us)
		entry->copies_paid_us = now_us - BC_US_PER_S;
	entry->copies_paid_us += bytes * BC_US_PER_S / COPIES_BYTES_PER_S;
	return true;
}

static void on_pull(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		    uint64_t now_us)
{
	const char *address = peer_address(entry, peer);
	struct wire_message reply;
	const char *document;

	if (!address || message->document >= SYN_KINDS ||
	    syn_revision(entry->sync, (enum syn_kind)message->document) <=
		    message->versions[message->document])
		return;
	document = syn_document(entry->sync, (enum syn_kind)message->document, message->since);
	if (!document)
		return;
	if (!message->since && !may_send_copy(entry, strlen(document), now_us)) {
		bc_count(entry->ctx, "bulrushcleat_copies_postponed_total", NULL, 1);
		return;
	}
	message_init(entry, &reply, WIRE_PUSH);
	reply.document = message->document;
	reply.version = syn_revision(entry->sync, (enum syn_kind)message->document);
	/* The message borrows the text, and is not cleared. */
	reply.content = (char *)document;
	entry->ports.peer_send(entry->ports.data, address, &reply);
}

static void on_newer_timer(void *data, uint64_t now_us)
{
	struct ent_newer *newer = data;

	(void)now_us;
	if (newer->revision > syn_revision(newer->entry->sync, newer->kind))
		pull_from(newer->entry, newer->address, newer->kind);
}

/*
 * Asks for copies that the peer has newer than this proxy, unless the watch brings the change in a
 * moment, as it mostly does.
 */
static void note_newer(struct ent_entry *entry, const struct mem_update *member,
		       const struct wire_message *message, uint64_t now_us)
{
	uint64_t delay_us = NEWER_FAR_US;
	int kind;

	if (same_domain(entry, member))
		delay_us = ent_watching(entry) == ENT_LISTS ? NEWER_LISTING_US : NEWER_US;
	for (kind = 0; kind < SYN_KINDS; kind++) {
		struct ent_newer *newer = &entry->newer[kind];

		if (message->versions[kind] <= syn_revision(entry->sync, newer->kind) ||
		    (bc_timer_is_set(&newer->timer) && newer->timer.at_us <= now_us + delay_us))
			continue;
		newer->revision = message->versions[kind];
		snprintf(newer->address, sizeof(newer->address), "%s", member->address);
		bc_timer_set(entry->timers, &newer->timer, now_us + delay_us);
	}
}

/* A message of another proxy. */
void ent_peer_message(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		      uint64_t now_us)
{
	const struct mem_update *member;
	uint32_t i;

	if (message->current)
		entry->current_heard_us = now_us;
	if (message->kind == WIRE_PUSH)
		on_push(entry, peer, message, now_us);
	else if (message->kind == WIRE_PULL)
		on_pull(entry, peer, message, now_us);
	else if (message->kind == WIRE_ORDER)
		stm_order(entry->statements, peer, &message->order, now_us);
	else if (message->kind == WIRE_REPLY)
		stm_reply(entry->statements, peer, &message->reply, now_us);
	else if (message->member.kind != MEM_ACK || message->member.sequence)
		mem_receive(entry->members, peer, &message->member, now_us);
	for (i = 0; i < message->hint_count; i++)
		on_hint(entry, peer, &message->hints[i], now_us);
	member = mem_find(entry->members, peer);
	if (member && message->kind != WIRE_PUSH)
		note_newer(entry, member, message, now_us);
}

/* Creates the membership, with this proxy and the seeds. */
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
		entry->newer[kind].entry = entry;
		entry->newer[kind].kind = (enum syn_kind)kind;
		bc_timer_init(&entry->newer[kind].timer, on_newer_timer, &entry->newer[kind]);
	}
	bc_timer_set(entry->timers, &entry->member_timer, now_us + MEMBER_TICK_US);
}
