#include "standin/stp_platform.h"

#include <stdlib.h>
#include <string.h>

#define OBJECTS "/v1/objects"
#define WATCH "/v1/watch/"
#define CHANGES "/v1/changes"
#define VALUE_MAX_BYTES ((size_t)1000 * 1000)
/* While the mode is "down", a request fails only after this delay. */
#define DOWN_DELAY_MS 5000U
/* A request whose reply is lost fails after this delay, unless at once with lose_with_error. */
#define LOST_REPLY_DELAY_MS 10000U

struct delayed_request {
	struct stp_platform *platform;
	struct io_http_request *request;
};

/* Answers through the gate, which simulates partitions. Releases `body`. */
void stp_answer(struct stp_platform *platform, struct io_http_request *request, uint32_t status,
		json_t *body)
{
	sta_gate_answer(platform->gate, request, status, body);
}

static void answer_error(struct stp_platform *platform, struct io_http_request *request,
			 uint32_t status, const char *code, const char *message)
{
	sta_gate_error(platform->gate, request, status, code, message);
}

/*
 * If the reply to a write that took effect is to be lost, answers 500 or holds the request open,
 * and returns true.
 */
static bool lose_reply(struct stp_platform *platform, struct io_http_request *request)
{
	if (!platform->replies_to_lose)
		return false;
	platform->replies_to_lose--;
	platform->lost_replies++;
	if (platform->lose_with_error)
		answer_error(platform, request, 500, "internal", "the reply was lost");
	else
		sta_gate_drop(platform->gate, request, LOST_REPLY_DELAY_MS);
	return true;
}

static void get_object(struct stp_platform *platform, struct io_http_request *request,
		       const char *name)
{
	platform->calls[STP_GET]++;
	if (!stp_store_version(platform->store, name))
		answer_error(platform, request, 404, "not_found", "there is no such object");
	else
		stp_answer(platform, request, 200, stp_store_get(platform->store, name));
}

static void finish_write(struct stp_platform *platform, struct io_http_request *request,
			 const char *name, enum bc_status status, uint64_t version)
{
	if (status == BC_ENOTFOUND) {
		answer_error(platform, request, 404, "not_found", "there is no such object");
		return;
	}
	if (status != BC_OK) {
		platform->conflicts++;
		stp_answer(platform, request, 409, stp_store_get(platform->store, name));
		return;
	}
	if (!lose_reply(platform, request))
		stp_answer(platform, request, 200,
			   json_pack("{s:I}", "version", (json_int_t)version));
	stp_watch_notify(platform, name);
}

static void put_object(struct stp_platform *platform, struct io_http_request *request,
		       const char *name)
{
	json_t *body = json_loads(io_http_body(request, NULL), 0, NULL);
	json_t *if_version = json_object_get(body, "if_version");
	json_t *value = json_object_get(body, "value");
	uint64_t version = 0;
	enum bc_status status;

	platform->calls[STP_PUT]++;
	if (!json_is_integer(if_version) || json_integer_value(if_version) < 0 || !value) {
		answer_error(platform, request, 400, "bad_request",
			     "the body needs an integer if_version and a value");
	} else if (json_dumpb(value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) > VALUE_MAX_BYTES) {
		answer_error(platform, request, 413, "too_large", "a value may have at most 1 MB");
	} else {
		status = stp_store_put(platform->store, name,
				       (uint64_t)json_integer_value(if_version), value, &version);
		finish_write(platform, request, name, status, version);
	}
	json_decref(body);
}

/* Takes if_version from the body or the query; without it, any version of the object is deleted. */
static void delete_object(struct stp_platform *platform, struct io_http_request *request,
			  const char *name)
{
	json_t *body = json_loads(io_http_body(request, NULL), 0, NULL);
	const char *query = io_http_query(request, "if_version");
	uint64_t version = stp_store_version(platform->store, name);

	platform->calls[STP_DELETE]++;
	if (json_is_integer(json_object_get(body, "if_version")))
		version = (uint64_t)json_integer_value(json_object_get(body, "if_version"));
	else if (query)
		version = strtoull(query, NULL, 10);
	json_decref(body);
	finish_write(platform, request, name, stp_store_delete(platform->store, name, version), 0);
}

