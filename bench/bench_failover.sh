#!/usr/bin/env bash
# Measures the failover gap: the longest time without a successful write, under load, when the
# primary of one database is killed, frozen, or leaves as planned.
SITE_NET=${SITE_NET:-41}
. "$(dirname "$0")/../tests/lib.sh"
. "$(dirname "$0")/bench_lib.sh"

TARGET_MS=13000

crash() { kill_process "$1"; }
crash_end() { start_endpoint "$1"; }
freeze() { signal "$1" STOP; }
freeze_end() { signal "$1" CONT; }
leave() { platform_vm "$1" leaving; }
leave_end() { platform_vm "$1" live; }

in_step() { # ENDPOINT: whether it runs as a replica and jobs has another primary
	ctl GET "http://${ADDRESS[$1]}/v1/status" | grep -qE '"role": ?"replica"' || return 1
	[ "$(primary_of jobs)" != "$1" ]
}

# The load has as many sessions as operations in 4 s, so that sessions that wait for a lost answer
# do not keep the others from writing.
once() { # KIND
	local old gap
	# shellcheck disable=SC2046
	"$BUILD/bc-load" $(proxy_list) --database jobs --customer shop-front \
		--key "1:$WORK/keys/session-1.key" --rate 150 --sessions 600 --read-percent 20 \
		--keyed-percent 100 --transaction-percent 0 --roam --duration-s 7 --timeout-ms 5000 \
		--json >"$WORK/load.json" 2>"$WORK/load.log" &
	local load=$!
	sleep 1.5
	old=$(primary_of jobs)
	"$1" "$old"
	sleep 4
	[ "$(primary_of jobs)" != "$old" ] || say "  $1: the primary is still $old after 4 s"
	"${1}_end" "$old"
	wait $load
	gap=$(json_field write_gap_ms <"$WORK/load.json" | cut -d. -f1)
	echo "$gap" >>"$WORK/gap-$1"
	emit "failover.run" kind "\"$1\"" gap_ms "$gap" \
		outcomes "$(jq -c .outcomes.write "$WORK/load.json" 2>/dev/null)"
	wait_for 5 in_step "$old"
	sleep 1
}

gaps() { # KIND COUNT
	local i
	for ((i = 0; i < $2; i++)); do once "$1"; done
	row '%-8s n=%s median %s ms, worst %s ms' "$1" "$2" "$(median <"$WORK/gap-$1")" "$(worst <"$WORK/gap-$1")"
	emit "failover.$1" runs "$2" median_ms "$(median <"$WORK/gap-$1")" worst_ms "$(worst <"$WORK/gap-$1")"
	bound "failover.$1.worst_ms" "$(worst <"$WORK/gap-$1")" max $TARGET_MS
}

site_start quabbin 1
lists_apply 's/connections: .*/connections: 16/' >"$WORK/apply.out" 2>&1 ||
	fail "config apply: $(cat "$WORK/apply.out")"
# shellcheck disable=SC2046
"$BUILD/bc-load" $(proxy_list) --database jobs --customer shop-front \
	--key "1:$WORK/keys/session-1.key" --setup --rate 50 --duration-s 1 --json \
	>"$WORK/setup.json" 2>"$WORK/load.log" || fail "setup: $(tail -1 "$WORK/load.log")"
[ "$FAILURES" -eq 0 ] || bench_end
say "failover gap under 150 operations/s, 80 % writes with keys"
gaps crash 5
gaps freeze 3
gaps leave 4
bench_end
