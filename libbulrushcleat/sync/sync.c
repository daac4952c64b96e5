#include "sync/sync_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/*
 * Delays before a failed call is repeated. The first is short, since most refusals are isolated;
 * it is doubled up to a maximum, which limits the cost of the repeated calls of all proxies.
 */
#define BACKOFF_FIRST_US (50 * BC_US_PER_MS)
#define BACKOFF_MAX_US (800 * BC_US_PER_MS)
/*
 * The delays for a copy that may be stale. They are longer, since other proxies update it too, and
 * refused calls cost as much as others.
 */
#define BACKOFF_STALE_FIRST_US BC_US_PER_S
#define BACKOFF_STALE_MAX_US (4 * BC_US_PER_S)
/* A proxy without a complete copy cannot serve requests, so it repeats the call more often. */
#define BACKOFF_NO_COPY_MAX_US (150 * BC_US_PER_MS)

/* Longer than a replica of the store lags behind a restore. */
#define STALE_AFTER_RESTORE_US (30 * BC_US_PER_S)
/* After a restore all proxies check their entries; spread, they do not exceed the store's rates. */
#define RESTORED_LIST_SPREAD_US (2 * BC_US_PER_S)

const char *const syn_kind_names[SYN_KINDS] = {
	[SYN_CONFIG] = "config", [SYN_ENDPOINTS] = "endpoints", [SYN_PROXIES] = "proxies"};

static void on_timer(void *data, uint64_t now_us);

/* Creates empty copies of all kinds; NULL if memory is exhausted. */
struct syn_state *syn_create(struct bc_ctx *ctx, struct bc_timers *timers,
			     const struct syn_ops *ops, void *data)
{
	struct syn_state *state = calloc(1, sizeof(*state));
	int kind;

	if (!state)
		return NULL;
	if (apr_pool_create(&state->pool, NULL) != APR_SUCCESS) {
		free(state);
		return NULL;
	}
	state->ctx = ctx;
	state->timers = timers;
	state->ops = *ops;
	state->data = data;
	state->reachable = true;
	for (kind = 0; kind < SYN_KINDS; kind++) {
		state->copies[kind].state = state;
		state->copies[kind].kind = (enum syn_kind)kind;
		state->copies[kind].objects = apr_hash_make(state->pool);
		bc_timer_init(&state->copies[kind].timer, on_timer, &state->copies[kind]);
	}
	return state;
}

static void object_free(struct syn_copy *copy, const char *name, struct syn_copy_object *object)
{
	apr_hash_set(copy->objects, name, APR_HASH_KEY_STRING, NULL);
	json_decref(object->spec);
	free(object);
}

/* Frees the copies. NULL is allowed. */
void syn_destroy(struct syn_state *state)
{
	apr_hash_index_t *it;
	int kind;

	if (!state)
		return;
	for (kind = 0; kind < SYN_KINDS; kind++) {
		bc_timer_cancel(state->timers, &state->copies[kind].timer);
		free(state->copies[kind].full.text);
		free(state->copies[kind].changes.text);
		while ((it = apr_hash_first(NULL, state->copies[kind].objects)))
			object_free(&state->copies[kind], apr_hash_this_key(it),
				    apr_hash_this_val(it));
	}
	apr_pool_destroy(state->pool);
	free(state);
}

/*
 * Whether the listing may be read from a stale replica of the store. The first listing of the
 * endpoints may, at a tenth of the cost: the watch and the other proxies supply what it misses. The
 * first listings of the other kinds may not: a starting proxy must not apply an old configuration,
 * and has to find the proxies that started just before it.
 */
static bool listing_stale_ok(const struct syn_copy *copy)
{
	return copy->complete ? copy->stale_ok : copy->kind == SYN_ENDPOINTS;
}

