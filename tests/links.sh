# Part of tests/lib.sh: with LINKS=1, relays the connections between all processes of a site through
# one bc-link process, which adds the site's latencies, partitions failure domains and counts the
# bytes between the regions.
#
# A process that listens on 127.N.x.y is reached at 127.(N+100).x.y. The latencies in docs/design.md
# are taken as round trips, so each direction is delayed by half of them. The platform is at
# 127.N.0.1; its latency is that between failure domains within the store's region. Callers connect
# from 127.N.200.1 or, if they are near the proxies of domain 127.N.D.x, from 127.N.(200+D).1; no
# partition cuts them off. A connection to a domain that is cut off is accepted and then hangs,
# whereas in a real partition connect() would hang.

# domain_net DOMAIN: prints the address prefix of the domain.
domain_net() {
	local net=${ADDRESS[$1-db]}
	echo "${net%.*:*}."
}

domains() { printf '%s\n' "${!REGION[@]}" | sort; }

# links_settings FILE: changes a proxy's settings so that it connects through bc-link.
links_settings() {
	local peers
	peers=$(yaml_value peers "$1")
	sed -i -E "/^(platform|seeds):/s/$NET\./$LINK_NET./g; s/^( *)peers: .*/&\n\1advertised_peers: $(reach "$peers")/" "$1"
}

link_entry() { # NAME ADDRESS
	printf '{"name":"%s","listen":"%s","target":"%s"}' "$1" "$(reach "$2")" "$2"
}

link_list() {
	local id
	link_entry platform "$PLATFORM"
	for id in $ENDPOINTS; do printf ',' && link_entry "$id" "${ADDRESS[$id]}"; done
	for id in $PROXIES; do
		printf ',' && link_entry "callers-$id" "${ADDRESS[$id]}"
		printf ',' && link_entry "peers-$id" "${PEER_ADDRESS[$id]}"
	done
}

# delay_between REGION REGION: prints the one-way delay in milliseconds.
delay_between() { [ "$1" = "$2" ] && echo "$DOMAIN_DELAY_MS" || echo "$REGION_DELAY_MS"; }

rule_list() {
	local a b net
	for a in $(domains); do
		net=$(domain_net "$a")
		printf '{"from":"%s.%d.","to":"%s","delay_ms":%s},' "$NET" \
			$((200 + $(cut -d. -f3 <<<"$net"))) "$net" "$CLIENT_DELAY_MS"
		printf '{"from":"%s","to":"%s.0.","delay_ms":%s},' "$net" "$NET" \
			"$(delay_between "${REGION[$a]}" "$STORE_REGION")"
		for b in $(domains); do
			[ "$a" = "$b" ] || printf '{"from":"%s","to":"%s","delay_ms":%s},' "$net" \
				"$(domain_net "$b")" "$(delay_between "${REGION[$a]}" "${REGION[$b]}")"
		done
	done
	printf '{"from":"%s.200.","to":"%s.","delay_ms":%s}' "$NET" "$NET" "$CLIENT_DELAY_MS"
}

links_start() {
	case $SITE in
	quabbin) DOMAIN_DELAY_MS=0.5 REGION_DELAY_MS=4 CLIENT_DELAY_MS=0.5 STORE_REGION=new-england ;;
	trentvale) DOMAIN_DELAY_MS=0.75 REGION_DELAY_MS=4 CLIENT_DELAY_MS=1.5 STORE_REGION=east-mids ;;
	esac
	LINK_CONTROL=$NET.0.2:8600
	printf '{"links":[%s],"rules":[%s]}' "$(link_list)" "$(rule_list)" >"$WORK/links.json"
	spawn link "$BUILD/bc-link" --listen "$LINK_CONTROL" --links "$WORK/links.json"
	wait_for 5 ctl GET "http://$LINK_CONTROL/control/counters" ||
		fail "bc-link did not start: $(tail -1 "$WORK/link.log")"
}

cut_rule() { printf '{"from":"%s","to":"%s","cut":%s},' "$1" "$2" "$3"; }

# partition DOMAIN...: cuts these domains off from all others; they still reach each other. The
# platform is on the side of these domains if they include all domains of the store's region, else
# on the other side.
partition() {
	local inside=" $* " platform_inside=true rules="" a b
	for a in $(domains); do
		[ "${REGION[$a]}" != "$STORE_REGION" ] || [[ $inside == *" $a "* ]] || platform_inside=false
	done
	for a in $(domains); do
		if [[ $inside == *" $a "* ]]; then b=true; else b=false; fi
		[ $b = $platform_inside ] || rules="$rules$(cut_rule "$(domain_net "$a")" "$NET.0." true)"
		[ $b = true ] || continue
		for b in $(domains); do
			[[ $inside == *" $b "* ]] && continue
			rules="$rules$(cut_rule "$(domain_net "$a")" "$(domain_net "$b")" true)"
			rules="$rules$(cut_rule "$(domain_net "$b")" "$(domain_net "$a")" true)"
		done
	done
	ctl POST "http://$LINK_CONTROL/control" "{\"rules\":[${rules%,}]}" >/dev/null ||
		fail "cannot cut off $*"
}

partition_heal() {
	local rules
	rules=$(grep -oE '"rules":\[.*' "$WORK/links.json" | grep -oE '"from":"[^"]*","to":"[^"]*"' |
		sed 's/.*/{&,"cut":false}/' | paste -sd, -)
	ctl POST "http://$LINK_CONTROL/control" "{\"rules\":[$rules]}" >/dev/null || fail "cannot heal"
}

# link_bytes: prints the bytes sent so far between the regions, from the store's region and to it.
link_bytes() {
	local a away=" " out=0 back=0 from to up down
	for a in $(domains); do
		[ "${REGION[$a]}" = "$STORE_REGION" ] || away="$away$(domain_net "$a") "
	done
	while read -r from to up down; do
		case "$([[ $away == *" $from "* ]] && echo far)-$([[ $away == *" $to "* ]] && echo far)" in
		-far) out=$((out + up)) back=$((back + down)) ;;
		far-) out=$((out + down)) back=$((back + up)) ;;
		esac
	done < <(ctl GET "http://$LINK_CONTROL/control/counters" | tr -d ' \n' |
		grep -oE '"from":"[^}]*' | grep -v "\"from\":\"$NET\.2[0-9][0-9]\." |
		sed -E 's/"from":"([^"]*)","to":"([^"]*)".*"bytes_up":([0-9]+),"bytes_down":([0-9]+).*/\1 \2 \3 \4/')
	echo "$out $back"
}
