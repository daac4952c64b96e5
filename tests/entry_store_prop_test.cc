/*
 * Checks that configurations are in force in time and never replaced by older ones while the store
 * refuses some proxies, loses its history, is cut off or is restored from an older copy, in a fleet
 * with proxies that do not watch the store. The other guarantees are checked as well.
 */

#include "tests/entry_model_steps.h"

#include <cstdlib>

using model::Fault;
using model::Simulation;
using model::Step;

namespace
{

/* Failure domain "a1" has three proxies: one more than watch the store. */
const size_t fleet_proxies = 7;
const int max_steps = 10;

/* A schedule takes 0.2 s, and over 1 s under the sanitizers, where fewer are run. */
#ifdef __SANITIZE_ADDRESS__
const int max_cases = 20;
const uint64_t case_seeds = 1;
#else
const int max_cases = 1000000;
const uint64_t case_seeds = 3;
#endif

struct Case {
	const char *failure; /* that the case guards against */
	std::vector<Step> steps;
};

/* The bits of the proxies from 0 to 6 except one. */
constexpr uint32_t all_but(uint32_t proxy)
{
	return 0x7fU & ~(1U << proxy);
}

const std::vector<Case> &cases()
{
	static const std::vector<Case> all = {
		{"a proxy without watch duty is the only one that the store answers, and does not "
		 "ask it",
		 {{model::STORE_REFUSES, 1000, 5000, all_but(6)},
		  {model::CONFIG_CHANGE, 1100, 0, 0},
		  {model::CONFIG_CHANGE, 2500, 0, 0}}},
		{"a change after a restore of the store has a revision that the proxies have "
		 "passed",
		 {{model::CONFIG_CHANGE, 1000, 0, 0},
		  {model::CONFIG_CHANGE, 2000, 0, 0},
		  {model::STORE_RESTORED, 4000, 1000, 4},
		  {model::CONFIG_CHANGE, 7000, 0, 0}}},
		{"takeovers before and after a restore of the store have the same token",
		 {{model::CRASH, 500, 1500, 0},
		  {model::CRASH, 2000, 1500, 1},
		  {model::CRASH, 2600, 1500, 2},
		  {model::STORE_RESTORED, 4200, 300, 8},
		  {model::CRASH, 5000, 1500, 0},
		  {model::CRASH, 5200, 1500, 1},
		  {model::CRASH, 6500, 1500, 2}}},
		{"the store is restored twice, from a copy made before the first time",
		 {{model::CONFIG_CHANGE, 1000, 0, 0},
		  {model::STORE_RESTORED, 2000, 500, 2},
		  {model::CONFIG_CHANGE, 3000, 0, 0},
		  {model::STORE_RESTORED, 4000, 500, 3},
		  {model::CONFIG_CHANGE, 6500, 0, 0}}},
		{"a proxy without the store gets the new history from the others",
		 {{model::CONFIG_CHANGE, 1000, 0, 0},
		  {model::CUT_STORE, 2000, 5000, 2},
		  {model::STORE_RESTORED, 2500, 500, 4},
		  {model::CONFIG_CHANGE, 5000, 0, 0}}},
		{"the store answers a proxy that is cut off from the others",
		 {{model::CUT_PROXY, 0, 5000, 6},
		  {model::CONFIG_CHANGE, 1000, 0, 0},
		  {model::CONFIG_CHANGE, 3000, 0, 0}}},
	};

	return all;
}

/* Runs the cases with several seeds, since the watch duty depends on the proxies' hashes. */
bool check_cases()
{
	bool ok = true;

	for (const Case &c : cases()) {
		std::string violation;

		for (uint64_t seed = 1; seed <= case_seeds && violation.empty(); seed++) {
			for (uint32_t shift = 0; shift < fleet_proxies && violation.empty();
			     shift++) {
				std::vector<Step> steps = c.steps;
				Simulation sim(Fault::NONE, seed, fleet_proxies);

				/* Each proxy in turn is the one that the steps leave out. */
				for (Step &step : steps)
					if (step.kind == model::STORE_REFUSES)
						step.target = all_but(shift);
					else if (step.kind == model::CUT_PROXY)
						step.target = shift;
				sim.run(steps);
				violation = sim.violation;
			}
		}
		std::printf("%s: %s\n", c.failure, violation.empty() ? "no" : violation.c_str());
		ok = ok && violation.empty();
	}
	return ok;
}

bool check_random_schedules()
{
	static const std::vector<model::StepKind> kinds = {
		model::STORE_REFUSES, model::STORE_REFUSES, model::CONFIG_CHANGE,
		model::CONFIG_CHANGE, model::CONFIG_CHANGE, model::CUT_STORE,
		model::CUT_PROXY,     model::STORE_DOWN,    model::STORE_DROPS_HISTORY,
		model::KILL,	      model::FREEZE,	    model::CRASH,
		model::STORE_RESTORED};
	int count = 0;

	return rc::check("configurations are in force in time", [&count] {
		if (count++ >= max_cases)
			return;
		auto steps = *model::steps_of(kinds, max_steps);
		uint64_t seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
		Simulation sim(Fault::NONE, seed, fleet_proxies);

		sim.run(steps);
		RC_ASSERT(sim.violation == "");
	});
}

} // namespace

int main()
{
	bool ok = check_cases();

	ok = check_random_schedules() && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
