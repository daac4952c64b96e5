#!/usr/bin/env bash
# Randomized soak test of the platform's proxy: runs real processes, injects faults from outside
# them, and runs clients that check the guarantees of their sessions all the while.
#
#     soak/soak.sh SEED [SECONDS]
#
# After the last fault every client has to be served again, and every proxy has to have the last
# configuration in force; none may go back to an older one.
#
# Faults overlap: proxies are paused, killed, shut down and told to reload; links to the store and
# the endpoints are cut in both directions or in one, delayed or reset by bc-link, those to the store
# for each proxy alone; leaders crash and come back as replicas; configurations change, and the store
# is restored from an older copy. It lists entries of another writer that cannot be read.
SOAK_SEED=${1:?a seed is needed}
SOAK_SECONDS=${2:-20}
. "$(dirname "$0")/../tests/lib.sh"
RANDOM=$SOAK_SEED
NET=$(net 45)
PROXY_COUNT=3
CLIENTS=6
# Time for which the clients go on after the last fault. That fault lasts 3 s at most; a promotion,
# the next attempts to connect and a client's own wait can take a few seconds more.
SETTLE_S=8
# Each client's last successful request must be at most this long before the end of its run.
SERVED_LATELY_MS=2000
LINK_CONTROL=$NET.0.2:7050
# Each proxy has its own link to the store, so that the store can be lost for some of them only.
NAMES="store1 store2 store3 e1 e2 e3"

pick() { # WORD...: prints one of the words at random
	local words=("$@")
	printf '%s' "${words[RANDOM % ${#words[@]}]}"
}

settings() { # INDEX
	sed -e "s/@NET@/$NET/g" -e "s/@N@/$1/g" >"$WORK/proxy-$1.yaml" <<-'YAML'
		id: proxy-@N@
		domain: barn
		region: east
		domains:
		  - {id: barn, region: east}
		listen:
		  callers: "@NET@.0.1@N@:7200"
		  ready: "@NET@.0.1@N@:7201"
		  peers: "@NET@.0.1@N@:7202"
		  metrics: "@NET@.0.1@N@:7203"
		seeds: ["@NET@.0.11:7202", "@NET@.0.12:7202", "@NET@.0.13:7202"]
		store: "@NET@.0.2:700@N@"
		promotion: "@NET@.0.2:7000"
		grace_s: "3"
		descriptors: 1024
	YAML
}

start_proxy() { spawn "proxy-$1" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$1.yaml"; }

start_link() {
	local i links=""
	for i in 1 2 3; do links="$links store$i,$NET.0.2:700$i,$NET.0.1:7000 e$i,$NET.0.2:$((7099 + i)),$NET.0.1:$((7099 + i))"; done
	# shellcheck disable=SC2086
	spawn link "$BUILD/bc-link" --listen "$LINK_CONTROL" $(printf -- '--link %s ' $links)
	wait_for 5 control '{}' || fail "the links did not start"
}

# The new relay can listen only after the killed one has closed its sockets.
restart_link() {
	kill_process link
	start_link
}

control() { curl -sf -m 2 -o /dev/null -X POST "http://$LINK_CONTROL/control" -d "$1"; }

# later SECONDS COMMAND...: runs a command after a delay, in the background, to undo a fault.
later() {
	local delay=$1
	shift
	(sleep "$delay" && "$@") >/dev/null 2>&1 &
	disown
}

stop_proxy() { kill "-$2" "${PID[proxy-$1]}" 2>/dev/null; }

# Restarts a proxy once its old process has ended. Kills it if it has not ended after 5 s, which is
# longer than its grace period of 3 s.
restart_proxy() {
	wait_for 5 gone "proxy-$1" || kill_process "proxy-$1"
	start_proxy "$1"
}

site() { curl -s -m 2 -o /dev/null -X POST "http://$NET.0.1:7000/-/$1"; }

# Prints the version that a proxy has in force.
version() { curl -s -m 2 "http://$NET.0.1$1:7203/metrics" | sed -n 's/^bulrushcleat_config_version //p'; }

fault() {
	local proxy=$((RANDOM % PROXY_COUNT + 1)) name tenths=$((RANDOM % 9 + 1))
	name=$(pick $NAMES)
	case $((RANDOM % 14)) in
	0) say "  pause proxy-$proxy" && stop_proxy "$proxy" STOP && later "1.$tenths" kill -CONT "${PID[proxy-$proxy]}" ;;
	1) say "  kill proxy-$proxy" && stop_proxy "$proxy" KILL && restart_proxy "$proxy" ;;
	2) say "  stop proxy-$proxy" && stop_proxy "$proxy" CONT && stop_proxy "$proxy" TERM && restart_proxy "$proxy" ;;
	3) say "  reload proxy-$proxy" && stop_proxy "$proxy" HUP ;;
	4 | 5) say "  silence $name" && control "{\"cut\":[\"$name\"]}" && later "1.$tenths" control "{\"heal\":[\"$name\"]}" ;;
	6) say "  delay $name" && control "{\"delay_ms\":{\"$name\":60}}" && later "2.$tenths" control "{\"delay_ms\":{\"$name\":0}}" ;;
	7) say "  reset all links" && restart_link ;;
	8) say "  crash the leader" && curl -sf -m 2 -o /dev/null -X POST "http://$NET.0.1:7000/-/crash?for_ms=1${tenths}00" ;;
	9) say "  cut $name up" && control "{\"cut_up\":[\"$name\"]}" && later "1.$tenths" control "{\"heal\":[\"$name\"]}" ;;
	11 | 12) say "  change the configuration" && site config ;;
	13) say "  restore the store" && site "restore?age_ms=${tenths}000&down_ms=${tenths}00" ;;
	10) say "  cut $name down" && control "{\"cut_down\":[\"$name\"]}" && later "1.$tenths" control "{\"heal\":[\"$name\"]}" ;;
	esac
}

