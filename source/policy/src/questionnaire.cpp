#include <redwingwind/policy/questionnaire.hpp>

#include "line_json.hpp"

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace redwingwind::policy {
namespace {

constexpr std::int64_t min_deadline_ms = 10;
constexpr std::int64_t max_deadline_ms = 60000;
constexpr std::int64_t max_resends = 16;
constexpr double max_weight = 1000;
constexpr std::size_t max_services = 500;
constexpr std::size_t max_requests = 2000;
/// The longest chain of nested calls, in services, that the product is
/// designed for.
constexpr int max_depth = 8;

constexpr const char* emphasis_names = "goodput, recovery or both";
constexpr const char* importance_names = "browse, lookup, order or payment";

/// Internal exception; parse_questionnaire() converts it to a status.
struct bad_answer {
    /// JSON pointer of the invalid value.
    std::string pointer;
    std::string what;
};

/// Reads the fields of a JSON object; errors carry the JSON pointer of the
/// field.
class reader {
  public:
    reader(const nlohmann::json& json, std::string pointer)
        : json_(json), pointer_(std::move(pointer)) {
        if (!json_.is_object())
            throw bad_answer{pointer_, "must be an object { ... }"};
    }

    void check_fields(const std::set<std::string>& names) const {
        for (const auto& [name, value] : json_.items())
            if (names.count(name) == 0)
                throw bad_answer{at(name),
                                 absl::StrCat("unknown field \"", name,
                                              "\"; the allowed fields are ",
                                              absl::StrJoin(names, ", "))};
    }

    std::string name(const std::string& field) const {
        const auto& value = require(field);
        if (!value.is_string() || !is_valid_name(value.get<std::string>()))
            throw bad_answer{
                at(field), absl::StrCat("\"", field,
                                        "\" must be a name of 1 to 64 letters, "
                                        "digits, '-', '_', '.' or ':'")};
        return value.get<std::string>();
    }

    std::string path(const std::string& field) const {
        const auto& value = require(field);
        if (!value.is_string() || !value.get<std::string>().starts_with("/"))
            throw bad_answer{at(field), absl::StrCat("\"", field,
                                                     "\" must be a path that "
                                                     "starts with /")};
        return value.get<std::string>();
    }

    std::int64_t number(const std::string& field, std::int64_t min,
                        std::int64_t max) const {
        const auto& value = require(field);
        const bool is_in_range = value.is_number_integer() &&
                                 value.get<std::int64_t>() >= min &&
                                 value.get<std::int64_t>() <= max;
        if (!is_in_range)
            throw bad_answer{at(field),
                             absl::StrCat("\"", field,
                                          "\" must be an integer from ", min,
                                          " to ", max)};
        return value.get<std::int64_t>();
    }

    double weight(const std::string& field) const {
        const auto& value = require(field);
        if (!value.is_number() || !(value.get<double>() > 0) ||
            value.get<double>() > max_weight)
            throw bad_answer{at(field),
                             absl::StrCat("\"", field,
                                          "\" must be a number above 0, up to ",
                                          max_weight)};
        return value.get<double>();
    }

    bool boolean(const std::string& field) const {
        const auto& value = require(field);
        if (!value.is_boolean())
            throw bad_answer{
                at(field),
                absl::StrCat("\"", field, "\" must be true or false")};
        return value.get<bool>();
    }

    std::string string_or_empty(const std::string& field) const {
        const auto& value = require(field);
        return value.is_string() ? value.get<std::string>() : "";
    }

    const nlohmann::json& list(const std::string& field, std::size_t max_size,
                               bool may_be_empty) const {
        const auto& value = require(field);
        if (!value.is_array() || value.size() > max_size ||
            (value.empty() && !may_be_empty))
            throw bad_answer{
                at(field),
                absl::StrCat("\"", field, "\" must be a list with a size of ",
                             may_be_empty ? 0 : 1, " to ", max_size)};
        return value;
    }

    std::string at(const std::string& field) const {
        return pointer_ + "/" + field;
    }

  private:
    const nlohmann::json& require(const std::string& field) const {
        const auto it = json_.find(field);
        if (it == json_.end())
            throw bad_answer{
                pointer_, absl::StrCat("the field \"", field, "\" is missing")};
        return *it;
    }

    const nlohmann::json& json_;
    std::string pointer_;
};

template <class Read>
void for_each(const reader& from, const std::string& field,
              std::size_t max_size, bool may_be_empty, Read read) {
    std::size_t n = 0;
    for (const auto& it : from.list(field, max_size, may_be_empty))
        read(it, absl::StrCat(from.at(field), "/", n++));
}

emphasis parse_emphasis(const reader& from) {
    const auto text = from.string_or_empty("weigh");
    if (text == "goodput")
        return emphasis::goodput;
    if (text == "recovery")
        return emphasis::recovery;
    if (text == "both")
        return emphasis::both;
    throw bad_answer{from.at("weigh"),
                     absl::StrCat("\"weigh\" must be ", emphasis_names)};
}

service_answer parse_service(const nlohmann::json& json,
                             const std::string& pointer) {
    const reader from(json, pointer);
    from.check_fields({"name", "calls"});
    service_answer service{{from.name("name")}, {}};
    std::size_t n = 0;
    for (const auto& it : from.list("calls", max_services, true)) {
        if (!it.is_string())
            throw bad_answer{absl::StrCat(from.at("calls"), "/", n),
                             "\"calls\" must contain names of services"};
        service.calls.push_back({it.get<std::string>()});
        ++n;
    }
    return service;
}

request_answer parse_request(const nlohmann::json& json,
                             const std::string& pointer) {
    const reader from(json, pointer);
    from.check_fields(
        {"service", "path", "importance", "must_not_repeat", "deadline_ms"});
    const auto kind =
        overload::parse_importance(from.string_or_empty("importance"));
    if (!kind)
        throw bad_answer{
            from.at("importance"),
            absl::StrCat("\"importance\" must be ", importance_names)};
    return {{from.name("service")},
            from.path("path"),
            *kind,
            from.boolean("must_not_repeat"),
            std::chrono::milliseconds(
                from.number("deadline_ms", min_deadline_ms, max_deadline_ms))};
}

const service_answer* find_service(const questionnaire& answers,
                                   const service_name& name) {
    for (const auto& it : answers.services)
        if (it.name == name)
            return &it;
    return nullptr;
}

/// Number of services in the longest chain of calls from a service; nothing
/// when the chain has a cycle or is longer than max_depth.
std::optional<int> depth_of(const questionnaire& answers,
                            const service_name& name, int used = 1) {
    if (used > max_depth)
        return std::nullopt;
    int deepest = 1;
    for (const auto& callee : find_service(answers, name)->calls) {
        const auto callee_depth = depth_of(answers, callee, used + 1);
        if (!callee_depth)
            return std::nullopt;
        deepest = std::max(deepest, 1 + *callee_depth);
    }
    return deepest;
}

void check_calls(const questionnaire& answers) {
    std::size_t n = 0;
    for (const auto& service : answers.services) {
        const auto pointer = absl::StrCat("/services/", n++);
        for (std::size_t m = 0; m < service.calls.size(); ++m)
            if (find_service(answers, service.calls[m]) == nullptr)
                throw bad_answer{absl::StrCat(pointer, "/calls/", m),
                                 absl::StrCat("no service is named \"",
                                              service.calls[m].value, "\"")};
    }
    n = 0;
    for (const auto& service : answers.services) {
        const auto pointer = absl::StrCat("/services/", n++);
        if (!depth_of(answers, service.name))
            throw bad_answer{pointer + "/calls",
                             absl::StrCat("the calls from \"",
                                          service.name.value,
                                          "\" form a cycle or are more than ",
                                          max_depth, " deep")};
    }
}

void check_requests(const questionnaire& answers) {
    std::set<std::string> seen;
    for (std::size_t n = 0; n < answers.requests.size(); ++n) {
        const auto& it = answers.requests[n];
        const auto pointer = absl::StrCat("/requests/", n);
        if (find_service(answers, it.service) == nullptr)
            throw bad_answer{
                pointer + "/service",
                absl::StrCat("no service is named \"", it.service.value, "\"")};
        if (!seen.insert(it.service.value + it.path).second)
            throw bad_answer{pointer + "/path", "duplicate service and path"};
    }
}

template <class List, class Name>
void check_unique(const List& list, const std::string& pointer, Name name_of) {
    std::set<std::string> seen;
    for (std::size_t n = 0; n < list.size(); ++n)
        if (!seen.insert(name_of(list[n])).second)
            throw bad_answer{absl::StrCat(pointer, "/", n, "/name"),
                             "duplicate name"};
}

questionnaire read_answers(const nlohmann::json& json) {
    const reader from(json, "");
    from.check_fields({"graph", "weigh", "resends_by_callers", "owners",
                       "services", "requests"});
    questionnaire answers;
    answers.graph = {from.name("graph")};
    answers.weigh = parse_emphasis(from);
    answers.resends_by_callers = static_cast<std::uint32_t>(
        from.number("resends_by_callers", 0, max_resends));
    for_each(from, "owners", max_services, false,
             [&](const nlohmann::json& it, const std::string& pointer) {
                 const reader owner(it, pointer);
                 owner.check_fields({"name", "weight"});
                 answers.owners.push_back(
                     {{owner.name("name")}, owner.weight("weight")});
             });
    for_each(from, "services", max_services, false,
             [&](const nlohmann::json& it, const std::string& pointer) {
                 answers.services.push_back(parse_service(it, pointer));
             });
    for_each(from, "requests", max_requests, false,
             [&](const nlohmann::json& it, const std::string& pointer) {
                 answers.requests.push_back(parse_request(it, pointer));
             });
    check_unique(answers.owners, "/owners",
                 [](const auto& it) { return it.owner.value; });
    check_unique(answers.services, "/services",
                 [](const auto& it) { return it.name.value; });
    check_calls(answers);
    check_requests(answers);
    return answers;
}

std::string to_string(emphasis e) {
    switch (e) {
    case emphasis::goodput:
        return "goodput";
    case emphasis::recovery:
        return "recovery";
    case emphasis::both:
        break;
    }
    return "both";
}

} // namespace

absl::StatusOr<questionnaire> parse_questionnaire(const std::string& text) {
    const auto json = parse_with_lines(text);
    if (!json.ok())
        return json.status();
    try {
        return read_answers(json->root);
    } catch (const bad_answer& bad) {
        return make_error(
            error_code::bad_input,
            absl::StrCat("line ", json->line_of(bad.pointer), ": ", bad.what));
    }
}

std::string to_text(const questionnaire& answers) {
    nlohmann::ordered_json json;
    json["graph"] = answers.graph.value;
    json["weigh"] = to_string(answers.weigh);
    json["resends_by_callers"] = answers.resends_by_callers;
    for (const auto& it : answers.owners)
        json["owners"].push_back(
            {{"name", it.owner.value}, {"weight", it.weight}});
    for (const auto& it : answers.services) {
        auto calls = nlohmann::ordered_json::array();
        for (const auto& callee : it.calls)
            calls.push_back(callee.value);
        json["services"].push_back({{"name", it.name.value}, {"calls", calls}});
    }
    for (const auto& it : answers.requests)
        json["requests"].push_back(
            {{"service", it.service.value},
             {"path", it.path},
             {"importance", overload::to_string(it.kind)},
             {"must_not_repeat", it.must_not_repeat},
             {"deadline_ms", milliseconds(it.deadline)}});
    return json.dump(2) + "\n";
}

std::string questionnaire_template(const graph_name& graph) {
    return absl::StrCat(R"({
  // The name of this call graph.
  "graph": ")",
                        graph.value, R"(",
  // Which goal takes precedence in a conflict: goodput, recovery or both.
  "weigh": "both",
  // The most retries that your callers make for one request: 0 to 16.
  "resends_by_callers": 3,
  // The owners that share the capacity, with their weights under overload.
  "owners": [
    { "name": "owner-a", "weight": 1 }
  ],
  // Every service, and the services that it calls.
  "services": [
    { "name": "front", "calls": ["back"] },
    { "name": "back", "calls": [] }
  ],
  // Every kind of request. importance: browse, lookup, order or payment.
  // must_not_repeat: true when executing it twice would do harm.
  "requests": [
    { "service": "front", "path": "/orders", "importance": "order",
      "must_not_repeat": true, "deadline_ms": 800 },
    { "service": "front", "path": "/", "importance": "browse",
      "must_not_repeat": false, "deadline_ms": 500 },
    { "service": "back", "path": "/", "importance": "lookup",
      "must_not_repeat": false, "deadline_ms": 400 }
  ]
}
)");
}

