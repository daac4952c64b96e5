#!/usr/bin/env bash
# Checks properties P1, P2, P4, P5, P6 and P9 under network partitions, with the latencies of both
# sites: the primary's domain is cut off, the regions are cut off from each other, a domain without
# the primary is cut off from everything, and a primary freezes during a partition, twice in a row.
# Guards against writes acknowledged on the minority side, a majority side that takes more than 13 s
# until writes succeed again, reads above their age limit, reads that return older data than before,
# and a configuration that takes effect late or reverts.
# SITES="NAME:N ..." chooses the sites and their networks, 127.N; SITE_NET_BASE is added to N.
set -u
cd "$(dirname "$0")/.."

GAP_TARGET_S=13
SPREAD_TARGET_S=9
# Time after a cut at which the data in the domain is older than max_age_ms of the reads there.
OLD_AFTER_S=1.6

mono_us() { awk '{ printf "%.0f", $1 * 1000000 }' /proc/uptime; }

proxies_of() { # DOMAIN...
	local proxy
	for proxy in $PROXIES; do
		[[ " $* " != *" ${DOMAIN[$proxy]} "* ]] || echo "$proxy"
	done
}

others() { # DOMAIN...: prints all other domains
	local domain
	for domain in $(domains); do
		[[ " $* " == *" $domain "* ]] || echo "$domain"
	done
}

# load_of NAME DOMAINS SOURCE OPTIONS...: starts a load on the proxies of these domains only, which
# runs until finish is called.
load_of() {
	local name=$1 source=$3 proxy list=()
	for proxy in $(proxies_of $2); do list+=(--proxy "$(reach "${ADDRESS[$proxy]}")"); done
	shift 3
	# Each load needs its own seed, since loads with the same seed use the same idempotency keys.
	LOAD_SEED=$((LOAD_SEED + 1))
	"$BUILD/bc-load" "${list[@]}" --source "$source" --database "$DATABASE" --customer "${LOAD_CUSTOMER:-$CUSTOMER}" \
		--key "1:$WORK/keys/session-1.key" --seed "$LOAD_SEED" --duration-s 60 \
		--keyed-percent 60 --transaction-percent 10 --timeout-ms 2000 \
		--history "$WORK/$name.jsonl" --json "$@" >"$WORK/$name.json" 2>"$WORK/$name.log" &
	LOADS[$name]=$!
	HISTORIES+=("$WORK/$name.jsonl")
}

# operations KINDS NAME OUTCOME FROM_US TO_US: prints how many operations began and ended in that
# time.
operations() {
	awk -v kinds="\"op\":\"($1)\"" -v outcome="$3" -v from="$4" -v to="$5" '
		$0 !~ kinds || !index($0, "\"outcome\":\"" outcome "\"") { next }
		{ match($0, /"start_us":[0-9]+/); start = substr($0, RSTART + 11, RLENGTH - 11) }
		{ match($0, /"end_us":[0-9]+/); end = substr($0, RSTART + 9, RLENGTH - 9) }
		start + 0 >= from + 0 && end + 0 <= to + 0 { count++ }
		END { print count + 0 }' "$WORK/$2.jsonl"
}

writes() { operations "write|transaction" "$@"; }

# expect_cut NAME LOAD FROM_US TO_US: checks that in the cut-off domain writes were tried and none
# was acknowledged.
expect_cut() {
	local unknown not_run
	unknown=$(writes "$2" unknown "$3" "$4")
	not_run=$(writes "$2" not_run "$3" "$4")
	expect_at_most "$1: writes acknowledged in the cut-off domain" "$(writes "$2" ran "$3" "$4")" 0
	expect_at_least "$1: writes tried in the cut-off domain" $((unknown + not_run)) 1
}

# write_after NAME FROM_US: prints the milliseconds until the first write that began and ran after
# that time.
write_after() {
	awk -v from="$2" '
		!/"op":"(write|transaction)"/ || !/"outcome":"ran"/ { next }
		{ match($0, /"start_us":[0-9]+/); start = substr($0, RSTART + 11, RLENGTH - 11) }
		{ match($0, /"end_us":[0-9]+/); end = substr($0, RSTART + 9, RLENGTH - 9) }
		start + 0 >= from + 0 && (!best || end + 0 < best) { best = end + 0 }
		END { if (best) printf "%.0f", (best - from) / 1000; else print "none" }' "$WORK/$1.jsonl"
}

