#include "quota/quota_internal.h"

#include <stdlib.h>
#include <string.h>

/* Origins that ask less often are checked for use and rights that they have not reported. */
#define SWEEP_US (25 * BC_US_PER_MS)
/* Requests of origins with continuous load come within this time. */
#define SILENT_US (100 * BC_US_PER_MS)
/* Tokens of a silent origin have expired, or their use is not reported, after this time. */
#define FORFEIT_US (150 * BC_US_PER_MS)
#define WANTED_US (200 * BC_US_PER_MS)
#define ENTRY_UNUSED_US (20 * BC_US_PER_S)
/* Minimum right of an origin that has operations at all. */
#define RIGHT_MIN_MILLI 1000U
#define RATE_WINDOW_US BC_US_PER_S
/* Tokens that a bucket can hold beside 100 ms of the rate; origins with few operations report late.
 */
#define CONTENT_MIN 5U
/* Charged to an origin in advance and returned if it reports less use. */
#define REFUNDABLE_MAX (3 * QTA_TOKEN)
/* Limits are stated for windows of this length. */
#define WINDOW_S 5U
/* Part of a window's operations that a bucket holds at least, and a number for small limits. */
#define BUCKET_DIVISOR 16U
#define BUCKET_MIN 6U
/* Left to rounding. */
#define WINDOW_RESERVE 2U
#define RETRY_MIN_MS 10U
#define RETRY_MAX_MS 10000LL

static int64_t content_max(uint64_t rate, uint64_t burst)
{
	/* Below what is used between two reports of the origins, part of the rate would be lost. */
	uint64_t least = rate * (uint64_t)(QTA_TOKEN / 10) + CONTENT_MIN * (uint64_t)QTA_TOKEN;
	uint64_t content = burst * (uint64_t)QTA_TOKEN;

	return (int64_t)(content < least ? least : content);
}

/*
 * Turns a limit of `rate` and `burst`, stated for any window of 5 s with a tolerance, into a bucket
 * that allows as much as possible in each window: a full bucket and 5 s of its rate, which takes
 * 5 % more with a fast clock. An account that sends all the time could use only 5 s of its own rate
 * otherwise, though the window has room for the burst and the tolerance in addition. The bucket
 * holds the burst, and some operations more where that is small, since operations come irregularly.
 */
void qta_tolerance_apply(const struct qta_tolerance *tolerance, uint64_t *rate, uint64_t *burst)
{
	uint64_t plain = WINDOW_S * *rate + *burst;
	uint64_t window = plain + plain * tolerance->excess_milli / 1000 + tolerance->operations;
	uint64_t held = window / BUCKET_DIVISOR + BUCKET_MIN;
	uint64_t raised;

	held = *burst > held ? *burst : held;
	if (window < held + WINDOW_RESERVE)
		return;
	raised = (window - held - WINDOW_RESERVE) * 100 / (105 * WINDOW_S);
	if (raised < *rate)
		return;
	*rate = raised;
	*burst = held;
}

/* Initializes an account's bucket without tokens. */
void qta_bucket_init(struct qta_account *account, uint64_t now_us)
{
	struct qta_bucket *bucket = &account->bucket;

	memset(bucket, 0, sizeof(*bucket));
	/* What the content may exceed the burst by is owed at the start, see content_max(). */
	bucket->content =
		(int64_t)account->burst * QTA_TOKEN - content_max(account->rate, account->burst);
	bucket->filled_us = now_us;
	APR_RING_INIT(&bucket->ring, qta_entry, link);
}

/* Frees what the counter knows of the account's origins. */
void qta_bucket_clear(struct qta_account *account)
{
	struct qta_bucket *bucket = &account->bucket;
	struct qta_entry *entry = APR_RING_FIRST(&bucket->ring);

	while (entry != APR_RING_SENTINEL(&bucket->ring, qta_entry, link)) {
		struct qta_entry *next = APR_RING_NEXT(entry, link);

		free(entry);
		entry = next;
	}
	APR_RING_INIT(&bucket->ring, qta_entry, link);
	if (bucket->pool)
		apr_pool_destroy(bucket->pool);
	bucket->pool = NULL;
	bucket->entries = NULL;
}

