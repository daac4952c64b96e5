#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/ start, into build/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation -D_GNU_SOURCE \
	-o build/review/site review/standin/site.c -ljansson
