#include "io/peers_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define INITIATED_IDLE_TIMEOUT_US (60 * BC_US_PER_S)
/* Longer on the accepting side, so that the side that sends on the connection closes it first. */
#define ACCEPTED_IDLE_TIMEOUT_US (70 * BC_US_PER_S)
#define SWEEP_INTERVAL_US BC_US_PER_S
#define ACCEPTS_PER_EVENT 64U
#define LISTEN_BACKLOG 256
/*
 * Each member pings 2 others a second and is pinged by 2. A connection is kept for up to 70 s after
 * its last use, so about 240 are open.
 */
#define ACCEPTED_MAX 2048U
/* Keeps silent unauthenticated connections from using up ACCEPTED_MAX. */
#define UNAUTHENTICATED_MAX 256U

/* How often the messages sent are logged by kind. */
#define TRAFFIC_REPORT_INTERVAL_US (10 * BC_US_PER_S)

static const char *const kind_names[PEER_TRAFFIC_KINDS] = {[WIRE_MEMBER] = "member",
							   [WIRE_PUSH] = "push",
							   [WIRE_PULL] = "pull",
							   [WIRE_ORDER] = "order",
							   [WIRE_REPLY] = "reply"};

/* Logs and counts the messages sent since the last report, by kind and path. */
static void report_traffic(struct io_peers *peers, uint64_t now_us)
{
	json_t *report = json_object();
	char labels[64];
	uint32_t kind;
	uint32_t path;

	for (kind = 0; kind < PEER_TRAFFIC_KINDS; kind++) {
		for (path = 0; path < PEER_TRAFFIC_PATHS; path++) {
			const struct peer_traffic *sent = &peers->traffic[kind][path];
			char name[32];

			if (!sent->messages)
				continue;
			snprintf(labels, sizeof(labels), "kind=\"%s\",deflated=\"%u\"",
				 kind_names[kind], path);
			bc_counter_add(peers->ctx, "bulrushcleat_peer_messages_total", labels,
				       sent->messages);
			bc_counter_add(peers->ctx, "bulrushcleat_peer_message_bytes_total", labels,
				       sent->bytes);
			snprintf(name, sizeof(name), "%s%s", kind_names[kind],
				 path ? "_deflated" : "");
			json_object_set_new(report, name,
					    json_pack("[I,I]", (json_int_t)sent->messages,
						      (json_int_t)sent->bytes));
		}
	}
	if (json_object_size(report))
		bc_log(peers->ctx, BC_LOG_INFO, "peer_traffic", "{s:O}", "sent", report);
	json_decref(report);
	memset(peers->traffic, 0, sizeof(peers->traffic));
	peers->traffic_reported_us = now_us;
}

static void close_idle(struct io_peers *peers, struct conn_list *list, uint64_t idle_us)
{
	uint64_t now_us = io_now_us();
	struct peer_conn *conn;

	while ((conn = TAILQ_FIRST(list)) != NULL && now_us - conn->last_used_us >= idle_us) {
		bc_log(peers->ctx, BC_LOG_DEBUG, "peer_idle_closed", "{s:s}", "peer",
		       conn->peer_id);
		bc_counter_add(peers->ctx, "bulrushcleat_peer_idle_closed_total", NULL, 1);
		conn->skip_lost_callback = true;
		io_peer_conn_close(conn);
	}
}

/* Closes idle connections. Visits only those, because the lists are ordered by last use. */
static void on_sweep_timer(void *data)
{
	struct io_peers *peers = data;

	io_watch_set(peers->listen_watch, IO_READ);
	close_idle(peers, &peers->initiated, INITIATED_IDLE_TIMEOUT_US);
	close_idle(peers, &peers->accepted, ACCEPTED_IDLE_TIMEOUT_US);
	if (io_now_us() - peers->traffic_reported_us >= TRAFFIC_REPORT_INTERVAL_US)
		report_traffic(peers, io_now_us());
	peers->sweep_timer = io_timer_add(peers->loop, SWEEP_INTERVAL_US, on_sweep_timer, peers);
}

/* Sets the callback for lost connections and dropped messages. */
void io_peers_on_lost(struct io_peers *peers, io_peer_lost_fn fn)
{
	peers->on_lost = fn;
}

