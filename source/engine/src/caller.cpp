#include <redwingwind/engine/caller.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::call_frame;
using coordination::cancel_frame;
using coordination::reply_frame;

/// Nodes learn of a changed admission level at different times. A root call
/// must exceed the known level by this margin, in ranks, or a downstream node
/// that already knows a higher level would reject a nested call after work was
/// done for the root call.
constexpr std::uint16_t level_margin = overload::ranks_per_importance / 4;

/// Upper bound of the retries saved up for calls to one service.
constexpr double max_saved_retries = 10.0;

bool is_load_shedding_error(error_code why) {
    return why == error_code::overloaded || why == error_code::over_share ||
           why == error_code::target_shed ||
           why == error_code::too_many_calls ||
           why == error_code::deadline_too_short;
}

call_frame frame_of(const call_request& request, time_point now) {
    call_frame frame;
    frame.id = request.id;
    frame.root = request.root;
    frame.owner = request.owner;
    frame.service = request.service;
    frame.method = request.method;
    frame.path = request.path;
    frame.content_type = request.content_type;
    frame.body = request.body;
    frame.kind = request.importance;
    frame.is_idempotent = request.is_idempotent;
    frame.attempt = request.attempt;
    const auto time_left_ms = milliseconds(request.deadline - now);
    frame.time_left_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(time_left_ms, 0));
    return frame;
}

call_response response_of(const reply_frame& frame) {
    call_response response;
    response.what = frame.what;
    response.why = frame.why;
    response.status = frame.status;
    response.content_type = frame.content_type;
    response.body = frame.body;
    return response;
}

} // namespace

caller::caller(caller_options options, call_router& router, hooks h)
    : options_(options), router_(router), hooks_(std::move(h)) {}

void caller::set_policy(const overload::graph_policy& policy) {
    if (policy.retry_ratio != policy_.retry_ratio)
        edge_budgets_.clear();
    policy_ = policy;
}

overload::rank caller::known_level(time_point now,
                                   const call_request& request) const {
    if (options_.mode != overload::control_mode::full)
        return {};
    const auto level =
        levels_.level(overload::route_key(request.service, request.path), now);
    if (request.parent != 0 || level.value == 0)
        return level;
    const auto raised_level =
        std::min<int>(level.value + level_margin, overload::rank_count - 1);
    return overload::rank{static_cast<std::uint16_t>(raised_level)};
}

void caller::on_shed_early(time_point now, const call_request& request) const {
    const auto route = overload::route_key(request.service, request.path);
    if (request.parent != 0)
        hooks_.record_levels(request.parent, levels_.levels(route, now));
}

std::uint64_t caller::add_call(const call_request& request,
                               response_hook on_response) {
    ++counters_.calls;
    const auto id = next_id_++;
    call it;
    it.request = request;
    it.on_response = std::move(on_response);
    if (request.parent != 0) {
        it.retries_from_parent = hooks_.allocate_retries(request.parent);
        it.request.retry_budget = it.retries_from_parent;
    }
    it.retry_budget = overload::request_retry_budget(it.request.retry_budget);
    calls_.emplace(id, std::move(it));
    schedule(id, request.deadline);
    return id;
}

void caller::schedule(std::uint64_t id, time_point at) {
    timeouts_.emplace(at, id);
}

std::uint64_t caller::start(time_point now, const call_request& request,
                            response_hook on_response) {
    if (calls_.size() >= options_.max_calls) {
        on_response(request,
                    rejection(outcome::not_run, error_code::too_many_calls,
                              "too many calls in flight"));
        return 0;
    }
    const auto id = add_call(request, std::move(on_response));
    const auto ratio = policy_.retry_ratio;
    auto& edge = edge_budgets_
                     .try_emplace(request.service,
                                  overload::edge_retry_budget_options{
                                      ratio, max_saved_retries})
                     .first->second;
    edge.on_first_attempt();
    send_attempt(now, id);
    return id;
}

