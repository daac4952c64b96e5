#!/usr/bin/env bash
# Checks property P9 under faults of the platform: two operators change one plan, a reply is lost
# after the change took effect, the store is slow or down, and a proxy starts without saved state
# while the store is down. Guards against a configuration that reverts, is lost, or does not reach
# every proxy within 9 s, and against proxies that stop serving when the store is down.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

SPREAD_TARGET_S=9
site_start quabbin 3
read -r P1 P2 P3 _ <<<"$PROXIES"
HIGHEST=0

revision_of() { ctl GET "http://${ADDRESS[$1]}/v1/status" 2>/dev/null | json_field config_revision; }

in_force() { # REVISION: whether it is in force on every running proxy
	local proxy
	for proxy in $PROXIES; do
		[ -z "${PID[$proxy]:-}" ] || [ "$(revision_of "$proxy")" = "$1" ] || return 1
	done
}

apply() { # CONNECTIONS OPTIONS...: returns the exit code of the operators' command
	local connections=$1
	shift
	sed "0,/connections: 12/s//connections: $connections/" "$ROOT/examples/quabbin/plans.yaml" \
		>"$WORK/plans-$connections.yaml"
	"$BUILD/bulrushcleat" config apply "$WORK/plans-$connections.yaml" \
		"$ROOT/examples/quabbin/customers.yaml" --platform "$PLATFORM" "$@" \
		>"$WORK/apply-$connections.out" 2>&1
}

expect_in_force() { # WHAT REVISION
	local begin
	begin=$(now_ms)
	wait_for $SPREAD_TARGET_S in_force "$2" ||
		fail "$1: revision $2 is not in force everywhere: $(for p in $PROXIES; do revision_of "$p"; done | tr '\n' ' ')"
	say "$1: in force on every proxy after $(($(now_ms) - begin)) ms"
	HIGHEST=$2
}

apply 13 || fail "apply 13 failed: $(cat "$WORK/apply-13.out")"
expect_in_force "store healthy" 2

# Two operators submit a change based on revision 2 at the same time.
apply 14 --if-revision 2 &
FIRST=$!
apply 15 --if-revision 2 &
SECOND=$!
wait $FIRST
A=$?
wait $SECOND
B=$?
[ "$((A + B))" -eq 4 ] || fail "one operator must win and one get exit code 4: $A and $B"
expect_in_force "two operators" 3

platform_control '{"lose_replies":1}'
apply 16 --if-revision 3 || fail "a lost reply was not resolved: $(cat "$WORK/apply-16.out")"
expect_in_force "reply lost" 4

platform_control '{"mode":"slow","delay_ms":1500}'
apply 17 --if-revision 4 || fail "apply with a slow store failed: $(cat "$WORK/apply-17.out")"
expect_in_force "store slow" 5

platform_control '{"mode":"down"}'
apply 18 --if-revision 5
[ $? -eq 3 ] || fail "apply with the store down must exit with 3: $(cat "$WORK/apply-18.out")"
grep -q . "$WORK/apply-18.out" || fail "no message while the store is down"
load_start 5 --setup --rate 100 --sessions 10 --read-percent 60 --keyed-percent 50 --roam \
	--timeout-ms 4000
kill_process "$P3"
start_proxy "$P3"
wait_for 10 proxy_ready "$P3" || fail "$P3 did not get ready while the store is down"
[ "$(revision_of "$P3")" = 5 ] || fail "$P3 started with revision $(revision_of "$P3"), expected 5"
OLD=$(primary_of jobs)
kill_process "$OLD"
load_wait
[ "$(primary_of jobs)" != "$OLD" ] || fail "no promotion while the store was down"
say "store down: writes ended by outcome $(tr -d ' \n' <"$WORK/load.json" | grep -oE '"write":\{[^}]*\}' | head -1)"
start_endpoint "$OLD"
expect_at_most "store down: the gap without writes in ms" "$(load_field write_gap_ms)" 13000
in_force 5 || fail "a proxy changed its revision while the store was down"

platform_control '{"mode":"up"}'
wait_for 15 apply 19 || fail "apply after the outage failed: $(cat "$WORK/apply-19.out")"
expect_in_force "store up again" $((HIGHEST + 1))
for proxy in $PROXIES; do
	[ "$proxy" = "$P3" ] && continue
	sed -nE 's/.*"config_in_force","fields":\{"revision":([0-9]+)\}.*/\1/p' "$WORK/$proxy.log" >"$WORK/revisions"
	sort -n -c -u "$WORK/revisions" 2>/dev/null || fail "$proxy went back: $(tr '\n' ' ' <"$WORK/revisions")"
done
verdict
