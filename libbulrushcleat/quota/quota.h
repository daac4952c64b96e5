#ifndef BC_QUOTA_H
#define BC_QUOTA_H

/*
 * Limits the rate of each account's operations over all proxies. The accounts are divided into
 * shards; one proxy, the shard's counter, keeps the token buckets of its accounts under a claim in
 * the store. The other proxies, the origins, request tokens from it. See docs/design/quota.md.
 */

#include "account/account.h"
#include "core/timer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QTA_SHARDS 8U
/* Accounts in one message. */
#define QTA_ITEMS_MAX 256U
/* Validity of a claim, from when its write was sent. */
#define QTA_CLAIM_US (8 * BC_US_PER_S)

enum qta_verdict { QTA_ADMITTED, QTA_WAITING, QTA_REFUSED };

struct qta_item {
	char account[BC_ID_BYTES];
	/* Request. */
	uint32_t wanted; /* tokens */
	uint32_t urgent; /* of these for operations of the account's most urgent priority */
	uint32_t held;	 /* valid tokens that the origin has not used */
	uint64_t used;	 /* operations started since the origin knows this epoch */
	bool carries;	 /* the origin keeps its right to carry on without the counter */
	/* Answer. */
	uint32_t granted;
	uint32_t retry_after_ms; /* until the counter has another token */
	uint32_t carry_milli;	 /* operations per 1,000 s that may start without the counter */
};

struct qta_message {
	bool is_answer;
	uint32_t shard;
	uint64_t sent_us;     /* when the request was sent, by the origin's clock; echoed */
	uint64_t epoch;	      /* the counter's term of office; 0: not known */
	uint64_t incarnation; /* request: of the origin */
	uint64_t answered_us; /* answer: its time, by the counter's clock; request: of the latest
				 answer received in this epoch */
	bool is_counter;
	char counter[BC_ID_BYTES]; /* the counter known to the answering proxy, or empty */
	uint64_t revision;	   /* of the counter's claim */
	uint32_t claim_left_ms;
	uint32_t count;
	struct qta_item *items;
};

struct qta_claim {
	char holder[BC_ID_BYTES];
	uint64_t incarnation;
	bool released;
	/* Differs in each write of an incarnation: a store may keep the revision of an equal
	 * object. */
	uint64_t serial;
	bool carried; /* released while origins may still carry on without the counter */
};

struct qta_ops {
	/* Sends a message, which may get lost. `message` is borrowed. */
	void (*send)(void *data, const char *proxy, const struct qta_message *message);
	void (*admitted)(void *data, uint64_t waiter, uint64_t now_us);
	void (*refused)(void *data, uint64_t waiter, uint64_t retry_after_us, uint64_t now_us);
	/* Reads a shard's claim. Completed by qta_claim_read(). */
	void (*read_claim)(void *data, uint32_t shard);
	/*
	 * Writes a shard's claim if its revision is unchanged (0: there is none). Completed by
	 * qta_claim_written().
	 */
	void (*write_claim)(void *data, uint32_t shard, uint64_t revision,
			    const struct qta_claim *claim);
	/* The live members that are not leaving, this proxy included. */
	uint32_t (*member_count)(void *data);
	const char *(*member_at)(void *data, uint32_t index);
};

struct qta_state;

struct qta_state *qta_create(struct bc_ctx *ctx, struct bc_timers *timers, const char *self,
			     uint64_t incarnation, const struct qta_ops *ops, void *data,
			     uint64_t now_us);
void qta_destroy(struct qta_state *state);
/* Sets the accounts, which are used until the next call; NULL: none. */
void qta_accounts_set(struct qta_state *state, const struct acc_table *accounts, uint64_t now_us);
/*
 * By how much the operations of a window may exceed what rate and burst allow, as the operators
 * tolerate it: this part of that number, in thousandths, and so many more.
 */
struct qta_tolerance {
	uint32_t excess_milli;
	uint32_t operations;
};
/* Sets the tolerance, 0 if it is not set. Applies to the accounts that are set after the call. */
void qta_tolerance_set(struct qta_state *state, const struct qta_tolerance *tolerance);
/*
 * Asks for an operation of an account. On QTA_WAITING, ops.admitted or ops.refused follows unless
 * qta_cancel() is called; neither is called before qta_admit() has returned.
 */
enum qta_verdict qta_admit(struct qta_state *state, const char *account, uint32_t priority,
			   uint64_t wait_until_us, uint64_t waiter, uint64_t *retry_after_us,
			   uint64_t now_us);
void qta_cancel(struct qta_state *state, uint64_t waiter);
void qta_message(struct qta_state *state, const char *from, const struct qta_message *message,
		 uint64_t now_us);
/* Passes the answer to a read of the claim to shard `number`; BC_ENOTFOUND: there is no claim. */
void qta_claim_read(struct qta_state *state, uint32_t number, enum bc_status status,
		    uint64_t revision, const struct qta_claim *claim, uint64_t now_us);
/* Passes the answer to a write; `revision` is that of the claim written. */
void qta_claim_written(struct qta_state *state, uint32_t number, enum bc_status status,
		       uint64_t revision, uint64_t now_us);
void qta_members_changed(struct qta_state *state, uint64_t now_us);
/* Hands the claims of this proxy over. */
void qta_drain(struct qta_state *state, uint64_t now_us);
/* Returns an account's shard. */
uint32_t qta_shard(const char *account);

#ifdef __cplusplus
}
#endif

#endif
