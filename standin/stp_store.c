#include "standin/stp_store.h"

#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 256U

struct stp_store {
	struct bc_ctx *ctx;
	uint64_t last_version; /* never reused, not even after a deletion */
	json_t *objects;       /* name -> {"version", "value"} */
};

/* Creates an empty store. */
struct stp_store *stp_store_create(struct bc_ctx *ctx)
{
	struct stp_store *store = calloc(1, sizeof(*store));

	if (!store)
		return NULL;
	store->ctx = ctx;
	store->objects = json_object();
	return store;
}

/* Frees the store. NULL is allowed. */
void stp_store_destroy(struct stp_store *store)
{
	if (!store)
		return;
	json_decref(store->objects);
	free(store);
}

/* Whether the name is 1 to 255 characters of [A-Za-z0-9._/-]. */
bool stp_store_name_valid(const char *name)
{
	size_t length =
		strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-/");

	return length > 0 && length < NAME_MAX_BYTES && name[length] == '\0';
}

/* The object's version, 0 if there is none. */
uint64_t stp_store_version(const struct stp_store *store, const char *name)
{
	const json_t *object = json_object_get(store->objects, name);

	return (uint64_t)json_integer_value(json_object_get(object, "version"));
}

/* {"version","value"} of an object, or version 0 and a null value. A new reference. */
json_t *stp_store_get(const struct stp_store *store, const char *name)
{
	json_t *object = json_object_get(store->objects, name);

	return object ? json_incref(object) : json_pack("{s:i,s:n}", "version", 0, "value");
}

static enum bc_status check_version(struct stp_store *store, const char *name, uint64_t if_version)
{
	uint64_t current = stp_store_version(store, name);

	if (current == if_version)
		return BC_OK;
	return bc_fail(store->ctx, BC_ECONFLICT, "%s has version %llu", name,
		       (unsigned long long)current);
}

/* Sets an object if its version is if_version (0: there is none). BC_ECONFLICT otherwise. */
enum bc_status stp_store_put(struct stp_store *store, const char *name, uint64_t if_version,
			     json_t *value, uint64_t *version)
{
	enum bc_status status = check_version(store, name, if_version);

	if (status != BC_OK)
		return status;
	*version = ++store->last_version;
	json_object_set_new(
		store->objects, name,
		json_pack("{s:I,s:O}", "version", (json_int_t)*version, "value", value));
	return BC_OK;
}

/* Deletes an object if its version is if_version. BC_ENOTFOUND, BC_ECONFLICT. */
enum bc_status stp_store_delete(struct stp_store *store, const char *name, uint64_t if_version)
{
	enum bc_status status;

	if (!stp_store_version(store, name))
		return bc_fail(store->ctx, BC_ENOTFOUND, "there is no %s", name);
	status = check_version(store, name, if_version);
	if (status != BC_OK)
		return status;
	store->last_version++;
	json_object_del(store->objects, name);
	return BC_OK;
}

/* The highest version among the objects with this prefix, 0 if there are none. */
uint64_t stp_store_newest(const struct stp_store *store, const char *prefix)
{
	uint64_t newest = 0;
	const char *name;
	json_t *object;

	json_object_foreach(store->objects, name, object)
	{
		uint64_t version = stp_store_version(store, name);

		if (strncmp(name, prefix, strlen(prefix)) == 0 && version > newest)
			newest = version;
	}
	return newest;
}

/* {"version","objects":[{"name","version"}]} of the versions above `after`; a new reference. */
json_t *stp_store_changes(const struct stp_store *store, const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	uint64_t newest = after;
	const char *name;
	json_t *object;

	json_object_foreach(store->objects, name, object)
	{
		uint64_t version = stp_store_version(store, name);

		if (strncmp(name, prefix, strlen(prefix)) != 0 || version <= after)
			continue;
		if (version > newest)
			newest = version;
		json_array_append_new(
			list, json_pack("{s:s,s:I}", "name", name, "version", (json_int_t)version));
	}
	return json_pack("{s:I,s:o}", "version", (json_int_t)newest, "objects", list);
}

/* All objects with this prefix as an array of {"name","version","value"}; a new reference. */
json_t *stp_store_list(const struct stp_store *store, const char *prefix)
{
	json_t *list = json_array();
	const char *name;
	json_t *object;

	json_object_foreach(store->objects, name, object)
	{
		json_t *row;

		if (strncmp(name, prefix, strlen(prefix)) != 0)
			continue;
		row = json_copy(object);
		json_object_set_new(row, "name", json_string(name));
		json_array_append_new(list, row);
	}
	return list;
}
