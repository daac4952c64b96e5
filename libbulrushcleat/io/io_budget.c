#include "io/io_budget.h"

#include <malloc.h>
#include <stdlib.h>
#include <unistd.h>

/* How often transfers are measured and stopped holders are considered. */
#define INTERVAL_US (250 * BC_US_PER_MS)
/*
 * The loop runs at least at each interval. After a longer time the process did not run, for lack of
 * a processor or in a suspension of the VM.
 */
#define DELAYED_US (2 * INTERVAL_US)
/* A block of this size is mapped by itself, and returned to the system when it is freed. */
#define MAPPED_BYTES (128 * 1024)
/* Memory is returned to the system when the holdings have fallen by at least this much. */
#define TRIM_BYTES ((uint64_t)1024 * 1024)

struct io_budget {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct bud_budget *state;
	struct io_budget_ops ops;
	void *data;
	struct io_timer *timer;
	TAILQ_HEAD(sample_list, io_sample) samples;
	uint64_t run_us;     /* when actions were last carried out */
	uint64_t peak_bytes; /* the largest total since memory was last returned */
};

/* The memory of the machine in bytes. */
uint64_t io_memory_machine_bytes(void)
{
	return (uint64_t)sysconf(_SC_PHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* Fixes the threshold, which glibc otherwise raises with each large block that is freed. */
void io_memory_setup(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	mallopt(M_TRIM_THRESHOLD, MAPPED_BYTES);
}

/* Returns free memory to the system after the holdings have fallen. */
static void trim(struct io_budget *budget)
{
	uint64_t held_bytes = bud_total_bytes(budget->state);

	if (held_bytes > budget->peak_bytes)
		budget->peak_bytes = held_bytes;
	if (budget->peak_bytes - held_bytes < TRIM_BYTES)
		return;
	malloc_trim(0);
	budget->peak_bytes = held_bytes;
}

static void on_timer(void *data)
{
	struct io_budget *budget = data;
	struct io_sample *sample = TAILQ_FIRST(&budget->samples);
	uint64_t now_us = io_now_us();

	budget->timer = io_timer_add(budget->loop, INTERVAL_US, on_timer, budget);
	while (sample) {
		struct io_sample *next = TAILQ_NEXT(sample, entry);

		if (!sample->measure(sample->data, now_us))
			io_budget_sample_remove(budget, sample);
		sample = next;
	}
	trim(budget);
}

/* Creates a budget with a timer of its own; NULL when out of memory. */
struct io_budget *io_budget_create(struct bc_ctx *ctx, struct io_loop *loop,
				   const struct bud_limits *limits, const struct io_budget_ops *ops,
				   void *data)
{
	struct io_budget *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return NULL;
	budget->ctx = ctx;
	budget->loop = loop;
	budget->ops = *ops;
	budget->data = data;
	budget->run_us = io_now_us();
	TAILQ_INIT(&budget->samples);
	budget->state = bud_create(limits);
	budget->timer = io_timer_add(loop, INTERVAL_US, on_timer, budget);
	if (!budget->state || !budget->timer) {
		io_budget_destroy(budget);
		return NULL;
	}
	return budget;
}

/* Frees the budget. NULL is allowed. */
void io_budget_destroy(struct io_budget *budget)
{
	if (!budget)
		return;
	io_timer_cancel(budget->timer);
	bud_destroy(budget->state);
	free(budget);
}

struct bud_budget *io_budget_state(struct io_budget *budget)
{
	return budget->state;
}

/* Carries out the actions that are due. */
void io_budget_run(struct io_budget *budget)
{
	struct bud_holder *holder;
	const char *reason;
	enum bud_action action;
	uint64_t now_us = io_now_us();

	if (now_us - budget->run_us >= DELAYED_US)
		bud_delayed(budget->state, now_us - budget->run_us - INTERVAL_US, now_us);
	budget->run_us = now_us;
	while ((action = bud_next(budget->state, io_now_us(), &holder, &reason)) != BUD_NONE) {
		if (action == BUD_CLOSE)
			budget->ops.close(budget->data, bud_data(holder), reason);
		else
			budget->ops.resume(budget->data, bud_data(holder));
	}
}

/* Sets the gauges of the budget. */
void io_budget_gauges(struct io_budget *budget)
{
	bc_gauge_set(budget->ctx, "bulrushcleat_budget_bytes", NULL,
		     (double)bud_limits(budget->state)->total_bytes);
	bc_gauge_set(budget->ctx, "bulrushcleat_budget_held_bytes", NULL,
		     (double)bud_total_bytes(budget->state));
	bc_gauge_set(budget->ctx, "bulrushcleat_connections", NULL, bud_connections(budget->state));
	bc_gauge_set(budget->ctx, "bulrushcleat_connections_starting", NULL,
		     bud_starting(budget->state));
}

/* Measures at intervals until measure() returns false. */
void io_budget_sample_add(struct io_budget *budget, struct io_sample *sample)
{
	if (sample->listed)
		return;
	sample->listed = true;
	TAILQ_INSERT_TAIL(&budget->samples, sample, entry);
}

/* Does not measure any longer. */
void io_budget_sample_remove(struct io_budget *budget, struct io_sample *sample)
{
	if (!sample->listed)
		return;
	sample->listed = false;
	TAILQ_REMOVE(&budget->samples, sample, entry);
}
