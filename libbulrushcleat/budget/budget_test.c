#include "budget/budget.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define KB ((uint64_t)1024)
#define OVERHEAD_BYTES (8 * KB)
#define START_US (100 * BC_US_PER_S)
#define HOLDERS_MAX 8

/* 1,000 kB, of which 750 kB are for large holders, which are stopped at 562.5 kB. */
static struct bud_budget *create(void)
{
	struct bud_limits limits;

	bud_limits_default(1000 * KB, &limits);
	limits.small_bytes = 32 * KB;
	limits.transfer_us = 10 * BC_US_PER_S;
	limits.transfer_bytes_per_s = 1000;
	limits.startup_us = 2 * BC_US_PER_S;
	limits.startup_max = 3;
	limits.connections_max = 6;
	return bud_create(&limits);
}

static struct bud_holder *add(struct bud_budget *budget, uint64_t now_us)
{
	struct bud_holder *holder = bud_add(budget, true, OVERHEAD_BYTES, NULL, now_us);

	bud_started(holder);
	return holder;
}

/* Guards against limits that one message of 1 MiB meets, or that leave no room for the process. */
static void test_defaults(void)
{
	struct bud_limits limits;
	struct bud_budget *budget;
	struct bud_holder *holder;

	CU_ASSERT_EQUAL(bud_default_bytes(160 * 1000000), 80 * 1000000);
	bud_limits_default(8 * 1000000, &limits);
	budget = bud_create(&limits);
	holder = add(budget, START_US);
	bud_set(holder, BUD_INPUT, 1024 * KB);
	CU_ASSERT_TRUE(bud_may_read(holder, 32 * KB));
	CU_ASSERT_TRUE(bud_admits(holder, 3 * 1024 * KB));
	bud_remove(holder);
	CU_ASSERT_EQUAL(bud_total_bytes(budget), 0);
	bud_destroy(budget);
}

/* Guards against large holders that use the reserve of the small ones, and the reverse. */
static void test_admission(void)
{
	static const struct {
		const char *name;
		uint64_t other_kb; /* held by others */
		uint64_t own_kb;
		uint64_t more_kb;
		bool may_read;
		bool admitted;
	} cases[] = {
		{"a small holder in calm", 0, 4, 4, true, true},
		{"a large holder in calm", 0, 100, 100, true, true},
		{"a large holder above the stop", 500, 50, 32, false, true},
		{"a large holder in the reserve", 720, 50, 32, false, false},
		{"a small holder that would become large", 720, 4, 60, true, false},
		{"a small holder in the reserve", 900, 4, 16, true, true},
		{"a small holder beyond the total", 980, 4, 16, false, false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bud_budget *budget = create();
		struct bud_holder *other = bud_add(budget, false, 0, NULL, START_US);
		struct bud_holder *own = add(budget, START_US);
		bool may_read;
		bool admitted;

		bud_set(other, BUD_STATEMENT, cases[i].other_kb * KB);
		bud_set(own, BUD_INPUT, cases[i].own_kb * KB);
		admitted = bud_admits(own, cases[i].more_kb * KB);
		may_read = bud_may_read(own, cases[i].more_kb * KB);
		if (admitted != cases[i].admitted || may_read != cases[i].may_read)
			printf("\n%s: admitted %d, may read %d\n", cases[i].name, admitted,
			       may_read);
		CU_ASSERT_EQUAL(admitted, cases[i].admitted);
		CU_ASSERT_EQUAL(may_read, cases[i].may_read);
		/* Connections of the proxy itself are always read. */
		CU_ASSERT_TRUE(bud_may_read(other, 32 * KB));
		bud_remove(own);
		bud_remove(other);
		bud_destroy(budget);
	}
}

/*
 * Guards against closing in calm, closing a smaller or younger holder than the largest and slowest,
 * closing more than needed, and holders that are not read again.
 */
static void test_closes(void)
{
	struct bud_budget *budget = create();
	struct bud_holder *holders[3];
	struct bud_holder *holder;
	const char *reason;
	uint64_t now_us = START_US;
	int i;

	for (i = 0; i < 3; i++) {
		holders[i] = add(budget, now_us);
		bud_set(holders[i], BUD_INPUT, (uint64_t)(100 + 100 * i) * KB);
	}
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	/* The others need the memory up to the stop. */
	CU_ASSERT_FALSE(bud_may_read(holders[0], 32 * KB));
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	/* They have a second to finish. */
	now_us += 900 * BC_US_PER_MS;
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	now_us += 200 * BC_US_PER_MS;
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_CLOSE);
	CU_ASSERT_PTR_EQUAL(holder, holders[2]);
	CU_ASSERT_STRING_EQUAL(reason, "memory");
	bud_remove(holders[2]);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_RESUME);
	CU_ASSERT_PTR_EQUAL(holder, holders[0]);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	CU_ASSERT_TRUE(bud_may_read(holders[0], 32 * KB));
	/* At once when the reserve is used, though nobody is stopped. */
	bud_set(holders[1], BUD_OUTPUT, 600 * KB);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_CLOSE);
	CU_ASSERT_PTR_EQUAL(holder, holders[1]);
	bud_remove(holders[1]);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	bud_remove(holders[0]);
	CU_ASSERT_EQUAL(bud_total_bytes(budget), 0);
	bud_destroy(budget);
}

