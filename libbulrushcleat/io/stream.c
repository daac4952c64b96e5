#include "io/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Size of one read; most statements fit with their values. */
#define READ_BYTES ((size_t)32 * 1024)
/* Limits the time that one busy connection delays the others in an iteration of the loop. */
#define READS_PER_EVENT 4U
/* The callers of a failed proxy reconnect all at once; a VM serves some hundred sessions. */
#define LISTEN_BACKLOG 512
/* Leaves time for established sessions during a flood of connections. */
#define ACCEPTS_PER_EVENT 32U
/* Detects within about 3 s that the peer of an idle connection is gone without a reset. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2
/* How often a peer that takes output slowly is checked for taking any. */
#define PROGRESS_INTERVAL_US (500 * BC_US_PER_MS)
/* Smaller buffers are enlarged to twice the size, and not reduced when they are partly empty. */
#define SMALL_BUFFER_BYTES ((size_t)64 * 1024)
/* With less unacknowledged, the kernel's buffers are not measured. */
#define MEASURED_BYTES ((size_t)8 * 1024)
#define REASON_BYTES 96

struct io_stream {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_stream_ops ops;
	struct io_stream_limits limits;
	void *data;
	int fd;
	struct io_watch *watch;
	struct io_timer *timer; /* connect timeout, or deferred report of a failure */
	bool connected;
	bool paused;  /* too much input is unconsumed to read more */
	bool stopped; /* the budget does not admit to read */
	bool blocked; /* the socket has not taken all output since on_event() last sent some */
	bool in_callback;
	bool closed;
	char *input;
	size_t input_bytes;
	size_t input_capacity;
	uint64_t written_bytes;
	/* While a peer takes output slowly: what its host had acknowledged when it last took some.
	 */
	struct io_timer *progress_timer;
	uint64_t acknowledged_bytes;
	uint64_t progress_us;
	char *output;
	size_t output_start;
	size_t output_end;
	size_t output_capacity;
	/* NULL: the stream's buffers are not counted. */
	struct io_budget *budget;
	struct bud_holder *holder;
	struct io_sample sample;
	uint64_t answer_start_bytes; /* acknowledged before the answer that is measured */
	char reason[REASON_BYTES];
};

struct io_listener {
	struct bc_ctx *ctx;
	int fd;
	bool paused;
	struct io_watch *watch;
	io_accept_fn fn;
	void *data;
};

/* Shared by all streams; unconsumed input is copied to the stream's own buffer. */
static char read_buffer[READ_BYTES];

/* Counts the buffers in the budget. */
static void count_buffers(struct io_stream *stream)
{
	if (!stream->holder)
		return;
	bud_set(stream->holder, BUD_INPUT, stream->input_capacity);
	bud_set(stream->holder, BUD_OUTPUT, stream->output_capacity);
}

/* The capacity of a buffer that has to hold so many bytes and may grow further. */
static size_t grown_size(size_t bytes)
{
	return bytes < SMALL_BUFFER_BYTES ? 2 * bytes : bytes + bytes / 4;
}

static void release(struct io_stream *stream)
{
	if (stream->budget)
		io_budget_sample_remove(stream->budget, &stream->sample);
	io_timer_cancel(stream->timer);
	io_timer_cancel(stream->progress_timer);
	if (stream->watch)
		io_watch_remove(stream->watch);
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream->input);
	free(stream->output);
	free(stream);
}

/* Closes the stream after a failure and notifies its owner. */
static void fail(struct io_stream *stream, const char *reason)
{
	void (*closed)(void *, const char *, size_t) = stream->ops.closed;
	size_t unacknowledged_bytes = io_stream_unacknowledged_bytes(stream);
	void *data = stream->data;
	char text[REASON_BYTES];

	snprintf(text, sizeof(text), "%s", reason);
	if (stream->in_callback) {
		/* The callback still uses the stream, which is closed after it returns. */
		snprintf(stream->reason, sizeof(stream->reason), "%s", text);
		return;
	}
	release(stream);
	closed(data, text, unacknowledged_bytes);
}

