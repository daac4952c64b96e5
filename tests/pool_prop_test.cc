#include "pool/pool.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

/* Defects that the wrapper around the pool injects, to show that the checks detect them. */
enum class Defect {
	NONE,
	UNCLEAN,    /* unclean connections are released as clean */
	LATE,	    /* waiters are given deadlines that are 200 ms too late */
	SHARED,	    /* a released connection counts as lent until pool_release() returns */
	UNFAIR,	    /* all waiters are queued under one customer */
	OVER_LIMIT, /* the pool is given one connection too many */
	NO_ANSWER,  /* every fifth answer is lost */
};

struct Waiter {
	int customer;
	bool capped;
	uint64_t deadline_us;
};

struct Lent {
	uint64_t waiter;
	bool capped;
};

/* A model endpoint and the pool under test. The callbacks check the rules. */
struct Model {
	Defect defect;
	uint32_t limit;
	uint32_t proxies;
	uint64_t now_us = 0;
	uint32_t other_connections = 0; /* connections that other proxies hold */
	uint32_t pending = 0;
	uint64_t next_waiter = 1;
	int next_connection = 1;
	std::map<uint64_t, Waiter> queued;
	std::set<uint64_t> answered;
	std::set<std::string> open;
	std::set<std::string> dirty;
	std::map<std::string, Lent> lent;
	std::map<int, std::map<int, int>>
		passed_over; /* [waiting][served]: turns given to others */
	bc_ctx *ctx;
	pool_state *pool;

	std::string violation; /* the first rule that was violated */

	/* Records a violated rule. An exception must not pass through the C frames of the
	 * callbacks. */
	void require(bool holds, const char *rule)
	{
		if (!holds && violation.empty())
			violation = rule;
	}

	static Model &of(void *data)
	{
		return *static_cast<Model *>(data);
	}

	Model(Defect f, uint32_t connections, uint32_t fleet)
	    : defect(f), limit(connections), proxies(fleet), ctx(bc_ctx_create(connections))
	{
		static const pool_ops ops = {
			[](void *d, const char *, const char *) { of(d).on_open(); },
			[](void *d, const char *, const char *c) { of(d).on_close(c); },
			[](void *d, uint64_t w, const char *, const char *c) {
				of(d).on_granted(w, c);
			},
			[](void *d, uint64_t w, bc_status) { of(d).on_answer(w); }};
		pool = pool_create(ctx, &ops, this);
		pool_endpoint_set(pool, "e", defect == Defect::OVER_LIMIT ? limit + 1 : limit);
		pool_proxies_set(pool, proxies);
	}
	Model(const Model &) = delete;
	~Model()
	{
		pool_destroy(pool);
		bc_ctx_destroy(ctx);
	}

	uint32_t share() const
	{
		return std::max(limit / proxies, 1U);
	}
	uint32_t capped_lent() const
	{
		uint32_t n = 0;
		for (const auto &entry : lent)
			n += entry.second.capped;
		return n;
	}
	void on_open()
	{
		pending++;
		require(pending <= queued.size(), "pending <= queued.size()");
		require(open.size() + pending <= limit, "open.size() + pending <= limit");
	}
	void on_close(const std::string &c)
	{
		require(open.erase(c) == 1U, "open.erase(c) == 1U");
		require(lent.count(c) == 0U, "lent.count(c) == 0U");
	}
	/* Removes a waiter. After its last waiter, a customer's turns are counted anew. */
	void remove_waiter(uint64_t w)
	{
		int customer = queued[w].customer;
		queued.erase(w);
		for (const auto &entry : queued) {
			if (entry.second.customer == customer)
				return;
		}
		passed_over.erase(customer);
	}
	void on_answer(uint64_t w)
	{
		if (defect == Defect::NO_ANSWER && w % 5 == 0)
			return;
		require(queued.count(w) == 1 && answered.insert(w).second, "one answer");
		remove_waiter(w);
	}
	void on_granted(uint64_t w, const std::string &c)
	{
		Waiter waiter = queued[w];
		on_answer(w);
		require(now_us < waiter.deadline_us, "now_us < waiter.deadline_us");
		require(open.count(c) == 1U, "open.count(c) == 1U");
		require(dirty.count(c) == 0U, "dirty.count(c) == 0U");
		require(lent.emplace(c, Lent{w, waiter.capped}).second,
			"lent.emplace(c, Lent{w, waiter.capped}).second");
		uint32_t allowed = std::max<uint32_t>(share(), open.size());
		if (waiter.capped)
			require(capped_lent() <= (allowed > 1 ? allowed - 1 : 1),
				"capped_lent() <= (allowed > 1 ? allowed - 1 : 1)");
		check_turn(waiter);
	}
	/* Checks that no customer that could be served is passed over twice for the same other
	 * one. */
	void check_turn(const Waiter &served)
	{
		std::set<int> eligible;
		for (const auto &entry : queued) {
			if (served.capped || !entry.second.capped)
				eligible.insert(entry.second.customer);
		}
		passed_over.erase(served.customer);
		for (int other : eligible) {
			if (other != served.customer)
				require(++passed_over[other][served.customer] <= 1,
					"++passed_over[other][served.customer] <= 1");
		}
	}

