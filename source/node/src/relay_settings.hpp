#pragma once

#include <redwingwind/common/settings.hpp>
#include <redwingwind/coordination/allowance.hpp>
#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/member.hpp>
#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/io/stream_server.hpp>
#include <redwingwind/relay/call_router.hpp>
#include <redwingwind/relay/target_dispatcher.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "peer_links.hpp"
#include "platform_agent.hpp"

namespace redwingwind::node {

/// Settings of a node that works on the users' platform, checked.
struct relay_settings {
    coordination::keyring keys;
    coordination::member_record self;
    coordination::membership_options membership;
    /// For callers on this machine.
    io::listen_address outbound;
    /// Tells whether this node may get callers.
    io::listen_address readiness;
    /// For the heartbeats of the target.
    io::listen_address announce;
    /// For metrics; port 0 for none.
    io::listen_address metrics;
    coordination::address target;
    link_options links;
    platform_agent_options agent;
    relay::call_router_options call_router;
    coordination::allowance_options allowances;
    relay::target_dispatcher_options target_dispatcher;
    std::vector<coordination::address> contacts;
    /// Bytes that the process may hold for callers, targets and other nodes.
    std::size_t memory_bytes{};
    std::uint32_t most_callers{};
    /// Requests of one caller's connection taken at the same time.
    std::uint32_t most_pipelined{};
    /// From the stop signal until the process is gone.
    duration stop_time{};
    std::string log_level;
    /// Read again on SIGHUP and when it has changed; empty for none.
    std::string file;
    bool is_check_only{};
};

/// True when the flags ask for the platform's data path.
bool is_relay_configured();

/// Reads the flags that read_settings() has taken in. Errors: bad_input,
/// naming the setting and what is allowed.
absl::StatusOr<relay_settings> read_relay_settings();

/// The ranges of the flags, for read_settings().
const std::vector<setting_range>& relay_ranges();

} // namespace redwingwind::node
