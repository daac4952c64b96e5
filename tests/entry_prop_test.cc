/*
 * Checks the guarantees of the deployed system under random schedules of faults, and that the
 * checks detect a simulated environment that breaks one of its rules.
 */

#include "tests/entry_model_callers.h"

#include <rapidcheck.h>

#include <cstdlib>

using model::Fault;
using model::Simulation;
using model::Step;

namespace rc
{
template <> struct Arbitrary<Step> {
	static Gen<Step> arbitrary()
	{
		return gen::build<Step>(
			gen::set(&Step::kind,
				 gen::map(gen::inRange<int>(0, model::STEP_KINDS),
					  [](int kind) { return (model::StepKind)kind; })),
			gen::set(&Step::at_ms,
				 gen::inRange<uint32_t>(0, model::FAULTS_SPAN_MS - 5000)),
			gen::set(&Step::for_ms, gen::inRange<uint32_t>(200, 5000)),
			gen::set(&Step::target, gen::inRange<uint32_t>(0, 1U << 7)));
	}
};
} // namespace rc

namespace model
{
static const char *const kind_names[] = {"crash",
					 "crash_silent",
					 "cut_endpoint",
					 "cut_replication",
					 "cut_store",
					 "cut_proxy",
					 "store_down",
					 "store_loses_replies",
					 "store_drops_history",
					 "freeze",
					 "kill",
					 "lag",
					 "leave",
					 "slow_promotion"};

void showValue(const Step &step, std::ostream &out)
{
	out << kind_names[step.kind] << " at " << step.at_ms << " for " << step.for_ms << " target "
	    << step.target;
}
} // namespace model

namespace
{

/* Steps in the longest schedule; with more of them faults mask each other. */
const int max_steps = 12;
/* Number of schedules within which a broken rule must be detected. */
const int max_schedules = 400;

/* A schedule takes 0.1 s, and 0.6 s under the sanitizers, where fewer are run. */
#ifdef __SANITIZE_ADDRESS__
const int max_cases = 50;
#else
const int max_cases = 1000000;
#endif

bool check_guarantees()
{
	int cases = 0;

	return rc::check("the deployed system keeps its guarantees", [&cases] {
		if (cases++ >= max_cases)
			return;
		auto steps = *rc::gen::resize(max_steps, rc::gen::arbitrary<std::vector<Step>>());
		uint64_t seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
		Simulation sim(Fault::NONE, seed);

		sim.run(steps);
		RC_ASSERT(sim.violation == "");
	});
}

/* Whether the checks detect the broken rule in one of the random schedules. */
bool is_detected(Fault fault, const char *name)
{
	std::mt19937_64 random(1);

	for (int i = 0; i < max_schedules; i++) {
		std::vector<Step> steps(random() % max_steps);
		Simulation sim(fault, random());

		for (Step &step : steps)
			step = {static_cast<model::StepKind>(random() % model::STEP_KINDS),
				static_cast<uint32_t>(random() % (model::FAULTS_SPAN_MS - 5000)),
				static_cast<uint32_t>(200 + random() % 4800),
				static_cast<uint32_t>(random() % 128)};
		sim.run(steps);
		if (sim.violation != "") {
			std::printf("%s: %s, schedule %d\n", name, sim.violation.c_str(), i);
			return true;
		}
	}
	std::printf("%s: NOT DETECTED\n", name);
	return false;
}

} // namespace

int main()
{
	bool ok = check_guarantees();

	std::puts("The following broken rules must be detected:");
	ok = is_detected(Fault::POSITIONS_IGNORED, "positions ignored") && ok;
	ok = is_detected(Fault::LEADERSHIP_UNCHECKED, "leadership not checked") && ok;
	ok = is_detected(Fault::CLAIMS_ALWAYS_WON, "claims always won") && ok;
	ok = is_detected(Fault::UNKNOWN_AS_REFUSED, "unknown outcomes reported as refusals") && ok;
	ok = is_detected(Fault::DISCARD_IGNORED, "DISCARD ignored") && ok;
	ok = is_detected(Fault::ROLLBACK_IGNORED, "rollback ignored") && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
