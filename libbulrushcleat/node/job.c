#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Creates a job and registers it. NULL when out of memory. */
struct job *nod_job_create(struct nod_node *node, uint64_t request, enum job_kind kind)
{
	struct job *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->id = ++node->next_id;
	job->request = request;
	job->kind = kind;
	job->start_us = node->now_us;
	job->choice.age_us = RTE_AGE_ANY;
	apr_hash_set(node->jobs, &job->id, sizeof(job->id), job);
	return job;
}

/* The job with this id, or NULL if it has ended. */
struct job *nod_job_find(struct nod_node *node, uint64_t id)
{
	return apr_hash_get(node->jobs, &id, sizeof(id));
}

/* Frees a job that holds no connection and is in no list. */
void nod_job_free(struct nod_node *node, struct job *job)
{
	apr_hash_set(node->jobs, &job->id, sizeof(job->id), NULL);
	json_decref(job->params);
	json_decref(job->result);
	free(job->sql);
	free(job->key);
	free(job);
}

/* The state of a database, created on first use. */
struct database_state *nod_database_get(struct nod_node *node, const char *database)
{
	struct database_state *state = apr_hash_get(node->databases, database, APR_HASH_KEY_STRING);

	if (state)
		return state;
	state = apr_pcalloc(node->pool, sizeof(*state));
	snprintf(state->database, sizeof(state->database), "%s", database);
	apr_hash_set(node->databases, state->database, APR_HASH_KEY_STRING, state);
	return state;
}

/* Adds a job to its database's list of running and confirming jobs. */
void nod_job_link(struct nod_node *node, struct job *job)
{
	struct database_state *state = nod_database_get(node, job->database);

	job->database_next = state->head;
	job->database_previous = NULL;
	if (state->head)
		state->head->database_previous = job;
	state->head = job;
}

/* Removes a job from its database's list. */
void nod_job_unlink(struct nod_node *node, struct job *job)
{
	struct database_state *state = nod_database_get(node, job->database);

	if (job->database_next)
		job->database_next->database_previous = job->database_previous;
	if (job->database_previous)
		job->database_previous->database_next = job->database_next;
	else if (state->head == job)
		state->head = job->database_next;
	job->database_next = NULL;
	job->database_previous = NULL;
}

static struct admission_queue *admission_get(struct nod_node *node, const char *customer)
{
	struct admission_queue *queue =
		apr_hash_get(node->admissions, customer, APR_HASH_KEY_STRING);

	if (queue)
		return queue;
	queue = apr_pcalloc(node->pool, sizeof(*queue));
	snprintf(queue->customer, sizeof(queue->customer), "%s", customer);
	apr_hash_set(node->admissions, queue->customer, APR_HASH_KEY_STRING, queue);
	return queue;
}

/*
 * Queues a job in the order of deadlines. A retried job has an earlier deadline than those that
 * wait already; at the tail it would be answered only after them.
 */
static bool admission_push(struct nod_node *node, struct job *job)
{
	struct admission_queue *queue = admission_get(node, job->customer);
	struct job **link = &queue->head;

	if (queue->length >= NOD_ADMISSION_QUEUE_MAX)
		return false;
	while (*link && (*link)->deadline_us <= job->deadline_us)
		link = &(*link)->next;
	job->next = *link;
	*link = job;
	queue->length++;
	job->state = JOB_ADMISSION;
	return true;
}

static struct job *admission_pop(struct admission_queue *queue)
{
	struct job *job = queue->head;

	if (!job)
		return NULL;
	queue->head = job->next;
	queue->length--;
	job->next = NULL;
	return job;
}

static void release_share(struct nod_node *node, struct job *job)
{
	if (!job->admitted)
		return;
	job->admitted = false;
	lim_release(node->limits, job->customer, node->now_us);
	nod_jobs_admit_next(node, job->customer);
}

static uint32_t reply_status(const struct job *job, enum out_outcome outcome)
{
	if (outcome == OUT_RAN)
		return 200;
	if (outcome == OUT_UNKNOWN)
		return 504;
	if (strcmp(job->error_code, "key_reused") == 0)
		return 422;
	if (strcmp(job->error_code, "plan_limit") == 0)
		return 429;
	return job->last_end == OUT_END_ERROR ? 400 : 503;
}

