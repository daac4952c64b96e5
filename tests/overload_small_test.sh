#!/usr/bin/env bash
# Guards against callers that use up the budget with parts of short messages, each too small to be
# closed for its size, and so keep the proxy from reading its other callers.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 83)
entry_start
session proxy-1 labels >"$WORK/answer"
expect "a session before the crowd" "^READY" "$(cat "$WORK/answer")"
say "650 callers that stop within a message of 12,000 bytes"
"$BUILD/overload-client" -n 650 -s 12 -p $'STARTUP labels test\r\nQUERY q READ 7' -f 12000 -b 1000 -w 150 \
	"${CALLERS[proxy-1]}" 7200 >"$WORK/crowd.log" 2>&1 &
client=$!
sleep 6
say "$(curl -s "http://${CALLERS[proxy-1]}:7203/metrics" | grep -E '^bulrushcleat_(budget_held|callers_closed)')"
started_ms=$(date +%s%3N)
for i in 1 2 3; do
	expect "read $i meanwhile" '^COMPLETE|^DATAROW|over_limit' "$(query "r$i" 'READ other')"
done
say "  answers after $(($(date +%s%3N) - started_ms)) ms"
exec 3>&-
wait "$client"
say "  $(tr '\n' ' ' <"$WORK/crowd.log")"
served_after proxy-1
verdict
