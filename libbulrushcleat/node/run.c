#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The parts of a run call that depend on the job and its step. */
struct run_request {
	bool begin;
	const char *end;    /* "none", "commit" or "rollback" */
	json_t *statements; /* an array, owned */
};

static void send_run(struct nod_node *node, struct job *job, struct run_request *run);

static const char *job_endpoint(const struct job *job)
{
	return job->transaction ? job->transaction->endpoint : job->choice.endpoint;
}

static const char *job_connection(const struct job *job)
{
	return job->transaction ? job->transaction->connection : job->connection;
}

/* Returns a job's connection to the pool, which closes it unless it is clean. */
void nod_run_release(struct nod_node *node, struct job *job, bool clean)
{
	char connection[POOL_CONNECTION_BYTES];

	if (!job->connection[0])
		return;
	memcpy(connection, job->connection, sizeof(connection));
	job->connection[0] = '\0';
	rte_statement_finished(node->route, job->choice.endpoint);
	pool_release(node->connections, job->choice.endpoint, connection, clean, node->now_us);
}

static json_t *caller_statement(const struct job *job)
{
	return json_pack("{s:s,s:O}", "sql", job->sql, "params", job->params);
}

static void run_statement(struct nod_node *node, struct job *job)
{
	struct run_request run = {.end = "none", .statements = json_array()};

	job->step = STEP_RUN;
	switch (job->kind) {
	case JOB_STATEMENT:
		run.begin = true;
		run.end = "commit";
		json_array_append_new(run.statements, caller_statement(job));
		break;
	case JOB_BEGIN:
		run.begin = true;
		break;
	case JOB_IN_TRANSACTION:
		json_array_append_new(run.statements, caller_statement(job));
		break;
	case JOB_COMMIT:
		run.end = "commit";
		break;
	case JOB_ROLLBACK:
		run.end = "rollback";
		break;
	}
	send_run(node, job, &run);
}

static void run_key_begin(struct nod_node *node, struct job *job)
{
	struct run_request run = {.begin = true, .end = "none", .statements = json_array()};

	job->step = STEP_KEY_BEGIN;
	if (!apr_hash_get(node->key_table_known, job->database, APR_HASH_KEY_STRING))
		json_array_append_new(run.statements, out_key_sql_create_table());
	json_array_append_new(
		run.statements,
		out_key_sql_insert(job->customer, job->key, job->fingerprint, job->unix_now_s));
	json_array_append_new(run.statements, caller_statement(job));
	send_run(node, job, &run);
}

static void run_key_commit(struct nod_node *node, struct job *job)
{
	struct run_request run = {.end = "commit", .statements = json_array()};
	char *stored = json_dumps(job->result, JSON_COMPACT);

	job->step = STEP_KEY_COMMIT;
	json_array_append_new(run.statements,
			      out_key_sql_store(job->customer, job->key, stored ? stored : "{}"));
	free(stored);
	send_run(node, job, &run);
}

static void run_key_lookup(struct nod_node *node, struct job *job)
{
	struct run_request run = {.begin = true, .end = "commit", .statements = json_array()};

	job->step = STEP_KEY_LOOKUP;
	json_array_append_new(run.statements, out_key_sql_lookup(job->customer, job->key));
	send_run(node, job, &run);
}

/* Runs a job's statement on the connection that the job holds. */
void nod_run_start(struct nod_node *node, struct job *job)
{
	if (job->key)
		run_key_begin(node, job);
	else
		run_statement(node, job);
}

static json_t *run_body(const struct job *job, const struct run_request *run)
{
	struct bc_position mark = ses_mark_get(&job->session, job->database);
	bool needs_primary = job->attempts.write || job->strong;
	uint64_t term = job->transaction ? job->transaction->term : job->choice.term;
	json_t *body = json_pack(
		"{s:s,s:s,s:I,s:b,s:b,s:s,s:O}", "request", job->run_id, "database", job->database,
		"term", (json_int_t)(needs_primary ? term : 0), "read_only", !job->attempts.write,
		"begin", run->begin, "end", run->end, "statements", run->statements);

	if (!job->attempts.write && mark.term)
		json_object_set_new(body, "min",
				    json_pack("{s:I,s:I}", "term", (json_int_t)mark.term, "pos",
					      (json_int_t)mark.pos));
	return body;
}

static struct bc_position position_parse(const json_t *json)
{
	struct bc_position position = {0, 0};
	json_t *term = json_object_get(json, "term");
	json_t *pos = json_object_get(json, "pos");

	if (json_is_integer(term) && json_is_integer(pos)) {
		position.term = (uint64_t)json_integer_value(term);
		position.pos = (uint64_t)json_integer_value(pos);
	}
	return position;
}

