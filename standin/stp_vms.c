#include "standin/stp_platform.h"

#include <stdlib.h>
#include <string.h>

struct stp_vms {
	struct stp_platform *platform;
	uint64_t lag_ms;
	uint64_t version;
	json_t *visible; /* array of the VMs that callers are given */
	json_t *by_id; /* every id ever used: its VM after the last change, or false once removed */
};

struct pending_change {
	struct stp_vms *vms;
	json_t *change;
};

/* Creates an empty list with version 1. */
struct stp_vms *stp_vms_create(struct stp_platform *platform)
{
	struct stp_vms *vms = calloc(1, sizeof(*vms));

	if (!vms)
		return NULL;
	vms->platform = platform;
	vms->version = 1;
	vms->visible = json_array();
	vms->by_id = json_object();
	return vms;
}

/* Sets the delay after which a change appears in the list. */
void stp_vms_lag_set(struct stp_vms *vms, uint64_t lag_ms)
{
	vms->lag_ms = lag_ms;
}

static size_t find_vm(const json_t *list, const char *id)
{
	size_t i;
	const json_t *vm;

	json_array_foreach(list, i, vm)
	{
		const char *other = json_string_value(json_object_get(vm, "id"));

		if (other && strcmp(other, id) == 0)
			return i;
	}
	return SIZE_MAX;
}

static bool is_one_of(const json_t *value, const char *a, const char *b)
{
	const char *text = json_string_value(value);

	return text && (strcmp(text, a) == 0 || strcmp(text, b) == 0);
}

static const char *check_vm(const json_t *vm)
{
	static const char *const texts[] = {"address", "domain", "region"};
	size_t i;

	if (!bc_id_valid(json_string_value(json_object_get(vm, "id"))))
		return "id must be a valid id";
	if (!is_one_of(json_object_get(vm, "kind"), "entry", "endpoint"))
		return "kind must be entry or endpoint";
	if (!is_one_of(json_object_get(vm, "state"), "live", "leaving"))
		return "state must be live or leaving";
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (!json_is_string(json_object_get(vm, texts[i])))
			return "address, domain and region must be text";
	return NULL;
}

static void publish_change(struct stp_vms *vms, const json_t *change)
{
	const char *id = json_string_value(json_object_get(change, "id"));
	size_t index = find_vm(vms->visible, id);

	if (json_is_true(json_object_get(change, "remove"))) {
		if (index != SIZE_MAX)
			json_array_remove(vms->visible, index);
	} else if (index != SIZE_MAX) {
		json_object_update(json_array_get(vms->visible, index),
				   (json_t *)(uintptr_t)change);
	} else {
		json_t *vm = json_copy((json_t *)(uintptr_t)change);

		if (!json_object_get(vm, "state"))
			json_object_set_new(vm, "state", json_string("live"));
		json_array_append_new(vms->visible, vm);
	}
	vms->version++;
	stp_watch_notify(vms->platform, NULL);
}

static void on_lag_elapsed(void *data)
{
	struct pending_change *pending = data;

	publish_change(pending->vms, pending->change);
	json_decref(pending->change);
	free(pending);
}

/* Checks the VM as the change would make it. Returns NULL or what is wrong. */
static const char *check_change(const struct stp_vms *vms, const json_t *change)
{
	const char *id = json_string_value(json_object_get(change, "id"));
	const json_t *known = id ? json_object_get(vms->by_id, id) : NULL;
	json_t *vm;
	const char *problem;

	if (!bc_id_valid(id))
		return "id must be a valid id";
	if (json_is_true(json_object_get(change, "remove")))
		return json_is_object(known) ? NULL : "there is no such VM";
	if (json_is_false(known))
		return "ids are never reused";
	vm = known ? json_copy((json_t *)(uintptr_t)known) : json_pack("{s:s}", "state", "live");
	json_object_update(vm, (json_t *)(uintptr_t)change);
	problem = check_vm(vm);
	json_decref(vm);
	return problem;
}

/*
 * Adds or changes a VM, or removes it with {"id","remove":true}; it appears in the list after the
 * lag. Returns NULL or what is wrong with the change.
 */
const char *stp_vms_change(struct stp_vms *vms, const json_t *change)
{
	const char *problem = check_change(vms, change);
	const char *id = json_string_value(json_object_get(change, "id"));
	json_t *known;
	struct pending_change *pending;

	if (problem)
		return problem;
	known = json_object_get(vms->by_id, id);
	if (json_is_true(json_object_get(change, "remove")))
		json_object_set_new(vms->by_id, id, json_false());
	else if (known)
		json_object_update(known, (json_t *)(uintptr_t)change);
	else
		json_object_set_new(vms->by_id, id, json_copy((json_t *)(uintptr_t)change));
	if (!vms->lag_ms) {
		publish_change(vms, change);
		return NULL;
	}
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		return "out of memory";
	pending->vms = vms;
	pending->change = json_copy((json_t *)(uintptr_t)change);
	io_timer_add(vms->platform->loop, vms->lag_ms * BC_US_PER_MS, on_lag_elapsed, pending);
	return NULL;
}

/* Adds the VMs of a file. BC_EINVAL: one is not valid; the last message has its index. */
enum bc_status stp_vms_load(struct stp_vms *vms, const json_t *list)
{
	size_t i;
	const json_t *vm;

	json_array_foreach(list, i, vm)
	{
		const char *problem = stp_vms_change(vms, vm);

		if (problem)
			return bc_fail(vms->platform->ctx, BC_EINVAL, "vms[%zu]: %s", i, problem);
	}
	return BC_OK;
}

/* The list's version. */
uint64_t stp_vms_version(const struct stp_vms *vms)
{
	return vms->version;
}

/* {"version","vms"}; a new reference. */
json_t *stp_vms_json(const struct stp_vms *vms)
{
	return json_pack("{s:I,s:o}", "version", (json_int_t)vms->version, "vms",
			 json_deep_copy(vms->visible));
}
