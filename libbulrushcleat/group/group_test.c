#include "group/group.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MS BC_US_PER_MS
/* Large enough to subtract ages from it. */
#define NOW (100 * BC_US_PER_S)
#define CHOICES "bulrushcleat_balance_choices_total"
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

struct fixture {
	struct bc_ctx *ctx;
	struct grp_state *state;
	struct grp_group *group;
	int leader_changes;
};

static void on_endpoint(void *data, struct grp_endpoint *endpoint)
{
	(void)data;
	(void)endpoint;
}

static void on_gone(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
	(void)now_us;
	on_endpoint(data, endpoint);
}

static void on_leader(void *data, struct grp_group *group, uint64_t now_us)
{
	struct fixture *fixture = data;

	(void)now_us;
	(void)group;
	fixture->leader_changes++;
}

static void endpoint_set(struct fixture *fixture, const char *id, const char *domain,
			 const char *region, bool leads, bool leaving, uint64_t started_ms)
{
	struct grp_info info = {.slots = 2, .reports_lead = leads, .leaving = leaving};

	snprintf(info.id, sizeof(info.id), "%s", id);
	snprintf(info.group, sizeof(info.group), "jobs");
	snprintf(info.address, sizeof(info.address), "10.0.0.1:%d", id[0]);
	snprintf(info.domain, sizeof(info.domain), "%s", domain);
	snprintf(info.region, sizeof(info.region), "%s", region);
	info.started_ms = started_ms;
	grp_endpoint_set(fixture->state, &info, NOW);
}

/* Three endpoints: a leads in another domain, b is in the proxy's domain, c in another region. */
static void setup(struct fixture *fixture)
{
	static const struct grp_ops ops = {on_endpoint, on_gone, on_leader};

	memset(fixture, 0, sizeof(*fixture));
	fixture->ctx = bc_ctx_create(1);
	fixture->state = grp_create(fixture->ctx, "home", "here", &ops, fixture);
	fixture->group = grp_set(fixture->state, "jobs", 16, 0);
	endpoint_set(fixture, "a", "next", "here", true, false, 1);
	endpoint_set(fixture, "b", "home", "here", false, false, 1);
	endpoint_set(fixture, "c", "far", "there", false, false, 1);
}

static void teardown(struct fixture *fixture)
{
	grp_destroy(fixture->state);
	bc_ctx_destroy(fixture->ctx);
}

static struct grp_endpoint *find(struct fixture *fixture, const char *id)
{
	return grp_endpoint_find(fixture->state, id);
}

/* What is known before a read, and the choice expected for it. */
struct read_case {
	const char *name;
	uint64_t sample_age_ms; /* 0: none */
	uint64_t sample_term;
	uint64_t max_age_ms;
	uint64_t last_commit_term; /* 0: none */
	uint64_t last_commit_pos;
	const char *suspect;
	const char *tried;
	const char *behind;
	const char *expected; /* id, or "" for none */
	bool prove_leader;
	uint64_t required_term; /* 0: no position is required */
	uint64_t required_pos;
};

static const struct read_case read_cases[] = {
	{"nearest replica, position of the sample", 500, 3, 1500, 0, 0, "", "", "", "b", false, 3,
	 50},
	{"no sample: the leader with proof", 0, 0, 1500, 0, 0, "", "", "", "a", true, 0, 0},
	{"sample too old", 1600, 3, 1500, 0, 0, "", "", "", "a", true, 0, 0},
	{"sample within the margin of its age", 1490, 3, 1500, 0, 0, "", "", "", "a", true, 0, 0},
	{"all commits wanted", 10, 3, 0, 0, 0, "", "", "", "a", true, 0, 0},
	{"own commit is newer", 500, 3, 2500, 3, 80, "", "", "", "b", false, 3, 80},
	{"own commit is older", 500, 3, 2500, 3, 20, "", "", "", "b", false, 3, 50},
	{"own commit of a replaced term: the newer term's sample holds what is left of it", 500, 4,
	 2500, 3, 900, "", "", "", "b", false, 4, 50},
	{"nearest replica silent", 500, 3, 1500, 0, 0, "b", "", "", "a", false, 3, 50},
	{"nearest replica refused it", 500, 3, 1500, 0, 0, "", "b", "", "a", false, 3, 50},
	{"nearest replica lags", 500, 3, 1500, 0, 0, "", "", "b", "a", false, 3, 50},
	{"all but the far replica tried", 500, 3, 1500, 0, 0, "", "ab", "", "c", false, 3, 50},
	{"all tried: the leader with proof", 500, 3, 1500, 0, 0, "", "abc", "", "a", true, 0, 0},
	{"leader lost and all commits wanted", 10, 3, 0, 0, 0, "a", "", "", "", false, 0, 0},
};

