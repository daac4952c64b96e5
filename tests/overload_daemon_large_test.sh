#!/usr/bin/env bash
# Guards against a bulrushcleatd that keeps the parts of many unfinished requests of legal size: 60
# callers each send 1,000,000 bytes of a body of 1,040,000.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/overload_lib.sh"

SITE_NET=${SITE_NET:-$((77 + SITE_NET_BASE))}
daemon_start
say "unfinished requests"
daemon_crowd 60 -s 6 -p "$(daemon_request 1040000 "{")" -f 1000000
verdict
