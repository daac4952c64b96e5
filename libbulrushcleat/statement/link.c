#include "statement/statement_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A lost answer keeps an abandoned link this long beyond its statement's timeout. */
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

/* Frees the link without telling the driver. */
void stm_link_free(struct stm_link *link)
{
	struct stm_engine *engine = link->engine;

	bc_timer_cancel(engine->timers, &link->abandoned);
	apr_hash_set(engine->links, link->name, APR_HASH_KEY_STRING, NULL);
	APR_RING_REMOVE(link, entry);
	engine->link_count--;
	while (link->expected_count) {
		link->expected_count--;
		if (link->remote)
			grp_answered_via(link->endpoint, 0, false, 0);
		else if (link->endpoint->inflight)
			link->endpoint->inflight--;
	}
	if (!link->endpoint->inflight)
		link->endpoint->waiting_us = 0;
	grp_endpoint_unuse(link->endpoint);
	stm_names_clear(&link->values);
	stm_names_clear(&link->prepared);
	free(link);
}

static void on_abandoned(void *data, uint64_t now_us)
{
	struct stm_link *link = data;

	bc_count(link->engine->ctx, "bulrushcleat_links_abandoned_total", NULL, 1);
	stm_link_release(link, false, now_us);
}

/* Creates a link that is not open; NULL when out of memory. */
struct stm_link *stm_link_create(struct stm_engine *engine, struct grp_endpoint *endpoint)
{
	struct stm_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->engine = engine;
	link->endpoint = endpoint;
	grp_endpoint_use(endpoint);
	snprintf(link->name, sizeof(link->name), "%llu", (unsigned long long)++engine->last_link);
	bc_timer_init(&link->abandoned, on_abandoned, link);
	apr_hash_set(engine->links, link->name, APR_HASH_KEY_STRING, link);
	APR_RING_INSERT_TAIL(&engine->link_ring, link, stm_link, entry);
	engine->link_count++;
	return link;
}

static void on_open(void *data, const char *endpoint_id)
{
	struct stm_engine *engine = data;
	struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, endpoint_id);
	struct stm_link *link = endpoint ? stm_link_create(engine, endpoint) : NULL;

	if (!link) {
		pool_opened(engine->pool, endpoint_id, BC_EIO, NULL, engine->now_us);
		return;
	}
	bc_count(engine->ctx, "bulrushcleat_links_opened_total", NULL, 1);
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
	stm_granted(session, link, engine->now_us);
}

static void on_rejected(void *data, uint64_t waiter, enum bc_status status)
{
	struct stm_engine *engine = data;
	struct stm_session *session = apr_hash_get(engine->waiters, &waiter, sizeof(waiter));

	if (!session)
		return;
	apr_hash_set(engine->waiters, &session->waiter, sizeof(waiter), NULL);
	stm_rejected(session, status, engine->now_us);
}

/* Links with a statement at the endpoint or in their handshake; paused transactions do not count.
 */
static uint32_t on_running(void *data, const char *endpoint_id)
{
	struct stm_engine *engine = data;
	const struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, endpoint_id);
	const struct stm_link *link;
	uint32_t running = 0;

	for (link = stm_link_first(engine); link; link = stm_link_next(link))
		running += !link->remote && link->endpoint == endpoint &&
			   (!link->opened || link->expected_count > 0);
	return running;
}

/* Creates the pool whose connections are the engine's links. */
struct pool_state *stm_pool_create(struct stm_engine *engine)
{
	static const struct pool_ops ops = {on_open, on_close, on_granted, on_rejected, on_running};

	return pool_create(engine->ctx, &ops, engine);
}

