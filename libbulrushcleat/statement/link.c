#include "statement/statement_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An abandoned link waits for its last results this long beyond its statement's timeout. */
#define ABANDONED_EXTRA_US (200 * BC_US_PER_MS)

static struct stm_link *link_find(const struct stm_engine *engine, const char *name)
{
	return apr_hash_get(engine->links, name, APR_HASH_KEY_STRING);
}

/* The first of all links, or NULL. */
struct stm_link *stm_link_first(const struct stm_engine *engine)
{
	return APR_RING_EMPTY(&engine->link_ring, stm_link, entry)
		       ? NULL
		       : APR_RING_FIRST(&engine->link_ring);
}

/* The link after this one, or NULL. */
struct stm_link *stm_link_next(const struct stm_link *link)
{
	struct stm_link *next = APR_RING_NEXT(link, entry);

	return next == APR_RING_SENTINEL(&link->engine->link_ring, stm_link, entry) ? NULL : next;
}

/* Frees the link without calling link_close(). */
void stm_link_free(struct stm_link *link)
{
	struct stm_engine *engine = link->engine;

	bc_timer_cancel(engine->timers, &link->abandon_timer);
	apr_hash_set(engine->links, link->name, APR_HASH_KEY_STRING, NULL);
	APR_RING_REMOVE(link, entry);
	engine->link_count--;
	while (link->pending_count) {
		link->pending_count--;
		if (link->remote)
			grp_relay_answered(link->endpoint, 0, false, 0);
		else if (link->endpoint->inflight)
			link->endpoint->inflight--;
	}
	if (!link->endpoint->inflight)
		link->endpoint->waiting_since_us = 0;
	grp_endpoint_unref(link->endpoint);
	stm_map_clear(&link->variables);
	stm_map_clear(&link->prepared);
	free(link);
}

static void on_abandon_timeout(void *data, uint64_t now_us)
{
	struct stm_link *link = data;

	bc_counter_add(link->engine->ctx, "bulrushcleat_links_abandoned_total", NULL, 1);
	stm_link_release(link, false, now_us);
}

/* Creates a link whose connection is not open yet; NULL when out of memory. */
struct stm_link *stm_link_create(struct stm_engine *engine, struct grp_endpoint *endpoint)
{
	struct stm_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->engine = engine;
	link->endpoint = endpoint;
	grp_endpoint_ref(endpoint);
	snprintf(link->name, sizeof(link->name), "%llu", (unsigned long long)++engine->last_link);
	bc_timer_init(&link->abandon_timer, on_abandon_timeout, link);
	apr_hash_set(engine->links, link->name, APR_HASH_KEY_STRING, link);
	APR_RING_INSERT_TAIL(&engine->link_ring, link, stm_link, entry);
	engine->link_count++;
	return link;
}

static void on_open(void *data, const char *endpoint_id, const char *account)
{
	struct stm_engine *engine = data;
	struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, endpoint_id);
	struct stm_link *link = endpoint ? stm_link_create(engine, endpoint) : NULL;

	if (!link) {
		pool_opened(engine->pool, endpoint_id, account, BC_EIO, NULL, engine->now_us);
		return;
	}
	snprintf(link->account, sizeof(link->account), "%s", account);
	bc_counter_add(engine->ctx, "bulrushcleat_links_opened_total", NULL, 1);
	engine->ops.link_open(engine->data, link, endpoint);
}

static void on_close(void *data, const char *endpoint_id, const char *connection)
{
	struct stm_engine *engine = data;
	struct stm_link *link = link_find(engine, connection);

	(void)endpoint_id;
	if (!link)
		return;
	if (link->driver)
		engine->ops.link_close(engine->data, link);
	stm_link_free(link);
}