/* Sends the kind's next call, a listing or a watch, or sets the timer for its next listing. */
void syn_copy_call(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;
	struct syn_refresh refresh;

	if (copy->outstanding)
		return;
	if (copy->step == SYN_STEP_WATCH) {
		refresh = state->ops.refresh(state->data, copy->kind);
		if (!refresh.relist) {
			refresh.stale_ok &= now_us >= state->consistent_until_us;
			copy->outstanding = true;
			copy->sent_stale_ok = refresh.stale_ok;
			state->ops.watch(state->data, copy->kind, copy->watch_revision, &refresh);
			return;
		}
		copy->step = SYN_STEP_LIST;
		copy->stale_ok = refresh.stale_ok;
		bc_timer_set(state->timers, &copy->timer, now_us + refresh.wait_us);
		return;
	}
	copy->outstanding = true;
	copy->sent_stale_ok = listing_stale_ok(copy) && now_us >= state->consistent_until_us;
	copy->stale_ok = false;
	state->ops.list(state->data, copy->kind, copy->after[0] ? copy->after : NULL,
			copy->sent_stale_ok);
}

static void on_timer(void *data, uint64_t now_us)
{
	syn_copy_call(data, now_us);
}

/* Starts listing all kinds after the delay, unless copies of peers arrive before. */
void syn_start(struct syn_state *state, uint64_t delay_us, uint64_t now_us)
{
	int kind;

	for (kind = 0; kind < SYN_KINDS; kind++) {
		if (delay_us)
			bc_timer_set(state->timers, &state->copies[kind].timer, now_us + delay_us);
		else
			syn_copy_call(&state->copies[kind], now_us);
	}
}

/* Adds an object that is not in the copy yet; NULL if memory is exhausted. */
static struct syn_copy_object *object_add(struct syn_copy *copy, const char *name)
{
	struct syn_copy_object *object = calloc(1, sizeof(*object));

	if (!object)
		return NULL;
	object->listing_number = copy->listing_number;
	/*
	 * The pool never frees a name, but grows slowly, since names come and go with endpoints
	 * only.
	 */
	apr_hash_set(copy->objects, apr_pstrdup(copy->state->pool, name), APR_HASH_KEY_STRING,
		     object);
	return object;
}

/* Records a deletion for peers that still have the object. */
void syn_deletion_record(struct syn_copy *copy, const char *name, uint64_t revision)
{
	struct syn_deletion *deletion =
		&copy->deletions[copy->deletion_count++ % SYN_DELETIONS_MAX];

	apr_cpystrn(deletion->name, name, sizeof(deletion->name));
	deletion->revision = revision;
}

/*
 * Whether the first state of an object that is known from a new era is older than the one held; the
 * held one then stays.
 */
static bool keeps_held_object(const struct syn_copy *copy, const struct syn_copy_object *object,
			      const struct syn_object *update, uint64_t era)
{
	const struct syn_state *state = copy->state;

	if (object->version.era == era || !update->spec ||
	    !state->ops.is_outdated(state->data, copy->kind, update->name, update->spec,
				    object->spec))
		return false;
	bc_log(state->ctx, BC_LOG_WARN, "restored_object_outdated", "{s:s,s:s,s:I,s:I}", "kind",
	       syn_kind_names[copy->kind], "object", update->name, "era", (json_int_t)era,
	       "revision", (json_int_t)update->revision);
	return true;
}

/* Applies one created, changed or deleted object; ignores a version that is not newer. */
void syn_copy_apply(struct syn_copy *copy, const struct syn_object *update, uint64_t era,
		    uint64_t now_us)
{
	struct syn_state *state = copy->state;
	const struct bc_version version = {era, update->revision};
	struct syn_copy_object *object =
		apr_hash_get(copy->objects, update->name, APR_HASH_KEY_STRING);

	if (object)
		object->listing_number = copy->listing_number;
	if (object && bc_version_compare(version, object->version) <= 0)
		return;
	if (!object && update->spec)
		object = object_add(copy, update->name);
	if (!object)
		return;
	/* The copy enters a new era as a whole, with syn_copy_listed(). */
	if (era == copy->version.era && update->revision > copy->version.revision)
		copy->version.revision = update->revision;
	if (object->spec && keeps_held_object(copy, object, update, era)) {
		object->version = version;
		return;
	}
	object->version = version;
	state->ops.changed(state->data, copy->kind, update->name, update->revision, update->spec,
			   now_us);
	if (!update->spec) {
		syn_deletion_record(copy, update->name, update->revision);
		object_free(copy, update->name, object);
		return;
	}
	json_decref(object->spec);
	object->spec = json_deep_copy(update->spec);
	/* The static analyzer does not see that the hash owns the object. */
} /* NOLINT(clang-analyzer-unix.Malloc) */

