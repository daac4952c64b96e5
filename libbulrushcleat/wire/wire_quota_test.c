#include "wire/wire_internal.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define COUNT 3U
#define FUZZ_ROUNDS 20000

static struct wire_message make_message(bool is_answer, struct qta_item items[COUNT])
{
	struct wire_message message = {.kind = WIRE_QUOTA};
	uint32_t i;

	message.quota = (struct qta_message){.is_answer = is_answer,
					     .shard = 7,
					     .sent_us = 1234567,
					     .epoch = 99,
					     .incarnation = is_answer ? 0 : 5,
					     .answered_us = 7654321,
					     .is_counter = is_answer,
					     .revision = is_answer ? 101 : 0,
					     .claim_left_ms = is_answer ? 8000 : 0,
					     .count = COUNT,
					     .items = items};
	if (is_answer)
		snprintf(message.quota.counter, sizeof(message.quota.counter), "p-9");
	memset(items, 0, COUNT * sizeof(*items));
	for (i = 0; i < COUNT; i++) {
		snprintf(items[i].account, sizeof(items[i].account), "mill-%u", i);
		items[i].wanted = 10 + i;
		items[i].urgent = i;
		items[i].held = 3;
		items[i].used = 1ULL << 40;
		items[i].carries = i == 1;
		items[i].granted = 8 + i;
		items[i].retry_after_ms = 250;
		items[i].carry_milli = 1500;
	}
	return message;
}

static void check_item(const struct qta_item *out, const struct qta_item *in)
{
	CU_ASSERT_STRING_EQUAL(out->account, in->account);
	CU_ASSERT_EQUAL(out->wanted, in->wanted);
	CU_ASSERT_EQUAL(out->urgent, in->urgent);
	CU_ASSERT_EQUAL(out->held, in->held);
	CU_ASSERT_EQUAL(out->used, in->used);
	CU_ASSERT_EQUAL(out->carries, in->carries);
	CU_ASSERT_EQUAL(out->granted, in->granted);
	CU_ASSERT_EQUAL(out->retry_after_ms, in->retry_after_ms);
	CU_ASSERT_EQUAL(out->carry_milli, in->carry_milli);
}

static void check_message(const struct qta_message *out, const struct qta_message *in)
{
	uint32_t i;

	CU_ASSERT_EQUAL(out->is_answer, in->is_answer);
	CU_ASSERT_EQUAL(out->shard, in->shard);
	CU_ASSERT_EQUAL(out->sent_us, in->sent_us);
	CU_ASSERT_EQUAL(out->epoch, in->epoch);
	CU_ASSERT_EQUAL(out->incarnation, in->incarnation);
	CU_ASSERT_EQUAL(out->answered_us, in->answered_us);
	CU_ASSERT_EQUAL(out->is_counter, in->is_counter);
	CU_ASSERT_STRING_EQUAL(out->counter, in->counter);
	CU_ASSERT_EQUAL(out->revision, in->revision);
	CU_ASSERT_EQUAL(out->claim_left_ms, in->claim_left_ms);
	CU_ASSERT_EQUAL_FATAL(out->count, in->count);
	for (i = 0; i < in->count; i++)
		check_item(&out->items[i], &in->items[i]);
}

/* Guards against fields that are lost or mixed up. */
static void test_round_trip(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct qta_item items[COUNT];
	int is_answer;

	for (is_answer = 0; is_answer < 2; is_answer++) {
		struct wire_message in = make_message(is_answer, items);
		struct wire_message out = {0};
		uint8_t *frame = NULL;
		size_t bytes = 0;

		CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &bytes), BC_OK);
		CU_ASSERT_EQUAL_FATAL(wire_unpack(ctx, frame + WIRE_PREFIX_BYTES,
						  bytes - WIRE_PREFIX_BYTES, &out),
				      BC_OK);
		CU_ASSERT_EQUAL(out.kind, WIRE_QUOTA);
		check_message(&out.quota, &in.quota);
		free(frame);
		wire_message_clear(&out);
	}
	bc_ctx_destroy(ctx);
}

static void bad_shard(struct qta_message *m)
{
	m->shard = QTA_SHARDS;
}

