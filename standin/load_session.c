#include "standin/load.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define RESEND_MIN_US (100 * BC_US_PER_MS)
/* The client waits longer than the deadline it gives the proxy, so that its answer can arrive. */
#define ANSWER_MARGIN_US (500 * BC_US_PER_MS)
/* One read in this many selects a random session's rows, to check ages across sessions. */
#define OTHER_SESSION_READS 4

#define INSERT_SQL "INSERT INTO load(session, seq, request) VALUES (?, ?, ?)"
#define SELECT_SQL                                                                                 \
	"SELECT seq, request FROM load WHERE session = ? ORDER BY seq DESC, request LIMIT ?"

static void send_request(struct ld_session *session);

static bool chance(struct ld_load *load, uint32_t percent)
{
	return bc_random_below(load->ctx, 100) < percent;
}

static uint32_t random_proxy(struct ld_load *load)
{
	return (uint32_t)bc_random_below(load->ctx, load->options->proxy_count);
}

static void finish_operation(struct ld_session *session, enum ld_outcome outcome,
			     const struct ld_answer *answer)
{
	struct ld_load *load = session->load;
	struct ld_op *op = &session->op;
	uint64_t now_us = io_now_us();

	ld_stats_add(load->stats, op->kind, outcome, op->due_us, now_us);
	if (outcome == LD_RAN)
		ld_stats_served(load->stats, op->kind, answer->served_by, answer->age_ms);
	ld_history_add(load->history, session, outcome, answer, now_us);
	json_decref(op->answers);
	op->answers = NULL;
	session->busy = false;
	ld_arrivals_release(load, session);
}

static void on_resend(void *data)
{
	struct ld_session *session = data;

	ld_stats_resent(session->load->stats);
	session->op.proxy = random_proxy(session->load);
	send_request(session);
}

/* Resends a keyed write with its key after a random delay, whose range doubles up to 4 times. */
static void resend_later(struct ld_session *session)
{
	uint64_t bound_us = RESEND_MIN_US << (session->op.attempt < 4 ? session->op.attempt : 4);

	session->op.attempt++;
	session->op.maybe_ran = true;
	io_timer_add(session->load->loop,
		     RESEND_MIN_US / 2 + bc_random_below(session->load->ctx, bound_us), on_resend,
		     session);
}

/*
 * Proceeds to the next step of a transaction, or ends it. It has the outcome of its commit; without
 * a commit none of its statements may take effect, so it counts as not run.
 */
static void continue_transaction(struct ld_session *session, const struct ld_answer *answer)
{
	struct ld_op *op = &session->op;

	if (op->rolling_back) {
		finish_operation(session, LD_NOT_RUN, answer);
		return;
	}
	if (op->step > op->statements) {
		finish_operation(session, answer->outcome, answer);
		return;
	}
	if (answer->outcome != LD_RAN) {
		if (op->step == 0) {
			finish_operation(session, LD_NOT_RUN, answer);
			return;
		}
		op->rolling_back = true;
		send_request(session);
		return;
	}
	if (op->step == 0)
		snprintf(op->transaction_id, sizeof(op->transaction_id), "%s",
			 answer->transaction_id ? answer->transaction_id : "");
	op->step++;
	send_request(session);
}

static void record_answer(struct ld_session *session, const struct io_http_result *result,
			  const struct ld_answer *answer)
{
	struct ld_op *op = &session->op;
	const char *token;

	json_array_append_new(
		op->answers,
		json_pack("[s,o,s,i]", op->request_id,
			  answer->request_id ? json_string(answer->request_id) : json_null(),
			  ld_outcome_names[answer->outcome], (int)answer->status));
	if (answer->request_id && strcmp(answer->request_id, op->request_id) != 0)
		ld_stats_mismatch(session->load->stats);
	if (answer->error)
		ld_stats_error(session->load->stats, answer->error);
	if (result->outcome != IO_HTTP_COMPLETE)
		return;
	token = io_http_result_header(result, "Session-Token");
	if (token && strlen(token) < sizeof(session->token))
		snprintf(session->token, sizeof(session->token), "%s", token);
}

static void on_answer(void *data, const struct io_http_result *result)
{
	struct ld_session *session = data;
	struct ld_op *op = &session->op;
	struct ld_answer answer;

	ld_answer_parse(result, &answer);
	record_answer(session, result, &answer);
	if (op->kind == LD_TRANSACTION)
		continue_transaction(session, &answer);
	else if (answer.outcome == LD_UNKNOWN && op->key[0] && op->attempt + 1 < LD_ATTEMPTS_MAX)
		resend_later(session);
	else if (answer.outcome == LD_NOT_RUN && op->maybe_ran)
		finish_operation(session, LD_UNKNOWN, &answer);
	else
		finish_operation(session, answer.outcome, &answer);
	json_decref(answer.body);
}

