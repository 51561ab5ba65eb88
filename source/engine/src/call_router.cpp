#include <redwingwind/engine/call_router.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::engine {

using coordination::member_record;
using coordination::member_state;
using coordination::target_state;

call_router::call_router(overload::balancer_options options, node_name self,
                         region_name region, failure_domain_name domain)
    : options_(options), self_(std::move(self)), region_(std::move(region)),
      domain_(std::move(domain)) {}

void call_router::remove(const node_name& node, const service_name& service) {
    const auto it = services_.find(service);
    if (it == services_.end())
        return;
    it->second.targets.erase(node);
    it->second.is_stale = true;
}

void call_router::on_member(const member_record& record) {
    const auto& node = record.id.name;
    const auto known = serves_.find(node);
    const bool serves = !coordination::is_gone(record.state) &&
                        record.target == target_state::ready;
    if (known != serves_.end() &&
        (!serves || known->second != record.service)) {
        remove(node, known->second);
        serves_.erase(known);
    }
    if (!serves)
        return;
    serves_[node] = record.service;
    auto& entry = services_[record.service];
    entry.targets[node] = {record.region,
                           {node, record.domain, record.slots},
                           record.state == member_state::suspect};
    entry.is_stale = true;
}

void call_router::refresh(time_point now, service_entry& entry) {
    // Best first: own region, any region, and suspects when there is no other.
    std::vector<overload::candidate> near;
    std::vector<overload::candidate> far;
    std::vector<overload::candidate> suspects;
    for (const auto& [node, it] : entry.targets) {
        auto& group = it.is_suspect          ? suspects
                      : it.region == region_ ? near
                                             : far;
        group.push_back(it.candidate);
    }
    if (!entry.balance)
        entry.balance.emplace(options_, self_, domain_);
    const auto& best = !near.empty() ? near : (!far.empty() ? far : suspects);
    entry.balance->update(best, now);
    entry.is_stale = false;
}

std::optional<node_name> call_router::pick(time_point now,
                                           const service_name& service,
                                           const std::vector<node_name>& tried,
                                           const random_hook& random) {
    const auto it = services_.find(service);
    if (it == services_.end())
        return std::nullopt;
    if (it->second.is_stale)
        refresh(now, it->second);
    return it->second.balance->pick(now, tried, random);
}

overload::balancer* call_router::find(const service_name& service) {
    const auto it = services_.find(service);
    if (it == services_.end() || !it->second.balance)
        return nullptr;
    return &*it->second.balance;
}

std::size_t call_router::known_targets(const service_name& service) const {
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.targets.size();
}

std::vector<service_name> call_router::services() const {
    std::vector<service_name> all;
    for (const auto& [name, entry] : services_)
        if (!entry.targets.empty())
            all.push_back(name);
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace redwingwind::engine
