#include "outcome/outcome.h"

#include <rapidcheck.h>

#include <cstdio>
#include <vector>

namespace
{

/* Which rule a deliberately faulty proxy leaves out. */
enum class Fault { NONE, FORGETS_UNKNOWN, RETRIES_ALL, NO_BUDGET };

struct Ctx {
	bc_ctx *ctx;
	out_budget *budget;
	explicit Ctx(uint64_t seed) : ctx(bc_ctx_create(seed)), budget(out_budget_create(ctx))
	{
	}
	Ctx(const Ctx &) = delete;
	~Ctx()
	{
		out_budget_destroy(budget);
		bc_ctx_destroy(ctx);
	}
};

/* What an attempt did to the endpoint, besides how it ended for the proxy. */
struct Attempt {
	out_end end;
	bool ran;
};

/* An end that the endpoint's behaviour allows: a lost answer says nothing of what ran. */
rc::Gen<Attempt> attempt_gen()
{
	return rc::gen::apply(
		[](out_end end, bool maybe) {
			bool certain = end == OUT_END_OK || end == OUT_END_UNCONFIRMED;
			bool open = end == OUT_END_LOST || end == OUT_END_DUPLICATE;
			return Attempt{end, certain || (open && maybe)};
		},
		rc::gen::elementOf(std::vector<out_end>{
			OUT_END_NOT_SENT, OUT_END_REFUSED, OUT_END_DUPLICATE, OUT_END_ERROR,
			OUT_END_LOST, OUT_END_UNCONFIRMED, OUT_END_OK}),
		rc::gen::arbitrary<bool>());
}

/* Runs requests on one endpoint through the slice, as the request path does. */
bool check_requests(Fault fault)
{
	return rc::check(
		"outcomes are true, no write follows one that may have run, budgets hold", [=] {
			Ctx c(*rc::gen::arbitrary<uint64_t>());
			auto requests = *rc::gen::resize(
				60, rc::gen::arbitrary<std::vector<std::pair<bool, bool>>>());
			uint32_t first = 0;
			uint32_t retries = 0;

			for (auto [write, repeatable] : requests) {
				out_attempts attempts = {0, write, repeatable, false};
				uint64_t now_us = 0;
				uint64_t delay_us = 0;
				uint32_t may_have_run = 0;
				bool ran = false;
				bool again;
				out_outcome outcome;

				first++;
				out_budget_deposit(c.budget, "e");
				do {
					Attempt attempt = *attempt_gen();
					ran = ran || (write && attempt.ran);
					if (write && !repeatable)
						RC_ASSERT(may_have_run == 0U);
					may_have_run += attempt.end != OUT_END_NOT_SENT &&
							attempt.end != OUT_END_REFUSED;
					if (fault == Fault::FORGETS_UNKNOWN)
						attempts.maybe_ran = false;
					outcome = out_attempt_record(&attempts, attempt.end);
					again = out_retry_decide(c.budget, &attempts, attempt.end,
								 fault == Fault::NO_BUDGET ? nullptr
											   : "e",
								 now_us, 400000, &delay_us);
					if (fault == Fault::RETRIES_ALL &&
					    attempt.end != OUT_END_OK)
						again = attempts.made < OUT_ATTEMPTS_MAX;
					now_us += delay_us;
					retries += again;
					if (again)
						RC_ASSERT(outcome != OUT_RAN);
				} while (again);
				RC_ASSERT(!(ran && outcome == OUT_NOT_RUN));
				RC_ASSERT(write || outcome != OUT_UNKNOWN);
				RC_ASSERT(attempts.made <= OUT_ATTEMPTS_MAX);
				RC_ASSERT(now_us < 400000U);
				RC_ASSERT(retries * 100 <= first * OUT_BUDGET_PERCENT +
								   OUT_BUDGET_RETRIES_MAX * 100);
			}
		});
}

} // namespace

int main()
{
	bool ok = check_requests(Fault::NONE);

	std::puts("The following properties must fail:");
	ok = !check_requests(Fault::FORGETS_UNKNOWN) && ok;
	ok = !check_requests(Fault::RETRIES_ALL) && ok;
	ok = !check_requests(Fault::NO_BUDGET) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
