#!/usr/bin/env bash
# Runs entry_test.sh with the sanitizer build. Guards against calls to the store that are still
# in flight when a proxy exits, and against reads of freed memory when a leader crashes.
set -eu
cd "$(dirname "$0")/.."
SITE_NET=${SITE_NET:-$((42 + ${SITE_NET_BASE:-0}))} BUILD=build/asan bash tests/entry_test.sh
