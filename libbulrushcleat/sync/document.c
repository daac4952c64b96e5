#include "sync/sync_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Copies as documents for peers: whole, or what has changed since the revision that the peer has. A
 * digest of names and revisions tells the peer whether it holds the same as the sender afterwards;
 * if not, it asks for the whole copy.
 */

static void digest_add(uint64_t *digest, const char *name, uint64_t revision)
{
	*digest ^= bc_hash_seeded(name, revision);
}

static uint64_t digest_of(const struct syn_copy *copy)
{
	apr_hash_index_t *it;
	uint64_t digest = 0;

	for (it = apr_hash_first(NULL, copy->objects); it; it = apr_hash_next(it)) {
		const struct syn_held *object = apr_hash_this_val(it);

		digest_add(&digest, apr_hash_this_key(it), object->revision);
	}
	return digest;
}

/* The objects that are newer than `since`. */
static json_t *objects_since(const struct syn_copy *copy, uint64_t since)
{
	json_t *objects = json_array();
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, copy->objects); it; it = apr_hash_next(it)) {
		const struct syn_held *object = apr_hash_this_val(it);

		if (object->revision <= since)
			continue;
		json_array_append_new(objects, json_pack("{s:s,s:I,s:O}", "name",
							 (const char *)apr_hash_this_key(it),
							 "revision", (json_int_t)object->revision,
							 "spec", object->spec));
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
	json_t *document = json_pack("{s:I,s:o}", "revision", (json_int_t)copy->revision, "objects",
				     objects_since(copy, since));

	if (since) {
		json_object_set_new(document, "since", json_integer((json_int_t)since));
		json_object_set_new(document, "deleted", deletions_since(copy, since));
		json_object_set_new(document, "digest", json_integer((json_int_t)digest_of(copy)));
	}
	return document;
}

/* The copy, or its changes since a revision, as a document's text for a peer. */
const char *syn_document(struct syn_state *state, enum syn_kind kind, uint64_t since)
{
	struct syn_copy *copy = &state->copies[kind];
	struct syn_text *made = since ? &copy->changes : &copy->whole;
	json_t *document;

	if (!copy->complete)
		return NULL;
	if (made->text && made->revision == copy->revision && made->since == since)
		return made->text;
	document = make_document(copy, since);
	free(made->text);
	made->text = json_dumps(document, JSON_COMPACT);
	made->revision = copy->revision;
	made->since = since;
	json_decref(document);
	return made->text;
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
	if (!json_object_get(document, "since"))
		return true;
	return json_is_integer(json_object_get(document, "since")) &&
	       json_is_integer(json_object_get(document, "digest")) &&
	       objects_valid(json_object_get(document, "deleted"), false);
}

static uint64_t number(const json_t *object, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(object, field));
}

static void apply_all(struct syn_copy *copy, const json_t *objects, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < json_array_size(objects); i++) {
		const json_t *object = json_array_get(objects, i);
		struct syn_object update = {json_string_value(json_object_get(object, "name")),
					    number(object, "revision"),
					    json_object_get(object, "spec")};

		syn_copy_apply(copy, &update, now_us);
	}
}

/*
 * A peer's copy makes the listing needless that is on its way: after a start of all proxies these
 * fill the link between regions, where a peer's copy comes deflated or from the own domain.
 */
static void replace_listing(struct syn_copy *copy, uint64_t now_us)
{
	struct syn_state *state = copy->state;

	/* The proxies' own listing finds those that have started since. */
	if (copy->step != SYN_STEP_LIST || copy->kind == SYN_PROXIES)
		return;
	if (copy->outstanding)
		state->ops.cancel(state->data, copy->kind);
	copy->outstanding = false;
	copy->step = SYN_STEP_WATCH;
	copy->watched = copy->revision;
	bc_timer_cancel(state->timers, &copy->timer);
	copy->deferred = false;
	syn_copy_call(copy, now_us);
}

/* Takes over a whole copy as if it were a listing. */
static void take_whole(struct syn_copy *copy, const json_t *document, uint64_t now_us)
{
	uint64_t revision = number(document, "revision");
	bool first = !copy->complete;

	copy->listing++;
	apply_all(copy, json_object_get(document, "objects"), now_us);
	syn_copy_sweep(copy, revision, now_us);
	if (revision > copy->revision)
		copy->revision = revision;
	copy->after[0] = '\0';
	syn_copy_complete(copy, now_us);
	if (first && copy->state->reachable)
		replace_listing(copy, now_us);
}

/* Takes over changes. BC_ECONFLICT if the copy does not hold what the sender holds afterwards. */
static enum bc_status take_changes(struct syn_copy *copy, const json_t *document, uint64_t now_us)
{
	uint64_t revision = number(document, "revision");
	uint64_t before = copy->revision;

	apply_all(copy, json_object_get(document, "objects"), now_us);
	apply_all(copy, json_object_get(document, "deleted"), now_us);
	if (digest_of(copy) != number(document, "digest")) {
		/* It does not hold all changes up to the newer ones, so it still counts as older.
		 */
		copy->revision = before;
		return BC_ECONFLICT;
	}
	copy->revision = revision;
	syn_copy_complete(copy, now_us);
	return BC_OK;
}

/* Takes over a peer's copy, or its changes, if it is newer than this one. */
enum bc_status syn_document_offer(struct syn_state *state, enum syn_kind kind,
				  const json_t *document, uint64_t now_us)
{
	struct syn_copy *copy = &state->copies[kind];

	if (!document_valid(document))
		return bc_fail(state->ctx, BC_EINVAL, "the peer's copy of %s is malformed",
			       syn_kind_names[kind]);
	if (copy->complete && number(document, "revision") <= copy->revision)
		return BC_EAGAIN;
	if (!json_object_get(document, "since")) {
		take_whole(copy, document, now_us);
		return BC_OK;
	}
	return copy->complete ? take_changes(copy, document, now_us) : BC_EAGAIN;
}
