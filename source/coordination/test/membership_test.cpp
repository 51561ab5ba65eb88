#include <redwingwind/coordination/config_replicator.hpp>
#include <redwingwind/coordination/departure.hpp>
#include <redwingwind/coordination/membership.hpp>
#include <redwingwind/coordination/rendezvous.hpp>
#include <redwingwind/coordination/view_exchange.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace redwingwind;
using namespace redwingwind::coordination;
using namespace std::chrono_literals;

namespace {

/// Nodes on a simulated network that loses, duplicates and reorders datagrams.
/// Nodes can be stopped, paused and partitioned.
class fake_network {
  public:
    fake_network(std::uint64_t seed, int count) : random_(seed) {
        for (int n = 0; n < count; ++n)
            add(n);
    }

    struct node {
        std::unique_ptr<membership> members;
        std::unique_ptr<view_exchange> views;
        std::unique_ptr<config_replicator> configs;
        bool is_up{true};
        bool is_paused{};
        int partition{};
        std::vector<std::function<void()>> queued;
    };

    /// With a suffix, each life of the node has a name of its own.
    void add(int n, std::uint64_t life = 1, const std::string& suffix = {}) {
        auto& it = nodes_[n];
        it = node{};
        member_record self;
        self.id = {{"n" + std::to_string(n) + suffix}, {life}};
        self.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + n)};
        self.region = {"r" + std::to_string(n % 2)};
        self.domain = {"d" + std::to_string(n % 4)};
        membership::hooks h;
        h.send = [this, n](const address& to, const datagram& message) {
            send(n, to, message);
        };
        h.exchange_views = [this, n](const member_record& with) {
            nodes_[n].views->start(with);
        };
        h.on_change = [](const member_record&) {};
        h.on_config = [this, n](const member_record& from,
                                const config_generation& reported) {
            nodes_[n].configs->on_gossip(now_, from, reported);
        };
        h.on_config_mismatch = [this, n](const member_record& from) {
            nodes_[n].configs->exchange(from);
        };
        h.generation_of = [](const graph_name&) { return 0; };
        h.on_census = [](const node_incarnation&, const config_generation&) {};
        h.random = [this] { return random_(); };
        it.members = std::make_unique<membership>(membership_options{}, self,
                                                  std::move(h));
        it.views = std::make_unique<view_exchange>(
            *it.members, [this, n](const member_record& to, const frame& what) {
                send_frame(n, to, what);
            });
        it.configs = std::make_unique<config_replicator>(config_hooks(n));
        if (n > 0)
            it.members->add_contact({"10.0.0.1", 1000});
    }

    void run(duration time) {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += 10ms;
            while (!events_.empty() && events_.top().at <= now_) {
                const auto run_event = events_.top().action;
                events_.pop();
                run_event();
            }
            for (auto& [n, it] : nodes_)
                if (it.is_up && !it.is_paused && it.members->next_due() <= now_)
                    it.members->tick(now_);
        }
    }

    /// The state of `other` in the view of n; left if n does not know it.
    member_state state_seen_by(int n, int other) const {
        const auto* known =
            nodes_.at(n).members->find({"n" + std::to_string(other)});
        return known == nullptr ? member_state::left : known->state;
    }

    bool all_agree_alive() const {
        for (const auto& [n, it] : nodes_)
            for (const auto& [m, other] : nodes_)
                if (state_seen_by(n, m) != member_state::alive)
                    return false;
        return true;
    }

    bool nodes_all_see_left(int other) const {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
            const auto* known =
                it.second.members->find({"n" + std::to_string(other)});
            return known != nullptr && known->state == member_state::left;
        });
    }

    void resume(int n) {
        nodes_[n].is_paused = false;
        for (auto& action : std::exchange(nodes_[n].queued, {}))
            action();
    }

    std::map<int, node> nodes_;
    double loss{};
    double duplication{};
    /// Datagrams and frames of all nodes.
    std::size_t bytes_sent{};
    /// The part of bytes_sent that went to another failure domain.
    std::size_t cross_domain_bytes_sent{};
    time_point now_{std::chrono::seconds(100)};

  private:
    struct event {
        time_point at;
        std::uint64_t order{};
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static int index_of(const address& a) { return a.port - 1000; }

    bool chance(double share) {
        return double(random_() % 10000) < share * 10000;
    }

    config_replicator::hooks config_hooks(int n) {
        config_replicator::hooks h;
        h.send = [this, n](const member_record& to, const frame& message) {
            send_frame(n, to, message);
        };
        h.gossip = [this, n](const config_generation& reported) {
            auto& it = nodes_[n];
            it.members->set_config_digest(it.configs->content_digest());
            it.members->gossip(reported);
        };
        h.on_accept = [](const config_frame&) {};
        return h;
    }

    void count_bytes(int from, int to, std::size_t bytes) {
        constexpr int domains = 4;
        bytes_sent += bytes;
        cross_domain_bytes_sent += from % domains != to % domains ? bytes : 0;
    }

    void send_frame(int n, const member_record& to, const frame& message) {
        const int other = index_of(to.endpoint);
        count_bytes(n, other, encode(message).size());
        deliver(n, other, [this, n, other, message] {
            const auto from = nodes_[n].members->self();
            auto& at = nodes_[other];
            if (const auto* it = std::get_if<config_frame>(&message))
                at.configs->offer(*it);
            if (const auto* it = std::get_if<config_summary_frame>(&message))
                at.configs->on_summary(from, *it);
            if (const auto* it = std::get_if<view_digest_frame>(&message))
                at.views->receive(from.id, *it);
            if (const auto* it = std::get_if<view_frame>(&message))
                at.views->receive(now_, from.id, *it);
        });
    }

    void send(int from, const address& to, const datagram& message) {
        const int other = index_of(to);
        count_bytes(from, other, encode(message).size());
        const int copies = chance(loss) ? 0 : (chance(duplication) ? 2 : 1);
        for (int n = 0; n < copies; ++n)
            deliver(from, other, [this, from, other, message] {
                nodes_[other].members->receive(
                    now_, {"10.0.0.1", static_cast<std::uint16_t>(1000 + from)},
                    message);
            });
    }

    void deliver(int from, int to, const std::function<void()>& action) {
        const auto delay = std::chrono::milliseconds(1 + random_() % 20);
        events_.push({now_ + delay, next_++, [this, from, to, action] {
                          const auto it = nodes_.find(to);
                          if (it == nodes_.end() || !it->second.is_up ||
                              !nodes_[from].is_up ||
                              nodes_[from].partition != it->second.partition)
                              return;
                          if (it->second.is_paused)
                              it->second.queued.push_back(action);
                          else
                              action();
                      }});
    }

    std::mt19937_64 random_;
    std::uint64_t next_{};
    std::priority_queue<event> events_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(nodes)

BOOST_AUTO_TEST_CASE(that_start_together_discover_each_other) {
    fake_network network(1, 20);
    network.run(10s);
    BOOST_TEST(network.all_agree_alive());
}

BOOST_AUTO_TEST_SUITE(that_fail)

BOOST_AUTO_TEST_CASE(are_declared_dead_by_all_others) {
    fake_network network(2, 12);
    network.run(8s);
    network.nodes_[5].is_up = false;
    network.run(20s);
    for (const auto& [n, it] : network.nodes_)
        if (n != 5)
            BOOST_TEST(int(network.state_seen_by(n, 5)) ==
                       int(member_state::dead));
}

BOOST_AUTO_TEST_CASE(rejoin_with_a_later_incarnation) {
    fake_network network(3, 8);
    network.run(8s);
    network.nodes_[5].is_up = false;
    network.run(15s);
    network.add(5, 2);
    network.run(10s);
    BOOST_TEST(network.all_agree_alive());
}

BOOST_AUTO_TEST_CASE(through_a_pause_are_alive_again_after_it) {
    fake_network network(4, 10);
    network.run(8s);
    network.nodes_[3].is_paused = true;
    network.run(15s);
    BOOST_TEST(int(network.state_seen_by(0, 3)) == int(member_state::dead));
    network.resume(3);
    network.run(20s);
    BOOST_TEST(network.all_agree_alive());
}

// Guards against frames to the life before a restart, which others keep sending
// until they take it for dead.
BOOST_AUTO_TEST_CASE(and_are_back_at_once_end_their_earlier_life) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_network network(seed, 12);
        network.loss = 0.05;
        network.run(8s);
        auto outdated = network.nodes_[4].members->self();
        network.nodes_[4].is_up = false;
        network.run(300ms);
        network.add(4, 1, "-later");
        network.run(2s);
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(network.nodes_all_see_left(4));
        // A record of it with a higher version arrives late.
        ++outdated.version;
        for (int n = 0; n < 4; ++n)
            network.nodes_[n].members->merge(network.now_, {outdated});
        BOOST_TEST(network.nodes_all_see_left(4));
    }
}

