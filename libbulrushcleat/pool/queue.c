#include "pool/pool_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* Stands for any account in keys. Names of accounts contain no control characters or blanks. */
#define ANY_ACCOUNT_KEY "\t"

/* Initializes an empty queue, with its hash allocated from the pool. */
void pool_queue_init(struct pool_queue *queue, apr_pool_t *pool)
{
	APR_RING_INIT(&queue->round_robin, pool_customer_queue, link);
	queue->customers = apr_hash_make(pool);
}

/* Returns the number of waiters of both classes. */
uint32_t pool_queue_length(const struct pool_queue *queue)
{
	return queue->count[POOL_UNCAPPED] + queue->count[POOL_CAPPED];
}

/* The customer's first waiter of the class, or NULL. */
static struct pool_waiter *waiter_first(const struct pool_customer_queue *customer,
					enum pool_class class)
{
	if (APR_RING_EMPTY(&customer->waiters[class], pool_waiter, link))
		return NULL;
	return APR_RING_FIRST(&customer->waiters[class]);
}

/* The next waiter of the same customer and class, or NULL. */
static struct pool_waiter *waiter_next(const struct pool_waiter *waiter)
{
	struct pool_waiter_ring *ring = &waiter->customer->waiters[waiter->class];
	struct pool_waiter *next = APR_RING_NEXT(waiter, link);

	return next == APR_RING_SENTINEL(ring, pool_waiter, link) ? NULL : next;
}

/* The customer's last waiter of the class, or NULL. */
static struct pool_waiter *waiter_last(const struct pool_customer_queue *customer,
				       enum pool_class class)
{
	if (APR_RING_EMPTY(&customer->waiters[class], pool_waiter, link))
		return NULL;
	return APR_RING_LAST(&customer->waiters[class]);
}

/* The customer queue to be served next, or NULL. */
static struct pool_customer_queue *round_robin_first(const struct pool_queue *queue)
{
	return APR_RING_EMPTY(&queue->round_robin, pool_customer_queue, link)
		       ? NULL
		       : APR_RING_FIRST(&queue->round_robin);
}

/* The customer queue to be served after this one, or NULL. */
static struct pool_customer_queue *round_robin_next(const struct pool_queue *queue,
						    const struct pool_customer_queue *customer)
{
	struct pool_customer_queue *next = APR_RING_NEXT(customer, link);

	return next == APR_RING_SENTINEL(&queue->round_robin, pool_customer_queue, link) ? NULL
											 : next;
}

/* The key for the customer, the account (NULL: any) and the priority. */
static void customer_queue_key(const char *name, const char *account, uint32_t priority,
			       char key[POOL_KEY_BYTES])
{
	snprintf(key, POOL_KEY_BYTES, "%u %s %s", priority, name,
		 account ? account : ANY_ACCOUNT_KEY);
}

/* Finds the queue that the request would be in, or returns NULL. */
static struct pool_customer_queue *customer_queue_find(const struct pool_queue *queue,
						       const struct pool_request *request)
{
	char key[POOL_KEY_BYTES];

	customer_queue_key(request->customer, request->account, request->priority, key);
	return apr_hash_get(queue->customers, key, APR_HASH_KEY_STRING);
}

/*
 * Finds the queue of the customer and the waiter's account with this priority, or adds an empty one
 * at the end of the round-robin order. NULL if memory is exhausted.
 */
static struct pool_customer_queue *customer_queue_get(struct pool_queue *queue,
						      const struct pool_waiter *waiter,
						      const char *name, uint32_t priority)
{
	struct pool_customer_queue *customer;
	char key[POOL_KEY_BYTES];

	customer_queue_key(name, waiter->any_account ? NULL : waiter->account->name, priority, key);
	customer = apr_hash_get(queue->customers, key, APR_HASH_KEY_STRING);
	if (customer)
		return customer;
	customer = calloc(1, sizeof(*customer));
	if (!customer)
		return NULL;
	snprintf(customer->key, sizeof(customer->key), "%s", key);
	customer->account = waiter->account;
	customer->any_account = waiter->any_account;
	customer->priority = priority;
	APR_RING_INIT(&customer->waiters[POOL_UNCAPPED], pool_waiter, link);
	APR_RING_INIT(&customer->waiters[POOL_CAPPED], pool_waiter, link);
	APR_RING_INSERT_TAIL(&queue->round_robin, customer, pool_customer_queue, link);
	apr_hash_set(queue->customers, customer->key, APR_HASH_KEY_STRING, customer);
	return customer;
}

/*
 * Queues a waiter by deadline within its customer, account and class. False if memory is exhausted.
 */
bool pool_queue_add(struct pool_queue *queue, struct pool_waiter *waiter, const char *name,
		    uint32_t priority)
{
	struct pool_customer_queue *customer = customer_queue_get(queue, waiter, name, priority);
	struct pool_waiter_ring *ring;
	struct pool_waiter *before;

	if (!customer)
		return false;
	ring = &customer->waiters[waiter->class];
	before = APR_RING_LAST(ring);
	while (before != APR_RING_SENTINEL(ring, pool_waiter, link) &&
	       before->deadline_us > waiter->deadline_us)
		before = APR_RING_PREV(before, link);
	APR_RING_INSERT_AFTER(before, waiter, link);
	waiter->customer = customer;
	customer->count++;
	queue->count[waiter->class]++;
	return true;
}

