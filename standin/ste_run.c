#include "standin/ste_endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_ID_BYTES (BC_ID_BYTES * 2)
/*
 * Request ids kept per connection to detect duplicates, which arrive within a few requests. The
 * bound limits the memory of a connection that stays open for days.
 */
#define SEEN_REQUESTS_MAX 65536U

static json_t *error_json(const char *code, const char *message)
{
	return json_pack("{s:s,s:s}", "code", code, "message", message);
}

/* Refuses a request that was not started as a job, with the same fields as answer_job(). */
static void answer_refused(struct ste_endpoint *endpoint, struct io_http_request *request,
			   const struct ste_job *job, uint32_t http, const char *code,
			   const char *message)
{
	struct bc_position none = {0, 0};
	bool in_transaction = job->connection && job->connection->host;

	endpoint->counters.refused++;
	sta_gate_answer(endpoint->gate, request, http,
			json_pack("{s:s,s:s,s:[],s:i,s:o,s:b,s:s,s:o}", "request",
				  job->id ? job->id : "", "status", "refused", "results", "term", 0,
				  "position", ste_position_json(none), "in_transaction",
				  in_transaction, "primary", "", "error",
				  error_json(code, message)));
}

/* The request id to answer with; with swap_request_ids it is that of the preceding request. */
static const char *answered_id(struct ste_endpoint *endpoint, const struct ste_job *job,
			       char swapped[REQUEST_ID_BYTES])
{
	if (!endpoint->swap_request_ids)
		return job->id;
	if (strcmp(endpoint->last_request, job->id) == 0)
		snprintf(swapped, REQUEST_ID_BYTES, "other-%.64s", job->id);
	else
		snprintf(swapped, REQUEST_ID_BYTES, "%s", endpoint->last_request);
	snprintf(endpoint->last_request, sizeof(endpoint->last_request), "%s", job->id);
	return swapped;
}

/* Answers the job's request and frees the job. Releases `results` and `error`. */
static void answer_job(struct ste_job *job, const char *status, json_t *results,
		       struct bc_position position, json_t *error)
{
	struct ste_connection *connection = job->connection;
	struct ste_endpoint *endpoint = connection->endpoint;
	const struct ste_role *role = ste_database_role(job->host->database);
	char swapped[REQUEST_ID_BYTES];
	json_t *body = json_pack("{s:s,s:s,s:o,s:I,s:o,s:b,s:s}", "request",
				 answered_id(endpoint, job, swapped), "status", status, "results",
				 results ? results : json_array(), "term", (json_int_t)role->term,
				 "position", ste_position_json(position), "in_transaction",
				 connection->host != NULL, "primary", role->primary);

	if (error)
		json_object_set_new(body, "error", error);
	connection->job = NULL;
	connection->last_call_us = io_now_us();
	sta_gate_answer(endpoint->gate, job->request, 200, body);
	json_decref(job->body);
	free(job);
}

static const char *refusal_message(const char *code)
{
	static const struct {
		const char *code;
		const char *message;
	} messages[] = {
		{"not_primary", "this endpoint is not the primary"},
		{"wrong_term", "this endpoint is not the primary of that term"},
		{"read_only", "the request is declared as a read, but its statement writes"},
		{"stepping_down", "the primary refuses writes while it steps down"},
		{"behind", "the applied position is below min"},
		{"rebuilding", "the data is being rebuilt from the log"},
		{"lock_timeout", "another transaction held the write lock for too long"},
		{"connection_closed", "the connection was closed"},
		{"duplicate_request", "a request with this id has arrived before"},
		{"no_such_connection", "the connection is closed"},
		{"connection_busy", "another request of this connection is being served"},
		{"no_such_database", "this endpoint does not host the database"},
		{"transaction_open", "the connection has a transaction open"},
		{"no_transaction", "the connection has no transaction open"},
		{"other_database", "the connection's transaction is on another database"},
	};
	size_t i;

	for (i = 0; i < sizeof(messages) / sizeof(messages[0]); i++)
		if (strcmp(messages[i].code, code) == 0)
			return messages[i].message;
	return "refused";
}

