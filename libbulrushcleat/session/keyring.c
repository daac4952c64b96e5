#include "session/session_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

/* Labels for domain separation: each MAC covers the label, a NUL and then the data. */
static const char *const purpose_labels[] = {
	[SES_PURPOSE_TOKEN] = "bulrushcleat session token 1",
	[SES_PURPOSE_CREDENTIAL] = "bulrushcleat credential 1",
};

#define PURPOSE_MAX_BYTES 32

struct ses_key {
	uint32_t id;
	size_t secret_bytes;
	uint8_t *secret;
};

struct ses_keyring {
	struct bc_ctx *ctx;
	struct ses_key *keys;
	size_t key_count;
	size_t signing_index; /* valid only if has_signing */
	bool has_signing;
};

/* Creates an empty keyring; NULL when out of memory. */
struct ses_keyring *ses_keyring_create(struct bc_ctx *ctx)
{
	struct ses_keyring *ring = calloc(1, sizeof(*ring));

	if (ring)
		ring->ctx = ctx;
	return ring;
}

/* Overwrites the secrets and frees the keyring. NULL is allowed. */
void ses_keyring_destroy(struct ses_keyring *ring)
{
	size_t i;

	if (!ring)
		return;
	for (i = 0; i < ring->key_count; i++)
		OPENSSL_clear_free(ring->keys[i].secret, ring->keys[i].secret_bytes);
	free(ring->keys);
	free(ring);
}

/*
 * Adds a key that is accepted in verification and, if `signing`, also signs. BC_EINVAL: the secret
 * is shorter than SES_SECRET_MIN_BYTES, the id is 0 or in use, or it is a second signing key.
 */
enum bc_status ses_keyring_add(struct ses_keyring *ring, uint32_t id, const void *secret,
			       size_t secret_bytes, bool signing)
{
	struct ses_key *keys;
	uint8_t *copy;

	if (id == 0)
		return bc_fail(ring->ctx, BC_EINVAL, "a key id must not be 0");
	if (secret_bytes < SES_SECRET_MIN_BYTES || secret_bytes > INT32_MAX)
		return bc_fail(ring->ctx, BC_EINVAL, "the secret of key %u needs at least %d bytes",
			       id, SES_SECRET_MIN_BYTES);
	if (ses_keyring_find(ring, id))
		return bc_fail(ring->ctx, BC_EINVAL, "key %u is given twice", id);
	if (signing && ring->has_signing)
		return bc_fail(ring->ctx, BC_EINVAL, "key %u is a second signing key", id);
	keys = realloc(ring->keys, (ring->key_count + 1) * sizeof(*keys));
	if (!keys)
		return bc_fail(ring->ctx, BC_ENOMEM, "out of memory");
	ring->keys = keys;
	copy = OPENSSL_memdup(secret, secret_bytes);
	if (!copy)
		return bc_fail(ring->ctx, BC_ENOMEM, "out of memory");
	keys[ring->key_count] = (struct ses_key){id, secret_bytes, copy};
	if (signing) {
		ring->signing_index = ring->key_count;
		ring->has_signing = true;
	}
	ring->key_count++;
	return BC_OK;
}

/* The context that the keyring was created with. */
struct bc_ctx *ses_keyring_ctx(struct ses_keyring *ring)
{
	return ring->ctx;
}

/* The signing key, or NULL. */
const struct ses_key *ses_keyring_signing(const struct ses_keyring *ring)
{
	return ring->has_signing ? &ring->keys[ring->signing_index] : NULL;
}

/* The key with this id, or NULL. */
const struct ses_key *ses_keyring_find(const struct ses_keyring *ring, uint32_t id)
{
	size_t i;

	for (i = 0; i < ring->key_count; i++) {
		if (ring->keys[i].id == id)
			return &ring->keys[i];
	}
	return NULL;
}

/* The key's id, which every token and credential carries. */
uint32_t ses_key_id(const struct ses_key *key)
{
	return key->id;
}

/*
 * Computes the HMAC-SHA256 of the purpose's label, a NUL and the data. The NUL ensures that no
 * label is a prefix of another. False if the data exceeds SES_TOKEN_MAX_BYTES or OpenSSL fails.
 */
