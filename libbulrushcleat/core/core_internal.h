#ifndef BC_CORE_INTERNAL_H
#define BC_CORE_INTERNAL_H

#include "core/core.h"

#include <apr_hash.h>
#include <apr_pools.h>

struct bc_ctx {
	unsigned short random_state[3];
	bc_log_fn log;
	void *log_data;
	char last_error[512];
	apr_pool_t *metrics_pool;
	apr_hash_t *metrics; /* name -> struct metric */
};

void bc_metrics_init(struct bc_ctx *ctx);
void bc_metrics_free(struct bc_ctx *ctx);

#endif
