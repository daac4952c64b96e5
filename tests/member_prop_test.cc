#include <rapidcheck.h>

#include "wire/wire.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

namespace
{

constexpr uint64_t kUsPerMs = BC_US_PER_MS;
constexpr uint64_t kFaultsEndUs = 40 * BC_US_PER_S;
constexpr uint64_t kDetectionUs = 13 * BC_US_PER_S; // target: docs/design.md, section 1
constexpr uint64_t kAgreementUs = 30 * BC_US_PER_S;
constexpr uint64_t kTickUs = 50 * kUsPerMs;

enum Kind { LOSS, DELAY, DUPLICATE, PARTITION, PAUSE, CRASH, RESTART, LEAVE, KINDS };

struct Fault {
	uint32_t kind;
	uint32_t node;
	uint32_t at_ms;
	uint32_t length_ms;
	uint32_t amount; // percent, or the set of nodes on one side of a partition
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
	static const char *const names[] = {"loss",  "delay", "duplicate", "partition",
					    "pause", "crash", "restart",   "leave"};

	return out << names[fault.kind] << "{node " << fault.node << " at " << fault.at_ms
		   << " ms for " << fault.length_ms << " ms, " << fault.amount << "}";
}

// Protocol defects that the model simulates by changing or dropping messages, to show that the
// checks detect them.
enum class Defect { None, NoRefutation, NoIncarnationOrder, NoPingsToDead };

class Model;

// Counters summed over all models. Each must end above 0: a property that holds under faults which
// never occur shows nothing.
std::map<std::pair<const char *, const char *>, uint64_t> totals = {
	{{"bulrushcleat_member_changes_total", "state=\"suspect\""}, 0},
	{{"bulrushcleat_member_changes_total", "state=\"dead\""}, 0},
	{{"bulrushcleat_member_changes_total", "state=\"alive\""}, 0},
	{{"bulrushcleat_member_refutations_total", nullptr}, 0},
	{{"bulrushcleat_member_stalls_total", nullptr}, 0},
};

struct Node {
	Model *model;
	uint32_t index;
	bc_ctx *ctx = nullptr;
	mem_state *state = nullptr;
	uint64_t incarnation = 0; // given to mem_create
	uint64_t paused_until = 0;
	uint64_t stopped_at = 0;
	bool leaving = false;
	std::map<uint32_t, std::pair<uint64_t, int>> seen; // incarnation and health of others
};

struct Event {
	uint64_t at;
	uint64_t order;
	std::function<void()> run;
	bool operator<(const Event &other) const
	{
		return at != other.at ? at > other.at : order > other.order;
	}
};

std::string id_of(uint32_t node)
{
	return "vm-" + std::to_string(node);
}

class Model
{
      public:
	Model(uint32_t count, uint64_t seed, bool clock, Defect defect)
	    : nodes(count), random(seed), clock(clock), defect(defect)
	{
		for (uint32_t i = 0; i < count; i++) {
			nodes[i].model = this;
			nodes[i].index = i;
			start(nodes[i]);
			schedule(i * 7 * kUsPerMs, [this, i] { tick(nodes[i]); });
		}
	}

	~Model()
	{
		for (auto &node : nodes)
			stop(node);
	}

	void add_fault(const Fault &fault)
	{
		uint64_t from = fault.at_ms * kUsPerMs;
		uint64_t until = std::min(kFaultsEndUs, from + fault.length_ms * kUsPerMs);
		Node &node = nodes[fault.node % nodes.size()];

		switch (fault.kind) {
		case PAUSE:
			schedule(from, [&node, until] {
				node.paused_until = std::max(node.paused_until, until);
			});
			break;
		case CRASH:
			schedule(from, [this, &node] { stop(node); });
			break;
		case RESTART:
			schedule(from, [this, &node] { stop(node); });
			schedule(until, [this, &node] { start(node); });
			break;
		case LEAVE:
			schedule(from, [this, &node] { leave(node); });
			break;
		default:
			schedule(from, [this, fault] { active.push_back(&keep_fault(fault)); });
			schedule(until, [this, fault] { end_fault(fault); });
		}
	}

	void run_until(uint64_t until)
	{
		while (!events.empty() && events.top().at <= until && violation.empty()) {
			Event event = events.top();

			events.pop();
			now = event.at;
			event.run();
		}
		now = until;
	}

