#ifndef BC_ENTRY_MODEL_H
#define BC_ENTRY_MODEL_H

/*
 * Simulates the deployed system on a virtual clock: four proxies or more (all of entry/ and the
 * modules below it), three endpoints of one group, the store with its operators, the promotion
 * service and callers. A list of
 * steps, which the property shrinks, injects the faults. The guarantees are checked on what callers
 * and endpoints observe.
 */

#include "entry/entry.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace model
{

const uint64_t MS = BC_US_PER_MS;
const uint64_t SEC = BC_US_PER_S;
const uint64_t START_US = 1000 * SEC;
/* Faults start once the proxies are up; RECOVERY_US without new faults follows them. */
const uint64_t FAULTS_START_US = START_US + 3 * SEC;
const uint64_t FAULTS_SPAN_MS = 12000;
/* The longest fault, the expiry of an entry, a takeover by the last rank and a promotion. */
const uint64_t RECOVERY_US = 14 * SEC;
const uint64_t STORE_TIMEOUT_US = 900 * MS;
const uint64_t WATCH_GRACE_US = 600 * MS;
const uint64_t CONNECTION_TIMEOUT_US = 1500 * MS;
const uint64_t HANDSHAKE_US = 12 * MS;
const uint64_t PROMOTION_US = 600 * MS;
const uint64_t ENTRY_EXPIRY_US = 3600 * MS;
const uint64_t MAX_AGE_US = 1500 * MS;
/* The store is copied this often, and the copies are kept this long. */
const uint64_t BACKUP_INTERVAL_US = 500 * MS;
const uint64_t BACKUP_MAX_AGE_US = 9 * SEC;
/* Endpoints and operators write again what a restored store has lost within this time. */
const uint64_t REWRITE_US = 1200 * MS;
const uint64_t LEAVING_MAX_US = 7 * SEC;
/* A version is in force this long after the store has acknowledged it, */
const uint64_t CONFIG_APPLY_US = 3 * SEC;
/* at each proxy that has been undisturbed for this long before, as the store has been. */
const uint64_t STABILITY_US = 4 * SEC;
const size_t PROXIES = 4;
const size_t ENDPOINTS = 3;
const size_t CALLERS = 10;

/* A rule that the simulated environment breaks, to show that the checks detect it. */
enum class Fault {
	NONE,
	POSITIONS_IGNORED,    /* endpoints run reads whose position they have not applied */
	LEADERSHIP_UNCHECKED, /* replicas accept read-write transactions */
	CLAIMS_ALWAYS_WON,    /* the store ignores the revision of a claim; the token is always 1 */
	UNKNOWN_AS_REFUSED,   /* an unknown outcome is reported to the caller as a refusal */
	DISCARD_IGNORED,      /* endpoints ignore DISCARD */
	ROLLBACK_IGNORED,     /* endpoints commit statements that were rolled back */
};

enum StepKind {
	CRASH,		 /* of an endpoint; it restarts as a replica, or still as the leader */
	CRASH_SILENT,	 /* of an endpoint, without a reset of its connections */
	CUT_ENDPOINT,	 /* an endpoint from some proxies and from the other endpoints */
	CUT_REPLICATION, /* an endpoint from the other endpoints only */
	CUT_STORE,	 /* the store from one proxy */
	CUT_PROXY,	 /* a proxy from the other proxies */
	STORE_DOWN,
	STORE_LOSES_REPLIES, /* half of the replies to claim writes */
	STORE_DROPS_HISTORY, /* drops the change history, so that watches must list again */
	FREEZE,		     /* a proxy */
	KILL,		     /* a proxy */
	LAG,		     /* an endpoint applies its log late */
	LEAVE,		     /* an endpoint is replaced by a new one */
	SLOW_PROMOTION,
	STORE_REFUSES, /* the calls of some proxies, while it serves the others */
	CONFIG_CHANGE,
	STORE_RESTORED, /* the store is down, and comes back from a copy some seconds old */
	STEP_KINDS,
};

struct Step {
	StepKind kind;
	uint32_t at_ms;
	uint32_t for_ms;
	uint32_t target;
};

struct Write {
	std::string text;
	int caller = -1;
	uint64_t acknowledged_us = 0; /* 0: not acknowledged */
	bool refused = false;
	bool rolled_back = false;
};

struct Entry {
	uint64_t term;
	std::string text;
};

struct Simulation;

struct Endpoint {
	std::string id;
	std::string domain;
	uint32_t start_number = 1;
	bool up = true;
	bool silent = false;
	bool leaving = false;
	uint64_t leaving_us = 0;
	bool removed = false;
	bool replication_paused = false;
	uint64_t term = 1; /* newest one known to the endpoint */
	std::vector<Entry> log;
	std::unordered_map<std::string, size_t> log_indexes; /* index in the log, by entry text */
	size_t applied = 0;
	uint64_t lag_us = 20 * MS;
	std::deque<std::pair<uint64_t, size_t>>
		received_sizes; /* time of receipt, log size after it */

	void append(const Entry &entry)
	{
		log_indexes[entry.text] = log.size();
		log.push_back(entry);
	}
	void truncate(size_t size)
	{
		while (log.size() > size) {
			log_indexes.erase(log.back().text);
			log.pop_back();
		}
		applied = std::min(applied, size);
	}
	bool has_received(const std::string &text) const
	{
		return log_indexes.count(text) > 0;
	}
	bool has_applied(const std::string &text) const
	{
		auto found = log_indexes.find(text);

		return found != log_indexes.end() && found->second < applied;
	}
};

struct Connection {
	Endpoint *endpoint;
	uint32_t start_number;
	size_t proxy;
	uint32_t incarnation;
	struct stm_link *link;
	bool closed = false;
	bool in_transaction = false;
	bool failed = false;
	bool read_only = false;
	bool wrote = false;
	bool committed = false; /* by the statement that is running */
	uint64_t term = 0;	/* in which the transaction began */
	int owner = -1;		/* number of the caller whose statements these are, -1: none yet */
	std::vector<std::string> writes;
	std::map<std::string, std::string> values;
	uint64_t busy_until_us = 0;
};

struct Statement {
	sql_verb verb;
	std::string id, text, name, value;
	bool has_after = false;
	bc_position after = {0, 0};
};

struct Proxy {
	Simulation *sim = nullptr;
	size_t index = 0;
	std::string id;
	std::string address;
	std::string domain;
	bc_ctx *ctx = nullptr;
	ent_entry *entry = nullptr;
	uint32_t incarnation = 0;
	uint64_t frozen_until_us = 0;
	uint64_t next_wake_us = 0;
	uint64_t sync_call[SYN_KINDS] = {0, 0, 0};
	std::vector<std::shared_ptr<Connection>> connections;
	uint64_t disturbed_until_us = START_US; /* by a fault of its own */
	uint64_t config_version = 0;		/* newest one seen in force, in this incarnation */
};

struct Caller {
	int number = 0;
	Simulation *sim = nullptr;
	size_t proxy = 0;
	uint32_t incarnation = 0;
	struct stm_session *session = nullptr;
	stm_consistency consistency = STM_STRONG;
	int generation = 0; /* of the session */
	bool waiting = false;
	bool mode_set = false; /* "mode" is set or not needed; only odd callers set it */
	sql_verb verb = SQL_READ;
	std::string text;
	uint64_t sent_us = 0;
	bool in_transaction = false;
	bool read_only = false;
	uint64_t begun_us = 0;
	std::vector<std::string> writes; /* of the transaction */
	uint32_t statements_left = 0;
	std::set<std::string> own; /* acknowledged in this session */
	uint64_t last_served_us = 0;
	uint32_t served = 0;
};

/* Identifies one session of a caller to the proxy. */
struct Handle {
	Caller *caller;
	int generation;
};

struct Object {
	uint64_t revision;
	json_t *spec;
};

struct Change {
	uint64_t revision;
	syn_kind kind;
	std::string name;
	json_t *spec; /* NULL if deleted */
};

/* A copy of the store, from which it is restored. */
struct Backup {
	uint64_t at_us;
	uint64_t revision;
	std::map<std::string, Object> objects[SYN_KINDS];
	std::map<std::string, uint64_t> claims;
};

struct Watch {
	size_t proxy;
	uint64_t call;
	syn_kind kind;
	uint64_t revision;
};

struct Simulation {
	Fault fault;
	std::mt19937_64 random;
	uint64_t now_us = START_US;
	uint64_t last_event = 0;
	struct Event {
		uint64_t at_us;
		uint64_t order;
		std::function<void()> fn;
		bool operator<(const Event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us : order > other.order;
		}
	};
	std::priority_queue<Event> events;
	std::vector<Proxy> proxies;
	std::deque<Endpoint> endpoints;
	std::vector<Caller> callers;
	std::deque<Handle> handles;
	Endpoint *leader = nullptr;
	uint64_t term = 1;
	std::map<std::string, Write> writes;
	std::vector<std::string> acknowledged;
	uint32_t last_write = 0;
	uint32_t last_statement = 0;

	/* The store. */
	uint64_t revision = 10;
	std::map<std::string, Object> objects[SYN_KINDS];
	std::map<std::string, uint64_t> claims;
	std::vector<Change> history;
	uint64_t history_from = 0;
	uint64_t era = 1;
	std::deque<Backup> backups;
	std::vector<Watch> watches;
	uint64_t last_call = 0;
	bool store_down = false;
	bool store_loses_replies = false;

	std::map<uint64_t, std::string> tokens; /* token -> holder and endpoint */
	uint64_t token_max = 0;
	uint64_t promotion_us = PROMOTION_US;
	std::set<std::pair<size_t, std::string>> cut_endpoint;
	std::set<std::string> cut_replication;
	std::set<size_t> cut_store;
	std::set<size_t> refused; /* proxies whose calls the store refuses */
	uint64_t store_disturbed_until_us = START_US;
	std::vector<std::pair<uint64_t, uint64_t>> configs; /* version, time of acknowledgement */
	std::set<size_t> cut_proxy;
	std::string violation;

	Simulation(Fault injected, uint64_t seed, size_t proxy_count = PROXIES);
	~Simulation();
	void run(const std::vector<Step> &steps);

	uint64_t random_below(uint64_t bound)
	{
		return bound ? random() % bound : 0;
	}
	uint64_t random_delay()
	{
		return 300 + random_below(3 * MS);
	}
	void schedule(uint64_t us, std::function<void()> fn)
	{
		events.push({now_us + us, ++last_event, std::move(fn)});
	}
	void violate(const std::string &what)
	{
		if (violation.empty())
			violation =
				what + " at " + std::to_string((now_us - START_US) / MS) + " ms";
	}

	/* proxies */
	void proxy_start(size_t index);
	void proxy_stop(size_t index);
	void call_proxy(size_t index, uint32_t incarnation, std::function<void(Proxy &)> fn);
	void schedule_timer(Proxy &proxy);
	void peer_send(Proxy &from, const char *address, const wire_message *message);

	/* store */
	bool store_answers(size_t proxy)
	{
		return !store_down && !cut_store.count(proxy) && !refused.count(proxy);
	}
	/* How long an unanswered call takes to fail. */
	uint64_t call_failure_us(size_t proxy)
	{
		return refused.count(proxy) ? 4 * MS + random_delay() : STORE_TIMEOUT_US;
	}
	void put_config(uint64_t version);
	void disturb(size_t proxy, uint64_t for_us);
	void check_config();
	void check_config_at_end();
	void back_up_store();
	void restore_store(uint64_t age_us);
	void store_put(syn_kind kind, const std::string &name, json_t *spec);
	void publish_endpoint(Endpoint &endpoint);
	void answer_page(size_t proxy, uint64_t call, syn_kind kind, bc_status status, bool all,
			 uint64_t since);
	void answer_watches();
	void fail_watches(size_t proxy);
	void write_claim(Proxy &proxy, std::string group, uint64_t since, std::string holder);
	void order_promotion(Proxy &proxy, std::string group, std::string id, uint64_t token);

	/* endpoints */
	bool can_reach(size_t proxy, const Endpoint &endpoint)
	{
		return !endpoint.silent && !cut_endpoint.count({proxy, endpoint.id});
	}
	Endpoint *find_endpoint(const std::string &id);
	void replicate(Endpoint &endpoint);
	void crash(Endpoint &endpoint, bool silent, uint64_t for_us);
	void promote(const std::string &id);
	void run_statement(std::shared_ptr<Connection> connection, Statement statement);
	void commit(Connection &connection);
	void reply(std::shared_ptr<Connection> connection, sql_code code, bool has_signature,
		   bool status = false);
	void lose_connection(std::shared_ptr<Connection> connection, const char *reason,
			     uint64_t after_us);

	/* callers */
	void caller_next(Caller &caller);
	void caller_send(Caller &caller, sql_verb verb, const std::string &text);
	void caller_answered(Caller &caller, const sql_result &result);
	void check_read(Caller &caller, const Endpoint &endpoint, const std::string &text);

	void start_fault(const Step &step);
};

inline json_t *copy_spec(const json_t *spec)
{
	return spec ? json_deep_copy(spec) : nullptr;
}

/* ---- callbacks of a proxy ---- */

inline Proxy &proxy_of(void *data)
{
	return *static_cast<Proxy *>(data);
}

inline void on_answer(void *data, void *caller, const sql_result *result)
{
	Simulation *sim = proxy_of(data).sim;
	Handle &handle = *static_cast<Handle *>(caller);
	Caller &receiver = *handle.caller;
	int generation = handle.generation;
	sql_result kept = *result;

	if (sim->fault == Fault::UNKNOWN_AS_REFUSED && kept.code == SQL_UNKNOWN_OUTCOME)
		kept.code = SQL_BUSY;
	kept.message = nullptr;
	kept.rows = nullptr;
	sim->schedule(sim->random_delay(), [sim, &receiver, generation, kept] {
		if (receiver.generation == generation)
			sim->caller_answered(receiver, kept);
	});
}

inline void on_link_open(void *data, stm_link *link, const grp_endpoint *endpoint)
{
	Proxy &proxy = proxy_of(data);
	Simulation *sim = proxy.sim;
	auto connection = std::make_shared<Connection>();
	Endpoint *target = sim->find_endpoint(endpoint->info.id);

	connection->endpoint = target;
	connection->start_number = target ? target->start_number : 0;
	connection->proxy = proxy.index;
	connection->incarnation = proxy.incarnation;
	connection->link = link;
	stm_link_set_driver(link, connection.get());
	proxy.connections.push_back(connection);
	if (!target || target->removed || (!target->up && !target->silent)) {
		sim->lose_connection(connection, "refused", sim->random_delay());
		return;
	}
	if (!sim->can_reach(proxy.index, *target)) {
		sim->lose_connection(connection, "timeout", 800 * MS);
		return;
	}
	sim->schedule(sim->random_delay() + HANDSHAKE_US, [sim, connection] {
		if (connection->closed)
			return;
		sim->call_proxy(connection->proxy, connection->incarnation, [=](Proxy &) {
			if (!connection->closed)
				stm_link_opened(connection->link, SQL_OK, sim->now_us);
		});
	});
}

inline void on_link_send(void *data, stm_link *link, const sql_statement *statement)
{
	Simulation *sim = proxy_of(data).sim;
	auto *raw = static_cast<Connection *>(stm_link_driver(link));
	Statement kept;

	kept.verb = statement->verb;
	kept.id = statement->id ? statement->id : "-";
	kept.text = statement->text ? statement->text : "";
	kept.name = statement->name ? statement->name : "";
	kept.value = statement->value ? statement->value : "";
	kept.has_after = statement->has_after;
	kept.after = statement->after;
	for (auto &connection : proxy_of(data).connections) {
		if (connection.get() != raw)
			continue;
		/* A connection runs one statement at a time, in the order sent. */
		uint64_t at_us = std::max(sim->now_us + sim->random_delay(), raw->busy_until_us);

		raw->busy_until_us = at_us + MS + sim->random_below(8 * MS);
		sim->schedule(raw->busy_until_us - sim->now_us,
			      [sim, connection, kept] { sim->run_statement(connection, kept); });
		return;
	}
}

inline void on_link_flush(void *, stm_link *)
{
}

inline void on_link_close(void *data, stm_link *link)
{
	auto *raw = static_cast<Connection *>(stm_link_driver(link));
	auto &all = proxy_of(data).connections;

	if (!raw)
		return;
	raw->closed = true;
	all.erase(std::remove_if(
			  all.begin(), all.end(),
			  [raw](const std::shared_ptr<Connection> &c) { return c.get() == raw; }),
		  all.end());
}

inline bc_status decode_config(void *, const json_t *spec, ent_config *out)
{
	static const char *const names[] = {"newest", "aged", "session"};
	size_t i;

	out->version = (uint64_t)json_integer_value(json_object_get(spec, "version"));
	out->route_count = STM_CONSISTENCY_LEVELS;
	out->routes = static_cast<stm_route *>(calloc(out->route_count, sizeof(stm_route)));
	for (i = 0; i < out->route_count; i++) {
		snprintf(out->routes[i].database, BC_ID_BYTES, "%s", names[i]);
		snprintf(out->routes[i].group, BC_ID_BYTES, "jobs");
		out->routes[i].consistency = static_cast<stm_consistency>(i);
		out->routes[i].timeout_us = 800 * MS;
		out->routes[i].target_us = 400 * MS;
		out->routes[i].max_age_us = MAX_AGE_US;
	}
	out->service_count = 1;
	out->services = static_cast<ent_service *>(calloc(1, sizeof(ent_service)));
	snprintf(out->services[0].name, BC_ID_BYTES, "jobs");
	out->services[0].max_connections =
		(uint32_t)json_integer_value(json_object_get(spec, "connections"));
	return BC_OK;
}

inline bc_status decode_endpoint(void *, const char *name, uint64_t revision, const json_t *spec,
				 grp_info *out)
{
	snprintf(out->id, sizeof(out->id), "%s", name);
	snprintf(out->group, sizeof(out->group), "jobs");
	snprintf(out->domain, sizeof(out->domain), "%s",
		 json_string_value(json_object_get(spec, "domain")));
	snprintf(out->region, sizeof(out->region), "here");
	snprintf(out->address, sizeof(out->address), "%s", name);
	out->reports_lead = json_is_true(json_object_get(spec, "leads"));
	out->leaving = json_is_true(json_object_get(spec, "leaving"));
	out->started_ms = (uint64_t)json_integer_value(json_object_get(spec, "born"));
	out->slots = 2;
	out->revision = revision;
	return BC_OK;
}

inline void on_list(void *data, syn_kind kind, const char *, bool)
{
	Proxy &proxy = proxy_of(data);
	Simulation *sim = proxy.sim;
	uint64_t call = ++sim->last_call;
	size_t index = proxy.index;

	proxy.sync_call[kind] = call;
	if (!sim->store_answers(index)) {
		sim->schedule(sim->call_failure_us(index),
			      [=] { sim->answer_page(index, call, kind, BC_ETIMEOUT, true, 0); });
		return;
	}
	sim->schedule(4 * MS + sim->random_delay(),
		      [=] { sim->answer_page(index, call, kind, BC_OK, true, 0); });
}

inline void on_watch(void *data, syn_kind kind, uint64_t revision, const syn_refresh *refresh)
{
	Proxy &proxy = proxy_of(data);
	Simulation *sim = proxy.sim;
	uint64_t call = ++sim->last_call;
	size_t index = proxy.index;

	proxy.sync_call[kind] = call;
	if (sim->refused.count(index)) {
		sim->schedule(sim->call_failure_us(index),
			      [=] { sim->answer_page(index, call, kind, BC_EAGAIN, false, 0); });
		return;
	}
	sim->watches.push_back({index, call, kind, revision});
	sim->schedule(4 * MS, [=] { sim->answer_watches(); });
	sim->schedule(refresh->wait_us, [=] {
		if (sim->store_answers(index))
			sim->answer_page(index, call, kind, BC_OK, false, revision);
	});
	sim->schedule(refresh->wait_us + WATCH_GRACE_US,
		      [=] { sim->answer_page(index, call, kind, BC_ETIMEOUT, false, 0); });
}

inline void on_cancel_read(void *data, syn_kind kind)
{
	proxy_of(data).sync_call[kind] = 0;
}

inline void on_remove_proxy(void *data, const char *id)
{
	Simulation *sim = proxy_of(data).sim;
	std::string name = id;

	if (sim->store_answers(proxy_of(data).index))
		sim->schedule(0, [=] { sim->store_put(SYN_PROXIES, name, nullptr); });
}

inline void on_register_proxy(void *data, const char *id, json_t *spec)
{
	Proxy &proxy = proxy_of(data);
	Simulation *sim = proxy.sim;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	bool answers = sim->store_answers(index);

	/* Deferred: the proxy may be reading a page that points into the store. */
	if (answers) {
		json_t *kept = json_deep_copy(spec);
		std::string name = id;

		sim->schedule(0, [=] { sim->store_put(SYN_PROXIES, name, kept); });
	}
	sim->schedule(answers ? 4 * MS : sim->call_failure_us(index), [=] {
		sim->call_proxy(index, incarnation, [=](Proxy &p) {
			ent_proxy_registered(p.entry, answers ? BC_OK : BC_ETIMEOUT, sim->now_us);
		});
	});
}

inline void on_read_claim(void *data, const char *group)
{
	Proxy &proxy = proxy_of(data);
	Simulation *sim = proxy.sim;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	std::string name = group;
	bool answers = sim->store_answers(index);

	sim->schedule(answers ? 4 * MS + sim->random_delay() : sim->call_failure_us(index), [=] {
		bc_version version = {sim->era, sim->claims.count(name) ? sim->claims[name] : 0};
		bc_status status = !answers ? BC_ETIMEOUT : version.revision ? BC_OK : BC_ENOTFOUND;

		sim->call_proxy(index, incarnation, [=](Proxy &p) {
			ent_claim_read(p.entry, name.c_str(), status, version, sim->now_us);
		});
	});
}

inline void on_write_claim(void *data, const char *group, uint64_t revision, json_t *)
{
	Proxy &proxy = proxy_of(data);

	proxy.sim->write_claim(proxy, group, revision, proxy.id);
}

inline void on_promote(void *data, const char *group, const char *id, uint64_t token)
{
	Proxy &proxy = proxy_of(data);

	proxy.sim->order_promotion(proxy, group, id, token);
}

inline void on_peer_send(void *data, const char *address, const wire_message *message)
{
	Proxy &proxy = proxy_of(data);

	proxy.sim->peer_send(proxy, address, message);
}

inline void on_draining(void *, enum drn_phase)
{
}

} // namespace model

#endif
