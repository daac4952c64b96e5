#include "statement/statement_internal.h"

#include <stdlib.h>
#include <string.h>

/* How often links with pending results are checked for silence. */
#define WATCH_INTERVAL_US (50 * BC_US_PER_MS)
/* Interval of the pool's ticks while sessions wait for a link; limits how late they time out. */
#define TICK_WAITING_US (10 * BC_US_PER_MS)
/* Their interval without waiters: a tick then only closes links idle for POOL_IDLE_US. */
#define TICK_IDLE_US (500 * BC_US_PER_MS)
/* The leader is asked for its position if traffic has not shown it for this long. */
#define SAMPLE_MAX_AGE_US (500 * BC_US_PER_MS)
/* How often the age of the newest samples is checked. */
#define SAMPLE_INTERVAL_US (250 * BC_US_PER_MS)
/* Samples are taken for groups that were read within this time. */
#define SAMPLE_INTEREST_US (3 * BC_US_PER_S)
/* A sample that comes after the next one was requested is of no use. */
#define SAMPLE_TIMEOUT_US (500 * BC_US_PER_MS)

/*
 * Checks a link for silence. Returns true if its statement was sent elsewhere; the link may be
 * invalid then.
 */
static bool check_link(struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct grp_endpoint *endpoint = link->endpoint;

	if (!link->owner || !link->pending_count)
		return false;
	if (link->remote)
		return stm_relay_check_silence(link, now_us);
	if (!endpoint->suspect && !grp_is_silent(endpoint, now_us))
		return false;
	if (!endpoint->suspect) {
		grp_failed(engine->groups, endpoint, "silent", now_us);
		if (endpoint->group->leader == endpoint)
			engine->ops.leader_unavailable(engine->data, endpoint->group, now_us);
	}
	return stm_reroute(link->owner, "silent", now_us);
}

/*
 * Checks all links up to the first one whose statement is sent elsewhere; false if there is none.
 */
static bool check_links(struct stm_engine *engine, bool *any_pending, uint64_t now_us)
{
	struct stm_link *link;

	*any_pending = false;
	for (link = stm_link_first(engine); link; link = stm_link_next(link)) {
		*any_pending |= link->pending_count > 0;
		if (check_link(link, now_us))
			return true;
	}
	return false;
}

/* Checks all links for endpoints and proxies that do not answer. */
static void on_watch(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	bool any_pending = true;
	uint32_t remaining = engine->busy_count;

	engine->now_us = now_us;
	/* A statement that is sent elsewhere changes the ring, so the check starts again. */
	while (check_links(engine, &any_pending, now_us) && remaining-- > 0)
		continue;
	if (any_pending)
		bc_timer_set(engine->timers, &engine->watch_timer, now_us + WATCH_INTERVAL_US);
}

/* Starts the checks for silence after a statement was sent. */
void stm_watch_start(struct stm_engine *engine, uint64_t now_us)
{
	if (!bc_timer_is_set(&engine->watch_timer))
		bc_timer_set(engine->timers, &engine->watch_timer, now_us + WATCH_INTERVAL_US);
	stm_sample_start(engine, now_us);
}

static void on_pool_tick(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	bool waiting;

	engine->now_us = now_us;
	pool_tick(engine->pool, now_us);
	waiting = apr_hash_count(engine->waiters) > 0;
	bc_timer_set(engine->timers, &engine->pool_timer,
		     now_us + (waiting ? TICK_WAITING_US : TICK_IDLE_US));
}

/* Schedules the pool's next tick soon, since a session waits for a link. */
void stm_pool_schedule(struct stm_engine *engine, uint64_t now_us)
{
	bc_timer_reduce(engine->timers, &engine->pool_timer, now_us + TICK_WAITING_US);
}

static struct stm_session *internal_session_create(struct stm_engine *engine,
						   struct grp_group *group, enum sql_verb verb,
						   uint64_t timeout_us, uint64_t now_us)
{
	struct stm_session *session = stm_session_create(engine, NULL);

	if (!session)
		return NULL;
	memcpy(session->route.group, group->name, sizeof(session->route.group));
	session->route.timeout_us = timeout_us;
	session->route.target_us = timeout_us;
	session->current.verb = verb;
	session->started_us = now_us;
	session->deadline_us = now_us + timeout_us;
	session->phase = STM_PHASE_WAITING;
	engine->busy_count++;
	bc_timer_set(engine->timers, &session->timer, session->deadline_us);
	return session;
}