	void acquire(int customer, int kind, uint64_t within_us)
	{
		uint64_t w = next_waiter++;
		std::string name =
			defect == Defect::UNFAIR ? "A" : std::string(1, char('A' + customer));
		queued[w] = {customer, kind == 0, now_us + within_us};
		pool_request want = {w,		"e",	  name.c_str(),	     nullptr,
				     kind == 1, kind < 2, now_us + within_us};
		if (defect == Defect::LATE)
			want.deadline_us += 200 * BC_US_PER_MS;
		pool_acquire(pool, &want, now_us);
	}
	void cancel(size_t n)
	{
		if (queued.empty())
			return;
		uint64_t w = std::next(queued.begin(), n % queued.size())->first;
		remove_waiter(w);
		require(pool_cancel(pool, w, now_us), "pool_cancel(pool, w, now_us)");
		require(!pool_cancel(pool, w, now_us), "!pool_cancel(pool, w, now_us)");
	}
	void release(size_t n, bool clean)
	{
		if (lent.empty())
			return;
		std::string c = std::next(lent.begin(), n % lent.size())->first;
		if (defect != Defect::SHARED)
			lent.erase(c);
		if (!clean)
			dirty.insert(c);
		pool_release(pool, "e", c.c_str(), clean || defect == Defect::UNCLEAN, now_us);
		if (defect == Defect::SHARED)
			lent.erase(c);
		require(clean || open.count(c) == 0, "an unclean connection is closed");
	}
	void complete_open(bool lost)
	{
		if (pending == 0)
			return;
		pending--;
		if (lost) {
			pool_opened(pool, "e", "", BC_EIO, nullptr, now_us);
		} else if (open.size() + other_connections >= limit) {
			pool_opened(pool, "e", "", BC_ELIMIT, nullptr, now_us);
		} else {
			std::string c = "c" + std::to_string(next_connection++);
			open.insert(c);
			pool_opened(pool, "e", "", BC_OK, c.c_str(), now_us);
		}
	}
	void advance(uint64_t by_us)
	{
		now_us += by_us;
		pool_tick(pool, now_us);
		for (const auto &entry : queued)
			require(now_us < entry.second.deadline_us,
				"now_us < entry.second.deadline_us");
		check_figures();
	}
	void check_figures()
	{
		pool_stats figures = pool_stats_get(pool, "e");
		require(figures.lent == lent.size(), "figures.lent == lent.size()");
		require(figures.idle + figures.lent == open.size(),
			"figures.idle + figures.lent == open.size()");
		require(figures.opening == pending, "figures.opening == pending");
		require(figures.queued == queued.size(), "figures.queued == queued.size()");
	}
	/*
	 * Checks that without faults every waiter whose deadline is more than 2 s away is served:
	 * that covers 500 ms of delay and 60 turns.
	 */
	void settle()
	{
		std::set<uint64_t> served;
		other_connections = 0;
		for (const auto &entry : queued) {
			if (entry.second.deadline_us > now_us + 2 * BC_US_PER_S)
				served.insert(entry.first);
		}
		for (int i = 0; i < 100; i++) {
			while (pending && violation.empty())
				complete_open(false);
			while (!lent.empty() && violation.empty())
				release(0, true);
			advance(20 * BC_US_PER_MS);
		}
		for (uint64_t w : served)
			require(answered.count(w) == 1U, "answered.count(w) == 1U");
		advance(60 * BC_US_PER_S);
		require(queued.empty(), "queued.empty()");
		require(open.size() == lent.size(), "open.size() == lent.size()");
	}
};

