#ifndef BC_LOAD_H
#define BC_LOAD_H

/* The load tool: an open loop of reads, writes and transactions through several proxies. */

#include "io/io.h"

#include <stdio.h>

#define LD_PROXIES_MAX 64
#define LD_SESSIONS_MAX 10000
#define LD_TOKEN_BYTES 6200 /* the longest session token, 6144 bytes, with headroom */
#define LD_NAME_BYTES 48
#define LD_VALUE_BYTES 64
#define LD_READ_LIMIT 20 /* a read returns the newest rows, up to this many */
#define LD_ATTEMPTS_MAX 8
#define LD_STATEMENTS_MAX 4 /* of a transaction */

enum ld_kind { LD_READ, LD_WRITE, LD_TRANSACTION, LD_KINDS };
enum ld_outcome { LD_RAN, LD_NOT_RUN, LD_UNKNOWN, LD_OUTCOMES };

extern const char *const ld_kind_names[LD_KINDS];
extern const char *const ld_outcome_names[LD_OUTCOMES];

struct ld_options {
	const char *proxies[LD_PROXIES_MAX];
	uint32_t proxy_count;
	const char *database;
	const char *customer;
	const char *key; /* ID:FILE */
	const char *credential;
	const char *source; /* NULL: the system chooses */
	const char *history;
	double rate; /* operations a second */
	uint64_t seed;
	uint32_t sessions;
	uint32_t read_percent;
	uint32_t strong_percent;      /* of reads */
	uint32_t keyed_percent;	      /* of writes */
	uint32_t transaction_percent; /* of writes */
	uint32_t duration_s;
	uint32_t timeout_ms;
	int64_t max_age_ms; /* -1: not given */
	bool roam;
	bool json;
	bool setup;
};

/* --- load_args.c --- */

void ld_args_parse(int argc, char **argv, struct ld_options *options);

/* --- load_answer.c --- */

struct ld_answer {
	enum ld_outcome outcome;
	uint32_t status;	/* 0: no answer */
	json_t *body;		/* NULL if none */
	const char *request_id; /* the field "request", or NULL */
	const char *served_by;
	const char *transaction_id;
	const char *error; /* the code, or NULL */
	int64_t age_ms;	   /* -1: not in the answer */
	bool replayed;
};

/* Parses an answer; its strings are owned by answer->body, which the caller releases. */
void ld_answer_parse(const struct io_http_result *result, struct ld_answer *answer);

/* --- load_stats.c --- */

struct ld_stats;

struct ld_stats *ld_stats_create(uint64_t now_us);
void ld_stats_destroy(struct ld_stats *stats);
/* Counts an ended operation; its latency is measured from the time it was due. */
void ld_stats_add(struct ld_stats *stats, enum ld_kind kind, enum ld_outcome outcome,
		  uint64_t due_us, uint64_t now_us);
/* Counts a read by its endpoint; the endpoint of the newest write is taken for the primary. */
void ld_stats_served(struct ld_stats *stats, enum ld_kind kind, const char *endpoint,
		     int64_t age_ms);
void ld_stats_resent(struct ld_stats *stats);
void ld_stats_mismatch(struct ld_stats *stats);
void ld_stats_error(struct ld_stats *stats, const char *code);
/* Prints one line with the counts since the last line. */
void ld_stats_progress(struct ld_stats *stats, uint64_t now_us, FILE *out);
/* The summary; a new reference. Ends the current gap between writes. */
json_t *ld_stats_json(struct ld_stats *stats, uint64_t now_us);
void ld_stats_print(const json_t *summary, FILE *out);

/* --- load_session.c --- */

struct ld_load;

struct ld_op {
	enum ld_kind kind;
	uint32_t seq;
	uint32_t owner; /* session whose rows a read selects */
	uint32_t proxy;
	uint32_t attempt;
	uint32_t statements; /* of a transaction */
	uint32_t step;	     /* of a transaction: 0 begin, 1.. statements, then commit */
	bool strong;
	bool rolling_back;
	bool maybe_ran; /* the outcome of an earlier attempt is unknown */
	uint64_t due_us;
	uint64_t start_us;
	char value[LD_VALUE_BYTES];
	char key[LD_VALUE_BYTES]; /* empty: none */
	char request_id[LD_VALUE_BYTES + 16];
	char transaction_id[LD_VALUE_BYTES];
	json_t *answers;
};

struct ld_session {
	struct ld_load *load;
	uint32_t index;
	uint32_t next_seq;
	uint32_t proxy;
	bool busy;
	struct ld_op op;
	char name[LD_NAME_BYTES];
	char token[LD_TOKEN_BYTES];
};

struct ld_load {
	const struct ld_options *options;
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_client *client; /* for reads and the setup; keeps connections */
	/* Never resends a request, so that each attempt of a write is recorded. */
	struct io_http_client *send_once_client;
	struct ld_stats *stats;
	struct ld_session *sessions;
	uint32_t *idle;
	uint32_t idle_count;
	struct io_timer *arrival_timer;
	struct io_timer *progress_timer;
	FILE *history;
	char run[32]; /* prefix of all session names and request ids of this run */
	char authorization[256];
	uint64_t begin_us;
	uint64_t end_us;
	uint64_t started_count; /* operations started */
};

/* Starts the next operation of an idle session. */
void ld_session_start(struct ld_session *session, uint64_t due_us);

/* --- load_arrivals.c --- */

void ld_arrivals_schedule(struct ld_load *load);
void ld_arrivals_release(struct ld_load *load, const struct ld_session *session);
uint64_t ld_arrivals_not_started(const struct ld_load *load);

/* --- load_history.c --- */

void ld_history_add(FILE *file, const struct ld_session *session, enum ld_outcome outcome,
		    const struct ld_answer *answer, uint64_t now_us);

/* --- load_key.c --- */

#define LD_CREDENTIAL_BYTES 160 /* at least SES_CREDENTIAL_BYTES */

enum bc_status ld_credential_make(struct bc_ctx *ctx, const struct ld_options *options,
				  char credential[LD_CREDENTIAL_BYTES]);

/* --- load_setup.c --- */

/* Creates the table, repeating the request for up to 30 s. BC_ETIMEOUT if it fails. */
enum bc_status ld_setup(struct ld_load *load);

#endif