/* The link's connection is open, or was refused with a code. */
void stm_link_opened(struct stm_link *link, enum sql_code code, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	char endpoint_id[BC_ID_BYTES];

	engine->now_us = now_us;
	snprintf(endpoint_id, sizeof(endpoint_id), "%s", link->endpoint->info.id);
	if (code == SQL_OK && !link->endpoint->removed) {
		link->opened = true;
		grp_answered(engine->groups, link->endpoint, 0, false, now_us);
		pool_opened(engine->pool, endpoint_id, BC_OK, link->name, now_us);
		return;
	}
	bc_log(engine->ctx, BC_LOG_WARN, "link_refused", "{s:s,s:s}", "endpoint", endpoint_id,
	       "code", sql_code_name(code));
	if (code == SQL_WRONG_ENDPOINT)
		grp_failed(engine->groups, link->endpoint, "wrong_endpoint", now_us);
	if (link->driver)
		engine->ops.link_close(engine->data, link);
	stm_link_free(link);
	pool_opened(engine->pool, endpoint_id, code == SQL_CONNECTIONS ? BC_ELIMIT : BC_EIO, NULL,
		    now_us);
}

/* The connection is gone. Its session, if any, learns it after the link has been given back. */
void stm_link_lost(struct stm_link *link, const char *reason, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct stm_session *owner = link->owner;
	char endpoint_id[BC_ID_BYTES];

	engine->now_us = now_us;
	link->driver = NULL;
	snprintf(endpoint_id, sizeof(endpoint_id), "%s", link->endpoint->info.id);
	if (!link->opened) {
		grp_failed(engine->groups, link->endpoint, reason, now_us);
		stm_link_free(link);
		pool_opened(engine->pool, endpoint_id, BC_EIO, NULL, now_us);
		return;
	}
	if (owner)
		owner->link = NULL;
	if (link->expected_count)
		grp_connection_broke(engine->groups, link->endpoint, reason, now_us);
	pool_lost(engine->pool, endpoint_id, link->name, now_us);
	if (owner)
		stm_link_broke(owner, reason, now_us);
}

/* Notes that a result will come, after those of what was sent before. */
void stm_link_expect(struct stm_link *link, enum stm_purpose purpose, uint64_t now_us)
{
	uint32_t place = (link->expected_first + link->expected_count) % STM_EXPECTED_MAX;

	link->expected[place] = (struct stm_expected){purpose, now_us};
	link->expected_count++;
}

/* Takes what the result that has come belongs to; false if none was expected. */
bool stm_link_take_expected(struct stm_link *link, struct stm_expected *out)
{
	if (!link->expected_count)
		return false;
	*out = link->expected[link->expected_first];
	link->expected_first = (link->expected_first + 1) % STM_EXPECTED_MAX;
	link->expected_count--;
	return true;
}

/* Hands a statement to the driver; its result is expected after those sent before. */
void stm_link_submit(struct stm_link *link, const struct sql_statement *statement,
		     enum stm_purpose purpose, uint64_t now_us)
{
	stm_link_expect(link, purpose, now_us);
	grp_sent(link->endpoint, now_us);
	link->engine->ops.link_send(link->engine->data, link, statement);
}

/* Canonical name of a prepared statement on a link: one for each shape and use. */
void stm_link_prepared_name(const struct stm_name *prepared, char out[SQL_NAME_BYTES + 2])
{
	snprintf(out, SQL_NAME_BYTES + 2, "%c%s", prepared->writes ? 'w' : 'r', prepared->value);
}

/* Whether the link has a value that the session does not have. */
static bool has_foreign_value(const struct stm_link *link, const struct stm_session *session)
{
	size_t i;

	for (i = 0; i < link->values.count; i++)
		if (!stm_names_get(&session->values, link->values.items[i].name))
			return true;
	return false;
}

static uint32_t prepare_values(struct stm_link *link, struct stm_session *session, uint64_t now_us)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < session->values.count; i++) {
		const struct stm_name *wanted = &session->values.items[i];
		const struct stm_name *set = stm_names_get(&link->values, wanted->name);
		struct sql_statement statement = {
			.verb = SQL_SET, .name = wanted->name, .value = wanted->value};

		if (set && strcmp(set->value, wanted->value) == 0)
			continue;
		if (!stm_names_set(&link->values, wanted->name, wanted->value, false))
			link->uncertain = true;
		stm_link_submit(link, &statement, STM_PREAMBLE, now_us);
		count++;
	}
	return count;
}