BOOST_AUTO_TEST_CASE(are_dead_once_another_one_answers_at_their_address) {
    fake_network network(11, 6);
    network.run(8s);
    auto& members = *network.nodes_[0].members;
    // A node first heard of after the connection was opened is kept.
    BOOST_TEST(
        !members.declare_replaced(network.now_, {"n4"}, network.now_ - 10s));
    BOOST_TEST(members.declare_replaced(network.now_, {"n4"}, network.now_));
    BOOST_TEST(int(network.state_seen_by(0, 4)) == int(member_state::dead));
    BOOST_TEST(!members.declare_replaced(network.now_, {"n4"}, network.now_));
    BOOST_TEST(!members.declare_replaced(network.now_, {"n9"}, network.now_));
    // A node that is alive raises its version.
    network.run(10s);
    BOOST_TEST(network.all_agree_alive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(that_left_stay_left_when_an_old_record_arrives) {
    fake_network network(5, 10);
    network.run(8s);
    const auto old_record = network.nodes_[4].members->self();
    network.nodes_[4].members->leave(network.now_);
    network.run(3s);
    network.nodes_[4].is_up = false;
    for (int n = 0; n < 4; ++n)
        network.nodes_[n].members->merge(network.now_, {old_record});
    network.run(10s);
    for (const auto& [n, it] : network.nodes_)
        if (n != 4)
            BOOST_TEST(int(network.state_seen_by(n, 4)) ==
                       int(member_state::left));
}

BOOST_AUTO_TEST_CASE(that_left_are_gone_for_a_restarted_node_too) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_network network(seed, 10);
        network.run(8s);
        // Node 9 misses the leave of node 4, and the restarted node 2 gets an
        // old record that calls node 4 alive.
        const auto old_record = network.nodes_[4].members->self();
        network.nodes_[9].is_paused = true;
        network.nodes_[4].members->leave(network.now_);
        network.run(500ms);
        network.nodes_[4].is_up = false;
        network.add(2, 2);
        network.nodes_[2].members->merge(network.now_, {old_record});
        network.resume(9);
        network.run(3s);
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(is_gone(network.state_seen_by(2, 4)));
        BOOST_TEST(is_gone(network.state_seen_by(9, 4)));
    }
}

