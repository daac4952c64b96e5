#include "statement/statement_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * A statement waits for admission, and for a link, at most for its route's target time divided by
 * this.
 */
#define WAIT_DIVISOR 4U
/*
 * Lower limit of that wait: the duration of a few statements, so that a link can become free even
 * if the target time is short.
 */
#define WAIT_MIN_US (40 * BC_US_PER_MS)

static bool is_internal(const struct stm_session *session)
{
	return session->status_done != NULL || session->sampling;
}

static bool in_transaction(const struct stm_session *session)
{
	return session->state == SQL_IN_TRANSACTION;
}

/* Whether the statement must run at the group's leader. */
static bool needs_leader(const struct stm_session *session)
{
	return session->writes || (in_transaction(session) && !session->read_only) ||
	       session->sampling;
}

/* Abandons the session's link, if it has one; its last statements end without the session. */
static void abandon_link(struct stm_session *session, uint64_t now_us)
{
	if (session->link)
		stm_link_abandon(session->link, session->deadline_us, now_us);
}

static struct grp_choice choose_endpoint(struct stm_session *session, struct grp_group *group,
					 uint64_t now_us)
{
	struct grp_read_bounds bounds = {
		.max_age_us = session->route.max_age_us,
		.started_us = session->started_us,
		.has_last_commit = session->has_last_commit &&
				   session->route.consistency == STM_READ_YOUR_WRITES,
		.last_commit = session->last_commit,
		.tried_endpoints = session->tried_endpoints,
	};
	struct grp_choice choice;

	if (session->fixed_endpoint) {
		choice = session->order_choice;
		choice.endpoint = session->fixed_endpoint;
		choice.reason = session->relayed ? "relayed" : "status";
		if (session->relayed && grp_leaving_limit_passed(choice.endpoint, now_us)) {
			choice.endpoint = NULL;
			choice.reason = "leader_leaving";
		} else if (choice.endpoint->suspect && now_us < choice.endpoint->retry_us) {
			choice.endpoint = NULL;
			choice.reason = "endpoint_lost";
		}
		return choice;
	}
	if (needs_leader(session))
		return grp_choose_leader(group, now_us);
	if (session->route.consistency == STM_STRONG)
		bounds.max_age_us = 0;
	return grp_choose_read(session->engine->groups, group, &bounds, now_us);
}

/*
 * Whether the statement reads what the leader has applied, without asking for a position. Until a
 * promoted leader has applied its log, such reads miss commits that were acknowledged before its
 * promotion, and after it.
 */
static bool needs_caught_up_leader(const struct stm_session *session)
{
	if (session->begun || session->status_done)
		return false;
	return session->sampling || session->choice.prove_leader ||
	       (in_transaction(session) && !session->read_only);
}

/* Replaces the session's choice and holds a reference to its endpoint. */
void stm_choice_set(struct stm_session *session, struct grp_choice choice)
{
	struct grp_endpoint *previous = session->choice.endpoint;

	if (choice.endpoint)
		grp_endpoint_ref(choice.endpoint);
	session->choice = choice;
	if (previous)
		grp_endpoint_unref(previous);
}

/* Ends a statement of the proxy itself. */
static void finish_internal(struct stm_session *session, enum sql_code code,
			    const struct sql_result *result, uint64_t now_us)
{
	stm_status_fn done = session->status_done;
	void *data = session->status_data;
	char endpoint_id[BC_ID_BYTES] = "";

	if (session->fixed_endpoint)
		snprintf(endpoint_id, sizeof(endpoint_id), "%s", session->fixed_endpoint->info.id);
	if (session->link)
		stm_link_abandon(session->link, now_us + session->route.timeout_us, now_us);
	stm_session_free(session);
	if (done)
		done(data, endpoint_id, code, result, now_us);
}

/* Ends a statement that is known not to have run. */
static void end_not_run(struct stm_session *session, const char *reason, uint64_t now_us)
{
	if (is_internal(session))
		finish_internal(session, SQL_BUSY, NULL, now_us);
	else
		stm_refuse(session, reason, now_us);
}