/* Returns the tokens of a time, in content units; half as many while earlier rights may be used. */
static int64_t fill_of(const struct qta_shard *shard, const struct qta_account *account,
		       uint64_t from_us, uint64_t until_us)
{
	uint64_t half_us = 0;

	/* Longer than any bucket that is in use takes to fill. */
	if (until_us > from_us + 1000 * BC_US_PER_S)
		from_us = until_us - 1000 * BC_US_PER_S;
	if (until_us <= from_us)
		return 0;
	if (shard->half_until_us > from_us)
		half_us = (shard->half_until_us < until_us ? shard->half_until_us : until_us) -
			  from_us;
	return (int64_t)(account->rate * (until_us - from_us - half_us) +
			 account->rate * half_us / 2);
}

static void bucket_fill(const struct qta_shard *shard, struct qta_account *account, uint64_t now_us)
{
	struct qta_bucket *bucket = &account->bucket;
	int64_t max = content_max(account->rate, account->burst);

	bucket->content += fill_of(shard, account, bucket->filled_us, now_us);
	if (now_us > bucket->filled_us)
		bucket->filled_us = now_us;
	if (bucket->content + bucket->refundable > max)
		bucket->content = max - bucket->refundable;
}

/* Changes the limit; the content is kept up to what the new limit allows. */
void qta_bucket_limit(struct qta_shard *shard, struct qta_account *account, uint64_t rate,
		      uint64_t burst, uint64_t now_us)
{
	struct qta_bucket *bucket = &account->bucket;

	bucket_fill(shard, account, now_us);
	account->rate = rate;
	account->burst = burst;
	if (bucket->content + bucket->refundable > content_max(rate, burst))
		bucket->content = content_max(rate, burst) - bucket->refundable;
}

static void entry_right_update(struct qta_bucket *bucket, struct qta_entry *entry)
{
	uint32_t right = entry->known_right_milli;
	uint32_t i;

	for (i = 0; i < entry->grant_count; i++)
		if (entry->grants[i].carry_milli > right)
			right = entry->grants[i].carry_milli;
	bucket->rights_milli -= entry->right_milli;
	entry->right_milli = right;
	bucket->rights_milli += right;
}

static uint32_t entry_outstanding(const struct qta_entry *entry)
{
	uint32_t count = entry->held;
	uint32_t i;

	for (i = 0; i < entry->grant_count; i++)
		count += entry->grants[i].count;
	return count;
}

/* Returns when a silent origin is charged: earlier than it carries on, as its clock may be faster.
 */
static uint64_t charge_after_us(uint32_t right_milli)
{
	return qta_carry_after_us(right_milli) * 15 / 16;
}

/* Operations that a right allows in a time by a clock that may be faster, in content units. */
static int64_t right_use(const struct qta_entry *entry, uint64_t from_us, uint64_t until_us)
{
	if (until_us > entry->right_until_us)
		until_us = entry->right_until_us;
	if (until_us <= from_us)
		return 0;
	return (int64_t)(entry->right_milli * (until_us - from_us) / 1000 * 17 / 16);
}

/* Marks a part of what is charged in advance as returnable; it counts as content until then. */
static void refundable_add(struct qta_account *account, struct qta_entry *entry, int64_t charge)
{
	struct qta_bucket *bucket = &account->bucket;
	int64_t room = content_max(account->rate, account->burst) / 2 - bucket->refundable;

	if (charge > REFUNDABLE_MAX - entry->refundable)
		charge = REFUNDABLE_MAX - entry->refundable;
	if (charge > room)
		charge = room;
	if (charge <= 0)
		return;
	entry->refundable += charge;
	bucket->refundable += charge;
}

static void refundable_clear(struct qta_bucket *bucket, struct qta_entry *entry)
{
	bucket->refundable -= entry->refundable;
	entry->refundable = 0;
}

