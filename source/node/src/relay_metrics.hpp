#pragma once

#include <redwingwind/coordination/owner_limiter.hpp>
#include <redwingwind/io/memory_account.hpp>
#include <redwingwind/io/stream_client.hpp>
#include <redwingwind/io/stream_server.hpp>
#include <redwingwind/overload/balancer.hpp>
#include <redwingwind/relay/call.hpp>
#include <redwingwind/relay/call_router.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace redwingwind::node {

/// What a node holds at the moment it is asked.
struct relay_gauges {
    std::size_t live_nodes{};
    std::size_t open_calls{};
    std::uint64_t policy_version{};
    /// Since the version came into force; 0 without one.
    duration policy_age{};
    bool is_store_reached{};
    std::uint64_t store_calls{};
    /// The highest seen; 0 if the store does not tell.
    std::uint64_t store_era{};
    std::uint64_t store_era_changes{};
    std::uint64_t store_late_responses{};
    std::uint64_t store_listings{};
    std::uint64_t log_lines_left_out{};
    overload::load_report target;
    io::stream_client_counters target_connections;
    double target_strain{};
    /// Load figures of the target's responses that were ignored.
    std::uint64_t target_figures_ignored{};
    std::vector<relay::service_targets> services;
    coordination::owner_limiter_state owner_limits;
    io::stream_server_counters callers;
    std::uint64_t calls_rejected_for_memory{};
    std::size_t memory_capacity{};
    /// By io::memory_kind.
    std::array<std::size_t, io::memory_kinds> memory_held{};
};

/// Counters, gauges and latency histograms in Prometheus' text format. Their
/// names are an interface: alerts and dashboards use them.
class relay_metrics {
  public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void on_call(const relay::finished_call& call);
    void on_run(const relay::finished_execution& run);
    /// Counts calls that were sent again, by the reason.
    void on_event(const relay::call_event& event);
    std::string text(const relay_gauges& now) const;

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::node
