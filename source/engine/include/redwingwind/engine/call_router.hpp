#pragma once

#include <redwingwind/coordination/member.hpp>
#include <redwingwind/overload/balancer.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::engine {

/// Knows which nodes serve which service and keeps a load balancer for each
/// service that this node calls.
class call_router {
  public:
    call_router(overload::balancer_options options, node_name self,
                region_name region, failure_domain_name domain);

    /// Adds or updates the record of a node, which may be this node itself.
    void on_member(const coordination::member_record& record);

    /// Picks a node that serves the service and is not in tried. Empty when
    /// there is none.
    std::optional<node_name> pick(time_point now, const service_name& service,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random);

    /// The balancer to which replies and failures of a service's calls are
    /// reported; null when no call to the service was routed yet.
    overload::balancer* find(const service_name& service);

    /// Number of known targets of the service that are ready.
    std::size_t known_targets(const service_name& service) const;
    std::vector<service_name> services() const;

  private:
    struct target {
        region_name region;
        overload::candidate candidate;
        bool is_suspect{};
    };
    struct service_entry {
        std::map<node_name, target> targets;
        std::optional<overload::balancer> balancer;
        bool is_stale{true};
    };

    void remove(const node_name& node, const service_name& service);
    void refresh(time_point now, service_entry& entry);

    overload::balancer_options options_;
    node_name self_;
    region_name region_;
    failure_domain_name domain_;
    std::unordered_map<service_name, service_entry> services_;
    std::unordered_map<node_name, service_name> service_by_node_;
};

} // namespace redwingwind::engine