static uint32_t prepare_name(struct stm_link *link, struct stm_session *session, uint64_t now_us)
{
	const struct stm_name *prepared =
		session->current.verb == SQL_EXECUTE
			? stm_names_get(&session->prepared, session->current.name)
			: NULL;
	struct sql_statement statement = {.verb = SQL_PREPARE};
	char name[SQL_NAME_BYTES + 2];

	if (!prepared)
		return 0;
	stm_link_prepared_name(prepared, name);
	if (stm_names_get(&link->prepared, name))
		return 0;
	statement.name = name;
	statement.value = prepared->value;
	statement.prepares_write = prepared->writes;
	if (!stm_names_set(&link->prepared, name, prepared->value, prepared->writes))
		link->uncertain = true;
	stm_link_submit(link, &statement, STM_PREAMBLE, now_us);
	return 1;
}

/*
 * Puts the session's values and the prepared name that it needs in place. Returns how many
 * statements were sent for that.
 */
uint32_t stm_link_prepare(struct stm_link *link, struct stm_session *session, uint64_t now_us)
{
	uint32_t count = 0;

	if (!link->in_transaction && (link->uncertain || has_foreign_value(link, session) ||
				      link->prepared.count >= STM_NAMES_MAX - 1)) {
		struct sql_statement discard = {.verb = SQL_DISCARD};

		stm_link_submit(link, &discard, STM_PREAMBLE, now_us);
		stm_names_clear(&link->values);
		stm_names_clear(&link->prepared);
		link->uncertain = false;
		count++;
	}
	count += prepare_values(link, session, now_us);
	return count + prepare_name(link, session, now_us);
}

/* Rolls back what is open and gives the link back, once nothing is outstanding. */
static void settle(struct stm_link *link, uint64_t now_us)
{
	struct sql_statement rollback = {.verb = SQL_ROLLBACK};

	if (link->expected_count)
		return;
	if (!link->in_transaction) {
		stm_link_release(link, true, now_us);
		return;
	}
	stm_link_submit(link, &rollback, STM_CLEANUP, now_us);
	link->engine->ops.link_flush(link->engine->data, link);
}

/*
 * Takes the link from its session. What is outstanding ends first, a transaction is rolled back,
 * then the link is lent on. It is closed if that has not happened a moment after until_us.
 */
void stm_link_abandon(struct stm_link *link, uint64_t until_us, uint64_t now_us)
{
	if (link->remote) {
		stm_relay_drop(link);
		return;
	}
	if (link->owner)
		link->owner->link = NULL;
	link->owner = NULL;
	bc_timer_set(link->engine->timers, &link->abandoned, until_us + ABANDONED_EXTRA_US);
	settle(link, now_us);
}

/* Gives the link back to the pool; it is closed unless it is clean. */
void stm_link_release(struct stm_link *link, bool clean, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	char endpoint_id[BC_ID_BYTES];
	char name[POOL_CONNECTION_BYTES];

	if (link->remote) {
		stm_relay_drop(link);
		return;
	}
	bc_timer_cancel(engine->timers, &link->abandoned);
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

/* A whole result of the statement sent first of those outstanding. */
void stm_link_result(struct stm_link *link, const struct sql_result *result, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	struct grp_endpoint *endpoint = link->endpoint;
	struct stm_expected expected;

	engine->now_us = now_us;
	if (!stm_link_take_expected(link, &expected)) {
		bc_log(engine->ctx, BC_LOG_ERROR, "result_unexpected", "{s:s}", "endpoint",
		       endpoint->info.id);
		stm_link_release(link, false, now_us);
		return;
	}
	link->in_transaction = result->state != SQL_IDLE;
	grp_answered(engine->groups, endpoint, now_us - expected.sent_us,
		     expected.purpose == STM_RUN && result->code == SQL_OK, now_us);
	if (result->has_position)
		grp_reported(endpoint, result->position, now_us);
	if (expected.purpose == STM_PREAMBLE && result->code != SQL_OK)
		link->uncertain = true;
	if (link->owner)
		stm_run_result(link->owner, link, &expected, result, now_us);
	else
		settle(link, now_us);
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
