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

#define NOD_PROBE_US (200 * BC_US_PER_MS)
#define NOD_PROBE_TIMEOUT_US (400 * BC_US_PER_MS)
/* A group is probed for so long after its last request. */
#define NOD_PROBE_SERVED_US (10 * BC_US_PER_S)
#define NOD_OPEN_TIMEOUT_US (2 * BC_US_PER_S)
#define NOD_CLOSE_TIMEOUT_US (2 * BC_US_PER_S)
#define NOD_STORE_TIMEOUT_US (2 * BC_US_PER_S)
#define NOD_WATCH_WAIT_MS 10000U
#define NOD_STORE_RETRY_MAX_US (5 * BC_US_PER_S)
/* An open transaction holds the endpoint's write lock, so a silent caller loses it soon. */
#define NOD_TRANSACTION_IDLE_US (5 * BC_US_PER_S)
/* Before its first statement: the caller may never have had the answer to its begin. */
#define NOD_TRANSACTION_BEGUN_US (2 * BC_US_PER_S)
/* A begin answered so close to the caller's deadline may find it gone. */
#define NOD_BEGIN_MARGIN_US (100 * BC_US_PER_MS)
#define NOD_ADMISSION_QUEUE_MAX 256U
/* A replica's read that is not confirmed by then is tried at another endpoint. */
#define NOD_READ_CONFIRM_US (300 * BC_US_PER_MS)
#define NOD_PUSH_PEERS 4U
#define NOD_PULL_GAP_US (100 * BC_US_PER_MS)
/* Small beside the shortest delay of a plan, 100 ms. */
#define NOD_LIMIT_TICK_US (50 * BC_US_PER_MS)
#define NOD_CLAIM_CUSTOMERS_MAX 64U
#define NOD_SLOW_TICK_US (200 * BC_US_PER_MS)
/* A peer's report that a primary is silent counts for so long; peers are told each 500 ms. */
#define NOD_SILENT_US (2 * BC_US_PER_S)
#define NOD_SILENT_MAX 16U
#define NOD_NEWS_MAX 32U
#define NOD_NEWS_TELLINGS 32U
/* "PROXY.<32 hex digits>" with NUL. */
#define NOD_TRANSACTION_ID_BYTES (BC_ID_BYTES + 33)
/* Time for peers to answer a node that starts while the store is down. */
#define NOD_START_WAIT_US (2 * BC_US_PER_S)

enum nod_port { NOD_PORT_ENDPOINT, NOD_PORT_PLATFORM };

struct nod_node;
struct pending;

typedef void (*nod_done_fn)(struct nod_node *node, const struct pending *pending,
			    const struct nod_answer *answer);

/* An outstanding call and what to do with its answer. */
struct pending {
	uint64_t id;
	enum nod_port port;
	nod_done_fn done;
	uint64_t ref; /* a job, a slice's own call id, or a document */
	uint64_t sent_us;
	char endpoint[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	struct bc_position position;
};

enum job_kind { JOB_STATEMENT, JOB_BEGIN, JOB_IN_TRANSACTION, JOB_COMMIT, JOB_ROLLBACK };

enum job_state {
	JOB_NEW,
	JOB_ADMISSION, /* waits for a share of its customer's connections */
	JOB_DELAYED,   /* waits for a primary, a replica, or a backoff */
	JOB_QUEUED,    /* waits for a connection */
	JOB_RUNNING,   /* a statement is at the endpoint */
	JOB_CONFIRM,   /* waits for a majority */
};

/* The steps of a keyed write on its connection; other statements have one step. */
enum job_step { STEP_RUN, STEP_KEY_BEGIN, STEP_KEY_COMMIT, STEP_KEY_LOOKUP };

struct transaction;

/* One request of a caller, from arrival to reply. */
struct job {
	uint64_t id;
	uint64_t request; /* the driver's id */
	enum job_kind kind;
	enum job_state state;
	enum job_step step;
	char request_id[BC_ID_BYTES];
	char customer[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	struct ses_session session;
	struct bc_trace trace;
	struct bc_trace hop;
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
	bool proving; /* a read that waits for proof that its primary was not replaced */
	uint64_t max_age_us;

	struct out_attempts attempts;
	enum out_end last_end;
	struct rte_choice choice;
	char tried[RTE_GROUP_ENDPOINTS_MAX][BC_ID_BYTES]; /* endpoints that failed this read */
	uint32_t tried_count;
	bool admitted;
	char connection[POOL_CONNECTION_BYTES];
	char run_id[BC_ID_BYTES + 32]; /* unique over proxies and their restarts */
	uint32_t runs;
	uint64_t call;
	uint64_t run_sent_us;
	json_t *result; /* the caller's rows */
	struct bc_position position;
	uint64_t served_term; /* that the endpoint followed or led when it ran the statement */
	bool replayed;
	char error_code[64];
	char error_message[256];

	struct transaction *transaction;
	struct job *next; /* in the admission queue, or among the delayed */
	uint64_t delayed_until_us;
	struct job *database_next; /* jobs at an endpoint, by database */
	struct job *database_previous;
};

/* An open interactive transaction; it holds a connection and a share. */
struct transaction {
	char id[NOD_TRANSACTION_ID_BYTES];
	char customer[BC_ID_BYTES];
	char database[BC_ID_BYTES];
	char endpoint[BC_ID_BYTES];
	char connection[POOL_CONNECTION_BYTES];
	uint64_t term;
	uint64_t last_used_us;
	bool used; /* a statement has followed the begin */
	bool busy;
};

/* Jobs of a customer that wait for a share, in order of their deadlines. */
struct admission_queue {
	char customer[BC_ID_BYTES];
	struct job *head;
	uint32_t length;
};

/* A peer that said it cannot reach a group's primary. */
struct silent_report {
	char peer[BC_ID_BYTES];
	uint64_t at_us;
};

/* Jobs whose statement is at an endpoint or about to be confirmed, for one database. */
struct database_jobs {
	char database[BC_ID_BYTES];
	struct job *head;
	uint64_t probe_until_us;
	uint64_t term; /* of the newest primary known */
	struct silent_report silent[NOD_SILENT_MAX];
};

/* The probing of one endpoint, and the databases that it hosts. */
struct probe {
	char endpoint[BC_ID_BYTES];
	apr_array_header_t *databases; /* of const char * */
	bool outstanding;
	bool duty; /* this proxy is a promoter of a group on it */
	bool active;
	struct probe *next_active;
	uint64_t served_until_us;
	uint64_t next_us;
};

/* A change of primary that is still being told to peers. */
struct news {
	char database[BC_ID_BYTES];
	uint32_t tellings_left;
};

/* A document of the platform that all proxies hold. */
enum document { DOC_CONFIG, DOC_GROUPS, DOC_VMS, DOC_COUNT };

struct document_state {
	uint64_t version;	/* as told between proxies */
	uint64_t store_version; /* for the watch */
	json_t *value;
	bool watching;
	uint64_t retry_at_us;
	uint64_t backoff_us;
	bool read_once; /* the store has answered since the start */
};

/* The watch on the rows of all customers. */
struct shares_watch {
	uint64_t after; /* version of the last change told */
	bool watching;
	uint64_t retry_at_us;
	uint64_t backoff_us;
};

struct nod_node {
	struct bc_ctx *ctx;
	struct cfg_settings settings;
	char candidate[BC_ID_BYTES];
	struct ses_keyring *ring;
	struct nod_ports ports;
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

