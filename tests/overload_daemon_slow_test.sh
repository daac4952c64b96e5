#!/usr/bin/env bash
# Guards against a bulrushcleatd that keeps for ever what slow callers send: 60 callers each send a
# part of a body, and the rest in single bytes or not at all.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/overload_lib.sh"

SITE_NET=${SITE_NET:-$((78 + SITE_NET_BASE))}
daemon_start
say "callers that send very slowly"
daemon_crowd 60 -s 8 -p "$(daemon_request 1040000 "{")" -f 1000000 -b 2000 -w 15
say "callers that stop half-way"
daemon_crowd 60 -s 6 -p "$(daemon_request 1040000 "{")" -f 600000
verdict
