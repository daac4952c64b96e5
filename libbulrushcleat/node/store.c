#include "node/node_internal.h"

#include "core/entries.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#define STORE_BACKOFF_FIRST_US (200 * BC_US_PER_MS)
#define WATCHERS_PER_DOMAIN 2
#define SHARES_PREFIX "shares/"
/*
 * One answer then reports all changes of the interval. The delay is harmless, since shares are read
 * again after seconds anyway.
 */
#define SHARES_WATCH_INTERVAL_US (500 * BC_US_PER_MS)

/* Level at which the entries of {"vms":[{}]} open. */
#define VM_ENTRY_LEVEL 3U

static const char *const document_names[DOC_COUNT] = {"config", "groups", "vms"};

static void config_update(struct nod_node *node, json_t *value)
{
	if (cfg_adopt(node->config, value) == BC_EINVAL)
		bc_log(node->ctx, BC_LOG_ERROR, "bad_config", "{s:s}", "error",
		       bc_last_message(node->ctx));
}

static bool groups_update(struct nod_node *node, const json_t *value)
{
	if (rte_groups_load(node->route, value) != BC_OK) {
		bc_log(node->ctx, BC_LOG_ERROR, "bad_groups", "{s:s}", "error",
		       bc_last_message(node->ctx));
		return false;
	}
	nod_probe_groups_changed(node);
	return true;
}

static bool vm_member(const json_t *vm, struct mem_update *member)
{
	const char *id = json_string_value(json_object_get(vm, "id"));
	const char *address = json_string_value(json_object_get(vm, "address"));
	const char *domain = json_string_value(json_object_get(vm, "domain"));
	const char *region = json_string_value(json_object_get(vm, "region"));

	if (!bc_id_valid(id) || !address || strlen(address) >= BC_ADDRESS_BYTES)
		return false;
	memset(member, 0, sizeof(*member));
	snprintf(member->id, sizeof(member->id), "%s", id);
	snprintf(member->address, sizeof(member->address), "%s", address);
	snprintf(member->domain, sizeof(member->domain), "%s", domain ? domain : "");
	snprintf(member->region, sizeof(member->region), "%s", region ? region : "");
	return true;
}

static void vm_update(struct nod_node *node, const json_t *vm, apr_hash_t *entries)
{
	const char *kind = json_string_value(json_object_get(vm, "kind"));
	const char *state = json_string_value(json_object_get(vm, "state"));
	bool leaving = state && strcmp(state, "leaving") == 0;
	struct mem_update member;

	if (!kind || !vm_member(vm, &member))
		return;
	if (strcmp(kind, "endpoint") == 0) {
		nod_leaving_set(node, member.id, leaving);
		return;
	}
	apr_hash_set(entries, apr_pmemdup(apr_hash_pool_get(entries), member.id, BC_ID_BYTES),
		     APR_HASH_KEY_STRING, node);
	member.leaving = leaving;
	if (strcmp(member.id, node->settings.id) != 0)
		mem_add(node->members, &member, node->now_us);
}

/* Removes the members whose entry VM is no longer on the list, since it does not run any more. */
static void remove_absent_members(struct nod_node *node, const json_t *before, apr_hash_t *entries)
{
	const json_t *vm;
	size_t i;

	json_array_foreach(json_object_get(before, "vms"), i, vm)
	{
		const char *kind = json_string_value(json_object_get(vm, "kind"));
		const char *id = json_string_value(json_object_get(vm, "id"));

		if (!kind || !id || strcmp(kind, "entry") != 0 ||
		    apr_hash_get(entries, id, APR_HASH_KEY_STRING))
			continue;
		mem_remove(node->members, id, node->now_us);
	}
}

static void vms_update(struct nod_node *node, const json_t *value)
{
	const json_t *vms = json_object_get(value, "vms");
	apr_hash_index_t *it;
	apr_hash_t *entries;
	apr_pool_t *scratch;
	const char **ids;
	const json_t *vm;
	size_t count = 0;
	size_t i;

	apr_pool_create(&scratch, node->pool);
	entries = apr_hash_make(scratch);
	json_array_foreach(vms, i, vm)
	{
		vm_update(node, vm, entries);
	}
	remove_absent_members(node, node->documents[DOC_VMS].value, entries);
	ids = apr_pcalloc(scratch, (apr_hash_count(entries) + 1) * sizeof(*ids));
	for (it = apr_hash_first(scratch, entries); it; it = apr_hash_next(it)) {
		const void *key;

		apr_hash_this(it, &key, NULL, NULL);
		ids[count++] = key;
	}
	lim_fleet_set(node->limits, ids, count);
	apr_pool_destroy(scratch);
}

/*
 * Applies a document from the store or a peer. Returns true, and sends it to peers, if it is newer
 * than the one held. An older or malformed document changes nothing.
 */
