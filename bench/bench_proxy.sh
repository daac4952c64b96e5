#!/usr/bin/env bash
# Measures one proxy: statements through it compared with statements sent directly to the stand-in
# endpoint, idle connections of callers, and reads served by replicas at several replication delays.
SITE_NET=${SITE_NET:-21}
. "$(dirname "$0")/../tests/lib.sh"
. "$(dirname "$0")/bench_lib.sh"

ROUNDS=3
STATEMENTS_PER_NODE=770
CONNECTIONS_PER_NODE=2120
CONTROL_KB=$((256 * 1024))

# loop KIND WORKERS SECONDS direct|proxy: runs bc-direct once, as a closed loop.
loop() {
	local where="--endpoint ${ADDRESS[$(primary_of jobs)]}"
	[ "$4" = proxy ] && where="--proxy ${ADDRESS[$FIRST]} --credential $CREDENTIAL"
	[ "$1" = write ] && where="$where --write"
	# shellcheck disable=SC2086
	"$BUILD/bc-direct" $where --database jobs --workers "$2" --duration-s "$3" \
		2>>"$WORK/direct.log"
}

statements() {
	local kind workers side round file before after ran
	for ((round = 0; round < ROUNDS; round++)); do
		for kind in read write; do
			for workers in 1 8; do
				for side in direct proxy; do
					file=$WORK/loop-$kind-$workers-$side
					before=$(ticks "${PID[$FIRST]}")
					loop $kind $workers $((workers > 1 ? 2 : 1)) $side >"$file.last" ||
						say "  bc-direct $kind $side: $(cat "$file.last") $(tail -1 "$WORK/direct.log")"
					after=$(ticks "${PID[$FIRST]}")
					ran=$(json_field ran <"$file.last")
					json_field per_s <"$file.last" >>"$file.per_s"
					json_field p50_ms <"$file.last" >>"$file.p50"
					json_field p99_ms <"$file.last" >>"$file.p99"
					per_op_us "$before" "$after" "$ran" >>"$file.cpu"
					echo >>"$file.cpu"
				done
			done
		done
	done
	say "statements: closed loop, median of $ROUNDS rounds"
	row '%-6s %7s %-7s %10s %9s %9s %12s' kind workers side per_s p50_ms p99_ms cpu_us
	for kind in read write; do
		for workers in 1 8; do
			for side in direct proxy; do
				statements_row $kind $workers $side
			done
		done
	done
	added read
	added write
	bound proxy.read_statements_per_s "$(median <"$WORK/loop-read-8-proxy.per_s")" min $STATEMENTS_PER_NODE
	bound proxy.write_statements_per_s "$(median <"$WORK/loop-write-8-proxy.per_s")" min $STATEMENTS_PER_NODE
}

statements_row() {
	local file=$WORK/loop-$1-$2-$3 per_s p50 p99 cpu=null
	per_s=$(median <"$file.per_s") p50=$(median <"$file.p50") p99=$(median <"$file.p99")
	[ "$3" = proxy ] && cpu=$(median <"$file.cpu")
	row '%-6s %7s %-7s %10s %9s %9s %12s' "$1" "$2" "$3" "$per_s" "$p50" "$p99" "$cpu"
	emit "proxy.loop" kind "\"$1\"" workers "$2" side "\"$3\"" per_s "$per_s" p50_ms "$p50" \
		p99_ms "$p99" cpu_us_per_statement "$cpu"
}

# Prints the latency that the proxy adds to statements sent one at a time. For writes it includes
# the round trip that confirms the write on a majority.
added() {
	local value
	value=$(awk -v a="$(median <"$WORK/loop-$1-1-direct.p50")" \
		-v b="$(median <"$WORK/loop-$1-1-proxy.p50")" 'BEGIN { printf "%.3f", b - a }')
	row 'added p50 of a %s: %s ms' "$1" "$value"
	emit "proxy.added_p50_ms" kind "\"$1\"" value "$value"
}

# Runs one proxy at its target rate: open loop, 80 % reads.
target_rate() {
	local before after ran
	before=$(ticks "${PID[$FIRST]}")
	"$BUILD/bc-load" --proxy "${ADDRESS[$FIRST]}" --database jobs --customer shop-front \
		--key "1:$WORK/keys/session-1.key" --rate $STATEMENTS_PER_NODE --sessions 200 \
		--read-percent 80 --transaction-percent 0 --duration-s 8 --json \
		>"$WORK/rate.json" 2>>"$WORK/direct.log"
	after=$(ticks "${PID[$FIRST]}")
	ran=$(grep -oE '"ran": *[0-9]+' "$WORK/rate.json" | awk -F': *' '{ s += $2 } END { print s }')
	say "open loop at $STATEMENTS_PER_NODE statements/s for 8 s, 80 % reads: ran $ran, not started" \
		"$(json_field not_started <"$WORK/rate.json"), cpu $(per_op_us "$before" "$after" "$ran") us each"
	emit "proxy.open_loop" rate $STATEMENTS_PER_NODE ran "$ran" \
		cpu_us_per_statement "$(per_op_us "$before" "$after" "$ran")" \
		summary "$(tr -d '\n' <"$WORK/rate.json")"
	bound proxy.open_loop_share_ran "$(awk -v r="$ran" -v n=$((STATEMENTS_PER_NODE * 8)) 'BEGIN { printf "%.4f", r / n }')" min 0.99
}

