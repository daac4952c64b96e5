#!/usr/bin/env bash
# Runs the soak test with fixed seeds, short enough for CI. Guards against sessions that do not see
# their own writes, writes applied twice, and crashes of a proxy while several faults overlap. The
# second run uses the sanitizer build.
set -eu
cd "$(dirname "$0")/.."
SITE_NET=46 bash soak/soak.sh 1 8
SITE_NET=46 BUILD=build/asan bash soak/soak.sh 2 8