bool nod_document_update(struct nod_node *node, enum document document, uint64_t version,
			 json_t *value)
{
	struct document_state *state = &node->documents[document];

	if (version <= state->version)
		return false;
	if (document == DOC_CONFIG) {
		config_update(node, value);
		if (cfg_revision(node->config) <= state->version)
			return false;
		version = cfg_revision(node->config);
	} else if (document == DOC_GROUPS) {
		if (!groups_update(node, value))
			return false;
	} else {
		vms_update(node, value);
	}
	json_incref(value);
	json_decref(state->value);
	state->value = value;
	state->version = version;
	bc_log(node->ctx, BC_LOG_INFO, "document", "{s:s,s:I}", "name", document_names[document],
	       "version", (json_int_t)version);
	nod_peer_push(node, document);
	return true;
}

/* Doubles the delay after a failed watch and returns the time of the next attempt. */
static uint64_t watch_retry_time(struct nod_node *node, uint64_t *backoff_us)
{
	*backoff_us = *backoff_us ? 2 * *backoff_us : STORE_BACKOFF_FIRST_US;
	if (*backoff_us > NOD_STORE_RETRY_MAX_US)
		*backoff_us = NOD_STORE_RETRY_MAX_US;
	bc_counter_add(node->ctx, "bulrushcleat_store_failures_total", NULL, 1);
	return node->now_us + *backoff_us / 2 + bc_random_below(node->ctx, *backoff_us / 2 + 1);
}

static void apply_stored_document(struct nod_node *node, enum document document, json_t *body)
{
	json_t *version = json_object_get(body, "version");
	json_t *value = document == DOC_VMS ? body : json_object_get(body, "value");
	struct document_state *state = &node->documents[document];
	uint64_t new_version;

	if (!json_is_integer(version) || !value)
		return;
	new_version = (uint64_t)json_integer_value(version);
	state->store_version = new_version;
	if (document == DOC_CONFIG)
		new_version = (uint64_t)json_integer_value(json_object_get(value, "revision"));
	nod_document_update(node, document, new_version, value);
}

static void on_watch_answer(struct nod_node *node, const struct pending_call *pending,
			    const struct nod_answer *answer)
{
	enum document document = (enum document)pending->context_id;
	struct document_state *state = &node->documents[document];
	uint32_t replaced = 0;
	json_t *body;

	state->watching = false;
	if (answer->result != NOD_CALL_ANSWERED ||
	    (answer->status != 200 && answer->status != 204 && answer->status != 404)) {
		state->retry_at_us = watch_retry_time(node, &state->backoff_us);
		return;
	}
	state->backoff_us = 0;
	state->store_answered = true;
	/* A missing object is requested again after a second. */
	state->retry_at_us = answer->status == 404 ? node->now_us + BC_US_PER_S : node->now_us;
	if (answer->status != 200)
		return;
	/* An unreadable VM hides no others; the other documents are used as a whole or not at all.
	 */
	body = document == DOC_VMS ? bc_entries_load(answer->body, strlen(answer->body),
						     VM_ENTRY_LEVEL, &replaced)
				   : json_loads(answer->body, 0, NULL);
	if (replaced)
		bc_log(node->ctx, BC_LOG_WARN, "vms_unreadable", "{s:i}", "count", (int)replaced);
	if (body)
		apply_stored_document(node, document, body);
	json_decref(body);
}

static void watch_document(struct nod_node *node, enum document document, uint32_t wait_ms)
{
	struct pending_call pending = {
		.destination = NOD_TO_PLATFORM, .done = on_watch_answer, .context_id = document};
	struct document_state *state = &node->documents[document];
	unsigned long long after = state->store_version;
	char path[128];

	if (document == DOC_VMS)
		snprintf(path, sizeof(path), "/v1/vms?after=%llu&wait_ms=%u", after, wait_ms);
	else
		snprintf(path, sizeof(path), "/v1/watch/%s?after=%llu&wait_ms=%u",
			 document_names[document], after, wait_ms);
	state->watching = true;
	nod_call_send(node, &pending, "GET", path, NULL, NULL,
		      wait_ms * BC_US_PER_MS + NOD_STORE_TIMEOUT_US);
}

static void apply_share_changes(struct nod_node *node, const json_t *body)
{
	const json_t *object;
	size_t i;

	json_array_foreach(json_object_get(body, "objects"), i, object)
	{
		const char *name = json_string_value(json_object_get(object, "name"));
		json_int_t version = json_integer_value(json_object_get(object, "version"));

		if (name && strncmp(name, SHARES_PREFIX, strlen(SHARES_PREFIX)) == 0)
			lim_changed(node->limits, name + strlen(SHARES_PREFIX), (uint64_t)version,
				    node->now_us);
	}
	node->shares.last_version = (uint64_t)json_integer_value(json_object_get(body, "version"));
}

