#!/usr/bin/env bash
# Guards against connections of callers that bulrushcleatd closes without a reply to their request:
# by a hangup of its terminal.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

# send PROXY DESCRIPTOR REQUEST_ID: opens a connection and sends a write on it.
send() {
	local body="{\"sql\":\"INSERT INTO t VALUES('$3')\",\"timeout_ms\":4000,\"kind\":\"write\"}"
	eval "exec $2<>/dev/tcp/${ADDRESS[$1]/://}"
	printf 'POST /v1/databases/jobs/statements HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s' \
		"$CREDENTIAL" "$3" "${#body}" "$body" >&"$2"
}

# receive DESCRIPTOR FILE: reads to the end of the connection, for at most 3 s.
receive() {
	timeout 3 cat <&"$1" | tr -d '\r' >"$2"
	return "${PIPESTATUS[0]}"
}

site_start quabbin 1
read -r P1 P2 _ <<<"$PROXIES"
CREDENTIAL=$(credential shop-front)
answer=$(statement "$P1" "$CREDENTIAL" "" jobs '{"sql":"CREATE TABLE t(x TEXT)","kind":"write"}')
[[ $answer == 200* ]] || fail "setup: $answer"
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"answer_delay_ms":200}'; done

say "a hangup while a write is at work"
send "$P1" 5 hangup
sleep 0.1
signal "$P1" HUP
receive 5 "$WORK/hangup"
exec 5>&-
grep -q '"request":"hangup","outcome":"ran"' "$WORK/hangup" ||
	fail "no reply after SIGHUP: $(cat "$WORK/hangup")"
gone "$P1" && fail "SIGHUP ended $P1"
grep -q '"event":"hangup_ignored"' "$WORK/$P1.log" || fail "no log line for SIGHUP"
verdict