static void check_read(const struct read_case *c)
{
	struct grp_read_bounds bounds = {.max_age_us = c->max_age_ms * MS,
					 .started_us = NOW,
					 .has_last_commit = c->last_commit_term != 0,
					 .last_commit = {c->last_commit_term, c->last_commit_pos}};
	struct bc_position position = {c->sample_term, 50};
	struct grp_choice choice;
	struct fixture fixture;
	const char *id;

	setup(&fixture);
	if (c->sample_age_ms)
		grp_leader_proved(fixture.state, find(&fixture, "a"), position,
				  NOW - c->sample_age_ms * MS, NOW);
	if (c->suspect[0])
		grp_failed(fixture.state, find(&fixture, c->suspect), "reset", NOW);
	if (c->behind[0])
		grp_behind(find(&fixture, c->behind), NOW);
	for (id = c->tried; *id; id++)
		bounds.tried_endpoints |= 1U << find(&fixture, (char[]){*id, 0})->index;
	choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW);
	if (strcmp(choice.endpoint ? choice.endpoint->info.id : "", c->expected) != 0 ||
	    (choice.endpoint && choice.prove_leader != c->prove_leader) ||
	    (choice.endpoint && choice.has_position != (c->required_term != 0)))
		printf("\n%s: chose \"%s\" prove_leader=%d position=%d\n", c->name,
		       choice.endpoint ? choice.endpoint->info.id : "", choice.prove_leader,
		       choice.has_position);
	CU_ASSERT_STRING_EQUAL(choice.endpoint ? choice.endpoint->info.id : "", c->expected);
	if (choice.endpoint) {
		CU_ASSERT_EQUAL(choice.prove_leader, c->prove_leader);
		CU_ASSERT_EQUAL(choice.has_position, c->required_term != 0);
		if (choice.has_position) {
			CU_ASSERT_EQUAL(choice.position.term, c->required_term);
			CU_ASSERT_EQUAL(choice.position.pos, c->required_pos);
		}
	}
	teardown(&fixture);
}

/* Guards against stale reads: a choice requires the position or proof that the read needs. */
static void test_read_choice(void)
{
	size_t i;

	for (i = 0; i < COUNT(read_cases); i++)
		check_read(&read_cases[i]);
}

/* Guards against requiring a position of an older term from replicas that follow a newer one. */
static void test_samples_of_one_term(void)
{
	struct grp_read_bounds bounds = {.max_age_us = 2500 * MS, .started_us = NOW};
	struct bc_position older = {3, 900};
	struct bc_position newer = {4, 700};
	struct grp_choice choice;
	struct fixture fixture;

	setup(&fixture);
	grp_leader_proved(fixture.state, find(&fixture, "a"), older, NOW - 2000 * MS, NOW);
	grp_leader_proved(fixture.state, find(&fixture, "b"), newer, NOW - 1000 * MS, NOW);
	choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW);
	CU_ASSERT_EQUAL(choice.position.term, 4);
	CU_ASSERT_EQUAL(choice.position.pos, 700);
	/* A late answer of the former leader changes nothing. */
	older.pos = 950;
	grp_leader_proved(fixture.state, find(&fixture, "a"), older, NOW - 10 * MS, NOW);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "b"));
	teardown(&fixture);
}

/*
 * Guards against an older report taking effect after the leader has denied that it leads: the
 * leader stays unknown until there is new evidence.
 */
