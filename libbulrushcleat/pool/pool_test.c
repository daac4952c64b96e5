#include "pool/pool.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The pool under test, its callbacks as text, and the state of a script. */
struct fixture {
	struct pool_state *pool;
	char events[2048];
	uint64_t now_us;
	int opened;
	const char *account; /* of requests without one */
	char opening[32][8]; /* accounts of all opens */
	int opens;
	int answered_opens;
	uint64_t cancelled_by_close; /* waiter that the next close cancels, or 0 */
};

static void record_event(struct fixture *fixture, const char *what, const char *value)
{
	size_t used = strlen(fixture->events);

	snprintf(fixture->events + used, sizeof(fixture->events) - used, "%s%s%s ", what,
		 value[0] ? ":" : "", value);
}

static void on_open(void *data, const char *endpoint, const char *account)
{
	struct fixture *fixture = data;

	(void)endpoint;
	snprintf(fixture->opening[fixture->opens++], sizeof(fixture->opening[0]), "%s", account);
	record_event(fixture, "open", account);
}

static void on_close(void *data, const char *endpoint, const char *connection)
{
	struct fixture *fixture = data;
	uint64_t waiter = fixture->cancelled_by_close;

	(void)endpoint;
	record_event(fixture, "close", connection);
	fixture->cancelled_by_close = 0;
	if (waiter)
		pool_cancel(fixture->pool, waiter, fixture->now_us);
}

static void on_granted(void *data, uint64_t waiter, const char *endpoint, const char *connection)
{
	(void)endpoint;
	char value[96];

	snprintf(value, sizeof(value), "%d=%s", (int)waiter, connection);
	record_event(data, "lend", value);
}

static void on_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	char value[96];

	snprintf(value, sizeof(value), "%d=%s", (int)waiter, bc_status_name(status));
	record_event(data, "reject", value);
}

/* The connection's id or the number after the step's letter. */
static const char *step_argument(const char *step)
{
	return step + 1;
}

static void acquire(struct fixture *fixture, const char *step)
{
	struct pool_request request = {.endpoint = "e"};
	char customer[2] = {step[1], '\0'};
	char account[8];
	char *end;

	request.waiter = strtoul(step + 2, &end, 10);
	request.account = fixture->account;
	if (*end == '=') {
		snprintf(account, sizeof(account), "%.*s", (int)strcspn(end + 1, "<"), end + 1);
		request.account = account;
		end += 1 + strlen(account);
	}
	request.deadline_us = *end == '<' ? strtoul(end + 1, NULL, 10) * 1000 : 100000000;
	request.customer = customer;
	request.priority = step[1] >= 'a';
	request.on_primary = step[0] != 'f';
	request.reserved = step[0] == 'w';
	pool_acquire(fixture->pool, &request, fixture->now_us);
}

/* Reports the result of the oldest open without one. */
static void opened(struct fixture *fixture, enum bc_status status, const char *id)
{
	const char *account = fixture->answered_opens < fixture->opens
				      ? fixture->opening[fixture->answered_opens++]
				      : "";

	pool_opened(fixture->pool, "e", account, status, id, fixture->now_us);
}

/*
 * Runs one step of a script:
 *   w, r, f  followed by CUSTOMER WAITER[=ACCOUNT][<DEADLINE_MS], without a space: request a
 *            connection for a write, a read on a primary or a read elsewhere; a lower-case customer
 *            has priority 1
 *   o, l, e  report the oldest open as successful, BC_ELIMIT or BC_EIO
 *   +, -     return a connection as clean or not clean
 *   @        set the time in ms and call pool_tick()
 *   c        cancel a waiter
 *   L, P     set the endpoint's connection limit or the number of proxies
 *   x        remove the endpoint
 *   C        have the next close cancel a waiter
 */
