#!/usr/bin/env bash
# Checks property P10, a customer's connection limit across all proxies. Guards against shares that
# add up to more than the plan allows while a proxy is killed and the limit is lowered, and against
# idle proxies that keep shares which a loaded proxy needs.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

CUSTOMER=night-reports
LIMIT=4
MOVE_TARGET_S=20

# Prints the sum over all rows of the customer's object, which is read from the store in one call.
sum_of_rows() {
	ctl GET "http://$PLATFORM/v1/objects/shares/$CUSTOMER" 2>/dev/null |
		grep -oE '"(base|extra)": ?[0-9]+' | grep -oE '[0-9]+$' | awk '{ s += $1 } END { print s + 0 }'
}

share_of() {
	ctl GET "http://${ADDRESS[$1]}/v1/status" | grep -oE "\"$CUSTOMER\": ?\{[^}]*\}" |
		json_field share
}

watch_rows() { # SECONDS BOUND
	local end=$(($(now_ms) + $1 * 1000)) sum
	while [ "$(now_ms)" -lt $end ]; do
		sum=$(sum_of_rows)
		[ "${sum:-0}" -le "$2" ] || fail "the rows add up to $sum, the plan allows $2"
		sleep 0.1
	done
}

loaded_has() { [ "$(share_of "$1")" -ge "$2" ]; }

load_on() { # PROXY SECONDS HISTORY
	"$BUILD/bc-load" --proxy "${ADDRESS[$1]}" --database jobs --customer $CUSTOMER \
		--key "1:$WORK/keys/session-1.key" --seed "$SEED" --duration-s "$2" --rate 100 \
		--sessions 40 --read-percent 100 --timeout-ms 2000 --history "$WORK/$3" --json \
		>"$WORK/$3.json" 2>"$WORK/$3.log" &
	LOAD=$!
}

site_start quabbin 1
read -r P1 P2 P3 <<<"$PROXIES"
DATABASE=jobs CUSTOMER=shop-front load_start 1 --setup --rate 20 --sessions 2 --read-percent 50
wait "$LOAD"
CUSTOMER=night-reports
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"answer_delay_ms":150}'; done

# All three proxies have load first; later only one of them does.
load_on "$P2" 3 p2.jsonl
load_on "$P3" 3 p3.jsonl
load_on "$P1" 40 p1.jsonl
watch_rows 4 $LIMIT
wait_for $MOVE_TARGET_S loaded_has "$P1" $LIMIT ||
	fail "$P1 has a share of $(share_of "$P1") of $LIMIT while the others are idle"
say "the loaded proxy has the whole share of $LIMIT"
watch_rows 1 $LIMIT

sed '/name: reports/,/connections/s/connections: 4/connections: 2/' \
	"$ROOT/examples/quabbin/plans.yaml" >"$WORK/plans.yaml"
"$BUILD/bulrushcleat" config apply "$WORK/plans.yaml" "$ROOT/examples/quabbin/customers.yaml" \
	--platform "$PLATFORM" >/dev/null || fail "config apply failed"
lowered() { [ "$(sum_of_rows)" -le 2 ] && [ "$(share_of "$P1")" -le 2 ]; }
wait_for 9 lowered || fail "9 s after the plan was lowered to 2 the rows add up to $(sum_of_rows)"
say "lowered to 2"

kill_process "$P1"
kill "$LOAD" 2>/dev/null
wait "$LOAD" 2>/dev/null
ctl POST "http://$PLATFORM/control/vm" "{\"id\":\"$P1\",\"remove\":true}" >/dev/null
load_on "$P2" 25 again.jsonl
watch_rows 2 2
wait_for $MOVE_TARGET_S loaded_has "$P2" 2 ||
	fail "$P2 has a share of $(share_of "$P2") of 2 after $P1 was removed"
watch_rows 1 2
say "the share of a removed proxy has moved"
verdict
