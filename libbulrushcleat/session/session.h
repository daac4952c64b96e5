#ifndef BC_SESSION_H
#define BC_SESSION_H

/* Session tokens, a session's marks, the keyring and callers' credentials. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SES_MARKS_MAX 32
#define SES_TOKEN_MAX_BYTES 6144
#define SES_SECRET_MIN_BYTES 16
#define SES_CREDENTIAL_BYTES 160 /* longest "CUSTOMER.MAC", NUL included */

/* The newest position of a database that the session has written or read; reads must reach it. */
struct ses_mark {
	char database[BC_ID_BYTES];
	struct bc_position position;
};

struct ses_session {
	char customer[BC_ID_BYTES];
	uint64_t id;
	uint32_t mark_count;
	struct ses_mark marks[SES_MARKS_MAX];
};

struct ses_keyring;

struct ses_keyring *ses_keyring_create(struct bc_ctx *ctx);
void ses_keyring_destroy(struct ses_keyring *ring);
/* BC_EINVAL: the secret is too short, the id is 0 or in use, or it is a second signing key. */
enum bc_status ses_keyring_add(struct ses_keyring *ring, uint32_t id, const void *secret,
			       size_t secret_bytes, bool signing);

void ses_session_init(struct ses_session *session, const char *customer, uint64_t id);
/* The session's mark for a database, or {0, 0}. */
struct bc_position ses_mark_get(const struct ses_session *session, const char *database);
/* Moves a mark forward, never back. BC_ELIMIT: SES_MARKS_MAX other databases have marks already. */
enum bc_status ses_mark_advance(struct bc_ctx *ctx, struct ses_session *session,
				const char *database, struct bc_position position);

/* Encodes and signs the session as a NUL-terminated token. BC_EINVAL: there is no signing key. */
enum bc_status ses_token_issue(struct ses_keyring *ring, const struct ses_session *session,
			       char token[SES_TOKEN_MAX_BYTES]);
/*
 * For operators: verifies and decodes a token of any customer. BC_EAUTH: malformed, truncated,
 * forged, or signed with an unknown key.
 */
enum bc_status ses_token_read(struct ses_keyring *ring, const char *token,
			      struct ses_session *session);
/* Like ses_token_read(), but BC_EAUTH also if the token belongs to another customer. */
enum bc_status ses_token_verify(struct ses_keyring *ring, const char *token, const char *customer,
				struct ses_session *session);

/* Writes a caller's credential "CUSTOMER.MAC". */
enum bc_status ses_credential_issue(struct ses_keyring *ring, const char *customer,
				    char credential[SES_CREDENTIAL_BYTES]);
/* Checks the value of an Authorization header ("Bearer CUSTOMER.MAC"). BC_EAUTH if it fails. */
enum bc_status ses_credential_verify(struct ses_keyring *ring, const char *authorization,
				     char customer[BC_ID_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
