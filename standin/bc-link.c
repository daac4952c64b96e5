#include "standin/stl_link.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FILE_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define MAX_HTTP_CONNECTIONS 256U
#define MAX_LINK_OPTIONS 256U

struct options {
	const char *listen;
	const char *file;
	char *links[MAX_LINK_OPTIONS];
	size_t link_count;
};

struct program {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_server *server;
	struct stl_relay *relay;
};

static const struct argp_option option_table[] = {
	{"listen", 'l', "IP:PORT", 0, "Address of the control interface", 0},
	{"links", 'f', "FILE", 0,
	 "JSON {\"links\": [{\"name\",\"listen\",\"target\",\"delay_ms\",\"rate_kbit\"}], "
	 "\"rules\": [{\"from\",\"to\",\"delay_ms\",\"cut\"}]}, or the list of links alone",
	 0},
	{"link", 'k', "NAME,LISTEN,TARGET[,DELAY_MS[,RATE_KBIT]]", 0, "Add a link", 0},
	{0}};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'l':
		options->listen = arg;
		return 0;
	case 'f':
		options->file = arg;
		return 0;
	case 'k':
		if (options->link_count == MAX_LINK_OPTIONS)
			argp_error(state, "too many --link options; use --links");
		else
			options->links[options->link_count++] = arg;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		if (!options->listen)
			argp_error(state, "--listen is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool parse_number(const char *text, uint64_t *value)
{
	char *end;

	if (!text)
		return true;
	*value = strtoull(text, &end, 10);
	return text[0] >= '0' && text[0] <= '9' && !*end;
}

static enum bc_status add_link_option(struct program *program, char *text)
{
	struct stl_link_settings settings = {0};
	char *save = NULL;

	settings.name = strtok_r(text, ",", &save);
	settings.listen = strtok_r(NULL, ",", &save);
	settings.target = strtok_r(NULL, ",", &save);
	if (!settings.target || !parse_number(strtok_r(NULL, ",", &save), &settings.delay_ms) ||
	    !parse_number(strtok_r(NULL, ",", &save), &settings.rate_kbit))
		return bc_fail(program->ctx, BC_EINVAL,
			       "--link %s: needs NAME,LISTEN,TARGET[,DELAY_MS[,RATE_KBIT]]",
			       settings.name ? settings.name : "");
	return stl_link_add(program->relay, &settings);
}

static enum bc_status add_links(struct program *program, const json_t *list)
{
	enum bc_status status = BC_OK;
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const struct stl_link_settings settings = {
			.name = json_string_value(json_object_get(item, "name")),
			.listen = json_string_value(json_object_get(item, "listen")),
			.target = json_string_value(json_object_get(item, "target")),
			.delay_ms = (uint64_t)json_integer_value(json_object_get(item, "delay_ms")),
			.rate_kbit =
				(uint64_t)json_integer_value(json_object_get(item, "rate_kbit")),
		};

		status = stl_link_add(program->relay, &settings);
		if (status != BC_OK)
			return status;
	}
	return status;
}

static enum bc_status set_rules(struct program *program, const json_t *list)
{
	enum bc_status status = BC_OK;
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const json_t *delay = json_object_get(item, "delay_ms");
		const json_t *cut = json_object_get(item, "cut");
		uint64_t delay_us = (uint64_t)(json_number_value(delay) * (double)BC_US_PER_MS);
		bool is_cut = json_is_true(cut);
		const struct stl_rule_settings settings = {
			.from = json_string_value(json_object_get(item, "from")),
			.to = json_string_value(json_object_get(item, "to")),
			.delay_us = delay ? &delay_us : NULL,
			.cut = cut ? &is_cut : NULL,
		};

		status = stl_rule_set(program->relay, &settings);
		if (status != BC_OK)
			break;
	}
	stl_relay_update(program->relay);
	return status;
}

