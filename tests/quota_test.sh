#!/usr/bin/env bash
# Guards against an account's operations beyond its limit over two proxies, against refusals below it,
# and against a counter whose failure or end stops the callers of the others.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=127.${SITE_NET:-90}
STORE=$NET.0.1:7000
RATE=30
BURST=20

# load NAME SECONDS PAUSE_S FILE: queries one after the other; a line with time and answer for each.
load() {
	local line answer n=0 end=$(($(now_ms) + $2 * 1000))
	exec 3<>"/dev/tcp/${CALLERS[$1]}/7200" || return 1
	printf 'STARTUP orders secret-mill\r\n' >&3
	read -r -t 3 line <&3
	while [ "$(now_ms)" -lt "$end" ]; do
		n=$((n + 1))
		answer=$(query "$1-$n" "READ item-1")
		echo "$(now_ms) $answer" >>"$4"
		sleep "$3"
	done
}

# loads SECONDS PAUSE_S NAME...: loads on these proxies at the same time; the answers are in answers.
loads() {
	local seconds=$1 pause=$2 name pids=""
	shift 2
	rm -f "$WORK"/load-*
	for name in "$@"; do
		load "$name" "$seconds" "$pause" "$WORK/load-$name" &
		pids="$pids $!"
	done
	# shellcheck disable=SC2086
	wait $pids
	sort -n "$WORK"/load-* >"$WORK/answers"
}

# most_in_5s: the highest number of operations that ran in any 5 s.
most_in_5s() {
	grep -v over_limit "$WORK/answers" | awk '{t[NR]=$1; while (t[NR]-t[f+1]>5000) f++;
		if (NR-f>m) m=NR-f} END {print m+0}'
}

# metric NAME METRIC
metric() { curl -s -m 3 "http://${CALLERS[$1]}:7203/metrics" | awk -v m="$2" '$1 == m {print $2}'; }

held() { # the sum of the claims that the running proxies hold
	local n sum=0 value
	for n in "$@"; do
		value=$(metric "$n" bulrushcleat_quota_claims)
		sum=$((sum + ${value:-0}))
	done
	echo "$sum"
}

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100 --accounts
sleep 0.3
for n in 1 2 3; do
	settings "proxy-$n" "$n"
	spawn "proxy-$n" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$n.yaml"
done
for n in 1 2 3; do ready "proxy-$n"; done

say "no limit"
loads 1 0.01 proxy-1
grep -q over_limit "$WORK/answers" && fail "refused without a limit"
[ "$(held proxy-1 proxy-2 proxy-3)" = 0 ] || fail "claims without a limit"

say "a limit"
http -X POST "http://$STORE/-/config?rate=$RATE&burst=$BURST" >/dev/null
in_force 2
wait_for 5 test "$(held proxy-1 proxy-2 proxy-3)" -ge 1
sleep 2
loads 8 0 proxy-1 proxy-2
expect "a refusal" 'over_limit, not run, retry_after_ms=[0-9]+' "$(grep -m1 over_limit "$WORK/answers")"
most=$(most_in_5s)
say "most operations in 5 s: $most"
[ "$most" -le $(((RATE * 5 + BURST) * 11 / 10 + 20)) ] || fail "$most operations in 5 s"
[ "$most" -ge $((RATE * 5 * 97 / 100)) ] || fail "only $most operations in 5 s"
grep -q '"event":"over_limit"' "$WORK"/proxy-*.out "$WORK"/proxy-*.log || fail "no log line of a refusal"

say "below the limit"
sleep 2
loads 4 0.15 proxy-1 proxy-3
refused=$(grep -c over_limit "$WORK/answers")
[ "$refused" = 0 ] || fail "$refused of $(wc -l <"$WORK/answers") refused below the limit"

say "a counter that fails"
counter=$(cat "$WORK"/proxy-*.out "$WORK"/proxy-*.log | grep '"event":"over_limit"' | tail -1 |
	sed 's/.*"counter":"\([^"]*\)".*/\1/')
others=$(printf 'proxy-1\nproxy-2\nproxy-3\n' | grep -vx "$counter")
say "counter: $counter"
(
	sleep 2
	kill -KILL "${PID[$counter]}"
) &
# shellcheck disable=SC2086
loads 7 0.15 $others
refused=$(grep -c over_limit "$WORK/answers")
all=$(wc -l <"$WORK/answers")
say "refused: $refused of $all"
[ $((refused * 5)) -le "$all" ] || fail "$refused of $all refused after the counter failed"
cat "$WORK"/proxy-*.out "$WORK"/proxy-*.log | grep -q '"quota_carrying"' || fail "no log line"

say "a new counter"
sleep 8
loads 3 0.15 $others
refused=$(grep -c over_limit "$WORK/answers")
[ "$refused" = 0 ] || fail "$refused of $(wc -l <"$WORK/answers") refused under the new counter"

say "a counter that stops"
for n in $others; do
	[ "$(held "$n")" = 0 ] || stopped=$n
done
rest=$(printf '%s\n' $others | grep -vx "$stopped")
(
	sleep 1
	kill -TERM "${PID[$stopped]}"
) &
loads 5 0.1 "$rest"
refused=$(grep -c over_limit "$WORK/answers")
all=$(wc -l <"$WORK/answers")
say "refused: $refused of $all"
[ $((refused * 5)) -le "$all" ] || fail "$refused of $all refused after the counter was stopped"
cat "$WORK"/proxy-*.out "$WORK"/proxy-*.log | grep -q '"quota_claim_released"' || fail "no release"
verdict
