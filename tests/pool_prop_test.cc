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
			[](void *d, const char *) { of(d).on_open(); },
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
		pool_request want = {w, "e", name.c_str(), kind == 1, kind < 2, now_us + within_us};
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
			pool_opened(pool, "e", BC_EIO, nullptr, now_us);
		} else if (open.size() + other_connections >= limit) {
			pool_opened(pool, "e", BC_ELIMIT, nullptr, now_us);
		} else {
			std::string c = "c" + std::to_string(next_connection++);
			open.insert(c);
			pool_opened(pool, "e", BC_OK, c.c_str(), now_us);
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

} // namespace

int main()
{
	bool ok = check_pool(Defect::NONE);

	std::puts("The following properties must fail:");
	for (Defect defect : {Defect::UNCLEAN, Defect::LATE, Defect::SHARED, Defect::UNFAIR,
			      Defect::OVER_LIMIT, Defect::NO_ANSWER})
		ok = !check_pool(defect) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