struct Step {
	int kind;
	int a;
	int b;
};

void showValue(const Step &step, std::ostream &os)
{
	os << "{" << step.kind << "," << step.a << "," << step.b << "}";
}

rc::Gen<Step> step_gen()
{
	return rc::gen::apply(
		[](int kind, int a, int b) {
			return Step{kind, a, b};
		},
		rc::gen::weightedElement<int>(
			{{8, 0}, {1, 1}, {5, 2}, {1, 3}, {6, 4}, {1, 5}, {3, 6}, {1, 7}, {1, 8}}),
		rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000));
}

void run(Model &model, const Step &step)
{
	switch (step.kind) {
	case 0:
		model.acquire(step.a % 4, step.b % 3, uint64_t(step.b) * 10 * BC_US_PER_MS);
		break;
	case 1:
		model.cancel(step.a);
		break;
	case 2:
	case 3:
		model.release(step.a, step.kind == 2);
		break;
	case 4:
	case 5:
		model.complete_open(step.kind == 5);
		break;
	case 6:
		model.advance(uint64_t(step.a) * 50);
		break;
	case 7:
		model.advance(uint64_t(step.a) * 3 * BC_US_PER_MS);
		break;
	default:
		model.other_connections = step.a % (model.limit + 1);
		if (model.open.size() + model.other_connections > model.limit)
			model.other_connections = model.limit - model.open.size();
	}
}

bool check_pool(Defect defect)
{
	return rc::check("one answer, one holder, no unclean connection, no starving", [=] {
		Model model(defect, *rc::gen::inRange<uint32_t>(1, 9),
			    *rc::gen::inRange<uint32_t>(1, 5));
		auto steps =
			*rc::gen::resize(200, rc::gen::container<std::vector<Step>>(step_gen()));

		for (const Step &step : steps) {
			run(model, step);
			RC_ASSERT(model.violation == "");
		}
		model.settle();
		RC_ASSERT(model.violation == "");
	});
}

/* Defects that the wrapper around the pools of several proxies injects. */
enum class AccountDefect {
	NONE,
	WRONG_NAME, /* every fifth request names another account to the pool */
	NO_RESERVE, /* the proxies together may hold as many connections as the endpoint accepts */
	WITHHELD,   /* a released connection is reported to the pool much later */
	NOT_OPENED, /* every third account's connections never open */
};

constexpr int ACCOUNTS = 12;
constexpr int ANY_ACCOUNT = -1;

/* The last account stands for requests without one. */
std::string account_name(int account)
{
	return account == ACCOUNTS - 1 ? "" : "t" + std::to_string(account);
}

constexpr uint64_t HANDSHAKE_US = 14 * BC_US_PER_MS;
/* An endpoint sees a close at most this much later. */
constexpr uint64_t CLOSE_SEEN_US = 8 * BC_US_PER_MS;

struct Fleet;

/* One proxy's pool, whose allowance is a part of what the endpoint accepts. */
struct Proxy {
	struct Waiter {
		std::string account;
		bool any;
		bool capped;
		uint64_t deadline_us;
	};
	struct Opening {
		std::string account;
		uint64_t due_us;
	};
	Fleet &fleet;
	uint32_t allowance;
	pool_state *pool = nullptr;
	std::map<uint64_t, Waiter> queued;
	std::vector<Opening> openings;
	std::map<std::string, std::string> open; /* connection -> account */
	std::map<std::string, uint64_t> lent;	 /* connection -> time of its return */

	std::set<std::string> idle_accounts() const
	{
		std::set<std::string> accounts;
		for (const auto &entry : open) {
			if (lent.count(entry.first) == 0)
				accounts.insert(entry.second);
		}
		return accounts;
	}
	uint32_t held(const std::string &account) const
	{
		uint32_t count = 0;
		for (const auto &entry : open)
			count += entry.second == account;
		for (const auto &opening : openings)
			count += opening.account == account;
		return count;
	}
};

/* An endpoint, and proxies that connect to it by account. */
struct Fleet {
	AccountDefect defect;
	uint32_t limit;
	uint64_t now_us = 0;
	uint64_t next_waiter = 1;
	int next_connection = 1;
	std::string lost;		     /* connection that the endpoint has closed */
	std::vector<uint64_t> unseen_closes; /* when the endpoint sees them */
	std::vector<Proxy> proxies;
	std::set<uint64_t> granted;
	std::string violation;
	bc_ctx *ctx;

