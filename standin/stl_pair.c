#include "standin/stl_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define CHUNK_BYTES 16384U
/* Limit of the bytes queued in one direction of a connection; allows 30 Mbit/s with 60 ms delay. */
#define QUEUE_MAX_BYTES 262144U

struct chunk {
	struct chunk *next;
	uint64_t due_us;
	size_t bytes; /* 0: the end of the stream */
	size_t sent;
	char data[];
};

/* One direction of a pair: from the socket fds[direction] to the other one. */
struct flow {
	struct stl_pair *pair;
	enum stl_direction direction;
	struct chunk *first;
	struct chunk *last;
	size_t queued_bytes;
	uint64_t last_due_us;
	/* A timerfd, since the loop's timers round up to 1 ms, which can double a short delay. */
	int timer_fd;
	struct io_watch *timer;
	bool end_read;
	bool end_sent; /* the end of the stream was passed on */
	bool blocked;  /* the receiving socket's buffer is full */
};

/* A relayed connection: the accepted socket and the one to the target. */
struct stl_pair {
	struct stl_link *link;
	struct stl_pair *next;
	struct stl_pair *previous;
	struct sockaddr_in source;
	struct stl_rule *rule;	 /* NULL: none applies, and the link's own delay counts */
	int fds[STL_DIRECTIONS]; /* fds[d] is read by flows[d] and written by the other flow */
	struct io_watch *watches[STL_DIRECTIONS];
	struct flow flows[STL_DIRECTIONS];
	bool connecting;
	bool connected;
	bool silent; /* for good */
};

/* The next pair of the link. */
struct stl_pair *stl_pair_next(const struct stl_pair *pair)
{
	return pair->next;
}

static void drop_chunk(struct flow *flow)
{
	struct chunk *chunk = flow->first;

	flow->first = chunk->next;
	if (!flow->first)
		flow->last = NULL;
	flow->queued_bytes -= chunk->bytes;
	free(chunk);
}

static void close_pair(struct stl_pair *pair)
{
	size_t i;

	if (pair->next)
		pair->next->previous = pair->previous;
	if (pair->previous)
		pair->previous->next = pair->next;
	else
		pair->link->pairs = pair->next;
	pair->link->open_pairs--;
	for (i = 0; i < STL_DIRECTIONS; i++) {
		while (pair->flows[i].first)
			drop_chunk(&pair->flows[i]);
		io_watch_remove(pair->flows[i].timer);
		if (pair->flows[i].timer_fd >= 0)
			close(pair->flows[i].timer_fd);
		io_watch_remove(pair->watches[i]);
		if (pair->fds[i] >= 0)
			close(pair->fds[i]);
	}
	free(pair);
}

static bool is_cut(const struct stl_pair *pair, enum stl_direction direction)
{
	return pair->silent || pair->link->cut[direction] || (pair->rule && pair->rule->cut);
}

/* Whether a direction is cut; the handshake with the target needs both. */
static bool any_cut(const struct stl_pair *pair)
{
	return is_cut(pair, STL_UP) || is_cut(pair, STL_DOWN);
}

static uint64_t delay_us(const struct stl_pair *pair)
{
	return pair->rule ? pair->rule->delay_us : pair->link->delay_us;
}

/* Schedules bytes by the rate and delay; returns the time at which they are to be sent on. */
static uint64_t schedule_bytes(struct flow *flow, size_t bytes)
{
	struct stl_link *link = flow->pair->link;
	uint64_t at_us = io_now_us();
	uint64_t *next_send_us = &link->next_send_us[flow->direction];

	if (link->rate_kbit) {
		if (*next_send_us > at_us)
			at_us = *next_send_us;
		at_us += bytes * 8 * 1000 / link->rate_kbit;
		*next_send_us = at_us;
	}
	at_us += delay_us(flow->pair);
	/* Bytes read after the delay was shortened must not overtake earlier ones. */
	if (at_us < flow->last_due_us)
		at_us = flow->last_due_us;
	flow->last_due_us = at_us;
	return at_us;
}

