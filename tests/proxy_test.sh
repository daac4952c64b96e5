#!/usr/bin/env bash
# Checks properties P1, P3, P4, P6 and P8: proxies are killed, paused and drained under load with
# interactive transactions; answers of an endpoint are late or carry the id of another request.
# Guards against statements of different transactions on one connection, answers that belong to
# another request, writes applied twice, and requests cut off by a graceful shutdown.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

LOAD_OPTIONS=(--rate 150 --sessions 15 --read-percent 50 --transaction-percent 40
	--keyed-percent 60 --roam --timeout-ms 4000)

restart_proxy() {
	start_proxy "$1"
	wait_for 10 proxy_ready "$1" || fail "$1 is not ready again"
}

site_start quabbin 1
read -r P1 P2 P3 <<<"$PROXIES"

load_start 8 --setup "${LOAD_OPTIONS[@]}"
sleep 2
kill_process "$P2"
sleep 1
restart_proxy "$P2"
signal "$P3" STOP
sleep 2
signal "$P3" CONT
load_wait
say "proxies killed and paused: $(grep -c . "$WORK/history.jsonl") operations"

# This load does not use the proxy that replaces the draining one; every request in flight must be
# answered.
load_start 5 "${LOAD_OPTIONS[@]}" --history "$WORK/drain.jsonl"
sleep 2
signal "$P1" TERM
wait_for 10 gone "$P1" || fail "$P1 did not end within 10 s"
grep -q '"event":"stopped","fields":{"cut_off":0}' "$WORK/$P1.log" ||
	fail "the drain cut off requests: $(tail -2 "$WORK/$P1.log")"
wait "$LOAD" || fail "the load tool failed: $(tail -3 "$WORK/load.log")"
cat "$WORK/drain.jsonl" >>"$WORK/history.jsonl"
restart_proxy "$P1"
say "drain: $(grep -h '"event":"drain"' "$WORK/$P1.log" | tail -1)"

# The endpoint answers late, then with another request's id. The proxy must detect such answers and
# never forward them.
endpoint_control orange-barn-db '{"answer_delay_ms":300}'
load_start 4 "${LOAD_OPTIONS[@]}" --history "$WORK/late.jsonl"
sleep 2
endpoint_control orange-barn-db '{"answer_delay_ms":0,"swap_request_ids":true}'
sleep 1
endpoint_control orange-barn-db '{"swap_request_ids":false}'
wait "$LOAD" || fail "the load tool failed: $(tail -3 "$WORK/load.log")"
cat "$WORK/late.jsonl" >>"$WORK/history.jsonl"
"$BUILD/bc-check" --endpoint "${ADDRESS[$(primary_of jobs)]}" --database jobs \
	"$WORK/history.jsonl" >"$WORK/check.out" 2>&1 ||
	fail "history: $(head -5 "$WORK/check.out"; tail -1 "$WORK/check.out")"
say "history: $(tail -1 "$WORK/check.out")"
expect_at_least "protocol doubts noticed" \
	"$(ctl GET "http://${ADDRESS[$P2]}/metrics" | sed -nE 's/^bulrushcleat_protocol_doubts_total //p')" 1
verdict
