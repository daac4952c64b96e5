#ifndef BC_SESSION_INTERNAL_H
#define BC_SESSION_INTERNAL_H

#include "session/session.h"

#define SES_MAC_BYTES 32

/* What a MAC authenticates. A MAC computed for one purpose is not valid for another. */
enum ses_purpose { SES_PURPOSE_TOKEN, SES_PURPOSE_CREDENTIAL };

struct ses_key;

struct bc_ctx *ses_keyring_ctx(struct ses_keyring *ring);
const struct ses_key *ses_keyring_signing(const struct ses_keyring *ring);
const struct ses_key *ses_keyring_find(const struct ses_keyring *ring, uint32_t id);
uint32_t ses_key_id(const struct ses_key *key);
bool ses_mac(const struct ses_key *key, enum ses_purpose purpose, const void *data,
	     size_t data_bytes, uint8_t mac[SES_MAC_BYTES]);
bool ses_mac_valid(const struct ses_key *key, enum ses_purpose purpose, const void *data,
		   size_t data_bytes, const uint8_t mac[SES_MAC_BYTES]);

/* Length of the unpadded base64url text of n bytes, NUL not included. */
#define SES_BASE64_CHARS(n) (((n)*4 + 2) / 3)

void ses_base64_encode(const uint8_t *data, size_t data_bytes, char *text);
size_t ses_base64_decode(const char *text, size_t text_chars, uint8_t *data);

#endif
