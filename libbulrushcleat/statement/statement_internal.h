#ifndef BC_STATEMENT_INTERNAL_H
#define BC_STATEMENT_INTERNAL_H

/*
 * Shared by the files of the module: engine.c (setup and limits), session.c (sessions, and
 * statements answered without an endpoint), run.c (execution of a statement up to its result),
 * link.c (links and the session state on them), relay.c (statements that are run by another proxy,
 * or for one), map.c (maps from name to value), watch.c (detection of silent endpoints, samples
 * of the leaders' positions).
 */

#include "pool/pool.h"
#include "statement/statement.h"

#include <apr_hash.h>
#include <apr_ring.h>

/* Limit of the pending results of a link: setting up a session sends a SET for each variable. */
#define STM_PENDING_MAX 64U
/*
 * Limit of the variables, and of the prepared statements, of a session. Below STM_PENDING_MAX, so
 * that all variables can be set together with the statement.
 */
#define STM_MAP_ENTRIES_MAX 48U
/* An endpoint is chosen at most this many times for a statement. */
#define STM_ATTEMPTS_MAX 4U

struct stm_map_entry {
	char *name;
	char *value;
	bool writes; /* it is a prepared statement that writes */
};

struct stm_map {
	struct stm_map_entry *entries;
	size_t count;
	size_t capacity;
};

enum stm_purpose {
	STM_PURPOSE_STATUS_CHECK, /* asks whether the leader has applied all of its log */
	STM_PURPOSE_SETUP,	  /* sets variables, prepares statements, or discards both */
	STM_PURPOSE_BEGIN,
	STM_PURPOSE_RUN, /* runs the caller's statement */
	STM_PURPOSE_ROLLBACK,
};

struct stm_pending {
	enum stm_purpose purpose;
	uint64_t sent_us;
};

enum stm_phase {
	STM_PHASE_NONE,	     /* no statement is unanswered */
	STM_PHASE_ADMISSION, /* waits for the admission of its operation */
	STM_PHASE_WAITING,   /* waits for a link */
	STM_PHASE_SETUP,     /* has a link; the statement has not been sent */
	STM_PHASE_RUNNING,   /* the statement has been sent */
};

struct stm_link {
	APR_RING_ENTRY(stm_link) entry;
	struct stm_engine *engine;
	struct grp_endpoint *endpoint;
	void *driver;
	char name[POOL_CONNECTION_BYTES]; /* connection id in the pool */
	struct stm_session *owner;	  /* session that uses it; NULL while idle or abandoned */
	bool opened;
	bool lent;	     /* granted by the pool */
	bool in_transaction; /* a transaction is open at the endpoint */
	/* Variables or prepared statements on it may differ from the maps: send DISCARD first. */
	bool needs_reset;
	struct stm_map variables;
	struct stm_map prepared;
	struct stm_pending pending[STM_PENDING_MAX];
	uint32_t pending_first;
	uint32_t pending_count;
	struct bc_timer abandon_timer; /* closes it if its last result does not come */

	/* Of a remote link: the relay runs the statements. It is not in the pool. */
	bool remote;
	char relay[BC_ID_BYTES];
	uint64_t stream;
	bool probe_sent; /* a probe was sent since the relay fell silent */
};

APR_RING_HEAD(stm_link_ring, stm_link);

struct stm_session {
	APR_RING_ENTRY(stm_session) entry;
	struct stm_engine *engine;
	void *caller;
	char database[BC_ID_BYTES];
	/* Under whose name it runs statements; "": no account. Kept until the operation ends. */
	char account[BC_ID_BYTES];
	bool has_key;
	struct acc_digest key;	/* of the caller */
	bool admitted;		/* the operation has been admitted */
	struct stm_route route; /* as of the start of the transaction or statement */
	enum sql_state state;
	struct stm_map variables;
	struct stm_map prepared;
	bool has_last_commit;
	struct bc_position last_commit; /* position of the session's newest commit */
	bool has_position;
	struct bc_position position; /* position in the last answer */

	bool read_only;		/* the transaction only reads */
	bool begun;		/* a transaction is open at the endpoint */
	bool wrote;		/* a statement of the transaction wrote */
	bool variables_changed; /* a SET was made within the transaction */
	struct stm_link *link;

	enum stm_phase phase;
	char *buffer; /* holds the strings of `current` */
	struct sql_statement current;
	bool writes;	     /* the current statement writes */
	uint64_t started_us; /* start of the current statement */
	uint64_t deadline_us;
	uint64_t sent_us;
	uint32_t attempts;
	uint32_t tried_endpoints; /* bit set of endpoint indexes, not to be chosen again */
	struct grp_choice choice;
	char endpoint_id[BC_ID_BYTES]; /* endpoint of the last attempt, for the log */
	char relay[BC_ID_BYTES];       /* proxy that ran the last attempt, or "" */
	uint64_t waiter;	       /* id of its request to the pool, or for admission */
	bool too_long_to_relay;	       /* the statement or its rows exceed a message */
	struct bc_timer timer;	       /* timeout of the statement, or of the idle transaction */

	/* Of an internal session, which runs a statement of the proxy itself. */
	stm_status_fn status_done;
	void *status_data;
	/* The only endpoint to use; also set in a relayed session. */
	struct grp_endpoint *fixed_endpoint;
	bool sampling; /* takes a sample of the leader's position */

	/* Of a relayed session, which runs the statements of another proxy's stream. */
	bool relayed;
	char origin[BC_ID_BYTES]; /* proxy that sends the orders */
	uint64_t stream;
	uint64_t order_sent_us;		  /* on the clock of the proxy that sent it */
	uint64_t order_received_us;	  /* when the order was received */
	char relay_key[BC_ID_BYTES + 24]; /* origin and stream */
	struct grp_choice
		order_choice; /* requirements of the order: proof of leadership, position */
};

