#include "io/peers_internal.h"
#include "wire/wire_internal.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define FLEET_KEY "fleet key of the test"
#define PEERS 3

/* One proxy's peers and what it has received. All nodes share one loop. */
struct node {
	struct bc_ctx *ctx;
	struct io_peers *peers;
	char address[BC_ADDRESS_BYTES];
	uint32_t received;
	uint64_t last_revision;
	char last_peer[BC_ID_BYTES];
	size_t content_bytes;
};

static struct bc_ctx *loop_ctx;
static struct io_loop *loop;
static struct node nodes[PEERS];
static bool (*until)(void);

static void on_message(void *data, const char *peer_id, const struct wire_message *message)
{
	struct node *node = data;

	node->received++;
	node->last_revision = message->versions[0];
	node->content_bytes = message->content ? strlen(message->content) : 0;
	snprintf(node->last_peer, sizeof(node->last_peer), "%s", peer_id);
}

static void on_iteration_end(void *data)
{
	(void)data;
	if (until && until())
		io_loop_stop(loop);
}

static void on_timeout(void *data)
{
	*(bool *)data = true;
	io_loop_stop(loop);
}

/* Runs the loop until `condition` holds; false after timeout_ms. With NULL it runs that long. */
static bool run_until(bool (*condition)(void), uint64_t timeout_ms)
{
	bool timed_out = false;
	struct io_timer *timer;

	if (condition && condition())
		return true;
	timer = io_timer_add(loop, timeout_ms * BC_US_PER_MS, on_timeout, &timed_out);
	until = condition;
	io_loop_run(loop);
	until = NULL;
	if (!timed_out)
		io_timer_cancel(timer);
	return !timed_out;
}

static void node_start(struct node *node, const char *id, const char *key)
{
	memset(node, 0, sizeof(*node));
	node->ctx = bc_ctx_create(1);
	node->peers = io_peers_create(node->ctx, loop, id, "127.0.0.1:0", key, strlen(key),
				      on_message, node);
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->peers);
	snprintf(node->address, sizeof(node->address), "127.0.0.1:%u", io_peers_port(node->peers));
}

static void node_stop(struct node *node)
{
	io_peers_destroy(node->peers);
	bc_ctx_destroy(node->ctx);
	memset(node, 0, sizeof(*node));
}

static void nodes_start(void)
{
	static const char *const ids[PEERS] = {"vm-0", "vm-1", "vm-2"};
	size_t i;

	for (i = 0; i < PEERS; i++)
		node_start(&nodes[i], ids[i], FLEET_KEY);
}

static void nodes_stop(void)
{
	size_t i;

	for (i = 0; i < PEERS; i++)
		if (nodes[i].peers)
			node_stop(&nodes[i]);
	run_until(NULL, 1);
}

static uint64_t failures(const struct node *node, const char *reason)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	return bc_counter_value(node->ctx, "bulrushcleat_peer_failures_total", labels);
}

static void send_revision(struct node *from, const char *address, uint64_t revision)
{
	struct wire_message message = {.kind = WIRE_PULL, .versions[0] = revision};

	io_peers_send(from->peers, address, &message);
}

static bool node1_received_ten(void)
{
	return nodes[1].received == 10;
}

static bool each_received_one(void)
{
	return nodes[0].received && nodes[1].received && nodes[2].received;
}

static bool node1_received_one(void)
{
	return nodes[1].received > 0;
}

/* Guards against lost or reordered messages, and against a new connection for each message. */
static void test_exchange(void)
{
	uint64_t sent;
	uint64_t received;
	uint32_t i;

	nodes_start();
	for (i = 1; i <= 5; i++)
		send_revision(&nodes[0], nodes[1].address, i);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	for (; i <= 10; i++)
		send_revision(&nodes[0], nodes[1].address, i);
	CU_ASSERT_TRUE(run_until(node1_received_ten, 2000));
	CU_ASSERT_EQUAL(nodes[1].last_revision, 10);
	CU_ASSERT_STRING_EQUAL(nodes[1].last_peer, "vm-0");
	io_peers_traffic(nodes[0].peers, &sent, &received);
	/* One Hello and Proof, about 90 bytes, and 10 messages of 8 bytes. */
	CU_ASSERT(sent > 150 && sent < 250);
	CU_ASSERT(received > 80 && received < 150);
	for (i = 0; i < PEERS; i++)
		send_revision(&nodes[i], nodes[(i + 1) % PEERS].address, 1);
	nodes[1].received = 0;
	CU_ASSERT_TRUE(run_until(each_received_one, 2000));
	nodes_stop();
}

