#include "standin/load.h"

#include <stdlib.h>
#include <string.h>

struct samples {
	uint64_t *values;
	size_t count;
	size_t capacity;
};

struct ld_stats {
	struct samples latency_us[LD_KINDS]; /* of operations that ran */
	struct samples age_ms;		     /* of replica reads */
	uint64_t outcomes[LD_KINDS][LD_OUTCOMES];
	uint64_t reported[LD_OUTCOMES]; /* totals at the last progress line */
	uint64_t replica_reads;
	uint64_t primary_reads;
	uint64_t resent;
	uint64_t mismatches;
	json_t *errors; /* code -> count */
	char primary[BC_ID_BYTES];
	uint64_t begin_us;
	uint64_t last_write_us;
	uint64_t longest_gap_us;       /* between two writes that ran */
	uint64_t longest_gap_begin_us; /* from the start of the run */
};

/* Creates the counters; the first gap between writes begins now. */
struct ld_stats *ld_stats_create(uint64_t now_us)
{
	struct ld_stats *stats = calloc(1, sizeof(*stats));

	if (!stats)
		return NULL;
	stats->errors = json_object();
	stats->begin_us = now_us;
	stats->last_write_us = now_us;
	return stats;
}

/* Frees the counters. NULL is allowed. */
void ld_stats_destroy(struct ld_stats *stats)
{
	int i;

	if (!stats)
		return;
	for (i = 0; i < LD_KINDS; i++)
		free(stats->latency_us[i].values);
	free(stats->age_ms.values);
	json_decref(stats->errors);
	free(stats);
}

static void add_sample(struct samples *samples, uint64_t value)
{
	if (samples->count == samples->capacity) {
		size_t capacity = samples->capacity ? 2 * samples->capacity : 1024;
		uint64_t *values = realloc(samples->values, capacity * sizeof(*values));

		if (!values)
			return;
		samples->values = values;
		samples->capacity = capacity;
	}
	samples->values[samples->count++] = value;
}

static void end_write_gap(struct ld_stats *stats, uint64_t now_us)
{
	if (now_us - stats->last_write_us > stats->longest_gap_us) {
		stats->longest_gap_us = now_us - stats->last_write_us;
		stats->longest_gap_begin_us = stats->last_write_us - stats->begin_us;
	}
	stats->last_write_us = now_us;
}

/*
 * Counts an ended operation. Its latency is measured from the time it was due, so that a stall
 * shows in the latency of the operations that it delays.
 */
void ld_stats_add(struct ld_stats *stats, enum ld_kind kind, enum ld_outcome outcome,
		  uint64_t due_us, uint64_t now_us)
{
	stats->outcomes[kind][outcome]++;
	if (outcome != LD_RAN)
		return;
	add_sample(&stats->latency_us[kind], now_us - due_us);
	if (kind != LD_READ)
		end_write_gap(stats, now_us);
}

/*
 * Counts a read as a replica's or the primary's. The primary is the endpoint of the newest write;
 * before the first write, an age above 0 means a replica.
 */
void ld_stats_served(struct ld_stats *stats, enum ld_kind kind, const char *endpoint,
		     int64_t age_ms)
{
	bool replica;

	if (!endpoint)
		return;
	if (kind != LD_READ) {
		snprintf(stats->primary, sizeof(stats->primary), "%s", endpoint);
		return;
	}
	replica = stats->primary[0] ? strcmp(stats->primary, endpoint) != 0 : age_ms > 0;
	if (!replica) {
		stats->primary_reads++;
		return;
	}
	stats->replica_reads++;
	if (age_ms >= 0)
		add_sample(&stats->age_ms, (uint64_t)age_ms);
}

/* Counts a keyed write that is sent again. */
void ld_stats_resent(struct ld_stats *stats)
{
	stats->resent++;
}

/* Counts an answer that has the id of another request. */
void ld_stats_mismatch(struct ld_stats *stats)
{
	stats->mismatches++;
}

/* Counts an error code. */
void ld_stats_error(struct ld_stats *stats, const char *code)
{
	json_int_t count = json_integer_value(json_object_get(stats->errors, code));

	json_object_set_new(stats->errors, code, json_integer(count + 1));
}

