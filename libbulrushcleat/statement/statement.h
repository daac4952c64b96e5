#ifndef BC_STATEMENT_H
#define BC_STATEMENT_H

/*
 * Execution of statements: the sessions of callers, which last as long as the caller's connection,
 * their statements and transactions, and the connections to endpoints ("links") that run them.
 */

#include "account/account.h"
#include "core/timer.h"
#include "group/group.h"
#include "sql/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Which commits a read must see; set by the route. */
enum stm_consistency {
	STM_STRONG,	       /* all commits acknowledged before the read */
	STM_BOUNDED_STALENESS, /* all commits older than the route's max_age_us */
	STM_READ_YOUR_WRITES,  /* as STM_BOUNDED_STALENESS, and the session's own commits */
	STM_CONSISTENCY_LEVELS,
};

/* How the statements for a database are served. */
struct stm_route {
	char database[BC_ID_BYTES];
	char group[BC_ID_BYTES];
	enum stm_consistency consistency;
	uint64_t timeout_us; /* timeout of a statement */
	uint64_t target_us;  /* time within which callers want a statement answered */
	uint64_t max_age_us; /* largest age of what a read sees, for STM_BOUNDED_STALENESS and
				STM_READ_YOUR_WRITES */
	uint32_t priority;   /* of statements that wait for a link; 0 comes first */
	bool is_public;	     /* callers need no key */
};

struct stm_engine;
struct stm_session;
struct stm_link;

/* Whether an operation, a single statement or a transaction, may start now. */
enum stm_admission { STM_ADMITTED, STM_ADMISSION_WAITING, STM_ADMISSION_REFUSED };

struct stm_ops {
	/* Delivers the answer to stm_query(); called once for each statement. */
	void (*answer)(void *data, void *caller, const struct sql_result *result);
	/* Connects to the endpoint; completes with stm_link_opened() or stm_link_lost(). */
	void (*link_open)(void *data, struct stm_link *link, const struct grp_endpoint *endpoint);
	/* Sends a statement; each is answered by stm_link_result(), in order. */
	void (*link_send)(void *data, struct stm_link *link, const struct sql_statement *statement);
	/* Called after the last link_send() of a batch. */
	void (*link_flush)(void *data, struct stm_link *link);
	/* Closes the connection; the link is invalid afterwards. */
	void (*link_close)(void *data, struct stm_link *link);
	/* The route of a database, or NULL. */
	const struct stm_route *(*route)(void *data, const char *database);
	/* Whether the configuration in force has accounts; NULL: it has none. */
	bool (*has_accounts)(void *data);
	/* The account in force that has the key, or NULL. */
	const struct acc_account *(*account)(void *data, const struct acc_digest *key);
	/*
	 * Asks for the admission of an operation of an account. After STM_ADMISSION_WAITING the
	 * answer comes with stm_admitted() or stm_admission_refused(), not during this call and
	 * with a refusal by wait_until_us at the latest, unless the wait is cancelled.
	 * STM_ADMISSION_REFUSED sets retry_after_us. NULL: all operations are admitted.
	 */
	enum stm_admission (*admit)(void *data, const char *account, uint32_t priority,
				    uint64_t wait_until_us, uint64_t waiter,
				    uint64_t *retry_after_us, uint64_t now_us);
	/* The operation no longer waits; set if admit is. */
	void (*admission_cancel)(void *data, uint64_t waiter);
	/* The group's leader does not answer, or no leader is known. */
	void (*leader_unavailable)(void *data, struct grp_group *group, uint64_t now_us);
	/*
	 * The relay: the proxy that runs statements of the account (empty: none) at the endpoint
	 * for this one; NULL: this proxy connects to the endpoint itself.
	 */
	const char *(*choose_relay)(void *data, const struct grp_endpoint *endpoint,
				    const char *account, uint64_t now_us);
	/* The proxy to ask for a sample of the leader's position; NULL: the endpoint is asked. */
	const char *(*choose_sample_relay)(void *data, const struct grp_endpoint *endpoint,
					   uint64_t now_us);
	void (*order_send)(void *data, const char *proxy, const struct sql_order *order);
	void (*reply_send)(void *data, const char *proxy, const struct sql_reply *reply);
	/*
	 * A proxy does not answer; if `endpoint` is not NULL, it answers but cannot reach this
	 * endpoint.
	 */
	void (*relay_failed)(void *data, const char *proxy, const struct grp_endpoint *endpoint,
			     uint64_t now_us);
	/* A proxy has owed an answer for a while; the relays that could replace it can be checked.
	 */
	void (*relay_slow)(void *data, const char *proxy, const struct grp_endpoint *endpoint,
			   uint64_t now_us);
	/* A proxy has answered an order or a probe that was sent at sent_us. */
	void (*relay_answered)(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us);
	/* A statement or session has ended; lets a drain find out when it is complete. */
	void (*work_ended)(void *data, uint64_t now_us);
};

struct stm_engine *stm_create(struct bc_ctx *ctx, struct bc_timers *timers,
			      struct grp_state *groups, const struct stm_ops *ops, void *data);