/* In a site that counts a reset for 4 s, connections have to work again before that. */
#define SILENCE_KNOWN_WITHIN_MS 4000U

/* Returns TCP_USER_TIMEOUT of a list's first connection; 0 if there is none or it is not set. */
static unsigned int unacknowledged_limit_ms(const struct conn_list *list)
{
	const struct peer_conn *conn = TAILQ_FIRST(list);
	unsigned int limit_ms = 0;
	socklen_t length = sizeof(limit_ms);

	if (!conn || getsockopt(conn->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, &length) != 0)
		return 0;
	return limit_ms;
}

/*
 * Guards against proxies that lose each other for good after their connections fell silent without
 * a reset: messages went on into the old connections, and each proxy took all others for dead.
 */
static void test_silent_connection(void)
{
	const struct conn_list *lists[2];
	size_t i;

	nodes_start();
	send_revision(&nodes[0], nodes[1].address, 1);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	lists[0] = &nodes[0].peers->initiated;
	lists[1] = &nodes[1].peers->accepted;
	for (i = 0; i < COUNT(lists); i++) {
		CU_ASSERT_TRUE(unacknowledged_limit_ms(lists[i]) > 0);
		CU_ASSERT_TRUE(unacknowledged_limit_ms(lists[i]) < SILENCE_KNOWN_WITHIN_MS);
	}
	nodes_stop();
}

static bool node1_received_document(void)
{
	return nodes[1].content_bytes > 0;
}

static uint32_t node1_expected;

static bool node1_received_expected(void)
{
	return nodes[1].received == node1_expected;
}

/* Writes an incompressible string, so that a frame is as large as its document. */
static void fill_incompressible(char *text, size_t bytes)
{
	unsigned short state[3] = {1};
	size_t i;

	for (i = 0; i + 1 < bytes; i++)
		text[i] = (char)(1 + nrand48(state) % 255);
	text[bytes - 1] = '\0';
}

/* Guards against mishandling frames that do not fit into one read or write. */
static void test_large_message(void)
{
	struct wire_message message = {.kind = WIRE_PUSH};
	uint64_t received;
	uint64_t sent;

	nodes_start();
	message.content = malloc(1024 * 1024);
	fill_incompressible(message.content, 1024 * 1024);
	io_peers_send(nodes[0].peers, nodes[1].address, &message);
	CU_ASSERT_TRUE(run_until(node1_received_document, 5000));
	CU_ASSERT_EQUAL(nodes[1].content_bytes, 1024 * 1024 - 1);
	/* Fills the socket's buffer; the rest must be sent when the socket is writable. */
	node1_expected = 1;
	do {
		io_peers_send(nodes[0].peers, nodes[1].address, &message);
		node1_expected++;
		io_peers_traffic(nodes[0].peers, &sent, &received);
	} while (sent > (node1_expected - 1) * 1024ULL * 1024ULL && node1_expected < 64);
	CU_ASSERT(node1_expected < 64);
	CU_ASSERT_TRUE(run_until(node1_received_expected, 5000));
	/* Nothing is sent before the handshake completes, so the queue reaches its limit. */
	CU_ASSERT_EQUAL(failures(&nodes[0], "queue_full"), 0);
	io_peers_send(nodes[0].peers, nodes[2].address, &message);
	io_peers_send(nodes[0].peers, nodes[2].address, &message);
	io_peers_send(nodes[0].peers, nodes[2].address, &message);
	CU_ASSERT_EQUAL(failures(&nodes[0], "queue_full"), 0);
	io_peers_send(nodes[0].peers, nodes[2].address, &message);
	CU_ASSERT_EQUAL(failures(&nodes[0], "queue_full"), 1);
	/* The next message opens a new connection. */
	send_revision(&nodes[0], nodes[2].address, 3);
	run_until(NULL, 100);
	CU_ASSERT_EQUAL(nodes[2].received, 1);
	CU_ASSERT_EQUAL(nodes[2].last_revision, 3);
	wire_message_clear(&message);
	nodes_stop();
}

