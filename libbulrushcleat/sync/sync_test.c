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
	struct syn_refresh refresh;
	uint64_t now_us;
	uint32_t confirmations;
	uint64_t era;		 /* of the answers */
	json_int_t spec_version; /* of the answers' objects; 0: their specs are empty */
	char events[4096];
};

static void record_event(struct fixture *fixture, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void record_event(struct fixture *fixture, const char *format, ...)
{
	size_t used = strlen(fixture->events);
	va_list args;

	va_start(args, format);
	vsnprintf(fixture->events + used, sizeof(fixture->events) - used, format, args);
	va_end(args);
}

/* Only the calls for endpoints are recorded and answered. */
static void on_list(void *data, enum syn_kind kind, const char *after, bool stale_ok)
{
	if (kind == SYN_ENDPOINTS)
		record_event(data, "list%s%s%s ", after ? ":" : "", after ? after : "",
			     stale_ok ? "~" : "");
}

static void on_watch(void *data, enum syn_kind kind, uint64_t revision,
		     const struct syn_refresh *refresh)
{
	if (kind == SYN_ENDPOINTS)
		record_event(data, "watch:%llu%s ", (unsigned long long)revision,
			     refresh->stale_ok ? "~" : "");
}

static void on_cancel(void *data, enum syn_kind kind)
{
	if (kind == SYN_ENDPOINTS)
		record_event(data, "cancel ");
}

static struct syn_refresh on_refresh(void *data, enum syn_kind kind)
{
	struct fixture *fixture = data;

	(void)kind;
	return fixture->refresh;
}

static void on_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
		       const json_t *spec, uint64_t now_us)
{
	(void)kind;
	(void)now_us;
	record_event(data, "%s%s=%llu ", spec ? "" : "-", name, (unsigned long long)revision);
}

static void on_lost(void *data, enum syn_kind kind, const char *name, uint64_t now_us)
{
	(void)kind;
	(void)now_us;
	record_event(data, "?%s ", name);
}

/* Specs of the tests are empty or {"version": N}. */
static bool on_is_outdated(void *data, enum syn_kind kind, const char *name, const json_t *listed,
			   const json_t *held)
{
	(void)data;
	(void)kind;
	(void)name;
	return json_integer_value(json_object_get(listed, "version")) <
	       json_integer_value(json_object_get(held, "version"));
}

static void on_restored(void *data, uint64_t now_us)
{
	(void)now_us;
	record_event(data, "restored ");
}

static void on_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	(void)kind;
	(void)now_us;
	record_event(data, "complete:%llu ", (unsigned long long)revision);
}

static void on_confirmed(void *data, enum syn_kind kind, uint64_t now_us)
{
	struct fixture *fixture = data;

	(void)now_us;
	if (kind == SYN_ENDPOINTS)
		fixture->confirmations++;
}

static void on_reachable(void *data, bool reachable, uint64_t now_us)
{
	(void)now_us;
	record_event(data, reachable ? "regained " : "lost ");
}

