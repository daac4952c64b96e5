#!/usr/bin/env bash
# Guards against a memory budget that a proxy meets within the documented limits: 3,690 sessions on a
# VM of 160 MB with 4,300 descriptors, of which each has sent a statement of 1,200 bytes and is then
# idle for longer than any limit of a transfer, 200 of them within a transaction, and callers that
# send a message in pieces within a few seconds. None is refused or closed, and a message of 1,000,000
# bytes is served meanwhile.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 71)
STORE=$NET.0.1:7000
spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
sleep 0.3
settings proxy-1 1
sed -i 's/^descriptors: .*/descriptors: 4300/' "$WORK/proxy-1.yaml"
echo "memory_mb: 160" >>"$WORK/proxy-1.yaml"
spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
ready proxy-1
say "idle sessions"
LONG=$(printf '%01150d' 7)
STARTUP=$'STARTUP labels test\r\n'
idle() { "$BUILD/overload-client" -s 20 -r 100000 "$@" "${CALLERS[proxy-1]}" 7200 >"$WORK/$1$2.log" & }
idle -n 3390 -p "${STARTUP}QUERY q SET value $LONG"$'\r\n'
idle -n 200 -p "$STARTUP"$'QUERY q BEGIN\r\n'
idle -n 100 -p "${STARTUP}QUERY q SET value $LONG"$'\r\n' -b 100 -w 250
sleep 18
metrics=$(curl -s "http://${CALLERS[proxy-1]}:7203/metrics")
say "$(grep -E '^bulrushcleat_(sessions|transactions|budget_held_bytes|callers_.*)[ {]' <<<"$metrics")"
expect "sessions" $'\nbulrushcleat_sessions 3690\n' $'\n'"$metrics"$'\n'
expect "transactions" $'\nbulrushcleat_transactions 200\n' $'\n'"$metrics"$'\n'
grep -E '^bulrushcleat_(callers|budget_refused)_' <<<"$metrics" && fail "callers were refused or closed"
long_message
say "  resident $(memory_kb proxy-1 VmRSS) kB, at most $(memory_kb proxy-1 VmHWM)"
expect_at_most "resident memory in kB" "$(memory_kb proxy-1 VmHWM)" 160000
wait
grep -L 'closed 0' "$WORK"/-n*.log | grep . && fail "connections were closed"
verdict
