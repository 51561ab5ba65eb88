#pragma once

#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/call_attribution.hpp>
#include <redwingwind/overload/offered_load.hpp>
#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/root_admission.hpp>
#include <redwingwind/overload/service_retry_budget.hpp>
#include <redwingwind/relay/call.hpp>
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
    /// The service beside which this node runs.
    service_name service;
    failure_domain_name domain;
    overload::placement_options placement;
    overload::service_retry_budget_options retries;
    overload::root_admission_options root_admission;
    /// Nodes that one call may be turned away by before its caller is told.
    std::uint32_t max_rejections{3};
    /// Times that targets may turn one call away before its caller is told.
    std::uint32_t max_sheds{8};
    /// While more of a service's answers are failures, none is repeated.
    double max_failure_share{0.5};
    /// Nor are failures while a service on the call's way is strained more.
    double max_offered_load_for_retry{1.1};
    /// Share of the retry budget that calls from outside leave to those that
    /// running work makes: their own callers can come back.
    double nested_retry_reserve{0.5};
    /// Time past a call's end for an answer that is on its way.
    duration answer_grace{std::chrono::milliseconds(40)};
    /// The same where the stop of this node set the end: its caller still
    /// waits, and the node is there for 300 ms more.
    duration stop_answer_grace{std::chrono::milliseconds(200)};
};

/// What a node knows of a service's targets.
struct service_targets {
    service_name service;
    std::size_t targets{};
    /// Mean share of their slots in use, as last told.
    double occupancy{};
    /// Repeats that this node may still make in the window.
    double retries_left{};
};

/// The side of a node that faces callers: routes a call, places it, repeats
/// it where that is allowed, and tells the caller one final answer.
class call_router {
  public:
    struct hooks {
        /// Passes a call to a node; this one's own target is one of them.
        std::function<void(const node_name&,
                           const coordination::relay_call_frame&)>
            send;
        std::function<void(const node_name&, const coordination::cancel_frame&)>
            cancel;
        std::function<void(exchange_id, call_result)> answer;
        std::function<void(const call_event&)> on_event;
        std::function<void(const finished_call&)> on_finished;
        /// How likely a run at the target beside this node is a repeat, 0 to
        /// 1.
        std::function<double()> retried_share;
        random_hook random;
    };

    call_router(call_router_options options, hooks h);

    /// Versions only rise; an older one changes nothing.
    void set_policy(std::shared_ptr<const traffic_policy> policy);
    /// A target became ready, or changed its slots.
    void add_target(const service_name& service,
                    const overload::candidate& target);
    void remove_target(const node_name& node);
    /// This node stops: it takes only calls that usually end by then, and
    /// gives their targets no more time.
    void stop_by(time_point end) { stops_at_ = end; }
    /// The node is about to end: what is still open is answered now.
    void finish_all_calls(time_point now);
    /// Strain of the services that a run of the route beside this node calls.
    std::vector<overload::service_offered_load>
    downstream_offered_loads(time_point now, const std::string& route) const;
    /// A run of the route started at the target beside this node.
    void on_execution_start(time_point now, const std::string& route) {
        attribution_.on_execution_start(now, route);
    }
    void on_execution_end(time_point now, const std::string& route,
                          duration took) {
        attribution_.on_execution_end(now, route, took);
    }
    /// The bound on repeats changed.
    void
    set_retry_options(const overload::service_retry_budget_options& repeats);
    void set_live_nodes(std::size_t n) { live_nodes_ = n; }

    void on_call(time_point now, incoming_call call);
    /// The caller left.
    void on_caller_disconnected(time_point now, exchange_id exchange);
    void on_reply(time_point now, const node_name& from,
                  coordination::relay_reply_frame reply);
    /// The connection to a node ended, or the node counts as dead. When it
    /// was never connected, nothing sent on it arrived.
    void on_unreachable(time_point now, const node_name& node,
                        bool was_connected);
    void tick(time_point now);
    time_point next_due() const;

