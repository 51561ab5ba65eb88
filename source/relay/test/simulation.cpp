#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace redwingwind::relay::test {
namespace {

using coordination::outcome;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using ms = std::chrono::milliseconds;

constexpr duration link_delay = std::chrono::microseconds(1400);
constexpr duration tick_interval = ms(5);
constexpr duration warm_up = std::chrono::seconds(10);
/// Callers wait for a retry-after time up to this share of their time left.
constexpr double max_honoured_share = 1.0 / 3;
/// Time for the last calls to finish.
constexpr duration drain_time = std::chrono::seconds(6);

duration from_ms(double n) {
    return duration(static_cast<duration::rep>(n * 1000));
}

class simulation {
  public:
    explicit simulation(const simulated_load& load)
        : load_(load), random_(make_random(load.seed)) {
        add_machines();
        auto policy = make_policy();
        for (auto& it : machines_) {
            it->router->set_policy(policy);
            it->router->set_live_nodes(machines_.size());
            announce(*it);
        }
        for (const auto& kind : load_.kinds)
            if (kind.calls_per_s > 0)
                next_arrival(kind);
        tick();
    }

    simulation_result run() {
        const auto end = measure_start_ + load_.length + drain_time;
        while (!events_.empty() && events_.top().at <= end) {
            auto it = events_.top();
            events_.pop();
            now_ = it.at;
            it.run();
        }
        return total_result();
    }

  private:
    using action = std::function<void()>;
    struct event {
        time_point at;
        std::uint64_t number{};
        action run;

        bool operator>(const event& other) const {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };
    struct machine {
        std::size_t index{};
        const simulated_service* service{};
        double speed{1};
        node_incarnation incarnation;
        std::unique_ptr<call_router> router;
        std::unique_ptr<target_dispatcher> dispatcher;
    };
    /// An execution at a target.
    struct execution_state {
        std::size_t at{};
        std::uint64_t execution{};
        const call_kind* kind{};
        time_point deadline;
        std::vector<const call_kind*> calls_left;
        /// It, or an execution that led to it, is a retried one.
        bool is_retried{};
        double segment_ms{};
        double worked_ms{};
    };
    /// A root call and its attempts.
    struct caller_state {
        const call_kind* kind{};
        std::size_t at{};
        time_point began;
        int attempts{};
    };
    /// Waits for an exchange: a root caller or an execution.
    struct waiter {
        bool is_execution{};
        std::uint64_t id{};
    };
    /// State of an exchange, to recognise retried executions.
    struct arrival_state {
        /// Called by a retried execution.
        bool is_from_retried{};
        bool has_arrived{};
    };

    duration elapsed() const { return now_ - measure_start_; }
    double random_unit() {
        return static_cast<double>(random_() >> 11U) / 9007199254740992.0;
    }
    double random_factor() { return 0.6 + 0.8 * random_unit(); }
    void schedule(duration delay, action run) {
        events_.push({now_ + delay, next_event_++, std::move(run)});
    }
    const call_kind& kind_of(const std::string& name) const {
        return *std::find_if(load_.kinds.begin(), load_.kinds.end(),
                             [&](const auto& it) { return it.name == name; });
    }

    void add_machines() {
        for (const auto& service : load_.services)
            for (const double speed : service.speeds) {
                auto it = std::make_unique<machine>();
                it->index = machines_.size();
                it->service = &service;
                it->speed = speed;
                it->incarnation = {{"n" + std::to_string(it->index)}, {1}};
                make_node(*it);
                by_name_[it->incarnation.name] = it->index;
                machines_.push_back(std::move(it));
            }
        for (auto& it : machines_)
            for (const auto& other : machines_)
                it->router->add_target(
                    {other->service->name},
                    {other->incarnation.name, {"d"}, other->service->slots});
    }

    void make_node(machine& it) {
        auto router_options = load_.call_routers;
        router_options.service = {it.service->name};
        router_options.domain = {"d"};
        it.router = std::make_unique<call_router>(router_options,
                                                  call_router_hooks(it.index));
        auto dispatcher_options = load_.target_dispatchers;
        dispatcher_options.service = router_options.service;
        dispatcher_options.announce_timeout = std::chrono::hours(1);
        it.dispatcher = std::make_unique<target_dispatcher>(
            dispatcher_options, target_dispatcher_hooks(it.index));
    }

