#include "session/session_internal.h"
#include "session/session.pb-c.h"

#include <stdio.h>
#include <string.h>

#include <openssl/evp.h>

#define TOKEN_VERSION 1

/* Longest token in bytes before its base64url encoding. */
#define RAW_MAX_BYTES ((SES_TOKEN_MAX_BYTES - 1) / 4 * 3)

/* Replaces one character by another in the text. */
static void replace_char(char *text, char from, char to)
{
	for (; *text; text++) {
		if (*text == from)
			*text = to;
	}
}

/*
 * Writes unpadded base64url and a NUL. `text` needs room for the padded form: 4 characters for
 * every 3 bytes begun, and the NUL.
 */
void ses_base64_encode(const uint8_t *data, size_t data_bytes, char *text)
{
	EVP_EncodeBlock((unsigned char *)text, data, (int)data_bytes);
	text[SES_BASE64_CHARS(data_bytes)] = '\0';
	replace_char(text, '+', '-');
	replace_char(text, '/', '_');
}

/*
 * Decodes unpadded base64url below SES_TOKEN_MAX_BYTES characters; `data` needs 3 bytes for every
 * 4 characters begun. Returns the number of bytes, or 0 if the text is malformed or is not exactly
 * what encoding those bytes gives: openssl ignores surrounding white space and unused bits, and a
 * token must have one form only.
 */
size_t ses_base64_decode(const char *text, size_t text_chars, uint8_t *data)
{
	char padded[SES_TOKEN_MAX_BYTES + 4];
	char again[SES_TOKEN_MAX_BYTES + 4];
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
	ses_base64_encode(data, data_bytes, again);
	return strncmp(again, text, text_chars) == 0 ? data_bytes : 0;
}

/*
 * Signs the session into a NUL-terminated token of base64url(message || HMAC-SHA256). BC_EINVAL if
 * the ring has no signing key or the session has too many marks.
 */
enum bc_status ses_token_issue(struct ses_keyring *ring, const struct ses_session *session,
			       char token[SES_TOKEN_MAX_BYTES])
{
	struct bc_ctx *ctx = ses_keyring_ctx(ring);
	const struct ses_key *key = ses_keyring_signing(ring);
	uint8_t raw[RAW_MAX_BYTES];
	Ses__Mark marks[SES_MARKS_MAX];
	Ses__Mark *list[SES_MARKS_MAX];
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
		list[i] = &marks[i];
	}
	message.version = TOKEN_VERSION;
	message.key_id = ses_key_id(key);
	message.customer = (char *)session->customer;
	message.session_id = session->id;
	message.n_marks = session->mark_count;
	message.marks = list;
	bytes = ses__token__get_packed_size(&message);
	if (bytes + SES_MAC_BYTES > sizeof(raw))
		return bc_fail(ctx, BC_EINVAL, "the session does not fit into a token");
	ses__token__pack(&message, raw);
	if (!ses_mac(key, SES_PURPOSE_TOKEN, raw, bytes, raw + bytes))
		return bc_fail(ctx, BC_ENOMEM, "HMAC failed");
	ses_base64_encode(raw, bytes + SES_MAC_BYTES, token);
	return BC_OK;
}

/* Copies a verified message into the session; false if it is not well-formed. */
static bool token_read(const Ses__Token *message, struct ses_session *session)
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
 * Reads a token of any customer into `session`. BC_EAUTH: malformed, truncated, forged, or an
 * unknown key; then the session is cleared.
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
		token_read(message, session);
	ses__token__free_unpacked(message, NULL);
	if (valid)
		return BC_OK;
	memset(session, 0, sizeof(*session));
	return bc_fail(ctx, BC_EAUTH, "unknown key or forged session token");
}

/*
 * Reads a token that must belong to `customer`. BC_EAUTH also if it belongs to another one; then
 * the session is cleared.
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
