#!/usr/bin/env bash
# Guards against a bulrushcleatd that keeps bodies far over the limit of 1 MiB: 60 callers each send
# a body of 20,000,000 bytes without its end.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/overload_lib.sh"

SITE_NET=${SITE_NET:-$((79 + SITE_NET_BASE))}
daemon_start
say "bodies far over the limit"
daemon_crowd 60 -s 6 -p "$(daemon_request 21000000 "{")" -f 20000000
verdict