	// Checks that each running node sees every node that stopped at least kDetectionUs ago as
	// dead, or does not know it.
	void check_dead_detected()
	{
		for (auto &observer : nodes)
			for (auto &node : nodes) {
				const mem_update *view = find(observer, node);

				if (!node.state && now - node.stopped_at >= kDetectionUs && view &&
				    view->health != MEM_DEAD)
					fail(observer, node, "has not detected the death of", view);
			}
	}

	// Checks that all views agree with the actual state, and that each rank of a duty has
	// exactly one holder.
	void check_agreement()
	{
		uint32_t running = 0;
		uint32_t live = 0;

		for (auto &node : nodes) {
			running += node.state != nullptr;
			live += node.state && !node.leaving;
		}
		for (auto &observer : nodes) {
			if (observer.state && mem_live_count(observer.state) != live)
				violation = id_of(observer.index) + " has a wrong live count";
			for (auto &node : nodes)
				check_view(observer, node);
		}
		for (uint32_t i = 0; i < 10 && violation.empty(); i++)
			check_duty("duty-" + std::to_string(i), live);
	}

	// Checks that neither an older incarnation nor a better health of the same incarnation
	// replaces the known state.
	void on_changed(Node &observer)
	{
		for (auto &node : nodes) {
			const mem_update *view = observer.state ? find(observer, node) : nullptr;
			auto known = observer.seen.find(node.index);

			if (!view) {
				observer.seen.erase(node.index);
				continue;
			}
			std::pair<uint64_t, int> next(view->incarnation, view->health);
			if (known != observer.seen.end() && next < known->second)
				fail(observer, node, "goes back to an older state of", view);
			observer.seen[node.index] = next;
		}
	}

	void on_send(Node &from, const char *to_id, const mem_message &message)
	{
		Node &to = nodes[std::stoul(to_id + 3)];
		mem_message copy = through_wire(from, message);

		if (defect == Defect::NoRefutation)
			for (uint32_t i = 0; i < copy.update_count; i++)
				if (id_of(from.index) == copy.updates[i].id)
					copy.updates[i].incarnation = from.incarnation;
		if (defect == Defect::NoPingsToDead && copy.kind == MEM_PING &&
		    mem_find(from.state, to_id)->health == MEM_DEAD)
			return;
		uint64_t delay = kUsPerMs + random() % (10 * kUsPerMs);
		uint32_t copies = 1;
		for (const Fault *fault : active) {
			bool hit = random() % 100 < fault->amount % 101;

			if (fault->kind == PARTITION &&
			    (fault->amount >> from.index & 1) != (fault->amount >> to.index & 1))
				return;
			if (fault->kind == LOSS && hit)
				return;
			if (fault->kind == DELAY)
				delay += random() % (fault->amount % 101 * 10 * kUsPerMs + 1);
			if (fault->kind == DUPLICATE && hit)
				copies++;
		}
		auto shared = std::make_shared<mem_message>(copy);
		for (uint32_t i = 0; i < copies; i++)
			schedule(now + delay * (i + 1),
				 [this, &from, &to, shared] { deliver(from, to, shared); });
	}

	std::string violation;

      private:
	void schedule(uint64_t time, std::function<void()> run)
	{
		events.push({time, order++, std::move(run)});
	}

	// Encodes and decodes a message as its receiver would get it. A message that the wire
	// format refuses is a violation.
	mem_message through_wire(Node &from, const mem_message &message)
	{
		static wire_message in, out;
		uint8_t *frame = nullptr;
		size_t bytes = 0;

		in.kind = WIRE_MEMBER;
		in.member = message;
		if (wire_pack(from.ctx, &in, &frame, &bytes) != BC_OK ||
		    wire_unpack(from.ctx, frame + 4, bytes - 4, &out) != BC_OK)
			violation = "the wire format refuses a message: " +
				    std::string(bc_last_message(from.ctx));
		free(frame);
		return out.member;
	}

	const Fault &keep_fault(const Fault &fault)
	{
		faults.push_back(std::make_unique<Fault>(fault));
		return *faults.back();
	}

	void end_fault(const Fault &fault)
	{
		auto same = [&fault](const Fault *other) {
			return other->kind == fault.kind && other->at_ms == fault.at_ms &&
			       other->amount == fault.amount;
		};

		active.erase(std::remove_if(active.begin(), active.end(), same), active.end());
	}

