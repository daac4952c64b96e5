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

/* A request under examination; holds what is needed to refuse it. */
struct intake {
	struct nod_node *node;
	uint64_t request;
	char request_id[BC_ID_BYTES];
	struct bc_trace trace;
	char customer[BC_ID_BYTES];
	const struct cfg_customer *entry;
	const struct cfg_plan *plan;
	struct ses_session session;
	json_t *body;
};

/* Sets the error that the caller is told. */
void nod_error_set(struct job *job, const char *code, const char *message)
{
	snprintf(job->error_code, sizeof(job->error_code), "%s", code);
	snprintf(job->error_message, sizeof(job->error_message), "%s", message);
}

/* Refuses a request that did not become a job. Nothing has run. */
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
	bc_count(node->ctx, "bulrushcleat_refused_total", labels, 1);
	node->ports.callers.reply(node->ports.data, request, &reply);
	json_decref(reply.body);
}

static void refuse(struct intake *intake, uint32_t status, const char *code, const char *message)
{
	nod_reply_error(intake->node, intake->request, intake->request_id, &intake->trace, status,
			code, message);
}

/* What the endpoint returned never replaces the proxy's own fields. */
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

/* Answers a job's caller, with the session's new token. */
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
	node->ports.callers.reply(node->ports.data, job->request, &reply);
	json_decref(reply.body);
}

static bool copy_part(char *out, size_t out_bytes, const char *start, const char *end)
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
	if (!slash || !copy_part(path->database, sizeof(path->database), text, slash))
		return false;
	text = slash + 1;
	slash = strchr(text, '/');
	if (!copy_part(path->action, sizeof(path->action), text, slash))
		return false;
	if (!slash)
		return strcmp(path->action, "statements") == 0 ||
		       strcmp(path->action, "transactions") == 0;
	text = slash + 1;
	slash = strchr(text, '/');
	if (strcmp(path->action, "transactions") != 0 || !slash)
		return false;
	return copy_part(path->transaction, sizeof(path->transaction), text, slash) &&
	       copy_part(path->verb, sizeof(path->verb), slash + 1, NULL);
}

static bool authenticate(struct intake *intake, const struct nod_request *what)
{
	struct nod_node *node = intake->node;

	if (ses_credential_check(node->ring, what->authorization, intake->customer) != BC_OK) {
		refuse(intake, 401, "unauthenticated", bc_last_message(node->ctx));
		return false;
	}
	if (!cfg_revision(node->config)) {
		refuse(intake, 503, "no_configuration", "no configuration is in force yet");
		return false;
	}
	intake->entry = cfg_customer_find(node->config, intake->customer);
	intake->plan = intake->entry ? cfg_plan_find(node->config, intake->entry->plan) : NULL;
	if (!intake->plan) {
		refuse(intake, 403, "unknown_customer", "the customer has no plan in force");
		return false;
	}
	return true;
}

static bool session_open(struct intake *intake, const struct nod_request *what)
{
	struct nod_node *node = intake->node;

	if (!what->session_token || !what->session_token[0]) {
		ses_session_init(&intake->session, intake->customer, bc_random(node->ctx));
		return true;
	}
	if (ses_token_verify(node->ring, what->session_token, intake->customer, &intake->session) ==
	    BC_OK)
		return true;
	refuse(intake, 401, "session_token", bc_last_message(node->ctx));
	return false;
}

static bool body_parse(struct intake *intake, const char *text)
{
	json_error_t error;
	char message[256];

	if (!text || !text[0]) {
		intake->body = json_object();
		return true;
	}
	intake->body = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	if (json_is_object(intake->body))
		return true;
	snprintf(message, sizeof(message), "the body is not a JSON object: %s (line %d)",
		 intake->body ? "another type" : error.text, error.line);
	refuse(intake, 400, "bad_json", message);
	return false;
}

static struct job *job_new(struct intake *intake, enum job_kind kind, const char *database)
{
	struct nod_node *node = intake->node;
	struct job *job = nod_job_create(node, intake->request, kind);
	json_int_t timeout_ms = node->settings.request_timeout_ms;
	json_t *given = json_object_get(intake->body, "timeout_ms");

	if (!job)
		return NULL;
	if (json_is_integer(given) && json_integer_value(given) > 0)
		timeout_ms = json_integer_value(given) < TIMEOUT_MAX_MS ? json_integer_value(given)
									: TIMEOUT_MAX_MS;
	job->deadline_us = node->now_us + (uint64_t)timeout_ms * BC_US_PER_MS;
	job->session = intake->session;
	job->trace = intake->trace;
	snprintf(job->customer, sizeof(job->customer), "%s", intake->customer);
	snprintf(job->database, sizeof(job->database), "%s", database);
	snprintf(job->request_id, sizeof(job->request_id), "%s", intake->request_id);
	return job;
}

/* Checks the statement's own fields; a message for the caller, or NULL. */
static const char *statement_problem(const json_t *body, bool in_transaction)
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

static void job_statement_fill(struct job *job, const struct intake *intake)
{
	const json_t *body = intake->body;
	const char *kind = json_string_value(json_object_get(body, "kind"));
	const json_t *age = json_object_get(body, "max_age_ms");
	json_t *params = json_object_get(body, "params");
	uint64_t plan_us = (uint64_t)intake->plan->max_staleness_ms * BC_US_PER_MS;

	job->sql = strdup(json_string_value(json_object_get(body, "sql")));
	job->params = params ? json_incref(params) : json_array();
	job->attempts.write = !kind || strcmp(kind, "write") == 0;
	job->attempts.repeatable = json_is_true(json_object_get(body, "repeatable"));
	job->strong = json_is_true(json_object_get(body, "strong"));
	job->replicas_allowed = intake->plan->replica_reads;
	job->max_age_us = plan_us ? plan_us : RTE_AGE_ANY;
	if (age && (uint64_t)json_integer_value(age) < job->max_age_us / BC_US_PER_MS)
		job->max_age_us = (uint64_t)json_integer_value(age) * BC_US_PER_MS;
}

