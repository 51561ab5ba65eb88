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

/// What a fake target does with a path.
struct fake_route {
    duration service_time{std::chrono::milliseconds(5)};
    /// Called in turn after the own work, as "/SERVICE/PATH".
    std::vector<std::string> calls;
    /// Share of executions that end without the target knowing how.
    double failure_share{};
};

struct fake_record {
    std::string service;
    std::string path;
    std::string root;
};

struct fake_answer {
    call_response reply;
    bool has_come{};
};

/// Node cores with fake targets on a fake network under a virtual clock.
/// Frames keep their order and arrive unless their link is cut, whereupon
/// what is under way is lost and the sender is told; datagrams may be lost.
class fake_cluster {
  public:
    explicit fake_cluster(std::uint64_t seed);

    /// A node with a target of the service; n names both.
    void add(int n, const std::string& service, std::uint32_t slots,
             const std::map<std::string, fake_route>& routes,
             std::uint64_t life = 1);

    void run(duration time);
    void set_policy(const overload::graph_policy& policy);

    /// Sends a call to a node. The answer appears in the returned value.
    std::shared_ptr<fake_answer> call(int n, const raw_call& call);

    void kill(int n);
    void pause(int n);
    void resume(int n);
    /// Loses what is under way from one node to another, and tells it.
    void cut_link(int from, int to);

    node_core& core(int n) { return *nodes_.at(n).core; }
    bool is_up(int n) const { return nodes_.at(n).is_up; }
    time_point now() const { return now_; }
    const std::vector<fake_record>& records() const { return records_; }
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
        std::vector<std::function<void()>> held;
        /// Raised when a link is cut: what was sent before is lost.
        std::map<int, std::uint64_t> link_age;
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
    void later(duration delay, std::function<void()> action);
    /// Runs the action at node n, once it is not paused, in this life of it.
    void at_node(int n, const node_incarnation& life, duration delay,
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
    std::vector<fake_record> records_;
    duration frame_delay_{std::chrono::milliseconds(1)};
};

raw_call make_call(const std::string& target, const std::string& importance,
                   const std::string& id, const std::string& ticket = {});

} // namespace redwingwind::engine::test
