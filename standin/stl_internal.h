#ifndef STL_INTERNAL_H
#define STL_INTERNAL_H

/* Shared by stl_link.c, stl_pair.c and stl_rule.c. */

#include "standin/stl_link.h"

#include <netinet/in.h>

struct stl_pair;

struct stl_rule {
	struct stl_rule *next;
	char from[BC_ADDRESS_BYTES];
	char to[BC_ADDRESS_BYTES];
	uint64_t delay_us;
	bool cut;
	uint64_t accepted;
	uint64_t bytes[STL_DIRECTIONS];
};

struct stl_link {
	struct stl_relay *relay;
	struct stl_link *next;
	char name[BC_ID_BYTES];
	struct sockaddr_in target;
	char target_text[BC_ADDRESS_BYTES];
	int listen_fd;
	uint64_t delay_us;
	uint64_t rate_kbit;
	uint64_t next_send_us[STL_DIRECTIONS]; /* when the rate allows the next byte */
	uint64_t bytes[STL_DIRECTIONS];
	uint64_t accepted;
	uint64_t connect_failures;
	uint32_t open_pairs;
	bool cut[STL_DIRECTIONS];
	struct stl_pair *pairs;
};

struct stl_relay {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct stl_link *links;
	struct stl_rule *rules;
};

struct stl_rule *stl_rule_match(const struct stl_link *link, const struct sockaddr_in *source);
json_t *stl_rules_json(const struct stl_relay *relay);

/* Relays an accepted connection; takes ownership of the descriptor. */
void stl_pair_create(struct stl_link *link, int client_fd, const struct sockaddr_in *source);
/* Must be called after a change of the link or of the rules. May free the pair. */
void stl_pair_update(struct stl_pair *pair);
struct stl_pair *stl_pair_next(const struct stl_pair *pair);
/* Passes no more bytes and does not report its end; takes effect with stl_pair_update(). */
void stl_pair_silence(struct stl_pair *pair);

#endif
