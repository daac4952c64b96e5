#include "member/member.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define MS BC_US_PER_MS
#define SENT_MAX 4096

struct sent {
	char to[BC_ID_BYTES];
	struct mem_message message;
};

/* The member under test, and the messages it has sent. */
static struct bc_ctx *ctx;
static struct mem_state *state;
static struct sent sent[SENT_MAX];
static size_t sent_count;
static uint64_t now_us;

static void on_send(void *data, const char *id, const char *address,
		    const struct mem_message *message)
{
	(void)data;
	CU_ASSERT_FATAL(address[0] && sent_count < SENT_MAX);
	snprintf(sent[sent_count].to, BC_ID_BYTES, "%s", id);
	sent[sent_count++].message = *message;
}

static const struct mem_ops ops = {on_send, NULL};

static struct mem_update member(uint32_t number, uint64_t incarnation, enum mem_health health)
{
	struct mem_update update = {.incarnation = incarnation, .health = health};

	snprintf(update.id, sizeof(update.id), "vm-%u", number);
	snprintf(update.address, sizeof(update.address), "10.0.0.1:%u", 7000 + number);
	snprintf(update.domain, sizeof(update.domain), "domain-%u", number % 4);
	return update;
}

/* Creates vm-0 again, with the members vm-1 to vm-`others` in its list. */
static void setup(uint32_t others)
{
	struct mem_update self = member(0, 5, MEM_ALIVE);
	uint32_t i;

	mem_destroy(state);
	bc_ctx_destroy(ctx);
	ctx = bc_ctx_create(1);
	now_us = 100 * BC_US_PER_S;
	sent_count = 0;
	state = mem_create(ctx, &self, &ops, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(state);
	for (i = 1; i <= others; i++) {
		struct mem_update other = member(i, 0, MEM_ALIVE);

		mem_add(state, &other, now_us);
	}
}

/* Delivers a message from vm-`from` with one update. */
static void receive(uint32_t from, enum mem_message_kind kind, uint64_t sequence,
		    struct mem_update update)
{
	struct mem_message message = {.kind = kind, .sequence = sequence, .update_count = 1};
	char id[BC_ID_BYTES];

	message.updates[0] = update;
	snprintf(id, sizeof(id), "vm-%u", from);
	mem_receive(state, id, &message, now_us);
}

static void run_for(uint64_t length_us)
{
	uint64_t end_us = now_us + length_us;

	for (; now_us < end_us; now_us += 10 * MS)
		mem_tick(state, now_us);
}

static bool has_update(const struct mem_message *message, const char *id)
{
	uint32_t i;

	for (i = 0; i < message->update_count; i++)
		if (strcmp(message->updates[i].id, id) == 0)
			return true;
	return false;
}

/* Guards against an older state replacing a newer one, and against a death without suspicion. */
static void test_update_order(void)
{
	static const struct {
		struct {
			uint64_t incarnation;
			enum mem_health health;
		} updates[3];
		uint64_t incarnation;
		enum mem_health health;
	} cases[] = {
		{{{2, MEM_ALIVE}, {1, MEM_ALIVE}, {1, MEM_DEAD}}, 2, MEM_ALIVE},
		{{{2, MEM_ALIVE}, {2, MEM_SUSPECT}, {2, MEM_ALIVE}}, 2, MEM_SUSPECT},
		{{{2, MEM_SUSPECT}, {3, MEM_ALIVE}, {2, MEM_DEAD}}, 3, MEM_ALIVE},
		{{{2, MEM_SUSPECT}, {2, MEM_DEAD}, {2, MEM_ALIVE}}, 2, MEM_DEAD},
		{{{2, MEM_SUSPECT}, {2, MEM_DEAD}, {1, MEM_SUSPECT}}, 2, MEM_DEAD},
		{{{2, MEM_SUSPECT}, {2, MEM_DEAD}, {3, MEM_ALIVE}}, 3, MEM_ALIVE},
		{{{2, MEM_ALIVE}, {2, MEM_DEAD}, {2, MEM_ALIVE}}, 2, MEM_SUSPECT},
		{{{2, MEM_ALIVE}, {UINT64_MAX, MEM_ALIVE}, {1, MEM_ALIVE}}, 2, MEM_ALIVE},
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		const struct mem_update *view;

		setup(2);
		for (j = 0; j < COUNT(cases[i].updates); j++)
			receive(2, MEM_ACK, 0,
				member(1, cases[i].updates[j].incarnation,
				       cases[i].updates[j].health));
		view = mem_find(state, "vm-1");
		CU_ASSERT_EQUAL(view->incarnation, cases[i].incarnation);
		CU_ASSERT_EQUAL(view->health, cases[i].health);
		CU_ASSERT_EQUAL(mem_live_count(state), cases[i].health == MEM_DEAD ? 2 : 3);
	}
}

/* Guards against a live member that others consider dead, and against needless refutations. */
static void test_refutation(void)
{
	static const struct {
		uint64_t incarnation;
		enum mem_health health;
		uint64_t after;
	} cases[] = {
		{4, MEM_DEAD, 5},   {5, MEM_ALIVE, 5}, {5, MEM_SUSPECT, 6},	  {5, MEM_DEAD, 6},
		{9, MEM_ALIVE, 10}, {9, MEM_DEAD, 10}, {UINT64_MAX, MEM_DEAD, 5},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		setup(1);
		receive(1, MEM_PING, 7, member(0, cases[i].incarnation, cases[i].health));
		CU_ASSERT_EQUAL(mem_at(state, 0)->incarnation, cases[i].after);
		CU_ASSERT_EQUAL_FATAL(sent_count, 1);
		CU_ASSERT_EQUAL(sent[0].message.kind, MEM_ACK);
		CU_ASSERT_EQUAL(sent[0].message.sequence, 7);
		CU_ASSERT_EQUAL(sent[0].message.updates[0].incarnation, cases[i].after);
	}
}

/* Guards against a death that is detected late, or concluded from one lost message. */
static void test_probe(void)
{
	static const struct {
		int32_t ack_after_ms; /* -1: never */
		uint32_t from;	      /* 0: the target itself, otherwise any helper */
		enum mem_health after_600_ms;
		enum mem_health after_3_s;
	} cases[] = {
		{50, 0, MEM_ALIVE, MEM_ALIVE},
		{300, 0, MEM_ALIVE, MEM_ALIVE},
		{300, 1, MEM_ALIVE, MEM_ALIVE},
		{50, 1, MEM_SUSPECT, MEM_DEAD}, /* no helper was asked yet */
		{-1, 0, MEM_SUSPECT, MEM_DEAD},
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t requests = 0;
		uint32_t target;
		uint64_t start_us;
		struct sent ping;

		setup(6);
		while (sent_count == 0)
			run_for(10 * MS);
		ping = sent[0];
		start_us = now_us - 10 * MS;
		CU_ASSERT_EQUAL(ping.message.kind, MEM_PING);
		target = (uint32_t)strtoul(ping.to + 3, NULL, 10);
		/* Only the target of the first ping does not answer. */
		while (now_us < start_us + 3000 * MS) {
			uint64_t at_ms = (now_us - start_us) / MS;

			for (j = 1; j < sent_count; j++) {
				requests += at_ms < 400 && sent[j].message.kind == MEM_PING_REQUEST;
				if (sent[j].message.kind == MEM_PING &&
				    strcmp(sent[j].to, ping.to) != 0)
					receive((uint32_t)strtoul(sent[j].to + 3, NULL, 10),
						MEM_ACK, sent[j].message.sequence,
						member(0, 5, MEM_ALIVE));
			}
			sent_count = 1;
			if (cases[i].ack_after_ms == (int32_t)at_ms)
				receive(cases[i].from ? target % 6 + 1 : target, MEM_ACK,
					ping.message.sequence, member(0, 5, MEM_ALIVE));
			if (at_ms == 600)
				CU_ASSERT_EQUAL(mem_find(state, ping.to)->health,
						cases[i].after_600_ms);
			/* A second ping of the same target would start its own suspicion. */
			if (at_ms >= 600 && cases[i].after_600_ms == MEM_ALIVE)
				break;
			run_for(10 * MS);
		}
		CU_ASSERT_EQUAL(mem_find(state, ping.to)->health, cases[i].after_3_s);
		CU_ASSERT_EQUAL(requests, cases[i].ack_after_ms == 50 && !cases[i].from ? 0 : 3);
	}
}

/* Guards against a helper that does not relay the ack, or with the wrong sequence. */
static void test_relay(void)
{
	struct mem_message request = {.kind = MEM_PING_REQUEST, .sequence = 77, .target = "vm-2"};

	setup(3);
	mem_receive(state, "vm-1", &request, now_us);
	CU_ASSERT_EQUAL_FATAL(sent_count, 1);
	CU_ASSERT_STRING_EQUAL(sent[0].to, "vm-2");
	CU_ASSERT_EQUAL(sent[0].message.kind, MEM_PING);
	receive(2, MEM_ACK, sent[0].message.sequence, member(2, 1, MEM_ALIVE));
	receive(2, MEM_ACK, sent[0].message.sequence, member(2, 1, MEM_ALIVE));
	CU_ASSERT_EQUAL_FATAL(sent_count, 2);
	CU_ASSERT_STRING_EQUAL(sent[1].to, "vm-1");
	CU_ASSERT_EQUAL(sent[1].message.kind, MEM_ACK);
	CU_ASSERT_EQUAL(sent[1].message.sequence, 77);
}

/* Guards against a new member that learns of few members, and messages that are always full. */
static void test_new_member(void)
{
	bool reported[201] = {false};
	uint32_t known = 0;
	uint32_t i;
	uint32_t j;

	setup(200);
	receive(300, MEM_PING, 1, member(1, 0, MEM_ALIVE));
	CU_ASSERT_EQUAL(sent_count, 0); /* its address is not known */
	for (i = 0; i < 30; i++) {
		sent_count = 0;
		receive(300, MEM_PING, i, member(300, 1, MEM_ALIVE));
		CU_ASSERT_EQUAL_FATAL(sent_count, 1);
		for (j = 0; j < sent[0].message.update_count; j++)
			reported[strtoul(sent[0].message.updates[j].id + 3, NULL, 10) % 201] = true;
	}
	for (i = 1; i <= 200; i++)
		known += reported[i];
	CU_ASSERT_EQUAL(known, 200);
	/* Without ticks no member becomes dead; gaps of less than a second are not a pause. */
	for (i = 0; i < 350; i++) {
		now_us += 900 * MS;
		sent_count = 0;
		receive(300, MEM_PING, i, member(300, 1, MEM_ALIVE));
	}
	/* Own state and two in rotation; the first update of a listed member is not forwarded. */
	CU_ASSERT_EQUAL(sent[0].message.update_count, 3);
	receive(1, MEM_ACK, 0, member(2, 1, MEM_ALIVE));
	receive(300, MEM_PING, i, member(300, 1, MEM_ALIVE));
	CU_ASSERT_EQUAL(sent[1].message.update_count, 3);
}

/*
 * Load pattern: a fleet that has just started, each member new to each other. Guards against full
 * messages over the link between regions: they were a third of its bytes at 295 members.
 */
static void test_load_of_young_fleet(void)
{
	static const struct {
		const char *region;
		bool filled;
	} cases[] = {{"", true}, {"region-0", true}, {"region-1", false}};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct mem_update self = member(0, 5, MEM_ALIVE);
		struct mem_update from = member(300, 1, MEM_ALIVE);
		uint32_t filled = 0;
		uint32_t j;

		setup(200);
		snprintf(self.region, sizeof(self.region), "region-0");
		mem_destroy(state);
		state = mem_create(ctx, &self, &ops, NULL);
		for (j = 1; j <= 200; j++) {
			struct mem_update other = member(j, 0, MEM_ALIVE);

			mem_add(state, &other, now_us);
		}
		snprintf(from.region, sizeof(from.region), "%s", cases[i].region);
		sent_count = 0;
		for (j = 0; j < 100; j++)
			receive(300, MEM_PING, j, from);
		CU_ASSERT_EQUAL_FATAL(sent_count, 100);
		/* The member's own update is queued at first, and sent 3 log2 n times. */
		for (j = 30; j < 100; j++)
			filled += sent[j].message.update_count > 3;
		CU_ASSERT_EQUAL(filled, cases[i].filled ? 70 : 0);
	}
}

