#include "io/io_budget.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <unistd.h>

#define STARTUP_MS 600U
#define TRANSFER_MS 600U
/* The process does not run for this time. */
#define STALL_MS 2000U
/* Callers have at least this much left after the stall. */
#define LEFT_MIN_MS 200U
/* No caller is closed later than this. */
#define RUN_MS 4000U

struct fixture {
	struct io_loop *loop;
	struct io_budget *budget;
	uint64_t stalled_us; /* when the process went on */
	uint64_t closed_us;
};

static void on_close(void *data, void *holder_data, const char *reason)
{
	struct fixture *fixture = data;
	struct bud_holder **holder = holder_data;

	(void)reason;
	fixture->closed_us = io_now_us();
	bud_remove(*holder);
	*holder = NULL;
	io_loop_stop(fixture->loop);
}

static void on_resume(void *data, void *holder_data)
{
	(void)data;
	(void)holder_data;
}

static void on_iteration(void *data)
{
	io_budget_run(((struct fixture *)data)->budget);
}

static void on_stall(void *data)
{
	usleep(STALL_MS * 1000U);
	((struct fixture *)data)->stalled_us = io_now_us();
}

static void on_end(void *data)
{
	io_loop_stop(((struct fixture *)data)->loop);
}

/*
 * Guards against closing callers for the time in which the process did not run: what they have sent
 * may be unread, and after a suspension it is on its way. They are still closed later.
 */
static void test_stall(void)
{
	static const struct {
		const char *name;
		bool starts;
		enum bud_transfer transfer;
	} cases[] = {
		{"a connection without STARTUP", false, BUD_MESSAGE},
		{"a message", true, BUD_MESSAGE},
		{"an answer", true, BUD_ANSWER},
	};
	static const struct io_budget_ops ops = {on_close, on_resume};
	struct bud_limits limits;
	size_t i;

	bud_limits_default((uint64_t)1000 * 1000, &limits);
	limits.transfer_us = TRANSFER_MS * BC_US_PER_MS;
	limits.transfer_bytes_per_s = 1000;
	limits.startup_us = STARTUP_MS * BC_US_PER_MS;
	limits.startup_max = 10;
	limits.connections_max = 10;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bc_ctx *ctx = bc_ctx_create(1);
		struct fixture fixture = {.loop = io_loop_create(ctx)};
		struct bud_holder *holder;
		struct io_timer *end;
		uint64_t now_us = io_now_us();

		fixture.budget = io_budget_create(ctx, fixture.loop, &limits, &ops, &fixture);
		io_loop_on_iteration(fixture.loop, on_iteration, &fixture);
		holder = bud_add(io_budget_state(fixture.budget), true, 1, &holder, now_us);
		if (cases[i].starts) {
			bud_started(holder);
			bud_transfer_moved(holder, cases[i].transfer, 1, now_us);
		}
		io_timer_add(fixture.loop, 50 * BC_US_PER_MS, on_stall, &fixture);
		end = io_timer_add(fixture.loop, RUN_MS * BC_US_PER_MS, on_end, &fixture);
		io_loop_run(fixture.loop);
		if (fixture.closed_us < fixture.stalled_us + LEFT_MIN_MS * BC_US_PER_MS)
			printf("\n%s: closed too early\n", cases[i].name);
		CU_ASSERT_TRUE(fixture.closed_us >=
			       fixture.stalled_us + LEFT_MIN_MS * BC_US_PER_MS);
		CU_ASSERT_PTR_NULL(holder);
		bud_remove(holder);
		if (fixture.closed_us)
			io_timer_cancel(end);
		io_budget_destroy(fixture.budget);
		io_loop_destroy(fixture.loop);
		bc_ctx_destroy(ctx);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {{"stall", test_stall}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"io_budget", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
