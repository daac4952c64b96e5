#ifndef BC_CONFIG_H
#define BC_CONFIG_H

/* Settings of a proxy, the operators' lists of plans and customers, the configuration in force. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CFG_SEEDS_MAX 16
#define CFG_KEYS_MAX 8
#define CFG_PATH_BYTES 256
#define CFG_OBJECT_MAX_BYTES (1024U * 1024U)
#define CFG_HISTORY_MAX 16

struct cfg_key {
	uint32_t id;
	char file[CFG_PATH_BYTES];
	bool signing;
};

/* Settings of bulrushcleatd, from YAML. */
struct cfg_settings {
	char id[BC_ID_BYTES];
	char domain[BC_ID_BYTES];
	char region[BC_ID_BYTES];
	char listen_callers[BC_ADDRESS_BYTES];
	char listen_peers[BC_ADDRESS_BYTES];
	char advertised_peers[BC_ADDRESS_BYTES]; /* empty: listen_peers */
	char platform[BC_ADDRESS_BYTES];
	char seeds[CFG_SEEDS_MAX][BC_ADDRESS_BYTES];
	uint32_t seed_count;
	struct cfg_key keys[CFG_KEYS_MAX]; /* for session tokens and callers' credentials */
	uint32_t key_count;
	char fleet_key_file[CFG_PATH_BYTES]; /* secret by which proxies authenticate peers */
	enum bc_log_level log_level;
	uint32_t max_caller_connections;
	uint32_t drain_timeout_ms;
	uint32_t request_timeout_ms;   /* default deadline of a request */
	uint32_t memory_mb;	       /* of the machine; 0: as the system reports it */
	uint32_t budget_mb;	       /* bytes held for callers; 0: a share of memory_mb */
	uint32_t transfer_ms;	       /* for a request to arrive, or a reply to be read */
	uint32_t transfer_bytes_per_s; /* minimum rate of both after that time */
};

/*
 * Reads settings from YAML text; `file` is the name shown in findings. Collects all findings;
 * BC_EINVAL if there are any.
 */
enum bc_status cfg_settings_parse(struct bc_ctx *ctx, const char *file, const char *text,
				  size_t text_bytes, struct cfg_settings *settings,
				  struct bc_findings *findings);

/* What the customers of a plan may use. */
struct cfg_plan {
	char name[BC_ID_BYTES];
	uint32_t connections; /* concurrent endpoint connections of a customer, over all proxies */
	bool replica_reads;
	uint32_t max_staleness_ms; /* of replica reads; 0: only the caller's limit applies */
};

#define CFG_DATABASES_MAX 32

struct cfg_customer {
	char name[BC_ID_BYTES];
	char plan[BC_ID_BYTES];
	char databases[CFG_DATABASES_MAX][BC_ID_BYTES];
	uint32_t database_count;
};

/*
 * Reads both lists from YAML and checks them, also against each other. On BC_OK *lists is a new
 * reference:
 * {"plans":[{"name","connections","replica_reads","max_staleness_ms"}],
 *  "customers":[{"name","plan","databases":[]}]}, each sorted by name.
 */
enum bc_status cfg_lists_parse(struct bc_ctx *ctx, const char *plans_file, const char *plans_text,
			       size_t plans_bytes, const char *customers_file,
			       const char *customers_text, size_t customers_bytes, json_t **lists,
			       struct bc_findings *findings);
/* The differences: a JSON array of {"list","name","change":"added|removed|changed","from","to"}. */
json_t *cfg_lists_diff(const json_t *from, const json_t *to);

/*
 * The configuration in force. The platform's object "config" has the value
 * {"revision": N, "writer": ID, "history": [{"revision","writer"}], "plans": [...],
 *  "customers": [...]}. "history" holds the latest updates, including this one, so that a writer
 * that got no reply can tell whether its update was applied, even if later ones followed.
 */
struct cfg_state;

struct cfg_ops {
	/* Called after a configuration with a greater revision has come into force. */
	void (*adopted)(void *data, uint64_t revision);
};

struct cfg_state *cfg_create(struct bc_ctx *ctx, const struct cfg_ops *ops, void *data);
void cfg_destroy(struct cfg_state *state);
/* The revision in force; 0 if there is none yet. */
uint64_t cfg_revision(const struct cfg_state *state);
/*
 * Adopts the value of an object from the store or a peer if it is valid and newer. BC_EAGAIN: its
 * revision is not greater than the one in force. BC_EINVAL: it is malformed. On any error the
 * configuration in force stays.
 */
enum bc_status cfg_adopt(struct cfg_state *state, const json_t *value);
/* The value in force (borrowed), or NULL. */
const json_t *cfg_value(const struct cfg_state *state);
/* NULL if there is no such customer or plan. Valid until the next configuration is adopted. */
const struct cfg_customer *cfg_customer_find(const struct cfg_state *state, const char *name);
const struct cfg_plan *cfg_plan_find(const struct cfg_state *state, const char *name);
bool cfg_customer_may_use_database(const struct cfg_customer *customer, const char *database);
size_t cfg_customer_count(const struct cfg_state *state);
const struct cfg_customer *cfg_customer_at(const struct cfg_state *state, size_t index);

#ifdef __cplusplus
}
#endif

#endif