	static mem_update update_of(uint32_t node, uint64_t incarnation)
	{
		mem_update update = {};

		snprintf(update.id, sizeof(update.id), "%s", id_of(node).c_str());
		snprintf(update.address, sizeof(update.address), "10.0.0.%u:7000", node);
		snprintf(update.domain, sizeof(update.domain), "domain-%u", node % 3);
		snprintf(update.region, sizeof(update.region), "region");
		update.incarnation = incarnation;
		return update;
	}

	// Starts a node. Without a clock, a restarted node has the same incarnation as before.
	void start(Node &node)
	{
		static const mem_ops ops = {
			[](void *data, const char *id, const char *, const mem_message *message) {
				Node *from = static_cast<Node *>(data);
				from->model->on_send(*from, id, *message);
			},
			[](void *data) {
				Node *node = static_cast<Node *>(data);
				node->model->on_changed(*node);
			}};

		if (node.state)
			return;
		node.seen.clear();
		node.leaving = false;
		node.incarnation = clock ? now / kUsPerMs + 1 : 1;
		node.ctx = bc_ctx_create(random());
		mem_update self = update_of(node.index, node.incarnation);
		node.state = mem_create(node.ctx, &self, &ops, &node);
		for (uint32_t i = 0; i < nodes.size(); i++) {
			mem_update other = update_of(i, 0);
			mem_add(node.state, &other, now);
		}
	}

	void stop(Node &node)
	{
		if (!node.state)
			return;
		for (auto &total : totals)
			total.second +=
				bc_counter_value(node.ctx, total.first.first, total.first.second);
		mem_destroy(node.state);
		bc_ctx_destroy(node.ctx);
		node.state = nullptr;
		node.stopped_at = now;
	}

	void leave(Node &node)
	{
		if (!node.state || node.paused_until > now)
			return;
		node.leaving = true;
		mem_leave(node.state, now);
	}

	void tick(Node &node)
	{
		if (node.state && node.paused_until <= now)
			mem_tick(node.state, now);
		schedule(now + kTickUs, [this, &node] { tick(node); });
	}

	void deliver(Node &from, Node &to, const std::shared_ptr<mem_message> &message)
	{
		if (!to.state)
			return;
		if (to.paused_until > now) {
			schedule(to.paused_until,
				 [this, &from, &to, message] { deliver(from, to, message); });
			return;
		}
		mem_message copy = *message;
		for (uint32_t i = 0; defect == Defect::NoIncarnationOrder && i < copy.update_count;
		     i++) {
			const mem_update *known = mem_find(to.state, copy.updates[i].id);

			if (known && id_of(to.index) != copy.updates[i].id &&
			    copy.updates[i].incarnation < known->incarnation)
				copy.updates[i].incarnation = known->incarnation + 1;
		}
		mem_receive(to.state, id_of(from.index).c_str(), &copy, now);
	}

	const mem_update *find(const Node &observer, const Node &node) const
	{
		return observer.state ? mem_find(observer.state, id_of(node.index).c_str())
				      : nullptr;
	}

	void fail(const Node &observer, const Node &node, const char *what, const mem_update *view)
	{
		std::ostringstream text;

		text << "at " << now / kUsPerMs << " ms " << id_of(observer.index) << " " << what
		     << " " << id_of(node.index) << ": health "
		     << (view ? std::to_string(view->health) : "unknown") << ", incarnation "
		     << (view ? view->incarnation : 0);
		violation = text.str();
	}

	void check_view(const Node &observer, const Node &node)
	{
		const mem_update *view = find(observer, node);
		const mem_update *own = find(node, node);

		if (!observer.state)
			return;
		if (!own && view && view->health != MEM_DEAD)
			fail(observer, node, "does not see as dead", view);
		if (own && (!view || view->health != MEM_ALIVE ||
			    view->incarnation != own->incarnation || view->leaving != own->leaving))
			fail(observer, node, "has a wrong view of", view);
	}

