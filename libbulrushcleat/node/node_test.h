#ifndef BC_NODE_TEST_H
#define BC_NODE_TEST_H

#include "node/node.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_MAX 256
#define UNIX_NOW_S 1700000000ULL

/*
 * A proxy with fakes for its callbacks: calls are kept until the test answers them, replies are
 * kept for inspection. The group "jobs" has the endpoints e1 (primary), e2 and e3.
 */

struct fake_call {
	uint64_t id;
	bool open;
	uint64_t timeout_us;
	char target[BC_ID_BYTES];
	char method[8];
	char path[256];
	char traceparent[56];
	char *body;
};

struct fake_reply {
	uint64_t request;
	uint32_t status;
	char *token;
	json_t *body;
};

struct fake {
	struct bc_ctx *ctx;
	struct ses_keyring *ring;
	struct nod_node *node;
	uint64_t now_us;
	struct fake_call calls[CALLS_MAX];
	size_t call_count;
	struct fake_reply replies[16];
	size_t reply_count;
	char credential[16 + SES_CREDENTIAL_BYTES];
	uint64_t next_request;
	uint32_t cut_off;
	bool stopped;
	uint64_t last_term; /* reported in status answers */
};

static const char *const endpoints[] = {"e1", "e2", "e3"};

static void on_reply(void *data, uint64_t request, const struct nod_reply *reply)
{
	struct fake *fake = data;
	struct fake_reply *kept = &fake->replies[fake->reply_count++];

	kept->request = request;
	kept->status = reply->status;
	kept->token = reply->session_token ? strdup(reply->session_token) : NULL;
	kept->body = json_incref(reply->body);
}

static void on_call(void *data, const struct nod_call *call)
{
	struct fake *fake = data;
	struct fake_call *kept = &fake->calls[fake->call_count++ % CALLS_MAX];

	free(kept->body);
	memset(kept, 0, sizeof(*kept));
	kept->id = call->id;
	kept->open = true;
	kept->timeout_us = call->timeout_us;
	snprintf(kept->target, sizeof(kept->target), "%s", call->target ? call->target : "");
	snprintf(kept->method, sizeof(kept->method), "%s", call->method);
	snprintf(kept->path, sizeof(kept->path), "%s", call->path);
	snprintf(kept->traceparent, sizeof(kept->traceparent), "%s",
		 call->traceparent ? call->traceparent : "");
	kept->body = call->body ? strdup(call->body) : NULL;
}

static void on_cancel(void *data, uint64_t call)
{
	struct fake *fake = data;
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		if (fake->calls[i].id == call)
			fake->calls[i].open = false;
}

static void on_send(void *data, const char *address, const struct wire_message *message)
{
	(void)data;
	(void)address;
	(void)message;
}

static void on_stopped(void *data, uint32_t cut_off)
{
	struct fake *fake = data;

	fake->stopped = true;
	fake->cut_off = cut_off;
}

static void answer(struct fake *fake, struct fake_call *call, enum nod_call_result end,
		   uint32_t status, const char *body)
{
	struct nod_answer result = {.result = end, .status = status, .body = body};

	CU_ASSERT_PTR_NOT_NULL(call);
	if (!call)
		return;
	call->open = false;
	nod_answer(fake->node, call->id, &result, fake->now_us);
}

/* An unanswered call whose path contains `part`, to `target` if that is not NULL. */
static struct fake_call *find_call(struct fake *fake, const char *target, const char *part)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		if (fake->calls[i].open && strstr(fake->calls[i].path, part) &&
		    (!target || strcmp(fake->calls[i].target, target) == 0))
			return &fake->calls[i];
	return NULL;
}

static char *row(const struct fake *fake, const char *endpoint, uint64_t pos)
{
	static char text[512];

	snprintf(text, sizeof(text),
		 "\"role\":\"%s\",\"term\":%d,\"promised\":%d,\"log\":{\"term\":%d,\"pos\":%d},"
		 "\"applied\":{\"term\":%d,\"pos\":%d},\"primary\":\"e1\",\"contact_ms\":0,"
		 "\"lag_ms\":0",
		 strcmp(endpoint, "e1") == 0 ? "primary" : "replica", (int)fake->last_term,
		 (int)fake->last_term, (int)fake->last_term, (int)pos, (int)fake->last_term,
		 (int)pos);
	return text;
}

static void answer_status(struct fake *fake, uint64_t pos)
{
	char text[1024];
	size_t i;

	for (i = 0; i < 3; i++) {
		struct fake_call *call = find_call(fake, endpoints[i], "/v1/status");

		if (!call)
			continue;
		snprintf(text, sizeof(text), "{\"endpoint\":\"%s\",\"databases\":{\"jobs\":{%s}}}",
			 endpoints[i], row(fake, endpoints[i], pos));
		answer(fake, call, NOD_CALL_ANSWERED, 200, text);
	}
}

/* Answers calls for share objects: the store has none yet and accepts each write. */
static void answer_store(struct fake *fake)
{
	struct fake_call *call;

	while ((call = find_call(fake, "", "/v1/objects/")))
		answer(fake, call, NOD_CALL_ANSWERED, strcmp(call->method, "GET") == 0 ? 404 : 200,
		       "{\"version\":1}");
}

static void advance(struct fake *fake, uint64_t ms)
{
	fake->now_us += ms * BC_US_PER_MS;
	nod_tick(fake->node, fake->now_us);
	answer_store(fake);
}

