#!/usr/bin/env bash
# Runs bulrushcleat-entry as real processes against a stand-in of the platform: settings,
# statements, statements through another proxy, a store restored from an older copy, a crashed leader,
# a drain, and finding a statement in the log by its id. The store also lists entries of another
# writer that cannot be read. SITE_NET=N moves it to 127.N.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 41)
STORE=$NET.0.1:7000
PORT=7100

settings good 9
"$BUILD/bulrushcleat-entry" --check "$WORK/good.yaml" || fail "good settings are refused"
sed -e 's/^grace_s.*/grace_s: "soon"/' -e '/^store/d' "$WORK/good.yaml" >"$WORK/bad.yaml"
"$BUILD/bulrushcleat-entry" --check "$WORK/bad.yaml" 2>"$WORK/findings"
[ $? -eq 2 ] || fail "bad settings do not end with 2"
[ "$(wc -l <"$WORK/findings")" -eq 2 ] || fail "bad settings: $(cat "$WORK/findings")"

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port "$PORT" --odd-entries
sleep 0.3
for n in 1 2; do
	settings "proxy-$n" "$n"
	spawn "proxy-$n" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$n.yaml"
done
ready proxy-1 && ready proxy-2

say "statements"
expect "unknown database" '^ERROR NODB' "$(session proxy-1 nowhere)"
session proxy-1 orders >"$WORK/answer"
expect "startup" '^READY I -$' "$(cat "$WORK/answer")"
expect "write" '^COMPLETE e1.write\|READY I' "$(query w1 'WRITE hoe ash handle')"
expect "read" '^DATAROW ash handle\|COMPLETE e1.read\|READY I' "$(query r1 'READ hoe')"
# A line feed is part of a text, not the end of a statement.
expect "write with a line feed" '^COMPLETE e1.write\|READY I' \
	"$(query w3 $'WRITE rake two\nQUERY x1 WRITE hoe 0')"
expect "read with a line feed" '^DATAROW two\|QUERY x1 WRITE hoe 0\|COMPLETE e1.read' \
	"$(query r5 'READ rake')"
expect "no statement after a line feed" '^DATAROW ash handle\|' "$(query r6 'READ hoe')"
expect "set" '^COMPLETE -\|READY I' "$(query s1 'SET zone east side')"
expect "begin" '^COMPLETE -\|READY T' "$(query b1 'BEGIN')"
expect "transaction's write" '^COMPLETE e1.write\|READY T' "$(query w2 'WRITE fork hickory')"
expect "commit" '^COMPLETE e1\|READY I' "$(query c1 'COMMIT')"
expect "malformed" '^ERROR MALFORMED' "$(query m1 'DROP everything')"
exec 3>&-
session proxy-2 labels >"$WORK/answer"
expect "read on the other proxy" '^DATAROW hickory\|COMPLETE e[123].read' "$(query r2 'READ fork')"
# The first read of a route that allows replicas has the leader sampled; later ones go anywhere.
for i in 1 2 3 4 5 6 7 8; do
	expect "read at any endpoint" '^DATAROW hickory\|COMPLETE e[123].read' "$(query "a$i" 'READ fork')"
	sleep 0.05
done
exec 3>&-

say "a restored store"
# The copy is older than versions 2 to 4, so version 5 has a revision that version 3 or 4 had.
sleep 1
for n in 2 3 4; do [ "$(http -X POST "http://$STORE/-/config")" = 200 ] || fail "config $n"; done
in_force 4
[ "$(http -X POST "http://$STORE/-/restore?age_ms=3000&down_ms=500")" = 200 ] || fail "restore"
sleep 2
in_force 4
[ "$(http -X POST "http://$STORE/-/config")" = 200 ] || fail "config 5"
in_force 5
expect "a route of the last version" '^READY I' "$(session proxy-1 route-5)"
exec 3>&-
expect "a route of an older version" '^ERROR NODB' "$(session proxy-2 route-4)"
exec 3>&-
grep -q '"event":"store_era_changed"' "$WORK"/proxy-*.out || fail "no new era in the log"

say "a crashed leader"
[ "$(http -X POST "http://$STORE/-/crash?id=e1")" = 200 ] || fail "crash"
start=$(now_ms)
session proxy-2 orders >"$WORK/answer"
for i in $(seq 1 60); do
	answer=$(query "x$i" "WRITE spade $i")
	[[ $answer =~ ^COMPLETE ]] && break
	[[ $answer =~ ^ERROR\ (RETRY|READONLY) ]] || fail "write without a leader: '$answer'"
	sleep 0.1
done
expect "write at the new leader" '^COMPLETE e[23].write' "$answer"
say "  no writes for $(($(now_ms) - start)) ms"
expect "read at the new leader" "^DATAROW $i\|" "$(query r3 'READ spade')"
[ "$(grep -ch '"event":"takeover_ordered"' "$WORK"/proxy-*.out | awk "{n += \$1} END {print n}")" -ge 1 ] ||
	fail "no takeover in the log"

say "a drain"
kill -TERM "${PID[proxy-1]}"
sleep 0.3
[ "$(http "http://${CALLERS[proxy-1]}:7201/-/ready")" = 503 ] || fail "ready while draining"
for i in $(seq 1 60); do
	kill -0 "${PID[proxy-1]}" 2>/dev/null || break
	sleep 0.1
done
kill -0 "${PID[proxy-1]}" 2>/dev/null && fail "proxy-1 has not ended"
grep -q '"event":"stopped"' "$WORK/proxy-1.out" || fail "no line at the end"
expect "the other proxy goes on" "^DATAROW" "$(query r4 'READ spade')"

say "logs and metrics"
grep -q '"id":"w2".*"outcome":"ok"' "$WORK/proxy-1.out" || fail "w2 is not in the log"
[ "$(http "http://${CALLERS[proxy-2]}:7203/metrics")" = 200 ] || fail "metrics"
grep -q 'bulrushcleat_statement_seconds_count{route="newest",outcome="ok"}' "$WORK/body" ||
	fail "no latency histogram"
choices=$(cat <(curl -s "http://${CALLERS[proxy-1]}:7203/metrics") "$WORK/body" |
	grep -c '^bulrushcleat_balance_choices_total')
[ "${BALANCE:-cost}" = cost ] && [ "$choices" != 0 ] && fail "reads are balanced without being asked for"
[ "${BALANCE:-cost}" = spread ] && [ "$choices" = 0 ] && fail "the setting balance has no effect"
grep -lE 'Sanitizer|runtime error' "$WORK"/*.log && fail "a sanitizer's report, see the log"
verdict
