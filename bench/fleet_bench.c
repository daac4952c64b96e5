#include "config/config.h"
#include "member/member.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define TICK_US (50 * BC_US_PER_MS)
#define DUTIES 9U
#define UPDATES_PER_PING 4U
#define PLANS 4U

struct fleet {
	struct bc_ctx *ctx;
	struct mem_state *state;
	uint32_t size;
	uint64_t now_us;
	struct mem_message message;
	struct mem_message sent;
	char sent_to[BC_ID_BYTES];
	uint64_t incarnation;
	char *vm_list; /* the platform's list of entry VMs as JSON */
};

static void on_send(void *data, const char *id, const char *address,
		    const struct mem_message *message)
{
	struct fleet *fleet = data;

	(void)address;
	fleet->sent.kind = message->kind;
	fleet->sent.sequence = message->sequence;
	snprintf(fleet->sent_to, sizeof(fleet->sent_to), "%s", id);
}

static void make_member(struct mem_update *member, uint32_t index)
{
	memset(member, 0, sizeof(*member));
	snprintf(member->id, sizeof(member->id), "entry-%u", index);
	snprintf(member->address, sizeof(member->address), "10.%u.%u.1:7900", index / 256,
		 index % 256);
	snprintf(member->domain, sizeof(member->domain), "domain-%u", index % 10);
	snprintf(member->region, sizeof(member->region), "region-%u", index % 3);
	member->incarnation = 1;
}

static void *fleet_setup(uint32_t size)
{
	static const struct mem_ops ops = {.send = on_send};
	struct fleet *fleet = calloc(1, sizeof(*fleet));
	struct mem_update member;
	uint32_t i;

	fleet->ctx = bc_ctx_create(1);
	fleet->size = size;
	fleet->now_us = BC_US_PER_S;
	fleet->incarnation = 1;
	make_member(&member, 0);
	fleet->state = mem_create(fleet->ctx, &member, &ops, fleet);
	for (i = 1; i < size; i++) {
		make_member(&member, i);
		mem_add(fleet->state, &member, fleet->now_us);
	}
	/* Skips the period in which new members are sent extra updates. */
	fleet->now_us += 600 * BC_US_PER_S;
	fleet->message.kind = MEM_PING;
	fleet->message.update_count = UPDATES_PER_PING;
	return fleet;
}

static void fleet_teardown(void *data)
{
	struct fleet *fleet = data;

	mem_destroy(fleet->state);
	bc_ctx_destroy(fleet->ctx);
	free(fleet->vm_list);
	free(fleet);
}

/* Ticks and acknowledges the ping that was sent, if any, so that no member becomes suspect. */
static void tick(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	struct mem_message answer = {.kind = MEM_ACK};

	(void)index;
	fleet->sent_to[0] = '\0';
	fleet->now_us += TICK_US;
	mem_tick(fleet->state, fleet->now_us);
	if (!fleet->sent_to[0])
		return;
	answer.sequence = fleet->sent.sequence;
	mem_receive(fleet->state, fleet->sent_to, &answer, fleet->now_us + 1);
}

/* Receives a ping whose updates are already known, which is by far the most common case. */
static void receive(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	uint32_t from = 1 + (uint32_t)(index * 7919 % (fleet->size - 1));
	uint32_t i;

	for (i = 0; i < UPDATES_PER_PING; i++)
		make_member(&fleet->message.updates[i], 1 + (from + i) % (fleet->size - 1));
	fleet->message.sequence = index;
	mem_receive(fleet->state, fleet->message.updates[0].id, &fleet->message, fleet->now_us);
}

static void duty_name(char *name, uint64_t index)
{
	snprintf(name, BC_ID_BYTES, "database-%llu", (unsigned long long)index);
}

static void duty_cached(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	char duty[BC_ID_BYTES];

	duty_name(duty, index % DUTIES);
	mem_duty_rank(fleet->state, duty, NULL);
}

/* Marks one member as leaving or as back, then computes the rank for one duty. */
static void duty_changed(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	struct mem_message message_in = {.kind = MEM_ACK, .update_count = 1};
	uint32_t number = 1 + (uint32_t)(index / 2 * 7919 % (fleet->size - 1));

	make_member(&message_in.updates[0], number);
	message_in.updates[0].incarnation = ++fleet->incarnation;
	message_in.updates[0].leaving = index % 2 == 0;
	mem_receive(fleet->state, message_in.updates[0].id, &message_in, fleet->now_us);
	duty_cached(data, index / 2);
}

/* Computes the rank for a duty that is not in the cache. */
static void duty_uncached(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	char duty[BC_ID_BYTES];

	duty_name(duty, index);
	mem_duty_rank(fleet->state, duty, NULL);
}

/*
 * Builds the platform's list of entry VMs, which every proxy receives after each change of a VM.
 */
