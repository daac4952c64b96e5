#include "sync/sync_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Documents for peers: the full copy, or the changes since the peer's revision. A digest of all
 * names and revisions lets the peer check that its copy equals the sender's after the changes; if
 * not, it asks for the full copy.
 */

static void digest_add(uint64_t *digest, const char *name, uint64_t revision)
{
	*digest ^= bc_hash_seeded(name, revision);
}

static uint64_t copy_digest(const struct syn_copy *copy)
{
	apr_hash_index_t *it;
	uint64_t digest = 0;

	for (it = apr_hash_first(NULL, copy->objects); it; it = apr_hash_next(it)) {
		const struct syn_copy_object *object = apr_hash_this_val(it);

		digest_add(&digest, apr_hash_this_key(it), object->version.revision);
	}
	return digest;
}

/* Returns the objects newer than `since`. */
static json_t *objects_since(const struct syn_copy *copy, uint64_t since)
{
	json_t *objects = json_array();
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, copy->objects); it; it = apr_hash_next(it)) {
		const struct syn_copy_object *object = apr_hash_this_val(it);

		if (object->version.revision <= since)
			continue;
		json_array_append_new(objects,
				      json_pack("{s:s,s:I,s:O}", "name",
						(const char *)apr_hash_this_key(it), "revision",
						(json_int_t)object->version.revision, "spec",
						object->spec));
	}
	return objects;
}

static json_t *deletions_since(const struct syn_copy *copy, uint64_t since)
{
	json_t *deletions = json_array();
	uint32_t kept =
		copy->deletion_count < SYN_DELETIONS_MAX ? copy->deletion_count : SYN_DELETIONS_MAX;
	uint32_t i;

	for (i = 0; i < kept; i++) {
		const struct syn_deletion *deletion = &copy->deletions[i];

		if (deletion->revision > since)
			json_array_append_new(deletions, json_pack("{s:s,s:I}", "name",
								   deletion->name, "revision",
								   (json_int_t)deletion->revision));
	}
	return deletions;
}

static json_t *make_document(const struct syn_copy *copy, uint64_t since)
{
	json_t *document = json_pack("{s:I,s:I,s:o}", "era", (json_int_t)copy->version.era,
				     "revision", (json_int_t)copy->version.revision, "objects",
				     objects_since(copy, since));

	if (since) {
		json_object_set_new(document, "since", json_integer((json_int_t)since));
		json_object_set_new(document, "deleted", deletions_since(copy, since));
		json_object_set_new(document, "digest",
				    json_integer((json_int_t)copy_digest(copy)));
	}
	return document;
}

/* Returns the copy, or its changes since a revision, as JSON text for a peer. */
const char *syn_document(struct syn_state *state, enum syn_kind kind, uint64_t since)
{
	struct syn_copy *copy = &state->copies[kind];
	struct syn_document_text *cached = since ? &copy->changes : &copy->full;
	json_t *document;

	if (!copy->complete)
		return NULL;
	if (cached->text && bc_version_compare(cached->version, copy->version) == 0 &&
	    cached->since == since)
		return cached->text;
	document = make_document(copy, since);
	free(cached->text);
	cached->text = json_dumps(document, JSON_COMPACT);
	cached->version = copy->version;
	cached->since = since;
	json_decref(document);
	return cached->text;
}

static bool objects_valid(const json_t *objects, bool with_spec)
{
	size_t i;

	for (i = 0; i < json_array_size(objects); i++) {
		const json_t *object = json_array_get(objects, i);

		if (!json_is_string(json_object_get(object, "name")) ||
		    !json_is_integer(json_object_get(object, "revision")) ||
		    (with_spec && !json_object_get(object, "spec")))
			return false;
	}
	return json_is_array(objects);
}

static bool document_valid(const json_t *document)
{
	if (!json_is_integer(json_object_get(document, "revision")) ||
	    !objects_valid(json_object_get(document, "objects"), true))
		return false;
	/* Documents of builds without eras have none. */
	if (json_object_get(document, "era") && !json_is_integer(json_object_get(document, "era")))
		return false;
	if (!json_object_get(document, "since"))
		return true;
	return json_is_integer(json_object_get(document, "since")) &&
	       json_is_integer(json_object_get(document, "digest")) &&
	       objects_valid(json_object_get(document, "deleted"), false);
}

