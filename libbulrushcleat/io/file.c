#include "io/io.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

/* Reads a whole file of at most max_bytes. BC_ENOTFOUND, BC_ELIMIT or BC_EIO on failure. */
enum bc_status io_file_read(struct bc_ctx *ctx, const char *path, size_t max_bytes, char **out,
			    size_t *length_bytes)
{
	FILE *file = fopen(path, "rbe");
	char *buffer;
	size_t length;

	if (!file)
		return bc_fail(ctx, errno == ENOENT ? BC_ENOTFOUND : BC_EIO, "cannot open %s: %s",
			       path, strerror(errno));
	buffer = malloc(max_bytes + 2);
	if (!buffer) {
		fclose(file);
		return bc_fail(ctx, BC_ENOMEM, "out of memory reading %s", path);
	}
	length = fread(buffer, 1, max_bytes + 1, file);
	if (ferror(file) || length > max_bytes) {
		bool too_long = length > max_bytes;

		fclose(file);
		free(buffer);
		return too_long ? bc_fail(ctx, BC_ELIMIT, "%s is larger than %zu bytes", path,
					  max_bytes)
				: bc_fail(ctx, BC_EIO, "cannot read %s", path);
	}
	fclose(file);
	buffer[length] = '\0';
	*out = buffer;
	if (length_bytes)
		*length_bytes = length;
	return BC_OK;
}

/* Raises the soft limit on open files, at most to the hard limit; returns the new limit. */
uint64_t io_fd_limit_raise(uint64_t wanted)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return 0;
	if (limit.rlim_cur < wanted) {
		limit.rlim_cur = wanted < limit.rlim_max ? wanted : limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
		getrlimit(RLIMIT_NOFILE, &limit);
	}
	return limit.rlim_cur;
}