    call_router::hooks call_router_hooks(std::size_t index) {
        call_router::hooks h;
        h.send = [this, index](const node_name& to,
                               const relay_call_frame& call) {
            const auto destination = by_name_.at(to);
            schedule(link_delay, [this, index, destination, call] {
                machines_[destination]->dispatcher->on_call(
                    now_, machines_[index]->incarnation, call);
            });
        };
        h.cancel = [this, index](const node_name& to,
                                 const coordination::cancel_frame& cancel) {
            const auto destination = by_name_.at(to);
            schedule(link_delay, [this, index, destination, cancel] {
                machines_[destination]->dispatcher->on_cancel(
                    now_, machines_[index]->incarnation, cancel.sequence);
            });
        };
        h.answer = [this](exchange_id exchange, const call_result& result) {
            const auto who = waiters_.extract(exchange).mapped();
            schedule(duration::zero(), [this, who, result] {
                if (who.is_execution)
                    on_nested_result(who.id, result);
                else
                    on_root_result(who.id, result);
            });
        };
        h.on_event = [](const call_event&) {};
        h.on_finished = [](const finished_call&) {};
        h.retried_share = [this, index] {
            return machines_[index]->dispatcher->retried_share();
        };
        h.random = make_random(load_.seed * 1000 + index);
        return h;
    }

    target_dispatcher::hooks target_dispatcher_hooks(std::size_t index) {
        target_dispatcher::hooks h;
        h.dispatch = [this, index](const target_call& call) {
            start_execution(index, call);
        };
        h.abort = [this, index](std::uint64_t execution) {
            std::erase_if(executions_, [&](const auto& it) {
                const bool ends =
                    it.second.at == index && it.second.execution == execution;
                result_.wasted_ms += ends ? it.second.worked_ms : 0;
                return ends;
            });
        };
        h.reply = [this, index](const node_incarnation& to,
                                const relay_reply_frame& reply) {
            const auto destination = by_name_.at(to.name);
            schedule(link_delay, [this, index, destination, reply] {
                machines_[destination]->router->on_reply(
                    now_, machines_[index]->incarnation.name, reply);
            });
        };
        h.on_target_state = [](coordination::target_state, std::uint32_t) {};
        h.downstream_offered_loads = [this, index](time_point now,
                                                   const std::string& route) {
            return machines_[index]->router->downstream_offered_loads(now,
                                                                      route);
        };
        h.on_execution_start = [this, index](time_point now,
                                             const std::string& route) {
            machines_[index]->router->on_execution_start(now, route);
        };
        h.on_execution_end = [this, index](time_point now,
                                           const std::string& route,
                                           duration service_time) {
            machines_[index]->router->on_execution_end(now, route,
                                                       service_time);
        };
        h.on_event = [](const call_event&) {};
        h.on_finished = [](const finished_execution&) {};
        return h;
    }

    std::shared_ptr<const traffic_policy> make_policy() const {
        traffic_policy policy;
        policy.version = 1;
        for (const auto& kind : load_.kinds) {
            route it;
            it.name = kind.name;
            it.host = "h";
            it.path_prefix = "/" + kind.name + "/";
            it.is_idempotent = kind.is_idempotent;
            it.timeout = ms(std::min(kind.timeout_ms, kind.deadline_ms));
            it.target_latency = ms(kind.target_latency_ms);
            it.priority = kind.priority;
            it.max_attempts = 3;
            it.service_weights = {{{kind.service}, 1}};
            policy.routes.push_back(it);
        }
        return std::make_shared<const traffic_policy>(std::move(policy));
    }

    void announce(machine& it) {
        target_announcement announcement;
        announcement.instance = "i-" + it.incarnation.name.value;
        announcement.service = {it.service->name};
        announcement.slots = it.service->slots;
        announcement.started_ms = 1;
        announcement.sequence = 1;
        it.dispatcher->announce(now_, announcement);
    }

    void tick() {
        for (const auto& it : machines_) {
            it->router->tick(now_);
            it->dispatcher->tick(now_);
        }
        schedule(tick_interval, [this] { tick(); });
    }

