#ifndef BC_FAILOVER_MODEL_H
#define BC_FAILOVER_MODEL_H

// An in-memory model with simulated time of a database group and the proxies that use it, for
// property tests of route, quorum and failover. Endpoints behave as in docs/design.md, section 3.
// Each proxy has its own state of each module. A violated invariant is recorded as text, since
// exceptions must not pass through C frames.

#include "failover/failover.h"
#include "quorum/quorum.h"

#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace model
{

constexpr uint64_t ms = BC_US_PER_MS;
// Target time for a change of primary, and so for recovery after the last fault.
constexpr uint64_t recovery_us = 13 * BC_US_PER_S;

// Protocol defects, each of which disables or breaks one rule. All are off in the properties that
// must hold.
struct Defects {
	bool ack_without_majority = false;
	bool position_without_term = false;    // quorum counts any entry of that number
	bool longest_log_without_term = false; // the longest log wins a promotion
	bool mark_without_term = false;	       // route compares numbers only
	bool fence_below_majority = false;     // unanswered fence requests count as granted
	bool age_limit_ignored = false;
	bool promise_ignored_in_samples = false;
	bool sample_age_from_receipt = false;  // age counts from the receipt of a report
	bool sample_counts_any_answer = false; // samples ignore term and promise of replicas
	bool holder_ignores_promise = false;   // quorum counts entries received after a promise
	bool read_replica_is_holder =
		false; // a replica that served a read counts as a holder of its position
	bool accepts_entries_below_promise = false; // endpoint keeps replicating after a promise
	bool promise_not_durable = false;	    // endpoint forgets its promise in a crash
	bool term_granted_twice = false;	    // endpoint promises a term to any candidate
	bool no_replacement_check = false;   // reads on the primary are confirmed by position only
	bool follow_orders_lost = false;     // orders to follow are lost
	bool no_promoter = false;	     // no proxy has a rank
	bool contact_times_too_long = false; // contact times are reported 600 ms too long
};

enum class EventKind {
	write,
	write_at_claimed_primary,
	read,
	crash,
	crash_primary,
	restart,
	freeze,
	freeze_primary,
	thaw,
	disconnect_proxy,
	disconnect_peer,
	isolate_primary,
	reconnect_proxy,
	reconnect_all,
	pause_proxy,
	restart_proxy,
	unreliable_network,
	reliable_network,
	leave,
	cancel_leave,
	slow_replication,
	normal_replication,
	stop_writes,
	resume_writes,
	count,
};

struct Event {
	int kind;
	uint32_t a;
	uint32_t b;
	uint32_t wait_ms;
};

inline std::ostream &operator<<(std::ostream &os, const Event &event)
{
	return os << "{" << event.kind << "," << event.a << "," << event.b << "," << event.wait_ms
		  << "}";
}

struct Entry {
	uint64_t term;
	uint64_t id;
};

using Log = std::vector<Entry>;

struct Reply {
	bool ok = false;
	rte_row row = {};
	bool has_position = false;
	size_t length = 0; // of the log after a write
	uint64_t entry = 0;
	bool complete = false; // a read saw all writes confirmed before it began
};

struct Endpoint {
	std::string id;
	Log log;
	size_t applied = 0;
	uint64_t term = 0;
	uint64_t promised = 0;
	std::string promised_to;
	bool is_primary = false;
	int primary = -1;
	bool alive = true;
	bool frozen = false;
	bool slow = false;
	uint64_t contact_us = 0;
	uint64_t stopped_until_us = 0;
	size_t applied_confirmed = 0; // how many of the first confirmed writes were found applied
	std::vector<std::function<void()>> deferred; // arrived while frozen
};

struct Confirmed {
	bc_position position;
	uint64_t entry;
	uint64_t at_us;
	uint64_t sent_us;
	size_t proxy;
};

struct Promotion {
	uint64_t term;
	size_t endpoint;
	Log log;
};

struct PendingConfirmation {
	size_t proxy;
	bool is_read;
	bool complete;
	bc_position position;
	uint64_t entry;
	uint64_t sent_us;
};

struct Options {
	size_t endpoints = 3;
	size_t proxies = 3;
	uint64_t seed = 0;
	bool equal_ranks = false; // all proxies have the same rank and act at the same time
	Defects defects = {};
	std::string only_violation; // the one violation to look for, if set
};

class Group;

struct Proxy {
	Group *group = nullptr;
	size_t index = 0;
	uint64_t incarnation = 0; // counts restarts
	std::string candidate;
	bc_ctx *ctx = nullptr;
	fov_state *fov = nullptr;
	quo_state *quo = nullptr;
	rte_table *rte = nullptr;
	uint64_t paused_until_us = 0;
	bool writes_stopped = false; // sends no writes but those of explicit events
};

class Group
{
      public:
	explicit Group(const Options &options);
	~Group();
	Group(const Group &) = delete;
	Group &operator=(const Group &) = delete;

	void apply(const Event &event);
	void advance(uint64_t duration_us);
	// Ends all faults except the injected defects.
	void heal();
	void check_recovered(uint64_t since_us);
	uint64_t now() const
	{
		return now_us_;
	}
	const std::string &violation() const
	{
		return violation_;
	}
	size_t promotion_count() const
	{
		return promotions_.size();
	}
	size_t confirmed_count() const
	{
		return confirmed_.size();
	}

      private:
	using Request = std::function<bool(Endpoint &, Reply &)>; // false: no answer yet
	using Handler = std::function<void(const Reply *, bool first)>;

	struct Timer {
		uint64_t at_us;
		uint64_t sequence;
		std::function<void()> run;
		bool operator<(const Timer &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us
						    : sequence > other.sequence;
		}
	};

	void at(uint64_t time_us, std::function<void()> run);
	uint64_t draw(uint64_t bound);
	uint64_t delay();
	void fail(const std::string &text);

	void proxy_start(Proxy &proxy);
	void proxy_stop(Proxy &proxy);
	void probe(Proxy &proxy);
	void tick(Proxy &proxy);
	void traffic(Proxy &proxy);
	void write(Proxy &proxy, size_t endpoint, uint64_t term);
	void write_routed(Proxy &proxy);
	void read_replica(Proxy &proxy);
	void read_replica_at(Proxy &proxy, size_t index);
	void read_strong(Proxy &proxy);
	void poll(Proxy &proxy, size_t endpoint, bc_position at_least, uint32_t wait_ms);
	void order(Proxy &proxy, const fov_call &call);
	void done(Proxy &proxy, uint64_t waiter, bc_status status);

	void send(Proxy &proxy, size_t endpoint, uint64_t timeout_us, const Request &request,
		  const Handler &handler);
	void arrive(size_t proxy, uint64_t incarnation, size_t endpoint, const Request &request,
		    const std::shared_ptr<Handler> &handler, const std::shared_ptr<bool> &answered);
	void deliver(size_t proxy, uint64_t incarnation, const std::function<void()> &handler);

	rte_row row_of(const Endpoint &endpoint) const;
	bool log_holds(const Endpoint &endpoint, bc_position position) const;
	void run_position(Endpoint &endpoint, bc_position at_least, Reply &reply) const;
	void run_fence(Endpoint &endpoint, uint64_t term, const std::string &candidate,
		       Reply &reply);
	void run_promote(Endpoint &endpoint, uint64_t term, const std::string &candidate,
			 Reply &reply);
	void run_follow(Endpoint &endpoint, uint64_t term, int primary, Reply &reply);
	void run_step_down(Endpoint &endpoint, uint64_t term, Reply &reply);
	bool run_write(Endpoint &endpoint, uint64_t term, Reply &reply);
	void replicate();
	void replicate_to(Endpoint &endpoint);

	bool contains(const Log &log, size_t length, const Confirmed &write) const;
	bool sees_all_until(Endpoint &endpoint, uint64_t time_us) const;
	void check_durable(const Confirmed &write);
	void check_ages();
	void report_route(Proxy &proxy, size_t endpoint, const rte_row &row, uint64_t sent_us);
	void report_quorum(Proxy &proxy, size_t endpoint, const rte_row &row, bc_position held,
			   uint64_t sent_us);

	void crash(Endpoint &endpoint);
	void restart(Endpoint &endpoint, bool keeps_role);
	void thaw(Endpoint &endpoint);
	void leave(size_t endpoint, bool leaving);
	int newest_primary() const;
	void reconnect_all();

	const Options options_;
	const Defects defects_;
	std::mt19937_64 random_;
	uint64_t now_us_ = 10 * BC_US_PER_S;
	uint64_t sequence_ = 0;
	uint64_t next_id_ = 1;
	bool unreliable_network_ = false;
	std::vector<Endpoint> endpoints_;
	std::vector<std::unique_ptr<Proxy>> proxies_;
	std::vector<std::vector<bool>> proxy_disconnected_;
	std::vector<std::vector<bool>> peer_disconnected_;
	std::vector<bool> leaving_;
	std::priority_queue<Timer> timers_;
	std::map<uint64_t, PendingConfirmation> pending_confirmations_;
	std::vector<Confirmed> confirmed_;
	std::vector<Promotion> promotions_;
	std::string violation_;
};

inline Group::Group(const Options &options)
    : options_(options), defects_(options.defects), random_(options.seed)
{
	endpoints_.resize(options.endpoints);
	leaving_.resize(options.endpoints);
	peer_disconnected_.assign(options.endpoints, std::vector<bool>(options.endpoints));
	proxy_disconnected_.assign(options.proxies, std::vector<bool>(options.endpoints));
	for (size_t i = 0; i < options.endpoints; i++) {
		Endpoint &endpoint = endpoints_[i];

		endpoint.id = "e" + std::to_string(i);
		endpoint.log.push_back({1, 1});
		endpoint.applied = 1;
		endpoint.term = 1;
		endpoint.promised = 1;
		endpoint.is_primary = i == 0;
		endpoint.primary = 0;
		endpoint.contact_us = now_us_;
	}
	promotions_.push_back({1, 0, endpoints_[0].log});
	for (size_t i = 0; i < options.proxies; i++) {
		proxies_.push_back(std::make_unique<Proxy>());
		proxies_[i]->group = this;
		proxies_[i]->index = i;
		proxy_start(*proxies_[i]);
	}
	at(now_us_, [this] { replicate(); });
}

inline Group::~Group()
{
	for (auto &proxy : proxies_)
		proxy_stop(*proxy);
}

inline void Group::at(uint64_t time_us, std::function<void()> run)
{
	timers_.push({time_us, ++sequence_, std::move(run)});
}

inline uint64_t Group::draw(uint64_t bound)
{
	return random_() % bound;
}

// Draws a one-way network delay: 1 to 5 ms, or in an unreliable network sometimes up to 3 s.
inline uint64_t Group::delay()
{
	if (unreliable_network_ && draw(10) == 0)
		return draw(3000) * ms;
	return (1 + draw(5)) * ms;
}

inline void Group::fail(const std::string &text)
{
	if (violation_.empty() && text.find(options_.only_violation) != std::string::npos)
		violation_ = text + " at " + std::to_string(now_us_ / ms) + " ms";
}

inline void Group::advance(uint64_t duration_us)
{
	uint64_t end_us = now_us_ + duration_us;

	while (violation_.empty() && !timers_.empty() && timers_.top().at_us <= end_us) {
		Timer timer = timers_.top();

		timers_.pop();
		if (timer.at_us > now_us_)
			now_us_ = timer.at_us;
		timer.run();
	}
	now_us_ = end_us;
}

// Invariants

inline bool Group::contains(const Log &log, size_t length, const Confirmed &write) const
{
	const uint64_t pos = write.position.pos;

	return length >= pos && log[pos - 1].id == write.entry;
}

inline bool Group::sees_all_until(Endpoint &endpoint, uint64_t time_us) const
{
	size_t &seen = endpoint.applied_confirmed;

	while (seen < confirmed_.size() &&
	       contains(endpoint.log, endpoint.applied, confirmed_[seen]))
		seen++;
	return seen == confirmed_.size() || confirmed_[seen].at_us > time_us;
}

// Checks that a confirmed write is durable. Logs survive crashes, so a majority must hold each
// confirmed entry at any time. An endpoint without the entry must not have the greatest log of any
// majority, since it could then be promoted.
inline void Group::check_durable(const Confirmed &write)
{
	const size_t half = endpoints_.size() / 2;
	size_t count = 0;

	for (const Endpoint &endpoint : endpoints_) {
		size_t not_greater = 0;

		if (contains(endpoint.log, endpoint.log.size(), write)) {
			count++;
			continue;
		}
		for (const Endpoint &other : endpoints_)
			if (bc_position_compare(row_of(other).log, row_of(endpoint).log) <= 0)
				not_greater++;
		if (not_greater > half)
			fail("a confirmed write may be missing in the log of a later primary");
	}
	if (count <= half)
		fail("a confirmed write is not held by a majority");
}

inline void Group::check_ages()
{
	for (auto &proxy : proxies_) {
		if (!proxy->rte)
			continue;
		for (Endpoint &endpoint : endpoints_) {
			uint64_t age_us = rte_age(proxy->rte, endpoint.id.c_str(), "db", now_us_);

			if (age_us != RTE_AGE_ANY && !sees_all_until(endpoint, now_us_ - age_us))
				fail("a copy is older than its proven age");
		}
	}
}

inline void Group::check_recovered(uint64_t since_us)
{
	size_t primaries = 0;

	for (const Endpoint &endpoint : endpoints_)
		primaries += endpoint.is_primary;
	if (primaries != 1)
		fail("not recovered: " + std::to_string(primaries) + " primaries");
	for (auto &proxy : proxies_) {
		bool confirms = false;

		for (const Confirmed &write : confirmed_)
			confirms |= write.proxy == proxy->index && write.sent_us >= since_us;
		if (!confirms)
			fail("not recovered: no write was confirmed through a proxy");
	}
}

// Faults

inline int Group::newest_primary() const
{
	int newest = 0;

	for (size_t i = 0; i < endpoints_.size(); i++)
		if (endpoints_[i].is_primary &&
		    (!endpoints_[(size_t)newest].is_primary ||
		     endpoints_[i].term > endpoints_[(size_t)newest].term))
			newest = (int)i;
	return newest;
}

inline void Group::crash(Endpoint &endpoint)
{
	endpoint.alive = false;
	endpoint.frozen = false;
	endpoint.deferred.clear();
	if (defects_.promise_not_durable)
		endpoint.promised = endpoint.term;
}

// Restarts an endpoint with its log and promise. With keeps_role it also keeps its role, its term
// and its primary; otherwise it comes back as a replica that has lost the term and its primary.
inline void Group::restart(Endpoint &endpoint, bool keeps_role)
{
	if (endpoint.alive)
		return;
	endpoint.alive = true;
	endpoint.stopped_until_us = 0;
	if (keeps_role)
		return;
	endpoint.is_primary = false;
	endpoint.primary = -1;
	endpoint.term = 0;
}

inline void Group::thaw(Endpoint &endpoint)
{
	std::vector<std::function<void()>> deferred;

	endpoint.frozen = false;
	deferred.swap(endpoint.deferred);
	for (auto &request : deferred)
		request();
}

inline void Group::leave(size_t endpoint, bool leaving)
{
	leaving_[endpoint] = leaving;
	for (auto &proxy : proxies_) {
		fov_leaving_set(proxy->fov, endpoints_[endpoint].id.c_str(), leaving);
		rte_leaving_set(proxy->rte, endpoints_[endpoint].id.c_str(), leaving);
	}
}

inline void Group::reconnect_all()
{
	for (auto &row : proxy_disconnected_)
		row.assign(row.size(), false);
	for (auto &row : peer_disconnected_)
		row.assign(row.size(), false);
}

inline void Group::heal()
{
	unreliable_network_ = false;
	reconnect_all();
	for (size_t i = 0; i < endpoints_.size(); i++) {
		restart(endpoints_[i], false);
		thaw(endpoints_[i]);
		endpoints_[i].slow = false;
		leave(i, false);
	}
	for (auto &proxy : proxies_) {
		proxy->paused_until_us = now_us_;
		proxy->writes_stopped = false;
	}
}

inline void Group::apply(const Event &event)
{
	const size_t e = event.a % endpoints_.size();
	const size_t f = event.b % endpoints_.size();
	const size_t p = event.a % proxies_.size();
	const size_t newest = (size_t)newest_primary();

	switch (static_cast<EventKind>(event.kind)) {
	case EventKind::write:
		write_routed(*proxies_[p]);
		break;
	case EventKind::write_at_claimed_primary:
		if (endpoints_[f].is_primary)
			write(*proxies_[p], f, endpoints_[f].term);
		break;
	case EventKind::read:
		read_replica(*proxies_[p]);
		read_strong(*proxies_[p]);
		break;
	case EventKind::crash:
		crash(endpoints_[e]);
		break;
	case EventKind::crash_primary:
		crash(endpoints_[newest]);
		break;
	case EventKind::restart:
		restart(endpoints_[e], event.b % 2);
		break;
	case EventKind::freeze:
		endpoints_[e].frozen = endpoints_[e].alive;
		break;
	case EventKind::freeze_primary:
		endpoints_[newest].frozen = endpoints_[newest].alive;
		break;
	case EventKind::thaw:
		thaw(endpoints_[e]);
		break;
	case EventKind::disconnect_proxy:
		proxy_disconnected_[p][f] = true;
		break;
	case EventKind::disconnect_peer:
		peer_disconnected_[e][f] = peer_disconnected_[f][e] = true;
		break;
	case EventKind::isolate_primary: // only proxy p still reaches the primary, and it does not
					 // reach endpoint f
		for (size_t i = 0; i < endpoints_.size(); i++)
			peer_disconnected_[newest][i] = peer_disconnected_[i][newest] = true;
		for (size_t i = 0; i < proxies_.size(); i++)
			proxy_disconnected_[i][newest] = i != p;
		proxy_disconnected_[p][f] = f != newest;
		break;
	case EventKind::reconnect_proxy:
		proxy_disconnected_[p][f] = false;
		break;
	case EventKind::reconnect_all:
		reconnect_all();
		break;
	case EventKind::pause_proxy:
		proxies_[p]->paused_until_us = now_us_ + event.b * 500 * ms;
		break;
	case EventKind::restart_proxy:
		proxy_stop(*proxies_[p]);
		proxy_start(*proxies_[p]);
		break;
	case EventKind::unreliable_network:
		unreliable_network_ = true;
		break;
	case EventKind::reliable_network:
		unreliable_network_ = false;
		break;
	case EventKind::leave:
		leave(e, true);
		break;
	case EventKind::cancel_leave:
		leave(e, false);
		break;
	case EventKind::slow_replication:
		endpoints_[e].slow = true;
		break;
	case EventKind::normal_replication:
		endpoints_[e].slow = false;
		break;
	case EventKind::stop_writes:
	case EventKind::resume_writes:
		proxies_[p]->writes_stopped =
			static_cast<EventKind>(event.kind) == EventKind::stop_writes;
		break;
	case EventKind::count:
		break;
	}
}

} // namespace model

#include "tests/failover_model_endpoints.h"
#include "tests/failover_model_proxies.h"

#endif