bool ses_mac(const struct ses_key *key, enum ses_purpose purpose, const void *data,
	     size_t data_bytes, uint8_t mac[SES_MAC_BYTES])
{
	uint8_t input[PURPOSE_MAX_BYTES + SES_TOKEN_MAX_BYTES];
	size_t prefix_bytes = strlen(purpose_labels[purpose]) + 1;
	unsigned int mac_bytes = 0;

	if (data_bytes > SES_TOKEN_MAX_BYTES)
		return false;
	memcpy(input, purpose_labels[purpose], prefix_bytes);
	memcpy(input + prefix_bytes, data, data_bytes);
	return HMAC(EVP_sha256(), key->secret, (int)key->secret_bytes, input,
		    prefix_bytes + data_bytes, mac, &mac_bytes) &&
	       mac_bytes == SES_MAC_BYTES;
}

/* Whether the MAC is the data's. Compares in constant time, so that timing reveals nothing. */
bool ses_mac_valid(const struct ses_key *key, enum ses_purpose purpose, const void *data,
		   size_t data_bytes, const uint8_t mac[SES_MAC_BYTES])
{
	uint8_t expected[SES_MAC_BYTES];

	return ses_mac(key, purpose, data, data_bytes, expected) &&
	       CRYPTO_memcmp(expected, mac, SES_MAC_BYTES) == 0;
}

/*
 * Writes the credential "CUSTOMER.MAC", where MAC is the base64url of the signing key's id and the
 * HMAC of the customer. BC_EINVAL if the customer is not a valid id or there is no signing key.
 */
enum bc_status ses_credential_issue(struct ses_keyring *ring, const char *customer,
				    char credential[SES_CREDENTIAL_BYTES])
{
	const struct ses_key *key = ses_keyring_signing(ring);
	uint8_t raw[sizeof(uint32_t) + SES_MAC_BYTES];
	char text[SES_BASE64_CHARS(sizeof(raw)) + 1];

	if (!bc_id_valid(customer))
		return bc_fail(ring->ctx, BC_EINVAL, "the customer is not a valid id");
	if (!key)
		return bc_fail(ring->ctx, BC_EINVAL, "the key ring has no signing key");
	raw[0] = (uint8_t)(key->id >> 24);
	raw[1] = (uint8_t)(key->id >> 16);
	raw[2] = (uint8_t)(key->id >> 8);
	raw[3] = (uint8_t)key->id;
	if (!ses_mac(key, SES_PURPOSE_CREDENTIAL, customer, strlen(customer), raw + 4))
		return bc_fail(ring->ctx, BC_ENOMEM, "HMAC failed");
	ses_base64_encode(raw, sizeof(raw), text);
	snprintf(credential, SES_CREDENTIAL_BYTES, "%s.%s", customer, text);
	return BC_OK;
}

/*
 * Verifies an Authorization header, "Bearer CUSTOMER.MAC", and returns the customer. A customer id
 * may contain dots, so the last dot is the separator. BC_EAUTH if anything is wrong; the header is
 * never logged.
 */
enum bc_status ses_credential_verify(struct ses_keyring *ring, const char *authorization,
				     char customer[BC_ID_BYTES])
{
	uint8_t raw[sizeof(uint32_t) + SES_MAC_BYTES];
	const struct ses_key *key;
	const char *dot;
	size_t chars;

	if (!authorization || strncasecmp(authorization, "Bearer ", 7) != 0)
		return bc_fail(ring->ctx, BC_EAUTH, "no bearer credential");
	authorization += 7;
	dot = strrchr(authorization, '.');
	chars = dot ? (size_t)(dot - authorization) : BC_ID_BYTES;
	if (chars >= BC_ID_BYTES)
		return bc_fail(ring->ctx, BC_EAUTH, "malformed credential");
	memcpy(customer, authorization, chars);
	customer[chars] = '\0';
	if (!bc_id_valid(customer) || strlen(dot + 1) != SES_BASE64_CHARS(sizeof(raw)) ||
	    ses_base64_decode(dot + 1, strlen(dot + 1), raw) != sizeof(raw))
		return bc_fail(ring->ctx, BC_EAUTH, "malformed credential");
	key = ses_keyring_find(ring, (uint32_t)raw[0] << 24 | (uint32_t)raw[1] << 16 |
					     (uint32_t)raw[2] << 8 | raw[3]);
	if (!key || !ses_mac_valid(key, SES_PURPOSE_CREDENTIAL, customer, chars, raw + 4))
		return bc_fail(ring->ctx, BC_EAUTH, "unknown key or forged credential");
	return BC_OK;
}
