#include <redwingwind/relay/target_dispatcher.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace redwingwind::relay {

using coordination::outcome;
using coordination::relay_reply_frame;
using coordination::target_state;

namespace {

/// When a caller may retry while the target is absent: the time until other
/// nodes know that it is.
constexpr duration absent_retry_after = std::chrono::milliseconds(300);
/// An offered load up to this is not reported: it causes no rejections.
constexpr double min_reported_load = 0.5;
/// How often executions are checked for passed deadlines.
constexpr duration late_check_interval = std::chrono::milliseconds(50);

} // namespace

target_dispatcher::target_dispatcher(target_dispatcher_options options, hooks h)
    : options_(std::move(options)), hooks_(std::move(h)), gate_(options_.gate),
      statements_(options_.announce_timeout) {}

void target_dispatcher::set_state(target_state state) {
    if (state == target_state::ready && is_stopping_)
        state = target_state::stopping;
    state_ = state;
    hooks_.on_target_state(state, statements_.current().slots);
}

void target_dispatcher::update_state(time_point now) {
    if (!statements_.is_present(now))
        return;
    const auto& target = statements_.current();
    gate_.set_slots(target.slots);
    if (target.is_draining) {
        apply(now, gate_.close(error_code::draining));
        set_state(target_state::draining);
        return;
    }
    if (!is_in_doubt(now))
        set_state(target_state::ready);
}

bool target_dispatcher::announce(time_point now,
                                 const target_announcement& announcement) {
    if (announcement.service != options_.service ||
        !statements_.announce(now, announcement))
        return false;
    update_state(now);
    return true;
}

std::uint64_t target_dispatcher::withdraw_target(time_point now,
                                                 const std::string& instance,
                                                 std::uint64_t wall_ms) {
    const auto started_ms = statements_.depart(now, instance, wall_ms);
    if (instance == statements_.current().instance)
        close_if_ended(now);
    return started_ms;
}

void target_dispatcher::end_target(time_point now, const std::string& instance,
                                   std::uint64_t started_ms) {
    statements_.end(now, instance, started_ms);
    if (instance == statements_.current().instance)
        close_if_ended(now);
}

void target_dispatcher::close_if_ended(time_point now) {
    if (!statements_.has_current_ended() || state_ == target_state::draining)
        return;
    apply(now, gate_.close(error_code::draining));
    set_state(target_state::draining);
}

bool target_dispatcher::is_in_doubt(time_point now) const {
    return now < in_doubt_until_ &&
           statements_.current().started_ms < in_doubt_wall_ms_ &&
           statements_.announced_for() < options_.confirmation_interval;
}

void target_dispatcher::doubt(time_point now, time_point until,
                              std::uint64_t wall_ms) {
    in_doubt_until_ = until;
    in_doubt_wall_ms_ = wall_ms;
    if (state_ != target_state::ready || !is_in_doubt(now))
        return;
    apply(now, gate_.close(error_code::no_target));
    set_state(target_state::absent);
}

void target_dispatcher::end_doubt(time_point now) {
    in_doubt_until_ = {};
    update_state(now);
}

void target_dispatcher::stop() {
    is_stopping_ = true;
    set_state(state_);
}

relay_reply_frame target_dispatcher::make_reply(const open_call& it,
                                                time_point now) const {
    relay_reply_frame reply;
    reply.sequence = it.key.sequence;
    reply.load = gate_.load();
    reply.load.relative_service_time = service_time_.percent(now);
    reply.is_nested = it.is_nested;
    reply.is_leaving = state_ != target_state::ready;
    reply.offered_loads = hooks_.downstream_offered_loads(now, it.call.route);
    const double own = gate_.offered_load(now);
    if (own > min_reported_load)
        reply.offered_loads.push_back({options_.service, own});
    return reply;
}

call_event target_dispatcher::make_event(const open_call& it, time_point now,
                                         std::string_view name,
                                         error_code error) const {
    call_event event;
    event.name = name;
    event.id = it.call.id;
    event.error = error;
    event.service = options_.service;
    event.peer = it.key.caller.name;
    event.is_nested = it.is_nested;
    event.time_left_ms = milliseconds(it.deadline - now);
    event.is_at_target = true;
    event.load = gate_.load();
    event.load.relative_service_time = service_time_.percent(now);
    return event;
}

