#ifndef BC_SYNC_H
#define BC_SYNC_H

/*
 * Keeps local copies of the objects in the platform's store, one copy per kind of object, by
 * listing them and then watching for changes. A copy never goes back to an older state: each object
 * is replaced only by a newer version. When the store is restored from an older copy, a new era
 * begins: all kinds are listed again, and the new listing goes before all that was known. Proxies
 * that cannot reach the store get copies from each other as JSON documents.
 */

#include "core/timer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum syn_kind { SYN_CONFIG, SYN_ENDPOINTS, SYN_PROXIES, SYN_KINDS };

/* How a kind is kept up to date after its listing. */
struct syn_refresh {
	uint64_t wait_us;      /* longest wait of a watch, or delay until the next listing */
	uint64_t retry_min_us; /* least mean delay before a failed call is repeated */
	bool stale_ok;	       /* allow stale answers, see `watch` in struct syn_ops */
	bool relist;	       /* list again after the wait instead of watching */
};

struct syn_ops {
	/*
	 * Lists one page of the kind's objects, with names that sort after `after` (NULL: from the
	 * start). The page is passed to syn_answer(). `stale_ok` as for `watch`.
	 */
	void (*list)(void *data, enum syn_kind kind, const char *after, bool stale_ok);
	/*
	 * Asks for the changes since the revision. syn_answer() is called as soon as there are
	 * some, after wait_us at the latest. With `stale_ok`, they may be read from a replica of
	 * the store that is some seconds behind, which costs less.
	 */
	void (*watch)(void *data, enum syn_kind kind, uint64_t revision,
		      const struct syn_refresh *refresh);
	/* Cancels the kind's outstanding call; syn_answer() is not called for it. */
	void (*cancel)(void *data, enum syn_kind kind);
	/* Returns how the kind is to be kept up to date from now on. */
	struct syn_refresh (*refresh)(void *data, enum syn_kind kind);
	/* An object was created or changed; spec is NULL if it was deleted. */
	void (*changed)(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			const json_t *spec, uint64_t now_us);
	/* A store that was restored from an older copy does not have the object. */
	void (*lost)(void *data, enum syn_kind kind, const char *name, uint64_t now_us);
	/*
	 * Whether a restored store lists an older state of the object than the one held. That one
	 * is kept then, until the object is written again.
	 */
	bool (*is_outdated)(void *data, enum syn_kind kind, const char *name, const json_t *listed,
			    const json_t *held);
	/* The store was restored from an older copy, so what it had acknowledged may be lost. */
	void (*restored)(void *data, uint64_t now_us);
	/* The kind's copy is complete, for the first time or after an update. */
	void (*complete)(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us);
	/* The store has just answered that the copy is up to date; not from a stale replica. */
	void (*confirmed)(void *data, enum syn_kind kind, uint64_t now_us);
	/* The store has stopped answering (`reachable` false), or answers again. */
	void (*reachable)(void *data, bool reachable, uint64_t now_us);
};

/* An object as listed, or a change to it. */
struct syn_object {
	const char *name;
	uint64_t revision;
	const json_t *spec; /* NULL if deleted */
};

struct syn_page {
	const struct syn_object *objects;
	size_t count;
	bool more;	   /* further pages follow */
	uint64_t revision; /* of the store at the time of the answer */
	/*
	 * History that the revisions belong to; 0: not stated. It rises when the store is restored
	 * from an older copy of itself: revisions then go back and are given out again.
	 */
	uint64_t era;
};

struct syn_state;

struct syn_state *syn_create(struct bc_ctx *ctx, struct bc_timers *timers,
			     const struct syn_ops *ops, void *data);
void syn_destroy(struct syn_state *state);
void syn_start(struct syn_state *state, uint64_t delay_us, uint64_t now_us);
/*
 * Handles the answer to ops->list or ops->watch. BC_OK: answered with the page; BC_EVERSION: the
 * store no longer has the history since the watch's revision; BC_EAGAIN: the store refused the
 * call and did nothing; others: no answer.
 */
void syn_answer(struct syn_state *state, enum syn_kind kind, enum bc_status status,
		const struct syn_page *page, uint64_t now_us);
/* Lists the kind again and restarts its watch, after the result of ops->refresh has changed. */
void syn_watch_restart(struct syn_state *state, enum syn_kind kind, uint64_t now_us);
/* Stops the kind's watch, or its repeated calls, if ops->refresh now asks for listings instead. */
void syn_watch_recheck(struct syn_state *state, enum syn_kind kind, uint64_t now_us);
bool syn_is_complete(const struct syn_state *state, enum syn_kind kind);
bool syn_is_reachable(const struct syn_state *state);
const char *syn_kind_name(enum syn_kind kind);
struct bc_version syn_version(const struct syn_state *state, enum syn_kind kind);
/*
 * Returns the copy as JSON text {"era", "revision", "objects": [{"name","revision","spec"}]}, or
 * NULL if it is not complete. The text is valid until the copy changes or another document is made.
 * With `since` other than 0, a revision of the copy's era, "objects" has only those newer than that
 * revision, and the document also has "since", "deleted": [{"name","revision"}] and "digest", a
 * hash over the names and revisions of all objects.
 */
const char *syn_document(struct syn_state *state, enum syn_kind kind, uint64_t since);
/*
 * Applies a peer's document if it is newer than the copy. BC_EINVAL: malformed; BC_EAGAIN: not
 * newer, or changes to a copy that is not complete; BC_ECONFLICT: after the changes the copy
 * differs from the peer's, so the full copy is needed.
 */
enum bc_status syn_document_apply(struct syn_state *state, enum syn_kind kind,
				  const json_t *document, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
