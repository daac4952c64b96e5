#include "cli/rpt.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Proxies' clocks differ: lines this much older than the first one are still taken. */
#define SLACK_S 10
/* A day, so that a line with a broken clock cannot fill the memory. */
#define SECONDS_MAX (24U * 3600U)
/* Reasons beyond these are counted together; the product has fewer. */
#define REASONS_MAX 24U
#define REASON_BYTES 40

/* What happened to the fleet, rather than to a statement. */
static const char *const event_names[] = {"takeover_ordered", "leader_changed",	  "store_lost",
					  "store_regained",   "started",	  "stopping",
					  "config_in_force",  "relay_unreachable"};
#define EVENTS (sizeof(event_names) / sizeof(event_names[0]))

static const char *const route_names[RPT_ROUTES] = {
	[RPT_NEWEST] = "newest", [RPT_AGED] = "aged", [RPT_SESSION] = "session"};

struct times {
	uint32_t *us;
	size_t count;
	size_t size;
};

struct second {
	struct times took[RPT_ROUTES];
	uint32_t failed;
	uint32_t refused[REASONS_MAX];
	uint32_t leader_reads;
	uint32_t replica_reads;
	uint32_t events[EVENTS];
};

struct rpt_series {
	apr_pool_t *pool;
	apr_hash_t *leaders; /* endpoint id -> endpoint id, as the logs told last */
	int64_t first_s;     /* of the first second kept */
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
			free(series->seconds[i].took[route].us);
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

/* The second of a time; NULL if it is out of the span that is kept. */
static struct second *second_at(struct rpt_series *series, int64_t time_s)
{
	int64_t index;

