#!/usr/bin/env bash
# Guards against a request that crosses the announcement of its session's close and is not answered:
# the proxy does not run from then until its time for callers to close is over.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 49)
STORE=$NET.0.1:7000

# cross WHAT PATTERN SECONDS: waits for the announcement on descriptor 3, and sends a request while the
# proxy does not run for some time.
cross() {
	local line=""
	read -r -t 10 line <&3
	signal proxy-1 STOP
	expect "the announcement $1" "$2" "$line"
	printf 'QUERY late WRITE late 1\r\n' >&3
	sleep "$3"
	signal proxy-1 CONT
	line=""
	read -r -t 5 line <&3
	expect "the end of the request's answer $1" '^READY I' "$line"
}

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
sleep 0.3
settings proxy-1 1
spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
ready proxy-1
session proxy-1 orders >"$WORK/answer"
query t1 BEGIN >"$WORK/answer"
expect "a transaction" '^COMPLETE' "$(query t2 'WRITE paused 1')"
exec 5<&3
session proxy-1 orders >"$WORK/answer"
say "requests that arrive while the proxy does not run after an announcement"
signal proxy-1 TERM
cross "to an idle session" '^ERROR RETRY shutting_down, not run' 0.6
exec 3<&5
cross "at the end" '^ERROR ABORTED shutting_down, transaction rolled back' 0.4
wait_for 5 gone proxy-1 || fail "proxy-1 has not ended"
verdict
