#include "session/session.h"
#include "session/session.pb-c.h"

#include <openssl/evp.h>

#include <rapidcheck.h>

#include <array>
#include <cstring>
#include <string>
#include <vector>

namespace
{

const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

/* A key ring with one signing key. */
struct Keyring {
	bc_ctx *ctx = bc_ctx_create(1);
	ses_keyring *ring = ses_keyring_create(ctx);
	Keyring(uint32_t id, const std::string &secret)
	{
		RC_ASSERT(ses_keyring_add(ring, id, secret.data(), secret.size(), true) == BC_OK);
	}
	Keyring(const Keyring &) = delete;
	~Keyring()
	{
		ses_keyring_destroy(ring);
		bc_ctx_destroy(ctx);
	}
};

rc::Gen<std::string> id_gen()
{
	return rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::string>(
					   rc::gen::elementOf(alphabet))));
}

ses_session arbitrary_session(bc_ctx *ctx)
{
	ses_session session;
	auto names = *rc::gen::container<std::vector<std::string>>(id_gen());

	ses_session_init(&session, (*id_gen()).c_str(), *rc::gen::arbitrary<uint64_t>());
	for (const auto &name : names) {
		bc_position at = {*rc::gen::inRange<uint64_t>(0, 5),
				  *rc::gen::inRange<uint64_t>(0, 99)};
		ses_mark_advance(ctx, &session, name.c_str(), at);
	}
	return session;
}

/* The check that verification skips, to show that the properties detect it. */
enum class Defect { NONE, CUSTOMER, SIGNATURE };

/* Returns whether the token names the customer, without a check of its signature. */
bool accepted_unverified(std::string token, const std::string &customer)
{
	std::vector<unsigned char> raw(token.size() + 3);
	size_t bytes = token.size() * 3 / 4;

	for (char &c : token)
		c = c == '-' ? '+' : c == '_' ? '/' : c;
	token.append((4 - token.size() % 4) % 4, '=');
	if (bytes <= 32 ||
	    EVP_DecodeBlock(raw.data(), (const unsigned char *)token.data(), (int)token.size()) < 0)
		return false;
	Ses__Token *message = ses__token__unpack(nullptr, bytes - 32, raw.data());
	bool same = message && customer == message->customer;
	if (message)
		ses__token__free_unpacked(message, nullptr);
	return same;
}

bool accepted(const Keyring &ring, Defect defect, const std::string &token,
	      const ses_session &original, const std::string &customer)
{
	ses_session read;
	const char *expected = defect == Defect::CUSTOMER ? original.customer : customer.c_str();

	if (defect == Defect::SIGNATURE)
		return accepted_unverified(token, customer);
	return ses_token_verify(ring.ring, token.c_str(), expected, &read) == BC_OK;
}

bool check_refused(Defect defect)
{
	return rc::check("a changed byte, another key or another customer is refused", [=] {
		Keyring ring(1, "0123456789abcdef");
		Keyring other_key(1, "0123456789abcdeF");
		Keyring other_id(2, "0123456789abcdef");
		ses_session session = arbitrary_session(ring.ctx);
		std::array<char, SES_TOKEN_MAX_BYTES> buffer{};
		auto customer = *id_gen();

		RC_ASSERT(ses_token_issue(ring.ring, &session, buffer.data()) == BC_OK);
		std::string token(buffer.data());
		std::string changed = token;
		changed[*rc::gen::inRange<size_t>(0, token.size())] =
			static_cast<char>(*rc::gen::inRange(1, 256));
		RC_ASSERT(accepted(ring, Defect::NONE, token, session, session.customer));
		if (changed != token)
			RC_ASSERT(!accepted(ring, defect, changed, session, session.customer));
		if (customer != session.customer)
			RC_ASSERT(!accepted(ring, defect, token, session, customer));
		RC_ASSERT(!accepted(other_key, Defect::NONE, token, session, session.customer));
		RC_ASSERT(!accepted(other_id, Defect::NONE, token, session, session.customer));
	});
}

bool check_round_trip()
{
	return rc::check("a session comes back as it was issued", [] {
		Keyring ring(*rc::gen::inRange<uint32_t>(1, UINT32_MAX), "0123456789abcdef");
		ses_session session = arbitrary_session(ring.ctx);
		ses_session read;
		std::array<char, SES_TOKEN_MAX_BYTES> token{};

		RC_ASSERT(ses_token_issue(ring.ring, &session, token.data()) == BC_OK);
		RC_ASSERT(ses_token_verify(ring.ring, token.data(), session.customer, &read) ==
			  BC_OK);
		RC_ASSERT(std::memcmp(&read, &session, sizeof(read)) == 0);
	});
}

/* With `overwrite`, each position replaces the mark, as if it were set without a comparison. */
bool check_marks(bool overwrite)
{
	return rc::check("marks never go back", [=] {
		Keyring ring(1, "0123456789abcdef");
		ses_session session;
		auto steps = *rc::gen::container<std::vector<std::pair<uint64_t, uint64_t>>>(
			rc::gen::pair(rc::gen::inRange<uint64_t>(0, 4),
				      rc::gen::inRange<uint64_t>(0, 9)));
		bc_position last = {0, 0};

		ses_session_init(&session, "shop", 1);
		for (auto [term, pos] : steps) {
			bc_position given = {term, pos};
			RC_ASSERT(ses_mark_advance(ring.ctx, &session, "db", given) == BC_OK);
			if (overwrite)
				session.marks[0].position = given;
			bc_position now = ses_mark_get(&session, "db");
			RC_ASSERT(bc_position_compare(now, last) >= 0);
			RC_ASSERT(bc_position_compare(now, given) >= 0);
			last = now;
		}
	});
}

bool check_arbitrary_input()
{
	return rc::check("any bytes are refused without a crash", [] {
		Keyring ring(1, "0123456789abcdef");
		ses_session read;
		char customer[BC_ID_BYTES];
		auto bytes = *rc::gen::scale(20.0, rc::gen::string<std::string>());
		auto text = *rc::gen::scale(
			20.0, rc::gen::container<std::string>(rc::gen::elementOf(alphabet)));

		for (const auto &input : {bytes, text, "Bearer " + bytes, "Bearer " + text}) {
			RC_ASSERT(ses_token_verify(ring.ring, input.c_str(), "shop", &read) ==
				  BC_EAUTH);
			RC_ASSERT(ses_credential_verify(ring.ring, input.c_str(), customer) ==
				  BC_EAUTH);
		}
	});
}

} // namespace

int main()
{
	bool ok = check_round_trip() && check_refused(Defect::NONE) && check_marks(false) &&
		  check_arbitrary_input();

	std::puts("The following properties must fail:");
	ok = !check_refused(Defect::CUSTOMER) && ok;
	ok = !check_refused(Defect::SIGNATURE) && ok;
	ok = !check_marks(true) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
