#pragma once

#include <redwingwind/coordination/allowance_borrower.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/call_attribution.hpp>
#include <redwingwind/overload/offered_load.hpp>
#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/root_admission.hpp>
#include <redwingwind/overload/service_retry_budget.hpp>
#include <redwingwind/relay/call.hpp>
#include <redwingwind/relay/owner_table.hpp>
#include <redwingwind/relay/recent_maximum.hpp>
#include <redwingwind/relay/route_table.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::relay {

struct call_router_options {
    /// The service of this node's local target.
    service_name service;
    failure_domain_name domain;
    overload::placement_options placement;
    overload::service_retry_budget_options retries;
    overload::root_admission_options root_admission;
    /// A call is given up after this many rejections by nodes.
    std::uint32_t max_rejections{3};
    /// A call is given up when targets shed it more often than this.
    std::uint32_t max_sheds{8};
    /// Failures are not retried while a larger share of the service's
    /// responses, 0 to 1, are failures.
    double max_failure_share{0.5};
    /// Failures are not retried while a service on the call's route reports a
    /// higher offered load.
    double max_offered_load_for_retry{1.1};
    /// Share of the retry budget that root calls leave to nested calls:
    /// callers of root calls can retry by themselves.
    double nested_retry_reserve{0.5};
    /// Time past a call's deadline for a reply that is under way.
    duration answer_grace{std::chrono::milliseconds(40)};
    /// The same where the stop of this node set the deadline: the caller
    /// still waits, and the node runs for another 300 ms.
    duration stop_answer_grace{std::chrono::milliseconds(200)};
};

/// What a node knows about a service's targets.
struct service_targets {
    service_name service;
    std::size_t targets{};
    /// Mean share of their slots in use, as last reported.
    double occupancy{};
    /// Retries that this node may still make in the window.
    double retries_left{};
    /// Targets are chosen by forecast.
    bool uses_forecast{};
    /// Mean age of the targets' latest reports, in seconds.
    double report_age_s{};
    /// Relative service times in reports that were out of range.
    std::uint64_t ignored_figures{};
};

/// The side of a node that faces callers: routes a call, chooses a target for
/// it, retries it where that is allowed, and gives the caller exactly one
/// result.
class call_router {
  public:
    struct hooks {
        /// Sends a call to a target's node, which may be the local node. The
        /// hook may move the call away for its own duration only, and must not
        /// call back from inside: the request stays here for a retry.
        std::function<void(const node_name&, coordination::relay_call_frame&)>
            send;
        std::function<void(const node_name&, const coordination::cancel_frame&)>
            cancel;
        std::function<void(exchange_id, call_result)> answer;
        std::function<void(const call_event&)> on_event;
        std::function<void(const finished_call&)> on_finished;
        /// Probability that an execution at the local target is a retried
        /// one, 0 to 1.
        std::function<double()> retried_share;
        /// Takes an allowance of a limited owner for a call; one that waits is
        /// decided by on_allowance(). Empty where no owner is limited.
        std::function<coordination::allowance_decision(
            time_point, const owner_name&, exchange_id)>
            take_allowance;
        /// The call no longer waits for an allowance.
        std::function<void(const owner_name&, exchange_id)> cancel_allowance;
        /// The call was not executed and never will be.
        std::function<void(time_point, const owner_name&, std::uint32_t source)>
            return_allowance;
        random_hook random;
    };

    call_router(call_router_options options, hooks h);

    /// Ignored unless its version is higher than the current one.
    void set_policy(std::shared_ptr<const traffic_policy> policy);
    /// Called when a target becomes ready or changes its number of slots.
    void add_target(const service_name& service,
                    const overload::candidate& target);
    void remove_target(const node_name& node);
    /// Begins the stop of this node: only calls that finish before end are sent
    /// to targets, and their deadlines are no later than end. Root calls finish
    /// by their own deadline; for nested ones the highest latency of recent
    /// calls counts, as their root call fails when they are rejected.
    void stop_by(time_point end) { stop_time_ = end; }
    /// Gives every open call its result now, since the node is about to exit.
    void finish_all_calls(time_point now);
    /// Offered load of the services that executions of the route at the local
    /// target call, and of those further downstream.
    std::vector<overload::service_offered_load>
    downstream_offered_loads(time_point now, const std::string& route) const;
    /// An execution of the route started at the local target.
    void on_execution_start(time_point now, const std::string& route) {
        attribution_.on_execution_start(now, route);
    }
    /// An execution of the route ended, after this time at the target.
    void on_execution_end(time_point now, const std::string& route,
                          duration service_time) {
        attribution_.on_execution_end(now, route, service_time);
    }
    /// Changes the bound on retries, also for the existing budgets.
    void
    set_retry_options(const overload::service_retry_budget_options& options);
    void set_live_nodes(std::size_t n) { live_nodes_ = n; }

    void on_call(time_point now, incoming_call call);
    /// The decision about a call that waits for an allowance; ignored for one
    /// that does not.
    void on_allowance(time_point now, exchange_id exchange,
                      const coordination::allowance_decision& decision);
    /// Cancels the call, whose caller closed its connection.
    void on_caller_disconnected(time_point now, exchange_id exchange);
    void on_reply(time_point now, const node_name& from,
                  coordination::relay_reply_frame reply);
    /// The connection to a node ended, or the node is considered dead. Without
    /// was_connected, nothing that was sent on it arrived.
    void on_unreachable(time_point now, const node_name& node,
                        bool was_connected);
    /// The frame with this sequence number was not sent.
    void on_not_sent(time_point now, std::uint64_t sequence);
    void tick(time_point now);
    time_point next_due() const;

