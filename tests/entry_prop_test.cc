/*
 * Checks the guarantees of the deployed system under random schedules of faults, and that the
 * checks detect a simulated environment that breaks one of its rules.
 */

#include "tests/entry_model_steps.h"

#include <cstdlib>

using model::Fault;
using model::Simulation;
using model::Step;

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
		auto steps = *model::steps_of(model::all_kinds(), max_steps);
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
