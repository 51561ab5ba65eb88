#include <redwingwind/overload/admission.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr double latency_smoothing = 0.06;
/// A call is too late when less than this share of the usual latency is left;
/// below 1 because the mean is no lower bound.
constexpr double latency_needed = 0.5;
constexpr std::size_t least_queue = 16;

} // namespace

admission::admission(admission_options options, weight_hook weight,
                     time_point now)
    : options_(options), weight_(std::move(weight)), limit_(options.limit, now),
      level_(options.level_decay) {}

rank admission::level() const {
    return options_.mode == control_mode::full ? level_.level() : rank{};
}

void admission::update_policy(double queue_per_slot, double level_decay) {
    options_.queue_per_slot = queue_per_slot;
    level_.set_decay(level_decay);
}

duration admission::expected_latency(importance kind) const {
    const auto n = latency_[static_cast<std::size_t>(kind)];
    return duration(static_cast<duration::rep>(n * 1e6));
}

bool admission::has_lower_running(importance kind) const {
    const auto end = running_by_kind_.begin() + static_cast<int>(kind);
    return std::any_of(running_by_kind_.begin(), end,
                       [](std::uint32_t n) { return n > 0; });
}

bool admission::has_lower_queued(importance kind) const {
    return !queue_.empty() && importance_of(queue_.back().call_rank) < kind;
}

std::size_t admission::queue_room(time_point now) const {
    const auto n =
        static_cast<std::size_t>(options_.queue_per_slot * limit_.value(now));
    return std::min<std::size_t>(std::max(n, least_queue), options_.max_queued);
}

double admission::share_used(const owner_name& owner) const {
    const auto it = held_.find(owner);
    const double n = it == held_.end() ? 0.0 : it->second;
    return n / std::max(weight_(owner), 1e-6);
}

/// True when a is to be shed before b: the lower importance, within it the
/// owner that uses more of its weight, within it the lower rank.
bool admission::yields_to(const admission_call& a,
                          const admission_call& b) const {
    const auto kind_a = importance_of(a.call_rank);
    const auto kind_b = importance_of(b.call_rank);
    if (kind_a != kind_b)
        return kind_a < kind_b;
    if (a.owner != b.owner) {
        const double used_a = share_used(a.owner);
        const double used_b = share_used(b.owner);
        if (used_a != used_b)
            return used_a > used_b;
    }
    return a.call_rank < b.call_rank;
}

std::size_t admission::lowest_queued() const {
    std::size_t lowest = queue_.size() - 1;
    for (std::size_t n = queue_.size(); n-- > 0;) {
        if (importance_of(queue_[n].call_rank) !=
            importance_of(queue_.back().call_rank))
            break;
        if (yields_to(queue_[n], queue_[lowest]))
            lowest = n;
    }
    return lowest;
}

void admission::reject(std::uint64_t id, error_code why,
                       admission_actions& steps) {
    level_.on_rejected();
    steps.reject.push_back({id, why});
}

void admission::start(time_point now, const admission_call& item,
                      admission_actions& steps) {
    const auto n = static_cast<std::uint32_t>(running_.size() + 1);
    running_.emplace(item.id, running_work{item, now, n});
    ++running_by_kind_[static_cast<std::size_t>(importance_of(item.call_rank))];
    level_.on_start();
    steps.start.push_back(item.id);
}

bool admission::is_too_late(time_point now, const admission_call& item) const {
    const auto usual = expected_latency(importance_of(item.call_rank));
    const auto needed = latency_needed * seconds(usual);
    return item.deadline <= now || seconds(item.deadline - now) < needed;
}

/// The wait behind the calls that go first, were they to take their usual
/// time.
duration admission::expected_wait(time_point now,
                                  const admission_call& item) const {
    const auto ahead = std::count_if(queue_.begin(), queue_.end(),
                                     [&](const admission_call& it) {
                                         return it.call_rank >= item.call_rank;
                                     });
    const auto usual = expected_latency(importance_of(item.call_rank));
    return usual * ahead / limit_.value(now);
}