static void setup(struct fixture *fixture)
{
	static const struct syn_ops ops = {.list = on_list,
					   .watch = on_watch,
					   .cancel = on_cancel,
					   .refresh = on_refresh,
					   .changed = on_changed,
					   .lost = on_lost,
					   .is_outdated = on_is_outdated,
					   .restored = on_restored,
					   .complete = on_complete,
					   .confirmed = on_confirmed,
					   .reachable = on_reachable};

	memset(fixture, 0, sizeof(*fixture));
	fixture->now_us = START;
	fixture->refresh.wait_us = 1000 * MS;
	fixture->ctx = bc_ctx_create(1);
	fixture->timers = bc_timers_create();
	fixture->state = syn_create(fixture->ctx, fixture->timers, &ops, fixture);
	syn_start(fixture->state, 0, fixture->now_us);
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
	struct syn_page page = {
		.objects = list, .more = more, .revision = revision, .era = fixture->era};
	json_t *spec = json_object();
	char names[8][32];

	if (fixture->spec_version)
		json_object_set_new(spec, "version", json_integer(fixture->spec_version));
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
	struct syn_page page = {.era = fixture->era};

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

static void on_first_list(void *data, enum syn_kind kind, const char *after, bool stale_ok)
{
	bool *stale_allowed = data;

	(void)after;
	stale_allowed[kind] = stale_ok;
}

/*
 * When all proxies start after a power failure, each sends three listings. Guards against listings
 * at full cost where a stale one is enough, and against a start with an old configuration, which
 * would revert the one that the proxy had applied before.
 */
static void test_load_of_first_listings(void)
{
	static const struct {
		enum syn_kind kind;
		bool stale_ok;
	} cases[] = {{SYN_CONFIG, false}, {SYN_ENDPOINTS, true}, {SYN_PROXIES, false}};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct bc_timers *timers = bc_timers_create();
	struct syn_ops ops = {.list = on_first_list};
	bool stale_allowed[SYN_KINDS] = {true, false, true};
	struct syn_state *sync = syn_create(ctx, timers, &ops, stale_allowed);
	size_t i;

	syn_start(sync, 0, 0);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(stale_allowed[cases[i].kind], cases[i].stale_ok);
	syn_destroy(sync);
	bc_timers_destroy(timers);
	bc_ctx_destroy(ctx);
}

/* Number of listings of each kind. */
struct call_counts {
	uint32_t lists[SYN_KINDS];
	uint32_t refreshes;
};

static void on_counted_list(void *data, enum syn_kind kind, const char *after, bool stale_ok)
{
	struct call_counts *call_counts = data;

	(void)after;
	(void)stale_ok;
	call_counts->lists[kind]++;
}

static void on_counted_watch(void *data, enum syn_kind kind, uint64_t revision,
			     const struct syn_refresh *refresh)
{
	(void)data;
	(void)kind;
	(void)revision;
	(void)refresh;
}

static struct syn_refresh on_counted_refresh(void *data, enum syn_kind kind)
{
	struct call_counts *call_counts = data;

	(void)kind;
	call_counts->refreshes++;
	return (struct syn_refresh){.wait_us = 1000 * MS};
}

static void on_counted_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	(void)data;
	(void)kind;
	(void)revision;
	(void)now_us;
}

static void on_counted_confirmed(void *data, enum syn_kind kind, uint64_t now_us)
{
	(void)data;
	(void)kind;
	(void)now_us;
}

static void on_counted_reachable(void *data, bool reachable, uint64_t now_us)
{
	(void)data;
	(void)reachable;
	(void)now_us;
}

/*
 * All proxies start while the store refuses calls (tvbu-habitsync-grown trouble-2: 70 proxies, 1.1
 * s, 3,463 billed calls a day). Guards against repeated listings of all kinds, and against kinds
 * that are not listed as soon as the store answers again.
 */
