// How relay_daemon connects the owner limiter with policy, members and links.

#include "relay_daemon.hpp"

#include <redwingwind/coordination/allowance.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace redwingwind::node {

using coordination::member_state;

namespace {

/// A node that is gone keeps its part of the limits for this long, as it may
/// be cut off and use it. It doesn't when it left.
constexpr duration gone_node_retention = std::chrono::minutes(10);

} // namespace

coordination::owner_limiter::hooks relay_daemon::owner_limiter_hooks() {
    coordination::owner_limiter::hooks h;
    h.send = [this](const node_name& to, const coordination::frame& message) {
        send_frame(to, message);
    };
    h.decide = [this](std::uint64_t call,
                      const coordination::allowance_decision& decision) {
        call_router_->on_allowance(steady_now(), call, decision);
    };
    h.random = random_;
    return h;
}

void relay_daemon::send_frame(const node_name& to,
                              const coordination::frame& message) {
    const auto* record = members_->find(to);
    if (record != nullptr && !coordination::is_gone(record->state))
        links_->send(*record, message);
}

void relay_daemon::set_owner_limits(const relay::traffic_policy& policy) {
    std::vector<coordination::owner_limit> limits;
    for (const auto& it : policy.owners)
        if (it.is_limited())
            limits.push_back({it.name, it.rate_per_s, it.burst});
    if (limits.empty() && !owner_limiter_->has_limits())
        return;
    owner_limiter_->set_limits(steady_now(), limits);
    update_fleet();
}

void relay_daemon::update_fleet() {
    // Also without limits: the settle time counts from when the view last
    // grew, not from when limits appeared.
    if (!owner_limiter_)
        return;
    const auto now = steady_now();
    coordination::fleet_view fleet;
    fleet.live = {settings_.self.id.name};
    fleet.is_only_listed = is_only_listed_;
    // Lives of one node have its address in common.
    std::set<coordination::address> addresses{settings_.self.endpoint};
    std::set<coordination::address> met{settings_.self.endpoint};
    for (const auto& it : members_->all()) {
        met.insert(it.endpoint);
        if (!coordination::is_gone(it.state)) {
            fleet.live.push_back(it.id.name);
            gone_since_.erase(it.id.name);
            addresses.insert(it.endpoint);
            continue;
        }
        const auto since = gone_since_.try_emplace(it.id.name, now);
        if (it.state != member_state::left &&
            now - since.first->second < gone_node_retention)
            addresses.insert(it.endpoint);
    }
    std::erase_if(gone_since_, [this](const auto& it) {
        return members_->find(it.first) == nullptr;
    });
    std::sort(fleet.live.begin(), fleet.live.end());
    const auto reached = static_cast<std::size_t>(std::count_if(
        contacts_.begin(), contacts_.end(),
        [&](const coordination::address& it) { return met.contains(it); }));
    fleet.nodes = coordination::estimate_nodes(addresses.size(),
                                               contacts_.size(), reached);
    owner_limiter_->set_fleet(now, std::move(fleet));
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::share_frame& message) {
    owner_limiter_->receive(steady_now(), from.name, message);
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::share_reply_frame& message) {
    owner_limiter_->receive(steady_now(), from.name, message);
}

void relay_daemon::receive(
    const node_incarnation& from,
    const coordination::allowance_request_frame& message) {
    owner_limiter_->receive(steady_now(), from.name, message);
}

void relay_daemon::receive(const node_incarnation& from,
                           const coordination::allowance_reply_frame& message) {
    owner_limiter_->receive(steady_now(), from.name, message);
}

void relay_daemon::log_owner_limits() {
    if (!owner_limiter_->has_limits())
        return;
    update_fleet();
    const auto it = owner_limiter_->state(steady_now());
    if (it.limited_owners == 0)
        return;
    log_event(log_channel::node, log_level::info, "owner_limits",
              {{"limited_owners", it.limited_owners},
               {"granted_here", it.granted_owners},
               {"nodes", it.nodes},
               {"is_settled", it.is_settled},
               {"waiting", it.waiting},
               {"granted", it.counters.granted},
               {"refused", it.counters.refused},
               {"expired", it.counters.expired},
               {"returned", it.counters.returned},
               {"waited", it.counters.waited},
               {"without_grantor", it.counters.without_grantor},
               {"requests", it.counters.requests}});
}

} // namespace redwingwind::node
