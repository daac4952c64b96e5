#!/usr/bin/env bash
# Guards against a process that keeps the answers of callers that do not read: 60 callers each send
# 400 reads ahead, of answers of 900,000 bytes.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 73)
entry_start
say "reads sent ahead by callers that do not read the answers"
entry_crowd 60 -s 8 -p $'STARTUP labels test\r\n' -t $'QUERY q READ bulk-9\r\n' -c 400
verdict
