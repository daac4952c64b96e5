#include "group/group.h"

#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/*
 * A model, in steps of 1 ms, of many proxies that choose endpoints for reads at the same time, each
 * with its own group state. Endpoints serve SLOTS statements at once and queue the others.
 */

#define MS BC_US_PER_MS
#define START_US (100 * BC_US_PER_S)
#define REPLACED_US (START_US + 3 * BC_US_PER_S) /* one replica of each group is a new instance */
#define END_US (START_US + 4 * BC_US_PER_S)
#define BIN_US (100 * MS)
#define REGION(domain) ((domain) / 3)
/* The first endpoint of a group leads. Each endpoint has RELAYS. */
enum { GROUPS = 8, ENDPOINTS = 3, SLOTS = 4, DOMAINS = 6, RELAYS = 5, QUEUE_MAX_MS = 256 };
/* Reads arrive in up to DRAWS draws in each step. The way to all endpoints takes WAY_MS. */
enum { READS_PER_S = 1093, DRAWS = 4, WAY_MS = 2, PROXIES_MAX = 77, STATEMENTS_MAX = 4096 };
/* BLIND: spread without any answer or report, which is a fair coin among the nearest. */
enum mode { COST, SPREAD, BLIND, MODES };
enum stage { ON_WAY, QUEUED, RUNNING, ANSWERED, INFORMS, DONE };

struct server {
	uint32_t domain, busy, queued, started, by_relay[RELAYS];
	char id[BC_ID_BYTES];
};

struct statement {
	uint32_t proxy, reported;
	uint64_t sent_us, at_us; /* at_us: end of the stage, or arrival */
	enum stage stage;
	bool leads;
	struct server *server, *other; /* other: a replica of the group */
};

struct figures {
	double ratios, bins;	       /* largest to mean of the two replicas */
	double new_instance, replicas; /* statements just after the replacement */
	uint32_t leader, all, queue_ms[QUEUE_MAX_MS];
	uint32_t waited, long_queues; /* avoidable: an equal replica had a free slot */
};

static struct model {
	struct bc_ctx *ctx;
	enum mode mode;
	uint32_t proxies, count;
	uint64_t age_us, now_us;
	struct grp_state *proxy[PROXIES_MAX];
	struct server server[GROUPS][ENDPOINTS];
	struct statement statement[STATEMENTS_MAX];
} model;

static void on_endpoint(void *data, struct grp_endpoint *endpoint)
{
}

static void on_gone(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
}

static void on_leader(void *data, struct grp_group *group, uint64_t now_us)
{
}

static void list_endpoint(struct grp_state *state, uint32_t g, uint32_t e, uint64_t instance)
{
	struct server *server = &model.server[g][e];
	struct grp_info info = {.slots = SLOTS, .reports_lead = !e, .started_ms = instance};

	server->domain = (g + e) % DOMAINS;
	snprintf(server->id, sizeof(server->id), "%u-%u", g, e);
	memcpy(info.id, server->id, sizeof(info.id));
	info.group[0] = (char)('0' + g);
	info.domain[0] = (char)('0' + server->domain);
	info.region[0] = (char)('0' + REGION(server->domain));
	grp_endpoint_set(state, &info, model.now_us);
}

static struct grp_state *make_proxy(uint32_t domain)
{
	static const struct grp_ops ops = {on_endpoint, on_gone, on_leader};
	char domain_name[] = {(char)('0' + domain), 0};
	char region_name[] = {(char)('0' + REGION(domain)), 0};
	struct grp_state *state = grp_create(model.ctx, domain_name, region_name, &ops, NULL);
	uint32_t i;

	grp_balance_set(state, model.mode == COST ? GRP_BALANCE_COST : GRP_BALANCE_SPREAD);
	for (i = 0; i < GROUPS * ENDPOINTS; i++)
		list_endpoint(state, i / ENDPOINTS, i % ENDPOINTS, 1);
	for (i = 0; i < GROUPS; i++)
		grp_peer_sample(grp_find(state, (char[]){(char)('0' + i), 0}),
				(struct bc_position){1, 1}, START_US);
	return state;
}

static void send_read(void)
{
	struct grp_read_bounds bounds = {.max_age_us = START_US, .started_us = START_US};
	struct statement *s = &model.statement[model.count++];
	uint32_t g = (uint32_t)bc_random_below(model.ctx, GROUPS);
	uint32_t proxy = (uint32_t)bc_random_below(model.ctx, model.proxies);
	struct grp_group *group = grp_find(model.proxy[proxy], (char[]){(char)('0' + g), 0});
	struct grp_endpoint *endpoint =
		grp_choose_read(model.proxy[proxy], group, &bounds, model.now_us).endpoint;
	int e = endpoint->info.id[2] - '0';

	*s = (struct statement){.proxy = proxy, .sent_us = model.now_us, .leads = !e};
	s->at_us = model.now_us + WAY_MS * MS;
	s->server = &model.server[g][e];
	s->other = &model.server[g][e ? ENDPOINTS - e : 1];
	if (model.mode != BLIND)
		grp_relay_sent(endpoint);
}

/* What an answer tells takes effect the model's age later than the answer itself. */
static void answer(const struct statement *s)
{
	uint64_t answered_us = model.now_us - model.age_us;
	struct grp_endpoint *endpoint = grp_endpoint_find(model.proxy[s->proxy], s->server->id);

	if (s->stage == INFORMS)
		grp_relay_sent(endpoint);
	grp_relay_answered(endpoint, answered_us - s->sent_us, s->stage == INFORMS, model.now_us);
	if (s->stage == INFORMS && model.mode == SPREAD)
		grp_load_reported(endpoint, s->reported, (s->sent_us + answered_us) / 2);
}