static uint64_t integer_get(const json_t *object, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(object, field));
}

static void apply_objects(struct syn_copy *copy, const json_t *objects, uint64_t era,
			  uint64_t now_us)
{
	size_t i;

	for (i = 0; i < json_array_size(objects); i++) {
		const json_t *object = json_array_get(objects, i);
		struct syn_object update = {json_string_value(json_object_get(object, "name")),
					    integer_get(object, "revision"),
					    json_object_get(object, "spec")};

		syn_copy_apply(copy, &update, era, now_us);
	}
}

/*
 * Cancels the outstanding listing after a peer's copy has been received, and watches from its
 * revision on. When all proxies start at once, their listings would fill the link between regions;
 * a peer's copy is compressed or comes from a proxy in the same failure domain.
 */
static void switch_to_watch(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;

	if (copy->step != SYN_STEP_LIST)
		return;
	/* The proxies are listed later, to find those that started after the peer's copy. */
	if (copy->outstanding)
		state->ops.cancel(state->data, copy->kind);
	copy->outstanding = false;
	copy->step = SYN_STEP_WATCH;
	copy->watch_revision = copy->version.revision;
	bc_timer_cancel(state->timers, &copy->timer);
	copy->deferred = false;
	syn_copy_call(copy, now_us);
}

/* Applies a peer's full copy like a complete listing. */
static void apply_full_copy(struct syn_copy *copy, const json_t *document,
			    struct bc_version version, uint64_t now_us)
{
	bool first = !copy->complete;

	copy->listing_number++;
	if (first && copy->version.era != version.era)
		copy->version = (struct bc_version){version.era, 0};
	apply_objects(copy, json_object_get(document, "objects"), version.era, now_us);
	syn_copy_listed(copy, version, now_us);
	if (version.revision > copy->version.revision)
		copy->version.revision = version.revision;
	copy->after[0] = '\0';
	syn_copy_complete(copy, now_us);
	if (first && copy->state->reachable)
		switch_to_watch(copy, now_us);
}

/* Applies a peer's changes. BC_ECONFLICT if the copy differs from the peer's afterwards. */
static enum bc_status apply_changes(struct syn_copy *copy, const json_t *document,
				    struct bc_version version, uint64_t now_us)
{
	uint64_t before = copy->version.revision;

	/* Changes since a revision of another era are of no use. */
	if (version.era != copy->version.era)
		return BC_ECONFLICT;
	apply_objects(copy, json_object_get(document, "objects"), version.era, now_us);
	apply_objects(copy, json_object_get(document, "deleted"), version.era, now_us);
	if (copy_digest(copy) != integer_get(document, "digest")) {
		/* Some earlier changes are missing, so the copy keeps its old revision. */
		copy->version.revision = before;
		return BC_ECONFLICT;
	}
	copy->version.revision = version.revision;
	syn_copy_complete(copy, now_us);
	return BC_OK;
}

/* Applies a peer's full copy or changes if they are newer than the copy. */
enum bc_status syn_document_apply(struct syn_state *state, enum syn_kind kind,
				  const json_t *document, uint64_t now_us)
{
	struct syn_copy *copy = &state->copies[kind];
	struct bc_version version;

	if (!document_valid(document))
		return bc_fail(state->ctx, BC_EINVAL, "the peer's copy of %s is malformed",
			       syn_kind_names[kind]);
	version.era = integer_get(document, "era");
	version.revision = integer_get(document, "revision");
	if (version.era < state->era ||
	    (copy->complete && bc_version_compare(version, copy->version) <= 0))
		return BC_EAGAIN;
	if (version.era > state->era)
		syn_era_begin(state, version.era, now_us);
	if (!json_object_get(document, "since")) {
		apply_full_copy(copy, document, version, now_us);
		return BC_OK;
	}
	return copy->complete ? apply_changes(copy, document, version, now_us) : BC_EAGAIN;
}
