#ifndef BC_NODE_INTERNAL_H
#define BC_NODE_INTERNAL_H

#include "failover/failover.h"
#include "limit/limit.h"
#include "member/member.h"
#include "node/node.h"
#include "outcome/outcome.h"
#include "pool/pool.h"
#include "quorum/quorum.h"
#include "route/route.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_tables.h>

#define NOD_PROBE_INTERVAL_US (200 * BC_US_PER_MS)
#define NOD_PROBE_TIMEOUT_US (400 * BC_US_PER_MS)
/* How long a group is probed after its last request. */
#define NOD_PROBE_AFTER_REQUEST_US (10 * BC_US_PER_S)
#define NOD_OPEN_TIMEOUT_US (2 * BC_US_PER_S)
#define NOD_CLOSE_TIMEOUT_US (2 * BC_US_PER_S)
#define NOD_STORE_TIMEOUT_US (2 * BC_US_PER_S)
/* How long a watch of the share objects, which is a long poll, waits for a change. */
#define NOD_WATCH_WAIT_MS 10000U
/*
 * The same for a document. Only the end of the wait shows that a connection has fallen silent, and
 * changes have to be in force within 9 s.
 */
#define NOD_DOCUMENT_WAIT_MS 5000U
#define NOD_STORE_RETRY_MAX_US (5 * BC_US_PER_S)
/* An open transaction holds the endpoint's write lock, so it is rolled back when idle this long. */
#define NOD_TRANSACTION_IDLE_US (5 * BC_US_PER_S)
/* The same before its first request: the caller may not have received the transaction's id. */
#define NOD_TRANSACTION_UNUSED_US (2 * BC_US_PER_S)
/* A begin answered this close to the caller's deadline is refused: the caller may have gone. */
#define NOD_BEGIN_MARGIN_US (100 * BC_US_PER_MS)
#define NOD_ADMISSION_QUEUE_MAX 256U
/* A replica read that is not confirmed within this time is retried at another endpoint. */
#define NOD_READ_CONFIRM_US (300 * BC_US_PER_MS)
/* Number of random peers to which a new document is sent. */
#define NOD_PUSH_FANOUT 4U
/* The least time between two pulls of the same document. */
#define NOD_PULL_INTERVAL_US (100 * BC_US_PER_MS)
/* Short compared with the shortest delay of a plan, 100 ms. */
#define NOD_LIMIT_TICK_US (50 * BC_US_PER_MS)
/* With more customers than this, shares are claimed on first use instead of at the start. */
#define NOD_CLAIM_CUSTOMERS_MAX 64U
/* Interval of the work that need not be done in every nod_tick(). */
#define NOD_SLOW_TICK_US (200 * BC_US_PER_MS)
/* How long a peer's report of a silent primary is valid; peers repeat it every 500 ms. */
#define NOD_SILENT_REPORT_TTL_US (2 * BC_US_PER_S)
#define NOD_SILENT_REPORTS_MAX 16U
/* How many changes of primary are announced at a time, and in how many messages each. */
#define NOD_ANNOUNCEMENTS_MAX 32U
#define NOD_ANNOUNCEMENT_SENDS 32U
/* "PROXY.<32 hex digits>" and the terminating NUL. */
#define NOD_TRANSACTION_ID_BYTES (BC_ID_BYTES + 33)
/* How long a node that starts while the store is down waits for its peers' documents. */
#define NOD_START_WAIT_US (2 * BC_US_PER_S)

enum nod_destination { NOD_TO_ENDPOINT, NOD_TO_PLATFORM };

struct nod_node;
struct pending_call;

typedef void (*nod_call_done_fn)(struct nod_node *node, const struct pending_call *pending,
				 const struct nod_answer *answer);

