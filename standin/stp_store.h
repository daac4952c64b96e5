#ifndef STP_STORE_H
#define STP_STORE_H

/* The platform's objects: JSON values, each with a version from one strictly increasing counter. */

#include "core/core.h"

struct stp_store;

struct stp_store *stp_store_create(struct bc_ctx *ctx);
void stp_store_destroy(struct stp_store *store);
bool stp_store_name_valid(const char *name);
uint64_t stp_store_version(const struct stp_store *store, const char *name);
json_t *stp_store_get(const struct stp_store *store, const char *name);
enum bc_status stp_store_put(struct stp_store *store, const char *name, uint64_t if_version,
			     json_t *value, uint64_t *version);
enum bc_status stp_store_delete(struct stp_store *store, const char *name, uint64_t if_version);
json_t *stp_store_list(const struct stp_store *store, const char *prefix);
uint64_t stp_store_newest(const struct stp_store *store, const char *prefix);
json_t *stp_store_changes(const struct stp_store *store, const char *prefix, uint64_t after);

#endif