static void count_outcome(struct nod_node *node, const struct job *job, enum out_outcome outcome)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"",
		 job->attempts.write ? "write" : "read", out_outcome_name(outcome));
	bc_counter_add(node->ctx, "bulrushcleat_requests_total", labels, 1);
	bc_histogram_observe_us(node->ctx, "bulrushcleat_request_seconds",
				job->attempts.write ? "kind=\"write\"" : "kind=\"read\"",
				node->now_us - job->start_us);
	if (!job->attempts.write && outcome == OUT_RAN)
		bc_counter_add(node->ctx, "bulrushcleat_reads_total",
			       job->choice.is_primary ? "role=\"primary\"" : "role=\"replica\"", 1);
}

/* Ends a job: releases what it holds and replies to its caller. */
void nod_job_finish(struct nod_node *node, struct job *job, enum out_outcome outcome)
{
	bool observed = outcome == OUT_RAN && job->position.term;

	if (job->state == JOB_RUNNING || job->state == JOB_CONFIRM)
		nod_job_unlink(node, job);
	if (observed &&
	    ses_mark_advance(node->ctx, &job->session, job->database, job->position) != BC_OK)
		bc_log(node->ctx, BC_LOG_WARN, "session_mark", "{s:s,s:s}", "customer",
		       job->customer, "error", bc_last_message(node->ctx));
	count_outcome(node, job, outcome);
	bc_trace_end(node->ctx, &job->trace, "request", job->start_us, node->now_us,
		     out_outcome_name(outcome));
	nod_reply_send(node, job, reply_status(job, outcome), outcome);
	if (job->kind != JOB_BEGIN || outcome != OUT_RAN)
		release_share(node, job);
	if (job->transaction && job->kind == JOB_IN_TRANSACTION)
		job->transaction->busy = false;
	drn_request_end(node->drain, node->now_us);
	nod_job_free(node, job);
}

static void fail_before_send(struct nod_node *node, struct job *job, const char *code,
			     const char *message)
{
	nod_error_set(job, code, message);
	job->last_end = OUT_END_NOT_SENT;
	nod_job_finish(node, job, out_attempt_record(&job->attempts, OUT_END_NOT_SENT));
}

/* Starts a job whose request has been parsed. */
void nod_job_start(struct nod_node *node, struct job *job)
{
	bool in_transaction = job->transaction != NULL;

	if (!drn_request_start(node->drain, in_transaction)) {
		nod_reply_error(node, job->request, job->request_id, &job->trace, 503, "draining",
				"this proxy is shutting down");
		nod_job_free(node, job);
		return;
	}
	nod_probe_extend(node, job->database);
	if (in_transaction) {
		job->transaction->busy = true;
		job->transaction->last_used_us = node->now_us;
		job->transaction->used_since_begin = true;
		job->hop_start_us = node->now_us;
		bc_trace_child(node->ctx, &job->trace, &job->hop);
		nod_run_start(node, job);
		return;
	}
	nod_job_dispatch(node, job);
}

/* Admits the customer's waiting jobs while its share of the plan's connections allows. */
void nod_jobs_admit_next(struct nod_node *node, const char *customer)
{
	struct admission_queue *queue =
		apr_hash_get(node->admissions, customer, APR_HASH_KEY_STRING);

	while (queue && queue->head) {
		struct job *job;

		if (queue->head->deadline_us <= node->now_us) {
			fail_before_send(
				node, admission_pop(queue), "plan_limit",
				"the plan's connections were all in use until the deadline");
			continue;
		}
		if (!lim_admit(node->limits, customer, node->now_us))
			return;
		job = admission_pop(queue);
		job->admitted = true;
		nod_job_dispatch(node, job);
	}
}

