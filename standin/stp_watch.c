#include "standin/stp_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MAX_MS 120000U

struct stp_watch {
	struct stp_platform *platform;
	struct stp_watch *next;
	struct io_http_request *request;
	struct io_timer *timer;
	char *name;   /* of the object; NULL for the VM list */
	char *prefix; /* of the objects, instead of a name */
	uint64_t after;
};

static uint64_t query_number(const struct io_http_request *request, const char *name)
{
	const char *text = io_http_query(request, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

static uint64_t watched_version(const struct stp_watch *watch)
{
	if (watch->prefix)
		return stp_store_newest(watch->platform->store, watch->prefix);
	return watch->name ? stp_store_version(watch->platform->store, watch->name)
			   : stp_vms_version(watch->platform->vms);
}

static void watch_free(struct stp_watch *watch)
{
	free(watch->name);
	free(watch->prefix);
	free(watch);
}

static json_t *watched_value(const struct stp_watch *watch)
{
	if (watch->prefix)
		return stp_store_changes(watch->platform->store, watch->prefix, watch->after);
	return watch->name ? stp_store_get(watch->platform->store, watch->name)
			   : stp_vms_json(watch->platform->vms);
}

static void finish_watch(struct stp_watch *watch)
{
	struct stp_platform *platform = watch->platform;

	io_timer_cancel(watch->timer);
	if (watched_version(watch) <= watch->after)
		stp_answer(platform, watch->request, 204, json_object());
	else
		stp_answer(platform, watch->request, 200, watched_value(watch));
	watch_free(watch);
}

static void on_timeout(void *data)
{
	struct stp_watch *watch = data;
	struct stp_watch **link = &watch->platform->watches;

	while (*link != watch)
		link = &(*link)->next;
	*link = watch->next;
	watch->platform->waiting_watches--;
	watch->timer = NULL;
	finish_watch(watch);
}

static void start_watch(struct stp_platform *platform, struct io_http_request *request,
			const char *name, const char *prefix)
{
	uint64_t wait_ms = query_number(request, "wait_ms");
	struct stp_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return;
	watch->platform = platform;
	watch->request = request;
	watch->name = name ? strdup(name) : NULL;
	watch->prefix = prefix ? strdup(prefix) : NULL;
	watch->after = query_number(request, "after");
	if (!wait_ms || watched_version(watch) > watch->after) {
		finish_watch(watch);
		return;
	}
	watch->next = platform->watches;
	platform->watches = watch;
	if (++platform->waiting_watches > platform->peak_waiting_watches)
		platform->peak_waiting_watches = platform->waiting_watches;
	watch->timer = io_timer_add(platform->loop,
				    (wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS) * BC_US_PER_MS,
				    on_timeout, watch);
}

/* GET /v1/watch/NAME: 200 with a version above `after`, 204 after the wait. */
void stp_watch_object(struct stp_platform *platform, struct io_http_request *request,
		      const char *name)
{
	start_watch(platform, request, name, NULL);
}

/* GET /v1/changes?prefix=P: 200 with the versions above `after`, 204 after the wait. */
void stp_watch_changes(struct stp_platform *platform, struct io_http_request *request,
		       const char *prefix)
{
	start_watch(platform, request, NULL, prefix);
}

/* GET /v1/vms with `wait_ms`: 200 with a version above `after`, 204 after the wait. */
void stp_watch_vms(struct stp_platform *platform, struct io_http_request *request)
{
	start_watch(platform, request, NULL, NULL);
}

static bool is_affected(const struct stp_watch *watch, const char *name)
{
	if (watch->prefix)
		return name && strncmp(name, watch->prefix, strlen(watch->prefix)) == 0;
	if (!name || !watch->name)
		return !name && !watch->name;
	return strcmp(watch->name, name) == 0;
}

/* Answers the watches of a changed object, or of the VM list if `name` is NULL. */
void stp_watch_notify(struct stp_platform *platform, const char *name)
{
	struct stp_watch **link = &platform->watches;

	while (*link) {
		struct stp_watch *watch = *link;

		if (!is_affected(watch, name) || watched_version(watch) <= watch->after) {
			link = &watch->next;
			continue;
		}
		*link = watch->next;
		platform->waiting_watches--;
		finish_watch(watch);
	}
}

/* Answers all watches with 503, when an outage begins. */
void stp_watch_fail_all(struct stp_platform *platform)
{
	while (platform->watches) {
		struct stp_watch *watch = platform->watches;

		platform->watches = watch->next;
		platform->waiting_watches--;
		io_timer_cancel(watch->timer);
		sta_gate_error(platform->gate, watch->request, 503, "unavailable",
			       "the platform is down");
		watch_free(watch);
	}
}