    /// Whether calls to this path may be executed more than once; false when
    /// no route matches.
    bool is_idempotent(const std::string& host,
                       const std::string& target) const;
    /// Whether targets make the calls to this path while they execute others,
    /// as far as replies have told.
    bool is_nested(const std::string& host, const std::string& target) const;

    /// Whether calls carry the credential of an owner.
    bool identifies_owners() const {
        return routes_ && routes_->policy().identifies_owners;
    }
    std::uint64_t policy_version() const;
    std::size_t open_calls() const { return open_.size(); }
    /// The known targets of each service.
    std::vector<service_targets> targets(time_point now);
    const overload::root_admission& root_admission() const {
        return root_admission_;
    }
    const overload::call_attribution& attribution() const {
        return attribution_;
    }

  private:
    struct open_call {
        incoming_call call;
        time_point arrived;
        owner_name owner;
        /// Which grantor gets the allowance back; 0 for none.
        std::uint32_t allowance_source{};
        bool awaits_allowance{};
        service_name service;
        bool is_idempotent{};
        std::string route;
        bool is_nested{};
        /// Probability that the execution which makes the call is itself a
        /// retried one, 0 to 1.
        double retry_probability{};
        std::uint8_t priority{};
        std::uint32_t max_attempts{1};
        time_point deadline;
        /// A response after this is worth less to the caller.
        time_point latest_useful;
        /// Objective of the route.
        duration target_latency{};
        /// Of the frame that carries the call; 0 while it is at no target.
        std::uint64_t sequence{};
        /// Node of the target that has the call.
        node_name node;
        /// Nodes that got the call; not picked again.
        std::vector<node_name> tried;
        /// Targets that received the call, or may have.
        std::uint32_t attempts{};
        std::uint32_t rejections{};
        /// Times that a target reported that it did not execute the call.
        std::uint32_t sheds{};
        bool may_have_executed{};
        duration retry_after{};
        error_code last_error{};
        /// A target's failure response, kept while the call is retried.
        std::optional<http_response> failed_response;
    };
    struct due_call {
        time_point at;
        exchange_id exchange{};

        auto operator<=>(const due_call&) const = default;
    };

    open_call* find(std::uint64_t sequence);
    overload::placement& placement_of(const service_name& service);
    overload::service_retry_budget&
    retry_budget_of(const service_name& service);
    /// Sends a call that was let in.
    void start(time_point now, open_call& it);
    void place(time_point now, open_call& it);
    void send_to(time_point now, open_call& it, const node_name& node);
    void on_shed(time_point now, open_call& it);
    bool would_fail_again(time_point now, const open_call& it) const;
    void end_attempt(time_point now, open_call& it,
                     overload::dispatch_result result);
    /// Cancels the call at its target, if it is at one.
    void cancel_attempt(time_point now, open_call& it);
    void record_offered_loads(time_point now, const open_call& it,
                              const coordination::relay_reply_frame& reply);
    void on_rejected(time_point now, open_call& it, error_code error,
                     duration retry_after);
    void on_failed(time_point now, open_call& it, error_code error);
    double random_unit() const;
    duration root_retry_after(const route& matched) const;
    void give_up(time_point now, open_call& it);
    void finish(time_point now, open_call& it, call_result result);
    /// Whether the call may go on now; without, it waits or has its result.
    bool take_allowance(time_point now, open_call& it);
    /// Gives the allowance of a call back that was not executed.
    void return_allowance(time_point now, open_call& it);
    void on_over_share(time_point now, open_call& it, duration retry_after);
    /// Whether the call ends before this node stops, if it is sent now.
    bool can_finish(time_point now, const open_call& it) const;
    duration slow_latency(const open_call& it) const;
    /// A call was not sent again, as this node stops.
    void give_up_for_stop(time_point now, open_call& it);
    /// Returns nullptr when no route matches.
    const route* find_route(const std::string& host,
                            const std::string& target) const;
    void reject(time_point now, const incoming_call& call, error_code error,
                duration retry_after);
    void emit_event(const open_call& it, time_point now, std::string_view name,
                    error_code error) const;

    call_router_options options_;
    hooks hooks_;
    std::optional<route_table> routes_;
    owner_table owners_;
    std::unordered_map<std::string, weighted_round_robin> round_robins_;
    std::unordered_map<service_name, overload::placement> placements_;
    std::unordered_map<service_name, overload::service_retry_budget>
        retry_budgets_;
    std::unordered_map<node_name, service_name> service_of_node_;
    std::unordered_map<exchange_id, open_call> open_;
    std::unordered_map<std::uint64_t, exchange_id> by_sequence_;
    std::priority_queue<due_call, std::vector<due_call>, std::greater<>> due_;
    overload::root_admission root_admission_;
    overload::call_attribution attribution_;
    struct reported_loads {
        std::vector<overload::service_offered_load> offered_loads;
        time_point received;
    };
    /// By the service that the local target calls.
    std::unordered_map<service_name, reported_loads> nested_loads_;
    /// By service, the share of its responses that are failures.
    std::unordered_map<service_name, overload::failure_meter> failures_;
    /// By route, as reported by the targets' nodes.
    std::unordered_map<std::string, bool> is_nested_;
    /// Latencies by route.
    std::unordered_map<std::string, recent_maximum> latencies_;
    time_point stop_time_{time_point::max()};
    std::uint64_t next_sequence_{1};
    std::size_t live_nodes_{1};
};

} // namespace redwingwind::relay
