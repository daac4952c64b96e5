#include "standin/ste_endpoint.h"

#include <stdio.h>
#include <string.h>

#define PULL_RETRY_US (50 * BC_US_PER_MS)
#define PULL_MARGIN_US (500 * BC_US_PER_MS)
#define PULL_LIMIT 500
/* Entries executed in one turn of the loop. */
#define APPLY_BATCH 200U
/* After an entry that could not be executed. */
#define APPLY_RETRY_US (100 * BC_US_PER_MS)

static void pull(void *data);

static void pull_later(struct ste_host *host, uint64_t delay_us)
{
	io_timer_cancel(host->pull_timer);
	host->pull_timer = io_timer_add(host->endpoint->loop, delay_us, pull, host);
}

static struct bc_position position_of(const json_t *json)
{
	return (struct bc_position){(uint64_t)json_integer_value(json_object_get(json, "term")),
				    (uint64_t)json_integer_value(json_object_get(json, "pos"))};
}

/* The primary has another log there: go back to what may still be common. */
static void step_back(struct ste_host *host, const json_t *answer)
{
	struct bc_position hint = position_of(json_object_get(answer, "common"));

	host->pull_at = ste_log_last_before(ste_database_log(host->database), hint);
	pull_later(host, 0);
}

static void store(struct ste_host *host, const json_t *answer)
{
	struct ste_endpoint *endpoint = host->endpoint;
	json_t *entries = json_object_get(answer, "entries");

	if (ste_database_receive(host->database, host->pull_at, entries, io_now_us()) != BC_OK) {
		bc_log(endpoint->ctx, BC_LOG_ERROR, "receive_failed", "{s:s,s:s}", "database",
		       ste_database_name(host->database), "error", bc_last_message(endpoint->ctx));
		host->pull_at = ste_log_last(ste_database_log(host->database));
		pull_later(host, PULL_RETRY_US);
		return;
	}
	host->pull_at = ste_log_last(ste_database_log(host->database));
	ste_apply_kick(host);
	ste_wait_wake(host);
	pull_later(host, 0);
}

static void on_receive_delay(void *data)
{
	struct ste_host *host = data;
	json_t *answer = host->pull_held;

	host->pull_timer = NULL;
	host->pull_held = NULL;
	store(host, answer);
	json_decref(answer);
}

static void take_answer(struct ste_host *host, json_t *answer)
{
	const char *status = json_string_value(json_object_get(answer, "status"));
	const json_t *entries = json_object_get(answer, "entries");
	struct ste_endpoint *endpoint = host->endpoint;

	if (!status || (strcmp(status, "mismatch") != 0 && !json_is_array(entries))) {
		pull_later(host, PULL_RETRY_US);
		return;
	}
	host->contact_us = io_now_us();
	if (strcmp(status, "mismatch") == 0) {
		step_back(host, answer);
	} else if (json_array_size(entries) && endpoint->receive_delay_us) {
		host->pull_held = json_incref(answer);
		host->pull_timer = io_timer_add(endpoint->loop, endpoint->receive_delay_us,
						on_receive_delay, host);
	} else {
		store(host, answer);
	}
}

static void on_pulled(void *data, const struct io_http_result *result)
{
	struct ste_host *host = data;
	const struct ste_role *role = ste_database_role(host->database);
	json_t *answer = NULL;

	host->pull_call = NULL;
	if (result->outcome == IO_HTTP_ANSWERED && result->status == 200 &&
	    !sta_gate_is_cut(host->endpoint->gate, role->primary))
		answer = json_loads(result->body, 0, NULL);
	if (answer)
		take_answer(host, answer);
	else
		pull_later(host, PULL_RETRY_US);
	json_decref(answer);
}

/* This endpoint's own list of peers takes precedence, as it may lead through a relay. */
static const char *primary_address(const struct ste_host *host, const struct ste_role *role)
{
	const struct ste_settings *settings = &host->endpoint->settings;
	size_t i;

	for (i = 0; i < settings->peer_count; i++)
		if (strcmp(settings->peers[i].id, role->primary) == 0)
			return settings->peers[i].address;
	return role->address;
}

static void pull(void *data)
{
	struct ste_host *host = data;
	struct ste_endpoint *endpoint = host->endpoint;
	const struct ste_role *role = ste_database_role(host->database);
	struct io_http_header headers[] = {{STA_NODE_HEADER, endpoint->settings.id}, {NULL, NULL}};
	uint64_t wait_ms = endpoint->settings.pull_wait_ms;
	char url[512];

	host->pull_timer = NULL;
	if (sta_gate_is_cut(endpoint->gate, role->primary)) {
		pull_later(host, PULL_RETRY_US);
		return;
	}
	snprintf(url, sizeof(url),
		 "http://%s/v1/databases/%s/log?after=%llu&after_term=%llu&term=%llu&limit=%d"
		 "&wait_ms=%llu",
		 primary_address(host, role), ste_database_name(host->database),
		 (unsigned long long)host->pull_at.pos, (unsigned long long)host->pull_at.term,
		 (unsigned long long)role->term, PULL_LIMIT, (unsigned long long)wait_ms);
	host->pull_call = io_http_send(endpoint->client, "GET", url, headers, NULL,
				       wait_ms * BC_US_PER_MS + PULL_MARGIN_US, on_pulled, host);
	if (!host->pull_call)
		pull_later(host, PULL_RETRY_US);
}

/*
 * Stops pulling, then starts again if this copy follows a primary. An answer of an earlier primary
 * is thereby never stored after the role has changed.
 */
void ste_pull_restart(struct ste_host *host)
{
	const struct ste_role *role = ste_database_role(host->database);

	io_http_cancel(host->pull_call);
	host->pull_call = NULL;
	io_timer_cancel(host->pull_timer);
	host->pull_timer = NULL;
	json_decref(host->pull_held);
	host->pull_held = NULL;
	if (!ste_role_may_receive(role, role->term))
		return;
	host->contact_us = io_now_us();
	host->pull_at = ste_log_last(ste_database_log(host->database));
	pull_later(host, 0);
}

static void on_apply_timer(void *data)
{
	struct ste_host *host = data;

	host->apply_timer = NULL;
	ste_apply_kick(host);
}

static uint64_t next_apply_us(struct ste_host *host, size_t executed, uint64_t now_us)
{
	uint64_t next = ste_database_applied(host->database).pos + 1;
	uint64_t due_us = ste_log_received_us(ste_database_log(host->database), next) +
			  host->endpoint->apply_delay_us;

	if (executed)
		return BC_US_PER_MS;
	return due_us > now_us && !ste_database_rebuilding(host->database) ? due_us - now_us
									   : APPLY_RETRY_US;
}

/* Executes the entries that are due and sets a timer for the next ones. */
void ste_apply_kick(struct ste_host *host)
{
	struct ste_endpoint *endpoint = host->endpoint;
	uint64_t now_us = io_now_us();
	uint64_t delay_us = endpoint->apply_delay_us;
	size_t executed;

	if (ste_database_role(host->database)->is_primary)
		return;
	executed = ste_database_apply(host->database, APPLY_BATCH,
				      now_us > delay_us ? now_us - delay_us : 0);
	if (host->apply_timer || ste_database_applied(host->database).pos >=
					 ste_log_last(ste_database_log(host->database)).pos)
		return;
	host->apply_timer = io_timer_add(endpoint->loop, next_apply_us(host, executed, now_us),
					 on_apply_timer, host);
}
