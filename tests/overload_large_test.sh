#!/usr/bin/env bash
# Guards against a process that keeps large parts of many unfinished messages of legal size: 60
# callers each send 1,000,000 bytes of a query without its end, in one piece.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 70)
entry_start
say "unfinished messages in one piece"
entry_crowd 60 -s 6 -p $'STARTUP labels test\r\nQUERY q READ ' -f 1000000
verdict
