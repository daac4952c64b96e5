#!/usr/bin/env bash
# All processes are killed and start again while another writer's entry, whose bytes can't be read, lies
# among the databases. TROUBLE=0: without that entry. Exits with 1 if less than a quarter of the requests
# sent later than recovery_s after the start is served, 0 if a quarter or more is, and 2 if the case could
# not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
HERE=$PWD/review/8
SITE=$PWD/build/review-2/bc-site
FRONT=$PWD/build/review-2/store-front
ENTRY=$PWD/target/bulrushcleat-entry
TROUBLE=${TROUBLE:-1}
# Of qhw-shop.
DRAIN_TIMEOUT_MS=7000
RECOVERY_S=12
# The entry of the other writer; an object has 1,048,576 bytes at most.
ENTRY_BYTES=${ENTRY_BYTES:-999850}
RECORD=$HERE/record.txt
WORK=$(mktemp -d /tmp/review-8.XXXXXX) || exit 2
NET=127.$((16 + RANDOM % 200)).$((RANDOM % 250))
PIDS=""
declare -A PROXY

now_ms() { echo $(($(date +%s%N) / 1000000)); }
say() { echo "$(now_ms) $*" >>"$RECORD"; }

finish() {
	local pid
	for pid in $PIDS ${PROXY[*]:-}; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	[ -z "${KEEP:-}" ] && rm -rf "$WORK" || echo "$WORK"
	echo "$2" | tee -a "$RECORD"
	exit "$1"
}

[ -x "$SITE" ] && [ -x "$FRONT" ] && [ -x "$ENTRY" ] || { echo "not built"; exit 2; }
: >"$RECORD"

# settings N: as the platform renders them from deploy/settings.yaml.template.
settings() {
	cat >"$WORK/$1.yaml" <<YAML
id: "frontend-orange-barn-$1"
domain: "barn"
region: "new-england"
domains:
  - {id: "barn", region: "new-england" }
listen:
  callers: "$NET.1$1:8784"
  ready: "$NET.1$1:8785"
  peers: "$NET.1$1:8782"
  metrics: "$NET.1$1:9464"
seeds: ["$NET.11:8782","$NET.12:8782","$NET.13:8782"]
store: "$NET.1:8783"
promotion: "$NET.1:8783"
grace_s: "6"
endpoint_leaving_ms: "$DRAIN_TIMEOUT_MS"
descriptors: 4200
memory_mb: "0260"
link_mbps: "1000.0"
limit_excess: "0"
limit_operations: "0"
log_level: info
YAML
}

# http METHOD ADDRESS PORT PATH [FILE]: prints the status line; FILE is the body.
http() {
	local line bytes=0
	[ -z "${5:-}" ] || bytes=$(stat -c %s "$5")
	{ exec 9<>"/dev/tcp/$2/$3"; } 2>/dev/null || return 1
	printf '%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n' \
		"$1" "$4" "$bytes" >&9
	[ -z "${5:-}" ] || cat "$5" >&9
	read -r -t 5 line <&9
	exec 9>&-
	echo "$line"
}

start_proxy() { # N
	BULRUSHCLEAT_BOOT=$WORK/$1.yaml "$ENTRY" >>"$WORK/$1.out" 2>&1 &
	PROXY[$1]=$!
}

all_ready() { # SECONDS
	local n tries
	for n in 1 2 3; do
		for ((tries = 10 * $1; tries > 0; tries--)); do
			[[ $(http GET "$NET.1$n" 8785 /-/ready) == *" 200 "* ]] && break
			sleep 0.1
		done
		[ "$tries" -gt 0 ] || return 1
	done
}

# request PROXY ID DATABASE TEXT: one operation in a session of its own; notes it and its answer.
request() {
	local line answer="" fd
	if { exec {fd}<>"/dev/tcp/$NET.1$1/8784"; } 2>/dev/null; then
		printf 'STARTUP %s caller\r\n' "$3" >&"$fd"
		read -r -t 2 line <&"$fd" || line="no answer"
		if [[ $line == READY* ]]; then
			printf 'QUERY %s %s\r\n' "$2" "$4" >&"$fd"
			while read -r -t 2 line <&"$fd"; do
				answer+="${line%$'\r'} "
				[[ $line == READY* ]] && break
			done
			printf 'TERMINATE\r\n' >&"$fd"
		else
			answer="STARTUP: ${line%$'\r'}"
		fi
		exec {fd}>&-
	else
		answer="not accepted"
	fi
	say "proxy $1 sent $2 $3 $4 answered $answer"
	[[ $answer == *COMPLETE* ]]
}

# requests COUNT NAME: sets SERVED to how many were served.
requests() {
	local i
	SERVED=0
	for ((i = 0; i < $1; i++)); do
		case $((i % 3)) in
		0) request $((i / 3 % 3 + 1)) "$2$i" orders "WRITE hoe $2$i" ;;
		1) request $((i / 3 % 3 + 1)) "$2$i" orders "READ hoe" ;;
		2) request $((i / 3 % 3 + 1)) "$2$i" labels "READ hoe" ;;
		esac && SERVED=$((SERVED + 1))
		sleep 0.05
	done
}

head -c "$ENTRY_BYTES" /dev/zero | tr '\0' '\366' >"$WORK/latin1"
{ printf '"Stand der Ger'; printf '\344'; printf 'te: '; cat "$WORK/latin1"; printf '"'; } >"$WORK/spec"
"$SITE" --store "$NET.2:8783" --endpoints 3 --port 8080 >"$WORK/site.log" 2>&1 &
PIDS="$PIDS $!"
sleep 0.5
"$FRONT" "$NET.1:8783" "$NET.2:8783" "$WORK/spec" >"$WORK/front.log" 2>&1 &
PIDS="$PIDS $!"
sleep 0.2
for n in 1 2 3; do
	settings "$n"
	start_proxy "$n"
done
all_ready 10 || finish 2 "the proxies are not ready"
sleep 1
requests 36 a
[ "$SERVED" -ge 30 ] || finish 2 "only $SERVED of 36 requests were served before the fault"
before=$SERVED
if [ "$TROUBLE" != 0 ]; then
	printf '{"meta":{"name":"a-report"},"spec":"entry-of-another-writer"}' >"$WORK/entry.json"
	status=$(http POST "$NET.1" 8783 /-/objects/servers "$WORK/entry.json")
	[[ $status == *" 20"* ]] || finish 2 "the entry of the other writer: $status"
	say "another writer has added servers/a-report, $(stat -c %s "$WORK/spec") bytes, not UTF-8"
fi
sleep 5
# As with a final fault: right after a configuration was acknowledged.
status=$(http POST "$NET.2" 8783 /-/config)
[[ $status == *" 200 "* ]] || finish 2 "the configuration: $status"
say "a configuration is acknowledged, all proxies are killed"
kill -KILL "${PROXY[@]}"
wait "${PROXY[@]}" 2>/dev/null
sleep 1
for n in 1 2 3; do start_proxy "$n"; done
say "all proxies start again"
sleep "$RECOVERY_S"
requests 72 b
[ "$((SERVED * 4))" -ge 72 ] || finish 1 "BROKEN: $SERVED of 72 requests sent later than $RECOVERY_S s after the start were served; $before of 36 before the fault"
finish 0 "held: $SERVED of 72 requests sent later than $RECOVERY_S s after the start were served; $before of 36 before the fault"
