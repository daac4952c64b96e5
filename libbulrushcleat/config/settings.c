#include "config/cfg_yaml.h"

#define SETTINGS_OFFSET(member) offsetof(struct cfg_settings, member)
#define KEY_OFFSET(member) offsetof(struct cfg_key, member)
#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

/* Shorter timeouts cannot be met over the slowest link; longer ones hide faults. */
#define TIMEOUT_MIN_MS 10
#define TIMEOUT_MAX_MS 600000
#define CONNECTIONS_MAX 1000000
/* The least in which the process starts, and 1 TiB. */
#define MEMORY_MIN_MB 16
#define MEMORY_MAX_MB (1024 * 1024)
/* Room for the copies of one body of maximum size. */
#define BUDGET_MIN_MB 8
/* Callers send a request in pieces within a few seconds. */
#define DEFAULT_TRANSFER_MS 10000
/* Far below the share of a slow link that a caller gets. */
#define DEFAULT_TRANSFER_BYTES_PER_S 4096

static const struct cfg_field key_fields[] = {
	{.key = "id",
	 .type = CFG_UINT,
	 .required = true,
	 .offset = KEY_OFFSET(id),
	 .min = 1,
	 .max = UINT32_MAX},
	{.key = "file", .type = CFG_PATH, .required = true, .offset = KEY_OFFSET(file)},
	{.key = "signing", .type = CFG_BOOL, .offset = KEY_OFFSET(signing)},
};
static const struct cfg_schema key_schema = {key_fields, ARRAY_SIZE(key_fields)};

static void read_key(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	struct cfg_settings *settings = out;
	struct cfg_key *key = &settings->keys[settings->key_count++];
	yaml_node_t *signing = cfg_yaml_lookup(doc, node, "signing");
	yaml_node_t *id = cfg_yaml_lookup(doc, node, "id");
	uint32_t i;

	cfg_yaml_map(doc, node, &key_schema, key);
	for (i = 0; i + 1 < settings->key_count; i++) {
		if (id && key->id && settings->keys[i].id == key->id)
			cfg_yaml_report(doc, id, "keys: another key has this id");
		if (signing && key->signing && settings->keys[i].signing)
			cfg_yaml_report(doc, signing, "keys: key %u is already the signing key",
					settings->keys[i].id);
	}
}

static void check_has_signing_key(struct cfg_doc *doc, yaml_node_t *node, void *out)
{
	const struct cfg_settings *settings = out;
	uint32_t i;

	for (i = 0; i < settings->key_count; i++)
		if (settings->keys[i].signing)
			return;
	cfg_yaml_report(doc, node, "keys: expected one key with signing: true");
}

static const struct cfg_list_storage seed_items = {CFG_ADDRESS, BC_ADDRESS_BYTES,
						   SETTINGS_OFFSET(seed_count)};

static const struct cfg_field listen_fields[] = {
	{.key = "callers",
	 .type = CFG_ADDRESS,
	 .required = true,
	 .offset = SETTINGS_OFFSET(listen_callers)},
	{.key = "peers",
	 .type = CFG_ADDRESS,
	 .required = true,
	 .offset = SETTINGS_OFFSET(listen_peers)},
	{.key = "advertised_peers",
	 .type = CFG_ADDRESS,
	 .offset = SETTINGS_OFFSET(advertised_peers),
	 .min = 1},
};
static const struct cfg_schema listen_schema = {listen_fields, ARRAY_SIZE(listen_fields)};

static const struct cfg_field settings_fields[] = {
	{.key = "id", .type = CFG_ID, .required = true, .offset = SETTINGS_OFFSET(id)},
	{.key = "domain", .type = CFG_ID, .required = true, .offset = SETTINGS_OFFSET(domain)},
	{.key = "region", .type = CFG_ID, .required = true, .offset = SETTINGS_OFFSET(region)},
	{.key = "listen", .type = CFG_MAP, .required = true, .schema = &listen_schema},
	{.key = "platform",
	 .type = CFG_ADDRESS,
	 .required = true,
	 .offset = SETTINGS_OFFSET(platform),
	 .min = 1},
	{.key = "seeds",
	 .type = CFG_STRING_LIST,
	 .offset = SETTINGS_OFFSET(seeds),
	 .min = 0,
	 .max = CFG_SEEDS_MAX,
	 .storage = &seed_items},
	{.key = "keys",
	 .type = CFG_CALLBACK_LIST,
	 .required = true,
	 .min = 1,
	 .max = CFG_KEYS_MAX,
	 .on_item = read_key,
	 .on_end = check_has_signing_key},
	{.key = "fleet_key_file",
	 .type = CFG_PATH,
	 .required = true,
	 .offset = SETTINGS_OFFSET(fleet_key_file)},
	{.key = "log_level", .type = CFG_LOG_LEVEL, .offset = SETTINGS_OFFSET(log_level)},
	{.key = "max_caller_connections",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(max_caller_connections),
	 .min = 1,
	 .max = CONNECTIONS_MAX},
	{.key = "drain_timeout_ms",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(drain_timeout_ms),
	 .min = TIMEOUT_MIN_MS,
	 .max = TIMEOUT_MAX_MS},
	{.key = "request_timeout_ms",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(request_timeout_ms),
	 .min = TIMEOUT_MIN_MS,
	 .max = TIMEOUT_MAX_MS},
	{.key = "memory_mb",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(memory_mb),
	 .min = MEMORY_MIN_MB,
	 .max = MEMORY_MAX_MB},
	{.key = "budget_mb",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(budget_mb),
	 .min = BUDGET_MIN_MB,
	 .max = MEMORY_MAX_MB},
	{.key = "transfer_ms",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(transfer_ms),
	 .min = TIMEOUT_MIN_MS,
	 .max = TIMEOUT_MAX_MS},
	{.key = "transfer_bytes_per_s",
	 .type = CFG_UINT,
	 .offset = SETTINGS_OFFSET(transfer_bytes_per_s),
	 .min = 1,
	 .max = UINT32_MAX},
};
static const struct cfg_schema settings_schema = {settings_fields, ARRAY_SIZE(settings_fields)};

/* Reads settings and collects all findings; BC_EINVAL if there are any. */
enum bc_status cfg_settings_parse(struct bc_ctx *ctx, const char *file, const char *text,
				  size_t text_bytes, struct cfg_settings *settings,
				  struct bc_findings *findings)
{
	size_t before = bc_findings_count(findings);

	*settings = (struct cfg_settings){
		.log_level = BC_LOG_INFO,
		.max_caller_connections = 10000,
		.drain_timeout_ms = 30000,
		.request_timeout_ms = 5000,
		.transfer_ms = DEFAULT_TRANSFER_MS,
		.transfer_bytes_per_s = DEFAULT_TRANSFER_BYTES_PER_S,
	};
	cfg_yaml_read(file, text, text_bytes, &settings_schema, settings, findings);
	if (bc_findings_count(findings) == before)
		return BC_OK;
	return bc_fail(ctx, BC_EINVAL, "%s: %zu findings", file,
		       bc_findings_count(findings) - before);
}
