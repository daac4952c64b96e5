#!/usr/bin/env bash
# Guards against a process that keeps messages far over the limit of 1 MiB until it refuses them: 60
# callers each send 20,000,000 bytes of a query without its end.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 72)
entry_start
say "messages far over the limit"
entry_crowd 60 -s 6 -p $'STARTUP labels test\r\nQUERY q READ ' -f 20000000
verdict
