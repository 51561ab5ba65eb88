#include <redwingwind/overload/placement.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr std::uint32_t max_doublings = 3;
/// Targets of other failure domains that are compared by forecast for a call:
/// fewer than near ones, as they get calls only while those are busier.
constexpr std::size_t max_far = 6;

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
    added.record.slots = added.load.limit;
    targets_.push_back(std::move(added));
}

void placement::remove(const node_name& node) {
    const auto it = index_.find(node);
    if (it == index_.end())
        return;
    const auto position = it->second;
    forecast_.drop(targets_[position].outstanding);
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

bool placement::uses_forecast() const {
    if (options_.balance == balance_mode::automatic)
        return forecast_.has_speeds();
    return options_.balance == balance_mode::forecast;
}

std::optional<node_name> placement::pick(time_point now,
                                         const std::vector<node_name>& tried,
                                         const random_hook& random) const {
    if (targets_.empty())
        return std::nullopt;
    return uses_forecast() ? pick_by_forecast(now, tried, random)
                           : pick_by_report(now, tried, random);
}

const placement::target_state* placement::earlier(const target_state* a,
                                                  const target_state* b) {
    if (a == nullptr)
        return b;
    if (b == nullptr)
        return a;
    return b->paused_until < a->paused_until ? b : a;
}

std::optional<node_name>
placement::pick_by_forecast(time_point now, const std::vector<node_name>& tried,
                            const random_hook& random) const {
    const auto n = targets_.size();
    const auto start = random();
    const std::size_t step = (start & 1U) != 0 ? 1 : n - 1;
    auto position = static_cast<std::size_t>((start >> 1U) % n);
    const target_state* paused = nullptr;
    target_draw near;
    target_draw far(max_far);
    for (std::size_t k = 0; k < n; ++k, position = (position + step) % n) {
        const auto& it = targets_[position];
        auto& draw = it.target.domain == own_domain_ ? near : far;
        if (draw.is_full())
            continue;
        if (std::find(tried.begin(), tried.end(), it.target.node) !=
            tried.end())
            continue;
        if (it.paused_until > now) {
            paused = earlier(paused, &it);
            continue;
        }
        // Calls sent before the report that still run are part of it.
        const auto since = std::min(it.sent_since_load, it.outstanding);
        draw.add(position, forecast_.estimate(now, it.record, since),
                 it.failure_rate * options_.failure_cost);
        if (near.is_full())
            break;
    }
    const auto chosen = choose(near, far, random());
    if (chosen != target_draw::npos)
        return targets_[chosen].target.node;
    if (paused != nullptr)
        return paused->target.node;
    return std::nullopt;
}

std::size_t placement::choose(const target_draw& near, const target_draw& far,
                              std::uint64_t random) const {
    const auto in_domain = near.draw(random);
    if (far.is_empty())
        return in_domain;
    const double limit =
        near.is_empty() ? 0
                        : near.occupancy_of(in_domain) - options_.domain_margin;
    if (!near.is_empty() && far.lowest_occupancy() >= limit)
        return in_domain;
    const auto outside = far.draw(random);
    if (near.is_empty())
        return outside;
    return far.occupancy_of(outside) < limit ? outside : in_domain;
}

std::optional<node_name>
placement::pick_by_report(time_point now, const std::vector<node_name>& tried,
                          const random_hook& random) const {
    const auto n = targets_.size();
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

void placement::on_sent(const node_name& node, time_point now) {
    if (auto* it = find(node)) {
        ++it->outstanding;
        ++it->sent_since_load;
        forecast_.on_sent(now, it->record, targets_.size());
        if (forecast_.must_rescale())
            rescale();
    }
}

void placement::rescale() {
    for (auto& it : targets_)
        forecast_.rescale(it.record);
    forecast_.end_rescale();
}

void placement::on_load_report(const node_name& node, time_point now,
                               const load_report& load) {
    if (auto* it = find(node)) {
        it->load = load;
        it->sent_since_load = 0;
        forecast_.on_report(now, it->record, load, it->outstanding);
    }
}

void placement::on_end(const node_name& node, time_point now,
                       dispatch_result end) {
    auto* it = find(node);
    if (it == nullptr)
        return;
    if (it->outstanding > 0) {
        --it->outstanding;
        forecast_.on_end(now);
    }
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

double placement::mean_report_age_s(time_point now) const {
    double sum = 0;
    std::size_t reported = 0;
    for (const auto& it : targets_)
        if (it.record.has_report) {
            sum += seconds(now - it.record.reported);
            ++reported;
        }
    return reported == 0 ? 0 : sum / static_cast<double>(reported);
}

} // namespace redwingwind::overload
