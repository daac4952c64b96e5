#include "wire/wire_internal.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/*
 * Frames for peers in other failure domains are deflated: their links are narrow and their bytes
 * have a price. Random letters, as ids and many values are, shrink by a third.
 */

/* Below this the code tables take what is gained. */
#define ENVELOPE_MIN_BYTES 200U
/*
 * A window of 1 KiB holds most messages, and the state of about 20 KiB stays below what malloc()
 * takes from the system on each call. Negative: without zlib's header and checksum.
 */
#define WINDOW_BITS (-10)
#define MEMORY_LEVEL 5

static bool deflate_bytes(const uint8_t *in, size_t in_bytes, uint8_t *out, size_t *out_bytes)
{
	z_stream stream = {0};
	int result;

	if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, WINDOW_BITS, MEMORY_LEVEL,
			 Z_DEFAULT_STRATEGY) != Z_OK)
		return false;
	stream.next_in = (Bytef *)in;
	stream.avail_in = (uInt)in_bytes;
	stream.next_out = out;
	stream.avail_out = (uInt)*out_bytes;
	result = deflate(&stream, Z_FINISH);
	*out_bytes = stream.total_out;
	deflateEnd(&stream);
	return result == Z_STREAM_END;
}

static bool inflate_bytes(const uint8_t *in, size_t in_bytes, uint8_t *out, size_t out_bytes)
{
	z_stream stream = {0};
	int result;

	if (inflateInit2(&stream, WINDOW_BITS) != Z_OK)
		return false;
	stream.next_in = (Bytef *)in;
	stream.avail_in = (uInt)in_bytes;
	stream.next_out = out;
	stream.avail_out = (uInt)out_bytes;
	result = inflate(&stream, Z_FINISH);
	inflateEnd(&stream);
	return result == Z_STREAM_END && stream.total_out == out_bytes && stream.avail_in == 0;
}

/*
 * Puts an envelope into `*outer` in its deflated form, which refers to `deflated` and a malloc'ed
 * buffer. NULL if that would not be shorter, or when out of memory; the envelope is then sent as
 * it is.
 */
uint8_t *wire_envelope_deflate(const Wire__Envelope *envelope, Wire__Envelope *outer,
			       Wire__Deflated *deflated)
{
	size_t length = wire__envelope__get_packed_size(envelope);
	size_t content_bytes = length;
	uint8_t *packed;
	uint8_t *content;

	if (length < ENVELOPE_MIN_BYTES || length > WIRE_FRAME_MAX_BYTES)
		return NULL;
	packed = malloc(length);
	content = malloc(length);
	if (packed)
		wire__envelope__pack(envelope, packed);
	if (!packed || !content || !deflate_bytes(packed, length, content, &content_bytes)) {
		free(packed);
		free(content);
		return NULL;
	}
	free(packed);
	wire__deflated__init(deflated);
	deflated->bytes = (uint32_t)length;
	deflated->content = (ProtobufCBinaryData){content_bytes, content};
	wire__envelope__init(outer);
	outer->body_case = WIRE__ENVELOPE__BODY_DEFLATED;
	outer->deflated = deflated;
	return content;
}

/*
 * Unpacks the envelope in a deflated one. The stated length bounds the memory: what inflates to
 * more or less is malformed, as is a deflated envelope in another one. NULL if it is malformed.
 */
Wire__Envelope *wire_envelope_inflate(const Wire__Deflated *deflated)
{
	Wire__Envelope *envelope = NULL;
	uint8_t *packed;

	if (deflated->bytes == 0 || deflated->bytes > WIRE_FRAME_MAX_BYTES)
		return NULL;
	packed = malloc(deflated->bytes);
	if (packed &&
	    inflate_bytes(deflated->content.data, deflated->content.len, packed, deflated->bytes))
		envelope = wire_envelope_unpack(packed, deflated->bytes);
	free(packed);
	if (envelope && envelope->body_case == WIRE__ENVELOPE__BODY_DEFLATED) {
		wire_envelope_free(envelope);
		return NULL;
	}
	return envelope;
}