/* Deletes an object that a complete listing at this version does not have. */
static void object_missing(struct syn_copy *copy, const char *name, struct syn_copy_object *object,
			   struct bc_version version, uint64_t now_us)
{
	struct syn_state *state = copy->state;

	if (object->version.era != version.era) {
		state->ops.lost(state->data, copy->kind, name, now_us);
		object_free(copy, name, object);
		return;
	}
	if (version.revision > copy->version.revision)
		copy->version.revision = version.revision;
	state->ops.changed(state->data, copy->kind, name, version.revision, NULL, now_us);
	syn_deletion_record(copy, name, version.revision);
	object_free(copy, name, object);
}

/* Enters a new era with a complete listing. */
static void enter_era(struct syn_copy *copy, uint64_t era)
{
	apr_hash_index_t *it;

	copy->version.era = era;
	copy->version.revision = 0;
	copy->deletion_count = 0;
	for (it = apr_hash_first(NULL, copy->objects); it; it = apr_hash_next(it)) {
		const struct syn_copy_object *object = apr_hash_this_val(it);

		if (object->version.revision > copy->version.revision)
			copy->version.revision = object->version.revision;
	}
}

/*
 * Ends a complete listing at this version, whose objects have been applied: deletes those that were
 * missing.
 */
void syn_copy_listed(struct syn_copy *copy, struct bc_version version, uint64_t now_us)
{
	apr_hash_index_t *it = apr_hash_first(NULL, copy->objects);

	while (it) {
		const char *name = apr_hash_this_key(it);
		struct syn_copy_object *object = apr_hash_this_val(it);

		it = apr_hash_next(it);
		if (object->listing_number != copy->listing_number &&
		    bc_version_compare(object->version, version) <= 0)
			object_missing(copy, name, object, version, now_us);
	}
	if (copy->version.era != version.era)
		enter_era(copy, version.era);
}

/* Repeats the calls that were deferred until the store answers again. */
static void resume_deferred(struct syn_state *state, uint64_t now_us)
{
	int kind;

	for (kind = 0; kind < SYN_KINDS; kind++) {
		struct syn_copy *copy = &state->copies[kind];

		if (!copy->deferred)
			continue;
		copy->deferred = false;
		syn_copy_call(copy, now_us);
	}
}

static void set_reachable(struct syn_state *state, bool reachable, const char *reason,
			  uint64_t now_us)
{
	if (state->reachable == reachable)
		return;
	state->reachable = reachable;
	bc_log(state->ctx, reachable ? BC_LOG_INFO : BC_LOG_WARN,
	       reachable ? "store_regained" : "store_lost", "{s:s,s:I}", "reason", reason,
	       "revision", (json_int_t)state->copies[SYN_CONFIG].version.revision);
	state->ops.reachable(state->data, reachable, now_us);
}

/* Marks the copy as complete and reports its new state. */
void syn_copy_complete(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;

	if (!copy->complete)
		bc_log(state->ctx, BC_LOG_INFO, "copy_complete", "{s:s,s:I,s:i}", "kind",
		       syn_kind_names[copy->kind], "revision", (json_int_t)copy->version.revision,
		       "objects", (int)apr_hash_count(copy->objects));
	copy->complete = true;
	state->ops.complete(state->data, copy->kind, copy->version.revision, now_us);
}

static void handle_list_answer(struct syn_copy *copy, const struct syn_page *page, uint64_t now_us)
{
	size_t i;

	if (!copy->after[0]) {
		copy->listing_number++;
		copy->listing_version.era = page->era;
		copy->listing_version.revision = page->revision;
		if (!copy->complete && copy->version.era != page->era)
			copy->version = (struct bc_version){page->era, 0};
	}
	for (i = 0; i < page->count; i++)
		syn_copy_apply(copy, &page->objects[i], page->era, now_us);
	if (page->more && page->count) {
		apr_cpystrn(copy->after, page->objects[page->count - 1].name, sizeof(copy->after));
		copy->stale_ok = copy->sent_stale_ok;
		return;
	}
	syn_copy_listed(copy, copy->listing_version, now_us);
	copy->after[0] = '\0';
	copy->step = SYN_STEP_WATCH;
	copy->watch_revision = copy->listing_version.revision;
	syn_copy_complete(copy, now_us);
}

