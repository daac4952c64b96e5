#include "io/io.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS_MAX 256U
#define SAMPLES_MAX (1U << 20)

/*
 * Runs single statements in a closed loop with a number of workers, either directly on connections
 * of an endpoint (--endpoint) or through a proxy (--proxy), to compare both under the same load.
 * Prints one JSON object.
 */

struct options {
	const char *endpoint;
	const char *proxy;
	const char *database;
	const char *credential;
	uint32_t workers;
	uint32_t seconds;
	bool write;
};

struct bench;

struct worker {
	struct bench *bench;
	uint32_t index;
	uint64_t serial;
	uint64_t begin_us;
	char connection[BC_ID_BYTES];
	char url[512];
};

struct bench {
	struct options options;
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_client *client;
	struct worker workers[WORKERS_MAX];
	uint64_t end_us;
	uint32_t running;
	uint64_t failed;
	uint32_t samples;
	uint32_t sample_us[SAMPLES_MAX];
};

const char *argp_program_version = "bc-direct " BC_VERSION;

static uint32_t parse_number(struct argp_state *state, const char *text, unsigned long long max)
{
	char *end;
	unsigned long long value = strtoull(text, &end, 10);

	if (text[0] < '1' || text[0] > '9' || *end || value > max)
		argp_error(state, "\"%s\" is not a number from 1 to %llu", text, max);
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'e':
		options->endpoint = arg;
		return 0;
	case 'x':
		options->proxy = arg;
		return 0;
	case 'd':
		options->database = arg;
		return 0;
	case 'c':
		options->credential = arg;
		return 0;
	case 'n':
		options->workers = parse_number(state, arg, WORKERS_MAX);
		return 0;
	case 't':
		options->seconds = parse_number(state, arg, 3600);
		return 0;
	case 'w':
		options->write = true;
		return 0;
	case ARGP_KEY_END:
		if (!options->database || !options->endpoint == !options->proxy ||
		    (options->proxy && !options->credential))
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"endpoint", 'e', "IP:PORT", 0, "Run statements on this endpoint", 0},
	{"proxy", 'x', "IP:PORT", 0, "Run statements through this proxy", 0},
	{"credential", 'c', "TEXT", 0, "Credential of the customer, for --proxy", 0},
	{"database", 'd', "NAME", 0, "Database", 0},
	{"workers", 'n', "N", 0, "Statements in flight at once (1)", 0},
	{"duration-s", 't', "N", 0, "Seconds to run (3)", 0},
	{"write", 'w', NULL, 0, "Insert rows instead of reading", 0},
	{0},
};

static const struct argp argp = {
	argp_options, parse_option, NULL, "Measure statements in a closed loop.", NULL, NULL, NULL};

static json_t *statement_json(const struct worker *worker)
{
	if (worker->bench->options.write)
		return json_pack("{s:s,s:[s,I,s]}", "sql",
				 "INSERT INTO load(session, seq, request) VALUES(?, ?, ?)",
				 "params", "direct", (json_int_t)worker->serial, "bench");
	return json_pack("{s:s,s:[s]}", "sql", "SELECT count(*) FROM load WHERE session = ?",
			 "params", "none");
}

static json_t *body_json(const struct worker *worker)
{
	bool write = worker->bench->options.write;
	json_t *statement = statement_json(worker);
	char id[BC_ID_BYTES];

	if (worker->bench->options.proxy) {
		json_object_set_new(statement, "kind", json_string(write ? "write" : "read"));
		return statement;
	}
	snprintf(id, sizeof(id), "direct-%u-%llu", worker->index,
		 (unsigned long long)worker->serial);
	return json_pack("{s:s,s:s,s:i,s:b,s:b,s:s,s:[o]}", "request", id, "database",
			 worker->bench->options.database, "term", 0, "read_only", !write, "begin",
			 0, "end", "none", "statements", statement);
}

static void worker_send_statement(struct worker *worker);

static void worker_end(struct worker *worker)
{
	struct bench *bench = worker->bench;

	if (--bench->running == 0)
		io_loop_stop(bench->loop);
}

static void on_deleted(void *data, const struct io_http_result *result)
{
	(void)result;
	worker_end(data);
}

/* Closes the worker's connection to the endpoint, since an endpoint allows only a few. */
static void worker_stop(struct worker *worker)
{
	struct bench *bench = worker->bench;
	char url[512];

	if (!worker->connection[0]) {
		worker_end(worker);
		return;
	}
	snprintf(url, sizeof(url), "http://%s/v1/connections/%s", bench->options.endpoint,
		 worker->connection);
	io_http_send(bench->client, "DELETE", url, NULL, NULL, BC_US_PER_S, on_deleted, worker);
}