/* Counts the buffers of connections made from now on. */
void io_peers_set_budget(struct io_peers *peers, struct bud_budget *budget)
{
	peers->budget = budget;
}

static void accept_conn(struct io_peers *peers, int fd)
{
	struct peer_conn *conn;

	if (peers->accepted_count >= ACCEPTED_MAX ||
	    peers->unauthenticated_count >= UNAUTHENTICATED_MAX) {
		io_peer_count_failure(peers, "accept_limit");
		bc_log(peers->ctx, BC_LOG_WARN, "peer_accept_limit", "{s:I,s:I}", "accepted",
		       (json_int_t)peers->accepted_count, "unproven",
		       (json_int_t)peers->unauthenticated_count);
		close(fd);
		return;
	}
	conn = io_peer_conn_create(peers, fd, false);
	if (!conn) {
		io_peer_count_failure(peers, "memory");
		return;
	}
	TAILQ_INSERT_TAIL(&peers->accepted, conn, entry);
	peers->accepted_count++;
	peers->unauthenticated_count++;
	wire_link_start(conn->link);
	io_peer_conn_flush(conn);
}

/* Without free descriptors the socket stays readable: accepting pauses until on_sweep_timer(). */
static void on_accept_error(struct io_peers *peers, int error)
{
	io_peer_count_failure(peers, "accept");
	bc_log(peers->ctx, BC_LOG_ERROR, "peer_accept_failed", "{s:i}", "errno", error);
	io_watch_set(peers->listen_watch, 0);
}

static void on_accept(void *data, int fd, uint32_t events)
{
	struct io_peers *peers = data;
	uint32_t i;
	int error;

	(void)events;
	for (i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int peer_fd = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (peer_fd >= 0) {
			accept_conn(peers, peer_fd);
			continue;
		}
		error = errno;
		if (error == EINTR || error == ECONNABORTED)
			continue;
		if (error != EAGAIN && error != EWOULDBLOCK)
			on_accept_error(peers, error);
		return;
	}
}

/* Parses "IP:PORT" or "[IP6]:PORT". Returns the length of the socket address, 0 if malformed. */
static socklen_t parse_address(const char *text, struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	const char *colon = strrchr(text, ':');
	char host[BC_ADDRESS_BYTES];
	unsigned long port;
	size_t length;
	char *end;

	if (!colon || colon[1] < '0' || colon[1] > '9')
		return 0;
	port = strtoul(colon + 1, &end, 10);
	length = (size_t)(colon - text);
	if (*end || port > UINT16_MAX || length >= sizeof(host))
		return 0;
	memcpy(host, text, length);
	host[length] = '\0';
	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)port);
		return sizeof(*v4);
	}
	if (length < 2 || host[0] != '[' || host[length - 1] != ']')
		return 0;
	host[length - 1] = '\0';
	if (inet_pton(AF_INET6, host + 1, &v6->sin6_addr) != 1)
		return 0;
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons((uint16_t)port);
	return sizeof(*v6);
}

static void set_source(struct io_peers *peers, const struct sockaddr_storage *listen_address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&peers->source;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&peers->source;

	peers->source = *listen_address;
	/* The port is at the same place in sockaddr_in and sockaddr_in6. */
	v4->sin_port = 0;
	if ((v4->sin_family == AF_INET && v4->sin_addr.s_addr == htonl(INADDR_ANY)) ||
	    (v4->sin_family == AF_INET6 && IN6_IS_ADDR_UNSPECIFIED(&v6->sin6_addr)))
		memset(&peers->source, 0, sizeof(peers->source));
}

static enum bc_status start_listening(struct io_peers *peers, const char *address)
{
	struct sockaddr_storage socket_address;
	socklen_t length = parse_address(address, &socket_address);
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&socket_address;
	int on = 1;

