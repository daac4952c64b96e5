#include "failover/failover.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MS BC_US_PER_MS
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define MEMBERS 3
#define CALLS_MAX 64

static const char *const ids[] = {"e0", "e1", "e2"};

/*
 * Records callbacks as text: "fence2>e0" for an order of term 2 to e0, "follow2>e0=e1" for an order
 * to e0 to follow e1, and "e1=2,600ms" for a completed promotion with its outage time.
 */
struct record {
	char text[1024];
	struct {
		uint64_t id;
		char endpoint[8];
	} calls[CALLS_MAX];
	size_t count;
};

static void record_add(struct record *record, const char *text)
{
	size_t used = strlen(record->text);

	snprintf(record->text + used, sizeof(record->text) - used, "%s%s", used ? " " : "", text);
}

static void on_call(void *data, const struct fov_call *call)
{
	static const char *const names[] = {"fence", "promote", "follow", "step_down", "position"};
	struct record *record = data;
	char text[64];

	snprintf(text, sizeof(text), "%s%llu>%s%s%s", names[call->order],
		 (unsigned long long)call->term, call->endpoint, call->primary ? "=" : "",
		 call->primary ? call->primary : "");
	record_add(record, text);
	if (call->order == FOV_FOLLOW)
		return;
	record->calls[record->count % CALLS_MAX].id = call->id;
	snprintf(record->calls[record->count++ % CALLS_MAX].endpoint, 8, "%s", call->endpoint);
}

static void on_promoted(void *data, const char *database, uint64_t term, const char *primary,
			uint64_t gap_us)
{
	char text[64];

	(void)database;
	snprintf(text, sizeof(text), "%s=%llu,%llums", primary, (unsigned long long)term,
		 (unsigned long long)(gap_us / MS));
	record_add(data, text);
}

static const struct fov_ops ops = {.call = on_call, .promoted = on_promoted};

/*
 * PRIMARY, REPLICA: the answer to a probe: term `a`, promised term `b`, log position `c`, last
 * contact with the primary 50 ms ago.
 * REPLICA_WITHOUT_CONTACT: a replica's answer, last contact 700 ms ago. NO_ANSWER: a probe fails.
 * GRANT, REFUSE: the answer to the last order to that endpoint. TICK: runs for `a` ms. PEERS: `a`
 * of `b` live proxies cannot reach the primary. LEAVING: the endpoint is leaving if `a` is not 0.
 */
enum step_kind {
	END,
	PRIMARY,
	REPLICA,
	REPLICA_WITHOUT_CONTACT,
	NO_ANSWER,
	GRANT,
	REFUSE,
	TICK,
	PEERS,
	LEAVING,
};

struct step {
	enum step_kind kind;
	size_t endpoint;
	uint64_t a;
	uint64_t b;
	uint64_t c;
	const char *expected;
};

struct fixture {
	struct fov_state *state;
	struct record record;
	uint64_t now_us;
	struct step last_probes[MEMBERS]; /* repeated by TICK every 100 ms, like real probes */
};

static void answer(struct fixture *fixture, const struct step *step)
{
	struct rte_row row = {.term = step->a,
			      .promised = step->b,
			      .log = {step->a, step->c},
			      .is_primary = step->a == step->endpoint + 1};
	size_t i = fixture->record.count;

	snprintf(row.primary, sizeof(row.primary), "%s", ids[step->a - 1]);
	while (i > 0) {
		i--;
		if (strcmp(fixture->record.calls[i % CALLS_MAX].endpoint, ids[step->endpoint]) == 0)
			break;
	}
	fov_answer(fixture->state, fixture->record.calls[i % CALLS_MAX].id, step->kind == GRANT,
		   &row, fixture->now_us);
}

static void probe(struct fixture *fixture, const struct step *step)
{
	struct rte_row row = {.is_primary = step->kind == PRIMARY,
			      .term = step->a,
			      .promised = step->b,
			      .log = {step->a, step->c},
			      .contact_ms = step->kind == REPLICA_WITHOUT_CONTACT ? 700 : 50};

	/* Term 1 belongs to e0, term 2 to e1. */
	snprintf(row.primary, sizeof(row.primary), "%s", ids[step->a - 1]);
	fov_report(fixture->state, "db", ids[step->endpoint], step->kind == NO_ANSWER ? NULL : &row,
		   fixture->now_us, fixture->now_us);
}