static int compare_values(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* The sample below which `percent` of the sorted samples lie, divided by `unit`. */
static double percentile(const struct samples *samples, size_t percent, double unit)
{
	size_t index = (samples->count - 1) * percent / 100;

	return (double)samples->values[index] / unit;
}

static json_t *percentiles(struct samples *samples, double unit)
{
	size_t count = samples->count;

	if (!count)
		return json_pack("{s:i}", "count", 0);
	qsort(samples->values, count, sizeof(*samples->values), compare_values);
	return json_pack("{s:I,s:f,s:f,s:f}", "count", (json_int_t)count, "p50",
			 percentile(samples, 50, unit), "p99", percentile(samples, 99, unit), "max",
			 percentile(samples, 100, unit));
}

static uint64_t outcome_total(const struct ld_stats *stats, enum ld_outcome outcome)
{
	uint64_t sum = 0;
	int kind;

	for (kind = 0; kind < LD_KINDS; kind++)
		sum += stats->outcomes[kind][outcome];
	return sum;
}

/* Prints the counts since the last line, and the time since the last write that ran. */
void ld_stats_progress(struct ld_stats *stats, uint64_t now_us, FILE *out)
{
	uint64_t totals[LD_OUTCOMES];
	int i;

	for (i = 0; i < LD_OUTCOMES; i++)
		totals[i] = outcome_total(stats, (enum ld_outcome)i);
	fprintf(out, "%4llu s: ran %llu, not run %llu, unknown %llu, last write %llu ms ago\n",
		(unsigned long long)((now_us - stats->begin_us) / BC_US_PER_S),
		(unsigned long long)(totals[LD_RAN] - stats->reported[LD_RAN]),
		(unsigned long long)(totals[LD_NOT_RUN] - stats->reported[LD_NOT_RUN]),
		(unsigned long long)(totals[LD_UNKNOWN] - stats->reported[LD_UNKNOWN]),
		(unsigned long long)((now_us - stats->last_write_us) / BC_US_PER_MS));
	memcpy(stats->reported, totals, sizeof(totals));
}

/* The summary: counts, latencies in ms, replica reads and their ages, the longest write gap. */
json_t *ld_stats_json(struct ld_stats *stats, uint64_t now_us)
{
	uint64_t served = stats->replica_reads + stats->primary_reads;
	json_t *kinds = json_object();
	json_t *latency = json_object();
	int kind;

	end_write_gap(stats, now_us);
	for (kind = 0; kind < LD_KINDS; kind++) {
		json_object_set_new(
			kinds, ld_kind_names[kind],
			json_pack("{s:I,s:I,s:I}", "ran", (json_int_t)stats->outcomes[kind][LD_RAN],
				  "not_run", (json_int_t)stats->outcomes[kind][LD_NOT_RUN],
				  "unknown", (json_int_t)stats->outcomes[kind][LD_UNKNOWN]));
		json_object_set_new(latency, ld_kind_names[kind],
				    percentiles(&stats->latency_us[kind], 1000.0));
	}
	return json_pack(
		"{s:f,s:o,s:o,s:f,s:o,s:f,s:f,s:I,s:I,s:O}", "seconds",
		(double)(now_us - stats->begin_us) / 1e6, "outcomes", kinds, "latency_ms", latency,
		"replica_share", served ? (double)stats->replica_reads / (double)served : 0.0,
		"replica_age_ms", percentiles(&stats->age_ms, 1.0), "write_gap_ms",
		(double)stats->longest_gap_us / 1000.0, "write_gap_at_s",
		(double)stats->longest_gap_begin_us / 1e6, "resent", (json_int_t)stats->resent,
		"mismatched_answers", (json_int_t)stats->mismatches, "errors", stats->errors);
}

/* Prints the summary as text. */
void ld_stats_print(const json_t *summary, FILE *out)
{
	const json_t *outcomes = json_object_get(summary, "outcomes");
	const json_t *latency = json_object_get(summary, "latency_ms");
	char *errors = json_dumps(json_object_get(summary, "errors"), JSON_COMPACT);
	int kind;

	for (kind = 0; kind < LD_KINDS; kind++) {
		const json_t *counts = json_object_get(outcomes, ld_kind_names[kind]);
		const json_t *kind_latency = json_object_get(latency, ld_kind_names[kind]);

		fprintf(out,
			"%-12s ran %lld, not run %lld, unknown %lld; p50 %.1f, p99 %.1f, "
			"max %.1f ms\n",
			ld_kind_names[kind], json_integer_value(json_object_get(counts, "ran")),
			json_integer_value(json_object_get(counts, "not_run")),
			json_integer_value(json_object_get(counts, "unknown")),
			json_number_value(json_object_get(kind_latency, "p50")),
			json_number_value(json_object_get(kind_latency, "p99")),
			json_number_value(json_object_get(kind_latency, "max")));
	}
	fprintf(out, "replica reads %.1f %%, age p99 %.0f ms\n",
		100 * json_number_value(json_object_get(summary, "replica_share")),
		json_number_value(
			json_object_get(json_object_get(summary, "replica_age_ms"), "p99")));
	fprintf(out, "longest time without a write %.0f ms, from second %.1f\nerrors %s\n",
		json_number_value(json_object_get(summary, "write_gap_ms")),
		json_number_value(json_object_get(summary, "write_gap_at_s")),
		errors ? errors : "");
	free(errors);
}
