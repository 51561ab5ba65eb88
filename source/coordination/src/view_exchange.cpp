#include <redwingwind/coordination/view_exchange.hpp>

#include <algorithm>

namespace redwingwind::coordination {
namespace {

/// Keeps a frame of records far below the maximum frame size.
constexpr std::size_t max_records_per_frame = 500;

} // namespace

void view_exchange::start(const member_record& with) {
    send_(with, view_digest_frame{members_.bucket_digests()});
}

void view_exchange::receive(const node_incarnation& from,
                            const view_digest_frame& digests) {
    const auto* peer = members_.find(from.name);
    const auto& own = members_.bucket_digests();
    if (peer == nullptr || digests.buckets.size() != own.size())
        return;
    std::vector<std::uint16_t> differing;
    for (std::size_t n = 0; n < own.size(); ++n)
        if (digests.buckets[n] != own[n])
            differing.push_back(static_cast<std::uint16_t>(n));
    if (!differing.empty())
        send_records(*peer, differing, true);
}

void view_exchange::receive(time_point now, const node_incarnation& from,
                            const view_frame& view) {
    members_.merge(now, view.members);
    const auto* peer = members_.find(from.name);
    if (!view.wanted_buckets.empty() && peer != nullptr)
        send_records(*peer, view.wanted_buckets, false);
}

void view_exchange::send_records(const member_record& to,
                                 const std::vector<std::uint16_t>& buckets,
                                 bool wants_reply) {
    const auto records = members_.records_in(buckets);
    std::size_t n = 0;
    do {
        const auto end = std::min(n + max_records_per_frame, records.size());
        view_frame view;
        view.members.assign(records.begin() + static_cast<std::ptrdiff_t>(n),
                            records.begin() + static_cast<std::ptrdiff_t>(end));
        if (wants_reply && end == records.size())
            view.wanted_buckets = buckets;
        send_(to, view);
        n = end;
    } while (n < records.size());
}

} // namespace redwingwind::coordination
