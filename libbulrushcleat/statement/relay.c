#include "statement/statement_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A relay that owes an answer is sent a probe after this much silence, and is given up after twice
 * as much.
 */
#define PROBE_AFTER_US (200 * BC_US_PER_MS)
#define RELAY_KEY_BYTES (BC_ID_BYTES + 24)

static void relay_key(const char *proxy, uint64_t stream, char out[RELAY_KEY_BYTES])
{
	snprintf(out, RELAY_KEY_BYTES, "%s %llu", proxy, (unsigned long long)stream);
}

static struct stm_peer *peer_get(struct stm_engine *engine, const char *proxy)
{
	struct stm_peer *peer = apr_hash_get(engine->peers, proxy, APR_HASH_KEY_STRING);

	if (peer)
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	snprintf(peer->proxy, sizeof(peer->proxy), "%s", proxy);
	apr_hash_set(engine->peers, peer->proxy, APR_HASH_KEY_STRING, peer);
	return peer;
}

/* Frees the state kept for other proxies. */
void stm_relay_free(struct stm_engine *engine)
{
	apr_hash_index_t *it;

	while ((it = apr_hash_first(NULL, engine->peers))) {
		struct stm_peer *peer = apr_hash_this_val(it);

		apr_hash_set(engine->peers, peer->proxy, APR_HASH_KEY_STRING, NULL);
		free(peer);
	}
}

/* --- Origin: sends orders --- */

/*
 * Gives the session a link through a relay, and sends the statement. The link itself needs no
 * message.
 */
void stm_relay_acquire(struct stm_session *session, const char *relay, uint64_t now_us)
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
	snprintf(link->relay, sizeof(link->relay), "%s", relay);
	link->owner = session;
	session->link = link;
	stm_relay_run(session, link, now_us);
}

static size_t text_bytes(const char *text)
{
	return text ? strlen(text) : 0;
}

/* Whether an order can hold the session's statement and variables. */
bool stm_relay_fits(const struct stm_session *session)
{
	const struct sql_statement *statement = &session->current;
	size_t bytes = text_bytes(statement->id) + text_bytes(statement->text) +
		       text_bytes(statement->name) + text_bytes(statement->value);
	size_t i;

	for (i = 0; i < session->variables.count; i++)
		bytes += text_bytes(session->variables.entries[i].name) +
			 text_bytes(session->variables.entries[i].value);
	return bytes <= SQL_ORDER_TEXT_MAX_BYTES;
}

static uint32_t ms_rounded_up(uint64_t us)
{
	return (uint32_t)(us / BC_US_PER_MS) + 1;
}

/*
 * Sends the session's statement to the relay, with the parts of the session's state that it needs.
 */
void stm_relay_run(struct stm_session *session, struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	const struct stm_map_entry *prepared =
		session->current.verb == SQL_EXECUTE
			? stm_map_get(&session->prepared, session->current.name)
			: NULL;
	struct sql_variable values[SQL_VARIABLES_MAX];
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
		.guard = session->choice.prove_leader,
		.timeout_ms = ms_rounded_up(session->deadline_us - now_us),
		.target_ms = ms_rounded_up(session->route.target_us),
		.priority = session->route.priority,
		.account = session->account[0] ? session->account : NULL,
		.variables = values,
	};
	size_t i;

	for (i = 0; i < session->variables.count && i < SQL_VARIABLES_MAX; i++)
		values[i] = (struct sql_variable){session->variables.entries[i].name,
						  session->variables.entries[i].value};
	order.variable_count = (uint32_t)i;
	if (!session->begun) {
		order.statement.has_after = session->choice.has_position;
		order.statement.after = session->choice.position;
	}
	session->phase = STM_PHASE_RUNNING;
	session->sent_us = now_us;
	link->probe_sent = false;
	stm_link_push_pending(link, STM_PURPOSE_RUN, now_us);
	grp_relay_sent(link->endpoint);
	bc_counter_add(engine->ctx, "bulrushcleat_orders_sent_total", NULL, 1);
	engine->ops.order_send(engine->data, link->relay, &order);
	stm_watch_start(engine, now_us);
}

/* Abandons the link. The relay rolls back what is still open there. */
void stm_relay_abandon(struct stm_link *link)
{
	struct stm_engine *engine = link->engine;
	struct sql_order order = {.kind = SQL_ORDER_END, .stream = link->stream};

	if (link->owner)
		link->owner->link = NULL;
	if (link->pending_count || link->in_transaction)
		engine->ops.order_send(engine->data, link->relay, &order);
	stm_link_free(link);
}

