#include "io/suspects.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define SERVER "10.0.0.1:80"
#define OTHER "10.0.0.2:80"
#define LOST_US (1000 * BC_US_PER_S)

/*
 * Guards against calls on connections that are as old as one that has fallen silent, and against
 * opening connections for ever once they are replaced.
 */
static void test_connections(void)
{
	static const struct {
		const char *name;
		const char *server;
		uint64_t elapsed_ms; /* since the lost call */
		uint64_t age_ms;     /* of the connection */
		bool used;
	} cases[] = {
		{"another server's connection", OTHER, 0, 60000, true},
		{"an old connection at once", SERVER, 0, 1, false},
		{"an old connection just before new ones are reused", SERVER, 1999, 2000, false},
		{"the youngest old connection", SERVER, 2000, 2001, false},
		{"the youngest old connection, later", SERVER, 2999, 3000, false},
		{"an old connection after a minute", SERVER, 60500, 60501, false},
		{"a connection opened a second after the loss", SERVER, 2000, 1000, true},
		{"the same, later", SERVER, 60500, 59400, true},
		{"a connection that was just opened", SERVER, 2000, 0, true},
		{"a connection from before, long after", SERVER, 120000, 130000, true},
	};
	struct sus_state *state = sus_create();
	size_t i;

	sus_call_lost(state, SERVER, LOST_US);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct sus_choice choice = sus_choose(state, cases[i].server,
						      LOST_US + cases[i].elapsed_ms * BC_US_PER_MS);
		bool used = sus_may_use(&choice, cases[i].age_ms * BC_US_PER_MS);

		if (used != cases[i].used)
			printf("\n%s: used %d\n", cases[i].name, used);
		CU_ASSERT_EQUAL(used, cases[i].used);
	}
	sus_destroy(state);
}

/* Guards against losing the newest of many silent servers. */
static void test_many_servers(void)
{
	struct sus_state *state = sus_create();
	struct sus_choice choice;
	char server[SUS_SERVER_BYTES];
	uint32_t i;

	for (i = 0; i < 200; i++) {
		snprintf(server, sizeof(server), "10.0.1.%u:80", i);
		sus_call_lost(state, server, LOST_US + i);
		choice = sus_choose(state, server, LOST_US + i);
		CU_ASSERT_TRUE(choice.fresh_only);
	}
	choice = sus_choose(state, "10.0.1.0:80", LOST_US);
	CU_ASSERT_FALSE(choice.fresh_only);
	sus_destroy(state);
}

int main(void)
{
	CU_TestInfo tests[] = {{"connections", test_connections},
			       {"many_servers", test_many_servers},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"suspects", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
