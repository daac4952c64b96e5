#include "group/group.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A model of many proxies that choose endpoints for reads at the same time, each with its own group
 * state. Endpoints serve SLOTS statements at once and queue the others in order of arrival.
 */

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define MS BC_US_PER_MS
#define STEP_US 200U /* resolution of the model */
#define STEPS_PER_MS 5U
#define START_US (100 * BC_US_PER_S)
#define RUN_MS 4000U
#define PEAK_FROM_MS 1000U
#define PEAK_UNTIL_MS 2000U
#define REPLACED_MS 3000U /* one replica of each group is a new instance from then on */
#define BIN_MS 100U
#define STEPS_MAX ((RUN_MS + 1000U) * STEPS_PER_MS)
#define CHOOSERS_MAX 77U
#define GROUPS 8U
#define ENDPOINTS 3U /* of a group; the first one leads */
#define SLOTS 4U
#define DOMAINS 6U
#define RELAYS 5U /* of an endpoint */
#define STATEMENTS_MAX 16384U
#define READS_PER_S 1093U
#define BIN_STATEMENTS_MIN 8U /* fewer in a step say nothing about evenness */
#define NONE UINT32_MAX

enum stage { ARRIVES, ENDS, ANSWERED, INFORMS };

struct statement {
	uint32_t next;
	uint32_t chooser, group, endpoint;
	enum stage stage;
	uint64_t sent_us, arrived_us;
	uint32_t running, waiting; /* as reported by the relay */
};

struct server {
	uint32_t busy, first, last, queued;
	uint32_t by_relay[RELAYS];
	uint32_t started; /* in the current step of BIN_MS */
};

struct chooser {
	struct grp_state *state;
	char domain[4];
	char region[4];
};

struct figures {
	double evenness;      /* mean over groups and steps of the largest to the mean number */
	double chance;	      /* the same for fair coins; differences below it mean nothing */
	double replaced;      /* share of a group's replica statements on the new instance */
	uint32_t waited;      /* found all slots busy while an equal replica had a free one */
	uint32_t long_queues; /* found more than SLOTS waiting in this case */
	uint64_t queue_p99_us;
	uint32_t statements, leader, far; /* far: in another region than a replica at hand */
};

struct model {
	struct bc_ctx *ctx;
	uint32_t choosers;
	uint64_t age_us;
	struct chooser chooser[CHOOSERS_MAX];
	struct server server[GROUPS][ENDPOINTS];
	struct statement statement[STATEMENTS_MAX];
	uint64_t queue_us[STATEMENTS_MAX];
	uint32_t queue_count;
	uint32_t due[STEPS_MAX]; /* lists of statements by step */
	double evenness_sum, chance_sum;
	uint32_t bins, replaced_new, replaced_all;
	struct figures figures;
};

static uint32_t domain_of(uint32_t group, uint32_t endpoint)
{
	return (group + endpoint) % DOMAINS;
}

static const char *region_of(uint32_t domain)
{
	return domain < DOMAINS / 2 ? "r0" : "r1";
}

static void on_endpoint(void *data, struct grp_endpoint *endpoint)
{
}

static void on_gone(void *data, struct grp_endpoint *endpoint, uint64_t now_us)
{
}

static void on_leader(void *data, struct grp_group *group, uint64_t now_us)
{
}

static void endpoint_id(uint32_t group, uint32_t endpoint, char out[16])
{
	snprintf(out, 16, "g%ue%u", group % GROUPS, endpoint % ENDPOINTS);
}

static void list_endpoint(struct chooser *chooser, uint32_t group, uint32_t endpoint,
			  uint64_t started_ms, uint64_t now_us)
{
	struct grp_info info = {
		.slots = SLOTS, .reports_lead = endpoint == 0, .started_ms = started_ms};
	uint32_t domain = domain_of(group, endpoint);

	endpoint_id(group, endpoint, info.id);
	snprintf(info.group, sizeof(info.group), "g%u", group);
	snprintf(info.address, sizeof(info.address), "10.0.%u.%u:1", group, endpoint);
	snprintf(info.domain, sizeof(info.domain), "d%u", domain);
	snprintf(info.region, sizeof(info.region), "%s", region_of(domain));
	grp_endpoint_set(chooser->state, &info, now_us);
}

static void add_chooser(struct model *model, uint32_t index)
{
	static const struct grp_ops ops = {on_endpoint, on_gone, on_leader};
	struct chooser *chooser = &model->chooser[index];
	uint32_t g;
	uint32_t e;

	snprintf(chooser->domain, sizeof(chooser->domain), "d%u", index % DOMAINS);
	snprintf(chooser->region, sizeof(chooser->region), "%s", region_of(index % DOMAINS));
	chooser->state = grp_create(model->ctx, chooser->domain, chooser->region, &ops, NULL);
	for (g = 0; g < GROUPS; g++) {
		char name[16];

		snprintf(name, sizeof(name), "g%u", g);
		grp_set(chooser->state, name, 46, 0);
		for (e = 0; e < ENDPOINTS; e++)
			list_endpoint(chooser, g, e, 1, START_US);
		grp_peer_sample(grp_find(chooser->state, name), (struct bc_position){1, 1},
				START_US);
	}
}

