#pragma once

#include <redwingwind/engine/node_core.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace redwingwind::engine::test {

/// How a fake target executes the calls to one path.
struct fake_route {
    duration service_time{std::chrono::milliseconds(5)};
    /// Nested calls, made one after the other once service_time has passed;
    /// each is "/SERVICE/PATH".
    std::vector<std::string> calls;
    /// Share of executions, 0 to 1, that end with an unknown outcome.
    double failure_share{};
    std::uint16_t status{200};
};

struct execution_record {
    std::string service;
    std::string path;
    std::string root;
};

struct pending_response {
    call_response value;
    bool has_arrived{};
};

/// Node cores with fake targets on a fake network with a virtual clock. Frames
/// keep their order and arrive unless their link is cut: then the frames in
/// flight are lost and the sender is notified. Datagrams may be lost.
class fake_cluster {
  public:
    explicit fake_cluster(std::uint64_t seed);

    /// Adds node n with a target of the service.
    void add(int n, const std::string& service, std::uint32_t slots,
             const std::map<std::string, fake_route>& routes,
             std::uint64_t life = 1);

    void run(duration time);
    void set_policy(const overload::graph_policy& policy);

    /// Sends a call to node n. The response is stored in the returned object
    /// when it arrives.
    std::shared_ptr<pending_response> call(int n, const raw_call& call);

    void kill(int n);
    void pause(int n);
    void resume(int n);
    /// Drops the frames in flight between two nodes, and notifies the node
    /// `from`.
    void cut_link(int from, int to);

    node_core& core(int n) { return *nodes_.at(n).core; }
    bool is_up(int n) const { return nodes_.at(n).is_up; }
    time_point now() const { return now_; }
    const std::vector<execution_record>& records() const { return records_; }
    std::size_t executions_of(const std::string& root) const;

    double datagram_loss{};
    std::mt19937_64 random;

  private:
    struct node {
        std::unique_ptr<node_core> core;
        node_incarnation life;
        std::string service;
        std::map<std::string, fake_route> routes;
        bool is_up{true};
        bool is_paused{};
        std::vector<std::function<void()>> deferred;
        /// Incremented when the link to a node is cut: frames sent before are
        /// lost.
        std::map<int, std::uint64_t> link_epoch;
        std::map<std::uint64_t, std::uint64_t> stopped;
    };
    struct event {
        time_point at;
        std::uint64_t order{};
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    node_core::hooks hooks_of(int n);
    void schedule(duration delay, std::function<void()> action);
    /// Runs the action at node n after the delay, deferred while the node is
    /// paused; does nothing when the node is down or was restarted by then.
    void schedule_at_node(int n, const node_incarnation& life, duration delay,
                          std::function<void()> action);
    void send_frame(int from, const node_incarnation& to,
                    const coordination::frame& message);
    void execute(int n, std::uint64_t execution, const call_request& request,
                 const call_context& context);
    void call_next(int n, std::uint64_t execution, const fake_route& route,
                   std::size_t next, const call_request& request,
                   const std::string& context);
    void announce(int n);
    static int index_of(const node_name& name);

    time_point now_{std::chrono::seconds(100)};
    std::uint64_t next_event_{};
    std::priority_queue<event> events_;
    std::map<int, node> nodes_;
    std::map<int, std::uint32_t> slots_;
    std::vector<execution_record> records_;
    duration frame_delay_{std::chrono::milliseconds(1)};
};

raw_call make_call(const std::string& target, const std::string& importance,
                   const std::string& id, const std::string& ticket = {});

} // namespace redwingwind::engine::test
