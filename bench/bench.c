#include "bench/bench.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define BATCH_NS 10000000ULL
#define BATCHES 7
#define FIRST_OPS 8ULL

struct result {
	const struct bch_case *kind;
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

static uint64_t batch(const struct bch_case *kind, void *data, uint64_t *index, uint64_t ops)
{
	uint64_t begin = now_ns();
	uint64_t end = *index + ops;

	for (; *index < end; (*index)++)
		kind->op(data, *index);
	return now_ns() - begin;
}

/*
 * Measures one size: batches of at least BATCH_NS, of which the fastest counts, since the load of
 * other processes on the machine can only add to a batch.
 */
static void measure(struct result *result)
{
	size_t before = heap_bytes();
	void *data = result->kind->setup(result->size);
	uint64_t index = 0;
	uint64_t ops = FIRST_OPS;
	uint64_t best;
	int i;

	result->bytes = heap_bytes() - before;
	while ((best = batch(result->kind, data, &index, ops)) < BATCH_NS)
		ops *= 2;
	for (i = 1; i < BATCHES; i++) {
		uint64_t ns = batch(result->kind, data, &index, ops);

		best = ns < best ? ns : best;
	}
	result->ops = index;
	result->ns = (double)best / (double)ops;
	result->kind->teardown(data);
	printf("{\"bench\":\"%s\",\"n\":%u,\"ns_per_op\":%.1f,\"ops\":%llu,\"setup_bytes\":%zu}\n",
	       result->kind->name, result->size, result->ns, (unsigned long long)result->ops,
	       result->bytes);
	fflush(stdout);
}

/* Prints the growth of one case from its smallest to its largest size; false if out of bounds. */
static bool judge(const struct bch_case *kind, const struct result *first,
		  const struct result *last)
{
	double growth = last->ns / first->ns;
	double slope = (last->ns - first->ns) / (double)(last->size - first->size);
	bool ok = !kind->bounded || growth <= BCH_GROWTH_MAX;

	printf("{\"bench\":\"%s.growth\",\"from\":%u,\"to\":%u,\"ratio\":%.2f,"
	       "\"slope_ns\":%.4f,\"bound\":%s,\"ok\":%s}\n",
	       kind->name, first->size, last->size, growth, slope, kind->bounded ? "8" : "null",
	       ok ? "true" : "false");
	fprintf(stderr, "%-28s %8u %10.0f %8u %12.0f %8.2f %10.3f  %s\n", kind->name, first->size,
		first->ns, last->size, last->ns, growth, slope,
		!kind->bounded ? "no bound"
		: ok	       ? "ok"
			       : "BROKEN: above 8");
	return ok;
}

/* Runs the cases: JSON lines on stdout, a table on stderr. Returns 1 if a bound is broken. */
int bch_main(const struct bch_case *cases, size_t count)
{
	struct result results[BCH_SIZES_MAX] = {{0}};
	bool ok = true;
	size_t i;

	fprintf(stderr, "%-28s %8s %10s %8s %12s %8s %10s\n", "operation", "n", "ns", "n", "ns",
		"ratio", "ns a unit");
	for (i = 0; i < count; i++) {
		size_t used = 0;

		while (used < BCH_SIZES_MAX && cases[i].sizes[used]) {
			results[used] =
				(struct result){.kind = &cases[i], .size = cases[i].sizes[used]};
			measure(&results[used++]);
		}
		if (used)
			ok = judge(&cases[i], &results[0], &results[used - 1]) && ok;
	}
	return ok ? 0 : 1;
}