static void run_step(struct fixture *fixture, const struct step *step)
{
	uint64_t end_us = fixture->now_us + step->a * MS;
	size_t i;

	switch (step->kind) {
	case GRANT:
	case REFUSE:
		answer(fixture, step);
		break;
	case TICK:
		while (fixture->now_us < end_us) {
			fixture->now_us += 20 * MS;
			for (i = 0; i < MEMBERS && fixture->now_us % (100 * MS) == 0; i++)
				if (fixture->last_probes[i].kind)
					probe(fixture, &fixture->last_probes[i]);
			fov_tick(fixture->state, fixture->now_us);
		}
		break;
	case PEERS:
		fov_peer_counts_set(fixture->state, "db", (uint32_t)step->a, (uint32_t)step->b);
		break;
	case LEAVING:
		fov_leaving_set(fixture->state, ids[step->endpoint], step->a != 0);
		break;
	default:
		fixture->last_probes[step->endpoint] = *step;
		probe(fixture, step);
		break;
	}
}

#define HEALTHY_GROUP                                                                              \
	{PRIMARY, 0, 1, 1, 9, ""}, {REPLICA, 1, 1, 1, 9, ""},                                      \
	{                                                                                          \
		REPLICA, 2, 1, 1, 8, ""                                                            \
	}
#define E0_FAILS                                                                                   \
	{NO_ANSWER, 0, 1, 0, 0, ""}, {REPLICA_WITHOUT_CONTACT, 1, 1, 1, 9, ""},                    \
	{                                                                                          \
		REPLICA_WITHOUT_CONTACT, 2, 1, 1, 8, ""                                            \
	}
#define FENCE_ALL_TERM_2 "fence2>e0 fence2>e1 fence2>e2"

