#include <redwingwind/usage/bill.hpp>

#include <map>
#include <tuple>

namespace redwingwind::usage {

std::vector<bill_line> make_bill(const roll_up& content) {
    std::map<owner_name, bill_line> lines;
    std::uint64_t control_us = 0;
    std::uint64_t total_us = 0;
    for (const auto& row : content.rows()) {
        if (row.service.value == control_service) {
            control_us += row.slot_time_us;
            continue;
        }
        if (!row.is_executing_side)
            continue;
        auto& line = lines[row.owner];
        line.owner = row.owner;
        line.calls += row.calls;
        line.rejected += row.rejected;
        line.slot_time_us += row.slot_time_us;
        line.wasted_us += row.wasted_us;
        line.bytes += row.bytes;
        total_us += row.slot_time_us;
    }
    std::vector<bill_line> bill;
    for (auto& [owner, line] : lines) {
        line.share = total_us == 0 ? 0.0
                                   : static_cast<double>(line.slot_time_us) /
                                         static_cast<double>(total_us);
        line.control_us = static_cast<std::uint64_t>(
            line.share * static_cast<double>(control_us));
        bill.push_back(line);
    }
    return bill;
}

std::vector<side_difference> compare_sides(const roll_up& content) {
    using key = std::tuple<owner_name, service_name, overload::importance>;
    std::map<key, side_difference> sides;
    for (const auto& row : content.rows()) {
        if (row.service.value == control_service)
            continue;
        auto& it = sides[{row.owner, row.service, row.kind}];
        it.owner = row.owner;
        it.service = row.service;
        it.kind = row.kind;
        if (row.is_executing_side) {
            it.executor_calls += row.calls;
            it.executor_slot_time_us += row.slot_time_us;
        } else {
            it.caller_calls += row.calls;
            it.caller_slot_time_us += row.slot_time_us;
        }
    }
    std::vector<side_difference> differences;
    for (const auto& [k, it] : sides)
        if (it.caller_calls != it.executor_calls ||
            it.caller_slot_time_us != it.executor_slot_time_us)
            differences.push_back(it);
    return differences;
}

} // namespace redwingwind::usage