static void on_granted(void *data, uint64_t waiter, const char *endpoint_id, const char *connection)
{
	struct stm_engine *engine = data;
	struct stm_session *session = apr_hash_get(engine->waiters, &waiter, sizeof(waiter));
	struct stm_link *link = link_find(engine, connection);

	(void)endpoint_id;
	link->lent = true;
	if (!session) {
		stm_link_release(link, true, engine->now_us);
		return;
	}
	apr_hash_set(engine->waiters, &session->waiter, sizeof(waiter), NULL);
	link->owner = session;
	session->link = link;
	stm_run_granted(session, link, engine->now_us);
}

static void on_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	struct stm_engine *engine = data;
	struct stm_session *session = apr_hash_get(engine->waiters, &waiter, sizeof(waiter));

	if (!session)
		return;
	apr_hash_set(engine->waiters, &session->waiter, sizeof(waiter), NULL);
	stm_run_rejected(session, status, engine->now_us);
}

/*
 * Counts the links to an endpoint that run a statement or are in their handshake. Links of
 * transactions that wait for their caller do not count.
 */
static uint32_t on_running(void *data, const char *endpoint_id)
{
	struct stm_engine *engine = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, endpoint_id);
	const struct stm_link *link;
	uint32_t running = 0;

	for (link = stm_link_first(engine); link; link = stm_link_next(link))
		running += !link->remote && link->endpoint == endpoint &&
			   (!link->opened || link->pending_count > 0);
	return running;
}

/* Creates the pool whose connections are the engine's links. */
struct pool_state *stm_pool_create(struct stm_engine *engine)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, on_running};

	return pool_create(engine->ctx, &ops, engine);
}

/* Handles the end of the handshake: the link is ready, or was refused with a code. */
void stm_link_opened(struct stm_link *link, enum sql_code code, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	char endpoint_id[BC_ID_BYTES];
	char account[BC_ID_BYTES];

	engine->now_us = now_us;
	snprintf(endpoint_id, sizeof(endpoint_id), "%s", link->endpoint->info.id);
	memcpy(account, link->account, sizeof(account));
	if (code == SQL_OK && !link->endpoint->removed) {
		link->opened = true;
		grp_answered(engine->groups, link->endpoint, 0, false, now_us);
		pool_opened(engine->pool, endpoint_id, account, BC_OK, link->name, now_us);
		return;
	}
	bc_log(engine->ctx, BC_LOG_WARN, "link_refused", "{s:s,s:s}", "endpoint", endpoint_id,
	       "code", sql_code_name(code));
	if (code == SQL_TOO_MANY_CONNECTIONS)
		bc_counter_add(engine->ctx, "bulrushcleat_endpoint_full_total",
			       "what=\"connection\"", 1);
	if (code == SQL_WRONG_ENDPOINT)
		grp_failed(engine->groups, link->endpoint, "wrong_endpoint", now_us);
	if (link->driver)
		engine->ops.link_close(engine->data, link);
	stm_link_free(link);
	pool_opened(engine->pool, endpoint_id, account,
		    code == SQL_TOO_MANY_CONNECTIONS ? BC_ELIMIT : BC_EIO, NULL, now_us);
}

/*
 * Handles the loss of a link's connection. The session that used it, if any, is told after the
 * pool.
 */
void stm_link_lost(struct stm_link *link, const char *reason, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct stm_session *owner = link->owner;
	char endpoint_id[BC_ID_BYTES];
	char account[BC_ID_BYTES];

	engine->now_us = now_us;
	link->driver = NULL;
	snprintf(endpoint_id, sizeof(endpoint_id), "%s", link->endpoint->info.id);
	memcpy(account, link->account, sizeof(account));
	if (!link->opened) {
		grp_failed(engine->groups, link->endpoint, reason, now_us);
		stm_link_free(link);
		pool_opened(engine->pool, endpoint_id, account, BC_EIO, NULL, now_us);
		return;
	}
	if (owner)
		owner->link = NULL;
	if (link->pending_count)
		grp_connection_broken(engine->groups, link->endpoint, reason, now_us);
	pool_connection_lost(engine->pool, endpoint_id, link->name, now_us);
	if (owner)
		stm_run_link_lost(owner, reason, now_us);
}

