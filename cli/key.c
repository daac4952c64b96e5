#include "cli/cli.h"

#include <errno.h>
#include <fcntl.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define KEY_BYTES 32

/*
 * Writes KEY_BYTES random bytes into a new file of mode 0600. BC_ECONFLICT: the file exists;
 * BC_EIO: it cannot be created or written; a partial file is removed.
 */
enum bc_status cli_key_write(struct bc_ctx *ctx, const char *path)
{
	unsigned char key[KEY_BYTES];
	bool written;
	int fd;

	if (RAND_bytes(key, sizeof(key)) != 1)
		return bc_fail(ctx, BC_EIO, "cannot generate random bytes");
	fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	if (fd < 0)
		return bc_fail(ctx, errno == EEXIST ? BC_ECONFLICT : BC_EIO, "cannot create %s: %s",
			       path, strerror(errno));
	written = write(fd, key, sizeof(key)) == (ssize_t)sizeof(key) && fsync(fd) == 0;
	OPENSSL_cleanse(key, sizeof(key));
	if (close(fd) != 0 || !written) {
		unlink(path);
		return bc_fail(ctx, BC_EIO, "cannot write %s", path);
	}
	return BC_OK;
}

/* key generate: writes a random key into a new file. */
enum cli_exit cli_key_generate(struct cli *cli)
{
	if (cli_key_write(cli->ctx, cli->positional[0]) != BC_OK)
		return cli_error(CLI_FAILURE, "%s", bc_last_message(cli->ctx));
	if (cli->json)
		cli_print_json(
			json_pack("{s:s,s:i}", "file", cli->positional[0], "bytes", KEY_BYTES));
	else
		printf("%s: %d bytes\n", cli->positional[0], KEY_BYTES);
	return CLI_OK;
}
