#include "statement/statement_test.h"

/* Two proxies: the origin sends its statements through the relay, which has the links. */
struct pair {
	struct rig origin;
	struct rig relay;
};

static void setup(struct pair *pair, enum stm_consistency consistency)
{
	rig_create(&pair->origin, "origin", consistency);
	rig_create(&pair->relay, "relay", STM_STRONG);
	pair->origin.peer = &pair->relay;
	pair->relay.peer = &pair->origin;
	pair->origin.relay = "relay";
}

static void teardown(struct pair *pair)
{
	pair->relay.peer = NULL;
	pair->origin.peer = NULL;
	rig_destroy(&pair->origin);
	rig_destroy(&pair->relay);
}

/* Guards against an order that lacks variables, the prepared statement or the statement's text. */
static void test_order_carries_session_state(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_SET, "zone", "east");
	rig_prepare(&pair.origin, "s1", "q7", true);
	rig_query(&pair.origin, SQL_EXECUTE, "s1", "5 x");
	RIG_EXPECT(&pair.origin, "answer:okI answer:okI order:run ");
	rig_opened(&pair.relay, 1);
	RIG_EXPECT(&pair.relay, "open:a 1<set:zone 1<prepare:wq7 ");
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 0, 0);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 0, 0);
	RIG_EXPECT(&pair.relay, "1<execute:wq7 ");
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&pair.relay, "reply:ok ");
	RIG_EXPECT(&pair.origin, "answer:ok:sigI ");
	teardown(&pair);
}

/* Guards against a transaction's statements running on different connections, or after its end. */
static void test_transaction(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	RIG_EXPECT(&pair.relay, "open:a 1<begin 1<write reply:ok ");
	RIG_EXPECT(&pair.origin, "answer:okT order:run answer:ok:sigT ");
	rig_query(&pair.origin, SQL_COMMIT, NULL, NULL);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 3, 51);
	RIG_EXPECT(&pair.relay, "1<commit reply:ok ");
	RIG_EXPECT(&pair.origin, "order:run answer:ok:sigI ");
	/* The link is free again. */
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&pair.relay, "1<write ");
	teardown(&pair);
}

/*
 * Guards against a statement that runs outside of its transaction after the relay's connection
 * broke between two statements of the transaction.
 */
static void test_idle_transaction_lost(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	stm_link_lost(pair.relay.links[0], "reset", pair.relay.now_us);
	CU_ASSERT_EQUAL(stm_stats_get(pair.relay.engine).transactions, 0);
	pair.relay.events[0] = '\0';
	pair.origin.events[0] = '\0';
	rig_query(&pair.origin, SQL_READ, NULL, NULL);
	RIG_EXPECT(&pair.relay, "reply:aborted ");
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.origin.events, "answer:aborted"));
	CU_ASSERT_EQUAL(stm_session_state(pair.origin.session), SQL_FAILED_TRANSACTION);
	teardown(&pair);
}

/* A relay with other work at the endpoint, and the report expected at the origin. */
struct load_case {
	const char *failure; /* the failure that the case guards against */
	enum grp_balance balance;
	uint32_t running; /* besides the origin's statement */
	uint64_t expected;
	bool reported;
};

static const struct load_case load_cases[] = {
	{"a field in a reply of a proxy whose settings do not ask for it", GRP_BALANCE_COST, 3, 0,
	 false},
	{"other statements missing from the report", GRP_BALANCE_SPREAD, 3, 3, true},
	{"an idle endpoint taken for one without a report, or for a busy one", GRP_BALANCE_SPREAD,
	 0, 0, true},
};

/* Guards against a wrong count or age in the load report of a relay. */
static void test_load_report(void)
{
	size_t i;
	uint32_t n;

	for (i = 0; i < sizeof(load_cases) / sizeof(load_cases[0]); i++) {
		const struct load_case *c = &load_cases[i];
		struct grp_endpoint *endpoint;
		struct pair pair;

		setup(&pair, STM_STRONG);
		grp_balance_set(pair.relay.groups, c->balance);
		rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
		rig_opened(&pair.relay, 1);
		for (n = 0; n < c->running; n++)
			grp_sent(grp_endpoint_find(pair.relay.groups, "a"), pair.relay.now_us);
		rig_advance(&pair.origin, 40);
		rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 3, 50);
		endpoint = grp_endpoint_find(pair.origin.groups, "a");
		CU_ASSERT_EQUAL(endpoint->reported_load, c->expected);
		CU_ASSERT_EQUAL(endpoint->load_reported_us,
				c->reported ? pair.origin.now_us - 20 * MS : 0);
		teardown(&pair);
	}
}