/* Removes a waiter. If it was served, its customer moves to the end of the round-robin order. */
void pool_queue_remove(struct pool_queue *queue, struct pool_waiter *waiter, bool served)
{
	struct pool_customer_queue *customer = waiter->customer;

	APR_RING_REMOVE(waiter, link);
	customer->count--;
	queue->count[waiter->class]--;
	if (customer->count == 0) {
		apr_hash_set(queue->customers, customer->key, APR_HASH_KEY_STRING, NULL);
		APR_RING_REMOVE(customer, link);
		free(customer);
		return;
	}
	if (served) {
		APR_RING_REMOVE(customer, link);
		APR_RING_INSERT_TAIL(&queue->round_robin, customer, pool_customer_queue, link);
	}
}

/* The waiter of the two with the earlier deadline; either may be NULL. */
static struct pool_waiter *earlier(struct pool_waiter *a, struct pool_waiter *b)
{
	if (!a || !b)
		return a ? a : b;
	return b->deadline_us < a->deadline_us ? b : a;
}

/*
 * The next waiter to be served, round-robin among the customers with the highest priority of those
 * for which `eligible` returns true (NULL: all), or NULL. Capped waiters are skipped unless
 * allowed.
 */
struct pool_waiter *pool_queue_find(const struct pool_queue *queue, bool capped_allowed,
				    pool_customer_fn eligible, void *data)
{
	struct pool_customer_queue *customer;
	struct pool_waiter *best = NULL;
	struct pool_waiter *waiter;

	if (!queue->count[POOL_UNCAPPED] && !(capped_allowed && queue->count[POOL_CAPPED]))
		return NULL;
	for (customer = round_robin_first(queue); customer;
	     customer = round_robin_next(queue, customer)) {
		if (best && customer->priority >= best->customer->priority)
			continue;
		waiter = earlier(waiter_first(customer, POOL_UNCAPPED),
				 capped_allowed ? waiter_first(customer, POOL_CAPPED) : NULL);
		if (waiter && (!eligible || eligible(data, customer)))
			best = waiter;
	}
	return best;
}

/*
 * The next waiter to be served, or NULL. Capped waiters are skipped unless allowed; with
 * `capped_last`, they are served only when no uncapped waiter is queued.
 */
struct pool_waiter *pool_queue_next(const struct pool_queue *queue, bool capped_allowed,
				    bool capped_last)
{
	bool capped = capped_allowed && !(capped_last && queue->count[POOL_UNCAPPED]);

	return pool_queue_find(queue, capped, NULL, NULL);
}

/* A waiter whose deadline has passed, or NULL. */
struct pool_waiter *pool_queue_expired(const struct pool_queue *queue, uint64_t now_us)
{
	struct pool_customer_queue *customer;
	struct pool_waiter *waiter;

	for (customer = round_robin_first(queue); customer;
	     customer = round_robin_next(queue, customer)) {
		waiter = earlier(waiter_first(customer, POOL_UNCAPPED),
				 waiter_first(customer, POOL_CAPPED));
		if (waiter && waiter->deadline_us <= now_us)
			return waiter;
	}
	return NULL;
}

/*
 * Whether a waiter of `customer` is to be shed before one of `other` (NULL: none): the lower
 * priority first, then the longer queue.
 */
static bool sheds_before(const struct pool_customer_queue *customer,
			 const struct pool_customer_queue *other)
{
	if (!other || customer->priority != other->priority)
		return !other || customer->priority > other->priority;
	return customer->count > other->count;
}

/*
 * The waiter to shed from a full queue for a new one, or NULL if the new one is to be rejected. It
 * is taken from the customer with the most waiters of the lowest priority, so that one customer
 * cannot keep the others out. Among the new waiter's own customer's waiters, a capped one is shed
 * for an uncapped one.
 */
struct pool_waiter *pool_queue_victim(const struct pool_queue *queue,
				      const struct pool_request *request, enum pool_class class)
{
	struct pool_customer_queue *own = customer_queue_find(queue, request);
	uint32_t priority = request->priority;
	struct pool_customer_queue *customer;
	struct pool_customer_queue *largest = NULL;

	for (customer = round_robin_first(queue); customer;
	     customer = round_robin_next(queue, customer)) {
		if (sheds_before(customer, largest))
			largest = customer;
	}
	if (largest &&
	    (largest->priority > priority ||
	     (largest->priority == priority && largest->count > (own ? own->count : 0) + 1)))
		return waiter_last(largest, POOL_CAPPED) ? waiter_last(largest, POOL_CAPPED)
							 : waiter_last(largest, POOL_UNCAPPED);
	return own && class == POOL_UNCAPPED ? waiter_last(own, POOL_CAPPED) : NULL;
}

/*
 * How many waiters would be served before a new one of the customer: its own with earlier or equal
 * deadlines, up to as many of each other customer with the same priority, since customers are
 * served round-robin, and all with a higher priority. Returns the former also in `own_ahead`.
 */
uint32_t pool_queue_ahead(const struct pool_queue *queue, const struct pool_request *request,
			  uint32_t *own_ahead)
{
	struct pool_customer_queue *own = customer_queue_find(queue, request);
	struct pool_customer_queue *customer;
	struct pool_waiter *waiter;
	uint32_t before = 0;
	uint32_t ahead = 0;
	int class;

	for (class = 0; own && class < POOL_CLASSES; class ++) {
		for (waiter = waiter_first(own, class);
		     waiter && waiter->deadline_us <= request->deadline_us;
		     waiter = waiter_next(waiter))
			before++;
	}
	for (customer = round_robin_first(queue); customer;
	     customer = round_robin_next(queue, customer)) {
		if (customer->priority < request->priority)
			ahead += customer->count;
		else if (customer->priority == request->priority)
			ahead += customer->count < before ? customer->count : before;
	}
	*own_ahead = before;
	return ahead;
}
