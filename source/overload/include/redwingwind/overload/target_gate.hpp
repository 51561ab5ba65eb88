#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/balancer.hpp>
#include <redwingwind/overload/offered_load.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// A call that asks for a slot of the target.
struct gate_call {
    std::uint64_t id{};
    /// 0 is the most urgent and served first.
    std::uint8_t priority{};
    /// Made by a target while it executes another call: rejecting it wastes
    /// the work of that execution.
    bool is_nested{};
    time_point deadline;
    /// A response after this time is worth less to the caller.
    time_point latest_useful;

    auto operator<=>(const gate_call&) const = default;
};

struct gate_rejection {
    std::uint64_t id{};
    error_code why{};
    /// Estimated time until a slot is free for this call.
    duration retry_after{};

    auto operator<=>(const gate_rejection&) const = default;
};

/// What the caller of the gate must do after an event: reject these calls,
/// which never started, and start these.
struct gate_actions {
    std::vector<gate_rejection> reject;
    std::vector<std::uint64_t> start;
};

struct gate_options {
    /// Calls that the target executes at once.
    std::uint32_t slots{1};
    /// Share of the slots that is used, 0 to 1: targets slow down when more
    /// than 95 % of their slots are busy.
    double usable_share{0.945};
    /// Share of the time until latest_useful that a call may wait, 0 to 1.
    double wait_share{0.5};
    /// Upper bound of the time that a call waits.
    duration max_wait{std::chrono::seconds(2)};
    std::size_t max_waiting{4096};
    /// Share of the slots that root calls may use while nested calls wait,
    /// 0 to 1.
    double root_share{0.15};

    auto operator<=>(const gate_options&) const = default;
};

/// Decides at the local target which calls start, wait or are rejected. Every
/// call of the target passes the gate, so the number of slots in use is exact.
///
/// In a burst a call is rejected at once if the calls ahead of it, by rank,
/// will occupy the slots for longer than it can wait. A waiting call is
/// rejected when calls of higher rank that arrived later push it that far
/// back.
///
/// Where the target reports its present speed, the times that calls are
/// expected to wait and to hold a slot follow it, and a call is rejected at
/// once if it can't end before its deadline at that speed.
class target_gate {
  public:
    explicit target_gate(gate_options options) : options_(options) {}

    void set_slots(std::uint32_t slots) { options_.slots = slots; }
    /// In percent of the usual service time; 0 if the target reports none.
    void set_relative_service_time(std::uint16_t percent) {
        relative_time_ = percent / 100.0;
    }

    gate_actions arrive(time_point now, const gate_call& call);
    /// A started call ended after holding its slot for service_time.
    gate_actions finish(time_point now, std::uint64_t id,
                        duration service_time);
    /// Removes a waiting call; false if no waiting call has this id.
    bool withdraw(std::uint64_t id);
    /// Rejects the waiting calls that can no longer be served in time.
    gate_actions expire(time_point now);
    /// The target accepts no new calls: rejects all waiting ones.
    gate_actions close(error_code why);

    /// When expire() next has a call to reject; time_point::max() if never.
    time_point next_expiry() const;
    load_report load() const;
    /// Slots that may be used at once, at least 1.
    std::uint32_t limit() const;
    /// Work that arrives and that waits here over the capacity of the usable
    /// slots; exceeds 1 under overload.
    double offered_load(time_point now) const;

  private:
    struct waiting_call {
        gate_call call;
        time_point latest_start;
    };

    /// Kept apart for root and nested calls, whose service times may differ
    /// by an order of magnitude.
    struct call_stats {
        std::size_t running{};
        /// Exponentially weighted average of the service time.
        double average_service_time_s{0.05};
        /// Average of the relative service time over the same calls; 0 until
        /// one was reported.
        double average_relative_time{};
        /// Least service time of recent calls at the usual speed, in seconds;
        /// 0 until a relative service time was reported.
        double least_service_time_s{};

        /// Slots that calls of this kind free per second, each of them taking
        /// slowdown times its average.
        double slots_freed_per_s(double slowdown) const;
    };

    call_stats& stats_of(bool is_nested);
    /// Service time at the target's present speed over the average one; 1
    /// without a report.
    double slowdown(const call_stats& stats) const;
    duration min_service_time(const gate_call& call) const;
    /// Whether even the shortest of recent calls, made at the target's present
    /// speed, would end after the deadline. False without a report.
    bool is_too_late(time_point now, const gate_call& call) const;
    void measure(call_stats& stats, double service_time_s) const;
    static bool precedes(const gate_call& a, const gate_call& b);
    time_point latest_start(time_point now, const gate_call& call) const;
    duration expected_wait(std::size_t position) const;
    void start(const gate_call& call, gate_actions& actions);
    void start_waiting(gate_actions& actions);
    std::size_t next_to_start() const;
    void reject(std::size_t position, error_code why, gate_actions& actions);

    gate_options options_;
    /// Sorted; the call at the front starts first.
    std::vector<waiting_call> waiting_;
    /// Whether the call is nested, by id.
    std::unordered_map<std::uint64_t, bool> running_;
    /// 1 is the usual service time; 0 if the target reports none.
    double relative_time_{};
    call_stats root_calls_;
    call_stats nested_calls_;
    offered_load_meter offered_load_;
};

} // namespace redwingwind::overload
