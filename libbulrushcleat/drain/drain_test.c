#include "drain/drain.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define EVENTS_BYTES 64

static void on_phase(void *data, enum drn_phase phase, uint32_t unfinished)
{
	char *events = data;
	size_t used = strlen(events);

	snprintf(events + used, EVENTS_BYTES - used, "%c%u ", "SNCGD"[phase], unfinished);
}

static void start(struct drn_state *state, bool in_transaction, char *events)
{
	size_t used = strlen(events);

	if (!drn_request_start(state, in_transaction))
		snprintf(events + used, EVENTS_BYTES - used, "- ");
}

/*
 * Steps: l sets a length of 300 ms for the phase that closes sessions; b begins the shutdown; r
 * starts a request, t one of an open transaction, e ends a request; o opens a transaction, c ends
 * it; a number sets the time in ms. Events: "-" is a refused request; N (notice), C (closing), G
 * (draining) and D (done) are phases, each with the number of requests and transactions cut off.
 */
static const struct {
	const char *failure; /* the failure that the case guards against */
	const char *steps;
	const char *events;
} cases[] = {
	{"work refused before the shutdown", "r e 100000 r", ""},
	{"work refused while the balancer still sends it", "b 499 r e", "N0 "},
	{"new work taken while draining", "r b 500 r", "N0 G0 - "},
	{"a request in flight cut off", "r b 500 9999 e", "N0 G0 D0 "},
	{"an open transaction cut off", "r o e b 500 t r e c", "N0 G0 - D0 "},
	{"a shutdown that waits for nothing", "b 500", "N0 G0 D0 "},
	{"a shutdown that never ends", "r r o b 500 9999 10000", "N0 G0 D3 "},
	{"work taken after the end", "b 500 t r", "N0 G0 D0 - - "},
	{"work refused while sessions are closed", "l r b 500 r e 799 r e", "N0 C0 "},
	{"work taken after sessions were closed", "l r b 500 800 r t", "N0 C0 G0 - "},
	{"a shutdown that waits though all sessions are closed", "l b 500", "N0 C0 D0 "},
	{"phases skipped after a pause of the process", "l r b 10000", "N0 C0 G0 D1 "},
	{"a second begin that starts the notice again", "b 499 b 500", "N0 G0 D0 "},
};

static void test_scripts(void)
{
	static const struct drn_ops ops = {on_phase};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char events[EVENTS_BYTES] = "";
		struct drn_state *state = drn_create(ctx, 10 * BC_US_PER_S, &ops, events);
		unsigned long ms = 0;
		const char *step;

		for (step = cases[i].steps; *step; step += strcspn(step, " ")) {
			step += strspn(step, " ");
			if (*step == 'l')
				drn_closing_set(state, 300 * BC_US_PER_MS);
			else if (*step == 'b')
				drn_begin(state, ms * 1000);
			else if (*step == 'r' || *step == 't')
				start(state, *step == 't', events);
			else if (*step == 'e')
				drn_request_end(state, ms * 1000);
			else if (*step == 'o')
				drn_transaction_start(state);
			else if (*step == 'c')
				drn_transaction_end(state, ms * 1000);
			else if (sscanf(step, "%lu", &ms) == 1)
				drn_tick(state, ms * 1000);
		}
		if (strcmp(events, cases[i].events) != 0)
			printf("\n%s: got %s, want %s\n", cases[i].failure, events,
			       cases[i].events);
		CU_ASSERT_STRING_EQUAL(events, cases[i].events);
		drn_destroy(state);
	}
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"scripts", test_scripts}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"drain", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