primary_at() { # PROXY
	ctl GET "http://${ADDRESS[$1]}/v1/status" 2>/dev/null | tr -d ' \n' |
		grep -oE "\"$DATABASE\":\{[^}]*\}" | json_field primary
}

revision_of() { ctl GET "http://${ADDRESS[$1]}/v1/status" 2>/dev/null | json_field config_revision; }

write_works() { # PROXY
	statement "$1" "$FRONT" "" "$DATABASE" \
		'{"sql":"UPDATE load SET seq = seq WHERE 0","kind":"write"}' | grep -q '"outcome":"ran"'
}

promoted_from() { # OLD_PRIMARY PROXY
	local now
	now=$(primary_at "$2")
	[ -n "$now" ] && [ "$now" != "$1" ]
}

# hand_over_from DOMAIN: moves the primary of the load's database out of the domain. A takeover before
# may have put it beside the other database's, and then no database that is read while the domain is
# cut off has its primary elsewhere: a cut-off primary does not serve these reads.
hand_over_from() {
	[ "$(primary_at "$P1")" = "$1-db" ] || return 0
	platform_vm "$1-db" leaving
	wait_for $GAP_TARGET_S promoted_from "$1-db" "$P1" || fail "$SITE: $1-db does not hand over"
	platform_vm "$1-db" live
	wait_for $GAP_TARGET_S proxies_agree || fail "$SITE: the proxies name different primaries"
	wait_for $GAP_TARGET_S copies_equal || fail "$SITE: the copies differ: $(copies | tr '\n' ' ')"
	say "$SITE: $1-db has handed over to $(primary_at "$P1")"
}

copies() { # prints the applied position of each endpoint's copy
	local endpoint
	for endpoint in $ENDPOINTS; do
		ctl GET "http://${ADDRESS[$endpoint]}/v1/status" | tr -d ' \n' |
			grep -oE "\"$DATABASE\":\{.*" | grep -oE '"applied":\{[^}]*\}' | head -1
	done
}

copies_equal() { [ "$(copies | sort -u | wc -l)" = 1 ] && [ "$(copies | wc -l)" = 3 ]; }

proxies_agree() {
	[ "$(for p in $PROXIES; do primary_at "$p"; done | sort -u | grep -c .)" = 1 ]
}

# finish NAME...: stops the loads, then checks all histories so far against the primary's log.
finish() {
	local name
	for name in "$@"; do kill -TERM "${LOADS[$name]}"; done
	for name in "$@"; do
		wait "${LOADS[$name]}" || fail "$name: the load tool failed: $(tail -3 "$WORK/$name.log")"
	done
	wait_for $GAP_TARGET_S proxies_agree || fail "$1: the proxies name different primaries"
	wait_for $GAP_TARGET_S copies_equal || fail "$1: the copies differ after healing: $(copies | tr '\n' ' ')"
	"$BUILD/bc-check" --endpoint "${ADDRESS[$(primary_at "$P1")]}" --database "$DATABASE" \
		"${HISTORIES[@]}" >"$WORK/check.out" 2>&1 ||
		fail "$1: history: $(head -5 "$WORK/check.out"; tail -1 "$WORK/check.out")"
	say "$SITE $1: history: $(tail -1 "$WORK/check.out")"
}

report() { # LOAD
	say "$SITE $1: longest gap $(json_field write_gap_ms <"$WORK/$1.json") ms," \
		"replica share $(json_field replica_share <"$WORK/$1.json")," \
		"errors $(tr -d ' \n' <"$WORK/$1.json" | grep -oE '"errors":\{[^}]*\}')"
}

expect_answer() { # WHAT PATTERN ANSWER
	grep -qE "$2" <<<"$3" || fail "$SITE $1: expected $2, got $3"
}

# Table and write statement for each of the two databases that are read while a domain is cut off.
# The write to the load's table changes no row.
table_of() { [ "$1" = "$DATABASE" ] && echo load || echo note; }
write_of() { [ "$1" = "$DATABASE" ] && echo "UPDATE load SET seq = seq WHERE 0" || echo "INSERT INTO note VALUES (1)"; }

token_of() { # PROXY DATABASE: makes a write and prints its session token
	ctl -i -t 15000 -H "Authorization:Bearer $REPORTS" POST \
		"http://${ADDRESS[$1]}/v1/databases/$2/statements" \
		"{\"sql\":\"$(write_of "$2")\",\"kind\":\"write\"}" |
		sed -nE 's/^[Ss]ession-[Tt]oken: //p' | tr -d '\r'
}

