#ifndef BC_FAILOVER_MODEL_PROXIES_H
#define BC_FAILOVER_MODEL_PROXIES_H

// The proxies of the model, their traffic and the network. Included by failover_model.h.

namespace model
{

inline void Group::proxy_start(Proxy &proxy)
{
	static const fov_ops failover_ops = {[](void *data, const fov_call *call) {
						     auto *self = static_cast<Proxy *>(data);
						     self->group->order(*self, *call);
					     },
					     nullptr};
	static const quo_ops quorum_ops = {
		[](void *data, const char *, const char *endpoint, bc_position at_least,
		   uint32_t wait_ms) {
			auto *self = static_cast<Proxy *>(data);
			self->group->poll(*self, (size_t)(endpoint[1] - '0'), at_least, wait_ms);
		},
		[](void *data, uint64_t waiter, bc_status status) {
			auto *self = static_cast<Proxy *>(data);
			self->group->done(*self, waiter, status);
		}};
	std::vector<const char *> ids;
	json_t *list = json_array();
	json_t *members = json_array();

	proxy.incarnation++;
	proxy.candidate =
		"p" + std::to_string(proxy.index) + "." + std::to_string(proxy.incarnation);
	proxy.ctx = bc_ctx_create(options_.seed + proxy.index * 1000 + proxy.incarnation);
	proxy.fov = fov_create(proxy.ctx, proxy.candidate.c_str(), &failover_ops, &proxy);
	proxy.quo = quo_create(proxy.ctx, &quorum_ops, &proxy);
	proxy.rte = rte_create(proxy.ctx, "d0", "r0");
	for (const Endpoint &endpoint : endpoints_) {
		ids.push_back(endpoint.id.c_str());
		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id",
						      endpoint.id.c_str(), "address", "10.0.0.1:1",
						      "domain", endpoint.id.c_str(), "region", "r0",
						      "slots", 2, "connections", 16));
		json_array_append_new(members, json_string(endpoint.id.c_str()));
	}
	json_t *groups = json_pack("{s:o,s:[{s:s,s:o}]}", "endpoints", list, "groups", "database",
				   "db", "members", members);
	if (rte_groups_load(proxy.rte, groups) != BC_OK)
		fail("the groups object was refused");
	json_decref(groups);
	fov_group_set(proxy.fov, "db", ids.data(), ids.size());
	quo_group_set(proxy.quo, "db", ids.data(), ids.size());
	int32_t rank = options_.equal_ranks ? 0 : (int32_t)proxy.index;

	fov_rank_set(proxy.fov, "db", defects_.no_promoter ? FOV_NO_RANK : rank);
	for (size_t i = 0; i < endpoints_.size(); i++) {
		fov_leaving_set(proxy.fov, ids[i], leaving_[i]);
		rte_leaving_set(proxy.rte, ids[i], leaving_[i]);
	}
	tick(proxy);
	probe(proxy);
	traffic(proxy);
}

inline void Group::proxy_stop(Proxy &proxy)
{
	fov_destroy(proxy.fov);
	quo_destroy(proxy.quo);
	rte_destroy(proxy.rte);
	bc_ctx_destroy(proxy.ctx);
	proxy.incarnation++;
}

// Calls a handler on a proxy now, or when its pause ends, unless the proxy was restarted meanwhile.
inline void Group::deliver(size_t proxy, uint64_t incarnation, const std::function<void()> &handler)
{
	if (proxies_[proxy]->incarnation != incarnation)
		return;
	if (now_us_ < proxies_[proxy]->paused_until_us) {
		at(proxies_[proxy]->paused_until_us,
		   [this, proxy, incarnation, handler] { deliver(proxy, incarnation, handler); });
		return;
	}
	handler();
}

inline void Group::tick(Proxy &proxy)
{
	uint32_t silent = 0;

	for (auto &other : proxies_)
		if (other->fov && fov_primary_silent(other->fov, "db", now_us_))
			silent++;
	fov_peer_counts_set(proxy.fov, "db", silent, (uint32_t)proxies_.size());
	fov_tick(proxy.fov, now_us_);
	quo_tick(proxy.quo, now_us_);
	at(now_us_ + 20 * ms, [this, &proxy, incarnation = proxy.incarnation] {
		deliver(proxy.index, incarnation, [this, &proxy] { tick(proxy); });
	});
}

