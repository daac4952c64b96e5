#ifndef BC_SQL_H
#define BC_SQL_H

/* Statements and results as the slices exchange them, whatever the driver speaks. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SQL_NAME_BYTES 64 /* longest name of a value or prepared statement, with NUL */

enum sql_verb {
	SQL_BEGIN,
	SQL_BEGIN_READ, /* a transaction that only reads and may run on a replica */
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_READ,
	SQL_WRITE,
	SQL_SET,
	SQL_PREPARE,
	SQL_EXECUTE,
	SQL_DEALLOCATE,
	SQL_DISCARD, /* clears the values and prepared names of a connection */
	SQL_STATUS,
	SQL_PAUSE_REPLICATION,	/* the copy receives nothing more; answered like SQL_STATUS */
	SQL_RESUME_REPLICATION, /* the same the other way */
	SQL_MALFORMED,
};

/* A statement. Strings are borrowed for the call. */
struct sql_statement {
	enum sql_verb verb;
	const char *id;	     /* the caller's id; NULL for statements of the proxy itself */
	const char *text;    /* the caller's text, run unchanged; NULL for own statements */
	const char *name;    /* of the value or prepared statement; NULL if none */
	const char *value;   /* of SET; shape of PREPARE; arguments of EXECUTE */
	bool prepares_write; /* PREPARE: whether the prepared statement writes */
	bool has_after;
	struct bc_position after; /* run only on a log that holds this position */
	uint64_t term;		  /* of SQL_PAUSE_REPLICATION: newer than all that are known */
};

enum sql_code {
	SQL_OK,
	SQL_BUSY,	     /* not run: overloaded, or this proxy refuses */
	SQL_BEHIND,	     /* not run: the log lacks the asked-for position */
	SQL_READ_ONLY,	     /* not run: the endpoint does not lead */
	SQL_WRONG_ENDPOINT,  /* not run: another instance answers at this address */
	SQL_CONNECTIONS,     /* not run: too many connections */
	SQL_ABORTED,	     /* the transaction is rolled back, nothing of it is kept */
	SQL_FAILED,	     /* ran and failed */
	SQL_TIMED_OUT,	     /* may have run */
	SQL_UNKNOWN_OUTCOME, /* may have run: the answer is lost */
	SQL_NO_PREPARED,     /* not run: no such prepared statement */
	SQL_NO_DATABASE,
	SQL_TOO_LARGE,
	SQL_REFUSED_CALLER,
	SQL_BAD_STATEMENT,
	SQL_CODES,
};

enum sql_state { SQL_IDLE, SQL_IN_TRANSACTION, SQL_FAILED_TRANSACTION };

/* A whole result. Strings are borrowed for the call. */
struct sql_result {
	enum sql_code code;
	const char *message;   /* of an error; NULL if none */
	const char *signature; /* proof of the endpoint's work; NULL for the proxy's own answers */
	const char *rows;      /* each row ends with '\n' */
	size_t rows_bytes;
	enum sql_state state;
	bool has_position;
	struct bc_position position;
	/* Of SQL_STATUS and the statements on replication only. */
	bool has_status;
	bool leads;
	uint64_t status_term;
	struct bc_position received; /* what its log holds; `position` is what it has applied */
};

/* A stable lower-case name, for logs and metrics. */
const char *sql_code_name(enum sql_code code);
const char *sql_verb_name(enum sql_verb verb);
/* Whether the code promises that the statement did not run. */
bool sql_code_not_run(enum sql_code code);

#ifdef __cplusplus
}
#endif

#endif