/* Guards against a peer with another key, and an unreachable one that blocks the others. */
static void test_refused(void)
{
	static const struct {
		const char *address; /* NULL: that of a peer with the id and key below */
		const char *id;
		const char *key;
		const char *reason;
	} cases[] = {
		{"127.0.0.1:1", NULL, NULL, "connect"},
		{"127.0.0.1", NULL, NULL, "connect"},
		{"127.0.0.1:x", NULL, NULL, "connect"},
		{"127.0.0.1:70000", NULL, NULL, "connect"},
		{"host:7000", NULL, NULL, "connect"},
		{"[::1:7000", NULL, NULL, "connect"},
		{"", NULL, NULL, "connect"},
		{NULL, "vm-9", "another key", "auth"},
		{NULL, "vm-0", FLEET_KEY, "auth"},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct node other = {0};

		nodes_start();
		if (!cases[i].address)
			node_start(&other, cases[i].id, cases[i].key);
		send_revision(&nodes[0], cases[i].address ? cases[i].address : other.address, 1);
		run_until(NULL, 100);
		CU_ASSERT_EQUAL(
			failures(&nodes[0], cases[i].reason) + failures(&nodes[0], "closed"), 1);
		if (other.peers) {
			CU_ASSERT_EQUAL(other.received, 0);
			node_stop(&other);
		}
		/* Other peers can still be reached. */
		send_revision(&nodes[0], nodes[1].address, 2);
		CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
		nodes_stop();
	}
}

static int connect_to(const struct node *node)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(io_peers_port(node->peers))};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Whether the peer has closed the connection; pending input is discarded. */
static bool closed_by_peer(int fd)
{
	uint8_t buffer[4096];
	ssize_t length;

	do
		length = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	while (length > 0);
	return length == 0 || errno == ECONNRESET;
}

/* Guards against keeping unauthenticated connections that send malformed data or nothing. */
static void test_garbage(void)
{
	static const struct {
		const char *name;
		size_t length;
		const char *reason;
		uint64_t wait_ms;
		uint8_t bytes[80];
	} cases[] = {
		{"http", 16, "protocol", 100, "GET / HTTP/1.1\r\n"},
		{"over-long frame", 4, "protocol", 100, {0, 0, 2, 1}},
		{"malformed frame", 7, "protocol", 100, {0, 0, 0, 3, 255, 255, 255}},
		{"message before authentication", 6, "auth", 100, {0, 0, 0, 2, 0x3a, 0}},
		{"another version",
		 13,
		 "version",
		 100,
		 {0, 0, 0, 9, 0x1a, 7, 8, 2, 0x12, 1, 'b', 0x1a, 0}},
		{"truncated frame", 5, "handshake_timeout", 1200, {0, 0, 0, 9, 0x1a}},
		{"silence", 0, "handshake_timeout", 1200, {0}},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int fd;

		nodes_start();
		fd = connect_to(&nodes[1]);
		CU_ASSERT_EQUAL(send(fd, cases[i].bytes, cases[i].length, MSG_NOSIGNAL),
				(ssize_t)cases[i].length);
		run_until(NULL, cases[i].wait_ms);
		CU_ASSERT_EQUAL(failures(&nodes[1], cases[i].reason), 1);
		CU_ASSERT_TRUE(closed_by_peer(fd));
		CU_ASSERT_EQUAL(nodes[1].received, 0);
		send_revision(&nodes[0], nodes[1].address, 2);
		CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
		close(fd);
		nodes_stop();
	}
}

static bool node1_refused_some(void)
{
	return failures(&nodes[1], "accept_limit") >= 300 - 256;
}

/* Guards against many silent unauthenticated connections that use up the connection limit. */
static void test_many_unauthenticated(void)
{
	int fds[300];
	size_t i;

	nodes_start();
	for (i = 0; i < COUNT(fds); i++) {
		fds[i] = connect_to(&nodes[1]);
		/* This thread also runs the loop, so connect() would block on a full backlog. */
		if (i % 100 == 99)
			run_until(NULL, 10);
	}
	/* On a busy machine the loop needs longer to accept all of them. */
	run_until(node1_refused_some, 1000);
	run_until(NULL, 10);
	CU_ASSERT_EQUAL(failures(&nodes[1], "accept_limit"), COUNT(fds) - 256);
	run_until(NULL, 1200);
	CU_ASSERT_EQUAL(failures(&nodes[1], "handshake_timeout"), 256);
	send_revision(&nodes[0], nodes[1].address, 2);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	for (i = 0; i < COUNT(fds); i++)
		close(fds[i]);
	nodes_stop();
}