/* Sets the TCP timeout for unacknowledged output; 0: the kernel's default. */
static void set_user_timeout(int fd, uint64_t tcp_user_timeout_us)
{
	unsigned int tcp_user_timeout_ms = (unsigned int)(tcp_user_timeout_us / BC_US_PER_MS);

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
		   sizeof(tcp_user_timeout_ms));
}

static void set_options(int fd, uint64_t tcp_user_timeout_us)
{
	int on = 1;
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	set_user_timeout(fd, tcp_user_timeout_us);
}

/*
 * Waits for what the stream can handle: input unless it is paused, and room for output if some was
 * unsent. The latter also if a flush of the owner has sent it since: on_event() passes the input.
 */
static void update_watch(struct io_stream *stream)
{
	io_watch_set(stream->watch, (stream->paused || stream->stopped ? 0 : IO_READ) |
					    (stream->blocked ? IO_WRITE : 0));
}

/* Stores unconsumed input. False when out of memory. */
static bool retain_input(struct io_stream *stream, const char *bytes, size_t length)
{
	if (length > stream->input_capacity) {
		char *grown = realloc(stream->input, length);

		if (!grown)
			return false;
		stream->input = grown;
		stream->input_capacity = length;
	}
	memmove(stream->input, bytes, length);
	stream->input_bytes = length;
	if (stream->input_capacity > SMALL_BUFFER_BYTES && stream->input_capacity / 4 > length) {
		char *reduced = realloc(stream->input, length);

		if (reduced) {
			stream->input = reduced;
			stream->input_capacity = length;
		}
	}
	return true;
}

/* Appends to the unconsumed input. False when out of memory. */
static bool append_input(struct io_stream *stream, const char *bytes, size_t length)
{
	size_t wanted = stream->input_bytes + length;

	if (wanted > stream->input_capacity) {
		char *grown = realloc(stream->input, grown_size(wanted));

		if (!grown)
			return false;
		stream->input = grown;
		stream->input_capacity = grown_size(wanted);
	}
	memcpy(stream->input + stream->input_bytes, bytes, length);
	stream->input_bytes = wanted;
	return true;
}

/* Passes input to the owner. False if the stream has been closed. */
static bool deliver(struct io_stream *stream, const char *bytes, size_t length)
{
	size_t used;

	if (stream->input_bytes) {
		if (!append_input(stream, bytes, length)) {
			fail(stream, "out of memory");
			return false;
		}
		bytes = stream->input;
		length = stream->input_bytes;
	}
	stream->in_callback = true;
	used = stream->ops.input(stream->data, bytes, length);
	stream->in_callback = false;
	if (stream->closed) {
		release(stream);
		return false;
	}
	if (stream->reason[0]) {
		fail(stream, stream->reason);
		return false;
	}
	if (used == length) {
		free(stream->input);
		stream->input = NULL;
		stream->input_capacity = 0;
		stream->input_bytes = 0;
	} else if (!retain_input(stream, bytes + used, length - used)) {
		fail(stream, "out of memory");
		return false;
	}
	stream->paused = stream->input_bytes > stream->limits.input_max_bytes;
	count_buffers(stream);
	if (stream->paused && stream->budget)
		io_budget_sample_add(stream->budget, &stream->sample);
	update_watch(stream);
	return true;
}

/* Whether the budget admits a read; if not, the stream is not read until io_stream_resume(). */
static bool budget_admits_read(struct io_stream *stream)
{
	if (!stream->holder || bud_may_read(stream->holder, READ_BYTES))
		return true;
	stream->stopped = true;
	io_budget_sample_add(stream->budget, &stream->sample);
	update_watch(stream);
	return false;
}

