#ifndef BC_ENTRY_INTERNAL_H
#define BC_ENTRY_INTERNAL_H

/*
 * Shared by the files of the slice: entry.c (creation, drain), holder.c (who connects where),
 * roster.c (members by failure domain),
 * discovery.c (configuration, endpoints, proxies from the store), peer.c (messages between
 * proxies), leader.c (takeover, and what other proxies say of a leader).
 */

#include "entry/entry.h"
#include "takeover/takeover.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* How a proxy follows the store, the closest first. */
enum ent_watching { ENT_WATCHES_CLOSELY, ENT_WATCHES, ENT_LISTS };

/* A peer that has a newer copy of a kind than this proxy. */
struct ent_newer {
	struct ent_entry *entry;
	enum syn_kind kind;
	uint64_t revision;
	char address[BC_ADDRESS_BYTES];
	struct bc_timer timer; /* when the copy is asked for */
};

/* What other proxies have answered about a leader that does not answer this one. */
struct ent_leader_word {
	char group[BC_ID_BYTES];
	uint32_t asked;		 /* proxies, the last time */
	uint32_t heard;		 /* of those, whatever they said */
	char proxy[BC_ID_BYTES]; /* one that the leader answers */
	uint64_t until_us;
};

/* The members of a failure domain that can take statements. */
struct ent_roster_domain {
	const char *name;
	const char *region;
	const struct mem_update **members;
	uint32_t count;
};

struct ent_roster;

struct ent_entry {
	struct bc_ctx *ctx;
	struct ent_settings settings;
	struct ent_ports ports;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct stm_engine *statements;
	struct syn_state *sync;
	struct tko_state *takeover;
	struct mem_state *members;
	struct ent_roster *roster;
	struct drn_state *drain;
	struct ent_config config;
	apr_pool_t *routes_pool;
	apr_hash_t *routes; /* database -> struct stm_route */
	apr_pool_t *pool;
	apr_hash_t *words;	/* group -> struct ent_leader_word */
	apr_hash_t *holders;	/* endpoint id -> struct holders */
	apr_hash_t *bad_ways;	/* "proxy" or "proxy endpoint" -> struct bad_way */
	apr_hash_t *departures; /* endpoint id -> struct departure */
	apr_hash_t *absences;	/* proxy id -> struct absence */
	struct bc_timer member_timer;
	struct bc_timer drain_timer;
	struct bc_timer pull_timer;
	struct bc_timer announce_timer;
	struct ent_newer newer[SYN_KINDS];
	enum ent_watching watching[SYN_KINDS]; /* as begun last */
	uint64_t created_us;
	uint64_t copies_paid_us;   /* the whole copies sent are paid for until then */
	bool settled;		   /* the start is over: the other proxies are known */
	uint64_t confirmed_us;	   /* last answer of the store to a close watch */
	uint64_t current_heard_us; /* last word of a close watcher that the store answers it */
	uint64_t current_told_us;  /* own word, the last time */
	bool stands_in;		   /* watches closely, since no close watcher is heard */
	uint64_t stood_in_us;	   /* since when */
	bool duty_changed;	   /* the members have changed since the last look at the duty */
	bool members_changed;	   /* since the allowances were computed */
	bool listed;		   /* this proxy's entry in the store is as it would write it */
	bool announcing;	   /* an entry has been written, or is about to be */
	uint32_t listings;	   /* of the proxies */
	uint32_t announce_failures;
	uint32_t proxies; /* live, as the allowances were computed */
};

/* entry.c */
bool ent_announced_as(const struct ent_entry *entry, const json_t *spec);
void ent_announce_check(struct ent_entry *entry, uint64_t now_us);

/* forget.c */
void ent_absences_check(struct ent_entry *entry, uint64_t now_us);
void ent_absences_free(struct ent_entry *entry);

/* discovery.c */
void ent_discovery_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			   const json_t *spec, uint64_t now_us);
void ent_discovery_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us);
void ent_discovery_reachable(void *data, bool reachable, uint64_t now_us);
struct syn_wait ent_discovery_wait(void *data, enum syn_kind kind);
enum ent_watching ent_watching(const struct ent_entry *entry);
void ent_settle_check(struct ent_entry *entry, uint64_t now_us);
void ent_watch_duty_check(struct ent_entry *entry, uint64_t now_us);
bool ent_is_current(const struct ent_entry *entry, uint64_t now_us);
bool ent_stands_in_check(struct ent_entry *entry, uint64_t now_us);
bool ent_has_vanished(const struct ent_entry *entry, const char *endpoint_id);
void ent_departures_free(struct ent_entry *entry);
const struct stm_route *ent_route(const struct ent_entry *entry, const char *database);

/* holder.c */
void ent_allowances_set(struct ent_entry *entry);
void ent_allowance_set(struct ent_entry *entry, const struct grp_endpoint *endpoint);
const char *ent_via(void *data, const struct grp_endpoint *endpoint, uint64_t now_us);
const char *ent_sample_via(void *data, const struct grp_endpoint *endpoint, uint64_t now_us);
void ent_via_failed(void *data, const char *proxy, const struct grp_endpoint *endpoint,
		    uint64_t now_us);
void ent_via_answered(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us);
int32_t ent_holder_rank(const struct ent_entry *entry, const struct grp_endpoint *endpoint);
void ent_holders_free(struct ent_entry *entry);

/* roster.c */
struct ent_roster *ent_roster_create(void);
void ent_roster_destroy(struct ent_roster *roster);
const struct ent_roster_domain *ent_roster_domains(const struct ent_entry *entry, uint32_t *count);

/* peer.c */
void ent_members_apply(struct ent_entry *entry);
void ent_order_send(void *data, const char *proxy, const struct sql_order *order);
void ent_reply_send(void *data, const char *proxy, const struct sql_reply *reply);
void ent_peers_init(struct ent_entry *entry, uint64_t now_us);
void ent_peer_push_versions(struct ent_entry *entry);
void ent_peer_pull_start(struct ent_entry *entry, uint64_t now_us);
void ent_peer_ask_leader(struct ent_entry *entry, const struct grp_group *group);
void ent_peer_tell_leader(struct ent_entry *entry, const struct grp_group *group);

/* leader.c */
struct tko_state *ent_takeover_create(struct ent_entry *entry);
struct ent_leader_word *ent_leader_word(struct ent_entry *entry, const struct grp_group *group);
void ent_peer_reaches(struct ent_entry *entry, const char *proxy, struct grp_group *group,
		      uint64_t now_us);
bool ent_peers_mostly_answer(struct ent_entry *entry, const struct grp_group *group);
void ent_leader_words_free(struct ent_entry *entry);
void ent_leader_check(struct ent_entry *entry, struct grp_group *group, uint64_t now_us);

#endif