static bool has_succeeded(const struct io_http_result *result)
{
	bool ok;
	json_t *body;
	const char *status;

	if (result->outcome != IO_HTTP_COMPLETE || result->status != 200)
		return false;
	body = json_loads(result->body, 0, NULL);
	status = json_string_value(json_object_get(body, "status"));
	if (!status)
		status = json_string_value(json_object_get(body, "outcome"));
	ok = status && (strcmp(status, "ok") == 0 || strcmp(status, "ran") == 0);
	json_decref(body);
	return ok;
}

static void on_statement(void *data, const struct io_http_result *result)
{
	struct worker *worker = data;
	struct bench *bench = worker->bench;
	uint64_t now_us = io_now_us();

	if (!has_succeeded(result)) {
		if (bench->failed++ == 0)
			fprintf(stderr, "bc-direct: first failure: %u %.200s\n", result->status,
				result->body ? result->body : result->error);
	} else if (bench->samples < SAMPLES_MAX) {
		bench->sample_us[bench->samples++] = (uint32_t)(now_us - worker->begin_us);
	}
	if (now_us >= bench->end_us)
		worker_stop(worker);
	else
		worker_send_statement(worker);
}

static void worker_send_statement(struct worker *worker)
{
	struct bench *bench = worker->bench;
	char authorization[256];
	struct io_http_header headers[] = {{"Authorization", authorization}, {NULL, NULL}};
	json_t *body;
	char *text;

	worker->serial++;
	body = body_json(worker);
	text = json_dumps(body, JSON_COMPACT);
	snprintf(authorization, sizeof(authorization), "Bearer %s",
		 bench->options.credential ? bench->options.credential : "");
	worker->begin_us = io_now_us();
	io_http_send(bench->client, "POST", worker->url, headers, text, 10 * BC_US_PER_S,
		     on_statement, worker);
	free(text);
	json_decref(body);
}

static void on_connection(void *data, const struct io_http_result *result)
{
	struct worker *worker = data;
	json_t *body = json_loads(result->body ? result->body : "", 0, NULL);
	const char *id = json_string_value(json_object_get(body, "connection"));

	if (id) {
		snprintf(worker->connection, sizeof(worker->connection), "%s", id);
		snprintf(worker->url, sizeof(worker->url), "http://%s/v1/connections/%s/run",
			 worker->bench->options.endpoint, id);
		worker_send_statement(worker);
	} else {
		fprintf(stderr, "bc-direct: no connection: %s\n", result->error);
		worker->bench->failed++;
		worker_stop(worker);
	}
	json_decref(body);
}

static void worker_start(struct worker *worker)
{
	const struct options *options = &worker->bench->options;

	if (options->proxy) {
		snprintf(worker->url, sizeof(worker->url), "http://%s/v1/databases/%s/statements",
			 options->proxy, options->database);
		worker_send_statement(worker);
		return;
	}
	snprintf(worker->url, sizeof(worker->url), "http://%s/v1/connections", options->endpoint);
	io_http_send(worker->bench->client, "POST", worker->url, NULL, "{\"proxy\":\"bc-direct\"}",
		     10 * BC_US_PER_S, on_connection, worker);
}

static int compare_samples(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return (first > second) - (first < second);
}

static double percentile_ms(const struct bench *bench, uint32_t percent)
{
	uint64_t index = (uint64_t)(bench->samples - 1) * percent / 100;

	if (!bench->samples)
		return 0;
	return bench->sample_us[index] / 1000.0;
}

static void print_result(struct bench *bench, double seconds)
{
	qsort(bench->sample_us, bench->samples, sizeof(*bench->sample_us), compare_samples);
	printf("{\"ran\":%u,\"failed\":%llu,\"per_s\":%.1f,\"p50_ms\":%.3f,\"p99_ms\":%.3f}\n",
	       bench->samples, (unsigned long long)bench->failed, bench->samples / seconds,
	       percentile_ms(bench, 50), percentile_ms(bench, 99));
}

int main(int argc, char **argv)
{
	static struct bench bench = {.options = {.workers = 1, .seconds = 3}};
	uint64_t begin_us;
	uint32_t i;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &bench.options);
	bench.ctx = bc_ctx_create(1);
	bench.loop = io_loop_create(bench.ctx);
	bench.client = io_http_client_create(bench.ctx, bench.loop);
	if (!bench.client)
		return 1;
	begin_us = io_now_us();
	bench.end_us = begin_us + bench.options.seconds * BC_US_PER_S;
	bench.running = bench.options.workers;
	for (i = 0; i < bench.options.workers; i++) {
		bench.workers[i] = (struct worker){.bench = &bench, .index = i};
		worker_start(&bench.workers[i]);
	}
	io_loop_run(bench.loop);
	print_result(&bench, (double)(io_now_us() - begin_us) / 1e6);
	io_http_client_destroy(bench.client);
	io_loop_destroy(bench.loop);
	bc_ctx_destroy(bench.ctx);
	return bench.failed ? 1 : 0;
}
