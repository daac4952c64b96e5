#include "statement/statement_internal.h"

#include <stdlib.h>
#include <string.h>

/* How often outstanding statements are checked for silence. */
#define WATCH_US (50 * BC_US_PER_MS)
/* The deadlines of waiting statements are kept this exactly. */
#define POOL_BUSY_US (10 * BC_US_PER_MS)
/* Without waiters only idle links are closed, after POOL_IDLE_US. */
#define POOL_IDLE_TICK_US (500 * BC_US_PER_MS)
/* The leader is asked for its position when traffic has not told it for this long. */
#define SAMPLE_AGE_US (500 * BC_US_PER_MS)
#define SAMPLE_CHECK_US (250 * BC_US_PER_MS)
/* Positions are kept up for groups that were read within this time. */
#define SAMPLE_INTEREST_US (3 * BC_US_PER_S)
/* A position that comes later than the next question is of no use. */
#define SAMPLE_TIMEOUT_US (500 * BC_US_PER_MS)

/* Whether the link's statement went elsewhere; the link may be gone then. */
static bool check_link(struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct grp_endpoint *endpoint = link->endpoint;

	if (!link->owner || !link->expected_count)
		return false;
	if (link->remote)
		return stm_relay_check(link, now_us);
	if (!endpoint->suspect && !grp_is_silent(endpoint, now_us))
		return false;
	if (!endpoint->suspect) {
		grp_failed(engine->groups, endpoint, "silent", now_us);
		if (endpoint->group->leader == endpoint)
			engine->ops.leader_missed(engine->data, endpoint->group, now_us);
	}
	return stm_reroute(link->owner, "silent", now_us);
}

/* Checks all links up to the first one whose statement goes elsewhere; false if none does. */
static bool check_links(struct stm_engine *engine, bool *outstanding, uint64_t now_us)
{
	struct stm_link *link;

	*outstanding = false;
	for (link = stm_link_first(engine); link; link = stm_link_next(link)) {
		*outstanding |= link->expected_count > 0;
		if (check_link(link, now_us))
			return true;
	}
	return false;
}

/* Looks for endpoints and proxies that do not answer. */
static void on_watch(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	bool outstanding = true;
	uint32_t left = engine->busy_count;

	engine->now_us = now_us;
	/* A statement that goes elsewhere changes the ring, so the look begins anew. */
	while (check_links(engine, &outstanding, now_us) && left-- > 0)
		continue;
	if (outstanding)
		bc_timer_set(engine->timers, &engine->watch_timer, now_us + WATCH_US);
}

/* Watches what has been sent. */
void stm_watch_start(struct stm_engine *engine, uint64_t now_us)
{
	if (!bc_timer_is_set(&engine->watch_timer))
		bc_timer_set(engine->timers, &engine->watch_timer, now_us + WATCH_US);
	stm_sample_want(engine, now_us);
}

static void on_pool_due(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	bool busy;

	engine->now_us = now_us;
	pool_tick(engine->pool, now_us);
	busy = apr_hash_count(engine->waiters) > 0;
	bc_timer_set(engine->timers, &engine->pool_timer,
		     now_us + (busy ? POOL_BUSY_US : POOL_IDLE_TICK_US));
}

/* Someone waits for a link. */
void stm_pool_due(struct stm_engine *engine, uint64_t now_us)
{
	bc_timer_advance(engine->timers, &engine->pool_timer, now_us + POOL_BUSY_US);
}

static struct stm_session *internal_create(struct stm_engine *engine, struct grp_group *group,
					   enum sql_verb verb, uint64_t timeout_us, uint64_t now_us)
{
	struct stm_session *session = stm_session_create(engine, NULL);

	if (!session)
		return NULL;
	memcpy(session->route.group, group->name, sizeof(session->route.group));
	session->route.timeout_us = timeout_us;
	session->route.target_us = timeout_us;
	session->current.verb = verb;
	session->from_us = now_us;
	session->deadline_us = now_us + timeout_us;
	session->phase = STM_PHASE_WAITING;
	engine->busy_count++;
	bc_timer_set(engine->timers, &session->timer, session->deadline_us);
	return session;
}

