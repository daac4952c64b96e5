#include "wire/wire_internal.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define KEY "fleet key of the test"

static struct bc_ctx *ctx;

static struct wire_message sample_message(void)
{
	struct wire_message message = {.kind = WIRE_MEMBER, .versions = {7, 8, 9}};

	message.member = (struct mem_message){
		.kind = MEM_PING_REQUEST, .sequence = 9, .target = "vm-2", .update_count = 1};
	message.member.updates[0] = (struct mem_update){.id = "vm-1",
							.address = "10.0.0.1:7000",
							.domain = "orange-barn",
							.region = "new-england",
							.incarnation = 3};
	message.hint_count = 1;
	message.hints[0] = (struct wire_hint){.database = "db", .term = 2, .primary = "ep-1"};
	return message;
}

/* An envelope with one update and one hint, and room for more of both than the limits allow. */
struct raw_envelope {
	Wire__Envelope envelope;
	Wire__Member member;
	Wire__Update update;
	Wire__Hint hint;
	uint64_t versions[WIRE_DOCUMENT_COUNT];
	Wire__Push push;
	Wire__Pull pull;
	Wire__Update *updates[MEM_UPDATES_MAX + 1];
	Wire__Hint *hints[WIRE_HINTS_MAX + 1];
};

/* Sets one field out of range, in a message to be packed and in an envelope to be unpacked. */
struct invalid_case {
	const char *name;
	void (*packed)(struct wire_message *m);
	void (*unpacked)(struct raw_envelope *r);
};

static ProtobufCBinaryData text(const char *value)
{
	return (ProtobufCBinaryData){strlen(value), (uint8_t *)value};
}

/* Longer than any buffer on the stack of wire_unpack(). */
static uint8_t huge[1000000];
static char one_byte[] = "x";
static const char id_64[] = "0123456789012345678901234567890123456789012345678901234567890123";

#define INVALID_CASE(name, message_statement, envelope_statement)                                  \
	static void packed_##name(struct wire_message *m)                                          \
	{                                                                                          \
		message_statement;                                                                 \
	}                                                                                          \
	static void unpacked_##name(struct raw_envelope *r)                                        \
	{                                                                                          \
		envelope_statement;                                                                \
	}

INVALID_CASE(no_id, m->member.updates[0].id[0] = 0, r->update.id.len = 0)
INVALID_CASE(bad_id, m->member.updates[0].id[0] = '/', r->update.id = text("a/b"))
INVALID_CASE(long_id, memset(m->member.updates[0].id, 'a', BC_ID_BYTES), r->update.id = text(id_64))
INVALID_CASE(huge_id, memset(m->member.updates[0].id, 'a', BC_ID_BYTES),
	     r->update.id = ((ProtobufCBinaryData){sizeof(huge), huge}))
INVALID_CASE(long_address, memset(m->member.updates[0].address, '1', BC_ADDRESS_BYTES),
	     r->update.address = text(id_64))
INVALID_CASE(no_address, m->member.updates[0].address[0] = 0, r->update.address.len = 0)
INVALID_CASE(bad_domain, m->member.updates[0].domain[0] = ' ', r->update.domain = text(" "))
INVALID_CASE(bad_region, m->member.updates[0].region[0] = '"', r->update.region = text("\""))
INVALID_CASE(incarnation, m->member.updates[0].incarnation = UINT64_MAX,
	     r->update.incarnation = UINT64_MAX)
INVALID_CASE(health, m->member.updates[0].health = (enum mem_health)3,
	     r->update.health = (Wire__Health)3)
INVALID_CASE(health_sign, m->member.updates[0].health = (enum mem_health) - 1,
	     r->update.health = (Wire__Health)-1)
INVALID_CASE(kind, m->member.kind = (enum mem_message_kind)3, r->member.kind = (Wire__MemberKind)3)
INVALID_CASE(no_target, m->member.target[0] = 0, r->member.target.len = 0)
INVALID_CASE(other_target, m->member.kind = MEM_PING, r->member.kind = WIRE__MEMBER_KIND__PING)
INVALID_CASE(updates, m->member.update_count = MEM_UPDATES_MAX + 1,
	     r->member.n_updates = MEM_UPDATES_MAX + 1)