/* Appends a statement to the link's queue of pending results. */
void stm_link_push_pending(struct stm_link *link, enum stm_purpose purpose, uint64_t now_us)
{
	uint32_t slot = (link->pending_first + link->pending_count) % STM_PENDING_MAX;

	link->pending[slot] = (struct stm_pending){purpose, now_us};
	link->pending_count++;
}

/* Removes the oldest pending result, to which the next result belongs; false if none is pending. */
bool stm_link_pop_pending(struct stm_link *link, struct stm_pending *out)
{
	if (!link->pending_count)
		return false;
	*out = link->pending[link->pending_first];
	link->pending_first = (link->pending_first + 1) % STM_PENDING_MAX;
	link->pending_count--;
	return true;
}

/* Hands a statement to the driver. Results come in the order of their statements. */
void stm_link_submit(struct stm_link *link, const struct sql_statement *statement,
		     enum stm_purpose purpose, uint64_t now_us)
{
	stm_link_push_pending(link, purpose, now_us);
	grp_sent(link->endpoint, now_us);
	link->engine->ops.link_send(link->engine->data, link, statement);
}

/*
 * Name of a prepared statement on a link. It depends on the shape and on whether the statement
 * writes, so all sessions that prepare the same shape share it.
 */
void stm_link_prepared_name(const struct stm_map_entry *prepared, char out[SQL_NAME_BYTES + 2])
{
	snprintf(out, SQL_NAME_BYTES + 2, "%c%s", prepared->writes ? 'w' : 'r', prepared->value);
}

/* Whether the link has a variable that the session has not set. */
static bool has_foreign_variable(const struct stm_link *link, const struct stm_session *session)
{
	size_t i;

	for (i = 0; i < link->variables.count; i++)
		if (!stm_map_get(&session->variables, link->variables.entries[i].name))
			return true;
	return false;
}

static uint32_t set_up_variables(struct stm_link *link, struct stm_session *session,
				 uint64_t now_us)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < session->variables.count; i++) {
		const struct stm_map_entry *wanted = &session->variables.entries[i];
		const struct stm_map_entry *set = stm_map_get(&link->variables, wanted->name);
		struct sql_statement statement = {
			.verb = SQL_SET, .name = wanted->name, .value = wanted->value};

		if (set && strcmp(set->value, wanted->value) == 0)
			continue;
		if (!stm_map_set(&link->variables, wanted->name, wanted->value, false))
			link->needs_reset = true;
		stm_link_submit(link, &statement, STM_PURPOSE_SETUP, now_us);
		count++;
	}
	return count;
}

static uint32_t set_up_prepared(struct stm_link *link, struct stm_session *session, uint64_t now_us)
{
	const struct stm_map_entry *prepared =
		session->current.verb == SQL_EXECUTE
			? stm_map_get(&session->prepared, session->current.name)
			: NULL;
	struct sql_statement statement = {.verb = SQL_PREPARE};
	char name[SQL_NAME_BYTES + 2];

	if (!prepared)
		return 0;
	stm_link_prepared_name(prepared, name);
	if (stm_map_get(&link->prepared, name))
		return 0;
	statement.name = name;
	statement.value = prepared->value;
	statement.prepares_write = prepared->writes;
	if (!stm_map_set(&link->prepared, name, prepared->value, prepared->writes))
		link->needs_reset = true;
	stm_link_submit(link, &statement, STM_PURPOSE_SETUP, now_us);
	return 1;
}

/*
 * Brings the link into the session's state: sets its variables, and prepares the statement to be
 * executed. Returns the number of statements sent for that.
 */
uint32_t stm_link_set_up(struct stm_link *link, struct stm_session *session, uint64_t now_us)
{
	uint32_t count = 0;

	if (!link->in_transaction && (link->needs_reset || has_foreign_variable(link, session) ||
				      link->prepared.count >= STM_MAP_ENTRIES_MAX - 1)) {
		struct sql_statement discard = {.verb = SQL_DISCARD};

		stm_link_submit(link, &discard, STM_PURPOSE_SETUP, now_us);
		stm_map_clear(&link->variables);
		stm_map_clear(&link->prepared);
		link->needs_reset = false;
		count++;
	}
	count += set_up_variables(link, session, now_us);
	return count + set_up_prepared(link, session, now_us);
}

