#include <rapidcheck.h>

#include "wire/wire.h"

#include <cstring>
#include <memory>

namespace
{

using Bytes = std::vector<uint8_t>;

constexpr size_t kLengthPrefixBytes = 4;
bc_ctx *ctx;

template <size_t N> void copy_text(char (&out)[N], const std::string &text)
{
	memset(out, 0, N);
	memcpy(out, text.data(), std::min(text.size(), N - 1));
}

std::string random_id()
{
	static const std::string letters = "abcXYZ019._-";

	return *rc::gen::resize(63, rc::gen::nonEmpty(rc::gen::container<std::string>(
					    rc::gen::elementOf(letters))));
}

mem_update random_update()
{
	mem_update out = {};

	copy_text(out.id, random_id());
	copy_text(out.address,
		  *rc::gen::element<std::string>("10.0.0.1:7000", "[fd00::1]:65535", "x"));
	copy_text(out.domain, *rc::gen::arbitrary<bool>() ? random_id() : "");
	copy_text(out.region, *rc::gen::arbitrary<bool>() ? random_id() : "");
	out.incarnation = *rc::gen::arbitrary<uint64_t>() >> 1;
	out.health = *rc::gen::element(MEM_ALIVE, MEM_SUSPECT, MEM_DEAD);
	out.leaving = *rc::gen::arbitrary<bool>();
	return out;
}

using Message = std::unique_ptr<wire_message, void (*)(wire_message *)>;

Message new_message()
{
	return Message(new wire_message(), [](wire_message *message) {
		wire_message_clear(message);
		delete message;
	});
}

Message random_message()
{
	Message out = new_message();
	auto hints = *rc::gen::inRange<uint32_t>(0, WIRE_HINTS_MAX + 1);

	out->kind = *rc::gen::element(WIRE_MEMBER, WIRE_PUSH, WIRE_PULL);
	for (uint64_t &version : out->versions)
		version = *rc::gen::arbitrary<uint64_t>();
	for (uint32_t i = 0; i < hints; i++) {
		copy_text(out->hints[i].database, random_id());
		copy_text(out->hints[i].primary, random_id());
		out->hints[i].term = *rc::gen::arbitrary<uint64_t>();
		out->hints[i].unreachable = *rc::gen::arbitrary<bool>();
	}
	out->hint_count = hints;
	out->config_confirmed = *rc::gen::arbitrary<bool>();
	out->config_confirmed_age_ms = *rc::gen::arbitrary<uint32_t>();
	if (*rc::gen::arbitrary<bool>())
		copy_text(out->config_confirmed_for, random_id());
	if (out->kind != WIRE_MEMBER)
		out->document = *rc::gen::inRange<uint32_t>(0, WIRE_DOCUMENT_COUNT);
	if (out->kind == WIRE_PUSH)
		out->version = *rc::gen::arbitrary<uint64_t>();
	if (out->kind == WIRE_PUSH)
		out->content =
			strdup(("{" + std::string(*rc::gen::inRange(0, 9999), ' ') + "}").c_str());
	if (out->kind != WIRE_MEMBER)
		return out;
	out->member.kind = *rc::gen::element(MEM_PING, MEM_ACK, MEM_PING_REQUEST);
	out->member.sequence = *rc::gen::arbitrary<uint64_t>();
	if (out->member.kind == MEM_PING_REQUEST)
		copy_text(out->member.target, random_id());
	out->member.update_count = *rc::gen::inRange<uint32_t>(0, MEM_UPDATES_MAX + 1);
	for (uint32_t i = 0; i < out->member.update_count; i++)
		out->member.updates[i] = random_update();
	return out;
}

bool same(const mem_update &a, const mem_update &b)
{
	return !strcmp(a.id, b.id) && !strcmp(a.address, b.address) &&
	       !strcmp(a.domain, b.domain) && !strcmp(a.region, b.region) &&
	       a.incarnation == b.incarnation && a.health == b.health && a.leaving == b.leaving;
}

bool same(const wire_hint &a, const wire_hint &b)
{
	return !strcmp(a.database, b.database) && !strcmp(a.primary, b.primary) &&
	       a.term == b.term && a.unreachable == b.unreachable;
}

bool same(const wire_message &a, const wire_message &b)
{
	bool equal = a.kind == b.kind &&
		     std::equal(a.versions, a.versions + WIRE_DOCUMENT_COUNT, b.versions) &&
		     a.config_confirmed == b.config_confirmed &&
		     a.config_confirmed_age_ms == b.config_confirmed_age_ms &&
		     !strcmp(a.config_confirmed_for, b.config_confirmed_for) &&
		     a.document == b.document && a.version == b.version &&
		     a.hint_count == b.hint_count && !a.content == !b.content &&
		     (!a.content || !strcmp(a.content, b.content)) &&
		     a.member.kind == b.member.kind && a.member.sequence == b.member.sequence &&
		     !strcmp(a.member.target, b.member.target) &&
		     a.member.update_count == b.member.update_count;

	for (uint32_t i = 0; equal && i < a.hint_count; i++)
		equal = same(a.hints[i], b.hints[i]);
	for (uint32_t i = 0; equal && i < a.member.update_count; i++)
		equal = same(a.member.updates[i], b.member.updates[i]);
	return equal;
}

Bytes pack(const wire_message &in)
{
	uint8_t *frame = nullptr;
	size_t bytes = 0;

	RC_ASSERT(wire_pack(ctx, &in, &frame, &bytes) == BC_OK);
	Bytes out(frame, frame + bytes);
	free(frame);
	return out;
}

Bytes random_bytes(size_t max_size)
{
	return *rc::gen::resize(max_size, rc::gen::container<Bytes>(rc::gen::arbitrary<uint8_t>()));
}

// Changes, removes or inserts one to three bytes.
void damage(Bytes &bytes)
{
	auto damage_count = *rc::gen::inRange(1, 4);

	for (int i = 0; i < damage_count && !bytes.empty(); i++) {
		auto at = *rc::gen::inRange<size_t>(0, bytes.size());
		auto value = *rc::gen::inRange<uint8_t>(1, 255);

		switch (*rc::gen::inRange(0, 3)) {
		case 0:
			bytes[at] ^= value;
			break;
		case 1:
			bytes.erase(bytes.begin() + at);
			break;
		default:
			bytes.insert(bytes.begin() + at, value);
		}
	}
}

// Guards against a field that is lost or changed by encoding and decoding.
void round_trip()
{
	Message in = random_message();
	Message out = new_message();
	Bytes frame = pack(*in);

	RC_ASSERT(wire_unpack(ctx, frame.data() + kLengthPrefixBytes,
			      frame.size() - kLengthPrefixBytes, out.get()) == BC_OK);
	RC_ASSERT(same(*in, *out));
}

// Guards against input that crashes the decoder, or that is accepted but cannot be encoded again.
void decode_any_input()
{
	Message out = new_message();
	Bytes bytes = random_bytes(300);

	if (*rc::gen::arbitrary<bool>()) {
		bytes = pack(*random_message());
		bytes.erase(bytes.begin(), bytes.begin() + kLengthPrefixBytes);
		damage(bytes);
	}
	if (wire_unpack(ctx, bytes.data(), bytes.size(), out.get()) == BC_OK) {
		RC_TAG("accepted");
		pack(*out);
	} else {
		RC_TAG("refused");
		RC_ASSERT(same(*out, *new_message()));
	}
}

struct LinkEnd {
	LinkEnd(const char *id, const char *key, bool initiator)
	{
		static const wire_link_ops ops = {
			[](void *data, const uint8_t *bytes, size_t length) {
				auto &out = static_cast<LinkEnd *>(data)->out;
				out.insert(out.end(), bytes, bytes + length);
			},
			[](void *data, const char *) {
				static_cast<LinkEnd *>(data)->ready = true;
			},
			[](void *data, const wire_message *) {
				static_cast<LinkEnd *>(data)->messages++;
			}};

		link = wire_link_create(ctx, id, key, strlen(key), initiator, &ops, this);
		wire_link_start(link);
	}
	LinkEnd(const LinkEnd &) = delete;
	~LinkEnd()
	{
		wire_link_destroy(link);
	}

