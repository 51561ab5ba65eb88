#include <redwingwind/relay/route_table.hpp>

#include <algorithm>

namespace redwingwind::relay {
namespace {

std::string key_of(std::string_view host, std::string_view prefix) {
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    for (const char c : host)
        key.push_back(c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A'))
                                           : c);
    key.push_back('\n');
    key.append(prefix);
    return key;
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.rfind(':'));
}

} // namespace

route_table::route_table(std::shared_ptr<const traffic_policy> policy)
    : policy_(std::move(policy)) {
    for (std::size_t n = 0; n < policy_->routes.size(); ++n) {
        const auto& it = policy_->routes[n];
        indexes_.emplace(key_of(it.host, it.path_prefix), n);
    }
}

std::size_t route_table::find(std::string_view host,
                              std::string_view target) const {
    const auto path = target.substr(0, target.find('?'));
    for (const auto name : {host, without_port(host)}) {
        auto key = key_of(name, path);
        const auto host_end = name.size() + 1;
        while (true) {
            const auto slash = key.rfind('/');
            if (slash == std::string::npos || slash < host_end)
                break;
            key.resize(slash + 1);
            if (const auto it = indexes_.find(key); it != indexes_.end())
                return it->second;
            key.resize(slash);
        }
        if (name.find(':') == std::string_view::npos)
            break;
    }
    return npos;
}

const service_name& weighted_round_robin::next(const route& of) {
    if (of.service_weights.size() == 1)
        return of.service_weights.front().service;
    credits_.resize(of.service_weights.size(), 0.0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < of.service_weights.size(); ++n) {
        credits_[n] += of.service_weights[n].weight;
        total += of.service_weights[n].weight;
        if (credits_[n] > credits_[best])
            best = n;
    }
    credits_[best] -= total;
    return of.service_weights[best].service;
}

} // namespace redwingwind::relay
