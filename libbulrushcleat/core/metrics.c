#include "core/core_internal.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM };

/* Includes 13 s because the failover properties in tests/ require recovery within that time. */
static const uint64_t bucket_bounds_us[] = {100,     250,     500,     1000,	 2500,	  5000,
					    10000,   25000,   50000,   100000,	 250000,  500000,
					    1000000, 2500000, 5000000, 13000000, 30000000};
#define BUCKET_COUNT (sizeof(bucket_bounds_us) / sizeof(bucket_bounds_us[0]))

struct series {
	const char *labels;
	uint64_t count;
	double value;
	uint64_t sum_us;
	uint64_t buckets[BUCKET_COUNT];
};

struct metric {
	const char *name;
	const char *help;
	enum metric_kind kind;
	apr_hash_t *series; /* labels -> struct series */
};

/* Creates an empty set of metrics. Initialises APR, since every program creates a context. */
void bc_metrics_init(struct bc_ctx *ctx)
{
	apr_initialize();
	apr_pool_create(&ctx->metrics_pool, NULL);
	ctx->metrics = apr_hash_make(ctx->metrics_pool);
}

/* Frees all metrics. */
void bc_metrics_free(struct bc_ctx *ctx)
{
	apr_pool_destroy(ctx->metrics_pool);
}

static struct metric *metric_get_or_create(struct bc_ctx *ctx, const char *name,
					   enum metric_kind kind)
{
	struct metric *metric = apr_hash_get(ctx->metrics, name, APR_HASH_KEY_STRING);

	if (metric)
		return metric;
	metric = apr_pcalloc(ctx->metrics_pool, sizeof(*metric));
	metric->name = apr_pstrdup(ctx->metrics_pool, name);
	metric->help = "";
	metric->kind = kind;
	metric->series = apr_hash_make(ctx->metrics_pool);
	apr_hash_set(ctx->metrics, metric->name, APR_HASH_KEY_STRING, metric);
	return metric;
}

static struct series *series_get_or_create(struct bc_ctx *ctx, const char *name, const char *labels,
					   enum metric_kind kind)
{
	struct metric *metric = metric_get_or_create(ctx, name, kind);
	struct series *series;

	metric->kind = kind;
	labels = labels ? labels : "";
	series = apr_hash_get(metric->series, labels, APR_HASH_KEY_STRING);
	if (series)
		return series;
	series = apr_pcalloc(ctx->metrics_pool, sizeof(*series));
	series->labels = apr_pstrdup(ctx->metrics_pool, labels);
	apr_hash_set(metric->series, series->labels, APR_HASH_KEY_STRING, series);
	return series;
}

/* Adds to a counter, creating it at 0 on first use. */
void bc_counter_add(struct bc_ctx *ctx, const char *name, const char *labels, uint64_t add)
{
	series_get_or_create(ctx, name, labels, METRIC_COUNTER)->count += add;
}

/* Sets a gauge, creating it on first use. */
void bc_gauge_set(struct bc_ctx *ctx, const char *name, const char *labels, double value)
{
	series_get_or_create(ctx, name, labels, METRIC_GAUGE)->value = value;
}

/* Adds a value in microseconds to a histogram, creating it on first use. */
void bc_histogram_observe_us(struct bc_ctx *ctx, const char *name, const char *labels,
			     uint64_t value_us)
{
	struct series *series = series_get_or_create(ctx, name, labels, METRIC_HISTOGRAM);
	size_t i;

	series->count++;
	series->sum_us += value_us;
	for (i = 0; i < BUCKET_COUNT; i++)
		if (value_us <= bucket_bounds_us[i])
			series->buckets[i]++;
}

/* Sets the help text of a metric. Its kind is set when a value is first stored. */
void bc_metric_describe(struct bc_ctx *ctx, const char *name, const char *help)
{
	metric_get_or_create(ctx, name, METRIC_COUNTER)->help =
		apr_pstrdup(ctx->metrics_pool, help);
}

/* The value of a counter, or the number of values of a histogram; 0 if it does not exist. */
uint64_t bc_counter_value(struct bc_ctx *ctx, const char *name, const char *labels)
{
	struct metric *metric = apr_hash_get(ctx->metrics, name, APR_HASH_KEY_STRING);
	struct series *series;

	if (!metric)
		return 0;
	series = apr_hash_get(metric->series, labels ? labels : "", APR_HASH_KEY_STRING);
	return series ? series->count : 0;
}

static void print_histogram(FILE *out, const struct metric *metric, const struct series *series)
{
	const char *comma = series->labels[0] ? "," : "";
	size_t i;

	for (i = 0; i < BUCKET_COUNT; i++)
		fprintf(out, "%s_bucket{%s%sle=\"%g\"} %llu\n", metric->name, series->labels, comma,
			(double)bucket_bounds_us[i] / 1e6, (unsigned long long)series->buckets[i]);
	fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", metric->name, series->labels, comma,
		(unsigned long long)series->count);
	fprintf(out, "%s_sum{%s} %g\n", metric->name, series->labels, (double)series->sum_us / 1e6);
	fprintf(out, "%s_count{%s} %llu\n", metric->name, series->labels,
		(unsigned long long)series->count);
}

static void print_series(FILE *out, const struct metric *metric, const struct series *series)
{
	if (metric->kind == METRIC_HISTOGRAM) {
		print_histogram(out, metric, series);
		return;
	}
	fputs(metric->name, out);
	if (series->labels[0])
		fprintf(out, "{%s}", series->labels);
	if (metric->kind == METRIC_COUNTER)
		fprintf(out, " %llu\n", (unsigned long long)series->count);
	else
		fprintf(out, " %g\n", series->value);
}

static int compare_metrics(const void *a, const void *b)
{
	const struct metric *const *left = a;
	const struct metric *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static void print_metric(FILE *out, const struct metric *metric)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	apr_hash_index_t *it;

	if (!apr_hash_count(metric->series))
		return;
	fprintf(out, "# HELP %s %s\n", metric->name, metric->help);
	fprintf(out, "# TYPE %s %s\n", metric->name, kinds[metric->kind]);
	for (it = apr_hash_first(NULL, metric->series); it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		print_series(out, metric, value);
	}
}

/* All metrics in the Prometheus text format, sorted by name. To be freed with free(). */
char *bc_metrics_text(struct bc_ctx *ctx)
{
	size_t count = apr_hash_count(ctx->metrics);
	const struct metric **sorted = calloc(count + 1, sizeof(const struct metric *));
	apr_hash_index_t *it;
	char *text = NULL;
	size_t length = 0;
	FILE *out = open_memstream(&text, &length);
	size_t i = 0;

	if (!sorted || !out) {
		free(sorted);
		if (out)
			fclose(out);
		free(text);
		return NULL;
	}
	for (it = apr_hash_first(NULL, ctx->metrics); it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		sorted[i++] = value;
	}
	qsort(sorted, count, sizeof(const struct metric *), compare_metrics);
	for (i = 0; i < count; i++)
		print_metric(out, sorted[i]);
	fclose(out);
	free(sorted);
	return text;
}