/* Until when the session's statement may wait for admission or for a link. */
static uint64_t wait_until(const struct stm_session *session, uint64_t now_us)
{
	uint64_t wait_us = session->route.target_us / WAIT_DIVISOR;

	if (wait_us < WAIT_MIN_US)
		wait_us = WAIT_MIN_US;
	return now_us + wait_us < session->deadline_us ? now_us + wait_us : session->deadline_us;
}

static void acquire_link(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct grp_endpoint *endpoint = session->choice.endpoint;
	struct pool_request want = {
		.endpoint = endpoint->info.id,
		.customer = session->route.database,
		.priority = session->route.priority,
		.reserved = session->writes,
		.on_primary = endpoint->group->leader == endpoint,
	};

	want.deadline_us = wait_until(session, now_us);
	session->waiter = ++engine->last_waiter;
	want.waiter = session->waiter;
	session->phase = STM_PHASE_WAITING;
	apr_hash_set(engine->waiters, &session->waiter, sizeof(session->waiter), session);
	stm_pool_schedule(engine, now_us);
	pool_acquire(engine->pool, &want, now_us);
}

static void send_statement(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct sql_statement statement = session->current;
	struct sql_statement rollback = {.verb = SQL_ROLLBACK};
	const struct stm_map_entry *prepared;
	char name[SQL_NAME_BYTES + 2];

	if (statement.verb == SQL_EXECUTE) {
		prepared = stm_map_get(&session->prepared, statement.name);
		stm_link_prepared_name(prepared, name);
		statement.name = name;
	}
	if (!in_transaction(session) && !session->choice.prove_leader &&
	    session->choice.has_position) {
		statement.has_after = true;
		statement.after = session->choice.position;
	}
	session->phase = STM_PHASE_RUNNING;
	session->sent_us = now_us;
	stm_link_submit(link, &statement, STM_PURPOSE_RUN, now_us);
	if (!in_transaction(session) && session->choice.prove_leader)
		stm_link_submit(link, &rollback, STM_PURPOSE_ROLLBACK, now_us);
	engine->ops.link_flush(engine->data, link);
	stm_watch_start(engine, now_us);
}

/* Whether BEGIN must be sent to the endpoint before the statement. */
static bool needs_begin(const struct stm_session *session)
{
	if (session->sampling)
		return true;
	if (session->status_done)
		return false;
	return in_transaction(session) ? !session->begun : session->choice.prove_leader;
}

static void submit_begin(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	struct sql_statement begin = {.verb = SQL_BEGIN};

	if (in_transaction(session) && session->read_only && !session->choice.prove_leader) {
		begin.verb = SQL_BEGIN_READ;
		begin.has_after = session->choice.has_position;
		begin.after = session->choice.position;
	}
	stm_link_submit(link, &begin, STM_PURPOSE_BEGIN, now_us);
}

/*
 * Called when the session has got a link: brings the link into the session's state, then sends the
 * statement.
 */
void stm_run_granted(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	uint32_t sent = 0;

	/* The key may have been withdrawn while the statement waited for the link. */
	if (!stm_key_valid(session)) {
		stm_refuse_key(session, now_us);
		return;
	}
	if (link->remote && !stm_relay_fits(session)) {
		abandon_link(session, now_us);
		stm_refuse(session, "too_long_to_relay", now_us);
		return;
	}
	if (link->remote) {
		stm_relay_run(session, link, now_us);
		return;
	}
	session->phase = STM_PHASE_SETUP;
	if (needs_caught_up_leader(session) && !link->endpoint->caught_up) {
		struct sql_statement status = {.verb = SQL_STATUS};

		stm_link_submit(link, &status, STM_PURPOSE_STATUS_CHECK, now_us);
		session->engine->ops.link_flush(session->engine->data, link);
		stm_watch_start(session->engine, now_us);
		return;
	}
	if (!is_internal(session))
		sent = stm_link_set_up(link, session, now_us);
	if (needs_begin(session)) {
		submit_begin(session, link, now_us);
		sent++;
	}
	if (!sent) {
		send_statement(session, link, now_us);
		return;
	}
	session->engine->ops.link_flush(session->engine->data, link);
	stm_watch_start(session->engine, now_us);
}

