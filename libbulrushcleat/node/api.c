#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SQL_MAX_BYTES ((size_t)256 * 1024)
#define TIMEOUT_MAX_MS 300000

/* A parsed path below /v1/databases/. */
struct path {
	char database[BC_ID_BYTES];
	char action[16]; /* "statements" or "transactions" */
	char transaction[NOD_TRANSACTION_ID_BYTES];
	char verb[16]; /* below a transaction */
};

/* A request that is being validated, and what is needed to refuse it. */
struct incoming {
	struct nod_node *node;
	uint64_t request;
	char request_id[BC_ID_BYTES];
	struct bc_trace trace;
	char customer[BC_ID_BYTES];
	const struct cfg_customer *customer_config;
	const struct cfg_plan *plan;
	struct ses_session session;
	json_t *body;
};

/* Sets the error code and message of the reply to the caller. */
void nod_error_set(struct job *job, const char *code, const char *message)
{
	snprintf(job->error_code, sizeof(job->error_code), "%s", code);
	snprintf(job->error_message, sizeof(job->error_message), "%s", message);
}

/* Refuses a request that did not become a job; its outcome is "not_run". */
void nod_reply_error(struct nod_node *node, uint64_t request, const char *request_id,
		     const struct bc_trace *trace, uint32_t status, const char *code,
		     const char *message)
{
	struct nod_reply reply = {.status = status};
	char traceparent[56];
	char labels[96];

	bc_trace_header(trace, traceparent);
	reply.traceparent = traceparent;
	reply.body = json_pack("{s:s,s:s,s:{s:s,s:s}}", "request", request_id, "outcome", "not_run",
			       "error", "code", code, "message", message);
	snprintf(labels, sizeof(labels), "code=\"%s\"", code);
	bc_counter_add(node->ctx, "bulrushcleat_refused_total", labels, 1);
	node->callbacks.callers.reply(node->callbacks.data, request, &reply);
	json_decref(reply.body);
}

static void refuse(struct incoming *incoming, uint32_t status, const char *code,
		   const char *message)
{
	nod_reply_error(incoming->node, incoming->request, incoming->request_id, &incoming->trace,
			status, code, message);
}

/* Fields of the endpoint's result never overwrite the proxy's own fields. */
static json_t *reply_body(const struct job *job, enum out_outcome outcome)
{
	json_t *body = json_pack("{s:s,s:s}", "request", job->request_id, "outcome",
				 out_outcome_name(outcome));

	if (outcome == OUT_RAN) {
		if (job->result)
			json_object_update_missing(body, job->result);
		if (job->kind == JOB_STATEMENT) {
			json_object_set_new(body, "served_by", json_string(job->choice.endpoint));
			json_object_set_new(
				body, "role",
				json_string(job->choice.is_primary ? "primary" : "replica"));
		}
		if (job->kind == JOB_STATEMENT && !job->attempts.write &&
		    job->choice.age_us != RTE_AGE_ANY)
			json_object_set_new(
				body, "age_ms",
				json_integer((json_int_t)(job->choice.age_us / BC_US_PER_MS)));
		if (job->replayed)
			json_object_set_new(body, "replayed", json_true());
		if (job->kind == JOB_BEGIN && job->transaction)
			json_object_set_new(body, "transaction", json_string(job->transaction->id));
	}
	if (job->error_code[0])
		json_object_set_new(body, "error",
				    json_pack("{s:s,s:s}", "code", job->error_code, "message",
					      job->error_message));
	return body;
}

/* Sends the reply to a job's caller, with the session's new token. */
void nod_reply_send(struct nod_node *node, struct job *job, uint32_t status,
		    enum out_outcome outcome)
{
	struct nod_reply reply = {.status = status};
	char token[SES_TOKEN_MAX_BYTES];
	char traceparent[56];

	bc_trace_header(&job->trace, traceparent);
	reply.traceparent = traceparent;
	if (ses_token_issue(node->ring, &job->session, token) == BC_OK)
		reply.session_token = token;
	reply.body = reply_body(job, outcome);
	node->callbacks.callers.reply(node->callbacks.data, job->request, &reply);
	json_decref(reply.body);
}