static void set_endpoint_error(struct job *job, const json_t *body)
{
	const json_t *error = json_object_get(body, "error");
	const char *code = json_string_value(json_object_get(error, "code"));
	const char *message = json_string_value(json_object_get(error, "message"));

	nod_error_set(job, code ? code : "endpoint_error", message ? message : "no message");
}

/* Ends the job's transaction: it was committed or rolled back, or its state is unknown. */
static void end_transaction(struct nod_node *node, struct job *job, bool clean)
{
	struct transaction *transaction = job->transaction;

	job->transaction = NULL;
	nod_transaction_end(node, transaction, clean);
}

static void transaction_attempt_ended(struct nod_node *node, struct job *job, enum out_end end,
				      bool clean)
{
	bool was_commit = job->kind == JOB_COMMIT;

	/* Without a commit the transaction has no effect, so a lost statement is "not_run". */
	if (end == OUT_END_LOST && !was_commit) {
		end = OUT_END_REFUSED;
		nod_error_set(job, "transaction_lost",
			      "the endpoint did not answer; the transaction is rolled back");
	}
	if (end != OUT_END_OK || job->kind != JOB_IN_TRANSACTION)
		end_transaction(node, job, clean);
	nod_job_attempt_ended(node, job, end);
}

static void attempt_ended(struct nod_node *node, struct job *job, enum out_end end, bool clean)
{
	if (job->transaction) {
		transaction_attempt_ended(node, job, end, clean);
		return;
	}
	/* The first step of a keyed write does not commit, so without an answer nothing ran. */
	if (job->step == STEP_KEY_BEGIN && (end == OUT_END_LOST || end == OUT_END_DUPLICATE))
		end = OUT_END_REFUSED;
	nod_run_release(node, job, clean);
	nod_job_attempt_ended(node, job, end);
}

/* These refusals leave the connection unchanged; after any other its state is unknown. */
static bool refusal_is_clean(const char *code)
{
	static const char *const clean[] = {"not_primary",   "wrong_term", "behind",
					    "stepping_down", "rebuilding", "lock_timeout"};
	size_t i;

	for (i = 0; i < sizeof(clean) / sizeof(clean[0]); i++)
		if (strcmp(clean[i], code) == 0)
			return true;
	return false;
}

static void on_refused(struct nod_node *node, struct job *job, const json_t *body)
{
	const char *primary = json_string_value(json_object_get(body, "primary"));
	json_t *term = json_object_get(body, "term");
	bool idle = !json_is_true(json_object_get(body, "in_transaction"));

	set_endpoint_error(job, body);
	if (json_is_integer(term) && primary && primary[0])
		rte_primary_learn(node->route, job->database, (uint64_t)json_integer_value(term),
				  primary);
	if (strcmp(job->error_code, "duplicate_request") == 0) {
		attempt_ended(node, job, OUT_END_DUPLICATE, false);
		return;
	}
	/* An error of the caller; another attempt would fail in the same way. */
	if (strcmp(job->error_code, "read_only") == 0) {
		attempt_ended(node, job, OUT_END_ERROR, idle);
		return;
	}
	attempt_ended(node, job, OUT_END_REFUSED, idle && refusal_is_clean(job->error_code));
}

static void on_error(struct nod_node *node, struct job *job, const json_t *body)
{
	bool idle = !json_is_true(json_object_get(body, "in_transaction"));

	set_endpoint_error(job, body);
	/* The error may be that the key row exists; then its stored result is the reply. */
	if (job->step == STEP_KEY_BEGIN && idle) {
		run_key_lookup(node, job);
		return;
	}
	attempt_ended(node, job, OUT_END_ERROR, idle);
}

static void replay(struct nod_node *node, struct job *job, const json_t *row)
{
	const char *fingerprint = json_string_value(json_array_get(row, 0));
	const char *stored = json_string_value(json_array_get(row, 1));

	if (!fingerprint || strcmp(fingerprint, job->fingerprint) != 0) {
		nod_error_set(job, "key_reused", "the key was used for another request");
		attempt_ended(node, job, OUT_END_REFUSED, true);
		return;
	}
	json_decref(job->result);
	job->result = stored ? json_loads(stored, 0, NULL) : NULL;
	job->replayed = true;
	job->error_code[0] = '\0';
	nod_run_release(node, job, true);
	nod_job_confirm(node, job);
}

static void on_key_lookup(struct nod_node *node, struct job *job, const json_t *result)
{
	const json_t *rows = json_object_get(result, "rows");

	if (json_array_size(rows)) {
		replay(node, job, json_array_get(rows, 0));
		return;
	}
	/* There is no key row, so the caller's own statement failed. */
	attempt_ended(node, job, OUT_END_ERROR, true);
}

