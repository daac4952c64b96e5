#include "statement/statement_test.h"

/* Opens the first link to the leader and proves its lead at position 3.50. */
static void warm(struct rig *rig)
{
	rig_query(rig, SQL_WRITE, NULL, NULL);
	rig_opened(rig, 1);
	rig_result(rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	rig->events[0] = '\0';
}

/* Guards against a read on a former leader: the lead is proven before the read is sent. */
static void test_newest_read_is_guarded(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "open:a ");
	rig_opened(&rig, 1);
	RIG_EXPECT(&rig, "1<begin ");
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	RIG_EXPECT(&rig, "1<read 1<rollback ");
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	RIG_EXPECT(&rig, "answer:ok:sigI ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "1<begin ");
	/* The lead has moved: nothing is read there. */
	rig_result(&rig, 1, SQL_READ_ONLY, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "answer:busyI ");
	CU_ASSERT_TRUE(rig.missed > 0);
	rig_destroy(&rig);
}

/* Guards against a replica read without the position that its age or its session asks for. */
static void test_replica_reads_carry_positions(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_SESSION);
	warm(&rig);
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "open:b ");
	rig_opened(&rig, 2);
	RIG_EXPECT(&rig, "2<read@3.50 ");
	rig_result(&rig, 2, SQL_BEHIND, SQL_IDLE, 3, 40);
	/* The next copy gets it; the leader, which is costlier, comes last. */
	RIG_EXPECT(&rig, "open:c ");
	rig_opened(&rig, 3);
	rig_result(&rig, 3, SQL_BEHIND, SQL_IDLE, 3, 40);
	RIG_EXPECT(&rig, "3<read@3.50 1<read@3.50 ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "answer:ok:sigI ");
	rig_destroy(&rig);
}

static void status_result(struct rig *rig, uint32_t link, bool leads, struct bc_position applied,
			  struct bc_position received)
{
	struct sql_result result = {.code = SQL_OK,
				    .has_position = true,
				    .position = applied,
				    .has_status = true,
				    .leads = leads,
				    .received = received};

	stm_link_result(rig->links[link - 1], &result, rig->now_us);
}

/*
 * Guards against stale reads after a promotion under replica_lag: a promoted copy leads, and takes
 * a plain transaction, before it has applied the commits that it had received.
 */
static void test_promoted_leader_catches_up(void)
{
	struct bc_position applied = {1, 189};
	struct bc_position received = {1, 266};
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	warm(&rig);
	rig_endpoint(&rig, "c", "other", true);
	rig_query(&rig, SQL_READ, NULL, NULL);
	rig_opened(&rig, 2);
	RIG_EXPECT(&rig, "open:c 2<status ");
	status_result(&rig, 2, true, applied, received);
	RIG_EXPECT(&rig, "answer:busyI ");
	/* Within a moment it is not asked again, but still not read from. */
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "answer:busyI ");
	/* A single write needs no view of the data. */
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "2<write ");
	rig_result(&rig, 2, SQL_OK, SQL_IDLE, 2, 267);
	rig.events[0] = '\0';
	rig_time(&rig, 60);
	rig.events[0] = '\0';
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "2<status ");
	status_result(&rig, 2, true, received, received);
	RIG_EXPECT(&rig, "2<begin ");
	rig_result(&rig, 2, SQL_OK, SQL_IN_TRANSACTION, 2, 267);
	RIG_EXPECT(&rig, "2<read 2<rollback ");
	rig_destroy(&rig);
}

/* How a statement is lost, and what may be told of it. */
struct loss_case {
	const char *name;
	enum sql_verb verb;
	bool in_transaction;
	bool timeout; /* instead of a broken connection */
	const char *expected;
};

static const struct loss_case loss_cases[] = {
	{"a single write may have run", SQL_WRITE, false, false, "answer:unknown_outcomeI "},
	{"a single write without an answer", SQL_WRITE, false, true, "answer:unknown_outcomeI "},
	{"a write of a transaction is rolled back", SQL_WRITE, true, false, "answer:abortedE "},
	{"a commit may have run", SQL_COMMIT, true, false, "answer:unknown_outcomeI "},
	{"a commit without an answer", SQL_COMMIT, true, true, "answer:unknown_outcomeI "},
	{"a transaction's read without an answer", SQL_READ, true, true, "answer:timed_outE "},
};

