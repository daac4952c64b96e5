#!/usr/bin/env bash
# Tests bc-link, the relay that the system tests use: delays, cuts by source address, connections
# that are held during a cut and go on after it, and counters. Guards against failure tests that
# pass because nothing was cut or delayed.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

NET=$(net 1)
PLATFORM=$NET.0.1:8500
RELAYED=$NET.0.9:8500
CONTROL=$NET.0.2:8600

control() { ctl POST "http://$CONTROL/control" "$1" >/dev/null || fail "refused: $1"; }
counter() { ctl GET "http://$CONTROL/control/counters" | tr -d ' \n' | grep -oE '"rules":.*' | json_field "$1"; }

elapsed_ms() { # COMMAND...
	local begin
	begin=$(now_ms)
	"$@" >/dev/null 2>&1
	echo $(($(now_ms) - begin))
}

printf '{"objects":{"a":{"n":1}},"vms":[]}' >"$WORK/platform.json"
spawn platform "$BUILD/bc-platform" --listen "$PLATFORM" --load "$WORK/platform.json"
spawn link "$BUILD/bc-link" --listen "$CONTROL" --link "platform,$RELAYED,$PLATFORM"
wait_for 5 ctl GET "http://$RELAYED/v1/objects/a" || fail "the relay does not pass requests on"

# On a new connection the request arrives after three delays, and the answer takes one more.
control '{"rules":[{"from":"127.0.0.","to":"platform","delay_ms":50}]}'
expect_at_least "time of a request with 50 ms each way" \
	"$(elapsed_ms ctl GET "http://$RELAYED/v1/objects/a")" 200
expect_at_least "bytes counted for the rule" "$(counter bytes_up)" 1

# With a cut in one direction the request reaches the target, but its answer does not come back.
control '{"cut_down":["platform"]}'
expect_at_least "time of a request whose answer is cut off" \
	"$(elapsed_ms ctl -t 700 GET "http://$RELAYED/v1/objects/a")" 700
control '{"heal":["platform"]}'
exec 9<>"/dev/tcp/${RELAYED%:*}/${RELAYED#*:}"
sleep 0.2
control '{"cut_down":["platform"]}'
printf 'PUT /v1/objects/b HTTP/1.1\r\nHost: x\r\nContent-Length: 32\r\n\r\n{"if_version":0,"value":{"n":1}}' >&9
sleep 0.2
ctl GET "http://$PLATFORM/v1/objects/b" >/dev/null || fail "a request did not pass a cut of the other direction"
read -r -t 0.2 <&9 && fail "an answer passed a cut of its direction"
control '{"heal":["platform"]}'
read -r -t 2 <&9 || fail "the answer did not come after the heal"
exec 9<&-

# A rule for another source address must not cut this connection.
control '{"rules":[{"from":"127.0.0.","to":"platform","delay_ms":0},{"from":"127.9.","to":"platform","cut":true}]}'
ctl GET "http://$RELAYED/v1/objects/a" >/dev/null || fail "another source's cut was applied"

ctl -t 9000 GET "http://$RELAYED/v1/watch/a?after=1&wait_ms=8000" >"$WORK/watch" &
WATCH=$!
sleep 0.3
control '{"rules":[{"from":"127.0.0.","to":"platform","cut":true}]}'
ctl PUT "http://$PLATFORM/v1/objects/a" '{"if_version":1,"value":{"n":2}}' >/dev/null ||
	fail "cannot change the object directly"
expect_at_least "time of a new request through a cut" \
	"$(elapsed_ms ctl -t 700 GET "http://$RELAYED/v1/objects/a")" 700
[ -s "$WORK/watch" ] && fail "an answer passed through the cut: $(cat "$WORK/watch")"
kill -0 $WATCH 2>/dev/null || fail "the cut ended a held connection"
control '{"rules":[{"from":"127.0.0.","to":"platform","cut":false}]}'
wait $WATCH || fail "the held request did not go on after healing"
grep -q '"n": *2' "$WORK/watch" || fail "the held request's answer is $(cat "$WORK/watch")"

for bad in '{"rules":{}}' '{"rules":[{"from":"127."}]}' '{"rules":[{"from":"","to":"","cut":1}]}' \
	'{"rules":[{"from":"","to":"","delay_ms":-1}]}' '{"rules":[{"from":"","to":"","rate":1}]}'; do
	ctl POST "http://$CONTROL/control" "$bad" >/dev/null && fail "accepted: $bad"
done
verdict
