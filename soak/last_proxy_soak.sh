#!/usr/bin/env bash
# Soak test of review/3 with real processes: all proxies but one are removed in turn, and the last one
# is stopped while callers that have nowhere else to go open new sessions at it until it exits. Fails
# if a request has run, or was sent over 0.2 s before its connection ended, and got no answer.
#
#     soak/last_proxy_soak.sh SEED
#
# PROXY_COUNT, 4 if not set; DELAY_MS each way between proxies and endpoints, 30 if not set; CALLERS_COUNT,
# 40 if not set; SITE_NET for several runs at once.
PLAY_SEED=${1:?a seed is needed}
. "$(dirname "$0")/../tests/lib.sh"
. "$ROOT/tests/entry_lib.sh"
trap '' PIPE # a proxy may close a session of this script at any time

NET=$(net 49)
STORE=$NET.0.1:7000
GRACE_S=6
GAP_S=1.3
PROXY_COUNT=${PROXY_COUNT:-4}
DELAY_MS=${DELAY_MS:-30}
COUNT=${CALLERS_COUNT:-40}

delayed_site "$DELAY_MS"
for n in $(seq 1 "$PROXY_COUNT"); do
	settings "proxy-$n" "$n"
	sed -i "s/^grace_s:.*/grace_s: \"$GRACE_S\"/" "$WORK/proxy-$n.yaml"
	spawn "proxy-$n" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$n.yaml"
done
addresses=""
for n in $(seq 1 "$PROXY_COUNT"); do
	ready "proxy-$n"
	addresses="$addresses ${CALLERS[proxy-$n]}"
done
load_s=$(echo "($PROXY_COUNT - 1) * $GAP_S + 2 * $GRACE_S + 4" | bc | cut -d. -f1)
# shellcheck disable=SC2086
spawn load "$BUILD/stop-client" "$PLAY_SEED" "$COUNT" "$load_s" 2 7200 $addresses
sleep 1
for n in $(seq 1 $((PROXY_COUNT - 1))); do
	signal "proxy-$n" TERM
	sleep "$GAP_S"
done
sleep "$GRACE_S"
for n in $(seq 1 $((PROXY_COUNT - 1))); do
	gone "proxy-$n" || fail "proxy-$n has not ended"
done
# An open transaction keeps the last drain going until its timeout.
session "proxy-$PROXY_COUNT" orders >"$WORK/answer"
query p1 BEGIN >"$WORK/answer"
query p2 "WRITE paused 1" >"$WORK/answer"
began_ms=$(now_ms)
signal "proxy-$PROXY_COUNT" TERM
wait_for $((GRACE_S + 1)) gone "proxy-$PROXY_COUNT" || fail "the last proxy has not ended"
took_ms=$(($(now_ms) - began_ms))
[ "$took_ms" -le $((GRACE_S * 1000 + 200)) ] || fail "the last proxy ended after $took_ms ms"
wait_for 30 gone load || fail "the callers have not ended"
while read -r line; do
	[[ $line =~ sent_ms=([0-9]+)\ ended_ms=([0-9]+) ]] || continue
	[ $((BASH_REMATCH[2] - BASH_REMATCH[1])) -le 200 ] || fail "late: $line"
done < <(grep '^unanswered' "$WORK/load.out")
grep -q ' cut_off=0$' "$WORK/load.out" || fail "statements ran and were not answered"
grep -h '"statement_unanswered"' "$WORK"/proxy-*.out | grep -v '"closed by peer"' | head -3 |
	grep . && fail "a proxy closed a session with a statement unanswered"
say "seed $PLAY_SEED proxies $PROXY_COUNT delay $DELAY_MS: last ended after $took_ms ms; $(tail -n 1 "$WORK/load.out")"
verdict
