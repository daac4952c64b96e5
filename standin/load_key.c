#include "standin/load.h"

#include "session/session.h"

#include <stdlib.h>

#define KEY_MAX_BYTES 4096

_Static_assert(LD_CREDENTIAL_BYTES >= SES_CREDENTIAL_BYTES, "a credential must fit");

/* Splits "ID:FILE". */
static bool split_key(const char *text, uint32_t *id, const char **file)
{
	char *end;
	unsigned long long value = strtoull(text, &end, 10);

	if (text[0] < '0' || text[0] > '9' || *end != ':' || end[1] == '\0' || value == 0 ||
	    value > UINT32_MAX)
		return false;
	*id = (uint32_t)value;
	*file = end + 1;
	return true;
}

/* Makes the credential of --customer with --key. BC_EINVAL, or the error of reading the file. */
enum bc_status ld_credential_make(struct bc_ctx *ctx, const struct ld_options *options,
				  char credential[LD_CREDENTIAL_BYTES])
{
	struct ses_keyring *ring;
	enum bc_status status;
	const char *file;
	char *secret;
	size_t bytes;
	uint32_t id;

	if (!split_key(options->key, &id, &file))
		return bc_fail(ctx, BC_EINVAL, "%s: expected ID:FILE", options->key);
	status = io_file_read(ctx, file, KEY_MAX_BYTES, &secret, &bytes);
	if (status != BC_OK)
		return status;
	ring = ses_keyring_create(ctx);
	if (ring)
		status = ses_keyring_add(ring, id, secret, bytes, true);
	else
		status = bc_fail(ctx, BC_ENOMEM, "out of memory");
	if (status == BC_OK)
		status = ses_credential_issue(ring, options->customer, credential);
	ses_keyring_destroy(ring);
	free(secret);
	return status;
}