static void run_step(struct fixture *fixture, const char *step)
{
	char id[16];

	switch (step[0]) {
	case 'o':
		snprintf(id, sizeof(id), "c%d", ++fixture->opened);
		opened(fixture, BC_OK, id);
		break;
	case 'l':
		opened(fixture, BC_ELIMIT, NULL);
		break;
	case 'e':
		opened(fixture, BC_EIO, NULL);
		break;
	case '+':
	case '-':
		pool_release(fixture->pool, "e", step_argument(step), step[0] == '+',
			     fixture->now_us);
		break;
	case '@':
		fixture->now_us = strtoul(step_argument(step), NULL, 10) * 1000;
		pool_tick(fixture->pool, fixture->now_us);
		break;
	case 'c':
		pool_cancel(fixture->pool, strtoul(step_argument(step), NULL, 10), fixture->now_us);
		break;
	case 'L':
		pool_endpoint_set(fixture->pool, "e",
				  (uint32_t)strtoul(step_argument(step), NULL, 10));
		break;
	case 'P':
		pool_proxies_set(fixture->pool, (uint32_t)strtoul(step_argument(step), NULL, 10));
		break;
	case 'x':
		pool_endpoint_remove(fixture->pool, "e", fixture->now_us);
		break;
	case 'C':
		fixture->cancelled_by_close = strtoul(step_argument(step), NULL, 10);
		break;
	default:
		acquire(fixture, step);
	}
}

struct script {
	const char *failure; /* the failure that the case guards against */
	const char *steps;
	const char *events;
};

static const struct script cases[] = {
	{"an unknown endpoint", "wA1", "reject:1=io_error "},
	{"a deadline that has passed", "L4 @5 wA1<5", "reject:1=timeout "},
	{"a waiter id used twice", "L4 wA1 wA1", "open reject:1=invalid "},
	{"an idle connection not reused", "L4 wA1 o +c1 wB2", "open lend:1=c1 lend:2=c1 "},
	{"an unclean connection reused", "L4 wA1 o wB2 -c1 o",
	 "open lend:1=c1 open close:c1 lend:2=c2 "},
	{"more connections opened than there are waiters", "L4 wA1 wB2 c1 wA3 o o",
	 "open open lend:2=c1 lend:3=c2 "},
	{"more connections than the limit", "L2 wA1 wA2 wA3 o o +c1",
	 "open open lend:1=c1 lend:2=c2 lend:3=c1 "},
	{"one customer served before the others", "L1 fA1 fA2 fA3 fB4 fC5 o +c1 +c1 +c1 +c1",
	 "open lend:1=c1 lend:4=c1 lend:5=c1 lend:2=c1 lend:3=c1 "},
	{"an earlier deadline served later", "L1 fA1 o fA2<90 fA3<70 fA4<80 +c1 +c1 +c1",
	 "open lend:1=c1 lend:3=c1 lend:4=c1 lend:2=c1 "},
	{"a connection lent after the deadline", "L1 fA1 o fA2<50 @50 +c1",
	 "open lend:1=c1 reject:2=timeout "},
	{"reads on a primary that use all connections", "L3 rA1 rA2 o o rA3 wA4 o +c1",
	 "open open lend:1=c1 lend:2=c2 open lend:4=c3 lend:3=c1 "},
	{"reads starved when only one connection is allowed", "L1 rA1 rB2 wB3 o +c1 +c1",
	 "open lend:3=c1 lend:1=c1 lend:2=c1 "},
	{"too many opens to an endpoint that is full", "L4 wA1 wA2 l l @9 @20 l @29 @60 o +c3",
	 "open open open open lend:1=c1 open "},
	{"waiters kept when the endpoint does not answer", "L4 wA1 wA2 e @30 wA3 o e",
	 "open open reject:1=io_error reject:2=io_error lend:3=c1 "},
	{"waiters rejected though a connection is left", "L4 wA1 o wA2 e +c1",
	 "open lend:1=c1 open lend:2=c1 "},
	{"surplus connections kept from the other proxies",
	 "L4 P2 fA1 fA2 fA3 o o o +c1 +c2 +c3 @999 @1000 @5000 @8000",
	 "open open open lend:1=c1 lend:2=c2 lend:3=c3 close:c1 close:c2 close:c3 "},
	{"a connection lent that the endpoint is about to close", "L4 fA1 o +c1 @7999 fA2 +c2",
	 "open lend:1=c1 lend:2=c1 "},
	{"new requests on a removed endpoint", "L4 wA1 wA2 o x +c1 wA3 o",
	 "open open lend:1=c1 reject:2=io_error close:c1 reject:3=io_error close:c2 "},
	{"an endpoint that is not used when it is added again", "L4 wA1 o x L4 +c1 wA2",
	 "open lend:1=c1 lend:2=c1 "},
	{"a wait for an open after the deadline", "L4 wA1 l wB2<9", "open reject:2=limit_reached "},
	/* When a leader's replicas lag, all reads of its group go to its two connections. */
	{"high-priority statements behind others under overload",
	 "L1 fa1 o fa2 fb3 wA4 fB5 +c1 +c1 +c1 +c1",
	 "open lend:1=c1 lend:4=c1 lend:5=c1 lend:2=c1 lend:3=c1 "},
	{"customers of one priority not served round-robin", "L1 fa1 o fa2 fa3 fb4 +c1 +c1 +c1",
	 "open lend:1=c1 lend:2=c1 lend:4=c1 lend:3=c1 "},
	{"a deadline that high-priority waiters ahead make impossible",
	 "L1 fA1 o @8000 +c1 fA2 fA3<9500 fA4<9900 fa5<9400",
	 "open lend:1=c1 lend:2=c1 reject:5=limit_reached "},
	{"a queue in which the deadline can't be met",
	 "L1 fA1 o @8000 +c1 fA2 fA3<8400 fA4<8500 fB5<8500",
	 "open lend:1=c1 lend:2=c1 reject:4=limit_reached "},
};