static bool copy_segment(char *out, size_t out_bytes, const char *start, const char *end)
{
	size_t length = end ? (size_t)(end - start) : strlen(start);

	if (length == 0 || length >= out_bytes)
		return false;
	memcpy(out, start, length);
	out[length] = '\0';
	return true;
}

static bool path_parse(const char *text, struct path *path)
{
	static const char prefix[] = "/v1/databases/";
	const char *slash;

	memset(path, 0, sizeof(*path));
	if (strncmp(text, prefix, sizeof(prefix) - 1) != 0)
		return false;
	text += sizeof(prefix) - 1;
	slash = strchr(text, '/');
	if (!slash || !copy_segment(path->database, sizeof(path->database), text, slash))
		return false;
	text = slash + 1;
	slash = strchr(text, '/');
	if (!copy_segment(path->action, sizeof(path->action), text, slash))
		return false;
	if (!slash)
		return strcmp(path->action, "statements") == 0 ||
		       strcmp(path->action, "transactions") == 0;
	text = slash + 1;
	slash = strchr(text, '/');
	if (strcmp(path->action, "transactions") != 0 || !slash)
		return false;
	return copy_segment(path->transaction, sizeof(path->transaction), text, slash) &&
	       copy_segment(path->verb, sizeof(path->verb), slash + 1, NULL);
}

static bool authenticate(struct incoming *incoming, const struct nod_request *fields)
{
	struct nod_node *node = incoming->node;

	if (ses_credential_verify(node->ring, fields->authorization, incoming->customer) != BC_OK) {
		refuse(incoming, 401, "unauthenticated", bc_last_message(node->ctx));
		return false;
	}
	if (!cfg_revision(node->config)) {
		refuse(incoming, 503, "no_configuration", "no configuration is in force yet");
		return false;
	}
	incoming->customer_config = cfg_customer_find(node->config, incoming->customer);
	incoming->plan = incoming->customer_config
				 ? cfg_plan_find(node->config, incoming->customer_config->plan)
				 : NULL;
	if (!incoming->plan) {
		refuse(incoming, 403, "unknown_customer", "the customer has no plan in force");
		return false;
	}
	return true;
}

static bool session_load(struct incoming *incoming, const struct nod_request *fields)
{
	struct nod_node *node = incoming->node;

	if (!fields->session_token || !fields->session_token[0]) {
		ses_session_init(&incoming->session, incoming->customer, bc_random(node->ctx));
		return true;
	}
	if (ses_token_verify(node->ring, fields->session_token, incoming->customer,
			     &incoming->session) == BC_OK)
		return true;
	refuse(incoming, 401, "session_token", bc_last_message(node->ctx));
	return false;
}

static bool body_parse(struct incoming *incoming, const char *text)
{
	json_error_t error;
	char message[256];

	if (!text || !text[0]) {
		incoming->body = json_object();
		return true;
	}
	incoming->body = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	if (json_is_object(incoming->body))
		return true;
	snprintf(message, sizeof(message), "the body is not a JSON object: %s (line %d)",
		 incoming->body ? "another type" : error.text, error.line);
	refuse(incoming, 400, "bad_json", message);
	return false;
}

static struct job *job_new(struct incoming *incoming, enum job_kind kind, const char *database)
{
	struct nod_node *node = incoming->node;
	struct job *job = nod_job_create(node, incoming->request, kind);
	json_int_t timeout_ms = node->settings.request_timeout_ms;
	json_t *requested_timeout = json_object_get(incoming->body, "timeout_ms");

	if (!job)
		return NULL;
	if (json_is_integer(requested_timeout) && json_integer_value(requested_timeout) > 0)
		timeout_ms = json_integer_value(requested_timeout) < TIMEOUT_MAX_MS
				     ? json_integer_value(requested_timeout)
				     : TIMEOUT_MAX_MS;
	job->deadline_us = node->now_us + (uint64_t)timeout_ms * BC_US_PER_MS;
	job->session = incoming->session;
	job->trace = incoming->trace;
	snprintf(job->customer, sizeof(job->customer), "%s", incoming->customer);
	snprintf(job->database, sizeof(job->database), "%s", database);
	snprintf(job->request_id, sizeof(job->request_id), "%s", incoming->request_id);
	return job;
}

