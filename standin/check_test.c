#include "standin/check.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

/* Lines of a history; times are in microseconds. */
#define OP(op, session, outcome, start, end)                                                       \
	"{'op':'" op "','session':'" session "','outcome':'" outcome "','start_us':" #start        \
	",'end_us':" #end
#define WRITE(seq, value, outcome, start, end)                                                     \
	OP("write", "1.2.3.0", outcome, start, end)                                                \
	",'seq':" #seq ",'values':['" value "'],'key':null,'answers':[]}\n"
#define READ(session, of, start, end, rest)                                                        \
	OP("read", session, "ran", start, end)                                                     \
	",'of':'" of "','strong':false,'limit':3,'age_ms':1,'answers':[],'rows':" rest "}\n"
#define TRANSACTION(outcome)                                                                       \
	OP("transaction", "1.2.3.0", outcome, 10, 20)                                              \
	",'seq':1,'values':['1.2.3.0:1/0','1.2.3.0:1/1'],'key':null,'answers':[]}\n"

/* Entries of a log. */
#define INSERT(value)                                                                              \
	"{'sql':'INSERT INTO load(session, seq, request) VALUES (?, ?, ?)',"                       \
	"'params':['1.2.3.0',1,'" value "']}"
#define KEY_ROW "{'sql':'INSERT INTO bulrushcleat_keys VALUES (?)','params':['k']}"
#define ENTRY(pos, statements) "{'pos':" #pos ",'term':1,'statements':[" statements "]}"

#define A "1.2.3.0:1"
#define B "1.2.3.0:2"
#define TWO_WRITES WRITE(1, A, "ran", 10, 20) WRITE(2, B, "ran", 30, 40)
#define TWO_ENTRIES ENTRY(1, INSERT(A)) "," ENTRY(2, KEY_ROW "," INSERT(B))

static struct bc_ctx *ctx;

struct history_case {
	const char *history;
	const char *log;  /* entries; NULL: no log */
	const char *rule; /* of the only violation; NULL: none */
	const char *place;
};

static const struct history_case cases[] = {
	/* No violation: rows beyond the limit, an unknown write, a transaction in one entry. */
	{TWO_WRITES READ("1.2.3.0", "1.2.3.0", 50, 60, "[[2,'" B "'],[1,'" A "']]"), TWO_ENTRIES,
	 NULL, NULL},
	{WRITE(1, A, "unknown", 10, 20), "", NULL, NULL},
	{WRITE(1, A, "unknown", 10, 20), ENTRY(1, INSERT(A)), NULL, NULL},
	{WRITE(1, A, "not_run", 10, 20), "", NULL, NULL},
	{TRANSACTION("ran"), ENTRY(1, INSERT(A "/0") "," INSERT(A "/1")), NULL, NULL},
	{TWO_WRITES READ("1.2.3.0", "1.2.3.0", 50, 60,
			 "[[9,'1.2.3.0:9'],[8,'1.2.3.0:8'],"
			 "[7,'1.2.3.0:7']]"),
	 NULL, NULL, NULL},
	{WRITE(1, A, "ran", 10, 20) READ("1.2.3.1", "1.2.3.0", 900, 950, "[]"), NULL, NULL, NULL},
	{WRITE(1, A, "ran", 10, 20), ENTRY(1, INSERT(A)) "," ENTRY(2, INSERT("4.5.6.0:1")), NULL,
	 NULL},
	/* One violation each. */
	{TWO_WRITES, ENTRY(1, INSERT(A)), "acknowledged_write_missing", "h:2"},
	{TWO_WRITES, TWO_ENTRIES "," ENTRY(3, INSERT(A)), "write_doubled", "log:1/3"},
	{WRITE(1, A, "unknown", 10, 20), ENTRY(1, INSERT(A) "," INSERT(A)), "write_doubled",
	 "log:1/1"},
	{WRITE(1, A, "not_run", 10, 20), ENTRY(1, INSERT(A)), "not_run_write_present", "h:1"},
	{TRANSACTION("not_run") WRITE(2, B, "ran", 30, 40),
	 ENTRY(1, INSERT(A "/0")) "," ENTRY(2, INSERT(A "/1")) "," ENTRY(3, INSERT(B)),
	 "not_run_write_present+not_run_write_present+split_transaction", "h:1"},
	{TRANSACTION("ran"), ENTRY(1, INSERT(A "/0")) "," ENTRY(2, INSERT(A "/1")),
	 "split_transaction", "h:1"},
	{TRANSACTION("unknown"), ENTRY(1, INSERT(A "/0")), "split_transaction", "h:1"},
	{TWO_WRITES, ENTRY(1, INSERT(A) "," INSERT(B)), "mixed_entry", "log:1/1"},
	{TWO_WRITES "{'op':'end','run':'1.2.3'}\n", TWO_ENTRIES "," ENTRY(3, INSERT("1.2.3.0:7")),
	 "unasked_write", "log:1/3"},
	{TWO_WRITES READ("1.2.3.0", "1.2.3.0", 50, 60, "[[1,'" A "']]"), NULL, "own_write_not_read",
	 "h:3"},
	{READ("1.2.3.1", "1.2.3.0", 5, 6, "[[2,'" B "'],[1,'" A "']]")
		 READ("1.2.3.1", "1.2.3.0", 7, 8, "[[2,'" B "']]"),
	 NULL, "read_went_back", "h:2"},
	{WRITE(1, A, "ran", 10, 20) READ("1.2.3.1", "1.2.3.0", 2021, 2030, "[]"), NULL,
	 "stale_read", "h:2"},
	{READ("1.2.3.1", "1.2.3.1", 5, 6, "[[1,'" A "']]"), NULL, "foreign_rows", "h:1"},
	{READ("1.2.3.1", "1.2.3.1", 5, 6, "[[1,'1.2.3.11:4']]"), NULL, "foreign_rows", "h:1"},
	{READ("1.2.3.1", "1.2.3.1", 5, 6, "null"), NULL, "malformed_answer", "h:1"},
	{OP("write", "1.2.3.0", "ran", 1, 2) ",'seq':1,'values':['" A "'],"
					     "'answers':[['q-0','q-1','ran',200]]}\n",
	 NULL, "foreign_answer", "h:1"},
};

