#!/usr/bin/env bash
# bench_fleet.sh N: measures an idle fleet of N proxies: control traffic, processor time, memory and
# store calls, then the time until a configuration change is in force on all of them.
SITE_NET=${SITE_NET:-31}
. "$(dirname "$0")/../tests/lib.sh"
. "$(dirname "$0")/bench_lib.sh"

N=$1
# Time to wait after the start. A proxy fills its messages to a member that it has known for less
# than 300 s (NEW_MEMBER_US) with updates about other members, so the traffic measured by default is
# that of a newly started fleet, which is an upper bound; SETTLE_S=310 measures the steady state.
SETTLE_S=${SETTLE_S:-65}
WINDOW_S=15
SPREAD_TARGET_S=9

sample() { # FILE
	local proxy
	for proxy in $PROXIES; do
		echo "$proxy $(now_ms) $(ticks "${PID[$proxy]}") $(rss_kb "${PID[$proxy]}")" \
			"$(metrics "$proxy" bulrushcleat_peer_sent_bytes \
				bulrushcleat_peer_received_bytes bulrushcleat_store_calls_total)"
	done >"$1"
}

store_calls() { ctl GET "http://$PLATFORM/control/counters" | json_field total; }

control_traffic() {
	local calls calls_after begin rate
	sample "$WORK/before"
	calls=$(store_calls)
	begin=$(now_ms)
	sleep $WINDOW_S
	calls_after=$(store_calls)
	rate=$(awk -v c=$((calls_after - calls)) -v ms=$(($(now_ms) - begin)) -v n="$N" 'BEGIN { printf "%.4f", c * 1000 / ms / n }')
	sample "$WORK/after"
	# Each line has a proxy's bytes/s in both directions, percent of a core, and memory in KB.
	join "$WORK/before" "$WORK/after" | awk -v hz="$HZ" '{
		s = ($8 - $2) / 1000
		print ($11 + $12 - $5 - $6) / s, ($9 - $3) / hz / s * 100, $10 }' >"$WORK/rates"
	awk -v calls="$rate" -v n="$N" '{
		b += $1; c += $2; r += $3
		if ($1 > mb) mb = $1; if ($2 > mc) mc = $2; if ($3 > mr) mr = $3 }
		END { printf "%d %.0f %.0f %.3f %.3f %.0f %.0f %s\n", n, b / NR, mb, c / NR, mc, r / NR, mr, calls }' \
		"$WORK/rates" >"$WORK/fleet"
	read -r _ b mb c mc r mr rate <"$WORK/fleet"
	emit "fleet" nodes "$N" peer_bytes_s "$b" peer_bytes_s_max "$mb" core_percent "$c" \
		core_percent_max "$mc" rss_kb "$r" rss_kb_max "$mr" store_calls_s_per_node "$rate"
	bound "fleet.$N.core_percent_max" "$mc" max 1.2
	bound "fleet.$N.rss_kb_max" "$mr" max $((256 * 1024))
	bound "fleet.$N.peer_bytes_s_max" "$mb" max 26000
}

# Measures the bytes of a probe's answer with its headers, which are not part of the proxies' own
# counters.
probe_answer() {
	local address=${ADDRESS[${ENDPOINTS## * }]}
	[ "$N" -eq 9 ] || return 0
	emit "probe.answer_bytes" databases 3 bytes "$(curl -si "http://$address/v1/status" | wc -c)"
}

# Prints the time of day at which the last proxy logged the revision; fails if one has not yet.
adopted_at() { # REVISION
	local proxy time newest=0
	for proxy in $PROXIES; do
		time=$(grep -E "\"config_in_force\".*\"revision\": ?$1\\b" "$WORK/$proxy.log" | head -1 |
			sed -E 's/.*T([0-9]+):([0-9]+):([0-9.]+)Z.*/\1 \2 \3/' |
			awk '{ print $1 * 3600 + $2 * 60 + $3 }')
		[ -n "$time" ] || return 1
		newest=$(awk -v a="$newest" -v b="$time" 'BEGIN { print (a > b) ? a : b }')
	done
	echo "$newest"
}

# spread NAME REVISION: applies a new revision and measures the time until every proxy has it.
spread() {
	local begin accepted newest seconds
	begin=$(day_s)
	lists_apply "s/connections: 12/connections: $((12 + $2))/" >"$WORK/apply.out" 2>&1 ||
		fail "config apply: $(cat "$WORK/apply.out")"
	accepted=$(day_s)
	wait_for 20 adopted_at "$2"
	newest=$(adopted_at "$2")
	seconds=$(awk -v a="$accepted" -v b="$newest" 'BEGIN { if (b != "") printf "%.3f", b - a }')
	emit "spread" nodes "$N" store "\"$1\"" seconds_after_accepted "$seconds" \
		seconds_after_command "$(awk -v a="$begin" -v b="$newest" 'BEGIN { if (b != "") printf "%.3f", b - a }')"
	bound "spread.$N.$1.seconds" "$seconds" max $SPREAD_TARGET_S
}

# Cuts all proxies of the first failure domain off from the store, including those that watch it.
cut_domain() {
	local proxy ids=""
	for proxy in $PROXIES; do
		[ "${proxy%-*}" = orange-barn ] && ids="$ids\"$proxy\","
	done
	platform_control "{\"cut\":[${ids%,}]}"
}

site_start quabbin $((N / 3))
[ "$FAILURES" -eq 0 ] || bench_end
sleep "$SETTLE_S"
control_traffic
probe_answer
spread healthy 2
platform_control '{"mode":"slow","delay_ms":2000}'
spread slow 3
platform_control '{"mode":"up"}'
cut_domain
sleep 1
spread cut 4
bench_end
