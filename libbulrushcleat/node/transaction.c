#include "node/node_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Registers the transaction a job began; it takes over the job's connection and share. */
struct transaction *nod_transaction_create(struct nod_node *node, struct job *job)
{
	struct transaction *transaction = calloc(1, sizeof(*transaction));

	if (!transaction)
		return NULL;
	snprintf(transaction->id, sizeof(transaction->id), "%s.%016llx%016llx", node->settings.id,
		 (unsigned long long)bc_random(node->ctx),
		 (unsigned long long)bc_random(node->ctx));
	memcpy(transaction->customer, job->customer, BC_ID_BYTES);
	memcpy(transaction->database, job->database, BC_ID_BYTES);
	memcpy(transaction->endpoint, job->choice.endpoint, BC_ID_BYTES);
	memcpy(transaction->connection, job->connection, POOL_CONNECTION_BYTES);
	transaction->term = job->choice.term;
	transaction->last_used_us = node->now_us;
	apr_hash_set(node->transactions, transaction->id, APR_HASH_KEY_STRING, transaction);
	drn_transaction_start(node->drain);
	return transaction;
}

/* Whether this proxy issued a transaction's id, which then begins with the proxy's id. */
bool nod_transaction_is_own(const struct nod_node *node, const char *id)
{
	const char *dot = strrchr(id, '.');
	size_t length = strlen(node->settings.id);

	return dot && (size_t)(dot - id) == length && memcmp(id, node->settings.id, length) == 0;
}

/* The customer's open transaction with this id on this database, or NULL. */
struct transaction *nod_transaction_find(struct nod_node *node, const char *id,
					 const char *customer, const char *database)
{
	struct transaction *transaction = apr_hash_get(node->transactions, id, APR_HASH_KEY_STRING);

	if (!transaction || strcmp(transaction->customer, customer) != 0 ||
	    strcmp(transaction->database, database) != 0)
		return NULL;
	return transaction;
}

/* Ends a transaction. An unclean connection is closed, and the endpoint rolls back. */
void nod_transaction_end(struct nod_node *node, struct transaction *transaction, bool clean)
{
	apr_hash_set(node->transactions, transaction->id, APR_HASH_KEY_STRING, NULL);
	rte_statement_finished(node->route, transaction->endpoint);
	pool_release(node->connections, transaction->endpoint, transaction->connection, clean,
		     node->now_us);
	lim_release(node->limits, transaction->customer, node->now_us);
	nod_jobs_admit_next(node, transaction->customer);
	drn_transaction_end(node->drain, node->now_us);
	free(transaction);
}

static bool is_expired(const struct nod_node *node, const struct transaction *transaction)
{
	uint64_t limit_us =
		transaction->used_since_begin ? NOD_TRANSACTION_IDLE_US : NOD_TRANSACTION_UNUSED_US;

	return !transaction->busy && node->now_us - transaction->last_used_us > limit_us;
}

/* Rolls back a transaction that has been idle for too long; one in each call. */
void nod_transactions_tick(struct nod_node *node)
{
	struct transaction *expired = NULL;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, node->transactions); it; it = apr_hash_next(it)) {
		struct transaction *transaction;
		void *value;

		apr_hash_this(it, NULL, NULL, &value);
		transaction = value;
		if (is_expired(node, transaction))
			expired = transaction;
	}
	if (!expired)
		return;
	bc_log(node->ctx, BC_LOG_INFO, "transaction_expired", "{s:s,s:s}", "customer",
	       expired->customer, "database", expired->database);
	nod_transaction_end(node, expired, false);
}