static void bad_claim(struct qta_message *m)
{
	m->claim_left_ms = QTA_CLAIM_US / BC_US_PER_MS + 1;
}

static void bad_counter(struct qta_message *m)
{
	m->counter[0] = '/';
}

static void no_counter(struct qta_message *m)
{
	m->counter[0] = '\0';
}

static void too_many(struct qta_message *m)
{
	m->count = QTA_ITEMS_MAX + 1;
}

static void no_account(struct qta_message *m)
{
	m->items[1].account[0] = '\0';
}

static void bad_account(struct qta_message *m)
{
	m->items[1].account[0] = '\n';
}

static void long_account(struct qta_message *m)
{
	memset(m->items[1].account, 'a', BC_ID_BYTES);
}

/* Guards against a peer's message with a field out of range, and against sending one. */
static void test_bounds(void)
{
	static void (*const cases[])(struct qta_message *) = {bad_shard,   bad_claim,	bad_counter,
							      no_counter,  too_many,	no_account,
							      bad_account, long_account};
	struct bc_ctx *ctx = bc_ctx_create(1);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct qta_item *items = calloc(QTA_ITEMS_MAX + 1, sizeof(*items));
		struct wire_message in = make_message(true, items);
		struct wire_message out = {0};
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		uint64_t versions[WIRE_DOCUMENT_COUNT] = {0};
		struct wire_quota quota = {0};
		uint8_t *frame = NULL;
		uint8_t *packed;
		size_t bytes = 0;
		uint32_t k;

		for (k = COUNT; k <= QTA_ITEMS_MAX; k++)
			items[k] = items[0];
		cases[i](&in.quota);
		CU_ASSERT_EQUAL(wire_pack(ctx, &in, &frame, &bytes), BC_EINVAL);
		/* The encoder does not check, so that the decoder sees the field. */
		if (!memchr(items[1].account, 0, BC_ID_BYTES)) {
			free(items);
			continue;
		}
		CU_ASSERT_TRUE_FATAL(wire_quota_pack(&envelope, &quota, &in.quota));
		envelope.n_versions = WIRE_DOCUMENT_COUNT;
		envelope.versions = versions;
		bytes = wire__envelope__get_packed_size(&envelope);
		packed = malloc(bytes);
		wire__envelope__pack(&envelope, packed);
		CU_ASSERT_EQUAL(wire_unpack(ctx, packed, bytes, &out), BC_EINVAL);
		CU_ASSERT_PTR_NULL(out.quota.items);
		free(packed);
		wire_quota_free(&quota);
		free(items);
	}
	bc_ctx_destroy(ctx);
}

/* Guards against crashes and leaks on malformed messages. */
static void test_fuzz(void)
{
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct qta_item items[COUNT];
	int is_answer;
	int round;

	srand48(1);
	for (is_answer = 0; is_answer < 2; is_answer++) {
		struct wire_message in = make_message(is_answer, items);
		uint8_t *frame = NULL;
		uint8_t *corrupted;
		size_t bytes = 0;

		CU_ASSERT_EQUAL_FATAL(wire_pack(ctx, &in, &frame, &bytes), BC_OK);
		bytes -= WIRE_PREFIX_BYTES;
		corrupted = malloc(bytes);
		for (round = 0; round < FUZZ_ROUNDS; round++) {
			struct wire_message out = {0};
			size_t length = (size_t)lrand48() % 4 ? bytes : (size_t)lrand48() % bytes;
			int flips = (int)(lrand48() % 4);

			memcpy(corrupted, frame + WIRE_PREFIX_BYTES, bytes);
			for (; flips > 0; flips--)
				corrupted[(size_t)lrand48() % bytes] = (uint8_t)lrand48();
			if (wire_unpack(ctx, corrupted, length, &out) == BC_OK) {
				if (out.kind == WIRE_QUOTA)
					CU_ASSERT(!wire_quota_invalid_field(&out.quota));
				wire_message_clear(&out);
			}
		}
		free(corrupted);
		free(frame);
	}
	bc_ctx_destroy(ctx);
}

int main(void)
{
	CU_TestInfo tests[] = {{"round_trip", test_round_trip},
			       {"bounds", test_bounds},
			       {"fuzz", test_fuzz},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{.pName = "wire_quota", .pTests = tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
