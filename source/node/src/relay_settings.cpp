#include <redwingwind/common/error.hpp>
#include <redwingwind/common/settings.hpp>
#include <redwingwind/platform_adapter/bounds.hpp>

#include "relay_settings.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

ABSL_FLAG(std::string, outbound, "",
          "IP:PORT for the callers on this machine; turns on the platform's "
          "data path");
ABSL_FLAG(std::string, readiness, "", "IP:PORT that tells of readiness");
ABSL_FLAG(std::string, announce, "", "IP:PORT for the target's heartbeats");
ABSL_FLAG(std::string, metrics, "", "IP:PORT for metrics; empty for none");
ABSL_FLAG(std::string, target, "", "IP:PORT of the target beside this node");
ABSL_FLAG(std::string, service, "", "Service of the target");
ABSL_FLAG(std::string, platform_store, "",
          "IP:PORT of the platform's object store");
ABSL_FLAG(double, heartbeat_s, 2.0, "Seconds between a target's heartbeats");
ABSL_FLAG(std::string, bounds, "",
          "The platform's promises, NAME=VALUE,NAME=VALUE");
ABSL_FLAG(std::int64_t, memory_mb, 256, "Memory limit of the process");
ABSL_FLAG(std::int64_t, descriptors, 4096, "Descriptor limit of the process");

ABSL_FLAG(std::int64_t, most_pipelined, 64,
          "Requests of one connection taken before the first is answered");

ABSL_FLAG(std::string, balance, "auto",
          "How targets are compared: reported (by the load reported last), "
          "forecast (by the load and speed expected now) or auto (forecast for "
          "services whose targets report their speed)");

ABSL_DECLARE_FLAG(std::string, name);
ABSL_DECLARE_FLAG(std::string, ip);
ABSL_DECLARE_FLAG(std::int64_t, peer_port);
ABSL_DECLARE_FLAG(std::string, region);
ABSL_DECLARE_FLAG(std::string, domain);
ABSL_DECLARE_FLAG(std::string, keys);
ABSL_DECLARE_FLAG(std::string, contacts);
ABSL_DECLARE_FLAG(std::string, log_level);
ABSL_DECLARE_FLAG(bool, check_settings);

namespace redwingwind::node {
namespace {

/// Heartbeats of a target that may be missed before it counts as gone.
constexpr double missed_heartbeats = 4.0;
/// Memory that the process takes without peers (20.5 MB), and room for
/// configuration, members, metrics, and what the allocator keeps.
constexpr std::int64_t own_memory_mb = 28;
/// What a frame holds besides its body: headers, names and loads.
constexpr std::size_t max_frame_overhead = std::size_t{1} << 20U;
/// Share of the descriptors that callers may take.
constexpr double caller_share = 0.6;
/// Share of the platform's retry budget that nodes plan with. A tenth of the
/// repeats that the platform counted on one day was in no node's count.
constexpr double planned_repeats = 0.9;
/// Kept free of the stop time for the last answers to leave.
constexpr duration stop_margin = std::chrono::milliseconds(500);

absl::Status bad(absl::string_view flag, absl::string_view allowed) {
    return make_error(error_code::bad_input,
                      absl::StrCat("--", flag, ": ", allowed));
}

duration from_seconds(double s) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

absl::StatusOr<io::listen_address> listen_of(const char* flag,
                                             const std::string& text) {
    if (text.empty())
        return io::listen_address{"127.0.0.1", 0};
    const auto where = coordination::parse_address(text);
    if (where.ip.empty())
        return bad(flag, "IP:PORT");
    return io::listen_address{where.ip, where.port};
}

absl::Status read_addresses(relay_settings& settings) {
    struct item {
        const char* flag;
        std::string text;
        io::listen_address* to;
    };
    const std::vector<item> items{
        {"outbound", absl::GetFlag(FLAGS_outbound), &settings.outbound},
        {"readiness", absl::GetFlag(FLAGS_readiness), &settings.readiness},
        {"announce", absl::GetFlag(FLAGS_announce), &settings.announce},
        {"metrics", absl::GetFlag(FLAGS_metrics), &settings.metrics}};
    for (const auto& it : items) {
        auto where = listen_of(it.flag, it.text);
        if (!where.ok())
            return where.status();
        *it.to = *where;
    }
    settings.target = coordination::parse_address(absl::GetFlag(FLAGS_target));
    if (settings.target.port == 0)
        return bad("target", "IP:PORT of the target beside this node");
    for (const auto part : absl::StrSplit(absl::GetFlag(FLAGS_contacts), ',',
                                          absl::SkipEmpty())) {
        const auto where = coordination::parse_address(std::string(part));
        if (where.port == 0)
            return bad("contacts", "a list IP:PORT,IP:PORT");
        settings.contacts.push_back(where);
    }
    return absl::OkStatus();
}

absl::StatusOr<overload::balance_mode> read_balance() {
    const auto text = absl::GetFlag(FLAGS_balance);
    if (text == "auto")
        return overload::balance_mode::automatic;
    if (text == "reported")
        return overload::balance_mode::reported;
    if (text == "forecast")
        return overload::balance_mode::forecast;
    return bad("balance", "auto, reported or forecast");
}

void read_self(relay_settings& settings) {
    auto& self = settings.self;
    self.endpoint = {
        absl::GetFlag(FLAGS_ip),
        static_cast<std::uint16_t>(absl::GetFlag(FLAGS_peer_port))};
    self.region.value = absl::GetFlag(FLAGS_region);
    self.domain.value = absl::GetFlag(FLAGS_domain);
    self.service.value = absl::GetFlag(FLAGS_service);
    // A life of its own, whatever the time of day does: the clock of a
    // machine may have been set back since its last start.
    const auto life = random_seed();
    self.id.life.value = life;
    const auto name = absl::GetFlag(FLAGS_name);
    self.id.name.value = absl::StrCat(
        name.empty() ? coordination::to_string(self.endpoint) : name, ":",
        absl::Hex(life & 0xffffffffU, absl::kZeroPad8));
}

void read_limits(relay_settings& settings) {
    settings.memory_bytes =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_memory_mb) - own_memory_mb)
        << 20U;
    settings.most_callers = static_cast<std::uint32_t>(
        static_cast<double>(absl::GetFlag(FLAGS_descriptors)) * caller_share);
    settings.most_pipelined =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_most_pipelined));
    settings.links.most_frame_bytes =
        io::memory_account(settings.memory_bytes).max_body_bytes() +
        max_frame_overhead;
}

} // namespace

