#include "call_history.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace redwingwind::ctl {
namespace {

constexpr std::string_view in_force_event = R"("event":"in_force")";
constexpr std::string_view left_out_event = R"("event":"lines_left_out")";
constexpr const char* time_format = "%Y-%m-%dT%H:%M:%E*S";
/// A node tells of the lines that it left out with the first call of a later
/// second.
constexpr absl::Duration left_out_reach = absl::Seconds(5);

/// The wall clock of a line; nothing when it can't be read.
std::optional<absl::Time> read_time(const std::string& text) {
    absl::Time at;
    std::string error;
    if (!absl::ParseTime(time_format, text, &at, &error))
        return std::nullopt;
    return at;
}

std::string text_of(const nlohmann::json& line, const char* field) {
    const auto it = line.find(field);
    return it != line.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

template <class Number>
Number number_of(const nlohmann::json& line, const char* field) {
    const auto it = line.find(field);
    return it != line.end() && it->is_number() ? it->get<Number>() : Number{};
}

call_decision decision_of(const nlohmann::json& line) {
    call_decision it;
    it.time = text_of(line, "time");
    it.node = text_of(line, "node");
    it.event = text_of(line, "event");
    it.is_beside_target = text_of(line, "beside") == "target";
    it.why = text_of(line, "why");
    it.service = text_of(line, "service");
    it.peer = text_of(line, "peer");
    it.version = number_of<std::uint64_t>(line, "version");
    it.attempt = number_of<std::uint64_t>(line, "attempt");
    it.time_left_ms = number_of<std::int64_t>(line, "time_left_ms");
    it.running = number_of<std::uint64_t>(line, "running");
    it.queued = number_of<std::uint64_t>(line, "queued");
    it.limit = number_of<std::uint64_t>(line, "limit");
    it.strain = number_of<double>(line, "strain");
    return it;
}

std::string outcome_of(const call_decision& last) {
    if (last.event == "turned_away")
        return "The caller was told that the call did not run: " + last.why +
               (last.peer.empty() ? ", refused where it entered."
                                  : ", refused beside " + last.peer + ".");
    if (last.event == "failed" && last.why == "target_failed")
        return "The caller got the target's own failure, from beside " +
               last.peer + ".";
    if (last.event == "failed")
        return "The caller was told that it is unknown whether the call ran: " +
               last.why + ", last given to " + last.peer + ".";
    return "The caller's node repeated the call; how it ended was not "
           "written, as for each call that is served.";
}

nlohmann::json json_of(const call_decision& it) {
    nlohmann::json json{{"time", it.time},
                        {"node", it.node},
                        {"event", it.event},
                        {"beside", it.is_beside_target ? "target" : "caller"},
                        {"why", it.why},
                        {"service", it.service},
                        {"peer", it.peer},
                        {"version", it.version},
                        {"attempt", it.attempt},
                        {"time_left_ms", it.time_left_ms},
                        {"running", it.running},
                        {"queued", it.queued},
                        {"limit", it.limit},
                        {"strain", it.strain}};
    if (it.version_age_ms)
        json["version_age_ms"] = *it.version_age_ms;
    return json;
}

} // namespace

void call_history::read_line(const std::string& source, std::string_view line) {
    ++lines_;
    auto& from = sources_[source];
    ++from.lines;
    const bool names_call = line.find(id_.value) != std::string_view::npos;
    if (!names_call && line.find(in_force_event) == std::string_view::npos &&
        line.find(left_out_event) == std::string_view::npos)
        return;
    // Whoever gathered the lines may have put something before them.
    const auto start = std::min(line.find('{'), line.size());
    const auto json = nlohmann::json::parse(line.substr(start), nullptr, false);
    if (json.is_object() && !text_of(json, "event").empty()) {
        keep(from, json);
        return;
    }
    if (names_call)
        unreadable_.push_back({source, from.lines,
                               json.is_discarded() ? "no whole JSON object"
                                                   : "no field \"event\""});
}

void call_history::keep(log_source& from, const nlohmann::json& line) {
    const auto event = text_of(line, "event");
    if (event == "in_force")
        from.in_force = {number_of<std::uint64_t>(line, "version"),
                         text_of(line, "time")};
    if (event == "lines_left_out")
        left_out_.push_back({text_of(line, "time"), text_of(line, "node"),
                             number_of<std::uint64_t>(line, "count")});
    if (text_of(line, "request_id") != id_.value)
        return;
    auto decision = decision_of(line);
    const auto since = read_time(from.in_force.time);
    const auto at = read_time(decision.time);
    if (since && at && decision.version != 0 &&
        decision.version == from.in_force.version)
        decision.version_age_ms = absl::ToInt64Milliseconds(*at - *since);
    decisions_.push_back(std::move(decision));
}

std::vector<call_decision> call_history::decisions() const {
    auto all = decisions_;
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.time < b.time;
    });
    return all;
}

std::vector<left_out_lines> call_history::left_out() const {
    if (decisions_.empty())
        return left_out_;
    const auto all = decisions();
    const auto first = read_time(all.front().time);
    const auto last = read_time(all.back().time);
    std::vector<left_out_lines> near;
    for (const auto& it : left_out_) {
        const auto at = read_time(it.time);
        if (!at || !first || !last ||
            (*at >= *first && *at <= *last + left_out_reach))
            near.push_back(it);
    }
    return near;
}

std::string call_history::conclusion() const {
    const auto all = decisions();
    const auto last =
        std::find_if(all.rbegin(), all.rend(),
                     [](const auto& it) { return !it.is_beside_target; });
    if (last != all.rend())
        return outcome_of(*last);
    if (!all.empty())
        return "Only nodes beside targets wrote of the call: its caller's node "
               "placed it again, or its log is not among these.";
    return "No line tells of the call. Calls that are served have none.";
}

nlohmann::json call_history::to_json() const {
    nlohmann::json json{{"request_id", id_.value},
                        {"conclusion", conclusion()},
                        {"lines_read", lines_},
                        {"decisions", nlohmann::json::array()},
                        {"left_out", nlohmann::json::array()},
                        {"unreadable", nlohmann::json::array()}};
    for (const auto& it : decisions())
        json["decisions"].push_back(json_of(it));
    for (const auto& it : left_out())
        json["left_out"].push_back(
            {{"time", it.time}, {"node", it.node}, {"count", it.count}});
    for (const auto& it : unreadable_)
        json["unreadable"].push_back(
            {{"source", it.source}, {"line", it.number}, {"why", it.why}});
    return json;
}

} // namespace redwingwind::ctl