static bool key_fill(struct intake *intake, struct job *job, const struct nod_request *what,
		     uint64_t unix_now_s)
{
	struct nod_node *node = intake->node;
	enum bc_status status;

	if (!what->idempotency_key || !job->attempts.write)
		return true;
	status = out_key_check(node->ctx, what->idempotency_key, unix_now_s);
	if (status != BC_OK) {
		refuse(intake, 400, status == BC_ETIMEOUT ? "key_expired" : "bad_key",
		       bc_last_message(node->ctx));
		return false;
	}
	job->key = strdup(what->idempotency_key);
	job->unix_now_s = unix_now_s;
	job->attempts.repeatable = true;
	out_fingerprint(job->database, job->sql, job->params, job->fingerprint);
	return true;
}

static void take_statement(struct intake *intake, const struct path *path,
			   const struct nod_request *what, uint64_t unix_now_s)
{
	const char *problem = statement_problem(intake->body, false);
	struct job *job;

	if (problem) {
		refuse(intake, 400, "bad_statement", problem);
		return;
	}
	job = job_new(intake, JOB_STATEMENT, path->database);
	if (!job)
		return;
	job_statement_fill(job, intake);
	if (!key_fill(intake, job, what, unix_now_s)) {
		nod_job_free(intake->node, job);
		return;
	}
	nod_job_start(intake->node, job);
}

static void take_begin(struct intake *intake, const struct path *path)
{
	struct job *job = job_new(intake, JOB_BEGIN, path->database);

	if (!job)
		return;
	job->attempts.write = true;
	nod_job_start(intake->node, job);
}

static enum job_kind verb_kind(const char *verb)
{
	if (strcmp(verb, "statements") == 0)
		return JOB_IN_TRANSACTION;
	if (strcmp(verb, "commit") == 0)
		return JOB_COMMIT;
	return strcmp(verb, "rollback") == 0 ? JOB_ROLLBACK : JOB_STATEMENT;
}

static void take_in_transaction(struct intake *intake, const struct path *path)
{
	struct nod_node *node = intake->node;
	enum job_kind kind = verb_kind(path->verb);
	const char *problem =
		kind == JOB_IN_TRANSACTION ? statement_problem(intake->body, true) : NULL;
	struct transaction *transaction =
		nod_transaction_find(node, path->transaction, intake->customer, path->database);
	struct job *job;

	if (kind == JOB_STATEMENT) {
		refuse(intake, 404, "unknown_path", "expected statements, commit or rollback");
		return;
	}
	if (!nod_transaction_is_own(node, path->transaction)) {
		refuse(intake, 421, "other_proxy",
		       "the transaction is open on the proxy that its id begins with");
		return;
	}
	if (!transaction) {
		refuse(intake, 404, "unknown_transaction",
		       "no such transaction is open on this proxy");
		return;
	}
	if (transaction->busy) {
		refuse(intake, 409, "transaction_busy",
		       "another statement of this transaction is running");
		return;
	}
	if (problem) {
		refuse(intake, 400, "bad_statement", problem);
		return;
	}
	job = job_new(intake, kind, path->database);
	if (!job)
		return;
	if (kind == JOB_IN_TRANSACTION)
		job_statement_fill(job, intake);
	job->attempts.write = true;
	job->transaction = transaction;
	nod_job_start(node, job);
}

static void take_parsed(struct intake *intake, const struct nod_request *what, uint64_t unix_now_s)
{
	const struct rte_endpoint *members[RTE_GROUP_ENDPOINTS_MAX];
	struct path path;

	if (!path_parse(what->path, &path)) {
		refuse(intake, 404, "unknown_path", "no such path");
		return;
	}
	if (strcmp(what->method, "POST") != 0) {
		refuse(intake, 405, "method", "expected POST");
		return;
	}
	if (!authenticate(intake, what) || !session_open(intake, what))
		return;
	if (!cfg_customer_may_use(intake->entry, path.database)) {
		refuse(intake, 403, "database_denied", "the customer may not use this database");
		return;
	}
	if (!rte_group_members(intake->node->route, path.database, members)) {
		refuse(intake, 503, "unknown_database", "no group of this database is known");
		return;
	}
	if (!body_parse(intake, what->body))
		return;
	if (path.transaction[0])
		take_in_transaction(intake, &path);
	else if (strcmp(path.action, "transactions") == 0)
		take_begin(intake, &path);
	else
		take_statement(intake, &path, what, unix_now_s);
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

/* Takes a caller's request; it is answered through the callers' port, now or later. */
void nod_request(struct nod_node *node, uint64_t request, const struct nod_request *what,
		 uint64_t unix_now_s, uint64_t now_us)
{
	struct intake intake = {.node = node, .request = request};

	node->now_us = now_us;
	bc_trace_start(node->ctx, what->traceparent, &intake.trace);
	snprintf(intake.request_id, sizeof(intake.request_id), "%s",
		 what->request_id ? what->request_id : intake.trace.span_id);
	if (what->request_id && !request_id_valid(what->request_id)) {
		intake.request_id[0] = '\0';
		refuse(&intake, 400, "bad_request_id",
		       "X-Request-Id: expected 1 to 63 printable ASCII characters");
		return;
	}
	take_parsed(&intake, what, unix_now_s);
	json_decref(intake.body);
}
