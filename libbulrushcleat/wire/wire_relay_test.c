#include "wire/wire_internal.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX_BYTES 4U
#define FUZZ_RUNS 20000U
#define DOCUMENT_BYTES 70000U

static struct wire_message round_trip(struct bc_ctx *ctx, const struct wire_message *in)
{
	struct wire_message out = {0};
	size_t bytes = 0;
	uint8_t *frame = NULL;

	CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, in, &frame, &bytes), BC_OK);
	CU_ASSERT_EQUAL_FATAL(wire_unpack(ctx, frame + PREFIX_BYTES, bytes - PREFIX_BYTES, &out),
			      BC_OK);
	free(frame);
	return out;
}

static struct wire_message make_order(struct sql_variable *values)
{
	struct wire_message message = {.kind = WIRE_ORDER};

	values[0] = (struct sql_variable){"zone", "east side"};
	values[1] = (struct sql_variable){"empty", ""};
	message.order = (struct sql_order){
		.kind = SQL_ORDER_RUN,
		.stream = 7,
		.sent_us = 123456789,
		.endpoint_id = "i-1",
		.statement = {.verb = SQL_EXECUTE,
			      .id = "5c0e",
			      .text = "EXECUTE s1 5 x",
			      .name = "s1",
			      .value = "5 x",
			      .has_after = true,
			      .after = {3, 50}},
		.shape = "q7",
		.shape_writes = true,
		.in_transaction = true,
		.begun = true,
		.writes = true,
		.guard = true,
		.timeout_ms = 800,
		.target_ms = 300,
		.priority = 2,
		.variable_count = 2,
		.variables = values,
	};
	return message;
}

/* Guards against fields of an order that are lost or swapped by packing and unpacking. */
static void test_order(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct sql_variable values[2];
	struct wire_message in = make_order(values);
	struct wire_message out = round_trip(ctx, &in);

	CU_ASSERT_EQUAL(out.order.stream, 7);
	CU_ASSERT_EQUAL(out.order.sent_us, 123456789);
	CU_ASSERT_STRING_EQUAL(out.order.endpoint_id, "i-1");
	CU_ASSERT_EQUAL(out.order.statement.verb, SQL_EXECUTE);
	CU_ASSERT_STRING_EQUAL(out.order.statement.id, "5c0e");
	CU_ASSERT_STRING_EQUAL(out.order.statement.text, "EXECUTE s1 5 x");
	CU_ASSERT_STRING_EQUAL(out.order.statement.name, "s1");
	CU_ASSERT_STRING_EQUAL(out.order.statement.value, "5 x");
	CU_ASSERT_STRING_EQUAL(out.order.shape, "q7");
	CU_ASSERT_TRUE(out.order.shape_writes && out.order.in_transaction && out.order.begun &&
		       out.order.writes && out.order.guard && !out.order.read_only);
	CU_ASSERT_TRUE(out.order.statement.has_after);
	CU_ASSERT_EQUAL(out.order.statement.after.pos, 50);
	CU_ASSERT_EQUAL(out.order.variable_count, 2);
	CU_ASSERT_STRING_EQUAL(out.order.variables[0].value, "east side");
	CU_ASSERT_STRING_EQUAL(out.order.variables[1].value, "");
	wire_message_clear(&out);
	bc_ctx_destroy(ctx);
}

/* The frame of make_order() as builds without accounts send it. */
static const char order_frame[] =
	"0000007a0a03000000426e10071a03692d3120082a0435633065320e455845435554452073312035"
	"20783a02733142033520784a027137500158016001700178018001018801039001329801a006a001"
	"ac02aa01110a047a6f6e651209656173742073696465aa01070a05656d707479b001959aef3ab801"
	"026a03000000";

/*
 * Guards against an account that is lost, and against another encoding of orders without one, which
 * proxies of older builds exchange.
 */
static void test_order_account(void)
{
	static const char *const accounts[] = {NULL, "mill"};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct sql_variable values[2];
	struct wire_message in = make_order(values);
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(accounts) / sizeof(accounts[0]); i++) {
		struct wire_message out = {0};
		char hex[512] = "";
		uint8_t *frame = NULL;
		size_t bytes = 0;

		in.order.account = accounts[i];
		CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &bytes), BC_OK);
		CU_ASSERT_FATAL(2 * bytes < sizeof(hex));
		for (k = 0; k < bytes; k++)
			snprintf(hex + 2 * k, 3, "%02x", frame[k]);
		CU_ASSERT_EQUAL(strcmp(hex, order_frame) == 0, !in.order.account);
		/* Field 24, a length of 4, and the name, so that another build reads it. */
		CU_ASSERT_EQUAL(strstr(hex, "c201046d696c6c") != NULL, in.order.account != NULL);
		free(frame);
		out = round_trip(ctx, &in);
		if (in.order.account)
			CU_ASSERT_STRING_EQUAL(out.order.account, in.order.account)
		else
			CU_ASSERT_PTR_NULL(out.order.account);
		CU_ASSERT_STRING_EQUAL(out.order.variables[0].value, "east side");
		wire_message_clear(&out);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against rows or a sample of a reply that are lost by packing and unpacking. */