/* Validates the fields of a statement. Returns an error message for the caller, or NULL. */
static const char *statement_error(const json_t *body, bool in_transaction)
{
	const char *kind = json_string_value(json_object_get(body, "kind"));
	const json_t *sql = json_object_get(body, "sql");
	const json_t *params = json_object_get(body, "params");
	const json_t *age = json_object_get(body, "max_age_ms");
	const json_t *repeatable = json_object_get(body, "repeatable");
	const json_t *strong = json_object_get(body, "strong");
	const json_t *timeout = json_object_get(body, "timeout_ms");

	if (!json_is_string(sql) || json_string_length(sql) == 0 ||
	    json_string_length(sql) > SQL_MAX_BYTES)
		return "sql: expected a string of 1 byte to 256 KiB";
	if (!in_transaction && (!kind || (strcmp(kind, "read") != 0 && strcmp(kind, "write") != 0)))
		return "kind: expected \"read\" or \"write\"";
	if (params && !json_is_array(params))
		return "params: expected an array";
	if (age && (!json_is_integer(age) || json_integer_value(age) < 0))
		return "max_age_ms: expected an integer of 0 or more";
	if (repeatable && !json_is_boolean(repeatable))
		return "repeatable: expected true or false";
	if (strong && !json_is_boolean(strong))
		return "strong: expected true or false";
	if (timeout && (!json_is_integer(timeout) || json_integer_value(timeout) <= 0))
		return "timeout_ms: expected an integer above 0";
	return NULL;
}

static void job_statement_fill(struct job *job, const struct incoming *incoming)
{
	const json_t *body = incoming->body;
	const char *kind = json_string_value(json_object_get(body, "kind"));
	const json_t *age = json_object_get(body, "max_age_ms");
	json_t *params = json_object_get(body, "params");
	uint64_t plan_us = (uint64_t)incoming->plan->max_staleness_ms * BC_US_PER_MS;

	job->sql = strdup(json_string_value(json_object_get(body, "sql")));
	job->params = params ? json_incref(params) : json_array();
	job->attempts.write = !kind || strcmp(kind, "write") == 0;
	job->attempts.repeatable = json_is_true(json_object_get(body, "repeatable"));
	job->strong = json_is_true(json_object_get(body, "strong"));
	job->replicas_allowed = incoming->plan->replica_reads;
	job->max_age_us = plan_us ? plan_us : RTE_AGE_ANY;
	if (age && (uint64_t)json_integer_value(age) < job->max_age_us / BC_US_PER_MS)
		job->max_age_us = (uint64_t)json_integer_value(age) * BC_US_PER_MS;
}

static bool job_key_fill(struct incoming *incoming, struct job *job,
			 const struct nod_request *fields, uint64_t unix_now_s)
{
	struct nod_node *node = incoming->node;
	enum bc_status status;

	if (!fields->idempotency_key || !job->attempts.write)
		return true;
	status = out_key_check(node->ctx, fields->idempotency_key, unix_now_s);
	if (status != BC_OK) {
		refuse(incoming, 400, status == BC_ETIMEOUT ? "key_expired" : "bad_key",
		       bc_last_message(node->ctx));
		return false;
	}
	job->key = strdup(fields->idempotency_key);
	job->unix_now_s = unix_now_s;
	job->attempts.repeatable = true;
	out_fingerprint(job->database, job->sql, job->params, job->fingerprint);
	return true;
}

static void start_statement(struct incoming *incoming, const struct path *path,
			    const struct nod_request *fields, uint64_t unix_now_s)
{
	const char *error_text = statement_error(incoming->body, false);
	struct job *job;

	if (error_text) {
		refuse(incoming, 400, "bad_statement", error_text);
		return;
	}
	job = job_new(incoming, JOB_STATEMENT, path->database);
	if (!job)
		return;
	job_statement_fill(job, incoming);
	if (!job_key_fill(incoming, job, fields, unix_now_s)) {
		nod_job_free(incoming->node, job);
		return;
	}
	nod_job_start(incoming->node, job);
}

