#include "wire/wire_internal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define NONCE_BYTES 32U
#define MAC_BYTES 32U
/* A hello or proof takes under 120 bytes; an unknown peer cannot make us buffer more than this. */
#define HELLO_FRAME_MAX_BYTES 512U
/* A larger input buffer is released when it is empty, since idle links are many. */
#define KEPT_BUFFER_BYTES (16U * 1024U)

enum link_state { LINK_HELLO, LINK_PROOF, LINK_READY, LINK_FAILED };

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
	size_t used_bytes;
	size_t buffer_bytes;
};

/*
 * Creates a link. `own_id` is a valid id, the key is copied. Returns NULL with the last message set
 * if the id or key is bad, or when out of memory or random bytes.
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

/* Frees the link and wipes its key. NULL is allowed. Must not be called from the link's ops. */
void wire_link_destroy(struct wire_link *link)
{
	if (!link)
		return;
	OPENSSL_cleanse(link->key, link->key_bytes);
	free(link->key);
	free(link->buffer);
	free(link);
}

static enum bc_status output_envelope(struct wire_link *link, const Wire__Envelope *envelope)
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

/* Sends the hello, once. */
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
	output_envelope(link, &envelope);
}

static uint8_t *put(uint8_t *out, const void *bytes, size_t length)
{
	memcpy(out, bytes, length);
	return out + length;
}

/*
 * The proof of one side: the MAC over the prover's role, then id and nonce of the initiator, then
 * of the acceptor. The role makes a proof sent back to its prover fail, the nonces one of another
 * connection, and the fixed lengths leave one reading of the input. False if OpenSSL fails.
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
	uint8_t *end = put(input, label, sizeof(label));

	end = put(end, &role, 1);
	end = put(end, ids[first], BC_ID_BYTES);
	end = put(end, nonces[first], NONCE_BYTES);
	end = put(end, ids[1 - first], BC_ID_BYTES);
	end = put(end, nonces[1 - first], NONCE_BYTES);
	return HMAC(EVP_sha256(), link->key, (int)link->key_bytes, input, (size_t)(end - input),
		    mac, &length) != NULL;
}

static enum bc_status send_proof(struct wire_link *link)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Proof proof = WIRE__PROOF__INIT;
	uint8_t mac[MAC_BYTES];

	if (!proof_mac(link, link->initiator, mac))
		return bc_fail(link->ctx, BC_EAUTH, "cannot compute the proof");
	proof.mac = (ProtobufCBinaryData){MAC_BYTES, mac};
	envelope.body_case = WIRE__ENVELOPE__BODY_PROOF;
	envelope.proof = &proof;
	return output_envelope(link, &envelope);
}

static enum bc_status on_hello(struct wire_link *link, const Wire__Hello *hello)
{
	/* The version is checked first: another version may have other bounds. */
	if (hello->version != WIRE_VERSION)
		return bc_fail(link->ctx, BC_EVERSION, "peer has protocol version %u, not %u",
			       hello->version, WIRE_VERSION);
	if (!wire_text_copy(link->peer_id, sizeof(link->peer_id), hello->id) ||
	    !bc_id_valid(link->peer_id))
		return bc_fail(link->ctx, BC_EINVAL, "bad id in the peer's hello");
	if (strcmp(link->peer_id, link->own_id) == 0)
		return bc_fail(link->ctx, BC_ECONFLICT, "peer has our own id %s", link->own_id);
	if (hello->nonce.len != NONCE_BYTES)
		return bc_fail(link->ctx, BC_EINVAL, "bad nonce in the hello of peer %s",
			       link->peer_id);
	memcpy(link->peer_nonce, hello->nonce.data, NONCE_BYTES);
	wire_link_start(link);
	link->state = LINK_PROOF;
	return send_proof(link);
}

static enum bc_status on_proof(struct wire_link *link, const Wire__Proof *proof)
{
	uint8_t mac[MAC_BYTES];

	if (!proof_mac(link, !link->initiator, mac))
		return bc_fail(link->ctx, BC_EAUTH, "cannot compute the proof");
	if (proof->mac.len != MAC_BYTES || CRYPTO_memcmp(proof->mac.data, mac, MAC_BYTES) != 0)
		return bc_fail(link->ctx, BC_EAUTH, "wrong proof of peer %s", link->peer_id);
	link->state = LINK_READY;
	link->ops->ready(link->data, link->peer_id);
	return BC_OK;
}

