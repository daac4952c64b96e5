#!/usr/bin/env bash
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
PROXIES=${PROXIES:-2}
RECORD=$CASE_DIR/record.txt
. "$CASE_DIR/../standin/lib.sh"
start_site silent-store 28
start_proxies
sleep 5
[ "$TROUBLE" = 0 ] || kill -USR1 "${PID[site]}"
kill -USR2 "${PID[site]}"
finish
