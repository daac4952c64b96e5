#include "io/io.h"

#include <apr_allocator.h>
#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#define POLLSET_SIZE 4096
#define MAX_ITERATION_HOOKS 4
/* Of the pools of removed watches; APR returns the rest to the system. */
#define FREE_POOLS_MAX_BYTES ((apr_size_t)256 * 1024)
#define MAX_SIGNALS 8
/* A timer that fires later than this is logged: the process got too little processor time. */
#define DELAY_LOGGED_US (250 * BC_US_PER_MS)

struct io_watch {
	struct io_loop *loop;
	apr_pool_t *pool;
	apr_file_t *file;
	int fd;
	uint32_t events;
	bool removed;
	io_fd_fn fn;
	void *data;
	struct io_watch *next_removed;
};

struct io_timer {
	struct io_loop *loop;
	uint64_t at_us;
	uint64_t sequence;
	size_t index; /* in the heap */
	io_callback_fn fn;
	void *data;
};

struct iteration_hook {
	io_callback_fn fn;
	void *data;
};

struct signal_handler {
	int number;
	io_callback_fn fn;
	void *data;
};

struct io_loop {
	struct bc_ctx *ctx;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct io_timer **heap;
	size_t timer_count;
	size_t heap_capacity;
	uint64_t sequence;
	struct io_watch *removed;
	struct iteration_hook hooks[MAX_ITERATION_HOOKS];
	size_t hook_count;
	struct signal_handler signals[MAX_SIGNALS];
	size_t signal_count;
	sigset_t signal_set;
	int signal_fd;
	struct io_watch *signal_watch;
	bool stopped;
};

/* Time since boot in microseconds; unlike CLOCK_MONOTONIC it includes time the VM is suspended. */
uint64_t io_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * BC_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Creates a loop, or returns NULL with the last message set. */
struct io_loop *io_loop_create(struct bc_ctx *ctx)
{
	struct io_loop *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return NULL;
	apr_initialize();
	loop->ctx = ctx;
	/* A closed connection, or a log without a reader, fails the write instead. */
	signal(SIGPIPE, SIG_IGN);
	loop->signal_fd = -1;
	sigemptyset(&loop->signal_set);
	apr_pool_create(&loop->pool, NULL);
	apr_allocator_max_free_set(apr_pool_allocator_get(loop->pool), FREE_POOLS_MAX_BYTES);
	if (apr_pollset_create(&loop->pollset, POLLSET_SIZE, loop->pool, 0) != APR_SUCCESS) {
		bc_fail(ctx, BC_EIO, "cannot create the poll set");
		apr_pool_destroy(loop->pool);
		free(loop);
		return NULL;
	}
	return loop;
}

static void free_removed(struct io_loop *loop)
{
	while (loop->removed) {
		struct io_watch *watch = loop->removed;

		loop->removed = watch->next_removed;
		apr_pool_destroy(watch->pool);
		free(watch);
	}
}

/* Frees the loop and its timers. Watches must be removed before. NULL is allowed. */
void io_loop_destroy(struct io_loop *loop)
{
	size_t i;

	if (!loop)
		return;
	if (loop->signal_watch)
		io_watch_remove(loop->signal_watch);
	free_removed(loop);
	for (i = 0; i < loop->timer_count; i++)
		free(loop->heap[i]);
	free(loop->heap);
	if (loop->signal_fd >= 0)
		close(loop->signal_fd);
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
	free(loop);
}

static apr_pollfd_t watch_pollfd(struct io_watch *watch)
{
	apr_pollfd_t pollfd = {0};

	pollfd.p = watch->pool;
	pollfd.desc_type = APR_POLL_FILE;
	pollfd.desc.f = watch->file;
	pollfd.client_data = watch;
	if (watch->events & IO_READ)
		pollfd.reqevents |= APR_POLLIN;
	if (watch->events & IO_WRITE)
		pollfd.reqevents |= APR_POLLOUT;
	return pollfd;
}

