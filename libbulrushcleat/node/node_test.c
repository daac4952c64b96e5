#include "node/node_test.h"

#define WRITE "{\"sql\":\"INSERT INTO t VALUES (1)\",\"kind\":\"write\"}"
#define READ "{\"sql\":\"SELECT 1\",\"kind\":\"read\"}"
#define OK_AT_11                                                                                   \
	"\"status\":\"ok\",\"results\":[{\"columns\":[],\"rows\":[],\"changes\":1}],\"term\":3,"   \
	"\"position\":{\"term\":3,\"pos\":11},\"in_transaction\":false,\"primary\":\"e1\""

/* Guards against a write acknowledged before a majority holds it (P2). */
static void test_write_waits_for_majority(void)
{
	struct fake *fake = fake_create();
	struct fake_call *run;
	struct fake_call *poll;
	char text[600];

	send_statement(fake, WRITE, NULL, NULL);
	run = open_and_find_run(fake, "e1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	answer_run(fake, run, OK_AT_11);
	advance(fake, 20);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "none");
	poll = find_call(fake, "e2", "/position");
	CU_ASSERT_PTR_NOT_NULL_FATAL(poll);
	snprintf(text, sizeof(text), "{%s,\"has\":true}", row(fake, "e2", 11));
	answer(fake, poll, NOD_CALL_ANSWERED, 200, text);
	advance(fake, 10);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "ran");
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(fake->replies[0].body, "request")),
			       "r:1");
	fake_destroy(fake);
}

/* Guards against "ran" or "not_run" for a write whose majority never confirms (P2, P5). */
static void test_unconfirmed_write_is_unknown(void)
{
	struct fake *fake = fake_create();
	struct fake_call *run;

	send_statement(fake, WRITE, NULL, NULL);
	run = open_and_find_run(fake, "e1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	answer_run(fake, run, OK_AT_11);
	advance(fake, 2500);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "unknown");
	fake_destroy(fake);
}

/* Guards against a write sent twice, or reported as not run, after its answer was lost (P5, P6). */
static void test_unkeyed_write_by_call_result(void)
{
	static const struct {
		const char *label;
		enum nod_call_result end;
		const char *body;
		const char *outcome;
		bool is_retried;
	} cases[] = {
		{"lost", NOD_CALL_LOST, "", "unknown", false},
		{"not sent", NOD_CALL_NOT_SENT, "", NULL, true},
		{"another request's answer", NOD_CALL_ANSWERED,
		 "{\"request\":\"other\",\"status\":\"ok\",\"results\":[]}", "unknown", false},
		{"garbage", NOD_CALL_ANSWERED, "<html>", "unknown", false},
		{"cut short", NOD_CALL_ANSWERED, "{\"request\":\"", "unknown", false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fake *fake = fake_create();
		struct fake_call *run;

		send_statement(fake, WRITE, NULL, NULL);
		run = open_and_find_run(fake, "e1");
		CU_ASSERT_PTR_NOT_NULL_FATAL(run);
		answer(fake, run, cases[i].end, 200, cases[i].body);
		answer_status(fake, 10);
		run = open_and_find_run(fake, "e1");
		CU_ASSERT_EQUAL(run != NULL, cases[i].is_retried);
		if (cases[i].outcome)
			CU_ASSERT_STRING_EQUAL(outcome(fake), cases[i].outcome);
		/* The connection's state is unknown: it must be closed, never reused (P3). */
		CU_ASSERT_PTR_NOT_NULL(find_call(fake, "e1", "/v1/connections/c1"));
		fake_destroy(fake);
	}
}

/* Guards against a refused write that is not retried, or a failed one that is (P5). */
static void test_refused_and_failed_write(void)
{
	static const struct {
		const char *rest;
		bool is_retried;
		uint32_t status;
	} cases[] = {
		{"\"status\":\"refused\",\"term\":3,\"in_transaction\":false,\"primary\":\"e1\","
		 "\"error\":{\"code\":\"stepping_down\",\"message\":\"m\"}",
		 true, 0},
		{"\"status\":\"error\",\"term\":3,\"in_transaction\":false,\"primary\":\"e1\","
		 "\"error\":{\"code\":\"constraint\",\"message\":\"m\"}",
		 false, 400},
		{"\"status\":\"refused\",\"term\":3,\"in_transaction\":false,\"primary\":\"e1\","
		 "\"error\":{\"code\":\"duplicate_request\",\"message\":\"m\"}",
		 false, 504},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fake *fake = fake_create();
		struct fake_call *run;

		send_statement(fake, WRITE, NULL, NULL);
		run = open_and_find_run(fake, "e1");
		CU_ASSERT_PTR_NOT_NULL_FATAL(run);
		answer_run(fake, run, cases[i].rest);
		run = open_and_find_run(fake, "e1");
		CU_ASSERT_EQUAL(run != NULL, cases[i].is_retried);
		if (!cases[i].is_retried)
			CU_ASSERT_EQUAL(fake->replies[0].status, cases[i].status);
		fake_destroy(fake);
	}
}

/*
 * Guards against a statement of a transaction that is retried on another connection, where it would
 * run and commit alone (P3, P5).
 */
static void test_refused_in_transaction(void)
{
	static const char *const codes[] = {"no_such_connection", "not_primary", "stepping_down"};
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		struct fake *fake = fake_create();
		struct nod_request request = {.method = "POST", .request_id = "r:2"};
		struct fake_call *run;
		char path[256];
		char rest[256];

		request.authorization = fake->credential;
		request.path = "/v1/databases/jobs/transactions";
		request.body = "{}";
		nod_request(fake->node, ++fake->next_request, &request, UNIX_NOW_S, fake->now_us);
		run = open_and_find_run(fake, "e1");
		CU_ASSERT_PTR_NOT_NULL_FATAL(run);
		answer_run(fake, run,
			   "\"status\":\"ok\",\"results\":[],\"term\":3,\"position\":{\"term\":3,"
			   "\"pos\":10},\"in_transaction\":true");
		CU_ASSERT_STRING_EQUAL(outcome(fake), "ran");
		snprintf(path, sizeof(path), "/v1/databases/jobs/transactions/%s/statements",
			 json_string_value(json_object_get(fake->replies[0].body, "transaction")));
		request.path = path;
		request.body = WRITE;
		nod_request(fake->node, ++fake->next_request, &request, UNIX_NOW_S, fake->now_us);
		run = find_call(fake, "e1", "/run");
		CU_ASSERT_PTR_NOT_NULL_FATAL(run);
		snprintf(rest, sizeof(rest),
			 "\"status\":\"refused\",\"term\":3,\"in_transaction\":false,"
			 "\"error\":{\"code\":\"%s\",\"message\":\"m\"}",
			 codes[i]);
		answer_run(fake, run, rest);
		CU_ASSERT_PTR_NULL(open_and_find_run(fake, "e1"));
		CU_ASSERT_STRING_EQUAL(outcome(fake), "not_run");
		fake_destroy(fake);
	}
}

