#include <redwingwind/overload/placement.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr std::uint32_t max_doublings = 3;

} // namespace

placement::target_state* placement::find(const node_name& node) {
    const auto it = index_.find(node);
    return it == index_.end() ? nullptr : &targets_[it->second];
}

void placement::update(const candidate& target) {
    if (auto* known = find(target.node)) {
        known->target = target;
        return;
    }
    index_.emplace(target.node, targets_.size());
    target_state added;
    added.target = target;
    added.load.limit = std::max<std::uint32_t>(target.slots, 1);
    targets_.push_back(std::move(added));
}

void placement::remove(const node_name& node) {
    const auto it = index_.find(node);
    if (it == index_.end())
        return;
    const auto position = it->second;
    index_.erase(it);
    if (position + 1 < targets_.size()) {
        targets_[position] = std::move(targets_.back());
        index_[targets_[position].target.node] = position;
    }
    targets_.pop_back();
}

double placement::occupancy_of(const target_state& it) const {
    const auto reported = it.load.running + it.load.queued + it.sent_since_load;
    return static_cast<double>(std::max(reported, it.outstanding)) /
           std::max<std::uint32_t>(it.load.limit, 1);
}

double placement::cost_of(const target_state& it) const {
    const double domain_penalty =
        it.target.domain == own_domain_ ? 0.0 : options_.domain_margin;
    return occupancy_of(it) + domain_penalty +
           it.failure_rate * options_.failure_cost;
}

std::optional<node_name> placement::pick(time_point now,
                                         const std::vector<node_name>& tried,
                                         const random_hook& random) const {
    const auto n = targets_.size();
    if (n == 0)
        return std::nullopt;
    const target_state* best = nullptr;
    const target_state* paused = nullptr;
    std::size_t compared = 0;
    // Starts at a random position, in a random direction, so that over many
    // calls every target is compared with every other.
    const auto start = random();
    const std::size_t step = (start & 1U) != 0 ? 1 : n - 1;
    auto position = static_cast<std::size_t>((start >> 1U) % n);
    for (std::size_t k = 0; k < n; ++k, position = (position + step) % n) {
        const auto& it = targets_[position];
        if (std::find(tried.begin(), tried.end(), it.target.node) !=
            tried.end())
            continue;
        if (it.paused_until > now) {
            if (paused == nullptr || it.paused_until < paused->paused_until)
                paused = &it;
            continue;
        }
        if (best == nullptr || cost_of(it) < cost_of(*best))
            best = &it;
        const bool is_near = it.target.domain == own_domain_;
        compared += is_near || n <= options_.compared * 4 ? 1 : 0;
        if (compared >= options_.compared * 4)
            break;
    }
    if (best == nullptr)
        best = paused;
    if (best == nullptr)
        return std::nullopt;
    return best->target.node;
}

void placement::on_sent(const node_name& node) {
    if (auto* it = find(node)) {
        ++it->outstanding;
        ++it->sent_since_load;
    }
}

void placement::on_load_report(const node_name& node, const load_report& load) {
    if (auto* it = find(node)) {
        it->load = load;
        it->sent_since_load = 0;
    }
}

void placement::on_end(const node_name& node, time_point now,
                       dispatch_result end) {
    auto* it = find(node);
    if (it == nullptr)
        return;
    if (it->outstanding > 0)
        --it->outstanding;
    if (end == dispatch_result::neutral)
        return;
    const double failed = end == dispatch_result::answered ? 0.0 : 1.0;
    it->failure_rate += options_.failure_weight * (failed - it->failure_rate);
    if (end != dispatch_result::unreachable) {
        it->consecutive_failures = 0;
        return;
    }
    const auto doublings = std::min(it->consecutive_failures, max_doublings);
    it->paused_until = now + options_.pause * (1U << doublings);
    ++it->consecutive_failures;
}

double placement::mean_occupancy() const {
    if (targets_.empty())
        return 0;
    double sum = 0;
    for (const auto& it : targets_)
        sum += occupancy_of(it);
    return sum / static_cast<double>(targets_.size());
}

} // namespace redwingwind::overload