/* Chooses an endpoint and asks for a link to it, or uses the link of the open transaction. */
void stm_run(struct stm_session *session, uint64_t now_us)
{
	struct grp_group *group = grp_find(session->engine->groups, session->route.group);
	const char *relay;

	if (session->begun) {
		stm_run_granted(session, session->link, now_us);
		return;
	}
	if (!group || session->attempts++ >= STM_ATTEMPTS_MAX) {
		end_not_run(session, group ? "attempts_exhausted" : "no_group", now_us);
		return;
	}
	stm_choice_set(session, choose_endpoint(session, group, now_us));
	if (session->choice.endpoint && !session->choice.endpoint->caught_up &&
	    now_us < session->choice.endpoint->caught_up_check_us &&
	    needs_caught_up_leader(session)) {
		end_not_run(session, "leader_catches_up", now_us);
		return;
	}
	if (!session->choice.endpoint) {
		if (!group->leader || group->leader->suspect)
			session->engine->ops.leader_unavailable(session->engine->data, group,
								now_us);
		end_not_run(session, session->choice.reason, now_us);
		return;
	}
	snprintf(session->endpoint_id, sizeof(session->endpoint_id), "%s",
		 session->choice.endpoint->info.id);
	if (!is_internal(session) && !stm_relay_fits(session))
		session->too_long_to_relay = true;
	relay = is_internal(session) || session->relayed || session->too_long_to_relay
			? NULL
			: session->engine->ops.choose_relay(session->engine->data,
							    session->choice.endpoint, now_us);
	snprintf(session->relay, sizeof(session->relay), "%s", relay ? relay : "");
	if (relay)
		stm_relay_acquire(session, relay, now_us);
	else
		acquire_link(session, now_us);
}

/* Ends the wait for admission with a refusal. */
static void refuse_admission(struct stm_session *session, uint64_t retry_after_us, uint64_t now_us)
{
	bc_counter_add(session->engine->ctx, "bulrushcleat_over_limit_total", NULL, 1);
	stm_refuse_until(session, "over_limit", retry_after_us, now_us);
}

/*
 * Runs the statement once its operation is admitted. The operations of callers with an account are
 * admitted once, at the first statement that needs an endpoint; the proxy's own, and those of other
 * proxies, which have asked, are not.
 */
void stm_run_admit(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	uint64_t retry_after_us = 0;

	if (!session->caller || !session->account[0] || session->admitted || !engine->ops.admit) {
		stm_run(session, now_us);
		return;
	}
	session->waiter = ++engine->last_waiter;
	switch (engine->ops.admit(engine->data, session->account, session->route.priority,
				  wait_until(session, now_us), session->waiter, &retry_after_us,
				  now_us)) {
	case STM_ADMITTED:
		session->admitted = true;
		stm_run(session, now_us);
		return;
	case STM_ADMISSION_WAITING:
		session->phase = STM_PHASE_ADMISSION;
		apr_hash_set(engine->waiters, &session->waiter, sizeof(session->waiter), session);
		return;
	case STM_ADMISSION_REFUSED:
		refuse_admission(session, retry_after_us, now_us);
		return;
	}
}

/* Takes the session that waits for admission under this id; NULL if it no longer waits. */
static struct stm_session *take_admission(struct stm_engine *engine, uint64_t waiter)
{
	struct stm_session *session = apr_hash_get(engine->waiters, &waiter, sizeof(waiter));

	if (!session || session->phase != STM_PHASE_ADMISSION)
		return NULL;
	apr_hash_set(engine->waiters, &session->waiter, sizeof(session->waiter), NULL);
	return session;
}

/* Goes on with an operation that has been admitted, unless its key was withdrawn meanwhile. */
void stm_admitted(struct stm_engine *engine, uint64_t waiter, uint64_t now_us)
{
	struct stm_session *session = take_admission(engine, waiter);

	engine->now_us = now_us;
	if (!session)
		return;
	session->admitted = true;
	session->phase = STM_PHASE_WAITING;
	if (stm_key_valid(session))
		stm_run(session, now_us);
	else
		stm_refuse_key(session, now_us);
}

