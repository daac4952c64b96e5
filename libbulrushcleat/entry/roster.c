#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * The members that can take statements, by failure domain. Holders are chosen for each endpoint
 * from those near it, so that a change of the members costs a part of the fleet for each endpoint.
 */

struct ent_roster {
	bool built;
	uint64_t version; /* of the members that it was built from */
	const struct mem_update **members;
	struct ent_roster_domain *domains;
	uint32_t domain_count;
	size_t size; /* members and domains that there is room for */
};

/* Creates an empty roster; NULL when out of memory. */
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

static bool is_listed(const struct mem_update *member)
{
	return member->health != MEM_DEAD && !member->leaving && member->domain[0];
}

static struct ent_roster_domain *domain_of(struct ent_roster *roster,
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

static bool make_room(struct ent_roster *roster, size_t count)
{
	const struct mem_update **members;
	struct ent_roster_domain *domains;

	if (count <= roster->size)
		return true;
	members = realloc(roster->members, count * sizeof(struct mem_update *));
	if (!members)
		return false;
	roster->members = members;
	domains = realloc(roster->domains, count * sizeof(*domains));
	if (!domains)
		return false;
	roster->domains = domains;
	roster->size = count;
	return true;
}

/* Counts the members of each domain, gives each domain its part of the list, then fills it. */
static void build(struct ent_roster *roster, const struct mem_state *members)
{
	const size_t count = mem_count(members);
	uint32_t used = 0;
	size_t i;

	roster->domain_count = 0;
	if (!make_room(roster, count))
		return;
	for (i = 0; i < count; i++)
		if (is_listed(mem_at(members, i)))
			domain_of(roster, mem_at(members, i))->count++;
	for (i = 0; i < roster->domain_count; i++) {
		roster->domains[i].members = &roster->members[used];
		used += roster->domains[i].count;
		roster->domains[i].count = 0;
	}
	for (i = 0; i < count; i++) {
		const struct mem_update *member = mem_at(members, i);
		struct ent_roster_domain *domain;

		if (!is_listed(member))
			continue;
		domain = domain_of(roster, member);
		/* The analyzer does not see that the first pass has found each domain. */
		if (domain->members)
			domain->members[domain->count++] = member;
	}
	roster->version = mem_version(members);
	roster->built = true;
}

/* The domains with their members as of now; valid until the members change. */
const struct ent_roster_domain *ent_roster_domains(const struct ent_entry *entry, uint32_t *count)
{
	struct ent_roster *roster = entry->roster;

	if (!roster->built || roster->version != mem_version(entry->members))
		build(roster, entry->members);
	*count = roster->domain_count;
	return roster->domains;
}
