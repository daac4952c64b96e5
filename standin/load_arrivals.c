#include "standin/load.h"

static uint64_t due_time_us(const struct ld_load *load)
{
	return load->begin_us +
	       (uint64_t)((double)load->arrivals / load->options->rate * (double)BC_US_PER_S);
}

/* Operations that are still waiting this long after the end are dropped and counted. */
#define BACKLOG_US (5 * BC_US_PER_S)
/* The loop waits in whole milliseconds; starting early keeps that out of the latencies. */
#define EARLY_US BC_US_PER_MS

/* Starts operations that are due while sessions are idle; late ones keep their due time. */
static void start_due(void *data)
{
	struct ld_load *load = data;
	uint64_t now_us = io_now_us();
	uint64_t due_us = due_time_us(load);

	load->arrival = NULL;
	if (now_us > load->end_us + BACKLOG_US)
		due_us = load->end_us;
	while (load->idle_count && due_us <= now_us + EARLY_US && due_us < load->end_us) {
		uint32_t pick = (uint32_t)bc_random_below(load->ctx, load->idle_count);
		uint32_t index = load->idle[pick];

		load->idle[pick] = load->idle[--load->idle_count];
		load->arrivals++;
		ld_session_start(&load->sessions[index], due_us < now_us ? due_us : now_us);
		due_us = due_time_us(load);
	}
	if (due_us >= load->end_us) {
		if (load->idle_count == load->options->sessions)
			io_loop_stop(load->loop);
		return;
	}
	if (load->idle_count)
		load->arrival = io_timer_add(
			load->loop, due_us > now_us + EARLY_US ? due_us - now_us - EARLY_US : 0,
			start_due, load);
}

/* Looks for due operations in the next turn of the loop. */
void ld_arrivals_wake(struct ld_load *load)
{
	io_timer_cancel(load->arrival);
	load->arrival = io_timer_add(load->loop, 0, start_due, load);
}

/* A session is idle again: it takes the next operation if one is due. */
void ld_arrivals_idle(struct ld_load *load, const struct ld_session *session)
{
	load->idle[load->idle_count++] = session->index;
	if (!load->arrival)
		ld_arrivals_wake(load);
}

/* Operations that were due before the end but found no idle session in time. */
uint64_t ld_arrivals_missed(const struct ld_load *load)
{
	double due =
		(double)(load->end_us - load->begin_us) / (double)BC_US_PER_S * load->options->rate;

	return due > (double)load->arrivals ? (uint64_t)due - load->arrivals : 0;
}