/* Guards against keeping messages for a peer that accepts connections but never responds. */
static void test_silent_listener(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char text[BC_ADDRESS_BYTES];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(fd, 1), 0);
	CU_ASSERT_EQUAL_FATAL(getsockname(fd, (struct sockaddr *)&address, &length), 0);
	snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
	nodes_start();
	send_revision(&nodes[0], text, 1);
	run_until(NULL, 900);
	CU_ASSERT_EQUAL(failures(&nodes[0], "handshake_timeout"), 0);
	run_until(NULL, 200);
	CU_ASSERT_EQUAL(failures(&nodes[0], "handshake_timeout"), 1);
	close(fd);
	nodes_stop();
}

/* Guards against not reconnecting to a restarted peer. */
static void test_restart(void)
{
	char address[BC_ADDRESS_BYTES];

	nodes_start();
	send_revision(&nodes[0], nodes[1].address, 1);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	memcpy(address, nodes[1].address, sizeof(address));
	node_stop(&nodes[1]);
	run_until(NULL, 20);
	nodes[1].ctx = bc_ctx_create(1);
	nodes[1].peers = io_peers_create(nodes[1].ctx, loop, "vm-1", address, FLEET_KEY,
					 strlen(FLEET_KEY), on_message, &nodes[1]);
	CU_ASSERT_PTR_NOT_NULL_FATAL(nodes[1].peers);
	send_revision(&nodes[0], address, 2);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	CU_ASSERT_EQUAL(nodes[1].last_revision, 2);
	nodes_stop();
}

/* Records the calls of on_lost(). */
static struct {
	uint32_t count;
	bool unsent;
	char address[BC_ADDRESS_BYTES];
} lost;

static void on_lost(void *data, const char *peer_id, const char *address, bool unsent)
{
	(void)data;
	(void)peer_id;
	lost.count++;
	lost.unsent = unsent;
	snprintf(lost.address, sizeof(lost.address), "%s", address);
}

static bool loss_reported(void)
{
	return lost.count > 0;
}

/*
 * Opens a listener whose SYNs are dropped, as by a VM without power: its backlog is full and never
 * accepted from. Sets `fds` to the listener and the connections that fill its backlog.
 */
