#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * The members that can take statements, by failure domain. The relays of an endpoint are chosen
 * from the domains near it, so after a change of the members only these are searched for each
 * endpoint, and not the whole fleet.
 */

struct ent_roster {
	bool built;
	uint64_t version; /* mem_version() at the time of the build */
	const struct mem_update **members;
	struct ent_roster_domain *domains;
	uint32_t domain_count;
	size_t capacity; /* of members and of domains */
};

/* Creates an empty roster. Returns NULL when out of memory. */
struct ent_roster *ent_roster_create(void)
{
	return calloc(1, sizeof(struct ent_roster));
}

/* Frees a roster. NULL is allowed. */
void ent_roster_destroy(struct ent_roster *roster)
{
	if (!roster)
		return;
	free(roster->members);
	free(roster->domains);
	free(roster);
}

static bool takes_statements(const struct mem_update *member)
{
	return member->health != MEM_DEAD && !member->leaving && member->domain[0];
}

static struct ent_roster_domain *find_or_add_domain(struct ent_roster *roster,
						    const struct mem_update *member)
{
	struct ent_roster_domain *domain;
	uint32_t i;

	for (i = 0; i < roster->domain_count; i++)
		if (strcmp(roster->domains[i].name, member->domain) == 0 &&
		    strcmp(roster->domains[i].region, member->region) == 0)
			return &roster->domains[i];
	domain = &roster->domains[roster->domain_count++];
	*domain = (struct ent_roster_domain){.name = member->domain, .region = member->region};
	return domain;
}

static bool reserve(struct ent_roster *roster, size_t count)
{
	const struct mem_update **members;
	struct ent_roster_domain *domains;

	if (count <= roster->capacity)
		return true;
	members = realloc(roster->members, count * sizeof(struct mem_update *));
	if (!members)
		return false;
	roster->members = members;
	domains = realloc(roster->domains, count * sizeof(*domains));
	if (!domains)
		return false;
	roster->domains = domains;
	roster->capacity = count;
	return true;
}

/* Counts the members of each domain, assigns each domain its slice of the array, then fills it. */
static void build(struct ent_roster *roster, const struct mem_state *members)
{
	const size_t count = mem_count(members);
	uint32_t assigned = 0;
	size_t i;

	roster->domain_count = 0;
	if (!reserve(roster, count))
		return;
	for (i = 0; i < count; i++)
		if (takes_statements(mem_at(members, i)))
			find_or_add_domain(roster, mem_at(members, i))->count++;
	for (i = 0; i < roster->domain_count; i++) {
		roster->domains[i].members = &roster->members[assigned];
		assigned += roster->domains[i].count;
		roster->domains[i].count = 0;
	}
	for (i = 0; i < count; i++) {
		const struct mem_update *member = mem_at(members, i);
		struct ent_roster_domain *domain;

		if (!takes_statements(member))
			continue;
		domain = find_or_add_domain(roster, member);
		/* The analyzer does not see that the first pass has set each domain's slice. */
		if (domain->members)
			domain->members[domain->count++] = member;
	}
	roster->version = mem_version(members);
	roster->built = true;
}

/* Returns the domains with their current members; valid until the members change. */
const struct ent_roster_domain *ent_roster_domains(const struct ent_entry *entry, uint32_t *count)
{
	struct ent_roster *roster = entry->roster;

	if (!roster->built || roster->version != mem_version(entry->members))
		build(roster, entry->members);
	*count = roster->domain_count;
	return roster->domains;
}
