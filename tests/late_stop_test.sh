#!/usr/bin/env bash
# Guards against a proxy that still waits for its callers when its grace period ends, and is killed:
# it did not run for a while shortly before the end of its drain, and a caller with a transaction
# does not close its connection.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 48)
STORE=$NET.0.1:7000
GRACE_MS=6000

# These start no process, so that a busy machine delays them less.
now_ms_set() { NOW_MS=$((${EPOCHREALTIME/./} / 1000)); }

wait_until() { # MS
	local left_s
	now_ms_set
	while [ $NOW_MS -lt "$1" ]; do
		printf -v left_s '%d.%03d' $((($1 - NOW_MS) / 1000)) $((($1 - NOW_MS) % 1000))
		read -r -t "$left_s" <&9
		now_ms_set
	done
}

# logged_ms EVENT: prints the time of a log line of the proxy.
logged_ms() {
	date -d "$(grep -m 1 "\"event\":\"$1\"" "$WORK/proxy-1.out" | json_field time)" +%s%3N
}

mkfifo "$WORK/never"
exec 9<>"$WORK/never" # has no input: a read from it waits
spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
sleep 0.3
settings proxy-1 1
sed -i "s/^grace_s:.*/grace_s: \"$((GRACE_MS / 1000))\"/" "$WORK/proxy-1.yaml"
spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
ready proxy-1
session proxy-1 orders >"$WORK/answer"
query t1 BEGIN >"$WORK/answer"
expect "a transaction" '^COMPLETE' "$(query t2 'WRITE paused 1')"
say "a proxy that does not run between 5.1 and 5.77 s after SIGTERM"
now_ms_set
BEGAN_MS=$NOW_MS
signal proxy-1 TERM
wait_until $((BEGAN_MS + 5100))
signal proxy-1 STOP
# A request that arrives meanwhile is answered too.
printf 'QUERY t3 WRITE paused 2\r\n' >&3
wait_until $((BEGAN_MS + 5770))
signal proxy-1 CONT
wait_for 5 gone proxy-1 || fail "proxy-1 has not ended"
took_ms=$(($(logged_ms stopped) - BEGAN_MS))
say "  stopped after $took_ms ms"
[ "$took_ms" -le $GRACE_MS ] || fail "proxy-1 ended after its grace period"
read -r -t 1 line <&3
expect "the request's answer" '^(COMPLETE|ERROR ABORTED)' "$line"
read -r -t 1 line <&3
expect "its end" '^READY' "$line"
grep -q '"statement_unanswered"' "$WORK/proxy-1.out" && fail "a statement was not answered"
verdict
