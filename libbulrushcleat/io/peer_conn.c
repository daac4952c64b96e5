#include "io/peers_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* From the start of connecting, or from accept, until the peer's proof has arrived. */
#define HANDSHAKE_TIMEOUT_US BC_US_PER_S
/*
 * The kernel repeats an opening packet after 1 s. It is lost where the peer's VM is about to start,
 * as after a loss of power, so connecting begins anew after some round trips between regions; each
 * wait is twice the one before, for links that are full.
 */
#define CONNECT_RETRY_US (150 * BC_US_PER_MS)
/* What the peer has certainly not received is given back while its callers can still wait. */
#define WAITING_MAX_US (400 * BC_US_PER_MS)
#define READ_CHUNK_BYTES (16U * 1024U)
/* Chunks read from one peer before the others get their turn. */
#define READ_CHUNKS_PER_TURN 4U

/* Counts a failure by its reason, a short label value. */
void io_peer_count_failure(struct io_peers *peers, const char *reason)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	bc_count(peers->ctx, "bulrushcleat_peer_failures_total", labels, 1);
}

/* Releases the closed connections. Not to be called within a link's callback. */
void io_peer_free_closed(struct io_peers *peers)
{
	struct peer_conn *conn;

	while ((conn = TAILQ_FIRST(&peers->closed)) != NULL) {
		TAILQ_REMOVE(&peers->closed, conn, entry);
		wire_link_destroy(conn->link);
		free(conn->out);
		free(conn->waiting);
		free(conn);
	}
}

static void on_reap(void *data)
{
	struct io_peers *peers = data;
	struct peer_conn *conn;
	bool unsent;

	peers->reap = NULL;
	/* The callback may close further connections, which are then reaped later. */
	for (conn = TAILQ_FIRST(&peers->closed); conn; conn = TAILQ_NEXT(conn, entry)) {
		if (!peers->lost || conn->idle || !(conn->ready || conn->initiator))
			continue;
		conn->idle = true;
		/* Messages may already wait on a newer connection, which will send them. */
		unsent = !conn->ready &&
			 !apr_hash_get(peers->outgoing, conn->address, APR_HASH_KEY_STRING);
		peers->lost(peers->data, conn->peer_id, conn->address, unsent);
	}
	io_peer_free_closed(peers);
}

/*
 * Closes a connection. The memory is released in a later turn, since the link may be in the middle
 * of wire_link_input().
 */
void io_peer_conn_close(struct peer_conn *conn)
{
	struct io_peers *peers = conn->peers;

	if (conn->closed)
		return;
	conn->closed = true;
	io_timer_cancel(conn->handshake);
	conn->handshake = NULL;
	io_watch_remove(conn->watch);
	close(conn->fd);
	if (conn->initiator) {
		apr_hash_set(peers->outgoing, conn->address, APR_HASH_KEY_STRING, NULL);
		TAILQ_REMOVE(&peers->initiated, conn, entry);
	} else {
		TAILQ_REMOVE(&peers->accepted, conn, entry);
		peers->accepted_count--;
		if (!conn->ready)
			peers->unproven_count--;
	}
	TAILQ_INSERT_TAIL(&peers->closed, conn, entry);
	if (!peers->reap)
		peers->reap = io_timer_add(peers->loop, 0, on_reap, peers);
}

/* Counts and logs why a connection ends, and closes it. */
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
static void conn_touch(struct peer_conn *conn)
{
	struct conn_list *list = conn->initiator ? &conn->peers->initiated : &conn->peers->accepted;

	if (conn->closed)
		return;
	conn->used_us = io_now_us();
	TAILQ_REMOVE(list, conn, entry);
	TAILQ_INSERT_TAIL(list, conn, entry);
}

static size_t conn_queued_bytes(const struct peer_conn *conn)
{
	return conn->out_end - conn->out_start + conn->waiting_bytes;
}

static bool out_append(struct peer_conn *conn, const uint8_t *bytes, size_t length)
{
	size_t needed;

	/* Moved only when half is free, so that each byte is moved about once. */
	if (conn->out_start && conn->out_start >= conn->out_size / 2) {
		conn->out_end -= conn->out_start;
		memmove(conn->out, conn->out + conn->out_start, conn->out_end);
		conn->out_start = 0;
	}
	needed = conn->out_end + length;
	if (needed > conn->out_size) {
		size_t size = conn->out_size ? conn->out_size : 1024;
		uint8_t *out;

		while (size < needed)
			size *= 2;
		out = realloc(conn->out, size);
		if (!out)
			return false;
		conn->out = out;
		conn->out_size = size;
	}
	memcpy(conn->out + conn->out_end, bytes, length);
	conn->out_end = needed;
	return true;
}

static bool waiting_append(struct peer_conn *conn, const uint8_t *bytes, size_t length)
{
	uint8_t *waiting = realloc(conn->waiting, conn->waiting_bytes + length);

	if (!waiting)
		return false;
	memcpy(waiting + conn->waiting_bytes, bytes, length);
	conn->waiting = waiting;
	conn->waiting_bytes += length;
	return true;
}

/* Writes what the socket takes and watches for writability while something is left. */
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
		conn->out_start = conn->out_end = conn->out_size = 0;
	}
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
		conn->peers->unproven_count--;
	io_timer_cancel(conn->handshake);
	conn->handshake = NULL;
	if (conn->waiting_bytes && !out_append(conn, conn->waiting, conn->waiting_bytes))
		conn->output_failed = true;
	free(conn->waiting);
	conn->waiting = NULL;
	conn->waiting_bytes = 0;
}

