#include "fake_cluster.hpp"

#include <redwingwind/policy/graph_document.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::engine::test {
namespace {

coordination::keyring test_keys() {
    return *coordination::keyring::parse("1:000102030405060708090a0b0c0d0e0f");
}

} // namespace

raw_call make_call(const std::string& target, const std::string& importance,
                   const std::string& id, const std::string& ticket) {
    raw_call call;
    call.method = "POST";
    call.request_target = target;
    call.importance = importance;
    call.id = id;
    call.ticket = ticket;
    call.deadline_ms = "1000";
    return call;
}

fake_cluster::fake_cluster(std::uint64_t seed) : random(seed) {}

int fake_cluster::index_of(const node_name& name) {
    return std::stoi(name.value.substr(1));
}

void fake_cluster::schedule(duration delay, std::function<void()> action) {
    events_.push({now_ + delay, next_event_++, std::move(action)});
}

void fake_cluster::schedule_at_node(int n, const node_incarnation& life,
                                    duration delay,
                                    std::function<void()> action) {
    schedule(delay, [this, n, life, action = std::move(action)] {
        auto& it = nodes_.at(n);
        if (!it.is_up || it.life != life)
            return;
        if (it.is_paused)
            it.deferred.push_back(action);
        else
            action();
    });
}

void fake_cluster::add(int n, const std::string& service, std::uint32_t slots,
                       const std::map<std::string, fake_route>& routes,
                       std::uint64_t life) {
    auto& it = nodes_[n];
    it = node{};
    it.life = {{"n" + std::to_string(n)}, {life}};
    it.service = service;
    it.routes = routes;
    slots_[n] = slots;
    core_options options;
    options.self.id = it.life;
    options.self.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + n)};
    options.self.region = {"r"};
    options.self.domain = {"d" + std::to_string(n % 3)};
    options.graph = {"g"};
    it.core = std::make_unique<node_core>(options, test_keys(), hooks_of(n));
    for (const auto& [m, other] : nodes_)
        if (m != n)
            it.core->add_contact(
                {"10.0.0.1", static_cast<std::uint16_t>(1000 + m)});
    announce(n);
}

void fake_cluster::announce(int n) {
    const auto& it = nodes_.at(n);
    target_announcement announcement;
    announcement.service = {it.service};
    announcement.slots = slots_.at(n);
    announcement.instance = std::to_string(it.life.life.value);
    announcement.warm_up = duration::zero();
    it.core->announce(now_, announcement);
    schedule_at_node(n, it.life, std::chrono::seconds(1),
                     [this, n] { announce(n); });
}

node_core::hooks fake_cluster::hooks_of(int n) {
    node_core::hooks h;
    h.send_datagram = [this, n](const coordination::address& to,
                                const coordination::datagram& message) {
        const int other = to.port - 1000;
        const bool is_lost = double(random() % 1000) < datagram_loss * 1000 ||
                             nodes_.count(other) == 0;
        if (is_lost)
            return;
        schedule_at_node(
            other, nodes_.at(other).life, frame_delay_,
            [this, n, other, message] {
                core(other).on_datagram(
                    now_, {"10.0.0.1", static_cast<std::uint16_t>(1000 + n)},
                    message);
            });
    };
    h.send_frame = [this, n](const coordination::member_record& to,
                             const coordination::frame& message) {
        send_frame(n, to.id, message);
    };
    h.send_back = [this, n](const node_incarnation& to,
                            const coordination::frame& message) {
        send_frame(n, to, message);
    };
    h.drop_links = [](const node_incarnation&) {};
    h.dispatch = [this, n](std::uint64_t execution, const call_request& request,
                           const call_context& context) {
        execute(n, execution, request, context);
    };
    h.stop = [this, n](std::uint64_t execution) {
        nodes_.at(n).stopped[execution] = 1;
    };
    h.random = [this] { return random(); };
    return h;
}

void fake_cluster::send_frame(int from, const node_incarnation& to,
                              const coordination::frame& message) {
    const int other = index_of(to.name);
    const auto life = nodes_.at(from).life;
    const auto epoch = nodes_.at(from).link_epoch[other];
    if (!nodes_.at(other).is_up || nodes_.at(other).life != to) {
        schedule_at_node(from, life, frame_delay_, [this, from, to] {
            core(from).on_link_down(now_, to, false);
        });
        return;
    }
    schedule_at_node(other, to, frame_delay_,
                     [this, from, other, life, epoch, message] {
                         if (nodes_.at(from).link_epoch[other] == epoch)
                             core(other).on_frame(now_, life, message);
                     });
}

