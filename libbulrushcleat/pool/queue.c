#include "pool/pool_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* Prepares an empty queue; its hash lives in the pool. */
void pool_queue_init(struct pool_queue *queue, apr_pool_t *pool)
{
	APR_RING_INIT(&queue->turns, pool_customer, link);
	queue->customers = apr_hash_make(pool);
}

/* Number of waiters. */
uint32_t pool_queue_length(const struct pool_queue *queue)
{
	return queue->count[POOL_FREE] + queue->count[POOL_CAPPED];
}

/* The first waiter of the customer's class, or NULL. */
static struct pool_waiter *first(const struct pool_customer *customer, enum pool_class class)
{
	if (APR_RING_EMPTY(&customer->waiters[class], pool_waiter, link))
		return NULL;
	return APR_RING_FIRST(&customer->waiters[class]);
}

/* The waiter after this one of its customer and class, or NULL. */
static struct pool_waiter *waiter_next(const struct pool_waiter *waiter)
{
	struct pool_waiter_ring *ring = &waiter->customer->waiters[waiter->class];
	struct pool_waiter *next = APR_RING_NEXT(waiter, link);

	return next == APR_RING_SENTINEL(ring, pool_waiter, link) ? NULL : next;
}

/* The last waiter of the customer's class, or NULL. */
static struct pool_waiter *last(const struct pool_customer *customer, enum pool_class class)
{
	if (APR_RING_EMPTY(&customer->waiters[class], pool_waiter, link))
		return NULL;
	return APR_RING_LAST(&customer->waiters[class]);
}

/* The customer whose turn comes first, or NULL. */
static struct pool_customer *turn_first(const struct pool_queue *queue)
{
	return APR_RING_EMPTY(&queue->turns, pool_customer, link) ? NULL
								  : APR_RING_FIRST(&queue->turns);
}

/* The customer whose turn comes after this one's, or NULL. */
static struct pool_customer *turn_next(const struct pool_queue *queue,
				       const struct pool_customer *customer)
{
	struct pool_customer *next = APR_RING_NEXT(customer, link);

	return next == APR_RING_SENTINEL(&queue->turns, pool_customer, link) ? NULL : next;
}

static void make_key(const char *name, uint32_t priority, char key[POOL_KEY_BYTES])
{
	snprintf(key, POOL_KEY_BYTES, "%u %s", priority, name);
}

/* The customer's waiters of this priority, or NULL. */
static struct pool_customer *customer_find(const struct pool_queue *queue, const char *name,
					   uint32_t priority)
{
	char key[POOL_KEY_BYTES];

	make_key(name, priority, key);
	return apr_hash_get(queue->customers, key, APR_HASH_KEY_STRING);
}

/* Finds the customer's waiters, or adds an empty customer at the end of the turns. */
static struct pool_customer *customer_get(struct pool_queue *queue, const char *name,
					  uint32_t priority)
{
	struct pool_customer *customer = customer_find(queue, name, priority);

	if (customer)
		return customer;
	customer = calloc(1, sizeof(*customer));
	if (!customer)
		return NULL;
	make_key(name, priority, customer->key);
	customer->priority = priority;
	APR_RING_INIT(&customer->waiters[POOL_FREE], pool_waiter, link);
	APR_RING_INIT(&customer->waiters[POOL_CAPPED], pool_waiter, link);
	APR_RING_INSERT_TAIL(&queue->turns, customer, pool_customer, link);
	apr_hash_set(queue->customers, customer->key, APR_HASH_KEY_STRING, customer);
	return customer;
}

