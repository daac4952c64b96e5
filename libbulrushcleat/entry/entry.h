#ifndef BC_ENTRY_H
#define BC_ENTRY_H

/*
 * A proxy whose callers hold sessions by their connections: joins sessions and statements, groups,
 * copies of the store, membership, takeover and drain. It sees the outside through callbacks, and
 * gets the time with each event.
 */

#include "drain/drain.h"
#include "member/member.h"
#include "statement/statement.h"
#include "sync/sync.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Addresses that are asked before any member is known; a few suffice. */
#define ENT_SEEDS_MAX 8

struct ent_settings {
	char id[BC_ID_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	char peer_address[BC_ADDRESS_BYTES];
	char seeds[ENT_SEEDS_MAX][BC_ADDRESS_BYTES];
	uint32_t seed_count;
	uint64_t incarnation;	   /* grows with each start */
	uint64_t drain_notice_us;  /* from SIGTERM until idle sessions are closed */
	uint64_t drain_timeout_us; /* from SIGTERM until the process ends */
};

struct ent_service {
	char name[BC_ID_BYTES];
	uint32_t max_connections; /* of an endpoint, over all proxies */
	uint32_t sync_replicas;
};

/* A configuration, as the adapter decodes it. */
struct ent_config {
	uint64_t version;
	struct stm_route *routes; /* malloc'ed */
	size_t route_count;
	struct ent_service *services; /* malloc'ed */
	size_t service_count;
	uint64_t transaction_idle_us; /* 0: not stated */
};

struct ent_ports {
	struct stm_ops statements; /* those of callers and links; the rest is the entry's own */
	/* Decoders of the store's objects. BC_EINVAL with the last message if malformed. */
	enum bc_status (*decode_config)(void *data, const json_t *spec, struct ent_config *out);
	enum bc_status (*decode_endpoint)(void *data, const char *name, uint64_t revision,
					  const json_t *spec, struct grp_info *out);
	/* Reads of the store; answered by ent_sync_answer(). */
	void (*list)(void *data, enum syn_kind kind, const char *after, bool may_lag);
	void (*watch)(void *data, enum syn_kind kind, uint64_t revision,
		      const struct syn_wait *wait);
	void (*cancel)(void *data, enum syn_kind kind);
	/* Writes this proxy's own entry for the other proxies. */
	void (*announce)(void *data, const char *id, json_t *spec);
	/* Removes the entry of a proxy that is gone. */
	void (*forget)(void *data, const char *id);
	/* Answered by ent_looked(), ent_claimed() and ent_ordered(). */
	void (*look)(void *data, const char *group);
	void (*claim)(void *data, const char *group, uint64_t revision, json_t *spec);
	void (*order)(void *data, const char *group, const char *endpoint_id, uint64_t token);
	void (*peer_send)(void *data, const char *address, const struct wire_message *message);
	/* Entered a phase of the drain. */
	void (*draining)(void *data, enum drn_phase phase);
	void *data;
};

struct ent_entry;

struct ent_entry *ent_create(struct bc_ctx *ctx, const struct ent_settings *settings,
			     const struct ent_ports *ports, uint64_t now_us);
void ent_destroy(struct ent_entry *entry);
struct stm_engine *ent_statements(const struct ent_entry *entry);
void ent_sync_answer(struct ent_entry *entry, enum syn_kind kind, enum bc_status status,
		     const struct syn_page *page, uint64_t now_us);
void ent_announced(struct ent_entry *entry, enum bc_status status, uint64_t now_us);
void ent_looked(struct ent_entry *entry, const char *group, enum bc_status status,
		uint64_t revision, uint64_t now_us);
void ent_claimed(struct ent_entry *entry, const char *group, enum bc_status status,
		 uint64_t revision, uint64_t now_us);
void ent_ordered(struct ent_entry *entry, const char *group, enum bc_status status,
		 uint64_t now_us);
void ent_peer_message(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		      uint64_t now_us);
/*
 * The connection to a peer, known by its id or else by its address, is gone. `unsent`: it could not
 * be opened, and the peer has received nothing.
 */
void ent_peer_lost(struct ent_entry *entry, const char *peer, const char *address, bool unsent,
		   uint64_t now_us);
/* Whether new callers should be sent here. */
bool ent_ready(const struct ent_entry *entry);
/* Whether a configuration is known, so that an unknown database is really unknown. */
bool ent_configured(const struct ent_entry *entry);
/* Begins the drain. */
void ent_drain(struct ent_entry *entry, uint64_t now_us);
/* Whether sessions are closed as soon as they are idle. */
bool ent_closing(const struct ent_entry *entry);
/* When the next timer is due, and running those due. */
uint64_t ent_next_due(const struct ent_entry *entry);
void ent_run_due(struct ent_entry *entry, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
