#include "io/peers_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* From connect or accept until the peer is authenticated. */
#define HANDSHAKE_TIMEOUT_US BC_US_PER_S
/*
 * The kernel retransmits a SYN after 1 s. A SYN is lost while the peer's VM is starting, as after a
 * power failure, so a new attempt is made after a few round trips between regions. The delay
 * doubles with each attempt, for links that are saturated.
 */
#define CONNECT_RETRY_US (150 * BC_US_PER_MS)
/* Unsent messages are reported as lost this early, while the callers can still wait for a retry. */
#define PENDING_MAX_US (400 * BC_US_PER_MS)
/*
 * A connection that falls silent without a reset is closed when data stays unacknowledged for this
 * long, and the next message opens a new one. The limit is longer than a saturated link holds up
 * packets. There are no keep-alive probes, since in a large fleet most connections are idle.
 */
#define UNACKNOWLEDGED_MS 3000U
/* The overhead of a connection: its descriptor, watch, link and socket. */
#define CONNECTION_BYTES ((uint64_t)8 * 1024)
#define READ_CHUNK_BYTES (16U * 1024U)
/* Limits the time that one peer's input delays the other connections. */
#define READ_CHUNKS_PER_EVENT 4U

/* Counts a failure; `reason` becomes a label of the metric. */
void io_peer_count_failure(struct io_peers *peers, const char *reason)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	bc_counter_add(peers->ctx, "bulrushcleat_peer_failures_total", labels, 1);
}

/* Frees the closed connections. Must not be called from a link's callback. */
void io_peer_free_closed(struct io_peers *peers)
{
	struct peer_conn *conn;

	while ((conn = TAILQ_FIRST(&peers->closed)) != NULL) {
		TAILQ_REMOVE(&peers->closed, conn, entry);
		bud_remove(conn->holder);
		wire_link_destroy(conn->link);
		free(conn->out);
		free(conn->pending);
		free(conn);
	}
}

static void on_reap_timer(void *data)
{
	struct io_peers *peers = data;
	struct peer_conn *conn;
	bool unsent;

	peers->reap_timer = NULL;
	/* The callback may close further connections, which are appended to the list. */
	for (conn = TAILQ_FIRST(&peers->closed); conn; conn = TAILQ_NEXT(conn, entry)) {
		if (!peers->on_lost || conn->skip_lost_callback ||
		    !(conn->ready || conn->initiator))
			continue;
		conn->skip_lost_callback = true;
		/* A newer connection may already have messages pending, which it will send. */
		unsent = !conn->ready &&
			 !apr_hash_get(peers->outgoing, conn->address, APR_HASH_KEY_STRING);
		peers->on_lost(peers->data, conn->peer_id, conn->address, unsent);
	}
	io_peer_free_closed(peers);
}

/*
 * Closes a connection. The memory is freed by a timer, because the caller may be a callback of
 * wire_link_input().
 */
void io_peer_conn_close(struct peer_conn *conn)
{
	struct io_peers *peers = conn->peers;

	if (conn->closed)
		return;
	conn->closed = true;
	io_timer_cancel(conn->handshake_timer);
	conn->handshake_timer = NULL;
	io_watch_remove(conn->watch);
	close(conn->fd);
	if (conn->initiator) {
		apr_hash_set(peers->outgoing, conn->address, APR_HASH_KEY_STRING, NULL);
		TAILQ_REMOVE(&peers->initiated, conn, entry);
	} else {
		TAILQ_REMOVE(&peers->accepted, conn, entry);
		peers->accepted_count--;
		if (!conn->ready)
			peers->unauthenticated_count--;
	}
	TAILQ_INSERT_TAIL(&peers->closed, conn, entry);
	if (!peers->reap_timer)
		peers->reap_timer = io_timer_add(peers->loop, 0, on_reap_timer, peers);
}

/* Closes a connection and counts and logs the reason. */
static void conn_fail(struct peer_conn *conn, const char *reason, const char *detail)
{
	if (conn->closed)
		return;
	io_peer_count_failure(conn->peers, reason);
	bc_log(conn->peers->ctx, BC_LOG_WARN, "peer_connection_failed", "{s:s,s:s,s:s,s:s,s:b}",
	       "reason", reason, "detail", detail, "peer", conn->peer_id, "address", conn->address,
	       "initiator", (int)conn->initiator);
	io_peer_conn_close(conn);
}

