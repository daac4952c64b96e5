#ifndef BC_ENTRY_MODEL_H
#define BC_ENTRY_MODEL_H

/*
 * The deployed system on a virtual clock: some proxies (the whole entry slice), three endpoints of
 * one group, the store, the promotion service and callers. Faults come from a list of steps, which
 * a property shrinks; the promises are checked from what callers and endpoints see.
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
/* Faults begin after the fleet is up and end before the time to recover. */
const uint64_t FAULTS_FROM_US = START_US + 3 * SEC;
const uint64_t FAULTS_SPAN_MS = 12000;
/* The longest fault, a lapsed entry, a takeover by the last rank and a promotion. */
const uint64_t RECOVERY_US = 14 * SEC;
const uint64_t STORE_CALL_US = 900 * MS;
const uint64_t WATCH_EXTRA_US = 600 * MS;
const uint64_t DEAD_CONNECTION_US = 1500 * MS;
const uint64_t HANDSHAKE_US = 12 * MS;
const uint64_t PROMOTE_US = 600 * MS;
const uint64_t LAPSE_US = 3600 * MS;
const uint64_t AGE_US = 1500 * MS;
const uint64_t LEAVING_BOUND_US = 7 * SEC;
const size_t PROXIES = 4;
const size_t ENDPOINTS = 3;
const size_t CALLERS = 10;

/* A safeguard of the surroundings that is left out, to show that the checks notice. */
enum class Fault {
	NONE,
	POSITIONS_IGNORED, /* endpoints run reads without the position that these need */
	LEAD_NOT_PROVED,   /* copies take plain transactions */
	CLAIMS_ALWAYS_WON, /* the store ignores the revision of a claim, and hands out one token */
	LOSSES_REFUSED,	   /* a lost answer is told as a refusal */
	VALUES_KEPT,	   /* endpoints ignore DISCARD */
	ROLLBACK_IGNORED,  /* endpoints commit what should be rolled back */
};

enum StepKind {
	CRASH,	      /* of an endpoint; it comes back as a copy or leads on */
	CRASH_DARK,   /* without a reset of its connections */
	CUT_ENDPOINT, /* from some proxies and from the other endpoints */
	CUT_COPIES,   /* an endpoint from the other endpoints only */
	CUT_STORE,    /* from some proxies */
	CUT_PROXY,    /* from the other proxies */
	STORE_DOWN,
	STORE_LOSES,   /* answers to writes */
	STORE_FORGETS, /* its history */
	FREEZE,	       /* a proxy */
	KILL,	       /* a proxy */
	LAG,	       /* copies apply late */
	LEAVE,	       /* an endpoint is replaced by a new one */
	PROMOTE_LATE,
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
	uint64_t acknowledged_us = 0; /* 0: not */
	bool refused = false;
	bool rolled_back = false;
};

struct Entry {
	uint64_t term;
	std::string text;
};

struct World;

struct Endpoint {
	std::string id;
	std::string domain;
	uint32_t born = 1;
	bool up = true;
	bool dark = false;
	bool leaving = false;
	uint64_t leaving_us = 0;
	bool gone = false;
	bool paused = false;
	uint64_t term = 1; /* newest that it knows */
	std::vector<Entry> log;
	std::unordered_map<std::string, size_t> places; /* of the log's entries, from 0 */
	size_t applied = 0;
	uint64_t lag_us = 20 * MS;
	std::deque<std::pair<uint64_t, size_t>> arrivals; /* when, log size */

	void append(const Entry &entry)
	{
		places[entry.text] = log.size();
		log.push_back(entry);
	}
	void truncate(size_t size)
	{
		while (log.size() > size) {
			places.erase(log.back().text);
			log.pop_back();
		}
		applied = std::min(applied, size);
	}
	bool holds(const std::string &text) const
	{
		return places.count(text) > 0;
	}
	bool shows(const std::string &text) const
	{
		auto place = places.find(text);

		return place != places.end() && place->second < applied;
	}
};

struct Connection {
	Endpoint *endpoint;
	uint32_t born;
	size_t proxy;
	uint32_t incarnation;
	struct stm_link *link;
	bool closed = false;
	bool in_transaction = false;
	bool failed = false;
	bool read_only = false;
	bool wrote = false;
	bool committed = false; /* by the statement that runs */
	uint64_t term = 0;	/* of the lead in which the transaction began */
	int owner = -1;		/* caller of the transaction's statements */
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
	World *world = nullptr;
	size_t index = 0;
	std::string id;
	std::string address;
	std::string domain;
	bc_ctx *ctx = nullptr;
	ent_entry *entry = nullptr;
	uint32_t incarnation = 0;
	uint64_t frozen_until_us = 0;
	uint64_t wake_us = 0;
	uint64_t sync_call[SYN_KINDS] = {0, 0, 0};
	std::vector<std::shared_ptr<Connection>> connections;
};

