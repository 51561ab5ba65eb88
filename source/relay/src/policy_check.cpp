#include <redwingwind/relay/policy_check.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace redwingwind::relay {
namespace {

using findings = std::vector<policy_finding>;

constexpr std::array<std::string_view, 7> kind_names{"unreachable_route",
                                                     "unknown_service",
                                                     "duplicate_name",
                                                     "contradicting_limits",
                                                     "shared_credential",
                                                     "stale_version",
                                                     "change"};

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return text;
}

std::string number(double value) {
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%g", value);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string time_text(duration time) {
    return number(seconds(time)) + " s";
}

std::string place_of(const route& it) {
    return "route " + it.name;
}

std::string place_of(const service_rule& it) {
    return "service " + it.name.value;
}

std::string place_of(const owner_rule& it) {
    return "owner " + it.name.value;
}

std::string key_of(const route& it) {
    return it.name;
}

std::string key_of(const service_rule& it) {
    return it.name.value;
}

std::string key_of(const owner_rule& it) {
    return it.name.value;
}

template <class Entry>
void check_names(const std::vector<Entry>& all, findings& found) {
    std::set<std::string> names;
    for (const auto& it : all)
        if (!names.insert(key_of(it)).second)
            found.push_back({finding_kind::duplicate_name, place_of(it), "name",
                             "is used more than once"});
}

void check_reach(const traffic_policy& policy, findings& found) {
    std::map<std::pair<std::string, std::string>, std::string> first;
    for (const auto& it : policy.routes) {
        const auto add = [&](const char* field, const std::string& message) {
            found.push_back({finding_kind::unreachable_route, place_of(it),
                             field, message});
        };
        const auto [known, is_new] =
            first.emplace(std::pair(lower(it.host), it.path_prefix), it.name);
        if (!is_new)
            add("path_prefix", "route " + known->second +
                                   " before it has the same host and prefix");
        const auto& prefix = it.path_prefix;
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
            add("path_prefix", "does not begin and end with a slash");
        if (it.host.empty())
            add("host", "is empty");
        if (it.timeout <= duration::zero())
            add("timeout", "is 0: no call can be answered in time");
    }
}

void check_services(const traffic_policy& policy, findings& found) {
    std::set<std::string> known;
    for (const auto& it : policy.services)
        known.insert(it.name.value);
    for (const auto& it : policy.routes)
        for (const auto& part : it.service_weights)
            if (known.count(part.service.value) == 0)
                found.push_back({finding_kind::unknown_service, place_of(it),
                                 "service",
                                 "there is no service " + part.service.value});
}

void check_limits(const traffic_policy& policy, findings& found) {
    const auto add = [&](const std::string& place, const char* field,
                         const std::string& message) {
        found.push_back(
            {finding_kind::contradicting_limits, place, field, message});
    };
    for (const auto& it : policy.routes) {
        if (it.target_latency > it.timeout)
            add(place_of(it), "target_latency",
                time_text(it.target_latency) + " is above the timeout of " +
                    time_text(it.timeout));
        if (it.max_attempts == 0)
            add(place_of(it), "max_attempts",
                "is 0; a call is sent to one target all the same");
    }
    const auto& limits = policy.limits;
    if (limits.max_header_bytes == 0)
        add("limits", "max_header_bytes", "is 0: every call is refused");
    if (limits.request_timeout <= duration::zero())
        add("limits", "request_timeout", "is 0: every call is late");
    for (const auto& it : policy.owners) {
        if (!it.is_limited() && it.burst > 0)
            add(place_of(it), "burst", "has no effect without a rate");
        if (it.is_limited() && it.burst < 1)
            add(place_of(it), "burst",
                number(it.burst) + " is below one call: of calls that arrive "
                                   "together all but one may be refused");
        if (it.credentials.empty())
            add(place_of(it), "credentials",
                "are missing: the owner can send no call");
    }
}

void check_credentials(const traffic_policy& policy, findings& found) {
    std::map<sha256_digest, std::string> holder;
    for (const auto& it : policy.owners)
        for (const auto& digest : it.credentials) {
            const auto [known, is_new] = holder.emplace(digest, it.name.value);
            if (is_new)
                continue;
            found.push_back(
                {finding_kind::shared_credential, place_of(it), "credentials",
                 known->second == it.name.value
                     ? std::string("one is listed twice")
                     : "one is also held by owner " + known->second});
        }
}

/// Compares the entries of two lists by name.
template <class Entry>
void compare_lists(
    const std::vector<Entry>& before, const std::vector<Entry>& after,
    findings& found,
    const std::function<void(const Entry&, const Entry&)>& compare) {
    std::map<std::string, const Entry*> known;
    for (const auto& it : before)
        known.emplace(key_of(it), &it);
    std::set<std::string> kept;
    for (const auto& it : after) {
        const auto old = known.find(key_of(it));
        if (old == known.end())
            found.push_back({finding_kind::change, place_of(it), "", "added"});
        else if (kept.insert(key_of(it)).second)
            compare(*old->second, it);
    }
    for (const auto& it : before)
        if (kept.count(key_of(it)) == 0)
            found.push_back(
                {finding_kind::change, place_of(it), "", "removed"});
}