INVALID_CASE(hints, m->hint_count = WIRE_HINTS_MAX + 1, r->envelope.n_hints = WIRE_HINTS_MAX + 1)
INVALID_CASE(hint_database, m->hints[0].database[0] = 0, r->hint.database.len = 0)
INVALID_CASE(hint_primary, m->hints[0].primary[0] = '\n', r->hint.primary = text("\n"))
INVALID_CASE(confirmed_for, m->config_confirmed_for[0] = '/', r->envelope.current_of = text("a/b"))
INVALID_CASE(long_confirmed_for, memset(m->config_confirmed_for, 'a', BC_ID_BYTES),
	     r->envelope.current_of = text(id_64))
INVALID_CASE(body, m->kind = (enum wire_kind)9,
	     r->envelope.body_case = WIRE__ENVELOPE__BODY__NOT_SET)
INVALID_CASE(no_content, m->kind = WIRE_PUSH, r->envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
	     r->envelope.push = &r->push)
INVALID_CASE(pushed_document, m->kind = WIRE_PUSH; m->document = WIRE_DOCUMENT_COUNT;
	     m->content = one_byte, r->envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
	     r->envelope.push = &r->push; r->push.document = WIRE_DOCUMENT_COUNT;
	     r->push.content = text(one_byte))
INVALID_CASE(pulled_document, m->kind = WIRE_PULL;
	     m->document = WIRE_DOCUMENT_COUNT, r->envelope.body_case = WIRE__ENVELOPE__BODY_PULL;
	     r->envelope.pull = &r->pull; r->pull.document = WIRE_DOCUMENT_COUNT)
/* A struct wire_message always has all versions; only an envelope can lack one. */
INVALID_CASE(missing_version, m->kind = (enum wire_kind)9,
	     r->envelope.n_versions = WIRE_DOCUMENT_COUNT - 1)
INVALID_CASE(nul_in_id, m->member.updates[0].id[0] = 0,
	     r->update.id = ((ProtobufCBinaryData){4, (uint8_t *)"a\0bc"}))

#define CASE(name)                                                                                 \
	{                                                                                          \
#name, packed_##name, unpacked_##name                                              \
	}
static const struct invalid_case invalid_cases[] = {
	CASE(no_id),
	CASE(confirmed_for),
	CASE(long_confirmed_for),
	CASE(bad_id),
	CASE(long_id),
	CASE(long_address),
	CASE(no_address),
	CASE(bad_domain),
	CASE(bad_region),
	CASE(incarnation),
	CASE(health),
	CASE(health_sign),
	CASE(kind),
	CASE(no_target),
	CASE(other_target),
	CASE(updates),
	CASE(hints),
	CASE(hint_database),
	CASE(hint_primary),
	CASE(body),
	CASE(no_content),
	CASE(nul_in_id),
	CASE(huge_id),
	CASE(pushed_document),
	CASE(pulled_document),
	CASE(missing_version),
};

/* Guards against sending a message that makes every receiver close the connection. */
static void test_pack_bounds(void)
{
	size_t i;

	for (i = 0; i < COUNT(invalid_cases); i++) {
		struct wire_message message = sample_message();
		uint8_t *frame = NULL;
		size_t bytes = 0;

		invalid_cases[i].packed(&message);
		CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
		CU_ASSERT_PTR_NULL(frame);
	}
}

static void raw_envelope_init(struct raw_envelope *r)
{
	size_t i;

	wire__envelope__init(&r->envelope);
	memset(r->versions, 0, sizeof(r->versions));
	r->envelope.n_versions = WIRE_DOCUMENT_COUNT;
	r->envelope.versions = r->versions;
	wire__member__init(&r->member);
	wire__update__init(&r->update);
	wire__hint__init(&r->hint);
	wire__push__init(&r->push);
	wire__pull__init(&r->pull);
	r->update.id = text("vm-1");
	r->update.address = text("10.0.0.1:7000");
	r->hint.database = text("db");
	r->hint.primary = text("ep-1");
	r->member.kind = WIRE__MEMBER_KIND__PING_REQUEST;
	r->member.target = text("vm-2");
	for (i = 0; i < COUNT(r->updates); i++)
		r->updates[i] = &r->update;
	for (i = 0; i < COUNT(r->hints); i++)
		r->hints[i] = &r->hint;
	r->member.n_updates = 1;
	r->member.updates = r->updates;
	r->envelope.n_hints = 1;
	r->envelope.hints = r->hints;
	r->envelope.body_case = WIRE__ENVELOPE__BODY_MEMBER;
	r->envelope.member = &r->member;
}