read_old() { # PROXY TOKEN DATABASE EXTRA [TIMEOUT_MS]
	statement "$1" "$REPORTS" "$2" "$3" \
		"{\"sql\":\"SELECT count(*) FROM $(table_of "$3")\",\"kind\":\"read\",\"timeout_ms\":${5:-700}$4}"
}

# reads_while_cut DOMAIN DATABASE TOKEN NEWER_TOKEN: checks replica reads in a cut-off domain.
reads_while_cut() {
	local proxy answer
	proxy=$(proxies_of "$1")
	expect_answer "$1: read above its age limit" '^503 .*"outcome":"not_run"' \
		"$(read_old "$proxy" "" "$2" ',"max_age_ms":1000')"
	answer=$(read_old "$proxy" "$3" "$2" "")
	expect_answer "$1: read after the session's own write" '"outcome":"ran"' "$answer"
	[ "$2" = "$DATABASE" ] ||
		expect_answer "$1: read of the session's own write" '"rows":\[\[1\]\]' "$answer"
	expect_answer "$1: the read came from the domain's endpoint" "\"served_by\":\"$1-db\"" "$answer"
	expect_at_least "$SITE $1: stated age of that read in ms" "$(json_field age_ms <<<"$answer")" 1000
	[ -z "$4" ] || expect_answer "$1: read of a write made on the other side" '"outcome":"not_run"' \
		"$(read_old "$proxy" "$4" "$2" "")"
}

# Cases (a) and (b): no write in DOMAIN is acknowledged while it is cut off, and writes in the other
# domains succeed.
case_cut() { # NAME DOMAIN
	local name=$1 domain=$2 proxy outside old cut_us heal_us database token newer
	# The database for the reads: its primary is not in the domain that is cut off.
	database=$FAR_DATABASE
	[ "$domain-db" = "$FAR_PRIMARY" ] && database=$DATABASE
	outside=$(others "$domain")
	proxy=$(proxies_of $outside | head -1)
	old=$(primary_at "$proxy")
	load_of "$name-inside" "$domain" "$(inner_source "$domain")" --rate 40 --sessions 15 \
		--read-percent 50
	load_of "$name-outside" "$outside" "$NET.200.1" --rate 100 --sessions 20 --read-percent 60 --roam
	token=$(token_of "$proxy" "$database")
	sleep 1.5
	partition "$domain"
	cut_us=$(mono_us)
	if [ "$old" = "$domain-db" ]; then
		wait_for $GAP_TARGET_S promoted_from "$old" "$proxy" ||
			fail "$SITE $name: no promotion within $GAP_TARGET_S s"
	fi
	sleep $OLD_AFTER_S
	# A transaction that a cut-off proxy left open holds its locks until the endpoint rolls it back.
	# The reads in the domain come before the wait for that, since the plans limit their age.
	[ "$database" = "$DATABASE" ] || newer=$(token_of "$proxy" "$database")
	reads_while_cut "$domain" "$database" "$token" "${newer:-}"
	wait_for $GAP_TARGET_S write_works "$proxy" ||
		fail "$SITE $name: no write outside within $GAP_TARGET_S s"
	if [ "$old" = "$domain-db" ]; then
		expect_answer "$name: read with an age limit on the replaced primary" '"outcome":"not_run"' \
			"$(statement "$(proxies_of "$domain")" "$FRONT" "" "$DATABASE" \
				'{"sql":"SELECT count(*) FROM load","kind":"read","max_age_ms":1000,"timeout_ms":700}')"
	fi
	sleep 1
	heal_us=$(mono_us)
	partition_heal
	sleep 2
	finish "$name-outside" "$name-inside"
	expect_cut "$SITE $name" "$name-inside" "$cut_us" "$heal_us"
	expect_at_least "$SITE $name: writes of the others meanwhile" \
		"$(writes "$name-outside" ran "$cut_us" "$heal_us")" 1
	expect_at_most "$SITE $name: time without writes outside in ms" \
		"$(json_field write_gap_ms <"$WORK/$name-outside.json")" $((GAP_TARGET_S * 1000))
	say "$SITE $name: $domain cut off for $(((heal_us - cut_us) / 1000)) ms, $old before," \
		"$(primary_at "$P1") after; first write in $domain $(write_after "$name-inside" "$heal_us") ms after healing"
	report "$name-outside"
	report "$name-inside"
}

