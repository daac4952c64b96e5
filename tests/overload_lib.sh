# Functions for the tests of one process under a crowd of misbehaving callers. Source it after
# lib.sh and, for bulrushcleat-entry, entry_lib.sh. NET is the network of the site.

# The budget of the process, as its settings have it.
BUDGET_MB=12
# Copies of the messages that are handled, and what the allocator keeps, take as much again.
MEMORY_BOUND_KB=$((2 * BUDGET_MB * 1024))
# What may stay resident after the crowd has left.
MEMORY_AFTER_KB=$((BUDGET_MB * 1024 / 2))
# Descriptors that are not connections of callers: endpoints, the store and peers.
OTHER_DESCRIPTORS=64

memory_kb() { awk -v name="$2:" '$1 == name { print $2 }' "/proc/${PID[$1]}/status"; }
descriptors() { find "/proc/${PID[$1]}/fd" -mindepth 1 -maxdepth 1 2>/dev/null | wc -l; }

# overload_settings NAME [LINE...]: writes the settings of a proxy with a small budget.
overload_settings() {
	local name=$1
	shift
	settings "$name" 1
	printf '%s\n' "memory_mb: 64" "budget_mb: $BUDGET_MB" "startup_connections: 40" \
		"transfer_ms: 1500" "$@" >>"$WORK/$name.yaml"
}

# overload_start NAME: notes the memory and descriptors of the idle process.
overload_start() {
	START_KB=$(memory_kb "$1" VmRSS)
	START_DESCRIPTORS=$(descriptors "$1")
}

# crowd NAME CONNECTIONS OPTION...: runs a crowd against the process and checks its memory and its
# descriptors meanwhile.
crowd() {
	local name=$1 connections=$2 most=0 now client bound
	shift 2
	# Sets VmHWM to the present VmRSS.
	echo 5 >"/proc/${PID[$name]}/clear_refs"
	"$BUILD/overload-client" -n "$connections" "$@" >"$WORK/crowd.log" 2>&1 &
	client=$!
	while kill -0 "$client" 2>/dev/null; do
		gone "$name" && break
		now=$(descriptors "$name")
		[ "$now" -le "$most" ] || most=$now
		sleep 0.1
	done
	wait "$client"
	gone "$name" && {
		fail "$name has ended: $(tail -3 "$WORK/$name.log")"
		return
	}
	# VmHWM is the most that VmRSS has been.
	now=$(memory_kb "$name" VmHWM)
	bound=$((START_KB + MEMORY_BOUND_KB))
	say "  $(tr '\n' ' ' <"$WORK/crowd.log")resident $START_KB kB before, $now kB at most (bound $bound)"
	say "  descriptors $START_DESCRIPTORS before, $most at most (bound ${CROWD_DESCRIPTORS:-$connections} more)"
	expect_at_most "resident memory in kB" "$now" "$bound"
	expect_at_most "open descriptors" "$most" \
		$((START_DESCRIPTORS + ${CROWD_DESCRIPTORS:-$connections} + OTHER_DESCRIPTORS))
}

resident_at_most() { [ "$(memory_kb "$1" VmRSS)" -le "$2" ]; }

# left NAME: checks that resident memory falls after the crowd has left.
left() {
	wait_for 15 resident_at_most "$1" $((START_KB + MEMORY_AFTER_KB)) ||
		fail "resident memory stays at $(memory_kb "$1" VmRSS) kB, expected $((START_KB + MEMORY_AFTER_KB))"
	say "  resident $(memory_kb "$1" VmRSS) kB after"
}

# served_after NAME: checks that an ordinary request is answered after the crowd has left.
served_after() {
	session "$1" labels >"$WORK/answer"
	expect "a session after the crowd" "^READY" "$(cat "$WORK/answer")"
	expect "a read after the crowd" '^COMPLETE|^DATAROW' "$(query small 'READ other')"
	exec 3>&-
	left "$1"
}

# long_message: checks that a message of nearly 1 MiB is served in calm.
long_message() {
	session proxy-1 labels >"$WORK/answer"
	printf 'QUERY long READ ' >&3
	printf '%01000000d\r\n' 7 >&3
	expect "a message of 1,000,000 bytes" '^COMPLETE|^DATAROW' "$(query small 'READ other')"
	exec 3>&-
}

# entry_start [LINE...]: starts a site and a proxy with a small budget.
entry_start() {
	STORE=$NET.0.1:7000
	spawn site "$BUILD/bc-site" --store "$STORE" --endpoints 3 --port 7100
	sleep 0.3
	overload_settings proxy-1 "$@"
	spawn proxy-1 "$BUILD/bulrushcleat-entry" "$WORK/proxy-1.yaml"
	ready proxy-1
	long_message
	sleep 0.5
	overload_start proxy-1
}

# entry_crowd CONNECTIONS OPTION...: runs a crowd against the proxy; a session is opened afterwards.
entry_crowd() {
	local connections=$1
	shift
	crowd proxy-1 "$connections" "$@" "${CALLERS[proxy-1]}" 7200
	gone proxy-1 || served_after proxy-1
}

# daemon_start [LINE...]: starts a site of bulrushcleatd; its first proxy has a small budget.
daemon_start() {
	site_load quabbin 1
	read -r DAEMON _ <<<"$PROXIES"
	printf '%s\n' "memory_mb: 64" "budget_mb: $BUDGET_MB" "transfer_ms: 1500" "$@" \
		>>"$WORK/$DAEMON.yaml"
	site_run
	CREDENTIAL=$(credential shop-front)
	answer=$(statement "$DAEMON" "$CREDENTIAL" "" jobs '{"sql":"CREATE TABLE t(x TEXT)","kind":"write"}')
	[[ $answer == 200* ]] || fail "setup: $answer"
	sleep 0.5
	overload_start "$DAEMON"
}

# daemon_request BODY_BYTES BODY: prints the head of a request with a body of this size, and a first part
# of the body.
daemon_request() {
	printf 'POST /v1/databases/jobs/statements HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s' \
		"$CREDENTIAL" "$1" "$2"
}

# daemon_crowd CONNECTIONS OPTION...: runs a crowd against the proxy, which serves afterwards.
daemon_crowd() {
	local connections=$1 address=${ADDRESS[$DAEMON]} answer
	shift
	crowd "$DAEMON" "$connections" "$@" "${address%:*}" "${address#*:}"
	gone "$DAEMON" && return
	answer=$(statement "$DAEMON" "$CREDENTIAL" "" jobs '{"sql":"SELECT 1","kind":"read"}')
	[[ $answer == 200* ]] || fail "a read after the crowd: $answer"
	left "$DAEMON"
}
