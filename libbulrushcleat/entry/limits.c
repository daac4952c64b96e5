#include "entry/entry_internal.h"

#include "quota/quota.h"

#include <stdlib.h>
#include <string.h>

/* The rate limits of accounts: connects the quota module with members, the store and statements. */
struct ent_limits {
	struct qta_state *quota;
	struct bc_timer members_timer;
	uint64_t member_version; /* that the list is of */
	const char **members;	 /* live members, from mem_at() */
	uint32_t member_count;
	uint32_t member_size;
};

static void on_send(void *data, const char *proxy, const struct qta_message *message)
{
	struct ent_entry *entry = data;

	ent_quota_send(entry, proxy, message);
}

static void on_admitted(void *data, uint64_t waiter, uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_admitted(entry->statements, waiter, now_us);
}

static void on_refused(void *data, uint64_t waiter, uint64_t retry_after_us, uint64_t now_us)
{
	struct ent_entry *entry = data;

	stm_admission_refused(entry->statements, waiter, retry_after_us, now_us);
}

static void on_read_claim(void *data, uint32_t shard)
{
	struct ent_entry *entry = data;

	entry->ops.read_limit_claim(entry->ops.data, shard);
}

static void on_write_claim(void *data, uint32_t shard, uint64_t revision,
			   const struct qta_claim *claim)
{
	struct ent_entry *entry = data;
	json_t *spec =
		json_pack("{s:s,s:I,s:I,s:b,s:b}", "holder", claim->holder, "incarnation",
			  (json_int_t)claim->incarnation, "serial", (json_int_t)claim->serial,
			  "released", (int)claim->released, "carried", (int)claim->carried);

	entry->ops.write_limit_claim(entry->ops.data, shard, revision, spec);
	json_decref(spec);
}

/* Lists the live members; the list is valid until the members change. */
static uint32_t on_member_count(void *data)
{
	struct ent_entry *entry = data;
	struct ent_limits *limits = entry->limits;
	uint32_t all = (uint32_t)mem_count(entry->members);
	uint32_t i;

	if (limits->member_size < all) {
		const char **members = realloc(limits->members, all * sizeof(*members));

		if (!members)
			return limits->member_count;
		limits->members = members;
		limits->member_size = all;
	}
	limits->member_count = 0;
	for (i = 0; i < all; i++) {
		const struct mem_update *member = mem_at(entry->members, i);

		if (member->health != MEM_DEAD && !member->leaving)
			limits->members[limits->member_count++] = member->id;
	}
	return limits->member_count;
}

static const char *on_member_at(void *data, uint32_t index)
{
	const struct ent_entry *entry = data;

	return entry->limits->members[index];
}

static void on_members_timer(void *data, uint64_t now_us)
{
	struct ent_entry *entry = data;

	qta_members_changed(entry->limits->quota, now_us);
}

/*
 * Creates the rate limits. Does nothing if the driver has no calls for their claims; all operations
 * are then admitted. Returns false when out of memory.
 */
bool ent_limits_create(struct ent_entry *entry, uint64_t now_us)
{
	static const struct qta_ops ops = {on_send,	  on_admitted,	  on_refused,
					   on_read_claim, on_write_claim, on_member_count,
					   on_member_at};

	if (!entry->ops.read_limit_claim || !entry->ops.write_limit_claim)
		return true;
	entry->limits = calloc(1, sizeof(*entry->limits));
	if (!entry->limits)
		return false;
	bc_timer_init(&entry->limits->members_timer, on_members_timer, entry);
	entry->limits->quota = qta_create(entry->ctx, entry->timers, entry->settings.id,
					  entry->settings.incarnation, &ops, entry, now_us);
	if (!entry->limits->quota)
		return false;
	qta_tolerance_set(entry->limits->quota, &entry->settings.limit_tolerance);
	return true;
}

/* Frees the rate limits. Must precede the destruction of the timers. */
void ent_limits_destroy(struct ent_entry *entry)
{
	if (!entry->limits)
		return;
	qta_destroy(entry->limits->quota);
	bc_timer_cancel(entry->timers, &entry->limits->members_timer);
	free(entry->limits->members);
	free(entry->limits);
	entry->limits = NULL;
}

/* Asks for the admission of an operation; see struct stm_ops. */
enum stm_admission ent_admit(void *data, const char *account, uint32_t priority,
			     uint64_t wait_until_us, uint64_t waiter, uint64_t *retry_after_us,
			     uint64_t now_us)
{
	struct ent_entry *entry = data;

	if (!entry->limits)
		return STM_ADMITTED;
	switch (qta_admit(entry->limits->quota, account, priority, wait_until_us, waiter,
			  retry_after_us, now_us)) {
	case QTA_ADMITTED:
		return STM_ADMITTED;
	case QTA_WAITING:
		return STM_ADMISSION_WAITING;
	case QTA_REFUSED:
		break;
	}
	return STM_ADMISSION_REFUSED;
}

/* Withdraws an operation that waits for its admission. */
void ent_admission_cancel(void *data, uint64_t waiter)
{
	struct ent_entry *entry = data;

	if (entry->limits)
		qta_cancel(entry->limits->quota, waiter);
}

/* Applies the limits of the configuration in force. */
void ent_limits_config(struct ent_entry *entry, uint64_t now_us)
{
	if (entry->limits)
		qta_accounts_set(entry->limits->quota, entry->config.accounts, now_us);
}

/* Schedules the choice of counters among the members, if these have changed. */
void ent_limits_members(struct ent_entry *entry)
{
	struct ent_limits *limits = entry->limits;

	if (!limits || limits->member_version == mem_version(entry->members))
		return;
	limits->member_version = mem_version(entry->members);
	bc_timer_reduce(entry->timers, &limits->members_timer, 0);
}

/* Hands the claims of this proxy over. */
void ent_limits_drain(struct ent_entry *entry, uint64_t now_us)
{
	if (entry->limits)
		qta_drain(entry->limits->quota, now_us);
}

/* Handles a message of another proxy. */
void ent_limits_message(struct ent_entry *entry, const char *peer,
			const struct qta_message *message, uint64_t now_us)
{
	if (entry->limits)
		qta_message(entry->limits->quota, peer, message, now_us);
}

static void claim_decode(const json_t *spec, struct qta_claim *claim)
{
	const char *holder = json_string_value(json_object_get(spec, "holder"));
	json_int_t incarnation = json_integer_value(json_object_get(spec, "incarnation"));

	memset(claim, 0, sizeof(*claim));
	/* The claim of an object that cannot be read is taken over when it has run out. */
	if (!holder || !bc_id_valid(holder))
		return;
	snprintf(claim->holder, sizeof(claim->holder), "%s", holder);
	claim->incarnation = incarnation > 0 ? (uint64_t)incarnation : 0;
	claim->released = json_is_true(json_object_get(spec, "released"));
	claim->carried = json_is_true(json_object_get(spec, "carried"));
}

/* Completes the read of a shard's claim. */
void ent_limit_claim_read(struct ent_entry *entry, uint32_t shard, enum bc_status status,
			  uint64_t revision, const json_t *spec, uint64_t now_us)
{
	struct qta_claim claim;

	claim_decode(spec, &claim);
	if (entry->limits)
		qta_claim_read(entry->limits->quota, shard, status, revision, &claim, now_us);
}

/* Completes the write of a shard's claim. */
void ent_limit_claim_written(struct ent_entry *entry, uint32_t shard, enum bc_status status,
			     uint64_t revision, uint64_t now_us)
{
	if (entry->limits)
		qta_claim_written(entry->limits->quota, shard, status, revision, now_us);
}
