#ifndef BC_SOAK_SESSION_H
#define BC_SOAK_SESSION_H

/* A caller's session of the platform's line protocol, with blocking calls, for clients of tests. */

#include "sql/sql.h"

#define SOAK_LINE_BYTES 4096

enum soak_outcome {
	SOAK_OK,
	SOAK_REFUSED, /* an error that promises that nothing was done */
	SOAK_UNKNOWN, /* another error */
	SOAK_LOST,    /* the connection ended, or was silent, without a whole answer */
	SOAK_ENDED,   /* not sent: the proxy had ended the session before */
};

struct soak_session {
	int fd; /* -1: not connected */
	char input[SOAK_LINE_BYTES];
	size_t input_bytes;
	char row[SOAK_LINE_BYTES]; /* the last row of the latest answer */
};

bool soak_connect(struct soak_session *session, const char *ip, uint16_t port,
		  const char *database);
void soak_disconnect(struct soak_session *session);
enum soak_outcome soak_query(struct soak_session *session, const char *id, const char *text);
uint64_t soak_now_ms(void);

#endif