/*
 * Guards against a keyed write that runs again when its key is known, or whose stored result is not
 * returned (P6).
 */
static void test_keyed_write_is_replayed(void)
{
	struct fake *fake = fake_create();
	struct fake_call *run;
	char fingerprint[64] = "";
	char text[512];
	json_t *body;

	send_statement(fake, WRITE, NULL, "1699999990-abc");
	run = open_and_find_run(fake, "e1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	if (!run)
		return;
	CU_ASSERT_PTR_NOT_NULL(strstr(run->body, "bulrushcleat_keys"));
	CU_ASSERT_PTR_NOT_NULL(strstr(run->body, "\"end\":\"none\""));
	body = json_loads(run->body, 0, NULL);
	{
		json_t *statements = json_object_get(body, "statements");
		json_t *insert = json_array_get(statements, json_array_size(statements) - 2);
		json_t *params = json_object_get(insert, "params");

		snprintf(fingerprint, sizeof(fingerprint), "%s",
			 json_string_value(json_array_get(params, 2)));
	}
	json_decref(body);
	answer_run(fake, run,
		   "\"status\":\"error\",\"term\":3,\"in_transaction\":false,\"primary\":\"e1\","
		   "\"error\":{\"code\":\"constraint\",\"message\":\"m\"}");
	run = find_call(fake, "e1", "/run");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	snprintf(
		text, sizeof(text),
		"\"status\":\"ok\",\"results\":[{\"columns\":[\"fingerprint\",\"result\"],\"rows\":"
		"[[\"%s\",\"{\\\"changes\\\":7}\"]],\"changes\":0}],\"term\":3,"
		"\"position\":{\"term\":3,\"pos\":10},\"in_transaction\":false",
		fingerprint);
	answer_run(fake, run, text);
	advance(fake, 10);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "ran");
	CU_ASSERT_TRUE(json_is_true(json_object_get(fake->replies[0].body, "replayed")));
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(fake->replies[0].body, "changes")), 7);
	fake_destroy(fake);
}

/* Guards against a read served by a replica that is behind the session's own write (P1). */
static void test_read_carries_session_position(void)
{
	struct fake *fake = fake_create();
	struct ses_session session;
	char token[SES_TOKEN_MAX_BYTES];
	struct fake_call *run;

	ses_session_init(&session, "shop", 9);
	ses_mark_advance(fake->ctx, &session, "jobs", (struct bc_position){3, 10});
	ses_token_issue(fake->ring, &session, token);
	send_statement(fake, READ, token, NULL);
	run = open_and_find_run(fake, "e2");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	if (!run)
		return;
	CU_ASSERT_PTR_NOT_NULL(strstr(run->body, "\"min\":{\"term\":3,\"pos\":10}"));
	CU_ASSERT_PTR_NOT_NULL(strstr(run->body, "\"read_only\":true"));
	fake_destroy(fake);
}