static void sample(struct stm_engine *engine, struct grp_group *group, uint64_t now_us)
{
	/* A leader that does not answer is asked directly: that finds out when it does again. */
	const char *via = group->leader && !group->leader->suspect
				  ? engine->ops.sample_via(engine->data, group->leader, now_us)
				  : NULL;
	struct stm_session *session;

	if (via) {
		stm_proxy_ask(engine, via, group->leader, now_us);
		return;
	}
	session = internal_create(engine, group, SQL_BEGIN, SAMPLE_TIMEOUT_US, now_us);
	if (!session)
		return;
	session->sampling = true;
	bc_count(engine->ctx, "bulrushcleat_samples_total", NULL, 1);
	stm_run(session, now_us);
}

/* Asks the leaders whose position is needed and has not been told by traffic. */
static void on_sample(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	struct grp_sample newest;
	struct grp_group *group;
	bool interest = false;

	engine->now_us = now_us;
	for (group = grp_group_first(engine->groups); group;
	     group = grp_group_next(engine->groups, group)) {
		if (!group->wanted_us || now_us - group->wanted_us > SAMPLE_INTEREST_US)
			continue;
		interest = true;
		if (grp_newest_sample(group, &newest) && now_us - newest.sent_us < SAMPLE_AGE_US &&
		    !(group->leader && group->leader->suspect))
			continue;
		sample(engine, group, now_us);
	}
	if (interest)
		bc_timer_set(engine->timers, &engine->sample_timer, now_us + SAMPLE_CHECK_US);
}

/* Reads may need positions. */
void stm_sample_want(struct stm_engine *engine, uint64_t now_us)
{
	if (!bc_timer_is_set(&engine->sample_timer))
		bc_timer_set(engine->timers, &engine->sample_timer, now_us + SAMPLE_CHECK_US);
}

/* Sends an endpoint a statement that is answered by its status. `done` is called once. */
static void endpoint_ask(struct stm_engine *engine, struct grp_endpoint *endpoint,
			 enum sql_verb verb, uint64_t term, uint64_t timeout_us, stm_status_fn done,
			 void *data, uint64_t now_us)
{
	struct stm_session *session =
		internal_create(engine, endpoint->group, verb, timeout_us, now_us);

	engine->now_us = now_us;
	if (!session) {
		done(data, endpoint->info.id, SQL_BUSY, NULL, now_us);
		return;
	}
	/* It has no place in the pool any more; the link is closed after the answer. */
	if (endpoint->info.leaving)
		stm_allowance_set(engine, endpoint, 1, 0);
	session->current.term = term;
	session->status_done = done;
	session->status_data = data;
	session->fixed_endpoint = endpoint;
	grp_endpoint_use(endpoint);
	bc_count(engine->ctx, "bulrushcleat_status_calls_total", NULL, 1);
	stm_run(session, now_us);
}

/* Asks an endpoint for its status. */
void stm_status_ask(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t timeout_us,
		    stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_ask(engine, endpoint, SQL_STATUS, 0, timeout_us, done, data, now_us);
}

/* Tells a copy to receive nothing more. */
void stm_replication_pause(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t term,
			   uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_ask(engine, endpoint, SQL_PAUSE_REPLICATION, term, timeout_us, done, data, now_us);
}

/* Tells a copy to receive again. */
void stm_replication_resume(struct stm_engine *engine, struct grp_endpoint *endpoint,
			    uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_ask(engine, endpoint, SQL_RESUME_REPLICATION, 0, timeout_us, done, data, now_us);
}

/* Prepares the timers. */
void stm_watch_init(struct stm_engine *engine)
{
	bc_timer_init(&engine->pool_timer, on_pool_due, engine);
	bc_timer_init(&engine->watch_timer, on_watch, engine);
	bc_timer_init(&engine->sample_timer, on_sample, engine);
}
