#include "standin/ste_endpoint.h"

#include <stdio.h>
#include <string.h>

#define PULL_RETRY_INTERVAL_US (50 * BC_US_PER_MS)
/* Added to the wait time of a log request to get its timeout. */
#define PULL_TIMEOUT_MARGIN_US (500 * BC_US_PER_MS)
#define PULL_MAX_ENTRIES 500
/* Entries executed in one turn of the event loop. */
#define APPLY_BATCH_ENTRIES 200U
/* Delay before another try after an entry that could not be executed. */
#define APPLY_RETRY_INTERVAL_US (100 * BC_US_PER_MS)

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

/* The primary's log differs at pull_after: goes back to the last entry that may be common. */
static void rewind_pull(struct ste_host *host, const json_t *answer)
{
	struct bc_position hint = position_of(json_object_get(answer, "common"));

	host->pull_after = ste_log_last_up_to(ste_database_log(host->database), hint);
	pull_later(host, 0);
}

static void store_entries(struct ste_host *host, const json_t *answer)
{
	struct ste_endpoint *endpoint = host->endpoint;
	json_t *entries = json_object_get(answer, "entries");

	if (ste_database_receive(host->database, host->pull_after, entries, io_now_us()) != BC_OK) {
		bc_log(endpoint->ctx, BC_LOG_ERROR, "receive_failed", "{s:s,s:s}", "database",
		       ste_database_name(host->database), "error", bc_last_message(endpoint->ctx));
		host->pull_after = ste_log_last(ste_database_log(host->database));
		pull_later(host, PULL_RETRY_INTERVAL_US);
		return;
	}
	host->pull_after = ste_log_last(ste_database_log(host->database));
	ste_apply_due(host);
	ste_wait_wake(host);
	pull_later(host, 0);
}

static void on_receive_delay(void *data)
{
	struct ste_host *host = data;
	json_t *answer = host->delayed_answer;

	host->pull_timer = NULL;
	host->delayed_answer = NULL;
	store_entries(host, answer);
	json_decref(answer);
}

static void process_answer(struct ste_host *host, json_t *answer)
{
	const char *status = json_string_value(json_object_get(answer, "status"));
	const json_t *entries = json_object_get(answer, "entries");
	struct ste_endpoint *endpoint = host->endpoint;

	if (!status || (strcmp(status, "mismatch") != 0 && !json_is_array(entries))) {
		pull_later(host, PULL_RETRY_INTERVAL_US);
		return;
	}
	host->contact_us = io_now_us();
	if (strcmp(status, "mismatch") == 0) {
		rewind_pull(host, answer);
	} else if (json_array_size(entries) && endpoint->receive_delay_us) {
		host->delayed_answer = json_incref(answer);
		host->pull_timer = io_timer_add(endpoint->loop, endpoint->receive_delay_us,
						on_receive_delay, host);
	} else {
		store_entries(host, answer);
	}
}

static void on_pull_answer(void *data, const struct io_http_result *result)
{
	struct ste_host *host = data;
	const struct ste_role *role = ste_database_role(host->database);
	json_t *answer = NULL;

	host->pull_call = NULL;
	if (result->outcome == IO_HTTP_COMPLETE && result->status == 200 &&
	    !sta_gate_is_cut(host->endpoint->gate, role->primary))
		answer = json_loads(result->body, 0, NULL);
	if (answer)
		process_answer(host, answer);
	else
		pull_later(host, PULL_RETRY_INTERVAL_US);
	json_decref(answer);
}

/* The peers option takes precedence over follow orders, since it may name a relay's address. */
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
		pull_later(host, PULL_RETRY_INTERVAL_US);
		return;
	}
	snprintf(url, sizeof(url),
		 "http://%s/v1/databases/%s/log?after=%llu&after_term=%llu&term=%llu&limit=%d"
		 "&wait_ms=%llu",
		 primary_address(host, role), ste_database_name(host->database),
		 (unsigned long long)host->pull_after.pos,
		 (unsigned long long)host->pull_after.term, (unsigned long long)role->term,
		 PULL_MAX_ENTRIES, (unsigned long long)wait_ms);
	host->pull_call =
		io_http_send(endpoint->client, "GET", url, headers, NULL,
			     wait_ms * BC_US_PER_MS + PULL_TIMEOUT_MARGIN_US, on_pull_answer, host);
	if (!host->pull_call)
		pull_later(host, PULL_RETRY_INTERVAL_US);
}

/*
 * Cancels the running pull and starts a new one if this copy follows a primary, so that entries
 * from an earlier primary are not stored after a role change.
 */
void ste_pull_restart(struct ste_host *host)
{
	const struct ste_role *role = ste_database_role(host->database);

	io_http_cancel(host->pull_call);
	host->pull_call = NULL;
	io_timer_cancel(host->pull_timer);
	host->pull_timer = NULL;
	json_decref(host->delayed_answer);
	host->delayed_answer = NULL;
	if (!ste_role_may_receive(role, role->term))
		return;
	host->contact_us = io_now_us();
	host->pull_after = ste_log_last(ste_database_log(host->database));
	pull_later(host, 0);
}

static void on_apply_timer(void *data)
{
	struct ste_host *host = data;

	host->apply_timer = NULL;
	ste_apply_due(host);
}

static uint64_t next_apply_us(struct ste_host *host, size_t executed, uint64_t now_us)
{
	uint64_t next = ste_database_applied(host->database).pos + 1;
	uint64_t due_us = ste_log_received_us(ste_database_log(host->database), next) +
			  host->endpoint->apply_delay_us;

	if (executed)
		return BC_US_PER_MS;
	return due_us > now_us && !ste_database_rebuilding(host->database)
		       ? due_us - now_us
		       : APPLY_RETRY_INTERVAL_US;
}

/* Executes the entries that are due and sets a timer for the next ones. */
void ste_apply_due(struct ste_host *host)
{
	struct ste_endpoint *endpoint = host->endpoint;
	uint64_t now_us = io_now_us();
	uint64_t delay_us = endpoint->apply_delay_us;
	size_t executed;

	if (ste_database_role(host->database)->is_primary)
		return;
	executed = ste_database_apply(host->database, APPLY_BATCH_ENTRIES,
				      now_us > delay_us ? now_us - delay_us : 0);
	if (host->apply_timer || ste_database_applied(host->database).pos >=
					 ste_log_last(ste_database_log(host->database)).pos)
		return;
	host->apply_timer = io_timer_add(endpoint->loop, next_apply_us(host, executed, now_us),
					 on_apply_timer, host);
}
