#ifndef BC_SESSION_H
#define BC_SESSION_H

/* Session tokens, marks, the key ring and callers' credentials. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SES_MARKS_MAX 32
#define SES_TOKEN_MAX_BYTES 6144
#define SES_SECRET_MIN_BYTES 16
#define SES_CREDENTIAL_BYTES 160 /* longest "CUSTOMER.MAC" with NUL */

/* The newest position of a database that the session has written or read. */
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
/* BC_EINVAL: a short secret, id 0, a second key of that id, or a second signing key. */
enum bc_status ses_keyring_add(struct ses_keyring *ring, uint32_t id, const void *secret,
			       size_t secret_bytes, bool signing);

void ses_session_init(struct ses_session *session, const char *customer, uint64_t id);
/* The mark of a database, or {0, 0}. */
struct bc_position ses_mark_get(const struct ses_session *session, const char *database);
/* Moves a mark forward, never back. BC_ELIMIT: SES_MARKS_MAX databases already have marks. */
enum bc_status ses_mark_advance(struct bc_ctx *ctx, struct ses_session *session,
				const char *database, struct bc_position position);

/* Signs the session into a NUL-terminated token. BC_EINVAL: no signing key. */
enum bc_status ses_token_issue(struct ses_keyring *ring, const struct ses_session *session,
			       char token[SES_TOKEN_MAX_BYTES]);
/* For operators: reads a token of any customer. BC_EAUTH if it is malformed, forged or unknown. */
enum bc_status ses_token_read(struct ses_keyring *ring, const char *token,
			      struct ses_session *session);
/* BC_EAUTH: malformed, truncated, forged, an unknown key, or another customer's token. */
enum bc_status ses_token_verify(struct ses_keyring *ring, const char *token, const char *customer,
				struct ses_session *session);

/* A caller's credential "CUSTOMER.MAC". */
enum bc_status ses_credential_make(struct ses_keyring *ring, const char *customer,
				   char credential[SES_CREDENTIAL_BYTES]);
/* Checks the value of an Authorization header ("Bearer CUSTOMER.MAC"). BC_EAUTH if it fails. */
enum bc_status ses_credential_check(struct ses_keyring *ring, const char *authorization,
				    char customer[BC_ID_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
