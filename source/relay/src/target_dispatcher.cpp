#include <redwingwind/relay/target_dispatcher.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace redwingwind::relay {

using coordination::outcome;
using coordination::relay_reply_frame;
using coordination::target_state;

namespace {

/// How soon a caller may come back when the target is not there: the time
/// that another node needs to learn of it.
constexpr duration absent_retry_after = std::chrono::milliseconds(300);
/// Less strain is not told: nothing is left out for it.
constexpr double least_strain = 0.5;
/// How often running calls are looked through for those past their deadline.
constexpr duration late_look_interval = std::chrono::milliseconds(50);

} // namespace

target_dispatcher::target_dispatcher(target_dispatcher_options options, hooks h)
    : options_(std::move(options)), hooks_(std::move(h)), gate_(options_.gate) {
}

void target_dispatcher::set_state(target_state state) {
    state_ = state;
    hooks_.on_target_state(state, target_.slots);
}

void target_dispatcher::announce(time_point now,
                                 const target_announcement& said) {
    if (said.service != options_.service)
        return;
    const bool is_older =
        said.started_ms < target_.started_ms ||
        (said.started_ms == target_.started_ms &&
         said.instance == target_.instance &&
         said.sequence <= target_.sequence && !target_.instance.empty());
    if (is_older)
        return;
    target_ = said;
    last_announced_ = now;
    gate_.set_slots(said.slots);
    const auto state =
        said.is_draining ? target_state::draining : target_state::ready;
    if (state == target_state::draining)
        run_steps(now, gate_.close(error_code::draining));
    set_state(is_stopping_ ? target_state::draining : state);
}

void target_dispatcher::withdraw_target(time_point now,
                                        const std::string& instance) {
    if (instance != target_.instance)
        return;
    target_.is_draining = true;
    run_steps(now, gate_.close(error_code::draining));
    set_state(target_state::draining);
}

void target_dispatcher::stop() {
    is_stopping_ = true;
    set_state(target_state::draining);
}

relay_reply_frame target_dispatcher::make_reply(const open_call& it,
                                                time_point now) const {
    relay_reply_frame answer;
    answer.sequence = it.key.sequence;
    answer.load = gate_.load();
    answer.is_nested = it.is_nested;
    answer.is_leaving = state_ != target_state::ready;
    answer.offered_loads = hooks_.downstream_offered_loads(now, it.call.route);
    const double own = gate_.offered_load(now);
    if (own > least_strain)
        answer.offered_loads.push_back({options_.service, own});
    return answer;
}

void target_dispatcher::note(const open_call& it, time_point now,
                             std::string_view what, error_code why) const {
    call_event event;
    event.name = what;
    event.id = it.call.id;
    event.error = why;
    event.service = options_.service;
    event.peer = it.key.caller.name;
    event.is_nested = it.is_nested;
    event.time_left_ms = milliseconds(it.deadline - now);
    event.is_at_target = true;
    event.load = gate_.load();
    hooks_.on_event(event);
}

void target_dispatcher::on_call(time_point now, const node_incarnation& from,
                                coordination::relay_call_frame call,
                                duration unread) {
    const auto execution = next_execution_++;
    open_call it;
    it.key = {from, call.sequence};
    it.arrived = now;
    it.deadline = now + std::chrono::milliseconds(call.time_left_ms) - unread;
    it.call = std::move(call);
    // What a peer sends need not be a number.
    if (!(it.call.retry_probability >= 0 && it.call.retry_probability <= 1))
        it.call.retry_probability = 1;
    origins_.on_call(now, it.call.route, it.call.caller);
    it.is_nested = origins_.is_nested(it.call.route);
    const auto useful =
        now + std::chrono::milliseconds(it.call.latency_left_ms) - unread;
    overload::gate_call wanted{execution, it.call.priority, it.is_nested,
                               it.deadline, useful};
    if (useful <= now)
        wanted.latest_useful = it.deadline;
    const bool is_open =
        state_ == target_state::ready && it.call.service == options_.service;
    const bool has_time = it.deadline > now;
    by_key_[it.key] = execution;
    open_.emplace(execution, std::move(it));
    if (!has_time) {
        refuse(now, execution, error_code::timed_out, duration::zero());
        return;
    }
    if (!is_open) {
        refuse(now, execution,
               state_ == target_state::absent ? error_code::no_target
                                              : error_code::draining,
               absent_retry_after);
        return;
    }
    run_steps(now, gate_.arrive(now, wanted));
}

void target_dispatcher::run_steps(time_point now,
                                  const overload::gate_actions& steps) {
    for (const auto& it : steps.reject)
        refuse(now, it.id, it.why, it.retry_after);
    for (const auto id : steps.start)
        start(now, id);
}

void target_dispatcher::start(time_point now, std::uint64_t execution) {
    auto& it = open_.at(execution);
    it.is_running = true;
    ++running_;
    repeats_running_ += it.call.retry_probability;
    it.started = now;
    hooks_.on_execution_start(now, it.call.route);
    target_call call;
    call.execution = execution;
    call.request = std::move(it.call.request);
    call.id = it.call.id;
    call.caller = it.call.caller;
    call.is_idempotent = it.call.is_idempotent;
    call.time_left = it.deadline - now;
    hooks_.dispatch(call);
}