static void handle_watch_answer(struct syn_copy *copy, const struct syn_page *page, uint64_t now_us)
{
	size_t i;

	if (!page->count)
		return;
	for (i = 0; i < page->count; i++)
		syn_copy_apply(copy, &page->objects[i], page->era, now_us);
	if (page->revision > copy->watch_revision)
		copy->watch_revision = page->revision;
	syn_copy_complete(copy, now_us);
}

/*
 * Lists the other watched kinds again: a store that has lost the history of one kind may have lost
 * the changes to the others too, and their watches would not report them.
 */
static void relist_others(struct syn_copy *lost, uint64_t now_us)
{
	struct syn_state *state = lost->state;
	int kind;

	for (kind = 0; kind < SYN_KINDS; kind++) {
		struct syn_copy *copy = &state->copies[kind];

		if (copy == lost || copy->step != SYN_STEP_WATCH || !copy->outstanding)
			continue;
		state->ops.cancel(state->data, copy->kind);
		copy->outstanding = false;
		copy->step = SYN_STEP_LIST;
		syn_copy_call(copy, now_us);
	}
}

/* The longest delay before a failed call is repeated. */
static uint64_t backoff_max_us(const struct syn_copy *copy, bool stale_ok)
{
	if (!copy->complete)
		return BACKOFF_NO_COPY_MAX_US;
	return stale_ok ? BACKOFF_STALE_MAX_US : BACKOFF_MAX_US;
}

/*
 * Whether this kind's call is deferred until the listing of the configuration, which fails as well,
 * succeeds: refused calls cost too, so only one kind checks whether the store answers again. A
 * watch of the configuration does not serve for this, since its answer can take its whole wait.
 */
static bool waits_for_config(const struct syn_copy *copy)
{
	const struct syn_copy *config = &copy->state->copies[SYN_CONFIG];

	return copy->kind != SYN_CONFIG && config->step == SYN_STEP_LIST && config->failures;
}

static void handle_failure(struct syn_copy *copy, enum bc_status status, uint64_t now_us)
{
	struct syn_state *state = copy->state;
	uint64_t delay_us = BACKOFF_FIRST_US << (copy->failures < 7 ? copy->failures : 7);
	struct syn_refresh refresh = {0};
	uint64_t max_us;
	bool stale_ok;

	/* A kind is not followed before its first copy is complete. */
	if (copy->complete)
		refresh = state->ops.refresh(state->data, copy->kind);
	stale_ok = refresh.stale_ok;
	max_us = backoff_max_us(copy, stale_ok);
	copy->failures++;
	/* Powers of two only, which bounds the volume while the store is down. */
	if ((copy->failures & (copy->failures - 1)) == 0)
		bc_log(state->ctx, BC_LOG_INFO, "store_call_failed", "{s:s,s:b,s:b,s:s,s:i,s:I}",
		       "kind", syn_kind_names[copy->kind], "watch", copy->step == SYN_STEP_WATCH,
		       "stale_ok", copy->sent_stale_ok, "status", bc_status_name(status),
		       "failures", (int)copy->failures, "revision",
		       (json_int_t)copy->version.revision);
	if (status == BC_EVERSION) {
		bc_log(state->ctx, BC_LOG_WARN, "history_lost", "{s:s,s:I}", "kind",
		       syn_kind_names[copy->kind], "revision", (json_int_t)copy->version.revision);
		copy->step = SYN_STEP_LIST;
		copy->after[0] = '\0';
		relist_others(copy, now_us);
	} else {
		set_reachable(state, false, bc_status_name(status), now_us);
		/* A fallback watcher does not repeat a stale listing as such. */
		copy->stale_ok = stale_ok && copy->step == SYN_STEP_LIST &&
				 (copy->sent_stale_ok || refresh.relist);
		if (copy->complete && copy->stale_ok && delay_us < BACKOFF_STALE_FIRST_US)
			delay_us = BACKOFF_STALE_FIRST_US;
		if (waits_for_config(copy)) {
			copy->deferred = true;
			return;
		}
	}
	if (delay_us > max_us)
		delay_us = max_us;
	if (delay_us < refresh.retry_min_us)
		delay_us = refresh.retry_min_us;
	bc_timer_set(state->timers, &copy->timer,
		     now_us + delay_us / 2 + bc_random_below(state->ctx, delay_us));
}