struct Caller {
	int number = 0;
	World *world = nullptr;
	size_t proxy = 0;
	uint32_t incarnation = 0;
	struct stm_session *session = nullptr;
	stm_consistency consistency = STM_STRONG;
	int generation = 0; /* of the session */
	bool waiting = false;
	bool mode_set = false; /* every other caller sets a second value */
	sql_verb verb = SQL_READ;
	std::string text;
	uint64_t asked_us = 0;
	bool in_transaction = false;
	bool read_only = false;
	uint64_t begun_us = 0;
	std::vector<std::string> writes; /* of the transaction */
	uint32_t statements_left = 0;
	std::set<std::string> own; /* acknowledged in this session */
	uint64_t served_us = 0;
	uint32_t served = 0;
};

/* What a proxy knows a caller by: one session of it. */
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

struct Watch {
	size_t proxy;
	uint64_t call;
	syn_kind kind;
	uint64_t revision;
};

struct World {
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
	std::vector<Watch> watches;
	uint64_t last_call = 0;
	bool store_down = false;
	bool store_loses = false;

	std::map<uint64_t, std::string> tokens; /* token -> holder and endpoint */
	uint64_t token_max = 0;
	uint64_t promote_us = PROMOTE_US;
	std::set<std::pair<size_t, std::string>> cut_endpoint;
	std::set<std::string> cut_copies;
	std::set<size_t> cut_store;
	std::set<size_t> cut_proxy;
	std::string broken;

	World(Fault left_out, uint64_t seed);
	~World();
	void run(const std::vector<Step> &steps);

	uint64_t below(uint64_t bound)
	{
		return bound ? random() % bound : 0;
	}
	uint64_t delay()
	{
		return 300 + below(3 * MS);
	}
	void after(uint64_t us, std::function<void()> fn)
	{
		events.push({now_us + us, ++last_event, std::move(fn)});
	}
	void fail(const std::string &what)
	{
		if (broken.empty())
			broken = what + " at " + std::to_string((now_us - START_US) / MS) + " ms";
	}

	/* proxies */
	void proxy_start(size_t index);
	void proxy_stop(size_t index);
	void into(size_t index, uint32_t incarnation, std::function<void(Proxy &)> fn);
	void wake(Proxy &proxy);
	void peer_send(Proxy &from, const char *address, const wire_message *message);

	/* store */
	bool store_answers(size_t proxy)
	{
		return !store_down && !cut_store.count(proxy);
	}
	void put(syn_kind kind, const std::string &name, json_t *spec);
	void describe(Endpoint &endpoint);
	void answer_page(size_t proxy, uint64_t call, syn_kind kind, bc_status status, bool all,
			 uint64_t since);
	void wake_watches();
	void claim(Proxy &proxy, std::string group, uint64_t since, std::string holder);
	void order(Proxy &proxy, std::string group, std::string id, uint64_t token);

	/* endpoints */
	bool reaches(size_t proxy, const Endpoint &endpoint)
	{
		return !endpoint.dark && !cut_endpoint.count({proxy, endpoint.id});
	}
	Endpoint *find(const std::string &id);
	void replicate(Endpoint &endpoint);
	void crash(Endpoint &endpoint, bool dark, uint64_t for_us);
	void promote(const std::string &id);
	void run_statement(std::shared_ptr<Connection> connection, Statement statement);
	void commit(Connection &connection);
	void reply(std::shared_ptr<Connection> connection, sql_code code, bool signed_,
		   bool status = false);
	void lose(std::shared_ptr<Connection> connection, const char *reason, uint64_t after_us);

	/* callers */
	void caller_next(Caller &caller);
	void caller_ask(Caller &caller, sql_verb verb, const std::string &text);
	void caller_answered(Caller &caller, const sql_result &result);
	void check_read(Caller &caller, const Endpoint &endpoint, const std::string &text);

	void begin_step(const Step &step);
};

inline json_t *copy(const json_t *spec)
{
	return spec ? json_deep_copy(spec) : nullptr;
}

/* ---- ports of a proxy ---- */

inline Proxy &proxy_of(void *data)
{
	return *static_cast<Proxy *>(data);
}

inline void on_answer(void *data, void *caller, const sql_result *result)
{
	World *world = proxy_of(data).world;
	Handle &handle = *static_cast<Handle *>(caller);
	Caller &who = *handle.caller;
	int generation = handle.generation;
	sql_result kept = *result;

	if (world->fault == Fault::LOSSES_REFUSED && kept.code == SQL_UNKNOWN_OUTCOME)
		kept.code = SQL_BUSY;
	kept.message = nullptr;
	kept.rows = nullptr;
	world->after(world->delay(), [world, &who, generation, kept] {
		if (who.generation == generation)
			world->caller_answered(who, kept);
	});
}

