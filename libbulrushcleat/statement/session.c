#include "statement/statement_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A refused caller is told to retry after this; a promotion or a short queue may be over then. */
#define RETRY_AFTER_US (100 * BC_US_PER_MS)
#define MESSAGE_BYTES 128

static const char *const consistency_names[STM_CONSISTENCY_LEVELS] = {
	[STM_STRONG] = "newest",
	[STM_BOUNDED_STALENESS] = "aged",
	[STM_READ_YOUR_WRITES] = "session"};

static void on_timer(void *data, uint64_t now_us);

/* Creates a session without a database; NULL when out of memory. */
struct stm_session *stm_session_create(struct stm_engine *engine, void *caller)
{
	struct stm_session *session = calloc(1, sizeof(*session));

	if (!session)
		return NULL;
	session->engine = engine;
	session->caller = caller;
	bc_timer_init(&session->timer, on_timer, session);
	APR_RING_INSERT_TAIL(&engine->sessions, session, stm_session, entry);
	engine->session_count++;
	return session;
}

/* Frees a session that has neither a link nor a waiter. */
void stm_session_free(struct stm_session *session)
{
	struct stm_engine *engine = session->engine;

	bc_timer_cancel(engine->timers, &session->timer);
	APR_RING_REMOVE(session, entry);
	engine->session_count--;
	if (session->phase != STM_PHASE_NONE)
		engine->busy_count--;
	if (session->state != SQL_IDLE)
		engine->transaction_count--;
	if (session->relayed)
		stm_relay_remove(session);
	stm_choice_set(session, (struct grp_choice){0});
	if (session->fixed_endpoint)
		grp_endpoint_unref(session->fixed_endpoint);
	stm_map_clear(&session->variables);
	stm_map_clear(&session->prepared);
	free(session->buffer);
	free(session);
}

/*
 * The name of the account of a session on a route: empty if the route is public or there are no
 * accounts, NULL if the configuration in force does not have the caller's key.
 */
static const char *account_name(const struct stm_session *session, const struct stm_route *route)
{
	const struct stm_engine *engine = session->engine;
	const struct acc_account *account = NULL;

	if (route->is_public || !engine->ops.has_accounts ||
	    !engine->ops.has_accounts(engine->data))
		return "";
	if (session->has_key)
		account = engine->ops.account(engine->data, &session->key);
	return account ? account->name : NULL;
}

/*
 * Opens a session for a caller with a key, or without one (NULL). NULL with the reason in `refusal`
 * if the database or the key is not known, or when out of memory.
 */
struct stm_session *stm_session_open(struct stm_engine *engine, const char *database,
				     const struct acc_digest *key, void *caller,
				     enum sql_code *refusal)
{
	const struct stm_route *route = engine->ops.route(engine->data, database);
	struct stm_session *session;
	const char *account;

	*refusal = SQL_NO_DATABASE;
	if (!route)
		return NULL;
	*refusal = SQL_BUSY;
	session = stm_session_create(engine, caller);
	if (!session)
		return NULL;
	session->route = *route;
	snprintf(session->database, sizeof(session->database), "%s", database);
	session->has_key = key != NULL;
	if (key)
		session->key = *key;
	account = account_name(session, route);
	if (!account) {
		*refusal = SQL_UNAUTHENTICATED;
		stm_session_free(session);
		return NULL;
	}
	snprintf(session->account, sizeof(session->account), "%s", account);
	*refusal = SQL_OK;
	return session;
}

/* The route that decides whether the session's operation needs a key. */
static const struct stm_route *operation_route(const struct stm_session *session)
{
	const struct stm_engine *engine = session->engine;
	const struct stm_route *route =
		session->begun ? NULL : engine->ops.route(engine->data, session->database);

	return route ? route : &session->route;
}

/*
 * Whether the operation in progress may go on: the configuration in force still has the caller's
 * key, for the account under whose name the operation has begun. An operation that has begun
 * without an account goes on without one, and one goes on if accounts are no longer in use.
 */
