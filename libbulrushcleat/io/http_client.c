#include "io/io.h"
#include "io/suspects.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

/* Larger responses are rejected, so that a faulty server cannot exhaust the memory. */
#define RESPONSE_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define CONNECT_TIMEOUT_US BC_US_PER_S
/* Maximum time from the first byte to the end of a response, with a stall timeout. */
#define RESPONSE_MAX_US (30 * BC_US_PER_S)
#define CONNECTION_CACHE_SIZE 512L
#define HANDLE_CACHE_SIZE 256U
/* Holds a session token of 6 KiB and the header's name. */
#define HEADER_MAX_BYTES 8192

struct io_http_client {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	CURLM *multi;
	struct io_timer *timer;
	struct io_http_call *calls;
	CURL *handles[HANDLE_CACHE_SIZE]; /* finished handles, for reuse */
	size_t handle_count;
	bool no_reuse;
	uint64_t connect_timeout_us;
	uint32_t idle_limit_s;		  /* 0: libcurl's default */
	uint64_t stall_timeout_us;	  /* 0: the timeout covers the whole response */
	char source_ip[INET6_ADDRSTRLEN]; /* empty: the kernel chooses */
	struct sus_state *suspects;
};

struct io_http_call {
	struct io_http_client *client;
	struct io_http_call *next;
	struct io_http_call *previous;
	CURL *easy;
	char server[SUS_SERVER_BYTES];
	struct io_timer *stall_timer; /* ends a stalled call; only with stall_timeout_us */
	struct curl_slist *headers;
	char *body;
	char *response_body;
	size_t response_bytes;
	size_t response_capacity;
	bool too_large;
	char error[CURL_ERROR_SIZE];
	io_http_done_fn done;
	void *data;
};

static void finish_calls(struct io_http_client *client);
static void on_stall(void *data);

static void stall_timer_set(struct io_http_call *call, uint64_t delay_us)
{
	io_timer_cancel(call->stall_timer);
	call->stall_timer = io_timer_add(call->client->loop, delay_us, on_stall, call);
}

static size_t on_response_data(char *data, size_t size, size_t count, void *user)
{
	struct io_http_call *call = user;
	size_t bytes = size * count;
	size_t wanted = call->response_bytes + bytes + 1;

	if (wanted > RESPONSE_MAX_BYTES) {
		call->too_large = true;
		return 0;
	}
	if (wanted > call->response_capacity) {
		size_t grown = wanted < 512 ? 512 : 2 * wanted;
		char *response_body = realloc(call->response_body, grown);

		if (!response_body)
			return 0;
		call->response_body = response_body;
		call->response_capacity = grown;
	}
	if (call->client->stall_timeout_us)
		stall_timer_set(call, call->client->stall_timeout_us);
	memcpy(call->response_body + call->response_bytes, data, bytes);
	call->response_bytes += bytes;
	call->response_body[call->response_bytes] = '\0';
	return bytes;
}

static void on_socket_ready(void *data, int fd, uint32_t events)
{
	struct io_http_client *client = data;
	int running;
	int flags = 0;

	if (events & IO_READ)
		flags |= CURL_CSELECT_IN;
	if (events & IO_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, fd, flags, &running);
	finish_calls(client);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *socket_data)
{
	struct io_http_client *client = user;
	struct io_watch *watch = socket_data;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		io_watch_remove(watch);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= IO_READ;
	if (what & CURL_POLL_OUT)
		events |= IO_WRITE;
	if (watch) {
		io_watch_set(watch, events);
		return 0;
	}
	watch = io_watch_add(client->loop, fd, events, on_socket_ready, client);
	curl_multi_assign(client->multi, fd, watch);
	return 0;
}

static void on_timer(void *data)
{
	struct io_http_client *client = data;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_calls(client);
}

static int on_timeout_change(CURLM *multi, long timeout_ms, void *user)
{
	struct io_http_client *client = user;

	(void)multi;
	io_timer_cancel(client->timer);
	client->timer = NULL;
	if (timeout_ms >= 0)
		client->timer = io_timer_add(client->loop, (uint64_t)timeout_ms * BC_US_PER_MS,
					     on_timer, client);
	return 0;
}

/* Creates a client. */
struct io_http_client *io_http_client_create(struct bc_ctx *ctx, struct io_loop *loop)
{
	struct io_http_client *client = calloc(1, sizeof(*client));

	if (!client)
		return NULL;
	client->suspects = sus_create();
	if (!client->suspects) {
		free(client);
		return NULL;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->ctx = ctx;
	client->loop = loop;
	client->connect_timeout_us = CONNECT_TIMEOUT_US;
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE_SIZE);
	return client;
}

/* Opens a new connection for every request, so that libcurl never repeats one. */
void io_http_client_disable_reuse(struct io_http_client *client)
{
	client->no_reuse = true;
}