static void read_input(struct io_stream *stream)
{
	uint32_t reads;

	/* Events are only reported in spite of a stop when the connection has ended. */
	if (stream->stopped) {
		fail(stream, "closed by peer");
		return;
	}
	for (reads = 0; reads < READS_PER_EVENT && budget_admits_read(stream); reads++) {
		ssize_t length = recv(stream->fd, read_buffer, READ_BYTES, 0);

		if (length > 0) {
			if (!deliver(stream, read_buffer, (size_t)length))
				return;
			if (stream->paused || (size_t)length < READ_BYTES)
				return;
			continue;
		}
		if (length < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		fail(stream, length == 0 ? "closed by peer" : strerror(errno));
		return;
	}
}

static void finish_connect(struct io_stream *stream)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		error = errno;
	if (error) {
		fail(stream, strerror(error));
		return;
	}
	stream->connected = true;
	io_timer_cancel(stream->timer);
	stream->timer = NULL;
	update_watch(stream);
	stream->in_callback = true;
	stream->ops.connected(stream->data);
	stream->in_callback = false;
	if (stream->closed)
		release(stream);
	else if (stream->reason[0])
		fail(stream, stream->reason);
	else
		io_stream_flush(stream);
}

static void on_event(void *data, int fd, uint32_t events)
{
	struct io_stream *stream = data;

	(void)fd;
	if (!stream->connected) {
		finish_connect(stream);
		return;
	}
	if (events & IO_WRITE) {
		stream->blocked = false;
		stream->in_callback = true;
		io_stream_flush(stream);
		stream->in_callback = false;
		if (stream->reason[0]) {
			fail(stream, stream->reason);
			return;
		}
		/* The owner may have waited for that. */
		if (!io_stream_unsent_bytes(stream) && stream->input_bytes &&
		    !deliver(stream, "", 0))
			return;
	}
	if (events & IO_READ)
		read_input(stream);
}

static void on_connect_timeout(void *data)
{
	struct io_stream *stream = data;

	stream->timer = NULL;
	fail(stream, stream->reason[0] ? stream->reason : "connect timeout");
}

static struct io_stream *create(struct bc_ctx *ctx, struct io_loop *loop,
				const struct io_stream_limits *limits,
				const struct io_stream_ops *ops, void *data)
{
	struct io_stream *stream = calloc(1, sizeof(*stream));

	if (!stream)
		return NULL;
	stream->ctx = ctx;
	stream->loop = loop;
	stream->limits = *limits;
	stream->ops = *ops;
	stream->data = data;
	stream->fd = -1;
	return stream;
}

