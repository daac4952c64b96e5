#include "standin/ste_endpoint.h"

#include <string.h>

/* After this time a primary that got no further order accepts writes again. */
#define STEP_DOWN_MAX_US (2 * BC_US_PER_S)

static uint64_t lag_ms(struct ste_host *host, uint64_t now_us)
{
	struct ste_log *log = ste_database_log(host->database);
	uint64_t applied = ste_database_applied(host->database).pos;
	uint64_t received_us = ste_log_received_us(log, applied + 1);

	return received_us ? (now_us - received_us) / BC_US_PER_MS : 0;
}

/* The state of a database as reported in status and order answers; a new reference. */
json_t *ste_status_row(struct ste_host *host)
{
	const struct ste_role *role = ste_database_role(host->database);
	uint64_t now_us = io_now_us();
	uint64_t contact_ms = role->is_primary ? 0 : (now_us - host->contact_us) / BC_US_PER_MS;

	return json_pack("{s:s,s:I,s:I,s:o,s:o,s:s,s:I,s:I,s:b,s:b}", "role",
			 role->is_primary ? "primary" : "replica", "term", (json_int_t)role->term,
			 "promised", (json_int_t)role->promised, "log",
			 ste_position_json(ste_log_last(ste_database_log(host->database))),
			 "applied", ste_position_json(ste_database_applied(host->database)),
			 "primary", role->primary, "contact_ms", (json_int_t)contact_ms, "lag_ms",
			 (json_int_t)lag_ms(host, now_us), "stepping_down",
			 host->step_down_timer != NULL, "rebuilding",
			 ste_database_rebuilding(host->database));
}

static void end_step_down(struct ste_host *host)
{
	io_timer_cancel(host->step_down_timer);
	host->step_down_timer = NULL;
}

static void close_transaction(struct ste_host *host, const char *code)
{
	struct ste_connection *holder = host->lock_holder;

	if (holder && holder->host == host)
		ste_connection_close(holder, code);
}

static void role_changed(struct ste_host *host)
{
	const struct ste_role *role = ste_database_role(host->database);

	end_step_down(host);
	close_transaction(host, "not_primary");
	ste_pull_restart(host);
	ste_apply_due(host);
	ste_wait_wake(host);
	bc_log(host->endpoint->ctx, BC_LOG_INFO, "role", "{s:s,s:s,s:I,s:I,s:s}", "database",
	       ste_database_name(host->database), "role", role->is_primary ? "primary" : "replica",
	       "term", (json_int_t)role->term, "promised", (json_int_t)role->promised, "primary",
	       role->primary);
}

static void on_step_down_end(void *data)
{
	struct ste_host *host = data;

	host->step_down_timer = NULL;
}

/* Refuses writes and rolls back the open transaction, so that the last position is final. */
static bool step_down(struct ste_host *host, uint64_t term)
{
	const struct ste_role *role = ste_database_role(host->database);

	if (!role->is_primary || role->term != term)
		return false;
	end_step_down(host);
	host->step_down_timer =
		io_timer_add(host->endpoint->loop, STEP_DOWN_MAX_US, on_step_down_end, host);
	close_transaction(host, "stepping_down");
	return true;
}

static bool follow(struct ste_host *host, uint64_t term, const json_t *body)
{
	const char *primary = json_string_value(json_object_get(body, "primary"));
	const char *address = json_string_value(json_object_get(body, "address"));

	return primary && bc_id_valid(primary) &&
	       ste_database_follow(host->database, term, primary, address ? address : "");
}

static bool execute_order(struct ste_host *host, const char *order, const json_t *body)
{
	uint64_t term = (uint64_t)json_integer_value(json_object_get(body, "term"));
	const char *candidate = json_string_value(json_object_get(body, "candidate"));

	if (strcmp(order, "step_down") == 0)
		return step_down(host, term);
	if (strcmp(order, "follow") == 0)
		return follow(host, term, body);
	if (!bc_id_valid(candidate))
		return false;
	return strcmp(order, "fence") == 0 ? ste_database_fence(host->database, term, candidate)
					   : ste_database_promote(host->database, term, candidate);
}

static bool is_order(const char *order)
{
	return strcmp(order, "fence") == 0 || strcmp(order, "promote") == 0 ||
	       strcmp(order, "follow") == 0 || strcmp(order, "step_down") == 0;
}

/* POST .../fence, promote, follow, step_down: answers with the status row and "granted". */
void ste_order(struct ste_host *host, struct io_http_request *request, const char *order)
{
	struct sta_gate *gate = host->endpoint->gate;
	struct ste_role before = *ste_database_role(host->database);
	json_t *body = json_loads(io_http_body(request, NULL), 0, NULL);
	bool granted;
	json_t *row;

	if (!is_order(order) || json_integer_value(json_object_get(body, "term")) < 1) {
		json_decref(body);
		sta_gate_error(gate, request, is_order(order) ? 400 : 404, "bad_request",
			       "an order needs a term of at least 1");
		return;
	}
	granted = execute_order(host, order, body);
	json_decref(body);
	if (!ste_role_equal(&before, ste_database_role(host->database)))
		role_changed(host);
	row = ste_status_row(host);
	json_object_set_new(row, "granted", json_boolean(granted));
	sta_gate_answer(gate, request, 200, row);
}
