#include "budget/budget.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Leaves half of the memory to the process itself, the system and transient copies. */
#define DEFAULT_SHARE_PERCENT 50U
#define RESERVE_PERCENT 25U
/* Several times a statement of 1,200 bytes and an answer of 3,000, with their copies. */
#define SMALL_BYTES ((uint64_t)32 * 1024)
/* Of what large holders may use; above this they are not read. */
#define STOP_PERCENT 75U
/* A stopped holder is closed only after this time, in which others may finish. */
#define STOPPED_US BC_US_PER_S
/* Between two closes, so that the first one can take effect. */
#define CLOSE_INTERVAL_US (50 * BC_US_PER_MS)
/* STARTUP follows the connect within a round trip, also to another region. */
#define REPLACE_MIN_US (100 * BC_US_PER_MS)
/* How often transfers and connections that are not started are checked. */
#define CHECK_INTERVAL_US (100 * BC_US_PER_MS)

struct transfer {
	bool active;
	uint64_t begun_us;
	uint64_t since_us;
	uint64_t start_bytes; /* moved before since_us, which starts the period */
	uint64_t moved_bytes;
};

struct bud_holder {
	struct bud_budget *budget;
	void *data;
	bool is_caller;
	bool spoke;
	bool starting;
	bool large;
	bool stopped;
	bool active; /* in the list of active holders */
	uint64_t created_us;
	uint64_t large_us; /* when it was first seen as large; 0: not yet */
	uint64_t bytes[BUD_USES];
	uint64_t held_bytes; /* sum of all uses */
	struct transfer transfers[BUD_TRANSFERS];
	TAILQ_ENTRY(bud_holder) starting_entry;
	TAILQ_ENTRY(bud_holder) large_entry;
	TAILQ_ENTRY(bud_holder) active_entry;
	TAILQ_ENTRY(bud_holder) stopped_entry;
	uint64_t wanted_bytes; /* of the read for which the holder was stopped */
};

TAILQ_HEAD(holder_list, bud_holder);

struct bud_budget {
	struct bud_limits limits;
	uint64_t held_bytes;
	uint32_t connections;
	uint32_t starting_count;
	uint64_t closed_us;	     /* when a holder was last closed for the total */
	uint64_t checked_us;	     /* when transfers were last checked */
	struct holder_list starting; /* oldest first */
	struct holder_list large;    /* callers that are not small */
	struct holder_list active;   /* callers with a transfer */
	struct holder_list stopped;  /* callers that are not read */
};

/* The default budget on a machine with so many bytes of memory. */
uint64_t bud_default_bytes(uint64_t memory_bytes)
{
	return memory_bytes / 100 * DEFAULT_SHARE_PERCENT;
}

/* Sets the limits that follow from the total. */
void bud_limits_default(uint64_t total_bytes, struct bud_limits *limits)
{
	memset(limits, 0, sizeof(*limits));
	limits->total_bytes = total_bytes;
	limits->reserve_bytes = total_bytes / 100 * RESERVE_PERCENT;
	limits->small_bytes = SMALL_BYTES;
}

/* Creates a budget; NULL when out of memory. */
struct bud_budget *bud_create(const struct bud_limits *limits)
{
	struct bud_budget *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return NULL;
	budget->limits = *limits;
	TAILQ_INIT(&budget->starting);
	TAILQ_INIT(&budget->large);
	TAILQ_INIT(&budget->active);
	TAILQ_INIT(&budget->stopped);
	return budget;
}

/* Frees the budget, whose holders were removed. NULL is allowed. */
void bud_destroy(struct bud_budget *budget)
{
	free(budget);
}

/* What large holders may use, together with all others. */
static uint64_t large_limit(const struct bud_budget *budget)
{
	return budget->limits.total_bytes - budget->limits.reserve_bytes;
}

static uint64_t stop_limit(const struct bud_budget *budget)
{
	return large_limit(budget) / 100 * STOP_PERCENT;
}

static bool is_large(const struct bud_holder *holder, uint64_t more_bytes)
{
	return holder->held_bytes - holder->bytes[BUD_OVERHEAD] + more_bytes >
	       holder->budget->limits.small_bytes;
}

/*
 * Decides on a further connection. At the limits, the oldest one that has sent nothing gives way to
 * it, unless its first message may still be under way.
 */