/*
 * Sends a probe, which asks whether the proxy is alive and for a sample of the endpoint's group.
 * Its answer is reported by ops->relay_answered.
 */
void stm_proxy_probe(struct stm_engine *engine, const char *proxy,
		     const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct sql_order order = {
		.kind = SQL_ORDER_PROBE, .sent_us = now_us, .endpoint_id = endpoint->info.id};

	bc_counter_add(engine->ctx, "bulrushcleat_probes_sent_total", NULL, 1);
	engine->ops.order_send(engine->data, proxy, &order);
}

/*
 * Checks whether the relay is silent while it owes an answer. Returns true if the statement was
 * sent elsewhere; the link is invalid then.
 */
bool stm_relay_check_silence(struct stm_link *link, uint64_t now_us)
{
	struct stm_engine *engine = link->engine;
	const struct stm_peer *peer = apr_hash_get(engine->peers, link->relay, APR_HASH_KEY_STRING);
	uint64_t since_us;

	since_us = link->pending[link->pending_first].sent_us;
	if (peer && peer->last_reply_us > since_us)
		since_us = peer->last_reply_us;
	if (now_us - since_us < PROBE_AFTER_US) {
		link->probe_sent = false;
		return false;
	}
	if (!link->probe_sent) {
		link->probe_sent = true;
		stm_proxy_probe(engine, link->relay, link->endpoint, now_us);
		return false;
	}
	if (now_us - since_us < 2 * PROBE_AFTER_US)
		return false;
	engine->ops.relay_failed(engine->data, link->relay, NULL, now_us);
	return stm_reroute(link->owner, "proxy_silent", now_us);
}

/* Finds the link of a stream. A remote link's name is the number of its stream. */
static struct stm_link *find_stream_link(const struct stm_engine *engine, const char *proxy,
					 uint64_t stream)
{
	char name[POOL_CONNECTION_BYTES];
	struct stm_link *link;

	snprintf(name, sizeof(name), "%llu", (unsigned long long)stream);
	link = apr_hash_get(engine->links, name, APR_HASH_KEY_STRING);
	return link && link->remote && strcmp(link->relay, proxy) == 0 ? link : NULL;
}

static void record_sample(struct grp_group *group, const struct sql_reply *reply)
{
	uint64_t age_us = (uint64_t)reply->sample_age_ms * BC_US_PER_MS;

	if (reply->has_sample && reply->order_sent_us > age_us)
		grp_peer_sample(group, reply->sample, reply->order_sent_us - age_us);
}

/* Handles the answer to an order. */
void stm_reply(struct stm_engine *engine, const char *proxy, const struct sql_reply *reply,
	       uint64_t now_us)
{
	struct stm_peer *peer = peer_get(engine, proxy);
	struct stm_link *link = find_stream_link(engine, proxy, reply->stream);
	struct stm_pending pending;
	struct stm_session *session;

	engine->now_us = now_us;
	if (peer)
		peer->last_reply_us = now_us;
	if (!link) {
		struct grp_endpoint *leader =
			reply->result.message
				? grp_endpoint_find(engine->groups, reply->result.message)
				: NULL;

		if (!reply->stream)
			engine->ops.relay_answered(engine->data, proxy, reply->order_sent_us,
						   now_us);
		/* The answer to a probe has the id of the probed endpoint as its message. */
		if (!reply->stream && leader)
			record_sample(leader->group, reply);
		return;
	}
	session = link->owner;
	if (!stm_link_pop_pending(link, &pending) || !session)
		return;
	engine->ops.relay_answered(engine->data, proxy, pending.sent_us, now_us);
	grp_relay_answered(link->endpoint, now_us - pending.sent_us, reply->result.code == SQL_OK,
			   now_us);
	record_sample(link->endpoint->group, reply);
	link->in_transaction = reply->result.state == SQL_IN_TRANSACTION;
	if (reply->result.has_position)
		grp_reported(link->endpoint, reply->result.position, now_us);
	if (reply->endpoint_lost) {
		engine->ops.relay_failed(engine->data, proxy, link->endpoint, now_us);
		stm_run_not_received(session, now_us);
		return;
	}
	if (session->state == SQL_IN_TRANSACTION && !session->begun && !link->in_transaction &&
	    reply->result.code != SQL_OK) {
		stm_run_setup_failed(session, link, &reply->result, now_us);
		return;
	}
	if (session->state == SQL_IN_TRANSACTION)
		session->begun = true;
	stm_run_result(session, link, &pending, &reply->result, now_us);
}

