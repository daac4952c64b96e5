#include "config/config.h"
#include "daemon/driver.h"
#include "io/io.h"
#include "io/io_budget.h"

#include <argp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_MAX_BYTES ((size_t)256 * 1024)
#define SECRET_MAX_BYTES ((size_t)4096)

/* Exit codes; the manual page lists them. */
enum { EXIT_FAILED = 1, EXIT_BAD_INPUT = 2 };

const char *argp_program_version = "bulrushcleatd " BC_VERSION;

struct options {
	const char *settings_file;
	bool check_only;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'c':
		options->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		if (options->settings_file)
			argp_error(state, "only one settings file is expected");
		options->settings_file = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->settings_file)
			argp_error(state, "a settings file is expected");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"check", 'c', NULL, 0, "Check the settings and exit", 0},
	{0},
};

static const struct argp argp = {argp_options,
				 parse_option,
				 "SETTINGS.yaml",
				 "Database proxy with session consistency.",
				 NULL,
				 NULL,
				 NULL};

static enum bc_status read_settings(struct bc_ctx *ctx, const char *file,
				    struct cfg_settings *settings)
{
	struct bc_findings *findings = bc_findings_create();
	enum bc_status status;
	size_t length;
	char *text;

	status = io_file_read(ctx, file, SETTINGS_MAX_BYTES, &text, &length);
	if (status != BC_OK) {
		fprintf(stderr, "bulrushcleatd: %s\n", bc_last_message(ctx));
		bc_findings_destroy(findings);
		return status;
	}
	status = cfg_settings_parse(ctx, file, text, length, settings, findings);
	free(text);
	if (status != BC_OK) {
		char *lines = bc_findings_text(findings);

		fputs(lines ? lines : "", stderr);
		free(lines);
	}
	bc_findings_destroy(findings);
	return status;
}

static struct ses_keyring *read_keys(struct bc_ctx *ctx, const struct cfg_settings *settings)
{
	struct ses_keyring *ring = ses_keyring_create(ctx);
	uint32_t i;

	for (i = 0; ring && i < settings->key_count; i++) {
		const struct cfg_key *key = &settings->keys[i];
		enum bc_status status;
		size_t length;
		char *secret;

		status = io_file_read(ctx, key->file, SECRET_MAX_BYTES, &secret, &length);
		if (status == BC_OK) {
			status = ses_keyring_add(ring, key->id, secret, length, key->signing);
			free(secret);
		}
		if (status != BC_OK) {
			fprintf(stderr, "bulrushcleatd: key %u: %s\n", key->id,
				bc_last_message(ctx));
			ses_keyring_destroy(ring);
			return NULL;
		}
	}
	return ring;
}

static uint64_t random_seed(void)
{
	uint64_t seed = 0;

	RAND_bytes((unsigned char *)&seed, sizeof(seed));
	return seed;
}

static int run(struct bc_ctx *ctx, const struct cfg_settings *settings)
{
	struct ses_keyring *ring = read_keys(ctx, settings);
	struct drv_driver *driver;
	size_t key_bytes = 0;
	char *fleet_key = NULL;
	int code;

	if (!ring)
		return EXIT_BAD_INPUT;
	if (io_file_read(ctx, settings->fleet_key_file, SECRET_MAX_BYTES, &fleet_key, &key_bytes) !=
		    BC_OK ||
	    key_bytes < SES_SECRET_MIN_BYTES) {
		fprintf(stderr, "bulrushcleatd: fleet key: %s\n",
			fleet_key ? "the key is too short" : bc_last_message(ctx));
		free(fleet_key);
		ses_keyring_destroy(ring);
		return EXIT_BAD_INPUT;
	}
	if (io_log_open(ctx, settings->log_level, "bulrushcleatd") != BC_OK)
		fprintf(stderr, "bulrushcleatd: %s\n", bc_last_message(ctx));
	driver = drv_create(ctx, settings, ring, fleet_key, key_bytes);
	free(fleet_key);
	if (!driver) {
		fprintf(stderr, "bulrushcleatd: %s\n", bc_last_message(ctx));
		ses_keyring_destroy(ring);
		return EXIT_FAILED;
	}
	code = drv_run(driver) ? 0 : EXIT_FAILED;
	drv_destroy(driver);
	ses_keyring_destroy(ring);
	io_log_close();
	return code;
}

int main(int argc, char **argv)
{
	struct options options = {0};
	struct cfg_settings settings;
	struct bc_ctx *ctx;
	int code = 0;

	io_memory_setup();
	argp_err_exit_status = EXIT_BAD_INPUT;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	ctx = bc_ctx_create(random_seed());
	if (!ctx)
		return EXIT_FAILED;
	if (read_settings(ctx, options.settings_file, &settings) != BC_OK)
		code = EXIT_BAD_INPUT;
	else if (!options.check_only)
		code = run(ctx, &settings);
	bc_ctx_destroy(ctx);
	return code;
}
