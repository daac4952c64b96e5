/*
 * Stands in front of bc-site's store and answers for it as the platform's pages say where bc-site
 * does not: it divides lists into pages, in the order of the names, and it keeps an entry of
 * another writer whose bytes can't be read. The entry is the one of kind servers whose spec is the
 * text in MARK. All other calls are passed on.
 *
 *     store-front IP:PORT STORE_IP:PORT SPEC_FILE
 *
 * SPEC_FILE has the bytes of the entry's spec.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MARK "\"entry-of-another-writer\""
/* A list has about 500 items or 1 MB at most. */
#define PAGE_ITEMS 500U
#define PAGE_BYTES ((size_t)1000000)
#define HEAD_MAX_BYTES ((size_t)16 * 1024)
#define PATH_BYTES 1024
#define LIST_PATH "/-/objects/servers"

struct text {
	char *bytes;
	size_t length;
};

struct item {
	const char *name;
	json_t *object;
};

static struct text spec;

static void text_add(struct text *text, const char *bytes, size_t length)
{
	text->bytes = realloc(text->bytes, text->length + length + 1);
	if (!text->bytes)
		abort();
	memcpy(text->bytes + text->length, bytes, length);
	text->length += length;
	text->bytes[text->length] = '\0';
}

static bool address_parse(const char *text, struct sockaddr_in *out)
{
	char ip[64];
	unsigned int port;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (sscanf(text, "%63[^:]:%u", ip, &port) != 2 || port > UINT16_MAX)
		return false;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static bool write_all(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* Reads until the end of the head and so many bytes of the body as it names; false at the end. */
static bool read_message(int fd, struct text *message, size_t *head_bytes)
{
	char chunk[4096];

	*head_bytes = 0;
	for (;;) {
		const char *end = message->bytes ? strstr(message->bytes, "\r\n\r\n") : NULL;
		const char *field;
		size_t body_bytes = 0;
		ssize_t length;

		if (end) {
			*head_bytes = (size_t)(end - message->bytes) + 4;
			field = strcasestr(message->bytes, "\r\nContent-Length:");
			if (field && field < end)
				body_bytes =
					strtoul(field + strlen("\r\nContent-Length:"), NULL, 10);
			if (message->length >= *head_bytes + body_bytes)
				return true;
		} else if (message->length > HEAD_MAX_BYTES) {
			return false;
		}
		length = recv(fd, chunk, sizeof(chunk), 0);
		if (length <= 0)
			return false;
		text_add(message, chunk, (size_t)length);
	}
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->name, ((const struct item *)b)->name);
}

/* Adds a text with the entry's spec in the place of the mark. */
static void add_marked(struct text *out, const char *text)
{
	const char *mark;

	while ((mark = strstr(text, MARK)) != NULL) {
		text_add(out, text, (size_t)(mark - text));
		text_add(out, spec.bytes, spec.length);
		text = mark + strlen(MARK);
	}
	text_add(out, text, strlen(text));
}

/* Makes the page of a list that starts after a name. */
static void make_page(struct text *out, const json_t *list, const char *after)
{
	const json_t *objects = json_object_get(list, "items");
	size_t count = json_array_size(objects);
	struct item *items = calloc(count + 1, sizeof(*items));
	bool more = false;
	size_t on_page = 0;
	char end[96];
	size_t i;

	if (!items)
		abort();
	for (i = 0; i < count; i++) {
		items[i].object = json_array_get(objects, i);
		items[i].name = json_string_value(
			json_object_get(json_object_get(items[i].object, "meta"), "name"));
	}
	qsort(items, count, sizeof(*items), compare_items);
	text_add(out, "{\"items\":[", strlen("{\"items\":["));
	for (i = 0; i < count && !more; i++) {
		struct text item = {0};
		char *plain;

		if (strcmp(items[i].name, after) <= 0)
			continue;
		plain = json_dumps(items[i].object, JSON_COMPACT | JSON_REAL_PRECISION(15));
		if (!plain)
			abort();
		add_marked(&item, plain);
		free(plain);
		more = on_page == PAGE_ITEMS || (on_page && out->length + item.length > PAGE_BYTES);
		if (!more) {
			if (on_page++)
				text_add(out, ",", 1);
			text_add(out, item.bytes, item.length);
		}
		free(item.bytes);
	}
	free(items);
	snprintf(end, sizeof(end), "],\"has_more\":%s,\"read_rev\":%lld}", more ? "true" : "false",
		 (long long)json_integer_value(json_object_get(list, "read_rev")));
	text_add(out, end, strlen(end));
}

/* Asks the store; `answer` is the whole answer. */
static bool ask(const struct sockaddr_in *store, const struct text *request, struct text *answer,
		size_t *head_bytes)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = fd >= 0 && connect(fd, (const struct sockaddr *)store, sizeof(*store)) == 0 &&
		  write_all(fd, request->bytes, request->length) &&
		  read_message(fd, answer, head_bytes);

	if (fd >= 0)
		close(fd);
	return ok;
}

