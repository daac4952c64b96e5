#include "node_model.h"

#include <rapidcheck.h>

#include <ostream>

using model::CallOutcome;
using model::CallPlan;
using model::Defect;
using model::RequestKind;
using model::World;

namespace
{

enum class Action {
	ADVANCE,
	READ,
	WRITE,
	RESEND_WRITE,
	BEGIN,
	STATEMENT,
	COMMIT,
	ROLLBACK,
	PLAN_ANSWER,
	CRASH,
	FREEZE,
	PAUSE_REPLICATION,
	DISCONNECT,
	LEAVE,
	LOSE_PRIMARY,
	PARTITION,
	READ_OLD_PRIMARY,
	RESTART_REPLICAS,
	LOSE_ANSWER,
	PLATFORM_DOWN,
	CONFIGURE,
	PUSH_OLD_CONFIG,
	RESTART,
	DRAIN
};

const char *const action_names[] = {"advance",
				    "read",
				    "write",
				    "resend_write",
				    "begin",
				    "statement",
				    "commit",
				    "rollback",
				    "plan_answer",
				    "crash",
				    "freeze",
				    "pause",
				    "cut",
				    "leave",
				    "lose_primary",
				    "partition",
				    "read_old_primary",
				    "restart_replicas",
				    "lose_answer",
				    "platform_down",
				    "configure",
				    "push_old_config",
				    "restart",
				    "drain"};

/* An event of a case; the numbers select node, session, endpoint, duration or variant. */
struct Event {
	Action action;
	int a;
	int b;
	int c;
};

std::ostream &operator<<(std::ostream &out, const Event &event)
{
	return out << action_names[(int)event.action] << ' ' << event.a << ' ' << event.b << ' '
		   << event.c;
}

rc::Gen<Event> event_gen()
{
	auto action = rc::gen::weightedElement<Action>({
		{14, Action::ADVANCE},
		{9, Action::READ},
		{9, Action::WRITE},
		{4, Action::RESEND_WRITE},
		{4, Action::BEGIN},
		{5, Action::STATEMENT},
		{4, Action::COMMIT},
		{1, Action::ROLLBACK},
		{7, Action::PLAN_ANSWER},
		{1, Action::CRASH},
		{1, Action::FREEZE},
		{2, Action::PAUSE_REPLICATION},
		{2, Action::DISCONNECT},
		{1, Action::LEAVE},
		{2, Action::LOSE_PRIMARY},
		{2, Action::PARTITION},
		{2, Action::READ_OLD_PRIMARY},
		{2, Action::RESTART_REPLICAS},
		{2, Action::LOSE_ANSWER},
		{1, Action::PLATFORM_DOWN},
		{1, Action::CONFIGURE},
		{1, Action::PUSH_OLD_CONFIG},
		{1, Action::RESTART},
		{1, Action::DRAIN},
	});
	auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 24));

	return rc::gen::apply(
		[](Action chosen, int a, int b, int c) {
			return Event{chosen, a, b, c};
		},
		action, number, number, number);
}

uint64_t duration_us(int number)
{
	return (uint64_t)(1 + number) * 120 * BC_US_PER_MS;
}

void plan_answer(World &world, const Event &event)
{
	CallPlan plan;

	plan.outcome = (CallOutcome)(event.b % model::CALL_OUTCOMES);
	if (plan.outcome == CallOutcome::DELAYED)
		plan.arrive_us = (uint64_t)(event.c % 8) * 300 * BC_US_PER_MS;
	plan.answer_us = (uint64_t)(event.c % 5) * 40 * BC_US_PER_MS;
	world.plan_run(event.a % 4 == 3 || event.a % 4 == 2 ? std::max(world.primary(), 0)
							    : event.a % model::ENDPOINTS,
		       plan);
}

/* Fails the primary after a write that the replicas may not have received. */
void lose_primary(World &world, const Event &event)
{
	int primary = std::max(world.primary(), 0);

	for (int i = 0; i < model::ENDPOINTS; i++)
		if (i != primary)
			world.pause_replication(i, (uint64_t)(event.b % 8) * 200 * BC_US_PER_MS);
	world.write(event.a % model::SESSIONS, event.a % world.nodes(), event.c % 2,
		    event.c % 3 == 0, false);
	world.advance(100 * BC_US_PER_MS);
	if (event.c % 4 < 2)
		world.crash(primary, duration_us(event.c));
	else
		world.freeze(primary, duration_us(event.c));
	world.advance(duration_us(event.b));
}

