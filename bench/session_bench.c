#include "session/session.h"
#include "bench/bench.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define FRAME_PREFIX_BYTES 4

struct session {
	struct bc_ctx *ctx;
	struct ses_keyring *ring;
	struct ses_session session;
	char token[SES_TOKEN_MAX_BYTES];
	char authorization[SES_CREDENTIAL_BYTES + 8];
};

static void *session_setup(uint32_t size)
{
	static const char secret[] = "0123456789abcdef0123456789abcdef";
	struct session *session = calloc(1, sizeof(*session));
	char credential[SES_CREDENTIAL_BYTES];
	uint32_t i;

	session->ctx = bc_ctx_create(1);
	session->ring = ses_keyring_create(session->ctx);
	ses_keyring_add(session->ring, 1, secret, sizeof(secret), true);
	ses_session_init(&session->session, "shop-front", 42);
	for (i = 0; i < size; i++) {
		char database[BC_ID_BYTES];

		snprintf(database, sizeof(database), "database-%u", i);
		ses_mark_advance(session->ctx, &session->session, database,
				 (struct bc_position){7, 100000 + i});
	}
	if (ses_token_issue(session->ring, &session->session, session->token) != BC_OK ||
	    ses_credential_issue(session->ring, "shop-front", credential) != BC_OK)
		abort();
	snprintf(session->authorization, sizeof(session->authorization), "Bearer %s", credential);
	return session;
}

static void session_teardown(void *data)
{
	struct session *session = data;

	ses_keyring_destroy(session->ring);
	bc_ctx_destroy(session->ctx);
	free(session);
}

static void token_issue(void *data, uint64_t index)
{
	struct session *session = data;

	session->session.id = index;
	if (ses_token_issue(session->ring, &session->session, session->token) != BC_OK)
		abort();
}

static void token_verify(void *data, uint64_t index)
{
	struct session *session = data;
	struct ses_session read;

	(void)index;
	if (ses_token_verify(session->ring, session->token, "shop-front", &read) != BC_OK)
		abort();
}

static void credential_check(void *data, uint64_t index)
{
	struct session *session = data;
	char customer[BC_ID_BYTES];

	(void)index;
	if (ses_credential_verify(session->ring, session->authorization, customer) != BC_OK)
		abort();
}

struct wire {
	struct bc_ctx *ctx;
	struct wire_message message;
	uint8_t *frame;
	size_t frame_bytes;
};

static void *wire_setup(uint32_t size)
{
	struct wire *wire = calloc(1, sizeof(*wire));
	uint32_t i;

	wire->ctx = bc_ctx_create(1);
	wire->message.kind = WIRE_MEMBER;
	wire->message.member.update_count = size;
	for (i = 0; i < size; i++) {
		struct mem_update *update = &wire->message.member.updates[i];

		snprintf(update->id, sizeof(update->id), "orange-barn-%u", i);
		snprintf(update->address, sizeof(update->address), "10.1.2.%u:7900", i + 1);
		snprintf(update->domain, sizeof(update->domain), "orange-barn");
		snprintf(update->region, sizeof(update->region), "new-england");
		update->incarnation = 1700000000000000ULL;
	}
	if (wire_pack(wire->ctx, &wire->message, &wire->frame, &wire->frame_bytes) != BC_OK)
		abort();
	printf("{\"bench\":\"wire.frame\",\"n\":%u,\"frame_bytes\":%zu}\n", size,
	       wire->frame_bytes);
	return wire;
}

static void wire_teardown(void *data)
{
	struct wire *wire = data;

	free(wire->frame);
	bc_ctx_destroy(wire->ctx);
	free(wire);
}

static void pack(void *data, uint64_t index)
{
	struct wire *wire = data;
	size_t bytes;
	uint8_t *frame;

	(void)index;
	if (wire_pack(wire->ctx, &wire->message, &frame, &bytes) != BC_OK)
		abort();
	free(frame);
}

static void unpack(void *data, uint64_t index)
{
	struct wire *wire = data;
	struct wire_message message;

	(void)index;
	if (wire_unpack(wire->ctx, wire->frame + FRAME_PREFIX_BYTES,
			wire->frame_bytes - FRAME_PREFIX_BYTES, &message) != BC_OK)
		abort();
	wire_message_clear(&message);
}

struct counters {
	struct bc_ctx *ctx;
	uint32_t size;
	char (*labels)[BC_ID_BYTES];
};

static void *counters_setup(uint32_t size)
{
	struct counters *counters = calloc(1, sizeof(*counters));
	uint32_t i;

	counters->ctx = bc_ctx_create(1);
	counters->size = size;
	counters->labels = calloc(size, sizeof(*counters->labels));
	for (i = 0; i < size; i++) {
		snprintf(counters->labels[i], BC_ID_BYTES, "endpoint=\"endpoint-%u\"", i);
		bc_counter_add(counters->ctx, "bulrushcleat_requests_total", counters->labels[i],
			       1);
	}
	return counters;
}

static void counters_teardown(void *data)
{
	struct counters *counters = data;

	bc_ctx_destroy(counters->ctx);
	free(counters->labels);
	free(counters);
}

static void count(void *data, uint64_t index)
{
	struct counters *counters = data;

	bc_counter_add(counters->ctx, "bulrushcleat_requests_total",
		       counters->labels[index * 7919 % counters->size], 1);
}

static const struct bch_case cases[] = {
	{"session.token_issue", {1, 8, 32}, true, session_setup, token_issue, session_teardown},
	{"session.token_verify", {1, 8, 32}, true, session_setup, token_verify, session_teardown},
	{"session.credential_check",
	 {1, 32},
	 true,
	 session_setup,
	 credential_check,
	 session_teardown},
	/*
	 * The size is the number of updates in the message, at most MEM_UPDATES_MAX. Unbounded,
	 * since the content grows with it.
	 */
	{"wire.pack", {1, 4, 16}, false, wire_setup, pack, wire_teardown},
	{"wire.unpack", {1, 4, 16}, false, wire_setup, unpack, wire_teardown},
	/* The size is the number of different labels of one counter. */
	{"core.count", {3, 300, 5200}, true, counters_setup, count, counters_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