# Case (c): a domain without the primary is cut off from everything while the configuration changes.
case_config() {
	local domain proxy old cut_us heal_us revision begin
	old=$(primary_at "$P1")
	for domain in $(domains); do [ "$domain-db" = "$old" ] || break; done
	proxy=$(proxies_of "$domain")
	load_of config-inside "$domain" "$(inner_source "$domain")" --rate 40 --sessions 15 \
		--read-percent 70
	# The reporter's plan allows reads that are older than the duration of the cut.
	LOAD_CUSTOMER=$REPORTER load_of config-reads "$domain" "$(inner_source "$domain")" --rate 40 \
		--sessions 5 --read-percent 100
	load_of config-outside "$(others "$domain")" "$NET.200.1" --rate 100 --sessions 20 \
		--read-percent 60 --roam
	sleep 1
	partition "$domain"
	cut_us=$(mono_us)
	sed "0,/connections: [0-9][0-9]*/s//connections: 11/" "$ROOT/examples/$SITE/plans.yaml" \
		>"$WORK/plans.yaml"
	"$BUILD/bulrushcleat" config apply "$WORK/plans.yaml" "$ROOT/examples/$SITE/customers.yaml" \
		--platform "$PLATFORM" >"$WORK/apply.out" 2>&1 ||
		fail "$SITE config: apply failed: $(cat "$WORK/apply.out")"
	revision=$(($(revision_of "$proxy") + 1))
	wait_for $SPREAD_TARGET_S revision_is "$revision" "$(proxies_of $(others "$domain") | tr '\n' ' ')" ||
		fail "$SITE config: revision $revision is not in force outside $domain"
	# The domain's own endpoint may be the primary of that database. Since replicas are preferred for
	# reads, the read may have to wait until the proxy detects that the cut-off replica is silent.
	expect_answer "config: a read without age limit in the cut-off $domain" '"outcome":"ran"' \
		"$(read_old "$proxy" "" "$FAR_DATABASE" "" 3000)"
	[ "$(revision_of "$proxy")" = $((revision - 1)) ] || fail "$SITE config: $domain was not cut off"
	wait_for $GAP_TARGET_S write_works "$(proxies_of $(others "$domain") | head -1)" ||
		fail "$SITE config: no write outside within $GAP_TARGET_S s"
	# Longer than a request's deadline, so that some writes begin and end during the cut.
	sleep 2.5
	heal_us=$(mono_us)
	partition_heal
	begin=$(now_ms)
	wait_for $SPREAD_TARGET_S revision_is "$revision" "$proxy" ||
		fail "$SITE config: revision $revision is not in force in $domain"
	say "$SITE config: in force in $domain $(($(now_ms) - begin)) ms after healing"
	finish config-outside config-inside config-reads
	expect_at_least "$SITE config: reads served in the cut-off domain" \
		"$(operations read config-reads ran "$cut_us" "$heal_us")" 1
	say "$SITE config: in the cut-off $domain $(operations read config-reads ran "$cut_us" "$heal_us")" \
		"reads without an age limit of the caller ran, $(operations read config-reads not_run "$cut_us" "$heal_us") did not"
	expect_cut "$SITE config" config-inside "$cut_us" "$heal_us"
	expect_at_most "$SITE config: time without writes outside in ms" \
		"$(json_field write_gap_ms <"$WORK/config-outside.json")" $((GAP_TARGET_S * 1000))
	for proxy in $PROXIES; do
		sed -nE 's/.*"config_in_force","fields":\{"revision":([0-9]+)\}.*/\1/p' "$WORK/$proxy.log" \
			>"$WORK/revisions"
		sort -n -c -u "$WORK/revisions" 2>/dev/null ||
			fail "$SITE $proxy went back: $(tr '\n' ' ' <"$WORK/revisions")"
	done
	report config-outside
	report config-inside
}

revision_is() { # REVISION PROXIES
	local proxy
	for proxy in $2; do [ "$(revision_of "$proxy")" = "$1" ] || return 1; done
}