static void push_chunk(struct flow *flow, struct chunk *chunk)
{
	chunk->due_us = schedule_bytes(flow, chunk->bytes);
	if (flow->last)
		flow->last->next = chunk;
	else
		flow->first = chunk;
	flow->last = chunk;
	flow->queued_bytes += chunk->bytes;
}

/* Reads one chunk. False if the connection has failed. */
static bool read_chunk(struct flow *flow)
{
	struct chunk *chunk = calloc(1, sizeof(*chunk) + CHUNK_BYTES);
	ssize_t got;

	if (!chunk)
		return false;
	got = recv(flow->pair->fds[flow->direction], chunk->data, CHUNK_BYTES, 0);
	if (got < 0) {
		free(chunk);
		return errno == EAGAIN || errno == EINTR;
	}
	chunk->bytes = (size_t)got;
	flow->end_read = got == 0;
	push_chunk(flow, chunk);
	return true;
}

/* Sends what is due. False if the connection has failed. */
static bool send_due(struct flow *flow)
{
	struct stl_pair *pair = flow->pair;
	int fd = pair->fds[!flow->direction];
	uint64_t now_us = io_now_us();

	flow->blocked = false;
	while (flow->first && flow->first->due_us <= now_us) {
		struct chunk *chunk = flow->first;
		ssize_t sent;

		if (!chunk->bytes) {
			shutdown(fd, SHUT_WR);
			flow->end_sent = true;
			drop_chunk(flow);
			return true;
		}
		sent = send(fd, chunk->data + chunk->sent, chunk->bytes - chunk->sent,
			    MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (sent < 0) {
			flow->blocked = true;
			return true;
		}
		chunk->sent += (size_t)sent;
		pair->link->bytes[flow->direction] += (uint64_t)sent;
		if (pair->rule)
			pair->rule->bytes[flow->direction] += (uint64_t)sent;
		if (chunk->sent == chunk->bytes)
			drop_chunk(flow);
	}
	return true;
}

static void on_timer(void *data, int fd, uint32_t events)
{
	struct flow *flow = data;
	uint64_t expirations;

	(void)events;
	if (read(fd, &expirations, sizeof(expirations)) > 0)
		stl_pair_update(flow->pair);
}

static void set_timer(struct flow *flow)
{
	struct itimerspec at = {0};

	if (flow->first && !flow->blocked && !is_cut(flow->pair, flow->direction)) {
		at.it_value.tv_sec = (time_t)(flow->first->due_us / BC_US_PER_S);
		at.it_value.tv_nsec = (long)(flow->first->due_us % BC_US_PER_S * 1000);
	}
	timerfd_settime(flow->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void finish_connect(struct stl_pair *pair)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(pair->fds[STL_DOWN], SOL_SOCKET, SO_ERROR, &error, &length);
	if (error) {
		pair->link->connect_failures++;
		close_pair(pair);
		return;
	}
	pair->connecting = false;
	pair->connected = true;
	stl_pair_update(pair);
}

static void on_ready(void *data, int fd, uint32_t events)
{
	struct stl_pair *pair = data;
	enum stl_direction side = fd == pair->fds[STL_UP] ? STL_UP : STL_DOWN;

	if (pair->connecting) {
		finish_connect(pair);
		return;
	}
	if ((events & IO_READ) && !pair->flows[side].end_read && !is_cut(pair, side) &&
	    !read_chunk(&pair->flows[side])) {
		close_pair(pair);
		return;
	}
	stl_pair_update(pair);
}

static uint32_t wanted_events(const struct stl_pair *pair, enum stl_direction side)
{
	const struct flow *incoming = &pair->flows[side];
	const struct flow *outgoing = &pair->flows[!side];
	uint32_t events = 0;

	if (pair->connecting)
		return side == STL_DOWN && !any_cut(pair) ? IO_WRITE : 0;
	if (!pair->connected)
		return 0;
	if (!incoming->end_read && incoming->queued_bytes < QUEUE_MAX_BYTES && !is_cut(pair, side))
		events |= IO_READ;
	if (outgoing->blocked && !is_cut(pair, outgoing->direction))
		events |= IO_WRITE;
	return events;
}

/* Without wanted events the watch is removed, as it would report a hang-up in every iteration. */
static void set_watch(struct stl_pair *pair, enum stl_direction side)
{
	uint32_t events = wanted_events(pair, side);

	if (!events) {
		io_watch_remove(pair->watches[side]);
		pair->watches[side] = NULL;
	} else if (pair->watches[side]) {
		io_watch_set(pair->watches[side], events);
	} else {
		pair->watches[side] = io_watch_add(pair->link->relay->loop, pair->fds[side], events,
						   on_ready, pair);
	}
}

/* Starts the connection to the target. False if that fails at once. */
static bool connect_target(struct stl_pair *pair)
{
	const struct sockaddr_in *target = &pair->link->target;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return false;
	pair->fds[STL_DOWN] = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pair->connecting = true;
	return connect(fd, (const struct sockaddr *)target, sizeof(*target)) == 0 ||
	       errno == EINPROGRESS;
}

/* Silences the pair for good. */
void stl_pair_silence(struct stl_pair *pair)
{
	pair->silent = true;
}

/* Sends what is due, then updates timers and watches. May close and free the pair. */
void stl_pair_update(struct stl_pair *pair)
{
	size_t i;

	pair->rule = stl_rule_match(pair->link, &pair->source);
	if (!any_cut(pair) && !pair->connecting && !pair->connected && !connect_target(pair)) {
		pair->link->connect_failures++;
		close_pair(pair);
		return;
	}
	for (i = 0; pair->connected && i < STL_DIRECTIONS; i++)
		if (!is_cut(pair, (enum stl_direction)i) && !send_due(&pair->flows[i])) {
			close_pair(pair);
			return;
		}
	if (pair->flows[STL_UP].end_sent && pair->flows[STL_DOWN].end_sent) {
		close_pair(pair);
		return;
	}
	for (i = 0; i < STL_DIRECTIONS; i++) {
		set_timer(&pair->flows[i]);
		set_watch(pair, (enum stl_direction)i);
	}
}

/* Relays an accepted connection; connects to the target unless a direction is cut. */
void stl_pair_create(struct stl_link *link, int client_fd, const struct sockaddr_in *source)
{
	/*
	 * The caller's connect() to the relay succeeds without the delay. Over a real link with
	 * this one-way delay, TCP's handshake would let the caller's first byte arrive after three
	 * delays, and the target's first byte after four.
	 */
	static const uint64_t handshake_delays[STL_DIRECTIONS] = {3, 4};
	struct stl_pair *pair = calloc(1, sizeof(*pair));
	int one = 1;
	size_t i;

	if (!pair) {
		close(client_fd);
		return;
	}
	pair->source = *source;
	pair->rule = stl_rule_match(link, source);
	if (pair->rule)
		pair->rule->accepted++;
	setsockopt(client_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pair->link = link;
	pair->fds[STL_UP] = client_fd;
	pair->fds[STL_DOWN] = -1;
	for (i = 0; i < STL_DIRECTIONS; i++) {
		pair->flows[i].pair = pair;
		pair->flows[i].direction = (enum stl_direction)i;
		pair->flows[i].last_due_us = io_now_us() + handshake_delays[i] * delay_us(pair);
		pair->flows[i].timer_fd =
			timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
		pair->flows[i].timer = io_watch_add(link->relay->loop, pair->flows[i].timer_fd,
						    IO_READ, on_timer, &pair->flows[i]);
	}
	pair->next = link->pairs;
	if (pair->next)
		pair->next->previous = pair;
	link->pairs = pair;
	link->open_pairs++;
	stl_pair_update(pair);
}
