#ifndef BC_ENTRY_MODEL_WORLD_H
#define BC_ENTRY_MODEL_WORLD_H

/* What the surroundings of the model's proxies do: time, messages, the store, endpoints. */

#include "tests/entry_model.h"

namespace model
{

inline World::World(Fault left_out, uint64_t seed) : fault(left_out), random(seed)
{
	static const char *const domains[] = {"a1", "b1", "c1"};
	size_t i;

	put(SYN_CONFIG, "main", json_pack("{s:i,s:i}", "version", 1, "connections", 40));
	for (i = 0; i < ENDPOINTS; i++) {
		Endpoint endpoint;

		endpoint.id = "e" + std::to_string(i + 1);
		endpoint.domain = domains[i];
		endpoints.push_back(endpoint);
	}
	leader = &endpoints[0];
	for (Endpoint &endpoint : endpoints)
		describe(endpoint);
	proxies.resize(PROXIES);
	for (i = 0; i < PROXIES; i++) {
		proxies[i].world = this;
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
		caller.world = this;
		caller.consistency = static_cast<stm_consistency>(i % STM_CONSISTENCY_LEVELS);
		after(2 * SEC + below(100 * MS), [this, &caller] { caller_next(caller); });
	}
}

inline World::~World()
{
	for (size_t i = 0; i < proxies.size(); i++)
		proxy_stop(i);
	for (auto &kind : objects)
		for (auto &object : kind)
			json_decref(object.second.spec);
	for (Change &change : history)
		json_decref(change.spec);
}

/* ---- proxies ---- */

inline void World::proxy_start(size_t index)
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
	proxy.entry = ent_create(proxy.ctx, &settings, &ops, now_us);
	wake(proxy);
}

inline void World::proxy_stop(size_t index)
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

/* Calls into a proxy if it is still the same process; a frozen one gets it when it wakes. */
inline void World::into(size_t index, uint32_t incarnation, std::function<void(Proxy &)> fn)
{
	Proxy &proxy = proxies[index];

	if (!proxy.entry || proxy.incarnation != incarnation)
		return;
	if (proxy.frozen_until_us > now_us) {
		after(proxy.frozen_until_us - now_us,
		      [this, index, incarnation, fn] { into(index, incarnation, fn); });
		return;
	}
	fn(proxy);
	if (proxy.entry)
		wake(proxy);
}

/* Sees to it that the proxy's next timer runs. */
inline void World::wake(Proxy &proxy)
{
	uint64_t due_us = std::max(ent_next_due(proxy.entry), now_us + 1);
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;

	if (due_us == BC_TIMER_NEVER || (proxy.wake_us > now_us && proxy.wake_us <= due_us))
		return;
	proxy.wake_us = due_us;
	after(due_us - now_us, [this, index, incarnation] {
		into(index, incarnation, [this](Proxy &p) { ent_run_due(p.entry, now_us); });
	});
}