/* A connection is opened in 20 ms and lent for 10 ms until the pool has learned otherwise. */
static const struct script account_cases[] = {
	{"a connection used under another account's name", "L4 fA1=x o +c1 fA2=y o +c2 fA3= o",
	 "open:x lend:1=c1 open:y lend:2=c2 open lend:3=c3 "},
	{"a connection of the account not reused", "L4 fA1=x o fB2=y o +c1 +c2 fA3=x",
	 "open:x lend:1=c1 open:y lend:2=c2 lend:3=c1 "},
	{"an own statement of the proxy that opens a connection beside an idle one",
	 "L4 fA1=x o +c1 fS2", "open:x lend:1=c1 lend:2=c1 "},
	{"another connection closed than the least recently used one",
	 "L3 fA1=x o fB2=y o fC3=z o +c2 +c3 +c1 @100 fD4=w o",
	 "open:x lend:1=c1 open:y lend:2=c2 open:z lend:3=c3 close:c2 open:w lend:4=c4 "},
	{"an account's only connection closed while another account has idle ones to spare",
	 "L3 fB1=y o +c1 fA2=x o @50 fA3=x o +c2 +c3 fD4=w",
	 "open:y lend:1=c1 open:x lend:2=c2 open:x lend:3=c3 close:c2 open:w "},
	{"a handshake for a shorter wait", "L4 fA1=x o @5 fA2=x +c1",
	 "open:x lend:1=c1 lend:2=c1 "},
	{"a handshake for each waiter of a burst", "L8 fA1=x fA2=x fA3=x fA4=x fA5=x fA6=x",
	 "open:x open:x open:x "},
	{"statements that wait for a transaction which rests", "L4 fA1=x o @50 fA2=x o",
	 "open:x lend:1=c1 open:x lend:2=c2 "},
	{"a rest that makes the following short waits look long",
	 "L4 fA1=x o @3000 +c1 fA2=x @3005 fA3=x +c1", "open:x lend:1=c1 lend:2=c1 lend:3=c1 "},
	{"all connections held by the transactions of one account, or others blocked by its "
	 "waiters",
	 "L4 fA1=x o @50 fA2=x o @100 fA3=x o @200 fA4=x fb5=y o +c4 fb6=y",
	 "open:x lend:1=c1 open:x lend:2=c2 open:x lend:3=c3 open:y lend:5=c4 lend:6=c4 "},
	{"an account without a connection while another one keeps its connection busy",
	 "L1 fA1=x o fA2=x fB3=y @50 fA4=x +c1 +c1 o +c2 o",
	 "open:x lend:1=c1 lend:2=c1 close:c1 open:y lend:3=c2 close:c2 open:x lend:4=c3 "},
	{"two accounts that exchange a connection after each statement",
	 "L1 fA1=x fB2=y fA3=x o @10 +c1 @60 +c1", "open:x lend:1=c1 lend:3=c1 close:c1 open:y "},
	{"several connections replaced before the endpoint has seen them closed",
	 "L2 fA1=x o fB2=y o +c1 +c2 fC3=z fD4=w o",
	 "open:x lend:1=c1 open:y lend:2=c2 close:c1 open:z lend:3=c3 close:c2 open:w "},
	{"another account's connection closed for less urgent waiters first",
	 "L1 fa1=x o fb2=y fC3=z @50 +c1 o", "open:x lend:1=c1 close:c1 open:z lend:3=c2 "},
	{"reads on a primary that use all connections", "L2 rA1=x o rB2=y wC3=y o +c1 +c2",
	 "open:x lend:1=c1 open:y lend:3=c2 lend:2=c2 "},
	{"connections of small accounts closed between two of their requests",
	 "L4 fA1=x o +c1 @8000 @49999 fA2=x +c1 @99998 @99999",
	 "open:x lend:1=c1 lend:2=c1 close:c1 "},
	{"a connection lent that the endpoint is about to close",
	 "L4 fA1=x o +c1 fB2=y o @50000 fA3=x",
	 "open:x lend:1=c1 open:y lend:2=c2 close:c1 open:x "},
	{"an idle connection kept by each of many proxies that are not relays",
	 "L1 fA1=x o +c1 @999 @1000", "open:x lend:1=c1 close:c1 "},
	{"idle connections kept above a lowered allowance",
	 "L4 fA1=x o fB2=y o fC3=z o +c1 +c2 +c3 L2 @999 @1000",
	 "open:x lend:1=c1 open:y lend:2=c2 open:z lend:3=c3 close:c1 "},
	{"too many opens to an endpoint that is full", "L4 fA1=x l fB2=y @9 @60 o",
	 "open:x open:x lend:1=c1 open:y "},
	/* One account sends 7.5 times its usual load. */
	{"a statement queued behind too many of its own account",
	 "L4 fA1=x o @8000 +c1 fB2=y o fC3=z o fD4=w o fA5=x fA6=x<8880 fA7=x<8880 "
	 "fA8=x<8880 fA9=x<8900",
	 "open:x lend:1=c1 open:y lend:2=c2 open:z lend:3=c3 open:w lend:4=c4 lend:5=c1 "
	 "reject:9=limit_reached "},
	{"a connection opened above a lowered allowance",
	 "L4 fA1=x o fB2=y o fC3=z o +c1 +c2 +c3 L2 fD4=w",
	 "open:x lend:1=c1 open:y lend:2=c2 open:z lend:3=c3 close:c1 close:c2 open:w "},
	{"an account freed while a connection is closed for it", "L1 fA1=x o +c1 C2 fB2=y o fC3=y",
	 "open:x lend:1=c1 close:c1 open:y lend:3=c2 "},
	{"an account whose name is the mark of requests for any connection",
	 "L1 fA1=x o fA2 fA3=* +c1 +c1", "open:x lend:1=c1 lend:2=c1 close:c1 open:* "},
	{"waiters of one account served before all others",
	 "L1 fA1=x fA2=x fA3=x fA4=y o @90 +c1 o", "open:x lend:1=c1 close:c1 open:y lend:4=c2 "},
};

