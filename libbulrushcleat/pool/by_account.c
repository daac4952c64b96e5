#include "pool/pool_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A moving average moves by 1/8 towards a new value. */
#define TYPICAL_DIVISOR 8
#define TYPICAL_MIN_US BC_US_PER_MS
/* Until values are known: a statement, and a handshake with its round trips. */
#define LENT_FIRST_US (10 * BC_US_PER_MS)
#define OPEN_FIRST_US (20 * BC_US_PER_MS)
/* All but one in this many of the connections may be held by one account. */
#define ACCOUNT_RESERVE_DIVISOR 4U
/*
 * A connection for which its own account has waiters is taken from the account only after this many
 * times the duration of a handshake, so that most of its time is left for statements.
 */
#define KEPT_HANDSHAKES 2U

/* What to do now for the waiters of one customer queue. */
enum action { ACTION_NONE, ACTION_LEND, ACTION_OPEN, ACTION_REPLACE };

/* For one choice of a waiter; ops->running() looks at all links, so it is called once. */
struct decision {
	const struct pool_state *state;
	struct pool_endpoint *endpoint;
	uint64_t now_us;
	uint32_t running; /* if running_known */
	bool running_known;
};

/* Initializes the accounts of an endpoint; none is in use. */
void pool_accounts_init(struct pool_endpoint *endpoint)
{
	endpoint->accounts = apr_hash_make(endpoint->pool);
	endpoint->typical_lent_us = LENT_FIRST_US;
	endpoint->typical_open_us = OPEN_FIRST_US;
}

/* Frees the accounts of an endpoint, whose hash is freed with its pool. */
void pool_accounts_free(struct pool_endpoint *endpoint)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(endpoint->pool, endpoint->accounts); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
}

/* Finds the account by its name (empty: connections without one), or returns NULL. */
struct pool_account *pool_account_find(struct pool_endpoint *endpoint, const char *name)
{
	if (!name[0])
		return &endpoint->unnamed;
	return apr_hash_get(endpoint->accounts, name, APR_HASH_KEY_STRING);
}

/* Finds or adds the account; NULL if memory is exhausted or the name is too long. */
struct pool_account *pool_account_get(struct pool_endpoint *endpoint, const char *name)
{
	struct pool_account *account;

	if (!name[0])
		return &endpoint->unnamed;
	account = apr_hash_get(endpoint->accounts, name, APR_HASH_KEY_STRING);
	if (account || strnlen(name, BC_ID_BYTES) == BC_ID_BYTES)
		return account;
	account = calloc(1, sizeof(*account));
	if (!account)
		return NULL;
	snprintf(account->name, sizeof(account->name), "%s", name);
	apr_hash_set(endpoint->accounts, account->name, APR_HASH_KEY_STRING, account);
	return account;
}

static uint32_t held(const struct pool_account *account)
{
	return account->lent + account->idle + account->opening;
}

/* Frees the account if it has neither connections nor waiters. */
void pool_account_put(struct pool_endpoint *endpoint, struct pool_account *account)
{
	if (!account->name[0] || held(account) || account->waiting)
		return;
	apr_hash_set(endpoint->accounts, account->name, APR_HASH_KEY_STRING, NULL);
	free(account);
}

/* Whether accounts have connections to the endpoint, or wait for one. */
bool pool_by_account(const struct pool_endpoint *endpoint)
{
	return apr_hash_count(endpoint->accounts) > 0;
}

/* How many of the allowed connections one account may hold: all but a quarter, at least 1. */
uint32_t pool_account_max(uint32_t allowed)
{
	uint32_t reserve = (allowed + ACCOUNT_RESERVE_DIVISOR - 1) / ACCOUNT_RESERVE_DIVISOR;

	return allowed > reserve ? allowed - reserve : 1;
}

/*
 * Returns the moving average after a new value, in microseconds. A transaction that rests for
 * seconds hardly changes it, since a value counts at most as twice the average so far.
 */
uint64_t pool_typical(uint64_t typical_us, uint64_t value_us)
{
	uint64_t counted_us = value_us < 2 * typical_us ? value_us : 2 * typical_us;

	typical_us = (typical_us * (TYPICAL_DIVISOR - 1) + counted_us) / TYPICAL_DIVISOR;
	return typical_us > TYPICAL_MIN_US ? typical_us : TYPICAL_MIN_US;
}