/* Answers probes for `ms`; those to the endpoints named in `lost` fail. */
static void probe_for(struct fake *fake, uint64_t ms, const char *lost)
{
	uint64_t end_us = fake->now_us + ms * BC_US_PER_MS;
	struct fake_call *call;
	size_t i;

	while (fake->now_us < end_us) {
		advance(fake, 50);
		for (i = 0; i < 3; i++)
			while (strstr(lost, endpoints[i]) &&
			       (call = find_call(fake, endpoints[i], "/v1/status")))
				answer(fake, call, NOD_CALL_NOT_SENT, 0, "");
		answer_status(fake, 10);
	}
}

/* Guards against the replacement of a primary that is reachable again. */
static void test_no_promotion_after_primary_recovers(void)
{
	struct fake *fake = fake_create();

	probe_for(fake, 3000, "e1");
	CU_ASSERT_PTR_NULL(find_call(fake, NULL, "/fence"));
	probe_for(fake, 10000, "");
	CU_ASSERT_PTR_NULL(find_call(fake, NULL, "/fence"));
	fake_destroy(fake);
}

/*
 * Guards against a stale read from a primary that was replaced on the other side of a partition: it
 * must not be reported as current, nor served beyond its age limit.
 */
static void test_age_of_primary_reads(void)
{
	static const struct {
		const char *body;
		const char *lost;
		const char *outcome;
		json_int_t min_age_ms;
		json_int_t max_age_ms;
	} cases[] = {
		{READ, "e2,e3", "ran", 1500, 1900},
		{"{\"sql\":\"SELECT 1\",\"kind\":\"read\",\"max_age_ms\":1000}", "e2,e3", "none", 0,
		 0},
		{"{\"sql\":\"SELECT 1\",\"kind\":\"read\",\"max_age_ms\":3000}", "e2,e3", "ran",
		 1500, 1900},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fake *fake = fake_create();
		struct fake_call *run;
		json_int_t age_ms;

		probe_for(fake, 1500, cases[i].lost);
		send_statement(fake, cases[i].body, NULL, NULL);
		answer(fake, find_opening(fake, "e1"), NOD_CALL_ANSWERED, 201,
		       "{\"connection\":\"c1\"}");
		advance(fake, 10);
		run = find_call(fake, "e1", "/run");
		CU_ASSERT_PTR_NOT_NULL_FATAL(run);
		answer_run(
			fake, run,
			"\"status\":\"ok\",\"results\":[{\"columns\":[],\"rows\":[]}],\"term\":3,"
			"\"position\":{\"term\":3,\"pos\":10},\"in_transaction\":false");
		advance(fake, 10);
		CU_ASSERT_STRING_EQUAL(outcome(fake), cases[i].outcome);
		if (fake->reply_count) {
			age_ms = json_integer_value(
				json_object_get(fake->replies[0].body, "age_ms"));
			CU_ASSERT(age_ms >= cases[i].min_age_ms);
			CU_ASSERT(age_ms <= cases[i].max_age_ms);
		}
		fake_destroy(fake);
	}
}

/* Guards against a return to an older configuration, and a malformed one being applied (P9). */
static void test_documents_never_regress(void)
{
	static const struct {
		uint64_t version;
		const char *content;
	} cases[] = {
		{4, "{\"revision\":4,\"plans\":[],\"customers\":[]}"},
		{6, "{\"revision\":5,\"plans\":[],\"customers\":[]}"},
		{7, "{\"revision\":7,\"plans\":3,\"customers\":[]}"},
		{8, "[]"},
	};
	struct fake *fake = fake_create();
	json_t *status;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct wire_message push = {.kind = WIRE_PUSH, .version = cases[i].version};

		push.content = strdup(cases[i].content);
		nod_peer_message(fake->node, "p2", &push, fake->now_us);
		wire_message_clear(&push);
	}
	status = nod_status(fake->node, fake->now_us);
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(status, "config_revision")), 5);
	CU_ASSERT_PTR_NOT_NULL(json_object_get(json_object_get(status, "shares"), "shop"));
	json_decref(status);
	fake_destroy(fake);
}

/*
 * Guards against a change that stays unknown because the connection of a watch has fallen silent:
 * with a wait of 10 s a configuration came later than the 9 s in which it has to be in force.
 */
static void test_silent_document_watch(void)
{
	static const char *const paths[] = {"/v1/watch/config", "/v1/watch/groups", "/v1/vms"};
	struct fake *fake = fake_create();
	size_t i;

	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		const struct fake_call *call = find_call(fake, "", paths[i]);

		CU_ASSERT(call && call->timeout_us < 9 * BC_US_PER_S);
	}
	fake_destroy(fake);
}

