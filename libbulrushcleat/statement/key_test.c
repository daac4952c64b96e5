#include "statement/statement_internal.h"
#include "statement/statement_test.h"

/* Tests of callers' keys, and of the admission of their operations. */

static const char *const both[] = {"mill", "farm"};
static const char *const farm_only[] = {"farm"};

/* A proxy with the accounts "mill" and "farm", and the session of a caller with mill's key. */
static void setup(struct rig *rig)
{
	rig_create(rig, "p", STM_STRONG);
	rig_accounts_set(rig, both, 2);
	rig_session_open(rig, "mill");
	CU_ASSERT_PTR_NOT_NULL_FATAL(rig->session);
}

static void withdraw(struct rig *rig)
{
	rig_accounts_set(rig, farm_only, 1);
}

struct open_case {
	const char *failure; /* the failure that the case guards against */
	const char *key;
	bool has_accounts;
	bool is_public;
	enum sql_code refusal;
	const char *account;
};

static const struct open_case open_cases[] = {
	{"a known key refused", "mill", true, false, SQL_OK, "mill"},
	{"an unknown key served", "barn", true, false, SQL_UNAUTHENTICATED, NULL},
	{"no key served", NULL, true, false, SQL_UNAUTHENTICATED, NULL},
	{"a key checked on a public route", "barn", true, true, SQL_OK, ""},
	{"an account on a public route", "mill", true, true, SQL_OK, ""},
	{"a key checked without accounts", "barn", false, false, SQL_OK, ""},
	{"a missing key refused without accounts", NULL, false, false, SQL_OK, ""},
};

static void test_open(void)
{
	size_t i;

	for (i = 0; i < sizeof(open_cases) / sizeof(open_cases[0]); i++) {
		const struct open_case *c = &open_cases[i];
		struct rig rig;
		bool right;

		rig_create(&rig, "p", STM_STRONG);
		rig.route.is_public = c->is_public;
		if (c->has_accounts)
			rig_accounts_set(&rig, both, 2);
		rig_session_open(&rig, c->key);
		right = rig.refusal == c->refusal && !rig.session == !c->account &&
			(!rig.session || strcmp(rig.session->account, c->account) == 0);
		if (!right)
			printf("\n%s\n", c->failure);
		CU_ASSERT_TRUE(right);
		CU_ASSERT_EQUAL(stm_stats_get(rig.engine).sessions, rig.session ? 1 : 0);
		rig_destroy(&rig);
	}
}

/* Guards against a withdrawn key that is still of use to a session that was idle. */
static void test_withdrawn_while_idle(void)
{
	struct rig rig;

	setup(&rig);
	withdraw(&rig);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_query(&rig, SQL_SET, "zone", "east");
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	RIG_EXPECT(&rig,
		   "answer:unauthenticatedI answer:unauthenticatedI answer:unauthenticatedI ");
	/* The key is in use again. */
	rig_accounts_set(&rig, both, 2);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "admit:mill:0:100 open:a ");
	rig_destroy(&rig);
}

/* Guards against a statement that is sent although its key was withdrawn while it was queued. */
static void test_withdrawn_while_queued(void)
{
	struct rig rig;

	setup(&rig);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "admit:mill:0:100 open:a ");
	withdraw(&rig);
	rig_opened(&rig, 1);
	RIG_EXPECT(&rig, "answer:unauthenticatedI ");
	CU_ASSERT_EQUAL(stm_stats_get(rig.engine).busy, 0);
	/* The link is free for the next statement. */
	rig_session_open(&rig, "farm");
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.events, "admit:farm"));
	rig_destroy(&rig);
}

