#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/engine/arrival_log.hpp>
#include <redwingwind/engine/call.hpp>
#include <redwingwind/engine/target_result.hpp>
#include <redwingwind/overload/admission.hpp>
#include <redwingwind/overload/level_table.hpp>
#include <redwingwind/overload/policy.hpp>
#include <redwingwind/overload/request_retry_budget.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace redwingwind::engine {

struct executor_options {
    overload::control_mode mode{overload::control_mode::full};
    /// Time after the start of draining until which calls are still accepted
    /// for the target.
    duration drain_grace{std::chrono::milliseconds(500)};
    /// Maximum number of calls that wait or execute.
    std::uint32_t max_executions{20000};
    /// Maximum number of calls that wait for the target; the policy may set a
    /// lower limit.
    std::uint32_t max_queued{4096};
};

/// What the local target announced about itself.
struct target_announcement {
    /// Identifies one run of the target's process; another value means that it
    /// was restarted.
    std::string instance;
    service_name service;
    std::uint32_t slots{1};
    duration warm_up{std::chrono::seconds(1)};

    auto operator<=>(const target_announcement&) const = default;
};

struct executor_counters {
    std::uint64_t arrived{};
    std::uint64_t duplicates{};
    std::uint64_t started{};
    std::uint64_t rejected{};
    std::uint64_t cancelled{};
    std::uint64_t stopped{};
};

/// Resources that one call used on this node, for usage metering.
struct execution_usage {
    owner_name owner;
    service_name service;
    overload::importance importance{};
    bool was_rejected{};
    bool was_wasted{};
    duration slot_time{};
    std::uint64_t bytes{};
};

/// Executes calls on the local target: admits, starts, stops and answers them.
/// Every call to the target passes through here, so it is known whether a call
/// was executed.
class executor {
  public:
    struct hooks {
        std::function<void(std::uint64_t execution, const call_request&,
                           const call_context&)>
            dispatch;
        std::function<void(std::uint64_t execution)> stop;
        std::function<void(const call_origin&,
                           const coordination::reply_frame&)>
            reply;
        std::function<void(const execution_usage&)> meter;
    };

    executor(executor_options options, incarnation life, hooks h);

    void set_policy(const overload::graph_policy& policy);
    /// Returns false when nothing changed. A restart of the target, or another
    /// service, ends its executions and draining.
    bool set_target(time_point now, const target_announcement& announcement);
    /// The target stopped announcing itself: it gets no new calls.
    void clear_target();
    void drain(time_point now);
    bool is_draining() const { return drain_since_.has_value(); }

    /// A call for the local target arrived; the reply goes to hooks.reply.
    void arrive(time_point now, const call_origin& origin,
                const call_request& request);

    /// The caller cancelled the call. True when it was not started and never
    /// will be.
    bool cancel(time_point now, const call_origin& origin);

    void on_target_result(time_point now, std::uint64_t execution,
                          const target_result& result);

    void tick(time_point now);

    // For the nested calls of an execution.
    bool is_running(std::uint64_t execution) const;
    std::uint32_t allocate_retries(std::uint64_t execution);
    void reclaim_retries(std::uint64_t execution, std::uint32_t allocated,
                         std::uint32_t unused);
    void
    record_levels(std::uint64_t execution,
                  const std::vector<overload::service_admission_level>& levels);

    std::size_t running() const;
    std::size_t queued() const;
    std::uint32_t limit(time_point now) const;
    overload::rank level() const;
    const executor_counters& counters() const { return counters_; }
    const std::optional<target_announcement>& target() const { return target_; }

  private:
    struct execution {
        call_origin origin;
        call_request request;
        overload::request_retry_budget retry_budget;
        std::vector<overload::service_admission_level> downstream_levels;
        time_point started;
        bool is_running{};
        bool is_cancelled{};
    };

    void rebuild_admission(time_point now);
    void apply_actions(time_point now,
                       const overload::admission_actions& actions);
    void start(time_point now, std::uint64_t id);
    void reject(time_point now, std::uint64_t id, error_code why);
    void preempt(time_point now, std::uint64_t id);
    bool accepts_work(time_point now) const;
    void reject_unadmitted(time_point now, const call_origin& origin,
                           const call_request& request, error_code why);
    void finish(time_point now, std::uint64_t id,
                coordination::reply_frame reply, duration slot_time);
    void add_load_report(time_point now,
                         coordination::reply_frame& reply) const;

    executor_options options_;
    incarnation life_;
    hooks hooks_;
    overload::graph_policy policy_;
    std::optional<target_announcement> target_;
    std::optional<time_point> drain_since_;
    std::optional<overload::admission> admission_;
    arrival_log arrivals_;
    std::uint64_t next_id_{1};
    std::unordered_map<std::uint64_t, execution> executions_;
    std::map<call_origin, std::uint64_t> by_origin_;
    executor_counters counters_;
};

} // namespace redwingwind::engine