/* Ends an operation that was not admitted; it may be repeated after the given time. */
void stm_admission_refused(struct stm_engine *engine, uint64_t waiter, uint64_t retry_after_us,
			   uint64_t now_us)
{
	struct stm_session *session = take_admission(engine, waiter);

	engine->now_us = now_us;
	if (session)
		refuse_admission(session, retry_after_us, now_us);
}

/* Ends the session's wait for admission or for a link, if it waits. */
void stm_run_cancel_wait(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;

	if (session->phase != STM_PHASE_ADMISSION && session->phase != STM_PHASE_WAITING)
		return;
	apr_hash_set(engine->waiters, &session->waiter, sizeof(session->waiter), NULL);
	if (session->phase == STM_PHASE_ADMISSION)
		engine->ops.admission_cancel(engine->data, session->waiter);
	else
		pool_cancel(engine->pool, session->waiter, now_us);
}

/* Tries another endpoint after this one did not run the statement. */
static void retry_elsewhere(struct stm_session *session, uint64_t now_us)
{
	if (session->choice.endpoint)
		session->tried_endpoints |= 1U << session->choice.endpoint->index;
	stm_run(session, now_us);
}

/*
 * Tries again after the link was lost. If the statement went through a relay, the relay failed,
 * not the endpoint: the endpoint may be chosen again, directly or through another relay, and the
 * attempt is not counted.
 */
static void retry_after_link_loss(struct stm_session *session, uint64_t now_us)
{
	if (!session->relay[0]) {
		retry_elsewhere(session, now_us);
		return;
	}
	session->attempts--;
	stm_run(session, now_us);
}

/* Called when the pool has no link to the chosen endpoint. */
void stm_run_rejected(struct stm_session *session, enum bc_status status, uint64_t now_us)
{
	struct grp_endpoint *endpoint = session->choice.endpoint;

	if (!is_internal(session) && !session->relayed && !needs_leader(session) &&
	    session->route.consistency != STM_STRONG && !session->choice.prove_leader) {
		retry_elsewhere(session, now_us);
		return;
	}
	if (status == BC_EIO && endpoint->group->leader == endpoint)
		session->engine->ops.leader_unavailable(session->engine->data, endpoint->group,
							now_us);
	end_not_run(session, status == BC_EIO ? "endpoint_lost" : "endpoint_full", now_us);
}

/* Whether the statement may run twice: it only reads and is outside of a transaction. */
static bool is_repeatable(const struct stm_session *session)
{
	return !session->writes && !in_transaction(session) && !is_internal(session);
}

/* Handles the loss of the session's link. */
void stm_run_link_lost(struct stm_session *session, const char *reason, uint64_t now_us)
{
	bool sent = session->phase == STM_PHASE_RUNNING;

	if (session->phase == STM_PHASE_NONE) {
		bc_log(session->engine->ctx, BC_LOG_WARN, "transaction_lost", "{s:s,s:s}",
		       "database", session->database, "reason", reason);
		stm_transaction_fail(session);
		/* The origin is told when its next order names a stream that is no longer known. */
		if (session->relayed)
			stm_session_close(session, reason, now_us);
		return;
	}
	if (is_internal(session)) {
		finish_internal(session, SQL_UNKNOWN_OUTCOME, NULL, now_us);
		return;
	}
	if (is_repeatable(session) || (!sent && !session->begun)) {
		if (session->relayed)
			end_not_run(session, "endpoint_lost", now_us);
		else
			retry_after_link_loss(session, now_us);
		return;
	}
	if (sent && session->current.verb == SQL_COMMIT) {
		stm_transaction_end(session);
		stm_answer_code(session, SQL_UNKNOWN_OUTCOME, reason, now_us);
	} else if (in_transaction(session)) {
		stm_transaction_fail(session);
		stm_answer_code(session, SQL_ABORTED, reason, now_us);
	} else {
		stm_answer_code(session, SQL_UNKNOWN_OUTCOME, reason, now_us);
	}
}

/*
 * Handles a statement that the relay did not run: it cannot reach the endpoint, or did not receive
 * the order.
 */
