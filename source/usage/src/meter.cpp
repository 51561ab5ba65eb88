#include <redwingwind/usage/meter.hpp>

namespace redwingwind::usage {
namespace {

constexpr auto other_owners = "~others";

} // namespace

usage_row& meter::row_for(const key& k) {
    const auto it = rows_.find(k);
    if (it != rows_.end())
        return it->second;
    auto row_key = k;
    if (rows_.size() >= max_rows_)
        row_key.owner = {other_owners};
    auto& row = rows_[row_key];
    row.node = self_;
    row.owner = row_key.owner;
    row.service = row_key.service;
    row.kind = row_key.kind;
    row.is_executing_side = row_key.is_executing_side;
    return row;
}

void meter::add(const usage_delta& delta) {
    auto& row = row_for(
        {delta.owner, delta.service, delta.kind, delta.is_executing_side});
    if (delta.was_rejected) {
        ++row.rejected;
        return;
    }
    ++row.calls;
    row.slot_time_us += delta.slot_time_us;
    row.wasted_us += delta.was_wasted ? delta.slot_time_us : 0;
    row.bytes += delta.bytes;
}

void meter::set_control(std::uint64_t processor_us, std::uint64_t bytes) {
    auto& row = row_for(
        {{"~control"}, {control_service}, overload::importance::browse, true});
    row.slot_time_us = processor_us;
    row.bytes = bytes;
}

std::vector<usage_row> meter::rows() const {
    std::vector<usage_row> all;
    for (const auto& [k, row] : rows_)
        all.push_back(row);
    return all;
}

} // namespace redwingwind::usage
