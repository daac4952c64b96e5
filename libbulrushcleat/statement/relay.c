#include "statement/statement_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A proxy that is silent this long is asked for a sign of life, and given up on after as much. */
#define PROBE_US (200 * BC_US_PER_MS)
#define KEY_BYTES (BC_ID_BYTES + 24)

static void relay_key(const char *proxy, uint64_t stream, char out[KEY_BYTES])
{
	snprintf(out, KEY_BYTES, "%s %llu", proxy, (unsigned long long)stream);
}

static struct stm_via *via_get(struct stm_engine *engine, const char *proxy)
{
	struct stm_via *via = apr_hash_get(engine->vias, proxy, APR_HASH_KEY_STRING);

	if (via)
		return via;
	via = calloc(1, sizeof(*via));
	if (!via)
		return NULL;
	snprintf(via->proxy, sizeof(via->proxy), "%s", proxy);
	apr_hash_set(engine->vias, via->proxy, APR_HASH_KEY_STRING, via);
	return via;
}

/* Frees what is known of other proxies. */
void stm_relay_free(struct stm_engine *engine)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, engine->vias))) {
		struct stm_via *via = apr_hash_this_val(it);

		apr_hash_set(engine->vias, via->proxy, APR_HASH_KEY_STRING, NULL);
		free(via);
	}
}

/* --- The side that asks --- */

/* Gives the session a link through another proxy; nothing is sent for that. */
void stm_relay_acquire(struct stm_session *session, const char *via, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct stm_link *link = stm_link_create(engine, session->choice.endpoint);

	if (!link) {
		stm_refuse(session, "out_of_memory", now_us);
		return;
	}
	link->remote = true;
	link->opened = true;
	link->lent = true;
	link->stream = engine->last_link;
	snprintf(link->via, sizeof(link->via), "%s", via);
	link->owner = session;
	session->link = link;
	stm_relay_run(session, link, now_us);
}

static uint32_t whole_ms(uint64_t us)
{
	return (uint32_t)(us / BC_US_PER_MS) + 1;
}

/* Sends the session's statement, with what it needs of the session, to the other proxy. */
void stm_relay_run(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	const struct stm_name *prepared =
		session->current.verb == SQL_EXECUTE
			? stm_names_get(&session->prepared, session->current.name)
			: NULL;
	struct sql_value values[SQL_VALUES_MAX];
	struct sql_order order = {
		.kind = SQL_ORDER_RUN,
		.stream = link->stream,
		.sent_us = now_us,
		.endpoint_id = link->endpoint->info.id,
		.statement = session->current,
		.shape = prepared ? prepared->value : NULL,
		.shape_writes = prepared && prepared->writes,
		.in_transaction = session->state == SQL_IN_TRANSACTION,
		.begun = session->begun,
		.read_only = session->read_only,
		.writes = session->writes,
		.guard = session->choice.guard,
		.timeout_ms = whole_ms(session->deadline_us - now_us),
		.target_ms = whole_ms(session->route.target_us),
		.priority = session->route.priority,
		.values = values,
	};
	size_t i;

	for (i = 0; i < session->values.count && i < SQL_VALUES_MAX; i++)
		values[i] = (struct sql_value){session->values.items[i].name,
					       session->values.items[i].value};
	order.value_count = (uint32_t)i;
	if (!session->begun) {
		order.statement.has_after = session->choice.has_after;
		order.statement.after = session->choice.after;
	}
	session->phase = STM_PHASE_RUNNING;
	session->sent_us = now_us;
	link->probed = false;
	stm_link_expect(link, STM_RUN, now_us);
	grp_sent_via(link->endpoint);
	bc_count(engine->ctx, "bulrushcleat_orders_sent_total", NULL, 1);
	engine->ops.order_send(engine->data, link->via, &order);
	stm_watch_start(engine, now_us);
}

/* Gives the link up. The other proxy ends what is still open there. */
void stm_relay_drop(struct stm_link *link)
{
	struct stm_engine *engine = link->engine;
	struct sql_order order = {.kind = SQL_ORDER_END, .stream = link->stream};

	if (link->owner)
		link->owner->link = NULL;
	if (link->expected_count || link->in_transaction)
		engine->ops.order_send(engine->data, link->via, &order);
	stm_link_free(link);
}