static json_t *insert_body(const struct ld_session *session)
{
	const struct ld_op *op = &session->op;
	char value[LD_VALUE_BYTES + 16];

	if (op->kind == LD_TRANSACTION)
		snprintf(value, sizeof(value), "%s/%u", op->value, op->step - 1);
	else
		snprintf(value, sizeof(value), "%s", op->value);
	return json_pack("{s:s,s:[s,i,s],s:s,s:b}", "sql", INSERT_SQL, "params", session->name,
			 (int)op->seq, value, "kind", "write", "repeatable", 0);
}

static json_t *select_body(const struct ld_session *session)
{
	const struct ld_options *options = session->load->options;
	json_t *body = json_pack("{s:s,s:[s,i],s:s,s:b}", "sql", SELECT_SQL, "params",
				 session->load->sessions[session->op.owner].name, LD_READ_LIMIT,
				 "kind", "read", "strong", (int)session->op.strong);

	if (options->max_age_ms >= 0)
		json_object_set_new(body, "max_age_ms", json_integer(options->max_age_ms));
	return body;
}

/* Sets path and body of the operation's current step; `body` is a new reference. */
static void make_request(const struct ld_session *session, char *path, size_t path_bytes,
			 json_t **body)
{
	const char *database = session->load->options->database;
	const struct ld_op *op = &session->op;

	if (op->kind != LD_TRANSACTION) {
		snprintf(path, path_bytes, "/v1/databases/%s/statements", database);
		*body = op->kind == LD_READ ? select_body(session) : insert_body(session);
	} else if (op->step == 0) {
		snprintf(path, path_bytes, "/v1/databases/%s/transactions", database);
		*body = json_object();
	} else if (op->rolling_back || op->step > op->statements) {
		snprintf(path, path_bytes, "/v1/databases/%s/transactions/%s/%s", database,
			 op->transaction_id, op->rolling_back ? "rollback" : "commit");
		*body = json_object();
	} else {
		snprintf(path, path_bytes, "/v1/databases/%s/transactions/%s/statements", database,
			 op->transaction_id);
		*body = insert_body(session);
	}
	json_object_set_new(*body, "timeout_ms", json_integer(session->load->options->timeout_ms));
}

static void send_request(struct ld_session *session)
{
	struct ld_load *load = session->load;
	struct ld_op *op = &session->op;
	struct io_http_header headers[5] = {{"Authorization", load->authorization},
					    {"X-Request-Id", op->request_id}};
	bool send_once = op->kind != LD_READ;
	size_t count = 2;
	char path[320];
	char url[448];
	json_t *body;
	char *text;

	snprintf(op->request_id, sizeof(op->request_id), "%s-%zu", op->value,
		 json_array_size(op->answers));
	if (session->token[0])
		headers[count++] = (struct io_http_header){"Session-Token", session->token};
	if (op->key[0])
		headers[count++] = (struct io_http_header){"Idempotency-Key", op->key};
	make_request(session, path, sizeof(path), &body);
	snprintf(url, sizeof(url), "http://%s%s", load->options->proxies[op->proxy], path);
	text = json_dumps(body, JSON_COMPACT);
	if (!io_http_send(send_once ? load->send_once_client : load->client, "POST", url, headers,
			  text, load->options->timeout_ms * BC_US_PER_MS + ANSWER_MARGIN_US,
			  on_answer, session))
		finish_operation(session, op->maybe_ran ? LD_UNKNOWN : LD_NOT_RUN,
				 &(struct ld_answer){.error = "out_of_memory", .age_ms = -1});
	free(text);
	json_decref(body);
}

static enum ld_kind choose_kind(struct ld_load *load)
{
	if (chance(load, load->options->read_percent))
		return LD_READ;
	return chance(load, load->options->transaction_percent) ? LD_TRANSACTION : LD_WRITE;
}

/* Starts the next operation of an idle session; it was due at `due_us`. */
void ld_session_start(struct ld_session *session, uint64_t due_us)
{
	struct ld_load *load = session->load;
	const struct ld_options *options = load->options;
	struct ld_op *op = &session->op;

	*op = (struct ld_op){.kind = choose_kind(load),
			     .seq = session->next_seq++,
			     .owner = session->index,
			     .due_us = due_us,
			     .start_us = io_now_us(),
			     .answers = json_array()};
	session->busy = true;
	if (options->roam)
		session->proxy = random_proxy(load);
	op->proxy = session->proxy;
	snprintf(op->value, sizeof(op->value), "%s:%u", session->name, op->seq);
	if (op->kind == LD_READ) {
		op->strong = chance(load, options->strong_percent);
		if (bc_random_below(load->ctx, OTHER_SESSION_READS) == 0)
			op->owner = (uint32_t)bc_random_below(load->ctx, options->sessions);
	} else if (op->kind == LD_TRANSACTION) {
		op->statements = 2 + (uint32_t)bc_random_below(load->ctx, LD_STATEMENTS_MAX - 1);
	} else if (chance(load, options->keyed_percent)) {
		snprintf(op->key, sizeof(op->key), "%lld-%016llx", (long long)time(NULL),
			 (unsigned long long)bc_random(load->ctx));
	}
	send_request(session);
}
