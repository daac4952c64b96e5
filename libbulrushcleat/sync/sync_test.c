#include "sync/sync.h"

#include <CUnit/Basic.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define START (1000 * BC_US_PER_S)
#define MS BC_US_PER_MS

struct fixture {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct syn_state *state;
	struct syn_wait wait;
	uint64_t now_us;
	char events[4096];
};

static void note(struct fixture *fixture, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void note(struct fixture *fixture, const char *format, ...)
{
	size_t used = strlen(fixture->events);
	va_list args;

	va_start(args, format);
	vsnprintf(fixture->events + used, sizeof(fixture->events) - used, format, args);
	va_end(args);
}

/* Only the endpoints are followed; the other kinds' calls stay unanswered and unnoted. */
static void on_list(void *data, enum syn_kind kind, const char *after, bool may_lag)
{
	if (kind == SYN_ENDPOINTS)
		note(data, "list%s%s%s ", after ? ":" : "", after ? after : "", may_lag ? "~" : "");
}

static void on_watch(void *data, enum syn_kind kind, uint64_t revision, const struct syn_wait *wait)
{
	if (kind == SYN_ENDPOINTS)
		note(data, "watch:%llu%s ", (unsigned long long)revision, wait->may_lag ? "~" : "");
}

static void on_cancel(void *data, enum syn_kind kind)
{
	if (kind == SYN_ENDPOINTS)
		note(data, "cancel ");
}

static struct syn_wait on_wait(void *data, enum syn_kind kind)
{
	struct fixture *fixture = data;

	(void)kind;
	return fixture->wait;
}

static void on_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
		       const json_t *spec, uint64_t now_us)
{
	(void)kind;
	(void)now_us;
	note(data, "%s%s=%llu ", spec ? "" : "-", name, (unsigned long long)revision);
}

static void on_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	(void)kind;
	(void)now_us;
	note(data, "complete:%llu ", (unsigned long long)revision);
}

static void on_reachable(void *data, bool reachable, uint64_t now_us)
{
	(void)now_us;
	note(data, reachable ? "regained " : "lost ");
}

static void setup(struct fixture *fixture)
{
	static const struct syn_ops ops = {on_list,    on_watch,    on_cancel,	 on_wait,
					   on_changed, on_complete, on_reachable};

	memset(fixture, 0, sizeof(*fixture));
	fixture->now_us = START;
	fixture->wait.wait_us = 1000 * MS;
	fixture->ctx = bc_ctx_create(1);
	fixture->timers = bc_timers_create();
	fixture->state = syn_create(fixture->ctx, fixture->timers, &ops, fixture);
	syn_start(fixture->state, fixture->now_us);
}

static void teardown(struct fixture *fixture)
{
	syn_destroy(fixture->state);
	bc_timers_destroy(fixture->timers);
	bc_ctx_destroy(fixture->ctx);
}

/* Answers with objects written as "name=revision", a deleted one as "-name=revision". */
static void answer(struct fixture *fixture, uint64_t revision, bool more, const char *objects)
{
	struct syn_object list[8];
	struct syn_page page = {.objects = list, .more = more, .revision = revision};
	json_t *spec = json_object();
	char names[8][32];

	while (*objects) {
		struct syn_object *object = &list[page.count];
		unsigned long long number;
		int length = 0;

		sscanf(objects, " %31[^=]=%llu%n", names[page.count], &number, &length);
		objects += length;
		object->spec = names[page.count][0] == '-' ? NULL : spec;
		object->name = names[page.count] + (names[page.count][0] == '-');
		object->revision = number;
		page.count++;
	}
	syn_answer(fixture->state, SYN_ENDPOINTS, BC_OK, &page, fixture->now_us);
	json_decref(spec);
}

static void fail(struct fixture *fixture, enum bc_status status)
{
	struct syn_page page = {0};

	syn_answer(fixture->state, SYN_ENDPOINTS, status, &page, fixture->now_us);
}

#define EXPECT(fixture, text)                                                                      \
	do {                                                                                       \
		if (strcmp((fixture)->events, text) != 0)                                          \
			printf("\n%s:%d: got      \"%s\"\n  expected \"%s\"\n", __func__,          \
			       __LINE__, (fixture)->events, text);                                 \
		CU_ASSERT_STRING_EQUAL((fixture)->events, text);                                   \
		(fixture)->events[0] = '\0';                                                       \
	} while (0)

static void on_first_list(void *data, enum syn_kind kind, const char *after, bool may_lag)
{
	bool *lags = data;

	(void)after;
	lags[kind] = may_lag;
}

/*
 * The load of a start of all proxies after a loss of power: three listings each. Guards against
 * listings at the full price where one that lags does, and against a start with an old
 * configuration, which would take back what the proxy had in force before.
 */
