#include "statement/statement_internal.h"

#include <stdlib.h>

/* Idle timeout of transactions until the configuration sets one. */
#define TRANSACTION_IDLE_DEFAULT_US (3 * BC_US_PER_S)

/* Creates the statement engine of a proxy; NULL when out of memory. */
struct stm_engine *stm_create(struct bc_ctx *ctx, struct bc_timers *timers,
			      struct grp_state *groups, const struct stm_ops *ops, void *data)
{
	struct stm_engine *engine = calloc(1, sizeof(*engine));

	if (!engine)
		return NULL;
	if (apr_pool_create(&engine->apr, NULL) != APR_SUCCESS) {
		free(engine);
		return NULL;
	}
	engine->ctx = ctx;
	engine->timers = timers;
	engine->groups = groups;
	engine->ops = *ops;
	engine->data = data;
	engine->links = apr_hash_make(engine->apr);
	engine->waiters = apr_hash_make(engine->apr);
	engine->relayed = apr_hash_make(engine->apr);
	engine->peers = apr_hash_make(engine->apr);
	APR_RING_INIT(&engine->link_ring, stm_link, entry);
	APR_RING_INIT(&engine->sessions, stm_session, entry);
	engine->transaction_idle_us = TRANSACTION_IDLE_DEFAULT_US;
	engine->pool = stm_pool_create(engine);
	stm_watch_init(engine);
	return engine;
}

/* Frees all sessions and links; unanswered statements get no answer. NULL is allowed. */
void stm_destroy(struct stm_engine *engine)
{
	struct stm_session *session;
	struct stm_session *next_session;
	struct stm_link *link;
	struct stm_link *next_link;

	if (!engine)
		return;
	for (session = APR_RING_FIRST(&engine->sessions);
	     session != APR_RING_SENTINEL(&engine->sessions, stm_session, entry);
	     session = next_session) {
		next_session = APR_RING_NEXT(session, entry);
		stm_session_log_unanswered(session, "stopped", engine->now_us);
		if (session->link)
			session->link->owner = NULL;
		stm_session_free(session);
	}
	for (link = APR_RING_FIRST(&engine->link_ring);
	     link != APR_RING_SENTINEL(&engine->link_ring, stm_link, entry); link = next_link) {
		next_link = APR_RING_NEXT(link, entry);
		if (link->driver)
			engine->ops.link_close(engine->data, link);
		stm_link_free(link);
	}
	bc_timer_cancel(engine->timers, &engine->pool_timer);
	bc_timer_cancel(engine->timers, &engine->watch_timer);
	bc_timer_cancel(engine->timers, &engine->sample_timer);
	stm_relay_free(engine);
	pool_destroy(engine->pool);
	apr_pool_destroy(engine->apr);
	free(engine);
}

/*
 * Sets how many links this proxy may hold to an endpoint. No further link is opened while `running`
 * of them run a statement or are being opened; 0: no such limit.
 */
void stm_link_limits_set(struct stm_engine *engine, const struct grp_endpoint *endpoint,
			 uint32_t links, uint32_t running)
{
	pool_endpoint_set(engine->pool, endpoint->info.id, links);
	pool_running_max_set(engine->pool, endpoint->info.id, running);
}

/* Stops sending new work to an endpoint and closes its idle links. */
void stm_endpoint_retire(struct stm_engine *engine, const struct grp_endpoint *endpoint,
			 uint64_t now_us)
{
	engine->now_us = now_us;
	pool_endpoint_remove(engine->pool, endpoint->info.id, now_us);
}

/*
 * Sets the time after which a transaction is rolled back if its caller sends nothing; 0: the
 * default.
 */
void stm_transaction_idle_set(struct stm_engine *engine, uint64_t idle_us)
{
	engine->transaction_idle_us = idle_us ? idle_us : TRANSACTION_IDLE_DEFAULT_US;
}

/* Refuses statements that begin new work from now on. */
void stm_new_work_refuse(struct stm_engine *engine)
{
	engine->refuses_new_work = true;
}

/*
 * Whether the session has a statement that a stop has to answer. Other proxies learn from the loss
 * of the connection that a statement which was sent for them has no answer.
 */
static bool is_unanswered(const struct stm_session *session)
{
	if (session->phase == STM_PHASE_NONE)
		return false;
	return session->caller ||
	       (session->relayed && !session->begun && session->phase != STM_PHASE_RUNNING);
}

static struct stm_session *find_unanswered(const struct stm_engine *engine)
{
	struct stm_session *session = APR_RING_FIRST(&engine->sessions);

	while (session != APR_RING_SENTINEL(&engine->sessions, stm_session, entry)) {
		if (is_unanswered(session))
			return session;
		session = APR_RING_NEXT(session, entry);
	}
	return NULL;
}

/*
 * Answers all unanswered statements of callers, and those of other proxies that were not sent, and
 * refuses all further ones.
 */
void stm_stop(struct stm_engine *engine, uint64_t now_us)
{
	struct stm_session *session;
	uint32_t count = 0;

	engine->now_us = now_us;
	engine->refuses_new_work = true;
	engine->stopped = true;
	/* An answer may free its session, and give its link to another one. */
	while ((session = find_unanswered(engine))) {
		stm_run_stop(session, now_us);
		count++;
	}
	if (count)
		bc_log(engine->ctx, BC_LOG_WARN, "statements_stopped", "{s:i}", "count",
		       (int)count);
}

/* Current counts, for the status page, metrics and draining. */
struct stm_stats stm_stats_get(const struct stm_engine *engine)
{
	struct stm_stats stats = {engine->session_count, engine->transaction_count,
				  engine->busy_count, engine->link_count};

	return stats;
}