static void test_load_of_start_without_store(void)
{
	static const struct syn_ops ops = {.list = on_counted_list,
					   .watch = on_counted_watch,
					   .refresh = on_counted_refresh,
					   .complete = on_counted_complete,
					   .confirmed = on_counted_confirmed,
					   .reachable = on_counted_reachable};
	struct bc_ctx *ctx = bc_ctx_create(1);
	struct bc_timers *timers = bc_timers_create();
	struct syn_page page = {.revision = 5};
	struct call_counts call_counts = {{0}, 0};
	struct syn_state *sync = syn_create(ctx, timers, &ops, &call_counts);
	uint32_t answered[SYN_KINDS] = {0};
	uint64_t now_us;
	int kind;

	syn_start(sync, 0, START);
	for (now_us = START; now_us < START + 3000 * MS; now_us += 5 * MS) {
		bc_timers_run(timers, now_us);
		for (kind = 0; kind < SYN_KINDS; kind++)
			while (answered[kind] < call_counts.lists[kind]) {
				answered[kind]++;
				syn_answer(sync, (enum syn_kind)kind, BC_EAGAIN, &page, now_us);
			}
	}
	/* Every 150 ms on average. */
	CU_ASSERT_TRUE(call_counts.lists[SYN_CONFIG] >= 12 && call_counts.lists[SYN_CONFIG] <= 40);
	CU_ASSERT_TRUE(call_counts.lists[SYN_ENDPOINTS] <= 2);
	CU_ASSERT_TRUE(call_counts.lists[SYN_PROXIES] <= 2);
	/* Failures do not count as listings, of which the second comes soon after the first. */
	CU_ASSERT_EQUAL(call_counts.refreshes, 0);
	while (answered[SYN_CONFIG] == call_counts.lists[SYN_CONFIG])
		bc_timers_run(timers, now_us += 5 * MS);
	memset(&call_counts, 0, sizeof(call_counts));
	syn_answer(sync, SYN_CONFIG, BC_OK, &page, now_us);
	CU_ASSERT_EQUAL(call_counts.lists[SYN_ENDPOINTS], 1);
	CU_ASSERT_EQUAL(call_counts.lists[SYN_PROXIES], 1);
	syn_destroy(sync);
	bc_timers_destroy(timers);
	bc_ctx_destroy(ctx);
}

/* Guards against losing changes between two pages: the watch starts at the first one's revision. */
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
 * Guards against silently losing changes while the store loses its history: an empty answer does
 * not advance the watch's revision, so that the store refuses the old one, which leads to a
 * listing.
 */
static void test_empty_answer_keeps_watch_revision(void)
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

/* Guards against going back to older revisions, from a stale replica of the store or a peer. */
static void test_older_revisions_ignored(void)
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
	CU_ASSERT_EQUAL(syn_document_apply(fixture.state, SYN_ENDPOINTS, document, START),
			BC_EAGAIN);
	json_decref(document);
	EXPECT(&fixture, "");
	teardown(&fixture);
}

/* Guards against losing objects of a peer's copy, and against applying malformed documents. */
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
	CU_ASSERT_EQUAL(syn_document_apply(to.state, SYN_ENDPOINTS, document, START), BC_OK);
	json_decref(document);
	CU_ASSERT_PTR_NOT_NULL(strstr(to.events, "complete:9"));
	CU_ASSERT_EQUAL(syn_version(to.state, SYN_ENDPOINTS).revision, 9);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		document = json_loads(malformed[i], 0, NULL);
		CU_ASSERT_EQUAL(syn_document_apply(to.state, SYN_ENDPOINTS, document, START),
				BC_EINVAL);
		json_decref(document);
	}
	teardown(&from);
	teardown(&to);
}

/*
 * In a fleet of 303 proxies each one gets a change from another proxy, and the full list of 909
 * endpoints has 180 KB. Guards against sending more than what has changed, and against copies that
 * differ from the sender's afterwards.
 */
static void test_load_of_changes(void)
{
	static const struct {
		const char *name;
		const char *receiver_copy; /* the sender's is "a=4 b=9 c=5" */
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
		answer(&to, 10, false, cases[i].receiver_copy);
		answer(&from, 14, false, cases[i].change);
		to.events[0] = '\0';
		document = json_loads(syn_document(from.state, SYN_ENDPOINTS, 9), 0, NULL);
		CU_ASSERT_TRUE(json_array_size(json_object_get(document, "objects")) <= 1);
		CU_ASSERT_EQUAL(syn_document_apply(to.state, SYN_ENDPOINTS, document, START),
				cases[i].status);
		EXPECT(&to, cases[i].expected);
		json_decref(document);
		/* The full copy repairs what the changes could not. */
		document = json_loads(syn_document(from.state, SYN_ENDPOINTS, 0), 0, NULL);
		if (cases[i].status != BC_OK)
			CU_ASSERT_EQUAL(
				syn_document_apply(to.state, SYN_ENDPOINTS, document, START),
				BC_OK);
		json_decref(document);
		CU_ASSERT_EQUAL(syn_version(to.state, SYN_ENDPOINTS).revision,
				syn_version(from.state, SYN_ENDPOINTS).revision);
		teardown(&from);
		teardown(&to);
	}
}

