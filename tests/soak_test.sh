#!/usr/bin/env bash
# The soak with fixed seeds, short enough for CI: guards against sessions that miss their own writes,
# writes applied twice, and crashes of a proxy while several faults overlap. The second run has the
# sanitizers.
set -eu
cd "$(dirname "$0")/.."
SITE_NET=46 bash soak/soak.sh 1 8
SITE_NET=46 BUILD=build/asan bash soak/soak.sh 2 8
