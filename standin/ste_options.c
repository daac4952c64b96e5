#include "standin/ste_options.h"

#include <argp.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum option_key {
	KEY_ID = 'i',
	KEY_LISTEN = 'l',
	KEY_DATA = 'd',
	KEY_DATABASES = 'b',
	KEY_PEERS = 'p',
	KEY_CONNECTIONS = 'c',
	KEY_SLOTS = 's',
	KEY_PRIMARY_OF = 0x100,
	KEY_INITIAL_PRIMARY,
	KEY_CONNECT_COST,
	KEY_STATEMENT_COST,
	KEY_READ_COST,
	KEY_LOCK_WAIT,
	KEY_PULL_WAIT,
};

static const struct argp_option option_table[] = {
	{"id", KEY_ID, "ID", 0, "This endpoint's id", 0},
	{"listen", KEY_LISTEN, "IP:PORT", 0, "Address to serve on", 0},
	{"data", KEY_DATA, "DIR", 0, "Directory of the sqlite files; must exist", 0},
	{"databases", KEY_DATABASES, "DB,...", 0, "Databases to host", 0},
	{"peers", KEY_PEERS, "ID=IP:PORT,...", 0,
	 "The other endpoints; these addresses take precedence over those in follow orders", 0},
	{"primary-of", KEY_PRIMARY_OF, "DB,...", 0,
	 "Start as primary of these, in term 1, if the data is new", 0},
	{"initial-primary", KEY_INITIAL_PRIMARY, "DB=ID,...", 0,
	 "Start as follower of these, in term 1, if the data is new", 0},
	{"connections", KEY_CONNECTIONS, "N", 0, "Connections allowed (16)", 0},
	{"slots", KEY_SLOTS, "N", 0, "Statements in service at once (2)", 0},
	{"connect-cost-ms", KEY_CONNECT_COST, "MS", 0, "Time to open a connection (0)", 0},
	{"statement-cost-us", KEY_STATEMENT_COST, "US", 0, "Service time of a statement (0)", 0},
	{"read-cost-us", KEY_READ_COST, "US", 0,
	 "Service time of a read, if it differs from --statement-cost-us", 0},
	{"lock-wait-ms", KEY_LOCK_WAIT, "MS", 0, "How long a writer waits for another (5000)", 0},
	{"pull-wait-ms", KEY_PULL_WAIT, "MS", 0,
	 "Longest wait of a replica's log request; bounds contact_ms when idle (100)", 0},
	{0}};

static uint64_t parse_number(struct argp_state *state, const char *name, const char *text,
			     uint64_t max)
{
	char *end;
	unsigned long long value;

	value = strtoull(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end || value > max)
		argp_error(state, "--%s: \"%s\" is not a number of at most %llu", name, text,
			   (unsigned long long)max);
	return value;
}

static void parse_peers(struct argp_state *state, struct ste_settings *settings, const char *text)
{
	char *list = strdup(text);
	char *save = NULL;
	char *item;

	for (item = strtok_r(list, ",", &save); item; item = strtok_r(NULL, ",", &save)) {
		char *equals = strchr(item, '=');
		struct ste_peer *peer = &settings->peers[settings->peer_count];

		if (!equals || settings->peer_count == STE_PEERS_MAX) {
			argp_error(state, "--peers: \"%s\" is not ID=IP:PORT", item);
			break;
		}
		*equals = '\0';
		if (!bc_id_valid(item) || !strchr(equals + 1, ':') ||
		    strlen(equals + 1) >= BC_ADDRESS_BYTES)
			argp_error(state, "--peers: \"%s\" is not ID=IP:PORT", item);
		snprintf(peer->id, sizeof(peer->id), "%s", item);
		snprintf(peer->address, sizeof(peer->address), "%s", equals + 1);
		settings->peer_count++;
	}
	free(list);
}

static size_t database_index(struct argp_state *state, const struct ste_options *options,
			     const char *option, const char *name)
{
	size_t i;

	for (i = 0; i < options->database_count; i++)
		if (strcmp(options->databases[i], name) == 0)
			return i;
	argp_error(state, "--%s: \"%s\" is not one of --databases", option, name);
	return 0;
}

static void set_databases(struct argp_state *state, struct ste_options *options)
{
	char *list = strdup(options->database_list ? options->database_list : "");
	char *save = NULL;
	char *item;

	for (item = strtok_r(list, ",", &save); item; item = strtok_r(NULL, ",", &save)) {
		if (!bc_id_valid(item) || options->database_count == STE_DATABASES_MAX) {
			argp_error(state, "--databases: \"%s\" is not a valid name", item);
			break;
		}
		snprintf(options->databases[options->database_count++], BC_ID_BYTES, "%s", item);
	}
	free(list);
}