/* Starts to connect. Returns 0 or an errno value. */
static int start_connect(struct io_stream *stream, const char *address, const char *source_ip)
{
	struct sockaddr_in source = {.sin_family = AF_INET};
	struct sockaddr_in target;
	int on = 1;

	if (!io_address_parse(address, &target))
		return EINVAL;
	stream->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (stream->fd < 0)
		return errno;
	set_options(stream->fd, stream->limits.tcp_user_timeout_us);
	if (source_ip && inet_pton(AF_INET, source_ip, &source.sin_addr) == 1) {
		setsockopt(stream->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
		if (bind(stream->fd, (struct sockaddr *)&source, sizeof(source)) != 0)
			return errno;
	}
	if (connect(stream->fd, (struct sockaddr *)&target, sizeof(target)) != 0 &&
	    errno != EINPROGRESS)
		return errno;
	stream->watch = io_watch_add(stream->loop, stream->fd, IO_WRITE, on_event, stream);
	return stream->watch ? 0 : ENOMEM;
}

/* Connects. Calls ops->connected or ops->closed with the result, never before this returns. */
struct io_stream *io_stream_connect(struct bc_ctx *ctx, struct io_loop *loop, const char *address,
				    const char *source_ip, const struct io_stream_limits *limits,
				    const struct io_stream_ops *ops, void *data)
{
	struct io_stream *stream = create(ctx, loop, limits, ops, data);
	int error;

	if (!stream)
		return NULL;
	error = start_connect(stream, address, source_ip);
	if (error)
		snprintf(stream->reason, sizeof(stream->reason), "%s", strerror(error));
	stream->timer = io_timer_add(loop, error ? 0 : limits->connect_timeout_us,
				     on_connect_timeout, stream);
	return stream;
}

/* Creates a stream that owns an accepted connection. */
struct io_stream *io_stream_adopt(struct bc_ctx *ctx, struct io_loop *loop, int fd,
				  const struct io_stream_limits *limits,
				  const struct io_stream_ops *ops, void *data)
{
	struct io_stream *stream = create(ctx, loop, limits, ops, data);

	if (!stream) {
		close(fd);
		return NULL;
	}
	stream->fd = fd;
	stream->connected = true;
	set_options(fd, limits->tcp_user_timeout_us);
	stream->watch = io_watch_add(loop, fd, IO_READ, on_event, stream);
	if (!stream->watch) {
		release(stream);
		return NULL;
	}
	return stream;
}

/* Appends to the output buffer. A failure is reported by io_stream_flush(). */
void io_stream_write(struct io_stream *stream, const char *bytes, size_t length)
{
	size_t wanted = stream->output_end - stream->output_start + length;

	if (wanted > stream->limits.output_max_bytes) {
		snprintf(stream->reason, sizeof(stream->reason), "the peer does not read");
		return;
	}
	if (stream->output_start) {
		memmove(stream->output, stream->output + stream->output_start,
			stream->output_end - stream->output_start);
		stream->output_end -= stream->output_start;
		stream->output_start = 0;
	}
	if (wanted > stream->output_capacity) {
		size_t size = wanted < 512 ? 512 : grown_size(wanted);
		char *grown = realloc(stream->output, size);

		if (!grown) {
			snprintf(stream->reason, sizeof(stream->reason), "out of memory");
			return;
		}
		stream->output = grown;
		stream->output_capacity = size;
	}
	memcpy(stream->output + stream->output_end, bytes, length);
	stream->output_end += length;
	stream->written_bytes += length;
	count_buffers(stream);
}

static void on_failed_flush(void *data)
{
	struct io_stream *stream = data;

	stream->timer = NULL;
	fail(stream, stream->reason);
}

/* Reports a failure from the event loop, so that the stream stays valid for the caller. */
static void fail_later(struct io_stream *stream)
{
	if (!stream->timer && !stream->in_callback)
		stream->timer = io_timer_add(stream->loop, 0, on_failed_flush, stream);
}

static void on_progress_check(void *data)
{
	struct io_stream *stream = data;
	size_t unacknowledged = io_stream_unacknowledged_bytes(stream);
	uint64_t acknowledged_bytes = stream->written_bytes - unacknowledged;
	uint64_t now_us = io_now_us();

	stream->progress_timer = NULL;
	if (!unacknowledged) {
		set_user_timeout(stream->fd, stream->limits.tcp_user_timeout_us);
		return;
	}
	if (acknowledged_bytes > stream->acknowledged_bytes) {
		stream->acknowledged_bytes = acknowledged_bytes;
		stream->progress_us = now_us;
	} else if (now_us - stream->progress_us >= stream->limits.tcp_user_timeout_us) {
		fail(stream, "the peer does not read");
		return;
	}
	stream->progress_timer =
		io_timer_add(stream->loop, PROGRESS_INTERVAL_US, on_progress_check, stream);
}

/*
 * Replaces the TCP timeout for unacknowledged output until all is acknowledged: the kernel's also
 * ends connections whose peer reads steadily, but has little room.
 */
static void watch_progress(struct io_stream *stream)
{
	if (stream->progress_timer)
		return;
	set_user_timeout(stream->fd, 0);
	stream->acknowledged_bytes = stream->written_bytes - io_stream_unacknowledged_bytes(stream);
	stream->progress_us = io_now_us();
	stream->progress_timer =
		io_timer_add(stream->loop, PROGRESS_INTERVAL_US, on_progress_check, stream);
}

/* Frees the part of a large output buffer that was sent. */
static void reduce_output(struct io_stream *stream)
{
	size_t unsent = io_stream_unsent_bytes(stream);
	char *reduced;

	if (stream->output_capacity <= SMALL_BUFFER_BYTES || stream->output_capacity / 2 < unsent)
		return;
	memmove(stream->output, stream->output + stream->output_start, unsent);
	stream->output_start = 0;
	stream->output_end = unsent;
	reduced = realloc(stream->output, unsent);
	if (!reduced)
		return;
	stream->output = reduced;
	stream->output_capacity = unsent;
	count_buffers(stream);
}

/* Measures the stream from now on if much of its output may stay with the kernel. */
static void watch_answer(struct io_stream *stream, size_t written_bytes)
{
	if (!stream->budget || stream->sample.listed || written_bytes < MEASURED_BYTES)
		return;
	stream->answer_start_bytes = stream->written_bytes - io_stream_unacknowledged_bytes(stream);
	io_budget_sample_add(stream->budget, &stream->sample);
}

/* Sends as much output as the socket accepts; the rest follows when it is writable. */
void io_stream_flush(struct io_stream *stream)
{
	if (!stream->connected)
		return;
	watch_answer(stream, io_stream_unsent_bytes(stream));
	while (stream->output_start < stream->output_end && !stream->reason[0]) {
		ssize_t sent = send(stream->fd, stream->output + stream->output_start,
				    stream->output_end - stream->output_start, MSG_NOSIGNAL);

		if (sent >= 0) {
			stream->output_start += (size_t)sent;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno == EAGAIN) {
			stream->blocked = true;
			reduce_output(stream);
			watch_answer(stream, MEASURED_BYTES);
			update_watch(stream);
			watch_progress(stream);
			return;
		}
		snprintf(stream->reason, sizeof(stream->reason), "%s", strerror(errno));
	}
	if (stream->reason[0]) {
		fail_later(stream);
		return;
	}
	free(stream->output);
	stream->output = NULL;
	stream->output_capacity = 0;
	stream->output_start = 0;
	stream->output_end = 0;
	count_buffers(stream);
	update_watch(stream);
}

/*
 * Measures what the kernel holds for the stream, and the progress of its answers. Returns whether
 * there may be more to measure.
 */
static bool on_measure(void *data, uint64_t now_us)
{
	struct io_stream *stream = data;
	size_t unacknowledged = io_stream_unacknowledged_bytes(stream);
	size_t kernel_bytes = unacknowledged - io_stream_unsent_bytes(stream);
	uint64_t acknowledged = stream->written_bytes - unacknowledged;
	bool waits = stream->paused || stream->stopped;
	int unread = 0;

	if (waits && ioctl(stream->fd, FIONREAD, &unread) == 0 && unread > 0)
		kernel_bytes += (size_t)unread;
	bud_set(stream->holder, BUD_KERNEL, kernel_bytes);
	if (!unacknowledged) {
		bud_transfer_end(stream->holder, BUD_ANSWER);
		stream->answer_start_bytes = acknowledged;
		return waits;
	}
	bud_transfer_moved(stream->holder, BUD_ANSWER, acknowledged - stream->answer_start_bytes,
			   now_us);
	return true;
}

/* Counts the stream's buffers in the budget as those of this holder. */
void io_stream_set_budget(struct io_stream *stream, struct io_budget *budget,
			  struct bud_holder *holder)
{
	stream->budget = budget;
	stream->holder = holder;
	stream->sample.measure = on_measure;
	stream->sample.data = stream;
	count_buffers(stream);
}

/* Lets the next flush close the stream for this reason, unless it has another. */
void io_stream_fail(struct io_stream *stream, const char *reason)
{
	if (!stream->reason[0])
		snprintf(stream->reason, sizeof(stream->reason), "%s", reason);
}

/* The IP address of the peer, or an empty string if the connection has ended. */
void io_stream_peer(const struct io_stream *stream, char ip[BC_ADDRESS_BYTES])
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);

	ip[0] = '\0';
	if (getpeername(stream->fd, (struct sockaddr *)&address, &length) == 0)
		inet_ntop(AF_INET, &address.sin_addr, ip, BC_ADDRESS_BYTES);
}