replicas() {
	local delay age endpoint share p50 p99
	say "replica reads: share and proven age, 200 operations/s, 70 % reads, 40 sessions"
	row '%14s %12s %8s %10s %10s' apply_delay_ms age_limit share age_p50 age_p99
	for delay in 0 50 500 2000; do
		for endpoint in $ENDPOINTS; do
			endpoint_control "$endpoint" "{\"apply_delay_ms\":$delay}"
		done
		sleep 1
		for age in "" 1000; do
			# shellcheck disable=SC2046,SC2086
			"$BUILD/bc-load" $(proxy_list) --database jobs --customer shop-front \
				--key "1:$WORK/keys/session-1.key" --rate 200 --sessions 40 \
				--read-percent 70 --keyed-percent 0 --transaction-percent 0 \
				${age:+--max-age-ms $age} --duration-s 3 --json >"$WORK/replicas.json" \
				2>>"$WORK/direct.log"
			share=$(json_field replica_share <"$WORK/replicas.json")
			p50=$(jq .replica_age_ms.p50 "$WORK/replicas.json" 2>/dev/null)
			p99=$(jq .replica_age_ms.p99 "$WORK/replicas.json" 2>/dev/null)
			row '%14s %12s %8.3f %10s %10s' $delay "${age:-none}" "${share:-0}" "$p50" "$p99"
			emit "replicas" apply_delay_ms $delay age_limit_ms "${age:-null}" \
				share "${share:-0}" age_p50_ms "$p50" age_p99_ms "$p99"
		done
	done
	for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"apply_delay_ms":0}'; done
}

idle_connections() {
	local n pid=${PID[$FIRST]} before after kb share open
	kb=$(rss_kb "$pid")
	say "idle connections of callers: memory and processor time of the proxy"
	row '%12s %10s %10s' connections rss_kb core_pct
	row '%12s %10s %10s' 0 "$kb" -
	emit "idle" connections 0 rss_kb "$kb"
	bound idle.control_rss_kb "$kb" max $CONTROL_KB
	for n in 100 1000 5000 10000; do
		"$BUILD/bc-hold" --connections "$n" --seconds 7 "${ADDRESS[$FIRST]}" >"$WORK/hold" \
			2>>"$WORK/direct.log" &
		local hold=$!
		wait_for 20 grep -q '^open' "$WORK/hold"
		before=$(ticks "$pid")
		sleep 5
		after=$(ticks "$pid")
		kb=$(rss_kb "$pid")
		wait $hold
		open=$(awk '/^still/ { print $3 }' "$WORK/hold")
		share=$(awk -v t=$((after - before)) -v hz="$HZ" 'BEGIN { printf "%.2f", t / hz / 5 * 100 }')
		row '%12s %10s %10s' "$open" "$kb" "$share"
		emit "idle" connections "$n" still_open "$open" rss_kb "$kb" core_percent "$share"
		echo "$n $kb" >>"$WORK/idle.fit"
		echo "$n $share" >>"$WORK/idle.cpu"
	done
	local slope constant
	read -r slope constant <<<"$(fit <"$WORK/idle.fit")"
	emit "idle.slope" kb_per_connection "$slope" constant_kb "$constant" \
		core_percent_per_connection "$(fit <"$WORK/idle.cpu" | cut -d' ' -f1)"
	row '%s KB a connection; %s KB without' "$slope" "$constant"
	bound idle.rss_kb_at_$CONNECTIONS_PER_NODE \
		"$(awk -v s="$slope" -v c="$constant" -v n=$CONNECTIONS_PER_NODE 'BEGIN { printf "%.0f", c + s * n }')" max $CONTROL_KB
	bound idle.still_open "$open" min 10000
}

site_load quabbin 1
sed -i 's/^max_caller_connections: .*/max_caller_connections: 12000/' "$WORK"/*-[0-9].yaml
site_run
set -- $PROXIES
FIRST=$1
CREDENTIAL=$(credential shop-front)
# Sets the plans' limits on connections and on age so that they do not affect the measurements.
lists_apply 's/connections: .*/connections: 48/; s/max_staleness_ms: .*/max_staleness_ms: 0/' \
	>"$WORK/apply.out" 2>&1 || fail "config apply: $(cat "$WORK/apply.out")"
# shellcheck disable=SC2046
"$BUILD/bc-load" $(proxy_list) --database jobs --customer shop-front \
	--key "1:$WORK/keys/session-1.key" --setup --rate 50 --duration-s 2 --json \
	>"$WORK/setup.json" 2>>"$WORK/direct.log" || fail "setup: $(tail -1 "$WORK/direct.log")"
[ "$FAILURES" -eq 0 ] || bench_end
statements
target_rate
replicas
idle_connections
bench_end