static void test_load_of_first_listings(void)
{
	static const struct {
		enum syn_kind kind;
		bool may_lag;
	} cases[] = {{SYN_CONFIG, false}, {SYN_ENDPOINTS, true}, {SYN_PROXIES, false}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct bc_timers *timers = bc_timers_create();
	struct syn_ops ops = {.list = on_first_list};
	bool lags[SYN_KINDS] = {true, false, true};
	struct syn_state *sync = syn_create(ctx, timers, &ops, lags);
	size_t i;

	syn_start(sync, 0);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(lags[cases[i].kind], cases[i].may_lag);
	syn_destroy(sync);
	bc_timers_destroy(timers);
	bc_ctx_destroy(ctx);
}

/* Counts the calls of each kind. */
struct tally {
	uint32_t lists[SYN_KINDS];
};

static void on_tally_list(void *data, enum syn_kind kind, const char *after, bool may_lag)
{
	struct tally *tally = data;

	(void)after;
	(void)may_lag;
	tally->lists[kind]++;
}

static void on_tally_watch(void *data, enum syn_kind kind, uint64_t revision,
			   const struct syn_wait *wait)
{
	(void)data;
	(void)kind;
	(void)revision;
	(void)wait;
}

static struct syn_wait on_tally_wait(void *data, enum syn_kind kind)
{
	(void)data;
	(void)kind;
	return (struct syn_wait){.wait_us = 1000 * MS};
}

static void on_tally_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	(void)data;
	(void)kind;
	(void)revision;
	(void)now_us;
}

static void on_tally_reachable(void *data, bool reachable, uint64_t now_us)
{
	(void)data;
	(void)reachable;
	(void)now_us;
}

/*
 * The load of a fleet that starts while the store refuses calls (tvbu-habitsync-grown trouble-2:
 * 70 proxies, 1.1 s, 3,463 priced calls a day). Guards against asking for all kinds again and
 * again, and against kinds that are not asked for at once when the store answers.
 */
static void test_load_of_a_start_without_the_store(void)
{
	static const struct syn_ops ops = {.list = on_tally_list,
					   .watch = on_tally_watch,
					   .wait = on_tally_wait,
					   .complete = on_tally_complete,
					   .reachable = on_tally_reachable};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct bc_timers *timers = bc_timers_create();
	struct syn_page page = {.revision = 5};
	struct tally tally = {{0}};
	struct syn_state *sync = syn_create(ctx, timers, &ops, &tally);
	uint32_t answered[SYN_KINDS] = {0};
	uint64_t now_us;
	int kind;

	syn_start(sync, START);
	for (now_us = START; now_us < START + 3000 * MS; now_us += 5 * MS) {
		bc_timers_run(timers, now_us);
		for (kind = 0; kind < SYN_KINDS; kind++)
			while (answered[kind] < tally.lists[kind]) {
				answered[kind]++;
				syn_answer(sync, (enum syn_kind)kind, BC_EAGAIN, &page, now_us);
			}
	}
	/* Each 150 ms in the mean. */
	CU_ASSERT_TRUE(tally.lists[SYN_CONFIG] >= 12 && tally.lists[SYN_CONFIG] <= 40);
	CU_ASSERT_TRUE(tally.lists[SYN_ENDPOINTS] <= 2);
	CU_ASSERT_TRUE(tally.lists[SYN_PROXIES] <= 2);
	while (answered[SYN_CONFIG] == tally.lists[SYN_CONFIG])
		bc_timers_run(timers, now_us += 5 * MS);
	memset(&tally, 0, sizeof(tally));
	syn_answer(sync, SYN_CONFIG, BC_OK, &page, now_us);
	CU_ASSERT_EQUAL(tally.lists[SYN_ENDPOINTS], 1);
	CU_ASSERT_EQUAL(tally.lists[SYN_PROXIES], 1);
	syn_destroy(sync);
	bc_timers_destroy(timers);
	bc_ctx_destroy(ctx);
}

/* Guards against a change between two pages being lost: the watch begins at the first page. */
static void test_pages(void)
{
	struct fixture fixture;

	setup(&fixture);
	EXPECT(&fixture, "list~ ");
	answer(&fixture, 10, true, "a=4 b=5");
	EXPECT(&fixture, "a=4 b=5 list:b~ ");
	answer(&fixture, 12, false, "c=6");
	EXPECT(&fixture, "c=6 complete:6 watch:10 ");
	answer(&fixture, 12, false, "a=11 -b=12");
	EXPECT(&fixture, "a=11 -b=12 complete:12 watch:12 ");
	teardown(&fixture);
}

/*
 * Guards against silent loss while the store drops its history: an empty answer does not move the
 * watch on, so that the store has to refuse the old revision, which leads to a listing.
 */
