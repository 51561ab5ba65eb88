#include <redwingwind/relay/call_router.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::relay {

using coordination::outcome;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using overload::dispatch_result;

namespace {

/// When a caller may retry while this node has no configuration yet.
constexpr duration no_policy_retry_after = std::chrono::milliseconds(500);
/// When a caller may retry while no target is known.
constexpr duration no_target_retry_after = std::chrono::milliseconds(300);
/// Retry-after of rejected root calls, as shares of the route's target latency:
/// a minimum and a random part on top of it. This is late enough for other
/// calls to have finished, and early enough for the response to be useful.
constexpr double min_root_retry_share = 0.1;
constexpr double root_retry_spread_share = 0.3;
/// Reported offered loads are used for this long.
constexpr duration max_report_age = std::chrono::seconds(1);
/// Part of a service's retry budget is reserved for nested calls until this
/// long after the latest reply to one.
constexpr duration nested_reserve_period = std::chrono::seconds(1);
/// A failure response with a larger body is delivered instead of retried: it
/// would be held while the call is repeated.
constexpr std::size_t max_kept_failure_bytes = std::size_t{64} << 10U;
/// A call with less time left than this is not sent to a target.
constexpr duration min_time_left = std::chrono::milliseconds(5);

} // namespace

call_router::call_router(call_router_options options, hooks h)
    : options_(std::move(options)), hooks_(std::move(h)),
      root_admission_(options_.root_admission) {}

void call_router::set_policy(std::shared_ptr<const traffic_policy> policy) {
    if (routes_ && routes_->policy().version >= policy->version)
        return;
    routes_.emplace(std::move(policy));
    owners_ = owner_table(routes_->policy().owners);
    std::erase_if(round_robins_, [this](const auto& it) {
        const auto& all = routes_->policy().routes;
        return std::none_of(all.begin(), all.end(),
                            [&](const route& r) { return r.name == it.first; });
    });
}

std::uint64_t call_router::policy_version() const {
    return routes_ ? routes_->policy().version : 0;
}

overload::placement& call_router::placement_of(const service_name& service) {
    return placements_.try_emplace(service, options_.placement, options_.domain)
        .first->second;
}

overload::service_retry_budget&
call_router::retry_budget_of(const service_name& service) {
    return retry_budgets_.try_emplace(service, options_.retries).first->second;
}

void call_router::add_target(const service_name& service,
                             const overload::candidate& target) {
    const auto known = service_of_node_.find(target.node);
    if (known != service_of_node_.end() && known->second != service)
        remove_target(target.node);
    service_of_node_[target.node] = service;
    placement_of(service).update(target);
}

void call_router::remove_target(const node_name& node) {
    const auto known = service_of_node_.find(node);
    if (known == service_of_node_.end())
        return;
    placement_of(known->second).remove(node);
    service_of_node_.erase(known);
}

void call_router::set_retry_options(
    const overload::service_retry_budget_options& options) {
    options_.retries = options;
    for (auto& [service, it] : retry_budgets_)
        it.set_options(options);
}

void call_router::reject(time_point now, const incoming_call& call,
                         error_code error, duration retry_after) {
    open_call it;
    it.call.id = call.id;
    emit_event(it, now, "turned_away", error);
    hooks_.on_finished({{}, 0, outcome::not_run, error, duration::zero()});
    hooks_.answer(call.exchange, {outcome::not_run, error, {}, retry_after});
}