inline void World::peer_send(Proxy &from, const char *address, const wire_message *message)
{
	std::string sender = from.id;
	bool cut = cut_proxy.count(from.index) > 0;
	uint8_t *frame = nullptr;
	size_t bytes = 0;
	size_t i;

	if (wire_pack(from.ctx, message, &frame, &bytes) != BC_OK) {
		fail(std::string("a message could not be packed: ") + bc_last_message(from.ctx));
		return;
	}
	std::vector<uint8_t> content(frame + 4, frame + bytes);
	free(frame);
	for (i = 0; i < PROXIES; i++) {
		if (proxies[i].address != address || cut || cut_proxy.count(i))
			continue;
		uint32_t incarnation = proxies[i].incarnation;

		if (!proxies[i].entry)
			return;
		after(delay(), [this, i, incarnation, sender, content] {
			into(i, incarnation, [=](Proxy &proxy) {
				wire_message taken = {};

				if (wire_unpack(proxy.ctx, content.data(), content.size(),
						&taken) != BC_OK) {
					fail("a message could not be unpacked");
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

/* Writes an object; NULL deletes it. Takes over the reference. */
inline void World::put(syn_kind kind, const std::string &name, json_t *spec)
{
	auto &all = objects[kind];
	auto found = all.find(name);

	if (found != all.end()) {
		json_decref(found->second.spec);
		all.erase(found);
	}
	revision++;
	history.push_back({revision, kind, name, copy(spec)});
	if (spec)
		all[name] = {revision, spec};
	after(0, [this] { wake_watches(); });
}

/* Brings an endpoint's entry up to date, as soon as the store answers. */
inline void World::describe(Endpoint &endpoint)
{
	if (store_down) {
		after(300 * MS, [this, &endpoint] { describe(endpoint); });
		return;
	}
	if (endpoint.gone || (!endpoint.up || endpoint.dark)) {
		put(SYN_ENDPOINTS, endpoint.id, nullptr);
		return;
	}
	put(SYN_ENDPOINTS, endpoint.id,
	    json_pack("{s:s,s:b,s:b,s:i}", "domain", endpoint.domain.c_str(), "leads",
		      &endpoint == leader, "leaving", endpoint.leaving, "born",
		      (int)endpoint.born));
}

inline void World::answer_page(size_t index, uint64_t call, syn_kind kind, bc_status status,
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
	if (status == BC_OK && !all && since < history_from)
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
	syn_page page = {found.data(), found.size(), false, revision};
	/* The page borrows from the store, so a frozen proxy gets a failure instead. */
	if (proxy.frozen_until_us > now_us) {
		into(index, proxy.incarnation, [this, kind](Proxy &p) {
			syn_page none = {};

			ent_sync_answer(p.entry, kind, BC_EIO, &none, now_us);
		});
		return;
	}
	into(index, proxy.incarnation,
	     [&](Proxy &p) { ent_sync_answer(p.entry, kind, status, &page, now_us); });
}

/* Answers the watches of kinds that have changed. */
inline void World::wake_watches()
{
	std::vector<Watch> due;

	for (const Watch &watch : watches) {
		bool changed = watch.revision < history_from;

		for (const Change &change : history)
			changed |= change.kind == watch.kind && change.revision > watch.revision;
		if (changed && store_answers(watch.proxy))
			due.push_back(watch);
	}
	for (const Watch &watch : due)
		after(delay(), [this, watch] {
			if (store_answers(watch.proxy))
				answer_page(watch.proxy, watch.call, watch.kind, BC_OK, false,
					    watch.revision);
		});
}

inline void World::claim(Proxy &proxy, std::string group, uint64_t since, std::string holder)
{
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	bool answers = store_answers(index);
	bool lost = store_loses && below(2) == 0;

	(void)holder;
	after(answers ? 4 * MS + delay() : STORE_CALL_US, [=] {
		uint64_t current = claims.count(group) ? claims[group] : 0;
		bc_status status = BC_OK;
		uint64_t result;

		if (!answers) {
			status = BC_ETIMEOUT;
		} else if (fault == Fault::CLAIMS_ALWAYS_WON) {
			claims[group] = 1;
		} else if (current != since) {
			status = BC_ECONFLICT;
		} else {
			claims[group] = ++revision;
		}
		result = claims.count(group) ? claims[group] : 0;
		after(lost ? STORE_CALL_US : 0, [=] {
			into(index, incarnation, [=](Proxy &p) {
				ent_claim_written(p.entry, group.c_str(),
						  lost ? BC_ETIMEOUT : status, result, now_us);
			});
		});
	});
}

inline void World::order(Proxy &proxy, std::string group, std::string id, uint64_t token)
{
	std::string order = proxy.id + " " + id;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	Endpoint *target = find(id);
	bc_status status = BC_OK;

	if (tokens.count(token) && tokens[token] != order)
		fail("ONE: token " + std::to_string(token) + " was used by " + tokens[token] +
		     " and " + order);
	tokens[token] = order;
	if (token < token_max || !target || !target->up || target->gone)
		status = BC_ECONFLICT;
	else
		after(promote_us, [this, id] { promote(id); });
	token_max = std::max(token, token_max);
	after(10 * MS + delay(), [=] {
		into(index, incarnation, [=](Proxy &p) {
			ent_promotion_answered(p.entry, group.c_str(), status, now_us);
		});
	});
}

/* ---- endpoints ---- */

inline Endpoint *World::find(const std::string &id)
{
	for (Endpoint &endpoint : endpoints)
		if (endpoint.id == id)
			return &endpoint;
	return nullptr;
}

/* Carries the leader's log to a copy, and applies what has arrived long enough ago. */
inline void World::replicate(Endpoint &copy)
{
	size_t same = 0;

	if (!copy.up || copy.gone)
		return;
	while (!copy.arrivals.empty() && copy.arrivals.front().first + copy.lag_us <= now_us) {
		copy.applied = std::max(copy.applied,
					std::min(copy.arrivals.front().second, copy.log.size()));
		copy.arrivals.pop_front();
	}
	/* A promoted copy leads before it has applied what it had received. */
	if (&copy == leader && copy.arrivals.empty())
		copy.applied = copy.log.size();
	if (&copy == leader || !leader->up || leader->gone || copy.paused ||
	    cut_copies.count(copy.id) || cut_copies.count(leader->id))
		return;
	copy.term = term;
	/* Logs that share an entry of a term share all before it. */
	same = std::min(copy.log.size(), leader->log.size());
	while (same > 0 && (copy.log[same - 1].text != leader->log[same - 1].text ||
			    copy.log[same - 1].term != leader->log[same - 1].term))
		same--;
	copy.truncate(same);
	while (copy.log.size() < leader->log.size())
		copy.append(leader->log[copy.log.size()]);
	if (copy.arrivals.empty() || copy.arrivals.back().second != copy.log.size())
		copy.arrivals.push_back({now_us, copy.log.size()});
}

/* Ends an endpoint's process. It starts again with its log, at another time of birth. */
inline void World::crash(Endpoint &endpoint, bool dark, uint64_t for_us)
{
	endpoint.up = false;
	endpoint.dark = dark;
	for (Proxy &proxy : proxies)
		for (auto &connection : proxy.connections)
			if (connection->endpoint == &endpoint && !connection->closed)
				lose(connection, "reset", dark ? DEAD_CONNECTION_US : delay());
	after(LAPSE_US, [this, &endpoint] {
		if (!endpoint.up)
			describe(endpoint);
	});
	after(for_us, [this, &endpoint] {
		if (endpoint.gone)
			return;
		endpoint.up = true;
		endpoint.dark = false;
		endpoint.born++;
		endpoint.paused = false;
		endpoint.applied = endpoint.log.size();
		describe(endpoint);
	});
}

inline void World::promote(const std::string &id)
{
	Endpoint *target = find(id);
	Endpoint *before = leader;

	if (!target || !target->up || target->gone || target == leader)
		return;
	leader = target;
	target->term = ++term;
	for (Endpoint &endpoint : endpoints)
		endpoint.paused = false;
	for (auto &write : writes) {
		Write &known = write.second;
		bool kept = target->holds(known.text);

		if (kept && known.rolled_back)
			fail("STALE: " + known.text + " was rolled back and has come back");
		known.rolled_back |= !kept && before->holds(known.text);
	}
	describe(*target);
	describe(*before);
}

inline void World::lose(std::shared_ptr<Connection> connection, const char *reason,
			uint64_t after_us)
{
	after(after_us, [this, connection, reason] {
		if (connection->closed)
			return;
		into(connection->proxy, connection->incarnation, [=](Proxy &proxy) {
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

/* Sends a result, unless the way back is cut by then. */
inline void World::reply(std::shared_ptr<Connection> connection, sql_code code, bool signed_,
			 bool status)
{
	Endpoint &endpoint = *connection->endpoint;
	bc_position position = {endpoint.applied ? endpoint.log[endpoint.applied - 1].term : 1,
				endpoint.applied};

	/* A commit is answered with its own place, also before it is applied. */
	if (connection->committed)
		position = {endpoint.log.back().term, endpoint.log.size()};
	connection->committed = false;
	sql_result result = {};

	result.code = code;
	result.signature = code == SQL_OK && signed_ ? "signature" : nullptr;
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
	if (!reaches(connection->proxy, endpoint)) {
		lose(connection, "timeout", DEAD_CONNECTION_US);
		return;
	}
	after(delay(), [this, connection, result] {
		into(connection->proxy, connection->incarnation, [=](Proxy &) {
			if (!connection->closed)
				stm_link_result(connection->link, &result, now_us);
		});
	});
}

inline void World::commit(Connection &connection)
{
	Endpoint &endpoint = *connection.endpoint;

	for (const std::string &text : connection.writes) {
		if (endpoint.holds(text))
			fail("TWICE: " + text);
		if (writes[text].refused)
			fail("REFUSED: " + text + " was kept");
		if (writes[text].rolled_back)
			fail("TWICE: " + text + " after it was rolled back");
		endpoint.append({term, text});
	}
	if (&endpoint == leader &&
	    endpoint.applied + connection.writes.size() >= endpoint.log.size())
		endpoint.applied = endpoint.log.size();
	connection.committed = !connection.writes.empty();
	connection.writes.clear();
}

inline void World::run_statement(std::shared_ptr<Connection> connection, Statement statement)
{
	Endpoint &endpoint = *connection->endpoint;
	bool leads = &endpoint == leader;
	int owner = statement.id == "-" ? -1 : atoi(statement.id.c_str() + 1);
	bc_position applied = {endpoint.applied ? endpoint.log[endpoint.applied - 1].term : 1,
			       endpoint.applied};
	Connection &c = *connection;

	if (c.closed || !endpoint.up || endpoint.born != c.born || !reaches(c.proxy, endpoint)) {
		if (!c.closed && endpoint.up)
			lose(connection, "timeout", DEAD_CONNECTION_US);
		return;
	}
	if (owner >= 0) {
		std::string user = "u" + std::to_string(owner);

		if (c.in_transaction && c.owner >= 0 && c.owner != owner)
			fail("PINNED: two callers in one transaction");
		if (c.in_transaction)
			c.owner = owner;
		if (c.values["user"] != user || c.values.count("mode") != (size_t)owner % 2)
			fail("PINNED: values of another session");
		if (endpoint.leaving && !leads && now_us > endpoint.leaving_us + LEAVING_BOUND_US)
			fail("DRAIN: " + endpoint.id);
	}
	if (c.in_transaction && !c.read_only && (!leads || c.term != term) &&
	    fault != Fault::LEAD_NOT_PROVED && statement.verb != SQL_ROLLBACK &&
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
		if (fault != Fault::VALUES_KEPT)
			c.values.clear();
		break;
	case SQL_BEGIN:
	case SQL_BEGIN_READ:
		if (statement.has_after && fault != Fault::POSITIONS_IGNORED &&
		    bc_position_compare(applied, statement.after) < 0) {
			reply(connection, SQL_BEHIND, false);
			return;
		}
		if (statement.verb == SQL_BEGIN && !leads && fault != Fault::LEAD_NOT_PROVED) {
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
		fail("an endpoint got an unknown statement");
		return;
	}
	reply(connection, SQL_OK, false);
}

} // namespace model

#endif