static enum bc_status raw_envelope_unpack(const struct raw_envelope *r,
					  struct wire_message *message)
{
	enum bc_status status;
	uint8_t *frame;
	size_t bytes;

	CU_ASSERT_EQUAL_FATAL(wire_frame_envelope(ctx, &r->envelope, &frame, &bytes), BC_OK);
	status = wire_unpack(ctx, frame + WIRE_PREFIX_BYTES, bytes - WIRE_PREFIX_BYTES, message);
	free(frame);
	return status;
}

/* Guards against received fields that overrun a buffer or are out of range. */
static void test_unpack_bounds(void)
{
	struct wire_message message = {.versions = {1234}};
	uint8_t before[sizeof(message)];
	uint8_t after[sizeof(message)];
	struct raw_envelope r;
	size_t i;

	memcpy(before, &message, sizeof(message));
	for (i = 0; i < COUNT(invalid_cases); i++) {
		raw_envelope_init(&r);
		invalid_cases[i].unpacked(&r);
		CU_ASSERT_EQUAL(raw_envelope_unpack(&r, &message), BC_EINVAL);
		memcpy(after, &message, sizeof(message));
		CU_ASSERT_EQUAL(memcmp(before, after, sizeof(before)), 0);
	}
	raw_envelope_init(&r);
	CU_ASSERT_EQUAL(raw_envelope_unpack(&r, &message), BC_OK);
	CU_ASSERT_EQUAL(message.member.update_count, 1);
}

/* Guards against a small frame that takes a lot of memory, and an over-long document. */
static void test_unpack_size(void)
{
	size_t bytes = WIRE_FRAME_MAX_BYTES;
	uint8_t *hints = malloc(bytes);
	struct wire_message message = {.kind = WIRE_PUSH};
	uint8_t *frame = NULL;
	size_t i;

	for (i = 0; i < bytes; i++)
		hints[i] = i % 2 ? 0 : 0x12; /* field 2, length 0: an empty hint */
	CU_ASSERT_EQUAL(wire_unpack(ctx, hints, bytes, &message), BC_EINVAL);
	CU_ASSERT_PTR_NOT_NULL(strstr(bc_last_message(ctx), "malformed"));
	free(hints);
	message.content = malloc(1024 * 1024 + 2);
	memset(message.content, 'x', 1024 * 1024 + 1);
	message.content[1024 * 1024 + 1] = '\0';
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	message.content[1024 * 1024] = '\0';
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_OK);
	wire_message_clear(&message);
	CU_ASSERT_EQUAL(wire_unpack(ctx, frame + 4, bytes - 4, &message), BC_OK);
	CU_ASSERT_EQUAL(strlen(message.content), 1024 * 1024);
	wire_message_clear(&message);
	free(frame);
}

struct side {
	struct wire_link *link;
	uint8_t out[4096];
	size_t out_bytes;
	bool ready;
	uint32_t messages;
};

static void on_output(void *data, const uint8_t *bytes, size_t length)
{
	struct side *side = data;

	CU_ASSERT_FATAL(side->out_bytes + length <= sizeof(side->out));
	memcpy(side->out + side->out_bytes, bytes, length);
	side->out_bytes += length;
}

static void on_ready(void *data, const char *peer_id)
{
	struct side *side = data;

	CU_ASSERT_TRUE(bc_id_valid(peer_id));
	side->ready = true;
}

static void on_message(void *data, const struct wire_message *message)
{
	struct side *side = data;

	CU_ASSERT_EQUAL(message->versions[0], 7);
	CU_ASSERT_EQUAL(message->versions[2], 9);
	side->messages++;
}

static const struct wire_link_ops ops = {on_output, on_ready, on_message};

