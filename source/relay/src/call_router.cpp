#include <redwingwind/relay/call_router.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::relay {

using coordination::outcome;
using coordination::relay_call_frame;
using coordination::relay_reply_frame;
using overload::dispatch_result;

namespace {

/// How soon a caller may come back when no configuration is known here yet.
constexpr duration no_policy_retry_after = std::chrono::milliseconds(500);
/// How soon a caller may come back when no target is known.
constexpr duration no_target_retry_after = std::chrono::milliseconds(300);
/// Callers that were turned away at the entry come back after this share of
/// the time in which an answer is useful to them, spread over the second one:
/// late enough for others to have ended, soon enough to be of use.
constexpr double least_root_retry_share = 0.1;
constexpr double root_retry_spread_share = 0.3;
/// What answers told of strain counts for this long.
constexpr duration strain_memory = std::chrono::seconds(1);
/// So long after a target's own calls to a service some repeats are left to
/// them.
constexpr duration nested_memory = std::chrono::seconds(1);
/// A call is not passed on with less time left than this.
constexpr duration least_time_left = std::chrono::milliseconds(5);

} // namespace

call_router::call_router(call_router_options options, hooks h)
    : options_(std::move(options)), hooks_(std::move(h)),
      roots_(options_.root_admission) {}

void call_router::set_policy(std::shared_ptr<const traffic_policy> policy) {
    if (routes_ && routes_->policy().version >= policy->version)
        return;
    routes_.emplace(std::move(policy));
    std::erase_if(choosers_, [this](const auto& it) {
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
call_router::repeats_of(const service_name& service) {
    return repeats_.try_emplace(service, options_.retries).first->second;
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
    const overload::service_retry_budget_options& repeats) {
    options_.retries = repeats;
    for (auto& [service, it] : repeats_)
        it.set_options(repeats);
}

void call_router::turn_away(time_point now, const incoming_call& call,
                            error_code why, duration retry_after) {
    open_call it;
    it.call.id = call.id;
    note(it, now, "turned_away", why);
    hooks_.on_finished({{}, 0, outcome::not_run, why, duration::zero()});
    hooks_.answer(call.exchange, {outcome::not_run, why, {}, retry_after});
}

void call_router::on_call(time_point now, incoming_call call) {
    if (!routes_) {
        turn_away(now, call, error_code::no_policy, no_policy_retry_after);
        return;
    }
    const auto* found = rule_of(call.host, call.request.target);
    if (found == nullptr) {
        turn_away(now, call, error_code::not_found, duration::zero());
        return;
    }
    const auto& rule = *found;
    if (stops_at_ - now < slow_time(rule)) {
        turn_away(now, call, error_code::draining, duration::zero());
        return;
    }
    const auto exchange = call.exchange;
    open_call it;
    // Where it waited, as behind others of its connection, it got no younger.
    it.arrived = std::min(call.arrived, now);
    it.service = choosers_[rule.name].next(rule);
    const auto known = is_nested_.find(rule.name);
    it.is_nested = known != is_nested_.end() && known->second;
    it.route = rule.name;
    if (!it.is_nested && !roots_.admits(now, rule.name, rule.priority)) {
        turn_away(now, call, error_code::overloaded, root_retry_after(rule));
        return;
    }
    it.is_idempotent = rule.is_idempotent;
    it.priority = rule.priority;
    it.max_attempts = std::max<std::uint32_t>(rule.max_attempts, 1);
    const auto time =
        std::min(call.time_left.value_or(rule.timeout), rule.timeout);
    // A target that is slow just now ends it in time by itself: breaking off
    // what it works on would lose it.
    const bool is_cut_short = stops_at_ - it.arrived < time;
    it.end = is_cut_short ? stops_at_ : it.arrived + time;
    it.latest_useful = it.arrived + std::min(rule.target_latency, time);
    it.call = std::move(call);
    it.retry_probability = it.is_nested ? hooks_.retried_share() : 0;
    repeats_of(it.service).on_request(now, it.retry_probability);
    if (it.is_nested)
        attribution_.on_call(now, it.service);
    due_.push({it.end + (is_cut_short ? options_.stop_answer_grace
                                      : options_.answer_grace),
               exchange});
    auto& added = open_[exchange] = std::move(it);
    place(now, added);
}

const route* call_router::rule_of(const std::string& host,
                                  const std::string& target) const {
    if (!routes_)
        return nullptr;
    const auto place = routes_->find(host, target);
    return place == route_table::npos ? nullptr : &routes_->at(place);
}

bool call_router::is_idempotent(const std::string& host,
                                const std::string& target) const {
    const auto* rule = rule_of(host, target);
    return rule != nullptr && rule->is_idempotent;
}

duration call_router::slow_time(const route& rule) const {
    // Few calls may have been seen, and none of the slow ones.
    const auto known = slow_times_.find(rule.name);
    return known == slow_times_.end()
               ? rule.target_latency
               : std::max(rule.target_latency, known->second);
}

call_router::open_call* call_router::find(std::uint64_t sequence) {
    const auto named = by_sequence_.find(sequence);
    if (named == by_sequence_.end())
        return nullptr;
    return &open_.at(named->second);
}

void call_router::place(time_point now, open_call& it) {
    if (it.end - now < least_time_left) {
        give_up(now, it);
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
    it.at = node;
    by_sequence_[it.sequence] = it.call.exchange;
    placement_of(it.service).on_sent(node);
    relay_call_frame call;
    call.sequence = it.sequence;
    call.service = it.service;
    call.caller = options_.service;
    call.request = it.call.request;
    call.id = it.call.id;
    call.priority = it.priority;
    call.is_idempotent = it.is_idempotent;
    call.route = it.route;
    const bool was_passed_on = it.attempts > 0 || it.sheds > 0;
    call.retry_probability =
        was_passed_on ? 1.0F : static_cast<float>(it.retry_probability);
    call.time_left_ms = static_cast<std::uint32_t>(milliseconds(it.end - now));
    call.latency_left_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, milliseconds(it.latest_useful - now)));
    hooks_.send(node, call);
}

void call_router::leave_target(time_point now, open_call& it,
                               dispatch_result end) {
    by_sequence_.erase(it.sequence);
    placement_of(it.service).on_end(it.at, now, end);
    it.sequence = 0;
}

void call_router::stop_at_target(time_point now, open_call& it) {
    if (it.sequence == 0)
        return;
    const auto sequence = it.sequence;
    leave_target(now, it, dispatch_result::neutral);
    hooks_.cancel(it.at, {sequence});
}

void call_router::on_reply(time_point now, const node_name& from,
                           relay_reply_frame reply) {
    auto* it = find(reply.sequence);
    if (it == nullptr || it->at != from)
        return;
    placement_of(it->service).on_load_report(from, reply.load);
    note_strains(now, *it, reply);
    if (reply.is_leaving)
        remove_target(from);
    switch (reply.what) {
    case outcome::not_run:
        leave_target(now, *it, dispatch_result::neutral);
        if (reply.why == error_code::target_shed) {
            shed(now, *it);
            return;
        }
        refused(now, *it, reply.why,
                std::chrono::milliseconds(reply.retry_after_ms));
        return;
    case outcome::unknown:
        leave_target(now, *it, dispatch_result::failed);
        failed(now, *it, reply.why);
        return;
    case outcome::done:
        break;
    }
    const bool is_failure = reply.why == error_code::target_failed;
    failures_[it->service].on_response(now, is_failure);
    leave_target(now, *it,
                 is_failure ? dispatch_result::failed
                            : dispatch_result::answered);
    if (is_failure && it->is_idempotent) {
        it->failure = std::move(reply.response);
        failed(now, *it, reply.why);
        return;
    }
    finish(now, *it, {outcome::done, reply.why, std::move(reply.response), {}});
}

void call_router::note_strains(time_point now, const open_call& it,
                               const relay_reply_frame& reply) {
    is_nested_[it.route] = reply.is_nested;
    if (reply.is_nested)
        nested_strains_[it.service] = {reply.offered_loads, now};
    else
        roots_.on_response(now, it.route, reply.offered_loads,
                           reply.what == outcome::done ? now - it.arrived
                                                       : duration::zero());
}

std::vector<overload::service_offered_load>
call_router::downstream_offered_loads(time_point now,
                                      const std::string& route) const {
    std::vector<overload::service_offered_load> all;
    for (const auto& service : attribution_.downstream_services(route)) {
        const auto it = nested_strains_.find(service);
        if (it != nested_strains_.end() && now - it->second.at < strain_memory)
            all.insert(all.end(), it->second.offered_loads.begin(),
                       it->second.offered_loads.end());
    }
    return all;
}

double call_router::draw() const {
    constexpr double bits_53 = 9007199254740992.0;
    return static_cast<double>(hooks_.random() >> 11U) / bits_53;
}

duration call_router::root_retry_after(const route& rule) const {
    const double share =
        least_root_retry_share + root_retry_spread_share * draw();
    return duration(static_cast<duration::rep>(
        static_cast<double>(rule.target_latency.count()) * share));
}

void call_router::refused(time_point now, open_call& it, error_code why,
                          duration retry_after) {
    ++it.refusals;
    it.refused_for = why;
    it.retry_after = it.retry_after == duration::zero()
                         ? retry_after
                         : std::min(it.retry_after, retry_after);
    if (it.refusals >= options_.max_rejections ||
        it.attempts >= it.max_attempts) {
        give_up(now, it);
        return;
    }
    place(now, it);
}

void call_router::shed(time_point now, open_call& it) {
    ++it.sheds;
    it.refused_for = error_code::target_shed;
    const auto nested = nested_strains_.find(it.service);
    const bool is_reserved = !it.is_nested && nested != nested_strains_.end() &&
                             now - nested->second.at < nested_memory;
    const double reserve = is_reserved ? options_.nested_retry_reserve : 0;
    if (it.sheds > options_.max_sheds ||
        !repeats_of(it.service).take(now, live_nodes_, reserve)) {
        give_up(now, it);
        return;
    }
    if (it.end - now < least_time_left) {
        give_up(now, it);
        return;
    }
    // Only so many targets may have it; then the last one is asked again.
    std::optional<node_name> other;
    if (it.attempts + 1 < it.max_attempts)
        other = placement_of(it.service).pick(now, it.tried, hooks_.random);
    if (!other) {
        send_to(now, it, node_name(it.at));
        return;
    }
    ++it.attempts;
    it.tried.push_back(*other);
    send_to(now, it, *other);
}

bool call_router::is_hopeless(time_point now, const open_call& it) const {
    if (roots_.max_offered_load(now, it.route) >
        options_.max_offered_load_for_retry)
        return true;
    const auto known = failures_.find(it.service);
    return known != failures_.end() &&
           known->second.value(now) > options_.max_failure_share;
}

void call_router::failed(time_point now, open_call& it, error_code why) {
    ++it.attempts;
    it.may_have_run = true;
    it.refused_for = why;
    // What failed for want of what is below would fail again.
    const bool will_fail =
        why == error_code::target_failed && is_hopeless(now, it);
    if (!it.is_idempotent || it.attempts >= it.max_attempts || will_fail ||
        !repeats_of(it.service).take(now, live_nodes_)) {
        give_up(now, it);
        return;
    }
    note(it, now, "repeated", why);
    place(now, it);
}

void call_router::give_up(time_point now, open_call& it) {
    if (it.failure) {
        finish(now, it,
               {outcome::done,
                error_code::target_failed,
                std::move(*it.failure),
                {}});
        return;
    }
    const auto why = it.refused_for == error_code::none ? error_code::no_target
                                                        : it.refused_for;
    if (it.may_have_run) {
        finish(now, it, {outcome::unknown, why, {}, {}});
        return;
    }
    const auto retry_after = it.retry_after == duration::zero()
                                 ? no_target_retry_after
                                 : it.retry_after;
    finish(now, it, {outcome::not_run, why, {}, retry_after});
}

void call_router::finish(time_point now, open_call& it, call_result answer) {
    if (answer.error != error_code::none)
        note(it, now,
             answer.outcome == outcome::not_run ? "turned_away" : "failed",
             answer.error);
    const auto exchange = it.call.exchange;
    if (answer.outcome == outcome::done) {
        auto& slow = slow_times_[it.route];
        slow = std::max(now - it.arrived, slow * 99 / 100);
    }
    hooks_.on_finished({it.service, it.priority, answer.outcome, answer.error,
                        now - it.arrived});
    by_sequence_.erase(it.sequence);
    open_.erase(exchange);
    hooks_.answer(exchange, std::move(answer));
}

void call_router::on_caller_disconnected(time_point now, exchange_id exchange) {
    const auto found = open_.find(exchange);
    if (found == open_.end())
        return;
    auto& it = found->second;
    stop_at_target(now, it);
    open_.erase(exchange);
}

void call_router::on_unreachable(time_point now, const node_name& node,
                                 bool was_connected) {
    std::vector<exchange_id> lost;
    for (const auto& [exchange, it] : open_)
        if (it.sequence != 0 && it.at == node)
            lost.push_back(exchange);
    for (const auto exchange : lost) {
        const auto found = open_.find(exchange);
        if (found == open_.end())
            continue;
        auto& it = found->second;
        leave_target(now, it, dispatch_result::unreachable);
        if (was_connected)
            failed(now, it, error_code::cut_off);
        else
            refused(now, it, error_code::unreachable, no_target_retry_after);
    }
}

void call_router::tick(time_point now) {
    while (!due_.empty() && due_.top().at <= now) {
        const auto exchange = due_.top().exchange;
        due_.pop();
        const auto found = open_.find(exchange);
        if (found == open_.end())
            continue;
        auto& it = found->second;
        stop_at_target(now, it);
        it.may_have_run = true;
        it.refused_for = error_code::timed_out;
        give_up(now, it);
    }
}

std::vector<service_targets> call_router::targets(time_point now) {
    std::vector<service_targets> all;
    for (auto& [service, it] : placements_) {
        service_targets known{service, it.size(), it.mean_occupancy(), 0};
        if (const auto of = repeats_.find(service); of != repeats_.end())
            known.retries_left = of->second.left(now, live_nodes_);
        all.push_back(known);
    }
    return all;
}

void call_router::finish_all_calls(time_point now) {
    while (!open_.empty()) {
        auto& it = open_.begin()->second;
        stop_at_target(now, it);
        it.may_have_run = true;
        it.refused_for = error_code::draining;
        give_up(now, it);
    }
}

time_point call_router::next_due() const {
    return due_.empty() ? time_point::max() : due_.top().at;
}

void call_router::note(const open_call& it, time_point now,
                       std::string_view what, error_code why) const {
    call_event event;
    event.name = what;
    event.id = it.call.id;
    event.error = why;
    event.service = it.service;
    event.peer = it.at;
    event.policy_version = policy_version();
    event.attempt = it.attempts;
    event.offered_load = roots_.max_offered_load(now, it.route);
    event.is_nested = it.is_nested;
    event.time_left_ms = milliseconds(it.end - now);
    hooks_.on_event(event);
}

} // namespace redwingwind::relay