void call_router::on_call(time_point now, incoming_call call) {
    if (!routes_) {
        reject(now, call, error_code::no_policy, no_policy_retry_after);
        return;
    }
    const auto* found = find_route(call.host, call.request.target);
    if (found == nullptr) {
        reject(now, call, error_code::not_found, duration::zero());
        return;
    }
    const auto& matched = *found;
    const owner_rule* owner = nullptr;
    if (routes_->policy().identifies_owners && !matched.is_credential_exempt) {
        owner = owners_.find(call.credential);
        if (owner == nullptr) {
            reject(now, call, error_code::unauthorized, duration::zero());
            return;
        }
    }
    const auto priority = owner == nullptr
                              ? matched.priority
                              : owner->priority.value_or(matched.priority);
    const auto exchange = call.exchange;
    open_call it;
    if (owner != nullptr)
        it.owner = owner->name;
    // Time that the call waited, as behind others of its connection, counts.
    it.arrived = std::min(call.arrived, now);
    it.service = round_robins_[matched.name].next(matched);
    const auto known = is_nested_.find(matched.name);
    it.is_nested = known != is_nested_.end() && known->second;
    it.route = matched.name;
    const auto time =
        std::min(call.time_left.value_or(matched.timeout), matched.timeout);
    it.deadline = it.arrived + time;
    it.target_latency = matched.target_latency;
    if (!can_finish(now, it)) {
        reject(now, call, error_code::draining, duration::zero());
        return;
    }
    if (!it.is_nested && !root_admission_.admits(now, matched.name, priority)) {
        reject(now, call, error_code::overloaded, root_retry_after(matched));
        return;
    }
    it.is_idempotent = matched.is_idempotent;
    it.priority = priority;
    it.max_attempts = std::max<std::uint32_t>(matched.max_attempts, 1);
    // The target gets the stop time as the deadline, so that a slow one gives
    // up in time by itself: cancelling the execution would lose its response.
    const bool is_limited_by_stop = stop_time_ < it.deadline;
    it.deadline = std::min(it.deadline, stop_time_);
    it.latest_useful = it.arrived + std::min(matched.target_latency, time);
    it.call = std::move(call);
    it.retry_probability = it.is_nested ? hooks_.retried_share() : 0;
    due_.push({it.deadline + (is_limited_by_stop ? options_.stop_answer_grace
                                                 : options_.answer_grace),
               exchange});
    const bool is_limited = owner != nullptr && owner->is_limited();
    auto& added = open_[exchange] = std::move(it);
    if (!is_limited || take_allowance(now, added))
        start(now, added);
}

void call_router::start(time_point now, open_call& it) {
    retry_budget_of(it.service).on_request(now, it.retry_probability);
    if (it.is_nested)
        attribution_.on_call(now, it.service);
    place(now, it);
}

bool call_router::take_allowance(time_point now, open_call& it) {
    if (!hooks_.take_allowance)
        return true;
    const auto decision =
        hooks_.take_allowance(now, it.owner, it.call.exchange);
    switch (decision.answer) {
    case coordination::allowance_answer::granted:
        it.allowance_source = decision.source;
        return true;
    case coordination::allowance_answer::refused:
        on_over_share(now, it, decision.retry_after);
        return false;
    case coordination::allowance_answer::waiting:
        break;
    }
    it.awaits_allowance = true;
    return false;
}

void call_router::on_allowance(
    time_point now, exchange_id exchange,
    const coordination::allowance_decision& decision) {
    const auto found = open_.find(exchange);
    if (found == open_.end() || !found->second.awaits_allowance)
        return;
    auto& it = found->second;
    it.awaits_allowance = false;
    if (decision.answer != coordination::allowance_answer::granted) {
        on_over_share(now, it, decision.retry_after);
        return;
    }
    it.allowance_source = decision.source;
    start(now, it);
}

void call_router::on_over_share(time_point now, open_call& it,
                                duration retry_after) {
    it.last_error = error_code::over_share;
    it.retry_after = retry_after;
    give_up(now, it);
}

void call_router::return_allowance(time_point now, open_call& it) {
    if (std::exchange(it.awaits_allowance, false)) {
        hooks_.cancel_allowance(it.owner, it.call.exchange);
        return;
    }
    if (const auto source = std::exchange(it.allowance_source, 0U))
        hooks_.return_allowance(now, it.owner, source);
}

const route* call_router::find_route(const std::string& host,
                                     const std::string& target) const {
    if (!routes_)
        return nullptr;
    const auto index = routes_->find(host, target);
    return index == route_table::npos ? nullptr : &routes_->at(index);
}

bool call_router::is_idempotent(const std::string& host,
                                const std::string& target) const {
    const auto* matched = find_route(host, target);
    return matched != nullptr && matched->is_idempotent;
}

bool call_router::is_nested(const std::string& host,
                            const std::string& target) const {
    const auto* matched = find_route(host, target);
    if (matched == nullptr)
        return false;
    const auto known = is_nested_.find(matched->name);
    return known != is_nested_.end() && known->second;
}

