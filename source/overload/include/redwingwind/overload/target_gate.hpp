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

/// A call that wants a slot of the target.
struct gate_call {
    std::uint64_t id{};
    /// 0 is served first.
    std::uint8_t priority{};
    /// Made by a target while it runs a call: refusing it wastes that run.
    bool is_nested{};
    time_point deadline;
    /// An answer after this is worth less to the caller.
    time_point latest_useful;

    auto operator<=>(const gate_call&) const = default;
};

struct gate_rejection {
    std::uint64_t id{};
    error_code why{};
    /// When a slot is likely to be free for this call.
    duration retry_after{};

    auto operator<=>(const gate_rejection&) const = default;
};

/// What to do after an event: reject these, which never started, and start
/// these.
struct gate_actions {
    std::vector<gate_rejection> reject;
    std::vector<std::uint64_t> start;
};

struct gate_options {
    /// Calls that the target runs at once.
    std::uint32_t slots{1};
    /// Share of the slots that is used: targets grow slow when more than 95
    /// in 100 are.
    double usable_share{0.945};
    /// Share of the time in which an answer is useful that a call may wait.
    double wait_share{0.5};
    /// A call waits this long at the most.
    duration max_wait{std::chrono::seconds(2)};
    std::size_t max_waiting{4096};
    /// Share of the slots that calls from outside may use while nested ones
    /// wait.
    double root_share{0.15};

    auto operator<=>(const gate_options&) const = default;
};

/// Decides beside a target which calls start, wait or are turned away. Every
/// call of the target passes it, so the slots in use are known exactly.
/// Answers the load pattern of a burst: a call is turned away at once when
/// those ahead of it, by rank, will take the slots for longer than it can
/// wait, and a waiting call when calls of higher rank have come before it.
class target_gate {
  public:
    explicit target_gate(gate_options options) : options_(options) {}

    void set_slots(std::uint32_t slots) { options_.slots = slots; }

    gate_actions arrive(time_point now, const gate_call& call);
    /// A started call ended, after this time at the target.
    gate_actions finish(time_point now, std::uint64_t id, duration took);
    /// Takes a waiting call away; false when it does not wait here.
    bool withdraw(std::uint64_t id);
    /// Turns away the waiting calls that can no longer be served in time.
    gate_actions expire(time_point now);
    /// The target takes no new calls: all waiting ones are turned away.
    gate_actions close(error_code why);

    /// When expire() has something to do; time_point::max() for never.
    time_point next_expiry() const;
    load_report load() const;
    std::uint32_t limit() const;
    /// Work that comes and that waits here, as a share of what the slots can
    /// do.
    double offered_load(time_point now) const;

  private:
    struct waiting_call {
        gate_call call;
        time_point latest_start;
    };

    /// Calls from outside and those of running work may differ in length by
    /// an order of magnitude.
    struct kind_of_call {
        std::size_t running{};
        /// Smoothed time at the target, in seconds.
        double usual_time{0.05};

        /// Slots that these give free in a second.
        double rate() const;
    };

    kind_of_call& of(bool is_nested);
    static bool goes_before(const gate_call& a, const gate_call& b);
    time_point latest_start(time_point now, const gate_call& call) const;
    duration expected_wait(std::size_t place) const;
    void begin(const gate_call& call, gate_actions& steps);
    void fill(gate_actions& steps);
    std::size_t next_to_start() const;
    void reject(std::size_t place, error_code why, gate_actions& steps);

    gate_options options_;
    /// Sorted, the first to start at the front.
    std::vector<waiting_call> waiting_;
    /// By id, whether it is nested.
    std::unordered_map<std::uint64_t, bool> running_;
    kind_of_call direct_;
    kind_of_call nested_;
    offered_load_meter strain_;
};

} // namespace redwingwind::overload
