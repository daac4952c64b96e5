#ifndef BC_IO_BUDGET_H
#define BC_IO_BUDGET_H

/*
 * Applies a memory budget (budget/budget.h) to the streams of callers, and returns freed memory to
 * the system.
 */

#include "budget/budget.h"
#include "io/io.h"

#include <sys/queue.h>

#ifdef __cplusplus
extern "C" {
#endif

struct io_budget;

/* Something that is measured at intervals; embedded in its owner and zeroed at first. */
struct io_sample {
	TAILQ_ENTRY(io_sample) entry;
	bool listed;
	/* Measures, and returns whether to do so again. Does not add or remove samples. */
	bool (*measure)(void *data, uint64_t now_us);
	void *data;
};

struct io_budget_ops {
	/* Close this holder's connection, for a reason of one word. */
	void (*close)(void *data, void *holder_data, const char *reason);
	/* Read from this holder's connection again. */
	void (*resume)(void *data, void *holder_data);
};

/* The memory of the machine in bytes. */
uint64_t io_memory_machine_bytes(void);
/* Makes free() return large blocks to the system. Called once, before anything is allocated. */
void io_memory_setup(void);

struct io_budget *io_budget_create(struct bc_ctx *ctx, struct io_loop *loop,
				   const struct bud_limits *limits, const struct io_budget_ops *ops,
				   void *data);
/* Call it when all streams are closed. NULL is allowed. */
void io_budget_destroy(struct io_budget *budget);
struct bud_budget *io_budget_state(struct io_budget *budget);
/* Carries out the actions that are due. Called at the end of each iteration of the loop. */
void io_budget_run(struct io_budget *budget);
/* Sets the gauges of the budget. */
void io_budget_gauges(struct io_budget *budget);
/* Measures at intervals until measure() returns false, or until the sample is removed. */
void io_budget_sample_add(struct io_budget *budget, struct io_sample *sample);
void io_budget_sample_remove(struct io_budget *budget, struct io_sample *sample);

#ifdef __cplusplus
}
#endif

#endif
