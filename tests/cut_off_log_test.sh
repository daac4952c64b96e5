#!/usr/bin/env bash
# Guards against an answer that the end of a drain cuts off while no line of the log names its
# statement: the caller reads too slowly for the grace period.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 52)
STORE=$NET.0.1:7000
GRACE_S=4
# An answer of 6.4 MB takes 13 s at this rate. The kernel takes about 2.8 MB of it.
SLOW_KBIT=4000

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
sleep 0.3
settings proxy-1 1
sed -i "s/^grace_s:.*/grace_s: \"$GRACE_S\"/" "$WORK/proxy-1.yaml"
spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
ready proxy-1
say "a stop while an answer is read slowly"
# On a busy machine the read may reach the route's timeout, which is answered.
for n in 1 2 3 4 5; do
	spawn "reader-$n" "$BUILD/bc-reader" "${CALLERS[proxy-1]}" 7200 labels bulk-64 1 $SLOW_KBIT
	wait_for 3 grep -q '"event":"statement".*"id":"reader-0".*"outcome":"ok"' "$WORK/proxy-1.out" &&
		break
done
signal proxy-1 TERM
wait_for $((GRACE_S + 1)) gone proxy-1 || fail "proxy-1 has not ended"
grep -q '"answers_unsent"' "$WORK/proxy-1.out" || fail "the answer was sent to its end"
expect "the cut off answer" '"id":"reader-0","reason":"stopped"' \
	"$(grep '"answer_cut_off"' "$WORK/proxy-1.out")"
verdict
