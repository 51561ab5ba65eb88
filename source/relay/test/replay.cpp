#include "replay.hpp"

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
constexpr duration start_up = std::chrono::seconds(10);
/// Callers honour a pause up to this share of the time they have left.
constexpr double honoured_share = 1.0 / 3;
/// For the last calls to end.
constexpr duration run_out = std::chrono::seconds(6);

duration of_ms(double n) {
    return duration(static_cast<duration::rep>(n * 1000));
}

class world {
  public:
    explicit world(const replay_load& load)
        : load_(load), random_(make_random(load.seed)) {
        add_machines();
        auto policy = make_policy();
        for (auto& it : machines_) {
            it->out->set_policy(policy);
            it->out->set_live_nodes(machines_.size());
            announce(*it);
        }
        for (const auto& kind : load_.kinds)
            if (kind.per_s > 0)
                next_arrival(kind);
        tick();
    }

    replay_result run() {
        const auto end = begin_ + load_.length + run_out;
        while (!events_.empty() && events_.top().at <= end) {
            auto it = events_.top();
            events_.pop();
            now_ = it.at;
            it.what();
        }
        return sum_up();
    }

  private:
    using action = std::function<void()>;
    struct event {
        time_point at;
        std::uint64_t number{};
        action what;

        bool operator>(const event& other) const {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };
    struct machine {
        std::size_t place{};
        const service_place* service{};
        double speed{1};
        node_incarnation life;
        std::unique_ptr<call_router> out;
        std::unique_ptr<target_dispatcher> in;
    };
    /// A run at a target.
    struct run_state {
        std::size_t at{};
        std::uint64_t execution{};
        const call_kind* kind{};
        time_point deadline;
        std::vector<const call_kind*> calls_left;
        /// It, or a run that led to it, was begun once more.
        bool is_repeat{};
        double segment_ms{};
        double worked_ms{};
    };
    /// A caller from outside and what it asked for.
    struct caller_state {
        const call_kind* kind{};
        std::size_t at{};
        time_point began;
        int tries{};
    };
    /// Who waits for an exchange: a caller or a run.
    struct waiting {
        bool is_run{};
        std::uint64_t id{};
    };
    /// How an exchange came to the targets.
    struct arrivals {
        /// Made by a run that was begun once more.
        bool is_of_repeat{};
        bool has_arrived{};
    };

    duration since_begin() const { return now_ - begin_; }
    double draw() {
        return static_cast<double>(random_() >> 11U) / 9007199254740992.0;
    }
    double spread() { return 0.6 + 0.8 * draw(); }
    void after(duration delay, action what) {
        events_.push({now_ + delay, next_event_++, std::move(what)});
    }
    const call_kind& kind_of(const std::string& name) const {
        return *std::find_if(load_.kinds.begin(), load_.kinds.end(),
                             [&](const auto& it) { return it.name == name; });
    }

    void add_machines() {
        for (const auto& service : load_.services)
            for (const double speed : service.speeds) {
                auto it = std::make_unique<machine>();
                it->place = machines_.size();
                it->service = &service;
                it->speed = speed;
                it->life = {{"n" + std::to_string(it->place)}, {1}};
                make_node(*it);
                by_name_[it->life.name] = it->place;
                machines_.push_back(std::move(it));
            }
        for (auto& it : machines_)
            for (const auto& other : machines_)
                it->out->add_target(
                    {other->service->name},
                    {other->life.name, {"d"}, other->service->slots});
    }

    void make_node(machine& it) {
        auto outward = load_.senders;
        outward.service = {it.service->name};
        outward.domain = {"d"};
        it.out =
            std::make_unique<call_router>(outward, call_router_hooks(it.place));
        auto inward = load_.runners;
        inward.service = outward.service;
        inward.announce_timeout = std::chrono::hours(1);
        it.in = std::make_unique<target_dispatcher>(
            inward, target_dispatcher_hooks(it.place));
    }

    call_router::hooks call_router_hooks(std::size_t place) {
        call_router::hooks h;
        h.send = [this, place](const node_name& to,
                               const relay_call_frame& call) {
            const auto there = by_name_.at(to);
            after(link_delay, [this, place, there, call] {
                machines_[there]->in->on_call(now_, machines_[place]->life,
                                              call);
            });
        };
        h.cancel = [this, place](const node_name& to,
                                 const coordination::cancel_frame& cancel) {
            const auto there = by_name_.at(to);
            after(link_delay, [this, place, there, cancel] {
                machines_[there]->in->on_cancel(now_, machines_[place]->life,
                                                cancel.sequence);
            });
        };
        h.answer = [this](exchange_id exchange, const call_result& answer) {
            const auto who = waiting_.extract(exchange).mapped();
            after(duration::zero(), [this, who, answer] {
                if (who.is_run)
                    below_ended(who.id, answer);
                else
                    caller_told(who.id, answer);
            });
        };
        h.on_event = [](const call_event&) {};
        h.on_finished = [](const finished_call&) {};
        h.retried_share = [this, place] {
            return machines_[place]->in->retried_share();
        };
        h.random = make_random(load_.seed * 1000 + place);
        return h;
    }

