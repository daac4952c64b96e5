#include "cli/rpt.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* The clocks of proxies differ: lines up to this much older than the first line are counted. */
#define CLOCK_SKEW_S 10
/* One day: bounds the memory if the time of a line is wrong. */
#define SECONDS_MAX (24U * 3600U)
/* Further reasons share the last column, "other"; the proxy has fewer reasons than this. */
#define REASONS_MAX 24U
#define REASON_BYTES 40

/* Events of the fleet, as opposed to those of a statement. */
static const char *const event_names[] = {"takeover_ordered", "leader_changed",	  "store_lost",
					  "store_regained",   "started",	  "stopping",
					  "config_in_force",  "relay_unreachable"};
#define EVENTS (sizeof(event_names) / sizeof(event_names[0]))

static const char *const route_names[RPT_ROUTES] = {
	[RPT_NEWEST] = "newest", [RPT_AGED] = "aged", [RPT_SESSION] = "session"};

struct latencies {
	uint32_t *us;
	size_t count;
	size_t size;
};

/* Counters of one second. */
struct second {
	struct latencies latencies[RPT_ROUTES];
	uint32_t failed;
	uint32_t refused[REASONS_MAX];
	uint32_t leader_reads;
	uint32_t replica_reads;
	uint32_t events[EVENTS];
};

struct rpt_series {
	apr_pool_t *pool;
	apr_hash_t *leaders; /* set of the ids of current leaders, as logged last */
	int64_t first_s;     /* Unix time of seconds[0] */
	struct second *seconds;
	uint32_t count;
	uint32_t size;
	char reasons[REASONS_MAX][REASON_BYTES];
	uint32_t reason_count;
	struct rpt_totals totals;
};

/* Creates an empty series; NULL when out of memory. */
struct rpt_series *rpt_create(void)
{
	struct rpt_series *series = calloc(1, sizeof(*series));

	if (!series)
		return NULL;
	apr_initialize();
	if (apr_pool_create(&series->pool, NULL) != APR_SUCCESS) {
		free(series);
		return NULL;
	}
	series->leaders = apr_hash_make(series->pool);
	return series;
}

/* Frees a series. NULL is allowed. */
void rpt_destroy(struct rpt_series *series)
{
	uint32_t i;
	int route;

	if (!series)
		return;
	for (i = 0; i < series->count; i++)
		for (route = 0; route < RPT_ROUTES; route++)
			free(series->seconds[i].latencies[route].us);
	free(series->seconds);
	apr_pool_destroy(series->pool);
	free(series);
}

/* The time of a line in whole seconds; false if it has none. */
static bool read_time(const json_t *line, int64_t *out_s)
{
	const char *text = json_string_value(json_object_get(line, "time"));
	struct tm tm = {0};

	if (!text || !strptime(text, "%Y-%m-%dT%H:%M:%S", &tm))
		return false;
	*out_s = (int64_t)timegm(&tm);
	return true;
}

/* The counters for a time; NULL if it is outside the range that the series covers. */
static struct second *second_get(struct rpt_series *series, int64_t time_s)
{
	int64_t index;

	if (!series->count)
		series->first_s = time_s - CLOCK_SKEW_S;
	index = time_s - series->first_s;
	if (index < 0 || index >= SECONDS_MAX)
		return NULL;
	if (index >= series->size) {
		uint32_t size = (uint32_t)index + 64;
		struct second *seconds = realloc(series->seconds, size * sizeof(*seconds));

		if (!seconds)
			return NULL;
		memset(seconds + series->size, 0, (size - series->size) * sizeof(*seconds));
		series->seconds = seconds;
		series->size = size;
	}
	if (index >= series->count)
		series->count = (uint32_t)index + 1;
	return &series->seconds[index];
}