void target_dispatcher::refuse(time_point now, std::uint64_t execution,
                               error_code why, duration retry_after) {
    const auto found = open_.find(execution);
    if (found == open_.end())
        return;
    const auto it = take(found);
    auto answer = make_reply(it, now);
    answer.what = outcome::not_run;
    answer.why = why;
    answer.retry_after_ms =
        static_cast<std::uint32_t>(milliseconds(retry_after));
    note(it, now, "turned_away", why);
    hooks_.on_finished({outcome::not_run, why, now - it.arrived, {}});
    hooks_.reply(it.key.caller, answer);
}

target_dispatcher::open_call target_dispatcher::take(call_map::iterator found) {
    const auto named = by_key_.find(found->second.key);
    if (named != by_key_.end() && named->second == found->first)
        by_key_.erase(named);
    if (found->second.is_running) {
        --running_;
        repeats_running_ -= found->second.call.retry_probability;
        // Sums of fractions drift.
        if (running_ == 0)
            repeats_running_ = 0;
    }
    return std::move(open_.extract(found).mapped());
}

void target_dispatcher::on_cancel(time_point now, const node_incarnation& from,
                                  std::uint64_t sequence) {
    const auto named = by_key_.find({from, sequence});
    if (named == by_key_.end())
        return;
    const auto execution = named->second;
    const auto found = open_.find(execution);
    auto& it = found->second;
    it.is_abandoned = true;
    if (!it.is_running) {
        gate_.withdraw(execution);
        take(found);
        return;
    }
    // What must not run twice is left to finish: the caller can't know how
    // far it came.
    if (!it.call.is_idempotent)
        return;
    hooks_.abort(execution);
    const auto took = now - it.started;
    hooks_.on_execution_end(now, it.call.route, took);
    take(found);
    run_steps(now, gate_.finish(now, execution, took));
}

void target_dispatcher::on_caller_gone(time_point now,
                                       const node_incarnation& from) {
    std::vector<std::uint64_t> sequences;
    for (auto it = by_key_.lower_bound({from, 0});
         it != by_key_.end() && it->first.caller == from; ++it)
        sequences.push_back(it->first.sequence);
    for (const auto sequence : sequences)
        on_cancel(now, from, sequence);
}

void target_dispatcher::on_target_result(time_point now,
                                         std::uint64_t execution,
                                         target_result answer) {
    const auto found = open_.find(execution);
    if (found == open_.end())
        return;
    const auto it = take(found);
    hooks_.on_execution_end(now, it.call.route, now - it.started);
    const auto steps = gate_.finish(now, execution, now - it.started);
    if (answer.is_unreachable ||
        answer.outcome == target_outcome::other_instance) {
        // Until its next heartbeat tells who is there.
        run_steps(now, gate_.close(error_code::no_target));
        if (state_ == target_state::ready)
            set_state(target_state::absent);
    }
    auto back = make_reply(it, now);
    switch (answer.outcome) {
    case target_outcome::responded:
    case target_outcome::responded_failure:
        back.what = outcome::done;
        back.why = answer.outcome == target_outcome::responded
                       ? error_code::none
                       : error_code::target_failed;
        back.response = std::move(answer.response);
        break;
    case target_outcome::not_run:
    case target_outcome::other_instance:
        back.what = outcome::not_run;
        back.why = answer.is_unreachable ? error_code::no_target
                                         : error_code::target_shed;
        back.retry_after_ms =
            static_cast<std::uint32_t>(milliseconds(absent_retry_after));
        break;
    case target_outcome::unknown:
        back.what = outcome::unknown;
        back.why = error_code::cut_off;
        break;
    }
    hooks_.on_finished(
        {back.what, back.why, it.started - it.arrived, now - it.started});
    if (back.what != outcome::done)
        note(it, now, "not_answered", back.why);
    if (!it.is_abandoned)
        hooks_.reply(it.key.caller, back);
    run_steps(now, steps);
}

double target_dispatcher::retried_share() const {
    if (running_ == 0)
        return 0;
    return std::clamp(repeats_running_ / static_cast<double>(running_), 0.0,
                      1.0);
}

void target_dispatcher::tick(time_point now) {
    run_steps(now, gate_.expire(now));
    if (state_ == target_state::ready &&
        now - last_announced_ > options_.announce_timeout) {
        run_steps(now, gate_.close(error_code::no_target));
        set_state(target_state::absent);
    }
    if (now < next_look_)
        return;
    next_look_ = now + late_look_interval;
    std::vector<std::uint64_t> late;
    for (const auto& [id, it] : open_)
        if (it.is_running && now > it.deadline + options_.answer_grace)
            late.push_back(id);
    for (const auto id : late) {
        hooks_.abort(id);
        on_target_result(now, id, {target_outcome::unknown, {}, false});
    }
}

time_point target_dispatcher::next_due() const {
    auto next = gate_.next_expiry();
    if (state_ == target_state::ready)
        next = std::min(next, last_announced_ + options_.announce_timeout);
    if (!open_.empty())
        next = std::min(next, next_look_);
    return next;
}

} // namespace redwingwind::relay
