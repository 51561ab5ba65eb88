#include <redwingwind/engine/caller.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::call_frame;
using coordination::cancel_frame;
using coordination::reply_frame;

/// Nodes learn of a level at different moments. A request from outside must be
/// clearly above it, or a node further down refuses it after work was done.
constexpr std::uint16_t level_margin = overload::ranks_per_importance / 4;

bool is_shedding(error_code why) {
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
    const auto left = milliseconds(request.deadline - now);
    frame.time_left_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
    return frame;
}

call_response reply_of(const reply_frame& frame) {
    call_response reply;
    reply.what = frame.what;
    reply.why = frame.why;
    reply.status = frame.status;
    reply.content_type = frame.content_type;
    reply.body = frame.body;
    return reply;
}

} // namespace

caller::caller(caller_options options, call_router& router, hooks h)
    : options_(options), router_(router), hooks_(std::move(h)) {}

void caller::set_policy(const overload::graph_policy& policy) {
    if (policy.retry_ratio != policy_.retry_ratio)
        edges_.clear();
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
    const auto n =
        std::min<int>(level.value + level_margin, overload::rank_count - 1);
    return overload::rank{static_cast<std::uint16_t>(n)};
}

void caller::on_shed_early(time_point now, const call_request& request) const {
    const auto route = overload::route_key(request.service, request.path);
    if (request.parent != 0)
        hooks_.record_levels(request.parent, levels_.levels(route, now));
}

std::uint64_t caller::add(const call_request& request, response_hook on_reply) {
    ++counters_.calls;
    const auto id = next_call_++;
    call it;
    it.request = request;
    it.on_reply = std::move(on_reply);
    if (request.parent != 0) {
        it.budget_from_parent = hooks_.allocate_retries(request.parent);
        it.request.retry_budget = it.budget_from_parent;
    }
    it.ledger = overload::request_retry_budget(it.request.retry_budget);
    calls_.emplace(id, std::move(it));
    schedule(id, request.deadline);
    return id;
}

void caller::schedule(std::uint64_t id, time_point at) {
    due_.emplace(at, id);
}

std::uint64_t caller::start(time_point now, const call_request& request,
                            response_hook on_reply) {
    if (calls_.size() >= options_.max_calls) {
        on_reply(request,
                 rejection(outcome::not_run, error_code::too_many_calls,
                           "too many calls in flight"));
        return 0;
    }
    const auto id = add(request, std::move(on_reply));
    const auto ratio = policy_.retry_ratio;
    auto& edge =
        edges_
            .try_emplace(request.service,
                         overload::edge_retry_budget_options{ratio, 10.0})
            .first->second;
    edge.on_first_attempt();
    send_attempt(now, id);
    return id;
}

std::uint64_t caller::forward_to_ticket_home(time_point now,
                                             const call_request& request,
                                             const node_incarnation& home,
                                             response_hook on_reply) {
    const auto id = add(request, std::move(on_reply));
    auto& it = calls_.at(id);
    it.is_for_home = true;
    it.node = home;
    if (!send_to(now, id, home.name))
        end_attempt(now, id, {outcome::unknown, error_code::ticket_home_gone});
    return id;
}

std::uint64_t caller::cancel_ticket(time_point now, const call_request& request,
                                    const node_incarnation& home,
                                    response_hook on_reply) {
    const auto id = add(request, std::move(on_reply));
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
    it.at = stage::waiting;
    it.lent = it.is_for_home ? it.ledger.allocate_all() : it.ledger.allocate();
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
    frame.retry_budget = it.lent;
    frame.is_for_home = it.is_for_home;
    if (it.is_for_home)
        frame.ticket = it.request.ticket;
    auto* balance = router_.find(it.request.service);
    it.is_counted = !it.is_for_home && balance != nullptr;
    if (it.is_counted)
        balance->on_sent(node);
    // A call to this node itself may be answered, and gone, inside send.
    hooks_.send(*life, std::move(frame));
    return true;
}

