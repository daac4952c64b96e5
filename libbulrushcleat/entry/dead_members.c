#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * In a large fleet thousands of VMs are replaced each day, and proxy entries in the store do not
 * expire. One proxy removes the entries of proxies that have been dead for DEAD_RETENTION_US. A
 * live proxy whose entry was removed sees this in its next list and writes the entry again.
 */

/* Longer than the restart of a VM and than most partitions. */
#define DEAD_RETENTION_US (10 * 60 * BC_US_PER_S)
#define REMOVAL_DUTY "forget-proxies"

struct dead_member {
	uint64_t since_us;
	char id[BC_ID_BYTES];
};

static void dead_member_remove(struct ent_entry *entry, struct dead_member *dead_member)
{
	apr_hash_set(entry->dead_members, dead_member->id, APR_HASH_KEY_STRING, NULL);
	free(dead_member);
}

static void dead_member_add(struct ent_entry *entry, const char *id, uint64_t now_us)
{
	struct dead_member *dead_member = calloc(1, sizeof(*dead_member));

	if (!dead_member)
		return;
	dead_member->since_us = now_us;
	snprintf(dead_member->id, sizeof(dead_member->id), "%s", id);
	apr_hash_set(entry->dead_members, dead_member->id, APR_HASH_KEY_STRING, dead_member);
	/* The analyzer does not see that the hash keeps the pointer. */
} /* NOLINT(clang-analyzer-unix.Malloc) */

/* Removes the records of members that are alive again or no longer known. */
static void prune_dead_members(struct ent_entry *entry)
{
	apr_hash_index_t *it = apr_hash_first(NULL, entry->dead_members);

	while (it) {
		struct dead_member *dead_member = apr_hash_this_val(it);
		const struct mem_update *member = mem_find(entry->members, dead_member->id);

		it = apr_hash_next(it);
		if (!member || member->health != MEM_DEAD)
			dead_member_remove(entry, dead_member);
	}
}

/*
 * Called after a list of the proxies: records the members that are dead, and removes the entries of
 * those that have been dead for DEAD_RETENTION_US.
 */
void ent_dead_members_check(struct ent_entry *entry, uint64_t now_us)
{
	bool on_duty = mem_duty_rank(entry->members, REMOVAL_DUTY, NULL) == 0;
	size_t i;

	prune_dead_members(entry);
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);
		struct dead_member *dead_member =
			apr_hash_get(entry->dead_members, member->id, APR_HASH_KEY_STRING);

		if (member->health != MEM_DEAD)
			continue;
		if (!dead_member) {
			dead_member_add(entry, member->id, now_us);
			continue;
		}
		if (!on_duty || now_us - dead_member->since_us < DEAD_RETENTION_US)
			continue;
		bc_log(entry->ctx, BC_LOG_INFO, "proxy_entry_removed", "{s:s,s:s,s:I}", "proxy",
		       member->id, "address", member->address, "dead_s",
		       (json_int_t)((now_us - dead_member->since_us) / BC_US_PER_S));
		entry->ops.remove_proxy(entry->ops.data, member->id);
	}
}

/* Frees the records of dead members. */
void ent_dead_members_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->dead_members)))
		dead_member_remove(entry, apr_hash_this_val(it));
}
