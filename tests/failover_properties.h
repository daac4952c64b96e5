#ifndef BC_FAILOVER_PROPERTIES_H
#define BC_FAILOVER_PROPERTIES_H

// The properties, shared by the program in which they must hold and by the one in which a rule is
// left out and they must fail.

#include "tests/failover_model.h"

#include <algorithm>
#include <rapidcheck.h>

namespace model
{

struct Setting {
	Faults faults;
	std::vector<Event> prefix; // run before the random events
	size_t endpoints = 0;	   // 0: any
	bool check_recovery = true;
	std::string only; // if set, other violations are ignored
};

inline rc::Gen<Event> events()
{
	return rc::gen::construct<Event>(
		rc::gen::inRange(0, (int)Kind::count), rc::gen::inRange<uint32_t>(0, 7),
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

// Guards against lost or wrongly confirmed writes, two primaries of a term, reads older than
// proven, and against a group that stays without a primary.
inline void safe_and_recovers(const Setting &setting)
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
	options.faults = setting.faults;
	options.only = setting.only;
	const auto script = *rc::gen::container<std::vector<Event>>(events());
	Group group(options);

	group.advance(500 * ms);
	run(group, setting.prefix);
	run(group, script);
	if (setting.check_recovery && group.violation().empty()) {
		group.heal();
		const uint64_t healed_us = group.now();
		group.advance(recovery_us);
		group.check_recovered(healed_us);
	}
	if (setting.only.empty())
		RC_TAG(group.promotion_count() > 1 ? "promotions" : "no promotion");
	if (!group.violation().empty())
		RC_FAIL(group.violation());
}

// Guards against promotions that nothing calls for: a replica fails, one proxy of three is cut off
// from any endpoints for any time, and the primary pauses for less than 600 ms.
inline void no_needless_promotion(const Setting &setting)
{
	static const Kind harmless[] = {Kind::write,   Kind::read,	   Kind::crash,
					Kind::restart, Kind::cut_proxy,	   Kind::join_proxy,
					Kind::slow,    Kind::restart_proxy};
	Options options;

	options.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	options.faults = setting.faults;
	const auto script = *rc::gen::container<std::vector<Event>>(events());
	Group group(options);

	group.advance(500 * ms);
	for (Event event : script) {
		event.kind = (int)harmless[(size_t)event.kind % 8];
		if (event.kind == (int)Kind::cut_proxy || event.kind == (int)Kind::join_proxy)
			event.a = 2;
		if (event.kind == (int)Kind::crash || event.kind == (int)Kind::restart) {
			event.a = 2;
			event.b = 1;
		}
		run(group, {event,
			    {(int)Kind::freeze_primary, 0, 0, std::min(event.wait_ms, 390U)},
			    {(int)Kind::thaw, 0, 0, 500}});
	}
	if (group.promotion_count() != 1)
		RC_FAIL("a needless promotion");
	if (!group.violation().empty())
		RC_FAIL(group.violation());
	RC_ASSERT(group.confirmed_count() > 0U);
}

} // namespace model

#endif