void target_dispatcher::on_call(time_point now, const node_incarnation& from,
                                coordination::relay_call_frame call,
                                duration unread_time) {
    const auto execution = next_execution_++;
    open_call it;
    it.key = {from, call.sequence};
    it.arrived = now;
    it.deadline =
        now + std::chrono::milliseconds(call.time_left_ms) - unread_time;
    it.call = std::move(call);
    // The value comes from a peer and may be out of range or NaN.
    if (!(it.call.retry_probability >= 0 && it.call.retry_probability <= 1))
        it.call.retry_probability = 1;
    nested_routes_.on_call(now, it.call.route, it.call.caller);
    it.is_nested = nested_routes_.is_nested(it.call.route);
    const auto latest_useful =
        now + std::chrono::milliseconds(it.call.latency_left_ms) - unread_time;
    overload::gate_call gate_request{execution, it.call.priority, it.is_nested,
                                     it.deadline, latest_useful};
    if (latest_useful <= now)
        gate_request.latest_useful = it.deadline;
    const bool is_open =
        state_ == target_state::ready && it.call.service == options_.service;
    const bool has_time = it.deadline > now;
    by_key_[it.key] = execution;
    waiting_bytes_ += it.call.request.body.size();
    open_.emplace(execution, std::move(it));
    if (!has_time) {
        reject(now, execution, error_code::timed_out, duration::zero());
        return;
    }
    if (!is_open) {
        reject(now, execution,
               state_ == target_state::absent ? error_code::no_target
                                              : error_code::draining,
               absent_retry_after);
        return;
    }
    gate_.set_relative_service_time(service_time_.percent(now));
    apply(now, gate_.arrive(now, gate_request));
}

void target_dispatcher::refuse(time_point now, const node_incarnation& from,
                               const coordination::relay_call_frame& call,
                               error_code error, duration retry_after) {
    open_call it;
    it.key = {from, call.sequence};
    it.arrived = now;
    it.deadline = now + std::chrono::milliseconds(call.time_left_ms);
    it.call.route = call.route;
    it.call.id = call.id;
    it.is_nested = nested_routes_.is_nested(call.route);
    auto reply = make_reply(it, now);
    reply.what = outcome::not_run;
    reply.why = error;
    reply.retry_after_ms =
        static_cast<std::uint32_t>(milliseconds(retry_after));
    hooks_.on_event(make_event(it, now, "turned_away", error));
    hooks_.on_finished({outcome::not_run, error, duration::zero(), {}});
    hooks_.reply(from, reply);
}

void target_dispatcher::apply(time_point now,
                              const overload::gate_actions& actions) {
    for (const auto& it : actions.reject)
        reject(now, it.id, it.why, it.retry_after);
    for (const auto id : actions.start)
        start(now, id);
}

void target_dispatcher::start(time_point now, std::uint64_t execution) {
    auto& it = open_.at(execution);
    it.is_executing = true;
    it.incarnation = statements_.incarnations();
    ++executing_;
    expected_retried_ += it.call.retry_probability;
    it.started = now;
    hooks_.on_execution_start(now, it.call.route);
    waiting_bytes_ -= it.call.request.body.size();
    target_call call;
    call.execution = execution;
    call.request = std::move(it.call.request);
    call.id = it.call.id;
    call.caller = it.call.caller;
    call.is_idempotent = it.call.is_idempotent;
    call.owner = it.call.owner;
    call.time_left = it.deadline - now;
    hooks_.dispatch(std::move(call));
}

void target_dispatcher::reject(time_point now, std::uint64_t execution,
                               error_code error, duration retry_after) {
    const auto found = open_.find(execution);
    if (found == open_.end())
        return;
    const auto it = take(found);
    auto reply = make_reply(it, now);
    reply.what = outcome::not_run;
    reply.why = error;
    reply.retry_after_ms =
        static_cast<std::uint32_t>(milliseconds(retry_after));
    hooks_.on_event(make_event(it, now, "turned_away", error));
    hooks_.on_finished({outcome::not_run, error, now - it.arrived, {}});
    hooks_.reply(it.key.caller, std::move(reply));
}

target_dispatcher::open_call target_dispatcher::take(call_map::iterator found) {
    const auto indexed = by_key_.find(found->second.key);
    if (indexed != by_key_.end() && indexed->second == found->first)
        by_key_.erase(indexed);
    if (!found->second.is_executing)
        waiting_bytes_ -= found->second.call.request.body.size();
    if (found->second.is_executing) {
        --executing_;
        expected_retried_ -= found->second.call.retry_probability;
        // Resets the rounding errors of the sum.
        if (executing_ == 0)
            expected_retried_ = 0;
    }
    return std::move(open_.extract(found).mapped());
}

