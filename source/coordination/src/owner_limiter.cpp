#include <redwingwind/coordination/owner_limiter.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::coordination {
namespace {

/// How often the grantor ends loans that ran out.
constexpr duration grantor_interval = std::chrono::milliseconds(100);

} // namespace

owner_limiter::owner_limiter(allowance_options options, node_name self, hooks h)
    : self_(std::move(self)), hooks_(std::move(h)),
      grantor_(options, hooks_.random), lender_(options, self_, lender_hooks()),
      borrower_(options, self_, borrower_hooks()) {}

share_lender::hooks owner_limiter::lender_hooks() {
    share_lender::hooks h;
    h.send = [this](const node_name& to, const share_frame& message) {
        hooks_.send(to, message);
    };
    h.keep = [this](std::uint32_t nodes,
                    const std::vector<std::uint16_t>& shards) {
        grantor_.set_own_share(now_, self_, nodes, shards);
    };
    return h;
}

allowance_borrower::hooks owner_limiter::borrower_hooks() {
    allowance_borrower::hooks h;
    h.send = [this](const node_name& to,
                    const allowance_request_frame& message) {
        hooks_.send(to, message);
    };
    h.request_here = [this](const owner_name& owner, std::uint32_t wanted) {
        return grantor_.request(now_, owner, wanted);
    };
    h.give_back_here = [this](const owner_name& owner, std::uint32_t count) {
        grantor_.give_back(now_, owner, count);
    };
    h.grantor = [this](const owner_name& owner) {
        return lender_.holder(now_, shard_of(owner));
    };
    h.nodes = [this] {
        return lender_.is_settled(now_) ? lender_.nodes() : 0U;
    };
    h.decide = [this](call_id call, allowance_decision decision) {
        hooks_.decide(call, decision);
    };
    h.random = hooks_.random;
    return h;
}

void owner_limiter::set_limits(time_point now,
                               const std::vector<owner_limit>& limits) {
    now_ = now;
    limits_ = limits;
    std::erase_if(limits_,
                  [](const owner_limit& it) { return it.rate_per_s <= 0; });
    std::set<std::uint16_t> shards;
    for (const auto& it : limits_)
        shards.insert(shard_of(it.owner));
    grantor_.set_limits(now, limits_);
    lender_.set_shards(std::move(shards));
    borrower_.set_limits(limits_);
    next_grantor_tick_ = has_limits() ? now : time_point::max();
}

void owner_limiter::set_fleet(time_point now, fleet_view fleet) {
    now_ = now;
    lender_.set_fleet(now, std::move(fleet));
}

allowance_decision owner_limiter::take(time_point now, const owner_name& owner,
                                       call_id call) {
    now_ = now;
    return borrower_.take(now, owner, call);
}

void owner_limiter::cancel(const owner_name& owner, call_id call) {
    borrower_.cancel(owner, call);
}

void owner_limiter::give_back(time_point now, const owner_name& owner,
                              std::uint32_t source) {
    now_ = now;
    borrower_.give_back(now, owner, source);
}

void owner_limiter::receive(time_point now, const node_name& from,
                            const share_frame& message) {
    // Without limits this node can't grant, so that it must get no loans.
    if (!has_limits())
        return;
    now_ = now;
    lender_.on_known_nodes(now, from, message.known_nodes);
    if (is_stopping_) {
        release(from, message.sequence);
        return;
    }
    if (!grantor_.on_share(now, from, message))
        return;
    hooks_.send(from, share_reply_frame{message.sequence,
                                        now.time_since_epoch().count(),
                                        lender_.known_nodes()});
}

void owner_limiter::receive(time_point now, const node_name& from,
                            const share_reply_frame& message) {
    now_ = now;
    lender_.on_reply(now, from, message);
}

void owner_limiter::receive(time_point now, const node_name& from,
                            const allowance_request_frame& message) {
    if (message.returned > 0)
        grantor_.give_back(now, message.owner, message.returned);
    // A lender that was told of the stop asks another node.
    if (message.sequence == 0 || is_stopping_)
        return;
    // The version that names the owner isn't in force here yet: without a
    // reply the node that asks uses its reserve.
    if (!grantor_.has_limit(message.owner))
        return;
    const auto result = grantor_.request(now, message.owner,
                                         std::min(message.wanted, max_wanted));
    allowance_reply_frame reply;
    reply.sequence = message.sequence;
    reply.owner = message.owner;
    reply.granted = result.granted;
    reply.ask_after_ms =
        static_cast<std::uint32_t>(milliseconds(result.ask_after));
    reply.retry_after_ms =
        static_cast<std::uint32_t>(milliseconds(result.retry_after));
    hooks_.send(from, reply);
}

void owner_limiter::receive(time_point now, const node_name& from,
                            const allowance_reply_frame& message) {
    now_ = now;
    borrower_.on_reply(now, from, message);
}

void owner_limiter::release(const node_name& lender, std::uint64_t sequence) {
    hooks_.send(lender, share_reply_frame{sequence, 0, lender_.known_nodes()});
}

void owner_limiter::stop_granting(time_point now) {
    now_ = now;
    is_stopping_ = true;
    lender_.stop_holding();
    for (const auto& [lender, sequence] :
         grantor_.end_loans_of_others(now, self_))
        release(lender, sequence);
}

void owner_limiter::tick(time_point now) {
    now_ = now;
    lender_.tick(now);
    borrower_.tick(now);
    if (now < next_grantor_tick_)
        return;
    grantor_.tick(now);
    next_grantor_tick_ =
        has_limits() ? now + grantor_interval : time_point::max();
}

time_point owner_limiter::next_due() const {
    return std::min(
        {lender_.next_due(), borrower_.next_due(), next_grantor_tick_});
}

owner_limiter_state owner_limiter::state(time_point now) const {
    return {limits_.size(),  grantor_.granted_owners(), borrower_.waiting(),
            lender_.nodes(), lender_.is_settled(now),   borrower_.counters()};
}

} // namespace redwingwind::coordination
