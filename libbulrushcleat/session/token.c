#include "session/session_internal.h"
#include "session/session.pb-c.h"

#include <stdio.h>
#include <string.h>

#include <openssl/evp.h>

#define TOKEN_VERSION 1

/* Longest token in bytes before the base64url encoding. */
#define RAW_MAX_BYTES ((SES_TOKEN_MAX_BYTES - 1) / 4 * 3)

static void replace_char(char *text, char from, char to)
{
	for (; *text; text++) {
		if (*text == from)
			*text = to;
	}
}

/*
 * Encodes the data as unpadded base64url with a NUL. `text` must have room for the padded form: 4
 * characters for each 3 bytes or part of them, and the NUL.
 */
void ses_base64_encode(const uint8_t *data, size_t data_bytes, char *text)
{
	EVP_EncodeBlock((unsigned char *)text, data, (int)data_bytes);
	text[SES_BASE64_CHARS(data_bytes)] = '\0';
	replace_char(text, '+', '-');
	replace_char(text, '/', '_');
}

/*
 * Decodes unpadded base64url of fewer than SES_TOKEN_MAX_BYTES characters; `data` must have room
 * for 3 bytes for each 4 characters or part of them. Returns the number of bytes, or 0 if the text
 * is malformed or is not the canonical encoding of those bytes: OpenSSL ignores surrounding white
 * space and unused bits, but a token must have a single valid form.
 */
size_t ses_base64_decode(const char *text, size_t text_chars, uint8_t *data)
{
	char padded[SES_TOKEN_MAX_BYTES + 4];
	char reencoded[SES_TOKEN_MAX_BYTES + 4];
	size_t chars = (text_chars + 3) / 4 * 4;
	size_t data_bytes = text_chars * 3 / 4;

	if (text_chars == 0 || text_chars >= SES_TOKEN_MAX_BYTES || text_chars % 4 == 1)
		return 0;
	memcpy(padded, text, text_chars);
	memset(padded + text_chars, '=', chars - text_chars);
	padded[chars] = '\0';
	replace_char(padded, '-', '+');
	replace_char(padded, '_', '/');
	if (EVP_DecodeBlock(data, (const unsigned char *)padded, (int)chars) !=
	    (int)(chars / 4 * 3))
		return 0;
	ses_base64_encode(data, data_bytes, reencoded);
	return strncmp(reencoded, text, text_chars) == 0 ? data_bytes : 0;
}

/*
 * Encodes and signs the session as a NUL-terminated token, base64url(message || HMAC-SHA256).
 * BC_EINVAL if there is no signing key, or the session has too many marks or does not fit.
 */
enum bc_status ses_token_issue(struct ses_keyring *ring, const struct ses_session *session,
			       char token[SES_TOKEN_MAX_BYTES])
{
	struct bc_ctx *ctx = ses_keyring_ctx(ring);
	const struct ses_key *key = ses_keyring_signing(ring);
	uint8_t raw[RAW_MAX_BYTES];
	Ses__Mark marks[SES_MARKS_MAX];
	Ses__Mark *mark_pointers[SES_MARKS_MAX];
	Ses__Token message = SES__TOKEN__INIT;
	size_t bytes;
	uint32_t i;

	if (!key)
		return bc_fail(ctx, BC_EINVAL, "the key ring has no signing key");
	if (session->mark_count > SES_MARKS_MAX)
		return bc_fail(ctx, BC_EINVAL, "a session has at most %d marks", SES_MARKS_MAX);
	for (i = 0; i < session->mark_count; i++) {
		ses__mark__init(&marks[i]);
		marks[i].database = (char *)session->marks[i].database;
		marks[i].term = session->marks[i].position.term;
		marks[i].pos = session->marks[i].position.pos;
		mark_pointers[i] = &marks[i];
	}
	message.version = TOKEN_VERSION;
	message.key_id = ses_key_id(key);
	message.customer = (char *)session->customer;
	message.session_id = session->id;
	message.n_marks = session->mark_count;
	message.marks = mark_pointers;
	bytes = ses__token__get_packed_size(&message);
	if (bytes + SES_MAC_BYTES > sizeof(raw))
		return bc_fail(ctx, BC_EINVAL, "the session does not fit into a token");
	ses__token__pack(&message, raw);
	if (!ses_mac(key, SES_PURPOSE_TOKEN, raw, bytes, raw + bytes))
		return bc_fail(ctx, BC_ENOMEM, "HMAC failed");
	ses_base64_encode(raw, bytes + SES_MAC_BYTES, token);
	return BC_OK;
}

/* Copies an authenticated message into the session; false if a field of it is not valid. */
static bool session_from_message(const Ses__Token *message, struct ses_session *session)
{
	size_t i;

	if (message->version != TOKEN_VERSION || !bc_id_valid(message->customer) ||
	    message->n_marks > SES_MARKS_MAX)
		return false;
	ses_session_init(session, message->customer, message->session_id);
	for (i = 0; i < message->n_marks; i++) {
		const Ses__Mark *mark = message->marks[i];

		if (!bc_id_valid(mark->database))
			return false;
		snprintf(session->marks[i].database, BC_ID_BYTES, "%s", mark->database);
		session->marks[i].position = (struct bc_position){mark->term, mark->pos};
	}
	session->mark_count = (uint32_t)message->n_marks;
	return true;
}

/*
 * Verifies a token of any customer and decodes it into `session`. BC_EAUTH if it is malformed,
 * truncated, forged or signed with an unknown key; the session is then cleared.
 */
enum bc_status ses_token_read(struct ses_keyring *ring, const char *token,
			      struct ses_session *session)
{
	struct bc_ctx *ctx = ses_keyring_ctx(ring);
	uint8_t raw[RAW_MAX_BYTES + 3];
	const struct ses_key *key;
	Ses__Token *message;
	size_t chars = token ? strnlen(token, SES_TOKEN_MAX_BYTES) : 0;
	size_t bytes = ses_base64_decode(token, chars, raw);
	bool valid;

	memset(session, 0, sizeof(*session));
	if (bytes <= SES_MAC_BYTES)
		return bc_fail(ctx, BC_EAUTH, "malformed session token");
	bytes -= SES_MAC_BYTES;
	message = ses__token__unpack(NULL, bytes, raw);
	if (!message)
		return bc_fail(ctx, BC_EAUTH, "malformed session token");
	key = ses_keyring_find(ring, message->key_id);
	valid = key && ses_mac_valid(key, SES_PURPOSE_TOKEN, raw, bytes, raw + bytes) &&
		session_from_message(message, session);
	ses__token__free_unpacked(message, NULL);
	if (valid)
		return BC_OK;
	memset(session, 0, sizeof(*session));
	return bc_fail(ctx, BC_EAUTH, "unknown key or forged session token");
}

/*
 * Like ses_token_read(), but BC_EAUTH also if the token belongs to a customer other than
 * `customer`; the session is then cleared.
 */
enum bc_status ses_token_verify(struct ses_keyring *ring, const char *token, const char *customer,
				struct ses_session *session)
{
	enum bc_status status = ses_token_read(ring, token, session);

	if (status != BC_OK || strcmp(session->customer, customer) == 0)
		return status;
	memset(session, 0, sizeof(*session));
	return bc_fail(ses_keyring_ctx(ring), BC_EAUTH,
		       "the session token belongs to another customer");
}