/* Opens a transaction that has written through link 1. */
static void open_transaction(struct rig *rig)
{
	rig_query(rig, SQL_BEGIN, NULL, NULL);
	rig_query(rig, SQL_WRITE, NULL, NULL);
	rig_opened(rig, 1);
	rig_result(rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	RIG_EXPECT(rig, "answer:okT admit:mill:0:100 open:a 1<begin 1<write answer:ok:sigT ");
}

struct transaction_case {
	const char *failure;
	enum sql_verb verb;
	const char *expected;
};

static const struct transaction_case transaction_cases[] = {
	{"a statement of a withdrawn key runs", SQL_WRITE, "1<rollback answer:abortedE "},
	{"a read of a withdrawn key runs", SQL_READ, "1<rollback answer:abortedE "},
	{"a commit of a withdrawn key takes effect", SQL_COMMIT, "1<rollback answer:abortedI "},
	{"the caller cannot roll back", SQL_ROLLBACK, "1<rollback answer:okI "},
};

static void test_withdrawn_in_transaction(void)
{
	size_t i;

	for (i = 0; i < sizeof(transaction_cases) / sizeof(transaction_cases[0]); i++) {
		struct rig rig;

		setup(&rig);
		open_transaction(&rig);
		withdraw(&rig);
		rig_query(&rig, transaction_cases[i].verb, NULL, NULL);
		if (strcmp(rig.events, transaction_cases[i].expected) != 0)
			printf("\n%s\n", transaction_cases[i].failure);
		RIG_EXPECT(&rig, transaction_cases[i].expected);
		rig_query(&rig, SQL_ROLLBACK, NULL, NULL);
		rig.events[0] = '\0';
		rig_query(&rig, SQL_BEGIN, NULL, NULL);
		RIG_EXPECT(&rig, "answer:unauthenticatedI ");
		CU_ASSERT_EQUAL(stm_stats_get(rig.engine).transactions, 0);
		rig_destroy(&rig);
	}
}

/* Guards against a transaction that goes on under another account than it has begun under. */
static void test_key_moves_to_another_account(void)
{
	struct acc_digest key;
	struct rig rig;

	setup(&rig);
	open_transaction(&rig);
	withdraw(&rig);
	acc_digest_key("mill", &key);
	acc_add_key(rig.accounts, "farm", &key);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "1<rollback answer:abortedE ");
	rig_query(&rig, SQL_ROLLBACK, NULL, NULL);
	rig_query(&rig, SQL_BEGIN, NULL, NULL);
	CU_ASSERT_TRUE(rig.session && strcmp(rig.session->account, "farm") == 0);
	rig_destroy(&rig);
}

/*
 * Guards against a withdrawn key that is of use through a relay, and against a relay that refuses
 * an account which its own configuration does not have.
 */
static void test_relay(void)
{
	struct rig origin;
	struct rig relay;

	setup(&origin);
	rig_create(&relay, "relay", STM_STRONG);
	rig_accounts_set(&relay, farm_only, 1);
	origin.peer = &relay;
	relay.peer = &origin;
	origin.relay = "relay";
	rig_query(&origin, SQL_BEGIN, NULL, NULL);
	rig_query(&origin, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&origin, "answer:okT admit:mill:0:100 order:run ");
	CU_ASSERT_STRING_EQUAL(APR_RING_LAST(&relay.engine->sessions)->account, "mill");
	rig_opened(&relay, 1);
	rig_result(&relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_result(&relay, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	/* The relay neither checks the key nor asks for admission. */
	RIG_EXPECT(&relay, "open:a 1<begin 1<write reply:ok ");
	RIG_EXPECT(&origin, "answer:ok:sigT ");
	withdraw(&origin);
	rig_query(&origin, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&origin, "order:end answer:abortedE ");
	RIG_EXPECT(&relay, "1<rollback ");
	rig_query(&origin, SQL_ROLLBACK, NULL, NULL);
	rig_query(&origin, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&origin, "answer:okI answer:unauthenticatedI ");
	relay.peer = NULL;
	origin.peer = NULL;
	rig_destroy(&origin);
	rig_destroy(&relay);
}

/* Guards against an operation that is admitted twice, or not at all. */
static void test_admitted_once(void)
{
	struct rig rig;

	setup(&rig);
	open_transaction(&rig);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IN_TRANSACTION, 3, 50);
	rig_query(&rig, SQL_COMMIT, NULL, NULL);
	rig_result(&rig, 1, SQL_OK, SQL_IDLE, 3, 51);
	RIG_EXPECT(&rig, "1<write answer:ok:sigT 1<commit answer:ok:sigI ");
	/* The next operation asks again; its retry on another link does not. */
	rig_query(&rig, SQL_READ, NULL, NULL);
	RIG_EXPECT(&rig, "admit:mill:0:100 1<begin ");
	stm_link_lost(rig.links[0], "reset", rig.now_us);
	CU_ASSERT_PTR_NULL(strstr(rig.events, "admit"));
	rig_destroy(&rig);
}

/* Guards against admission being asked for where no account is in use. */
static void test_not_asked_without_account(void)
{
	struct rig rig;

	rig_create(&rig, "p", STM_STRONG);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "open:a ");
	rig_destroy(&rig);
	rig_create(&rig, "p", STM_STRONG);
	rig_accounts_set(&rig, both, 2);
	rig.route.is_public = true;
	rig_session_open(&rig, NULL);
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "open:a ");
	rig_destroy(&rig);
}

enum wait_end {
	END_ADMITTED,
	END_REFUSED,
	END_WITHDRAWN,
	END_TIMEOUT,
	END_CLOSED,
	END_STOPPED,
};

struct wait_case {
	const char *failure;
	enum wait_end end;
	bool in_transaction;
	const char *expected;
	const char *message;
};