/* Guards against transfers that last for ever, and against closing callers that are only idle. */
static void test_transfers(void)
{
	static const struct {
		const char *name;
		uint64_t elapsed_ms;
		uint64_t moved_bytes;
		enum bud_transfer transfer;
		const char *reason; /* NULL: not closed */
	} cases[] = {
		{"a short message within its time", 9900, 1, BUD_MESSAGE, NULL},
		{"a message below the rate", 10100, 10000, BUD_MESSAGE, "slow_message"},
		{"a message above the rate", 20000, 20000, BUD_MESSAGE, NULL},
		{"a message that stops", 60000, 30000, BUD_MESSAGE, "slow_message"},
		{"an answer within its time", 9900, 0, BUD_ANSWER, NULL},
		{"an answer that is not read", 10100, 0, BUD_ANSWER, "slow_reader"},
		{"an answer above the rate", 100000, 100000, BUD_ANSWER, NULL},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bud_budget *budget = create();
		struct bud_holder *own = add(budget, START_US);
		struct bud_holder *idle = add(budget, START_US);
		uint64_t now_us = START_US + cases[i].elapsed_ms * BC_US_PER_MS;
		struct bud_holder *holder;
		const char *reason = NULL;
		enum bud_action action;

		/* One that has ended. */
		bud_transfer_moved(idle, cases[i].transfer, 1, START_US);
		bud_transfer_end(idle, cases[i].transfer);
		bud_transfer_moved(own, cases[i].transfer, 0, START_US);
		bud_transfer_moved(own, cases[i].transfer, cases[i].moved_bytes, now_us);
		action = bud_next(budget, now_us, &holder, &reason);
		if ((action == BUD_CLOSE) != (cases[i].reason != NULL))
			printf("\n%s: action %d\n", cases[i].name, action);
		CU_ASSERT_EQUAL(action, cases[i].reason ? BUD_CLOSE : BUD_NONE);
		if (action == BUD_CLOSE) {
			CU_ASSERT_PTR_EQUAL(holder, own);
			CU_ASSERT(cases[i].reason && strcmp(reason, cases[i].reason) == 0);
		}
		bud_remove(idle);
		bud_remove(own);
		bud_destroy(budget);
	}
}

/* Guards against a transfer that stops after a fast start, and closing one that goes on. */
static void test_stopped_sender(void)
{
	struct bud_budget *budget = create();
	struct bud_holder *own = add(budget, START_US);
	struct bud_holder *holder;
	const char *reason;
	uint64_t now_us = START_US;
	int i;

	bud_transfer_moved(own, BUD_MESSAGE, 900000, now_us);
	for (i = 0; i < 3; i++) {
		now_us += 11 * BC_US_PER_S;
		bud_transfer_moved(own, BUD_MESSAGE, 900000 + (uint64_t)(i + 1) * 12000, now_us);
		CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	}
	now_us += 11 * BC_US_PER_S;
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_CLOSE);
	CU_ASSERT_STRING_EQUAL(reason, "slow_message");
	bud_remove(own);
	bud_destroy(budget);
}