/* Counts a job that has an endpoint against its customer's share, or queues the job. */
static bool admit(struct nod_node *node, struct job *job)
{
	if (job->admitted)
		return true;
	job->admitted = lim_admit(node->limits, job->customer, node->now_us);
	if (job->admitted)
		return true;
	bc_counter_add(node->ctx, "bulrushcleat_admission_waits_total", NULL, 1);
	if (!admission_push(node, job))
		fail_before_send(node, job, "plan_limit",
				 "too many requests wait for the plan's share");
	return false;
}

/*
 * Delays a job; its deadline stays in force. A delayed job does not count against its customer's
 * share: writes that wait for a primary would otherwise starve the reads of a failure domain that
 * is cut off.
 */
void nod_job_delay(struct nod_node *node, struct job *job, uint64_t delay_us)
{
	if (job->admitted) {
		job->admitted = false;
		lim_release(node->limits, job->customer, node->now_us);
	}
	job->state = JOB_DELAYED;
	job->delayed_until_us = node->now_us + delay_us;
	job->next = node->delayed;
	node->delayed = job;
}

static void want_fill(const struct job *job, struct rte_criteria *want)
{
	uint32_t i;

	want->database = job->database;
	want->write = job->attempts.write;
	want->strong = job->strong;
	want->replicas_allowed = job->replicas_allowed;
	want->max_age_us = job->max_age_us;
	want->mark = ses_mark_get(&job->session, job->database);
	for (i = 0; i < job->tried_count; i++)
		want->exclude[i] = job->tried[i];
}

/* Chooses an endpoint for a job and requests a connection to it from the pool. */
void nod_job_dispatch(struct nod_node *node, struct job *job)
{
	struct rte_criteria want = {0};
	struct pool_request pool_request = {0};

	if (node->now_us >= job->deadline_us) {
		fail_before_send(node, job, "no_endpoint", "no endpoint could serve this in time");
		return;
	}
	want_fill(job, &want);
	if (rte_choose(node->route, &want, node->now_us, &job->choice) != RTE_CHOSEN) {
		/* The endpoints that failed this read may be the only ones that can serve it. */
		job->tried_count = 0;
		nod_job_delay(node, job, RTE_WAIT_US);
		return;
	}
	if (!admit(node, job))
		return;
	job->state = JOB_QUEUED;
	job->hop_start_us = node->now_us;
	bc_trace_child(node->ctx, &job->trace, &job->hop);
	pool_request.waiter = job->id;
	pool_request.endpoint = job->choice.endpoint;
	pool_request.customer = job->customer;
	pool_request.reserved = job->attempts.write;
	pool_request.on_primary = job->choice.is_primary;
	pool_request.deadline_us = job->deadline_us;
	pool_acquire(node->connections, &pool_request, node->now_us);
}

static bool retry_if_allowed(struct nod_node *node, struct job *job, enum out_end end)
{
	uint64_t delay_us;

	/* The transaction ended with its connection; on another, the statement would run alone. */
	if (job->kind != JOB_STATEMENT && job->kind != JOB_BEGIN)
		return false;
	if (!out_retry_decide(node->budget, &job->attempts, end, job->choice.endpoint, node->now_us,
			      job->deadline_us, &delay_us))
		return false;
	if (!job->attempts.write && job->tried_count < RTE_GROUP_ENDPOINTS_MAX - 1)
		snprintf(job->tried[job->tried_count++], BC_ID_BYTES, "%s", job->choice.endpoint);
	bc_counter_add(node->ctx, "bulrushcleat_retries_total", NULL, 1);
	nod_job_delay(node, job, delay_us);
	return true;
}

/* Handles the end of an attempt: retries the job where that is allowed, or ends it. */
void nod_job_attempt_ended(struct nod_node *node, struct job *job, enum out_end end)
{
	enum out_outcome outcome = out_attempt_record(&job->attempts, end);

	if (job->state == JOB_RUNNING || job->state == JOB_CONFIRM)
		nod_job_unlink(node, job);
	job->state = JOB_NEW;
	job->last_end = end;
	bc_trace_end(node->ctx, &job->hop, "endpoint", job->hop_start_us, node->now_us,
		     out_outcome_name(outcome));
	if (end != OUT_END_OK && retry_if_allowed(node, job, end))
		return;
	if (end == OUT_END_OK)
		job->error_code[0] = '\0';
	else if (!job->error_code[0])
		nod_error_set(job, outcome == OUT_UNKNOWN ? "no_answer" : "not_served",
			      outcome == OUT_UNKNOWN ? "it is not known whether this ran"
						     : "no endpoint served this in time");
	nod_job_finish(node, job, outcome);
}

