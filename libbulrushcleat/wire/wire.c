#include "wire/wire_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zlib.h>

/*
 * Limits the memory of one unpacked envelope. An empty submessage takes 2 bytes in a frame but
 * about 100 in memory, so a frame of the maximum size could otherwise take over 50 MB.
 */
#define UNPACK_MAX_BYTES (4U * 1024U * 1024U)
/* Each refutation increments the incarnation, so a value near 2^64 could not be refuted. */
#define INCARNATION_MAX INT64_MAX
/* Shorter documents are sent uncompressed. */
#define DOCUMENT_DEFLATE_MIN_BYTES ((size_t)2048)

static void *budget_alloc(void *data, size_t size)
{
	size_t *budget_bytes = data;

	if (size > *budget_bytes)
		return NULL;
	*budget_bytes -= size;
	return malloc(size ? size : 1);
}

static void budget_free(void *data, void *pointer)
{
	(void)data;
	free(pointer);
}

/* Unpacks an envelope; NULL if it is malformed or needs more memory than UNPACK_MAX_BYTES. */
Wire__Envelope *wire_envelope_unpack(const uint8_t *data, size_t bytes)
{
	size_t budget_bytes = UNPACK_MAX_BYTES;
	ProtobufCAllocator allocator = {budget_alloc, budget_free, &budget_bytes};

	return wire__envelope__unpack(&allocator, bytes, data);
}

/* Frees an envelope returned by wire_envelope_unpack(). NULL is allowed. */
void wire_envelope_free(Wire__Envelope *envelope)
{
	ProtobufCAllocator allocator = {budget_alloc, budget_free, NULL};

	wire__envelope__free_unpacked(envelope, &allocator);
}

/* Returns the length in bytes declared by a frame's prefix. */
uint32_t wire_frame_length(const uint8_t *prefix)
{
	return (uint32_t)prefix[0] << 24 | (uint32_t)prefix[1] << 16 | (uint32_t)prefix[2] << 8 |
	       prefix[3];
}

/* Packs an envelope into a malloc'ed frame. BC_ELIMIT if it exceeds WIRE_FRAME_MAX_BYTES. */
enum bc_status wire_frame_envelope(struct bc_ctx *ctx, const Wire__Envelope *envelope,
				   uint8_t **frame, size_t *frame_bytes)
{
	size_t length = wire__envelope__get_packed_size(envelope);
	uint8_t *out;

	if (length > WIRE_FRAME_MAX_BYTES)
		return bc_fail(ctx, BC_ELIMIT,
			       "message of %zu bytes exceeds the maximum frame size", length);
	out = malloc(WIRE_PREFIX_BYTES + length);
	if (!out)
		return bc_fail(ctx, BC_ENOMEM, "out of memory for a frame");
	out[0] = (uint8_t)(length >> 24);
	out[1] = (uint8_t)(length >> 16);
	out[2] = (uint8_t)(length >> 8);
	out[3] = (uint8_t)length;
	wire__envelope__pack(envelope, out + WIRE_PREFIX_BYTES);
	*frame = out;
	*frame_bytes = WIRE_PREFIX_BYTES + length;
	return BC_OK;
}

/* Copies a field as a C string. False if it contains a NUL or does not fit into out_bytes. */
bool wire_text_copy(char *out, size_t out_bytes, ProtobufCBinaryData in)
{
	if (in.len >= out_bytes || (in.len && memchr(in.data, 0, in.len)))
		return false;
	if (in.len)
		memcpy(out, in.data, in.len);
	out[in.len] = '\0';
	return true;
}

static ProtobufCBinaryData text_field(const char *text)
{
	return (ProtobufCBinaryData){strlen(text), (uint8_t *)text};
}

static bool is_terminated(const char *text, size_t bytes)
{
	return memchr(text, 0, bytes) != NULL;
}

static bool id_field_valid(const char id[BC_ID_BYTES])
{
	return is_terminated(id, BC_ID_BYTES) && bc_id_valid(id);
}

/* The failure domain and region of a seed are empty until it has answered. */
static bool id_field_valid_or_empty(const char id[BC_ID_BYTES])
{
	return id[0] == '\0' || id_field_valid(id);
}

