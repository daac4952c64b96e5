#ifndef BC_FAILOVER_PROPERTIES_H
#define BC_FAILOVER_PROPERTIES_H

// The properties of the failover model. They must hold in failover_prop_test, and must fail in
// failover_fault_prop_test, which injects a defect.

#include "tests/failover_model.h"

#include <algorithm>
#include <rapidcheck.h>

namespace model
{

struct PropertyOptions {
	Defects defects;
	std::vector<Event> setup; // run before the random events
	size_t endpoints = 0;	  // 0: any
	bool check_recovery = true;
	std::string only_violation; // if set, other violations are ignored
};

inline rc::Gen<Event> event_gen()
{
	return rc::gen::construct<Event>(
		rc::gen::inRange(0, (int)EventKind::count), rc::gen::inRange<uint32_t>(0, 7),
		rc::gen::inRange<uint32_t>(0, 7),
		rc::gen::weightedElement<uint32_t>(
			{{6, 0}, {6, 20}, {6, 100}, {4, 300}, {3, 800}, {1, 2500}, {1, 6000}}));
}

inline void run(Group &group, const std::vector<Event> &script)
{
	for (const Event &event : script) {
		if (!group.violation().empty())
			return;
		group.apply(event);
		group.advance(event.wait_ms * ms);
	}
}

// Guards against lost or wrongly confirmed writes, two primaries in one term, reads from a copy
// older than its proven age, and a group that stays without a primary.
inline void check_safety_and_recovery(const PropertyOptions &setting)
{
	Options options;

	options.endpoints = *rc::gen::element<size_t>(3, 3, 5);
	options.proxies = *rc::gen::element<size_t>(2, 3);
	options.equal_ranks = *rc::gen::arbitrary<bool>();
	options.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	if (setting.endpoints)
		options.endpoints = setting.endpoints;
	if (setting.endpoints)
		options.proxies = 3;
	options.defects = setting.defects;
	options.only_violation = setting.only_violation;
	const auto script = *rc::gen::container<std::vector<Event>>(event_gen());
	Group group(options);

	group.advance(500 * ms);
	run(group, setting.setup);
	run(group, script);
	if (setting.check_recovery && group.violation().empty()) {
		group.heal();
		const uint64_t healed_us = group.now();
		group.advance(recovery_us);
		group.check_recovered(healed_us);
	}
	if (setting.only_violation.empty())
		RC_TAG(group.promotion_count() > 1 ? "promotions" : "no promotion");
	if (!group.violation().empty())
		RC_FAIL(group.violation());
}

// Guards against a promotion while the primary is usable: one replica fails, one proxy of three is
// disconnected from any endpoints for any time, and the primary pauses for less than 600 ms.
inline void check_no_needless_promotion(const PropertyOptions &setting)
{
	static const EventKind harmless[] = {EventKind::write,
					     EventKind::read,
					     EventKind::crash,
					     EventKind::restart,
					     EventKind::disconnect_proxy,
					     EventKind::reconnect_proxy,
					     EventKind::slow_replication,
					     EventKind::restart_proxy};
	Options options;

	options.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	options.defects = setting.defects;
	const auto script = *rc::gen::container<std::vector<Event>>(event_gen());
	Group group(options);

	group.advance(500 * ms);
	for (Event event : script) {
		event.kind = (int)harmless[(size_t)event.kind % 8];
		if (event.kind == (int)EventKind::disconnect_proxy ||
		    event.kind == (int)EventKind::reconnect_proxy)
			event.a = 2;
		if (event.kind == (int)EventKind::crash || event.kind == (int)EventKind::restart) {
			event.a = 2;
			event.b = 1;
		}
		run(group, {event,
			    {(int)EventKind::freeze_primary, 0, 0, std::min(event.wait_ms, 390U)},
			    {(int)EventKind::thaw, 0, 0, 500}});
	}
	if (group.promotion_count() != 1)
		RC_FAIL("a needless promotion");
	if (!group.violation().empty())
		RC_FAIL(group.violation());
	RC_ASSERT(group.confirmed_count() > 0U);
}

} // namespace model

#endif
