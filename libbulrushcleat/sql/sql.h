#ifndef BC_SQL_H
#define BC_SQL_H

/* Statements and results as the modules exchange them, independent of the driver's protocol. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Ends a row. No row contains it; a row may contain CR or LF alone. */
#define SQL_ROW_END "\r\n"
#define SQL_ROW_END_BYTES (sizeof(SQL_ROW_END) - 1)
#define SQL_NAME_BYTES 64 /* longest name of a session variable or prepared statement, with NUL */

enum sql_verb {
	SQL_BEGIN,
	SQL_BEGIN_READ, /* begins a transaction that only reads and may run on a replica */
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_READ,
	SQL_WRITE,
	SQL_SET,
	SQL_PREPARE,
	SQL_EXECUTE,
	SQL_DEALLOCATE,
	SQL_DISCARD, /* clears the session variables and prepared statements of a connection */
	SQL_STATUS,
	SQL_PAUSE_REPLICATION,	/* the replica receives nothing more; answered like SQL_STATUS */
	SQL_RESUME_REPLICATION, /* the replica receives again; answered like SQL_STATUS */
	SQL_MALFORMED,
};

/* A statement. Its strings are borrowed for the duration of the call. */
struct sql_statement {
	enum sql_verb verb;
	const char *id;	     /* the caller's id; NULL if the proxy's own */
	const char *text;    /* the caller's text, run unchanged; NULL if the proxy's own */
	const char *name;    /* of the session variable or prepared statement; NULL if none */
	const char *value;   /* value of SET, shape of PREPARE, or arguments of EXECUTE */
	bool prepares_write; /* PREPARE: whether the prepared statement writes */
	bool has_after;
	struct bc_position after; /* the endpoint runs it only if its log holds this position */
	uint64_t term;		  /* of SQL_PAUSE_REPLICATION: newer than all known terms */
};

enum sql_code {
	SQL_OK,
	SQL_BUSY,	    /* not run: the endpoint is overloaded, or this proxy refuses it */
	SQL_BEHIND,	    /* not run: the endpoint's log does not hold the requested position */
	SQL_READ_ONLY,	    /* not run: the endpoint is not the leader */
	SQL_WRONG_ENDPOINT, /* not run: another instance answers at this address */
	SQL_TOO_MANY_CONNECTIONS, /* not run: the endpoint accepts no further connection */
	SQL_ABORTED,		  /* the transaction is rolled back; none of its writes is kept */
	SQL_FAILED,		  /* ran and failed */
	SQL_TIMED_OUT,		  /* may have run */
	SQL_UNKNOWN_OUTCOME,	  /* may have run: the answer was lost */
	SQL_NO_PREPARED,	  /* not run: no such prepared statement */
	SQL_NO_DATABASE,
	SQL_TOO_LARGE,
	SQL_UNAUTHENTICATED, /* not run: the caller's key is not known */
	SQL_BAD_STATEMENT,
	SQL_CODES,
};

enum sql_state { SQL_IDLE, SQL_IN_TRANSACTION, SQL_FAILED_TRANSACTION };

/* A complete result. Its strings are borrowed for the duration of the call. */
struct sql_result {
	enum sql_code code;
	const char *message;   /* of an error; NULL if none */
	const char *signature; /* proof that the endpoint ran it; NULL if the proxy answers */
	const char *rows;      /* each row ends with SQL_ROW_END */
	size_t rows_bytes;
	enum sql_state state;
	bool has_position;
	struct bc_position position;
	/* Set for SQL_STATUS, SQL_PAUSE_REPLICATION and SQL_RESUME_REPLICATION only. */
	bool has_status;
	bool leads;
	uint64_t status_term;
	struct bc_position received; /* end of its log; `position` is the last one applied */
};

/* Stable lower-case names, for logs and metrics. */
const char *sql_code_name(enum sql_code code);
const char *sql_verb_name(enum sql_verb verb);
/* Whether the code promises that the statement did not run. */
bool sql_code_not_run(enum sql_code code);

#ifdef __cplusplus
}
#endif

#endif
