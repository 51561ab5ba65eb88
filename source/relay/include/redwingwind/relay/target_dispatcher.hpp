#pragma once

#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/target_gate.hpp>
#include <redwingwind/relay/call.hpp>
#include <redwingwind/relay/nested_route_detector.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace redwingwind::relay {

/// What a target says of itself in a heartbeat.
struct target_announcement {
    std::string instance;
    service_name service;
    /// Where it listens, "IP:PORT".
    std::string address;
    std::uint32_t slots{};
    bool is_draining{};
    /// Wall clock at its start, in milliseconds since 1970: tells its lives
    /// apart.
    std::uint64_t started_ms{};
    /// Rises with each heartbeat of one life.
    std::uint64_t sequence{};

    auto operator<=>(const target_announcement&) const = default;
};

struct target_dispatcher_options {
    service_name service;
    /// Without a heartbeat for this long the target counts as gone.
    duration announce_timeout{std::chrono::seconds(6)};
    overload::gate_options gate;
    /// Time past a call's deadline for the target's own late answer.
    duration answer_grace{std::chrono::milliseconds(100)};
};

/// The side of a node that faces its target: which calls wait, start or are
/// turned away, and what is told of each. It is the only way to the target,
/// so whether a call ran is a local fact.
class target_dispatcher {
  public:
    struct hooks {
        /// Gives a call to the target; on_target_result() follows.
        std::function<void(const target_call&)> dispatch;
        /// Stops a call at the target; nothing follows.
        std::function<void(std::uint64_t execution)> abort;
        std::function<void(const node_incarnation& caller,
                           const coordination::relay_reply_frame&)>
            reply;
        /// The target became ready, draining or absent.
        std::function<void(coordination::target_state, std::uint32_t slots)>
            on_target_state;
        /// Strain of the services that a run of the route calls, and of those
        /// below them.
        std::function<std::vector<overload::service_offered_load>(
            time_point, const std::string& route)>
            downstream_offered_loads;
        /// A run of the route started at the target.
        std::function<void(time_point, const std::string& route)>
            on_execution_start;
        /// It ended, or was stopped, after this time.
        std::function<void(time_point, const std::string& route, duration took)>
            on_execution_end;
        std::function<void(const call_event&)> on_event;
        std::function<void(const finished_execution&)> on_finished;
    };

    target_dispatcher(target_dispatcher_options options, hooks h);

    void announce(time_point now, const target_announcement& said);
    /// The target says that it leaves; it gets no new calls from now on.
    void withdraw_target(time_point now, const std::string& instance);
    /// This node stops: no new calls are taken.
    void stop();

    /// The call may have waited unread for so long, as while this process was
    /// stopped.
    void on_call(time_point now, const node_incarnation& from,
                 coordination::relay_call_frame call, duration unread = {});
    void on_cancel(time_point now, const node_incarnation& from,
                   std::uint64_t sequence);
    /// The caller's node is gone; nobody waits for its calls.
    void on_caller_gone(time_point now, const node_incarnation& from);
    void on_target_result(time_point now, std::uint64_t execution,
                          target_result answer);
    void tick(time_point now);
    time_point next_due() const;

    /// The instance that calls are meant for; empty when there is none.
    const std::string& instance() const { return target_.instance; }
    coordination::target_state state() const { return state_; }
    overload::load_report load() const { return gate_.load(); }
    /// How likely a running call, taken at random, is a repeat: 0 to 1.
    double retried_share() const;
    std::size_t open_calls() const { return open_.size(); }
    double offered_load(time_point now) const {
        return gate_.offered_load(now);
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
        bool is_running{};
        bool is_nested{};
        /// Nobody waits for the answer any more.
        bool is_abandoned{};
    };

    void set_state(coordination::target_state state);
    void run_steps(time_point now, const overload::gate_actions& steps);
    void start(time_point now, std::uint64_t execution);
    void refuse(time_point now, std::uint64_t execution, error_code why,
                duration retry_after);
    using call_map = std::unordered_map<std::uint64_t, open_call>;
    /// Out of both indexes.
    open_call take(call_map::iterator found);
    void note(const open_call& it, time_point now, std::string_view what,
              error_code why) const;
    coordination::relay_reply_frame make_reply(const open_call& it,
                                               time_point now) const;

    target_dispatcher_options options_;
    hooks hooks_;
    overload::target_gate gate_;
    nested_route_detector origins_;
    target_announcement target_;
    coordination::target_state state_{coordination::target_state::absent};
    time_point last_announced_{};
    time_point next_look_{};
    bool is_stopping_{};
    std::size_t running_{};
    /// Of these, expected to be repeats.
    double repeats_running_{};
    std::uint64_t next_execution_{1};
    call_map open_;
    std::map<call_key, std::uint64_t> by_key_;
};

} // namespace redwingwind::relay
