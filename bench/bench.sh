#!/usr/bin/env bash
# Runs all benchmarks, or those named as arguments: slices (the modules of the library), proxy,
# fleet, failover. Writes the results to $BUILD/bench.jsonl and, as tables, to stdout. Exits with 1
# if a bound is exceeded or a benchmark fails.
set -u
cd "$(dirname "$0")/.." || exit 1
export BUILD=${BUILD:-build/release}
BUILD=$(cd "$BUILD" && pwd)
export BENCH_OUT=$BUILD/bench.jsonl
SECTIONS=${*:-slices fleet proxy failover}
# Sizes of the fleets, which run at the same time; their sum keeps the number of processes below a
# few hundred.
FLEETS=${FLEETS:-3 6 9 18 36 72}
failed=0
: >"$BENCH_OUT"

slices() {
	local program rc=0
	for program in "$BUILD"/bench/*_bench; do
		"$program" 2>&1 >>"$BENCH_OUT" || rc=1
	done
	return $rc
}

# Runs all fleets at the same time, so that they share one wait until they have settled.
fleet() {
	local n net=31 pids=() rc=0
	. bench/bench_lib.sh
	for n in $FLEETS; do
		SITE_NET=$net bench/bench_fleet.sh "$n" >"$BUILD/fleet-$n.out" 2>&1 &
		pids+=($!)
		net=$((net + 1))
	done
	for n in "${pids[@]}"; do wait "$n" || rc=1; done
	for n in $FLEETS; do cat "$BUILD/fleet-$n.out"; done
	say_table
	return $rc
}

column() { # FIELD: prints a line "NODES VALUE" for each fleet
	sed -nE "s/^\{\"bench\":\"fleet\",\"nodes\":([0-9]+).*\"$1\":([0-9.]+).*/\1 \2/p" "$BENCH_OUT"
}

say_table() {
	local field slope constant
	printf '  slopes over %s nodes\n' "$FLEETS"
	for field in peer_bytes_s core_percent rss_kb store_calls_s_per_node; do
		read -r slope constant <<<"$(column $field | fit)"
		printf '  %-24s %12s + %s a node of the fleet\n' $field "$constant" "$slope"
		emit "fleet.slope" field "\"$field\"" per_node "$slope" constant "$constant"
	done
}

proxy() { bench/bench_proxy.sh; }
failover() { bench/bench_failover.sh; }

for section in $SECTIONS; do
	echo "== $section ($(date -u +%T))"
	"$section" || failed=1
done
echo "== bounds ($(date -u +%T), load average $(cut -d' ' -f1-3 /proc/loadavg))"
broken=$(grep -c '"ok":false' "$BENCH_OUT")
echo "$(grep -c '"ok":true' "$BENCH_OUT") bounds hold, $broken are broken; results in $BENCH_OUT"
grep '"ok":false' "$BENCH_OUT"
[ "$broken" -eq 0 ] && [ $failed -eq 0 ]