static void *list_setup(uint32_t size)
{
	struct fleet *fleet = fleet_setup(size);
	json_t *list = json_array();
	struct mem_update member;
	uint32_t i;

	for (i = 0; i < size; i++) {
		make_member(&member, i);
		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", member.id,
						      "kind", "entry", "address", member.address,
						      "domain", member.domain, "region",
						      member.region, "state", "live"));
	}
	fleet->vm_list = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	printf("{\"bench\":\"member.vm_list\",\"n\":%u,\"object_bytes\":%zu}\n", size,
	       strlen(fleet->vm_list));
	return fleet;
}

static void list_load(void *data, uint64_t index)
{
	struct fleet *fleet = data;
	json_t *list = json_loads(fleet->vm_list, 0, NULL);
	struct mem_update member;
	size_t i;

	(void)index;
	for (i = 1; i < json_array_size(list); i++) {
		make_member(&member, (uint32_t)i);
		mem_add(fleet->state, &member, fleet->now_us);
	}
	json_decref(list);
}

struct config {
	struct bc_ctx *ctx;
	struct cfg_state *state;
	char *text;
	uint32_t size;
	uint64_t revision;
};

static json_t *config_json(uint32_t size)
{
	json_t *plans = json_array();
	json_t *customers = json_array();
	char name[BC_ID_BYTES];
	char plan[BC_ID_BYTES];
	uint32_t i;

	for (i = 0; i < PLANS; i++) {
		snprintf(name, sizeof(name), "plan-%u", i);
		json_array_append_new(plans,
				      json_pack("{s:s,s:i,s:b,s:i}", "name", name, "connections",
						12, "replica_reads", 1, "max_staleness_ms", 500));
	}
	for (i = 0; i < size; i++) {
		/* The number is zero-padded, since the lists must be sorted by name. */
		snprintf(name, sizeof(name), "customer-%06u", i);
		snprintf(plan, sizeof(plan), "plan-%u", i % PLANS);
		json_array_append_new(customers,
				      json_pack("{s:s,s:s,s:[s,s]}", "name", name, "plan", plan,
						"databases", "billing", "jobs"));
	}
	return json_pack("{s:i,s:s,s:[],s:o,s:o}", "revision", 1, "writer", "bench", "history",
			 "plans", plans, "customers", customers);
}

static void config_offer(void *data, uint64_t index)
{
	struct config *config = data;
	json_t *value = json_loads(config->text, 0, NULL);

	(void)index;
	json_object_set_new(value, "revision", json_integer((json_int_t)++config->revision));
	if (cfg_adopt(config->state, value) != BC_OK)
		abort();
	json_decref(value);
}

static void *config_setup(uint32_t size)
{
	struct config *config = calloc(1, sizeof(*config));
	json_t *value = config_json(size);

	config->ctx = bc_ctx_create(1);
	config->size = size;
	config->text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	printf("{\"bench\":\"config.object\",\"n\":%u,\"object_bytes\":%zu}\n", size,
	       strlen(config->text));
	config->state = cfg_create(config->ctx, NULL, NULL);
	config_offer(config, 0);
	return config;
}

static void config_teardown(void *data)
{
	struct config *config = data;

	cfg_destroy(config->state);
	bc_ctx_destroy(config->ctx);
	free(config->text);
	free(config);
}

static void customer_find(void *data, uint64_t index)
{
	struct config *config = data;
	char name[BC_ID_BYTES];

	snprintf(name, sizeof(name), "customer-%06u", (uint32_t)(index * 7919 % config->size));
	if (!cfg_customer_find(config->state, name))
		abort();
}

static const struct bch_case cases[] = {
	{"member.tick", {9, 90, 900, 5200}, true, fleet_setup, tick, fleet_teardown},
	{"member.receive", {9, 90, 900, 5200}, true, fleet_setup, receive, fleet_teardown},
	{"member.duty_cached", {9, 90, 900, 5200}, true, fleet_setup, duty_cached, fleet_teardown},
	{"member.duty_after_change",
	 {9, 90, 900, 5200},
	 true,
	 fleet_setup,
	 duty_changed,
	 fleet_teardown},
	/*
	 * Unbounded: scores all members, but runs only once for each duty after the start and when
	 * the member that holds it has left.
	 */
	{"member.duty_first",
	 {9, 90, 900, 5200},
	 false,
	 fleet_setup,
	 duty_uncached,
	 fleet_teardown},
	/* Unbounded: reads all VMs, but only once for each change of the platform's list. */
	{"member.list_load", {9, 90, 900, 5200}, false, list_setup, list_load, fleet_teardown},
	/*
	 * Unbounded: parses and validates all customers, but only once for each change of the
	 * configuration.
	 */
	{"config.parse_and_adopt",
	 {3, 30, 300, 3000},
	 false,
	 config_setup,
	 config_offer,
	 config_teardown},
	{"config.customer_find",
	 {3, 30, 300, 3000},
	 true,
	 config_setup,
	 customer_find,
	 config_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
