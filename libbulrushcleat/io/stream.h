#ifndef BC_IO_STREAM_H
#define BC_IO_STREAM_H

/* Buffered TCP connections on the event loop, for line protocols. */

#include "io/io.h"

#ifdef __cplusplus
extern "C" {
#endif

struct io_stream;
struct io_listener;

struct io_stream_ops {
	/* The connection that was asked for is open. */
	void (*connected)(void *data);
	/* Bytes have come; returns how many of them were used. The rest is shown again with more.
	 */
	size_t (*input)(void *data, const char *bytes, size_t length);
	/* The connection is gone; the stream is invalid after the call. */
	void (*closed)(void *data, const char *reason);
};

/* Called with the descriptor of a new connection, which it takes over. */
typedef void (*io_accept_fn)(void *data, int fd);

struct io_stream_limits {
	uint64_t connect_us;	    /* time to open */
	uint64_t unacknowledged_us; /* after which unacknowledged bytes end the connection */
	size_t input_max_bytes;	    /* unused input beyond this ends the connection */
	size_t output_max_bytes;    /* unsent output beyond this ends the connection */
};

/* Connects to "IP:PORT", from an IP unless `source_ip` is NULL. Failures come by ops->closed. */
struct io_stream *io_stream_connect(struct bc_ctx *ctx, struct io_loop *loop, const char *address,
				    const char *source_ip, const struct io_stream_limits *limits,
				    const struct io_stream_ops *ops, void *data);
/* Takes over an open connection. NULL, and the descriptor closed, when out of memory. */
struct io_stream *io_stream_adopt(struct bc_ctx *ctx, struct io_loop *loop, int fd,
				  const struct io_stream_limits *limits,
				  const struct io_stream_ops *ops, void *data);
/* Adds output, which io_stream_flush() sends. */
void io_stream_write(struct io_stream *stream, const char *bytes, size_t length);
void io_stream_flush(struct io_stream *stream);
/* Sends what is buffered, as far as the peer takes it at once, and closes. No callback follows. */
void io_stream_close(struct io_stream *stream);
/* Whether input waits that has not been used. */
bool io_stream_has_input(const struct io_stream *stream);
/* Shows the input that waits once more. Not within ops->input; the stream may end by it. */
void io_stream_again(struct io_stream *stream);
/* Within ops->input: whether the stream has been closed by what the input caused. */
bool io_stream_is_closed(const struct io_stream *stream);

struct io_listener *io_listener_create(struct bc_ctx *ctx, struct io_loop *loop,
				       const char *address, io_accept_fn fn, void *data);
void io_listener_destroy(struct io_listener *listener);

#ifdef __cplusplus
}
#endif

#endif