static uint32_t delay_steps(const struct model *model, const struct statement *s)
{
	uint32_t from = s->chooser % DOMAINS;
	uint32_t to = domain_of(s->group, s->endpoint);

	if (from == to)
		return 1;
	if (strcmp(region_of(from), region_of(to)) != 0)
		return 8 * STEPS_PER_MS;
	return ((from + to) % 2 ? 14U : 34U) * STEPS_PER_MS / 10;
}

static void schedule(struct model *model, uint32_t index, enum stage stage, uint32_t step)
{
	struct statement *s = &model->statement[index];

	if (step >= STEPS_MAX)
		return;
	s->stage = stage;
	s->next = model->due[step];
	model->due[step] = index;
}

static void start(struct model *model, uint32_t index, uint32_t step)
{
	struct statement *s = &model->statement[index];
	struct server *server = &model->server[s->group][s->endpoint];

	server->busy++;
	model->queue_us[model->queue_count++] = START_US + (uint64_t)step * STEP_US - s->arrived_us;
	schedule(model, index, ENDS,
		 step + 12 * STEPS_PER_MS +
			 (uint32_t)bc_random_below(model->ctx, 7 * STEPS_PER_MS + 1));
}

static void arrive(struct model *model, uint32_t index, uint32_t step)
{
	struct statement *s = &model->statement[index];
	struct server *server = &model->server[s->group][s->endpoint];
	const struct server *other = &model->server[s->group][3 - s->endpoint];
	const char *region = model->chooser[s->chooser].region;
	bool other_near =
		s->endpoint && strcmp(region_of(domain_of(s->group, 3 - s->endpoint)), region) == 0;
	bool far = strcmp(region_of(domain_of(s->group, s->endpoint)), region) != 0;

	s->arrived_us = START_US + (uint64_t)step * STEP_US;
	server->by_relay[s->chooser % RELAYS]++;
	server->started++;
	model->figures.statements++;
	model->figures.leader += s->endpoint == 0;
	model->figures.far += far && other_near;
	if (server->busy < SLOTS) {
		start(model, index, step);
		return;
	}
	if (s->endpoint && (other_near || far) && other->busy < SLOTS) {
		model->figures.waited++;
		model->figures.long_queues += server->queued > SLOTS;
	}
	s->next = NONE;
	if (server->queued++)
		model->statement[server->last].next = index;
	else
		server->first = index;
	server->last = index;
}

static void end(struct model *model, uint32_t index, uint32_t step)
{
	struct statement *s = &model->statement[index];
	struct server *server = &model->server[s->group][s->endpoint];

	s->running = server->by_relay[s->chooser % RELAYS]--;
	server->busy--;
	if (server->queued) {
		uint32_t first = server->first;

		server->queued--;
		server->first = model->statement[first].next;
		start(model, first, step);
	}
	schedule(model, index, ANSWERED, step + delay_steps(model, s));
}

/* The information of an answer takes effect the model's age later than the answer itself. */
static void answer(struct model *model, uint32_t index, uint32_t step)
{
	struct statement *s = &model->statement[index];
	uint64_t now_us = START_US + (uint64_t)step * STEP_US;
	struct grp_endpoint *endpoint;
	char id[16];

	endpoint_id(s->group, s->endpoint, id);
	endpoint = grp_endpoint_find(model->chooser[s->chooser].state, id);
	if (s->stage == ANSWERED) {
		grp_relay_answered(endpoint, 0, false, now_us);
		schedule(model, index, INFORMS, step + (uint32_t)(model->age_us / STEP_US) + 1);
		return;
	}
	grp_relay_sent(endpoint);
	grp_relay_answered(endpoint, now_us - model->age_us - s->sent_us, true, now_us);
}

static void send_read(struct model *model, uint32_t index, uint32_t step)
{
	struct statement *s = &model->statement[index];
	struct chooser *chooser;
	struct grp_read_bounds bounds = {.max_age_us = 100 * BC_US_PER_S, .started_us = START_US};
	struct grp_choice choice;
	char name[16];

	s->chooser = (uint32_t)bc_random_below(model->ctx, model->choosers);
	s->group = (uint32_t)bc_random_below(model->ctx, GROUPS);
	s->sent_us = START_US + (uint64_t)step * STEP_US;
	chooser = &model->chooser[s->chooser];
	snprintf(name, sizeof(name), "g%u", s->group);
	choice = grp_choose_read(chooser->state, grp_find(chooser->state, name), &bounds,
				 s->sent_us);
	CU_ASSERT_PTR_NOT_NULL_FATAL(choice.endpoint);
	s->endpoint = (uint32_t)(choice.endpoint->info.id[3] - '0');
	grp_relay_sent(choice.endpoint);
	schedule(model, index, ARRIVES, step + delay_steps(model, s));
}