static void on_link_message(void *data, const struct wire_message *message)
{
	struct peer_conn *conn = data;

	if (!conn->closed)
		conn->peers->fn(conn->peers->data, conn->peer_id, message);
}

static const struct wire_link_ops link_ops = {on_link_output, on_link_ready, on_link_message};

/* The end of a connection by the peer is a failure only before the proof or within a queue. */
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
			      : "closed by the peer before its proof");
}

/* The label of a protocol failure, for the counter. */
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

/* Reads one chunk. False when there is nothing more to read now. */
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
	conn_touch(conn);
	return !conn->closed && (size_t)length == sizeof(chunk);
}

/* Takes the result of a non-blocking connect(). */
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
	uint32_t chunks = READ_CHUNKS_PER_TURN;

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

/* Gives up what waits for the proof. */
static void drop_waiting(struct peer_conn *conn)
{
	struct io_peers *peers = conn->peers;

	bc_log(peers->ctx, BC_LOG_WARN, "peer_messages_dropped", "{s:s,s:I}", "address",
	       conn->address, "bytes", (json_int_t)conn->waiting_bytes);
	free(conn->waiting);
	conn->waiting = NULL;
	conn->waiting_bytes = 0;
	if (peers->lost)
		peers->lost(peers->data, conn->peer_id, conn->address, true);
}

/* Leaves the attempt that is under way and connects with another socket. */
static void connect_again(struct peer_conn *conn, uint64_t now_us)
{
	int fd = io_peer_socket(conn->peers, conn->address);
	int on = 1;

	if (fd < 0) {
		conn_fail_errno(conn, "connect", errno);
		return;
	}
	io_watch_remove(conn->watch);
	close(conn->fd);
	conn->fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->watch = io_watch_add(conn->peers->loop, fd, IO_WRITE, on_conn_event, conn);
	if (!conn->watch) {
		conn_fail(conn, "memory", "out of memory for a watch");
		return;
	}
	conn->retry_delay_us *= 2;
	conn->retry_us = now_us + conn->retry_delay_us;
}

static void on_handshake_timer(void *data);

/* Wakes up for the next step of the handshake that is due. */
static bool set_handshake_timer(struct peer_conn *conn, uint64_t now_us)
{
	uint64_t due_us = conn->begun_us + HANDSHAKE_TIMEOUT_US;
	uint64_t drop_us = conn->begun_us + WAITING_MAX_US;

	if (conn->initiator && drop_us > now_us)
		due_us = drop_us;
	if (conn->initiator && !conn->connected && conn->retry_us < due_us)
		due_us = conn->retry_us;
	conn->handshake = io_timer_add(conn->peers->loop, due_us > now_us ? due_us - now_us : 0,
				       on_handshake_timer, conn);
	return conn->handshake != NULL;
}

static void on_handshake_timer(void *data)
{
	struct peer_conn *conn = data;
	uint64_t now_us = io_now_us();
	uint64_t age_us = now_us - conn->begun_us;

	conn->handshake = NULL;
	if (age_us >= HANDSHAKE_TIMEOUT_US) {
		conn_fail(conn, conn->connected ? "handshake_timeout" : "connect_timeout",
			  conn->connected ? "no proof within 1 s" : "not connected within 1 s");
		return;
	}
	if (!conn->connected && now_us >= conn->retry_us)
		connect_again(conn, now_us);
	if (!conn->closed && !set_handshake_timer(conn, now_us))
		conn_fail(conn, "memory", "out of memory for a timer");
	/* The callback may use this connection, so it comes last. */
	if (!conn->closed && conn->initiator && age_us >= WAITING_MAX_US && conn->waiting_bytes)
		drop_waiting(conn);
}

/* Takes over the socket; closes it and returns NULL when out of memory. */
struct peer_conn *io_peer_conn_create(struct io_peers *peers, int fd, bool initiator)
{
	struct peer_conn *conn = calloc(1, sizeof(*conn));
	int on = 1;

	if (!conn) {
		close(fd);
		return NULL;
	}
	/* A ping must not wait for the acknowledgement of an earlier segment. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->peers = peers;
	conn->fd = fd;
	conn->initiator = initiator;
	conn->connected = !initiator;
	conn->used_us = io_now_us();
	conn->begun_us = conn->used_us;
	conn->retry_delay_us = CONNECT_RETRY_US;
	conn->retry_us = conn->begun_us + CONNECT_RETRY_US;
	conn->link = wire_link_create(peers->ctx, peers->own_id, peers->key, peers->key_bytes,
				      initiator, &link_ops, conn);
	conn->watch = conn->link ? io_watch_add(peers->loop, fd, initiator ? IO_WRITE : IO_READ,
						on_conn_event, conn)
				 : NULL;
	if (!conn->watch || !set_handshake_timer(conn, conn->begun_us)) {
		io_watch_remove(conn->watch);
		wire_link_destroy(conn->link);
		close(fd);
		free(conn);
		return NULL;
	}
	return conn;
}

/* Queues a packed frame, after those that wait for the proof if it has not arrived. */
void io_peer_conn_queue(struct peer_conn *conn, const uint8_t *frame, size_t frame_bytes)
{
	bool queued;

	if (conn_queued_bytes(conn) + frame_bytes > WIRE_QUEUE_MAX_BYTES) {
		conn_fail(conn, "queue_full", "the peer takes messages too slowly");
		return;
	}
	queued = conn->ready ? out_append(conn, frame, frame_bytes)
			     : waiting_append(conn, frame, frame_bytes);
	if (!queued) {
		conn_fail(conn, "memory", "out of memory for output");
		return;
	}
	conn_touch(conn);
	io_peer_conn_flush(conn);
}
