#include "standin/load.h"

#include <argp.h>
#include <stdlib.h>

enum {
	OPT_MAX_AGE = 256,
	OPT_STRONG,
	OPT_KEYED,
	OPT_TRANSACTION,
	OPT_ROAM,
	OPT_SEED,
	OPT_SETUP,
	OPT_CREDENTIAL,
	OPT_HISTORY,
	OPT_TIMEOUT,
	OPT_JSON,
	OPT_SOURCE
};

static const struct argp_option arg_options[] = {
	{"proxy", 'x', "IP:PORT", 0, "Address of a proxy; may be repeated", 0},
	{"source", OPT_SOURCE, "IP", 0, "Connect from this address", 0},
	{"database", 'd', "NAME", 0, "Database", 0},
	{"customer", 'c', "NAME", 0, "Customer of --key", 0},
	{"key", 'k', "ID:FILE", 0, "Key that makes the customer's credential", 0},
	{"credential", OPT_CREDENTIAL, "TEXT", 0, "Credential CUSTOMER.MAC, instead of --key", 0},
	{"rate", 'r', "N", 0, "Operations a second (100)", 0},
	{"sessions", 's', "N", 0, "Sessions, each with one operation at a time (50)", 0},
	{"read-percent", 'p', "N", 0, "Share of reads (50)", 0},
	{"max-age-ms", OPT_MAX_AGE, "N", 0, "Age limit of reads (none)", 0},
	{"strong-percent", OPT_STRONG, "N", 0, "Share of reads that are strong (0)", 0},
	{"keyed-percent", OPT_KEYED, "N", 0,
	 "Share of writes with an idempotency key, repeated after an unknown outcome (50)", 0},
	{"transaction-percent", OPT_TRANSACTION, "N", 0,
	 "Share of writes that are transactions of 2 to 4 statements (10)", 0},
	{"roam", OPT_ROAM, NULL, 0, "Send each request of a session to a random proxy", 0},
	{"seed", OPT_SEED, "N", 0, "Seed of the random choices (1)", 0},
	{"duration-s", 't', "N", 0, "Seconds to run (10)", 0},
	{"timeout-ms", OPT_TIMEOUT, "N", 0, "Deadline of a request (2000)", 0},
	{"history", OPT_HISTORY, "FILE", 0, "Write each operation as a JSON line", 0},
	{"setup", OPT_SETUP, NULL, 0, "Create the table first", 0},
	{"json", OPT_JSON, NULL, 0, "Print the summary as JSON", 0},
	{0},
};

static uint64_t parse_number(struct argp_state *state, const char *arg, uint64_t min, uint64_t max)
{
	char *end;
	unsigned long long value = strtoull(arg, &end, 10);

	if (arg[0] < '0' || arg[0] > '9' || *end || value < min || value > max)
		argp_error(state, "%s: expected a number from %llu to %llu", arg,
			   (unsigned long long)min, (unsigned long long)max);
	return value;
}

static uint32_t parse_percent(struct argp_state *state, const char *arg)
{
	return (uint32_t)parse_number(state, arg, 0, 100);
}

static void parse_rate(struct argp_state *state, const char *arg, struct ld_options *options)
{
	char *end;

	options->rate = strtod(arg, &end);
	if (*end && end[0] != '/')
		argp_error(state, "%s: expected a number of operations a second", arg);
	if (!(options->rate > 0 && options->rate <= 1e6))
		argp_error(state, "%s: expected a rate above 0, at most 1000000", arg);
}

static void check_options(struct argp_state *state, const struct ld_options *options)
{
	if (!options->proxy_count)
		argp_error(state, "expected --proxy");
	if (!options->database || !bc_id_valid(options->database))
		argp_error(state, "expected --database");
	if (!options->credential && !(options->customer && options->key))
		argp_error(state, "expected --credential, or --customer and --key");
}

static error_t parse_text(int key, char *arg, struct argp_state *state)
{
	struct ld_options *options = state->input;

	switch (key) {
	case 'x':
		if (options->proxy_count == LD_PROXIES_MAX)
			argp_error(state, "at most %d proxies", LD_PROXIES_MAX);
		options->proxies[options->proxy_count++] = arg;
		return 0;
	case 'd':
		options->database = arg;
		return 0;
	case 'c':
		options->customer = arg;
		return 0;
	case 'k':
		options->key = arg;
		return 0;
	case OPT_CREDENTIAL:
		options->credential = arg;
		return 0;
	case OPT_SOURCE:
		options->source = arg;
		return 0;
	case OPT_HISTORY:
		options->history = arg;
		return 0;
	case OPT_ROAM:
		options->roam = true;
		return 0;
	case OPT_SETUP:
		options->setup = true;
		return 0;
	case OPT_JSON:
		options->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "%s: unexpected argument", arg);
		return 0;
	case ARGP_KEY_END:
		check_options(state, options);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct ld_options *options = state->input;

	switch (key) {
	case 'r':
		parse_rate(state, arg, options);
		return 0;
	case 's':
		options->sessions = (uint32_t)parse_number(state, arg, 1, LD_SESSIONS_MAX);
		return 0;
	case 'p':
		options->read_percent = parse_percent(state, arg);
		return 0;
	case 't':
		options->duration_s = (uint32_t)parse_number(state, arg, 1, 86400);
		return 0;
	case OPT_MAX_AGE:
		options->max_age_ms = (int64_t)parse_number(state, arg, 0, 86400000);
		return 0;
	case OPT_STRONG:
		options->strong_percent = parse_percent(state, arg);
		return 0;
	case OPT_KEYED:
		options->keyed_percent = parse_percent(state, arg);
		return 0;
	case OPT_TRANSACTION:
		options->transaction_percent = parse_percent(state, arg);
		return 0;
	case OPT_SEED:
		options->seed = parse_number(state, arg, 0, UINT64_MAX);
		return 0;
	case OPT_TIMEOUT:
		options->timeout_ms = (uint32_t)parse_number(state, arg, 1, 600000);
		return 0;
	default:
		return parse_text(key, arg, state);
	}
}

/* Parses the options; exits with 2 if they are wrong. */
void ld_args_parse(int argc, char **argv, struct ld_options *options)
{
	static const struct argp argp = {
		arg_options, parse_option,
		NULL,	     "Sends a load to bulrushcleat proxies and records its history.",
		NULL,	     NULL,
		NULL};

	*options = (struct ld_options){
		.rate = 100,
		.seed = 1,
		.sessions = 50,
		.read_percent = 50,
		.keyed_percent = 50,
		.transaction_percent = 10,
		.duration_s = 10,
		.timeout_ms = 2000,
		.max_age_ms = -1,
	};
	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, options);
}