/* Reads again after the budget has stopped it. */
void io_stream_resume(struct io_stream *stream)
{
	stream->stopped = false;
	update_watch(stream);
}

/*
 * Closes after one attempt to send the remaining output; returns the bytes that were not sent. NULL
 * is allowed.
 */
size_t io_stream_close(struct io_stream *stream)
{
	size_t unsent;
	ssize_t sent = 0;

	if (!stream)
		return 0;
	/* The owner may remove the holder before a callback returns and the stream is freed. */
	stream->holder = NULL;
	unsent = stream->output_end - stream->output_start;
	if (stream->connected && unsent && !stream->reason[0])
		sent = send(stream->fd, stream->output + stream->output_start, unsent,
			    MSG_NOSIGNAL);
	if (sent > 0)
		unsent -= (size_t)sent;
	if (stream->in_callback)
		stream->closed = true;
	else
		release(stream);
	return unsent;
}

/* Whether there is unconsumed input, also such that has arrived but was not read yet. */
bool io_stream_has_input(const struct io_stream *stream)
{
	int unread = 0;

	if (stream->input_bytes > 0)
		return true;
	return ioctl(stream->fd, FIONREAD, &unread) == 0 && unread > 0;
}

/* The bytes of output that the socket has not taken yet. */
size_t io_stream_unsent_bytes(const struct io_stream *stream)
{
	return stream->output_end - stream->output_start;
}