static void latencies_add(struct latencies *latencies, uint32_t us)
{
	size_t size = latencies->size ? 2 * latencies->size : 32;
	uint32_t *grown;

	if (latencies->count == latencies->size) {
		grown = realloc(latencies->us, size * sizeof(*grown));
		if (!grown)
			return;
		latencies->us = grown;
		latencies->size = size;
	}
	latencies->us[latencies->count++] = us;
}

static const char *string_field(const json_t *fields, const char *name)
{
	const char *text = json_string_value(json_object_get(fields, name));

	return text ? text : "";
}

/* Whether the line is of a read for which the proxy chose an endpoint. */
static bool is_read(const json_t *fields)
{
	const char *verb = string_field(fields, "verb");
	const char *reason = string_field(fields, "reason");

	return (strcmp(verb, "read") == 0 || strcmp(verb, "execute") == 0) && *reason &&
	       strcmp(reason, "leader") != 0;
}

static void count_statement(struct rpt_series *series, struct second *second, const json_t *fields)
{
	const char *route = string_field(fields, "route");
	json_int_t took_us = json_integer_value(json_object_get(fields, "took_us"));
	int i;

	/* Run for another proxy, which logs the statement too. */
	if (*string_field(fields, "for"))
		return;
	series->totals.statements++;
	if (strcmp(string_field(fields, "outcome"), "ok") != 0) {
		series->totals.failed++;
		second->failed++;
		return;
	}
	for (i = 0; i < RPT_ROUTES; i++)
		if (strcmp(route, route_names[i]) == 0)
			latencies_add(&second->latencies[i],
				      took_us > UINT32_MAX ? UINT32_MAX : (uint32_t)took_us);
	if (!is_read(fields))
		return;
	if (apr_hash_get(series->leaders, string_field(fields, "endpoint"), APR_HASH_KEY_STRING)) {
		series->totals.leader_reads++;
		second->leader_reads++;
	} else {
		series->totals.replica_reads++;
		second->replica_reads++;
	}
}

static void count_refusal(struct rpt_series *series, struct second *second, const json_t *fields)
{
	const char *reason = string_field(fields, "reason");
	uint32_t i;

	for (i = 0; i < series->reason_count; i++)
		if (strcmp(series->reasons[i], reason) == 0)
			break;
	if (i == series->reason_count && i < REASONS_MAX)
		apr_cpystrn(series->reasons[series->reason_count++],
			    i == REASONS_MAX - 1 ? "other" : reason, REASON_BYTES);
	if (i >= REASONS_MAX)
		i = REASONS_MAX - 1;
	series->totals.refused++;
	second->refused[i]++;
}

static void leader_set(struct rpt_series *series, const char *endpoint, bool is_leader)
{
	const char *copy = apr_pstrdup(series->pool, endpoint);

	if (*endpoint)
		apr_hash_set(series->leaders, copy, APR_HASH_KEY_STRING, is_leader ? copy : NULL);
}

static void count_event(struct rpt_series *series, struct second *second, const char *event,
			const json_t *fields)
{
	size_t i;

	for (i = 0; i < EVENTS; i++)
		if (strcmp(event, event_names[i]) == 0)
			second->events[i]++;
	if (strcmp(event, "takeover_ordered") == 0)
		series->totals.promotions++;
	if (strcmp(event, "leader_changed") == 0) {
		leader_set(series, string_field(fields, "from"), false);
		leader_set(series, string_field(fields, "to"), true);
	}
}

/* Adds one log line; text before its JSON object is skipped. False if the line is not counted. */
bool rpt_add_line(struct rpt_series *series, const char *line)
{
	const char *start = strchr(line, '{');
	json_t *object = start ? json_loads(start, 0, NULL) : NULL;
	const char *event = json_string_value(json_object_get(object, "event"));
	const json_t *fields = json_object_get(object, "fields");
	struct second *second = NULL;
	int64_t time_s;

	series->totals.lines++;
	if (event && read_time(object, &time_s))
		second = second_get(series, time_s);
	if (!second) {
		series->totals.skipped++;
		json_decref(object);
		return false;
	}
	if (!series->totals.from[0])
		apr_cpystrn(series->totals.from, string_field(object, "time"),
			    sizeof(series->totals.from));
	if (strcmp(event, "statement") == 0)
		count_statement(series, second, fields);
	else if (strcmp(event, "refused") == 0)
		count_refusal(series, second, fields);
	else
		count_event(series, second, event, fields);
	json_decref(object);
	return true;
}