// Guards against a departure that a restarted node does not learn of.
BOOST_AUTO_TEST_CASE(tell_a_new_life_that_the_target_of_an_earlier_one_left) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_network network(seed, 10);
        network.run(8s);
        auto& members = *network.nodes_[4].members;
        members.set_target(network.now_, {"orders"}, 8, target_state::ready);
        members.set_target(network.now_, {"orders"}, 8, target_state::draining);
        network.run(200ms);
        network.nodes_[4].is_up = false;
        // Before and after the others took it for dead.
        network.run(seed % 2 == 0 ? 300ms : 20s);
        network.add(4, 1, "-later");
        network.run(1500ms);
        const auto& later = *network.nodes_[4].members;
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(later.departures_at(network.now_, later.self()).size() ==
                   1U);
        const auto& other = *network.nodes_[5].members;
        BOOST_TEST(other.departures_at(network.now_, other.self()).empty());
    }
}

// Guards against a departure that is forgotten when the node that acknowledged
// it is killed at once, and others with it.
RC_BOOST_PROP(know_a_departure_that_a_killed_one_acknowledged, ()) {
    const int count = *rc::gen::inRange(6, 13);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    fake_network network(seed, count);
    network.loss = *rc::gen::element(0.0, 0.1);
    network.run(8s);
    auto& members = *network.nodes_[4].members;
    const target_departure departure{"i-1", 1000, members.self().id.name,
                                     members.self().endpoint};
    const auto record = to_record(departure, members.self());
    bool is_acknowledged = false;
    members.replicate(network.now_, record,
                      [&](bool is_kept) { is_acknowledged = is_kept; });
    for (int n = 0; n < 80 && !is_acknowledged; ++n)
        network.run(10ms);
    RC_ASSERT(is_acknowledged);
    // One of those that confirmed is left.
    std::mt19937_64 random(seed);
    std::set<int> killed{4};
    while (killed.size() < replication_options{}.copies)
        killed.insert(1 + static_cast<int>(random() % (count - 1)));
    for (const auto n : killed)
        network.nodes_[n].is_up = false;
    network.run(500ms);
    for (const auto n : killed)
        network.add(n, 1, "-later");
    network.run(3s);
    const auto* known = network.nodes_[4].members->find(record.id.name);
    RC_ASSERT(known != nullptr);
    const bool is_same = departure_of(*known) == departure;
    RC_ASSERT(is_same);
}