/* The callbacks keep a pointer to `side`, so it must not be moved. */
static void side_start(struct side *side, const char *id, const char *key, bool initiator)
{
	memset(side, 0, sizeof(*side));
	side->link = wire_link_create(ctx, id, key, strlen(key), initiator, &ops, side);
	CU_ASSERT_PTR_NOT_NULL_FATAL(side->link);
	wire_link_start(side->link);
}

/* Delivers the output of `from` to `to`, in chunks of `piece` bytes. */
static enum bc_status transfer_output(struct side *from, struct side *to, size_t piece)
{
	enum bc_status status = BC_OK;
	size_t done;

	for (done = 0; done < from->out_bytes && status == BC_OK; done += piece) {
		size_t left = from->out_bytes - done;

		status = wire_link_input(to->link, from->out + done, left < piece ? left : piece);
	}
	from->out_bytes = 0;
	return status;
}

/* Exchanges both Hellos and Proofs, then sends a message from a to b. Stops at a failure. */
static enum bc_status handshake(struct side *a, struct side *b, size_t piece)
{
	struct wire_message message = sample_message();
	enum bc_status status = transfer_output(a, b, piece);

	if (status == BC_OK)
		status = transfer_output(b, a, piece);
	if (status == BC_OK)
		status = wire_link_send(a->link, &message);
	if (status == BC_OK)
		status = transfer_output(a, b, piece);
	return status;
}

/* Guards against accepting a peer without the key, of another version or with our own id. */
static void test_hello(void)
{
	static const struct {
		const char *peer_id;
		const char *peer_key;
		size_t piece;
		uint8_t version; /* written into the initiator's hello, unless 0 */
		enum bc_status status;
		const char *message;
	} cases[] = {
		{"b", KEY, 4096, 0, BC_OK, ""},
		{"b", KEY, 1, 0, BC_OK, ""},
		{"b", "another key", 4096, 0, BC_EAUTH, "wrong proof of peer b"},
		{"a", KEY, 4096, 0, BC_ECONFLICT, "our own id a"},
		{"b", KEY, 4096, 2, BC_EVERSION, "version 2, not 1"},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct wire_message message = sample_message();
		bool expected = cases[i].status == BC_OK;
		struct side a;
		struct side b;

		side_start(&a, "a", KEY, true);
		side_start(&b, cases[i].peer_id, cases[i].peer_key, false);
		CU_ASSERT_EQUAL(wire_link_send(a.link, &message), BC_EAGAIN);
		/* The version follows the prefix, two tags and a length. */
		if (cases[i].version)
			a.out[WIRE_PREFIX_BYTES + 3] = cases[i].version;
		CU_ASSERT_EQUAL(handshake(&a, &b, cases[i].piece), cases[i].status);
		if (!expected)
			CU_ASSERT_PTR_NOT_NULL(strstr(bc_last_message(ctx), cases[i].message));
		CU_ASSERT_EQUAL(a.ready, expected);
		CU_ASSERT_EQUAL(b.ready, expected);
		CU_ASSERT_EQUAL(b.messages, expected);
		wire_link_destroy(a.link);
		wire_link_destroy(b.link);
	}
}

/* Writes a Hello as an attacker without the key could send it. */
static size_t forge_hello(uint8_t *out, const char *id)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Hello hello = WIRE__HELLO__INIT;
	uint8_t nonce[32] = {1};
	uint8_t *frame;
	size_t bytes;

	hello.version = WIRE_VERSION;
	hello.id = text(id);
	hello.nonce = (ProtobufCBinaryData){sizeof(nonce), nonce};
	envelope.body_case = WIRE__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	CU_ASSERT_EQUAL_FATAL(wire_frame_envelope(ctx, &envelope, &frame, &bytes), BC_OK);
	memcpy(out, frame, bytes);
	free(frame);
	return bytes;
}

/* Guards against reflection: an attacker sends our own Proof back to us, in either role. */
static void test_reflected_proof(void)
{
	int initiator;

	for (initiator = 0; initiator < 2; initiator++) {
		uint8_t hello[512];
		size_t bytes = forge_hello(hello, "b");
		struct side a;

		side_start(&a, "a", KEY, initiator);
		a.out_bytes = 0;
		CU_ASSERT_EQUAL(wire_link_input(a.link, hello, bytes), BC_OK);
		CU_ASSERT_EQUAL(transfer_output(&a, &a, sizeof(a.out)), BC_EAUTH);
		CU_ASSERT_FALSE(a.ready);
		wire_link_destroy(a.link);
	}
}

