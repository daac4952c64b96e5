#ifndef BULRUSHCLEAT_H
#define BULRUSHCLEAT_H

/*
 * Public interface of libbulrushcleat. Handles are opaque and passed first. Functions that can
 * fail return a status; bc_last_message() returns the text of the last failure in a context.
 * All times are in microseconds of a monotonic clock unless the name says otherwise.
 */

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BC_VERSION "0.1.0"

#define BC_US_PER_MS 1000ULL
#define BC_US_PER_S 1000000ULL

enum bc_status {
	BC_OK = 0,
	BC_EINVAL,    /* invalid input */
	BC_ENOMEM,    /* out of memory */
	BC_EIO,	      /* transport or file error */
	BC_ETIMEOUT,  /* the deadline has passed */
	BC_ECONFLICT, /* a conditional update failed, or the state has changed meanwhile */
	BC_EAUTH,     /* authentication failed */
	BC_EVERSION,  /* the peer or object has another version */
	BC_ELIMIT,    /* a limit has been reached */
	BC_ENOTFOUND, /* no such object */
	BC_EAGAIN,    /* not possible now; the call may be retried */
	BC_EDENIED,   /* authenticated, but not allowed */
};

enum bc_log_level { BC_LOG_DEBUG, BC_LOG_INFO, BC_LOG_WARN, BC_LOG_ERROR };

struct bc_ctx;

/* Receives one log event: a stable name and a JSON object of fields, which never hold secrets. */
typedef void (*bc_log_fn)(void *data, enum bc_log_level level, const char *event,
			  const char *fields_json);

struct bc_ctx *bc_ctx_create(uint64_t random_seed);
void bc_ctx_destroy(struct bc_ctx *ctx);
void bc_ctx_set_log(struct bc_ctx *ctx, bc_log_fn fn, void *data);
const char *bc_last_message(const struct bc_ctx *ctx);
const char *bc_status_name(enum bc_status status);

#ifdef __cplusplus
}
#endif

#endif
