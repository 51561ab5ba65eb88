#include <redwingwind/coordination/record_replicator.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::coordination {

record_replicator::record_replicator(replication_options options, hooks h)
    : options_(options), hooks_(std::move(h)) {}

std::size_t record_replicator::missing_copies(const replication& it) const {
    // A node that knows no other waits for one until the time is over.
    const auto wanted =
        std::clamp<std::size_t>(hooks_.live_nodes(), 1, options_.copies);
    return wanted - std::min(wanted, it.confirmed.size());
}

void record_replicator::start(time_point now, const member_record& record,
                              done_hook done) {
    auto& it = open_.emplace_back();
    it.record = record;
    it.done = std::move(done);
    it.deadline = now + options_.timeout;
    send_round(now, it);
}

void record_replicator::send_round(time_point now, replication& it) {
    it.next_round = now + options_.round_interval;
    // One that confirmed needs no further copy.
    const auto chosen =
        hooks_.choose(missing_copies(it) + it.confirmed.size(), it.asked);
    for (const auto& name : chosen) {
        if (it.confirmed.contains(name))
            continue;
        it.asked.insert(name);
        it.sent[hooks_.send(name, it.record)] = name;
    }
}

void record_replicator::on_confirmed(std::uint64_t number) {
    for (auto it = open_.begin(); it != open_.end(); ++it) {
        const auto sent = it->sent.find(number);
        if (sent == it->sent.end())
            continue;
        it->confirmed.insert(sent->second);
        if (missing_copies(*it) > 0)
            return;
        const auto done = std::move(it->done);
        open_.erase(it);
        done(true);
        return;
    }
}

void record_replicator::tick(time_point now) {
    std::vector<std::pair<done_hook, bool>> ended;
    for (auto it = open_.begin(); it != open_.end();) {
        const bool is_over = now >= it->deadline;
        if (is_over || missing_copies(*it) == 0) {
            const bool is_alone = hooks_.live_nodes() == 0;
            ended.emplace_back(std::move(it->done),
                               is_alone || !it->confirmed.empty());
            it = open_.erase(it);
            continue;
        }
        if (now >= it->next_round)
            send_round(now, *it);
        ++it;
    }
    for (const auto& [done, is_kept] : ended)
        done(is_kept);
}

time_point record_replicator::next_due() const {
    auto due = time_point::max();
    for (const auto& it : open_)
        due = std::min({due, it.next_round, it.deadline});
    return due;
}

} // namespace redwingwind::coordination