void target_dispatcher::on_cancel(time_point now, const node_incarnation& from,
                                  std::uint64_t sequence) {
    const auto indexed = by_key_.find({from, sequence});
    if (indexed == by_key_.end())
        return;
    const auto execution = indexed->second;
    const auto found = open_.find(execution);
    auto& it = found->second;
    it.is_abandoned = true;
    if (!it.is_executing) {
        gate_.withdraw(execution);
        take(found);
        return;
    }
    // A call that is not idempotent is left to finish: the caller cannot know
    // how far a cancelled execution came.
    if (!it.call.is_idempotent)
        return;
    hooks_.abort(execution);
    const auto service_time = now - it.started;
    hooks_.on_execution_end(now, it.call.route, service_time);
    take(found);
    apply(now, gate_.finish(now, execution, service_time));
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

void target_dispatcher::take_figures(time_point now,
                                     const target_result& result) {
    if (result.has_malformed_figures)
        service_time_.on_malformed();
    if (result.figures)
        service_time_.on_figures(now, *result.figures, gate_.load().running);
    gate_.set_relative_service_time(service_time_.percent(now));
}

void target_dispatcher::on_target_result(time_point now,
                                         std::uint64_t execution,
                                         target_result result) {
    const auto found = open_.find(execution);
    if (found == open_.end())
        return;
    const auto it = take(found);
    hooks_.on_execution_end(now, it.call.route, now - it.started);
    take_figures(now, result);
    const auto actions = gate_.finish(now, execution, now - it.started);
    const bool is_denied = result.outcome == target_outcome::other_instance &&
                           it.incarnation == statements_.incarnations();
    if (is_denied)
        statements_.deny(now);
    if (result.is_unreachable || is_denied) {
        // Closed until the next heartbeat tells which instance is there.
        apply(now, gate_.close(error_code::no_target));
        if (state_ == target_state::ready)
            set_state(target_state::absent);
    }
    auto reply = make_reply(it, now);
    switch (result.outcome) {
    case target_outcome::responded:
    case target_outcome::responded_failure:
        reply.what = outcome::done;
        reply.why = result.outcome == target_outcome::responded
                        ? error_code::none
                        : error_code::target_failed;
        reply.response = std::move(result.response);
        break;
    case target_outcome::not_run:
    case target_outcome::other_instance:
        reply.what = outcome::not_run;
        reply.why = result.is_unreachable ? error_code::no_target
                                          : error_code::target_shed;
        reply.retry_after_ms =
            static_cast<std::uint32_t>(milliseconds(absent_retry_after));
        break;
    case target_outcome::unknown:
        reply.what = outcome::unknown;
        reply.why = error_code::cut_off;
        break;
    }
    hooks_.on_finished(
        {reply.what, reply.why, it.started - it.arrived, now - it.started});
    if (reply.what != outcome::done) {
        auto event = make_event(it, now, "not_answered", reply.why);
        event.connection = result.connection;
        event.service_time = now - it.started;
        hooks_.on_event(event);
    }
    if (!it.is_abandoned)
        hooks_.reply(it.key.caller, std::move(reply));
    apply(now, actions);
}

double target_dispatcher::retried_share() const {
    if (executing_ == 0)
        return 0;
    return std::clamp(expected_retried_ / static_cast<double>(executing_), 0.0,
                      1.0);
}

void target_dispatcher::tick(time_point now) {
    apply(now, gate_.expire(now));
    if (state_ == target_state::ready && !statements_.is_present(now)) {
        apply(now, gate_.close(error_code::no_target));
        set_state(target_state::absent);
    }
    if (now < next_late_check_)
        return;
    next_late_check_ = now + late_check_interval;
    std::vector<std::uint64_t> late;
    for (const auto& [id, it] : open_)
        if (it.is_executing && now > it.deadline + options_.answer_grace)
            late.push_back(id);
    for (const auto id : late) {
        hooks_.abort(id);
        on_target_result(now, id, {target_outcome::unknown, {}, false});
    }
}

time_point target_dispatcher::next_due() const {
    auto next = gate_.next_expiry();
    if (state_ == target_state::ready)
        next = std::min(next, statements_.present_until());
    if (!open_.empty())
        next = std::min(next, next_late_check_);
    return next;
}

} // namespace redwingwind::relay
