#include "platform_places.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <utility>

namespace redwingwind::integration {
namespace {

constexpr auto host = "shop.example";
constexpr std::size_t ports_per_node = 5;
constexpr duration limit = std::chrono::seconds(20);

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json route_row(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service) {
    constexpr double timeout_s = 5;
    constexpr double target_latency_s = 1;
    constexpr int priority = 1;
    constexpr int most_attempts = 3;
    return {name,         host,    prefix,           kind,
            timeout_s,    service, target_latency_s, priority,
            most_attempts};
}

} // namespace

// Targets ---------------------------------------------------------------------

test_target::test_target(io::reactor& loop) {
    io::stream_limits limits;
    limits.message.max_body_bytes = std::size_t{64} << 20U;
    limits.max_buffered_bytes = std::size_t{512} << 20U;
    server_ = std::make_unique<io::stream_server>(
        loop, io::listen_address{}, limits,
        io::stream_server::hooks{[this](io::stream_server::incoming_request a) {
                                     on_request(std::move(a));
                                 },
                                 [](io::stream_server::exchange_id) {}});
}

void test_target::on_request(io::stream_server::incoming_request arrival) {
    const auto& headers = arrival.request.headers;
    const auto id = io::find_header(headers, "Request-Id");
    if (manner_ == manner::full) {
        server_->respond(
            arrival.exchange,
            {503, {{"Request-Id", id}, {"Not-Executed", "1"}}, ""});
        return;
    }
    seen_request it;
    it.caller = io::find_header(headers, "Caller-Service");
    it.instance = io::find_header(headers, "Expected-Instance");
    it.time_left_ms =
        std::atoll(io::find_header(headers, "Request-Deadline").c_str());
    it.request = std::move(arrival.request);
    seen_.push_back(std::move(it));
    if (run_)
        run_(seen_.back(), [this, exchange = arrival.exchange, id](int status) {
            answer(exchange, id, status);
        });
    else if (manner_ == manner::holds)
        held_.push_back({arrival.exchange, id});
    else
        answer(arrival.exchange, id);
}

void test_target::answer(io::stream_server::exchange_id exchange,
                         const std::string& id, int status) {
    server_->respond(exchange, {status,
                                {{"Request-Id", id}, {"Response-Seal", "s"}},
                                "done " + id + std::string(padding_, '.')});
}

void test_target::release() {
    for (const auto& it : std::exchange(held_, {}))
        answer(it.exchange, it.id);
}

std::size_t test_target::runs(const std::string& id) const {
    return static_cast<std::size_t>(
        std::count_if(seen_.begin(), seen_.end(), [&](const auto& it) {
            return io::find_header(it.request.headers, "Request-Id") == id;
        }));
}

// Deployments -----------------------------------------------------------------

platform_deployment::platform_deployment(http_caller& http,
                                         std::vector<std::string> services,
                                         int grace_s, node_limits limits)
    : http_(http), store_("stand-in-platform", {}, true),
      store_url_("http://" + local(store_.port())),
      services_(std::move(services)), grace_s_(grace_s), limits_(limits),
      ports_(ports_per_node * services_.size()) {
    for (std::size_t n = 0; n < services_.size(); ++n) {
        auto place = std::make_unique<platform_place>();
        place->service = services_[n];
        place->domain = "d" + std::to_string(n % 2);
        place->instance = "i-" + std::to_string(n);
        place->outbound = ports_[ports_per_node * n];
        place->readiness = ports_[ports_per_node * n + 1];
        place->announce = ports_[ports_per_node * n + 2];
        place->peer = ports_[ports_per_node * n + 3];
        place->metrics = ports_[ports_per_node * n + 4];
        place->target = std::make_unique<test_target>(http_.loop());
        place->target_port = place->target->port();
        const auto name = std::to_string(place->outbound);
        place->settings_file = temporary_file(name + ".flags");
        place->log_file = log_file(name + ".log");
        places_.push_back(std::move(place));
        start_node(n);
    }
}

platform_deployment::~platform_deployment() {
    for (const auto& it : places_) {
        std::filesystem::remove(it->settings_file);
        if (!keeps_logs())
            std::filesystem::remove(it->log_file);
    }
}

void platform_deployment::start_node(std::size_t n) {
    auto& it = at(n);
    it.node.reset();
    std::ofstream file(it.settings_file);
    file << "--name=n" << n << "\n--ip=127.0.0.1\n--peer_port=" << it.peer
         << "\n--region=r\n--domain=" << it.domain
         << "\n--service=" << it.service
         << "\n--target=" << local(it.target_port)
         << "\n--outbound=" << local(it.outbound)
         << "\n--readiness=" << local(it.readiness)
         << "\n--announce=" << local(it.announce)
         << "\n--metrics=" << local(it.metrics)
         << "\n--platform_store=" << local(store_.port())
         << "\n--heartbeat_s=" << limits_.heartbeat_s
         << "\n--memory_mb=" << limits_.memory_mb
         << "\n--descriptors=" << limits_.descriptors
         << "\n--bounds=grace_s=" << grace_s_
         << ",retry_budget_ratio=0.2,budget_slack=50,budget_window_s=10,quota_"
            "window_s=5,"
            "quota_overage=0.1,quota_slack=20"
            "\n--keys="
         << keys << "\n";
    file.close();
    it.node = std::make_unique<process>(
        "redwingwind-node",
        std::vector<std::string>{"--flagfile=" + it.settings_file}, false,
        it.log_file);
}

void platform_deployment::configure(
    std::uint64_t version, const std::map<std::string, std::string>& moved) {
    nlohmann::json rows = nlohmann::json::array();
    nlohmann::json services = nlohmann::json::array();
    for (const auto& it : std::set(services_.begin(), services_.end())) {
        const auto to = moved.contains(it) ? moved.at(it) : it;
        rows.push_back(
            route_row(it + "-once", "/" + it + "/", "non_idempotent", to));
        rows.push_back(
            route_row(it + "-again", "/again/" + it + "/", "idempotent", to));
        services.push_back(nlohmann::json::array({it, 64}));
    }
    char digits[9];
    std::snprintf(digits, sizeof(digits), "%08llx",
                  static_cast<unsigned long long>(version));
    nlohmann::json body;
    body["metadata"]["name"] = "main";
    body["spec"] = {
        {"version", digits},
        {"routes",
         {{"columns",
           {"name", "authority", "path_prefix", "kind", "timeout_s", "service",
            "target_latency_s", "priority", "max_attempts"}},
          {"rows", rows}}},
        {"services",
         {{"columns", {"name", "max_connections"}}, {"rows", services}}},
        {"limits", nlohmann::json::object()}};
    if (!owners_.empty()) {
        nlohmann::json tenants = nlohmann::json::array();
        for (const auto& it : owners_)
            tenants.push_back(nlohmann::json::array(
                {it.name, nlohmann::json::array({it.credential}), nullptr,
                 it.rate_per_s, it.burst}));
        body["spec"]["tenants"] = {
            {"columns",
             {"name", "api_keys", "priority", "rate_per_s", "burst"}},
            {"rows", tenants}};
    }
    if (limits_.max_body_bytes > 0)
        body["spec"]["limits"]["max_body_bytes"] = limits_.max_body_bytes;
    io::http_call call;
    call.method = "PUT";
    call.url = store_url_ + "/objects/config/main";
    call.body = body.dump();
    if (http_.call(call).response.status == 404)
        http_.post(store_url_ + "/objects/config", body.dump());
}

http_response platform_deployment::beat(std::size_t n,
                                        const std::string& state) {
    constexpr std::uint32_t slots = 8;
    auto& it = at(n);
    nlohmann::json said{
        {"service", it.service}, {"address", local(it.target_port)},
        {"zone", it.domain},     {"version", "v1"},
        {"slots", slots},        {"state", state},
        {"cold_remaining_s", 0}, {"sequence", ++it.sequence}};
    if (it.started_ms != 0)
        said["born"] = it.started_ms;
    io::http_call call;
    call.method = "PUT";
    call.url = "http://" + local(it.announce) + "/instances/" + it.instance;
    call.body = said.dump();
    return http_.call(call).response;
}

http_response platform_deployment::leave(std::size_t n) {
    auto& it = at(n);
    io::http_call call;
    call.method = "DELETE";
    call.url = "http://" + local(it.announce) + "/instances/" + it.instance;
    return http_.call(call).response;
}

bool platform_deployment::is_ready(std::size_t n) {
    io::http_call call;
    call.url = "http://" + local(at(n).readiness) + "/readiness";
    return http_.call(call).response.status == 200;
}

bool platform_deployment::wait_ready() {
    return http_.wait_until(
        [&] {
            for (std::size_t n = 0; n < size(); ++n)
                if (!is_ready(n))
                    return false;
            return true;
        },
        limit);
}

bool platform_deployment::wait_served() {
    if (!wait_ready())
        return false;
    for (std::size_t n = 0; n < size(); ++n)
        beat(n);
    return http_.wait_until(
        [&] {
            for (std::size_t n = 0; n < size(); ++n)
                if (!knows_all(metrics_of(n)))
                    return false;
            return true;
        },
        limit);
}

bool platform_deployment::knows_all(const std::string& metrics) const {
    for (const auto& service : std::set(services_.begin(), services_.end())) {
        const auto count =
            std::count(services_.begin(), services_.end(), service);
        const auto line = "redwingwind_targets{service=\"" + service + "\"} " +
                          std::to_string(count) + "\n";
        if (metrics.find(line) == std::string::npos)
            return false;
    }
    return true;
}

std::string platform_deployment::metrics_of(std::size_t n) {
    io::http_call call;
    call.url = "http://" + local(at(n).metrics) + "/metrics";
    return http_.call(call).response.body;
}

std::vector<std::string> platform_deployment::log_files() const {
    std::vector<std::string> all;
    for (const auto& it : places_)
        all.push_back(it->log_file);
    return all;
}

void platform_deployment::store_faults(const std::string& faults) {
    http_.post(store_url_ + "/control", faults);
}

std::set<std::string> platform_deployment::stored(const std::string& kind) {
    io::http_call call;
    call.url = store_url_ + "/objects/" + kind;
    const auto all =
        nlohmann::json::parse(http_.call(call).response.body, nullptr, false);
    std::set<std::string> names;
    if (!all.is_object())
        return names;
    for (const auto& it : all.value("items", nlohmann::json::array()))
        names.insert(it.at("metadata").at("name").get<std::string>());
    return names;
}

io::http_call platform_deployment::make_call(std::size_t n,
                                             const std::string& target,
                                             const std::string& id) const {
    io::http_call call;
    call.url = "http://" + local(places_.at(n)->outbound) + target;
    call.headers = {
        {"Host", host}, {"Request-Id", id}, {"Request-Deadline", "4000"}};
    call.timeout = std::chrono::seconds(10);
    call.may_resend = false;
    return call;
}

io::http_result platform_deployment::send(std::size_t n,
                                          const std::string& target,
                                          const std::string& id) {
    return http_.call(make_call(n, target, id));
}

} // namespace redwingwind::integration