    target_dispatcher::hooks target_dispatcher_hooks(std::size_t place) {
        target_dispatcher::hooks h;
        h.dispatch = [this, place](const target_call& call) {
            start_run(place, call);
        };
        h.abort = [this, place](std::uint64_t execution) {
            std::erase_if(runs_, [&](const auto& it) {
                const bool ends =
                    it.second.at == place && it.second.execution == execution;
                result_.wasted_ms += ends ? it.second.worked_ms : 0;
                return ends;
            });
        };
        h.reply = [this, place](const node_incarnation& to,
                                const relay_reply_frame& reply) {
            const auto there = by_name_.at(to.name);
            after(link_delay, [this, place, there, reply] {
                machines_[there]->out->on_reply(
                    now_, machines_[place]->life.name, reply);
            });
        };
        h.on_target_state = [](coordination::target_state, std::uint32_t) {};
        h.downstream_offered_loads = [this, place](time_point now,
                                                   const std::string& route) {
            return machines_[place]->out->downstream_offered_loads(now, route);
        };
        h.on_execution_start = [this, place](time_point now,
                                             const std::string& route) {
            machines_[place]->out->on_execution_start(now, route);
        };
        h.on_execution_end = [this, place](time_point now,
                                           const std::string& route,
                                           duration took) {
            machines_[place]->out->on_execution_end(now, route, took);
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
            it.target_latency = ms(kind.aim_ms);
            it.priority = kind.priority;
            it.max_attempts = 3;
            it.weighted_services = {{{kind.service}, 1}};
            policy.routes.push_back(it);
        }
        return std::make_shared<const traffic_policy>(std::move(policy));
    }

    void announce(machine& it) {
        target_announcement said;
        said.instance = "i-" + it.life.name.value;
        said.service = {it.service->name};
        said.slots = it.service->slots;
        said.started_ms = 1;
        said.sequence = 1;
        it.in->announce(now_, said);
    }

    void tick() {
        for (const auto& it : machines_) {
            it->out->tick(now_);
            it->in->tick(now_);
        }
        after(tick_interval, [this] { tick(); });
    }

    // Callers -----------------------------------------------------------------

    void next_arrival(const call_kind& kind) {
        const double rate =
            kind.per_s * std::max(load_.factor(since_begin()), 1e-3);
        const double wait_s = -std::log(1 - draw()) / rate;
        after(of_ms(wait_s * 1000), [this, &kind] {
            if (since_begin() > load_.length)
                return;
            const auto id = next_caller_++;
            const auto at =
                static_cast<std::size_t>(draw() * 1e9) % machines_.size();
            callers_[id] = {&kind, at, now_, 0};
            if (is_counted(callers_[id]))
                result_.kinds[kind.name].asked += 1;
            ask(id);
            next_arrival(kind);
        });
    }

    bool is_counted(const caller_state& it) const {
        return it.began >= begin_ + load_.counted_from;
    }

    void ask(std::uint64_t id) {
        auto& it = callers_.at(id);
        ++it.tries;
        it.at = it.tries == 1
                    ? it.at
                    : static_cast<std::size_t>(draw() * 1e9) % machines_.size();
        const auto left = ms(it.kind->deadline_ms) - (now_ - it.began);
        send_out(it.at, *it.kind, left, {false, id});
    }

    void send_out(std::size_t place, const call_kind& kind, duration left,
                  waiting who) {
        incoming_call call;
        call.exchange = next_exchange_++;
        call.host = "h";
        call.id = {std::to_string(call.exchange)};
        call.arrived = now_;
        call.time_left = left;
        call.request = {"GET", "/" + kind.name + "/", {}, ""};
        waiting_[call.exchange] = who;
        arrivals_[call.exchange].is_of_repeat =
            who.is_run && runs_.at(who.id).is_repeat;
        result_.repeats.on_request(now_, kind.service);
        machines_[place]->out->on_call(now_, std::move(call));
    }

    void caller_told(std::uint64_t id, const call_result& answer) {
        auto& it = callers_.at(id);
        replay_count ignored;
        auto& count = is_counted(it) ? result_.kinds[it.kind->name] : ignored;
        const auto took = now_ - it.began;
        const bool is_good =
            answer.outcome == outcome::done && answer.error == error_code::none;
        if (is_good) {
            const bool is_in_aim = took <= ms(it.kind->aim_ms);
            (is_in_aim ? count.in_aim : count.late) += 1;
            count.worth += is_in_aim ? it.kind->worth : 0;
        } else if (answer.outcome == outcome::not_run) {
            const auto left = ms(it.kind->deadline_ms) - took;
            const auto most = of_ms(seconds(left) * 1000 * honoured_share);
            if (it.tries <= load_.retries && left > ms(50)) {
                after(std::min(std::max(answer.retry_after, duration(ms(1))),
                               most),
                      [this, id] { ask(id); });
                return;
            }
            count.refused += 1;
            count.refused_again += it.tries > 1 ? 1 : 0;
        } else {
            count.failed += 1;
        }
        callers_.erase(id);
    }