/* Guards against a promise for a statement that may have run, and doubt about one that has not. */
static void test_lost_answers(void)
{
	size_t i;

	for (i = 0; i < sizeof(loss_cases) / sizeof(loss_cases[0]); i++) {
		const struct loss_case *c = &loss_cases[i];
		struct rig rig;

		rig_create(&rig, "p", STM_NEWEST);
		warm(&rig);
		if (c->in_transaction) {
			rig_query(&rig, SQL_BEGIN, NULL, NULL);
			rig_query(&rig, SQL_WRITE, NULL, NULL);
			rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
			rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
		}
		rig_query(&rig, c->verb, NULL, NULL);
		rig.events[0] = '\0';
		if (c->timeout)
			rig_time(&rig, 850);
		else
			stm_link_lost(rig.links[0], "reset", rig.now_us);
		/* What the engine does with the link comes after the answer or before it. */
		if (!strstr(rig.events, c->expected))
			printf("\n%s: got \"%s\"\n", c->name, rig.events);
		CU_ASSERT_PTR_NOT_NULL(strstr(rig.events, c->expected));
		rig_destroy(&rig);
	}
}

/* Guards against a read being lost with its connection while another endpoint could serve it. */
static void test_lost_read_goes_elsewhere(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_AGED);
	warm(&rig);
	rig_query(&rig, SQL_READ, NULL, NULL);
	rig_opened(&rig, 2);
	RIG_EXPECT(&rig, "open:b 2<read@3.50 ");
	stm_link_lost(rig.links[1], "reset", rig.now_us);
	RIG_EXPECT(&rig, "open:c ");
	rig_destroy(&rig);
}

/* The pattern of a dark endpoint: it accepts and never answers. Guards against waiting for it. */
static void test_silent_endpoint_is_left(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_AGED);
	warm(&rig);
	rig_query(&rig, SQL_READ, NULL, NULL);
	rig_opened(&rig, 2);
	RIG_EXPECT(&rig, "open:b 2<read@3.50 ");
	rig_time(&rig, 200);
	CU_ASSERT_PTR_NULL(strstr(rig.events, "open:c"));
	rig_time(&rig, 200);
	rig_time(&rig, 60);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.events, "open:c"));
	rig_destroy(&rig);
}

/*
 * Guards against a transaction's statement on a connection with another session's values: they are
 * cleared and set before, and BEGIN comes after them.
 */
static void test_session_values_precede(void)
{
	struct stm_session *first;
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	first = rig.session;
	rig_query(&rig, SQL_SET, "zone", "east");
	RIG_EXPECT(&rig, "answer:okI ");
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_opened(&rig, 1);
	RIG_EXPECT(&rig, "open:a 1<set:zone ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 0, 0);
	RIG_EXPECT(&rig, "1<write ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "answer:ok:sigI ");
	/* The same session again: nothing is to be set. */
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "1<write ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 51);
	rig.events[0] = '\0';
	rig.session = stm_session_open(rig.engine, "db", &rig);
	rig_prepare(&rig, "s1", "q7", true);
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	RIG_EXPECT(&rig, "answer:okI answer:okT ");
	rig_query(&rig, SQL_EXECUTE, "s1", "5 x");
	RIG_EXPECT(&rig, "1<discard 1<prepare:wq7 1<begin ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 0, 0);
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 0, 0);
	RIG_EXPECT(&rig, "");
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 51);
	RIG_EXPECT(&rig, "1<execute:wq7 ");
	stm_session_close(first, rig.now_us);
	rig_destroy(&rig);
}

/* Guards against running a statement after its session's values could not be set. */
static void test_failed_preamble(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	rig_query(&rig, SQL_SET, "zone", "east");
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_opened(&rig, 1);
	rig.events[0] = '\0';
	rig_result(&rig, 1, SQL_FAILED, SQL_IDLE, 0, 0);
	RIG_EXPECT(&rig, "answer:busyI ");
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "1<discard 1<set:zone ");
	rig_destroy(&rig);
}

/* Guards against the answer to one statement being given to another after one was lost. */
static void test_answer_of_another_statement(void)
{
	struct sql_result unsigned_result = {.code = SQL_OK, .state = SQL_IDLE};
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	warm(&rig);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig.events[0] = '\0';
	stm_link_result(rig.links[0], &unsigned_result, rig.now_us);
	RIG_EXPECT(&rig, "answer:unknown_outcomeI ");
	rig_destroy(&rig);
}

/* Guards against the use of an endpoint that discovery has dropped while its answer was due. */
static void test_endpoint_removed_meanwhile(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_AGED);
	warm(&rig);
	rig_query(&rig, SQL_READ, NULL, NULL);
	rig_opened(&rig, 2);
	RIG_EXPECT(&rig, "open:b 2<read@3.50 ");
	grp_endpoint_remove(rig.groups, "b", rig.now_us);
	rig_result(&rig, 2, SQL_BEHIND, SQL_IDLE, 3, 40);
	RIG_EXPECT(&rig, "close:2 open:c ");
	rig_destroy(&rig);
}

