#include "quota/quota.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define STRIDE 7919U
#define ACCOUNT_RATE 1000000U
#define STEP_US (10 * BC_US_PER_MS)

/* A proxy that counts all shards, with accounts or origins. */
struct quota {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct qta_state *state;
	struct acc_table *accounts;
	uint32_t size;
	uint64_t now_us;
	uint64_t requests;
	uint64_t used;
	uint64_t answered_us;
	uint64_t epoch;
	uint64_t pending_read;	/* shards, as bits */
	uint64_t pending_write; /* shards, as bits */
};

static void on_send(void *data, const char *proxy, const struct qta_message *message)
{
	struct quota *quota = data;

	(void)proxy;
	quota->requests += !message->is_answer;
	quota->answered_us = message->answered_us;
	quota->epoch = message->epoch;
}

static void on_admitted(void *data, uint64_t waiter, uint64_t now_us)
{
	(void)data;
	(void)waiter;
	(void)now_us;
}

static void on_refused(void *data, uint64_t waiter, uint64_t retry_after_us, uint64_t now_us)
{
	(void)retry_after_us;
	on_admitted(data, waiter, now_us);
}

static void on_read(void *data, uint32_t shard)
{
	((struct quota *)data)->pending_read |= 1ULL << shard;
}

static void on_write(void *data, uint32_t shard, uint64_t revision, const struct qta_claim *claim)
{
	(void)revision;
	(void)claim;
	((struct quota *)data)->pending_write |= 1ULL << shard;
}

static uint32_t on_member_count(void *data)
{
	(void)data;
	return 1;
}

static const char *on_member_at(void *data, uint32_t index)
{
	(void)data;
	(void)index;
	return "entry-0";
}

/* Runs the timers and answers the calls to the store. */
static void quota_step(struct quota *quota)
{
	uint32_t shard;

	quota->now_us += STEP_US;
	bc_timers_run(quota->timers, quota->now_us);
	for (shard = 0; shard < QTA_SHARDS; shard++) {
		if (quota->pending_read & 1ULL << shard) {
			quota->pending_read &= ~(1ULL << shard);
			qta_claim_read(quota->state, shard, BC_ENOTFOUND, 0, NULL, quota->now_us);
		}
		if (quota->pending_write & 1ULL << shard) {
			quota->pending_write &= ~(1ULL << shard);
			qta_claim_written(quota->state, shard, BC_OK, quota->now_us, quota->now_us);
		}
	}
}

static struct quota *quota_create(uint32_t size, uint32_t accounts)
{
	static const struct qta_ops ops = {on_send,  on_admitted,     on_refused,  on_read,
					   on_write, on_member_count, on_member_at};
	struct quota *quota = calloc(1, sizeof(*quota));
	uint32_t i;

	quota->ctx = bc_ctx_create(1);
	quota->timers = bc_timers_create();
	quota->size = size;
	quota->now_us = 100 * BC_US_PER_S;
	quota->accounts = acc_create();
	for (i = 0; i < accounts; i++) {
		struct acc_account account = {.rate_per_s = ACCOUNT_RATE, .burst = ACCOUNT_RATE};

		snprintf(account.name, sizeof(account.name), "account-%u", i);
		if (acc_add(quota->accounts, &account) != BC_OK)
			abort();
	}
	quota->state =
		qta_create(quota->ctx, quota->timers, "entry-0", 1, &ops, quota, quota->now_us);
	qta_accounts_set(quota->state, quota->accounts, quota->now_us);
	for (i = 0; i < 200; i++)
		quota_step(quota);
	return quota;
}

/* The size is the number of accounts. */
static void *accounts_setup(uint32_t size)
{
	return quota_create(size, size);
}

static void quota_teardown(void *data)
{
	struct quota *quota = data;

	qta_destroy(quota->state);
	acc_destroy(quota->accounts);
	bc_timers_destroy(quota->timers);
	bc_ctx_destroy(quota->ctx);
	free(quota);
}

/* An operation that finds a token or asks the counter, which is this proxy itself. */
static void admit(void *data, uint64_t index)
{
	struct quota *quota = data;
	char account[BC_ID_BYTES];
	uint64_t retry_after_us;

	snprintf(account, sizeof(account), "account-%u", (uint32_t)(index * STRIDE % quota->size));
	if (index % 16 == 0)
		quota_step(quota);
	if (qta_admit(quota->state, account, 0, quota->now_us + 100 * BC_US_PER_MS, index + 1,
		      &retry_after_us, quota->now_us) == QTA_REFUSED)
		abort();
}

/* The size is the number of origins, each of which asks for ten accounts at a time. */
static void *origins_setup(uint32_t size)
{
	return quota_create(size, 1000);
}

static void request(void *data, uint64_t index)
{
	struct quota *quota = data;
	uint32_t origin = (uint32_t)(index % quota->size);
	struct qta_item items[10] = {{.wanted = 0}};
	struct qta_message message = {.items = items, .incarnation = 1};
	char name[BC_ID_BYTES];
	uint32_t i;

	if (origin == 0)
		quota_step(quota);
	for (i = 0; message.count < COUNT_OF(items); i++) {
		struct qta_item *item = &items[message.count];

		snprintf(item->account, sizeof(item->account), "account-%u", i);
		item->wanted = 2;
		item->carries = true;
		message.count += qta_shard(item->account) == 0;
	}
	message.sent_us = ++quota->used;
	message.epoch = quota->epoch;
	message.answered_us = quota->answered_us;
	snprintf(name, sizeof(name), "origin-%u", origin);
	qta_message(quota->state, name, &message, quota->now_us);
}

static const struct bch_case cases[] = {
	{"quota.admit", {81, 1000, 10000}, true, accounts_setup, admit, quota_teardown},
	{"quota.request_of_10", {3, 77, 5200}, true, origins_setup, request, quota_teardown},
};

int main(void)
{
	return bch_main(cases, COUNT_OF(cases));
}