/* Guards against a transaction's statement that is not in the trace of its own request. */
static void test_trace_in_transaction(void)
{
	static const char begin[] = "00-0000000000000000000000000000000a-00000000000000b1-01";
	static const char commit[] = "00-0000000000000000000000000000000c-00000000000000b1-01";
	struct fake *fake = fake_create();
	struct nod_request request = {.method = "POST",
				      .path = "/v1/databases/jobs/transactions",
				      .authorization = fake->credential,
				      .traceparent = begin};
	struct fake_call *run;
	char path[256];

	nod_request(fake->node, ++fake->next_request, &request, UNIX_NOW_S, fake->now_us);
	run = open_and_find_run(fake, "e1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	CU_ASSERT_NSTRING_EQUAL(run->traceparent, begin, 36);
	/* Run ids begin with the proxy's id: those of two proxies must never be equal. */
	CU_ASSERT_PTR_NOT_NULL(strstr(run->body, "\"request\":\"p1."));
	answer_run(fake, run,
		   "\"status\":\"ok\",\"results\":[],\"term\":3,\"in_transaction\":true");
	CU_ASSERT_EQUAL_FATAL(fake->reply_count, 1);
	snprintf(path, sizeof(path), "%s/%s/commit", request.path,
		 json_string_value(json_object_get(fake->replies[0].body, "transaction")));
	request.path = path;
	request.traceparent = commit;
	nod_request(fake->node, ++fake->next_request, &request, UNIX_NOW_S, fake->now_us);
	run = find_call(fake, "e1", "/run");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	CU_ASSERT_NSTRING_EQUAL(run->traceparent, commit, 36);
	fake_destroy(fake);
}

/* Guards against a request cut off by a shutdown, and new requests accepted in one (P8). */
static void test_drain(void)
{
	struct fake *fake = fake_create();
	struct fake_call *run;
	char text[600];

	send_statement(fake, WRITE, NULL, NULL);
	run = open_and_find_run(fake, "e1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run);
	nod_drain(fake->node, fake->now_us);
	CU_ASSERT_FALSE(nod_ready(fake->node));
	advance(fake, 600);
	send_statement(fake, READ, NULL, NULL);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "not_run");
	CU_ASSERT_FALSE(fake->stopped);
	answer_run(fake, run, OK_AT_11);
	snprintf(text, sizeof(text), "{%s,\"has\":true}", row(fake, "e2", 11));
	answer(fake, find_call(fake, "e2", "/position"), NOD_CALL_ANSWERED, 200, text);
	advance(fake, 10);
	CU_ASSERT_STRING_EQUAL(outcome(fake), "ran");
	advance(fake, 10);
	CU_ASSERT_TRUE(fake->stopped);
	CU_ASSERT_EQUAL(fake->cut_off, 0);
	fake_destroy(fake);
}

/* Guards against more statements running at endpoints than the plan allows (P10). */
static void test_plan_limit(void)
{
	struct fake *fake = fake_create();
	struct fake_call *call;
	bool limited = false;
	size_t i;

	for (i = 0; i < 10; i++)
		send_statement(fake, WRITE, NULL, NULL);
	for (i = 0; i < 20; i++) {
		while ((call = find_opening(fake, "e1")))
			answer(fake, call, NOD_CALL_ANSWERED, 201, "{\"connection\":\"c1\"}");
		advance(fake, 10);
		answer_status(fake, 10);
	}
	CU_ASSERT(open_calls(fake, "/run") <= 4);
	CU_ASSERT(open_calls(fake, "/run") >= 1);
	advance(fake, 2500);
	for (i = 0; i < fake->reply_count; i++)
		limited |= fake->replies[i].status == 429;
	CU_ASSERT(limited);
	fake_destroy(fake);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"write_waits_for_majority", test_write_waits_for_majority},
		{"unconfirmed_write_is_unknown", test_unconfirmed_write_is_unknown},
		{"unkeyed_write_by_call_result", test_unkeyed_write_by_call_result},
		{"refused_and_failed_write", test_refused_and_failed_write},
		{"refused_in_transaction", test_refused_in_transaction},
		{"keyed_write_is_replayed", test_keyed_write_is_replayed},
		{"read_carries_session_position", test_read_carries_session_position},
		{"no_promotion_after_primary_recovers", test_no_promotion_after_primary_recovers},
		{"age_of_primary_reads", test_age_of_primary_reads},
		{"documents_never_regress", test_documents_never_regress},
		{"silent_document_watch", test_silent_document_watch},
		{"trace_in_transaction", test_trace_in_transaction},
		{"drain", test_drain},
		{"plan_limit", test_plan_limit},
		CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"node", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
