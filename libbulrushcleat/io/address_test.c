#include "io/io.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <arpa/inet.h>

struct address_case {
	const char *text;
	bool valid;
	uint16_t port;
};

static const struct address_case address_cases[] = {
	{"127.0.0.1:80", true, 80},
	{"127.0.0.1:0", true, 0},
	{"255.255.255.255:65535", true, 65535},
	{"127.0.0.1:65536", false, 0},
	{"127.0.0.1:", false, 0},
	{"127.0.0.1:8x", false, 0},
	{"127.0.0.1", false, 0},
	{":80", false, 0},
	{"example.org:80", false, 0},
	{"1234567890123456:80", false, 0},
	{"", false, 0},
};

/* Guards against a malformed address that is parsed as a different valid one. */
static void test_address(void)
{
	size_t i;

	for (i = 0; i < sizeof(address_cases) / sizeof(address_cases[0]); i++) {
		const struct address_case *address = &address_cases[i];
		struct sockaddr_in out;

		CU_ASSERT_EQUAL(io_address_parse(address->text, &out), address->valid);
		if (address->valid)
			CU_ASSERT_EQUAL(ntohs(out.sin_port), address->port);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {{"address", test_address}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"address", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
