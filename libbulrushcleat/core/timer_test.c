#include "core/timer.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define TIMERS 200U
#define STEPS 20000U

struct timer_owner {
	struct bc_timer timer;
	struct bc_timers *timers;
	uint64_t last_us;
	uint32_t calls;
	uint64_t rearm_after_us; /* delay after which the callback sets it again; 0: never */
};

static void on_timer(void *data, uint64_t now_us)
{
	struct timer_owner *owner = data;

	owner->last_us = now_us;
	owner->calls++;
	if (owner->rearm_after_us)
		bc_timer_set(owner->timers, &owner->timer, now_us + owner->rearm_after_us);
}

/* Guards against a heap that loses or reorders timers when they are moved or cancelled. */
static void test_random_against_reference(void)
{
	struct bc_timers *timers = bc_timers_create();
	struct timer_owner *owners = calloc(TIMERS, sizeof(*owners));
	uint64_t due_us[TIMERS];
	uint64_t now_us = 0;
	uint32_t step;
	uint32_t i;

	srand48(1);
	for (i = 0; i < TIMERS; i++) {
		bc_timer_init(&owners[i].timer, on_timer, &owners[i]);
		due_us[i] = BC_TIMER_NEVER;
	}
	for (step = 0; step < STEPS; step++) {
		uint64_t next_us = BC_TIMER_NEVER;

		i = (uint32_t)lrand48() % TIMERS;
		if (lrand48() % 4 == 0) {
			bc_timer_cancel(timers, &owners[i].timer);
			due_us[i] = BC_TIMER_NEVER;
		} else {
			due_us[i] = now_us + (uint64_t)(lrand48() % 1000);
			bc_timer_set(timers, &owners[i].timer, due_us[i]);
		}
		for (i = 0; i < TIMERS; i++)
			next_us = due_us[i] < next_us ? due_us[i] : next_us;
		CU_ASSERT_EQUAL_FATAL(bc_timers_next(timers), next_us);
		now_us += (uint64_t)(lrand48() % 20);
		bc_timers_run(timers, now_us);
		for (i = 0; i < TIMERS; i++) {
			bool due = due_us[i] <= now_us;

			CU_ASSERT_EQUAL_FATAL(bc_timer_is_set(&owners[i].timer),
					      !due && due_us[i] != BC_TIMER_NEVER);
			if (due)
				due_us[i] = BC_TIMER_NEVER;
		}
	}
	free(owners);
	bc_timers_destroy(timers);
}

/* Guards against a timer that is set again by its callback being lost or called in a loop. */
static void test_set_again(void)
{
	struct bc_timers *timers = bc_timers_create();
	struct timer_owner owner = {.timers = timers, .rearm_after_us = 10};
	uint64_t now_us;

	bc_timer_init(&owner.timer, on_timer, &owner);
	bc_timer_set(timers, &owner.timer, 10);
	for (now_us = 0; now_us <= 100; now_us++)
		bc_timers_run(timers, now_us);
	CU_ASSERT_EQUAL(owner.calls, 10);
	bc_timer_reduce(timers, &owner.timer, 500);
	CU_ASSERT_EQUAL(bc_timers_next(timers), 110);
	bc_timer_reduce(timers, &owner.timer, 105);
	CU_ASSERT_EQUAL(bc_timers_next(timers), 105);
	bc_timer_cancel(timers, &owner.timer);
	CU_ASSERT_EQUAL(bc_timers_next(timers), BC_TIMER_NEVER);
	bc_timers_destroy(timers);
}

int main(void)
{
	CU_TestInfo tests[] = {{"random_against_reference", test_random_against_reference},
			       {"set_again", test_set_again},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"timer", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
