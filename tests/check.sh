#!/usr/bin/env bash
# Runs every test: unit and property tests, the same with the sanitizers, then the system tests with
# real processes. The last line is 'N passed, N failed'. SEED=N chooses another random seed.
# Failures of tests listed in KNOWN-RED.txt are printed, but do not change the exit code.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build/release}
SEED=${SEED:-1}
export RC_PARAMS="seed=$SEED max_success=${RUNS:-200}"
export BC_SEED=$SEED
passed=0
failed=0

report() { # name, exit code, log file
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok   $1"
		return
	fi
	if grep -qE "^test: $1\$" KNOWN-RED.txt 2>/dev/null; then
		echo "red  $1 (listed in KNOWN-RED.txt)"
		tail -n 20 "$3"
		return
	fi
	failed=$((failed + 1))
	echo "FAIL $1"
	tail -n 40 "$3"
}

run() { # name, command...
	local name=$1 log rc=0
	shift
	log=$(mktemp)
	timeout 300 "$@" >"$log" 2>&1 || rc=$?
	report "$name" "$rc" "$log"
	rm -f "$log"
}

make --no-print-directory -j8 programs tests >/tmp/bc-build.$$ 2>&1 || {
	cat /tmp/bc-build.$$
	rm -f /tmp/bc-build.$$
	echo "0 passed, 1 failed"
	exit 1
}
SAN_FLAGS="-fsanitize=address,undefined -fno-sanitize-recover=undefined"
make --no-print-directory -j8 BUILD=build/asan SAN="$SAN_FLAGS" programs tests >/tmp/bc-build.$$ 2>&1 || {
	cat /tmp/bc-build.$$
	rm -f /tmp/bc-build.$$
	echo "0 passed, 1 failed"
	exit 1
}
rm -f /tmp/bc-build.$$
for build in "$BUILD" build/asan; do
	kind=$(basename "$build")
	while IFS= read -r t; do
		run "$kind/$(basename "$t")" "$t"
	done < <(find "$build" -type f -name '*_test' | sort)
done
for t in tests/*_test.sh; do
	[ -e "$t" ] || continue
	run "system/$(basename "$t" .sh)" env BUILD="$BUILD" bash "$t"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