static const struct wait_case wait_cases[] = {
	{"an admitted statement is not run", END_ADMITTED, false, "open:a ", NULL},
	{"an admitted transaction is not run", END_ADMITTED, true, "open:a ", NULL},
	{"a refusal without its retry time", END_REFUSED, false, "answer:busyI ",
	 "over_limit, not run, retry_after_ms=251"},
	{"a refused transaction stays open", END_REFUSED, true, "answer:abortedE ",
	 "over_limit, not run, retry_after_ms=251"},
	{"a withdrawn key is of use once admitted", END_WITHDRAWN, false,
	 "answer:unauthenticatedI ", NULL},
	{"a withdrawn key in a transaction", END_WITHDRAWN, true, "answer:abortedE ", NULL},
	{"a wait beyond the timeout", END_TIMEOUT, false, "cancel answer:busyI ",
	 "timed_out_before_run, not run, retry_after_ms=100"},
	{"a wait for a caller that has left", END_CLOSED, false, "cancel ", NULL},
	{"a statement unanswered at the end of the process", END_STOPPED, false,
	 "cancel answer:busyI ", "shutting_down, not run, retry_after_ms=100"},
};

static void end_wait(struct rig *rig, enum wait_end end)
{
	switch (end) {
	case END_WITHDRAWN:
		withdraw(rig);
		stm_admitted(rig->engine, rig->waiter, rig->now_us);
		return;
	case END_ADMITTED:
		stm_admitted(rig->engine, rig->waiter, rig->now_us);
		return;
	case END_REFUSED:
		/* The time is rounded up: a caller that retries earlier would be refused again. */
		stm_admission_refused(rig->engine, rig->waiter, RIG_RETRY_AFTER_US + 1,
				      rig->now_us);
		return;
	case END_TIMEOUT:
		rig_advance(rig, 800);
		return;
	case END_CLOSED:
		stm_session_close(rig->session, "test", rig->now_us);
		return;
	case END_STOPPED:
		stm_stop(rig->engine, rig->now_us);
		return;
	}
}

/* Guards against a wait for admission that does not end, or ends twice. */
static void test_waiting(void)
{
	size_t i;

	for (i = 0; i < sizeof(wait_cases) / sizeof(wait_cases[0]); i++) {
		const struct wait_case *c = &wait_cases[i];
		struct rig rig;

		setup(&rig);
		rig.admission = STM_ADMISSION_WAITING;
		rig.route.priority = 2;
		if (c->in_transaction)
			rig_query(&rig, SQL_BEGIN, NULL, NULL);
		rig_query(&rig, SQL_WRITE, NULL, NULL);
		RIG_EXPECT(&rig, c->in_transaction ? "answer:okT admit:mill:2:100 "
						   : "admit:mill:2:100 ");
		CU_ASSERT_TRUE(stm_session_busy(rig.session));
		end_wait(&rig, c->end);
		if (strcmp(rig.events, c->expected) != 0)
			printf("\n%s\n", c->failure);
		RIG_EXPECT(&rig, c->expected);
		if (c->message)
			CU_ASSERT_STRING_EQUAL(rig.message, c->message);
		/* A late answer is for nobody. */
		stm_admitted(rig.engine, rig.waiter, rig.now_us);
		stm_admission_refused(rig.engine, rig.waiter, 1, rig.now_us);
		RIG_EXPECT(&rig, "");
		CU_ASSERT_EQUAL(stm_stats_get(rig.engine).busy, c->end == END_ADMITTED ? 1 : 0);
		rig_destroy(&rig);
	}
}

/* Guards against a refusal that is not immediate, and against a wait shorter than 40 ms. */
static void test_refused_at_once(void)
{
	struct rig rig;

	setup(&rig);
	rig.route.target_us = 20 * MS;
	rig.admission = STM_ADMISSION_REFUSED;
	rig_query(&rig, SQL_WRITE, NULL, NULL);
	RIG_EXPECT(&rig, "admit:mill:0:40 answer:busyI ");
	CU_ASSERT_STRING_EQUAL(rig.message, "over_limit, not run, retry_after_ms=250");
	rig_destroy(&rig);
}

int main(void)
{
	CU_TestInfo tests[] = {{"open", test_open},
			       {"withdrawn_while_idle", test_withdrawn_while_idle},
			       {"withdrawn_while_queued", test_withdrawn_while_queued},
			       {"withdrawn_in_transaction", test_withdrawn_in_transaction},
			       {"key_moves_to_another_account", test_key_moves_to_another_account},
			       {"relay", test_relay},
			       {"admitted_once", test_admitted_once},
			       {"not_asked_without_account", test_not_asked_without_account},
			       {"waiting", test_waiting},
			       {"refused_at_once", test_refused_at_once},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"key", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
