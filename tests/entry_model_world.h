#ifndef BC_ENTRY_MODEL_WORLD_H
#define BC_ENTRY_MODEL_WORLD_H

/* The simulated environment of the proxies: timers, peer messages, the store and the endpoints. */

#include "tests/entry_model.h"

namespace model
{

inline Simulation::Simulation(Fault injected, uint64_t seed, size_t proxy_count)
    : fault(injected), random(seed)
{
	static const char *const domains[] = {"a1", "b1", "c1"};
	size_t i;

	put_config(1);
	for (i = 0; i < ENDPOINTS; i++) {
		Endpoint endpoint;

		endpoint.id = "e" + std::to_string(i + 1);
		endpoint.domain = domains[i];
		endpoints.push_back(endpoint);
	}
	leader = &endpoints[0];
	for (Endpoint &endpoint : endpoints)
		publish_endpoint(endpoint);
	proxies.resize(proxy_count);
	for (i = 0; i < proxy_count; i++) {
		proxies[i].sim = this;
		proxies[i].index = i;
		proxies[i].id = "p" + std::to_string(i);
		proxies[i].address = "10.0.0." + std::to_string(i + 1) + ":7";
		proxies[i].domain = domains[i % ENDPOINTS];
		proxy_start(i);
	}
	callers.resize(CALLERS);
	for (i = 0; i < CALLERS; i++) {
		Caller &caller = callers[i];

		caller.number = (int)i;
		caller.sim = this;
		caller.consistency = static_cast<stm_consistency>(i % STM_CONSISTENCY_LEVELS);
		schedule(2 * SEC + random_below(100 * MS),
			 [this, &caller] { caller_next(caller); });
	}
}

inline Simulation::~Simulation()
{
	for (size_t i = 0; i < proxies.size(); i++)
		proxy_stop(i);
	for (auto &kind : objects)
		for (auto &object : kind)
			json_decref(object.second.spec);
	for (Change &change : history)
		json_decref(change.spec);
	for (Backup &backup : backups)
		for (auto &kind : backup.objects)
			for (auto &object : kind)
				json_decref(object.second.spec);
}

/* ---- proxies ---- */

inline void Simulation::proxy_start(size_t index)
{
	static const ent_ops template_ops = [] {
		ent_ops ops = {};

		ops.statements.answer = on_answer;
		ops.statements.link_open = on_link_open;
		ops.statements.link_send = on_link_send;
		ops.statements.link_flush = on_link_flush;
		ops.statements.link_close = on_link_close;
		ops.decode_config = decode_config;
		ops.decode_endpoint = decode_endpoint;
		ops.list = on_list;
		ops.watch = on_watch;
		ops.cancel_read = on_cancel_read;
		ops.register_proxy = on_register_proxy;
		ops.remove_proxy = on_remove_proxy;
		ops.read_claim = on_read_claim;
		ops.write_claim = on_write_claim;
		ops.promote = on_promote;
		ops.peer_send = on_peer_send;
		ops.draining = on_draining;
		return ops;
	}();
	Proxy &proxy = proxies[index];
	ent_ops ops = template_ops;
	ent_settings settings = {};

	ops.data = &proxy;
	proxy.incarnation++;
	proxy.config_version = 0;
	proxy.ctx = bc_ctx_create(random());
	snprintf(settings.id, sizeof(settings.id), "%s", proxy.id.c_str());
	snprintf(settings.domain, sizeof(settings.domain), "%s", proxy.domain.c_str());
	snprintf(settings.region, sizeof(settings.region), "here");
	snprintf(settings.peer_address, sizeof(settings.peer_address), "%s", proxy.address.c_str());
	snprintf(settings.seeds[0], BC_ADDRESS_BYTES, "10.0.0.1:7");
	snprintf(settings.seeds[1], BC_ADDRESS_BYTES, "10.0.0.2:7");
	settings.seed_count = 2;
	settings.incarnation = proxy.incarnation;
	settings.drain_notice_us = 2500 * MS;
	settings.drain_timeout_us = 5000 * MS;
	/* Some wait for the others' copies when they start. */
	settings.link_bits_per_s = proxy.index % 2 ? 20000000 : 0;
	proxy.entry = ent_create(proxy.ctx, &settings, &ops, now_us);
	schedule_timer(proxy);
}

inline void Simulation::proxy_stop(size_t index)
{
	Proxy &proxy = proxies[index];

	if (!proxy.entry)
		return;
	for (Caller &caller : callers)
		if (caller.session && caller.proxy == index) {
			caller.session = nullptr;
			caller.generation++;
		}
	ent_destroy(proxy.entry);
	bc_ctx_destroy(proxy.ctx);
	proxy.entry = nullptr;
	proxy.connections.clear();
	memset(proxy.sync_call, 0, sizeof(proxy.sync_call));
}

/* Calls fn if the proxy is still the same process; for a frozen proxy, once the freeze ends. */
inline void Simulation::call_proxy(size_t index, uint32_t incarnation,
				   std::function<void(Proxy &)> fn)
{
	Proxy &proxy = proxies[index];

	if (!proxy.entry || proxy.incarnation != incarnation)
		return;
	if (proxy.frozen_until_us > now_us) {
		schedule(proxy.frozen_until_us - now_us,
			 [this, index, incarnation, fn] { call_proxy(index, incarnation, fn); });
		return;
	}
	fn(proxy);
	if (proxy.entry)
		schedule_timer(proxy);
}

/* Schedules an event for the proxy's next timer. */
inline void Simulation::schedule_timer(Proxy &proxy)
{
	uint64_t due_us = std::max(ent_next_due(proxy.entry), now_us + 1);
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;

	if (due_us == BC_TIMER_NEVER ||
	    (proxy.next_wake_us > now_us && proxy.next_wake_us <= due_us))
		return;
	proxy.next_wake_us = due_us;
	schedule(due_us - now_us, [this, index, incarnation] {
		call_proxy(index, incarnation, [this](Proxy &p) { ent_run_due(p.entry, now_us); });
	});
}

inline void Simulation::peer_send(Proxy &from, const char *address, const wire_message *message)
{
	std::string sender = from.id;
	bool cut = cut_proxy.count(from.index) > 0;
	uint8_t *frame = nullptr;
	size_t bytes = 0;
	size_t i;

	if (wire_pack(from.ctx, message, &frame, &bytes) != BC_OK) {
		violate(std::string("a peer message could not be packed: ") +
			bc_last_message(from.ctx));
		return;
	}
	std::vector<uint8_t> content(frame + 4, frame + bytes);
	free(frame);
	for (i = 0; i < proxies.size(); i++) {
		if (proxies[i].address != address || cut || cut_proxy.count(i))
			continue;
		uint32_t incarnation = proxies[i].incarnation;

		if (!proxies[i].entry)
			return;
		schedule(random_delay(), [this, i, incarnation, sender, content] {
			call_proxy(i, incarnation, [=](Proxy &proxy) {
				wire_message taken = {};

				if (wire_unpack(proxy.ctx, content.data(), content.size(),
						&taken) != BC_OK) {
					violate("a peer message could not be unpacked");
					return;
				}
				ent_peer_message(proxy.entry, sender.c_str(), &taken, now_us);
				wire_message_clear(&taken);
			});
		});
		return;
	}
}

/* ---- the store and the promotion service ---- */

inline void Simulation::back_up_store()
{
	Backup backup;

	if (store_down)
		return;
	backup.at_us = now_us;
	backup.revision = revision;
	backup.claims = claims;
	for (int kind = 0; kind < SYN_KINDS; kind++) {
		backup.objects[kind] = objects[kind];
		for (auto &object : backup.objects[kind])
			json_incref(object.second.spec);
	}
	backups.push_back(backup);
	while (backups.front().at_us + BACKUP_MAX_AGE_US < now_us) {
		for (auto &kind : backups.front().objects)
			for (auto &object : kind)
				json_decref(object.second.spec);
		backups.pop_front();
	}
}

/*
 * Replaces the store's content by a copy that is at least this old, if there is one. Revisions go
 * back and are given out again. The operators and the endpoints write their last state again.
 */
inline void Simulation::restore_store(uint64_t age_us)
{
	const Backup *backup = &backups.front();

	for (const Backup &candidate : backups)
		if (candidate.at_us + age_us <= now_us)
			backup = &candidate;
	for (int kind = 0; kind < SYN_KINDS; kind++) {
		for (auto &object : objects[kind])
			json_decref(object.second.spec);
		objects[kind] = backup->objects[kind];
		for (auto &object : objects[kind])
			json_incref(object.second.spec);
	}
	claims = backup->claims;
	revision = backup->revision;
	era++;
	while (!history.empty() && history.back().revision > revision) {
		json_decref(history.back().spec);
		history.pop_back();
	}
	history_from = std::min(history_from, revision);
	schedule(random_below(REWRITE_US), [this] {
		uint64_t version = configs.back().first;

		if (!store_down)
			put_config(version);
		else
			schedule(REWRITE_US, [this, version] { put_config(version); });
	});
	for (Endpoint &endpoint : endpoints)
		schedule(random_below(REWRITE_US),
			 [this, &endpoint] { publish_endpoint(endpoint); });
	answer_watches();
}

/*
 * Writes an object; a NULL spec deletes it. A write that changes nothing does not raise the
 * revision. Takes ownership of the spec.
 */
inline void Simulation::store_put(syn_kind kind, const std::string &name, json_t *spec)
{
	auto &all = objects[kind];
	auto found = all.find(name);

	if (found == all.end() ? !spec : spec && json_equal(found->second.spec, spec)) {
		json_decref(spec);
		return;
	}

	if (found != all.end()) {
		json_decref(found->second.spec);
		all.erase(found);
	}
	revision++;
	history.push_back({revision, kind, name, copy_spec(spec)});
	if (spec)
		all[name] = {revision, spec};
	schedule(0, [this] { answer_watches(); });
}

/* Stores a configuration, which the store acknowledges at once. */
inline void Simulation::put_config(uint64_t version)
{
	store_put(SYN_CONFIG, "main",
		  json_pack("{s:I,s:i}", "version", (json_int_t)version, "connections", 40));
	configs.emplace_back(version, now_us);
}

/* Updates or deletes the endpoint's object, once the store is available. */
inline void Simulation::publish_endpoint(Endpoint &endpoint)
{
	if (store_down) {
		schedule(300 * MS, [this, &endpoint] { publish_endpoint(endpoint); });
		return;
	}
	if (endpoint.removed || (!endpoint.up || endpoint.silent)) {
		store_put(SYN_ENDPOINTS, endpoint.id, nullptr);
		return;
	}
	store_put(SYN_ENDPOINTS, endpoint.id,
		  json_pack("{s:s,s:b,s:b,s:i}", "domain", endpoint.domain.c_str(), "leads",
			    &endpoint == leader, "leaving", endpoint.leaving, "born",
			    (int)endpoint.start_number));
}

inline void Simulation::answer_page(size_t index, uint64_t call, syn_kind kind, bc_status status,
				    bool all, uint64_t since)
{
	std::vector<syn_object> found;
	Proxy &proxy = proxies[index];

	if (proxy.sync_call[kind] != call)
		return;
	proxy.sync_call[kind] = 0;
	watches.erase(std::remove_if(watches.begin(), watches.end(),
				     [call](const Watch &w) { return w.call == call; }),
		      watches.end());
	/* The history of the watch's revision is lost, or the store was restored to before it. */
	if (status == BC_OK && !all && (since < history_from || since > revision))
		status = BC_EVERSION;
	if (all) {
		for (auto &object : objects[kind])
			found.push_back(
				{object.first.c_str(), object.second.revision, object.second.spec});
	} else {
		for (Change &change : history)
			if (change.kind == kind && change.revision > since)
				found.push_back(
					{change.name.c_str(), change.revision, change.spec});
	}
	syn_page page = {found.data(), found.size(), false, revision, era};
	/* The page points into the store, so a frozen proxy gets a failure instead. */
	if (proxy.frozen_until_us > now_us) {
		call_proxy(index, proxy.incarnation, [this, kind](Proxy &p) {
			syn_page none = {};

			ent_sync_answer(p.entry, kind, BC_EIO, &none, now_us);
		});
		return;
	}
	call_proxy(index, proxy.incarnation,
		   [&](Proxy &p) { ent_sync_answer(p.entry, kind, status, &page, now_us); });
}

/* Answers the watches whose kind of object has changed. */
inline void Simulation::answer_watches()
{
	std::vector<Watch> due;

	for (const Watch &watch : watches) {
		bool changed = watch.revision < history_from || watch.revision > revision;

		for (const Change &change : history)
			changed |= change.kind == watch.kind && change.revision > watch.revision;
		if (changed && store_answers(watch.proxy))
			due.push_back(watch);
	}
	for (const Watch &watch : due)
		schedule(random_delay(), [this, watch] {
			if (store_answers(watch.proxy))
				answer_page(watch.proxy, watch.call, watch.kind, BC_OK, false,
					    watch.revision);
		});
}

/* Resets the waiting watches of a proxy. */
inline void Simulation::fail_watches(size_t proxy)
{
	std::vector<Watch> waiting = watches;

	for (const Watch &watch : waiting)
		if (watch.proxy == proxy)
			schedule(random_delay(), [this, watch] {
				answer_page(watch.proxy, watch.call, watch.kind, BC_ETIMEOUT, false,
					    0);
			});
}

inline void Simulation::write_claim(Proxy &proxy, std::string group, uint64_t since,
				    std::string holder)
{
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	bool answers = store_answers(index);
	bool lost = store_loses_replies && random_below(2) == 0;

	(void)holder;
	schedule(answers ? 4 * MS + random_delay() : call_failure_us(index), [=] {
		uint64_t current = claims.count(group) ? claims[group] : 0;
		bc_status status = BC_OK;
		bc_version result = {era, 0};

		if (!answers) {
			status = BC_ETIMEOUT;
		} else if (fault == Fault::CLAIMS_ALWAYS_WON) {
			claims[group] = 1;
		} else if (current != since) {
			status = BC_ECONFLICT;
		} else {
			claims[group] = ++revision;
		}
		result.revision = claims.count(group) ? claims[group] : 0;
		schedule(lost ? STORE_TIMEOUT_US : 0, [=] {
			call_proxy(index, incarnation, [=](Proxy &p) {
				ent_claim_written(p.entry, group.c_str(),
						  lost ? BC_ETIMEOUT : status, result, now_us);
			});
		});
	});
}

inline void Simulation::order_promotion(Proxy &proxy, std::string group, std::string id,
					uint64_t token)
{
	std::string order = proxy.id + " " + id;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	Endpoint *target = find_endpoint(id);
	bc_status status = BC_OK;

	if (tokens.count(token) && tokens[token] != order)
		violate("ONE: token " + std::to_string(token) + " was used by " + tokens[token] +
			" and " + order);
	tokens[token] = order;
	if (token < token_max || !target || !target->up || target->removed)
		status = BC_ECONFLICT;
	else
		schedule(promotion_us, [this, id] { promote(id); });
	token_max = std::max(token, token_max);
	schedule(10 * MS + random_delay(), [=] {
		call_proxy(index, incarnation, [=](Proxy &p) {
			ent_promotion_answered(p.entry, group.c_str(), status, now_us);
		});
	});
}

/* ---- endpoints ---- */

inline Endpoint *Simulation::find_endpoint(const std::string &id)
{
	for (Endpoint &endpoint : endpoints)
		if (endpoint.id == id)
			return &endpoint;
	return nullptr;
}

/* Copies the leader's log to a replica, and applies the entries that are older than its lag. */
inline void Simulation::replicate(Endpoint &replica)
{
	size_t same = 0;

	if (!replica.up || replica.removed)
		return;
	while (!replica.received_sizes.empty() &&
	       replica.received_sizes.front().first + replica.lag_us <= now_us) {
		replica.applied =
			std::max(replica.applied, std::min(replica.received_sizes.front().second,
							   replica.log.size()));
		replica.received_sizes.pop_front();
	}
	/* A promoted replica is the leader before it has applied all that it had received. */
	if (&replica == leader && replica.received_sizes.empty())
		replica.applied = replica.log.size();
	if (&replica == leader || !leader->up || leader->removed || replica.replication_paused ||
	    cut_replication.count(replica.id) || cut_replication.count(leader->id))
		return;
	replica.term = term;
	/* Logs that agree on an entry and its term agree on all entries before it. */
	same = std::min(replica.log.size(), leader->log.size());
	while (same > 0 && (replica.log[same - 1].text != leader->log[same - 1].text ||
			    replica.log[same - 1].term != leader->log[same - 1].term))
		same--;
	replica.truncate(same);
	while (replica.log.size() < leader->log.size())
		replica.append(leader->log[replica.log.size()]);
	if (replica.received_sizes.empty() ||
	    replica.received_sizes.back().second != replica.log.size())
		replica.received_sizes.push_back({now_us, replica.log.size()});
}

/* Ends an endpoint's process, and restarts it later with its log and a new start number. */
inline void Simulation::crash(Endpoint &endpoint, bool silent, uint64_t for_us)
{
	endpoint.up = false;
	endpoint.silent = silent;
	for (Proxy &proxy : proxies)
		for (auto &connection : proxy.connections)
			if (connection->endpoint == &endpoint && !connection->closed)
				lose_connection(connection, "reset",
						silent ? CONNECTION_TIMEOUT_US : random_delay());
	schedule(ENTRY_EXPIRY_US, [this, &endpoint] {
		if (!endpoint.up)
			publish_endpoint(endpoint);
	});
	schedule(for_us, [this, &endpoint] {
		if (endpoint.removed)
			return;
		endpoint.up = true;
		endpoint.silent = false;
		endpoint.start_number++;
		endpoint.replication_paused = false;
		endpoint.applied = endpoint.log.size();
		publish_endpoint(endpoint);
	});
}

inline void Simulation::promote(const std::string &id)
{
	Endpoint *target = find_endpoint(id);
	Endpoint *before = leader;

	if (!target || !target->up || target->removed || target == leader)
		return;
	leader = target;
	target->term = ++term;
	for (Endpoint &endpoint : endpoints)
		endpoint.replication_paused = false;
	for (auto &write : writes) {
		Write &known = write.second;
		bool kept = target->has_received(known.text);

		if (kept && known.rolled_back)
			violate("STALE: " + known.text +
				" was rolled back and is in the log again");
		known.rolled_back |= !kept && before->has_received(known.text);
	}
	publish_endpoint(*target);
	publish_endpoint(*before);
}

inline void Simulation::lose_connection(std::shared_ptr<Connection> connection, const char *reason,
					uint64_t after_us)
{
	schedule(after_us, [this, connection, reason] {
		if (connection->closed)
			return;
		call_proxy(connection->proxy, connection->incarnation, [=](Proxy &proxy) {
			if (connection->closed)
				return;
			connection->closed = true;
			proxy.connections.erase(std::remove(proxy.connections.begin(),
							    proxy.connections.end(), connection),
						proxy.connections.end());
			stm_link_lost(connection->link, reason, now_us);
		});
	});
}

/* Sends a result, or loses the connection if the proxy cannot reach the endpoint any more. */
inline void Simulation::reply(std::shared_ptr<Connection> connection, sql_code code,
			      bool has_signature, bool status)
{
	Endpoint &endpoint = *connection->endpoint;
	bc_position position = {endpoint.applied ? endpoint.log[endpoint.applied - 1].term : 1,
				endpoint.applied};

	/* A commit is answered with its own position, even before it is applied. */
	if (connection->committed)
		position = {endpoint.log.back().term, endpoint.log.size()};
	connection->committed = false;
	sql_result result = {};

	result.code = code;
	result.signature = code == SQL_OK && has_signature ? "signature" : nullptr;
	result.state = connection->failed	    ? SQL_FAILED_TRANSACTION
		       : connection->in_transaction ? SQL_IN_TRANSACTION
						    : SQL_IDLE;
	result.has_position = true;
	result.position = position;
	result.has_status = status;
	result.leads = &endpoint == leader;
	result.status_term = endpoint.term;
	result.received = {endpoint.log.empty() ? 1 : endpoint.log.back().term,
			   endpoint.log.size()};
	if (!can_reach(connection->proxy, endpoint)) {
		lose_connection(connection, "timeout", CONNECTION_TIMEOUT_US);
		return;
	}
	schedule(random_delay(), [this, connection, result] {
		call_proxy(connection->proxy, connection->incarnation, [=](Proxy &) {
			if (!connection->closed)
				stm_link_result(connection->link, &result, now_us);
		});
	});
}

inline void Simulation::commit(Connection &connection)
{
	Endpoint &endpoint = *connection.endpoint;

	for (const std::string &text : connection.writes) {
		if (endpoint.has_received(text))
			violate("TWICE: " + text);
		if (writes[text].refused)
			violate("REFUSED: " + text + " was kept");
		if (writes[text].rolled_back)
			violate("TWICE: " + text + " after it was rolled back");
		endpoint.append({term, text});
	}
	if (&endpoint == leader &&
	    endpoint.applied + connection.writes.size() >= endpoint.log.size())
		endpoint.applied = endpoint.log.size();
	connection.committed = !connection.writes.empty();
	connection.writes.clear();
}

inline void Simulation::run_statement(std::shared_ptr<Connection> connection, Statement statement)
{
	Endpoint &endpoint = *connection->endpoint;
	bool leads = &endpoint == leader;
	int owner = statement.id == "-" ? -1 : atoi(statement.id.c_str() + 1);
	bc_position applied = {endpoint.applied ? endpoint.log[endpoint.applied - 1].term : 1,
			       endpoint.applied};
	Connection &c = *connection;

	if (c.closed || !endpoint.up || endpoint.start_number != c.start_number ||
	    !can_reach(c.proxy, endpoint)) {
		if (!c.closed && endpoint.up)
			lose_connection(connection, "timeout", CONNECTION_TIMEOUT_US);
		return;
	}
	if (owner >= 0) {
		std::string user = "u" + std::to_string(owner);

		if (c.in_transaction && c.owner >= 0 && c.owner != owner)
			violate("PINNED: two callers in one transaction");
		if (c.in_transaction)
			c.owner = owner;
		if (c.values["user"] != user || c.values.count("mode") != (size_t)owner % 2)
			violate("PINNED: values of another session");
		if (endpoint.leaving && !leads && now_us > endpoint.leaving_us + LEAVING_MAX_US)
			violate("DRAIN: " + endpoint.id);
	}
	if (c.in_transaction && !c.read_only && (!leads || c.term != term) &&
	    fault != Fault::LEADERSHIP_UNCHECKED && statement.verb != SQL_ROLLBACK &&
	    !(statement.verb == SQL_COMMIT && !c.wrote)) {
		c.failed = statement.verb != SQL_COMMIT;
		c.in_transaction = c.failed;
		c.writes.clear();
		reply(connection, SQL_READ_ONLY, false);
		return;
	}
	switch (statement.verb) {
	case SQL_STATUS:
	case SQL_PAUSE_REPLICATION:
	case SQL_RESUME_REPLICATION:
		reply(connection, SQL_OK, false, true);
		return;
	case SQL_SET:
		c.values[statement.name] = statement.value;
		break;
	case SQL_DISCARD:
		if (fault != Fault::DISCARD_IGNORED)
			c.values.clear();
		break;
	case SQL_BEGIN:
	case SQL_BEGIN_READ:
		if (statement.has_after && fault != Fault::POSITIONS_IGNORED &&
		    bc_position_compare(applied, statement.after) < 0) {
			reply(connection, SQL_BEHIND, false);
			return;
		}
		if (statement.verb == SQL_BEGIN && !leads && fault != Fault::LEADERSHIP_UNCHECKED) {
			reply(connection, SQL_READ_ONLY, false);
			return;
		}
		c.in_transaction = true;
		c.failed = false;
		c.read_only = statement.verb == SQL_BEGIN_READ;
		c.wrote = false;
		c.term = term;
		c.owner = -1;
		if (fault != Fault::ROLLBACK_IGNORED)
			c.writes.clear();
		break;
	case SQL_ROLLBACK:
	case SQL_COMMIT:
		if (statement.verb == SQL_COMMIT)
			commit(c);
		c.in_transaction = false;
		c.failed = false;
		if (fault != Fault::ROLLBACK_IGNORED)
			c.writes.clear();
		reply(connection, SQL_OK, statement.verb == SQL_COMMIT);
		return;
	case SQL_READ:
		if (statement.has_after && fault != Fault::POSITIONS_IGNORED &&
		    bc_position_compare(applied, statement.after) < 0) {
			reply(connection, SQL_BEHIND, false);
			return;
		}
		if (owner >= 0)
			check_read(callers[(size_t)owner], endpoint, statement.text);
		reply(connection, SQL_OK, true);
		return;
	case SQL_WRITE:
		if (!leads && !c.in_transaction) {
			reply(connection, SQL_READ_ONLY, false);
			return;
		}
		c.wrote = true;
		c.writes.push_back(statement.text);
		if (!c.in_transaction)
			commit(c);
		reply(connection, SQL_OK, true);
		return;
	default:
		violate("an endpoint got an unknown statement");
		return;
	}
	reply(connection, SQL_OK, false);
}

} // namespace model

#endif