void stm_destroy(struct stm_engine *engine);
/*
 * Sets how many links this proxy may hold to an endpoint. No further link is opened while `running`
 * of them run a statement or are being opened; 0: no such limit.
 */
void stm_link_limits_set(struct stm_engine *engine, const struct grp_endpoint *endpoint,
			 uint32_t links, uint32_t running);
/*
 * Sends the endpoint no new work; links in use are closed when their statement or transaction ends.
 */
void stm_endpoint_retire(struct stm_engine *engine, const struct grp_endpoint *endpoint,
			 uint64_t now_us);
/* Sets the time after which a transaction is rolled back if its caller sends nothing. */
void stm_transaction_idle_set(struct stm_engine *engine, uint64_t idle_us);

/*
 * Refuses statements that begin new work from now on, also those of other proxies, with a promise
 * that they have not run. Open transactions go on.
 */
void stm_new_work_refuse(struct stm_engine *engine);
/*
 * Answers all unanswered statements of callers as what is known of them allows, and refuses all
 * further ones. Their connections can be closed then without an answer missing.
 */
void stm_stop(struct stm_engine *engine, uint64_t now_us);

/*
 * Opens a session for a caller with a key, or without one (NULL). NULL with the reason in
 * `refusal`: SQL_NO_DATABASE, SQL_UNAUTHENTICATED, or SQL_BUSY when out of memory.
 */
struct stm_session *stm_session_open(struct stm_engine *engine, const char *database,
				     const struct acc_digest *key, void *caller,
				     enum sql_code *refusal);
/*
 * Closes the session of a caller whose connection has ended, for a reason that is logged if a
 * statement is unanswered; an open transaction is rolled back. NULL is allowed.
 */
void stm_session_close(struct stm_session *session, const char *reason, uint64_t now_us);
/* Runs a statement. The session must not have an unanswered one. */
void stm_query(struct stm_session *session, const struct sql_statement *statement, uint64_t now_us);
enum sql_state stm_session_state(const struct stm_session *session);
bool stm_session_busy(const struct stm_session *session);
/* The id of the session's latest statement, for logs. */
const char *stm_session_statement_id(const struct stm_session *session);
/* Frees the text of the last statement, which was answered; its id stays. */
void stm_session_release(struct stm_session *session);
/* The bytes of the session's values and prepared statements. */
size_t stm_session_values_bytes(const struct stm_session *session);

/* End the wait for the admission of an operation. */
void stm_admitted(struct stm_engine *engine, uint64_t waiter, uint64_t now_us);
void stm_admission_refused(struct stm_engine *engine, uint64_t waiter, uint64_t retry_after_us,
			   uint64_t now_us);

/* SQL_OK: the link is ready for statements. Any other code: it was refused and is invalid now. */
void stm_link_opened(struct stm_link *link, enum sql_code code, uint64_t now_us);
void stm_link_result(struct stm_link *link, const struct sql_result *result, uint64_t now_us);
/* The connection was lost, before or after it was opened. The link is invalid now. */
void stm_link_lost(struct stm_link *link, const char *reason, uint64_t now_us);
/* The account under whose name the connection is to be opened; empty: without an account. */
const char *stm_link_account(const struct stm_link *link);
void stm_link_set_driver(struct stm_link *link, void *driver);
void *stm_link_driver(const struct stm_link *link);

/* Handle messages of other proxies. */
void stm_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
	       uint64_t now_us);
void stm_reply(struct stm_engine *engine, const char *proxy, const struct sql_reply *reply,
	       uint64_t now_us);
/* Handles the loss of a proxy. `unsent`: its unanswered orders have not reached it. */
void stm_proxy_lost(struct stm_engine *engine, const char *proxy, bool unsent, uint64_t now_us);

/*
 * Sends a probe, which asks whether the proxy is alive and for a sample of the endpoint's group.
 * Its answer is reported by ops->relay_answered.
 */
void stm_proxy_probe(struct stm_engine *engine, const char *proxy,
		     const struct grp_endpoint *endpoint, uint64_t now_us);

typedef void (*stm_status_fn)(void *data, const char *endpoint_id, enum sql_code code,
			      const struct sql_result *result, uint64_t now_us);
/* Asks an endpoint for its status, which the driver puts into the result's status fields. */
void stm_status_request(struct stm_engine *engine, struct grp_endpoint *endpoint,
			uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us);

/*
 * Stops the replication to an endpoint, a replica, before a promotion to the new term; it answers
 * with its status.
 */
void stm_replication_pause(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t term,
			   uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us);
/* Resumes the replication to an endpoint, which answers with its status. */
void stm_replication_resume(struct stm_engine *engine, struct grp_endpoint *endpoint,
			    uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us);

struct stm_stats {
	uint32_t sessions;
	uint32_t transactions;
	uint32_t busy; /* statements in progress */
	uint32_t links;
};
struct stm_stats stm_stats_get(const struct stm_engine *engine);

#ifdef __cplusplus
}
#endif

#endif
