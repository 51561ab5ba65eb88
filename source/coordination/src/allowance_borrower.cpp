#include <redwingwind/coordination/allowance_borrower.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace redwingwind::coordination {
namespace {

/// How long an arrival counts for an owner's rate.
constexpr duration rate_memory = std::chrono::seconds(1);
/// A grantor that did not reply is asked again after this.
constexpr duration silence = std::chrono::milliseconds(200);
constexpr duration tick_interval = std::chrono::milliseconds(25);
/// The reserve of all nodes together, as a part of the slack and of what may
/// be executed in a window. It is used twice when all nodes restart.
constexpr double slack_in_reserve = 0.2;
constexpr double limit_in_reserve = 0.02;

} // namespace

allowance_borrower::allowance_borrower(allowance_options options,
                                       node_name self, hooks h)
    : options_(options), self_(std::move(self)), hooks_(std::move(h)) {}

void allowance_borrower::set_limits(const std::vector<owner_limit>& limits) {
    std::unordered_map<owner_name, account> kept;
    for (const auto& limit : limits) {
        const auto known = accounts_.find(limit.owner);
        const auto [at, is_first] = kept.try_emplace(limit.owner);
        auto& it = at->second;
        if (is_first && known != accounts_.end())
            it = std::move(known->second);
        // The next window's is of the new limit.
        if (limit.rate_per_s < it.limit.rate_per_s ||
            limit.burst < it.limit.burst)
            it.reserve = 0;
        it.limit = limit;
    }
    std::vector<waiting_call> freed;
    for (const auto& [owner, it] : accounts_)
        if (!kept.contains(owner))
            freed.insert(freed.end(), it.waiting.begin(), it.waiting.end());
    accounts_ = std::move(kept);
    waiting_ -= freed.size();
    for (const auto& it : freed)
        hooks_.decide(it.call, {});
}

std::uint32_t allowance_borrower::held(const account& it) {
    std::uint32_t all = 0;
    for (const auto& each : it.batches)
        all += each.count;
    return all;
}

void allowance_borrower::expire(time_point now, account& it) {
    while (!it.batches.empty() && it.batches.front().expires <= now) {
        counters_.expired += it.batches.front().count;
        if (it.batches.front().source == it.source)
            it.returned += it.batches.front().count;
        it.batches.pop_front();
    }
}

void allowance_borrower::count_arrival(time_point now, account& it) {
    const double age = seconds(now - it.last_arrival) / seconds(rate_memory);
    it.arrivals = it.arrivals * std::exp(-age) + 1;
    it.last_arrival = now;
}

std::uint32_t allowance_borrower::prefetch_of(time_point now,
                                              const account& it) const {
    const double age = seconds(now - it.last_arrival) / seconds(rate_memory);
    const double rate = it.arrivals * std::exp(-age) / seconds(rate_memory);
    if (rate * seconds(options_.allowance_lifetime) < 1)
        return 0;
    return static_cast<std::uint32_t>(std::ceil(
        std::min<double>(rate * seconds(options_.prefetch), max_wanted)));
}

std::optional<std::uint32_t> allowance_borrower::spend(account& it) {
    if (it.batches.empty())
        return std::nullopt;
    auto& first = it.batches.front();
    const auto source = first.source;
    if (--first.count == 0)
        it.batches.pop_front();
    ++counters_.granted;
    return source;
}

bool allowance_borrower::spend_reserve(time_point now, account& it) {
    const auto nodes = hooks_.nodes();
    if (nodes == 0)
        return false;
    if (it.reserve_window == time_point() ||
        now - it.reserve_window >= options_.window) {
        it.reserve_window = now;
        const double all =
            options_.slack * slack_in_reserve +
            limit_in_reserve * (it.limit.rate_per_s * seconds(options_.window) +
                                it.limit.burst);
        constexpr double two_pow_53 = 9007199254740992.0;
        const double unit =
            static_cast<double>(hooks_.random() >> 11U) / two_pow_53;
        it.reserve = static_cast<std::uint32_t>(std::floor(all / nodes + unit));
    }
    if (it.reserve == 0)
        return false;
    --it.reserve;
    ++counters_.granted;
    return true;
}

allowance_decision allowance_borrower::refuse(time_point now,
                                              const account& it) {
    ++counters_.refused;
    return {allowance_answer::refused,
            std::max<duration>(it.retry_at - now, options_.round), 0};
}

