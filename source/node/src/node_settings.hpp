#pragma once

#include <redwingwind/engine/node_core.hpp>
#include <redwingwind/io/http.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "peer_links.hpp"
#include "store_agent.hpp"

namespace redwingwind::node {

/// A node's settings, checked.
struct node_settings {
    engine::core_options core;
    coordination::keyring keys;
    io::http_server_options call_server;
    io::http_server_options local_server;
    link_options links;
    store_agent_options store;
    /// For other nodes, TCP and UDP.
    coordination::address listen_on;
    std::string store_url;
    std::vector<coordination::address> contacts;
    std::string log_level;
    duration stop_time{};
    bool is_check_only{};
};

/// Reads flags, RWW_* variables and defaults. Errors: bad_input, naming the
/// setting and what is allowed.
absl::StatusOr<node_settings> read_node_settings(int argc, char** argv);

} // namespace redwingwind::node