static const char groups_text[] =
	"{\"version\":1,\"value\":{\"endpoints\":["
	"{\"id\":\"e1\",\"address\":\"127.0.0.1:1\",\"domain\":\"d1\",\"region\":\"r1\",\"slots\":"
	"2,"
	"\"connections\":16},"
	"{\"id\":\"e2\",\"address\":\"127.0.0.1:2\",\"domain\":\"d2\",\"region\":\"r1\",\"slots\":"
	"2,"
	"\"connections\":16},"
	"{\"id\":\"e3\",\"address\":\"127.0.0.1:3\",\"domain\":\"d3\",\"region\":\"r2\",\"slots\":"
	"2,"
	"\"connections\":16}],"
	"\"groups\":[{\"database\":\"jobs\",\"members\":[\"e1\",\"e2\",\"e3\"]}]}}";
static const char config_text[] =
	"{\"version\":2,\"value\":{\"revision\":5,\"writer\":\"w\",\"plans\":[{\"name\":\"p\","
	"\"connections\":4,\"replica_reads\":true,\"max_staleness_ms\":0}],\"customers\":[{"
	"\"name\":"
	"\"shop\",\"plan\":\"p\",\"databases\":[\"jobs\"]}]}}";
static const char vms_text[] =
	"{\"version\":3,\"vms\":[{\"id\":\"p1\",\"kind\":\"entry\",\"address\":\"127.0.0.1:9\","
	"\"domain\":\"d1\",\"region\":\"r1\",\"state\":\"live\"}]}";

static struct fake *fake_create(void)
{
	struct nod_callbacks callbacks = {{on_reply}, {on_call, on_cancel}, {on_call, on_cancel},
					  {on_send},  on_stopped,	    NULL};
	struct cfg_settings settings = {.id = "p1",
					.domain = "d1",
					.region = "r1",
					.listen_peers = "127.0.0.1:9",
					.platform = "127.0.0.1:10",
					.drain_timeout_ms = 5000,
					.request_timeout_ms = 2000};
	struct fake *fake = calloc(1, sizeof(*fake));
	char credential[SES_CREDENTIAL_BYTES];

	fake->ctx = bc_ctx_create(7);
	fake->ring = ses_keyring_create(fake->ctx);
	fake->now_us = BC_US_PER_S;
	fake->last_term = 3;
	ses_keyring_add(fake->ring, 1, "0123456789abcdef0123456789abcdef", 32, true);
	ses_credential_issue(fake->ring, "shop", credential);
	snprintf(fake->credential, sizeof(fake->credential), "Bearer %s", credential);
	callbacks.data = fake;
	fake->node = nod_create(fake->ctx, &settings, fake->ring, 1, &callbacks, fake->now_us);
	advance(fake, 10);
	answer(fake, find_call(fake, "", "/v1/watch/config"), NOD_CALL_ANSWERED, 200, config_text);
	answer(fake, find_call(fake, "", "/v1/watch/groups"), NOD_CALL_ANSWERED, 200, groups_text);
	answer(fake, find_call(fake, "", "/v1/vms"), NOD_CALL_ANSWERED, 200, vms_text);
	advance(fake, 250);
	answer_status(fake, 10);
	return fake;
}

static void fake_destroy(struct fake *fake)
{
	size_t i;

	nod_destroy(fake->node);
	for (i = 0; i < CALLS_MAX; i++)
		free(fake->calls[i].body);
	for (i = 0; i < fake->reply_count; i++) {
		free(fake->replies[i].token);
		json_decref(fake->replies[i].body);
	}
	ses_keyring_destroy(fake->ring);
	bc_ctx_destroy(fake->ctx);
	free(fake);
}

static void send_statement(struct fake *fake, const char *body, const char *token, const char *key)
{
	struct nod_request request = {.method = "POST",
				      .path = "/v1/databases/jobs/statements",
				      .authorization = fake->credential,
				      .session_token = token,
				      .idempotency_key = key,
				      .request_id = "r:1",
				      .body = body};

	nod_request(fake->node, ++fake->next_request, &request, UNIX_NOW_S, fake->now_us);
	advance(fake, 10);
}

/* The unanswered call to open a connection to the endpoint, or NULL. */
static struct fake_call *find_opening(struct fake *fake, const char *endpoint)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		if (fake->calls[i].open && strcmp(fake->calls[i].path, "/v1/connections") == 0 &&
		    strcmp(fake->calls[i].target, endpoint) == 0)
			return &fake->calls[i];
	return NULL;
}

/* Answers calls to open connections until the endpoint gets a run call, and returns that. */
static struct fake_call *open_and_find_run(struct fake *fake, const char *endpoint)
{
	struct fake_call *call;
	int rounds;

	for (rounds = 0; rounds < 50 && !find_call(fake, endpoint, "/run"); rounds++) {
		while ((call = find_opening(fake, endpoint)))
			answer(fake, call, NOD_CALL_ANSWERED, 201, "{\"connection\":\"c1\"}");
		advance(fake, 10);
		answer_status(fake, 10);
	}
	return find_call(fake, endpoint, "/run");
}

/* Answers a run call with the request id it was sent with. `rest` is the body after that field. */
static void answer_run(struct fake *fake, struct fake_call *run, const char *rest)
{
	json_t *body = run ? json_loads(run->body, 0, NULL) : NULL;
	char text[1024];

	snprintf(text, sizeof(text), "{\"request\":\"%s\",%s}",
		 json_string_value(json_object_get(body, "request")), rest);
	json_decref(body);
	answer(fake, run, NOD_CALL_ANSWERED, 200, text);
}

static const char *outcome(const struct fake *fake)
{
	if (!fake->reply_count)
		return "none";
	return json_string_value(
		json_object_get(fake->replies[fake->reply_count - 1].body, "outcome"));
}

static size_t open_calls(struct fake *fake, const char *part)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		count += fake->calls[i].open && strstr(fake->calls[i].path, part);
	return count;
}

#endif
