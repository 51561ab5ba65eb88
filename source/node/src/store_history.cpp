#include "store_history.hpp"

#include <algorithm>

namespace redwingwind::node {

era_effect store_history::observe(std::uint64_t era) {
    if (era == 0 || era == era_)
        return era_effect::unchanged;
    if (era < era_)
        return era_effect::late;
    // The first era told is no change, unless revisions were taken before.
    const bool is_first = era_ == 0 && position_.revision == 0;
    era_ = era;
    return is_first ? era_effect::unchanged : era_effect::renewed;
}

watch_use store_history::judge_watch(const store_position& since,
                                     std::uint64_t era) const {
    if (era != 0 && era < era_)
        return watch_use::ignore;
    return since.era == era_ ? watch_use::take : watch_use::read_anew;
}

void store_history::take_events(std::uint64_t revision) {
    position_ = std::max(position_, {era_, revision});
}

duration spread_window(duration least, std::size_t nodes, double per_second) {
    const std::chrono::duration<double> needed(static_cast<double>(nodes) /
                                               per_second);
    return std::max(least, std::chrono::duration_cast<duration>(needed));
}

duration spread_delay(duration window, const random_hook& random) {
    const auto span = static_cast<std::uint64_t>(window.count()) + 1;
    return duration(static_cast<std::int64_t>(random() % span));
}

} // namespace redwingwind::node
