#include "statement/statement_test.h"

/* Two proxies: `near` sends statements through `far`, which holds the links. */
struct pair {
	struct rig near;
	struct rig far;
};

static void setup(struct pair *pair, enum stm_freshness freshness)
{
	rig_create(&pair->near, "near", freshness);
	rig_create(&pair->far, "far", STM_NEWEST);
	pair->near.peer = &pair->far;
	pair->far.peer = &pair->near;
	pair->near.via = "far";
}

static void teardown(struct pair *pair)
{
	pair->far.peer = NULL;
	pair->near.peer = NULL;
	rig_destroy(&pair->near);
	rig_destroy(&pair->far);
}

/* Guards against values, names or texts getting lost on the way to the proxy with the links. */
static void test_statement_with_context(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_SET, "zone", "east");
	rig_prepare(&pair.near, "s1", "q7", true);
	rig_query(&pair.near, SQL_EXECUTE, "s1", "5 x");
	RIG_EXPECT(&pair.near, "answer:okI answer:okI order:run ");
	rig_opened(&pair.far, 1);
	RIG_EXPECT(&pair.far, "open:a 1<set:zone 1<prepare:wq7 ");
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 0, 0);
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 0, 0);
	RIG_EXPECT(&pair.far, "1<execute:wq7 ");
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&pair.far, "reply:ok ");
	RIG_EXPECT(&pair.near, "answer:ok:sigI ");
	teardown(&pair);
}

/* Guards against a transaction's statements running on different connections, or after its end. */
static void test_transaction(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	RIG_EXPECT(&pair.far, "open:a 1<begin 1<write reply:ok ");
	RIG_EXPECT(&pair.near, "answer:okT order:run answer:ok:sigT ");
	rig_query(&pair.near, SQL_COMMIT, NULL, NULL);
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 3, 51);
	RIG_EXPECT(&pair.far, "1<commit reply:ok ");
	RIG_EXPECT(&pair.near, "order:run answer:ok:sigI ");
	/* The link is free again. */
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&pair.far, "1<write ");
	teardown(&pair);
}

/*
 * Guards against a statement that runs alone after the endpoint's connection broke between two
 * statements of its transaction, at the proxy that holds the connection.
 */
static void test_idle_transaction_lost(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	stm_link_lost(pair.far.links[0], "reset", pair.far.now_us);
	CU_ASSERT_EQUAL(stm_figures_get(pair.far.engine).transactions, 0);
	pair.far.events[0] = '\0';
	pair.near.events[0] = '\0';
	rig_query(&pair.near, SQL_READ, NULL, NULL);
	RIG_EXPECT(&pair.far, "reply:aborted ");
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.near.events, "answer:aborted"));
	CU_ASSERT_EQUAL(stm_session_state(pair.near.session), SQL_FAILED_TRANSACTION);
	teardown(&pair);
}

/* Guards against a stream that stays open at the other proxy after its caller has gone. */
static void test_caller_leaves(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	pair.far.events[0] = '\0';
	stm_session_close(pair.near.session, pair.near.now_us);
	pair.near.session = NULL;
	RIG_EXPECT(&pair.far, "1<rollback ");
	CU_ASSERT_EQUAL(stm_figures_get(pair.far.engine).transactions, 0);
	teardown(&pair);
}

/* How the other proxy goes, and what may be told of the statement. */
struct loss_case {
	const char *name;
	enum sql_verb verb;
	const char *expected;
};

static const struct loss_case loss_cases[] = {
	{"a write may have run", SQL_WRITE, "answer:unknown_outcomeI "},
	{"a read goes elsewhere", SQL_READ, "open:a "},
};

/* Guards against a promise for a statement that the lost proxy may have run. */
static void test_proxy_lost(void)
{
	size_t i;

	for (i = 0; i < sizeof(loss_cases) / sizeof(loss_cases[0]); i++) {
		struct pair pair;

		setup(&pair, STM_NEWEST);
		rig_query(&pair.near, loss_cases[i].verb, NULL, NULL);
		pair.near.events[0] = '\0';
		pair.near.via = NULL;
		stm_proxy_lost(pair.near.engine, "far", false, pair.near.now_us);
		RIG_EXPECT(&pair.near, loss_cases[i].expected);
		/* The side that runs ends the streams of the lost proxy. */
		stm_proxy_lost(pair.far.engine, "near", false, pair.far.now_us);
		CU_ASSERT_EQUAL(stm_figures_get(pair.far.engine).sessions, 1);
		teardown(&pair);
	}
}

/*
 * Guards against statements of unknown outcome, or held to their deadline, whose order has not
 * reached the proxy: after a loss of power, 113 statements for proxies that had not started timed
 * out.
 */
static void test_proxy_unreached(void)
{
	static const struct loss_case cases[] = {
		{"a write has not run", SQL_WRITE, "open:a "},
		{"a read goes elsewhere", SQL_READ, "open:a "},
		{"a commit of an open transaction", SQL_COMMIT, "answer:abortedI "},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pair pair;

		setup(&pair, STM_NEWEST);
		if (cases[i].verb == SQL_COMMIT) {
			rig_query(&pair.near, SQL_BEGIN, NULL, NULL);
			rig_query(&pair.near, SQL_WRITE, NULL, NULL);
			rig_opened(&pair.far, 1);
			rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
			rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
		}
		pair.near.peer = NULL;
		rig_query(&pair.near, cases[i].verb, NULL, NULL);
		pair.near.events[0] = '\0';
		pair.near.via = NULL;
		stm_proxy_lost(pair.near.engine, "far", true, pair.near.now_us);
		RIG_EXPECT(&pair.near, cases[i].expected);
		teardown(&pair);
	}
}

