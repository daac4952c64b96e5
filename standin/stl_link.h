#ifndef STL_LINK_H
#define STL_LINK_H

/* Links of a relay: forwarded TCP ports with a delay, a rate limit and cuts in each direction. */

#include "io/io.h"

struct stl_relay;

/* From the listening side to the target, and back. */
enum stl_direction { STL_UP, STL_DOWN, STL_DIRECTIONS };

struct stl_link_settings {
	const char *name;
	const char *listen; /* IP:PORT */
	const char *target; /* IP:PORT */
	uint64_t delay_ms;  /* one way */
	uint64_t rate_kbit; /* each way, over all connections; 0: no limit */
};

/*
 * A rule applies to connections whose source address begins with `from` and whose link has the name
 * `to` or a target that begins with it. The first matching rule's delay replaces the link's, and
 * its cut is added to those of the link.
 */
struct stl_rule_settings {
	const char *from;
	const char *to;
	const uint64_t *delay_us; /* one way; NULL: unchanged, 0 for a new rule */
	const bool *cut;	  /* NULL: unchanged, false for a new rule */
};

struct stl_relay *stl_relay_create(struct bc_ctx *ctx, struct io_loop *loop);
void stl_relay_destroy(struct stl_relay *relay);
enum bc_status stl_link_add(struct stl_relay *relay, const struct stl_link_settings *settings);
bool stl_link_exists(const struct stl_relay *relay, const char *name);
void stl_link_cut_set(struct stl_relay *relay, const char *name, enum stl_direction direction,
		      bool cut);
void stl_link_silence(struct stl_relay *relay, const char *name);
void stl_link_delay_set(struct stl_relay *relay, const char *name, uint64_t delay_ms);
void stl_link_rate_set(struct stl_relay *relay, const char *name, uint64_t rate_kbit);
enum bc_status stl_rule_set(struct stl_relay *relay, const struct stl_rule_settings *settings);
void stl_relay_update(struct stl_relay *relay);
json_t *stl_relay_counters(const struct stl_relay *relay);

#endif
