#ifndef BC_NODE_MODEL_H
#define BC_NODE_MODEL_H

/*
 * A simulated environment of complete proxies: three endpoints of one database group, the platform,
 * the links between the proxies, and callers that keep their session tokens. Time is simulated.
 */

#include "node/node.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace model
{

constexpr int ENDPOINTS = 3;
constexpr int SESSIONS = 3;
constexpr uint64_t STEP_US = 20 * BC_US_PER_MS;
constexpr uint64_t UNIX_NOW_S = 1700000000;
constexpr uint64_t TIMEOUT_US = 2 * BC_US_PER_S;
/*
 * How long after its deadline a reply may come: the time to the next tick, and queued calls whose
 * answers are due in the same step.
 */
constexpr uint64_t REPLY_SLACK_US = 100 * BC_US_PER_MS;
/* A call that its node has given up may still arrive this long after it was sent. */
constexpr uint64_t ABANDONED_CALL_US = 4 * BC_US_PER_S;
/* An endpoint rolls back a transaction without calls after this time; 10 s in the interface. */
constexpr uint64_t IDLE_TRANSACTION_US = 3 * BC_US_PER_S;
constexpr uint64_t LOCK_WAIT_US = 200 * BC_US_PER_MS;
constexpr uint64_t DRAIN_US = 5 * BC_US_PER_S;
/* Limits that end a case which would otherwise hang. */
constexpr uint64_t STEPS_MAX = 20000;
constexpr size_t CALLS_MAX = 5000;

/* Protocol defects: each breaks one rule in the adapter between a node and the model. */
enum class Defect {
	NONE,
	MIN_POSITION_REMOVED,
	RESULTS_OF_OTHER_REQUEST,
	DELETE_DROPPED,
	CONNECTION_SHARED,
	STALE_READS,
	TRACE_REMOVED,
	HAS_ALWAYS_TRUE,
	LOST_REPORTED_NOT_SENT,
	KEY_CONSTRAINT_MISSING,
	REPLY_DROPPED,
	REPLY_DUPLICATED,
	DRAIN_IGNORED,
	DRAIN_IMMEDIATE,
	OLD_REVISION_APPLIED
};

/* A violated invariant; `what` begins with its name. */
struct Violation : std::runtime_error {
	using std::runtime_error::runtime_error;
};

[[noreturn]] inline void fail(const std::string &what)
{
	throw Violation(what);
}

/* The outcome of a call to an endpoint. */
enum class CallOutcome {
	ANSWERED,
	LOST_AFTER_RUN,
	LOST_BEFORE_RUN,
	NOT_SENT,
	WRONG_REQUEST_ID,
	NOT_JSON,
	TRUNCATED,
	DELAYED
};
constexpr int CALL_OUTCOMES = 8;

struct CallPlan {
	CallOutcome outcome = CallOutcome::ANSWERED;
	uint64_t arrive_us = 0;
	uint64_t answer_us = 0;
};

struct Json {
	json_t *value;
	explicit Json(json_t *owned) : value(owned)
	{
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;
	~Json()
	{
		json_decref(value);
	}
	std::string dump() const
	{
		char *text = json_dumps(value, JSON_COMPACT);
		std::string copy(text ? text : "");
		free(text);
		return copy;
	}
};

inline std::string string_field(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

inline uint64_t integer_field(const json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

inline json_t *position_json(bc_position at)
{
	return json_pack("{s:I,s:I}", "term", (json_int_t)at.term, "pos", (json_int_t)at.pos);
}

/* A row of the idempotency key table. */
struct KeyRow {
	std::string key;
	std::string fingerprint;
	std::string result;
};

/* A committed transaction. `uid` distinguishes entries with the same log position. */
struct Entry {
	uint64_t uid = 0;
	uint64_t term = 0;
	std::vector<int> writes;	/* numbers of the callers' writes */
	std::set<uint64_t> request_ids; /* the callers' requests of its statements */
	std::vector<KeyRow> keys;
};

struct Connection {
	int owner = 0;
	bool in_transaction = false;
	bool writes = false;
	Entry pending;
	std::set<std::string> seen_requests;
	uint64_t last_used_us = 0;
};

struct Endpoint {
	std::string id;
	bool is_primary = false;
	uint64_t term = 1;
	uint64_t promised = 1;
	std::string candidate;
	std::string primary = "e1";
	std::vector<Entry> log;
	size_t applied = 0;
	std::map<std::string, Connection> connections;
	uint64_t next_connection = 0;
	uint64_t start_count = 0;
	uint64_t contact_us = 0;
	uint64_t down_until_us = 0;
	uint64_t frozen_until_us = 0;
	uint64_t replication_paused_until_us = 0; /* receives no log entries */
	uint64_t step_down_until_us = 0;
	uint64_t leaving_until_us = 0;
	bool was_down = false;
	bool rebuilding = false; /* reapplies the log after a restart */
	std::string lock_holder; /* connection that holds the write lock */
	std::string last_answer; /* of the last successful run with results */
	std::string last_results;
	std::string last_deleted; /* connection whose DELETE the adapter dropped */
	std::map<std::string, std::string> reused_connections; /* by the id given to the node */
	std::deque<CallPlan> plans;			       /* for the next runs */

	/* The position of the last of the log's first `count` entries. */
	bc_position position(size_t count) const
	{
		return count ? bc_position{log[count - 1].term, count} : bc_position{0, 0};
	}
	bool log_holds(bc_position at) const
	{
		return at.pos && log.size() >= at.pos && log[at.pos - 1].term == at.term;
	}
};

/* A call of a node on its way to an endpoint or the platform, and back. */
struct Call {
	uint64_t id = 0;
	int node = 0;
	uint64_t incarnation = 0;
	int endpoint = -1; /* -1: the platform */
	std::string method, path, body, trace;
	uint64_t sent_us = 0, arrive_us = 0, timeout_us = 0, answer_us = 0;
	uint64_t arrived_us = 0;
	bool awaited = true;
	bool executed = false;
	bool fail_fast = false; /* an undeliverable call fails at once instead of at its timeout */
	CallPlan plan;
	uint32_t status = 200;
	std::string answer;
	std::string earlier_answer; /* of an earlier run at the endpoint */
};

struct PeerMessage {
	int to;
	std::string from;
	wire_message message;
};

/* The writes and reads that a session token covers. */
struct SessionState {
	std::string token;
	std::set<int> acked;
	std::vector<uint64_t> read_log; /* uids of the log at the last read */
};

enum class RequestKind { READ, WRITE, BEGIN, STATEMENT, COMMIT, ROLLBACK };

struct Transaction {
	std::string id;
	int node = 0;
	uint64_t incarnation = 0;
	int session = 0;
	std::vector<int> acked_writes; /* numbers of its acknowledged writes */
	bool ended = false;
};

/* A caller's request and what its reply is checked against. */
struct Request {
	uint64_t id = 0;
	RequestKind kind = RequestKind::READ;
	int node = 0;
	uint64_t incarnation = 0;
	int session = 0;
	int write = 0; /* number of the write, 0 for none */
	int transaction = -1;
	bool strong = false;
	uint64_t max_age_us = UINT64_MAX;
	uint64_t sent_us = 0;
	bool refused_by_drain = false; /* arrived at a draining node */
	uint32_t replies = 0;
	std::string outcome;
	SessionState session_state;
	std::set<int> acked_before;	    /* all writes acknowledged before it was sent */
	std::set<int> acked_before_max_age; /* those acknowledged more than max_age_us before */
};

/* A caller's write. One with an idempotency key may be sent by several requests. */
struct Write {
	std::string key;
	bool repeatable = false;
	bool fails = false;
	int session = 0;
	int transaction_key = 0; /* the same for all writes of a transaction */
	uint32_t commits = 0;
	bool acked = false;
	uint64_t acked_us = 0;
};

/* Counts over all cases, to detect a property that holds because nothing happens. */
struct Tally {
	uint64_t ran = 0, not_run = 0, unknown = 0, replayed = 0, replica_reads = 0, promotions = 0,
		 committed = 0, ended_drains = 0;

	void add(const Tally &other)
	{
		ran += other.ran;
		not_run += other.not_run;
		unknown += other.unknown;
		replayed += other.replayed;
		replica_reads += other.replica_reads;
		promotions += other.promotions;
		committed += other.committed;
		ended_drains += other.ended_drains;
	}
	bool complete() const
	{
		return ran && not_run && unknown && replayed && replica_reads && promotions &&
		       committed && ended_drains;
	}
};

class World;

struct Node {
	World *world = nullptr;
	int index = 0;
	uint64_t incarnation = 0; /* number of processes started on this VM */
	bc_ctx *ctx = nullptr;
	nod_node *node = nullptr;
	uint64_t drain_us = 0;
	bool stopped = false;
	uint64_t revision = 0;
	uint64_t disconnected_until_us[ENDPOINTS] = {};
	bool disconnect_fails_fast[ENDPOINTS] = {};
};

struct Object {
	uint64_t version;
	std::string value;
};

class World
{
      public:
	World(uint64_t seed, int nodes, Defect defect) : seed_(seed), defect_(defect)
	{
		keyring_ctx_ = bc_ctx_create(seed);
		keyring_ = ses_keyring_create(keyring_ctx_);
		ses_keyring_add(keyring_, 1, "0123456789abcdef0123456789abcdef", 32, true);
		for (int i = 0; i < ENDPOINTS; i++) {
			Entry first;

			first.uid = 1;
			first.term = 1;
			endpoints_[i].id = "e" + std::to_string(i + 1);
			endpoints_[i].log.push_back(first);
			endpoints_[i].applied = 1;
			endpoints_[i].is_primary = i == 0;
		}
		objects_["config"] = {1, config_value(1)};
		objects_["groups"] = {1, groups_value()};
		node_count_ = nodes;
		for (int i = 0; i < nodes; i++) {
			nodes_[i].world = this;
			nodes_[i].index = i;
			node_start(i);
		}
		advance(800 * BC_US_PER_MS);
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;
	~World()
	{
		for (int i = 0; i < node_count_; i++)
			node_free(i);
		for (auto &peer : peer_messages_)
			wire_message_clear(&peer.message);
		ses_keyring_destroy(keyring_);
		bc_ctx_destroy(keyring_ctx_);
	}

	/* Advances the time in steps of STEP_US, each of which runs everything that is due. */
	void advance(uint64_t us)
	{
		for (uint64_t end_us = now_us_ + us; now_us_ < end_us;) {
			now_us_ += STEP_US;
			step();
		}
	}

	void read(int session, int node, bool strong, int64_t max_age_ms)
	{
		Request *request = request_new(RequestKind::READ, session, node);
		Json body(json_pack("{s:s,s:s,s:[I],s:b}", "sql", "SELECT s", "kind", "read",
				    "params", (json_int_t)(request ? request->id : 0), "strong",
				    strong));

		if (!request)
			return;
		request->strong = strong;
		if (max_age_ms >= 0) {
			json_object_set_new(body.value, "max_age_ms", json_integer(max_age_ms));
			request->max_age_us = (uint64_t)max_age_ms * BC_US_PER_MS;
			for (auto &[number, write] : writes_)
				if (write.acked && write.acked_us + request->max_age_us < now_us_)
					request->acked_before_max_age.insert(number);
		}
		request_send(*request, "statements", body.dump(), "");
	}

	void write(int session, int node, bool keyed, bool repeatable, bool fails)
	{
		int number = write_new(session, 0);

		if (keyed)
			writes_[number].key =
				std::to_string(UNIX_NOW_S) + "-k" + std::to_string(number);
		writes_[number].repeatable = repeatable;
		writes_[number].fails = fails;
		write_send(number, session, node);
	}

	/* Sends a keyed write again, perhaps while an earlier request is in progress. */
	void resend_write(int choice, int node)
	{
		std::vector<int> keyed;

		for (auto &[number, write] : writes_)
			if (!write.key.empty())
				keyed.push_back(number);
		if (keyed.empty())
			return;
		int number = keyed[keyed.size() - 1 - (size_t)choice % keyed.size()];
		write_send(number, writes_[number].session, node);
	}

	void transaction_begin(int session, int node)
	{
		Request *request = request_new(RequestKind::BEGIN, session, node);

		if (!request)
			return;
		transactions_.push_back({"", node, nodes_[node].incarnation, session, {}, false});
		request->transaction = (int)transactions_.size() - 1;
		request_send(*request, "transactions", "{}", "");
	}

	/* Sends the next request of a transaction that has no request in progress. */
	void transaction_continue(int choice, RequestKind kind, bool fails)
	{
		std::vector<int> open;

		for (size_t i = 0; i < transactions_.size(); i++)
			if (transaction_open(transactions_[i]))
				open.push_back((int)i);
		if (!open.empty())
			transaction_send(open[(size_t)choice % open.size()], kind, fails);
	}

	void plan_run(int endpoint, const CallPlan &plan)
	{
		endpoints_[endpoint].plans.push_back(plan);
	}
	void crash(int endpoint, uint64_t us)
	{
		Endpoint &e = endpoints_[endpoint];

		e.down_until_us = now_us_ + us;
		e.was_down = true;
		e.connections.clear();
		e.lock_holder.clear();
		e.start_count++;
		/* The answers of executed calls are lost with the process. */
		for (auto &call : calls_)
			if (call && call->endpoint == endpoint && call->executed)
				call->plan.outcome = CallOutcome::LOST_AFTER_RUN;
	}
	void freeze(int endpoint, uint64_t us)
	{
		endpoints_[endpoint].frozen_until_us = now_us_ + us;
	}
	void pause_replication(int endpoint, uint64_t us)
	{
		endpoints_[endpoint].replication_paused_until_us = now_us_ + us;
	}
	void leave(int endpoint, uint64_t us)
	{
		endpoints_[endpoint].leaving_until_us = now_us_ + us;
		vms_version_++;
	}
	void disconnect(int node, int endpoint, uint64_t us, bool fail_fast)
	{
		nodes_[node % node_count_].disconnected_until_us[endpoint] = now_us_ + us;
		nodes_[node % node_count_].disconnect_fails_fast[endpoint] = fail_fast;
	}
	/*
	 * Splits the network into two sides. Bits 0 to 2 of the mask give the side of each
	 * endpoint, bits 3 to 5 that of each node.
	 */
	void partition(unsigned side_mask, uint64_t us)
	{
		side_mask_ = side_mask;
		partition_until_us_ = now_us_ + us;
	}
	void platform_down(uint64_t us)
	{
		platform_down_until_us_ = now_us_ + us;
	}
	void configure()
	{
		objects_["config"] = {objects_["config"].version + 1,
				      config_value(++config_revision_)};
	}

	/* A peer pushes the first configuration, under its own or a newer version. */
	void push_old_config(int to, bool looks_newer)
	{
		PeerMessage peer = {to % node_count_, "p9", {}};

		peer.message.kind = WIRE_PUSH;
		peer.message.document = 0;
		peer.message.version = looks_newer ? config_revision_ + 100 : 1;
		peer.message.content = strdup(config_value(1).c_str());
		if (defect_ == Defect::OLD_REVISION_APPLIED && config_revision_ > 1) {
			/* Applies the old document like a node that does not check the revision. */
			uint64_t revision = nodes_[peer.to].revision;

			objects_["config"] = {objects_["config"].version + 1, config_value(1)};
			node_restart(peer.to);
			nodes_[peer.to].revision = revision;
		}
		peer_messages_.push_back(peer);
	}
	void node_restart(int index)
	{
		node_free(index % node_count_);
		node_start(index % node_count_);
	}
	void drain(int index)
	{
		Node &n = nodes_[index % node_count_];

		if (!n.node || n.drain_us || n.stopped)
			return;
		n.drain_us = now_us_;
		if (defect_ != Defect::DRAIN_IGNORED)
			nod_drain(n.node, now_us_);
		if (defect_ == Defect::DRAIN_IMMEDIATE)
			on_stopped(&n, 0);
	}
	/* The primary with the highest term, or -1 if a majority has promised a higher one. */
	int primary() const
	{
		int best = -1;
		int above = 0;

		for (int i = 0; i < ENDPOINTS; i++)
			if (endpoints_[i].is_primary &&
			    (best < 0 || endpoints_[i].term > endpoints_[best].term))
				best = i;
		for (auto &e : endpoints_)
			above += best >= 0 && e.promised > endpoints_[best].term;
		return above > ENDPOINTS / 2 ? -1 : best;
	}
	const Tally &tally() const
	{
		return tally_;
	}
	int nodes() const
	{
		return node_count_;
	}

	/* Checks the invariants that hold at any time. */
	void check()
	{
		check_durable();
		check_replies_due();
		check_revisions();
	}

	/* Ends all faults, waits for all requests, and checks the invariants of the final state. */
	void recover_and_check()
	{
		for (auto &e : endpoints_) {
			e.down_until_us = e.frozen_until_us = e.replication_paused_until_us = 0;
			e.leaving_until_us = 0;
			e.plans.clear();
		}
		vms_version_++;
		for (auto &n : nodes_)
			memset(n.disconnected_until_us, 0, sizeof(n.disconnected_until_us));
		platform_down_until_us_ = 0;
		partition_until_us_ = 0;
		for (size_t i = 0; i < transactions_.size(); i++)
			if (transaction_open(transactions_[i]))
				transaction_send((int)i, RequestKind::ROLLBACK, false);
		for (int i = 0; i < 14 && !(i > 1 && idle()); i++) {
			advance(500 * BC_US_PER_MS);
			check();
		}
		for (auto &[id, request] : requests_)
			if (incarnation_runs(request) && request.replies != 1)
				fail("REPLY: request " + std::to_string(id) + " has " +
				     std::to_string(request.replies) + " replies");
		if (any_node_ready() && primary() < 0)
			fail("AVAILABLE: no primary after all faults ended");
		check_not_run();
		check_drained();
	}

      private:
	static std::string config_value(uint64_t revision)
	{
		Json value(json_pack("{s:I,s:s,s:[{s:s,s:i,s:b,s:i}],s:[{s:s,s:s,s:[s]}]}",
				     "revision", (json_int_t)revision, "writer", "w", "plans",
				     "name", "p", "connections", 24, "replica_reads", 1,
				     "max_staleness_ms", 0, "customers", "name", "shop", "plan",
				     "p", "databases", "jobs"));

		return value.dump();
	}
	static std::string groups_value()
	{
		Json value(json_pack("{s:[],s:[{s:s,s:[s,s,s]}]}", "endpoints", "groups",
				     "database", "jobs", "members", "e1", "e2", "e3"));

		for (int i = 1; i <= ENDPOINTS; i++) {
			std::string n = std::to_string(i);

			json_array_append_new(json_object_get(value.value, "endpoints"),
					      json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id",
							("e" + n).c_str(), "address",
							("127.0.0.1:" + n).c_str(), "domain",
							("d" + n).c_str(), "region", "r1", "slots",
							4, "connections", 30));
		}
		return value.dump();
	}
	std::string vms_value() const
	{
		Json value(json_pack("{s:I,s:[]}", "version", (json_int_t)vms_version_, "vms"));

		for (int i = 0; i < node_count_; i++)
			vm_add(value.value, "p" + std::to_string(i + 1), "entry",
			       "127.0.0.1:" + std::to_string(100 + i), i, "live");
		for (int i = 0; i < ENDPOINTS; i++)
			vm_add(value.value, endpoints_[i].id, "endpoint",
			       "127.0.0.1:" + std::to_string(i + 1), i,
			       endpoints_[i].leaving_until_us > now_us_ ? "leaving" : "live");
		return value.dump();
	}
	static void vm_add(json_t *value, const std::string &id, const char *kind,
			   const std::string &address, int domain, const char *state)
	{
		json_array_append_new(json_object_get(value, "vms"),
				      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", id.c_str(),
						"kind", kind, "address", address.c_str(), "domain",
						("d" + std::to_string(domain + 1)).c_str(),
						"region", "r1", "state", state));
	}

	/* --- nodes --- */

	void node_start(int index)
	{
		static const nod_callbacks shared = {{on_reply},
						     {on_endpoint_call, on_cancel},
						     {on_platform_call, on_cancel},
						     {on_send},
						     on_stopped,
						     nullptr};
		Node &n = nodes_[index];
		nod_callbacks callbacks = shared;
		cfg_settings settings = {};

		callbacks.data = &n;
		n.incarnation++;
		n.drain_us = 0;
		n.stopped = false;
		n.revision = 0;
		snprintf(settings.id, sizeof(settings.id), "p%d", index + 1);
		snprintf(settings.domain, sizeof(settings.domain), "d%d", index + 1);
		snprintf(settings.region, sizeof(settings.region), "r1");
		snprintf(settings.listen_peers, sizeof(settings.listen_peers), "127.0.0.1:%d",
			 100 + index);
		snprintf(settings.platform, sizeof(settings.platform), "127.0.0.1:99");
		snprintf(settings.seeds[0], sizeof(settings.seeds[0]), "127.0.0.1:100");
		settings.seed_count = 1;
		settings.drain_timeout_ms = (uint32_t)(DRAIN_US / BC_US_PER_MS);
		settings.request_timeout_ms = (uint32_t)(TIMEOUT_US / BC_US_PER_MS);
		n.ctx = bc_ctx_create(seed_ * 1000 + (uint64_t)index * 100 + n.incarnation);
		n.node = nod_create(n.ctx, &settings, keyring_, n.incarnation, &callbacks, now_us_);
	}
	void node_free(int index)
	{
		Node &n = nodes_[index];

		if (!n.node)
			return;
		nod_destroy(n.node);
		bc_ctx_destroy(n.ctx);
		n.node = nullptr;
		for (auto &call : calls_)
			if (call && call->node == index)
				call->awaited = false;
	}
	bool incarnation_runs(const Request &request) const
	{
		return nodes_[request.node].node &&
		       nodes_[request.node].incarnation == request.incarnation;
	}

	/* --- callers --- */

	int write_new(int session, int transaction_key)
	{
		int number = ++last_write_;

		writes_[number].session = session;
		writes_[number].transaction_key = transaction_key ? transaction_key : -number;
		return number;
	}
	Request *request_new(RequestKind kind, int session, int node)
	{
		Node &n = nodes_[node];

		if (!n.node || n.stopped)
			return nullptr;
		Request &request = requests_[++last_request_];

		request.id = last_request_;
		request.kind = kind;
		request.node = node;
		request.incarnation = n.incarnation;
		request.session = session;
		request.sent_us = now_us_;
		request.session_state = sessions_[session];
		request.refused_by_drain =
			n.drain_us && now_us_ > n.drain_us + 500 * BC_US_PER_MS + STEP_US;
		for (auto &[number, write] : writes_)
			if (write.acked)
				request.acked_before.insert(number);
		return &request;
	}
	void write_send(int number, int session, int node)
	{
		Request *request = request_new(RequestKind::WRITE, session, node);
		const Write &write = writes_[number];
		Json body(json_pack("{s:s,s:s,s:[i],s:b}", "sql", write.fails ? "FAIL" : "INSERT w",
				    "kind", "write", "params", number, "repeatable",
				    write.repeatable));

		if (!request)
			return;
		request->write = number;
		request_send(*request, "statements", body.dump(), write.key);
	}
	bool transaction_open(const Transaction &transaction) const
	{
		const Node &n = nodes_[transaction.node];

		if (transaction.id.empty() || transaction.ended || !n.node || n.stopped ||
		    n.incarnation != transaction.incarnation)
			return false;
		for (auto &[id, request] : requests_)
			if (request.transaction >= 0 && !request.replies &&
			    &transactions_[(size_t)request.transaction] == &transaction)
				return false;
		return true;
	}
	void transaction_send(int index, RequestKind kind, bool fails)
	{
		Transaction &transaction = transactions_[(size_t)index];
		Request *request = request_new(kind, transaction.session, transaction.node);
		std::string verb = kind == RequestKind::COMMIT	   ? "/commit"
				   : kind == RequestKind::ROLLBACK ? "/rollback"
								   : "/statements";
		std::string body = "{}";

		if (!request)
			return;
		request->transaction = index;
		request->refused_by_drain = false;
		if (kind == RequestKind::STATEMENT) {
			request->write = write_new(transaction.session, index + 1);
			writes_[request->write].fails = fails;
			Json statement(json_pack("{s:s,s:[i]}", "sql", fails ? "FAIL" : "INSERT w",
						 "params", request->write));
			body = statement.dump();
		} else {
			transaction.ended = true;
		}
		request_send(*request, "transactions/" + transaction.id + verb, body, "");
	}
	void request_send(Request &request, const std::string &path, const std::string &body,
			  const std::string &key)
	{
		char credential[SES_CREDENTIAL_BYTES];
		char trace[64];
		std::string full_path = "/v1/databases/jobs/" + path;
		std::string request_id = "r:" + std::to_string(request.id);
		struct nod_request fields = {};

		ses_credential_issue(keyring_, "shop", credential);
		std::string authorization = std::string("Bearer ") + credential;
		snprintf(trace, sizeof(trace), "00-%032llx-00000000000000ff-01",
			 (unsigned long long)request.id);
		fields.method = "POST";
		fields.path = full_path.c_str();
		fields.authorization = authorization.c_str();
		fields.session_token = request.session_state.token.empty()
					       ? nullptr
					       : request.session_state.token.c_str();
		fields.idempotency_key = key.empty() ? nullptr : key.c_str();
		fields.traceparent = trace;
		fields.request_id = request_id.c_str();
		fields.body = body.c_str();
		nod_request(nodes_[request.node].node, request.id, &fields, UNIX_NOW_S, now_us_);
	}

	static void on_reply(void *data, uint64_t request, const nod_reply *reply)
	{
		Node *n = (Node *)data;

		n->world->handle_reply(*n, request, reply);
	}
	/* Keeps the first violation for step(), since exceptions must not pass through C frames. */
	void record_violation(const std::string &what)
	{
		if (violation_.empty())
			violation_ = what;
	}
	void handle_reply(Node &n, uint64_t id, const nod_reply *reply)
	{
		auto found = requests_.find(id);

		if (found == requests_.end() || found->second.node != n.index ||
		    found->second.incarnation != n.incarnation) {
			record_violation(
				"REPLY: reply to a request that was not sent to this node");
			return;
		}
		if (defect_ == Defect::REPLY_DROPPED && id % 8 == 0)
			return;
		Request &request = found->second;

		request.replies += defect_ == Defect::REPLY_DUPLICATED && id % 8 == 0 ? 2 : 1;
		if (request.replies != 1)
			return record_violation("REPLY: second reply to request " +
						std::to_string(id));
		if (string_field(reply->body, "request") != "r:" + std::to_string(id))
			return record_violation("ROWS: reply with another request's id");
		request.outcome = string_field(reply->body, "outcome");
		if (request.refused_by_drain && request.outcome != "not_run")
			return record_violation("DRAIN: a draining node accepted request " +
						std::to_string(id));
		if (request.outcome == "ran")
			handle_ran_reply(request, reply);
		tally_.ran += request.outcome == "ran";
		tally_.not_run += request.outcome == "not_run";
		tally_.unknown += request.outcome == "unknown";
		tally_.replayed += json_is_true(json_object_get(reply->body, "replayed"));
		tally_.replica_reads += string_field(reply->body, "role") == "replica";
		tally_.committed += request.kind == RequestKind::COMMIT && request.outcome == "ran";
		if (request.transaction >= 0)
			transaction_reply(request, reply);
	}
	void handle_ran_reply(Request &request, const nod_reply *reply)
	{
		json_t *row = json_array_get(json_object_get(reply->body, "rows"), 0);
		uint64_t first = (uint64_t)json_integer_value(json_array_get(row, 0));

		if (request.kind == RequestKind::READ) {
			if (first != request.id)
				return record_violation("ROWS: request " +
							std::to_string(request.id) +
							" has rows of " + std::to_string(first));
			check_read(request, (uint64_t)json_integer_value(json_array_get(row, 1)));
		}
		if (request.kind == RequestKind::WRITE || request.kind == RequestKind::STATEMENT) {
			if (first != (uint64_t)request.write)
				return record_violation("ROWS: write " +
							std::to_string(request.write) +
							" has rows of " + std::to_string(first));
		}
		if (request.kind == RequestKind::WRITE)
			acknowledge(request, request.write);
		if (request.kind == RequestKind::COMMIT)
			for (int number : transactions_[(size_t)request.transaction].acked_writes)
				acknowledge(request, number);
		if (reply->session_token && request.kind != RequestKind::STATEMENT &&
		    request.kind != RequestKind::BEGIN) {
			request.session_state.token = reply->session_token;
			sessions_[request.session] = request.session_state;
		}
	}
	void acknowledge(Request &request, int number)
	{
		Write &write = writes_[number];

		request.session_state.acked.insert(number);
		if (write.acked)
			return;
		write.acked = true;
		write.acked_us = now_us_;
	}
	void check_read(Request &request, uint64_t snapshot)
	{
		if (!snapshot || snapshot > snapshots_.size())
			return record_violation("ROWS: a read returned a result of no endpoint");
		const std::vector<uint64_t> &seen = snapshots_[snapshot - 1].uids;
		const std::set<int> &writes = snapshots_[snapshot - 1].writes;
		const std::vector<uint64_t> &before = request.session_state.read_log;

		if (seen.size() < before.size() ||
		    !std::equal(before.begin(), before.end(), seen.begin()))
			return record_violation("SESSION: read " + std::to_string(request.id) +
						" is older than an earlier one");
		require_seen(writes, request.session_state.acked, "SESSION", request.id);
		if (request.strong)
			require_seen(writes, request.acked_before, "STRONG", request.id);
		/*
		 * The interface does not specify how a restarted replica answers a read without
		 * `min` while it rebuilds its data; the stand-in endpoint refuses it.
		 */
		if (!snapshots_[snapshot - 1].rebuilding)
			require_seen(writes, request.acked_before_max_age, "AGE", request.id);
		request.session_state.read_log = seen;
	}
	void require_seen(const std::set<int> &have, const std::set<int> &want, const char *name,
			  uint64_t request)
	{
		for (int number : want)
			if (!have.count(number))
				return record_violation(
					std::string(name) + ": read " + std::to_string(request) +
					" does not see write " + std::to_string(number));
	}
	void transaction_reply(Request &request, const nod_reply *reply)
	{
		Transaction &transaction = transactions_[(size_t)request.transaction];

		if (request.outcome != "ran")
			transaction.ended = true;
		else if (request.kind == RequestKind::BEGIN)
			transaction.id = string_field(reply->body, "transaction");
		else if (request.kind == RequestKind::STATEMENT)
			transaction.acked_writes.push_back(request.write);
	}

	static void on_stopped(void *data, uint32_t cut_off)
	{
		Node *n = (Node *)data;

		n->world->handle_stopped(*n, cut_off);
	}
	/*
	 * The drain's timeout may cut off only open transactions whose caller is idle or has sent a
	 * request less than TIMEOUT_US ago.
	 */
	void handle_stopped(Node &n, uint32_t cut_off)
	{
		uint32_t allowed = 0;

		n.stopped = true;
		tally_.ended_drains++;
		for (auto &transaction : transactions_)
			allowed += transaction.node == n.index &&
				   transaction.incarnation == n.incarnation &&
				   !transaction.id.empty() && !transaction.ended;
		for (auto &[id, request] : requests_) {
			if (request.node != n.index || request.incarnation != n.incarnation ||
			    request.replies)
				continue;
			if (request.transaction < 0 || request.kind == RequestKind::BEGIN ||
			    now_us_ > request.sent_us + TIMEOUT_US)
				record_violation("DRAIN: request " + std::to_string(id) +
						 " was cut off");
			allowed += 2; /* the request and its transaction */
		}
		if (cut_off > allowed)
			record_violation("DRAIN: " + std::to_string(cut_off) +
					 " requests cut off, allowed: " + std::to_string(allowed));
	}

	/* --- calls --- */

	static void on_endpoint_call(void *data, const nod_call *call)
	{
		Node *n = (Node *)data;

		n->world->call_new(*n, call, atoi(call->target + 1) - 1);
	}
	static void on_platform_call(void *data, const nod_call *call)
	{
		Node *n = (Node *)data;

		n->world->call_new(*n, call, -1);
	}
	static void on_cancel(void *data, uint64_t id)
	{
		Node *n = (Node *)data;

		for (auto &call : n->world->calls_)
			if (call && call->node == n->index && call->incarnation == n->incarnation &&
			    call->id == id)
				call->awaited = false;
	}
	void call_new(Node &n, const nod_call *fields, int endpoint)
	{
		auto call = std::make_unique<Call>();

		call->id = fields->id;
		call->node = n.index;
		call->incarnation = n.incarnation;
		call->endpoint = endpoint;
		call->method = fields->method;
		call->path = fields->path;
		call->body = fields->body ? fields->body : "";
		call->trace = fields->traceparent ? fields->traceparent : "";
		call->sent_us = now_us_;
		call->timeout_us = now_us_ + fields->timeout_us;
		if (endpoint >= 0 && call->path.find("/run") != std::string::npos) {
			std::deque<CallPlan> &plans = endpoints_[endpoint].plans;

			if (!plans.empty()) {
				call->plan = plans.front();
				plans.pop_front();
			}
			intercept_run(*call);
		}
		if (endpoint >= 0)
			call->fail_fast = n.disconnect_fails_fast[endpoint];
		call->arrive_us = now_us_ + call->plan.arrive_us;
		calls_.push_back(std::move(call));
	}
	/* Checks a run on its way to the endpoint, and changes it if a defect says so. */
	void intercept_run(Call &call)
	{
		Json body(json_loads(call.body.c_str(), 0, nullptr));

		for (auto &other : calls_)
			if (other && other->awaited && other->endpoint == call.endpoint &&
			    other->path == call.path)
				record_violation("BUSY: two runs at once on one connection");
		if (defect_ == Defect::TRACE_REMOVED)
			call.trace.clear();
		if (!requests_.count(request_id_of(call)))
			record_violation("TRACE: a run without its request's trace id");
		if (defect_ == Defect::DELETE_DROPPED)
			reuse_connection(call, body.value);
		if (defect_ == Defect::MIN_POSITION_REMOVED)
			json_object_del(body.value, "min");
		call.body = body.dump();
	}
	/* Runs a new transaction on a connection whose DELETE was dropped. */
	void reuse_connection(Call &call, const json_t *body)
	{
		Endpoint &e = endpoints_[call.endpoint];
		size_t start = strlen("/v1/connections/");
		std::string id = call.path.substr(start, call.path.rfind('/') - start);

		if (json_is_true(json_object_get(body, "begin")) &&
		    e.connections.count(e.last_deleted)) {
			e.reused_connections[id] = e.last_deleted;
			e.last_deleted.clear();
		}
		if (e.reused_connections.count(id))
			call.path = "/v1/connections/" + e.reused_connections[id] + "/run";
	}
	/* Whether no partition separates two VMs: endpoints are 0 to 2, nodes 3 to 5. */
	bool connected(int a, int b) const
	{
		return partition_until_us_ <= now_us_ ||
		       ((side_mask_ >> a ^ side_mask_ >> b) & 1) == 0;
	}
	bool reachable(const Call &call) const
	{
		if (call.endpoint < 0)
			return platform_down_until_us_ <= now_us_;
		const Endpoint &e = endpoints_[call.endpoint];

		return up(e) && connected(call.endpoint, 3 + call.node) &&
		       nodes_[call.node].disconnected_until_us[call.endpoint] <= now_us_;
	}
	void step()
	{
		if (++steps_ > STEPS_MAX)
			fail("BOUND: too many steps");
		if (calls_.size() > CALLS_MAX)
			fail("BOUND: too many calls");
		endpoints_step();
		for (size_t i = 0; i < calls_.size(); i++)
			if (calls_[i] && call_step(*calls_[i]))
				calls_[i].reset();
		std::vector<std::unique_ptr<Call>> kept;
		for (auto &call : calls_)
			if (call)
				kept.push_back(std::move(call));
		calls_.swap(kept);
		peers_step();
		for (auto &n : nodes_)
			if (n.node)
				nod_tick(n.node, now_us_);
		for (int i = 0; i < node_count_; i++)
			if (nodes_[i].stopped)
				node_free(i);
		if (!violation_.empty())
			fail(violation_);
	}
	void deliver(Call &call, nod_call_result result)
	{
		struct nod_answer answer = {result, call.status, call.answer.c_str()};

		if (!call.awaited)
			return;
		call.awaited = false;
		if (defect_ == Defect::LOST_REPORTED_NOT_SENT && result == NOD_CALL_LOST)
			answer.result = NOD_CALL_NOT_SENT;
		if (result != NOD_CALL_ANSWERED)
			answer.body = "";
		nod_answer(nodes_[call.node].node, call.id, &answer, now_us_);
	}
	/* Advances a call; returns true once it is finished. */
	bool call_step(Call &call)
	{
		if (call.awaited && now_us_ >= call.timeout_us)
			deliver(call, NOD_CALL_LOST);
		if (!call.awaited && (call.executed || now_us_ > call.sent_us + ABANDONED_CALL_US))
			return true;
		if (call.executed) {
			if (now_us_ < call.answer_us || !reachable(call))
				return false;
			return answer_step(call);
		}
		if (call.endpoint >= 0 && endpoints_[call.endpoint].down_until_us > now_us_) {
			deliver(call, NOD_CALL_NOT_SENT);
			return true;
		}
		if (call.plan.outcome == CallOutcome::NOT_SENT) {
			deliver(call, NOD_CALL_NOT_SENT);
			return true;
		}
		if (call.plan.outcome == CallOutcome::LOST_BEFORE_RUN) {
			deliver(call, NOD_CALL_LOST);
			return true;
		}
		if (!reachable(call)) {
			bool frozen = call.endpoint >= 0 &&
				      endpoints_[call.endpoint].frozen_until_us > now_us_;
			if (!call.fail_fast || frozen)
				return false;
			deliver(call, NOD_CALL_NOT_SENT);
			return true;
		}
		if (now_us_ < call.arrive_us)
			return false;
		if (!call.arrived_us)
			call.arrived_us = now_us_;
		call.executed = call.endpoint < 0 ? platform_serve(call) : endpoint_serve(call);
		call.answer_us = now_us_ + call.plan.answer_us;
		return false;
	}
	bool answer_step(Call &call)
	{
		switch (call.plan.outcome) {
		case CallOutcome::LOST_AFTER_RUN:
			deliver(call, NOD_CALL_LOST);
			return true;
		case CallOutcome::WRONG_REQUEST_ID: {
			Json body(json_loads(call.answer.c_str(), 0, nullptr));

			json_object_set_new(body.value, "request", json_string("other-1"));
			call.answer =
				call.earlier_answer.empty() ? body.dump() : call.earlier_answer;
			break;
		}
		case CallOutcome::NOT_JSON:
			call.answer = "<html>";
			break;
		case CallOutcome::TRUNCATED:
			call.answer.resize(call.answer.size() / 2);
			break;
		default:
			break;
		}
		deliver(call, NOD_CALL_ANSWERED);
		return true;
	}

	/* --- peers --- */

	static void on_send(void *data, const char *address, const wire_message *message)
	{
		Node *n = (Node *)data;
		int to = atoi(strchr(address, ':') + 1) - 100;
		PeerMessage peer = {to, "p" + std::to_string(n->index + 1), *message};

		if (to < 0 || to >= n->world->node_count_ ||
		    !n->world->connected(3 + to, 3 + n->index))
			return;
		peer.message.content = message->content ? strdup(message->content) : nullptr;
		n->world->peer_messages_.push_back(peer);
	}
	void peers_step()
	{
		std::vector<PeerMessage> due;

		due.swap(peer_messages_);
		for (auto &peer : due) {
			if (nodes_[peer.to].node)
				nod_peer_message(nodes_[peer.to].node, peer.from.c_str(),
						 &peer.message, now_us_);
			wire_message_clear(&peer.message);
		}
	}

	/* --- platform --- */

	bool platform_serve(Call &call)
	{
		size_t wait = call.path.find("wait_ms=");
		uint64_t wait_us = wait == std::string::npos
					   ? 0
					   : strtoull(call.path.c_str() + wait + 8, nullptr, 10) *
						     BC_US_PER_MS;
		size_t after_at = call.path.find("after=");
		uint64_t after = after_at == std::string::npos
					 ? 0
					 : strtoull(call.path.c_str() + after_at + 6, nullptr, 10);
		bool wait_ended = now_us_ >= call.arrived_us + wait_us;

		if (call.path.compare(0, 7, "/v1/vms") == 0) {
			call.status = vms_version_ > after ? 200 : 204;
			call.answer = vms_value();
			return call.status == 200 || wait_ended;
		}
		if (call.path.compare(0, 10, "/v1/watch/") == 0) {
			const Object &object =
				objects_[call.path.substr(10, call.path.find('?') - 10)];

			call.status = object.version > after ? 200 : 204;
			call.answer = object_answer(object);
			return call.status == 200 || wait_ended;
		}
		object_serve(call, call.path.substr(strlen("/v1/objects/")));
		return true;
	}
	static std::string object_answer(const Object &object)
	{
		return "{\"version\":" + std::to_string(object.version) +
		       ",\"value\":" + object.value + "}";
	}
	void object_serve(Call &call, const std::string &name)
	{
		auto found = objects_.find(name);
		uint64_t version = found == objects_.end() ? 0 : found->second.version;

		call.status = 200;
		if (call.method == "GET") {
			call.status = version ? 200 : 404;
			call.answer = version ? object_answer(found->second) : "{}";
			return;
		}
		Json body(json_loads(call.body.c_str(), 0, nullptr));
		if (integer_field(body.value, "if_version") != version) {
			call.status = 409;
			call.answer = version ? object_answer(found->second)
					      : "{\"version\":0,\"value\":null}";
			return;
		}
		char *value = json_dumps(json_object_get(body.value, "value"),
					 JSON_COMPACT | JSON_ENCODE_ANY);
		objects_[name] = {version + 1, value ? value : "null"};
		free(value);
		call.answer = "{\"version\":" + std::to_string(version + 1) + "}";
	}

	/* --- endpoints --- */

	bool up(const Endpoint &e) const
	{
		return e.down_until_us <= now_us_ && e.frozen_until_us <= now_us_;
	}
	void endpoints_step()
	{
		for (auto &e : endpoints_) {
			if (e.leaving_until_us && e.leaving_until_us <= now_us_) {
				e.leaving_until_us = 0;
				vms_version_++;
			}
			if (!up(e))
				continue;
			if (e.was_down) {
				e.was_down = false;
				/* A replica rebuilds its data from the log, one entry per step. */
				if (!e.is_primary) {
					e.applied = 1;
					e.rebuilding = true;
				}
				/* Unless it promised a later term, a primary keeps its role. */
				if (e.is_primary && e.promised != e.term)
					demote(e);
			}
			close_idle_transactions(e);
			replicate(e);
		}
	}
	void close_idle_transactions(Endpoint &e)
	{
		for (auto it = e.connections.begin(); it != e.connections.end();) {
			auto next = std::next(it);

			if (it->second.in_transaction &&
			    now_us_ > it->second.last_used_us + IDLE_TRANSACTION_US)
				connection_close(e, it->first);
			it = next;
		}
	}
	void connection_close(Endpoint &e, std::string id)
	{
		if (e.lock_holder == id)
			e.lock_holder.clear();
		e.connections.erase(id);
	}
	/* Ends the role of a primary and closes connections with an open transaction. */
	void demote(Endpoint &e)
	{
		if (e.is_primary)
			e.applied = e.log.size();
		e.is_primary = false;
		e.primary.clear();
		e.step_down_until_us = 0;
		for (auto it = e.connections.begin(); it != e.connections.end();) {
			auto next = std::next(it);

			if (it->second.in_transaction)
				connection_close(e, it->first);
			it = next;
		}
	}
	/* Applies one entry of the log, then receives one from the primary that it follows. */
	void replicate(Endpoint &e)
	{
		if (e.is_primary)
			return;
		if (e.applied < e.log.size())
			e.applied++;
		if (e.applied == e.log.size())
			e.rebuilding = false;
		if (e.primary.empty() || e.replication_paused_until_us > now_us_)
			return;
		Endpoint &from = endpoints_[atoi(e.primary.c_str() + 1) - 1];
		if (!up(from) || !connected((int)(&e - endpoints_), (int)(&from - endpoints_)) ||
		    !from.is_primary || from.term != e.term || e.term < e.promised)
			return;
		e.contact_us = now_us_;
		size_t same = 0;
		while (same < e.log.size() && same < from.log.size() &&
		       e.log[same].uid == from.log[same].uid)
			same++;
		e.log.resize(same);
		if (e.applied > same)
			e.applied = same;
		if (same < from.log.size())
			e.log.push_back(from.log[same]);
	}

	json_t *status_row_json(const Endpoint &e) const
	{
		uint64_t contact_ms = e.is_primary ? 0 : (now_us_ - e.contact_us) / BC_US_PER_MS;
		json_t *row = json_pack(
			"{s:s,s:I,s:I,s:o,s:o,s:s,s:I,s:i}", "role",
			e.is_primary ? "primary" : "replica", "term", (json_int_t)e.term,
			"promised", (json_int_t)e.promised, "log",
			position_json(e.position(e.log.size())), "applied",
			position_json(e.position(e.is_primary ? e.log.size() : e.applied)),
			"primary", e.primary.c_str(), "contact_ms", (json_int_t)contact_ms,
			"lag_ms", 0);

		return row;
	}
	/* Returns false while the call waits at the endpoint; it is then served again. */
	bool endpoint_serve(Call &call)
	{
		Endpoint &e = endpoints_[call.endpoint];

		call.status = 200;
		if (call.path == "/v1/status") {
			Json body(json_pack("{s:s,s:{s:o},s:b}", "endpoint", e.id.c_str(),
					    "databases", "jobs", status_row_json(e), "leaving",
					    e.leaving_until_us > now_us_));
			call.answer = body.dump();
			return true;
		}
		if (call.path == "/v1/connections")
			return connection_open(e, call);
		if (call.path.compare(0, 16, "/v1/connections/") == 0) {
			std::string id = call.path.substr(16);

			if (call.method != "DELETE")
				return run_serve(e, call, id.substr(0, id.find('/')));
			connection_delete(e, id);
			call.answer = "{}";
			return true;
		}
		if (call.path.find("/position?") != std::string::npos)
			return position_serve(e, call);
		order_serve(e, call);
		return true;
	}
	bool connection_open(Endpoint &e, Call &call)
	{
		std::string id = e.id + "-" + std::to_string(e.start_count) + "-" +
				 std::to_string(++e.next_connection);

		if (defect_ == Defect::CONNECTION_SHARED && !e.lock_holder.empty())
			id = e.lock_holder;
		e.connections[id].owner = call.node;
		e.connections[id].last_used_us = now_us_;
		call.status = 201;
		call.answer = "{\"connection\":\"" + id + "\"}";
		return true;
	}
	void connection_delete(Endpoint &e, const std::string &id)
	{
		if (defect_ == Defect::DELETE_DROPPED && e.connections.count(id)) {
			e.last_deleted = id;
			return;
		}
		connection_close(e, id);
	}
	bool position_serve(Endpoint &e, Call &call)
	{
		unsigned long long term = 0;
		unsigned long long pos = 0;
		unsigned wait_ms = 0;
		bool has;

		sscanf(call.path.c_str() + call.path.find('?'),
		       "?term=%llu&at_least=%llu&wait_ms=%u", &term, &pos, &wait_ms);
		has = e.log_holds({term, pos});
		if (defect_ == Defect::HAS_ALWAYS_TRUE)
			has = true;
		if (!has && now_us_ < call.arrived_us + wait_ms * BC_US_PER_MS)
			return false;
		Json row(status_row_json(e));
		json_object_set_new(row.value, "has", json_boolean(has));
		call.answer = row.dump();
		return true;
	}
	void order_serve(Endpoint &e, Call &call)
	{
		std::string order = call.path.substr(call.path.rfind('/') + 1);
		Json body(json_loads(call.body.c_str(), 0, nullptr));
		uint64_t term = integer_field(body.value, "term");
		std::string candidate = string_field(body.value, "candidate");
		bool ok = false;

		if (order == "fence")
			ok = fence(e, term, candidate);
		else if (order == "promote")
			ok = promote(e, term, candidate);
		else if (order == "follow")
			ok = follow(e, term, string_field(body.value, "primary"));
		else if (order == "step_down" && e.is_primary && e.term == term) {
			ok = true;
			e.step_down_until_us = now_us_ + 2 * BC_US_PER_S;
			if (!e.lock_holder.empty())
				connection_close(e, e.lock_holder);
		}
		Json row(status_row_json(e));
		if (order == "fence")
			json_object_set_new(row.value, "granted", json_boolean(ok));
		call.status = ok || order == "fence" ? 200 : 409;
		call.answer = row.dump();
	}
	bool fence(Endpoint &e, uint64_t term, const std::string &candidate)
	{
		if (term < e.promised || (term == e.promised && candidate != e.candidate))
			return false;
		e.promised = term;
		e.candidate = candidate;
		if (e.term < term)
			demote(e);
		return true;
	}
	bool promote(Endpoint &e, uint64_t term, const std::string &candidate)
	{
		if (term != e.promised || candidate != e.candidate ||
		    (e.term == term && !e.is_primary))
			return false;
		if (e.is_primary && e.term == term)
			return true;
		tally_.promotions++;
		e.is_primary = true;
		e.term = term;
		e.primary = e.id;
		Entry first;
		first.uid = ++last_uid_;
		first.term = term;
		e.log.push_back(first);
		return true;
	}
	bool follow(Endpoint &e, uint64_t term, const std::string &primary)
	{
		if (term < e.promised || term < e.term || (e.is_primary && e.term == term))
			return false;
		if (term > e.promised) {
			e.promised = term;
			e.candidate.clear();
		}
		demote(e);
		e.term = term;
		e.primary = primary;
		e.contact_us = now_us_;
		return true;
	}

	/* --- statements --- */

	bool refuse(Endpoint &e, Call &call, const json_t *body, const char *code,
		    bool in_transaction)
	{
		Json answer(json_pack("{s:s,s:s,s:[],s:I,s:o,s:b,s:s,s:{s:s,s:s}}", "request",
				      string_field(body, "request").c_str(), "status", "refused",
				      "results", "term", (json_int_t)e.term, "position",
				      position_json(e.position(e.applied)), "in_transaction",
				      in_transaction, "primary", e.primary.c_str(), "error", "code",
				      code, "message", code));

		call.answer = answer.dump();
		return true;
	}
	const char *refusal_code(const Endpoint &e, const json_t *body, const Connection &c,
				 bool writes)
	{
		const json_t *min = json_object_get(body, "min");
		uint64_t term = integer_field(body, "term");
		bool begin = json_is_true(json_object_get(body, "begin"));
		size_t visible = e.is_primary ? e.log.size() : e.applied;

		if (term && (!e.is_primary || e.term != term))
			return e.is_primary ? "wrong_term" : "not_primary";
		if (writes && !e.is_primary)
			return "not_primary";
		if (writes && e.step_down_until_us > now_us_)
			return "stepping_down";
		if (min && !bc_position_covers(e.position(visible), {integer_field(min, "term"),
								     integer_field(min, "pos")}))
			return "behind";
		if (c.in_transaction && begin && defect_ != Defect::DELETE_DROPPED) {
			record_violation(
				"BUSY: a transaction begins on a connection that has one open");
			return "transaction_open";
		}
		return c.in_transaction || begin ? nullptr : "no_transaction";
	}
	bool run_serve(Endpoint &e, Call &call, const std::string &id)
	{
		Json body(json_loads(call.body.c_str(), 0, nullptr));
		std::string request = string_field(body.value, "request");
		auto found = e.connections.find(id);
		std::string start = e.id + "-" + std::to_string(e.start_count) + "-";
		std::string end = string_field(body.value, "end");
		bool writes = !json_is_true(json_object_get(body.value, "read_only"));

		if (found == e.connections.end()) {
			if (id.compare(0, start.size(), start) == 0)
				return refuse(e, call, body.value, "no_such_connection", false);
			call.status = 404;
			call.answer = "{\"error\":{\"code\":\"connection_of_earlier_process\"}}";
			return true;
		}
		Connection &c = found->second;
		c.last_used_us = now_us_;
		if (c.seen_requests.count(request))
			return refuse(e, call, body.value, "duplicate_request", c.in_transaction);
		if (const char *code = refusal_code(e, body.value, c, writes)) {
			c.seen_requests.insert(request);
			return refuse(e, call, body.value, code, c.in_transaction);
		}
		if (writes && !e.lock_holder.empty() && e.lock_holder != id) {
			if (now_us_ < call.arrived_us + LOCK_WAIT_US)
				return false;
			c.seen_requests.insert(request);
			return refuse(e, call, body.value, "lock_timeout", c.in_transaction);
		}
		c.seen_requests.insert(request);
		c.in_transaction = true;
		if (writes)
			e.lock_holder = id;
		run_execute(e, call, body.value, c, id, end, writes);
		return true;
	}
	void run_execute(Endpoint &e, Call &call, const json_t *body, Connection &c,
			 const std::string &id, const std::string &end, bool writes)
	{
		Json results(json_array());
		const char *error = nullptr;
		json_t *statement;
		size_t i;

		json_array_foreach(json_object_get(body, "statements"), i, statement)
		{
			error = statement_run(e, call, c, statement, results.value);
			if (error)
				break;
		}
		bc_position at = e.position(e.is_primary ? e.log.size() : e.applied);
		if (!error && end == "commit" && writes)
			at = commit(e, c);
		if (error || end != "none") {
			c.pending = Entry();
			c.in_transaction = false;
			if (e.lock_holder == id)
				e.lock_holder.clear();
		}
		Json answer(json_pack("{s:s,s:s,s:O,s:I,s:o,s:b,s:s}", "request",
				      string_field(body, "request").c_str(), "status",
				      error ? "error" : "ok", "results", results.value, "term",
				      (json_int_t)e.term, "position", position_json(at),
				      "in_transaction", c.in_transaction, "primary",
				      e.primary.c_str()));
		if (error)
			json_object_set_new(
				answer.value, "error",
				json_pack("{s:s,s:s}", "code", error, "message", error));
		replace_results(e, answer.value, results);
		call.answer = answer.dump();
		call.earlier_answer = e.last_answer;
		if (!error && json_array_size(results.value))
			e.last_answer = call.answer;
	}
	void replace_results(Endpoint &e, json_t *answer, const Json &results)
	{
		std::string own = results.dump();

		if (defect_ == Defect::RESULTS_OF_OTHER_REQUEST && !e.last_results.empty() &&
		    json_array_size(results.value))
			json_object_set_new(answer, "results",
					    json_loads(e.last_results.c_str(), 0, nullptr));
		if (json_array_size(results.value))
			e.last_results = own;
	}
	const char *statement_run(Endpoint &e, const Call &call, Connection &c,
				  const json_t *statement, json_t *results)
	{
		std::string sql = string_field(statement, "sql");
		json_t *params = json_object_get(statement, "params");
		uint64_t first = (uint64_t)json_integer_value(json_array_get(params, 0));

		if (sql.find("bulrushcleat_keys") != std::string::npos)
			return key_statement(e, call, c, sql, params, results);
		if (sql == "FAIL")
			return "syntax";
		if (sql == "INSERT w") {
			c.pending.writes.push_back((int)first);
			c.pending.request_ids.insert(request_id_of(call));
			json_array_append_new(results,
					      json_pack("{s:[s],s:[[I]],s:i}", "columns", "n",
							"rows", (json_int_t)first, "changes", 1));
			return nullptr;
		}
		json_array_append_new(results,
				      json_pack("{s:[s,s],s:[[I,I]],s:i}", "columns", "r", "s",
						"rows", (json_int_t)first,
						(json_int_t)take_snapshot(e), "changes", 0));
		return nullptr;
	}
	/* The id of the caller's request, from the run's trace id; 0 without a trace. */
	static uint64_t request_id_of(const Call &call)
	{
		return call.trace.size() > 35
			       ? strtoull(call.trace.substr(3, 32).c_str() + 16, nullptr, 16)
			       : 0;
	}
	uint64_t take_snapshot(const Endpoint &e)
	{
		size_t visible = e.is_primary ? e.log.size() : e.applied;
		Snapshot taken;

		if (defect_ == Defect::STALE_READS && visible > 1)
			visible--;
		for (size_t i = 0; i < visible; i++) {
			taken.uids.push_back(e.log[i].uid);
			taken.writes.insert(e.log[i].writes.begin(), e.log[i].writes.end());
		}
		taken.rebuilding = !e.is_primary && e.rebuilding;
		snapshots_.push_back(taken);
		return snapshots_.size();
	}
	static std::string param(const json_t *params, size_t index)
	{
		const char *text = json_string_value(json_array_get(params, index));

		return text ? text : "";
	}
	const KeyRow *key_find(const Endpoint &e, const Connection &c, const std::string &key)
	{
		for (auto &entry : e.log)
			for (auto &row : entry.keys)
				if (row.key == key)
					return &row;
		for (auto &row : c.pending.keys)
			if (row.key == key)
				return &row;
		return nullptr;
	}
	const char *key_statement(Endpoint &e, const Call &call, Connection &c,
				  const std::string &sql, const json_t *params, json_t *results)
	{
		if (sql.compare(0, 6, "INSERT") == 0) {
			std::string key = param(params, 0) + "/" + param(params, 1);

			if (defect_ != Defect::KEY_CONSTRAINT_MISSING && key_find(e, c, key))
				return "constraint";
			c.pending.keys.push_back({key, param(params, 2), ""});
		} else if (sql.compare(0, 6, "UPDATE") == 0) {
			for (auto &row : c.pending.keys)
				if (row.key == param(params, 1) + "/" + param(params, 2))
					row.result = param(params, 0);
		} else if (sql.compare(0, 6, "SELECT") == 0) {
			const KeyRow *row =
				key_find(e, c, param(params, 0) + "/" + param(params, 1));
			json_t *rows = json_array();

			if (row)
				json_array_append_new(rows,
						      json_pack("[s,s]", row->fingerprint.c_str(),
								row->result.c_str()));
			json_array_append_new(results, json_pack("{s:[s,s],s:o,s:i}", "columns",
								 "fingerprint", "result", "rows",
								 rows, "changes", 0));
			return nullptr;
		}
		json_array_append_new(
			results, json_pack("{s:[],s:[],s:i}", "columns", "rows", "changes", 1));
		return nullptr;
	}
	bc_position commit(Endpoint &e, Connection &c)
	{
		Entry entry = c.pending;
		std::set<int> transaction_keys;

		if (entry.writes.empty() && entry.keys.empty())
			return e.position(e.log.size());
		entry.uid = ++last_uid_;
		entry.term = e.term;
		for (int number : entry.writes) {
			Write &write = writes_[number];

			transaction_keys.insert(write.transaction_key);
			write.commits++;
			if (write.key.empty() && !write.repeatable && write.commits > 1)
				record_violation("ONCE: write " + std::to_string(number) +
						 " ran twice");
			if (!write.key.empty() && entry.keys.empty())
				record_violation("ONCE: keyed write " + std::to_string(number) +
						 " without its key row");
			for (auto &before : e.log)
				for (int other : before.writes)
					if (other == number && !write.repeatable)
						record_violation("ONCE: write " +
								 std::to_string(number) +
								 " is twice in one log");
		}
		if (transaction_keys.size() > 1 ||
		    (!entry.keys.empty() && entry.request_ids.size() > 1))
			record_violation("MIXED: statements of two requests in one transaction");
		e.log.push_back(entry);
		return e.position(e.log.size());
	}

	/* --- invariants --- */

	void check_durable()
	{
		int at = primary();
		std::set<int> have;

		if (at < 0)
			return;
		for (auto &entry : endpoints_[at].log)
			have.insert(entry.writes.begin(), entry.writes.end());
		for (auto &[number, write] : writes_)
			if (write.acked && !have.count(number))
				fail("DURABLE: write " + std::to_string(number) +
				     " was acknowledged and is not on the primary");
	}
	void check_replies_due()
	{
		for (auto &[id, request] : requests_)
			if (!request.replies && incarnation_runs(request) &&
			    !nodes_[request.node].stopped &&
			    now_us_ > request.sent_us + TIMEOUT_US + REPLY_SLACK_US)
				fail("REPLY: request " + std::to_string(id) + " has no reply");
	}
	void check_revisions()
	{
		for (int i = 0; i < node_count_; i++) {
			Node &n = nodes_[i];

			if (!n.node)
				continue;
			Json status(nod_status(n.node, now_us_));
			uint64_t revision = integer_field(status.value, "config_revision");

			if (revision < n.revision)
				fail("REVISION: node " + std::to_string(i + 1) +
				     " went back from " + std::to_string(n.revision) + " to " +
				     std::to_string(revision));
			n.revision = revision;
		}
	}
	/* At the end, the primary's log holds nothing of requests with the outcome "not_run". */
	void check_not_run()
	{
		int at = primary();

		if (at < 0)
			return;
		for (auto &entry : endpoints_[at].log)
			for (auto &[id, request] : requests_) {
				if (request.outcome != "not_run")
					continue;
				if (request.write && entry.keys.empty())
					for (int number : entry.writes)
						if (number == request.write)
							fail("NOT_RUN: write " +
							     std::to_string(number) + " ran");
				if (!entry.keys.empty() && entry.request_ids.count(id))
					fail("NOT_RUN: keyed request " + std::to_string(id) +
					     " ran");
				if (request.kind == RequestKind::COMMIT)
					for (int number : entry.writes)
						if (writes_[number].transaction_key ==
						    request.transaction + 1)
							fail("NOT_RUN: a transaction was "
							     "committed");
			}
	}
	/* Whether there is a primary, and no request, abandoned call or drain is in progress. */
	bool idle() const
	{
		for (auto &[id, request] : requests_)
			if (incarnation_runs(request) && !request.replies)
				return false;
		for (auto &call : calls_)
			if (call && !call->awaited)
				return false;
		for (auto &n : nodes_)
			if (n.node && n.drain_us)
				return false;
		return primary() >= 0;
	}
	bool any_node_ready() const
	{
		for (auto &n : nodes_)
			if (n.node && nod_ready(n.node))
				return true;
		return false;
	}
	/* A node must stop within its drain timeout. */
	void check_drained()
	{
		for (int i = 0; i < node_count_; i++)
			if (nodes_[i].node && nodes_[i].drain_us &&
			    now_us_ > nodes_[i].drain_us + DRAIN_US + STEP_US)
				fail("DRAIN: node " + std::to_string(i + 1) + " does not end");
	}

	struct Snapshot {
		std::vector<uint64_t> uids;
		std::set<int> writes;
		bool rebuilding = false;
	};

	uint64_t seed_;
	Defect defect_;
	uint64_t now_us_ = BC_US_PER_S;
	uint64_t steps_ = 0;
	std::string violation_;
	bc_ctx *keyring_ctx_;
	ses_keyring *keyring_;
	int node_count_ = 0;
	Node nodes_[3];
	Endpoint endpoints_[ENDPOINTS];
	std::map<std::string, Object> objects_;
	uint64_t vms_version_ = 1;
	uint64_t config_revision_ = 1;
	uint64_t platform_down_until_us_ = 0;
	std::vector<std::unique_ptr<Call>> calls_;
	std::vector<PeerMessage> peer_messages_;
	std::map<uint64_t, Request> requests_;
	std::map<int, Write> writes_;
	std::deque<Transaction> transactions_;
	SessionState sessions_[SESSIONS];
	std::vector<Snapshot> snapshots_;
	uint64_t last_request_ = 0;
	int last_write_ = 0;
	uint64_t last_uid_ = 1;
	Tally tally_;
	uint64_t partition_until_us_ = 0;
	unsigned side_mask_ = 0;
};

} // namespace model

#endif
