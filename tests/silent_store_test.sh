#!/usr/bin/env bash
# Guards against changes in the store that stay unknown because the open connections to it fall
# silent without a reset: a draining leader was used until it exited, and a configuration came late.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 42)
STORE=$NET.0.1:7000
LINK_CONTROL=$NET.0.2:7050
# The platform's bounds: no statement may reach a leader later than this after its report that it
# drains, and a configuration has to be in force.
DRAIN_TIMEOUT_MS=7000
# The stand-in's leader exits later than it should, as the platform's do.
LEADER_EXIT_MS=12000

silence() {
	curl -sf -m 2 -o /dev/null -X POST "http://$LINK_CONTROL/control" \
		-d '{"silence":["store1","store2"]}' || fail "the links are not silenced"
}

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
spawn link "$BUILD/bc-link" --listen "$LINK_CONTROL" \
	--link "store1,$NET.0.2:7001,$STORE" --link "store2,$NET.0.2:7002,$STORE"
wait_for 5 curl -sf -o /dev/null "http://$LINK_CONTROL/control/counters" || fail "no links"
for n in 1 2; do
	settings "proxy-$n" "$n" "$NET.0.2:700$n"
	spawn "proxy-$n" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$n.yaml"
done
ready proxy-1 && ready proxy-2
# Until both watch the store as they do in operation.
sleep 2

say "a draining leader"
session proxy-1 orders >"$WORK/answer"
expect "startup" '^READY I -$' "$(cat "$WORK/answer")"
expect "write" '^COMPLETE e1.write' "$(query w0 'WRITE hoe 0')"
silence
sleep 0.5
[ "$(http -X POST "http://$STORE/-/drain?for_ms=$LEADER_EXIT_MS")" = 200 ] || fail "drain"
start=$(now_ms)
for i in $(seq 1 200); do
	answer=$(query "w$i" "WRITE hoe $i")
	[[ $answer =~ ^COMPLETE\ e[23] ]] && break
	[ $(($(now_ms) - start)) -lt $DRAIN_TIMEOUT_MS ] || break
	sleep 0.1
done
took=$(($(now_ms) - start))
expect "write after the drain's time" '^COMPLETE e[23].write' "$answer"
say "  another leader after $took ms"

say "a configuration"
silence
sleep 0.1
[ "$(http -X POST "http://$STORE/-/config")" = 200 ] || fail "config 2"
in_force 2
verdict
