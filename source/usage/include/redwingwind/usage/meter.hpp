#pragma once

#include <redwingwind/coordination/messages.hpp>

#include <map>
#include <vector>

namespace redwingwind::usage {

using coordination::usage_row;

/// What one call adds to the counters.
struct usage_delta {
    owner_name owner;
    service_name service;
    overload::importance kind{};
    bool is_executing_side{};
    bool was_rejected{};
    /// Executed without a useful result; see usage_row::wasted_us.
    bool was_wasted{};
    std::uint64_t slot_time_us{};
    std::uint64_t bytes{};
};

/// Counts one node's usage since it started. Counters only increase, so a
/// report replaces all earlier ones of the same incarnation.
class meter {
  public:
    /// Once max_rows rows exist, usage that would need a further row is counted
    /// for the owner "~others".
    explicit meter(node_incarnation self, std::size_t max_rows = 2048)
        : self_(std::move(self)), max_rows_(max_rows) {}

    void add(const usage_delta& delta);

    /// Sets the node's own cost since it started: processor time in
    /// microseconds and bytes sent.
    void set_control(std::uint64_t processor_us, std::uint64_t bytes);

    std::vector<usage_row> rows() const;

  private:
    struct key {
        owner_name owner;
        service_name service;
        overload::importance kind{};
        bool is_executing_side{};

        auto operator<=>(const key&) const = default;
    };

    usage_row& row_for(const key& k);

    node_incarnation self_;
    std::size_t max_rows_;
    std::map<key, usage_row> rows_;
};

/// The service name under which the nodes' own cost is counted.
constexpr auto control_service = "~control";

} // namespace redwingwind::usage
