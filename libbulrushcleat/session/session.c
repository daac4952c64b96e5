#include "session/session.h"

#include <stdio.h>
#include <string.h>

/* Initialises a session without marks. The customer must be a valid id. */
void ses_session_init(struct ses_session *session, const char *customer, uint64_t id)
{
	memset(session, 0, sizeof(*session));
	snprintf(session->customer, sizeof(session->customer), "%s", customer);
	session->id = id;
}

/* The index of the database's mark, or mark_count if it has none. */
static uint32_t mark_find(const struct ses_session *session, const char *database)
{
	uint32_t i;

	for (i = 0; i < session->mark_count; i++) {
		if (strcmp(session->marks[i].database, database) == 0)
			break;
	}
	return i;
}

/* The session's mark for a database, or {0, 0} if it has none. */
struct bc_position ses_mark_get(const struct ses_session *session, const char *database)
{
	static const struct bc_position none;
	uint32_t i = mark_find(session, database);

	return i < session->mark_count ? session->marks[i].position : none;
}

/*
 * Moves the mark for a database forward; an older or equal position changes nothing. BC_EINVAL if
 * the database is not a valid id, BC_ELIMIT if SES_MARKS_MAX other databases have marks already.
 */
enum bc_status ses_mark_advance(struct bc_ctx *ctx, struct ses_session *session,
				const char *database, struct bc_position position)
{
	uint32_t i;

	if (!bc_id_valid(database))
		return bc_fail(ctx, BC_EINVAL, "the database name is not a valid id");
	i = mark_find(session, database);
	if (i == SES_MARKS_MAX)
		return bc_fail(ctx, BC_ELIMIT, "a session can use at most %d databases",
			       SES_MARKS_MAX);
	if (i == session->mark_count) {
		snprintf(session->marks[i].database, sizeof(session->marks[i].database), "%s",
			 database);
		session->marks[i].position = position;
		session->mark_count++;
		return BC_OK;
	}
	if (bc_position_compare(position, session->marks[i].position) > 0)
		session->marks[i].position = position;
	return BC_OK;
}
