#!/usr/bin/env bash
# Guards against a caller that is served without a known key or under another name than its
# account's, against a withdrawn key that is still of use, and against a key in a log, in the
# metrics or in a message to an endpoint.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"

NET=127.${SITE_NET:-80}
STORE=$NET.0.1:7000

# key_session NAME DATABASE KEY: opens a session with a key on descriptor 3, prints the answer.
key_session() {
	local line
	exec 3<>"/dev/tcp/${CALLERS[$1]}/7200" || return 1
	printf 'STARTUP %s %s\r\n' "$2" "$3" >&3
	read -r -t 3 line <&3
	printf '%s' "${line%$'\r'}"
}

# closed: whether the connection on descriptor 3 is closed by the proxy.
closed() {
	local rest
	read -r -t 3 rest <&3
	[ $? -eq 1 ]
}

spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100 --accounts
sleep 0.3
for n in 1 2; do
	settings "proxy-$n" "$n"
	spawn "proxy-$n" "$BUILD/bulrushcleat-entry" "$WORK/proxy-$n.yaml"
done
for n in 1 2; do ready "proxy-$n"; done

say "keys"
for n in 1 2; do
	key_session "proxy-$n" orders secret-mill >"$WORK/answer"
	expect "a known key at proxy-$n" '^READY I' "$(cat "$WORK/answer")"
	expect "its statement" '^COMPLETE' "$(query "w$n" "WRITE item-$n data-$n")"
	key_session "proxy-$n" orders secret-other >"$WORK/answer"
	expect "an unknown key at proxy-$n" '^ERROR UNAUTH ' "$(cat "$WORK/answer")"
	closed || fail "the connection with an unknown key stays open"
	key_session "proxy-$n" orders "" >"$WORK/answer"
	expect "no key at proxy-$n" '^ERROR UNAUTH ' "$(cat "$WORK/answer")"
	key_session "proxy-$n" notices secret-other >"$WORK/answer"
	expect "a public route at proxy-$n" '^READY I' "$(cat "$WORK/answer")"
	expect "its statement" '^(COMPLETE|DATAROW)' "$(query "r$n" "READ item-$n")"
done
# The text of a digest, which the proxies exchange, is no key.
digest=sha256:$(printf secret-mill | sha256sum | cut -d' ' -f1)
key_session proxy-1 orders "$digest" >"$WORK/answer"
expect "a digest used as a key" '^ERROR UNAUTH ' "$(cat "$WORK/answer")"

say "a withdrawn key"
key_session proxy-1 orders secret-mill >"$WORK/answer"
exec 4<&3
key_session proxy-2 orders secret-mill >"$WORK/answer"
expect "a transaction" '^COMPLETE' "$(query b1 BEGIN)"
expect "its statement" '^COMPLETE' "$(query b2 "WRITE item-3 lost")"
http -X POST "http://$STORE/-/config?withdraw=mill" >/dev/null
in_force 2
expect "its next statement" '^ERROR ABORTED .*READY E' "$(query b3 "WRITE item-3 lost")"
expect "its rollback" '^COMPLETE .*READY I' "$(query b4 ROLLBACK)"
expect "the next operation" '^ERROR UNAUTH .*READY I' "$(query b5 BEGIN)"
exec 3<&4
expect "an idle session" '^ERROR UNAUTH .*READY I' "$(query i1 "READ item-1")"
key_session proxy-1 orders secret-mill >"$WORK/answer"
expect "a new session" '^ERROR UNAUTH ' "$(cat "$WORK/answer")"
key_session proxy-1 orders secret-farm >"$WORK/answer"
expect "another account" '^READY I' "$(cat "$WORK/answer")"
expect "nothing of the transaction" '^COMPLETE' "$(query r3 "READ item-3")"

say "names and texts"
grep -q '^startup mill ' "$WORK/site.out" || fail "no connection in the name of mill"
grep -q '^startup farm ' "$WORK/site.out" || fail "no connection in the name of farm"
for n in 1 2; do http "http://${CALLERS[proxy-$n]}:7203/metrics" >/dev/null && cp "$WORK/body" "$WORK/metrics-$n"; done
grep -q 'sessions_refused_total{code="unauthenticated"}' "$WORK/metrics-1" ||
	fail "no counter of refused keys"
grep -q '"session_refused"' "$WORK/proxy-1.log" "$WORK/proxy-1.out" || fail "no log line of a refused key"
# The answers of the proxies are in the test's variables only, so no file may contain a key.
grep -l 'secret-' "$WORK"/* && fail "a key is in these files"
verdict