bool call_router::can_finish(time_point now, const open_call& it) const {
    if (it.deadline <= stop_time_)
        return true;
    return it.is_nested && stop_time_ - now >= slow_latency(it);
}

duration call_router::slow_latency(const open_call& it) const {
    // After only a few calls, a slow one may not have been seen yet.
    const auto known = latencies_.find(it.route);
    return known == latencies_.end()
               ? it.target_latency
               : std::max(it.target_latency, known->second.value());
}

call_router::open_call* call_router::find(std::uint64_t sequence) {
    const auto named = by_sequence_.find(sequence);
    if (named == by_sequence_.end())
        return nullptr;
    return &open_.at(named->second);
}

void call_router::place(time_point now, open_call& it) {
    if (it.deadline - now < min_time_left) {
        give_up(now, it);
        return;
    }
    if (!can_finish(now, it)) {
        give_up_for_stop(now, it);
        return;
    }
    const auto node =
        placement_of(it.service).pick(now, it.tried, hooks_.random);
    if (!node) {
        give_up(now, it);
        return;
    }
    it.tried.push_back(*node);
    send_to(now, it, *node);
}

void call_router::send_to(time_point now, open_call& it,
                          const node_name& node) {
    it.sequence = next_sequence_++;
    it.node = node;
    by_sequence_[it.sequence] = it.call.exchange;
    placement_of(it.service).on_sent(node, now);
    relay_call_frame call;
    call.sequence = it.sequence;
    call.service = it.service;
    call.caller = options_.service;
    call.request = std::move(it.call.request);
    call.id = it.call.id;
    call.priority = it.priority;
    call.is_idempotent = it.is_idempotent;
    call.owner = it.owner;
    call.route = it.route;
    const bool is_retry = it.attempts > 0 || it.sheds > 0;
    call.retry_probability =
        is_retry ? 1.0F : static_cast<float>(it.retry_probability);
    call.time_left_ms =
        static_cast<std::uint32_t>(milliseconds(it.deadline - now));
    call.latency_left_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, milliseconds(it.latest_useful - now)));
    hooks_.send(node, call);
    if (auto* still_open = find(call.sequence))
        still_open->call.request = std::move(call.request);
}

void call_router::end_attempt(time_point now, open_call& it,
                              dispatch_result result) {
    by_sequence_.erase(it.sequence);
    placement_of(it.service).on_end(it.node, now, result);
    it.sequence = 0;
}

void call_router::cancel_attempt(time_point now, open_call& it) {
    if (it.sequence == 0)
        return;
    const auto sequence = it.sequence;
    end_attempt(now, it, dispatch_result::neutral);
    hooks_.cancel(it.node, {sequence});
}

void call_router::on_reply(time_point now, const node_name& from,
                           relay_reply_frame reply) {
    auto* it = find(reply.sequence);
    if (it == nullptr || it->node != from)
        return;
    placement_of(it->service).on_load_report(from, now, reply.load);
    record_offered_loads(now, *it, reply);
    if (reply.is_leaving)
        remove_target(from);
    // A node of an earlier version passes on whatever its target sent.
    if (reply.what == outcome::done &&
        !is_final_status(reply.response.status)) {
        reply.what = outcome::unknown;
        reply.why = error_code::cut_off;
    }
    switch (reply.what) {
    case outcome::not_run:
        end_attempt(now, *it, dispatch_result::neutral);
        if (reply.why == error_code::target_shed) {
            on_shed(now, *it);
            return;
        }
        on_rejected(now, *it, reply.why,
                    std::chrono::milliseconds(reply.retry_after_ms));
        return;
    case outcome::unknown:
        end_attempt(now, *it, dispatch_result::failed);
        on_failed(now, *it, reply.why);
        return;
    case outcome::done:
        break;
    }
    const bool is_failure = reply.why == error_code::target_failed;
    failures_[it->service].on_response(now, is_failure);
    end_attempt(now, *it,
                is_failure ? dispatch_result::failed
                           : dispatch_result::answered);
    if (is_failure && it->is_idempotent &&
        reply.response.body.size() <= max_kept_failure_bytes) {
        it->failed_response = std::move(reply.response);
        on_failed(now, *it, reply.why);
        return;
    }
    finish(now, *it, {outcome::done, reply.why, std::move(reply.response), {}});
}

