#ifndef BC_IO_PEERS_H
#define BC_IO_PEERS_H

/* TCP connections between proxies, each with a wire_link; opened on demand, closed when idle. */

#include "budget/budget.h"
#include "io/io.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

struct io_peers;

typedef void (*io_peer_message_fn)(void *data, const char *peer_id,
				   const struct wire_message *message);

/* Listens on `address` ("IP:PORT"; port 0 selects a free one). */
struct io_peers *io_peers_create(struct bc_ctx *ctx, struct io_loop *loop, const char *own_id,
				 const char *address, const void *fleet_key, size_t key_bytes,
				 io_peer_message_fn fn, void *data);
void io_peers_destroy(struct io_peers *peers);
/*
 * The id or address is empty if unknown. `unsent`: the peer has received none of the messages sent
 * to it since its last connection was lost.
 */
typedef void (*io_peer_lost_fn)(void *data, const char *peer_id, const char *address, bool unsent);
/*
 * Calls fn when a connection to or from a peer ends for another reason than idleness, and when
 * messages are dropped because no connection can be opened.
 */
void io_peers_on_lost(struct io_peers *peers, io_peer_lost_fn fn);
/* Counts the buffers of connections made from now on in this budget, which outlives the peers. */
void io_peers_set_budget(struct io_peers *peers, struct bud_budget *budget);
uint16_t io_peers_port(const struct io_peers *peers);
/* Sends a message, connecting if needed; it is dropped if the peer cannot be reached in time. */
void io_peers_send(struct io_peers *peers, const char *address, const struct wire_message *message);
/* Returns the bytes of messages that the kernel has not accepted yet. */
size_t io_peers_unsent_bytes(const struct io_peers *peers);
/* Returns the bytes sent and received so far, for the traffic counters. */
void io_peers_traffic(const struct io_peers *peers, uint64_t *sent_bytes, uint64_t *received_bytes);

#ifdef __cplusplus
}
#endif

#endif