bool stm_key_valid(const struct stm_session *session)
{
	const char *account;

	if (!session->caller)
		return true;
	account = account_name(session, operation_route(session));
	if (!account)
		return false;
	return !account[0] || !session->account[0] || strcmp(account, session->account) == 0;
}

/* Starts an operation under the account in force; false if the caller's key is not known. */
static bool adopt_account(struct stm_session *session)
{
	const char *account = account_name(session, operation_route(session));

	session->admitted = false;
	if (!account)
		return false;
	snprintf(session->account, sizeof(session->account), "%s", account);
	return true;
}

/*
 * Ends a statement that did not run, since the caller's key is no longer known. An open transaction
 * is rolled back.
 */
void stm_refuse_key(struct stm_session *session, uint64_t now_us)
{
	struct bc_ctx *ctx = session->engine->ctx;
	bool in_transaction = session->state == SQL_IN_TRANSACTION;

	bc_counter_add(ctx, "bulrushcleat_keys_refused_total", NULL, 1);
	bc_log(ctx, BC_LOG_WARN, "key_refused", "{s:s,s:s,s:s,s:b}", "id",
	       stm_session_statement_id(session), "database", session->database, "account",
	       session->account, "in_transaction", in_transaction);
	if (session->link) {
		if (session->variables_changed)
			session->link->needs_reset = true;
		stm_link_abandon(session->link, now_us + session->route.timeout_us, now_us);
	}
	if (!in_transaction) {
		stm_answer_code(session, SQL_UNAUTHENTICATED, "the key is not known, not run",
				now_us);
		return;
	}
	if (session->current.verb == SQL_COMMIT)
		stm_transaction_end(session);
	else
		stm_transaction_fail(session);
	stm_answer_code(session, SQL_ABORTED, "the key is not known, transaction rolled back",
			now_us);
}

/* Whether the session has an unanswered statement. */
bool stm_session_busy(const struct stm_session *session)
{
	return session->phase != STM_PHASE_NONE;
}

/* The state of the session's transaction. */
enum sql_state stm_session_state(const struct stm_session *session)
{
	return session->state;
}

/* The id of the session's latest statement, or "-". */
const char *stm_session_statement_id(const struct stm_session *session)
{
	return session->current.id ? session->current.id : "-";
}

/*
 * Logs a caller's statement that ends without an answer. It may have run if it was sent. That of
 * another proxy's caller is answered by that proxy.
 */
void stm_session_log_unanswered(const struct stm_session *session, const char *reason,
				uint64_t now_us)
{
	static const char *const phase_names[] = {[STM_PHASE_NONE] = "none",
						  [STM_PHASE_ADMISSION] = "admission",
						  [STM_PHASE_WAITING] = "waiting",
						  [STM_PHASE_SETUP] = "setup",
						  [STM_PHASE_RUNNING] = "running"};
	struct bc_ctx *ctx = session->engine->ctx;

	if (session->phase == STM_PHASE_NONE || (!session->caller && !session->relayed))
		return;
	if (!session->relayed)
		bc_counter_add(ctx, "bulrushcleat_statements_unanswered_total", NULL, 1);
	bc_log(ctx, session->relayed ? BC_LOG_INFO : BC_LOG_WARN, "statement_unanswered",
	       "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "id", stm_session_statement_id(session),
	       "database", session->database, "route",
	       consistency_names[session->route.consistency], "verb",
	       sql_verb_name(session->current.verb), "phase", phase_names[session->phase],
	       "endpoint", session->endpoint_id, "relay", session->relay, "for",
	       session->relayed ? session->origin : "", "reason", reason, "took_us",
	       (json_int_t)(now_us - session->started_us));
}

static void set_state(struct stm_session *session, enum sql_state state)
{
	if (session->state == SQL_IDLE && state != SQL_IDLE)
		session->engine->transaction_count++;
	if (session->state != SQL_IDLE && state == SQL_IDLE)
		session->engine->transaction_count--;
	session->state = state;
}

/* Ends the transaction, whose link has been returned or abandoned. */
void stm_transaction_end(struct stm_session *session)
{
	set_state(session, SQL_IDLE);
	session->begun = false;
	session->wrote = false;
	session->variables_changed = false;
	session->read_only = false;
}

