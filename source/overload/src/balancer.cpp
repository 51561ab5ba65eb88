#include <redwingwind/overload/balancer.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

/// Share of calls that a new target gets at first.
constexpr double initial_share = 0.1;
/// Load, in calls per slot, from which targets of other failure domains are
/// used as well.
constexpr double busy_load = 0.9;
constexpr std::uint32_t max_doublings = 4;

} // namespace

balancer::balancer(balancer_options options, node_name self,
                   failure_domain_name own_domain)
    : options_(options), self_(std::move(self)),
      own_domain_(std::move(own_domain)) {}

void balancer::update(const std::vector<candidate>& all, time_point now) {
    std::vector<candidate> selected = all;
    const auto score = [&](const candidate& it) {
        return digest(it.node.value, digest(self_.value));
    };
    const auto precedes = [&](const candidate& a, const candidate& b) {
        const bool is_own_a = a.domain == own_domain_;
        const bool is_own_b = b.domain == own_domain_;
        if (is_own_a != is_own_b)
            return is_own_a;
        return score(a) < score(b);
    };
    std::sort(selected.begin(), selected.end(), precedes);
    // Half of the subset is reserved for targets of other failure domains.
    if (selected.size() > options_.subset) {
        const auto own = std::count_if(
            selected.begin(), selected.end(),
            [&](const candidate& it) { return it.domain == own_domain_; });
        const auto keep = std::min<std::ptrdiff_t>(
            own, static_cast<std::ptrdiff_t>(options_.subset / 2));
        selected.erase(selected.begin() + keep, selected.begin() + own);
        selected.resize(std::min(selected.size(), options_.subset));
    }
    // The initial targets may have been running for long and skip the slow
    // start.
    const auto added_at = targets_.empty() ? time_point{} : now;
    std::unordered_map<node_name, target_state> updated;
    for (const auto& it : selected) {
        target_state entry{
            it, added_at, {0, 0, std::max(it.slots, 1U)}, 0, 0, 0, {}, false};
        const auto old = targets_.find(it.node);
        if (old != targets_.end()) {
            entry = old->second;
            entry.target = it;
        }
        updated.emplace(it.node, entry);
    }
    targets_ = std::move(updated);
}

double balancer::load_of(const target_state& it, time_point now) const {
    const double limit = std::max(it.load.limit, 1U);
    const double reported = it.load.running + it.load.queued;
    const double own_calls = it.outstanding;
    const double base =
        (std::max(reported, own_calls) + own_calls + 1) / (limit + 1);
    const double age = seconds(now - it.added_at) /
                       std::max(seconds(options_.slow_start), 1e-6);
    return base / std::clamp(age, initial_share, 1.0);
}

std::size_t balancer::ejected_count(time_point now) const {
    return std::count_if(targets_.begin(), targets_.end(), [&](const auto& it) {
        return it.second.ejected_until > now;
    });
}

std::optional<node_name> balancer::pick(time_point now,
                                        const std::vector<node_name>& tried,
                                        const random_hook& random) const {
    const bool too_many =
        double(ejected_count(now)) >
        (1 - options_.min_available_share) * double(targets_.size());
    std::vector<const target_state*> local;
    std::vector<const target_state*> all;
    for (const auto& [node, it] : targets_) {
        if (it.is_draining ||
            std::find(tried.begin(), tried.end(), node) != tried.end())
            continue;
        if (it.ejected_until > now && !too_many)
            continue;
        all.push_back(&it);
        if (it.target.domain == own_domain_ && load_of(it, now) < busy_load)
            local.push_back(&it);
    }
    const auto& from = local.empty() ? all : local;
    if (from.empty())
        return std::nullopt;
    const auto* a = from[random() % from.size()];
    const auto* b = from[random() % from.size()];
    return load_of(*b, now) < load_of(*a, now) ? b->target.node
                                               : a->target.node;
}

void balancer::on_sent(const node_name& node) {
    if (const auto it = targets_.find(node); it != targets_.end())
        ++it->second.outstanding;
}

void balancer::on_reply(const node_name& node, const load_report& load) {
    const auto it = targets_.find(node);
    if (it == targets_.end())
        return;
    auto& entry = it->second;
    entry.load = load;
    entry.outstanding -= entry.outstanding > 0 ? 1 : 0;
    entry.failures = 0;
    entry.ejections = 0;
    entry.ejected_until = {};
}

void balancer::on_failure(const node_name& node, time_point now) {
    const auto it = targets_.find(node);
    if (it == targets_.end())
        return;
    auto& entry = it->second;
    entry.outstanding -= entry.outstanding > 0 ? 1 : 0;
    if (++entry.failures < options_.failures_to_eject)
        return;
    entry.failures = 0;
    const auto factor = 1U << std::min(entry.ejections, max_doublings);
    entry.ejected_until = now + options_.ejection * factor;
    ++entry.ejections;
}

void balancer::on_abandoned(const node_name& node) {
    const auto it = targets_.find(node);
    if (it != targets_.end() && it->second.outstanding > 0)
        --it->second.outstanding;
}

void balancer::mark_draining(const node_name& node) {
    if (const auto it = targets_.find(node); it != targets_.end())
        it->second.is_draining = true;
}

} // namespace redwingwind::overload