static bool may_use(const struct pool_customer_queue *customer,
		    const struct pool_connection *connection)
{
	return customer->any_account || connection->account == customer->account;
}

/* The next idle connection, in the order from the most recently used one, or NULL. */
static struct pool_connection *idle_next(const struct pool_endpoint *endpoint,
					 struct pool_connection *connection)
{
	struct pool_connection *next =
		connection ? APR_RING_NEXT(connection, link) : APR_RING_FIRST(&endpoint->idle_ring);

	return next == APR_RING_SENTINEL(&endpoint->idle_ring, pool_connection, link) ? NULL : next;
}

/* The most recently used idle connection that the customer may use, or NULL. */
static struct pool_connection *idle_for(const struct pool_endpoint *endpoint,
					const struct pool_customer_queue *customer)
{
	struct pool_connection *connection = NULL;

	while ((connection = idle_next(endpoint, connection)))
		if (may_use(customer, connection))
			return connection;
	return NULL;
}

/*
 * How long a lent connection is expected to stay lent. One that has been lent for longer than usual
 * belongs to a transaction that rests, and is expected to take as long again.
 */
static uint64_t remaining_us(const struct pool_endpoint *endpoint,
			     const struct pool_connection *connection, uint64_t now_us)
{
	uint64_t lent_us = now_us - connection->since_us;

	return lent_us < endpoint->typical_lent_us ? endpoint->typical_lent_us - lent_us : lent_us;
}

/* The expected wait of the customer's last waiter for the connections that it may use. */
static uint64_t expected_wait_us(const struct pool_endpoint *endpoint,
				 const struct pool_customer_queue *customer, uint32_t usable,
				 uint64_t now_us)
{
	const struct pool_account *account = customer->account;
	uint64_t first_us = account->opening ? endpoint->typical_open_us : UINT64_MAX;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, endpoint->connections); i; i = apr_hash_next(i)) {
		const struct pool_connection *connection = apr_hash_this_val(i);
		uint64_t wait_us;

		if (!connection->lent || !may_use(customer, connection))
			continue;
		wait_us = remaining_us(endpoint, connection, now_us);
		first_us = wait_us < first_us ? wait_us : first_us;
	}
	if (first_us == UINT64_MAX)
		return first_us;
	return first_us + (account->waiting - 1) * endpoint->typical_lent_us / usable;
}

/*
 * Whether another connection is worth its handshake: the wait for those that the customer may use
 * is longer. One that is being opened for them already has to make a difference before the next.
 */
static bool is_worth_opening(const struct pool_endpoint *endpoint,
			     const struct pool_customer_queue *customer, uint64_t now_us)
{
	const struct pool_account *account = customer->account;
	uint32_t usable = customer->any_account ? endpoint->lent + account->opening : held(account);
	uint64_t open_us = endpoint->typical_open_us * (account->opening ? 2 : 1);

	return usable == 0 || expected_wait_us(endpoint, customer, usable, now_us) > open_us;
}

/*
 * Whether another connection may be opened beside those that run statements. An account without
 * one may open its first in any case, since the others may keep theirs busy all the time.
 */
static bool is_below_running_max(struct decision *decision, const struct pool_account *account)
{
	const struct pool_state *state = decision->state;
	const struct pool_endpoint *endpoint = decision->endpoint;

	if (!endpoint->running_max || (held(account) == 0 && endpoint->opening == 0))
		return true;
	if (!decision->running_known)
		decision->running = state->ops.running(state->data, endpoint->name);
	decision->running_known = true;
	return decision->running < endpoint->running_max;
}

/* Whether the connection may be closed for an account that holds `own` connections. */
static bool may_close_for(const struct pool_endpoint *endpoint,
			  const struct pool_connection *connection, uint32_t own, uint64_t now_us)
{
	if (connection->account->waiting)
		return own == 0 && now_us - connection->opened_us >=
					   KEPT_HANDSHAKES * endpoint->typical_open_us;
	return own == 0 || now_us - connection->since_us >= endpoint->typical_open_us;
}