/* Whether the loss of the proxy ends the link. */
static bool is_lost_with_proxy(const struct stm_link *link, const char *proxy, bool unsent)
{
	if (!link->remote || strcmp(link->relay, proxy) != 0)
		return false;
	/* A transaction that waits for its caller has no unanswered order, so it can go on. */
	return !unsent || link->pending_count;
}

/* Frees the links through a lost proxy and tells their sessions. */
static void end_links_through(struct stm_engine *engine, const char *proxy, bool unsent,
			      uint64_t now_us)
{
	struct stm_link *link = APR_RING_FIRST(&engine->link_ring);

	while (link != APR_RING_SENTINEL(&engine->link_ring, stm_link, entry)) {
		struct stm_session *owner = link->owner;

		if (!is_lost_with_proxy(link, proxy, unsent)) {
			link = APR_RING_NEXT(link, entry);
			continue;
		}
		if (owner)
			owner->link = NULL;
		stm_link_free(link);
		if (owner && unsent)
			stm_run_not_received(owner, now_us);
		else if (owner)
			stm_run_link_lost(owner, "proxy_lost", now_us);
		/* The session may have changed the ring. */
		link = APR_RING_FIRST(&engine->link_ring);
	}
}

/* --- Relay: runs orders --- */

static struct stm_session *find_relayed(const struct stm_engine *engine, const char *proxy,
					uint64_t stream)
{
	char key[RELAY_KEY_BYTES];

	relay_key(proxy, stream, key);
	return apr_hash_get(engine->relayed, key, APR_HASH_KEY_STRING);
}

/* Removes a relayed session from the hash, which refers to the key stored in the session. */
void stm_relay_remove(struct stm_session *session)
{
	apr_hash_set(session->engine->relayed, session->relay_key, APR_HASH_KEY_STRING, NULL);
}

static void add_sample(const struct grp_group *group, struct sql_reply *reply,
		       uint64_t order_received_us)
{
	struct grp_sample sample;

	if (!grp_newest_sample(group, &sample))
		return;
	reply->has_sample = true;
	reply->sample = sample.position;
	/* A sample that is newer than the order has age 0. */
	reply->sample_age_ms = order_received_us > sample.sent_us
				       ? ms_rounded_up(order_received_us - sample.sent_us)
				       : 0;
}

/*
 * Sends the result of a stream's statement to the origin. The stream ends unless its transaction is
 * open.
 */
void stm_relay_answer(struct stm_session *session, const struct sql_result *result,
		      bool endpoint_lost, uint64_t now_us)
{
	struct stm_engine *engine = session->engine;
	struct sql_reply reply = {.stream = session->stream,
				  .order_sent_us = session->order_sent_us,
				  .result = *result,
				  .endpoint_lost = endpoint_lost};
	bool open = session->begun && session->state == SQL_IN_TRANSACTION;

	if (result->rows_bytes > SQL_REPLY_ROWS_MAX_BYTES) {
		reply.result.code = SQL_TOO_LARGE;
		reply.result.message = "the rows are too long to be relayed";
		reply.result.signature = NULL;
		reply.result.rows = NULL;
		reply.result.rows_bytes = 0;
	}
	if (!open && !session->begun && session->state == SQL_IN_TRANSACTION)
		reply.result.state = SQL_IDLE;
	add_sample(session->fixed_endpoint->group, &reply, session->order_received_us);
	engine->ops.reply_send(engine->data, session->origin, &reply);
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
		/* The proxy that probes has readers of this group. */
		endpoint->group->sample_wanted_us = now_us;
		stm_sample_start(engine, now_us);
		add_sample(endpoint->group, &reply, now_us);
	}
	engine->ops.reply_send(engine->data, proxy, &reply);
}

static struct stm_session *relayed_session_create(struct stm_engine *engine, const char *proxy,
						  const struct sql_order *order,
						  struct grp_endpoint *endpoint)
{
	struct stm_session *session = stm_session_create(engine, NULL);