	if (!series->count)
		series->first_s = time_s - SLACK_S;
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

static void times_add(struct times *times, uint32_t us)
{
	size_t size = times->size ? 2 * times->size : 32;
	uint32_t *grown;

	if (times->count == times->size) {
		grown = realloc(times->us, size * sizeof(*grown));
		if (!grown)
			return;
		times->us = grown;
		times->size = size;
	}
	times->us[times->count++] = us;
}

static const char *text_of(const json_t *fields, const char *name)
{
	const char *text = json_string_value(json_object_get(fields, name));

	return text ? text : "";
}

/* Whether the log says of the statement that it read, and chose an endpoint for that. */
static bool is_read(const json_t *fields)
{
	const char *verb = text_of(fields, "verb");
	const char *reason = text_of(fields, "reason");

	return (strcmp(verb, "read") == 0 || strcmp(verb, "execute") == 0) && *reason &&
	       strcmp(reason, "leader") != 0;
}

static void take_statement(struct rpt_series *series, struct second *second, const json_t *fields)
{
	const char *route = text_of(fields, "route");
	json_int_t took_us = json_integer_value(json_object_get(fields, "took_us"));
	int i;

	/* The proxy that asked for it reports it too. */
	if (*text_of(fields, "for"))
		return;
	series->totals.statements++;
	if (strcmp(text_of(fields, "outcome"), "ok") != 0) {
		series->totals.failed++;
		second->failed++;
		return;
	}
	for (i = 0; i < RPT_ROUTES; i++)
		if (strcmp(route, route_names[i]) == 0)
			times_add(&second->took[i],
				  took_us > UINT32_MAX ? UINT32_MAX : (uint32_t)took_us);
	if (!is_read(fields))
		return;
	if (apr_hash_get(series->leaders, text_of(fields, "endpoint"), APR_HASH_KEY_STRING)) {
		series->totals.leader_reads++;
		second->leader_reads++;
	} else {
		series->totals.replica_reads++;
		second->replica_reads++;
	}
}

static void take_refusal(struct rpt_series *series, struct second *second, const json_t *fields)
{
	const char *reason = text_of(fields, "reason");
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

static void leader_set(struct rpt_series *series, const char *endpoint, bool leads)
{
	const char *kept = apr_pstrdup(series->pool, endpoint);

	if (*endpoint)
		apr_hash_set(series->leaders, kept, APR_HASH_KEY_STRING, leads ? kept : NULL);
}

static void take_event(struct rpt_series *series, struct second *second, const char *event,
		       const json_t *fields)
{
	size_t i;

	for (i = 0; i < EVENTS; i++)
		if (strcmp(event, event_names[i]) == 0)
			second->events[i]++;
	if (strcmp(event, "takeover_ordered") == 0)
		series->totals.promotions++;
	if (strcmp(event, "leader_changed") == 0) {
		leader_set(series, text_of(fields, "from"), false);
		leader_set(series, text_of(fields, "to"), true);
	}
}

/* Takes one line of a log; text before its JSON object is skipped. False if there is none. */
bool rpt_line(struct rpt_series *series, const char *line)
{
	const char *start = strchr(line, '{');
	json_t *object = start ? json_loads(start, 0, NULL) : NULL;
	const char *event = json_string_value(json_object_get(object, "event"));
	const json_t *fields = json_object_get(object, "fields");
	struct second *second = NULL;
	int64_t time_s;

	series->totals.lines++;
	if (event && read_time(object, &time_s))
		second = second_at(series, time_s);
	if (!second) {
		series->totals.skipped++;
		json_decref(object);
		return false;
	}
	if (!series->totals.from[0])
		apr_cpystrn(series->totals.from, text_of(object, "time"),
			    sizeof(series->totals.from));
	if (strcmp(event, "statement") == 0)
		take_statement(series, second, fields);
	else if (strcmp(event, "refused") == 0)
		take_refusal(series, second, fields);
	else
		take_event(series, second, event, fields);
	json_decref(object);
	return true;
}

/* Sums over the whole span. */
struct rpt_totals rpt_totals_get(const struct rpt_series *series)
{
	struct rpt_totals totals = series->totals;

	totals.seconds = series->count > SLACK_S ? series->count - SLACK_S : 0;
	return totals;
}

static int by_value(const void *a, const void *b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* A quantile in milliseconds of sorted times; nan where there is none, as gnuplot leaves out. */
static void write_quantile(FILE *out, const struct times *times, uint32_t percent)
{
	size_t place = times->count ? (times->count - 1) * percent / 100 : 0;

	if (!times->count)
		fputs("\tnan", out);
	else
		fprintf(out, "\t%.3f", times->us[place] / 1000.0);
}

/* Median and 99th percentile of successful statements by kind of route. */
void rpt_write_latency(struct rpt_series *series, FILE *out)
{
	uint32_t i;
	int route;

	fputs("second", out);
	for (route = 0; route < RPT_ROUTES; route++)
		fprintf(out, "\t%s_p50_ms\t%s_p99_ms", route_names[route], route_names[route]);
	fputc('\n', out);
	for (i = 0; i < series->count; i++) {
		fprintf(out, "%d", (int)i - SLACK_S);
		for (route = 0; route < RPT_ROUTES; route++) {
			struct times *times = &series->seconds[i].took[route];

			if (times->count)
				qsort(times->us, times->count, sizeof(*times->us), by_value);
			write_quantile(out, times, 50);
			write_quantile(out, times, 99);
		}
		fputc('\n', out);
	}
}

/* Number of refusal columns after the second. */
uint32_t rpt_reasons(const struct rpt_series *series)
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
		fprintf(out, "%d", (int)i - SLACK_S);
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
		fprintf(out, "%d\t%u\t%u\t%u\n", (int)i - SLACK_S, series->seconds[i].replica_reads,
			series->seconds[i].leader_reads, series->seconds[i].failed);
}

/* What happened to the fleet: lines of the logs by event. */
void rpt_write_events(const struct rpt_series *series, FILE *out)
{
	uint32_t i;
	size_t event;

	fputs("second", out);
	for (event = 0; event < EVENTS; event++)
		fprintf(out, "\t%s", event_names[event]);
	fputc('\n', out);
	for (i = 0; i < series->count; i++) {
		fprintf(out, "%d", (int)i - SLACK_S);
		for (event = 0; event < EVENTS; event++)
			fprintf(out, "\t%u", series->seconds[i].events[event]);
		fputc('\n', out);
	}
}