/*
 * Returns an abandoned link to the pool once no result is pending; an open transaction is rolled
 * back before.
 */
static void release_abandoned(struct stm_link *link, uint64_t now_us)
{
	struct sql_statement rollback = {.verb = SQL_ROLLBACK};

	if (link->pending_count)
		return;
	if (!link->in_transaction) {
		stm_link_release(link, true, now_us);
		return;
	}
	stm_link_submit(link, &rollback, STM_PURPOSE_ROLLBACK, now_us);
	link->engine->ops.link_flush(link->engine->data, link);
}

/*
 * Takes the link from its session. It returns to the pool after its pending results have come and
 * an open transaction is rolled back; it is closed if that has not happened by ABANDONED_EXTRA_US
 * after until_us.
 */
void stm_link_abandon(struct stm_link *link, uint64_t until_us, uint64_t now_us)
{
	if (link->remote) {
		stm_relay_abandon(link);
		return;
	}
	if (link->owner)
		link->owner->link = NULL;
	link->owner = NULL;
	bc_timer_set(link->engine->timers, &link->abandon_timer, until_us + ABANDONED_EXTRA_US);
	release_abandoned(link, now_us);
}

/* Returns the link to the pool; it is closed unless it is clean. */
void stm_link_release(struct stm_link *link, bool clean, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	char endpoint_id[BC_ID_BYTES];
	char name[POOL_CONNECTION_BYTES];

	if (link->remote) {
		stm_relay_abandon(link);
		return;
	}
	bc_timer_cancel(engine->timers, &link->abandon_timer);
	if (link->owner)
		link->owner->link = NULL;
	link->owner = NULL;
	link->lent = false;
	if (link->endpoint->removed || link->endpoint->info.leaving)
		clean = false;
	/* pool_release() may free the link. */
	snprintf(endpoint_id, sizeof(endpoint_id), "%s", link->endpoint->info.id);
	snprintf(name, sizeof(name), "%s", link->name);
	pool_release(engine->pool, endpoint_id, name, clean, now_us);
}

/* Handles a complete result, which belongs to the oldest pending statement. */
void stm_link_result(struct stm_link *link, const struct sql_result *result, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct grp_endpoint *endpoint = link->endpoint;
	struct stm_pending pending;

	engine->now_us = now_us;
	if (!stm_link_pop_pending(link, &pending)) {
		bc_log(engine->ctx, BC_LOG_ERROR, "result_unexpected", "{s:s}", "endpoint",
		       endpoint->info.id);
		stm_link_release(link, false, now_us);
		return;
	}
	link->in_transaction = result->state != SQL_IDLE;
	grp_answered(engine->groups, endpoint, now_us - pending.sent_us,
		     pending.purpose == STM_PURPOSE_RUN && result->code == SQL_OK, now_us);
	if (result->has_position)
		grp_reported(endpoint, result->position, now_us);
	if (pending.purpose == STM_PURPOSE_SETUP && result->code != SQL_OK)
		link->needs_reset = true;
	if (result->code == SQL_BUSY)
		bc_counter_add(engine->ctx, "bulrushcleat_endpoint_full_total",
			       "what=\"statement\"", 1);
	if (link->owner)
		stm_run_result(link->owner, link, &pending, result, now_us);
	else
		release_abandoned(link, now_us);
}

/* The account under whose name the connection is opened; empty: without an account. */
const char *stm_link_account(const struct stm_link *link)
{
	return link->account;
}

/* Attaches the driver's own data. */
void stm_link_set_driver(struct stm_link *link, void *driver)
{
	link->driver = driver;
}

/* The driver's own data. */
void *stm_link_driver(const struct stm_link *link)
{
	return link->driver;
}