/* Guards against calling an unreachable store too often, or too rarely while there is no copy. */
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
	fixture.refresh.stale_ok = true;
	/* With a complete copy that other proxies update too: at most 16 times in 20 s. */
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
 * All proxies watch while they start. Guards against watches that continue where periodic listings
 * are enough: each watch leads to a listing at full cost when the store has lost its history.
 */
static void test_watch_ends_for_listing(void)
{
	struct fixture fixture;

	setup(&fixture);
	answer(&fixture, 10, false, "a=4");
	fixture.events[0] = '\0';
	fixture.refresh =
		(struct syn_refresh){.wait_us = 20000 * MS, .stale_ok = true, .relist = true};
	syn_watch_recheck(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	EXPECT(&fixture, "cancel ");
	fixture.now_us += 20000 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	teardown(&fixture);
}

/*
 * Load pattern: a store that does not answer, and fallbacks that end since it answers another
 * proxy. Guards against repeated calls at full cost that go on where a listing now and then is
 * enough, and against repetitions before the delay that the fleet's retry budget sets.
 */
static void test_load_of_ended_fallback(void)
{
	struct fixture fixture;
	uint32_t calls = 0;
	uint32_t ms;

	setup(&fixture);
	answer(&fixture, 10, false, "a=4");
	fixture.refresh.retry_min_us = 2000 * MS;
	syn_watch_restart(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	fixture.events[0] = '\0';
	for (ms = 0; ms < 20000; ms++) {
		fail(&fixture, BC_EIO);
		fixture.events[0] = '\0';
		while (!fixture.events[0] && ms < 20000) {
			fixture.now_us += MS;
			ms++;
			bc_timers_run(fixture.timers, fixture.now_us);
		}
		calls += fixture.events[0] != '\0';
	}
	CU_ASSERT_TRUE(calls >= 7 && calls <= 20);
	fail(&fixture, BC_EIO);
	fixture.events[0] = '\0';
	fixture.refresh =
		(struct syn_refresh){.wait_us = 20000 * MS, .stale_ok = true, .relist = true};
	syn_watch_recheck(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	EXPECT(&fixture, "");
	/* A stale listing within a quarter of the interval, then one in each interval. */
	fixture.now_us += 5000 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	answer(&fixture, 11, false, "a=4");
	fixture.events[0] = '\0';
	fixture.now_us += 19999 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "");
	teardown(&fixture);
}

/* A proxy that lists periodically lists at once when it is to watch, and then watches. */
static void test_listing_then_watch(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.refresh =
		(struct syn_refresh){.wait_us = 20000 * MS, .stale_ok = true, .relist = true};
	fixture.events[0] = '\0';
	answer(&fixture, 10, false, "a=4");
	EXPECT(&fixture, "a=4 complete:4 ");
	fixture.now_us += 20000 * MS;
	bc_timers_run(fixture.timers, fixture.now_us);
	EXPECT(&fixture, "list~ ");
	/* The failed listing is repeated as a stale one, since refused calls cost too. */
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
	fixture.refresh = (struct syn_refresh){.wait_us = 1000 * MS};
	fixture.events[0] = '\0';
	syn_watch_restart(fixture.state, SYN_ENDPOINTS, fixture.now_us);
	EXPECT(&fixture, "list ");
	answer(&fixture, 12, false, "a=4");
	EXPECT(&fixture, "complete:4 watch:12 ");
	teardown(&fixture);
}

/* Guards against keeping objects that were deleted before a listing. */
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

/*
 * Guards against a stale answer that is taken as the store's confirmation of the copy, and against
 * a failed stale listing that is repeated as such although the copy must be up to date now.
 */
static void test_confirmations(void)
{
	static const struct {
		bool stale_ok;
		uint32_t confirmations;
	} cases[] = {{false, 2}, {true, 0}};
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup(&fixture);
		fixture.refresh.stale_ok = cases[i].stale_ok;
		answer(&fixture, 5, false, "a=3"); /* a first listing may be stale */
		CU_ASSERT_EQUAL(fixture.confirmations, 0);
		answer(&fixture, 5, false, "");
		answer(&fixture, 6, false, "a=6");
		CU_ASSERT_EQUAL(fixture.confirmations, cases[i].confirmations);
		teardown(&fixture);
	}
	setup(&fixture);
	fixture.refresh.stale_ok = true;
	fixture.refresh.relist = true;
	answer(&fixture, 5, false, "a=3");
	fixture.events[0] = '\0';
	bc_timers_run(fixture.timers, START + 1000 * MS);
	EXPECT(&fixture, "list~ ");
	fixture.refresh.stale_ok = false;
	fail(&fixture, BC_EAGAIN);
	bc_timers_run(fixture.timers, START + 1100 * MS);
	EXPECT(&fixture, "lost list ");
	teardown(&fixture);
}

/* An answer in a case of test_restored_store. */
struct restore_step {
	uint64_t era;
	enum bc_status status;
	uint64_t revision;
	const char *objects;
	json_int_t spec_version;
	bool more;
	const char *expected;
};

/*
 * The store comes back from an older copy: its revisions go back and are given out again. Guards
 * against a copy that ignores what is written after that, that mixes both histories, or that goes
 * back to an older state of an object.
 */
static void test_restored_store(void)
{
	static const struct {
		const char *name;
		struct restore_step steps[6];
	} cases[] = {
		{"a watch is answered from the new era",
		 {{1, BC_OK, 20, "a=17 b=19", 0, false, "a=17 b=19 complete:19 watch:20 "},
		  {2, BC_OK, 12, "a=12", 0, false, "restored list "},
		  {2, BC_OK, 12, "a=12 b=5", 0, false, "a=12 b=5 complete:12 watch:12 "},
		  {2, BC_OK, 17, "a=17", 0, false, "a=17 complete:17 watch:17 "}}},
		{"the watch's revision is not there any more",
		 {{1, BC_OK, 20, "a=17", 0, false, "a=17 complete:17 watch:20 "},
		  {2, BC_EVERSION, 0, "", 0, false, "restored "},
		  {2, BC_OK, 9, "a=8", 0, false, "a=8 complete:8 watch:9 "}}},
		{"an object was created after the copy was made",
		 {{1, BC_OK, 20, "a=5 b=19", 0, false, "a=5 b=19 complete:19 watch:20 "},
		  {2, BC_OK, 12, "a=5", 0, false, "restored list "},
		  {2, BC_OK, 12, "a=5", 0, false, "a=5 ?b complete:5 watch:12 "},
		  {2, BC_OK, 13, "b=13", 0, false, "b=13 complete:13 watch:13 "}}},
		{"an object was deleted after the copy was made",
		 {{1, BC_OK, 20, "a=5", 0, false, "a=5 complete:5 watch:20 "},
		  {2, BC_OK, 12, "a=5", 0, false, "restored list "},
		  {2, BC_OK, 12, "a=5 c=7", 0, false, "a=5 c=7 complete:7 watch:12 "}}},
		{"the listed state is older than the held one",
		 {{1, BC_OK, 20, "a=19", 3, false, "a=19 complete:19 watch:20 "},
		  {2, BC_OK, 12, "a=11", 2, false, "restored list "},
		  {2, BC_OK, 12, "a=11", 2, false, "complete:11 watch:12 "},
		  {2, BC_OK, 13, "a=13", 3, false, "a=13 complete:13 watch:13 "}}},
		{"an answer from before the restore comes after it",
		 {{1, BC_OK, 20, "a=17", 0, false, "a=17 complete:17 watch:20 "},
		  {2, BC_OK, 12, "a=12", 0, false, "restored list "},
		  {1, BC_OK, 21, "a=21", 0, false, "lost "},
		  {2, BC_OK, 12, "a=12", 0, false, "regained a=12 complete:12 watch:12 "}}},
		{"the store is restored between two pages of a listing",
		 {{1, BC_OK, 20, "a=17", 0, false, "a=17 complete:17 watch:20 "},
		  {1, BC_EVERSION, 0, "", 0, false, ""},
		  {1, BC_OK, 21, "a=21", 0, true, "a=21 list:a "},
		  {2, BC_OK, 12, "b=12", 0, false, "restored list "},
		  {2, BC_OK, 12, "a=11 b=12", 0, false, "a=11 b=12 complete:12 watch:12 "}}},
		{"the store is restored twice",
		 {{1, BC_OK, 20, "a=17", 0, false, "a=17 complete:17 watch:20 "},
		  {2, BC_OK, 12, "a=12", 0, false, "restored list "},
		  {3, BC_OK, 9, "a=8", 0, false, "restored a=8 complete:8 watch:9 "}}},
		{"the store begins to state its era",
		 {{0, BC_OK, 20, "a=17", 0, false, "a=17 complete:17 watch:20 "},
		  {1, BC_OK, 21, "a=21", 0, false, "restored list "},
		  {1, BC_OK, 21, "a=21", 0, false, "a=21 complete:21 watch:21 "}}},
	};
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture fixture;

		setup(&fixture);
		fixture.events[0] = '\0';
		for (j = 0; j < 6 && cases[i].steps[j].expected; j++) {
			const struct restore_step *step = &cases[i].steps[j];

			fixture.era = step->era;
			fixture.spec_version = step->spec_version;
			if (step->status == BC_OK)
				answer(&fixture, step->revision, step->more, step->objects);
			else
				fail(&fixture, step->status);
			if (strcmp(fixture.events, step->expected) != 0)
				printf("\n%s, step %zu\n", cases[i].name, j);
			EXPECT(&fixture, step->expected);
			/* Delays before repeated calls are random. */
			fixture.now_us += 100 * MS;
			bc_timers_run(fixture.timers, fixture.now_us);
			if (strcmp(fixture.events, "list ") == 0)
				fixture.events[0] = '\0';
		}
		teardown(&fixture);
	}
}