inline void Group::report_route(Proxy &proxy, size_t endpoint, const rte_row &row, uint64_t sent_us)
{
	rte_row seen = row;

	if (defects_.promise_ignored_in_samples)
		seen.promised = 0;
	if (defects_.mark_without_term)
		seen.applied.term = UINT64_MAX;
	if (defects_.sample_counts_any_answer && !seen.is_primary) {
		seen.term = 1;
		seen.promised = 0;
	}
	rte_report(proxy.rte, endpoints_[endpoint].id.c_str(), "db", &seen,
		   defects_.sample_age_from_receipt ? now_us_ : sent_us, now_us_);
}

inline void Group::report_quorum(Proxy &proxy, size_t endpoint, const rte_row &row,
				 bc_position held, uint64_t sent_us)
{
	rte_row seen = row;

	if (defects_.holder_ignores_promise)
		seen.term = seen.promised = 0;
	// With the promise reported, quorum would not count the entries that follow it.
	if (defects_.accepts_entries_below_promise)
		seen.promised = seen.term;
	quo_report(proxy.quo, "db", endpoints_[endpoint].id.c_str(), &seen, held, sent_us, now_us_);
}

inline void Group::probe(Proxy &proxy)
{
	const uint64_t sent_us = now_us_;

	for (size_t i = 0; i < endpoints_.size(); i++) {
		const char *id = endpoints_[i].id.c_str();
		Request request = [this](Endpoint &endpoint, Reply &reply) {
			reply.row = row_of(endpoint);
			return true;
		};
		Handler handler = [this, &proxy, i, id, sent_us](const Reply *reply, bool) {
			if (!reply) {
				fov_report(proxy.fov, "db", id, nullptr, sent_us, now_us_);
				rte_unreachable(proxy.rte, id, now_us_);
				return;
			}
			report_route(proxy, i, reply->row, sent_us);
			report_quorum(proxy, i, reply->row, {0, 0}, sent_us);
			fov_report(proxy.fov, "db", id, &reply->row, sent_us, now_us_);
		};

		send(proxy, i, 300 * ms, request, handler);
	}
	at(now_us_ + 200 * ms, [this, &proxy, incarnation = proxy.incarnation] {
		deliver(proxy.index, incarnation, [this, &proxy] { probe(proxy); });
	});
}

// Sends writes and reads every 50 to 149 ms.
inline void Group::traffic(Proxy &proxy)
{
	if (!proxy.writes_stopped)
		write_routed(proxy);
	read_replica(proxy);
	if (draw(4) == 0)
		read_strong(proxy);
	check_ages();
	at(now_us_ + (50 + draw(100)) * ms, [this, &proxy, incarnation = proxy.incarnation] {
		deliver(proxy.index, incarnation, [this, &proxy] { traffic(proxy); });
	});
}

inline void Group::write_routed(Proxy &proxy)
{
	rte_criteria want = {};
	rte_choice choice;

	want.database = "db";
	want.write = true;
	if (rte_choose(proxy.rte, &want, now_us_, &choice) == RTE_CHOSEN)
		write(proxy, (size_t)(choice.endpoint[1] - '0'), choice.term);
}

inline void Group::write(Proxy &proxy, size_t endpoint, uint64_t term)
{
	const uint64_t sent_us = now_us_;
	auto ran = std::make_shared<bool>(false);
	// An endpoint runs a statement at most once for each connection.
	Request request = [this, term, ran](Endpoint &at_endpoint, Reply &reply) {
		if (!*ran && run_write(at_endpoint, term, reply))
			*ran = true;
		return true;
	};
	Handler handler = [this, &proxy, endpoint, term, sent_us](const Reply *reply, bool first) {
		if (!reply || !reply->ok || !first)
			return;
		const char *id = endpoints_[endpoint].id.c_str();
		bc_position position = {term, reply->length};
		quo_wait wait = {++next_id_, "db", position, id, 0, now_us_ + 2000 * ms};

		pending_confirmations_[wait.waiter] = {proxy.index, false,	  true,
						       position,    reply->entry, sent_us};
		quo_wait_add(proxy.quo, &wait, now_us_);
		if (defects_.ack_without_majority)
			for (size_t i = 0; i < endpoints_.size(); i++)
				report_quorum(proxy, i, reply->row, position, sent_us);
	};

	send(proxy, endpoint, 1000 * ms, request, handler);
}

