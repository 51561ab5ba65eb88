#pragma once

#include <redwingwind/engine/node_core.hpp>
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>

#include <memory>
#include <string>

#include "datagram_socket.hpp"
#include "node_settings.hpp"
#include "peer_links.hpp"
#include "store_agent.hpp"
#include "target_client.hpp"

namespace redwingwind::node {

/// The thin shell round a node_core: listeners, connections, timers and logs.
class node_daemon {
  public:
    /// Throws std::runtime_error when an address can't be bound.
    explicit node_daemon(node_settings settings);

    /// Runs until a planned stop is complete.
    void run();

  private:
    engine::node_core::hooks core_hooks();
    peer_links::hooks link_hooks();
    store_agent::hooks agent_hooks();

    void on_call(io::http_server::exchange exchange, bool is_local);
    void on_local(io::http_server::exchange exchange);
    void on_announce(const io::http_server::exchange& exchange);
    void on_census(const io::http_server::exchange& exchange);
    void on_tickets(const io::http_server::exchange& exchange);
    void dispatch(std::uint64_t execution, const engine::call_request& request,
                  const engine::call_context& context);
    void log_event_of(const engine::core_event& event);

    nlohmann::json status() const;
    nlohmann::json members() const;
    void wake();
    void tick();
    void count_control();
    void begin_stop();
    void finish_stop_when_idle(time_point limit);

    node_settings settings_;
    io::reactor loop_;
    random_hook random_;
    std::unique_ptr<target_client> target_client_;
    std::unique_ptr<io::http_client> store_client_;
    std::unique_ptr<engine::node_core> core_;
    std::unique_ptr<peer_links> links_;
    std::unique_ptr<datagram_socket> datagrams_;
    std::unique_ptr<store_agent> agent_;
    std::unique_ptr<io::http_server> call_server_;
    std::unique_ptr<io::http_server> local_server_;
    io::reactor::timer_id timer_{};
    time_point timer_due_{};
    bool is_stopping_{};
};

} // namespace redwingwind::node
