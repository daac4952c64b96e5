#include "node_model.h"

#include <rapidcheck.h>

#include <ostream>

using model::End;
using model::Fault;
using model::Kind;
using model::Plan;
using model::World;

namespace
{

enum class Do {
	PASS,
	READ,
	WRITE,
	WRITE_AGAIN,
	BEGIN,
	STATEMENT,
	COMMIT,
	ROLLBACK,
	ANSWER,
	CRASH,
	FREEZE,
	PAUSE,
	CUT,
	LEAVE,
	LOSE_PRIMARY,
	PARTITION,
	OLD_PRIMARY,
	REBUILD,
	DOUBT,
	PLATFORM_DOWN,
	CONFIGURE,
	OLD_CONFIG,
	RESTART,
	DRAIN
};

const char *const names[] = {"pass",	  "read",	 "write",    "write_again", "begin",
			     "statement", "commit",	 "rollback", "answer",	    "crash",
			     "freeze",	  "pause",	 "cut",	     "leave",	    "lose_primary",
			     "partition", "old_primary", "rebuild",  "doubt",	    "platform_down",
			     "configure", "old_config",	 "restart",  "drain"};

/* One event; the numbers select node, session, endpoint, time or way. */
struct Event {
	Do what;
	int a;
	int b;
	int c;
};

std::ostream &operator<<(std::ostream &out, const Event &event)
{
	return out << names[(int)event.what] << ' ' << event.a << ' ' << event.b << ' ' << event.c;
}

rc::Gen<Event> event_gen()
{
	auto what = rc::gen::weightedElement<Do>({
		{14, Do::PASS},	      {9, Do::READ},	      {9, Do::WRITE},
		{4, Do::WRITE_AGAIN}, {4, Do::BEGIN},	      {5, Do::STATEMENT},
		{4, Do::COMMIT},      {1, Do::ROLLBACK},      {7, Do::ANSWER},
		{1, Do::CRASH},	      {1, Do::FREEZE},	      {2, Do::PAUSE},
		{2, Do::CUT},	      {1, Do::LEAVE},	      {2, Do::LOSE_PRIMARY},
		{2, Do::PARTITION},   {2, Do::OLD_PRIMARY},   {2, Do::REBUILD},
		{2, Do::DOUBT},	      {1, Do::PLATFORM_DOWN}, {1, Do::CONFIGURE},
		{1, Do::OLD_CONFIG},  {1, Do::RESTART},	      {1, Do::DRAIN},
	});
	auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 24));

	return rc::gen::apply(
		[](Do d, int a, int b, int c) {
			return Event{d, a, b, c};
		},
		what, number, number, number);
}

uint64_t time_us(int number)
{
	return (uint64_t)(1 + number) * 120 * BC_US_PER_MS;
}

void answer(World &world, const Event &event)
{
	Plan plan;

	plan.end = (End)(event.b % model::ENDS);
	if (plan.end == End::LATE)
		plan.arrive_us = (uint64_t)(event.c % 8) * 300 * BC_US_PER_MS;
	plan.answer_us = (uint64_t)(event.c % 5) * 40 * BC_US_PER_MS;
	world.plan_run(event.a % 4 == 3 || event.a % 4 == 2 ? std::max(world.primary(), 0)
							    : event.a % model::ENDPOINTS,
		       plan);
}

/* A write whose entry the replicas do not get, then the end of the primary. */
void lose_primary(World &world, const Event &event)
{
	int primary = std::max(world.primary(), 0);

	for (int i = 0; i < model::ENDPOINTS; i++)
		if (i != primary)
			world.pause(i, (uint64_t)(event.b % 8) * 200 * BC_US_PER_MS);
	world.write(event.a % model::SESSIONS, event.a % world.nodes(), event.c % 2,
		    event.c % 3 == 0, false);
	world.pass(100 * BC_US_PER_MS);
	if (event.c % 4 < 2)
		world.crash(primary, time_us(event.c));
	else
		world.freeze(primary, time_us(event.c));
	world.pass(time_us(event.b));
}