std::uint64_t caller::forward_to_ticket_home(time_point now,
                                             const call_request& request,
                                             const node_incarnation& home,
                                             response_hook on_response) {
    const auto id = add_call(request, std::move(on_response));
    auto& it = calls_.at(id);
    it.is_for_home = true;
    it.node = home;
    if (!send_to(now, id, home.name))
        end_attempt(now, id, {outcome::unknown, error_code::ticket_home_gone});
    return id;
}

std::uint64_t caller::cancel_ticket(time_point now, const call_request& request,
                                    const node_incarnation& home,
                                    response_hook on_response) {
    const auto id = add_call(request, std::move(on_response));
    auto& it = calls_.at(id);
    it.is_for_home = true;
    it.is_ticket_cancel = true;
    it.node = home;
    if (!send_to(now, id, home.name))
        end_attempt(now, id, {outcome::unknown, error_code::ticket_home_gone});
    return id;
}

void caller::send_attempt(time_point now, std::uint64_t id) {
    auto& it = calls_.at(id);
    auto node = router_.pick(now, it.request.service, it.tried, hooks_.random);
    if (!node && !it.tried.empty())
        node = router_.pick(now, it.request.service, {}, hooks_.random);
    if (!node) {
        finish(id, rejection(outcome::not_run, error_code::no_target,
                             "no target serves " + it.request.service.value));
        return;
    }
    it.tried.push_back(*node);
    if (!send_to(now, id, *node))
        end_attempt(now, id, {outcome::not_run, error_code::unreachable});
}

bool caller::send_to(time_point now, std::uint64_t id, const node_name& node) {
    auto& it = calls_.at(id);
    const auto life = hooks_.life_of(node);
    if (!life || (it.is_for_home && *life != it.node))
        return false;
    const auto sequence = next_sequence_++;
    it.sequence = sequence;
    it.node = *life;
    it.current_stage = stage::waiting;
    it.allocated_retries = it.is_for_home ? it.retry_budget.allocate_all()
                                          : it.retry_budget.allocate();
    by_sequence_[sequence] = id;
    ++it.attempts;
    ++counters_.attempts;
    if (it.is_ticket_cancel) {
        hooks_.send(*life, coordination::ticket_cancel_frame{
                               sequence, it.request.ticket});
        return true;
    }
    auto frame = frame_of(it.request, now);
    frame.sequence = sequence;
    frame.retry_budget = it.allocated_retries;
    frame.is_for_home = it.is_for_home;
    if (it.is_for_home)
        frame.ticket = it.request.ticket;
    auto* balancer = router_.find(it.request.service);
    it.is_counted_outstanding = !it.is_for_home && balancer != nullptr;
    if (it.is_counted_outstanding)
        balancer->on_sent(node);
    // A call to this node itself may be answered, and `it` erased, inside
    // send().
    hooks_.send(*life, std::move(frame));
    return true;
}

void caller::report_to_balancer(time_point now, call& it, health node_health,
                                const overload::load_report& load) {
    auto* balancer = router_.find(it.request.service);
    if (!std::exchange(it.is_counted_outstanding, false) || balancer == nullptr)
        return;
    switch (node_health) {
    case health::responsive:
        balancer->on_reply(it.node.name, load);
        break;
    case health::failed:
        balancer->on_failure(it.node.name, now);
        break;
    case health::unknown:
        balancer->on_abandoned(it.node.name);
        break;
    }
}

std::uint64_t caller::find_id(std::uint64_t sequence) const {
    const auto it = by_sequence_.find(sequence);
    return it == by_sequence_.end() ? 0 : it->second;
}

caller::call* caller::find_by_sequence(const node_incarnation& from,
                                       std::uint64_t sequence) {
    const auto it = calls_.find(find_id(sequence));
    if (it == calls_.end() || it->second.sequence != sequence)
        return nullptr;
    return it->second.node == from ? &it->second : nullptr;
}