static void set_primaries(struct argp_state *state, struct ste_options *options)
{
	char *list = strdup(options->primary_of ? options->primary_of : "");
	char *save = NULL;
	char *item;

	for (item = strtok_r(list, ",", &save); item; item = strtok_r(NULL, ",", &save))
		snprintf(options->primaries[database_index(state, options, "primary-of", item)],
			 BC_ID_BYTES, "%s", options->settings.id);
	free(list);
	list = strdup(options->initial_primary ? options->initial_primary : "");
	for (item = strtok_r(list, ",", &save); item; item = strtok_r(NULL, ",", &save)) {
		char *equals = strchr(item, '=');

		if (!equals || !bc_id_valid(equals + 1)) {
			argp_error(state, "--initial-primary: \"%s\" is not DB=ID", item);
			break;
		}
		*equals = '\0';
		snprintf(
			options->primaries[database_index(state, options, "initial-primary", item)],
			BC_ID_BYTES, "%s", equals + 1);
	}
	free(list);
}

static void check_options(struct argp_state *state, struct ste_options *options)
{
	const struct ste_settings *settings = &options->settings;

	if (!settings->id || !bc_id_valid(settings->id))
		argp_error(state, "--id must be 1 to 63 characters of [A-Za-z0-9._-]");
	if (!settings->listen || !settings->data || !options->database_list)
		argp_error(state, "--listen, --data and --databases are needed");
	if (!settings->slots || !settings->connections)
		argp_error(state, "--slots and --connections must be at least 1");
	set_databases(state, options);
	set_primaries(state, options);
	if (options->settings.read_cost_us == UINT64_MAX)
		options->settings.read_cost_us = settings->write_cost_us;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct ste_options *options = state->input;
	struct ste_settings *settings = &options->settings;

	switch (key) {
	case KEY_ID:
		settings->id = arg;
		return 0;
	case KEY_LISTEN:
		settings->listen = arg;
		return 0;
	case KEY_DATA:
		settings->data = arg;
		return 0;
	case KEY_DATABASES:
		options->database_list = arg;
		return 0;
	case KEY_PEERS:
		parse_peers(state, settings, arg);
		return 0;
	case KEY_PRIMARY_OF:
		options->primary_of = arg;
		return 0;
	case KEY_INITIAL_PRIMARY:
		options->initial_primary = arg;
		return 0;
	case KEY_CONNECTIONS:
		settings->connections = (uint32_t)parse_number(state, "connections", arg, 1000000);
		return 0;
	case KEY_SLOTS:
		settings->slots = (uint32_t)parse_number(state, "slots", arg, 1000000);
		return 0;
	case KEY_CONNECT_COST:
		settings->connect_cost_us =
			parse_number(state, "connect-cost-ms", arg, INT_MAX) * BC_US_PER_MS;
		return 0;
	case KEY_STATEMENT_COST:
		settings->write_cost_us = parse_number(state, "statement-cost-us", arg, INT_MAX);
		return 0;
	case KEY_READ_COST:
		settings->read_cost_us = parse_number(state, "read-cost-us", arg, INT_MAX);
		return 0;
	case KEY_LOCK_WAIT:
		settings->lock_wait_us =
			parse_number(state, "lock-wait-ms", arg, INT_MAX) * BC_US_PER_MS;
		return 0;
	case KEY_PULL_WAIT:
		settings->pull_wait_ms = parse_number(state, "pull-wait-ms", arg, 60000);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		check_options(state, options);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Sets the defaults and parses the command line. Exits with code 2 on an error. */
void ste_options_parse(struct ste_options *options, int argc, char **argv)
{
	static const struct argp parser = {
		option_table,
		parse_option,
		NULL,
		"One endpoint of a database group: several databases, each a sqlite file with its "
		"replicated log. A stand-in for tests.",
		NULL,
		NULL,
		NULL};

	memset(options, 0, sizeof(*options));
	options->settings.connections = 16;
	options->settings.slots = 2;
	options->settings.lock_wait_us = 5 * BC_US_PER_S;
	options->settings.pull_wait_ms = 100;
	options->settings.read_cost_us = UINT64_MAX;
	argp_err_exit_status = 2;
	argp_parse(&parser, argc, argv, 0, NULL, options);
}
