#!/usr/bin/env bash
# Guards against connections without STARTUP that take all descriptors: 900 callers connect and send
# nothing, and a further 900 send a part of STARTUP.
. "$(dirname "$0")/lib.sh"
. "$ROOT/tests/entry_lib.sh"
. "$ROOT/tests/overload_lib.sh"

NET=$(net 75)
# Connections without a session that the settings admit.
CROWD_DESCRIPTORS=40
entry_start
say "callers that send nothing"
entry_crowd 900 -s 5
say "callers that send a part of STARTUP"
entry_crowd 900 -s 5 -p "STARTUP lab"
verdict