void caller::on_reply(time_point now, const node_incarnation& from,
                      const reply_frame& reply) {
    const auto id = find_id(reply.sequence);
    auto* it = find_by_sequence(from, reply.sequence);
    if (it == nullptr) {
        ++counters_.stray_replies;
        return;
    }
    if (!it->is_for_home) {
        levels_.learn(
            overload::route_key(it->request.service, it->request.path),
            reply.levels, now);
        report_to_balancer(now, *it, health::responsive, reply.load);
        auto* balancer = router_.find(it->request.service);
        if (reply.is_leaving && balancer != nullptr)
            balancer->mark_draining(from.name);
    }
    if (it->request.parent != 0)
        hooks_.record_levels(it->request.parent, reply.levels);
    it->retry_budget.reclaim(it->allocated_retries, reply.retry_budget_left);
    it->allocated_retries = 0;
    if (!it->is_for_home && !it->is_ticket_cancel)
        hooks_.meter({it->request.owner, it->request.service,
                      it->request.importance, reply.what == outcome::not_run,
                      reply.what == outcome::unknown || reply.status >= 500,
                      reply.slot_time_us,
                      it->request.body.size() + reply.body.size()});
    if (digest(reply.body) != reply.body_digest && !reply.body.empty()) {
        ++counters_.bad_digests;
        end_attempt(now, id, {outcome::unknown, error_code::cut_off});
        return;
    }
    if (reply.what == outcome::done && !is_final_status(reply.status)) {
        end_attempt(now, id, {outcome::unknown, error_code::cut_off});
        return;
    }
    const bool is_failure = reply.what == outcome::done &&
                            reply.status >= 500 &&
                            options_.mode == overload::control_mode::retries;
    if ((reply.what == outcome::done && !is_failure) || it->is_for_home) {
        auto response = response_of(reply);
        if (reply.what != outcome::done)
            response = rejection(reply.what, reply.why,
                                 "reported by the home node of the ticket");
        finish(id, response);
        return;
    }
    end_attempt(now, id, {reply.what, reply.why});
}

bool caller::may_retry(const call& it, attempt_result result) {
    if (it.is_for_home)
        return false;
    const bool is_safe_to_repeat =
        result.what == outcome::not_run || it.request.is_idempotent;
    if (options_.mode == overload::control_mode::none || !is_safe_to_repeat)
        return false;
    if (options_.mode != overload::control_mode::full)
        return options_.mode == overload::control_mode::retries &&
               it.attempts < options_.baseline_attempts;
    return !is_load_shedding_error(result.why) && it.retry_budget.left() > 0;
}

void caller::end_attempt(time_point now, std::uint64_t id,
                         attempt_result result) {
    auto& it = calls_.at(id);
    by_sequence_.erase(it.sequence);
    it.may_have_run = it.may_have_run || result.what == outcome::unknown;
    const bool is_before_deadline = it.request.deadline > now;
    const bool uses_retry_budget =
        options_.mode == overload::control_mode::full;
    auto& edge = edge_budgets_[it.request.service];
    if (is_before_deadline && may_retry(it, result) &&
        (!uses_retry_budget || edge.take())) {
        if (uses_retry_budget)
            it.retry_budget.take();
        ++counters_.retries;
        it.sequence = 0;
        send_attempt(now, id);
        return;
    }
    finish(id,
           rejection(result.what, result.why,
                     result.what == outcome::not_run
                         ? "the request was not executed"
                         : "it is not known whether the request was executed"));
}

void caller::finish(std::uint64_t id, call_response response) {
    const auto it = calls_.find(id);
    const auto ended = std::move(it->second);
    if (response.what == outcome::not_run && ended.may_have_run)
        response = rejection(outcome::unknown, response.why,
                             "an earlier attempt may have been executed");
    calls_.erase(it);
    by_sequence_.erase(ended.sequence);
    if (ended.request.parent != 0)
        hooks_.reclaim_retries(ended.request.parent, ended.retries_from_parent,
                               ended.retry_budget.left());
    switch (response.what) {
    case outcome::done:
        ++counters_.done;
        break;
    case outcome::not_run:
        ++counters_.not_run;
        break;
    case outcome::unknown:
        ++counters_.unknown;
        break;
    }
    if (ended.on_response)
        ended.on_response(ended.request, response);
}

