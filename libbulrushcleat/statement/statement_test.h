#ifndef BC_STATEMENT_TEST_H
#define BC_STATEMENT_TEST_H

/*
 * Test rig: an engine over fake links. What the engine does is recorded as text, which the test
 * compares; the test supplies the results. Times are in milliseconds from an arbitrary start.
 */

#include "statement/statement.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS BC_US_PER_MS
#define START (1000 * BC_US_PER_S)
#define LINKS_MAX 64
#define RIG_RETRY_AFTER_US (250 * MS)

struct rig {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct grp_state *groups;
	struct stm_engine *engine;
	struct stm_route route;
	struct stm_session *session;
	uint64_t now_us;
	char events[8192];		   /* what the engine did since the last RIG_EXPECT */
	struct stm_link *links[LINKS_MAX]; /* in the order of opening; link n is at n - 1 */
	uint32_t link_count;
	uint32_t unavailable_count;
	const char *relay; /* relay of all endpoints; NULL: the engine connects itself */
	struct rig *peer;
	const char *name;
	bool open_at_once;
	uint64_t delay_us; /* of replies to the peer */
	char message[128]; /* of the last answer */
	struct acc_table *accounts;
	enum sql_code refusal; /* of the last session that was not opened */
	enum stm_admission admission;
	uint64_t waiter; /* of the last admission asked for */
};