/* Guards against a stream that stays open at the relay after its caller has gone. */
static void test_caller_leaves(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	pair.relay.events[0] = '\0';
	stm_session_close(pair.origin.session, "closed by peer", pair.origin.now_us);
	pair.origin.session = NULL;
	RIG_EXPECT(&pair.relay, "1<rollback ");
	CU_ASSERT_EQUAL(stm_stats_get(pair.relay.engine).transactions, 0);
	teardown(&pair);
}

/* A statement whose relay is lost, and what follows. */
struct loss_case {
	const char *name;
	enum sql_verb verb;
	const char *expected;
};

static const struct loss_case loss_cases[] = {
	{"a write may have run", SQL_WRITE, "answer:unknown_outcomeI "},
	{"a read goes elsewhere", SQL_READ, "open:a "},
};

/* Guards against a definite answer for a write that the lost relay may have run. */
static void test_proxy_lost(void)
{
	size_t i;

	for (i = 0; i < sizeof(loss_cases) / sizeof(loss_cases[0]); i++) {
		struct pair pair;

		setup(&pair, STM_STRONG);
		rig_query(&pair.origin, loss_cases[i].verb, NULL, NULL);
		pair.origin.events[0] = '\0';
		pair.origin.relay = NULL;
		stm_proxy_lost(pair.origin.engine, "relay", false, pair.origin.now_us);
		RIG_EXPECT(&pair.origin, loss_cases[i].expected);
		/* A relay that loses the origin ends its streams. */
		stm_proxy_lost(pair.relay.engine, "origin", false, pair.relay.now_us);
		CU_ASSERT_EQUAL(stm_stats_get(pair.relay.engine).sessions, 1);
		teardown(&pair);
	}
}

/*
 * Guards against an unknown outcome or a timeout of a statement whose order has not reached the
 * relay. After a power loss, 113 statements timed out whose relays had not started yet.
 */
static void test_order_not_received(void)
{
	static const struct loss_case cases[] = {
		{"a write has not run", SQL_WRITE, "open:a "},
		{"a read goes elsewhere", SQL_READ, "open:a "},
		{"a commit of an open transaction", SQL_COMMIT, "answer:abortedI "},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pair pair;

		setup(&pair, STM_STRONG);
		if (cases[i].verb == SQL_COMMIT) {
			rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
			rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
			rig_opened(&pair.relay, 1);
			rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
			rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
		}
		pair.origin.peer = NULL;
		rig_query(&pair.origin, cases[i].verb, NULL, NULL);
		pair.origin.events[0] = '\0';
		pair.origin.relay = NULL;
		stm_proxy_lost(pair.origin.engine, "relay", true, pair.origin.now_us);
		RIG_EXPECT(&pair.origin, cases[i].expected);
		teardown(&pair);
	}
}

/*
 * Guards against aborting a transaction that waits for its caller when orders of other sessions are
 * dropped.
 */
static void test_idle_transaction_kept(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	stm_proxy_lost(pair.origin.engine, "relay", true, pair.origin.now_us);
	CU_ASSERT_EQUAL(stm_session_state(pair.origin.session), SQL_IN_TRANSACTION);
	pair.relay.events[0] = '\0';
	rig_query(&pair.origin, SQL_COMMIT, NULL, NULL);
	RIG_EXPECT(&pair.relay, "1<commit ");
	teardown(&pair);
}

/*
 * Guards against waiting for a silent relay: it gets a probe first, then the read goes elsewhere.
 */
static void test_silent_relay(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	pair.origin.peer = NULL;
	rig_query(&pair.origin, SQL_READ, NULL, NULL);
	RIG_EXPECT(&pair.origin, "order:run ");
	rig_advance(&pair.origin, 210);
	RIG_EXPECT(&pair.origin, "order:probe ");
	rig_advance(&pair.origin, 210);
	/* The second probe asks for a sample, since readers of the group have none. */
	RIG_EXPECT(&pair.origin, "order:probe proxy_failed:relay order:end open:a ");
	teardown(&pair);
}