/* A session writes at a new primary and reads through a node that still uses the old one. */
void read_old_primary(World &world, const Event &event)
{
	int session = event.b % model::SESSIONS;
	int primary = std::max(world.primary(), 0);

	world.partition(1U << primary | 1U << 3, duration_us(event.c) + 2 * BC_US_PER_S);
	world.advance(1600 * BC_US_PER_MS);
	world.write(session, world.nodes() - 1, false, false, false);
	world.advance((uint64_t)(1 + event.a % 10) * 40 * BC_US_PER_MS);
	world.read(session, 0, event.c % 4 == 1, event.c % 4 == 2 ? event.b * 50 : -1);
	world.advance(200 * BC_US_PER_MS);
}

/* The replicas restart between two probes, and a session reads its own write meanwhile. */
void restart_replicas(World &world, const Event &event)
{
	int session = event.b % model::SESSIONS;
	int node = event.a % world.nodes();

	world.write(session, node, false, false, false);
	world.advance((uint64_t)(8 + event.c) * model::STEP_US);
	for (int i = 0; i < model::ENDPOINTS; i++)
		if (i != world.primary())
			world.crash(i, model::STEP_US);
	world.advance(2 * model::STEP_US);
	world.read(session, node, false, -1);
	world.advance(100 * BC_US_PER_MS);
}

/* An answer in a keyed write's transaction is lost or wrong; then a request needs a connection. */
void lose_answer(World &world, const Event &event)
{
	int node = event.a % world.nodes();
	CallPlan plan;

	plan.outcome = event.c % 2 ? CallOutcome::LOST_AFTER_RUN : CallOutcome::WRONG_REQUEST_ID;
	world.plan_run(std::max(world.primary(), 0), plan);
	world.write(event.b % model::SESSIONS, node, true, false, false);
	world.advance((uint64_t)(2 + event.c % 4) * model::STEP_US);
	world.write((event.b + 1) % model::SESSIONS, node, event.b % 2, false, false);
	world.advance((uint64_t)(1 + event.b) * model::STEP_US);
}

void apply(World &world, const Event &event)
{
	int node = event.a % world.nodes();
	int session = event.b % model::SESSIONS;
	int endpoint = event.a % model::ENDPOINTS;

	switch (event.action) {
	case Action::ADVANCE:
		world.advance((uint64_t)(1 + event.a % 12) * 40 * BC_US_PER_MS);
		break;
	case Action::READ:
		world.read(session, node, event.c % 4 == 1, event.c % 4 == 2 ? event.c * 50 : -1);
		break;
	case Action::WRITE:
		world.write(session, node, event.c % 3 == 1, event.c % 3 == 2, event.c % 8 == 7);
		break;
	case Action::RESEND_WRITE:
		world.resend_write(event.b % 3, node);
		break;
	case Action::BEGIN:
		world.transaction_begin(session, node);
		break;
	case Action::STATEMENT:
		world.transaction_continue(event.b, RequestKind::STATEMENT, event.c % 8 == 7);
		break;
	case Action::COMMIT:
		world.transaction_continue(event.b, RequestKind::COMMIT, false);
		break;
	case Action::ROLLBACK:
		world.transaction_continue(event.b, RequestKind::ROLLBACK, false);
		break;
	case Action::PLAN_ANSWER:
		plan_answer(world, event);
		break;
	case Action::CRASH:
		world.crash(endpoint, duration_us(event.b));
		break;
	case Action::FREEZE:
		world.freeze(endpoint, duration_us(event.b));
		break;
	case Action::PAUSE_REPLICATION:
		world.pause_replication(endpoint, duration_us(event.b));
		break;
	case Action::DISCONNECT:
		world.disconnect(event.b, endpoint, duration_us(event.c), event.c % 2);
		break;
	case Action::LEAVE:
		world.leave(endpoint, duration_us(event.b));
		break;
	case Action::LOSE_PRIMARY:
		lose_primary(world, event);
		break;
	case Action::PARTITION:
		world.partition((unsigned)(event.a * 24 + event.b) % 64, duration_us(event.c));
		break;
	case Action::READ_OLD_PRIMARY:
		read_old_primary(world, event);
		break;
	case Action::RESTART_REPLICAS:
		restart_replicas(world, event);
		break;
	case Action::LOSE_ANSWER:
		lose_answer(world, event);
		break;
	case Action::PLATFORM_DOWN:
		world.platform_down(duration_us(event.b));
		break;
	case Action::CONFIGURE:
		world.configure();
		break;
	case Action::PUSH_OLD_CONFIG:
		world.push_old_config(node, event.b % 2);
		break;
	case Action::RESTART:
		world.node_restart(node);
		break;
	case Action::DRAIN:
		world.drain(node);
		break;
	}
	world.check();
}

