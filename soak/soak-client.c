#include "platform/plt_line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
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
#define LINE_BYTES 4096
#define ANSWER_TIMEOUT_S 8
#define OPERATIONS_MAX 40U
/* Keeps a proxy's queues short with six clients: the soak tests consistency, not load. */
#define PAUSE_US 5000U
#define RECONNECT_US 50000U

enum write_outcome { WRITE_NONE, WRITE_REFUSED, WRITE_UNKNOWN, WRITE_ACKNOWLEDGED };

enum outcome { OUTCOME_OK, OUTCOME_REFUSED, OUTCOME_UNKNOWN, OUTCOME_LOST };

struct client {
	uint32_t number;
	uint32_t value;			    /* of the latest write */
	uint32_t acknowledged;		    /* value of the latest acknowledged write */
	uint8_t write_outcomes[VALUES_MAX]; /* by value */
	int fd;
	char input[LINE_BYTES];
	size_t input_bytes;
	char row[LINE_BYTES];
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

static uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void record_success(struct client *client)
{
	client->ok++;
	client->last_success_ms = now_ms();
}

static void disconnect(struct client *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
	client->input_bytes = 0;
}

/* Reads a line without its line ending; false on end of stream, error or timeout. */
static bool read_line(struct client *client, char line[LINE_BYTES])
{
	for (;;) {
		bool too_long;
		size_t used = plt_line_length(client->input, client->input_bytes, &too_long);
		ssize_t got;

		if (used) {
			memcpy(line, client->input, used - PLT_LINE_END_BYTES);
			line[used - PLT_LINE_END_BYTES] = '\0';
			client->input_bytes -= used;
			memmove(client->input, client->input + used, client->input_bytes);
			return true;
		}
		if (client->input_bytes == LINE_BYTES)
			return false;
		got = recv(client->fd, client->input + client->input_bytes,
			   LINE_BYTES - client->input_bytes, 0);
		if (got <= 0)
			return false;
		client->input_bytes += (size_t)got;
	}
}

/* Error codes that guarantee that the statement had no effect. */
static const bool no_effect_codes[SQL_CODES] = {
	[SQL_BUSY] = true,	[SQL_ABORTED] = true,	     [SQL_BEHIND] = true,
	[SQL_READ_ONLY] = true, [SQL_WRONG_ENDPOINT] = true, [SQL_TOO_MANY_CONNECTIONS] = true,
};

/* Sends the buffer's contents and frees them; false if not all bytes were sent. */
static bool send_all(struct client *client, struct plt_buffer *out)
{
	ssize_t sent = send(client->fd, out->bytes, out->length, MSG_NOSIGNAL);
	bool complete = sent >= 0 && (size_t)sent == out->length;

	free(out->bytes);
	return complete;
}

/* Sends a query and reads its response up to READY; keeps the last row. */
static enum outcome query(struct client *client, const char *text)
{
	enum outcome outcome = OUTCOME_LOST;
	struct plt_message message;
	struct plt_buffer out = {0};
	char line[LINE_BYTES];
	char id[64];
	struct sql_statement statement = {.verb = SQL_READ, .id = id, .text = text};

	client->row[0] = '\0';
	snprintf(id, sizeof(id), "%u-%ld", client->number, lrand48());
	plt_write_statement(&out, &statement);
	if (!send_all(client, &out)) {
		disconnect(client);
		return OUTCOME_LOST;
	}
	while (read_line(client, line)) {
		plt_line_parse(line, &message);
		if (message.kind == PLT_READY && outcome != OUTCOME_LOST)
			return outcome;
		if (message.kind == PLT_ROW)
			snprintf(client->row, sizeof(client->row), "%s", message.argument);
		else if (message.kind == PLT_COMPLETE)
			outcome = OUTCOME_OK;
		else if (message.kind == PLT_ERROR)
			outcome = no_effect_codes[message.code] ? OUTCOME_REFUSED : OUTCOME_UNKNOWN;
		else
			break;
	}
	disconnect(client);
	return OUTCOME_LOST;
}

/* Opens a session at an address; false if it is refused or not answered in time. */
static bool connect_session(struct client *client, const char *ip, uint16_t port,
			    const char *database)
{
	struct timeval timeout = {ANSWER_TIMEOUT_S, 0};
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	struct plt_message message = {0};
	struct plt_buffer out = {0};
	char line[LINE_BYTES];

	plt_write_startup(&out, database, "soak", NULL);
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(client->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (connect(client->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		free(out.bytes);
		disconnect(client);
		return false;
	}
	if (send_all(client, &out) && read_line(client, line))
		plt_line_parse(line, &message);
	else
		message.kind = PLT_UNKNOWN;
	if (message.kind == PLT_READY)
		return true;
	disconnect(client);
	return false;
}

static void record_write(struct client *client, enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_OK:
		client->write_outcomes[client->value] = WRITE_ACKNOWLEDGED;
		client->acknowledged = client->value;
		record_success(client);
		return;
	case OUTCOME_REFUSED:
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
	enum outcome outcome;
	char text[128];

	if (query(client, "BEGIN") != OUTCOME_OK)
		return;
	next_write(client, text);
	outcome = query(client, text);
	if (outcome != OUTCOME_OK || lrand48() % 8 == 0) {
		/* Without a COMMIT the write must have no effect, whatever its outcome was. */
		record_write(client, OUTCOME_REFUSED);
		disconnect(client);
		return;
	}
	outcome = query(client, "COMMIT");
	record_write(client, outcome);
	if (outcome != OUTCOME_OK)
		disconnect(client);
}

/* The value read must be the latest acknowledged one or one whose outcome is unknown. */
static void read_back(struct client *client)
{
	unsigned int number;
	unsigned int value;
	char text[64];

	snprintf(text, sizeof(text), "READ c%u", client->number);
	if (query(client, text) != OUTCOME_OK)
		return;
	if (!client->row[0]) {
		if (client->acknowledged)
			report_violation(client, "LOST", "no row was returned");
		return;
	}
	if (sscanf(client->row, "c%u-%u", &number, &value) != 2 || number != client->number)
		report_violation(client, "MIXED", client->row);
	else if (value >= VALUES_MAX || client->write_outcomes[value] == WRITE_REFUSED)
		report_violation(client, "REFUSED", client->row);
	else if (value != client->acknowledged && client->write_outcomes[value] != WRITE_UNKNOWN)
		report_violation(client, "STALE", client->row);
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
	client->fd = -1;
	srand48(strtol(argv[1], NULL, 10) * 1000 + client->number);
	end = time(NULL) + strtol(argv[3], NULL, 10);
	while (time(NULL) < end) {
		uint32_t operations_left = (uint32_t)(lrand48() % OPERATIONS_MAX) + 1;

		if (!connect_session(client, argv[5 + lrand48() % (argc - 5)],
				     (uint16_t)strtoul(argv[4], NULL, 10),
				     lrand48() % 2 ? "orders" : "labels")) {
			usleep(RECONNECT_US);
			continue;
		}
		while (client->fd >= 0 && operations_left-- && time(NULL) < end)
			run_operation(client);
		disconnect(client);
	}
	printf("client=%u ok=%u refused=%u unknown=%u broken=%u served_ms_ago=%llu\n",
	       client->number, client->ok, client->refused, client->unknown, client->broken,
	       (unsigned long long)(now_ms() - client->last_success_ms));
	broken = client->broken;
	free(client);
	return broken ? 1 : 0;
}
