#include "config/config.h"

#include <rapidcheck.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

namespace
{

const std::string kSettings = "id: orange-barn-1\ndomain: orange-barn\nregion: new-england\n"
			      "listen: {callers: 127.0.0.1:80, peers: 127.0.0.1:81}\n"
			      "platform: 127.0.0.1:9\nseeds: [127.0.0.1:1]\n"
			      "keys: [{id: 1, file: a.key, signing: true}]\n"
			      "fleet_key_file: f\nlog_level: info\ndrain_timeout_ms: 100\n";
const std::string kPlans = "plans:\n- name: gold\n  connections: 8\n  replica_reads: true\n"
			   "  max_staleness_ms: 100\n";
const std::string kCustomers = "customers:\n- name: acme\n  plan: gold\n  databases: [jobs, x]\n";

/* Fragments inserted into mutated text, to reach rarely used branches of the YAML parser. */
const std::vector<std::string> kYamlFragments = {
	"&a ", "*a",   "[",  "]",	"{",   "}",	      "\n",   "- ",
	": ",  "---",  "\"", "'",	"|\n", "\t",	      "\xff", "%",
	"!",   "<<: ", "? ", "\"\\0\"", "#",   "99999999999", "~",    "\xc3\xa9"};

rc::Gen<std::string> mutated(const std::string &base)
{
	return rc::gen::exec([base] {
		std::string text = base;
		int edits = *rc::gen::inRange(0, 6);
		for (int i = 0; i < edits; i++) {
			size_t at = *rc::gen::inRange<size_t>(0, text.size() + 1);
			if (*rc::gen::arbitrary<bool>())
				text.insert(at, *rc::gen::elementOf(kYamlFragments));
			else
				text.erase(at, *rc::gen::inRange<size_t>(0, 12));
		}
		return text;
	});
}

/* Checks that each finding has a file, a line and a column from 1 on, and is in the JSON list. */
void check_locations(const bc_findings *findings)
{
	json_t *list = bc_findings_json(findings);
	RC_ASSERT(json_array_size(list) == bc_findings_count(findings));
	for (size_t i = 0; i < json_array_size(list); i++) {
		json_t *f = json_array_get(list, i);
		RC_ASSERT(f != nullptr);
		RC_ASSERT(json_integer_value(json_object_get(f, "line")) >= 1);
		RC_ASSERT(json_integer_value(json_object_get(f, "column")) >= 1);
		RC_ASSERT(strlen(json_string_value(json_object_get(f, "file"))) > 0);
		RC_ASSERT(strlen(json_string_value(json_object_get(f, "message"))) > 0);
	}
	json_decref(list);
}

void check_settings(bc_ctx *ctx, const std::string &text)
{
	bc_findings *findings = bc_findings_create();
	cfg_settings settings;
	bc_status status =
		cfg_settings_parse(ctx, "s.yaml", text.data(), text.size(), &settings, findings);
	RC_ASSERT((status == BC_OK) == (bc_findings_count(findings) == 0));
	RC_ASSERT(status == BC_OK || status == BC_EINVAL);
	check_locations(findings);
	bc_findings_destroy(findings);
}

/* Checks that accepted lists can be loaded into a state, and that refused ones give findings. */
void check_lists(bc_ctx *ctx, const std::string &plans, const std::string &customers)
{
	bc_findings *findings = bc_findings_create();
	json_t *lists = nullptr;
	bc_status status = cfg_lists_parse(ctx, "p.yaml", plans.data(), plans.size(), "c.yaml",
					   customers.data(), customers.size(), &lists, findings);
	RC_ASSERT((status == BC_OK) == (bc_findings_count(findings) == 0));
	check_locations(findings);
	bc_findings_destroy(findings);
	if (status != BC_OK)
		return;
	cfg_state *state = cfg_create(ctx, nullptr, nullptr);
	json_object_set_new(lists, "revision", json_integer(1));
	RC_ASSERT(cfg_adopt(state, lists) == BC_OK);
	cfg_destroy(state);
	json_decref(lists);
}

json_t *make_value(uint64_t revision, int kind)
{
	switch (kind) {
	case 0:
		return json_pack("{s:I,s:[]}", "revision", (json_int_t)revision, "plans");
	case 1:
		return json_pack("{s:f,s:[],s:[]}", "revision", (double)revision, "plans",
				 "customers");
	case 2:
		return json_pack("{s:I,s:[],s:[{s:s}]}", "revision", (json_int_t)revision, "plans",
				 "customers", "name", "a");
	default:
		return json_pack("{s:I,s:[],s:[]}", "revision", (json_int_t)revision, "plans",
				 "customers");
	}
}

} // namespace

int main()
{
	std::unique_ptr<bc_ctx, void (*)(bc_ctx *)> ctx(bc_ctx_create(1), bc_ctx_destroy);
	bool ok = true;

	ok &= rc::check("random text never crashes the parsers", [&](const std::string &text) {
		check_settings(ctx.get(), text);
		check_lists(ctx.get(), text, kCustomers);
		check_lists(ctx.get(), kPlans, text);
	});
	ok &= rc::check("mutated files never crash the parsers", [&] {
		check_settings(ctx.get(), *mutated(kSettings));
		check_lists(ctx.get(), *mutated(kPlans), *mutated(kCustomers));
	});
	ok &= rc::check("no sequence of offers leads to an older revision", [&] {
		cfg_state *state = cfg_create(ctx.get(), nullptr, nullptr);
		uint64_t greatest = 0;
		int offers = *rc::gen::inRange(0, 50);
		for (int i = 0; i < offers; i++) {
			uint64_t revision = *rc::gen::inRange<uint64_t>(0, 20);
			int kind = *rc::gen::inRange(0, 6);
			json_t *value = make_value(revision, kind);
			bc_status status = cfg_adopt(state, value);
			json_decref(value);
			bool newer = kind > 2 && revision > greatest;
			RC_ASSERT((status == BC_OK) == newer);
			if (newer)
				greatest = revision;
			RC_ASSERT(cfg_revision(state) == greatest);
		}
		cfg_destroy(state);
	});
	return ok ? 0 : 1;
}
