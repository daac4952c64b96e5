// Properties of route, quorum and failover together, under random faults.

#include "tests/failover_properties.h"

int main()
{
	bool ok = true;

	ok &= rc::check("safe under faults, and recovers within 13 s",
			[] { model::safe_and_recovers({}); });
	ok &= rc::check("no needless promotion", [] { model::no_needless_promotion({}); });
	return ok ? 0 : 1;
}