/* An outstanding call and the function that handles its answer. */
struct pending_call {
	uint64_t id;
	enum nod_destination destination;
	nod_call_done_fn done;
	uint64_t context_id; /* a job's id, a module's own call id, or an enum document */
	uint64_t sent_us;
	char endpoint[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	struct bc_position position;
};

enum job_kind { JOB_STATEMENT, JOB_BEGIN, JOB_IN_TRANSACTION, JOB_COMMIT, JOB_ROLLBACK };

enum job_state {
	JOB_NEW,
	JOB_ADMISSION, /* waits for one of its customer's connections */
	JOB_DELAYED,   /* waits for a primary, a replica, or a backoff */
	JOB_QUEUED,    /* waits for a connection */
	JOB_RUNNING,   /* a statement is at the endpoint */
	JOB_CONFIRM,   /* waits for a majority to confirm its position */
};

/*
 * The steps of a write with an idempotency key on its connection. Other statements have one step,
 * STEP_RUN.
 */
enum job_step { STEP_RUN, STEP_KEY_BEGIN, STEP_KEY_COMMIT, STEP_KEY_LOOKUP };

struct transaction;

/* A caller's request, from its arrival to the reply. */
struct job {
	uint64_t id;
	uint64_t request; /* the id passed to nod_request() */
	enum job_kind kind;
	enum job_state state;
	enum job_step step;
	char request_id[BC_ID_BYTES];
	char customer[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	struct ses_session session;
	struct bc_trace trace;
	struct bc_trace hop; /* child span of the current step */
	uint64_t start_us;
	uint64_t hop_start_us;
	uint64_t deadline_us;

	char *sql;
	json_t *params;
	char *key;
	char fingerprint[OUT_FINGERPRINT_BYTES];
	uint64_t unix_now_s;
	bool strong;
	bool replicas_allowed;
	bool verifying_primary; /* a read that waits until a majority confirms its primary */
	uint64_t max_age_us;

	struct out_attempts attempts;
	enum out_end last_end;
	struct rte_choice choice;
	char tried[RTE_GROUP_ENDPOINTS_MAX][BC_ID_BYTES]; /* endpoints that failed this read */
	uint32_t tried_count;
	bool admitted;
	char connection[POOL_CONNECTION_BYTES];
	char run_id[BC_ID_BYTES + 32]; /* unique over proxies and their restarts */
	uint32_t run_count;
	uint64_t call;
	uint64_t run_sent_us;
	json_t *result; /* the caller's rows */
	struct bc_position position;
	uint64_t served_term; /* the endpoint's term when it ran the statement */
	bool replayed;
	char error_code[64];
	char error_message[256];

	struct transaction *transaction;
	struct job *next; /* in the admission queue or the list of delayed jobs */
	uint64_t delayed_until_us;
	struct job *database_next; /* in database_state.head */
	struct job *database_previous;
};

/* An open interactive transaction. It holds a connection and counts as one of its customer's. */
struct transaction {
	char id[NOD_TRANSACTION_ID_BYTES];
	char customer[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	char endpoint[BC_ID_BYTES];
	char connection[POOL_CONNECTION_BYTES];
	uint64_t term;
	uint64_t last_used_us;
	bool used_since_begin; /* a request has followed the begin */
	bool busy;
};

/* A customer's jobs that wait for one of its connections, ordered by deadline. */
struct admission_queue {
	char customer[BC_ID_BYTES];
	struct job *head;
	uint32_t length;
};

/* A peer's report that a group's primary does not answer it. */
struct silent_report {
	char peer[BC_ID_BYTES];
	uint64_t received_us;
};

/* What the proxy keeps for one database. */
struct database_state {
	char database[BC_ID_BYTES];
	struct job *head;
	uint64_t probe_until_us;
	uint64_t term; /* of the newest primary known */
	struct silent_report silent_reports[NOD_SILENT_REPORTS_MAX];
};

/* The probes of one endpoint, and the databases it hosts. */
struct probe {
	char endpoint[BC_ID_BYTES];
	apr_array_header_t *databases; /* of const char * */
	bool outstanding;
	bool promoter; /* this proxy is a promoter of a group on it */
	bool active;
	struct probe *next_active;
	uint64_t served_until_us;
	uint64_t next_us;
};

/* A change of primary that is still being announced to peers. */
struct primary_announcement {
	char database[BC_ID_BYTES];
	uint32_t sends_left;
};

/* The platform's documents, of which each proxy holds a copy. */
enum document { DOC_CONFIG, DOC_GROUPS, DOC_VMS, DOC_COUNT };

struct document_state {
	uint64_t version;	/* as exchanged between proxies */
	uint64_t store_version; /* the last one seen by the watch */
	json_t *value;
	bool watching;
	uint64_t retry_at_us;
	uint64_t backoff_us;
	bool store_answered; /* the store has answered since the start */
};

/* The watch on the share objects of all customers. */
struct shares_watch {
	uint64_t last_version; /* version of the last change received */
	bool watching;
	uint64_t retry_at_us;
	uint64_t backoff_us;
};

struct nod_node {
	struct bc_ctx *ctx;
	struct cfg_settings settings;
	char candidate[BC_ID_BYTES]; /* id in fence and promote calls, unique to this process */
	struct ses_keyring *ring;
	struct nod_callbacks callbacks;
	apr_pool_t *pool;
	uint64_t now_us;
	uint64_t started_us;
	uint64_t next_id;

	struct cfg_state *config;
	struct rte_table *route;
	struct quo_state *quorum;
	struct fov_state *failover;
	struct mem_state *members;
	struct lim_state *limits;
	struct pool_state *connections;
	struct out_budget *budget;
	struct drn_state *drain;

