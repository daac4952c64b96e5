#ifndef BC_STATEMENT_INTERNAL_H
#define BC_STATEMENT_INTERNAL_H

/*
 * Shared by the files of the slice: session.c (sessions and what is answered without an endpoint),
 * run.c (a statement's way to a result), link.c (links and the state prepared on them), names.c
 * (lists of names and values), watch.c (silent endpoints and samples of the leaders).
 */

#include "pool/pool.h"
#include "statement/statement.h"

#include <apr_hash.h>
#include <apr_ring.h>

/* Statements that can be outstanding on a link: a preamble sets each of a session's values. */
#define STM_EXPECTED_MAX 64U
/* Values, and prepared statements, of a session; fits into STM_EXPECTED_MAX with the statement. */
#define STM_NAMES_MAX 48U
/* A statement is sent to this many endpoints at most. */
#define STM_ATTEMPTS_MAX 4U

struct stm_name {
	char *name;
	char *value;
	bool writes; /* a prepared statement that writes */
};

struct stm_names {
	struct stm_name *items;
	size_t count;
	size_t size;
};

enum stm_purpose {
	STM_CHECK,    /* whether the leader has applied its log */
	STM_PREAMBLE, /* values, prepared names, DISCARD */
	STM_BEGINNING,
	STM_RUN, /* the caller's statement */
	STM_CLEANUP,
};

struct stm_expected {
	enum stm_purpose purpose;
	uint64_t sent_us;
};

enum stm_phase {
	STM_PHASE_NONE,
	STM_PHASE_WAITING,   /* for a link */
	STM_PHASE_PREPARING, /* the statement has not been sent */
	STM_PHASE_RUNNING,   /* the statement has been sent */
};

struct stm_link {
	APR_RING_ENTRY(stm_link) entry;
	struct stm_engine *engine;
	struct grp_endpoint *endpoint;
	void *driver;
	char name[POOL_CONNECTION_BYTES];
	struct stm_session *owner; /* NULL while idle or abandoned */
	bool opened;
	bool lent;
	bool in_transaction; /* at the endpoint */
	bool uncertain;	     /* values or names on it are not known */
	struct stm_names values;
	struct stm_names prepared;
	struct stm_expected expected[STM_EXPECTED_MAX];
	uint32_t expected_first;
	uint32_t expected_count;
	struct bc_timer abandoned; /* closes it if its last result does not come */

	/* Of a link through another proxy, which is not in the pool. */
	bool remote;
	char via[BC_ID_BYTES];
	uint64_t stream;
	bool probed; /* asked for a sign of life */
};

APR_RING_HEAD(stm_link_ring, stm_link);

struct stm_session {
	APR_RING_ENTRY(stm_session) entry;
	struct stm_engine *engine;
	void *caller;
	char database[BC_ID_BYTES];
	struct stm_route route; /* as of the transaction's or statement's start */
	enum sql_state state;
	struct stm_names values;
	struct stm_names prepared;
	bool has_mark;
	struct bc_position mark; /* newest own commit */
	bool has_position;
	struct bc_position position; /* as answered last */

	bool read_only; /* the transaction */
	bool begun;	/* at the endpoint */
	bool wrote;
	bool values_changed; /* within the transaction */
	struct stm_link *link;

	enum stm_phase phase;
	char *buffer;
	struct sql_statement current;
	bool writes;
	uint64_t from_us;
	uint64_t deadline_us;
	uint64_t sent_us;
	uint32_t attempts;
	uint32_t tried;
	struct grp_choice choice;
	char endpoint_id[BC_ID_BYTES]; /* of the last attempt, for the log */
	char way[BC_ID_BYTES];	       /* the proxy that it went through, for the log */
	uint64_t waiter;
	struct bc_timer timer; /* the statement's timeout, or the idle transaction's */

	/* Statements of the proxy itself. */
	stm_status_fn status_done;
	void *status_data;
	struct grp_endpoint *fixed_endpoint; /* of a status request or for another proxy */
	bool sampling;

	/* A stream of another proxy. */
	bool relayed;
	char via[BC_ID_BYTES];
	uint64_t stream;
	uint64_t order_sent_us;		  /* on the clock of the proxy that asks */
	uint64_t order_us;		  /* when its order came */
	char relay_key[BC_ID_BYTES + 24]; /* proxy and stream */
	struct grp_choice given;	  /* how it is to run at the endpoint */
};

APR_RING_HEAD(stm_session_ring, stm_session);

/* What is known of another proxy that runs statements for this one. */
struct stm_via {
	char proxy[BC_ID_BYTES];
	uint64_t heard_us;
};