static void listen_without_accepting(int fds[3], char address[BC_ADDRESS_BYTES])
{
	struct sockaddr_in listen_address = {.sin_family = AF_INET};
	socklen_t length = sizeof(listen_address);
	int on = 1;
	int i;

	listen_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fds[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fds[0], SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	CU_ASSERT_EQUAL_FATAL(
		bind(fds[0], (struct sockaddr *)&listen_address, sizeof(listen_address)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(fds[0], 0), 0);
	CU_ASSERT_EQUAL_FATAL(getsockname(fds[0], (struct sockaddr *)&listen_address, &length), 0);
	for (i = 1; i < 3; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		CU_ASSERT(connect(fds[i], (struct sockaddr *)&listen_address,
				  sizeof(listen_address)) == 0 ||
			  errno == EINPROGRESS);
	}
	snprintf(address, BC_ADDRESS_BYTES, "127.0.0.1:%u", ntohs(listen_address.sin_port));
}

static void close_all(int fds[3])
{
	int i;

	/* Closes the connections first, so that none is left on the port for the next listener. */
	for (i = 2; i >= 0; i--)
		close(fds[i]);
}

/*
 * Load pattern: all VMs start within some tenths of a second after a power failure, and each
 * connects to others before they listen. Guards against waiting for the kernel, which retransmits a
 * SYN only after 1 s.
 */
static void test_load_of_a_start(void)
{
	char address[BC_ADDRESS_BYTES];
	int fds[3];

	nodes_start();
	node_stop(&nodes[1]);
	listen_without_accepting(fds, address);
	send_revision(&nodes[0], address, 7);
	run_until(NULL, 100);
	close_all(fds);
	nodes[1].ctx = bc_ctx_create(1);
	nodes[1].peers = io_peers_create(nodes[1].ctx, loop, "vm-1", address, FLEET_KEY,
					 strlen(FLEET_KEY), on_message, &nodes[1]);
	CU_ASSERT_PTR_NOT_NULL_FATAL(nodes[1].peers);
	/* The second attempt is due 150 ms after the first one. */
	CU_ASSERT_TRUE(run_until(node1_received_one, 290));
	CU_ASSERT_EQUAL(nodes[1].last_revision, 7);
	nodes_stop();
}

/* Guards against messages that are queued long for an unreachable peer and then run late. */
static void test_unsent(void)
{
	char address[BC_ADDRESS_BYTES];
	int fds[3];

	memset(&lost, 0, sizeof(lost));
	nodes_start();
	io_peers_on_lost(nodes[0].peers, on_lost);
	listen_without_accepting(fds, address);
	send_revision(&nodes[0], address, 7);
	CU_ASSERT_FALSE(run_until(loss_reported, 300));
	CU_ASSERT_TRUE(run_until(loss_reported, 200));
	CU_ASSERT_TRUE(lost.unsent);
	CU_ASSERT_STRING_EQUAL(lost.address, address);
	close_all(fds);
	/* Messages to an authenticated peer may have arrived. */
	send_revision(&nodes[0], nodes[1].address, 8);
	CU_ASSERT_TRUE(run_until(node1_received_one, 2000));
	run_until(NULL, 800);
	lost.count = 0;
	node_stop(&nodes[1]);
	CU_ASSERT_TRUE(run_until(loss_reported, 500));
	CU_ASSERT_FALSE(lost.unsent);
	nodes_stop();
}

static bool node1_received_from_vm2(void)
{
	return nodes[1].received > 0 && strcmp(nodes[1].last_peer, "vm-2") == 0;
}

/* Guards against counting authenticated peers as unauthenticated until no more are accepted. */
static void test_many_restarts(void)
{
	uint32_t i;

	nodes_start();
	for (i = 0; i < 300; i++) {
		node_stop(&nodes[2]);
		node_start(&nodes[2], "vm-2", FLEET_KEY);
		nodes[1].received = 0;
		send_revision(&nodes[2], nodes[1].address, i);
		CU_ASSERT_TRUE_FATAL(run_until(node1_received_from_vm2, 2000));
	}
	CU_ASSERT_EQUAL(failures(&nodes[1], "accept_limit"), 0);
	nodes_stop();
}

/* Guards against starting with an invalid address, id or key, or on a port in use. */
static void test_create_refused(void)
{
	char address_in_use[BC_ADDRESS_BYTES];
	const struct {
		const char *id;
		const char *address;
		const char *key;
	} cases[] = {{"vm-1", "nowhere", FLEET_KEY},
		     {"vm-1", "127.0.0.1", FLEET_KEY},
		     {"vm-1", address_in_use, FLEET_KEY},
		     {"vm/1", "127.0.0.1:0", FLEET_KEY},
		     {"vm-1", "127.0.0.1:0", ""}};
	size_t i;

	nodes_start();
	memcpy(address_in_use, nodes[0].address, sizeof(address_in_use));
	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_PTR_NULL(io_peers_create(nodes[0].ctx, loop, cases[i].id,
						   cases[i].address, cases[i].key,
						   strlen(cases[i].key), on_message, NULL));
	nodes_stop();
}

int main(void)
{
	CU_TestInfo tests[] = {{"exchange", test_exchange},
			       {"silent_connection", test_silent_connection},
			       {"large_message", test_large_message},
			       {"refused", test_refused},
			       {"garbage", test_garbage},
			       {"many_unauthenticated", test_many_unauthenticated},
			       {"silent_listener", test_silent_listener},
			       {"restart", test_restart},
			       {"load_of_a_start", test_load_of_a_start},
			       {"unsent", test_unsent},
			       {"many_restarts", test_many_restarts},
			       {"create_refused", test_create_refused},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"peers", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failed;

	loop_ctx = bc_ctx_create(1);
	loop = io_loop_create(loop_ctx);
	io_loop_on_iteration(loop, on_iteration_end, NULL);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	io_loop_destroy(loop);
	bc_ctx_destroy(loop_ctx);
	return failed ? 1 : 0;
}
