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
    std::uint32_t max_calls{20000};
    /// Attempts per hop in the baseline mode "retries".
    std::uint32_t baseline_attempts{3};
    /// How long a node is asked whether a call ran after its connection broke
    /// or the deadline passed.
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

/// What a call that this node made used, as its replies told.
struct call_usage {
    owner_name owner;
    service_name service;
    overload::importance importance{};
    bool was_rejected{};
    bool was_wasted{};
    std::uint64_t slot_time_us{};
    std::uint64_t bytes{};
};

/// Makes calls: chooses targets, sends, retries within the budget, finds out
/// what became of calls whose connection broke, and tells the outcome.
class caller {
  public:
    struct hooks {
        /// The present life of a node; nothing when it is not known or gone.
        std::function<std::optional<node_incarnation>(const node_name&)>
            life_of;
        std::function<void(const node_incarnation&, const coordination::frame&)>
            send;
        /// What an execution may give to a call of its own, and gets back.
        std::function<std::uint32_t(std::uint64_t execution)> allocate_retries;
        std::function<void(std::uint64_t execution, std::uint32_t lent,
                           std::uint32_t left)>
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

    /// Starts a call; the answer comes once. Returns the call's number.
    std::uint64_t start(time_point now, const call_request& request,
                        response_hook on_reply);

    /// Sends the call to the home of its ticket, which dispatches it.
    std::uint64_t forward_to_ticket_home(time_point now,
                                         const call_request& request,
                                         const node_incarnation& home,
                                         response_hook on_reply);

    /// Asks a ticket's home to cancel it.
    std::uint64_t cancel_ticket(time_point now, const call_request& request,
                                const node_incarnation& home,
                                response_hook on_reply);

    /// The one who asked is gone: what runs for the call is stopped.
    void abandon(time_point now, std::uint64_t call);

    void on_reply(time_point now, const node_incarnation& from,
                  const coordination::reply_frame& reply);
    void on_cancel_reply(time_point now, const node_incarnation& from,
                         const coordination::cancel_reply_frame& reply);
    /// A connection ended, or never came about (was_connected false).
    void on_link_down(time_point now, const node_name& node,
                      bool was_connected);

    void tick(time_point now);
    /// When tick() has something to do; far off when nothing is in flight.
    time_point next_due() const;

    overload::rank known_level(time_point now,
                               const call_request& request) const;
    /// A call was rejected for known_level(): its execution's own caller is
    /// told of the levels below with the reply.
    void on_shed_early(time_point now, const call_request& request) const;
    std::size_t in_flight() const { return calls_.size(); }
    const caller_counters& counters() const { return counters_; }

  private:
    enum class stage : std::uint8_t {
        waiting,
        /// Connection broken: the node is asked whether the call ran.
        resolving,
        /// Deadline passed: the node is asked to stop it.
        expiring
    };
    struct call {
        call_request request;
        response_hook on_reply;
        overload::request_retry_budget ledger{0};
        stage at{stage::waiting};
        node_incarnation node;
        std::uint64_t sequence{};
        std::uint32_t lent{};
        std::uint32_t budget_from_parent{};
        std::uint32_t attempts{};
        std::vector<node_name> tried;
        bool is_for_home{};
        bool is_ticket_cancel{};
        /// An attempt ended without proof that it did not run.
        bool may_have_run{};
        /// Counted by the balancer as outstanding at its node.
        bool is_counted{};
        time_point resolve_until{};
    };
    /// What the end of an attempt tells of the node's health.
    enum class health : std::uint8_t { answers, failed, untold };
    /// How one attempt ended.
    struct attempt_end {
        outcome what{outcome::unknown};
        error_code why{};
    };

    call* find_by_sequence(const node_incarnation& from,
                           std::uint64_t sequence);
    std::uint64_t add(const call_request& request, response_hook on_reply);
    void send_attempt(time_point now, std::uint64_t id);
    bool send_to(time_point now, std::uint64_t id, const node_name& node);
    void end_attempt(time_point now, std::uint64_t id, attempt_end end);
    bool may_retry(const call& it, attempt_end end);
    void finish(std::uint64_t id, call_response reply);
    void settle_load(time_point now, call& it, health node_health,
                     const overload::load_report& load = {});
    void ask_whether_run(time_point now, std::uint64_t id, stage next);
    void schedule(std::uint64_t id, time_point at);
    std::uint64_t id_of(std::uint64_t sequence) const;

    caller_options options_;
    call_router& router_;
    hooks hooks_;
    overload::graph_policy policy_;
    overload::level_table levels_;
    std::unordered_map<service_name, overload::edge_retry_budget> edges_;
    std::uint64_t next_call_{1};
    std::uint64_t next_sequence_{1};
    std::unordered_map<std::uint64_t, call> calls_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_sequence_;
    std::multimap<time_point, std::uint64_t> due_;
    caller_counters counters_;
};

} // namespace redwingwind::engine