void caller::settle_load(time_point now, call& it, health node_health,
                         const overload::load_report& load) {
    auto* balance = router_.find(it.request.service);
    if (!std::exchange(it.is_counted, false) || balance == nullptr)
        return;
    switch (node_health) {
    case health::answers:
        balance->on_reply(it.node.name, load);
        break;
    case health::failed:
        balance->on_failure(it.node.name, now);
        break;
    case health::untold:
        balance->on_abandoned(it.node.name);
        break;
    }
}

std::uint64_t caller::id_of(std::uint64_t sequence) const {
    const auto it = by_sequence_.find(sequence);
    return it == by_sequence_.end() ? 0 : it->second;
}

caller::call* caller::find_by_sequence(const node_incarnation& from,
                                       std::uint64_t sequence) {
    const auto it = calls_.find(id_of(sequence));
    if (it == calls_.end() || it->second.sequence != sequence)
        return nullptr;
    return it->second.node == from ? &it->second : nullptr;
}

void caller::on_reply(time_point now, const node_incarnation& from,
                      const reply_frame& reply) {
    const auto id = id_of(reply.sequence);
    auto* it = find_by_sequence(from, reply.sequence);
    if (it == nullptr) {
        ++counters_.stray_replies;
        return;
    }
    if (!it->is_for_home) {
        levels_.learn(
            overload::route_key(it->request.service, it->request.path),
            reply.levels, now);
        settle_load(now, *it, health::answers, reply.load);
        auto* balance = router_.find(it->request.service);
        if (reply.is_leaving && balance != nullptr)
            balance->mark_draining(from.name);
    }
    if (it->request.parent != 0)
        hooks_.record_levels(it->request.parent, reply.levels);
    it->ledger.reclaim(it->lent, reply.retry_budget_left);
    it->lent = 0;
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
    const bool is_failure = reply.what == outcome::done &&
                            reply.status >= 500 &&
                            options_.mode == overload::control_mode::retries;
    if ((reply.what == outcome::done && !is_failure) || it->is_for_home) {
        auto answer = reply_of(reply);
        if (reply.what != outcome::done)
            answer =
                rejection(reply.what, reply.why, "told by the ticket's home");
        finish(id, answer);
        return;
    }
    end_attempt(now, id, {reply.what, reply.why});
}

bool caller::may_retry(const call& it, attempt_end end) {
    if (it.is_for_home)
        return false;
    const bool is_safe =
        end.what == outcome::not_run || it.request.is_idempotent;
    if (options_.mode == overload::control_mode::none || !is_safe)
        return false;
    if (options_.mode != overload::control_mode::full)
        return options_.mode == overload::control_mode::retries &&
               it.attempts < options_.baseline_attempts;
    return !is_shedding(end.why) && it.ledger.left() > 0;
}

void caller::end_attempt(time_point now, std::uint64_t id, attempt_end end) {
    auto& it = calls_.at(id);
    by_sequence_.erase(it.sequence);
    it.may_have_run = it.may_have_run || end.what == outcome::unknown;
    const bool is_in_time = it.request.deadline > now;
    const bool is_bounded = options_.mode == overload::control_mode::full;
    auto& edge = edges_[it.request.service];
    if (is_in_time && may_retry(it, end) && (!is_bounded || edge.take())) {
        if (is_bounded)
            it.ledger.take();
        ++counters_.retries;
        it.sequence = 0;
        send_attempt(now, id);
        return;
    }
    finish(id, rejection(end.what, end.why,
                         end.what == outcome::not_run
                             ? "the request was not run"
                             : "whether the request ran is not known"));
}

