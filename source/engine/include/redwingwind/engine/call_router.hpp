#pragma once

#include <redwingwind/coordination/member.hpp>
#include <redwingwind/overload/balancer.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::engine {

/// Which nodes serve which service, and a balancer for each service that is
/// called from here.
class call_router {
  public:
    call_router(overload::balancer_options options, node_name self,
                region_name region, failure_domain_name domain);

    /// A node, this one included, became known or changed.
    void on_member(const coordination::member_record& record);

    /// Nothing when no node outside tried serves the service.
    std::optional<node_name> pick(time_point now, const service_name& service,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random);

    /// For reporting replies and failures; null for an unknown service.
    overload::balancer* find(const service_name& service);

    /// Ready targets of a service that are known.
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
        std::optional<overload::balancer> balance;
        bool is_stale{true};
    };

    void remove(const node_name& node, const service_name& service);
    void refresh(time_point now, service_entry& entry);

    overload::balancer_options options_;
    node_name self_;
    region_name region_;
    failure_domain_name domain_;
    std::unordered_map<service_name, service_entry> services_;
    std::unordered_map<node_name, service_name> serves_;
};

} // namespace redwingwind::engine