void stm_run_not_received(struct stm_session *session, uint64_t now_us)
{
	abandon_link(session, now_us);
	if (!session->begun) {
		stm_run(session, now_us);
		return;
	}
	if (session->current.verb == SQL_COMMIT)
		stm_transaction_end(session);
	else
		stm_transaction_fail(session);
	stm_answer_code(session, SQL_ABORTED, "the endpoint is lost", now_us);
}

/* Handles the expiry of the statement's timeout. */
void stm_run_timeout(struct stm_session *session, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	enum stm_phase phase = session->phase;

	engine->now_us = now_us;
	stm_run_cancel_wait(session, now_us);
	abandon_link(session, now_us);
	if (is_internal(session)) {
		finish_internal(session, SQL_TIMED_OUT, NULL, now_us);
		return;
	}
	if (phase != STM_PHASE_RUNNING) {
		stm_refuse(session, "timed_out_before_run", now_us);
		return;
	}
	if (session->current.verb == SQL_COMMIT) {
		stm_transaction_end(session);
		stm_answer_code(session, SQL_UNKNOWN_OUTCOME, "no answer in time", now_us);
	} else if (in_transaction(session)) {
		stm_transaction_fail(session);
		stm_answer_code(session, SQL_TIMED_OUT, "no answer in time", now_us);
	} else {
		stm_answer_code(session, session->writes ? SQL_UNKNOWN_OUTCOME : SQL_TIMED_OUT,
				"no answer in time", now_us);
	}
}

/*
 * Ends the session's statement since the proxy shuts down. The caller gets a promise if the
 * statement was not sent, or leaves nothing behind without its connection.
 */
void stm_run_stop(struct stm_session *session, uint64_t now_us)
{
	bool sent = session->phase == STM_PHASE_RUNNING;

	stm_run_cancel_wait(session, now_us);
	abandon_link(session, now_us);
	if (!sent) {
		stm_refuse(session, "shutting_down", now_us);
	} else if (session->current.verb == SQL_COMMIT) {
		stm_transaction_end(session);
		stm_answer_code(session, SQL_UNKNOWN_OUTCOME, "shutting_down", now_us);
	} else if (in_transaction(session)) {
		stm_transaction_fail(session);
		stm_answer_code(session, SQL_ABORTED, "shutting_down", now_us);
	} else {
		stm_answer_code(session, session->writes ? SQL_UNKNOWN_OUTCOME : SQL_ABORTED,
				"shutting_down", now_us);
	}
}

/*
 * Runs a statement elsewhere that waits for a silent endpoint; false if it must go on waiting,
 * since it may have run there.
 */
bool stm_reroute(struct stm_session *session, const char *reason, uint64_t now_us)
{
	if (!is_repeatable(session) &&
	    (session->phase != STM_PHASE_SETUP || session->begun || is_internal(session)))
		return false;
	bc_log(session->engine->ctx, BC_LOG_WARN, "rerouted", "{s:s,s:s,s:s}", "id",
	       session->current.id ? session->current.id : "-", "from", session->endpoint_id,
	       "reason", reason);
	abandon_link(session, now_us);
	if (session->relayed)
		end_not_run(session, "endpoint_lost", now_us);
	else
		retry_after_link_loss(session, now_us);
	return true;
}

/* Whether another endpoint may run what this one has refused or failed to run. */
static bool can_retry_elsewhere(struct stm_session *session, enum sql_code code, uint64_t now_us)
{
	const struct grp_group *group = session->choice.endpoint->group;

	if (session->begun || session->relayed || now_us >= session->deadline_us)
		return false;
	switch (code) {
	case SQL_BEHIND:
		return true;
	case SQL_READ_ONLY:
		return group->leader && group->leader != session->choice.endpoint;
	case SQL_NO_PREPARED:
		return !in_transaction(session);
	case SQL_BUSY:
	case SQL_FAILED:
		return !needs_leader(session) && session->route.consistency != STM_STRONG;
	default:
		return false;
	}
}