void caller::finish(std::uint64_t id, call_response reply) {
    const auto it = calls_.find(id);
    const auto ended = std::move(it->second);
    if (reply.what == outcome::not_run && ended.may_have_run)
        reply = rejection(outcome::unknown, reply.why,
                          "an earlier attempt may have run");
    calls_.erase(it);
    by_sequence_.erase(ended.sequence);
    if (ended.request.parent != 0)
        hooks_.reclaim_retries(ended.request.parent, ended.budget_from_parent,
                               ended.ledger.left());
    switch (reply.what) {
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
    if (ended.on_reply)
        ended.on_reply(ended.request, reply);
}

// Ends that are not replies -------------------------------------------------

void caller::on_link_down(time_point now, const node_name& node,
                          bool was_connected) {
    std::vector<std::uint64_t> concerned;
    for (const auto& [id, it] : calls_)
        if (it.node.name == node && it.sequence != 0 && it.at == stage::waiting)
            concerned.push_back(id);
    for (const auto id : concerned) {
        auto& it = calls_.at(id);
        settle_load(now, it, health::failed);
        if (it.is_for_home) {
            end_attempt(now, id,
                        {outcome::unknown, error_code::ticket_home_gone});
        } else if (!was_connected) {
            it.ledger.reclaim(it.lent, it.lent);
            end_attempt(now, id, {outcome::not_run, error_code::unreachable});
        } else if (it.request.is_idempotent) {
            end_attempt(now, id, {outcome::unknown, error_code::unreachable});
        } else {
            ask_whether_run(now, id, stage::resolving);
        }
    }
}

void caller::ask_whether_run(time_point now, std::uint64_t id, stage next) {
    auto& it = calls_.at(id);
    it.at = next;
    it.resolve_until = now + options_.resolve_timeout;
    schedule(id, it.resolve_until);
    // Another life of the node knows nothing of the call.
    if (hooks_.life_of(it.node.name) != it.node) {
        end_attempt(now, id, {outcome::unknown, error_code::unreachable});
        return;
    }
    // The answer of this node itself comes inside send.
    const auto node = it.node;
    hooks_.send(node, cancel_frame{it.sequence});
}

void caller::on_cancel_reply(time_point now, const node_incarnation& from,
                             const coordination::cancel_reply_frame& reply) {
    const auto id = id_of(reply.sequence);
    auto* it = find_by_sequence(from, reply.sequence);
    if (it == nullptr || it->at == stage::waiting)
        return;
    const auto why = it->at == stage::expiring ? error_code::timed_out
                                               : error_code::unreachable;
    settle_load(now, *it, health::untold);
    if (reply.never_started) {
        ++counters_.ruled_out;
        it->ledger.reclaim(it->lent, it->lent);
        end_attempt(now, id, {outcome::not_run, why});
        return;
    }
    end_attempt(now, id, {outcome::unknown, why});
}

void caller::abandon(time_point now, std::uint64_t id) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    settle_load(now, it->second, health::untold);
    const auto node = it->second.node;
    const auto sequence = it->second.sequence;
    const bool is_at_home = it->second.is_for_home;
    it->second.on_reply = nullptr;
    finish(id,
           rejection(outcome::unknown, error_code::cancelled, "caller left"));
    // A ticket's request goes on: its caller may come back for the answer.
    if (sequence != 0 && !is_at_home)
        hooks_.send(node, cancel_frame{sequence});
}

time_point caller::next_due() const {
    return due_.empty() ? time_point::max() : due_.begin()->first;
}

void caller::tick(time_point now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto id = due_.begin()->second;
        due_.erase(due_.begin());
        const auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        auto& it = found->second;
        if (it.at == stage::waiting && it.request.deadline <= now) {
            if (it.is_for_home)
                end_attempt(now, id, {outcome::unknown, error_code::timed_out});
            else
                ask_whether_run(now, id, stage::expiring);
        } else if (it.at != stage::waiting && it.resolve_until <= now) {
            settle_load(now, it, health::failed);
            end_attempt(now, id,
                        {outcome::unknown, it.at == stage::expiring
                                               ? error_code::timed_out
                                               : error_code::unreachable});
        }
    }
}

} // namespace redwingwind::engine