inline void Group::read_replica(Proxy &proxy)
{
	static const uint64_t limits[] = {RTE_AGE_ANY, 5000 * ms, 500 * ms};
	const Confirmed *mark = nullptr;
	rte_criteria want = {};
	rte_choice choice;

	want.database = "db";
	want.replicas_allowed = true;
	const uint64_t limit_us = limits[draw(3)];

	want.max_age_us = defects_.age_limit_ignored ? RTE_AGE_ANY : limit_us;
	if (!confirmed_.empty()) {
		size_t back = draw(2) ? 0 : draw(confirmed_.size());

		mark = &confirmed_[confirmed_.size() - 1 - back];
		want.mark = mark->position;
	}
	if (rte_choose(proxy.rte, &want, now_us_, &choice) != RTE_CHOSEN || choice.is_primary)
		return;

	const Endpoint &endpoint = endpoints_[(size_t)(choice.endpoint[1] - '0')];

	if (mark && !contains(endpoint.log, endpoint.applied, *mark))
		fail("a replica was chosen that lacks the mark's entry");
	if (limit_us != RTE_AGE_ANY && choice.age_us > limit_us)
		fail("a replica was chosen beyond the age limit");
	read_replica_at(proxy, (size_t)(choice.endpoint[1] - '0'));
}

// Reads from a replica. The observed position is confirmed before the answer, and must then be
// durable.
inline void Group::read_replica_at(Proxy &proxy, size_t index)
{
	const uint64_t sent_us = now_us_;
	Request request = [this](Endpoint &endpoint, Reply &reply) {
		reply.row = row_of(endpoint);
		reply.ok = endpoint.applied > 0;
		reply.entry = reply.ok ? endpoint.log[endpoint.applied - 1].id : 0;
		return true;
	};
	Handler handler = [this, &proxy, index, sent_us](const Reply *reply, bool first) {
		if (!reply || !reply->ok || !first)
			return;
		bc_position position = reply->row.applied;
		quo_wait wait = {++next_id_, "db", position, nullptr, 0, now_us_ + 2000 * ms};

		if (defects_.read_replica_is_holder)
			wait.holder = endpoints_[index].id.c_str();
		pending_confirmations_[wait.waiter] = {proxy.index, false,	  true,
						       position,    reply->entry, 0};
		quo_wait_add(proxy.quo, &wait, now_us_);
	};

	send(proxy, index, 1000 * ms, request, handler);
}

inline void Group::read_strong(Proxy &proxy)
{
	const uint64_t since_us = now_us_;
	rte_criteria want = {};
	rte_choice choice;

	want.database = "db";
	want.strong = true;
	if (rte_choose(proxy.rte, &want, now_us_, &choice) != RTE_CHOSEN)
		return;

	const size_t index = (size_t)(choice.endpoint[1] - '0');
	const uint64_t term = choice.term;
	Request request = [this, term, since_us](Endpoint &endpoint, Reply &reply) {
		reply.row = row_of(endpoint);
		reply.ok = endpoint.is_primary && endpoint.term == term;
		reply.complete = sees_all_until(endpoint, since_us);
		return true;
	};
	Handler handler = [this, &proxy, index, since_us](const Reply *reply, bool first) {
		if (!reply || !reply->ok || !first)
			return;
		quo_wait wait = {++next_id_,
				 "db",
				 reply->row.applied,
				 endpoints_[index].id.c_str(),
				 defects_.no_replacement_check ? 0 : since_us,
				 now_us_ + 2000 * ms};

		pending_confirmations_[wait.waiter] = {proxy.index, true, reply->complete,
						       {0, 0},	    0,	  since_us};
		quo_wait_add(proxy.quo, &wait, now_us_);
	};

	send(proxy, index, 1000 * ms, request, handler);
}

inline void Group::done(Proxy &, uint64_t id, bc_status status)
{
	PendingConfirmation waiter = pending_confirmations_[id];

	pending_confirmations_.erase(id);
	if (status != BC_OK)
		return;
	if (waiter.is_read) {
		if (!waiter.complete)
			fail("a confirmed read on the primary missed a confirmed write");
		return;
	}
	Confirmed write = {waiter.position, waiter.entry, now_us_, waiter.sent_us, waiter.proxy};

	for (const Promotion &promotion : promotions_)
		if (promotion.term > write.position.term &&
		    !contains(promotion.log, promotion.log.size(), write))
			fail("a confirmed write is missing in the log of a later primary");
	confirmed_.push_back(write);
	check_durable(write);
}

inline void Group::poll(Proxy &proxy, size_t endpoint, bc_position at_least, uint32_t wait_ms)
{
	const uint64_t sent_us = now_us_;
	const uint64_t until_us = now_us_ + wait_ms * ms;
	Request request = [this, at_least, until_us](Endpoint &to, Reply &reply) {
		run_position(to, at_least, reply);
		return reply.has_position || now_us_ >= until_us;
	};
	Handler handler = [this, &proxy, endpoint, at_least, sent_us](const Reply *reply,
								      bool first) {
		const char *id = endpoints_[endpoint].id.c_str();

		if (reply) {
			bc_position held = reply->has_position ? at_least : bc_position{0, 0};

			report_route(proxy, endpoint, reply->row, sent_us);
			report_quorum(proxy, endpoint, reply->row, held, sent_us);
		}
		if (first)
			quo_poll_ended(proxy.quo, "db", id, reply != nullptr, now_us_);
	};

	send(proxy, endpoint, wait_ms * ms + 500 * ms, request, handler);
}