/* Marks the transaction as rolled back; the caller has to end it. */
void stm_transaction_fail(struct stm_session *session)
{
	set_state(session, SQL_FAILED_TRANSACTION);
	session->begun = false;
	session->wrote = false;
	session->variables_changed = false;
}

/* Logs and counts the end of a statement. */
static void report_statement(struct stm_session *session, const struct sql_result *result,
			     uint64_t now_us)
{
	struct bc_ctx *ctx = session->engine->ctx;
	uint64_t took_us = now_us - session->started_us;
	char labels[96];

	snprintf(labels, sizeof(labels), "route=\"%s\",outcome=\"%s\"",
		 consistency_names[session->route.consistency], sql_code_name(result->code));
	bc_histogram_observe_us(ctx, "bulrushcleat_statement_seconds", labels, took_us);
	bc_log(ctx, BC_LOG_INFO, "statement",
	       "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:I}", "id",
	       session->current.id ? session->current.id : "-", "database", session->database,
	       "route", consistency_names[session->route.consistency], "verb",
	       sql_verb_name(session->current.verb), "outcome", sql_code_name(result->code),
	       "endpoint", session->endpoint_id, "relay", session->relay, "for",
	       session->relayed ? session->origin : "", "reason",
	       session->choice.reason ? session->choice.reason : "", "after_term",
	       (json_int_t)session->choice.position.term, "after_number",
	       (json_int_t)session->choice.position.pos, "sample_age_ms",
	       (json_int_t)(session->choice.sample_age_us / BC_US_PER_MS), "attempts",
	       (int)session->attempts, "took_us", (json_int_t)took_us);
}

/* Restarts the idle timeout if a transaction is open at an endpoint. */
static void restart_idle_timer(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;

	bc_timer_cancel(engine->timers, &session->timer);
	if (session->state == SQL_IN_TRANSACTION && session->begun)
		bc_timer_set(engine->timers, &session->timer, now_us + engine->transaction_idle_us);
}

/* Ends the current statement with a result. */
void stm_answer(struct stm_session *session, const struct sql_result *result, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct sql_result answer = *result;
	bool was_busy = session->phase != STM_PHASE_NONE;

	if (result->has_position) {
		session->has_position = true;
		session->position = result->position;
	}
	answer.state = session->state;
	answer.has_position = session->has_position;
	answer.position = session->position;
	session->phase = STM_PHASE_NONE;
	if (was_busy) {
		engine->busy_count--;
		report_statement(session, &answer, now_us);
	}
	restart_idle_timer(session, now_us);
	if (session->relayed) {
		stm_relay_answer(session, &answer, false, now_us);
		return;
	}
	engine->ops.answer(engine->data, session->caller, &answer);
	if (was_busy)
		engine->ops.work_ended(engine->data, now_us);
}

/* Ends the current statement without rows. */
void stm_answer_code(struct stm_session *session, enum sql_code code, const char *message,
		     uint64_t now_us)
{
	struct sql_result result = {.code = code, .message = message};

	stm_answer(session, &result, now_us);
}

/* Ends a statement that did not run, with the reason and a time for the caller's retry. */
void stm_refuse(struct stm_session *session, const char *reason, uint64_t now_us)
{
	stm_refuse_until(session, reason, RETRY_AFTER_US, now_us);
}

/*
 * Ends a statement that did not run, with the reason and the time after which the caller may retry,
 * which is rounded up to milliseconds.
 */
