#ifndef BC_NODE_H
#define BC_NODE_H

/*
 * One proxy: connects the library's modules and runs callers' requests at endpoints. It does no I/O
 * of its own: it calls out through four tables of callbacks, and every function that handles an
 * event is passed the current time.
 */

#include "config/config.h"
#include "drain/drain.h"
#include "session/session.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A caller's HTTP request. The strings are borrowed; NULL if absent. */
struct nod_request {
	const char *method;
	const char *path;
	const char *authorization;
	const char *session_token;
	const char *idempotency_key;
	const char *traceparent;
	const char *request_id;
	const char *body;
};

struct nod_reply {
	uint32_t status;
	const char *session_token; /* NULL: the header is left out */
	const char *traceparent;
	json_t *body; /* borrowed */
};

struct nod_caller_ops {
	void (*reply)(void *data, uint64_t request, const struct nod_reply *reply);
};

/* A call to an endpoint or to the platform. Its result is passed to nod_answer() with this id. */
struct nod_call {
	uint64_t id;
	const char *target; /* endpoint id; NULL for the platform */
	const char *address;
	const char *method;
	const char *path;
	const char *body;	 /* JSON text, or NULL */
	const char *traceparent; /* or NULL */
	uint64_t timeout_us;
};

struct nod_call_ops {
	void (*call)(void *data, const struct nod_call *call);
	void (*cancel)(void *data, uint64_t call);
};

enum nod_call_result { NOD_CALL_ANSWERED, NOD_CALL_NOT_SENT, NOD_CALL_LOST };

struct nod_answer {
	enum nod_call_result result;
	uint32_t status;
	const char *body;
};

struct nod_peer_ops {
	void (*send)(void *data, const char *address, const struct wire_message *message);
};

struct nod_callbacks {
	struct nod_caller_ops callers;
	struct nod_call_ops endpoints;
	struct nod_call_ops platform;
	struct nod_peer_ops peers;
	/* The drain has ended; its timeout cut off `cut_off` requests. */
	void (*stopped)(void *data, uint32_t cut_off);
	void *data;
};

struct nod_node;

/* Borrows the key ring. `incarnation` must be greater at each start of a process on the same VM. */
struct nod_node *nod_create(struct bc_ctx *ctx, const struct cfg_settings *settings,
			    struct ses_keyring *ring, uint64_t incarnation,
			    const struct nod_callbacks *callbacks, uint64_t now_us);
void nod_destroy(struct nod_node *node);
void nod_request(struct nod_node *node, uint64_t request, const struct nod_request *fields,
		 uint64_t unix_now_s, uint64_t now_us);
void nod_answer(struct nod_node *node, uint64_t call, const struct nod_answer *answer,
		uint64_t now_us);
void nod_peer_message(struct nod_node *node, const char *peer, const struct wire_message *message,
		      uint64_t now_us);
/* The interval at which the caller runs nod_tick(). */
#define NOD_TICK_US (10 * BC_US_PER_MS)
void nod_tick(struct nod_node *node, uint64_t now_us);
/* Begins a graceful shutdown; ports->stopped is called at its end. */
void nod_drain(struct nod_node *node, uint64_t now_us);
/* Whether the load balancer should send callers to this proxy. */
bool nod_ready(const struct nod_node *node);
/* Membership, groups, configuration and pools, as a new reference. */
json_t *nod_status(struct nod_node *node, uint64_t now_us);
/* Updates the gauges; called before the metrics are written out. */
void nod_gauges_update(struct nod_node *node, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
