#include "wire/wire_internal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define NONCE_BYTES 32U
#define MAC_BYTES 32U
/* Bounds the input buffer of an unauthenticated peer; a Hello or Proof takes under 120 bytes. */
#define HANDSHAKE_FRAME_MAX_BYTES 512U
/* A larger input buffer is freed when it is empty, because there are many idle links. */
#define RETAINED_BUFFER_MAX_BYTES (16U * 1024U)

enum link_state { LINK_AWAIT_HELLO, LINK_AWAIT_PROOF, LINK_READY, LINK_FAILED };

struct wire_link {
	struct bc_ctx *ctx;
	const struct wire_link_ops *ops;
	void *data;
	enum link_state state;
	enum bc_status failure;
	bool initiator;
	bool started;
	char own_id[BC_ID_BYTES];
	char peer_id[BC_ID_BYTES];
	uint8_t own_nonce[NONCE_BYTES];
	uint8_t peer_nonce[NONCE_BYTES];
	uint8_t *key;
	size_t key_bytes;
	uint8_t *buffer;
	size_t buffered_bytes;
	size_t buffer_capacity;
};

/*
 * Creates a link; the key is copied. Returns NULL with the last message set if the id is invalid,
 * the key is empty, or memory or random bytes are not available.
 */
struct wire_link *wire_link_create(struct bc_ctx *ctx, const char *own_id, const void *fleet_key,
				   size_t key_bytes, bool initiator,
				   const struct wire_link_ops *ops, void *data)
{
	struct wire_link *link;

	if (!bc_id_valid(own_id) || key_bytes == 0) {
		bc_fail(ctx, BC_EINVAL, "a link needs a valid id and a fleet key");
		return NULL;
	}
	link = calloc(1, sizeof(*link));
	if (!link)
		return NULL;
	link->ctx = ctx;
	link->ops = ops;
	link->data = data;
	link->initiator = initiator;
	memcpy(link->own_id, own_id, strlen(own_id));
	link->key = malloc(key_bytes);
	if (!link->key || RAND_bytes(link->own_nonce, NONCE_BYTES) != 1) {
		bc_fail(ctx, BC_ENOMEM, "no memory or random bytes for a link");
		free(link->key);
		free(link);
		return NULL;
	}
	memcpy(link->key, fleet_key, key_bytes);
	link->key_bytes = key_bytes;
	return link;
}

/* Frees the link and wipes its key. NULL is allowed. Must not be called from the callbacks. */
void wire_link_destroy(struct wire_link *link)
{
	if (!link)
		return;
	OPENSSL_cleanse(link->key, link->key_bytes);
	free(link->key);
	free(link->buffer);
	free(link);
}

static enum bc_status send_envelope(struct wire_link *link, const Wire__Envelope *envelope)
{
	uint8_t *frame;
	size_t frame_bytes;
	enum bc_status status = wire_frame_envelope(link->ctx, envelope, &frame, &frame_bytes);

	if (status != BC_OK)
		return status;
	link->ops->output(link->data, frame, frame_bytes);
	free(frame);
	return BC_OK;
}

/* Sends the Hello. Further calls do nothing. */
void wire_link_start(struct wire_link *link)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Hello hello = WIRE__HELLO__INIT;

	if (link->started)
		return;
	link->started = true;
	hello.version = WIRE_VERSION;
	hello.id = (ProtobufCBinaryData){strlen(link->own_id), (uint8_t *)link->own_id};
	hello.nonce = (ProtobufCBinaryData){NONCE_BYTES, link->own_nonce};
	envelope.body_case = WIRE__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	send_envelope(link, &envelope);
}

static uint8_t *append_bytes(uint8_t *out, const void *bytes, size_t length)
{
	memcpy(out, bytes, length);
	return out + length;
}

/*
 * Computes the Proof of one side: the MAC over the prover's role, then the id and nonce of the
 * initiator, then those of the acceptor. The role prevents reflection of a Proof to its sender, the
 * nonces prevent replay on another connection, and the fixed lengths make the input unambiguous.
 * Returns false if OpenSSL fails.
 */