/* Answers with the status of the store's answer and this body. */
static bool reply(int fd, const struct text *answer, const struct text *body)
{
	char head[256];
	size_t line_bytes = strcspn(answer->bytes, "\r");

	snprintf(head, sizeof(head),
		 "%.*s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		 (int)line_bytes, answer->bytes, body->length);
	return write_all(fd, head, strlen(head)) && write_all(fd, body->bytes, body->length);
}

/* The list of databases as bc-site has it, with the request for a page. */
static bool answer_list(int fd, const struct sockaddr_in *store, const char *after)
{
	static const char list[] = "GET " LIST_PATH " HTTP/1.1\r\nHost: store\r\n\r\n";
	struct text request = {(char *)list, sizeof(list) - 1};
	struct text answer = {0};
	struct text body = {0};
	size_t head_bytes;
	json_t *items;
	bool ok;

	if (!ask(store, &request, &answer, &head_bytes)) {
		free(answer.bytes);
		return false;
	}
	items = json_loadb(answer.bytes + head_bytes, answer.length - head_bytes, 0, NULL);
	if (!items)
		abort();
	make_page(&body, items, after);
	json_decref(items);
	ok = reply(fd, &answer, &body);
	free(answer.bytes);
	free(body.bytes);
	return ok;
}

static bool answer_other(int fd, const struct sockaddr_in *store, const struct text *request)
{
	struct text answer = {0};
	struct text body = {0};
	size_t head_bytes;
	bool ok = ask(store, request, &answer, &head_bytes);

	if (ok) {
		add_marked(&body, answer.bytes + head_bytes);
		ok = reply(fd, &answer, &body);
	}
	free(answer.bytes);
	free(body.bytes);
	return ok;
}

/* Answers the calls on a connection until it ends. */
static void serve(int fd, const struct sockaddr_in *store)
{
	for (;;) {
		struct text request = {0};
		char path[PATH_BYTES] = "";
		char after[PATH_BYTES] = "";
		const char *query;
		size_t head_bytes;
		bool ok;

		if (!read_message(fd, &request, &head_bytes)) {
			free(request.bytes);
			return;
		}
		if (sscanf(request.bytes, "GET %1023s", path) == 1 &&
		    strncmp(path, LIST_PATH, strlen(LIST_PATH)) == 0 &&
		    (path[strlen(LIST_PATH)] == '\0' || path[strlen(LIST_PATH)] == '?') &&
		    !strstr(path, "watch=")) {
			query = strstr(path, "after=");
			if (query)
				sscanf(query, "after=%1023[^&]", after);
			ok = answer_list(fd, store, after);
		} else {
			ok = answer_other(fd, store, &request);
		}
		free(request.bytes);
		if (!ok)
			return;
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in address;
	struct sockaddr_in store;
	char chunk[4096];
	size_t length;
	FILE *file;
	int on = 1;
	int fd;

	if (argc != 4 || !address_parse(argv[1], &address) || !address_parse(argv[2], &store))
		return 2;
	file = fopen(argv[3], "rb");
	if (!file)
		return 2;
	while ((length = fread(chunk, 1, sizeof(chunk), file)) > 0)
		text_add(&spec, chunk, length);
	fclose(file);
	/* No child becomes a zombie. */
	signal(SIGCHLD, SIG_IGN);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(fd, 256) != 0) {
		perror("store-front");
		return 1;
	}
	for (;;) {
		int accepted = accept(fd, NULL, NULL);

		if (accepted < 0 && errno != EINTR)
			return 1;
		if (accepted < 0)
			continue;
		if (fork() == 0) {
			close(fd);
			serve(accepted, &store);
			_exit(0);
		}
		close(accepted);
	}
}