/* Watches a descriptor. Returns NULL if it cannot be added. */
struct io_watch *io_watch_add(struct io_loop *loop, int fd, uint32_t events, io_fd_fn fn,
			      void *data)
{
	struct io_watch *watch = calloc(1, sizeof(*watch));
	apr_pollfd_t pollfd;

	if (!watch)
		return NULL;
	watch->loop = loop;
	watch->fd = fd;
	watch->events = events;
	watch->fn = fn;
	watch->data = data;
	apr_pool_create(&watch->pool, loop->pool);
	apr_os_file_put(&watch->file, &watch->fd, 0, watch->pool);
	pollfd = watch_pollfd(watch);
	if (apr_pollset_add(loop->pollset, &pollfd) != APR_SUCCESS) {
		bc_fail(loop->ctx, BC_EIO, "cannot watch descriptor %d", fd);
		apr_pool_destroy(watch->pool);
		free(watch);
		return NULL;
	}
	return watch;
}

/* Changes the events of a watch. */
void io_watch_set(struct io_watch *watch, uint32_t events)
{
	apr_pollfd_t pollfd = watch_pollfd(watch);

	if (events == watch->events)
		return;
	apr_pollset_remove(watch->loop->pollset, &pollfd);
	watch->events = events;
	pollfd = watch_pollfd(watch);
	apr_pollset_add(watch->loop->pollset, &pollfd);
}

/* Stops watching. Must be called before the descriptor is closed. NULL is allowed. */
void io_watch_remove(struct io_watch *watch)
{
	apr_pollfd_t pollfd;

	if (!watch || watch->removed)
		return;
	pollfd = watch_pollfd(watch);
	apr_pollset_remove(watch->loop->pollset, &pollfd);
	watch->removed = true;
	watch->next_removed = watch->loop->removed;
	watch->loop->removed = watch;
}

