#include "standin/stl_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

/* Creates a relay without links. */
struct stl_relay *stl_relay_create(struct bc_ctx *ctx, struct io_loop *loop)
{
	struct stl_relay *relay = calloc(1, sizeof(*relay));

	if (!relay)
		return NULL;
	relay->ctx = ctx;
	relay->loop = loop;
	return relay;
}

/* Frees a relay that has no links, and its rules. NULL is allowed. */
void stl_relay_destroy(struct stl_relay *relay)
{
	struct stl_rule *rule = relay ? relay->rules : NULL;

	while (rule) {
		struct stl_rule *next = rule->next;

		free(rule);
		rule = next;
	}
	free(relay);
}

static struct stl_link *find_link(const struct stl_relay *relay, const char *name)
{
	struct stl_link *link;

	for (link = relay->links; link; link = link->next)
		if (strcmp(link->name, name) == 0)
			return link;
	return NULL;
}

/* Parses IP:PORT. False if malformed or if the port is 0, as a link needs fixed ports. */
static bool parse_address(const char *text, struct sockaddr_in *out)
{
	return text && io_address_parse(text, out) && out->sin_port;
}

static void on_accept(void *data, int fd, uint32_t events)
{
	struct stl_link *link = data;
	struct sockaddr_in source = {0};
	socklen_t length = sizeof(source);
	int client_fd;

	(void)events;
	while ((client_fd = accept4(fd, (struct sockaddr *)&source, &length,
				    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		link->accepted++;
		stl_pair_create(link, client_fd, &source);
		length = sizeof(source);
	}
}

static int listen_on(const struct sockaddr_in *address)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Adds a link and starts to listen. BC_EINVAL or BC_EIO with the last message. */
enum bc_status stl_link_add(struct stl_relay *relay, const struct stl_link_settings *settings)
{
	struct sockaddr_in address;
	struct stl_link *link;

	if (!bc_id_valid(settings->name) || find_link(relay, settings->name))
		return bc_fail(relay->ctx, BC_EINVAL, "link name \"%s\" is not valid or not unique",
			       settings->name ? settings->name : "");
	link = calloc(1, sizeof(*link));
	if (!link)
		return bc_fail(relay->ctx, BC_ENOMEM, "out of memory");
	if (!parse_address(settings->listen, &address) ||
	    !parse_address(settings->target, &link->target)) {
		free(link);
		return bc_fail(relay->ctx, BC_EINVAL, "link %s: listen and target must be IP:PORT",
			       settings->name);
	}
	link->listen_fd = listen_on(&address);
	if (link->listen_fd < 0) {
		free(link);
		return bc_fail(relay->ctx, BC_EIO, "link %s: cannot listen on %s: %s",
			       settings->name, settings->listen, strerror(errno));
	}
	link->relay = relay;
	snprintf(link->name, sizeof(link->name), "%s", settings->name);
	snprintf(link->target_text, sizeof(link->target_text), "%s", settings->target);
	link->delay_us = settings->delay_ms * BC_US_PER_MS;
	link->rate_kbit = settings->rate_kbit;
	link->next = relay->links;
	relay->links = link;
	io_watch_add(relay->loop, link->listen_fd, IO_READ, on_accept, link);
	return BC_OK;
}

/* Whether a link has this name. */
bool stl_link_exists(const struct stl_relay *relay, const char *name)
{
	return find_link(relay, name) != NULL;
}

static void update_pairs(struct stl_link *link)
{
	struct stl_pair *pair;

	for (pair = link->pairs; pair;) {
		/* An update may close and free the pair. */
		struct stl_pair *next = stl_pair_next(pair);

		stl_pair_update(pair);
		pair = next;
	}
}

/*
 * Cuts or heals one direction of a link. While it is cut, sockets stay open, no bytes pass in that
 * direction and no new connection reaches the target. Bytes in flight are delivered once it is
 * healed, as TCP would do by retransmission.
 */
void stl_link_cut_set(struct stl_relay *relay, const char *name, enum stl_direction direction,
		      bool cut)
{
	struct stl_link *link = find_link(relay, name);

	if (!link || link->cut[direction] == cut)
		return;
	link->cut[direction] = cut;
	bc_log(relay->ctx, BC_LOG_INFO, cut ? "cut" : "healed", "{s:s,s:s}", "link", name,
	       "direction", direction == STL_UP ? "up" : "down");
	update_pairs(link);
}

/*
 * Silences the open connections of a link for good: they stay open, but pass no more bytes. New
 * connections are not affected.
 */
void stl_link_silence(struct stl_relay *relay, const char *name)
{
	struct stl_link *link = find_link(relay, name);
	struct stl_pair *pair;

	if (!link)
		return;
	for (pair = link->pairs; pair; pair = stl_pair_next(pair))
		stl_pair_silence(pair);
	bc_log(relay->ctx, BC_LOG_INFO, "silenced", "{s:s,s:i}", "link", name, "connections",
	       (int)link->open_pairs);
	update_pairs(link);
}

/* Applies changed rules to all connections. */
void stl_relay_update(struct stl_relay *relay)
{
	struct stl_link *link;

	for (link = relay->links; link; link = link->next)
		update_pairs(link);
}

/* Sets the one-way delay of bytes that are read from now on. */
void stl_link_delay_set(struct stl_relay *relay, const char *name, uint64_t delay_ms)
{
	struct stl_link *link = find_link(relay, name);

	if (link)
		link->delay_us = delay_ms * BC_US_PER_MS;
}

/* Sets the rate limit of each direction; 0 for no limit. */
void stl_link_rate_set(struct stl_relay *relay, const char *name, uint64_t rate_kbit)
{
	struct stl_link *link = find_link(relay, name);

	if (link)
		link->rate_kbit = rate_kbit;
}

/* {"links":{NAME:{...}},"rules":[...]}; "up" is from the listening side to the target. A new
 * reference. */
json_t *stl_relay_counters(const struct stl_relay *relay)
{
	json_t *links = json_object();
	const struct stl_link *link;

	for (link = relay->links; link; link = link->next)
		json_object_set_new(links, link->name,
				    json_pack("{s:I,s:I,s:I,s:I,s:i,s:b,s:b,s:I,s:I}", "bytes_up",
					      (json_int_t)link->bytes[STL_UP], "bytes_down",
					      (json_int_t)link->bytes[STL_DOWN], "accepted",
					      (json_int_t)link->accepted, "connect_failed",
					      (json_int_t)link->connect_failures, "open",
					      (int)link->open_pairs, "cut_up", link->cut[STL_UP],
					      "cut_down", link->cut[STL_DOWN], "delay_ms",
					      (json_int_t)(link->delay_us / BC_US_PER_MS),
					      "rate_kbit", (json_int_t)link->rate_kbit));
	return json_pack("{s:o,s:o}", "links", links, "rules", stl_rules_json(relay));
}
