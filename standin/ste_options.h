#ifndef STE_OPTIONS_H
#define STE_OPTIONS_H

/* The command line of bc-endpoint. */

#include "standin/ste_endpoint.h"

struct ste_options {
	struct ste_settings settings;
	char databases[STE_DATABASES_MAX][BC_ID_BYTES];
	char primaries[STE_DATABASES_MAX]
		      [BC_ID_BYTES]; /* initial primary of each database; may be empty */
	size_t database_count;
	const char *primary_of;
	const char *initial_primary;
	const char *database_list;
};

/* Parses the command line; prints an error and exits with code 2 if it is invalid. */
void ste_options_parse(struct ste_options *options, int argc, char **argv);

#endif