void call_router::record_offered_loads(time_point now, const open_call& it,
                                       const relay_reply_frame& reply) {
    is_nested_[it.route] = reply.is_nested;
    if (reply.is_nested)
        nested_loads_[it.service] = {reply.offered_loads, now};
    else
        root_admission_.on_response(
            now, it.route, reply.offered_loads,
            reply.what == outcome::done ? now - it.arrived : duration::zero());
}

std::vector<overload::service_offered_load>
call_router::downstream_offered_loads(time_point now,
                                      const std::string& route) const {
    std::vector<overload::service_offered_load> all;
    for (const auto& service : attribution_.downstream_services(route)) {
        const auto it = nested_loads_.find(service);
        if (it != nested_loads_.end() &&
            now - it->second.received < max_report_age)
            all.insert(all.end(), it->second.offered_loads.begin(),
                       it->second.offered_loads.end());
    }
    return all;
}

double call_router::random_unit() const {
    constexpr double two_pow_53 = 9007199254740992.0;
    return static_cast<double>(hooks_.random() >> 11U) / two_pow_53;
}

duration call_router::root_retry_after(const route& matched) const {
    const double share =
        min_root_retry_share + root_retry_spread_share * random_unit();
    return duration(static_cast<duration::rep>(
        static_cast<double>(matched.target_latency.count()) * share));
}

void call_router::on_rejected(time_point now, open_call& it, error_code error,
                              duration retry_after) {
    ++it.rejections;
    it.last_error = error;
    it.retry_after = it.retry_after == duration::zero()
                         ? retry_after
                         : std::min(it.retry_after, retry_after);
    if (it.rejections >= options_.max_rejections ||
        it.attempts >= it.max_attempts) {
        give_up(now, it);
        return;
    }
    place(now, it);
}

void call_router::on_shed(time_point now, open_call& it) {
    ++it.sheds;
    it.last_error = error_code::target_shed;
    const auto nested = nested_loads_.find(it.service);
    const bool is_reserved =
        !it.is_nested && nested != nested_loads_.end() &&
        now - nested->second.received < nested_reserve_period;
    const double reserve = is_reserved ? options_.nested_retry_reserve : 0;
    if (it.sheds > options_.max_sheds ||
        !retry_budget_of(it.service).take(now, live_nodes_, reserve)) {
        give_up(now, it);
        return;
    }
    if (it.deadline - now < min_time_left) {
        give_up(now, it);
        return;
    }
    if (!can_finish(now, it)) {
        give_up_for_stop(now, it);
        return;
    }
    emit_event(it, now, "repeated", error_code::target_shed);
    // At the limit of targets per call, the last one is tried again.
    std::optional<node_name> other;
    if (it.attempts + 1 < it.max_attempts)
        other = placement_of(it.service).pick(now, it.tried, hooks_.random);
    if (!other) {
        send_to(now, it, node_name(it.node));
        return;
    }
    ++it.attempts;
    it.tried.push_back(*other);
    send_to(now, it, *other);
}

bool call_router::would_fail_again(time_point now, const open_call& it) const {
    if (root_admission_.max_offered_load(now, it.route) >
        options_.max_offered_load_for_retry)
        return true;
    const auto known = failures_.find(it.service);
    return known != failures_.end() &&
           known->second.value(now) > options_.max_failure_share;
}

void call_router::on_failed(time_point now, open_call& it, error_code error) {
    ++it.attempts;
    it.may_have_executed = true;
    it.last_error = error;
    // A failure caused by an overloaded downstream service would recur.
    const bool will_fail =
        error == error_code::target_failed && would_fail_again(now, it);
    if (!it.is_idempotent || it.attempts >= it.max_attempts || will_fail ||
        !retry_budget_of(it.service).take(now, live_nodes_)) {
        give_up(now, it);
        return;
    }
    emit_event(it, now, "repeated", error);
    place(now, it);
}

void call_router::give_up_for_stop(time_point now, open_call& it) {
    it.last_error = error_code::draining;
    give_up(now, it);
}

void call_router::give_up(time_point now, open_call& it) {
    if (it.failed_response) {
        finish(now, it,
               {outcome::done,
                error_code::target_failed,
                std::move(*it.failed_response),
                {}});
        return;
    }
    const auto error = it.last_error == error_code::none ? error_code::no_target
                                                         : it.last_error;
    if (it.may_have_executed) {
        finish(now, it, {outcome::unknown, error, {}, {}});
        return;
    }
    const auto retry_after = it.retry_after == duration::zero()
                                 ? no_target_retry_after
                                 : it.retry_after;
    finish(now, it, {outcome::not_run, error, {}, retry_after});
}