void stm_refuse_until(struct stm_session *session, const char *reason, uint64_t retry_after_us,
		      uint64_t now_us)
{
	enum sql_code code = SQL_BUSY;
	const char *outcome = "not run";
	char message[MESSAGE_BYTES];

	if (session->relayed && !session->begun) {
		/* The origin decides whether to try elsewhere. */
		struct sql_result result = {.code = code, .message = reason};

		stm_relay_answer(session, &result, strcmp(reason, "endpoint_lost") == 0, now_us);
		return;
	}
	if (session->state == SQL_IN_TRANSACTION) {
		code = SQL_ABORTED;
		if (session->begun)
			outcome = "transaction rolled back";
		stm_transaction_fail(session);
	}
	snprintf(message, sizeof(message), "%s, %s, retry_after_ms=%llu", reason, outcome,
		 (unsigned long long)((retry_after_us + BC_US_PER_MS - 1) / BC_US_PER_MS));
	bc_counter_add(session->engine->ctx, "bulrushcleat_refused_total", NULL, 1);
	bc_log(session->engine->ctx, BC_LOG_WARN, "refused", "{s:s,s:s,s:s,s:s,s:i,s:I}", "id",
	       session->current.id ? session->current.id : "-", "group", session->route.group,
	       "reason", reason, "endpoint", session->endpoint_id, "attempts",
	       (int)session->attempts, "waited_us", (json_int_t)(now_us - session->started_us));
	stm_answer_code(session, code, message, now_us);
}

static void on_timer(void *data, uint64_t now_us)
{
	struct stm_session *session = data;

	if (session->phase != STM_PHASE_NONE) {
		stm_run_timeout(session, now_us);
		return;
	}
	bc_log(session->engine->ctx, BC_LOG_WARN, "transaction_idle", "{s:s,s:s}", "database",
	       session->database, "endpoint",
	       session->link ? session->link->endpoint->info.id : "");
	bc_counter_add(session->engine->ctx, "bulrushcleat_idle_transactions_total", NULL, 1);
	if (session->link)
		stm_link_abandon(session->link, now_us + session->route.timeout_us, now_us);
	stm_transaction_fail(session);
	if (session->relayed)
		stm_session_free(session);
}

/* Copies a text into the session's buffer and advances the position; NULL stays NULL. */
static const char *copy_text(char **cursor, const char *text)
{
	char *start = *cursor;
	size_t bytes;

	if (!text)
		return NULL;
	bytes = strlen(text) + 1;
	memcpy(start, text, bytes);
	*cursor += bytes;
	return start;
}

static size_t text_bytes(const char *text)
{
	return text ? strlen(text) + 1 : 0;
}

/* Copies the statement, since it waits for longer than the driver's buffer is valid. */
bool stm_statement_copy(struct stm_session *session, const struct sql_statement *statement)
{
	size_t bytes = text_bytes(statement->id) + text_bytes(statement->text) +
		       text_bytes(statement->name) + text_bytes(statement->value);
	char *cursor;

	free(session->buffer);
	session->buffer = malloc(bytes ? bytes : 1);
	if (!session->buffer)
		return false;
	cursor = session->buffer;
	session->current = *statement;
	session->current.id = copy_text(&cursor, statement->id);
	session->current.text = copy_text(&cursor, statement->text);
	session->current.name = copy_text(&cursor, statement->name);
	session->current.value = copy_text(&cursor, statement->value);
	return true;
}

/* Frees the text of the last statement, which was answered; its id stays. */
void stm_session_release(struct stm_session *session)
{
	char *id;

	if (session->phase != STM_PHASE_NONE || !session->buffer)
		return;
	id = strdup(session->current.id ? session->current.id : "");
	if (!id)
		return;
	free(session->buffer);
	session->buffer = id;
	session->current = (struct sql_statement){.id = id};
}

static size_t map_bytes(const struct stm_map *map)
{
	size_t bytes = map->capacity * sizeof(*map->entries);
	size_t i;

	for (i = 0; i < map->count; i++)
		bytes += text_bytes(map->entries[i].name) + text_bytes(map->entries[i].value);
	return bytes;
}

/* The bytes of the session's values and prepared statements. */
size_t stm_session_values_bytes(const struct stm_session *session)
{
	return map_bytes(&session->variables) + map_bytes(&session->prepared);
}

/* Opens a transaction. BEGIN is sent to the endpoint with its first statement. */
void stm_transaction_begin(struct stm_session *session, bool read_only)
{
	set_state(session, SQL_IN_TRANSACTION);
	session->read_only = read_only;
}

