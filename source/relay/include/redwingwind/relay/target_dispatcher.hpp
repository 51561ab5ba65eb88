#pragma once

#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/relative_service_time.hpp>
#include <redwingwind/overload/target_gate.hpp>
#include <redwingwind/relay/call.hpp>
#include <redwingwind/relay/nested_route_detector.hpp>
#include <redwingwind/relay/target_statements.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace redwingwind::relay {

struct target_dispatcher_options {
    service_name service;
    /// A target without a heartbeat for this long is considered absent.
    duration announce_timeout{std::chrono::seconds(6)};
    overload::gate_options gate;
    /// A target in doubt is used once a heartbeat follows its first one by this
    /// or more: late heartbeats end soon.
    duration confirmation_interval{std::chrono::seconds(1)};
    /// Time past a call's deadline in which the target may still respond.
    duration answer_grace{std::chrono::milliseconds(100)};
};

/// The side of a node that faces its target: decides which calls wait, start
/// or are rejected, and replies to the callers' nodes. All calls of the target
/// pass it, so it knows whether a call was executed.
class target_dispatcher {
  public:
    struct hooks {
        /// Sends a call to the target; on_target_result() must follow.
        std::function<void(target_call)> dispatch;
        /// Cancels a call at the target; on_target_result() must not follow.
        std::function<void(std::uint64_t execution)> abort;
        std::function<void(const node_incarnation& caller,
                           coordination::relay_reply_frame)>
            reply;
        /// The target became ready, draining or absent.
        std::function<void(coordination::target_state, std::uint32_t slots)>
            on_target_state;
        /// Offered load of the services that executions of the route call, and
        /// of those further downstream.
        std::function<std::vector<overload::service_offered_load>(
            time_point, const std::string& route)>
            downstream_offered_loads;
        /// An execution of the route started at the target.
        std::function<void(time_point, const std::string& route)>
            on_execution_start;
        /// It ended, or was cancelled, after this time at the target.
        std::function<void(time_point, const std::string& route,
                           duration service_time)>
            on_execution_end;
        std::function<void(const call_event&)> on_event;
        std::function<void(const finished_execution&)> on_finished;
    };

    target_dispatcher(target_dispatcher_options options, hooks h);

    /// Takes a heartbeat; returns false for one that is ignored, as a later
    /// statement is known.
    bool announce(time_point now, const target_announcement& announcement);
    /// The target announced its departure; its incarnation gets no new calls
    /// from now on. wall_ms is the time in milliseconds since 1970. Returns
    /// the latest start of the incarnations that ended, in the same unit.
    std::uint64_t withdraw_target(time_point now, const std::string& instance,
                                  std::uint64_t wall_ms);
    /// An earlier life of this node was told that incarnations of the instance
    /// depart which started by started_ms.
    void end_target(time_point now, const std::string& instance,
                    std::uint64_t started_ms);
    /// An earlier life of this node was told that a target departs, and it is
    /// not known which: a heartbeat may be older than that. Until then, targets
    /// that started before wall_ms, in milliseconds since 1970, are used once
    /// confirmed.
    void doubt(time_point now, time_point until, std::uint64_t wall_ms);
    /// It is known by now which target departs.
    void end_doubt(time_point now);
    /// Begins the stop of this node: no new calls are admitted.
    void stop();

    /// unread_time is how long the call may have waited to be read, as while
    /// this process was suspended; it counts against the call's time left.
    void on_call(time_point now, const node_incarnation& from,
                 coordination::relay_call_frame call,
                 duration unread_time = {});
    /// Rejects a call that this node can't hold, before anything else. The
    /// reply tells the load like any other.
    void refuse(time_point now, const node_incarnation& from,
                const coordination::relay_call_frame& call, error_code error,
                duration retry_after);
    void on_cancel(time_point now, const node_incarnation& from,
                   std::uint64_t sequence);
    /// Cancels all calls of a caller's node that is gone.
    void on_caller_gone(time_point now, const node_incarnation& from);
    void on_target_result(time_point now, std::uint64_t execution,
                          target_result result);
    void tick(time_point now);
    time_point next_due() const;

    /// The instance of the current target; empty when there is none.
    const std::string& instance() const {
        return statements_.current().instance;
    }
    coordination::target_state state() const { return state_; }
    overload::load_report load() const { return gate_.load(); }
    /// Expected share of the current executions that are retried ones, 0 to 1.
    double retried_share() const;
    std::size_t open_calls() const { return open_.size(); }
    /// Whether calls of the route are made by targets while they execute
    /// others, as far as calls seen here tell.
    bool is_nested(const std::string& route) const {
        return nested_routes_.is_nested(route);
    }
    /// Bytes of the bodies of calls that wait for a slot.
    std::size_t waiting_bytes() const { return waiting_bytes_; }
    double offered_load(time_point now) const {
        return gate_.offered_load(now);
    }
    /// What the target reports of its own speed.
    const overload::relative_service_time& service_time() const {
        return service_time_;
    }

  private:
    struct call_key {
        node_incarnation caller;
        std::uint64_t sequence{};

        auto operator<=>(const call_key&) const = default;
    };
    struct open_call {
        call_key key;
        coordination::relay_call_frame call;
        time_point deadline;
        time_point arrived;
        time_point started;
        bool is_executing{};
        bool is_nested{};
        /// Number of the incarnation that the execution was started at.
        std::uint64_t incarnation{};
        /// The caller does not wait for the reply any more.
        bool is_abandoned{};
    };

    /// Takes the load that the target added to a response.
    void take_figures(time_point now, const target_result& result);
    void set_state(coordination::target_state state);
    /// Sets the state that follows from the statements about the target.
    void update_state(time_point now);
    /// Rejects what waits when the current target has departed.
    void close_if_ended(time_point now);
    bool is_in_doubt(time_point now) const;
    void apply(time_point now, const overload::gate_actions& actions);
    void start(time_point now, std::uint64_t execution);
    void reject(time_point now, std::uint64_t execution, error_code error,
                duration retry_after);
    using call_map = std::unordered_map<std::uint64_t, open_call>;
    /// Removes the call from both indexes.
    open_call take(call_map::iterator found);
    call_event make_event(const open_call& it, time_point now,
                          std::string_view name, error_code error) const;
    coordination::relay_reply_frame make_reply(const open_call& it,
                                               time_point now) const;

    target_dispatcher_options options_;
    hooks hooks_;
    overload::target_gate gate_;
    overload::relative_service_time service_time_;
    nested_route_detector nested_routes_;
    target_statements statements_;
    coordination::target_state state_{coordination::target_state::absent};
    time_point in_doubt_until_{};
    std::uint64_t in_doubt_wall_ms_{};
    time_point next_late_check_{};
    bool is_stopping_{};
    std::size_t executing_{};
    /// Expected number of retried executions among them.
    double expected_retried_{};
    std::uint64_t next_execution_{1};
    call_map open_;
    std::map<call_key, std::uint64_t> by_key_;
    std::size_t waiting_bytes_{};
};

} // namespace redwingwind::relay