static void conn_fail_errno(struct peer_conn *conn, const char *reason, int error)
{
	char detail[128];

	conn_fail(conn, reason, strerror_r(error, detail, sizeof(detail)));
}

/* Moves the connection to the end of its list, which is ordered by time of last use. */
static void conn_mark_used(struct peer_conn *conn)
{
	struct conn_list *list = conn->initiator ? &conn->peers->initiated : &conn->peers->accepted;

	if (conn->closed)
		return;
	conn->last_used_us = io_now_us();
	TAILQ_REMOVE(list, conn, entry);
	TAILQ_INSERT_TAIL(list, conn, entry);
}

static size_t conn_queued_bytes(const struct peer_conn *conn)
{
	return conn->out_end - conn->out_start + conn->pending_bytes;
}

/* Counts the connection's buffers in the budget. */
static void conn_count_buffers(struct peer_conn *conn)
{
	if (!conn->holder)
		return;
	bud_set(conn->holder, BUD_INPUT, wire_link_buffer_bytes(conn->link));
	bud_set(conn->holder, BUD_OUTPUT, conn->out_capacity + conn->pending_bytes);
}

static bool out_append(struct peer_conn *conn, const uint8_t *bytes, size_t length)
{
	size_t needed;

	/* Moves the data only when half of the buffer is free, so each byte moves about once. */
	if (conn->out_start && conn->out_start >= conn->out_capacity / 2) {
		conn->out_end -= conn->out_start;
		memmove(conn->out, conn->out + conn->out_start, conn->out_end);
		conn->out_start = 0;
	}
	needed = conn->out_end + length;
	if (needed > conn->out_capacity) {
		size_t size = conn->out_capacity ? conn->out_capacity : 1024;
		uint8_t *out;

		while (size < needed)
			size *= 2;
		out = realloc(conn->out, size);
		if (!out)
			return false;
		conn->out = out;
		conn->out_capacity = size;
	}
	memcpy(conn->out + conn->out_end, bytes, length);
	conn->out_end = needed;
	return true;
}

static bool pending_append(struct peer_conn *conn, const uint8_t *bytes, size_t length)
{
	uint8_t *pending = realloc(conn->pending, conn->pending_bytes + length);

	if (!pending)
		return false;
	memcpy(pending + conn->pending_bytes, bytes, length);
	conn->pending = pending;
	conn->pending_bytes += length;
	return true;
}

