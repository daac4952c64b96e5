#ifndef BC_ENTRY_H
#define BC_ENTRY_H

/*
 * A proxy in which each session belongs to one caller connection. Combines the modules for
 * statements, groups, copies of the store, membership, takeover and drain. All I/O goes through
 * callbacks, and each event carries the current time.
 */

#include "account/account.h"
#include "drain/drain.h"
#include "member/member.h"
#include "quota/quota.h"
#include "statement/statement.h"
#include "sync/sync.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Peer addresses that are contacted before any member is known; a few are enough. */
#define ENT_SEEDS_MAX 8

struct ent_settings {
	char id[BC_ID_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	char peer_address[BC_ADDRESS_BYTES];
	char seeds[ENT_SEEDS_MAX][BC_ADDRESS_BYTES];
	uint32_t seed_count;
	uint64_t incarnation;	      /* increases with each start */
	uint64_t link_bits_per_s;     /* of the VM's network link; 0: unknown */
	uint64_t drain_notice_us;     /* from SIGTERM until idle sessions are closed */
	uint64_t drain_refuse_us;     /* from SIGTERM until new work is refused */
	uint64_t drain_timeout_us;    /* from SIGTERM until the process ends */
	uint64_t endpoint_leaving_us; /* from an endpoint's report that it leaves; 0: no limit */
	enum grp_balance balance;     /* of reads over the endpoints of a group */
	struct qta_tolerance limit_tolerance; /* of the accounts' limits */
};

struct ent_service {
	char name[BC_ID_BYTES];
	uint32_t max_connections; /* per endpoint, all proxies together */
	uint32_t sync_replicas;
};

struct acc_table;

/* A decoded configuration object. */
struct ent_config {
	uint64_t version;
	struct stm_route *routes; /* malloc'ed */
	size_t route_count;
	struct ent_service *services; /* malloc'ed */
	size_t service_count;
	uint64_t transaction_idle_us; /* 0: not set */
	struct acc_table *accounts;   /* owned; NULL: the configuration has no accounts */
};

struct ent_ops {
	/* Callbacks for callers and links; the entry module sets the others itself. */
	struct stm_ops statements;
	/* Decode objects of the store. BC_EINVAL, with the last message set, if malformed. */
	enum bc_status (*decode_config)(void *data, const json_t *spec, struct ent_config *out);
	enum bc_status (*decode_endpoint)(void *data, const char *name, uint64_t revision,
					  const json_t *spec, struct grp_info *out);
	/* Read the store. Completed by ent_sync_answer(). */
	void (*list)(void *data, enum syn_kind kind, const char *after, bool stale_ok);
	void (*watch)(void *data, enum syn_kind kind, uint64_t revision,
		      const struct syn_refresh *refresh);
	void (*cancel_read)(void *data, enum syn_kind kind);
	/* Writes this proxy's own entry to the store. Completed by ent_proxy_registered(). */
	void (*register_proxy)(void *data, const char *id, json_t *spec);
	/* Deletes the entry of a dead proxy from the store. */
	void (*remove_proxy)(void *data, const char *id);
	/* Reads the version of the group's claim object. Completed by ent_claim_read(). */
	void (*read_claim)(void *data, const char *group);
	/* Writes the claim object if its revision is unchanged. Completed by ent_claim_written().
	 */
	void (*write_claim)(void *data, const char *group, uint64_t revision, json_t *spec);
	/*
	 * Read and write the claim to count a shard of the accounts, as above. Completed by
	 * ent_limit_claim_read() and ent_limit_claim_written(). NULL: rates are not limited.
	 */
	void (*read_limit_claim)(void *data, uint32_t shard);
	void (*write_limit_claim)(void *data, uint32_t shard, uint64_t revision, json_t *spec);
	/* Requests the promotion of an endpoint. Completed by ent_promotion_answered(). */
	void (*promote)(void *data, const char *group, const char *endpoint_id, uint64_t token);
	void (*peer_send)(void *data, const char *address, const struct wire_message *message);
	/* Reports that the drain has entered this phase. */
	void (*draining)(void *data, enum drn_phase phase);
	/*
	 * The callers without a session, for which a drain waits as for sessions. NULL: there are
	 * none.
	 */
	uint32_t (*callers_without_session)(void *data);
	void *data;
};

struct ent_entry;

struct ent_entry *ent_create(struct bc_ctx *ctx, const struct ent_settings *settings,
			     const struct ent_ops *ops, uint64_t now_us);
void ent_destroy(struct ent_entry *entry);
struct stm_engine *ent_statements(const struct ent_entry *entry);
void ent_sync_answer(struct ent_entry *entry, enum syn_kind kind, enum bc_status status,
		     const struct syn_page *page, uint64_t now_us);
void ent_proxy_registered(struct ent_entry *entry, enum bc_status status, uint64_t now_us);
void ent_claim_read(struct ent_entry *entry, const char *group, enum bc_status status,
		    struct bc_version version, uint64_t now_us);
void ent_claim_written(struct ent_entry *entry, const char *group, enum bc_status status,
		       struct bc_version version, uint64_t now_us);
/* BC_ENOTFOUND: there is no claim. `spec` is borrowed, NULL if there is none. */
void ent_limit_claim_read(struct ent_entry *entry, uint32_t shard, enum bc_status status,
			  uint64_t revision, const json_t *spec, uint64_t now_us);
void ent_limit_claim_written(struct ent_entry *entry, uint32_t shard, enum bc_status status,
			     uint64_t revision, uint64_t now_us);
void ent_promotion_answered(struct ent_entry *entry, const char *group, enum bc_status status,
			    uint64_t now_us);
void ent_peer_message(struct ent_entry *entry, const char *peer, const struct wire_message *message,
		      uint64_t now_us);
/*
 * The connection to a peer was lost. The peer is identified by its id, or by its address if the id
 * is empty. `unsent`: the connection could not be opened, so the peer has received nothing.
 */
void ent_peer_lost(struct ent_entry *entry, const char *peer, const char *address, bool unsent,
		   uint64_t now_us);
/* Returns whether the proxy should receive new callers. */
bool ent_ready(const struct ent_entry *entry);
/* Returns whether a configuration is in force; until then no database is reported as unknown. */
bool ent_configured(const struct ent_entry *entry);
/* Returns the version of the configuration in force; 0 if there is none. */
uint64_t ent_config_version(const struct ent_entry *entry);
/* Starts the drain. */
void ent_drain(struct ent_entry *entry, uint64_t now_us);
/* Returns whether sessions are closed as soon as they are idle. */
bool ent_is_closing(const struct ent_entry *entry);
/* Returns whether sessions may be opened, until the drain refuses new work. */
bool ent_admits_sessions(const struct ent_entry *entry);
/* Returns the time of the next timer. */
uint64_t ent_next_due(const struct ent_entry *entry);
/* Runs the expired timers. */
void ent_run_due(struct ent_entry *entry, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