/* Turns the single quotes of the cases above into JSON's double quotes. */
static char *unquote(const char *text)
{
	char *out = strdup(text);
	char *quote = out;

	while ((quote = strchr(quote, '\'')))
		*quote = '"';
	return out;
}

static enum bc_status read_history(struct chk_history *history, const char *text)
{
	char *json = unquote(text);
	FILE *in = fmemopen(json, strlen(json), "r");
	enum bc_status status = chk_history_read(ctx, history, in, "h");

	fclose(in);
	free(json);
	return status;
}

static json_t *parse_log(const char *entries)
{
	size_t bytes = strlen(entries) + 32;
	char *quoted = malloc(bytes);
	char *json;
	json_t *log;

	snprintf(quoted, bytes, "{'entries':[%s]}", entries);
	json = unquote(quoted);
	log = json_loads(json, 0, NULL);
	free(json);
	free(quoted);
	return log;
}

/* Joins the rules of the violations by "+". */
static void join_rules(const json_t *report, char *out, size_t bytes)
{
	size_t used = 0;
	size_t i;

	out[0] = '\0';
	for (i = 0; i < json_array_size(report) && used < bytes; i++)
		used += (size_t)snprintf(
			out + used, bytes - used, "%s%s", i ? "+" : "",
			json_string_value(json_object_get(json_array_get(report, i), "rule")));
}

/* Guards against a checker that misses a violation, or reports one in a correct history. */
static void test_rules(void)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		json_t *log = cases[i].log ? parse_log(cases[i].log) : NULL;
		json_t *report = json_array();
		struct chk_history history;
		char rules[256];

		chk_history_init(&history);
		CU_ASSERT_EQUAL(read_history(&history, cases[i].history), BC_OK);
		chk_history_sort(&history);
		if (cases[i].log)
			CU_ASSERT_EQUAL(chk_log(ctx, &history, log, report), BC_OK);
		chk_sessions(&history, report);
		join_rules(report, rules, sizeof(rules));
		if (strcmp(rules, cases[i].rule ? cases[i].rule : "") != 0)
			printf("\ncase %zu found: %s\n", i, rules);
		CU_ASSERT_STRING_EQUAL(rules, cases[i].rule ? cases[i].rule : "");
		if (cases[i].place && json_array_size(report))
			CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(
						       json_array_get(report, 0), "place")),
					       cases[i].place);
		chk_history_free(&history);
		json_decref(report);
		json_decref(log);
	}
}

/* Guards against malformed input that is skipped without an error, which hides violations. */
static void test_bad_input(void)
{
	static const char *const histories[] = {
		"{\n",
		"[]\n",
		"{'op':'read'}\n",
		OP("read", "a", "ran", 1, 2) "}\n",
		OP("write", "a", "ran", 1, 2) ",'seq':1,'values':[]}\n",
		OP("write", "a", "ran", 1, 2) ",'seq':1,'values':[1]}\n",
		OP("write", "a", "done", 1, 2) ",'seq':1,'values':['a:1']}\n",
		OP("delete", "a", "ran", 1, 2) ",'seq':1,'values':['a:1']}\n",
		"{'op':'end'}\n",
	};
	static const char *const logs[] = {"{}", "{'pos':1}", "1"};
	struct chk_history history;
	json_t *report = json_array();
	size_t i;

	for (i = 0; i < sizeof(histories) / sizeof(histories[0]); i++) {
		chk_history_init(&history);
		CU_ASSERT_EQUAL(read_history(&history, histories[i]), BC_EINVAL);
		CU_ASSERT_PTR_NOT_NULL(strstr(bc_last_message(ctx), "h:1:"));
		chk_history_free(&history);
	}
	chk_history_init(&history);
	CU_ASSERT_EQUAL(chk_log(ctx, &history, NULL, report), BC_EINVAL);
	for (i = 0; i < sizeof(logs) / sizeof(logs[0]); i++) {
		json_t *log = parse_log(logs[i]);

		CU_ASSERT_EQUAL(chk_log(ctx, &history, log, report), BC_EINVAL);
		json_decref(log);
	}
	chk_history_free(&history);
	json_decref(report);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"rules", test_rules}, {"bad_input", test_bad_input}, CU_TEST_INFO_NULL};
	CU_SuiteInfo suites[] = {{"check", NULL, NULL, NULL, NULL, tests}, CU_SUITE_INFO_NULL};
	unsigned int failures;

	ctx = bc_ctx_create(1);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	bc_ctx_destroy(ctx);
	return failures ? 1 : 0;
}
