#include <redwingwind/overload/balancer.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr double cold_share = 0.1;
/// Load, in calls per slot, from which other failure domains are used too.
constexpr double busy_load = 0.9;
constexpr std::uint32_t most_doublings = 4;

} // namespace

balancer::balancer(balancer_options options, node_name self,
                   failure_domain_name own_domain)
    : options_(options), self_(std::move(self)),
      own_domain_(std::move(own_domain)) {}

void balancer::update(const std::vector<candidate>& all, time_point now) {
    std::vector<candidate> chosen = all;
    const auto score = [&](const candidate& it) {
        return digest(it.node.value, digest(self_.value));
    };
    const auto before = [&](const candidate& a, const candidate& b) {
        const bool own_a = a.domain == own_domain_;
        const bool own_b = b.domain == own_domain_;
        if (own_a != own_b)
            return own_a;
        return score(a) < score(b);
    };
    std::sort(chosen.begin(), chosen.end(), before);
    // Half of the subset stays open for other failure domains.
    if (chosen.size() > options_.subset) {
        const auto own = std::count_if(
            chosen.begin(), chosen.end(),
            [&](const candidate& it) { return it.domain == own_domain_; });
        const auto keep = std::min<std::ptrdiff_t>(
            own, static_cast<std::ptrdiff_t>(options_.subset / 2));
        chosen.erase(chosen.begin() + keep, chosen.begin() + own);
        chosen.resize(std::min(chosen.size(), options_.subset));
    }
    // The first ones known have run for who knows how long.
    const auto since = known_.empty() ? time_point{} : now;
    std::unordered_map<node_name, state> next;
    for (const auto& it : chosen) {
        state entry{it, since, {0, 0, std::max(it.slots, 1U)}, 0, 0, 0,
                    {}, false};
        const auto old = known_.find(it.node);
        if (old != known_.end()) {
            entry = old->second;
            entry.who = it;
        }
        next.emplace(it.node, entry);
    }
    known_ = std::move(next);
}

double balancer::load_of(const state& it, time_point now) const {
    const double limit = std::max(it.load.limit, 1U);
    const double told = it.load.running + it.load.queued;
    const double mine = it.outstanding;
    const double base = (std::max(told, mine) + mine + 1) / (limit + 1);
    const double age =
        seconds(now - it.since) / std::max(seconds(options_.slow_start), 1e-6);
    return base / std::clamp(age, cold_share, 1.0);
}

std::size_t balancer::ejected(time_point now) const {
    return std::count_if(known_.begin(), known_.end(), [&](const auto& it) {
        return it.second.ejected_until > now;
    });
}

std::optional<node_name> balancer::pick(time_point now,
                                        const std::vector<node_name>& tried,
                                        const random_hook& random) const {
    const bool too_many =
        double(ejected(now)) >
        (1 - options_.min_available_share) * double(known_.size());
    std::vector<const state*> near;
    std::vector<const state*> all;
    for (const auto& [node, it] : known_) {
        if (it.is_draining ||
            std::find(tried.begin(), tried.end(), node) != tried.end())
            continue;
        if (it.ejected_until > now && !too_many)
            continue;
        all.push_back(&it);
        if (it.who.domain == own_domain_ && load_of(it, now) < busy_load)
            near.push_back(&it);
    }
    const auto& from = near.empty() ? all : near;
    if (from.empty())
        return std::nullopt;
    const auto* a = from[random() % from.size()];
    const auto* b = from[random() % from.size()];
    return load_of(*b, now) < load_of(*a, now) ? b->who.node : a->who.node;
}

void balancer::on_sent(const node_name& node) {
    if (const auto it = known_.find(node); it != known_.end())
        ++it->second.outstanding;
}

void balancer::on_reply(const node_name& node, const load_report& load) {
    const auto it = known_.find(node);
    if (it == known_.end())
        return;
    auto& entry = it->second;
    entry.load = load;
    entry.outstanding -= entry.outstanding > 0 ? 1 : 0;
    entry.failures = 0;
    entry.ejections = 0;
    entry.ejected_until = {};
}

void balancer::on_failure(const node_name& node, time_point now) {
    const auto it = known_.find(node);
    if (it == known_.end())
        return;
    auto& entry = it->second;
    entry.outstanding -= entry.outstanding > 0 ? 1 : 0;
    if (++entry.failures < options_.failures_to_eject)
        return;
    entry.failures = 0;
    const auto times = 1U << std::min(entry.ejections, most_doublings);
    entry.ejected_until = now + options_.ejection * times;
    ++entry.ejections;
}

void balancer::on_abandoned(const node_name& node) {
    const auto it = known_.find(node);
    if (it != known_.end() && it->second.outstanding > 0)
        --it->second.outstanding;
}

void balancer::mark_draining(const node_name& node) {
    if (const auto it = known_.find(node); it != known_.end())
        it->second.is_draining = true;
}

} // namespace redwingwind::overload
