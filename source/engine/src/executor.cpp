#include <redwingwind/engine/executor.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::engine {
namespace {

using coordination::reply_frame;

reply_frame rejection_frame(const call_origin& origin, error_code why) {
    reply_frame reply;
    reply.sequence = origin.sequence;
    reply.what = outcome::not_run;
    reply.why = why;
    return reply;
}

reply_frame reply_of(const target_result& result) {
    reply_frame reply;
    reply.status = result.status;
    switch (result.end) {
    case target_end::answered:
        reply.what = outcome::done;
        reply.content_type = result.content_type;
        reply.body = result.body;
        break;
    case target_end::not_connected:
        reply.what = outcome::not_run;
        reply.why = error_code::unreachable;
        break;
    case target_end::shed:
        reply.what = outcome::not_run;
        reply.why = error_code::target_shed;
        break;
    case target_end::unknown:
        reply.why = error_code::target_failed;
        break;
    case target_end::timed_out:
        reply.why = error_code::timed_out;
        break;
    case target_end::cut_off:
        reply.why = error_code::cut_off;
        break;
    }
    reply.body_digest = digest(reply.body);
    return reply;
}

overload::execution_result execution_result_of(target_end end) {
    switch (end) {
    case target_end::answered:
        return overload::execution_result::completed;
    case target_end::shed:
        return overload::execution_result::shed;
    default:
        return overload::execution_result::failed;
    }
}

} // namespace

executor::executor(executor_options options, incarnation life, hooks h)
    : options_(options), life_(life), hooks_(std::move(h)) {}

void executor::set_policy(const overload::graph_policy& policy) {
    const bool has_same_queue_shape =
        policy.queue_per_slot == policy_.queue_per_slot &&
        policy.level_decay == policy_.level_decay;
    policy_ = policy;
    if (!has_same_queue_shape && admission_)
        admission_->update_policy(policy.queue_per_slot, policy.level_decay);
}

bool executor::set_target(time_point now,
                          const target_announcement& announcement) {
    if (target_ == announcement)
        return false;
    const bool is_same_life = target_ &&
                              target_->service == announcement.service &&
                              target_->instance == announcement.instance;
    target_ = announcement;
    if (is_same_life)
        return true;
    rebuild_admission(now);
    drain_since_.reset();
    return true;
}

void executor::clear_target() {
    target_.reset();
}

void executor::rebuild_admission(time_point now) {
    // The remaining executions belong to the target's previous process.
    while (!executions_.empty()) {
        const auto& [id, it] = *executions_.begin();
        hooks_.stop(id);
        reply_frame reply;
        reply.what = it.is_running ? outcome::unknown : outcome::not_run;
        reply.why = error_code::target_failed;
        const auto slot_time =
            it.is_running ? now - it.started : duration::zero();
        finish(now, id, std::move(reply), slot_time);
    }
    overload::admission_options options;
    options.mode = options_.mode;
    options.limit.announced_slots = target_->slots;
    options.limit.warm_up = target_->warm_up;
    options.limit.adaptive = options_.mode == overload::control_mode::full;
    options.queue_per_slot = policy_.queue_per_slot;
    options.level_decay = policy_.level_decay;
    options.max_queued = options_.max_queued;
    const auto weight = [this](const owner_name& owner) {
        return overload::weight_of(policy_, owner);
    };
    admission_.emplace(options, weight, now);
}

void executor::drain(time_point now) {
    if (!drain_since_)
        drain_since_ = now;
}

bool executor::accepts_work(time_point now) const {
    return target_ &&
           (!drain_since_ || now - *drain_since_ < options_.drain_grace);
}

std::size_t executor::running() const {
    return admission_ ? admission_->running() : 0;
}

std::size_t executor::queued() const {
    return admission_ ? admission_->queued() : 0;
}

std::uint32_t executor::limit(time_point now) const {
    return admission_ ? admission_->limit(now) : 0;
}

overload::rank executor::level() const {
    return admission_ ? admission_->level() : overload::rank{};
}

void executor::arrive(time_point now, const call_origin& origin,
                      const call_request& request) {
    ++counters_.arrived;
    if (!arrivals_.arrive(now, origin)) {
        ++counters_.duplicates;
        return;
    }
    if (!accepts_work(now)) {
        reject_unadmitted(now, origin, request,
                          drain_since_ ? error_code::draining
                                       : error_code::no_target);
        return;
    }
    if (executions_.size() >= options_.max_executions) {
        reject_unadmitted(now, origin, request, error_code::too_many_calls);
        return;
    }
    const auto id = next_id_++;
    executions_.emplace(
        id, execution{origin,
                      request,
                      overload::request_retry_budget(request.retry_budget),
                      {},
                      now,
                      false,
                      false});
    by_origin_[origin] = id;
    apply_actions(now,
                  admission_->arrive(now, {id, request.rank(), request.owner,
                                           request.deadline}));
}

void executor::reject_unadmitted(time_point now, const call_origin& origin,
                                 const call_request& request, error_code why) {
    ++counters_.rejected;
    auto reply = rejection_frame(origin, why);
    reply.retry_budget_left = request.retry_budget;
    add_load_report(now, reply);
    hooks_.meter({request.owner,
                  request.service,
                  request.importance,
                  true,
                  false,
                  {},
                  0});
    hooks_.reply(origin, reply);
}

