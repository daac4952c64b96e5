#!/usr/bin/env bash
# entry_test with the sanitizers' build: guards against calls to the store that are still in flight
# when a proxy ends and against reads of freed memory over a leader's crash.
set -eu
cd "$(dirname "$0")/.."
SITE_NET=42 BUILD=build/asan bash tests/entry_test.sh