	apr_hash_t *calls;	     /* id -> struct pending_call */
	apr_hash_t *jobs;	     /* id -> struct job */
	apr_hash_t *transactions;    /* id -> struct transaction */
	apr_hash_t *admissions;	     /* customer -> struct admission_queue */
	apr_hash_t *databases;	     /* database -> struct database_state */
	apr_hash_t *probes;	     /* endpoint -> struct probe */
	apr_hash_t *key_table_known; /* databases known to have an idempotency key table */
	struct job *delayed;
	struct probe *active_probes;
	struct document_state documents[DOC_COUNT];
	struct shares_watch shares;
	struct primary_announcement announcements[NOD_ANNOUNCEMENTS_MAX];
	uint32_t announcement_cursor;
	bool members_changed;
	uint64_t next_slow_tick_us;
	uint64_t next_limit_tick_us;
	bool share_claim_due;
	uint64_t next_seed_contact_us;
	uint64_t last_pull_us[DOC_COUNT];
};

/* calls.c */
uint64_t nod_call_send(struct nod_node *node, struct pending_call *pending, const char *method,
		       const char *path, const char *body, const struct bc_trace *trace,
		       uint64_t timeout_us);
void nod_call_cancel(struct nod_node *node, uint64_t call);
void nod_calls_free(struct nod_node *node);
void nod_pending_endpoint(struct pending_call *pending, const char *endpoint, const char *database);

/* api.c */
void nod_reply_send(struct nod_node *node, struct job *job, uint32_t status,
		    enum out_outcome outcome);
void nod_reply_error(struct nod_node *node, uint64_t request, const char *request_id,
		     const struct bc_trace *trace, uint32_t status, const char *code,
		     const char *message);
void nod_error_set(struct job *job, const char *code, const char *message);

/* job.c */
struct job *nod_job_create(struct nod_node *node, uint64_t request, enum job_kind kind);
struct job *nod_job_find(struct nod_node *node, uint64_t id);
void nod_job_free(struct nod_node *node, struct job *job);
void nod_job_start(struct nod_node *node, struct job *job);
void nod_job_dispatch(struct nod_node *node, struct job *job);
void nod_job_attempt_ended(struct nod_node *node, struct job *job, enum out_end end);
void nod_job_finish(struct nod_node *node, struct job *job, enum out_outcome outcome);
void nod_job_confirm(struct nod_node *node, struct job *job);
void nod_jobs_admit_next(struct nod_node *node, const char *customer);
void nod_jobs_tick(struct nod_node *node);
void nod_jobs_new_primary(struct nod_node *node, const char *database);
void nod_jobs_endpoint_lost(struct nod_node *node, const char *endpoint);
void nod_job_delay(struct nod_node *node, struct job *job, uint64_t delay_us);
struct database_state *nod_database_get(struct nod_node *node, const char *database);
void nod_job_link(struct nod_node *node, struct job *job);
void nod_job_unlink(struct nod_node *node, struct job *job);

/* run.c */
void nod_run_start(struct nod_node *node, struct job *job);
void nod_run_release(struct nod_node *node, struct job *job, bool clean);

/* transaction.c */
struct transaction *nod_transaction_create(struct nod_node *node, struct job *job);
struct transaction *nod_transaction_find(struct nod_node *node, const char *id,
					 const char *customer, const char *database);
/* Whether this proxy issued the id. */
bool nod_transaction_is_own(const struct nod_node *node, const char *id);
void nod_transaction_end(struct nod_node *node, struct transaction *transaction, bool clean);
void nod_transactions_tick(struct nod_node *node);

/* probe.c */
void nod_probe_tick(struct nod_node *node);
void nod_probe_extend(struct nod_node *node, const char *database);
void nod_probe_groups_changed(struct nod_node *node);
void nod_promoter_ranks_update(struct nod_node *node);
void nod_leaving_set(struct nod_node *node, const char *endpoint, bool leaving);
void nod_primary_announce_if_newer(struct nod_node *node, const char *database);
extern const struct quo_ops nod_quorum_ops;
extern const struct fov_ops nod_failover_ops;

/* store.c */
void nod_store_tick(struct nod_node *node);
/* Applies a document from the store or a peer; true if it is newer than the one held. */
bool nod_document_update(struct nod_node *node, enum document document, uint64_t version,
			 json_t *value);
extern const struct lim_ops nod_limit_ops;

/* peer.c */
extern const struct mem_ops nod_member_ops;
void nod_peer_push(struct nod_node *node, enum document document);
void nod_peer_count_silent_reports(struct nod_node *node);
void nod_peer_contact_seeds(struct nod_node *node);

/* Callbacks of the connection pool, in run.c. */
extern const struct pool_ops nod_pool_ops;

#endif
