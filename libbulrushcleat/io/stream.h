#ifndef BC_IO_STREAM_H
#define BC_IO_STREAM_H

/* Buffered TCP connections on the event loop, for line protocols. */

#include "io/io.h"
#include "io/io_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

struct io_stream;
struct io_listener;

struct io_stream_ops {
	/* The connection of io_stream_connect() is established. */
	void (*connected)(void *data);
	/*
	 * Input has arrived. Returns the number of bytes consumed; the rest is passed again
	 * together with later input, and when output that the socket did not take is sent.
	 */
	size_t (*input)(void *data, const char *bytes, size_t length);
	/*
	 * The connection is closed or has failed; the stream is invalid after the call. So many
	 * bytes of output were not acknowledged by the peer's host.
	 */
	void (*closed)(void *data, const char *reason, size_t unacknowledged_bytes);
};

/* Called with the descriptor of a new connection, which the callee owns. */
typedef void (*io_accept_fn)(void *data, int fd);

struct io_stream_limits {
	uint64_t connect_timeout_us;
	uint64_t tcp_user_timeout_us; /* limit for data of which nothing is acknowledged */
	size_t input_max_bytes;	      /* nothing is read while more is unconsumed */
	size_t output_max_bytes;      /* more unsent output closes the connection */
};

/* Connects to "IP:PORT", from `source_ip` unless NULL. Failures are reported by ops->closed. */
struct io_stream *io_stream_connect(struct bc_ctx *ctx, struct io_loop *loop, const char *address,
				    const char *source_ip, const struct io_stream_limits *limits,
				    const struct io_stream_ops *ops, void *data);
/* Creates a stream that owns an open socket; closes it and returns NULL when out of memory. */
struct io_stream *io_stream_adopt(struct bc_ctx *ctx, struct io_loop *loop, int fd,
				  const struct io_stream_limits *limits,
				  const struct io_stream_ops *ops, void *data);
/*
 * Counts the stream's buffers in the budget as those of this holder, which outlives the stream, and
 * reads and measures it as the budget decides.
 */
void io_stream_set_budget(struct io_stream *stream, struct io_budget *budget,
			  struct bud_holder *holder);
/* Lets the next flush close the stream for this reason. */
void io_stream_fail(struct io_stream *stream, const char *reason);
/* The IP address of the peer, or an empty string. */
void io_stream_peer(const struct io_stream *stream, char ip[BC_ADDRESS_BYTES]);
/* Reads again after the budget has stopped it. */
void io_stream_resume(struct io_stream *stream);
/* Appends to the output buffer, which io_stream_flush() sends. */
void io_stream_write(struct io_stream *stream, const char *bytes, size_t length);
void io_stream_flush(struct io_stream *stream);
/*
 * Closes after one attempt to send the remaining output. No callback follows. Returns the bytes
 * that were not sent.
 */
size_t io_stream_close(struct io_stream *stream);
/* Whether there is unconsumed input, also such that has arrived but was not read yet. */
bool io_stream_has_input(const struct io_stream *stream);
/* The bytes of output that the socket has not taken yet. */
size_t io_stream_unsent_bytes(const struct io_stream *stream);
/* The bytes of output that the peer's host has not acknowledged yet. */
size_t io_stream_unacknowledged_bytes(const struct io_stream *stream);
/* Passes the unconsumed input again. Not within ops->input; the stream may be closed by it. */
void io_stream_redeliver(struct io_stream *stream);
/* Within ops->input: whether the owner has closed the stream. */
bool io_stream_is_closed(const struct io_stream *stream);

struct io_listener *io_listener_create(struct bc_ctx *ctx, struct io_loop *loop,
				       const char *address, io_accept_fn fn, void *data);
/* Stops or goes on accepting; connections wait in the kernel meanwhile. */
void io_listener_pause(struct io_listener *listener, bool paused);
/* Limits the kernel's buffers of each direction of the connections accepted from now on. */
void io_listener_limit_buffers(struct io_listener *listener, int bytes);
void io_listener_destroy(struct io_listener *listener);

#ifdef __cplusplus
}
#endif

#endif
