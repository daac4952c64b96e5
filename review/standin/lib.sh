# Starts a small deployment for a script of review/: the stand-in of the platform and PROXIES (3)
# proxies, one in each failure domain, on loopback addresses. Source it with CASE_DIR set to the
# case's folder and RECORD to the file for the record. TROUBLE=0 leaves the disruption out.

set -u
ROOT=$(cd "$CASE_DIR/../.." && pwd)
TROUBLE=${TROUBLE:-1}
PROXIES=${PROXIES:-3}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
# A network of its own for each run, so that runs side by side do not meet.
NET=127.$((20 + RANDOM % 200)).$((RANDOM % 250))
declare -A PID
cd "$ROOT" || exit 2

cleanup() {
	local name
	for name in "${!PID[@]}"; do
		kill -KILL "${PID[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap cleanup EXIT

cannot_run() {
	echo "cannot run: $*"
	exit 2
}

# write_settings N DOMAIN REGION: as the platform fills in deploy/settings.yaml.template.
write_settings() {
	cat >"$WORK/proxy-$1.yaml" <<YAML
id: "frontend-$2-1"
domain: "$2"
region: "$3"
domains:
  - {id: "orange-barn", region: "new-england" }
  - {id: "athol-annex", region: "new-england" }
  - {id: "trenton-rack", region: "mid-atlantic" }
listen:
  callers: "$NET.1$1:7200"
  ready: "$NET.1$1:7201"
  peers: "$NET.1$1:7202"
  metrics: "$NET.1$1:9464"
seeds: [$(seq -s, -f "\"$NET.1%g:7202\"" "$PROXIES")]
store: "$NET.1:7000"
promotion: "$NET.1:7000"
grace_s: "6"
descriptors: 4200
link_mbps: "1000.0"
log_level: info
YAML
}

# start_proxy N: runs the command of deploy/system.toml, as the platform does.
start_proxy() {
	BULRUSHCLEAT_BOOT="$WORK/proxy-$1.yaml" target/bulrushcleat-entry \
		>"$WORK/proxy-$1.log" 2>&1 &
	PID[proxy-$1]=$!
	# Suppresses the shell's message when the process is killed.
	disown
}

# start_site CASE SECONDS [OPTIONS...]
start_site() {
	local scenario=$1 seconds=$2
	shift 2
	[ -x build/review/site ] || cannot_run "review/build.sh has not been run"
	[ -x target/bulrushcleat-entry ] || cannot_run "the build of deploy/system.toml is missing"
	build/review/site --net "$NET" --case "$scenario" --seconds "$seconds" \
		--record "$RECORD" --proxies "$PROXIES" "$@" &
	PID[site]=$!
	sleep 0.3
	kill -0 "${PID[site]}" 2>/dev/null || cannot_run "the stand-in does not start"
}

# is_ready N: asks for readiness as the platform does.
is_ready() {
	local line=""
	exec 9<>"/dev/tcp/$NET.1$1/7201" || return 1
	printf 'GET /-/ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n' >&9
	read -r -t 1 line <&9
	exec 9>&-
	[[ $line == *" 200 "* ]]
}

start_proxies() {
	local n i
	write_settings 1 orange-barn new-england
	write_settings 2 athol-annex new-england
	write_settings 3 trenton-rack mid-atlantic
	for n in $(seq "$PROXIES"); do start_proxy "$n"; done
	for n in $(seq "$PROXIES"); do
		for i in $(seq 1 80); do
			is_ready "$n" 2>/dev/null && continue 2
			sleep 0.1
		done
		cannot_run "proxy $n is not ready"
	done
}

# finish: waits for the stand-in's verdict and ends with it.
finish() {
	local verdict
	wait "${PID[site]}"
	verdict=$?
	unset "PID[site]"
	grep BROKEN "$RECORD" | head -3
	tail -1 "$RECORD"
	[ -z "${KEEP_LOGS:-}" ] || cp "$WORK"/proxy-*.log "$KEEP_LOGS"/
	exit "$verdict"
}
