#ifndef BC_ENTRY_INTERNAL_H
#define BC_ENTRY_INTERNAL_H

/*
 * Shared by the files of the module: entry.c (creation, drain), relay.c (which proxies connect to
 * an endpoint and relay statements for the others), roster.c (members by failure domain),
 * discovery.c (configuration, endpoints and proxies from the store), dead_members.c (removal of the
 * entries of dead proxies), peer.c (messages between proxies), leader.c (takeover, and other
 * proxies' reports about a leader), limits.c (rate limits of accounts).
 */

#include "entry/entry.h"
#include "follow/follow.h"
#include "takeover/takeover.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* A delayed request to a peer that has a newer copy of a kind than this proxy. */
struct ent_pending_pull {
	struct ent_entry *entry;
	enum syn_kind kind;
	struct bc_version version;
	char address[BC_ADDRESS_BYTES];
	uint32_t offers;       /* peers that have offered a first copy since the timer was set */
	struct bc_timer timer; /* sends the request */
};

/* The other proxies' replies about a leader that does not answer this proxy. */
struct ent_leader_poll {
	char group[BC_ID_BYTES];
	uint32_t asked;			  /* proxies asked in the last poll */
	uint32_t replied;		  /* of those, with whatever content */
	char reaching_proxy[BC_ID_BYTES]; /* a proxy that the leader answers */
	uint64_t reached_until_us;	  /* reaching_proxy is valid until then */
};

/* The members of a failure domain that can take statements. */
struct ent_roster_domain {
	const char *name;
	const char *region;
	const struct mem_update **members;
	uint32_t count;
};

struct ent_roster;
struct ent_limits;

struct ent_entry {
	struct bc_ctx *ctx;
	struct ent_settings settings;
	struct ent_ops ops;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct stm_engine *statements;
	struct syn_state *sync;
	struct flw_state *follow;
	struct tko_state *takeover;
	struct mem_state *members;
	struct ent_roster *roster;
	struct drn_state *drain;
	struct ent_limits *limits; /* NULL: rates are not limited */
	struct ent_config config;
	apr_pool_t *routes_pool;
	apr_hash_t *routes; /* database -> struct stm_route */
	apr_pool_t *pool;
	apr_hash_t *leader_polls;     /* group -> struct ent_leader_poll */
	apr_hash_t *relays;	      /* endpoint id -> struct relays */
	apr_hash_t *relay_paths;      /* "proxy" or "proxy endpoint" -> struct relay_path */
	apr_hash_t *pending_removals; /* endpoint id -> struct pending_removal */
	apr_hash_t *dead_members;     /* proxy id -> struct dead_member */
	struct bc_timer member_timer;
	struct bc_timer drain_timer;
	struct bc_timer pull_timer;
	struct bc_timer registration_timer;
	struct ent_pending_pull pending_pull[SYN_KINDS];
	uint64_t created_us;
	uint64_t copies_budget_used_until_us; /* send budget spent on full copies until then */
	char document_sender[BC_ID_BYTES];    /* peer whose document is being applied, or empty */
	bool duty_changed;		      /* the watch duty must be checked again */
	bool members_changed;		      /* since the last ent_members_apply() */
	bool own_entry_stored;	   /* the store has this proxy's entry with its current values */
	bool registration_started; /* the entry has been written, or its write is scheduled */
	uint32_t registration_failures;
	uint32_t live_proxies; /* as of the last computation of the allowances */
};

/* entry.c */
bool ent_own_entry_matches(const struct ent_entry *entry, const json_t *spec);
void ent_registration_check(struct ent_entry *entry, uint64_t now_us);

/* dead_members.c */
void ent_dead_members_check(struct ent_entry *entry, uint64_t now_us);
void ent_dead_members_free(struct ent_entry *entry);

/* discovery.c */
void ent_discovery_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			   const json_t *spec, uint64_t now_us);
void ent_discovery_lost(void *data, enum syn_kind kind, const char *name, uint64_t now_us);
bool ent_discovery_is_outdated(void *data, enum syn_kind kind, const char *name,
			       const json_t *listed, const json_t *held);
