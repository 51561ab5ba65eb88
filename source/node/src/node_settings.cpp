#include "node_settings.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/settings.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <arpa/inet.h>

ABSL_FLAG(std::string, name, "", "Name of this node; IP:PEER_PORT when empty");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP number for callers and nodes");
ABSL_FLAG(std::int64_t, call_port, 7300, "Port for callers; 0 takes any");
ABSL_FLAG(std::int64_t, peer_port, 7301, "TCP and UDP port for nodes; not 0");
ABSL_FLAG(std::int64_t, local_port, 7302,
          "Loopback port for the target and operators; 0 takes any");
ABSL_FLAG(std::string, advertise, "",
          "IP:PORT under which other nodes reach this one, when it is not its "
          "own");
ABSL_FLAG(std::string, region, "region-1", "Region of this instance");
ABSL_FLAG(std::string, domain, "domain-1", "Failure domain of this instance");
ABSL_FLAG(std::string, graph, "default", "Call graph of this instance");
ABSL_FLAG(std::string, keys, "",
          "Shared keys ID:HEX,ID:HEX; the first signs, all are accepted");
ABSL_FLAG(std::string, store, "",
          "URL of the platform's object API; empty for none");
ABSL_FLAG(std::string, contacts, "", "IP:PORT,... of nodes to meet first");
ABSL_FLAG(std::string, control, "full",
          "full, or a baseline: none, retries or fixed");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warn or error");
ABSL_FLAG(bool, check_settings, false, "Check the settings and exit");
ABSL_FLAG(std::int64_t, max_body_bytes, 1 << 20, "Largest request or answer");
ABSL_FLAG(std::int64_t, max_header_bytes, 16 << 10, "Largest request header");
ABSL_FLAG(std::int64_t, max_connections, 4096, "Callers' connections");
ABSL_FLAG(std::int64_t, max_links, 4096, "Connections with nodes");
ABSL_FLAG(std::int64_t, max_calls, 20000, "Calls in flight, each direction");
ABSL_FLAG(std::int64_t, max_queued, 4096, "Calls waiting for the target");
ABSL_FLAG(std::int64_t, max_frame_bytes, 2 << 20,
          "Largest frame between nodes; more than max_body_bytes");
ABSL_FLAG(std::int64_t, max_tickets, 20000, "Used tickets remembered");
ABSL_FLAG(std::int64_t, ticket_life_ms, 60000, "Time a ticket may be used");
ABSL_FLAG(std::int64_t, idle_timeout_ms, 30000, "Idle callers' connections");
ABSL_FLAG(std::int64_t, announce_timeout_ms, 10000,
          "Without a target's heartbeat for this long it counts as gone");
ABSL_FLAG(std::int64_t, drain_grace_ms, 500,
          "A leaving target gets new work at most this long");
ABSL_FLAG(std::int64_t, stop_timeout_ms, 15000,
          "Time for work in flight after SIGTERM");
ABSL_FLAG(std::int64_t, probe_interval_ms, 1000, "Time between probes");
ABSL_FLAG(std::int64_t, suspicion_ms, 3000,
          "Time for a suspected node to answer");
ABSL_FLAG(std::int64_t, usage_period_ms, 10000, "Time between usage reports");
ABSL_FLAG(std::int64_t, watch_time_ms, 20000, "Longest wait of a store watch");
ABSL_FLAG(std::int64_t, subset, 16, "Targets of one service to talk to");

