#include "limit/limit.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define STRIDE 7919U
#define TICK_US (50 * BC_US_PER_MS)
/* Bounds the setup, since a share is requested from the store only when a caller needs it. */
#define SETUP_TICKS 200
#define LIMIT 12U

struct names {
	char text[BC_ID_BYTES];
};

static struct names *names_make(const char *prefix, uint32_t count)
{
	struct names *names = calloc(count, sizeof(*names));
	uint32_t i;

	for (i = 0; i < count; i++)
		snprintf(names[i].text, BC_ID_BYTES, "%s-%u", prefix, i);
	return names;
}

/* A call to the store, which is answered after the module's function has returned. */
struct store_call {
	uint64_t id;
	enum lim_store_op op;
	char name[2 * BC_ID_BYTES];
	uint64_t if_version;
	json_t *value;
};

struct limits {
	struct bc_ctx *ctx;
	struct lim_state *state;
	struct names *customers;
	uint32_t size;
	uint64_t now_us;
	json_t *objects; /* name -> [version, value] */
	struct store_call *calls;
	size_t call_count;
	size_t call_size;
};

static void on_store(void *data, uint64_t call, enum lim_store_op op, const char *name,
		     uint64_t if_version, json_t *value)
{
	struct limits *limits = data;
	struct store_call *entry;

	if (limits->call_count == limits->call_size) {
		limits->call_size = 2 * limits->call_size + 64;
		limits->calls = realloc(limits->calls, limits->call_size * sizeof(*limits->calls));
		if (!limits->calls)
			abort();
	}
	entry = &limits->calls[limits->call_count++];
	entry->id = call;
	entry->op = op;
	entry->if_version = if_version;
	entry->value = json_incref(value);
	snprintf(entry->name, sizeof(entry->name), "%s", name);
}

static void on_grown(void *data, const char *customer)
{
	(void)data;
	(void)customer;
}

static void answer(struct limits *limits, const struct store_call *call)
{
	json_t *object = json_object_get(limits->objects, call->name);
	uint64_t version = (uint64_t)json_integer_value(json_array_get(object, 0));
	json_t *value = json_array_get(object, 1);

	if (call->op == LIM_GET) {
		lim_store_result(limits->state, call->id, object ? BC_OK : BC_ENOTFOUND, version,
				 value, limits->now_us);
		return;
	}
	if (version != call->if_version) {
		lim_store_result(limits->state, call->id, BC_ECONFLICT, version, value,
				 limits->now_us);
		return;
	}
	json_object_set_new(limits->objects, call->name,
			    json_pack("[I,O]", (json_int_t)version + 1, call->value));
	lim_store_result(limits->state, call->id, BC_OK, version + 1, NULL, limits->now_us);
}

static void answer_all(struct limits *limits)
{
	size_t i;

	for (i = 0; i < limits->call_count; i++) {
		struct store_call call = limits->calls[i];

		answer(limits, &call);
		json_decref(call.value);
	}
	limits->call_count = 0;
}

static void limits_tick(struct limits *limits)
{
	limits->now_us += TICK_US;
	lim_tick(limits->state, limits->now_us);
	answer_all(limits);
}

/* Admits and releases one connection of each customer. Returns how many were admitted. */
static uint32_t admit_all(struct limits *limits)
{
	uint32_t admitted = 0;
	uint32_t i;

	for (i = 0; i < limits->size; i++) {
		const char *customer = limits->customers[i].text;

		if (!lim_admit(limits->state, customer, limits->now_us))
			continue;
		lim_release(limits->state, customer, limits->now_us);
		admitted++;
	}
	return admitted;
}

/* Ticks until the proxy holds a share for each customer, for at most SETUP_TICKS ticks. */
static void *limits_setup(uint32_t size)
{
	static const struct lim_ops ops = {.store = on_store, .share_grown = on_grown};
	static const char *const fleet[] = {"entry-0"};
	struct limits *limits = calloc(1, sizeof(*limits));
	uint32_t i;

	limits->ctx = bc_ctx_create(1);
	limits->size = size;
	limits->now_us = BC_US_PER_S;
	limits->customers = names_make("customer", size);
	limits->objects = json_object();
	limits->state = lim_create(limits->ctx, "entry-0", &ops, limits);
	lim_fleet_set(limits->state, fleet, 1);
	/* Reports the watch on the rows as established; no other proxy changes them here. */
	lim_watch_set(limits->state, true, limits->now_us);
	for (i = 0; i < size; i++)
		lim_customer_set(limits->state, limits->customers[i].text, LIMIT);
	for (i = 0; i < SETUP_TICKS && admit_all(limits) < size; i++)
		limits_tick(limits);
	return limits;
}

static void limits_teardown(void *data)
{
	struct limits *limits = data;

	lim_destroy(limits->state);
	while (limits->call_count)
		json_decref(limits->calls[--limits->call_count].value);
	json_decref(limits->objects);
	bc_ctx_destroy(limits->ctx);
	free(limits->calls);
	free(limits->customers);
	free(limits);
}

static void admit(void *data, uint64_t index)
{
	struct limits *limits = data;
	const char *customer = limits->customers[index * STRIDE % limits->size].text;

	if (!lim_admit(limits->state, customer, limits->now_us))
		abort();
	lim_release(limits->state, customer, limits->now_us);
}

/* Ticks without load and answers the calls to the store, if any. */
static void limit_tick(void *data, uint64_t index)
{
	(void)index;
	limits_tick(data);
}

/* The size is the number of customers. */
static const struct bch_case cases[] = {
	{"limit.admit_release", {3, 300, 5200}, true, limits_setup, admit, limits_teardown},
	{"limit.tick", {3, 300, 5200}, true, limits_setup, limit_tick, limits_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
