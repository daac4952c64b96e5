#ifndef BC_BENCH_H
#define BC_BENCH_H

/*
 * Measures operations of the library's modules at several sizes and bounds how much their cost may
 * grow with the size.
 */

#include "core/core.h"

#define BCH_SIZES_MAX 8
/*
 * The cost of an operation on the path of a statement or a heartbeat must not grow linearly with
 * the fleet. A small growth is allowed, since CPU cache misses and deeper trees cause it; the
 * largest size is at least 32 times the smallest, in most cases more than 500 times.
 */
#define BCH_GROWTH_MAX 8.0

struct bch_case {
	const char *name;
	uint32_t sizes[BCH_SIZES_MAX]; /* terminated by 0 unless full */
	/* Whether BCH_GROWTH_MAX applies: set for operations run for each statement or heartbeat.
	 */
	bool bounded;
	void *(*setup)(uint32_t size);
	void (*op)(void *data, uint64_t index);
	void (*teardown)(void *data);
};

/* Runs the cases and returns the exit code of the program. */
int bch_main(const struct bch_case *cases, size_t count);

#endif
