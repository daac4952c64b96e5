#include "standin/ste_endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_PATH "/v1/connections"
#define DATABASES_PATH "/v1/databases/"

/* The hosted database of this name, or NULL. */
struct ste_host *ste_host_find(struct ste_endpoint *endpoint, const char *name)
{
	size_t i;

	for (i = 0; name && i < endpoint->host_count; i++)
		if (strcmp(ste_database_name(endpoint->hosts[i].database), name) == 0)
			return &endpoint->hosts[i];
	return NULL;
}

/* A number from the query string, or `default_value` if it is absent or malformed. */
uint64_t ste_query_number(const struct io_http_request *request, const char *name,
			  uint64_t default_value)
{
	const char *text = io_http_query(request, name);
	char *end;
	unsigned long long value;

	if (!text || text[0] < '0' || text[0] > '9')
		return default_value;
	value = strtoull(text, &end, 10);
	return *end ? default_value : value;
}

static void answer_status(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	json_t *databases = json_object();
	size_t i;

	for (i = 0; i < endpoint->host_count; i++)
		json_object_set_new(databases, ste_database_name(endpoint->hosts[i].database),
				    ste_status_row(&endpoint->hosts[i]));
	sta_gate_answer(endpoint->gate, request, 200,
			json_pack("{s:s,s:o,s:i,s:i,s:b}", "endpoint", endpoint->settings.id,
				  "databases", databases, "connections",
				  (int)endpoint->connection_count, "busy", (int)endpoint->busy,
				  "leaving", endpoint->leaving));
}

static void not_found(struct ste_endpoint *endpoint, struct io_http_request *request)
{
	sta_gate_error(endpoint->gate, request, 404, "not_found", "no such path");
}

/* `rest` is the path after "/v1/connections". */
static void serve_connections(struct ste_endpoint *endpoint, struct io_http_request *request,
			      const char *rest)
{
	bool is_post = strcmp(io_http_method(request), "POST") == 0;
	char id[BC_ID_BYTES];
	const char *slash;

	if (!*rest && is_post) {
		ste_connection_open(endpoint, request);
		return;
	}
	if (*rest != '/') {
		not_found(endpoint, request);
		return;
	}
	snprintf(id, sizeof(id), "%s", rest + 1);
	id[strcspn(id, "/")] = '\0';
	slash = strchr(rest + 1, '/');
	if (!slash && strcmp(io_http_method(request), "DELETE") == 0)
		ste_connection_delete(endpoint, request, id);
	else if (slash && is_post && strcmp(slash, "/run") == 0)
		ste_run(endpoint, request, id);
	else
		not_found(endpoint, request);
}

/* `rest` is the path after "/v1/databases/": "DB/action". */
static void serve_database(struct ste_endpoint *endpoint, struct io_http_request *request,
			   const char *rest)
{
	bool is_get = strcmp(io_http_method(request), "GET") == 0;
	const char *action = strchr(rest, '/');
	char name[BC_ID_BYTES];
	struct ste_host *host;

	snprintf(name, sizeof(name), "%s", rest);
	name[strcspn(name, "/")] = '\0';
	host = ste_host_find(endpoint, name);
	if (!host || !action)
		not_found(endpoint, request);
	else if (is_get && strcmp(action, "/position") == 0)
		ste_wait_position(host, request);
	else if (is_get && strcmp(action, "/log") == 0)
		ste_wait_log(host, request);
	else if (!is_get)
		ste_order(host, request, action + 1);
	else
		not_found(endpoint, request);
}

/* Serves one request; `data` is the endpoint. */
void ste_serve(void *data, struct io_http_request *request)
{
	struct ste_endpoint *endpoint = data;
	const char *path = io_http_path(request);
	size_t body_bytes;

	io_http_body(request, &body_bytes);
	endpoint->counters.bytes_in += body_bytes;
	if (strncmp(path, "/control", 8) == 0)
		ste_control(endpoint, request);
	else if (sta_gate_drop_if_cut(endpoint->gate, request))
		return;
	else if (strcmp(path, "/v1/status") == 0)
		answer_status(endpoint, request);
	else if (strncmp(path, CONNECTIONS_PATH, strlen(CONNECTIONS_PATH)) == 0)
		serve_connections(endpoint, request, path + strlen(CONNECTIONS_PATH));
	else if (strncmp(path, DATABASES_PATH, strlen(DATABASES_PATH)) == 0)
		serve_database(endpoint, request, path + strlen(DATABASES_PATH));
	else
		not_found(endpoint, request);
}
