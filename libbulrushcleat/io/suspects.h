#ifndef BC_IO_SUSPECTS_H
#define BC_IO_SUSPECTS_H

/*
 * Which open connections a new call may use after a call to the same server had no answer in time:
 * connections can fall silent together without a reset, and each would cost another call its
 * timeout. Decides only; needs no sockets.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Room for "HOST:PORT". */
#define SUS_SERVER_BYTES 64

struct sus_state;

/* The connections that a call may use. */
struct sus_choice {
	bool fresh_only;	 /* a new connection only */
	uint32_t max_lifetime_s; /* none that was opened more whole seconds ago; 0: any */
};

struct sus_state *sus_create(void);
void sus_destroy(struct sus_state *state);
/* Records that the server did not answer a call in time. */
void sus_call_lost(struct sus_state *state, const char *server, uint64_t now_us);
struct sus_choice sus_choose(const struct sus_state *state, const char *server, uint64_t now_us);
/* Whether a connection that was opened age_us ago may be used. */
bool sus_may_use(const struct sus_choice *choice, uint64_t age_us);

#ifdef __cplusplus
}
#endif

#endif
