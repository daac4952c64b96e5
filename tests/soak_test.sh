#!/usr/bin/env bash
# Runs the soak test with fixed seeds, short enough for CI. Guards against sessions that do not see
# their own writes, writes applied twice, and crashes of a proxy while several faults overlap. The
# second run uses the sanitizer build.
set -eu
cd "$(dirname "$0")/.."
export SITE_NET=${SITE_NET:-$((46 + ${SITE_NET_BASE:-0}))}
bash soak/soak.sh 1 8
BUILD=build/asan bash soak/soak.sh 2 8