inline void Group::order(Proxy &proxy, const fov_call &call)
{
	const size_t index = (size_t)(call.endpoint[1] - '0');
	const int primary = call.primary ? call.primary[1] - '0' : -1;
	const uint64_t id = call.id;
	const uint64_t term = call.term;
	const fov_order kind = call.order;
	const bc_position at_least = call.at_least;
	const uint64_t until_us = now_us_ + call.wait_ms * ms;
	const std::string candidate = proxy.candidate;
	Request request = [=](Endpoint &endpoint, Reply &reply) {
		switch (kind) {
		case FOV_FENCE:
			run_fence(endpoint, term, candidate, reply);
			break;
		case FOV_PROMOTE:
			run_promote(endpoint, term, candidate, reply);
			break;
		case FOV_FOLLOW:
			run_follow(endpoint, term, primary, reply);
			break;
		case FOV_STEP_DOWN:
			run_step_down(endpoint, term, reply);
			break;
		case FOV_POSITION:
			run_position(endpoint, at_least, reply);
			reply.ok = reply.has_position;
			return reply.has_position || now_us_ >= until_us;
		}
		reply.row = row_of(endpoint);
		return true;
	};
	Handler handler = [this, &proxy, id, kind](const Reply *reply, bool) {
		rte_row row = {};

		if (reply)
			row = reply->row;
		if (kind == FOV_FENCE && defects_.longest_log_without_term)
			row.log.term = 1;
		if (kind == FOV_FENCE && defects_.fence_below_majority && !reply)
			fov_answer(proxy.fov, id, true, &row, now_us_);
		fov_answer(proxy.fov, id, reply && reply->ok, reply ? &row : nullptr, now_us_);
	};

	if (kind == FOV_FOLLOW && defects_.follow_orders_lost)
		return;
	// With fence_below_majority, a missing answer is made up before the failover module times
	// out.
	send(proxy, index, defects_.fence_below_majority ? 100 * ms : FOV_CALL_TIMEOUT_US, request,
	     handler);
}

// Network

// Sends a request. The handler is called with first = true once, with the answer or with NULL after
// the timeout, and again with first = false for late and repeated answers.
inline void Group::send(Proxy &proxy, size_t endpoint, uint64_t timeout_us, const Request &request,
			const Handler &handler)
{
	const size_t index = proxy.index;
	const uint64_t incarnation = proxy.incarnation;
	auto shared = std::make_shared<Handler>(handler);
	auto answered = std::make_shared<bool>(false);
	const size_t copies = unreliable_network_ && draw(10) == 0 ? 2 : 1;

	for (size_t i = 0; i < copies; i++)
		if (!unreliable_network_ || draw(10) != 0)
			at(now_us_ + delay(), [=] {
				arrive(index, incarnation, endpoint, request, shared, answered);
			});
	at(now_us_ + timeout_us, [=] {
		deliver(index, incarnation, [=] {
			if (*answered)
				return;
			*answered = true;
			(*shared)(nullptr, true);
		});
	});
}

inline void Group::arrive(size_t proxy, uint64_t incarnation, size_t endpoint,
			  const Request &request, const std::shared_ptr<Handler> &handler,
			  const std::shared_ptr<bool> &answered)
{
	Endpoint &to = endpoints_[endpoint];
	Reply reply;

	if (!to.alive || proxy_disconnected_[proxy][endpoint])
		return;
	if (to.frozen) {
		to.deferred.push_back(
			[=] { arrive(proxy, incarnation, endpoint, request, handler, answered); });
		return;
	}
	if (!request(to, reply)) {
		at(now_us_ + 5 * ms,
		   [=] { arrive(proxy, incarnation, endpoint, request, handler, answered); });
		return;
	}
	if (unreliable_network_ && draw(10) == 0)
		return;
	at(now_us_ + delay(), [=] {
		if (proxy_disconnected_[proxy][endpoint])
			return;
		deliver(proxy, incarnation, [=] {
			const bool first = !*answered;

			*answered = true;
			(*handler)(&reply, first);
		});
	});
}

} // namespace model

#endif