	void check_duty(const std::string &duty, uint32_t live)
	{
		uint32_t holders[MEM_DUTY_RANKS] = {};
		std::vector<uint32_t> domains(3);

		for (auto &node : nodes) {
			int32_t rank = node.state ? mem_duty_rank(node.state, duty.c_str(), nullptr)
						  : MEM_NO_RANK;

			if (rank == MEM_NO_RANK)
				continue;
			holders[rank]++;
			domains[node.index % 3]++;
		}
		for (uint32_t rank = 0; rank < MEM_DUTY_RANKS; rank++)
			if (holders[rank] != (rank < live ? 1 : 0))
				violation = duty + " has " + std::to_string(holders[rank]) +
					    " holders of rank " + std::to_string(rank);
		std::vector<uint32_t> live_domains(3);
		for (auto &node : nodes)
			live_domains[node.index % 3] += node.state && !node.leaving;
		bool enough = std::count(live_domains.begin(), live_domains.end(), 0U) == 0;
		if (enough && std::count(domains.begin(), domains.end(), 1U) != 3)
			violation = duty + " has two ranks in one failure domain";
	}

	std::vector<Node> nodes;
	std::mt19937_64 random;
	bool clock;
	Defect defect;
	uint64_t now = 0;
	uint64_t order = 0;
	std::priority_queue<Event> events;
	std::vector<const Fault *> active;
	std::vector<std::unique_ptr<Fault>> faults;
};

// Draws from the whole range also in the first cases, in which inRange alone stays near the lower
// bound.
rc::Gen<uint32_t> uniform(uint32_t from, uint32_t to)
{
	return rc::gen::resize(100, rc::gen::inRange<uint32_t>(from, to));
}

rc::Gen<Fault> fault_gen()
{
	return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, uniform(0, KINDS)),
				     rc::gen::set(&Fault::node, uniform(0, 9)),
				     rc::gen::set(&Fault::at_ms, uniform(0, 35000)),
				     rc::gen::set(&Fault::length_ms, uniform(0, 20000)),
				     rc::gen::set(&Fault::amount, uniform(0, 512)));
}

std::function<void()> faults_property(Defect defect)
{
	return [defect] {
		auto count = *uniform(3, 10);
		auto seed = *rc::gen::arbitrary<uint64_t>();
		auto clock = *rc::gen::arbitrary<bool>();
		auto length = *uniform(0, 9);
		auto faults = *rc::gen::container<std::vector<Fault>>(length, fault_gen());
		Model model(count, seed, clock, defect);

		for (const auto &fault : faults)
			model.add_fault(fault);
		model.run_until(kFaultsEndUs + kDetectionUs);
		if (model.violation.empty())
			model.check_dead_detected();
		model.run_until(kFaultsEndUs + kAgreementUs);
		if (model.violation.empty())
			model.check_agreement();
		if (!model.violation.empty())
			RC_FAIL(model.violation);
	};
}

// Guards against a crash in a healthy network that is detected later than a failover may take.
void crash_property()
{
	auto count = *uniform(3, 10);
	auto seed = *rc::gen::arbitrary<uint64_t>();
	auto crash = Fault{CRASH, *uniform(0, 9), *uniform(0, 20000), 0, 0};
	Model model(count, seed, true, Defect::None);

	model.add_fault(crash);
	model.run_until(crash.at_ms * kUsPerMs + kDetectionUs);
	model.check_dead_detected();
	if (model.violation.empty())
		model.check_agreement();
	if (!model.violation.empty())
		RC_FAIL(model.violation);
}

// Runs the property without shrinking and returns whether it fails, as it must with a defect.
bool fails_with_defect(const char *rule, Defect defect)
{
	rc::detail::TestMetadata metadata{rule, rule};
	rc::detail::TestParams params = rc::detail::configuration().testParams;

	params.disableShrinking = true;
	auto result = rc::detail::checkTestable(faults_property(defect), metadata, params);
	rc::detail::FailureResult failure;
	if (!result.match(failure)) {
		printf("NOT FOUND: the model without %s passes\n", rule);
		return false;
	}
	printf("found: the model without %s fails in case %d: %s\n", rule, failure.numSuccess + 1,
	       failure.description.c_str());
	return true;
}

} // namespace

int main()
{
	bool ok = rc::check("views agree after any faults, and never go back",
			    faults_property(Defect::None));

	ok &= rc::check("a crash alone is seen by all within 13 s", crash_property);
	for (const auto &total : totals) {
		printf("%s{%s} %llu\n", total.first.first,
		       total.first.second ? total.first.second : "",
		       static_cast<unsigned long long>(total.second));
		ok &= total.second > 0;
	}
	ok &= fails_with_defect("refutation", Defect::NoRefutation);
	ok &= fails_with_defect("the order of incarnations", Defect::NoIncarnationOrder);
	ok &= fails_with_defect("pings to the dead", Defect::NoPingsToDead);
	return ok ? 0 : 1;
}