// Attempts that end without a reply ------------------------------------------

void caller::on_link_down(time_point now, const node_name& node,
                          bool was_connected) {
    std::vector<std::uint64_t> affected;
    for (const auto& [id, it] : calls_)
        if (it.node.name == node && it.sequence != 0 &&
            it.current_stage == stage::waiting)
            affected.push_back(id);
    for (const auto id : affected) {
        auto& it = calls_.at(id);
        report_to_balancer(now, it, health::failed);
        if (it.is_for_home) {
            end_attempt(now, id,
                        {outcome::unknown, error_code::ticket_home_gone});
        } else if (!was_connected) {
            it.retry_budget.reclaim(it.allocated_retries, it.allocated_retries);
            end_attempt(now, id, {outcome::not_run, error_code::unreachable});
        } else if (it.request.is_idempotent) {
            end_attempt(now, id, {outcome::unknown, error_code::unreachable});
        } else {
            cancel_and_query(now, id, stage::resolving);
        }
    }
}

void caller::cancel_and_query(time_point now, std::uint64_t id, stage next) {
    auto& it = calls_.at(id);
    it.current_stage = next;
    it.resolve_deadline = now + options_.resolve_timeout;
    schedule(id, it.resolve_deadline);
    // A restarted node has no record of the call.
    if (hooks_.life_of(it.node.name) != it.node) {
        end_attempt(now, id, {outcome::unknown, error_code::unreachable});
        return;
    }
    // When the node is this one, its reply arrives inside send() and erases
    // `it`; hence the copy.
    const auto node = it.node;
    hooks_.send(node, cancel_frame{it.sequence});
}

void caller::on_cancel_reply(time_point now, const node_incarnation& from,
                             const coordination::cancel_reply_frame& reply) {
    const auto id = find_id(reply.sequence);
    auto* it = find_by_sequence(from, reply.sequence);
    if (it == nullptr || it->current_stage == stage::waiting)
        return;
    const auto why = it->current_stage == stage::expiring
                         ? error_code::timed_out
                         : error_code::unreachable;
    report_to_balancer(now, *it, health::unknown);
    if (reply.never_started) {
        ++counters_.ruled_out;
        it->retry_budget.reclaim(it->allocated_retries, it->allocated_retries);
        end_attempt(now, id, {outcome::not_run, why});
        return;
    }
    end_attempt(now, id, {outcome::unknown, why});
}

void caller::abandon(time_point now, std::uint64_t id) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    report_to_balancer(now, it->second, health::unknown);
    const auto node = it->second.node;
    const auto sequence = it->second.sequence;
    const bool is_for_home = it->second.is_for_home;
    it->second.on_response = nullptr;
    finish(id, rejection(outcome::unknown, error_code::cancelled,
                         "the caller disconnected"));
    // A request with a ticket is not cancelled: its caller may retry to fetch
    // the response.
    if (sequence != 0 && !is_for_home)
        hooks_.send(node, cancel_frame{sequence});
}

time_point caller::next_due() const {
    return timeouts_.empty() ? time_point::max() : timeouts_.begin()->first;
}

void caller::tick(time_point now) {
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const auto id = timeouts_.begin()->second;
        timeouts_.erase(timeouts_.begin());
        const auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        auto& it = found->second;
        if (it.current_stage == stage::waiting && it.request.deadline <= now) {
            if (it.is_for_home)
                end_attempt(now, id, {outcome::unknown, error_code::timed_out});
            else
                cancel_and_query(now, id, stage::expiring);
        } else if (it.current_stage != stage::waiting &&
                   it.resolve_deadline <= now) {
            report_to_balancer(now, it, health::failed);
            end_attempt(now, id,
                        {outcome::unknown, it.current_stage == stage::expiring
                                               ? error_code::timed_out
                                               : error_code::unreachable});
        }
    }
}

} // namespace redwingwind::engine
