#include "quorum/quorum.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MS BC_US_PER_MS
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char *const ids[] = {"e0", "e1", "e2", "e3", "e4"};

/*
 * Records callbacks as text: "+1" when waiter 1 is confirmed, "-1" when it times out, and "e1@9"
 * for a poll of e1 for position 9 ("e1!9" if e1 is to answer without waiting).
 */
struct record {
	char text[8192];
	size_t polls;
};

static void record_add(struct record *record, const char *text)
{
	size_t used = strlen(record->text);

	snprintf(record->text + used, sizeof(record->text) - used, "%s%s", used ? " " : "", text);
}

static void on_poll(void *data, const char *database, const char *endpoint,
		    struct bc_position at_least, uint32_t wait_ms)
{
	struct record *record = data;
	char text[64];

	(void)database;
	record->polls++;
	snprintf(text, sizeof(text), "%s%c%llu", endpoint, wait_ms ? '@' : '!',
		 (unsigned long long)at_least.pos);
	record_add(record, text);
}

static void on_done(void *data, uint64_t waiter, enum bc_status status)
{
	char text[32];

	snprintf(text, sizeof(text), "%c%llu", status == BC_OK ? '+' : '-',
		 (unsigned long long)waiter);
	record_add(data, text);
}

static const struct quo_ops ops = {.poll = on_poll, .done = on_done};

enum step_kind { NONE, WAIT, REPORT, HELD, ENDED, FAILED, TICK, MEMBERS };

struct step {
	enum step_kind kind;
	uint64_t at_ms;
	uint64_t who; /* waiter or endpoint; for MEMBERS their number */
	struct bc_position position;
	uint64_t promised;
	uint64_t since_ms; /* WAIT: primary_check_since_us; REPORT and HELD: when the report was
			      requested */
	const char *expected;
};

static void run_step(struct quo_state *state, const struct step *step)
{
	uint64_t now_us = step->at_ms * MS;
	struct rte_row row = {.promised = step->promised};
	struct bc_position held = {0, 0};
	struct quo_wait wait = {.waiter = step->who,
				.database = "db",
				.position = step->position,
				.holder = "e0",
				.primary_check_since_us = step->since_ms * MS,
				.deadline_us = now_us + 1000 * MS};

	switch (step->kind) {
	case WAIT:
		quo_wait_add(state, &wait, now_us);
		break;
	case REPORT:
		row.log = step->position;
		quo_report(state, "db", ids[step->who], &row, held, step->since_ms * MS, now_us);
		break;
	case HELD:
		quo_report(state, "db", ids[step->who], &row, step->position, step->since_ms * MS,
			   now_us);
		break;
	case ENDED:
	case FAILED:
		quo_poll_ended(state, "db", ids[step->who], step->kind == ENDED, now_us);
		break;
	case TICK:
		quo_tick(state, now_us);
		break;
	case MEMBERS:
		quo_group_set(state, "db", ids, step->who);
		break;
	default:
		break;
	}
}

