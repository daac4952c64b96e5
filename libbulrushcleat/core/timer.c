#include "core/timer.h"

#include <stdlib.h>

#define FIRST_SIZE 64U

/* A binary heap; heap[0] is unused so that the children of i are 2i and 2i+1. */
struct bc_timers {
	struct bc_timer **heap;
	size_t count;
	size_t size;
};

/* Creates an empty set; NULL when out of memory. */
struct bc_timers *bc_timers_create(void)
{
	struct bc_timers *timers = calloc(1, sizeof(*timers));

	if (!timers)
		return NULL;
	timers->size = FIRST_SIZE;
	timers->heap = calloc(timers->size, sizeof(struct bc_timer *));
	if (!timers->heap) {
		free(timers);
		return NULL;
	}
	return timers;
}

/* Frees the set; the timers belong to their owners. NULL is allowed. */
void bc_timers_destroy(struct bc_timers *timers)
{
	if (!timers)
		return;
	free(timers->heap);
	free(timers);
}

/* Prepares a timer that is not set. */
void bc_timer_init(struct bc_timer *timer, bc_timer_fn fn, void *data)
{
	*timer = (struct bc_timer){BC_TIMER_NEVER, 0, fn, data};
}

static void put(struct bc_timers *timers, size_t place, struct bc_timer *timer)
{
	timers->heap[place] = timer;
	timer->place = place;
}

static void sift_up(struct bc_timers *timers, size_t place)
{
	struct bc_timer *timer = timers->heap[place];

	while (place > 1 && timers->heap[place / 2]->at_us > timer->at_us) {
		put(timers, place, timers->heap[place / 2]);
		place /= 2;
	}
	put(timers, place, timer);
}

static void sift_down(struct bc_timers *timers, size_t place)
{
	struct bc_timer *timer = timers->heap[place];
	size_t child;

	while ((child = 2 * place) <= timers->count) {
		if (child < timers->count &&
		    timers->heap[child + 1]->at_us < timers->heap[child]->at_us)
			child++;
		if (timers->heap[child]->at_us >= timer->at_us)
			break;
		put(timers, place, timers->heap[child]);
		place = child;
	}
	put(timers, place, timer);
}

/* Sets or moves the timer. Out of memory ends the process: a lost timer would stall requests. */
void bc_timer_set(struct bc_timers *timers, struct bc_timer *timer, uint64_t at_us)
{
	uint64_t before_us = timer->at_us;

	timer->at_us = at_us;
	if (timer->place) {
		if (at_us < before_us)
			sift_up(timers, timer->place);
		else
			sift_down(timers, timer->place);
		return;
	}
	if (timers->count + 1 == timers->size) {
		struct bc_timer **grown =
			realloc(timers->heap, 2 * timers->size * sizeof(struct bc_timer *));

		if (!grown)
			abort();
		timers->heap = grown;
		timers->size *= 2;
	}
	put(timers, ++timers->count, timer);
	sift_up(timers, timers->count);
}

/* Sets the timer unless it is due earlier already. */
void bc_timer_advance(struct bc_timers *timers, struct bc_timer *timer, uint64_t at_us)
{
	if (!timer->place || at_us < timer->at_us)
		bc_timer_set(timers, timer, at_us);
}

/* Unsets the timer; nothing happens if it is not set. */
void bc_timer_cancel(struct bc_timers *timers, struct bc_timer *timer)
{
	size_t place = timer->place;
	struct bc_timer *last;

	if (!place)
		return;
	timer->place = 0;
	last = timers->heap[timers->count--];
	if (last == timer)
		return;
	put(timers, place, last);
	sift_up(timers, place);
	sift_down(timers, last->place);
}

/* Whether the timer will be called. */
bool bc_timer_is_set(const struct bc_timer *timer)
{
	return timer->place != 0;
}

/* When the next timer is due, in microseconds, or BC_TIMER_NEVER. */
uint64_t bc_timers_next(const struct bc_timers *timers)
{
	return timers->count ? timers->heap[1]->at_us : BC_TIMER_NEVER;
}

/* Calls the timers that are due, each unset before its call. */
void bc_timers_run(struct bc_timers *timers, uint64_t now_us)
{
	while (timers->count && timers->heap[1]->at_us <= now_us) {
		struct bc_timer *timer = timers->heap[1];

		bc_timer_cancel(timers, timer);
		timer->fn(timer->data, now_us);
	}
}