/// Adds a change of one field if its text differs.
class field_comparison {
  public:
    field_comparison(std::string place, findings& found)
        : place_(std::move(place)), found_(found) {}

    void operator()(const char* field, const std::string& before,
                    const std::string& after) {
        if (before != after)
            found_.push_back(
                {finding_kind::change, place_, field, before + " -> " + after});
    }

  private:
    std::string place_;
    findings& found_;
};

/// Shares of the calls, which weights of another scale leave as they are.
std::string shares_of(const route& it) {
    double total = 0;
    std::map<std::string, double> weights;
    for (const auto& part : it.service_weights) {
        weights[part.service.value] += part.weight;
        total += part.weight;
    }
    std::string text;
    for (const auto& [service, weight] : weights)
        text += (text.empty() ? "" : ", ") + service + " " +
                number(100 * weight / total) + " %";
    return text;
}

std::string yes_or_no(bool is_true) {
    return is_true ? "yes" : "no";
}

void compare_routes(const route& a, const route& b, findings& found) {
    field_comparison field(place_of(b), found);
    field("host", lower(a.host), lower(b.host));
    field("path_prefix", a.path_prefix, b.path_prefix);
    field("idempotent", yes_or_no(a.is_idempotent), yes_or_no(b.is_idempotent));
    field("timeout", time_text(a.timeout), time_text(b.timeout));
    field("target_latency", time_text(a.target_latency),
          time_text(b.target_latency));
    field("priority", number(a.priority), number(b.priority));
    field("max_attempts", number(a.max_attempts), number(b.max_attempts));
    field("services", shares_of(a), shares_of(b));
    field("credential_exempt", yes_or_no(a.is_credential_exempt),
          yes_or_no(b.is_credential_exempt));
}

std::size_t count_missing(const std::vector<sha256_digest>& of,
                          const std::vector<sha256_digest>& in) {
    const std::set<sha256_digest> known(in.begin(), in.end());
    const std::set<sha256_digest> all(of.begin(), of.end());
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const sha256_digest& it) {
            return known.count(it) == 0;
        }));
}

void compare_owners(const owner_rule& a, const owner_rule& b, findings& found) {
    field_comparison field(place_of(b), found);
    const auto priority = [](const owner_rule& it) {
        return it.priority ? number(*it.priority) : std::string("the route's");
    };
    field("priority", priority(a), priority(b));
    field("rate_per_s", number(a.rate_per_s), number(b.rate_per_s));
    field("burst", number(a.burst), number(b.burst));
    const auto added = count_missing(b.credentials, a.credentials);
    const auto withdrawn = count_missing(a.credentials, b.credentials);
    if (added + withdrawn > 0)
        found.push_back({finding_kind::change, place_of(b), "credentials",
                         std::to_string(added) + " added, " +
                             std::to_string(withdrawn) + " withdrawn"});
}

void compare_limits(const caller_limits& a, const caller_limits& b,
                    findings& found) {
    field_comparison field("limits", found);
    field("max_header_bytes", std::to_string(a.max_header_bytes),
          std::to_string(b.max_header_bytes));
    field("max_body_bytes", std::to_string(a.max_body_bytes),
          std::to_string(b.max_body_bytes));
    field("request_timeout", time_text(a.request_timeout),
          time_text(b.request_timeout));
    field("idle_timeout", time_text(a.idle_timeout), time_text(b.idle_timeout));
}

} // namespace

std::string_view to_string(finding_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

findings check_policy(const traffic_policy& policy) {
    findings found;
    check_names(policy.routes, found);
    check_names(policy.services, found);
    check_names(policy.owners, found);
    check_reach(policy, found);
    check_services(policy, found);
    check_limits(policy, found);
    check_credentials(policy, found);
    return found;
}

findings compare_policies(const traffic_policy& in_force,
                          const traffic_policy& proposed) {
    findings found;
    if (proposed.version <= in_force.version)
        found.push_back({finding_kind::stale_version, "version", "",
                         std::to_string(proposed.version) +
                             " is not above the one in force, " +
                             std::to_string(in_force.version)});
    compare_lists<route>(
        in_force.routes, proposed.routes, found,
        [&](const route& a, const route& b) { compare_routes(a, b, found); });
    compare_lists<service_rule>(
        in_force.services, proposed.services, found,
        [&](const service_rule& a, const service_rule& b) {
            field_comparison(place_of(b), found)("max_connections",
                                                 number(a.max_connections),
                                                 number(b.max_connections));
        });
    compare_limits(in_force.limits, proposed.limits, found);
    field_comparison("owners", found)("identified",
                                      yes_or_no(in_force.identifies_owners),
                                      yes_or_no(proposed.identifies_owners));
    compare_lists<owner_rule>(in_force.owners, proposed.owners, found,
                              [&](const owner_rule& a, const owner_rule& b) {
                                  compare_owners(a, b, found);
                              });
    return found;
}

} // namespace redwingwind::relay