enum bud_verdict bud_accept(struct bud_budget *budget, uint64_t overhead_bytes, uint64_t now_us,
			    struct bud_holder **replaced, const char **reason)
{
	const struct bud_limits *limits = &budget->limits;
	const struct bud_holder *stopped = TAILQ_FIRST(&budget->stopped);
	/* New connections do not take the room that those wait for that are not read. */
	uint64_t stopped_bytes = stopped ? stopped->wanted_bytes : 0;
	struct bud_holder *holder;

	*reason = "memory";
	if (budget->held_bytes + overhead_bytes + stopped_bytes > limits->total_bytes)
		return BUD_REFUSED;
	*reason = "connections";
	if (budget->connections < limits->connections_max &&
	    budget->starting_count < limits->startup_max)
		return BUD_ACCEPTED;
	TAILQ_FOREACH(holder, &budget->starting, starting_entry)
	{
		if (now_us - holder->created_us < REPLACE_MIN_US)
			break;
		if (holder->spoke)
			continue;
		*replaced = holder;
		return BUD_REPLACE;
	}
	return budget->connections < limits->connections_max ? BUD_LATER : BUD_REFUSED;
}

/* Adds a holder; a caller's connection is not started yet. NULL when out of memory. */
struct bud_holder *bud_add(struct bud_budget *budget, bool is_caller, uint64_t overhead_bytes,
			   void *data, uint64_t now_us)
{
	struct bud_holder *holder = calloc(1, sizeof(*holder));

	if (!holder)
		return NULL;
	holder->budget = budget;
	holder->data = data;
	holder->is_caller = is_caller;
	holder->created_us = now_us;
	if (is_caller) {
		budget->connections++;
		budget->starting_count++;
		holder->starting = true;
		TAILQ_INSERT_TAIL(&budget->starting, holder, starting_entry);
	}
	bud_set(holder, BUD_OVERHEAD, overhead_bytes);
	return holder;
}

static void resume(struct bud_holder *holder)
{
	if (!holder->stopped)
		return;
	holder->stopped = false;
	TAILQ_REMOVE(&holder->budget->stopped, holder, stopped_entry);
}

/* Removes and frees a holder. NULL is allowed. */
void bud_remove(struct bud_holder *holder)
{
	struct bud_budget *budget;
	int use;

	if (!holder)
		return;
	budget = holder->budget;
	for (use = 0; use < BUD_USES; use++)
		bud_set(holder, (enum bud_use)use, 0);
	bud_started(holder);
	resume(holder);
	if (holder->active)
		TAILQ_REMOVE(&budget->active, holder, active_entry);
	if (holder->is_caller)
		budget->connections--;
	free(holder);
}

void *bud_data(const struct bud_holder *holder)
{
	return holder->data;
}

/* Sets the bytes that the holder has for one use. */
void bud_set(struct bud_holder *holder, enum bud_use use, uint64_t bytes)
{
	struct bud_budget *budget = holder->budget;
	bool large;

	budget->held_bytes += bytes - holder->bytes[use];
	holder->held_bytes += bytes - holder->bytes[use];
	holder->bytes[use] = bytes;
	large = holder->is_caller && is_large(holder, 0);
	if (large == holder->large)
		return;
	holder->large = large;
	holder->large_us = 0;
	if (large)
		TAILQ_INSERT_TAIL(&budget->large, holder, large_entry);
	else
		TAILQ_REMOVE(&budget->large, holder, large_entry);
}

uint64_t bud_bytes(const struct bud_holder *holder, enum bud_use use)
{
	return holder->bytes[use];
}

/* Whether the holder may hold so many bytes more. Small holders may use the reserve. */
bool bud_admits(const struct bud_holder *holder, uint64_t bytes)
{
	const struct bud_budget *budget = holder->budget;
	uint64_t limit = is_large(holder, bytes) ? large_limit(budget) : budget->limits.total_bytes;

	return budget->held_bytes + bytes <= limit;
}

/* Whether a read of so many bytes is within the limits for the holder as it is. */
static bool admits_read(const struct bud_holder *holder, uint64_t bytes)
{
	const struct bud_budget *budget = holder->budget;
	uint64_t limit = is_large(holder, 0) ? stop_limit(budget) : budget->limits.total_bytes;

	return budget->held_bytes + bytes <= limit;
}

/* Whether so many bytes may be read; large holders are stopped before the budget is used up. */
bool bud_may_read(struct bud_holder *holder, uint64_t bytes)
{
	if (!holder->is_caller)
		return true;
	if (holder->stopped)
		return false;
	if (admits_read(holder, bytes))
		return true;
	holder->stopped = true;
	holder->wanted_bytes = bytes;
	TAILQ_INSERT_TAIL(&holder->budget->stopped, holder, stopped_entry);
	return false;
}