	void require(bool holds, const char *rule)
	{
		if (!holds && violation.empty())
			violation = rule;
	}

	Fleet(AccountDefect f, uint32_t count, uint32_t share)
	    : defect(f), limit(2 * count * share), ctx(bc_ctx_create(share))
	{
		static const pool_ops ops = {on_open, on_close, on_granted, on_rejected, nullptr};
		uint32_t own = defect == AccountDefect::NO_RESERVE ? 2 * share : share;

		proxies.reserve(count);
		for (uint32_t i = 0; i < count; i++) {
			proxies.push_back(Proxy{*this, own});
			proxies[i].pool = pool_create(ctx, &ops, &proxies[i]);
			pool_endpoint_set(proxies[i].pool, "e", own);
		}
	}
	Fleet(const Fleet &) = delete;
	~Fleet()
	{
		for (Proxy &proxy : proxies)
			pool_destroy(proxy.pool);
		bc_ctx_destroy(ctx);
	}

	/* The connections at the endpoint. A handshake occupies one from its start. */
	size_t connections() const
	{
		size_t count = unseen_closes.size();
		for (const Proxy &proxy : proxies)
			count += proxy.open.size() + proxy.openings.size();
		return count;
	}
	static void on_open(void *data, const char *, const char *account)
	{
		Proxy &proxy = *static_cast<Proxy *>(data);
		Fleet &fleet = proxy.fleet;
		uint32_t max = std::max(proxy.allowance - (proxy.allowance + 3) / 4, 1U);

		proxy.openings.push_back({account, fleet.now_us + HANDSHAKE_US});
		fleet.require(fleet.connections() <= fleet.limit, "the endpoint's limit");
		/* At most one replaced connection of each proxy is unseen, and a last one. */
		fleet.require(fleet.connections() <= fleet.limit / 2 + fleet.proxies.size(),
			      "half of the connections free, but one for each proxy");
		fleet.require(proxy.open.size() + proxy.openings.size() <= proxy.allowance,
			      "the proxy's allowance");
		/* Statements of the proxy itself open connections without an account. */
		fleet.require(!account[0] || proxy.held(account) <= max,
			      "all but a quarter for one account");
	}
	static void on_close(void *data, const char *, const char *connection)
	{
		Proxy &proxy = *static_cast<Proxy *>(data);

		proxy.fleet.require(proxy.open.erase(connection) == 1, "an open one is closed");
		proxy.fleet.require(proxy.lent.count(connection) == 0, "no lent one is closed");
		if (connection != proxy.fleet.lost)
			proxy.fleet.unseen_closes.push_back(proxy.fleet.now_us + CLOSE_SEEN_US);
	}
	static void on_granted(void *data, uint64_t id, const char *, const char *connection)
	{
		Proxy &proxy = *static_cast<Proxy *>(data);
		Fleet &fleet = proxy.fleet;
		auto waiter = proxy.queued.find(id);

		fleet.require(waiter != proxy.queued.end(), "one answer");
		fleet.require(proxy.open.count(connection) == 1, "a lent connection is open");
		fleet.require(waiter->second.any ||
				      proxy.open[connection] == waiter->second.account,
			      "the right name");
		fleet.require(proxy.lent.emplace(connection, UINT64_MAX).second, "one holder");
		fleet.granted.insert(id);
		proxy.queued.erase(waiter);
	}
	static void on_rejected(void *data, uint64_t id, bc_status)
	{
		Proxy &proxy = *static_cast<Proxy *>(data);

		proxy.fleet.require(proxy.queued.erase(id) == 1, "one answer");
	}

