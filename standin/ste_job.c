#include "standin/ste_endpoint.h"

#include <stdlib.h>

static void queue_push(struct ste_queue *queue, struct ste_job *job)
{
	job->next = NULL;
	job->queue = queue;
	if (queue->last)
		queue->last->next = job;
	else
		queue->first = job;
	queue->last = job;
}

static void queue_remove(struct ste_job *job)
{
	struct ste_queue *queue = job->queue;
	struct ste_job *previous = NULL;
	struct ste_job *current = queue ? queue->first : NULL;

	while (current && current != job) {
		previous = current;
		current = current->next;
	}
	job->queue = NULL;
	if (!current)
		return;
	if (previous)
		previous->next = job->next;
	else
		queue->first = job->next;
	if (queue->last == job)
		queue->last = previous;
}

static void stop_timer(struct ste_job *job)
{
	io_timer_cancel(job->timer);
	job->timer = NULL;
}

static void acquire_slot(struct ste_job *job);

static void release_slot(struct ste_endpoint *endpoint)
{
	struct ste_job *next = endpoint->slot_queue.first;

	endpoint->busy--;
	if (!next)
		return;
	queue_remove(next);
	acquire_slot(next);
}

static void on_service_end(void *data)
{
	struct ste_job *job = data;
	struct ste_endpoint *endpoint = job->connection->endpoint;

	job->timer = NULL;
	job->in_service = false;
	ste_job_execute(job);
	release_slot(endpoint);
}

static uint64_t service_us(const struct ste_job *job)
{
	const struct ste_settings *settings = &job->connection->endpoint->settings;
	size_t statements = json_array_size(job->statements);
	uint64_t cost_us = job->writes ? settings->write_cost_us : settings->read_cost_us;

	return cost_us * (statements ? statements : 1);
}

static void acquire_slot(struct ste_job *job)
{
	struct ste_endpoint *endpoint = job->connection->endpoint;

	if (endpoint->busy >= endpoint->settings.slots) {
		queue_push(&endpoint->slot_queue, job);
		return;
	}
	endpoint->busy++;
	if (endpoint->busy > endpoint->counters.peak_busy)
		endpoint->counters.peak_busy = endpoint->busy;
	job->in_service = true;
	job->timer = io_timer_add(endpoint->loop, service_us(job), on_service_end, job);
}

static void on_lock_timeout(void *data)
{
	struct ste_job *job = data;

	job->timer = NULL;
	queue_remove(job);
	ste_job_refuse(job, "lock_timeout");
}

/*
 * Starts a job. A writer first waits for the write lock, for at most lock_wait_us. Every job then
 * waits for a slot, holds it for its service time and is executed at the end of that time.
 */
void ste_job_start(struct ste_job *job)
{
	struct ste_host *host = job->host;
	struct ste_endpoint *endpoint = host->endpoint;

	if (!job->writes || host->lock_holder == job->connection) {
		acquire_slot(job);
		return;
	}
	if (host->lock_holder) {
		queue_push(&host->lock_queue, job);
		job->timer = io_timer_add(endpoint->loop, endpoint->settings.lock_wait_us,
					  on_lock_timeout, job);
		return;
	}
	host->lock_holder = job->connection;
	acquire_slot(job);
}

/* Removes a job that has not run from its queue or slot; the caller must answer it. */
void ste_job_cancel(struct ste_job *job)
{
	stop_timer(job);
	queue_remove(job);
	if (!job->in_service)
		return;
	job->in_service = false;
	release_slot(job->connection->endpoint);
}

/* Releases the write lock, or passes it to the first waiting writer. */
void ste_lock_release(struct ste_host *host)
{
	struct ste_job *next = host->lock_queue.first;

	host->lock_holder = NULL;
	if (!next)
		return;
	queue_remove(next);
	stop_timer(next);
	host->lock_holder = next->connection;
	acquire_slot(next);
}