static bool proof_mac(const struct wire_link *link, bool by_initiator, uint8_t mac[MAC_BYTES])
{
	static const char label[] = "bulrushcleat peer proof 1";
	uint8_t input[sizeof(label) + 1 + 2 * (BC_ID_BYTES + NONCE_BYTES)];
	const char *ids[2] = {link->own_id, link->peer_id};
	const uint8_t *nonces[2] = {link->own_nonce, link->peer_nonce};
	size_t first = link->initiator ? 0 : 1;
	unsigned int length = MAC_BYTES;
	uint8_t role = by_initiator ? 'I' : 'A';
	uint8_t *end = append_bytes(input, label, sizeof(label));

	end = append_bytes(end, &role, 1);
	end = append_bytes(end, ids[first], BC_ID_BYTES);
	end = append_bytes(end, nonces[first], NONCE_BYTES);
	end = append_bytes(end, ids[1 - first], BC_ID_BYTES);
	end = append_bytes(end, nonces[1 - first], NONCE_BYTES);
	return HMAC(EVP_sha256(), link->key, (int)link->key_bytes, input, (size_t)(end - input),
		    mac, &length) != NULL;
}

static enum bc_status send_proof(struct wire_link *link)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Proof proof = WIRE__PROOF__INIT;
	uint8_t mac[MAC_BYTES];

	if (!proof_mac(link, link->initiator, mac))
		return bc_fail(link->ctx, BC_EAUTH, "cannot compute the MAC of the proof");
	proof.mac = (ProtobufCBinaryData){MAC_BYTES, mac};
	envelope.body_case = WIRE__ENVELOPE__BODY_PROOF;
	envelope.proof = &proof;
	return send_envelope(link, &envelope);
}

static enum bc_status on_hello(struct wire_link *link, const Wire__Hello *hello)
{
	/* The version is checked first, because another version may have other limits. */
	if (hello->version != WIRE_VERSION)
		return bc_fail(link->ctx, BC_EVERSION, "peer has protocol version %u, not %u",
			       hello->version, WIRE_VERSION);
	if (!wire_text_copy(link->peer_id, sizeof(link->peer_id), hello->id) ||
	    !bc_id_valid(link->peer_id))
		return bc_fail(link->ctx, BC_EINVAL, "invalid id in the peer's hello");
	if (strcmp(link->peer_id, link->own_id) == 0)
		return bc_fail(link->ctx, BC_ECONFLICT, "peer has our own id %s", link->own_id);
	if (hello->nonce.len != NONCE_BYTES)
		return bc_fail(link->ctx, BC_EINVAL, "invalid nonce in the hello of peer %s",
			       link->peer_id);
	memcpy(link->peer_nonce, hello->nonce.data, NONCE_BYTES);
	wire_link_start(link);
	link->state = LINK_AWAIT_PROOF;
	return send_proof(link);
}

static enum bc_status on_proof(struct wire_link *link, const Wire__Proof *proof)
{
	uint8_t mac[MAC_BYTES];

	if (!proof_mac(link, !link->initiator, mac))
		return bc_fail(link->ctx, BC_EAUTH, "cannot compute the MAC of the proof");
	if (proof->mac.len != MAC_BYTES || CRYPTO_memcmp(proof->mac.data, mac, MAC_BYTES) != 0)
		return bc_fail(link->ctx, BC_EAUTH, "wrong proof of peer %s", link->peer_id);
	link->state = LINK_READY;
	link->ops->ready(link->data, link->peer_id);
	return BC_OK;
}

static enum bc_status on_handshake_envelope(struct wire_link *link, const Wire__Envelope *envelope)
{
	if (link->state == LINK_AWAIT_HELLO && envelope->body_case == WIRE__ENVELOPE__BODY_HELLO)
		return on_hello(link, envelope->hello);
	if (link->state == LINK_AWAIT_PROOF && envelope->body_case == WIRE__ENVELOPE__BODY_PROOF)
		return on_proof(link, envelope->proof);
	return bc_fail(link->ctx, BC_EAUTH, "message of kind %d before the peer is authenticated",
		       (int)envelope->body_case);
}

static enum bc_status on_frame(struct wire_link *link, const uint8_t *content, size_t bytes)
{
	struct wire_message message;
	Wire__Envelope *envelope;
	enum bc_status status;

	if (link->state == LINK_READY) {
		status = wire_unpack(link->ctx, content, bytes, &message);
		if (status != BC_OK)
			return status;
		link->ops->message(link->data, &message);
		wire_message_clear(&message);
		return BC_OK;
	}
	envelope = wire_envelope_unpack(content, bytes);
	if (!envelope)
		return bc_fail(link->ctx, BC_EINVAL, "malformed handshake message of %zu bytes",
			       bytes);
	status = on_handshake_envelope(link, envelope);
	wire_envelope_free(envelope);
	return status;
}