/*
 * Guards against excluding an endpoint because its relay is silent: after the second silent relay
 * a read had no replica left, and was refused after all attempts.
 */
static void test_relay_is_excluded_not_endpoint(void)
{
	struct bc_position position = {3, 50};
	struct pair pair;

	setup(&pair, STM_BOUNDED_STALENESS);
	pair.origin.peer = NULL;
	grp_peer_sample(grp_find(pair.origin.groups, "jobs"), position,
			pair.origin.now_us - 100 * MS);
	rig_query(&pair.origin, SQL_READ, NULL, NULL);
	rig_advance(&pair.origin, 210);
	pair.origin.events[0] = '\0';
	rig_advance(&pair.origin, 210);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.origin.events, "proxy_failed:relay"));
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.origin.events, "open:b"));
	teardown(&pair);
}

/* Guards against giving up a relay that is alive and whose endpoint is slow. */
static void test_slow_endpoint_behind_relay(void)
{
	struct pair pair;
	int i;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	for (i = 0; i < 5; i++) {
		pair.relay.now_us += 100 * MS;
		rig_advance(&pair.origin, 100);
	}
	CU_ASSERT_PTR_NULL(strstr(pair.origin.events, "proxy_failed"));
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 3, 50);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.origin.events, "answer:ok:sigI"));
	teardown(&pair);
}

/*
 * Guards against refusing what another relay could run: the relay is excluded, not the endpoint.
 */
static void test_endpoint_lost_at_relay(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	pair.origin.events[0] = '\0';
	stm_link_lost(pair.relay.links[0], "refused", pair.relay.now_us);
	RIG_EXPECT(&pair.origin, "proxy_failed:relay:endpoint open:a ");
	teardown(&pair);
}

/* Guards against a refusal whose reason is only in the relay's log. */
static void test_refusal_reason(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_advance(&pair.relay, 150);
	RIG_EXPECT(&pair.origin, "order:run answer:busyI ");
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.origin.message, "endpoint_full"));
	teardown(&pair);
}

/* Guards against a refusal whose reason is the id that an endpoint put into its error. */
static void test_refusal_by_endpoint(void)
{
	struct sql_result refusal = {.code = SQL_BUSY, .message = "a"};
	struct pair pair;
	uint32_t i;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	for (i = 0; i < 5 && !pair.origin.message[0]; i++)
		stm_link_result(pair.relay.links[0], &refusal, pair.relay.now_us);
	CU_ASSERT_STRING_EQUAL(pair.origin.message, "busy, not run, retry_after_ms=100");
	CU_ASSERT_EQUAL(bc_counter_value(pair.relay.ctx, "bulrushcleat_endpoint_full_total",
					 "what=\"statement\""),
			i);
	CU_ASSERT_EQUAL(bc_counter_value(pair.origin.ctx, "bulrushcleat_endpoint_full_total",
					 "what=\"statement\""),
			0);
	teardown(&pair);
}

/*
 * Guards against stale reads after a reply that a network partition delayed: the age of its sample
 * counts from the time at which the order was sent, not from the receipt of the reply.
 */
static void test_delayed_sample(void)
{
	struct grp_sample sample;
	struct pair pair;

	setup(&pair, STM_BOUNDED_STALENESS);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	pair.relay.delay_us = 5000 * MS;
	rig_result(&pair.relay, 1, SQL_OK, SQL_IDLE, 3, 50);
	CU_ASSERT_TRUE(grp_newest_sample(grp_find(pair.origin.groups, "jobs"), &sample));
	CU_ASSERT_TRUE(sample.sent_us <= START);
	teardown(&pair);
}

/* Guards against running an order for a stream or an endpoint that the relay does not know. */
static void test_unknown_stream(void)
{
	struct sql_order order = {.kind = SQL_ORDER_RUN,
				  .stream = 7,
				  .endpoint_id = "a",
				  .in_transaction = true,
				  .begun = true,
				  .statement = {.verb = SQL_WRITE, .id = "1", .text = "text"}};
	struct pair pair;

	setup(&pair, STM_STRONG);
	stm_order(pair.relay.engine, "origin", &order, pair.relay.now_us);
	RIG_EXPECT(&pair.relay, "reply:aborted ");
	order.begun = false;
	order.endpoint_id = "unknown";
	stm_order(pair.relay.engine, "origin", &order, pair.relay.now_us);
	RIG_EXPECT(&pair.relay, "reply:busy ");
	teardown(&pair);
}