static void test_leader_evidence(void)
{
	struct fixture fixture;

	setup(&fixture);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "a"));
	endpoint_set(&fixture, "b", "home", "here", true, false, 1);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "b"));
	grp_denied_lead(fixture.state, find(&fixture, "b"), NOW);
	CU_ASSERT_PTR_NULL(fixture.group->leader);
	grp_hint_leader(fixture.state, find(&fixture, "c"), 2, NOW);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "c"));
	grp_hint_leader(fixture.state, find(&fixture, "a"), 1, NOW);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "c"));
	/* c never reported that it leads, so a report that it does not changes nothing. */
	endpoint_set(&fixture, "c", "far", "there", false, false, 1);
	CU_ASSERT_PTR_EQUAL(fixture.group->leader, find(&fixture, "c"));
	grp_endpoint_remove(fixture.state, "c", NOW);
	CU_ASSERT_PTR_NULL(fixture.group->leader);
	teardown(&fixture);
}

/* Guards against taking a restarted endpoint for the instance before it with the same id. */
static void test_restarted_endpoint(void)
{
	struct fixture fixture;
	struct grp_endpoint *before;

	setup(&fixture);
	before = find(&fixture, "b");
	grp_endpoint_ref(before);
	endpoint_set(&fixture, "b", "home", "here", false, false, 2);
	CU_ASSERT_TRUE(before->removed);
	CU_ASSERT_PTR_NOT_EQUAL(find(&fixture, "b"), before);
	CU_ASSERT_FALSE(find(&fixture, "b")->removed);
	grp_endpoint_unref(before);
	teardown(&fixture);
}

struct silence_case {
	uint64_t latency_ms;
	uint64_t waited_ms;
	bool silent;
};

static const struct silence_case silence_cases[] = {
	{5, 300, false}, {5, 400, true}, {100, 400, false}, {100, 900, true}};

/* Guards against taking a slow endpoint for dead, and a dead one for slow. */
static void test_silent_threshold(void)
{
	size_t i;

	for (i = 0; i < COUNT(silence_cases); i++) {
		const struct silence_case *c = &silence_cases[i];
		struct grp_endpoint *endpoint;
		struct fixture fixture;

		setup(&fixture);
		endpoint = find(&fixture, "b");
		endpoint->latency_us = c->latency_ms * MS;
		grp_sent(endpoint, NOW);
		CU_ASSERT_EQUAL(grp_is_silent(endpoint, NOW + c->waited_ms * MS), c->silent);
		teardown(&fixture);
	}
}

/*
 * Guards against reads piling up on a replica that takes five times as long as the others (fault
 * srv_slow). The others get the reads, and the slow one is tried again once its latency is
 * outdated.
 */
static void test_load_avoids_slow_replica(void)
{
	struct grp_read_bounds bounds = {.max_age_us = 1500 * MS, .started_us = NOW};
	struct bc_position position = {3, 50};
	struct grp_endpoint *slow;
	struct fixture fixture;
	uint32_t i;

	setup(&fixture);
	grp_leader_proved(fixture.state, find(&fixture, "a"), position, NOW - 200 * MS, NOW);
	slow = find(&fixture, "b");
	for (i = 0; i < 40; i++) {
		grp_sent(slow, NOW);
		grp_answered(fixture.state, slow, 75 * MS, true, NOW);
		grp_sent(find(&fixture, "a"), NOW);
		grp_answered(fixture.state, find(&fixture, "a"), 15 * MS, true, NOW);
	}
	CU_ASSERT_PTR_NOT_EQUAL(
		grp_choose_read(fixture.state, fixture.group, &bounds, NOW).endpoint, slow);
	find(&fixture, "a")->latency_updated_us = NOW + 4000 * MS;
	bounds.started_us = NOW + 4000 * MS;
	grp_leader_proved(fixture.state, find(&fixture, "a"), position, NOW + 3900 * MS, NOW);
	CU_ASSERT_PTR_EQUAL(
		grp_choose_read(fixture.state, fixture.group, &bounds, NOW + 4000 * MS).endpoint,
		slow);
	teardown(&fixture);
}

