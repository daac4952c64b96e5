#!/usr/bin/env bash
# Guards against connections of callers that bulrushcleatd closes without a reply to their request:
# by a hangup of its terminal, and at the end of a drain, when callers hold a connection of which no
# reply has said that it will close. Also against a caller that gets no reply without a log line.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

# post DESCRIPTOR REQUEST_ID PATH BODY: sends a request on an open connection.
post() {
	# A closed connection must not end the script before it has said what failed.
	(
		trap '' PIPE
		printf 'POST /v1/databases/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s' \
			"$3" "$CREDENTIAL" "$2" "${#4}" "$4" >&"$1"
	) || fail "$2: the connection was closed before the request"
}

# write DESCRIPTOR REQUEST_ID: sends a write on an open connection.
write() { post "$1" "$2" jobs/statements "{\"sql\":\"INSERT INTO t VALUES('$2')\",\"kind\":\"write\"}"; }

# receive_one DESCRIPTOR: prints one reply, and leaves the connection open.
receive_one() {
	local line length=0
	while IFS= read -r -t 5 line <&"$1" && [ "$line" != $'\r' ]; do
		printf '%s\n' "${line%$'\r'}"
		[[ $line != Content-Length:* ]] || length=${line//[^0-9]/}
	done
	IFS= read -r -t 5 -N "$length" line <&"$1"
	printf '\n%s' "$line"
}

# expect_last_reply DESCRIPTOR REQUEST_ID OUTCOME: the connection has one whole reply, which
# announces its close, and is closed.
expect_last_reply() {
	local reply=$WORK/$2 length
	timeout 3 cat <&"$1" >"$reply.raw" || fail "$2: the connection stays open after the reply"
	tr -d '\r' <"$reply.raw" >"$reply"
	length=$(sed -nE 's/^Content-Length: //p' "$reply")
	grep -qi '^Connection: close$' "$reply" || fail "$2: the close is not announced"
	[ "$(sed '1,/^$/d' "$reply" | wc -c)" = "$length" ] || fail "$2: the reply is not whole"
	grep -q "\"request\":\"$2\",\"outcome\":\"$3\"" "$reply" || fail "$2: $(cat "$reply")"
}

site_start quabbin 1
read -r P1 P2 _ <<<"$PROXIES"
CREDENTIAL=$(credential shop-front)
answer=$(statement "$P1" "$CREDENTIAL" "" jobs '{"sql":"CREATE TABLE t(x TEXT)","kind":"write"}')
[[ $answer == 200* ]] || fail "setup: $answer"

say "a hangup while a write is at work"
exec 5<>"/dev/tcp/${ADDRESS[$P1]/://}"
write 5 hangup
signal "$P1" HUP
receive_one 5 >"$WORK/hangup"
exec 5>&-
grep -q '"request":"hangup","outcome":"ran"' "$WORK/hangup" ||
	fail "no reply after SIGHUP: $(cat "$WORK/hangup")"
gone "$P1" && fail "SIGHUP ended $P1"
wait_for 2 grep -q '"event":"hangup_ignored"' "$WORK/$P1.log" || fail "no log line for SIGHUP"

say "a drain, which an open transaction prolongs, while callers use their connections again"
exec 5<>"/dev/tcp/${ADDRESS[$P2]/://}" 6<>"/dev/tcp/${ADDRESS[$P2]/://}"
write 6 before
receive_one 6 >"$WORK/before"
grep -q '"outcome":"ran"' "$WORK/before" || fail "setup: $(cat "$WORK/before")"
grep -qi '^Connection: close' "$WORK/before" && fail "a reply before the drain ends its connection"
post 5 begin shipping/transactions '{}'
transaction=shipping/transactions/$(receive_one 5 | json_field transaction)
post 5 select "$transaction/statements" '{"sql":"SELECT 1"}'
receive_one 5 >"$WORK/select"
grep -q '"outcome":"ran"' "$WORK/select" || fail "setup: $(cat "$WORK/select")"
signal "$P2" TERM
wait_for 3 grep -q '"phase":"draining"' "$WORK/$P2.log" || fail "$P2 does not drain"
write 6 again
expect_last_reply 6 again not_run
gone "$P2" && fail "$P2 ended before its transaction"
post 5 commit "$transaction/commit" '{}'
expect_last_reply 5 commit ran
exec 5>&- 6>&-
wait_for 10 gone "$P2" || fail "$P2 did not end within 10 s"
grep -q '"event":"stopped","fields":{"cut_off":0}' "$WORK/$P2.log" || fail "the drain cut off requests"

say "callers that close while their statements are at work: one resets its connection"
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"answer_delay_ms":20000}'; done
slow='{"sql":"INSERT INTO t VALUES(1)","timeout_ms":1500,"kind":"write"}'
exec 5<>"/dev/tcp/${ADDRESS[$P1]/://}" 6<>"/dev/tcp/${ADDRESS[$P1]/://}"
# Closing with unread input resets a connection.
printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' >&5
post 5 reset jobs/statements "$slow"
post 6 closed jobs/statements "$slow"
sleep 0.5
exec 5>&- 6>&-
unanswered() { grep -qE "\"request_unanswered\",\"fields\":\{\"id\":\"$1\",\"reason\":\"$2\",\"step\":\"$3\"" "$WORK/$P1.log"; }
wait_for 5 unanswered closed closed_by_caller sent || fail "no log line for the closed connection"
wait_for 5 unanswered reset connection_lost waiting || fail "no log line for the reset connection"
grep '"request_unanswered"' "$WORK/$P1.log"
expect_at_least "requests unanswered" "$(ctl GET "http://${ADDRESS[$P1]}/metrics" |
	sed -nE 's/^bulrushcleat_requests_unanswered_total\{.*\} //p' | awk '{ n += $1 } END { print n + 0 }')" 2
verdict