/* Charges what the origin may have carried on with, whether or not it has. */
static void entry_charge(struct qta_account *account, struct qta_entry *entry, uint64_t now_us)
{
	uint64_t from_us = entry->acked_us + charge_after_us(entry->right_milli);
	int64_t use =
		right_use(entry, from_us > entry->charged_us ? from_us : entry->charged_us, now_us);

	if (now_us <= entry->charged_us)
		return;
	entry->charged_us = now_us;
	entry->precharged += use;
	account->bucket.content -= use;
	refundable_add(account, entry, use);
}

/* Charges the tokens that a silent origin may have used. */
static void entry_forfeit(struct qta_account *account, struct qta_entry *entry)
{
	struct qta_bucket *bucket = &account->bucket;
	uint32_t count = entry_outstanding(entry);
	uint32_t i;

	if (!count)
		return;
	entry->precharged += count * QTA_TOKEN;
	bucket->content -= count * QTA_TOKEN;
	bucket->outstanding -= count;
	refundable_add(account, entry, count * QTA_TOKEN);
	entry->held = 0;
	for (i = 0; i < entry->grant_count; i++)
		entry->grants[i].count = 0;
}

static void entry_wanted_set(struct qta_bucket *bucket, struct qta_entry *entry, uint32_t wanted,
			     uint32_t urgent)
{
	bucket->wanted = bucket->wanted - entry->wanted + wanted;
	bucket->urgent = bucket->urgent - entry->urgent + urgent;
	entry->wanted = wanted;
	entry->urgent = urgent;
}

static void entry_remove(struct qta_account *account, struct qta_entry *entry)
{
	struct qta_bucket *bucket = &account->bucket;

	entry_forfeit(account, entry);
	refundable_clear(bucket, entry);
	entry_wanted_set(bucket, entry, 0, 0);
	bucket->rights_milli -= entry->right_milli;
	APR_RING_REMOVE(entry, link);
	apr_hash_set(bucket->entries, entry->origin, APR_HASH_KEY_STRING, NULL);
	free(entry);
}

static bool entry_may_be_silent(const struct qta_entry *entry, uint64_t now_us)
{
	return entry->requested_us + SILENT_US <= now_us ||
	       entry->acked_us + charge_after_us(entry->right_milli) <= now_us + SILENT_US;
}

/* Charges the origins that may be carrying on, and forgets those without operations. */
static void bucket_sweep(struct qta_account *account, uint64_t now_us)
{
	struct qta_bucket *bucket = &account->bucket;
	struct qta_entry *entry;
	struct qta_entry *next;

	if (now_us < bucket->swept_us + SWEEP_US)
		return;
	bucket->swept_us = now_us;
	for (entry = APR_RING_FIRST(&bucket->ring);
	     entry != APR_RING_SENTINEL(&bucket->ring, qta_entry, link) &&
	     entry_may_be_silent(entry, now_us);
	     entry = next) {
		next = APR_RING_NEXT(entry, link);
		entry_charge(account, entry, now_us);
		if (now_us >= entry->requested_us + FORFEIT_US)
			entry_forfeit(account, entry);
		if (now_us >= entry->requested_us + WANTED_US)
			entry_wanted_set(bucket, entry, 0, 0);
		if (now_us >= entry->requested_us + ENTRY_UNUSED_US &&
		    (!entry->right_milli || now_us >= entry->right_until_us))
			entry_remove(account, entry);
	}
}

static struct qta_entry *entry_get(struct qta_bucket *bucket, const char *origin)
{
	struct qta_entry *entry;

	if (!bucket->entries) {
		apr_pool_create(&bucket->pool, NULL);
		bucket->entries = apr_hash_make(bucket->pool);
	}
	entry = apr_hash_get(bucket->entries, origin, APR_HASH_KEY_STRING);
	if (entry)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	snprintf(entry->origin, sizeof(entry->origin), "%s", origin);
	apr_hash_set(bucket->entries, entry->origin, APR_HASH_KEY_STRING, entry);
	APR_RING_INSERT_TAIL(&bucket->ring, entry, qta_entry, link);
	return entry;
}

