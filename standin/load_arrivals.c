#include "standin/load.h"

static uint64_t due_time_us(const struct ld_load *load)
{
	return load->begin_us +
	       (uint64_t)((double)load->started_count / load->options->rate * (double)BC_US_PER_S);
}

/* Operations that found no idle session this long after the end count as not started. */
#define BACKLOG_US (5 * BC_US_PER_S)
/* The loop's timers round to whole milliseconds; starting early keeps that out of the latencies. */
#define START_EARLY_US BC_US_PER_MS

/* Starts due operations while sessions are idle; a late one keeps its due time. */
static void start_due_operations(void *data)
{
	struct ld_load *load = data;
	uint64_t now_us = io_now_us();
	uint64_t due_us = due_time_us(load);

	load->arrival_timer = NULL;
	if (now_us > load->end_us + BACKLOG_US)
		due_us = load->end_us;
	while (load->idle_count && due_us <= now_us + START_EARLY_US && due_us < load->end_us) {
		uint32_t pick = (uint32_t)bc_random_below(load->ctx, load->idle_count);
		uint32_t index = load->idle[pick];

		load->idle[pick] = load->idle[--load->idle_count];
		load->started_count++;
		ld_session_start(&load->sessions[index], due_us < now_us ? due_us : now_us);
		due_us = due_time_us(load);
	}
	if (due_us >= load->end_us) {
		if (load->idle_count == load->options->sessions)
			io_loop_stop(load->loop);
		return;
	}
	if (load->idle_count)
		load->arrival_timer = io_timer_add(
			load->loop,
			due_us > now_us + START_EARLY_US ? due_us - now_us - START_EARLY_US : 0,
			start_due_operations, load);
}

/* Starts due operations in the loop's next iteration. */
void ld_arrivals_schedule(struct ld_load *load)
{
	io_timer_cancel(load->arrival_timer);
	load->arrival_timer = io_timer_add(load->loop, 0, start_due_operations, load);
}

/* Marks a session as idle, so that it can take the next due operation. */
void ld_arrivals_release(struct ld_load *load, const struct ld_session *session)
{
	load->idle[load->idle_count++] = session->index;
	if (!load->arrival_timer)
		ld_arrivals_schedule(load);
}

/* The number of operations that were due before the end but found no idle session in time. */
uint64_t ld_arrivals_not_started(const struct ld_load *load)
{
	double due =
		(double)(load->end_us - load->begin_us) / (double)BC_US_PER_S * load->options->rate;

	return due > (double)load->started_count ? (uint64_t)due - load->started_count : 0;
}