void call_router::finish(time_point now, open_call& it, call_result result) {
    if (result.error != error_code::none)
        emit_event(it, now,
                   result.outcome == outcome::not_run ? "turned_away"
                                                      : "failed",
                   result.error);
    if (result.outcome == outcome::not_run)
        return_allowance(now, it);
    const auto exchange = it.call.exchange;
    if (result.outcome == outcome::done)
        latencies_[it.route].add(now, now - it.arrived);
    hooks_.on_finished({it.service, it.priority, result.outcome, result.error,
                        now - it.arrived});
    by_sequence_.erase(it.sequence);
    open_.erase(exchange);
    hooks_.answer(exchange, std::move(result));
}

void call_router::on_caller_disconnected(time_point now, exchange_id exchange) {
    const auto found = open_.find(exchange);
    if (found == open_.end())
        return;
    auto& it = found->second;
    if (it.awaits_allowance)
        return_allowance(now, it);
    cancel_attempt(now, it);
    open_.erase(exchange);
}

void call_router::on_unreachable(time_point now, const node_name& node,
                                 bool was_connected) {
    std::vector<exchange_id> lost;
    for (const auto& [exchange, it] : open_)
        if (it.sequence != 0 && it.node == node)
            lost.push_back(exchange);
    for (const auto exchange : lost) {
        const auto found = open_.find(exchange);
        if (found == open_.end())
            continue;
        auto& it = found->second;
        end_attempt(now, it, dispatch_result::unreachable);
        if (was_connected)
            on_failed(now, it, error_code::cut_off);
        else
            on_rejected(now, it, error_code::unreachable,
                        no_target_retry_after);
    }
}

void call_router::on_not_sent(time_point now, std::uint64_t sequence) {
    auto* it = find(sequence);
    if (it == nullptr)
        return;
    end_attempt(now, *it, dispatch_result::unreachable);
    on_rejected(now, *it, error_code::unreachable, no_target_retry_after);
}

void call_router::tick(time_point now) {
    while (!due_.empty() && due_.top().at <= now) {
        const auto exchange = due_.top().exchange;
        due_.pop();
        const auto found = open_.find(exchange);
        if (found == open_.end())
            continue;
        auto& it = found->second;
        cancel_attempt(now, it);
        it.may_have_executed = !it.awaits_allowance;
        it.last_error = error_code::timed_out;
        give_up(now, it);
    }
}

std::vector<service_targets> call_router::targets(time_point now) {
    std::vector<service_targets> all;
    for (auto& [service, it] : placements_) {
        service_targets summary{service, it.size(), it.mean_occupancy()};
        summary.uses_forecast = it.uses_forecast();
        summary.report_age_s = it.mean_report_age_s(now);
        summary.ignored_figures = it.forecast().ignored_figures();
        if (const auto of = retry_budgets_.find(service);
            of != retry_budgets_.end())
            summary.retries_left = of->second.left(now, live_nodes_);
        all.push_back(summary);
    }
    return all;
}

void call_router::finish_all_calls(time_point now) {
    while (!open_.empty()) {
        auto& it = open_.begin()->second;
        cancel_attempt(now, it);
        it.may_have_executed = !it.awaits_allowance;
        it.last_error = error_code::draining;
        give_up(now, it);
    }
}

time_point call_router::next_due() const {
    return due_.empty() ? time_point::max() : due_.top().at;
}

void call_router::emit_event(const open_call& it, time_point now,
                             std::string_view name, error_code error) const {
    call_event event;
    event.name = name;
    event.id = it.call.id;
    event.error = error;
    event.service = it.service;
    event.peer = it.node;
    event.policy_version = policy_version();
    event.attempt = it.attempts;
    event.refusals = it.sheds;
    event.offered_load = root_admission_.max_offered_load(now, it.route);
    event.is_nested = it.is_nested;
    event.time_left_ms = milliseconds(it.deadline - now);
    hooks_.on_event(event);
}

} // namespace redwingwind::relay