/* Removes the grants that the origin knows, and finds its right as of then. */
static void grants_acknowledge(struct qta_entry *entry, uint64_t acked_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->grant_count; i++) {
		struct qta_grant *grant = &entry->grants[i];

		if (grant->answered_us > acked_us)
			entry->grants[kept++] = *grant;
		else if (grant->answered_us == acked_us)
			entry->known_right_milli = grant->carry_milli;
		else if (grant->carry_milli > entry->known_right_milli)
			/* It is not known whether this answer arrived. */
			entry->known_right_milli = grant->carry_milli;
	}
	entry->grant_count = kept;
}

static void rate_update(struct qta_entry *entry, uint64_t used, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - entry->rate_from_us;

	entry->rate_used += used;
	if (elapsed_us < RATE_WINDOW_US)
		return;
	entry->rate_milli =
		(entry->rate_milli + entry->rate_used * 1000 * BC_US_PER_S / elapsed_us) / 2;
	entry->rate_from_us = now_us;
	entry->rate_used = 0;
}

/*
 * Takes an origin's report over. The content is charged with the reported use and with what the
 * origin may have carried on with since the latest answer that it has received, as far as this is
 * not charged already.
 */
static void entry_report(struct qta_account *account, struct qta_entry *entry,
			 const struct qta_item *item, uint64_t acked_us, uint64_t now_us)
{
	struct qta_bucket *bucket = &account->bucket;
	uint64_t used = item->used > entry->used ? item->used - entry->used : 0;
	uint64_t charge_from_us;
	uint32_t before = entry_outstanding(entry);
	int64_t possible;
	int64_t due;

	grants_acknowledge(entry, acked_us);
	if (!item->carries) {
		uint32_t i;

		entry->known_right_milli = 0;
		for (i = 0; i < entry->grant_count; i++)
			entry->grants[i].carry_milli = 0;
	}
	entry_right_update(bucket, entry);
	entry->acked_us = acked_us;
	entry->used += used;
	entry->held = item->held < before ? item->held : before;
	bucket->outstanding = bucket->outstanding - before + entry_outstanding(entry);
	charge_from_us = acked_us + charge_after_us(entry->right_milli);
	possible = right_use(entry, charge_from_us, now_us);
	due = (int64_t)used * QTA_TOKEN + possible;
	if (due > entry->precharged)
		bucket->content -= due - entry->precharged;
	else if (entry->precharged - due < entry->refundable)
		bucket->content += entry->precharged - due;
	else
		bucket->content += entry->refundable;
	refundable_clear(bucket, entry);
	entry->precharged = possible;
	refundable_add(account, entry, possible);
	entry->charged_us = now_us;
	rate_update(entry, used, now_us);
}

static uint32_t share_of(uint64_t tokens, uint32_t own, uint64_t all)
{
	uint64_t share = all ? (tokens * own + all - 1) / all : 0;

	if (share > tokens)
		share = tokens;
	return share < own ? (uint32_t)share : own;
}

/* Divides the tokens in proportion to what the origins want, urgent operations first. */
static uint32_t tokens_to_grant(const struct qta_bucket *bucket, const struct qta_entry *entry)
{
	int64_t free = bucket->content / QTA_TOKEN - (int64_t)bucket->outstanding;
	uint64_t tokens = free > 0 ? (uint64_t)free : 0;

	if (bucket->wanted <= tokens)
		return entry->wanted;
	if (bucket->urgent >= tokens)
		return share_of(tokens, entry->urgent, bucket->urgent);
	return entry->urgent + share_of(tokens - bucket->urgent, entry->wanted - entry->urgent,
					bucket->wanted - bucket->urgent);
}

static uint32_t retry_after_ms(const struct qta_account *account, uint64_t rate)
{
	const struct qta_bucket *bucket = &account->bucket;
	int64_t missing = ((int64_t)bucket->outstanding + 1) * QTA_TOKEN - bucket->content;
	int64_t ms = missing > 0 && rate ? missing / (int64_t)rate / 1000 + 1 : RETRY_MIN_MS;

	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return ms < RETRY_MIN_MS ? RETRY_MIN_MS : (uint32_t)ms;
}

