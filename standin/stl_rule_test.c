#include "standin/stl_internal.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>

static const uint64_t delays_us[] = {500, 4000, 1000};

static void set_rule(struct stl_relay *relay, const char *from, const char *to,
		     const uint64_t *delay_us, const bool *cut)
{
	const struct stl_rule_settings settings = {
		.from = from, .to = to, .delay_us = delay_us, .cut = cut};

	CU_ASSERT_EQUAL(stl_rule_set(relay, &settings), BC_OK);
}

static const struct stl_rule *match_rule(struct stl_relay *relay, const char *source,
					 const char *name, const char *target)
{
	struct stl_link link = {.relay = relay};
	struct sockaddr_in address = {0};

	memcpy(link.name, name, strlen(name));
	memcpy(link.target_text, target, strlen(target));
	inet_pton(AF_INET, source, &address.sin_addr);
	return stl_rule_match(&link, &address);
}

/* Guards against a partition that cuts the wrong connections, or misses some. */
static void test_match(void)
{
	static const struct {
		const char *source;
		const char *name;
		const char *target;
		uint64_t delay_us; /* 0: no rule */
	} cases[] = {
		{"127.1.1.7", "a", "127.1.2.100:5400", 500},
		{"127.1.1.7", "a", "127.1.3.100:5400", 1000},
		{"127.1.10.7", "a", "127.1.2.100:5400", 0},
		{"127.1.1.7", "a", "127.1.20.100:5400", 1000},
		{"127.1.2.7", "platform", "127.1.0.1:8500", 4000},
		{"127.1.2.7", "platform-2", "127.1.0.1:8500", 0},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct stl_relay *relay = stl_relay_create(ctx, NULL);
	size_t i;

	set_rule(relay, "127.1.1.", "127.1.2.", &delays_us[0], NULL);
	set_rule(relay, "127.1.2.", "platform", &delays_us[1], NULL);
	set_rule(relay, "127.1.1.", "", &delays_us[2], NULL);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct stl_rule *rule =
			match_rule(relay, cases[i].source, cases[i].name, cases[i].target);

		CU_ASSERT_EQUAL(rule ? rule->delay_us : 0, cases[i].delay_us);
	}
	stl_relay_destroy(relay);
	bc_ctx_destroy(ctx);
}

/* Guards against a cut that resets the delay or the order of the rules. */
static void test_change(void)
{
	const bool cut = true;
	const bool healed = false;
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct stl_relay *relay = stl_relay_create(ctx, NULL);
	const struct stl_rule *rule;

	set_rule(relay, "127.1.", "127.2.", &delays_us[0], NULL);
	set_rule(relay, "127.", "127.", &delays_us[1], NULL);
	set_rule(relay, "127.1.", "127.2.", NULL, &cut);
	rule = match_rule(relay, "127.1.1.1", "a", "127.2.1.1:1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(rule);
	if (!rule)
		return;
	CU_ASSERT(rule->cut);
	CU_ASSERT_EQUAL(rule->delay_us, 500);
	set_rule(relay, "127.1.", "127.2.", NULL, &healed);
	CU_ASSERT_FALSE(rule->cut);
	stl_relay_destroy(relay);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"match", test_match}, {"change", test_change}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"stl_rule", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
