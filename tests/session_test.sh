#!/usr/bin/env bash
# Checks property P1 and invalid input: reads of a session's own writes through another proxy while
# replicas lag, tokens that are forged, truncated, issued to another customer or signed by an
# unknown key, and malformed requests. Guards against tokens that let a caller read more than it
# may, and against rejected requests that have an effect.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

site_start quabbin 1
read -r P1 P2 P3 <<<"$PROXIES"
FRONT=$(credential shop-front)
REPORTS=$(credential night-reports)
WRITE='{"sql":"INSERT INTO job(tool) VALUES (?)","params":["hoe"],"kind":"write"}'
COUNT='{"sql":"SELECT count(*) FROM job","kind":"read"}'

token_of() { # arguments as for statement(): prints the Session-Token of the answer
	"$BUILD/bc-ctl" -i -t 15000 -H "Authorization:Bearer $2" ${3:+-H "Session-Token:$3"} POST \
		"http://${ADDRESS[$1]}/v1/databases/$4/statements" "$5" |
		sed -nE 's/^[Ss]ession-[Tt]oken: //p' | tr -d '\r'
}

expect_answer() { # WHAT PATTERN ANSWER
	grep -qE "$2" <<<"$3" || fail "$1: expected $2, got $3"
}

statement "$P1" "$FRONT" "" jobs '{"sql":"CREATE TABLE job(id INTEGER PRIMARY KEY, tool TEXT)","kind":"write"}' >/dev/null
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"apply_delay_ms":800}'; done
TOKEN=""
for i in 1 2 3 4 5; do
	TOKEN=$(token_of "$P1" "$FRONT" "$TOKEN" jobs "$WRITE")
	for proxy in $P2 $P3; do
		expect_answer "read of own write $i on $proxy" "\"rows\":\[\[$i\]\]" \
			"$(statement "$proxy" "$FRONT" "$TOKEN" jobs "$COUNT")"
	done
done
expect_answer "a read without a token may be old" '"outcome":"ran"' \
	"$(statement "$P2" "$FRONT" "" jobs "$COUNT")"
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"apply_delay_ms":0}'; done

# Changes a character inside the token, since the last one of base64 can carry unused bits.
FORGED="${TOKEN:0:20}$([ "${TOKEN:20:1}" = A ] && echo B || echo A)${TOKEN:21}"
while IFS='|' read -r what credential token; do
	expect_answer "$what" '^401 .*"outcome":"not_run"' \
		"$(statement "$P2" "$credential" "$token" jobs "$COUNT")"
done <<CASES
forged token|$FRONT|$FORGED
truncated token|$FRONT|${TOKEN:0:40}
garbage token|$FRONT|%%%
token of another customer|$REPORTS|$TOKEN
forged credential|${FRONT}x|$TOKEN
credential of an unknown customer|nobody.AAAA|
no credential||
CASES

BIG=$(head -c 1100000 /dev/zero | tr '\0' 'x')
printf '{"sql":"SELECT 1 -- %s","kind":"read"}' "$BIG" >"$WORK/big.json"
while IFS='|' read -r what status body; do
	expect_answer "$what" "^$status .*\"outcome\":\"not_run\"" \
		"$(statement "$P1" "$FRONT" "" jobs "$body")"
done <<'CASES'
not JSON|400|{"sql":
not an object|400|[1]
no sql|400|{"kind":"read"}
empty sql|400|{"sql":"","kind":"read"}
unknown kind|400|{"sql":"SELECT 1","kind":"both"}
params not an array|400|{"sql":"SELECT 1","kind":"read","params":{}}
negative age|400|{"sql":"SELECT 1","kind":"read","max_age_ms":-1}
double member|400|{"sql":"SELECT 1","sql":"SELECT 2","kind":"read"}
bad SQL|400|{"sql":"SELEKT 1","kind":"read"}
a write declared as a read|400|{"sql":"DELETE FROM job","kind":"read"}
CASES
expect_answer "a body of over 1 MiB" '^413 ' \
	"$(ctl -s -t 15000 -H "Authorization:Bearer $FRONT" POST \
		"http://${ADDRESS[$P1]}/v1/databases/jobs/statements" "@$WORK/big.json")"
expect_answer "a database that the customer may not use" '^403 ' \
	"$(statement "$P1" "$FRONT" "" billing "$COUNT")"
expect_answer "a database that does not exist" '^403 ' \
	"$(statement "$P1" "$FRONT" "" nothing "$COUNT")"
expect_answer "an unknown path" '^404 ' \
	"$(ctl -s -H "Authorization:Bearer $FRONT" POST "http://${ADDRESS[$P1]}/v1/nothing" '{}')"
expect_answer "a key without time" '^400 .*bad_key' \
	"$(statement "$P1" "$FRONT" "" jobs "$WRITE" -H 'Idempotency-Key:abc')"
expect_answer "an expired key" '^400 .*key_expired' \
	"$(statement "$P1" "$FRONT" "" jobs "$WRITE" -H 'Idempotency-Key:1000-abc')"
expect_answer "nothing of these ran" '"rows":\[\[5\]\]' \
	"$(statement "$P3" "$FRONT" "$TOKEN" jobs "$COUNT")"

KEY="$(date +%s)-one"
expect_answer "a keyed write" '"outcome":"ran"' \
	"$(statement "$P1" "$FRONT" "$TOKEN" jobs "$WRITE" -H "Idempotency-Key:$KEY")"
expect_answer "the same key on another proxy" '"replayed":true' \
	"$(statement "$P2" "$FRONT" "$TOKEN" jobs "$WRITE" -H "Idempotency-Key:$KEY")"
expect_answer "the key for another request" '^422 .*key_reused' \
	"$(statement "$P3" "$FRONT" "$TOKEN" jobs "${WRITE/hoe/axe}" -H "Idempotency-Key:$KEY")"
expect_answer "the keyed write ran once" '"rows":\[\[6\]\]' \
	"$(statement "$P3" "$FRONT" "" jobs '{"sql":"SELECT count(*) FROM job","kind":"read","strong":true}')"
verdict
