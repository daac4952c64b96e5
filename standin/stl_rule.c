#include "standin/stl_internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

static struct stl_rule *find_rule(const struct stl_relay *relay, const char *from, const char *to)
{
	struct stl_rule *rule;

	for (rule = relay->rules; rule; rule = rule->next)
		if (strcmp(rule->from, from) == 0 && strcmp(rule->to, to) == 0)
			return rule;
	return NULL;
}

/*
 * Changes the rule with this "from" and "to", or appends one, so rules are ordered by when they
 * were first set. The change takes effect with stl_relay_update(). BC_EINVAL if a text is too long,
 * BC_ENOMEM.
 */
enum bc_status stl_rule_set(struct stl_relay *relay, const struct stl_rule_settings *settings)
{
	struct stl_rule *rule = find_rule(relay, settings->from, settings->to);
	struct stl_rule **end = &relay->rules;

	if (!rule) {
		if (strlen(settings->from) >= BC_ADDRESS_BYTES ||
		    strlen(settings->to) >= BC_ADDRESS_BYTES)
			return bc_fail(relay->ctx, BC_EINVAL, "a rule's from or to is too long");
		rule = calloc(1, sizeof(*rule));
		if (!rule)
			return bc_fail(relay->ctx, BC_ENOMEM, "out of memory");
		memcpy(rule->from, settings->from, strlen(settings->from));
		memcpy(rule->to, settings->to, strlen(settings->to));
		while (*end)
			end = &(*end)->next;
		*end = rule;
	}
	if (settings->delay_us)
		rule->delay_us = *settings->delay_us;
	if (settings->cut)
		rule->cut = *settings->cut;
	return BC_OK;
}

static bool has_prefix(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

/* The first rule for connections from this address over this link, or NULL. */
struct stl_rule *stl_rule_match(const struct stl_link *link, const struct sockaddr_in *source)
{
	char from[INET_ADDRSTRLEN] = "";
	struct stl_rule *rule;

	inet_ntop(AF_INET, &source->sin_addr, from, sizeof(from));
	for (rule = link->relay->rules; rule; rule = rule->next)
		if (has_prefix(from, rule->from) &&
		    (strcmp(rule->to, link->name) == 0 || has_prefix(link->target_text, rule->to)))
			return rule;
	return NULL;
}

/* A list of the rules with their counters; a new reference. */
json_t *stl_rules_json(const struct stl_relay *relay)
{
	json_t *rules = json_array();
	const struct stl_rule *rule;

	for (rule = relay->rules; rule; rule = rule->next)
		json_array_append_new(
			rules, json_pack("{s:s,s:s,s:f,s:b,s:I,s:I,s:I}", "from", rule->from, "to",
					 rule->to, "delay_ms", (double)rule->delay_us / 1000.0,
					 "cut", rule->cut, "accepted", (json_int_t)rule->accepted,
					 "bytes_up", (json_int_t)rule->bytes[STL_UP], "bytes_down",
					 (json_int_t)rule->bytes[STL_DOWN]));
	return rules;
}