/* Guards against replay of what a genuine peer has sent on another connection. */
static void test_replayed_proof(void)
{
	uint8_t recorded[4096];
	size_t bytes;
	struct side a;
	struct side b;

	side_start(&a, "a", KEY, true);
	side_start(&b, "b", KEY, false);
	bytes = a.out_bytes;
	memcpy(recorded, a.out, bytes);
	CU_ASSERT_EQUAL(transfer_output(&a, &b, sizeof(a.out)), BC_OK);
	CU_ASSERT_EQUAL(transfer_output(&b, &a, sizeof(a.out)), BC_OK);
	memcpy(recorded + bytes, a.out, a.out_bytes);
	bytes += a.out_bytes;
	CU_ASSERT_EQUAL(transfer_output(&a, &b, sizeof(a.out)), BC_OK);
	CU_ASSERT_TRUE(b.ready);
	wire_link_destroy(b.link);
	side_start(&b, "b", KEY, false);
	CU_ASSERT_EQUAL(wire_link_input(b.link, recorded, bytes), BC_EAUTH);
	CU_ASSERT_FALSE(b.ready);
	/* After a failure all further input fails. */
	CU_ASSERT_EQUAL(wire_link_input(b.link, recorded, 1), BC_EAUTH);
	wire_link_destroy(a.link);
	wire_link_destroy(b.link);
}

/* Guards against waiting for an over-long frame, and against messages before authentication. */
static void test_frames(void)
{
	static const struct {
		size_t length;
		enum bc_status status;
		bool ready;
		uint8_t bytes[8];
	} cases[] = {
		{4, BC_EINVAL, false, {0, 0, 2, 1}}, /* 513 bytes before authentication */
		{4, BC_EINVAL, false, {255, 255, 255, 255}},
		{4, BC_EAUTH, false, {0, 0, 0, 0}}, /* an empty envelope */
		{7, BC_EINVAL, false, {0, 0, 0, 3, 255, 255, 255}},
		{6, BC_EAUTH, false, {0, 0, 0, 2, 0x3a, 0}}, /* a Pull */
		{5, BC_OK, false, {0, 0, 0, 3, 0x1a}},	     /* incomplete */
		{4, BC_EINVAL, true, {0, 17, 0, 1}},	     /* WIRE_FRAME_MAX_BYTES + 1 */
		{4, BC_OK, true, {0, 17, 0, 0}},
		{7, BC_EINVAL, true, {0, 0, 0, 3, 255, 255, 255}},
		{6, BC_EINVAL, true, {0, 0, 0, 2, 0x1a, 0}}, /* a second Hello */
		{4, BC_EINVAL, true, {0, 0, 0, 0}},
		{3, BC_OK, true, {0, 0, 0}},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct side a;
		struct side b;

		side_start(&a, "a", KEY, true);
		side_start(&b, "b", KEY, false);
		if (cases[i].ready)
			CU_ASSERT_EQUAL(handshake(&a, &b, sizeof(a.out)), BC_OK);
		CU_ASSERT_EQUAL(wire_link_input(b.link, cases[i].bytes, cases[i].length),
				cases[i].status);
		CU_ASSERT_EQUAL(b.ready, cases[i].ready);
		CU_ASSERT_EQUAL(b.messages, cases[i].ready);
		wire_link_destroy(a.link);
		wire_link_destroy(b.link);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {{"pack_bounds", test_pack_bounds},
			       {"unpack_bounds", test_unpack_bounds},
			       {"unpack_size", test_unpack_size},
			       {"hello", test_hello},
			       {"reflected_proof", test_reflected_proof},
			       {"replayed_proof", test_replayed_proof},
			       {"frames", test_frames},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"wire", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	memset(huge, 'a', sizeof(huge));
	ctx = bc_ctx_create(1);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	bc_ctx_destroy(ctx);
	return failures ? 1 : 0;
}