/*
 * Asks another proxy for a sign of life, of which ops->via_answered tells, and for a sample of the
 * endpoint's group.
 */
void stm_proxy_ask(struct stm_engine *engine, const char *proxy,
		   const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct sql_order order = {
		.kind = SQL_ORDER_PROBE, .sent_us = now_us, .endpoint_id = endpoint->info.id};

	bc_count(engine->ctx, "bulrushcleat_probes_sent_total", NULL, 1);
	engine->ops.order_send(engine->data, proxy, &order);
}

/*
 * Looks whether the other proxy is silent while it owes an answer. Whether the statement went
 * elsewhere, and the link is gone.
 */
bool stm_relay_check(struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	const struct stm_via *via = apr_hash_get(engine->vias, link->via, APR_HASH_KEY_STRING);
	uint64_t since_us;

	since_us = link->expected[link->expected_first].sent_us;
	if (via && via->heard_us > since_us)
		since_us = via->heard_us;
	if (now_us - since_us < PROBE_US) {
		link->probed = false;
		return false;
	}
	if (!link->probed) {
		link->probed = true;
		stm_proxy_ask(engine, link->via, link->endpoint, now_us);
		return false;
	}
	if (now_us - since_us < 2 * PROBE_US)
		return false;
	engine->ops.via_failed(engine->data, link->via, NULL, now_us);
	return stm_reroute(link->owner, "proxy_silent", now_us);
}

/* The link of a stream; its number is the stream's. */
static struct stm_link *find_stream(const struct stm_engine *engine, const char *proxy,
				    uint64_t stream)
{
	char name[POOL_CONNECTION_BYTES];
	struct stm_link *link;

	snprintf(name, sizeof(name), "%llu", (unsigned long long)stream);
	link = apr_hash_get(engine->links, name, APR_HASH_KEY_STRING);
	return link && link->remote && strcmp(link->via, proxy) == 0 ? link : NULL;
}

static void take_sample(struct grp_group *group, const struct sql_reply *reply)
{
	uint64_t age_us = (uint64_t)reply->sample_age_ms * BC_US_PER_MS;

	if (reply->has_sample && reply->order_sent_us > age_us)
		grp_sample_told(group, reply->sample, reply->order_sent_us - age_us);
}

/* An answer to an order. */
void stm_reply(struct stm_engine *engine, const char *proxy, const struct sql_reply *reply,
	       uint64_t now_us)
{
	struct stm_via *via = via_get(engine, proxy);
	struct stm_link *link = find_stream(engine, proxy, reply->stream);
	struct stm_expected expected;
	struct stm_session *session;

	engine->now_us = now_us;
	if (via)
		via->heard_us = now_us;
	if (!link) {
		struct grp_endpoint *leader =
			reply->result.message
				? grp_endpoint_find(engine->groups, reply->result.message)
				: NULL;

		if (!reply->stream)
			engine->ops.via_answered(engine->data, proxy, reply->order_sent_us, now_us);
		/* The answer to a probe names the endpoint that it was about. */
		if (!reply->stream && leader)
			take_sample(leader->group, reply);
		return;
	}
	session = link->owner;
	if (!stm_link_take_expected(link, &expected) || !session)
		return;
	engine->ops.via_answered(engine->data, proxy, expected.sent_us, now_us);
	grp_answered_via(link->endpoint, now_us - expected.sent_us, reply->result.code == SQL_OK,
			 now_us);
	take_sample(link->endpoint->group, reply);
	link->in_transaction = reply->result.state == SQL_IN_TRANSACTION;
	if (reply->result.has_position)
		grp_reported(link->endpoint, reply->result.position, now_us);
	if (reply->endpoint_lost) {
		engine->ops.via_failed(engine->data, proxy, link->endpoint, now_us);
		stm_link_broke_unsent(session, now_us);
		return;
	}
	if (session->state == SQL_IN_TRANSACTION && !session->begun && !link->in_transaction &&
	    reply->result.code != SQL_OK) {
		stm_run_failed(session, link, &reply->result, now_us);
		return;
	}
	if (session->state == SQL_IN_TRANSACTION)
		session->begun = true;
	stm_run_result(session, link, &expected, &reply->result, now_us);
}

