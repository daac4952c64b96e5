#include "soak/session.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/*
 * Callers that keep their sessions while proxies are stopped: each uses its session until the proxy
 * closes it, and then takes the next address that opens one, also that of a proxy that drains.
 * Prints a line for each statement without an answer, with "ran" if its write took effect, and the
 * counts of all callers at the end.
 *
 *     stop-client SEED CALLERS SECONDS PAUSE_MS PORT IP...
 */

#define RECONNECT_US 20000U
#define REFUSED_US 20000U
#define CALLERS_MAX 200U
#define US_PER_MS 1000U
/* Of ten operations so many are single writes, and so many transactions; the others are reads. */
#define WRITES_IN_TEN 5
#define TRANSACTIONS_IN_TEN 2

struct run {
	uint32_t pause_us;
	uint16_t port;
	char **ips;
	uint32_t ip_count;
	uint64_t start_ms;
	uint64_t end_ms;
};

struct caller {
	const struct run *run;
	uint32_t number;
	unsigned short random[3];
	struct soak_session session;
	uint32_t address; /* index of the address in use */
	uint32_t value;	  /* of the latest write */
	uint32_t answered;
	uint32_t refused;
	uint32_t unknown;
	uint32_t unanswered;
	uint32_t ended;	  /* sessions that the proxy ended while no statement was unanswered */
	uint32_t cut_off; /* unanswered, though the write took effect */
};

/* Opens a session at the first address that takes one, beginning with the one in use. */
static bool connect_any(struct caller *caller)
{
	const struct run *run = caller->run;
	uint32_t i;

	for (i = 0; i < run->ip_count; i++) {
		uint32_t address = (caller->address + i) % run->ip_count;

		if (soak_connect(&caller->session, run->ips[address], run->port, "orders")) {
			caller->address = address;
			return true;
		}
	}
	return false;
}

/* Whether the caller's latest write took effect, as another session reads it. */
static bool write_took_effect(struct caller *caller)
{
	char text[64];
	char expected[64];

	snprintf(text, sizeof(text), "READ s%u", caller->number);
	snprintf(expected, sizeof(expected), "s%u-%u", caller->number, caller->value);
	while (soak_now_ms() < caller->run->end_ms) {
		if (connect_any(caller) &&
		    soak_query(&caller->session, "readback", text) == SOAK_OK)
			return strcmp(caller->session.row, expected) == 0;
		soak_disconnect(&caller->session);
		usleep(RECONNECT_US);
	}
	return false;
}

/* A refused caller waits before it goes on, though for less long than it is told to. */
static void refused(struct caller *caller)
{
	caller->refused++;
	usleep(REFUSED_US);
}

/* Runs a statement and counts how it ended. */
static enum soak_outcome run_statement(struct caller *caller, const char *text, bool ends_write)
{
	uint64_t sent_ms = soak_now_ms();
	uint32_t address = caller->address;
	enum soak_outcome outcome;
	char id[64];
	bool ran;

	snprintf(id, sizeof(id), "stop-%u-%ld", caller->number, nrand48(caller->random));
	outcome = soak_query(&caller->session, id, text);
	if (outcome == SOAK_OK)
		caller->answered++;
	else if (outcome == SOAK_REFUSED)
		refused(caller);
	else if (outcome == SOAK_UNKNOWN)
		caller->unknown++;
	else if (outcome == SOAK_ENDED)
		caller->ended++;
	if (outcome != SOAK_LOST)
		return outcome;
	caller->unanswered++;
	ran = ends_write && write_took_effect(caller);
	caller->cut_off += ran;
	printf("unanswered id=%s address=%s sent_ms=%llu ended_ms=%llu %s: %s\n", id,
	       caller->run->ips[address], (unsigned long long)(sent_ms - caller->run->start_ms),
	       (unsigned long long)(soak_now_ms() - caller->run->start_ms),
	       ran ? "ran" : "not seen to run", text);
	fflush(stdout);
	return outcome;
}

static void write_transaction(struct caller *caller, const char *text)
{
	if (run_statement(caller, "BEGIN", false) != SOAK_OK)
		return;
	if (run_statement(caller, text, false) == SOAK_OK)
		run_statement(caller, "COMMIT", true);
	else
		soak_disconnect(&caller->session);
}

static void run_operation(struct caller *caller)
{
	long choice = nrand48(caller->random) % 10;
	char text[128];

	snprintf(text, sizeof(text), "WRITE s%u s%u-%u", caller->number, caller->number,
		 ++caller->value);
	if (choice < WRITES_IN_TEN)
		run_statement(caller, text, true);
	else if (choice < WRITES_IN_TEN + TRANSACTIONS_IN_TEN)
		write_transaction(caller, text);
	else
		run_statement(caller, "READ other", false);
}

static void *run_caller(void *data)
{
	struct caller *caller = data;
	const struct run *run = caller->run;

	while (soak_now_ms() < run->end_ms) {
		if (caller->session.fd < 0 && !connect_any(caller)) {
			usleep(RECONNECT_US);
			continue;
		}
		run_operation(caller);
		if (run->pause_us)
			usleep((useconds_t)(nrand48(caller->random) % (2 * run->pause_us)));
	}
	soak_disconnect(&caller->session);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct caller callers[CALLERS_MAX];
	static pthread_t threads[CALLERS_MAX];
	struct run run = {0};
	struct caller sum = {0};
	uint32_t count;
	uint32_t i;

	if (argc < 7) {
		fprintf(stderr, "usage: stop-client SEED CALLERS SECONDS PAUSE_MS PORT IP...\n");
		return 2;
	}
	count = (uint32_t)strtoul(argv[2], NULL, 10);
	count = count < CALLERS_MAX ? count : CALLERS_MAX;
	run.start_ms = soak_now_ms();
	run.end_ms = run.start_ms + 1000 * strtoul(argv[3], NULL, 10);
	run.pause_us = (uint32_t)strtoul(argv[4], NULL, 10) * US_PER_MS;
	run.port = (uint16_t)strtoul(argv[5], NULL, 10);
	run.ips = argv + 6;
	run.ip_count = (uint32_t)(argc - 6);
	for (i = 0; i < count; i++) {
		callers[i].run = &run;
		callers[i].number = i + 1;
		callers[i].random[0] = (unsigned short)strtoul(argv[1], NULL, 10);
		callers[i].random[1] = (unsigned short)i;
		callers[i].address = i % run.ip_count;
		callers[i].session.fd = -1;
		if (pthread_create(&threads[i], NULL, run_caller, &callers[i]) != 0)
			return 2;
	}
	for (i = 0; i < count; i++) {
		pthread_join(threads[i], NULL);
		sum.answered += callers[i].answered;
		sum.refused += callers[i].refused;
		sum.unknown += callers[i].unknown;
		sum.unanswered += callers[i].unanswered;
		sum.cut_off += callers[i].cut_off;
		sum.ended += callers[i].ended;
	}
	printf("answered=%u refused=%u unknown=%u ended=%u unanswered=%u cut_off=%u\n",
	       sum.answered, sum.refused, sum.unknown, sum.ended, sum.unanswered, sum.cut_off);
	return sum.cut_off ? 1 : 0;
}
