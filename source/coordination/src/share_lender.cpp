#include <redwingwind/coordination/share_lender.hpp>

#include <redwingwind/coordination/rendezvous.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace redwingwind::coordination {
namespace {

/// Nodes by rank that a grantor is chosen from: the others take its place when
/// it does not reply.
constexpr std::size_t candidates = 3;
/// How often shares are moved to the node that should hold them.
constexpr duration move_interval = std::chrono::milliseconds(50);
/// What a peer says about the number of nodes counts for this long.
constexpr duration count_lifetime = std::chrono::seconds(10);

} // namespace

share_lender::share_lender(allowance_options options, node_name self, hooks h)
    : options_(options), self_(std::move(self)), hooks_(std::move(h)) {
    fleet_.live = {self_};
}

void share_lender::set_fleet(time_point now, fleet_view fleet) {
    if (fleet.nodes > fleet_.nodes || grown_ == time_point() ||
        (knows_fleet(fleet) && !knows_fleet(fleet_)))
        grown_ = now;
    must_rank_ = must_rank_ || fleet.live != fleet_.live;
    fleet_ = std::move(fleet);
    const std::set<node_name> live(fleet_.live.begin(), fleet_.live.end());
    std::erase_if(stopping_, [&](const node_name& it) {
        return it != self_ && !live.contains(it);
    });
}

void share_lender::stop_holding() {
    stopping_.insert(self_);
    must_rank_ = true;
}

void share_lender::set_shards(std::set<std::uint16_t> shards) {
    for (const auto n : shards)
        shares_.try_emplace(n);
    // A loan of a shard without owners runs out by itself.
    std::erase_if(shares_,
                  [&](const auto& it) { return !shards.contains(it.first); });
    must_rank_ = true;
    next_tick_ = shares_.empty() ? time_point::max() : time_point();
}

bool share_lender::knows_fleet(const fleet_view& fleet) const {
    return fleet.is_only_listed ||
           std::any_of(fleet.live.begin(), fleet.live.end(),
                       [this](const node_name& it) { return it != self_; });
}

bool share_lender::is_settled(time_point now) const {
    return has_settled_ || (knows_fleet(fleet_) && grown_ != time_point() &&
                            now - grown_ >= options_.settle_time);
}

void share_lender::rank() {
    if (!must_rank_)
        return;
    must_rank_ = false;
    auto grantors = fleet_.live;
    std::erase_if(grantors, [this](const node_name& it) {
        return stopping_.contains(it);
    });
    for (auto& [n, it] : shares_)
        it.ranked =
            choose_holders(grantors, absl::StrCat("allowance-", n), candidates);
    std::map<node_name, peer> kept;
    for (const auto& [n, it] : shares_) {
        for (const auto& name : it.ranked)
            if (name != self_)
                kept.try_emplace(name);
        if (it.holder && *it.holder != self_)
            kept.try_emplace(*it.holder);
    }
    for (auto& [name, it] : kept)
        if (const auto known = peers_.find(name); known != peers_.end())
            it = known->second;
    peers_ = std::move(kept);
}

void share_lender::count_nodes(time_point now) {
    std::erase_if(counts_, [now](const auto& it) {
        return now - it.second.heard > count_lifetime;
    });
    std::uint32_t most = std::max<std::uint32_t>(fleet_.nodes, 1);
    for (const auto& [name, it] : counts_)
        most = std::max(most, it.nodes);
    nodes_ = most;
}

void share_lender::on_known_nodes(time_point now, const node_name& from,
                                  std::uint32_t nodes) {
    counts_[from] = {nodes, now};
    nodes_ = std::max(nodes_, nodes);
}

void share_lender::on_release(time_point now, const node_name& from) {
    for (auto& [n, it] : shares_)
        if (it.holder == from)
            it.bound_until = std::min(it.bound_until, now);
    must_rank_ = stopping_.insert(from).second || must_rank_;
    if (!shares_.empty())
        next_tick_ = now;
}

void share_lender::on_reply(time_point now, const node_name& from,
                            const share_reply_frame& reply) {
    on_known_nodes(now, from, reply.known_nodes);
    const auto found = peers_.find(from);
    if (found == peers_.end())
        return;
    auto& it = found->second;
    if (reply.clock_us == 0 && reply.sequence <= it.sequence) {
        on_release(now, from);
        return;
    }
    // A reply overtaken by a later one has an older clock, which is safe, but
    // says nothing new.
    if (reply.sequence > it.sequence || reply.sequence <= it.acknowledged)
        return;
    const bool is_first = it.clock_us == 0;
    it.acknowledged = reply.sequence;
    it.clock_us = reply.clock_us;
    it.replied = now;
    if (is_first)
        next_tick_ = now;
}