static void start_begin(struct incoming *incoming, const struct path *path)
{
	struct job *job = job_new(incoming, JOB_BEGIN, path->database);

	if (!job)
		return;
	job->attempts.write = true;
	nod_job_start(incoming->node, job);
}

static enum job_kind verb_kind(const char *verb)
{
	if (strcmp(verb, "statements") == 0)
		return JOB_IN_TRANSACTION;
	if (strcmp(verb, "commit") == 0)
		return JOB_COMMIT;
	return strcmp(verb, "rollback") == 0 ? JOB_ROLLBACK : JOB_STATEMENT;
}

static void start_in_transaction(struct incoming *incoming, const struct path *path)
{
	struct nod_node *node = incoming->node;
	enum job_kind kind = verb_kind(path->verb);
	const char *error_text =
		kind == JOB_IN_TRANSACTION ? statement_error(incoming->body, true) : NULL;
	struct transaction *transaction =
		nod_transaction_find(node, path->transaction, incoming->customer, path->database);
	struct job *job;

	if (kind == JOB_STATEMENT) {
		refuse(incoming, 404, "unknown_path", "expected statements, commit or rollback");
		return;
	}
	if (!nod_transaction_is_own(node, path->transaction)) {
		refuse(incoming, 421, "other_proxy",
		       "the transaction is open on the proxy that its id begins with");
		return;
	}
	if (!transaction) {
		refuse(incoming, 404, "unknown_transaction",
		       "no such transaction is open on this proxy");
		return;
	}
	if (transaction->busy) {
		refuse(incoming, 409, "transaction_busy",
		       "another statement of this transaction is running");
		return;
	}
	if (error_text) {
		refuse(incoming, 400, "bad_statement", error_text);
		return;
	}
	job = job_new(incoming, kind, path->database);
	if (!job)
		return;
	if (kind == JOB_IN_TRANSACTION)
		job_statement_fill(job, incoming);
	job->attempts.write = true;
	job->transaction = transaction;
	nod_job_start(node, job);
}

static void validate_and_start(struct incoming *incoming, const struct nod_request *fields,
			       uint64_t unix_now_s)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	struct path path;

	if (!path_parse(fields->path, &path)) {
		refuse(incoming, 404, "unknown_path", "no such path");
		return;
	}
	if (strcmp(fields->method, "POST") != 0) {
		refuse(incoming, 405, "method", "expected POST");
		return;
	}
	if (!authenticate(incoming, fields) || !session_load(incoming, fields))
		return;
	if (!cfg_customer_may_use_database(incoming->customer_config, path.database)) {
		refuse(incoming, 403, "database_denied", "the customer may not use this database");
		return;
	}
	if (!rte_group_members(incoming->node->route, path.database, members)) {
		refuse(incoming, 503, "unknown_database", "no group of this database is known");
		return;
	}
	if (!body_parse(incoming, fields->body))
		return;
	if (path.transaction[0])
		start_in_transaction(incoming, &path);
	else if (strcmp(path.action, "transactions") == 0)
		start_begin(incoming, &path);
	else
		start_statement(incoming, &path, fields, unix_now_s);
}

static bool request_id_valid(const char *id)
{
	size_t length = strlen(id);
	size_t i;

	for (i = 0; i < length; i++)
		if (id[i] <= ' ' || id[i] > '~')
			return false;
	return length > 0 && length < BC_ID_BYTES;
}

/* Handles a caller's request. The reply is sent by callbacks.callers, now or later. */
void nod_request(struct nod_node *node, uint64_t request, const struct nod_request *fields,
		 uint64_t unix_now_s, uint64_t now_us)
{
	struct incoming incoming = {.node = node, .request = request};

	node->now_us = now_us;
	bc_trace_start(node->ctx, fields->traceparent, &incoming.trace);
	snprintf(incoming.request_id, sizeof(incoming.request_id), "%s",
		 fields->request_id ? fields->request_id : incoming.trace.span_id);
	if (fields->request_id && !request_id_valid(fields->request_id)) {
		incoming.request_id[0] = '\0';
		refuse(&incoming, 400, "bad_request_id",
		       "X-Request-Id: expected 1 to 63 printable ASCII characters");
		return;
	}
	validate_and_start(&incoming, fields, unix_now_s);
	json_decref(incoming.body);
}
