#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/*
 * Measures the cost of the membership calls as the fleet grows and prints it as JSON lines: ns for
 * each tick, received ping and duty rank, and bytes on the wire for each message. A proxy sends and
 * receives about 8 messages a second: 2 pings and 2 acks each way.
 */

#define ROUNDS 20000U
#define DUTIES 64U

static struct bc_ctx *ctx;
static uint64_t messages;
static uint64_t message_bytes;
static char pinged[BC_ID_BYTES]; /* target of the last ping, empty if there was none */
static uint64_t pinged_sequence;

static uint64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000ULL + (uint64_t)now.tv_nsec;
}

/* Packs only every 16th message, so that packing does not dominate the measured time. */
static void on_send(void *data, const char *id, const char *address,
		    const struct mem_message *message)
{
	struct wire_message out = {.kind = WIRE_MEMBER, .member = *message};
	static uint32_t count;
	uint8_t *frame;
	size_t bytes;

	(void)data;
	(void)address;
	if (message->kind == MEM_PING) {
		snprintf(pinged, sizeof(pinged), "%s", id);
		pinged_sequence = message->sequence;
	}
	if (count++ % 16 || wire_pack(ctx, &out, &frame, &bytes) != BC_OK)
		return;
	messages++;
	message_bytes += bytes;
	free(frame);
}

static const struct mem_ops ops = {on_send, NULL};

static struct mem_update member(uint32_t number, uint64_t incarnation)
{
	struct mem_update update = {.incarnation = incarnation};

	snprintf(update.id, sizeof(update.id), "entry-vm-%06u", number);
	snprintf(update.address, sizeof(update.address), "10.1.%u.%u:7400", number / 256,
		 number % 256);
	snprintf(update.domain, sizeof(update.domain), "domain-%u", number % 10);
	snprintf(update.region, sizeof(update.region), "region-%u", number % 3);
	return update;
}

static void print(uint32_t members, const char *call, double value, const char *unit)
{
	printf("{\"bench\":\"member\",\"members\":%u,\"call\":\"%s\",\"%s\":%.1f}\n", members, call,
	       unit, value);
}

static double mean_bytes(void)
{
	double mean = messages ? (double)message_bytes / (double)messages : 0;

	messages = 0;
	message_bytes = 0;
	return mean;
}

/*
 * Receives pings from known members, each with an update about its sender. The members were added
 * with incarnation 0; the updates carry incarnation 1.
 */
static uint64_t receive_pings(struct mem_state *state, uint32_t members, uint64_t *now_us)
{
	uint64_t elapsed_ns = 0;
	uint32_t i;

	for (i = 0; i < ROUNDS; i++) {
		struct mem_message message = {.kind = MEM_PING, .sequence = i, .update_count = 1};
		uint64_t start_ns;

		message.updates[0] = member(1 + i % (members - 1), 1);
		*now_us += 10 * BC_US_PER_MS;
		start_ns = now_ns();
		mem_receive(state, message.updates[0].id, &message, *now_us);
		elapsed_ns += now_ns() - start_ns;
	}
	return elapsed_ns;
}

/*
 * Ticks ROUNDS times. If answered is set, each ping is acknowledged; otherwise all other members
 * are declared dead, one in each probe period.
 */
static uint64_t run_ticks(struct mem_state *state, bool answered, uint64_t *now_us)
{
	uint64_t elapsed_ns = 0;
	uint32_t i;

	for (i = 0; i < ROUNDS; i++) {
		struct mem_message ack = {.kind = MEM_ACK};
		uint64_t start_ns;

		*now_us += 50 * BC_US_PER_MS;
		pinged[0] = '\0';
		start_ns = now_ns();
		mem_tick(state, *now_us);
		elapsed_ns += now_ns() - start_ns;
		ack.sequence = pinged_sequence;
		if (answered && pinged[0])
			mem_receive(state, pinged, &ack, *now_us);
	}
	return elapsed_ns;
}

static uint64_t rank_all(const struct mem_state *state)
{
	uint64_t start_ns = now_ns();
	char duty[32];
	uint32_t i;

	for (i = 0; i < DUTIES; i++) {
		snprintf(duty, sizeof(duty), "database-%u", i);
		mem_duty_rank(state, duty, NULL);
	}
	return (now_ns() - start_ns) / DUTIES;
}

static void bench(uint32_t members)
{
	struct mem_update self = member(0, 1);
	struct mem_state *state = mem_create(ctx, &self, &ops, NULL);
	uint64_t now_us = BC_US_PER_S;
	uint64_t elapsed_ns;
	uint32_t i;

	for (i = 1; i < members; i++) {
		struct mem_update other = member(i, 0);

		mem_add(state, &other, now_us);
	}
	print(members, "duty_rank first", (double)rank_all(state), "ns");
	print(members, "duty_rank cached", (double)rank_all(state), "ns");
	self = member(members, 1);
	mem_add(state, &self, now_us);
	print(members, "duty_rank after a join", (double)rank_all(state), "ns");
	mean_bytes();
	elapsed_ns = receive_pings(state, members, &now_us);
	print(members, "receive, joining", (double)elapsed_ns / ROUNDS, "ns");
	print(members, "message, joining", mean_bytes(), "bytes");
	for (i = 0; i < 4; i++)
		receive_pings(state, members, &now_us);
	mean_bytes();
	elapsed_ns = receive_pings(state, members, &now_us);
	print(members, "receive, steady", (double)elapsed_ns / ROUNDS, "ns");
	print(members, "message, steady", mean_bytes(), "bytes");
	elapsed_ns = run_ticks(state, true, &now_us);
	print(members, "tick, steady", (double)elapsed_ns / ROUNDS, "ns");
	mean_bytes();
	elapsed_ns = run_ticks(state, false, &now_us);
	print(members, "tick, all others dying", (double)elapsed_ns / ROUNDS, "ns");
	print(members, "message, all others dying", mean_bytes(), "bytes");
	mem_destroy(state);
}

int main(void)
{
	static const uint32_t sizes[] = {9, 90, 900, 5200};
	size_t i;

	ctx = bc_ctx_create(1);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		bench(sizes[i]);
	bc_ctx_destroy(ctx);
	return 0;
}