void executor::apply_actions(time_point now,
                             const overload::admission_actions& actions) {
    for (const auto& it : actions.reject)
        reject(now, it.id, it.why);
    for (const auto id : actions.stop)
        preempt(now, id);
    for (const auto id : actions.start)
        start(now, id);
}

void executor::start(time_point now, std::uint64_t id) {
    const auto it = executions_.find(id);
    if (it == executions_.end())
        return;
    ++counters_.started;
    it->second.is_running = true;
    it->second.started = now;
    const auto& request = it->second.request;
    hooks_.dispatch(
        id, request,
        {id, life_, request.importance, request.owner, request.root});
}

void executor::reject(time_point now, std::uint64_t id, error_code why) {
    const auto it = executions_.find(id);
    if (it == executions_.end())
        return;
    ++counters_.rejected;
    auto reply = rejection_frame(it->second.origin, why);
    reply.retry_budget_left = it->second.retry_budget.left();
    finish(now, id, std::move(reply), duration::zero());
}

/// Stops an execution to free its slot for an order or payment. The outcome is
/// unknown, since the target may have executed it.
void executor::preempt(time_point now, std::uint64_t id) {
    const auto it = executions_.find(id);
    if (it == executions_.end())
        return;
    ++counters_.stopped;
    hooks_.stop(id);
    reply_frame reply;
    reply.why = error_code::overloaded;
    reply.retry_budget_left = it->second.retry_budget.left();
    finish(now, id, std::move(reply), now - it->second.started);
}

bool executor::cancel(time_point now, const call_origin& origin) {
    const auto found = by_origin_.find(origin);
    if (found == by_origin_.end())
        return arrivals_.rule_out(now, origin);
    const auto id = found->second;
    ++counters_.cancelled;
    if (admission_->withdraw(id)) {
        auto& it = executions_.at(id);
        hooks_.meter({it.request.owner,
                      it.request.service,
                      it.request.importance,
                      true,
                      false,
                      {},
                      0});
        executions_.erase(id);
        by_origin_.erase(found);
        return true;
    }
    auto& it = executions_.at(id);
    it.is_cancelled = true;
    hooks_.stop(id);
    on_target_result(now, id, {target_end::cut_off, 0, {}, {}});
    return false;
}

void executor::on_target_result(time_point now, std::uint64_t id,
                                const target_result& result) {
    const auto it = executions_.find(id);
    if (it == executions_.end())
        return;
    auto reply = reply_of(result);
    reply.retry_budget_left = it->second.retry_budget.left();
    const auto slot_time = now - it->second.started;
    const auto actions =
        admission_->finish(now, id, execution_result_of(result.end));
    finish(now, id, std::move(reply), slot_time);
    apply_actions(now, actions);
}

void executor::finish(time_point now, std::uint64_t id, reply_frame reply,
                      duration slot_time) {
    const auto it = executions_.find(id);
    const auto ended = std::move(it->second);
    executions_.erase(it);
    by_origin_.erase(ended.origin);
    reply.sequence = ended.origin.sequence;
    reply.slot_time_us = static_cast<std::uint64_t>(slot_time.count());
    reply.levels = ended.downstream_levels;
    add_load_report(now, reply);
    const bool was_started = ended.is_running;
    const bool is_success = reply.what == outcome::done && reply.status < 500 &&
                            !ended.is_cancelled;
    hooks_.meter({ended.request.owner, ended.request.service,
                  ended.request.importance, !was_started,
                  was_started && !is_success, slot_time,
                  ended.request.body.size() + reply.body.size()});
    if (!ended.is_cancelled)
        hooks_.reply(ended.origin, reply);
}

void executor::add_load_report(time_point now, reply_frame& reply) const {
    if (target_)
        overload::merge(reply.levels, {{target_->service, level().value}});
    reply.load = {static_cast<std::uint32_t>(running()),
                  static_cast<std::uint32_t>(queued()), limit(now)};
    reply.is_leaving = is_draining();
}

void executor::tick(time_point now) {
    arrivals_.remove_expired(now);
    if (admission_)
        apply_actions(now, admission_->tick(now));
}

bool executor::is_running(std::uint64_t id) const {
    const auto it = executions_.find(id);
    return it != executions_.end() && it->second.is_running;
}

std::uint32_t executor::allocate_retries(std::uint64_t id) {
    const auto it = executions_.find(id);
    return it == executions_.end() ? 0 : it->second.retry_budget.allocate();
}

void executor::reclaim_retries(std::uint64_t id, std::uint32_t allocated,
                               std::uint32_t unused) {
    const auto it = executions_.find(id);
    if (it != executions_.end())
        it->second.retry_budget.reclaim(allocated, unused);
}

void executor::record_levels(
    std::uint64_t id,
    const std::vector<overload::service_admission_level>& levels) {
    const auto it = executions_.find(id);
    if (it != executions_.end())
        overload::merge(it->second.downstream_levels, levels);
}

} // namespace redwingwind::engine
