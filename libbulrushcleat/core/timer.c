#include "core/timer.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 64U

/* A binary heap; heap[0] is unused so that the children of i are 2i and 2i+1. */
struct bc_timers {
	struct bc_timer **heap;
	size_t count;
	size_t capacity;
};

/* Creates an empty set of timers; NULL when out of memory. */
struct bc_timers *bc_timers_create(void)
{
	struct bc_timers *timers = calloc(1, sizeof(*timers));

	if (!timers)
		return NULL;
	timers->capacity = INITIAL_CAPACITY;
	timers->heap = calloc(timers->capacity, sizeof(struct bc_timer *));
	if (!timers->heap) {
		free(timers);
		return NULL;
	}
	return timers;
}

/* Frees the set, but not the timers, which belong to their owners. NULL is allowed. */
void bc_timers_destroy(struct bc_timers *timers)
{
	if (!timers)
		return;
	free(timers->heap);
	free(timers);
}

/* Initialises a timer, which is not set yet. */
void bc_timer_init(struct bc_timer *timer, bc_timer_fn fn, void *data)
{
	*timer = (struct bc_timer){BC_TIMER_NEVER, 0, fn, data};
}

static void heap_store(struct bc_timers *timers, size_t heap_index, struct bc_timer *timer)
{
	timers->heap[heap_index] = timer;
	timer->heap_index = heap_index;
}

static void sift_up(struct bc_timers *timers, size_t heap_index)
{
	struct bc_timer *timer = timers->heap[heap_index];

	while (heap_index > 1 && timers->heap[heap_index / 2]->due_us > timer->due_us) {
		heap_store(timers, heap_index, timers->heap[heap_index / 2]);
		heap_index /= 2;
	}
	heap_store(timers, heap_index, timer);
}

static void sift_down(struct bc_timers *timers, size_t heap_index)
{
	struct bc_timer *timer = timers->heap[heap_index];
	size_t child;

	while ((child = 2 * heap_index) <= timers->count) {
		if (child < timers->count &&
		    timers->heap[child + 1]->due_us < timers->heap[child]->due_us)
			child++;
		if (timers->heap[child]->due_us >= timer->due_us)
			break;
		heap_store(timers, heap_index, timers->heap[child]);
		heap_index = child;
	}
	heap_store(timers, heap_index, timer);
}

/* Sets or moves the timer. Aborts when out of memory, since a lost timer would stall requests. */
void bc_timer_set(struct bc_timers *timers, struct bc_timer *timer, uint64_t due_us)
{
	uint64_t old_due_us = timer->due_us;

	timer->due_us = due_us;
	if (timer->heap_index) {
		if (due_us < old_due_us)
			sift_up(timers, timer->heap_index);
		else
			sift_down(timers, timer->heap_index);
		return;
	}
	if (timers->count + 1 == timers->capacity) {
		struct bc_timer **new_heap =
			realloc(timers->heap, 2 * timers->capacity * sizeof(struct bc_timer *));

		if (!new_heap)
			abort();
		timers->heap = new_heap;
		timers->capacity *= 2;
	}
	heap_store(timers, ++timers->count, timer);
	sift_up(timers, timers->count);
}

/* Sets the timer unless it is already set to an earlier time. */
void bc_timer_reduce(struct bc_timers *timers, struct bc_timer *timer, uint64_t due_us)
{
	if (!timer->heap_index || due_us < timer->due_us)
		bc_timer_set(timers, timer, due_us);
}

/* Cancels the timer; does nothing if it is not set. */
void bc_timer_cancel(struct bc_timers *timers, struct bc_timer *timer)
{
	size_t heap_index = timer->heap_index;
	struct bc_timer *last;

	if (!heap_index)
		return;
	timer->heap_index = 0;
	last = timers->heap[timers->count--];
	if (last == timer)
		return;
	heap_store(timers, heap_index, last);
	sift_up(timers, heap_index);
	sift_down(timers, last->heap_index);
}

/* Whether the timer is set, so that its callback will be called. */
bool bc_timer_is_set(const struct bc_timer *timer)
{
	return timer->heap_index != 0;
}

/* When the next timer is due, in microseconds, or BC_TIMER_NEVER if none is set. */
uint64_t bc_timers_next(const struct bc_timers *timers)
{
	return timers->count ? timers->heap[1]->due_us : BC_TIMER_NEVER;
}

/* Calls back all timers that are due. Each is cancelled first, so its callback may set it again. */
void bc_timers_run(struct bc_timers *timers, uint64_t now_us)
{
	while (timers->count && timers->heap[1]->due_us <= now_us) {
		struct bc_timer *timer = timers->heap[1];

		bc_timer_cancel(timers, timer);
		timer->fn(timer->data, now_us);
	}
}
