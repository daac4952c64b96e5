#ifndef BC_SQL_RELAY_H
#define BC_SQL_RELAY_H

/*
 * A statement that one proxy asks another to run on the connections that the other one holds, and
 * its answer. A stream is a session's use of an endpoint: a statement or a transaction.
 */

#include "sql/sql.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Above STM_NAMES_MAX, which bounds the values of a session. */
#define SQL_VALUES_MAX 64U

struct sql_value {
	const char *name;
	const char *value;
};

enum sql_order_kind {
	SQL_ORDER_RUN,
	SQL_ORDER_END,	 /* the stream is given up; its transaction is rolled back */
	SQL_ORDER_PROBE, /* asks for a sign of life and a sample of the endpoint's group */
};

struct sql_order {
	enum sql_order_kind kind;
	uint64_t stream;
	uint64_t sent_us; /* on the sender's clock; echoed in the reply */
	const char *endpoint_id;
	struct sql_statement statement; /* its `after` is what the endpoint's log must hold */
	const char *shape;		/* of the prepared statement to execute; NULL if none */
	bool shape_writes;
	bool in_transaction;
	bool begun;	/* the stream's transaction is open */
	bool read_only; /* the transaction */
	bool writes;	/* the statement */
	bool guard;	/* the lead must be proven */
	uint32_t timeout_ms;
	uint32_t target_ms;
	uint32_t priority; /* 0 comes first */
	uint32_t value_count;
	struct sql_value *values; /* of the session */
};

struct sql_reply {
	uint64_t stream;
	struct sql_result result;
	uint64_t order_sent_us;
	bool endpoint_lost; /* this proxy does not reach the endpoint */
	/*
	 * The newest position that the group's leader is known to have had, and its age when the
	 * order was handled. A reply can be held up on its way, so the age counts back from the
	 * order's sending.
	 */
	bool has_sample;
	struct bc_position sample;
	uint32_t sample_age_ms;
};

#ifdef __cplusplus
}
#endif

#endif