# Case (d): the primary freezes while another domain is cut off, so there is no majority until the
# cut heals. Right after that the new primary freezes and its own domain is cut off; the other two
# domains must promote another one.
case_double() {
	local old new domain cut_us heal_us again_us
	load_of double "$(domains | tr '\n' ' ')" "$NET.200.1" --rate 100 --sessions 40 \
		--read-percent 60 --roam
	sleep 1
	old=$(primary_at "$P1")
	for domain in $(domains); do [ "$domain-db" = "$old" ] || break; done
	signal "$old" STOP
	partition "$domain"
	cut_us=$(mono_us)
	sleep 2
	heal_us=$(mono_us)
	partition_heal
	wait_for $GAP_TARGET_S promoted_from "$old" "$(proxies_of "$domain")" ||
		fail "$SITE double: $old was frozen and is still the primary"
	new=$(primary_at "$(proxies_of "$domain")")
	sleep 0.5
	signal "$old" CONT
	sleep 0.5
	signal "$new" STOP
	partition "${DOMAIN[$new]}"
	again_us=$(mono_us)
	wait_for $GAP_TARGET_S promoted_from "$new" "$(proxies_of $(others "${DOMAIN[$new]}") | head -1)" ||
		fail "$SITE double: $new was frozen and cut off and is still the primary"
	sleep 1
	signal "$new" CONT
	sleep 0.5
	partition_heal
	sleep 2
	finish double
	# The clock has a resolution of 10 ms, so a write confirmed just before the cut may seem to have
	# ended just after it.
	expect_at_most "$SITE double: writes acknowledged without a majority" \
		"$(writes double ran "$((cut_us + 10000))" "$heal_us")" 0
	expect_at_most "$SITE double: ms to a write after the cut healed" \
		"$(write_after double "$heal_us")" $((GAP_TARGET_S * 1000))
	expect_at_most "$SITE double: ms to a write after the second freeze" \
		"$(write_after double "$again_us")" $((GAP_TARGET_S * 1000))
	say "$SITE double: $old, then $new replaced; writes $(write_after double "$heal_us") ms after" \
		"the first heal, $(write_after double "$again_us") ms after the second freeze and cut"
	report double
}

inner_source() { echo "$NET.$((200 + $(domain_net "$1" | cut -d. -f3))).1"; }

run_site() { # SITE NET
	export LINKS=1 SITE_NET=$2
	. tests/lib.sh
	declare -A LOADS
	HISTORIES=()
	LOAD_SEED=$((SEED * 100))
	case $1 in
	quabbin) DATABASE=jobs CUSTOMER=shop-front FAR_DATABASE=shipping REPORTER=night-reports ;;
	trentvale) DATABASE=checkins CUSTOMER=habit-app FAR_DATABASE=rewards REPORTER=habit-insights ;;
	esac
	site_start "$1" 1
	read -r P1 _ <<<"$PROXIES"
	FRONT=$(credential $CUSTOMER)
	REPORTS=$(credential $REPORTER)
	FAR_PRIMARY=$(for domain in $(domains); do
		[ "${REGION[$domain]}" = "$STORE_REGION" ] || echo "$domain-db"
	done)
	load_of first "$(domains | tr '\n' ' ')" "$NET.200.1" --setup --rate 100 --roam
	statement "$P1" "$REPORTS" "" $FAR_DATABASE \
		'{"sql":"CREATE TABLE note(text)","kind":"write"}' >/dev/null
	BYTES=$(link_bytes)
	sleep 3
	finish first
	expect_at_least "$SITE: bytes over the relay between the regions" "$(link_bytes | cut -d' ' -f1)" 1
	say "$SITE first: bytes between the regions from and to the store's region before and after:" \
		"$BYTES, $(link_bytes)"
	report first
	for step in ${CASES:-primary region config double}; do
		BYTES=$(link_bytes)
		BEGIN=$(now_ms)
		case $step in
		primary) case_cut primary "${DOMAIN[$(primary_at "$P1")]}" ;;
		region)
			hand_over_from "${FAR_PRIMARY%-db}"
			case_cut region "${FAR_PRIMARY%-db}"
			;;
		config) case_config ;;
		double) case_double ;;
		esac
		say "$SITE $step: $(($(now_ms) - BEGIN)) ms, bytes between the regions before and after:" \
			"$BYTES, $(link_bytes)"
	done
	say "$SITE: transactions rolled back by endpoints after 10 s without their proxy:" \
		"$(cat "$WORK"/*-db.log | grep '"connection_idle"' | grep -c '"in_transaction":true')"
	verdict
}

broken=0
RUNS=()
for site in ${SITES:-quabbin:3 trentvale:4}; do
	(run_site "${site%:*}" "$((${site#*:} + ${SITE_NET_BASE:-0}))") &
	RUNS+=($!)
done
for run in "${RUNS[@]}"; do wait "$run" || broken=$((broken + 1)); done
[ $broken -eq 0 ]