BOOST_AUTO_TEST_CASE(rejoin_after_a_long_network_partition) {
    fake_network network(6, 10);
    network.run(8s);
    for (auto& [n, it] : network.nodes_)
        it.partition = n % 2;
    network.run(60s);
    BOOST_TEST(int(network.state_seen_by(0, 1)) == int(member_state::dead));
    for (auto& [n, it] : network.nodes_)
        it.partition = 0;
    network.run(60s);
    BOOST_TEST(network.all_agree_alive());
}

/// Bytes per second that a node sends on average while one target changes each
/// second and 1% of the datagrams are lost.
double control_bytes(int nodes) {
    constexpr int settling_s = 30;
    constexpr int measured_s = 20;
    constexpr std::uint32_t slots = 100;
    fake_network network(20261401, nodes);
    network.loss = 0.01;
    network.run(std::chrono::seconds(settling_s));
    network.bytes_sent = 0;
    for (int n = 0; n < measured_s; ++n) {
        network.nodes_[n % nodes].members->set_target(
            network.now_, {"s"}, slots + n, target_state::ready);
        network.run(1s);
    }
    return static_cast<double>(network.bytes_sent) / nodes / measured_s;
}

BOOST_AUTO_TEST_CASE(send_no_more_control_bytes_in_a_larger_deployment) {
    constexpr double max_bytes_per_s = 14000;
    for (const int nodes : {30, 100, 300}) {
        const double bytes = control_bytes(nodes);
        BOOST_TEST_MESSAGE(nodes << " nodes: " << bytes << " bytes per second");
        BOOST_TEST(bytes < max_bytes_per_s);
    }
}

BOOST_AUTO_TEST_CASE(
    discover_each_other_at_startup_within_the_bound_on_control_bytes) {
    constexpr int nodes = 300;
    constexpr int seconds = 10;
    constexpr double max_bytes_per_s = 14000;
    fake_network network(20261402, nodes);
    network.loss = 0.01;
    network.run(std::chrono::seconds(seconds));
    const double bytes =
        static_cast<double>(network.bytes_sent) / nodes / seconds;
    BOOST_TEST_MESSAGE(nodes
                       << " nodes starting: " << bytes
                       << " bytes per second, to other domains "
                       << static_cast<double>(network.cross_domain_bytes_sent) /
                              nodes / seconds);
    BOOST_TEST(network.all_agree_alive());
    BOOST_TEST(bytes < max_bytes_per_s);
}