void ent_discovery_restored(void *data, uint64_t now_us);
void ent_discovery_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us);
void ent_discovery_confirmed(void *data, enum syn_kind kind, uint64_t now_us);
void ent_discovery_reachable(void *data, bool reachable, uint64_t now_us);
struct syn_refresh ent_discovery_refresh(void *data, enum syn_kind kind);
struct flw_state *ent_follow_create(struct ent_entry *entry, uint64_t now_us);
void ent_follow_check(struct ent_entry *entry, uint64_t now_us);
bool ent_removal_is_pending(const struct ent_entry *entry, const char *endpoint_id);
void ent_pending_removals_free(struct ent_entry *entry);
const struct stm_route *ent_route(const struct ent_entry *entry, const char *database);
bool ent_has_accounts(void *data);
const struct acc_account *ent_account(void *data, const struct acc_digest *key);

/* relay.c */
void ent_allowances_set(struct ent_entry *entry);
void ent_allowance_set(struct ent_entry *entry, const struct grp_endpoint *endpoint);
const char *ent_choose_relay(void *data, const struct grp_endpoint *endpoint, const char *account,
			     uint64_t now_us);
const char *ent_choose_sample_relay(void *data, const struct grp_endpoint *endpoint,
				    uint64_t now_us);
void ent_relay_failed(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		      uint64_t now_us);
void ent_relay_slow(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		    uint64_t now_us);
void ent_relay_answered(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us);
int32_t ent_relay_rank(const struct ent_entry *entry, const struct grp_endpoint *endpoint);
void ent_relay_paths_free(struct ent_entry *entry);

/* roster.c */
struct ent_roster *ent_roster_create(void);
void ent_roster_destroy(struct ent_roster *roster);
const struct ent_roster_domain *ent_roster_domains(const struct ent_entry *entry, uint32_t *count);

/* limits.c */
bool ent_limits_create(struct ent_entry *entry, uint64_t now_us);
void ent_limits_destroy(struct ent_entry *entry);
enum stm_admission ent_admit(void *data, const char *account, uint32_t priority,
			     uint64_t wait_until_us, uint64_t waiter, uint64_t *retry_after_us,
			     uint64_t now_us);
void ent_admission_cancel(void *data, uint64_t waiter);
void ent_limits_config(struct ent_entry *entry, uint64_t now_us);
void ent_limits_members(struct ent_entry *entry);
void ent_limits_drain(struct ent_entry *entry, uint64_t now_us);
void ent_limits_message(struct ent_entry *entry, const char *peer,
			const struct qta_message *message, uint64_t now_us);

/* peer.c */
void ent_quota_send(struct ent_entry *entry, const char *proxy, const struct qta_message *message);
void ent_members_apply(struct ent_entry *entry);
void ent_order_send(void *data, const char *proxy, const struct sql_order *order);
void ent_reply_send(void *data, const char *proxy, const struct sql_reply *reply);
void ent_peers_init(struct ent_entry *entry, uint64_t now_us);
void ent_peer_push_versions(struct ent_entry *entry);
void ent_peer_confirm_store(void *data, const char *origin, uint64_t age_us, bool fleet);
void ent_peer_pull_start(struct ent_entry *entry, uint64_t now_us);
void ent_peer_query_leader(struct ent_entry *entry, const struct grp_group *group);
void ent_peer_announce_leader(struct ent_entry *entry, const struct grp_group *group);

/* leader.c */
struct tko_state *ent_takeover_create(struct ent_entry *entry);
struct ent_leader_poll *ent_leader_poll(struct ent_entry *entry, const struct grp_group *group);
void ent_leader_reached_by_peer(struct ent_entry *entry, const char *proxy, struct grp_group *group,
				uint64_t now_us);
bool ent_majority_replied(struct ent_entry *entry, const struct grp_group *group);
void ent_leader_polls_free(struct ent_entry *entry);
void ent_planned_takeover_check(struct ent_entry *entry, struct grp_group *group, uint64_t now_us);

#endif
