#include "session/session.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

static const char secret[] = "0123456789abcdef";

static struct ses_keyring *ring_make(struct bc_ctx *ctx, uint32_t signing, uint32_t accepted)
{
	struct ses_keyring *ring = ses_keyring_create(ctx);

	CU_ASSERT_EQUAL(ses_keyring_add(ring, signing, &signing, 4, true), BC_EINVAL);
	CU_ASSERT_EQUAL(ses_keyring_add(ring, signing, secret, 16, true), BC_OK);
	if (accepted)
		CU_ASSERT_EQUAL(ses_keyring_add(ring, accepted, secret, 16, false), BC_OK);
	return ring;
}

/* Guards against a keyring that accepts short secrets, duplicate ids or two signing keys. */
static void test_keyring_add(void)
{
	static const struct {
		uint32_t id;
		size_t secret_bytes;
		bool signing;
		enum bc_status status;
	} cases[] = {
		{0, 16, false, BC_EINVAL}, {1, 15, false, BC_EINVAL}, {1, 16, true, BC_OK},
		{1, 16, false, BC_EINVAL}, {2, 16, true, BC_EINVAL},  {2, 16, false, BC_OK},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ses_keyring *ring = ses_keyring_create(ctx);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(ses_keyring_add(ring, cases[i].id, secret, cases[i].secret_bytes,
						cases[i].signing),
				cases[i].status);
	ses_keyring_destroy(ring);
	bc_ctx_destroy(ctx);
}

/* Guards against a mark that moves back, so that a session would not read its own writes. */
static void test_mark_advance(void)
{
	static const struct {
		struct bc_position given;
		struct bc_position mark;
	} cases[] = {
		{{1, 5}, {1, 5}}, {{1, 4}, {1, 5}}, {{1, 6}, {1, 6}},
		{{2, 7}, {2, 7}}, {{1, 9}, {2, 7}}, {{0, 0}, {2, 7}},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ses_session session;
	char name[BC_ID_BYTES];
	size_t i;

	ses_session_init(&session, "shop", 7);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, "orders", cases[i].given), BC_OK);
		CU_ASSERT_EQUAL(
			bc_position_compare(ses_mark_get(&session, "orders"), cases[i].mark), 0);
	}
	CU_ASSERT_EQUAL(ses_mark_get(&session, "other").term, 0);
	CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, "a/b", cases[0].given), BC_EINVAL);
	for (i = 1; i < SES_MARKS_MAX; i++) {
		snprintf(name, sizeof(name), "db%zu", i);
		CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, name, cases[0].given), BC_OK);
	}
	CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, "one-more", cases[0].given), BC_ELIMIT);
	CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, "db1", cases[2].given), BC_OK);
	bc_ctx_destroy(ctx);
}

/* Guards against a key rotation that invalidates sessions, and a removed key still accepted. */
static void test_token_rotation(void)
{
	static const struct {
		uint32_t signing;
		uint32_t accepted;
		enum bc_status status;
	} cases[] = {{1, 0, BC_OK}, {1, 2, BC_OK}, {2, 1, BC_OK}, {2, 0, BC_EAUTH}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ses_keyring *issuer = ring_make(ctx, 1, 0);
	struct ses_session session;
	struct ses_session read;
	char token[SES_TOKEN_MAX_BYTES];
	size_t i;

	ses_session_init(&session, "shop", UINT64_MAX);
	CU_ASSERT_EQUAL(ses_token_issue(issuer, &session, token), BC_OK);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct ses_keyring *ring = ring_make(ctx, cases[i].signing, cases[i].accepted);

		CU_ASSERT_EQUAL(ses_token_verify(ring, token, "shop", &read), cases[i].status);
		CU_ASSERT_EQUAL(read.id, cases[i].status == BC_OK ? UINT64_MAX : 0);
		ses_keyring_destroy(ring);
	}
	ses_keyring_destroy(issuer);
	bc_ctx_destroy(ctx);
}