static void keep_last_result(struct job *job, const json_t *body)
{
	json_t *results = json_object_get(body, "results");
	size_t count = json_array_size(results);

	json_decref(job->result);
	job->result = count ? json_deep_copy(json_array_get(results, count - 1)) : NULL;
}

static void on_ok(struct nod_node *node, struct job *job, const json_t *body)
{
	bool in_transaction = json_is_true(json_object_get(body, "in_transaction"));
	struct bc_position position = position_parse(json_object_get(body, "position"));
	const json_t *results = json_object_get(body, "results");

	job->served_term = (uint64_t)json_integer_value(json_object_get(body, "term"));

	if (job->step == STEP_KEY_BEGIN && in_transaction) {
		keep_last_result(job, body);
		run_key_commit(node, job);
		return;
	}
	if (job->step == STEP_KEY_LOOKUP && !in_transaction) {
		job->position = position;
		on_key_lookup(node, job, json_array_get(results, 0));
		return;
	}
	if (job->kind == JOB_BEGIN && in_transaction) {
		if (node->now_us + NOD_BEGIN_MARGIN_US > job->deadline_us) {
			nod_error_set(job, "late_begin",
				      "the transaction began too close to the deadline");
			attempt_ended(node, job, OUT_END_REFUSED, false);
			return;
		}
		job->transaction = nod_transaction_create(node, job);
		if (!job->transaction) {
			attempt_ended(node, job, OUT_END_REFUSED, false);
			return;
		}
		job->connection[0] = '\0';
		nod_job_attempt_ended(node, job, OUT_END_OK);
		return;
	}
	if (job->kind == JOB_IN_TRANSACTION && in_transaction) {
		keep_last_result(job, body);
		attempt_ended(node, job, OUT_END_OK, true);
		return;
	}
	if (in_transaction || job->kind == JOB_BEGIN || job->kind == JOB_IN_TRANSACTION) {
		bc_counter_add(node->ctx, "bulrushcleat_protocol_doubts_total", NULL, 1);
		attempt_ended(node, job, OUT_END_LOST, false);
		return;
	}
	if (job->step == STEP_KEY_COMMIT)
		apr_hash_set(node->key_table_known, nod_database_get(node, job->database)->database,
			     APR_HASH_KEY_STRING, node);
	else
		keep_last_result(job, body);
	if (job->kind == JOB_ROLLBACK) {
		attempt_ended(node, job, OUT_END_OK, true);
		return;
	}
	job->position = position;
	if (job->transaction) {
		snprintf(job->choice.endpoint, BC_ID_BYTES, "%s", job->transaction->endpoint);
		end_transaction(node, job, true);
	} else {
		nod_run_release(node, job, true);
	}
	nod_job_confirm(node, job);
}

static void on_run_answer(struct nod_node *node, const struct pending_call *pending,
			  const struct nod_answer *answer)
{
	struct job *job = nod_job_find(node, pending->context_id);
	const char *request;
	const char *status;
	json_t *body;

	if (!job)
		return;
	if (answer->result == NOD_CALL_NOT_SENT) {
		rte_unreachable(node->route, pending->endpoint, node->now_us);
		attempt_ended(node, job, OUT_END_NOT_SENT, false);
		return;
	}
	body = answer->result == NOD_CALL_ANSWERED ? json_loads(answer->body, 0, NULL) : NULL;
	request = json_string_value(json_object_get(body, "request"));
	status = json_string_value(json_object_get(body, "status"));
	if (!request || !status || strcmp(request, job->run_id) != 0) {
		if (answer->result == NOD_CALL_ANSWERED)
			bc_log(node->ctx, BC_LOG_WARN, "answer_mismatch", "{s:s,s:s,s:i}",
			       "endpoint", pending->endpoint, "expected", job->run_id, "status",
			       (int)answer->status);
		bc_counter_add(node->ctx, "bulrushcleat_protocol_doubts_total", NULL, 1);
		attempt_ended(node, job, OUT_END_LOST, false);
	} else if (strcmp(status, "ok") == 0) {
		on_ok(node, job, body);
	} else if (strcmp(status, "refused") == 0) {
		on_refused(node, job, body);
	} else {
		on_error(node, job, body);
	}
	json_decref(body);
}