/* The caller has sent something. */
void bud_spoke(struct bud_holder *holder)
{
	holder->spoke = true;
}

/* The caller's first message is whole. */
void bud_started(struct bud_holder *holder)
{
	if (!holder->starting)
		return;
	holder->starting = false;
	holder->budget->starting_count--;
	TAILQ_REMOVE(&holder->budget->starting, holder, starting_entry);
}

/* Reports the bytes that a transfer has moved since it began. */
void bud_transfer_moved(struct bud_holder *holder, enum bud_transfer transfer, uint64_t moved_bytes,
			uint64_t now_us)
{
	struct transfer *state = &holder->transfers[transfer];

	if (!state->active)
		*state = (struct transfer){.active = true, .begun_us = now_us, .since_us = now_us};
	state->moved_bytes = moved_bytes;
	if (holder->active || !holder->is_caller)
		return;
	holder->active = true;
	TAILQ_INSERT_TAIL(&holder->budget->active, holder, active_entry);
}

/* Reports the end of a transfer. */
void bud_transfer_end(struct bud_holder *holder, enum bud_transfer transfer)
{
	int other = BUD_TRANSFERS - 1 - transfer;

	holder->transfers[transfer].active = false;
	if (!holder->active || holder->transfers[other].active)
		return;
	holder->active = false;
	TAILQ_REMOVE(&holder->budget->active, holder, active_entry);
}

/* Starts a new period, in which the transfer has to move enough bytes again. */
static void restart_period(struct transfer *transfer, uint64_t now_us)
{
	transfer->since_us = now_us;
	transfer->start_bytes = transfer->moved_bytes;
}

/* Whether the transfer has been slower than the minimum rate in the period that ends now. */
static bool is_slow(const struct bud_limits *limits, struct transfer *transfer, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - transfer->since_us;

	if (!transfer->active || elapsed_us <= limits->transfer_us)
		return false;
	if ((transfer->moved_bytes - transfer->start_bytes) * BC_US_PER_S <
	    limits->transfer_bytes_per_s * elapsed_us)
		return true;
	restart_period(transfer, now_us);
	return false;
}

/* Finds a connection that is not started in time, or whose transfer is too slow. */
static struct bud_holder *find_slow(struct bud_budget *budget, uint64_t now_us, const char **reason)
{
	const struct bud_limits *limits = &budget->limits;
	struct bud_holder *holder = TAILQ_FIRST(&budget->starting);

	*reason = "no_startup";
	if (holder && now_us - holder->created_us >= limits->startup_us)
		return holder;
	TAILQ_FOREACH(holder, &budget->active, active_entry)
	{
		*reason = "slow_message";
		if (!holder->stopped && is_slow(limits, &holder->transfers[BUD_MESSAGE], now_us))
			return holder;
		*reason = "slow_reader";
		if (is_slow(limits, &holder->transfers[BUD_ANSWER], now_us))
			return holder;
	}
	return NULL;
}

/* For how long the holder has been seen as large. */
static uint64_t large_for_us(struct bud_holder *holder, uint64_t now_us)
{
	if (!holder->large_us)
		holder->large_us = now_us;
	return now_us - holder->large_us;
}

/*
 * Finds the largest and slowest holder: the one with the largest product of its bytes and the time
 * for which it has been large. It gets at least some time, unless the reserve is in use.
 */
static struct bud_holder *find_largest(struct bud_budget *budget, uint64_t now_us)
{
	bool over = budget->held_bytes > large_limit(budget);
	struct bud_holder *worst = NULL;
	struct bud_holder *holder = NULL;
	double worst_score = 0;

	if (!over && TAILQ_EMPTY(&budget->stopped))
		return NULL;
	TAILQ_FOREACH(holder, &budget->large, large_entry)
	{
		uint64_t age_us = large_for_us(holder, now_us);
		uint64_t bytes = holder->held_bytes - holder->bytes[BUD_OVERHEAD];
		double score = ((double)age_us + 1) * (double)bytes;

		if ((over || age_us >= STOPPED_US) && score > worst_score) {
			worst = holder;
			worst_score = score;
		}
	}
	return worst;
}

/* For how long the holder has had a transfer. */
static uint64_t active_for_us(const struct bud_holder *holder, uint64_t now_us)
{
	uint64_t begun_us = now_us;
	int i;

	for (i = 0; i < BUD_TRANSFERS; i++)
		if (holder->transfers[i].active && holder->transfers[i].begun_us < begun_us)
			begun_us = holder->transfers[i].begun_us;
	return now_us - begun_us;
}

