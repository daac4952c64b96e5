#ifndef BC_SYNC_INTERNAL_H
#define BC_SYNC_INTERNAL_H

/* Shared by the files of the slice: sync.c (listings and watches), document.c (copies for peers).
 */

#include "sync/sync.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* A peer that has missed more deletions than these takes the whole copy. */
#define SYN_DELETIONS_MAX 64U

struct syn_deletion {
	char name[BC_ID_BYTES];
	uint64_t revision; /* the object had an older one */
};

/* A document that was made for a peer. */
struct syn_text {
	char *text;
	uint64_t since; /* 0: the whole copy */
	uint64_t revision;
};

struct syn_held {
	uint64_t revision;
	json_t *spec;
	uint64_t listing; /* number of the listing that showed it last */
};

enum syn_step { SYN_STEP_LIST, SYN_STEP_WATCH };

struct syn_copy {
	struct syn_state *state;
	enum syn_kind kind;
	enum syn_step step;
	bool complete;
	bool outstanding;
	bool deferred; /* asks again once the store answers for the configuration */
	bool may_lag;  /* the next listing of a complete copy */
	bool lags;     /* the listing that is outstanding */
	/*
	 * Where the next watch starts. It is not moved by an answer without changes, although the
	 * store names a newer revision there: a store that loses its history may have kept changes
	 * back, and then refuses the older revision, which leads to a new listing.
	 */
	uint64_t watched;
	uint64_t revision; /* of the newest change that the copy holds */
	uint64_t listing;
	uint64_t listing_revision; /* of its first page: what came later is seen by the watch */
	struct syn_deletion deletions[SYN_DELETIONS_MAX]; /* a ring of those seen last */
	uint32_t deletion_count;			  /* since the start */
	struct syn_text whole;				  /* the documents made last, for peers */
	struct syn_text changes;
	char after[BC_ID_BYTES * 2]; /* name to continue the listing from */
	uint32_t failures;
	apr_hash_t *objects; /* name -> struct syn_held */
	struct bc_timer timer;
};

struct syn_state {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct syn_ops ops;
	void *data;
	apr_pool_t *pool;
	struct syn_copy copies[SYN_KINDS];
	bool reachable;
};

extern const char *const syn_kind_names[SYN_KINDS];

/* sync.c */
void syn_copy_call(struct syn_copy *copy, uint64_t now_us);
void syn_copy_apply(struct syn_copy *copy, const struct syn_object *update, uint64_t now_us);
void syn_copy_sweep(struct syn_copy *copy, uint64_t revision, uint64_t now_us);
void syn_copy_complete(struct syn_copy *copy, uint64_t now_us);
void syn_deletion_note(struct syn_copy *copy, const char *name, uint64_t revision);

#endif
