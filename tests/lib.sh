# Starts a site of examples/ as separate processes on loopback, for the demo and the system tests.
# Source this file and call site_start. When the script exits, every process is killed by its id.

set -u
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=$(cd "$ROOT" && cd "${BUILD:-build/release}" && pwd)
SEED=${SEED:-1}
WORK=$(mktemp -d /tmp/bulrushcleat.XXXXXX)
# Each test has a loopback network, 127.N, of its own. SITE_NET=N chooses another one for one test.
# SITE_NET_BASE=N is added to the networks of all tests, so that two whole runs can go side by side:
# 0 for one and 80 for the other. LINKS=1 relays the connections between all processes through
# bc-link, whose network is 127.(N+100); see tests/links.sh.
SITE_NET_BASE=${SITE_NET_BASE:-0}
LINKS=${LINKS:-}
declare -A PID ADDRESS PEER_ADDRESS DOMAIN REGION
SITE=""
DOMAINS=""
DATABASES=""
PROXIES=""
ENDPOINTS=""
PLATFORM=""
FAILURES=0

# net N: prints the network of a test whose default is 127.N.
net() { echo "127.${SITE_NET:-$(($1 + SITE_NET_BASE))}"; }

say() { printf '%s\n' "$*"; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }

# Reports and counts a failed expectation; verdict() then ends the script with an error.
fail() {
	FAILURES=$((FAILURES + 1))
	say "BROKEN: $*"
}

verdict() {
	if [ "$FAILURES" -gt 0 ]; then
		say "$FAILURES expectations broken; logs are in $WORK"
		exit 1
	fi
	say "all expectations held"
	exit 0
}

cleanup() {
	local name
	[ -z "${LOAD:-}" ] || kill "$LOAD" 2>/dev/null
	for name in "${!PID[@]}"; do
		kill -CONT "${PID[$name]}" 2>/dev/null
		kill -KILL "${PID[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	if [ "$FAILURES" -eq 0 ] && [ -z "${KEEP:-}" ]; then
		rm -rf "$WORK"
	fi
}
trap cleanup EXIT

# spawn NAME COMMAND...: starts a process with its log in $WORK/NAME.log.
spawn() {
	local name=$1
	shift
	(cd "$WORK" && exec "$@") >>"$WORK/$name.out" 2>>"$WORK/$name.log" &
	PID[$name]=$!
	# Suppresses the shell's job control message when the process is killed.
	disown
}

signal() { kill "-$2" "${PID[$1]}"; }

gone() { ! kill -0 "${PID[$1]}" 2>/dev/null; }

kill_process() {
	kill -KILL "${PID[$1]}" 2>/dev/null
	wait_for 5 gone "$1"
	unset "PID[$1]"
}