/* Guards against updates that are sent for ever, too rarely, or after older ones. */
static void test_transmissions(void)
{
	uint32_t times = 0;
	uint32_t i;

	setup(9);
	for (i = 1; i <= 9; i++)
		receive(i, MEM_ACK, 0, member(i, 1, MEM_ALIVE));
	now_us += 500 * MS;
	receive(9, MEM_PING, 1, member(4, 2, MEM_SUSPECT));
	CU_ASSERT_STRING_EQUAL(sent[sent_count - 1].message.updates[1].id, "vm-4");
	setup(9);
	receive(9, MEM_ACK, 0, member(20, 2, MEM_SUSPECT));
	mem_remove(state, "vm-20", now_us); /* dead ones are not among the rotating members */
	for (i = 0; i < 100; i++) {
		receive(9, MEM_PING, i, member(9, 0, MEM_ALIVE));
		times += has_update(&sent[sent_count - 1].message, "vm-20");
	}
	CU_ASSERT_EQUAL(times, 3 * 4); /* 11 members: 3 log2 n, rounded up */
	/* While a fleet starts, a suspicion must not wait behind hundreds of joins. */
	setup(9);
	for (i = 0; i < 200; i++)
		receive(9, MEM_ACK, 0, member(100 + i, 1, MEM_ALIVE));
	receive(9, MEM_ACK, 0, member(4, 2, MEM_SUSPECT));
	for (i = 0; i < 20; i++) {
		sent_count = 0;
		receive(9, MEM_PING, i, member(9, 0, MEM_ALIVE));
		CU_ASSERT_TRUE(has_update(&sent[0].message, "vm-4"));
	}
}

