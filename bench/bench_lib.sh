# shellcheck shell=bash
# Functions shared by the benchmark scripts: results as JSON lines, bounds, and resource usage of
# processes. To be sourced after lib.sh.

BENCH_OUT=${BENCH_OUT:-$BUILD/bench.jsonl}
HZ=$(getconf CLK_TCK)

# emit NAME FIELD VALUE...: writes a JSON line to the results; values are numbers or JSON.
emit() {
	local line="{\"bench\":\"$1\""
	shift
	while [ $# -gt 1 ]; do
		line="$line,\"$1\":${2:-null}"
		shift 2
	done
	printf '%s}\n' "$line" >>"$BENCH_OUT"
}

# bound NAME VALUE max|min LIMIT: checks a value against its target. If it misses it, bench.sh exits
# with 1.
bound() {
	local ok
	ok=$(awk -v v="$2" -v k="$3" -v l="$4" 'BEGIN {
		good = v != "" && (k == "max" ? v + 0 <= l + 0 : v + 0 >= l + 0)
		print good ? "true" : "false" }')
	emit "$1" value "$2" "$3" "$4" ok "$ok"
	printf '  %-44s %12s  %s %s  %s\n' "$1" "${2:-none}" "$3" "$4" \
		"$([ "$ok" = true ] && echo ok || echo BROKEN)"
}

row() { printf "  $1\n" "${@:2}"; }

# ticks PID, rss_kb PID: print the processor ticks (user and system) and the resident memory.
ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# per_op_us TICKS_BEFORE TICKS_AFTER OPERATIONS: prints the processor time for each operation in us.
per_op_us() { awk -v a="$1" -v b="$2" -v n="$3" -v hz="$HZ" 'BEGIN { printf "%.1f", n ? (b - a) / hz * 1e6 / n : 0 }'; }

# metrics PROXY NAME...: prints the values of metrics without labels, in the order of the names.
metrics() {
	local proxy=$1 name page
	shift
	page=$(ctl GET "http://${ADDRESS[$proxy]}/metrics")
	for name in "$@"; do
		awk -v n="$name" '$1 == n { v = $2 } END { printf "%.0f ", v }' <<<"$page"
	done
}

# fit: fits a line by least squares to the lines "X Y" of stdin and prints "SLOPE CONSTANT".
fit() {
	awk '{ n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
		END { d = n * xx - x * x; if (n < 2 || d == 0) { print "0 0"; exit }
			s = (n * xy - x * y) / d; printf "%.6g %.6g", s, (y - s * x) / n }'
}

median() { sort -g | awk '{ v[NR] = $1 } END { if (NR) print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2 }'; }
worst() { sort -g | tail -1; }

# Prints the time of day in UTC in seconds, to be compared with the time stamps of the log.
day_s() { awk -v t="$(date -u +%s.%N)" 'BEGIN { printf "%.4f", t % 86400 }'; }

# lists_apply SED_SCRIPT: applies the example's plans, edited by the sed script, and its customers.
lists_apply() {
	sed -E "$1" "$ROOT/examples/$SITE/plans.yaml" >"$WORK/plans.yaml"
	"$BUILD/bulrushcleat" config apply "$WORK/plans.yaml" "$ROOT/examples/$SITE/customers.yaml" \
		--platform "$PLATFORM"
}

# bench_end: ends a section, with 1 if a step failed. Exceeded bounds do not count here; bench.sh
# counts them from the results.
bench_end() {
	[ "$FAILURES" -eq 0 ] && exit 0
	emit "section.failed" ok false
	exit 1
}
