#ifndef BC_FAILOVER_MODEL_ENDPOINTS_H
#define BC_FAILOVER_MODEL_ENDPOINTS_H

// The endpoints of the model and their replication. Included by failover_model.h.

namespace model
{

inline rte_row Group::row_of(const Endpoint &endpoint) const
{
	rte_row row = {};
	const size_t length = endpoint.log.size();

	row.is_primary = endpoint.is_primary;
	row.term = endpoint.term;
	row.promised = endpoint.promised;
	if (length)
		row.log = {endpoint.log.back().term, length};
	if (endpoint.applied)
		row.applied = {endpoint.log[endpoint.applied - 1].term, endpoint.applied};
	if (endpoint.primary >= 0)
		snprintf(row.primary, sizeof(row.primary), "e%d", endpoint.primary);
	if (!endpoint.is_primary)
		row.contact_ms = (uint32_t)((now_us_ - endpoint.contact_us) / ms);
	if (defects_.contact_times_too_long)
		row.contact_ms += 600;
	return row;
}

inline bool Group::log_holds(const Endpoint &endpoint, bc_position position) const
{
	if (position.pos == 0 || endpoint.log.size() < position.pos)
		return false;
	return defects_.position_without_term ||
	       endpoint.log[position.pos - 1].term == position.term;
}

inline void Group::run_position(Endpoint &endpoint, bc_position at_least, Reply &reply) const
{
	reply.has_position = log_holds(endpoint, at_least);
	reply.row = row_of(endpoint);
}

inline void Group::run_fence(Endpoint &endpoint, uint64_t term, const std::string &candidate,
			     Reply &reply)
{
	const bool again = term == endpoint.promised &&
			   (candidate == endpoint.promised_to || defects_.term_granted_twice);

	reply.ok = term > endpoint.promised || again;
	if (!reply.ok)
		return;
	endpoint.promised = term;
	endpoint.promised_to = candidate;
}

inline void Group::run_promote(Endpoint &endpoint, uint64_t term, const std::string &candidate,
			       Reply &reply)
{
	reply.ok = endpoint.promised == term && endpoint.promised_to == candidate;
	if (!reply.ok || (endpoint.is_primary && endpoint.term == term))
		return;
	endpoint.is_primary = true;
	endpoint.term = term;
	endpoint.primary = endpoint.id[1] - '0';
	endpoint.stopped_until_us = 0;
	for (const Confirmed &write : confirmed_)
		if (write.position.term < term &&
		    !contains(endpoint.log, endpoint.log.size(), write))
			fail("a confirmed write is missing in the log of a later primary");
	for (const Promotion &promotion : promotions_)
		if (promotion.term == term && promotion.endpoint != (size_t)endpoint.primary)
			fail("two primaries were promoted in a term");
	promotions_.push_back({term, (size_t)endpoint.primary, endpoint.log});
	endpoint.log.push_back({term, ++next_id_});
	endpoint.applied = endpoint.log.size();
}

inline void Group::run_follow(Endpoint &endpoint, uint64_t term, int primary, Reply &reply)
{
	reply.ok = term >= endpoint.promised && term >= endpoint.term &&
		   !(endpoint.is_primary && endpoint.term == term);
	if (!reply.ok)
		return;
	if (term > endpoint.promised) {
		endpoint.promised = term;
		endpoint.promised_to = "";
	}
	if (endpoint.term != term || endpoint.primary != primary)
		endpoint.contact_us = now_us_;
	endpoint.is_primary = false;
	endpoint.term = term;
	endpoint.primary = primary;
}

inline void Group::run_step_down(Endpoint &endpoint, uint64_t term, Reply &reply)
{
	reply.ok = endpoint.is_primary && endpoint.term == term;
	if (reply.ok)
		endpoint.stopped_until_us = now_us_ + 2000 * ms;
}

inline bool Group::run_write(Endpoint &endpoint, uint64_t term, Reply &reply)
{
	reply.ok = endpoint.is_primary && endpoint.term == term && endpoint.promised <= term &&
		   now_us_ >= endpoint.stopped_until_us;
	if (reply.ok) {
		reply.entry = ++next_id_;
		endpoint.log.push_back({term, reply.entry});
		endpoint.applied = endpoint.log.size();
		reply.length = endpoint.log.size();
	}
	reply.row = row_of(endpoint);
	return reply.ok;
}

// Lets each replica fetch entries from the primary that it follows.
inline void Group::replicate()
{
	for (Endpoint &endpoint : endpoints_)
		replicate_to(endpoint);
	at(now_us_ + 10 * ms, [this] { replicate(); });
}

inline void Group::replicate_to(Endpoint &endpoint)
{
	if (!endpoint.alive || endpoint.frozen || endpoint.is_primary || endpoint.primary < 0)
		return;
	const Endpoint &primary = endpoints_[(size_t)endpoint.primary];

	if (!primary.alive || primary.frozen || !primary.is_primary ||
	    primary.term != endpoint.term ||
	    peer_disconnected_[(size_t)endpoint.primary][(size_t)(endpoint.id[1] - '0')])
		return;
	endpoint.contact_us = now_us_;
	if (endpoint.promised > endpoint.term && !defects_.accepts_entries_below_promise)
		return;
	if (endpoint.slow && draw(8) != 0)
		return;
	size_t common = std::min(endpoint.log.size(), primary.log.size());

	while (common > 0 && endpoint.log[common - 1].id != primary.log[common - 1].id)
		common--;
	if (common < endpoint.log.size()) {
		endpoint.log.resize(common);
		endpoint.applied = std::min(endpoint.applied, common);
		endpoint.applied_confirmed = 0;
		for (const Confirmed &write : confirmed_)
			check_durable(write);
	}
	for (size_t i = 0; i < 16 && endpoint.log.size() < primary.log.size(); i++)
		endpoint.log.push_back(primary.log[endpoint.log.size()]);
	if (draw(4) != 0)
		endpoint.applied = endpoint.log.size();
}

} // namespace model

#endif
