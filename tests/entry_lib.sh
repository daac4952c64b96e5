# Functions for tests that run bulrushcleat-entry against bc-site. Source it after lib.sh. NET is the
# network of the site and STORE the address of its store.

declare -A CALLERS

# settings NAME INDEX [STORE]: writes the settings of a proxy and its address for callers.
settings() {
	cat >"$WORK/$1.yaml" <<YAML
id: $1
domain: barn
region: east
domains:
  - {id: barn, region: east}
listen:
  callers: "$NET.0.1$2:7200"
  ready: "$NET.0.1$2:7201"
  peers: "$NET.0.1$2:7202"
  metrics: "$NET.0.1$2:7203"
seeds: ["$NET.0.11:7202", "$NET.0.12:7202"]
store: "${3:-$STORE}"
promotion: "$STORE"
grace_s: "4"
descriptors: 1024
balance: ${BALANCE:-cost}
YAML
	CALLERS[$1]=$NET.0.1$2
}

http() { curl -s -o "$WORK/body" -w '%{http_code}' -m 3 "$@"; }

ready() { # NAME: waits until the proxy is ready
	local i
	for i in $(seq 1 100); do
		[ "$(http "http://${CALLERS[$1]}:7201/-/ready")" = 200 ] && return 0
		sleep 0.1
	done
	fail "$1 is not ready"
	return 1
}

# session NAME DATABASE: opens a session on descriptor 3.
session() {
	local line
	exec 3<>"/dev/tcp/${CALLERS[$1]}/7200" || return 1
	printf 'STARTUP %s test\r\n' "$2" >&3
	read -r -t 3 line <&3
	printf '%s' "${line%$'\r'}"
}

# query ID TEXT: sends a query on descriptor 3 and prints the answer's lines, joined by '|'.
query() {
	local line answer=""
	printf 'QUERY %s %s\r\n' "$1" "$2" >&3
	while read -r -t 5 line <&3; do
		line=${line%$'\r'}
		answer+="$line|"
		case $line in READY*) break ;; esac
	done
	printf '%s' "$answer"
}

expect() { # WHAT PATTERN ANSWER
	[[ $3 =~ $2 ]] || fail "$1: got '$3', expected '$2'"
}

# Waits until both proxies have the version in force, for the time that a configuration may take.
in_force() { # VERSION
	local n end=$(($(now_ms) + 3000))
	for n in 1 2; do
		until http "http://${CALLERS[proxy-$n]}:7203/metrics" >/dev/null &&
			grep -qx "bulrushcleat_config_version $1" "$WORK/body"; do
			[ "$(now_ms)" -lt "$end" ] || {
				fail "proxy-$n: $(grep config_version "$WORK/body" | tail -1), not $1"
				return 1
			}
			sleep 0.1
		done
	done
}

# Starts the site; its endpoints are as far from the proxies as given, each way.
delayed_site() { # DELAY_MS
	local i links=""
	spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100 --reached-at "$NET.0.2"
	sleep 0.2
	for i in 0 1 2; do links="$links --link e$i,$NET.0.2:710$i,$NET.0.1:710$i,$1"; done
	# shellcheck disable=SC2086
	spawn link "$BUILD/bc-link" --listen "$NET.0.2:7050" $links
	wait_for 5 curl -sf -o /dev/null "http://$NET.0.2:7050/control/counters" ||
		fail "the links did not start"
}