/* Records what a refusal shows about the endpoint or the link. */
static void record_refusal(struct stm_session *session, struct stm_link *link, enum sql_code code,
			   uint64_t now_us)
{
	if (code == SQL_BEHIND)
		grp_behind(link->endpoint, now_us);
	if (code == SQL_READ_ONLY && needs_leader(session))
		grp_denied_lead(session->engine->groups, link->endpoint, now_us);
	else if (code == SQL_READ_ONLY && session->choice.prove_leader)
		grp_denied_lead(session->engine->groups, link->endpoint, now_us);
	if (code == SQL_NO_PREPARED)
		link->needs_reset = true;
}

/* Forwards a refusal to the origin; the statement was not sent to the endpoint. */
static void relay_refusal(struct stm_session *session, const struct sql_result *result,
			  uint64_t now_us)
{
	struct sql_result answer = {.code = result->code, .message = result->message};

	stm_relay_answer(session, &answer, false, now_us);
}

/*
 * Refuses a statement that did not run. The reason is the word that the relay gave in its message,
 * or else the endpoint's code: an endpoint's own message can be an endpoint's id.
 */
static void refuse_with_reason(struct stm_session *session, const struct sql_result *result,
			       uint64_t now_us)
{
	const char *reason = sql_code_name(result->code);

	if (session->relay[0] && bc_id_valid(result->message) &&
	    !grp_endpoint_find(session->engine->groups, result->message))
		reason = result->message;
	stm_refuse(session, reason, now_us);
}

/*
 * Handles the failure of the session setup, the status check or BEGIN: the statement was not sent.
 */
void stm_run_setup_failed(struct stm_session *session, struct stm_link *link,
			  const struct sql_result *result, uint64_t now_us)
{
	struct grp_group *group = link->endpoint->group;

	record_refusal(session, link, result->code, now_us);
	abandon_link(session, now_us);
	if (is_internal(session)) {
		finish_internal(session, result->code, NULL, now_us);
		return;
	}
	if (session->begun) {
		stm_transaction_fail(session);
		stm_answer_code(session, SQL_ABORTED, "the session's values could not be set",
				now_us);
		return;
	}
	if (session->relayed) {
		relay_refusal(session, result, now_us);
		return;
	}
	if (can_retry_elsewhere(session, result->code, now_us)) {
		retry_elsewhere(session, now_us);
		return;
	}
	if (result->code == SQL_READ_ONLY && !group->leader)
		session->engine->ops.leader_unavailable(session->engine->data, group, now_us);
	refuse_with_reason(session, result, now_us);
}

/* Records a successful commit as the group's and the session's newest. */
static void record_commit(struct stm_session *session, struct grp_group *group,
			  const struct sql_result *result)
{
	if (!result->has_position)
		return;
	grp_replicated(group, result->position);
	if (!session->has_last_commit ||
	    bc_position_compare(result->position, session->last_commit) > 0)
		session->last_commit = result->position;
	session->has_last_commit = true;
}

/* Returns the link to the pool after a single statement or at the end of a transaction. */
static void return_link(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	if (link->in_transaction || link->pending_count)
		stm_link_abandon(link, session->deadline_us, now_us);
	else
		stm_link_release(link, true, now_us);
}

static void finish_in_transaction(struct stm_session *session, struct stm_link *link,
				  const struct sql_result *result, uint64_t now_us)
{
	bool committed = session->current.verb == SQL_COMMIT;

	if (session->writes && result->code == SQL_OK)
		session->wrote = true;
	if (committed && result->code == SQL_OK && session->wrote) {
		record_commit(session, link->endpoint->group, result);
		if (result->has_position)
			grp_leader_proved(session->engine->groups, link->endpoint, result->position,
					  session->sent_us, now_us);
	}
	if (committed) {
		if (session->variables_changed && result->code != SQL_OK)
			link->needs_reset = true;
		stm_transaction_end(session);
		return_link(session, link, now_us);
	} else if (result->state != SQL_IN_TRANSACTION) {
		if (session->variables_changed)
			link->needs_reset = true;
		stm_transaction_fail(session);
		return_link(session, link, now_us);
	}
	stm_answer(session, result, now_us);
}