/* Runs the script; requests that name no account are for `account`. */
static void run_script(const struct script *script, const char *account)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, NULL};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct fixture fixture = {.account = account};
	char steps[256];
	char *save = NULL;
	char *step;

	fixture.pool = pool_create(ctx, &ops, &fixture);
	snprintf(steps, sizeof(steps), "%s", script->steps);
	for (step = strtok_r(steps, " ", &save); step; step = strtok_r(NULL, " ", &save))
		run_step(&fixture, step);
	if (strcmp(fixture.events, script->events) != 0)
		printf("\n%s:\n  got  %s\n  want %s\n", script->failure, fixture.events,
		       script->events);
	CU_ASSERT_STRING_EQUAL(fixture.events, script->events);
	pool_destroy(fixture.pool);
	bc_ctx_destroy(ctx);
}

/* Without accounts, it makes no difference whether a request is for any connection. */
static void test_scripts(void)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_script(&cases[i], NULL);
		run_script(&cases[i], "");
	}
}

static void test_account_scripts(void)
{
	size_t i;

	for (i = 0; i < sizeof(account_cases) / sizeof(account_cases[0]); i++)
		run_script(&account_cases[i], NULL);
}

/* Guards against waits whose reason an operator can't see. */
static void test_wait_reasons(void)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, NULL};
	static const struct {
		const char *steps;
		const char *label;
	} waits[] = {
		{"L4 fA1=x", "reason=\"opening\""},
		{"L4 fA1=x o @5 fA2=x", "reason=\"in_use\""},
		{"L1 fA1=x o fA2=x", "reason=\"account_limit\""},
		{"L1 fA1=x o fA2=y", "reason=\"connection_limit\""},
		{"L1 fA1 o fA2", "reason=\"connection_limit\""},
		{"L4 fA1=x l fB2=y", "reason=\"open_failed\""},
	};
	size_t i;

	for (i = 0; i < sizeof(waits) / sizeof(waits[0]); i++) {
		struct bc_ctx *ctx = bc_ctx_create(1);
		struct fixture fixture = {0};
		char steps[64];
		char *save = NULL;
		char *step;

		fixture.pool = pool_create(ctx, &ops, &fixture);
		snprintf(steps, sizeof(steps), "%s", waits[i].steps);
		for (step = strtok_r(steps, " ", &save); step; step = strtok_r(NULL, " ", &save))
			run_step(&fixture, step);
		CU_ASSERT_TRUE(
			bc_counter_value(ctx, "bulrushcleat_pool_waits_total", waits[i].label) > 0);
		pool_destroy(fixture.pool);
		bc_ctx_destroy(ctx);
	}
}