    // Callers -----------------------------------------------------------------

    void next_arrival(const call_kind& kind) {
        const double rate =
            kind.calls_per_s * std::max(load_.factor(elapsed()), 1e-3);
        const double wait_s = -std::log(1 - random_unit()) / rate;
        schedule(from_ms(wait_s * 1000), [this, &kind] {
            if (elapsed() > load_.length)
                return;
            const auto id = next_caller_++;
            const auto at = static_cast<std::size_t>(random_unit() * 1e9) %
                            machines_.size();
            callers_[id] = {&kind, at, now_, 0};
            if (is_counted(callers_[id]))
                result_.kinds[kind.name].offered += 1;
            send_root_call(id);
            next_arrival(kind);
        });
    }

    bool is_counted(const caller_state& it) const {
        return it.began >= measure_start_ + load_.measured_from;
    }

    void send_root_call(std::uint64_t id) {
        auto& it = callers_.at(id);
        ++it.attempts;
        it.at = it.attempts == 1
                    ? it.at
                    : static_cast<std::size_t>(random_unit() * 1e9) %
                          machines_.size();
        const auto left = ms(it.kind->deadline_ms) - (now_ - it.began);
        send_call(it.at, *it.kind, left, {false, id});
    }

    void send_call(std::size_t index, const call_kind& kind, duration left,
                   waiter who) {
        incoming_call call;
        call.exchange = next_exchange_++;
        call.host = "h";
        call.id = {std::to_string(call.exchange)};
        call.arrived = now_;
        call.time_left = left;
        call.request = {"GET", "/" + kind.name + "/", {}, ""};
        waiters_[call.exchange] = who;
        arrival_states_[call.exchange].is_from_retried =
            who.is_execution && executions_.at(who.id).is_retried;
        result_.retries.on_request(now_, kind.service);
        machines_[index]->router->on_call(now_, std::move(call));
    }

    void on_root_result(std::uint64_t id, const call_result& result) {
        auto& it = callers_.at(id);
        call_counts ignored;
        auto& count = is_counted(it) ? result_.kinds[it.kind->name] : ignored;
        const auto latency = now_ - it.began;
        const bool is_good =
            result.outcome == outcome::done && result.error == error_code::none;
        if (is_good) {
            const bool is_in_time = latency <= ms(it.kind->target_latency_ms);
            (is_in_time ? count.in_time : count.late) += 1;
            count.value += is_in_time ? it.kind->value : 0;
        } else if (result.outcome == outcome::not_run) {
            const auto left = ms(it.kind->deadline_ms) - latency;
            const auto max_wait =
                from_ms(seconds(left) * 1000 * max_honoured_share);
            if (it.attempts <= load_.retries && left > ms(50)) {
                schedule(std::min(std::max(result.retry_after, duration(ms(1))),
                                  max_wait),
                         [this, id] { send_root_call(id); });
                return;
            }
            count.rejected += 1;
            count.rejected_after_retry += it.attempts > 1 ? 1 : 0;
        } else {
            count.failed += 1;
        }
        callers_.erase(id);
    }

    // Targets -----------------------------------------------------------------

    /// Returns whether the execution is a retried one, as the operator counts
    /// it.
    bool record_arrival(const call_kind& kind, const target_call& call) {
        auto& it = arrival_states_[std::stoull(call.id.value)];
        const bool is_retried =
            std::exchange(it.has_arrived, true) || it.is_from_retried;
        if (is_retried)
            result_.retries.on_retry(now_, kind.service);
        return is_retried;
    }

    void start_execution(std::size_t index, const target_call& call) {
        const auto& name = call.request.target;
        const auto& kind = kind_of(name.substr(1, name.size() - 2));
        const bool is_retried = record_arrival(kind, call);
        const auto id = next_execution_++;
        const auto shed =
            load_.shed_share(machines_[index]->service->name, elapsed());
        if (random_unit() < shed) {
            schedule(ms(1), [this, index, execution = call.execution] {
                machines_[index]->dispatcher->on_target_result(
                    now_, execution, {target_outcome::not_run, {}, false});
            });
            return;
        }
        execution_state it;
        it.at = index;
        it.execution = call.execution;
        it.kind = &kind;
        it.is_retried = is_retried;
        it.deadline = now_ + call.time_left;
        for (const auto& nested : kind.nested)
            it.calls_left.insert(it.calls_left.end(),
                                 static_cast<std::size_t>(nested.times),
                                 &kind_of(nested.kind));
        it.segment_ms = kind.work_ms * random_factor() /
                        machines_[index]->speed /
                        static_cast<double>(it.calls_left.size() + 1);
        executions_[id] = std::move(it);
        work(id);
    }