/* Guards against counting the time in which the budget stopped a caller as its slowness. */
static void test_stopped_message(void)
{
	struct bud_budget *budget = create();
	struct bud_holder *other = bud_add(budget, false, 0, NULL, START_US);
	struct bud_holder *own = add(budget, START_US);
	struct bud_holder *holder;
	const char *reason;

	bud_set(own, BUD_INPUT, 20 * KB);
	bud_transfer_moved(own, BUD_MESSAGE, 20 * KB, START_US);
	bud_set(other, BUD_STATEMENT, 960 * KB);
	CU_ASSERT_FALSE(bud_may_read(own, 32 * KB));
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 60 * BC_US_PER_S, &holder, &reason), BUD_NONE);
	bud_set(other, BUD_STATEMENT, 0);
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 60 * BC_US_PER_S, &holder, &reason),
			BUD_RESUME);
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 69 * BC_US_PER_S, &holder, &reason), BUD_NONE);
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 71 * BC_US_PER_S, &holder, &reason), BUD_CLOSE);
	bud_remove(own);
	bud_remove(other);
	bud_destroy(budget);
}

/*
 * Guards against small holders that use up the total and are stopped themselves: nobody was closed
 * and no caller was read again. An idle holder and a short message are not closed for it.
 */
static void test_small_holders(void)
{
	struct bud_budget *budget = create();
	struct bud_holder *other = bud_add(budget, false, 0, NULL, START_US);
	struct bud_holder *idle = add(budget, START_US);
	struct bud_holder *caller = add(budget, START_US);
	struct bud_holder *slow[2];
	struct bud_holder *holder;
	const char *reason;
	uint64_t now_us = START_US;
	int i;

	bud_set(other, BUD_STATEMENT, 870 * KB);
	bud_set(idle, BUD_VALUES, 31 * KB);
	bud_set(caller, BUD_INPUT, KB);
	bud_transfer_moved(caller, BUD_MESSAGE, KB, now_us);
	for (i = 0; i < 2; i++) {
		slow[i] = add(budget, now_us);
		bud_set(slow[i], BUD_INPUT, (20 + (uint64_t)i) * KB);
		bud_transfer_moved(slow[i], BUD_MESSAGE, 20 * KB, now_us);
	}
	CU_ASSERT_FALSE(bud_may_read(slow[0], 32 * KB));
	CU_ASSERT_FALSE(bud_may_read(slow[1], 32 * KB));
	CU_ASSERT_FALSE(bud_may_read(caller, 32 * KB));
	now_us += 900 * BC_US_PER_MS;
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	now_us += 200 * BC_US_PER_MS;
	CU_ASSERT_EQUAL_FATAL(bud_next(budget, now_us, &holder, &reason), BUD_CLOSE);
	CU_ASSERT_PTR_EQUAL(holder, slow[1]);
	CU_ASSERT_STRING_EQUAL(reason, "memory");
	/* New connections do not take the room first. */
	CU_ASSERT_EQUAL(bud_accept(budget, OVERHEAD_BYTES, now_us, &holder, &reason), BUD_REFUSED);
	bud_remove(slow[1]);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_RESUME);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_RESUME);
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_NONE);
	CU_ASSERT_TRUE(bud_may_read(caller, 32 * KB));
	/* One that was read again in the meantime is closed without another second. */
	bud_set(other, BUD_STATEMENT, 895 * KB);
	CU_ASSERT_FALSE(bud_may_read(slow[0], 32 * KB));
	CU_ASSERT_FALSE(bud_may_read(caller, 32 * KB));
	now_us += 100 * BC_US_PER_MS;
	CU_ASSERT_EQUAL(bud_next(budget, now_us, &holder, &reason), BUD_CLOSE);
	CU_ASSERT_PTR_EQUAL(holder, slow[0]);
	bud_remove(slow[0]);
	bud_remove(caller);
	bud_remove(idle);
	bud_remove(other);
	CU_ASSERT_EQUAL(bud_total_bytes(budget), 0);
	bud_destroy(budget);
}