admission_actions admission::arrive(time_point now,
                                    const admission_call& item) {
    admission_actions steps;
    if (options_.mode == control_mode::none ||
        options_.mode == control_mode::retries) {
        start(now, item, steps);
        return steps;
    }
    level_.on_arrival(item.call_rank);
    const auto kind = importance_of(item.call_rank);
    ++held_[item.owner];
    if (is_too_late(now, item)) {
        steps.reject.push_back({item.id, error_code::deadline_too_short});
    } else if (options_.mode == control_mode::fixed) {
        if (queue_.size() < queue_room(now))
            queue_.push_back(item);
        else
            reject(item.id, error_code::overloaded, steps);
    } else if (item.call_rank < level() && !has_lower_queued(kind) &&
               !has_lower_running(kind)) {
        reject(item.id, error_code::overloaded, steps);
    } else {
        make_room(now, item, steps);
    }
    for (const auto& it : steps.reject)
        if (it.id == item.id)
            --held_[item.owner];
    fill(now, steps);
    note_occupancy(now);
    return steps;
}

/// Queues the call, and sheds the lowest one when the queue is then too long.
void admission::make_room(time_point now, const admission_call& item,
                          admission_actions& steps) {
    const bool waits = running_.size() >= limit_.value(now);
    if (waits && !has_lower_running(importance_of(item.call_rank)) &&
        is_too_late(now + expected_wait(now, item), item)) {
        reject(item.id, error_code::overloaded, steps);
        return;
    }
    const auto place =
        std::upper_bound(queue_.begin(), queue_.end(), item,
                         [](const admission_call& a, const admission_call& b) {
                             return a.call_rank > b.call_rank;
                         });
    queue_.insert(place, item);
    fill(now, steps);
    if (queue_.size() <= queue_room(now))
        return;
    const auto lowest = lowest_queued();
    const auto victim = queue_[lowest];
    const auto kind = importance_of(victim.call_rank);
    if (is_critical(kind) && stop_lower(kind, steps)) {
        fill(now, steps);
        return;
    }
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(lowest));
    const bool by_share = victim.owner != item.owner &&
                          share_used(victim.owner) > share_used(item.owner);
    reject(victim.id,
           by_share ? error_code::over_share : error_code::overloaded, steps);
    if (victim.id != item.id)
        --held_[victim.owner];
}

bool admission::stop_lower(importance kind, admission_actions& steps) {
    if (!has_lower_running(kind))
        return false;
    const auto lowest = std::min_element(
        running_.begin(), running_.end(), [](const auto& a, const auto& b) {
            return a.second.item.call_rank < b.second.item.call_rank;
        });
    const auto item = lowest->second.item;
    running_.erase(lowest);
    --running_by_kind_[static_cast<std::size_t>(importance_of(item.call_rank))];
    --held_[item.owner];
    level_.on_rejected();
    steps.stop.push_back(item.id);
    return true;
}

void admission::fill(time_point now, admission_actions& steps) {
    while (!queue_.empty() && running_.size() < limit_.value(now)) {
        const auto item = queue_.front();
        queue_.erase(queue_.begin());
        if (is_too_late(now, item)) {
            reject(item.id, error_code::overloaded, steps);
            --held_[item.owner];
        } else {
            start(now, item, steps);
        }
    }
}

admission_actions admission::finish(time_point now, std::uint64_t id,
                                    execution_result end) {
    admission_actions steps;
    const auto it = running_.find(id);
    if (it == running_.end())
        return steps;
    const auto done = it->second;
    running_.erase(it);
    const auto kind =
        static_cast<std::size_t>(importance_of(done.item.call_rank));
    --running_by_kind_[kind];
    if (options_.mode == control_mode::none ||
        options_.mode == control_mode::retries)
        return steps;
    --held_[done.item.owner];
    if (end == execution_result::completed) {
        const auto took = now - done.started;
        auto& usual = latency_[kind];
        usual = usual == 0
                    ? seconds(took)
                    : usual + latency_smoothing * (seconds(took) - usual);
        limit_.on_complete(now, took, done.running_then);
    } else if (end == execution_result::shed) {
        limit_.on_shed(now);
    }
    fill(now, steps);
    note_occupancy(now);
    return steps;
}

bool admission::withdraw(std::uint64_t id) {
    const auto it =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const admission_call& w) { return w.id == id; });
    if (it == queue_.end())
        return false;
    --held_[it->owner];
    queue_.erase(it);
    return true;
}

admission_actions admission::tick(time_point now) {
    admission_actions steps;
    for (std::size_t n = queue_.size(); n-- > 0;) {
        if (!is_too_late(now, queue_[n]))
            continue;
        reject(queue_[n].id, error_code::overloaded, steps);
        --held_[queue_[n].owner];
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(n));
    }
    fill(now, steps);
    note_occupancy(now);
    return steps;
}

void admission::note_occupancy(time_point now) {
    const double share = double(running_.size()) / limit_.value(now);
    level_.on_occupancy(now, share, queue_.empty());
}

} // namespace redwingwind::overload