RC_BOOST_PROP(views_converge_after_loss_duplication_pauses_and_partitions, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const int count = *rc::gen::inRange(3, 9);
    fake_network network(seed, count);
    network.loss = *rc::gen::element(0.0, 0.1, 0.3);
    network.duplication = *rc::gen::element(0.0, 0.2);
    network.run(6s);
    const int victim = *rc::gen::inRange(0, count);
    network.nodes_[victim].is_paused = true;
    network.run(std::chrono::seconds(*rc::gen::inRange(1, 10)));
    network.nodes_[*rc::gen::inRange(0, count)].partition = 1;
    network.run(std::chrono::seconds(*rc::gen::inRange(1, 10)));
    network.resume(victim);
    for (auto& [n, it] : network.nodes_)
        it.partition = 0;
    network.loss = 0;
    network.run(60s);
    RC_ASSERT(network.all_agree_alive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configurations)

BOOST_AUTO_TEST_CASE(reach_every_node_within_five_seconds) {
    fake_network network(7, 40);
    network.run(10s);
    network.loss = 0.1;
    network.nodes_[3].configs->offer({{"g"}, 1, "c1", "one"});
    network.run(5s);
    for (const auto& [n, it] : network.nodes_)
        BOOST_TEST((it.configs->find({"g"}) != nullptr));
}

BOOST_AUTO_TEST_CASE(reach_a_node_after_a_network_partition) {
    fake_network network(8, 8);
    network.run(8s);
    network.nodes_[5].partition = 1;
    network.nodes_[3].configs->offer({{"g"}, 1, "c1", "one"});
    network.run(20s);
    BOOST_TEST((network.nodes_[5].configs->find({"g"}) == nullptr));
    network.nodes_[5].partition = 0;
    network.run(30s);
    BOOST_TEST((network.nodes_[5].configs->find({"g"}) != nullptr));
}

RC_BOOST_PROP(generations_never_decrease_when_old_ones_are_offered, ()) {
    fake_network network(*rc::gen::arbitrary<std::uint64_t>(), 5);
    network.run(4s);
    std::map<int, std::uint64_t> highest;
    const auto offers =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 50));
    for (const auto offer : offers) {
        const auto generation = 1 + static_cast<std::uint64_t>(offer) / 5;
        network.nodes_[offer % 5].configs->offer(
            {{"g"}, generation, "c", std::to_string(generation)});
        network.run(50ms);
        for (auto& [n, it] : network.nodes_) {
            const auto* known = it.configs->find({"g"});
            const auto value = known == nullptr ? 0 : known->generation;
            RC_ASSERT(value >= highest[n]);
            highest[n] = value;
        }
    }
    network.run(20s);
    const auto newest = network.nodes_[0].configs->find({"g"})->generation;
    for (const auto& [n, it] : network.nodes_)
        RC_ASSERT(it.configs->find({"g"})->generation == newest);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(duties)

BOOST_AUTO_TEST_CASE(mostly_keep_their_holder_when_a_node_leaves) {
    std::vector<node_name> nodes;
    for (int n = 0; n < 50; ++n)
        nodes.push_back({"n" + std::to_string(n)});
    auto remaining = nodes;
    remaining.erase(remaining.begin() + 7);
    int moved = 0;
    for (int duty = 0; duty < 200; ++duty) {
        const auto name = "duty-" + std::to_string(duty);
        if (choose_holders(nodes, name, 1) !=
            choose_holders(remaining, name, 1))
            ++moved;
    }
    BOOST_TEST(moved < 15);
}

BOOST_AUTO_TEST_SUITE_END()