static void test_empty_answer_does_not_move_on(void)
{
	struct fixture fixture;

	setup(&fixture);
	answer(&fixture, 10, false, "a=4");
	fixture.events[0] = '\0';
	answer(&fixture, 14, false, "");
	EXPECT(&fixture, "watch:10 ");
	fail(&fixture, BC_EVERSION);
	EXPECT(&fixture, "");
	fixture.now_us += 200 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list ");
	answer(&fixture, 15, false, "a=13");
	EXPECT(&fixture, "a=13 complete:13 watch:15 ");
	teardown(&fixture);
}

/* Guards against going back: older revisions, of a lagging copy or a peer, change nothing. */
static void test_never_back(void)
{
	json_t *document;
	struct fixture fixture;

	setup(&fixture);
	answer(&fixture, 10, false, "a=9");
	fixture.events[0] = '\0';
	answer(&fixture, 11, false, "a=7");
	EXPECT(&fixture, "complete:9 watch:11 ");
	document = json_pack("{s:i,s:[{s:s,s:i,s:{}}]}", "revision", 8, "objects", "name", "a",
			     "revision", 8, "spec");
	CU_ASSERT_EQUAL(syn_document_offer(fixture.state, SYN_ENDPOINTS, document, START),
			BC_EAGAIN);
	json_decref(document);
	EXPECT(&fixture, "");
	teardown(&fixture);
}

/* Guards against losing what a peer knows, and against taking malformed copies. */
static void test_documents(void)
{
	static const char *const malformed[] = {
		"{}",
		"{\"revision\":9}",
		"{\"revision\":9,\"objects\":[{\"name\":1}]}",
		"{\"revision\":\"9\",\"objects\":[]}",
		"[]",
		"{\"revision\":99,\"objects\":[],\"since\":9}",
		"{\"revision\":99,\"objects\":[],\"since\":9,\"deleted\":[{}],\"digest\":1}"};
	struct fixture from;
	struct fixture to;
	json_t *document;
	size_t i;

	setup(&from);
	setup(&to);
	answer(&from, 10, false, "a=4 b=9");
	to.events[0] = '\0';
	document = json_loads(syn_document(from.state, SYN_ENDPOINTS, 0), 0, NULL);
	CU_ASSERT_PTR_NULL(syn_document(to.state, SYN_ENDPOINTS, 0));
	CU_ASSERT_EQUAL(syn_document_offer(to.state, SYN_ENDPOINTS, document, START), BC_OK);
	json_decref(document);
	CU_ASSERT_PTR_NOT_NULL(strstr(to.events, "complete:9"));
	CU_ASSERT_EQUAL(syn_revision(to.state, SYN_ENDPOINTS), 9);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		document = json_loads(malformed[i], 0, NULL);
		CU_ASSERT_EQUAL(syn_document_offer(to.state, SYN_ENDPOINTS, document, START),
				BC_EINVAL);
		json_decref(document);
	}
	teardown(&from);
	teardown(&to);
}

/*
 * The load of a change in a large fleet: each of 303 proxies takes it over from another one, and
 * the whole list of 909 endpoints has 180 KB. Guards against sending more than has changed, and
 * against copies that differ from the sender's afterwards.
 */
static void test_load_of_changes(void)
{
	static const struct {
		const char *name;
		const char *held; /* by the receiver, before; the sender had "a=4 b=9 c=5" */
		const char *change;
		const char *expected;
		enum bc_status status;
	} cases[] = {
		{"an object changes", "a=4 b=9 c=5", "a=12", "a=12 complete:12 ", BC_OK},
		{"one is new", "a=4 b=9 c=5", "d=12", "d=12 complete:12 ", BC_OK},
		{"one is deleted", "a=4 b=9 c=5", "-c=12", "-c=12 complete:12 ", BC_OK},
		{"deleted and created again", "a=4 b=9 c=5", "-c=12 c=13", "c=13 complete:13 ",
		 BC_OK},
		{"the receiver lacks an object", "a=4 b=9", "a=12", "a=12 ", BC_ECONFLICT},
		{"the receiver has an old one", "a=3 b=9 c=5", "b=12", "b=12 ", BC_ECONFLICT},
		{"one that was deleted long ago", "a=4 b=9 c=5 e=2", "a=12", "a=12 ", BC_ECONFLICT},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture from;
		struct fixture to;
		json_t *document;

		setup(&from);
		setup(&to);
		answer(&from, 10, false, "a=4 b=9 c=5");
		answer(&to, 10, false, cases[i].held);
		answer(&from, 14, false, cases[i].change);
		to.events[0] = '\0';
		document = json_loads(syn_document(from.state, SYN_ENDPOINTS, 9), 0, NULL);
		CU_ASSERT_TRUE(json_array_size(json_object_get(document, "objects")) <= 1);
		CU_ASSERT_EQUAL(syn_document_offer(to.state, SYN_ENDPOINTS, document, START),
				cases[i].status);
		EXPECT(&to, cases[i].expected);
		json_decref(document);
		/* The whole copy mends what changes could not. */
		document = json_loads(syn_document(from.state, SYN_ENDPOINTS, 0), 0, NULL);
		if (cases[i].status != BC_OK)
			CU_ASSERT_EQUAL(
				syn_document_offer(to.state, SYN_ENDPOINTS, document, START),
				BC_OK);
		json_decref(document);
		CU_ASSERT_EQUAL(syn_revision(to.state, SYN_ENDPOINTS),
				syn_revision(from.state, SYN_ENDPOINTS));
		teardown(&from);
		teardown(&to);
	}
}