static void begin(struct stm_session *session, bool read_only, uint64_t now_us)
{
	if (session->state != SQL_IDLE) {
		stm_answer_code(session, SQL_BAD_STATEMENT, "already in a transaction", now_us);
		return;
	}
	stm_transaction_begin(session, read_only);
	stm_answer_code(session, SQL_OK, NULL, now_us);
}

static void rollback(struct stm_session *session, uint64_t now_us)
{
	if (session->state == SQL_IDLE) {
		stm_answer_code(session, SQL_BAD_STATEMENT, "no transaction is open", now_us);
		return;
	}
	if (session->link) {
		if (session->variables_changed)
			session->link->needs_reset = true;
		stm_link_abandon(session->link, now_us + session->route.timeout_us, now_us);
	}
	stm_transaction_end(session);
	stm_answer_code(session, SQL_OK, NULL, now_us);
}

static void set_variable(struct stm_session *session, uint64_t now_us)
{
	if (!stm_map_set(&session->variables, session->current.name, session->current.value,
			 false)) {
		stm_answer_code(session, SQL_BAD_STATEMENT, "too many values", now_us);
		return;
	}
	if (session->begun)
		session->variables_changed = true;
	stm_answer_code(session, SQL_OK, NULL, now_us);
}

static void prepare(struct stm_session *session, uint64_t now_us)
{
	bool stored = stm_map_set(&session->prepared, session->current.name, session->current.value,
				  session->current.prepares_write);

	stm_answer_code(session, stored ? SQL_OK : SQL_BAD_STATEMENT,
			stored ? NULL : "too many prepared statements", now_us);
}

/* Answers a statement that needs no endpoint; false if it has to run at one. */
static bool answer_locally(struct stm_session *session, uint64_t now_us)
{
	switch (session->current.verb) {
	case SQL_BEGIN:
		begin(session, false, now_us);
		return true;
	case SQL_BEGIN_READ:
		begin(session, true, now_us);
		return true;
	case SQL_ROLLBACK:
		rollback(session, now_us);
		return true;
	case SQL_SET:
		set_variable(session, now_us);
		return true;
	case SQL_PREPARE:
		prepare(session, now_us);
		return true;
	case SQL_DEALLOCATE:
		stm_map_remove(&session->prepared, session->current.name);
		stm_answer_code(session, SQL_OK, NULL, now_us);
		return true;
	case SQL_DISCARD:
	case SQL_STATUS:
	case SQL_PAUSE_REPLICATION:
	case SQL_RESUME_REPLICATION:
	case SQL_MALFORMED:
		stm_answer_code(session, SQL_BAD_STATEMENT, "the statement is not understood",
				now_us);
		return true;
	default:
		return false;
	}
}

/*
 * Answers a statement in a failed transaction, where only COMMIT and ROLLBACK are accepted and
 * COMMIT reports the rollback. False if the statement is to be handled as usual.
 */
static bool answer_in_failed_transaction(struct stm_session *session, uint64_t now_us)
{
	enum sql_verb verb = session->current.verb;

	if (session->state != SQL_FAILED_TRANSACTION || verb == SQL_ROLLBACK)
		return false;
	if (verb == SQL_COMMIT) {
		stm_transaction_end(session);
		stm_answer_code(session, SQL_ABORTED, "the transaction was rolled back", now_us);
	} else if (session->link) {
		stm_answer_code(session, SQL_BAD_STATEMENT, "the transaction has failed", now_us);
	} else {
		stm_answer_code(session, SQL_ABORTED, "the transaction was rolled back", now_us);
	}
	return true;
}

/*
 * Whether the statement writes. Sets *known to false if it executes an unknown prepared statement.
 */
static bool statement_writes(const struct stm_session *session, bool *known)
{
	const struct stm_map_entry *prepared;

	*known = true;
	if (session->current.verb != SQL_EXECUTE)
		return session->current.verb == SQL_WRITE;
	prepared = stm_map_get(&session->prepared, session->current.name);
	*known = prepared != NULL;
	return prepared && prepared->writes;
}

/*
 * Copies the route in force, at the start of a transaction or of a single statement; false if the
 * database is no longer served.
 */
