#pragma once

#include <redwingwind/common/time.hpp>

#include <cstddef>
#include <cstdint>

namespace redwingwind::node {

/// A point in the history of the platform's store. A store that restarts from
/// a copy issues revisions anew in a higher era, so a revision orders changes
/// only within its era. Stores that do not tell their era count as era 0.
struct store_position {
    std::uint64_t era{};
    std::uint64_t revision{};

    auto operator<=>(const store_position&) const = default;
};

/// What the era of a response says of the store.
enum class era_effect : std::uint8_t {
    unchanged,
    /// The response is of an earlier era than one that was seen.
    late,
    /// The store has restarted from a copy: what this node wrote may be gone.
    renewed
};

/// What to do with the result of a watch.
enum class watch_use : std::uint8_t {
    take,
    /// Keep what is known and ask again.
    ignore,
    /// The events leave out changes, as the watch began in another era: read.
    read_anew
};

/// Judges responses of the store by their era and keeps the position from
/// which the next watch starts. Does no I/O.
class store_history {
  public:
    /// The highest era seen; 0 if none was told.
    std::uint64_t era() const { return era_; }
    const store_position& position() const { return position_; }

    /// To be called with the era of each response, before its content is used;
    /// 0 for a response without an era, which counts as of the current era.
    era_effect observe(std::uint64_t era);
    /// For the result of a watch from a position, after observe().
    watch_use judge_watch(const store_position& since, std::uint64_t era) const;
    /// A read starts a new series of watches, so its revision may be lower.
    void take_read(std::uint64_t revision) { position_ = {era_, revision}; }
    /// The position is never lowered within an era.
    void take_events(std::uint64_t revision);
    /// Whether an acknowledgement of a write stands for what the store holds.
    /// The era known at the sending must still be the current one: a write
    /// that a restart overtook may be lost, whatever its acknowledgement says.
    bool is_written(std::uint64_t era_at_sending) const {
        return era_at_sending == era_;
    }

  private:
    std::uint64_t era_{};
    store_position position_;
};

/// The time over which all nodes spread what each of them does once after a
/// change of era: the least time given, or longer if the nodes would exceed
/// the rate (a second, over all nodes).
duration spread_window(duration least, std::size_t nodes, double per_second);

/// A uniformly distributed part of the window.
duration spread_delay(duration window, const random_hook& random);

} // namespace redwingwind::node
