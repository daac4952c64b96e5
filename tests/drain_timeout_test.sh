#!/usr/bin/env bash
# Guards against a request that gets no answer because the drain timeout of its proxy, bulrushcleatd,
# ends before it does: the caller has to learn that its outcome is unknown.
set -u
cd "$(dirname "$0")/.."
. tests/lib.sh

site_load quabbin 1
sed -i 's/^drain_timeout_ms:.*/drain_timeout_ms: 1500/' "$WORK"/*-1.yaml
site_run
read -r P1 _ <<<"$PROXIES"
CREDENTIAL=$(credential shop-front)
answer=$(statement "$P1" "$CREDENTIAL" "" jobs '{"sql":"CREATE TABLE t(x INTEGER)","kind":"write"}')
[[ $answer == 200* ]] || fail "setup: $answer"
for endpoint in $ENDPOINTS; do endpoint_control "$endpoint" '{"answer_delay_ms":20000}'; done
statement "$P1" "$CREDENTIAL" "" jobs '{"sql":"INSERT INTO t VALUES(1)","timeout_ms":30000,"kind":"write"}' \
	>"$WORK/answer" 2>&1 &
CALLER=$!
sleep 0.5
signal "$P1" TERM
wait_for 10 gone "$P1" || fail "$P1 did not end within 10 s"
wait "$CALLER"
say "answer: $(cat "$WORK/answer")"
grep -q '"outcome":"unknown"' "$WORK/answer" || fail "no answer at the end of the drain"
verdict
