#pragma once

#include <redwingwind/usage/roll_up.hpp>

#include <vector>

namespace redwingwind::usage {

/// One owner's part of a shared deployment, by what its calls used on the
/// executing side.
struct bill_line {
    owner_name owner;
    std::uint64_t calls{};
    std::uint64_t rejected{};
    std::uint64_t slot_time_us{};
    std::uint64_t wasted_us{};
    std::uint64_t bytes{};
    /// Part of all slot time, 0 to 1.
    double share{};
    /// Part of the nodes' own processor time, by the same share.
    std::uint64_t control_us{};

    auto operator<=>(const bill_line&) const = default;
};

/// Where calling and executing nodes counted differently.
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

std::vector<bill_line> make_bill(const roll_up& content);

/// Owner, service and kind for which the two sides do not agree.
std::vector<side_difference> compare_sides(const roll_up& content);

} // namespace redwingwind::usage
