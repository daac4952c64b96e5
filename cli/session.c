#include "cli/cli.h"

#include "session/session.h"

#include <openssl/crypto.h>
#include <stdio.h>
#include <stdlib.h>

#define KEY_MAX_BYTES 4096

/* A key ring with the key of --key, for signing and verifying; NULL with the last message set. */
static struct ses_keyring *load_keyring(struct cli *cli)
{
	struct ses_keyring *ring = ses_keyring_create(cli->ctx);
	enum bc_status status;
	size_t bytes = 0;
	char *secret;

	if (!ring)
		return NULL;
	status = io_file_read(cli->ctx, cli->key_file, KEY_MAX_BYTES, &secret, &bytes);
	if (status == BC_OK) {
		status = ses_keyring_add(ring, cli->key_id, secret, bytes, true);
		OPENSSL_cleanse(secret, bytes);
		free(secret);
	}
	if (status == BC_OK)
		return ring;
	ses_keyring_destroy(ring);
	return NULL;
}

static json_t *session_json(const struct ses_session *session)
{
	json_t *marks = json_object();
	char id[17];
	uint32_t i;

	for (i = 0; i < session->mark_count; i++)
		json_object_set_new(marks, session->marks[i].database,
				    json_pack("{s:I,s:I}", "term",
					      (json_int_t)session->marks[i].position.term, "pos",
					      (json_int_t)session->marks[i].position.pos));
	snprintf(id, sizeof(id), "%016llx", (unsigned long long)session->id);
	return json_pack("{s:s,s:s,s:o}", "customer", session->customer, "session", id, "marks",
			 marks);
}

static void print_session(const struct ses_session *session)
{
	uint32_t i;

	printf("customer %s\nsession %016llx\n", session->customer,
	       (unsigned long long)session->id);
	for (i = 0; i < session->mark_count; i++)
		printf("mark %s term %llu position %llu\n", session->marks[i].database,
		       (unsigned long long)session->marks[i].position.term,
		       (unsigned long long)session->marks[i].position.pos);
}

/*
 * session show: prints the content of a token signed with --key. Without --customer, any customer's
 * token is accepted.
 */
enum cli_exit cli_session_show(struct cli *cli)
{
	struct ses_keyring *ring = load_keyring(cli);
	struct ses_session session;
	enum bc_status status;

	if (!ring)
		return cli_error(CLI_FAILURE, "%s", bc_last_message(cli->ctx));
	if (cli->customer)
		status = ses_token_verify(ring, cli->positional[0], cli->customer, &session);
	else
		status = ses_token_read(ring, cli->positional[0], &session);
	ses_keyring_destroy(ring);
	if (status != BC_OK)
		return cli_error(CLI_BAD_INPUT, "the token is not valid: %s",
				 bc_last_message(cli->ctx));
	if (cli->json)
		cli_print_json(session_json(&session));
	else
		print_session(&session);
	return CLI_OK;
}

/* customer credential: prints what callers of a customer send as "Authorization: Bearer". */
enum cli_exit cli_customer_credential(struct cli *cli)
{
	struct ses_keyring *ring;
	char credential[SES_CREDENTIAL_BYTES];
	enum bc_status status;

	if (!bc_id_valid(cli->positional[0]))
		return cli_error(CLI_BAD_INPUT, "%s: expected the name of a customer",
				 cli->positional[0]);
	ring = load_keyring(cli);
	if (!ring)
		return cli_error(CLI_FAILURE, "%s", bc_last_message(cli->ctx));
	status = ses_credential_issue(ring, cli->positional[0], credential);
	ses_keyring_destroy(ring);
	if (status != BC_OK)
		return cli_error(CLI_FAILURE, "%s", bc_last_message(cli->ctx));
	if (cli->json)
		cli_print_json(json_pack("{s:s,s:s}", "customer", cli->positional[0], "credential",
					 credential));
	else
		puts(credential);
	return CLI_OK;
}