static enum bc_status buffer_append(struct wire_link *link, const uint8_t *bytes, size_t length)
{
	size_t needed = link->buffered_bytes + length;
	size_t size = link->buffer_capacity ? link->buffer_capacity : 512;
	uint8_t *buffer;

	while (size < needed)
		size *= 2;
	if (size != link->buffer_capacity) {
		buffer = realloc(link->buffer, size);
		if (!buffer)
			return bc_fail(link->ctx, BC_ENOMEM, "out of memory for a peer's frame");
		link->buffer = buffer;
		link->buffer_capacity = size;
	}
	if (length)
		memcpy(link->buffer + link->buffered_bytes, bytes, length);
	link->buffered_bytes = needed;
	return BC_OK;
}

/* The size of the buffer for input. */
size_t wire_link_buffer_bytes(const struct wire_link *link)
{
	return link->buffer_capacity;
}

static void buffer_consume(struct wire_link *link, size_t bytes)
{
	link->buffered_bytes -= bytes;
	if (link->buffered_bytes)
		memmove(link->buffer, link->buffer + bytes, link->buffered_bytes);
	if (link->buffered_bytes == 0 && link->buffer_capacity > RETAINED_BUFFER_MAX_BYTES) {
		free(link->buffer);
		link->buffer = NULL;
		link->buffer_capacity = 0;
	}
}

/* Processes the complete frames in the buffer; adds their length to *consumed_bytes. */
static enum bc_status process_frames(struct wire_link *link, size_t *consumed_bytes)
{
	enum bc_status status = BC_OK;

	while (status == BC_OK && link->buffered_bytes - *consumed_bytes >= WIRE_PREFIX_BYTES) {
		const uint8_t *frame = link->buffer + *consumed_bytes;
		uint32_t length = wire_frame_length(frame);
		uint32_t max_bytes = link->state == LINK_READY ? WIRE_FRAME_MAX_BYTES
							       : HANDSHAKE_FRAME_MAX_BYTES;

		if (length > max_bytes)
			return bc_fail(link->ctx, BC_EINVAL, "frame of %u bytes, at most %u %s",
				       length, max_bytes,
				       link->state == LINK_READY ? "allowed"
								 : "before authentication");
		if (link->buffered_bytes - *consumed_bytes - WIRE_PREFIX_BYTES < length)
			return BC_OK;
		status = on_frame(link, frame + WIRE_PREFIX_BYTES, length);
		*consumed_bytes += WIRE_PREFIX_BYTES + length;
	}
	return status;
}

/*
 * Processes bytes received from the peer, in chunks of any length. Any status but BC_OK is final:
 * the caller must close the connection, and further input fails with the same status. Returns
 * BC_EINVAL for a malformed or over-long frame, BC_EVERSION for another protocol version,
 * BC_ECONFLICT for a peer with our own id, BC_EAUTH for a wrong Proof or a message before it,
 * BC_ENOMEM when out of memory.
 */
enum bc_status wire_link_input(struct wire_link *link, const uint8_t *bytes, size_t length)
{
	enum bc_status status;
	size_t consumed_bytes = 0;

	if (link->state == LINK_FAILED)
		return bc_fail(link->ctx, link->failure, "input on a failed link");
	status = buffer_append(link, bytes, length);
	if (status == BC_OK)
		status = process_frames(link, &consumed_bytes);
	if (status != BC_OK) {
		link->state = LINK_FAILED;
		link->failure = status;
		return status;
	}
	buffer_consume(link, consumed_bytes);
	return BC_OK;
}

/* Sends a message. BC_EAGAIN before the link is ready, else the status of wire_pack(). */
enum bc_status wire_link_send(struct wire_link *link, const struct wire_message *message)
{
	uint8_t *frame;
	size_t frame_bytes;
	enum bc_status status;

	if (link->state != LINK_READY)
		return bc_fail(link->ctx, BC_EAGAIN, "the link is not ready");
	status = wire_pack(link->ctx, message, &frame, &frame_bytes);
	if (status != BC_OK)
		return status;
	link->ops->output(link->data, frame, frame_bytes);
	free(frame);
	return BC_OK;
}