static bool refresh_route(struct stm_session *session)
{
	const struct stm_route *route;

	if (session->begun)
		return true;
	route = session->engine->ops.route(session->engine->data, session->database);
	if (!route)
		return false;
	session->route = *route;
	return true;
}

/*
 * Whether the statement is refused since the proxy shuts down: it begins new work, or the time for
 * open transactions is over too. ROLLBACK and statements without effect on the endpoints are not.
 */
static bool is_refused_on_shutdown(const struct stm_session *session)
{
	const struct stm_engine *engine = session->engine;

	switch (session->current.verb) {
	case SQL_BEGIN:
	case SQL_BEGIN_READ:
	case SQL_READ:
	case SQL_WRITE:
	case SQL_EXECUTE:
		return engine->stopped || (engine->refuses_new_work && session->state == SQL_IDLE);
	case SQL_COMMIT:
		return engine->stopped && session->state == SQL_IN_TRANSACTION;
	default:
		return false;
	}
}

/*
 * Whether the caller's key allows the statement: at the start of an operation, the account in force
 * becomes the session's; within a transaction it must be the same. ROLLBACK needs no key, since it
 * does no work.
 */
static bool may_continue(struct stm_session *session)
{
	if (session->current.verb == SQL_ROLLBACK)
		return true;
	if (session->state == SQL_IDLE)
		return adopt_account(session);
	return stm_key_valid(session);
}

/* Runs a statement of the session's caller. */
void stm_query(struct stm_session *session, const struct sql_statement *statement, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	bool known;

	engine->now_us = now_us;
	session->started_us = now_us;
	session->attempts = 0;
	session->tried_endpoints = 0;
	session->too_long_to_relay = false;
	snprintf(session->endpoint_id, sizeof(session->endpoint_id), "%s",
		 session->link ? session->link->endpoint->info.id : "");
	snprintf(session->relay, sizeof(session->relay), "%s",
		 session->link ? session->link->relay : "");
	stm_choice_set(session, (struct grp_choice){0});
	if (!stm_statement_copy(session, statement)) {
		stm_answer_code(session, SQL_BUSY, "out of memory", now_us);
		return;
	}
	if (answer_in_failed_transaction(session, now_us))
		return;
	if (!may_continue(session)) {
		stm_refuse_key(session, now_us);
		return;
	}
	if (is_refused_on_shutdown(session)) {
		stm_run_stop(session, now_us);
		return;
	}
	if (answer_locally(session, now_us))
		return;
	if (session->current.verb == SQL_COMMIT && session->state == SQL_IDLE) {
		stm_answer_code(session, SQL_BAD_STATEMENT, "no transaction is open", now_us);
		return;
	}
	session->writes = statement_writes(session, &known);
	if (!known) {
		stm_answer_code(session, SQL_NO_PREPARED, "no such prepared statement", now_us);
		return;
	}
	if (!refresh_route(session)) {
		if (session->state != SQL_IDLE)
			stm_transaction_fail(session);
		stm_answer_code(session, SQL_NO_DATABASE, "no such database", now_us);
		return;
	}
	stm_statement_start(session, now_us);
}

/* Starts the current statement and its timeout. */
void stm_statement_start(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;

	engine->busy_count++;
	session->started_us = now_us;
	session->attempts = 0;
	session->phase = STM_PHASE_WAITING;
	session->deadline_us = now_us + session->route.timeout_us;
	bc_timer_set(engine->timers, &session->timer, session->deadline_us);
	stm_run_admit(session, now_us);
}

/*
 * Closes the session of a caller whose connection has ended. A running statement ends without it;
 * an open transaction is rolled back.
 */
void stm_session_close(struct stm_session *session, const char *reason, uint64_t now_us)
{
	struct stm_engine *engine;

	if (!session)
		return;
	engine = session->engine;
	engine->now_us = now_us;
	stm_session_log_unanswered(session, reason, now_us);
	stm_run_cancel_wait(session, now_us);
	if (session->link) {
		if (session->variables_changed)
			session->link->needs_reset = true;
		stm_link_abandon(session->link, now_us + session->route.timeout_us, now_us);
	}
	stm_session_free(session);
	engine->ops.work_ended(engine->data, now_us);
}
