#ifndef BC_SQL_RELAY_H
#define BC_SQL_RELAY_H

/*
 * Messages between proxies. With an order, a proxy (the origin) asks the relay, a proxy that has
 * connections to an endpoint, to run a statement there; the reply carries the result. A stream is a
 * session's use of an endpoint, for one statement or one transaction.
 */

#include "sql/sql.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Must not be below STM_MAP_ENTRIES_MAX, the limit of a session's variables. */
#define SQL_VARIABLES_MAX 64U

/* Limits of one message between proxies, for the texts of an order and the rows of a reply. */
#define SQL_ORDER_TEXT_MAX_BYTES ((size_t)1024 * 1024)
#define SQL_REPLY_ROWS_MAX_BYTES ((size_t)1024 * 1024)

struct sql_variable {
	const char *name;
	const char *value;
};

enum sql_order_kind {
	SQL_ORDER_RUN,
	SQL_ORDER_END,	 /* ends the stream; its transaction is rolled back */
	SQL_ORDER_PROBE, /* asks whether the proxy is alive, and for a sample of the group */
};

struct sql_order {
	enum sql_order_kind kind;
	uint64_t stream;
	uint64_t sent_us; /* on the sender's clock; echoed in the reply */
	const char *endpoint_id;
	struct sql_statement statement; /* `after`: position that the log must hold */
	const char *shape;		/* of the prepared statement to execute; NULL if none */
	bool shape_writes;
	bool in_transaction;
	bool begun;	/* the transaction is open at the endpoint */
	bool read_only; /* the transaction only reads */
	bool writes;	/* the statement writes */
	bool guard;	/* the endpoint must prove that it leads before it runs the statement */
	uint32_t timeout_ms;
	uint32_t target_ms;
	uint32_t priority;   /* 0 comes first */
	const char *account; /* under whose name it runs; NULL if it has none */
	uint32_t variable_count;
	struct sql_variable *variables; /* of the session */
};

struct sql_reply {
	uint64_t stream;
	struct sql_result result;
	uint64_t order_sent_us;
	bool endpoint_lost; /* the replying proxy cannot reach the endpoint */
	/*
	 * The newest position that the group's leader is known to have had, and its age when the
	 * order arrived. A reply can be delayed on its way, so the receiver subtracts the age from
	 * the time at which it sent the order.
	 */
	bool has_sample;
	struct bc_position sample;
	uint32_t sample_age_ms;
};

#ifdef __cplusplus
}
#endif

#endif