/* Guards against the largest session not fitting, and malformed or too long tokens accepted. */
static void test_token_bounds(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ses_keyring *ring = ring_make(ctx, UINT32_MAX, 0);
	struct bc_position max_position = {UINT64_MAX, UINT64_MAX};
	struct ses_session session;
	struct ses_session read;
	char token[SES_TOKEN_MAX_BYTES];
	char text[2 * SES_TOKEN_MAX_BYTES];
	char name[BC_ID_BYTES];
	size_t length;
	size_t i;

	snprintf(name, sizeof(name), "%063d", 0);
	ses_session_init(&session, name, 1);
	for (i = 0; i < SES_MARKS_MAX; i++) {
		snprintf(name, sizeof(name), "%063zu", i);
		CU_ASSERT_EQUAL(ses_mark_advance(ctx, &session, name, max_position), BC_OK);
	}
	CU_ASSERT_EQUAL(ses_token_issue(ring, &session, token), BC_OK);
	CU_ASSERT_EQUAL(ses_token_verify(ring, token, session.customer, &read), BC_OK);
	CU_ASSERT_EQUAL(ses_token_issue(ring, &read, text), BC_OK);
	CU_ASSERT_STRING_EQUAL(text, token);
	length = strlen(token);
	for (i = 0; i < length; i += 7) {
		memcpy(text, token, i);
		text[i] = '\0';
		CU_ASSERT_EQUAL(ses_token_verify(ring, text, session.customer, &read), BC_EAUTH);
	}
	snprintf(text, sizeof(text), "%s\n", token);
	CU_ASSERT_EQUAL(ses_token_verify(ring, text, session.customer, &read), BC_EAUTH);
	memset(text, 'A', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	CU_ASSERT_EQUAL(ses_token_verify(ring, text, session.customer, &read), BC_EAUTH);
	CU_ASSERT_EQUAL(ses_token_verify(ring, NULL, session.customer, &read), BC_EAUTH);
	ses_keyring_destroy(ring);
	bc_ctx_destroy(ctx);
}

/* Guards against forged or malformed credentials being accepted. */
static void test_credential(void)
{
	static const struct {
		const char *before; /* put before the credential of "a.b" */
		size_t cut;	    /* number of characters cut off its end */
		enum bc_status status;
	} cases[] = {
		{"Bearer ", 0, BC_OK},	   {"bearer ", 0, BC_OK},     {"", 0, BC_EAUTH},
		{"Basic ", 0, BC_EAUTH},   {"Bearer x", 0, BC_EAUTH}, {"Bearer ", 1, BC_EAUTH},
		{"Bearer ", 48, BC_EAUTH}, {"Bearer ", 49, BC_EAUTH}, {"Bearer  ", 0, BC_EAUTH},
	};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct ses_keyring *ring = ring_make(ctx, 1, 0);
	char credential[SES_CREDENTIAL_BYTES];
	char text[2 * SES_CREDENTIAL_BYTES];
	char customer[BC_ID_BYTES];
	size_t i;

	CU_ASSERT_EQUAL(ses_credential_issue(ring, "a b", credential), BC_EINVAL);
	CU_ASSERT_EQUAL(ses_credential_issue(ring, "a.b", credential), BC_OK);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text), "%s%s", cases[i].before, credential);
		text[strlen(text) - cases[i].cut] = '\0';
		CU_ASSERT_EQUAL(ses_credential_verify(ring, text, customer), cases[i].status);
		if (cases[i].status == BC_OK)
			CU_ASSERT_STRING_EQUAL(customer, "a.b");
	}
	CU_ASSERT_EQUAL(ses_credential_verify(ring, NULL, customer), BC_EAUTH);
	ses_keyring_destroy(ring);
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"keyring_add", test_keyring_add},	 {"mark_advance", test_mark_advance},
		{"token_rotation", test_token_rotation}, {"token_bounds", test_token_bounds},
		{"credential", test_credential},	 CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"session", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