static void send_run(struct nod_node *node, struct job *job, struct run_request *run)
{
	struct pending_call pending = {
		.destination = NOD_TO_ENDPOINT, .done = on_run_answer, .context_id = job->id};
	uint64_t left_us = job->deadline_us > node->now_us ? job->deadline_us - node->now_us : 1;
	char path[128];
	json_t *body;
	char *text;

	snprintf(job->run_id, sizeof(job->run_id), "%s-%llu-%u", node->candidate,
		 (unsigned long long)job->id, ++job->run_count);
	snprintf(path, sizeof(path), "/v1/connections/%s/run", job_connection(job));
	nod_pending_endpoint(&pending, job_endpoint(job), job->database);
	body = run_body(job, run);
	text = json_dumps(body, JSON_COMPACT);
	if (job->state != JOB_RUNNING) {
		job->state = JOB_RUNNING;
		nod_job_link(node, job);
	}
	job->run_sent_us = node->now_us;
	job->call = nod_call_send(node, &pending, "POST", path, text, &job->hop, left_us);
	free(text);
	json_decref(body);
	json_decref(run->statements);
}

static void on_open_answer(struct nod_node *node, const struct pending_call *pending,
			   const struct nod_answer *answer)
{
	json_t *body =
		answer->result == NOD_CALL_ANSWERED ? json_loads(answer->body, 0, NULL) : NULL;
	const char *connection = json_string_value(json_object_get(body, "connection"));
	enum bc_status status = BC_EIO;

	if (answer->result == NOD_CALL_ANSWERED && answer->status / 100 == 2 && connection &&
	    strlen(connection) < POOL_CONNECTION_BYTES)
		status = BC_OK;
	else if (answer->result == NOD_CALL_ANSWERED && answer->status == 503)
		status = BC_ELIMIT;
	else
		rte_unreachable(node->route, pending->endpoint, node->now_us);
	pool_opened(node->connections, pending->endpoint, "", status, connection, node->now_us);
	json_decref(body);
}

static void on_pool_open(void *data, const char *endpoint, const char *account)
{
	struct nod_node *node = data;
	struct pending_call pending = {.destination = NOD_TO_ENDPOINT, .done = on_open_answer};
	char body[128];

	(void)account;
	nod_pending_endpoint(&pending, endpoint, NULL);
	snprintf(body, sizeof(body), "{\"proxy\":\"%s\"}", node->settings.id);
	nod_call_send(node, &pending, "POST", "/v1/connections", body, NULL, NOD_OPEN_TIMEOUT_US);
}

static void on_close_answer(struct nod_node *node, const struct pending_call *pending,
			    const struct nod_answer *answer)
{
	(void)node;
	(void)pending;
	(void)answer;
}

static void on_pool_close(void *data, const char *endpoint, const char *connection)
{
	struct nod_node *node = data;
	struct pending_call pending = {.destination = NOD_TO_ENDPOINT, .done = on_close_answer};
	char path[128];

	nod_pending_endpoint(&pending, endpoint, NULL);
	snprintf(path, sizeof(path), "/v1/connections/%s", connection);
	nod_call_send(node, &pending, "DELETE", path, NULL, NULL, NOD_CLOSE_TIMEOUT_US);
}

/* A replica that was fresh enough when chosen may be too old after the wait for a connection. */
static bool copy_too_old(struct nod_node *node, struct job *job)
{
	if (job->attempts.write || job->choice.is_primary)
		return false;
	job->choice.age_us =
		rte_age(node->route, job->choice.endpoint, job->database, node->now_us);
	return job->max_age_us != RTE_AGE_ANY && job->choice.age_us > job->max_age_us;
}

static void on_pool_granted(void *data, uint64_t waiter, const char *endpoint,
			    const char *connection)
{
	struct nod_node *node = data;
	struct job *job = nod_job_find(node, waiter);

	if (!job || job->state != JOB_QUEUED) {
		pool_release(node->connections, endpoint, connection, true, node->now_us);
		return;
	}
	if (copy_too_old(node, job)) {
		pool_release(node->connections, endpoint, connection, true, node->now_us);
		nod_job_dispatch(node, job);
		return;
	}
	bc_trace_end(node->ctx, &job->hop, "pool", job->hop_start_us, node->now_us, "granted");
	job->hop_start_us = node->now_us;
	snprintf(job->connection, sizeof(job->connection), "%s", connection);
	rte_statement_started(node->route, endpoint);
	if (!job->attempts.made)
		out_budget_deposit(node->budget, endpoint);
	nod_run_start(node, job);
}

static void on_pool_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	struct nod_node *node = data;
	struct job *job = nod_job_find(node, waiter);

	if (!job || job->state != JOB_QUEUED)
		return;
	nod_error_set(job, status == BC_ELIMIT ? "overloaded" : "no_connection",
		      status == BC_ELIMIT ? "the endpoint's queue is full"
					  : "no connection to the endpoint in time");
	nod_job_attempt_ended(node, job, OUT_END_NOT_SENT);
}

const struct pool_ops nod_pool_ops = {on_pool_open, on_pool_close, on_pool_granted,
				      on_pool_rejected, NULL};