/* Returns the right to carry on that the origin gets: its recent use, within half of the rate. */
static uint32_t right_to_give(const struct qta_shard *shard, const struct qta_account *account,
			      const struct qta_entry *entry, uint64_t now_us)
{
	uint64_t others = account->bucket.rights_milli - entry->right_milli;
	uint64_t all = account->rate * 500;
	uint64_t right = entry->rate_milli * 5 / 4;

	if (shard->state->draining || now_us < shard->half_until_us || others >= all)
		return 0;
	if (right < RIGHT_MIN_MILLI)
		right = RIGHT_MIN_MILLI;
	if (right > all - others)
		right = all - others;
	return right < UINT32_MAX ? (uint32_t)right : UINT32_MAX;
}

static void grant_record(struct qta_bucket *bucket, struct qta_entry *entry, uint64_t answered_us,
			 const struct qta_item *item)
{
	struct qta_grant *last;

	if (entry->grant_count == QTA_GRANTS) {
		struct qta_grant *first = &entry->grants[0];

		entry->grants[1].count += first->count;
		if (entry->grants[1].carry_milli < first->carry_milli)
			entry->grants[1].carry_milli = first->carry_milli;
		memmove(first, first + 1, (QTA_GRANTS - 1) * sizeof(*first));
		entry->grant_count--;
	}
	last = &entry->grants[entry->grant_count++];
	last->answered_us = answered_us;
	last->count = item->granted;
	last->carry_milli = item->carry_milli;
	bucket->outstanding += item->granted;
	entry_right_update(bucket, entry);
}

/* Handles one account of a request and fills its part of the answer. False: nothing to answer. */
static bool item_answer(struct qta_shard *shard, const char *from,
			const struct qta_message *request, const struct qta_item *item,
			uint64_t answered_us, struct qta_item *out, uint64_t now_us)
{
	struct qta_account *account =
		apr_hash_get(shard->state->accounts, item->account, APR_HASH_KEY_STRING);
	bool known = request->epoch == shard->own_epoch;
	struct qta_bucket *bucket;
	struct qta_entry *entry;
	uint64_t rate;

	if (!account || account->shard != shard->number)
		return false;
	bucket = &account->bucket;
	bucket_fill(shard, account, now_us);
	bucket_sweep(account, now_us);
	entry = entry_get(bucket, from);
	if (entry && request->incarnation > entry->incarnation && entry->incarnation) {
		entry_remove(account, entry);
		entry = entry_get(bucket, from);
	}
	if (!entry || request->incarnation < entry->incarnation ||
	    (entry->incarnation && request->sent_us <= entry->sent_us))
		return false;
	if (!entry->incarnation) {
		entry->rate_from_us = now_us;
		entry->acked_us = now_us;
		entry->charged_us = now_us;
	}
	entry->incarnation = request->incarnation;
	entry->sent_us = request->sent_us;
	entry->requested_us = now_us;
	entry_charge(account, entry, now_us);
	if (known && request->answered_us >= entry->acked_us && request->answered_us < answered_us)
		entry_report(account, entry, item, request->answered_us, now_us);
	entry_wanted_set(bucket, entry, item->wanted,
			 item->urgent < item->wanted ? item->urgent : item->wanted);
	*out = (struct qta_item){.granted = tokens_to_grant(bucket, entry)};
	snprintf(out->account, sizeof(out->account), "%s", item->account);
	entry_wanted_set(bucket, entry, entry->wanted - out->granted,
			 entry->urgent > out->granted ? entry->urgent - out->granted : 0);
	if (item->carries)
		out->carry_milli = right_to_give(shard, account, entry, now_us);
	entry->right_until_us = shard->valid_until_us + QTA_MARGIN_US;
	grant_record(bucket, entry, answered_us, out);
	rate = now_us < shard->half_until_us ? account->rate / 2 : account->rate;
	if (entry->wanted)
		out->retry_after_ms = retry_after_ms(account, rate);
	APR_RING_REMOVE(entry, link);
	if (entry->acked_us + charge_after_us(entry->right_milli) <= now_us + SILENT_US)
		APR_RING_INSERT_HEAD(&bucket->ring, entry, qta_entry, link);
	else
		APR_RING_INSERT_TAIL(&bucket->ring, entry, qta_entry, link);
	bc_counter_add(shard->state->ctx, "bulrushcleat_quota_tokens_granted_total", NULL,
		       out->granted);
	return true;
}