/* Guards against a connection that is lent on inside a transaction that its caller left. */
static void test_caller_leaves_transaction(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	warm(&rig);
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig.events[0] = '\0';
	stm_session_close(rig.session, rig.now_us);
	RIG_EXPECT(&rig, "1<rollback ");
	rig.session = stm_session_open(rig.engine, "db", &rig);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	/* The link is not free yet, so another one is opened. */
	RIG_EXPECT(&rig, "open:a ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "1<write ");
	rig_destroy(&rig);
}

/* Guards against a transaction whose caller rests in it keeping a connection for ever. */
static void test_idle_transaction_ends(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	warm(&rig);
	stm_transaction_idle_set(rig.engine, 3000 * MS);
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	rig_query(&rig, SQL_READ, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig.events[0] = '\0';
	rig_time(&rig, 2900);
	RIG_EXPECT(&rig, "");
	rig_time(&rig, 200);
	RIG_EXPECT(&rig, "1<rollback ");
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "answer:abortedE ");
	rig_query(&rig, SQL_COMMIT, NULL, NULL);
	RIG_EXPECT(&rig, "answer:abortedI ");
	rig_destroy(&rig);
}

/*
 * The pattern of a burst: more writers than a leader's connections, which all are busy. Guards
 * against holding callers: who cannot be served in a quarter of the wanted time is refused then,
 * long before the statement's timeout, and told that nothing ran.
 */
static void test_load_refuses_early(void)
{
	struct stm_session *sessions[12];
	struct rig rig;
	uint32_t i;

	rig_create(&rig, "p", STM_NEWEST);
	for (i = 0; i < 12; i++) {
		sessions[i] = stm_session_open(rig.engine, "db", &rig);
		rig.session = sessions[i];
		rig_query(&rig, SQL_WRITE, NULL, NULL);
	}
	RIG_EXPECT(&rig, "open:a open:a open:a open:a ");
	for (i = 1; i <= 4; i++)
		rig_opened(&rig, i);
	RIG_EXPECT(&rig, "1<write 2<write 3<write 4<write ");
	rig_time(&rig, 90);
	RIG_EXPECT(&rig, "");
	rig_time(&rig, 20);
	RIG_EXPECT(&rig, "answer:busyI answer:busyI answer:busyI answer:busyI answer:busyI "
			 "answer:busyI answer:busyI answer:busyI ");
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "answer:ok:sigI ");
	rig_destroy(&rig);
}

/* Guards against connections beyond the allowance, which endpoints reset. */
static void test_allowance_holds(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "open:a ");
	stm_link_opened(rig.links[0], SQL_CONNECTIONS, rig.now_us);
	/* One attempt after a moment, not one for each waiter. */
	rig_time(&rig, 30);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.events, "open:a "));
	rig_destroy(&rig);
}

/* A statement that is not allowed in its state. */
struct state_case {
	const char *name;
	enum sql_verb first; /* SQL_MALFORMED: none */
	enum sql_verb second;
	const char *expected;
};

static const struct state_case state_cases[] = {
	{"commit without a transaction", SQL_MALFORMED, SQL_COMMIT, "answer:bad_statementI "},
	{"rollback without a transaction", SQL_MALFORMED, SQL_ROLLBACK, "answer:bad_statementI "},
	{"a transaction in a transaction", SQL_BEGIN, SQL_BEGIN, "answer:bad_statementT "},
	{"rollback of an unused transaction", SQL_BEGIN, SQL_ROLLBACK, "answer:okI "},
	{"an unknown prepared name", SQL_MALFORMED, SQL_EXECUTE, "answer:no_preparedI "},
	{"a malformed statement", SQL_MALFORMED, SQL_MALFORMED, "answer:bad_statementI "},
};

/* Guards against a statement without an answer, or one that changes the state wrongly. */
static void test_states(void)
{
	size_t i;

	for (i = 0; i < sizeof(state_cases) / sizeof(state_cases[0]); i++) {
		const struct state_case *c = &state_cases[i];
		struct rig rig;

		rig_create(&rig, "p", STM_NEWEST);
		if (c->first != SQL_MALFORMED)
			rig_query(&rig, c->first, NULL, NULL);
		rig.events[0] = '\0';
		rig_query(&rig, c->second, "name", "value");
		RIG_EXPECT(&rig, c->expected);
		rig_destroy(&rig);
	}
}