/* Guards against writes acknowledged without a majority, lost waiters and excessive polling. */
static void test_steps(void)
{
	static const struct {
		const char *name;
		size_t members;
		struct step steps[8];
	} cases[] = {
		{"one replica makes a majority of three",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {REPORT, 1, 1, {1, 4}, 1, 0, ""},
		  {REPORT, 2, 1, {1, 5}, 1, 0, "+1"}}},
		{"two replicas make a majority of five",
		 5,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5 e3@5 e4@5"},
		  {REPORT, 1, 1, {1, 5}, 1, 0, ""},
		  {REPORT, 1, 1, {1, 6}, 1, 0, ""},
		  {REPORT, 2, 4, {1, 9}, 1, 0, "+1"}}},
		{"a group of one needs no report", 1, {{WAIT, 0, 1, {1, 5}, 0, 0, "+1"}}},
		{"the holder counts once",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"}, {REPORT, 1, 0, {1, 5}, 1, 0, ""}}},
		{"a greater number of another term does not count",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {REPORT, 1, 1, {2, 9}, 2, 0, ""},
		  {HELD, 2, 2, {1, 5}, 1, 0, "+1"}}},
		{"an entry reported after a greater promise does not count",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {REPORT, 1, 1, {1, 5}, 3, 0, ""},
		  {HELD, 2, 2, {1, 5}, 3, 0, ""},
		  {TICK, 1000, 0, {0, 0}, 0, 0, "-1"}}},
		{"a confirmed position confirms lower ones at once",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {WAIT, 0, 2, {1, 3}, 0, 0, ""},
		  {WAIT, 0, 3, {1, 8}, 0, 0, ""},
		  {REPORT, 1, 1, {1, 6}, 1, 0, "+2 +1"},
		  {WAIT, 2, 4, {1, 6}, 0, 0, "+4"}}},
		{"polls are batched",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {WAIT, 0, 2, {1, 6}, 0, 0, ""},
		  {WAIT, 0, 3, {1, 7}, 0, 0, ""},
		  {REPORT, 1, 1, {1, 5}, 1, 0, "+1"},
		  {ENDED, 1, 1, {0, 0}, 0, 0, "e1@7"}}},
		{"a failed poll is sent again after a delay",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {FAILED, 1, 1, {0, 0}, 0, 0, ""},
		  {TICK, 10, 0, {0, 0}, 0, 0, ""},
		  {TICK, 60, 0, {0, 0}, 0, 0, "e1@5"}}},
		{"an early answer without news does not cause a tight loop",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {REPORT, 1, 1, {1, 4}, 3, 0, ""},
		  {ENDED, 1, 1, {0, 0}, 0, 0, ""},
		  {TICK, 60, 0, {0, 0}, 0, 0, "e1@5"}}},
		{"deadline",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {TICK, 999, 0, {0, 0}, 0, 0, ""},
		  {TICK, 1000, 0, {0, 0}, 0, 0, "-1"},
		  {REPORT, 1001, 1, {1, 5}, 1, 0, ""}}},
		{"a read on the primary needs a majority asked after it",
		 3,
		 {{REPORT, 5, 1, {1, 5}, 1, 5, ""},
		  {WAIT, 10, 1, {1, 5}, 0, 10, "e0!5 e1!5 e2!5"},
		  {REPORT, 11, 0, {1, 5}, 1, 10, ""},
		  {REPORT, 11, 1, {1, 5}, 1, 9, ""},
		  {REPORT, 12, 2, {1, 5}, 2, 10, ""},
		  {REPORT, 12, 1, {1, 5}, 1, 10, "+1"}}},
		{"new members are not taken to hold anything",
		 3,
		 {{WAIT, 0, 1, {1, 5}, 0, 0, "e1@5 e2@5"},
		  {MEMBERS, 0, 5, {0, 0}, 0, 0, ""},
		  {REPORT, 1, 1, {1, 5}, 1, 0, "e3@5 e4@5"},
		  {REPORT, 1, 3, {1, 5}, 1, 0, "+1"}}},
		{"an empty log needs no confirmation", 3, {{WAIT, 0, 1, {0, 0}, 0, 0, "+1"}}},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;
	size_t k;

	for (i = 0; i < COUNT(cases); i++) {
		struct record record = {0};
		struct quo_state *state = quo_create(ctx, &ops, &record);

		quo_group_set(state, "db", ids, cases[i].members);
		for (k = 0; k < COUNT(cases[i].steps) && cases[i].steps[k].kind; k++) {
			record.text[0] = '\0';
			run_step(state, &cases[i].steps[k]);
			CU_ASSERT_STRING_EQUAL(record.text, cases[i].steps[k].expected);
			if (strcmp(record.text, cases[i].steps[k].expected) != 0)
				printf("\n  case %s, step %zu: \"%s\"\n", cases[i].name, k,
				       record.text);
		}
		quo_destroy(state);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against lost or repeated callbacks, and against one poll per waiter, under load. */
static void test_many_waiters(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct record record = {0};
	struct quo_state *state = quo_create(ctx, &ops, &record);
	struct rte_row row = {.promised = 1};
	const struct bc_position none = {0, 0};
	uint64_t i;

	quo_group_set(state, "db", ids, 3);
	for (i = 0; i < 1000; i++) {
		struct quo_wait wait = {.waiter = i,
					.database = "db",
					.position = {1, 1 + i * 7919 % 1000},
					.holder = "e0",
					.deadline_us = 1000 * MS};

		quo_wait_add(state, &wait, 0);
	}
	CU_ASSERT_EQUAL(quo_waiting(state), 1000);
	CU_ASSERT_EQUAL(record.polls, 2);
	for (i = 1; i <= 900; i++) {
		row.log = (struct bc_position){1, i};
		quo_report(state, "db", "e2", &row, none, 0, MS);
		CU_ASSERT_EQUAL(quo_waiting(state), 1000 - i);
	}
	quo_tick(state, 1000 * MS);
	CU_ASSERT_EQUAL(quo_waiting(state), 0);
	CU_ASSERT_EQUAL(record.polls, 2);
	quo_destroy(state);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"steps", test_steps}, {"many_waiters", test_many_waiters}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"quorum", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