    void work(std::uint64_t id) {
        schedule(from_ms(executions_.at(id).segment_ms), [this, id] {
            const auto found = executions_.find(id);
            if (found == executions_.end())
                return;
            auto& it = found->second;
            it.worked_ms += it.segment_ms;
            result_.worked_ms += it.segment_ms;
            if (now_ > it.deadline) {
                end_execution(id, target_outcome::responded_failure);
                return;
            }
            if (it.calls_left.empty()) {
                end_execution(id, target_outcome::responded);
                return;
            }
            const auto& nested = *it.calls_left.back();
            it.calls_left.pop_back();
            const auto left =
                std::min<duration>(it.deadline - now_, ms(nested.deadline_ms));
            send_call(it.at, nested, left, {true, id});
        });
    }

    void on_nested_result(std::uint64_t id, const call_result& result) {
        if (executions_.count(id) == 0)
            return;
        if (result.outcome == outcome::done && result.error == error_code::none)
            work(id);
        else
            end_execution(id, target_outcome::responded_failure);
    }

    void end_execution(std::uint64_t id, target_outcome outcome) {
        const auto it = executions_.extract(id).mapped();
        if (outcome != target_outcome::responded)
            result_.wasted_ms += it.worked_ms;
        target_result result;
        result.outcome = outcome;
        result.response.status =
            outcome == target_outcome::responded ? 200 : 500;
        machines_[it.at]->dispatcher->on_target_result(now_, it.execution,
                                                       result);
    }

    simulation_result total_result() {
        double offered = 0;
        double value = 0;
        for (const auto& kind : load_.kinds) {
            if (kind.calls_per_s <= 0)
                continue;
            const auto& it = result_.kinds[kind.name];
            offered += it.offered;
            value += it.offered * kind.value;
            result_.served += it.served();
            result_.rejected += it.rejected;
            result_.failed += it.failed;
            result_.value += it.value;
        }
        result_.served /= offered;
        result_.rejected /= offered;
        result_.failed /= offered;
        result_.value /= value;
        return result_;
    }

    const simulated_load& load_;
    random_hook random_;
    time_point now_{std::chrono::seconds(1000)};
    /// Calls are counted from here on: before, nodes learn the nested routes
    /// and the service times.
    time_point measure_start_{now_ + warm_up};
    std::uint64_t next_event_{};
    std::uint64_t next_exchange_{1};
    std::uint64_t next_execution_{1};
    std::uint64_t next_caller_{1};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::unordered_map<node_name, std::size_t> by_name_;
    std::unordered_map<exchange_id, waiter> waiters_;
    std::unordered_map<exchange_id, arrival_state> arrival_states_;
    std::unordered_map<std::uint64_t, caller_state> callers_;
    std::unordered_map<std::uint64_t, execution_state> executions_;
    simulation_result result_;
};

} // namespace

simulation_result simulate(const simulated_load& load) {
    simulation it(load);
    return it.run();
}

std::string simulation_result::text() const {
    std::ostringstream out;
    out.precision(3);
    out << "value " << value << ", served " << served << ", rejected "
        << rejected << ", failed " << failed << ", wasted work "
        << wasted_ms / std::max(worked_ms, 1.0) << "\n";
    for (const auto& [name, it] : kinds)
        out << "  " << name << ": offered " << it.offered << ", in time "
            << it.in_time / it.offered << ", late " << it.late / it.offered
            << ", rejected " << it.rejected / it.offered << " (after a retry "
            << it.rejected_after_retry / it.offered << "), failed "
            << it.failed / it.offered << "\n";
    return out.str();
}

} // namespace redwingwind::relay::test
