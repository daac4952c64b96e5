#include "soak/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/*
 * A client of the soak test. It is the only writer of its item, so it knows which values the item
 * may have: the last acknowledged one, or one whose write ended with an unknown outcome. Prints a
 * line that begins with BROKEN for each violated guarantee, and its counts at the end.
 *
 * soak-client SEED CLIENT SECONDS PORT IP...
 */

#define VALUES_MAX 65536U
#define OPERATIONS_MAX 40U
/* Keeps a proxy's queues short with six clients: the soak tests consistency, not load. */
#define PAUSE_US 5000U
#define RECONNECT_US 50000U

enum write_outcome { WRITE_NONE, WRITE_REFUSED, WRITE_UNKNOWN, WRITE_ACKNOWLEDGED };

struct client {
	uint32_t number;
	uint32_t value;			    /* of the latest write */
	uint32_t acknowledged;		    /* value of the latest acknowledged write */
	uint8_t write_outcomes[VALUES_MAX]; /* by value */
	struct soak_session session;
	uint32_t ok;
	uint32_t refused;
	uint32_t unknown;
	uint32_t broken;
	uint64_t last_success_ms; /* time of the latest successful query */
};

static void report_violation(struct client *client, const char *what, const char *detail)
{
	client->broken++;
	printf("BROKEN %s client=%u value=%u acknowledged=%u: %s\n", what, client->number,
	       client->value, client->acknowledged, detail);
	fflush(stdout);
}

static void record_success(struct client *client)
{
	client->ok++;
	client->last_success_ms = soak_now_ms();
}

/* Runs a query under an id of its own. */
static enum soak_outcome query(struct client *client, const char *text)
{
	char id[64];

	snprintf(id, sizeof(id), "%u-%ld", client->number, lrand48());
	return soak_query(&client->session, id, text);
}

static void record_write(struct client *client, enum soak_outcome outcome)
{
	switch (outcome) {
	case SOAK_OK:
		client->write_outcomes[client->value] = WRITE_ACKNOWLEDGED;
		client->acknowledged = client->value;
		record_success(client);
		return;
	case SOAK_REFUSED:
	case SOAK_ENDED:
		client->write_outcomes[client->value] = WRITE_REFUSED;
		client->refused++;
		return;
	default:
		client->write_outcomes[client->value] = WRITE_UNKNOWN;
		client->unknown++;
		return;
	}
}

static void next_write(struct client *client, char text[128])
{
	client->value++;
	snprintf(text, 128, "WRITE c%u c%u-%u", client->number, client->number, client->value);
}

static void write_single(struct client *client)
{
	char text[128];

	next_write(client, text);
	record_write(client, query(client, text));
}

/* Writes in a transaction. One in eight is abandoned before COMMIT and must have no effect. */
static void write_transaction(struct client *client)
{
	enum soak_outcome outcome;
	char text[128];

	if (query(client, "BEGIN") != SOAK_OK)
		return;
	next_write(client, text);
	outcome = query(client, text);
	if (outcome != SOAK_OK || lrand48() % 8 == 0) {
		/* Without a COMMIT the write must have no effect, whatever its outcome was. */
		record_write(client, SOAK_REFUSED);
		soak_disconnect(&client->session);
		return;
	}
	outcome = query(client, "COMMIT");
	record_write(client, outcome);
	if (outcome != SOAK_OK)
		soak_disconnect(&client->session);
}

/* The value read must be the latest acknowledged one or one whose outcome is unknown. */
static void read_back(struct client *client)
{
	unsigned int number;
	unsigned int value;
	char text[64];

	snprintf(text, sizeof(text), "READ c%u", client->number);
	if (query(client, text) != SOAK_OK)
		return;
	if (!client->session.row[0]) {
		if (client->acknowledged)
			report_violation(client, "LOST", "no row was returned");
		return;
	}
	if (sscanf(client->session.row, "c%u-%u", &number, &value) != 2 || number != client->number)
		report_violation(client, "MIXED", client->session.row);
	else if (value >= VALUES_MAX || client->write_outcomes[value] == WRITE_REFUSED)
		report_violation(client, "REFUSED", client->session.row);
	else if (value != client->acknowledged && client->write_outcomes[value] != WRITE_UNKNOWN)
		report_violation(client, "STALE", client->session.row);
	record_success(client);
}

static void run_operation(struct client *client)
{
	long choice = lrand48() % 10;

	if (client->value + 1 >= VALUES_MAX)
		return;
	if (choice < 4)
		write_single(client);
	else if (choice < 6)
		write_transaction(client);
	else
		read_back(client);
	usleep(PAUSE_US + (useconds_t)(lrand48() % PAUSE_US));
}

int main(int argc, char **argv)
{
	struct client *client;
	uint32_t broken;
	time_t end;

	if (argc < 6) {
		fprintf(stderr, "usage: soak-client SEED CLIENT SECONDS PORT IP...\n");
		return 2;
	}
	client = calloc(1, sizeof(*client));
	if (!client)
		return 2;
	client->number = (uint32_t)strtoul(argv[2], NULL, 10);
	client->session.fd = -1;
	srand48(strtol(argv[1], NULL, 10) * 1000 + client->number);
	end = time(NULL) + strtol(argv[3], NULL, 10);
	while (time(NULL) < end) {
		uint32_t operations_left = (uint32_t)(lrand48() % OPERATIONS_MAX) + 1;

		if (!soak_connect(&client->session, argv[5 + lrand48() % (argc - 5)],
				  (uint16_t)strtoul(argv[4], NULL, 10),
				  lrand48() % 2 ? "orders" : "labels")) {
			usleep(RECONNECT_US);
			continue;
		}
		while (client->session.fd >= 0 && operations_left-- && time(NULL) < end)
			run_operation(client);
		soak_disconnect(&client->session);
	}
	printf("client=%u ok=%u refused=%u unknown=%u broken=%u served_ms_ago=%llu\n",
	       client->number, client->ok, client->refused, client->unknown, client->broken,
	       (unsigned long long)(soak_now_ms() - client->last_success_ms));
	broken = client->broken;
	free(client);
	return broken ? 1 : 0;
}
