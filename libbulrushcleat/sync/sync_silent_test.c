#include "io/suspects.h"
#include "sync/sync.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

/*
 * A proxy's calls to the store in virtual time, over a pool of connections that fall silent all at
 * once, with the longest times that its constants allow.
 */

#define MS BC_US_PER_MS
#define START_US (1000 * BC_US_PER_S)
#define STORE "10.0.0.1:80"
/* As a consistent watcher waits, and what the platform's client adds (plt_store.c, plt_proxy.c). */
#define WATCH_CONFIG_US (1000 * MS)
#define WATCH_ENDPOINTS_US (2000 * MS)
#define WATCH_MARGIN_US (600 * MS)
#define CALL_TIMEOUT_US (900 * MS)
#define CONNECT_US (350 * MS)
#define SLOW_ANSWER_US (400 * MS)
/* Half a second less than the time in which a configuration has to be in force. */
#define KNOWN_WITHIN_US (2500 * MS)
/* Just after the calls that the first silence has ended. */
#define SECOND_SILENCE_US (1900 * MS)
/* Longer than any call and its repetition. */
#define SETTLE_US (6000 * MS)
#define CONNECTIONS_MAX 64U

struct connection {
	bool open;
	bool busy;
	bool silent;
	uint64_t opened_us;
};

struct call {
	bool active;
	bool answered; /* else it ends without an answer */
	uint64_t due_us;
	uint32_t connection;
};

struct store {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	struct syn_state *copies;
	struct sus_state *suspects;
	bool trusts_old; /* does not avoid connections as old as a silent one */
	uint64_t now_us;
	uint64_t config_revision;
	uint64_t known_us; /* when the proxy learned of the new configuration; 0: not yet */
	struct connection connections[CONNECTIONS_MAX];
	struct call calls[SYN_KINDS];
};

/* Takes an idle connection that may be used, a silent one if there is any, or opens one. */
static uint32_t take_connection(struct store *store)
{
	struct sus_choice choice = sus_choose(store->suspects, STORE, store->now_us);
	uint32_t best = CONNECTIONS_MAX;
	uint32_t i;

	if (store->trusts_old)
		choice = (struct sus_choice){false, 0};
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		const struct connection *connection = &store->connections[i];

		if (!connection->open || connection->busy ||
		    !sus_may_use(&choice, store->now_us - connection->opened_us))
			continue;
		if (best == CONNECTIONS_MAX || connection->silent)
			best = i;
	}
	for (i = 0; best == CONNECTIONS_MAX && i < CONNECTIONS_MAX; i++)
		if (!store->connections[i].open)
			best = i;
	if (!store->connections[best].open)
		store->connections[best] =
			(struct connection){.open = true, .opened_us = store->now_us};
	store->connections[best].busy = true;
	return best;
}

static void start_call(struct store *store, enum syn_kind kind, uint64_t answer_us,
		       uint64_t timeout_us)
{
	uint32_t i = take_connection(store);
	const struct connection *connection = &store->connections[i];
	bool opens = connection->opened_us == store->now_us;

	store->calls[kind] = (struct call){
		.active = true,
		.answered = !connection->silent,
		.due_us = store->now_us +
			  (connection->silent ? timeout_us : answer_us + (opens ? CONNECT_US : 0)),
		.connection = i};
}

static void on_list(void *data, enum syn_kind kind, const char *after, bool stale_ok)
{
	(void)after;
	(void)stale_ok;
	start_call(data, kind, SLOW_ANSWER_US, CALL_TIMEOUT_US);
}

static void on_watch(void *data, enum syn_kind kind, uint64_t revision,
		     const struct syn_refresh *refresh)
{
	struct store *store = data;
	bool changed = kind == SYN_CONFIG && revision < store->config_revision;

	start_call(store, kind, changed ? SLOW_ANSWER_US : refresh->wait_us,
		   refresh->wait_us + WATCH_MARGIN_US);
}

static void on_cancel(void *data, enum syn_kind kind)
{
	struct store *store = data;

	store->connections[store->calls[kind].connection].open = false;
	store->calls[kind].active = false;
}

static struct syn_refresh on_refresh(void *data, enum syn_kind kind)
{
	(void)data;
	if (kind == SYN_PROXIES)
		return (struct syn_refresh){
			.wait_us = 30000 * MS, .relist = true, .stale_ok = true};
	return (struct syn_refresh){.wait_us = kind == SYN_CONFIG ? WATCH_CONFIG_US
								  : WATCH_ENDPOINTS_US};
}

static void on_changed(void *data, enum syn_kind kind, const char *name, uint64_t revision,
		       const json_t *spec, uint64_t now_us)
{
	struct store *store = data;

	(void)name;
	(void)spec;
	if (kind == SYN_CONFIG && revision > 1)
		store->known_us = now_us;
}

static void ignore_complete(void *data, enum syn_kind kind, uint64_t revision, uint64_t now_us)
{
	(void)data;
	(void)kind;
	(void)revision;
	(void)now_us;
}

static void ignore_confirmed(void *data, enum syn_kind kind, uint64_t now_us)
{
	(void)data;
	(void)kind;
	(void)now_us;
}

static void ignore_reachable(void *data, bool reachable, uint64_t now_us)
{
	(void)data;
	(void)reachable;
	(void)now_us;
}