APR_RING_HEAD(stm_session_ring, stm_session);

/* Another proxy that runs statements for this one. */
struct stm_peer {
	char proxy[BC_ID_BYTES];
	uint64_t last_reply_us;
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
	apr_hash_t *relayed; /* "origin stream" -> struct stm_session */
	apr_hash_t *peers;   /* proxy -> struct stm_peer */
	uint64_t last_link;
	uint64_t last_waiter;
	uint64_t transaction_idle_us;
	bool refuses_new_work;
	bool stopped;	 /* all statements are refused */
	uint64_t now_us; /* time of the call in progress, for the pool's callbacks */
	uint32_t session_count;
	uint32_t transaction_count;
	uint32_t busy_count;
	uint32_t link_count;
	struct bc_timer pool_timer;
	struct bc_timer watch_timer;
	struct bc_timer sample_timer;
};

/* map.c */
const struct stm_map_entry *stm_map_get(const struct stm_map *map, const char *name);
bool stm_map_set(struct stm_map *map, const char *name, const char *value, bool writes);
void stm_map_remove(struct stm_map *map, const char *name);
void stm_map_clear(struct stm_map *map);

/* session.c */
void stm_answer(struct stm_session *session, const struct sql_result *result, uint64_t now_us);
void stm_answer_code(struct stm_session *session, enum sql_code code, const char *message,
		     uint64_t now_us);
void stm_refuse(struct stm_session *session, const char *reason, uint64_t now_us);
void stm_refuse_until(struct stm_session *session, const char *reason, uint64_t retry_after_us,
		      uint64_t now_us);
bool stm_key_valid(const struct stm_session *session);
void stm_refuse_key(struct stm_session *session, uint64_t now_us);
void stm_transaction_end(struct stm_session *session);
void stm_transaction_fail(struct stm_session *session);
void stm_transaction_begin(struct stm_session *session, bool read_only);
bool stm_statement_copy(struct stm_session *session, const struct sql_statement *statement);
void stm_statement_start(struct stm_session *session, uint64_t now_us);
struct stm_session *stm_session_create(struct stm_engine *engine, void *caller);
void stm_session_free(struct stm_session *session);
void stm_session_log_unanswered(const struct stm_session *session, const char *reason,
				uint64_t now_us);

/* run.c */
void stm_choice_set(struct stm_session *session, struct grp_choice choice);
void stm_run(struct stm_session *session, uint64_t now_us);
void stm_run_admit(struct stm_session *session, uint64_t now_us);
void stm_run_cancel_wait(struct stm_session *session, uint64_t now_us);
void stm_run_granted(struct stm_session *session, struct stm_link *link, uint64_t now_us);
void stm_run_setup_failed(struct stm_session *session, struct stm_link *link,
			  const struct sql_result *result, uint64_t now_us);
void stm_run_rejected(struct stm_session *session, enum bc_status status, uint64_t now_us);
void stm_run_not_received(struct stm_session *session, uint64_t now_us);
void stm_run_link_lost(struct stm_session *session, const char *reason, uint64_t now_us);
void stm_run_result(struct stm_session *session, struct stm_link *link,
		    const struct stm_pending *pending, const struct sql_result *result,
		    uint64_t now_us);
void stm_run_timeout(struct stm_session *session, uint64_t now_us);
void stm_run_stop(struct stm_session *session, uint64_t now_us);
bool stm_reroute(struct stm_session *session, const char *reason, uint64_t now_us);

/* link.c */
struct stm_link *stm_link_create(struct stm_engine *engine, struct grp_endpoint *endpoint);
void stm_link_free(struct stm_link *link);
struct stm_link *stm_link_first(const struct stm_engine *engine);
struct stm_link *stm_link_next(const struct stm_link *link);
void stm_link_push_pending(struct stm_link *link, enum stm_purpose purpose, uint64_t now_us);
bool stm_link_pop_pending(struct stm_link *link, struct stm_pending *out);
struct pool_state *stm_pool_create(struct stm_engine *engine);
void stm_link_submit(struct stm_link *link, const struct sql_statement *statement,
		     enum stm_purpose purpose, uint64_t now_us);
uint32_t stm_link_set_up(struct stm_link *link, struct stm_session *session, uint64_t now_us);
void stm_link_prepared_name(const struct stm_map_entry *prepared, char out[SQL_NAME_BYTES + 2]);
void stm_link_abandon(struct stm_link *link, uint64_t until_us, uint64_t now_us);
void stm_link_release(struct stm_link *link, bool clean, uint64_t now_us);

/* relay.c */
void stm_relay_acquire(struct stm_session *session, const char *relay, uint64_t now_us);
bool stm_relay_fits(const struct stm_session *session);
void stm_relay_run(struct stm_session *session, struct stm_link *link, uint64_t now_us);
void stm_relay_abandon(struct stm_link *link);
bool stm_relay_check_silence(struct stm_link *link, uint64_t now_us);
void stm_relay_answer(struct stm_session *session, const struct sql_result *result,
		      bool endpoint_lost, uint64_t now_us);
void stm_relay_remove(struct stm_session *session);
void stm_relay_free(struct stm_engine *engine);

/* watch.c */
void stm_watch_init(struct stm_engine *engine);
void stm_watch_start(struct stm_engine *engine, uint64_t now_us);
void stm_sample_start(struct stm_engine *engine, uint64_t now_us);
void stm_pool_schedule(struct stm_engine *engine, uint64_t now_us);

#endif
