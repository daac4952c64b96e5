#!/usr/bin/env bash
# Guards against a process that keeps large parts of many unfinished messages that arrive in small
# pieces: 60 callers each send 1,000,000 bytes of a query without its end, 4,000 bytes at a time.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 71)
entry_start
say "unfinished messages in small pieces"
entry_crowd 60 -s 10 -p $'STARTUP labels test\r\nQUERY q READ ' -f 1000000 -b 4000 -w 10
verdict
