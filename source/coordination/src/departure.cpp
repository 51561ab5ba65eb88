#include <redwingwind/coordination/departure.hpp>

#include <string_view>

namespace redwingwind::coordination {
namespace {

/// A node's name contains no space, so no node has a name like this.
constexpr std::string_view prefix = "departure ";

} // namespace

member_record to_record(const target_departure& departure,
                        const member_record& reporter) {
    member_record record;
    // The name of the reporter comes first, as an instance may contain
    // anything.
    record.id.name.value = std::string(prefix) + departure.reporter.value +
                           " " + departure.instance;
    record.id.life.value = departure.started_ms;
    record.version = 1;
    record.state = member_state::left;
    record.endpoint = departure.endpoint;
    record.region = reporter.region;
    record.domain = reporter.domain;
    record.service = reporter.service;
    record.target = target_state::draining;
    return record;
}

std::optional<target_departure> departure_of(const member_record& record) {
    std::string_view name = record.id.name.value;
    if (name.substr(0, prefix.size()) != prefix ||
        record.state != member_state::left)
        return std::nullopt;
    name.remove_prefix(prefix.size());
    const auto space = name.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    target_departure it;
    it.reporter.value = name.substr(0, space);
    it.instance = name.substr(space + 1);
    it.started_ms = record.id.life.value;
    it.endpoint = record.endpoint;
    return it;
}

} // namespace redwingwind::coordination