void fake_cluster::cut_link(int from, int to) {
    auto& it = nodes_.at(from);
    ++it.link_epoch[to];
    ++nodes_.at(to).link_epoch[from];
    const auto peer = nodes_.at(to).life;
    schedule_at_node(from, it.life, frame_delay_, [this, from, peer] {
        core(from).on_link_down(now_, peer, true);
    });
}

void fake_cluster::kill(int n) {
    auto& it = nodes_.at(n);
    it.is_up = false;
    const auto life = it.life;
    for (auto& [m, other] : nodes_) {
        if (m == n)
            continue;
        ++other.link_epoch[n];
        schedule_at_node(m, other.life, frame_delay_, [this, m = m, life] {
            core(m).on_link_down(now_, life, true);
        });
    }
}

void fake_cluster::pause(int n) {
    nodes_.at(n).is_paused = true;
}

void fake_cluster::resume(int n) {
    auto& it = nodes_.at(n);
    it.is_paused = false;
    for (auto& action : std::exchange(it.deferred, {}))
        action();
}

void fake_cluster::run(duration time) {
    const auto end = now_ + time;
    while (now_ < end) {
        now_ += std::chrono::milliseconds(1);
        while (!events_.empty() && events_.top().at <= now_) {
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
        for (auto& [n, it] : nodes_)
            if (it.is_up && !it.is_paused &&
                it.core->next_due(now_) <= now_ + std::chrono::milliseconds(1))
                it.core->tick(now_);
    }
}

void fake_cluster::set_policy(const overload::graph_policy& policy) {
    policy::graph_document document;
    document.graph = {"g"};
    document.generation = 1;
    document.change_id = "c";
    document.policy = policy;
    for (auto& [n, it] : nodes_)
        it.core->offer_config({document.graph, document.generation,
                               document.change_id, policy::to_text(document)});
}

std::shared_ptr<pending_response> fake_cluster::call(int n,
                                                     const raw_call& call) {
    auto response = std::make_shared<pending_response>();
    if (!nodes_.at(n).is_up)
        return response;
    schedule_at_node(
        n, nodes_.at(n).life, duration::zero(), [this, n, call, response] {
            core(n).on_call(
                now_, call,
                [response](const call_request&, const call_response& value) {
                    response->value = value;
                    response->has_arrived = true;
                });
        });
    return response;
}

std::size_t fake_cluster::executions_of(const std::string& root) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [&](const auto& it) { return it.root == root; }));
}

// Targets -------------------------------------------------------------------

void fake_cluster::execute(int n, std::uint64_t execution,
                           const call_request& request,
                           const call_context& context) {
    auto& it = nodes_.at(n);
    const auto found = it.routes.find(request.path);
    const auto route = found == it.routes.end() ? fake_route{} : found->second;
    // The target keeps executing while its node is paused, so the execution is
    // recorded at once.
    records_.push_back({it.service, request.path, request.root.value});
    schedule_at_node(
        n, it.life, route.service_time,
        [this, n, execution, route, request, text = to_text(context)] {
            call_next(n, execution, route, 0, request, text);
        });
}

void fake_cluster::call_next(int n, std::uint64_t execution,
                             const fake_route& route, std::size_t next,
                             const call_request& request,
                             const std::string& context) {
    if (nodes_.at(n).stopped.count(execution) > 0)
        return;
    if (next == route.calls.size()) {
        const bool fails = double(random() % 1000) < route.failure_share * 1000;
        target_result result{target_end::answered, route.status, "text/plain",
                             request.root.value};
        if (fails)
            result = {target_end::unknown, 503, "", ""};
        core(n).on_target_result(now_, execution, result);
        return;
    }
    raw_call child;
    child.method = "POST";
    child.request_target = route.calls[next];
    child.context = context;
    child.is_from_local_target = true;
    child.deadline_ms = std::to_string(
        std::max<std::int64_t>(milliseconds(request.deadline - now_), 1));
    core(n).on_call(
        now_, child,
        [this, n, execution, route, next, request,
         context](const call_request&, const call_response& value) {
            if (value.what == outcome::done) {
                call_next(n, execution, route, next + 1, request, context);
                return;
            }
            core(n).on_target_result(now_, execution,
                                     {target_end::unknown, 503, "", ""});
        });
}

} // namespace redwingwind::engine::test
