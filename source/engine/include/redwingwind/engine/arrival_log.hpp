#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_set>

namespace redwingwind::engine {

/// Identifies a call: the node that sent it and the sequence number that this
/// node gave it.
struct call_origin {
    node_incarnation caller;
    std::uint64_t sequence{};

    auto operator<=>(const call_origin&) const = default;
};

/// Records which calls arrived from each node, so that duplicates are detected
/// and a sender can ask whether its call arrived. Once an entry has expired,
/// its call counts as possibly arrived: the log never denies an arrival that it
/// no longer knows of.
class arrival_log {
  public:
    explicit arrival_log(duration retention = std::chrono::seconds(30),
                         std::size_t max_entries = 65536)
        : retention_(retention), max_entries_(max_entries) {}

    /// Records an arrival. False when the call arrived before, was ruled out,
    /// or is so old that its entry may have expired.
    bool arrive(time_point now, const call_origin& origin);

    /// Rules out that the call is accepted later. True when it did not arrive;
    /// any later arrive() of it then returns false. False when it arrived or
    /// may have arrived.
    bool rule_out(time_point now, const call_origin& origin);

    void remove_expired(time_point now);
    std::size_t size() const { return by_age_.size(); }

  private:
    struct caller_entry {
        std::unordered_set<std::uint64_t> arrived;
        std::unordered_set<std::uint64_t> ruled_out;
        std::uint64_t expired_up_to{};
    };
    struct timed_origin {
        call_origin origin;
        time_point at;
    };

    void record(time_point now, const call_origin& origin);

    duration retention_;
    std::size_t max_entries_;
    std::map<node_incarnation, caller_entry> callers_;
    std::deque<timed_origin> by_age_;
};

} // namespace redwingwind::engine
