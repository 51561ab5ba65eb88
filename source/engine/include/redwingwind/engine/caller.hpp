#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/engine/call.hpp>
#include <redwingwind/engine/call_router.hpp>
#include <redwingwind/overload/admission.hpp>
#include <redwingwind/overload/level_table.hpp>
#include <redwingwind/overload/policy.hpp>
#include <redwingwind/overload/request_retry_budget.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::engine {

struct caller_options {
    overload::control_mode mode{overload::control_mode::full};
    /// start() rejects a call while this many calls are in flight.
    std::uint32_t max_calls{20000};
    /// Maximum number of attempts per hop in the baseline mode "retries".
    std::uint32_t baseline_attempts{3};
    /// Time to wait for a node's reply to the question whether a call was
    /// executed, asked when the connection broke or the deadline passed.
    duration resolve_timeout{std::chrono::milliseconds(150)};
};

struct caller_counters {
    std::uint64_t calls{};
    std::uint64_t attempts{};
    std::uint64_t retries{};
    std::uint64_t done{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t stray_replies{};
    std::uint64_t bad_digests{};
    std::uint64_t ruled_out{};
};

/// Resources that one attempt of an outgoing call used, as its reply reported
/// them.
struct call_usage {
    owner_name owner;
    service_name service;
    overload::importance importance{};
    bool was_rejected{};
    bool was_wasted{};
    std::uint64_t slot_time_us{};
    std::uint64_t bytes{};
};

/// Makes outgoing calls: chooses targets, sends, retries within the retry
/// budget, finds out whether a call was executed when its connection broke, and
/// returns the outcome.
class caller {
  public:
    struct hooks {
        /// The current incarnation of a node; empty when the node is unknown or
        /// gone.
        std::function<std::optional<node_incarnation>(const node_name&)>
            life_of;
        std::function<void(const node_incarnation&, const coordination::frame&)>
            send;
        /// Allocates a part of an execution's retry budget to a nested call;
        /// reclaim_retries returns what the call did not use.
        std::function<std::uint32_t(std::uint64_t execution)> allocate_retries;
        std::function<void(std::uint64_t execution, std::uint32_t allocated,
                           std::uint32_t unused)>
            reclaim_retries;
        std::function<void(
            std::uint64_t execution,
            const std::vector<overload::service_admission_level>&)>
            record_levels;
        std::function<void(const call_usage&)> meter;
        random_hook random;
    };

    caller(caller_options options, call_router& router, hooks h);

    void set_policy(const overload::graph_policy& policy);

    /// Starts a call; on_response is invoked at most once. Returns the number
    /// of the call, 0 when it was rejected at once.
    std::uint64_t start(time_point now, const call_request& request,
                        response_hook on_response);

    /// Sends a call to the home node of its ticket, which dispatches it.
    std::uint64_t forward_to_ticket_home(time_point now,
                                         const call_request& request,
                                         const node_incarnation& home,
                                         response_hook on_response);

    /// Asks the home node of a ticket to cancel the ticket.
    std::uint64_t cancel_ticket(time_point now, const call_request& request,
                                const node_incarnation& home,
                                response_hook on_response);

    /// The caller disconnected: cancels the call and stops its execution,
    /// unless the call was sent to a ticket's home.
    void abandon(time_point now, std::uint64_t call);

    void on_reply(time_point now, const node_incarnation& from,
                  const coordination::reply_frame& reply);
    void on_cancel_reply(time_point now, const node_incarnation& from,
                         const coordination::cancel_reply_frame& reply);
    /// A connection to a node ended, or could not be opened (was_connected is
    /// false).
    void on_link_down(time_point now, const node_name& node,
                      bool was_connected);

    void tick(time_point now);
    /// Time of the next timeout that tick() handles; time_point::max() when
    /// there is none.
    time_point next_due() const;

    /// The highest known admission level of the call's service and its
    /// downstream services, raised by a margin for root calls. Calls of a lower
    /// rank are shed.
    overload::rank known_level(time_point now,
                               const call_request& request) const;
    /// Must be called when a call was rejected because of known_level():
    /// records the levels of the downstream services with the parent execution,
    /// whose reply then reports them.
    void on_shed_early(time_point now, const call_request& request) const;
    std::size_t in_flight() const { return calls_.size(); }
    const caller_counters& counters() const { return counters_; }

  private:
    enum class stage : std::uint8_t {
        waiting,
        /// The connection broke; the node was asked whether it executed the
        /// call.
        resolving,
        /// The deadline passed; the node was asked to cancel the call.
        expiring
    };
    struct call {
        call_request request;
        response_hook on_response;
        overload::request_retry_budget retry_budget{0};
        stage current_stage{stage::waiting};
        node_incarnation node;
        std::uint64_t sequence{};
        std::uint32_t allocated_retries{};
        std::uint32_t retries_from_parent{};
        std::uint32_t attempts{};
        std::vector<node_name> tried;
        bool is_for_home{};
        bool is_ticket_cancel{};
        /// An earlier attempt ended and may have been executed.
        bool may_have_run{};
        /// The balancer counts the current attempt as outstanding.
        bool is_counted_outstanding{};
        time_point resolve_deadline{};
    };
    /// What the end of an attempt implies about the health of its node.
    enum class health : std::uint8_t { responsive, failed, unknown };
    /// Outcome (what) and error code (why) of one attempt.
    struct attempt_result {
        outcome what{outcome::unknown};
        error_code why{};
    };

    call* find_by_sequence(const node_incarnation& from,
                           std::uint64_t sequence);
    std::uint64_t add_call(const call_request& request,
                           response_hook on_response);
    void send_attempt(time_point now, std::uint64_t id);
    bool send_to(time_point now, std::uint64_t id, const node_name& node);
    void end_attempt(time_point now, std::uint64_t id, attempt_result result);
    bool may_retry(const call& it, attempt_result result);
    void finish(std::uint64_t id, call_response response);
    void report_to_balancer(time_point now, call& it, health node_health,
                            const overload::load_report& load = {});
    void cancel_and_query(time_point now, std::uint64_t id, stage next);
    void schedule(std::uint64_t id, time_point at);
    std::uint64_t find_id(std::uint64_t sequence) const;

    caller_options options_;
    call_router& router_;
    hooks hooks_;
    overload::graph_policy policy_;
    overload::level_table levels_;
    std::unordered_map<service_name, overload::edge_retry_budget> edge_budgets_;
    std::uint64_t next_id_{1};
    std::uint64_t next_sequence_{1};
    std::unordered_map<std::uint64_t, call> calls_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_sequence_;
    std::multimap<time_point, std::uint64_t> timeouts_;
    caller_counters counters_;
};

} // namespace redwingwind::engine