static const char *check_rules(const json_t *rules)
{
	const json_t *rule;
	size_t i;

	if (rules && !json_is_array(rules))
		return "rules must be a list";
	json_array_foreach(rules, i, rule)
	{
		const json_t *delay = json_object_get(rule, "delay_ms");
		const json_t *cut = json_object_get(rule, "cut");
		size_t known = 2 + (delay != NULL) + (cut != NULL);

		if (!json_is_string(json_object_get(rule, "from")) ||
		    !json_is_string(json_object_get(rule, "to")))
			return "a rule needs \"from\" and \"to\"";
		if ((delay && (!json_is_number(delay) || json_number_value(delay) < 0)) ||
		    (cut && !json_is_boolean(cut)) || known != json_object_size(rule))
			return "a rule's delay_ms must be a number, its cut true or false";
	}
	return NULL;
}

static enum bc_status add_links_and_rules(struct program *program, const json_t *json)
{
	const json_t *rules = json_object_get(json, "rules");
	const char *problem = check_rules(rules);
	enum bc_status status;

	if (problem)
		return bc_fail(program->ctx, BC_EINVAL, "%s", problem);
	status = add_links(program, json_is_array(json) ? json : json_object_get(json, "links"));
	return status == BC_OK ? set_rules(program, rules) : status;
}

static enum bc_status add_file(struct program *program, const char *path)
{
	json_error_t error;
	char *text = NULL;
	json_t *json;
	enum bc_status status = io_file_read(program->ctx, path, FILE_MAX_BYTES, &text, NULL);

	if (status != BC_OK)
		return status;
	json = json_loads(text, 0, &error);
	free(text);
	if (json_is_array(json) || json_is_object(json))
		status = add_links_and_rules(program, json);
	else
		status = bc_fail(program->ctx, BC_EINVAL, "%s:%d:%d: %s", path, error.line,
				 error.column, json ? "not a list of links" : error.text);
	json_decref(json);
	return status;
}

static const char *check_names(const struct program *program, const json_t *names)
{
	const json_t *name;
	size_t i;

	if (names && !json_is_array(names))
		return "cut, cut_up, cut_down, heal and silence must be lists of link names";
	json_array_foreach(names, i, name)
	{
		if (!json_is_string(name) ||
		    !stl_link_exists(program->relay, json_string_value(name)))
			return "cut, cut_up, cut_down, heal or silence names an unknown link";
	}
	return NULL;
}

static const char *check_numbers(const struct program *program, json_t *numbers)
{
	const char *name;
	json_t *value;

	if (numbers && !json_is_object(numbers))
		return "delay_ms and rate_kbit must be objects of numbers by link name";
	json_object_foreach(numbers, name, value)
	{
		if (!stl_link_exists(program->relay, name))
			return "delay_ms or rate_kbit names an unknown link";
		if (!json_is_integer(value) || json_integer_value(value) < 0)
			return "delay_ms and rate_kbit must be objects of numbers by link name";
	}
	return NULL;
}

static const char *check_control(const struct program *program, json_t *body)
{
	static const char *const names[] = {"cut", "cut_up", "cut_down", "heal", "silence"};
	static const char *const numbers[] = {"delay_ms", "rate_kbit"};
	const char *problem = json_is_object(body) ? NULL : "the body must be a JSON object";
	size_t known = 0;
	size_t i;

	for (i = 0; !problem && i < sizeof(names) / sizeof(names[0]); i++) {
		problem = check_names(program, json_object_get(body, names[i]));
		known += json_object_get(body, names[i]) != NULL;
	}
	for (i = 0; !problem && i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		problem = check_numbers(program, json_object_get(body, numbers[i]));
		known += json_object_get(body, numbers[i]) != NULL;
	}
	if (!problem)
		problem = check_rules(json_object_get(body, "rules"));
	known += json_object_get(body, "rules") != NULL;
	return problem || known == json_object_size(body) ? problem : "unknown field";
}

static void set_cuts(struct program *program, const json_t *names, enum stl_direction direction,
		     bool cut)
{
	const json_t *name;
	size_t i;

	json_array_foreach(names, i, name)
	{
		stl_link_cut_set(program->relay, json_string_value(name), direction, cut);
	}
}

static enum bc_status apply_control(struct program *program, json_t *body)
{
	const char *name;
	json_t *value;
	size_t i;

