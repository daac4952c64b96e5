#ifndef BC_IO_PEERS_INTERNAL_H
#define BC_IO_PEERS_INTERNAL_H

/* Shared by the set of peers (peers.c) and one connection (peer_conn.c). */

#include "io/peers.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <sys/queue.h>
#include <sys/socket.h>

struct peer_conn {
	TAILQ_ENTRY(peer_conn) entry; /* by time of last use, or in the list of closed ones */
	struct io_peers *peers;
	struct wire_link *link;
	struct io_watch *watch;
	struct io_timer *handshake;
	uint64_t begun_us;
	uint64_t retry_us;	 /* when connecting begins anew */
	uint64_t retry_delay_us; /* before the next time */
	int fd;
	bool initiator;
	bool connected;
	bool ready;
	bool closed;
	bool idle; /* closed since it was not used */
	bool output_failed;
	char address[BC_ADDRESS_BYTES]; /* of the listening peer; empty if accepted */
	char peer_id[BC_ID_BYTES];
	uint64_t used_us;
	/* out[out_start..out_end) goes to the socket; waiting[] follows once the link is ready */
	uint8_t *out;
	size_t out_start;
	size_t out_end;
	size_t out_size;
	uint8_t *waiting;
	size_t waiting_bytes;
};

TAILQ_HEAD(conn_list, peer_conn);

struct io_peers {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	apr_pool_t *pool;
	apr_hash_t *outgoing; /* address -> struct peer_conn */
	struct conn_list initiated;
	struct conn_list accepted;
	struct conn_list closed;
	size_t accepted_count;
	size_t unproven_count;
	char own_id[BC_ID_BYTES];
	uint8_t *key;
	size_t key_bytes;
	io_peer_message_fn fn;
	io_peer_lost_fn lost;
	void *data;
	struct sockaddr_storage source; /* listen address, port 0; no family: a wildcard */
	int listen_fd;
	uint16_t port;
	struct io_watch *listen_watch;
	struct io_timer *sweep;
	struct io_timer *reap;
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

int io_peer_socket(const struct io_peers *peers, const char *address);
void io_peer_count_failure(struct io_peers *peers, const char *reason);
struct peer_conn *io_peer_conn_create(struct io_peers *peers, int fd, bool initiator);
void io_peer_conn_close(struct peer_conn *conn);
void io_peer_conn_flush(struct peer_conn *conn);
void io_peer_conn_queue(struct peer_conn *conn, const uint8_t *frame, size_t frame_bytes);
void io_peer_free_closed(struct io_peers *peers);

#endif
