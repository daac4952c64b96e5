#ifndef BC_TIMER_H
#define BC_TIMER_H

/* Timers ordered by due time. Modules set them; the event loop runs those that are due. */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BC_TIMER_NEVER UINT64_MAX

typedef void (*bc_timer_fn)(void *data, uint64_t now_us);

/* Embedded in the structure of its owner and zeroed before bc_timer_init(). */
struct bc_timer {
	uint64_t due_us;
	size_t heap_index; /* counts from 1; 0 while not set */
	bc_timer_fn fn;
	void *data;
};

struct bc_timers;

struct bc_timers *bc_timers_create(void);
void bc_timers_destroy(struct bc_timers *timers);
void bc_timer_init(struct bc_timer *timer, bc_timer_fn fn, void *data);
/* Sets or moves the timer. It fires once; its callback may set it again. */
void bc_timer_set(struct bc_timers *timers, struct bc_timer *timer, uint64_t due_us);
/* Sets the timer unless it is already set to an earlier time. */
void bc_timer_reduce(struct bc_timers *timers, struct bc_timer *timer, uint64_t due_us);
void bc_timer_cancel(struct bc_timers *timers, struct bc_timer *timer);
bool bc_timer_is_set(const struct bc_timer *timer);
/* When the next timer is due, or BC_TIMER_NEVER if none is set. */
uint64_t bc_timers_next(const struct bc_timers *timers);
/* Calls back all timers that are due at now_us. */
void bc_timers_run(struct bc_timers *timers, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
