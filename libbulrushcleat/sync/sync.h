#ifndef BC_SYNC_H
#define BC_SYNC_H

/*
 * Copies of kinds of objects in the platform's store, kept by a list and then a watch. A copy never
 * goes back: each object is replaced by newer revisions only. Proxies that cannot reach the store
 * take copies from each other as documents.
 */

#include "core/timer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum syn_kind { SYN_CONFIG, SYN_ENDPOINTS, SYN_PROXIES, SYN_KINDS };

/* How a kind is followed after its listing. */
struct syn_wait {
	uint64_t wait_us; /* of a watch, or until the next listing */
	bool may_lag;
	bool list; /* list again after the wait instead of watching */
};

struct syn_ops {
	/* One page of the kind's objects whose names come after `after` (NULL: from the start). */
	void (*list)(void *data, enum syn_kind kind, const char *after, bool may_lag);
	/*
	 * Changes since the revision, as soon as there are some, at the latest after wait_us; with
	 * `may_lag`, from a copy of the store that can be some seconds behind and costs less.
	 */
	void (*watch)(void *data, enum syn_kind kind, uint64_t revision,
		      const struct syn_wait *wait);
	/* Abandons the kind's call; it is not answered. */
	void (*cancel)(void *data, enum syn_kind kind);
	/* How the kind is followed from now on. */
	struct syn_wait (*wait)(void *data, enum syn_kind kind);
	/* An object was created or changed; spec is NULL if it was deleted. */
	void (*changed)(void *data, enum syn_kind kind, const char *name, uint64_t revision,
			const json_t *spec, uint64_t now_us);
	/* The copy of the kind is complete, for the first time or again. */
	void (*complete)(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us);
	/* The store does not answer (`reachable` false), or does again. */
	void (*reachable)(void *data, bool reachable, uint64_t now_us);
};

/* An object of a page or an event. */
struct syn_object {
	const char *name;
	uint64_t revision;
	const json_t *spec; /* NULL if deleted */
};

struct syn_page {
	const struct syn_object *objects;
	size_t count;
	bool more;
	uint64_t revision; /* of the store when it answered */
};

struct syn_state;

struct syn_state *syn_create(struct bc_ctx *ctx, struct bc_timers *timers,
			     const struct syn_ops *ops, void *data);
void syn_destroy(struct syn_state *state);
void syn_start(struct syn_state *state, uint64_t now_us);
/*
 * The answer to list or watch. BC_OK with the page; BC_EVERSION: the history since the watch's
 * revision is gone; BC_EAGAIN: refused, nothing was done; others: no answer.
 */
void syn_answer(struct syn_state *state, enum syn_kind kind, enum bc_status status,
		const struct syn_page *page, uint64_t now_us);
/* Begins the kind's watch anew, after a change of ops->wait. */
void syn_rewatch(struct syn_state *state, enum syn_kind kind, uint64_t now_us);
/* Ends the kind's watch if ops->wait tells to list instead. */
void syn_unwatch(struct syn_state *state, enum syn_kind kind, uint64_t now_us);
bool syn_is_complete(const struct syn_state *state, enum syn_kind kind);
bool syn_is_reachable(const struct syn_state *state);
uint64_t syn_revision(const struct syn_state *state, enum syn_kind kind);
/*
 * The copy as the text of a document {"revision", "objects": [{"name","revision","spec"}]}, or
 * NULL; valid until the copy changes or another document is made. With `since`, the objects that
 * are newer than that revision, and beside them "since", "deleted": [{"name","revision"}] and
 * "digest", which tells names and revisions of all objects.
 */
const char *syn_document(struct syn_state *state, enum syn_kind kind, uint64_t since);
/*
 * Takes over a peer's document if it is newer. BC_EINVAL if malformed, BC_EAGAIN if not newer,
 * BC_ECONFLICT if changes do not lead to what the peer has: the whole copy is needed.
 */
enum bc_status syn_document_offer(struct syn_state *state, enum syn_kind kind,
				  const json_t *document, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