static void sample_leader(struct stm_engine *engine, struct grp_group *group, uint64_t now_us)
{
	/* A leader that does not answer is asked directly, to find out when it answers again. */
	const char *proxy =
		group->leader && !group->leader->suspect
			? engine->ops.choose_sample_relay(engine->data, group->leader, now_us)
			: NULL;
	struct stm_session *session;

	if (proxy) {
		stm_proxy_probe(engine, proxy, group->leader, now_us);
		return;
	}
	session = internal_session_create(engine, group, SQL_BEGIN, SAMPLE_TIMEOUT_US, now_us);
	if (!session)
		return;
	session->sampling = true;
	bc_counter_add(engine->ctx, "bulrushcleat_samples_total", NULL, 1);
	stm_run(session, now_us);
}

/* Takes a sample of each group that is being read and whose newest sample is too old. */
static void on_sample(void *data, uint64_t now_us)
{
	struct stm_engine *engine = data;
	struct grp_sample newest;
	struct grp_group *group;
	bool interest = false;

	engine->now_us = now_us;
	for (group = grp_group_first(engine->groups); group;
	     group = grp_group_next(engine->groups, group)) {
		if (!group->sample_wanted_us ||
		    now_us - group->sample_wanted_us > SAMPLE_INTEREST_US)
			continue;
		interest = true;
		if (grp_newest_sample(group, &newest) &&
		    now_us - newest.sent_us < SAMPLE_MAX_AGE_US &&
		    !(group->leader && group->leader->suspect))
			continue;
		sample_leader(engine, group, now_us);
	}
	if (interest)
		bc_timer_set(engine->timers, &engine->sample_timer, now_us + SAMPLE_INTERVAL_US);
}

/* Starts taking samples, since reads may need them. */
void stm_sample_start(struct stm_engine *engine, uint64_t now_us)
{
	if (!bc_timer_is_set(&engine->sample_timer))
		bc_timer_set(engine->timers, &engine->sample_timer, now_us + SAMPLE_INTERVAL_US);
}

/* Sends an endpoint a statement that it answers with its status. `done` is called once. */
static void endpoint_request(struct stm_engine *engine, struct grp_endpoint *endpoint,
			     enum sql_verb verb, uint64_t term, uint64_t timeout_us,
			     stm_status_fn done, void *data, uint64_t now_us)
{
	struct stm_session *session =
		internal_session_create(engine, endpoint->group, verb, timeout_us, now_us);

	engine->now_us = now_us;
	if (!session) {
		done(data, endpoint->info.id, SQL_BUSY, NULL, now_us);
		return;
	}
	/* The pool has dropped the endpoint; allow one link, which is closed after the answer. */
	if (endpoint->info.leaving)
		stm_link_limits_set(engine, endpoint, 1, 0);
	session->current.term = term;
	session->status_done = done;
	session->status_data = data;
	session->fixed_endpoint = endpoint;
	grp_endpoint_ref(endpoint);
	bc_counter_add(engine->ctx, "bulrushcleat_status_calls_total", NULL, 1);
	stm_run(session, now_us);
}

/* Asks an endpoint for its status. */
void stm_status_request(struct stm_engine *engine, struct grp_endpoint *endpoint,
			uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_request(engine, endpoint, SQL_STATUS, 0, timeout_us, done, data, now_us);
}

/* Stops the replication to a replica. */
void stm_replication_pause(struct stm_engine *engine, struct grp_endpoint *endpoint, uint64_t term,
			   uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_request(engine, endpoint, SQL_PAUSE_REPLICATION, term, timeout_us, done, data,
			 now_us);
}

/* Resumes the replication to a replica. */
void stm_replication_resume(struct stm_engine *engine, struct grp_endpoint *endpoint,
			    uint64_t timeout_us, stm_status_fn done, void *data, uint64_t now_us)
{
	endpoint_request(engine, endpoint, SQL_RESUME_REPLICATION, 0, timeout_us, done, data,
			 now_us);
}

/* Initializes the timers, which are not set yet. */
void stm_watch_init(struct stm_engine *engine)
{
	bc_timer_init(&engine->pool_timer, on_pool_tick, engine);
	bc_timer_init(&engine->watch_timer, on_watch, engine);
	bc_timer_init(&engine->sample_timer, on_sample, engine);
}
