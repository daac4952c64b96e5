#ifndef STL_INTERNAL_H
#define STL_INTERNAL_H

/* Shared by stl_link.c and stl_pair.c. */

#include "standin/stl_link.h"

#include <netinet/in.h>

enum stl_direction { STL_UP, STL_DOWN, STL_DIRECTIONS };

struct stl_pair;

struct stl_link {
	struct stl_relay *relay;
	struct stl_link *next;
	char name[BC_ID_BYTES];
	struct sockaddr_in target;
	int listen_fd;
	uint64_t delay_us;
	uint64_t rate_kbit;
	uint64_t free_us[STL_DIRECTIONS]; /* when the rate lets the next byte go */
	uint64_t bytes[STL_DIRECTIONS];
	uint64_t accepted;
	uint64_t failed;
	uint32_t open;
	bool cut;
	struct stl_pair *pairs;
};

struct stl_relay {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct stl_link *links;
};

/* Relays an accepted connection; takes over the descriptor. */
void stl_pair_create(struct stl_link *link, int client_fd);
/* To be called after a cut or heal of the link. */
void stl_pair_update(struct stl_pair *pair);
struct stl_pair *stl_pair_next(const struct stl_pair *pair);

#endif