/* Guards against an old update that makes a dead member alive again, or is never contradicted. */
static void test_tombstone(void)
{
	setup(3);
	mem_remove(state, "vm-1", now_us);
	receive(2, MEM_ACK, 0, member(3, 1, MEM_SUSPECT));
	run_for(2100 * MS);
	CU_ASSERT_EQUAL(mem_find(state, "vm-3")->health, MEM_DEAD);
	while (now_us < 158 * BC_US_PER_S) {
		sent_count = 0;
		run_for(100 * MS);
		receive(2, MEM_ACK, 0, member(1, 0, MEM_ALIVE));
	}
	CU_ASSERT_EQUAL(mem_find(state, "vm-1")->health, MEM_DEAD);
	sent_count = 0;
	receive(2, MEM_PING, 0, member(1, 0, MEM_ALIVE));
	CU_ASSERT_TRUE(has_update(&sent[0].message, "vm-1"));
	sent_count = 0;
	run_for(7 * BC_US_PER_S);
	CU_ASSERT_PTR_NULL(mem_find(state, "vm-1"));
	CU_ASSERT_PTR_NOT_NULL(mem_find(state, "vm-3")); /* still in the list */
	receive(2, MEM_ACK, 0, member(1, 1, MEM_DEAD));
	CU_ASSERT_PTR_NULL(mem_find(state, "vm-1"));
}

