#include "pool/pool.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What the pool asked for, as text, and the state of a script. */
struct bench {
	struct pool_state *pool;
	char events[2048];
	uint64_t now_us;
	int opened;
};

static void note(struct bench *bench, const char *what, const char *value)
{
	size_t used = strlen(bench->events);

	snprintf(bench->events + used, sizeof(bench->events) - used, "%s%s%s ", what,
		 value[0] ? ":" : "", value);
}

static void on_open(void *data, const char *endpoint)
{
	(void)endpoint;
	note(data, "open", "");
}

static void on_close(void *data, const char *endpoint, const char *connection)
{
	(void)endpoint;
	note(data, "close", connection);
}

static void on_granted(void *data, uint64_t waiter, const char *endpoint, const char *connection)
{
	(void)endpoint;
	char value[96];

	snprintf(value, sizeof(value), "%d=%s", (int)waiter, connection);
	note(data, "lend", value);
}

static void on_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	char value[96];

	snprintf(value, sizeof(value), "%d=%s", (int)waiter, bc_status_name(status));
	note(data, "reject", value);
}

/* The connection's id or the number that follows the step's letter. */
static const char *rest(const char *step)
{
	return step + 1;
}

static void acquire(struct bench *bench, const char *step)
{
	struct pool_want want = {.endpoint = "e"};
	char customer[2] = {step[1], '\0'};
	char *end;

	want.waiter = strtoul(step + 2, &end, 10);
	want.deadline_us = *end == '<' ? strtoul(end + 1, NULL, 10) * 1000 : 100000000;
	want.customer = customer;
	want.priority = step[1] >= 'a';
	want.on_primary = step[0] != 'f';
	want.reserved = step[0] == 'w';
	pool_acquire(bench->pool, &want, bench->now_us);
}

/*
 * Runs one step: w, r, f and CUSTOMER WAITER[<DEADLINE_MS] ask for a connection for a write, for a
 * read on a primary or for a read elsewhere, with priority 1 if the customer is a small letter; o,
 * l and e answer an open with a connection, "limit reached" and an error; + and - return a
 * connection clean and not clean; @ sets the time in ms and ticks; c cancels; L and P set limit and
 * proxies; x removes the endpoint.
 */
static void run_step(struct bench *bench, const char *step)
{
	char id[16];

	switch (step[0]) {
	case 'o':
		snprintf(id, sizeof(id), "c%d", ++bench->opened);
		pool_opened(bench->pool, "e", BC_OK, id, bench->now_us);
		break;
	case 'l':
		pool_opened(bench->pool, "e", BC_ELIMIT, NULL, bench->now_us);
		break;
	case 'e':
		pool_opened(bench->pool, "e", BC_EIO, NULL, bench->now_us);
		break;
	case '+':
	case '-':
		pool_release(bench->pool, "e", rest(step), step[0] == '+', bench->now_us);
		break;
	case '@':
		bench->now_us = strtoul(rest(step), NULL, 10) * 1000;
		pool_tick(bench->pool, bench->now_us);
		break;
	case 'c':
		pool_cancel(bench->pool, strtoul(rest(step), NULL, 10), bench->now_us);
		break;
	case 'L':
		pool_endpoint_set(bench->pool, "e", (uint32_t)strtoul(rest(step), NULL, 10));
		break;
	case 'P':
		pool_fleet_set(bench->pool, (uint32_t)strtoul(rest(step), NULL, 10));
		break;
	case 'x':
		pool_endpoint_remove(bench->pool, "e", bench->now_us);
		break;
	default:
		acquire(bench, step);
	}
}

