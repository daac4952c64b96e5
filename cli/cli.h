#ifndef BC_CLI_H
#define BC_CLI_H

/* The operators' command: one function per subcommand, built on the library and io/. */

#include "config/config.h"
#include "io/io.h"

#define CLI_PROXIES_MAX 256
#define CLI_POSITIONAL_MAX 2
#define CLI_TIMEOUT_MS 5000

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILURE = 1,
	CLI_BAD_INPUT = 2,
	CLI_UNREACHABLE = 3,
	CLI_CONFLICT = 4,
};

struct cli {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_client *client;
	const char *positional[CLI_POSITIONAL_MAX]; /* positional arguments */
	uint32_t positional_count;
	bool json;
	const char *platform;
	const char *proxies[CLI_PROXIES_MAX];
	uint32_t proxy_count;
	int64_t if_revision; /* -1: not given */
	uint32_t key_id;
	const char *key_file;
	const char *customer;
	const char *against; /* file of the configuration in force; NULL: not given */
};

/* --- args.c --- */

#define CLI_OPT_JSON 1U
#define CLI_OPT_PLATFORM 2U
#define CLI_OPT_PROXY 4U
#define CLI_OPT_IF_REVISION 8U
#define CLI_OPT_KEY 16U
#define CLI_OPT_CUSTOMER 32U
#define CLI_OPT_AGAINST 64U

struct cli_command {
	const char *group; /* NULL for commands of one word */
	const char *name;
	const char *positional_doc; /* the positional arguments, for the help */
	uint32_t positional_min;
	uint32_t positional_max;
	uint32_t options;  /* CLI_OPT_ bits that are allowed */
	uint32_t required; /* CLI_OPT_ bits that must be given */
	enum cli_exit (*run)(struct cli *cli);
	const char *doc;
};

/* Parses the arguments of one command into `cli`; exits with CLI_BAD_INPUT if they are invalid. */
void cli_args_parse(struct cli *cli, const struct cli_command *command, int argc, char **argv);
/* Splits "ID:FILE". */
bool cli_key_split(const char *text, uint32_t *id, const char **file);

/* --- output.c --- */

/* Prints a value as indented JSON and releases it. */
void cli_print_json(json_t *value);
/* Prints findings; CLI_BAD_INPUT if there are any, else CLI_OK. */
enum cli_exit cli_print_findings(const struct cli *cli, const struct bc_findings *findings);
/* Prints differences, one line each, with a heading. Borrows `diff`. */
void cli_print_diff(const char *heading, const json_t *diff);
/* Prints a message on stderr and returns `code`. */
enum cli_exit cli_error(enum cli_exit code, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* --- http.c --- */

struct cli_answer {
	enum io_http_outcome outcome;
	uint32_t status;
	json_t *body; /* NULL if the answer is not JSON */
	char error[256];
};

/* Sends one request and waits for the result. The caller releases answer->body. */
void cli_http(struct cli *cli, const char *method, const char *address, const char *path,
	      const json_t *body, struct cli_answer *answer);
/* Sends GET requests for `path` to all addresses at once and waits for all. */
void cli_http_all(struct cli *cli, const char *const *addresses, uint32_t count, const char *path,
		  struct cli_answer *answers);

/* --- update.c --- */

/* The platform's object "config". Calls may fail with BC_EIO: no answer, the effect is unknown. */
struct cli_store {
	/* BC_ENOTFOUND: there is no object yet. *value is a new reference. */
	enum bc_status (*get)(void *data, uint64_t *version, json_t **value);
	/* BC_ECONFLICT: the current version is not `if_version`. */
	enum bc_status (*put)(void *data, uint64_t if_version, const json_t *value);
	/* Waits before retry number `retry`, counted from 1. */
	void (*pause)(void *data, uint32_t retry);
	void *data;
};

struct cli_update {
	const json_t *lists;
	const char *writer;  /* random id of this update */
	int64_t if_revision; /* the revision that the edit is based on; -1: the current one */
	uint64_t revision;   /* result: the revision created, or the one found */
	bool unchanged;	     /* result: the lists are in force already */
	bool maybe_applied;  /* result, with BC_EIO: the update may have taken effect */
	json_t *theirs;	     /* result, with BC_ECONFLICT: what others changed; may be NULL */
	json_t *ours;	     /* result, with BC_ECONFLICT: what this update would change now */
};

enum bc_status cli_update_run(struct bc_ctx *ctx, const struct cli_store *store,
			      struct cli_update *update);
void cli_update_free(struct cli_update *update);

/* --- platform.c --- */

/* The store behind --platform. */
struct cli_store cli_platform_store(struct cli *cli);

/* --- object.c --- */

/* Checks the operators' configuration: a new list of {place, message}. */
json_t *cli_object_findings(const json_t *spec);
/* What differs between two configurations: a new list of {place, message}. */
json_t *cli_object_changes(const json_t *before, const json_t *after);
/* Adds a finding if the version does not allow to replace `before`. */
void cli_object_check_version(const json_t *before, const json_t *after, const json_t *changes,
			      json_t *findings);
/* config check with one file. */
enum cli_exit cli_object_check(struct cli *cli);

/* --- commands --- */

enum cli_exit cli_config_check(struct cli *cli);
enum cli_exit cli_config_apply(struct cli *cli);
enum cli_exit cli_config_show(struct cli *cli);
enum cli_exit cli_config_diff(struct cli *cli);
enum cli_exit cli_settings_check(struct cli *cli);
enum cli_exit cli_status(struct cli *cli);
enum cli_exit cli_key_generate(struct cli *cli);
enum cli_exit cli_session_show(struct cli *cli);
enum cli_exit cli_customer_credential(struct cli *cli);
enum cli_exit cli_version(struct cli *cli);
enum cli_exit cli_report(struct cli *cli);

/* Writes 32 random bytes into a new file of mode 0600. BC_ECONFLICT: the file exists. */
enum bc_status cli_key_write(struct bc_ctx *ctx, const char *path);

#endif
