#ifndef BC_SYNC_INTERNAL_H
#define BC_SYNC_INTERNAL_H

/* Shared by sync.c (listings and watches) and document.c (copies for peers). */

#include "sync/sync.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* Deletions that are remembered. A peer that has missed more of them needs the full copy. */
#define SYN_DELETIONS_MAX 64U

struct syn_deletion {
	char name[BC_ID_BYTES];
	uint64_t revision; /* of the deletion, newer than that of the deleted object */
};

/* A cached document for peers. */
struct syn_document_text {
	char *text;
	uint64_t since; /* 0: the full copy */
	struct bc_version version;
};

struct syn_copy_object {
	struct bc_version version;
	json_t *spec;
	uint64_t listing_number; /* the last listing or peer's copy that included it */
};

enum syn_step { SYN_STEP_LIST, SYN_STEP_WATCH };

struct syn_copy {
	struct syn_state *state;
	enum syn_kind kind;
	enum syn_step step;
	bool complete;
	bool outstanding;
	bool deferred;	    /* waits until the store answers the call for the configuration */
	bool stale_ok;	    /* whether the next listing of a complete copy may be stale */
	bool sent_stale_ok; /* `stale_ok` of the last call sent */
	/*
	 * Revision from which the next watch starts. An answer without changes does not advance it,
	 * although it has the store's newer revision: a store that is losing its history may have
	 * left changes out of the answer. It then refuses the older revision, which leads to a new
	 * listing.
	 */
	uint64_t watch_revision;
	struct bc_version version; /* of the newest change that the copy holds */
	uint64_t listing_number;
	/* Version of the listing's first page; the watch reports later changes. */
	struct bc_version listing_version;
	struct syn_deletion deletions[SYN_DELETIONS_MAX]; /* ring buffer of the latest ones */
	uint32_t deletion_count;			  /* all deletions so far */
	struct syn_document_text full;			  /* cached documents for peers */
	struct syn_document_text changes;
	char after[BC_ID_BYTES * 2]; /* last name of the page before; empty: start of a listing */
	uint32_t failures;
	apr_hash_t *objects; /* name -> struct syn_copy_object */
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
	uint64_t era;		      /* the newest that the store or a peer has stated; 0: none */
	uint64_t consistent_until_us; /* no stale answers are asked for until then */
};

extern const char *const syn_kind_names[SYN_KINDS];

/* sync.c */
void syn_copy_call(struct syn_copy *copy, uint64_t now_us);
void syn_copy_apply(struct syn_copy *copy, const struct syn_object *update, uint64_t era,
		    uint64_t now_us);
void syn_copy_listed(struct syn_copy *copy, struct bc_version version, uint64_t now_us);
void syn_era_begin(struct syn_state *state, uint64_t era, uint64_t now_us);
void syn_copy_complete(struct syn_copy *copy, uint64_t now_us);
void syn_deletion_record(struct syn_copy *copy, const char *name, uint64_t revision);

#endif