static void finish_single(struct stm_session *session, struct stm_link *link,
			  const struct sql_result *result, uint64_t now_us)
{
	struct grp_endpoint *endpoint = link->endpoint;

	if (session->writes && result->code == SQL_OK && result->has_position) {
		record_commit(session, endpoint->group, result);
		grp_leader_proved(session->engine->groups, endpoint, result->position,
				  session->sent_us, now_us);
	}
	return_link(session, link, now_us);
	if (result->code != SQL_OK && can_retry_elsewhere(session, result->code, now_us) &&
	    (!session->writes || sql_code_not_run(result->code))) {
		retry_elsewhere(session, now_us);
		return;
	}
	if (result->code == SQL_TOO_LARGE && session->relay[0] && is_repeatable(session)) {
		session->too_long_to_relay = true;
		stm_run(session, now_us);
		return;
	}
	if (sql_code_not_run(result->code) && !session->relayed) {
		refuse_with_reason(session, result, now_us);
		return;
	}
	stm_answer(session, result, now_us);
}

static void on_begun(struct stm_session *session, struct stm_link *link,
		     const struct stm_pending *pending, const struct sql_result *result,
		     uint64_t now_us)
{
	bool read_write = session->sampling || !session->read_only || session->choice.prove_leader;

	if (in_transaction(session))
		session->begun = true;
	if (read_write && result->has_position)
		grp_leader_proved(session->engine->groups, link->endpoint, result->position,
				  pending->sent_us, now_us);
	if (session->sampling)
		finish_internal(session, SQL_OK, result, now_us);
	else if (!link->pending_count)
		send_statement(session, link, now_us);
}

/* Handles the leader's status: goes on if the endpoint leads and has applied its log. */
static void on_status_checked(struct stm_session *session, struct stm_link *link,
			      const struct sql_result *result, uint64_t now_us)
{
	struct grp_state *groups = session->engine->groups;
	struct grp_endpoint *endpoint = link->endpoint;
	bool leads = result->code == SQL_OK && result->has_status && result->leads;
	bool applied = leads && result->has_position &&
		       bc_position_compare(result->position, result->received) >= 0;
	struct sql_result refusal = {.code = leads ? SQL_BUSY : SQL_READ_ONLY};

	if (result->code != SQL_OK)
		refusal.code = result->code;
	if (leads)
		grp_caught_up(groups, endpoint, applied, now_us);
	if (applied)
		stm_run_granted(session, link, now_us);
	else
		stm_run_setup_failed(session, link, &refusal, now_us);
}

/* Handles a result of the session's current statement, or of one that was sent ahead of it. */
void stm_run_result(struct stm_session *session, struct stm_link *link,
		    const struct stm_pending *pending, const struct sql_result *result,
		    uint64_t now_us)
{
	if (pending->purpose == STM_PURPOSE_ROLLBACK)
		return;
	if (pending->purpose == STM_PURPOSE_STATUS_CHECK) {
		on_status_checked(session, link, result, now_us);
		return;
	}
	if (pending->purpose != STM_PURPOSE_RUN && result->code != SQL_OK) {
		stm_run_setup_failed(session, link, result, now_us);
		return;
	}
	if (pending->purpose == STM_PURPOSE_BEGIN) {
		on_begun(session, link, pending, result, now_us);
		return;
	}
	if (pending->purpose == STM_PURPOSE_SETUP) {
		if (!link->pending_count)
			send_statement(session, link, now_us);
		return;
	}
	if (is_internal(session)) {
		finish_internal(session, result->code, result, now_us);
		return;
	}
	if (result->code == SQL_OK && !result->signature) {
		/* This answers another statement; the answer to the current one was lost. */
		bc_log(session->engine->ctx, BC_LOG_ERROR, "answer_mismatch", "{s:s,s:s}", "id",
		       session->current.id ? session->current.id : "-", "endpoint",
		       session->endpoint_id);
		link->needs_reset = true;
		abandon_link(session, now_us);
		stm_run_link_lost(session, "answer_mismatch", now_us);
		return;
	}
	record_refusal(session, link, result->code, now_us);
	if (in_transaction(session))
		finish_in_transaction(session, link, result, now_us);
	else
		finish_single(session, link, result, now_us);
}
