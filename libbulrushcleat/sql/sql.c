#include "sql/sql.h"

static const char *const code_names[SQL_CODES] = {
	[SQL_OK] = "ok",
	[SQL_BUSY] = "busy",
	[SQL_BEHIND] = "behind",
	[SQL_READ_ONLY] = "read_only",
	[SQL_WRONG_ENDPOINT] = "wrong_endpoint",
	[SQL_TOO_MANY_CONNECTIONS] = "connections",
	[SQL_ABORTED] = "aborted",
	[SQL_FAILED] = "failed",
	[SQL_TIMED_OUT] = "timed_out",
	[SQL_UNKNOWN_OUTCOME] = "unknown_outcome",
	[SQL_NO_PREPARED] = "no_prepared",
	[SQL_NO_DATABASE] = "no_database",
	[SQL_TOO_LARGE] = "too_large",
	[SQL_UNAUTHENTICATED] = "unauthenticated",
	[SQL_BAD_STATEMENT] = "bad_statement",
};

static const char *const verb_names[] = {
	[SQL_BEGIN] = "begin",
	[SQL_BEGIN_READ] = "begin_read",
	[SQL_COMMIT] = "commit",
	[SQL_ROLLBACK] = "rollback",
	[SQL_READ] = "read",
	[SQL_WRITE] = "write",
	[SQL_SET] = "set",
	[SQL_PREPARE] = "prepare",
	[SQL_EXECUTE] = "execute",
	[SQL_DEALLOCATE] = "deallocate",
	[SQL_DISCARD] = "discard",
	[SQL_STATUS] = "status",
	[SQL_PAUSE_REPLICATION] = "pause_replication",
	[SQL_RESUME_REPLICATION] = "resume_replication",
	[SQL_MALFORMED] = "malformed",
};

/* Stable lower-case name of a code. */
const char *sql_code_name(enum sql_code code)
{
	return code < SQL_CODES ? code_names[code] : "unknown_code";
}

/* Stable lower-case name of a verb. */
const char *sql_verb_name(enum sql_verb verb)
{
	return verb <= SQL_MALFORMED ? verb_names[verb] : "unknown_verb";
}

/* Whether the code proves that the statement had no effect. */
bool sql_code_not_run(enum sql_code code)
{
	switch (code) {
	case SQL_BUSY:
	case SQL_BEHIND:
	case SQL_READ_ONLY:
	case SQL_WRONG_ENDPOINT:
	case SQL_TOO_MANY_CONNECTIONS:
	case SQL_NO_PREPARED:
		return true;
	default:
		return false;
	}
}
