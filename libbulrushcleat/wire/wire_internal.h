#ifndef BC_WIRE_INTERNAL_H
#define BC_WIRE_INTERNAL_H

/* Shared by the message encoding (wire.c, relay.c, deflate.c) and the handshake (link.c). */

#include "wire/wire.h"
#include "wire/wire.pb-c.h"

#define WIRE_PREFIX_BYTES 4U

enum bc_status wire_frame_envelope(struct bc_ctx *ctx, const Wire__Envelope *envelope,
				   uint8_t **frame, size_t *frame_bytes);
Wire__Envelope *wire_envelope_unpack(const uint8_t *data, size_t bytes);
void wire_envelope_free(Wire__Envelope *envelope);
bool wire_text_copy(char *out, size_t out_bytes, ProtobufCBinaryData in);
uint32_t wire_frame_length(const uint8_t *prefix);

/* deflate.c */
uint8_t *wire_envelope_deflate(const Wire__Envelope *envelope, Wire__Envelope *outer,
			       Wire__Deflated *deflated);
Wire__Envelope *wire_envelope_inflate(const Wire__Deflated *deflated);

/* relay.c: orders and replies */
void wire_order_pack(Wire__Order *out, Wire__Value *values, Wire__Value **list,
		     const struct sql_order *order);
char *wire_reply_pack(Wire__Reply *out, const struct sql_reply *reply);
const char *wire_order_unpack(const Wire__Order *in, struct wire_message *out);
const char *wire_reply_unpack(const Wire__Reply *in, struct wire_message *out);
const char *wire_order_invalid_field(const struct sql_order *order);
const char *wire_reply_invalid_field(const struct sql_reply *reply);

/* quota.c: requests for tokens and their answers */
struct wire_quota {
	Wire__QuotaRequest request;
	Wire__QuotaGrant grant;
	Wire__QuotaItem *items;
	Wire__QuotaItem **list;
};
bool wire_quota_pack(Wire__Envelope *envelope, struct wire_quota *out,
		     const struct qta_message *message);
void wire_quota_free(struct wire_quota *out);
const char *wire_request_unpack(const Wire__QuotaRequest *in, struct qta_message *out);
const char *wire_grant_unpack(const Wire__QuotaGrant *in, struct qta_message *out);
const char *wire_quota_invalid_field(const struct qta_message *message);

#endif