static bool address_field_valid(const char address[BC_ADDRESS_BYTES])
{
	static const char allowed[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-:[]";

	return is_terminated(address, BC_ADDRESS_BYTES) && address[0] &&
	       address[strspn(address, allowed)] == '\0';
}

static const char *update_invalid_field(const struct mem_update *update)
{
	if (!id_field_valid(update->id))
		return "id of an update";
	if (!address_field_valid(update->address))
		return "address of an update";
	if (!id_field_valid_or_empty(update->domain) || !id_field_valid_or_empty(update->region))
		return "failure domain or region of an update";
	if (update->incarnation > INCARNATION_MAX)
		return "incarnation of an update";
	if ((unsigned int)update->health > MEM_DEAD)
		return "health of an update";
	return NULL;
}

static const char *member_invalid_field(const struct mem_message *member)
{
	const char *invalid_field = NULL;
	uint32_t i;

	if ((unsigned int)member->kind > MEM_PING_REQUEST)
		return "kind of a membership message";
	if (member->kind == MEM_PING_REQUEST ? !id_field_valid(member->target) : member->target[0])
		return "target of a membership message";
	if (member->update_count > MEM_UPDATES_MAX)
		return "number of updates";
	for (i = 0; i < member->update_count && !invalid_field; i++)
		invalid_field = update_invalid_field(&member->updates[i]);
	return invalid_field;
}

/* The primary may be empty if the sender knows none and asks for it. */
static bool hint_valid(const struct wire_hint *hint)
{
	return id_field_valid(hint->database) &&
	       (id_field_valid(hint->primary) || (hint->unreachable && !hint->primary[0]));
}

static const char *push_invalid_field(const struct wire_message *message)
{
	const char *content = message->content;
	size_t length = content ? strnlen(content, WIRE_CONTENT_MAX_BYTES + 1) : 0;

	if (message->document >= WIRE_DOCUMENT_COUNT)
		return "number of a document";
	return length == 0 || length > WIRE_CONTENT_MAX_BYTES ? "length of a document" : NULL;
}

/* Returns the field that is out of range, or NULL. Used before packing and after unpacking. */
static const char *message_invalid_field(const struct wire_message *message)
{
	uint32_t i;

	if (!id_field_valid_or_empty(message->config_confirmed_for))
		return "id in a confirmation";
	if (message->hint_count > WIRE_HINTS_MAX)
		return "number of hints";
	for (i = 0; i < message->hint_count; i++)
		if (!hint_valid(&message->hints[i]))
			return "id in a hint";
	switch (message->kind) {
	case WIRE_MEMBER:
		return member_invalid_field(&message->member);
	case WIRE_PUSH:
		return push_invalid_field(message);
	case WIRE_PULL:
		return message->document < WIRE_DOCUMENT_COUNT ? NULL : "number of a document";
	case WIRE_ORDER:
		return wire_order_invalid_field(&message->order);
	case WIRE_REPLY:
		return wire_reply_invalid_field(&message->reply);
	case WIRE_QUOTA:
		return wire_quota_invalid_field(&message->quota);
	}
	return "kind of a message";
}

/*
 * Caches the last compressed document, because a proxy sends the same one to all others of its
 * domain. Compressing about 300 KB takes 40 ms on a small VM (0.12 of a core).
 */
static struct {
	uint64_t hash;
	size_t length;
	uint8_t *bytes;
	uLongf size;
} deflate_cache;

static bool deflate_document(const char *content, size_t length)
{
	uint64_t hash = XXH3_64bits(content, length);
	uLongf size = compressBound(length);
	uint8_t *bytes;

	if (deflate_cache.bytes && deflate_cache.hash == hash && deflate_cache.length == length)
		return true;
	bytes = malloc(size);
	if (!bytes ||
	    compress2(bytes, &size, (const Bytef *)content, length, Z_BEST_SPEED) != Z_OK) {
		free(bytes);
		return false;
	}
	free(deflate_cache.bytes);
	deflate_cache.hash = hash;
	deflate_cache.length = length;
	deflate_cache.bytes = bytes;
	deflate_cache.size = size;
	return true;
}

/*
 * Fills the content of a push. A long document is compressed, because it is sent to every proxy and
 * bandwidth between regions is low. The content stays valid until the next push is packed.
 */
static void pack_content(Wire__Push *push, const char *content)
{
	size_t length = strlen(content);

	push->content = text_field(content);
	if (length < DOCUMENT_DEFLATE_MIN_BYTES || !deflate_document(content, length) ||
	    deflate_cache.size >= length)
		return;
	push->content = (ProtobufCBinaryData){deflate_cache.size, deflate_cache.bytes};
	push->deflated_bytes = (uint32_t)length;
}

static void pack_update(Wire__Update *out, const struct mem_update *update)
{
	wire__update__init(out);
	out->id = text_field(update->id);
	out->address = text_field(update->address);
	out->domain = text_field(update->domain);
	out->region = text_field(update->region);
	out->incarnation = update->incarnation;
	out->health = (Wire__Health)update->health;
	out->leaving = update->leaving;
}

static void pack_hint(Wire__Hint *out, const struct wire_hint *hint)
{
	wire__hint__init(out);
	out->database = text_field(hint->database);
	out->term = hint->term;
	out->primary = text_field(hint->primary);
	out->silent = hint->unreachable;
}

static void pack_member(Wire__Member *out, const struct mem_message *member)
{
	wire__member__init(out);
	out->kind = (Wire__MemberKind)member->kind;
	out->sequence = member->sequence;
	out->target = text_field(member->target);
}

/*
 * Packs a message into a malloc'ed frame with its length prefix. Returns BC_EINVAL, and allocates
 * nothing, if a field is out of the range that wire_unpack() accepts.
 */
enum bc_status wire_pack(struct bc_ctx *ctx, const struct wire_message *message, uint8_t **frame,
			 size_t *frame_bytes)
{
	const char *invalid_field = message_invalid_field(message);
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	uint64_t versions[WIRE_DOCUMENT_COUNT];
	uint64_t eras[WIRE_DOCUMENT_COUNT];
	Wire__Push push = WIRE__PUSH__INIT;
	Wire__Pull pull = WIRE__PULL__INIT;
	Wire__Order order;
	Wire__Value values[SQL_VARIABLES_MAX];
	Wire__Value *value_list[SQL_VARIABLES_MAX];
	Wire__Reply reply;
	Wire__Member member;
	Wire__Update updates[MEM_UPDATES_MAX];
	Wire__Update *update_list[MEM_UPDATES_MAX];
	Wire__Hint hints[WIRE_HINTS_MAX];
	Wire__Hint *hint_list[WIRE_HINTS_MAX];
	struct wire_quota quota = {0};
	char *reply_rows = NULL;
	uint8_t *deflated = NULL;
	Wire__Envelope outer;
	Wire__Deflated deflated_body;
	enum bc_status status;
	uint32_t i;

	if (invalid_field)
		return bc_fail(ctx, BC_EINVAL, "cannot pack: invalid %s", invalid_field);
	memcpy(versions, message->versions, sizeof(versions));
	envelope.current = message->config_confirmed;
	envelope.current_age_ms = message->config_confirmed_age_ms;
	envelope.current_of = text_field(message->config_confirmed_for);
	envelope.n_versions = WIRE_DOCUMENT_COUNT;
	envelope.versions = versions;
	memcpy(eras, message->eras, sizeof(eras));
	envelope.n_eras = WIRE_DOCUMENT_COUNT;
	envelope.eras = eras;
	for (i = 0; i < message->hint_count; i++) {
		pack_hint(&hints[i], &message->hints[i]);
		hint_list[i] = &hints[i];
	}
	envelope.n_hints = message->hint_count;
	envelope.hints = hint_list;
	if (message->kind == WIRE_MEMBER) {
		pack_member(&member, &message->member);
		for (i = 0; i < message->member.update_count; i++) {
			pack_update(&updates[i], &message->member.updates[i]);
			update_list[i] = &updates[i];
		}
		member.n_updates = message->member.update_count;
		member.updates = update_list;
		envelope.body_case = WIRE__ENVELOPE__BODY_MEMBER;
		envelope.member = &member;
	} else if (message->kind == WIRE_PUSH) {
		push.document = message->document;
		push.version = message->version;
		pack_content(&push, message->content);
		envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
		envelope.push = &push;
	} else if (message->kind == WIRE_ORDER) {
		wire_order_pack(&order, values, value_list, &message->order);
		envelope.body_case = WIRE__ENVELOPE__BODY_ORDER;
		envelope.order = &order;
	} else if (message->kind == WIRE_REPLY) {
		reply_rows = wire_reply_pack(&reply, &message->reply);
		if (!reply_rows)
			return bc_fail(ctx, BC_ENOMEM, "out of memory");
		envelope.body_case = WIRE__ENVELOPE__BODY_REPLY;
		envelope.reply = &reply;
	} else if (message->kind == WIRE_QUOTA) {
		if (!wire_quota_pack(&envelope, &quota, &message->quota))
			return bc_fail(ctx, BC_ENOMEM, "out of memory");
	} else {
		pull.document = message->document;
		pull.since = message->since;
		envelope.body_case = WIRE__ENVELOPE__BODY_PULL;
		envelope.pull = &pull;
	}
	if (message->compress)
		deflated = wire_envelope_deflate(&envelope, &outer, &deflated_body);
	status = wire_frame_envelope(ctx, deflated ? &outer : &envelope, frame, frame_bytes);
	free(deflated);
	free(reply_rows);
	wire_quota_free(&quota);
	return status;
}

static const char *unpack_updates(const Wire__Member *in, struct mem_message *out)
{
	size_t i;

	if (in->n_updates > MEM_UPDATES_MAX)
		return "number of updates";
	for (i = 0; i < in->n_updates; i++) {
		const Wire__Update *from = in->updates[i];
		struct mem_update *to = &out->updates[i];

		if (!wire_text_copy(to->id, sizeof(to->id), from->id) ||
		    !wire_text_copy(to->address, sizeof(to->address), from->address) ||
		    !wire_text_copy(to->domain, sizeof(to->domain), from->domain) ||
		    !wire_text_copy(to->region, sizeof(to->region), from->region))
			return "text of an update";
		to->incarnation = from->incarnation;
		to->health = (enum mem_health)from->health;
		to->leaving = from->leaving;
	}
	out->update_count = (uint32_t)in->n_updates;
	return NULL;
}

static const char *unpack_member(const Wire__Member *in, struct mem_message *out)
{
	out->kind = (enum mem_message_kind)in->kind;
	out->sequence = in->sequence;
	if (!wire_text_copy(out->target, sizeof(out->target), in->target))
		return "target of a membership message";
	return unpack_updates(in, out);
}

static const char *unpack_hints(const Wire__Envelope *in, struct wire_message *out)
{
	size_t i;

	if (in->n_hints > WIRE_HINTS_MAX)
		return "number of hints";
	for (i = 0; i < in->n_hints; i++) {
		const Wire__Hint *from = in->hints[i];
		struct wire_hint *to = &out->hints[i];

		if (!wire_text_copy(to->database, sizeof(to->database), from->database) ||
		    !wire_text_copy(to->primary, sizeof(to->primary), from->primary))
			return "id in a hint";
		to->term = from->term;
		to->unreachable = from->silent;
	}
	out->hint_count = (uint32_t)in->n_hints;
	return NULL;
}

/* The declared length bounds the memory; content that inflates to more or less is malformed. */
static const char *inflate_content(const Wire__Push *in, struct wire_message *out)
{
	uLongf bytes = in->deflated_bytes;

	if (bytes > WIRE_CONTENT_MAX_BYTES)
		return "length of a document";
	out->content = malloc(bytes + 1);
	if (!out->content)
		return "length of a document: out of memory";
	out->content[bytes] = '\0';
	if (uncompress((Bytef *)out->content, &bytes, in->content.data, in->content.len) != Z_OK ||
	    bytes != in->deflated_bytes || memchr(out->content, 0, bytes))
		return "deflated document";
	return NULL;
}

static const char *unpack_push(const Wire__Push *in, struct wire_message *out)
{
	if (in->content.len == 0 || in->content.len > WIRE_CONTENT_MAX_BYTES)
		return "length of a document";
	out->document = in->document;
	out->version = in->version;
	if (in->deflated_bytes)
		return inflate_content(in, out);
	out->content = malloc(in->content.len + 1);
	if (!out->content)
		return "length of a document: out of memory";
	if (!wire_text_copy(out->content, in->content.len + 1, in->content))
		return "character in a document";
	return NULL;
}

static const char *unpack_versions(const Wire__Envelope *in, struct wire_message *out)
{
	if (in->n_versions != WIRE_DOCUMENT_COUNT)
		return "number of versions";
	memcpy(out->versions, in->versions, sizeof(out->versions));
	if (!in->n_eras)
		return NULL;
	if (in->n_eras != WIRE_DOCUMENT_COUNT)
		return "number of eras";
	memcpy(out->eras, in->eras, sizeof(out->eras));
	return NULL;
}

static const char *unpack_body(const Wire__Envelope *in, struct wire_message *out)
{
	switch (in->body_case) {
	case WIRE__ENVELOPE__BODY_MEMBER:
		out->kind = WIRE_MEMBER;
		return unpack_member(in->member, &out->member);
	case WIRE__ENVELOPE__BODY_PUSH:
		out->kind = WIRE_PUSH;
		return unpack_push(in->push, out);
	case WIRE__ENVELOPE__BODY_PULL:
		out->kind = WIRE_PULL;
		out->document = in->pull->document;
		out->since = in->pull->since;
		return NULL;
	case WIRE__ENVELOPE__BODY_ORDER:
		out->kind = WIRE_ORDER;
		return wire_order_unpack(in->order, out);
	case WIRE__ENVELOPE__BODY_REPLY:
		out->kind = WIRE_REPLY;
		return wire_reply_unpack(in->reply, out);
	case WIRE__ENVELOPE__BODY_QUOTA_REQUEST:
		out->kind = WIRE_QUOTA;
		return wire_request_unpack(in->quota_request, &out->quota);
	case WIRE__ENVELOPE__BODY_QUOTA_GRANT:
		out->kind = WIRE_QUOTA;
		return wire_grant_unpack(in->quota_grant, &out->quota);
	default:
		return "kind of a message";
	}
}

/*
 * Unpacks a frame's content. On BC_OK the caller frees the message with wire_message_clear().
 * BC_EINVAL if the content is malformed or a field is out of range; the message is then unchanged.
 */
enum bc_status wire_unpack(struct bc_ctx *ctx, const uint8_t *data, size_t bytes,
			   struct wire_message *message)
{
	struct wire_message out = {0};
	Wire__Envelope *envelope;
	const char *invalid_field;

	if (bytes > WIRE_FRAME_MAX_BYTES)
		return bc_fail(ctx, BC_EINVAL, "frame of %zu bytes exceeds the maximum size",
			       bytes);
	envelope = wire_envelope_unpack(data, bytes);
	if (envelope && envelope->body_case == WIRE__ENVELOPE__BODY_DEFLATED) {
		Wire__Envelope *outer = envelope;

		envelope = wire_envelope_inflate(outer->deflated);
		wire_envelope_free(outer);
	}
	if (!envelope)
		return bc_fail(ctx, BC_EINVAL, "malformed message of %zu bytes", bytes);
	invalid_field = unpack_versions(envelope, &out);
	if (!invalid_field)
		invalid_field = unpack_hints(envelope, &out);
	out.config_confirmed = envelope->current;
	out.config_confirmed_age_ms = envelope->current_age_ms;
	if (!invalid_field &&
	    !wire_text_copy(out.config_confirmed_for, sizeof(out.config_confirmed_for),
			    envelope->current_of))
		invalid_field = "id in a confirmation";
	if (!invalid_field)
		invalid_field = unpack_body(envelope, &out);
	if (!invalid_field)
		invalid_field = message_invalid_field(&out);
	wire_envelope_free(envelope);
	if (invalid_field) {
		wire_message_clear(&out);
		return bc_fail(ctx, BC_EINVAL, "invalid %s", invalid_field);
	}
	*message = out;
	return BC_OK;
}

/* Frees the memory of a message and zeroes it. */
void wire_message_clear(struct wire_message *message)
{
	free(message->content);
	if (message->kind == WIRE_ORDER)
		free(message->order.variables);
	if (message->kind == WIRE_QUOTA)
		free(message->quota.items);
	memset(message, 0, sizeof(*message));
}
