#include <redwingwind/overload/policy.hpp>

namespace redwingwind::overload {

const route_rule* find_rule(const graph_policy& policy,
                            const service_name& service,
                            std::string_view path) {
    const route_rule* best = nullptr;
    for (const auto& rule : policy.routes) {
        if (rule.service != service || !path.starts_with(rule.path_prefix))
            continue;
        if (best == nullptr ||
            rule.path_prefix.size() > best->path_prefix.size())
            best = &rule;
    }
    return best;
}

double weight_of(const graph_policy& policy, const owner_name& owner) {
    for (const auto& it : policy.owners)
        if (it.owner == owner)
            return it.weight;
    return 1.0;
}

} // namespace redwingwind::overload