/* Whether the loss of the proxy ends the use of the link. */
static bool is_lost(const struct stm_link *link, const char *proxy, bool unsent)
{
	if (!link->remote || strcmp(link->via, proxy) != 0)
		return false;
	/* A transaction between two statements has nothing that was not sent. */
	return !unsent || link->expected_count;
}

/* Ends the use of links through a proxy that is gone. */
static void links_lost(struct stm_engine *engine, const char *proxy, bool unsent, uint64_t now_us)
{
	struct stm_link *link = APR_RING_FIRST(&engine->link_ring);

	while (link != APR_RING_SENTINEL(&engine->link_ring, stm_link, entry)) {
		struct stm_session *owner = link->owner;

		if (!is_lost(link, proxy, unsent)) {
			link = APR_RING_NEXT(link, entry);
			continue;
		}
		if (owner)
			owner->link = NULL;
		stm_link_free(link);
		if (owner && unsent)
			stm_link_broke_unsent(owner, now_us);
		else if (owner)
			stm_link_broke(owner, "proxy_lost", now_us);
		/* What the session does next may have changed the ring. */
		link = APR_RING_FIRST(&engine->link_ring);
	}
}

/* --- The side that runs --- */

static struct stm_session *find_relayed(const struct stm_engine *engine, const char *proxy,
					uint64_t stream)
{
	char key[KEY_BYTES];

	relay_key(proxy, stream, key);
	return apr_hash_get(engine->relayed, key, APR_HASH_KEY_STRING);
}

/* Takes a stream's session out of the index; the key is the session's own memory. */
void stm_relay_forget(struct stm_session *session)
{
	apr_hash_set(session->engine->relayed, session->relay_key, APR_HASH_KEY_STRING, NULL);
}

static void add_sample(const struct grp_group *group, struct sql_reply *reply, uint64_t order_us)
{
	struct grp_sample sample;

	if (!grp_newest_sample(group, &sample))
		return;
	reply->has_sample = true;
	reply->sample = sample.position;
	/* A sample from after the order's arrival counts as one of that moment. */
	reply->sample_age_ms = order_us > sample.sent_us ? whole_ms(order_us - sample.sent_us) : 0;
}

/* Sends the result of a stream's statement; the stream ends unless its transaction is open. */
void stm_relay_answer(struct stm_session *session, const struct sql_result *result,
		      bool endpoint_lost, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct sql_reply reply = {.stream = session->stream,
				  .order_sent_us = session->order_sent_us,
				  .result = *result,
				  .endpoint_lost = endpoint_lost};
	bool open = session->begun && session->state == SQL_IN_TRANSACTION;

	if (!open && !session->begun && session->state == SQL_IN_TRANSACTION)
		reply.result.state = SQL_IDLE;
	add_sample(session->fixed_endpoint->group, &reply, session->order_us);
	engine->ops.reply_send(engine->data, session->via, &reply);
	if (open)
		return;
	if (session->link)
		stm_link_abandon(session->link, session->deadline_us, now_us);
	stm_session_free(session);
	engine->ops.work_ended(engine->data, now_us);
}

static void refuse_order(struct stm_engine *engine, const char *proxy,
			 const struct sql_order *order, enum sql_code code, bool endpoint_lost)
{
	struct sql_reply reply = {.stream = order->stream,
				  .result = {.code = code, .message = "no such stream or endpoint"},
				  .endpoint_lost = endpoint_lost};

	if (order->in_transaction && order->begun)
		reply.result.state = SQL_FAILED_TRANSACTION;
	engine->ops.reply_send(engine->data, proxy, &reply);
}

static void answer_probe(struct stm_engine *engine, const char *proxy,
			 const struct sql_order *order, uint64_t now_us)
{
	struct grp_endpoint *endpoint =
		order->endpoint_id ? grp_endpoint_find(engine->groups, order->endpoint_id) : NULL;
	struct sql_reply reply = {.order_sent_us = order->sent_us,
				  .result = {.message = order->endpoint_id}};

	if (endpoint) {
		/* The asking proxy has readers of this group. */
		endpoint->group->wanted_us = now_us;
		stm_sample_want(engine, now_us);
		add_sample(endpoint->group, &reply, now_us);
	}
	engine->ops.reply_send(engine->data, proxy, &reply);
}