/* Queues a waiter by its deadline within its customer and class. False if memory is exhausted. */
bool pool_queue_add(struct pool_queue *queue, struct pool_waiter *waiter, const char *name,
		    uint32_t priority)
{
	struct pool_customer *customer = customer_get(queue, name, priority);
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

/* Takes a waiter out. With `turn_taken`, its customer's next turn comes after all others. */
void pool_queue_remove(struct pool_queue *queue, struct pool_waiter *waiter, bool turn_taken)
{
	struct pool_customer *customer = waiter->customer;

	APR_RING_REMOVE(waiter, link);
	customer->count--;
	queue->count[waiter->class]--;
	if (customer->count == 0) {
		apr_hash_set(queue->customers, customer->key, APR_HASH_KEY_STRING, NULL);
		APR_RING_REMOVE(customer, link);
		free(customer);
		return;
	}
	if (turn_taken) {
		APR_RING_REMOVE(customer, link);
		APR_RING_INSERT_TAIL(&queue->turns, customer, pool_customer, link);
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
 * The waiter whose turn it is among those of the first priority, or NULL. Capped waiters are passed
 * over unless allowed; with `capped_last`, they come after the others of all customers.
 */
struct pool_waiter *pool_queue_next(const struct pool_queue *queue, bool capped_allowed,
				    bool capped_last)
{
	bool capped = capped_allowed && !(capped_last && queue->count[POOL_FREE]);
	struct pool_customer *customer;
	struct pool_waiter *best = NULL;
	struct pool_waiter *waiter;

	if (!queue->count[POOL_FREE] && !(capped && queue->count[POOL_CAPPED]))
		return NULL;
	for (customer = turn_first(queue); customer; customer = turn_next(queue, customer)) {
		if (best && customer->priority >= best->customer->priority)
			continue;
		waiter = earlier(first(customer, POOL_FREE),
				 capped ? first(customer, POOL_CAPPED) : NULL);
		if (waiter)
			best = waiter;
	}
	return best;
}

/* A waiter whose deadline has passed, or NULL. */
struct pool_waiter *pool_queue_expired(const struct pool_queue *queue, uint64_t now_us)
{
	struct pool_customer *customer;
	struct pool_waiter *waiter;

	for (customer = turn_first(queue); customer; customer = turn_next(queue, customer)) {
		waiter = earlier(first(customer, POOL_FREE), first(customer, POOL_CAPPED));
		if (waiter && waiter->deadline_us <= now_us)
			return waiter;
	}
	return NULL;
}

/* Whether a customer gives way to others before the one that is known to. */
static bool gives_way(const struct pool_customer *customer, const struct pool_customer *to)
{
	if (!to || customer->priority != to->priority)
		return !to || customer->priority > to->priority;
	return customer->count > to->count;
}

/*
 * The waiter to shed from a full queue for a new one, or NULL if the new one is to be refused. Of
 * the last priority, the customer with most waiters gives way, so that one customer cannot keep the
 * others out; within the customer's own waiters, a capped one gives way to one that is not.
 */
struct pool_waiter *pool_queue_victim(const struct pool_queue *queue, const char *name,
				      uint32_t priority, enum pool_class class)
{
	struct pool_customer *own = customer_find(queue, name, priority);
	struct pool_customer *customer;
	struct pool_customer *most = NULL;

	for (customer = turn_first(queue); customer; customer = turn_next(queue, customer)) {
		if (gives_way(customer, most))
			most = customer;
	}
	if (most && (most->priority > priority ||
		     (most->priority == priority && most->count > (own ? own->count : 0) + 1)))
		return last(most, POOL_CAPPED) ? last(most, POOL_CAPPED) : last(most, POOL_FREE);
	return own && class == POOL_FREE ? last(own, POOL_CAPPED) : NULL;
}

/*
 * How many waiters come before a new one of the customer: its own with earlier deadlines, of each
 * other customer as many, since they take turns, and all of a priority that comes first.
 */
uint32_t pool_queue_ahead(const struct pool_queue *queue, const char *name, uint32_t priority,
			  uint64_t deadline_us)
{
	struct pool_customer *own = customer_find(queue, name, priority);
	struct pool_customer *customer;
	struct pool_waiter *waiter;
	uint32_t before = 0;
	uint32_t ahead = 0;
	int class;

	for (class = 0; own && class < POOL_CLASSES; class ++) {
		for (waiter = first(own, class); waiter && waiter->deadline_us <= deadline_us;
		     waiter = waiter_next(waiter))
			before++;
	}
	for (customer = turn_first(queue); customer; customer = turn_next(queue, customer)) {
		if (customer->priority < priority)
			ahead += customer->count;
		else if (customer->priority == priority)
			ahead += customer->count < before ? customer->count : before;
	}
	return ahead;
}
