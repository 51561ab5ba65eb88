#include <redwingwind/coordination/allowance_grantor.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace redwingwind::coordination {
namespace {

/// Part of the slack that buckets hold over all nodes: first calls of owners
/// with a small burst. A further part is each borrower's reserve.
constexpr double slack_in_buckets = 0.2;
/// More allowances than this are never granted at once.
constexpr double max_grant = 1e6;

double unit(const random_hook& random) {
    constexpr double two_pow_53 = 9007199254740992.0;
    return static_cast<double>(random() >> 11U) / two_pow_53;
}

} // namespace

allowance_grantor::allowance_grantor(allowance_options options,
                                     random_hook random)
    : options_(options), random_(std::move(random)) {}

double allowance_grantor::capacity(const owner_limit& limit,
                                   double part) const {
    // Without any burst, what is filled between two requests must fit.
    const double held =
        std::max(limit.burst, limit.rate_per_s * seconds(options_.round));
    return part * (held + options_.slack * slack_in_buckets);
}

void allowance_grantor::settle(const shard& of, bucket& it) const {
    it.tokens += it.limit.rate_per_s * (of.filled_s - it.filled_s);
    it.filled_s = of.filled_s;
    it.tokens = std::min(it.tokens, capacity(it.limit, of.part));
}

void allowance_grantor::settle_all(const shard& it) {
    for (const auto& owner : it.owners)
        settle(it, buckets_.at(owner));
}

void allowance_grantor::set_sum(shard& it, double sum) {
    it.sum = std::max(sum, 0.0);
    it.part = std::min(it.sum, 1.0);
}

void allowance_grantor::end_expired(time_point now, shard& it) {
    std::erase_if(it.loans,
                  [now](const auto& lent) { return lent.second.until <= now; });
    // Anew, so that errors of rounding don't add up.
    double sum = 0;
    it.first_end = time_point::max();
    for (const auto& [from, lent] : it.loans) {
        sum += lent.part;
        it.first_end = std::min(it.first_end, lent.until);
    }
    set_sum(it, sum);
}

void allowance_grantor::advance(time_point now, shard& it) {
    if (now <= it.advanced)
        return;
    // Every frame comes here; the loans are looked at when one can have ended.
    if (now < it.first_end) {
        it.filled_s += it.part * seconds(now - it.advanced);
        it.advanced = now;
        return;
    }
    double filled = 0;
    for (const auto& [from, lent] : it.loans) {
        const auto end = std::min(now, lent.until);
        if (end > it.advanced)
            filled += lent.part * seconds(end - it.advanced);
    }
    it.filled_s += std::min(filled, seconds(now - it.advanced));
    it.advanced = now;
    const auto before = it.loans.size();
    end_expired(now, it);
    if (it.loans.size() != before)
        settle_all(it);
}

void allowance_grantor::set_loan(time_point now, shard& it,
                                 const node_name& from, const loan& lent) {
    advance(now, it);
    auto& known = it.loans[from];
    const double change = lent.part - known.part;
    known = lent;
    it.first_end = std::min(it.first_end, lent.until);
    if (change == 0)
        return;
    // With the part that held until now: a larger one must not count for the
    // time before.
    settle_all(it);
    set_sum(it, it.sum + change);
    settle_all(it);
}

void allowance_grantor::add_slack(shard& it, double part) {
    for (const auto& owner : it.owners) {
        auto& of = buckets_.at(owner);
        settle(it, of);
        of.tokens =
            std::min(of.tokens + part * options_.slack * slack_in_buckets,
                     capacity(of.limit, it.part));
    }
}

void allowance_grantor::end_loan(time_point now, shard& it,
                                 const node_name& from) {
    const auto known = it.loans.find(from);
    if (known == it.loans.end())
        return;
    set_loan(now, it, from, {0, known->second.until});
    it.loans.erase(from);
}

void allowance_grantor::set_limits(time_point now,
                                   const std::vector<owner_limit>& limits) {
    std::unordered_map<owner_name, bucket> kept;
    for (auto& it : shards_) {
        advance(now, it);
        settle_all(it);
        it.owners.clear();
    }
    for (const auto& limit : limits) {
        const auto [at, is_first] = kept.try_emplace(limit.owner);
        auto& it = at->second;
        auto& of = shards_[shard_of(limit.owner)];
        if (is_first) {
            of.owners.push_back(limit.owner);
            // Loans that were there before the owner brought no slack for it. A
            // process that has just started has no loans.
            if (const auto known = buckets_.find(limit.owner);
                known != buckets_.end())
                it = known->second;
            else
                it.tokens = of.part * options_.slack * slack_in_buckets;
        }
        it.limit = limit;
        it.shard = shard_of(limit.owner);
        it.filled_s = of.filled_s;
        it.tokens = std::min(it.tokens, capacity(limit, of.part));
    }
    buckets_ = std::move(kept);
}