	uint64_t acquire(Proxy &proxy, int account, bool capped, uint32_t priority,
			 uint64_t within_us)
	{
		uint64_t id = next_waiter++;
		std::string name = account_name(std::max(account, 0));
		std::string told = name;
		pool_request want = {};

		if (defect == AccountDefect::WRONG_NAME && id % 5 == 0)
			told = account_name((account + 1) % ACCOUNTS);
		proxy.queued[id] = {name, account == ANY_ACCOUNT, capped, now_us + within_us};
		want.waiter = id;
		want.endpoint = "e";
		want.customer = "db";
		want.account = account == ANY_ACCOUNT ? nullptr : told.c_str();
		want.on_primary = capped;
		want.deadline_us = now_us + within_us;
		want.priority = priority;
		pool_acquire(proxy.pool, &want, now_us);
		return id;
	}
	void cancel(Proxy &proxy, size_t n)
	{
		if (proxy.queued.empty())
			return;
		uint64_t id = std::next(proxy.queued.begin(), long(n % proxy.queued.size()))->first;
		proxy.queued.erase(id);
		require(pool_cancel(proxy.pool, id, now_us), "a queued one is cancelled");
	}
	/* The endpoint closes a connection, which the pool is told. */
	void lose(Proxy &proxy, size_t n)
	{
		if (proxy.open.empty())
			return;
		std::string connection =
			std::next(proxy.open.begin(), long(n % proxy.open.size()))->first;
		proxy.lent.erase(connection);
		lost = connection;
		pool_connection_lost(proxy.pool, "e", connection.c_str(), now_us);
		require(proxy.open.count(connection) == 0, "a lost connection is closed");
	}
	void fail_open(Proxy &proxy, bool full)
	{
		if (proxy.openings.empty())
			return;
		std::string account = proxy.openings.front().account;
		proxy.openings.erase(proxy.openings.begin());
		pool_opened(proxy.pool, "e", account.c_str(), full ? BC_ELIMIT : BC_EIO, nullptr,
			    now_us);
	}
	/* Adds the endpoint again after the opens have ended and their closes were seen. */
	void remove_and_add(Proxy &proxy)
	{
		pool_endpoint_remove(proxy.pool, "e", now_us);
		for (int i = 0; i < 30; i++)
			advance_1ms(10 * BC_US_PER_MS);
		pool_endpoint_set(proxy.pool, "e", proxy.allowance);
	}
	/* A copy of the id: that of `lent` is freed here. */
	void release(Proxy &proxy, std::string connection)
	{
		proxy.lent.erase(connection);
		pool_release(proxy.pool, "e", connection.c_str(), true, now_us);
	}
	/*
	 * Lowers a proxy's allowance, as a change of the relays does. If it were raised again at
	 * once, the endpoint would not have seen the closes yet.
	 */
	void lower_allowance(Proxy &proxy, uint32_t allowance)
	{
		proxy.allowance = std::min(proxy.allowance, allowance);
		pool_endpoint_set(proxy.pool, "e", proxy.allowance);
	}
	/* Sets for how long a connection that was lent in this step stays so. */
	void hold(Proxy &proxy, uint64_t for_us)
	{
		for (auto &entry : proxy.lent) {
			if (entry.second == UINT64_MAX)
				entry.second = now_us + for_us;
		}
	}
	void complete_opens(Proxy &proxy)
	{
		for (size_t i = 0; i < proxy.openings.size(); i++) {
			Proxy::Opening opening = proxy.openings[i];
			std::string connection = "c" + std::to_string(next_connection);

			if (opening.due_us > now_us ||
			    (defect == AccountDefect::NOT_OPENED && !opening.account.empty() &&
			     (opening.account.back() - '0') % 3 == 0))
				continue;
			next_connection++;
			proxy.openings.erase(proxy.openings.begin() + long(i--));
			proxy.open[connection] = opening.account;
			pool_opened(proxy.pool, "e", opening.account.c_str(), BC_OK,
				    connection.c_str(), now_us);
		}
	}
	/* Goes on by 1 ms. Connections that are lent meanwhile are returned after hold_us. */
	void advance_1ms(uint64_t hold_us)
	{
		uint64_t late_us = defect == AccountDefect::WITHHELD ? 3600 * BC_US_PER_S : 0;

		now_us += BC_US_PER_MS;
		unseen_closes.erase(std::remove_if(unseen_closes.begin(), unseen_closes.end(),
						   [&](uint64_t at) { return at <= now_us; }),
				    unseen_closes.end());
		for (Proxy &proxy : proxies) {
			std::vector<std::string> due;

			complete_opens(proxy);
			hold(proxy, hold_us);
			for (const auto &entry : proxy.lent) {
				if (entry.second + late_us <= now_us)
					due.push_back(entry.first);
			}
			for (const std::string &connection : due)
				release(proxy, connection);
			pool_tick(proxy.pool, now_us);
			hold(proxy, hold_us);
			check(proxy);
		}
	}
	void check(const Proxy &proxy)
	{
		std::set<std::string> idle = proxy.idle_accounts();
		pool_stats figures = pool_stats_get(proxy.pool, "e");

		for (const auto &entry : proxy.queued) {
			require(entry.second.capped ||
					(entry.second.any ? idle.empty()
							  : idle.count(entry.second.account) == 0),
				"no wait beside an idle connection of the account");
		}
		require(figures.lent == proxy.lent.size(), "figures.lent");
		require(figures.idle + figures.lent == proxy.open.size(), "figures.idle");
		require(figures.opening == proxy.openings.size(), "figures.opening");
		require(figures.queued == proxy.queued.size(), "figures.queued");
	}
	/*
	 * One waiter of each account comes while account 0 keeps asking for more than it can get.
	 * All of them are served in the time for a replacement and a few statements each.
	 */
	void check_no_starving()
	{
		std::set<uint64_t> waiters;

		for (int i = 0; i < 100; i++)
			advance_1ms(BC_US_PER_MS);
		for (Proxy &proxy : proxies) {
			while (!proxy.lent.empty())
				release(proxy, proxy.lent.begin()->first);
			for (int account = 1; account < ACCOUNTS; account++)
				waiters.insert(acquire(proxy, account, false, 0, BC_US_PER_S * 60));
		}
		for (int i = 0; i < ACCOUNTS * 100; i++) {
			for (Proxy &proxy : proxies) {
				if (proxy.queued.size() < 30)
					acquire(proxy, 0, false, 0, BC_US_PER_S);
			}
			advance_1ms(10 * BC_US_PER_MS);
		}
		for (uint64_t waiter : waiters)
			require(granted.count(waiter) == 1, "no account starves");
	}
};

