#!/usr/bin/env bash
# Checks properties P1, P2, P5 and P6 when a primary fails: it is killed, frozen, cut off, or leaves
# as planned, under load with sessions that move between proxies and writes with idempotency keys.
# Guards against acknowledged writes that are lost, writes applied twice, reads that return older
# data than before, and a gap of more than 13 s until writes succeed again.
# FAILOVER="SITE DATABASE CUSTOMER" chooses another site, LINKS=1 adds its latencies.
set -u
cd "$(dirname "$0")/.."

GAP_TARGET_MS=13000
WAKE_AFTER_S=3

crash() { kill_process "$1"; }
crash_end() { start_endpoint "$1"; }
freeze() { signal "$1" STOP; }
freeze_end() { signal "$1" CONT; }
cut_off() { isolate "$1"; }
cut_off_end() { rejoin; }
leave() { platform_vm "$1" leaving; }
leave_end() { platform_vm "$1" live; }

run_case() { # NAME SITE DATABASE CUSTOMER
	. tests/lib.sh
	DATABASE=$3 CUSTOMER=$4
	site_start "$2" 1
	load_start 9 --setup --rate 150 --sessions 15 --read-percent 60 --keyed-percent 60 --roam \
		--timeout-ms 5000
	sleep 2.5
	local old new
	old=$(primary_of "$DATABASE")
	"$1" "$old"
	sleep $WAKE_AFTER_S
	new=$(primary_of "$DATABASE")
	[ -n "$new" ] && [ "$new" != "$old" ] || fail "$1: the primary is still $old"
	"${1}_end" "$old"
	load_wait
	expect_at_most "$1: the gap without writes in ms" "$(load_field write_gap_ms)" $GAP_TARGET_MS
	say "$1 on $2: $old replaced by $new, gap $(load_field write_gap_ms) ms, replica share" \
		"$(load_field replica_share)"
	verdict
}

broken=0
for name in crash freeze cut_off leave; do
	# shellcheck disable=SC2086
	(run_case "$name" ${FAILOVER:-quabbin jobs shop-front}) || broken=$((broken + 1))
done
[ $broken -eq 0 ]