bool share_lender::is_responsive(time_point now, const node_name& name) const {
    if (name == self_)
        return true;
    const auto it = peers_.find(name);
    return it != peers_.end() && it->second.clock_us != 0 &&
           now - it->second.replied < options_.share_lifetime;
}

node_name share_lender::wanted_holder(time_point now, const share& it) const {
    for (const auto& name : it.ranked)
        if (is_responsive(now, name))
            return name;
    return self_;
}

bool share_lender::is_free(time_point now, const share& it) const {
    if (!it.holder || *it.holder == self_ || it.bound_until <= now)
        return true;
    const auto to = peers_.find(*it.holder);
    return it.released_by && to != peers_.end() &&
           to->second.acknowledged >= *it.released_by;
}

void share_lender::move(time_point now, share& it) {
    const auto wanted = wanted_holder(now, it);
    const bool is_kept = it.holder == wanted && !it.released_by &&
                         (wanted == self_ || it.bound_until > now);
    if (is_kept)
        return;
    if (!is_free(now, it)) {
        auto& from = peers_[*it.holder];
        if (!it.released_by) {
            it.released_by = next_sequence_;
            from.must_send = true;
        }
        return;
    }
    it.holder.reset();
    it.released_by.reset();
    if (!is_settled(now))
        return;
    it.holder = wanted;
    if (wanted == self_)
        return;
    auto& to = peers_[wanted];
    it.is_new = true;
    it.bound_until = to.replied + options_.share_lifetime;
    to.must_send = true;
}

void share_lender::send_to(time_point now, const node_name& name, peer& to) {
    share_frame message;
    to.sequence = next_sequence_++;
    message.sequence = to.sequence;
    message.nodes = nodes_;
    message.known_nodes = fleet_.nodes;
    to.must_send = false;
    if (is_responsive(now, name)) {
        message.receiver_clock_us = to.clock_us;
        for (auto& [n, it] : shares_) {
            if (it.holder != name || it.released_by)
                continue;
            message.shards.push_back(n);
            if (it.is_new && (!it.brought_slack ||
                              now - *it.brought_slack >= options_.window)) {
                message.with_slack.push_back(n);
                it.brought_slack = now;
            }
            it.is_new = false;
            it.bound_until =
                std::max(it.bound_until, to.replied + options_.share_lifetime);
        }
    }
    // One that holds nothing only has to stay responsive.
    to.next_send =
        now + options_.share_interval * (message.shards.empty() ? 2 : 1);
    hooks_.send(name, message);
}

void share_lender::send_due(time_point now) {
    std::vector<node_name> due;
    for (const auto& [name, it] : peers_)
        if (it.must_send || it.next_send <= now)
            due.push_back(name);
    for (const auto& name : due)
        send_to(now, name, peers_.at(name));
}

void share_lender::report_kept() {
    std::vector<std::uint16_t> kept;
    for (const auto& [n, it] : shares_)
        if (it.holder == self_)
            kept.push_back(n);
    if (kept == kept_ && nodes_ == kept_nodes_)
        return;
    kept_ = kept;
    kept_nodes_ = nodes_;
    hooks_.keep(nodes_, kept_);
}

void share_lender::tick(time_point now) {
    if (now < next_tick_)
        return;
    next_tick_ = now + move_interval;
    has_settled_ = is_settled(now);
    rank();
    count_nodes(now);
    for (auto& [n, it] : shares_)
        move(now, it);
    // The own part ends before a frame lends it to another node.
    report_kept();
    send_due(now);
    if (shares_.empty())
        next_tick_ = time_point::max();
}

time_point share_lender::next_due() const {
    return next_tick_;
}

std::optional<node_name> share_lender::holder(time_point now,
                                              std::uint16_t shard) const {
    const auto it = shares_.find(shard);
    if (it == shares_.end() || !it->second.holder || it->second.released_by)
        return std::nullopt;
    const auto& holder = *it->second.holder;
    if (holder != self_ && it->second.bound_until <= now)
        return std::nullopt;
    return holder;
}

} // namespace redwingwind::coordination
