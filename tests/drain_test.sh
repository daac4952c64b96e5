#!/usr/bin/env bash
# Guards against requests that are cut off by the planned stop of a proxy: new sessions and their
# requests while it drains, with no other proxy to go to, answers that are partly sent, and requests
# that cross the closing of their session.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=$(net 43)
STORE=$NET.0.1:7000
GRACE_S=8
READERS=4
# Two answers of 3.2 MB take 6.4 s at this rate, longer than a draining proxy keeps idle sessions
# open (2.5 s) and shorter than the drain. The kernel takes about 2.8 MB of them.
BULK_ROWS=32
READER_READS=2
READER_KBIT=8000

# caller N: opens a session for each request until the proxy is gone. Prints how each ended:
# "answered", "refused" (with a promise), "no connection", or "cut off" after its request was sent.
caller() {
	local i line
	for i in $(seq 1 10000); do
		exec 3<>"/dev/tcp/${CALLERS[proxy-1]}/7200" || break
		printf 'STARTUP orders test\r\n' >&3
		line=""
		read -r -t 3 line <&3
		case $line in
		READY*) request "caller-$1-$i" <&3 >&3 ;;
		ERROR\ RETRY*) echo refused ;;
		*) echo "no connection" ;;
		esac
		exec 3>&-
	done 2>/dev/null
}

request() { # ID: sends a write on descriptor 3
	local answer
	answer=$(query "$1" "WRITE $1 x")
	case $answer in
	*READY\ I*) [[ $answer == COMPLETE* ]] && echo answered >&4 || echo "refused ${answer%%|*}" >&4 ;;
	*) echo "cut off '$answer'" >&4 ;;
	esac
}

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
sleep 0.3
settings proxy-1 1
sed -i "s/^grace_s:.*/grace_s: \"$GRACE_S\"/" "$WORK/proxy-1.yaml"
spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
ready proxy-1

# Its transaction pauses, so that the drain goes on until its timeout.
session proxy-1 orders >"$WORK/answer"
query b1 BEGIN >"$WORK/answer"
expect "a paused transaction" '^COMPLETE' "$(query b2 'WRITE paused 1')"
exec 5<&3
# An idle session, whose next request will cross the closing.
session proxy-1 orders >"$WORK/answer"
exec 6<&3
# Another one, which sends STARTUP again after the announcement.
session proxy-1 orders >"$WORK/answer"
exec 7<&3
say "a stop under load, without another proxy"
for n in $(seq 1 $READERS); do
	"$BUILD/bc-reader" "${CALLERS[proxy-1]}" 7200 labels "bulk-$BULK_ROWS" \
		$READER_READS $READER_KBIT \
		>"$WORK/reader-$n.out" 2>&1 &
	# At once, the reads of 3.2 MB take longer than their route allows on a busy machine.
	sleep 0.2
done
for n in 1 2 3 4; do
	caller "$n" 4>>"$WORK/caller-$n.out" >>"$WORK/caller-$n.out" &
done
sleep 0.2
signal proxy-1 TERM
read -r -t 4 line <&6
expect "an announced close" '^ERROR RETRY shutting_down, not run' "$line"
expect "a request that crosses it" '^READY I -.$' "$(printf 'QUERY late WRITE late 1\r\n' >&6; head -n 1 <&6)"
read -r -t 4 line <&7
expect "a second STARTUP" '^ERROR' "$(printf 'STARTUP orders test\r\n' >&7; head -n 1 <&7)"
read -r -t 10 line <&5
expect "a transaction at the end" '^ERROR ABORTED shutting_down, transaction rolled back' "$line"
wait_for $GRACE_S gone proxy-1 || fail "proxy-1 has not ended"
wait
cat "$WORK"/caller-*.out | sed "s/ '.*//" | sort | uniq -c
cat "$WORK"/caller-*.out >"$WORK/requests"
grep -m 3 "cut off" "$WORK/requests" && fail "requests were cut off"
[ "$(grep -c answered "$WORK/requests")" -gt 50 ] || fail "too few requests"
for n in $(seq 1 $READERS); do
	say "  reader: $(cat "$WORK/reader-$n.out")"
	# A read that its route's timeout has answered is not cut off.
	grep -q '^complete' "$WORK/reader-$n.out" &&
		grep -q '"id":"reader-[01]".*"outcome":"timed_out"' "$WORK/proxy-1.out" && continue
	expect "a partly sent answer" '^complete 6400[0-9]{3}$' "$(cat "$WORK/reader-$n.out")"
done
verdict
