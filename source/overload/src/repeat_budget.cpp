#include <redwingwind/overload/repeat_budget.hpp>

#include <algorithm>

namespace redwingwind::overload {

std::int64_t repeat_budget::number_of(time_point now) const {
    const auto width = options_.window / static_cast<std::int64_t>(buckets);
    return now.time_since_epoch() / width;
}

repeat_budget::bucket& repeat_budget::current(time_point now) {
    const auto number = number_of(now);
    auto& it = counts_[static_cast<std::size_t>(number) % counts_.size()];
    if (it.number != number)
        it = {number, 0, 0};
    return it;
}

void repeat_budget::on_request(time_point now) {
    ++current(now).requests;
}

double repeat_budget::left(time_point now, std::size_t live_nodes) {
    const auto oldest = number_of(now) - static_cast<std::int64_t>(buckets);
    double requests = 0;
    double repeats = 0;
    for (const auto& it : counts_) {
        if (it.number < oldest)
            continue;
        repeats += it.repeats;
        // Requests of the oldest bucket may lie outside the window.
        if (it.number > oldest)
            requests += it.requests;
    }
    const double nodes =
        static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    const double allowed = options_.ratio * requests + options_.slack / nodes;
    return std::max(0.0, allowed * options_.used_share - repeats);
}

bool repeat_budget::take(time_point now, std::size_t live_nodes) {
    if (left(now, live_nodes) < 1.0)
        return false;
    ++current(now).repeats;
    return true;
}

} // namespace redwingwind::overload
