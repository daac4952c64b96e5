// Tests the properties of route, quorum and failover together, under random faults.

#include "tests/failover_properties.h"

int main()
{
	bool ok = true;

	ok &= rc::check("safe under faults, and recovers within 13 s",
			[] { model::check_safety_and_recovery({}); });
	ok &= rc::check("no needless promotion", [] { model::check_no_needless_promotion({}); });
	return ok ? 0 : 1;
}
