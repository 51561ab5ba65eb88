#pragma once

#include <redwingwind/coordination/config_replicator.hpp>
#include <redwingwind/coordination/keyring.hpp>
#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/view_exchange.hpp>
#include <redwingwind/engine/caller.hpp>
#include <redwingwind/engine/executor.hpp>
#include <redwingwind/engine/pipeline.hpp>
#include <redwingwind/engine/ticket_handler.hpp>
#include <redwingwind/usage/meter.hpp>
#include <redwingwind/usage/roll_up.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace redwingwind::engine {

struct core_options {
    coordination::member_record self;
    /// The call graph whose policy this node applies.
    graph_name graph;
    overload::control_mode mode{overload::control_mode::full};
    caller_options calls;
    executor_options executions;
    overload::balancer_options balance;
    coordination::membership_options membership;
    coordination::ticket_table_options tickets;
    /// A target that did not announce itself for longer than this counts as
    /// lost.
    duration announce_timeout{std::chrono::seconds(10)};
    duration usage_period{std::chrono::seconds(10)};
};

enum class core_event_kind : std::uint8_t {
    member_changed,
    config_in_force,
    config_rejected,
    target_announced,
    target_lost,
    draining,
    left
};

std::string_view to_string(core_event_kind kind);

/// An event for the operator's log.
struct core_event {
    core_event_kind kind{};
    std::string subject;
    std::string detail;
};

/// The decision logic of a node, without I/O: calls, frames, datagrams, target
/// results and the time are passed in, and the hooks perform the resulting
/// actions. Not thread-safe.
class node_core {
  public:
    struct hooks {
        std::function<void(const coordination::address&,
                           const coordination::datagram&)>
            send_datagram;
        /// Sends over a connection that this node opens.
        std::function<void(const coordination::member_record&,
                           const coordination::frame&)>
            send_frame;
        /// Sends over the connection that the other node opened; the frame is
        /// dropped when there is none.
        std::function<void(const node_incarnation&, const coordination::frame&)>
            send_back;
        std::function<void(std::uint64_t execution, const call_request&,
                           const call_context&)>
            dispatch;
        std::function<void(std::uint64_t execution)> stop;
        /// Closes the connections to an incarnation of a node that is gone.
        std::function<void(const node_incarnation&)> drop_links;
        std::function<void(const core_event&)> on_event;
        random_hook random;
    };

    node_core(core_options options, coordination::keyring keys, hooks h);
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    /// Handles a call from a caller or from the local target. Returns a number
    /// to pass to abandon(), 0 when the caller was answered at once or the call
    /// can't be abandoned (it has a ticket).
    std::uint64_t on_call(time_point now, const raw_call& call,
                          response_hook on_response);
    void abandon(time_point now, std::uint64_t call);

    void on_frame(time_point now, const node_incarnation& from,
                  const coordination::frame& message);
    void on_datagram(time_point now, const coordination::address& from,
                     const coordination::datagram& message);
    void on_link_down(time_point now, const node_incarnation& node,
                      bool was_connected);
    void on_target_result(time_point now, std::uint64_t execution,
                          const target_result& result);

    void announce(time_point now, const target_announcement& announcement);
    void drain(time_point now);
    /// Planned stop: reports usage and announces to the other nodes that this
    /// one leaves.
    void leave(time_point now);

    std::vector<std::string> mint_tickets(time_point now, std::size_t count);
    void cancel_ticket(time_point now, const std::string& ticket,
                       response_hook on_response);

    /// Asks all live nodes which generation of a graph's configuration they
    /// have in force; count_census() counts the replies received since.
    void start_census(const graph_name& graph);
    struct census_result {
        std::size_t asked{};
        std::size_t answered{};
        /// Nodes with this generation or a newer one in force, including this
        /// node.
        std::size_t in_force{};
    };
    census_result count_census(const graph_name& graph,
                               std::uint64_t generation) const;

    /// Offers a configuration read from the store. False when it is not newer
    /// than the current one.
    bool offer_config(const coordination::config_frame& config);
    void add_contact(const coordination::address& contact);

    void tick(time_point now);
    time_point next_due(time_point now) const;

    /// True when no call is in flight, neither incoming nor outgoing.
    bool is_idle() const;
    bool is_draining() const { return executor_.is_draining(); }

    nlohmann::json status(time_point now) const;

    const coordination::membership& members() const { return members_; }
    const coordination::config_replicator& configs() const { return configs_; }
    const caller& calls() const { return caller_; }
    const executor& executions() const { return executor_; }
    const ticket_handler& tickets() const { return tickets_; }
    usage::meter& meter() { return meter_; }
    /// Returns the usage rows that other nodes reported to this one, and clears
    /// them.
    usage::roll_up take_reported_usage();
    const usage::meter& meter() const { return meter_; }

  private:
    void send(const node_incarnation& to, const coordination::frame& message);
    std::optional<node_incarnation> life_of(const node_name& node) const;
    void receive(time_point now, const node_incarnation& from,
                 const coordination::call_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::reply_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::cancel_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::cancel_reply_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::ticket_cancel_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::view_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::view_digest_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::config_summary_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::config_frame& frame);
    void receive(time_point now, const node_incarnation& from,
                 const coordination::usage_frame& frame);
    /// Sent only between nodes that run on the users' platform; ignored here.
    void receive(time_point, const node_incarnation&,
                 const coordination::relay_call_frame&) {}
    void receive(time_point, const node_incarnation&,
                 const coordination::relay_reply_frame&) {}
    void receive(time_point, const node_incarnation&,
                 const coordination::share_frame&) {}
    void receive(time_point, const node_incarnation&,
                 const coordination::share_reply_frame&) {}
    void receive(time_point, const node_incarnation&,
                 const coordination::allowance_request_frame&) {}
    void receive(time_point, const node_incarnation&,
                 const coordination::allowance_reply_frame&) {}
    void receive(time_point now, const node_incarnation& from,
                 const coordination::hello_frame& frame);
    void send_reply(const node_incarnation& to, std::uint64_t sequence,
                    const call_response& response);
    void on_config(const coordination::config_frame& config);
    void report_usage(time_point now);
    void emit_event(core_event_kind kind, const std::string& subject,
                    const std::string& detail = {});

    coordination::membership::hooks member_hooks();
    coordination::config_replicator::hooks config_hooks();
    executor::hooks executor_hooks();
    caller::hooks caller_hooks();

    core_options options_;
    coordination::keyring keys_;
    hooks hooks_;
    time_point now_{};
    overload::graph_policy policy_;
    call_router router_;
    executor executor_;
    caller caller_;
    ticket_handler tickets_;
    coordination::membership members_;
    coordination::view_exchange views_;
    coordination::config_replicator configs_;
    usage::meter meter_;
    usage::roll_up reported_usage_;
    std::map<node_incarnation, coordination::config_generation> census_;
    std::size_t census_asked_{};
    std::optional<time_point> last_announced_;
    time_point next_usage_report_{};
};

} // namespace redwingwind::engine