/* Ends the call that is due. */
static void end_call(struct store *store, enum syn_kind kind)
{
	struct call call = store->calls[kind];
	json_t *spec = json_object();
	struct syn_object object = {"main", store->config_revision, spec};
	struct syn_page page = {.revision = store->config_revision};

	store->calls[kind].active = false;
	store->connections[call.connection].busy = false;
	if (call.answered) {
		page.objects = &object;
		page.count = kind == SYN_CONFIG ? 1 : 0;
		syn_answer(store->copies, kind, BC_OK, &page, store->now_us);
	} else {
		store->connections[call.connection].open = false;
		sus_call_lost(store->suspects, STORE, store->now_us);
		syn_answer(store->copies, kind, BC_ETIMEOUT, &page, store->now_us);
	}
	json_decref(spec);
}

/* Lets the time pass until a moment, in steps of 1 ms. */
static void run_until(struct store *store, uint64_t until_us)
{
	int kind;

	for (; store->now_us < until_us; store->now_us += MS) {
		bc_timers_run(store->timers, store->now_us);
		for (kind = 0; kind < SYN_KINDS; kind++)
			if (store->calls[kind].active && store->calls[kind].due_us <= store->now_us)
				end_call(store, (enum syn_kind)kind);
	}
}

/* All connections fall silent, and the configuration changes. Calls at work have no answer. */
static void silence(struct store *store, uint32_t idle)
{
	uint32_t i;
	int kind;

	for (i = 0; i < CONNECTIONS_MAX && idle; i++) {
		if (store->connections[i].open)
			continue;
		store->connections[i] =
			(struct connection){.open = true, .opened_us = store->now_us - 500 * MS};
		idle--;
	}
	for (i = 0; i < CONNECTIONS_MAX; i++)
		store->connections[i].silent = store->connections[i].open;
	for (kind = 0; kind < SYN_KINDS; kind++) {
		if (!store->calls[kind].active)
			continue;
		store->calls[kind].answered = false;
		store->calls[kind].due_us += WATCH_MARGIN_US;
	}
	store->config_revision++;
	store->known_us = 0;
}

struct silent_case {
	const char *name;
	uint64_t after_ms; /* the silence, after the last watch of the configuration was answered */
	uint32_t idle;	   /* idle connections that fall silent too */
	uint32_t silences; /* SECOND_SILENCE_US apart; the last one counts */
	bool trusts_old;
	bool in_time;
};

static const struct silent_case silent_cases[] = {
	{"one connection", 1, 0, 1, false, true},
	{"an idle connection, just after an answer", 1, 1, 1, false, true},
	{"an idle connection, in the middle of a watch", 500, 1, 1, false, true},
	{"an idle connection, just before an answer", 999, 1, 1, false, true},
	{"many idle connections", 1, 8, 1, false, true},
	{"many idle connections, a second silence", 1, 8, 2, false, true},
	{"old connections are trusted", 1, 1, 1, true, false},
	{"many old connections are trusted", 500, 8, 1, true, false},
};

/*
 * Guards against a configuration that is known too late when all connections to the store fall
 * silent at the worst moment: calls found one silent connection after another.
 */
static void test_silent_connections(void)
{
	static const struct syn_ops ops = {.list = on_list,
					   .watch = on_watch,
					   .cancel = on_cancel,
					   .refresh = on_refresh,
					   .changed = on_changed,
					   .complete = ignore_complete,
					   .confirmed = ignore_confirmed,
					   .reachable = ignore_reachable};
	size_t i;

	for (i = 0; i < sizeof(silent_cases) / sizeof(silent_cases[0]); i++) {
		const struct silent_case *c = &silent_cases[i];
		struct store store = {
			.now_us = START_US, .config_revision = 1, .trusts_old = c->trusts_old};
		uint64_t began_us;
		uint32_t round;

		store.ctx = bc_ctx_create(i + 1);
		store.timers = bc_timers_create();
		store.suspects = sus_create();
		store.copies = syn_create(store.ctx, store.timers, &ops, &store);
		syn_start(store.copies, 0, store.now_us);
		run_until(&store, START_US + 5000 * MS);
		began_us = store.calls[SYN_CONFIG].due_us;
		run_until(&store, began_us + c->after_ms * MS);
		for (round = 0; round < c->silences; round++) {
			began_us = store.now_us;
			silence(&store, c->idle);
			run_until(&store, began_us + (round + 1 < c->silences ? SECOND_SILENCE_US
									      : SETTLE_US));
		}
		if ((store.known_us && store.known_us - began_us <= KNOWN_WITHIN_US) != c->in_time)
			printf("\n%s: known after %lld ms\n", c->name,
			       store.known_us ? (long long)((store.known_us - began_us) / MS) : -1);
		CU_ASSERT_EQUAL(store.known_us && store.known_us - began_us <= KNOWN_WITHIN_US,
				c->in_time);
		syn_destroy(store.copies);
		sus_destroy(store.suspects);
		bc_timers_destroy(store.timers);
		bc_ctx_destroy(store.ctx);
	}
}

int main(void)
{
	unsigned int failures;
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("sync behind silent connections", NULL, NULL);
	CU_add_test(suite, "silent_connections", test_silent_connections);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