/* The session's mark has been confirmed, and with it every earlier position of its term. */
static bool already_confirmed(const struct job *job)
{
	struct bc_position mark = ses_mark_get(&job->session, job->database);

	return !job->attempts.write && !job->verifying_primary && mark.term == job->position.term &&
	       mark.pos >= job->position.pos;
}

/*
 * Counts the primary as a holder of the position without a call to it. A replica that follows the
 * primary of a term got the entries of that term from it, so the primary held them before it could
 * promise a greater term. This lets a replica be read while the proxy is cut off from the primary.
 */
static void report_primary_position(struct nod_node *node, const struct job *job)
{
	struct rte_row row = {.is_primary = true};
	char primary[BC_ID_BYTES];

	if (!rte_primary_get(node->route, job->database, primary, &row.term) ||
	    row.term != job->position.term)
		return;
	row.promised = row.term;
	row.log = job->position;
	quo_report(node->quorum, job->database, primary, &row, (struct bc_position){0, 0}, 0,
		   node->now_us);
}

/* Waits until a majority holds the position that the statement wrote or read at. */
void nod_job_confirm(struct nod_node *node, struct job *job)
{
	struct quo_wait wait = {0};

	job->state = JOB_CONFIRM;
	job->verifying_primary = !job->attempts.write && job->choice.is_primary &&
				 (job->strong || job->choice.age_us > job->max_age_us);
	if (!job->position.term || already_confirmed(job)) {
		nod_job_attempt_ended(node, job, OUT_END_OK);
		return;
	}
	wait.waiter = job->id;
	wait.database = job->database;
	wait.position = job->position;
	/* An endpoint that received the entry in a later term does not count, see quo_report(). */
	if (job->served_term == job->position.term)
		wait.holder = job->choice.endpoint;
	if (wait.holder && !job->choice.is_primary)
		report_primary_position(node, job);
	wait.deadline_us = job->deadline_us;
	if (!job->attempts.write && !job->choice.is_primary &&
	    wait.deadline_us > node->now_us + NOD_READ_CONFIRM_US)
		wait.deadline_us = node->now_us + NOD_READ_CONFIRM_US;
	/*
	 * A replaced primary may still answer reads. Only a majority that is polled after the run
	 * call was sent rules that out.
	 */
	if (job->verifying_primary)
		wait.primary_check_since_us = job->run_sent_us;
	quo_wait_add(node->quorum, &wait, node->now_us);
}

/* Admits jobs to shares that delayed jobs released, and ends jobs past their deadline. */
static void admit_waiting_jobs(struct nod_node *node)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, node->admissions); it; it = apr_hash_next(it)) {
		struct admission_queue *queue;
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		queue = value;
		nod_jobs_admit_next(node, queue->customer);
	}
}

/* Restarts delayed jobs that are due and ends waiting jobs past their deadline. */
void nod_jobs_tick(struct nod_node *node)
{
	struct job *job = node->delayed;

	node->delayed = NULL;
	while (job) {
		struct job *next = job->next;

		if (job->delayed_until_us <= node->now_us || job->deadline_us <= node->now_us) {
			job->next = NULL;
			nod_job_dispatch(node, job);
		} else {
			job->next = node->delayed;
			node->delayed = job;
		}
		job = next;
	}
	admit_waiting_jobs(node);
}

static bool is_cancellable(const struct job *job)
{
	if (job->state != JOB_RUNNING || job->transaction || job->kind != JOB_STATEMENT)
		return false;
	return !job->attempts.write || job->attempts.repeatable;
}

static void cancel_attempt(struct nod_node *node, struct job *job)
{
	nod_call_cancel(node, job->call);
	nod_run_release(node, job, false);
	nod_job_attempt_ended(node, job, OUT_END_LOST);
}