/*
 * Finds the holder to close when small ones have used up the total, so that others are not read:
 * the one with the largest product of its bytes and the time of its transfer. Holders without a
 * transfer are not closed, nor is the only one that is stopped: no other one would gain by it.
 */
static struct bud_holder *find_active(struct bud_budget *budget, uint64_t now_us)
{
	struct bud_holder *stopped = TAILQ_FIRST(&budget->stopped);
	struct bud_holder *worst = NULL;
	struct bud_holder *holder = NULL;
	double worst_score = 0;

	if (!stopped || budget->held_bytes + stopped->wanted_bytes <= budget->limits.total_bytes)
		return NULL;
	TAILQ_FOREACH(holder, &budget->active, active_entry)
	{
		uint64_t age_us = active_for_us(holder, now_us);
		uint64_t bytes = holder->held_bytes - holder->bytes[BUD_OVERHEAD];
		double score = (double)age_us * (double)bytes;

		if (age_us >= STOPPED_US && score > worst_score) {
			worst = holder;
			worst_score = score;
		}
	}
	return worst == stopped && !TAILQ_NEXT(stopped, stopped_entry) ? NULL : worst;
}

/* Finds a stopped holder that may be read again. */
static struct bud_holder *find_resumable(struct bud_budget *budget)
{
	struct bud_holder *holder;

	TAILQ_FOREACH(holder, &budget->stopped, stopped_entry)
	if (admits_read(holder, holder->wanted_bytes))
		return holder;
	return NULL;
}

/* The next action: closes for time, then for memory, then holders to read again. */
enum bud_action bud_next(struct bud_budget *budget, uint64_t now_us, struct bud_holder **holder,
			 const char **reason)
{
	if (now_us - budget->checked_us >= CHECK_INTERVAL_US) {
		*holder = find_slow(budget, now_us, reason);
		if (*holder)
			return BUD_CLOSE;
		budget->checked_us = now_us;
	}
	if (budget->held_bytes > large_limit(budget) ||
	    now_us - budget->closed_us >= CLOSE_INTERVAL_US) {
		*holder = find_largest(budget, now_us);
		if (!*holder && (budget->held_bytes > budget->limits.total_bytes ||
				 now_us - budget->closed_us >= CLOSE_INTERVAL_US))
			*holder = find_active(budget, now_us);
		*reason = "memory";
		if (*holder) {
			budget->closed_us = now_us;
			return BUD_CLOSE;
		}
	}
	*holder = find_resumable(budget);
	if (!*holder)
		return BUD_NONE;
	resume(*holder);
	/* In the time without reads it could not move anything. */
	restart_period(&(*holder)->transfers[BUD_MESSAGE], now_us);
	return BUD_RESUME;
}

/* Moves a time forward by so much, at most to the present. */
static void move_time(uint64_t *time_us, uint64_t by_us, uint64_t now_us)
{
	*time_us = now_us - *time_us > by_us ? *time_us + by_us : now_us;
}

/*
 * Takes the time for which the process did not run from the times of all callers: their input may
 * be unread, and they could not read what was not sent.
 */
void bud_delayed(struct bud_budget *budget, uint64_t lost_us, uint64_t now_us)
{
	struct bud_holder *holder = NULL;
	int transfer;

	TAILQ_FOREACH(holder, &budget->starting, starting_entry)
	{
		move_time(&holder->created_us, lost_us, now_us);
	}
	TAILQ_FOREACH(holder, &budget->active, active_entry)
	{
		for (transfer = 0; transfer < BUD_TRANSFERS; transfer++) {
			move_time(&holder->transfers[transfer].begun_us, lost_us, now_us);
			move_time(&holder->transfers[transfer].since_us, lost_us, now_us);
		}
	}
	TAILQ_FOREACH(holder, &budget->large, large_entry)
	{
		if (holder->large_us)
			move_time(&holder->large_us, lost_us, now_us);
	}
}

/* The bytes of all holders. */
uint64_t bud_total_bytes(const struct bud_budget *budget)
{
	return budget->held_bytes;
}

/* The number of callers' connections. */
uint32_t bud_connections(const struct bud_budget *budget)
{
	return budget->connections;
}

/* The number of callers' connections that are not started. */
uint32_t bud_starting(const struct bud_budget *budget)
{
	return budget->starting_count;
}

const struct bud_limits *bud_limits(const struct bud_budget *budget)
{
	return &budget->limits;
}