/*
 * Guards against a kind that is never listed again because its stale listing was on its way when
 * another kind's answer showed the restore.
 */
static void test_restored_store_other_kind(void)
{
	static const bool relist[] = {false, true}; /* periodic stale listings, or a watch */
	struct syn_page page = {.era = 2, .revision = 3};
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(relist) / sizeof(relist[0]); i++) {
		setup(&fixture);
		fixture.era = 1;
		fixture.refresh.stale_ok = true;
		fixture.refresh.relist = relist[i];
		answer(&fixture, 20, false, "a=17");
		bc_timers_run(fixture.timers, START + 1000 * MS);
		fixture.events[0] = '\0';
		syn_answer(fixture.state, SYN_CONFIG, BC_OK, &page, START + 1000 * MS);
		EXPECT(&fixture, "restored cancel list complete:0 ");
		fixture.era = 2;
		answer(&fixture, 9, false, "a=8");
		CU_ASSERT_PTR_NOT_NULL(strstr(fixture.events, "a=8 complete:8 "));
		CU_ASSERT_EQUAL(syn_version(fixture.state, SYN_ENDPOINTS).era, 2);
		teardown(&fixture);
	}
}

/* Guards against versions of a lost history in a copy that was not complete at the restore. */
static void test_restored_store_first_listing(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.era = 1;
	answer(&fixture, 20, true, "a=17 b=19");
	fixture.era = 2;
	answer(&fixture, 9, false, "c=8");
	answer(&fixture, 9, false, "a=7 c=8");
	CU_ASSERT_EQUAL(syn_version(fixture.state, SYN_ENDPOINTS).era, 2);
	CU_ASSERT_EQUAL(syn_version(fixture.state, SYN_ENDPOINTS).revision, 8);
	teardown(&fixture);
}