/* Sets the connect timeout. */
void io_http_client_set_connect_timeout(struct io_http_client *client, uint64_t connect_timeout_us)
{
	client->connect_timeout_us = connect_timeout_us;
}

/*
 * Lets a response that has begun take longer than the call's timeout while data arrives, with
 * pauses of at most stall_timeout_us. Otherwise a response that saturates the link could never
 * complete, and each retry would saturate the link again.
 */
void io_http_client_set_stall_timeout(struct io_http_client *client, uint64_t stall_timeout_us)
{
	client->stall_timeout_us = stall_timeout_us;
}

/* Sets how long a connection may be idle and still be used for the next call. */
void io_http_client_set_idle_limit(struct io_http_client *client, uint32_t idle_s)
{
	client->idle_limit_s = idle_s;
}

static bool is_wildcard(const char *ip)
{
	return strcmp(ip, "0.0.0.0") == 0 || strcmp(ip, "::") == 0;
}

/*
 * Makes the client connect from the IP of `address`, which is "IP:PORT" or "IP". For a wildcard
 * address, or a server of the other IP version, the kernel chooses the source address. BC_EINVAL if
 * `address` contains no IP.
 */
enum bc_status io_http_client_bind(struct io_http_client *client, const char *address)
{
	const char *start = address[0] == '[' ? address + 1 : address;
	const char *end = address[0] == '[' ? strchr(address, ']') : strrchr(address, ':');
	char ip[INET6_ADDRSTRLEN] = "";
	uint8_t parsed[sizeof(struct in6_addr)];
	size_t length;

	/* An IPv6 address without brackets has no port. */
	if (!end || (address[0] != '[' && strchr(address, ':') != end))
		end = start + strlen(start);
	length = (size_t)(end - start);
	if (length < sizeof(ip))
		memcpy(ip, start, length);
	if (inet_pton(AF_INET, ip, parsed) != 1 && inet_pton(AF_INET6, ip, parsed) != 1)
		return bc_fail(client->ctx, BC_EINVAL, "\"%s\" contains no IP address", address);
	if (!is_wildcard(ip))
		memcpy(client->source_ip, ip, sizeof(ip));
	return BC_OK;
}

static void release_handle(struct io_http_client *client, CURL *easy)
{
	if (client->handle_count == HANDLE_CACHE_SIZE) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	client->handles[client->handle_count++] = easy;
}

static void free_call(struct io_http_call *call)
{
	struct io_http_client *client = call->client;

	if (call->next)
		call->next->previous = call->previous;
	if (call->previous)
		call->previous->next = call->next;
	else
		client->calls = call->next;
	io_timer_cancel(call->stall_timer);
	curl_multi_remove_handle(client->multi, call->easy);
	release_handle(client, call->easy);
	curl_slist_free_all(call->headers);
	free(call->body);
	free(call->response_body);
	free(call);
}

/* Cancels all calls without invoking their callbacks and frees the client. NULL is allowed. */
void io_http_client_destroy(struct io_http_client *client)
{
	struct io_http_call *call;

	if (!client)
		return;
	for (call = client->calls; call;) {
		struct io_http_call *next = call->next;

		free_call(call);
		call = next;
	}
	while (client->handle_count)
		curl_easy_cleanup(client->handles[--client->handle_count]);
	curl_multi_cleanup(client->multi);
	io_timer_cancel(client->timer);
	sus_destroy(client->suspects);
	free(client);
}

static enum io_http_outcome classify_result(struct io_http_call *call, CURLcode code)
{
	long request_bytes = 0;

	if (code == CURLE_OK)
		return IO_HTTP_COMPLETE;
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	if (request_bytes == 0 &&
	    (code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT ||
	     code == CURLE_URL_MALFORMAT || code == CURLE_COULDNT_RESOLVE_HOST ||
	     code == CURLE_INTERFACE_FAILED))
		return IO_HTTP_NOT_SENT;
	return IO_HTTP_INCOMPLETE;
}

/* Copies "HOST:PORT" of a URL. */
static void copy_server(char server[SUS_SERVER_BYTES], const char *url)
{
	const char *start = strstr(url, "://");
	size_t length;

	start = start ? start + strlen("://") : url;
	length = strcspn(start, "/?");
	snprintf(server, SUS_SERVER_BYTES, "%.*s", (int)length, start);
}

/* Keeps the call off connections that are as old as one that has fallen silent. */
static void avoid_suspects(struct io_http_call *call)
{
	struct sus_choice choice = sus_choose(call->client->suspects, call->server, io_now_us());

	if (choice.fresh_only)
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (choice.max_lifetime_s)
		curl_easy_setopt(call->easy, CURLOPT_MAXLIFETIME_CONN, (long)choice.max_lifetime_s);
}