/*
 * Guards against connections without STARTUP that take all room, against replacing one whose
 * message is under way or has arrived, and against refusing callers that connect at the same time.
 */
static void test_accepts(void)
{
	static const struct {
		const char *name;
		uint32_t started;
		uint32_t silent;
		uint32_t spoke;
		uint64_t age_ms;
		enum bud_verdict verdict;
	} cases[] = {
		{"the first", 0, 0, 0, 0, BUD_ACCEPTED},
		{"below both limits", 3, 2, 0, 1000, BUD_ACCEPTED},
		{"many at the same time", 0, 3, 0, 50, BUD_LATER},
		{"a silent one gives way", 0, 3, 0, 200, BUD_REPLACE},
		{"none is silent", 0, 0, 3, 200, BUD_LATER},
		{"all connections are sessions", 6, 0, 0, 1000, BUD_REFUSED},
		{"at the limit of connections", 5, 1, 0, 1000, BUD_REPLACE},
		{"the same, at the same time", 5, 1, 0, 50, BUD_REFUSED},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bud_budget *budget = create();
		uint64_t now_us = START_US + cases[i].age_ms * BC_US_PER_MS;
		struct bud_holder *holders[HOLDERS_MAX] = {NULL};
		struct bud_holder *replaced = NULL;
		enum bud_verdict verdict;
		const char *reason;
		uint32_t count = 0;

		while (count < cases[i].started)
			holders[count++] = add(budget, START_US);
		while (count < cases[i].started + cases[i].spoke) {
			holders[count] = bud_add(budget, true, OVERHEAD_BYTES, NULL, START_US);
			bud_spoke(holders[count++]);
		}
		while (count < cases[i].started + cases[i].spoke + cases[i].silent)
			holders[count++] = bud_add(budget, true, OVERHEAD_BYTES, NULL, START_US);
		verdict = bud_accept(budget, OVERHEAD_BYTES, now_us, &replaced, &reason);
		if (verdict != cases[i].verdict)
			printf("\n%s: verdict %d\n", cases[i].name, verdict);
		CU_ASSERT_EQUAL(verdict, cases[i].verdict);
		if (verdict == BUD_REPLACE)
			CU_ASSERT_PTR_EQUAL(replaced, holders[cases[i].started + cases[i].spoke]);
		while (count)
			bud_remove(holders[--count]);
		bud_destroy(budget);
	}
}

/* Guards against connections without STARTUP that stay, and against accepting without memory. */
static void test_startup(void)
{
	struct bud_budget *budget = create();
	struct bud_holder *own = bud_add(budget, true, OVERHEAD_BYTES, NULL, START_US);
	struct bud_holder *other = bud_add(budget, false, 0, NULL, START_US);
	struct bud_holder *holder;
	const char *reason;

	CU_ASSERT_EQUAL(bud_next(budget, START_US + 1900 * BC_US_PER_MS, &holder, &reason),
			BUD_NONE);
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 2100 * BC_US_PER_MS, &holder, &reason),
			BUD_CLOSE);
	CU_ASSERT_PTR_EQUAL(holder, own);
	CU_ASSERT_STRING_EQUAL(reason, "no_startup");
	bud_started(own);
	CU_ASSERT_EQUAL(bud_next(budget, START_US + 60 * BC_US_PER_S, &holder, &reason), BUD_NONE);
	bud_set(other, BUD_STATEMENT, 990 * KB);
	CU_ASSERT_EQUAL(bud_accept(budget, OVERHEAD_BYTES, START_US, &holder, &reason),
			BUD_REFUSED);
	CU_ASSERT_STRING_EQUAL(reason, "memory");
	bud_remove(own);
	bud_remove(other);
	bud_destroy(budget);
}

int main(void)
{
	CU_TestInfo tests[] = {{"defaults", test_defaults},
			       {"admission", test_admission},
			       {"closes", test_closes},
			       {"transfers", test_transfers},
			       {"a stopped sender", test_stopped_sender},
			       {"a stopped message", test_stopped_message},
			       {"small holders", test_small_holders},
			       {"accepts", test_accepts},
			       {"startup", test_startup},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"budget", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