/* Mean of the larger to the mean number when n statements are divided by a fair coin. */
static double chance_of(uint32_t n)
{
	double p = 1;
	double sum = 0;
	uint32_t k;

	for (k = 0; k < n; k++)
		p /= 2;
	for (k = 0; k <= n; k++) {
		sum += p * (k > n - k ? k : n - k);
		p = p * (n - k) / (k + 1);
	}
	return sum / (n / 2.0);
}

static void end_bin(struct model *model, uint32_t ms)
{
	uint32_t g;

	for (g = 0; g < GROUPS; g++) {
		uint32_t one = model->server[g][1].started;
		uint32_t two = model->server[g][2].started;

		if (one + two >= BIN_STATEMENTS_MIN) {
			model->evenness_sum += (one > two ? one : two) / ((one + two) / 2.0);
			model->chance_sum += chance_of(one + two);
			model->bins++;
		}
		if (ms >= REPLACED_MS && ms < REPLACED_MS + 2 * BIN_MS) {
			model->replaced_new += two;
			model->replaced_all += one + two;
		}
		model->server[g][0].started = 0;
		model->server[g][1].started = 0;
		model->server[g][2].started = 0;
	}
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void run_step(struct model *model, uint32_t step, uint32_t *sent)
{
	uint32_t ms = step / STEPS_PER_MS;
	uint32_t rate =
		ms >= PEAK_FROM_MS && ms < PEAK_UNTIL_MS ? READS_PER_S * 5 / 2 : READS_PER_S;
	uint32_t index = model->due[step];

	while (index != NONE) {
		uint32_t next = model->statement[index].next;

		if (model->statement[index].stage == ARRIVES)
			arrive(model, index, step);
		else if (model->statement[index].stage == ENDS)
			end(model, index, step);
		else
			answer(model, index, step);
		index = next;
	}
	if (ms < RUN_MS && bc_random_below(model->ctx, 1000 * STEPS_PER_MS) < rate)
		send_read(model, (*sent)++, step);
}

static struct figures run(uint32_t choosers, uint64_t age_us)
{
	struct model *model = calloc(1, sizeof(*model));
	struct figures figures;
	uint32_t sent = 0;
	uint32_t step;
	uint32_t i;

	model->ctx = bc_ctx_create(7);
	model->choosers = choosers;
	model->age_us = age_us;
	memset(model->due, 0xff, sizeof(model->due));
	for (i = 0; i < choosers; i++)
		add_chooser(model, i);
	for (step = 0; step < STEPS_MAX; step++) {
		uint32_t ms = step / STEPS_PER_MS;

		if (step == REPLACED_MS * STEPS_PER_MS)
			for (i = 0; i < choosers * GROUPS; i++)
				list_endpoint(&model->chooser[i / GROUPS], i % GROUPS, 2, 2,
					      START_US + (uint64_t)step * STEP_US);
		run_step(model, step, &sent);
		if ((step + 1) % (BIN_MS * STEPS_PER_MS) == 0 && ms < RUN_MS)
			end_bin(model, ms);
	}
	qsort(model->queue_us, model->queue_count, sizeof(model->queue_us[0]), compare);
	model->figures.queue_p99_us = model->queue_us[model->queue_count * 99 / 100];
	model->figures.evenness = model->evenness_sum / model->bins;
	model->figures.chance = model->chance_sum / model->bins;
	model->figures.replaced = (double)model->replaced_new / model->replaced_all;
	figures = model->figures;
	for (i = 0; i < choosers; i++)
		grp_destroy(model->chooser[i].state);
	bc_ctx_destroy(model->ctx);
	free(model);
	return figures;
}

static void test_evenness(void)
{
	static const uint32_t choosers[] = {65, 77};
	static const uint64_t ages_ms[] = {0, 20, 100, 300};
	size_t c;
	size_t a;

	for (c = 0; c < COUNT(choosers); c++)
		for (a = 0; a < COUNT(ages_ms); a++) {
			struct figures f = run(choosers[c], ages_ms[a] * MS);

			printf("\n%u choosers, age %3u ms: evenness %.3f (chance %.3f) new %.2f "
			       "waited %u long %u p99 %.1f ms leader %u far %u of %u",
			       choosers[c], (unsigned int)ages_ms[a], f.evenness, f.chance,
			       f.replaced, f.waited, f.long_queues, (double)f.queue_p99_us / 1000,
			       f.leader, f.far, f.statements);
		}
}

int main(void)
{
	CU_TestInfo tests[] = {{"evenness", test_evenness}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"balance", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