static struct stm_session *relayed_create(struct stm_engine *engine, const char *proxy,
					  const struct sql_order *order,
					  struct grp_endpoint *endpoint)
{
	struct stm_session *session = stm_session_create(engine, NULL);

	if (!session)
		return NULL;
	session->relayed = true;
	session->stream = order->stream;
	snprintf(session->via, sizeof(session->via), "%s", proxy);
	relay_key(proxy, order->stream, session->relay_key);
	apr_hash_set(engine->relayed, session->relay_key, APR_HASH_KEY_STRING, session);
	session->fixed_endpoint = endpoint;
	grp_endpoint_use(endpoint);
	snprintf(session->route.group, sizeof(session->route.group), "%s", endpoint->group->name);
	snprintf(session->route.database, sizeof(session->route.database), "%s",
		 endpoint->group->name);
	snprintf(session->database, sizeof(session->database), "%s", endpoint->group->name);
	if (order->in_transaction)
		stm_transaction_begin(session, order->read_only);
	return session;
}

/* Takes over the session's values and the prepared statement of an order. */
static bool take_context(struct stm_session *session, const struct sql_order *order)
{
	struct sql_statement statement = order->statement;
	bool changed = session->begun && order->value_count != session->values.count;
	uint32_t i;

	if (!session->begun)
		stm_names_clear(&session->values);
	for (i = 0; i < order->value_count; i++)
		if (!stm_names_set(&session->values, order->values[i].name, order->values[i].value,
				   false))
			return false;
	session->values_changed |= changed;
	if (order->shape && statement.name &&
	    !stm_names_set(&session->prepared, statement.name, order->shape, order->shape_writes))
		return false;
	if (!statement.value)
		statement.value = "";
	statement.has_after = false;
	return stm_statement_keep(session, &statement);
}

static void run_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
		      uint64_t now_us)
{
	struct stm_session *session = find_relayed(engine, proxy, order->stream);
	struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, order->endpoint_id);

	/* A stream goes on only with its transaction, a new one has none yet. */
	if (order->begun != (session && session->begun) || (session && stm_session_busy(session))) {
		refuse_order(engine, proxy, order, SQL_ABORTED, false);
		return;
	}
	if (!session && endpoint)
		session = relayed_create(engine, proxy, order, endpoint);
	if (!session) {
		refuse_order(engine, proxy, order, SQL_BUSY, true);
		return;
	}
	session->order_sent_us = order->sent_us;
	session->order_us = now_us;
	session->writes = order->writes;
	session->route.timeout_us = (uint64_t)order->timeout_ms * BC_US_PER_MS;
	session->route.target_us = (uint64_t)order->target_ms * BC_US_PER_MS;
	session->route.priority = order->priority;
	session->given = (struct grp_choice){.guard = order->guard,
					     .has_after = order->statement.has_after,
					     .after = order->statement.after};
	if (!take_context(session, order)) {
		refuse_order(engine, proxy, order, SQL_BUSY, false);
		stm_session_close(session, now_us);
		return;
	}
	stm_start(session, now_us);
}

/* An order of another proxy. */
void stm_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
	       uint64_t now_us)
{
	engine->now_us = now_us;
	bc_count(engine->ctx, "bulrushcleat_orders_received_total", NULL, 1);
	if (order->kind == SQL_ORDER_PROBE)
		answer_probe(engine, proxy, order, now_us);
	else if (order->kind == SQL_ORDER_END)
		stm_session_close(find_relayed(engine, proxy, order->stream), now_us);
	else
		run_order(engine, proxy, order, now_us);
}

/* The connection to another proxy is gone: so are its streams, and those through it. */
void stm_proxy_lost(struct stm_engine *engine, const char *proxy, bool unsent, uint64_t now_us)
{
	struct stm_session *session = APR_RING_FIRST(&engine->sessions);

	engine->now_us = now_us;
	links_lost(engine, proxy, unsent, now_us);
	while (session != APR_RING_SENTINEL(&engine->sessions, stm_session, entry)) {
		struct stm_session *next = APR_RING_NEXT(session, entry);

		if (session->relayed && strcmp(session->via, proxy) == 0)
			stm_session_close(session, now_us);
		session = next;
	}
}
