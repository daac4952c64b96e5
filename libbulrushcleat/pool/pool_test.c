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
};

static void record_event(struct fixture *fixture, const char *what, const char *value)
{
	size_t used = strlen(fixture->events);

	snprintf(fixture->events + used, sizeof(fixture->events) - used, "%s%s%s ", what,
		 value[0] ? ":" : "", value);
}

static void on_open(void *data, const char *endpoint)
{
	(void)endpoint;
	record_event(data, "open", "");
}

static void on_close(void *data, const char *endpoint, const char *connection)
{
	(void)endpoint;
	record_event(data, "close", connection);
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
	char *end;

	request.waiter = strtoul(step + 2, &end, 10);
	request.deadline_us = *end == '<' ? strtoul(end + 1, NULL, 10) * 1000 : 100000000;
	request.customer = customer;
	request.priority = step[1] >= 'a';
	request.on_primary = step[0] != 'f';
	request.reserved = step[0] == 'w';
	pool_acquire(fixture->pool, &request, fixture->now_us);
}

/*
 * Runs one step of a script:
 *   w, r, f  followed by CUSTOMER WAITER[<DEADLINE_MS], without a space: request a connection for a
 *            write, a read on a primary or a read elsewhere; a lower-case customer has priority 1
 *   o, l, e  report an open as successful, BC_ELIMIT or BC_EIO
 *   +, -     return a connection as clean or not clean
 *   @        set the time in ms and call pool_tick()
 *   c        cancel a waiter
 *   L, P     set the endpoint's connection limit or the number of proxies
 *   x        remove the endpoint
 */
static void run_step(struct fixture *fixture, const char *step)
{
	char id[16];

	switch (step[0]) {
	case 'o':
		snprintf(id, sizeof(id), "c%d", ++fixture->opened);
		pool_opened(fixture->pool, "e", BC_OK, id, fixture->now_us);
		break;
	case 'l':
		pool_opened(fixture->pool, "e", BC_ELIMIT, NULL, fixture->now_us);
		break;
	case 'e':
		pool_opened(fixture->pool, "e", BC_EIO, NULL, fixture->now_us);
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
	default:
		acquire(fixture, step);
	}
}

static const struct {
	const char *failure; /* the failure that the case guards against */
	const char *steps;
	const char *events;
} cases[] = {
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

static void test_scripts(void)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, NULL};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_ctx *ctx = bc_ctx_create(1);
		struct fixture fixture = {0};
		char steps[256];
		char *save = NULL;
		char *step;

		fixture.pool = pool_create(ctx, &ops, &fixture);
		snprintf(steps, sizeof(steps), "%s", cases[i].steps);
		for (step = strtok_r(steps, " ", &save); step; step = strtok_r(NULL, " ", &save))
			run_step(&fixture, step);
		if (strcmp(fixture.events, cases[i].events) != 0)
			printf("\n%s:\n  got  %s\n  want %s\n", cases[i].failure, fixture.events,
			       cases[i].events);
		CU_ASSERT_STRING_EQUAL(fixture.events, cases[i].events);
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

int main(void)
{
	CU_TestInfo tests[] = {
		{"scripts", test_scripts}, {"queue_full", test_queue_full}, CU_TEST_INFO_NULL};
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
