#ifndef BC_ENTRY_MODEL_CALLERS_H
#define BC_ENTRY_MODEL_CALLERS_H

/* The model's callers, what they were promised, and the faults. */

#include "tests/entry_model_world.h"

namespace model
{

/* Whether a read of this caller that runs now at the endpoint sees what it has to. */
inline void World::check_read(Caller &caller, const Endpoint &endpoint, const std::string &text)
{
	uint64_t from_us = caller.in_transaction ? caller.begun_us : caller.asked_us;
	uint64_t age_us = caller.consistency == STM_STRONG ? 0 : AGE_US;

	/* The caller may have given up this read, and gone on to another. */
	if (!caller.waiting || text != caller.text)
		return;
	for (const std::string &write : acknowledged) {
		const Write &known = writes[write];
		bool own = caller.consistency == STM_READ_YOUR_WRITES && caller.own.count(write);

		if (known.rolled_back || known.acknowledged_us >= from_us ||
		    (!own && known.acknowledged_us + age_us >= from_us))
			continue;
		if (!endpoint.shows(write))
			fail("STALE: caller " + std::to_string(caller.number) + " reads at " +
			     endpoint.id + " without " + write);
	}
}

/* Opens a session if there is none, then begins an operation or goes on with a transaction. */
inline void World::caller_next(Caller &caller)
{
	static const char *const names[] = {"newest", "aged", "session"};
	Statement none;

	if (caller.waiting)
		return;
	if (!caller.session) {
		size_t index = below(PROXIES);
		Proxy &proxy = proxies[index];

		handles.push_back({&caller, caller.generation});
		caller.in_transaction = false;
		caller.own.clear();
		caller.proxy = index;
		caller.incarnation = proxy.incarnation;
		if (proxy.entry && proxy.frozen_until_us <= now_us && ent_ready(proxy.entry))
			caller.session =
				stm_session_open(ent_statements(proxy.entry),
						 names[caller.consistency], &handles.back());
		if (!caller.session) {
			after(100 * MS, [this, &caller] { caller_next(caller); });
			return;
		}
		caller.mode_set = caller.number % 2 == 0;
		caller_ask(caller, SQL_SET, "u" + std::to_string(caller.number));
		return;
	}
	if (!caller.mode_set) {
		caller.mode_set = true;
		caller_ask(caller, SQL_SET, "fast");
		return;
	}
	if (caller.in_transaction && caller.statements_left == 0) {
		caller_ask(caller, below(5) ? SQL_COMMIT : SQL_ROLLBACK, "");
	} else if (!caller.in_transaction && below(3) == 0) {
		caller.read_only = below(2) == 0;
		caller.statements_left = 1 + (uint32_t)below(3);
		caller.begun_us = now_us;
		caller.writes.clear();
		caller_ask(caller, caller.read_only ? SQL_BEGIN_READ : SQL_BEGIN, "");
	} else {
		bool writes_now = below(3) == 0 && !(caller.in_transaction && caller.read_only);

		if (caller.in_transaction)
			caller.statements_left--;
		caller_ask(caller, writes_now ? SQL_WRITE : SQL_READ,
			   writes_now ? "w" + std::to_string(++last_write)
				      : "r" + std::to_string(++last_statement));
	}
}

inline void World::caller_ask(Caller &caller, sql_verb verb, const std::string &text)
{
	std::string id =
		"c" + std::to_string(caller.number) + "-" + std::to_string(++last_statement);
	int generation = caller.generation;

	caller.waiting = true;
	caller.verb = verb;
	caller.text = text;
	caller.asked_us = now_us;
	if (verb == SQL_WRITE) {
		writes[text].text = text;
		writes[text].caller = caller.number;
		if (caller.in_transaction)
			caller.writes.push_back(text);
	}
	after(delay(), [=, &caller] {
		if (caller.generation != generation)
			return;
		into(caller.proxy, caller.incarnation, [=, &caller](Proxy &) {
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
	/* A caller that gets no answer gives up its session. */
	after(4 * SEC, [=, &caller] {
		if (caller.generation != generation || !caller.waiting ||
		    caller.asked_us + 4 * SEC > now_us)
			return;
		stm_session *session = caller.session;

		caller.generation++;
		caller.session = nullptr;
		caller.waiting = false;
		into(caller.proxy, caller.incarnation,
		     [=](Proxy &) { stm_session_close(session, now_us); });
		caller_next(caller);
	});
}

/* Notes what an answer promises, then pauses and goes on. */
inline void World::caller_answered(Caller &caller, const sql_result &result)
{
	bool refusal = sql_code_not_run(result.code) || result.code == SQL_ABORTED;
	std::vector<std::string> kept;

	if (!caller.waiting) {
		fail("ANSWER: caller " + std::to_string(caller.number) + " did not ask");
		return;
	}
	caller.waiting = false;
	if (caller.verb == SQL_WRITE && !caller.in_transaction)
		kept.push_back(caller.text);
	if (caller.verb == SQL_COMMIT)
		kept = caller.writes;
	if (caller.in_transaction && refusal)
		kept = caller.writes;
	/* What the caller has rolled back must not be kept either. */
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
			if (leader->holds(text))
				fail("REFUSED: " + text + " was kept before");
		}
	}
	if ((caller.verb == SQL_BEGIN || caller.verb == SQL_BEGIN_READ) && result.code == SQL_OK)
		caller.in_transaction = true;
	if (caller.verb == SQL_COMMIT || caller.verb == SQL_ROLLBACK)
		caller.in_transaction = false;
	if (result.code == SQL_OK && result.signature) {
		caller.served_us = now_us;
		caller.served++;
	}
	if (caller.in_transaction && result.state != SQL_IN_TRANSACTION)
		after(MS, [this, &caller] {
			if (caller.session && !caller.waiting)
				caller_ask(caller, SQL_ROLLBACK, "");
		});
	else
		after(5 * MS + below(60 * MS), [this, &caller] { caller_next(caller); });
}

/* ---- faults ---- */

inline void World::begin_step(const Step &step)
{
	Endpoint &endpoint = endpoints[step.target % endpoints.size()];
	size_t proxy = step.target % PROXIES;
	uint64_t for_us = step.for_ms * MS;
	size_t i;

	switch (step.kind) {
	case CRASH:
	case CRASH_DARK:
		if (endpoint.up && !endpoint.gone)
			crash(endpoint, step.kind == CRASH_DARK, for_us);
		return;
	case CUT_ENDPOINT:
		for (i = 0; i < PROXIES; i++)
			if ((step.target >> 3 >> i) % 2)
				cut_endpoint.insert({i, endpoint.id});
		cut_copies.insert(endpoint.id);
		after(for_us, [this, &endpoint] {
			for (size_t j = 0; j < PROXIES; j++)
				cut_endpoint.erase({j, endpoint.id});
			cut_copies.erase(endpoint.id);
		});
		return;
	case CUT_COPIES:
		cut_copies.insert(endpoint.id);
		after(for_us, [this, &endpoint] { cut_copies.erase(endpoint.id); });
		return;
	case CUT_STORE:
		cut_store.insert(proxy);
		after(for_us, [this, proxy] { cut_store.erase(proxy); });
		return;
	case CUT_PROXY:
		cut_proxy.insert(proxy);
		after(for_us, [this, proxy] { cut_proxy.erase(proxy); });
		return;
	case STORE_DOWN:
		store_down = true;
		after(for_us, [this] { store_down = false; });
		return;
	case STORE_LOSES:
		store_loses = true;
		after(for_us, [this] { store_loses = false; });
		return;
	case STORE_FORGETS:
		history_from = revision;
		wake_watches();
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
				after(20 * MS + below(100 * MS),
				      [this, &caller] { caller_next(caller); });
			}
		after(for_us / 4, [this, proxy] { proxy_start(proxy); });
		return;
	case LAG:
		endpoint.lag_us = 900 * MS;
		after(for_us, [&endpoint] { endpoint.lag_us = 20 * MS; });
		return;
	case LEAVE:
		if (endpoint.leaving || endpoint.gone || endpoints.size() > ENDPOINTS + 2)
			return;
		endpoint.leaving = true;
		endpoint.leaving_us = now_us;
		endpoints.push_back(Endpoint());
		endpoints.back().id = "e" + std::to_string(endpoints.size());
		endpoints.back().domain = endpoint.domain;
		describe(endpoints.back());
		describe(endpoint);
		after(LEAVING_BOUND_US + 3 * SEC, [this, &endpoint] {
			endpoint.gone = true;
			endpoint.up = false;
			describe(endpoint);
			crash(endpoint, false, 0);
		});
		return;
	case PROMOTE_LATE:
		promote_us = 2500 * MS;
		after(for_us, [this] { promote_us = PROMOTE_US; });
		return;
	case STEP_KINDS:
		return;
	}
}

/* Plays the steps; callers have to be served at the end. */
inline void World::run(const std::vector<Step> &steps)
{
	uint64_t end_us = FAULTS_FROM_US + FAULTS_SPAN_MS * MS + RECOVERY_US;
	std::function<void()> tick = [this, &tick] {
		for (Endpoint &endpoint : endpoints)
			replicate(endpoint);
		after(10 * MS, tick);
	};

	after(0, tick);
	for (const Step &step : steps)
		after(FAULTS_FROM_US - START_US + step.at_ms * MS,
		      [this, step] { begin_step(step); });
	while (broken.empty() && !events.empty() && events.top().at_us < end_us) {
		auto fn = events.top().fn;

		now_us = events.top().at_us;
		events.pop();
		fn();
	}
	for (Caller &caller : callers)
		if (broken.empty() && caller.served_us + 3 * SEC < end_us)
			fail("RECOVER: caller " + std::to_string(caller.number) +
			     " was served last at " +
			     std::to_string(caller.served_us ? (caller.served_us - START_US) / MS
							     : 0) +
			     " ms");
}

} // namespace model

#endif