    /// Whether calls to this path may run more than once; false for what no
    /// route takes.
    bool is_idempotent(const std::string& host,
                       const std::string& target) const;

    std::uint64_t policy_version() const;
    std::size_t open_calls() const { return open_.size(); }
    /// Targets known, by service.
    std::vector<service_targets> targets(time_point now);
    const overload::root_admission& root_admission() const { return roots_; }
    const overload::call_attribution& attribution() const {
        return attribution_;
    }

  private:
    struct open_call {
        incoming_call call;
        time_point arrived;
        service_name service;
        bool is_idempotent{};
        std::string route;
        bool is_nested{};
        /// That the run which makes the call is itself a repeat.
        double retry_probability{};
        std::uint8_t priority{};
        std::uint32_t max_attempts{1};
        time_point end;
        time_point latest_useful;
        std::uint64_t sequence{};
        node_name at;
        std::vector<node_name> tried;
        /// Targets that had the call, or may have had it.
        std::uint32_t attempts{};
        std::uint32_t refusals{};
        /// Times that a target said that it did not run the call.
        std::uint32_t sheds{};
        bool may_have_run{};
        duration retry_after{};
        error_code refused_for{};
        /// A failure that a target answered, while the call is repeated.
        std::optional<http_response> failure;
    };
    struct due_call {
        time_point at;
        exchange_id exchange{};

        auto operator<=>(const due_call&) const = default;
    };

    open_call* find(std::uint64_t sequence);
    overload::placement& placement_of(const service_name& service);
    overload::service_retry_budget& repeats_of(const service_name& service);
    void place(time_point now, open_call& it);
    void send_to(time_point now, open_call& it, const node_name& node);
    void shed(time_point now, open_call& it);
    bool is_hopeless(time_point now, const open_call& it) const;
    void leave_target(time_point now, open_call& it,
                      overload::dispatch_result end);
    /// The call's target, if it is at one, need not go on with it.
    void stop_at_target(time_point now, open_call& it);
    void note_strains(time_point now, const open_call& it,
                      const coordination::relay_reply_frame& reply);
    void refused(time_point now, open_call& it, error_code why,
                 duration retry_after);
    void failed(time_point now, open_call& it, error_code why);
    double draw() const;
    duration root_retry_after(const route& rule) const;
    void give_up(time_point now, open_call& it);
    void finish(time_point now, open_call& it, call_result answer);
    duration slow_time(const route& rule) const;
    /// nullptr when no route takes the call.
    const route* rule_of(const std::string& host,
                         const std::string& target) const;
    void turn_away(time_point now, const incoming_call& call, error_code why,
                   duration retry_after);
    void note(const open_call& it, time_point now, std::string_view what,
              error_code why) const;

    call_router_options options_;
    hooks hooks_;
    std::optional<route_table> routes_;
    std::unordered_map<std::string, weighted_round_robin> choosers_;
    std::unordered_map<service_name, overload::placement> placements_;
    std::unordered_map<service_name, overload::service_retry_budget> repeats_;
    std::unordered_map<node_name, service_name> service_of_node_;
    std::unordered_map<exchange_id, open_call> open_;
    std::unordered_map<std::uint64_t, exchange_id> by_sequence_;
    std::priority_queue<due_call, std::vector<due_call>, std::greater<>> due_;
    overload::root_admission roots_;
    overload::call_attribution attribution_;
    struct told_strains {
        std::vector<overload::service_offered_load> offered_loads;
        time_point at;
    };
    /// By the service called by the target beside this node.
    std::unordered_map<service_name, told_strains> nested_strains_;
    /// By service, how many of its answers are failures.
    std::unordered_map<service_name, overload::failure_meter> failures_;
    /// By route, as told by the nodes beside targets.
    std::unordered_map<std::string, bool> is_nested_;
    /// By route, how long the slower ones of its latest calls took.
    std::unordered_map<std::string, duration> slow_times_;
    time_point stops_at_{time_point::max()};
    std::uint64_t next_sequence_{1};
    std::size_t live_nodes_{1};
};

} // namespace redwingwind::relay
