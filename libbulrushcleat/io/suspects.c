#include "io/suspects.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * New calls use new connections for this long, and later none from before the lost call's end: the
 * age of connections is compared in whole seconds.
 */
#define FRESH_ONLY_US (2 * BC_US_PER_S)
/* By then the HTTP client has closed connections that have been idle since. */
#define SUSPECT_US (120 * BC_US_PER_S)
#define SERVERS_MAX 64U

struct server {
	char name[SUS_SERVER_BYTES];
	uint64_t lost_us; /* when the last call to it had no answer */
};

struct sus_state {
	struct server servers[SERVERS_MAX]; /* a ring */
	uint32_t count;
};

/* Creates a state without suspects; NULL when out of memory. */
struct sus_state *sus_create(void)
{
	return calloc(1, sizeof(struct sus_state));
}

/* Frees the state. NULL is allowed. */
void sus_destroy(struct sus_state *state)
{
	free(state);
}

/* Returns the index of a server, or SERVERS_MAX if it is not known. */
static uint32_t find(const struct sus_state *state, const char *server)
{
	uint32_t count = state->count < SERVERS_MAX ? state->count : SERVERS_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (strcmp(state->servers[i].name, server) == 0)
			return i;
	return SERVERS_MAX;
}

/* Records that the server did not answer a call in time; the oldest entry makes room. */
void sus_call_lost(struct sus_state *state, const char *server, uint64_t now_us)
{
	uint32_t i = find(state, server);

	if (i == SERVERS_MAX) {
		i = state->count++ % SERVERS_MAX;
		snprintf(state->servers[i].name, SUS_SERVER_BYTES, "%s", server);
	}
	state->servers[i].lost_us = now_us;
}

/* Returns which connections a call to the server may use. */
struct sus_choice sus_choose(const struct sus_state *state, const char *server, uint64_t now_us)
{
	struct sus_choice choice = {false, 0};
	uint32_t i = find(state, server);
	uint64_t elapsed_us;

	if (i == SERVERS_MAX)
		return choice;
	elapsed_us = now_us - state->servers[i].lost_us;
	if (elapsed_us < FRESH_ONLY_US)
		choice.fresh_only = true;
	else if (elapsed_us < SUSPECT_US)
		choice.max_lifetime_s = (uint32_t)(elapsed_us / BC_US_PER_S) - 1;
	return choice;
}

/* Whether a connection that was opened age_us ago may be used. */
bool sus_may_use(const struct sus_choice *choice, uint64_t age_us)
{
	if (choice->fresh_only)
		return false;
	return !choice->max_lifetime_s || age_us / BC_US_PER_S <= choice->max_lifetime_s;
}