struct stm_engine {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct stm_ops ops;
	void *data;
	apr_pool_t *apr;
	struct pool_state *pool;
	apr_hash_t *links;   /* name -> struct stm_link */
	apr_hash_t *waiters; /* id -> struct stm_session */
	struct stm_link_ring link_ring;
	struct stm_session_ring sessions;
	apr_hash_t *relayed; /* "proxy stream" -> struct stm_session */
	apr_hash_t *vias;    /* proxy -> struct stm_via */
	uint64_t last_link;
	uint64_t last_waiter;
	uint64_t transaction_idle_us;
	uint64_t now_us; /* of the call in progress, for callbacks of the pool */
	uint32_t session_count;
	uint32_t transaction_count;
	uint32_t busy_count;
	uint32_t link_count;
	struct bc_timer pool_timer;
	struct bc_timer watch_timer;
	struct bc_timer sample_timer;
};

/* names.c */
const struct stm_name *stm_names_get(const struct stm_names *names, const char *name);
bool stm_names_set(struct stm_names *names, const char *name, const char *value, bool writes);
void stm_names_remove(struct stm_names *names, const char *name);
void stm_names_clear(struct stm_names *names);

/* session.c */
void stm_answer(struct stm_session *session, const struct sql_result *result, uint64_t now_us);
void stm_answer_code(struct stm_session *session, enum sql_code code, const char *message,
		     uint64_t now_us);
void stm_refuse(struct stm_session *session, const char *reason, uint64_t now_us);
void stm_transaction_end(struct stm_session *session);
void stm_transaction_fail(struct stm_session *session);
void stm_transaction_begin(struct stm_session *session, bool read_only);
bool stm_statement_keep(struct stm_session *session, const struct sql_statement *statement);
void stm_start(struct stm_session *session, uint64_t now_us);
struct stm_session *stm_session_create(struct stm_engine *engine, void *caller);
void stm_session_free(struct stm_session *session);

/* run.c */
void stm_choice_set(struct stm_session *session, struct grp_choice choice);
void stm_run(struct stm_session *session, uint64_t now_us);
void stm_granted(struct stm_session *session, struct stm_link *link, uint64_t now_us);
void stm_run_failed(struct stm_session *session, struct stm_link *link,
		    const struct sql_result *result, uint64_t now_us);
void stm_rejected(struct stm_session *session, enum bc_status status, uint64_t now_us);
void stm_link_broke_unsent(struct stm_session *session, uint64_t now_us);
void stm_link_broke(struct stm_session *session, const char *reason, uint64_t now_us);
void stm_run_result(struct stm_session *session, struct stm_link *link,
		    const struct stm_expected *expected, const struct sql_result *result,
		    uint64_t now_us);
void stm_run_timeout(struct stm_session *session, uint64_t now_us);
bool stm_reroute(struct stm_session *session, const char *reason, uint64_t now_us);

/* link.c */
struct stm_link *stm_link_create(struct stm_engine *engine, struct grp_endpoint *endpoint);
void stm_link_free(struct stm_link *link);
struct stm_link *stm_link_first(const struct stm_engine *engine);
struct stm_link *stm_link_next(const struct stm_link *link);
void stm_link_expect(struct stm_link *link, enum stm_purpose purpose, uint64_t now_us);
bool stm_link_take_expected(struct stm_link *link, struct stm_expected *out);
struct pool_state *stm_pool_create(struct stm_engine *engine);
void stm_link_submit(struct stm_link *link, const struct sql_statement *statement,
		     enum stm_purpose purpose, uint64_t now_us);
uint32_t stm_link_prepare(struct stm_link *link, struct stm_session *session, uint64_t now_us);
void stm_link_prepared_name(const struct stm_name *prepared, char out[SQL_NAME_BYTES + 2]);
void stm_link_abandon(struct stm_link *link, uint64_t until_us, uint64_t now_us);
void stm_link_release(struct stm_link *link, bool clean, uint64_t now_us);

/* relay.c */
void stm_relay_acquire(struct stm_session *session, const char *via, uint64_t now_us);
void stm_relay_run(struct stm_session *session, struct stm_link *link, uint64_t now_us);
void stm_relay_drop(struct stm_link *link);
bool stm_relay_check(struct stm_link *link, uint64_t now_us);
void stm_relay_answer(struct stm_session *session, const struct sql_result *result,
		      bool endpoint_lost, uint64_t now_us);
void stm_relay_forget(struct stm_session *session);
void stm_relay_free(struct stm_engine *engine);

/* watch.c */
void stm_watch_init(struct stm_engine *engine);
void stm_watch_start(struct stm_engine *engine, uint64_t now_us);
void stm_sample_want(struct stm_engine *engine, uint64_t now_us);
void stm_pool_due(struct stm_engine *engine, uint64_t now_us);

#endif