static void test_reply(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct wire_message in = {.kind = WIRE_REPLY};
	struct wire_message out;

	in.reply = (struct sql_reply){
		.stream = 9,
		.order_sent_us = 55,
		.result = {.code = SQL_OK,
			   .signature = "7.1f3",
			   .rows = "one\r\ntwo\r\n",
			   .rows_bytes = 10,
			   .state = SQL_IN_TRANSACTION,
			   .has_position = true,
			   .position = {4, 12}},
		.has_sample = true,
		.sample = {4, 11},
		.sample_age_ms = 40,
	};
	out = round_trip(ctx, &in);
	CU_ASSERT_EQUAL(out.reply.stream, 9);
	CU_ASSERT_EQUAL(out.reply.order_sent_us, 55);
	CU_ASSERT_STRING_EQUAL(out.reply.result.signature, "7.1f3");
	CU_ASSERT_EQUAL(out.reply.result.rows_bytes, 10);
	CU_ASSERT_NSTRING_EQUAL(out.reply.result.rows, "one\r\ntwo\r\n", 10);
	CU_ASSERT_EQUAL(out.reply.result.state, SQL_IN_TRANSACTION);
	CU_ASSERT_EQUAL(out.reply.result.position.pos, 12);
	CU_ASSERT_TRUE(out.reply.has_sample);
	CU_ASSERT_EQUAL(out.reply.sample.pos, 11);
	CU_ASSERT_EQUAL(out.reply.sample_age_ms, 40);
	wire_message_clear(&out);
	bc_ctx_destroy(ctx);
}

struct rows_case {
	const char *failure; /* the failure that the case guards against */
	const char *rows;
	const char *packed;
	bool end_crlf;
};

static const struct rows_case rows_cases[] = {
	{"rows that an older proxy cannot split", "one\r\ntwo\r\n", "one\ntwo\n", false},
	{"an empty row lost", "\r\n\r\n", "\n\n", false},
	{"a row split at a line feed", "a\nb\r\nc\r\n", "a\nb\r\nc\r\n", true},
	{"a line feed at the start of a row", "a\r\n\nb\r\n", "a\r\n\nb\r\n", true},
	{"a row cut off at a carriage return", "a\rb\r\n", "a\rb\n", false},
	{"a carriage return lost from the end of a row", "a\r\r\nb\r\n", "a\r\nb\n", false},
	{"rows where there are none", "", "", false},
};

/* Guards against rows that a relay splits, cuts off or joins, and against another form of them. */
static void test_rows(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < sizeof(rows_cases) / sizeof(rows_cases[0]); i++) {
		const struct rows_case *c = &rows_cases[i];
		struct wire_message in = {.kind = WIRE_REPLY};
		struct wire_message out;
		Wire__Reply packed;
		char *memory;
		bool same;

		in.reply.result.rows = c->rows;
		in.reply.result.rows_bytes = strlen(c->rows);
		memory = wire_reply_pack(&packed, &in.reply);
		CU_ASSERT_PTR_NOT_NULL_FATAL(memory);
		CU_ASSERT_EQUAL(packed.rows_end_crlf, c->end_crlf);
		CU_ASSERT_EQUAL(packed.rows.len, strlen(c->packed));
		CU_ASSERT_EQUAL(memcmp(packed.rows.data, c->packed, packed.rows.len), 0);
		free(memory);
		out = round_trip(ctx, &in);
		same = out.reply.result.rows_bytes == strlen(c->rows) &&
		       memcmp(out.reply.result.rows ? out.reply.result.rows : "", c->rows,
			      strlen(c->rows)) == 0;
		if (!same)
			printf("\n%s\n", c->failure);
		CU_ASSERT_TRUE(same);
		wire_message_clear(&out);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against packing an order with a field that is out of range. */
static void test_bounds(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct sql_variable values[2];
	struct wire_message message = make_order(values);
	char long_name[SQL_NAME_BYTES + 1];
	size_t bytes;
	uint8_t *frame;

	memset(long_name, 'a', SQL_NAME_BYTES);
	long_name[SQL_NAME_BYTES] = '\0';
	message.order.shape = long_name;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	message = make_order(values);
	message.order.endpoint_id = NULL;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	message = make_order(values);
	message.order.variable_count = SQL_VARIABLES_MAX + 1;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	/* An account that is too long, or would end the STARTUP message to the endpoint. */
	message = make_order(values);
	message.order.account = long_name;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	message.order.account = "mill\r\nQUERY";
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_EINVAL);
	bc_ctx_destroy(ctx);
}