/* Guards against a stale answer that is taken for the state of the restored store. */
static void test_restored_store_stale(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.era = 1;
	fixture.refresh.stale_ok = true;
	fixture.refresh.relist = true;
	answer(&fixture, 20, false, "a=17");
	fixture.events[0] = '\0';
	bc_timers_run(fixture.timers, START + 1000 * MS);
	EXPECT(&fixture, "list~ ");
	/* Data from before the restore, with the era of the time of the answer. */
	fixture.era = 2;
	answer(&fixture, 20, false, "a=17");
	EXPECT(&fixture, "restored list ");
	answer(&fixture, 9, false, "a=8");
	EXPECT(&fixture, "a=8 complete:8 ");
	/* For a while no stale answers are asked for. */
	bc_timers_run(fixture.timers, START + 10000 * MS);
	EXPECT(&fixture, "list ");
	answer(&fixture, 9, false, "a=8");
	bc_timers_run(fixture.timers, START + 40000 * MS);
	EXPECT(&fixture, "complete:8 list~ ");
	teardown(&fixture);
}

/*
 * Two proxies on either side of a restore exchange copies. Guards against the old history replacing
 * the new one because of its greater revisions, and against changes since a revision of another
 * era.
 */
static void test_documents_of_eras(void)
{
	static const struct {
		const char *name;
		uint64_t sender_era;
		uint64_t receiver_era;
		uint64_t since;
		enum bc_status status;
		const char *expected;
	} cases[] = {
		{"the new history, lower revisions", 2, 1, 0, BC_OK,
		 "restored cancel list a=8 ?b complete:8 "},
		{"changes since a revision of the old era", 2, 1, 7, BC_ECONFLICT,
		 "restored cancel list "},
		{"the old history, greater revisions", 1, 2, 0, BC_EAGAIN, ""},
		{"no era yet", 2, 0, 0, BC_OK, "restored cancel list a=8 ?b complete:8 "},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture from;
		struct fixture to;
		json_t *document;

		setup(&from);
		setup(&to);
		from.era = cases[i].sender_era;
		to.era = cases[i].receiver_era;
		answer(&from, 9, false, from.era < to.era ? "a=17 b=19" : "a=8");
		answer(&to, 20, false, from.era < to.era ? "a=8" : "a=17 b=19");
		to.events[0] = '\0';
		document = json_loads(syn_document(from.state, SYN_ENDPOINTS, cases[i].since), 0,
				      NULL);
		CU_ASSERT_EQUAL(syn_document_apply(to.state, SYN_ENDPOINTS, document, START),
				cases[i].status);
		if (strcmp(to.events, cases[i].expected) != 0)
			printf("\n%s\n", cases[i].name);
		EXPECT(&to, cases[i].expected);
		json_decref(document);
		teardown(&from);
		teardown(&to);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"pages", test_pages},
		{"load_of_first_listings", test_load_of_first_listings},
		{"load_of_start_without_store", test_load_of_start_without_store},
		{"empty_answer_keeps_watch_revision", test_empty_answer_keeps_watch_revision},
		{"older_revisions_ignored", test_older_revisions_ignored},
		{"documents", test_documents},
		{"load_of_changes", test_load_of_changes},
		{"backoff", test_backoff},
		{"confirmations", test_confirmations},
		{"restored_store", test_restored_store},
		{"restored_store_stale", test_restored_store_stale},
		{"restored_store_other_kind", test_restored_store_other_kind},
		{"restored_store_first_listing", test_restored_store_first_listing},
		{"documents_of_eras", test_documents_of_eras},
		{"load_of_ended_fallback", test_load_of_ended_fallback},
		{"watch_ends_for_listing", test_watch_ends_for_listing},
		{"listing_then_watch", test_listing_then_watch},
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