/*
 * Guards against suspecting an endpoint because single connections break while others answer (fault
 * answer_lost with resets), and against trusting one that no longer answers.
 */
static void test_broken_connections(void)
{
	struct fixture fixture;
	struct grp_endpoint *endpoint;

	setup(&fixture);
	endpoint = find(&fixture, "a");
	grp_sent(endpoint, NOW);
	grp_answered(fixture.state, endpoint, 5 * MS, true, NOW);
	grp_connection_broken(fixture.state, endpoint, "reset", NOW + 20 * MS);
	CU_ASSERT_FALSE(endpoint->suspect);
	grp_connection_broken(fixture.state, endpoint, "reset", NOW + 200 * MS);
	CU_ASSERT_TRUE(endpoint->suspect);
	teardown(&fixture);
}

/*
 * Guards against refusing writes that another proxy can relay: the leader answers that proxy, but
 * not this one (fault primary_cut).
 */
static void test_leader_reached_by_peer(void)
{
	struct fixture fixture;

	setup(&fixture);
	grp_failed(fixture.state, find(&fixture, "a"), "silent", NOW);
	CU_ASSERT_PTR_NULL(grp_choose_leader(fixture.group, NOW).endpoint);
	grp_leader_reached_by_peer(fixture.group, NOW + 800 * MS);
	CU_ASSERT_PTR_EQUAL(grp_choose_leader(fixture.group, NOW).endpoint, find(&fixture, "a"));
	/* The report expires. The endpoint's retry time would be over too, so it is moved on. */
	find(&fixture, "a")->retry_us = NOW + 2000 * MS;
	CU_ASSERT_PTR_NULL(grp_choose_leader(fixture.group, NOW + 900 * MS).endpoint);
	teardown(&fixture);
}

/*
 * Guards against reads that cross the link between regions to save a few milliseconds, and against
 * reads that queue in their own region while another region has capacity.
 */
static void test_reads_stay_in_region(void)
{
	static const struct {
		uint64_t latency_ms; /* of the endpoints in the own region; 10 elsewhere */
		uint32_t waiting;    /* statements at each of those, which have two slots */
		const char *expected;
	} cases[] = {{10, 0, "b"}, {10, 2, "b"}, {20, 2, "b"}, {20, 6, "c"}, {60, 0, "c"}};
	static const char *const ids[] = {"a", "b", "c"};
	struct grp_read_bounds bounds = {.max_age_us = 1500 * MS, .started_us = NOW};
	struct bc_position position = {3, 50};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture fixture;
		struct grp_choice choice;
		uint32_t n;
		size_t j;

		setup(&fixture);
		grp_leader_proved(fixture.state, find(&fixture, "a"), position, NOW - 200 * MS,
				  NOW);
		for (j = 0; j < 3; j++) {
			struct grp_endpoint *endpoint = find(&fixture, ids[j]);
			bool far = ids[j][0] == 'c';

			for (n = 0; n < 40; n++) {
				grp_sent(endpoint, NOW);
				grp_answered(fixture.state, endpoint,
					     (far ? 10 : cases[i].latency_ms) * MS, true, NOW);
			}
			for (n = 0; !far && n < cases[i].waiting; n++)
				grp_sent(endpoint, NOW);
		}
		choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW);
		CU_ASSERT_STRING_EQUAL(choice.endpoint ? choice.endpoint->info.id : "",
				       cases[i].expected);
		teardown(&fixture);
	}
}

struct leaving_case {
	const char *failure; /* the failure that the case guards against */
	const char *id;	     /* the leader that is leaving; "d" is listed as such at first */
	uint64_t limit_ms;   /* of the platform; 0: none */
	uint64_t after_ms;
	bool stays; /* it has withdrawn its report meanwhile */
	const char *expected;
};

