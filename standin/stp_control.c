#include "standin/stp_platform.h"

#include <string.h>

static const char *const kind_names[STP_KINDS] = {
	[STP_GET] = "get",   [STP_PUT] = "put",	    [STP_DELETE] = "delete",
	[STP_LIST] = "list", [STP_WATCH] = "watch", [STP_VMS] = "vms",
};

static const char *const mode_names[] = {[STP_UP] = "up", [STP_DOWN] = "down", [STP_SLOW] = "slow"};

/* Answers to control requests bypass the gate, so that a cut can always be ended. */
static void answer_counters(struct stp_platform *platform, struct io_http_request *request)
{
	json_t *calls = json_object();
	json_int_t total = 0;
	size_t i;

	for (i = 0; i < STP_KINDS; i++) {
		json_object_set_new(calls, kind_names[i],
				    json_integer((json_int_t)platform->calls[i]));
		total += (json_int_t)platform->calls[i];
	}
	io_http_reply_json(request, 200, NULL,
			   json_pack("{s:o,s:I,s:I,s:I,s:I,s:i,s:i,s:I,s:I,s:s}", "calls", calls,
				     "total", total, "conflicts", (json_int_t)platform->conflicts,
				     "lost_replies", (json_int_t)platform->lost_replies,
				     "refused_down", (json_int_t)platform->refused_down, "waiting",
				     (int)platform->waiting_watches, "peak_waiting",
				     (int)platform->peak_waiting_watches, "bytes_in",
				     (json_int_t)platform->bytes_in, "bytes_out",
				     (json_int_t)sta_gate_bytes_out(platform->gate), "mode",
				     mode_names[platform->mode]));
}

static bool parse_mode(const char *text, enum stp_mode *mode)
{
	size_t i;

	for (i = 0; text && i < sizeof(mode_names) / sizeof(mode_names[0]); i++)
		if (strcmp(mode_names[i], text) == 0) {
			*mode = (enum stp_mode)i;
			return true;
		}
	return false;
}

static bool is_count(const json_t *value)
{
	return json_is_integer(value) && json_integer_value(value) >= 0;
}

/* Checks the whole body before any setting changes. Returns NULL or what is wrong. */
static const char *check_settings(const json_t *body)
{
	const char *key;
	json_t *value;
	enum stp_mode mode;

	if (!json_is_object(body))
		return "the body must be a JSON object";
	json_object_foreach((json_t *)(uintptr_t)body, key, value)
	{
		if (strcmp(key, "mode") == 0) {
			if (!parse_mode(json_string_value(value), &mode))
				return "mode must be up, down or slow";
		} else if (strcmp(key, "delay_ms") == 0 || strcmp(key, "lose_replies") == 0 ||
			   strcmp(key, "vm_lag_ms") == 0) {
			if (!is_count(value))
				return "delay_ms, vm_lag_ms and lose_replies must be numbers";
		} else if (strcmp(key, "lose_with_error") == 0) {
			if (!json_is_boolean(value))
				return "lose_with_error must be true or false";
		} else if (strcmp(key, "cut") == 0) {
			if (!json_is_array(value))
				return "cut must be a list of ids";
		} else {
			return "unknown field";
		}
	}
	return NULL;
}

static void apply_settings(struct stp_platform *platform, json_t *body)
{
	const json_t *delay = json_object_get(body, "delay_ms");
	const json_t *lag = json_object_get(body, "vm_lag_ms");
	const json_t *lose = json_object_get(body, "lose_replies");
	const json_t *with_error = json_object_get(body, "lose_with_error");
	json_t *cut = json_object_get(body, "cut");

	parse_mode(json_string_value(json_object_get(body, "mode")), &platform->mode);
	if (delay)
		platform->delay_ms = (uint64_t)json_integer_value(delay);
	if (lag)
		stp_vms_lag_set(platform->vms, (uint64_t)json_integer_value(lag));
	if (lose)
		platform->replies_to_lose = (uint32_t)json_integer_value(lose);
	if (with_error)
		platform->lose_with_error = json_is_true(with_error);
	if (cut)
		sta_gate_cut_set(platform->gate, cut);
	if (platform->mode == STP_DOWN)
		stp_watch_fail_all(platform);
}

/* Serves GET /control/counters, POST /control and POST /control/vm. */
void stp_control(struct stp_platform *platform, struct io_http_request *request)
{
	const char *path = io_http_path(request);
	const char *problem;
	json_t *body;

	if (strcmp(path, "/control/counters") == 0) {
		answer_counters(platform, request);
		return;
	}
	body = json_loads(io_http_body(request, NULL), 0, NULL);
	if (strcmp(path, "/control/vm") == 0) {
		problem = stp_vms_change(platform->vms, body);
	} else {
		problem = check_settings(body);
		if (!problem)
			apply_settings(platform, body);
	}
	json_decref(body);
	if (problem)
		io_http_reply_json(request, 400, NULL,
				   json_pack("{s:{s:s,s:s}}", "error", "code", "bad_request",
					     "message", problem));
	else
		io_http_reply(request, 200, NULL, "{}");
}