/* Guards against a process that considers all others dead after it was paused. */
static void test_pause(void)
{
	uint32_t i;

	setup(5);
	for (i = 1; i <= 5; i++)
		receive(i, MEM_ACK, 0, member(i, 1, i == 5 ? MEM_SUSPECT : MEM_ALIVE));
	run_for(600 * MS);
	now_us += 20 * BC_US_PER_S;
	mem_tick(state, now_us);
	CU_ASSERT_EQUAL(mem_find(state, "vm-5")->health, MEM_SUSPECT);
	CU_ASSERT_EQUAL(mem_live_count(state), 6);
	receive(5, MEM_ACK, 0, member(5, 2, MEM_ALIVE));
	CU_ASSERT_EQUAL(mem_find(state, "vm-5")->health, MEM_ALIVE);
}

/* Guards against members that are pinged rarely: each is pinged once in each round. */
static void test_round_robin(void)
{
	uint32_t pings[41] = {0};
	uint32_t i;

	setup(40);
	while (sent_count < 80) {
		size_t before = sent_count;

		run_for(10 * MS);
		if (sent_count == before)
			continue;
		i = (uint32_t)strtoul(sent[before].to + 3, NULL, 10);
		pings[i]++;
		receive(i, MEM_ACK, sent[before].message.sequence, member(i, 1, MEM_ALIVE));
		CU_ASSERT_EQUAL(pings[i], before < 40 ? 1 : 2);
	}
}

