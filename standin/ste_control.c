#include "standin/ste_endpoint.h"

#include <string.h>

/* Control answers bypass the gate, so that an endpoint that is cut off or delayed can be reset. */
static void answer_counters(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	const struct ste_counters *counters = &endpoint->counters;
	json_t *body = json_object();
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{"statements", counters->statements},
		{"reads", counters->reads},
		{"writes", counters->writes},
		{"refused", counters->refused},
		{"errors", counters->errors},
		{"connections_opened", counters->opened},
		{"connections_refused", counters->open_refused},
		{"connections_closed_idle", counters->closed_idle},
		{"connections", endpoint->connection_count},
		{"peak_connections", counters->peak_connections},
		{"busy", endpoint->busy},
		{"peak_busy", counters->peak_busy},
		{"log_entries_out", counters->log_entries_out},
		{"bytes_in", counters->bytes_in},
		{"bytes_out", sta_gate_bytes_out(endpoint->gate)},
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		json_object_set_new(body, rows[i].name, json_integer((json_int_t)rows[i].value));
	io_http_reply_json(request, 200, NULL, body);
}

static void answer_log(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	struct ste_host *host = ste_host_find(endpoint, io_http_query(request, "database"));
	json_t *body;

	if (!host) {
		io_http_reply(request, 404, NULL, "{\"error\":{\"code\":\"no_such_database\"}}");
		return;
	}
	body = ste_status_row(host);
	json_object_set_new(body, "endpoint", json_string(endpoint->settings.id));
	json_object_set_new(body, "entries",
			    ste_log_entries(ste_database_log(host->database),
					    ste_query_number(request, "after", 0),
					    ste_query_number(request, "limit", INT64_MAX),
					    SIZE_MAX));
	io_http_reply_json(request, 200, NULL, body);
}

/* Validates the whole body before any of it is applied; the error message, or NULL. */
static const char *validate_settings(const json_t *body)
{
	const char *key;
	json_t *value;

	if (!json_is_object(body))
		return "the body must be a JSON object";
	json_object_foreach((json_t *)(uintptr_t)body, key, value)
	{
		size_t length = strlen(key);
		bool is_delay = length > 3 && strcmp(key + length - 3, "_ms") == 0;

		if (is_delay &&
		    (strcmp(key, "apply_delay_ms") == 0 || strcmp(key, "receive_delay_ms") == 0 ||
		     strcmp(key, "answer_delay_ms") == 0)) {
			if (!json_is_integer(value) || json_integer_value(value) < 0)
				return "a delay must be a number of milliseconds";
		} else if (strcmp(key, "swap_request_ids") == 0 || strcmp(key, "leaving") == 0) {
			if (!json_is_boolean(value))
				return "swap_request_ids and leaving must be true or false";
		} else if (strcmp(key, "cut") == 0) {
			if (!json_is_array(value))
				return "cut must be a list of ids";
		} else {
			return "unknown field";
		}
	}
	return NULL;
}

static void set_delay(const json_t *body, const char *key, uint64_t *delay_us)
{
	const json_t *value = json_object_get(body, key);

	if (value)
		*delay_us = (uint64_t)json_integer_value(value) * BC_US_PER_MS;
}

static void set_flag(const json_t *body, const char *key, bool *flag)
{
	const json_t *value = json_object_get(body, key);

	if (value)
		*flag = json_is_true(value);
}

static void apply_settings(struct ste_endpoint *endpoint, json_t *body)
{
	const json_t *answer_delay = json_object_get(body, "answer_delay_ms");
	json_t *cut = json_object_get(body, "cut");
	size_t i;

	set_delay(body, "apply_delay_ms", &endpoint->apply_delay_us);
	set_delay(body, "receive_delay_ms", &endpoint->receive_delay_us);
	set_flag(body, "swap_request_ids", &endpoint->swap_request_ids);
	set_flag(body, "leaving", &endpoint->leaving);
	if (answer_delay)
		sta_gate_delay_set(endpoint->gate, (uint64_t)json_integer_value(answer_delay));
	if (cut)
		sta_gate_cut_set(endpoint->gate, cut);
	for (i = 0; i < endpoint->host_count; i++) {
		io_timer_cancel(endpoint->hosts[i].apply_timer);
		endpoint->hosts[i].apply_timer = NULL;
		ste_apply_due(&endpoint->hosts[i]);
	}
}

/* GET /control/counters, GET /control/log?database=DB, POST /control. */
void ste_control(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	const char *path = io_http_path(request);
	const char *problem;
	json_t *body;

	if (strcmp(path, "/control/counters") == 0) {
		answer_counters(endpoint, request);
		return;
	}
	if (strcmp(path, "/control/log") == 0) {
		answer_log(endpoint, request);
		return;
	}
	body = json_loads(io_http_body(request, NULL), 0, NULL);
	problem = validate_settings(body);
	if (problem) {
		io_http_reply_json(request, 400, NULL,
				   json_pack("{s:{s:s,s:s}}", "error", "code", "bad_request",
					     "message", problem));
	} else {
		apply_settings(endpoint, body);
		io_http_reply(request, 200, NULL, "{}");
	}
	json_decref(body);
}
