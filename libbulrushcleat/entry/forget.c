#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * VMs come and go for good, thousands a day in a large fleet, and nothing in the store ends by
 * itself. One proxy removes the entries of those that have been dead for long; a proxy whose entry
 * is removed while it lives sees that with its next listing and writes it again.
 */

/* Longer than a VM takes to be started anew, and than most partitions. */
#define FORGET_US (10 * 60 * BC_US_PER_S)
#define FORGET_DUTY "forget-proxies"

/* A member that is dead. */
struct absence {
	uint64_t since_us;
	char id[BC_ID_BYTES];
};

static void absence_end(struct ent_entry *entry, struct absence *absence)
{
	apr_hash_set(entry->absences, absence->id, APR_HASH_KEY_STRING, NULL);
	free(absence);
}

static void absence_begin(struct ent_entry *entry, const char *id, uint64_t now_us)
{
	struct absence *absence = calloc(1, sizeof(*absence));

	if (!absence)
		return;
	absence->since_us = now_us;
	snprintf(absence->id, sizeof(absence->id), "%s", id);
	apr_hash_set(entry->absences, absence->id, APR_HASH_KEY_STRING, absence);
	/* The analyzer does not see that the hash keeps the absence. */
} /* NOLINT(clang-analyzer-unix.Malloc) */

/* Ends the absences of members that are back or not known any more. */
static void end_absences(struct ent_entry *entry)
{
	apr_hash_index_t *it = apr_hash_first(NULL, entry->absences);

	while (it) {
		struct absence *absence = apr_hash_this_val(it);
		const struct mem_update *member = mem_find(entry->members, absence->id);

		it = apr_hash_next(it);
		if (!member || member->health != MEM_DEAD)
			absence_end(entry, absence);
	}
}

/* After a listing of the proxies: notes who is dead and removes the entries of those long gone. */
void ent_absences_check(struct ent_entry *entry, uint64_t now_us)
{
	bool on_duty = mem_duty_rank(entry->members, FORGET_DUTY, NULL) == 0;
	size_t i;

	end_absences(entry);
	for (i = 0; i < mem_count(entry->members); i++) {
		const struct mem_update *member = mem_at(entry->members, i);
		struct absence *absence =
			apr_hash_get(entry->absences, member->id, APR_HASH_KEY_STRING);

		if (member->health != MEM_DEAD)
			continue;
		if (!absence) {
			absence_begin(entry, member->id, now_us);
			continue;
		}
		if (!on_duty || now_us - absence->since_us < FORGET_US)
			continue;
		bc_log(entry->ctx, BC_LOG_INFO, "proxy_forgotten", "{s:s,s:s,s:I}", "proxy",
		       member->id, "address", member->address, "dead_s",
		       (json_int_t)((now_us - absence->since_us) / BC_US_PER_S));
		entry->ports.forget(entry->ports.data, member->id);
	}
}

/* Frees what is known of dead members. */
void ent_absences_free(struct ent_entry *entry)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, entry->absences)))
		absence_end(entry, apr_hash_this_val(it));
}