static const struct {
	const char *guards; /* the failure that the case guards against */
	const char *steps;
	const char *events;
} cases[] = {
	{"an endpoint that is not known", "wA1", "reject:1=io_error "},
	{"a deadline that has passed", "L4 @5 wA1<5", "reject:1=timeout "},
	{"a number used twice", "L4 wA1 wA1", "open reject:1=invalid "},
	{"an idle connection not lent again", "L4 wA1 o +c1 wB2", "open lend:1=c1 lend:2=c1 "},
	{"an unclean connection lent on", "L4 wA1 o wB2 -c1 o",
	 "open lend:1=c1 open close:c1 lend:2=c2 "},
	{"more connections opened than there are waiters", "L4 wA1 wB2 c1 wA3 o o",
	 "open open lend:2=c1 lend:3=c2 "},
	{"more connections than the limit", "L2 wA1 wA2 wA3 o o +c1",
	 "open open lend:1=c1 lend:2=c2 lend:3=c1 "},
	{"one customer served before the others", "L1 fA1 fA2 fA3 fB4 fC5 o +c1 +c1 +c1 +c1",
	 "open lend:1=c1 lend:4=c1 lend:5=c1 lend:2=c1 lend:3=c1 "},
	{"an earlier deadline served later", "L1 fA1 o fA2<90 fA3<70 fA4<80 +c1 +c1 +c1",
	 "open lend:1=c1 lend:3=c1 lend:4=c1 lend:2=c1 "},
	{"a lending after the deadline", "L1 fA1 o fA2<50 @50 +c1",
	 "open lend:1=c1 reject:2=timeout "},
	{"reads on a primary that hold all connections", "L3 rA1 rA2 o o rA3 wA4 o +c1",
	 "open open lend:1=c1 lend:2=c2 open lend:4=c3 lend:3=c1 "},
	{"reads shut out by an allowance of one", "L1 rA1 rB2 wB3 o +c1 +c1",
	 "open lend:3=c1 lend:1=c1 lend:2=c1 "},
	{"an endpoint flooded with opens when it is full", "L4 wA1 wA2 l l @9 @20 l @29 @60 o +c3",
	 "open open open open lend:1=c1 open "},
	{"waiters kept when the endpoint does not answer", "L4 wA1 wA2 e @30 wA3 o e",
	 "open open reject:1=io_error reject:2=io_error lend:3=c1 "},
	{"waiters dropped though a connection is left", "L4 wA1 o wA2 e +c1",
	 "open lend:1=c1 open lend:2=c1 "},
	{"surplus connections kept from the other proxies",
	 "L4 P2 fA1 fA2 fA3 o o o +c1 +c2 +c3 @999 @1000 @5000 @8000",
	 "open open open lend:1=c1 lend:2=c2 lend:3=c3 close:c1 close:c2 close:c3 "},
	{"a lending of a connection that the endpoint closes", "L4 fA1 o +c1 @7999 fA2 +c2",
	 "open lend:1=c1 lend:2=c1 "},
	{"new work on an endpoint that leaves", "L4 wA1 wA2 o x +c1 wA3 o",
	 "open open lend:1=c1 reject:2=io_error close:c1 reject:3=io_error close:c2 "},
	{"an endpoint that is not used when it comes back", "L4 wA1 o x L4 +c1 wA2",
	 "open lend:1=c1 lend:2=c1 "},
	{"a wait for an open that comes too late", "L4 wA1 l wB2<9",
	 "open reject:2=limit_reached "},
	/* The load of a leader whose copies lag: all reads of its group come to its two slots. */
	{"urgent statements behind others under overload",
	 "L1 fa1 o fa2 fb3 wA4 fB5 +c1 +c1 +c1 +c1",
	 "open lend:1=c1 lend:4=c1 lend:5=c1 lend:2=c1 lend:3=c1 "},
	{"customers of one priority not in turns", "L1 fa1 o fa2 fa3 fb4 +c1 +c1 +c1",
	 "open lend:1=c1 lend:2=c1 lend:4=c1 lend:3=c1 "},
	{"a deadline that urgent statements ahead do not leave",
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
		struct bench bench = {0};
		char steps[256];
		char *save = NULL;
		char *step;

		bench.pool = pool_create(ctx, &ops, &bench);
		snprintf(steps, sizeof(steps), "%s", cases[i].steps);
		for (step = strtok_r(steps, " ", &save); step; step = strtok_r(NULL, " ", &save))
			run_step(&bench, step);
		if (strcmp(bench.events, cases[i].events) != 0)
			printf("\n%s:\n  got  %s\n  want %s\n", cases[i].guards, bench.events,
			       cases[i].events);
		CU_ASSERT_STRING_EQUAL(bench.events, cases[i].events);
		pool_destroy(bench.pool);
		bc_ctx_destroy(ctx);
	}
}

/* Guards against an unbounded queue, and one customer that keeps the others out of it. */
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
	struct bench bench = {0};
	char step[16];
	size_t i;

	bench.pool = pool_create(ctx, &ops, &bench);
	pool_endpoint_set(bench.pool, "e", 1);
	for (i = 0; i < POOL_QUEUE_MAX; i++) {
		snprintf(step, sizeof(step), "rA%zu", i);
		run_step(&bench, step);
	}
	for (i = 0; i < sizeof(full) / sizeof(full[0]); i++) {
		bench.events[0] = '\0';
		run_step(&bench, full[i].step);
		CU_ASSERT_STRING_EQUAL(bench.events, full[i].events);
		CU_ASSERT_EQUAL(pool_figures_get(bench.pool, "e").queued, POOL_QUEUE_MAX);
	}
	pool_destroy(bench.pool);
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