static void list_objects(struct stp_platform *platform, struct io_http_request *request)
{
	const char *prefix = io_http_query(request, "prefix");

	platform->calls[STP_LIST]++;
	stp_answer(platform, request, 200,
		   json_pack("{s:o}", "objects",
			     stp_store_list(platform->store, prefix ? prefix : "")));
}

static void serve_object(struct stp_platform *platform, struct io_http_request *request,
			 const char *name)
{
	const char *method = io_http_method(request);

	if (!stp_store_name_valid(name))
		answer_error(platform, request, 400, "bad_name", "not a valid object name");
	else if (strcmp(method, "GET") == 0)
		get_object(platform, request, name);
	else if (strcmp(method, "PUT") == 0)
		put_object(platform, request, name);
	else if (strcmp(method, "DELETE") == 0)
		delete_object(platform, request, name);
	else
		answer_error(platform, request, 405, "bad_method", "GET, PUT or DELETE");
}

static void serve_vms(struct stp_platform *platform, struct io_http_request *request)
{
	platform->calls[STP_VMS]++;
	if (io_http_query(request, "wait_ms"))
		stp_watch_vms(platform, request);
	else
		stp_answer(platform, request, 200, stp_vms_json(platform->vms));
}

static void route(struct stp_platform *platform, struct io_http_request *request)
{
	const char *path = io_http_path(request);

	if (strcmp(path, OBJECTS) == 0) {
		list_objects(platform, request);
	} else if (strncmp(path, OBJECTS "/", strlen(OBJECTS) + 1) == 0) {
		serve_object(platform, request, path + strlen(OBJECTS) + 1);
	} else if (strncmp(path, WATCH, strlen(WATCH)) == 0) {
		platform->calls[STP_WATCH]++;
		stp_watch_object(platform, request, path + strlen(WATCH));
	} else if (strcmp(path, CHANGES) == 0) {
		const char *prefix = io_http_query(request, "prefix");

		platform->calls[STP_WATCH]++;
		stp_watch_changes(platform, request, prefix ? prefix : "");
	} else if (strcmp(path, "/v1/vms") == 0) {
		serve_vms(platform, request);
	} else {
		answer_error(platform, request, 404, "not_found", "no such path");
	}
}

static void route_delayed(void *data)
{
	struct delayed_request *delayed = data;

	route(delayed->platform, delayed->request);
	free(delayed);
}

static void fail_delayed(void *data)
{
	struct delayed_request *delayed = data;

	answer_error(delayed->platform, delayed->request, 503, "unavailable",
		     "the platform is down");
	free(delayed);
}

static void delay_request(struct stp_platform *platform, struct io_http_request *request,
			  uint64_t delay_ms, io_callback_fn fn)
{
	struct delayed_request *delayed = calloc(1, sizeof(*delayed));

	if (!delayed)
		return;
	*delayed = (struct delayed_request){platform, request};
	io_timer_add(platform->loop, delay_ms * BC_US_PER_MS, fn, delayed);
}

/* Serves one request; `data` is the platform. */
void stp_serve(void *data, struct io_http_request *request)
{
	struct stp_platform *platform = data;
	size_t body_bytes;

	io_http_body(request, &body_bytes);
	platform->bytes_in += body_bytes;
	if (strncmp(io_http_path(request), "/control", 8) == 0) {
		stp_control(platform, request);
	} else if (sta_gate_drop_if_cut(platform->gate, request)) {
		return;
	} else if (platform->mode == STP_DOWN) {
		platform->refused_down++;
		delay_request(platform, request, DOWN_DELAY_MS, fail_delayed);
	} else if (platform->mode == STP_SLOW && platform->delay_ms) {
		delay_request(platform, request, platform->delay_ms, route_delayed);
	} else {
		route(platform, request);
	}
}
