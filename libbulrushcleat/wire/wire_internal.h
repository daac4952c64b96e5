#ifndef BC_WIRE_INTERNAL_H
#define BC_WIRE_INTERNAL_H

/* Shared by the messages (wire.c) and the link (link.c). */

#include "wire/wire.h"
#include "wire/wire.pb-c.h"

#define WIRE_PREFIX_BYTES 4U

enum bc_status wire_frame_envelope(struct bc_ctx *ctx, const Wire__Envelope *envelope,
				   uint8_t **frame, size_t *frame_bytes);
Wire__Envelope *wire_envelope_unpack(const uint8_t *data, size_t bytes);
void wire_envelope_free(Wire__Envelope *envelope);
bool wire_text_copy(char *out, size_t out_bytes, ProtobufCBinaryData in);
uint32_t wire_frame_length(const uint8_t *prefix);

#endif