static bool has_complete_copy(const struct syn_state *state)
{
	int kind;

	for (kind = 0; kind < SYN_KINDS; kind++)
		if (state->copies[kind].complete)
			return true;
	return false;
}

/* Prepares a copy for its first listing in a new era. */
static void restart_listing(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;
	/* A listing that is on its way is checked when it is answered; a stale one is not safe. */
	bool cancelled = copy->outstanding && (copy->step == SYN_STEP_WATCH || copy->sent_stale_ok);

	if (cancelled) {
		state->ops.cancel(state->data, copy->kind);
		copy->outstanding = false;
	}
	copy->step = SYN_STEP_LIST;
	copy->stale_ok = false;
	if (copy->kind == SYN_PROXIES && !copy->outstanding)
		bc_timer_set(state->timers, &copy->timer,
			     now_us + bc_random_below(state->ctx, RESTORED_LIST_SPREAD_US));
	else if (cancelled)
		syn_copy_call(copy, now_us);
}

/*
 * Begins a new era of the store. The kinds that are watched or being listed are listed again; the
 * others follow with their next listing or a peer's copy.
 */
void syn_era_begin(struct syn_state *state, uint64_t era, uint64_t now_us)
{
	uint64_t before = state->era;
	int kind;

	state->era = era;
	if (!has_complete_copy(state))
		return;
	bc_log(state->ctx, BC_LOG_WARN, "store_era_changed", "{s:I,s:I,s:I}", "before",
	       (json_int_t)before, "era", (json_int_t)era, "revision",
	       (json_int_t)state->copies[SYN_CONFIG].version.revision);
	state->consistent_until_us = now_us + STALE_AFTER_RESTORE_US;
	state->ops.restored(state->data, now_us);
	for (kind = 0; kind < SYN_KINDS; kind++)
		restart_listing(&state->copies[kind], now_us);
}

enum answer_use { ANSWER_USED, ANSWER_OUTDATED, ANSWER_REPEATED };

/*
 * Decides from its era whether an answer can be used. An answer from before a restore that is known
 * already is outdated. One that shows the restore is used if it is the first page of a consistent
 * listing; otherwise the kind is listed again.
 */
static enum answer_use answer_use(struct syn_copy *copy, enum bc_status status,
				  const struct syn_page *page, uint64_t now_us)
{
	struct syn_state *state = copy->state;
	bool first_page = copy->step == SYN_STEP_LIST && !copy->after[0];
	bool restored = page->era > state->era && has_complete_copy(state);

	if (status != BC_OK && !page->era)
		return ANSWER_USED;
	if (page->era < state->era)
		return ANSWER_OUTDATED;
	if (page->era > state->era)
		syn_era_begin(state, page->era, now_us);
	if (status != BC_OK)
		return ANSWER_USED;
	if (first_page)
		return restored && copy->sent_stale_ok ? ANSWER_REPEATED : ANSWER_USED;
	if (copy->after[0])
		return page->era == copy->listing_version.era ? ANSWER_USED : ANSWER_REPEATED;
	/* A watch reports the changes of one era. */
	return page->era == copy->version.era ? ANSWER_USED : ANSWER_REPEATED;
}