	if (!session)
		return NULL;
	session->relayed = true;
	session->stream = order->stream;
	snprintf(session->origin, sizeof(session->origin), "%s", proxy);
	relay_key(proxy, order->stream, session->relay_key);
	apr_hash_set(engine->relayed, session->relay_key, APR_HASH_KEY_STRING, session);
	session->fixed_endpoint = endpoint;
	grp_endpoint_ref(endpoint);
	snprintf(session->route.group, sizeof(session->route.group), "%s", endpoint->group->name);
	snprintf(session->route.database, sizeof(session->route.database), "%s",
		 endpoint->group->name);
	snprintf(session->database, sizeof(session->database), "%s", endpoint->group->name);
	/* The origin has checked the key; the configuration here may not have the account yet. */
	snprintf(session->account, sizeof(session->account), "%s",
		 order->account ? order->account : "");
	if (order->in_transaction)
		stm_transaction_begin(session, order->read_only);
	return session;
}

/*
 * Copies the variables, the prepared statement and the statement of an order to the session; false
 * if there are too many or memory is exhausted.
 */
static bool load_order(struct stm_session *session, const struct sql_order *order)
{
	struct sql_statement statement = order->statement;
	bool changed = session->begun && order->variable_count != session->variables.count;
	uint32_t i;

	if (!session->begun)
		stm_map_clear(&session->variables);
	for (i = 0; i < order->variable_count; i++)
		if (!stm_map_set(&session->variables, order->variables[i].name,
				 order->variables[i].value, false))
			return false;
	session->variables_changed |= changed;
	if (order->shape && statement.name &&
	    !stm_map_set(&session->prepared, statement.name, order->shape, order->shape_writes))
		return false;
	if (!statement.value)
		statement.value = "";
	statement.has_after = false;
	return stm_statement_copy(session, &statement);
}

static void run_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
		      uint64_t now_us)
{
	struct stm_session *session = find_relayed(engine, proxy, order->stream);
	struct grp_endpoint *endpoint = grp_endpoint_find(engine->groups, order->endpoint_id);

	/*
	 * The origin and this proxy must agree on whether the stream's transaction is open, and a
	 * stream runs one order at a time.
	 */
	if (order->begun != (session && session->begun) || (session && stm_session_busy(session))) {
		refuse_order(engine, proxy, order, SQL_ABORTED, false);
		return;
	}
	if (!session && engine->refuses_new_work) {
		refuse_order(engine, proxy, order, SQL_BUSY, true);
		return;
	}
	if (!session && endpoint)
		session = relayed_session_create(engine, proxy, order, endpoint);
	if (!session) {
		refuse_order(engine, proxy, order, SQL_BUSY, true);
		return;
	}
	session->order_sent_us = order->sent_us;
	session->order_received_us = now_us;
	session->writes = order->writes;
	session->route.timeout_us = (uint64_t)order->timeout_ms * BC_US_PER_MS;
	session->route.target_us = (uint64_t)order->target_ms * BC_US_PER_MS;
	session->route.priority = order->priority;
	session->order_choice = (struct grp_choice){.prove_leader = order->guard,
						    .has_position = order->statement.has_after,
						    .position = order->statement.after};
	if (!load_order(session, order)) {
		refuse_order(engine, proxy, order, SQL_BUSY, false);
		stm_session_close(session, "order_refused", now_us);
		return;
	}
	stm_statement_start(session, now_us);
}

/* Handles an order of another proxy. */
void stm_order(struct stm_engine *engine, const char *proxy, const struct sql_order *order,
	       uint64_t now_us)
{
	engine->now_us = now_us;
	bc_counter_add(engine->ctx, "bulrushcleat_orders_received_total", NULL, 1);
	if (order->kind == SQL_ORDER_PROBE)
		answer_probe(engine, proxy, order, now_us);
	else if (order->kind == SQL_ORDER_END)
		stm_session_close(find_relayed(engine, proxy, order->stream), "ended_by_origin",
				  now_us);
	else
		run_order(engine, proxy, order, now_us);
}

/*
 * Handles the loss of the connection to another proxy: ends the links through it and its streams
 * here.
 */
void stm_proxy_lost(struct stm_engine *engine, const char *proxy, bool unsent, uint64_t now_us)
{
	struct stm_session *session = APR_RING_FIRST(&engine->sessions);

	engine->now_us = now_us;
	end_links_through(engine, proxy, unsent, now_us);
	while (session != APR_RING_SENTINEL(&engine->sessions, stm_session, entry)) {
		struct stm_session *next = APR_RING_NEXT(session, entry);

		if (session->relayed && strcmp(session->origin, proxy) == 0)
			stm_session_close(session, "proxy_lost", now_us);
		session = next;
	}
}