/* Returns whether an origin may still carry on with one of the shard's accounts. */
bool qta_rights_remain(struct qta_shard *shard, uint64_t now_us)
{
	apr_hash_index_t *index;

	for (index = apr_hash_first(NULL, shard->state->accounts); index;
	     index = apr_hash_next(index)) {
		struct qta_account *account;
		struct qta_entry *entry;

		apr_hash_this(index, NULL, NULL, (void **)&account);
		if (account->shard != shard->number)
			continue;
		for (entry = APR_RING_FIRST(&account->bucket.ring);
		     entry != APR_RING_SENTINEL(&account->bucket.ring, qta_entry, link);
		     entry = APR_RING_NEXT(entry, link))
			if (entry->right_milli && now_us < entry->right_until_us)
				return true;
	}
	return false;
}

/* Empties the buckets of the shard at the begin of a term of office. */
void qta_counter_begin(struct qta_shard *shard, uint64_t now_us)
{
	apr_hash_index_t *index;

	for (index = apr_hash_first(NULL, shard->state->accounts); index;
	     index = apr_hash_next(index)) {
		struct qta_account *account;

		apr_hash_this(index, NULL, NULL, (void **)&account);
		if (account->shard != shard->number)
			continue;
		qta_bucket_clear(account);
		qta_bucket_init(account, now_us);
	}
}

/* Answers a request with the name of the counter, if this proxy knows one that answers. */
static void refer(struct qta_shard *shard, const char *from, const struct qta_message *request,
		  uint64_t now_us)
{
	struct qta_state *state = shard->state;
	struct qta_message answer = {
		.is_answer = true, .shard = shard->number, .sent_us = request->sent_us};
	bool recent = shard->counter[0] && shard->answer_received_us &&
		      now_us < shard->answer_received_us + BC_US_PER_S;

	if (recent && strcmp(shard->counter, from) != 0) {
		snprintf(answer.counter, sizeof(answer.counter), "%s", shard->counter);
	} else {
		if (shard->seen && shard->revision && !shard->claim.released &&
		    strcmp(shard->claim.holder, from) != 0 &&
		    strcmp(shard->claim.holder, state->self) != 0 &&
		    qta_is_live(state, shard->claim.holder))
			snprintf(answer.counter, sizeof(answer.counter), "%s", shard->claim.holder);
		/* A proxy asks itself only while it knows no other member. */
		if (strcmp(from, state->self) != 0)
			qta_claim_asked(shard, now_us);
	}
	qta_send(state, from, &answer, now_us);
}

/* Handles a request for tokens. */
void qta_counter_request(struct qta_shard *shard, const char *from,
			 const struct qta_message *request, uint64_t now_us)
{
	struct qta_item items[QTA_ITEMS_MAX];
	struct qta_message answer = {.is_answer = true, .shard = shard->number, .items = items};
	uint32_t i;

	if (!qta_is_counter(shard, now_us)) {
		refer(shard, from, request, now_us);
		return;
	}
	answer.answered_us = now_us > shard->last_answer_us ? now_us : shard->last_answer_us + 1;
	shard->last_answer_us = answer.answered_us;
	for (i = 0; i < request->count; i++)
		answer.count += item_answer(shard, from, request, &request->items[i],
					    answer.answered_us, &items[answer.count], now_us);
	if (!answer.count && request->count)
		return;
	answer.sent_us = request->sent_us;
	answer.epoch = shard->own_epoch;
	answer.is_counter = true;
	answer.revision = shard->revision;
	answer.claim_left_ms = (uint32_t)((shard->valid_until_us - now_us) / BC_US_PER_MS);
	snprintf(answer.counter, sizeof(answer.counter), "%s", shard->state->self);
	qta_send(shard->state, from, &answer, now_us);
}