/* The bytes of output that were not sent, or that the peer's host has not acknowledged. */
size_t io_stream_unacknowledged_bytes(const struct io_stream *stream)
{
	size_t unsent = io_stream_unsent_bytes(stream);
	int unacknowledged = 0;

	if (ioctl(stream->fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged < 0)
		unacknowledged = 0;
	return unsent + (size_t)unacknowledged;
}

/* Passes the unconsumed input to the owner again. */
void io_stream_redeliver(struct io_stream *stream)
{
	if (stream->input_bytes)
		deliver(stream, "", 0);
}

/* Within a callback: whether the owner has closed the stream. */
bool io_stream_is_closed(const struct io_stream *stream)
{
	return stream->closed;
}

static void on_accept(void *data, int fd, uint32_t events)
{
	struct io_listener *listener = data;
	uint32_t i;

	(void)events;
	for (i = 0; i < ACCEPTS_PER_EVENT && !listener->paused; i++) {
		int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (accepted >= 0) {
			listener->fn(listener->data, accepted);
			continue;
		}
		if (errno == EINTR || errno == ECONNABORTED)
			continue;
		if (errno != EAGAIN)
			bc_log(listener->ctx, BC_LOG_ERROR, "accept_failed", "{s:s}", "error",
			       strerror(errno));
		return;
	}
}

/* Listens on "IP:PORT". NULL with the last message set if that fails. */
struct io_listener *io_listener_create(struct bc_ctx *ctx, struct io_loop *loop,
				       const char *address, io_accept_fn fn, void *data)
{
	struct io_listener *listener = calloc(1, sizeof(*listener));
	struct sockaddr_in socket_address;
	int on = 1;

	if (!listener)
		return NULL;
	listener->ctx = ctx;
	listener->fn = fn;
	listener->data = data;
	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (listener->fd >= 0)
		setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (listener->fd >= 0 && io_address_parse(address, &socket_address) &&
	    bind(listener->fd, (struct sockaddr *)&socket_address, sizeof(socket_address)) == 0 &&
	    listen(listener->fd, LISTEN_BACKLOG) == 0)
		listener->watch = io_watch_add(loop, listener->fd, IO_READ, on_accept, listener);
	if (!listener->watch) {
		bc_fail(ctx, BC_EIO, "cannot listen on %s: %s", address, strerror(errno));
		if (listener->fd >= 0)
			close(listener->fd);
		free(listener);
		return NULL;
	}
	return listener;
}

/* Stops or goes on accepting. */
void io_listener_pause(struct io_listener *listener, bool paused)
{
	if (listener->paused == paused)
		return;
	listener->paused = paused;
	io_watch_set(listener->watch, paused ? 0 : IO_READ);
}

/* Limits the kernel's buffers of the connections that are accepted from now on. */
void io_listener_limit_buffers(struct io_listener *listener, int bytes)
{
	setsockopt(listener->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(listener->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/* Stops listening. NULL is allowed. */
void io_listener_destroy(struct io_listener *listener)
{
	if (!listener)
		return;
	io_watch_remove(listener->watch);
	close(listener->fd);
	free(listener);
}