/* Guards against serving a dropped database, and against ending its open transaction. */
static void test_route_change_between_transactions(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	warm(&rig);
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	snprintf(rig.route.database, sizeof(rig.route.database), "renamed");
	rig.events[0] = '\0';
	rig_query(&rig, SQL_COMMIT, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 51);
	RIG_EXPECT(&rig, "1<commit answer:ok:sigI ");
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "answer:no_databaseI ");
	rig_destroy(&rig);
}

static void on_status(void *data, const char *endpoint_id, enum sql_code code,
		      const struct sql_result *result, uint64_t now_us)
{
	(void)endpoint_id;
	(void)result;
	(void)now_us;
	rig_note(data, "status:%s ", sql_code_name(code));
}

/* Guards against a copy that is leaving, and may have the last commits, not being asked for them.
 */
static void test_status_of_leaving_endpoint(void)
{
	struct grp_endpoint *endpoint;
	struct rig rig;

	rig_create(&rig, "p", STM_NEWEST);
	endpoint = grp_endpoint_find(rig.groups, "b");
	CU_ASSERT_PTR_NOT_NULL_FATAL(endpoint);
	/* The linter does not know that a fatal assertion ends the test. */
	if (!endpoint)
		return;
	endpoint->info.leaving = true;
	stm_endpoint_gone(rig.engine, endpoint, rig.now_us);
	stm_status_ask(rig.engine, endpoint, 250 * MS, on_status, &rig, rig.now_us);
	RIG_EXPECT(&rig, "open:b ");
	rig_opened(&rig, 1);
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 50);
	RIG_EXPECT(&rig, "1<status close:1 status:ok ");
	rig_destroy(&rig);
}

/*
 * The load of the first seconds after a loss of all power: callers wait at each proxy, and a
 * handshake takes a slot of the endpoint for 27 ms. Eight holders opened 88 connections to each
 * endpoint of three slots, which took 0.8 s (tvbu-habitsync-grown). Guards against more connections
 * than may run statements while statements run on those there are, and against waiting behind
 * transactions that pause.
 */
static void test_load_of_handshakes(void)
{
	static const struct {
		const char *name;
		enum sql_verb first; /* of the sessions that have the open links */
		const char *then;    /* after a further write */
	} cases[] = {{"statements run", SQL_WRITE, ""},
		     {"transactions pause", SQL_BEGIN, "open:a "}};
	size_t c;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct stm_session *sessions[4];
		struct rig rig;
		uint32_t i;

		rig_create(&rig, "db", STM_NEWEST);
		stm_allowance_set(rig.engine, grp_endpoint_find(rig.groups, "a"), 4, 2);
		sessions[0] = rig.session;
		for (i = 1; i < 4; i++)
			sessions[i] = stm_session_open(rig.engine, "db", &rig);
		for (i = 0; i < 2; i++) {
			rig.session = sessions[i];
			if (cases[c].first == SQL_BEGIN)
				rig_query(&rig, SQL_BEGIN, NULL, NULL);
			rig_query(&rig, SQL_WRITE, NULL, NULL);
			rig_opened(&rig, i + 1);
			if (cases[c].first == SQL_BEGIN) {
				rig_result(&rig, i + 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
				rig_result(&rig, i + 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
			}
		}
		rig.events[0] = '\0';
		rig.session = sessions[2];
		rig_query(&rig, SQL_WRITE, NULL, NULL);
		if (strcmp(rig.events, cases[c].then) != 0)
			printf("\n%s: %s\n", cases[c].name, rig.events);
		CU_ASSERT_STRING_EQUAL(rig.events, cases[c].then);
		rig_destroy(&rig);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"newest_read_is_guarded", test_newest_read_is_guarded},
		{"replica_reads_carry_positions", test_replica_reads_carry_positions},
		{"promoted_leader_catches_up", test_promoted_leader_catches_up},
		{"status_of_leaving_endpoint", test_status_of_leaving_endpoint},
		{"lost_answers", test_lost_answers},
		{"lost_read_goes_elsewhere", test_lost_read_goes_elsewhere},
		{"silent_endpoint_is_left", test_silent_endpoint_is_left},
		{"session_values_precede", test_session_values_precede},
		{"failed_preamble", test_failed_preamble},
		{"answer_of_another_statement", test_answer_of_another_statement},
		{"endpoint_removed_meanwhile", test_endpoint_removed_meanwhile},
		{"caller_leaves_transaction", test_caller_leaves_transaction},
		{"idle_transaction_ends", test_idle_transaction_ends},
		{"load_refuses_early", test_load_refuses_early},
		{"allowance_holds", test_allowance_holds},
		{"load_of_handshakes", test_load_of_handshakes},
		{"states", test_states},
		{"route_change_between_transactions", test_route_change_between_transactions},
		CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"statement", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
