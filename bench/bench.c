#include "bench/bench.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define BATCH_NS 10000000ULL
#define BATCHES 7
#define INITIAL_OPS 8ULL

struct result {
	const struct bch_case *bench_case;
	uint32_t size;
	double ns;
	uint64_t ops;
	size_t bytes;
};

static uint64_t now_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (uint64_t)time.tv_sec * 1000000000ULL + (uint64_t)time.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static uint64_t run_batch(const struct bch_case *bench_case, void *data, uint64_t *index,
			  uint64_t ops)
{
	uint64_t begin = now_ns();
	uint64_t end = *index + ops;

	for (; *index < end; (*index)++)
		bench_case->op(data, *index);
	return now_ns() - begin;
}

/*
 * Measures one case at one size. Runs BATCHES batches of at least BATCH_NS each and reports the
 * fastest, since the load of other processes on the machine can only make a batch slower.
 */
static void measure(struct result *result)
{
	size_t before = heap_bytes();
	void *data = result->bench_case->setup(result->size);
	uint64_t index = 0;
	uint64_t ops = INITIAL_OPS;
	uint64_t fastest;
	int i;

	result->bytes = heap_bytes() - before;
	while ((fastest = run_batch(result->bench_case, data, &index, ops)) < BATCH_NS)
		ops *= 2;
	for (i = 1; i < BATCHES; i++) {
		uint64_t ns = run_batch(result->bench_case, data, &index, ops);

		fastest = ns < fastest ? ns : fastest;
	}
	result->ops = index;
	result->ns = (double)fastest / (double)ops;
	result->bench_case->teardown(data);
	printf("{\"bench\":\"%s\",\"n\":%u,\"ns_per_op\":%.1f,\"ops\":%llu,\"setup_bytes\":%zu}\n",
	       result->bench_case->name, result->size, result->ns, (unsigned long long)result->ops,
	       result->bytes);
	fflush(stdout);
}

/*
 * Prints how much the cost of one case grows from its smallest to its largest size. Returns false
 * if the growth exceeds the bound.
 */
static bool print_growth(const struct bch_case *bench_case, const struct result *first,
			 const struct result *last)
{
	double growth = last->ns / first->ns;
	double slope = (last->ns - first->ns) / (double)(last->size - first->size);
	bool ok = !bench_case->bounded || growth <= BCH_GROWTH_MAX;

	printf("{\"bench\":\"%s.growth\",\"from\":%u,\"to\":%u,\"ratio\":%.2f,"
	       "\"slope_ns\":%.4f,\"bound\":%s,\"ok\":%s}\n",
	       bench_case->name, first->size, last->size, growth, slope,
	       bench_case->bounded ? "8" : "null", ok ? "true" : "false");
	fprintf(stderr, "%-28s %8u %10.0f %8u %12.0f %8.2f %10.3f  %s\n", bench_case->name,
		first->size, first->ns, last->size, last->ns, growth, slope,
		!bench_case->bounded ? "no bound"
		: ok		     ? "ok"
				     : "BROKEN: above 8");
	return ok;
}

/*
 * Runs the cases and prints JSON lines to stdout and a table to stderr. Returns 1 if a bound is
 * exceeded.
 */
int bch_main(const struct bch_case *cases, size_t count)
{
	struct result results[BCH_SIZES_MAX] = {{0}};
	bool ok = true;
	size_t i;

	fprintf(stderr, "%-28s %8s %10s %8s %12s %8s %10s\n", "operation", "n", "ns", "n", "ns",
		"ratio", "ns a unit");
	for (i = 0; i < count; i++) {
		size_t size_count = 0;

		while (size_count < BCH_SIZES_MAX && cases[i].sizes[size_count]) {
			results[size_count] = (struct result){.bench_case = &cases[i],
							      .size = cases[i].sizes[size_count]};
			measure(&results[size_count++]);
		}
		if (size_count)
			ok = print_growth(&cases[i], &results[0], &results[size_count - 1]) && ok;
	}
	return ok ? 0 : 1;
}
