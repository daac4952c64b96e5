#!/usr/bin/env bash
# Guards against a bulrushcleatd that keeps the replies of callers that do not read: 200 callers each
# send 400 requests ahead.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/overload_lib.sh"

SITE_NET=${SITE_NET:-$((70 + SITE_NET_BASE))}
daemon_start
say "requests sent ahead by callers that do not read the replies"
REQUEST=$'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
daemon_crowd 200 -s 8 -t "$REQUEST" -c 400
verdict
