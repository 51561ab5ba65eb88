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
    const auto previous = service_by_node_.find(node);
    const bool serves = !coordination::is_gone(record.state) &&
                        record.target == target_state::ready;
    if (previous != service_by_node_.end() &&
        (!serves || previous->second != record.service)) {
        remove(node, previous->second);
        service_by_node_.erase(previous);
    }
    if (!serves)
        return;
    service_by_node_[node] = record.service;
    auto& entry = services_[record.service];
    entry.targets[node] = {record.region,
                           {node, record.domain, record.slots},
                           record.state == member_state::suspect};
    entry.is_stale = true;
}

void call_router::refresh(time_point now, service_entry& entry) {
    // In order of preference: the local region, then other regions. Suspected
    // nodes are used only when there is no other.
    std::vector<overload::candidate> local_region;
    std::vector<overload::candidate> other_regions;
    std::vector<overload::candidate> suspects;
    for (const auto& [node, it] : entry.targets) {
        auto& group = it.is_suspect          ? suspects
                      : it.region == region_ ? local_region
                                             : other_regions;
        group.push_back(it.candidate);
    }
    if (!entry.balancer)
        entry.balancer.emplace(options_, self_, domain_);
    const auto& preferred =
        !local_region.empty()
            ? local_region
            : (!other_regions.empty() ? other_regions : suspects);
    entry.balancer->update(preferred, now);
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
    return it->second.balancer->pick(now, tried, random);
}

overload::balancer* call_router::find(const service_name& service) {
    const auto it = services_.find(service);
    if (it == services_.end() || !it->second.balancer)
        return nullptr;
    return &*it->second.balancer;
}

std::size_t call_router::known_targets(const service_name& service) const {
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.targets.size();
}

std::vector<service_name> call_router::services() const {
    std::vector<service_name> names;
    for (const auto& [name, entry] : services_)
        if (!entry.targets.empty())
            names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace redwingwind::engine
