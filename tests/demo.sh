#!/usr/bin/env bash
# Demonstrates the main functions end to end with separate processes: writes, replica reads,
# sessions that move between proxies, a primary that is killed and replaced under load, and a
# configuration change that takes effect. Exits with 0 only if every check passed.
. "$(dirname "$0")/lib.sh"

field() { json_field "$1" <"$WORK/load.json"; }

statement() { # PROXY SESSION_TOKEN BODY
	ctl -s -t 8000 -H "Authorization:Bearer $CREDENTIAL" -H "Session-Token:$2" POST \
		"http://${ADDRESS[$1]}/v1/databases/jobs/statements" "$3"
}

site_start quabbin 1
say "site quabbin: 1 platform, 3 endpoints, $(wc -w <<<"$PROXIES") proxies, as separate processes"
set -- $PROXIES
CREDENTIAL=$(credential shop-front)
ctl GET "http://${ADDRESS[$1]}/v1/status" >"$WORK/status.json" || fail "no status page"

# shellcheck disable=SC2046
"$BUILD/bc-load" $(proxy_list) --database jobs --customer shop-front \
	--key "1:$WORK/keys/session-1.key" --setup --rate 200 --sessions 20 --read-percent 70 \
	--keyed-percent 100 --roam --seed "$SEED" --duration-s 12 --timeout-ms 8000 \
	--history "$WORK/history.jsonl" --json >"$WORK/load.json" 2>"$WORK/load.log" &
LOAD=$!
sleep 4
OLD=$(primary_of jobs)
say "killing the primary of jobs, $OLD, under load"
kill_process "$OLD"
wait_for 13 sh -c "[ -n '$OLD' ]"
END=$(($(now_ms) + 13000))
while NEW=$(primary_of jobs) && [ "$NEW" = "$OLD" ] && [ "$(now_ms)" -lt $END ]; do sleep 0.05; done
[ "$NEW" != "$OLD" ] || fail "no promotion within 13 s"
say "promoted $NEW"

sed 's/connections: 12/connections: 14/' "$ROOT/examples/quabbin/plans.yaml" >"$WORK/plans.yaml"
BEGIN=$(now_ms)
"$BUILD/bulrushcleat" config apply "$WORK/plans.yaml" "$ROOT/examples/quabbin/customers.yaml" \
	--platform "$PLATFORM" >"$WORK/apply2.out" || fail "config apply: $(cat "$WORK/apply2.out")"
in_force_everywhere() {
	local proxy
	for proxy in $PROXIES; do
		ctl GET "http://${ADDRESS[$proxy]}/v1/status" | grep -qE '"config_revision": ?2' || return 1
	done
}
wait_for 9 in_force_everywhere || fail "revision 2 is not in force everywhere within 9 s"
say "configuration revision 2 in force on every proxy after $(($(now_ms) - BEGIN)) ms"
start_endpoint "$OLD"
wait $LOAD || fail "the load tool failed: $(tail -3 "$WORK/load.log")"
say "load: $(cat "$WORK/load.json")"
"$BUILD/bc-check" --endpoint "${ADDRESS[$NEW]}" --database jobs "$WORK/history.jsonl" \
	>"$WORK/check.out" 2>&1 || fail "history: $(cat "$WORK/check.out")"
say "history: $(tail -1 "$WORK/check.out")"
verdict