static const struct leaving_case leaving_cases[] = {
	{"writes refused though the leader may serve them", "a", 7000, 3900, false, "a"},
	{"a leader used beyond its drain while no replica answers", "a", 7000, 4000, false, ""},
	{"a leader used beyond a short drain", "a", 2000, 1000, false, ""},
	{"a leader refused without a limit", "a", 0, 60000, false, "a"},
	{"a leader refused that stays", "a", 7000, 60000, true, "a"},
	{"a leader refused that has just been listed", "d", 7000, 2900, false, "d"},
	{"a leader used for its whole drain again after a restart of the proxy", "d", 7000, 3000,
	 false, ""},
};

/* Guards against new work for a leader that has been leaving for longer than it has to serve. */
static void test_leaving_leader(void)
{
	size_t i;

	for (i = 0; i < COUNT(leaving_cases); i++) {
		const struct leaving_case *c = &leaving_cases[i];
		struct fixture fixture;
		struct grp_choice choice;

		setup(&fixture);
		grp_leaving_limit_set(fixture.state, c->limit_ms * MS);
		endpoint_set(&fixture, c->id, "next", "here", true, true, 1);
		if (c->stays)
			endpoint_set(&fixture, c->id, "next", "here", true, false, 1);
		choice = grp_choose_leader(fixture.group, NOW + c->after_ms * MS);
		if (strcmp(choice.endpoint ? choice.endpoint->info.id : "", c->expected) != 0)
			printf("\n%s: %s\n", c->failure, choice.reason);
		CU_ASSERT_STRING_EQUAL(choice.endpoint ? choice.endpoint->info.id : "",
				       c->expected);
		if (!c->expected[0])
			CU_ASSERT_STRING_EQUAL(choice.reason, "leader_leaving");
		teardown(&fixture);
	}
}

/*
 * Guards against a choice by load that ignores reports, replaces a report by an older one, counts
 * nothing, or takes effect where the settings do not ask for it.
 */
static void test_balance_spread(void)
{
	static const char near[] = "reason=\"near\"";
	static const char spread[] = "reason=\"spread\"";
	struct grp_read_bounds bounds = {.max_age_us = 1500 * MS, .started_us = NOW};
	struct bc_position position = {3, 50};
	struct grp_choice choice;
	struct fixture fixture;

	setup(&fixture);
	endpoint_set(&fixture, "d", "next", "here", false, false, 1);
	grp_leader_proved(fixture.state, find(&fixture, "a"), position, NOW - 200 * MS, NOW);
	grp_load_reported(find(&fixture, "b"), 20, NOW);
	grp_load_reported(find(&fixture, "b"), 0, NOW - 50 * MS);
	choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW);
	CU_ASSERT_STRING_EQUAL(choice.endpoint->info.id, "b");
	CU_ASSERT_EQUAL(bc_counter_value(fixture.ctx, CHOICES, near), 0);
	grp_balance_set(fixture.state, GRP_BALANCE_SPREAD);
	choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW);
	CU_ASSERT_STRING_EQUAL(choice.endpoint->info.id, "d");
	CU_ASSERT_STRING_EQUAL(choice.reason, "spread");
	CU_ASSERT_EQUAL(bc_counter_value(fixture.ctx, CHOICES, spread), 1);
	grp_load_reported(find(&fixture, "b"), 0, NOW + 1);
	choice = grp_choose_read(fixture.state, fixture.group, &bounds, NOW + 1);
	CU_ASSERT_STRING_EQUAL(choice.endpoint->info.id, "b");
	CU_ASSERT_EQUAL(bc_counter_value(fixture.ctx, CHOICES, near), 1);
	teardown(&fixture);
}

int main(void)
{
	CU_TestInfo tests[] = {{"read_choice", test_read_choice},
			       {"samples_of_one_term", test_samples_of_one_term},
			       {"leader_evidence", test_leader_evidence},
			       {"restarted_endpoint", test_restarted_endpoint},
			       {"silent_threshold", test_silent_threshold},
			       {"load_avoids_slow_replica", test_load_avoids_slow_replica},
			       {"reads_stay_in_region", test_reads_stay_in_region},
			       {"broken_connections", test_broken_connections},
			       {"leader_reached_by_peer", test_leader_reached_by_peer},
			       {"leaving_leader", test_leaving_leader},
			       {"balance_spread", test_balance_spread},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"group", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