static inline void rig_record(struct rig *rig, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static inline void rig_record(struct rig *rig, const char *format, ...)
{
	size_t used = strlen(rig->events);
	va_list args;

	va_start(args, format);
	vsnprintf(rig->events + used, sizeof(rig->events) - used, format, args);
	va_end(args);
}

static inline uint32_t rig_link_number(struct rig *rig, const struct stm_link *link)
{
	uint32_t i;

	for (i = 0; i < rig->link_count; i++)
		if (rig->links[i] == link)
			return i + 1;
	return 0;
}

static inline void rig_on_answer(void *data, void *caller, const struct sql_result *result)
{
	struct rig *rig = data;

	(void)caller;
	snprintf(rig->message, sizeof(rig->message), "%s", result->message ? result->message : "");
	rig_record(rig, "answer:%s%s%s%c ", sql_code_name(result->code),
		   result->signature ? ":" : "", result->signature ? result->signature : "",
		   "ITE"[result->state]);
}

static inline void rig_on_open(void *data, struct stm_link *link,
			       const struct grp_endpoint *endpoint)
{
	struct rig *rig = data;

	rig->links[rig->link_count++] = link;
	stm_link_set_driver(link, rig);
	rig_record(rig, "open:%s ", endpoint->info.id);
}

static inline void rig_on_send(void *data, struct stm_link *link,
			       const struct sql_statement *statement)
{
	struct rig *rig = data;

	rig_record(rig, "%u<%s", rig_link_number(rig, link), sql_verb_name(statement->verb));
	if (statement->name)
		rig_record(rig, ":%s", statement->name);
	if (statement->has_after)
		rig_record(rig, "@%llu.%llu", (unsigned long long)statement->after.term,
			   (unsigned long long)statement->after.pos);
	rig_record(rig, " ");
}

static inline void rig_on_flush(void *data, struct stm_link *link)
{
	(void)data;
	(void)link;
}

static inline void rig_on_close(void *data, struct stm_link *link)
{
	struct rig *rig = data;

	rig_record(rig, "close:%u ", rig_link_number(rig, link));
}

static inline const struct stm_route *rig_on_route(void *data, const char *database)
{
	struct rig *rig = data;

	return strcmp(database, rig->route.database) == 0 ? &rig->route : NULL;
}

static inline bool rig_has_accounts(void *data)
{
	const struct rig *rig = data;

	return rig->accounts != NULL;
}

static inline const struct acc_account *rig_account(void *data, const struct acc_digest *key)
{
	const struct rig *rig = data;

	return acc_find_key(rig->accounts, key);
}

static inline enum stm_admission rig_on_admit(void *data, const char *account, uint32_t priority,
					      uint64_t wait_until_us, uint64_t waiter,
					      uint64_t *retry_after_us, uint64_t now_us)
{
	struct rig *rig = data;

	rig->waiter = waiter;
	*retry_after_us = RIG_RETRY_AFTER_US;
	rig_record(rig, "admit:%s:%u:%llu ", account, priority,
		   (unsigned long long)((wait_until_us - now_us) / MS));
	return rig->admission;
}

static inline void rig_on_admission_cancel(void *data, uint64_t waiter)
{
	struct rig *rig = data;

	rig_record(rig, "cancel%s ", waiter == rig->waiter ? "" : ":wrong");
}

static inline void rig_on_leader_unavailable(void *data, struct grp_group *group, uint64_t now_us)
{
	struct rig *rig = data;

	(void)group;
	(void)now_us;
	rig->unavailable_count++;
}

static inline const char *rig_choose_relay(void *data, const struct grp_endpoint *endpoint,
					   uint64_t now_us)
{
	struct rig *rig = data;

	(void)endpoint;
	(void)now_us;
	return rig->relay;
}

static inline void rig_on_order(void *data, const char *proxy, const struct sql_order *order)
{
	static const char *const kinds[] = {"run", "end", "probe"};
	struct rig *rig = data;

	rig_record(rig, "order:%s ", kinds[order->kind]);
	if (rig->peer && strcmp(proxy, rig->peer->name) == 0)
		stm_order(rig->peer->engine, rig->name, order, rig->peer->now_us);
}

static inline void rig_on_reply(void *data, const char *proxy, const struct sql_reply *reply)
{
	struct rig *rig = data;

	rig_record(rig, "reply:%s ", sql_code_name(reply->result.code));
	if (rig->peer && strcmp(proxy, rig->peer->name) == 0)
		stm_reply(rig->peer->engine, rig->name, reply, rig->peer->now_us + rig->delay_us);
}

static inline void rig_on_relay_answered(void *data, const char *proxy, uint64_t sent_us,
					 uint64_t now_us)
{
	(void)data;
	(void)proxy;
	(void)sent_us;
	(void)now_us;
}

static inline void rig_on_relay_failed(void *data, const char *proxy,
				       const struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct rig *rig = data;

	(void)now_us;
	rig_record(rig, "proxy_failed:%s%s ", proxy, endpoint ? ":endpoint" : "");
	rig->relay = NULL;
}

static inline void rig_on_work_ended(void *data, uint64_t now_us)
{
	(void)data;
	(void)now_us;
}

static inline void rig_on_endpoint_added(void *data, struct grp_endpoint *endpoint)
{
	struct rig *rig = data;

	if (rig->engine)
		stm_link_limits_set(rig->engine, endpoint, 4, 0);
}

static inline void rig_on_endpoint_gone(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
	struct rig *rig = data;

	if (rig->engine)
		stm_endpoint_retire(rig->engine, endpoint, now_us);
}

static inline void rig_on_leader_changed(void *data, struct grp_group *group, uint64_t now_us)
{
	(void)now_us;
	(void)data;
	(void)group;
}

static inline void rig_endpoint(struct rig *rig, const char *id, const char *domain, bool leads)
{
	struct grp_info info = {.slots = 2, .reports_lead = leads, .started_ms = 1};

	snprintf(info.id, sizeof(info.id), "%s", id);
	snprintf(info.group, sizeof(info.group), "jobs");
	snprintf(info.address, sizeof(info.address), "10.0.0.1:%d", id[0]);
	snprintf(info.domain, sizeof(info.domain), "%s", domain);
	snprintf(info.region, sizeof(info.region), "here");
	grp_endpoint_set(rig->groups, &info, rig->now_us);
}

/*
 * Creates a proxy whose group has the leader "a" and the replicas "b" (same failure domain) and
 * "c".
 */
static inline void rig_create(struct rig *rig, const char *name, enum stm_consistency consistency)
{
	static const struct stm_ops ops = {
		.answer = rig_on_answer,
		.link_open = rig_on_open,
		.link_send = rig_on_send,
		.link_flush = rig_on_flush,
		.link_close = rig_on_close,
		.route = rig_on_route,
		.has_accounts = rig_has_accounts,
		.account = rig_account,
		.admit = rig_on_admit,
		.admission_cancel = rig_on_admission_cancel,
		.leader_unavailable = rig_on_leader_unavailable,
		.choose_relay = rig_choose_relay,
		.choose_sample_relay = rig_choose_relay,
		.order_send = rig_on_order,
		.reply_send = rig_on_reply,
		.relay_failed = rig_on_relay_failed,
		.relay_answered = rig_on_relay_answered,
		.work_ended = rig_on_work_ended,
	};
	static const struct grp_ops group_ops = {rig_on_endpoint_added, rig_on_endpoint_gone,
						 rig_on_leader_changed};

	memset(rig, 0, sizeof(*rig));
	rig->name = name;
	rig->now_us = START;
	rig->ctx = bc_ctx_create(1);
	rig->timers = bc_timers_create();
	rig->groups = grp_create(rig->ctx, "home", "here", &group_ops, rig);
	grp_set(rig->groups, "jobs", 16, 0);
	rig->engine = stm_create(rig->ctx, rig->timers, rig->groups, &ops, rig);
	rig_endpoint(rig, "a", "next", true);
	grp_endpoint_find(rig->groups, "a")->caught_up = true;
	rig_endpoint(rig, "b", "home", false);
	rig_endpoint(rig, "c", "other", false);
	rig->route = (struct stm_route){.database = "db",
					.group = "jobs",
					.consistency = consistency,
					.timeout_us = 800 * MS,
					.target_us = 400 * MS,
					.max_age_us = 1500 * MS};
	rig->session = stm_session_open(rig->engine, "db", NULL, rig, &rig->refusal);
}

static inline void rig_destroy(struct rig *rig)
{
	stm_destroy(rig->engine);
	rig->engine = NULL;
	grp_destroy(rig->groups);
	bc_timers_destroy(rig->timers);
	bc_ctx_destroy(rig->ctx);
	acc_destroy(rig->accounts);
}

/* Puts accounts in force; each has its name as its only key. */
static inline void rig_accounts_set(struct rig *rig, const char *const *names, size_t count)
{
	struct acc_account account = {0};
	struct acc_digest key;
	size_t i;

	acc_destroy(rig->accounts);
	rig->accounts = acc_create();
	for (i = 0; i < count; i++) {
		snprintf(account.name, sizeof(account.name), "%s", names[i]);
		acc_digest_key(names[i], &key);
		acc_add(rig->accounts, &account);
		acc_add_key(rig->accounts, names[i], &key);
	}
}

/* Replaces the rig's session by that of a caller with a key, or without one (NULL). */
static inline void rig_session_open(struct rig *rig, const char *key)
{
	struct acc_digest digest;

	if (key)
		acc_digest_key(key, &digest);
	stm_session_close(rig->session, "test", rig->now_us);
	rig->session =
		stm_session_open(rig->engine, "db", key ? &digest : NULL, rig, &rig->refusal);
}

static inline void rig_advance(struct rig *rig, uint64_t ms)
{
	rig->now_us += ms * MS;
	bc_timers_run(rig->timers, rig->now_us);
}

static inline void rig_query(struct rig *rig, enum sql_verb verb, const char *name,
			     const char *value)
{
	struct sql_statement statement = {
		.verb = verb, .id = "1", .text = "text", .name = name, .value = value};

	stm_query(rig->session, &statement, rig->now_us);
}

static inline void rig_prepare(struct rig *rig, const char *name, const char *shape, bool writes)
{
	struct sql_statement statement = {.verb = SQL_PREPARE,
					  .id = "1",
					  .text = "text",
					  .name = name,
					  .value = shape,
					  .prepares_write = writes};

	stm_query(rig->session, &statement, rig->now_us);
}

/* Answers the oldest pending statement of a link. A successful result has a signature. */
static inline void rig_result(struct rig *rig, uint32_t link, enum sql_code code,
			      enum sql_state state, uint64_t term, uint64_t number)
{
	struct sql_result result = {.code = code,
				    .signature = code == SQL_OK ? "sig" : NULL,
				    .state = state,
				    .has_position = term != 0,
				    .position = {term, number}};

	stm_link_result(rig->links[link - 1], &result, rig->now_us);
}

static inline void rig_opened(struct rig *rig, uint32_t link)
{
	stm_link_opened(rig->links[link - 1], SQL_OK, rig->now_us);
}

/* Compares what was recorded since the last comparison, and clears the record. */
#define RIG_EXPECT(rig, text)                                                                      \
	do {                                                                                       \
		if (strcmp((rig)->events, text) != 0)                                              \
			printf("\n%s:%d: got      \"%s\"\n  expected \"%s\"\n", __func__,          \
			       __LINE__, (rig)->events, text);                                     \
		CU_ASSERT_STRING_EQUAL((rig)->events, text);                                       \
		(rig)->events[0] = '\0';                                                           \
	} while (0)

#endif