static bool timer_before(const struct io_timer *a, const struct io_timer *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void heap_set(struct io_loop *loop, size_t index, struct io_timer *timer)
{
	loop->heap[index] = timer;
	timer->index = index;
}

static void heap_up(struct io_loop *loop, size_t index)
{
	struct io_timer *timer = loop->heap[index];

	while (index > 0 && timer_before(timer, loop->heap[(index - 1) / 2])) {
		heap_set(loop, index, loop->heap[(index - 1) / 2]);
		index = (index - 1) / 2;
	}
	heap_set(loop, index, timer);
}

static void heap_down(struct io_loop *loop, size_t index)
{
	struct io_timer *timer = loop->heap[index];

	for (;;) {
		size_t child = 2 * index + 1;

		if (child >= loop->timer_count)
			break;
		if (child + 1 < loop->timer_count &&
		    timer_before(loop->heap[child + 1], loop->heap[child]))
			child++;
		if (!timer_before(loop->heap[child], timer))
			break;
		heap_set(loop, index, loop->heap[child]);
		index = child;
	}
	heap_set(loop, index, timer);
}

static void heap_remove(struct io_loop *loop, struct io_timer *timer)
{
	size_t index = timer->index;
	struct io_timer *last = loop->heap[--loop->timer_count];

	if (last == timer)
		return;
	heap_set(loop, index, last);
	heap_up(loop, index);
	heap_down(loop, last->index);
}

/* Calls fn once after delay_us microseconds. Returns NULL when out of memory. */
struct io_timer *io_timer_add(struct io_loop *loop, uint64_t delay_us, io_callback_fn fn,
			      void *data)
{
	struct io_timer *timer;

	if (loop->timer_count == loop->heap_capacity) {
		size_t size = loop->heap_capacity ? 2 * loop->heap_capacity : 64;
		struct io_timer **heap = realloc(loop->heap, size * sizeof(struct io_timer *));

		if (!heap)
			return NULL;
		loop->heap = heap;
		loop->heap_capacity = size;
	}
	timer = calloc(1, sizeof(*timer));
	if (!timer)
		return NULL;
	timer->loop = loop;
	timer->at_us = io_now_us() + delay_us;
	timer->sequence = loop->sequence++;
	timer->fn = fn;
	timer->data = data;
	heap_set(loop, loop->timer_count++, timer);
	heap_up(loop, timer->index);
	return timer;
}

/* Cancels a timer that has not fired. NULL is allowed. */
void io_timer_cancel(struct io_timer *timer)
{
	if (!timer)
		return;
	heap_remove(timer->loop, timer);
	free(timer);
}

/* Calls fn at the end of every iteration. At most MAX_ITERATION_HOOKS calls are registered. */
void io_loop_on_iteration(struct io_loop *loop, io_callback_fn fn, void *data)
{
	if (loop->hook_count < MAX_ITERATION_HOOKS)
		loop->hooks[loop->hook_count++] = (struct iteration_hook){fn, data};
}

static void on_signal_fd(void *data, int fd, uint32_t events)
{
	struct io_loop *loop = data;
	struct signalfd_siginfo info;
	size_t i;

	(void)events;
	while (read(fd, &info, sizeof(info)) == (ssize_t)sizeof(info))
		for (i = 0; i < loop->signal_count; i++)
			if (loop->signals[i].number == (int)info.ssi_signo)
				loop->signals[i].fn(loop->signals[i].data);
}

/* Blocks a signal and calls fn from the loop when it arrives. */
enum bc_status io_loop_on_signal(struct io_loop *loop, int signal_number, io_callback_fn fn,
				 void *data)
{
	if (loop->signal_count == MAX_SIGNALS)
		return bc_fail(loop->ctx, BC_ELIMIT, "too many signal handlers");
	loop->signals[loop->signal_count++] = (struct signal_handler){signal_number, fn, data};
	sigaddset(&loop->signal_set, signal_number);
	sigprocmask(SIG_BLOCK, &loop->signal_set, NULL);
	loop->signal_fd = signalfd(loop->signal_fd, &loop->signal_set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (loop->signal_fd < 0)
		return bc_fail(loop->ctx, BC_EIO, "cannot receive signals");
	if (!loop->signal_watch)
		loop->signal_watch =
			io_watch_add(loop, loop->signal_fd, IO_READ, on_signal_fd, loop);
	return loop->signal_watch ? BC_OK : BC_EIO;
}

/* Logs that the loop runs late: it did not get the processor, or the VM was suspended. */
static void log_delay(const struct io_loop *loop, uint64_t now_us)
{
	uint64_t due_us = loop->timer_count ? loop->heap[0]->at_us : now_us;

	if (now_us > due_us + DELAY_LOGGED_US)
		bc_log(loop->ctx, BC_LOG_WARN, "loop_delayed", "{s:I}", "late_ms",
		       (json_int_t)((now_us - due_us) / BC_US_PER_MS));
}

static void run_timers(struct io_loop *loop)
{
	uint64_t now_us = io_now_us();

	log_delay(loop, now_us);
	while (loop->timer_count && !loop->stopped) {
		struct io_timer *timer = loop->heap[0];
		/* The analyzer does not see that heap_remove() precedes the free(). */
		struct io_timer due = *timer; /* NOLINT(clang-analyzer-unix.Malloc) */

		if (due.at_us > now_us)
			return;
		io_timer_cancel(timer);
		due.fn(due.data);
	}
}

static apr_interval_time_t next_timeout(const struct io_loop *loop)
{
	uint64_t now_us = io_now_us();

	if (!loop->timer_count)
		return (apr_interval_time_t)BC_US_PER_S;
	if (loop->heap[0]->at_us <= now_us)
		return 0;
	/* The pollset's timeout is in whole milliseconds; rounding up avoids idle iterations. */
	return (apr_interval_time_t)((loop->heap[0]->at_us - now_us + 999) / 1000 * 1000);
}

static void dispatch(const apr_pollfd_t *pollfd)
{
	struct io_watch *watch = pollfd->client_data;
	uint32_t events = 0;

	if (watch->removed)
		return;
	if (pollfd->rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		events |= IO_READ;
	if (pollfd->rtnevents & (APR_POLLOUT | APR_POLLERR))
		events |= IO_WRITE;
	watch->fn(watch->data, watch->fd, events);
}

/* Runs until io_loop_stop(). */
void io_loop_run(struct io_loop *loop)
{
	const apr_pollfd_t *ready;
	apr_int32_t count;
	apr_int32_t i;
	size_t hook;

	loop->stopped = false;
	while (!loop->stopped) {
		count = 0;
		if (apr_pollset_poll(loop->pollset, next_timeout(loop), &count, &ready) !=
		    APR_SUCCESS)
			count = 0;
		for (i = 0; i < count; i++)
			dispatch(&ready[i]);
		run_timers(loop);
		for (hook = 0; hook < loop->hook_count; hook++)
			loop->hooks[hook].fn(loop->hooks[hook].data);
		free_removed(loop);
	}
}

/* Makes io_loop_run() return after the current iteration. */
void io_loop_stop(struct io_loop *loop)
{
	loop->stopped = true;
}