/* Guards against an order or a reply that a proxy takes for short enough and that is not sent. */
static void test_longest_messages(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct sql_variable values[2];
	struct wire_message message = make_order(values);
	static char text[SQL_ORDER_TEXT_MAX_BYTES + 1];
	size_t used = strlen(message.order.statement.id) + strlen(message.order.statement.name) +
		      strlen("zone") + strlen("east side") + strlen("empty");
	size_t bytes;
	uint8_t *frame;

	memset(text, 'x', SQL_ORDER_TEXT_MAX_BYTES);
	/* Text and arguments of EXECUTE take the limit together. */
	message.order.statement.value = text + (SQL_ORDER_TEXT_MAX_BYTES + used) / 2;
	message.order.statement.text = text + (SQL_ORDER_TEXT_MAX_BYTES + used + 1) / 2;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_OK);
	free(frame);
	memset(&message, 0, sizeof(message));
	message.kind = WIRE_REPLY;
	message.reply.result.rows = text;
	message.reply.result.rows_bytes = SQL_REPLY_ROWS_MAX_BYTES;
	CU_ASSERT_EQUAL(wire_pack(ctx, &message, &frame, &bytes), BC_OK);
	free(frame);
	bc_ctx_destroy(ctx);
}

/*
 * Load pattern of big_config: a document that grows to 70 KB. Guards against saturating the links
 * between regions with uncompressed documents, and against accepting corrupted content.
 */
static void test_load_of_a_large_document(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct wire_message in = {.kind = WIRE_PUSH, .version = 1};
	struct wire_message out = {0};
	size_t bytes = 0;
	uint8_t *frame = NULL;
	size_t used = 0;

	in.content = malloc(DOCUMENT_BYTES + 64);
	while (used < DOCUMENT_BYTES)
		used += (size_t)sprintf(in.content + used, "{\"name\":\"r-%zu\",\"timeout\":800}",
					used);
	CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &bytes), BC_OK);
	CU_ASSERT_TRUE(bytes < used / 4);
	CU_ASSERT_EQUAL_FATAL(wire_unpack(ctx, frame + PREFIX_BYTES, bytes - PREFIX_BYTES, &out),
			      BC_OK);
	CU_ASSERT_STRING_EQUAL(out.content, in.content);
	wire_message_clear(&out);
	frame[bytes / 2] ^= 0x55;
	CU_ASSERT_NOT_EQUAL(wire_unpack(ctx, frame + PREFIX_BYTES, bytes - PREFIX_BYTES, &out),
			    BC_OK);
	free(frame);
	free(in.content);
	bc_ctx_destroy(ctx);
}

/* Returns a reply with rows of random letters, like ids and most values. */
static struct wire_message make_rows_reply(char *rows, size_t rows_bytes)
{
	struct wire_message message = {.kind = WIRE_REPLY};
	size_t i;

	srand48(1);
	for (i = 0; i < rows_bytes; i++)
		rows[i] = (char)('a' + lrand48() % 26);
	message.reply = (struct sql_reply){.stream = 9,
					   .result = {.code = SQL_OK,
						      .signature = "7.1f3",
						      .rows = rows,
						      .rows_bytes = rows_bytes}};
	return message;
}

/*
 * Load pattern: rows between regions, where the links have 30 to 60 Mbit/s for all traffic. Guards
 * against replies that saturate such a link, and against rows that are changed in transit.
 */
static void test_load_of_rows_between_regions(void)
{
	static const struct {
		size_t rows_bytes;
		bool shorter;
	} cases[] = {{0, false}, {40, false}, {1000, true}, {6000, true}, {200000, true}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *rows = malloc(cases[i].rows_bytes + 1);
		struct wire_message in = make_rows_reply(rows, cases[i].rows_bytes);
		struct wire_message out = {0};
		size_t plain_bytes = 0;
		size_t compressed_bytes = 0;
		uint8_t *frame = NULL;

		CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &plain_bytes), BC_OK);
		free(frame);
		in.compress = true;
		CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &compressed_bytes), BC_OK);
		CU_ASSERT_TRUE(compressed_bytes <= plain_bytes);
		if (cases[i].shorter)
			CU_ASSERT_TRUE(compressed_bytes * 10 < plain_bytes * 8);
		CU_ASSERT_EQUAL_FATAL(wire_unpack(ctx, frame + PREFIX_BYTES,
						  compressed_bytes - PREFIX_BYTES, &out),
				      BC_OK);
		CU_ASSERT_EQUAL(out.reply.result.rows_bytes, cases[i].rows_bytes);
		if (cases[i].rows_bytes)
			CU_ASSERT_EQUAL(memcmp(out.reply.result.rows, rows, cases[i].rows_bytes),
					0);
		wire_message_clear(&out);
		free(frame);
		free(rows);
	}
	bc_ctx_destroy(ctx);
}