bool allowance_grantor::on_share(time_point now, const node_name& from,
                                 const share_frame& message) {
    auto& known = senders_[from];
    if (message.sequence <= known.sequence)
        return false;
    known.sequence = message.sequence;
    known.heard = now;
    const auto clock = time_point(duration(message.receiver_clock_us));
    // A clock ahead of this one is none of ours: the machine was restarted.
    const bool is_valid = message.receiver_clock_us > 0 && clock <= now &&
                          clock + options_.share_lifetime > now &&
                          message.nodes > 0;
    std::vector<std::uint16_t> lent;
    if (is_valid)
        for (const auto n : message.shards)
            if (n < allowance_shards)
                lent.push_back(n);
    std::sort(lent.begin(), lent.end());
    for (const auto n : known.shards)
        if (!std::binary_search(lent.begin(), lent.end(), n))
            end_loan(now, shards_[n], from);
    for (const auto n : lent)
        set_loan(now, shards_[n], from,
                 {1.0 / message.nodes, clock + options_.share_lifetime});
    for (const auto n : message.with_slack)
        if (std::binary_search(lent.begin(), lent.end(), n))
            add_slack(shards_[n], 1.0 / message.nodes);
    known.shards = std::move(lent);
    return true;
}

void allowance_grantor::set_own_share(
    time_point now, const node_name& self, std::uint32_t nodes,
    const std::vector<std::uint16_t>& shards) {
    auto& known = senders_[self];
    known.heard = now;
    for (const auto n : known.shards)
        if (std::find(shards.begin(), shards.end(), n) == shards.end())
            end_loan(now, shards_[n], self);
    for (const auto n : shards)
        set_loan(now, shards_[n], self, {1.0 / nodes, time_point::max()});
    known.shards = shards;
}

std::vector<std::pair<node_name, std::uint64_t>>
allowance_grantor::end_loans_of_others(time_point now, const node_name& self) {
    std::vector<std::pair<node_name, std::uint64_t>> lenders;
    for (auto& [from, it] : senders_) {
        if (from == self)
            continue;
        for (const auto n : it.shards)
            end_loan(now, shards_[n], from);
        it.shards.clear();
        lenders.emplace_back(from, it.sequence);
    }
    return lenders;
}

void allowance_grantor::start_round(time_point now, bucket& it) const {
    if (now - it.round_start < options_.round)
        return;
    const bool is_next = now - it.round_start < 2 * options_.round;
    it.last_wanted = is_next ? it.wanted : 0;
    it.last_unmet = is_next ? it.unmet : 0;
    it.wanted = 0;
    it.unmet = 0;
    it.round_start = now;
}

std::uint32_t allowance_grantor::fair_part(const bucket& it, double supply,
                                           std::uint32_t wanted) const {
    const double available = std::clamp(std::floor(it.tokens), 0.0, max_grant);
    const double expected = std::max(it.last_wanted, it.wanted);
    // Those served before in this round count as expected again, so that the
    // rule applies only when some were not.
    if (it.unmet + it.last_unmet == 0 || expected <= supply)
        return static_cast<std::uint32_t>(std::min<double>(wanted, available));
    // Rounded at random, so that a node that wants one call gets its part too.
    const double part = std::floor(wanted * supply / expected + unit(random_));
    return static_cast<std::uint32_t>(
        std::min({static_cast<double>(wanted), part, available}));
}

allowance_grant allowance_grantor::request(time_point now,
                                           const owner_name& owner,
                                           std::uint32_t wanted) {
    const auto found = buckets_.find(owner);
    if (found == buckets_.end())
        return {0, options_.round, options_.round};
    auto& it = found->second;
    auto& of = shards_[it.shard];
    advance(now, of);
    settle(of, it);
    start_round(now, it);
    it.wanted += wanted;
    const double rate = it.limit.rate_per_s * of.part;
    const double supply = std::max(it.tokens, rate * seconds(options_.round));
    allowance_grant result;
    result.granted = fair_part(it, supply, wanted);
    it.tokens -= result.granted;
    if (result.granted == wanted)
        return result;
    it.unmet += wanted - result.granted;
    const double unmet = std::max(it.unmet, it.last_unmet);
    const double wait = rate > 0 ? std::max(unmet - it.tokens, 0.0) / rate
                                 : seconds(max_retry_after);
    result.ask_after = options_.round;
    result.retry_after =
        std::clamp(duration(static_cast<duration::rep>(
                       std::min(wait, seconds(max_retry_after)) * 1e6)),
                   options_.round, max_retry_after);
    return result;
}

void allowance_grantor::give_back(time_point now, const owner_name& owner,
                                  std::uint32_t count) {
    const auto found = buckets_.find(owner);
    if (found == buckets_.end())
        return;
    auto& it = found->second;
    auto& of = shards_[it.shard];
    advance(now, of);
    settle(of, it);
    it.tokens = std::min(it.tokens + count, capacity(it.limit, of.part));
}

void allowance_grantor::tick(time_point now) {
    for (auto& it : shards_)
        if (!it.loans.empty())
            advance(now, it);
    // Older frames of a forgotten sender have run out.
    std::erase_if(senders_, [&](const auto& it) {
        return it.second.shards.empty() &&
               now - it.second.heard > 2 * options_.share_lifetime;
    });
    for (auto& [from, it] : senders_)
        std::erase_if(it.shards, [&, &name = from](std::uint16_t n) {
            return !shards_[n].loans.contains(name);
        });
}

double allowance_grantor::held_part(time_point now, const owner_name& owner) {
    auto& of = shards_[shard_of(owner)];
    advance(now, of);
    return of.part;
}

std::size_t allowance_grantor::granted_owners() const {
    std::size_t n = 0;
    for (const auto& it : shards_)
        if (it.part > 0.5) // NOLINT(*-magic-numbers): more than half
            n += it.owners.size();
    return n;
}

} // namespace redwingwind::coordination