/* A session writes at a new primary and reads where the old one still counts as primary. */
void old_primary(World &world, const Event &event)
{
	int session = event.b % model::SESSIONS;
	int primary = std::max(world.primary(), 0);

	world.partition(1U << primary | 1U << 3, time_us(event.c) + 2 * BC_US_PER_S);
	world.pass(1600 * BC_US_PER_MS);
	world.write(session, world.nodes() - 1, false, false, false);
	world.pass((uint64_t)(1 + event.a % 10) * 40 * BC_US_PER_MS);
	world.read(session, 0, event.c % 4 == 1, event.c % 4 == 2 ? event.b * 50 : -1);
	world.pass(200 * BC_US_PER_MS);
}

/* A replica restarts between two probes, and a session reads its own write meanwhile. */
void rebuild(World &world, const Event &event)
{
	int session = event.b % model::SESSIONS;
	int node = event.a % world.nodes();

	world.write(session, node, false, false, false);
	world.pass((uint64_t)(8 + event.c) * model::STEP_US);
	for (int i = 0; i < model::ENDPOINTS; i++)
		if (i != world.primary())
			world.crash(i, model::STEP_US);
	world.pass(2 * model::STEP_US);
	world.read(session, node, false, -1);
	world.pass(100 * BC_US_PER_MS);
}

/* The answer to an open transaction's statement is lost, and other requests need connections. */
void doubt(World &world, const Event &event)
{
	int node = event.a % world.nodes();
	Plan plan;

	plan.end = event.c % 2 ? End::LOST_RUN : End::WRONG_ID;
	world.plan_run(std::max(world.primary(), 0), plan);
	world.write(event.b % model::SESSIONS, node, true, false, false);
	world.pass((uint64_t)(2 + event.c % 4) * model::STEP_US);
	world.write((event.b + 1) % model::SESSIONS, node, event.b % 2, false, false);
	world.pass((uint64_t)(1 + event.b) * model::STEP_US);
}

void apply(World &world, const Event &event)
{
	int node = event.a % world.nodes();
	int session = event.b % model::SESSIONS;
	int endpoint = event.a % model::ENDPOINTS;

	switch (event.what) {
	case Do::PASS:
		world.pass((uint64_t)(1 + event.a % 12) * 40 * BC_US_PER_MS);
		break;
	case Do::READ:
		world.read(session, node, event.c % 4 == 1, event.c % 4 == 2 ? event.c * 50 : -1);
		break;
	case Do::WRITE:
		world.write(session, node, event.c % 3 == 1, event.c % 3 == 2, event.c % 8 == 7);
		break;
	case Do::WRITE_AGAIN:
		world.write_again(event.b % 3, node);
		break;
	case Do::BEGIN:
		world.transaction_begin(session, node);
		break;
	case Do::STATEMENT:
		world.transaction_go_on(event.b, Kind::STATEMENT, event.c % 8 == 7);
		break;
	case Do::COMMIT:
		world.transaction_go_on(event.b, Kind::COMMIT, false);
		break;
	case Do::ROLLBACK:
		world.transaction_go_on(event.b, Kind::ROLLBACK, false);
		break;
	case Do::ANSWER:
		answer(world, event);
		break;
	case Do::CRASH:
		world.crash(endpoint, time_us(event.b));
		break;
	case Do::FREEZE:
		world.freeze(endpoint, time_us(event.b));
		break;
	case Do::PAUSE:
		world.pause(endpoint, time_us(event.b));
		break;
	case Do::CUT:
		world.cut(event.b, endpoint, time_us(event.c), event.c % 2);
		break;
	case Do::LEAVE:
		world.leave(endpoint, time_us(event.b));
		break;
	case Do::LOSE_PRIMARY:
		lose_primary(world, event);
		break;
	case Do::PARTITION:
		world.partition((unsigned)(event.a * 24 + event.b) % 64, time_us(event.c));
		break;
	case Do::OLD_PRIMARY:
		old_primary(world, event);
		break;
	case Do::REBUILD:
		rebuild(world, event);
		break;
	case Do::DOUBT:
		doubt(world, event);
		break;
	case Do::PLATFORM_DOWN:
		world.platform_down(time_us(event.b));
		break;
	case Do::CONFIGURE:
		world.configure();
		break;
	case Do::OLD_CONFIG:
		world.push_old(node, event.b % 2);
		break;
	case Do::RESTART:
		world.node_restart(node);
		break;
	case Do::DRAIN:
		world.drain(node);
		break;
	}
	world.check();
}

model::Tally tally;

