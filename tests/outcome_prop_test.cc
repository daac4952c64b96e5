#include "outcome/outcome.h"

#include <rapidcheck.h>

#include <cstdio>
#include <vector>

namespace
{

/* The rule that the simulated proxy skips, to show that the property detects it. */
enum class Defect { NONE, FORGETS_UNKNOWN, RETRIES_ALL, NO_BUDGET };

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

/* How an attempt ended for the proxy, and whether the endpoint ran it. */
struct Attempt {
	out_end end;
	bool ran;
};

/* Generates a consistent attempt. After a lost answer the request may or may not have run. */
rc::Gen<Attempt> attempt_gen()
{
	return rc::gen::apply(
		[](out_end end, bool maybe) {
			bool surely_ran = end == OUT_END_OK || end == OUT_END_UNCONFIRMED;
			bool may_have_run = end == OUT_END_LOST || end == OUT_END_DUPLICATE;
			return Attempt{end, surely_ran || (may_have_run && maybe)};
		},
		rc::gen::elementOf(std::vector<out_end>{
			OUT_END_NOT_SENT, OUT_END_REFUSED, OUT_END_DUPLICATE, OUT_END_ERROR,
			OUT_END_LOST, OUT_END_UNCONFIRMED, OUT_END_OK}),
		rc::gen::arbitrary<bool>());
}

/* Runs requests to one endpoint through the outcome module, as the request path does. */
bool check_requests(Defect defect)
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
					if (defect == Defect::FORGETS_UNKNOWN)
						attempts.maybe_ran = false;
					outcome = out_attempt_record(&attempts, attempt.end);
					again = out_retry_decide(
						c.budget, &attempts, attempt.end,
						defect == Defect::NO_BUDGET ? nullptr : "e", now_us,
						400000, &delay_us);
					if (defect == Defect::RETRIES_ALL &&
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
	bool ok = check_requests(Defect::NONE);

	std::puts("The following properties must fail:");
	ok = !check_requests(Defect::FORGETS_UNKNOWN) && ok;
	ok = !check_requests(Defect::RETRIES_ALL) && ok;
	ok = !check_requests(Defect::NO_BUDGET) && ok;
	std::puts(ok ? "passed" : "FAILED");
	return ok ? 0 : 1;
}