	set_cuts(program, json_object_get(body, "cut"), STL_UP, true);
	set_cuts(program, json_object_get(body, "cut"), STL_DOWN, true);
	set_cuts(program, json_object_get(body, "cut_up"), STL_UP, true);
	set_cuts(program, json_object_get(body, "cut_down"), STL_DOWN, true);
	set_cuts(program, json_object_get(body, "heal"), STL_UP, false);
	set_cuts(program, json_object_get(body, "heal"), STL_DOWN, false);
	json_array_foreach(json_object_get(body, "silence"), i, value)
	{
		stl_link_silence(program->relay, json_string_value(value));
	}
	json_object_foreach(json_object_get(body, "delay_ms"), name, value)
	{
		stl_link_delay_set(program->relay, name, (uint64_t)json_integer_value(value));
	}
	json_object_foreach(json_object_get(body, "rate_kbit"), name, value)
	{
		stl_link_rate_set(program->relay, name, (uint64_t)json_integer_value(value));
	}
	return set_rules(program, json_object_get(body, "rules"));
}

static void serve(void *data, struct io_http_request *request)
{
	struct program *program = data;
	const char *problem;
	json_t *body;

	if (strcmp(io_http_path(request), "/control/counters") == 0) {
		io_http_reply_json(request, 200, NULL, stl_relay_counters(program->relay));
		return;
	}
	if (strcmp(io_http_path(request), "/control") != 0) {
		io_http_reply(request, 404, NULL, "{\"error\":{\"code\":\"not_found\"}}");
		return;
	}
	body = json_loads(io_http_body(request, NULL), 0, NULL);
	problem = check_control(program, body);
	if (!problem && apply_control(program, body) != BC_OK)
		problem = bc_last_message(program->ctx);
	if (problem) {
		io_http_reply_json(request, 400, NULL,
				   json_pack("{s:{s:s,s:s}}", "error", "code", "bad_request",
					     "message", problem));
	} else {
		io_http_reply(request, 200, NULL, "{}");
	}
	json_decref(body);
}

static void on_terminate(void *data)
{
	io_loop_stop(data);
}

static enum bc_status start(struct program *program, const struct options *options)
{
	enum bc_status status = BC_OK;
	size_t i;

	program->loop = io_loop_create(program->ctx);
	if (!program->loop)
		return BC_EIO;
	program->relay = stl_relay_create(program->ctx, program->loop);
	if (io_loop_on_signal(program->loop, SIGTERM, on_terminate, program->loop) != BC_OK ||
	    io_loop_on_signal(program->loop, SIGINT, on_terminate, program->loop) != BC_OK)
		return BC_EIO;
	if (options->file)
		status = add_file(program, options->file);
	for (i = 0; status == BC_OK && i < options->link_count; i++)
		status = add_link_option(program, options->links[i]);
	if (status != BC_OK)
		return status;
	program->server = io_http_server_create(program->ctx, program->loop, options->listen,
						MAX_HTTP_CONNECTIONS, serve, program);
	return program->server ? BC_OK : BC_EIO;
}

int main(int argc, char **argv)
{
	static const struct argp parser = {
		option_table,
		parse_option,
		NULL,
		"A TCP relay that delays, limits and cuts links. A stand-in for tests.",
		NULL,
		NULL,
		NULL};
	static struct program program;
	static struct options options;

	argp_err_exit_status = 2;
	argp_parse(&parser, argc, argv, 0, NULL, &options);
	io_fd_limit_raise(65536);
	program.ctx = bc_ctx_create(1);
	if (!program.ctx)
		return 1;
	if (io_log_open(program.ctx, BC_LOG_INFO, "bc-link") != BC_OK ||
	    start(&program, &options) != BC_OK) {
		fprintf(stderr, "bc-link: %s\n", bc_last_message(program.ctx));
		return 2;
	}
	bc_log(program.ctx, BC_LOG_INFO, "started", "{s:i}", "port",
	       (int)io_http_server_port(program.server));
	io_loop_run(program.loop);
	bc_log(program.ctx, BC_LOG_INFO, "stopped", NULL);
	fflush(NULL);
	_exit(0);
}