/* The name of the invariant that a sequence of events violates, or nothing. */
std::string violated(uint64_t seed, int nodes, const std::vector<Event> &events, Fault fault)
{
	try {
		World world(seed, nodes, fault);

		for (auto &event : events)
			apply(world, event);
		world.settle();
		if (fault == Fault::NONE)
			tally.add(world.tally());
	} catch (const model::Violation &violation) {
		return violation.what();
	}
	return "";
}

rc::Gen<std::vector<Event>> events_gen()
{
	return rc::gen::scale(1.2, rc::gen::container<std::vector<Event>>(event_gen()));
}

bool check_nodes()
{
	return rc::check("proxies keep their promises whatever their surroundings do", [] {
		auto seed = *rc::gen::inRange<uint64_t>(0, 1000);
		auto nodes = *rc::gen::inRange(1, 4);
		auto events = *events_gen();

		RC_ASSERT(violated(seed, nodes, events, Fault::NONE) == "");
	});
}

/* Guards against a property that holds because nothing happens. */
bool tally_complete()
{
	std::printf("requests: %llu ran, %llu not run, %llu unknown, %llu replayed, %llu reads on "
		    "replicas, %llu commits; %llu promotions, %llu ends of a drain\n",
		    (unsigned long long)tally.ran, (unsigned long long)tally.not_run,
		    (unsigned long long)tally.unknown, (unsigned long long)tally.replayed,
		    (unsigned long long)tally.replica_reads, (unsigned long long)tally.committed,
		    (unsigned long long)tally.promotions, (unsigned long long)tally.stops);
	return tally.complete();
}

/* Whether a proxy whose adapter leaves out a rule violates this invariant. */
bool check_fault(Fault fault, const char *name, const char *invariant)
{
	bool found = false;
	std::string other;

	/* A fault is found once; what follows would only shrink it. */
	rc::check(name, [&] {
		auto seed = *rc::gen::inRange<uint64_t>(0, 1000);
		auto nodes = *rc::gen::inRange(1, 4);
		auto events = *events_gen();

		if (found)
			return;
		std::string what = violated(seed, nodes, events, fault);

		found = what.compare(0, strlen(invariant), invariant) == 0;
		if (!found && !what.empty())
			other = what;
	});
	std::printf("%s: %s%s%s\n", name, found ? "found" : "NOT FOUND",
		    other.empty() ? "" : ", before it ", other.c_str());
	return found;
}

} // namespace

int main()
{
	static const struct {
		Fault fault;
		const char *name;
		const char *invariant;
	} faults[] = {
		{Fault::MIN_REMOVED, "reads without their session's mark", "SESSION"},
		{Fault::STATE_OUTDATED, "reads of an older state than told", "SESSION"},
		{Fault::STATE_OUTDATED, "reads of an older state than told", "STRONG"},
		{Fault::STATE_OUTDATED, "reads of an older state than told", "AGE"},
		{Fault::FOREIGN_RESULTS, "another request's results", "ROWS"},
		{Fault::DELETE_DROPPED, "a connection in doubt lent again", "MIXED"},
		{Fault::CONNECTION_SHARED, "one connection lent twice", "BUSY"},
		{Fault::HAS_WITHOUT_ENTRY, "a position that is not held", "DURABLE"},
		{Fault::LOST_AS_NOT_SENT, "a lost answer told as not sent", "ONCE"},
		{Fault::LOST_AS_NOT_SENT, "a lost answer told as not sent", "NOT_RUN"},
		{Fault::KEY_ROW_FORGOTTEN, "a key table without its constraint", "ONCE"},
		{Fault::REPLY_DROPPED, "a request without a reply", "REPLY"},
		{Fault::REPLY_TWICE, "a request with two replies", "REPLY"},
		{Fault::DRAIN_SWALLOWED, "a drain that does not begin", "DRAIN"},
		{Fault::DRAIN_CUTS_OFF, "a drain that ends at once", "DRAIN"},
		{Fault::OLD_REVISION, "an old configuration taken", "REVISION"},
		{Fault::TRACE_REMOVED, "a run without its trace", "TRACE"},
	};
	bool ok = check_nodes() && tally_complete();

	std::puts("The following faults must be found:");
	for (auto &fault : faults)
		ok = check_fault(fault.fault, fault.name, fault.invariant) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