/* Whether closing `connection` harms less than closing `other`, which was used more recently. */
static bool is_better_to_close(const struct pool_connection *connection,
			       const struct pool_connection *other)
{
	if (!connection->account->waiting != !other->account->waiting)
		return !connection->account->waiting;
	return connection->account->idle >= other->account->idle;
}

/*
 * The idle connection of another account to be closed for this one, or NULL: of an account without
 * waiters if there is one, then of the account with the most idle connections, then the least
 * recently used one.
 */
static struct pool_connection *connection_to_close(const struct pool_endpoint *endpoint,
						   const struct pool_account *account,
						   uint64_t now_us)
{
	struct pool_connection *connection = NULL;
	struct pool_connection *best = NULL;

	while ((connection = idle_next(endpoint, connection))) {
		if (connection->account == account ||
		    !may_close_for(endpoint, connection, held(account), now_us))
			continue;
		if (!best || is_better_to_close(connection, best))
			best = connection;
	}
	return best;
}

/* Whether the account holds as many connections as one account may. */
static bool is_at_account_max(const struct pool_endpoint *endpoint,
			      const struct pool_customer_queue *customer)
{
	return !customer->any_account &&
	       held(customer->account) >= pool_account_max(endpoint->limit);
}

/* Whether a new connection for the customer is wanted, and an attempt may be made now. */
static bool is_open_due(struct decision *decision, const struct pool_customer_queue *customer)
{
	const struct pool_endpoint *endpoint = decision->endpoint;
	uint64_t now_us = decision->now_us;

	if (endpoint->failures && (now_us < endpoint->retry_us || endpoint->opening))
		return false;
	return customer->account->opening < customer->account->waiting &&
	       endpoint->replacing != customer->account && !is_at_account_max(endpoint, customer) &&
	       is_worth_opening(endpoint, customer, now_us) &&
	       is_below_running_max(decision, customer->account);
}

/*
 * What to do now for the customer. Only one connection at a time is replaced: the endpoint may
 * learn of the close after it was asked for the new connection.
 */
static enum action action_for(struct decision *decision, const struct pool_customer_queue *customer)
{
	const struct pool_endpoint *endpoint = decision->endpoint;
	uint32_t total = endpoint->lent + endpoint->idle + endpoint->opening;

	if (idle_for(endpoint, customer))
		return ACTION_LEND;
	if (!is_open_due(decision, customer))
		return ACTION_NONE;
	if (total < endpoint->limit)
		return ACTION_OPEN;
	if (endpoint->replacing || customer->account->opening ||
	    !connection_to_close(endpoint, customer->account, decision->now_us))
		return ACTION_NONE;
	return ACTION_REPLACE;
}

static bool has_action(void *data, const struct pool_customer_queue *customer)
{
	return action_for(data, customer) != ACTION_NONE;
}

/*
 * The next waiter for which something can be done now, or NULL. Waiters whose account can't get a
 * connection now do not block the others.
 */
static struct pool_waiter *next_waiter(struct decision *decision)
{
	const struct pool_queue *queue = &decision->endpoint->queue;
	uint32_t allowed = pool_allowance(decision->state, decision->endpoint);
	bool capped = decision->endpoint->lent_capped < pool_capped_max(allowed);
	struct pool_waiter *waiter = NULL;

	if (allowed == 1)
		waiter = pool_queue_find(queue, false, has_action, decision);
	return waiter ? waiter : pool_queue_find(queue, capped, has_action, decision);
}

/* Counts a connection that is about to be opened for the account, and keeps the account. */
static void begin_opening(struct pool_endpoint *endpoint, struct pool_account *account,
			  uint64_t now_us)
{
	endpoint->opening++;
	account->opening++;
	account->opening_since_us = now_us;
}

/* Requests the connection that begin_opening() counted. */
static void request_open(struct pool_state *state, struct pool_endpoint *endpoint,
			 struct pool_account *account)
{
	char name[BC_ID_BYTES];

	/* The callback may report the result at once, and the account may be freed then. */
	memcpy(name, account->name, sizeof(name));
	state->ops.open(state->data, endpoint->name, name);
}

