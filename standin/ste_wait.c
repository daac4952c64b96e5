#include "standin/ste_endpoint.h"

#include <stdlib.h>

#define ANSWER_MAX_ENTRIES 500U
#define ANSWER_MAX_BYTES ((size_t)1024 * 1024)
#define WAIT_MAX_MS 60000U

/* A long poll that waits for a position, or for log entries after one. */
struct ste_waiter {
	struct ste_host *host;
	struct ste_waiter *next;
	struct io_http_request *request;
	struct io_timer *timer;
	struct bc_position position;
	bool for_log;
	uint64_t term; /* for_log: term of the primary, as the replica expects it */
	uint64_t limit;
};

static void answer_position(struct ste_waiter *waiter)
{
	struct ste_host *host = waiter->host;
	json_t *row = ste_status_row(host);

	json_object_set_new(
		row, "has",
		json_boolean(ste_log_covers(ste_database_log(host->database), waiter->position)));
	sta_gate_answer(host->endpoint->gate, waiter->request, 200, row);
}

static void answer_log(struct ste_waiter *waiter)
{
	struct ste_host *host = waiter->host;
	const struct ste_role *role = ste_database_role(host->database);
	struct ste_log *log = ste_database_log(host->database);
	json_t *entries;

	if (!role->is_primary || role->term != waiter->term) {
		sta_gate_error(host->endpoint->gate, waiter->request, 409, "not_primary",
			       "this endpoint is not the primary of that term");
		return;
	}
	if (!ste_log_contains(log, waiter->position)) {
		sta_gate_answer(
			host->endpoint->gate, waiter->request, 200,
			json_pack("{s:s,s:o}", "status", "mismatch", "common",
				  ste_position_json(ste_log_last_up_to(log, waiter->position))));
		return;
	}
	entries = ste_log_entries(log, waiter->position.pos, waiter->limit, ANSWER_MAX_BYTES);
	host->endpoint->counters.log_entries_out += json_array_size(entries);
	sta_gate_answer(host->endpoint->gate, waiter->request, 200,
			json_pack("{s:s,s:I,s:o,s:o}", "status", "ok", "term",
				  (json_int_t)role->term, "last",
				  ste_position_json(ste_log_last(log)), "entries", entries));
}

static bool is_due(const struct ste_waiter *waiter)
{
	const struct ste_role *role = ste_database_role(waiter->host->database);
	const struct ste_log *log = ste_database_log(waiter->host->database);

	if (!waiter->for_log)
		return ste_log_covers(log, waiter->position);
	return !role->is_primary || role->term != waiter->term ||
	       !ste_log_contains(log, waiter->position) ||
	       ste_log_last(log).pos > waiter->position.pos;
}

static void finish(struct ste_waiter *waiter)
{
	io_timer_cancel(waiter->timer);
	if (waiter->for_log)
		answer_log(waiter);
	else
		answer_position(waiter);
	free(waiter);
}

static void on_timeout(void *data)
{
	struct ste_waiter *waiter = data;
	struct ste_waiter **link = &waiter->host->waiters;

	while (*link != waiter)
		link = &(*link)->next;
	*link = waiter->next;
	waiter->timer = NULL;
	finish(waiter);
}

static void wait_or_finish(struct ste_waiter *waiter, uint64_t wait_ms)
{
	struct ste_host *host = waiter->host;

	if (!wait_ms || is_due(waiter)) {
		finish(waiter);
		return;
	}
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	waiter->next = host->waiters;
	host->waiters = waiter;
	waiter->timer =
		io_timer_add(host->endpoint->loop, wait_ms * BC_US_PER_MS, on_timeout, waiter);
}

static struct ste_waiter *new_waiter(struct ste_host *host, struct io_http_request *request)
{
	struct ste_waiter *waiter = calloc(1, sizeof(*waiter));

	if (!waiter)
		return NULL;
	waiter->host = host;
	waiter->request = request;
	return waiter;
}

/* GET .../position: answers when the log covers the position, or after wait_ms. */
void ste_wait_position(struct ste_host *host, struct io_http_request *request)
{
	struct ste_waiter *waiter = new_waiter(host, request);

	if (!waiter)
		return;
	waiter->position.term = ste_query_number(request, "term", 0);
	waiter->position.pos = ste_query_number(request, "at_least", 0);
	wait_or_finish(waiter, ste_query_number(request, "wait_ms", 0));
}

/* GET .../log: answers when there are new entries or the request is refused, or after wait_ms. */
void ste_wait_log(struct ste_host *host, struct io_http_request *request)
{
	struct ste_waiter *waiter = new_waiter(host, request);

	if (!waiter)
		return;
	waiter->for_log = true;
	waiter->position.pos = ste_query_number(request, "after", 0);
	waiter->position.term = ste_query_number(request, "after_term", 0);
	waiter->term = ste_query_number(request, "term", 0);
	waiter->limit = ste_query_number(request, "limit", ANSWER_MAX_ENTRIES);
	if (!waiter->limit || waiter->limit > ANSWER_MAX_ENTRIES)
		waiter->limit = ANSWER_MAX_ENTRIES;
	wait_or_finish(waiter, ste_query_number(request, "wait_ms", 0));
}

/* Answers the waiters that are due; must be called after each change of the log or the role. */
void ste_wait_wake(struct ste_host *host)
{
	struct ste_waiter **link = &host->waiters;

	while (*link) {
		struct ste_waiter *waiter = *link;

		if (!is_due(waiter)) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		finish(waiter);
	}
}
