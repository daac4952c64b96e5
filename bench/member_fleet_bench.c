#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Simulates a fleet in one process, in simulated time with a delay of 5 ms for each message, and
 * prints as JSON lines: the time until all members have detected a crash, the time until a new
 * member with two seeds knows all others, the number of live members declared dead, and the bytes
 * that a member sends in a second. Memory grows with the square of the fleet: 340 MB for 900
 * members.
 */

#define STEP_US (5 * BC_US_PER_MS)
#define STEPS_PER_TICK 10U

struct packet {
	uint32_t from;
	uint32_t to;
	struct mem_message message;
};

struct packets {
	struct packet *items;
	size_t count;
	size_t size;
};

static struct bc_ctx *ctx;
static struct mem_state **states;
static uint32_t fleet;
static uint64_t now_us;
static struct packets arriving;
static struct packets sent;
static uint64_t sent_messages;
static uint64_t sent_bytes;

/* Packs every 64th message only and counts its bytes 64 times, to save time. */
static void count_bytes(const struct mem_message *message)
{
	struct wire_message out = {.kind = WIRE_MEMBER, .member = *message};
	uint8_t *frame;
	size_t bytes;

	if (sent_messages++ % 64 || wire_pack(ctx, &out, &frame, &bytes) != BC_OK)
		return;
	sent_bytes += 64 * bytes;
	free(frame);
}

static void on_send(void *data, const char *id, const char *address,
		    const struct mem_message *message)
{
	struct packet *packet;

	(void)address;
	count_bytes(message);
	if (sent.count == sent.size) {
		sent.size = sent.size ? 2 * sent.size : 1024;
		sent.items = realloc(sent.items, sent.size * sizeof(struct packet));
		if (!sent.items)
			abort();
	}
	packet = &sent.items[sent.count++];
	packet->from = (uint32_t)(uintptr_t)data;
	packet->to = (uint32_t)strtoul(id + 3, NULL, 10);
	packet->message = *message;
}

static const struct mem_ops ops = {on_send, NULL};

static struct mem_update member(uint32_t number, uint64_t incarnation)
{
	struct mem_update update = {.incarnation = incarnation};

	snprintf(update.id, sizeof(update.id), "vm-%06u", number);
	snprintf(update.address, sizeof(update.address), "10.1.%u.%u:7400", number / 256,
		 number % 256);
	snprintf(update.domain, sizeof(update.domain), "domain-%u", number % 10);
	snprintf(update.region, sizeof(update.region), "region-%u", number % 3);
	return update;
}

static void start(uint32_t number, uint32_t seeds)
{
	struct mem_update self = member(number, 1);
	uint32_t i;

	states[number] = mem_create(ctx, &self, &ops, (void *)(uintptr_t)number);
	if (!states[number])
		abort();
	for (i = 0; i < seeds; i++) {
		struct mem_update other = member(i, 0);

		mem_add(states[number], &other, now_us);
	}
}

static void step(uint32_t *steps)
{
	struct packets delivered = sent;
	char id[BC_ID_BYTES];
	uint32_t i;
	size_t j;

	sent = arriving;
	sent.count = 0;
	arriving = delivered;
	now_us += STEP_US;
	for (j = 0; j < arriving.count; j++) {
		const struct packet *packet = &arriving.items[j];

		if (!states[packet->to])
			continue;
		snprintf(id, sizeof(id), "vm-%06u", packet->from);
		mem_receive(states[packet->to], id, &packet->message, now_us);
	}
	/* Each step ticks a tenth of the members, so that each ticks once in STEPS_PER_TICK. */
	for (i = *steps % STEPS_PER_TICK; i <= fleet; i += STEPS_PER_TICK)
		if (states[i])
			mem_tick(states[i], now_us);
	++*steps;
}

static uint32_t seen_dead(uint32_t number)
{
	uint32_t seen = 0;
	char id[BC_ID_BYTES];
	uint32_t i;

	snprintf(id, sizeof(id), "vm-%06u", number);
	for (i = 0; i <= fleet; i++) {
		const struct mem_update *view = states[i] ? mem_find(states[i], id) : NULL;

		seen += states[i] && (!view || view->health == MEM_DEAD);
	}
	return seen;
}

static void print(const char *name, double value)
{
	printf("{\"bench\":\"member_fleet\",\"members\":%u,\"%s\":%.1f}\n", fleet, name, value);
	fflush(stdout);
}

static void run_for(uint64_t duration_us, uint32_t *steps)
{
	uint64_t end_us = now_us + duration_us;

	while (now_us < end_us)
		step(steps);
}

static void bench_crash(uint32_t *steps)
{
	uint64_t start_us = now_us;

	mem_destroy(states[fleet / 2]);
	states[fleet / 2] = NULL;
	while (seen_dead(fleet / 2) < fleet - 1 && now_us < start_us + 60 * BC_US_PER_S)
		run_for(50 * BC_US_PER_MS, steps);
	print("crash_seen_by_all_ms", (double)(now_us - start_us) / 1000);
}

static void bench_newcomer(uint32_t *steps)
{
	uint64_t start_us = now_us;
	bool knows_most = false;

	start(fleet, 2);
	while (mem_live_count(states[fleet]) < fleet && now_us < start_us + 900 * BC_US_PER_S) {
		run_for(50 * BC_US_PER_MS, steps);
		if (knows_most || mem_live_count(states[fleet]) < fleet * 9 / 10)
			continue;
		knows_most = true;
		print("newcomer_knows_90_percent_ms", (double)(now_us - start_us) / 1000);
	}
	print("newcomer_knows_all_ms", (double)(now_us - start_us) / 1000);
}

static void bench(uint32_t members)
{
	uint32_t steps = 0;
	uint32_t i;

	fleet = members;
	states = calloc(fleet + 1, sizeof(struct mem_state *));
	if (!states)
		abort();
	for (i = 0; i < fleet; i++)
		start(i, fleet);
	run_for(BC_US_PER_S, &steps);
	sent_bytes = 0;
	run_for(10 * BC_US_PER_S, &steps);
	print("starting_bytes_sent_per_s", (double)sent_bytes / 10 / fleet);
	/* Messages to a member are larger for the first 300 s after it was added. */
	run_for(300 * BC_US_PER_S, &steps);
	sent_bytes = 0;
	run_for(10 * BC_US_PER_S, &steps);
	print("steady_bytes_sent_per_s", (double)sent_bytes / 10 / fleet);
	print("false_deaths",
	      (double)bc_counter_value(ctx, "bulrushcleat_member_changes_total", "state=\"dead\""));
	bench_crash(&steps);
	bench_newcomer(&steps);
	for (i = 0; i <= fleet; i++)
		mem_destroy(states[i]);
	free(states);
	arriving.count = 0;
	sent.count = 0;
}

int main(void)
{
	static const uint32_t sizes[] = {9, 90, 900};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		ctx = bc_ctx_create(1);
		bench(sizes[i]);
		bc_ctx_destroy(ctx);
	}
	free(arriving.items);
	free(sent.items);
	return 0;
}
