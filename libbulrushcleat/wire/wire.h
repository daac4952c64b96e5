#ifndef BC_WIRE_H
#define BC_WIRE_H

/* Messages between proxies: length-prefixed protobuf frames after an authenticated handshake. */

#include "member/member.h"
#include "quota/quota.h"
#include "sql/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WIRE_VERSION 1U
#define WIRE_FRAME_MAX_BYTES (1024U * 1024U + 64U * 1024U)
#define WIRE_QUEUE_MAX_BYTES (4U * 1024U * 1024U)
#define WIRE_HINTS_MAX 32U
#define WIRE_DOCUMENT_COUNT 3U
#define WIRE_CONTENT_MAX_BYTES (1024U * 1024U)

/* A known primary, sent to peers so that they do not have to find it by a refused statement. */
struct wire_hint {
	char database[BC_ID_BYTES];
	uint64_t term;
	char primary[BC_ID_BYTES];
	bool unreachable; /* the sender cannot reach the primary, or knows none if it is empty */
};

enum wire_kind { WIRE_MEMBER, WIRE_PUSH, WIRE_PULL, WIRE_ORDER, WIRE_REPLY, WIRE_QUOTA };

struct wire_message {
	enum wire_kind kind;
	struct mem_message member; /* WIRE_MEMBER */
	/* In every message: the versions of the sender's configuration, groups and VM list. */
	uint64_t versions[WIRE_DOCUMENT_COUNT];
	uint64_t eras[WIRE_DOCUMENT_COUNT]; /* eras of the store that the versions belong to */
	bool config_confirmed;		    /* the store has confirmed the sender's configuration */
	uint32_t config_confirmed_age_ms;   /* how long before the message was sent */
	char config_confirmed_for[BC_ID_BYTES]; /* proxy that the store answered; empty: the sender
						 */
	bool compress; /* local only: the path to the peer has low bandwidth; the frame is deflated
			*/
	uint32_t hint_count;
	struct wire_hint hints[WIRE_HINTS_MAX];
	uint32_t document;	/* WIRE_PUSH, WIRE_PULL: 0 configuration, 1 groups, 2 VM list */
	uint64_t version;	/* WIRE_PUSH */
	uint64_t since;		/* WIRE_PULL: only changes after this version are needed; 0: all */
	struct sql_order order; /* WIRE_ORDER */
	struct sql_reply reply; /* WIRE_REPLY */
	/* WIRE_QUOTA; the items of an unpacked message are malloc'ed. */
	struct qta_message quota;
	/* malloc'ed. WIRE_PUSH: the document as JSON; an unpacked order or reply: its strings. */
	char *content;
};

/* Packs a message into a malloc'ed frame with its length prefix. */
enum bc_status wire_pack(struct bc_ctx *ctx, const struct wire_message *message, uint8_t **frame,
			 size_t *frame_bytes);
/* Unpacks a frame's content (without the prefix). BC_EINVAL if malformed or out of range. */
enum bc_status wire_unpack(struct bc_ctx *ctx, const uint8_t *data, size_t bytes,
			   struct wire_message *message);
void wire_message_clear(struct wire_message *message);

/*
 * The protocol state of one peer connection, independent of its socket: it takes the received bytes
 * and returns messages and the bytes to send. In the handshake both sides send a Hello with
 * version, id and nonce, then a Proof: an HMAC-SHA256 with the fleet key over the role, both ids
 * and both nonces.
 */
struct wire_link;

struct wire_link_ops {
	/* Sends bytes to the peer. */
	void (*output)(void *data, const uint8_t *bytes, size_t length);
	/* The handshake is complete: the peer has proved that it knows the fleet key. */
	void (*ready)(void *data, const char *peer_id);
	/* A message has been received; it is freed after the call. */
	void (*message)(void *data, const struct wire_message *message);
};

struct wire_link *wire_link_create(struct bc_ctx *ctx, const char *own_id, const void *fleet_key,
				   size_t key_bytes, bool initiator,
				   const struct wire_link_ops *ops, void *data);
void wire_link_destroy(struct wire_link *link);
/* Sends the Hello. */
void wire_link_start(struct wire_link *link);
/* The size of the buffer for input. */
size_t wire_link_buffer_bytes(const struct wire_link *link);
/* Processes received bytes. On any status but BC_OK, close the connection; see the last message. */
enum bc_status wire_link_input(struct wire_link *link, const uint8_t *bytes, size_t length);
/* Sends a message. BC_EAGAIN before the link is ready. */
enum bc_status wire_link_send(struct wire_link *link, const struct wire_message *message);

#ifdef __cplusplus
}
#endif

#endif
