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

/// How the target's node decides; the first three are baselines to compare
/// with.
enum class control_mode : std::uint8_t { none, retries, fixed, full };

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

/// What to do after an event, in this order: reject these (they never
/// started), stop these (they run now), start these.
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
    double level_decay{2.0};
    std::uint32_t max_queued{4096};
};

/// How a started call ended, as far as the limit is concerned.
enum class execution_result : std::uint8_t { completed, shed, failed };

/// Decides at the node beside a target which calls start, wait or are
/// refused. An order or payment is refused for load only when no browse or
/// lookup waits or runs: waiting ones are displaced and running ones stopped
/// first.
class admission {
  public:
    /// An owner's weight; read whenever owners compete.
    using weight_hook = std::function<double(const owner_name&)>;

    admission(admission_options options, weight_hook weight, time_point now);

    admission_actions arrive(time_point now, const admission_call& item);

    /// A started call ended; latency is its time at the target.
    admission_actions finish(time_point now, std::uint64_t id,
                             execution_result end);

    /// Takes a waiting call away. False when it does not wait here.
    bool withdraw(std::uint64_t id);

    /// Refuses waiting calls that can no longer finish in time.
    admission_actions tick(time_point now);

    /// Changes what the policy says, without touching calls in flight.
    void update_policy(double queue_per_slot, double level_decay);

    rank level() const;
    std::uint32_t limit(time_point now) const { return limit_.value(now); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return queue_.size(); }
    duration expected_latency(importance kind) const;

  private:
    struct running_work {
        admission_call item;
        time_point started;
        std::uint32_t running_then{};
    };

    bool has_lower_running(importance kind) const;
    bool has_lower_queued(importance kind) const;
    std::size_t queue_room(time_point now) const;
    std::size_t lowest_queued() const;
    double share_used(const owner_name& owner) const;
    bool yields_to(const admission_call& a, const admission_call& b) const;
    void start(time_point now, const admission_call& item,
               admission_actions& steps);
    void fill(time_point now, admission_actions& steps);
    void reject(std::uint64_t id, error_code why, admission_actions& steps);
    bool stop_lower(importance kind, admission_actions& steps);
    void make_room(time_point now, const admission_call& item,
                   admission_actions& steps);
    void note_occupancy(time_point now);
    bool is_too_late(time_point now, const admission_call& item) const;
    duration expected_wait(time_point now, const admission_call& item) const;

    admission_options options_;
    weight_hook weight_;
    concurrency_limit limit_;
    level_control level_;
    /// Sorted, the first to start at the front.
    std::vector<admission_call> queue_;
    std::unordered_map<std::uint64_t, running_work> running_;
    std::array<std::uint32_t, importance_count> running_by_kind_{};
    std::unordered_map<owner_name, std::uint32_t> held_;
    std::array<double, importance_count> latency_{};
};

} // namespace redwingwind::overload