/* Answers that none of the job's statements ran, and frees the job. */
void ste_job_refuse(struct ste_job *job, const char *code)
{
	job->connection->endpoint->counters.refused++;
	answer_job(job, "refused", NULL, ste_database_applied(job->host->database),
		   error_json(code, refusal_message(code)));
}

/* The error code if the job must not run now, or NULL. */
static const char *refusal_code(const struct ste_job *job)
{
	struct ste_host *host = job->host;
	const struct ste_role *role = ste_database_role(host->database);

	if (job->term && (!role->is_primary || role->term != job->term))
		return role->is_primary ? "wrong_term" : "not_primary";
	if (job->writes && json_is_true(json_object_get(job->body, "read_only")))
		return "read_only";
	if (job->writes && !role->is_primary)
		return "not_primary";
	if (job->writes && host->step_down_timer)
		return "stepping_down";
	if (ste_database_rebuilding(host->database))
		return "rebuilding";
	if (!bc_position_covers(ste_database_applied(host->database), job->min))
		return "behind";
	return NULL;
}

static void count_statements(struct ste_endpoint *endpoint, const struct ste_job *job)
{
	size_t count = json_array_size(job->statements);

	endpoint->counters.statements += count;
	if (job->writes)
		endpoint->counters.writes += count;
	else
		endpoint->counters.reads += count;
}

static void run_write(struct ste_job *job, struct ste_outcome *outcome)
{
	struct ste_host *host = job->host;
	struct ste_connection *connection = job->connection;

	if (job->rolls_back) {
		ste_database_write(host->database, job->statements, false, 0, outcome);
		ste_database_rollback(host->database);
	} else {
		ste_database_write(host->database, job->statements, job->commits, io_now_us(),
				   outcome);
	}
	connection->host = ste_database_in_transaction(host->database) ? host : NULL;
}

/*
 * Runs the statements and answers. Checks again whether the job must be refused, since the state
 * may have changed while it waited.
 */
void ste_job_execute(struct ste_job *job)
{
	struct ste_host *host = job->host;
	struct ste_connection *connection = job->connection;
	struct ste_outcome outcome = {0};
	const char *code = refusal_code(job);
	bool writes = job->writes;

	if (code) {
		ste_job_refuse(job, code);
	} else {
		count_statements(host->endpoint, job);
		if (writes)
			run_write(job, &outcome);
		else
			ste_database_read(host->database, job->statements, &outcome);
		if (outcome.ok) {
			answer_job(job, "ok", outcome.results, outcome.position, NULL);
		} else {
			host->endpoint->counters.errors++;
			json_decref(outcome.results);
			answer_job(job, "error", NULL, outcome.position,
				   error_json(outcome.error.code, outcome.error.message));
		}
	}
	if (!writes)
		return;
	if (host->lock_holder == connection && !connection->host)
		ste_lock_release(host);
	ste_wait_wake(host);
}

static bool parse_end(struct ste_job *job)
{
	const char *end = json_string_value(json_object_get(job->body, "end"));

	if (!end || strcmp(end, "none") == 0)
		return true;
	job->commits = strcmp(end, "commit") == 0;
	job->rolls_back = strcmp(end, "rollback") == 0;
	return job->commits || job->rolls_back;
}

static bool parse_body(struct ste_job *job)
{
	const json_t *min = json_object_get(job->body, "min");
	json_t *statements = json_object_get(job->body, "statements");

	job->id = json_string_value(json_object_get(job->body, "request"));
	job->statements = statements;
	job->term = (uint64_t)json_integer_value(json_object_get(job->body, "term"));
	job->min.term = (uint64_t)json_integer_value(json_object_get(min, "term"));
	job->min.pos = (uint64_t)json_integer_value(json_object_get(min, "pos"));
	job->begins = json_is_true(json_object_get(job->body, "begin"));
	return job->id && job->id[0] && strlen(job->id) < REQUEST_ID_BYTES &&
	       (!statements || json_is_array(statements)) && parse_end(job);
}

