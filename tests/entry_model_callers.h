#ifndef BC_ENTRY_MODEL_CALLERS_H
#define BC_ENTRY_MODEL_CALLERS_H

/* The simulated callers, the checks of what they were guaranteed, and the fault injection. */

#include "tests/entry_model_world.h"

namespace model
{

/* Checks that a read at the endpoint sees every write that the consistency level requires. */
inline void Simulation::check_read(Caller &caller, const Endpoint &endpoint,
				   const std::string &text)
{
	uint64_t from_us = caller.in_transaction ? caller.begun_us : caller.sent_us;
	uint64_t age_us = caller.consistency == STM_STRONG ? 0 : MAX_AGE_US;

	/* The caller may have abandoned this read and sent another one. */
	if (!caller.waiting || text != caller.text)
		return;
	for (const std::string &write : acknowledged) {
		const Write &known = writes[write];
		bool own = caller.consistency == STM_READ_YOUR_WRITES && caller.own.count(write);

		if (known.rolled_back || known.acknowledged_us >= from_us ||
		    (!own && known.acknowledged_us + age_us >= from_us))
			continue;
		if (!endpoint.has_applied(write))
			violate("STALE: caller " + std::to_string(caller.number) + " reads at " +
				endpoint.id + " without " + write);
	}
}

/* Opens a session if there is none; then starts an operation or continues a transaction. */
inline void Simulation::caller_next(Caller &caller)
{
	static const char *const names[] = {"newest", "aged", "session"};
	Statement none;

	if (caller.waiting)
		return;
	if (!caller.session) {
		size_t index = random_below(proxies.size());
		Proxy &proxy = proxies[index];
		sql_code refusal;

		handles.push_back({&caller, caller.generation});
		caller.in_transaction = false;
		caller.own.clear();
		caller.proxy = index;
		caller.incarnation = proxy.incarnation;
		if (proxy.entry && proxy.frozen_until_us <= now_us && ent_ready(proxy.entry))
			caller.session = stm_session_open(ent_statements(proxy.entry),
							  names[caller.consistency], nullptr,
							  &handles.back(), &refusal);
		if (!caller.session) {
			schedule(100 * MS, [this, &caller] { caller_next(caller); });
			return;
		}
		caller.mode_set = caller.number % 2 == 0;
		caller_send(caller, SQL_SET, "u" + std::to_string(caller.number));
		return;
	}
	if (!caller.mode_set) {
		caller.mode_set = true;
		caller_send(caller, SQL_SET, "fast");
		return;
	}
	if (caller.in_transaction && caller.statements_left == 0) {
		caller_send(caller, random_below(5) ? SQL_COMMIT : SQL_ROLLBACK, "");
	} else if (!caller.in_transaction && random_below(3) == 0) {
		caller.read_only = random_below(2) == 0;
		caller.statements_left = 1 + (uint32_t)random_below(3);
		caller.begun_us = now_us;
		caller.writes.clear();
		caller_send(caller, caller.read_only ? SQL_BEGIN_READ : SQL_BEGIN, "");
	} else {
		bool writes_now =
			random_below(3) == 0 && !(caller.in_transaction && caller.read_only);

		if (caller.in_transaction)
			caller.statements_left--;
		caller_send(caller, writes_now ? SQL_WRITE : SQL_READ,
			    writes_now ? "w" + std::to_string(++last_write)
				       : "r" + std::to_string(++last_statement));
	}
}

inline void Simulation::caller_send(Caller &caller, sql_verb verb, const std::string &text)
{
	std::string id =
		"c" + std::to_string(caller.number) + "-" + std::to_string(++last_statement);
	int generation = caller.generation;

	caller.waiting = true;
	caller.verb = verb;
	caller.text = text;
	caller.sent_us = now_us;
	if (verb == SQL_WRITE) {
		writes[text].text = text;
		writes[text].caller = caller.number;
		if (caller.in_transaction)
			caller.writes.push_back(text);
	}
	schedule(random_delay(), [=, &caller] {
		if (caller.generation != generation)
			return;
		call_proxy(caller.proxy, caller.incarnation, [=, &caller](Proxy &) {
			sql_statement statement = {};

			if (caller.generation != generation)
				return;
			statement.verb = verb;
			statement.id = id.c_str();
			statement.text = text.c_str();
			statement.name = verb != SQL_SET  ? nullptr
					 : text == "fast" ? "mode"
							  : "user";
			statement.value = verb == SQL_SET ? text.c_str() : nullptr;
			stm_query(caller.session, &statement, now_us);
		});
	});
	/* A caller without an answer in time closes its session. */
	schedule(4 * SEC, [=, &caller] {
		if (caller.generation != generation || !caller.waiting ||
		    caller.sent_us + 4 * SEC > now_us)
			return;
		stm_session *session = caller.session;

		caller.generation++;
		caller.session = nullptr;
		caller.waiting = false;
		call_proxy(caller.proxy, caller.incarnation,
			   [=](Proxy &) { stm_session_close(session, "closed by peer", now_us); });
		caller_next(caller);
	});
}

/* Records which writes the answer acknowledges or refuses, then schedules the next operation. */
inline void Simulation::caller_answered(Caller &caller, const sql_result &result)
{
	bool refusal = sql_code_not_run(result.code) || result.code == SQL_ABORTED;
	std::vector<std::string> kept;

	if (!caller.waiting) {
		violate("ANSWER: caller " + std::to_string(caller.number) + " did not ask");
		return;
	}
	caller.waiting = false;
	if (caller.verb == SQL_WRITE && !caller.in_transaction)
		kept.push_back(caller.text);
	if (caller.verb == SQL_COMMIT)
		kept = caller.writes;
	if (caller.in_transaction && refusal)
		kept = caller.writes;
	/* Writes that the caller rolled back must not be kept either. */
	if (caller.verb == SQL_ROLLBACK)
		for (const std::string &text : caller.writes)
			writes[text].refused = true;
	for (const std::string &text : kept) {
		Write &write = writes[text];

		if (result.code == SQL_OK) {
			write.acknowledged_us = now_us;
			acknowledged.push_back(text);
			caller.own.insert(text);
		} else if (refusal) {
			write.refused = true;
			if (leader->has_received(text))
				violate("REFUSED: " + text + " was kept before");
		}
	}
	if ((caller.verb == SQL_BEGIN || caller.verb == SQL_BEGIN_READ) && result.code == SQL_OK)
		caller.in_transaction = true;
	if (caller.verb == SQL_COMMIT || caller.verb == SQL_ROLLBACK)
		caller.in_transaction = false;
	if (result.code == SQL_OK && result.signature) {
		caller.last_served_us = now_us;
		caller.served++;
	}
	if (caller.in_transaction && result.state != SQL_IN_TRANSACTION)
		schedule(MS, [this, &caller] {
			if (caller.session && !caller.waiting)
				caller_send(caller, SQL_ROLLBACK, "");
		});
	else
		schedule(5 * MS + random_below(60 * MS), [this, &caller] { caller_next(caller); });
}

/* ---- configuration ---- */

/*
 * Checks that no proxy goes back to an older version, and that each undisturbed proxy has a version
 * in force CONFIG_APPLY_US after its acknowledgement, also while the store refuses other proxies.
 */
inline void Simulation::check_config()
{
	uint64_t wanted = 0;

	for (const auto &config : configs)
		if (config.second + CONFIG_APPLY_US < now_us)
			wanted = config.first;
	for (Proxy &proxy : proxies) {
		uint64_t version = proxy.entry ? ent_config_version(proxy.entry) : 0;
		std::string what = "CONFIG: " + proxy.id + " has version " +
				   std::to_string(version) + " in force, not ";

		if (!proxy.entry || proxy.frozen_until_us > now_us)
			continue;
		if (version < proxy.config_version)
			violate(what + std::to_string(proxy.config_version) + " as before");
		proxy.config_version = version;
		if (now_us >= proxy.disturbed_until_us + STABILITY_US &&
		    now_us >= store_disturbed_until_us + STABILITY_US && version < wanted)
			violate(what + std::to_string(wanted));
	}
}

/* Checks that every proxy, disturbed before or not, has the last version in force at the end. */
inline void Simulation::check_config_at_end()
{
	for (Proxy &proxy : proxies)
		if (!proxy.entry || ent_config_version(proxy.entry) != configs.back().first)
			violate("CONFIG: " + proxy.id + " does not have the last version");
}

/* ---- faults ---- */

/* Records that a fault of its own disturbs the proxy. */
inline void Simulation::disturb(size_t proxy, uint64_t for_us)
{
	proxies[proxy].disturbed_until_us =
		std::max(proxies[proxy].disturbed_until_us, now_us + for_us);
}

inline void Simulation::start_fault(const Step &step)
{
	Endpoint &endpoint = endpoints[step.target % endpoints.size()];
	size_t proxy = step.target % proxies.size();
	uint64_t for_us = step.for_ms * MS;
	size_t i;

	if (step.kind == CUT_STORE || step.kind == CUT_PROXY || step.kind == FREEZE ||
	    step.kind == KILL)
		disturb(proxy, for_us);
	if (step.kind == STORE_DOWN || step.kind == STORE_LOSES_REPLIES ||
	    step.kind == STORE_RESTORED)
		store_disturbed_until_us = std::max(store_disturbed_until_us, now_us + for_us);

	switch (step.kind) {
	case CRASH:
	case CRASH_SILENT:
		if (endpoint.up && !endpoint.removed)
			crash(endpoint, step.kind == CRASH_SILENT, for_us);
		return;
	case CUT_ENDPOINT:
		for (i = 0; i < proxies.size(); i++)
			if ((step.target >> 3 >> i) % 2)
				cut_endpoint.insert({i, endpoint.id});
		cut_replication.insert(endpoint.id);
		schedule(for_us, [this, &endpoint] {
			for (size_t j = 0; j < proxies.size(); j++)
				cut_endpoint.erase({j, endpoint.id});
			cut_replication.erase(endpoint.id);
		});
		return;
	case CUT_REPLICATION:
		cut_replication.insert(endpoint.id);
		schedule(for_us, [this, &endpoint] { cut_replication.erase(endpoint.id); });
		return;
	case CUT_STORE:
		cut_store.insert(proxy);
		schedule(for_us, [this, proxy] { cut_store.erase(proxy); });
		return;
	case CUT_PROXY:
		cut_proxy.insert(proxy);
		schedule(for_us, [this, proxy] { cut_proxy.erase(proxy); });
		return;
	case STORE_DOWN:
		store_down = true;
		schedule(for_us, [this] { store_down = false; });
		return;
	case STORE_LOSES_REPLIES:
		store_loses_replies = true;
		schedule(for_us, [this] { store_loses_replies = false; });
		return;
	case STORE_DROPS_HISTORY:
		history_from = revision;
		store_disturbed_until_us = std::max(store_disturbed_until_us, now_us);
		answer_watches();
		return;
	case FREEZE:
		proxies[proxy].frozen_until_us = now_us + for_us;
		return;
	case KILL:
		if (!proxies[proxy].entry)
			return;
		proxy_stop(proxy);
		for (Caller &caller : callers)
			if (!caller.session) {
				caller.waiting = false;
				schedule(20 * MS + random_below(100 * MS),
					 [this, &caller] { caller_next(caller); });
			}
		schedule(for_us / 4, [this, proxy] { proxy_start(proxy); });
		return;
	case LAG:
		endpoint.lag_us = 900 * MS;
		schedule(for_us, [&endpoint] { endpoint.lag_us = 20 * MS; });
		return;
	case LEAVE:
		if (endpoint.leaving || endpoint.removed || endpoints.size() > ENDPOINTS + 2)
			return;
		endpoint.leaving = true;
		endpoint.leaving_us = now_us;
		endpoints.push_back(Endpoint());
		endpoints.back().id = "e" + std::to_string(endpoints.size());
		endpoints.back().domain = endpoint.domain;
		publish_endpoint(endpoints.back());
		publish_endpoint(endpoint);
		schedule(LEAVING_MAX_US + 3 * SEC, [this, &endpoint] {
			endpoint.removed = true;
			endpoint.up = false;
			publish_endpoint(endpoint);
			crash(endpoint, false, 0);
		});
		return;
	case SLOW_PROMOTION:
		promotion_us = 2500 * MS;
		schedule(for_us, [this] { promotion_us = PROMOTION_US; });
		return;
	case STORE_REFUSES:
		/* Each bit of the target stands for a proxy; the last one can be the only served.
		 */
		for (i = 0; i < proxies.size(); i++) {
			if (!((step.target >> i) % 2))
				continue;
			refused.insert(i);
			disturb(i, for_us);
			fail_watches(i);
		}
		schedule(for_us, [this, step] {
			for (size_t j = 0; j < proxies.size(); j++)
				if ((step.target >> j) % 2)
					refused.erase(j);
		});
		return;
	case CONFIG_CHANGE:
		if (!store_down)
			put_config(configs.back().first + 1);
		return;
	case STORE_RESTORED:
		store_down = true;
		schedule(for_us, [this, step] {
			store_down = false;
			restore_store((step.target % 9 + 1) * SEC);
		});
		return;
	case STEP_KINDS:
		return;
	}
}

/* Runs the steps; at the end every proxy must have the last configuration, and every caller must
 * have been served within the last 3 s. */
inline void Simulation::run(const std::vector<Step> &steps)
{
	uint64_t end_us = FAULTS_START_US + FAULTS_SPAN_MS * MS + RECOVERY_US;
	std::function<void()> tick = [this, &tick] {
		for (Endpoint &endpoint : endpoints)
			replicate(endpoint);
		check_config();
		schedule(10 * MS, tick);
	};
	std::function<void()> back_up = [this, &back_up] {
		back_up_store();
		schedule(BACKUP_INTERVAL_US, back_up);
	};

	schedule(0, tick);
	schedule(0, back_up);
	for (const Step &step : steps)
		schedule(FAULTS_START_US - START_US + step.at_ms * MS,
			 [this, step] { start_fault(step); });
	while (violation.empty() && !events.empty() && events.top().at_us < end_us) {
		auto fn = events.top().fn;

		now_us = events.top().at_us;
		events.pop();
		fn();
	}
	if (violation.empty())
		check_config_at_end();
	for (Caller &caller : callers)
		if (violation.empty() && caller.last_served_us + 3 * SEC < end_us)
			violate("RECOVER: caller " + std::to_string(caller.number) +
				" was served last at " +
				std::to_string(caller.last_served_us
						       ? (caller.last_served_us - START_US) / MS
						       : 0) +
				" ms");
}

} // namespace model

#endif