/* Handles the answer to the kind's outstanding call. */
void syn_answer(struct syn_state *state, enum syn_kind kind, enum bc_status status,
		const struct syn_page *page, uint64_t now_us)
{
	struct syn_copy *copy = &state->copies[kind];
	enum answer_use use;

	copy->outstanding = false;
	bc_log(state->ctx, BC_LOG_DEBUG, "sync_answer", "{s:s,s:s,s:b,s:i,s:I,s:I}", "kind",
	       syn_kind_names[kind], "status", bc_status_name(status), "watch",
	       copy->step == SYN_STEP_WATCH, "objects", (int)page->count, "revision",
	       (json_int_t)page->revision, "copy_revision", (json_int_t)copy->version.revision);
	use = answer_use(copy, status, page, now_us);
	if (use == ANSWER_OUTDATED)
		status = BC_EAGAIN;
	if (status != BC_OK) {
		handle_failure(copy, status, now_us);
		return;
	}
	copy->failures = 0;
	set_reachable(state, true, "answered", now_us);
	if (kind == SYN_CONFIG)
		resume_deferred(state, now_us);
	if (use == ANSWER_REPEATED) {
		copy->step = SYN_STEP_LIST;
		copy->after[0] = '\0';
		copy->stale_ok = false;
		syn_copy_call(copy, now_us);
		return;
	}
	if (copy->step == SYN_STEP_LIST)
		handle_list_answer(copy, page, now_us);
	else
		handle_watch_answer(copy, page, now_us);
	if (copy->step == SYN_STEP_WATCH && !copy->sent_stale_ok)
		state->ops.confirmed(state->data, kind, now_us);
	syn_copy_call(copy, now_us);
}

/* Lists the kind again and restarts its watch, as ops->refresh now says. */
void syn_watch_restart(struct syn_state *state, enum syn_kind kind, uint64_t now_us)
{
	struct syn_copy *copy = &state->copies[kind];

	if (copy->step == SYN_STEP_WATCH && copy->outstanding) {
		state->ops.cancel(state->data, kind);
		copy->outstanding = false;
	} else if (copy->outstanding || !copy->complete) {
		return;
	}
	/* List first, since changes after the last listing may have been missed. */
	copy->deferred = false;
	copy->step = SYN_STEP_LIST;
	copy->stale_ok = false;
	bc_timer_cancel(state->timers, &copy->timer);
	syn_copy_call(copy, now_us);
}

/*
 * Ends the repeated calls for a copy that peers keep up to date. Its next listing comes soon, to
 * find out whether the store answers this proxy, at a random time.
 */
static void defer_listing(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;
	struct syn_refresh refresh;

	if (!copy->complete || copy->outstanding || copy->after[0] || !copy->failures ||
	    copy->version.era != state->era)
		return;
	refresh = state->ops.refresh(state->data, copy->kind);
	if (!refresh.relist)
		return;
	copy->deferred = false;
	copy->step = SYN_STEP_LIST;
	copy->stale_ok = refresh.stale_ok;
	bc_timer_set(state->timers, &copy->timer,
		     now_us + bc_random_below(state->ctx, refresh.wait_us / 4));
}

/*
 * Stops the kind's watch, or the repetition of its failing call, if ops->refresh now asks for
 * periodic listings instead.
 */
void syn_watch_recheck(struct syn_state *state, enum syn_kind kind, uint64_t now_us)
{
	struct syn_copy *copy = &state->copies[kind];

	if (copy->step != SYN_STEP_WATCH || !copy->outstanding) {
		defer_listing(copy, now_us);
		return;
	}
	state->ops.cancel(state->data, kind);
	copy->outstanding = false;
	syn_copy_call(copy, now_us);
}

/* Returns the kind's name in log events. */
const char *syn_kind_name(enum syn_kind kind)
{
	return syn_kind_names[kind];
}

/* Whether the kind has been listed completely or received from a peer. */
bool syn_is_complete(const struct syn_state *state, enum syn_kind kind)
{
	return state->copies[kind].complete;
}

/* Whether the store answered the last call. */
bool syn_is_reachable(const struct syn_state *state)
{
	return state->reachable;
}

/* The version of the newest change in the copy; 0 while it is not complete. */
struct bc_version syn_version(const struct syn_state *state, enum syn_kind kind)
{
	const struct bc_version none = {0, 0};

	return state->copies[kind].complete ? state->copies[kind].version : none;
}