overload::graph_policy derive_policy(const questionnaire& answers) {
    overload::graph_policy policy;
    const bool is_recovery = answers.weigh == emphasis::recovery;
    const bool is_goodput = answers.weigh == emphasis::goodput;
    policy.retry_budget = is_recovery ? 1 : 2;
    policy.caller_resend_cap = answers.resends_by_callers;
    policy.retry_ratio = is_recovery ? 0.05 : 0.1;
    policy.queue_per_slot = is_recovery ? 0.25 : 0.5;
    policy.level_decay = is_recovery ? 4.0 : (is_goodput ? 1.5 : 2.0);
    policy.owners = answers.owners;
    for (const auto& it : answers.requests) {
        policy.routes.push_back(
            {it.service, it.path, it.kind, !it.must_not_repeat, it.deadline});
        policy.default_deadline =
            std::max(policy.default_deadline, it.deadline);
    }
    return policy;
}

std::vector<explanation> explain(const questionnaire& answers) {
    const auto policy = derive_policy(answers);
    const auto weigh = "you chose " + to_string(answers.weigh);
    std::vector<explanation> all{
        {"retry_budget", std::to_string(policy.retry_budget),
         weigh + ": retries for one request in its whole call tree"},
        {"retry_ratio", absl::StrCat(policy.retry_ratio),
         weigh + ": retries per first attempt on each edge"},
        {"queue_per_slot", absl::StrCat(policy.queue_per_slot),
         weigh + ": a longer queue keeps slots busy, a shorter one drains "
                 "sooner"},
        {"level_decay", absl::StrCat(policy.level_decay),
         weigh + ": how fast load shedding decreases after overload"},
        {"caller_resend_cap", std::to_string(policy.caller_resend_cap),
         "your callers retry at most this often; further retries are "
         "rejected"}};
    for (const auto& it : policy.routes)
        all.push_back(
            {absl::StrCat(it.service.value, " ", it.path_prefix),
             absl::StrCat(std::string(to_string(it.kind)), ", ",
                          milliseconds(it.deadline), " ms, ",
                          it.idempotent ? "may be retried" : "at most once"),
             it.kind >= overload::importance::order
                 ? "rejected only after all browsing and lookups"
                 : "shed before orders and payments"});
    return all;
}

} // namespace redwingwind::policy