allowance_decision allowance_borrower::decide_here(time_point now,
                                                   account& it) {
    const auto result = hooks_.request_here(it.limit.owner, 1);
    if (result.granted > 0) {
        use_lender(it, self_);
        ++counters_.granted;
        return {allowance_answer::granted, {}, it.source};
    }
    it.retry_at = now + result.retry_after;
    return refuse(now, it);
}

allowance_decision allowance_borrower::decide_without(time_point now,
                                                      account& it) {
    ++counters_.without_grantor;
    if (spend_reserve(now, it))
        return {};
    it.retry_at = std::max(it.retry_at, now + options_.share_lifetime / 2);
    return refuse(now, it);
}

allowance_decision allowance_borrower::take(time_point now,
                                            const owner_name& owner,
                                            call_id call) {
    const auto found = accounts_.find(owner);
    if (found == accounts_.end())
        return {};
    auto& it = found->second;
    active_[owner] = true;
    next_tick_ = std::min(next_tick_, now + tick_interval);
    count_arrival(now, it);
    expire(now, it);
    if (it.waiting.empty()) {
        if (const auto source = spend(it)) {
            refill(now, it);
            return {allowance_answer::granted, {}, *source};
        }
    }
    const auto to = hooks_.grantor(owner);
    if (to == self_)
        return decide_here(now, it);
    if (now < it.refuse_until) {
        if (!to || (it.pending && it.pending->is_overdue))
            return decide_without(now, it);
        return refuse(now, it);
    }
    it.waiting.push_back({call, now + options_.reply_timeout});
    ++waiting_;
    ++counters_.waited;
    // Without a grantor the call waits too: shares that move between two that
    // reply are in place within a round trip.
    if (to && (!it.pending || it.pending->is_overdue || it.pending->to != *to))
        request(now, it, *to);
    return {allowance_answer::waiting, {}, 0};
}

void allowance_borrower::use_lender(account& it, const node_name& to) {
    if (it.lender == to)
        return;
    // Another grantor's bucket did not pay for them.
    it.returned = 0;
    // A late reply would add allowances of the former grantor.
    it.pending.reset();
    it.lender = to;
    it.source = ++last_source_;
}

void allowance_borrower::request(time_point now, account& it,
                                 const node_name& to) {
    use_lender(it, to);
    allowance_request_frame message;
    message.sequence = next_sequence_++;
    message.owner = it.limit.owner;
    const auto have = held(it);
    const auto ahead = prefetch_of(now, it);
    message.wanted = static_cast<std::uint32_t>(it.waiting.size()) +
                     (ahead > have ? ahead - have : 0);
    message.returned = std::exchange(it.returned, 0U);
    if (message.wanted == 0)
        return;
    it.pending = {message.sequence, to, message.wanted, now, false};
    ++counters_.requests;
    hooks_.send(to, message);
}

void allowance_borrower::refill(time_point now, account& it) {
    const auto ahead = prefetch_of(now, it);
    if (ahead == 0 || held(it) * 2 > ahead || now < it.refuse_until ||
        (it.pending && !it.pending->is_overdue))
        return;
    const auto to = hooks_.grantor(it.limit.owner);
    if (to && *to != self_)
        request(now, it, *to);
}

void allowance_borrower::serve_waiting(time_point now, account& it) {
    expire(now, it);
    while (!it.waiting.empty()) {
        const auto source = spend(it);
        if (!source)
            return;
        const auto call = it.waiting.front().call;
        it.waiting.pop_front();
        --waiting_;
        hooks_.decide(call, {allowance_answer::granted, {}, *source});
    }
}

void allowance_borrower::end_waiting(time_point now, account& it,
                                     bool has_grantor, time_point up_to) {
    std::vector<waiting_call> left;
    while (!it.waiting.empty() && it.waiting.front().until <= up_to) {
        left.push_back(it.waiting.front());
        it.waiting.pop_front();
    }
    waiting_ -= left.size();
    for (const auto& each : left)
        hooks_.decide(each.call,
                      has_grantor ? refuse(now, it) : decide_without(now, it));
}