/* Writes what the socket accepts, and watches for writability while output remains. */
void io_peer_conn_flush(struct peer_conn *conn)
{
	if (conn->closed || !conn->connected)
		return;
	if (conn->output_failed) {
		conn_fail(conn, "memory", "out of memory for output");
		return;
	}
	while (conn->out_start < conn->out_end) {
		ssize_t sent = send(conn->fd, conn->out + conn->out_start,
				    conn->out_end - conn->out_start, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (sent < 0) {
			conn_fail_errno(conn, "write", errno);
			return;
		}
		conn->out_start += (size_t)sent;
		conn->peers->sent_bytes += (uint64_t)sent;
	}
	if (conn->out_start == conn->out_end) {
		free(conn->out);
		conn->out = NULL;
		conn->out_start = conn->out_end = conn->out_capacity = 0;
	}
	conn_count_buffers(conn);
	io_watch_set(conn->watch, conn->out_end ? IO_READ | IO_WRITE : IO_READ);
}

static void on_link_output(void *data, const uint8_t *bytes, size_t length)
{
	struct peer_conn *conn = data;

	if (!conn->closed && !out_append(conn, bytes, length))
		conn->output_failed = true;
}

static void on_link_ready(void *data, const char *peer_id)
{
	struct peer_conn *conn = data;

	if (conn->closed)
		return;
	conn->ready = true;
	snprintf(conn->peer_id, sizeof(conn->peer_id), "%s", peer_id);
	if (!conn->initiator)
		conn->peers->unauthenticated_count--;
	io_timer_cancel(conn->handshake_timer);
	conn->handshake_timer = NULL;
	if (conn->pending_bytes && !out_append(conn, conn->pending, conn->pending_bytes))
		conn->output_failed = true;
	free(conn->pending);
	conn->pending = NULL;
	conn->pending_bytes = 0;
}

static void on_link_message(void *data, const struct wire_message *message)
{
	struct peer_conn *conn = data;

	if (!conn->closed)
		conn->peers->fn(conn->peers->data, conn->peer_id, message);
}

static const struct wire_link_ops link_ops = {on_link_output, on_link_ready, on_link_message};

/* A close by the peer is a failure only before authentication or with messages queued. */
static void on_peer_closed(struct peer_conn *conn)
{
	if (conn->ready && conn_queued_bytes(conn) == 0) {
		bc_log(conn->peers->ctx, BC_LOG_DEBUG, "peer_closed", "{s:s}", "peer",
		       conn->peer_id);
		io_peer_conn_close(conn);
		return;
	}
	conn_fail(conn, "closed",
		  conn->ready ? "closed by the peer with messages queued"
			      : "closed by the peer before authentication");
}

/* Returns the metric label of a protocol failure. */
static const char *link_failure_reason(enum bc_status status)
{
	switch (status) {
	case BC_EAUTH:
	case BC_ECONFLICT:
		return "auth";
	case BC_EVERSION:
		return "version";
	case BC_ENOMEM:
		return "memory";
	default:
		return "protocol";
	}
}

/* Reads one chunk. False when there is nothing more to read or the connection is closed. */
static bool read_chunk(struct peer_conn *conn)
{
	uint8_t chunk[READ_CHUNK_BYTES];
	ssize_t length = recv(conn->fd, chunk, sizeof(chunk), 0);
	enum bc_status status;

	if (length == 0) {
		on_peer_closed(conn);
		return false;
	}
	if (length < 0) {
		if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
			conn_fail_errno(conn, "read", errno);
		return false;
	}
	conn->peers->received_bytes += (uint64_t)length;
	status = wire_link_input(conn->link, chunk, (size_t)length);
	if (status != BC_OK) {
		conn_fail(conn, link_failure_reason(status), bc_last_message(conn->peers->ctx));
		return false;
	}
	conn_mark_used(conn);
	return !conn->closed && (size_t)length == sizeof(chunk);
}

/* Checks the result of a non-blocking connect() and starts the handshake. */
static bool finish_connect(struct peer_conn *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		error = errno;
	if (error) {
		conn_fail_errno(conn, "connect", error);
		return false;
	}
	conn->connected = true;
	wire_link_start(conn->link);
	return true;
}

static void on_conn_event(void *data, int fd, uint32_t events)
{
	struct peer_conn *conn = data;
	uint32_t chunks = READ_CHUNKS_PER_EVENT;

	(void)fd;
	if (conn->closed)
		return;
	if (!conn->connected && !finish_connect(conn))
		return;
	if (events & IO_READ)
		while (chunks > 0 && read_chunk(conn))
			chunks--;
	io_peer_conn_flush(conn);
}

/* Drops the messages that are pending until the handshake completes. */
static void drop_pending(struct peer_conn *conn)
{
	struct io_peers *peers = conn->peers;

	bc_log(peers->ctx, BC_LOG_WARN, "peer_messages_dropped", "{s:s,s:I}", "address",
	       conn->address, "bytes", (json_int_t)conn->pending_bytes);
	free(conn->pending);
	conn->pending = NULL;
	conn->pending_bytes = 0;
	if (peers->on_lost)
		peers->on_lost(peers->data, conn->peer_id, conn->address, true);
}

static void set_socket_options(int fd)
{
	unsigned int unacknowledged_ms = UNACKNOWLEDGED_MS;
	int on = 1;

	/* A ping must not be delayed until an earlier segment is acknowledged. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		   sizeof(unacknowledged_ms));
}

/* Abandons the current connect attempt and starts another one on a new socket. */
static void retry_connect(struct peer_conn *conn, uint64_t now_us)
{
	int fd = io_peer_connect_socket(conn->peers, conn->address);

	if (fd < 0) {
		conn_fail_errno(conn, "connect", errno);
		return;
	}
	io_watch_remove(conn->watch);
	close(conn->fd);
	conn->fd = fd;
	set_socket_options(fd);
	conn->watch = io_watch_add(conn->peers->loop, fd, IO_WRITE, on_conn_event, conn);
	if (!conn->watch) {
		conn_fail(conn, "memory", "out of memory for a watch");
		return;
	}
	conn->retry_delay_us *= 2;
	conn->retry_us = now_us + conn->retry_delay_us;
}

static void on_handshake_timer(void *data);

/* Sets the timer for the next retry, drop or timeout of the handshake. */
static bool set_handshake_timer(struct peer_conn *conn, uint64_t now_us)
{
	uint64_t due_us = conn->started_us + HANDSHAKE_TIMEOUT_US;
	uint64_t drop_us = conn->started_us + PENDING_MAX_US;

	if (conn->initiator && drop_us > now_us)
		due_us = drop_us;
	if (conn->initiator && !conn->connected && conn->retry_us < due_us)
		due_us = conn->retry_us;
	conn->handshake_timer = io_timer_add(
		conn->peers->loop, due_us > now_us ? due_us - now_us : 0, on_handshake_timer, conn);
	return conn->handshake_timer != NULL;
}

static void on_handshake_timer(void *data)
{
	struct peer_conn *conn = data;
	uint64_t now_us = io_now_us();
	uint64_t age_us = now_us - conn->started_us;

	conn->handshake_timer = NULL;
	if (age_us >= HANDSHAKE_TIMEOUT_US) {
		conn_fail(conn, conn->connected ? "handshake_timeout" : "connect_timeout",
			  conn->connected ? "not authenticated within 1 s"
					  : "not connected within 1 s");
		return;
	}
	if (!conn->connected && now_us >= conn->retry_us)
		retry_connect(conn, now_us);
	if (!conn->closed && !set_handshake_timer(conn, now_us))
		conn_fail(conn, "memory", "out of memory for a timer");
	/* Last, because the callback may use this connection. */
	if (!conn->closed && conn->initiator && age_us >= PENDING_MAX_US && conn->pending_bytes)
		drop_pending(conn);
}

/* Creates a connection that owns the socket; closes it and returns NULL when out of memory. */
struct peer_conn *io_peer_conn_create(struct io_peers *peers, int fd, bool initiator)
{
	struct peer_conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		close(fd);
		return NULL;
	}
	set_socket_options(fd);
	conn->peers = peers;
	conn->fd = fd;
	conn->initiator = initiator;
	conn->connected = !initiator;
	conn->last_used_us = io_now_us();
	conn->started_us = conn->last_used_us;
	conn->retry_delay_us = CONNECT_RETRY_US;
	conn->retry_us = conn->started_us + CONNECT_RETRY_US;
	conn->link = wire_link_create(peers->ctx, peers->own_id, peers->key, peers->key_bytes,
				      initiator, &link_ops, conn);
	conn->watch = conn->link ? io_watch_add(peers->loop, fd, initiator ? IO_WRITE : IO_READ,
						on_conn_event, conn)
				 : NULL;
	if (peers->budget)
		conn->holder =
			bud_add(peers->budget, false, CONNECTION_BYTES, conn, conn->started_us);
	if (!conn->watch || (peers->budget && !conn->holder) ||
	    !set_handshake_timer(conn, conn->started_us)) {
		bud_remove(conn->holder);
		io_watch_remove(conn->watch);
		wire_link_destroy(conn->link);
		close(fd);
		free(conn);
		return NULL;
	}
	return conn;
}

/* Queues a packed frame; it is sent when the handshake is complete. */
void io_peer_conn_queue(struct peer_conn *conn, const uint8_t *frame, size_t frame_bytes)
{
	bool queued;

	if (conn_queued_bytes(conn) + frame_bytes > WIRE_QUEUE_MAX_BYTES) {
		conn_fail(conn, "queue_full", "the peer reads too slowly");
		return;
	}
	queued = conn->ready ? out_append(conn, frame, frame_bytes)
			     : pending_append(conn, frame, frame_bytes);
	if (!queued) {
		conn_fail(conn, "memory", "out of memory for output");
		return;
	}
	conn_count_buffers(conn);
	conn_mark_used(conn);
	io_peer_conn_flush(conn);
}
