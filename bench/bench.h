#ifndef BC_BENCH_H
#define BC_BENCH_H

/* Measures operations of the modules at several sizes and bounds the growth of their cost. */

#include "core/core.h"

#define BCH_SIZES_MAX 8
/*
 * The cost of an operation on the path of a statement or a heartbeat must not grow linearly with
 * the fleet. Caches and the depth of trees explain small factors; the sizes differ by a factor of
 * at least 32 and mostly by more than 500.
 */
#define BCH_GROWTH_MAX 8.0

struct bch_case {
	const char *name;
	uint32_t sizes[BCH_SIZES_MAX]; /* 0 ends */
	/* On the path of a statement or a heartbeat: the growth is bounded. */
	bool bounded;
	void *(*setup)(uint32_t size);
	void (*op)(void *data, uint64_t index);
	void (*teardown)(void *data);
};

/* Runs the cases; the exit code of the program. */
int bch_main(const struct bch_case *cases, size_t count);

#endif
