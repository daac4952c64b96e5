#!/usr/bin/env bash
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
RECORD=$CASE_DIR/record.txt
. "$CASE_DIR/../standin/lib.sh"
start_site text-lines 9 --bad "$TROUBLE"
start_proxies
finish