/* Guards against ending a transaction that waits for its caller while others' orders are dropped.
 */
static void test_idle_transaction_kept(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.far, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	stm_proxy_lost(pair.near.engine, "far", true, pair.near.now_us);
	CU_ASSERT_EQUAL(stm_session_state(pair.near.session), SQL_IN_TRANSACTION);
	pair.far.events[0] = '\0';
	rig_query(&pair.near, SQL_COMMIT, NULL, NULL);
	RIG_EXPECT(&pair.far, "1<commit ");
	teardown(&pair);
}

/* A proxy that is silent: it gets a probe first, then the read goes elsewhere. */
static void test_silent_proxy(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	pair.near.peer = NULL;
	rig_query(&pair.near, SQL_READ, NULL, NULL);
	RIG_EXPECT(&pair.near, "order:run ");
	rig_time(&pair.near, 210);
	RIG_EXPECT(&pair.near, "order:probe ");
	rig_time(&pair.near, 210);
	/* The second probe asks for a position, since readers of the group have none. */
	RIG_EXPECT(&pair.near, "order:probe way_lost:far order:end open:a ");
	teardown(&pair);
}

/*
 * Guards against leaving an endpoint out because the proxy on the way to it is silent: after the
 * second such proxy a read had no copy left, and was refused after all attempts.
 */
static void test_way_is_left_not_endpoint(void)
{
	struct bc_position position = {3, 50};
	struct pair pair;

	setup(&pair, STM_AGED);
	pair.near.peer = NULL;
	grp_sample_told(grp_find(pair.near.groups, "jobs"), position, pair.near.now_us - 100 * MS);
	rig_query(&pair.near, SQL_READ, NULL, NULL);
	rig_time(&pair.near, 210);
	pair.near.events[0] = '\0';
	rig_time(&pair.near, 210);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.near.events, "way_lost:far"));
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.near.events, "open:b"));
	teardown(&pair);
}

/* Guards against giving up on a proxy that lives and whose endpoint is slow. */
static void test_slow_endpoint_behind_proxy(void)
{
	struct pair pair;
	int i;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	for (i = 0; i < 5; i++) {
		pair.far.now_us += 100 * MS;
		rig_time(&pair.near, 100);
	}
	CU_ASSERT_PTR_NULL(strstr(pair.near.events, "way_lost"));
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 3, 50);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.near.events, "answer:ok:sigI"));
	teardown(&pair);
}

/* Guards against refusing what another holder could run: the way is left out, not the endpoint. */
static void test_endpoint_lost_at_proxy(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	pair.near.events[0] = '\0';
	stm_link_lost(pair.far.links[0], "refused", pair.far.now_us);
	RIG_EXPECT(&pair.near, "way_lost:far:endpoint open:a ");
	teardown(&pair);
}

/* Guards against a refusal whose cause only the holder's log would show. */
static void test_refusal_reason(void)
{
	struct pair pair;

	setup(&pair, STM_NEWEST);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_time(&pair.far, 150);
	RIG_EXPECT(&pair.near, "order:run answer:busyI ");
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.near.message, "endpoint_full"));
	teardown(&pair);
}

/*
 * Guards against stale reads after a reply that a partition held up: the age of its sample counts
 * from the order's sending, not from the reply's receipt.
 */
static void test_held_up_sample(void)
{
	struct grp_sample sample;
	struct pair pair;

	setup(&pair, STM_AGED);
	rig_query(&pair.near, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.far, 1);
	pair.far.delay_us = 5000 * MS;
	rig_result(&pair.far, 1, SQL_OK, SQL_IDLE, 3, 50);
	CU_ASSERT_TRUE(grp_newest_sample(grp_find(pair.near.groups, "jobs"), &sample));
	CU_ASSERT_TRUE(sample.sent_us <= START);
	teardown(&pair);
}

/* A statement for a stream that the other proxy does not know: nothing of it is kept. */
static void test_unknown_stream(void)
{
	struct sql_order order = {.kind = SQL_ORDER_RUN,
				  .stream = 7,
				  .endpoint_id = "a",
				  .in_transaction = true,
				  .begun = true,
				  .statement = {.verb = SQL_WRITE, .id = "1", .text = "text"}};
	struct pair pair;

	setup(&pair, STM_NEWEST);
	stm_order(pair.far.engine, "near", &order, pair.far.now_us);
	RIG_EXPECT(&pair.far, "reply:aborted ");
	order.begun = false;
	order.endpoint_id = "unknown";
	stm_order(pair.far.engine, "near", &order, pair.far.now_us);
	RIG_EXPECT(&pair.far, "reply:busy ");
	teardown(&pair);
}

int main(void)
{
	CU_TestInfo tests[] = {{"statement_with_context", test_statement_with_context},
			       {"transaction", test_transaction},
			       {"idle_transaction_lost", test_idle_transaction_lost},
			       {"caller_leaves", test_caller_leaves},
			       {"proxy_lost", test_proxy_lost},
			       {"proxy_unreached", test_proxy_unreached},
			       {"idle_transaction_kept", test_idle_transaction_kept},
			       {"silent_proxy", test_silent_proxy},
			       {"way_is_left_not_endpoint", test_way_is_left_not_endpoint},
			       {"slow_endpoint_behind_proxy", test_slow_endpoint_behind_proxy},
			       {"endpoint_lost_at_proxy", test_endpoint_lost_at_proxy},
			       {"refusal_reason", test_refusal_reason},
			       {"held_up_sample", test_held_up_sample},
			       {"unknown_stream", test_unknown_stream},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"relay", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