/* Guards against missing, unnecessary, unsafe and repeated promotions. */
static void test_steps(void)
{
	static const struct {
		const char *name;
		int32_t rank;
		struct step steps[14];
	} cases[] = {
		{"healthy group", 0, {HEALTHY_GROUP, {TICK, 0, 20000, 0, 0, ""}}},
		{"nothing observed", 0, {{TICK, 0, 20000, 0, 0, ""}}},
		{"primary dies",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 580, 0, 0, ""},
		  {TICK, 0, 20, 0, 0, FENCE_ALL_TERM_2},
		  {GRANT, 2, 1, 2, 8, ""},
		  {GRANT, 1, 1, 2, 9, "promote2>e1"},
		  {GRANT, 1, 2, 2, 10, "follow2>e0=e1 follow2>e2=e1 e1=2,600ms"}}},
		{"rank delays",
		 2,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 1380, 0, 0, ""},
		  {TICK, 0, 20, 0, 0, FENCE_ALL_TERM_2}}},
		{"no rank", FOV_NO_RANK, {HEALTHY_GROUP, E0_FAILS, {TICK, 0, 20000, 0, 0, ""}}},
		{"only this proxy is cut off",
		 0,
		 {HEALTHY_GROUP,
		  {NO_ANSWER, 0, 1, 0, 0, ""},
		  {PEERS, 0, 1, 3, 0, ""},
		  {TICK, 0, 20000, 0, 0, ""}}},
		{"half of the proxies are cut off",
		 0,
		 {HEALTHY_GROUP,
		  {NO_ANSWER, 0, 1, 0, 0, ""},
		  {PEERS, 0, 2, 4, 0, ""},
		  {TICK, 0, 5000, 0, 0, ""},
		  {TICK, 0, 20, 0, 0, FENCE_ALL_TERM_2}}},
		{"a proxy that was cut off with one replica is back",
		 0,
		 {HEALTHY_GROUP,
		  {NO_ANSWER, 0, 1, 0, 0, ""},
		  {NO_ANSWER, 2, 1, 0, 0, ""},
		  {PEERS, 0, 1, 1, 0, ""},
		  {TICK, 0, 8000, 0, 0, ""},
		  {REPLICA, 2, 1, 1, 8, ""},
		  {TICK, 0, 100, 0, 0, ""},
		  {PRIMARY, 0, 1, 1, 9, ""},
		  {PEERS, 0, 0, 3, 0, ""},
		  {TICK, 0, 10000, 0, 0, ""}}},
		{"one of two replicas hears the primary",
		 0,
		 {HEALTHY_GROUP,
		  {NO_ANSWER, 0, 1, 0, 0, ""},
		  {REPLICA_WITHOUT_CONTACT, 1, 1, 1, 9, ""},
		  {TICK, 0, 20000, 0, 0, ""}}},
		{"no majority answers",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {NO_ANSWER, 2, 1, 0, 0, ""},
		  {TICK, 0, 20000, 0, 0, ""}}},
		{"one promise is no majority",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 600, 0, 0, FENCE_ALL_TERM_2},
		  {GRANT, 1, 1, 2, 9, ""},
		  {REFUSE, 2, 1, 1, 8, ""},
		  {TICK, 0, 480, 0, 0, ""}}},
		{"a retry asks for a greater term",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 600, 0, 0, FENCE_ALL_TERM_2},
		  {REFUSE, 1, 1, 4, 9, ""},
		  {REFUSE, 2, 1, 1, 8, ""},
		  {TICK, 0, 500, 0, 0, ""},
		  {TICK, 0, 220, 0, 0, "fence5>e0 fence5>e1 fence5>e2"}}},
		{"another proxy was faster",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 600, 0, 0, FENCE_ALL_TERM_2},
		  {PRIMARY, 1, 2, 2, 10, ""},
		  {GRANT, 2, 1, 2, 8, ""},
		  {REPLICA, 2, 2, 2, 10, ""},
		  {TICK, 0, 1000, 0, 0, ""}}},
		{"a lost answer to the promotion",
		 0,
		 {HEALTHY_GROUP,
		  E0_FAILS,
		  {TICK, 0, 600, 0, 0, FENCE_ALL_TERM_2},
		  {GRANT, 2, 1, 2, 8, ""},
		  {GRANT, 1, 1, 2, 9, "promote2>e1"},
		  {PRIMARY, 1, 2, 2, 10, "follow2>e0=e1 follow2>e2=e1 e1=2,600ms"}}},
		{"terms are compared before lengths",
		 0,
		 {HEALTHY_GROUP,
		  {PRIMARY, 1, 2, 2, 12, ""},
		  {REPLICA, 2, 2, 2, 11, ""},
		  {NO_ANSWER, 1, 2, 0, 0, ""},
		  {REPLICA_WITHOUT_CONTACT, 2, 2, 2, 11, ""},
		  {TICK, 0, 600, 0, 0, "follow2>e0=e1 follow2>e0=e1 fence3>e0 fence3>e1 fence3>e2"},
		  {GRANT, 0, 1, 3, 99, ""},
		  {GRANT, 2, 2, 3, 11, "promote3>e2"}}},
		{"fenced primary without a successor",
		 0,
		 {HEALTHY_GROUP,
		  {PRIMARY, 0, 1, 4, 9, ""},
		  {TICK, 0, 600, 0, 0, ""},
		  {TICK, 0, 100, 0, 0, "fence5>e0 fence5>e1 fence5>e2"}}},
		{"fenced majority without a primary",
		 0,
		 {HEALTHY_GROUP,
		  {REPLICA, 1, 1, 3, 9, ""},
		  {REPLICA, 2, 1, 3, 8, ""},
		  {TICK, 0, 600, 0, 0, ""},
		  {TICK, 0, 100, 0, 0, "fence4>e0 fence4>e1 fence4>e2"},
		  {GRANT, 0, 1, 4, 9, ""},
		  {GRANT, 1, 1, 4, 9, "promote4>e0"}}},
		{"one fenced replica is recovered later",
		 0,
		 {HEALTHY_GROUP,
		  {REPLICA, 1, 1, 3, 9, ""},
		  {TICK, 0, 5000, 0, 0, ""},
		  {TICK, 0, 100, 0, 0, "fence4>e0 fence4>e1 fence4>e2"}}},
		{"endpoint back with an older term",
		 0,
		 {{PRIMARY, 1, 2, 2, 10, ""},
		  {REPLICA, 2, 2, 2, 10, ""},
		  {PRIMARY, 0, 1, 1, 12, ""},
		  {TICK, 0, 20, 0, 0, "follow2>e0=e1"},
		  {TICK, 0, 400, 0, 0, ""},
		  {REPLICA, 0, 2, 2, 10, ""},
		  {TICK, 0, 5000, 0, 0, ""}}},
		{"planned hand-over",
		 0,
		 {HEALTHY_GROUP,
		  {LEAVING, 0, 1, 0, 0, ""},
		  {TICK, 0, 20, 0, 0, "position1>e1 position1>e2"},
		  {GRANT, 1, 1, 1, 9, "step_down1>e0"},
		  {GRANT, 0, 1, 1, 11, "position1>e1 position1>e2"},
		  {GRANT, 2, 1, 1, 11, FENCE_ALL_TERM_2},
		  {GRANT, 0, 1, 2, 11, ""},
		  {GRANT, 1, 1, 2, 10, ""},
		  {GRANT, 2, 1, 2, 11, "promote2>e2"}}},
		{"hand-over waits for a replica",
		 0,
		 {HEALTHY_GROUP,
		  {LEAVING, 0, 1, 0, 0, ""},
		  {TICK, 0, 20, 0, 0, "position1>e1 position1>e2"},
		  {REFUSE, 1, 1, 1, 8, ""},
		  {REFUSE, 2, 1, 1, 8, ""}}},
		{"no hand-over to a leaving endpoint",
		 0,
		 {HEALTHY_GROUP,
		  {LEAVING, 0, 1, 0, 0, ""},
		  {LEAVING, 1, 1, 0, 0, ""},
		  {LEAVING, 2, 1, 0, 0, ""},
		  {TICK, 0, 5000, 0, 0, ""}}},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;
	size_t k;

	for (i = 0; i < COUNT(cases); i++) {
		struct fixture fixture = {.now_us = 1000 * MS};

		fixture.state = fov_create(ctx, "p0.1", &ops, &fixture.record);
		fov_group_set(fixture.state, "db", ids, MEMBERS);
		fov_rank_set(fixture.state, "db", cases[i].rank);
		for (k = 0; k < COUNT(cases[i].steps) && cases[i].steps[k].kind; k++) {
			fixture.record.text[0] = '\0';
			run_step(&fixture, &cases[i].steps[k]);
			CU_ASSERT_STRING_EQUAL(fixture.record.text, cases[i].steps[k].expected);
			if (strcmp(fixture.record.text, cases[i].steps[k].expected) != 0)
				printf("\n  case %s, step %zu: \"%s\"\n", cases[i].name, k,
				       fixture.record.text);
		}
		fov_destroy(fixture.state);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against use of freed groups and calls when groups change during a promotion. */
static void test_group_changes(void)
{
	static const char *const others[] = {"e2", "e1", "e3"};
	static const struct step steps[] = {HEALTHY_GROUP, E0_FAILS, {TICK, 0, 600, 0, 0, ""}};
	struct fixture fixture = {.now_us = 1000 * MS};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	fixture.state = fov_create(ctx, "p0.1", &ops, &fixture.record);
	fov_leaving_set(fixture.state, "e3", true);
	fov_group_set(fixture.state, "db", ids, MEMBERS);
	fov_rank_set(fixture.state, "db", 0);
	for (i = 0; i < COUNT(steps); i++)
		run_step(&fixture, &steps[i]);
	CU_ASSERT_STRING_EQUAL(fixture.record.text, FENCE_ALL_TERM_2);
	CU_ASSERT(fov_primary_silent(fixture.state, "db", fixture.now_us));
	fov_group_set(fixture.state, "db", others, 3);
	for (i = 0; i < fixture.record.count; i++)
		fov_answer(fixture.state, fixture.record.calls[i].id, true, NULL, fixture.now_us);
	fov_tick(fixture.state, fixture.now_us);
	fov_group_set(fixture.state, "db", NULL, 0);
	fov_tick(fixture.state, fixture.now_us);
	CU_ASSERT_FALSE(fov_primary_silent(fixture.state, "db", fixture.now_us));
	fov_destroy(fixture.state);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"steps", test_steps}, {"group_changes", test_group_changes}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"failover", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
