#pragma once

#include <redwingwind/common/identifiers.hpp>

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::ctl {

/// A decision that a node wrote about a call.
struct call_decision {
    /// Wall clock of the node, as it wrote it.
    std::string time;
    std::string node;
    std::string event;
    /// Written beside the wanted target, not where the call entered.
    bool is_beside_target{};
    std::string why;
    std::string service;
    /// Where the call entered the node beside the target, and the other way
    /// round; empty when no other node had to do with it.
    std::string peer;
    std::uint64_t version{};
    /// Milliseconds for which that version had been in force at the node, if
    /// its log tells.
    std::optional<std::int64_t> version_age_ms;
    std::uint64_t attempt{};
    std::int64_t time_left_ms{};
    /// Of the target beside the node.
    std::uint64_t running{};
    std::uint64_t queued{};
    std::uint64_t limit{};
    /// Of the services below, 0 to 1.
    double strain{};

    auto operator<=>(const call_decision&) const = default;
};

/// Lines about calls that a node did not write, to keep to its rate.
struct left_out_lines {
    std::string time;
    std::string node;
    std::uint64_t count{};

    auto operator<=>(const left_out_lines&) const = default;
};

/// A line that names the call and is not one of a node's.
struct unreadable_line {
    std::string source;
    std::uint64_t number{};
    std::string why;

    auto operator<=>(const unreadable_line&) const = default;
};

/// The way of one call, put together from the lines of many nodes' logs. Lines
/// that don't concern it cost a search and are not kept, so that logs of any
/// size can be read.
class call_history {
  public:
    explicit call_history(request_id id) : id_(std::move(id)) {}

    /// The source is a file's name; lines of one node come in the order in
    /// which it wrote them.
    void read_line(const std::string& source, std::string_view line);

    /// By time; of the same time in the order in which they were read.
    std::vector<call_decision> decisions() const;
    const std::vector<unreadable_line>& unreadable() const {
        return unreadable_;
    }
    /// Of the nodes and seconds in which the call may have had lines.
    std::vector<left_out_lines> left_out() const;
    std::uint64_t lines() const { return lines_; }

    /// What the caller was told, and why, in one sentence.
    std::string conclusion() const;
    nlohmann::json to_json() const;

  private:
    struct version_start {
        std::uint64_t version{};
        std::string time;
    };
    struct log_source {
        std::uint64_t lines{};
        version_start in_force;
    };

    void keep(log_source& from, const nlohmann::json& line);

    request_id id_;
    std::uint64_t lines_{};
    std::map<std::string, log_source> sources_;
    std::vector<call_decision> decisions_;
    std::vector<left_out_lines> left_out_;
    std::vector<unreadable_line> unreadable_;
};

} // namespace redwingwind::ctl
