#!/usr/bin/env bash
# Runs the cases of failover_test.sh on the site trentvale, with its latencies. Its primaries serve
# three databases, and its endpoints have more slots and a higher cost to open a connection. Guards
# against the same failures.
set -u
cd "$(dirname "$0")/.."
export SITE_NET=${SITE_NET:-$((5 + ${SITE_NET_BASE:-0}))}
LINKS=1 FAILOVER="trentvale checkins habit-app" exec bash tests/failover_test.sh