/* Moves a statement on to its next stage if that is due. */
static void advance(struct statement *s, struct figures *out)
{
	struct server *server = s->server;
	uint32_t region = REGION(s->proxy % DOMAINS);
	bool equal = (REGION(server->domain) == region) == (REGION(s->other->domain) == region);
	bool avoidable = !s->leads && equal && server->busy == SLOTS && s->other->busy < SLOTS;

	if (s->stage != QUEUED && s->at_us > model.now_us)
		return;
	if (s->stage == ON_WAY) {
		server->started++;
		server->by_relay[s->proxy % RELAYS]++;
		server->queued++;
		s->stage = QUEUED;
		out->all++;
		out->leader += s->leads;
		out->waited += avoidable;
		out->long_queues += avoidable && server->queued > SLOTS + 1;
	}
	if (s->stage == QUEUED && server->busy < SLOTS) {
		out->queue_ms[(model.now_us - s->at_us) / MS % QUEUE_MAX_MS]++;
		server->busy++;
		server->queued--;
		s->at_us = model.now_us + 12 * MS + bc_random_below(model.ctx, 7 * MS);
		s->stage = RUNNING;
	} else if (s->stage == RUNNING) {
		server->busy--;
		s->reported = --server->by_relay[s->proxy % RELAYS];
		s->at_us += WAY_MS * MS;
		s->stage = ANSWERED;
	} else if (s->stage != QUEUED) {
		if (model.mode != BLIND)
			answer(s);
		s->at_us += model.age_us;
		s->stage++;
	}
}

static void end_bin(struct figures *out)
{
	uint32_t g;

	for (g = 0; g < GROUPS; g++) {
		double one = model.server[g][1].started;
		double two = model.server[g][2].started;

		if (one + two > 0 && model.now_us <= REPLACED_US) {
			out->ratios += fmax(one, two) * 2 / (one + two);
			out->bins++;
		} else if (model.now_us <= REPLACED_US + 2 * BIN_US) {
			out->new_instance += two;
			out->replicas += one + two;
		}
		model.server[g][1].started = model.server[g][2].started = 0;
	}
}

static void step(struct figures *out)
{
	bool peak =
		model.now_us >= START_US + BC_US_PER_S && model.now_us < REPLACED_US - BC_US_PER_S;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; model.now_us == REPLACED_US && i < model.proxies * GROUPS; i++)
		list_endpoint(model.proxy[i / GROUPS], i % GROUPS, 2, 2);
	for (i = 0; i < DRAWS; i++)
		if (bc_random_below(model.ctx, 1000 * DRAWS) < READS_PER_S * (peak ? 5 : 2) / 2)
			send_read();
	for (i = 0; i < model.count; i++) {
		advance(&model.statement[i], out);
		if (model.statement[i].stage != DONE)
			model.statement[kept++] = model.statement[i];
	}
	model.count = kept;
	model.now_us += MS;
	if ((model.now_us - START_US) % BIN_US == 0)
		end_bin(out);
}

static struct figures run(enum mode mode, uint32_t proxies, uint64_t age_us)
{
	struct figures out = {0};
	uint32_t seen = 0;
	uint32_t p99_ms = 0;
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= 16; seed++) {
		model = (struct model){.mode = mode, .proxies = proxies, .now_us = START_US};
		model.age_us = age_us;
		model.ctx = bc_ctx_create(seed);
		for (i = 0; i < proxies; i++)
			model.proxy[i] = make_proxy(i % DOMAINS);
		while (model.now_us < END_US)
			step(&out);
		for (i = 0; i < proxies; i++)
			grp_destroy(model.proxy[i]);
		bc_ctx_destroy(model.ctx);
	}
	while (seen + out.queue_ms[p99_ms] < out.all / 100 * 99)
		seen += out.queue_ms[p99_ms++];
	out.ratios /= out.bins;
	out.new_instance /= out.replicas;
	printf("\n%u proxies, %3u ms, mode %d: largest/mean %.3f, new %.2f, waited %u, long %u, "
	       "p99 %u ms, leader %u of %u",
	       proxies, (uint32_t)(age_us / MS), mode, out.ratios, out.new_instance, out.waited,
	       out.long_queues, p99_ms, out.leader, out.all);
	return out;
}

/*
 * Guards against replicas that are overrun in turns. BLIND is what chance alone gives: spread has
 * to be at most half as far above it as cost, and may let reads wait beside a free replica no more
 * often than chance, within three standard deviations.
 */
static void test_many_proxies(void)
{
	static const uint32_t ages_ms[] = {0, 20, 100, 300};
	struct figures f[MODES];
	uint32_t i;
	enum mode mode;

	for (i = 0; i < 8; i++) {
		for (mode = COST; mode < MODES; mode++)
			f[mode] = run(mode, i < 4 ? 65 : 77, ages_ms[i % 4] * MS);
		CU_ASSERT_TRUE(f[SPREAD].ratios - f[BLIND].ratios <=
			       (f[COST].ratios - f[BLIND].ratios) / 2);
		CU_ASSERT_TRUE(f[SPREAD].waited <=
			       f[BLIND].waited + 3 * sqrt(2.0 * f[BLIND].waited));
		CU_ASSERT_TRUE(f[SPREAD].new_instance <= 0.5);
		CU_ASSERT_TRUE(f[SPREAD].leader <= f[COST].leader);
	}
}

int main(void)
{
	unsigned int failures;

	CU_initialize_registry();
	CU_add_test(CU_add_suite("balance", NULL, NULL), "many_proxies", test_many_proxies);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
