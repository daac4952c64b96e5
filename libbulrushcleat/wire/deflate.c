#include "wire/wire_internal.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/*
 * Compression of frames for peers in other failure domains, where bandwidth is low and traffic is
 * billed. Even random letters, as in ids and many values, shrink by a third.
 */

/* Shorter envelopes are sent uncompressed: deflate's Huffman tables would outweigh the saving. */
#define ENVELOPE_DEFLATE_MIN_BYTES 200U
/*
 * A window of 1 KiB covers most messages, and the compressor's state of about 20 KiB stays below
 * the size at which malloc() requests memory from the system on each call. A negative value selects
 * raw deflate, without zlib's header and checksum.
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
 * Compresses an envelope and wraps it in `*outer`, which refers to `deflated` and to the returned
 * malloc'ed buffer. Returns NULL if the result would not be shorter, or when out of memory; the
 * envelope is then sent uncompressed.
 */
uint8_t *wire_envelope_deflate(const Wire__Envelope *envelope, Wire__Envelope *outer,
			       Wire__Deflated *deflated)
{
	size_t length = wire__envelope__get_packed_size(envelope);
	size_t content_bytes = length;
	uint8_t *packed;
	uint8_t *content;

	if (length < ENVELOPE_DEFLATE_MIN_BYTES || length > WIRE_FRAME_MAX_BYTES)
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
 * Decompresses and unpacks an envelope. The declared length bounds the memory: content that
 * inflates to more or less is malformed, and so is a nested deflated envelope. Returns NULL if it
 * is malformed.
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