ctl() { "$BUILD/bc-ctl" "$@"; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
	local end=$(($(now_ms) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -ge "$end" ] && return 1
		sleep 0.05
	done
}

# reach ADDRESS: prints the address at which other processes reach a listener, directly or through
# bc-link. reach_all does so for all addresses in its input.
reach() { [ -z "$LINKS" ] && echo "$1" || reach_all <<<"$1"; }
reach_all() { [ -z "$LINKS" ] && cat || sed "s/$NET\./$LINK_NET./g"; }

proxy_ready() { ctl GET "http://${ADDRESS[$1]}/readyz"; }

# json_field NAME: prints the value of the first number or string field of that name on stdin.
json_field() { grep -oE "\"$1\": ?(\"[^\"]*\"|[0-9.]+)" | head -1 | sed -E 's/^"[^"]*": ?//; s/"//g'; }

yaml_value() { sed -nE "s/^ *$1: //p" "$2" | head -1; }

# platform_control JSON, endpoint_control ENDPOINT JSON: inject faults into a stand-in.
platform_control() { ctl POST "http://$PLATFORM/control" "$1" >/dev/null; }
endpoint_control() { ctl POST "http://${ADDRESS[$1]}/control" "$2" >/dev/null; }

start_platform() {
	local vms="" proxy endpoint file
	for proxy in $PROXIES; do
		file=$WORK/$proxy.yaml
		vms="$vms{\"id\":\"$proxy\",\"kind\":\"entry\",\"address\":\"$(reach "${PEER_ADDRESS[$proxy]}")\",\
\"domain\":\"$(yaml_value domain "$file")\",\"region\":\"$(yaml_value region "$file")\",\"state\":\"live\"},"
	done
	for endpoint in $ENDPOINTS; do
		vms="$vms{\"id\":\"$endpoint\",\"kind\":\"endpoint\",\"address\":\"$(reach "${ADDRESS[$endpoint]}")\",\
\"domain\":\"${endpoint%-db}\",\"region\":\"\",\"state\":\"live\"},"
	done
	printf '{"objects":{"groups":%s},"vms":[%s]}' "$(reach_all <"$WORK/groups.json")" \
		"${vms%,}" >"$WORK/platform.json"
	spawn platform "$BUILD/bc-platform" --listen "$PLATFORM" --load "$WORK/platform.json"
	wait_for 5 ctl GET "http://$PLATFORM/v1/objects/groups" || fail "the platform did not start"
}

# start_endpoint ENDPOINT: starts an endpoint; one that ran before keeps its data.
start_endpoint() {
	local endpoint=$1 peers="" other db i=0 own="" foreign="" primary
	local all=($ENDPOINTS)
	for other in $ENDPOINTS; do
		[ "$other" != "$endpoint" ] && peers="$peers$other=$(reach "${ADDRESS[$other]}"),"
	done
	for db in ${DATABASES//,/ }; do
		primary=${all[$((i % ${#all[@]}))]}
		if [ "$primary" = "$endpoint" ]; then
			own="$own$db,"
		else
			foreign="$foreign$db=$primary,"
		fi
		i=$((i + 1))
	done
	mkdir -p "$WORK/data-$endpoint"
	spawn "$endpoint" "$BUILD/bc-endpoint" --id "$endpoint" --listen "${ADDRESS[$endpoint]}" \
		--data "$WORK/data-$endpoint" --databases "$DATABASES" --peers "${peers%,}" \
		${own:+--primary-of "${own%,}"} ${foreign:+--initial-primary "${foreign%,}"} \
		--connections "$CONNECTIONS" --slots "$SLOTS" \
		--connect-cost-ms "$CONNECT_COST_MS"
	wait_for 5 ctl GET "http://${ADDRESS[$endpoint]}/v1/status" || fail "$endpoint did not start"
}

start_proxy() {
	spawn "$1" "$BUILD/bulrushcleatd" "$WORK/$1.yaml"
}

make_keys() {
	mkdir -p "$WORK/keys"
	"$BUILD/bulrushcleat" key generate "$WORK/keys/session-1.key" >/dev/null
	"$BUILD/bulrushcleat" key generate "$WORK/keys/fleet.key" >/dev/null
}

# settings_more DOMAIN N: writes settings for proxies 4 to N of a failure domain, derived from those
# of its first proxy.
settings_more() {
	local n
	for ((n = 4; n <= $2; n++)); do
		sed -E "s/^id: .*/id: $1-$n/; /(callers|peers):/s/\.1:/.$n:/" "$WORK/$1-1.yaml" \
			>"$WORK/$1-$n.yaml"
		proxy_add "$WORK/$1-$n.yaml"
	done
}

# proxy_add FILE: reads the settings of one proxy into variables.
proxy_add() {
	local id
	id=$(yaml_value id "$1")
	PROXIES="$PROXIES $id"
	DOMAIN[$id]=$(yaml_value domain "$1")
	REGION[${DOMAIN[$id]}]=$(yaml_value region "$1")
	ADDRESS[$id]=$(yaml_value callers "$1")
	PEER_ADDRESS[$id]=$(yaml_value peers "$1")
	PLATFORM=$(yaml_value platform "$1")
	[ -z "$LINKS" ] || links_settings "$1"
}

# site_load SITE PROXIES_PER_DOMAIN: reads the example files into variables.
site_load() {
	local file id n line own
	SITE=$1
	case $SITE in
	quabbin) CONNECTIONS=16 SLOTS=2 CONNECT_COST_MS=12 own=1 ;;
	trentvale) CONNECTIONS=40 SLOTS=3 CONNECT_COST_MS=25 own=2 ;;
	esac
	NET=$(net $own)
	LINK_NET=127.$((${NET#127.} + 100))
	for file in "$ROOT/examples/$SITE"/*-[0-9].yaml; do
		id=$(basename "$file" .yaml)
		n=${id##*-}
		[ "$n" -le "$2" ] || continue
		sed "s/127\.$own\./$NET./g" "$file" >"$WORK/$id.yaml"
		proxy_add "$WORK/$id.yaml"
		[ "$n" -ne 3 ] || settings_more "${id%-3}" "$2"
	done
	sed "s/127\.$own\./$NET./g" "$ROOT/examples/$SITE/groups.json" >"$WORK/groups.json"
	while read -r line; do
		id=${line%% *}
		ENDPOINTS="$ENDPOINTS $id"
		ADDRESS[$id]=${line#* }
		DOMAIN[$id]=${id%-db}
	done < <(tr -d '\n ' <"$WORK/groups.json" |
		grep -oE '"id":"[^"]*","address":"[^"]*"' |
		sed -E 's/"id":"([^"]*)","address":"([^"]*)"/\1 \2/')
	DATABASES=$(grep -oE '"database": *"[^"]*"' "$WORK/groups.json" |
		sed -E 's/.*"([^"]*)"$/\1/' | paste -sd, -)
}

apply_lists() {
	"$BUILD/bulrushcleat" config apply "$ROOT/examples/$SITE/plans.yaml" \
		"$ROOT/examples/$SITE/customers.yaml" --platform "$PLATFORM"
}

# site_start SITE [PROXIES_PER_DOMAIN]: reads the example files and starts the site.
site_start() {
	site_load "$1" "${2:-1}"
	site_run
}

# Starts the processes of the site that site_load has read.
site_run() {
	local name
	make_keys
	[ -z "$LINKS" ] || links_start
	start_platform
	for name in $ENDPOINTS; do start_endpoint "$name"; done
	apply_lists >"$WORK/apply.out" 2>&1 || fail "config apply: $(cat "$WORK/apply.out")"
	for name in $PROXIES; do start_proxy "$name"; done
	for name in $PROXIES; do
		wait_for 10 proxy_ready "$name" || fail "$name is not ready: $(tail -3 "$WORK/$name.log")"
	done
}

proxy_list() {
	local proxy
	for proxy in $PROXIES; do printf -- '--proxy %s ' "$(reach "${ADDRESS[$proxy]}")"; done
	[ -z "$LINKS" ] || printf -- '--source %s ' "$NET.200.1"
}

credential() { "$BUILD/bulrushcleat" customer credential "$1" --key "1:$WORK/keys/session-1.key"; }

# primary_of DATABASE: prints the primary as the proxies report it.
primary_of() {
	local proxy
	for proxy in $PROXIES; do
		ctl GET "http://${ADDRESS[$proxy]}/v1/status" 2>/dev/null | grep -oE "\"$1\": ?\{[^}]*\}" |
			json_field primary && return
	done
}

# platform_vm ID STATE: changes a VM's state in the platform's list.
platform_vm() {
	local kind=entry
	[[ " $ENDPOINTS " == *" $1 "* ]] && kind=endpoint
	ctl POST "http://$PLATFORM/control/vm" \
		"{\"id\":\"$1\",\"kind\":\"$kind\",\"address\":\"$(reach "${PEER_ADDRESS[$1]:-${ADDRESS[$1]}}")\",\"domain\":\"${1%-*}\",\"region\":\"\",\"state\":\"$2\"}" >/dev/null
}

# isolate ENDPOINT: cuts an endpoint off from every proxy and every other endpoint.
isolate() {
	local id others=""
	for id in $PROXIES $ENDPOINTS; do
		[ "$id" = "$1" ] || others="$others\"$id\","
	done
	endpoint_control "$1" "{\"cut\":[${others%,}]}"
	for id in $ENDPOINTS; do
		[ "$id" = "$1" ] || endpoint_control "$id" "{\"cut\":[\"$1\"]}"
	done
}

rejoin() {
	local id
	for id in $ENDPOINTS; do endpoint_control "$id" '{"cut":[]}'; done
}

# load_start SECONDS OPTIONS...: starts a load in the background, on the database jobs unless
# DATABASE names another.
load_start() {
	local seconds=$1
	shift
	# shellcheck disable=SC2046
	"$BUILD/bc-load" $(proxy_list) --database "${DATABASE:-jobs}" --customer "${CUSTOMER:-shop-front}" \
		--key "1:$WORK/keys/session-1.key" --seed "$SEED" --duration-s "$seconds" \
		--history "$WORK/history.jsonl" --json "$@" >"$WORK/load.json" 2>"$WORK/load.log" &
	LOAD=$!
}

load_field() { json_field "$1" <"$WORK/load.json"; }

# load_wait: waits for the load to end and checks its history against the log of the database's
# primary.
load_wait() {
	local primary
	wait "$LOAD" || fail "the load tool failed: $(tail -3 "$WORK/load.log")"
	primary=$(primary_of "${DATABASE:-jobs}")
	"$BUILD/bc-check" --endpoint "${ADDRESS[$primary]}" --database "${DATABASE:-jobs}" \
		"$WORK/history.jsonl" >"$WORK/check.out" 2>&1 ||
		fail "history: $(head -5 "$WORK/check.out"; tail -1 "$WORK/check.out")"
	say "history: $(tail -1 "$WORK/check.out")"
}

# expect_at_most WHAT VALUE BOUND: fails if VALUE is missing or above BOUND (decimal numbers).
expect_at_most() {
	awk -v a="$2" -v b="$3" 'BEGIN { exit !(a != "" && a + 0 <= b + 0) }' ||
		fail "$1 is $2, expected at most $3"
}

expect_at_least() {
	awk -v a="$2" -v b="$3" 'BEGIN { exit !(a != "" && a + 0 >= b + 0) }' ||
		fail "$1 is $2, expected at least $3"
}

# statement PROXY CREDENTIAL SESSION_TOKEN DATABASE BODY [OPTION...]: sends a statement and prints
# the answer's status and body.
statement() {
	local proxy=$1 credential=$2 token=$3 database=$4 body=$5
	shift 5
	ctl -s -t 15000 -H "Authorization:Bearer $credential" ${token:+-H "Session-Token:$token"} "$@" \
		POST "http://${ADDRESS[$proxy]}/v1/databases/$database/statements" "$body"
}

. "$ROOT/tests/links.sh"
