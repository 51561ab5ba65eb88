#pragma once

#include <redwingwind/common/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwingwind::experiment {

/// One kind of request that callers send.
struct mix_entry {
    std::string service;
    std::string path;
    std::string importance;
    std::string owner;
    double weight{1};
    duration deadline{};
    /// Running it twice would do harm; sent with a ticket in mode full.
    bool once{};
};

struct phase_times {
    duration warm{};
    duration steady{};
    duration surge{};
    duration calm{};
};

struct experiment_config {
    std::string name;
    double base_rps{};
    phase_times phases;
    std::uint32_t resends{};
    duration resend_pause{};
    /// A request that succeeds later than this after its first sending does
    /// not count.
    duration patience{};
    std::vector<mix_entry> mix;
    std::string ping_service;
    std::string ping_path;
};

struct target_endpoint {
    std::string service;
    std::string url;
};

/// Where a running deployment is reached.
struct deployment {
    std::vector<std::string> callers;
    std::vector<target_endpoint> targets;
    std::vector<std::string> nodes;
};

/// Errors: not_found, bad_input.
absl::StatusOr<experiment_config> read_config(const std::string& file);

/// Deployments by mode. Errors: not_found, bad_input.
absl::StatusOr<std::map<std::string, deployment>>
read_deployments(const std::string& file);

} // namespace redwingwind::experiment
