#pragma once

#include <redwingwind/coordination/address_holders.hpp>
#include <redwingwind/coordination/config_replicator.hpp>
#include <redwingwind/coordination/departure.hpp>
#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/owner_limiter.hpp>
#include <redwingwind/coordination/view_exchange.hpp>
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/memory_account.hpp>
#include <redwingwind/io/reactor.hpp>
#include <redwingwind/io/stream_client.hpp>
#include <redwingwind/io/stream_server.hpp>
#include <redwingwind/relay/call_router.hpp>
#include <redwingwind/relay/target_dispatcher.hpp>

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "datagram_socket.hpp"
#include "peer_links.hpp"
#include "planned_stop.hpp"
#include "platform_agent.hpp"
#include "relay_log.hpp"
#include "relay_metrics.hpp"
#include "relay_settings.hpp"
#include "settings_file.hpp"

namespace redwingwind::node {

/// The thin shell of a node on the users' platform: listeners, connections,
/// timers and logs round the call_router, the target_dispatcher and the
/// membership.
class relay_daemon {
  public:
    /// Throws std::runtime_error when an address can't be bound.
    explicit relay_daemon(relay_settings settings);

    /// Runs until a planned stop is complete.
    void run();

  private:
    coordination::membership::hooks membership_hooks();
    coordination::config_replicator::hooks replicator_hooks();
    relay::call_router::hooks call_router_hooks();
    relay::target_dispatcher::hooks target_dispatcher_hooks();
    coordination::owner_limiter::hooks owner_limiter_hooks();
    peer_links::hooks link_hooks();
    platform_agent::hooks agent_hooks();

    void open_servers();
    io::stream_limits outbound_limits() const;
    void on_outbound(io::stream_server::incoming_request arrival);
    void on_announce(const io::stream_server::incoming_request& arrival);
    struct announce_result {
        http_response response;
        /// Set when the response acknowledges a departure.
        std::optional<coordination::target_departure> departure;
    };
    announce_result announced(const http_request& request);
    coordination::target_departure
    make_departure(const std::string& instance, std::uint64_t started_ms) const;
    /// Responds once other nodes know that the target leaves: this one may be
    /// killed the moment after.
    void acknowledge_departure(io::stream_server::exchange_id exchange,
                               const coordination::target_departure& departure,
                               const http_response& response);
    void dispatch(relay::target_call call);

    void on_frame(const node_incarnation& from, coordination::frame message);
    void receive(const node_incarnation& from,
                 coordination::relay_call_frame call);
    void receive(const node_incarnation& from,
                 coordination::relay_reply_frame reply);
    /// Rejects a call of another node before any work is spent on it.
    void reject_for_memory(const node_incarnation& from,
                           const coordination::relay_call_frame& call);
    void receive(const node_incarnation& from,
                 const coordination::cancel_frame& cancel);
    void receive(const node_incarnation& from,
                 const coordination::view_frame& view);
    void receive(const node_incarnation& from,
                 const coordination::view_digest_frame& digests);
    void receive(const node_incarnation& from,
                 const coordination::config_summary_frame& summary);
    void receive(const node_incarnation& from,
                 const coordination::config_frame& config);
    void receive(const node_incarnation& from,
                 const coordination::share_frame& message);
    void receive(const node_incarnation& from,
                 const coordination::share_reply_frame& message);
    void receive(const node_incarnation& from,
                 const coordination::allowance_request_frame& message);
    void receive(const node_incarnation& from,
                 const coordination::allowance_reply_frame& message);
    /// The frames of the product's own interface are not spoken here.
    template <class Other>
    void receive(const node_incarnation&, const Other&) {}

    void on_member(const coordination::member_record& record);
    /// Another node answered at the address; see peer_links::hooks.
    void on_greeted(const node_incarnation& node,
                    const coordination::address& at, time_point since);
    /// Calls go to the target beside the node, if it is ready.
    void use_target_of(const coordination::member_record& record);
    /// An earlier life of this node was told that a target departs.
    void on_departure(const coordination::target_departure& departure);
    /// The same, without the target's name.
    void on_earlier_departure(const coordination::member_record& earlier);
    void on_target(coordination::target_state state, std::uint32_t slots);
    /// True when it is newer than the one in force.
    bool offer_config(const std::string& text);
    void on_policy(const coordination::config_frame& config);
    void set_owner_limits(const relay::traffic_policy& policy);
    /// Tells the owner limiter which nodes there are, if it has limits.
    void update_fleet();
    /// Sends to a node whose record is known.
    void send_frame(const node_name& to, const coordination::frame& message);
    bool is_ready() const;

    void log_memory(std::string_view why, nlohmann::json fields);
    void wake();
    void tick();
    void reload();
    void begin_stop();
    void check_stop();
    void log_state();
    void log_owner_limits();
    /// The services whose targets are chosen by forecast, for the state line.
    nlohmann::json balance_state(time_point now);
    relay_gauges gauges();

    relay_settings settings_;
    io::reactor loop_;
    io::memory_account memory_;
    std::size_t charged_waiting_{};
    std::uint64_t calls_rejected_for_memory_{};
    time_point memory_logged_{};
    random_hook random_;
    relay_log log_;
    relay_metrics metrics_;
    std::unique_ptr<io::http_client> store_client_;
    std::unique_ptr<coordination::membership> members_;
    std::unique_ptr<coordination::view_exchange> views_;
    std::unique_ptr<coordination::config_replicator> configs_;
    /// The configuration that is being offered to configs_, decoded.
    std::optional<relay::traffic_policy> offered_policy_;
    std::unique_ptr<coordination::owner_limiter> owner_limiter_;
    std::unique_ptr<relay::call_router> call_router_;
    std::unique_ptr<relay::target_dispatcher> target_dispatcher_;
    std::unique_ptr<io::stream_client> target_;
    std::unique_ptr<peer_links> links_;
    std::unique_ptr<datagram_socket> datagrams_;
    std::unique_ptr<platform_agent> agent_;
    std::unique_ptr<io::stream_server> outbound_;
    std::unique_ptr<io::stream_server> readiness_;
    std::unique_ptr<io::stream_server> announce_;
    /// None when the settings name no address for it.
    std::unique_ptr<io::stream_server> metrics_server_;
    std::unordered_map<std::uint64_t, io::stream_client::call_id> at_target_;
    coordination::address_holders holders_;
    /// Earlier lives of this node that were told of a departure, by whether it
    /// is known which target departs.
    std::set<node_name> doubtful_lives_;
    std::set<node_name> explained_lives_;
    /// The target's latest life that departed and that other nodes know of.
    coordination::target_departure kept_departure_;
    /// Addresses of other nodes that the store or the settings name.
    std::set<coordination::address> contacts_;
    /// Whether the store's list, as last read, names this node and no other.
    bool is_only_listed_{};
    /// When nodes were first seen to be gone.
    std::unordered_map<node_name, time_point> gone_since_;
    io::reactor::timer_id timer_{};
    time_point timer_due_{};
    planned_stop stop_;
    time_point started_;
    /// The same in milliseconds since 1970.
    std::uint64_t started_wall_ms_;
    time_point policy_since_{};
    std::unique_ptr<settings_file> file_;
};

} // namespace redwingwind::node