static void on_shares_watch_answer(struct nod_node *node, const struct pending_call *pending,
				   const struct nod_answer *answer)
{
	struct shares_watch *watch = &node->shares;
	bool answered = answer->result == NOD_CALL_ANSWERED;
	json_t *body = answered && answer->status == 200 ? json_loads(answer->body, 0, NULL) : NULL;

	(void)pending;
	watch->watching = false;
	if (!body && !(answered && answer->status == 204)) {
		/* While the watch fails, or if the platform has none, shares are polled. */
		lim_watch_set(node->limits, false, node->now_us);
		watch->retry_at_us = watch_retry_time(node, &watch->backoff_us);
		return;
	}
	watch->backoff_us = 0;
	watch->retry_at_us = node->now_us + SHARES_WATCH_INTERVAL_US;
	lim_watch_set(node->limits, true, node->now_us);
	if (body)
		apply_share_changes(node, body);
	json_decref(body);
}

/* Watches the customers' share objects, so that those of idle customers need not be polled. */
static void watch_shares(struct nod_node *node)
{
	struct pending_call pending = {.destination = NOD_TO_PLATFORM,
				       .done = on_shares_watch_answer};
	char path[128];

	snprintf(path, sizeof(path), "/v1/changes?prefix=" SHARES_PREFIX "&after=%llu&wait_ms=%u",
		 (unsigned long long)node->shares.last_version, NOD_WATCH_WAIT_MS);
	node->shares.watching = true;
	nod_call_send(node, &pending, "GET", path, NULL, NULL,
		      NOD_WATCH_WAIT_MS * BC_US_PER_MS + NOD_STORE_TIMEOUT_US);
}

/*
 * Keeps the watches of the store running. Every proxy watches the share objects; the documents are
 * watched by WATCHERS_PER_DOMAIN proxies of each failure domain. The others read each document once
 * at the start and get changes from their peers.
 */
void nod_store_tick(struct nod_node *node)
{
	int32_t rank = mem_duty_rank(node->members, "watch", node->settings.domain);
	bool is_watcher = rank != MEM_NO_RANK && rank < WATCHERS_PER_DOMAIN;
	int i;

	if (!node->shares.watching && node->shares.retry_at_us <= node->now_us)
		watch_shares(node);
	for (i = 0; i < DOC_COUNT; i++) {
		struct document_state *state = &node->documents[i];

		if (state->watching || state->retry_at_us > node->now_us)
			continue;
		if (is_watcher || !state->store_answered)
			watch_document(node, (enum document)i,
				       state->store_answered ? NOD_DOCUMENT_WAIT_MS : 0);
	}
}

static enum bc_status store_status(const struct nod_answer *answer)
{
	if (answer->result != NOD_CALL_ANSWERED)
		return BC_EIO;
	switch (answer->status) {
	case 200:
	case 201:
		return BC_OK;
	case 404:
		return BC_ENOTFOUND;
	case 409:
		return BC_ECONFLICT;
	default:
		return BC_EIO;
	}
}

static void on_limit_answer(struct nod_node *node, const struct pending_call *pending,
			    const struct nod_answer *answer)
{
	enum bc_status status = store_status(answer);
	json_t *body =
		answer->result == NOD_CALL_ANSWERED ? json_loads(answer->body, 0, NULL) : NULL;
	uint64_t version = (uint64_t)json_integer_value(json_object_get(body, "version"));

	if ((status == BC_OK || status == BC_ECONFLICT) && !body)
		status = BC_EIO;
	lim_store_result(node->limits, pending->context_id, status, version,
			 json_object_get(body, "value"), node->now_us);
	json_decref(body);
}

static void on_limit_store(void *data, uint64_t call, enum lim_store_op op, const char *name,
			   uint64_t if_version, json_t *value)
{
	struct nod_node *node = data;
	struct pending_call pending = {
		.destination = NOD_TO_PLATFORM, .done = on_limit_answer, .context_id = call};
	char path[256];
	json_t *body = NULL;
	char *text = NULL;

	snprintf(path, sizeof(path), "/v1/objects/%s", name);
	if (op == LIM_PUT) {
		body = json_pack("{s:I,s:O}", "if_version", (json_int_t)if_version, "value", value);
		text = json_dumps(body, JSON_COMPACT);
	}
	nod_call_send(node, &pending, op == LIM_PUT ? "PUT" : "GET", path, text, NULL,
		      NOD_STORE_TIMEOUT_US);
	free(text);
	json_decref(body);
}

static void on_limit_grown(void *data, const char *customer)
{
	nod_jobs_admit_next(data, customer);
}

const struct lim_ops nod_limit_ops = {on_limit_store, on_limit_grown};
