#!/usr/bin/env bash
# Builds what the scripts of review/8 to review/10 start, into build/review-2. Run it from
# anywhere, after the build of the deploy file. Needs only the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
OUT=build/review-2
LIBS="apr-1 libprotobuf-c yaml-0.1 libmicrohttpd libcurl jansson libcrypto libxxhash zlib"

mkdir -p "$OUT"
make -s -j4 BUILD="$OUT" "$OUT/libbulrushcleat.a" "$OUT/platform/plt_line.o"
# Not by make: its rule for bc-site asks for sqlite3, which the deploy file does not list.
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -g -Ilibbulrushcleat -I. -D_GNU_SOURCE $(pkg-config --cflags $LIBS) \
	-include review/standin-2/numbers.h \
	-o "$OUT/bc-site" platform/standin/bc-site.c "$OUT/platform/plt_line.o" \
	"$OUT/libbulrushcleat.a" $(pkg-config --libs $LIBS) -llog4c -lpthread -lm
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o "$OUT/store-front" \
	review/standin-2/store-front.c $(pkg-config --cflags --libs jansson)