bool is_relay_configured() {
    return !absl::GetFlag(FLAGS_outbound).empty();
}

const std::vector<setting_range>& relay_ranges() {
    static const std::vector<setting_range> all{
        {"memory_mb", 64, 1 << 20},
        {"descriptors", 256, 1 << 20},
        {"most_pipelined", 1, 1024},
    };
    return all;
}

absl::StatusOr<relay_settings> read_relay_settings() {
    relay_settings settings;
    auto keys = coordination::keyring::parse(absl::GetFlag(FLAGS_keys));
    if (!keys.ok())
        return bad("keys", keys.status().message());
    settings.keys = *std::move(keys);
    if (auto status = read_addresses(settings); !status.ok())
        return status;
    if (absl::GetFlag(FLAGS_service).empty())
        return bad("service", "the name of the target's service");
    if (coordination::parse_address(absl::GetFlag(FLAGS_platform_store)).port ==
        0)
        return bad("platform_store", "IP:PORT");
    const auto balance = read_balance();
    if (!balance.ok())
        return balance.status();
    settings.call_router.placement.balance = *balance;
    read_self(settings);
    read_limits(settings);
    settings.agent.store_url =
        absl::StrCat("http://", absl::GetFlag(FLAGS_platform_store));
    const auto bounds =
        platform_adapter::decode_bounds(absl::GetFlag(FLAGS_bounds));
    if (!bounds.ok())
        return bad("bounds", bounds.status().message());
    settings.call_router.retries.ratio = bounds->retry_ratio * planned_repeats;
    settings.call_router.retries.slack = bounds->retry_slack * planned_repeats;
    settings.call_router.retries.window = bounds->retry_window;
    settings.allowances.window = bounds->quota_window;
    settings.allowances.overage = bounds->quota_overage;
    settings.allowances.slack = bounds->quota_slack;
    settings.stop_time = bounds->stop_time - stop_margin;
    settings.call_router.service = settings.self.service;
    settings.call_router.domain = settings.self.domain;
    settings.target_dispatcher.service = settings.self.service;
    settings.target_dispatcher.announce_timeout =
        from_seconds(absl::GetFlag(FLAGS_heartbeat_s) * missed_heartbeats);
    settings.target_dispatcher.confirmation_interval =
        from_seconds(absl::GetFlag(FLAGS_heartbeat_s) / 2);
    settings.file = flag_file();
    settings.log_level = absl::GetFlag(FLAGS_log_level);
    settings.is_check_only = absl::GetFlag(FLAGS_check_settings);
    return settings;
}

} // namespace redwingwind::node
