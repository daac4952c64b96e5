// Shows that each check of the model can fail: with one defect injected, the property must be
// violated, and it must be the check for that defect that reports it.

#include "tests/failover_properties.h"

#include <iostream>

using model::Defects;
using model::Event;
using model::EventKind;
using model::PropertyOptions;
using Script = std::vector<Event>;

namespace
{

struct Case {
	const char *name;
	bool Defects::*defect;
	const char *violation;
	Script setup;	  // leads to the situation in which the defect shows
	size_t endpoints; // 0: any
	bool check_recovery;
	void (*property)(const PropertyOptions &);
};

Event event(EventKind kind, uint32_t a, uint32_t b, uint32_t wait_ms)
{
	return {(int)kind, a, b, wait_ms};
}

Script repeat(Script script, const Script &part, size_t times)
{
	for (size_t i = 0; i < times; i++)
		script.insert(script.end(), part.begin(), part.end());
	return script;
}

// The first two proxies are disconnected from the primary, which is therefore replaced 5.6 s later
// although the replicas still have contact with it. The third proxy still writes to it.
Script before_primary_replaced()
{
	return {event(EventKind::disconnect_proxy, 0, 0, 0),
		event(EventKind::disconnect_proxy, 1, 0, 5500)};
}

std::vector<Case> cases()
{
	const char *const lost = "missing in the log of a later primary";
	const char *const age = "older than its proven age";
	auto *const safe = model::check_safety_and_recovery;
	// The primary of term 2 is isolated and alone holds its last entries. The primary of term 3
	// crashes before any replica has its first entry, so term 4 continues the log of term 2.
	const Script old_log_returns = {event(EventKind::crash, 0, 0, 2500),
					event(EventKind::isolate_primary, 0, 0, 800),
					event(EventKind::disconnect_peer, 0, 1, 0),
					event(EventKind::disconnect_peer, 0, 2, 0),
					event(EventKind::restart, 0, 0, 400),
					event(EventKind::crash_primary, 0, 0, 0),
					event(EventKind::reconnect_all, 0, 0, 0),
					event(EventKind::write_at_claimed_primary, 2, 1, 0),
					event(EventKind::write_at_claimed_primary, 2, 2, 2000)};
	const Script replaced_while_writing = repeat(
		before_primary_replaced(),
		{event(EventKind::unreliable_network, 0, 0, 0), event(EventKind::write, 2, 0, 10)},
		60);
	// A replica crashes within milliseconds of its promise and learns of the promotion late.
	const Script crash_after_promise =
		repeat({event(EventKind::stop_writes, 2, 0, 0),
			event(EventKind::disconnect_proxy, 0, 0, 0),
			event(EventKind::disconnect_proxy, 1, 0, 5527),
			event(EventKind::disconnect_proxy, 0, 2, 0),
			event(EventKind::disconnect_proxy, 1, 2, 0),
			event(EventKind::crash, 2, 0, 1), event(EventKind::restart, 2, 1, 0)},
		       {event(EventKind::write, 2, 0, 5)}, 20);
	// A replaced primary has a long log tail that no other endpoint has. Then all endpoints are
	// disconnected from each other while writes go to the new primary.
	const Script long_unreplicated_tail = [] {
		Script script = repeat({event(EventKind::isolate_primary, 0, 1, 0)},
				       {event(EventKind::write, 0, 0, 20)}, 80);
		const Script rest = {event(EventKind::reconnect_all, 0, 0, 0),
				     event(EventKind::disconnect_peer, 0, 1, 0),
				     event(EventKind::disconnect_peer, 0, 2, 0),
				     event(EventKind::disconnect_peer, 1, 2, 800),
				     event(EventKind::crash_primary, 0, 0, 0),
				     event(EventKind::reconnect_all, 0, 0, 2000)};
		script.insert(script.end(), rest.begin(), rest.end());
		return script;
	}();
	// One proxy reaches only the replaced primary and a replica that lost its primary and term.
	const Script forgotten_term = {
		event(EventKind::isolate_primary, 0, 2, 0),
		event(EventKind::disconnect_proxy, 0, 1, 2000), event(EventKind::crash, 1, 0, 20),
		event(EventKind::reconnect_proxy, 0, 1, 0), event(EventKind::restart, 1, 0, 600)};
	const Script replaced_while_reading = repeat({event(EventKind::stop_writes, 0, 0, 400),
						      event(EventKind::isolate_primary, 0, 2, 600)},
						     {event(EventKind::read, 0, 0, 10)}, 80);
	const Script competing_candidates = {event(EventKind::crash_primary, 0, 0, 3000)};

	return {
		{"acknowledges without a majority",
		 &Defects::ack_without_majority,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"acknowledges without a majority",
		 &Defects::ack_without_majority,
		 "not held by a majority",
		 {},
		 0,
		 false,
		 safe},
		{"compares positions without the term", &Defects::position_without_term, lost,
		 long_unreplicated_tail, 3, false, safe},
		{"counts entries received after a promise", &Defects::holder_ignores_promise, lost,
		 old_log_returns, 3, false, safe},
		{"counts a replica that served a read as a holder",
		 &Defects::read_replica_is_holder, lost, old_log_returns, 3, false, safe},
		{"promotes the longest log whatever its term",
		 &Defects::longest_log_without_term,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"fences less than a majority",
		 &Defects::fence_below_majority,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"endpoint takes entries below its promise",
		 &Defects::accepts_entries_below_promise, lost, replaced_while_writing, 3, false,
		 safe},
		{"endpoint forgets its promise in a crash", &Defects::promise_not_durable, lost,
		 crash_after_promise, 3, false, safe},
		{"endpoint grants a term to two candidates", &Defects::term_granted_twice,
		 "two primaries were promoted in a term", competing_candidates, 5, false, safe},
		{"compares marks without the term",
		 &Defects::mark_without_term,
		 "mark's entry",
		 {},
		 0,
		 false,
		 safe},
		{"ignores the age limit",
		 &Defects::age_limit_ignored,
		 "beyond the age limit",
		 {},
		 0,
		 false,
		 safe},
		{"ignores promises in samples", &Defects::promise_ignored_in_samples, age,
		 forgotten_term, 3, false, safe},
		{"counts age from the receipt of a report",
		 &Defects::sample_age_from_receipt,
		 age,
		 {event(EventKind::unreliable_network, 0, 0, 3000)},
		 0,
		 false,
		 safe},
		{"counts any answer toward a sample's majority",
		 &Defects::sample_counts_any_answer,
		 age,
		 {},
		 0,
		 false,
		 safe},
		{"confirms reads on the primary by position only", &Defects::no_replacement_check,
		 "read on the primary missed", replaced_while_reading, 3, false, safe},
		{"never orders replicas to follow",
		 &Defects::follow_orders_lost,
		 "no write was confirmed",
		 {},
		 0,
		 true,
		 safe},
		{"has no promoter", &Defects::no_promoter, "0 primaries", {}, 0, true, safe},
		{"reports contact times that are too long",
		 &Defects::contact_times_too_long,
		 "a needless promotion",
		 {},
		 0,
		 true,
		 model::check_no_needless_promotion},
	};
}

// Returns whether the defect is found within 5000 cases. The bound does not depend on RC_PARAMS,
// since a rare interleaving may need more cases than the properties that must hold are run with.
bool is_found(const Case &test)
{
	rc::detail::TestParams params = rc::detail::configuration().testParams;
	rc::detail::TestMetadata metadata;
	PropertyOptions setting;

	setting.defects.*test.defect = true;
	setting.setup = test.setup;
	setting.endpoints = test.endpoints;
	setting.check_recovery = test.check_recovery;
	setting.only_violation = test.violation;
	params.maxSuccess = 5000;
	params.disableShrinking = true;
	metadata.id = test.name;
	const auto result =
		rc::detail::checkTestable([&] { test.property(setting); }, metadata, params);
	if (!result.is<rc::detail::FailureResult>()) {
		std::cout << "NOT FOUND: " << test.name << std::endl;
		return false;
	}
	const auto &failure = result.get<rc::detail::FailureResult>();

	std::cout << "found: " << test.name << ", after " << failure.numSuccess
		  << " cases: " << failure.description.substr(failure.description.rfind('\n') + 1)
		  << std::endl;
	return failure.description.find(test.violation) != std::string::npos;
}

} // namespace

int main()
{
	bool ok = true;

	for (const Case &test : cases())
		ok &= is_found(test);
	return ok ? 0 : 1;
}