void allowance_borrower::on_reply(time_point now, const node_name& from,
                                  const allowance_reply_frame& reply) {
    const auto found = accounts_.find(reply.owner);
    if (found == accounts_.end())
        return;
    auto& it = found->second;
    if (!it.pending || it.pending->sequence != reply.sequence ||
        it.pending->to != from)
        return;
    const auto sent = it.pending->sent;
    // Those of the account's lender: a request to another one replaces both.
    const bool is_short = reply.granted < it.pending->wanted;
    it.pending.reset();
    // The grantor granted them after the request was sent, so that they end
    // in time however long the reply took.
    if (reply.granted > 0)
        it.batches.push_back(
            {reply.granted, sent + options_.allowance_lifetime, it.source});
    if (is_short) {
        it.refuse_until =
            now +
            std::min<duration>(std::chrono::milliseconds(reply.ask_after_ms),
                               options_.share_lifetime);
        it.retry_at = now + std::min<duration>(
                                std::chrono::milliseconds(reply.retry_after_ms),
                                max_retry_after);
    } else {
        it.refuse_until = {};
    }
    serve_waiting(now, it);
    if (it.waiting.empty())
        return;
    if (is_short)
        end_waiting(now, it, true, time_point::max());
    else if (!it.pending)
        request(now, it, from);
}

void allowance_borrower::cancel(const owner_name& owner, call_id call) {
    const auto found = accounts_.find(owner);
    if (found == accounts_.end())
        return;
    waiting_ -=
        std::erase_if(found->second.waiting, [call](const waiting_call& it) {
            return it.call == call;
        });
}

void allowance_borrower::give_back(time_point now, const owner_name& owner,
                                   std::uint32_t source) {
    const auto found = accounts_.find(owner);
    if (found == accounts_.end() || source == 0 ||
        found->second.source != source)
        return;
    ++counters_.returned;
    if (found->second.lender == self_) {
        hooks_.give_back_here(owner, 1);
        return;
    }
    ++found->second.returned;
    active_[owner] = true;
    next_tick_ = std::min(next_tick_, now + tick_interval);
}

void allowance_borrower::return_unused(account& it) {
    if (it.returned == 0)
        return;
    allowance_request_frame message;
    message.owner = it.limit.owner;
    message.returned = std::exchange(it.returned, 0U);
    if (it.lender == self_) {
        hooks_.give_back_here(message.owner, message.returned);
        return;
    }
    if (!it.lender.value.empty())
        hooks_.send(it.lender, message);
}

void allowance_borrower::find_grantor(time_point now, account& it) {
    const auto to = hooks_.grantor(it.limit.owner);
    if (!to)
        return;
    if (*to != self_) {
        request(now, it, *to);
        return;
    }
    auto left = std::exchange(it.waiting, {});
    waiting_ -= left.size();
    for (const auto& each : left)
        hooks_.decide(each.call, decide_here(now, it));
}

bool allowance_borrower::tick_account(time_point now, account& it) {
    expire(now, it);
    if (it.pending && !it.pending->is_overdue &&
        now - it.pending->sent >= options_.reply_timeout) {
        it.pending->is_overdue = true;
        it.refuse_until = now + silence;
    }
    // A late reply still counts until what it grants has expired.
    if (it.pending &&
        now - it.pending->sent >= options_.allowance_lifetime + silence)
        it.pending.reset();
    const auto to = hooks_.grantor(it.limit.owner);
    if (!it.waiting.empty() && (!it.pending || (to && it.pending->to != *to)))
        find_grantor(now, it);
    if (!it.waiting.empty() && it.waiting.front().until <= now) {
        if (!to)
            it.refuse_until = now + silence;
        // Later ones still may get the reply to a request sent for them.
        const bool is_lost = it.pending && it.pending->is_overdue;
        end_waiting(now, it, false, is_lost ? time_point::max() : now);
    }
    return_unused(it);
    return it.batches.empty() && it.waiting.empty() && !it.pending;
}

void allowance_borrower::tick(time_point now) {
    if (now < next_tick_)
        return;
    // A decision can lead to calls of other owners.
    std::vector<owner_name> owners;
    for (const auto& [owner, is_active] : active_)
        owners.push_back(owner);
    for (const auto& owner : owners) {
        const auto found = accounts_.find(owner);
        if (found == accounts_.end() || tick_account(now, found->second))
            active_.erase(owner);
    }
    next_tick_ = active_.empty() ? time_point::max() : now + tick_interval;
}

time_point allowance_borrower::next_due() const {
    return next_tick_;
}

} // namespace redwingwind::coordination
