#ifndef STE_ENDPOINT_H
#define STE_ENDPOINT_H

/* Types and functions shared by the source files of the stand-in endpoint. */

#include "standin/sta_gate.h"
#include "standin/ste_database.h"

#define STE_DATABASES_MAX 64
#define STE_PEERS_MAX 64

struct ste_peer {
	char id[BC_ID_BYTES];
	char address[BC_ADDRESS_BYTES];
};

struct ste_settings {
	const char *id;
	const char *listen;
	const char *data;
	struct ste_peer peers[STE_PEERS_MAX];
	size_t peer_count;
	uint32_t connections;
	uint32_t slots;
	uint64_t connect_cost_us;
	uint64_t write_cost_us;
	uint64_t read_cost_us;
	uint64_t lock_wait_us;
	uint64_t pull_wait_ms;
};

struct ste_counters {
	uint64_t statements;
	uint64_t reads;
	uint64_t writes;
	uint64_t refused;
	uint64_t errors;
	uint64_t opened;
	uint64_t open_refused;
	uint64_t closed_idle;
	uint64_t bytes_in;
	uint64_t log_entries_out;
	uint32_t peak_connections;
	uint32_t peak_busy;
};

struct ste_job;
struct ste_waiter;
struct ste_connection;
struct ste_endpoint;

/* A first-in first-out list of jobs. */
struct ste_queue {
	struct ste_job *first;
	struct ste_job *last;
};

/* A database that this process hosts, with its replication state. */
struct ste_host {
	struct ste_endpoint *endpoint;
	struct ste_database *database;
	struct ste_connection *lock_holder; /* runs or holds open a write transaction */
	struct ste_queue lock_queue;
	struct ste_waiter *waiters;
	struct io_timer *apply_timer;
	struct io_timer *step_down_timer; /* set while the primary refuses writes */
	struct io_http_call *pull_call;
	struct io_timer *pull_timer;
	json_t *delayed_answer;	       /* answer that is kept until the receive delay is over */
	struct bc_position pull_after; /* last entry assumed to be common with the primary's log */
	uint64_t contact_us;
};

struct ste_connection {
	struct ste_endpoint *endpoint;
	struct ste_connection *next;
	char id[BC_ID_BYTES];
	char proxy[BC_ID_BYTES];
	json_t *seen_requests; /* object whose keys are the request ids received */
	struct ste_job *job;   /* the request being served */
	struct ste_host *host; /* of the open transaction, or NULL */
	uint64_t last_call_us;
	bool opening;
	bool closed; /* kept for a while to recognize duplicate requests */
};

struct ste_endpoint {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_server *server;
	struct io_http_client *client;
	struct sta_gate *gate;
	struct ste_settings settings;
	struct ste_host hosts[STE_DATABASES_MAX];
	size_t host_count;
	struct ste_connection *connections;
	uint32_t connection_count;
	uint64_t connection_serial;
	char start_id[17]; /* differs between two runs of the process */
	uint32_t busy;	   /* jobs in service, each holding a slot */
	struct ste_queue slot_queue;
	struct ste_counters counters;
	uint64_t apply_delay_us;
	uint64_t receive_delay_us;
	bool swap_request_ids;
	char last_request[BC_ID_BYTES * 2];
	bool leaving;
};

/* ste_connection.c */
void ste_connection_open(struct ste_endpoint *endpoint, struct io_http_request *request);
void ste_connection_delete(struct ste_endpoint *endpoint, struct io_http_request *request,
			   const char *id);
struct ste_connection *ste_connection_find(struct ste_endpoint *endpoint, const char *id);
void ste_connection_close(struct ste_connection *connection, const char *code);
void ste_connections_start_sweep(struct ste_endpoint *endpoint);

/* ste_run.c */
void ste_run(struct ste_endpoint *endpoint, struct io_http_request *request, const char *id);

/* ste_job.c */
struct ste_job {
	struct ste_connection *connection;
	struct ste_host *host;
	struct io_http_request *request;
	struct ste_job *next;
	struct ste_queue *queue; /* queue in which the job waits, or NULL */
	struct io_timer *timer;	 /* ends the wait for the write lock, or the service time */
	json_t *body;
	const char *id;
	const json_t *statements;
	uint64_t term;
	struct bc_position min;
	bool begins;
	bool commits;
	bool rolls_back;
	bool writes;
	bool in_service;
};

void ste_job_start(struct ste_job *job);
void ste_job_cancel(struct ste_job *job);
void ste_job_execute(struct ste_job *job);
void ste_job_refuse(struct ste_job *job, const char *code);
void ste_lock_release(struct ste_host *host);

/* ste_wait.c */
void ste_wait_position(struct ste_host *host, struct io_http_request *request);
void ste_wait_log(struct ste_host *host, struct io_http_request *request);
void ste_wait_wake(struct ste_host *host);

/* ste_pull.c */
void ste_pull_restart(struct ste_host *host);
void ste_apply_due(struct ste_host *host);

/* ste_order.c */
void ste_order(struct ste_host *host, struct io_http_request *request, const char *order);
json_t *ste_status_row(struct ste_host *host);

/* ste_control.c */
void ste_control(struct ste_endpoint *endpoint, struct io_http_request *request);

/* ste_server.c */
void ste_serve(void *data, struct io_http_request *request);
struct ste_host *ste_host_find(struct ste_endpoint *endpoint, const char *name);
uint64_t ste_query_number(const struct io_http_request *request, const char *name,
			  uint64_t default_value);

#endif