model::Tally tally;

/* Runs a case; returns the violation, which begins with the invariant's name, or an empty text. */
std::string run_case(uint64_t seed, int nodes, const std::vector<Event> &events, Defect defect)
{
	try {
		World world(seed, nodes, defect);

		for (auto &event : events)
			apply(world, event);
		world.recover_and_check();
		if (defect == Defect::NONE)
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
	return rc::check("the invariants hold whatever endpoints, network and platform do", [] {
		auto seed = *rc::gen::inRange<uint64_t>(0, 1000);
		auto nodes = *rc::gen::inRange(1, 4);
		auto events = *events_gen();

		RC_ASSERT(run_case(seed, nodes, events, Defect::NONE) == "");
	});
}

/* Prints the counts; returns false if some outcome never occurred, so that nothing tested it. */
bool tally_complete()
{
	std::printf("requests: %llu ran, %llu not run, %llu unknown, %llu replayed, %llu reads on "
		    "replicas, %llu commits; %llu promotions, %llu drains ended\n",
		    (unsigned long long)tally.ran, (unsigned long long)tally.not_run,
		    (unsigned long long)tally.unknown, (unsigned long long)tally.replayed,
		    (unsigned long long)tally.replica_reads, (unsigned long long)tally.committed,
		    (unsigned long long)tally.promotions, (unsigned long long)tally.ended_drains);
	return tally.complete();
}

/* Whether some case with this defect violates the invariant that should detect it. */
bool defect_detected(Defect defect, const char *name, const char *invariant)
{
	bool found = false;
	std::string other;

	/* One detection is enough: later cases are skipped, and nothing is shrunk. */
	rc::check(name, [&] {
		auto seed = *rc::gen::inRange<uint64_t>(0, 1000);
		auto nodes = *rc::gen::inRange(1, 4);
		auto events = *events_gen();

		if (found)
			return;
		std::string what = run_case(seed, nodes, events, defect);

		found = what.compare(0, strlen(invariant), invariant) == 0;
		if (!found && !what.empty())
			other = what;
	});
	std::printf("%s: %s%s%s\n", name, found ? "detected" : "NOT DETECTED",
		    other.empty() ? "" : "; in an earlier case: ", other.c_str());
	return found;
}

} // namespace

int main()
{
	static const struct {
		Defect defect;
		const char *name;
		const char *invariant;
	} defects[] = {
		{Defect::MIN_POSITION_REMOVED, "reads without the session's position", "SESSION"},
		{Defect::STALE_READS, "reads of an older state than reported", "SESSION"},
		{Defect::STALE_READS, "reads of an older state than reported", "STRONG"},
		{Defect::STALE_READS, "reads of an older state than reported", "AGE"},
		{Defect::RESULTS_OF_OTHER_REQUEST, "results of another request", "ROWS"},
		{Defect::DELETE_DROPPED, "reuse of a connection after a lost answer", "MIXED"},
		{Defect::CONNECTION_SHARED, "one connection for two transactions", "BUSY"},
		{Defect::HAS_ALWAYS_TRUE, "a position reported without its entry", "DURABLE"},
		{Defect::LOST_REPORTED_NOT_SENT, "a lost answer reported as not sent", "ONCE"},
		{Defect::LOST_REPORTED_NOT_SENT, "a lost answer reported as not sent", "NOT_RUN"},
		{Defect::KEY_CONSTRAINT_MISSING, "a key table without its unique constraint",
		 "ONCE"},
		{Defect::REPLY_DROPPED, "a request without a reply", "REPLY"},
		{Defect::REPLY_DUPLICATED, "a request with two replies", "REPLY"},
		{Defect::DRAIN_IGNORED, "a drain that never begins", "DRAIN"},
		{Defect::DRAIN_IMMEDIATE, "a drain that ends at once", "DRAIN"},
		{Defect::OLD_REVISION_APPLIED, "an old configuration applied", "REVISION"},
		{Defect::TRACE_REMOVED, "a run without its trace id", "TRACE"},
	};
	bool ok = check_nodes() && tally_complete();

	std::puts("The following defects must be detected:");
	for (auto &defect : defects)
		ok = defect_detected(defect.defect, defect.name, defect.invariant) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
