#ifndef STE_ROLE_H
#define STE_ROLE_H

/* Role, term and promised term of one copy of a database, and how orders change them. */

#include "core/core.h"

struct ste_role {
	bool is_primary;
	uint64_t term;		     /* term of the primary that this copy is or follows */
	uint64_t promised;	     /* writes and entries of lower terms are refused */
	char candidate[BC_ID_BYTES]; /* candidate that `promised` was given to; may be empty */
	char primary[BC_ID_BYTES];   /* empty if unknown */
	char address[BC_ADDRESS_BYTES];
};

bool ste_role_fence(struct ste_role *role, uint64_t term, const char *candidate);
bool ste_role_promote(struct ste_role *role, uint64_t term, const char *candidate,
		      const char *self);
bool ste_role_follow(struct ste_role *role, uint64_t term, const char *primary, const char *address,
		     const char *self);
bool ste_role_equal(const struct ste_role *a, const struct ste_role *b);
void ste_role_restart(struct ste_role *role);
bool ste_role_may_receive(const struct ste_role *role, uint64_t term);
json_t *ste_role_json(const struct ste_role *role);
enum bc_status ste_role_parse(struct bc_ctx *ctx, const char *text, struct ste_role *role);

#endif
