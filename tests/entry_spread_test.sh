#!/usr/bin/env bash
# Runs entry_test.sh with the setting 'balance: spread'. Guards against the setting having no effect.
set -eu
cd "$(dirname "$0")/.."
SITE_NET=95 BALANCE=spread bash tests/entry_test.sh
