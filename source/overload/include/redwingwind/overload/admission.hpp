#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/concurrency_limit.hpp>
#include <redwingwind/overload/importance.hpp>
#include <redwingwind/overload/level_control.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// How the target's node admits calls; none, retries and fixed are baselines
/// for comparison.
enum class control_mode : std::uint8_t { none, retries, fixed, full };

/// A call that asks to be executed by the target.
struct admission_call {
    std::uint64_t id{};
    rank call_rank;
    owner_name owner;
    time_point deadline;

    auto operator<=>(const admission_call&) const = default;
};

struct rejection {
    std::uint64_t id{};
    error_code why{};

    auto operator<=>(const rejection&) const = default;
};

/// What the caller of admission must do after an event, in this order: reject
/// these calls (they never started), stop these (they are executing), start
/// these.
struct admission_actions {
    std::vector<rejection> reject;
    std::vector<std::uint64_t> stop;
    std::vector<std::uint64_t> start;
};

struct admission_options {
    control_mode mode{control_mode::full};
    concurrency_limit_options limit;
    /// Queue slots per unit of the limit, 0 to 4.
    double queue_per_slot{0.5};
    /// See graph_policy::level_decay, 1.1 to 8.
    double level_decay{2.0};
    std::uint32_t max_queued{4096};
};

/// How a started call ended, as far as it affects the concurrency limit.
enum class execution_result : std::uint8_t { completed, shed, failed };

/// Decides at the node of the local target which calls start, wait or are
/// rejected. An order or payment is rejected for load only if no browse or
/// lookup waits or executes: waiting ones are rejected and executing ones
/// stopped first.
class admission {
  public:
    /// Returns an owner's weight; called whenever calls of different owners
    /// compete.
    using weight_hook = std::function<double(const owner_name&)>;

    admission(admission_options options, weight_hook weight, time_point now);

    admission_actions arrive(time_point now, const admission_call& call);

    /// A started call ended.
    admission_actions finish(time_point now, std::uint64_t id,
                             execution_result end);

    /// Removes a waiting call; false if no waiting call has this id.
    bool withdraw(std::uint64_t id);

    /// Rejects waiting calls that can no longer finish in time.
    admission_actions tick(time_point now);

    /// Applies the values of a new policy; queued and executing calls are not
    /// affected.
    void update_policy(double queue_per_slot, double level_decay);

    /// The admission level: the lowest rank that is admitted. 0 unless the mode
    /// is full.
    rank level() const;
    std::uint32_t limit(time_point now) const { return limit_.value(now); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return queue_.size(); }
    /// Exponentially weighted average latency of completed calls of the kind;
    /// zero until one completed.
    duration expected_latency(importance kind) const;

  private:
    struct running_call {
        admission_call call;
        time_point started;
        /// Calls executing when it started, itself included.
        std::uint32_t running_at_start{};
    };

    bool has_less_important_running(importance kind) const;
    bool has_less_important_queued(importance kind) const;
    std::size_t max_queue_length(time_point now) const;
    std::size_t next_to_shed() const;
    double weighted_usage(const owner_name& owner) const;
    bool is_shed_before(const admission_call& a, const admission_call& b) const;
    void start(time_point now, const admission_call& call,
               admission_actions& actions);
    void start_queued(time_point now, admission_actions& actions);
    void reject(std::uint64_t id, error_code why, admission_actions& actions);
    bool stop_less_important(importance kind, admission_actions& actions);
    void enqueue(time_point now, const admission_call& call,
                 admission_actions& actions);
    void report_occupancy(time_point now);
    bool is_too_late(time_point now, const admission_call& call) const;
    duration expected_wait(time_point now, const admission_call& call) const;

    admission_options options_;
    weight_hook owner_weight_;
    concurrency_limit limit_;
    level_control level_;
    /// Sorted by rank, in mode fixed by arrival; the call at the front starts
    /// first.
    std::vector<admission_call> queue_;
    std::unordered_map<std::uint64_t, running_call> running_;
    std::array<std::uint32_t, importance_count> running_by_kind_{};
    /// Queued and executing calls, by owner.
    std::unordered_map<owner_name, std::uint32_t> calls_by_owner_;
    /// Exponentially weighted average in seconds, 0 before the first value.
    std::array<double, importance_count> average_latency_s_{};
};

} // namespace redwingwind::overload
