#include "core/core.h"
#include "core/core_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static const char *const status_names[] = {
	[BC_OK] = "ok",
	[BC_EINVAL] = "invalid",
	[BC_ENOMEM] = "out_of_memory",
	[BC_EIO] = "io_error",
	[BC_ETIMEOUT] = "timeout",
	[BC_ECONFLICT] = "conflict",
	[BC_EAUTH] = "unauthenticated",
	[BC_EVERSION] = "version_mismatch",
	[BC_ELIMIT] = "limit_reached",
	[BC_ENOTFOUND] = "not_found",
	[BC_EAGAIN] = "try_again",
	[BC_EDENIED] = "denied",
};

/* Creates a context. The same seed gives the same sequence of random numbers. */
struct bc_ctx *bc_ctx_create(uint64_t random_seed)
{
	struct bc_ctx *ctx = calloc(1, sizeof(*ctx));

	if (!ctx)
		return NULL;
	ctx->random_state[0] = (unsigned short)random_seed;
	ctx->random_state[1] = (unsigned short)(random_seed >> 16);
	ctx->random_state[2] = (unsigned short)(random_seed >> 32);
	ctx->random_state[0] ^= (unsigned short)(random_seed >> 48);
	bc_metrics_init(ctx);
	return ctx;
}

/* Frees the context and its metrics. NULL is allowed. */
void bc_ctx_destroy(struct bc_ctx *ctx)
{
	if (!ctx)
		return;
	bc_metrics_free(ctx);
	free(ctx);
}

/* Sets the function that receives log events; NULL discards them. */
void bc_ctx_set_log(struct bc_ctx *ctx, bc_log_fn fn, void *data)
{
	ctx->log = fn;
	ctx->log_data = data;
}

/* The text of the last failure on this context, or an empty string. */
const char *bc_last_message(const struct bc_ctx *ctx)
{
	return ctx->last_error;
}

/* The stable lower-case name of a status, used in logs and responses. */
const char *bc_status_name(enum bc_status status)
{
	if ((size_t)status >= sizeof(status_names) / sizeof(status_names[0]))
		return "unknown_status";
	return status_names[status];
}

/* Stores the text for bc_last_message() and returns `status`, for use in a return statement. */
enum bc_status bc_fail(struct bc_ctx *ctx, enum bc_status status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(ctx->last_error, sizeof(ctx->last_error), format, args);
	va_end(args);
	return status;
}

/* Encodes the fields as JSON and passes the event to the log function. */
void bc_log(struct bc_ctx *ctx, enum bc_log_level level, const char *event, const char *fields, ...)
{
	json_error_t error;
	json_t *object;
	va_list args;
	char *text;

	if (!ctx->log)
		return;
	va_start(args, fields);
	object = json_vpack_ex(&error, 0, fields ? fields : "{}", args);
	va_end(args);
	text = object ? json_dumps(object, JSON_COMPACT) : NULL;
	ctx->log(ctx->log_data, level, event, text ? text : "{}");
	free(text);
	json_decref(object);
}

/* A 64-bit random number from the seeded generator. */
uint64_t bc_random(struct bc_ctx *ctx)
{
	uint64_t high = (uint64_t)(uint32_t)jrand48(ctx->random_state);

	return high << 32 | (uint32_t)jrand48(ctx->random_state);
}

/* A random number in [0, bound), or 0 if bound is 0. */
uint64_t bc_random_below(struct bc_ctx *ctx, uint64_t bound)
{
	return bound ? bc_random(ctx) % bound : 0;
}

/* Compares by term, then by number. Returns a negative number, 0 or a positive number. */
int bc_position_compare(struct bc_position a, struct bc_position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.pos != b.pos)
		return a.pos < b.pos ? -1 : 1;
	return 0;
}

/*
 * Whether a replica whose last entry is `have` contains the entry `want`, which a majority holds.
 * Both the term and the number must be reached: a longer log of an older term may have diverged
 * before `want`.
 */
bool bc_position_covers(struct bc_position have, struct bc_position want)
{
	return have.term >= want.term && have.pos >= want.pos;
}

/* Compares two places in the history of a store; negative, 0 or positive. */
int bc_version_compare(struct bc_version a, struct bc_version b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}

/* A 64-bit hash of the text, the same on all machines. */
uint64_t bc_hash(const char *text)
{
	return XXH64(text, strlen(text), 0);
}

/* A 64-bit hash of a text that depends on the seed. */
uint64_t bc_hash_seeded(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

/* A 64-bit hash of two texts; the hashes of ("ab","c") and ("a","bc") differ. */
uint64_t bc_hash2(const char *a, const char *b)
{
	return bc_hash_seeded(b, bc_hash(a));
}

/* Whether the text consists of 1 to 63 characters of [A-Za-z0-9._-]. */
bool bc_id_valid(const char *id)
{
	size_t length;

	if (!id)
		return false;
	length = strspn(id, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-");
	return length > 0 && length < BC_ID_BYTES && id[length] == '\0';
}
