#ifndef BC_ENTRY_MODEL_STEPS_H
#define BC_ENTRY_MODEL_STEPS_H

/* Random lists of faults for the property tests of the simulated system. */

#include "tests/entry_model_callers.h"

#include <rapidcheck.h>

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
					 "slow_promotion",
					 "store_refuses",
					 "config_change",
					 "store_restored"};

static_assert(sizeof(kind_names) / sizeof(kind_names[0]) == STEP_KINDS, "one name for each kind");

inline void showValue(const Step &step, std::ostream &out)
{
	out << kind_names[step.kind] << " at " << step.at_ms << " for " << step.for_ms << " target "
	    << step.target;
}

/* All kinds of steps. */
inline std::vector<StepKind> all_kinds()
{
	std::vector<StepKind> kinds;

	for (int kind = 0; kind < STEP_KINDS; kind++)
		kinds.push_back(static_cast<StepKind>(kind));
	return kinds;
}

inline rc::Gen<Step> step_of(const std::vector<StepKind> &kinds)
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::kind, rc::gen::elementOf(kinds)),
		rc::gen::set(&Step::at_ms, rc::gen::inRange<uint32_t>(0, FAULTS_SPAN_MS - 5000)),
		rc::gen::set(&Step::for_ms, rc::gen::inRange<uint32_t>(200, 5000)),
		rc::gen::set(&Step::target, rc::gen::inRange<uint32_t>(0, 1U << 7)));
}

/* Lists of at most `count` steps of these kinds. */
inline rc::Gen<std::vector<Step>> steps_of(const std::vector<StepKind> &kinds, int count)
{
	return rc::gen::resize(count, rc::gen::container<std::vector<Step>>(step_of(kinds)));
}

} // namespace model

#endif
