#pragma once

#include <redwingwind/usage/roll_up.hpp>

#include <vector>

namespace redwingwind::usage {

/// One owner's share of a deployment's usage, as counted on the executing side
/// of its calls.
struct bill_line {
    owner_name owner;
    std::uint64_t calls{};
    std::uint64_t rejected{};
    std::uint64_t slot_time_us{};
    std::uint64_t wasted_us{};
    std::uint64_t bytes{};
    /// Share of the slot time of all owners, 0 to 1.
    double share{};
    /// Processor time of the nodes themselves that is charged to this owner,
    /// by the same share.
    std::uint64_t control_us{};

    auto operator<=>(const bill_line&) const = default;
};

/// Counters that differ between the calling and the executing nodes.
struct side_difference {
    owner_name owner;
    service_name service;
    overload::importance kind{};
    std::uint64_t caller_calls{};
    std::uint64_t executor_calls{};
    std::uint64_t caller_slot_time_us{};
    std::uint64_t executor_slot_time_us{};

    auto operator<=>(const side_difference&) const = default;
};

/// One line for each owner that had calls executed or rejected.
std::vector<bill_line> make_bill(const roll_up& content);

/// Lists each owner, service and importance for which the calling and the
/// executing side counted different calls or slot times.
std::vector<side_difference> compare_sides(const roll_up& content);

} // namespace redwingwind::usage
