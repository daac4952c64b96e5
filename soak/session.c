#include "soak/session.h"

#include "platform/plt_line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_S 8

/* Time since boot in milliseconds. */
uint64_t soak_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Ends the session; an open transaction is rolled back. */
void soak_disconnect(struct soak_session *session)
{
	if (session->fd >= 0)
		close(session->fd);
	session->fd = -1;
	session->input_bytes = 0;
}

/* Reads a line without its line ending; false on end of stream, error or timeout. */
static bool read_line(struct soak_session *session, char line[SOAK_LINE_BYTES])
{
	for (;;) {
		bool too_long;
		size_t used = plt_line_length(session->input, session->input_bytes, &too_long);
		ssize_t got;

		if (used) {
			memcpy(line, session->input, used - PLT_LINE_END_BYTES);
			line[used - PLT_LINE_END_BYTES] = '\0';
			session->input_bytes -= used;
			memmove(session->input, session->input + used, session->input_bytes);
			return true;
		}
		if (session->input_bytes == SOAK_LINE_BYTES)
			return false;
		got = recv(session->fd, session->input + session->input_bytes,
			   SOAK_LINE_BYTES - session->input_bytes, 0);
		if (got <= 0)
			return false;
		session->input_bytes += (size_t)got;
	}
}

/* Error codes that guarantee that the statement had no effect. */
static const bool no_effect_codes[SQL_CODES] = {
	[SQL_BUSY] = true,	[SQL_ABORTED] = true,	     [SQL_BEHIND] = true,
	[SQL_READ_ONLY] = true, [SQL_WRONG_ENDPOINT] = true, [SQL_TOO_MANY_CONNECTIONS] = true,
};

/* Sends the buffer's contents and frees them; false if not all bytes were sent. */
static bool send_all(struct soak_session *session, struct plt_buffer *out)
{
	ssize_t sent = send(session->fd, out->bytes, out->length, MSG_NOSIGNAL);
	bool complete = sent >= 0 && (size_t)sent == out->length;

	free(out->bytes);
	return complete;
}

/*
 * Whether the proxy has closed the idle session, or has sent a message that is no answer, after
 * which a caller closes it.
 */
static bool is_ended_by_proxy(const struct soak_session *session)
{
	char byte;

	return session->input_bytes > 0 ||
	       recv(session->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
}

/*
 * Sends a query and reads its response up to READY; keeps the last row. SOAK_ENDED without sending
 * it if the proxy has ended the session.
 */
enum soak_outcome soak_query(struct soak_session *session, const char *id, const char *text)
{
	enum soak_outcome outcome = SOAK_LOST;
	struct plt_message message;
	struct plt_buffer out = {0};
	char line[SOAK_LINE_BYTES];
	struct sql_statement statement = {.verb = SQL_READ, .id = id, .text = text};

	if (is_ended_by_proxy(session)) {
		soak_disconnect(session);
		return SOAK_ENDED;
	}
	session->row[0] = '\0';
	plt_write_statement(&out, &statement);
	if (!send_all(session, &out)) {
		soak_disconnect(session);
		return SOAK_LOST;
	}
	while (read_line(session, line)) {
		plt_line_parse(line, &message);
		if (message.kind == PLT_READY && outcome != SOAK_LOST)
			return outcome;
		if (message.kind == PLT_ROW)
			snprintf(session->row, sizeof(session->row), "%s", message.argument);
		else if (message.kind == PLT_COMPLETE)
			outcome = SOAK_OK;
		else if (message.kind == PLT_ERROR)
			outcome = no_effect_codes[message.code] ? SOAK_REFUSED : SOAK_UNKNOWN;
		else
			break;
	}
	soak_disconnect(session);
	return SOAK_LOST;
}

/* Opens a session at an address; false if it is refused or not answered in time. */
bool soak_connect(struct soak_session *session, const char *ip, uint16_t port, const char *database)
{
	struct timeval timeout = {ANSWER_TIMEOUT_S, 0};
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	struct plt_message message = {0};
	struct plt_buffer out = {0};
	char line[SOAK_LINE_BYTES];

	plt_write_startup(&out, database, "soak", NULL);
	session->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(session->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (connect(session->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		free(out.bytes);
		soak_disconnect(session);
		return false;
	}
	if (send_all(session, &out) && read_line(session, line))
		plt_line_parse(line, &message);
	else
		message.kind = PLT_UNKNOWN;
	if (message.kind == PLT_READY)
		return true;
	soak_disconnect(session);
	return false;
}