/*
 * Guards against an order that a relay takes while it shuts down: the origin has to try elsewhere,
 * and a statement that waits at the relay must not end as one of unknown outcome.
 */
static void test_relay_shuts_down(void)
{
	struct pair pair;

	setup(&pair, STM_STRONG);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&pair.relay, "open:a ");
	RIG_EXPECT(&pair.origin, "order:run ");
	stm_stop(pair.relay.engine, pair.relay.now_us);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.relay.events, "reply:busy "));
	RIG_EXPECT(&pair.origin, "answer:busyI ");
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	/* Sent again, by a link of its own. */
	RIG_EXPECT(&pair.origin, "order:run proxy_failed:relay:endpoint open:a ");
	teardown(&pair);
}

/*
 * Guards against a statement or a result that does not fit into a message between proxies and is
 * dropped, so that its caller waits for the timeout. EXECUTE sends its arguments twice.
 */
static void test_too_long_to_relay(void)
{
	static char text[SQL_REPLY_ROWS_MAX_BYTES + 2];
	struct sql_result result = {.code = SQL_OK,
				    .signature = "sig",
				    .rows = text,
				    .rows_bytes = sizeof(text) - 1,
				    .has_position = true,
				    .position = {3, 50}};
	struct pair pair;

	memset(text, 'x', sizeof(text) - 1);
	setup(&pair, STM_BOUNDED_STALENESS);
	rig_prepare(&pair.origin, "s1", "q7", true);
	rig_query(&pair.origin, SQL_EXECUTE, "s1", text + sizeof(text) / 2);
	RIG_EXPECT(&pair.origin, "answer:okI order:run ");
	teardown(&pair);
	setup(&pair, STM_BOUNDED_STALENESS);
	rig_prepare(&pair.origin, "s1", "q7", true);
	rig_query(&pair.origin, SQL_EXECUTE, "s1", text);
	RIG_EXPECT(&pair.origin, "answer:okI open:a ");
	teardown(&pair);
	/* Rows: the read runs again on a connection of the origin, now at the nearest replica. */
	setup(&pair, STM_BOUNDED_STALENESS);
	rig_query(&pair.origin, SQL_READ, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	stm_link_result(pair.relay.links[0], &result, pair.relay.now_us);
	CU_ASSERT_PTR_NOT_NULL(strstr(pair.relay.events, "reply:too_large "));
	RIG_EXPECT(&pair.origin, "order:run open:b ");
	teardown(&pair);
	/* In a transaction on the relay there is no other connection: it is rolled back. */
	setup(&pair, STM_STRONG);
	rig_prepare(&pair.origin, "s1", "q7", true);
	rig_query(&pair.origin, SQL_BEGIN, NULL, NULL);
	rig_query(&pair.origin, SQL_WRITE, NULL, NULL);
	rig_opened(&pair.relay, 1);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&pair.relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	pair.origin.events[0] = '\0';
	rig_query(&pair.origin, SQL_EXECUTE, "s1", text);
	RIG_EXPECT(&pair.origin, "order:end answer:abortedE ");
	teardown(&pair);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"order_carries_session_state", test_order_carries_session_state},
		{"transaction", test_transaction},
		{"idle_transaction_lost", test_idle_transaction_lost},
		{"load_report", test_load_report},
		{"caller_leaves", test_caller_leaves},
		{"proxy_lost", test_proxy_lost},
		{"order_not_received", test_order_not_received},
		{"idle_transaction_kept", test_idle_transaction_kept},
		{"silent_relay", test_silent_relay},
		{"relay_is_excluded_not_endpoint", test_relay_is_excluded_not_endpoint},
		{"slow_endpoint_behind_relay", test_slow_endpoint_behind_relay},
		{"endpoint_lost_at_relay", test_endpoint_lost_at_relay},
		{"refusal_by_endpoint", test_refusal_by_endpoint},
		{"refusal_reason", test_refusal_reason},
		{"delayed_sample", test_delayed_sample},
		{"unknown_stream", test_unknown_stream},
		{"relay_shuts_down", test_relay_shuts_down},
		{"too_long_to_relay", test_too_long_to_relay},
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