/* The error code if the job conflicts with the connection's transaction state, or NULL. */
static const char *transaction_conflict(const struct ste_job *job)
{
	const struct ste_connection *connection = job->connection;

	if (connection->host && job->begins)
		return "transaction_open";
	if (connection->host && connection->host != job->host)
		return "other_database";
	if (!connection->host && !job->begins && (job->commits || job->rolls_back))
		return "no_transaction";
	return NULL;
}

static void start_job(struct ste_job *job)
{
	const struct ste_connection *connection = job->connection;
	bool opens = job->begins && !job->commits && !job->rolls_back;
	const char *code;

	if (json_is_true(json_object_get(job->body, "read_only")))
		job->writes = ste_database_has_write(job->host->database, job->statements);
	else
		job->writes = connection->host || opens ||
			      !ste_database_is_read(job->host->database, job->statements);
	/* A run without begin and outside a transaction is a transaction of its own. */
	if (!connection->host && !job->begins)
		job->commits = true;
	code = refusal_code(job);
	if (code) {
		ste_job_refuse(job, code);
		return;
	}
	ste_job_start(job);
}

/*
 * Adds a request id and evicts the oldest one if the limit is reached; jansson iterates in the
 * order of insertion, so that is the first key.
 */
static void record_request_id(json_t *seen_requests, const char *id)
{
	if (json_object_size(seen_requests) >= SEEN_REQUESTS_MAX)
		json_object_del(seen_requests,
				json_object_iter_key(json_object_iter(seen_requests)));
	json_object_set_new(seen_requests, id, json_true());
}

/* Checks the connection and the request id, and records the id; the error code or NULL. */
static const char *admit(struct ste_job *job)
{
	struct ste_connection *connection = job->connection;

	if (json_object_get(connection->seen_requests, job->id))
		return "duplicate_request";
	if (connection->closed)
		return "no_such_connection";
	if (connection->job)
		return "connection_busy";
	record_request_id(connection->seen_requests, job->id);
	connection->last_call_us = io_now_us();
	if (!job->host)
		return "no_such_database";
	return transaction_conflict(job);
}

static void free_job(struct ste_job *job)
{
	json_decref(job->body);
	free(job);
}

/*
 * Answers a request on an unknown connection. If an earlier process opened it, the answer has no
 * status, since it is not known what ran on it.
 */
static void answer_unknown_connection(struct ste_endpoint *endpoint,
				      struct io_http_request *request, const char *id,
				      const struct ste_job *job)
{
	size_t length = strlen(endpoint->start_id);

	if (strncmp(id, endpoint->start_id, length) == 0)
		answer_refused(endpoint, request, job, 404, "no_such_connection",
			       "the connection is closed");
	else
		sta_gate_error(endpoint->gate, request, 404, "connection_of_earlier_process",
			       "the endpoint was restarted; the request may have run before");
}

/* POST /v1/connections/ID/run */
void ste_run(struct ste_endpoint *endpoint, struct io_http_request *request, const char *id)
{
	struct ste_job *job = calloc(1, sizeof(*job));
	const char *code;

	if (!job)
		return;
	job->request = request;
	job->body = json_loads(io_http_body(request, NULL), 0, NULL);
	if (!parse_body(job)) {
		answer_refused(endpoint, request, job, 400, "bad_request",
			       "the body is not a valid run request");
		free_job(job);
		return;
	}
	job->connection = ste_connection_find(endpoint, id);
	job->host =
		ste_host_find(endpoint, json_string_value(json_object_get(job->body, "database")));
	if (!job->connection) {
		answer_unknown_connection(endpoint, request, id, job);
		free_job(job);
		return;
	}
	code = admit(job);
	if (code) {
		answer_refused(endpoint, request, job, 200, code, refusal_message(code));
		free_job(job);
		return;
	}
	job->connection->job = job;
	start_job(job);
}