static enum bc_status on_hello_envelope(struct wire_link *link, const Wire__Envelope *envelope)
{
	if (link->state == LINK_HELLO && envelope->body_case == WIRE__ENVELOPE__BODY_HELLO)
		return on_hello(link, envelope->hello);
	if (link->state == LINK_PROOF && envelope->body_case == WIRE__ENVELOPE__BODY_PROOF)
		return on_proof(link, envelope->proof);
	return bc_fail(link->ctx, BC_EAUTH, "message of kind %d before the peer's proof",
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
		return bc_fail(link->ctx, BC_EINVAL, "malformed hello of %zu bytes", bytes);
	status = on_hello_envelope(link, envelope);
	wire_envelope_free(envelope);
	return status;
}

static enum bc_status buffer_append(struct wire_link *link, const uint8_t *bytes, size_t length)
{
	size_t needed = link->used_bytes + length;
	size_t size = link->buffer_bytes ? link->buffer_bytes : 512;
	uint8_t *buffer;

	while (size < needed)
		size *= 2;
	if (size != link->buffer_bytes) {
		buffer = realloc(link->buffer, size);
		if (!buffer)
			return bc_fail(link->ctx, BC_ENOMEM, "out of memory for a peer's frame");
		link->buffer = buffer;
		link->buffer_bytes = size;
	}
	if (length)
		memcpy(link->buffer + link->used_bytes, bytes, length);
	link->used_bytes = needed;
	return BC_OK;
}

static void buffer_consume(struct wire_link *link, size_t bytes)
{
	link->used_bytes -= bytes;
	if (link->used_bytes)
		memmove(link->buffer, link->buffer + bytes, link->used_bytes);
	if (link->used_bytes == 0 && link->buffer_bytes > KEPT_BUFFER_BYTES) {
		free(link->buffer);
		link->buffer = NULL;
		link->buffer_bytes = 0;
	}
}

/* Handles the complete frames in the buffer; sets *done to the bytes they took. */
static enum bc_status take_frames(struct wire_link *link, size_t *done)
{
	enum bc_status status = BC_OK;

	while (status == BC_OK && link->used_bytes - *done >= WIRE_PREFIX_BYTES) {
		const uint8_t *frame = link->buffer + *done;
		uint32_t length = wire_frame_length(frame);
		uint32_t bound =
			link->state == LINK_READY ? WIRE_FRAME_MAX_BYTES : HELLO_FRAME_MAX_BYTES;

		if (length > bound)
			return bc_fail(link->ctx, BC_EINVAL, "frame of %u bytes, at most %u %s",
				       length, bound,
				       link->state == LINK_READY ? "allowed" : "before the proof");
		if (link->used_bytes - *done - WIRE_PREFIX_BYTES < length)
			return BC_OK;
		status = on_frame(link, frame + WIRE_PREFIX_BYTES, length);
		*done += WIRE_PREFIX_BYTES + length;
	}
	return status;
}

/*
 * Takes bytes from the peer, in pieces of any length. Any status but BC_OK is final: the connection
 * is to be closed, further input is refused with the same status. BC_EINVAL for a malformed or
 * over-long frame, BC_EVERSION, BC_ECONFLICT for a peer with our own id, BC_EAUTH for a wrong proof
 * or a message before it, BC_ENOMEM.
 */
enum bc_status wire_link_input(struct wire_link *link, const uint8_t *bytes, size_t length)
{
	enum bc_status status;
	size_t done = 0;

	if (link->state == LINK_FAILED)
		return bc_fail(link->ctx, link->failure, "input on a failed link");
	status = buffer_append(link, bytes, length);
	if (status == BC_OK)
		status = take_frames(link, &done);
	if (status != BC_OK) {
		link->state = LINK_FAILED;
		link->failure = status;
		return status;
	}
	buffer_consume(link, done);
	return BC_OK;
}

/* Sends a message. BC_EAGAIN before the link is ready, BC_EINVAL as wire_pack(). */
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
