#include <redwingwind/overload/service_retry_budget.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

/// Within a bucket so many may be spent at least, as long as they are left:
/// a few calls need not be spread.
constexpr double least_per_bucket = 10;
/// Requests of repeated runs are expected to come as in so many buckets before
/// the one under way.
constexpr std::int64_t lately = 4;

} // namespace

std::int64_t service_retry_budget::number_of(time_point now) const {
    const auto width = options_.window / buckets;
    return now.time_since_epoch() / width;
}

service_retry_budget::bucket& service_retry_budget::current(time_point now) {
    const auto number = number_of(now);
    auto& it = counts_[static_cast<std::size_t>(number) % counts_.size()];
    if (it.number != number) {
        it = {};
        it.number = number;
    }
    return it;
}

void service_retry_budget::on_request(time_point now,
                                      double retry_probability) {
    auto& it = current(now);
    ++it.requests;
    it.repeats += retry_probability;
    it.inherited += retry_probability;
}

double service_retry_budget::requests(std::int64_t first,
                                      std::int64_t last) const {
    double sum = 0;
    for (const auto& it : counts_)
        if (it.number >= first && it.number <= last)
            sum += it.requests;
    return sum;
}

double service_retry_budget::repeats(std::int64_t first) const {
    double sum = 0;
    for (const auto& it : counts_)
        if (it.number >= first)
            sum += it.repeats;
    return sum;
}

double service_retry_budget::inherited_rate(std::int64_t newest) const {
    double sum = 0;
    for (const auto& it : counts_)
        if (it.number >= newest - lately && it.number < newest)
            sum += it.inherited;
    return sum / lately;
}

double service_retry_budget::allowed(std::int64_t newest, std::int64_t ahead,
                                     std::size_t live_nodes) const {
    // Buckets that lie in the window wherever in its last one it ends.
    const auto end = newest + ahead;
    const auto half = buckets / 2;
    const double own = requests(end - buckets + 1, newest);
    const double half_before =
        requests(end - buckets - half + 1, end - half - 1);
    const double before = requests(end - 2 * buckets + 1, end - buckets - 1);
    const double nodes =
        static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    return (options_.ratio * std::max({own, half_before, before}) +
            options_.slack / nodes) *
           options_.used_share;
}

double service_retry_budget::left(time_point now, std::size_t live_nodes) {
    const auto newest = number_of(now);
    const double rate = inherited_rate(newest);
    double least = allowed(newest, buckets, live_nodes) - rate * buckets;
    for (std::int64_t ahead = 0; ahead < buckets; ++ahead) {
        const double spent = repeats(newest + ahead - buckets);
        // Without repeats a window allows at least as much as the last one.
        if (spent > 0)
            least = std::min(least, allowed(newest, ahead, live_nodes) - spent -
                                        rate * static_cast<double>(ahead));
    }
    return std::max(0.0, least);
}

bool service_retry_budget::take(time_point now, std::size_t live_nodes,
                                double reserve) {
    const double now_left = left(now, live_nodes);
    const double for_others =
        reserve * allowed(number_of(now), buckets, live_nodes);
    if (now_left < 1.0 + for_others)
        return false;
    auto& it = current(now);
    if (it.left < 0)
        it.left = now_left;
    const double most =
        std::max(least_per_bucket, it.left * options_.share_per_bucket);
    if (it.taken + 1.0 > most)
        return false;
    ++it.taken;
    it.repeats += 1;
    return true;
}

} // namespace redwingwind::overload
