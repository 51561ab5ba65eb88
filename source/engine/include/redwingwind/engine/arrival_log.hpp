#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_set>

namespace redwingwind::engine {

/// A call as its caller's node numbered it.
struct call_origin {
    node_incarnation caller;
    std::uint64_t sequence{};

    auto operator<=>(const call_origin&) const = default;
};

/// Remembers which calls of each caller arrived, to answer the question
/// whether one did. What is forgotten is never answered with "no".
class arrival_log {
  public:
    explicit arrival_log(duration retention = std::chrono::seconds(30),
                         std::size_t max_entries = 65536)
        : retention_(retention), max_entries_(max_entries) {}

    /// False when the call arrived or was ruled out before.
    bool arrive(time_point now, const call_origin& origin);

    /// True when the call did not arrive, and from now on never will.
    bool rule_out(time_point now, const call_origin& origin);

    void remove_expired(time_point now);
    std::size_t size() const { return by_age_.size(); }

  private:
    struct caller_entry {
        std::unordered_set<std::uint64_t> arrived;
        std::unordered_set<std::uint64_t> ruled_out;
        std::uint64_t forgotten_up_to{};
    };
    struct aged {
        call_origin origin;
        time_point at;
    };

    void note(time_point now, const call_origin& origin);

    duration retention_;
    std::size_t max_entries_;
    std::map<node_incarnation, caller_entry> callers_;
    std::deque<aged> by_age_;
};

} // namespace redwingwind::engine