bool check_accounts(AccountDefect defect)
{
	return rc::check("limit of the endpoint, right name, no starving over accounts", [=] {
		const uint32_t count = *rc::gen::inRange<uint32_t>(1, 5);
		const uint32_t share = *rc::gen::inRange<uint32_t>(1, 10);
		Fleet fleet(defect, count, share);
		auto steps =
			*rc::gen::resize(150, rc::gen::container<std::vector<Step>>(step_gen()));

		for (const Step &step : steps) {
			Proxy &proxy = fleet.proxies[size_t(step.a) % fleet.proxies.size()];

			/* One account in two requests is the first one, as if it had a peak. */
			if (step.kind == 0 || step.kind == 2) {
				int account = step.b % 2 ? step.b / 2 % ACCOUNTS : 0;

				fleet.acquire(proxy, step.b % 16 == 2 ? ANY_ACCOUNT : account,
					      step.b % 7 == 0, uint32_t(step.b) % 3,
					      uint64_t(step.a) * BC_US_PER_MS);
				/* One in eight belongs to a transaction that rests. */
				fleet.hold(proxy, step.a % 8 ? 10 * BC_US_PER_MS : 3 * BC_US_PER_S);
			} else if (step.kind == 5 && defect == AccountDefect::NONE) {
				fleet.lower_allowance(proxy, uint32_t(step.b) % share + 1);
			} else if (step.kind == 1) {
				fleet.cancel(proxy, size_t(step.b));
			} else if (step.kind == 3) {
				fleet.lose(proxy, size_t(step.b));
			} else if (step.kind == 7 && step.b % 2) {
				fleet.fail_open(proxy, step.b % 4 == 1);
			} else if (step.kind == 7) {
				fleet.remove_and_add(proxy);
			} else if (step.kind == 8) {
				for (int i = 0; i < step.a / 4; i++)
					fleet.advance_1ms(10 * BC_US_PER_MS);
			} else {
				fleet.advance_1ms(10 * BC_US_PER_MS);
			}
			RC_ASSERT(fleet.violation == "");
		}
		fleet.check_no_starving();
		RC_ASSERT(fleet.violation == "");
	});
}

} // namespace

int main()
{
	bool ok = check_pool(Defect::NONE);

	ok = check_accounts(AccountDefect::NONE) && ok;

	std::puts("The following properties must fail:");
	for (Defect defect : {Defect::UNCLEAN, Defect::LATE, Defect::SHARED, Defect::UNFAIR,
			      Defect::OVER_LIMIT, Defect::NO_ANSWER})
		ok = !check_pool(defect) && ok;
	for (AccountDefect defect : {AccountDefect::WRONG_NAME, AccountDefect::NO_RESERVE,
				     AccountDefect::WITHHELD, AccountDefect::NOT_OPENED})
		ok = !check_accounts(defect) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