/* Guards against a store that is away being asked too often, or not asked when it is needed. */
static void test_backoff(void)
{
	struct fixture fixture;
	uint32_t calls = 0;
	uint32_t ms;

	setup(&fixture);
	fixture.events[0] = '\0';
	/* Without a copy: at least every 250 ms. */
	fail(&fixture, BC_EIO);
	EXPECT(&fixture, "lost ");
	for (ms = 0; ms < 2000; ms++) {
		fixture.now_us += MS;
		bc_timers_run(fixture.timers, fixture.now_us);
		if (fixture.events[0]) {
			calls++;
			fixture.events[0] = '\0';
			fail(&fixture, BC_EIO);
		}
	}
	CU_ASSERT_TRUE(calls >= 8);
	answer(&fixture, 10, false, "a=4");
	fixture.wait.may_lag = true;
	/* With a copy that others keep up: a few times. */
	for (calls = 0, ms = 0; ms < 20000; ms++) {
		if (fixture.events[0]) {
			calls++;
			fixture.events[0] = '\0';
			fail(&fixture, BC_EIO);
			fixture.events[0] = '\0';
		}
		fixture.now_us += MS;
		bc_timers_run(fixture.timers, fixture.now_us);
	}
	CU_ASSERT_TRUE(calls >= 4 && calls <= 16);
	teardown(&fixture);
}

/*
 * All proxies watch while they start. Guards against watches that go on where a listing from time
 * to time is enough: each one ends in a listing at the full price when its history is gone.
 */
static void test_watch_ends_for_listing(void)
{
	struct fixture fixture;

	setup(&fixture);
	answer(&fixture, 10, false, "a=4");
	fixture.events[0] = '\0';
	fixture.wait = (struct syn_wait){.wait_us = 20000 * MS, .may_lag = true, .list = true};
	syn_unwatch(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	EXPECT(&fixture, "cancel ");
	fixture.now_us += 20000 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	teardown(&fixture);
}

/* A proxy without a watch lists from time to time, and takes a watch over at once. */
static void test_listing_and_takeover(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.wait = (struct syn_wait){.wait_us = 20000 * MS, .may_lag = true, .list = true};
	fixture.events[0] = '\0';
	answer(&fixture, 10, false, "a=4");
	EXPECT(&fixture, "a=4 complete:4 ");
	fixture.now_us += 20000 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	/* Repeated as it was: refused calls have their price too. */
	fail(&fixture, BC_EAGAIN);
	fixture.now_us += 400 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "lost ");
	fixture.now_us += 1200 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	answer(&fixture, 11, true, "a=4");
	EXPECT(&fixture, "regained list:a~ ");
	answer(&fixture, 11, false, "");
	fixture.wait = (struct syn_wait){.wait_us = 1000 * MS};
	fixture.events[0] = '\0';
	syn_rewatch(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	EXPECT(&fixture, "list ");
	answer(&fixture, 12, false, "a=4");
	EXPECT(&fixture, "complete:4 watch:12 ");
	teardown(&fixture);
}

/* Guards against deleted objects that a listing does not show staying for ever. */
static void test_listing_deletes(void)
{
	struct fixture fixture;

	setup(&fixture);
	answer(&fixture, 10, false, "a=4 b=5");
	fail(&fixture, BC_EVERSION);
	fixture.now_us += 200 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	fixture.events[0] = '\0';
	answer(&fixture, 20, false, "b=5");
	EXPECT(&fixture, "-a=20 complete:20 watch:20 ");
	teardown(&fixture);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"pages", test_pages},
		{"load_of_first_listings", test_load_of_first_listings},
		{"load_of_a_start_without_the_store", test_load_of_a_start_without_the_store},
		{"empty_answer_does_not_move_on", test_empty_answer_does_not_move_on},
		{"never_back", test_never_back},
		{"documents", test_documents},
		{"load_of_changes", test_load_of_changes},
		{"backoff", test_backoff},
		{"watch_ends_for_listing", test_watch_ends_for_listing},
		{"listing_and_takeover", test_listing_and_takeover},
		{"listing_deletes", test_listing_deletes},
		CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"sync", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