	if (!length)
		return bc_fail(peers->ctx, BC_EINVAL, "%s is not IP:PORT", address);
	peers->listen_fd =
		socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->listen_fd < 0)
		return bc_fail(peers->ctx, BC_EIO, "cannot create a socket for peers: errno %d",
			       errno);
	/* Lets a restarted process bind its port while old connections are in TIME_WAIT. */
	setsockopt(peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(peers->listen_fd, (struct sockaddr *)&socket_address, length) != 0 ||
	    listen(peers->listen_fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(peers->listen_fd, (struct sockaddr *)&socket_address, &length) != 0)
		return bc_fail(peers->ctx, BC_EIO, "cannot listen on %s for peers: errno %d",
			       address, errno);
	/* The port is at the same place in sockaddr_in and sockaddr_in6. */
	peers->port = ntohs(v4->sin_port);
	set_source(peers, &socket_address);
	peers->listen_watch =
		io_watch_add(peers->loop, peers->listen_fd, IO_READ, on_accept, peers);
	return peers->listen_watch ? BC_OK : BC_EIO;
}

static void describe_metrics(struct bc_ctx *ctx)
{
	bc_metric_describe(ctx, "bulrushcleat_peer_failures_total",
			   "Peer connections and messages that failed, by reason.");
	bc_metric_describe(ctx, "bulrushcleat_peer_idle_closed_total",
			   "Peer connections closed after a minute without use.");
	bc_metric_describe(ctx, "bulrushcleat_peer_messages_total",
			   "Messages sent to peers, by kind and path.");
	bc_metric_describe(ctx, "bulrushcleat_peer_message_bytes_total",
			   "Bytes of messages sent to peers, by kind and path.");
}

/*
 * Listens on `address`. Returns NULL with the last message set on failure: BC_EINVAL for an invalid
 * address, id or key, BC_EIO if the address cannot be bound.
 */
struct io_peers *io_peers_create(struct bc_ctx *ctx, struct io_loop *loop, const char *own_id,
				 const char *address, const void *fleet_key, size_t key_bytes,
				 io_peer_message_fn fn, void *data)
{
	struct io_peers *peers;

	if (!bc_id_valid(own_id) || key_bytes == 0) {
		bc_fail(ctx, BC_EINVAL, "peers need a valid id and a fleet key");
		return NULL;
	}
	peers = calloc(1, sizeof(*peers));
	if (!peers)
		return NULL;
	peers->ctx = ctx;
	peers->loop = loop;
	peers->fn = fn;
	peers->data = data;
	peers->listen_fd = -1;
	peers->traffic_reported_us = io_now_us();
	memcpy(peers->own_id, own_id, strlen(own_id));
	TAILQ_INIT(&peers->initiated);
	TAILQ_INIT(&peers->accepted);
	TAILQ_INIT(&peers->closed);
	apr_pool_create(&peers->pool, NULL);
	peers->outgoing = apr_hash_make(peers->pool);
	describe_metrics(ctx);
	peers->key = malloc(key_bytes);
	if (!peers->key || start_listening(peers, address) != BC_OK) {
		io_peers_destroy(peers);
		return NULL;
	}
	memcpy(peers->key, fleet_key, key_bytes);
	peers->key_bytes = key_bytes;
	peers->sweep_timer = io_timer_add(loop, SWEEP_INTERVAL_US, on_sweep_timer, peers);
	return peers;
}

/* Closes all connections and frees the peers. Must not be called from the message callback. */
void io_peers_destroy(struct io_peers *peers)
{
	struct peer_conn *conn;

	if (!peers)
		return;
	while ((conn = TAILQ_FIRST(&peers->initiated)) != NULL)
		io_peer_conn_close(conn);
	while ((conn = TAILQ_FIRST(&peers->accepted)) != NULL)
		io_peer_conn_close(conn);
	io_peer_free_closed(peers);
	io_timer_cancel(peers->reap_timer);
	io_timer_cancel(peers->sweep_timer);
	io_watch_remove(peers->listen_watch);
	if (peers->listen_fd >= 0)
		close(peers->listen_fd);
	apr_pool_destroy(peers->pool);
	if (peers->key)
		explicit_bzero(peers->key, peers->key_bytes);
	free(peers->key);
	free(peers);
}

/* Returns the listening port. */
uint16_t io_peers_port(const struct io_peers *peers)
{
	return peers->port;
}