/* Sums over all seconds. */
struct rpt_totals rpt_totals_get(const struct rpt_series *series)
{
	struct rpt_totals totals = series->totals;

	totals.seconds = series->count > CLOCK_SKEW_S ? series->count - CLOCK_SKEW_S : 0;
	return totals;
}

static int compare_u32(const void *a, const void *b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Writes a quantile of sorted latencies in ms; nan, which gnuplot skips, if there are none. */
static void write_quantile(FILE *out, const struct latencies *latencies, uint32_t percent)
{
	size_t index = latencies->count ? (latencies->count - 1) * percent / 100 : 0;

	if (!latencies->count)
		fputs("\tnan", out);
	else
		fprintf(out, "\t%.3f", latencies->us[index] / 1000.0);
}

/* Median and 99th percentile of successful statements by route. */
void rpt_write_latency(struct rpt_series *series, FILE *out)
{
	uint32_t i;
	int route;

	fputs("second", out);
	for (route = 0; route < RPT_ROUTES; route++)
		fprintf(out, "\t%s_p50_ms\t%s_p99_ms", route_names[route], route_names[route]);
	fputc('\n', out);
	for (i = 0; i < series->count; i++) {
		fprintf(out, "%d", (int)i - CLOCK_SKEW_S);
		for (route = 0; route < RPT_ROUTES; route++) {
			struct latencies *latencies = &series->seconds[i].latencies[route];

			if (latencies->count)
				qsort(latencies->us, latencies->count, sizeof(*latencies->us),
				      compare_u32);
			write_quantile(out, latencies, 50);
			write_quantile(out, latencies, 99);
		}
		fputc('\n', out);
	}
}

/* Number of refusal reasons: the columns after "second" in the table of refusals. */
uint32_t rpt_reason_count(const struct rpt_series *series)
{
	return series->reason_count;
}

/* Refused statements by reason. */
void rpt_write_refusals(const struct rpt_series *series, FILE *out)
{
	uint32_t i;
	uint32_t reason;

	fputs("second", out);
	for (reason = 0; reason < series->reason_count; reason++)
		fprintf(out, "\t%s", series->reasons[reason]);
	fputc('\n', out);
	for (i = 0; i < series->count; i++) {
		fprintf(out, "%d", (int)i - CLOCK_SKEW_S);
		for (reason = 0; reason < series->reason_count; reason++)
			fprintf(out, "\t%u", series->seconds[i].refused[reason]);
		fputc('\n', out);
	}
}

/* Reads on replicas and on leaders. */
void rpt_write_reads(const struct rpt_series *series, FILE *out)
{
	uint32_t i;

	fputs("second\treplica_reads\tleader_reads\tfailed\n", out);
	for (i = 0; i < series->count; i++)
		fprintf(out, "%d\t%u\t%u\t%u\n", (int)i - CLOCK_SKEW_S,
			series->seconds[i].replica_reads, series->seconds[i].leader_reads,
			series->seconds[i].failed);
}

/* Events of the fleet: log lines by event. */
void rpt_write_events(const struct rpt_series *series, FILE *out)
{
	uint32_t i;
	size_t event;

	fputs("second", out);
	for (event = 0; event < EVENTS; event++)
		fprintf(out, "\t%s", event_names[event]);
	fputc('\n', out);
	for (i = 0; i < series->count; i++) {
		fprintf(out, "%d", (int)i - CLOCK_SKEW_S);
		for (event = 0; event < EVENTS; event++)
			fprintf(out, "\t%u", series->seconds[i].events[event]);
		fputc('\n', out);
	}
}