    // Targets -----------------------------------------------------------------

    /// Whether the call is a repeat, as the operator counts it.
    bool note_arrival(const call_kind& kind, const target_call& call) {
        auto& it = arrivals_[std::stoull(call.id.value)];
        const bool is_repeat =
            std::exchange(it.has_arrived, true) || it.is_of_repeat;
        if (is_repeat)
            result_.repeats.on_repeat(now_, kind.service);
        return is_repeat;
    }

    void start_run(std::size_t place, const target_call& call) {
        const auto& name = call.request.target;
        const auto& kind = kind_of(name.substr(1, name.size() - 2));
        const bool is_repeat = note_arrival(kind, call);
        const auto id = next_run_++;
        const auto shed =
            load_.sheds(machines_[place]->service->name, since_begin());
        if (draw() < shed) {
            after(ms(1), [this, place, execution = call.execution] {
                machines_[place]->in->on_target_result(
                    now_, execution, {target_outcome::not_run, {}, false});
            });
            return;
        }
        run_state it;
        it.at = place;
        it.execution = call.execution;
        it.kind = &kind;
        it.is_repeat = is_repeat;
        it.deadline = now_ + call.time_left;
        for (const auto& below : kind.calls)
            it.calls_left.insert(it.calls_left.end(),
                                 static_cast<std::size_t>(below.times),
                                 &kind_of(below.kind));
        it.segment_ms = kind.work_ms * spread() / machines_[place]->speed /
                        static_cast<double>(it.calls_left.size() + 1);
        runs_[id] = std::move(it);
        work(id);
    }

    void work(std::uint64_t id) {
        after(of_ms(runs_.at(id).segment_ms), [this, id] {
            const auto found = runs_.find(id);
            if (found == runs_.end())
                return;
            auto& it = found->second;
            it.worked_ms += it.segment_ms;
            result_.worked_ms += it.segment_ms;
            if (now_ > it.deadline) {
                end_run(id, target_outcome::responded_failure);
                return;
            }
            if (it.calls_left.empty()) {
                end_run(id, target_outcome::responded);
                return;
            }
            const auto& below = *it.calls_left.back();
            it.calls_left.pop_back();
            const auto left =
                std::min<duration>(it.deadline - now_, ms(below.deadline_ms));
            send_out(it.at, below, left, {true, id});
        });
    }

    void below_ended(std::uint64_t id, const call_result& answer) {
        if (runs_.count(id) == 0)
            return;
        if (answer.outcome == outcome::done && answer.error == error_code::none)
            work(id);
        else
            end_run(id, target_outcome::responded_failure);
    }

    void end_run(std::uint64_t id, target_outcome end) {
        const auto it = runs_.extract(id).mapped();
        if (end != target_outcome::responded)
            result_.wasted_ms += it.worked_ms;
        target_result answer;
        answer.outcome = end;
        answer.response.status = end == target_outcome::responded ? 200 : 500;
        machines_[it.at]->in->on_target_result(now_, it.execution, answer);
    }

    replay_result sum_up() {
        double asked = 0;
        double worth = 0;
        for (const auto& kind : load_.kinds) {
            if (kind.per_s <= 0)
                continue;
            const auto& it = result_.kinds[kind.name];
            asked += it.asked;
            worth += it.asked * kind.worth;
            result_.served += it.served();
            result_.refused += it.refused;
            result_.failed += it.failed;
            result_.worth += it.worth;
        }
        result_.served /= asked;
        result_.refused /= asked;
        result_.failed /= asked;
        result_.worth /= worth;
        return result_;
    }

    const replay_load& load_;
    random_hook random_;
    time_point now_{std::chrono::seconds(1000)};
    /// Calls are counted from here on: routes and times are learned before.
    time_point begin_{now_ + start_up};
    std::uint64_t next_event_{};
    std::uint64_t next_exchange_{1};
    std::uint64_t next_run_{1};
    std::uint64_t next_caller_{1};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::unordered_map<node_name, std::size_t> by_name_;
    std::unordered_map<exchange_id, waiting> waiting_;
    std::unordered_map<exchange_id, arrivals> arrivals_;
    std::unordered_map<std::uint64_t, caller_state> callers_;
    std::unordered_map<std::uint64_t, run_state> runs_;
    replay_result result_;
};

} // namespace

replay_result play(const replay_load& load) {
    world it(load);
    return it.run();
}

std::string replay_result::text() const {
    std::ostringstream out;
    out.precision(3);
    out << "worth " << worth << ", served " << served << ", refused " << refused
        << ", failed " << failed << ", wasted work "
        << wasted_ms / std::max(worked_ms, 1.0) << "\n";
    for (const auto& [name, it] : kinds)
        out << "  " << name << ": asked " << it.asked << ", in aim "
            << it.in_aim / it.asked << ", late " << it.late / it.asked
            << ", refused " << it.refused / it.asked << " (again "
            << it.refused_again / it.asked << "), failed "
            << it.failed / it.asked << "\n";
    return out.str();
}

} // namespace redwingwind::relay::test
