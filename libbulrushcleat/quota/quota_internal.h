#ifndef BC_QUOTA_INTERNAL_H
#define BC_QUOTA_INTERNAL_H

/*
 * Shared by the files of the module: quota.c (creation, accounts, members, messages), claim.c (the
 * counters' claims), counter.c (the buckets of the accounts that this proxy counts), origin.c
 * (tokens, requests and waiting operations).
 */

#include "quota/quota.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>

#ifdef __cplusplus
extern "C" {
#endif

#define QTA_NEVER UINT64_MAX
/* Margin by which the clocks of two proxies may diverge during a claim. */
#define QTA_MARGIN_US (500 * BC_US_PER_MS)
/* Validity of a token, from when the request was sent. */
#define QTA_TOKEN_US (200 * BC_US_PER_MS)
/* An origin may carry on after this time without an answer of the counter. */
#define QTA_CARRY_AFTER_US (250 * BC_US_PER_MS)
/* The same where operations are so few that the counter hears of the origin seldom. */
#define QTA_CARRY_AFTER_MAX_US BC_US_PER_S
/* Interval of requests while operations arrive and none waits. */
#define QTA_POLL_US (100 * BC_US_PER_MS)
/* Candidates for the counter of a shard that origins ask and that may claim. */
#define QTA_CANDIDATES 4U
#define QTA_BATCHES 4U
#define QTA_GRANTS 8U
/* Bucket contents are counted in millionths of a token. */
#define QTA_TOKEN 1000000LL
#define QTA_RATE_MAX 1000000000ULL

struct qta_account;

struct qta_waiter {
	APR_RING_ENTRY(qta_waiter) link;
	struct qta_account *account;
	uint64_t id;
	uint32_t priority;
	uint64_t wait_until_us;
};
APR_RING_HEAD(qta_waiter_ring, qta_waiter);

/* Tokens of one answer. */
struct qta_batch {
	uint32_t count;
	uint64_t until_us;
	uint64_t epoch;
};

/* Tokens and a right to carry on that an answer has given. */
struct qta_grant {
	uint64_t answered_us;
	uint32_t count;
	uint32_t carry_milli;
};

/* What a counter knows of an origin's use of an account. */
struct qta_entry {
	APR_RING_ENTRY(qta_entry) link; /* in the bucket's entries, the longest silent first */
	char origin[BC_ID_BYTES];
	uint64_t incarnation;
	uint64_t sent_us;      /* of the latest request, by the origin's clock */
	uint64_t requested_us; /* when it arrived */
	uint64_t acked_us;     /* the latest answer that the origin is known to have received */
	uint64_t charged_us;   /* the right to carry on is charged up to then */
	uint64_t used;	       /* as last reported */
	int64_t refundable;    /* part of `precharged` that is returned if it is not used */
	int64_t precharged;    /* charged to the bucket for use that is not reported yet */
	uint32_t held;	       /* as last reported */
	uint32_t grant_count;
	struct qta_grant grants[QTA_GRANTS]; /* not known to have arrived */
	uint32_t right_milli;		     /* highest right that may be in force at the origin */
	uint32_t known_right_milli;	     /* as of acked_us */
	uint64_t right_until_us;
	uint32_t wanted;
	uint32_t urgent;
	uint64_t rate_from_us;
	uint64_t rate_used;
	uint64_t rate_milli; /* recent use per 1,000 s */
};
APR_RING_HEAD(qta_entry_ring, qta_entry);

struct qta_bucket {
	int64_t content; /* tokens not known to be used; those outstanding are part of it */
	uint64_t filled_us;
	uint64_t swept_us;
	uint64_t outstanding; /* tokens held by origins or on their way */
	int64_t refundable;
	uint64_t rights_milli;
	uint64_t wanted;
	uint64_t urgent;
	apr_pool_t *pool;
	apr_hash_t *entries; /* origin -> struct qta_entry */
	struct qta_entry_ring ring;
};

enum qta_ring { QTA_UNLISTED, QTA_ACTIVE, QTA_RESTING };

struct qta_account {
	APR_RING_ENTRY(qta_account) link; /* in a ring of the shard */
	char name[BC_ID_BYTES];
	uint32_t shard;
	uint64_t rate;
	uint64_t burst;
	uint64_t generation; /* of the configuration that it is part of */
	enum qta_ring ring;
	/* Origin. */
	struct qta_waiter_ring waiters; /* by priority, then by arrival */
	uint32_t waiting;
	uint32_t waiting_asked; /* operations that the request in flight covers */
	struct qta_batch batches[QTA_BATCHES];
	uint64_t epoch; /* that `used` and the right belong to */
	uint64_t used;
	uint32_t reported_held;
	uint32_t most_urgent; /* lowest priority number seen */
	uint64_t arrived_us;  /* latest operation */
	uint64_t rate_from_us;
	uint64_t rate_count;
	uint64_t rate_milli;	/* recent operations per 1,000 s */
	uint32_t carry_milli;	/* right to carry on */
	uint64_t carry_credit;	/* billionths of an operation */
	uint64_t carry_from_us; /* credit is computed up to then */
	uint64_t carry_until_us;
	uint64_t dropped_us;	/* answers to earlier requests give no right */
	bool dropping;		/* the counter is to be told that the right is given back */
	uint64_t next_token_us; /* the counter has none before */
	uint64_t promised_us;	/* latest retry time given to a refused caller */
	uint64_t logged_us;
	uint64_t refused_since_log;
	/* Counter. */
	struct qta_bucket bucket;
};
APR_RING_HEAD(qta_account_ring, qta_account);

enum qta_call { QTA_IDLE, QTA_READING, QTA_WRITING, QTA_RELEASING };

struct qta_shard {
	struct qta_state *state;
	uint32_t number;
	uint32_t limited;		 /* accounts with a limit */
	struct qta_account_ring active;	 /* with operations that wait, or requests to be sent */
	struct qta_account_ring resting; /* with a right to carry on, by time of the last use */
	struct bc_timer request_timer;
	struct bc_timer claim_timer;
	/* Origin. */
	char counter[BC_ID_BYTES]; /* known counter, or empty */
	uint64_t epoch;
	uint64_t acked_us; /* time of the latest answer, by the counter's clock */
	uint64_t answer_received_us;
	uint64_t claim_until_us; /* end of the counter's claim as told */
	uint64_t sent_us;	 /* latest request */
	bool in_flight;
	uint64_t unanswered_us; /* first request since the last answer; 0: none */
	uint32_t attempts;
	bool carrying;
	/* Claim. */
	enum qta_call call;
	uint64_t call_sent_us;
	uint64_t read_us; /* when the claim was read last */
	bool seen;	  /* the claim object, or its absence, is known */
	uint64_t revision;
	uint64_t observed_us; /* since when the revision is unchanged */
	struct qta_claim claim;
	uint64_t valid_until_us; /* own claim; 0: none */
	uint64_t own_epoch;
	uint64_t half_until_us; /* origins may carry on under an earlier claim until then */
	uint64_t last_answer_us;
	uint64_t serial;   /* of the latest write of the claim */
	uint64_t renew_us; /* when the claim is renewed */
	uint64_t asked_us; /* latest request of an origin that this proxy knows no counter for */
	uint64_t asked_since_us;
	uint32_t failures;
	bool releasing; /* the release has been sent, so this proxy no longer counts */
};

struct qta_state {
	struct bc_ctx *ctx;
	struct bc_timers *timers;
	char self[BC_ID_BYTES];
	uint64_t incarnation;
	struct qta_ops ops;
	void *data;
	uint64_t created_us;
	uint64_t members_known_us;   /* first time that another member was known */
	uint64_t members_changed_us; /* latest time that the number of members changed */
	uint32_t member_count;
	apr_pool_t *pool;
	apr_hash_t *accounts; /* name -> struct qta_account */
	apr_hash_t *waiters;  /* id -> struct qta_waiter */
	uint64_t generation;
	bool draining;
	bool members_dirty;
	uint32_t candidate_count;
	char candidates[QTA_SHARDS][QTA_CANDIDATES][BC_ID_BYTES];
	struct qta_shard shards[QTA_SHARDS];
	/* Within qta_admit(), which calls neither ops.admitted nor ops.refused. */
	bool deciding;
	/* The operation that qta_admit() is asked for, and its verdict if known before it returns.
	 */
	struct qta_waiter *admitting;
	enum qta_verdict verdict;
	uint64_t verdict_retry_us;
	uint64_t log_window_us;
	uint32_t logged;
	struct qta_tolerance tolerance;
};

/* quota.c */
const char *qta_candidate(struct qta_state *state, uint32_t shard, uint32_t rank);
uint32_t qta_own_rank(struct qta_state *state, uint32_t shard);
void qta_send(struct qta_state *state, const char *proxy, const struct qta_message *message,
	      uint64_t now_us);

void qta_waiter_free(struct qta_waiter *waiter);
uint64_t qta_carry_after_us(uint32_t carry_milli);

/* claim.c */
void qta_claim_init(struct qta_shard *shard);
bool qta_is_live(const struct qta_state *state, const char *member);
bool qta_is_counter(const struct qta_shard *shard, uint64_t now_us);
void qta_claim_check(struct qta_shard *shard, uint64_t now_us);
void qta_claim_observed(struct qta_shard *shard, const char *holder, uint64_t revision,
			uint64_t now_us);
void qta_claim_asked(struct qta_shard *shard, uint64_t now_us);
void qta_claim_told(struct qta_shard *shard, uint64_t revision, uint64_t now_us);
void qta_claim_given_up(struct qta_shard *shard, uint64_t now_us);
void qta_claim_drain(struct qta_shard *shard, uint64_t now_us);

/* counter.c */
void qta_bucket_init(struct qta_account *account, uint64_t now_us);
void qta_bucket_clear(struct qta_account *account);
void qta_tolerance_apply(const struct qta_tolerance *tolerance, uint64_t *rate, uint64_t *burst);
void qta_bucket_limit(struct qta_shard *shard, struct qta_account *account, uint64_t rate,
		      uint64_t burst, uint64_t now_us);
bool qta_rights_remain(struct qta_shard *shard, uint64_t now_us);
void qta_counter_begin(struct qta_shard *shard, uint64_t now_us);
void qta_counter_request(struct qta_shard *shard, const char *from,
			 const struct qta_message *request, uint64_t now_us);

/* origin.c */
void qta_origin_init(struct qta_shard *shard);
void qta_origin_members_changed(struct qta_shard *shard);
void qta_origin_account_init(struct qta_account *account);
void qta_origin_account_end(struct qta_state *state, struct qta_account *account, uint64_t now_us);
enum qta_verdict qta_origin_admit(struct qta_state *state, struct qta_account *account,
				  struct qta_waiter *waiter, uint64_t *retry_after_us,
				  uint64_t now_us);
void qta_origin_cancel(struct qta_state *state, struct qta_waiter *waiter);
void qta_origin_answer(struct qta_shard *shard, const char *from, const struct qta_message *answer,
		       uint64_t now_us);
void qta_origin_lowered(struct qta_account *account, uint64_t rate_before);

#ifdef __cplusplus
}
#endif

#endif