/* Opens a connection for the account. */
static void open_for(struct pool_state *state, struct pool_endpoint *endpoint,
		     struct pool_account *account, uint64_t now_us)
{
	begin_opening(endpoint, account, now_us);
	request_open(state, endpoint, account);
}

/*
 * Closes an idle connection of another account and opens one for this account. The new one is
 * counted first: the callback for the close may cancel waiters or add some. After the allowance was
 * lowered, connections above it are closed without another one in their place.
 */
static void replace_for(struct pool_state *state, struct pool_endpoint *endpoint,
			struct pool_account *account, uint64_t now_us)
{
	struct pool_connection *connection = connection_to_close(endpoint, account, now_us);

	if (endpoint->lent + endpoint->idle + endpoint->opening > endpoint->limit) {
		pool_close_idle(state, endpoint, connection);
		return;
	}
	bc_log(state->ctx, BC_LOG_DEBUG, "connection_replaced", "{s:s,s:s,s:s}", "endpoint",
	       endpoint->name, "account", account->name, "closed", connection->account->name);
	bc_counter_add(state->ctx, "bulrushcleat_pool_replaced_total", NULL, 1);
	endpoint->replacing = account;
	begin_opening(endpoint, account, now_us);
	pool_close_idle(state, endpoint, connection);
	request_open(state, endpoint, account);
}

/* Does what can be done for the waiter. */
static void serve(struct pool_state *state, struct decision *decision, struct pool_waiter *waiter)
{
	struct pool_endpoint *endpoint = decision->endpoint;
	struct pool_connection *connection = idle_for(endpoint, waiter->customer);
	uint64_t now_us = decision->now_us;

	if (waiter->deadline_us <= now_us)
		pool_reject(state, waiter, BC_ETIMEOUT);
	else if (connection && now_us - connection->since_us >= POOL_ACCOUNT_IDLE_US)
		pool_close_idle(state, endpoint, connection);
	else if (connection)
		pool_grant(state, endpoint, connection, waiter, now_us);
	else if (action_for(decision, waiter->customer) == ACTION_OPEN)
		open_for(state, endpoint, waiter->account, now_us);
	else
		replace_for(state, endpoint, waiter->account, now_us);
}

/*
 * Serves the waiters of an endpoint that is used by accounts: lends idle connections, opens further
 * ones, and replaces connections of other accounts. The caller holds a reference in `refs`.
 */
void pool_dispatch_by_account(struct pool_state *state, struct pool_endpoint *endpoint,
			      uint64_t now_us)
{
	struct decision decision = {.state = state, .endpoint = endpoint, .now_us = now_us};
	struct pool_waiter *waiter;

	while (!endpoint->removed && (waiter = next_waiter(&decision))) {
		serve(state, &decision, waiter);
		decision.running_known = false;
	}
}

/*
 * Whether to close the least recently used idle connection of an endpoint that is used by accounts.
 * Connections within the allowance are kept, since another one for the same account has its price;
 * those of a proxy that is not a relay (allowance 1) are not, since there are many such proxies.
 */
bool pool_closes_by_account(const struct pool_state *state, const struct pool_endpoint *endpoint,
			    uint64_t now_us)
{
	uint64_t idle_us = now_us - APR_RING_LAST(&endpoint->idle_ring)->since_us;
	uint32_t share = pool_share(state, endpoint);

	if (idle_us >= POOL_ACCOUNT_IDLE_US)
		return true;
	return idle_us >= POOL_IDLE_US && (share == 1 || endpoint->lent + endpoint->idle > share);
}

/* Why the waiter is not served now, as a label of the metric of waits. */
const char *pool_wait_reason(const struct pool_endpoint *endpoint, const struct pool_waiter *waiter)
{
	uint32_t total = endpoint->lent + endpoint->idle + endpoint->opening;

	if (waiter->account->opening)
		return "reason=\"opening\"";
	if (endpoint->failures)
		return "reason=\"open_failed\"";
	if (pool_by_account(endpoint) && is_at_account_max(endpoint, waiter->customer))
		return "reason=\"account_limit\"";
	if (total >= endpoint->limit && (!pool_by_account(endpoint) || !held(waiter->account)))
		return "reason=\"connection_limit\"";
	return "reason=\"in_use\"";
}
