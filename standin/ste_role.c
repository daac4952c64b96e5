#include "standin/ste_role.h"

#include <stdio.h>
#include <string.h>

static void clear_primary(struct ste_role *role)
{
	role->is_primary = false;
	role->primary[0] = '\0';
	role->address[0] = '\0';
}

/* Promises `term` to the candidate. A copy of a lower term then refuses writes and entries. */
bool ste_role_fence(struct ste_role *role, uint64_t term, const char *candidate)
{
	if (term < role->promised)
		return false;
	if (term == role->promised && strcmp(candidate, role->candidate) != 0)
		return false;
	role->promised = term;
	snprintf(role->candidate, sizeof(role->candidate), "%s", candidate);
	if (role->term < term)
		clear_primary(role);
	return true;
}

/*
 * Makes this copy the primary of the term that it promised to this candidate. Refused if it
 * already follows another primary of that term.
 */
bool ste_role_promote(struct ste_role *role, uint64_t term, const char *candidate, const char *self)
{
	if (term != role->promised || strcmp(candidate, role->candidate) != 0)
		return false;
	if (role->term == term && !role->is_primary)
		return false;
	role->is_primary = true;
	role->term = term;
	snprintf(role->primary, sizeof(role->primary), "%s", self);
	role->address[0] = '\0';
	return true;
}

/*
 * Follows a primary whose term is not below the promised one. The primary of that term refuses to
 * follow another; an order to follow itself is granted only to it and changes nothing.
 */
bool ste_role_follow(struct ste_role *role, uint64_t term, const char *primary, const char *address,
		     const char *self)
{
	if (term < role->promised || term < role->term)
		return false;
	if (strcmp(primary, self) == 0)
		return role->is_primary && role->term == term;
	if (role->is_primary && role->term == term)
		return false;
	if (term > role->promised) {
		role->promised = term;
		role->candidate[0] = '\0';
	}
	role->is_primary = false;
	role->term = term;
	snprintf(role->primary, sizeof(role->primary), "%s", primary);
	snprintf(role->address, sizeof(role->address), "%s", address);
	return true;
}

/* Whether all fields of two roles are equal. */
bool ste_role_equal(const struct ste_role *a, const struct ste_role *b)
{
	return a->is_primary == b->is_primary && a->term == b->term && a->promised == b->promised &&
	       strcmp(a->candidate, b->candidate) == 0 && strcmp(a->primary, b->primary) == 0 &&
	       strcmp(a->address, b->address) == 0;
}

/* After a process restart, a primary stays primary only if it has promised no later term. */
void ste_role_restart(struct ste_role *role)
{
	if (role->is_primary && role->promised != role->term)
		clear_primary(role);
}

/* Whether log entries sent by the primary of `term` may be accepted. */
bool ste_role_may_receive(const struct ste_role *role, uint64_t term)
{
	return !role->is_primary && role->primary[0] && role->term == term &&
	       term >= role->promised;
}

/* The role as JSON for the state table; a new reference. */
json_t *ste_role_json(const struct ste_role *role)
{
	return json_pack("{s:b,s:I,s:I,s:s,s:s,s:s}", "is_primary", role->is_primary, "term",
			 (json_int_t)role->term, "promised", (json_int_t)role->promised,
			 "candidate", role->candidate, "primary", role->primary, "address",
			 role->address);
}

/* Parses the text of ste_role_json(). BC_EINVAL if it is damaged. */
enum bc_status ste_role_parse(struct bc_ctx *ctx, const char *text, struct ste_role *role)
{
	json_t *json = json_loads(text, 0, NULL);
	json_int_t term = 0;
	json_int_t promised = 0;
	int is_primary = 0;
	const char *candidate = "";
	const char *primary = "";
	const char *address = "";

	if (json_unpack(json, "{s:b,s:I,s:I,s:s,s:s,s:s}", "is_primary", &is_primary, "term", &term,
			"promised", &promised, "candidate", &candidate, "primary", &primary,
			"address", &address) != 0) {
		json_decref(json);
		return bc_fail(ctx, BC_EINVAL, "the stored role is damaged");
	}
	role->is_primary = is_primary != 0;
	role->term = (uint64_t)term;
	role->promised = (uint64_t)promised;
	snprintf(role->candidate, sizeof(role->candidate), "%s", candidate);
	snprintf(role->primary, sizeof(role->primary), "%s", primary);
	snprintf(role->address, sizeof(role->address), "%s", address);
	json_decref(json);
	return BC_OK;
}