/*
 * Called when a database has a new primary. Retries the repeatable statements that wait for the old
 * one at once, instead of leaving them to their deadline.
 */
void nod_jobs_new_primary(struct nod_node *node, const char *database)
{
	struct job *job = nod_database_get(node, database)->head;
	uint64_t term = 0;
	char primary[BC_ID_BYTES];

	if (!rte_primary_get(node->route, database, primary, &term))
		return;
	while (job) {
		struct job *next = job->database_next;

		if (is_cancellable(job) && job->choice.is_primary && job->choice.term < term)
			cancel_attempt(node, job);
		job = next;
	}
}

/* Called when an endpoint no longer answers probes. Retries the reads that wait for it. */
void nod_jobs_endpoint_lost(struct nod_node *node, const char *endpoint)
{
	apr_hash_index_t *it;
	apr_pool_t *scratch;
	apr_array_header_t *lost;
	int i;

	/* Collected first: cancelling an attempt starts other jobs, which changes the lists. */
	apr_pool_create(&scratch, node->pool);
	lost = apr_array_make(scratch, 16, sizeof(struct job *));
	for (it = apr_hash_first(scratch, node->databases); it; it = apr_hash_next(it)) {
		struct job *job;
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		for (job = ((struct database_state *)value)->head; job; job = job->database_next)
			if (is_cancellable(job) && !job->attempts.write &&
			    strcmp(job->choice.endpoint, endpoint) == 0)
				APR_ARRAY_PUSH(lost, struct job *) = job;
	}
	for (i = 0; i < lost->nelts; i++)
		cancel_attempt(node, APR_ARRAY_IDX(lost, i, struct job *));
	apr_pool_destroy(scratch);
}

static void on_confirmed(void *data, uint64_t waiter, enum bc_status status)
{
	struct nod_node *node = data;
	struct job *job = nod_job_find(node, waiter);

	if (!job)
		return;
	if (status != BC_OK)
		nod_error_set(job, "unconfirmed", "no majority confirmed the position in time");
	else if (job->verifying_primary)
		job->choice.age_us = 0;
	nod_job_attempt_ended(node, job, status == BC_OK ? OUT_END_OK : OUT_END_UNCONFIRMED);
}

static void on_poll_answer(struct nod_node *node, const struct pending_call *pending,
			   const struct nod_answer *answer)
{
	struct bc_position held = {0, 0};
	struct rte_row row;
	json_t *body = NULL;
	bool good = answer->result == NOD_CALL_ANSWERED && answer->status == 200;

	if (good)
		body = json_loads(answer->body, 0, NULL);
	good = good && rte_row_parse(node->ctx, body, &row) == BC_OK;
	if (good) {
		if (json_is_true(json_object_get(body, "has")))
			held = pending->position;
		rte_report(node->route, pending->endpoint, pending->database, &row,
			   pending->sent_us, node->now_us);
		quo_report(node->quorum, pending->database, pending->endpoint, &row, held,
			   pending->sent_us, node->now_us);
	}
	json_decref(body);
	quo_poll_ended(node->quorum, pending->database, pending->endpoint, good, node->now_us);
}

static void on_quorum_poll(void *data, const char *database, const char *endpoint,
			   struct bc_position at_least, uint32_t wait_ms)
{
	struct nod_node *node = data;
	struct pending_call pending = {.destination = NOD_TO_ENDPOINT, .done = on_poll_answer};
	char path[256];

	nod_pending_endpoint(&pending, endpoint, database);
	pending.position = at_least;
	snprintf(path, sizeof(path), "/v1/databases/%s/position?term=%llu&at_least=%llu&wait_ms=%u",
		 database, (unsigned long long)at_least.term, (unsigned long long)at_least.pos,
		 wait_ms);
	nod_call_send(node, &pending, "GET", path, NULL, NULL,
		      wait_ms * BC_US_PER_MS + NOD_PROBE_TIMEOUT_US);
}

const struct quo_ops nod_quorum_ops = {on_quorum_poll, on_confirmed};
