#ifndef BC_IO_PEERS_INTERNAL_H
#define BC_IO_PEERS_INTERNAL_H

/* Shared by peers.c (all connections) and peer_conn.c (one connection). */

#include "io/peers.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <sys/queue.h>
#include <sys/socket.h>

struct peer_conn {
	TAILQ_ENTRY(peer_conn) entry; /* in a list by time of last use, or in the closed list */
	struct io_peers *peers;
	struct wire_link *link;
	struct bud_holder *holder; /* NULL: buffers are not counted */
	struct io_watch *watch;
	struct io_timer *handshake_timer;
	uint64_t started_us;
	uint64_t retry_us;	 /* time of the next connect attempt */
	uint64_t retry_delay_us; /* delay between the last attempt and the next one */
	int fd;
	bool initiator;
	bool connected;
	bool ready;
	bool closed;
	bool skip_lost_callback; /* closed when idle, or already reported as lost */
	bool output_failed;
	char address[BC_ADDRESS_BYTES]; /* the peer's listen address; empty if accepted */
	char peer_id[BC_ID_BYTES];
	uint64_t last_used_us;
	/* out[out_start..out_end) is sent next; pending[] follows after the handshake */
	uint8_t *out;
	size_t out_start;
	size_t out_end;
	size_t out_capacity;
	uint8_t *pending;
	size_t pending_bytes;
};

TAILQ_HEAD(conn_list, peer_conn);

/* Messages sent since the last report, of one kind and path. */
struct peer_traffic {
	uint32_t messages;
	uint64_t bytes;
};

/* Paths are those inside a failure domain, and the others, on which frames are deflated. */
#define PEER_TRAFFIC_PATHS 2U
#define PEER_TRAFFIC_KINDS (WIRE_REPLY + 1U)

struct io_peers {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	apr_pool_t *pool;
	apr_hash_t *outgoing; /* address -> struct peer_conn */
	struct conn_list initiated;
	struct conn_list accepted;
	struct conn_list closed;
	size_t accepted_count;
	size_t unauthenticated_count;
	char own_id[BC_ID_BYTES];
	uint8_t *key;
	size_t key_bytes;
	io_peer_message_fn fn;
	io_peer_lost_fn on_lost;
	struct bud_budget *budget; /* NULL: buffers are not counted */
	void *data;
	struct sockaddr_storage source; /* listen address with port 0; AF_UNSPEC for a wildcard */
	int listen_fd;
	uint16_t port;
	struct io_watch *listen_watch;
	struct io_timer *sweep_timer;
	struct io_timer *reap_timer;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	struct peer_traffic traffic[PEER_TRAFFIC_KINDS][PEER_TRAFFIC_PATHS];
	uint64_t traffic_reported_us;
};

int io_peer_connect_socket(const struct io_peers *peers, const char *address);
void io_peer_count_failure(struct io_peers *peers, const char *reason);
struct peer_conn *io_peer_conn_create(struct io_peers *peers, int fd, bool initiator);
void io_peer_conn_close(struct peer_conn *conn);
void io_peer_conn_flush(struct peer_conn *conn);
void io_peer_conn_queue(struct peer_conn *conn, const uint8_t *frame, size_t frame_bytes);
void io_peer_free_closed(struct io_peers *peers);

#endif