	apr_hash_t *calls;	  /* id -> struct pending */
	apr_hash_t *jobs;	  /* id -> struct job */
	apr_hash_t *transactions; /* id -> struct transaction */
	apr_hash_t *admissions;	  /* customer -> struct admission_queue */
	apr_hash_t *databases;	  /* database -> struct database_jobs */
	apr_hash_t *probes;	  /* endpoint -> struct probe */
	apr_hash_t *keyed;	  /* databases whose key table is known to exist */
	struct job *delayed;
	struct probe *active_probes;
	struct document_state documents[DOC_COUNT];
	struct shares_watch shares;
	struct news news[NOD_NEWS_MAX];
	uint32_t news_cursor;
	bool members_changed;
	uint64_t next_slow_tick_us;
	uint64_t next_limit_tick_us;
	bool claim_shares;
	uint64_t next_seed_us;
	uint64_t pulled_us[DOC_COUNT];
};

/* calls.c */
uint64_t nod_call_send(struct nod_node *node, struct pending *pending, const char *method,
		       const char *path, const char *body, const struct bc_trace *trace,
		       uint64_t timeout_us);
void nod_call_cancel(struct nod_node *node, uint64_t call);
void nod_calls_free(struct nod_node *node);
void nod_pending_endpoint(struct pending *pending, const char *endpoint, const char *database);

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
void nod_job_choose(struct nod_node *node, struct job *job);
void nod_job_attempt_ended(struct nod_node *node, struct job *job, enum out_end end);
void nod_job_finish(struct nod_node *node, struct job *job, enum out_outcome outcome);
void nod_job_confirm(struct nod_node *node, struct job *job);
void nod_jobs_admit_next(struct nod_node *node, const char *customer);
void nod_jobs_tick(struct nod_node *node);
void nod_jobs_new_primary(struct nod_node *node, const char *database);
void nod_jobs_endpoint_lost(struct nod_node *node, const char *endpoint);
void nod_job_delay(struct nod_node *node, struct job *job, uint64_t delay_us);
struct database_jobs *nod_database_get(struct nod_node *node, const char *database);
void nod_job_link(struct nod_node *node, struct job *job);
void nod_job_unlink(struct nod_node *node, struct job *job);

/* run.c */
void nod_run_start(struct nod_node *node, struct job *job);
void nod_run_release(struct nod_node *node, struct job *job, bool clean);

/* transaction.c */
struct transaction *nod_transaction_create(struct nod_node *node, struct job *job);
struct transaction *nod_transaction_find(struct nod_node *node, const char *id,
					 const char *customer, const char *database);
/* Whether the id was given by this proxy. */
bool nod_transaction_is_own(const struct nod_node *node, const char *id);
void nod_transaction_end(struct nod_node *node, struct transaction *transaction, bool clean);
void nod_transactions_tick(struct nod_node *node);

/* probe.c */
void nod_probe_tick(struct nod_node *node);
void nod_probe_touch(struct nod_node *node, const char *database);
void nod_probe_groups_changed(struct nod_node *node);
void nod_probe_ranks(struct nod_node *node);
void nod_leaving_set(struct nod_node *node, const char *endpoint, bool leaving);
void nod_primary_check(struct nod_node *node, const char *database);
extern const struct quo_ops nod_quorum_ops;
extern const struct fov_ops nod_failover_ops;

/* store.c */
void nod_store_tick(struct nod_node *node);
/* Takes a document from the store or a peer; true if it is newer than the one held. */
bool nod_document_offer(struct nod_node *node, enum document document, uint64_t version,
			json_t *value);
extern const struct lim_ops nod_limit_ops;

/* peer.c */
extern const struct mem_ops nod_member_ops;
void nod_peer_push(struct nod_node *node, enum document document);
void nod_peer_silent_tick(struct nod_node *node);
void nod_peer_seed(struct nod_node *node);

/* Calls to pool.c's slice are answered by these. */
extern const struct pool_ops nod_pool_ops;

#endif