namespace redwingwind::node {
namespace {

constexpr std::int64_t hour_ms = 3600000;

const std::vector<setting_range>& ranges() {
    static const std::vector<setting_range> all{
        {"call_port", 0, 65535},
        {"peer_port", 1, 65535},
        {"local_port", 0, 65535},
        {"max_body_bytes", 1024, 16 << 20},
        {"max_header_bytes", 4096, 1 << 20},
        {"max_connections", 1, 8000},
        {"max_links", 1, 8000},
        {"max_calls", 1, 1000000},
        {"max_queued", 1, 1000000},
        {"max_frame_bytes", 65536, 64 << 20},
        {"max_tickets", 1, 1000000},
        {"ticket_life_ms", 1000, hour_ms},
        {"idle_timeout_ms", 1000, hour_ms},
        {"announce_timeout_ms", 500, hour_ms},
        {"drain_grace_ms", 0, 3000},
        {"stop_timeout_ms", 0, hour_ms},
        {"probe_interval_ms", 50, 60000},
        {"suspicion_ms", 100, 60000},
        {"usage_period_ms", 200, hour_ms},
        {"watch_time_ms", 100, 60000},
        {"subset", 2, 256}};
    return all;
}

duration milliseconds_flag(const absl::Flag<std::int64_t>& flag) {
    return std::chrono::milliseconds(absl::GetFlag(flag));
}

absl::Status bad(const std::string& flag, const std::string& allowed) {
    return make_error(error_code::bad_input,
                      absl::StrCat("--", flag, ": ", allowed));
}

absl::StatusOr<overload::control_mode> parse_mode(const std::string& text) {
    if (text == "full")
        return overload::control_mode::full;
    if (text == "none")
        return overload::control_mode::none;
    if (text == "retries")
        return overload::control_mode::retries;
    if (text == "fixed")
        return overload::control_mode::fixed;
    return bad("control", "allowed are full, none, retries and fixed");
}

absl::Status check_names() {
    const std::vector<std::pair<std::string, std::string>> names{
        {"region", absl::GetFlag(FLAGS_region)},
        {"domain", absl::GetFlag(FLAGS_domain)},
        {"graph", absl::GetFlag(FLAGS_graph)}};
    for (const auto& [flag, value] : names)
        if (!is_valid_name(value))
            return bad(flag, "a name of 1 to 64 letters, digits, '-', '_', "
                             "'.' or ':'");
    in_addr ip{};
    if (inet_pton(AF_INET, absl::GetFlag(FLAGS_ip).c_str(), &ip) != 1)
        return bad("ip", "an IP number, such as 10.0.0.7");
    const auto level = absl::GetFlag(FLAGS_log_level);
    if (level != "debug" && level != "info" && level != "warn" &&
        level != "error")
        return bad("log_level", "allowed are debug, info, warn and error");
    const auto store = absl::GetFlag(FLAGS_store);
    if (!store.empty() && store.substr(0, 7) != "http://")
        return bad("store", "a URL that starts with http://");
    return absl::OkStatus();
}

absl::Status read_contacts(node_settings& settings) {
    const auto text = absl::GetFlag(FLAGS_contacts);
    for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const auto where = coordination::parse_address(std::string(part));
        if (where.port == 0)
            return bad("contacts", "a list IP:PORT,IP:PORT");
        settings.contacts.push_back(where);
    }
    return absl::OkStatus();
}

absl::Status read_self(node_settings& settings) {
    auto& self = settings.core.self;
    const auto port =
        static_cast<std::uint16_t>(absl::GetFlag(FLAGS_peer_port));
    self.endpoint = {absl::GetFlag(FLAGS_ip), port};
    settings.listen_on = self.endpoint;
    const auto name = absl::GetFlag(FLAGS_name);
    self.id.name = {name.empty() ? to_string(self.endpoint) : name};
    if (!is_valid_name(self.id.name.value))
        return bad("name", "1 to 64 letters, digits, '-', '_', '.' or ':'");
    self.id.life = {wall_microseconds()};
    self.region = {absl::GetFlag(FLAGS_region)};
    self.domain = {absl::GetFlag(FLAGS_domain)};
    const auto advertise = absl::GetFlag(FLAGS_advertise);
    if (advertise.empty())
        return absl::OkStatus();
    self.endpoint = coordination::parse_address(advertise);
    if (self.endpoint.port == 0)
        return bad("advertise", "IP:PORT");
    return absl::OkStatus();
}

void read_limits(node_settings& settings) {
    auto& core = settings.core;
    const auto calls =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_calls));
    core.calls.max_calls = calls;
    core.executions.max_executions = calls;
    core.executions.max_queued =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_queued));
    core.executions.drain_grace = milliseconds_flag(FLAGS_drain_grace_ms);
    core.tickets.max_entries =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_max_tickets));
    core.tickets.lifetime = milliseconds_flag(FLAGS_ticket_life_ms);
    core.membership.probe_interval = milliseconds_flag(FLAGS_probe_interval_ms);
    core.membership.suspicion_timeout = milliseconds_flag(FLAGS_suspicion_ms);
    core.announce_timeout = milliseconds_flag(FLAGS_announce_timeout_ms);
    core.usage_period = milliseconds_flag(FLAGS_usage_period_ms);
    core.balance.subset = static_cast<std::size_t>(absl::GetFlag(FLAGS_subset));
    const auto body =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_max_body_bytes));
    auto& server = settings.call_server;
    server.max_body_bytes = body;
    server.max_header_bytes =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_max_header_bytes));
    server.max_connections =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_connections));
    server.idle_timeout = milliseconds_flag(FLAGS_idle_timeout_ms);
    settings.local_server = server;
    settings.local_server.ip = "127.0.0.1";
    settings.local_server.port =
        static_cast<std::uint16_t>(absl::GetFlag(FLAGS_local_port));
    server.ip = absl::GetFlag(FLAGS_ip);
    server.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_call_port));
    settings.links.most_frame_bytes =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_max_frame_bytes));
    settings.links.most_links =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_links));
    settings.store.usage_period = core.usage_period;
    settings.store.watch_time = milliseconds_flag(FLAGS_watch_time_ms);
    settings.stop_time = milliseconds_flag(FLAGS_stop_timeout_ms);
}

} // namespace

absl::StatusOr<node_settings> read_node_settings(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "redwingwind-node: runs beside one target instance. Every flag can "
        "be given as a variable RWW_FLAG too; flags go first.");
    std::vector<std::string> rest;
    if (auto status = read_settings(argc, argv, ranges(), rest); !status.ok())
        return status;
    if (!rest.empty())
        return make_error(error_code::bad_input,
                          absl::StrCat("unexpected argument ", rest.front()));
    if (auto status = check_names(); !status.ok())
        return status;
    node_settings settings;
    auto keys = coordination::keyring::parse(absl::GetFlag(FLAGS_keys));
    if (!keys.ok())
        return bad("keys", std::string(keys.status().message()));
    settings.keys = *std::move(keys);
    auto mode = parse_mode(absl::GetFlag(FLAGS_control));
    if (!mode.ok())
        return mode.status();
    settings.core.mode = *mode;
    settings.core.calls.mode = *mode;
    settings.core.executions.mode = *mode;
    if (auto status = read_contacts(settings); !status.ok())
        return status;
    if (auto status = read_self(settings); !status.ok())
        return status;
    read_limits(settings);
    // A whole body and the headers around it must fit into one frame.
    if (settings.links.most_frame_bytes <
        settings.call_server.max_body_bytes +
            settings.call_server.max_header_bytes)
        return bad("max_frame_bytes",
                   "at least max_body_bytes and max_header_bytes together");
    settings.core.graph = {absl::GetFlag(FLAGS_graph)};
    settings.store_url = absl::GetFlag(FLAGS_store);
    settings.log_level = absl::GetFlag(FLAGS_log_level);
    settings.is_check_only = absl::GetFlag(FLAGS_check_settings);
    return settings;
}

} // namespace redwingwind::node