/* Guards against a cached rank that is no longer valid after a change of the members. */
static void test_duty_cache(void)
{
	enum { MEMBERS = 40, DUTIES = 20, STEPS = 400 };
	uint64_t incarnations[MEMBERS + 1] = {0};
	struct bc_ctx *random = bc_ctx_create(3);
	uint32_t step;
	uint32_t i;

	setup(MEMBERS);
	for (step = 0; step < STEPS; step++) {
		uint32_t number = 1 + (uint32_t)bc_random_below(random, MEMBERS);
		struct mem_update self = member(0, 5, MEM_ALIVE);
		struct mem_update update = member(number, ++incarnations[number], MEM_ALIVE);
		struct mem_state *fresh;

		update.health = bc_random_below(random, 2) ? MEM_DEAD : MEM_ALIVE;
		update.leaving = bc_random_below(random, 4) == 0;
		/* An alive member becomes suspect by the first update, and dead by the second. */
		receive(1, MEM_ACK, 0, update);
		receive(1, MEM_ACK, 0, update);
		fresh = mem_create(ctx, &self, &ops, NULL);
		for (i = 1; i < mem_count(state); i++)
			if (mem_at(state, i)->health != MEM_DEAD)
				mem_add(fresh, mem_at(state, i), now_us);
		CU_ASSERT_EQUAL(mem_live_count(fresh), mem_live_count(state));
		for (i = 0; i < DUTIES; i++) {
			const char *domain = i % 2 ? "domain-0" : NULL;
			char duty[300];

			/* The last one is too long for the cache. */
			snprintf(duty, sizeof(duty), "%*u", i == DUTIES - 1 ? 299 : 3, i);
			CU_ASSERT_EQUAL(mem_duty_rank(state, duty, domain),
					mem_duty_rank(fresh, duty, domain));
		}
		mem_destroy(fresh);
	}
	bc_ctx_destroy(random);
}

/* Guards against choosing this proxy, a leaving one, or the same one twice. */
static void test_sample(void)
{
	static const struct {
		uint32_t others;
		size_t asked;
		size_t found;
	} cases[] = {{0, 4, 0}, {1, 4, 0}, {3, 4, 2}, {9, 4, 4}, {9, 20, 8}};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		const struct mem_update *out[20] = {NULL};
		struct mem_update leaving = member(1, 1, MEM_ALIVE);

		setup(cases[i].others);
		leaving.leaving = true;
		if (cases[i].others)
			receive(1, MEM_ACK, 0, leaving);
		CU_ASSERT_EQUAL(mem_sample(state, cases[i].asked, out), cases[i].found);
		for (j = 0; j < cases[i].found; j++) {
			CU_ASSERT(strcmp(out[j]->id, "vm-0") != 0 && !out[j]->leaving);
			CU_ASSERT(j == 0 || out[j] != out[j - 1]);
		}
	}
}

/* Guards against a departure that is not reported, or a leaving proxy that keeps its duties. */
static void test_leave(void)
{
	setup(3);
	CU_ASSERT_EQUAL(mem_live_count(state), 4);
	mem_leave(state, now_us);
	mem_leave(state, now_us);
	CU_ASSERT_EQUAL(mem_live_count(state), 3);
	CU_ASSERT_EQUAL(mem_duty_rank(state, "any", NULL), MEM_NO_RANK);
	receive(1, MEM_PING, 1, member(1, 1, MEM_ALIVE));
	CU_ASSERT_TRUE(sent[0].message.updates[0].leaving);
	CU_ASSERT_EQUAL(sent[0].message.updates[0].incarnation, 6);
}

int main(void)
{
	CU_TestInfo tests[] = {{"update_order", test_update_order},
			       {"refutation", test_refutation},
			       {"probe", test_probe},
			       {"relay", test_relay},
			       {"new_member", test_new_member},
			       {"load_of_young_fleet", test_load_of_young_fleet},
			       {"transmissions", test_transmissions},
			       {"tombstone", test_tombstone},
			       {"pause", test_pause},
			       {"round_robin", test_round_robin},
			       {"duty_cache", test_duty_cache},
			       {"sample", test_sample},
			       {"leave", test_leave},
			       CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"member", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	mem_destroy(state);
	bc_ctx_destroy(ctx);
	return failures ? 1 : 0;
}