static void finish_call(struct io_http_call *call, CURLcode code)
{
	struct io_http_result result = {0};
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	result.outcome = classify_result(call, code);
	if (code == CURLE_OPERATION_TIMEDOUT && result.outcome == IO_HTTP_INCOMPLETE)
		sus_call_lost(call->client->suspects, call->server, io_now_us());
	result.status = result.outcome == IO_HTTP_COMPLETE ? (uint32_t)status : 0;
	result.body = call->response_body ? call->response_body : "";
	result.body_bytes = call->response_bytes;
	result.error = code == CURLE_OK	 ? ""
		       : call->too_large ? "the response is too large"
		       : call->error[0]	 ? call->error
					 : curl_easy_strerror(code);
	result.call = call;
	call->done(call->data, &result);
	free_call(call);
}

static void on_stall(void *data)
{
	struct io_http_call *call = data;

	call->stall_timer = NULL;
	finish_call(call, CURLE_OPERATION_TIMEDOUT);
}

static void finish_calls(struct io_http_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		struct io_http_call *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call)
			finish_call(call, message->data.result);
	}
}

static struct curl_slist *make_headers(const struct io_http_header *headers, bool with_body)
{
	struct curl_slist *list = NULL;
	char line[HEADER_MAX_BYTES];

	if (with_body)
		list = curl_slist_append(list, "Content-Type: application/json");
	/* Suppresses "Expect: 100-continue", which libcurl sends before larger bodies. */
	list = curl_slist_append(list, "Expect:");
	for (; headers && headers->name; headers++) {
		snprintf(line, sizeof(line), "%s: %s", headers->name, headers->value);
		list = curl_slist_append(list, line);
	}
	return list;
}

static bool same_ip_version(const char *ip, const char *url)
{
	return (strchr(ip, ':') != NULL) == (strchr(url, '[') != NULL);
}

/* Without this, bind() picks a port from a range shared by all destinations, which runs out. */
static int on_socket_created(void *data, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1;

	(void)data;
	(void)purpose;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	return CURL_SOCKOPT_OK;
}

static void set_options(struct io_http_call *call, const char *method, const char *url,
			uint64_t timeout_us)
{
	uint64_t total_us = timeout_us + (call->client->stall_timeout_us ? RESPONSE_MAX_US : 0);
	long timeout_ms = (long)((total_us + BC_US_PER_MS - 1) / BC_US_PER_MS);
	char interface[sizeof(call->client->source_ip) + 8];
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_response_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(call->client->connect_timeout_us / BC_US_PER_MS));
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms ? timeout_ms : 1L);
	if (call->client->idle_limit_s)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)call->client->idle_limit_s);
	avoid_suspects(call);
	if (call->client->no_reuse) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (call->client->source_ip[0] && same_ip_version(call->client->source_ip, url)) {
		snprintf(interface, sizeof(interface), "host!%s", call->client->source_ip);
		curl_easy_setopt(easy, CURLOPT_INTERFACE, interface);
		curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	}
	if (call->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(call->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
	}
}

/* Sends a request; `done` is called once, from the event loop, unless the call is cancelled. */
struct io_http_call *io_http_send(struct io_http_client *client, const char *method,
				  const char *url, const struct io_http_header *headers,
				  const char *body, uint64_t timeout_us, io_http_done_fn done,
				  void *data)
{
	struct io_http_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->client = client;
	call->done = done;
	call->data = data;
	call->body = body ? strdup(body) : NULL;
	copy_server(call->server, url);
	call->headers = make_headers(headers, body != NULL);
	call->easy =
		client->handle_count ? client->handles[--client->handle_count] : curl_easy_init();
	set_options(call, method, url, timeout_us);
	if (client->stall_timeout_us)
		stall_timer_set(call, timeout_us);
	call->next = client->calls;
	if (call->next)
		call->next->previous = call;
	client->calls = call;
	curl_multi_add_handle(client->multi, call->easy);
	return call;
}

/* Percent-encodes all bytes but letters, digits, '-', '.', '_' and '~'. */
size_t io_http_escape(char *out, size_t bytes, const char *text)
{
	char *escaped = curl_easy_escape(NULL, text, 0);
	size_t length = escaped ? strlen(escaped) : 0;

	snprintf(out, bytes, "%s", escaped ? escaped : "");
	curl_free(escaped);
	return length;
}

/* Returns a header of the response, or NULL. Valid during the callback. */
const char *io_http_result_header(const struct io_http_result *result, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(result->call->easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
		return NULL;
	return header->value;
}

/* Cancels a call; its callback is not invoked. NULL is allowed. */
void io_http_cancel(struct io_http_call *call)
{
	if (call)
		free_call(call);
}