	Bytes take_output()
	{
		return std::move(out);
	}

	// Feeds the bytes in pieces of random size, as a socket delivers them.
	void input(const Bytes &bytes)
	{
		for (size_t done = 0; done < bytes.size();) {
			auto piece =
				std::min(bytes.size() - done, *rc::gen::inRange<size_t>(1, 200));

			if (wire_link_input(link, bytes.data() + done, piece) != BC_OK)
				return;
			done += piece;
		}
	}

	wire_link *link;
	Bytes out;
	bool ready = false;
	int messages = 0;
};

// Returns what the peer sends (its hello and proof) in reply to the hello of `own`.
Bytes peer_bytes(LinkEnd &own, LinkEnd &peer)
{
	peer.input(own.take_output());
	return peer.take_output();
}

// Guards against a link that authenticates a peer without a valid proof of the fleet key.
void damaged_handshake()
{
	bool initiator = *rc::gen::arbitrary<bool>();
	LinkEnd own("a", "key", initiator);
	LinkEnd peer("b", *rc::gen::arbitrary<bool>() ? "key" : "other key", !initiator);
	Bytes undamaged = peer_bytes(own, peer);
	Bytes bytes = undamaged;

	switch (*rc::gen::inRange(0, 3)) {
	case 0:
		bytes = random_bytes(600);
		break;
	case 1:
		bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
		break;
	default:
		damage(bytes);
	}
	RC_PRE(bytes != undamaged);
	// A valid message after the damaged handshake must not be accepted either.
	Bytes after = pack(*random_message());
	bytes.insert(bytes.end(), after.begin(), after.end());
	own.input(bytes);
	RC_ASSERT(!own.ready);
	RC_ASSERT(own.messages == 0);
}

// Control for damaged_handshake(): without the damage the same handshake opens the link.
void undamaged_handshake()
{
	bool initiator = *rc::gen::arbitrary<bool>();
	LinkEnd own("a", "key", initiator);
	LinkEnd peer("b", "key", !initiator);
	Bytes bytes = peer_bytes(own, peer);
	Bytes after = pack(*random_message());

	bytes.insert(bytes.end(), after.begin(), after.end());
	own.input(bytes);
	RC_ASSERT(own.ready);
	RC_ASSERT(own.messages == 1);
}

} // namespace

int main()
{
	ctx = bc_ctx_create(1);
	bool ok = rc::check("pack and unpack give the same message", round_trip);
	ok &= rc::check("any input is refused or valid", decode_any_input);
	ok &= rc::check("damaged bytes never authenticate", damaged_handshake);
	ok &= rc::check("undamaged bytes authenticate", undamaged_handshake);
	bc_ctx_destroy(ctx);
	return ok ? 0 : 1;
}
