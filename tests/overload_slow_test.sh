#!/usr/bin/env bash
# Guards against a process that keeps what slow callers send or read for ever: 60 callers send a
# message very slowly after its first 900,000 bytes, 60 read answers of 900,000 bytes very slowly, and
# 60 stop in the middle of a message.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 74)
entry_start
HALF=$'STARTUP labels test\r\nQUERY q READ '$(printf '%0100000d' 7)
say "callers that send very slowly"
entry_crowd 60 -s 8 -p "$HALF" -t "$(printf '%0100000d' 7)" -c 7 -f 1000 -b 100000 -w 200
say "callers that read very slowly"
entry_crowd 60 -s 8 -p $'STARTUP labels test\r\n' -t $'QUERY q READ bulk-9\r\n' -c 4 -r 500
say "callers that stop half-way"
entry_crowd 60 -s 8 -p "$HALF" -f 400000
verdict
