// Shows that each check of the model can fail: with one rule left out, the property must be
// violated, and by the check that guards the rule.

#include "tests/failover_properties.h"

#include <iostream>

using model::Event;
using model::Faults;
using model::Kind;
using model::Setting;
using Script = std::vector<Event>;

namespace
{

struct Case {
	const char *name;
	bool Faults::*rule;
	const char *violation;
	Script prefix;	  // brings about the situation that the rule is for
	size_t endpoints; // 0: any
	bool check_recovery;
	void (*property)(const Setting &);
};

Event event(Kind kind, uint32_t a, uint32_t b, uint32_t wait_ms)
{
	return {(int)kind, a, b, wait_ms};
}

Script repeat(Script script, const Script &part, size_t times)
{
	for (size_t i = 0; i < times; i++)
		script.insert(script.end(), part.begin(), part.end());
	return script;
}

// The first two proxies do not reach the primary, which is therefore replaced 5.6 s later although
// the replicas hear it. The third proxy still writes to it.
Script about_to_depose()
{
	return {event(Kind::cut_proxy, 0, 0, 0), event(Kind::cut_proxy, 1, 0, 5500)};
}

std::vector<Case> cases()
{
	const char *const lost = "missing in the log of a later primary";
	const char *const age = "older than its proven age";
	auto *const safe = model::safe_and_recovers;
	// A primary of term 2 is cut off with its last entries. That of term 3 crashes before any
	// replica has its first entry, so term 4 goes on from the log of term 2.
	const Script comes_back = {event(Kind::crash, 0, 0, 2500),
				   event(Kind::isolate_primary, 0, 0, 800),
				   event(Kind::cut_peer, 0, 1, 0),
				   event(Kind::cut_peer, 0, 2, 0),
				   event(Kind::restart, 0, 0, 400),
				   event(Kind::crash_primary, 0, 0, 0),
				   event(Kind::join_all, 0, 0, 0),
				   event(Kind::write_at_believer, 2, 1, 0),
				   event(Kind::write_at_believer, 2, 2, 2000)};
	const Script deposed_while_writing = repeat(
		about_to_depose(), {event(Kind::noise, 0, 0, 0), event(Kind::write, 2, 0, 10)}, 60);
	// A replica crashes within milliseconds of its promise, and hears of the promotion late.
	const Script crash_after_promise =
		repeat({event(Kind::mute, 2, 0, 0), event(Kind::cut_proxy, 0, 0, 0),
			event(Kind::cut_proxy, 1, 0, 5527), event(Kind::cut_proxy, 0, 2, 0),
			event(Kind::cut_proxy, 1, 2, 0), event(Kind::crash, 2, 0, 1),
			event(Kind::restart, 2, 1, 0)},
		       {event(Kind::write, 2, 0, 5)}, 20);
	// A replaced primary has a long tail that no other endpoint has, and then all are cut off
	// from each other while writes go to the new primary.
	const Script long_tail = [] {
		Script script = repeat({event(Kind::isolate_primary, 0, 1, 0)},
				       {event(Kind::write, 0, 0, 20)}, 80);
		const Script rest = {
			event(Kind::join_all, 0, 0, 0),	     event(Kind::cut_peer, 0, 1, 0),
			event(Kind::cut_peer, 0, 2, 0),	     event(Kind::cut_peer, 1, 2, 800),
			event(Kind::crash_primary, 0, 0, 0), event(Kind::join_all, 0, 0, 2000)};
		script.insert(script.end(), rest.begin(), rest.end());
		return script;
	}();
	// One proxy sees only the replaced primary and a replica that forgot whom it followed.
	const Script forgotten_term = {
		event(Kind::isolate_primary, 0, 2, 0), event(Kind::cut_proxy, 0, 1, 2000),
		event(Kind::crash, 1, 0, 20), event(Kind::join_proxy, 0, 1, 0),
		event(Kind::restart, 1, 0, 600)};
	const Script replaced_while_reading =
		repeat({event(Kind::mute, 0, 0, 400), event(Kind::isolate_primary, 0, 2, 600)},
		       {event(Kind::read, 0, 0, 10)}, 80);
	const Script competing = {event(Kind::crash_primary, 0, 0, 3000)};

	return {
		{"acknowledges without a majority",
		 &Faults::ack_without_majority,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"acknowledges without a majority",
		 &Faults::ack_without_majority,
		 "not held by a majority",
		 {},
		 0,
		 false,
		 safe},
		{"compares positions without the term", &Faults::position_without_term, lost,
		 long_tail, 3, false, safe},
		{"counts entries that were got after a promise", &Faults::hold_ignores_promise,
		 lost, comes_back, 3, false, safe},
		{"counts a replica that was read as a holder", &Faults::replica_is_holder, lost,
		 comes_back, 3, false, safe},
		{"promotes the longest log whatever its term",
		 &Faults::winner_without_term,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"fences less than a majority",
		 &Faults::fence_below_majority,
		 lost,
		 {},
		 0,
		 false,
		 safe},
		{"endpoint takes entries below its promise", &Faults::accepts_entries_below_promise,
		 lost, deposed_while_writing, 3, false, safe},
		{"endpoint forgets its promise in a crash", &Faults::promise_not_durable, lost,
		 crash_after_promise, 3, false, safe},
		{"endpoint grants a term to two candidates", &Faults::term_granted_twice,
		 "two primaries were promoted in a term", competing, 5, false, safe},
		{"compares marks without the term",
		 &Faults::mark_without_term,
		 "mark's entry",
		 {},
		 0,
		 false,
		 safe},
		{"ignores the age limit",
		 &Faults::age_limit_ignored,
		 "beyond the age limit",
		 {},
		 0,
		 false,
		 safe},
		{"ignores promises in samples", &Faults::promise_ignored_in_samples, age,
		 forgotten_term, 3, false, safe},
		{"counts age from the receipt of a report",
		 &Faults::sample_at_receipt,
		 age,
		 {event(Kind::noise, 0, 0, 3000)},
		 0,
		 false,
		 safe},
		{"counts any answer toward a sample's majority",
		 &Faults::any_answer_counts,
		 age,
		 {},
		 0,
		 false,
		 safe},
		{"confirms reads on the primary by position only", &Faults::no_replacement_check,
		 "read on the primary missed", replaced_while_reading, 3, false, safe},
		{"never orders replicas to follow",
		 &Faults::never_follows,
		 "no write was confirmed",
		 {},
		 0,
		 true,
		 safe},
		{"has no promoter", &Faults::no_promoter, "0 primaries", {}, 0, true, safe},
		{"takes replicas at their word too early",
		 &Faults::promotes_early,
		 "a needless promotion",
		 {},
		 0,
		 true,
		 model::no_needless_promotion},
	};
}

// Whether the fault was found within 5000 cases. That bound is fixed here, since a rare
// interleaving may need more cases than a property that must hold is run with.
bool is_found(const Case &test)
{
	rc::detail::TestParams params = rc::detail::configuration().testParams;
	rc::detail::TestMetadata metadata;
	Setting setting;

	setting.faults.*test.rule = true;
	setting.prefix = test.prefix;
	setting.endpoints = test.endpoints;
	setting.check_recovery = test.check_recovery;
	setting.only = test.violation;
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