/* Guards against an unbounded queue, and against one customer that keeps the others out of it. */
static void test_queue_full(void)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, NULL};
	static const struct {
		const char *step;
		const char *events;
	} full[] = {
		{"rA900", "reject:900=limit_reached "},
		{"wA901", "reject:127=limit_reached "},
		{"rB902", "reject:126=limit_reached "},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct fixture fixture = {0};
	char step[16];
	size_t i;

	fixture.pool = pool_create(ctx, &ops, &fixture);
	pool_endpoint_set(fixture.pool, "e", 1);
	for (i = 0; i < POOL_QUEUE_MAX; i++) {
		snprintf(step, sizeof(step), "rA%zu", i);
		run_step(&fixture, step);
	}
	for (i = 0; i < sizeof(full) / sizeof(full[0]); i++) {
		fixture.events[0] = '\0';
		run_step(&fixture, full[i].step);
		CU_ASSERT_STRING_EQUAL(fixture.events, full[i].events);
		CU_ASSERT_EQUAL(pool_stats_get(fixture.pool, "e").queued, POOL_QUEUE_MAX);
	}
	pool_destroy(fixture.pool);
	bc_ctx_destroy(ctx);
}

static uint32_t count_running(void *data, const char *endpoint)
{
	(void)endpoint;
	++*(uint32_t *)data;
	return 2;
}

static void ignore_open(void *data, const char *endpoint, const char *account)
{
	(void)data;
	(void)endpoint;
	(void)account;
}

/* Guards against a count of all running links for each account that waits. */
static void test_running_counted_once(void)
{
	static const struct pool_ops ops = {.open = ignore_open, .running = count_running};
	struct bc_ctx *ctx = bc_ctx_create(1);
	uint32_t calls = 0;
	struct pool_state *pool = pool_create(ctx, &ops, &calls);
	char account[8];
	uint64_t i;

	pool_endpoint_set(pool, "e", 8);
	pool_running_max_set(pool, "e", 2);
	for (i = 0; i < 20; i++) {
		struct pool_request request = {.endpoint = "e", .customer = "A"};

		request.waiter = i;
		request.account = account;
		request.deadline_us = BC_US_PER_S;
		snprintf(account, sizeof(account), "t%d", (int)i);
		pool_acquire(pool, &request, 0);
	}
	calls = 0;
	pool_tick(pool, 1);
	CU_ASSERT_EQUAL(calls, 1);
	pool_destroy(pool);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"scripts", test_scripts},
		{"account_scripts", test_account_scripts},
		{"running_counted_once", test_running_counted_once},
		{"wait_reasons", test_wait_reasons},
		{"queue_full", test_queue_full},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {{"pool", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
