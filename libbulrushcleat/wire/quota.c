#include "wire/wire_internal.h"

#include <stdlib.h>
#include <string.h>

static ProtobufCBinaryData text_field(const char *text)
{
	return (ProtobufCBinaryData){strlen(text), (uint8_t *)text};
}

static void item_pack(Wire__QuotaItem *out, const struct qta_item *item)
{
	wire__quota_item__init(out);
	out->account = text_field(item->account);
	out->wanted = item->wanted;
	out->urgent = item->urgent;
	out->held = item->held;
	out->used = item->used;
	out->carries = item->carries;
	out->granted = item->granted;
	out->retry_after_ms = item->retry_after_ms;
	out->carry_milli = item->carry_milli;
}

static void request_pack(struct wire_quota *out, const struct qta_message *message)
{
	wire__quota_request__init(&out->request);
	out->request.shard = message->shard;
	out->request.sent_us = message->sent_us;
	out->request.epoch = message->epoch;
	out->request.incarnation = message->incarnation;
	out->request.answered_us = message->answered_us;
	out->request.n_items = message->count;
	out->request.items = out->list;
}

static void grant_pack(struct wire_quota *out, const struct qta_message *message)
{
	wire__quota_grant__init(&out->grant);
	out->grant.shard = message->shard;
	out->grant.sent_us = message->sent_us;
	out->grant.epoch = message->epoch;
	out->grant.answered_us = message->answered_us;
	out->grant.is_counter = message->is_counter;
	out->grant.counter = text_field(message->counter);
	out->grant.revision = message->revision;
	out->grant.claim_left_ms = message->claim_left_ms;
	out->grant.n_items = message->count;
	out->grant.items = out->list;
}

/*
 * Fills the body of an envelope with a request or an answer; `out` is to be freed by
 * wire_quota_free() after the envelope is packed. Returns false when out of memory.
 */
bool wire_quota_pack(Wire__Envelope *envelope, struct wire_quota *out,
		     const struct qta_message *message)
{
	uint32_t i;

	out->items = calloc(message->count + 1, sizeof(*out->items));
	out->list = calloc(message->count + 1, sizeof(*out->list));
	if (!out->items || !out->list) {
		wire_quota_free(out);
		return false;
	}
	for (i = 0; i < message->count; i++) {
		item_pack(&out->items[i], &message->items[i]);
		out->list[i] = &out->items[i];
	}
	if (message->is_answer) {
		grant_pack(out, message);
		envelope->body_case = WIRE__ENVELOPE__BODY_QUOTA_GRANT;
		envelope->quota_grant = &out->grant;
	} else {
		request_pack(out, message);
		envelope->body_case = WIRE__ENVELOPE__BODY_QUOTA_REQUEST;
		envelope->quota_request = &out->request;
	}
	return true;
}

/* Frees what wire_quota_pack() has allocated. */
void wire_quota_free(struct wire_quota *out)
{
	free(out->items);
	free(out->list);
	out->items = NULL;
	out->list = NULL;
}

static const char *items_unpack(size_t count, Wire__QuotaItem *const *in, struct qta_message *out)
{
	size_t i;

	if (count > QTA_ITEMS_MAX)
		return "number of accounts in a quota message";
	out->items = calloc(count + 1, sizeof(*out->items));
	if (!out->items)
		return "quota message: out of memory";
	for (i = 0; i < count; i++) {
		struct qta_item *item = &out->items[i];

		if (!wire_text_copy(item->account, sizeof(item->account), in[i]->account))
			return "account in a quota message";
		item->wanted = in[i]->wanted;
		item->urgent = in[i]->urgent;
		item->held = in[i]->held;
		item->used = in[i]->used;
		item->carries = in[i]->carries;
		item->granted = in[i]->granted;
		item->retry_after_ms = in[i]->retry_after_ms;
		item->carry_milli = in[i]->carry_milli;
	}
	out->count = (uint32_t)count;
	return NULL;
}

/* Unpacks a request; returns the field that is out of range, or NULL. */
const char *wire_request_unpack(const Wire__QuotaRequest *in, struct qta_message *out)
{
	out->shard = in->shard;
	out->sent_us = in->sent_us;
	out->epoch = in->epoch;
	out->incarnation = in->incarnation;
	out->answered_us = in->answered_us;
	return items_unpack(in->n_items, in->items, out);
}

/* Unpacks an answer; returns the field that is out of range, or NULL. */
const char *wire_grant_unpack(const Wire__QuotaGrant *in, struct qta_message *out)
{
	out->is_answer = true;
	out->shard = in->shard;
	out->sent_us = in->sent_us;
	out->epoch = in->epoch;
	out->answered_us = in->answered_us;
	out->is_counter = in->is_counter;
	out->revision = in->revision;
	out->claim_left_ms = in->claim_left_ms;
	if (!wire_text_copy(out->counter, sizeof(out->counter), in->counter))
		return "counter in a quota message";
	return items_unpack(in->n_items, in->items, out);
}

static bool is_id(const char *text)
{
	return memchr(text, 0, BC_ID_BYTES) && bc_id_valid(text);
}

/* Returns the field of a message that is out of range, or NULL. */
const char *wire_quota_invalid_field(const struct qta_message *message)
{
	uint32_t i;

	if (message->shard >= QTA_SHARDS)
		return "shard of a quota message";
	if (message->claim_left_ms > QTA_CLAIM_US / BC_US_PER_MS)
		return "claim in a quota message";
	if (message->counter[0] ? !is_id(message->counter) : message->is_counter)
		return "counter in a quota message";
	if (message->count > QTA_ITEMS_MAX)
		return "number of accounts in a quota message";
	for (i = 0; i < message->count; i++)
		if (!memchr(message->items[i].account, 0, BC_ID_BYTES) ||
		    !acc_name_valid(message->items[i].account))
			return "account in a quota message";
	return NULL;
}
