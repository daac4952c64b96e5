#ifndef BC_STATEMENT_H
#define BC_STATEMENT_H

/*
 * The request path: sessions of callers whose state lives with their connection, statements and
 * transactions, and the endpoint connections ("links") that run them.
 */

#include "core/timer.h"
#include "group/group.h"
#include "sql/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Which commits a read must see, by the route's kind. */
enum stm_freshness {
	STM_NEWEST,  /* all that were acknowledged before */
	STM_AGED,    /* all that are older than the route's limit */
	STM_SESSION, /* as STM_AGED, and those of the session itself */
	STM_FRESHNESS_KINDS,
};

/* A database as callers name it. */
struct stm_route {
	char database[BC_ID_BYTES];
	char group[BC_ID_BYTES];
	enum stm_freshness freshness;
	uint64_t timeout_us; /* of a statement */
	uint64_t target_us;  /* within which a caller wants an operation answered */
	uint64_t max_age_us; /* of reads, for STM_AGED and STM_SESSION */
	uint32_t priority;   /* of waiting statements; 0 comes first */
};

struct stm_engine;
struct stm_session;
struct stm_link;

struct stm_ops {
	/* The one answer to stm_query(). */
	void (*answer)(void *data, void *caller, const struct sql_result *result);
	/* Connects; answered by stm_link_opened() or stm_link_lost(). */
	void (*link_open)(void *data, struct stm_link *link, const struct grp_endpoint *endpoint);
	/* Sends a statement; each is answered by stm_link_result(), in order. */
	void (*link_send)(void *data, struct stm_link *link, const struct sql_statement *statement);
	/* All statements of a batch have been handed over. */
	void (*link_flush)(void *data, struct stm_link *link);
	/* Closes; the link is invalid afterwards. */
	void (*link_close)(void *data, struct stm_link *link);
	/* The route of a database, or NULL. */
	const struct stm_route *(*route)(void *data, const char *database);
	/* The leader does not answer, or nothing is known of a leader. */
	void (*leader_missed)(void *data, struct grp_group *group, uint64_t now_us);
	/* The proxy that holds links to the endpoint for this one; NULL: this proxy connects. */
	const char *(*via)(void *data, const struct grp_endpoint *endpoint, uint64_t now_us);
	/* The proxy that is asked for a position of the endpoint's group; NULL: the endpoint is. */
	const char *(*sample_via)(void *data, const struct grp_endpoint *endpoint, uint64_t now_us);
	void (*order_send)(void *data, const char *proxy, const struct sql_order *order);
	void (*reply_send)(void *data, const char *proxy, const struct sql_reply *reply);
	/* A proxy does not answer; `endpoint`: it answers but does not reach this one. */
	void (*via_failed)(void *data, const char *proxy, const struct grp_endpoint *endpoint,
			   uint64_t now_us);
	/* A proxy has answered an order or a question that was sent at sent_us. */
	void (*via_answered)(void *data, const char *proxy, uint64_t sent_us, uint64_t now_us);
	/* A session's work has ended; for a drain. */
	void (*work_ended)(void *data, uint64_t now_us);
};

struct stm_engine *stm_create(struct bc_ctx *ctx, struct bc_timers *timers,
			      struct grp_state *groups, const struct stm_ops *ops, void *data);
void stm_destroy(struct stm_engine *engine);
/*
 * How many links this proxy may hold to an endpoint, and how many of them may run statements before
 * another one is opened; 0: any number.
 */
void stm_allowance_set(struct stm_engine *engine, const struct grp_endpoint *endpoint,
		       uint32_t links, uint32_t running);
/* The endpoint takes no new work; links that are in use end when their transactions do. */
void stm_endpoint_gone(struct stm_engine *engine, const struct grp_endpoint *endpoint,
		       uint64_t now_us);
/* Time after which a transaction whose caller is silent is rolled back. */
void stm_transaction_idle_set(struct stm_engine *engine, uint64_t idle_us);

/* Opens a session; NULL if the database is not known. */
struct stm_session *stm_session_open(struct stm_engine *engine, const char *database, void *caller);
/* The caller is gone: an open transaction is rolled back. NULL is allowed. */
void stm_session_close(struct stm_session *session, uint64_t now_us);
/* Runs a statement. The session must not have one that is unanswered. */
void stm_query(struct stm_session *session, const struct sql_statement *statement, uint64_t now_us);
enum sql_state stm_session_state(const struct stm_session *session);
bool stm_session_busy(const struct stm_session *session);

/* SQL_OK: ready for statements. Any other code: refused, and the link is invalid. */
void stm_link_opened(struct stm_link *link, enum sql_code code, uint64_t now_us);
void stm_link_result(struct stm_link *link, const struct sql_result *result, uint64_t now_us);
/* The connection is gone, before or after it was opened. The link is invalid. */
void stm_link_lost(struct stm_link *link, const char *reason, uint64_t now_us);
void stm_link_set_driver(struct stm_link *link, void *driver);
void *stm_link_driver(const struct stm_link *link);

/* Messages and the loss of another proxy. */
void stm_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
	       uint64_t now_us);
void stm_reply(struct stm_engine *engine, const char *proxy, const struct sql_reply *reply,
	       uint64_t now_us);
/* `unsent`: the proxy has received none of the orders that it has not answered. */
void stm_proxy_lost(struct stm_engine *engine, const char *proxy, bool unsent, uint64_t now_us);

/* Asks a proxy for a sign of life and a sample; ops->via_answered tells of it. */
void stm_proxy_ask(struct stm_engine *engine, const char *proxy,
		   const struct grp_endpoint *endpoint, uint64_t now_us);

typedef void (*stm_status_fn)(void *data, const char *endpoint_id, enum sql_code code,
			      const struct sql_result *result, uint64_t now_us);
/* Asks an endpoint for its status; the driver puts the row into the result. */
void stm_status_ask(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t timeout_us,
		    stm_status_fn done, void *data, uint64_t now_us);

/* The same after the endpoint, a copy, was told to receive nothing more, in view of a new term. */
void stm_replication_pause(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t term,
			   uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us);
/* The same after it was told to receive again. */
void stm_replication_resume(struct stm_engine *engine, struct grp_endpoint *endpoint,
			    uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us);

struct stm_figures {
	uint32_t sessions;
	uint32_t transactions;
	uint32_t busy; /* statements in progress */
	uint32_t links;
};
struct stm_figures stm_figures_get(const struct stm_engine *engine);

#ifdef __cplusplus
}
#endif

#endif