inline void on_link_open(void *data, stm_link *link, const grp_endpoint *endpoint)
{
	Proxy &proxy = proxy_of(data);
	World *world = proxy.world;
	auto connection = std::make_shared<Connection>();
	Endpoint *target = world->find(endpoint->info.id);

	connection->endpoint = target;
	connection->born = target ? target->born : 0;
	connection->proxy = proxy.index;
	connection->incarnation = proxy.incarnation;
	connection->link = link;
	stm_link_set_driver(link, connection.get());
	proxy.connections.push_back(connection);
	if (!target || target->gone || (!target->up && !target->dark)) {
		world->lose(connection, "refused", world->delay());
		return;
	}
	if (!world->reaches(proxy.index, *target)) {
		world->lose(connection, "timeout", 800 * MS);
		return;
	}
	world->after(world->delay() + HANDSHAKE_US, [world, connection] {
		if (connection->closed)
			return;
		world->into(connection->proxy, connection->incarnation, [=](Proxy &) {
			if (!connection->closed)
				stm_link_opened(connection->link, SQL_OK, world->now_us);
		});
	});
}

inline void on_link_send(void *data, stm_link *link, const sql_statement *statement)
{
	World *world = proxy_of(data).world;
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
		/* One statement after the other, as they were sent. */
		uint64_t at_us = std::max(world->now_us + world->delay(), raw->busy_until_us);

		raw->busy_until_us = at_us + MS + world->below(8 * MS);
		world->after(raw->busy_until_us - world->now_us,
			     [world, connection, kept] { world->run_statement(connection, kept); });
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
		out->routes[i].max_age_us = AGE_US;
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
	World *world = proxy.world;
	uint64_t call = ++world->last_call;
	size_t index = proxy.index;

	proxy.sync_call[kind] = call;
	if (!world->store_answers(index)) {
		world->after(STORE_CALL_US,
			     [=] { world->answer_page(index, call, kind, BC_ETIMEOUT, true, 0); });
		return;
	}
	world->after(4 * MS + world->delay(),
		     [=] { world->answer_page(index, call, kind, BC_OK, true, 0); });
}

inline void on_watch(void *data, syn_kind kind, uint64_t revision, const syn_refresh *refresh)
{
	Proxy &proxy = proxy_of(data);
	World *world = proxy.world;
	uint64_t call = ++world->last_call;
	size_t index = proxy.index;

	proxy.sync_call[kind] = call;
	world->watches.push_back({index, call, kind, revision});
	world->after(4 * MS, [=] { world->wake_watches(); });
	world->after(refresh->wait_us, [=] {
		if (world->store_answers(index))
			world->answer_page(index, call, kind, BC_OK, false, revision);
	});
	world->after(refresh->wait_us + WATCH_EXTRA_US,
		     [=] { world->answer_page(index, call, kind, BC_ETIMEOUT, false, 0); });
}

inline void on_cancel_read(void *data, syn_kind kind)
{
	proxy_of(data).sync_call[kind] = 0;
}

inline void on_remove_proxy(void *data, const char *id)
{
	World *world = proxy_of(data).world;
	std::string name = id;

	if (world->store_answers(proxy_of(data).index))
		world->after(0, [=] { world->put(SYN_PROXIES, name, nullptr); });
}

inline void on_register_proxy(void *data, const char *id, json_t *spec)
{
	Proxy &proxy = proxy_of(data);
	World *world = proxy.world;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	bool answers = world->store_answers(index);

	/* Not at once: the proxy may be reading a page that borrows from the store. */
	if (answers) {
		json_t *kept = json_deep_copy(spec);
		std::string name = id;

		world->after(0, [=] { world->put(SYN_PROXIES, name, kept); });
	}
	world->after(answers ? 4 * MS : STORE_CALL_US, [=] {
		world->into(index, incarnation, [=](Proxy &p) {
			ent_proxy_registered(p.entry, answers ? BC_OK : BC_ETIMEOUT, world->now_us);
		});
	});
}

inline void on_read_claim(void *data, const char *group)
{
	Proxy &proxy = proxy_of(data);
	World *world = proxy.world;
	size_t index = proxy.index;
	uint32_t incarnation = proxy.incarnation;
	std::string name = group;
	bool answers = world->store_answers(index);

	world->after(answers ? 4 * MS + world->delay() : STORE_CALL_US, [=] {
		uint64_t revision = world->claims.count(name) ? world->claims[name] : 0;
		bc_status status = !answers ? BC_ETIMEOUT : revision ? BC_OK : BC_ENOTFOUND;

		world->into(index, incarnation, [=](Proxy &p) {
			ent_claim_read(p.entry, name.c_str(), status, revision, world->now_us);
		});
	});
}

inline void on_write_claim(void *data, const char *group, uint64_t revision, json_t *)
{
	Proxy &proxy = proxy_of(data);

	proxy.world->claim(proxy, group, revision, proxy.id);
}

inline void on_promote(void *data, const char *group, const char *id, uint64_t token)
{
	Proxy &proxy = proxy_of(data);

	proxy.world->order(proxy, group, id, token);
}

inline void on_peer_send(void *data, const char *address, const wire_message *message)
{
	Proxy &proxy = proxy_of(data);

	proxy.world->peer_send(proxy, address, message);
}

inline void on_draining(void *, enum drn_phase)
{
}

} // namespace model

#endif