/* Packs an envelope that contains another, compressed one. */
static size_t pack_deflated(uint32_t stated_bytes, const uint8_t *content, size_t content_bytes,
			    uint8_t *out)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Deflated deflated = WIRE__DEFLATED__INIT;

	deflated.bytes = stated_bytes;
	deflated.content = (ProtobufCBinaryData){content_bytes, (uint8_t *)content};
	envelope.body_case = WIRE__ENVELOPE__BODY_DEFLATED;
	envelope.deflated = &deflated;
	return wire__envelope__pack(&envelope, out);
}

/* Guards against a peer that makes this proxy inflate more than it declares, or without limit. */
static void test_deflated_bounds(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	char rows[3000];
	struct wire_message in = make_rows_reply(rows, sizeof(rows));
	struct wire_message out = {0};
	Wire__Envelope *envelope;
	Wire__Envelope outer;
	Wire__Deflated deflated;
	uint8_t packed[8192];
	uint8_t *content;
	size_t bytes = 0;
	uint8_t *frame = NULL;
	uint32_t stated;
	size_t length;
	size_t i;

	in.compress = true;
	CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &bytes), BC_OK);
	envelope = wire_envelope_unpack(frame + PREFIX_BYTES, bytes - PREFIX_BYTES);
	CU_ASSERT_PTR_NOT_NULL_FATAL(envelope);
	/* clang-tidy does not know that a fatal assertion ends the test. */
	if (!envelope)
		return;
	CU_ASSERT_EQUAL_FATAL(envelope->body_case, WIRE__ENVELOPE__BODY_DEFLATED);
	stated = envelope->deflated->bytes;
	{
		const struct {
			uint32_t bytes;
			size_t cut;
		} cases[] = {{0, 0},	      {stated - 1, 0}, {stated + 1, 0},
			     {UINT32_MAX, 0}, {stated, 1},     {stated, 1000}};

		for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
			length = pack_deflated(cases[i].bytes, envelope->deflated->content.data,
					       envelope->deflated->content.len - cases[i].cut,
					       packed);
			CU_ASSERT_EQUAL(wire_unpack(ctx, packed, length, &out), BC_EINVAL);
		}
	}
	/* A nested deflated envelope. */
	content = wire_envelope_deflate(envelope, &outer, &deflated);
	if (content) {
		length = wire__envelope__pack(&outer, packed);
		CU_ASSERT_EQUAL(wire_unpack(ctx, packed, length, &out), BC_EINVAL);
	}
	free(content);
	wire_envelope_free(envelope);
	free(frame);
	bc_ctx_destroy(ctx);
}

/* Guards against crashes and leaks on malformed messages. */
static void fuzz(bool compress)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct sql_variable values[2];
	char rows[600];
	struct wire_message message =
		compress ? make_rows_reply(rows, sizeof(rows)) : make_order(values);
	size_t bytes = 0;
	uint8_t *frame = NULL;
	uint8_t *corrupted;
	uint32_t i;

	if (!compress)
		message.order.account = "mill";
	message.compress = compress;
	srand48(1);
	CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &message, &frame, &bytes), BC_OK);
	corrupted = malloc(bytes);
	for (i = 0; i < FUZZ_RUNS; i++) {
		struct wire_message out = {0};
		int changes = 1 + (int)(lrand48() % 4);

		memcpy(corrupted, frame, bytes);
		while (changes--)
			corrupted[PREFIX_BYTES + (size_t)lrand48() % (bytes - PREFIX_BYTES)] =
				(uint8_t)lrand48();
		if (wire_unpack(ctx, corrupted + PREFIX_BYTES,
				(size_t)lrand48() % (bytes - PREFIX_BYTES + 1), &out) == BC_OK)
			wire_message_clear(&out);
	}
	free(corrupted);
	free(frame);
	bc_ctx_destroy(ctx);
}

static void test_fuzz(void)
{
	fuzz(false);
	fuzz(true);
}

int main(void)
{
	CU_TestInfo tests[] = {{"order", test_order},
			       {"order_account", test_order_account},
			       {"reply", test_reply},
			       {"rows", test_rows},
			       {"bounds", test_bounds},
			       {"longest_messages", test_longest_messages},
			       {"load_of_a_large_document", test_load_of_a_large_document},
			       {"load_of_rows_between_regions", test_load_of_rows_between_regions},
			       {"deflated_bounds", test_deflated_bounds},
			       {"fuzz", test_fuzz},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"wire_relay", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
