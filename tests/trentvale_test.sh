#!/usr/bin/env bash
# The cases of failover_test.sh on the other site, whose primaries serve three databases with more
# slots and dearer connections, with the site's latencies. Guards against the same failures.
set -u
cd "$(dirname "$0")/.."
LINKS=1 FAILOVER="trentvale checkins habit-app" exec bash tests/failover_test.sh