/* Returns the bytes of messages that the kernel has not accepted yet. */
size_t io_peers_unsent_bytes(const struct io_peers *peers)
{
	const struct peer_conn *conn;
	size_t bytes = 0;

	for (conn = TAILQ_FIRST(&peers->initiated); conn; conn = TAILQ_NEXT(conn, entry))
		bytes += conn->out_end - conn->out_start;
	return bytes;
}

/* Returns the bytes sent and received on all connections so far, including handshakes. */
void io_peers_traffic(const struct io_peers *peers, uint64_t *sent_bytes, uint64_t *received_bytes)
{
	*sent_bytes = peers->sent_bytes;
	*received_bytes = peers->received_bytes;
}

static void report_connect_failure(struct io_peers *peers, const char *address, const char *detail)
{
	io_peer_count_failure(peers, "connect");
	bc_log(peers->ctx, BC_LOG_WARN, "peer_connect_failed", "{s:s,s:s}", "address", address,
	       "detail", detail);
}

/* Binds a socket to the listen address, by which peers and relays identify this proxy. */
static bool bind_source(const struct io_peers *peers, int fd, const struct sockaddr_storage *to)
{
	bool is_v4 = to->ss_family == AF_INET;
	socklen_t length = is_v4 ? sizeof(struct sockaddr_in) : sizeof(struct sockaddr_in6);
	int on = 1;

	if (peers->source.ss_family != to->ss_family)
		return true;
	/* Without this, bind() picks a port from a range shared by all destinations. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	return bind(fd, (const struct sockaddr *)&peers->source, length) == 0;
}

/*
 * Opens a socket and starts to connect from the listen address. Returns -1 with errno set on
 * failure, EINVAL if `address` is not IP:PORT.
 */
int io_peer_connect_socket(const struct io_peers *peers, const char *address)
{
	struct sockaddr_storage socket_address;
	socklen_t length = parse_address(address, &socket_address);
	int error;
	int fd;

	if (!length || strlen(address) >= BC_ADDRESS_BYTES) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (bind_source(peers, fd, &socket_address) &&
	    (connect(fd, (struct sockaddr *)&socket_address, length) == 0 || errno == EINPROGRESS))
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

/* Opens a connection. An immediate failure is counted and logged; returns NULL then. */
static struct peer_conn *conn_open(struct io_peers *peers, const char *address)
{
	int fd = io_peer_connect_socket(peers, address);
	struct peer_conn *conn;
	char detail[128];

	if (fd < 0) {
		report_connect_failure(peers, address, strerror_r(errno, detail, sizeof(detail)));
		return NULL;
	}
	conn = io_peer_conn_create(peers, fd, true);
	if (!conn) {
		report_connect_failure(peers, address, "out of memory");
		return NULL;
	}
	snprintf(conn->address, sizeof(conn->address), "%s", address);
	TAILQ_INSERT_TAIL(&peers->initiated, conn, entry);
	apr_hash_set(peers->outgoing, conn->address, APR_HASH_KEY_STRING, conn);
	return conn;
}

/*
 * Sends a message to the peer that listens on `address`, connecting first if needed. The message is
 * dropped, which is counted and logged, if it cannot be packed, if the peer cannot be reached or
 * authenticated within 1 s, or if the queue would exceed WIRE_QUEUE_MAX_BYTES. In the last case the
 * connection is closed and the whole queue is dropped.
 */
void io_peers_send(struct io_peers *peers, const char *address, const struct wire_message *message)
{
	struct peer_conn *conn = apr_hash_get(peers->outgoing, address, APR_HASH_KEY_STRING);
	uint8_t *frame;
	size_t frame_bytes;

	if (wire_pack(peers->ctx, message, &frame, &frame_bytes) != BC_OK) {
		io_peer_count_failure(peers, "pack");
		bc_log(peers->ctx, BC_LOG_ERROR, "peer_message_invalid", "{s:s,s:s}", "address",
		       address, "detail", bc_last_message(peers->ctx));
		return;
	}
	peers->traffic[message->kind][message->compress].messages++;
	peers->traffic[message->kind][message->compress].bytes += frame_bytes;
	if (!conn)
		conn = conn_open(peers, address);
	if (conn)
		io_peer_conn_queue(conn, frame, frame_bytes);
	free(frame);
}
