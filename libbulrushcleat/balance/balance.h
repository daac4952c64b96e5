#ifndef BC_BALANCE_H
#define BC_BALANCE_H

/*
 * Decides which of the endpoints that may serve a read gets it, from what a proxy knows of their
 * load and from how old that is. Has no state, clock or random source of its own.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BAL_CANDIDATES_MAX 16U

/* An endpoint that may serve the read. */
struct bal_candidate {
	uint64_t distance_us; /* round-trip time, plus penalties */
	bool has_latency;
	uint64_t latency_us; /* moving average */
	uint64_t latency_age_us;
	uint32_t slots;	    /* 0: unknown */
	uint32_t in_flight; /* statements of this proxy */
	bool has_report;
	uint32_t reported; /* statements running and waiting there, by another proxy's count */
	uint64_t report_age_us;
	uint64_t in_use_us; /* since it was listed or recovered */
};

enum bal_reason {
	BAL_NEAR,   /* the only nearest endpoint, and not much slower than the others */
	BAL_RANDOM, /* one of several nearest endpoints */
	BAL_SPREAD, /* the nearest ones are loaded, or have just started */
	BAL_REASONS,
};

struct bal_choice {
	uint32_t index;
	enum bal_reason reason;
};

/* Range of the random argument of bal_choose(). */
#define BAL_RANDOM_BOUND (1ULL << 32)

struct bal_choice bal_choose(const struct bal_candidate *candidates, uint32_t count,
			     uint64_t random);
const char *bal_reason_name(enum bal_reason reason);

#ifdef __cplusplus
}
#endif

#endif
