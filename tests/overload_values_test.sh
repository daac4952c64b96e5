#!/usr/bin/env bash
# Guards against a process that keeps the session values of many callers without a bound: 300 callers
# each set 40 values of 3,000 bytes.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 76)
entry_start
say "session values"
VALUE=$(printf '%03000d' 7)
VALUES=$'STARTUP labels test\r\n'
for n in $(seq 40); do VALUES+="QUERY q SET v$n $VALUE"$'\r\n'; done
entry_crowd 300 -s 8 -p "$VALUES" -r 100000
verdict