spawn site "$BUILD/bc-site" --store "$NET.0.1:7000" --endpoints 3 --port 7100 --reached-at "$NET.0.2" --odd-entries
sleep 0.2
start_link
ADDRESSES=""
for n in $(seq 1 $PROXY_COUNT); do
	settings "$n"
	start_proxy "$n"
	ADDRESSES="$ADDRESSES $NET.0.1$n"
done
sleep 1
for n in $(seq 1 $CLIENTS); do
	# shellcheck disable=SC2086
	spawn "client-$n" "$BUILD/soak-client" "$SOAK_SEED" "$n" $((SOAK_SECONDS + SETTLE_S)) 7200 $ADDRESSES
done
say "soak seed=$SOAK_SEED seconds=$SOAK_SECONDS"
end=$((SECONDS + SOAK_SECONDS))
while [ $SECONDS -lt $end ]; do
	sleep "0.$((RANDOM % 7 + 2))"
	fault
done
for i in $(seq 1 $((10 * (SETTLE_S + 10)))); do
	kill -0 $(for n in $(seq 1 $CLIENTS); do echo "${PID[client-$n]}"; done) 2>/dev/null || break
	sleep 0.1
done
site config
sleep 3
wanted=$(curl -s -m 2 "http://$NET.0.1:7000/-/objects/config" | grep -o '"version":[0-9]*' | cut -d: -f2)
for n in $(seq 1 $PROXY_COUNT); do
	[ "$(version "$n")" = "${wanted:-none}" ] ||
		fail "proxy-$n has version '$(version "$n")' in force, not '$wanted'"
done
awk -F'"version":|,"before":|,"routes":' '/"event":"config_in_force"/ && $2 + 0 < $3 + 0 {print; bad = 1}
	END {exit bad}' "$WORK"/proxy-*.out || fail "an older configuration came into force"
cat "$WORK"/client-*.out
[ "$(grep -l '^client=' "$WORK"/client-*.out | wc -l)" -eq $CLIENTS ] || fail "a client has not ended"
grep -h BROKEN "$WORK"/client-*.out "$WORK/site.out" && fail "promises were broken, seed $SOAK_SEED"
awk -F'[ =]' '{ok += $4} END {exit ok < 200}' <(grep -h '^client=' "$WORK"/client-*.out) ||
	fail "fewer than 200 statements were served"
awk -F'[ =]' -v most=$SERVED_LATELY_MS '$12 > most {late = 1} END {exit late}' \
	<(grep -h '^client=' "$WORK"/client-*.out) ||
	fail "a caller was not served in its last $SERVED_LATELY_MS ms, after the faults had ended"
grep -lE 'AddressSanitizer|runtime error' "$WORK"/*.log && fail "a proxy was ended by a sanitizer"
verdict
